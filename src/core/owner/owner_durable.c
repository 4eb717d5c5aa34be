/* owner_durable.c - results of commits and checkpoints.

   Runs hooks once records are durable, retries after store failures and
   verifies commits whose result is unknown.

   Needs: owner_parts.h.  */

#include "owner_parts.h"
#include <string.h>

/* ---- Checkpoints and applied commits ---- */

static void
drop_old_segments (struct mq_owner *owner, struct partition *partition)
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
      request = owner_add_store_request (owner, MQ_STORE_DELETE,
                                         owner_new_id (owner));
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
  request
      = owner_add_store_request (owner, MQ_STORE_DELETE, owner_new_id (owner));
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
  drop_old_segments (owner, partition);
}

static void
write_snapshot (struct mq_owner *owner, struct partition *partition)
{
  struct mq_store_request *request;

  partition->snapshot_id = owner_new_id (owner);
  request
      = owner_add_store_request (owner, MQ_STORE_PUT, partition->snapshot_id);
  request->key = talloc_strdup (owner->actions, partition->snapshot_key);
  request->value.data = talloc_memdup (
      owner->actions, partition->snapshot.data, partition->snapshot.len);
  request->value.len = partition->snapshot.len;
}

static void
start_snapshot (struct mq_owner *owner, struct commit_part *part)
{
  struct partition *partition = part->partition;

  partition->snapshot_sequence = part->sequence;
  partition->snapshot_key
      = talloc_asprintf (partition->memory, "ckpt/%05u/%012llu-%016llx",
                         partition->number, (unsigned long long)part->sequence,
                         (unsigned long long)owner->pending_commit.batch);
  partition->snapshot.data
      = talloc_steal (partition->memory, part->snapshot.data);
  partition->snapshot.len = part->snapshot.len;
  partition->records_since_checkpoint = 0;
  write_snapshot (owner, partition);
}

static void
on_part_applied (struct mq_owner *owner, struct commit_part *part,
                 uint64_t version)
{
  struct partition *partition = part->partition;

  partition->in_commit = false;
  partition->row_version = version;
  partition->sequence = part->sequence;
  partition->batch = owner->pending_commit.batch;
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
    take_on_released (owner, partition);
}

static void
mark_durable (struct mq_owner *owner, const struct record *records)
{
  for (const struct record *r = records; r != NULL; r = r->next)
    {
      struct running *running = chain_find (owner, r->program);

      owner->counters.commit_records++;
      if (running != NULL && running->uncommitted_records > 0)
        running->uncommitted_records--;
    }
}

/* Moves the hooks of a dropped commit to the next one.  Hooks of lost
   partitions are already removed; the rest belong to partitions without a
   record in the commit, whose calls would otherwise wait for ever.  */
static void
requeue_hooks (struct mq_owner *owner, struct hook *first)
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

/* Ends the pending commit and, if it was applied, runs its hooks.  */
static void
finish_commit (struct mq_owner *owner, bool applied)
{
  struct hook *hook = owner->pending_commit.hooks;
  TALLOC_CTX *memory = owner->pending_commit.memory;
  struct record *records = owner->pending_commit.records;

  owner->settled_position = owner->pending_commit.position;
  memset (&owner->pending_commit, 0, sizeof owner->pending_commit);
  if (applied)
    {
      owner->counters.commits++;
      mark_durable (owner, records);
    }
  else
    {
      requeue_hooks (owner, hook);
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
count_live_parts (const struct pending_commit *pending_commit)
{
  size_t left = 0;

  for (size_t i = 0; i < pending_commit->count; i++)
    if (pending_commit->parts[i].partition != NULL)
      left++;
  return left;
}

void
durable_drop_partition (struct mq_owner *owner, struct partition *partition)
{
  for (size_t i = 0; i < owner->pending_commit.count; i++)
    if (owner->pending_commit.parts[i].partition == partition)
      owner->pending_commit.parts[i].partition = NULL;
  partition->in_commit = false;
  for (struct record *r = partition->pending_first; r != NULL; r = r->next)
    {
      owner->batch_records--;
      owner->batch_bytes -= r->len;
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
durable_store_unavailable (struct mq_owner *owner)
{
  if (owner->store_down)
    return;
  owner->store_down = true;
  owner->store_down_us = owner->now_us;
  owner_state (owner, MQ_STATE_STORE_DOWN, 0, "");
}

void
durable_store_up (struct mq_owner *owner)
{
  if (!owner->store_down)
    return;
  owner->store_down = false;
  owner_state (owner, MQ_STATE_STORE_UP,
               (owner->now_us - owner->store_down_us) / 1000, "");
}

static void
back_off (struct mq_owner *owner, enum commit_state resume)
{
  struct pending_commit *pending_commit = &owner->pending_commit;

  pending_commit->resume = resume;
  pending_commit->state = COMMIT_BACKOFF;
  pending_commit->retry_us = owner->now_us
                             + 1000ULL
                                   * owner_jitter_ms (owner, MQ_STORE_RETRY_MS,
                                                      pending_commit->tries++,
                                                      MQ_STORE_RETRY_MAX_MS);
}

static void
send_verification_scan (struct mq_owner *owner)
{
  struct pending_commit *pending_commit = &owner->pending_commit;
  struct mq_store_request *request;

  pending_commit->state = COMMIT_VERIFYING;
  pending_commit->request_id = owner_new_id (owner);
  owner->counters.store_reads++;
  request = owner_add_store_request (owner, MQ_STORE_SCAN,
                                     pending_commit->request_id);
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

/* What a partition row says about the pending commit.  */
struct part_status
{
  bool present;
  bool applied; /* the row names the commit's batch */
  bool ours;    /* the fence has not been raised */
  uint64_t version;
};

static struct part_status
read_part_status (struct mq_owner *owner, const struct commit_part *part,
                  const struct mq_store_result *result)
{
  struct part_status row_status = { 0 };
  char *key
      = talloc_asprintf (owner->actions, "part/%05u", part->partition->number);
  const struct mq_row *row = find_row (result, key);
  Mqlog__PartitionRow *value;

  if (row == NULL)
    return row_status;
  value = mqlog__partition_row__unpack (NULL, row->value.len, row->value.data);
  if (value == NULL)
    return row_status;
  row_status.present = true;
  row_status.version = row->version;
  row_status.applied = value->batch == owner->pending_commit.batch;
  row_status.ours = value->fence == part->partition->fence
                    && value->owner_boot == owner->options.boot;
  mqlog__partition_row__free_unpacked (value, NULL);
  return row_status;
}

/* Finds from the rows whether a commit applied whose result was lost or was a
   conflict.  All rows are written in one transaction: the batch id in any row
   means that it applied.  With the fence unchanged and another batch id it
   has not applied yet; it is sent again on the same row versions, so that at
   most one of both applies.  A raised fence means that another host owns the
   partition, and the commit can no longer apply to it.  */
static void
verify_commit (struct mq_owner *owner, const struct mq_store_result *result)
{
  struct pending_commit *pending_commit = &owner->pending_commit;
  struct part_status *row_status;
  bool applied = false;

  row_status = talloc_zero_array (owner->actions, struct part_status,
                                  (unsigned int)pending_commit->count);
  for (size_t i = 0; i < pending_commit->count; i++)
    {
      if (pending_commit->parts[i].partition == NULL)
        continue;
      row_status[i]
          = read_part_status (owner, &pending_commit->parts[i], result);
      applied = applied || row_status[i].applied;
    }
  for (size_t i = 0; i < pending_commit->count; i++)
    {
      struct partition *partition = pending_commit->parts[i].partition;

      if (partition == NULL)
        continue;
      /* The fence decides, not the batch id: a claim by another owner keeps
         the batch id.  Continuing from the version just read, the next commit
         would pass its condition and restore the old fence.  */
      if (!row_status[i].present || !row_status[i].ours)
        take_on_lost (owner, partition);
      else if (row_status[i].applied)
        on_part_applied (owner, &pending_commit->parts[i],
                         row_status[i].version);
    }
  if (applied || count_live_parts (pending_commit) == 0)
    {
      finish_commit (owner, applied);
      log_flush (owner);
      return;
    }
  pending_commit->object_next = 0;
  back_off (owner, COMMIT_WRITING_OBJECTS);
}

static void
on_transaction_applied (struct mq_owner *owner,
                        const struct mq_store_result *result)
{
  struct pending_commit *pending_commit = &owner->pending_commit;

  for (size_t i = 0; i < pending_commit->count; i++)
    {
      struct commit_part *part = &pending_commit->parts[i];

      if (part->partition == NULL)
        continue;
      if (part->row_op >= result->row_count)
        {
          /* The result lacks row versions: read them.  */
          send_verification_scan (owner);
          return;
        }
      on_part_applied (owner, part, result->rows[part->row_op].version);
    }
  finish_commit (owner, true);
  log_flush (owner);
}

static void
commit_result (struct mq_owner *owner, const struct mq_store_result *result)
{
  struct pending_commit *pending_commit = &owner->pending_commit;
  bool failed
      = result->status == MQ_STORE_DOWN || result->status == MQ_STORE_LOST;

  if (failed)
    durable_store_unavailable (owner);
  else
    durable_store_up (owner);
  if (count_live_parts (pending_commit) == 0)
    {
      finish_commit (owner, false);
      log_flush (owner);
      return;
    }
  switch (pending_commit->state)
    {
    case COMMIT_WRITING_OBJECTS:
      if (result->status != MQ_STORE_OK)
        {
          back_off (owner, COMMIT_WRITING_OBJECTS);
          return;
        }
      pending_commit->object_next++;
      log_send_objects (owner);
      return;
    case COMMIT_IN_TRANSACTION:
      if (result->status == MQ_STORE_OK)
        on_transaction_applied (owner, result);
      else if (result->status == MQ_STORE_DOWN)
        back_off (owner, COMMIT_IN_TRANSACTION);
      else
        {
          if (result->status == MQ_STORE_CONFLICT)
            owner->counters.commit_conflicts++;
          else
            owner->counters.commit_lost++;
          send_verification_scan (owner);
        }
      return;
    case COMMIT_VERIFYING:
      if (result->status != MQ_STORE_OK)
        back_off (owner, COMMIT_VERIFYING);
      else
        verify_commit (owner, result);
      return;
    case COMMIT_IDLE:
    case COMMIT_BACKOFF:
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
        /* The next tick retries with the same key and bytes.  */
        partition->snapshot_id = 0;
      return true;
    }
  return false;
}

bool
durable_result (struct mq_owner *owner, const struct mq_store_result *result)
{
  struct pending_commit *pending_commit = &owner->pending_commit;

  if (pending_commit->state != COMMIT_IDLE
      && pending_commit->state != COMMIT_BACKOFF
      && pending_commit->request_id == result->id)
    {
      commit_result (owner, result);
      return true;
    }
  return snapshot_result (owner, result);
}

void
durable_tick (struct mq_owner *owner)
{
  struct pending_commit *pending_commit = &owner->pending_commit;

  if (pending_commit->state == COMMIT_BACKOFF
      && owner->now_us >= pending_commit->retry_us)
    {
      if (count_live_parts (pending_commit) == 0)
        finish_commit (owner, false);
      else if (pending_commit->resume == COMMIT_WRITING_OBJECTS)
        log_send_objects (owner);
      else if (pending_commit->resume == COMMIT_VERIFYING)
        send_verification_scan (owner);
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
