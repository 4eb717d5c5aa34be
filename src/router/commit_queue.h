/* commit_queue.h - group commit: writes to one part of the platform's table
   share a transaction.

   Each part has at most one transaction in flight.  Writes that arrive
   meanwhile are batched into the next one; without one in flight, a
   write is sent at once.  A slow or overloaded table thus gets fewer, larger
   calls.

   Hosts of a data centre forward their writes for a part to one of them, which
   batches them.  Conditions on row versions keep rows consistent, so hosts
   need not agree on the batching host: a host that gets no answer reads the
   row again, as after any lost answer.

   Each write keeps its own condition and outcome: a conflict of one does not
   fail the others of its batch.
   Needs: rows.h, relay.h.  */

#ifndef MQ_COMMIT_QUEUE_H
#define MQ_COMMIT_QUEUE_H

#include "core/histogram.h"
#include "relay.h"
#include "rows.h"

/* Limits of one transaction, besides MQ_ROWS_ENTRIES_MAX: rows without a
   condition, and bytes, below the table's 10^6 after base64.  */
#define MQ_COMMIT_ROWS_MAX MQ_ROWS_ENTRIES_MAX
#define MQ_COMMIT_BYTES_MAX ((size_t)512 << 10)

struct mq_commit_queue;
struct mq_commit;

struct mq_commit_queue *mq_commit_queue_create (TALLOC_CTX *ctx,
                                                struct mq_rows *rows,
                                                struct mq_relay *relay);
/* Writes ENTRY, which is copied.  DONE is called as by mq_rows_commit; after a
   conflict, the result has this row only.  */
struct mq_commit *mq_commit_add (struct mq_commit_queue *queue,
                                 const struct mq_rows_entry *entry,
                                 mq_rows_done *done, void *user);
/* Queues a transaction forwarded by another host; all ENTRIES are of one part.
   For mq_relay_set_write_handler, with the queue as USER.  */
void mq_commit_add_relayed (const struct mq_rows_entry *entries, size_t count,
                            mq_rows_done *done, void *done_user, void *user);
/* The callback is not called; a write already sent may still take effect.  */
void mq_commit_cancel (struct mq_commit *commit);
/* Rows per transaction.  */
const struct mq_histogram *
mq_commit_queue_rows (const struct mq_commit_queue *queue);

/**
 * struct mq_commit_progress - a write without a result
 * @sent: it is in a transaction in flight, else it waits for the one before
 * @waited_ms: time since it was sent or queued
 * @host: batching host that it was forwarded to; NULL for the table
 */
struct mq_commit_progress
{
  bool sent;
  uint64_t waited_ms;
  const char *host;
};

struct mq_commit_progress mq_commit_progress (const struct mq_commit *commit);

/* Determines which of COUNT ENTRIES of a transaction caused the conflict
   RESULT.  Sets CONFLICTS, returns their number; all entries if the rows show
   no cause.  */
size_t mq_commit_find_conflicts (const struct mq_rows_entry *entries,
                                 size_t count,
                                 const struct mq_rows_result *result,
                                 bool *conflicts);

#endif
