/* owner_calls.c - outcomes and retries of call attempts.

   An idempotent call is retried when an outcome is unknown, and the tokens
   that the lost attempt may have used are charged in full.  A non-idempotent
   call is sent only after its intent is durable, and goes to another target
   only after the first one has refused it permanently.
   Needs: owner_parts.h, id.h.  */

#include "owner_parts.h"
#include "../id.h"
#include <stdlib.h>

/* ---- Retries ---- */

/* Retries of a service are limited to a share of its calls, so that they do
   not multiply the load of a failing service.  */
static bool
use_retry_credit (struct mq_owner *owner, const struct call *call)
{
  struct pool *pool = hosts_get_pool (owner, call->service->name);

  if (pool->retry_credit < 1)
    return false;
  pool->retry_credit -= 1;
  return true;
}

static void
add_retry_credit (struct mq_owner *owner, const struct call *call)
{
  struct pool *pool = hosts_get_pool (owner, call->service->name);
  double most = 10;

  pool->retry_credit += call->service->retry_percent / 100.0;
  if (pool->retry_credit > most)
    pool->retry_credit = most;
}

void
calls_retry_call (struct mq_owner *owner, struct running *running,
                  uint32_t wait_ms)
{
  struct call *call = running->call;
  uint32_t backoff = owner_jitter_ms (owner, MQ_RETRY_BASE_MS, call->tries++,
                                      MQ_RETRY_MAX_MS);

  if (!use_retry_credit (owner, call) && backoff < MQ_RETRY_MAX_MS / 4)
    backoff += MQ_RETRY_MAX_MS / 4;
  if (call->tokens_seen > 0)
    {
      /* Callers must drop the tokens of the failed attempt.  */
      events_notify_waiters (owner, running, MQ_EVENT_RESET,
                             call->number << 16, call->number, "{}");
      call->tokens_seen = 0;
    }
  place_schedule_retry (owner, running, wait_ms > backoff ? wait_ms : backoff);
}

static void
record_unknown_call (struct mq_owner *owner, const struct running *running)
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

/* Ends a non-idempotent call whose target process was lost with the only
   record of whether the call ran.  It is never retried.  */
void
calls_fail_unknown (struct mq_owner *owner, struct running *running)
{
  record_unknown_call (owner, running);
  place_detach_target (owner, running);
  end_call (owner, running, MQ_ERR_TARGET_UNKNOWN, MQ_RAN_UNKNOWN, "", NULL);
}

void
calls_fail_or_retry (struct mq_owner *owner, struct running *running,
                     enum mq_error_type error, enum mq_ran ran,
                     uint32_t retry_after_ms, const char *host)
{
  struct call *call = running->call;

  if (running->stop != MQ_ERR_NONE)
    {
      end_call (owner, running, error, ran, "", host);
      return;
    }
  if (ran == MQ_RAN_NOT_RUN)
    {
      calls_retry_call (owner, running, retry_after_ms);
      return;
    }
  if (call->idempotent && call->tries < MQ_ATTEMPTS_MAX)
    {
      calls_retry_call (owner, running, retry_after_ms);
      return;
    }
  if (!call->idempotent && ran == MQ_RAN_UNKNOWN)
    {
      record_unknown_call (owner, running);
      error = MQ_ERR_TARGET_UNKNOWN;
    }
  end_call (owner, running, error, ran, "", host);
}

/* ---- Outcomes ---- */

void
calls_send_forget (struct mq_owner *owner, struct mq_id program,
                   uint32_t number, uint32_t attempt, uint32_t partition,
                   uint64_t fence, const char *host)
{
  struct mq_message message = { .type = MQ_MSG_FORGET };
  struct target *target = host == NULL ? NULL : hosts_get_target (owner, host);

  if (target == NULL)
    return;
  message.u.ref.ref.program = program;
  message.u.ref.ref.call = number;
  message.u.ref.ref.attempt = attempt;
  message.u.ref.partition = partition;
  message.u.ref.fence = fence;
  hosts_send (owner, target, &message);
}

/* Sends FORGET once the records appended so far are durable.  A target that
   drops an outcome earlier leaves its tokens uncharged if this host dies
   before the commit.  */
void
calls_forget_when_durable (struct mq_owner *owner, struct running *running,
                           uint32_t number, uint32_t attempt, const char *host)
{
  log_add_hook (owner, running, HOOK_FORGET_OUTCOME, number, attempt, host);
}

static void
record_sticky_worker (struct running *running,
                      const struct mq_outcome_msg *outcome)
{
  struct call *call = running->call;

  if (!call->model || outcome->error != MQ_ERR_NONE)
    return;
  running->sticky = call->target;
  running->sticky_worker = call->worker;
  running->sticky_tokens = outcome->tokens_in + outcome->tokens_out;
  running->reusable_tokens = running->sticky_tokens;
}

/* Records that an engine has computed the prefix; true when it was known.
   Entries are bounded by the prompts of all configurations seen.  */
static bool
record_prefix (struct mq_owner *owner, uint64_t hash)
{
  struct computed_prefix *prefix;

  for (prefix = owner->prefixes; prefix != NULL; prefix = prefix->next)
    if (prefix->hash == hash)
      return true;
  prefix = talloc_zero (owner, struct computed_prefix);
  if (prefix == NULL)
    abort ();
  prefix->hash = hash;
  prefix->next = owner->prefixes;
  owner->prefixes = prefix;
  return false;
}

/* Counts prompt, cached and recomputed tokens.  Recomputed: computed before by
   some engine, for this program or as the service's prompt, and not found in
   this engine's cache.  */
static void
count_prompt_tokens (struct mq_owner *owner, const struct running *running,
                     const struct mq_outcome_msg *outcome)
{
  struct shared_prompt shared = place_shared_prompt (owner, running);
  uint32_t known = running->reusable_tokens;

  if (!running->call->model || outcome->error != MQ_ERR_NONE)
    return;
  if (record_prefix (owner, shared.hash) && known < shared.tokens)
    known = shared.tokens;
  if (known > outcome->tokens_in)
    known = outcome->tokens_in;
  owner->counters.prompt_tokens += outcome->tokens_in;
  owner->counters.cached_tokens += outcome->cached_tokens;
  if (known > outcome->cached_tokens)
    owner->counters.recomputed_tokens += known - outcome->cached_tokens;
}

void
calls_accept_outcome (struct mq_owner *owner, struct running *running,
                      const struct mq_outcome_msg *outcome)
{
  struct call *call = running->call;
  char *host = talloc_strdup (owner->actions, call->target->host);

  if (outcome->error == MQ_ERR_STALE_FENCE)
    {
      /* Another host has taken the partition over and recovers the call; the
         next scan shows its row.  */
      owner->next_scan_us = owner->now_us;
      return;
    }
  owner_record_span (owner, running, "call", call->number, call->sent_us,
                     outcome->error);
  count_prompt_tokens (owner, running, outcome);
  record_sticky_worker (running, outcome);
  place_detach_target (owner, running);
  if (!call->already_charged)
    running->pending_charge += outcome->tokens_out;
  if (outcome->error == MQ_ERR_NONE)
    {
      add_retry_credit (owner, call);
      end_call (owner, running, MQ_ERR_NONE, MQ_RAN_RAN, outcome->body, host);
      return;
    }
  owner->counters.calls_refused++;
  if (running->pending_charge > 0)
    {
      uint64_t tokens = running->pending_charge;

      running->pending_charge = 0;
      budget_charge (owner, running, tokens);
    }
  /* The outcome of the refused attempt is no longer needed.  */
  if (outcome->ran == MQ_RAN_NOT_RUN || call->idempotent)
    calls_forget_when_durable (owner, running, call->number, call->attempt,
                               host);
  calls_fail_or_retry (owner, running, outcome->error, outcome->ran,
                       outcome->retry_after_ms, host);
}

void
calls_add_recovered (struct running *running, struct target *target,
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

/* Drops an outcome that is late, a duplicate or of an unknown program.  */
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
    calls_forget_when_durable (owner, running, outcome->ref.call,
                               outcome->ref.attempt, target->host);
  else if (running == NULL)
    calls_send_forget (owner, outcome->ref.program, outcome->ref.call,
                       outcome->ref.attempt, outcome->partition,
                       owner->partitions[outcome->partition].fence,
                       target->host);
}

bool
calls_matches (const struct running *running, const struct target *target,
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
      && partition->state != PARTITION_RECOVERING)
    {
      /* The partition's owner will recover it from the target.  */
      owner->counters.answers_dropped++;
      return;
    }
  running = chain_find (owner, outcome->ref.program);
  if (partition->state == PARTITION_RECOVERING)
    {
      if (running != NULL)
        calls_add_recovered (running, target, false, outcome->ref, outcome);
      return;
    }
  if (running == NULL || !calls_matches (running, target, outcome->ref))
    {
      drop_outcome (owner, running, target, outcome);
      return;
    }
  calls_accept_outcome (owner, running, outcome);
}

void
calls_token (struct mq_owner *owner, struct target *target,
             const struct mq_token_msg *token)
{
  struct running *running = chain_find (owner, token->ref.program);

  if (running == NULL || !calls_matches (running, target, token->ref))
    {
      owner->counters.answers_dropped++;
      return;
    }
  running->call->tokens_seen++;
  if (running->waiters == NULL)
    return;
  events_notify_waiters (owner, running, MQ_EVENT_TOKEN,
                         token->ref.call << 16 | ((token->index + 1) & 0xffff),
                         token->ref.call, token->text);
}
