/* api_latency.c - latency of programs, as observed by the API.

   Needs: api_state.h, latency.h, id.h.  */

#include "core/id.h"
#include "api_state.h"

/* Whether the caller waits for the program's result.  False for requests
   that only create or read a program, or respond before it ends.  */
static bool
is_measured (const struct mq_exchange *exchange)
{
  const struct mq_api_plan *plan = exchange->plan;

  if (plan == NULL || plan->format == MQ_API_ACCEPT)
    return false;
  return plan->first.type == MQ_REQUEST_OPEN
         || plan->first.type == MQ_REQUEST_TURN;
}

/* Returns the latency series of the exchange.  The request of a turn names no
   service; it is read from the response BODY, which may be NULL.  */
static struct mq_latency_series *
find_series (const struct mq_exchange *exchange, const char *body)
{
  const struct mq_request_msg *request = &exchange->plan->first;
  struct mq_latency *latency = exchange->api->latency;
  struct mq_latency_series *series;
  char *service;

  if (request->type == MQ_REQUEST_OPEN)
    return mq_latency_find (latency, request->service,
                            !mq_id_is_zero (request->continues));
  service = mq_api_answer_service (latency, body);
  series = mq_latency_find (latency, service, true);
  talloc_free (service);
  return series;
}

void
mq_exchange_count_answered (const struct mq_exchange *exchange,
                            const char *body)
{
  struct mq_api *api = exchange->api;
  uint64_t now_us = api->callbacks.now_us (api->callbacks.user);

  if (is_measured (exchange))
    mq_histogram_add (&find_series (exchange, body)->answered,
                      now_us - exchange->start_us);
}

void
mq_exchange_count_refused (const struct mq_exchange *exchange,
                           const struct mq_event_msg *event)
{
  struct mq_latency_series *series;

  if (!is_measured (exchange))
    return;
  series = find_series (exchange, event->body);
  if (event->ran == MQ_RAN_NOT_RUN)
    series->refused++;
  else
    series->failed++;
}

void
mq_exchange_count_disconnected (const struct mq_exchange *exchange)
{
  if (is_measured (exchange))
    find_series (exchange, NULL)->gone++;
}

const struct mq_latency *
mq_api_latency (const struct mq_api *api)
{
  return api->latency;
}
