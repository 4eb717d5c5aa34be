/* router_loan.c - loans of budget tokens and turn histories between hosts.

   A turn whose budget or history is held by another host is served from that
   host's memory.  A host shares only histories whose record is durable, and
   deducts tokens from its own grant before it sends them.  Loans are requested

   - from hosts of the same data centre, before the table is read, or from the
     program's cache host if they are many (router_handover.c);
   - from all hosts while the table is unavailable.  As a last resort, the host
     that holds the program's lease issues the tokens of one turn beyond the
     limit (budget.h, reserve.h);
   - from all hosts when a program's budget is fully granted, to reclaim unused
     tokens.


   Needs: router_turns.h, memory.h, clock.h.  */

#include "router_turns.h"
#include "core/memory.h"
#include "net/clock.h"
#include <string.h>

#define REPLY_TIMEOUT_MS 60U
/* Timeout before the table is read instead.  */
#define NEAR_REPLY_TIMEOUT_MS 10U

/**
 * struct mq_loan - a loan request in progress
 * @turn: turn that waits for it, NULL if @program reclaims tokens
 * @program: program that reclaims unused tokens, or NULL
 * @most: tokens that @program needs
 * @replies_due: replies outstanding
 * @near: sent to hosts of this data centre only, before a read of the table
 * @issue: asks the lease holder to issue tokens that no record counts yet
 * @issue_forbidden: a host reported that no tokens may be issued
 */
struct mq_loan
{
  struct mq_turns *turns;
  struct mq_turn *turn;
  struct mq_program *program;
  struct mq_loan *next;
  struct mq_timer *timer;
  uint64_t most;
  uint64_t id;
  uint32_t replies_due;
  bool near;
  bool issue;
  bool issue_forbidden;
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
mq_loan_cancel (struct mq_loan *loan)
{
  if (loan == NULL)
    return;
  unlink_loan (loan);
  talloc_free (loan);
}

static void
finish_loan (struct mq_loan *loan, enum mq_turn_state state)
{
  struct mq_turn *turn = loan->turn;

  turn->loan = NULL;
  mq_loan_cancel (loan);
  mq_turn_notify (turn, state);
}

/* Reserves the tokens of TURN from the local grant; false if they don't
   suffice.  */
static bool
reserve_tokens (struct mq_turn *turn)
{
  struct mq_program *program;

  if (!turn->budgeted)
    return true;
  program = mq_program_get_or_create (turn->turns, turn->program);
  if (program == NULL)
    return false;
  if (turn->max_tokens == 0
      || !mq_budget_reserve_local (&program->budget, turn->max_tokens))
    return false;
  turn->granted = turn->max_tokens;
  turn->owner = program;
  program->running++;
  program->limit = turn->limit;
  program->used_ms = mq_clock_ms ();
  return true;
}

static void advance_loan (struct mq_loan *loan);

static void
on_timeout (void *data)
{
  struct mq_loan *loan = data;

  loan->timer = NULL;
  loan->replies_due = 0;
  advance_loan (loan);
}

static void
send_request (struct mq_loan *loan,
              const struct mq_relay_loan_request *request)
{
  struct mq_router *router = loan->turns->router;
  uint32_t timeout_ms = loan->near ? NEAR_REPLY_TIMEOUT_MS : REPLY_TIMEOUT_MS;

  loan->replies_due
      = mq_relay_request_loan (router->relay, request, loan->near);
  TALLOC_FREE (loan->timer);
  loan->timer = mq_timer_add (loan, router->ev,
                              loan->replies_due == 0 ? 0 : timeout_ms,
                              on_timeout, loan);
}

static void
request_for_turn (struct mq_loan *loan)
{
  struct mq_turn *turn = loan->turn;
  struct mq_relay_loan_request request = {
    .id = loan->id,
    .program = turn->program == NULL ? "" : turn->program,
    .limit = turn->limit,
    .tokens = turn->budgeted ? turn->max_tokens : 0,
    .turn = turn->missing_id,
    .may_issue = loan->issue,
    .move
    = loan->near && mq_relay_uses_cache_hosts (loan->turns->router->relay),
  };

  send_request (loan, &request);
}

/* No host lends tokens of the program: its lease holder issues some.  */
static void
request_issue (struct mq_loan *loan)
{
  struct mq_turn *turn = loan->turn;
  struct mq_program *program
      = mq_program_get_or_create (turn->turns, turn->program);

  loan->issue = true;
  if (program == NULL
      || !mq_reserve_take_issue (turn->turns->router, turn->program))
    {
      request_for_turn (loan);
      return;
    }
  mq_budget_issue_unrecorded (&program->budget, turn->limit, turn->max_tokens);
  advance_loan (loan);
}

static void
finish_reclaim (struct mq_loan *loan)
{
  struct mq_program *program = loan->program;

  mq_loan_cancel (loan);
  mq_program_on_recall_done (program);
}

/* The hosts nearby were asked.  What they lack comes from the table.  */
static void
finish_nearby (struct mq_loan *loan)
{
  struct mq_turn *turn = loan->turn;
  bool lacks_history = turn->missing_id[0] != '\0';

  turn->loan = NULL;
  mq_loan_cancel (loan);
  if (!lacks_history)
    mq_program_reserve (turn);
  else if (mq_turn_is_cached (turn))
    {
      turn->turns->router->counters.turns_lent++;
      mq_turn_use_cached (turn);
    }
  else
    mq_turn_read_history (turn);
}

/* Continues once all replies are in or the timeout has passed.  */
static void
advance_loan (struct mq_loan *loan)
{
  struct mq_turn *turn = loan->turn;

  if (turn == NULL)
    {
      finish_reclaim (loan);
      return;
    }
  if (loan->near)
    {
      finish_nearby (loan);
      return;
    }
  if (turn->missing_id[0] != '\0')
    {
      /* With its history complete, the turn requests its budget, which may
         start another loan.  */
      if (!mq_turn_is_cached (turn))
        {
          finish_loan (loan, MQ_TURN_STORE_UNAVAILABLE);
          return;
        }
      turn->loan = NULL;
      mq_loan_cancel (loan);
      mq_turn_use_cached (turn);
      return;
    }
  if (reserve_tokens (turn))
    {
      turn->turns->router->counters.turns_lent++;
      finish_loan (loan, MQ_TURN_READY);
    }
  else if (loan->issue || loan->issue_forbidden)
    finish_loan (loan, MQ_TURN_STORE_UNAVAILABLE);
  else
    request_issue (loan);
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
mq_loan_request (struct mq_turn *turn)
{
  /* A turn that may not borrow needs the table.  It continues if only a part
     of the table is unavailable, since its row can go to another part.  */
  if (!turn->may_borrow
      && mq_table_client_down (turn->turns->router->table_client))
    {
      mq_turn_notify (turn, MQ_TURN_STORE_UNAVAILABLE);
      return;
    }
  turn->loan = create_loan (turn->turns);
  turn->loan->turn = turn;
  request_for_turn (turn->loan);
}

/* A program's turns may arrive at any host of a data centre.  A host that
   served an earlier turn has the history and a grant in memory, which saves a
   read and a write of the table.  */
void
mq_loan_request_nearby (struct mq_turn *turn)
{
  turn->queried_nearby = true;
  turn->loan = create_loan (turn->turns);
  turn->loan->turn = turn;
  turn->loan->near = true;
  request_for_turn (turn->loan);
}

struct mq_loan *
mq_loan_recall (struct mq_program *program, uint64_t limit, uint64_t most)
{
  struct mq_loan *loan = create_loan (program->turns);
  struct mq_relay_loan_request request = { .id = loan->id,
                                           .program = program->id,
                                           .limit = limit,
                                           .tokens = most,
                                           .turn = "" };

  loan->program = program;
  loan->most = most;
  send_request (loan, &request);
  return loan;
}

/* Borrowing */

static void
store_history (struct mq_turns *turns, const struct mq_relay_loan_reply *reply)
{
  struct mq_chain *chain
      = mq_chain_unpack (turns, reply->turn, reply->history);

  if (chain != NULL)
    mq_chain_cache_put (turns->cache, chain);
}

/* Tokens that arrive too late for their turn stay available to the program's
   next one.  The record counts them as spent if there is none.  */
void
mq_loan_store (struct mq_turns *turns, const struct mq_relay_loan_reply *reply)
{
  struct mq_program *program = NULL;

  if (reply->tokens > 0 || reply->home != 0 || reply->stream_version != 0
      || reply->record.len > 0)
    program = mq_program_get_or_create (turns, reply->program);
  if (program != NULL)
    {
      program->used_ms = mq_clock_ms ();
      mq_budget_receive_loan (&program->budget, reply->tokens);
      /* The worker that holds the program's cache, for affinity.  */
      if (program->home == 0)
        program->home = reply->home;
      if (reply->home_full)
        program->home_full_ms = mq_clock_ms ();
      if (reply->stream_version != 0)
        program->told_version = reply->stream_version;
      mq_program_adopt_record (program, reply->record, reply->record_version);
    }
  if (reply->turn[0] != '\0')
    store_history (turns, reply);
}

static void
set_lender (struct mq_turns *turns, const char *id, const char *address)
{
  struct mq_program *program = mq_program_find (turns, id);

  if (program == NULL)
    return;
  talloc_free (program->lender);
  program->lender = talloc_strdup (program, address);
}

/* Whether the turn has all that it lacked, so that no more replies are
   needed.  */
static bool
is_satisfied (const struct mq_loan *loan)
{
  struct mq_turn *turn = loan->turn;
  const struct mq_program *program;

  if (turn == NULL)
    return mq_budget_can_reserve (&loan->program->budget, loan->most);
  if ((turn->missing_id[0] != '\0'
       && mq_chain_cache_find (loan->turns->cache, turn->missing_id) == NULL))
    return false;
  if (!turn->budgeted)
    return true;
  program = mq_program_find (loan->turns, turn->program);
  return program != NULL
         && mq_budget_can_reserve (&program->budget, turn->max_tokens);
}

void
mq_loan_on_reply (const struct mq_relay_loan_reply *reply, const char *address,
                  void *user)
{
  struct mq_router *router = user;
  struct mq_turns *turns = router->turns;
  struct mq_loan *loan = turns->loans;

  mq_loan_store (turns, reply);
  if (reply->tokens > 0)
    set_lender (turns, reply->program, address);
  while (loan != NULL && loan->id != reply->id)
    loan = loan->next;
  if (loan == NULL || loan->replies_due == 0)
    return;
  loan->issue_forbidden = loan->issue_forbidden || reply->issue_forbidden;
  if (--loan->replies_due > 0 && !is_satisfied (loan))
    return;
  TALLOC_FREE (loan->timer);
  advance_loan (loan);
}

/* Lending */

static void
lend_tokens (struct mq_router *router,
             const struct mq_relay_loan_request *request,
             struct mq_relay_loan_reply *reply)
{
  struct mq_turns *turns = router->turns;
  bool may_issue
      = request->may_issue && mq_reserve_take_issue (router, request->program);
  struct mq_program *program
      = may_issue ? mq_program_get_or_create (turns, request->program)
                  : mq_program_find (turns, request->program);

  if (program == NULL)
    return;
  program->used_ms = mq_clock_ms ();
  program->limit = request->limit;
  if (may_issue)
    mq_budget_issue_unrecorded (&program->budget, request->limit,
                                request->tokens);
  reply->issue_forbidden
      = mq_budget_is_overdrawn (&program->budget, request->limit)
        || (program->budget.issued > 0
            && !mq_reserve_may_issue (router, request->program));
  reply->tokens = mq_budget_lend (
      &program->budget, request->move ? UINT64_MAX : request->tokens);
}

static void
lend_history (TALLOC_CTX *ctx, struct mq_router *router,
              const struct mq_relay_loan_request *request,
              struct mq_relay_loan_reply *reply)
{
  const struct mq_chain *chain
      = mq_chain_cache_find (router->turns->cache, request->turn);

  if (chain == NULL)
    return;
  reply->turn = request->turn;
  reply->history = mq_chain_pack_full (ctx, chain);
}

void
mq_loan_on_request (const struct mq_relay_loan_request *request,
                    struct mq_relay_link *link, void *user)
{
  struct mq_router *router = user;
  struct mq_relay_loan_reply reply
      = { .id = request->id, .program = request->program, .turn = "" };
  TALLOC_CTX *ctx = talloc_new (router);
  const struct mq_program *program
      = mq_program_find (router->turns, request->program);

  if (program != NULL)
    {
      reply.home = program->home;
      reply.home_full = mq_program_home_is_full (program);
      reply.stream_version = mq_program_stream_version (program);
    }
  if (request->tokens > 0)
    lend_tokens (router, request, &reply);
  if (request->turn[0] != '\0')
    lend_history (ctx, router, request, &reply);
  if (request->move && program != NULL)
    mq_handover_set_record (ctx, program, &reply);
  if (reply.tokens > 0 || reply.turn[0] != '\0')
    router->counters.loans_given++;
  mq_relay_send_loan_reply (router->relay, link, &reply);
  talloc_free (ctx);
}

void
mq_loan_on_return (const struct mq_relay_loan_return *back, void *user)
{
  struct mq_router *router = user;
  struct mq_program *program = mq_program_find (router->turns, back->program);

  if (program != NULL)
    mq_budget_reclaim_loan (&program->budget, back->tokens);
}

/* While the table is unavailable, returns the tokens that a turn did not use
   to their lender, so that a retry of the turn at another host can borrow
   them.  */
void
mq_loan_return (struct mq_program *program)
{
  struct mq_relay *relay = program->turns->router->relay;
  struct mq_relay_loan_return back = { .program = program->id };

  if (program->lender == NULL
      || !mq_turns_part_unavailable (program->turns, program->part))
    return;
  back.tokens = mq_budget_return_loan (&program->budget);
  if (back.tokens == 0)
    return;
  if (!mq_relay_return_loan (relay, program->lender, &back))
    mq_budget_receive_loan (&program->budget, back.tokens);
}
