/* test_quota_model.c - model check of an organisation's limit over hosts.

   Some hosts, one organisation, a lease that two of the hosts may have.  Each
   host uses permits as fast as it gets them.  Messages take any time and are
   lost one way or both; hosts stand still and go on; the issuer is lost and
   starts again, or another host takes its lease over once it has run out;
   clocks differ and don't run equally fast; the limit is lowered and raised.
   Each walk is a random one from a seed.  At each use of a permit, all spans
   of time that end there are checked against what one token bucket gives.
   Planted errors show that the walks go where a fault would be seen.
   Needs: Criterion, quota.h, id.h.  */

#include "core/id.h"
#include "core/organisation/quota.h"
#include <criterion/criterion.h>
#include <string.h>

enum
{
  HOSTS = 4,
  ISSUERS = 2, /* hosts 0 and 1 */
  LETTERS = 64,
  STEPS = 6000,
  STEP_MS = 10,
  SEEDS = 300,
  PLANTED_SEEDS = 1500,
  USES = 2048,
  SPAN_MS = 6000, /* longer ones are not looked at */
  LEASE_MS = 12000,
  RENEW_MS = 3000,
  MARGIN_MS = 500,
  AHEAD = 3
};

static const struct mq_quota_limit limits[]
    = { { 80000, 40000 }, { 160000, 30000 }, { 40000, 80000 } };

enum planted
{
  PLANTED_NONE,
  PLANTED_UNACKNOWLEDGED,   /* whoever asks counts as heard */
  PLANTED_NOT_ALONE,        /* a host asks and uses its standing rate too */
  PLANTED_FORGETFUL_ISSUER, /* a new run of the issuer issues all at once */
  PLANTED_EARLY_TAKEOVER,   /* a lease is taken before it has run out */
  PLANTED_FULL_BUCKET,      /* a bucket does not begin empty */
  PLANTED_LATE_ANSWERS,     /* answers count however late they come */
  PLANTED_FALSE_SURRENDER,  /* a host surrenders what it never had */
  PLANTED_ENDLESS_STANDING, /* a standing rate has no end */
  PLANTED_LEASE_UNCHECKED,  /* an issuer issues after its lease */
  PLANTED_RECALL_UNHEEDED,  /* hosts that did not answer count as heard */
  PLANTED_GIVEN_BACK_EARLY, /* a lease is given back while rates are lent */
  PLANTED_COUNT
};

static const char *const planted_names[PLANTED_COUNT] = { "none",
                                                          "unacknowledged",
                                                          "not alone",
                                                          "forgetful",
                                                          "early takeover",
                                                          "full bucket",
                                                          "late answers",
                                                          "false surrender",
                                                          "endless standing",
                                                          "lease unchecked",
                                                          "recall unheeded",
                                                          "given back early" };

struct letter
{
  bool used;
  bool told;
  bool recall;
  bool recalled;
  int from;
  int to;
  uint64_t arrives_ms;
  uint64_t asked_ms; /* by the asker's clock */
  uint64_t host;
  uint64_t heard_ms;
  uint64_t server;
  uint64_t told_ms;
  struct mq_quota_request want;
  struct mq_quota_grant gift;
};

/**
 * struct host - a host, at times the issuer
 * @offset_ms: its clock is so much ahead
 * @skew: and runs faster by so many thousandths
 * @wakes_ms: it stands still until then
 * @held_ms: what is sent to it arrives then at the earliest
 * @no_table_ms: it can't reach the table until then
 * @leaving: it gives its lease back as soon as it may
 * @believed: whom it takes for the issuer
 * @lender: host that its standing rate came from
 * @surrendered: hosts that answered its recall
 */
struct host
{
  uint64_t run;
  uint64_t offset_ms;
  int skew;
  uint64_t wakes_ms;
  uint64_t held_ms;
  uint64_t no_table_ms;
  bool leaving;
  int believed;
  struct mq_quota_share share;
  struct mq_quota_contact contacts[ISSUERS];
  uint64_t asked_ms;
  uint32_t waiting;
  int lender;
  bool surrendered[HOSTS];
  struct mq_quota_issuer *issuer;
  struct mq_quota_lease lease;
  uint64_t renewed_ms;
};

struct world
{
  enum planted planted;
  uint64_t random;
  uint64_t now_ms;
  struct host hosts[HOSTS];
  bool cut[HOSTS][HOSTS];
  int holder;              /* whose the lease is in the table */
  uint64_t holder_run;     /* which run of it */
  uint64_t lease_until_ms; /* true time */
  struct letter letters[LETTERS];
  struct mq_quota_limit limit;
  bool limit_moves;
  struct mq_quota_limit highest;
  uint64_t used[USES];
  size_t uses;
  bool broken;
};

static uint32_t
draw (struct world *world, uint32_t below)
{
  return mq_random_below (&world->random, below);
}

/* What the clock of HOST shows.  */
static uint64_t
clock_of (const struct world *world, const struct host *host)
{
  int64_t drift = (int64_t)world->now_ms * host->skew / 1000;

  return (uint64_t)((int64_t)(world->now_ms + host->offset_ms) + drift);
}

/* A permit was used now: no span that ends here may hold more than one bucket
   gives, those ahead, those of answers on their way, and the rounding.  */
static void
note_use (struct world *world)
{
  const struct mq_quota_limit *most = &world->highest;
  size_t kept = world->uses < USES ? world->uses : USES - 1;

  world->used[world->uses++ % USES] = world->now_ms;
  for (size_t i = 0; i < kept; i++)
    {
      size_t index = (world->uses - 2 - i) % USES;
      uint64_t span = world->now_ms - world->used[index];
      uint64_t allowed
          = most->burst
            + most->rate * (span + MQ_QUOTA_REPLY_TIMEOUT_MS) / 1000
            + (uint64_t)(AHEAD + 1) * 1000;

      if (span > SPAN_MS)
        return;
      /* Clocks may run faster by some thousandths.  */
      allowed += most->rate * span / 1000 / 100;
      if ((i + 2) * 1000 > allowed)
        world->broken = true;
    }
}

static void
post (struct world *world, const struct letter *letter)
{
  if (world->cut[letter->from][letter->to] || draw (world, 40) == 0)
    return;
  for (int i = 0; i < LETTERS; i++)
    if (!world->letters[i].used)
      {
        struct letter *to = &world->letters[i];

        *to = *letter;
        to->used = true;
        to->arrives_ms = world->now_ms + draw (world, 4);
        if (draw (world, 20) == 0)
          to->arrives_ms += draw (world, 1500);
        if (to->arrives_ms < world->hosts[letter->to].held_ms)
          to->arrives_ms = world->hosts[letter->to].held_ms;
        return;
      }
}

/* Issuing */

static bool
may_issue (const struct world *world, const struct host *host)
{
  uint64_t now = clock_of (world, host);

  if (host->lease.until_ms == 0)
    return false;
  return now < host->lease.until_ms
         || world->planted == PLANTED_LEASE_UNCHECKED;
}

/* Other hosts that may live on what an earlier run of AT lent.  */
static uint64_t
count_unheard (const struct world *world, int at)
{
  uint64_t unheard = 0;

  if (world->planted == PLANTED_RECALL_UNHEEDED)
    return 0;
  for (int i = 0; i < HOSTS; i++)
    if (i != at && !world->hosts[at].surrendered[i])
      unheard++;
  return unheard;
}

static void
recall (struct world *world, int at)
{
  struct letter letter = { .recall = true, .from = at };

  letter.server = world->hosts[at].run;
  for (letter.to = 0; letter.to < HOSTS; letter.to++)
    if (letter.to != at && !world->hosts[at].surrendered[letter.to])
      post (world, &letter);
}

static void
answer (struct world *world, int at, const struct letter *ask)
{
  struct host *host = &world->hosts[at];
  uint64_t now = clock_of (world, host);
  struct letter told = { .told = true, .from = at, .to = ask->from };
  struct mq_quota_bounds bounds = { world->limit, AHEAD, !host->leaving };
  struct mq_quota_request want = ask->want;

  told.asked_ms = ask->asked_ms;
  told.host = ask->host;
  told.server = host->run;
  told.told_ms = now;
  told.gift.unknown = true;
  want.heard_ms = ask->server == host->run ? ask->heard_ms : 0;
  if (world->planted == PLANTED_UNACKNOWLEDGED)
    want.heard_ms = now;
  if (ask->recalled && ask->server == host->run)
    host->surrendered[ask->from] = true;
  host->lease.unconfirmed_hosts = count_unheard (world, at);
  mq_quota_record_ack (host->issuer, ask->host, want.heard_ms, now);
  if (may_issue (world, host))
    told.gift = mq_quota_issue (host->issuer, ask->host, &want, &bounds,
                                &host->lease, now);
  post (world, &told);
}

static void
take_lease (struct world *world, int at)
{
  struct host *host = &world->hosts[at];
  uint64_t now = clock_of (world, host);
  bool same = world->holder == at && world->holder_run == host->run;
  uint64_t left = world->lease_until_ms > world->now_ms
                      ? world->lease_until_ms + MARGIN_MS - world->now_ms
                      : 0;

  if (!same || host->lease.until_ms < now)
    {
      host->lease.since_ms = now;
      host->lease.inherited_ms = 0;
      if (world->holder == at && !same
          && world->planted != PLANTED_FORGETFUL_ISSUER)
        host->lease.inherited_ms = left == 0 ? 0 : now + left;
      if (world->planted == PLANTED_FULL_BUCKET)
        host->lease.since_ms = now > 5000 ? now - 5000 : 0;
    }
  /* The host's clock may run slower than the table's.  */
  host->lease.until_ms = now + LEASE_MS - LEASE_MS / 50;
  host->renewed_ms = now;
  world->holder = at;
  world->holder_run = host->run;
  world->lease_until_ms = world->now_ms + LEASE_MS;
}

/* A host that leaves gives its lease back once nobody lives on what it lent;
   it comes back as another run later.  */
static void
give_back (struct world *world, struct host *host)
{
  if (world->planted != PLANTED_GIVEN_BACK_EARLY
      && mq_quota_issuer_has_lent (host->issuer, 0, clock_of (world, host)))
    return;
  memset (&host->lease, 0, sizeof host->lease);
  world->holder = -1;
  world->lease_until_ms = 0;
  host->leaving = false;
  host->no_table_ms = world->now_ms + 2000;
}

static void
step_lease (struct world *world, int at)
{
  struct host *host = &world->hosts[at];
  uint64_t now = clock_of (world, host);
  uint64_t free_at = world->lease_until_ms + MARGIN_MS;

  if (world->now_ms < host->no_table_ms)
    return;
  if (host->leaving && world->holder == at && world->holder_run == host->run)
    {
      give_back (world, host);
      return;
    }

  if (world->planted == PLANTED_EARLY_TAKEOVER)
    free_at = world->lease_until_ms - LEASE_MS / 2;
  if (world->holder == at && world->holder_run == host->run)
    {
      if (now - host->renewed_ms >= RENEW_MS && draw (world, 10) != 0)
        take_lease (world, at);
    }
  else if (world->holder == at || world->holder < 0 || world->now_ms > free_at)
    take_lease (world, at);
}

/* Using */

static void
want_permits (struct world *world, struct host *host)
{
  uint64_t now = clock_of (world, host);
  const struct mq_quota_contact *contact = &host->contacts[host->believed];
  static const struct mq_quota_contact none = { 0 };

  if (world->planted == PLANTED_ENDLESS_STANDING)
    host->share.standing_until_ms = UINT64_MAX / 2;
  for (uint32_t i = draw (world, 3); i > 0; i--)
    switch (mq_quota_try_acquire (&host->share, contact, draw (world, 4) == 0,
                                  now))
      {
      case MQ_QUOTA_GRANTED:
        note_use (world);
        break;
      case MQ_QUOTA_ASK_ISSUER:
        host->waiting++;
        if (world->planted == PLANTED_NOT_ALONE
            && mq_quota_try_acquire (&host->share, &none, false, now)
                   == MQ_QUOTA_GRANTED)
          note_use (world);
        break;
      case MQ_QUOTA_EXCEEDED:
      case MQ_QUOTA_NO_ISSUER:
        break;
      }
}

static void
ask (struct world *world, int at)
{
  struct host *host = &world->hosts[at];
  uint64_t now = clock_of (world, host);
  struct mq_quota_contact *contact = &host->contacts[host->believed];
  struct letter letter = { .from = at, .to = host->believed };

  if (host->waiting == 0 && now - host->asked_ms < MQ_QUOTA_POLL_INTERVAL_MS)
    return;
  host->asked_ms = now;
  letter.asked_ms = now;
  letter.host = host->run;
  letter.heard_ms = contact->told_ms;
  letter.server = contact->server;
  letter.want
      = mq_quota_request (&host->share, contact, "o", host->waiting, 0, now);
  host->waiting = 0;
  if (world->planted == PLANTED_FALSE_SURRENDER)
    letter.want.surrendered = world->limit.rate;
  post (world, &letter);
}

static void
take_told (struct world *world, int at, const struct letter *told)
{
  struct host *host = &world->hosts[at];
  uint64_t now = clock_of (world, host);
  uint64_t asked = told->asked_ms;
  struct mq_quota_share before;

  if (told->host != host->run)
    return;
  if (world->planted == PLANTED_LATE_ANSWERS)
    asked = now;
  if (!mq_quota_record_reply (&host->contacts[told->from], told->server, asked,
                              told->told_ms, now)
      || told->gift.unknown)
    return;
  host->lender = told->from;
  before = host->share;
  mq_quota_apply_grant (&host->share, &told->gift, told->server, asked, now);
  if (world->planted == PLANTED_NOT_ALONE)
    {
      host->share.on_standing_rate = before.on_standing_rate;
      host->share.level = before.level;
      host->share.level_ms = before.level_ms;
    }
  for (uint32_t i = 0; i < told->gift.need; i++)
    note_use (world);
}

/* The issuer FROM has begun again.  */
static void
take_recall (struct world *world, int at, const struct letter *letter)
{
  static const struct mq_quota_contact none = { 0 };
  struct host *host = &world->hosts[at];
  uint64_t now = clock_of (world, host);
  struct letter reply = { .from = at, .to = letter->from, .recalled = true };

  if (host->lender == letter->from)
    mq_quota_surrender (&host->share, letter->server, now);
  reply.asked_ms = now;
  reply.host = host->run;
  reply.server = letter->server;
  reply.want = mq_quota_request (&host->share, &none, "o", 0, 0, now);
  post (world, &reply);
}

/* The world */

static void
start_host (struct world *world, int at)
{
  struct host *host = &world->hosts[at];
  uint64_t now;

  talloc_free (host->issuer);
  memset (&host->share, 0, sizeof host->share);
  memset (host->contacts, 0, sizeof host->contacts);
  memset (&host->lease, 0, sizeof host->lease);
  host->issuer = mq_quota_issuer_create (NULL);
  host->run = mq_random_next (&world->random);
  host->waiting = 0;
  host->leaving = false;
  host->lender = -1;
  memset (host->surrendered, 0, sizeof host->surrendered);
  now = clock_of (world, host);
  for (int i = 0; i < ISSUERS; i++)
    host->contacts[i].answered_ms = now;
}

static void
deliver (struct world *world)
{
  for (int i = 0; i < LETTERS; i++)
    {
      struct letter letter = world->letters[i];

      if (!letter.used || letter.arrives_ms > world->now_ms
          || world->hosts[letter.to].wakes_ms > world->now_ms)
        continue;
      world->letters[i].used = false;
      if (letter.recall)
        take_recall (world, letter.to, &letter);
      else if (letter.told)
        take_told (world, letter.to, &letter);
      else
        answer (world, letter.to, &letter);
    }
}

static void
disturb (struct world *world)
{
  int a = (int)draw (world, HOSTS);
  int b = (int)draw (world, HOSTS);

  switch (draw (world, 300))
    {
    case 0:
    case 1:
      world->cut[a][b] = true;
      break;
    case 2:
      world->cut[a][b] = world->cut[b][a] = true;
      break;
    case 3:
      if (draw (world, 4) == 0)
        memset (world->cut, 0, sizeof world->cut);
      break;
    case 4:
      start_host (world, a);
      break;
    case 5:
      world->hosts[a].wakes_ms = world->now_ms + draw (world, 3000);
      break;
    case 6:
      if (world->limit_moves)
        world->limit = limits[draw (world, 3)];
      break;
    case 7:
      for (int i = 0; i < HOSTS; i++)
        if (world->holder >= 0 && i != world->holder)
          world->cut[world->holder][i] = world->cut[i][world->holder] = true;
      break;
    case 8:
      world->hosts[a].leaving = a < ISSUERS;
      break;
    case 9:
      world->hosts[a].held_ms = world->now_ms + draw (world, 2000);
      break;
    case 10:
      world->hosts[a].no_table_ms = world->now_ms + draw (world, 40000);
      break;
    case 11:
      for (int i = 0; i < HOSTS; i++)
        if (world->holder >= 0 && i != world->holder)
          world->cut[world->holder][i] = true;
      break;
    default:
      break;
    }
}

static void
step (struct world *world)
{
  world->now_ms += STEP_MS;
  disturb (world);
  deliver (world);
  for (int i = 0; i < HOSTS; i++)
    {
      struct host *host = &world->hosts[i];

      if (host->wakes_ms > world->now_ms)
        continue;
      if (i < ISSUERS)
        step_lease (world, i);
      if (host->lease.inherited_ms > clock_of (world, host)
          && draw (world, 10) == 0)
        recall (world, i);
      if (draw (world, 500) == 0 && world->holder >= 0)
        host->believed = world->holder;
      want_permits (world, host);
      ask (world, i);
    }
}

/* The highest limit that was in force so far bounds all spans.  */
static void
note_limit (struct world *world)
{
  if (world->limit.rate > world->highest.rate)
    world->highest.rate = world->limit.rate;
  if (world->limit.burst > world->highest.burst)
    world->highest.burst = world->limit.burst;
}

static bool
walk (uint64_t seed, enum planted planted, size_t *uses)
{
  struct world *world = talloc_zero (NULL, struct world);
  bool broken;

  world->planted = planted;
  world->random = seed;
  world->now_ms = 100000;
  world->limit = limits[seed % 3];
  world->limit_moves = seed % 4 == 0;
  world->holder = -1;
  for (int i = 0; i < HOSTS; i++)
    {
      world->hosts[i].offset_ms = draw (world, 100000);
      world->hosts[i].skew = (int)draw (world, 11) - 5;
      start_host (world, i);
    }
  take_lease (world, 0);
  for (int i = 0; i < STEPS && !world->broken; i++)
    {
      note_limit (world);
      step (world);
    }
  broken = world->broken;
  *uses += world->uses;
  for (int i = 0; i < HOSTS; i++)
    talloc_free (world->hosts[i].issuer);
  talloc_free (world);
  return broken;
}

Test (quota_model, never_more_than_one_bucket)
{
  size_t uses = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    cr_assert_not (walk (seed, PLANTED_NONE, &uses), "seed %lu",
                   (unsigned long)seed);
  /* Half of the lowest limit at least is used, whatever happens.  */
  cr_expect_gt (uses, (size_t)SEEDS * STEPS * STEP_MS / 1000 * 4);
}

Test (quota_model, planted_errors_are_caught)
{
  for (int planted = 1; planted < PLANTED_COUNT; planted++)
    {
      uint64_t seed = 1;
      size_t uses = 0;

      while (seed <= PLANTED_SEEDS
             && !walk (seed, (enum planted)planted, &uses))
        seed++;
      cr_expect_leq (seed, PLANTED_SEEDS, "%s was not caught",
                     planted_names[planted]);
    }
}
