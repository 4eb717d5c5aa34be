/* batch.c - queue of actions returned by the cores of a process.

   Needs: batch.h, memory.h.  */

#include "batch.h"
#include "core/memory.h"

struct mq_actions *
mq_batch_add (TALLOC_CTX *ctx, struct mq_batch_queue *queue, int origin)
{
  struct mq_batch *batch = mq_check_alloc (talloc_zero (ctx, struct mq_batch));

  batch->origin = origin;
  batch->actions = mq_actions_create (batch);
  if (queue->last == NULL)
    queue->first = batch;
  else
    queue->last->next = batch;
  queue->last = batch;
  return batch->actions;
}

struct mq_batch *
mq_batch_take (struct mq_batch_queue *queue)
{
  struct mq_batch *batch = queue->first;

  if (batch == NULL)
    return NULL;
  queue->first = batch->next;
  if (queue->first == NULL)
    queue->last = NULL;
  return batch;
}
