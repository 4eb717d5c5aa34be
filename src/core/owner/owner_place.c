/* owner_place.c - selects the worker for a call and dispatches it.

   Needs: owner_parts.h, place.h.  */

#include "owner_parts.h"
#include "../id.h"
#include <stdlib.h>
#include <string.h>

enum
{
  PLACE_RETRY_MS = 100,
  BYTES_PER_TOKEN = 4
};

/* ---- Load accounting ---- */

void
place_adjust_load (struct mq_owner *owner, struct call *call, int change)
{
  struct mq_worker_view *view;

  if (call->target == NULL)
    return;
  call->target->calls += (uint32_t)change;
  view = hosts_worker_view (owner, call->target, call->worker);
  if (view == NULL)
    return;
  if (change > 0)
    {
      view->own_in_flight++;
      view->own_tokens += call->uncached_tokens;
      return;
    }
  if (view->own_in_flight > 0)
    view->own_in_flight--;
  view->own_tokens -= view->own_tokens < call->uncached_tokens
                          ? view->own_tokens
                          : call->uncached_tokens;
}

void
place_detach_target (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;

  place_adjust_load (owner, call, -1);
  call->target = NULL;
  call->down_us = 0;
  budget_release (running, call->reserved);
  call->reserved = 0;
}

/* Gives up an attempt.  The tokens that it used are unknown, so its whole
   reservation is charged.  */
void
place_abandon_attempt (struct mq_owner *owner, struct running *running)
{
  uint64_t reserved = running->call->reserved;

  place_detach_target (owner, running);
  budget_charge (owner, running, reserved);
}

void
place_discard_call (struct mq_owner *owner, struct running *running)
{
  if (running->call != NULL && running->call->target != NULL)
    place_adjust_load (owner, running->call, -1);
  running->call = NULL;
}

/* ---- Worker selection ---- */

static int32_t
sticky_view (const struct running *running, const struct pool *pool)
{
  struct target *target = running->sticky;

  if (target == NULL || running->sticky_worker >= target->worker_count
      || target->workers[running->sticky_worker]->pool != pool)
    return -1;
  return (int32_t)target->workers[running->sticky_worker]->view;
}

struct shared_prompt
place_shared_prompt (const struct mq_owner *owner,
                     const struct running *running)
{
  const struct mq_service *agent
      = mq_text_find_service (owner->text, running->program->service);
  struct shared_prompt shared = { 0 };
  size_t len;

  if (agent == NULL || agent->prompt == NULL)
    return shared;
  len = strlen (agent->prompt);
  shared.hash = mq_hash_bytes (agent->prompt, len, 0);
  shared.tokens = (uint32_t)(len / BYTES_PER_TOKEN);
  return shared;
}

static struct worker *
choose_worker (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;
  struct pool *pool = hosts_get_pool (owner, call->service->name);
  struct shared_prompt shared = place_shared_prompt (owner, running);
  struct mq_place_call place = { 0 };
  int32_t chosen;

  place.prompt_tokens = call->prompt_tokens;
  place.expected_tokens = call->model ? call->max_tokens / 2 : 1;
  place.sticky = call->model ? sticky_view (running, pool) : -1;
  place.sticky_tokens = running->sticky_tokens;
  place.program_hash = running->program->id.hi;
  place.priority = running->program->priority;
  place.shared_prefix = shared.hash;
  place.shared_tokens = shared.tokens;
  chosen
      = mq_place_choose (owner->place, (enum mq_policy)owner->options.policy,
                         pool->views, pool->count, &place, owner->now_us);
  return chosen < 0 ? NULL : pool->workers[chosen];
}

void
place_record_cache (struct mq_owner *owner, struct running *running,
                    struct target *target)
{
  struct cache_location *place;

  for (place = running->caches; place != NULL; place = place->next)
    if (place->target == target && place->boot == target->boot)
      return;
  place = talloc_zero (running, struct cache_location);
  if (place == NULL)
    abort ();
  place->target = target;
  place->boot = target->boot;
  place->next = running->caches;
  running->caches = place;
  evict_send_lease (owner, running, target);
}

static void
fill_call_message (struct mq_owner *owner, const struct running *running,
                   struct mq_call_msg *message)
{
  const struct call *call = running->call;
  const struct mq_program *program = running->program;
  uint64_t remaining_ms = 0;

  if (program->budget.seconds > 0)
    {
      uint64_t budget_ms = 1000ULL * program->budget.seconds;
      uint64_t elapsed = budget_elapsed_ms (owner, running);

      remaining_ms = budget_ms > elapsed ? budget_ms - elapsed : 1;
    }
  message->ref.program = program->id;
  message->ref.call = call->number;
  message->ref.attempt = call->attempt;
  message->partition = running->partition->number;
  message->fence = running->partition->fence;
  message->boot = call->idempotent ? 0 : call->boot;
  message->service = call->service->name;
  message->route = call->service->path == NULL ? "" : call->service->path;
  message->organisation = program->organisation;
  message->worker = call->worker;
  message->idempotent = call->idempotent;
  message->priority = program->priority;
  message->deadline_ms
      = remaining_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)remaining_ms;
  message->max_tokens = call->max_tokens;
  message->attained = program->spent;
  message->continuing = program->calls > 0;
  message->follow_up = program->follow_up;
  message->prefix_tokens
      = running->sticky == call->target ? running->sticky_tokens : 0;
  message->traceparent = program->traceparent;
  message->body = call->body;
}

void
place_send_call (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;
  struct mq_message message = { .type = MQ_MSG_CALL };

  fill_call_message (owner, running, &message.u.call);
  hosts_send (owner, call->target, &message);
  owner->counters.calls_sent++;
}

/* Estimates the prompt tokens that the worker has to compute.  */
static uint32_t
estimate_uncached_tokens (const struct running *running,
                          const struct worker *worker)
{
  uint32_t prompt = running->call->prompt_tokens;
  uint32_t cached = 0;

  if (running->sticky == worker->target
      && running->sticky_worker == worker->index)
    cached = running->sticky_tokens;
  return prompt > cached ? prompt - cached : 0;
}

static void
assign_worker (struct mq_owner *owner, struct running *running,
               struct worker *worker)
{
  struct call *call = running->call;

  call->attempt++;
  if (call->attempt > 1)
    owner->counters.calls_retried++;
  call->target = worker->target;
  call->worker = worker->index;
  call->boot = worker->target->boot;
  call->sent_us = owner->now_us;
  call->uncached_tokens = estimate_uncached_tokens (running, worker);
  place_adjust_load (owner, call, 1);
  if (call->model)
    {
      call->reserved = call->max_tokens;
      budget_reserve (running, call->reserved);
    }
}

static void
dispatch_call (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;

  call->state = CALL_SENT;
  call->sent_us = owner->now_us;
  place_send_call (owner, running);
  if (call->model)
    place_record_cache (owner, running, call->target);
  owner_set_timer (owner, running,
                   owner->now_us + 1000ULL * call->service->timeout_ms
                       + 1000ULL * OUTCOME_GRACE_MS);
}

static void
append_intent (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;
  Mqlog__Record record = MQLOG__RECORD__INIT;
  Mqlog__Intent intent = MQLOG__INTENT__INIT;

  intent.call = call->number;
  intent.attempt = call->attempt;
  intent.host = call->target->host;
  intent.boot = call->boot;
  intent.worker = call->worker;
  record.body_case = MQLOG__RECORD__BODY_INTENT;
  record.intent = &intent;
  call->state = CALL_AWAITING_INTENT;
  log_append (owner, running, &record);
  log_add_hook (owner, running, HOOK_INTENT, call->number, call->attempt,
                NULL);
}

void
place_schedule_retry (struct mq_owner *owner, struct running *running,
                      uint32_t wait_ms)
{
  struct call *call = running->call;

  call->state = CALL_AWAITING_WORKER;
  call->retry_us = owner->now_us + 1000ULL * wait_ms;
  owner_set_timer (owner, running, call->retry_us);
}

/* Whether the charges for discarded attempts are durable.  No call is sent
   until they are: a call under the new fence makes the target drop later
   attempts of the previous owner.  If this owner then crashed before the
   charges commit, the next owner would find no trace of them and the budget
   would be spent twice.  */
static bool
charges_are_durable (struct mq_owner *owner, struct running *running)
{
  if (owner->settled_position >= running->charge_position)
    return true;
  if (!running->grant_requested)
    {
      running->grant_requested = true;
      log_add_hook (owner, running, HOOK_GRANTED, 0, 0, NULL)->tokens = 0;
    }
  return false;
}

void
place_call (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;
  struct worker *worker;

  if (!charges_are_durable (owner, running))
    {
      call->state = CALL_AWAITING_GRANT;
      return;
    }
  /* Charges of earlier attempts may have reduced the budget since max_tokens
     was set.  */
  if (call->model && !chain_limit_call (running))
    {
      call->state = CALL_AWAITING_WORKER;
      end_begin_stop (owner, running, MQ_ERR_BUDGET_TOKENS);
      return;
    }
  if (call->model && !budget_ensure_grant (owner, running, call->max_tokens))
    {
      call->state = CALL_AWAITING_GRANT;
      return;
    }
  worker = choose_worker (owner, running);
  if (worker == NULL)
    {
      place_schedule_retry (owner, running, PLACE_RETRY_MS);
      return;
    }
  assign_worker (owner, running, worker);
  if (call->idempotent)
    dispatch_call (owner, running);
  else
    append_intent (owner, running);
}

void
place_start (struct mq_owner *owner, struct running *running,
             struct call *call)
{
  running->call = call;
  call->started_us = owner->now_us;
  call->prompt_tokens = (uint32_t)(strlen (call->body) / BYTES_PER_TOKEN);
  place_call (owner, running);
}

void
place_retry (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;

  if (call == NULL)
    return;
  if (call->state == CALL_AWAITING_GRANT
      || (call->state == CALL_AWAITING_WORKER
          && owner->now_us >= call->retry_us))
    place_call (owner, running);
}

/* Sends the call once its intent is durable.  Any later owner then knows that
   the call may have been sent, and to which run of which process.  */
void
place_on_intent_durable (struct mq_owner *owner, struct running *running,
                         uint32_t number, uint32_t attempt)
{
  struct call *call = running->call;

  if (call == NULL || call->state != CALL_AWAITING_INTENT
      || call->number != number || call->attempt != attempt)
    return;
  if (call->target->peer == 0 || call->target->boot != call->boot
      || call->target->leaving)
    {
      /* The call was not sent, and only this owner may send it.  */
      place_detach_target (owner, running);
      place_schedule_retry (owner, running, 0);
      return;
    }
  dispatch_call (owner, running);
}
