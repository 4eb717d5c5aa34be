/* router_stream.c - a worker's stream on its way to the caller.

   Whole events alone are passed on; a turn's tokens and text are counted and
   kept with them.
   Needs: router_request.h.  */

#include "router_request.h"
#include "net/clock.h"
#include <string.h>

/* How long its worker let it wait.  Only while the request is there: the
   worker may be forgotten with its end.  */
static void
note_wait (const struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();

  mq_fleet_begun (request->router->fleet, request->worker,
                  (uint32_t)(now - request->sent_ms),
                  request->route->objective_ms, now);
}

static void
begin_stream (struct mq_request *request)
{
  if (request->begun)
    return;
  request->begun = true;
  if (request->try != NULL)
    {
      mq_try_begun (request->try);
      note_wait (request);
    }
  mq_caller_begin (request->caller, request->answer.status,
                   mq_buffer_text (&request->answer.fields));
}

/* The turn was granted less than its most, and has no tokens left for another
   event.  */
static bool
is_over_budget (const struct mq_request *request)
{
  return request->is_turn && request->turn.granted < request->turn.most
         && request->turn.granted > 0
         && request->handed + request->service_info->tokens_per_event
                > request->turn.granted;
}

static void
note_event (struct mq_request *request, const struct mq_event *event)
{
  if (event->id_len > 0 && event->id_len < EVENT_ID_MAX)
    {
      memcpy (request->last_event, event->id, event->id_len);
      request->last_event[event->id_len] = '\0';
    }
  if (!event->has_data)
    return;
  if (request->service_info != NULL)
    request->handed += request->service_info->tokens_per_event;
  if (!request->is_turn || !request->turn.retains)
    return;
  mq_buffer_append (request, &request->output, event->data, event->data_len,
                    MQ_CHAIN_MAX_BYTES);
  mq_buffer_append (request, &request->output, "\n", 1, MQ_CHAIN_MAX_BYTES);
}

static void
give_events (struct mq_request *request, const struct mq_buffer *out)
{
  begin_stream (request);
  if (!mq_caller_part (request->caller, out->data + out->at, out->len))
    mq_try_read (request->try, false);
}

/* Whole events alone are passed on, in one write for all that came at once. */
void
request_pass_events (void *user)
{
  struct mq_request *request = user;
  struct mq_event event;
  struct mq_buffer out = { NULL, 0, 0, 0 };
  bool over = false;

  while (!over && mq_answer_next_event (&request->answer, &event))
    {
      over = event.has_data && is_over_budget (request);
      if (over)
        break;
      note_event (request, &event);
      mq_buffer_append (request, &out, event.text, event.len, SIZE_MAX);
    }
  if (out.len > 0)
    give_events (request, &out);
  mq_buffer_clear (&out);
  if (over)
    request_break_off (request, "over_budget");
}

/* A record that waited for longer tells of a table that was away, which is not
   a matter of load.  */
#define RECORD_WAIT_MOST_MS 1000U

/* How long the end of the answer waited for the turn's record.  */
static void
note_record (struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();
  uint64_t wait = now - request->ended_ms;
  uint32_t objective = request->route->objective_ms;

  if (request->is_turn && request->turn.retains && objective > 0
      && wait <= RECORD_WAIT_MOST_MS)
    mq_recent_add (&request->router->record_waits, MQ_WORKER_NONE,
                   (uint32_t)(wait * MQ_FLEET_LOAD_FULL / objective), now);
}

void
request_finish_stream (struct mq_request *request)
{
  struct mq_caller *caller = request->caller;

  note_record (request);
  request_note_served (request);
  request_log_end (request, MQ_JSON_LOW_PRIORITY, "served",
                   request->answer.status);
  request_close (request);
  mq_caller_end (caller);
}

/* A turn that may be continued must outlive every process before its caller
   may believe that it has ended.  */
void
request_end_stream (struct mq_request *request)
{
  const struct mq_buffer *output = &request->output;

  begin_stream (request);
  request->ended = true;
  request->ended_ms = mq_clock_ms ();
  if (request->is_turn)
    mq_turn_settle (&request->turn, request->handed);
  if (request->is_turn && request->turn.retains)
    mq_turn_keep (&request->turn, request->body,
                  (struct mq_bytes){ (uint8_t *)output->data + output->at,
                                     output->len });
  else
    request_finish_stream (request);
}
