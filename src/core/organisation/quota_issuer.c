/* quota_issuer.c - token bucket of each organisation and the standing
   rates lent to hosts.

   Needs: quota_bucket.h, id.h, idmap.h, memory.h.  */

#include "../id.h"
#include "../idmap.h"
#include "../memory.h"
#include "quota_bucket.h"
#include <string.h>

/* A standing rate is the mean use over USE_SECONDS, plus half.  */
#define STANDING_PERCENT 150U
/* A host is lent at most the limit divided by this.  */
#define STANDING_DIVISOR 4U
/* Lowest standing rate, thousandths of a request per second.  */
#define STANDING_MIN 100U
/* Inactivity after which an organisation or a host is freed.  By then the
   bucket is full and all standing rates have expired.  */
#define INACTIVE_MS 60000U
#define SWEEP_MAX 64U

/**
 * struct mq_quota_issuer - buckets of the organisations that a host issues for
 * @need: mean need of programs, as hosts tell it, over all organisations
 */
struct mq_quota_issuer
{
  struct mq_idmap *buckets;
  struct mq_idmap *hosts;
  struct mq_program_need need;
};

struct mq_quota_issuer *
mq_quota_issuer_create (TALLOC_CTX *ctx)
{
  struct mq_quota_issuer *issuer
      = mq_check_alloc (talloc_zero (ctx, struct mq_quota_issuer));

  issuer->buckets = mq_check_alloc (mq_idmap_create (issuer));
  issuer->hosts = mq_check_alloc (mq_idmap_create (issuer));
  return issuer;
}

static struct mq_id
host_key (uint64_t host)
{
  return (struct mq_id){ host, host };
}

static bool
is_silent (const struct issuer_host *host, uint64_t now)
{
  return now > host->heard_ms + MQ_QUOTA_ACK_TIMEOUT_MS;
}

/* Rate available to this issuer, for its bucket and for lending.  */
static uint64_t
available_rate (const struct mq_quota_bucket *bucket, uint64_t since)
{
  uint64_t rate = bucket->limit.rate;
  uint64_t unknown = rate;

  if (since >= bucket->lease.inherited_ms || bucket->surrendered >= rate)
    return rate;
  if (bucket->lease.unconfirmed_hosts < STANDING_DIVISOR)
    unknown = bucket->lease.unconfirmed_hosts * (rate / STANDING_DIVISOR + 1);
  return unknown < rate - bucket->surrendered ? rate - unknown
                                              : bucket->surrendered;
}

/* Rate and depth of the bucket, less what silent hosts may be using.  */
void
mq_quota_effective_limit (const struct mq_quota_bucket *bucket, uint64_t since,
                          uint64_t now, uint64_t *rate, uint64_t *depth)
{
  uint64_t lent = 0;
  uint64_t standing_burst = 0;

  for (const struct standing *at = bucket->host_rates; at != NULL;
       at = at->next)
    if (at->high > 0 && at->until_ms > since && is_silent (at->host, now))
      {
        lent += at->high;
        standing_burst += mq_quota_standing_burst (at->high);
      }
  *rate = saturating_sub (available_rate (bucket, since), lent);
  *depth = saturating_sub (burst_of (bucket), standing_burst);
}

/* Refills the bucket up to NOW.  */
static void
refill (struct mq_quota_bucket *bucket, uint64_t now)
{
  uint64_t rate;
  uint64_t depth;

  if (now < bucket->settled_ms)
    return;
  mq_quota_effective_limit (bucket, bucket->settled_ms, now, &rate, &depth);
  bucket->level += rate * (now - bucket->settled_ms);
  if (bucket->level > depth)
    bucket->level = depth;
  bucket->settled_ms = now;
}

static struct issuer_host *
get_host (struct mq_quota_issuer *issuer, uint64_t id, uint64_t now)
{
  struct issuer_host *host = mq_idmap_find (issuer->hosts, host_key (id), 0);

  if (host != NULL)
    return host;
  host = mq_check_alloc (talloc_zero (issuer, struct issuer_host));
  host->id = id;
  host->heard_ms = now;
  mq_idmap_put (issuer->hosts, host_key (id), 0, host);
  return host;
}

/* Refills the buckets of HOST before its state changes: until now its standing
   rates were deducted.  */
static void
refill_host_buckets (struct mq_quota_issuer *issuer,
                     const struct issuer_host *host, uint64_t now)
{
  size_t position = 0;
  struct mq_quota_bucket *bucket;

  while ((bucket = mq_idmap_next (issuer->buckets, &position)) != NULL)
    for (const struct standing *at = bucket->host_rates; at != NULL;
         at = at->next)
      if (at->host == host)
        {
          refill (bucket, now);
          break;
        }
}

void
mq_quota_record_ack (struct mq_quota_issuer *issuer, uint64_t id,
                     uint64_t heard_ms, uint64_t now_ms)
{
  struct issuer_host *host = get_host (issuer, id, now_ms);

  host->asked_ms = now_ms;
  if (heard_ms > now_ms || heard_ms <= host->heard_ms)
    return;
  if (is_silent (host, now_ms))
    refill_host_buckets (issuer, host, now_ms);
  host->heard_ms = heard_ms;
}

static void
reset_bucket (struct mq_quota_bucket *bucket,
              const struct mq_quota_bounds *bounds,
              const struct mq_quota_lease *lease)
{
  while (bucket->host_rates != NULL)
    {
      struct standing *first = bucket->host_rates;

      bucket->host_rates = first->next;
      talloc_free (first);
    }
  bucket->limit = bounds->limit;
  bucket->lease = *lease;
  bucket->level = 0;
  bucket->surrendered = 0;
  bucket->aside = (struct mq_set_aside){ 0 };
  bucket->return_ms = 0;
  bucket->settled_ms = lease->since_ms;
}

/* Returns the organisation's bucket as of NOW, under the active limit.  */
static struct mq_quota_bucket *
get_bucket (struct mq_quota_issuer *issuer, const char *organisation,
            const struct mq_quota_bounds *bounds,
            const struct mq_quota_lease *lease, uint64_t now)
{
  struct mq_id id = mq_id_from_text (organisation);
  struct mq_quota_bucket *bucket = mq_idmap_find (issuer->buckets, id, 0);

  if (bucket == NULL)
    {
      bucket = mq_check_alloc (talloc_zero (issuer, struct mq_quota_bucket));
      bucket->id = id;
      bucket->lease.since_ms = UINT64_MAX;
      mq_idmap_put (issuer->buckets, id, 0, bucket);
    }
  if (bucket->lease.since_ms != lease->since_ms)
    reset_bucket (bucket, bounds, lease);
  refill (bucket, now);
  bucket->lease = *lease;
  bucket->limit = bounds->limit;
  if (bucket->level > burst_of (bucket))
    bucket->level = burst_of (bucket);
  return bucket;
}

static struct standing *
get_standing (struct mq_quota_bucket *bucket, struct issuer_host *host)
{
  struct standing *at = bucket->host_rates;

  while (at != NULL && at->host != host)
    at = at->next;
  if (at != NULL)
    return at;
  at = mq_check_alloc (talloc_zero (bucket, struct standing));
  at->host = host;
  at->next = bucket->host_rates;
  bucket->host_rates = at;
  return at;
}

/* Advances to the second of NOW; skipped seconds count as zero use.  */
static void
advance_use (struct standing *at, uint64_t now)
{
  uint64_t second = now / 1000;

  if (second > at->used_s + USE_SECONDS)
    at->used_s = second - USE_SECONDS;
  while (at->used_s < second)
    at->used[++at->used_s % USE_SECONDS] = 0;
}

static void
record_use (struct standing *at, uint32_t issued, uint32_t unused,
            uint64_t now)
{
  uint32_t *used;

  advance_use (at, now);
  used = &at->used[at->used_s % USE_SECONDS];
  *used += issued;
  *used -= *used < unused ? *used : unused;
}

/* Mean use, thousandths of a request per second.  */
static uint64_t
mean_use (const struct standing *at)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < USE_SECONDS; i++)
    sum += at->used[i];
  return sum * 1000U / USE_SECONDS;
}

/* Standing rate for the host of AT: its recent use, bounded so that all
   standing rates fit the limit and their bursts fit the bucket's burst plus
   half of the prefetch bound.  */
static uint64_t
rate_to_lend (const struct mq_quota_bucket *bucket, const struct standing *at,
              const struct mq_quota_bounds *bounds, uint64_t now)
{
  uint64_t rate = mean_use (at) * STANDING_PERCENT / 100U;
  uint64_t lent = 0;
  uint64_t standing_burst = 0;
  uint64_t room;

  for (const struct standing *other = bucket->host_rates; other != NULL;
       other = other->next)
    if (other != at && other->high > 0 && other->until_ms > now)
      {
        lent += other->high;
        standing_burst += mq_quota_standing_burst (other->high);
      }
  if (rate > bucket->limit.rate / STANDING_DIVISOR)
    rate = bucket->limit.rate / STANDING_DIVISOR;
  room = saturating_sub (available_rate (bucket, now), lent);
  if (rate > room)
    rate = room;
  if (!bounds->may_lend || rate < STANDING_MIN
      || standing_burst + mq_quota_standing_burst (rate)
             > burst_of (bucket) + bounds->ahead * PERMIT / 2)
    return 0;
  return rate;
}

/* Sets the standing rate in the reply.  An acknowledgement alone does not show
   that the host has received a lower rate, as that reply may have been lost;
   the rate that the host reports is used.  */
static void
lend (struct mq_quota_bucket *bucket, struct standing *at,
      const struct mq_quota_request *want,
      const struct mq_quota_bounds *bounds, uint64_t now,
      struct mq_quota_grant *grant)
{
  const struct mq_quota_lease *lease = &bucket->lease;

  if (want->heard_ms >= at->told_ms)
    at->high = want->holds;
  at->rate = rate_to_lend (bucket, at, bounds, now);
  at->told_ms = now;
  if (at->rate > at->high)
    at->high = at->rate;
  if (at->rate > 0 && lease->until_ms > at->until_ms)
    at->until_ms = lease->until_ms;
  grant->standing = at->rate;
  grant->standing_ms = (uint32_t)saturating_sub (lease->until_ms, now);
}

/* Counts a surrendered rate once per host and run of the issuer.  */
static void
record_surrendered (struct mq_quota_bucket *bucket, struct standing *at,
                    uint64_t rate, uint64_t now)
{
  if (rate == 0 || at->surrendered != 0 || now >= bucket->lease.inherited_ms)
    return;
  at->surrendered = rate;
  bucket->surrendered += rate;
}

/* WANT with a need of its programs that is within bounds.  A host that has
   seen too few programs does not tell one: then it is the mean of what others
   told.  */
static struct mq_quota_request
with_need (struct mq_quota_issuer *issuer, const struct mq_quota_request *want)
{
  struct mq_quota_request known = *want;

  if (mq_program_need_is_usable (&want->program))
    mq_program_need_average (&issuer->need, &want->program);
  else
    known.program = issuer->need;
  return known;
}

struct mq_quota_grant
mq_quota_issue (struct mq_quota_issuer *issuer, uint64_t host,
                const struct mq_quota_request *want,
                const struct mq_quota_bounds *bounds,
                const struct mq_quota_lease *lease, uint64_t now_ms)
{
  struct mq_quota_grant grant = { .organisation = want->organisation };
  struct mq_quota_bucket *bucket
      = get_bucket (issuer, want->organisation, bounds, lease, now_ms);
  struct standing *at = get_standing (bucket, get_host (issuer, host, now_ms));
  struct mq_quota_request known;

  known = with_need (issuer, want);
  record_surrendered (bucket, at, want->surrendered, now_ms);
  mq_quota_advance_prefetch (bucket, now_ms);
  mq_quota_credit_returned (bucket, want->unused);
  mq_quota_issue_permits (bucket, &known, bounds->ahead, now_ms, &grant);
  record_use (at, grant.need + grant.begins + grant.ahead, want->unused,
              now_ms);
  lend (bucket, at, want, bounds, now_ms, &grant);
  return grant;
}

static bool
has_lent (const struct mq_quota_bucket *bucket, uint64_t now)
{
  if (now < bucket->lease.inherited_ms)
    return true;
  for (const struct standing *at = bucket->host_rates; at != NULL;
       at = at->next)
    if (at->until_ms > now && at->high > 0)
      return true;
  return false;
}

bool
mq_quota_issuer_has_lent (const struct mq_quota_issuer *issuer, uint32_t slot,
                          uint64_t now_ms)
{
  size_t position = 0;
  const struct mq_quota_bucket *bucket;

  while ((bucket = mq_idmap_next (issuer->buckets, &position)) != NULL)
    if (bucket->lease.slot == slot && has_lent (bucket, now_ms))
      return true;
  return false;
}

/* Frees the standing rates of inactive hosts.  */
static void
free_inactive_rates (struct mq_quota_bucket *bucket, uint64_t now)
{
  struct standing **from = &bucket->host_rates;

  while (*from != NULL)
    {
      struct standing *at = *from;

      if (at->until_ms >= now || now - at->host->asked_ms < INACTIVE_MS / 2)
        {
          from = &at->next;
          continue;
        }
      *from = at->next;
      talloc_free (at);
    }
}

static void
free_inactive_hosts (struct mq_quota_issuer *issuer, uint64_t now)
{
  struct issuer_host *found[SWEEP_MAX];
  size_t count = 0;
  size_t position = 0;
  struct issuer_host *host;

  while (count < SWEEP_MAX
         && (host = mq_idmap_next (issuer->hosts, &position)) != NULL)
    if (now - host->asked_ms >= INACTIVE_MS)
      found[count++] = host;
  for (size_t i = 0; i < count; i++)
    {
      mq_idmap_remove (issuer->hosts, host_key (found[i]->id), 0);
      talloc_free (found[i]);
    }
}

void
mq_quota_issuer_sweep (struct mq_quota_issuer *issuer, uint64_t now_ms)
{
  struct mq_quota_bucket *found[SWEEP_MAX];
  size_t count = 0;
  size_t position = 0;
  struct mq_quota_bucket *bucket;

  while ((bucket = mq_idmap_next (issuer->buckets, &position)) != NULL)
    {
      free_inactive_rates (bucket, now_ms);
      if (count < SWEEP_MAX && bucket->host_rates == NULL
          && now_ms > bucket->settled_ms + INACTIVE_MS)
        {
          refill (bucket, now_ms);
          if (bucket->level == burst_of (bucket))
            found[count++] = bucket;
        }
    }
  for (size_t i = 0; i < count; i++)
    {
      mq_idmap_remove (issuer->buckets, found[i]->id, 0);
      talloc_free (found[i]);
    }
  free_inactive_hosts (issuer, now_ms);
}
