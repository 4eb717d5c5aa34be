/* gate.c - the last gate before a target: takes each input to the part that
   handles it.

   gate_calls.c has the table of calls and gate_programs.c the fences and
   marks, gate_queue.c admission and order, gate_runs.c the calls at workers,
   gate_cache.c leases and eviction, gate_orders.c orders to engines,
   gate_load.c what is told of the workers.
   Needs: gate_state.h, id.h.  */

#include "gate_state.h"
#include "../id.h"
#include <stdlib.h>
#include <string.h>

/* A pause of this process counts as this long; see
   mq_gate_programs_expire.  */
#define LIVED_STEP_MS 1000ULL

/* Used by every part.  */

void *
mq_gate_alloc (TALLOC_CTX *ctx, size_t size, const char *name)
{
  void *memory = talloc_zero_size (ctx, size);

  if (memory == NULL)
    abort ();
  talloc_set_name_const (memory, name);
  return memory;
}

char *
mq_gate_strdup (TALLOC_CTX *ctx, const char *text)
{
  char *copy = talloc_strdup (ctx, text == NULL ? "" : text);

  if (copy == NULL)
    abort ();
  return copy;
}

bool
mq_gate_peer_is_up (const struct mq_gate *gate, uint32_t peer)
{
  for (size_t i = 0; i < gate->peer_count; i++)
    if (gate->peers[i] == peer)
      return true;
  return false;
}

void
mq_gate_send (struct mq_gate *gate, uint32_t peer,
              const struct mq_message *message)
{
  mq_actions_send (gate->actions, peer, message);
}

void
mq_gate_state (struct mq_gate *gate, enum mq_state_change change,
               uint64_t number, const char *subject)
{
  struct mq_action *action = mq_actions_add (gate->actions, MQ_ACT_STATE);

  action->u.state.change = change;
  action->u.state.number = number;
  action->u.state.subject = mq_gate_strdup (gate->actions, subject);
}

void
mq_gate_span (struct mq_gate *gate, const char *name, const char *traceparent,
              const struct mq_call_ref *ref, uint64_t start_us,
              enum mq_error_type error)
{
  struct mq_span *span = &mq_actions_add (gate->actions, MQ_ACT_SPAN)->u.span;

  span->name = name;
  span->traceparent = mq_gate_strdup (gate->actions, traceparent);
  span->program = ref->program;
  span->call = ref->call;
  span->start_us = start_us;
  span->end_us = gate->now_us;
  span->error = error;
}

/* Construction.  */

static void
create_worker (struct mq_gate *gate, uint32_t index,
               const struct mq_gate_worker *from)
{
  struct gate_worker *worker = &gate->workers[index];

  worker->index = index;
  worker->service = mq_gate_strdup (gate, from->service);
  worker->model = mq_gate_strdup (gate, from->model);
  worker->kind = from->kind;
  worker->slots = from->slots == 0 ? 1 : from->slots;
  worker->cache_tokens = from->cache_tokens;
  worker->up = true;
  mq_gate_queue_create (gate, worker);
}

static void
create_workers (struct mq_gate *gate, const struct mq_gate_options *options)
{
  gate->worker_count = options->worker_count;
  gate->workers = mq_gate_alloc (
      gate, (options->worker_count + 1) * sizeof gate->workers[0],
      "struct gate_worker");
  for (uint32_t i = 0; i < options->worker_count; i++)
    create_worker (gate, i, &options->workers[i]);
}

struct mq_gate *
mq_gate_create (TALLOC_CTX *ctx, const struct mq_gate_options *options)
{
  struct mq_gate *gate = mq_gate_alloc (ctx, sizeof *gate, "struct mq_gate");

  gate->host = mq_gate_strdup (gate, options->host);
  gate->boot = options->boot;
  gate->random = options->seed;
  gate->hash_seed = mq_random_next (&gate->random);
  gate->order = options->order;
  gate->queue_max
      = options->queue_max == 0 ? MQ_GATE_QUEUE_MAX : options->queue_max;
  gate->outcomes_max = options->outcomes_max == 0 ? MQ_GATE_OUTCOMES_MAX
                                                  : options->outcomes_max;
  mq_gate_map_create (&gate->partitions, gate);
  mq_gate_map_create (&gate->programs, gate);
  mq_gate_map_create (&gate->calls, gate);
  mq_gate_map_create (&gate->runs, gate);
  mq_gate_cache_create (gate);
  create_workers (gate, options);
  return gate;
}

void
mq_gate_destroy (struct mq_gate *gate)
{
  talloc_free (gate);
}

/* Inputs.  */

static void
take_peer_up (struct mq_gate *gate, uint32_t peer)
{
  if (mq_gate_peer_is_up (gate, peer))
    return;
  gate->peers
      = talloc_realloc (gate, gate->peers, uint32_t, gate->peer_count + 1);
  if (gate->peers == NULL)
    abort ();
  gate->peers[gate->peer_count++] = peer;
  mq_gate_load_tell (gate, peer);
}

/* Its calls go on and their outcomes are kept: another connection or owner
   will ask for them.  */
static void
take_peer_down (struct mq_gate *gate, uint32_t peer)
{
  for (size_t i = 0; i < gate->peer_count; i++)
    if (gate->peers[i] == peer)
      {
        gate->peers[i] = gate->peers[--gate->peer_count];
        return;
      }
}

static void
receive_conn_message (struct mq_gate *gate, uint32_t peer,
                      const struct mq_message *message)
{
  switch (message->type)
    {
    case MQ_MSG_CALL:
      mq_gate_take_call (gate, peer, &message->u.call);
      break;
    case MQ_MSG_CANCEL:
      mq_gate_take_cancel (gate, peer, &message->u.ref);
      break;
    case MQ_MSG_SEAL:
      mq_gate_take_seal (gate, peer, &message->u.ref);
      break;
    case MQ_MSG_RECOVER:
      mq_gate_take_recover (gate, peer, &message->u.recover);
      break;
    case MQ_MSG_FORGET:
      mq_gate_take_forget (gate, peer, &message->u.ref);
      break;
    case MQ_MSG_LEASE:
      mq_gate_take_lease (gate, peer, &message->u.lease);
      break;
    case MQ_MSG_ORDER:
      mq_gate_take_order (gate, peer, &message->u.order);
      break;
    case MQ_MSG_PROBE:
      mq_gate_take_probe (gate, peer, &message->u.probe);
      break;
    default:
      /* Between entry hosts, or about the configuration: not the gate's.  */
      break;
    }
}

static void
take_engine_up (struct mq_gate *gate, uint32_t index, uint64_t boot)
{
  struct gate_worker *worker;
  bool same;

  if (index >= gate->worker_count)
    return;
  worker = &gate->workers[index];
  same
      = boot != 0 && (worker->engine_boot == boot || worker->engine_boot == 0);
  worker->engine_boot = boot;
  worker->up = true;
  gate->load_dirty = true;
  if (!same)
    mq_gate_cache_emptied (gate, worker);
  mq_gate_orders_apply (gate, worker);
}

/* What waits for an engine that is gone is placed elsewhere; what was
   started there ends as the worker reports it.  */
static void
take_engine_down (struct mq_gate *gate, uint32_t index)
{
  if (index >= gate->worker_count)
    return;
  gate->workers[index].up = false;
  gate->load_dirty = true;
  mq_gate_queue_refuse_all (gate, &gate->workers[index], MQ_ERR_NO_TARGET);
}

static void
take_leave (struct mq_gate *gate)
{
  if (gate->leaving)
    return;
  gate->leaving = true;
  mq_gate_state (gate, MQ_STATE_LEAVING, 0, gate->host);
  for (size_t i = 0; i < gate->worker_count; i++)
    mq_gate_queue_refuse_all (gate, &gate->workers[i], MQ_ERR_LEAVING);
  mq_gate_load_push (gate, true);
}

static void
run_queues (struct mq_gate *gate)
{
  for (size_t i = 0; i < gate->worker_count; i++)
    mq_gate_queue_run (gate, &gate->workers[i]);
}

static void
tick (struct mq_gate *gate)
{
  run_queues (gate);
  mq_gate_cache_tick (gate);
  mq_gate_programs_expire (gate);
}

static void
take_input (struct mq_gate *gate, const struct mq_gate_input *input)
{
  switch (input->type)
    {
    case MQ_GATE_TICK:
      break;
    case MQ_GATE_PEER_UP:
      take_peer_up (gate, input->peer);
      break;
    case MQ_GATE_PEER_DOWN:
      take_peer_down (gate, input->peer);
      break;
    case MQ_GATE_MESSAGE:
      gate->moved = NULL;
      receive_conn_message (gate, input->peer, input->u.message);
      if (gate->moved != NULL)
        mq_gate_calls_follow (gate, gate->moved, input->peer);
      break;
    case MQ_GATE_TOKEN:
      mq_gate_take_token (gate, &input->u.token);
      break;
    case MQ_GATE_DONE:
      mq_gate_take_done (gate, &input->u.done);
      break;
    case MQ_GATE_EVICTED:
      mq_gate_take_evicted (gate, &input->u.evicted);
      break;
    case MQ_GATE_CACHE:
      mq_gate_take_cache (gate, &input->u.cache);
      break;
    case MQ_GATE_ENGINE_UP:
      take_engine_up (gate, input->u.worker, input->engine_boot);
      break;
    case MQ_GATE_ENGINE_DOWN:
      take_engine_down (gate, input->u.worker);
      break;
    case MQ_GATE_ORDERED:
      mq_gate_take_ordered (gate, &input->u.ordered);
      break;
    case MQ_GATE_LEAVE:
      take_leave (gate);
      break;
    }
}

static void
advance_clock (struct mq_gate *gate, uint64_t now_us)
{
  uint64_t elapsed_us;

  if (gate->now_us == 0)
    gate->now_us = now_us;
  if (now_us <= gate->now_us)
    return;
  elapsed_us = now_us - gate->now_us;
  gate->now_us = now_us;
  mq_gate_cache_clock (gate, elapsed_us);
  gate->lived_us += elapsed_us < LIVED_STEP_MS * MQ_US_PER_MS
                        ? elapsed_us
                        : LIVED_STEP_MS * MQ_US_PER_MS;
}

static void
note_drained (struct mq_gate *gate)
{
  if (gate->drained || !mq_gate_is_drained (gate))
    return;
  gate->drained = true;
  mq_gate_state (gate, MQ_STATE_DRAINED, 0, gate->host);
}

void
mq_gate_handle (struct mq_gate *gate, const struct mq_gate_input *input,
                struct mq_actions *actions)
{
  gate->actions = actions;
  advance_clock (gate, input->now_us);
  take_input (gate, input);
  tick (gate);
  mq_gate_load_push (gate, false);
  note_drained (gate);
  gate->actions = NULL;
}

/* Reading.  */

static uint64_t
earlier (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

uint64_t
mq_gate_next_tick (const struct mq_gate *gate)
{
  const struct gate_program *program = mq_gate_heap_first (&gate->leases);
  const struct gate_holding *holding = mq_gate_heap_first (&gate->retries);
  uint64_t next_us = gate->now_us + LIVED_STEP_MS * MQ_US_PER_MS;

  if (gate->peer_count > 0)
    next_us = earlier (next_us, mq_gate_load_due (gate));
  if (program != NULL)
    next_us = earlier (next_us, program->lease_until_us);
  if (holding != NULL)
    next_us = earlier (next_us, holding->retry_us);
  for (size_t i = 0; i < gate->worker_count; i++)
    {
      const struct gate_call *call
          = mq_gate_heap_first (&gate->workers[i].expiry);

      if (call != NULL)
        next_us = earlier (next_us, call->latest_start_us + 1);
    }
  return next_us;
}

bool
mq_gate_is_drained (const struct mq_gate *gate)
{
  return gate->leaving && gate->runs.count == 0 && gate->calls.count == 0;
}

char *
mq_gate_status (TALLOC_CTX *ctx, const struct mq_gate *gate)
{
  return mq_gate_status_text (ctx, gate);
}

const struct mq_gate_counters *
mq_gate_read_counters (const struct mq_gate *gate)
{
  return &gate->counters;
}
