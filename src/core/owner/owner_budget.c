/* owner_budget.c - time, turns and tokens that a program may still spend.

   Needs: owner_parts.h.  */

#include "owner_parts.h"

/* ---- Time ---- */

uint64_t
budget_elapsed_ms (const struct mq_owner *owner, const struct running *running)
{
  uint64_t elapsed = running->program->elapsed_ms;

  if (running->clock_us != 0)
    elapsed += (owner->now_us - running->clock_us) / 1000;
  return elapsed;
}

void
budget_start_clock (struct mq_owner *owner, struct running *running)
{
  uint64_t budget_ms = 1000ULL * running->program->budget.seconds;
  uint64_t elapsed = budget_elapsed_ms (owner, running);

  if (running->clock_us == 0)
    running->clock_us = owner->now_us;
  if (budget_ms > 0)
    owner_wake_at (
        owner, running,
        owner->now_us
            + 1000 * (budget_ms > elapsed ? budget_ms - elapsed : 0));
}

void
budget_stop_clock (struct mq_owner *owner, struct running *running)
{
  running->program->elapsed_ms = budget_elapsed_ms (owner, running);
  running->clock_us = 0;
}

/* ---- Budget ---- */

void
budget_reserve (struct running *running, uint64_t tokens)
{
  for (struct running *r = running; r != NULL; r = r->parent)
    r->reserved += tokens;
}

void
budget_release (struct running *running, uint64_t tokens)
{
  for (struct running *r = running; r != NULL; r = r->parent)
    r->reserved -= tokens;
}

void
budget_charge (struct mq_owner *owner, struct running *running,
               uint64_t tokens)
{
  Mqlog__Record record = MQLOG__RECORD__INIT;

  if (tokens == 0)
    return;
  running->pending_charge += tokens;
  record.body_case = MQLOG__RECORD__BODY_CHARGED;
  record.charged = true;
  log_append (owner, running, &record);
}

/* After a takeover in which some target that the earlier owner may have
   used did not answer: it may still spend what was granted, so that counts
   as spent.  */
void
budget_forfeit (struct mq_owner *owner, struct running *running)
{
  struct mq_program *program = running->program;
  Mqlog__Record record = MQLOG__RECORD__INIT;

  if (program->state == MQ_PROGRAM_ENDED || program->granted <= program->spent)
    return;
  running->forfeited = true;
  running->pending_charge = program->granted - program->spent;
  owner->counters.tokens_forfeited += running->pending_charge;
  record.body_case = MQLOG__RECORD__BODY_FORFEITED;
  record.forfeited = true;
  log_append (owner, running, &record);
  running->discard_mark = owner->appended;
}

uint64_t
budget_tokens_left (const struct running *running)
{
  uint64_t left = UINT64_MAX;

  for (const struct running *r = running; r != NULL; r = r->parent)
    {
      uint64_t used = r->program->spent + r->reserved;
      uint64_t budget = r->program->budget.tokens;

      if (budget <= used)
        return 0;
      if (budget - used < left)
        left = budget - used;
    }
  return left;
}

bool
budget_turns_are_left (const struct running *running)
{
  for (const struct running *r = running; r != NULL; r = r->parent)
    if (r->program->turns >= r->program->budget.turns)
      return false;
  return true;
}

bool
budget_time_is_left (const struct mq_owner *owner,
                     const struct running *running)
{
  const struct mq_program *program = running->program;

  return program->budget.seconds == 0
         || budget_elapsed_ms (owner, running)
                < 1000ULL * program->budget.seconds;
}

static void
append_grant (struct mq_owner *owner, struct running *running,
              uint64_t granted)
{
  Mqlog__Record record = MQLOG__RECORD__INIT;
  Mqlog__Granted body = MQLOG__GRANTED__INIT;

  body.tokens = granted;
  record.body_case = MQLOG__RECORD__BODY_GRANTED;
  record.granted = &body;
  running->grant_wanted = granted;
  log_append (owner, running, &record);
}

static uint64_t
grant_for (const struct running *running, uint64_t need)
{
  uint64_t used = running->program->spent + running->reserved;
  uint64_t wanted = used + need * MQ_GRANT_CALLS;
  uint64_t budget = running->program->budget.tokens;

  return wanted < budget ? wanted : budget;
}

/* True when durable grants of the program and of those it is part of cover
   MAX_TOKENS more.  Failure: an owner dies with calls under way that no log
   knows, and its successor spends the same budget again.  Grants are
   durable before they are drawn on, and a successor counts them as spent
   unless targets' processes report what really was.  */
bool
budget_has_grant (struct mq_owner *owner, struct running *running,
                  uint32_t max_tokens)
{
  bool covered = true;

  for (struct running *r = running; r != NULL; r = r->parent)
    {
      uint64_t need = r->program->spent + r->reserved + max_tokens;

      if (need > r->grant_durable)
        covered = false;
      if (need > r->grant_durable && need > r->grant_wanted
          && grant_for (r, max_tokens) > r->grant_wanted)
        {
          append_grant (owner, r, grant_for (r, max_tokens));
          log_add_hook (owner, r, HOOK_GRANTED, 0, 0, NULL)->tokens
              = r->grant_wanted;
        }
    }
  /* Whoever waits goes on when the last of them is durable.  */
  if (!covered && !running->grant_asked)
    {
      running->grant_asked = true;
      log_add_hook (owner, running, HOOK_GRANTED, 0, 0, NULL)->tokens = 0;
    }
  return covered;
}
