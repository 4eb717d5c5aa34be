/* owner_read.c - reads and replays the log of a partition during a takeover.

   Needs: owner_parts.h, proto/log.pb-c.h.  */

#include "owner_parts.h"
#include "../id.h"
#include <stdlib.h>
#include <string.h>

enum
{
  LOG_PAGE_ROWS = 256
};

/* ---- Reading the log ---- */

static void
read_schedule_retry (struct mq_owner *owner, struct partition *partition)
{
  durable_store_unavailable (owner);
  partition->retry_us
      = owner->now_us
        + 1000ULL * owner_jitter_ms (owner, MQ_STORE_RETRY_MS, 1, 1000);
}

static void
send_get (struct mq_owner *owner, struct partition *partition, const char *key)
{
  struct mq_store_request *request;

  partition->read_id = owner_new_id (owner);
  owner->counters.store_reads++;
  request = owner_add_store_request (owner, MQ_STORE_GET, partition->read_id);
  request->key = talloc_strdup (owner->actions, key);
}

static void
send_scan (struct mq_owner *owner, struct partition *partition, char *prefix,
           const char *after, uint32_t limit)
{
  struct mq_store_request *request;

  partition->read_id = owner_new_id (owner);
  owner->counters.store_reads++;
  request = owner_add_store_request (owner, MQ_STORE_SCAN, partition->read_id);
  request->key = prefix;
  request->after = talloc_strdup (owner->actions, after);
  request->limit = limit;
}

static void start_recover (struct mq_owner *owner,
                           struct partition *partition);

void
read_send_next (struct mq_owner *owner, struct partition *partition)
{
  struct takeover *takeover = partition->takeover;

  switch (takeover->step)
    {
    case TAKEOVER_READ_CHECKPOINT:
      if (partition->checkpoint_key != NULL
          && partition->checkpoint_key[0] != '\0')
        {
          send_get (owner, partition, partition->checkpoint_key);
          return;
        }
      takeover->step = TAKEOVER_READ_LOG;
      break;
    case TAKEOVER_READ_LOG:
    case TAKEOVER_READ_OBJECTS:
    case TAKEOVER_READ_TARGETS:
      break;
    }
  if (takeover->step == TAKEOVER_READ_LOG)
    {
      send_scan (
          owner, partition,
          talloc_asprintf (owner->actions, "log/%05u/", partition->number),
          takeover->after, LOG_PAGE_ROWS);
      return;
    }
  if (takeover->step == TAKEOVER_READ_OBJECTS)
    {
      while (takeover->row_next < takeover->row_count
             && takeover->rows[takeover->row_next].object == NULL)
        takeover->row_next++;
      if (takeover->row_next < takeover->row_count)
        {
          send_get (owner, partition,
                    takeover->rows[takeover->row_next].object);
          return;
        }
      takeover->step = TAKEOVER_READ_TARGETS;
    }
  send_scan (owner, partition,
             talloc_asprintf (owner->actions, "targets/%s",
                              partition->senders[takeover->sender_next]),
             "", 1);
}

void
read_start (struct mq_owner *owner, struct partition *partition)
{
  struct takeover *takeover;

  partition->state = PARTITION_READING;
  partition->retry_us = 0;
  owner->claiming++;
  partition->memory = talloc_new (owner);
  partition->programs = mq_idmap_create (partition->memory);
  partition->records_since_checkpoint = 0;
  takeover = talloc_zero (partition->memory, struct takeover);
  if (takeover == NULL)
    abort ();
  takeover->step = TAKEOVER_READ_CHECKPOINT;
  takeover->after
      = talloc_asprintf (takeover, "log/%05u/%012llu", partition->number,
                         (unsigned long long)partition->checkpoint);
  partition->takeover = takeover;
  read_send_next (owner, partition);
}

/* Restarts the takeover after reading an inconsistent log.  */
static void
read_restart (struct mq_owner *owner, struct partition *partition)
{
  take_unload_partition (owner, partition);
  partition->retry_us = owner->now_us + 1000ULL * MQ_STORE_RETRY_MAX_MS;
  owner->next_scan_us = owner->now_us;
}

static bool
unpack_checkpoint (struct mq_owner *owner, struct partition *partition,
                   const struct mq_store_result *result)
{
  Mqlog__Checkpoint *checkpoint = mqlog__checkpoint__unpack (
      NULL, result->value.len, result->value.data);

  if (checkpoint == NULL)
    return false;
  for (size_t i = 0; i < checkpoint->n_programs; i++)
    chain_add (owner, partition,
               mq_program_unpack (partition->memory, checkpoint->programs[i]));
  mqlog__checkpoint__free_unpacked (checkpoint, NULL);
  return true;
}

static void
add_log_row (struct takeover *takeover, const struct mq_row *row)
{
  Mqlog__Batch *batch
      = mqlog__batch__unpack (NULL, row->value.len, row->value.data);
  struct logged_batch *batch_row;

  takeover->rows
      = talloc_realloc (takeover, takeover->rows, struct logged_batch,
                        (unsigned int)takeover->row_count + 1);
  if (takeover->rows == NULL)
    abort ();
  batch_row = &takeover->rows[takeover->row_count++];
  memset (batch_row, 0, sizeof *batch_row);
  talloc_free (takeover->after);
  takeover->after = talloc_strdup (takeover, row->key);
  if (batch == NULL)
    return;
  batch_row->sequence = batch->sequence;
  if (batch->object[0] != '\0')
    batch_row->object = talloc_strdup (takeover, batch->object);
  batch_row->bytes.data
      = talloc_memdup (takeover, row->value.data, row->value.len);
  batch_row->bytes.len = row->value.len;
  mqlog__batch__free_unpacked (batch, NULL);
}

static void
add_segment (struct partition *partition, const struct logged_batch *row)
{
  struct segment *segment;

  if (row->object == NULL)
    return;
  segment = talloc_zero (partition->memory, struct segment);
  segment->sequence = row->sequence;
  segment->object = talloc_strdup (segment, row->object);
  segment->next = partition->segments;
  partition->segments = segment;
}

static bool
replay_batch (struct mq_owner *owner, struct partition *partition,
              const struct mq_bytes *bytes)
{
  Mqlog__Batch *batch = mqlog__batch__unpack (NULL, bytes->len, bytes->data);
  bool valid = batch != NULL;

  for (size_t i = 0; valid && i < batch->n_records; i++)
    {
      Mqlog__Record *record = mqlog__record__unpack (
          NULL, batch->records[i].len, batch->records[i].data);

      if (record == NULL)
        valid = false;
      else
        read_apply_record (owner, partition, record);
      partition->records_since_checkpoint++;
      mqlog__record__free_unpacked (record, NULL);
    }
  if (batch != NULL)
    mqlog__batch__free_unpacked (batch, NULL);
  return valid;
}

/* Requires every batch from the checkpoint up to the row's sequence.
   Replaying a log with a gap would lose part of a program's history.  */
static bool
replay (struct mq_owner *owner, struct partition *partition)
{
  struct takeover *takeover = partition->takeover;
  uint64_t expected = partition->checkpoint;

  for (size_t i = 0; i < takeover->row_count; i++)
    {
      if (takeover->rows[i].sequence != ++expected)
        return false;
      if (!replay_batch (owner, partition, &takeover->rows[i].bytes))
        return false;
      add_segment (partition, &takeover->rows[i]);
    }
  return expected == partition->sequence;
}

static void
add_recovery_wait (struct takeover *takeover, const char *host, uint64_t boot)
{
  struct recovery_wait *wait;

  takeover->waits
      = talloc_realloc (takeover, takeover->waits, struct recovery_wait,
                        (unsigned int)takeover->wait_count + 1);
  if (takeover->waits == NULL)
    abort ();
  wait = &takeover->waits[takeover->wait_count++];
  wait->host = talloc_strdup (takeover, host);
  wait->boot = boot;
  wait->answered = false;
}

static void
add_recovery_targets (struct partition *partition,
                      const struct mq_store_result *result)
{
  struct takeover *takeover = partition->takeover;
  char *key = talloc_asprintf (takeover, "targets/%s",
                               partition->senders[takeover->sender_next]);

  for (size_t i = 0; i < result->row_count; i++)
    {
      Mqlog__TargetsRow *row;

      if (strcmp (result->rows[i].key, key) != 0)
        continue;
      row = mqlog__targets_row__unpack (NULL, result->rows[i].value.len,
                                        result->rows[i].value.data);
      if (row == NULL)
        continue;
      for (size_t j = 0; j < row->n_hosts && j < row->n_boots; j++)
        add_recovery_wait (takeover, row->hosts[j], row->boots[j]);
      mqlog__targets_row__free_unpacked (row, NULL);
    }
}

void
read_on_result (struct mq_owner *owner, struct partition *partition,
                const struct mq_store_result *result)
{
  struct takeover *takeover = partition->takeover;

  partition->read_id = 0;
  if (result->status != MQ_STORE_OK)
    {
      read_schedule_retry (owner, partition);
      return;
    }
  durable_store_up (owner);
  switch (takeover->step)
    {
    case TAKEOVER_READ_CHECKPOINT:
      if (!unpack_checkpoint (owner, partition, result))
        {
          read_restart (owner, partition);
          return;
        }
      takeover->step = TAKEOVER_READ_LOG;
      break;
    case TAKEOVER_READ_LOG:
      for (size_t i = 0; i < result->row_count; i++)
        add_log_row (takeover, &result->rows[i]);
      if (!result->more)
        takeover->step = TAKEOVER_READ_OBJECTS;
      break;
    case TAKEOVER_READ_OBJECTS:
      {
        struct logged_batch *row = &takeover->rows[takeover->row_next++];

        row->bytes.data
            = talloc_memdup (takeover, result->value.data, result->value.len);
        row->bytes.len = result->value.len;
        break;
      }
    case TAKEOVER_READ_TARGETS:
      add_recovery_targets (partition, result);
      if (++takeover->sender_next < partition->sender_count)
        break;
      if (!replay (owner, partition))
        {
          read_restart (owner, partition);
          return;
        }
      start_recover (owner, partition);
      return;
    }
  read_send_next (owner, partition);
}

/* ---- Recovering attempts from targets ---- */

static void
send_recover (struct mq_owner *owner, struct partition *partition,
              struct target *target)
{
  struct mq_message message = { .type = MQ_MSG_RECOVER };

  message.u.recover.partition = partition->number;
  message.u.recover.fence = partition->fence;
  hosts_send (owner, target, &message);
}

static bool
all_recovered (const struct takeover *takeover)
{
  for (size_t i = 0; i < takeover->wait_count; i++)
    if (!takeover->waits[i].answered)
      return false;
  return true;
}

void
read_activate (struct mq_owner *owner, struct partition *partition)
{
  struct running **all;
  size_t count = mq_idmap_count (partition->programs);
  size_t position = 0;
  bool all_answered = all_recovered (partition->takeover);

  owner->claiming--;
  owner->counters.takeovers++;
  partition->state = PARTITION_ACTIVE;
  partition->takeover = NULL;
  owner_state (owner, MQ_STATE_PARTITION_OWNED, partition->number, "");
  /* Collected first, since resuming a program may add sub-programs to the
     map.  */
  all = talloc_array (owner->actions, struct running *, (unsigned int)count);
  for (size_t i = 0; i < count; i++)
    all[i] = mq_idmap_next (partition->programs, &position);
  for (size_t i = 0; i < count; i++)
    if (!all_answered)
      budget_forfeit (owner, all[i]);
  for (size_t i = 0; i < count; i++)
    settle_resume_program (owner, all[i]);
  log_flush (owner);
}

static void
start_recover (struct mq_owner *owner, struct partition *partition)
{
  partition->state = PARTITION_RECOVERING;
  partition->takeover->recovery_deadline_us
      = owner->now_us + 1000ULL * MQ_RECOVER_MS;
  for (struct target *t = owner->targets; t != NULL; t = t->next)
    if (t->peer != 0)
      send_recover (owner, partition, t);
  if (all_recovered (partition->takeover))
    read_activate (owner, partition);
}

void
read_recovered (struct mq_owner *owner, struct target *target,
                const struct mq_recovered_msg *recovered)
{
  struct partition *partition;

  if (recovered->partition >= owner->partition_count)
    return;
  partition = &owner->partitions[recovered->partition];
  if (recovered->fence > partition->fence)
    {
      /* A newer owner exists; the next scan shows which host it is.  */
      owner->next_scan_us = owner->now_us;
      return;
    }
  for (size_t i = 0; i < recovered->running_count; i++)
    settle_reported_attempt (owner, target, recovered->running[i],
                             partition->number);
  if (partition->state != PARTITION_RECOVERING)
    return;
  for (size_t i = 0; i < partition->takeover->wait_count; i++)
    if (strcmp (partition->takeover->waits[i].host, target->host) == 0
        && partition->takeover->waits[i].boot == recovered->boot)
      partition->takeover->waits[i].answered = true;
  if (all_recovered (partition->takeover))
    read_activate (owner, partition);
}

/* Requests the outcomes that the target's process retained for a previous
   owner or that were lost with the connection.  */
void
read_on_target_up (struct mq_owner *owner, struct target *target)
{
  for (uint32_t i = 0; i < owner->partition_count; i++)
    {
      struct partition *partition = &owner->partitions[i];

      if (partition->state == PARTITION_RECOVERING
          || partition->state == PARTITION_ACTIVE)
        send_recover (owner, partition, target);
    }
}

/* ---- Applying records ---- */

static void
charge_ancestors (struct running *running, const Mqlog__Record *record)
{
  bool outcome = record->body_case == MQLOG__RECORD__BODY_OUTCOME;

  if (record->body_case == MQLOG__RECORD__BODY_FORFEITED)
    return;
  for (struct running *ancestor = running->parent; ancestor != NULL;
       ancestor = ancestor->parent)
    {
      ancestor->program->spent += record->charge;
      if (outcome)
        ancestor->program->turns++;
    }
}

void
read_apply_record (struct mq_owner *owner, struct partition *partition,
                   const Mqlog__Record *record)
{
  struct mq_id id = { record->hi, record->lo };
  struct running *running = mq_idmap_find (partition->programs, id, 0);

  if (record->body_case == MQLOG__RECORD__BODY_OPENED)
    {
      if (running == NULL)
        chain_add (owner, partition,
                   mq_program_open (partition->memory, id, record->opened));
      return;
    }
  if (running == NULL)
    return;
  if (running->program->state != MQ_PROGRAM_ENDED
      && record->body_case == MQLOG__RECORD__BODY_ANSWERED
      && record->answered->ended)
    chain_count_live (owner, running, -1);
  mq_program_apply (running->program, record);
  charge_ancestors (running, record);
  owner->counters.tokens_spent += record->charge;
}
