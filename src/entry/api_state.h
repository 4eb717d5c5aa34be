/* api_state.h - internal state of the API; for src/entry only.

   api.c accepts HTTP requests and sends them to the front; api_event.c turns
   the front's events into responses; api_latency.c records latency.
   Needs: api.h, api_answer.h, api_plan.h, operator_http.h.  */

#ifndef MQ_API_STATE_H
#define MQ_API_STATE_H

#include "api.h"
#include "daemon/api_answer.h"
#include "api_plan.h"
#include "daemon/operator_http.h"

/**
 * struct mq_exchange - one HTTP request of a caller and its response
 * @handle: handle at the front; 0 if the slot is free
 * @slot: index in the table of exchanges
 * @pending: a request is pending at the front
 * @second: the plan's second request was sent
 * @streaming: the head of a streamed response was sent
 * @aborted: the stream was aborted because the caller read too slowly
 * @streamed: chat completion stream: text sent to the caller so far
 * @withheld: chat completion stream: tokens are withheld after a reset
 * @start_us: time of arrival, monotonic clock
 */
struct mq_exchange
{
  uint64_t handle;
  uint32_t slot;
  struct mq_api *api;
  struct mq_http_request *http;
  struct mq_api_plan *plan;
  bool pending;
  bool second;
  bool streaming;
  bool aborted;
  char *streamed;
  bool withheld;
  uint64_t start_us;
};

struct mq_api
{
  struct mq_api_callbacks callbacks;
  struct mq_http_server *server;
  const struct mq_text *text;
  uint64_t boot;
  struct mq_operator_http operators;
  bool leaving;
  struct mq_exchange **slots;
  size_t slot_count;
  size_t live;
  uint32_t next_slot;
  uint64_t serial;
  struct mq_api_counters counters;
  struct mq_latency *latency;
};

/* Responds to HTTP with REFUSAL.  */
void mq_api_send_refusal (struct mq_api *api, struct mq_http_request *http,
                          const struct mq_api_refusal *refusal);

/* Returns NULL if the exchange of HANDLE has ended.  */
struct mq_exchange *mq_exchange_find (const struct mq_api *api,
                                      uint64_t handle);
/* Assigns a new handle.  Later events for the previous handle are ignored. */
void mq_exchange_renew_handle (struct mq_exchange *exchange);
void mq_exchange_send (struct mq_exchange *exchange,
                       const struct mq_request_msg *request);
/* Tells the front that the exchange needs no further events.  */
void mq_exchange_abandon (struct mq_exchange *exchange);
/* Records the span between the caller's request and its response.  */
void mq_exchange_record_span (const struct mq_exchange *exchange,
                              enum mq_error_type error);

/* Each records the latency of a program whose result the caller waited for.
   BODY is the body of the response.  */
void mq_exchange_count_answered (const struct mq_exchange *exchange,
                                 const char *body);
void mq_exchange_count_refused (const struct mq_exchange *exchange,
                                const struct mq_event_msg *event);
void mq_exchange_count_disconnected (const struct mq_exchange *exchange);

#endif
