/* owner_log.c - group commit of the partition log.

   Records of all partitions of this owner gather while one transaction is
   under way; the next one takes them all.  Each partition's row is written
   on condition of its version, so a commit applies only while no other
   owner has raised the fence, and at most once.
   Needs: owner_state.h, proto/log.pb-c.h.  */

#include "owner_state.h"
#include "id.h"
#include <stdlib.h>
#include <string.h>

enum
{
  REMOVE_ROWS_MAX = 64 /* old log rows removed by one transaction */
};

static char *
format_key (TALLOC_CTX *ctx, const char *kind, uint32_t partition,
            uint64_t sequence)
{
  char *key = talloc_asprintf (ctx, "%s/%05u/%012llu", kind, partition,
                               (unsigned long long)sequence);

  if (key == NULL)
    abort ();
  return key;
}

/* ---- Gathering ---- */

void
log_append (struct mq_owner *owner, struct running *running,
            Mqlog__Record *record)
{
  struct partition *partition = running->partition;
  struct record *item = talloc_zero (partition->memory, struct record);

  if (item == NULL)
    abort ();
  record->hi = running->program->id.hi;
  record->lo = running->program->id.lo;
  record->elapsed_ms = chain_elapsed_ms (owner, running);
  if (running->clock_us != 0)
    running->clock_us
        += 1000 * (record->elapsed_ms - running->program->elapsed_ms);
  record->charge = running->pending_charge;
  running->pending_charge = 0;
  item->program = running->program->id;
  item->len = mqlog__record__get_packed_size (record);
  item->data = talloc_array (item, uint8_t, (unsigned int)item->len);
  if (item->data == NULL)
    abort ();
  mqlog__record__pack (record, item->data);
  if (partition->pending_last == NULL)
    partition->pending_first = item;
  else
    partition->pending_last->next = item;
  partition->pending_last = item;
  partition->pending_count++;
  owner->appended++;
  owner->gathered++;
  owner->gathered_bytes += item->len;
  running->undurable++;
  take_apply (owner, partition, record);
}

static struct hook *
add_hook (struct mq_owner *owner, struct running *running, enum hook_type type)
{
  struct hook *hook = talloc_zero (owner, struct hook);

  if (hook == NULL)
    abort ();
  hook->type = type;
  hook->since_us = owner->now_us;
  hook->program = running->program->id;
  hook->partition = running->partition->number;
  if (owner->hooks_last == NULL)
    owner->hooks_first = hook;
  else
    owner->hooks_last->next = hook;
  owner->hooks_last = hook;
  return hook;
}

struct hook *
log_hook (struct mq_owner *owner, struct running *running, enum hook_type type,
          uint32_t call, uint32_t attempt, const char *host)
{
  struct hook *hook = add_hook (owner, running, type);

  hook->call = call;
  hook->attempt = attempt;
  if (host != NULL)
    hook->host = talloc_strdup (hook, host);
  return hook;
}

struct hook *
log_hook_reply (struct mq_owner *owner, struct running *running, uint32_t peer,
                uint64_t handle)
{
  struct hook *hook = add_hook (owner, running, HOOK_REPLY);

  hook->peer = peer;
  hook->handle = handle;
  return hook;
}

/* What was to follow the commit of records that another owner's fence has
   made void must not follow the commit of the others' in the same flight.
   Failure: FORGET, under the new owner's fence that we have read by then,
   for outcomes that no log holds.  */
void
log_drop_hooks (struct mq_owner *owner, const struct partition *partition)
{
  struct hook **lists[] = { &owner->flight.hooks, &owner->hooks_first };

  for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    for (struct hook **at = lists[i]; *at != NULL;)
      {
        struct hook *hook = *at;

        if (hook->partition != partition->number)
          {
            at = &hook->next;
            continue;
          }
        *at = hook->next;
        talloc_free (hook);
      }
  owner->hooks_last = owner->hooks_first;
  while (owner->hooks_last != NULL && owner->hooks_last->next != NULL)
    owner->hooks_last = owner->hooks_last->next;
}

/* ---- Sealing a batch ---- */

static bool
row_is_behind (const struct partition *partition)
{
  /* Failure: a partition without work is taken over and its row goes on
     naming the earlier owner, for days; that owner must keep every former
     run of a target's process in its row of targets, and each of its own
     partitions that moves waits for them and forfeits its grants.  So the
     row is written once after each takeover.  */
  return partition->snapshot_written || partition->sender_count > 1
         || partition->first <= partition->checkpoint;
}

static bool
wants_commit (const struct partition *partition)
{
  if (partition->state != PARTITION_ACTIVE
      && partition->state != PARTITION_RELEASING)
    return false;
  return partition->pending_first != NULL || row_is_behind (partition)
         || partition->state == PARTITION_RELEASING;
}

static void
pack_batch (struct mq_owner *owner, struct flight_part *part)
{
  struct partition *partition = part->partition;
  Mqlog__Batch batch = MQLOG__BATCH__INIT;
  TALLOC_CTX *memory = owner->flight.memory;
  size_t i = 0;

  batch.batch = owner->flight.batch;
  batch.fence = partition->fence;
  batch.sequence = part->sequence;
  batch.n_records = partition->pending_count;
  batch.records = talloc_array (memory, ProtobufCBinaryData,
                                (unsigned int)partition->pending_count);
  for (struct record *r = partition->pending_first; r != NULL; r = r->next)
    {
      batch.records[i].data = r->data;
      batch.records[i].len = r->len;
      i++;
    }
  part->bytes.len = mqlog__batch__get_packed_size (&batch);
  part->bytes.data
      = talloc_array (memory, uint8_t, (unsigned int)part->bytes.len);
  if (part->bytes.data == NULL)
    abort ();
  mqlog__batch__pack (&batch, part->bytes.data);
  if (part->bytes.len > owner->options.commit_inline_bytes)
    part->object = talloc_asprintf (memory, "seg/%05u/%012llu-%016llx",
                                    partition->number,
                                    (unsigned long long)part->sequence,
                                    (unsigned long long)owner->flight.batch);
}

/* A checkpoint as of the batch that is being sealed: memory holds just the
   records up to its end.  */
static void
pack_snapshot (struct mq_owner *owner, struct flight_part *part)
{
  struct partition *partition = part->partition;
  TALLOC_CTX *memory = talloc_new (owner);
  Mqlog__Checkpoint checkpoint = MQLOG__CHECKPOINT__INIT;
  size_t position = 0;
  struct running *running;

  checkpoint.sequence = part->sequence;
  checkpoint.programs
      = talloc_array (memory, Mqlog__Program *,
                      (unsigned int)mq_idmap_count (partition->programs));
  while ((running = mq_idmap_next (partition->programs, &position)) != NULL)
    checkpoint.programs[checkpoint.n_programs++]
        = mq_program_pack (memory, running->program);
  part->snapshot.len = mqlog__checkpoint__get_packed_size (&checkpoint);
  part->snapshot.data = talloc_array (owner->flight.memory, uint8_t,
                                      (unsigned int)part->snapshot.len);
  if (part->snapshot.data == NULL)
    abort ();
  mqlog__checkpoint__pack (&checkpoint, part->snapshot.data);
  talloc_free (memory);
}

static void
move_records (struct mq_owner *owner, struct partition *partition)
{
  struct record *last = partition->pending_last;

  if (last == NULL)
    return;
  for (struct record *r = partition->pending_first; r != NULL; r = r->next)
    talloc_steal (owner->flight.memory, r);
  last->next = owner->flight.records;
  owner->flight.records = partition->pending_first;
  partition->records_since_checkpoint += partition->pending_count;
  partition->pending_first = NULL;
  partition->pending_last = NULL;
  partition->pending_count = 0;
}

static void
seal_partition (struct mq_owner *owner, struct partition *partition)
{
  struct flight *flight = &owner->flight;
  struct flight_part *part = &flight->parts[flight->count++];

  memset (part, 0, sizeof *part);
  part->partition = partition;
  part->sequence = partition->sequence;
  part->checkpoint = partition->checkpoint;
  part->checkpoint_key = partition->checkpoint_key;
  part->first = partition->first;
  part->release = partition->state == PARTITION_RELEASING;
  if (partition->snapshot_written)
    {
      part->checkpoint = partition->snapshot_sequence;
      part->checkpoint_key = partition->snapshot_key;
    }
  if (partition->pending_first != NULL)
    {
      part->sequence++;
      part->log_key = format_key (flight->memory, "log", partition->number,
                                  part->sequence);
      pack_batch (owner, part);
    }
  move_records (owner, partition);
  if (partition->snapshot_sequence == 0 && part->log_key != NULL
      && partition->records_since_checkpoint
             >= owner->options.checkpoint_records)
    pack_snapshot (owner, part);
  partition->in_flight = true;
}

static void
add_row_ops (struct mq_owner *owner, struct mq_store_request *request,
             struct flight_part *part)
{
  struct partition *partition = part->partition;
  Mqlog__PartitionRow row = MQLOG__PARTITION_ROW__INIT;
  struct mq_store_op *op = &request->ops[request->op_count];
  size_t len;

  row.fence = partition->fence;
  row.owner = part->release ? (char *)"" : (char *)owner->options.host;
  row.owner_boot = owner->options.boot;
  row.address = (char *)owner->options.address;
  /* From this batch on, what earlier owners spent is accounted for.  */
  row.n_senders = 1;
  row.senders = &owner->run;
  row.sequence = part->sequence;
  row.batch = owner->flight.batch;
  row.checkpoint = part->checkpoint;
  row.checkpoint_key = part->checkpoint_key == NULL
                           ? (char *)""
                           : (char *)part->checkpoint_key;
  part->first = partition->first;
  while (part->first <= part->checkpoint
         && part->first < partition->first + REMOVE_ROWS_MAX)
    part->first++;
  row.first = part->first;
  part->row_op = request->op_count++;
  op->key = talloc_asprintf (owner->actions, "part/%05u", partition->number);
  op->if_version = partition->row_version;
  len = mqlog__partition_row__get_packed_size (&row);
  op->value.data = talloc_array (owner->actions, uint8_t, (unsigned int)len);
  op->value.len = mqlog__partition_row__pack (&row, op->value.data);
  if (part->log_key != NULL)
    {
      op = &request->ops[request->op_count++];
      op->key = talloc_strdup (owner->actions, part->log_key);
      op->if_version = MQ_VERSION_ABSENT;
      op->value = part->bytes;
      if (part->object != NULL)
        {
          Mqlog__Batch reference = MQLOG__BATCH__INIT;

          reference.batch = owner->flight.batch;
          reference.fence = partition->fence;
          reference.sequence = part->sequence;
          reference.object = part->object;
          len = mqlog__batch__get_packed_size (&reference);
          op->value.data
              = talloc_array (owner->actions, uint8_t, (unsigned int)len);
          op->value.len = mqlog__batch__pack (&reference, op->value.data);
        }
      else
        op->value.data = talloc_memdup (owner->actions, part->bytes.data,
                                        part->bytes.len);
    }
  for (uint64_t old = partition->first; old < part->first; old++)
    {
      op = &request->ops[request->op_count++];
      op->key = format_key (owner->actions, "log", partition->number, old);
      op->if_version = MQ_VERSION_ANY;
      op->remove = true;
    }
}

static void
send_transaction (struct mq_owner *owner)
{
  struct flight *flight = &owner->flight;
  struct mq_store_request *request;

  flight->state = FLIGHT_TXN;
  flight->request_id = owner_new_id (owner);
  request = owner_store (owner, MQ_STORE_TXN, flight->request_id);
  request->ops = talloc_zero_array (
      owner->actions, struct mq_store_op,
      (unsigned int)(flight->count * (2 + REMOVE_ROWS_MAX)));
  if (request->ops == NULL)
    abort ();
  for (size_t i = 0; i < flight->count; i++)
    if (flight->parts[i].partition != NULL)
      add_row_ops (owner, request, &flight->parts[i]);
}

static void finish_flight (struct mq_owner *owner, bool applied);

/* Writes the next large batch to its object, or goes on to the
   transaction.  The key holds the batch's random id, so writing it twice
   writes the same bytes.  */
static void
send_objects (struct mq_owner *owner)
{
  struct flight *flight = &owner->flight;
  struct mq_store_request *request;
  struct flight_part *part;

  flight->state = FLIGHT_OBJECTS;
  while (flight->object_next < flight->count
         && (flight->parts[flight->object_next].partition == NULL
             || flight->parts[flight->object_next].object == NULL))
    flight->object_next++;
  if (flight->object_next == flight->count)
    {
      send_transaction (owner);
      return;
    }
  part = &flight->parts[flight->object_next];
  flight->request_id = owner_new_id (owner);
  request = owner_store (owner, MQ_STORE_PUT, flight->request_id);
  request->key = talloc_strdup (owner->actions, part->object);
  request->value.data
      = talloc_memdup (owner->actions, part->bytes.data, part->bytes.len);
  request->value.len = part->bytes.len;
}

/* Nothing is under way or gathers: what was to follow a commit follows now. */
static void
run_hooks (struct mq_owner *owner)
{
  while (owner->hooks_first != NULL && owner->gathered == 0)
    {
      struct hook *hook = owner->hooks_first;

      owner->hooks_first = hook->next;
      if (owner->hooks_first == NULL)
        owner->hooks_last = NULL;
      chain_hook (owner, hook);
      talloc_free (hook);
    }
}

void
log_flush (struct mq_owner *owner)
{
  struct flight *flight = &owner->flight;
  size_t count = 0;

  if (flight->state != FLIGHT_NONE)
    return;
  for (uint32_t i = 0; i < owner->partition_count; i++)
    if (wants_commit (&owner->partitions[i]))
      count++;
  if (count == 0)
    {
      run_hooks (owner);
      return;
    }
  memset (flight, 0, sizeof *flight);
  flight->memory = talloc_new (owner);
  flight->batch = mq_random_next (&owner->random);
  flight->started_us = owner->now_us;
  flight->mark = owner->appended;
  flight->parts
      = talloc_array (flight->memory, struct flight_part, (unsigned int)count);
  if (flight->parts == NULL)
    abort ();
  for (uint32_t i = 0; i < owner->partition_count; i++)
    if (wants_commit (&owner->partitions[i]))
      seal_partition (owner, &owner->partitions[i]);
  flight->hooks = owner->hooks_first;
  owner->hooks_first = NULL;
  owner->hooks_last = NULL;
  owner->gathered = 0;
  owner->gathered_bytes = 0;
  send_objects (owner);
}

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
      request = owner_store (owner, MQ_STORE_DROP, owner_new_id (owner));
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
  request = owner_store (owner, MQ_STORE_DROP, owner_new_id (owner));
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
log_drop_partition (struct mq_owner *owner, struct partition *partition)
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
log_store_failed (struct mq_owner *owner)
{
  if (owner->store_down)
    return;
  owner->store_down = true;
  owner->store_down_us = owner->now_us;
  owner_state (owner, MQ_STATE_STORE_DOWN, 0, "");
}

void
log_store_worked (struct mq_owner *owner)
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
    log_store_failed (owner);
  else
    log_store_worked (owner);
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
      send_objects (owner);
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
log_store_result (struct mq_owner *owner, const struct mq_store_result *result)
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
log_tick (struct mq_owner *owner)
{
  struct flight *flight = &owner->flight;

  if (flight->state == FLIGHT_WAIT && owner->now_us >= flight->retry_us)
    {
      if (parts_left (flight) == 0)
        finish_flight (owner, false);
      else if (flight->resume == FLIGHT_OBJECTS)
        send_objects (owner);
      else if (flight->resume == FLIGHT_SETTLE)
        send_settle (owner);
      else
        send_transaction (owner);
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
