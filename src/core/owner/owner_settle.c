/* owner_settle.c - calls whose outcome is not known: seals, lost targets,
   takeovers.

   Needs: owner_parts.h.  */

#include "owner_parts.h"
#include "../id.h"
#include <string.h>

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
settle_sealed (struct mq_owner *owner, struct target *target,
               const struct mq_sealed_msg *sealed)
{
  struct running *running = chain_find (owner, sealed->ref.program);

  if (running == NULL || !calls_matches (running, target, sealed->ref)
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
      place_leave_target (owner, running);
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
          place_send_call (owner, running);
          /* The lease was lost with it.  */
          if (call->model)
            evict_lease (owner, running, target);
        }
      else
        send_seal (owner, running);
      return;
    }
  if (!call->idempotent)
    {
      calls_give_up_unknown (owner, running);
      return;
    }
  place_abandon (owner, running);
  calls_retry_call (owner, running, 0);
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
settle_target_up (struct mq_owner *owner, struct target *target)
{
  size_t count;
  struct running **list = list_at_target (owner, target, &count);

  for (size_t i = 0; i < count; i++)
    if (list[i]->partition->state == PARTITION_ACTIVE)
      target_is_back (owner, list[i], target);
}

void
settle_target_down (struct mq_owner *owner, struct target *target)
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
  bool gone = !call->target->listed && down_ms >= MQ_TARGET_GONE_MS;

  if (call->idempotent)
    {
      if (down_ms < MQ_ATTEMPT_RESEND_MS)
        return;
      place_abandon (owner, running);
      calls_retry_call (owner, running, 0);
      return;
    }
  if (gone || down_ms >= 2ULL * MQ_TARGET_GONE_MS)
    calls_give_up_unknown (owner, running);
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
      place_abandon (owner, running);
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
    case CALL_PLACE:
      /* An earlier wake of the program may have taken this one's place.  */
      if (owner->now_us < call->retry_us)
        owner_wake_at (owner, running, call->retry_us);
      else
        place_continue (owner, running);
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
          /* To cut it short would leave its effect unknown.  If it has not
             begun it is refused for good, else its end is awaited.  */
          call->state = CALL_SEALING;
          send_seal (owner, running);
          return false;
        }
      send_ref (owner, running, MQ_MSG_CANCEL);
      if (call->down_us == 0)
        return false; /* the outcome tells what it spent */
      place_abandon (owner, running);
      break;
    case CALL_SEALING:
    case CALL_CHILD:
      return false;
    case CALL_INTENT:
      /* Not sent, and it won't be.  */
      place_leave_target (owner, running);
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
settle_adopt (struct mq_owner *owner, struct target *target,
              struct mq_call_ref ref, uint32_t partition_number)
{
  struct running *running = chain_find (owner, ref.program);
  struct partition *partition = &owner->partitions[partition_number];
  struct mq_message message = { .type = MQ_MSG_CANCEL };

  if (partition->state == PARTITION_RECOVER && running != NULL)
    {
      calls_keep_recovered (running, target, true, ref, NULL);
      return;
    }
  if (partition->state != PARTITION_ACTIVE
      || (running != NULL && calls_matches (running, target, ref)))
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
      settle_adopt (owner, r->target, r->ref, running->partition->number);
      return;
    }
  if (!running->forfeited && r->ref.call > running->program->calls
      && r->outcome.tokens_out > 0)
    {
      budget_charge (owner, running, r->outcome.tokens_out);
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
settle_intent (struct mq_owner *owner, struct running *running)
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
      calls_give_up_unknown (owner, running);
      return;
    }
  call->target = target;
  place_count (owner, call, 1);
  if (target->peer == 0)
    {
      call->down_us = owner->now_us;
      owner_wake_at (owner, running, owner->now_us + 1000000);
      return;
    }
  if (target->boot != call->boot)
    {
      calls_give_up_unknown (owner, running);
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
  place_count (owner, call, 1);
  if (call->model)
    {
      call->reserved = call->prepaid ? 0 : call->max_tokens;
      budget_reserve (running, call->reserved);
      place_remember_cache (owner, running, call->target);
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
    budget_forfeit (owner, up);
}

/* Goes on with a program after a takeover, where it stood.  */
void
settle_resume (struct mq_owner *owner, struct running *running)
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
      budget_start_clock (owner, running);
      chain_resume_call (owner, running);
      if (running->call != NULL && running->call->state != CALL_CHILD)
        {
          if (best != NULL && !best->running)
            {
              running->call->target = best->target;
              running->call->attempt = best->ref.attempt;
              running->call->prepaid = running->forfeited;
              place_count (owner, running->call, 1);
              calls_accept_outcome (owner, running, &best->outcome);
              best = NULL;
            }
          else if (running->program->intent.call == running->call->number)
            settle_intent (owner, running);
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
