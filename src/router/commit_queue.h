/* commit_queue.h - group commit: writes to one part of the platform's table
   share a transaction.

   One transaction to each part is under way at a time; what comes meanwhile
   goes with the next one, and what comes while none is under way goes at once.
   So a table that is slow, or turns calls away, gets fewer and larger calls.

   Hosts of a data centre give their writes to one of them for each part, which
   gathers them.  Whoever writes, conditions keep the rows right, so that it
   does not matter whether all hosts agree on that one: a host that gets no
   answer from it looks at the row, as after any lost answer.

   Each write keeps its own condition and its own outcome: one whose condition
   fails does not fail those that went with it.
   Needs: rows.h, relay.h.  */

#ifndef MQ_COMMIT_QUEUE_H
#define MQ_COMMIT_QUEUE_H

#include "core/histogram.h"
#include "relay.h"
#include "rows.h"

/* Rows and bytes of one transaction; the table takes a hundred and a million,
   and values grow by a third on the way.  */
#define MQ_COMMIT_ROWS_MAX 100U
#define MQ_COMMIT_BYTES_MAX ((size_t)512 << 10)

struct mq_commit_queue;
struct mq_commit;

struct mq_commit_queue *mq_commit_queue_create (TALLOC_CTX *ctx,
                                                struct mq_rows *rows,
                                                struct mq_relay *relay);
/* Writes ENTRY, which is copied; DONE is told as for mq_rows_commit, with the
   one row on a conflict.  */
struct mq_commit *mq_commit_add (struct mq_commit_queue *queue,
                                 const struct mq_rows_entry *entry,
                                 mq_rows_done *done, void *user);
/* Writes of another host, all of one part, done together or not at all; for
   mq_relay_set_write with the queue as its user.  */
void mq_commit_add_relayed (const struct mq_rows_entry *entries, size_t count,
                            mq_rows_done *done, void *done_user, void *user);
/* No callback follows; what was sent may still be done.  */
void mq_commit_cancel (struct mq_commit *commit);
/* How many rows the transactions had.  */
const struct mq_histogram *
mq_commit_queue_rows (const struct mq_commit_queue *queue);

/* Which of COUNT ENTRIES, sent together, are at fault for a conflict in which
   the table told ROWS; sets FAULTS, returns how many.  All are when the rows
   show none.  Pure.  */
size_t mq_commit_find_conflicts (const struct mq_rows_entry *entries,
                                 size_t count,
                                 const struct mq_rows_result *result,
                                 bool *faults);

#endif
