/* router.h - router process on an entry host.

   Receives HTTP requests of callers, forwards each to a worker of the service
   that the configuration names, and returns the response.  Budgets and
   histories of programs are stored in the platform's table.
   Needs: tevent, error.h.  */

#ifndef MQ_ROUTER_H
#define MQ_ROUTER_H

#include "core/error.h"
#include <tevent.h>

/**
 * struct mq_router_settings - settings of a router
 * @http: "IP:PORT" for callers
 * @ready: "IP:PORT" of the readiness and metrics endpoint
 * @peer: "IP:PORT" for other routers
 * @seeds: "IP:PORT" of other routers, comma-separated; may be empty
 * @table: "IP:PORT" of the platform's table
 * @memory_mb: memory limit of the process, MiB
 * @stop_ms: time limit of a planned stop
 * @drain_ms: time for which a leaving worker still serves; 0 if unknown
 * @clean_after_ms: uptime after which the process removes expired records
 * @clean_look_ms: interval between searches for expired records
 * @limit_window_ms: window over which an organisation's rate limit applies
 * @limit_over_permille: tolerated excess over the limit, thousandths
 * @limit_slack: further tolerated requests
 * @settle_ms: time after a stop request in which new connections are accepted
 */
struct mq_router_settings
{
  const char *host;
  const char *data_centre;
  const char *http;
  const char *ready;
  const char *peer;
  const char *seeds;
  const char *table;
  uint32_t memory_mb;
  uint32_t stop_ms;
  uint32_t drain_ms;
  uint32_t clean_after_ms;
  uint32_t clean_look_ms;
  uint32_t limit_window_ms;
  uint32_t limit_over_permille;
  uint32_t limit_slack;
  uint32_t settle_ms;
};

struct mq_router;

/* Returns NULL with ERROR set on failure.  SETTINGS must outlive the
   router.  */
struct mq_router *mq_router_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                    const struct mq_router_settings *settings,
                                    struct mq_error *error);
void mq_router_destroy (struct mq_router *router);
/* Applies reloaded SETTINGS as far as they can change at run time, and logs
   the result; NULL if the file was invalid.  */
void mq_router_apply_settings (struct mq_router *router,
                               const struct mq_router_settings *settings);
/* Begins a planned stop.  */
void mq_router_begin_stop (struct mq_router *router);
uint16_t mq_router_http_port (const struct mq_router *router);
uint16_t mq_router_ready_port (const struct mq_router *router);
/* "IP:PORT" where other routers reach this one.  */
const char *mq_router_peer_address (const struct mq_router *router);
/* Metrics in Prometheus text format, allocated on CTX.  */
char *mq_router_metrics (TALLOC_CTX *ctx, const struct mq_router *router);
/* Number of other routers known.  */
size_t mq_router_host_count (const struct mq_router *router);
/* Number of log keys used that the log schema lacks; 0 unless there is a
   bug.  */
uint64_t mq_router_log_unknown_keys (const struct mq_router *router);
/* The configuration and the workers are known and no stop was requested.  */
bool mq_router_is_ready (const struct mq_router *router);
bool mq_router_stopped (const struct mq_router *router);

#endif
