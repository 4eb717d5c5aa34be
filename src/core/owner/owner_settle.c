/* owner_settle.c - resolves calls whose outcome is unknown: seals, unreachable
   targets and takeovers.

   Needs: owner_parts.h.  */

#include "owner_parts.h"
#include "../id.h"
#include <string.h>

/* ---- Settling ---- */

static void
send_call_ref (struct mq_owner *owner, struct running *running,
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
  send_call_ref (owner, running, MQ_MSG_SEAL);
}

void
settle_on_seal_reply (struct mq_owner *owner, struct target *target,
                      const struct mq_sealed_msg *sealed)
{
  struct running *running = chain_find (owner, sealed->ref.program);

  if (running == NULL || !calls_matches (running, target, sealed->ref)
      || running->call->state != CALL_SEALING)
    return;
  switch (sealed->answer)
    {
    case MQ_SEAL_DONE:
      /* The outcome preceded this reply on the same connection.  If it was not
         accepted, a later tick requests it again.  */
      break;
    case MQ_SEAL_RUNNING:
      running->call->state = CALL_SENT;
      break;
    case MQ_SEAL_SEALED:
      place_detach_target (owner, running);
      calls_fail_or_retry (owner, running, MQ_ERR_SEALED, MQ_RAN_NOT_RUN, 0,
                           NULL);
      break;
    case MQ_SEAL_STALE:
      owner->next_scan_us = owner->now_us;
      break;
    }
}

/* ---- Connections ---- */

static void
resume_at_target (struct mq_owner *owner, struct running *running,
                  struct target *target)
{
  struct call *call = running->call;

  call->down_us = 0;
  if (call->state == CALL_AWAITING_INTENT)
    return;
  if (target->boot == call->boot)
    {
      /* Resends the same attempt.  The target's process starts the call if it
         never received it; otherwise it replies with the state that it has
         recorded.  */
      if (call->state == CALL_SENT)
        {
          place_send_call (owner, running);
          /* The cache lease may have been lost with the call.  */
          if (call->model)
            evict_send_lease (owner, running, target);
        }
      else
        send_seal (owner, running);
      return;
    }
  if (!call->idempotent)
    {
      calls_fail_unknown (owner, running);
      return;
    }
  place_abandon_attempt (owner, running);
  calls_retry_call (owner, running, 0);
}

/* Returns the programs that have a call at TARGET.  They are collected first,
   since resuming a program may change the map.  */
static struct running **
find_programs_at_target (struct mq_owner *owner, const struct target *target,
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
settle_on_target_up (struct mq_owner *owner, struct target *target)
{
  size_t count;
  struct running **list = find_programs_at_target (owner, target, &count);

  for (size_t i = 0; i < count; i++)
    if (list[i]->partition->state == PARTITION_ACTIVE)
      resume_at_target (owner, list[i], target);
}

void
settle_on_target_down (struct mq_owner *owner, struct target *target)
{
  size_t count;
  struct running **list = find_programs_at_target (owner, target, &count);

  for (size_t i = 0; i < count; i++)
    {
      list[i]->call->down_us = owner->now_us;
      owner_set_timer (owner, list[i],
                       owner->now_us + 1000ULL * MQ_ATTEMPT_RESEND_MS);
    }
}

static void
check_unreachable (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;
  uint64_t down_ms = (owner->now_us - call->down_us) / 1000;
  bool gone = !call->target->listed && down_ms >= MQ_TARGET_GONE_MS;

  if (call->idempotent)
    {
      if (down_ms < MQ_ATTEMPT_RESEND_MS)
        return;
      place_abandon_attempt (owner, running);
      calls_retry_call (owner, running, 0);
      return;
    }
  if (gone || down_ms >= 2ULL * MQ_TARGET_GONE_MS)
    calls_fail_unknown (owner, running);
}

static void
check_timeout (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;
  uint64_t limit_us
      = 1000ULL * call->service->timeout_ms + 1000ULL * OUTCOME_GRACE_MS;

  if (call->service->timeout_ms == 0
      || owner->now_us - call->sent_us < limit_us)
    return;
  /* The target's process should have timed out by now; requests the state of
     the attempt.  The reply is its outcome or a seal result.  */
  call->sent_us = owner->now_us;
  if (call->idempotent)
    {
      send_call_ref (owner, running, MQ_MSG_CANCEL);
      place_abandon_attempt (owner, running);
      calls_retry_call (owner, running, 0);
      return;
    }
  call->state = CALL_SEALING;
  send_seal (owner, running);
}

void
settle_tick (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;

  if (call == NULL)
    return;
  switch (call->state)
    {
    case CALL_AWAITING_WORKER:
      /* A program has a single timer; an earlier deadline may have replaced
         this one.  */
      if (owner->now_us < call->retry_us)
        owner_set_timer (owner, running, call->retry_us);
      else
        place_retry (owner, running);
      break;
    case CALL_SENT:
    case CALL_SEALING:
      if (call->down_us != 0)
        check_unreachable (owner, running);
      else
        check_timeout (owner, running);
      break;
    case CALL_AWAITING_GRANT:
    case CALL_AWAITING_INTENT:
    case CALL_IN_SUBPROGRAM:
      break;
    }
  call = running->call;
  if (call != NULL && call->target != NULL)
    owner_set_timer (owner, running, owner->now_us + 1000000);
}

/* Returns true if no attempt of the current call can still be running.  */
bool
settle_cancel (struct mq_owner *owner, struct running *running)
{
  struct call *call = running->call;

  if (call == NULL)
    return true;
  switch (call->state)
    {
    case CALL_SENT:
      if (!call->idempotent)
        {
          /* Interrupting the call would leave its effect unknown.  Sealing
             prevents it from starting; if it has already started, its outcome
             is awaited.  */
          call->state = CALL_SEALING;
          send_seal (owner, running);
          return false;
        }
      send_call_ref (owner, running, MQ_MSG_CANCEL);
      if (call->down_us == 0)
        return false; /* the outcome reports the tokens spent */
      place_abandon_attempt (owner, running);
      break;
    case CALL_SEALING:
    case CALL_IN_SUBPROGRAM:
      return false;
    case CALL_AWAITING_INTENT:
      place_detach_target (owner, running);
      break;
    case CALL_AWAITING_GRANT:
    case CALL_AWAITING_WORKER:
      break;
    }
  running->call = NULL;
  return true;
}

/* ---- Takeover ---- */

void
settle_reported_attempt (struct mq_owner *owner, struct target *target,
                         struct mq_call_ref ref, uint32_t partition_number)
{
  struct running *running = chain_find (owner, ref.program);
  struct partition *partition = &owner->partitions[partition_number];
  struct mq_message message = { .type = MQ_MSG_CANCEL };

  if (partition->state == PARTITION_RECOVERING && running != NULL)
    {
      calls_add_recovered (running, target, true, ref, NULL);
      return;
    }
  if (partition->state != PARTITION_ACTIVE
      || (running != NULL && calls_matches (running, target, ref)))
    return;
  /* No program needs this attempt.  */
  message.u.ref.ref = ref;
  message.u.ref.partition = partition_number;
  message.u.ref.fence = partition->fence;
  hosts_send (owner, target, &message);
}

/* Whether R is the attempt that the durable intent names.  Only its outcome,
   success or failure, shows whether the call ran.  */
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
choose_recovered (const struct running *running)
{
  const struct recovered *best = NULL;

  for (const struct recovered *r = running->recovered; r != NULL; r = r->next)
    if (is_usable (running, r)
        && (best == NULL || r->ref.attempt > best->ref.attempt))
      best = r;
  return best;
}

/* Discards a previous owner's attempt: charges the tokens of a completed one,
   cancels a running one.  */
static void
discard_attempt (struct mq_owner *owner, struct running *running,
                 const struct recovered *r)
{
  if (is_intended (running, r))
    return;
  if (r->running)
    {
      settle_reported_attempt (owner, r->target, r->ref,
                               running->partition->number);
      return;
    }
  if (!running->forfeited && r->ref.call > running->program->calls
      && r->outcome.tokens_out > 0)
    {
      budget_charge (owner, running, r->outcome.tokens_out);
      running->charge_position = owner->appended_position;
    }
  calls_forget_when_durable (owner, running, r->ref.call, r->ref.attempt,
                             r->target->host);
}

static void
discard_recovered_attempts (struct mq_owner *owner, struct running *running,
                            const struct recovered *used)
{
  for (struct recovered *r = running->recovered; r != NULL; r = r->next)
    if (r != used)
      discard_attempt (owner, running, r);
}

void
settle_logged_intent (struct mq_owner *owner, struct running *running)
{
  const struct mq_intent *intent = &running->program->intent;
  struct call *call = running->call;
  struct target *target = hosts_get_target (owner, intent->host);

  call->attempt = intent->attempt;
  call->boot = intent->boot;
  call->worker = intent->worker;
  call->state = CALL_SEALING;
  call->sent_us = owner->now_us;
  if (target == NULL)
    {
      calls_fail_unknown (owner, running);
      return;
    }
  call->target = target;
  place_adjust_load (owner, call, 1);
  if (target->peer == 0)
    {
      call->down_us = owner->now_us;
      owner_set_timer (owner, running, owner->now_us + 1000000);
      return;
    }
  if (target->boot != call->boot)
    {
      calls_fail_unknown (owner, running);
      return;
    }
  send_seal (owner, running);
  owner_set_timer (owner, running, owner->now_us + 1000000);
}

static void
attach_running_attempt (struct mq_owner *owner, struct running *running,
                        const struct recovered *best)
{
  struct call *call = running->call;

  call->attempt = best->ref.attempt;
  call->target = best->target;
  call->boot = best->target->boot;
  call->state = CALL_SENT;
  call->sent_us = owner->now_us;
  call->already_charged = running->forfeited;
  place_adjust_load (owner, call, 1);
  if (call->model)
    {
      call->reserved = call->already_charged ? 0 : call->max_tokens;
      budget_reserve (running, call->reserved);
      place_record_cache (owner, running, call->target);
    }
  owner_set_timer (owner, running, owner->now_us + 1000000);
}

/* Forfeits granted tokens if an unused attempt of the previous owner is still
   running.  It is cancelled, and the next call supersedes it at the target, so
   its tokens could go uncharged.  The amount is not known yet: the whole grant
   counts as spent, also for the parent programs.  */
static void
forfeit_unused_attempts (struct mq_owner *owner, struct running *running,
                         const struct recovered *used)
{
  bool still_running = false;

  for (const struct recovered *r = running->recovered; r != NULL; r = r->next)
    still_running = still_running
                    || (r != used && r->running && !is_intended (running, r));
  for (struct running *ancestor = running; still_running && ancestor != NULL;
       ancestor = ancestor->parent)
    budget_forfeit (owner, ancestor);
}

/* Resumes a program after a takeover.  */
void
settle_resume_program (struct mq_owner *owner, struct running *running)
{
  const struct recovered *best = choose_recovered (running);
  bool stepwise = running->program->mode == MQ_MODE_STEPS;
  uint32_t attempts = 0; /* attempts of the next call by previous owners */

  /* A caller-driven call is known only from its request, which the caller
     repeats.  It is then dispatched again, or resolved if it had an
     intent.  */
  if (running->program->state != MQ_PROGRAM_RUNNING || stepwise)
    best = NULL;
  for (const struct recovered *r = running->recovered; r != NULL; r = r->next)
    if (r->ref.call == running->program->calls + 1
        && r->ref.attempt > attempts)
      attempts = r->ref.attempt;
  forfeit_unused_attempts (owner, running, best);
  discard_recovered_attempts (owner, running, best);
  if (running->program->state == MQ_PROGRAM_RUNNING && !stepwise)
    {
      budget_start_clock (owner, running);
      chain_resume_call (owner, running);
      if (running->call != NULL && running->call->state != CALL_IN_SUBPROGRAM)
        {
          if (best != NULL && !best->running)
            {
              running->call->target = best->target;
              running->call->attempt = best->ref.attempt;
              running->call->already_charged = running->forfeited;
              place_adjust_load (owner, running->call, 1);
              calls_accept_outcome (owner, running, &best->outcome);
              best = NULL;
            }
          else if (running->program->intent.call == running->call->number)
            settle_logged_intent (owner, running);
          else if (best != NULL)
            {
              attach_running_attempt (owner, running, best);
              best = NULL;
            }
          else
            {
              /* Continues the attempt numbers.  A reused number would be
                 treated as a duplicate by the target.  */
              running->call->attempt = attempts;
              place_call (owner, running);
            }
        }
    }
  /* The program ended without using the outcome, for example because its
     budget was forfeited.  Without FORGET the target's process would retain
     the outcome and the program's cache, and could not drain.  */
  if (best != NULL)
    discard_attempt (owner, running, best);
  running->recovered = NULL;
}
