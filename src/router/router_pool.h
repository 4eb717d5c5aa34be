/* router_pool.h - pool of idle connections to workers.

   Needs: http_conn.h, fleet.h.  */

#ifndef MQ_ROUTER_POOL_H
#define MQ_ROUTER_POOL_H

#include "core/router/fleet.h"
#include "net/http_conn.h"

/* Time without acknowledgement of sent bytes after which a worker is
   considered gone.  */
#define MQ_POOL_ACK_TIMEOUT_MS 600U
/* Subtracted from the worker's idle timeout, so that no request is sent on a
   connection that the worker is about to close.  */
#define MQ_POOL_IDLE_MARGIN_MS 400U
/* Idle timeout assumed if the worker reports none.  */
#define MQ_POOL_DEFAULT_IDLE_MS 4000U

struct mq_pool;

struct mq_pool *mq_pool_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                struct mq_fleet *fleet);
void mq_pool_destroy (struct mq_pool *pool);
/* Gets an idle or a new connection to WORKER; returns NULL with ERROR set on
   failure.  */
struct mq_http_conn *mq_pool_acquire (struct mq_pool *pool, uint32_t worker,
                                      struct mq_error *error);
/* Returns LANE after a complete response, or closes it if it can't be reused.
   IDLE_S: idle timeout of the worker, seconds; 0 if unknown.  */
void mq_pool_release (struct mq_pool *pool, uint32_t worker,
                      struct mq_http_conn *lane, uint32_t idle_s);
/* Closes connections that were idle for too long or whose worker is
   unavailable.  */
void mq_pool_sweep (struct mq_pool *pool);
/* Number of connections opened.  */
uint64_t mq_pool_opened (const struct mq_pool *pool);

#endif
