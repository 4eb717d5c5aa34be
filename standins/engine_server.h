/* engine_server.h - HTTP server of a stand-in model engine.

   Serves all paths of docs/CONTRACTS.md "Model engine", /standin/fault and
   /standin/stats.  A process can run several engines in one event loop.
   Needs: engine_model.h, faults.h, http_server.h, jansson.  */

#ifndef MQ_ENGINE_SERVER_H
#define MQ_ENGINE_SERVER_H

#include "engine_model.h"
#include "net/http_server.h"
#include <jansson.h>

struct mq_engine_server;

/**
 * struct mq_engine_server_options - configuration of an engine
 * @address: "IP:PORT"; port 0 selects a free port
 * @model: name of the served model
 * @boot: boot number, below 2^53; incremented by a restart fault
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
/* Aborts all open streams.  */
void mq_engine_server_destroy (struct mq_engine_server *server);
uint16_t mq_engine_server_port (const struct mq_engine_server *server);
/* Handles ORDER like the body of POST /standin/fault (docs/ENGINE_MODEL.md);
   false if invalid.  */
bool mq_engine_server_fault (struct mq_engine_server *server,
                             const char *order);
/* Response body of GET /standin/stats; the caller owns the reference.  */
json_t *mq_engine_server_stats (struct mq_engine_server *server);

#endif
