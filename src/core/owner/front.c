/* front.c - forwards callers' requests to the owner of their partition.

   A request is either waiting (for a known and connected owner, or for its
   backoff) or sent to one peer.  Events of other peers are dropped.  When
   the peer is lost or redirects, the request is resent; owners recognise
   repeats by the derived id of an open and the key of a turn or step.  A
   request ends with FINAL, a refusal that can't be retried, its deadline or
   the caller's disconnection.
   Needs: front.h, limits.h, id.h.  */

#include "front_state.h"
#include "../id.h"
#include "../limits.h"
#include "../memory.h"
#include <string.h>

struct mq_front *
mq_front_create (TALLOC_CTX *ctx, const struct mq_front_lookup *lookup,
                 uint64_t seed)
{
  struct mq_front *front = mq_check_alloc (talloc_zero (ctx, struct mq_front));

  front->lookup = *lookup;
  front->random = seed;
  front->next_us = UINT64_MAX;
  return front;
}

void
mq_front_destroy (struct mq_front *front)
{
  talloc_free (front);
}

static void
lower_next_tick (struct mq_front *front, uint64_t when_us)
{
  if (when_us != 0 && when_us < front->next_us)
    front->next_us = when_us;
}

/* Requests, sorted by handle.  */

static size_t
request_position (const struct mq_front *front, uint64_t handle)
{
  size_t low = 0;
  size_t high = front->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (front->requests[middle]->handle < handle)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

struct front_request *
front_find_request (const struct mq_front *front, uint64_t handle)
{
  size_t position = request_position (front, handle);

  if (position == front->count || front->requests[position]->handle != handle)
    return NULL;
  return front->requests[position];
}

static void
insert_request (struct mq_front *front, struct front_request *request)
{
  size_t position = request_position (front, request->handle);

  if (front->count == front->capacity)
    {
      front->capacity
          = front->capacity == 0 ? INITIAL_CAPACITY : 2 * front->capacity;
      front->requests = mq_check_alloc (talloc_realloc (
          front, front->requests, struct front_request *, front->capacity));
    }
  memmove (&front->requests[position + 1], &front->requests[position],
           (front->count - position) * sizeof (struct front_request *));
  front->requests[position] = request;
  front->count++;
  front->bytes += request->bytes;
}

void
front_remove_request (struct mq_front *front, struct front_request *request)
{
  size_t position = request_position (front, request->handle);

  front->count--;
  front->bytes -= request->bytes;
  memmove (&front->requests[position], &front->requests[position + 1],
           (front->count - position) * sizeof (struct front_request *));
  talloc_free (request);
}

/* Peers.  */

static const struct front_peer *
find_address (const struct mq_front *front, const char *address)
{
  for (size_t i = 0; i < front->peer_count; i++)
    if (strcmp (front->peers[i].address, address) == 0)
      return &front->peers[i];
  return NULL;
}

static void
remove_peer (struct mq_front *front, uint32_t peer)
{
  for (size_t i = 0; i < front->peer_count; i++)
    if (front->peers[i].peer == peer)
      {
        talloc_free ((void *)front->peers[i].address);
        front->peers[i] = front->peers[--front->peer_count];
        return;
      }
}

static void
add_peer (struct mq_front *front, uint32_t peer, const char *address)
{
  struct front_peer *entry;
  const struct front_peer *existing = find_address (front, address);

  if (existing != NULL)
    remove_peer (front, existing->peer);
  if (front->peer_count == front->peer_capacity)
    {
      front->peer_capacity = front->peer_capacity == 0
                                 ? INITIAL_CAPACITY
                                 : 2 * front->peer_capacity;
      front->peers = mq_check_alloc (talloc_realloc (
          front, front->peers, struct front_peer, front->peer_capacity));
    }
  entry = &front->peers[front->peer_count++];
  entry->peer = peer;
  entry->address = mq_check_alloc (talloc_strdup (front, address));
}

static const char *
owner_address_of (const struct mq_front *front,
                  const struct front_request *request)
{
  return front->lookup.owner_address (front->lookup.data, request->partition);
}

/* Sets *PEER to the connection to ADDRESS; false when not connected.  */
static bool
find_owner_peer (const struct mq_front *front, const char *address,
                 uint32_t *peer)
{
  const struct front_peer *entry;

  if (address == NULL)
    return false;
  if (address[0] == '\0')
    {
      *peer = MQ_PEER_SELF;
      return true;
    }
  entry = find_address (front, address);
  if (entry == NULL)
    return false;
  *peer = entry->peer;
  return true;
}

/* Events to callers.  */

void
front_send_event (struct mq_actions *actions, const struct mq_event_msg *event)
{
  struct mq_action *action = mq_actions_add (actions, MQ_ACT_EVENT);
  struct mq_message from = { .type = MQ_MSG_FORWARD_EVENT };
  struct mq_message copy;

  from.u.event = *event;
  mq_message_copy (actions, &copy, &from);
  action->peer = MQ_PEER_SELF;
  action->u.event = copy.u.event;
}

static void
send_refusal (struct mq_front *front, struct mq_actions *actions,
              uint64_t handle, enum mq_error_type error, enum mq_ran ran)
{
  struct mq_event_msg event = { .handle = handle, .type = MQ_EVENT_REFUSED };

  event.error = error;
  event.ran = ran;
  event.retry_after_ms = MQ_FRONT_RETRY_MAX_MS;
  front->counters.refusals++;
  front_send_event (actions, &event);
}

void
front_send_reset (struct mq_front *front, struct mq_actions *actions,
                  const struct front_request *request, uint32_t call)
{
  struct mq_event_msg event
      = { .handle = request->handle, .type = MQ_EVENT_RESET };

  event.call = call;
  event.number = call << CALL_SHIFT;
  event.body
      = mq_check_alloc (talloc_asprintf (actions, "{\"call\":%u}", call));
  front->counters.resets++;
  front_send_event (actions, &event);
}

/* Sending.  */

static void
send_close (struct mq_actions *actions, const struct front_request *request)
{
  struct mq_message message = { .type = MQ_MSG_FORWARD_CLOSE };

  message.u.forward_close.handle = request->handle;
  mq_actions_send (actions, request->peer, &message);
}

/* Makes the request wait for a jittered exponential backoff.  */
void
front_schedule_retry (struct mq_front *front, struct front_request *request,
                      uint64_t now_us, uint32_t at_least_ms)
{
  uint32_t backoff_ms = request->backoff_ms;

  request->sent = false;
  if (backoff_ms < at_least_ms)
    backoff_ms = at_least_ms;
  if (backoff_ms > MQ_FRONT_RETRY_MAX_MS)
    backoff_ms = MQ_FRONT_RETRY_MAX_MS;
  request->next_us
      = now_us + (uint64_t)backoff_ms * US_PER_MS / 2
        + mq_random_below (&front->random, backoff_ms * US_PER_MS + 1);
  request->backoff_ms = 2 * backoff_ms;
  lower_next_tick (front, request->next_us);
}

void
front_set_text (void *ctx, char **text, const char *value)
{
  talloc_free (*text);
  *text = value == NULL ? NULL : mq_check_alloc (talloc_strdup (ctx, value));
}

/* Sends the request to the owner named by a redirect, else to the owner by
   the lookup.  Waits when neither is connected.  */
static void
try_send (struct mq_front *front, struct front_request *request,
          uint64_t now_us, struct mq_actions *actions)
{
  struct mq_message message = { .type = MQ_MSG_FORWARD };
  const char *address = owner_address_of (front, request);
  bool found
      = find_owner_peer (front, request->redirect_address, &request->peer);

  front_set_text (request, &request->redirect_address, NULL);
  if (!found)
    found = find_owner_peer (front, address, &request->peer);
  if (!found)
    {
      front->counters.waits++;
      front_schedule_retry (front, request, now_us, 0);
      return;
    }
  front_set_text (request, &request->known_address, address);
  if (request->sent_before)
    front->counters.resends++;
  front->counters.forwards++;
  request->reattached = request->sent_before;
  request->sent = true;
  request->sent_before = true;
  message.u.forward.handle = request->handle;
  message.u.forward.request = request->request;
  mq_actions_send (actions, request->peer, &message);
}

size_t
front_text_bytes (const char *text)
{
  return text == NULL ? 0 : strlen (text);
}

static void
handle_request (struct mq_front *front, const struct mq_front_input *input,
                struct mq_actions *actions)
{
  size_t bytes = sizeof (struct front_request)
                 + front_text_bytes (input->u.request->body);
  struct front_request *request;

  front->counters.requests++;
  if (front->count >= MQ_FRONT_REQUESTS_MAX
      || front->bytes + bytes > MQ_FRONT_BYTES_MAX)
    {
      send_refusal (front, actions, input->handle, MQ_ERR_OVERLOADED,
                    MQ_RAN_NOT_RUN);
      return;
    }
  request = mq_check_alloc (talloc_zero (front, struct front_request));
  request->handle = input->handle;
  request->partition = input->partition;
  request->deadline_us = input->deadline_us;
  request->bytes = bytes;
  request->backoff_ms = MQ_FRONT_RETRY_BASE_MS;
  request->last_event = input->u.request->after;
  mq_request_copy (request, &request->request, input->u.request);
  insert_request (front, request);
  lower_next_tick (front, request->deadline_us);
  if (front->owner_check_us == 0)
    front->owner_check_us
        = input->now_us + (uint64_t)MQ_FRONT_CHECK_MS * US_PER_MS;
  lower_next_tick (front, front->owner_check_us);
  try_send (front, request, input->now_us, actions);
}

/* Connections.  */

static void
handle_peer_up (struct mq_front *front, const struct mq_front_input *input)
{
  add_peer (front, input->peer, input->u.address);
  for (size_t i = 0; i < front->count; i++)
    {
      struct front_request *request = front->requests[i];
      uint64_t retry_us
          = input->now_us
            + mq_random_below (&front->random,
                               MQ_FRONT_RETRY_BASE_MS * US_PER_MS + 1);

      if (request->sent || request->next_us <= retry_us)
        continue;
      request->next_us = retry_us;
      lower_next_tick (front, retry_us);
    }
}

static void
handle_peer_down (struct mq_front *front, const struct mq_front_input *input)
{
  remove_peer (front, input->peer);
  for (size_t i = 0; i < front->count; i++)
    {
      struct front_request *request = front->requests[i];

      if (request->sent && request->peer == input->peer)
        front_schedule_retry (front, request, input->now_us, 0);
    }
}

static void
handle_caller_gone (struct mq_front *front, const struct mq_front_input *input,
                    struct mq_actions *actions)
{
  struct front_request *request = front_find_request (front, input->handle);

  if (request == NULL)
    return;
  front->counters.callers_gone++;
  if (request->sent)
    send_close (actions, request);
  front_remove_request (front, request);
}

/* Refusals.  */

/* A request that was sent to an owner may have run.  */
static void
refuse_request (struct mq_front *front, struct front_request *request,
                enum mq_error_type sent, enum mq_error_type not_sent,
                struct mq_actions *actions)
{
  if (request->sent)
    send_close (actions, request);
  if (request->sent_before)
    send_refusal (front, actions, request->handle, sent, MQ_RAN_UNKNOWN);
  else
    send_refusal (front, actions, request->handle, not_sent, MQ_RAN_NOT_RUN);
  front_remove_request (front, request);
}

static void
handle_stop (struct mq_front *front, struct mq_actions *actions)
{
  while (front->count > 0)
    refuse_request (front, front->requests[front->count - 1], MQ_ERR_LEAVING,
                    MQ_ERR_LEAVING, actions);
}

/* Timers.  */

static void
expire_request (struct mq_front *front, struct front_request *request,
                struct mq_actions *actions)
{
  front->counters.timeouts++;
  refuse_request (front, request, MQ_ERR_TIMEOUT, MQ_ERR_NOT_READY, actions);
}

/* True when the lookup gives another owner than when the request was sent,
   and that owner is not the peer that serves it.  */
static bool
owner_moved (const struct mq_front *front, const struct front_request *request)
{
  const char *address = owner_address_of (front, request);
  uint32_t peer;

  if (!find_owner_peer (front, address, &peer) || peer == request->peer)
    return false;
  return request->known_address == NULL
         || strcmp (request->known_address, address) != 0;
}

/* Resends the request after a change of owner.  An owner that lost the
   partition sends nothing more while its connection stays up, so the caller
   would wait for ever.  If the lookup is stale, the peer redirects.  */
static void
follow_owner (struct mq_front *front, struct front_request *request,
              uint64_t now_us, struct mq_actions *actions)
{
  if (!owner_moved (front, request))
    return;
  send_close (actions, request);
  front->counters.moves++;
  try_send (front, request, now_us, actions);
}

static void
tick_request (struct mq_front *front, struct front_request *request,
              uint64_t now_us, bool check, struct mq_actions *actions)
{
  if (request->deadline_us != 0 && now_us >= request->deadline_us)
    {
      expire_request (front, request, actions);
      return;
    }
  lower_next_tick (front, request->deadline_us);
  if (!request->sent && now_us >= request->next_us)
    try_send (front, request, now_us, actions);
  else if (!request->sent)
    lower_next_tick (front, request->next_us);
  else if (check)
    follow_owner (front, request, now_us, actions);
}

static void
handle_tick (struct mq_front *front, uint64_t now_us,
             struct mq_actions *actions)
{
  bool check = front->owner_check_us != 0 && now_us >= front->owner_check_us;

  front->next_us = UINT64_MAX;
  if (check)
    front->owner_check_us = now_us + (uint64_t)MQ_FRONT_CHECK_MS * US_PER_MS;
  /* In reverse order, since a timed-out request is removed.  */
  for (size_t i = front->count; i > 0; i--)
    tick_request (front, front->requests[i - 1], now_us, check, actions);
  if (front->count == 0)
    front->owner_check_us = 0;
  lower_next_tick (front, front->owner_check_us);
}

void
mq_front_handle (struct mq_front *front, const struct mq_front_input *input,
                 struct mq_actions *actions)
{
  switch (input->type)
    {
    case MQ_FRONT_TICK:
      handle_tick (front, input->now_us, actions);
      break;
    case MQ_FRONT_REQUEST:
      handle_request (front, input, actions);
      break;
    case MQ_FRONT_EVENT:
      front_handle_event (front, input, actions);
      break;
    case MQ_FRONT_PEER_UP:
      handle_peer_up (front, input);
      break;
    case MQ_FRONT_PEER_DOWN:
      handle_peer_down (front, input);
      break;
    case MQ_FRONT_CALLER_GONE:
      handle_caller_gone (front, input, actions);
      break;
    case MQ_FRONT_STOP:
      handle_stop (front, actions);
      break;
    }
}

uint64_t
mq_front_next_tick (const struct mq_front *front)
{
  return front->next_us;
}

size_t
mq_front_count (const struct mq_front *front)
{
  return front->count;
}

const struct mq_front_counters *
mq_front_read_counters (const struct mq_front *front)
{
  return &front->counters;
}
