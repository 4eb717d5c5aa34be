/* api.h - HTTP API of an entry host, for callers and operators.

   Translates HTTP requests into requests to the front (front.h), and the
   front's events into JSON responses or server-sent events.  Holds no
   program state.  docs/API.md is the reference.
   Needs: http_server.h, text.h, message.h, jansson, gnutls.  */

#ifndef MQ_API_H
#define MQ_API_H

#include "core/action.h"
#include "core/latency.h"
#include "core/text/text.h"
#include "net/http_server.h"

struct mq_api;

/**
 * struct mq_api_callbacks - functions that the daemon provides to the API
 * @request: sends a caller's request to the front; its events are returned
 *           through mq_api_event with the same handle; times out after
 *           wait_ms
 * @gone: the caller of handle disconnected or needs no further events
 * @drain: an operator requested a graceful shutdown
 * @metrics: returns metrics in Prometheus text format, owned by ctx
 * @status: returns the text of a JSON object, owned by ctx
 * @spans: returns the text of a JSON array of program's spans, owned by ctx
 * @span: records the span between a caller's request and its response
 * @ready: true once a configuration and a map of partition owners are loaded
 * @now_us: monotonic clock
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
 * struct mq_api_options - settings that stay fixed while the process runs
 * @http: listening address and limits
 * @boot: random id of this process; part of generated idempotency keys
 * @operator_key_hash: SHA-256 of the operators' API key
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
/* Sets the configuration.  TEXT is borrowed until the next call.  Before the
   first call, requests of callers are refused with NOT_READY.  */
void mq_api_set_text (struct mq_api *api, const struct mq_text *text);
/* Handles an event from the front.  */
void mq_api_event (struct mq_api *api, const struct mq_event_msg *event);
/* Refuses new requests of callers with LEAVING.  Requests in progress and
   operators are still served.  */
void mq_api_drain (struct mq_api *api);
/* Closes the listening socket.  */
void mq_api_stop_accepting (struct mq_api *api);
/* Closes the connections without a request; true once none is open.  */
bool mq_api_close_idle (struct mq_api *api);
/* Number of HTTP requests whose response is incomplete.  */
size_t mq_api_in_progress (const struct mq_api *api);

/* Counters: name and help text.  */
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
/* Latency of programs whose callers waited for the result on this host; see
   docs/MEASURES.md.  */
const struct mq_latency *mq_api_latency (const struct mq_api *api);

#endif
