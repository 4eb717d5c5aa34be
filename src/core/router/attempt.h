/* attempt.h - classification of worker responses and the decision to retry.
   Pure.
   Needs: route.h.  */

#ifndef MQ_ATTEMPT_H
#define MQ_ATTEMPT_H

#include "route.h"

/**
 * struct mq_attempt_response - a worker's response after its end
 * @status: HTTP status
 * @not_run: the worker states that it did not run the request
 * @truncated: the response ends within an event
 * @stream: event stream whose events were forwarded
 * @begun: part of a response was forwarded to the caller
 * @repeatable: the request may run more than once
 */
struct mq_attempt_response
{
  int status;
  bool not_run;
  bool truncated;
  bool stream;
  bool begun;
  bool repeatable;
};

/* Result of one attempt at a worker.  */
enum mq_attempt_end
{
  MQ_ATTEMPT_STREAMED,    /* complete stream, events were forwarded */
  MQ_ATTEMPT_ANSWERED,    /* complete response, to be forwarded */
  MQ_ATTEMPT_UNREACHABLE, /* nothing of the request was sent */
  MQ_ATTEMPT_NOT_RUN,     /* the worker states that it did not run */
  MQ_ATTEMPT_BROKEN,      /* sent; response missing, truncated or bad */
  MQ_ATTEMPT_ERROR        /* complete response that reports an error */
};

enum mq_attempt_end
mq_attempt_classify (const struct mq_attempt_response *answer);

/* Maximum number of attempts that reach no worker.  */
#define MQ_ATTEMPT_UNREACHABLE_MAX 4U
/* Remaining time below which no further attempt is made.  */
#define MQ_ATTEMPT_MIN_REMAINING_MS 30U

/**
 * struct mq_attempt - a request after an attempt
 * @end: result of the attempt
 * @repeatable: the request may run more than once
 * @begun: part of a response was forwarded to the caller
 * @sent: number of workers that the request was sent to
 * @sent_max: maximum of @sent
 * @unreachable: number of attempts that reached no worker
 * @remaining_ms: time until the deadline
 * @may_have_run: an earlier attempt may have run the request
 */
struct mq_attempt
{
  enum mq_attempt_end end;
  bool repeatable;
  bool begun;
  uint32_t sent;
  uint32_t sent_max;
  uint32_t unreachable;
  uint64_t remaining_ms;
  bool may_have_run;
};

enum mq_attempt_next
{
  MQ_NEXT_RETRY,   /* try another worker */
  MQ_NEXT_REFUSE,  /* final: reject as not run, may be retried */
  MQ_NEXT_FAIL,    /* final: fail, it may have run */
  MQ_NEXT_FORWARD, /* final: forward the worker's response */
  MQ_NEXT_ABORT    /* final: abort the response in progress */
};

/* For attempts other than MQ_ATTEMPT_STREAMED and MQ_ATTEMPT_ANSWERED.  */
enum mq_attempt_next mq_attempt_decide (const struct mq_attempt *attempt);

/* Names in log lines.  */
const char *mq_attempt_end_name (enum mq_attempt_end end);
const char *mq_attempt_next_name (enum mq_attempt_next next);

#endif
