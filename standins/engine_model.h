/* engine_model.h - performance model of a model engine in virtual time.

   Continuous batching, chunked prefill, a prefix cache of limited size,
   priorities, preemption, transfers and orders.  Pure: virtual time and
   requests in, events out; no clock, no input or output, so that a bench can
   run thousands of them at virtual time.  docs/ENGINE_MODEL.md has the
   formulas.

   Time never runs backwards.  A driver hands in requests at the present
   time, then calls mq_engine_advance, then takes the events, and comes back
   at mq_engine_next_us.  Requests of one instant enter the same step.
   Needs: engine_kv.h, error.h.  */

#ifndef MQ_ENGINE_MODEL_H
#define MQ_ENGINE_MODEL_H

#include "core/message.h"
#include "engine_kv.h"

struct mq_engine;

#define MQ_ENGINE_NEVER UINT64_MAX

/**
 * struct mq_engine_params - an engine's speed and size
 * @time_scale: every duration is multiplied by this
 * @base_us: time of a step
 * @per_sequence_us: added for each sequence in the step
 * @prefill_us_per_token: added for each prompt token computed in the step
 * @prefill_cap: most prompt tokens computed in one step
 * @slots: sequences that run side by side
 * @queue_max: sequences that wait; more are refused
 * @cache_tokens: memory
 * @watermark_percent: memory left free when a further sequence is admitted
 * @transfer_us_per_token: export and import, one at a time
 * @order_us: time of each type of order, one at a time
 * @load_lag_us: the load report is between one and two of this old, each up
 *               to a step longer
 * @event_lag_us: cache events come this late
 * @event_gap_permille: share of cache events that never come
 * @check_fence: refuse orders with an old fencing number
 * @seed: of the gaps
 */
struct mq_engine_params
{
  double time_scale;
  uint32_t base_us;
  uint32_t per_sequence_us;
  uint32_t prefill_us_per_token;
  uint32_t prefill_cap;
  uint32_t slots;
  uint32_t queue_max;
  uint32_t cache_tokens;
  uint32_t watermark_percent;
  uint32_t transfer_us_per_token;
  uint32_t order_us[MQ_ORDER_SET_ROLE + 1];
  uint32_t load_lag_us;
  uint32_t event_lag_us;
  uint32_t event_gap_permille;
  bool check_fence;
  uint64_t seed;
};

/**
 * struct mq_engine_request - one sequence
 * @tag: given back in its events
 * @program: who it is for
 * @priority: class; a lower one yields memory and slots to a higher one
 * @prompt_tokens: length of the prompt, at least 1
 * @shared_tokens: how many of them, at its begin, are the service's
 * @output_tokens: how many it will generate, at least 1
 * @hashes: of the whole blocks of prompt and output together, each hash
 *          covering all blocks before it (mq_engine_hash_text)
 * @hash_count: how many
 */
struct mq_engine_request
{
  uint64_t tag;
  struct mq_id program;
  enum mq_priority priority;
  uint32_t prompt_tokens;
  uint32_t shared_tokens;
  uint32_t output_tokens;
  const uint64_t *hashes;
  size_t hash_count;
};

enum mq_engine_event_type
{
  MQ_ENGINE_TOKEN,     /* a sequence generated a token */
  MQ_ENGINE_DONE,      /* a sequence generated its last token */
  MQ_ENGINE_PREEMPTED, /* a sequence lost its memory; it is computed again */
  MQ_ENGINE_ORDERED,   /* an order took effect */
  MQ_ENGINE_EXPORTED,
  MQ_ENGINE_IMPORTED
};

/**
 * struct mq_engine_event - something that happened
 * @type: what
 * @at_us: when
 * @tag: of the sequence or job
 * @generated: tokens that the sequence generated so far
 * @cached_tokens: prompt tokens that it found in the cache when first run
 * @start_us: when it was first run
 * @transferred: tokens exported or imported
 * @labels: EXPORTED: what was exported; valid until the next event is taken
 * @label_count: how many
 */
struct mq_engine_event
{
  enum mq_engine_event_type type;
  uint64_t at_us;
  uint64_t tag;
  uint32_t generated;
  uint32_t cached_tokens;
  uint64_t start_us;
  uint32_t transferred;
  struct mq_kv_label *labels;
  size_t label_count;
};

struct mq_engine_load
{
  uint32_t running;
  uint32_t queued;
  uint32_t cache_used;
  uint32_t cache_total;
};

enum mq_engine_cache_event_type
{
  MQ_ENGINE_STORED,
  MQ_ENGINE_EVICTED
};

struct mq_engine_cache_event
{
  uint64_t number; /* rising; a gap in the numbers is a lost event */
  uint64_t visible_us;
  struct mq_id program; /* zero: the service */
  enum mq_engine_cache_event_type type;
  uint32_t tokens;
};

#define MQ_ENGINE_COUNTER_LIST(X)                                             \
  X (steps, "steps")                                                          \
  X (busy_us, "time spent in steps")                                          \
  X (submitted, "sequences taken")                                            \
  X (refused, "sequences refused")                                            \
  X (finished, "sequences that ended")                                        \
  X (cancelled, "sequences cancelled")                                        \
  X (preempted, "times that a sequence lost its memory")                      \
  X (prompt_tokens, "prompt tokens of sequences run")                         \
  X (cached_tokens, "of these, found in the cache")                           \
  X (prefill_tokens, "tokens computed in prefill")                            \
  X (generated_tokens, "tokens generated")                                    \
  X (orders_refused, "orders refused for an old fencing number")              \
  X (cache_events, "cache events")                                            \
  X (cache_events_lost, "of these, never delivered")

struct mq_engine_counters
{
#define MQ_COUNTER_FIELD(name, help) uint64_t name;
  MQ_ENGINE_COUNTER_LIST (MQ_COUNTER_FIELD)
#undef MQ_COUNTER_FIELD
};

/* An engine for a model of 7 to 8 thousand million weights on one
   accelerator.  */
void mq_engine_params_default (struct mq_engine_params *params);
struct mq_engine *mq_engine_create (TALLOC_CTX *ctx,
                                    const struct mq_engine_params *params);
void mq_engine_destroy (struct mq_engine *engine);

/* Hashes of the whole blocks of TEXT, four bytes a token.  */
uint64_t *mq_engine_hash_text (TALLOC_CTX *ctx, const char *text, size_t len,
                               size_t *count);
/* Handle of the sequence, never 0; 0 with OVERLOADED, BAD_REQUEST, or
   TOO_LARGE where it could never fit the memory.  */
uint64_t mq_engine_submit (struct mq_engine *engine, uint64_t now_us,
                           const struct mq_engine_request *request,
                           struct mq_error *error);
/* False when the sequence has ended.  GENERATED: tokens it had made.  */
bool mq_engine_cancel (struct mq_engine *engine, uint64_t now_us,
                       uint64_t sequence, uint32_t *generated);
/* A paused sequence keeps its memory while nobody else needs it.  */
bool mq_engine_pause (struct mq_engine *engine, uint64_t now_us,
                      uint64_t sequence);
bool mq_engine_resume (struct mq_engine *engine, uint64_t now_us,
                       uint64_t sequence);

/* Frees what PROGRAM holds; what its running sequences use goes when they
   end.  How many tokens were freed at once.  */
uint32_t mq_engine_evict (struct mq_engine *engine, uint64_t now_us,
                          struct mq_id program);
/* EXPORTED or IMPORTED follows.  LABELS as EXPORTED gave them.  */
void mq_engine_export (struct mq_engine *engine, uint64_t now_us, uint64_t tag,
                       struct mq_id program);
void mq_engine_import (struct mq_engine *engine, uint64_t now_us, uint64_t tag,
                       struct mq_id program, const struct mq_kv_label *labels,
                       size_t count);
/* ORDERED follows; false with STALE_FENCE where the number is checked and
   old.  LOAD_MODEL empties the cache when it takes effect.  */
bool mq_engine_order (struct mq_engine *engine, uint64_t now_us, uint64_t tag,
                      uint64_t fence, enum mq_order_type type,
                      struct mq_error *error);

/* Runs up to and including NOW_US.  */
void mq_engine_advance (struct mq_engine *engine, uint64_t now_us);
/* When to advance again, MQ_ENGINE_NEVER when there is nothing to do.  */
uint64_t mq_engine_next_us (const struct mq_engine *engine);
/* Takes the oldest event; false when there is none.  */
bool mq_engine_next_event (struct mq_engine *engine,
                           struct mq_engine_event *event);

/* The load as reported, with its lag, and as it is.  */
struct mq_engine_load mq_engine_reported_load (struct mq_engine *engine,
                                               uint64_t now_us);
struct mq_engine_load mq_engine_load (const struct mq_engine *engine);
/* Cache events with numbers above AFTER that are visible at NOW_US, at most
   MAX; how many.  */
size_t mq_engine_cache_events (const struct mq_engine *engine, uint64_t now_us,
                               uint64_t after,
                               struct mq_engine_cache_event *events,
                               size_t max);
const struct mq_kv *mq_engine_kv (const struct mq_engine *engine);
/* Parameters that may change while it runs: all but slots, memory, queue. */
struct mq_engine_params *mq_engine_params (struct mq_engine *engine);
const struct mq_engine_counters *
mq_engine_read_counters (struct mq_engine *engine, uint64_t now_us);

#endif
