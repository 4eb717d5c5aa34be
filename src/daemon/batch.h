/* batch.h - queue of actions returned by the cores of a process.

   Keeps the handlers of the cores from being nested, and the actions of
   different inputs from being interleaved, so that commits reach the store in
   the order in which they were requested.
   Needs: action.h.  */

#ifndef MQ_BATCH_H
#define MQ_BATCH_H

#include "core/action.h"

/**
 * struct mq_batch - the actions that one input resulted in
 * @origin: the core that returned them; values are defined by the process
 * @actions: in the order in which to run them
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

/* Appends a new batch, owned by CTX, and returns its empty list of actions. */
struct mq_actions *mq_batch_add (TALLOC_CTX *ctx, struct mq_batch_queue *queue,
                                 int origin);
/* Removes and returns the first batch, which the caller frees; NULL if the
   queue is empty.  */
struct mq_batch *mq_batch_take (struct mq_batch_queue *queue);

#endif
