/* engine_server.h - one stand-in engine behind HTTP.

   All paths of docs/CONTRACTS.md "Model engine", and /standin/fault and
   /standin/stats.  The daemon runs several in one process; tests run one in
   their own event loop.
   Needs: engine_model.h, faults.h, http_server.h, jansson.  */

#ifndef MQ_ENGINE_SERVER_H
#define MQ_ENGINE_SERVER_H

#include "engine_model.h"
#include "net/http_server.h"
#include <jansson.h>

struct mq_engine_server;

/**
 * struct mq_engine_server_options - one engine
 * @address: "IP:PORT"; port 0 takes a free one
 * @model: model that it serves
 * @boot: boot number, below 2^53; a restart fault raises it
 * @params: speed and size
 */
struct mq_engine_server_options
{
  const char *address;
  const char *model;
  uint64_t boot;
  struct mq_engine_params params;
};

struct mq_engine_server *
mq_engine_server_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                         const struct mq_engine_server_options *options,
                         struct mq_error *error);
/* Breaks every stream.  */
void mq_engine_server_destroy (struct mq_engine_server *server);
uint16_t mq_engine_server_port (const struct mq_engine_server *server);
/* As POST /standin/fault with the body ORDER (docs/ENGINE_MODEL.md); whether
   it was taken.  */
bool mq_engine_server_fault (struct mq_engine_server *server,
                             const char *order);
/* As GET /standin/stats; a new reference.  */
json_t *mq_engine_server_stats (struct mq_engine_server *server);

#endif
