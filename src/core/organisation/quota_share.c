/* quota_share.c - what a host that serves requests has of an organisation's
   limit.

   Needs: quota.h.  */

#include "quota.h"

#define PERMIT MQ_QUOTA_UNITS_PER_PERMIT
#define ALONE_SAVE_MS 200U
/* An organisation that used so many permits in a second has as many asked for
   ahead as it uses in MQ_QUOTA_PREFETCH_TTL_MS; fewer are asked for one by
   one.  */
#define AHEAD_LEAST_USE 8U
/* What was refused is not asked for again before, milliseconds.  */
#define NONE_MOST_MS 100U
/* Permits that were not used are not given back later than that.  */
#define GIVE_BACK_MS 600U
#define RETRY_LEAST_MS 100U
#define MS_PER_S 1000U

static void
note_unused (struct mq_quota_share *share, uint32_t permits, uint64_t now)
{
  if (now - share->unused_ms >= GIVE_BACK_MS)
    share->unused = 0;
  if (share->unused == 0)
    share->unused_ms = now;
  share->unused += permits;
}

/* Moves permits that were kept too long to those that are given back.  */
static void
drop_old (struct mq_quota_share *share, uint64_t now)
{
  for (size_t i = 0; i < MQ_QUOTA_BATCHES; i++)
    if (share->stocks[i].permits > 0 && now >= share->stocks[i].until_ms)
      {
        note_unused (share, share->stocks[i].permits, now);
        share->stocks[i].permits = 0;
      }
}

/* The permits at hand that end first.  */
static struct mq_quota_batch *
oldest_stock (struct mq_quota_share *share)
{
  struct mq_quota_batch *found = NULL;

  for (size_t i = 0; i < MQ_QUOTA_BATCHES; i++)
    if (share->stocks[i].permits > 0
        && (found == NULL || share->stocks[i].until_ms < found->until_ms))
      found = &share->stocks[i];
  return found;
}

static void
turn_use (struct mq_quota_share *share, uint64_t now)
{
  uint64_t second = now / MS_PER_S;

  if (second == share->used_s)
    return;
  share->used[1] = second == share->used_s + 1 ? share->used[0] : 0;
  share->used[0] = 0;
  share->used_s = second;
}

static void
note_use (struct mq_quota_share *share, uint64_t now)
{
  turn_use (share, now);
  share->used[0]++;
}

bool
mq_quota_issuer_unavailable (const struct mq_quota_contact *contact,
                             uint64_t now_ms)
{
  return now_ms > contact->answered_ms + MQ_QUOTA_ISSUER_TIMEOUT_MS;
}

uint64_t
mq_quota_standing_burst (uint64_t rate)
{
  return PERMIT + rate * ALONE_SAVE_MS;
}

/* The standing rate, from the moment at which the host is alone.  */
static bool
take_alone (struct mq_quota_share *share, uint64_t now)
{
  uint64_t most = mq_quota_standing_burst (share->standing);

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
  if (share->level > most)
    share->level = most;
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
  struct mq_quota_batch *stock;

  drop_old (share, now_ms);
  if (mq_quota_is_exhausted (share, begins, now_ms))
    return MQ_QUOTA_EXCEEDED;
  stock = oldest_stock (share);
  if (stock != NULL)
    {
      stock->permits--;
      note_use (share, now_ms);
      return MQ_QUOTA_GRANTED;
    }
  if (!mq_quota_issuer_unavailable (contact, now_ms))
    return MQ_QUOTA_ASK_ISSUER;
  if (!take_alone (share, now_ms))
    return MQ_QUOTA_NO_ISSUER;
  note_use (share, now_ms);
  return MQ_QUOTA_GRANTED;
}

static void
add_stock (struct mq_quota_share *share, uint32_t permits, uint64_t until,
           uint64_t now)
{
  struct mq_quota_batch *to = &share->stocks[0];

  if (permits == 0)
    return;
  for (size_t i = 1; i < MQ_QUOTA_BATCHES; i++)
    if (share->stocks[i].until_ms < to->until_ms)
      to = &share->stocks[i];
  /* Nothing may be kept longer than it was meant to.  */
  note_unused (share, to->permits, now);
  *to = (struct mq_quota_batch){ permits, until };
}

static uint32_t
ahead_of (struct mq_quota_share *share, uint64_t now)
{
  uint32_t at_hand = 0;
  uint32_t use;
  uint32_t wanted;

  turn_use (share, now);
  use = share->used[1] > share->used[0] ? share->used[1] : share->used[0];
  if (use < AHEAD_LEAST_USE)
    return 0;
  wanted = use * MQ_QUOTA_PREFETCH_TTL_MS / MS_PER_S;
  for (size_t i = 0; i < MQ_QUOTA_BATCHES; i++)
    at_hand += share->stocks[i].permits;
  return wanted > at_hand ? wanted - at_hand : 0;
}

struct mq_quota_request
mq_quota_request (struct mq_quota_share *share,
                  const struct mq_quota_contact *contact,
                  const char *organisation, uint32_t need, uint32_t begins,
                  uint64_t now_ms)
{
  struct mq_quota_request want = { .organisation = organisation,
                                   .need = need,
                                   .begins = begins,
                                   .surrendered = share->surrendered,
                                   .holds = share->standing,
                                   .heard_ms = contact->told_ms };

  drop_old (share, now_ms);
  want.ahead = ahead_of (share, now_ms);
  if (now_ms - share->unused_ms < GIVE_BACK_MS)
    want.unused = share->unused;
  share->unused = 0;
  share->surrendered = 0;
  return want;
}

bool
mq_quota_record_reply (struct mq_quota_contact *contact, uint64_t server,
                       uint64_t asked_ms, uint64_t told_ms, uint64_t now_ms)
{
  if (now_ms > asked_ms + MQ_QUOTA_REPLY_TIMEOUT_MS)
    return false;
  if (server != contact->server)
    *contact = (struct mq_quota_contact){ .server = server };
  if (asked_ms > contact->answered_ms)
    contact->answered_ms = asked_ms;
  if (told_ms > contact->told_ms)
    contact->told_ms = told_ms;
  return true;
}

/* An issuer that does not know what was lent may give it out again.  */
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
note_refused (struct mq_quota_share *share, uint32_t retry_ms,
              bool begins_alone, uint64_t now)
{
  uint32_t wait = retry_ms < NONE_MOST_MS ? retry_ms : NONE_MOST_MS;

  share->begin_refused_until_ms = now + wait;
  if (!begins_alone)
    share->exhausted_until_ms = now + wait;
}

void
mq_quota_apply_grant (struct mq_quota_share *share,
                      const struct mq_quota_grant *gift, uint64_t server,
                      uint64_t asked_ms, uint64_t now_ms)
{
  if (gift->unknown)
    return;
  mq_quota_surrender (share, server, now_ms);
  share->on_standing_rate = false;
  share->standing = gift->standing;
  share->standing_until_ms = asked_ms + gift->standing_ms;
  add_stock (share, gift->ahead, asked_ms + MQ_QUOTA_PREFETCH_TTL_MS, now_ms);
  for (uint32_t i = 0; i < gift->need + gift->begins; i++)
    note_use (share, now_ms);
  if (gift->retry_ms > 0)
    note_refused (share, gift->retry_ms, !gift->empty, now_ms);
}

uint32_t
mq_quota_retry_after_ms (const struct mq_quota_share *share, bool begins,
                         uint64_t now_ms)
{
  uint64_t until
      = begins ? share->begin_refused_until_ms : share->exhausted_until_ms;

  if (until < now_ms + RETRY_LEAST_MS)
    return RETRY_LEAST_MS;
  return (uint32_t)(until - now_ms);
}
