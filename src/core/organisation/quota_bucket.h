/* quota_bucket.h - token bucket of an organisation, shared by quota_issuer.c
   and quota_permits.c only.

   Needs: quota.h, set_aside.h.  */

#ifndef MQ_QUOTA_BUCKET_H
#define MQ_QUOTA_BUCKET_H

#include "../id.h"
#include "quota.h"
#include "set_aside.h"

#define PERMIT MQ_QUOTA_UNITS_PER_PERMIT
#define PER_THOUSANDTH 1000U
/* Seconds over which the use of a host is counted.  */
#define USE_SECONDS 4U

/**
 * struct issuer_host - a host that requests permits
 * @heard_ms: issuer time in its newest acknowledgement
 * @asked_ms: time of its last request
 */
struct issuer_host
{
  uint64_t id;
  uint64_t heard_ms;
  uint64_t asked_ms;
};

/**
 * struct standing - standing rate of one host for one organisation
 * @used: permits issued in each of the last seconds, the newest is @used_s
 * @rate: rate in the last reply, sent at @told_ms
 * @high: highest rate that the host may still hold
 * @until_ms: expiry of all rates lent
 * @surrendered: rate from an earlier run of the issuer that it surrendered
 */
struct standing
{
  struct standing *next;
  struct issuer_host *host;
  uint32_t used[USE_SECONDS];
  uint64_t used_s;
  uint64_t rate;
  uint64_t high;
  uint64_t told_ms;
  uint64_t until_ms;
  uint64_t surrendered;
};

/**
 * struct mq_quota_bucket - token bucket of an organisation
 * @level: millionths of a permit at @settled_ms
 * @surrendered: sum of the rates that hosts surrendered
 * @ahead: prefetched permits issued in the current PREFETCH_WINDOW_MS and in
 *         the one before, less those returned
 * @ahead_at: number of the current window
 * @aside: permits set aside for programs that have begun
 * @return_ms: time at which the next refused program is to return
 */
struct mq_quota_bucket
{
  struct mq_id id;
  struct mq_quota_limit limit;
  struct mq_quota_lease lease;
  uint64_t level;
  uint64_t settled_ms;
  uint64_t surrendered;
  uint32_t ahead[2];
  uint64_t ahead_at;
  struct mq_set_aside aside;
  uint64_t return_ms;
  struct standing *host_rates;
};

static inline uint64_t
burst_of (const struct mq_quota_bucket *bucket)
{
  return bucket->limit.burst * PER_THOUSANDTH;
}

static inline uint64_t
saturating_sub (uint64_t from, uint64_t by)
{
  return from > by ? from - by : 0;
}

/* quota_issuer.c */

/* Rate and depth of the bucket from SINCE on, less what silent hosts may be
   using.  */
void mq_quota_effective_limit (const struct mq_quota_bucket *bucket,
                               uint64_t since, uint64_t now, uint64_t *rate,
                               uint64_t *depth);

/* quota_permits.c */

void mq_quota_advance_prefetch (struct mq_quota_bucket *bucket, uint64_t now);
/* Credits returned permits, up to the number still outstanding.  */
void mq_quota_credit_returned (struct mq_quota_bucket *bucket,
                               uint32_t unused);
/* Takes the permits that WANT asks for, as far as there are any.  */
void mq_quota_issue_permits (struct mq_quota_bucket *bucket,
                             const struct mq_quota_request *want,
                             uint64_t ahead_max, uint64_t now,
                             struct mq_quota_grant *grant);

#endif
