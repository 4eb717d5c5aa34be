/* faults.h - the fault switches of the stand-ins.

   A list of faults that are switched on, each until it is cleared or has
   shown itself a number of times.  Pure; memory that runs out aborts.
   Needs: error.h, jansson.  */

#ifndef MQ_FAULTS_H
#define MQ_FAULTS_H

#include "core/error.h"

enum mq_fault_kind
{
  MQ_FAULT_DOWN,         /* 503, no effect */
  MQ_FAULT_UNREACHABLE,  /* connection closed, no effect */
  MQ_FAULT_SLOW,         /* effect and answer after a pause */
  MQ_FAULT_LOST_ANSWER,  /* effect, then the connection is closed */
  MQ_FAULT_LATE_EFFECT,  /* connection closed, effect after a pause */
  MQ_FAULT_HANG,         /* neither effect nor answer */
  MQ_FAULT_HOSTS_LAG,    /* changes of the host list show after a pause */
  MQ_FAULT_RATE,         /* work beyond a rate waits in a queue */
  MQ_FAULT_STATUS,       /* this HTTP status, no effect */
  MQ_FAULT_REFUSE,       /* 429 with Retry-After, no effect */
  MQ_FAULT_CRASH_STREAM, /* a stream breaks after a number of tokens */
  MQ_FAULT_EVICT_FAILS,  /* 503 to an eviction, no effect */
  MQ_FAULT_EVENTS_GAP,   /* a share of the cache events never comes */
  MQ_FAULT_LOAD_LAG,     /* the load report is older */
  MQ_FAULT_COUNT
};

#define MQ_FAULT_BIT(kind) (1U << (kind))
#define MQ_FAULT_UNTIL_CLEARED UINT64_MAX

/**
 * struct mq_fault - one fault that is switched on
 * @kind: what goes wrong
 * @left: requests that it will still meet, or MQ_FAULT_UNTIL_CLEARED
 * @match: prefix of the key or path that it meets, empty: all
 * @worker: worker that it meets, empty: all
 * @ms: SLOW, LATE_EFFECT, HOSTS_LAG, LOAD_LAG: the pause
 * @factor: SLOW of an engine: every duration is multiplied by this
 * @status: STATUS
 * @retry_after_s: REFUSE
 * @writes_per_s: RATE, 0: no bound
 * @reads_per_s: RATE, 0: no bound
 * @tokens: CRASH_STREAM
 * @permille: EVENTS_GAP
 */
struct mq_fault
{
  uint64_t left;
  const char *match;
  const char *worker;
  enum mq_fault_kind kind;
  uint32_t ms;
  uint32_t status;
  uint32_t retry_after_s;
  uint32_t writes_per_s;
  uint32_t reads_per_s;
  uint32_t tokens;
  uint32_t permille;
  double factor;
};

/**
 * struct mq_fault_subject - what a request is about
 * @names: its row keys, object key or path
 * @count: how many
 * @worker: which worker it came to, NULL when there is but one
 * @poll: a regular poll: meets no fault that has a count, so that it does
 *        not use up what is meant for a call
 */
struct mq_fault_subject
{
  const char *const *names;
  size_t count;
  const char *worker;
  bool poll;
};

struct mq_faults;

/* KINDS: MQ_FAULT_BITs of what this stand-in can do.  */
struct mq_faults *mq_faults_create (TALLOC_CTX *ctx, uint32_t kinds);

/**
 * mq_faults_post - take an order of POST /standin/fault
 * @faults: the switches
 * @body: {"fault":NAME, "count":N, "match":PREFIX, "worker":NAME, and the
 *        kind's own keys as in struct mq_fault}.  The same fault with the
 *        same match and worker is replaced.  {"fault":"clear"} clears all,
 *        with "only":NAME those of one kind
 * @len: its length
 * @error: BAD_JSON or BAD_REQUEST
 *
 * Return: whether the order was taken.
 */
bool mq_faults_post (struct mq_faults *faults, const char *body, size_t len,
                     struct mq_error *error);

/* Whether a fault of KIND meets SUBJECT; uses up one of its count.  FAULT
   may be NULL.  */
bool mq_faults_take (struct mq_faults *faults, enum mq_fault_kind kind,
                     const struct mq_fault_subject *subject,
                     struct mq_fault *fault);

#endif
