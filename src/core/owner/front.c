/* front.c - callers' requests on their way to the partition's owner.

   A request is either waiting (for an owner to be known and connected, or
   for a pause to pass) or sent to one peer, which then serves it.  Only
   events of the serving peer count.  Whatever happens to that peer, the
   request goes back to waiting and is sent again; the owner makes that
   harmless (an open has the same derived id, a turn and a step the same
   key).  It ends with FINAL, a refusal that another owner can't mend, its
   deadline, or its caller's leaving.
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
wake_at (struct mq_front *front, uint64_t when_us)
{
  if (when_us != 0 && when_us < front->next_us)
    front->next_us = when_us;
}

/* Table of requests, sorted by handle.  */

static size_t
request_place (const struct mq_front *front, uint64_t handle)
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
  size_t place = request_place (front, handle);

  if (place == front->count || front->requests[place]->handle != handle)
    return NULL;
  return front->requests[place];
}

static void
insert_request (struct mq_front *front, struct front_request *request)
{
  size_t place = request_place (front, request->handle);

  if (front->count == front->room)
    {
      front->room = front->room == 0 ? FIRST_ROOM : 2 * front->room;
      front->requests = mq_check_alloc (talloc_realloc (
          front, front->requests, struct front_request *, front->room));
    }
  memmove (&front->requests[place + 1], &front->requests[place],
           (front->count - place) * sizeof (struct front_request *));
  front->requests[place] = request;
  front->count++;
  front->bytes += request->bytes;
}

void
front_remove_request (struct mq_front *front, struct front_request *request)
{
  size_t place = request_place (front, request->handle);

  front->count--;
  front->bytes -= request->bytes;
  memmove (&front->requests[place], &front->requests[place + 1],
           (front->count - place) * sizeof (struct front_request *));
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
  struct front_peer *row;
  const struct front_peer *older = find_address (front, address);

  if (older != NULL)
    remove_peer (front, older->peer);
  if (front->peer_count == front->peer_room)
    {
      front->peer_room
          = front->peer_room == 0 ? FIRST_ROOM : 2 * front->peer_room;
      front->peers = mq_check_alloc (talloc_realloc (
          front, front->peers, struct front_peer, front->peer_room));
    }
  row = &front->peers[front->peer_count++];
  row->peer = peer;
  row->address = mq_check_alloc (talloc_strdup (front, address));
}

static const char *
map_address (const struct mq_front *front, const struct front_request *request)
{
  return front->lookup.owner_address (front->lookup.data, request->partition);
}

/* Sets *PEER to the connection of the owner at ADDRESS.  */
static bool
reach (const struct mq_front *front, const char *address, uint32_t *peer)
{
  const struct front_peer *row;

  if (address == NULL)
    return false;
  if (address[0] == '\0')
    {
      *peer = MQ_PEER_SELF;
      return true;
    }
  row = find_address (front, address);
  if (row == NULL)
    return false;
  *peer = row->peer;
  return true;
}

/* Events to the caller.  */

void
front_give_event (struct mq_actions *actions, const struct mq_event_msg *event)
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
give_refusal (struct mq_front *front, struct mq_actions *actions,
              uint64_t handle, enum mq_error_type error, enum mq_ran ran)
{
  struct mq_event_msg event = { .handle = handle, .type = MQ_EVENT_REFUSED };

  event.error = error;
  event.ran = ran;
  event.retry_after_ms = MQ_FRONT_RETRY_MAX_MS;
  front->counters.refusals++;
  front_give_event (actions, &event);
}

void
front_give_reset (struct mq_front *front, struct mq_actions *actions,
                  const struct front_request *request, uint32_t call)
{
  struct mq_event_msg event
      = { .handle = request->handle, .type = MQ_EVENT_RESET };

  event.call = call;
  event.number = call << CALL_SHIFT;
  event.body
      = mq_check_alloc (talloc_asprintf (actions, "{\"call\":%u}", call));
  front->counters.resets++;
  front_give_event (actions, &event);
}

/* Sending.  */

static void
send_close (struct mq_actions *actions, const struct front_request *request)
{
  struct mq_message message = { .type = MQ_MSG_FORWARD_CLOSE };

  message.u.forward_close.handle = request->handle;
  mq_actions_send (actions, request->peer, &message);
}

/* Back to waiting, for a jittered pause that doubles each time.  */
void
front_wait_again (struct mq_front *front, struct front_request *request,
                  uint64_t now_us, uint32_t at_least_ms)
{
  uint32_t pause_ms = request->pause_ms;

  request->sent = false;
  if (pause_ms < at_least_ms)
    pause_ms = at_least_ms;
  if (pause_ms > MQ_FRONT_RETRY_MAX_MS)
    pause_ms = MQ_FRONT_RETRY_MAX_MS;
  request->next_us
      = now_us + (uint64_t)pause_ms * US_PER_MS / 2
        + mq_random_below (&front->random, pause_ms * US_PER_MS + 1);
  request->pause_ms = 2 * pause_ms;
  wake_at (front, request->next_us);
}

void
front_set_text (void *ctx, char **text, const char *value)
{
  talloc_free (*text);
  *text = value == NULL ? NULL : mq_check_alloc (talloc_strdup (ctx, value));
}

/* Sends the request to the host that a refusal named, else to the owner by
   the map; waits when neither is connected.  */
static void
try_send (struct mq_front *front, struct front_request *request,
          uint64_t now_us, struct mq_actions *actions)
{
  struct mq_message message = { .type = MQ_MSG_FORWARD };
  const char *address = map_address (front, request);
  bool found = reach (front, request->hint, &request->peer);

  front_set_text (request, &request->hint, NULL);
  if (!found)
    found = reach (front, address, &request->peer);
  if (!found)
    {
      front->counters.waits++;
      front_wait_again (front, request, now_us, 0);
      return;
    }
  front_set_text (request, &request->known, address);
  if (request->sent_ever)
    front->counters.resends++;
  front->counters.forwards++;
  request->attached_anew = request->sent_ever;
  request->sent = true;
  request->sent_ever = true;
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
      give_refusal (front, actions, input->handle, MQ_ERR_OVERLOADED,
                    MQ_RAN_NOT_RUN);
      return;
    }
  request = mq_check_alloc (talloc_zero (front, struct front_request));
  request->handle = input->handle;
  request->partition = input->partition;
  request->deadline_us = input->deadline_us;
  request->bytes = bytes;
  request->pause_ms = MQ_FRONT_RETRY_BASE_MS;
  request->last = input->u.request->after;
  mq_request_copy (request, &request->request, input->u.request);
  insert_request (front, request);
  wake_at (front, request->deadline_us);
  if (front->check_us == 0)
    front->check_us = input->now_us + (uint64_t)MQ_FRONT_CHECK_MS * US_PER_MS;
  wake_at (front, front->check_us);
  try_send (front, request, input->now_us, actions);
}

/* Peers come and go.  */

static void
handle_peer_up (struct mq_front *front, const struct mq_front_input *input)
{
  add_peer (front, input->peer, input->u.address);
  for (size_t i = 0; i < front->count; i++)
    {
      struct front_request *request = front->requests[i];
      uint64_t soon_us
          = input->now_us
            + mq_random_below (&front->random,
                               MQ_FRONT_RETRY_BASE_MS * US_PER_MS + 1);

      if (request->sent || request->next_us <= soon_us)
        continue;
      request->next_us = soon_us;
      wake_at (front, soon_us);
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
        front_wait_again (front, request, input->now_us, 0);
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

/* Time.  */

static void
give_up (struct mq_front *front, struct front_request *request,
         struct mq_actions *actions)
{
  front->counters.timeouts++;
  if (request->sent)
    send_close (actions, request);
  if (request->sent_ever)
    give_refusal (front, actions, request->handle, MQ_ERR_TIMEOUT,
                  MQ_RAN_UNKNOWN);
  else
    give_refusal (front, actions, request->handle, MQ_ERR_NOT_READY,
                  MQ_RAN_NOT_RUN);
  front_remove_request (front, request);
}

/* The map shows another owner than when the request was sent, and it is not
   the one that serves it.  */
static bool
owner_moved (const struct mq_front *front, const struct front_request *request)
{
  const char *address = map_address (front, request);
  uint32_t peer;

  if (!reach (front, address, &peer) || peer == request->peer)
    return false;
  return request->known == NULL || strcmp (request->known, address) != 0;
}

/* An owner that lost its partition stops and says nothing, and its
   connection stays up: the caller would wait for ever.  The map's change
   shows it; the request follows.  Should the map be behind, the new owner
   refuses with a hint.  */
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
      give_up (front, request, actions);
      return;
    }
  wake_at (front, request->deadline_us);
  if (!request->sent && now_us >= request->next_us)
    try_send (front, request, now_us, actions);
  else if (!request->sent)
    wake_at (front, request->next_us);
  else if (check)
    follow_owner (front, request, now_us, actions);
}

static void
handle_tick (struct mq_front *front, uint64_t now_us,
             struct mq_actions *actions)
{
  bool check = front->check_us != 0 && now_us >= front->check_us;

  front->next_us = UINT64_MAX;
  if (check)
    front->check_us = now_us + (uint64_t)MQ_FRONT_CHECK_MS * US_PER_MS;
  /* From the end: giving up a request closes the gap behind it.  */
  for (size_t i = front->count; i > 0; i--)
    tick_request (front, front->requests[i - 1], now_us, check, actions);
  if (front->count == 0)
    front->check_us = 0;
  wake_at (front, front->check_us);
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
