/* worker.h - HTTP client of one worker on a target host.

   Translates the gate's START, STOP, EVICT and ORDER actions into the HTTP
   requests of docs/CONTRACTS.md, and the worker's responses into inputs of
   the gate.  Never retries a call: one START is one POST.
   Needs: http_client.h, gate.h, jansson.  */

#ifndef MQ_WORKER_H
#define MQ_WORKER_H

#include "core/gate/gate.h"
#include "net/http_client.h"

struct mq_worker;

/**
 * struct mq_worker_callbacks - events reported by a worker
 * @token: text of a running model call
 * @done: a call ended; once for each mq_worker_start
 * @evicted: an eviction was confirmed or failed; once for each
 *           mq_worker_evict
 * @cache: contents of a model engine's cache; a zero program id denotes
 *         prefixes that belong to the service and not to a program
 * @up: a model engine responded for the first time, after it was down, or
 *      with a new boot number; its cache is empty
 * @down: a model engine is unreachable
 * @ordered: an order ended; once for each mq_worker_order
 * @user: passed to each callback
 *
 * Strings and arrays are valid until the callback returns.  Callbacks are
 * never called from within a function of this header, and may call any of
 * these functions except mq_worker_destroy.  Plain services and tools report
 * neither cache nor up nor down: they are assumed to be up, and a call that
 * can't reach them ends with TARGET_FAILED, not_run.
 */
struct mq_worker_callbacks
{
  void (*token) (const struct mq_gate_token *token, void *user);
  void (*done) (const struct mq_gate_done *done, void *user);
  void (*evicted) (const struct mq_gate_evicted *evicted, void *user);
  void (*cache) (const struct mq_gate_cache *cache, void *user);
  void (*up) (uint32_t worker, uint64_t boot, void *user);
  void (*down) (uint32_t worker, void *user);
  void (*ordered) (const struct mq_order_done_msg *ordered, void *user);
  void *user;
};

/**
 * struct mq_worker_options - fixed for the lifetime of a worker's client
 * @index: index of the worker on its host, passed to callbacks
 * @kind: MQ_SERVICE_MODEL, _PLAIN or _TOOL
 * @url: "http://IP:PORT", without a path
 * @model: default model for calls whose body names none; may be empty
 * @cache_poll_ms: interval between reads of the engine's cache;
 *                 0: MQ_WORKER_CACHE_POLL_MS
 */
struct mq_worker_options
{
  uint32_t index;
  enum mq_service_kind kind;
  const char *url;
  const char *model;
  uint32_t cache_poll_ms;
};

/* Copies the options' strings and the callbacks.  CLIENT must outlive the
   worker.  */
struct mq_worker *
mq_worker_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                  struct mq_http_client *client,
                  const struct mq_worker_options *options,
                  const struct mq_worker_callbacks *callbacks);
/* Closes all connections; no callback is called afterwards.  */
void mq_worker_destroy (struct mq_worker *worker);

/**
 * mq_worker_start - send one call to the worker
 * @start: the call; its strings are copied
 *
 * For a plain service or a tool, @start->route is the path of the POST and
 * begins with '/'; it comes from the configuration.  For a model it is
 * unused.
 *
 * Result passed to the done callback:
 *
 * - complete response of a model: NONE, ran, body
 *   {"content":S,"tool_calls":[{"id":S,"name":S,"arguments":S}],"finish":S}
 * - 2xx of a plain service or tool: NONE, ran, its body
 * - 4xx of a plain service or tool: NONE, ran, body
 *   {"status":N,"error":BODY}; a permanent error
 * - 429: OVERLOADED, not_run, with retry_after_ms
 * - connection refused: TARGET_FAILED, not_run; connection timeout: TIMEOUT,
 *   not_run
 * - no response within @start->timeout_ms: TIMEOUT; unknown for services and
 *   tools, ran for models, whose calls may be retried
 * - 5xx or connection lost: TARGET_FAILED; unknown or ran as above
 * - 400, 413 or 422 of a model: BAD_REQUEST, not_run; other 4xx:
 *   TARGET_FAILED, not_run
 * - complete but malformed response of a model: BAD_ANSWER, ran
 * - mq_worker_stop: CANCELLED; unknown or ran as above
 *
 * tokens_out is also set if a model's response is incomplete.
 */
void mq_worker_start (struct mq_worker *worker, const struct mq_start *start);
/* Cancels the call in SLOT, if there is one.  The done callback follows, with
   CANCELLED unless the complete response arrived first.  */
void mq_worker_stop (struct mq_worker *worker, uint32_t slot);
/* Sends one eviction request; retries are up to the gate.  For plain services
   and tools the eviction is confirmed without a request.  */
void mq_worker_evict (struct mq_worker *worker, struct mq_id program);
/* Sends an order.  Ends with STALE_FENCE if the engine has seen a higher
   fencing number.  */
void mq_worker_order (struct mq_worker *worker,
                      const struct mq_order_msg *order);

#define MQ_WORKER_COUNTER_LIST(X)                                             \
  X (started, "calls sent to the worker")                                     \
  X (answered, "calls that it answered whole")                                \
  X (refused, "calls that it refused or that could not reach it")             \
  X (broken, "answers that broke or came too late")                           \
  X (cancelled, "calls cancelled")                                            \
  X (bad_answers, "answers that could not be read")                           \
  X (evictions, "evictions that it confirmed")                                \
  X (evictions_failed, "evictions that it did not confirm")                   \
  X (restarts, "changes of its boot number")                                  \
  X (polls_failed, "reads of its cache that failed")

struct mq_worker_counters
{
#define MQ_COUNTER_FIELD(name, help) uint64_t name;
  MQ_WORKER_COUNTER_LIST (MQ_COUNTER_FIELD)
#undef MQ_COUNTER_FIELD
};

const struct mq_worker_counters *
mq_worker_read_counters (const struct mq_worker *worker);

#endif
