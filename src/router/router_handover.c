/* router_handover.c - sends the state of a program to its cache host when a
   turn has ended, where the hosts of the data centre are many (relay.h).

   The state is what the next turn needs: the unused tokens, the budget record
   with its version, and the history.  The next turn's host asks the cache host
   and needs the table only for what that lacks.  As with a loan, tokens are
   deducted before they are sent, so lost ones count as spent.
   Needs: router_turns.h.  */

#include "router_turns.h"

bool
mq_handover_may_help (const struct mq_turn *turn)
{
  struct mq_router *router = turn->turns->router;
  const struct mq_program *program;

  if (turn->queried_nearby || !mq_relay_uses_cache_hosts (router->relay))
    return false;
  program = mq_program_find (turn->turns, turn->program);
  return program == NULL
         || !mq_budget_can_reserve (&program->budget, turn->max_tokens);
}

void
mq_handover_set_record (TALLOC_CTX *ctx, const struct mq_program *program,
                        struct mq_relay_loan_reply *reply)
{
  if (!program->budget.known || program->budget.version == 0)
    return;
  reply->record = mq_budget_pack (ctx, &program->budget.record);
  reply->record_version = program->budget.version;
}

bool
mq_handover_program (struct mq_program *program)
{
  struct mq_router *router = program->turns->router;
  struct mq_relay_loan_reply handover
      = { .program = program->id,
          .turn = "",
          .home = program->home,
          .home_full = mq_program_home_is_full (program),
          .stream_version = mq_program_stream_version (program) };
  const char *address;
  TALLOC_CTX *ctx;
  bool sent;

  if (!mq_relay_uses_cache_hosts (router->relay))
    return false;
  address = mq_relay_cache_host (router->relay, program->id);
  if (address == NULL)
    return true;
  ctx = talloc_new (program);
  mq_handover_set_record (ctx, program, &handover);
  handover.tokens = mq_budget_lend (&program->budget, UINT64_MAX);
  sent = mq_relay_hand_over (router->relay, address, &handover);
  if (sent)
    router->counters.handovers++;
  else
    mq_budget_reclaim_loan (&program->budget, handover.tokens);
  talloc_free (ctx);
  return sent;
}

void
mq_handover_history (struct mq_turns *turns, const char *program,
                     const struct mq_chain *chain)
{
  struct mq_router *router = turns->router;
  struct mq_relay_loan_reply handover
      = { .program = program, .turn = chain->id };
  const char *address = NULL;

  if (mq_relay_uses_cache_hosts (router->relay))
    address = mq_relay_cache_host (router->relay, program);
  if (address == NULL)
    return;
  handover.history = mq_chain_pack_full (turns, chain);
  if (handover.history.data != NULL)
    (void)mq_relay_hand_over (router->relay, address, &handover);
  talloc_free (handover.history.data);
}

void
mq_handover_receive (const struct mq_relay_loan_reply *handover, void *user)
{
  struct mq_router *router = user;

  mq_loan_store (router->turns, handover);
}
