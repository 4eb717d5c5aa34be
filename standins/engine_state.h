/* engine_state.h - internal state of the engine model.

   Shared by engine_model.c (requests and time), engine_batch.c (admission and
   steps of sequences), engine_work.c (transfers and orders) and
   engine_report.c (events and load reports).
   Needs: engine_model.h.  */

#ifndef MQ_ENGINE_STATE_H
#define MQ_ENGINE_STATE_H

#include "engine_model.h"
#include <stdlib.h>

enum
{
  MQ_ENGINE_INITIAL_CAPACITY = 16,
  MQ_ENGINE_CACHE_EVENTS_KEPT = 4096
};

enum mq_engine_sequence_state
{
  MQ_ENGINE_SEQUENCE_FREE,
  MQ_ENGINE_SEQUENCE_WAITING,
  MQ_ENGINE_SEQUENCE_RUNNING,
  MQ_ENGINE_SEQUENCE_PAUSED
};

/**
 * struct mq_engine_sequence - an active request
 * @generation: incremented when the entry is reused, to detect stale handles
 * @order: arrival number
 * @blocks: allocated cache blocks
 * @labelled: number of completely computed @blocks
 * @computed: tokens whose keys and values are in @blocks
 * @chunk: tokens computed in the current step
 * @decoding: prefill has finished
 * @drop: the program was evicted; free the blocks on release
 * @ran: admitted at least once
 */
struct mq_engine_sequence
{
  enum mq_engine_sequence_state state;
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

/* An active transfer or order.  */
struct mq_engine_work
{
  enum mq_engine_event_type type;
  uint64_t due_us;
  uint64_t tag;
  struct mq_id program;
  enum mq_order_type order;
  struct mq_kv_label *labels; /* talloc child of the engine */
  size_t label_count;
};

/* Indices of sequences.  */
struct mq_engine_list
{
  uint32_t *items;
  size_t count;
  size_t capacity;
};

struct mq_engine
{
  struct mq_engine_params params;
  struct mq_kv *kv;
  uint64_t now_us;
  struct mq_engine_sequence *sequences;
  size_t sequence_capacity;
  struct mq_engine_list unused;
  struct mq_engine_list waiting;
  struct mq_engine_list running;
  struct mq_engine_list paused;
  uint64_t arrivals;
  bool in_step;
  uint64_t step_end_us;
  struct mq_engine_work *work; /* sorted by due time */
  size_t work_count;
  size_t work_capacity;
  uint64_t transfer_free_us;
  uint64_t order_free_us;
  uint64_t fence;
  struct mq_engine_event *events; /* [event_first, event_count) */
  size_t event_first;
  size_t event_count;
  size_t event_room;
  struct mq_kv_label *given_labels;           /* of the last event returned */
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

static inline void *
mq_engine_check_alloc (void *memory)
{
  if (memory == NULL)
    abort ();
  return memory;
}

static inline uint64_t
mq_engine_scale (const struct mq_engine *engine, uint64_t us)
{
  return (uint64_t)((double)us * engine->params.time_scale + 0.5);
}

static inline uint32_t
mq_engine_blocks (uint32_t tokens)
{
  return (tokens + MQ_KV_BLOCK_TOKENS - 1) / MQ_KV_BLOCK_TOKENS;
}

/* Sequences (engine_batch.c).  */

void mq_engine_list_insert (struct mq_engine *engine,
                            struct mq_engine_list *list, size_t at,
                            uint32_t item);
void mq_engine_set_state (struct mq_engine *engine, uint32_t index,
                          enum mq_engine_sequence_state state);
void mq_engine_end_sequence (struct mq_engine *engine, uint32_t index);
void mq_engine_begin_step (struct mq_engine *engine);
void mq_engine_finish_step (struct mq_engine *engine);

/* Transfers and orders (engine_work.c).  */

struct mq_engine_work *mq_engine_add_work (struct mq_engine *engine,
                                           enum mq_engine_event_type type,
                                           uint64_t due_us, uint64_t tag);
/* Appends work of duration US to the queue that is busy until *FREE_US;
   updates *FREE_US and returns the end time.  */
uint64_t mq_engine_queue_work (struct mq_engine *engine, uint64_t *free_us,
                               uint64_t us);
uint64_t mq_engine_queue_transfer (struct mq_engine *engine, size_t blocks);
void mq_engine_finish_first_work (struct mq_engine *engine);

/* Events and load reports (engine_report.c).  */

struct mq_engine_event *mq_engine_add_event (struct mq_engine *engine,
                                             enum mq_engine_event_type type,
                                             uint64_t at_us, uint64_t tag);
void mq_engine_add_cache_event (struct mq_engine *engine,
                                enum mq_engine_cache_event_type type,
                                struct mq_id program, uint32_t tokens);
void mq_engine_sample_load (struct mq_engine *engine, uint64_t now_us);

#endif
