/* commit_queue.c - group commit: writes to one part of the platform's table
   share a transaction.

   Each part has two queues: one of writes that this host sends to the table,
   including those forwarded by other hosts, and one of writes that it forwards
   to the host of its data centre that batches for the part.  While the table
   is slow, the batching hosts of all data centres forward to one of them.
   Needs: commit_queue.h, id.h, idmap.h, memory.h, clock.h.  */

#include "commit_queue.h"
#include "core/id.h"
#include "core/idmap.h"
#include "core/memory.h"
#include "net/clock.h"
#include <stdio.h>
#include <string.h>

/* Time of a write forwarded to the batching host beyond that of a call to the
   table.  */
#define FORWARD_HOP_MS 50U

/* Latency of the table from which one host batches for all data centres.  A
   part writes one transaction after another, so each further writer adds the
   table's latency to the wait of all.

   Failure: the transactions of many data centres wait for each other for more
   than a second, and the table rejects them.  */
#define SLOW_TABLE_MS 50U

/* Destination of a queue.  */
enum
{
  TO_TABLE,
  TO_BATCH_HOST
};

/**
 * struct mq_commit - an atomic unit: one write of this host, or a transaction
 *                    forwarded by another host
 * @entries: strings are owned by the commit
 * @relayed: made for another host
 * @sent: in the transaction in flight
 * @cancelled: @done is not called
 * @alone: the table rejected a transaction that it was in; it is sent by
 *         itself
 * @since_ms: when it was queued or sent, local monotonic clock
 */
struct mq_commit
{
  struct mq_commit *next;
  struct part_queue *part;
  struct mq_rows_entry *entries;
  size_t count;
  bool relayed;
  bool sent;
  bool cancelled;
  bool alone;
  uint64_t since_ms;
  mq_rows_done *done;
  void *user;
};

/**
 * struct part_queue - queue of writes to one part of the table
 * @destination: TO_TABLE or TO_BATCH_HOST
 * @waiting: oldest first
 * @batch: commits of the transaction in flight
 * @count: commits in @batch, 0 if no transaction is in flight
 * @rows: rows written by @batch
 * @entries: their entries in the table's transaction
 * @host: batching host that @batch was forwarded to; NULL for the table
 */
struct part_queue
{
  struct mq_commit_queue *queue;
  struct mq_id id;
  uint32_t destination;
  struct mq_commit *waiting;
  struct mq_commit *batch[MQ_COMMIT_ROWS_MAX];
  size_t count;
  struct mq_rows_entry rows[MQ_COMMIT_ROWS_MAX];
  size_t row_count;
  size_t entries;
  char *host;
};

struct mq_commit_queue
{
  struct mq_rows *rows;
  struct mq_relay *relay;
  struct mq_idmap *parts;
  struct mq_histogram batch_rows;
};

static void send_next (struct part_queue *part);

struct mq_commit_queue *
mq_commit_queue_create (TALLOC_CTX *ctx, struct mq_rows *rows,
                        struct mq_relay *relay)
{
  struct mq_commit_queue *queue
      = mq_check_alloc (talloc_zero (ctx, struct mq_commit_queue));

  queue->rows = rows;
  queue->relay = relay;
  queue->parts = mq_check_alloc (mq_idmap_create (queue));
  return queue;
}

const struct mq_histogram *
mq_commit_queue_rows (const struct mq_commit_queue *queue)
{
  return &queue->batch_rows;
}

static struct part_queue *
get_part (struct mq_commit_queue *queue, const char *name,
          uint32_t destination)
{
  struct mq_id id = mq_id_from_text (name);
  struct part_queue *part = mq_idmap_find (queue->parts, id, destination);

  if (part != NULL)
    return part;
  part = mq_check_alloc (talloc_zero (queue, struct part_queue));
  part->queue = queue;
  part->id = id;
  part->destination = destination;
  mq_idmap_put (queue->parts, id, destination, part);
  return part;
}

static bool
is_same_row (const struct mq_rows_entry *a, const struct mq_rows_entry *b)
{
  return strcmp (a->key, b->key) == 0 && strcmp (a->table, b->table) == 0;
}

/* Current version of the row of ENTRY.  A conflict result lists the existing
   rows; a row that it lacks is absent.  */
static uint64_t
current_version (const struct mq_rows_entry *entry,
                 const struct mq_rows_result *result)
{
  for (size_t i = 0; i < result->row_count; i++)
    if (is_same_row (&result->rows[i], entry))
      return result->rows[i].version;
  return MQ_VERSION_ABSENT;
}

size_t
mq_commit_find_conflicts (const struct mq_rows_entry *entries, size_t count,
                          const struct mq_rows_result *result, bool *conflicts)
{
  size_t found = 0;

  for (size_t i = 0; i < count; i++)
    {
      conflicts[i]
          = entries[i].version != MQ_VERSION_ANY
            && current_version (&entries[i], result) != entries[i].version;
      found += conflicts[i] ? 1U : 0U;
    }
  for (size_t i = 0; found == 0 && i < count; i++)
    conflicts[i] = true;
  return found == 0 ? count : found;
}

/* Results */

static void
end_commit (struct mq_commit *commit, const struct mq_rows_result *result)
{
  if (!commit->cancelled)
    commit->done (result, commit->user);
  talloc_free (commit);
}

/* RESULT reduced to the rows of COMMIT, which are stored in ROWS.  */
static struct mq_rows_result
own_result (const struct mq_commit *commit,
            const struct mq_rows_result *result,
            struct mq_rows_entry rows[MQ_COMMIT_ROWS_MAX])
{
  struct mq_rows_result own = *result;

  own.rows = rows;
  own.row_count = 0;
  for (size_t k = 0; k < commit->count; k++)
    for (size_t i = 0; i < result->row_count; i++)
      if (is_same_row (&result->rows[i], &commit->entries[k]))
        rows[own.row_count++] = result->rows[i];
  return own;
}

/* Requeues commits that caused no conflict ahead of newer ones.  */
static void
requeue (struct part_queue *part, struct mq_commit *const *commits,
         size_t count)
{
  while (count-- > 0)
    {
      commits[count]->sent = false;
      commits[count]->since_ms = mq_clock_ms ();
      commits[count]->next = part->waiting;
      part->waiting = commits[count];
    }
}

static bool
has_conflict (const bool *conflicts, size_t first, size_t count)
{
  for (size_t i = first; i < first + count; i++)
    if (conflicts[i])
      return true;
  return false;
}

/* Stores the commits of the batch that are complete in ENDED, returns their
   number and requeues the others.  */
static size_t
split_batch (struct part_queue *part, const struct mq_rows_result *result,
             struct mq_commit *ended[MQ_COMMIT_ROWS_MAX])
{
  struct mq_commit *retry[MQ_COMMIT_ROWS_MAX];
  bool conflicts[MQ_COMMIT_ROWS_MAX];
  size_t ended_count = 0;
  size_t retry_count = 0;
  size_t row = 0;

  memset (conflicts, true, sizeof conflicts);
  if (result->status == MQ_STORE_CONFLICT)
    (void)mq_commit_find_conflicts (part->rows, part->row_count, result,
                                    conflicts);
  for (size_t i = 0; i < part->count; i++)
    {
      struct mq_commit *commit = part->batch[i];
      bool ends = has_conflict (conflicts, row, commit->count);

      row += commit->count;
      if (ends)
        ended[ended_count++] = commit;
      else if (commit->cancelled)
        talloc_free (commit);
      else
        retry[retry_count++] = commit;
    }
  part->count = 0;
  requeue (part, retry, retry_count);
  return ended_count;
}

/* Requeues the commits of the batch, to be sent one by one.

   Failure: the table rejects a transaction for one of its rows, and the other
   writes of the batch fail with it.  */
static void
separate_batch (struct part_queue *part)
{
  struct mq_commit *retry[MQ_COMMIT_ROWS_MAX];
  size_t count = 0;

  for (size_t i = 0; i < part->count; i++)
    if (part->batch[i]->cancelled)
      talloc_free (part->batch[i]);
    else
      {
        part->batch[i]->alone = true;
        retry[count++] = part->batch[i];
      }
  part->count = 0;
  requeue (part, retry, count);
}

static void
on_done (const struct mq_rows_result *result, void *user)
{
  struct part_queue *part = user;
  struct mq_commit *ended[MQ_COMMIT_ROWS_MAX];
  char host[64];
  size_t count;

  /* A callback may begin the next batch.  */
  snprintf (host, sizeof host, "%s", part->host == NULL ? "" : part->host);
  if (result->status == MQ_STORE_REJECTED && part->count > 1)
    {
      separate_batch (part);
      send_next (part);
      return;
    }
  count = split_batch (part, result, ended);
  for (size_t i = 0; i < count; i++)
    {
      struct mq_rows_entry rows[MQ_COMMIT_ROWS_MAX];
      struct mq_rows_result own = own_result (ended[i], result, rows);

      own.host = host[0] == '\0' ? NULL : host;
      end_commit (ended[i], &own);
    }
  send_next (part);
}

/* Sending */

static void
enqueue (struct part_queue *part, struct mq_commit *commit)
{
  struct mq_commit **at = &part->waiting;

  while (*at != NULL)
    at = &(*at)->next;
  commit->part = part;
  commit->sent = false;
  commit->since_ms = mq_clock_ms ();
  commit->next = NULL;
  *at = commit;
}

/* Ends the commits of the batch that were made for other hosts as DOWN, since
   a write is relayed once only.  Returns false if none are left.

   Failure: hosts that can't reach the table pass a write back and forth, each
   waits for the other, and turns that could borrow are refused.  */
static bool
reject_relayed (struct part_queue *part)
{
  struct mq_rows_result down = { .status = MQ_STORE_DOWN };
  struct mq_commit *relayed[MQ_COMMIT_ROWS_MAX];
  size_t relayed_count = 0;
  size_t kept = 0;

  part->row_count = 0;
  for (size_t i = 0; i < part->count; i++)
    {
      struct mq_commit *commit = part->batch[i];

      if (commit->relayed)
        {
          relayed[relayed_count++] = commit;
          continue;
        }
      part->batch[kept++] = commit;
      for (size_t k = 0; k < commit->count; k++)
        part->rows[part->row_count++] = commit->entries[k];
    }
  part->count = kept;
  for (size_t i = 0; i < relayed_count; i++)
    end_commit (relayed[i], &down);
  return kept > 0;
}

/* Makes the transaction through another host.  */
static void
relay_batch (struct part_queue *part)
{
  if (reject_relayed (part))
    mq_relay_commit (part->queue->relay, part->rows, part->row_count, on_done,
                     part);
  else
    send_next (part);
}

/* DOWN means that the transaction was not executed, so another host may retry
   it.  A suspect part does not answer other hosts either.  */
static void
on_direct (const struct mq_rows_result *result, void *user)
{
  struct part_queue *part = user;
  struct mq_commit_queue *queue = part->queue;

  if (result->status == MQ_STORE_DOWN && mq_relay_host_count (queue->relay) > 0
      && !mq_rows_part_suspect (queue->rows, part->rows[0].part))
    relay_batch (part);
  else
    on_done (result, part);
}

/* DOWN means that the batching host did not execute the writes; this host
   sends them to the table itself.  */
static void
on_forwarded (const struct mq_rows_result *result, void *user)
{
  struct part_queue *part = user;
  struct part_queue *table;

  if (result->status != MQ_STORE_DOWN)
    {
      on_done (result, part);
      return;
    }
  table = get_part (part->queue, part->rows[0].part, TO_TABLE);
  for (size_t i = 0; i < part->count; i++)
    if (part->batch[i]->cancelled)
      talloc_free (part->batch[i]);
    else
      enqueue (table, part->batch[i]);
  part->count = 0;
  send_next (table);
  send_next (part);
}

/* Address of the host that the batch goes to; NULL for the table.  */
static const char *
choose_batch_host (const struct part_queue *part)
{
  const struct mq_commit_queue *queue = part->queue;
  const char *name = part->rows[0].part;

  switch (part->destination)
    {
    case TO_BATCH_HOST:
      return mq_relay_batch_host (queue->relay, name, true);
    default:
      return mq_rows_latency_ms (queue->rows) < SLOW_TABLE_MS
                 ? NULL
                 : mq_relay_batch_host (queue->relay, name, false);
    }
}

static void
send_batch (struct part_queue *part)
{
  struct mq_commit_queue *queue = part->queue;
  const char *batch_host = choose_batch_host (part);

  TALLOC_FREE (part->host);
  if (batch_host != NULL)
    part->host = mq_text_copy (part, batch_host);
  if (batch_host != NULL)
    mq_relay_commit_at (queue->relay, batch_host,
                        mq_rows_call_timeout_ms (queue->rows) + FORWARD_HOP_MS,
                        part->rows, part->row_count, on_forwarded, part);
  else if (mq_rows_down (queue->rows)
           && mq_relay_host_count (queue->relay) > 0)
    relay_batch (part);
  else
    mq_rows_commit (queue->rows, part->rows, part->row_count, on_direct, part);
}

static size_t
value_bytes (const struct mq_commit *commit)
{
  size_t bytes = 0;

  for (size_t i = 0; i < commit->count; i++)
    bytes += commit->entries[i].value.len;
  return bytes;
}

static bool
fits_batch (const struct part_queue *part, const struct mq_commit *commit,
            size_t bytes)
{
  size_t entries = mq_rows_count_entries (commit->entries, commit->count);

  return part->row_count + commit->count <= MQ_COMMIT_ROWS_MAX
         && part->entries + entries <= MQ_ROWS_ENTRIES_MAX
         && bytes + value_bytes (commit) <= MQ_COMMIT_BYTES_MAX;
}

/* Whether COMMIT may join the batch: size limits hold, and no row is written
   twice in a transaction.  */
static bool
can_join_batch (const struct part_queue *part, const struct mq_commit *commit,
                size_t bytes)
{
  if (part->count > 0
      && (commit->alone || part->batch[0]->alone
          || !fits_batch (part, commit, bytes)))
    return false;
  for (size_t i = 0; i < part->row_count; i++)
    for (size_t k = 0; k < commit->count; k++)
      if (is_same_row (&part->rows[i], &commit->entries[k]))
        return false;
  return true;
}

static void
fill_batch (struct part_queue *part)
{
  struct mq_commit **at = &part->waiting;
  size_t bytes = 0;

  part->row_count = 0;
  part->entries = 0;
  while (*at != NULL && part->count < MQ_COMMIT_ROWS_MAX)
    {
      struct mq_commit *commit = *at;

      if (!can_join_batch (part, commit, bytes))
        {
          at = &commit->next;
          continue;
        }
      *at = commit->next;
      commit->sent = true;
      commit->since_ms = mq_clock_ms ();
      bytes += value_bytes (commit);
      part->batch[part->count++] = commit;
      part->entries += mq_rows_count_entries (commit->entries, commit->count);
      for (size_t k = 0; k < commit->count; k++)
        part->rows[part->row_count++] = commit->entries[k];
    }
}

static void
send_next (struct part_queue *part)
{
  if (part->count > 0 || part->waiting == NULL)
    return;
  fill_batch (part);
  if (part->destination == TO_TABLE)
    mq_histogram_add (&part->queue->batch_rows, part->row_count);
  send_batch (part);
}

static void
copy_entry (TALLOC_CTX *ctx, struct mq_rows_entry *to,
            const struct mq_rows_entry *from)
{
  *to = *from;
  to->table = mq_text_copy (ctx, from->table);
  to->part = mq_text_copy (ctx, from->part);
  to->key = mq_text_copy (ctx, from->key);
  if (from->value.len > 0)
    to->value.data = mq_check_alloc (
        talloc_memdup (ctx, from->value.data, from->value.len));
}

static struct mq_commit *
add (struct part_queue *part, const struct mq_rows_entry *entries,
     size_t count, bool relayed, mq_rows_done *done, void *user)
{
  struct mq_commit *commit
      = mq_check_alloc (talloc_zero (part->queue, struct mq_commit));

  commit->relayed = relayed;
  commit->done = done;
  commit->user = user;
  commit->count = count;
  commit->entries = mq_check_alloc (
      talloc_zero_array (commit, struct mq_rows_entry, count));
  for (size_t i = 0; i < count; i++)
    copy_entry (commit, &commit->entries[i], &entries[i]);
  enqueue (part, commit);
  send_next (part);
  return commit;
}

struct mq_commit *
mq_commit_add (struct mq_commit_queue *queue,
               const struct mq_rows_entry *entry, mq_rows_done *done,
               void *user)
{
  bool forwards
      = mq_relay_batch_host (queue->relay, entry->part, true) != NULL;

  return add (
      get_part (queue, entry->part, forwards ? TO_BATCH_HOST : TO_TABLE),
      entry, 1, false, done, user);
}

void
mq_commit_add_relayed (const struct mq_rows_entry *entries, size_t count,
                       mq_rows_done *done, void *done_user, void *user)
{
  struct mq_commit_queue *queue = user;

  if (count > MQ_COMMIT_ROWS_MAX)
    mq_rows_commit (queue->rows, entries, count, done, done_user);
  else
    add (get_part (queue, entries[0].part, TO_TABLE), entries, count, true,
         done, done_user);
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

struct mq_commit_progress
mq_commit_progress (const struct mq_commit *commit)
{
  return (struct mq_commit_progress){
    .sent = commit->sent,
    .waited_ms = mq_clock_ms () - commit->since_ms,
    .host = commit->sent ? commit->part->host : NULL,
  };
}
