/* owner_durable.c - what follows once records are durable, or certainly are
   not.

   Needs: owner_parts.h.  */

#include "owner_parts.h"
#include <string.h>

/* ---- After the transaction ---- */

static void
forget_segments (struct mq_owner *owner, struct partition *partition)
{
  struct segment **at = &partition->segments;

  while (*at != NULL)
    {
      struct segment *segment = *at;
      struct mq_store_request *request;

      if (segment->sequence > partition->checkpoint)
        {
          at = &segment->next;
          continue;
        }
      request = owner_store (owner, MQ_STORE_DELETE, owner_new_id (owner));
      request->key = talloc_strdup (owner->actions, segment->object);
      *at = segment->next;
      talloc_free (segment);
    }
}

static void
drop_object (struct mq_owner *owner, const char *key)
{
  struct mq_store_request *request;

  if (key == NULL || key[0] == '\0')
    return;
  request = owner_store (owner, MQ_STORE_DELETE, owner_new_id (owner));
  request->key = talloc_strdup (owner->actions, key);
}

static void
install_checkpoint (struct mq_owner *owner, struct partition *partition)
{
  drop_object (owner, partition->checkpoint_key);
  talloc_free (partition->checkpoint_key);
  partition->checkpoint_key
      = talloc_steal (owner->partitions, partition->snapshot_key);
  partition->checkpoint = partition->snapshot_sequence;
  partition->snapshot_key = NULL;
  partition->snapshot_sequence = 0;
  partition->snapshot_written = false;
  forget_segments (owner, partition);
}

static void
write_snapshot (struct mq_owner *owner, struct partition *partition)
{
  struct mq_store_request *request;

  partition->snapshot_id = owner_new_id (owner);
  request = owner_store (owner, MQ_STORE_PUT, partition->snapshot_id);
  request->key = talloc_strdup (owner->actions, partition->snapshot_key);
  request->value.data = talloc_memdup (
      owner->actions, partition->snapshot.data, partition->snapshot.len);
  request->value.len = partition->snapshot.len;
}

static void
start_snapshot (struct mq_owner *owner, struct flight_part *part)
{
  struct partition *partition = part->partition;

  partition->snapshot_sequence = part->sequence;
  partition->snapshot_key
      = talloc_asprintf (partition->memory, "ckpt/%05u/%012llu-%016llx",
                         partition->number, (unsigned long long)part->sequence,
                         (unsigned long long)owner->flight.batch);
  partition->snapshot.data
      = talloc_steal (partition->memory, part->snapshot.data);
  partition->snapshot.len = part->snapshot.len;
  partition->records_since_checkpoint = 0;
  write_snapshot (owner, partition);
}

static void
part_applied (struct mq_owner *owner, struct flight_part *part,
              uint64_t version)
{
  struct partition *partition = part->partition;

  partition->in_flight = false;
  partition->row_version = version;
  partition->sequence = part->sequence;
  partition->batch = owner->flight.batch;
  partition->senders[0] = owner->run;
  partition->sender_count = 1;
  partition->first = part->first;
  if (part->object != NULL)
    {
      struct segment *segment
          = talloc_zero (partition->memory, struct segment);

      segment->sequence = part->sequence;
      segment->object = talloc_strdup (segment, part->object);
      segment->next = partition->segments;
      partition->segments = segment;
    }
  if (partition->snapshot_written
      && part->checkpoint == partition->snapshot_sequence)
    install_checkpoint (owner, partition);
  if (part->snapshot.len > 0)
    start_snapshot (owner, part);
  if (part->release)
    take_released (owner, partition);
}

static void
mark_durable (struct mq_owner *owner, const struct record *records)
{
  for (const struct record *r = records; r != NULL; r = r->next)
    {
      struct running *running = chain_find (owner, r->program);

      owner->counters.commit_records++;
      if (running != NULL && running->undurable > 0)
        running->undurable--;
    }
}

/* Failure: a flight of which every partition was lost also carried hooks of
   partitions that had no record in it; they went with it, and a call that
   waited for such a hook waited for ever.  Hooks of what was lost are gone by
   now; these follow the next commit.  */
static void
gather_hooks_again (struct mq_owner *owner, struct hook *first)
{
  struct hook *last = first;

  if (first == NULL)
    return;
  while (last->next != NULL)
    last = last->next;
  last->next = owner->hooks_first;
  if (owner->hooks_first == NULL)
    owner->hooks_last = last;
  owner->hooks_first = first;
}

/* Ends the flight; its hooks run only when its records are durable.  */
static void
finish_flight (struct mq_owner *owner, bool applied)
{
  struct hook *hook = owner->flight.hooks;
  TALLOC_CTX *memory = owner->flight.memory;
  struct record *records = owner->flight.records;

  owner->settled = owner->flight.mark;
  memset (&owner->flight, 0, sizeof owner->flight);
  if (applied)
    {
      owner->counters.commits++;
      mark_durable (owner, records);
    }
  else
    {
      gather_hooks_again (owner, hook);
      hook = NULL;
    }
  while (hook != NULL)
    {
      struct hook *next = hook->next;

      chain_hook (owner, hook);
      talloc_free (hook);
      hook = next;
    }
  talloc_free (memory);
}

static size_t
parts_left (const struct flight *flight)
{
  size_t left = 0;

  for (size_t i = 0; i < flight->count; i++)
    if (flight->parts[i].partition != NULL)
      left++;
  return left;
}

void
durable_drop_partition (struct mq_owner *owner, struct partition *partition)
{
  for (size_t i = 0; i < owner->flight.count; i++)
    if (owner->flight.parts[i].partition == partition)
      owner->flight.parts[i].partition = NULL;
  partition->in_flight = false;
  for (struct record *r = partition->pending_first; r != NULL; r = r->next)
    {
      owner->gathered--;
      owner->gathered_bytes -= r->len;
    }
  partition->pending_first = NULL;
  partition->pending_last = NULL;
  partition->pending_count = 0;
  partition->snapshot_sequence = 0;
  partition->snapshot_key = NULL;
  partition->snapshot_written = false;
  partition->snapshot_id = 0;
  partition->snapshot.len = 0;
  partition->segments = NULL;
}

/* ---- Results ---- */

void
durable_store_failed (struct mq_owner *owner)
{
  if (owner->store_down)
    return;
  owner->store_down = true;
  owner->store_down_us = owner->now_us;
  owner_state (owner, MQ_STATE_STORE_DOWN, 0, "");
}

void
durable_store_worked (struct mq_owner *owner)
{
  if (!owner->store_down)
    return;
  owner->store_down = false;
  owner_state (owner, MQ_STATE_STORE_UP,
               (owner->now_us - owner->store_down_us) / 1000, "");
}

static void
wait_and_resume (struct mq_owner *owner, enum flight_state resume)
{
  struct flight *flight = &owner->flight;

  flight->resume = resume;
  flight->state = FLIGHT_WAIT;
  flight->retry_us
      = owner->now_us
        + 1000ULL
              * owner_jitter_ms (owner, MQ_STORE_RETRY_MS, flight->tries++,
                                 MQ_STORE_RETRY_MAX_MS);
}

static void
send_settle (struct mq_owner *owner)
{
  struct flight *flight = &owner->flight;
  struct mq_store_request *request;

  flight->state = FLIGHT_SETTLE;
  flight->request_id = owner_new_id (owner);
  owner->counters.store_reads++;
  request = owner_store (owner, MQ_STORE_SCAN, flight->request_id);
  request->key = talloc_strdup (owner->actions, "part/");
  request->limit = MQ_PARTITIONS_MAX;
}

static const struct mq_row *
find_row (const struct mq_store_result *result, const char *key)
{
  for (size_t i = 0; i < result->row_count; i++)
    if (strcmp (result->rows[i].key, key) == 0)
      return &result->rows[i];
  return NULL;
}

struct settled
{
  bool present;
  bool applied; /* our batch is the row's last */
  bool ours;    /* nobody raised the fence since */
  uint64_t version;
};

static struct settled
settle_part (struct mq_owner *owner, const struct flight_part *part,
             const struct mq_store_result *result)
{
  struct settled settled = { 0 };
  char *key
      = talloc_asprintf (owner->actions, "part/%05u", part->partition->number);
  const struct mq_row *row = find_row (result, key);
  Mqlog__PartitionRow *value;

  if (row == NULL)
    return settled;
  value = mqlog__partition_row__unpack (NULL, row->value.len, row->value.data);
  if (value == NULL)
    return settled;
  settled.present = true;
  settled.version = row->version;
  settled.applied = value->batch == owner->flight.batch;
  settled.ours = value->fence == part->partition->fence
                 && value->owner_boot == owner->options.boot;
  mqlog__partition_row__free_unpacked (value, NULL);
  return settled;
}

/* A commit whose answer was lost, or that met a conflict: the rows tell.
   Failure: the table applied it but the caller would wait for ever, or be
   told twice.  All rows were written in one transaction, so our batch id in
   any of them means that all of it happened.  Our fence and the old version
   mean that it has not happened yet; the same conditions are sent again, so
   that even if the first one still takes effect later, only one of the two
   applies.  A higher fence means that another owner holds the partition:
   it can't take effect any more, and we say nothing.  */
static void
settle (struct mq_owner *owner, const struct mq_store_result *result)
{
  struct flight *flight = &owner->flight;
  struct settled *settled;
  bool applied = false;

  settled = talloc_zero_array (owner->actions, struct settled,
                               (unsigned int)flight->count);
  for (size_t i = 0; i < flight->count; i++)
    {
      if (flight->parts[i].partition == NULL)
        continue;
      settled[i] = settle_part (owner, &flight->parts[i], result);
      applied = applied || settled[i].applied;
    }
  for (size_t i = 0; i < flight->count; i++)
    {
      struct partition *partition = flight->parts[i].partition;

      if (partition == NULL)
        continue;
      /* Failure: our batch applied, and another owner claimed the partition
         before we read the row; its claim keeps our batch id.  Going on from
         the version that we read, our next commit would pass its condition
         and put the old fence back over the new one.  So whose fence it is
         decides; what is durable the new owner tells.  */
      if (!settled[i].present || !settled[i].ours)
        take_lose (owner, partition);
      else if (settled[i].applied)
        part_applied (owner, &flight->parts[i], settled[i].version);
    }
  if (applied || parts_left (flight) == 0)
    {
      finish_flight (owner, applied);
      log_flush (owner);
      return;
    }
  flight->object_next = 0;
  wait_and_resume (owner, FLIGHT_OBJECTS);
}

static void
transaction_applied (struct mq_owner *owner,
                     const struct mq_store_result *result)
{
  struct flight *flight = &owner->flight;

  for (size_t i = 0; i < flight->count; i++)
    {
      struct flight_part *part = &flight->parts[i];

      if (part->partition == NULL)
        continue;
      if (part->row_op >= result->row_count)
        {
          /* An answer without versions can't be relied on: read them.  */
          send_settle (owner);
          return;
        }
      part_applied (owner, part, result->rows[part->row_op].version);
    }
  finish_flight (owner, true);
  log_flush (owner);
}

static void
flight_result (struct mq_owner *owner, const struct mq_store_result *result)
{
  struct flight *flight = &owner->flight;
  bool failed
      = result->status == MQ_STORE_DOWN || result->status == MQ_STORE_LOST;

  if (failed)
    durable_store_failed (owner);
  else
    durable_store_worked (owner);
  if (parts_left (flight) == 0)
    {
      finish_flight (owner, false);
      log_flush (owner);
      return;
    }
  switch (flight->state)
    {
    case FLIGHT_OBJECTS:
      if (result->status != MQ_STORE_OK)
        {
          wait_and_resume (owner, FLIGHT_OBJECTS);
          return;
        }
      flight->object_next++;
      log_send_objects (owner);
      return;
    case FLIGHT_TXN:
      if (result->status == MQ_STORE_OK)
        transaction_applied (owner, result);
      else if (result->status == MQ_STORE_DOWN)
        wait_and_resume (owner, FLIGHT_TXN);
      else
        {
          if (result->status == MQ_STORE_CONFLICT)
            owner->counters.commit_conflicts++;
          else
            owner->counters.commit_lost++;
          send_settle (owner);
        }
      return;
    case FLIGHT_SETTLE:
      if (result->status != MQ_STORE_OK)
        wait_and_resume (owner, FLIGHT_SETTLE);
      else
        settle (owner, result);
      return;
    case FLIGHT_NONE:
    case FLIGHT_WAIT:
      return;
    }
}

static bool
snapshot_result (struct mq_owner *owner, const struct mq_store_result *result)
{
  for (uint32_t i = 0; i < owner->partition_count; i++)
    {
      struct partition *partition = &owner->partitions[i];

      if (partition->snapshot_id != result->id)
        continue;
      if (result->status == MQ_STORE_OK)
        {
          partition->snapshot_id = 0;
          partition->snapshot_written = true;
          TALLOC_FREE (partition->snapshot.data);
          partition->snapshot.len = 0;
          log_flush (owner);
        }
      else
        /* The same key and bytes again, on a tick.  */
        partition->snapshot_id = 0;
      return true;
    }
  return false;
}

bool
durable_result (struct mq_owner *owner, const struct mq_store_result *result)
{
  struct flight *flight = &owner->flight;

  if (flight->state != FLIGHT_NONE && flight->state != FLIGHT_WAIT
      && flight->request_id == result->id)
    {
      flight_result (owner, result);
      return true;
    }
  return snapshot_result (owner, result);
}

void
durable_tick (struct mq_owner *owner)
{
  struct flight *flight = &owner->flight;

  if (flight->state == FLIGHT_WAIT && owner->now_us >= flight->retry_us)
    {
      if (parts_left (flight) == 0)
        finish_flight (owner, false);
      else if (flight->resume == FLIGHT_OBJECTS)
        log_send_objects (owner);
      else if (flight->resume == FLIGHT_SETTLE)
        send_settle (owner);
      else
        log_send_transaction (owner);
    }
  for (uint32_t i = 0; i < owner->partition_count; i++)
    {
      struct partition *partition = &owner->partitions[i];

      if (partition->snapshot_sequence != 0 && !partition->snapshot_written
          && partition->snapshot_id == 0)
        write_snapshot (owner, partition);
    }
  log_flush (owner);
}
