/* engine_model.c - performance model of a model engine in virtual time.

   Sequences are handles into one table.  Waiting and running ones stand in
   arrays in order of priority, then arrival; the last running one is the
   first to lose its memory.
   Needs: engine_model.h, xxhash.  */

#include "engine_model.h"
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  TOKEN_BYTES = 4,
  CACHE_EVENTS_KEPT = 4096,
  FIRST_ROOM = 16
};

enum sequence_state
{
  SEQUENCE_FREE,
  SEQUENCE_WAITING,
  SEQUENCE_RUNNING,
  SEQUENCE_PAUSED
};

/**
 * struct sequence - one request under way
 * @generation: tells apart the sequences that used this place
 * @order: rank of its arrival
 * @blocks: memory that it holds
 * @labelled: how many of @blocks were computed whole
 * @computed: tokens whose keys and values are in @blocks
 * @chunk: tokens that the step in progress computes for it
 * @decoding: all tokens but the last are computed
 * @drop: its program was evicted; keep nothing of it
 * @ran: it was admitted before
 */
struct sequence
{
  enum sequence_state state;
  uint32_t generation;
  uint64_t order;
  struct mq_engine_request request;
  uint64_t *hashes;
  uint32_t *blocks;
  uint32_t block_count;
  uint32_t labelled;
  uint32_t computed;
  uint32_t chunk;
  uint32_t generated;
  uint32_t cached_tokens;
  uint64_t start_us;
  bool decoding;
  bool drop;
  bool ran;
};

struct job
{
  enum mq_engine_event_type type;
  uint64_t due_us;
  uint64_t tag;
  struct mq_id program;
  enum mq_order_type order;
  struct mq_kv_label *labels; /* talloc child of the engine */
  size_t label_count;
};

struct index_list
{
  uint32_t *items;
  size_t count;
  size_t room;
};

struct mq_engine
{
  struct mq_engine_params params;
  struct mq_kv *kv;
  uint64_t now_us;
  struct sequence *sequences;
  size_t sequence_room;
  struct index_list unused;
  struct index_list waiting;
  struct index_list running;
  struct index_list paused;
  uint64_t arrivals;
  bool in_step;
  uint64_t step_end_us;
  struct job *jobs; /* in order of due time */
  size_t job_count;
  size_t job_room;
  uint64_t transfer_free_us;
  uint64_t order_free_us;
  uint64_t fence;
  struct mq_engine_event *events; /* [event_first, event_count) */
  size_t event_first;
  size_t event_count;
  size_t event_room;
  struct mq_kv_label *given_labels;           /* of the event taken last */
  struct mq_engine_cache_event *cache_events; /* ring */
  uint64_t cache_event_first;                 /* position, not number */
  uint64_t cache_event_count;
  uint64_t cache_event_number;
  uint64_t random;
  struct mq_engine_load reported;
  struct mq_engine_load sampled;
  uint64_t next_sample_us;
  struct mq_engine_counters counters;
};

static void *
must_alloc (void *memory)
{
  if (memory == NULL)
    abort ();
  return memory;
}

static uint64_t
scale_us (const struct mq_engine *engine, uint64_t us)
{
  return (uint64_t)((double)us * engine->params.time_scale + 0.5);
}

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

/* Index lists.  */

static void
list_insert (struct mq_engine *engine, struct index_list *list, size_t at,
             uint32_t item)
{
  if (list->count == list->room)
    {
      list->room = list->room == 0 ? FIRST_ROOM : 2 * list->room;
      list->items = must_alloc (
          talloc_realloc (engine, list->items, uint32_t, list->room));
    }
  memmove (list->items + at + 1, list->items + at,
           (list->count - at) * sizeof list->items[0]);
  list->items[at] = item;
  list->count++;
}

static void
list_remove (struct index_list *list, uint32_t item)
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
goes_before (const struct sequence *a, const struct sequence *b)
{
  if (a->request.priority != b->request.priority)
    return a->request.priority < b->request.priority;
  return a->order < b->order;
}

static void
list_insert_ordered (struct mq_engine *engine, struct index_list *list,
                     uint32_t item)
{
  const struct sequence *all = engine->sequences;
  size_t at = list->count;

  while (at > 0 && goes_before (&all[item], &all[list->items[at - 1]]))
    at--;
  list_insert (engine, list, at, item);
}

static struct index_list *
list_of (struct mq_engine *engine, enum sequence_state state)
{
  switch (state)
    {
    case SEQUENCE_FREE:
      return &engine->unused;
    case SEQUENCE_WAITING:
      return &engine->waiting;
    case SEQUENCE_RUNNING:
      return &engine->running;
    case SEQUENCE_PAUSED:
      return &engine->paused;
    }
  abort ();
}

static void
set_state (struct mq_engine *engine, uint32_t index, enum sequence_state state)
{
  struct sequence *sequence = &engine->sequences[index];

  list_remove (list_of (engine, sequence->state), index);
  sequence->state = state;
  if (state == SEQUENCE_FREE)
    list_insert (engine, &engine->unused, engine->unused.count, index);
  else
    list_insert_ordered (engine, list_of (engine, state), index);
}

/* Events.  */

static struct mq_engine_event *
add_event (struct mq_engine *engine, enum mq_engine_event_type type,
           uint64_t at_us, uint64_t tag)
{
  struct mq_engine_event *event;

  if (engine->event_count == engine->event_room)
    {
      engine->event_room
          = engine->event_room == 0 ? FIRST_ROOM : 2 * engine->event_room;
      engine->events = must_alloc (talloc_realloc (
          engine, engine->events, struct mq_engine_event, engine->event_room));
    }
  event = &engine->events[engine->event_count++];
  memset (event, 0, sizeof *event);
  event->type = type;
  event->at_us = at_us;
  event->tag = tag;
  return event;
}

static void
add_sequence_event (struct mq_engine *engine, enum mq_engine_event_type type,
                    uint64_t at_us, const struct sequence *sequence)
{
  struct mq_engine_event *event
      = add_event (engine, type, at_us, sequence->request.tag);

  event->generated = sequence->generated;
  event->cached_tokens = sequence->cached_tokens;
  event->start_us = sequence->start_us;
}

bool
mq_engine_next_event (struct mq_engine *engine, struct mq_engine_event *event)
{
  TALLOC_FREE (engine->given_labels);
  if (engine->event_first == engine->event_count)
    {
      engine->event_first = 0;
      engine->event_count = 0;
      return false;
    }
  *event = engine->events[engine->event_first++];
  if (event->labels != NULL)
    engine->given_labels = event->labels;
  return true;
}

/* Cache events.  */

static bool
merge_cache_event (struct mq_engine *engine,
                   const struct mq_engine_cache_event *event)
{
  struct mq_engine_cache_event *last;

  if (engine->cache_event_count == engine->cache_event_first)
    return false;
  last = &engine->cache_events[(engine->cache_event_count - 1)
                               % CACHE_EVENTS_KEPT];
  if (last->number != engine->cache_event_number || last->type != event->type
      || last->visible_us != event->visible_us
      || !mq_id_equal (last->program, event->program))
    return false;
  last->tokens += event->tokens;
  return true;
}

static void
add_cache_event (struct mq_engine *engine,
                 enum mq_engine_cache_event_type type, struct mq_id program,
                 uint32_t tokens)
{
  struct mq_engine_cache_event event = { 0 };

  event.visible_us
      = engine->now_us + scale_us (engine, engine->params.event_lag_us);
  event.type = type;
  event.program = program;
  event.tokens = tokens;
  if (tokens == 0 || merge_cache_event (engine, &event))
    return;
  event.number = ++engine->cache_event_number;
  engine->counters.cache_events++;
  if (mq_random_below (&engine->random, 1000)
      < engine->params.event_gap_permille)
    {
      engine->counters.cache_events_lost++;
      return;
    }
  engine->cache_events[engine->cache_event_count++ % CACHE_EVENTS_KEPT]
      = event;
  if (engine->cache_event_count - engine->cache_event_first
      > CACHE_EVENTS_KEPT)
    engine->cache_event_first++;
}

size_t
mq_engine_cache_events (const struct mq_engine *engine, uint64_t now_us,
                        uint64_t after, struct mq_engine_cache_event *events,
                        size_t max)
{
  size_t count = 0;

  for (uint64_t i = engine->cache_event_first;
       i < engine->cache_event_count && count < max; i++)
    {
      const struct mq_engine_cache_event *event
          = &engine->cache_events[i % CACHE_EVENTS_KEPT];

      if (event->number > after && event->visible_us <= now_us)
        events[count++] = *event;
    }
  return count;
}

static void
on_evicted (struct mq_id program, uint32_t tokens, void *user)
{
  add_cache_event (user, MQ_ENGINE_EVICTED, program, tokens);
}

/* Load reports.  */

struct mq_engine_load
mq_engine_load (const struct mq_engine *engine)
{
  struct mq_engine_load load;

  load.running = (uint32_t)engine->running.count;
  load.queued = (uint32_t)engine->waiting.count;
  load.cache_used = mq_kv_used_tokens (engine->kv);
  load.cache_total = mq_kv_total_tokens (engine->kv);
  return load;
}

static void
sample_load (struct mq_engine *engine, uint64_t now_us)
{
  uint64_t lag = scale_us (engine, engine->params.load_lag_us);

  if (lag == 0)
    {
      engine->reported = mq_engine_load (engine);
      return;
    }
  /* Nothing changed for a whole lag.  */
  if (engine->now_us + lag <= now_us)
    engine->sampled = mq_engine_load (engine);
  else if (now_us < engine->next_sample_us)
    return;
  engine->reported = engine->sampled;
  engine->sampled = mq_engine_load (engine);
  engine->next_sample_us = now_us + lag;
}

/* Creation.  */

struct mq_engine *
mq_engine_create (TALLOC_CTX *ctx, const struct mq_engine_params *params)
{
  struct mq_engine *engine = must_alloc (talloc_zero (ctx, struct mq_engine));

  engine->params = *params;
  engine->random = params->seed;
  engine->kv = mq_kv_create (engine, params->cache_tokens / MQ_KV_BLOCK_TOKENS,
                             on_evicted, engine);
  engine->cache_events = must_alloc (talloc_zero_array (
      engine, struct mq_engine_cache_event, CACHE_EVENTS_KEPT));
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
  hashes = must_alloc (talloc_array (ctx, uint64_t, *count + 1));
  for (size_t i = 0; i < *count; i++)
    {
      hash = XXH64 (text + i * block, block, hash);
      /* 0 stands for "no block before this one".  */
      hash = hash == 0 ? 1 : hash;
      hashes[i] = hash;
    }
  return hashes;
}

/* Memory of a sequence.  */

static uint32_t
blocks_for (uint32_t tokens)
{
  return (tokens + MQ_KV_BLOCK_TOKENS - 1) / MQ_KV_BLOCK_TOKENS;
}

/* Tokens whose keys and values the next token depends on.  */
static uint32_t
context_tokens (const struct sequence *sequence)
{
  return sequence->request.prompt_tokens + sequence->generated;
}

/* The last block goes first, so that the begin, which more sequences can
   share, is evicted last.  */
static void
release_blocks (struct mq_engine *engine, struct sequence *sequence)
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
preempt (struct mq_engine *engine, uint32_t index)
{
  struct sequence *sequence = &engine->sequences[index];

  engine->counters.preempted++;
  add_sequence_event (engine, MQ_ENGINE_PREEMPTED, engine->now_us, sequence);
  release_blocks (engine, sequence);
  if (sequence->state == SEQUENCE_RUNNING)
    set_state (engine, index, SEQUENCE_WAITING);
}

#define NO_SEQUENCE UINT32_MAX

static uint32_t
find_holder (const struct mq_engine *engine, const struct index_list *list)
{
  for (size_t i = list->count; i > 0; i--)
    if (engine->sequences[list->items[i - 1]].block_count > 0)
      return list->items[i - 1];
  return NO_SEQUENCE;
}

/* A sequence that holds memory and does not run: paused, or resumed and
   waiting for a slot.  NO_SEQUENCE when there is none.  */
static uint32_t
find_parked (const struct mq_engine *engine)
{
  uint32_t parked = find_holder (engine, &engine->paused);

  return parked != NO_SEQUENCE ? parked
                               : find_holder (engine, &engine->waiting);
}

/* The lowest running sequence where it is of a lower class than SEQUENCE, else
   NO_SEQUENCE.  */
static uint32_t
find_lower (const struct mq_engine *engine, const struct sequence *sequence)
{
  uint32_t last;

  if (engine->running.count == 0)
    return NO_SEQUENCE;
  last = engine->running.items[engine->running.count - 1];
  if (engine->sequences[last].request.priority > sequence->request.priority)
    return last;
  return NO_SEQUENCE;
}

/* Blocks of SEQUENCE that are in the cache.  The last token is always
   computed, as the next one comes of it.  */
static uint32_t
count_hits (const struct mq_engine *engine, const struct sequence *sequence,
            uint32_t *idle)
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
fits (const struct mq_engine *engine, const struct sequence *sequence)
{
  uint32_t idle_hits;
  uint32_t hits = count_hits (engine, sequence, &idle_hits);
  uint32_t need = blocks_for (context_tokens (sequence)) - hits;
  uint32_t spare = engine->running.count == 0
                       ? 0
                       : mq_kv_total_tokens (engine->kv) / MQ_KV_BLOCK_TOKENS
                             * engine->params.watermark_percent / 100;

  return mq_kv_available (engine->kv) - idle_hits >= need + spare;
}

static void
hold_hits (struct mq_engine *engine, struct sequence *sequence)
{
  uint32_t idle;
  uint32_t hits = count_hits (engine, sequence, &idle);

  for (uint32_t i = 0; i < hits; i++)
    {
      uint32_t block = mq_kv_find (engine->kv, sequence->hashes[i]);

      mq_kv_hold (engine->kv, block, sequence->request.program,
                  engine->now_us);
      sequence->blocks[i] = block;
    }
  sequence->block_count = hits;
  sequence->labelled = hits;
  sequence->computed = hits * MQ_KV_BLOCK_TOKENS;
}

/* Takes memory for the whole context; false when it ran out.  */
static bool
grow (struct mq_engine *engine, struct sequence *sequence)
{
  uint32_t need = blocks_for (context_tokens (sequence));

  while (sequence->block_count < need)
    {
      uint32_t block
          = mq_kv_take (engine->kv, sequence->request.program, engine->now_us);

      if (block == MQ_KV_NO_BLOCK)
        return false;
      sequence->blocks[sequence->block_count++] = block;
    }
  return true;
}

static void
label_block (struct mq_engine *engine, struct sequence *sequence, uint32_t i)
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

/* Lets other sequences find what is computed whole.  */
static void
label_computed (struct mq_engine *engine, struct sequence *sequence)
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
  add_cache_event (engine, MQ_ENGINE_STORED, none, service);
  add_cache_event (engine, MQ_ENGINE_STORED, sequence->request.program,
                   (sequence->labelled - first) * MQ_KV_BLOCK_TOKENS
                       - service);
}

/* Admission.  */

static void
start_sequence (struct mq_engine *engine, uint32_t index)
{
  struct sequence *sequence = &engine->sequences[index];

  if (sequence->block_count == 0)
    {
      hold_hits (engine, sequence);
      if (!grow (engine, sequence))
        abort (); /* fits () said otherwise */
    }
  set_state (engine, index, SEQUENCE_RUNNING);
  if (sequence->ran)
    return;
  sequence->ran = true;
  sequence->start_us = engine->now_us;
  sequence->cached_tokens = sequence->computed;
  engine->counters.prompt_tokens += sequence->request.prompt_tokens;
  engine->counters.cached_tokens += sequence->cached_tokens;
}

/* Makes room for a waiting sequence at the cost of parked ones and lower
   classes; false when there is none to be had.  */
static bool
make_room (struct mq_engine *engine, uint32_t index)
{
  for (;;)
    {
      const struct sequence *sequence = &engine->sequences[index];
      uint32_t victim = NO_SEQUENCE;

      if (engine->running.count < engine->params.slots)
        {
          if (sequence->block_count > 0 || fits (engine, sequence))
            return true;
          victim = find_parked (engine);
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

/* Gives each running sequence the memory for its next token.  The highest
   class is served first; where memory is out the lowest loses its own.  */
static void
grow_running (struct mq_engine *engine)
{
  for (size_t i = 0; i < engine->running.count;)
    {
      uint32_t index = engine->running.items[i];

      uint32_t parked;

      if (grow (engine, &engine->sequences[index]))
        {
          i++;
          continue;
        }
      parked = find_parked (engine);
      preempt (engine, parked != NO_SEQUENCE
                           ? parked
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
      struct sequence *sequence = &engine->sequences[engine->running.items[i]];
      uint32_t left = context_tokens (sequence) - sequence->computed;
      uint32_t room = engine->params.prefill_cap - *prefill;

      sequence->chunk = left < room || sequence->decoding ? left : room;
      if (!sequence->decoding)
        *prefill += sequence->chunk;
      if (sequence->chunk > 0)
        batch++;
    }
  return batch;
}

static void
begin_step (struct mq_engine *engine)
{
  uint32_t prefill;
  uint32_t batch;
  uint64_t us;

  admit (engine);
  grow_running (engine);
  batch = plan_chunks (engine, &prefill);
  if (batch == 0)
    return;
  us = scale_us (engine, engine->params.base_us
                             + (uint64_t)engine->params.per_sequence_us * batch
                             + (uint64_t)engine->params.prefill_us_per_token
                                   * prefill);
  us = us == 0 ? 1 : us;
  engine->in_step = true;
  engine->step_end_us = engine->now_us + us;
  engine->counters.steps++;
  engine->counters.busy_us += us;
  engine->counters.prefill_tokens += prefill;
}

static void
end_sequence (struct mq_engine *engine, uint32_t index)
{
  struct sequence *sequence = &engine->sequences[index];

  release_blocks (engine, sequence);
  TALLOC_FREE (sequence->hashes);
  TALLOC_FREE (sequence->blocks);
  sequence->generation++;
  set_state (engine, index, SEQUENCE_FREE);
}

/* True when the sequence ended.  */
static bool
finish_chunk (struct mq_engine *engine, uint32_t index)
{
  struct sequence *sequence = &engine->sequences[index];

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
  end_sequence (engine, index);
  return true;
}

static void
finish_step (struct mq_engine *engine)
{
  engine->in_step = false;
  for (size_t i = 0; i < engine->running.count;)
    if (!finish_chunk (engine, engine->running.items[i]))
      i++;
}

/* Jobs.  */

static struct job *
add_job (struct mq_engine *engine, enum mq_engine_event_type type,
         uint64_t due_us, uint64_t tag)
{
  size_t at = engine->job_count;

  if (engine->job_count == engine->job_room)
    {
      engine->job_room
          = engine->job_room == 0 ? FIRST_ROOM : 2 * engine->job_room;
      engine->jobs = must_alloc (
          talloc_realloc (engine, engine->jobs, struct job, engine->job_room));
    }
  while (at > 0 && engine->jobs[at - 1].due_us > due_us)
    at--;
  memmove (engine->jobs + at + 1, engine->jobs + at,
           (engine->job_count - at) * sizeof engine->jobs[0]);
  engine->job_count++;
  memset (&engine->jobs[at], 0, sizeof engine->jobs[at]);
  engine->jobs[at].type = type;
  engine->jobs[at].due_us = due_us;
  engine->jobs[at].tag = tag;
  return &engine->jobs[at];
}

/* End of a piece of work of US that begins when *FREE_US lets it.  */
static uint64_t
queue_work (struct mq_engine *engine, uint64_t *free_us, uint64_t us)
{
  uint64_t begin = *free_us > engine->now_us ? *free_us : engine->now_us;

  *free_us = begin + scale_us (engine, us);
  return *free_us;
}

static uint64_t
queue_transfer (struct mq_engine *engine, size_t blocks)
{
  return queue_work (engine, &engine->transfer_free_us,
                     (uint64_t)blocks * MQ_KV_BLOCK_TOKENS
                         * engine->params.transfer_us_per_token);
}

/* Block with LABEL, referenced; MQ_KV_NO_BLOCK when memory is out.  */
static uint32_t
store_label (struct mq_engine *engine, struct mq_id program,
             const struct mq_kv_label *label, uint32_t *stored)
{
  uint32_t block = mq_kv_find (engine->kv, label->hash);

  if (block != MQ_KV_NO_BLOCK)
    {
      mq_kv_hold (engine->kv, block, program, engine->now_us);
      return block;
    }
  block = mq_kv_take (engine->kv, program, engine->now_us);
  if (block == MQ_KV_NO_BLOCK)
    return block;
  *stored += MQ_KV_BLOCK_TOKENS;
  return mq_kv_label (engine->kv, block, label, engine->now_us);
}

/* Stores what is not yet there, as far as memory goes that no sequence
   uses; how many tokens.  */
static uint32_t
store_labels (struct mq_engine *engine, const struct job *job)
{
  uint32_t *blocks
      = must_alloc (talloc_array (NULL, uint32_t, job->label_count + 1));
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
  add_cache_event (engine, MQ_ENGINE_STORED, job->program, stored);
  return stored;
}

static void
finish_job (struct mq_engine *engine, struct job *job)
{
  struct mq_engine_event *event
      = add_event (engine, job->type, engine->now_us, job->tag);

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

static void
finish_first_job (struct mq_engine *engine)
{
  struct job job = engine->jobs[0];

  engine->job_count--;
  memmove (engine->jobs, engine->jobs + 1,
           engine->job_count * sizeof engine->jobs[0]);
  finish_job (engine, &job);
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
      = engine->job_count > 0 ? engine->jobs[0].due_us : MQ_ENGINE_NEVER;
  uint64_t step = engine->in_step ? engine->step_end_us : MQ_ENGINE_NEVER;

  return job < step ? job : step;
}

/* Moves on to the end of the step or job that is next.  */
static void
move_on (struct mq_engine *engine, uint64_t at_us)
{
  sample_load (engine, at_us);
  if (at_us > engine->now_us)
    engine->now_us = at_us;
  if (engine->job_count > 0 && engine->jobs[0].due_us <= at_us)
    finish_first_job (engine);
  else
    finish_step (engine);
}

/* Everything that ends up to NOW_US.  A step that would begin at NOW_US is
   left to mq_engine_advance, so that requests of one instant share it.  */
static void
run_to (struct mq_engine *engine, uint64_t now_us)
{
  for (;;)
    {
      uint64_t end_us;

      if (!engine->in_step && has_work (engine) && engine->now_us < now_us)
        begin_step (engine);
      end_us = next_end_us (engine);
      if (end_us > now_us)
        break;
      move_on (engine, end_us);
    }
  sample_load (engine, now_us);
  if (now_us > engine->now_us)
    engine->now_us = now_us;
}

void
mq_engine_advance (struct mq_engine *engine, uint64_t now_us)
{
  run_to (engine, now_us);
  if (!engine->in_step && has_work (engine))
    begin_step (engine);
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
take_place (struct mq_engine *engine)
{
  size_t first = engine->sequence_room;

  if (engine->unused.count == 0)
    {
      engine->sequence_room = first == 0 ? FIRST_ROOM : 2 * first;
      engine->sequences = must_alloc (talloc_realloc (
          engine, engine->sequences, struct sequence, engine->sequence_room));
      memset (engine->sequences + first, 0,
              (engine->sequence_room - first) * sizeof engine->sequences[0]);
      for (size_t i = engine->sequence_room; i > first; i--)
        list_insert (engine, &engine->unused, engine->unused.count,
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
  uint32_t place = (uint32_t)handle;

  if (place == 0 || place > engine->sequence_room)
    return false;
  *index = place - 1;
  return engine->sequences[*index].state != SEQUENCE_FREE
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
  struct sequence *sequence;
  uint32_t generation;
  uint32_t index;

  run_to (engine, now_us);
  if (!check_request (engine, request, error))
    return 0;
  index = take_place (engine);
  sequence = &engine->sequences[index];
  generation = sequence->generation;
  memset (sequence, 0, sizeof *sequence);
  sequence->generation = generation;
  sequence->order = ++engine->arrivals;
  sequence->request = *request;
  sequence->hashes
      = must_alloc (talloc_array (engine, uint64_t, request->hash_count + 1));
  if (request->hash_count > 0)
    memcpy (sequence->hashes, request->hashes,
            request->hash_count * sizeof request->hashes[0]);
  sequence->request.hashes = sequence->hashes;
  sequence->blocks = must_alloc (talloc_array (
      engine, uint32_t,
      blocks_for (request->prompt_tokens + request->output_tokens)));
  set_state (engine, index, SEQUENCE_WAITING);
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
  end_sequence (engine, index);
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
  set_state (engine, index, SEQUENCE_PAUSED);
  return true;
}

bool
mq_engine_resume (struct mq_engine *engine, uint64_t now_us, uint64_t sequence)
{
  uint32_t index;

  run_to (engine, now_us);
  if (!find_sequence (engine, sequence, &index)
      || engine->sequences[index].state != SEQUENCE_PAUSED)
    return false;
  set_state (engine, index, SEQUENCE_WAITING);
  return true;
}

static void
mark_dropped (struct mq_engine *engine, const struct index_list *list,
              struct mq_id program)
{
  for (size_t i = 0; i < list->count; i++)
    {
      struct sequence *sequence = &engine->sequences[list->items[i]];

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
  add_cache_event (engine, MQ_ENGINE_EVICTED, program, tokens);
  return tokens;
}

void
mq_engine_export (struct mq_engine *engine, uint64_t now_us, uint64_t tag,
                  struct mq_id program)
{
  struct mq_kv_label *labels;
  struct job *job;
  size_t count;

  run_to (engine, now_us);
  labels = mq_kv_chain (engine, engine->kv, program, &count);
  job = add_job (engine, MQ_ENGINE_EXPORTED, queue_transfer (engine, count),
                 tag);
  job->program = program;
  job->labels = labels;
  job->label_count = count;
}

void
mq_engine_import (struct mq_engine *engine, uint64_t now_us, uint64_t tag,
                  struct mq_id program, const struct mq_kv_label *labels,
                  size_t count)
{
  struct job *job;

  run_to (engine, now_us);
  job = add_job (engine, MQ_ENGINE_IMPORTED, queue_transfer (engine, count),
                 tag);
  job->program = program;
  job->labels
      = must_alloc (talloc_array (engine, struct mq_kv_label, count + 1));
  if (count > 0)
    memcpy (job->labels, labels, count * sizeof labels[0]);
  job->label_count = count;
}

bool
mq_engine_order (struct mq_engine *engine, uint64_t now_us, uint64_t tag,
                 uint64_t fence, enum mq_order_type type,
                 struct mq_error *error)
{
  struct job *job;

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
  job = add_job (engine, MQ_ENGINE_ORDERED,
                 queue_work (engine, &engine->order_free_us,
                             engine->params.order_us[type]),
                 tag);
  job->order = type;
  return true;
}

/* Reading.  */

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
