/* engine_model.c - performance model of a model engine in virtual time.

   Sequence handles combine an index into one table with a generation.
   Needs: engine_state.h, xxhash.  */

#include "engine_state.h"
#include <string.h>
#include <xxhash.h>

enum
{
  TOKEN_BYTES = 4
};

void
mq_engine_params_default (struct mq_engine_params *params)
{
  static const struct mq_engine_params defaults = {
    .time_scale = 1.0,
    .base_us = 8000,
    .per_sequence_us = 150,
    .prefill_us_per_token = 125,
    .prefill_cap = 2048,
    .slots = 16,
    .queue_max = 256,
    .cache_tokens = 60000,
    .watermark_percent = 1,
    .transfer_us_per_token = 10,
    .order_us = { [MQ_ORDER_LOAD_MODEL] = 20000000,
                  [MQ_ORDER_LOAD_ADAPTER] = 2000000,
                  [MQ_ORDER_SET_VERSION] = 5000000,
                  [MQ_ORDER_SET_ROLE] = 500000 },
    .load_lag_us = 200000,
    .event_lag_us = 300000,
    .event_gap_permille = 20,
    .seed = 1,
  };

  *params = defaults;
}

/* Creation.  */

static void
on_evicted (struct mq_id program, uint32_t tokens, void *user)
{
  mq_engine_add_cache_event (user, MQ_ENGINE_EVICTED, program, tokens);
}

struct mq_engine *
mq_engine_create (TALLOC_CTX *ctx, const struct mq_engine_params *params)
{
  struct mq_engine *engine
      = mq_engine_check_alloc (talloc_zero (ctx, struct mq_engine));

  engine->params = *params;
  engine->random = params->seed;
  engine->kv = mq_kv_create (engine, params->cache_tokens / MQ_KV_BLOCK_TOKENS,
                             on_evicted, engine);
  engine->cache_events = mq_engine_check_alloc (talloc_zero_array (
      engine, struct mq_engine_cache_event, MQ_ENGINE_CACHE_EVENTS_KEPT));
  engine->reported = mq_engine_load (engine);
  engine->sampled = engine->reported;
  return engine;
}

void
mq_engine_destroy (struct mq_engine *engine)
{
  talloc_free (engine);
}

uint64_t *
mq_engine_hash_text (TALLOC_CTX *ctx, const char *text, size_t len,
                     size_t *count)
{
  const size_t block = (size_t)MQ_KV_BLOCK_TOKENS * TOKEN_BYTES;
  uint64_t *hashes;
  uint64_t hash = 0;

  *count = len / block;
  hashes = mq_engine_check_alloc (talloc_array (ctx, uint64_t, *count + 1));
  for (size_t i = 0; i < *count; i++)
    {
      hash = XXH64 (text + i * block, block, hash);
      /* 0 is reserved for "no preceding block".  */
      hash = hash == 0 ? 1 : hash;
      hashes[i] = hash;
    }
  return hashes;
}

/* Time.  */

static bool
has_work (const struct mq_engine *engine)
{
  return engine->running.count > 0 || engine->waiting.count > 0;
}

static uint64_t
next_end_us (const struct mq_engine *engine)
{
  uint64_t job
      = engine->work_count > 0 ? engine->work[0].due_us : MQ_ENGINE_NEVER;
  uint64_t step = engine->in_step ? engine->step_end_us : MQ_ENGINE_NEVER;

  return job < step ? job : step;
}

/* Completes the step or job that ends at AT_US.  */
static void
complete_next (struct mq_engine *engine, uint64_t at_us)
{
  mq_engine_sample_load (engine, at_us);
  if (at_us > engine->now_us)
    engine->now_us = at_us;
  if (engine->work_count > 0 && engine->work[0].due_us <= at_us)
    mq_engine_finish_first_work (engine);
  else
    mq_engine_finish_step (engine);
}

/* Processes everything that ends up to NOW_US. Does not begin a step at
   NOW_US, so that requests submitted at the same time share it.  */
static void
run_to (struct mq_engine *engine, uint64_t now_us)
{
  for (;;)
    {
      uint64_t end_us;

      if (!engine->in_step && has_work (engine) && engine->now_us < now_us)
        mq_engine_begin_step (engine);
      end_us = next_end_us (engine);
      if (end_us > now_us)
        break;
      complete_next (engine, end_us);
    }
  mq_engine_sample_load (engine, now_us);
  if (now_us > engine->now_us)
    engine->now_us = now_us;
}

void
mq_engine_advance (struct mq_engine *engine, uint64_t now_us)
{
  run_to (engine, now_us);
  if (!engine->in_step && has_work (engine))
    mq_engine_begin_step (engine);
}

uint64_t
mq_engine_next_us (const struct mq_engine *engine)
{
  if (!engine->in_step && has_work (engine))
    return engine->now_us;
  return next_end_us (engine);
}

/* Requests.  */

static uint32_t
allocate_sequence (struct mq_engine *engine)
{
  size_t first = engine->sequence_capacity;

  if (engine->unused.count == 0)
    {
      engine->sequence_capacity
          = first == 0 ? MQ_ENGINE_INITIAL_CAPACITY : 2 * first;
      engine->sequences = mq_engine_check_alloc (
          talloc_realloc (engine, engine->sequences, struct mq_engine_sequence,
                          engine->sequence_capacity));
      memset (engine->sequences + first, 0,
              (engine->sequence_capacity - first)
                  * sizeof engine->sequences[0]);
      for (size_t i = engine->sequence_capacity; i > first; i--)
        mq_engine_list_insert (engine, &engine->unused, engine->unused.count,
                               (uint32_t)(i - 1));
    }
  return engine->unused.items[engine->unused.count - 1];
}

static uint64_t
handle_of (const struct mq_engine *engine, uint32_t index)
{
  return (uint64_t)engine->sequences[index].generation << 32 | (index + 1);
}

static bool
find_sequence (const struct mq_engine *engine, uint64_t handle,
               uint32_t *index)
{
  uint32_t number = (uint32_t)handle;

  if (number == 0 || number > engine->sequence_capacity)
    return false;
  *index = number - 1;
  return engine->sequences[*index].state != MQ_ENGINE_SEQUENCE_FREE
         && engine->sequences[*index].generation == handle >> 32;
}

static bool
check_request (struct mq_engine *engine,
               const struct mq_engine_request *request, struct mq_error *error)
{
  enum mq_error_type type = MQ_ERR_NONE;

  if (request->prompt_tokens == 0 || request->output_tokens == 0)
    type = MQ_ERR_BAD_REQUEST;
  else if ((uint64_t)request->prompt_tokens + request->output_tokens
           > mq_kv_total_tokens (engine->kv))
    type = MQ_ERR_TOO_LARGE;
  else if (engine->waiting.count >= engine->params.queue_max)
    type = MQ_ERR_OVERLOADED;
  mq_error_set (error, type, "tokens", NULL);
  if (type != MQ_ERR_NONE)
    engine->counters.refused++;
  return type == MQ_ERR_NONE;
}

uint64_t
mq_engine_submit (struct mq_engine *engine, uint64_t now_us,
                  const struct mq_engine_request *request,
                  struct mq_error *error)
{
  struct mq_engine_sequence *sequence;
  uint32_t generation;
  uint32_t index;

  run_to (engine, now_us);
  if (!check_request (engine, request, error))
    return 0;
  index = allocate_sequence (engine);
  sequence = &engine->sequences[index];
  generation = sequence->generation;
  memset (sequence, 0, sizeof *sequence);
  sequence->generation = generation;
  sequence->order = ++engine->arrivals;
  sequence->request = *request;
  sequence->hashes = mq_engine_check_alloc (
      talloc_array (engine, uint64_t, request->hash_count + 1));
  if (request->hash_count > 0)
    memcpy (sequence->hashes, request->hashes,
            request->hash_count * sizeof request->hashes[0]);
  sequence->request.hashes = sequence->hashes;
  sequence->blocks = mq_engine_check_alloc (talloc_array (
      engine, uint32_t,
      mq_engine_blocks (request->prompt_tokens + request->output_tokens)));
  mq_engine_set_state (engine, index, MQ_ENGINE_SEQUENCE_WAITING);
  engine->counters.submitted++;
  return handle_of (engine, index);
}

bool
mq_engine_cancel (struct mq_engine *engine, uint64_t now_us, uint64_t sequence,
                  uint32_t *generated)
{
  uint32_t index;

  run_to (engine, now_us);
  if (!find_sequence (engine, sequence, &index))
    return false;
  *generated = engine->sequences[index].generated;
  engine->counters.cancelled++;
  mq_engine_end_sequence (engine, index);
  return true;
}

bool
mq_engine_pause (struct mq_engine *engine, uint64_t now_us, uint64_t sequence)
{
  uint32_t index;

  run_to (engine, now_us);
  if (!find_sequence (engine, sequence, &index))
    return false;
  engine->sequences[index].chunk = 0;
  mq_engine_set_state (engine, index, MQ_ENGINE_SEQUENCE_PAUSED);
  return true;
}

bool
mq_engine_resume (struct mq_engine *engine, uint64_t now_us, uint64_t sequence)
{
  uint32_t index;

  run_to (engine, now_us);
  if (!find_sequence (engine, sequence, &index)
      || engine->sequences[index].state != MQ_ENGINE_SEQUENCE_PAUSED)
    return false;
  mq_engine_set_state (engine, index, MQ_ENGINE_SEQUENCE_WAITING);
  return true;
}

static void
mark_dropped (struct mq_engine *engine, const struct mq_engine_list *list,
              struct mq_id program)
{
  for (size_t i = 0; i < list->count; i++)
    {
      struct mq_engine_sequence *sequence = &engine->sequences[list->items[i]];

      if (mq_id_equal (sequence->request.program, program))
        sequence->drop = true;
    }
}

uint32_t
mq_engine_evict (struct mq_engine *engine, uint64_t now_us,
                 struct mq_id program)
{
  uint32_t tokens;

  run_to (engine, now_us);
  mark_dropped (engine, &engine->running, program);
  mark_dropped (engine, &engine->waiting, program);
  mark_dropped (engine, &engine->paused, program);
  tokens = mq_kv_drop_program (engine->kv, program, engine->now_us);
  mq_engine_add_cache_event (engine, MQ_ENGINE_EVICTED, program, tokens);
  return tokens;
}

void
mq_engine_export (struct mq_engine *engine, uint64_t now_us, uint64_t tag,
                  struct mq_id program)
{
  struct mq_kv_label *labels;
  struct mq_engine_work *job;
  size_t count;

  run_to (engine, now_us);
  labels = mq_kv_program_labels (engine, engine->kv, program, &count);
  job = mq_engine_add_work (engine, MQ_ENGINE_EXPORTED,
                            mq_engine_queue_transfer (engine, count), tag);
  job->program = program;
  job->labels = labels;
  job->label_count = count;
}

void
mq_engine_import (struct mq_engine *engine, uint64_t now_us, uint64_t tag,
                  struct mq_id program, const struct mq_kv_label *labels,
                  size_t count)
{
  struct mq_engine_work *job;

  run_to (engine, now_us);
  job = mq_engine_add_work (engine, MQ_ENGINE_IMPORTED,
                            mq_engine_queue_transfer (engine, count), tag);
  job->program = program;
  job->labels = mq_engine_check_alloc (
      talloc_array (engine, struct mq_kv_label, count + 1));
  if (count > 0)
    memcpy (job->labels, labels, count * sizeof labels[0]);
  job->label_count = count;
}

bool
mq_engine_order (struct mq_engine *engine, uint64_t now_us, uint64_t tag,
                 uint64_t fence, enum mq_order_type type,
                 struct mq_error *error)
{
  struct mq_engine_work *job;

  run_to (engine, now_us);
  mq_error_set (error, MQ_ERR_NONE, NULL, NULL);
  if (engine->params.check_fence && fence < engine->fence)
    {
      engine->counters.orders_refused++;
      mq_error_set (error, MQ_ERR_STALE_FENCE, "fence", NULL);
      return false;
    }
  if (fence > engine->fence)
    engine->fence = fence;
  job = mq_engine_add_work (
      engine, MQ_ENGINE_ORDERED,
      mq_engine_queue_work (engine, &engine->order_free_us,
                            engine->params.order_us[type]),
      tag);
  job->order = type;
  return true;
}

/* Accessors.  */

struct mq_engine_load
mq_engine_reported_load (struct mq_engine *engine, uint64_t now_us)
{
  run_to (engine, now_us);
  return engine->reported;
}

const struct mq_kv *
mq_engine_kv (const struct mq_engine *engine)
{
  return engine->kv;
}

struct mq_engine_params *
mq_engine_params (struct mq_engine *engine)
{
  return &engine->params;
}

const struct mq_engine_counters *
mq_engine_read_counters (struct mq_engine *engine, uint64_t now_us)
{
  run_to (engine, now_us);
  mq_kv_account (engine->kv, engine->now_us);
  return &engine->counters;
}
