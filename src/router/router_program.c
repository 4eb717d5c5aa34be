/* router_program.c - budgets of programs in the platform's table.

   A turn reserves its budget before it is sent.  A program has one record and
   at most one pending call for it.
   Needs: router_turns.h, id.h, reserve.h, clock.h.  */

#include "router_turns.h"
#include "core/id.h"
#include "core/router/reserve.h"
#include "net/clock.h"
#include <string.h>

const char mq_budget_table[] = "budget";

/* Idle time after which a program is freed; the rest of its grant is lost.  */
#define PROGRAM_IDLE_MS 20000U

static void advance_program (struct mq_program *program);

struct mq_program *
mq_program_find (struct mq_turns *turns, const char *id)
{
  return mq_idmap_find (turns->programs, mq_id_from_text (id), 0);
}

struct mq_program *
mq_program_get_or_create (struct mq_turns *turns, const char *id)
{
  struct mq_id key = mq_id_from_text (id);
  struct mq_program *program = mq_idmap_find (turns->programs, key, 0);

  if (program != NULL)
    return program;
  program = talloc_zero (turns, struct mq_program);
  if (program == NULL)
    return NULL;
  program->turns = turns;
  program->key = key;
  program->id = talloc_strdup (program, id);
  mq_turn_select_part (program->part, id, 0);
  program->holder = mq_random_next (&turns->router->random);
  mq_idmap_put (turns->programs, key, 0, program);
  return program;
}

bool
mq_turns_has_program (struct mq_turns *turns, const char *program)
{
  return mq_program_find (turns, program) != NULL;
}

bool
mq_turns_is_new_program (struct mq_turns *turns, const char *name)
{
  const struct mq_program *program = mq_program_find (turns, name);

  return program != NULL
         && mq_budget_is_first_holder (&program->budget, program->holder);
}

struct mq_table_client_call *
mq_turns_read_record (struct mq_turns *turns, const char *program,
                      mq_rows_done *done, void *user)
{
  char part[MQ_PART_NAME_BYTES];

  mq_turn_select_part (part, program, 0);
  return mq_table_client_get (turns->router->table_client, mq_budget_table,
                              part, program, done, user);
}

static void
free_program (struct mq_program *program)
{
  mq_idmap_remove (program->turns->programs, program->key, 0);
  if (program->call != NULL)
    mq_table_client_cancel (program->call);
  mq_loan_cancel (program->recall);
  talloc_free (program);
}

static struct mq_turn *
pop_waiting (struct mq_program *program)
{
  struct mq_turn *turn = program->waiting;

  program->waiting = turn->next;
  turn->next = NULL;
  turn->queued = false;
  return turn;
}

/* The table is unavailable: the waiting turns borrow from other hosts.  */
static void
fail_waiting (struct mq_program *program)
{
  program->tries = 0;
  while (program->waiting != NULL)
    mq_loan_request (pop_waiting (program));
}

void
mq_program_adopt_record (struct mq_program *program, struct mq_bytes value,
                         uint64_t version)
{
  struct mq_budget_record record;

  if (program->call != NULL || version <= program->budget.version
      || !mq_budget_unpack (value, &record))
    return;
  mq_budget_record_read (&program->budget, program->holder, &record, version);
  if (record.home != 0)
    program->home = record.home;
}

static void
apply_record (struct mq_program *program, const struct mq_rows_result *result)
{
  struct mq_budget_record record = { 0 };
  uint64_t version = 0;
  struct mq_json_line line;

  if (result->row_count > 0)
    {
      version = result->rows[0].version;
      if (version != 0 && !mq_budget_unpack (result->rows[0].value, &record))
        {
          /* Treats an unreadable record as an exhausted budget.  */
          record = (struct mq_budget_record){ .spent = UINT32_MAX };
          mq_json_begin (&line, program->turns->router->log,
                         MQ_JSON_HIGH_PRIORITY, MQ_LOG_BUDGET_UNREADABLE);
          mq_json_text (&line, "run", program->id);
          mq_json_number (&line, "version", version);
          mq_json_end (&line);
        }
    }
  mq_budget_record_read (&program->budget, program->holder, &record, version);
  if (record.home != 0)
    program->home = record.home;
  for (struct mq_turn *turn = program->waiting; turn != NULL;
       turn = turn->next)
    turn->record_checked = true;
}

static void
on_program_retry (void *data)
{
  struct mq_program *program = data;

  program->retry = NULL;
  advance_program (program);
}

static void
retry_program (struct mq_program *program)
{
  program->tries++;
  if (program->tries >= MQ_TURN_ATTEMPTS_MAX
      || mq_turns_part_unavailable (program->turns, program->part))
    {
      fail_waiting (program);
      return;
    }
  program->retry = mq_retry_schedule (program->turns, program->tries,
                                      on_program_retry, program);
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
  apply_record (program, result);
  advance_program (program);
}

static void
read_program (struct mq_program *program)
{
  program->call = mq_table_client_get (program->turns->router->table_client,
                                       mq_budget_table, program->part,
                                       program->id, on_read, program);
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
      mq_budget_record_written (&program->budget, program->holder,
                                &program->next, result->version);
      break;
    case MQ_STORE_CONFLICT:
      program->tries = 0;
      apply_record (program, result);
      break;
    case MQ_STORE_LOST:
      /* The record tells whether the write succeeded.  */
      if (++program->tries < MQ_TURN_ATTEMPTS_MAX)
        read_program (program);
      else
        fail_waiting (program);
      return;
    default:
      retry_program (program);
      return;
    }
  advance_program (program);
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
  if (program->budget.version == 0)
    program->next.stream_version = program->first_version;
  program->next.until_s = mq_turns_expiry_s (program->turns, 0);
  value = mq_budget_pack (program, &program->next);
  entry.value = value;
  router->counters.budget_writes++;
  program->call = mq_table_client_commit (router->table_client, &entry,
                                          on_written, program);
  talloc_free (value.data);
}

/* How long a rejection by its home keeps a program away from it.

   Failure: each host that a caller's tries reach sends the turn to the same
   full worker, and the program is refused while others are idle.  */
#define HOME_FULL_MS 1000U

bool
mq_program_home_is_full (const struct mq_program *program)
{
  return program->home_full_ms != 0
         && mq_clock_ms () - program->home_full_ms < HOME_FULL_MS;
}

uint64_t
mq_program_stream_version (const struct mq_program *program)
{
  if (program->budget.version == 0)
    return program->told_version;
  return program->budget.record.stream_version;
}

void
mq_turn_home_rejected (struct mq_turn *turn)
{
  if (turn->owner != NULL)
    turn->owner->home_full_ms = mq_clock_ms ();
}

static void
finish_waiting (struct mq_program *program, enum mq_turn_state state)
{
  struct mq_turn *turn = pop_waiting (program);

  if (state == MQ_TURN_READY)
    program->running++;
  turn->home = program->home;
  turn->home_full = mq_program_home_is_full (program);
  mq_turn_notify (turn, state);
}

/* Reads or writes the record, as the first waiting turn needs.  */
static void
access_record (struct mq_program *program, enum mq_budget_decision need)
{
  if (mq_turns_part_unavailable (program->turns, program->part))
    fail_waiting (program);
  else if (need == MQ_BUDGET_WRITE)
    write_program (program);
  else
    read_program (program);
}

/* Minimum interval between recalls of the unused tokens of one program, whose
   retries would otherwise cause one each.  */
#define RECALL_INTERVAL_MS 1000U

static bool
may_recall (const struct mq_program *program, const struct mq_turn *turn)
{
  uint64_t now = mq_clock_ms ();

  return !turn->recall_done
         && mq_budget_has_other_grants (&program->budget, program->holder)
         && (program->recalled_ms == 0
             || now - program->recalled_ms >= RECALL_INTERVAL_MS);
}

void
mq_program_on_recall_done (struct mq_program *program)
{
  program->recall = NULL;
  program->recalled_ms = mq_clock_ms ();
  for (struct mq_turn *turn = program->waiting; turn != NULL;
       turn = turn->next)
    turn->recall_done = true;
  advance_program (program);
}

/* The record has no tokens left for the first waiting turn.  If it was read
   after the turn arrived, hosts with unused tokens are asked to lend them;
   turns that arrive meanwhile wait for the same replies.

   Failure: grants of hosts that no longer serve the program exhaust its
   record, and turns are refused although tokens are left.  */
static void
handle_uncertain_budget (struct mq_program *program)
{
  struct mq_turn *turn = program->waiting;

  if (!turn->record_checked)
    access_record (program, MQ_BUDGET_READ);
  else if (may_recall (program, turn))
    program->recall = mq_loan_recall (program, turn->limit, turn->max_tokens);
  else
    finish_waiting (program, MQ_TURN_BUDGET_EXHAUSTED);
}

/* Serves waiting turns from the grant, then calls the table for more
   tokens.  */
static void
advance_program (struct mq_program *program)
{
  while (program->waiting != NULL && program->call == NULL
         && program->retry == NULL && program->recall == NULL)
    {
      struct mq_turn *turn = program->waiting;
      enum mq_budget_decision answer
          = mq_budget_reserve (&program->budget, program->holder, turn->limit,
                               turn->max_tokens, &program->next);

      switch (answer)
        {
        case MQ_BUDGET_RESERVED:
          turn->granted = turn->max_tokens;
          finish_waiting (program, MQ_TURN_READY);
          break;
        case MQ_BUDGET_WRITE:
        case MQ_BUDGET_READ:
          access_record (program, answer);
          break;
        case MQ_BUDGET_UNCERTAIN:
          handle_uncertain_budget (program);
          break;
        case MQ_BUDGET_EXHAUSTED:
          finish_waiting (program, MQ_TURN_BUDGET_EXHAUSTED);
          break;
        }
    }
}

void
mq_program_reserve (struct mq_turn *turn)
{
  struct mq_program *program;
  struct mq_turn **at;

  if (!turn->budgeted)
    {
      mq_turn_notify (turn, MQ_TURN_READY);
      return;
    }
  if (mq_handover_may_help (turn))
    {
      mq_loan_request_nearby (turn);
      return;
    }
  program = mq_program_get_or_create (turn->turns, turn->program);
  if (program == NULL)
    {
      mq_turn_notify (turn, MQ_TURN_STORE_UNAVAILABLE);
      return;
    }
  program->used_ms = mq_clock_ms ();
  program->limit = turn->limit;
  if (program->home == 0)
    program->home = turn->home;
  if (program->first_version == 0)
    program->first_version = turn->first_version;
  turn->owner = program;
  turn->queued = true;
  for (at = &program->waiting; *at != NULL; at = &(*at)->next)
    continue;
  *at = turn;
  advance_program (program);
}

void
mq_program_dequeue (struct mq_turn *turn)
{
  if (!turn->queued)
    return;
  for (struct mq_turn **at = &turn->owner->waiting; *at != NULL;
       at = &(*at)->next)
    if (*at == turn)
      {
        *at = turn->next;
        break;
      }
  turn->queued = false;
}

/* Returns unused tokens of the grant to the record once the program has no
   turns.

   Failure: the host fails between two turns, and the rest of its grant is lost
   to the second.  */
static void
release_grant (struct mq_program *program, uint64_t most)
{
  if (program->call == NULL && program->retry == NULL
      && !mq_turns_part_unavailable (program->turns, program->part)
      && mq_budget_release (&program->budget, program->holder, program->limit,
                            most, &program->next))
    write_program (program);
}

void
mq_turn_settle_budget (struct mq_turn *turn, uint64_t used)
{
  struct mq_program *program = turn->owner;

  if (turn->granted == 0)
    return;
  program->running--;
  program->used_ms = mq_clock_ms ();
  mq_budget_settle (&program->budget, turn->granted, used);
  turn->granted = 0;
  if (program->running > 0 || program->waiting != NULL)
    return;
  mq_loan_return (program);
  if (!mq_handover_program (program))
    release_grant (program, turn->max_tokens);
}

/* Records tokens issued during an outage of the table before the program is
   freed.

   Failure: the tokens are never counted, and in the next outage another host
   issues as many again.  */
static void
record_issued (struct mq_program *program)
{
  if (program->budget.issued == 0 || program->call != NULL
      || program->retry != NULL || program->running > 0
      || mq_turns_part_unavailable (program->turns, program->part))
    return;
  if (mq_budget_record_issued (&program->budget, program->holder,
                               program->limit, &program->next))
    write_program (program);
}

static bool
is_idle (const struct mq_program *program)
{
  return program->waiting == NULL && program->running == 0
         && program->call == NULL && program->retry == NULL
         && program->recall == NULL && program->budget.issued == 0;
}

/* Programs freed in one sweep at most, to keep it short.  */
#define SWEEP_FREE_MAX 64U

void
mq_turns_sweep (struct mq_turns *turns)
{
  uint64_t now = mq_clock_ms ();
  struct mq_program *found[SWEEP_FREE_MAX];
  size_t count = 0;
  size_t position = 0;
  struct mq_program *program;

  while (count < SWEEP_FREE_MAX
         && (program = mq_idmap_next (turns->programs, &position)) != NULL)
    {
      record_issued (program);
      if (is_idle (program) && now - program->used_ms >= PROGRAM_IDLE_MS)
        found[count++] = program;
    }
  for (size_t i = 0; i < count; i++)
    free_program (found[i]);
}
