/* service_server.h - the workers of a plain service or tool as HTTP servers.

   Each address is one worker with a queue of its own; all share the effects
   and these switches, at any of the addresses:

   POST any path              a call, see service_effects.h
   GET /v1/load               load of this worker
   POST /standin/fault        faults.h: hang, slow, status, lost_answer,
                              unreachable, refuse; meets paths of calls and,
                              with "worker":"NAME/INDEX", one worker
   GET /standin/effects       ?path=P: only those, ?summary=1: totals only

   A call whose caller has gone takes effect all the same.
   Needs: service_effects.h, faults.h, http_server.h.  */

#ifndef MQ_SERVICE_SERVER_H
#define MQ_SERVICE_SERVER_H

#include "core/error.h"
#include "service_effects.h"
#include <tevent.h>

struct mq_service_server;

/**
 * struct mq_service_options - which workers, and how they behave
 * @name: name of the service; its workers are NAME/0, NAME/1, …
 * @listen: "IP:PORT" of each worker, port 0 takes a free one
 * @listen_count: how many
 * @honour_keys: see mq_effects_create
 * @delay_ms: how long each call takes
 * @concurrency: calls that a worker runs side by side, 0: any number
 * @boot: told by /v1/load
 */
struct mq_service_options
{
  const char *name;
  const char *const *listen;
  size_t listen_count;
  bool honour_keys;
  uint32_t delay_ms;
  uint32_t concurrency;
  uint64_t boot;
};

struct mq_service_server *
mq_service_server_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                          const struct mq_service_options *options,
                          struct mq_error *error);
void mq_service_server_destroy (struct mq_service_server *server);
uint16_t mq_service_server_port (const struct mq_service_server *server,
                                 size_t worker);
struct mq_effects *
mq_service_server_effects (struct mq_service_server *server);
/* Takes an order as POST /standin/fault does.  */
bool mq_service_server_fault (struct mq_service_server *server,
                              const char *order);

#endif
