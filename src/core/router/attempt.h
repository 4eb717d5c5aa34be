/* attempt.h - what a worker's answer is worth, and what to do without one.

   Two decisions for every kind of request, on plain values.  Pure.
   Needs: route.h.  */

#ifndef MQ_ATTEMPT_H
#define MQ_ATTEMPT_H

#include "route.h"

/**
 * struct mq_attempt_response - a worker's answer that has come to its end
 * @status: of HTTP
 * @not_run: it states that the request was not run
 * @truncated: it ends within an event
 * @stream: it is a stream, its events were passed on
 * @begun: some of an answer was passed on to the caller
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

/* How a try at one worker ended.  */
enum mq_attempt_end
{
  MQ_ATTEMPT_STREAMED,    /* whole; its events were passed on */
  MQ_ATTEMPT_ANSWERED,    /* whole; goes to the caller as it is */
  MQ_ATTEMPT_UNREACHABLE, /* no byte of the request was sent */
  MQ_ATTEMPT_NOT_RUN,     /* the worker states that it did not run it */
  MQ_ATTEMPT_BROKEN,      /* sent; the answer is missing, cut off or damaged */
  MQ_ATTEMPT_ERROR        /* a whole answer that reports a failure */
};

enum mq_attempt_end
mq_attempt_classify (const struct mq_attempt_response *answer);

/* Tries that did not reach a worker; each takes up to a connection's time.  */
#define MQ_ATTEMPT_UNREACHABLE_MAX 4U
/* Time that must be left for another worker to be worth a try: the median of
   a plain service's work.  */
#define MQ_ATTEMPT_MIN_REMAINING_MS 30U

/**
 * struct mq_attempt - a request after a try
 * @end: how the try ended
 * @repeatable: the request may run more than once
 * @begun: some of an answer was passed on to the caller
 * @sent: workers that the request was sent to
 * @sent_max: workers that it may be sent to
 * @unreachable: tries that reached no worker
 * @remaining_ms: time that is left
 * @may_have_run: an earlier try may have run
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
  MQ_NEXT_RETRY,   /* another worker */
  MQ_NEXT_REFUSE,  /* final: not run, come back later */
  MQ_NEXT_FAIL,    /* final: it may have run */
  MQ_NEXT_FORWARD, /* final: the worker's own answer */
  MQ_NEXT_ABORT    /* final: the answer that has begun breaks off */
};

/* After a try that ended with neither STREAMED nor ANSWERED.  */
enum mq_attempt_next mq_attempt_decide (const struct mq_attempt *attempt);

/* As the log has them.  */
const char *mq_attempt_end_name (enum mq_attempt_end end);
const char *mq_attempt_next_name (enum mq_attempt_next next);

#endif
