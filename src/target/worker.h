/* worker.h - the client of mimosa-targetd towards one worker on its host.

   Turns the gate's START, STOP, EVICT and ORDER actions into HTTP as
   docs/CONTRACTS.md has it, and the worker's answers into the gate's
   inputs.  It decides nothing and repeats nothing: one START is one POST.
   Needs: http_client.h, gate.h, jansson.  */

#ifndef MQ_WORKER_H
#define MQ_WORKER_H

#include "core/gate/gate.h"
#include "net/http_client.h"

struct mq_worker;

/**
 * struct mq_worker_callbacks - what the worker tells the gate
 * @token: text of a running model call
 * @done: a call ended; once for each mq_worker_start
 * @evicted: once for each mq_worker_evict, confirmed or not
 * @cache: what a model engine really holds; a zero program id stands for
 *         prefixes that belong to the service and to no program
 * @up: a model engine answered for the first time, after it was down, or
 *      with another boot number than before: its cache is empty
 * @down: a model engine can't be reached
 * @ordered: once for each mq_worker_order
 * @user: given to each
 *
 * Texts and arrays are valid until the callback returns.  No callback comes
 * from within a function of this header, and each may call any of them but
 * mq_worker_destroy.  Plain services and tools report
 * neither cache nor up nor down: they are taken as up from the start, and a
 * call that can't reach them ends with TARGET_FAILED, not_run.
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
 * struct mq_worker_options - fixed for the life of a worker's client
 * @index: index of the worker on its host, given back in callbacks
 * @kind: MQ_SERVICE_MODEL, _PLAIN or _TOOL
 * @url: "http://IP:PORT", without a path
 * @model: model to ask for where the call's body names none; may be empty
 * @cache_poll_ms: pause between two reads of the engine's cache,
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

/* The options' texts and the callbacks are copied.  CLIENT must outlive the
   worker.  */
struct mq_worker *
mq_worker_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                  struct mq_http_client *client,
                  const struct mq_worker_options *options,
                  const struct mq_worker_callbacks *callbacks);
/* Closes every connection; no callback follows.  */
void mq_worker_destroy (struct mq_worker *worker);

/**
 * mq_worker_start - send one call to the worker
 * @worker: the worker
 * @start: the call; its texts are copied
 *
 * For a plain service or a tool, @start->route is the path of the POST and
 * begins with '/' (the caller takes it from the operators' text).  For a
 * model it is unused.
 *
 * How the call ends, in @done:
 *
 * - a model's whole answer: NONE, ran, body
 *   {"content":S,"tool_calls":[{"id":S,"name":S,"arguments":S}],"finish":S}
 * - a plain service's or tool's 2xx: NONE, ran, its body
 * - a plain service's or tool's 4xx: NONE, ran, body
 *   {"status":N,"error":BODY}: the service answered for good
 * - 429: OVERLOADED, not_run, with retry_after_ms
 * - a refused connection: TARGET_FAILED, not_run; one that did not come about
 *   in time: TIMEOUT, not_run
 * - no answer within @start->timeout_ms: TIMEOUT; unknown for services and
 *   tools, ran for models (they may be asked again)
 * - 5xx or a broken connection: TARGET_FAILED; unknown or ran likewise
 * - a model's 400, 413 or 422: BAD_REQUEST, not_run; its other 4xx:
 *   TARGET_FAILED, not_run
 * - a whole model answer that can't be read: BAD_ANSWER, ran
 * - mq_worker_stop: CANCELLED; unknown or ran likewise
 *
 * tokens_out is truthful also where a model's answer is not whole.
 */
void mq_worker_start (struct mq_worker *worker, const struct mq_start *start);
/* Cancels the call in SLOT; its done follows, CANCELLED unless the whole
   answer came first.  Nothing happens where no call is in SLOT.  */
void mq_worker_stop (struct mq_worker *worker, uint32_t slot);
/* Sent once; where it is not confirmed the gate asks again.  A worker that
   is no model engine confirms at once.  */
void mq_worker_evict (struct mq_worker *worker, struct mq_id program);
/* STALE_FENCE where the engine checks the number and knows a higher one.  */
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
