/* engine_model.h - performance model of a model engine in virtual time.

   Models continuous batching, chunked prefill, a prefix cache of limited
   size, priorities, preemption, transfers and orders.  Performs no I/O and
   reads no clock.  docs/ENGINE_MODEL.md has the formulas.

   Time must not decrease.  The caller submits requests at the current time,
   calls mq_engine_advance, takes the events, and calls mq_engine_advance
   again at mq_engine_next_us.  Requests submitted at the same time enter the
   same step.
   Needs: engine_kv.h, error.h.  */

#ifndef MQ_ENGINE_MODEL_H
#define MQ_ENGINE_MODEL_H

#include "core/message.h"
#include "engine_kv.h"

struct mq_engine;

#define MQ_ENGINE_NEVER UINT64_MAX

/**
 * struct mq_engine_params - speed and size of an engine
 * @time_scale: multiplies every duration
 * @base_us: base duration of a step
 * @per_sequence_us: added for each sequence in the step
 * @prefill_us_per_token: added for each prompt token computed in the step
 * @prefill_cap: maximum prompt tokens computed in one step
 * @slots: maximum concurrent sequences
 * @queue_max: maximum waiting sequences; more are rejected
 * @cache_tokens: cache size
 * @watermark_percent: memory kept free when a sequence is admitted
 * @transfer_us_per_token: duration of export and import, which are serialised
 * @order_us: duration of each type of order; orders are serialised
 * @load_lag_us: load reports are one to two times this old, plus up to one
 *               step
 * @event_lag_us: delay of cache events
 * @event_gap_permille: share of cache events that are lost
 * @check_fence: reject orders with a stale fencing number
 * @seed: seed that selects the lost cache events
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
 * struct mq_engine_request - a sequence to run
 * @tag: returned in its events
 * @priority: a lower one yields memory and slots to a higher one
 * @prompt_tokens: length of the prompt, at least 1
 * @shared_tokens: leading prompt tokens that belong to the service
 * @output_tokens: tokens to generate, at least 1
 * @hashes: hashes of the full blocks of prompt and output, each covering all
 *          preceding blocks (mq_engine_hash_text)
 * @hash_count: number of @hashes
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
  MQ_ENGINE_PREEMPTED, /* a sequence lost its memory and will be recomputed */
  MQ_ENGINE_ORDERED,   /* an order took effect */
  MQ_ENGINE_EXPORTED,
  MQ_ENGINE_IMPORTED
};

/**
 * struct mq_engine_event - an event of the model
 * @at_us: virtual time of the event
 * @tag: tag of the sequence or job
 * @generated: tokens generated so far
 * @cached_tokens: prompt tokens found in the cache on first admission
 * @start_us: virtual time of the first admission
 * @transferred: tokens exported or imported
 * @labels: EXPORTED: exported blocks; valid until the next event is taken
 * @label_count: number of @labels
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
  uint64_t number; /* increasing; a gap indicates a lost event */
  uint64_t visible_us;
  struct mq_id program; /* zero for the service */
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

/* Defaults for a model of 7 to 8 billion parameters on one accelerator.  */
void mq_engine_params_default (struct mq_engine_params *params);
struct mq_engine *mq_engine_create (TALLOC_CTX *ctx,
                                    const struct mq_engine_params *params);
void mq_engine_destroy (struct mq_engine *engine);

/* Hashes of the full blocks of TEXT, at four bytes per token.  */
uint64_t *mq_engine_hash_text (TALLOC_CTX *ctx, const char *text, size_t len,
                               size_t *count);
/* Returns the handle of the sequence; 0 with OVERLOADED, BAD_REQUEST, or
   TOO_LARGE if it cannot fit in memory.  */
uint64_t mq_engine_submit (struct mq_engine *engine, uint64_t now_us,
                           const struct mq_engine_request *request,
                           struct mq_error *error);
/* Returns false if the sequence has ended.  Sets GENERATED to the tokens
   generated so far.  */
bool mq_engine_cancel (struct mq_engine *engine, uint64_t now_us,
                       uint64_t sequence, uint32_t *generated);
/* A paused sequence keeps its memory until other sequences need it.  */
bool mq_engine_pause (struct mq_engine *engine, uint64_t now_us,
                      uint64_t sequence);
bool mq_engine_resume (struct mq_engine *engine, uint64_t now_us,
                       uint64_t sequence);

/* Frees the cache of PROGRAM, except blocks in use, which are freed when its
   sequences end.  Returns the number of tokens freed immediately.  */
uint32_t mq_engine_evict (struct mq_engine *engine, uint64_t now_us,
                          struct mq_id program);
/* Completion is signalled by EXPORTED or IMPORTED. LABELS: as reported by
   EXPORTED.  */
void mq_engine_export (struct mq_engine *engine, uint64_t now_us, uint64_t tag,
                       struct mq_id program);
void mq_engine_import (struct mq_engine *engine, uint64_t now_us, uint64_t tag,
                       struct mq_id program, const struct mq_kv_label *labels,
                       size_t count);
/* Completion is signalled by ORDERED.  Returns false with STALE_FENCE if
   fencing is checked and FENCE is stale.  LOAD_MODEL clears the cache.  */
bool mq_engine_order (struct mq_engine *engine, uint64_t now_us, uint64_t tag,
                      uint64_t fence, enum mq_order_type type,
                      struct mq_error *error);

/* Advances to NOW_US, inclusive.  */
void mq_engine_advance (struct mq_engine *engine, uint64_t now_us);
/* Time of the next mq_engine_advance; MQ_ENGINE_NEVER if idle.  */
uint64_t mq_engine_next_us (const struct mq_engine *engine);
/* Removes the oldest event; false if there is none.  */
bool mq_engine_next_event (struct mq_engine *engine,
                           struct mq_engine_event *event);

/* The load as reported, with its lag, and the current load.  */
struct mq_engine_load mq_engine_reported_load (struct mq_engine *engine,
                                               uint64_t now_us);
struct mq_engine_load mq_engine_load (const struct mq_engine *engine);
/* Copies up to MAX cache events with numbers above AFTER that are visible at
   NOW_US; returns their number.  */
size_t mq_engine_cache_events (const struct mq_engine *engine, uint64_t now_us,
                               uint64_t after,
                               struct mq_engine_cache_event *events,
                               size_t max);
const struct mq_kv *mq_engine_kv (const struct mq_engine *engine);
/* Parameters, which may be changed at run time, except slots, cache_tokens and
   queue_max.  */
struct mq_engine_params *mq_engine_params (struct mq_engine *engine);
const struct mq_engine_counters *
mq_engine_read_counters (struct mq_engine *engine, uint64_t now_us);

#endif
