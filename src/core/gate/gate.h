/* gate.h - the last gate before a target: fences, at-most-once, admission,
   order and cache leases.

   One runs in each mimosa-targetd, for every worker on its host.  It is the
   only way to those workers, so what it refuses was not run.  Pure, like
   owner.h.
   Needs: action.h, message.h.  */

#ifndef MQ_GATE_H
#define MQ_GATE_H

#include "../action.h"

struct mq_gate;

enum mq_gate_order
{
  MQ_GATE_FIFO,    /* order of arrival: a baseline */
  MQ_GATE_ATTAINED /* class, continuing, least attained service, ageing */
};

/**
 * struct mq_gate_worker - one worker on the gate's host, from settings
 * @service: service that it serves
 * @kind: kind of that service
 * @model: model that it serves, empty for others
 * @slots: calls let through side by side
 * @cache_tokens: engine memory, 0 when it has none
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
 * struct mq_gate_options - fixed for the life of a process
 * @host: name of this host
 * @boot: random id of this run, never 0
 * @seed: seed of the jitter
 * @order: order of the queue
 * @workers: the workers on this host
 * @worker_count: how many
 * @queue_max: calls that wait per worker, 0: MQ_GATE_QUEUE_MAX
 * @outcomes_max: kept outcomes, 0: MQ_GATE_OUTCOMES_MAX
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
  MQ_GATE_TOKEN,     /* a worker sent text of a running call */
  MQ_GATE_DONE,      /* a worker ended a call */
  MQ_GATE_EVICTED,   /* a worker confirmed or failed an eviction */
  MQ_GATE_CACHE,     /* what a worker really holds, read from it */
  MQ_GATE_ENGINE_UP, /* a worker (re)started or can be reached again */
  MQ_GATE_ENGINE_DOWN,
  MQ_GATE_ORDERED, /* a worker answered an order */
  MQ_GATE_LEAVE    /* the host is to go: refuse new work, finish the rest */
};

/**
 * struct mq_gate_done - how a worker ended a call
 * @slot: as in the START action
 * @error: MQ_ERR_NONE when it answered
 * @ran: whether it took effect
 * @body: JSON answer
 * @tokens_in: prompt tokens
 * @tokens_out: generated tokens
 * @cached_tokens: prompt tokens found in the cache
 * @retry_after_ms: with OVERLOADED, when to come back, 0 when not said
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
  struct mq_id program; /* zero: a service's shared prefix */
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
 * struct mq_gate_input - one thing that happened
 * @type: which
 * @now_us: monotonic time of this process
 * @peer: PEER_UP, PEER_DOWN, MESSAGE: connection
 * @engine_boot: ENGINE_UP: boot number of the engine, 0 when unknown.  The
 *               number known before means that the engine was only out of
 *               reach and still holds its cache; 0 or another number than
 *               known before, that it is empty
 *
 * Everything pointed to is borrowed for the duration of the call.
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
void mq_gate_handle (struct mq_gate *gate, const struct mq_gate_input *input,
                     struct mq_actions *actions);
uint64_t mq_gate_next_tick (const struct mq_gate *gate);
/* True when the gate leaves, nothing runs or waits in it and every kept
   outcome was forgotten by its owner.  */
bool mq_gate_is_drained (const struct mq_gate *gate);
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
