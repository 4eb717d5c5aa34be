/* target_input.c - passes events from the network to a target host's cores.

   Needs: target_state.h, target_report.h.  */

#include "target_report.h"
#include "target_state.h"
#include <string.h>

/* Peers.  */

static void
on_peer_up (uint32_t peer, const struct mq_peer_info *info, void *user)
{
  struct mq_target *target = user;
  struct mq_spread_input spread = { .type = MQ_SPREAD_PEER_UP, .peer = peer };
  struct mq_gate_input gate = { .type = MQ_GATE_PEER_UP, .peer = peer };

  mq_target_dispatch_spread (target, &spread);
  if (info->role == MQ_HOST_ENTRY)
    mq_target_dispatch_gate (target, &gate);
  mq_target_run_queue (target);
}

static void
on_peer_down (uint32_t peer, enum mq_error_type why, void *user)
{
  struct mq_target *target = user;
  struct mq_spread_input spread
      = { .type = MQ_SPREAD_PEER_DOWN, .peer = peer };
  struct mq_gate_input gate = { .type = MQ_GATE_PEER_DOWN, .peer = peer };

  (void)why;
  mq_target_dispatch_spread (target, &spread);
  mq_target_dispatch_gate (target, &gate);
  mq_target_run_queue (target);
}

/* Passes each message to the spread core first, so that a newer configuration
   is requested before the message is handled.  */
static void
on_message (uint32_t peer, const struct mq_message *message, void *user)
{
  struct mq_target *target = user;
  struct mq_spread_input spread = { .type = MQ_SPREAD_MESSAGE, .peer = peer };
  struct mq_gate_input gate = { .type = MQ_GATE_MESSAGE, .peer = peer };

  spread.u.message = message;
  mq_target_dispatch_spread (target, &spread);
  gate.u.message = message;
  mq_target_dispatch_gate (target, &gate);
  mq_target_run_queue (target);
}

struct mq_peer_callbacks
mq_target_peer_callbacks (struct mq_target *target)
{
  struct mq_peer_callbacks callbacks = { .up = on_peer_up,
                                         .down = on_peer_down,
                                         .message = on_message,
                                         .user = target };

  return callbacks;
}

/* The platform.  */

void
mq_target_on_store_result (const struct mq_store_result *result, void *user)
{
  struct mq_target *target = user;
  struct mq_spread_input spread = { .type = MQ_SPREAD_STORE };

  spread.u.store = result;
  mq_target_dispatch_spread (target, &spread);
  mq_target_run_queue (target);
}

/* Selects the hosts to connect to.  */
struct host_filter
{
  const struct mq_settings *settings;
  bool local_entry; /* an entry host is in this data centre */
};

static bool
has_local_entry (const struct mq_target *target,
                 const struct mq_host_list *hosts)
{
  for (size_t i = 0; i < hosts->count; i++)
    if (hosts->items[i].role == MQ_HOST_ENTRY
        && strcmp (hosts->items[i].data_centre, target->settings->data_centre)
               == 0)
      return true;
  return false;
}

/* Selects the entry hosts of this data centre, or of this region if the data
   centre has none.  Other entry hosts connect when they dispatch calls.  */
static bool
should_connect (const struct mq_host *host, const void *data)
{
  const struct host_filter *filter = data;
  const struct mq_settings *settings = filter->settings;

  if (host->role != MQ_HOST_ENTRY)
    return false;
  if (filter->local_entry)
    return strcmp (host->data_centre, settings->data_centre) == 0;
  return strcmp (host->region, settings->region) == 0;
}

static void
connect_hosts (struct mq_target *target, const struct mq_host_list *hosts)
{
  struct host_filter filter = { .settings = target->settings };

  filter.local_entry = has_local_entry (target, hosts);
  mq_connected_hosts_update (target, &target->connected, target->net, hosts,
                             should_connect, &filter);
}

/* Refuses new calls once the platform lists this host as leaving.  The process
   keeps running until it is stopped.  */
static void
check_own_host (struct mq_target *target, const struct mq_host_list *hosts)
{
  for (size_t i = 0; i < hosts->count; i++)
    if (strcmp (hosts->items[i].name, target->settings->host) == 0
        && hosts->items[i].role == MQ_HOST_TARGET && hosts->items[i].leaving)
      mq_target_refuse_new_calls (target);
}

void
mq_target_on_hosts (const struct mq_host_list *hosts, void *user)
{
  struct mq_target *target = user;
  struct mq_spread_input spread = { .type = MQ_SPREAD_HOSTS };

  connect_hosts (target, hosts);
  spread.u.hosts = hosts;
  mq_target_dispatch_spread (target, &spread);
  check_own_host (target, hosts);
  mq_target_run_queue (target);
}

/* Workers.  */

static void
on_token (const struct mq_gate_token *token, void *user)
{
  struct mq_target *target = user;
  struct mq_gate_input input = { .type = MQ_GATE_TOKEN };

  input.u.token = *token;
  mq_target_dispatch_gate (target, &input);
  mq_target_run_queue (target);
}

static void
on_done (const struct mq_gate_done *done, void *user)
{
  struct mq_target *target = user;
  struct mq_gate_input input = { .type = MQ_GATE_DONE };

  input.u.done = *done;
  mq_target_dispatch_gate (target, &input);
  mq_target_run_queue (target);
}

static void
on_evicted (const struct mq_gate_evicted *evicted, void *user)
{
  struct mq_target *target = user;
  struct mq_gate_input input = { .type = MQ_GATE_EVICTED };

  input.u.evicted = *evicted;
  mq_target_dispatch_gate (target, &input);
  mq_target_run_queue (target);
}

static void
on_cache (const struct mq_gate_cache *cache, void *user)
{
  struct mq_target *target = user;
  struct mq_gate_input input = { .type = MQ_GATE_CACHE };

  input.u.cache = *cache;
  mq_target_dispatch_gate (target, &input);
  mq_target_run_queue (target);
}

static void
on_engine_up (uint32_t worker, uint64_t boot, void *user)
{
  struct mq_target *target = user;
  struct mq_gate_input input
      = { .type = MQ_GATE_ENGINE_UP, .engine_boot = boot };

  input.u.worker = worker;
  mq_target_dispatch_gate (target, &input);
  mq_target_run_queue (target);
}

static void
on_engine_down (uint32_t worker, void *user)
{
  struct mq_target *target = user;
  struct mq_gate_input input = { .type = MQ_GATE_ENGINE_DOWN };

  input.u.worker = worker;
  mq_target_dispatch_gate (target, &input);
  mq_target_run_queue (target);
}

static void
on_ordered (const struct mq_order_done_msg *ordered, void *user)
{
  struct mq_target *target = user;
  struct mq_gate_input input = { .type = MQ_GATE_ORDERED };

  input.u.ordered = *ordered;
  mq_target_dispatch_gate (target, &input);
  mq_target_run_queue (target);
}

struct mq_worker_callbacks
mq_target_worker_callbacks (struct mq_target *target)
{
  struct mq_worker_callbacks callbacks = { .token = on_token,
                                           .done = on_done,
                                           .evicted = on_evicted,
                                           .cache = on_cache,
                                           .up = on_engine_up,
                                           .down = on_engine_down,
                                           .ordered = on_ordered,
                                           .user = target };

  return callbacks;
}

/* Operators.  */

static bool
is_ready (const struct mq_target *target)
{
  return mq_spread_version (target->spread) > 0;
}

static enum mq_error_type
on_ready (void *user)
{
  const struct mq_target *target = user;

  if (target->leaving)
    return MQ_ERR_LEAVING;
  return is_ready (target) ? MQ_ERR_NONE : MQ_ERR_NOT_READY;
}

static void
fill_view (const struct mq_target *target, struct mq_target_view *view)
{
  view->settings = target->settings;
  view->ready = is_ready (target);
  view->leaving = target->leaving;
  view->gate = target->gate;
  view->spread = target->spread;
  view->net = target->net;
  view->platform = target->platform;
  view->workers = target->workers;
}

static char *
on_metrics (TALLOC_CTX *ctx, void *user)
{
  struct mq_target_view view;

  fill_view (user, &view);
  return mq_target_metrics (ctx, &view);
}

static char *
on_status (TALLOC_CTX *ctx, void *user)
{
  struct mq_target_view view;

  fill_view (user, &view);
  return mq_target_status (ctx, &view);
}

static char *
on_spans (TALLOC_CTX *ctx, struct mq_id program, void *user)
{
  const struct mq_target *target = user;

  return mq_spans_json (ctx, target->spans, program);
}

static void
on_drain (void *user)
{
  mq_target_drain (user);
}

struct mq_operator_callbacks
mq_target_operator_callbacks (struct mq_target *target)
{
  struct mq_operator_callbacks callbacks = { .ready = on_ready,
                                             .metrics = on_metrics,
                                             .status = on_status,
                                             .spans = on_spans,
                                             .drain = on_drain,
                                             .user = target };

  return callbacks;
}
