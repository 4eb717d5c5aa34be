/* owner_log.c - group commit of the partition log.

   While a transaction is in progress, records of all partitions of this owner
   accumulate; the next transaction commits them together.  Each partition's
   row is written conditionally on its version, so a batch is applied at most
   once, and only if no other owner has raised the fence.
   Needs: owner_parts.h, proto/log.pb-c.h.  */

#include "owner_parts.h"
#include "../id.h"
#include <stdlib.h>
#include <string.h>

enum
{
  TRUNCATE_ROWS_MAX = 64 /* log rows removed per transaction */
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

/* ---- Appending ---- */

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
  record->elapsed_ms = budget_elapsed_ms (owner, running);
  if (running->clock_started_us != 0)
    running->clock_started_us
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
  owner->appended_position++;
  owner->batch_records++;
  owner->batch_bytes += item->len;
  running->uncommitted_records++;
  read_apply_record (owner, partition, record);
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
log_add_hook (struct mq_owner *owner, struct running *running,
              enum hook_type type, uint32_t call, uint32_t attempt,
              const char *host)
{
  struct hook *hook = add_hook (owner, running, type);

  hook->call = call;
  hook->attempt = attempt;
  if (host != NULL)
    hook->host = talloc_strdup (hook, host);
  return hook;
}

struct hook *
log_add_reply_hook (struct mq_owner *owner, struct running *running,
                    uint32_t peer, uint64_t handle)
{
  struct hook *hook = add_hook (owner, running, HOOK_REPLY);

  hook->peer = peer;
  hook->handle = handle;
  return hook;
}

/* Cancels the hooks of a partition that another owner has fenced; its records
   will not commit, although the rest of the batch may.  Otherwise FORGET would
   be sent, under the new owner's fence, for outcomes that are in no log.  */
void
log_cancel_hooks (struct mq_owner *owner, const struct partition *partition)
{
  struct hook **lists[]
      = { &owner->pending_commit.hooks, &owner->hooks_first };

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

/* ---- Preparing a batch ---- */

static bool
row_is_stale (const struct partition *partition)
{
  /* The row is written once after a takeover, even without new records.
     Otherwise an idle partition's row would keep naming the previous owner as
     a sender.  That owner could then not remove former runs from its targets
     row, and its partitions would forfeit their grants on every takeover.  */
  return partition->snapshot_written || partition->sender_count > 1
         || partition->first <= partition->checkpoint;
}

static bool
needs_commit (const struct partition *partition)
{
  if (partition->state != PARTITION_ACTIVE
      && partition->state != PARTITION_RELEASING)
    return false;
  return partition->pending_first != NULL || row_is_stale (partition)
         || partition->state == PARTITION_RELEASING;
}

static void
pack_batch (struct mq_owner *owner, struct commit_part *part)
{
  struct partition *partition = part->partition;
  Mqlog__Batch batch = MQLOG__BATCH__INIT;
  TALLOC_CTX *memory = owner->pending_commit.memory;
  size_t i = 0;

  batch.batch = owner->pending_commit.batch;
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
    part->object = talloc_asprintf (
        memory, "seg/%05u/%012llu-%016llx", partition->number,
        (unsigned long long)part->sequence,
        (unsigned long long)owner->pending_commit.batch);
}

/* Packs a checkpoint of the partition as of this batch.  The programs in
   memory reflect exactly the records up to the end of the batch.  */
static void
pack_snapshot (struct mq_owner *owner, struct commit_part *part)
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
  part->snapshot.data = talloc_array (owner->pending_commit.memory, uint8_t,
                                      (unsigned int)part->snapshot.len);
  if (part->snapshot.data == NULL)
    abort ();
  mqlog__checkpoint__pack (&checkpoint, part->snapshot.data);
  talloc_free (memory);
}

static void
move_records_to_commit (struct mq_owner *owner, struct partition *partition)
{
  struct record *last = partition->pending_last;

  if (last == NULL)
    return;
  for (struct record *r = partition->pending_first; r != NULL; r = r->next)
    talloc_steal (owner->pending_commit.memory, r);
  last->next = owner->pending_commit.records;
  owner->pending_commit.records = partition->pending_first;
  partition->records_since_checkpoint += partition->pending_count;
  partition->pending_first = NULL;
  partition->pending_last = NULL;
  partition->pending_count = 0;
}

static void
prepare_partition (struct mq_owner *owner, struct partition *partition)
{
  struct pending_commit *pending_commit = &owner->pending_commit;
  struct commit_part *part = &pending_commit->parts[pending_commit->count++];

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
      part->log_key = format_key (pending_commit->memory, "log",
                                  partition->number, part->sequence);
      pack_batch (owner, part);
    }
  move_records_to_commit (owner, partition);
  if (partition->snapshot_sequence == 0 && part->log_key != NULL
      && partition->records_since_checkpoint
             >= owner->options.checkpoint_records)
    pack_snapshot (owner, part);
  partition->in_commit = true;
}

static void
add_row_ops (struct mq_owner *owner, struct mq_store_request *request,
             struct commit_part *part)
{
  struct partition *partition = part->partition;
  Mqlog__PartitionRow row = MQLOG__PARTITION_ROW__INIT;
  struct mq_store_op *op = &request->ops[request->op_count];
  size_t len;

  row.fence = partition->fence;
  row.owner = part->release ? (char *)"" : (char *)owner->options.host;
  row.owner_boot = owner->options.boot;
  row.address = (char *)owner->options.address;
  /* This batch accounts for the tokens that earlier senders spent.  */
  row.n_senders = 1;
  row.senders = &owner->run;
  row.sequence = part->sequence;
  row.batch = owner->pending_commit.batch;
  row.checkpoint = part->checkpoint;
  row.checkpoint_key = part->checkpoint_key == NULL
                           ? (char *)""
                           : (char *)part->checkpoint_key;
  part->first = partition->first;
  while (part->first <= part->checkpoint
         && part->first < partition->first + TRUNCATE_ROWS_MAX)
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

          reference.batch = owner->pending_commit.batch;
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

void
log_send_transaction (struct mq_owner *owner)
{
  struct pending_commit *pending_commit = &owner->pending_commit;
  struct mq_store_request *request;

  pending_commit->state = COMMIT_IN_TRANSACTION;
  pending_commit->request_id = owner_new_id (owner);
  request = owner_add_store_request (owner, MQ_STORE_TXN,
                                     pending_commit->request_id);
  request->ops = talloc_zero_array (
      owner->actions, struct mq_store_op,
      (unsigned int)(pending_commit->count * (2 + TRUNCATE_ROWS_MAX)));
  if (request->ops == NULL)
    abort ();
  for (size_t i = 0; i < pending_commit->count; i++)
    if (pending_commit->parts[i].partition != NULL)
      add_row_ops (owner, request, &pending_commit->parts[i]);
}

/* Writes the next large batch to the object store, or starts the transaction
   if none is left.  The object's key holds the random batch ID, so a retry
   writes the same bytes.  */
void
log_send_objects (struct mq_owner *owner)
{
  struct pending_commit *pending_commit = &owner->pending_commit;
  struct mq_store_request *request;
  struct commit_part *part;

  pending_commit->state = COMMIT_WRITING_OBJECTS;
  while (
      pending_commit->object_next < pending_commit->count
      && (pending_commit->parts[pending_commit->object_next].partition == NULL
          || pending_commit->parts[pending_commit->object_next].object
                 == NULL))
    pending_commit->object_next++;
  if (pending_commit->object_next == pending_commit->count)
    {
      log_send_transaction (owner);
      return;
    }
  part = &pending_commit->parts[pending_commit->object_next];
  pending_commit->request_id = owner_new_id (owner);
  request = owner_add_store_request (owner, MQ_STORE_PUT,
                                     pending_commit->request_id);
  request->key = talloc_strdup (owner->actions, part->object);
  request->value.data
      = talloc_memdup (owner->actions, part->bytes.data, part->bytes.len);
  request->value.len = part->bytes.len;
}

/* Runs hooks at once if no records are uncommitted.  */
static void
run_hooks (struct mq_owner *owner)
{
  while (owner->hooks_first != NULL && owner->batch_records == 0)
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
  struct pending_commit *pending_commit = &owner->pending_commit;
  size_t count = 0;

  if (pending_commit->state != COMMIT_IDLE)
    return;
  for (uint32_t i = 0; i < owner->partition_count; i++)
    if (needs_commit (&owner->partitions[i]))
      count++;
  if (count == 0)
    {
      run_hooks (owner);
      return;
    }
  memset (pending_commit, 0, sizeof *pending_commit);
  pending_commit->memory = talloc_new (owner);
  pending_commit->batch = mq_random_next (&owner->random);
  pending_commit->started_us = owner->now_us;
  pending_commit->position = owner->appended_position;
  pending_commit->parts = talloc_array (
      pending_commit->memory, struct commit_part, (unsigned int)count);
  if (pending_commit->parts == NULL)
    abort ();
  for (uint32_t i = 0; i < owner->partition_count; i++)
    if (needs_commit (&owner->partitions[i]))
      prepare_partition (owner, &owner->partitions[i]);
  pending_commit->hooks = owner->hooks_first;
  owner->hooks_first = NULL;
  owner->hooks_last = NULL;
  owner->batch_records = 0;
  owner->batch_bytes = 0;
  log_send_objects (owner);
}
