/* router_program.c - budgets of programs in the platform's table.

   A turn asks for its budget before it is sent.  A program has one record,
   and one call about it is under way at a time.
   Needs: router_turns.h, id.h, reserve.h, clock.h.  */

#include "router_turns.h"
#include "core/id.h"
#include "core/router/reserve.h"
#include "net/clock.h"
#include <string.h>

const char mq_budget_table[] = "budget";

/* A program that has been idle for so long is forgotten, and what is left of
   its grant is lost: ten times the longest pause between two turns.  */
#define FORGET_MS 20000U

static void step_program (struct mq_program *program);

struct mq_program *
mq_program_find (struct mq_turns *turns, const char *id)
{
  return mq_idmap_find (turns->programs, mq_id_text_hash (id), 0);
}

struct mq_program *
mq_program_get (struct mq_turns *turns, const char *id)
{
  struct mq_id key = mq_id_text_hash (id);
  struct mq_program *program = mq_idmap_find (turns->programs, key, 0);

  if (program != NULL)
    return program;
  program = talloc_zero (turns, struct mq_program);
  if (program == NULL)
    return NULL;
  program->turns = turns;
  program->key = key;
  program->id = talloc_strdup (program, id);
  mq_turn_set_part (program->part, id, 0);
  program->holder = mq_random_next (&turns->router->random);
  mq_idmap_put (turns->programs, key, 0, program);
  return program;
}

bool
mq_turns_know (struct mq_turns *turns, const char *program)
{
  return mq_program_find (turns, program) != NULL;
}

struct mq_ledger_call *
mq_turns_read_record (struct mq_turns *turns, const char *program,
                      mq_rows_done *done, void *user)
{
  char part[MQ_PART_BYTES];

  mq_turn_set_part (part, program, 0);
  return mq_ledger_get (turns->router->ledger, mq_budget_table, part, program,
                        done, user);
}

static void
forget_program (struct mq_program *program)
{
  mq_idmap_remove (program->turns->programs, program->key, 0);
  if (program->call != NULL)
    mq_ledger_cancel (program->call);
  mq_loan_forget (program->recall);
  talloc_free (program);
}

static struct mq_turn *
pop_waiting (struct mq_program *program)
{
  struct mq_turn *turn = program->waiting;

  program->waiting = turn->next;
  turn->next = NULL;
  turn->waits = false;
  return turn;
}

/* The table can't tell.  */
static void
fail_waiting (struct mq_program *program)
{
  program->tries = 0;
  while (program->waiting != NULL)
    mq_loan_begin (pop_waiting (program));
}

static void
take_record (struct mq_program *program, const struct mq_rows_result *result)
{
  struct mq_budget_record record = { 0 };
  uint64_t version = 0;
  struct mq_json_line line;

  if (result->row_count > 0)
    {
      version = result->rows[0].version;
      if (version != 0 && !mq_budget_unpack (result->rows[0].value, &record))
        {
          /* A record that can't be read proves nothing: as if all spent.  */
          record = (struct mq_budget_record){ .spent = UINT32_MAX };
          mq_json_begin (&line, program->turns->router->log,
                         MQ_JSON_HIGH_PRIORITY, MQ_LOG_BUDGET_UNREADABLE);
          mq_json_text (&line, "run", program->id);
          mq_json_number (&line, "version", version);
          mq_json_end (&line);
        }
    }
  mq_budget_read (&program->budget, program->holder, &record, version);
  if (record.home != 0)
    program->home = record.home;
  for (struct mq_turn *turn = program->waiting; turn != NULL;
       turn = turn->next)
    turn->fresh = true;
}

static void
on_program_retry (void *data)
{
  struct mq_program *program = data;

  program->timer = NULL;
  step_program (program);
}

static void
retry_program (struct mq_program *program)
{
  program->tries++;
  if (program->tries >= MQ_TURN_TRIES_MAX
      || mq_turns_away (program->turns, program->part))
    {
      fail_waiting (program);
      return;
    }
  program->timer = mq_turn_retry_later (
      program->turns, program, program->tries, on_program_retry, program);
}

static void
on_read (const struct mq_rows_result *result, void *user)
{
  struct mq_program *program = user;

  program->call = NULL;
  if (result->status != MQ_STORE_OK)
    {
      retry_program (program);
      return;
    }
  take_record (program, result);
  step_program (program);
}

static void
read_program (struct mq_program *program)
{
  program->call
      = mq_ledger_get (program->turns->router->ledger, mq_budget_table,
                       program->part, program->id, on_read, program);
}

static void
on_written (const struct mq_rows_result *result, void *user)
{
  struct mq_program *program = user;

  program->call = NULL;
  switch (result->status)
    {
    case MQ_STORE_OK:
      program->tries = 0;
      mq_budget_written (&program->budget, program->holder, &program->next,
                         result->version);
      break;
    case MQ_STORE_CONFLICT:
      program->tries = 0;
      take_record (program, result);
      break;
    case MQ_STORE_LOST:
      /* Whether it was done shows in the record.  */
      if (++program->tries < MQ_TURN_TRIES_MAX)
        read_program (program);
      else
        fail_waiting (program);
      return;
    default:
      retry_program (program);
      return;
    }
  step_program (program);
}

static void
write_program (struct mq_program *program)
{
  struct mq_router *router = program->turns->router;
  struct mq_rows_entry entry = { .table = mq_budget_table,
                                 .part = program->part,
                                 .key = program->id,
                                 .version = program->budget.version };
  struct mq_bytes value;

  program->next.home = program->home;
  program->next.until_s = mq_turns_kept_until (program->turns, 0);
  value = mq_budget_pack (program, &program->next);
  entry.value = value;
  router->counters.budget_writes++;
  program->call
      = mq_ledger_commit (router->ledger, &entry, on_written, program);
  talloc_free (value.data);
}

static void
end_waiting (struct mq_program *program, enum mq_turn_state state)
{
  struct mq_turn *turn = pop_waiting (program);

  if (state == MQ_TURN_READY)
    program->running++;
  turn->home = program->home;
  mq_turn_tell (turn, state);
}

/* The table is to be asked for the first turn that waits.  */
static void
call_table (struct mq_program *program, enum mq_budget_answer need)
{
  if (mq_turns_away (program->turns, program->part))
    fail_waiting (program);
  else if (need == MQ_BUDGET_WRITE)
    write_program (program);
  else
    read_program (program);
}

/* Pause between two recalls of a program's unused grants.  A program that
   loops asks several times a second once its budget is spent.  */
#define RECALL_MS 1000U

static bool
may_recall (const struct mq_program *program, const struct mq_turn *turn)
{
  uint64_t now = mq_clock_ms ();

  return !turn->recalled
         && mq_budget_has_others (&program->budget, program->holder)
         && (program->recalled_ms == 0
             || now - program->recalled_ms >= RECALL_MS);
}

void
mq_program_recalled (struct mq_program *program)
{
  program->recall = NULL;
  program->recalled_ms = mq_clock_ms ();
  for (struct mq_turn *turn = program->waiting; turn != NULL;
       turn = turn->next)
    turn->recalled = true;
  step_program (program);
}

/* The record leaves no room for the first turn that waits.

   Failure: grants that hosts took for turns which then came to other hosts
   fill the record, and a caller is told that the budget is spent though tokens
   are left.  So a record read since the turn came is not the last word: hosts
   that have unused tokens lend them.  Turns that come meanwhile wait for the
   same answers.  */
static void
answer_doubt (struct mq_program *program)
{
  struct mq_turn *turn = program->waiting;

  if (!turn->fresh)
    call_table (program, MQ_BUDGET_READ);
  else if (may_recall (program, turn))
    program->recall = mq_loan_recall (program, turn->limit, turn->most);
  else
    end_waiting (program, MQ_TURN_SPENT);
}

/* Serves the turns that wait, as far as the grant goes; then asks the table
   for more.  One call is under way at a time.  */
static void
step_program (struct mq_program *program)
{
  while (program->waiting != NULL && program->call == NULL
         && program->timer == NULL && program->recall == NULL)
    {
      struct mq_turn *turn = program->waiting;
      enum mq_budget_answer answer
          = mq_budget_ask (&program->budget, program->holder, turn->limit,
                           turn->most, &program->next);

      switch (answer)
        {
        case MQ_BUDGET_READY:
          turn->granted = turn->most;
          end_waiting (program, MQ_TURN_READY);
          break;
        case MQ_BUDGET_WRITE:
        case MQ_BUDGET_READ:
          call_table (program, answer);
          break;
        case MQ_BUDGET_DOUBT:
          answer_doubt (program);
          break;
        case MQ_BUDGET_SPENT:
          end_waiting (program, MQ_TURN_SPENT);
          break;
        }
    }
}

void
mq_program_ask (struct mq_turn *turn)
{
  struct mq_program *program;
  struct mq_turn **at;

  if (!turn->budgeted)
    {
      mq_turn_tell (turn, MQ_TURN_READY);
      return;
    }
  program = mq_program_get (turn->turns, turn->program);
  if (program == NULL)
    {
      mq_turn_tell (turn, MQ_TURN_NO_STORE);
      return;
    }
  program->used_ms = mq_clock_ms ();
  program->limit = turn->limit;
  if (program->home == 0)
    program->home = turn->home;
  turn->in = program;
  turn->waits = true;
  for (at = &program->waiting; *at != NULL; at = &(*at)->next)
    continue;
  *at = turn;
  step_program (program);
}

void
mq_program_leave (struct mq_turn *turn)
{
  if (!turn->waits)
    return;
  for (struct mq_turn **at = &turn->in->waiting; *at != NULL;
       at = &(*at)->next)
    if (*at == turn)
      {
        *at = turn->next;
        break;
      }
  turn->waits = false;
}

/* Failure: a program's limit holds two turns; its host is lost between them,
   and with it the grant that would have served the second.  */
static void
release_grant (struct mq_program *program, uint64_t most)
{
  if (program->call == NULL && program->timer == NULL
      && !mq_turns_away (program->turns, program->part)
      && mq_budget_release (&program->budget, program->holder, program->limit,
                            most, &program->next))
    write_program (program);
}

void
mq_turn_settle (struct mq_turn *turn, uint64_t used)
{
  struct mq_program *program = turn->in;

  if (turn->granted == 0)
    return;
  program->running--;
  program->used_ms = mq_clock_ms ();
  mq_budget_settle (&program->budget, turn->granted, used);
  turn->granted = 0;
  if (program->running > 0 || program->waiting != NULL)
    return;
  mq_loan_give_back (program);
  release_grant (program, turn->most);
}

/* Failure: a host issued tokens while the table was away and forgets it; the
   record never counts them, and in the next such time another host issues as
   many again.  So they are written down before the program is forgotten.  */
static void
record_issued (struct mq_program *program)
{
  if (program->budget.issued == 0 || program->call != NULL
      || program->timer != NULL || program->running > 0
      || mq_turns_away (program->turns, program->part))
    return;
  if (mq_budget_unrecorded (&program->budget, program->holder, program->limit,
                            &program->next))
    write_program (program);
}

static bool
is_idle (const struct mq_program *program)
{
  return program->waiting == NULL && program->running == 0
         && program->call == NULL && program->timer == NULL
         && program->recall == NULL && program->budget.issued == 0;
}

bool
mq_turns_have_issued (const struct mq_turns *turns, uint32_t slot)
{
  size_t position = 0;
  const struct mq_program *program;

  while ((program = mq_idmap_next (turns->programs, &position)) != NULL)
    if (program->budget.issued > 0 && mq_reserve_slot (program->id) == slot)
      return true;
  return false;
}

/* Most programs forgotten at one time, so that a look stays short.  */
#define FORGET_MAX 64U

void
mq_turns_sweep (struct mq_turns *turns)
{
  uint64_t now = mq_clock_ms ();
  struct mq_program *found[FORGET_MAX];
  size_t count = 0;
  size_t position = 0;
  struct mq_program *program;

  while (count < FORGET_MAX
         && (program = mq_idmap_next (turns->programs, &position)) != NULL)
    {
      record_issued (program);
      if (is_idle (program) && now - program->used_ms >= FORGET_MS)
        found[count++] = program;
    }
  for (size_t i = 0; i < count; i++)
    forget_program (found[i]);
}
