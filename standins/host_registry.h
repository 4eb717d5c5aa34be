/* host_registry.h - the stand-in's list of hosts, as it is and as it shows.

   Pure: the caller brings the moment at which a change becomes visible.
   Needs: jansson, talloc.  */

#ifndef MQ_HOST_REGISTRY_H
#define MQ_HOST_REGISTRY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct mq_host_registry;

struct mq_host_registry *mq_host_registry_create (TALLOC_CTX *ctx);
/* Adds HOST or changes the fields that it names of one that is there; false
   when a field is missing, unknown or of the wrong type.  */
bool mq_host_registry_set (struct mq_host_registry *registry,
                           const json_t *host);
/* False when there is no such host.  */
bool mq_host_registry_remove (struct mq_host_registry *registry,
                              const char *name);
/* Number of the last change; mq_host_registry_publish makes the list as it was
   after a change visible.  An older one never covers a newer one.  */
json_t *mq_host_registry_state (const struct mq_host_registry *registry,
                                uint64_t *number);
void mq_host_registry_publish (struct mq_host_registry *registry,
                               json_t *state, uint64_t number);
/* The answer of GET /v1/hosts; the caller holds a reference.  */
json_t *mq_host_registry_answer (const struct mq_host_registry *registry);

#endif
