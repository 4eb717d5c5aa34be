/* router_stream.c - forwards a worker's event stream to the caller.

   Only complete events are forwarded; their tokens are counted, and their data
   is recorded for the turn.
   Needs: router_request.h.  */

#include "router_request.h"
#include "net/clock.h"
#include <string.h>

/* Reports the delay of the first event to the fleet.  Valid only during an
   attempt, since the worker may be freed afterwards.  */
static void
record_delay (const struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();

  mq_fleet_record_delay (request->router->fleet, request->worker,
                         (uint32_t)(now - request->sent_ms),
                         request->route->objective_ms, now);
}

static void
begin_stream (struct mq_request *request)
{
  if (request->response_begun)
    return;
  request->response_begun = true;
  if (request->try != NULL)
    {
      mq_try_response_begun (request->try);
      record_delay (request);
      request_note_worker_load (request);
    }
  mq_caller_begin_stream (request->caller, request->answer.status,
                          mq_buffer_text (&request->answer.fields));
}

static void
record_event (struct mq_request *request, const struct mq_event *event)
{
  if (event->id_len > 0 && event->id_len < EVENT_ID_BYTES)
    {
      memcpy (request->last_event, event->id, event->id_len);
      request->last_event[event->id_len] = '\0';
    }
  if (!event->has_data)
    return;
  if (request->service_info != NULL)
    request->tokens_sent += request->service_info->tokens_per_event;
  if (!request->is_turn || !request->turn.retains)
    return;
  mq_buffer_append (request, &request->output, event->data, event->data_len,
                    MQ_CHAIN_MAX_BYTES);
  mq_buffer_append (request, &request->output, "\n", 1, MQ_CHAIN_MAX_BYTES);
}

static void
forward (struct mq_request *request, const struct mq_buffer *out)
{
  begin_stream (request);
  if (!mq_caller_send_chunk (request->caller, out->data + out->at, out->len)
      && request->try != NULL)
    mq_try_set_reading (request->try, false);
}

static void
send_events (struct mq_request *request, const struct mq_buffer *out)
{
  request_note_version (request);
  if (request->row_write != NULL)
    mq_buffer_add (request, &request->held, out->data + out->at, out->len);
  else
    forward (request, out);
}

void
request_on_row_written (struct mq_request *request, bool stored)
{
  struct mq_buffer held = request->held;

  if (!stored)
    {
      request_refuse (request, MQ_REFUSE_FAILED);
      return;
    }
  request->held = (struct mq_buffer){ NULL, 0, 0, 0 };
  forward (request, &held);
  mq_buffer_clear (&held);
  if (request->has_held_end)
    request_on_try_ended (request->held_end, request);
}

/* Forwards all complete events in one write.  */
void
request_forward_events (void *user)
{
  struct mq_request *request = user;
  struct mq_event event;
  struct mq_buffer out = { NULL, 0, 0, 0 };

  while (mq_response_next_event (&request->answer, &event))
    {
      record_event (request, &event);
      mq_buffer_add (request, &out, event.text, event.len);
    }
  if (out.len > 0)
    send_events (request, &out);
  mq_buffer_clear (&out);
}

/* Longer waits are caused by an outage of the table and do not count as
   load.  */
#define RECORD_WAIT_MAX_MS 1000U

/* Records how long the response end waited for the record of the turn.  */
static void
record_store_wait (struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();
  uint64_t wait = now - request->completed_ms;
  uint32_t objective = request->route->objective_ms;

  if (request->is_turn && request->turn.retains && objective > 0
      && wait <= RECORD_WAIT_MAX_MS)
    mq_recent_add (&request->router->record_wait, MQ_WORKER_NONE,
                   (uint32_t)(wait * MQ_FLEET_LOAD_FULL / objective), now);
}

void
request_finish_stream (struct mq_request *request)
{
  struct mq_caller *caller = request->caller;

  record_store_wait (request);
  request_record_pace (request);
  request_count_served (request);
  request_log_end (request, MQ_JSON_LOW_PRIORITY, "served",
                   request->answer.status);
  request_close (request);
  mq_caller_end_stream (caller);
}

/* A retained turn must be durable before its caller learns that it has
   ended.  */
void
request_end_stream (struct mq_request *request)
{
  const struct mq_buffer *output = &request->output;

  begin_stream (request);
  request->response_complete = true;
  request->completed_ms = mq_clock_ms ();
  if (request->is_turn)
    mq_turn_settle_budget (&request->turn, request->tokens_sent);
  if (request->is_turn && request->turn.retains)
    mq_turn_store (&request->turn, request->body,
                   (struct mq_bytes){ (uint8_t *)output->data + output->at,
                                      output->len });
  else
    request_finish_stream (request);
}
