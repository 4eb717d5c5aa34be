/* engine_work.c - transfers and orders of the engine model.

   Needs: engine_state.h.  */

#include "engine_state.h"
#include <string.h>

struct mq_engine_work *
mq_engine_add_work (struct mq_engine *engine, enum mq_engine_event_type type,
                    uint64_t due_us, uint64_t tag)
{
  size_t at = engine->work_count;

  if (engine->work_count == engine->work_capacity)
    {
      engine->work_capacity = engine->work_capacity == 0
                                  ? MQ_ENGINE_INITIAL_CAPACITY
                                  : 2 * engine->work_capacity;
      engine->work = mq_engine_check_alloc (talloc_realloc (
          engine, engine->work, struct mq_engine_work, engine->work_capacity));
    }
  while (at > 0 && engine->work[at - 1].due_us > due_us)
    at--;
  memmove (engine->work + at + 1, engine->work + at,
           (engine->work_count - at) * sizeof engine->work[0]);
  engine->work_count++;
  memset (&engine->work[at], 0, sizeof engine->work[at]);
  engine->work[at].type = type;
  engine->work[at].due_us = due_us;
  engine->work[at].tag = tag;
  return &engine->work[at];
}

uint64_t
mq_engine_queue_work (struct mq_engine *engine, uint64_t *free_us, uint64_t us)
{
  uint64_t begin = *free_us > engine->now_us ? *free_us : engine->now_us;

  *free_us = begin + mq_engine_scale (engine, us);
  return *free_us;
}

uint64_t
mq_engine_queue_transfer (struct mq_engine *engine, size_t blocks)
{
  return mq_engine_queue_work (engine, &engine->transfer_free_us,
                               (uint64_t)blocks * MQ_KV_BLOCK_TOKENS
                                   * engine->params.transfer_us_per_token);
}

/* Returns a referenced block with LABEL; MQ_KV_NO_BLOCK if memory is
   exhausted.  */
static uint32_t
store_label (struct mq_engine *engine, struct mq_id program,
             const struct mq_kv_label *label, uint32_t *stored)
{
  uint32_t block = mq_kv_find (engine->kv, label->hash);

  if (block != MQ_KV_NO_BLOCK)
    {
      mq_kv_reference (engine->kv, block, program, engine->now_us);
      return block;
    }
  block = mq_kv_allocate (engine->kv, program, engine->now_us);
  if (block == MQ_KV_NO_BLOCK)
    return block;
  *stored += MQ_KV_BLOCK_TOKENS;
  return mq_kv_label (engine->kv, block, label, engine->now_us);
}

/* Stores the missing blocks until memory is exhausted; returns the number of
   stored tokens.  */
static uint32_t
store_labels (struct mq_engine *engine, const struct mq_engine_work *job)
{
  uint32_t *blocks = mq_engine_check_alloc (
      talloc_array (NULL, uint32_t, job->label_count + 1));
  size_t count = 0;
  uint32_t stored = 0;

  while (count < job->label_count)
    {
      blocks[count]
          = store_label (engine, job->program, &job->labels[count], &stored);
      if (blocks[count] == MQ_KV_NO_BLOCK)
        break;
      count++;
    }
  while (count > 0)
    mq_kv_release (engine->kv, blocks[--count], false, engine->now_us);
  talloc_free (blocks);
  mq_engine_add_cache_event (engine, MQ_ENGINE_STORED, job->program, stored);
  return stored;
}

static void
finish_job (struct mq_engine *engine, struct mq_engine_work *job)
{
  struct mq_engine_event *event
      = mq_engine_add_event (engine, job->type, engine->now_us, job->tag);

  switch (job->type)
    {
    case MQ_ENGINE_EXPORTED:
      event->labels = job->labels;
      event->label_count = job->label_count;
      event->transferred = (uint32_t)job->label_count * MQ_KV_BLOCK_TOKENS;
      break;
    case MQ_ENGINE_IMPORTED:
      event->transferred = store_labels (engine, job);
      talloc_free (job->labels);
      break;
    case MQ_ENGINE_ORDERED:
      if (job->order == MQ_ORDER_LOAD_MODEL)
        mq_kv_drop_unreferenced (engine->kv, engine->now_us);
      break;
    case MQ_ENGINE_TOKEN:
    case MQ_ENGINE_DONE:
    case MQ_ENGINE_PREEMPTED:
      break;
    }
}

void
mq_engine_finish_first_work (struct mq_engine *engine)
{
  struct mq_engine_work job = engine->work[0];

  engine->work_count--;
  memmove (engine->work, engine->work + 1,
           engine->work_count * sizeof engine->work[0]);
  finish_job (engine, &job);
}
