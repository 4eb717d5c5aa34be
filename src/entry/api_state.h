/* api_state.h - what the parts of the API share; for src/entry only.

   api.c takes requests and asks the front; api_event.c gives the front's
   events to callers; api_latency.c measures what callers wait for.
   Needs: api.h, api_answer.h, api_plan.h, operator_http.h.  */

#ifndef MQ_API_STATE_H
#define MQ_API_STATE_H

#include "api.h"
#include "daemon/api_answer.h"
#include "api_plan.h"
#include "daemon/operator_http.h"

/**
 * struct mq_exchange - one caller's HTTP request until it has ended
 * @handle: its handle at the front, 0 when the slot is free
 * @slot: its place in the table
 * @http: the HTTP request
 * @plan: what is asked of the front
 * @asked: the front has a request of it
 * @second: the second request of the plan is under way
 * @streaming: the head of a streamed answer was sent
 * @cut_off: the stream was given up, as its reader was too slow
 * @streamed: OpenAI's stream: text given to the caller so far
 * @held: OpenAI's stream: tokens are held back after a reset
 * @start_us: when it came in
 */
struct mq_exchange
{
  uint64_t handle;
  uint32_t slot;
  struct mq_api *api;
  struct mq_http_request *http;
  struct mq_api_plan *plan;
  bool asked;
  bool second;
  bool streaming;
  bool cut_off;
  char *streamed;
  bool held;
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

/* Answers with REFUSAL.  */
void mq_api_send_refusal (struct mq_api *api, struct mq_http_request *http,
                          const struct mq_api_refusal *refusal);

/* NULL when the exchange of HANDLE has ended.  */
struct mq_exchange *mq_exchange_find (const struct mq_api *api,
                                      uint64_t handle);
/* A new handle: events for the one before find nothing any more.  */
void mq_exchange_renew_handle (struct mq_exchange *exchange);
void mq_exchange_send (struct mq_exchange *exchange,
                       const struct mq_request_msg *request);
/* What the front still has of the exchange is not wanted any more.  */
void mq_exchange_abandon (struct mq_exchange *exchange);
/* The hop between the caller's request and its answer has ended.  */
void mq_exchange_record_span (const struct mq_exchange *exchange,
                              enum mq_error_type error);

/* Each counts the end of a program that the caller waited for; BODY is that
   of the answer.  */
void mq_exchange_count_answered (const struct mq_exchange *exchange,
                                 const char *body);
void mq_exchange_count_refused (const struct mq_exchange *exchange,
                                const struct mq_event_msg *event);
void mq_exchange_count_disconnected (const struct mq_exchange *exchange);

#endif
