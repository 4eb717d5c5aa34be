/* front_events.c - what the owner of a program tells, passed on to its caller.

   Needs: front_state.h.  */

#include "front_state.h"
#include "../limits.h"

/* Events of the owner.  */

static uint32_t
call_of (uint32_t number)
{
  return number >> CALL_SHIFT;
}

/* True when the caller holds tokens of CALL that no STEP has closed.  */
static bool
holds_tokens (const struct front_request *request, uint32_t call)
{
  uint32_t mark = request->last & STEP_EVENT_INDEX;

  return call_of (request->last) == call && mark != 0
         && mark != STEP_EVENT_INDEX;
}

static void
pass (struct front_request *request, const struct mq_event_msg *event,
      struct mq_actions *actions)
{
  if (event->number != 0)
    request->last = event->number;
  request->pause_ms = MQ_FRONT_RETRY_BASE_MS;
  front_send_event (actions, event);
}

static bool
already_given (const struct front_request *request,
               const struct mq_event_msg *event)
{
  return event->number != 0 && event->number <= request->last;
}

/* The owner died in the middle of an answer.  The next one runs that call
   again, with other words from the first one on, or takes up the stream at
   a later token; either way its tokens do not continue what the caller has.
   So that is declared void before anything else of the answer comes.  */
static void
void_cut_answer (struct mq_front *front, struct front_request *request,
                 struct mq_actions *actions)
{
  uint32_t call = call_of (request->last);

  if (request->reattached && holds_tokens (request, call))
    {
      front_send_reset (front, actions, request, call);
      request->last = call << CALL_SHIFT;
    }
  request->reattached = false;
}

/* True when EVENT is the first token of its call, or the one behind the last
   that the caller has.  */
static bool
continues (const struct front_request *request,
           const struct mq_event_msg *event)
{
  return (event->number & STEP_EVENT_INDEX) == 1
         || event->number == request->last + 1;
}

/* An owner keeps no tokens: to a request that comes in the middle of a call
   it gives the rest of the call's tokens.  The text without its beginning
   would pass for the whole, so it is left out, up to the call's end or its
   new start.  */
static void
handle_token (struct mq_front *front, struct front_request *request,
              const struct mq_event_msg *event, struct mq_actions *actions)
{
  void_cut_answer (front, request, actions);
  if (already_given (request, event))
    front->counters.events_doubled++;
  else if (!continues (request, event))
    front->counters.events_partial++;
  else
    pass (request, event, actions);
}

static void
handle_step (struct mq_front *front, struct front_request *request,
             const struct mq_event_msg *event, struct mq_actions *actions)
{
  if (already_given (request, event))
    {
      front->counters.events_doubled++;
      return;
    }
  void_cut_answer (front, request, actions);
  pass (request, event, actions);
}

/* The owner itself started the call again.  */
static void
handle_reset (struct mq_front *front, struct front_request *request,
              const struct mq_event_msg *event, struct mq_actions *actions)
{
  request->reattached = false;
  if (!holds_tokens (request, event->call))
    {
      front->counters.events_doubled++;
      return;
    }
  front->counters.resets++;
  front_send_event (actions, event);
  request->last = event->call << CALL_SHIFT;
}

static void
handle_accepted (struct mq_front *front, struct front_request *request,
                 const struct mq_event_msg *event, struct mq_actions *actions)
{
  if (request->accepted)
    {
      front->counters.events_doubled++;
      return;
    }
  request->accepted = true;
  pass (request, event, actions);
}

/* Another owner, or the same one later, can still serve the request.  */
static bool
can_go_elsewhere (const struct mq_event_msg *event)
{
  if (event->ran != MQ_RAN_NOT_RUN)
    return false;
  return event->error == MQ_ERR_NOT_READY || event->error == MQ_ERR_STALE_FENCE
         || event->error == MQ_ERR_LEAVING
         || event->error == MQ_ERR_WRONG_REGION;
}

static void
handle_refused (struct mq_front *front, struct front_request *request,
                const struct mq_front_input *input, struct mq_actions *actions)
{
  const struct mq_event_msg *event = input->u.event;

  if (!can_go_elsewhere (event))
    {
      front->counters.refusals++;
      front_send_event (actions, event);
      front_remove_request (front, request);
      return;
    }
  front->counters.redirects++;
  if (front_text_bytes (event->redirect) > 0)
    front_set_text (request, &request->hint, event->redirect);
  front_schedule_retry (front, request, input->now_us, event->retry_after_ms);
}

void
front_handle_event (struct mq_front *front, const struct mq_front_input *input,
                    struct mq_actions *actions)
{
  const struct mq_event_msg *event = input->u.event;
  struct front_request *request = front_find_request (front, event->handle);

  /* An owner that was paused or cut off goes on answering when it comes
     back, after the request went to its successor.  Taken in, its events
     would mix with the successor's.  */
  if (request == NULL || !request->sent || request->peer != input->peer)
    {
      front->counters.events_foreign++;
      return;
    }
  switch (event->type)
    {
    case MQ_EVENT_ACCEPTED:
      handle_accepted (front, request, event, actions);
      break;
    case MQ_EVENT_TOKEN:
      handle_token (front, request, event, actions);
      break;
    case MQ_EVENT_STEP:
      handle_step (front, request, event, actions);
      break;
    case MQ_EVENT_RESET:
      handle_reset (front, request, event, actions);
      break;
    case MQ_EVENT_FINAL:
      front->counters.finals++;
      front_send_event (actions, event);
      front_remove_request (front, request);
      break;
    case MQ_EVENT_REFUSED:
      handle_refused (front, request, input, actions);
      break;
    }
}
