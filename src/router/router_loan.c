/* router_loan.c - tokens and histories that hosts lend each other.

   A turn whose budget or history lies at another host is answered from that
   host's memory: a history there is one whose record is durable, and tokens
   leave the lender's grant before they are sent.  Three questions are asked:
   of the hosts near by, before the table; of all, while the table is away,
   where in the end the host with the lease on the program issues the one
   turn's tokens that the budget allows beyond its limit (budget.h, reserve.h);
   and of all, when a program's record is full, for tokens that nobody uses.
   Needs: router_turns.h, memory.h, clock.h.  */

#include "router_turns.h"
#include "core/memory.h"
#include "net/clock.h"
#include <string.h>

/* Time for the other hosts' answers: two ways between data centres are 2 ms,
   the rest is for hosts that are busy.  */
#define WAIT_MS 60U
/* The same where the table could be asked meanwhile, which takes 6 ms: one way
   within a data centre is 0.2 ms, the rest is a slow host's time.  */
#define WAIT_NEAR_MS 10U

/**
 * struct mq_loan - a question to other hosts for one turn, or for a program
 *                  whose record is full
 * @turn: that waits for it, NULL: @program does
 * @id: of the question
 * @due: answers that are still to come
 * @near: the table can be asked; this is a shorter way
 * @issue: it has come to asking for tokens that no record counts
 * @over: some host knows that no tokens may be issued
 */
struct mq_loan
{
  struct mq_turns *turns;
  struct mq_turn *turn;
  struct mq_program *program;
  struct mq_loan *next;
  struct mq_timer *timer;
  uint64_t id;
  uint32_t due;
  bool near;
  bool issue;
  bool over;
};

static void
unlink_loan (struct mq_loan *loan)
{
  for (struct mq_loan **at = &loan->turns->loans; *at != NULL;
       at = &(*at)->next)
    if (*at == loan)
      {
        *at = loan->next;
        return;
      }
}

void
mq_loan_forget (struct mq_loan *loan)
{
  if (loan == NULL)
    return;
  unlink_loan (loan);
  talloc_free (loan);
}

static void
end_loan (struct mq_loan *loan, enum mq_turn_state state)
{
  struct mq_turn *turn = loan->turn;

  turn->loan = NULL;
  mq_loan_forget (loan);
  mq_turn_tell (turn, state);
}

/* The turn has all that it needs, or what it has suffices.  */
static bool
take_budget (struct mq_turn *turn)
{
  struct mq_program *program;

  if (!turn->budgeted)
    return true;
  program = mq_program_get (turn->turns, turn->program);
  if (program == NULL)
    return false;
  turn->granted = mq_budget_take (&program->budget, turn->most);
  if (turn->granted == 0)
    return false;
  turn->in = program;
  program->running++;
  program->limit = turn->limit;
  program->used_ms = mq_clock_ms ();
  return true;
}

static void step_loan (struct mq_loan *loan);

static void
on_over (void *data)
{
  struct mq_loan *loan = data;

  loan->timer = NULL;
  loan->due = 0;
  step_loan (loan);
}

static void
ask_hosts (struct mq_loan *loan, const struct mq_relay_loan_ask *ask)
{
  struct mq_router *router = loan->turns->router;
  uint32_t wait = loan->near ? WAIT_NEAR_MS : WAIT_MS;

  loan->due = mq_relay_ask_loan (router->relay, ask, loan->near);
  TALLOC_FREE (loan->timer);
  loan->timer = mq_timer_add (loan, router->ev, loan->due == 0 ? 0 : wait,
                              on_over, loan);
}

static void
ask_for_turn (struct mq_loan *loan)
{
  struct mq_turn *turn = loan->turn;
  struct mq_relay_loan_ask ask = {
    .id = loan->id,
    .program = turn->program == NULL ? "" : turn->program,
    .limit = turn->limit,
    .most = turn->budgeted ? turn->most : 0,
    .turn = turn->missing,
    .issue = loan->issue,
  };

  ask_hosts (loan, &ask);
}

/* No host has tokens of the program: the one with its lease issues some.  */
static void
ask_issue (struct mq_loan *loan)
{
  struct mq_turn *turn = loan->turn;
  struct mq_program *program = mq_program_get (turn->turns, turn->program);

  loan->issue = true;
  if (program == NULL
      || !mq_reserve_may_issue (turn->turns->router, turn->program))
    {
      ask_for_turn (loan);
      return;
    }
  mq_budget_issue (&program->budget, turn->limit, turn->most);
  step_loan (loan);
}

static void
end_recall (struct mq_loan *loan)
{
  struct mq_program *program = loan->program;

  mq_loan_forget (loan);
  mq_program_recalled (program);
}

/* All hosts that will answer have answered.  */
static void
step_loan (struct mq_loan *loan)
{
  struct mq_turn *turn = loan->turn;

  if (turn == NULL)
    {
      end_recall (loan);
      return;
    }
  if (loan->near)
    {
      turn->loan = NULL;
      mq_loan_forget (loan);
      if (mq_turn_find_in_memory (turn))
        turn->turns->router->counters.turns_lent++;
      else
        mq_turn_read (turn);
      return;
    }
  if (turn->missing[0] != '\0')
    {
      /* Comes back here once the history is joined.  */
      turn->loan = NULL;
      if (mq_turn_find_in_memory (turn))
        mq_loan_forget (loan);
      else
        end_loan (loan, MQ_TURN_NO_STORE);
      return;
    }
  if (take_budget (turn))
    {
      turn->turns->router->counters.turns_lent++;
      end_loan (loan, MQ_TURN_READY);
    }
  else if (loan->issue || loan->over)
    end_loan (loan, MQ_TURN_NO_STORE);
  else
    ask_issue (loan);
}

static struct mq_loan *
create_loan (struct mq_turns *turns)
{
  struct mq_loan *loan = mq_check_alloc (talloc_zero (turns, struct mq_loan));

  turns->router->counters.loans_asked++;
  loan->turns = turns;
  loan->id = ++turns->next_loan;
  loan->next = turns->loans;
  turns->loans = loan;
  return loan;
}

void
mq_loan_begin (struct mq_turn *turn)
{
  /* Where the table answers in part, the turn can end: its row has other
     places.  */
  if (!turn->may_borrow && mq_ledger_down (turn->turns->router->ledger))
    {
      mq_turn_tell (turn, MQ_TURN_NO_STORE);
      return;
    }
  turn->loan = create_loan (turn->turns);
  turn->loan->turn = turn;
  ask_for_turn (turn->loan);
}

/* The load: a program's turns come to any host of a data centre, and each that
   came to another one than before took a read of its history and a write for a
   grant of its own, on a table whose rates bind in a burst.  Hosts that served
   the turns before have both in memory.  */
void
mq_loan_try (struct mq_turn *turn)
{
  turn->loan = create_loan (turn->turns);
  turn->loan->turn = turn;
  turn->loan->near = true;
  ask_for_turn (turn->loan);
}

struct mq_loan *
mq_loan_recall (struct mq_program *program, uint64_t limit, uint64_t most)
{
  struct mq_loan *loan = create_loan (program->turns);
  struct mq_relay_loan_ask ask = { .id = loan->id,
                                   .program = program->id,
                                   .limit = limit,
                                   .most = most,
                                   .turn = "" };

  loan->program = program;
  ask_hosts (loan, &ask);
  return loan;
}

/* What other hosts lend */

static void
take_history (struct mq_turns *turns, const struct mq_relay_loan_told *told)
{
  struct mq_chain *chain = mq_chain_unpack (turns, told->turn, told->history);

  if (chain != NULL)
    mq_chain_cache_put (turns->cache, chain);
}

/* Also tokens that come too late for the turn that asked serve the program's
   next one; if none comes, the record counts them as spent.  */
static void
take_tokens (struct mq_turns *turns, const struct mq_relay_loan_told *told,
             const char *address)
{
  struct mq_program *program = mq_program_get (turns, told->program);

  if (program == NULL)
    return;
  mq_budget_borrow (&program->budget, told->tokens);
  talloc_free (program->lender);
  program->lender = talloc_strdup (program, address);
}

/* All turns of the program go where its cache is, as far as any host knows. */
static void
take_home (struct mq_turns *turns, const struct mq_relay_loan_told *told)
{
  struct mq_program *program = mq_program_get (turns, told->program);

  if (program != NULL && program->home == 0)
    program->home = told->home;
}

/* What the turn lacks has come: the other answers need not be waited for.  */
static bool
is_satisfied (const struct mq_loan *loan)
{
  struct mq_turn *turn = loan->turn;
  const struct mq_program *program;

  if (turn == NULL
      || (turn->missing[0] != '\0'
          && mq_chain_cache_find (loan->turns->cache, turn->missing) == NULL))
    return false;
  if (!turn->budgeted)
    return true;
  program = mq_program_find (loan->turns, turn->program);
  return program != NULL && mq_budget_has (&program->budget, turn->most);
}

void
mq_loan_on_told (const struct mq_relay_loan_told *told, const char *address,
                 void *user)
{
  struct mq_router *router = user;
  struct mq_turns *turns = router->turns;
  struct mq_loan *loan = turns->loans;

  if (told->tokens > 0)
    take_tokens (turns, told, address);
  if (told->turn[0] != '\0')
    take_history (turns, told);
  if (told->home != 0)
    take_home (turns, told);
  while (loan != NULL && loan->id != told->id)
    loan = loan->next;
  if (loan == NULL || loan->due == 0)
    return;
  loan->over = loan->over || told->over;
  if (--loan->due > 0 && !is_satisfied (loan))
    return;
  TALLOC_FREE (loan->timer);
  step_loan (loan);
}

/* What this host lends */

static void
lend_tokens (struct mq_router *router, const struct mq_relay_loan_ask *ask,
             struct mq_relay_loan_told *told)
{
  struct mq_turns *turns = router->turns;
  bool issues = ask->issue && mq_reserve_may_issue (router, ask->program);
  struct mq_program *program = issues ? mq_program_get (turns, ask->program)
                                      : mq_program_find (turns, ask->program);

  if (program == NULL)
    return;
  program->used_ms = mq_clock_ms ();
  program->limit = ask->limit;
  if (issues)
    mq_budget_issue (&program->budget, ask->limit, ask->most);
  told->over = mq_budget_over (&program->budget, ask->limit)
               || (program->budget.issued > 0
                   && !mq_reserve_may_issue (router, ask->program));
  told->tokens = mq_budget_lend (&program->budget, ask->most);
}

static void
lend_history (TALLOC_CTX *ctx, struct mq_router *router,
              const struct mq_relay_loan_ask *ask,
              struct mq_relay_loan_told *told)
{
  const struct mq_chain *chain
      = mq_chain_cache_find (router->turns->cache, ask->turn);

  if (chain == NULL)
    return;
  told->turn = ask->turn;
  told->history = mq_chain_pack_whole (ctx, chain);
}

void
mq_loan_on_ask (const struct mq_relay_loan_ask *ask,
                struct mq_relay_link *link, void *user)
{
  struct mq_router *router = user;
  struct mq_relay_loan_told told
      = { .id = ask->id, .program = ask->program, .turn = "" };
  TALLOC_CTX *ctx = talloc_new (router);
  const struct mq_program *program
      = mq_program_find (router->turns, ask->program);

  if (program != NULL)
    told.home = program->home;
  if (ask->most > 0)
    lend_tokens (router, ask, &told);
  if (ask->turn[0] != '\0')
    lend_history (ctx, router, ask, &told);
  if (told.tokens > 0 || told.turn[0] != '\0')
    router->counters.loans_given++;
  mq_relay_lend (router->relay, link, &told);
  talloc_free (ctx);
}

void
mq_loan_on_back (const struct mq_relay_loan_back *back, void *user)
{
  struct mq_router *router = user;
  struct mq_program *program = mq_program_find (router->turns, back->program);

  if (program != NULL)
    mq_budget_take_back (&program->budget, back->tokens);
}

/* Without the table, what a turn leaves of its most, three quarters of it,
   serves the next send of the same turn, at whichever host it comes to.  */
void
mq_loan_give_back (struct mq_program *program)
{
  struct mq_relay *relay = program->turns->router->relay;
  struct mq_relay_loan_back back = { .program = program->id };

  if (program->lender == NULL
      || !mq_turns_away (program->turns, program->part))
    return;
  back.tokens = mq_budget_give_back (&program->budget);
  if (back.tokens == 0)
    return;
  if (!mq_relay_give_back (relay, program->lender, &back))
    mq_budget_borrow (&program->budget, back.tokens);
}
