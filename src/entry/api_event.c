/* api_event.c - turns the front's events into HTTP responses.

   Needs: api_state.h.  */

#include "core/memory.h"
#include "api_state.h"
#include <string.h>
#include <time.h>

static const char json_type[] = "application/json";
static const char event_type[] = "text/event-stream";

static void
begin_stream (struct mq_exchange *exchange)
{
  if (exchange->streaming)
    return;
  exchange->streaming = true;
  exchange->api->counters.streams++;
  mq_http_set_header (exchange->http, "Cache-Control", "no-store");
  mq_http_stream_begin (exchange->http, 200, event_type);
}

/* Writes TEXT to the stream and frees it.  Returns false if the stream was
   aborted; exchange_closed is called later.  */
static bool
write_stream (struct mq_exchange *exchange, char *text)
{
  bool written;

  begin_stream (exchange);
  written = mq_http_stream_write (exchange->http, text, strlen (text));
  talloc_free (text);
  /* More events may arrive before the connection is reported as closed; the
     slow reader is counted once.  */
  if (!written && !exchange->aborted)
    {
      exchange->aborted = true;
      exchange->api->counters.slow_readers++;
    }
  return written;
}

static void
finish_stream (struct mq_exchange *exchange, char *text)
{
  struct mq_http_request *http = exchange->http;

  if (write_stream (exchange, text))
    mq_http_stream_end (http);
}

static void
fill_refusal (const struct mq_exchange *exchange,
              const struct mq_event_msg *event, struct mq_api_refusal *refusal)
{
  mq_error_set (&refusal->error, event->error, "", "");
  refusal->ran = event->ran;
  refusal->retry_after_ms = event->retry_after_ms;
  refusal->program = exchange->plan->first.program;
}

static void
send_refusal (struct mq_exchange *exchange, const struct mq_event_msg *event)
{
  struct mq_api *api = exchange->api;
  struct mq_api_refusal refusal;

  fill_refusal (exchange, event, &refusal);
  if (!exchange->streaming)
    {
      mq_api_send_refusal (api, exchange->http, &refusal);
      return;
    }
  api->counters.refused++;
  if (exchange->plan->format == MQ_API_CHAT_STREAM)
    finish_stream (exchange, mq_api_chat_error (api, &refusal));
  else
    finish_stream (exchange, mq_api_sse (api, event, refusal.program));
}

/* Cancellation is a success for the caller that requested it.  */
static bool
is_requested_cancel (const struct mq_exchange *exchange,
                     const struct mq_event_msg *event)
{
  return exchange->plan->first.type == MQ_REQUEST_CANCEL
         && event->error == MQ_ERR_CANCELLED;
}

static void
answer_refused (struct mq_exchange *exchange, const struct mq_event_msg *event)
{
  exchange->pending = false;
  mq_exchange_record_span (exchange, event->error);
  if (is_requested_cancel (exchange, event))
    mq_respond_text (exchange->http, 200, json_type,
                     mq_api_program_json (
                         exchange, exchange->plan->first.program, "ended"));
  else
    {
      mq_exchange_count_refused (exchange, event);
      send_refusal (exchange, event);
    }
}

/* Refuses with BAD_ANSWER: the result cannot be converted to the requested
   format.  */
static void
refuse_bad_answer (struct mq_exchange *exchange)
{
  struct mq_event_msg event = { .type = MQ_EVENT_REFUSED };

  event.error = MQ_ERR_BAD_ANSWER;
  event.ran = MQ_RAN_RAN;
  send_refusal (exchange, &event);
}

static const char *
chat_model (const struct mq_exchange *exchange)
{
  const struct mq_api_plan *plan = exchange->plan;

  return plan->has_second ? plan->second.service : plan->first.service;
}

static void
answer_chat (struct mq_exchange *exchange, const char *final)
{
  struct mq_id program = exchange->plan->first.program;
  char *json = mq_api_chat_json (exchange, final, chat_model (exchange),
                                 program, time (NULL));

  if (json == NULL)
    refuse_bad_answer (exchange);
  else
    mq_respond_text (exchange->http, 200, json_type, json);
}

/* Sends the rest of the final text and [DONE] if the text sent so far is a
   prefix of it.  After a reset the text may differ; the stream then ends
   without [DONE].  */
static void
end_chat_stream (struct mq_exchange *exchange, const char *final)
{
  struct mq_id program = exchange->plan->first.program;
  const char *model = chat_model (exchange);
  size_t sent = strlen (exchange->streamed);
  int64_t now = time (NULL);
  char *content = mq_api_chat_content (exchange, final);

  if (strncmp (content, exchange->streamed, sent) != 0)
    {
      refuse_bad_answer (exchange);
      return;
    }
  if (content[sent] != '\0'
      && !write_stream (exchange,
                        mq_api_chat_token (exchange->api, content + sent,
                                           model, program, now)))
    return;
  finish_stream (exchange,
                 mq_api_chat_end (exchange->api, final, model, program, now));
}

static void
answer_final (struct mq_exchange *exchange, const struct mq_event_msg *event)
{
  exchange->pending = false;
  mq_exchange_record_span (exchange, MQ_ERR_NONE);
  mq_exchange_count_answered (exchange, event->body);
  switch (exchange->plan->format)
    {
    case MQ_API_JSON:
    case MQ_API_ACCEPT:
      mq_respond_text (exchange->http, 200, json_type, event->body);
      break;
    case MQ_API_CREATE:
      mq_respond_text (exchange->http, 201, json_type, event->body);
      break;
    case MQ_API_STREAM:
      finish_stream (exchange, mq_api_sse (exchange->api, event,
                                           exchange->plan->first.program));
      break;
    case MQ_API_CHAT:
      answer_chat (exchange, event->body);
      break;
    case MQ_API_CHAT_STREAM:
      end_chat_stream (exchange, event->body);
      break;
    }
}

/* Sends the second request; the program that it belongs to is durable.  */
static void
start_second (struct mq_exchange *exchange)
{
  exchange->second = true;
  mq_exchange_renew_handle (exchange);
  mq_exchange_send (exchange, &exchange->plan->second);
}

/* Responds with the id of a durable program.  */
static void
answer_accepted (struct mq_exchange *exchange)
{
  bool create = exchange->plan->format == MQ_API_CREATE;
  char *json = mq_api_program_json (exchange, exchange->plan->first.program,
                                    create ? "waiting" : "running");

  if (exchange->pending)
    mq_exchange_abandon (exchange);
  mq_exchange_record_span (exchange, MQ_ERR_NONE);
  mq_respond_text (exchange->http, create ? 201 : 202, json_type, json);
}

static void
handle_accepted (struct mq_exchange *exchange,
                 const struct mq_event_msg *event)
{
  switch (exchange->plan->format)
    {
    case MQ_API_ACCEPT:
    case MQ_API_CREATE:
      answer_accepted (exchange);
      break;
    case MQ_API_STREAM:
      write_stream (exchange, mq_api_sse (exchange->api, event,
                                          exchange->plan->first.program));
      break;
    case MQ_API_JSON:
    case MQ_API_CHAT:
    case MQ_API_CHAT_STREAM:
      break;
    }
}

static void
stream_chat_token (struct mq_exchange *exchange,
                   const struct mq_event_msg *event)
{
  if (exchange->withheld)
    return;
  exchange->streamed = mq_check_alloc (
      talloc_strdup_append_buffer (exchange->streamed, event->body));
  write_stream (exchange, mq_api_chat_token (exchange->api, event->body,
                                             chat_model (exchange),
                                             exchange->plan->first.program,
                                             time (NULL)));
}

/* Handles TOKEN, STEP and RESET events.  */
static void
handle_progress (struct mq_exchange *exchange,
                 const struct mq_event_msg *event)
{
  switch (exchange->plan->format)
    {
    case MQ_API_STREAM:
      write_stream (exchange, mq_api_sse (exchange->api, event,
                                          exchange->plan->first.program));
      break;
    case MQ_API_CHAT_STREAM:
      if (event->type == MQ_EVENT_RESET)
        exchange->withheld = true;
      else if (event->type == MQ_EVENT_TOKEN)
        stream_chat_token (exchange, event);
      break;
    case MQ_API_JSON:
    case MQ_API_ACCEPT:
    case MQ_API_CREATE:
    case MQ_API_CHAT:
      break;
    }
}

/* Handles an event of the first of two requests; sends the second one when
   the program is durable.  */
static bool
handle_first (struct mq_exchange *exchange, const struct mq_event_msg *event)
{
  if (!exchange->plan->has_second || exchange->second
      || event->type == MQ_EVENT_REFUSED)
    return false;
  if (event->type == MQ_EVENT_FINAL)
    exchange->pending = false;
  else if (event->type == MQ_EVENT_ACCEPTED)
    mq_exchange_abandon (exchange);
  else
    return true;
  start_second (exchange);
  return true;
}

void
mq_api_event (struct mq_api *api, const struct mq_event_msg *event)
{
  struct mq_exchange *exchange = mq_exchange_find (api, event->handle);

  if (exchange == NULL || !exchange->pending)
    {
      api->counters.events_unknown++;
      return;
    }
  if (handle_first (exchange, event))
    return;
  switch (event->type)
    {
    case MQ_EVENT_ACCEPTED:
      handle_accepted (exchange, event);
      break;
    case MQ_EVENT_TOKEN:
    case MQ_EVENT_STEP:
    case MQ_EVENT_RESET:
      handle_progress (exchange, event);
      break;
    case MQ_EVENT_FINAL:
      answer_final (exchange, event);
      break;
    case MQ_EVENT_REFUSED:
      answer_refused (exchange, event);
      break;
    }
}
