/* commit_queue.c - group commit: writes to one part of the platform's table
   share a transaction.

   Needs: commit_queue.h, id.h, idmap.h, memory.h.  */

#include "commit_queue.h"
#include "core/id.h"
#include "core/idmap.h"
#include "core/memory.h"
#include <string.h>

/**
 * struct mq_commit - one write
 * @entry: its strings lie below the commit
 * @part: queue that it is in
 * @sent: it is in the transaction under way
 * @cancelled: nobody is told
 */
struct mq_commit
{
  struct mq_commit *next;
  struct part *part;
  struct mq_rows_entry entry;
  bool sent;
  bool cancelled;
  mq_rows_done *done;
  void *user;
};

/**
 * struct part - writes to one part of the table
 * @waiting: oldest first
 * @batch: in the transaction under way
 * @count: how many, 0: none is under way
 * @relayed: it goes through another host
 */
struct part
{
  struct mq_commit_queue *queue;
  struct mq_id id;
  struct mq_commit *waiting;
  struct mq_commit *batch[MQ_COMMIT_ROWS_MAX];
  size_t count;
  bool relayed;
};

struct mq_commit_queue
{
  struct mq_rows *rows;
  struct mq_relay *relay;
  struct mq_idmap *parts;
  struct mq_histogram batch_rows;
};

static void send_next (struct part *part);

struct mq_commit_queue *
mq_commit_queue_create (TALLOC_CTX *ctx, struct mq_rows *rows,
                        struct mq_relay *relay)
{
  struct mq_commit_queue *queue
      = mq_must (talloc_zero (ctx, struct mq_commit_queue));

  queue->rows = rows;
  queue->relay = relay;
  queue->parts = mq_must (mq_idmap_create (queue));
  return queue;
}

const struct mq_histogram *
mq_commit_queue_rows (const struct mq_commit_queue *queue)
{
  return &queue->batch_rows;
}

static struct part *
get_part (struct mq_commit_queue *queue, const char *name)
{
  struct mq_id id = mq_id_text_hash (name);
  struct part *part = mq_idmap_find (queue->parts, id, 0);

  if (part != NULL)
    return part;
  part = mq_must (talloc_zero (queue, struct part));
  part->queue = queue;
  part->id = id;
  mq_idmap_put (queue->parts, id, 0, part);
  return part;
}

static bool
is_same_row (const struct mq_rows_entry *a, const struct mq_rows_entry *b)
{
  return strcmp (a->key, b->key) == 0 && strcmp (a->table, b->table) == 0;
}

/* A conflict names the rows as they are; one that is not named is not
   there.  */
static uint64_t
version_there (const struct mq_rows_entry *entry,
               const struct mq_rows_result *result)
{
  for (size_t i = 0; i < result->row_count; i++)
    if (is_same_row (&result->rows[i], entry))
      return result->rows[i].version;
  return MQ_VERSION_ABSENT;
}

size_t
mq_commit_faults (const struct mq_rows_entry *entries, size_t count,
                  const struct mq_rows_result *result, bool *faults)
{
  size_t found = 0;

  for (size_t i = 0; i < count; i++)
    {
      faults[i] = entries[i].version != MQ_VERSION_ANY
                  && version_there (&entries[i], result) != entries[i].version;
      found += faults[i] ? 1U : 0U;
    }
  for (size_t i = 0; found == 0 && i < count; i++)
    faults[i] = true;
  return found == 0 ? count : found;
}

/* Outcomes */

static void
end_commit (struct mq_commit *commit, const struct mq_rows_result *result)
{
  if (!commit->cancelled)
    commit->done (result, commit->user);
  talloc_free (commit);
}

/* The row of COMMIT alone, as far as RESULT tells it.  */
static struct mq_rows_result
own_result (const struct mq_commit *commit,
            const struct mq_rows_result *result)
{
  struct mq_rows_result own = *result;

  own.rows = NULL;
  own.row_count = 0;
  for (size_t i = 0; i < result->row_count; i++)
    if (is_same_row (&result->rows[i], &commit->entry))
      {
        own.rows = &result->rows[i];
        own.row_count = 1;
      }
  return own;
}

/* Those without fault go again, before what came later.  */
static void
put_first (struct part *part, struct mq_commit *const *commits, size_t count)
{
  while (count-- > 0)
    {
      commits[count]->sent = false;
      commits[count]->next = part->waiting;
      part->waiting = commits[count];
    }
}

/* Splits the batch into those that have an outcome, which are returned, and
   those that go again.  */
static size_t
take_outcomes (struct part *part, const struct mq_rows_result *result,
               struct mq_commit *ended[MQ_COMMIT_ROWS_MAX])
{
  struct mq_rows_entry entries[MQ_COMMIT_ROWS_MAX] = { { .table = NULL } };
  struct mq_commit *again[MQ_COMMIT_ROWS_MAX];
  bool faults[MQ_COMMIT_ROWS_MAX];
  size_t ended_count = 0;
  size_t again_count = 0;

  for (size_t i = 0; i < part->count; i++)
    {
      entries[i] = part->batch[i]->entry;
      faults[i] = true;
    }
  if (result->status == MQ_STORE_CONFLICT)
    (void)mq_commit_faults (entries, part->count, result, faults);
  for (size_t i = 0; i < part->count; i++)
    if (faults[i])
      ended[ended_count++] = part->batch[i];
    else if (part->batch[i]->cancelled)
      talloc_free (part->batch[i]);
    else
      again[again_count++] = part->batch[i];
  part->count = 0;
  put_first (part, again, again_count);
  return ended_count;
}

static void
on_done (const struct mq_rows_result *result, void *user)
{
  struct part *part = user;
  struct mq_commit *ended[MQ_COMMIT_ROWS_MAX];
  size_t count = take_outcomes (part, result, ended);

  for (size_t i = 0; i < count; i++)
    {
      struct mq_rows_result own = own_result (ended[i], result);

      end_commit (ended[i], &own);
    }
  send_next (part);
}

static void on_direct (const struct mq_rows_result *result, void *user);

/* Sending */

static void
send_batch (struct part *part)
{
  struct mq_commit_queue *queue = part->queue;
  struct mq_rows_entry entries[MQ_COMMIT_ROWS_MAX];

  for (size_t i = 0; i < part->count; i++)
    entries[i] = part->batch[i]->entry;
  if (part->relayed)
    mq_relay_commit (queue->relay, entries, part->count, on_done, part);
  else
    mq_rows_commit (queue->rows, entries, part->count, on_direct, part);
}

/* A call that the table turned away, or that did not reach it, was certainly
   not done: another host may make it.  Where the table answered this host
   meanwhile, it is a part of the table that does not, to nobody.  */
static void
on_direct (const struct mq_rows_result *result, void *user)
{
  struct part *part = user;
  struct mq_commit_queue *queue = part->queue;

  if (result->status == MQ_STORE_DOWN && mq_relay_host_count (queue->relay) > 0
      && !mq_rows_part_suspect (queue->rows, part->batch[0]->entry.part))
    {
      part->relayed = true;
      send_batch (part);
    }
  else
    on_done (result, part);
}

/* COMMIT may go with those that were chosen so far: one row is written once in
   a transaction.  */
static bool
fits (const struct part *part, const struct mq_commit *commit, size_t bytes)
{
  if (part->count > 0 && bytes + commit->entry.value.len > MQ_COMMIT_BYTES_MAX)
    return false;
  for (size_t i = 0; i < part->count; i++)
    if (is_same_row (&part->batch[i]->entry, &commit->entry))
      return false;
  return true;
}

static void
choose_batch (struct part *part)
{
  struct mq_commit **at = &part->waiting;
  size_t bytes = 0;

  while (*at != NULL && part->count < MQ_COMMIT_ROWS_MAX)
    {
      struct mq_commit *commit = *at;

      if (!fits (part, commit, bytes))
        {
          at = &commit->next;
          continue;
        }
      *at = commit->next;
      commit->sent = true;
      bytes += commit->entry.value.len;
      part->batch[part->count++] = commit;
    }
}

static void
send_next (struct part *part)
{
  struct mq_commit_queue *queue = part->queue;

  if (part->count > 0 || part->waiting == NULL)
    return;
  choose_batch (part);
  mq_histogram_add (&queue->batch_rows, part->count);
  part->relayed
      = mq_rows_down (queue->rows) && mq_relay_host_count (queue->relay) > 0;
  send_batch (part);
}

struct mq_commit *
mq_commit_add (struct mq_commit_queue *queue,
               const struct mq_rows_entry *entry, mq_rows_done *done,
               void *user)
{
  struct mq_commit *commit = mq_must (talloc_zero (queue, struct mq_commit));
  struct mq_commit **at;

  commit->part = get_part (queue, entry->part);
  commit->done = done;
  commit->user = user;
  commit->entry = *entry;
  commit->entry.table = mq_text_copy (commit, entry->table);
  commit->entry.part = mq_text_copy (commit, entry->part);
  commit->entry.key = mq_text_copy (commit, entry->key);
  if (entry->value.len > 0)
    commit->entry.value.data = mq_must (
        talloc_memdup (commit, entry->value.data, entry->value.len));
  for (at = &commit->part->waiting; *at != NULL; at = &(*at)->next)
    continue;
  *at = commit;
  send_next (commit->part);
  return commit;
}

void
mq_commit_cancel (struct mq_commit *commit)
{
  struct mq_commit **at = &commit->part->waiting;

  commit->cancelled = true;
  if (commit->sent)
    return;
  while (*at != commit)
    at = &(*at)->next;
  *at = commit->next;
  talloc_free (commit);
}
