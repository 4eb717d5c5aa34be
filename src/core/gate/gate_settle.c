/* gate_settle.c - handles CANCEL, SEAL, RECOVER and FORGET.

   Needs: gate_state.h.  */

#include "gate_state.h"

/* CANCEL.  */

/* Handles a CANCEL that arrives before its CALL on another connection: the
   watermark refuses the CALL, which otherwise would run with no requester.  It
   applies under this fence only, as a new owner may use the call number for
   another call.  */
static void
cancel_unknown (struct mq_gate *gate, uint32_t peer,
                const struct mq_ref_msg *msg)
{
  struct gate_program *program = mq_gate_program_get (gate, msg->ref.program);
  struct mq_call_msg as_call = { .ref = msg->ref, .fence = msg->fence };
  enum mq_ran ran = MQ_RAN_NOT_RUN;

  if (program == NULL)
    return;
  if (!mq_gate_is_stale_call (program, &as_call, &ran))
    {
      mq_gate_mark_settled (program, msg->fence, &msg->ref, false);
      mq_gate_count_refusal (gate, MQ_ERR_CANCELLED);
    }
  mq_gate_send_refusal (gate, peer, msg, MQ_ERR_CANCELLED, ran, 0);
}

static void
cancel_known (struct mq_gate *gate, uint32_t peer, struct gate_call *call,
              const struct mq_ref_msg *msg)
{
  mq_gate_set_requester (call, peer, msg->fence, msg->ref.attempt);
  switch (call->state)
    {
    case GATE_CALL_QUEUED:
      mq_gate_call_refuse (gate, call, MQ_ERR_CANCELLED, 0);
      break;
    case GATE_CALL_RUNNING:
      if (!call->cancelled)
        gate->counters.cancelled++;
      call->cancelled = true;
      mq_gate_run_stop (gate, call->run);
      break;
    case GATE_CALL_DONE:
      mq_gate_send_outcome (gate, peer, call, msg->ref.attempt, false);
      break;
    }
}

void
mq_gate_handle_cancel (struct mq_gate *gate, uint32_t peer,
                       const struct mq_ref_msg *msg)
{
  struct gate_call *call;

  if (mq_gate_raise_fence (gate, msg->partition, msg->fence, peer) == NULL)
    return;
  call = mq_gate_call_find (gate, &msg->ref);
  if (call == NULL)
    cancel_unknown (gate, peer, msg);
  else if (msg->ref.attempt >= call->ref.attempt)
    cancel_known (gate, peer, call, msg);
}

/* SEAL.  */

static void
send_sealed (struct mq_gate *gate, uint32_t peer, const struct mq_ref_msg *msg,
             uint64_t fence, enum mq_seal_status answer)
{
  struct mq_message message = { .type = MQ_MSG_SEALED };

  message.u.sealed.ref = msg->ref;
  message.u.sealed.partition = msg->partition;
  message.u.sealed.fence = fence;
  message.u.sealed.boot = gate->boot;
  message.u.sealed.answer = answer;
  mq_gate_send (gate, peer, &message);
}

/* Seals a call that is not in the table.  If the call may have completed and
   been forgotten, its effect is reported as unknown; reporting it as never run
   would let it run elsewhere a second time.  */
static void
seal_unknown (struct mq_gate *gate, uint32_t peer,
              const struct mq_ref_msg *msg, struct gate_program *program)
{
  struct mq_call_msg as_call = { .ref = msg->ref, .fence = msg->fence };
  enum mq_ran ran = MQ_RAN_NOT_RUN;

  if (mq_gate_is_stale_call (program, &as_call, &ran) && ran != MQ_RAN_NOT_RUN)
    {
      mq_gate_send_refusal (gate, peer, msg, MQ_ERR_SEALED, ran, 0);
      send_sealed (gate, peer, msg, msg->fence, MQ_SEAL_DONE);
      return;
    }
  mq_gate_mark_not_run (program, &msg->ref, msg->fence, false);
  send_sealed (gate, peer, msg, msg->fence, MQ_SEAL_SEALED);
}

static void
seal_known (struct mq_gate *gate, uint32_t peer, struct gate_call *call,
            const struct mq_ref_msg *msg)
{
  mq_gate_set_requester (call, peer, msg->fence, msg->ref.attempt);
  switch (call->state)
    {
    case GATE_CALL_QUEUED:
      mq_gate_mark_sealed (call->program, call->ref.call,
                           call->requested_attempt);
      mq_gate_call_refuse (gate, call, MQ_ERR_SEALED, 0);
      send_sealed (gate, peer, msg, msg->fence, MQ_SEAL_SEALED);
      break;
    case GATE_CALL_RUNNING:
      send_sealed (gate, peer, msg, msg->fence, MQ_SEAL_RUNNING);
      break;
    case GATE_CALL_DONE:
      mq_gate_send_outcome (gate, peer, call, msg->ref.attempt, false);
      send_sealed (gate, peer, msg, msg->fence, MQ_SEAL_DONE);
      break;
    }
}

void
mq_gate_handle_seal (struct mq_gate *gate, uint32_t peer,
                     const struct mq_ref_msg *msg)
{
  struct gate_program *program;
  struct gate_call *call;

  if (mq_gate_raise_fence (gate, msg->partition, msg->fence, peer) == NULL)
    {
      send_sealed (gate, peer, msg, mq_gate_get_fence (gate, msg->partition),
                   MQ_SEAL_STALE);
      return;
    }
  program = mq_gate_program_get (gate, msg->ref.program);
  /* Send no reply: without a program record the seal could not be
     enforced.  */
  if (program == NULL)
    return;
  call = mq_gate_call_find (gate, &msg->ref);
  if (call != NULL && msg->ref.attempt >= call->ref.attempt)
    seal_known (gate, peer, call, msg);
  else
    seal_unknown (gate, peer, msg, program);
}

/* Moves calls from closed connections to PEER and resends their outcomes,
   since an OUTCOME or FORGET may have been lost with the old connection.
   Otherwise such outcomes would never be released and the host would not
   drain.  */
void
mq_gate_calls_reattach (struct mq_gate *gate, struct gate_partition *partition,
                        uint32_t peer)
{
  struct gate_node *node = partition->calls.first;

  while (node != NULL)
    {
      struct gate_call *call
          = GATE_ENTRY (node, struct gate_call, by_partition);

      node = node->next;
      if (mq_gate_peer_is_up (gate, call->peer))
        continue;
      call->peer = peer;
      if (call->state == GATE_CALL_DONE)
        mq_gate_send_outcome (gate, peer, call, call->requested_attempt,
                              false);
    }
}

/* RECOVER.  */

static void
send_recovered (struct mq_gate *gate, uint32_t peer, uint32_t partition,
                struct mq_call_ref *running, size_t count)
{
  struct mq_message message = { .type = MQ_MSG_RECOVERED };

  message.u.recovered.partition = partition;
  message.u.recovered.fence = mq_gate_get_fence (gate, partition);
  message.u.recovered.boot = gate->boot;
  message.u.recovered.running = running;
  message.u.recovered.running_count = count;
  mq_gate_send (gate, peer, &message);
}

/* Transfers CALL to a new owner.  Returns true if it is still queued or
   running.  */
static bool
recover_call (struct mq_gate *gate, uint32_t peer, struct gate_call *call,
              uint64_t fence)
{
  if (call->state == GATE_CALL_QUEUED && call->idempotent
      && call->accepted_fence < fence)
    {
      mq_gate_call_drop (gate, call);
      return false;
    }
  mq_gate_set_requester (call, peer, fence, call->requested_attempt);
  if (call->state != GATE_CALL_DONE)
    return true;
  mq_gate_send_outcome (gate, peer, call, call->requested_attempt, true);
  return false;
}

void
mq_gate_handle_recover (struct mq_gate *gate, uint32_t peer,
                        const struct mq_recover_msg *msg)
{
  struct gate_partition *partition
      = mq_gate_raise_fence (gate, msg->partition, msg->fence, peer);
  struct mq_call_ref *running;
  struct gate_node *node;
  size_t count = 0;

  if (partition == NULL)
    {
      send_recovered (gate, peer, msg->partition, NULL, 0);
      return;
    }
  running
      = mq_gate_alloc (gate, (partition->calls.count + 1) * sizeof *running,
                       "struct mq_call_ref");
  node = partition->calls.first;
  while (node != NULL)
    {
      struct gate_call *call
          = GATE_ENTRY (node, struct gate_call, by_partition);

      node = node->next;
      if (!recover_call (gate, peer, call, msg->fence))
        continue;
      running[count] = call->ref;
      running[count++].attempt = call->requested_attempt;
    }
  send_recovered (gate, peer, msg->partition, running, count);
  talloc_free (running);
}

/* FORGET.  */

/* The outcome is durable, so a queued call must not run.  A running call is
   stopped if it is idempotent; otherwise it completes and its outcome is
   dropped.  */
static void
forget_known (struct mq_gate *gate, struct gate_call *call)
{
  switch (call->state)
    {
    case GATE_CALL_QUEUED:
      mq_gate_call_refuse (gate, call, MQ_ERR_SEALED, 0);
      break;
    case GATE_CALL_RUNNING:
      if (call->idempotent)
        mq_gate_call_drop (gate, call);
      else
        call->forgotten = true;
      break;
    case GATE_CALL_DONE:
      mq_gate_forget_call (gate, call);
      break;
    }
}

/* Drops the retained outcomes of earlier idempotent calls, whose FORGET may
   have been lost with its connection.  A program's outcomes become durable in
   order.  */
static void
forget_earlier (struct mq_gate *gate, struct gate_program *program,
                const struct mq_ref_msg *msg)
{
  struct gate_node *node = program->calls.first;

  while (node != NULL)
    {
      struct gate_call *call = GATE_ENTRY (node, struct gate_call, by_program);

      node = node->next;
      if (call->ref.call < msg->ref.call && call->idempotent
          && call->state == GATE_CALL_DONE
          && call->accepted_fence <= msg->fence)
        mq_gate_call_drop (gate, call);
    }
}

void
mq_gate_handle_forget (struct mq_gate *gate, uint32_t peer,
                       const struct mq_ref_msg *msg)
{
  struct gate_program *program;
  struct gate_call *call;

  if (mq_gate_raise_fence (gate, msg->partition, msg->fence, peer) == NULL)
    return;
  program = mq_gate_program_get (gate, msg->ref.program);
  if (program == NULL)
    return;
  forget_earlier (gate, program, msg);
  call = mq_gate_call_find (gate, &msg->ref);
  if (call == NULL || msg->ref.attempt >= call->ref.attempt)
    mq_gate_mark_settled (program, msg->fence, &msg->ref, true);
  if (call != NULL && msg->ref.attempt >= call->ref.attempt)
    forget_known (gate, call);
}

/* Refuses the queued idempotent calls of a program that has ended.  */
void
mq_gate_cancel_program_calls (struct mq_gate *gate,
                              struct gate_program *program)
{
  struct gate_node *node = program->calls.first;

  while (node != NULL)
    {
      struct gate_call *call = GATE_ENTRY (node, struct gate_call, by_program);

      node = node->next;
      if (call->state == GATE_CALL_QUEUED && call->idempotent)
        mq_gate_call_refuse (gate, call, MQ_ERR_CANCELLED, 0);
    }
}
