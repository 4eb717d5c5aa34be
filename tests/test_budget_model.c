/* test_budget_model.c - randomized model check of token budgets.

   Three hosts share one program and one table.  The model covers table
   outages, writes without a reply that are applied late or never, loans,
   issued tokens, lost messages and hosts that lose their state.  It runs the
   real budgets and leases (budget.h, reserve.h) and checks the bound after
   each step of a seeded random walk.  Injected faults show that the walks can
   detect violations.
   Needs: Criterion, budget.h, reserve.h, id.h.  */

#include "core/router/budget.h"
#include "core/id.h"
#include "core/router/reserve.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

enum
{
  HOSTS = 3,
  TURN_TOKENS_MAX = 8,
  TURNS = 4,
  MESSAGES = 8,
  STEPS = 500,
  SEEDS = 100000
};

static const char program[] = "program";

/* Injected faults, one per walk.  */
enum fault
{
  FAULT_NONE,
  FAULT_LOAN_KEPT,        /* a lender keeps using lent tokens */
  FAULT_RETURN_KEPT,      /* returned tokens are also kept */
  FAULT_NO_LEASE,         /* any host issues tokens */
  FAULT_LEASE_UNCHECKED,  /* a holder ignores the expiry */
  FAULT_LEASE_FROM_REPLY, /* lease measured from the reply */
  FAULT_GRANT_EXCEEDED,   /* a turn exceeds its grant */
  FAULT_ISSUED_AGAIN,     /* tokens issued though marked and overdrawn */
  FAULT_GRANT_REUSED,     /* a host reuses a grant it lost */
  FAULT_HANDOVER_KEPT,    /* a host keeps using tokens it handed over */
  FAULT_OLD_RECORD,       /* an older record replaces a newer one */
  FAULT_ISSUES_FORGOTTEN, /* a lease that was not released counts as clean */
  FAULT_MARKS_DROPPED,    /* a released lease marks no programs */
  FAULT_LEASE_KEPT,       /* a host issues under a lease it handed over */
  FAULT_HANDED_UNMARKED,  /* a lease handed over marks no programs */
  FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = {
  "none",           "loan kept",       "return kept",
  "no lease",       "lease unchecked", "lease from reply",
  "grant exceeded", "issued again",    "grant reused",
  "handover kept",  "old record",      "issues forgotten",
  "marks dropped",  "lease kept",      "handed unmarked",
};

enum message_kind
{
  MESSAGE_NONE,
  MESSAGE_LOAN,
  MESSAGE_RETURN,
  MESSAGE_HANDOVER,
  MESSAGE_LEASE
};

/* Tokens in transit between two hosts; a handover also has the record that the
   sender knows.  Or a lease, whose row has @version.  */
struct message
{
  enum message_kind kind;
  uint32_t to;
  uint64_t tokens;
  struct mq_budget_record record;
  struct mq_reserve_lease lease;
  uint64_t version;
};

struct host
{
  struct mq_budget budget;
  struct mq_reserve *reserve;
  uint64_t holder;          /* of leases */
  uint64_t holder_of_grant; /* new each time it begins to serve the program */
  uint64_t granted[TURNS];  /* of running turns */
  uint32_t running;
  uint32_t lender;
  struct mq_reserve_clock_sample sample; /* last one, 0 if none */
};

struct world
{
  enum fault fault;
  struct mq_budget_record record;
  uint64_t version;
  struct mq_reserve_lease lease;
  uint64_t lease_version;
  struct mq_budget_record late; /* timed-out write */
  uint64_t late_expects;
  bool has_late;
  bool table_down;
  uint64_t now_ms; /* host's and table's clock */
  uint64_t limit;
  uint64_t generated;
  uint64_t state;
  struct host hosts[HOSTS];
  struct message messages[MESSAGES];
};

static uint32_t
draw (struct world *world, uint32_t bound)
{
  return mq_random_below (&world->state, bound);
}

static void
start_host (struct world *world, struct host *host)
{
  static const char *const addresses[HOSTS] = { "a:1", "b:1", "c:1" };

  talloc_free (host->reserve);
  *host = (struct host){ .holder = mq_random_next (&world->state),
                         .holder_of_grant = mq_random_next (&world->state) };
  host->reserve
      = mq_reserve_create (NULL, host->holder, addresses[host - world->hosts]);
}

/* Writes NEXT if the table has the version that HOST knows.  */
static void
write_record (struct world *world, struct host *host,
              const struct mq_budget_record *next)
{
  struct mq_budget *budget = &host->budget;
  uint32_t outcome = draw (world, 8);

  if (budget->version != world->version)
    {
      mq_budget_record_read (budget, host->holder_of_grant, &world->record,
                             world->version);
      return;
    }
  if (outcome == 0)
    {
      /* Times out; applied later if the version still matches.  */
      world->late = *next;
      world->late_expects = world->version;
      world->has_late = true;
      return;
    }
  world->record = *next;
  world->version++;
  if (outcome == 1)
    {
      mq_budget_record_read (budget, host->holder_of_grant, &world->record,
                             world->version);
      return;
    }
  mq_budget_record_written (budget, host->holder_of_grant, next,
                            world->version);
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
    switch (mq_budget_reserve (&host->budget, host->holder_of_grant,
                               world->limit, TURN_TOKENS_MAX, &next))
      {
      case MQ_BUDGET_RESERVED:
        begin (world, host, TURN_TOKENS_MAX);
        return;
      case MQ_BUDGET_WRITE:
        write_record (world, host, &next);
        break;
      case MQ_BUDGET_READ:
      case MQ_BUDGET_UNCERTAIN:
        mq_budget_record_read (&host->budget, host->holder_of_grant,
                               &world->record, world->version);
        if (i > 2)
          return;
        break;
      case MQ_BUDGET_EXHAUSTED:
        return;
      }
}

static void
send (struct world *world, struct message message)
{
  for (uint32_t i = 0; i < MESSAGES; i++)
    if (world->messages[i].kind == MESSAGE_NONE)
      {
        world->messages[i] = message;
        return;
      }
}

static void
send_tokens (struct world *world, enum message_kind kind, uint32_t to,
             uint64_t tokens)
{
  if (tokens > 0)
    send (world, (struct message){ .kind = kind, .to = to, .tokens = tokens });
}

static void
receive_handover (const struct world *world, struct host *host,
                  const struct message *message)
{
  struct mq_budget *budget = &host->budget;

  mq_budget_receive_loan (budget, message->tokens);
  if (message->version > budget->version
      || (world->fault == FAULT_OLD_RECORD && message->version > 0))
    mq_budget_record_read (budget, host->holder_of_grant, &message->record,
                           message->version);
}

static void
receive_lease (struct host *host, const struct message *message)
{
  if (host->sample.table_ms != 0)
    (void)mq_reserve_accept (host->reserve, mq_reserve_slot (program),
                             &message->lease, message->version, host->sample);
}

static void
deliver (struct world *world)
{
  struct message *message = &world->messages[draw (world, MESSAGES)];
  struct host *to = &world->hosts[message->to];

  /* One in four messages is lost.  */
  if (message->kind == MESSAGE_LOAN && draw (world, 4) > 0)
    mq_budget_receive_loan (&to->budget, message->tokens);
  else if (message->kind == MESSAGE_RETURN && draw (world, 4) > 0)
    mq_budget_reclaim_loan (&to->budget, message->tokens);
  else if (message->kind == MESSAGE_HANDOVER && draw (world, 4) > 0)
    receive_handover (world, to, message);
  else if (message->kind == MESSAGE_LEASE && draw (world, 4) > 0)
    receive_lease (to, message);
  message->kind = MESSAGE_NONE;
}

static bool
holds_lease (const struct world *world, const struct host *host)
{
  uint64_t now = world->fault == FAULT_LEASE_UNCHECKED ? 0 : world->now_ms;
  struct mq_reserve_own_lease own;

  return mq_reserve_has_lease (host->reserve, mq_reserve_slot (program), now,
                               &own);
}

static bool
may_issue (const struct world *world, const struct host *host)
{
  if (world->fault == FAULT_NO_LEASE)
    return true;
  if (world->fault == FAULT_ISSUED_AGAIN)
    return holds_lease (world, host);
  return mq_reserve_can_issue (host->reserve, program, world->now_ms);
}

/* Whether a host knows that the record is overdrawn, or has unrecorded tokens
   issued under an expired lease.  Hosts check with all others before tokens
   are issued.  */
static bool
is_overdrawn (const struct world *world)
{
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      const struct host *host = &world->hosts[i];

      if (mq_budget_is_overdrawn (&host->budget, world->limit)
          || (host->budget.issued > 0 && !may_issue (world, host)))
        return world->fault != FAULT_ISSUED_AGAIN;
    }
  return false;
}

static void
lend (struct world *world, uint32_t from, uint32_t to)
{
  struct host *lender = &world->hosts[from];
  uint64_t given;

  if (may_issue (world, lender) && !is_overdrawn (world)
      && draw (world, 2) == 0)
    {
      mq_reserve_mark_issued (lender->reserve, program);
      mq_budget_issue_unrecorded (&lender->budget, world->limit,
                                  TURN_TOKENS_MAX);
    }
  given = mq_budget_lend (&lender->budget, TURN_TOKENS_MAX);
  send_tokens (world, MESSAGE_LOAN, to, given);
  world->hosts[to].lender = from;
  if (world->fault == FAULT_LOAN_KEPT)
    mq_budget_receive_loan (&lender->budget, given);
}

static void
hand_over (struct world *world, struct host *host, uint32_t to)
{
  struct mq_budget *budget = &host->budget;
  struct message message = { .kind = MESSAGE_HANDOVER,
                             .to = to,
                             .tokens = mq_budget_lend (budget, UINT64_MAX),
                             .record = budget->record,
                             .version = budget->version };

  send (world, message);
  if (world->fault == FAULT_HANDOVER_KEPT)
    mq_budget_receive_loan (budget, message.tokens);
}

static void
return_loan (struct world *world, struct host *host)
{
  uint64_t tokens = mq_budget_return_loan (&host->budget);

  send_tokens (world, MESSAGE_RETURN, host->lender, tokens);
  if (world->fault == FAULT_RETURN_KEPT)
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
  used = draw (world, TURN_TOKENS_MAX + 1);
  if (used > granted && world->fault != FAULT_GRANT_EXCEEDED)
    used = granted;
  world->generated += used;
  mq_budget_settle (&host->budget, granted, used);
  if (host->running == 0 && draw (world, 2) == 0)
    return_loan (world, host);
}

/* HOST loses its state; its running turns count as fully generated.  */
static void
lose_host (struct world *world, struct host *host)
{
  uint64_t holder = host->holder_of_grant;

  while (host->running > 0)
    world->generated += host->granted[--host->running];
  start_host (world, host);
  if (world->fault == FAULT_GRANT_REUSED)
    host->holder_of_grant = holder;
}

/* HOST claims or renews the lease; the reply may be late or lost.  */
static void
claim (struct world *world, struct host *host)
{
  struct mq_reserve_clock_sample sample = { world->now_ms, 0 };
  struct mq_reserve_lease others
      = { .holder = 1, .until_ms = UINT64_MAX / 2, .issue_from_ms = 1 };
  uint32_t slot = mq_reserve_slot (program);
  uint32_t slots[MQ_RESERVE_SLOTS];
  uint64_t took = draw (world, 3) == 0 ? draw (world, 8000) : 5;
  bool mine = world->lease.holder == host->holder;

  world->now_ms += took;
  sample.table_ms = world->now_ms;
  if (world->fault == FAULT_LEASE_FROM_REPLY)
    {
      world->now_ms += took;
      sample.asked_ms = world->now_ms;
    }
  host->sample = sample;
  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    mq_reserve_record_row (host->reserve, i,
                           i == slot ? &world->lease : &others,
                           i == slot ? world->lease_version : 1, sample);
  if (!mine && mq_reserve_claimable (host->reserve, sample, 1, 0, slots) == 0)
    return;
  world->lease = mq_reserve_renewed_lease (host->reserve, slot, sample);
  if (world->fault == FAULT_ISSUES_FORGOTTEN)
    world->lease.issue_from_ms = 1;
  world->lease_version++;
  if (draw (world, 6) > 0)
    mq_reserve_record_row (host->reserve, slot, &world->lease,
                           world->lease_version, sample);
}

/* Whether HOST has the lease by what it knows, or was handed it.  */
static bool
has_or_was_handed (const struct host *host)
{
  uint32_t slots[MQ_RESERVE_SLOTS];
  uint32_t slot = mq_reserve_slot (program);

  return mq_reserve_lease_of (host->reserve, slot)->holder == host->holder
         || mq_reserve_handed (host->reserve, slots) > 0;
}

/* HOST stops as planned while the table is away: it hands the lease to TO and
   starts again.  */
static void
stop_in_outage (struct world *world, struct host *host, uint32_t to)
{
  uint32_t slot = mq_reserve_slot (program);
  struct message message = { .kind = MESSAGE_LEASE, .to = to };
  struct mq_reserve_lease own;

  if (host->running > 0)
    return;
  if (has_or_was_handed (host))
    {
      own = *mq_reserve_lease_of (host->reserve, slot);
      message.lease = mq_reserve_hand_over (host->reserve, slot, host->sample);
      message.version = mq_reserve_version (host->reserve, slot);
      if (world->fault == FAULT_HANDED_UNMARKED)
        memset (message.lease.marks, 0, sizeof message.lease.marks);
      send (world, message);
      if (world->fault == FAULT_LEASE_KEPT && own.holder == host->holder)
        {
          mq_reserve_record_row (host->reserve, slot, &own, message.version,
                                 host->sample);
          return;
        }
    }
  start_host (world, host);
}

/* HOST stops as planned: it releases the lease and starts again.  */
static void
stop_host (struct world *world, struct host *host)
{
  struct mq_reserve_clock_sample sample = { world->now_ms, world->now_ms };
  uint32_t slot = mq_reserve_slot (program);

  if (host->running > 0)
    return;
  if (world->lease.holder == host->holder)
    {
      mq_reserve_record_row (host->reserve, slot, &world->lease,
                             world->lease_version, sample);
      world->lease = mq_reserve_released_lease (host->reserve, slot, sample);
      if (world->fault == FAULT_MARKS_DROPPED)
        memset (world->lease.marks, 0, sizeof world->lease.marks);
      world->lease_version++;
    }
  start_host (world, host);
}

/* HOST frees a program that has been idle.  */
static void
forget_program (struct world *world, struct host *host)
{
  if (host->running > 0 || host->budget.issued > 0)
    return;
  host->budget = (struct mq_budget){ .known = false };
  if (world->fault != FAULT_GRANT_REUSED)
    host->holder_of_grant = mq_random_next (&world->state);
}

static void
record_issued (struct world *world, struct host *host)
{
  struct mq_budget_record next;

  if (mq_budget_record_issued (&host->budget, host->holder_of_grant,
                               world->limit, &next))
    write_record (world, host, &next);
}

static void
release (struct world *world, struct host *host)
{
  struct mq_budget_record next;

  if (mq_budget_release (&host->budget, host->holder_of_grant, world->limit,
                         TURN_TOKENS_MAX, &next))
    write_record (world, host, &next);
}

static void
apply_late (struct world *world)
{
  if (world->has_late && world->late_expects == world->version)
    {
      world->record = world->late;
      world->version++;
    }
  world->has_late = false;
}

/* Tokens of HOST that no turn has.  */
static uint64_t
unreserved (const struct host *host)
{
  return host->budget.held + host->budget.ungranted - host->budget.reserved;
}

static void
begin_without_table (struct world *world, struct host *host)
{
  uint64_t part = unreserved (host);

  if (mq_budget_reserve_local (&host->budget, TURN_TOKENS_MAX))
    begin (world, host, TURN_TOKENS_MAX);
  else if (world->fault == FAULT_GRANT_EXCEEDED && part > 1)
    {
      host->budget.reserved += part;
      begin (world, host, part);
    }
}

static void
step (struct world *world)
{
  uint32_t index = draw (world, HOSTS);
  struct host *host = &world->hosts[index];

  world->now_ms += draw (world, 300);
  switch (draw (world, 18))
    {
    case 0:
      world->table_down = !world->table_down;
      break;
    case 1:
      if (draw (world, 4) == 0)
        lose_host (world, host);
      break;
    case 2:
      apply_late (world);
      break;
    case 3:
    case 4:
      deliver (world);
      break;
    case 5:
    case 6:
      lend (world, index, (index + 1 + draw (world, HOSTS - 1)) % HOSTS);
      break;
    case 7:
      if (!world->table_down)
        claim (world, host);
      break;
    case 8:
      if (!world->table_down)
        record_issued (world, host);
      if (!world->table_down)
        release (world, host);
      break;
    case 9:
    case 10:
      if (host->running == TURNS)
        break;
      begin_without_table (world, host);
      break;
    case 11:
      if (!world->table_down)
        ask_table (world, host);
      break;
    case 12:
      forget_program (world, host);
      break;
    case 13:
      if (draw (world, 2) == 0)
        break;
      if (world->table_down)
        stop_in_outage (world, host,
                        (index + 1 + draw (world, HOSTS - 1)) % HOSTS);
      else
        stop_host (world, host);
      break;
    case 14:
    case 15:
      hand_over (world, host, (index + 1 + draw (world, HOSTS - 1)) % HOSTS);
      break;
    default:
      end_turn (world, host);
      break;
    }
}

/* Whether the program is within its bound, and one host at most holds the
   lease.  */
static bool
is_bounded (const struct world *world)
{
  uint32_t holders = 0;

  for (uint32_t i = 0; i < HOSTS; i++)
    holders += holds_lease (world, &world->hosts[i]) ? 1U : 0U;
  return world->generated <= world->limit + TURN_TOKENS_MAX && holders <= 1;
}

/* Whether the bound holds throughout the walk of SEED.  */
static bool
walk (enum fault fault, uint64_t seed, uint64_t *generated)
{
  struct world world = { .fault = fault, .state = seed, .now_ms = 100000 };
  bool holds = true;

  world.limit
      = (uint64_t)TURN_TOKENS_MAX * (1 + draw (&world, 3)) + draw (&world, 3);
  for (uint32_t i = 0; i < HOSTS; i++)
    start_host (&world, &world.hosts[i]);
  for (uint32_t i = 0; i < STEPS && holds; i++)
    {
      step (&world);
      holds = is_bounded (&world);
    }
  for (uint32_t i = 0; i < HOSTS; i++)
    while (world.hosts[i].running > 0 && holds)
      {
        world.generated += world.hosts[i].granted[--world.hosts[i].running];
        holds = is_bounded (&world);
      }
  for (uint32_t i = 0; i < HOSTS; i++)
    talloc_free (world.hosts[i].reserve);
  *generated += world.generated;
  return holds;
}

/* A program generates at most its budget plus one turn, over all outages and
   whatever hosts are lost.  */
Test (budget_model, bound_holds)
{
  uint64_t generated = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    cr_assert (walk (FAULT_NONE, seed, &generated), "seed %lu",
               (unsigned long)seed);
  /* The walks make progress.  */
  cr_assert_gt (generated, (uint64_t)SEEDS * 10);
}

Test (budget_model, injected_faults_are_detected)
{
  for (int fault = 1; fault < FAULT_COUNT; fault++)
    {
      uint64_t generated = 0;
      uint64_t seed = 1;

      while (seed <= SEEDS && walk ((enum fault)fault, seed, &generated))
        seed++;
      cr_expect_leq (seed, (uint64_t)SEEDS, "%s: not detected",
                     fault_names[fault]);
    }
}
