/* attempt.c - what to do when a worker has not served a request.

   Needs: attempt.h.  */

#include "attempt.h"

static bool
may_try_again (const struct mq_attempt *attempt)
{
  if (attempt->left_ms < MQ_ATTEMPT_LEAST_MS)
    return false;
  if (attempt->unreachable >= MQ_ATTEMPT_UNREACHABLE_MAX)
    return false;
  if (attempt->sent >= attempt->sent_max)
    return false;
  switch (attempt->end)
    {
    case MQ_ATTEMPT_UNREACHABLE:
    case MQ_ATTEMPT_NOT_RUN:
      return true;
    case MQ_ATTEMPT_BROKEN:
    case MQ_ATTEMPT_ERROR:
      return attempt->repeatable;
    }
  return false;
}

/* A refusal promises that the request has not run.  For one that may run
   again the promise costs nothing and tells the caller to come back.  */
enum mq_attempt_next
mq_attempt_decide (const struct mq_attempt *attempt)
{
  if (may_try_again (attempt))
    return MQ_NEXT_RETRY;
  if (attempt->begun)
    return MQ_NEXT_BREAK;
  switch (attempt->end)
    {
    case MQ_ATTEMPT_UNREACHABLE:
    case MQ_ATTEMPT_NOT_RUN:
      return attempt->ran && !attempt->repeatable ? MQ_NEXT_FAIL
                                                  : MQ_NEXT_REFUSE;
    case MQ_ATTEMPT_BROKEN:
      return MQ_NEXT_FAIL;
    case MQ_ATTEMPT_ERROR:
      break;
    }
  return MQ_NEXT_PASS_ON;
}
