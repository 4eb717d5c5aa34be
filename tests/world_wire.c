/* world_wire.c - connections between the simulated hosts.

   Each connection is FIFO.  Its ends detect that it is gone independently: at
   once if a process crashed, otherwise by timeout.  One end may thus keep an
   old connection open, and receive messages in transit there, while a new one
   is in use.
   Needs: world_state.h.  */

#include "world_state.h"

#define LINK_DELAY_MIN_US 300
#define LINK_DELAY_MAX_US 1200
#define RECONNECT_US (MQ_CONNECT_RETRY_MS * MS)

static bool
may_connect (const struct world *world, int a, int b)
{
  return world->hosts[a].role == MQ_HOST_ENTRY
         || world->hosts[b].role == MQ_HOST_ENTRY;
}

static int
other_end (int end)
{
  return 1 - end;
}

void
wire_connect_later (struct world *world, int a, int b, uint64_t in_us)
{
  int low = a < b ? a : b;
  int high = a < b ? b : a;
  struct world_event *event;

  if (!may_connect (world, low, high) || world->connecting[low][high]
      || world->current[low][high] != NO_HOST)
    return;
  world->connecting[low][high] = true;
  event = world_event_create (world, EVENT_CONNECT, NO_HOST);
  event->index = low;
  event->end = high;
  world_push (world, event, world->now_us + in_us);
}

static bool
is_responsive (const struct world *world, int host)
{
  return world->hosts[host].alive
         && world->hosts[host].paused_until_us <= world->now_us;
}

static void
push_wire_event (struct world *world, enum event_type type, int wire, int end,
                 uint64_t in_us)
{
  struct wire *w = &world->wires[wire];
  struct world_event *event = world_event_create (world, type, w->host[end]);
  uint64_t at_us = world->now_us + in_us;

  event->run = w->run[end];
  event->index = wire;
  event->end = end;
  /* Keep the order of earlier messages.  */
  if (at_us < w->last_us[end])
    at_us = w->last_us[end];
  w->last_us[end] = at_us;
  world_push (world, event, at_us);
}

static void
schedule_heartbeat (struct world *world, int wire)
{
  struct world_event *event
      = world_event_create (world, EVENT_HEARTBEAT, NO_HOST);

  event->index = wire;
  world_push (world, event, world->now_us + HEARTBEAT_INTERVAL_US);
}

static void
create_wire (struct world *world, int a, int b)
{
  int index = (int)world->wire_count++;
  struct wire *wire;

  world->wires = talloc_realloc (world, world->wires, struct wire,
                                 (unsigned int)world->wire_count);
  wire = &world->wires[index];
  *wire = (struct wire){ .host = { a, b }, .open = { true, true } };
  for (int end = 0; end < 2; end++)
    {
      wire->run[end] = world->hosts[wire->host[end]].run;
      wire->handle[end] = ++world->hosts[wire->host[end]].next_peer;
      wire->received_us[end] = world->now_us;
    }
  world->current[a][b] = index;
  world_trace (world, "wire %d: %s - %s", index, world->hosts[a].name,
               world->hosts[b].name);
  for (int end = 0; end < 2; end++)
    push_wire_event (
        world, EVENT_WIRE_UP, index, end,
        world_delay (world, LINK_DELAY_MIN_US, LINK_DELAY_MAX_US));
  schedule_heartbeat (world, index);
}

void
wire_connect (struct world *world, const struct world_event *event)
{
  int a = event->index;
  int b = event->end;

  world->connecting[a][b] = false;
  if (world->current[a][b] != NO_HOST || !world->hosts[a].alive
      || !world->hosts[b].alive)
    return; /* a starting host connects by itself */
  if (is_responsive (world, a) && is_responsive (world, b))
    create_wire (world, a, b);
  else
    wire_connect_later (world, a, b, RECONNECT_US);
}

static struct host *
peer_host (struct world *world, const struct wire *wire, int end)
{
  return &world->hosts[wire->host[other_end (end)]];
}

static void
notify_entry_connected (struct world *world, const struct wire *wire, int end)
{
  const struct host *peer = peer_host (world, wire, end);
  struct mq_owner_input owner
      = { .type = MQ_OWNER_PEER_UP, .now_us = world->now_us };
  struct mq_front_input front
      = { .type = MQ_FRONT_PEER_UP, .now_us = world->now_us };
  int host = wire->host[end];
  uint32_t run = wire->run[end];

  owner.peer = wire->handle[end];
  owner.u.peer_up.host = peer->name;
  owner.u.peer_up.role = peer->role;
  owner.u.peer_up.boot = peer->boot;
  world_owner_input (world, host, &owner);
  if (peer->role != MQ_HOST_ENTRY || !world_is_current_run (world, host, run))
    return;
  front.peer = wire->handle[end];
  front.u.address = peer->address;
  world_front_input (world, host, &front);
}

static void
notify_target_connected (struct world *world, const struct wire *wire, int end)
{
  struct mq_gate_input input
      = { .type = MQ_GATE_PEER_UP, .now_us = world->now_us };

  input.peer = wire->handle[end];
  world_gate_input (world, wire->host[end], &input);
}

void
wire_up (struct world *world, const struct world_event *event)
{
  struct wire wire = world->wires[event->index];
  struct mq_spread_input spread
      = { .type = MQ_SPREAD_PEER_UP, .now_us = world->now_us };

  if (!wire.open[event->end])
    return;
  /* The other end restarted after the handshake: the connection closes.  */
  if (!world_is_current_run (world, wire.host[other_end (event->end)],
                             wire.run[other_end (event->end)]))
    return;
  spread.peer = wire.handle[event->end];
  world_spread_input (world, event->host, &spread);
  if (!world_is_current_run (world, event->host, event->run))
    return;
  if (world->hosts[event->host].role == MQ_HOST_ENTRY)
    notify_entry_connected (world, &wire, event->end);
  else
    notify_target_connected (world, &wire, event->end);
}

static void
notify_entry_disconnected (struct world *world, int host, uint32_t handle)
{
  struct mq_owner_input owner
      = { .type = MQ_OWNER_PEER_DOWN, .now_us = world->now_us };
  struct mq_front_input front
      = { .type = MQ_FRONT_PEER_DOWN, .now_us = world->now_us };
  uint32_t run = world->hosts[host].run;

  owner.peer = handle;
  front.peer = handle;
  world_owner_input (world, host, &owner);
  if (world_is_current_run (world, host, run))
    world_front_input (world, host, &front);
}

/* Closes one end.  The other end is notified unless the connection is
   silent.  */
void
wire_down (struct world *world, const struct world_event *event)
{
  struct wire *wire = &world->wires[event->index];
  int a = wire->host[0];
  int b = wire->host[1];
  uint32_t handle = wire->handle[event->end];
  struct mq_spread_input spread
      = { .type = MQ_SPREAD_PEER_DOWN, .now_us = world->now_us };
  struct mq_gate_input gate
      = { .type = MQ_GATE_PEER_DOWN, .now_us = world->now_us };

  if (!wire->open[event->end])
    return;
  world_trace (world, "wire %d: closed at %s", event->index,
               world->hosts[event->host].name);
  wire->open[event->end] = false;
  if (world->current[a][b] == event->index)
    {
      world->current[a][b] = NO_HOST;
      wire_connect_later (world, a, b, RECONNECT_US);
    }
  if (wire->open[other_end (event->end)] && !wire->silent)
    push_wire_event (world, EVENT_WIRE_DOWN, event->index,
                     other_end (event->end), LINK_DELAY_MIN_US);
  spread.peer = handle;
  gate.peer = handle;
  world_spread_input (world, event->host, &spread);
  if (!world_is_current_run (world, event->host, event->run))
    return;
  if (world->hosts[event->host].role == MQ_HOST_ENTRY)
    notify_entry_disconnected (world, event->host, handle);
  else
    world_gate_input (world, event->host, &gate);
}

/* Heartbeats carry the other end's configuration version.  */
static void
receive_heartbeat (struct world *world, int index, int end)
{
  const struct wire *wire = &world->wires[index];
  struct mq_message message = { .type = MQ_MSG_NONE };
  struct mq_spread_input input
      = { .type = MQ_SPREAD_MESSAGE, .now_us = world->now_us };

  message.config_version = peer_host (world, wire, end)->version;
  input.peer = wire->handle[end];
  input.u.message = &message;
  world_spread_input (world, wire->host[end], &input);
}

static bool
sends_heartbeats (const struct world *world, const struct wire *wire, int end)
{
  return wire->open[end] && is_responsive (world, wire->host[end])
         && world_is_current_run (world, wire->host[end], wire->run[end]);
}

/* Exchanges heartbeats; an end that receives none until the timeout closes the
   connection.  */
void
wire_heartbeat (struct world *world, const struct world_event *event)
{
  int index = event->index;
  bool any = false;

  for (int end = 0; end < 2; end++)
    {
      struct wire *wire = &world->wires[index];

      if (!sends_heartbeats (world, wire, end))
        {
          any = any || wire->open[end];
          continue;
        }
      any = true;
      if (!wire->silent && sends_heartbeats (world, wire, other_end (end))
          && wire->last_us[end] <= world->now_us)
        {
          wire->received_us[end] = world->now_us;
          receive_heartbeat (world, index, end);
        }
      else if (world->now_us > wire->received_us[end] + PEER_TIMEOUT_US)
        {
          wire->received_us[end] = world->now_us;
          push_wire_event (world, EVENT_WIRE_DOWN, index, end,
                           world_delay (world, 1, 300 * MS));
        }
    }
  if (any)
    schedule_heartbeat (world, index);
}

/* Closes the connections of a crashed process.  Peers notice at once, or by
   timeout if the whole host failed (SILENTLY).  */
void
wire_host_crashed (struct world *world, int host, bool silently)
{
  for (size_t i = 0; i < world->wire_count; i++)
    {
      struct wire *wire = &world->wires[i];
      int end = wire->host[0] == host ? 0 : 1;

      if (wire->host[end] != host || !wire->open[end])
        continue;
      wire->open[end] = false;
      if (silently)
        wire->silent = true;
      else if (wire->open[other_end (end)])
        push_wire_event (world, EVENT_WIRE_DOWN, (int)i, other_end (end),
                         LINK_DELAY_MIN_US);
      if (world->current[wire->host[0]][wire->host[1]] == (int)i)
        world->current[wire->host[0]][wire->host[1]] = NO_HOST;
    }
}

void
wire_silence (struct world *world, struct wire *wire)
{
  world_trace (world, "%s - %s: drops all messages from now on",
               world->hosts[wire->host[0]].name,
               world->hosts[wire->host[1]].name);
  wire->silent = true;
}

/* ---- Sending and receiving ---- */

static int
find_wire (const struct world *world, int host, uint32_t handle, int *end)
{
  for (size_t i = world->wire_count; i > 0; i--)
    {
      const struct wire *wire = &world->wires[i - 1];

      for (int e = 0; e < 2; e++)
        if (wire->host[e] == host && wire->handle[e] == handle
            && wire->run[e] == world->hosts[host].run)
          {
            *end = e;
            return (int)(i - 1);
          }
    }
  return NO_HOST;
}

static void
push_message (struct world *world, int index, int end,
              const struct mq_message *message, uint64_t at_us)
{
  struct wire *wire = &world->wires[index];
  struct world_event *event
      = world_event_create (world, EVENT_MESSAGE, wire->host[end]);

  event->run = wire->run[end];
  event->index = index;
  event->end = end;
  event->message = talloc_zero (event, struct mq_message);
  mq_message_copy (event->message, event->message, message);
  if (at_us < wire->last_us[end])
    at_us = wire->last_us[end];
  wire->last_us[end] = at_us;
  world_push (world, event, at_us);
}

/* Delays a message on a connection that its sender has closed.  The
   receiver, which has not closed it, gets the message after those on the
   new connection.  */
static void
deliver_reordered (struct world *world, int index, int end,
                   const struct mq_message *message)
{
  push_message (world, index, end, message, world->now_us + LATE_DELAY_US);
  push_wire_event (world, EVENT_WIRE_DOWN, index, end, 50 * MS);
  push_wire_event (world, EVENT_WIRE_DOWN, index, other_end (end), 50 * MS);
  world->wires[index].silent = true;
}

static bool
drops_messages (const struct wire *wire, int sender)
{
  return wire->silent || !wire->open[sender] || !wire->open[1 - sender];
}

void
wire_send (struct world *world, int host, uint32_t handle,
           const struct mq_message *message)
{
  int end = 0;
  int index = find_wire (world, host, handle, &end);
  uint32_t run = world->hosts[host].run;
  uint64_t at_us = world->now_us
                   + world_delay (world, LINK_DELAY_MIN_US, LINK_DELAY_MAX_US);
  struct mq_message copy = *message;
  enum delivery_fault delivery_fault;

  if (index == NO_HOST)
    return;
  copy.config_version = world->hosts[host].version;
  fault_settle_script (world, host, message);
  if (!world_is_current_run (world, host, run))
    return;
  fault_message_step (world, host, &world->wires[index], message);
  delivery_fault = fault_next_message_delivery (world, host);
  if (!world_is_current_run (world, host, run)
      || world->hosts[host].actions_deferred)
    return;
  world_trace (world, "%s -> %s (wire %d): %s%s", world->hosts[host].name,
               world->hosts[world->wires[index].host[other_end (end)]].name,
               index, mq_message_name (message->type),
               drops_messages (&world->wires[index], end) ? ", dropped" : "");
  if (delivery_fault == DELIVERY_BLACKHOLED)
    wire_silence (world, &world->wires[index]);
  if (drops_messages (&world->wires[index], end))
    return;
  if (delivery_fault == DELIVERY_REORDERED)
    {
      deliver_reordered (world, index, other_end (end), &copy);
      return;
    }
  if (delivery_fault == DELIVERY_DELAYED)
    at_us += LATE_DELAY_US;
  push_message (world, index, other_end (end), &copy, at_us);
  if (delivery_fault == DELIVERY_DUPLICATED)
    push_message (world, index, other_end (end), &copy, at_us + 2 * MS);
}

static void
record_arrival (struct world *world, int host, const struct mq_call_ref *ref)
{
  struct arrival *arrival;

  for (size_t i = 0; i < world->arrival_count; i++)
    if (world->arrivals[i].host == host
        && world->arrivals[i].run == world->hosts[host].run
        && world->arrivals[i].ref.call == ref->call
        && world->arrivals[i].ref.attempt == ref->attempt
        && mq_id_equal (world->arrivals[i].ref.program, ref->program))
      return;
  world->arrivals = talloc_realloc (world, world->arrivals, struct arrival,
                                    (unsigned int)world->arrival_count + 1);
  arrival = &world->arrivals[world->arrival_count++];
  arrival->host = host;
  arrival->run = world->hosts[host].run;
  arrival->ref = *ref;
  arrival->at_us = world->now_us;
}

static void
target_message (struct world *world, const struct world_event *event)
{
  struct mq_gate_input input
      = { .type = MQ_GATE_MESSAGE, .now_us = world->now_us };

  input.peer = world->wires[event->index].handle[event->end];
  input.u.message = event->message;
  if (event->message->type == MQ_MSG_CALL)
    record_arrival (world, event->host, &event->message->u.call.ref);
  world_gate_input (world, event->host, &input);
}

static void
entry_message (struct world *world, const struct world_event *event)
{
  const struct mq_message *message = event->message;
  struct mq_owner_input owner = { .now_us = world->now_us };
  struct mq_front_input front
      = { .type = MQ_FRONT_EVENT, .now_us = world->now_us };

  owner.peer = world->wires[event->index].handle[event->end];
  front.peer = owner.peer;
  switch (message->type)
    {
    case MQ_MSG_FORWARD:
      owner.type = MQ_OWNER_REQUEST;
      owner.handle = message->u.forward.handle;
      owner.u.request = &message->u.forward.request;
      world_owner_input (world, event->host, &owner);
      break;
    case MQ_MSG_FORWARD_CLOSE:
      owner.type = MQ_OWNER_CALLER_GONE;
      owner.handle = message->u.forward_close.handle;
      world_owner_input (world, event->host, &owner);
      break;
    case MQ_MSG_FORWARD_EVENT:
      front.u.event = &message->u.event;
      world_front_input (world, event->host, &front);
      break;
    case MQ_MSG_CONFIG_HAVE:
    case MQ_MSG_CONFIG_GET:
    case MQ_MSG_CONFIG_TEXT:
      break;
    default:
      owner.type = MQ_OWNER_MESSAGE;
      owner.u.message = message;
      world_owner_input (world, event->host, &owner);
      break;
    }
}

void
wire_message (struct world *world, const struct world_event *event)
{
  struct wire *wire = &world->wires[event->index];
  struct mq_spread_input spread
      = { .type = MQ_SPREAD_MESSAGE, .now_us = world->now_us };

  if (!wire->open[event->end])
    return;
  wire->received_us[event->end] = world->now_us;
  spread.peer = wire->handle[event->end];
  spread.u.message = event->message;
  world_spread_input (world, event->host, &spread);
  if (!world_is_current_run (world, event->host, event->run))
    return;
  if (world->hosts[event->host].role == MQ_HOST_ENTRY)
    entry_message (world, event);
  else
    target_message (world, event);
}
