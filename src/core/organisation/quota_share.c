/* quota_share.c - a host's share of an organisation's quota.

   Needs: quota.h.  */

#include "quota.h"

#define PERMIT MQ_QUOTA_UNITS_PER_PERMIT
/* Standing rate that accumulates as burst.  */
#define STANDING_BURST_MS 200U
/* Permits per second from which on a host prefetches; below it requests them
   one at a time.  */
#define PREFETCH_MIN_USE 8U
/* Longest delay before permits are requested again after a refusal.  */
#define EXHAUSTED_MAX_MS 100U
/* Unused permits are dropped instead of returned after this time.  */
#define RETURN_MAX_MS 600U
#define RETRY_MIN_MS 100U
#define RETRY_MAX_MS 4000U
#define MS_PER_S 1000U

static void
record_unused (struct mq_quota_share *share, uint32_t permits, uint64_t now)
{
  if (now - share->unused_ms >= RETURN_MAX_MS)
    share->unused = 0;
  if (share->unused == 0)
    share->unused_ms = now;
  share->unused += permits;
}

/* Marks expired prefetched permits as unused, to be returned.  */
static void
expire_batches (struct mq_quota_share *share, uint64_t now)
{
  for (size_t i = 0; i < MQ_QUOTA_BATCHES; i++)
    if (share->batches[i].permits > 0 && now >= share->batches[i].until_ms)
      {
        record_unused (share, share->batches[i].permits, now);
        share->batches[i].permits = 0;
      }
}

/* Prefetched permits that expire first.  */
static struct mq_quota_batch *
oldest_batch (struct mq_quota_share *share)
{
  struct mq_quota_batch *found = NULL;

  for (size_t i = 0; i < MQ_QUOTA_BATCHES; i++)
    if (share->batches[i].permits > 0
        && (found == NULL || share->batches[i].until_ms < found->until_ms))
      found = &share->batches[i];
  return found;
}

static void
advance_use (struct mq_quota_share *share, uint64_t now)
{
  uint64_t second = now / MS_PER_S;

  if (second == share->used_s)
    return;
  share->used[1] = second == share->used_s + 1 ? share->used[0] : 0;
  share->used[0] = 0;
  share->used_s = second;
}

static void
record_use (struct mq_quota_share *share, uint64_t now)
{
  advance_use (share, now);
  share->used[0]++;
}

bool
mq_quota_issuer_unavailable (const struct mq_quota_contact *contact,
                             uint64_t now_ms)
{
  return contact->unanswered_ms != 0
         && now_ms > contact->unanswered_ms + MQ_QUOTA_ISSUER_TIMEOUT_MS;
}

void
mq_quota_record_denial (struct mq_quota_share *share, uint64_t now_ms)
{
  if (share->denied_ms == 0 || now_ms > share->denied_until_ms)
    share->denied_ms = now_ms;
  share->denied_until_ms = now_ms + MQ_QUOTA_ISSUER_TIMEOUT_MS;
}

/* Whether no issuer was found for longer than a lease takes to move.  Denials
   of long ago don't count: another host may issue by now.

   Failure: each denial counts as an answer of the issuer, and requests wait
   for a permit until their deadline.  */
static bool
has_no_issuer (const struct mq_quota_share *share, uint64_t now)
{
  return share->denied_ms != 0 && now <= share->denied_until_ms
         && now > share->denied_ms + MQ_QUOTA_ISSUER_TIMEOUT_MS;
}

uint64_t
mq_quota_standing_burst (uint64_t rate)
{
  return PERMIT + rate * STANDING_BURST_MS;
}

/* Takes a permit under the standing rate.  Its bucket starts empty when the
   host falls back to it.  */
static bool
take_standing (struct mq_quota_share *share, uint64_t now)
{
  uint64_t burst = mq_quota_standing_burst (share->standing);

  if (share->standing == 0 || now >= share->standing_until_ms)
    return false;
  if (!share->on_standing_rate)
    {
      share->on_standing_rate = true;
      share->level = 0;
      share->level_ms = now;
    }
  share->level += share->standing * (now - share->level_ms);
  share->level_ms = now;
  if (share->level > burst)
    share->level = burst;
  if (share->level < PERMIT)
    return false;
  share->level -= PERMIT;
  return true;
}

bool
mq_quota_is_exhausted (const struct mq_quota_share *share, bool begins,
                       uint64_t now_ms)
{
  return now_ms < (begins ? share->begin_refused_until_ms
                          : share->exhausted_until_ms);
}

enum mq_quota_decision
mq_quota_try_acquire (struct mq_quota_share *share,
                      const struct mq_quota_contact *contact, bool begins,
                      uint64_t now_ms)
{
  struct mq_quota_batch *batch;

  expire_batches (share, now_ms);
  if (mq_quota_is_exhausted (share, begins, now_ms))
    return MQ_QUOTA_EXCEEDED;
  batch = oldest_batch (share);
  if (batch != NULL)
    {
      batch->permits--;
      record_use (share, now_ms);
      return MQ_QUOTA_GRANTED;
    }
  /* A denial shows that the lease under which a rate was lent has ended.  */
  if (has_no_issuer (share, now_ms))
    return MQ_QUOTA_NO_ISSUER;
  if (!mq_quota_issuer_unavailable (contact, now_ms))
    return MQ_QUOTA_ASK_ISSUER;
  if (!take_standing (share, now_ms))
    return MQ_QUOTA_NO_ISSUER;
  record_use (share, now_ms);
  return MQ_QUOTA_GRANTED;
}

static void
add_batch (struct mq_quota_share *share, uint32_t permits, uint64_t until,
           uint64_t now)
{
  struct mq_quota_batch *to = &share->batches[0];

  if (permits == 0)
    return;
  for (size_t i = 1; i < MQ_QUOTA_BATCHES; i++)
    if (share->batches[i].until_ms < to->until_ms)
      to = &share->batches[i];
  /* Permits of the replaced batch must not outlive their TTL.  */
  record_unused (share, to->permits, now);
  *to = (struct mq_quota_batch){ permits, until };
}

void
mq_quota_add_program (struct mq_quota_programs *sums,
                      const struct mq_program_need *need)
{
  if (need->further == 0)
    return;
  sums->count++;
  sums->further += need->further;
  sums->life_ms += need->life_ms;
}

void
mq_quota_record_program (struct mq_quota_share *share, bool begins,
                         const struct mq_program_need *need, uint64_t now_ms)
{
  if (share->begun.count + share->continued == 0
      || now_ms - share->begun_ms >= RETURN_MAX_MS)
    {
      share->begun = (struct mq_quota_programs){ 0 };
      share->continued = 0;
      share->begun_ms = now_ms;
    }
  if (begins)
    mq_quota_add_program (&share->begun, need);
  else
    share->continued++;
}

/* Tells what programs did with prefetched permits.  What is older is left out:
   the issuer would set it aside too late.  */
static void
add_programs (struct mq_quota_share *share,
              const struct mq_quota_waiting *waiting, uint64_t now,
              struct mq_quota_request *want)
{
  struct mq_quota_programs sums = waiting->programs;

  if (now - share->begun_ms < RETURN_MAX_MS)
    {
      want->begun = share->begun.count;
      want->continued = share->continued;
      sums.count += share->begun.count;
      sums.further += share->begun.further;
      sums.life_ms += share->begun.life_ms;
    }
  share->begun = (struct mq_quota_programs){ 0 };
  share->continued = 0;
  if (sums.count == 0)
    return;
  want->program.further = (uint32_t)(sums.further / sums.count);
  want->program.life_ms = (uint32_t)(sums.life_ms / sums.count);
}

static uint32_t
permits_to_prefetch (struct mq_quota_share *share, uint64_t now)
{
  uint32_t available = 0;
  uint32_t use;
  uint32_t wanted;

  advance_use (share, now);
  use = share->used[1] > share->used[0] ? share->used[1] : share->used[0];
  if (use < PREFETCH_MIN_USE)
    return 0;
  wanted = use * MQ_QUOTA_PREFETCH_TTL_MS / MS_PER_S;
  for (size_t i = 0; i < MQ_QUOTA_BATCHES; i++)
    available += share->batches[i].permits;
  return wanted > available ? wanted - available : 0;
}

struct mq_quota_request
mq_quota_request (struct mq_quota_share *share,
                  const struct mq_quota_contact *contact,
                  const char *organisation,
                  const struct mq_quota_waiting *waiting, uint64_t now_ms)
{
  struct mq_quota_request want = { .organisation = organisation,
                                   .need = waiting->need,
                                   .single = waiting->single,
                                   .begins = waiting->begins,
                                   .surrendered = share->surrendered,
                                   .holds = share->standing,
                                   .heard_ms = contact->told_ms };

  expire_batches (share, now_ms);
  want.ahead = permits_to_prefetch (share, now_ms);
  if (now_ms - share->unused_ms < RETURN_MAX_MS)
    want.unused = share->unused;
  share->unused = 0;
  share->surrendered = 0;
  add_programs (share, waiting, now_ms, &want);
  return want;
}

void
mq_quota_record_request (struct mq_quota_contact *contact, uint64_t now_ms)
{
  if (contact->unanswered_ms == 0)
    contact->unanswered_ms = now_ms;
}

bool
mq_quota_record_reply (struct mq_quota_contact *contact, uint64_t server,
                       uint64_t asked_ms, uint64_t told_ms, uint64_t now_ms)
{
  if (now_ms > asked_ms + MQ_QUOTA_REPLY_TIMEOUT_MS)
    return false;
  if (server != contact->server)
    *contact = (struct mq_quota_contact){ .server = server };
  contact->unanswered_ms = 0;
  if (told_ms > contact->told_ms)
    contact->told_ms = told_ms;
  return true;
}

/* A new run of the issuer does not know this rate and may lend it again.  */
void
mq_quota_surrender (struct mq_quota_share *share, uint64_t server,
                    uint64_t now_ms)
{
  if (share->server == server)
    return;
  if (now_ms < share->standing_until_ms)
    share->surrendered += share->standing;
  share->server = server;
  share->standing = 0;
  share->unused = 0;
}

static void
record_refusal (struct mq_quota_share *share, uint32_t retry_ms,
                uint32_t between_ms, bool begins_only, uint64_t now)
{
  uint32_t wait = retry_ms < EXHAUSTED_MAX_MS ? retry_ms : EXHAUSTED_MAX_MS;

  if (between_ms > RETRY_MAX_MS)
    between_ms = RETRY_MAX_MS;
  share->begin_retry_ms = now + retry_ms;
  share->begin_between_ms = between_ms;
  share->begin_refused_until_ms = now + wait;
  if (!begins_only)
    share->exhausted_until_ms = now + wait;
}

void
mq_quota_apply_grant (struct mq_quota_share *share,
                      const struct mq_quota_grant *grant, uint64_t server,
                      uint64_t asked_ms, uint64_t now_ms)
{
  if (grant->unknown)
    {
      mq_quota_record_denial (share, now_ms);
      return;
    }
  share->denied_ms = 0;
  mq_quota_surrender (share, server, now_ms);
  share->on_standing_rate = false;
  share->standing = grant->standing;
  share->standing_until_ms = asked_ms + grant->standing_ms;
  add_batch (share, grant->ahead, asked_ms + MQ_QUOTA_PREFETCH_TTL_MS, now_ms);
  for (uint32_t i = 0; i < grant->need + grant->begins; i++)
    record_use (share, now_ms);
  if (grant->retry_ms > 0)
    record_refusal (share, grant->retry_ms, grant->between_ms, !grant->empty,
                    now_ms);
}

/* Time at which the next refused program returns.  Each returns later than the
   one before by the time between two programs that can begin.  */
static uint64_t
next_return (struct mq_quota_share *share)
{
  uint64_t at = share->begin_retry_ms;

  if (at < share->begin_refused_until_ms)
    at = share->begin_refused_until_ms;
  share->begin_retry_ms = at + share->begin_between_ms;
  return at;
}

uint32_t
mq_quota_retry_after_ms (struct mq_quota_share *share, bool begins,
                         uint64_t now_ms)
{
  uint64_t until = begins ? next_return (share) : share->exhausted_until_ms;

  if (until < now_ms + RETRY_MIN_MS)
    return RETRY_MIN_MS;
  if (until > now_ms + RETRY_MAX_MS)
    return RETRY_MAX_MS;
  return (uint32_t)(until - now_ms);
}
