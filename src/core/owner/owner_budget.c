/* owner_budget.c - budgets of programs: time, turns and tokens.

   Needs: owner_parts.h.  */

#include "owner_parts.h"

/* ---- Time ---- */

uint64_t
budget_elapsed_ms (const struct mq_owner *owner, const struct running *running)
{
  uint64_t elapsed = running->program->elapsed_ms;

  if (running->clock_started_us != 0)
    elapsed += (owner->now_us - running->clock_started_us) / 1000;
  return elapsed;
}

void
budget_start_clock (struct mq_owner *owner, struct running *running)
{
  uint64_t budget_ms = 1000ULL * running->program->budget.seconds;
  uint64_t elapsed = budget_elapsed_ms (owner, running);

  if (running->clock_started_us == 0)
    running->clock_started_us = owner->now_us;
  if (budget_ms > 0)
    owner_set_timer (
        owner, running,
        owner->now_us
            + 1000 * (budget_ms > elapsed ? budget_ms - elapsed : 0));
}

void
budget_stop_clock (struct mq_owner *owner, struct running *running)
{
  running->program->elapsed_ms = budget_elapsed_ms (owner, running);
  running->clock_started_us = 0;
}

/* ---- Turns and tokens ---- */

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

/* Charges the unused part of a grant after a takeover in which some target
   did not answer, since calls there may still use it.  */
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
  running->charge_position = owner->appended_position;
}

uint64_t
budget_remaining_tokens (const struct running *running)
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
budget_has_turns (const struct running *running)
{
  for (const struct running *r = running; r != NULL; r = r->parent)
    if (r->program->turns >= r->program->budget.turns)
      return false;
  return true;
}

bool
budget_has_time (const struct mq_owner *owner, const struct running *running)
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
  running->grant_pending = granted;
  log_append (owner, running, &record);
}

static uint64_t
grant_size (const struct running *running, uint64_t need)
{
  uint64_t used = running->program->spent + running->reserved;
  uint64_t wanted = used + need * MQ_GRANT_CALLS;
  uint64_t budget = running->program->budget.tokens;

  return wanted < budget ? wanted : budget;
}

/* True when durable grants of the program and its ancestors cover MAX_TOKENS
   more; else requests grants and resumes the program once they are durable.
   A grant is durable before it is used and counts as spent after a takeover
   unless targets report actual use, so that a takeover can't spend the same
   budget twice.  */
bool
budget_ensure_grant (struct mq_owner *owner, struct running *running,
                     uint32_t max_tokens)
{
  bool covered = true;

  for (struct running *r = running; r != NULL; r = r->parent)
    {
      uint64_t need = r->program->spent + r->reserved + max_tokens;

      if (need > r->grant_durable)
        covered = false;
      if (need > r->grant_durable && need > r->grant_pending
          && grant_size (r, max_tokens) > r->grant_pending)
        {
          append_grant (owner, r, grant_size (r, max_tokens));
          log_add_hook (owner, r, HOOK_GRANTED, 0, 0, NULL)->tokens
              = r->grant_pending;
        }
    }
  /* Runs after the grants appended above are durable.  */
  if (!covered && !running->grant_requested)
    {
      running->grant_requested = true;
      log_add_hook (owner, running, HOOK_GRANTED, 0, 0, NULL)->tokens = 0;
    }
  return covered;
}
