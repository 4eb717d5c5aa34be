/* engine_batch.c - sequences of the engine model: memory, admission,
   preemption and steps.

   Waiting and running sequences are sorted by priority, then arrival; the
   last running sequence is preempted first.
   Needs: engine_state.h.  */

#include "engine_state.h"
#include <string.h>

/* Index lists.  */

void
mq_engine_list_insert (struct mq_engine *engine, struct mq_engine_list *list,
                       size_t at, uint32_t item)
{
  if (list->count == list->capacity)
    {
      list->capacity = list->capacity == 0 ? MQ_ENGINE_INITIAL_CAPACITY
                                           : 2 * list->capacity;
      list->items = mq_engine_check_alloc (
          talloc_realloc (engine, list->items, uint32_t, list->capacity));
    }
  memmove (list->items + at + 1, list->items + at,
           (list->count - at) * sizeof list->items[0]);
  list->items[at] = item;
  list->count++;
}

static void
list_remove (struct mq_engine_list *list, uint32_t item)
{
  for (size_t i = 0; i < list->count; i++)
    if (list->items[i] == item)
      {
        list->count--;
        memmove (list->items + i, list->items + i + 1,
                 (list->count - i) * sizeof list->items[0]);
        return;
      }
}

static bool
precedes (const struct mq_engine_sequence *a,
          const struct mq_engine_sequence *b)
{
  if (a->request.priority != b->request.priority)
    return a->request.priority < b->request.priority;
  return a->order < b->order;
}

static void
list_insert_ordered (struct mq_engine *engine, struct mq_engine_list *list,
                     uint32_t item)
{
  const struct mq_engine_sequence *all = engine->sequences;
  size_t at = list->count;

  while (at > 0 && precedes (&all[item], &all[list->items[at - 1]]))
    at--;
  mq_engine_list_insert (engine, list, at, item);
}

static struct mq_engine_list *
list_for_state (struct mq_engine *engine, enum mq_engine_sequence_state state)
{
  switch (state)
    {
    case MQ_ENGINE_SEQUENCE_FREE:
      return &engine->unused;
    case MQ_ENGINE_SEQUENCE_WAITING:
      return &engine->waiting;
    case MQ_ENGINE_SEQUENCE_RUNNING:
      return &engine->running;
    case MQ_ENGINE_SEQUENCE_PAUSED:
      return &engine->paused;
    }
  abort ();
}

void
mq_engine_set_state (struct mq_engine *engine, uint32_t index,
                     enum mq_engine_sequence_state state)
{
  struct mq_engine_sequence *sequence = &engine->sequences[index];

  list_remove (list_for_state (engine, sequence->state), index);
  sequence->state = state;
  if (state == MQ_ENGINE_SEQUENCE_FREE)
    mq_engine_list_insert (engine, &engine->unused, engine->unused.count,
                           index);
  else
    list_insert_ordered (engine, list_for_state (engine, state), index);
}

/* Memory of a sequence.  */

static uint32_t
context_tokens (const struct mq_engine_sequence *sequence)
{
  return sequence->request.prompt_tokens + sequence->generated;
}

/* Releases the last block first, so that the beginning, which is shared most,
   is evicted last.  */
static void
release_blocks (struct mq_engine *engine, struct mq_engine_sequence *sequence)
{
  while (sequence->block_count > 0)
    {
      uint32_t block = sequence->blocks[--sequence->block_count];
      bool own = mq_id_equal (mq_kv_owner (engine->kv, block),
                              sequence->request.program);

      mq_kv_release (engine->kv, block, sequence->drop && own, engine->now_us);
    }
  sequence->labelled = 0;
  sequence->computed = 0;
  sequence->chunk = 0;
  sequence->decoding = false;
}

static void
add_sequence_event (struct mq_engine *engine, enum mq_engine_event_type type,
                    uint64_t at_us, const struct mq_engine_sequence *sequence)
{
  struct mq_engine_event *event
      = mq_engine_add_event (engine, type, at_us, sequence->request.tag);

  event->generated = sequence->generated;
  event->cached_tokens = sequence->cached_tokens;
  event->start_us = sequence->start_us;
}

static void
preempt (struct mq_engine *engine, uint32_t index)
{
  struct mq_engine_sequence *sequence = &engine->sequences[index];

  engine->counters.preempted++;
  add_sequence_event (engine, MQ_ENGINE_PREEMPTED, engine->now_us, sequence);
  release_blocks (engine, sequence);
  if (sequence->state == MQ_ENGINE_SEQUENCE_RUNNING)
    mq_engine_set_state (engine, index, MQ_ENGINE_SEQUENCE_WAITING);
}

#define NO_SEQUENCE UINT32_MAX

static uint32_t
find_holder (const struct mq_engine *engine, const struct mq_engine_list *list)
{
  for (size_t i = list->count; i > 0; i--)
    if (engine->sequences[list->items[i - 1]].block_count > 0)
      return list->items[i - 1];
  return NO_SEQUENCE;
}

/* Finds a sequence that holds memory but is not running: paused, or resumed
   and waiting for a slot.  Returns NO_SEQUENCE if there is none.  */
static uint32_t
find_inactive (const struct mq_engine *engine)
{
  uint32_t inactive = find_holder (engine, &engine->paused);

  return inactive != NO_SEQUENCE ? inactive
                                 : find_holder (engine, &engine->waiting);
}

/* Returns the last running sequence if its priority is lower than that of
   SEQUENCE, else NO_SEQUENCE.  */
static uint32_t
find_lower (const struct mq_engine *engine,
            const struct mq_engine_sequence *sequence)
{
  uint32_t last;

  if (engine->running.count == 0)
    return NO_SEQUENCE;
  last = engine->running.items[engine->running.count - 1];
  if (engine->sequences[last].request.priority > sequence->request.priority)
    return last;
  return NO_SEQUENCE;
}

/* Counts the leading blocks of SEQUENCE that are cached, excluding the last
   token, which must be computed to generate the next one.  */
static uint32_t
count_hits (const struct mq_engine *engine,
            const struct mq_engine_sequence *sequence, uint32_t *idle)
{
  uint32_t most = (context_tokens (sequence) - 1) / MQ_KV_BLOCK_TOKENS;
  uint32_t hits = 0;

  *idle = 0;
  while (hits < most && hits < sequence->request.hash_count)
    {
      uint32_t block = mq_kv_find (engine->kv, sequence->hashes[hits]);

      if (block == MQ_KV_NO_BLOCK)
        break;
      if (mq_kv_is_idle (engine->kv, block))
        (*idle)++;
      hits++;
    }
  return hits;
}

static bool
fits (const struct mq_engine *engine,
      const struct mq_engine_sequence *sequence)
{
  uint32_t idle_hits;
  uint32_t hits = count_hits (engine, sequence, &idle_hits);
  uint32_t need = mq_engine_blocks (context_tokens (sequence)) - hits;
  uint32_t spare = engine->running.count == 0
                       ? 0
                       : mq_kv_total_tokens (engine->kv) / MQ_KV_BLOCK_TOKENS
                             * engine->params.watermark_percent / 100;

  return mq_kv_available (engine->kv) - idle_hits >= need + spare;
}

static void
reference_hits (struct mq_engine *engine, struct mq_engine_sequence *sequence)
{
  uint32_t idle;
  uint32_t hits = count_hits (engine, sequence, &idle);

  for (uint32_t i = 0; i < hits; i++)
    {
      uint32_t block = mq_kv_find (engine->kv, sequence->hashes[i]);

      mq_kv_reference (engine->kv, block, sequence->request.program,
                       engine->now_us);
      sequence->blocks[i] = block;
    }
  sequence->block_count = hits;
  sequence->labelled = hits;
  sequence->computed = hits * MQ_KV_BLOCK_TOKENS;
}

/* Allocates memory for the whole context; false if memory is exhausted.  */
static bool
grow (struct mq_engine *engine, struct mq_engine_sequence *sequence)
{
  uint32_t need = mq_engine_blocks (context_tokens (sequence));

  while (sequence->block_count < need)
    {
      uint32_t block = mq_kv_allocate (engine->kv, sequence->request.program,
                                       engine->now_us);

      if (block == MQ_KV_NO_BLOCK)
        return false;
      sequence->blocks[sequence->block_count++] = block;
    }
  return true;
}

static void
label_block (struct mq_engine *engine, struct mq_engine_sequence *sequence,
             uint32_t i)
{
  struct mq_kv_label label;

  label.hash = sequence->hashes[i];
  label.parent = i == 0 ? 0 : sequence->hashes[i - 1];
  label.depth = i;
  label.service
      = (i + 1) * MQ_KV_BLOCK_TOKENS <= sequence->request.shared_tokens;
  sequence->blocks[i]
      = mq_kv_label (engine->kv, sequence->blocks[i], &label, engine->now_us);
}

/* Publishes completely computed blocks for reuse by other sequences.  */
static void
label_computed (struct mq_engine *engine, struct mq_engine_sequence *sequence)
{
  uint32_t first = sequence->labelled;
  struct mq_id none = { 0, 0 };
  uint32_t service = 0;

  while (sequence->labelled < sequence->request.hash_count
         && (sequence->labelled + 1) * MQ_KV_BLOCK_TOKENS
                <= sequence->computed)
    {
      label_block (engine, sequence, sequence->labelled);
      if (mq_id_is_zero (
              mq_kv_owner (engine->kv, sequence->blocks[sequence->labelled])))
        service += MQ_KV_BLOCK_TOKENS;
      sequence->labelled++;
    }
  mq_engine_add_cache_event (engine, MQ_ENGINE_STORED, none, service);
  mq_engine_add_cache_event (
      engine, MQ_ENGINE_STORED, sequence->request.program,
      (sequence->labelled - first) * MQ_KV_BLOCK_TOKENS - service);
}

/* Admission.  */

static void
start_sequence (struct mq_engine *engine, uint32_t index)
{
  struct mq_engine_sequence *sequence = &engine->sequences[index];

  if (sequence->block_count == 0)
    {
      reference_hits (engine, sequence);
      if (!grow (engine, sequence))
        abort (); /* fits () guarantees the memory */
    }
  mq_engine_set_state (engine, index, MQ_ENGINE_SEQUENCE_RUNNING);
  if (sequence->ran)
    return;
  sequence->ran = true;
  sequence->start_us = engine->now_us;
  sequence->cached_tokens = sequence->computed;
  engine->counters.prompt_tokens += sequence->request.prompt_tokens;
  engine->counters.cached_tokens += sequence->cached_tokens;
}

/* Makes room for a waiting sequence by preempting inactive sequences and those
   of lower priority; false if that is not enough.  */
static bool
make_room (struct mq_engine *engine, uint32_t index)
{
  for (;;)
    {
      const struct mq_engine_sequence *sequence = &engine->sequences[index];
      uint32_t victim = NO_SEQUENCE;

      if (engine->running.count < engine->params.slots)
        {
          if (sequence->block_count > 0 || fits (engine, sequence))
            return true;
          victim = find_inactive (engine);
        }
      if (victim == NO_SEQUENCE)
        victim = find_lower (engine, sequence);
      if (victim == NO_SEQUENCE)
        return false;
      preempt (engine, victim);
    }
}

static void
admit (struct mq_engine *engine)
{
  while (engine->waiting.count > 0)
    {
      uint32_t index = engine->waiting.items[0];

      if (!make_room (engine, index))
        return;
      start_sequence (engine, index);
    }
}

/* Allocates the memory for the next token of each running sequence, in order
   of priority.  If memory is exhausted, preempts the last one.  */
static void
grow_running (struct mq_engine *engine)
{
  for (size_t i = 0; i < engine->running.count;)
    {
      uint32_t index = engine->running.items[i];

      uint32_t inactive;

      if (grow (engine, &engine->sequences[index]))
        {
          i++;
          continue;
        }
      inactive = find_inactive (engine);
      preempt (engine, inactive != NO_SEQUENCE
                           ? inactive
                           : engine->running.items[engine->running.count - 1]);
    }
}

/* Steps.  */

static uint32_t
plan_chunks (struct mq_engine *engine, uint32_t *prefill)
{
  uint32_t batch = 0;

  *prefill = 0;
  for (size_t i = 0; i < engine->running.count; i++)
    {
      struct mq_engine_sequence *sequence
          = &engine->sequences[engine->running.items[i]];
      uint32_t left = context_tokens (sequence) - sequence->computed;
      uint32_t budget = engine->params.prefill_cap - *prefill;

      sequence->chunk = left < budget || sequence->decoding ? left : budget;
      if (!sequence->decoding)
        *prefill += sequence->chunk;
      if (sequence->chunk > 0)
        batch++;
    }
  return batch;
}

void
mq_engine_begin_step (struct mq_engine *engine)
{
  uint32_t prefill;
  uint32_t batch;
  uint64_t us;

  admit (engine);
  grow_running (engine);
  batch = plan_chunks (engine, &prefill);
  if (batch == 0)
    return;
  us = mq_engine_scale (
      engine, engine->params.base_us
                  + (uint64_t)engine->params.per_sequence_us * batch
                  + (uint64_t)engine->params.prefill_us_per_token * prefill);
  us = us == 0 ? 1 : us;
  engine->in_step = true;
  engine->step_end_us = engine->now_us + us;
  engine->counters.steps++;
  engine->counters.busy_us += us;
  engine->counters.prefill_tokens += prefill;
}

void
mq_engine_end_sequence (struct mq_engine *engine, uint32_t index)
{
  struct mq_engine_sequence *sequence = &engine->sequences[index];

  release_blocks (engine, sequence);
  TALLOC_FREE (sequence->hashes);
  TALLOC_FREE (sequence->blocks);
  sequence->generation++;
  mq_engine_set_state (engine, index, MQ_ENGINE_SEQUENCE_FREE);
}

/* Returns true if the sequence has ended.  */
static bool
finish_chunk (struct mq_engine *engine, uint32_t index)
{
  struct mq_engine_sequence *sequence = &engine->sequences[index];

  if (sequence->chunk == 0)
    return false;
  sequence->computed += sequence->chunk;
  sequence->chunk = 0;
  label_computed (engine, sequence);
  if (sequence->computed < context_tokens (sequence))
    return false;
  sequence->decoding = true;
  sequence->generated++;
  engine->counters.generated_tokens++;
  add_sequence_event (engine, MQ_ENGINE_TOKEN, engine->now_us, sequence);
  if (sequence->generated < sequence->request.output_tokens)
    return false;
  engine->counters.finished++;
  add_sequence_event (engine, MQ_ENGINE_DONE, engine->now_us, sequence);
  mq_engine_end_sequence (engine, index);
  return true;
}

void
mq_engine_finish_step (struct mq_engine *engine)
{
  engine->in_step = false;
  for (size_t i = 0; i < engine->running.count;)
    if (!finish_chunk (engine, engine->running.items[i]))
      i++;
}
