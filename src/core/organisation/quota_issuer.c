/* quota_issuer.c - the one token bucket of each organisation, and what hosts
   are lent of it.

   Needs: quota.h, id.h, idmap.h, memory.h.  */

#include "../id.h"
#include "../idmap.h"
#include "../memory.h"
#include "quota.h"
#include <string.h>

#define PERMIT MQ_QUOTA_LEVEL_UNIT
#define PER_THOUSANDTH 1000U
/* A standing rate is what a host used in so many seconds, and half more.  */
#define USE_SECONDS 4U
#define STANDING_PERCENT 150U
/* One host is lent no more than this part of the limit.  */
#define STANDING_PART 4U
/* Lower ones are not lent, thousandths a second.  */
#define STANDING_LEAST 100U
/* Part of the burst that is kept for programs that have begun, percent.

   The load: an organisation asks for more than its limit.  A program whose
   fifth request is refused has wasted four, so those that begin are refused
   first.  */
#define BEGIN_KEEP_PERCENT 50U
#define RETRY_LEAST_MS 100U
#define RETRY_MOST_MS 4000U
/* Permits that are out ahead may be used or come back for so long.  */
#define AHEAD_MS 1000U
/* An organisation or a host that was not heard of for so long is forgotten:
   its bucket would be full again, and nothing lent to it is left.  */
#define FORGET_MS 60000U
#define FORGET_MAX 64U

/**
 * struct issuer_host - a host that asks
 * @heard_ms: when it was told what it acknowledged last, by this host's clock
 * @asked_ms: when it asked last
 */
struct issuer_host
{
  uint64_t id;
  uint64_t heard_ms;
  uint64_t asked_ms;
};

/**
 * struct standing - what one host was lent of one organisation
 * @used: permits in each of the last seconds, the newest is @used_s
 * @rate: as told last
 * @high: the highest that it may still hold
 * @told_ms: when @rate was told
 * @until_ms: nothing of it may be used later
 * @surrendered: of what an earlier run lent it
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
 * struct bucket - an organisation's
 * @level: millionths of a permit at @settled_ms
 * @surrendered: all that hosts surrendered
 * @ahead: permits issued ahead in this AHEAD_MS and the one before, less what
 *         came back
 * @ahead_at: which one that is
 */
struct bucket
{
  struct mq_id id;
  struct mq_quota_limit limit;
  struct mq_quota_lease lease;
  uint64_t level;
  uint64_t settled_ms;
  uint64_t surrendered;
  uint32_t ahead[2];
  uint64_t ahead_at;
  struct standing *standings;
};

struct mq_quota_issuer
{
  struct mq_idmap *buckets;
  struct mq_idmap *hosts;
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
  return now > host->heard_ms + MQ_QUOTA_SILENT_MS;
}

/* Rate that this issuer has to give out, itself or by lending.  */
static uint64_t
whole_rate (const struct bucket *bucket, uint64_t since)
{
  uint64_t rate = bucket->limit.rate;
  uint64_t unknown = rate;

  if (since >= bucket->lease.inherited_ms || bucket->surrendered >= rate)
    return rate;
  if (bucket->lease.unheard < STANDING_PART)
    unknown = bucket->lease.unheard * (rate / STANDING_PART + 1);
  return unknown < rate - bucket->surrendered ? rate - unknown
                                              : bucket->surrendered;
}

static uint64_t
burst_of (const struct bucket *bucket)
{
  return bucket->limit.burst * PER_THOUSANDTH;
}

static uint64_t
less (uint64_t from, uint64_t by)
{
  return from > by ? from - by : 0;
}

/* Rate and depth of the bucket while silent hosts may use what they were
   lent.  */
static void
effective (const struct bucket *bucket, uint64_t since, uint64_t now,
           uint64_t *rate, uint64_t *depth)
{
  uint64_t lent = 0;
  uint64_t saved = 0;

  for (const struct standing *at = bucket->standings; at != NULL;
       at = at->next)
    if (at->high > 0 && at->until_ms > since && is_silent (at->host, now))
      {
        lent += at->high;
        saved += mq_quota_saved (at->high);
      }
  *rate = less (whole_rate (bucket, since), lent);
  *depth = less (burst_of (bucket), saved);
}

/* Brings the level up to NOW.  */
static void
settle (struct bucket *bucket, uint64_t now)
{
  uint64_t rate;
  uint64_t depth;

  if (now < bucket->settled_ms)
    return;
  effective (bucket, bucket->settled_ms, now, &rate, &depth);
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

/* While HOST was silent its rate was its own, whatever comes now.  */
static void
settle_all_of (struct mq_quota_issuer *issuer, const struct issuer_host *host,
               uint64_t now)
{
  size_t position = 0;
  struct bucket *bucket;

  while ((bucket = mq_idmap_next (issuer->buckets, &position)) != NULL)
    for (const struct standing *at = bucket->standings; at != NULL;
         at = at->next)
      if (at->host == host)
        {
          settle (bucket, now);
          break;
        }
}

void
mq_quota_heard (struct mq_quota_issuer *issuer, uint64_t id, uint64_t heard_ms,
                uint64_t now_ms)
{
  struct issuer_host *host = get_host (issuer, id, now_ms);

  host->asked_ms = now_ms;
  if (heard_ms > now_ms || heard_ms <= host->heard_ms)
    return;
  if (is_silent (host, now_ms))
    settle_all_of (issuer, host, now_ms);
  host->heard_ms = heard_ms;
}

static void
begin_bucket (struct bucket *bucket, const struct mq_quota_bounds *bounds,
              const struct mq_quota_lease *lease)
{
  while (bucket->standings != NULL)
    {
      struct standing *first = bucket->standings;

      bucket->standings = first->next;
      talloc_free (first);
    }
  bucket->limit = bounds->limit;
  bucket->lease = *lease;
  bucket->level = 0;
  bucket->surrendered = 0;
  bucket->settled_ms = lease->since_ms;
}

/* The organisation's bucket as of NOW, under the limit in force.  */
static struct bucket *
get_bucket (struct mq_quota_issuer *issuer, const char *organisation,
            const struct mq_quota_bounds *bounds,
            const struct mq_quota_lease *lease, uint64_t now)
{
  struct mq_id id = mq_id_from_text (organisation);
  struct bucket *bucket = mq_idmap_find (issuer->buckets, id, 0);

  if (bucket == NULL)
    {
      bucket = mq_check_alloc (talloc_zero (issuer, struct bucket));
      bucket->id = id;
      bucket->lease.since_ms = UINT64_MAX;
      mq_idmap_put (issuer->buckets, id, 0, bucket);
    }
  if (bucket->lease.since_ms != lease->since_ms)
    begin_bucket (bucket, bounds, lease);
  settle (bucket, now);
  bucket->lease = *lease;
  bucket->limit = bounds->limit;
  if (bucket->level > burst_of (bucket))
    bucket->level = burst_of (bucket);
  return bucket;
}

static struct standing *
get_standing (struct bucket *bucket, struct issuer_host *host)
{
  struct standing *at = bucket->standings;

  while (at != NULL && at->host != host)
    at = at->next;
  if (at != NULL)
    return at;
  at = mq_check_alloc (talloc_zero (bucket, struct standing));
  at->host = host;
  at->next = bucket->standings;
  bucket->standings = at;
  return at;
}

/* Seconds that went by without use count as such.  */
static void
turn_use (struct standing *at, uint64_t now)
{
  uint64_t second = now / 1000;

  if (second > at->used_s + USE_SECONDS)
    at->used_s = second - USE_SECONDS;
  while (at->used_s < second)
    at->used[++at->used_s % USE_SECONDS] = 0;
}

static void
note_use (struct standing *at, uint32_t issued, uint32_t unused, uint64_t now)
{
  uint32_t *used;

  turn_use (at, now);
  used = &at->used[at->used_s % USE_SECONDS];
  *used += issued;
  *used -= *used < unused ? *used : unused;
}

/* Thousandths of a request a second.  */
static uint64_t
rate_of_use (const struct standing *at)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < USE_SECONDS; i++)
    sum += at->used[i];
  return sum * 1000U / USE_SECONDS;
}

static uint32_t
take_level (struct bucket *bucket, uint32_t wanted, uint64_t keep)
{
  uint64_t room = less (bucket->level, keep) / PERMIT;
  uint32_t taken = wanted < room ? wanted : (uint32_t)room;

  bucket->level -= (uint64_t)taken * PERMIT;
  return taken;
}

static void
turn_ahead (struct bucket *bucket, uint64_t now)
{
  uint64_t at = now / AHEAD_MS;

  if (at == bucket->ahead_at)
    return;
  bucket->ahead[1] = at == bucket->ahead_at + 1 ? bucket->ahead[0] : 0;
  bucket->ahead[0] = 0;
  bucket->ahead_at = at;
}

/* Permits that may still be issued ahead.  */
static uint32_t
ahead_room (const struct bucket *bucket, uint64_t most)
{
  return (uint32_t)less (most, (uint64_t)bucket->ahead[0] + bucket->ahead[1]);
}

/* Permits that come back, as far as they can be out.

   Failure: what was issued long ago comes back when the bucket has filled up
   again, and is issued a second time beside all that the limit allows.  */
static void
take_back (struct bucket *bucket, uint32_t unused)
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
retry_of (const struct bucket *bucket, uint64_t wanted, uint64_t now)
{
  uint64_t rate;
  uint64_t depth;
  uint64_t wait = RETRY_MOST_MS;

  effective (bucket, now, now, &rate, &depth);
  if (rate > 0)
    wait = less (wanted, bucket->level) / rate;
  if (wait < RETRY_LEAST_MS)
    return RETRY_LEAST_MS;
  return wait > RETRY_MOST_MS ? RETRY_MOST_MS : (uint32_t)wait;
}

static void
issue_permits (struct bucket *bucket, const struct mq_quota_want *want,
               uint64_t ahead_most, uint64_t now, struct mq_quota_gift *gift)
{
  uint64_t keep = burst_of (bucket) * BEGIN_KEEP_PERCENT / 100U;
  uint32_t room = ahead_room (bucket, ahead_most);
  uint32_t missing;

  gift->need = take_level (bucket, want->need, 0);
  gift->begins = take_level (bucket, want->begins, keep);
  gift->ahead
      = take_level (bucket, want->ahead < room ? want->ahead : room, keep);
  bucket->ahead[0] += gift->ahead;
  missing = want->need - gift->need;
  gift->empty = missing > 0;
  if (want->begins > gift->begins)
    gift->retry_ms = retry_of (
        bucket, keep + (uint64_t)(want->begins - gift->begins) * PERMIT, now);
  else if (missing > 0)
    gift->retry_ms = retry_of (bucket, (uint64_t)missing * PERMIT, now);
}

/* The standing rate that the host of AT gets: what it used, as far as all
   together stay within the rate, and what they may save up within the burst
   and half of what may be out ahead.  */
static uint64_t
rate_to_lend (const struct bucket *bucket, const struct standing *at,
              const struct mq_quota_bounds *bounds, uint64_t now)
{
  uint64_t rate = rate_of_use (at) * STANDING_PERCENT / 100U;
  uint64_t lent = 0;
  uint64_t saved = 0;
  uint64_t room;

  for (const struct standing *other = bucket->standings; other != NULL;
       other = other->next)
    if (other != at && other->high > 0 && other->until_ms > now)
      {
        lent += other->high;
        saved += mq_quota_saved (other->high);
      }
  if (rate > bucket->limit.rate / STANDING_PART)
    rate = bucket->limit.rate / STANDING_PART;
  room = less (whole_rate (bucket, now), lent);
  if (rate > room)
    rate = room;
  if (!bounds->lends || rate < STANDING_LEAST
      || saved + mq_quota_saved (rate)
             > burst_of (bucket) + bounds->ahead * PERMIT / 2)
    return 0;
  return rate;
}

/* Failure: an answer with a lower rate is lost with its connection, and a
   later one that does not name the organisation is acknowledged; the host goes
   on with the higher rate.  So it says what it holds.  */
static void
lend (struct bucket *bucket, struct standing *at,
      const struct mq_quota_want *want, const struct mq_quota_bounds *bounds,
      uint64_t now, struct mq_quota_gift *gift)
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
  gift->standing = at->rate;
  gift->standing_ms = (uint32_t)less (lease->until_ms, now);
}

/* A host surrenders once for a run of the issuer.  */
static void
take_surrendered (struct bucket *bucket, struct standing *at, uint64_t rate,
                  uint64_t now)
{
  if (rate == 0 || at->surrendered != 0 || now >= bucket->lease.inherited_ms)
    return;
  at->surrendered = rate;
  bucket->surrendered += rate;
}

struct mq_quota_gift
mq_quota_issue (struct mq_quota_issuer *issuer, uint64_t host,
                const struct mq_quota_want *want,
                const struct mq_quota_bounds *bounds,
                const struct mq_quota_lease *lease, uint64_t now_ms)
{
  struct mq_quota_gift gift = { .organisation = want->organisation };
  struct bucket *bucket
      = get_bucket (issuer, want->organisation, bounds, lease, now_ms);
  struct standing *at = get_standing (bucket, get_host (issuer, host, now_ms));

  take_surrendered (bucket, at, want->surrendered, now_ms);
  turn_ahead (bucket, now_ms);
  take_back (bucket, want->unused);
  issue_permits (bucket, want, bounds->ahead, now_ms, &gift);
  note_use (at, gift.need + gift.begins + gift.ahead, want->unused, now_ms);
  lend (bucket, at, want, bounds, now_ms, &gift);
  return gift;
}

static bool
has_lent (const struct bucket *bucket, uint64_t now)
{
  if (now < bucket->lease.inherited_ms)
    return true;
  for (const struct standing *at = bucket->standings; at != NULL;
       at = at->next)
    if (at->until_ms > now && at->high > 0
        && (at->rate > 0 || at->host->heard_ms < at->told_ms))
      return true;
  return false;
}

bool
mq_quota_issuer_lent (const struct mq_quota_issuer *issuer, uint32_t slot,
                      uint64_t now_ms)
{
  size_t position = 0;
  const struct bucket *bucket;

  while ((bucket = mq_idmap_next (issuer->buckets, &position)) != NULL)
    if (bucket->lease.slot == slot && has_lent (bucket, now_ms))
      return true;
  return false;
}

/* Frees what is kept of hosts that were not heard of for long.  */
static void
forget_standings (struct bucket *bucket, uint64_t now)
{
  struct standing **from = &bucket->standings;

  while (*from != NULL)
    {
      struct standing *at = *from;

      if (at->until_ms >= now || now - at->host->asked_ms < FORGET_MS / 2)
        {
          from = &at->next;
          continue;
        }
      *from = at->next;
      talloc_free (at);
    }
}

static void
forget_hosts (struct mq_quota_issuer *issuer, uint64_t now)
{
  struct issuer_host *found[FORGET_MAX];
  size_t count = 0;
  size_t position = 0;
  struct issuer_host *host;

  while (count < FORGET_MAX
         && (host = mq_idmap_next (issuer->hosts, &position)) != NULL)
    if (now - host->asked_ms >= FORGET_MS)
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
  struct bucket *found[FORGET_MAX];
  size_t count = 0;
  size_t position = 0;
  struct bucket *bucket;

  while ((bucket = mq_idmap_next (issuer->buckets, &position)) != NULL)
    {
      forget_standings (bucket, now_ms);
      if (count < FORGET_MAX && bucket->standings == NULL
          && now_ms > bucket->settled_ms + FORGET_MS)
        {
          settle (bucket, now_ms);
          if (bucket->level == burst_of (bucket))
            found[count++] = bucket;
        }
    }
  for (size_t i = 0; i < count; i++)
    {
      mq_idmap_remove (issuer->buckets, found[i]->id, 0);
      talloc_free (found[i]);
    }
  forget_hosts (issuer, now_ms);
}
