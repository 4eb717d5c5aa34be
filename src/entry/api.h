/* api.h - callers' and operators' HTTP on an entry host.

   Turns HTTP requests into requests for the front (front.h) and the events
   of their answers into JSON or server-sent events.  docs/API.md is the
   reference.  Decides nothing about programs.
   Needs: http_server.h, text.h, message.h, jansson, gnutls.  */

#ifndef MQ_API_H
#define MQ_API_H

#include "core/action.h"
#include "core/latency.h"
#include "core/text/text.h"
#include "net/http_server.h"

struct mq_api;

/**
 * struct mq_api_callbacks - what the daemon does for the API
 * @request: a caller's request; its events come back by mq_api_event with
 *           the same handle; given up after @wait_ms
 * @gone: the caller of @handle went away or has all it wanted
 * @drain: the operator asks for a planned stop
 * @metrics: Prometheus text below CTX
 * @status: JSON object text below CTX
 * @spans: JSON array text of PROGRAM's hops below CTX
 * @span: the hop between a caller's request and its answer has ended
 * @ready: a configuration and a map of owners are there
 * @now_us: the daemon's monotonic clock
 *
 * mq_api_event may be called from within @request.
 */
struct mq_api_callbacks
{
  void (*request) (uint64_t handle, uint32_t partition, uint32_t wait_ms,
                   const struct mq_request_msg *request, void *user);
  void (*gone) (uint64_t handle, void *user);
  void (*drain) (void *user);
  char *(*metrics) (TALLOC_CTX *ctx, void *user);
  char *(*status) (TALLOC_CTX *ctx, void *user);
  char *(*spans) (TALLOC_CTX *ctx, struct mq_id program, void *user);
  void (*span) (const struct mq_span *span, void *user);
  bool (*ready) (void *user);
  uint64_t (*now_us) (void *user);
  void *user;
};

/**
 * struct mq_api_options - fixed for the life of a process
 * @http: where to listen and within which bounds
 * @boot: random id of this run; goes into generated idempotency keys
 * @operator_key_hash: SHA-256 of the key that operators send
 */
struct mq_api_options
{
  struct mq_http_server_options http;
  uint64_t boot;
  uint8_t operator_key_hash[MQ_KEY_BYTES];
};

struct mq_api *mq_api_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                              const struct mq_api_options *options,
                              const struct mq_api_callbacks *callbacks,
                              struct mq_error *error);
void mq_api_destroy (struct mq_api *api);
uint16_t mq_api_port (const struct mq_api *api);
/* TEXT is borrowed until the next call; before the first one every caller
   is refused with NOT_READY.  */
void mq_api_set_text (struct mq_api *api, const struct mq_text *text);
/* One event of an answer, from the front.  */
void mq_api_event (struct mq_api *api, const struct mq_event_msg *event);
/* From now on new callers are refused with LEAVING; operators are served,
   and answers in progress go on.  */
void mq_api_drain (struct mq_api *api);
/* Closes the listening socket.  */
void mq_api_stop_accepting (struct mq_api *api);
/* HTTP requests that are not answered whole.  */
size_t mq_api_in_progress (const struct mq_api *api);

/* Counters, one name each, read by the daemon.  */
#define MQ_API_COUNTER_LIST(X)                                                \
  X (requests, "HTTP requests taken")                                         \
  X (refused, "HTTP requests answered with a typed refusal")                  \
  X (unauthorised, "HTTP requests without a valid key")                       \
  X (streams, "answers given as server-sent events")                          \
  X (slow_readers, "streams given up as the caller read too slowly")          \
  X (callers_gone, "callers that left before their answer ended")             \
  X (events_unknown, "events for no request of this host")

struct mq_api_counters
{
#define MQ_COUNTER_FIELD(name, help) uint64_t name;
  MQ_API_COUNTER_LIST (MQ_COUNTER_FIELD)
#undef MQ_COUNTER_FIELD
};

const struct mq_api_counters *mq_api_read_counters (const struct mq_api *api);
/* Latency of the programs whose callers waited here; see docs/MEASURES.md. */
const struct mq_latency *mq_api_latency (const struct mq_api *api);

#endif
