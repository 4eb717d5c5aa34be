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

enum
{
  HOSTS = 3,
  TURN_TOKENS_MAX = 8,
  TURNS = 4,
  MESSAGES = 8,
  STEPS = 500,
  SEEDS = 20000,
  SLOT = 5
};

/* Injected faults, one per walk.  */
enum fault
{
  FAULT_NONE,
  FAULT_LOAN_KEPT,         /* a lender keeps using lent tokens */
  FAULT_RETURN_KEPT,       /* returned tokens are also kept */
  FAULT_NO_LEASE,          /* any host issues tokens */
  FAULT_LEASE_UNCHECKED,   /* a holder ignores the expiry */
  FAULT_LEASE_FROM_REPLY,  /* lease measured from the reply */
  FAULT_GRANT_EXCEEDED,    /* a turn exceeds its grant */
  FAULT_OVERDRAWN_IGNORED, /* tokens issued though overdrawn */
  FAULT_GRANT_REUSED,      /* a host reuses a grant it lost */
  FAULT_HANDOVER_KEPT,     /* a host keeps using tokens it handed over */
  FAULT_OLD_RECORD,        /* an older record replaces a newer one */
  FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = {
  "none",           "loan kept",         "return kept",
  "no lease",       "lease unchecked",   "lease from reply",
  "grant exceeded", "overdrawn ignored", "grant reused",
  "handover kept",  "old record",
};

enum message_kind
{
  MESSAGE_NONE,
  MESSAGE_LOAN,
  MESSAGE_RETURN,
  MESSAGE_HANDOVER
};

/* Tokens in transit between two hosts; a handover also has the record that the
   sender knows.  */
struct message
{
  enum message_kind kind;
  uint32_t to;
  uint64_t tokens;
  struct mq_budget_record record;
  uint64_t version;
};

struct host
{
  struct mq_budget budget;
  struct mq_reserve *reserve;
  uint64_t holder;
  uint64_t granted[TURNS]; /* of running turns */
  uint32_t running;
  uint32_t lender;
  bool has_issued;
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
  uint32_t issuers_lost;
};

static uint32_t
draw (struct world *world, uint32_t bound)
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

/* Writes NEXT if the table has the version that HOST knows.  */
static void
write_record (struct world *world, struct host *host,
              const struct mq_budget_record *next)
{
  struct mq_budget *budget = &host->budget;
  uint32_t outcome = draw (world, 8);

  if (budget->version != world->version)
    {
      mq_budget_record_read (budget, host->holder, &world->record,
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
    switch (mq_budget_reserve (&host->budget, host->holder, world->limit,
                               TURN_TOKENS_MAX, &next))
      {
      case MQ_BUDGET_RESERVED:
        begin (world, host, TURN_TOKENS_MAX);
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
    mq_budget_record_read (budget, host->holder, &message->record,
                           message->version);
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
  message->kind = MESSAGE_NONE;
}

static bool
may_issue (const struct world *world, const struct host *host)
{
  if (world->fault == FAULT_NO_LEASE)
    return true;
  if (world->fault == FAULT_LEASE_UNCHECKED)
    return mq_reserve_can_issue (host->reserve, SLOT, 0);
  return mq_reserve_can_issue (host->reserve, SLOT, world->now_ms);
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
        return world->fault != FAULT_OVERDRAWN_IGNORED;
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
      mq_budget_issue_unrecorded (&lender->budget, world->limit,
                                  TURN_TOKENS_MAX);
      lender->has_issued = true;
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
  uint64_t holder = host->holder;

  if (host->has_issued)
    world->issuers_lost++;
  while (host->running > 0)
    world->generated += host->granted[--host->running];
  start_host (world, host);
  if (world->fault == FAULT_GRANT_REUSED)
    host->holder = holder;
}

/* HOST claims or renews the lease; the reply may be late or lost.  */
static void
claim (struct world *world, struct host *host)
{
  struct mq_reserve_clock_sample sample = { world->now_ms, 0 };
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
  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    mq_reserve_record_row (host->reserve, i,
                           (struct mq_reserve_lease){ 1, UINT64_MAX / 2, "" },
                           1, sample);
  mq_reserve_record_row (host->reserve, SLOT, world->lease,
                         world->lease_version, sample);
  if (!mine && mq_reserve_claimable (host->reserve, sample, 1, 0, slots) == 0)
    return;
  world->lease = mq_reserve_renewed_lease (host->reserve, sample);
  world->lease_version++;
  if (draw (world, 6) > 0)
    mq_reserve_record_row (host->reserve, SLOT, world->lease,
                           world->lease_version, sample);
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

  if (mq_budget_release (&host->budget, host->holder, world->limit,
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
  switch (draw (world, 16))
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
    case 13:
      hand_over (world, host, (index + 1 + draw (world, HOSTS - 1)) % HOSTS);
      break;
    default:
      end_turn (world, host);
      break;
    }
}

static bool
is_bounded (const struct world *world)
{
  return world->generated
         <= world->limit + TURN_TOKENS_MAX
                + (uint64_t)world->issuers_lost * TURN_TOKENS_MAX;
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
    {
      while (world.hosts[i].running > 0 && holds)
        {
          world.generated += world.hosts[i].granted[--world.hosts[i].running];
          holds = is_bounded (&world);
        }
      talloc_free (world.hosts[i].reserve);
    }
  *generated += world.generated;
  return holds;
}

/* A program generates at most its budget plus one turn.  Each host that is
   lost after it issued tokens may add one more turn, as its use is unknown. */
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
