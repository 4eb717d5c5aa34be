/* router_pool.h - connections to workers, kept for reuse.

   Needs: http_lane.h, fleet.h.  */

#ifndef MQ_ROUTER_POOL_H
#define MQ_ROUTER_POOL_H

#include "core/router/fleet.h"
#include "net/http_conn.h"

/* Bytes that a worker does not acknowledge for so long mean that it is gone.
   Within a region an acknowledgement takes a few milliseconds.  */
#define MQ_POOL_SILENT_MS 600U
/* An idle connection is not used in the last part of the time that the worker
   keeps it: a request that crosses its closing may have run, and one that may
   run once is then lost.  */
#define MQ_POOL_IDLE_MARGIN_MS 400U
/* Idle time of a connection whose worker tells none.  */
#define MQ_POOL_IDLE_MS 4000U

struct mq_pool;

struct mq_pool *mq_pool_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                struct mq_fleet *fleet);
void mq_pool_destroy (struct mq_pool *pool);
/* A connection to WORKER, used before or new.  NULL with ERROR set when none
   can be had.  */
struct mq_http_conn *mq_pool_take (struct mq_pool *pool, uint32_t worker,
                                   struct mq_error *error);
/* Gives LANE back after a whole answer; IDLE_S: how long the worker keeps it,
   0: not told.  Closes it when it can't be used again.  */
void mq_pool_give (struct mq_pool *pool, uint32_t worker,
                   struct mq_http_conn *lane, uint32_t idle_s);
/* Closes connections that are idle too long or whose worker has left.  */
void mq_pool_sweep (struct mq_pool *pool);
/* Connections opened since the start.  */
uint64_t mq_pool_opened (const struct mq_pool *pool);

#endif
