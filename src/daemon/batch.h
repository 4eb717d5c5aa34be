/* batch.h - the queue of actions that a process has still to carry out.

   A core's handler never runs inside another one, and two batches never
   interleave: a commit that was asked for first reaches the store first.
   Needs: action.h.  */

#ifndef MQ_BATCH_H
#define MQ_BATCH_H

#include "core/action.h"

/**
 * struct mq_batch - the actions that one input led to
 * @next: the batch behind it
 * @origin: which core gave them, an enumeration of the process's own
 * @actions: in the order in which they are carried out
 */
struct mq_batch
{
  struct mq_batch *next;
  int origin;
  struct mq_actions *actions;
};

struct mq_batch_queue
{
  struct mq_batch *first;
  struct mq_batch *last;
};

/* The empty list of a new batch below CTX, last in the queue.  */
struct mq_actions *mq_batch_add (TALLOC_CTX *ctx, struct mq_batch_queue *queue,
                                 int origin);
/* Takes the first batch out, for the caller to free; NULL when none is left.
 */
struct mq_batch *mq_batch_take (struct mq_batch_queue *queue);

#endif
