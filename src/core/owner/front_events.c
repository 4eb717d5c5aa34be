/* front_events.c - forwards the owner's events to callers.

   Needs: front_state.h.  */

#include "front_state.h"
#include "../limits.h"

static uint32_t
call_of (uint32_t number)
{
  return number >> CALL_SHIFT;
}

/* True when the caller has tokens of CALL but not its STEP.  */
static bool
has_partial_answer (const struct front_request *request, uint32_t call)
{
  uint32_t index = request->last_event & STEP_EVENT_INDEX;

  return call_of (request->last_event) == call && index != 0
         && index != STEP_EVENT_INDEX;
}

static void
forward_event (struct front_request *request, const struct mq_event_msg *event,
               struct mq_actions *actions)
{
  if (event->number != 0)
    request->last_event = event->number;
  request->backoff_ms = MQ_FRONT_RETRY_BASE_MS;
  front_send_event (actions, event);
}

static bool
is_duplicate (const struct front_request *request,
              const struct mq_event_msg *event)
{
  return event->number != 0 && event->number <= request->last_event;
}

/* Sends RESET for a call that was streaming when the request was resent.  The
   new owner either repeats the call or resumes the stream at a later token,
   so its tokens do not continue those that the caller has.  */
static void
reset_partial_answer (struct mq_front *front, struct front_request *request,
                      struct mq_actions *actions)
{
  uint32_t call = call_of (request->last_event);

  if (request->reattached && has_partial_answer (request, call))
    {
      front_send_reset (front, actions, request, call);
      request->last_event = call << CALL_SHIFT;
    }
  request->reattached = false;
}

/* True when EVENT is the first token of its call or follows the last event
   sent to the caller.  */
static bool
is_contiguous (const struct front_request *request,
               const struct mq_event_msg *event)
{
  return (event->number & STEP_EVENT_INDEX) == 1
         || event->number == request->last_event + 1;
}

/* Drops tokens after a gap.  Owners do not store tokens, so a request
   attached during a call receives only the rest of them, which the caller
   would take for the complete text.  */
static void
handle_token (struct mq_front *front, struct front_request *request,
              const struct mq_event_msg *event, struct mq_actions *actions)
{
  reset_partial_answer (front, request, actions);
  if (is_duplicate (request, event))
    front->counters.events_doubled++;
  else if (!is_contiguous (request, event))
    front->counters.events_partial++;
  else
    forward_event (request, event, actions);
}

static void
handle_step (struct mq_front *front, struct front_request *request,
             const struct mq_event_msg *event, struct mq_actions *actions)
{
  if (is_duplicate (request, event))
    {
      front->counters.events_doubled++;
      return;
    }
  reset_partial_answer (front, request, actions);
  forward_event (request, event, actions);
}

/* The owner repeats the call.  */
static void
handle_reset (struct mq_front *front, struct front_request *request,
              const struct mq_event_msg *event, struct mq_actions *actions)
{
  request->reattached = false;
  if (!has_partial_answer (request, event->call))
    {
      front->counters.events_doubled++;
      return;
    }
  front->counters.resets++;
  front_send_event (actions, event);
  request->last_event = event->call << CALL_SHIFT;
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
  forward_event (request, event, actions);
}

/* True when another owner, or the same one later, can serve the request.  */
static bool
is_retryable (const struct mq_event_msg *event)
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

  if (!is_retryable (event))
    {
      front->counters.refusals++;
      front_send_event (actions, event);
      front_remove_request (front, request);
      return;
    }
  front->counters.redirects++;
  if (front_text_bytes (event->redirect) > 0)
    front_set_text (request, &request->redirect_address, event->redirect);
  front_schedule_retry (front, request, input->now_us, event->retry_after_ms);
}

void
front_handle_event (struct mq_front *front, const struct mq_front_input *input,
                    struct mq_actions *actions)
{
  const struct mq_event_msg *event = input->u.event;
  struct front_request *request = front_find_request (front, event->handle);

  /* A previous owner that was paused or disconnected may still send events
     after the request was resent; they must not mix with the new owner's.  */
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
