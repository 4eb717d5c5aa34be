/* router.h - the process on an entry host that callers' requests go through.

   Takes HTTP from callers, sends each request to a worker of the service that
   the configuration names, and passes the answer back.  What a program may
   still generate and what was said in it lie in the platform's table.
   Needs: tevent, error.h.  */

#ifndef MQ_ROUTER_H
#define MQ_ROUTER_H

#include "core/error.h"
#include <tevent.h>

/**
 * struct mq_router_settings - what a router learns from its settings file
 * @host: name of this host
 * @data_centre: where it stands
 * @http: "IP:PORT" for callers
 * @ready: "IP:PORT" for the balancer's question and for /metrics
 * @peer: "IP:PORT" for other routing hosts
 * @seeds: "IP:PORT" of some other hosts, with commas, may be empty
 * @table: "IP:PORT" of the platform's table
 * @memory_mb: memory that the process may use
 * @stop_ms: a stop takes no longer
 * @clean_after_ms: a process removes old records once it has run for so long
 * @clean_look_ms: pause between two looks for them
 * @limit_window_ms: time in which requests over an organisation's limit are
 *                   counted
 * @limit_over_permille: how far they may be over it, thousandths of it
 * @limit_slack: requests beside that
 * @settle_ms: after a stop was asked for, callers still come for so long
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
  uint32_t clean_after_ms;
  uint32_t clean_look_ms;
  uint32_t limit_window_ms;
  uint32_t limit_over_permille;
  uint32_t limit_slack;
  uint32_t settle_ms;
};

struct mq_router;

/* NULL with ERROR set when it can't listen.  SETTINGS must outlive it.  */
struct mq_router *mq_router_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                    const struct mq_router_settings *settings,
                                    struct mq_error *error);
void mq_router_destroy (struct mq_router *router);
/* The settings file was read again: SETTINGS, NULL: it has errors.  What
   changes while the process runs is taken over, and a line of the log says
   which of the two it was.  */
void mq_router_apply_settings (struct mq_router *router,
                               const struct mq_router_settings *settings);
/* Begins a planned stop.  */
void mq_router_begin_stop (struct mq_router *router);
/* Ports that it listens on.  */
uint16_t mq_router_http_port (const struct mq_router *router);
uint16_t mq_router_ready_port (const struct mq_router *router);
/* "IP:PORT" where other routing hosts reach it.  */
const char *mq_router_peer_address (const struct mq_router *router);
/* What it counts, as Prometheus text below CTX.  */
char *mq_router_metrics (TALLOC_CTX *ctx, const struct mq_router *router);
/* Other routing hosts that are known.  */
size_t mq_router_host_count (const struct mq_router *router);
/* Keys that its log was given and the schema lacks; 0 but for a mistake.  */
uint64_t mq_router_log_unknown_keys (const struct mq_router *router);
/* Callers may be sent here: the configuration and the workers are known, and
   no stop was asked for.  */
bool mq_router_is_ready (const struct mq_router *router);
/* The stop is complete.  */
bool mq_router_stopped (const struct mq_router *router);

#endif
