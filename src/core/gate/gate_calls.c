/* gate_calls.c - table of calls: acceptance, duplicates and outcomes.

   A call has one record from its acceptance until its outcome is forgotten.
   After that, the watermarks of its program refuse late copies of it.

   Needs: gate_state.h, id.h.  */

#include "gate_state.h"
#include "../id.h"
#include <string.h>

static uint64_t
hash_call (const struct mq_gate *gate, const struct mq_call_ref *ref)
{
  uint64_t key[3] = { ref->program.hi, ref->program.lo, ref->call };

  return mq_hash_bytes (key, sizeof key, gate->hash_seed);
}

static bool
same_call (const struct gate_link *link, const void *key)
{
  const struct gate_call *call = GATE_ENTRY (link, struct gate_call, link);
  const struct mq_call_ref *ref = key;

  return call->ref.call == ref->call
         && mq_id_equal (call->ref.program, ref->program);
}

struct gate_call *
mq_gate_call_find (struct mq_gate *gate, const struct mq_call_ref *ref)
{
  struct gate_link *link
      = mq_gate_map_find (&gate->calls, hash_call (gate, ref), same_call, ref);

  return link == NULL ? NULL : GATE_ENTRY (link, struct gate_call, link);
}

/* Replies.  */

static void
send_outcome (struct mq_gate *gate, uint32_t peer,
              const struct mq_outcome_msg *outcome)
{
  struct mq_message message = { .type = MQ_MSG_OUTCOME };

  message.u.outcome = *outcome;
  mq_gate_send (gate, peer, &message);
}

void
mq_gate_send_refusal (struct mq_gate *gate, uint32_t peer,
                      const struct mq_ref_msg *about, enum mq_error_type error,
                      enum mq_ran ran, uint32_t retry_after_ms)
{
  struct mq_outcome_msg outcome = {
    .ref = about->ref,
    .partition = about->partition,
    .fence = about->fence,
    .boot = gate->boot,
    .error = error,
    .ran = ran,
    .retry_after_ms = retry_after_ms,
    .body = "",
  };

  send_outcome (gate, peer, &outcome);
}

void
mq_gate_count_refusal (struct mq_gate *gate, enum mq_error_type error)
{
  switch (error)
    {
    case MQ_ERR_STALE_FENCE:
      gate->counters.refused_fence++;
      break;
    case MQ_ERR_WRONG_BOOT:
      gate->counters.refused_boot++;
      break;
    case MQ_ERR_SEALED:
      gate->counters.refused_sealed++;
      break;
    case MQ_ERR_LEAVING:
      gate->counters.refused_leaving++;
      break;
    case MQ_ERR_OVERLOADED:
    case MQ_ERR_TIMEOUT:
    case MQ_ERR_NO_TARGET:
      gate->counters.refused_full++;
      break;
    case MQ_ERR_CANCELLED:
      gate->counters.cancelled++;
      break;
    default:
      break;
    }
}

static void
refuse_message (struct mq_gate *gate, uint32_t peer,
                const struct mq_call_msg *msg, enum mq_error_type error,
                enum mq_ran ran, uint32_t retry_after_ms)
{
  struct mq_ref_msg about = { msg->ref, msg->partition, msg->fence };

  mq_gate_count_refusal (gate, error);
  mq_gate_send_refusal (gate, peer, &about, error, ran, retry_after_ms);
}

/* Sends the retained outcome of CALL to PEER, for the attempt that PEER
   requested.  */
void
mq_gate_send_outcome (struct mq_gate *gate, uint32_t peer,
                      const struct gate_call *call, uint32_t attempt,
                      bool recovered)
{
  struct mq_outcome_msg outcome = call->outcome;

  outcome.ref.attempt = attempt;
  outcome.fence = call->answer_fence;
  outcome.recovered = recovered;
  send_outcome (gate, peer, &outcome);
}

/* Call records.  */

static void
unlink_retained (struct mq_gate *gate, struct gate_call *call)
{
  if (call->idempotent)
    mq_gate_list_remove (&gate->retained_idempotent, &call->by_age);
  gate->retained_count--;
  gate->retained_bytes -= call->outcome_bytes;
  gate->counters.outcomes_kept = gate->retained_count;
}

static void
link_retained (struct mq_gate *gate, struct gate_call *call)
{
  if (call->idempotent)
    mq_gate_list_add (&gate->retained_idempotent, &call->by_age);
  gate->retained_count++;
  gate->retained_bytes += call->outcome_bytes;
  gate->counters.outcomes_kept = gate->retained_count;
}

static void
free_call (struct mq_gate *gate, struct gate_call *call)
{
  mq_gate_list_remove (&call->program->calls, &call->by_program);
  mq_gate_list_remove (&call->partition->calls, &call->by_partition);
  mq_gate_map_remove (&gate->calls, &call->link);
  talloc_free (call);
}

/* Removes CALL from the table without notifying its requester.  */
void
mq_gate_call_drop (struct mq_gate *gate, struct gate_call *call)
{
  switch (call->state)
    {
    case GATE_CALL_QUEUED:
      mq_gate_queue_remove (gate, call);
      break;
    case GATE_CALL_RUNNING:
      call->run->call = NULL;
      mq_gate_run_stop (gate, call->run);
      break;
    case GATE_CALL_DONE:
      unlink_retained (gate, call);
      break;
    }
  free_call (gate, call);
}

void
mq_gate_set_requester (struct gate_call *call, uint32_t peer, uint64_t fence,
                       uint32_t attempt)
{
  call->peer = peer;
  call->answer_fence = fence;
  if (attempt > call->requested_attempt)
    call->requested_attempt = attempt;
}

/* Records that REF was reported as not run, so that a late copy of it is
   refused.  */
void
mq_gate_mark_not_run (struct gate_program *program,
                      const struct mq_call_ref *ref, uint64_t fence,
                      bool idempotent)
{
  mq_gate_mark_settled (program, fence, ref, false);
  if (!idempotent)
    mq_gate_mark_sealed (program, ref->call, ref->attempt);
}

void
mq_gate_call_refuse (struct mq_gate *gate, struct gate_call *call,
                     enum mq_error_type error, uint32_t retry_after_ms)
{
  struct mq_ref_msg about
      = { call->ref, call->partition->partition, call->answer_fence };
  uint32_t peer = call->peer;

  about.ref.attempt = call->requested_attempt;
  mq_gate_mark_not_run (call->program, &about.ref, call->answer_fence,
                        call->idempotent);
  mq_gate_record_span (gate, "queue", call->traceparent, &call->ref,
                       call->arrived_us, error);
  mq_gate_call_drop (gate, call);
  mq_gate_count_refusal (gate, error);
  if (mq_gate_peer_is_up (gate, peer))
    mq_gate_send_refusal (gate, peer, &about, error, MQ_RAN_NOT_RUN,
                          retry_after_ms);
}

/* CALL.  */

static bool
drop_oldest_retained (struct mq_gate *gate)
{
  struct gate_node *node = gate->retained_idempotent.first;

  if (node == NULL)
    return false;
  mq_gate_call_drop (gate, GATE_ENTRY (node, struct gate_call, by_age));
  return true;
}

/* Bounds the memory for outcomes whose owners cannot commit.  Drops the oldest
   outcomes of idempotent calls, which can be run again.  Other outcomes are
   the only proof that a call took effect: they are retained and new calls are
   refused.  */
static bool
ensure_capacity (struct mq_gate *gate)
{
  while (gate->calls.count >= gate->outcomes_max
         || gate->retained_bytes > MQ_GATE_OUTCOME_BYTES_MAX)
    if (!drop_oldest_retained (gate))
      return false;
  return true;
}

static uint64_t
hash_content (const struct mq_gate *gate, const struct mq_call_msg *msg)
{
  uint64_t hash
      = mq_hash_bytes (msg->service, strlen (msg->service), gate->hash_seed);

  hash = mq_hash_bytes (msg->route, strlen (msg->route), hash);
  return mq_hash_bytes (msg->body, strlen (msg->body), hash);
}

static struct gate_call *
create_call (struct mq_gate *gate, const struct mq_call_msg *msg)
{
  struct gate_call *call
      = mq_gate_alloc (gate, sizeof *call, "struct gate_call");

  call->ref = msg->ref;
  call->requested_attempt = msg->ref.attempt;
  call->accepted_fence = msg->fence;
  call->answer_fence = msg->fence;
  call->idempotent = msg->idempotent;
  call->continuing = msg->continuing || msg->follow_up;
  call->worker = msg->worker;
  call->priority = msg->priority;
  call->shared_prefix = msg->shared_prefix;
  call->max_tokens = msg->max_tokens;
  call->organisation = mq_hash_bytes (
      msg->organisation, strlen (msg->organisation), gate->hash_seed);
  call->arrived_us = gate->now_us;
  call->arrival = ++gate->arrivals;
  if (msg->deadline_ms != 0)
    call->deadline_us = gate->now_us + msg->deadline_ms * MQ_US_PER_MS;
  call->body_len = strlen (msg->body);
  mq_gate_queue_estimate (gate, call, msg);
  return call;
}

/* Copies the strings of MSG.  Called only for admitted calls.  */
static void
fill_call (struct mq_gate *gate, struct gate_call *call,
           const struct mq_call_msg *msg)
{
  call->body_hash = hash_content (gate, msg);
  call->service = mq_gate_strdup (call, msg->service);
  call->route = mq_gate_strdup (call, msg->route);
  call->traceparent = mq_gate_strdup (call, msg->traceparent);
  call->body = mq_gate_strdup (call, msg->body);
}

static void
link_call (struct mq_gate *gate, struct gate_call *call,
           struct gate_program *program, struct gate_partition *partition)
{
  call->program = program;
  call->partition = partition;
  mq_gate_list_add (&program->calls, &call->by_program);
  mq_gate_list_add (&partition->calls, &call->by_partition);
  mq_gate_map_add (&gate->calls, &call->link, hash_call (gate, &call->ref));
}

/* Whether CALL must be dropped because of the new call MSG: idempotent calls
   with a higher number that were accepted under a lower fence, since a new
   owner that lost uncommitted steps will repeat them; and idempotent calls
   with a lower number that are still queued or running, since their owner has
   abandoned them.  Completed outcomes of lower calls are retained until they
   are forgotten.  */
static bool
is_superseded (const struct gate_call *call, const struct mq_call_msg *msg)
{
  if (!call->idempotent)
    return false;
  if (call->ref.call > msg->ref.call)
    return call->accepted_fence < msg->fence;
  return call->ref.call < msg->ref.call && call->state != GATE_CALL_DONE;
}

static void
drop_superseded (struct mq_gate *gate, struct gate_program *program,
                 const struct mq_call_msg *msg)
{
  struct gate_node *node = program->calls.first;

  while (node != NULL)
    {
      struct gate_call *call = GATE_ENTRY (node, struct gate_call, by_program);

      node = node->next;
      if (is_superseded (call, msg))
        mq_gate_call_drop (gate, call);
    }
}

static void
update_latest (struct gate_program *program, const struct mq_call_msg *msg)
{
  if (msg->fence == program->latest_fence
      && msg->ref.call <= program->latest_call)
    return;
  program->latest_fence = msg->fence;
  program->latest_call = msg->ref.call;
}

static void
accept_call (struct mq_gate *gate, uint32_t peer, struct gate_call *call,
             const struct mq_call_msg *msg, struct gate_program *program,
             struct gate_partition *partition)
{
  drop_superseded (gate, program, msg);
  update_latest (program, msg);
  fill_call (gate, call, msg);
  call->peer = peer;
  link_call (gate, call, program, partition);
  mq_gate_grant_lease (gate, program, &gate->workers[call->worker]);
  mq_gate_queue_add (gate, call);
  mq_gate_queue_run (gate, &gate->workers[call->worker]);
}

/* Returns the reason why CALL cannot be queued now, or MQ_ERR_NONE.  */
static enum mq_error_type
check_capacity (struct mq_gate *gate, const struct gate_call *call,
                uint32_t *retry_after_ms)
{
  const struct gate_worker *worker = &gate->workers[call->worker];

  *retry_after_ms = mq_gate_queue_retry_after_ms (gate, worker);
  if (!worker->up)
    return MQ_ERR_NO_TARGET;
  if (!ensure_capacity (gate))
    return MQ_ERR_OVERLOADED;
  return mq_gate_queue_admit (gate, call, retry_after_ms);
}

static void
handle_new_call (struct mq_gate *gate, uint32_t peer,
                 const struct mq_call_msg *msg,
                 struct gate_partition *partition)
{
  struct gate_program *program = mq_gate_program_find (gate, msg->ref.program);
  enum mq_ran ran = MQ_RAN_NOT_RUN;
  struct gate_call *call;
  enum mq_error_type error;
  uint32_t retry_after_ms = 0;

  if (program != NULL && mq_gate_is_stale_call (program, msg, &ran))
    {
      refuse_message (gate, peer, msg, MQ_ERR_SEALED, ran, 0);
      return;
    }
  /* No watermark is needed: a draining gate accepts no new call.  */
  if (gate->leaving)
    {
      refuse_message (gate, peer, msg, MQ_ERR_LEAVING, MQ_RAN_NOT_RUN, 0);
      return;
    }
  /* Without a program record a late copy of a refused call could still run.
     Send no reply; the owner retries as after a lost frame.  */
  program = mq_gate_program_get (gate, msg->ref.program);
  if (program == NULL)
    return;
  call = create_call (gate, msg);
  error = check_capacity (gate, call, &retry_after_ms);
  if (error == MQ_ERR_NONE)
    {
      accept_call (gate, peer, call, msg, program, partition);
      return;
    }
  mq_gate_mark_not_run (program, &msg->ref, msg->fence, msg->idempotent);
  refuse_message (gate, peer, msg, error, MQ_RAN_NOT_RUN, retry_after_ms);
  talloc_free (call);
}

static void
answer_duplicate (struct mq_gate *gate, uint32_t peer, struct gate_call *call,
                  const struct mq_call_msg *msg)
{
  gate->counters.calls_repeated++;
  mq_gate_set_requester (call, peer, msg->fence, msg->ref.attempt);
  if (call->state == GATE_CALL_DONE)
    mq_gate_send_outcome (gate, peer, call, msg->ref.attempt, false);
}

/* Handles a duplicate, or a further attempt, of a non-idempotent call that is
   in the table: it joins the existing run and is never started again.  A lower
   attempt was already refused before the accepted one was sent.  */
static void
repeat_non_idempotent (struct mq_gate *gate, uint32_t peer,
                       struct gate_call *call, const struct mq_call_msg *msg)
{
  if (msg->ref.attempt < call->ref.attempt)
    refuse_message (gate, peer, msg, MQ_ERR_SEALED, MQ_RAN_NOT_RUN, 0);
  else
    answer_duplicate (gate, peer, call, msg);
}

static void
replace_call (struct mq_gate *gate, uint32_t peer, struct gate_call *call,
              const struct mq_call_msg *msg, struct gate_partition *partition)
{
  if (gate->leaving)
    {
      refuse_message (gate, peer, msg, MQ_ERR_LEAVING, MQ_RAN_NOT_RUN, 0);
      return;
    }
  gate->counters.cancelled++;
  mq_gate_call_drop (gate, call);
  handle_new_call (gate, peer, msg, partition);
}

/* Whether a new owner can take over CALL from its predecessor: the content is
   the same and the call did not fail.  */
static bool
is_adoptable (const struct mq_gate *gate, const struct gate_call *call,
              const struct mq_call_msg *msg)
{
  if (call->state == GATE_CALL_DONE && call->outcome.error != MQ_ERR_NONE)
    return false;
  return !call->cancelled && call->body_hash == hash_content (gate, msg);
}

static void
adopt_call (struct mq_gate *gate, uint32_t peer, struct gate_call *call,
            const struct mq_call_msg *msg)
{
  call->ref.attempt = msg->ref.attempt;
  call->requested_attempt = msg->ref.attempt;
  call->accepted_fence = msg->fence;
  if (call->run != NULL)
    call->run->ref = call->ref;
  drop_superseded (gate, call->program, msg);
  update_latest (call->program, msg);
  answer_duplicate (gate, peer, call, msg);
}

/* Handles a duplicate of an idempotent call that is in the table.  Attempts
   are ordered by fence, then by number, since a new owner may not know the
   attempt numbers of its predecessor.  */
static void
repeat_idempotent (struct mq_gate *gate, uint32_t peer, struct gate_call *call,
                   const struct mq_call_msg *msg,
                   struct gate_partition *partition)
{
  if (msg->fence > call->accepted_fence)
    {
      if (is_adoptable (gate, call, msg))
        adopt_call (gate, peer, call, msg);
      else
        replace_call (gate, peer, call, msg, partition);
      return;
    }
  if (msg->ref.attempt == call->ref.attempt)
    answer_duplicate (gate, peer, call, msg);
  else if (msg->ref.attempt > call->ref.attempt)
    replace_call (gate, peer, call, msg, partition);
  else
    refuse_message (gate, peer, msg, MQ_ERR_SEALED, MQ_RAN_UNKNOWN, 0);
}

/* Treats CALL as non-idempotent from now on.  A configuration change may alter
   this property between two attempts; the stricter value applies.  */
static void
clear_idempotent (struct mq_gate *gate, struct gate_call *call)
{
  if (call->state == GATE_CALL_DONE)
    mq_gate_list_remove (&gate->retained_idempotent, &call->by_age);
  call->idempotent = false;
}

static void
handle_known_call (struct mq_gate *gate, uint32_t peer, struct gate_call *call,
                   const struct mq_call_msg *msg,
                   struct gate_partition *partition)
{
  if (call->idempotent && !msg->idempotent
      && msg->fence == call->accepted_fence)
    clear_idempotent (gate, call);
  if (call->idempotent)
    repeat_idempotent (gate, peer, call, msg, partition);
  else
    repeat_non_idempotent (gate, peer, call, msg);
}

/* Whether MSG was sent to this process.  A restarted gate has lost its
   watermarks, so a late call to an earlier process could run twice; it is
   refused.  Idempotent calls may omit the boot id.  */
static bool
is_for_this_boot (const struct mq_gate *gate, const struct mq_call_msg *msg)
{
  if (msg->boot == 0)
    return msg->idempotent;
  return msg->boot == gate->boot;
}

static bool
is_for_worker (const struct mq_gate *gate, const struct mq_call_msg *msg)
{
  return msg->worker < gate->worker_count
         && strcmp (gate->workers[msg->worker].service, msg->service) == 0;
}

/* A call that was accepted before the fence rose may now belong to a new
   owner, so it is not reported as not run.  */
static void
refuse_stale (struct mq_gate *gate, uint32_t peer,
              const struct mq_call_msg *msg)
{
  const struct gate_program *program
      = mq_gate_program_find (gate, msg->ref.program);
  enum mq_ran ran = MQ_RAN_NOT_RUN;

  if (mq_gate_call_find (gate, &msg->ref) != NULL)
    ran = MQ_RAN_UNKNOWN;
  else if (program != NULL)
    mq_gate_is_stale_call (program, msg, &ran);
  refuse_message (gate, peer, msg, MQ_ERR_STALE_FENCE, ran, 0);
}

static const char *
or_empty (const char *text)
{
  return text == NULL ? "" : text;
}

void
mq_gate_handle_call (struct mq_gate *gate, uint32_t peer,
                     const struct mq_call_msg *from)
{
  struct gate_partition *partition
      = mq_gate_raise_fence (gate, from->partition, from->fence, peer);
  struct mq_call_msg copy = *from;
  const struct mq_call_msg *msg = &copy;
  struct gate_call *call;

  copy.service = or_empty (from->service);
  copy.route = or_empty (from->route);
  copy.organisation = or_empty (from->organisation);
  copy.traceparent = or_empty (from->traceparent);
  copy.body = or_empty (from->body);
  gate->counters.calls_received++;
  if (partition == NULL)
    {
      refuse_stale (gate, peer, msg);
      return;
    }
  if (!is_for_this_boot (gate, msg))
    {
      refuse_message (gate, peer, msg, MQ_ERR_WRONG_BOOT, MQ_RAN_NOT_RUN, 0);
      return;
    }
  if (!is_for_worker (gate, msg))
    {
      refuse_message (gate, peer, msg, MQ_ERR_BAD_REQUEST, MQ_RAN_NOT_RUN, 0);
      return;
    }
  call = mq_gate_call_find (gate, &msg->ref);
  if (call != NULL)
    handle_known_call (gate, peer, call, msg, partition);
  else
    handle_new_call (gate, peer, msg, partition);
}

/* Completion.  */

static void
fill_outcome (struct mq_gate *gate, struct gate_call *call,
              const struct mq_gate_done *done)
{
  struct mq_outcome_msg *outcome = &call->outcome;
  const struct gate_run *run = call->run;

  outcome->ref = call->ref;
  outcome->ref.attempt = call->requested_attempt;
  outcome->partition = call->partition->partition;
  outcome->fence = call->answer_fence;
  outcome->boot = gate->boot;
  outcome->error = done->error;
  outcome->ran = done->ran;
  if (call->cancelled && done->error != MQ_ERR_NONE)
    outcome->error = MQ_ERR_CANCELLED;
  if (outcome->error == MQ_ERR_NONE)
    outcome->ran = MQ_RAN_RAN;
  if (outcome->ran == MQ_RAN_NOT_RUN)
    outcome->retry_after_ms
        = mq_gate_queue_retry_after_ms (gate, &gate->workers[call->worker]);
  outcome->body = mq_gate_strdup (call, done->body);
  outcome->tokens_in = done->tokens_in;
  outcome->tokens_out = done->tokens_out;
  outcome->cached_tokens = done->cached_tokens;
  outcome->queue_us = call->queue_us;
  outcome->first_us = run->first_us == 0 ? 0 : run->first_us - run->started_us;
  outcome->run_us = gate->now_us - run->started_us;
  call->outcome_bytes = strlen (outcome->body);
}

/* Removes a call that the worker refused; the same attempt cannot be started
   again.  */
static void
finish_not_run (struct mq_gate *gate, struct gate_call *call)
{
  mq_gate_mark_not_run (call->program, &call->outcome.ref, call->answer_fence,
                        call->idempotent);
  free_call (gate, call);
}

void
mq_gate_forget_call (struct mq_gate *gate, struct gate_call *call)
{
  if (!call->idempotent)
    mq_gate_mark_sealed (call->program, call->ref.call, MQ_GATE_ALL_ATTEMPTS);
  mq_gate_call_drop (gate, call);
}

/* Completes CALL with the result DONE.  The caller frees the run.  */
void
mq_gate_call_finish (struct mq_gate *gate, struct gate_call *call,
                     const struct mq_gate_done *done)
{
  fill_outcome (gate, call, done);
  call->run = NULL;
  call->state = GATE_CALL_DONE;
  if (mq_gate_peer_is_up (gate, call->peer))
    mq_gate_send_outcome (gate, call->peer, call, call->requested_attempt,
                          false);
  if (call->outcome.ran == MQ_RAN_NOT_RUN)
    {
      finish_not_run (gate, call);
      return;
    }
  link_retained (gate, call);
  if (call->forgotten)
    mq_gate_forget_call (gate, call);
  else
    ensure_capacity (gate);
}
