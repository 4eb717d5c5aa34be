/* commit_queue.c - group commit: writes to one part of the platform's table
   share a transaction.

   A part has two queues: writes that this host brings to the table, those that
   other hosts gave it among them, and writes of this host that another one
   gathers.
   Needs: commit_queue.h, id.h, idmap.h, memory.h.  */

#include "commit_queue.h"
#include "core/id.h"
#include "core/idmap.h"
#include "core/memory.h"
#include <string.h>

/* A host that gathers writes answers within so long: a transaction takes some
   10 ms, and one before it may be under way.  */
#define GATHER_MS 150U

/* Which of a part's queues.  */
enum
{
  TO_TABLE,
  TO_WRITER
};

/**
 * struct mq_commit - writes that are done together or not at all: one, or
 *                    those of another host's transaction
 * @entries: their strings lie below the commit
 * @part: queue that it is in
 * @sent: it is in the transaction under way
 * @cancelled: nobody is told
 */
struct mq_commit
{
  struct mq_commit *next;
  struct part *part;
  struct mq_rows_entry *entries;
  size_t count;
  bool sent;
  bool cancelled;
  mq_rows_done *done;
  void *user;
};

/**
 * struct part - writes to one part of the table
 * @way: TO_TABLE or TO_WRITER
 * @waiting: oldest first
 * @batch: in the transaction under way
 * @count: how many, 0: none is under way
 * @rows: that they write
 */
struct part
{
  struct mq_commit_queue *queue;
  struct mq_id id;
  uint32_t way;
  struct mq_commit *waiting;
  struct mq_commit *batch[MQ_COMMIT_ROWS_MAX];
  size_t count;
  struct mq_rows_entry rows[MQ_COMMIT_ROWS_MAX];
  size_t row_count;
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

static struct part *
get_part (struct mq_commit_queue *queue, const char *name, uint32_t way)
{
  struct mq_id id = mq_id_from_text (name);
  struct part *part = mq_idmap_find (queue->parts, id, way);

  if (part != NULL)
    return part;
  part = mq_check_alloc (talloc_zero (queue, struct part));
  part->queue = queue;
  part->id = id;
  part->way = way;
  mq_idmap_put (queue->parts, id, way, part);
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

/* The rows of COMMIT, as far as RESULT tells them, are put into ROWS.  */
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

/* Any of the COUNT rows from FIRST on is at fault.  */
static bool
any_fault (const bool *faults, size_t first, size_t count)
{
  for (size_t i = first; i < first + count; i++)
    if (faults[i])
      return true;
  return false;
}

/* Splits the batch into those that have an outcome, which are returned, and
   those that go again.  */
static size_t
take_outcomes (struct part *part, const struct mq_rows_result *result,
               struct mq_commit *ended[MQ_COMMIT_ROWS_MAX])
{
  struct mq_commit *again[MQ_COMMIT_ROWS_MAX];
  bool faults[MQ_COMMIT_ROWS_MAX];
  size_t ended_count = 0;
  size_t again_count = 0;
  size_t row = 0;

  memset (faults, true, sizeof faults);
  if (result->status == MQ_STORE_CONFLICT)
    (void)mq_commit_faults (part->rows, part->row_count, result, faults);
  for (size_t i = 0; i < part->count; i++)
    {
      struct mq_commit *commit = part->batch[i];
      bool ends = any_fault (faults, row, commit->count);

      row += commit->count;
      if (ends)
        ended[ended_count++] = commit;
      else if (commit->cancelled)
        talloc_free (commit);
      else
        again[again_count++] = commit;
    }
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
      struct mq_rows_entry rows[MQ_COMMIT_ROWS_MAX];
      struct mq_rows_result own = own_result (ended[i], result, rows);

      end_commit (ended[i], &own);
    }
  send_next (part);
}

/* Sending */

/* Puts COMMIT behind all that wait in PART.  */
static void
put_last (struct part *part, struct mq_commit *commit)
{
  struct mq_commit **at = &part->waiting;

  while (*at != NULL)
    at = &(*at)->next;
  commit->part = part;
  commit->sent = false;
  commit->next = NULL;
  *at = commit;
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
      && !mq_rows_part_suspect (queue->rows, part->rows[0].part))
    mq_relay_commit (queue->relay, part->rows, part->row_count, on_done, part);
  else
    on_done (result, part);
}

/* What the host that gathers did certainly not do, this one does.  */
static void
on_gathered (const struct mq_rows_result *result, void *user)
{
  struct part *part = user;
  struct part *table;

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
      put_last (table, part->batch[i]);
  part->count = 0;
  send_next (table);
  send_next (part);
}

static void
send_batch (struct part *part)
{
  struct mq_commit_queue *queue = part->queue;
  const char *writer = NULL;

  if (part->way == TO_WRITER)
    writer = mq_relay_writer (queue->relay, part->rows[0].part);
  if (writer != NULL)
    mq_relay_commit_at (queue->relay, writer, GATHER_MS, part->rows,
                        part->row_count, on_gathered, part);
  else if (mq_rows_down (queue->rows)
           && mq_relay_host_count (queue->relay) > 0)
    mq_relay_commit (queue->relay, part->rows, part->row_count, on_done, part);
  else
    mq_rows_commit (queue->rows, part->rows, part->row_count, on_direct, part);
}

static size_t
bytes_of (const struct mq_commit *commit)
{
  size_t bytes = 0;

  for (size_t i = 0; i < commit->count; i++)
    bytes += commit->entries[i].value.len;
  return bytes;
}

/* COMMIT may go with those that were chosen so far: one row is written once in
   a transaction.  */
static bool
fits (const struct part *part, const struct mq_commit *commit, size_t bytes)
{
  if (part->row_count + commit->count > MQ_COMMIT_ROWS_MAX
      || (part->count > 0 && bytes + bytes_of (commit) > MQ_COMMIT_BYTES_MAX))
    return false;
  for (size_t i = 0; i < part->row_count; i++)
    for (size_t k = 0; k < commit->count; k++)
      if (is_same_row (&part->rows[i], &commit->entries[k]))
        return false;
  return true;
}

static void
choose_batch (struct part *part)
{
  struct mq_commit **at = &part->waiting;
  size_t bytes = 0;

  part->row_count = 0;
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
      bytes += bytes_of (commit);
      part->batch[part->count++] = commit;
      for (size_t k = 0; k < commit->count; k++)
        part->rows[part->row_count++] = commit->entries[k];
    }
}

static void
send_next (struct part *part)
{
  if (part->count > 0 || part->waiting == NULL)
    return;
  choose_batch (part);
  if (part->way == TO_TABLE)
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
add (struct part *part, const struct mq_rows_entry *entries, size_t count,
     mq_rows_done *done, void *user)
{
  struct mq_commit *commit
      = mq_check_alloc (talloc_zero (part->queue, struct mq_commit));

  commit->done = done;
  commit->user = user;
  commit->count = count;
  commit->entries = mq_check_alloc (
      talloc_zero_array (commit, struct mq_rows_entry, count));
  for (size_t i = 0; i < count; i++)
    copy_entry (commit, &commit->entries[i], &entries[i]);
  put_last (part, commit);
  send_next (part);
  return commit;
}

struct mq_commit *
mq_commit_add (struct mq_commit_queue *queue,
               const struct mq_rows_entry *entry, mq_rows_done *done,
               void *user)
{
  bool gathered = mq_relay_writer (queue->relay, entry->part) != NULL;

  return add (get_part (queue, entry->part, gathered ? TO_WRITER : TO_TABLE),
              entry, 1, done, user);
}

void
mq_commit_for_other (const struct mq_rows_entry *entries, size_t count,
                     mq_rows_done *done, void *done_user, void *user)
{
  struct mq_commit_queue *queue = user;

  if (count > MQ_COMMIT_ROWS_MAX)
    mq_rows_commit (queue->rows, entries, count, done, done_user);
  else
    add (get_part (queue, entries[0].part, TO_TABLE), entries, count, done,
         done_user);
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
