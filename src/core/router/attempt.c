/* attempt.c - classification of worker responses and the decision to retry.

   Needs: attempt.h.  */

#include "attempt.h"

/* Callers take these statuses to mean that the request did not run.  A worker
   that sends one without stating so may have run it.  */
static bool
implies_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

enum mq_attempt_end
mq_attempt_classify (const struct mq_attempt_response *answer)
{
  if (answer->truncated)
    return MQ_ATTEMPT_BROKEN;
  if (answer->not_run)
    return MQ_ATTEMPT_NOT_RUN;
  if (implies_not_run (answer->status) && !answer->repeatable)
    return MQ_ATTEMPT_BROKEN;
  if (answer->status >= 500 && answer->repeatable)
    return MQ_ATTEMPT_ERROR;
  if (answer->stream)
    return MQ_ATTEMPT_STREAMED;
  return answer->begun ? MQ_ATTEMPT_BROKEN : MQ_ATTEMPT_ANSWERED;
}

static bool
may_retry (const struct mq_attempt *attempt)
{
  if (attempt->remaining_ms < MQ_ATTEMPT_MIN_REMAINING_MS)
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
    case MQ_ATTEMPT_STREAMED:
    case MQ_ATTEMPT_ANSWERED:
      break;
    }
  return false;
}

/* MQ_NEXT_REFUSE states that the request did not run, which must be true of
   repeatable requests too.  */
enum mq_attempt_next
mq_attempt_decide (const struct mq_attempt *attempt)
{
  if (may_retry (attempt))
    return MQ_NEXT_RETRY;
  if (attempt->begun)
    return MQ_NEXT_ABORT;
  switch (attempt->end)
    {
    case MQ_ATTEMPT_UNREACHABLE:
    case MQ_ATTEMPT_NOT_RUN:
      return attempt->may_have_run ? MQ_NEXT_FAIL : MQ_NEXT_REFUSE;
    case MQ_ATTEMPT_BROKEN:
      return MQ_NEXT_FAIL;
    case MQ_ATTEMPT_ERROR:
    case MQ_ATTEMPT_STREAMED:
    case MQ_ATTEMPT_ANSWERED:
      break;
    }
  return MQ_NEXT_FORWARD;
}

const char *
mq_attempt_end_name (enum mq_attempt_end end)
{
  static const char *const names[] = {
    [MQ_ATTEMPT_STREAMED] = "streamed",
    [MQ_ATTEMPT_ANSWERED] = "answered",
    [MQ_ATTEMPT_UNREACHABLE] = "unreachable",
    [MQ_ATTEMPT_NOT_RUN] = "not_run",
    [MQ_ATTEMPT_BROKEN] = "broken",
    [MQ_ATTEMPT_ERROR] = "error",
  };

  return names[end];
}

const char *
mq_attempt_next_name (enum mq_attempt_next next)
{
  static const char *const names[] = {
    [MQ_NEXT_RETRY] = "retry", [MQ_NEXT_REFUSE] = "refuse",
    [MQ_NEXT_FAIL] = "fail",   [MQ_NEXT_FORWARD] = "pass_on",
    [MQ_NEXT_ABORT] = "break",
  };

  return names[next];
}
