/* gate.h - admission control in front of the targets of one host: fencing,
   at-most-once execution, queueing and cache leases.

   Each mimosa-targetd runs one gate for all workers on its host.  Every call
   to these workers passes through it, so a call that it refuses has not run.
   The gate is a pure state machine, like owner.h: it does no I/O and reads no
   clock.

   Needs: action.h, message.h.  */

#ifndef MQ_GATE_H
#define MQ_GATE_H

#include "../action.h"

struct mq_gate;

enum mq_gate_order
{
  MQ_GATE_FIFO,    /* order of arrival */
  MQ_GATE_ATTAINED /* priority, then continuing programs, then least attained
                      service, with ageing */
};

/**
 * struct mq_gate_worker - settings of one worker on the gate's host
 * @service: name of the service that the worker runs
 * @model: model served; empty if the worker is not a model
 * @slots: calls that may run concurrently
 * @cache_tokens: capacity of the engine's cache; 0 if it has none
 */
struct mq_gate_worker
{
  const char *service;
  enum mq_service_kind kind;
  const char *model;
  uint32_t slots;
  uint32_t cache_tokens;
};

/**
 * struct mq_gate_options - settings, constant for the life of the process
 * @boot: random id of this process; never 0
 * @seed: seed of the random number generator
 * @order: queueing discipline
 * @queue_max: queued calls per worker; 0: MQ_GATE_QUEUE_MAX
 * @outcomes_max: retained outcomes; 0: MQ_GATE_OUTCOMES_MAX
 */
struct mq_gate_options
{
  const char *host;
  uint64_t boot;
  uint64_t seed;
  enum mq_gate_order order;
  const struct mq_gate_worker *workers;
  size_t worker_count;
  uint32_t queue_max;
  uint32_t outcomes_max;
};

enum mq_gate_input_type
{
  MQ_GATE_TICK,
  MQ_GATE_PEER_UP,
  MQ_GATE_PEER_DOWN,
  MQ_GATE_MESSAGE,
  MQ_GATE_TOKEN,     /* a worker generated text for a running call */
  MQ_GATE_DONE,      /* a call at a worker has ended */
  MQ_GATE_EVICTED,   /* result of an eviction */
  MQ_GATE_CACHE,     /* a worker reported the contents of its cache */
  MQ_GATE_ENGINE_UP, /* an engine started or is reachable again */
  MQ_GATE_ENGINE_DOWN,
  MQ_GATE_ORDERED, /* result of an order */
  MQ_GATE_LEAVE    /* drain: refuse new calls, complete running ones */
};

/**
 * struct mq_gate_done - result of a call at a worker
 * @slot: handle from the START action
 * @error: MQ_ERR_NONE on success
 * @ran: whether the call took effect
 * @body: JSON answer
 * @tokens_in: prompt tokens
 * @tokens_out: generated tokens
 * @cached_tokens: prompt tokens found in the engine's cache
 * @retry_after_ms: for OVERLOADED, delay asked for by the target; 0 if none
 */
struct mq_gate_done
{
  uint32_t slot;
  enum mq_error_type error;
  enum mq_ran ran;
  const char *body;
  uint32_t tokens_in;
  uint32_t tokens_out;
  uint32_t cached_tokens;
  uint32_t retry_after_ms;
};

struct mq_gate_token
{
  uint32_t slot;
  const char *text;
};

struct mq_gate_evicted
{
  uint32_t worker;
  struct mq_id program;
  bool confirmed;
};

struct mq_gate_cache_entry
{
  struct mq_id program; /* zero: prefix shared by the service's calls */
  uint32_t tokens;
};

struct mq_gate_cache
{
  uint32_t worker;
  const struct mq_gate_cache_entry *entries;
  size_t entry_count;
  uint32_t used;
  uint32_t total;
};

/**
 * struct mq_gate_input - event passed to mq_gate_handle
 * @now_us: monotonic clock of this process
 * @peer: connection, for PEER_UP, PEER_DOWN and MESSAGE
 * @engine_boot: boot number of the engine, for ENGINE_UP; 0 if unknown.  If it
 *               equals the last known number, the engine was only unreachable
 *               and its cache is intact; otherwise the cache is empty
 *
 * Pointers are borrowed for the duration of the call.
 */
struct mq_gate_input
{
  enum mq_gate_input_type type;
  uint64_t now_us;
  uint32_t peer;
  uint64_t engine_boot;
  union
  {
    const struct mq_message *message;
    struct mq_gate_token token;
    struct mq_gate_done done;
    struct mq_gate_evicted evicted;
    struct mq_gate_cache cache;
    uint32_t worker; /* ENGINE_UP, ENGINE_DOWN */
    struct mq_order_done_msg ordered;
  } u;
};

struct mq_gate *mq_gate_create (TALLOC_CTX *ctx,
                                const struct mq_gate_options *options);
void mq_gate_destroy (struct mq_gate *gate);
/* Handles INPUT and appends the resulting actions to ACTIONS.  */
void mq_gate_handle (struct mq_gate *gate, const struct mq_gate_input *input,
                     struct mq_actions *actions);
/* Returns the time at which the next TICK is due, in microseconds.  */
uint64_t mq_gate_next_tick (const struct mq_gate *gate);
/* Returns true when the gate is draining, no call is queued or running, and
   the owners have released every retained outcome.  */
bool mq_gate_is_drained (const struct mq_gate *gate);
/* Returns the status as JSON, allocated below CTX.  */
char *mq_gate_status (TALLOC_CTX *ctx, const struct mq_gate *gate);

#define MQ_GATE_COUNTER_LIST(X)                                               \
  X (calls_received, "attempts received")                                     \
  X (calls_started, "attempts let through to a worker")                       \
  X (calls_done, "attempts that a worker ended")                              \
  X (calls_repeated, "attempts received again and answered from the table")   \
  X (refused_fence, "refused: old fencing number")                            \
  X (refused_boot, "refused: meant for an earlier run of this process")       \
  X (refused_sealed, "refused: sealed")                                       \
  X (refused_leaving, "refused: leaving")                                     \
  X (refused_full, "refused: queue full or deadline can't be met")            \
  X (cancelled, "attempts cancelled")                                         \
  X (outcomes_kept, "outcomes kept until durable")                            \
  X (queue_length, "attempts that wait")                                      \
  X (running, "attempts that run")                                            \
  X (prompt_tokens, "prompt tokens")                                          \
  X (cached_tokens, "prompt tokens found in the cache")                       \
  X (recomputed_tokens, "prompt tokens computed again")                       \
  X (generated_tokens, "tokens generated")                                    \
  X (evictions, "evictions confirmed")                                        \
  X (evictions_retried, "evictions asked for again")                          \
  X (leases_lapsed, "cache leases that were not renewed")                     \
  X (cache_token_ms, "token-milliseconds of engine cache held")               \
  X (cache_wasted_token_ms, "of these, held for ended programs or dropped "   \
                            "without reuse")                                  \
  X (cache_ended_tokens, "tokens held for ended programs now")

struct mq_gate_counters
{
#define MQ_COUNTER_FIELD(name, help) uint64_t name;
  MQ_GATE_COUNTER_LIST (MQ_COUNTER_FIELD)
#undef MQ_COUNTER_FIELD
};

const struct mq_gate_counters *mq_gate_read_counters (const struct mq_gate *);

#endif
