/* owner_calls.c - attempts of calls: placing, outcomes, retries, sealing.

   A call that may be repeated is placed again after any doubt; what the
   doubtful attempt may have spent is charged in full.  A call that may not
   be repeated is sent only after its intent is durable, and goes elsewhere
   only after the target's process has refused it for good.
   Needs: owner_state.h, id.h.  */

#include "owner_state.h"
#include "id.h"
#include <stdlib.h>
#include <string.h>

enum
{
  PLACE_RETRY_MS = 100,
  GUARD_MS = 5000, /* beyond a service's own timeout, then it is doubtful */
  BYTES_PER_TOKEN = 4
};

/* ---- Accounting at targets ---- */

static void
count_at_target (struct mq_owner *owner, struct call *call, int change)
{
  struct mq_worker_view *view;

  if (call->target == NULL)
    return;
  call->target->calls += (uint32_t)change;
  view = hosts_view (owner, call->target, call->worker);
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

static void
leave_target (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;

  count_at_target (owner, call, -1);
  call->target = NULL;
  call->down_us = 0;
  chain_release (running, call->reserved);
  call->reserved = 0;
}

/* Whether the attempt spent its tokens can't be known: it counts as if it
   had spent all that it may.  */
static void
abandon (struct mq_owner *owner, struct running *running)
{
  uint64_t reserved = running->call->reserved;

  leave_target (owner, running);
  chain_charge (owner, running, reserved);
}

void
calls_drop (struct mq_owner *owner, struct running *running)
{
  if (running->call != NULL && running->call->target != NULL)
    count_at_target (owner, running->call, -1);
  running->call = NULL;
}

/* ---- Placing ---- */

static int32_t
sticky_view (const struct running *running, const struct pool *pool)
{
  struct target *target = running->sticky;

  if (target == NULL || running->sticky_worker >= target->worker_count
      || target->workers[running->sticky_worker]->pool != pool)
    return -1;
  return (int32_t)target->workers[running->sticky_worker]->view;
}

/* The prompt that all programs of a service begin with.  */
struct shared_prompt
{
  uint64_t hash;
  uint32_t tokens;
};

static struct shared_prompt
find_shared (const struct mq_owner *owner, const struct running *running)
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
  struct pool *pool = hosts_pool (owner, call->service->name);
  struct shared_prompt shared = find_shared (owner, running);
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

static void
remember_cache (struct mq_owner *owner, struct running *running,
                struct target *target)
{
  struct cache_place *place;

  for (place = running->caches; place != NULL; place = place->next)
    if (place->target == target && place->boot == target->boot)
      return;
  place = talloc_zero (running, struct cache_place);
  if (place == NULL)
    abort ();
  place->target = target;
  place->boot = target->boot;
  place->next = running->caches;
  running->caches = place;
  chain_lease (owner, running, target);
}

static void
fill_call (struct mq_owner *owner, const struct running *running,
           struct mq_call_msg *message)
{
  const struct call *call = running->call;
  const struct mq_program *program = running->program;
  uint64_t left = 0;

  if (program->budget.seconds > 0)
    {
      uint64_t budget_ms = 1000ULL * program->budget.seconds;
      uint64_t elapsed = chain_elapsed_ms (owner, running);

      left = budget_ms > elapsed ? budget_ms - elapsed : 1;
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
  message->deadline_ms = left > UINT32_MAX ? UINT32_MAX : (uint32_t)left;
  message->max_tokens = call->max_tokens;
  message->attained = program->spent;
  message->continuing = program->calls > 0;
  message->follow_up = program->follow_up;
  message->prefix_tokens
      = running->sticky == call->target ? running->sticky_tokens : 0;
  message->traceparent = program->traceparent;
  message->body = call->body;
}

static void
send_call (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;
  struct mq_message message = { .type = MQ_MSG_CALL };

  fill_call (owner, running, &message.u.call);
  hosts_send (owner, call->target, &message);
  owner->counters.calls_sent++;
}

/* Prompt tokens that the worker has to compute, as far as is known.  */
static uint32_t
expect_uncached (const struct running *running, const struct worker *worker)
{
  uint32_t prompt = running->call->prompt_tokens;
  uint32_t cached = 0;

  if (running->sticky == worker->target
      && running->sticky_worker == worker->index)
    cached = running->sticky_tokens;
  return prompt > cached ? prompt - cached : 0;
}

static void
go_to (struct mq_owner *owner, struct running *running, struct worker *worker)
{
  struct call *call = running->call;

  call->attempt++;
  if (call->attempt > 1)
    owner->counters.calls_retried++;
  call->target = worker->target;
  call->worker = worker->index;
  call->boot = worker->target->boot;
  call->sent_us = owner->now_us;
  call->uncached_tokens = expect_uncached (running, worker);
  count_at_target (owner, call, 1);
  if (call->model)
    {
      call->reserved = call->max_tokens;
      chain_reserve (running, call->reserved);
    }
}

static void
send_first (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;

  call->state = CALL_SENT;
  call->sent_us = owner->now_us;
  send_call (owner, running);
  if (call->model)
    remember_cache (owner, running, call->target);
  owner_wake_at (owner, running,
                 owner->now_us + 1000ULL * call->service->timeout_ms
                     + 1000ULL * GUARD_MS);
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
  call->state = CALL_INTENT;
  log_append (owner, running, &record);
  log_hook (owner, running, HOOK_INTENT, call->number, call->attempt, NULL);
}

static void
wait_and_place (struct mq_owner *owner, struct running *running,
                uint32_t wait_ms)
{
  struct call *call = running->call;

  call->state = CALL_PLACE;
  call->retry_us = owner->now_us + 1000ULL * wait_ms;
  owner_wake_at (owner, running, call->retry_us);
}

/* Failure: a call under our fence voids at its target what the earlier
   owner's later attempts left there; we die before their charges are
   durable, and the next owner finds no trace of them: the budget is spent
   again.  So no call goes out before they are.  */
static bool
discards_are_durable (struct mq_owner *owner, struct running *running)
{
  if (owner->settled >= running->discard_mark)
    return true;
  if (!running->grant_asked)
    {
      running->grant_asked = true;
      log_hook (owner, running, HOOK_GRANTED, 0, 0, NULL)->tokens = 0;
    }
  return false;
}

static void
place_call (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;
  struct worker *worker;

  if (!discards_are_durable (owner, running))
    {
      call->state = CALL_GRANT;
      return;
    }
  /* An earlier attempt may have been charged since the cap was set.  */
  if (call->model && !chain_fit_call (running))
    {
      call->state = CALL_PLACE;
      chain_stop (owner, running, MQ_ERR_BUDGET_TOKENS);
      return;
    }
  if (call->model && !chain_has_grant (owner, running, call->max_tokens))
    {
      call->state = CALL_GRANT;
      return;
    }
  worker = choose_worker (owner, running);
  if (worker == NULL)
    {
      wait_and_place (owner, running, PLACE_RETRY_MS);
      return;
    }
  go_to (owner, running, worker);
  if (call->idempotent)
    send_first (owner, running);
  else
    append_intent (owner, running);
}

void
calls_start (struct mq_owner *owner, struct running *running,
             struct call *call)
{
  running->call = call;
  call->started_us = owner->now_us;
  call->prompt_tokens = (uint32_t)(strlen (call->body) / BYTES_PER_TOKEN);
  place_call (owner, running);
}

void
calls_continue (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;

  if (call == NULL)
    return;
  if (call->state == CALL_GRANT
      || (call->state == CALL_PLACE && owner->now_us >= call->retry_us))
    place_call (owner, running);
}

/* The intent is durable: whoever owns the partition from now on knows that
   the call may have been sent, and to which run of which process.  */
void
calls_intent_durable (struct mq_owner *owner, struct running *running,
                      uint32_t number, uint32_t attempt)
{
  struct call *call = running->call;

  if (call == NULL || call->state != CALL_INTENT || call->number != number
      || call->attempt != attempt)
    return;
  if (call->target->peer == 0 || call->target->boot != call->boot
      || call->target->leaving)
    {
      /* Never sent from here, and only this owner may send it.  */
      leave_target (owner, running);
      wait_and_place (owner, running, 0);
      return;
    }
  send_first (owner, running);
}

/* ---- Retries ---- */

/* Retries of a service are a share of its calls, so that they can't
   multiply the load of one that is down.  */
static bool
take_retry (struct mq_owner *owner, const struct call *call)
{
  struct pool *pool = hosts_pool (owner, call->service->name);

  if (pool->retry_credit < 1)
    return false;
  pool->retry_credit -= 1;
  return true;
}

static void
earn_retry (struct mq_owner *owner, const struct call *call)
{
  struct pool *pool = hosts_pool (owner, call->service->name);
  double most = 10;

  pool->retry_credit += call->service->retry_percent / 100.0;
  if (pool->retry_credit > most)
    pool->retry_credit = most;
}

static void
retry_call (struct mq_owner *owner, struct running *running, uint32_t wait_ms)
{
  struct call *call = running->call;
  uint32_t backoff = owner_jitter_ms (owner, MQ_RETRY_BASE_MS, call->tries++,
                                      MQ_RETRY_MAX_MS);

  if (!take_retry (owner, call) && backoff < MQ_RETRY_MAX_MS / 4)
    backoff += MQ_RETRY_MAX_MS / 4;
  if (call->tokens_seen > 0)
    {
      /* What callers saw of the first attempt is void.  */
      request_event (owner, running, MQ_EVENT_RESET, call->number << 16,
                     call->number, "{}");
      call->tokens_seen = 0;
    }
  wait_and_place (owner, running, wait_ms > backoff ? wait_ms : backoff);
}

static void
note_unknown (struct mq_owner *owner, const struct running *running)
{
  const struct call *call = running->call;
  struct unknown_call *unknown;
  char id[MQ_ID_TEXT];

  owner->counters.calls_unknown++;
  owner->unknown = talloc_realloc (owner, owner->unknown, struct unknown_call,
                                   (unsigned int)owner->unknown_count + 1);
  if (owner->unknown == NULL)
    abort ();
  unknown = &owner->unknown[owner->unknown_count++];
  unknown->program = running->program->id;
  unknown->call = call->number;
  unknown->service = talloc_strdup (owner->unknown, call->service->name);
  unknown->target = talloc_strdup (
      owner->unknown, call->target == NULL ? "" : call->target->host);
  mq_id_format (running->program->id, id);
  owner_state (owner, MQ_STATE_UNKNOWN_CALL, call->number, id);
}

/* The target's process that took the call is gone, and with it the only
   record of whether the call ran.  It is never repeated.  */
static void
give_up_unknown (struct mq_owner *owner, struct running *running)
{
  note_unknown (owner, running);
  leave_target (owner, running);
  chain_outcome (owner, running, MQ_ERR_TARGET_UNKNOWN, MQ_RAN_UNKNOWN, "",
                 NULL);
}

static void
fail_or_retry (struct mq_owner *owner, struct running *running,
               enum mq_error_type error, enum mq_ran ran,
               uint32_t retry_after_ms, const char *host)
{
  struct call *call = running->call;

  if (running->stop != MQ_ERR_NONE)
    {
      chain_outcome (owner, running, error, ran, "", host);
      return;
    }
  if (ran == MQ_RAN_NOT_RUN)
    {
      retry_call (owner, running, retry_after_ms);
      return;
    }
  if (call->idempotent && call->tries < MQ_ATTEMPTS_MAX)
    {
      retry_call (owner, running, retry_after_ms);
      return;
    }
  if (!call->idempotent && ran == MQ_RAN_UNKNOWN)
    {
      note_unknown (owner, running);
      error = MQ_ERR_TARGET_UNKNOWN;
    }
  chain_outcome (owner, running, error, ran, "", host);
}

/* ---- Outcomes ---- */

void
calls_forget (struct mq_owner *owner, struct mq_id program, uint32_t number,
              uint32_t attempt, uint32_t partition, uint64_t fence,
              const char *host)
{
  struct mq_message message = { .type = MQ_MSG_FORGET };
  struct target *target
      = host == NULL ? NULL : hosts_target_named (owner, host);

  if (target == NULL)
    return;
  message.u.ref.ref.program = program;
  message.u.ref.ref.call = number;
  message.u.ref.ref.attempt = attempt;
  message.u.ref.partition = partition;
  message.u.ref.fence = fence;
  hosts_send (owner, target, &message);
}

/* Failure: a target's process drops an outcome whose charge is not yet in
   the log; the owner dies, and its successor neither finds nor charges what
   was spent.  So the outcome is kept until all that is known of the program
   is durable.  */
void
calls_forget_later (struct mq_owner *owner, struct running *running,
                    uint32_t number, uint32_t attempt, const char *host)
{
  log_hook (owner, running, HOOK_FORGET, number, attempt, host);
}

static void
remember_sticky (struct running *running, const struct mq_outcome_msg *outcome)
{
  struct call *call = running->call;

  if (!call->model || outcome->error != MQ_ERR_NONE)
    return;
  running->sticky = call->target;
  running->sticky_worker = call->worker;
  running->sticky_tokens = outcome->tokens_in + outcome->tokens_out;
  running->known_tokens = running->sticky_tokens;
}

/* True when the prefix was computed for this owner before; it is from now
   on.  There are as many as the text has had prompts.  */
static bool
note_prefix (struct mq_owner *owner, uint64_t hash)
{
  struct known_prefix *prefix;

  for (prefix = owner->prefixes; prefix != NULL; prefix = prefix->next)
    if (prefix->hash == hash)
      return true;
  prefix = talloc_zero (owner, struct known_prefix);
  if (prefix == NULL)
    abort ();
  prefix->hash = hash;
  prefix->next = owner->prefixes;
  owner->prefixes = prefix;
  return false;
}

/* The measure of prompt tokens computed again: what some engine has computed
   for this program, or the service's prompt for another one, and this engine
   did not find in its cache.  */
static void
count_prompt (struct mq_owner *owner, const struct running *running,
              const struct mq_outcome_msg *outcome)
{
  struct shared_prompt shared = find_shared (owner, running);
  uint32_t known = running->known_tokens;

  if (!running->call->model || outcome->error != MQ_ERR_NONE)
    return;
  if (note_prefix (owner, shared.hash) && known < shared.tokens)
    known = shared.tokens;
  if (known > outcome->tokens_in)
    known = outcome->tokens_in;
  owner->counters.prompt_tokens += outcome->tokens_in;
  owner->counters.cached_tokens += outcome->cached_tokens;
  if (known > outcome->cached_tokens)
    owner->counters.recomputed_tokens += known - outcome->cached_tokens;
}

static void
accept_outcome (struct mq_owner *owner, struct running *running,
                const struct mq_outcome_msg *outcome)
{
  struct call *call = running->call;
  char *host = talloc_strdup (owner->actions, call->target->host);

  if (outcome->error == MQ_ERR_STALE_FENCE)
    {
      /* Someone took the partition over; the row will say so.  What became
         of the call is for the new owner to find out.  */
      owner->next_scan_us = owner->now_us;
      return;
    }
  owner_span (owner, running, "call", call->number, call->sent_us,
              outcome->error);
  count_prompt (owner, running, outcome);
  remember_sticky (running, outcome);
  leave_target (owner, running);
  if (!call->prepaid)
    running->pending_charge += outcome->tokens_out;
  if (outcome->error == MQ_ERR_NONE)
    {
      earn_retry (owner, call);
      chain_outcome (owner, running, MQ_ERR_NONE, MQ_RAN_RAN, outcome->body,
                     host);
      return;
    }
  owner->counters.calls_refused++;
  if (running->pending_charge > 0)
    {
      uint64_t tokens = running->pending_charge;

      running->pending_charge = 0;
      chain_charge (owner, running, tokens);
    }
  /* The refused attempt has no further use at the target's process.  */
  if (outcome->ran == MQ_RAN_NOT_RUN || call->idempotent)
    calls_forget_later (owner, running, call->number, call->attempt, host);
  fail_or_retry (owner, running, outcome->error, outcome->ran,
                 outcome->retry_after_ms, host);
}

static void
keep_recovered (struct running *running, struct target *target,
                bool is_running, struct mq_call_ref ref,
                const struct mq_outcome_msg *outcome)
{
  struct recovered *kept = talloc_zero (running, struct recovered);

  if (kept == NULL)
    abort ();
  kept->target = target;
  kept->running = is_running;
  kept->ref = ref;
  if (outcome != NULL)
    {
      kept->outcome = *outcome;
      kept->outcome.body = talloc_strdup (kept, outcome->body);
    }
  kept->next = running->recovered;
  running->recovered = kept;
}

/* An answer to no open attempt: late, doubled or foreign.  */
static void
drop_outcome (struct mq_owner *owner, struct running *running,
              struct target *target, const struct mq_outcome_msg *outcome)
{
  bool settled = running != NULL
                 && (outcome->ref.call <= running->program->calls
                     || (running->call != NULL
                         && running->call->number == outcome->ref.call
                         && running->call->attempt != outcome->ref.attempt));

  owner->counters.answers_dropped++;
  if (settled)
    calls_forget_later (owner, running, outcome->ref.call,
                        outcome->ref.attempt, target->host);
  else if (running == NULL)
    calls_forget (owner, outcome->ref.program, outcome->ref.call,
                  outcome->ref.attempt, outcome->partition,
                  owner->partitions[outcome->partition].fence, target->host);
}

static bool
matches (const struct running *running, const struct target *target,
         struct mq_call_ref ref)
{
  const struct call *call = running->call;

  return call != NULL && call->target == target && call->number == ref.call
         && call->attempt == ref.attempt
         && (call->state == CALL_SENT || call->state == CALL_SEALING);
}

void
calls_outcome (struct mq_owner *owner, struct target *target,
               const struct mq_outcome_msg *outcome)
{
  struct partition *partition;
  struct running *running;

  if (outcome->partition >= owner->partition_count)
    return;
  partition = &owner->partitions[outcome->partition];
  if (partition->state != PARTITION_ACTIVE
      && partition->state != PARTITION_RECOVER)
    {
      /* Not ours now: its owner will ask for it.  */
      owner->counters.answers_dropped++;
      return;
    }
  running = chain_find (owner, outcome->ref.program);
  if (partition->state == PARTITION_RECOVER)
    {
      if (running != NULL)
        keep_recovered (running, target, false, outcome->ref, outcome);
      return;
    }
  if (running == NULL || !matches (running, target, outcome->ref))
    {
      drop_outcome (owner, running, target, outcome);
      return;
    }
  accept_outcome (owner, running, outcome);
}

void
calls_token (struct mq_owner *owner, struct target *target,
             const struct mq_token_msg *token)
{
  struct running *running = chain_find (owner, token->ref.program);

  if (running == NULL || !matches (running, target, token->ref))
    {
      owner->counters.answers_dropped++;
      return;
    }
  running->call->tokens_seen++;
  if (running->waiters == NULL)
    return;
  request_event (owner, running, MQ_EVENT_TOKEN,
                 token->ref.call << 16 | ((token->index + 1) & 0xffff),
                 token->ref.call, token->text);
}

/* ---- Settling ---- */

static void
send_ref (struct mq_owner *owner, struct running *running,
          enum mq_message_type type)
{
  struct call *call = running->call;
  struct mq_message message = { .type = type };

  message.u.ref.ref.program = running->program->id;
  message.u.ref.ref.call = call->number;
  message.u.ref.ref.attempt = call->attempt;
  message.u.ref.partition = running->partition->number;
  message.u.ref.fence = running->partition->fence;
  hosts_send (owner, call->target, &message);
}

static void
send_seal (struct mq_owner *owner, struct running *running)
{
  owner->counters.seals_sent++;
  send_ref (owner, running, MQ_MSG_SEAL);
}

void
calls_sealed (struct mq_owner *owner, struct target *target,
              const struct mq_sealed_msg *sealed)
{
  struct running *running = chain_find (owner, sealed->ref.program);

  if (running == NULL || !matches (running, target, sealed->ref)
      || running->call->state != CALL_SEALING)
    return;
  switch (sealed->answer)
    {
    case MQ_SEAL_DONE:
      /* The outcome came before this on the same connection and was
         accepted; if it was not, it is asked for again on a tick.  */
      break;
    case MQ_SEAL_RUNNING:
      running->call->state = CALL_SENT;
      break;
    case MQ_SEAL_SEALED:
      leave_target (owner, running);
      fail_or_retry (owner, running, MQ_ERR_SEALED, MQ_RAN_NOT_RUN, 0, NULL);
      break;
    case MQ_SEAL_STALE:
      owner->next_scan_us = owner->now_us;
      break;
    }
}

/* ---- Connections ---- */

static void
target_is_back (struct mq_owner *owner, struct running *running,
                struct target *target)
{
  struct call *call = running->call;

  call->down_us = 0;
  if (call->state == CALL_INTENT)
    return;
  if (target->boot == call->boot)
    {
      /* The same attempt again: if its frame was lost it is taken now, else
         the process answers from its table.  */
      if (call->state == CALL_SENT)
        {
          send_call (owner, running);
          /* The lease was lost with it.  */
          if (call->model)
            chain_lease (owner, running, target);
        }
      else
        send_seal (owner, running);
      return;
    }
  if (!call->idempotent)
    {
      give_up_unknown (owner, running);
      return;
    }
  abandon (owner, running);
  retry_call (owner, running, 0);
}

/* Programs with a call at TARGET, listed first because going on with one
   may change the map.  */
static struct running **
list_at_target (struct mq_owner *owner, const struct target *target,
                size_t *count)
{
  struct running **list
      = talloc_array (owner->actions, struct running *,
                      (unsigned int)mq_idmap_count (owner->running));
  struct running *running;
  size_t position = 0;

  *count = 0;
  while ((running = mq_idmap_next (owner->running, &position)) != NULL)
    if (running->call != NULL && running->call->target == target)
      list[(*count)++] = running;
  return list;
}

void
calls_target_up (struct mq_owner *owner, struct target *target)
{
  size_t count;
  struct running **list = list_at_target (owner, target, &count);

  for (size_t i = 0; i < count; i++)
    if (list[i]->partition->state == PARTITION_ACTIVE)
      target_is_back (owner, list[i], target);
}

void
calls_target_down (struct mq_owner *owner, struct target *target)
{
  size_t count;
  struct running **list = list_at_target (owner, target, &count);

  for (size_t i = 0; i < count; i++)
    {
      list[i]->call->down_us = owner->now_us;
      owner_wake_at (owner, list[i],
                     owner->now_us + 1000ULL * MQ_ATTEMPT_RESEND_MS);
    }
}

static void
tick_down (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;
  uint64_t down_ms = (owner->now_us - call->down_us) / 1000;
  bool gone = !call->target->listed && down_ms >= MQ_GONE_MS;

  if (call->idempotent)
    {
      if (down_ms < MQ_ATTEMPT_RESEND_MS)
        return;
      abandon (owner, running);
      retry_call (owner, running, 0);
      return;
    }
  if (gone || down_ms >= 2ULL * MQ_GONE_MS)
    give_up_unknown (owner, running);
}

static void
tick_overdue (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;
  uint64_t limit_us = 1000ULL * call->service->timeout_ms + 1000ULL * GUARD_MS;

  if (call->service->timeout_ms == 0
      || owner->now_us - call->sent_us < limit_us)
    return;
  /* Its process should have given up by itself.  Ask again for what
     became of it; the answer is the outcome or the call's settlement.  */
  call->sent_us = owner->now_us;
  if (call->idempotent)
    {
      send_ref (owner, running, MQ_MSG_CANCEL);
      abandon (owner, running);
      retry_call (owner, running, 0);
      return;
    }
  call->state = CALL_SEALING;
  send_seal (owner, running);
}

void
calls_tick (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;

  if (call == NULL)
    return;
  switch (call->state)
    {
    case CALL_PLACE:
      /* An earlier wake of the program may have taken this one's place.  */
      if (owner->now_us < call->retry_us)
        owner_wake_at (owner, running, call->retry_us);
      else
        calls_continue (owner, running);
      break;
    case CALL_SENT:
    case CALL_SEALING:
      if (call->down_us != 0)
        tick_down (owner, running);
      else
        tick_overdue (owner, running);
      break;
    case CALL_GRANT:
    case CALL_INTENT:
    case CALL_CHILD:
      break;
    }
  call = running->call;
  if (call != NULL && call->target != NULL)
    owner_wake_at (owner, running, owner->now_us + 1000000);
}

/* True when nothing can be under way any more at once.  */
bool
calls_cancel (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;

  if (call == NULL)
    return true;
  switch (call->state)
    {
    case CALL_SENT:
      if (!call->idempotent)
        {
          /* To cut it short would leave its effect unknown.  If it has not
             begun it is refused for good, else its end is awaited.  */
          call->state = CALL_SEALING;
          send_seal (owner, running);
          return false;
        }
      send_ref (owner, running, MQ_MSG_CANCEL);
      if (call->down_us == 0)
        return false; /* the outcome tells what it spent */
      abandon (owner, running);
      break;
    case CALL_SEALING:
    case CALL_CHILD:
      return false;
    case CALL_INTENT:
      /* Not sent, and it won't be.  */
      leave_target (owner, running);
      break;
    case CALL_GRANT:
    case CALL_PLACE:
      break;
    }
  running->call = NULL;
  return true;
}

/* ---- Takeover ---- */

void
calls_adopt (struct mq_owner *owner, struct target *target,
             struct mq_call_ref ref, uint32_t partition_number)
{
  struct running *running = chain_find (owner, ref.program);
  struct partition *partition = &owner->partitions[partition_number];
  struct mq_message message = { .type = MQ_MSG_CANCEL };

  if (partition->state == PARTITION_RECOVER && running != NULL)
    {
      keep_recovered (running, target, true, ref, NULL);
      return;
    }
  if (partition->state != PARTITION_ACTIVE
      || (running != NULL && matches (running, target, ref)))
    return;
  /* Nobody waits for it.  */
  message.u.ref.ref = ref;
  message.u.ref.partition = partition_number;
  message.u.ref.fence = partition->fence;
  hosts_send (owner, target, &message);
}

/* The attempt that the intent names: its outcome, good or bad, is the only
   knowledge of whether the call ran.  */
static bool
is_intended (const struct running *running, const struct recovered *r)
{
  const struct mq_intent *intent = &running->program->intent;

  return intent->call != 0 && r->ref.call == intent->call
         && r->ref.attempt == intent->attempt
         && strcmp (r->target->host, intent->host) == 0;
}

static bool
is_usable (const struct running *running, const struct recovered *r)
{
  if (r->ref.call != running->program->calls + 1)
    return false;
  if (running->program->intent.call == r->ref.call)
    return is_intended (running, r);
  return r->running || r->outcome.error == MQ_ERR_NONE;
}

static const struct recovered *
best_recovered (const struct running *running)
{
  const struct recovered *best = NULL;

  for (const struct recovered *r = running->recovered; r != NULL; r = r->next)
    if (is_usable (running, r)
        && (best == NULL || r->ref.attempt > best->ref.attempt))
      best = r;
  return best;
}

/* An attempt of the earlier owner that is of no use: its tokens are
   charged, what still runs is cancelled.  */
static void
discard_one (struct mq_owner *owner, struct running *running,
             const struct recovered *r)
{
  if (is_intended (running, r))
    return;
  if (r->running)
    {
      calls_adopt (owner, r->target, r->ref, running->partition->number);
      return;
    }
  if (!running->forfeited && r->ref.call > running->program->calls
      && r->outcome.tokens_out > 0)
    {
      chain_charge (owner, running, r->outcome.tokens_out);
      running->discard_mark = owner->appended;
    }
  calls_forget_later (owner, running, r->ref.call, r->ref.attempt,
                      r->target->host);
}

static void
discard_recovered (struct mq_owner *owner, struct running *running,
                   const struct recovered *used)
{
  for (struct recovered *r = running->recovered; r != NULL; r = r->next)
    if (r != used)
      discard_one (owner, running, r);
}

void
calls_settle_intent (struct mq_owner *owner, struct running *running)
{
  const struct mq_intent *intent = &running->program->intent;
  struct call *call = running->call;
  struct target *target = hosts_target_named (owner, intent->host);

  call->attempt = intent->attempt;
  call->boot = intent->boot;
  call->worker = intent->worker;
  call->state = CALL_SEALING;
  call->sent_us = owner->now_us;
  if (target == NULL)
    {
      give_up_unknown (owner, running);
      return;
    }
  call->target = target;
  count_at_target (owner, call, 1);
  if (target->peer == 0)
    {
      call->down_us = owner->now_us;
      owner_wake_at (owner, running, owner->now_us + 1000000);
      return;
    }
  if (target->boot != call->boot)
    {
      give_up_unknown (owner, running);
      return;
    }
  send_seal (owner, running);
  owner_wake_at (owner, running, owner->now_us + 1000000);
}

static void
take_up_running (struct mq_owner *owner, struct running *running,
                 const struct recovered *best)
{
  struct call *call = running->call;

  call->attempt = best->ref.attempt;
  call->target = best->target;
  call->boot = best->target->boot;
  call->state = CALL_SENT;
  call->sent_us = owner->now_us;
  call->prepaid = running->forfeited;
  count_at_target (owner, call, 1);
  if (call->model)
    {
      call->reserved = call->prepaid ? 0 : call->max_tokens;
      chain_reserve (running, call->reserved);
      remember_cache (owner, running, call->target);
    }
  owner_wake_at (owner, running, owner->now_us + 1000000);
}

/* Failure: an attempt of the earlier owner that we have no use for still runs;
   we cancel it, our next call voids it, and what it spent by then is charged
   by nobody.  Nobody can know that yet, so what was granted counts as spent,
   to the programs that it is part of as well.  */
static void
forfeit_running (struct mq_owner *owner, struct running *running,
                 const struct recovered *used)
{
  bool runs = false;

  for (const struct recovered *r = running->recovered; r != NULL; r = r->next)
    runs = runs || (r != used && r->running && !is_intended (running, r));
  for (struct running *up = running; runs && up != NULL; up = up->parent)
    chain_forfeit (owner, up);
}

/* Goes on with a program after a takeover, where it stood.  */
void
calls_resume (struct mq_owner *owner, struct running *running)
{
  const struct recovered *best = best_recovered (running);
  bool stepwise = running->program->mode == MQ_MODE_STEPS;
  uint32_t attempts = 0; /* of the call that is due, by earlier owners */

  /* A caller-driven call is known only by the request that the caller
     repeats; then it is placed anew, or settled if it had an intent.  */
  if (running->program->state != MQ_PROGRAM_RUNNING || stepwise)
    best = NULL;
  for (const struct recovered *r = running->recovered; r != NULL; r = r->next)
    if (r->ref.call == running->program->calls + 1
        && r->ref.attempt > attempts)
      attempts = r->ref.attempt;
  forfeit_running (owner, running, best);
  discard_recovered (owner, running, best);
  if (running->program->state == MQ_PROGRAM_RUNNING && !stepwise)
    {
      chain_start_clock (owner, running);
      chain_resume_call (owner, running);
      if (running->call != NULL && running->call->state != CALL_CHILD)
        {
          if (best != NULL && !best->running)
            {
              running->call->target = best->target;
              running->call->attempt = best->ref.attempt;
              running->call->prepaid = running->forfeited;
              count_at_target (owner, running->call, 1);
              accept_outcome (owner, running, &best->outcome);
              best = NULL;
            }
          else if (running->program->intent.call == running->call->number)
            calls_settle_intent (owner, running);
          else if (best != NULL)
            {
              take_up_running (owner, running, best);
              best = NULL;
            }
          else
            {
              /* A number of its own, or its frame passes for a late copy.  */
              running->call->attempt = attempts;
              place_call (owner, running);
            }
        }
    }
  /* Failure: the program ended instead, its budget forfeited, and the one
     outcome that it might have used stayed at the target's process, which
     then held the program's cache for ever and could not drain.  */
  if (best != NULL)
    discard_one (owner, running, best);
  running->recovered = NULL;
}
