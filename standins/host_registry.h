/* host_registry.h - host list of the stand-in platform.

   Keeps the current list and the list that clients see, which may lag.
   Performs no I/O; the caller decides when a change becomes visible.
   Needs: jansson, talloc.  */

#ifndef MQ_HOST_REGISTRY_H
#define MQ_HOST_REGISTRY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct mq_host_registry;

struct mq_host_registry *mq_host_registry_create (TALLOC_CTX *ctx);
/* Adds HOST or updates the given fields of an existing host.  Returns false if
   a field is missing, unknown or of the wrong type.  */
bool mq_host_registry_set (struct mq_host_registry *registry,
                           const json_t *host);
/* Returns false if the host does not exist.  */
bool mq_host_registry_remove (struct mq_host_registry *registry,
                              const char *name);
/* Returns a new reference to the current list and stores its change number in
   NUMBER; mq_host_registry_publish makes that list visible to clients.  It
   takes over the reference and ignores lists older than the visible one.  */
json_t *mq_host_registry_state (const struct mq_host_registry *registry,
                                uint64_t *number);
void mq_host_registry_publish (struct mq_host_registry *registry,
                               json_t *state, uint64_t number);
/* Response body of GET /v1/hosts; the caller owns the reference.  */
json_t *mq_host_registry_answer (const struct mq_host_registry *registry);

#endif
