/* faults.h - fault injection for the stand-ins.

   Holds the active faults.  A fault stays active until it is cleared or has
   matched a given number of requests.  Performs no I/O; aborts when out of
   memory.
   Needs: error.h, jansson.  */

#ifndef MQ_FAULTS_H
#define MQ_FAULTS_H

#include "core/error.h"

enum mq_fault_kind
{
  MQ_FAULT_DOWN,         /* 503, not executed */
  MQ_FAULT_UNREACHABLE,  /* connection closed, not executed */
  MQ_FAULT_SLOW,         /* executed and answered after a delay */
  MQ_FAULT_LOST_ANSWER,  /* executed; connection closed without a response */
  MQ_FAULT_LATE_EFFECT,  /* connection closed, executed after a delay */
  MQ_FAULT_HANG,         /* neither executed nor answered */
  MQ_FAULT_HOSTS_LAG,    /* host list changes are visible after a delay */
  MQ_FAULT_RATE,         /* requests above a rate are queued */
  MQ_FAULT_STATUS,       /* given HTTP status, not executed */
  MQ_FAULT_REFUSE,       /* 429 with Retry-After, not executed */
  MQ_FAULT_CRASH_STREAM, /* stream aborted after a number of tokens */
  MQ_FAULT_EVICT_FAILS,  /* 503 to an eviction, not executed */
  MQ_FAULT_EVENTS_GAP,   /* a share of the cache events is lost */
  MQ_FAULT_LOAD_LAG,     /* load reports are delayed */
  MQ_FAULT_COUNT
};

#define MQ_FAULT_BIT(kind) (1U << (kind))
#define MQ_FAULT_UNTIL_CLEARED UINT64_MAX

/**
 * struct mq_fault - an active fault
 * @left: requests still to be matched, or MQ_FAULT_UNTIL_CLEARED
 * @match: prefix of the matching keys or paths; empty matches all
 * @worker: name of the matching worker; empty matches all
 * @ms: delay of SLOW, LATE_EFFECT, HOSTS_LAG and LOAD_LAG
 * @factor: SLOW of an engine: multiplies every duration
 * @status: HTTP status of STATUS
 * @retry_after_s: Retry-After of REFUSE
 * @writes_per_s: limit of RATE; 0 for no limit
 * @reads_per_s: limit of RATE; 0 for no limit
 * @tokens: tokens sent before CRASH_STREAM aborts the stream
 * @permille: share of events lost with EVENTS_GAP
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
 * struct mq_fault_subject - request properties that faults match
 * @names: row keys, object key or path
 * @count: number of @names
 * @worker: receiving worker; NULL if there is only one
 * @poll: periodic poll; ignores faults with a count, so that polls do not
 *        consume it
 */
struct mq_fault_subject
{
  const char *const *names;
  size_t count;
  const char *worker;
  bool poll;
};

struct mq_faults;

/* KINDS: MQ_FAULT_BITs of the supported kinds.  */
struct mq_faults *mq_faults_create (TALLOC_CTX *ctx, uint32_t kinds);

/**
 * mq_faults_post - handle the body of POST /standin/fault
 * @body: {"fault":NAME, "count":N, "match":PREFIX, "worker":NAME, and the keys
 *        of that kind as in struct mq_fault}. Replaces an active fault of the
 *        same kind, match and worker. {"fault":"clear"} clears all faults, or
 *        one kind with "only":NAME
 * @len: length of @body
 * @error: set to BAD_JSON or BAD_REQUEST on failure
 *
 * Return: true if the body was valid.
 */
bool mq_faults_post (struct mq_faults *faults, const char *body, size_t len,
                     struct mq_error *error);

/* Returns true if an active fault of KIND matches SUBJECT, copies it to FAULT
   unless that is NULL, and decrements its count.  */
bool mq_faults_take (struct mq_faults *faults, enum mq_fault_kind kind,
                     const struct mq_fault_subject *subject,
                     struct mq_fault *fault);

#endif
