/* world.c - event queue, hosts, state machines and their actions.

   Needs: world_state.h.  */

#include "world_state.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- Names ---- */

const char *
world_step_name (enum world_step step)
{
#define STEP_NAME(id, name, script) name,
  static const char *const names[] = { WORLD_STEP_LIST (STEP_NAME) };
#undef STEP_NAME

  return names[step];
}

enum world_script
world_step_script (enum world_step step)
{
#define STEP_SCRIPT(id, name, script) SCRIPT_##script,
  static const enum world_script scripts[] = { WORLD_STEP_LIST (STEP_SCRIPT) };
#undef STEP_SCRIPT

  return scripts[step];
}

const char *
world_fault_name (enum world_fault fault)
{
#define FAULT_NAME(id, name) name,
  static const char *const names[] = { WORLD_FAULT_LIST (FAULT_NAME) };
#undef FAULT_NAME

  return names[fault];
}

const char *
world_invariant_name (enum world_invariant invariant)
{
#define INVARIANT_NAME(id, name) name,
  static const char *const names[] = { WORLD_INVARIANT_LIST (INVARIANT_NAME) };
#undef INVARIANT_NAME

  return names[invariant];
}

const char *
world_plant_name (enum world_plant plant)
{
#define PLANT_NAME(id, name) name,
  static const char *const names[] = { WORLD_MUTATION_LIST (PLANT_NAME) };
#undef PLANT_NAME

  return names[plant];
}

/* ---- Results ---- */

void
world_trace (struct world *world, const char *format, ...)
{
  va_list arguments;

  if (!world->trace)
    return;
  printf ("%10.3f ms  ", (double)world->now_us / 1000.0);
  va_start (arguments, format);
  vprintf (format, arguments);
  va_end (arguments);
  printf ("\n");
}

void
world_report_violation (struct world *world, enum world_invariant invariant,
                        const char *format, ...)
{
  struct world_report *report = world->report;
  struct world_violation *violation;
  va_list arguments;

  report->broken[invariant]++;
  if (report->violation_count++ >= WORLD_VIOLATIONS_MAX)
    return;
  violation = &report->violations[report->violation_count - 1];
  violation->invariant = invariant;
  va_start (arguments, format);
  vsnprintf (violation->text, sizeof violation->text, format, arguments);
  va_end (arguments);
  world_trace (world, "VIOLATION of \"%s\": %s",
               world_invariant_name (invariant), violation->text);
}

/* ---- Event queue: a binary heap ordered by time, then by insertion ---- */

static bool
is_before (const struct world_event *a, const struct world_event *b)
{
  if (a->at_us != b->at_us)
    return a->at_us < b->at_us;
  return a->number < b->number;
}

struct world_event *
world_event_create (struct world *world, enum event_type type, int host)
{
  struct world_event *event = talloc_zero (world, struct world_event);

  event->type = type;
  event->host = host;
  if (host != NO_HOST)
    event->run = world->hosts[host].run;
  return event;
}

void
world_push (struct world *world, struct world_event *event, uint64_t at_us)
{
  size_t place = world->heap_count++;

  if (world->heap_count > world->heap_capacity)
    {
      world->heap_capacity
          = world->heap_capacity == 0 ? 256 : 2 * world->heap_capacity;
      world->heap = talloc_realloc (world, world->heap, struct world_event *,
                                    (unsigned int)world->heap_capacity);
    }
  event->at_us = at_us < world->now_us ? world->now_us : at_us;
  event->number = world->next_number++;
  while (place > 0 && is_before (event, world->heap[(place - 1) / 2]))
    {
      world->heap[place] = world->heap[(place - 1) / 2];
      place = (place - 1) / 2;
    }
  world->heap[place] = event;
}

static struct world_event *
pop_event (struct world *world)
{
  struct world_event *first = world->heap[0];
  struct world_event *last = world->heap[--world->heap_count];
  size_t place = 0;

  for (;;)
    {
      size_t child = 2 * place + 1;

      if (child >= world->heap_count)
        break;
      if (child + 1 < world->heap_count
          && is_before (world->heap[child + 1], world->heap[child]))
        child++;
      if (is_before (last, world->heap[child]))
        break;
      world->heap[place] = world->heap[child];
      place = child;
    }
  world->heap[place] = last;
  return first;
}

uint64_t
world_delay (struct world *world, uint64_t min_us, uint64_t max_us)
{
  return min_us + mq_random_next (&world->random) % (max_us - min_us + 1);
}

/* Extends the time until which faults have effects.  */
void
world_extend_faults (struct world *world, uint64_t at_us)
{
  if (at_us > world->faults_end_us)
    world->faults_end_us = at_us;
}

/* ---- Hosts ---- */

bool
world_is_current_run (const struct world *world, int host, uint32_t run)
{
  return world->hosts[host].alive && world->hosts[host].run == run;
}

int
world_owner_of (const struct world *world, struct mq_id program)
{
  for (int i = 0; i < ENTRIES; i++)
    {
      const struct host *host = &world->hosts[i];

      if (host->alive && host->text != NULL
          && mq_owner_owns_partition (
              host->owner, mq_id_partition (program, host->text->partitions)))
        return i;
    }
  return NO_HOST;
}

/* Owner lookup of a host's front.  */
static const char *
find_owner_address (const void *data, uint32_t partition)
{
  const struct host *host = data;
  const char *address = mq_owner_address (host->owner, partition);

  if (address != NULL && strcmp (address, host->address) == 0)
    return "";
  return address;
}

static void
create_entry (struct world *world, struct host *host)
{
  struct mq_front_lookup lookup = { find_owner_address, host };
  struct mq_owner_options options = {
    .host = host->name,
    .data_centre = host->data_centre,
    .address = host->address,
    .boot = host->boot,
    .seed = mq_random_next (&world->random),
    .checkpoint_records = world->small_batches ? SMALL_CHECKPOINT_RECORDS : 0,
    .commit_inline_bytes = world->small_batches ? SMALL_INLINE_BYTES : 0,
  };

  host->owner = mq_owner_create (host->memory, &options);
  host->front = mq_front_create (host->memory, &lookup,
                                 mq_random_next (&world->random));
}

static void
create_target (struct world *world, struct host *host)
{
  static const struct mq_gate_worker workers[WORKERS] = {
    { "guide-models", MQ_SERVICE_MODEL, "guide", 4, 100000 },
    { "records", MQ_SERVICE_PLAIN, "", 4, 0 },
    { "lookup", MQ_SERVICE_TOOL, "", 4, 0 },
  };
  struct mq_gate_options options = {
    .host = host->name,
    .boot = host->boot,
    .seed = mq_random_next (&world->random),
    .order = MQ_GATE_ATTAINED,
    .workers = workers,
    .worker_count = WORKERS,
  };

  host->gate = mq_gate_create (host->memory, &options);
}

static void
schedule_host_list_read (struct world *world, int host)
{
  struct world_event *event
      = world_event_create (world, EVENT_HOST_LIST, host);

  world_push (world, event,
              world->now_us + world_delay (world, 1, HOSTS_READ_US));
}

static void
schedule_cache_read (struct world *world, int host)
{
  struct world_event *event
      = world_event_create (world, EVENT_CACHE_READ, host);

  event->index = 0;
  world_push (world, event,
              world->now_us + world_delay (world, MS, CACHE_READ_US));
}

static void
schedule_tick (struct world *world, int index, enum machine machine)
{
  struct host *host = &world->hosts[index];
  struct world_event *event;
  uint64_t next_us = 0;

  switch (machine)
    {
    case MACHINE_OWNER:
      next_us = mq_owner_next_tick (host->owner);
      break;
    case MACHINE_FRONT:
      next_us = mq_front_next_tick (host->front);
      break;
    case MACHINE_SPREAD:
      next_us = mq_spread_next_tick (host->spread);
      break;
    case MACHINE_GATE:
      next_us = mq_gate_next_tick (host->gate);
      break;
    case MACHINES:
      break;
    }
  if (next_us >= RUN_TIMEOUT_US)
    next_us = RUN_TIMEOUT_US;
  /* The event loop's timers have millisecond resolution.  */
  if (next_us < world->now_us + MS)
    next_us = world->now_us + MS;
  if (host->tick_us[machine] >= world->now_us
      && host->tick_us[machine] <= next_us)
    return;
  host->tick_us[machine] = next_us;
  event = world_event_create (world, EVENT_TICK, index);
  event->machine = machine;
  world_push (world, event, next_us);
}

/* Records that an entry host started or woke.  If no other one is available,
   no takeover was possible before.  */
static void
record_entry_start (struct world *world, int host)
{
  int others = 0;

  for (int i = 0; i < ENTRIES; i++)
    others += i != host && world->hosts[i].alive && !world->hosts[i].leaving
              && world->hosts[i].paused_until_us <= world->now_us;
  if (host < ENTRIES && others == 0)
    world->no_entry_until_us = world->now_us;
}

static void
start_host (struct world *world, int index)
{
  struct host *host = &world->hosts[index];

  host->run++;
  host->boot = mq_random_next (&world->random) | 1;
  host->alive = true;
  host->rebooting = false;
  host->leaving = false;
  host->paused_until_us = 0;
  host->actions_deferred = false;
  host->alive_us = world->now_us;
  host->version = 0;
  host->message_delivery = DELIVERY_NORMAL;
  host->store_delivery = DELIVERY_NORMAL;
  memset (host->tick_us, 0, sizeof host->tick_us);
  host->memory = talloc_new (world);
  host->spread = mq_spread_create (host->memory, host->name, host->data_centre,
                                   mq_random_next (&world->random));
  world_trace (world, "%s starts", host->name);
  record_entry_start (world, index);
  if (host->role == MQ_HOST_ENTRY)
    {
      create_entry (world, host);
      schedule_tick (world, index, MACHINE_OWNER);
      schedule_tick (world, index, MACHINE_FRONT);
    }
  else
    {
      create_target (world, host);
      schedule_tick (world, index, MACHINE_GATE);
      worker_schedule_engine (world, index, 0, false, MS);
      schedule_cache_read (world, index);
    }
  schedule_tick (world, index, MACHINE_SPREAD);
  schedule_host_list_read (world, index);
  for (int other = 0; other < HOSTS; other++)
    if (other != index)
      wire_connect_later (world, index, other, world_delay (world, 1, 5 * MS));
}

static void
drop_backlog (struct host *host)
{
  for (size_t i = 0; i < host->backlog_count; i++)
    talloc_free (host->backlog[i]);
  host->backlog_count = 0;
}

static void
end_process (struct world *world, int index)
{
  struct host *host = &world->hosts[index];

  world->ends++;
  if (host->role == MQ_HOST_TARGET)
    worker_gate_crashed (world, index);
  host->alive = false;
  host->dead_us = world->now_us;
  drop_backlog (host);
  talloc_free (host->memory);
  talloc_free (host->text);
  host->memory = NULL;
  host->owner = NULL;
  host->front = NULL;
  host->spread = NULL;
  host->gate = NULL;
  host->text = NULL;
}

static void
schedule_start (struct world *world, int index, uint64_t in_us)
{
  struct world_event *event
      = world_event_create (world, EVENT_HOST_START, NO_HOST);

  event->index = index;
  world_push (world, event, world->now_us + in_us);
  world_extend_faults (world, world->now_us + in_us);
}

/* Records that the host's partitions have no owner.  Time to take over other
   unowned partitions restarts too, since this host may have been about to
   claim them.  */
static void
record_unowned (struct world *world, const struct host *host)
{
  for (uint32_t p = 0; host->owner != NULL && p < PARTITIONS; p++)
    if (mq_owner_owns_partition (host->owner, p) || world->unowned_us[p] != 0)
      world->unowned_us[p] = world->now_us;
}

/* Crashes the process, closes its connections and schedules its restart.  */
void
world_crash (struct world *world, int index, uint64_t restart_us)
{
  struct host *host = &world->hosts[index];

  if (!host->alive)
    return;
  world_trace (world, "%s crashes", host->name);
  record_unowned (world, host);
  end_process (world, index);
  wire_host_crashed (world, index, false);
  caller_host_crashed (world, index);
  schedule_start (world, index, restart_us);
}

void
world_pause (struct world *world, int index, uint64_t pause_us)
{
  struct host *host = &world->hosts[index];
  struct world_event *event;

  if (!host->alive || host->paused_until_us > world->now_us)
    return;
  world_trace (world, "%s is paused", host->name);
  record_unowned (world, host);
  host->paused_until_us = world->now_us + pause_us;
  /* Remaining actions of the current step run when the host wakes.  */
  host->actions_deferred = world->acting == index;
  event = world_event_create (world, EVENT_HOST_WAKE, NO_HOST);
  event->index = index;
  event->run = host->run;
  world_push (world, event, host->paused_until_us);
  world_extend_faults (world, host->paused_until_us);
}

/* Records partitions that a paused host still owns when it wakes.  */
static void
record_still_owned (struct world *world, int host)
{
  for (uint32_t p = 0; p < PARTITIONS; p++)
    {
      int owners = 0;

      for (int i = 0; i < ENTRIES; i++)
        owners += world->hosts[i].owner != NULL
                  && mq_owner_owns_partition (world->hosts[i].owner, p);
      if (owners == 1 && mq_owner_owns_partition (world->hosts[host].owner, p))
        world->unowned_us[p] = 0;
    }
}

static void
wake_host (struct world *world, const struct world_event *event)
{
  struct host *host = &world->hosts[event->index];
  size_t count = host->backlog_count;

  if (!world_is_current_run (world, event->index, event->run))
    return;
  world_trace (world, "%s wakes with %zu events", host->name, count);
  record_still_owned (world, event->index);
  record_entry_start (world, event->index);
  host->paused_until_us = 0;
  host->backlog_count = 0;
  for (size_t i = 0; i < count; i++)
    world_push (world, host->backlog[i], world->now_us);
}

static uint32_t
callers_at (const struct world *world, int host)
{
  uint32_t count = 0;

  for (int i = 0; i < world->caller_count; i++)
    count += world->callers[i].state == CALLER_WAITING
             && world->callers[i].host == host
             && world_is_current_run (world, host, world->callers[i].host_run);
  return count;
}

static bool
is_drained (const struct world *world, const struct host *host)
{
  if (host->role == MQ_HOST_TARGET)
    return mq_gate_is_drained (host->gate);
  return mq_owner_is_drained (host->owner) && mq_front_count (host->front) == 0
         && callers_at (world, host->index) == 0;
}

/* Ends a drained process.  */
static void
stop_host (struct world *world, int index)
{
  struct host *host = &world->hosts[index];
  uint32_t calls = worker_running (world, index);
  uint32_t callers = callers_at (world, index);

  world_trace (world, "%s stops", host->name);
  if (calls > 0 || callers > 0)
    world_report_violation (world, INVARIANT_PLANNED_STOP,
                            "%s stops with %u calls and %u callers",
                            host->name, calls, callers);
  end_process (world, index);
  if (host->role == MQ_HOST_TARGET)
    worker_host_crashed (world, index);
  wire_host_crashed (world, index, false);
  caller_host_crashed (world, index);
  schedule_start (world, index, RESTART_US);
}

static void
stop_if_drained (struct world *world, int index)
{
  struct host *host = &world->hosts[index];

  if (host->alive && host->leaving && host->paused_until_us <= world->now_us
      && is_drained (world, host))
    stop_host (world, index);
}

/* Requests a planned stop of a host.  */
void
world_stop (struct world *world, int index)
{
  struct host *host = &world->hosts[index];

  if (!host->alive || host->leaving)
    return;
  world_trace (world, "%s is asked to stop", host->name);
  host->leaving = true;
  host->leave_us = world->now_us + STOP_NOTICE_US;
  world_push (world, world_event_create (world, EVENT_PLANNED_STOP, index),
              host->leave_us);
}

static void
deliver_stop (struct world *world, int index)
{
  struct mq_owner_input owner
      = { .type = MQ_OWNER_LEAVE, .now_us = world->now_us };
  struct mq_gate_input gate
      = { .type = MQ_GATE_LEAVE, .now_us = world->now_us };

  if (world->cell->plant == PLANT_STOP_TERMINATES)
    stop_host (world, index);
  else if (world->hosts[index].role == MQ_HOST_ENTRY)
    world_owner_input (world, index, &owner);
  else if (world->cell->plant != PLANT_LEAVE_DROPPED)
    world_gate_input (world, index, &gate);
}

/* ---- Host list, updated with a delay ---- */

static bool
is_listed (const struct world *world, const struct host *host)
{
  if (host->alive || host->rebooting)
    return host->alive_us == 0 || world->now_us > host->alive_us + LIST_LAG_US;
  return world->now_us < host->dead_us + LIST_LAG_US;
}

static void
read_hosts (struct world *world, int index)
{
  uint32_t run = world->hosts[index].run;
  struct mq_host items[HOSTS];
  struct mq_host_list list = { .items = items };
  struct mq_spread_input spread
      = { .type = MQ_SPREAD_HOSTS, .now_us = world->now_us };
  struct mq_owner_input owner
      = { .type = MQ_OWNER_HOSTS, .now_us = world->now_us };

  for (int i = 0; i < HOSTS; i++)
    {
      const struct host *host = &world->hosts[i];
      struct mq_host *item = &items[list.count];

      if (!is_listed (world, host))
        continue;
      item->name = host->name;
      item->role = host->role;
      item->data_centre = host->data_centre;
      item->region = "home";
      item->address = host->address;
      item->http = "";
      item->leaving
          = host->leaving && world->now_us > host->leave_us + LIST_LAG_US;
      list.count++;
    }
  spread.u.hosts = &list;
  owner.u.hosts = &list;
  schedule_host_list_read (world, index);
  world_spread_input (world, index, &spread);
  if (world_is_current_run (world, index, run)
      && world->hosts[index].owner != NULL)
    world_owner_input (world, index, &owner);
}

/* ---- Actions of the state machines ---- */

static void
run_send_action (struct world *world, int host, enum machine machine,
                 const struct mq_action *action)
{
  struct world_event *event;

  if (action->peer != MQ_PEER_SELF)
    {
      wire_send (world, host, action->peer, &action->u.message);
      return;
    }
  if (machine != MACHINE_FRONT)
    return;
  event = world_event_create (world, EVENT_FORWARD, host);
  event->message = talloc_zero (event, struct mq_message);
  mq_message_copy (event->message, event->message, &action->u.message);
  world_push (world, event, world->now_us);
}

static void
run_event_action (struct world *world, int host, enum machine machine,
                  const struct mq_action *action)
{
  struct mq_message message = { .type = MQ_MSG_FORWARD_EVENT };
  struct world_event *event;

  message.u.event = action->u.event;
  if (action->peer != MQ_PEER_SELF)
    {
      wire_send (world, host, action->peer, &message);
      return;
    }
  event = world_event_create (
      world, machine == MACHINE_FRONT ? EVENT_TO_CALLER : EVENT_OWNER_REPLY,
      host);
  event->message = talloc_zero (event, struct mq_message);
  mq_message_copy (event->message, event->message, &message);
  world_push (world, event, world->now_us);
}

static const char *
state_name (enum mq_state_change change)
{
  static const char *const names[]
      = { "owned",          "lost",        "released",  "store down",
          "store up",       "peer up",     "peer down", "peer silent",
          "leaving",        "drained",     "config",    "unknown call",
          "loop suspected", "evict retry", "order" };

  return names[change];
}

/* Whether the store is available throughout the run.  Otherwise takeover times
   are not checked.  */
static bool
is_store_healthy (const struct world *world)
{
  static const enum world_fault faults[]
      = { FAULT_STORE_DOWN, FAULT_STORE_SLOW, FAULT_WRITE_LOST,
          FAULT_WRITE_LATE };

  if (world->script == SCRIPT_OUTAGE)
    return false;
  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    if (world->cell->fault == faults[i] || world->cell->second == faults[i])
      return false;
  return true;
}

/* Counts takeovers from an owner that is running and did not release the
   partition.  */
static void
record_takeover (struct world *world, int host, uint64_t partition)
{
  int last = world->last_owner[partition];

  if (last != NO_HOST && last != host
      && world_is_current_run (world, last, world->last_run[partition])
      && world->hosts[last].paused_until_us <= world->now_us)
    {
      world->report->taken_alive++;
      world_trace (world, "%s takes partition %llu from %s, which is alive",
                   world->hosts[host].name, (unsigned long long)partition,
                   world->hosts[last].name);
    }
  world->last_owner[partition] = host;
  world->last_run[partition] = world->hosts[host].run;
}

static void
record_owned (struct world *world, int host, uint64_t partition)
{
  uint64_t since_us;

  if (partition < PARTITIONS)
    record_takeover (world, host, partition);
  if (partition >= PARTITIONS || world->unowned_us[partition] == 0)
    return;
  since_us = world->unowned_us[partition];
  if (since_us < world->no_entry_until_us)
    since_us = world->no_entry_until_us;
  since_us = world->now_us - since_us;
  world->unowned_us[partition] = 0;
  if (!is_store_healthy (world) || world->replayed)
    return;
  if (since_us > world->report->unowned_us)
    world->report->unowned_us = since_us;
  if (since_us > TAKEOVER_DEADLINE_US)
    world_report_violation (
        world, INVARIANT_TAKEN_OVER, "partition %llu had no owner for %llu ms",
        (unsigned long long)partition, (unsigned long long)(since_us / MS));
}

static void
run_action (struct world *world, int host, enum machine machine,
            const struct mq_action *action)
{
  switch (action->type)
    {
    case MQ_ACT_SEND:
      run_send_action (world, host, machine, action);
      break;
    case MQ_ACT_STORE:
      store_send (world, host,
                  machine == MACHINE_OWNER ? REQUESTER_OWNER
                                           : REQUESTER_SPREAD,
                  &action->u.store);
      break;
    case MQ_ACT_EVENT:
      run_event_action (world, host, machine, action);
      break;
    case MQ_ACT_START:
      worker_start (world, host, &action->u.start);
      break;
    case MQ_ACT_STOP:
      worker_stop (world, host, action->u.stop.slot);
      break;
    case MQ_ACT_EVICT:
      worker_evict (world, host, &action->u.evict);
      break;
    case MQ_ACT_ORDER:
      worker_order (world, host, &action->u.order);
      break;
    case MQ_ACT_STATE:
      if (action->u.state.change == MQ_STATE_PARTITION_OWNED)
        record_owned (world, host, action->u.state.number);
      if (action->u.state.change == MQ_STATE_PARTITION_RELEASED)
        world->last_owner[action->u.state.number % PARTITIONS] = NO_HOST;
      world_trace (world, "%s: %s %llu %s", world->hosts[host].name,
                   state_name (action->u.state.change),
                   (unsigned long long)action->u.state.number,
                   action->u.state.subject == NULL ? ""
                                                   : action->u.state.subject);
      break;
    case MQ_ACT_SPAN:
      break;
    }
}

/* Runs the actions in order.  The process may crash or be paused between two
   actions; the remaining ones are then lost or delayed until it wakes.  */
static void
run_actions_from (struct world *world, int index, enum machine machine,
                  struct mq_actions *actions, size_t next)
{
  struct host *host = &world->hosts[index];
  uint32_t run = host->run;
  struct world_event *event;

  for (; next < actions->count; next++)
    {
      if (!world_is_current_run (world, index, run))
        break;
      if (host->paused_until_us > world->now_us)
        {
          event = world_event_create (world, EVENT_ACTIONS_RESUME, index);
          event->machine = machine;
          event->actions = talloc_steal (event, actions);
          event->action_next = next;
          world_push (world, event, world->now_us);
          return;
        }
      world->acting = index;
      run_action (world, index, machine, &actions->items[next]);
      world->acting = NO_HOST;
      if (host->actions_deferred)
        next--;
      host->actions_deferred = false;
    }
  talloc_free (actions);
}

static void
finish_input (struct world *world, int index, enum machine machine,
              struct mq_actions *actions)
{
  uint32_t run = world->hosts[index].run;

  schedule_tick (world, index, machine);
  run_actions_from (world, index, machine, actions, 0);
  if (world_is_current_run (world, index, run))
    stop_if_drained (world, index);
}

void
world_owner_input (struct world *world, int index,
                   const struct mq_owner_input *input)
{
  struct mq_actions *actions = mq_actions_create (world);

  mq_owner_handle (world->hosts[index].owner, input, actions);
  finish_input (world, index, MACHINE_OWNER, actions);
}

void
world_front_input (struct world *world, int index,
                   const struct mq_front_input *input)
{
  struct mq_actions *actions = mq_actions_create (world);

  mq_front_handle (world->hosts[index].front, input, actions);
  finish_input (world, index, MACHINE_FRONT, actions);
}

void
world_gate_input (struct world *world, int index,
                  const struct mq_gate_input *input)
{
  struct mq_actions *actions = mq_actions_create (world);

  mq_gate_handle (world->hosts[index].gate, input, actions);
  finish_input (world, index, MACHINE_GATE, actions);
}

/* Passes a new configuration to the owner, which then releases the previous
   one.  */
static void
apply_config_text (struct world *world, int index)
{
  struct host *host = &world->hosts[index];
  const char *source = mq_spread_text (host->spread);
  struct mq_text_errors errors = { 0 };
  struct mq_text *former = host->text;
  struct mq_owner_input input
      = { .type = MQ_OWNER_CONFIG, .now_us = world->now_us };

  host->text = mq_text_parse (world, source, strlen (source), &errors);
  if (host->text == NULL)
    abort ();
  host->text->version = host->version;
  input.u.text = host->text;
  if (host->role == MQ_HOST_ENTRY)
    world_owner_input (world, index, &input);
  talloc_free (former);
}

static void
update_version (struct world *world, int index)
{
  struct host *host = &world->hosts[index];
  uint64_t version = mq_spread_version (host->spread);

  if (version == host->version)
    return;
  if (version < host->version)
    world_report_violation (
        world, INVARIANT_CONFIG_MONOTONIC,
        "%s: configuration version decreases from %llu to %llu", host->name,
        (unsigned long long)host->version, (unsigned long long)version);
  world_trace (world, "%s: configuration version %llu", host->name,
               (unsigned long long)version);
  host->version = version;
  if (version > 0)
    apply_config_text (world, index);
}

void
world_spread_input (struct world *world, int index,
                    const struct mq_spread_input *input)
{
  struct host *host = &world->hosts[index];
  struct mq_actions *actions;
  uint32_t run = host->run;

  if (world->cell->plant == PLANT_CONFIG_UNREACHABLE && index == HOSTS - 1
      && host->version > 0 && input->type != MQ_SPREAD_TICK)
    return;
  if (world->cell->plant == PLANT_CONFIG_REVERTED && index == HOSTS - 1
      && host->version > 1)
    {
      mq_spread_destroy (host->spread);
      host->spread
          = mq_spread_create (host->memory, host->name, host->data_centre, 1);
    }
  actions = mq_actions_create (world);
  mq_spread_handle (host->spread, input, actions);
  finish_input (world, index, MACHINE_SPREAD, actions);
  if (world_is_current_run (world, index, run))
    update_version (world, index);
}

/* ---- Ticks ---- */

static void
tick (struct world *world, const struct world_event *event)
{
  struct mq_owner_input owner
      = { .type = MQ_OWNER_TICK, .now_us = world->now_us };
  struct mq_front_input front
      = { .type = MQ_FRONT_TICK, .now_us = world->now_us };
  struct mq_spread_input spread
      = { .type = MQ_SPREAD_TICK, .now_us = world->now_us };
  struct mq_gate_input gate
      = { .type = MQ_GATE_TICK, .now_us = world->now_us };
  struct host *host = &world->hosts[event->host];

  /* Replaced by an earlier tick.  */
  if (host->tick_us[event->machine] > event->at_us)
    return;
  host->tick_us[event->machine] = 0;
  switch (event->machine)
    {
    case MACHINE_OWNER:
      world_owner_input (world, event->host, &owner);
      break;
    case MACHINE_FRONT:
      world_front_input (world, event->host, &front);
      break;
    case MACHINE_SPREAD:
      world_spread_input (world, event->host, &spread);
      break;
    case MACHINE_GATE:
      world_gate_input (world, event->host, &gate);
      break;
    case MACHINES:
      break;
    }
}

/* ---- Front and owner of the same process ---- */

static void
forward_local (struct world *world, const struct world_event *event)
{
  const struct mq_message *message = event->message;
  struct mq_owner_input input = { .now_us = world->now_us };

  input.peer = MQ_PEER_SELF;
  if (message->type == MQ_MSG_FORWARD)
    {
      input.type = MQ_OWNER_REQUEST;
      input.handle = message->u.forward.handle;
      input.u.request = &message->u.forward.request;
      fault_message_step (world, event->host, NULL, message);
      if (!world_is_current_run (world, event->host, event->run))
        return;
    }
  else
    {
      input.type = MQ_OWNER_CALLER_GONE;
      input.handle = message->u.forward_close.handle;
    }
  world_owner_input (world, event->host, &input);
}

static void
deliver_local_reply (struct world *world, const struct world_event *event)
{
  struct mq_front_input input
      = { .type = MQ_FRONT_EVENT, .now_us = world->now_us };

  input.peer = MQ_PEER_SELF;
  input.u.event = &event->message->u.event;
  fault_message_step (world, event->host, NULL, event->message);
  if (world_is_current_run (world, event->host, event->run))
    world_front_input (world, event->host, &input);
}

/* ---- Event loop ---- */

static void
restore_store (struct world *world)
{
  if (world->now_us < world->outage_until_us)
    return; /* end of a short outage during the long one */
  world_trace (world, "the store is available again");
  world->store_down = false;
  world->store_slow = false;
}

/* Crashes every owner while the world is idle.  The next owners must restore
   each caller's answer from checkpoints and logs.  */
static void
restart_all_owners (struct world *world)
{
  world_trace (world, "idle; all owners crash");
  world->replayed = true;
  world->done_us = 0;
  for (int i = 0; i < ENTRIES; i++)
    world_crash (world, i, RESTART_US);
  caller_repeat_all (world);
}

/* Checks each process's memory, normally a few hundred kilobytes.  */
static void
check_memory (struct world *world)
{
  for (int i = 0; i < HOSTS; i++)
    {
      size_t bytes;

      if (!world->hosts[i].alive)
        continue;
      if (world->cell->plant == PLANT_MEMORY_LEAKED)
        talloc_zero_size (world->hosts[i].memory, 1 << 20);
      bytes = talloc_total_size (world->hosts[i].memory);
      if (bytes > world->report->memory_max)
        world->report->memory_max = bytes;
      if (bytes > MEMORY_MAX)
        world_report_violation (world, INVARIANT_MEMORY,
                                "%s uses %zu bytes of memory",
                                world->hosts[i].name, bytes);
    }
}

static void
update_idle_state (struct world *world)
{
  check_memory (world);
  if (!caller_all_done (world) || world->now_us < world->faults_end_us)
    world->done_us = 0;
  else if (world->done_us == 0)
    world->done_us = world->now_us;
  if (world->done_us != 0 && world->now_us > world->done_us + IDLE_PERIOD_US
      && (check_is_idle (world)
          || world->now_us > world->done_us + CACHE_EXPIRY_US))
    {
      if (world->small_batches && !world->replayed && check_is_idle (world))
        restart_all_owners (world);
      else
        world->finished = true;
    }
  if (!world->finished)
    world_push (world, world_event_create (world, EVENT_CHECK_IDLE, NO_HOST),
                world->now_us + SECOND);
}

static void
inject_echo (struct world *world, const struct world_event *event)
{
  struct world_event *duplicate;

  if (world->cell->plant != PLANT_ECHO)
    return;
  duplicate = world_event_create (world, EVENT_MESSAGE, event->host);
  duplicate->run = event->run;
  duplicate->index = event->index;
  duplicate->end = event->end;
  duplicate->message = talloc_zero (duplicate, struct mq_message);
  mq_message_copy (duplicate->message, duplicate->message, event->message);
  world_push (world, duplicate, world->now_us + MS);
}

static void
dispatch (struct world *world, struct world_event *event)
{
  switch (event->type)
    {
    case EVENT_TICK:
      tick (world, event);
      break;
    case EVENT_MESSAGE:
      wire_message (world, event);
      inject_echo (world, event);
      break;
    case EVENT_CONNECT:
      wire_connect (world, event);
      break;
    case EVENT_WIRE_UP:
      wire_up (world, event);
      break;
    case EVENT_WIRE_DOWN:
      wire_down (world, event);
      break;
    case EVENT_HEARTBEAT:
      wire_heartbeat (world, event);
      break;
    case EVENT_ACTIONS_RESUME:
      run_actions_from (world, event->host, event->machine,
                        talloc_steal (world, event->actions),
                        event->action_next);
      break;
    case EVENT_FORWARD:
      forward_local (world, event);
      break;
    case EVENT_OWNER_REPLY:
      deliver_local_reply (world, event);
      break;
    case EVENT_TO_CALLER:
      caller_event (world, event);
      break;
    case EVENT_CALLER_TIMER:
      caller_timer (world, event);
      break;
    case EVENT_REQUEST:
      caller_request (world, event);
      break;
    case EVENT_CALLER_DISCONNECT:
      caller_disconnected (world, event);
      break;
    case EVENT_STORE_REQUEST:
      store_serve (world, event);
      break;
    case EVENT_STORE_RESULT:
      store_done (world, event);
      break;
    case EVENT_OPERATOR:
      operator_wake (world, event);
      break;
    case EVENT_CALL_STAGE:
      worker_behaviour (world, event);
      break;
    case EVENT_EVICTED:
      worker_evicted (world, event);
      break;
    case EVENT_ORDER_DONE:
      worker_ordered (world, event);
      break;
    case EVENT_CACHE_READ:
      worker_read_cache (world, event);
      schedule_cache_read (world, event->host);
      break;
    case EVENT_ENGINE:
      worker_engine (world, event);
      break;
    case EVENT_HOST_LIST:
      read_hosts (world, event->host);
      break;
    case EVENT_HOST_START:
      if (!world->hosts[event->index].alive)
        start_host (world, event->index);
      break;
    case EVENT_HOST_WAKE:
      wake_host (world, event);
      break;
    case EVENT_PLANNED_STOP:
      deliver_stop (world, event->host);
      break;
    case EVENT_CRASH:
      world_crash (world, event->host,
                   world->hosts[event->host].rebooting ? GATE_RESTART_US
                                                       : RESTART_US);
      break;
    case EVENT_CHECK_IDLE:
      update_idle_state (world);
      break;
    case EVENT_STORE_UP:
      restore_store (world);
      break;
    case EVENT_OUTAGE:
      fault_outage (world);
      break;
    }
}

/* Queues an event for a paused process, in order of arrival.  */
static bool
defer_if_paused (struct world *world, struct world_event *event)
{
  struct host *host;

  if (event->host == NO_HOST)
    return false;
  host = &world->hosts[event->host];
  if (!host->alive || host->paused_until_us <= world->now_us)
    return false;
  host->backlog = talloc_realloc (world, host->backlog, struct world_event *,
                                  (unsigned int)host->backlog_count + 1);
  host->backlog[host->backlog_count++] = event;
  return true;
}

static void
handle_event (struct world *world, struct world_event *event)
{
  if (event->host != NO_HOST && event->run != 0
      && !world_is_current_run (world, event->host, event->run))
    {
      talloc_free (event);
      return;
    }
  if (defer_if_paused (world, event))
    return;
  dispatch (world, event);
  talloc_free (event);
}

static void
create_hosts (struct world *world)
{
  static const char *const centres[HOSTS] = { "a", "b", "b", "a", "b", "b" };
  static const enum mq_service_kind kinds[WORKERS]
      = { MQ_SERVICE_MODEL, MQ_SERVICE_PLAIN, MQ_SERVICE_TOOL };

  for (int i = 0; i < HOSTS; i++)
    {
      struct host *host = &world->hosts[i];

      host->index = i;
      host->role = i < ENTRIES ? MQ_HOST_ENTRY : MQ_HOST_TARGET;
      host->data_centre = centres[i];
      snprintf (host->name, sizeof host->name, "%c%d", i < ENTRIES ? 'e' : 't',
                i < ENTRIES ? i : i - ENTRIES);
      snprintf (host->address, sizeof host->address, "10.0.0.%d:7000", i + 1);
      for (int w = 0; w < WORKERS; w++)
        {
          host->workers[w].kind = kinds[w];
          host->workers[w].up = true;
          host->workers[w].boot = 1;
        }
      for (int j = 0; j < HOSTS; j++)
        world->current[i][j] = NO_HOST;
    }
}

static struct world *
create_world (const struct world_cell *cell, bool trace,
              struct world_report *report)
{
  struct world *world = talloc_zero (NULL, struct world);

  world->cell = cell;
  world->report = report;
  world->trace = trace;
  world->random = cell->seed;
  world->acting = NO_HOST;
  world->script = world_step_script (cell->step);
  world->small_batches
      = world->script == SCRIPT_CHECKPOINT || cell->seed % 3 == 0;
  create_hosts (world);
  store_create (world);
  caller_create_all (world);
  for (int i = 0; i < HOSTS; i++)
    start_host (world, i);
  operator_apply (world, 0);
  for (int p = 0; p < PARTITIONS; p++)
    world->last_owner[p] = NO_HOST;
  if (world->script == SCRIPT_OUTAGE)
    world_push (world, world_event_create (world, EVENT_OUTAGE, NO_HOST),
                LONG_OUTAGE_FROM_US);
  world_push (world, world_event_create (world, EVENT_CHECK_IDLE, NO_HOST),
              SECOND);
  return world;
}

void
world_run (const struct world_cell *cell, bool trace,
           struct world_report *report)
{
  struct world *world;

  memset (report, 0, sizeof *report);
  world = create_world (cell, trace, report);
  while (!world->finished && world->heap_count > 0)
    {
      struct world_event *event = pop_event (world);

      world->now_us = event->at_us;
      if (world->now_us > RUN_TIMEOUT_US || ++report->events > EVENTS_MAX)
        break;
      handle_event (world, event);
    }
  report->end_us = world->now_us;
  if (report->events > EVENTS_MAX)
    world_report_violation (world, INVARIANT_BECOMES_IDLE,
                            "not idle after %llu events, at %llu ms",
                            (unsigned long long)EVENTS_MAX,
                            (unsigned long long)(world->now_us / MS));
  check_end (world);
  talloc_free (world);
}
