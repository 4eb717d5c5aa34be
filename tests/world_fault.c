/* world_fault.c - steps of a program and fault injection at them.

   Needs: world_state.h, proto/log.pb-c.h.  */

#include "world_state.h"
#include "../proto/log.pb-c.h"
#include <stdlib.h>
#include <string.h>

enum
{
  ANY_WORKER = -1
};

static int
random_host (struct world *world, int first, int count)
{
  int chosen = NO_HOST;
  uint32_t seen = 0;

  for (int i = first; i < first + count; i++)
    if (world->hosts[i].alive && mq_random_below (&world->random, ++seen) == 0)
      chosen = i;
  return chosen;
}

static int
entry_of (struct world *world, const struct site *site)
{
  if (site->entry != NO_HOST && world->hosts[site->entry].alive)
    return site->entry;
  return random_host (world, 0, ENTRIES);
}

static int
target_of (struct world *world, const struct site *site)
{
  if (site->target != NO_HOST && world->hosts[site->target].alive)
    return site->target;
  return random_host (world, ENTRIES, TARGETS);
}

/* ---- Faults ---- */

static void
schedule_crash (struct world *world, int host)
{
  struct world_event *event = world_event_create (world, EVENT_CRASH, host);

  world_push (world, event, world->now_us);
}

static void
reboot_gate (struct world *world, int host)
{
  world->hosts[host].rebooting = true;
  if (mq_random_below (&world->random, 2) == 0)
    schedule_crash (world, host);
  else
    world_crash (world, host, GATE_RESTART_US);
}

static void
crash_data_centre (struct world *world, const char *centre)
{
  world_trace (world, "data centre %s fails", centre);
  world->centre_dead_us = world->now_us;
  world->load_second = 0;
  memset (&world->load, 0, sizeof world->load);
  for (int i = 0; i < HOSTS; i++)
    {
      if (strcmp (world->hosts[i].data_centre, centre) != 0)
        continue;
      wire_host_crashed (world, i, true);
      world_crash (world, i, DATA_CENTRE_RESTART_US);
      worker_host_crashed (world, i);
    }
}

static void
start_store_fault (struct world *world, bool down)
{
  struct world_event *event
      = world_event_create (world, EVENT_STORE_UP, NO_HOST);

  world_trace (world, "the store is %s", down ? "down" : "slow");
  world->store_down = down;
  world->store_slow = !down;
  world_push (world, event, world->now_us + OUTAGE_US);
  world_extend_faults (world, world->now_us + OUTAGE_US);
}

static void
hang_worker (struct world *world, const struct site *site)
{
  int host = target_of (world, site);
  uint32_t worker = site->worker == ANY_WORKER
                        ? mq_random_below (&world->random, WORKERS)
                        : (uint32_t)site->worker;

  if (host != NO_HOST)
    world->hosts[host].workers[worker].hangs = true;
}

static void
set_message_fault (struct world *world, const struct site *site,
                   enum delivery_fault delivery_fault)
{
  int host = site->actor != NO_HOST ? site->actor : entry_of (world, site);

  if (host != NO_HOST)
    world->hosts[host].message_delivery = delivery_fault;
}

static void
set_store_fault (struct world *world, const struct site *site,
                 enum delivery_fault delivery_fault)
{
  int host = entry_of (world, site);

  if (site->step == STEP_APPLY_WRITE)
    world->operator_delivery = delivery_fault;
  else if (host != NO_HOST)
    world->hosts[host].store_delivery = delivery_fault;
}

static void
inject (struct world *world, enum world_fault fault, const struct site *site)
{
  int entry = entry_of (world, site);
  int target = target_of (world, site);

  world->report->injected++;
  world_trace (world, "FAULT %s at %s", world_fault_name (fault),
               world_step_name (site->step));
  switch (fault)
    {
    case FAULT_NONE:
    case FAULT_COUNT:
      break;
    case FAULT_OWNER_DIES:
      if (entry != NO_HOST)
        world_crash (world, entry, RESTART_US);
      break;
    case FAULT_OWNER_DIES_AFTER:
      if (entry != NO_HOST)
        schedule_crash (world, entry);
      break;
    case FAULT_OWNER_PAUSED:
      if (entry != NO_HOST)
        world_pause (world, entry, PAUSE_US);
      break;
    case FAULT_WRITE_LOST:
      set_store_fault (world, site, DELIVERY_REPLY_LOST);
      break;
    case FAULT_WRITE_LATE:
      set_store_fault (world, site, DELIVERY_APPLIED_LATE);
      break;
    case FAULT_STORE_DOWN:
      start_store_fault (world, true);
      break;
    case FAULT_STORE_SLOW:
      start_store_fault (world, false);
      break;
    case FAULT_SILENT:
      set_message_fault (world, site, DELIVERY_BLACKHOLED);
      break;
    case FAULT_LATE:
      set_message_fault (world, site, DELIVERY_DELAYED);
      break;
    case FAULT_DUPLICATED:
      set_message_fault (world, site, DELIVERY_DUPLICATED);
      break;
    case FAULT_REORDERED:
      set_message_fault (world, site, DELIVERY_REORDERED);
      break;
    case FAULT_GATE_REBOOTS:
      if (target != NO_HOST)
        reboot_gate (world, target);
      break;
    case FAULT_ENGINE_REBOOTS:
      if (target != NO_HOST)
        worker_schedule_engine (world, target, 0, true, 0);
      break;
    case FAULT_WORKER_HANGS:
      hang_worker (world, site);
      break;
    case FAULT_TARGET_LEAVES:
      if (target != NO_HOST)
        world_stop (world, target);
      break;
    case FAULT_CENTRE_DIES:
      crash_data_centre (
          world, entry != NO_HOST ? world->hosts[entry].data_centre : "a");
      break;
    case FAULT_OPERATORS_RACE:
      operator_apply (world, 0);
      operator_apply (world, 1);
      break;
    }
}

/* Starts the long outage of the outage script.  */
void
fault_outage (struct world *world)
{
  struct site site = { .step = STEP_OUTAGE, .entry = NO_HOST };

  site.target = NO_HOST;
  site.actor = NO_HOST;
  site.worker = ANY_WORKER;
  world_trace (world, "long store outage starts");
  world->outage_from_us = world->now_us;
  world->outage_until_us = world->now_us + LONG_OUTAGE_US;
  world->store_down = true;
  world_push (world, world_event_create (world, EVENT_STORE_UP, NO_HOST),
              world->outage_until_us);
  world_extend_faults (world, world->outage_until_us);
  fault_step (world, &site);
}

/* Injects the first fault at the N-th occurrence of the cell's step, and the
   second one after cell->gap further steps of any kind.  */
void
fault_step (struct world *world, const struct site *site)
{
  const struct world_cell *cell = world->cell;
  uint32_t count;

  if (world->script != SCRIPT_PLAIN && world->script != SCRIPT_CHECKPOINT
      && world->script != SCRIPT_OUTAGE && !world->script_done)
    return;
  count = ++world->report->steps[site->step];
  if (cell->nth == 0)
    return;
  if (!world->first_injected)
    {
      if (site->step != cell->step || count != cell->nth)
        return;
      world->first_injected = true;
      inject (world, cell->fault, site);
    }
  else if (cell->second != FAULT_NONE && ++world->steps_since == cell->gap)
    inject (world, cell->second, site);
}

/* Runs the script's event once, when a plain call of the first caller's
   program is started.  */
void
fault_script (struct world *world, const struct site *site)
{
  struct site script_site = *site;
  int entry = world_owner_of (world, site->program);

  if (world->script == SCRIPT_PLAIN || world->script == SCRIPT_CHECKPOINT
      || world->script == SCRIPT_OUTAGE || world->script == SCRIPT_SETTLE
      || world->script_done || entry == NO_HOST
      || site->program.hi != world->callers[0].program.hi)
    return;
  world->script_done = true;
  script_site.entry = entry;
  switch (world->script)
    {
    case SCRIPT_PLAIN:
    case SCRIPT_CHECKPOINT:
    case SCRIPT_OUTAGE:
    case SCRIPT_SETTLE:
    case SCRIPT_COUNT:
      break;
    case SCRIPT_TAKEOVER:
      world_crash (world, entry, RESTART_US);
      break;
    case SCRIPT_DRAIN_ENTRY:
      script_site.step = STEP_DRAIN_ENTRY;
      world_stop (world, entry);
      fault_step (world, &script_site);
      break;
    case SCRIPT_DRAIN_TARGET:
      script_site.step = STEP_DRAIN_TARGET;
      world_stop (world, site->target);
      fault_step (world, &script_site);
      break;
    }
}

/* Crashes the owner before it sends its first non-idempotent call: the intent
   is durable, the call was not sent.  */
void
fault_settle_script (struct world *world, int host,
                     const struct mq_message *message)
{
  if (world->script != SCRIPT_SETTLE || world->script_done
      || message->type != MQ_MSG_CALL || message->u.call.idempotent)
    return;
  world->script_done = true;
  world_crash (world, host, RESTART_US);
}

enum delivery_fault
fault_next_message_delivery (struct world *world, int host)
{
  enum delivery_fault delivery_fault = world->hosts[host].message_delivery;

  world->hosts[host].message_delivery = DELIVERY_NORMAL;
  return delivery_fault;
}

static bool
begins_with (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

/* Renewals of an owner's own row are not affected by faults.  */
static bool
is_owner_write (const struct mq_store_request *request)
{
  if (request->kind == MQ_STORE_PUT || request->kind == MQ_STORE_DELETE)
    return true;
  for (size_t i = 0; i < request->op_count; i++)
    if (!begins_with (request->ops[i].key, "owner/"))
      return true;
  return false;
}

enum delivery_fault
fault_next_store_delivery (struct world *world, int host,
                           const struct mq_store_request *request)
{
  enum delivery_fault *at = host == NO_HOST
                                ? &world->operator_delivery
                                : &world->hosts[host].store_delivery;
  enum delivery_fault delivery_fault = *at;

  if (host == NO_HOST ? request->kind != MQ_STORE_TXN
                      : !is_owner_write (request))
    return DELIVERY_NORMAL;
  *at = DELIVERY_NORMAL;
  return delivery_fault;
}

/* ---- Steps of messages ---- */

static enum world_step
request_step (const struct mq_request_msg *request)
{
  switch (request->type)
    {
    case MQ_REQUEST_OPEN:
    case MQ_REQUEST_CREATE:
    case MQ_REQUEST_STEP:
      return STEP_OPEN;
    case MQ_REQUEST_TURN:
      return STEP_TURN;
    case MQ_REQUEST_CLOSE:
    case MQ_REQUEST_CANCEL:
      return STEP_END;
    case MQ_REQUEST_GET:
      break;
    }
  return STEP_COUNT;
}

/* Returns STEP_COUNT if the message is no step.  */
static enum world_step
message_step (const struct mq_message *message, struct mq_id *program)
{
  switch (message->type)
    {
    case MQ_MSG_FORWARD:
      *program = message->u.forward.request.program;
      return request_step (&message->u.forward.request);
    case MQ_MSG_CALL:
      *program = message->u.call.ref.program;
      return STEP_SEND;
    case MQ_MSG_OUTCOME:
      *program = message->u.outcome.ref.program;
      return STEP_OUTCOME;
    case MQ_MSG_FORWARD_EVENT:
      return message->u.event.type == MQ_EVENT_FINAL ? STEP_FINAL : STEP_COUNT;
    case MQ_MSG_FORGET:
      *program = message->u.ref.ref.program;
      return STEP_FORGET;
    case MQ_MSG_LEASE:
      *program = message->u.lease.program;
      return message->u.lease.state == MQ_LEASE_ENDED ? STEP_END : STEP_COUNT;
    case MQ_MSG_CONFIG_HAVE:
    case MQ_MSG_CONFIG_TEXT:
      return STEP_APPLY_SPREAD;
    case MQ_MSG_RECOVER:
      return STEP_RECOVER;
    case MQ_MSG_SEAL:
      *program = message->u.ref.ref.program;
      return STEP_SEAL;
    case MQ_MSG_HANDOVER:
      return STEP_RELEASE;
    default:
      return STEP_COUNT;
    }
}

static int
other_host (const struct wire *wire, int host)
{
  return wire->host[0] == host ? wire->host[1] : wire->host[0];
}

void
fault_message_step (struct world *world, int host, struct wire *wire,
                    const struct mq_message *message)
{
  struct site site = { .actor = host, .target = NO_HOST, .entry = NO_HOST };

  site.worker = ANY_WORKER;
  site.step = message_step (message, &site.program);
  if (site.step == STEP_COUNT)
    return;
  if (wire == NULL)
    site.actor = NO_HOST;
  else if (other_host (wire, host) >= ENTRIES)
    site.target = other_host (wire, host);
  if (host >= ENTRIES)
    {
      site.target = host;
      site.entry = world_owner_of (world, site.program);
    }
  else if (message->type == MQ_MSG_FORWARD)
    site.entry = world_owner_of (world, site.program);
  else
    site.entry = host;
  fault_step (world, &site);
}

/* ---- Steps of store requests ---- */

static void
record_step (struct world *world, struct site *site,
             const ProtobufCBinaryData *bytes)
{
  Mqlog__Record *record
      = mqlog__record__unpack (NULL, bytes->len, bytes->data);

  if (record == NULL)
    return;
  site->program.hi = record->hi;
  site->program.lo = record->lo;
  site->step = STEP_COUNT;
  switch (record->body_case)
    {
    case MQLOG__RECORD__BODY_OPENED:
      site->step = STEP_OPEN;
      break;
    case MQLOG__RECORD__BODY_GRANTED:
      site->step = STEP_GRANT;
      break;
    case MQLOG__RECORD__BODY_INTENT:
      site->step = STEP_INTENT;
      break;
    case MQLOG__RECORD__BODY_OUTCOME:
      site->step = STEP_COMMIT;
      break;
    case MQLOG__RECORD__BODY_ANSWERED:
      site->step = STEP_ANSWER;
      break;
    default:
      break;
    }
  mqlog__record__free_unpacked (record, NULL);
  if (site->step != STEP_COUNT)
    fault_step (world, site);
}

static void
batch_steps (struct world *world, struct site *site, struct mq_bytes value)
{
  Mqlog__Batch *batch = mqlog__batch__unpack (NULL, value.len, value.data);

  for (size_t i = 0; batch != NULL && i < batch->n_records; i++)
    record_step (world, site, &batch->records[i]);
  if (batch != NULL)
    mqlog__batch__free_unpacked (batch, NULL);
}

static void
claim_step (struct world *world, struct site *site, struct mq_bytes value)
{
  Mqlog__PartitionRow *row
      = mqlog__partition_row__unpack (NULL, value.len, value.data);

  if (row == NULL)
    return;
  if (row->owner[0] == '\0')
    site->step = STEP_RELEASE;
  else
    site->step = world->script_done ? STEP_FENCE : STEP_CLAIM;
  mqlog__partition_row__free_unpacked (row, NULL);
  fault_step (world, site);
}

/* Detects a row that references a newer checkpoint than before.  */
static void
install_step (struct world *world, struct site *site,
              const struct mq_store_op *op)
{
  Mqlog__PartitionRow *row
      = mqlog__partition_row__unpack (NULL, op->value.len, op->value.data);
  unsigned long number = strtoul (op->key + strlen ("part/"), NULL, 10);

  if (row == NULL)
    return;
  if (number < PARTITIONS && row->checkpoint > world->checkpoints[number])
    {
      world->checkpoints[number] = row->checkpoint;
      site->step = STEP_INSTALL;
      fault_step (world, site);
    }
  mqlog__partition_row__free_unpacked (row, NULL);
}

static void
checkpoint_steps (struct world *world, struct site *site,
                  const struct mq_store_request *request)
{
  bool removes = false;

  for (size_t i = 0; i < request->op_count; i++)
    {
      const struct mq_store_op *op = &request->ops[i];

      if (begins_with (op->key, "part/"))
        install_step (world, site, op);
      removes = removes || (op->remove && begins_with (op->key, "log/"));
    }
  site->step = STEP_REMOVE;
  if (removes)
    fault_step (world, site);
}

static void
transaction_steps (struct world *world, struct site *site,
                   const struct mq_store_request *request)
{
  bool logs = false;

  checkpoint_steps (world, site, request);
  if (request->op_count > 0 && begins_with (request->ops[0].key, "targets/"))
    {
      site->step = STEP_TARGETS;
      fault_step (world, site);
    }

  for (size_t i = 0; i < request->op_count; i++)
    if (begins_with (request->ops[i].key, "log/") && !request->ops[i].remove)
      {
        logs = true;
        batch_steps (world, site, request->ops[i].value);
      }
  for (size_t i = 0; !logs && i < request->op_count; i++)
    if (begins_with (request->ops[i].key, "part/"))
      claim_step (world, site, request->ops[i].value);
}

void
fault_store_step (struct world *world, int host, enum requester requester,
                  const struct mq_store_request *request)
{
  struct site site = { .actor = host, .target = NO_HOST, .entry = host };

  site.worker = ANY_WORKER;
  if (requester == REQUESTER_OPERATOR && request->kind == MQ_STORE_TXN)
    {
      site.step = STEP_APPLY_WRITE;
      fault_step (world, &site);
    }
  if (requester != REQUESTER_OWNER)
    return;
  if (request->kind == MQ_STORE_TXN)
    transaction_steps (world, &site, request);
  else if (request->kind == MQ_STORE_PUT)
    {
      site.step
          = begins_with (request->key, "ckpt/") ? STEP_SNAPSHOT : STEP_SEGMENT;
      fault_step (world, &site);
    }
  else if (request->kind == MQ_STORE_SCAN
           && begins_with (request->key, "log/"))
    {
      site.step = STEP_REPLAY;
      fault_step (world, &site);
    }
}
