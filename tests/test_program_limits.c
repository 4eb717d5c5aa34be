/* test_program_limits.c - replay of an organisation's crowd against its limit.

   31 hosts and one issuer, without a network: programs of several
   organisations reach hosts by chance, and each request takes a permit as
   router_permit.c has it.  One organisation sends eight times its usual.
   Needs: Criterion, quota.h, program_need.h, id.h.  */

#include "core/id.h"
#include "core/organisation/program_need.h"
#include "core/organisation/quota.h"
#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  HOSTS = 31,
  ORGS = 8,
  CROWD = 0, /* organisation that sends a crowd */
  STEP_MS = 10,
  START_MS = 100000,
  LENGTH_MS = 24000,
  CROWD_FROM_MS = 4000,
  CROWD_UNTIL_MS = 16000,
  CROWD_FACTOR = 8,
  PROGRAMS_PER_S = 4, /* of an organisation, usually */
  FURTHER = 10,       /* mean */
  LIFE_MS = 4000,
  STAYS_PERCENT = 80, /* requests at the host of the first one */
  WAIT_MS = 600,
  RETURNS = 2,
  PROGRAMS = 16384,
  LEASE_MS = 1000000,
  AS_BEFORE = 1000,
  AHEAD = 20,
  SEEDS = 3
};

/* 1.6 times the usual.  */
#define RATE ((uint64_t)PROGRAMS_PER_S * (FURTHER + 1) * 1600U)
#define BURST RATE

enum variant
{
  ALL_WELL,
  NEVER_USED,   /* each of the crowd's programs makes one request alone */
  HALF_TELL,    /* every second host is of a release that does not tell */
  ISSUER_NEW,   /* the issuer is replaced by an empty one in the crowd */
  FRAMES_WRONG, /* every third question is lost, every fifth is seen twice */
  VARIANTS
};

enum state
{
  WAITS,
  ENDED,
  REFUSED_FIRST,
  REFUSED_BEGUN
};

/**
 * struct program - a program
 * @at_ms: time of its next request
 * @left: requests left, the next one included
 * @since_ms: time from which on the next one waits
 * @returns: times that its first request was refused
 */
struct program
{
  int org;
  int host;
  int home;
  enum state state;
  bool begun;
  bool asked;
  uint64_t at_ms;
  uint64_t since_ms;
  uint32_t left;
  uint32_t returns;
  struct mq_program_need need;
};

struct count
{
  uint32_t asked;
  uint32_t ended;
  uint32_t refused_first;
  uint32_t refused_begun;
  uint32_t permits;
  uint32_t late; /* requests that waited */
};

struct world
{
  enum variant variant;
  bool by_program;
  uint64_t random;
  uint64_t now_ms;
  struct mq_quota_issuer *issuer;
  uint64_t server;
  struct mq_quota_lease lease;
  struct mq_quota_contact contacts[HOSTS];
  struct mq_quota_share shares[HOSTS][ORGS];
  uint64_t asked_ms[HOSTS][ORGS];
  struct mq_program_needs *needs[HOSTS];
  struct program programs[PROGRAMS];
  size_t program_count;
  size_t first; /* older ones are done */
  uint32_t questions;
  struct count counts[ORGS];
};

static uint32_t
draw (struct world *world, uint32_t below)
{
  return mq_random_below (&world->random, below);
}

/* Whether HOST tells what programs need, and has begun programs wait.  */
static bool
tells (const struct world *world, int host)
{
  if (!world->by_program)
    return false;
  return world->variant != HALF_TELL || host % 2 == 0;
}

/* 1 to twice the mean.  */
static uint32_t
draw_further (struct world *world)
{
  return 1 + draw (world, 2 * FURTHER - 1);
}

static void
start_program (struct world *world, int org)
{
  struct program *program = &world->programs[world->program_count++];

  cr_assert_leq (world->program_count, PROGRAMS);
  *program = (struct program){ .org = org,
                               .home = (int)draw (world, HOSTS),
                               .at_ms = world->now_ms,
                               .since_ms = world->now_ms,
                               .left = 1 + draw_further (world) };
  program->host = program->home;
  world->counts[org].asked++;
}

static void
start_programs (struct world *world)
{
  uint64_t at = world->now_ms - START_MS;

  for (int org = 0; org < ORGS; org++)
    {
      uint32_t per_s = PROGRAMS_PER_S;

      if (org == CROWD && at >= CROWD_FROM_MS && at < CROWD_UNTIL_MS)
        per_s *= CROWD_FACTOR;
      if (draw (world, 1000) < per_s * STEP_MS)
        start_program (world, org);
    }
}

static void
sent (struct world *world, struct program *program)
{
  uint64_t id = (uint64_t)(program - world->programs) + 1;
  uint32_t life = LIFE_MS / (FURTHER + 1) * 2;

  mq_program_needs_record (world->needs[program->host], "route",
                           mq_hash_bytes (&id, sizeof id, 1), !program->begun,
                           world->now_ms);
  world->counts[program->org].permits++;
  program->begun = true;
  program->left--;
  if (world->variant == NEVER_USED && program->org == CROWD)
    program->left = 0;
  if (program->left == 0)
    {
      program->state = ENDED;
      world->counts[program->org].ended++;
      return;
    }
  program->at_ms = world->now_ms + draw (world, life);
  program->since_ms = program->at_ms;
  program->asked = false;
  program->host = draw (world, 100) < STAYS_PERCENT ? program->home
                                                    : (int)draw (world, HOSTS);
}

static void
refused (struct world *world, struct program *program)
{
  struct mq_quota_share *share = &world->shares[program->host][program->org];
  struct count *count = &world->counts[program->org];

  program->asked = false;
  if (program->begun)
    {
      if (tells (world, program->host)
          && world->now_ms < program->since_ms + WAIT_MS)
        {
          count->late++;
          program->at_ms = world->now_ms + 50;
          return;
        }
      program->state = REFUSED_BEGUN;
      count->refused_begun++;
      return;
    }
  if (program->returns++ == RETURNS)
    {
      program->state = REFUSED_FIRST;
      count->refused_first++;
      return;
    }
  program->at_ms
      = world->now_ms + mq_quota_retry_after_ms (share, true, world->now_ms);
  program->since_ms = program->at_ms;
  program->home = (int)draw (world, HOSTS);
  program->host = program->home;
}

/* Has a due request take a permit that its host has, or wait for one.  */
static void
try_program (struct world *world, struct program *program)
{
  int host = program->host;
  struct mq_quota_share *share = &world->shares[host][program->org];

  if (!program->begun && tells (world, host))
    program->need
        = mq_program_needs_of (world->needs[host], "route", world->now_ms);
  switch (mq_quota_try_acquire (share, &world->contacts[host], !program->begun,
                                world->now_ms))
    {
    case MQ_QUOTA_GRANTED:
      if (tells (world, host))
        mq_quota_record_program (share, !program->begun, &program->need,
                                 world->now_ms);
      sent (world, program);
      return;
    case MQ_QUOTA_ASK_ISSUER:
      program->asked = true;
      return;
    case MQ_QUOTA_EXCEEDED:
    case MQ_QUOTA_NO_ISSUER:
      refused (world, program);
      return;
    }
}

static bool
is_live (const struct world *world, const struct program *program)
{
  return program->state == WAITS && program->at_ms <= world->now_ms;
}

static void
count_waiting (const struct world *world, int host, int org,
               struct mq_quota_waiting *waiting)
{
  *waiting = (struct mq_quota_waiting){ 0 };
  for (size_t i = world->first; i < world->program_count; i++)
    {
      const struct program *program = &world->programs[i];

      if (!program->asked || program->host != host || program->org != org)
        continue;
      if (program->begun)
        waiting->need++;
      else
        waiting->begins++;
      if (!program->begun)
        mq_quota_add_program (&waiting->programs, &program->need);
    }
}

static struct mq_quota_grant
issue (struct world *world, int host, const struct mq_quota_request *want)
{
  struct mq_quota_bounds bounds = { { RATE, BURST }, AHEAD, true };

  mq_quota_record_ack (world->issuer, (uint64_t)host + 1, want->heard_ms,
                       world->now_ms);
  return mq_quota_issue (world->issuer, (uint64_t)host + 1, want, &bounds,
                         &world->lease, world->now_ms);
}

static void
apply (struct world *world, int host, int org,
       const struct mq_quota_grant *grant)
{
  uint32_t need = grant->need;
  uint32_t begins = grant->begins;

  (void)mq_quota_record_reply (&world->contacts[host], world->server,
                               world->now_ms, world->now_ms, world->now_ms);
  mq_quota_apply_grant (&world->shares[host][org], grant, world->server,
                        world->now_ms, world->now_ms);
  for (size_t i = world->first; i < world->program_count; i++)
    {
      struct program *program = &world->programs[i];
      uint32_t *from = program->begun ? &need : &begins;

      if (!program->asked || program->host != host || program->org != org)
        continue;
      program->asked = false;
      if (*from == 0)
        {
          refused (world, program);
          continue;
        }
      (*from)--;
      sent (world, program);
    }
}

static void
ask_issuer (struct world *world, int host, int org)
{
  struct mq_quota_waiting waiting;
  struct mq_quota_request want;
  struct mq_quota_grant grant;
  char name[16];

  count_waiting (world, host, org, &waiting);
  if (waiting.need + waiting.begins == 0
      && world->now_ms - world->asked_ms[host][org] < 1000)
    return;
  snprintf (name, sizeof name, "org-%d", org);
  world->asked_ms[host][org] = world->now_ms;
  mq_quota_record_request (&world->contacts[host], world->now_ms);
  want = mq_quota_request (&world->shares[host][org], &world->contacts[host],
                           name, &waiting, world->now_ms);
  world->questions++;
  if (world->variant == FRAMES_WRONG && world->questions % 3 == 0)
    return;
  if (world->variant == FRAMES_WRONG && world->questions % 5 == 0)
    (void)issue (world, host, &want);
  grant = issue (world, host, &want);
  apply (world, host, org, &grant);
}

static void
replace_issuer (struct world *world)
{
  talloc_free (world->issuer);
  world->issuer = mq_quota_issuer_create (NULL);
  world->server++;
  world->lease.since_ms = world->now_ms;
}

static void
step (struct world *world)
{
  start_programs (world);
  if (world->variant == ISSUER_NEW
      && world->now_ms == START_MS + CROWD_FROM_MS + 4000)
    replace_issuer (world);
  while (world->first < world->program_count
         && world->programs[world->first].state != WAITS)
    world->first++;
  for (size_t i = world->first; i < world->program_count; i++)
    if (is_live (world, &world->programs[i]) && !world->programs[i].asked)
      try_program (world, &world->programs[i]);
  for (int host = 0; host < HOSTS; host++)
    for (int org = 0; org < ORGS; org++)
      ask_issuer (world, host, org);
  world->now_ms += STEP_MS;
}

/* Adds the counts of a run to those of the crowd's organisation and of all
   others.  */
static void
add_counts (const struct world *world, struct count *crowd,
            struct count *others)
{
  for (int org = 0; org < ORGS; org++)
    {
      struct count *to = org == CROWD ? crowd : others;
      const struct count *from = &world->counts[org];

      to->asked += from->asked;
      to->ended += from->ended;
      to->refused_first += from->refused_first;
      to->refused_begun += from->refused_begun;
      to->permits += from->permits;
      to->late += from->late;
    }
}

static void
replay (enum variant variant, bool by_program, uint64_t seed,
        struct count *crowd, struct count *others)
{
  struct world *world = talloc_zero (NULL, struct world);

  world->variant = variant;
  world->by_program = by_program;
  world->random = seed;
  world->now_ms = START_MS;
  world->server = 1;
  world->issuer = mq_quota_issuer_create (NULL);
  world->lease = (struct mq_quota_lease){ .since_ms = START_MS - 2000,
                                          .until_ms = START_MS + LEASE_MS };
  for (int host = 0; host < HOSTS; host++)
    world->needs[host] = mq_program_needs_create (world);
  while (world->now_ms < START_MS + LENGTH_MS)
    step (world);
  add_counts (world, crowd, others);
  talloc_free (world->issuer);
  talloc_free (world);
}

static void
replay_seeds (enum variant variant, bool by_program, struct count *crowd,
              struct count *others)
{
  *crowd = *others = (struct count){ 0 };
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    replay (variant, by_program, seed, crowd, others);
  printf ("%d %s: crowd asked %u ended %u refused %u begun %u permits %u; "
          "others asked %u refused %u begun %u\n",
          (int)variant, by_program ? "by program" : "by request", crowd->asked,
          crowd->ended, crowd->refused_first, crowd->refused_begun,
          crowd->permits, others->asked, others->refused_first,
          others->refused_begun);
}

/* Part of the programs that began and were refused later, in thousandths.  */
static uint32_t
refused_begun_permille (const struct count *count)
{
  uint32_t begun = count->ended + count->refused_begun;

  return begun == 0 ? 0 : count->refused_begun * 1000 / begun;
}

/* Of 1000 programs that began, fewer than BEGUN_MAX, or AS_BEFORE than without
   set-aside, are refused later;
   PERMITS_MIN percent of the permits that are used without set-aside are used;
   of the other organisations' programs at most 1 % more are refused.  */
static void
expect_limits (enum variant variant, uint32_t begun_max, uint32_t permits_min)
{
  struct count before;
  struct count crowd;
  struct count others_before;
  struct count others;

  replay_seeds (variant, false, &before, &others_before);
  replay_seeds (variant, true, &crowd, &others);
  if (begun_max == AS_BEFORE)
    begun_max = refused_begun_permille (&before);
  cr_expect_lt (refused_begun_permille (&crowd), begun_max,
                "%u of 1000 begun programs were refused",
                refused_begun_permille (&crowd));
  cr_expect_geq (crowd.permits * 100, before.permits * permits_min,
                 "%u permits were used, %u before", crowd.permits,
                 before.permits);
  cr_expect_leq (others.refused_first,
                 others_before.refused_first + others.asked / 100);
  cr_expect_eq (others.refused_begun, 0);
}

/* Failure: programs are refused after turns of theirs have run.  */
Test (program_limits, begun_programs_are_not_refused)
{
  expect_limits (ALL_WELL, 20, 90);
}

/* The load is one under which limits by request refuse begun programs.  */
Test (program_limits, load_exceeds_limits_by_request)
{
  struct count crowd;
  struct count others;

  replay_seeds (ALL_WELL, false, &crowd, &others);
  cr_expect_geq (refused_begun_permille (&crowd), 40);
}

/* Failure: permits are set aside for programs that never use them, and their
   organisation is refused below its limit.  */
Test (program_limits, unused_permits_are_given_up)
{
  expect_limits (NEVER_USED, 20, 90);
}

/* Failure: beside hosts of another release, nobody knows what programs need.
   Programs at such hosts are served as before.  */
Test (program_limits, hosts_that_do_not_tell)
{
  expect_limits (HALF_TELL, AS_BEFORE, 90);
}

/* Failure: a new issuer knows nothing of programs that have begun, and lets
   others begin with the permits that those need.  */
Test (program_limits, new_issuer) { expect_limits (ISSUER_NEW, 20, 90); }

/* Failure: lost questions leave permits set aside, repeated ones set them
   aside twice.  */
Test (program_limits, frames_lost_or_repeated)
{
  expect_limits (FRAMES_WRONG, 20, 90);
}
