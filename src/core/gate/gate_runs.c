/* gate_runs.c - calls at workers: start, tokens, stop and end.

   A run exists from START until the worker reports its end, even if its call
   was dropped, as it occupies a slot of the engine until then.  Each START is
   answered by exactly one DONE.

   Needs: gate_state.h, id.h.  */

#include "gate_state.h"
#include "../id.h"

static uint64_t
hash_slot (const struct mq_gate *gate, uint32_t slot)
{
  return mq_hash_bytes (&slot, sizeof slot, gate->hash_seed);
}

static bool
same_slot (const struct gate_link *link, const void *key)
{
  return GATE_ENTRY (link, struct gate_run, link)->slot
         == *(const uint32_t *)key;
}

static struct gate_run *
find_ready_conn_of_peer (struct mq_gate *gate, uint32_t slot)
{
  struct gate_link *link = mq_gate_map_find (
      &gate->runs, hash_slot (gate, slot), same_slot, &slot);

  return link == NULL ? NULL : GATE_ENTRY (link, struct gate_run, link);
}

/* Returns an unused slot number.  Numbers are sequential and wrap after 2^32
   calls, so a late report of an ended run is not attributed to another
   call.  */
static uint32_t
next_slot (struct mq_gate *gate)
{
  do
    gate->last_slot++;
  while (gate->last_slot == 0
         || find_ready_conn_of_peer (gate, gate->last_slot) != NULL);
  return gate->last_slot;
}

static struct gate_run *
create_run (struct mq_gate *gate, struct gate_call *call)
{
  struct gate_run *run = mq_gate_alloc (gate, sizeof *run, "struct gate_run");

  run->slot = next_slot (gate);
  run->worker = call->worker;
  run->call = call;
  run->program = call->program;
  run->ref = call->ref;
  run->traceparent = mq_gate_strdup (run, call->traceparent);
  run->organisation = call->organisation;
  run->shared_prefix = call->shared_prefix;
  run->continuing = call->continuing;
  run->new_cache_tokens = call->new_cache_tokens;
  run->started_us = gate->now_us;
  mq_gate_map_add (&gate->runs, &run->link, hash_slot (gate, run->slot));
  return run;
}

static void
free_run (struct mq_gate *gate, struct gate_run *run)
{
  mq_gate_map_remove (&gate->runs, &run->link);
  talloc_free (run);
}

/* Remaining time until the deadline; 0 if there is no deadline.  */
static uint32_t
remaining_ms (const struct mq_gate *gate, const struct gate_call *call)
{
  uint64_t remaining_us;

  if (call->deadline_us == 0)
    return 0;
  remaining_us = call->deadline_us > gate->now_us
                     ? call->deadline_us - gate->now_us
                     : 0;
  return remaining_us < MQ_US_PER_MS ? 1
                                     : (uint32_t)(remaining_us / MQ_US_PER_MS);
}

/* The key is the same for every attempt of a call, so that a target that
   honours it runs the call once.  */
static const char *
format_idempotency_key (TALLOC_CTX *ctx, const struct mq_call_ref *ref)
{
  char program[MQ_ID_TEXT];
  char *key;

  mq_id_format (ref->program, program);
  key = talloc_asprintf (ctx, "%s-%u", program, ref->call);
  return key == NULL ? "" : key;
}

static void
add_start (struct mq_gate *gate, struct gate_call *call)
{
  struct mq_actions *actions = gate->actions;
  struct mq_action *action = mq_actions_add (actions, MQ_ACT_START);
  struct mq_start *start = &action->u.start;

  start->slot = call->run->slot;
  start->worker = call->worker;
  start->ref = call->ref;
  start->service = mq_gate_strdup (actions, call->service);
  start->route = mq_gate_strdup (actions, call->route);
  start->priority = call->priority;
  start->max_tokens = call->max_tokens;
  start->timeout_ms = remaining_ms (gate, call);
  start->idempotency_key = format_idempotency_key (actions, &call->ref);
  start->traceparent = mq_gate_strdup (actions, call->traceparent);
  start->body = talloc_steal (actions, call->body);
  call->body = NULL;
}

/* Starts CALL, which must have left the queue.  */
void
mq_gate_run_start (struct mq_gate *gate, struct gate_call *call)
{
  struct gate_worker *worker = &gate->workers[call->worker];

  call->run = create_run (gate, call);
  call->state = GATE_CALL_RUNNING;
  call->queue_us = gate->now_us - call->arrived_us;
  call->program->runs++;
  worker->running++;
  worker->new_cache_tokens += call->new_cache_tokens;
  gate->counters.calls_started++;
  gate->counters.running++;
  gate->load_dirty = true;
  mq_gate_cache_run_started (gate, call->run);
  mq_gate_record_span (gate, "queue", call->traceparent, &call->ref,
                       call->arrived_us, MQ_ERR_NONE);
  add_start (gate, call);
}

void
mq_gate_run_stop (struct mq_gate *gate, struct gate_run *run)
{
  struct mq_start *stop;

  if (run->stopping)
    return;
  run->stopping = true;
  stop = &mq_actions_add (gate->actions, MQ_ACT_STOP)->u.stop;
  stop->slot = run->slot;
  stop->worker = run->worker;
  stop->ref = run->ref;
  stop->service
      = mq_gate_strdup (gate->actions, gate->workers[run->worker].service);
  stop->route = "";
  stop->idempotency_key = format_idempotency_key (gate->actions, &run->ref);
  stop->traceparent = mq_gate_strdup (gate->actions, run->traceparent);
  stop->body = "";
}

static void
send_token (struct mq_gate *gate, const struct gate_call *call, uint32_t index,
            const char *text)
{
  struct mq_message message = { .type = MQ_MSG_TOKEN };

  if (!mq_gate_peer_is_up (gate, call->peer))
    return;
  message.u.token.ref = call->ref;
  message.u.token.ref.attempt = call->requested_attempt;
  message.u.token.partition = call->partition->partition;
  message.u.token.fence = call->answer_fence;
  message.u.token.index = index;
  message.u.token.text = text;
  mq_gate_send (gate, call->peer, &message);
}

/* Indices advance while no peer is attached, so that a peer that attaches
   later can detect missed tokens.  */
void
mq_gate_handle_token (struct mq_gate *gate, const struct mq_gate_token *token)
{
  struct gate_run *run = find_ready_conn_of_peer (gate, token->slot);
  uint32_t index;

  if (run == NULL)
    return;
  if (run->tokens == 0)
    run->first_us = gate->now_us;
  index = run->tokens++;
  if (run->call != NULL)
    send_token (gate, run->call, index, token->text);
}

static void
count_tokens (struct mq_gate *gate, const struct mq_gate_done *done)
{
  struct mq_gate_counters *counters = &gate->counters;
  uint32_t cached = done->cached_tokens < done->tokens_in ? done->cached_tokens
                                                          : done->tokens_in;

  counters->calls_done++;
  counters->prompt_tokens += done->tokens_in;
  counters->cached_tokens += cached;
  counters->generated_tokens += done->tokens_out;
}

static void
release_slot (struct mq_gate *gate, struct gate_run *run,
              const struct mq_gate_done *done)
{
  struct gate_worker *worker = &gate->workers[run->worker];

  worker->running--;
  worker->new_cache_tokens -= run->new_cache_tokens;
  run->program->runs--;
  gate->counters.running--;
  gate->load_dirty = true;
  mq_gate_load_record_run (worker, run, done, gate->now_us - run->started_us);
  mq_gate_queue_charge (gate, worker, run->organisation, done->tokens_out);
  mq_gate_record_span (gate, "target", run->traceparent, &run->ref,
                       run->started_us, done->error);
}

void
mq_gate_handle_done (struct mq_gate *gate, const struct mq_gate_done *done)
{
  struct gate_run *run = find_ready_conn_of_peer (gate, done->slot);
  struct gate_worker *worker;

  if (run == NULL)
    return;
  worker = &gate->workers[run->worker];
  count_tokens (gate, done);
  release_slot (gate, run, done);
  mq_gate_cache_run_ended (gate, run, done);
  mq_gate_program_touch (gate, run->program);
  if (run->call != NULL)
    mq_gate_call_finish (gate, run->call, done);
  free_run (gate, run);
  mq_gate_queue_run (gate, worker);
}
