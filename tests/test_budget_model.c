/* test_budget_model.c - model check of what a program's hosts may hand out.

   Three hosts, one program, one table.  Turns begin and end at any host; the
   table goes away and comes back; writes get no answer and are done late or
   never; hosts lend, return and issue tokens, and each message between them
   may be lost; hosts lose all they know.  Budgets and leases are those of the
   router (budget.h, reserve.h).  Each walk is a random one from a seed; the
   bound is checked after each step.  Planted errors show that the walks go
   where a fault would be seen.
   Needs: Criterion, budget.h, reserve.h, id.h.  */

#include "core/router/budget.h"
#include "core/id.h"
#include "core/router/reserve.h"
#include <criterion/criterion.h>
#include <stdio.h>

enum
{
  HOSTS = 3,
  MOST = 8,
  TURNS = 4,
  LETTERS = 8,
  STEPS = 500,
  SEEDS = 20000,
  SLOT = 5
};

/* Errors that are planted, one at a time.  */
enum planted
{
  PLANTED_NONE,
  PLANTED_LENDS_AND_KEEPS, /* a lender goes on using what it lent */
  PLANTED_RETURNS_TWICE,   /* unused tokens are returned and kept */
  PLANTED_NO_LEASE,        /* any host issues tokens */
  PLANTED_LEASE_UNCHECKED, /* a holder doesn't look whether it has run out */
  PLANTED_LEASE_AT_ANSWER, /* it counts from the answer, not from the call */
  PLANTED_NOT_CUT_OFF,     /* a turn goes on beyond what it was granted */
  PLANTED_OVER_UNHEEDED,   /* tokens are issued beside a record over it */
  PLANTED_GRANT_FORGOTTEN, /* a grant is used by a host that lost it */
  PLANTED_COUNT
};

static const char *const planted_names[PLANTED_COUNT] = {
  "none",        "lends and keeps", "returns and keeps",
  "no lease",    "lease unchecked", "lease counted from the answer",
  "not cut off", "over unheeded",   "grant forgotten",
};

enum letter_kind
{
  LETTER_NONE,
  LETTER_LOAN,
  LETTER_BACK
};

/* Tokens on their way between two hosts.  */
struct letter
{
  enum letter_kind kind;
  uint32_t to;
  uint64_t tokens;
};

struct host
{
  struct mq_budget budget;
  struct mq_reserve *reserve;
  uint64_t holder;
  uint64_t granted[TURNS]; /* of the turns that run */
  uint32_t running;
  uint32_t lender;
  bool has_issued;
};

struct world
{
  enum planted planted;
  struct mq_budget_record record;
  uint64_t version;
  struct mq_reserve_lease lease;
  uint64_t lease_version;
  struct mq_budget_record late; /* a write that was given up */
  uint64_t late_expects;
  bool has_late;
  bool away;
  uint64_t now_ms; /* both clocks; they run alike */
  uint64_t limit;
  uint64_t handed;
  uint64_t state;
  struct host hosts[HOSTS];
  struct letter letters[LETTERS];
  uint32_t issuers_lost;
};

static uint32_t
below (struct world *world, uint32_t bound)
{
  return mq_random_below (&world->state, bound);
}

static void
start_host (struct world *world, struct host *host)
{
  talloc_free (host->reserve);
  *host = (struct host){ .holder = mq_random_next (&world->state) };
  host->reserve = mq_reserve_create (NULL, host->holder, "");
}

/* The write of RECORD by HOST, on the condition of its version.  */
static void
write_record (struct world *world, struct host *host,
              const struct mq_budget_record *next)
{
  struct mq_budget *budget = &host->budget;
  uint32_t luck = below (world, 8);

  if (budget->version != world->version)
    {
      mq_budget_record_read (budget, host->holder, &world->record,
                             world->version);
      return;
    }
  if (luck == 0)
    {
      /* Given up: done later if its condition still holds.  */
      world->late = *next;
      world->late_expects = world->version;
      world->has_late = true;
      return;
    }
  world->record = *next;
  world->version++;
  if (luck == 1)
    {
      mq_budget_record_read (budget, host->holder, &world->record,
                             world->version);
      return;
    }
  mq_budget_record_written (budget, host->holder, next, world->version);
}

static void
begin (struct world *world, struct host *host, uint64_t granted)
{
  (void)world;
  host->granted[host->running++] = granted;
}

static void
ask_table (struct world *world, struct host *host)
{
  struct mq_budget_record next;

  for (int i = 0; i < 6 && host->running < TURNS; i++)
    switch (mq_budget_reserve (&host->budget, host->holder, world->limit, MOST,
                               &next))
      {
      case MQ_BUDGET_RESERVED:
        begin (world, host, MOST);
        return;
      case MQ_BUDGET_WRITE:
        write_record (world, host, &next);
        break;
      case MQ_BUDGET_READ:
      case MQ_BUDGET_UNCERTAIN:
        mq_budget_record_read (&host->budget, host->holder, &world->record,
                               world->version);
        if (i > 2)
          return;
        break;
      case MQ_BUDGET_EXHAUSTED:
        return;
      }
}

static void
send (struct world *world, enum letter_kind kind, uint32_t to, uint64_t tokens)
{
  if (tokens == 0)
    return;
  for (uint32_t i = 0; i < LETTERS; i++)
    if (world->letters[i].kind == LETTER_NONE)
      {
        world->letters[i] = (struct letter){ kind, to, tokens };
        return;
      }
}

static void
deliver (struct world *world)
{
  struct letter *letter = &world->letters[below (world, LETTERS)];
  struct host *to = &world->hosts[letter->to];

  /* One in four is lost.  */
  if (letter->kind == LETTER_LOAN && below (world, 4) > 0)
    mq_budget_receive_loan (&to->budget, letter->tokens);
  else if (letter->kind == LETTER_BACK && below (world, 4) > 0)
    mq_budget_reclaim_loan (&to->budget, letter->tokens);
  letter->kind = LETTER_NONE;
}

static bool
may_issue (const struct world *world, const struct host *host)
{
  if (world->planted == PLANTED_NO_LEASE)
    return true;
  if (world->planted == PLANTED_LEASE_UNCHECKED)
    return mq_reserve_can_issue (host->reserve, SLOT, 0);
  return mq_reserve_can_issue (host->reserve, SLOT, world->now_ms);
}

/* Some host knows that issued tokens were recorded beyond the limit, or has
   issued some under a lease that it holds no more; whoever needs tokens asks
   all of them before any are issued.  */
static bool
is_over (const struct world *world)
{
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      const struct host *host = &world->hosts[i];

      if (mq_budget_is_overdrawn (&host->budget, world->limit)
          || (host->budget.issued > 0 && !may_issue (world, host)))
        return world->planted != PLANTED_OVER_UNHEEDED;
    }
  return false;
}

static void
lend (struct world *world, uint32_t from, uint32_t to)
{
  struct host *lender = &world->hosts[from];
  uint64_t given;

  if (may_issue (world, lender) && !is_over (world) && below (world, 2) == 0)
    {
      mq_budget_issue_unrecorded (&lender->budget, world->limit, MOST);
      lender->has_issued = true;
    }
  given = mq_budget_lend (&lender->budget, MOST);
  send (world, LETTER_LOAN, to, given);
  world->hosts[to].lender = from;
  if (world->planted == PLANTED_LENDS_AND_KEEPS)
    mq_budget_receive_loan (&lender->budget, given);
}

static void
give_back (struct world *world, struct host *host)
{
  uint64_t tokens = mq_budget_return_loan (&host->budget);

  send (world, LETTER_BACK, host->lender, tokens);
  if (world->planted == PLANTED_RETURNS_TWICE)
    mq_budget_receive_loan (&host->budget, tokens);
}

static void
end_turn (struct world *world, struct host *host)
{
  uint64_t granted;
  uint64_t used;

  if (host->running == 0)
    return;
  granted = host->granted[--host->running];
  used = below (world, MOST + 1);
  if (used > granted && world->planted != PLANTED_NOT_CUT_OFF)
    used = granted;
  world->handed += used;
  mq_budget_settle (&host->budget, granted, used);
  if (host->running == 0 && below (world, 2) == 0)
    give_back (world, host);
}

/* All that HOST knows is lost; its callers got all their words.  */
static void
lose_host (struct world *world, struct host *host)
{
  uint64_t holder = host->holder;

  if (host->has_issued)
    world->issuers_lost++;
  while (host->running > 0)
    world->handed += host->granted[--host->running];
  start_host (world, host);
  if (world->planted == PLANTED_GRANT_FORGOTTEN)
    host->holder = holder;
}

/* HOST looks at the lease's row and takes or renews it; the answer may take
   its time, or be lost.  */
static void
claim (struct world *world, struct host *host)
{
  struct mq_reserve_clock_sample moment = { world->now_ms, 0 };
  uint32_t slots[MQ_RESERVE_SLOTS];
  uint64_t took = below (world, 3) == 0 ? below (world, 8000) : 5;
  bool mine = world->lease.holder == host->holder;

  world->now_ms += took;
  moment.table_ms = world->now_ms;
  if (world->planted == PLANTED_LEASE_AT_ANSWER)
    {
      world->now_ms += took;
      moment.asked_ms = world->now_ms;
    }
  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    mq_reserve_record_row (host->reserve, i,
                           (struct mq_reserve_lease){ 1, UINT64_MAX / 2, "" },
                           1, moment);
  mq_reserve_record_row (host->reserve, SLOT, world->lease,
                         world->lease_version, moment);
  if (!mine && mq_reserve_claimable (host->reserve, moment, 1, 0, slots) == 0)
    return;
  world->lease = mq_reserve_renewed_lease (host->reserve, moment);
  world->lease_version++;
  if (below (world, 6) > 0)
    mq_reserve_record_row (host->reserve, SLOT, world->lease,
                           world->lease_version, moment);
}

static void
record_issued (struct world *world, struct host *host)
{
  struct mq_budget_record next;

  if (mq_budget_record_issued (&host->budget, host->holder, world->limit,
                               &next))
    write_record (world, host, &next);
}

static void
release (struct world *world, struct host *host)
{
  struct mq_budget_record next;

  if (mq_budget_release (&host->budget, host->holder, world->limit, MOST,
                         &next))
    write_record (world, host, &next);
}

static void
do_late (struct world *world)
{
  if (world->has_late && world->late_expects == world->version)
    {
      world->record = world->late;
      world->version++;
    }
  world->has_late = false;
}

static void
step (struct world *world)
{
  uint32_t index = below (world, HOSTS);
  struct host *host = &world->hosts[index];
  uint64_t granted;

  world->now_ms += below (world, 300);
  switch (below (world, 14))
    {
    case 0:
      world->away = !world->away;
      break;
    case 1:
      if (below (world, 4) == 0)
        lose_host (world, host);
      break;
    case 2:
      do_late (world);
      break;
    case 3:
    case 4:
      deliver (world);
      break;
    case 5:
    case 6:
      lend (world, index, (index + 1 + below (world, HOSTS - 1)) % HOSTS);
      break;
    case 7:
      if (!world->away)
        claim (world, host);
      break;
    case 8:
      if (!world->away)
        record_issued (world, host);
      if (!world->away)
        release (world, host);
      break;
    case 9:
    case 10:
      if (host->running == TURNS)
        break;
      granted = mq_budget_reserve_local (&host->budget, MOST);
      if (granted > 0)
        begin (world, host, granted);
      break;
    case 11:
      if (!world->away)
        ask_table (world, host);
      break;
    default:
      end_turn (world, host);
      break;
    }
}

static bool
is_bounded (const struct world *world)
{
  return world->handed
         <= world->limit + MOST + (uint64_t)world->issuers_lost * MOST;
}

/* Whether the bound holds through a walk from SEED.  */
static bool
walk (enum planted planted, uint64_t seed, uint64_t *handed)
{
  struct world world = { .planted = planted, .state = seed, .now_ms = 100000 };
  bool holds = true;

  world.limit = (uint64_t)MOST * (1 + below (&world, 3)) + below (&world, 3);
  for (uint32_t i = 0; i < HOSTS; i++)
    start_host (&world, &world.hosts[i]);
  for (uint32_t i = 0; i < STEPS && holds; i++)
    {
      step (&world);
      holds = is_bounded (&world);
    }
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      while (world.hosts[i].running > 0 && holds)
        {
          world.handed += world.hosts[i].granted[--world.hosts[i].running];
          holds = is_bounded (&world);
        }
      talloc_free (world.hosts[i].reserve);
    }
  *handed += world.handed;
  return holds;
}

/* A program spends more than its budget and one turn: hosts lend and issue
   tokens while the table is away, some of them die, are cut off or disagree
   about who may.  The bound holds through all of it; a host that is lost after
   it issued tokens may add the most of one more turn, since nobody can know
   what became of them.  */
Test (budget_model, bound_holds)
{
  uint64_t handed = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    cr_assert (walk (PLANTED_NONE, seed, &handed), "seed %lu",
               (unsigned long)seed);
  /* The walks do hand out tokens: a model that stands still proves nothing. */
  cr_assert_gt (handed, (uint64_t)SEEDS * 10);
}

Test (budget_model, planted_errors_are_seen)
{
  for (int planted = 1; planted < PLANTED_COUNT; planted++)
    {
      uint64_t handed = 0;
      uint64_t seed = 1;

      while (seed <= SEEDS && walk ((enum planted)planted, seed, &handed))
        seed++;
      cr_expect_leq (seed, (uint64_t)SEEDS, "%s: not seen",
                     planted_names[planted]);
    }
}
