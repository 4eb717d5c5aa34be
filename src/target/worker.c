/* worker.c - HTTP client of one worker on a target host.

   Needs: worker_state.h, worker_answer.h.  */

#include "worker.h"
#include "core/limits.h"
#include "core/memory.h"
#include "worker_answer.h"
#include "worker_state.h"

bool
mq_worker_is_model (const struct mq_worker *worker)
{
  return worker->options.kind == MQ_SERVICE_MODEL;
}

/* Polling of the engine's cache.  */

static void
on_poll_timer (struct tevent_context *ev, struct tevent_timer *timer,
               struct timeval now, void *data)
{
  struct mq_worker *worker = data;

  (void)ev;
  (void)timer;
  (void)now;
  worker->poll_timer = NULL;
  worker->polling = true;
  mq_control_send (mq_control_create (worker, MQ_CONTROL_POLL), "/v1/cache",
                   NULL, MQ_WORKER_CONTROL_MS);
}

void
mq_worker_schedule_poll (struct mq_worker *worker, uint32_t wait_ms)
{
  struct timeval at
      = tevent_timeval_current_ofs (wait_ms / 1000, wait_ms % 1000 * 1000);

  TALLOC_FREE (worker->poll_timer);
  worker->poll_timer
      = tevent_add_timer (worker->ev, worker, at, on_poll_timer, worker);
}

/* Called when a call failed, to detect early that the engine is down or was
   restarted.  */
void
mq_worker_poll_now (struct mq_worker *worker)
{
  if (mq_worker_is_model (worker) && !worker->polling)
    mq_worker_schedule_poll (worker, 0);
}

static void
report_down (struct mq_worker *worker)
{
  worker->counters.polls_failed++;
  if (worker->state == MQ_ENGINE_DOWN)
    return;
  worker->state = MQ_ENGINE_DOWN;
  worker->callbacks.down (worker->options.index, worker->callbacks.user);
}

static void
report_up (struct mq_worker *worker, uint64_t boot)
{
  bool known = worker->state == MQ_ENGINE_UP && worker->boot == boot;

  if (worker->boot != 0 && worker->boot != boot)
    worker->counters.restarts++;
  worker->state = MQ_ENGINE_UP;
  worker->boot = boot;
  if (!known)
    worker->callbacks.up (worker->options.index, boot, worker->callbacks.user);
}

static void
report_cache (struct mq_worker *worker, uint64_t boot,
              struct mq_gate_cache *cache)
{
  report_up (worker, boot);
  cache->worker = worker->options.index;
  worker->callbacks.cache (cache, worker->callbacks.user);
}

void
mq_worker_on_cache_response (struct mq_worker_control *control,
                             const struct mq_http_result *result)
{
  struct mq_worker *worker = control->worker;
  TALLOC_CTX *answer = talloc_new (worker);
  struct mq_gate_cache cache = { 0 };
  uint64_t boot = 0;
  bool known = mq_worker_response_ok (result)
               && mq_worker_read_cache (answer, result->body, result->len,
                                        &boot, &cache);

  talloc_free (control);
  worker->polling = false;
  mq_worker_schedule_poll (worker, worker->options.cache_poll_ms);
  if (known)
    report_cache (worker, boot, &cache);
  else
    report_down (worker);
  talloc_free (answer);
}

/* Lifecycle.  */

struct mq_worker *
mq_worker_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                  struct mq_http_client *client,
                  const struct mq_worker_options *options,
                  const struct mq_worker_callbacks *callbacks)
{
  struct mq_worker *worker = talloc_zero (ctx, struct mq_worker);

  if (worker == NULL)
    return NULL;
  worker->ev = ev;
  worker->client = client;
  worker->options = *options;
  worker->options.url = mq_check_alloc (talloc_strdup (worker, options->url));
  worker->options.model = mq_check_alloc (
      talloc_strdup (worker, options->model == NULL ? "" : options->model));
  if (options->cache_poll_ms == 0)
    worker->options.cache_poll_ms = MQ_WORKER_CACHE_POLL_MS;
  worker->callbacks = *callbacks;
  if (mq_worker_is_model (worker))
    mq_worker_schedule_poll (worker, 0);
  return worker;
}

void
mq_worker_destroy (struct mq_worker *worker)
{
  talloc_free (worker);
}

const struct mq_worker_counters *
mq_worker_read_counters (const struct mq_worker *worker)
{
  return &worker->counters;
}
