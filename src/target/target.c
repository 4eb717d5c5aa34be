/* target.c - lifecycle, timers and actions of a target host's daemon.

   Needs: target_state.h and the modules that it connects.  */

#include "target.h"
#include "core/limits.h"
#include "core/memory.h"
#include "log/log.h"
#include "target_state.h"
#include "net/clock.h"
#include <string.h>

enum
{
  US_PER_MS = 1000,
  US_PER_SECOND = 1000000
};

static uint64_t
earlier (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

/* Inputs to the cores.  */

void
mq_target_dispatch_gate (struct mq_target *target, struct mq_gate_input *input)
{
  input->now_us = mq_clock_us ();
  mq_gate_handle (target->gate, input,
                  mq_batch_add (target, &target->queue, 0));
}

void
mq_target_dispatch_spread (struct mq_target *target,
                           struct mq_spread_input *input)
{
  input->now_us = mq_clock_us ();
  mq_spread_handle (target->spread, input,
                    mq_batch_add (target, &target->queue, 0));
}

/* Actions.  */

static void
run_action (struct mq_target *target, const struct mq_action *action)
{
  switch (action->type)
    {
    case MQ_ACT_SEND:
      mq_peer_net_send (target->net, action->peer, &action->u.message);
      break;
    case MQ_ACT_STORE:
      mq_platform_send (target->platform, &action->u.store);
      break;
    case MQ_ACT_START:
      mq_worker_start (target->workers[action->u.start.worker],
                       &action->u.start);
      break;
    case MQ_ACT_STOP:
      mq_worker_stop (target->workers[action->u.stop.worker],
                      action->u.stop.slot);
      break;
    case MQ_ACT_EVICT:
      mq_worker_evict (target->workers[action->u.evict.worker],
                       action->u.evict.program);
      break;
    case MQ_ACT_ORDER:
      mq_worker_order (target->workers[action->u.order.worker],
                       &action->u.order);
      break;
    case MQ_ACT_SPAN:
      mq_spans_add (target->spans, &action->u.span);
      break;
    case MQ_ACT_STATE:
      mq_log_state (&action->u.state);
      break;
    case MQ_ACT_EVENT:
      /* Returned only by the cores of an entry host.  */
      break;
    }
}

static void
update_config_version (struct mq_target *target)
{
  uint64_t version = mq_spread_version (target->spread);

  if (version == target->seen_version)
    return;
  target->seen_version = version;
  mq_peer_net_set_version (target->net, version);
}

/* Graceful shutdown.  */

/* Whether the host is drained and no call has arrived for a grace period.  A
   call sent before its owner learned of the drain must still be refused: if
   the process exits instead, the owner can't tell whether the call ran.  */
static bool
is_idle (struct mq_target *target)
{
  uint64_t calls = mq_gate_read_counters (target->gate)->calls_received;
  uint64_t now = mq_clock_us ();

  if (!mq_gate_is_drained (target->gate)
      || mq_target_http_in_progress (target->http) > 0)
    {
      target->quiet_since_us = 0;
      return false;
    }
  if (target->quiet_since_us == 0 || target->quiet_calls != calls)
    target->quiet_since_us = now;
  target->quiet_calls = calls;
  return now - target->quiet_since_us
         >= (uint64_t)MQ_TARGET_IDLE_MS * US_PER_MS;
}

static void
report_done (struct tevent_context *ev, struct tevent_immediate *immediate,
             void *data)
{
  struct mq_target *target = data;

  (void)ev;
  (void)immediate;
  target->done (target->user);
}

/* Closes the operators' listening socket, and then their connections, only
   when the host is idle or its time is over.  */
static bool
has_stopped (struct mq_target *target)
{
  uint64_t now = mq_clock_us ();
  bool late = now >= target->stop_until_us;

  if (!late && !is_idle (target))
    return false;
  if (late && target->closed && now >= target->close_until_us)
    return true;
  if (target->closed)
    return mq_target_http_close_idle (target->http);
  target->closed = true;
  target->close_until_us = now + (uint64_t)MQ_STOP_CLOSE_MS * US_PER_MS;
  mq_target_http_stop_accepting (target->http);
  return false;
}

static void
check_drained (struct mq_target *target)
{
  if (!target->stopping || target->stop != NULL || !has_stopped (target))
    return;
  target->stop = mq_check_alloc (tevent_create_immediate (target));
  tevent_schedule_immediate (target->stop, target->ev, report_done, target);
}

void
mq_target_refuse_new_calls (struct mq_target *target)
{
  struct mq_gate_input input = { .type = MQ_GATE_LEAVE };

  if (target->leaving)
    return;
  target->leaving = true;
  mq_target_dispatch_gate (target, &input);
  mq_target_run_queue (target);
}

void
mq_target_drain (struct mq_target *target)
{
  if (target->stopping)
    return;
  target->stopping = true;
  target->stop_until_us
      = mq_clock_us ()
        + (uint64_t)target->settings->drain_seconds * US_PER_SECOND;
  mq_target_refuse_new_calls (target);
  mq_target_run_queue (target);
}

void
mq_target_end_drain (struct mq_target *target)
{
  target->stop_until_us = mq_clock_us ();
  mq_target_run_queue (target);
}

/* Timers.  */

static void
on_timer (void *data)
{
  struct mq_target *target = data;
  struct mq_gate_input gate = { .type = MQ_GATE_TICK };
  struct mq_spread_input spread = { .type = MQ_SPREAD_TICK };

  target->tick.timer = NULL;
  if (mq_spread_next_tick (target->spread) <= mq_clock_us ())
    mq_target_dispatch_spread (target, &spread);
  if (mq_gate_next_tick (target->gate) <= mq_clock_us ())
    mq_target_dispatch_gate (target, &gate);
  mq_target_run_queue (target);
}

static uint64_t
next_tick (const struct mq_target *target)
{
  uint64_t next = earlier (mq_gate_next_tick (target->gate),
                           mq_spread_next_tick (target->spread));

  /* The grace period of is_idle triggers no input, so it is polled.  */
  if (target->stopping && target->stop == NULL)
    next = earlier (next, mq_clock_us ()
                              + (uint64_t)MQ_TARGET_STOP_POLL_MS * US_PER_MS);
  return next;
}

void
mq_target_run_queue (struct mq_target *target)
{
  struct mq_batch *batch;

  if (target->working)
    return;
  target->working = true;
  while ((batch = mq_batch_take (&target->queue)) != NULL)
    {
      for (size_t i = 0; i < batch->actions->count; i++)
        run_action (target, &batch->actions->items[i]);
      talloc_free (batch);
      update_config_version (target);
    }
  target->working = false;
  check_drained (target);
  mq_tick_timer_set (&target->tick, target->ev, next_tick (target), 0,
                     on_timer, target);
}

/* Lifecycle.  */

static bool
create_net (struct mq_target *target, struct mq_error *error)
{
  struct mq_peer_callbacks callbacks = mq_target_peer_callbacks (target);

  target->net = mq_process_create_net (
      target, target->ev, target->settings, MQ_HOST_TARGET, target->boot,
      &callbacks, &target->peer_address, error);
  return target->net != NULL;
}

static void
create_cores (struct mq_target *target)
{
  const struct mq_settings *settings = target->settings;
  struct mq_gate_options options = { .host = settings->host };

  options.boot = target->boot;
  options.seed = mq_clock_random ();
  options.order = settings->order;
  options.workers = settings->workers;
  options.worker_count = settings->worker_count;
  target->gate = mq_gate_create (target, &options);
  target->spread = mq_spread_create (
      target, settings->host, settings->data_centre, mq_clock_random ());
}

static bool
create_clients (struct mq_target *target, struct mq_error *error)
{
  const struct mq_settings *settings = target->settings;

  target->client = mq_http_client_create (target, target->ev, error);
  if (target->client == NULL)
    return false;
  target->platform = mq_platform_create (target, target->ev, target->client,
                                         settings->platform,
                                         mq_target_on_store_result, target);
  if (target->platform != NULL)
    return true;
  mq_error_set (error, MQ_ERR_IO, settings->platform, "");
  return false;
}

static void
create_workers (struct mq_target *target)
{
  const struct mq_settings *settings = target->settings;
  struct mq_worker_callbacks callbacks = mq_target_worker_callbacks (target);

  target->workers = mq_check_alloc (talloc_zero_array (
      target, struct mq_worker *, (unsigned int)settings->worker_count + 1));
  for (uint32_t i = 0; i < settings->worker_count; i++)
    {
      struct mq_worker_options options = { .index = i };

      options.kind = settings->workers[i].kind;
      options.url = settings->worker_urls[i];
      options.model = settings->workers[i].model;
      target->workers[i] = mq_check_alloc (mq_worker_create (
          target, target->ev, target->client, &options, &callbacks));
    }
}

static bool
create_http (struct mq_target *target, struct mq_error *error)
{
  const struct mq_settings *settings = target->settings;
  struct mq_operator_callbacks callbacks
      = mq_target_operator_callbacks (target);

  target->http
      = mq_target_http_create (target, target->ev, settings->http,
                               settings->operator_key_hash, &callbacks, error);
  if (target->http == NULL)
    return false;
  target->http_address = mq_process_replace_port (
      target, settings->http, mq_target_http_port (target->http));
  return true;
}

struct mq_target *
mq_target_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                  const struct mq_settings *settings,
                  void (*done) (void *user), void *user,
                  struct mq_error *error)
{
  struct mq_target *target
      = mq_check_alloc (talloc_zero (ctx, struct mq_target));

  target->ev = ev;
  target->settings = settings;
  target->done = done;
  target->user = user;
  target->boot = mq_clock_random ();
  target->spans
      = mq_spans_create (target, settings->host, settings->data_centre);
  create_cores (target);
  if (!create_net (target, error) || !create_clients (target, error)
      || !create_http (target, error))
    {
      mq_target_destroy (target);
      return NULL;
    }
  create_workers (target);
  mq_platform_watch_hosts (target->platform, MQ_HOSTS_POLL_MS,
                           mq_target_on_hosts, target);
  mq_target_run_queue (target);
  return target;
}

static void
destroy_workers (struct mq_target *target)
{
  if (target->workers == NULL)
    return;
  for (size_t i = 0; i < target->settings->worker_count; i++)
    mq_worker_destroy (target->workers[i]);
}

/* Setting the working flag keeps the cores' last actions from being run.  */
void
mq_target_destroy (struct mq_target *target)
{
  if (target == NULL)
    return;
  target->working = true;
  if (target->http != NULL)
    mq_target_http_destroy (target->http);
  if (target->net != NULL)
    mq_peer_net_destroy (target->net);
  destroy_workers (target);
  if (target->platform != NULL)
    mq_platform_destroy (target->platform);
  if (target->client != NULL)
    mq_http_client_destroy (target->client);
  talloc_free (target);
}

const char *
mq_target_http_address (const struct mq_target *target)
{
  return target->http_address;
}

const char *
mq_target_peer_address (const struct mq_target *target)
{
  return target->peer_address;
}
