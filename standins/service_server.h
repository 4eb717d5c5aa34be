/* service_server.h - HTTP servers of the workers of a stand-in service.

   Each address is a worker with its own queue.  All workers share the record
   of executed calls and the active faults, available at every address:

   POST any path              a call, see service_effects.h
   GET /v1/load               load of this worker
   POST /standin/fault        see faults.h: hang, slow, status, lost_answer,
                              unreachable, refuse; matches paths of calls
                              and, with "worker":"NAME/INDEX", one worker
   GET /standin/effects       executed calls; ?path=P filters by path,
                              ?summary=1 omits the calls

   A call is executed even if its client disconnects.
   Needs: service_effects.h, faults.h, http_server.h.  */

#ifndef MQ_SERVICE_SERVER_H
#define MQ_SERVICE_SERVER_H

#include "core/error.h"
#include "service_effects.h"
#include <tevent.h>

struct mq_service_server;

/**
 * struct mq_service_options - workers and their behaviour
 * @name: service name; its workers are NAME/0, NAME/1, …
 * @listen: "IP:PORT" of each worker; port 0 selects a free port
 * @listen_count: number of workers
 * @honour_keys: see mq_effects_create
 * @delay_ms: duration of each call
 * @concurrency: concurrent calls per worker; 0 for no limit
 * @boot: boot number reported by /v1/load
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
/* Handles ORDER like the body of POST /standin/fault; false if invalid.  */
bool mq_service_server_fault (struct mq_service_server *server,
                              const char *order);

#endif
