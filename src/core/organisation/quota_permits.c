/* quota_permits.c - permits that an organisation's token bucket grants.

   Needs: quota_bucket.h.  */

#include "quota_bucket.h"

/* Part of the burst reserved for programs that have begun, percent.  Guards
   against refusing a program in the middle, which wastes its earlier requests:
   over the limit, new programs are refused first.  */
#define BEGUN_RESERVE_PERCENT 50U
/* Part of the burst that programs may not be expected to use, percent: some
   need more than the mean.  */
#define ASIDE_MARGIN_PERCENT 10U
#define RETRY_MIN_MS 100U
#define RETRY_MAX_MS 4000U
/* Time within which prefetched permits may be used or returned.  */
#define PREFETCH_WINDOW_MS 1000U

static uint32_t
take_permits (struct mq_quota_bucket *bucket, uint32_t wanted,
              uint64_t reserved)
{
  uint64_t room = saturating_sub (bucket->level, reserved) / PERMIT;
  uint32_t taken = wanted < room ? wanted : (uint32_t)room;

  bucket->level -= (uint64_t)taken * PERMIT;
  return taken;
}

void
mq_quota_advance_prefetch (struct mq_quota_bucket *bucket, uint64_t now)
{
  uint64_t at = now / PREFETCH_WINDOW_MS;

  if (at == bucket->ahead_at)
    return;
  bucket->ahead[1] = at == bucket->ahead_at + 1 ? bucket->ahead[0] : 0;
  bucket->ahead[0] = 0;
  bucket->ahead_at = at;
}

/* Number of permits that may still be prefetched.  */
static uint32_t
prefetch_room (const struct mq_quota_bucket *bucket, uint64_t ahead_max)
{
  return (uint32_t)saturating_sub (ahead_max, (uint64_t)bucket->ahead[0]
                                                  + bucket->ahead[1]);
}

/* Credits returned permits, up to the number still outstanding.  Guards
   against permits returned after the bucket has refilled, which would be
   issued twice.  */
void
mq_quota_credit_returned (struct mq_quota_bucket *bucket, uint32_t unused)
{
  uint64_t depth = burst_of (bucket);

  for (size_t i = 2; i-- > 0;)
    {
      uint32_t back = unused < bucket->ahead[i] ? unused : bucket->ahead[i];

      bucket->ahead[i] -= back;
      unused -= back;
      bucket->level += (uint64_t)back * PERMIT;
    }
  if (bucket->level > depth)
    bucket->level = depth;
}

static uint32_t
retry_delay (const struct mq_quota_bucket *bucket, uint64_t wanted,
             uint64_t now)
{
  uint64_t rate;
  uint64_t depth;
  uint64_t wait = RETRY_MAX_MS;

  mq_quota_effective_limit (bucket, now, now, &rate, &depth);
  if (rate > 0)
    wait = saturating_sub (wanted, bucket->level) / rate;
  if (wait < RETRY_MIN_MS)
    return RETRY_MIN_MS;
  return wait > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)wait;
}

static uint64_t
begun_reserve (const struct mq_quota_bucket *bucket)
{
  return burst_of (bucket) * BEGUN_RESERVE_PERCENT / 100U;
}

static struct mq_set_aside_bucket
bucket_for_programs (const struct mq_quota_bucket *bucket, uint64_t now)
{
  struct mq_set_aside_bucket view = { .level = bucket->level };
  mq_quota_effective_limit (bucket, now, now, &view.rate, &view.depth);
  view.margin = burst_of (bucket) * ASIDE_MARGIN_PERCENT / 100U;
  return view;
}

/* Whether a program may begin.  Where nothing is set aside, the state of the
   bucket alone decides, or a program that needs more than the bucket ever
   covers could never begin.  */
static bool
may_begin (struct mq_quota_bucket *bucket, const struct mq_program_need *need,
           uint64_t now)
{
  struct mq_set_aside_bucket view;

  if (bucket->level < PERMIT)
    return false;
  if (need->further == 0 || mq_set_aside_total (&bucket->aside, now) == 0)
    return bucket->level >= begun_reserve (bucket) + PERMIT;
  view = bucket_for_programs (bucket, now);
  return mq_set_aside_fits (&bucket->aside, &view, need, now);
}

/* Grants first requests and sets aside what their programs need.  */
static uint32_t
issue_begins (struct mq_quota_bucket *bucket,
              const struct mq_quota_request *want, uint64_t now)
{
  uint32_t granted = 0;

  while (granted < want->begins && may_begin (bucket, &want->program, now))
    {
      bucket->level -= PERMIT;
      mq_set_aside_add (&bucket->aside, &want->program, 1, now);
      granted++;
    }
  return granted;
}

/* Records what programs did with the permits that the host has.  No more can
   have begun than permits were prefetched.  */
static void
record_programs (struct mq_quota_bucket *bucket,
                 const struct mq_quota_request *want, uint64_t now)
{
  uint32_t prefetched = bucket->ahead[0] + bucket->ahead[1];

  mq_set_aside_add (&bucket->aside, &want->program,
                    want->begun < prefetched ? want->begun : prefetched, now);
  mq_set_aside_use (&bucket->aside, want->continued, now);
}

static uint32_t
issue_ahead (struct mq_quota_bucket *bucket, uint32_t wanted,
             uint64_t ahead_max, uint64_t now)
{
  uint32_t room = prefetch_room (bucket, ahead_max);
  struct mq_set_aside_bucket view = bucket_for_programs (bucket, now);
  uint64_t spare = mq_set_aside_spare (&bucket->aside, &view, now);

  if (wanted > room)
    wanted = room;
  if (wanted > spare)
    wanted = (uint32_t)spare;
  return take_permits (bucket, wanted, begun_reserve (bucket));
}

/* Has refused programs return one after the other, as fast as the rate lets
   programs begin.  */
static void
schedule_returns (struct mq_quota_bucket *bucket,
                  const struct mq_quota_request *want, uint64_t now,
                  struct mq_quota_grant *grant)
{
  uint32_t refused = want->begins - grant->begins;
  uint64_t latest = now + RETRY_MAX_MS;
  uint64_t between;

  if (bucket->limit.rate == 0)
    return;
  between = ((uint64_t)want->program.further + PER_THOUSANDTH) * 1000U
            / bucket->limit.rate;
  if (between > RETRY_MAX_MS)
    between = RETRY_MAX_MS;
  if (bucket->return_ms < now + RETRY_MIN_MS)
    bucket->return_ms = now + RETRY_MIN_MS;
  grant->retry_ms = (uint32_t)(bucket->return_ms - now);
  grant->between_ms = (uint32_t)between;
  bucket->return_ms += between * refused;
  if (bucket->return_ms > latest)
    bucket->return_ms = latest;
}

void
mq_quota_issue_permits (struct mq_quota_bucket *bucket,
                        const struct mq_quota_request *want,
                        uint64_t ahead_max, uint64_t now,
                        struct mq_quota_grant *grant)
{
  uint64_t reserved = begun_reserve (bucket);
  uint32_t of_programs;
  uint32_t missing;

  record_programs (bucket, want, now);
  grant->need = take_permits (bucket, want->need, 0);
  of_programs = (uint32_t)saturating_sub (want->need, want->single);
  mq_set_aside_use (&bucket->aside,
                    grant->need < of_programs ? grant->need : of_programs,
                    now);
  grant->begins = issue_begins (bucket, want, now);
  grant->ahead = issue_ahead (bucket, want->ahead, ahead_max, now);
  bucket->ahead[0] += grant->ahead;
  missing = want->need - grant->need;
  grant->empty = missing > 0;
  if (want->begins > grant->begins && want->program.further > 0)
    schedule_returns (bucket, want, now, grant);
  else if (want->begins > grant->begins)
    grant->retry_ms = retry_delay (
        bucket, reserved + (uint64_t)(want->begins - grant->begins) * PERMIT,
        now);
  else if (missing > 0)
    grant->retry_ms = retry_delay (bucket, (uint64_t)missing * PERMIT, now);
}
