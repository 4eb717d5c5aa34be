/* router_turn.c - budgets and histories of programs in the platform's table.

   A turn asks for its budget and its chain before it is sent, and is written
   down before its answer ends.  Rows are spread over parts by a hash of their
   key, so that no part carries more than its share of the writes.
   Needs: router_state.h, clock.h.  */

#include "router_state.h"
#include "../core/id.h"
#include "clock.h"
#include <stdio.h>
#include <string.h>

const char mq_budget_table[] = "budget";
const char mq_turn_table[] = "turn";

/* Tries of one call to the table before its caller is told that the table
   can't tell: together they last about as long as a slow answer.  */
#define TRIES_MAX 3U
/* Pause before a call is tried again; it doubles, and half of it is left to
   chance, so that hosts which failed together don't come back together.  */
#define RETRY_MS 60U
#define RETRY_MAX_MS 480U
/* A program that has been idle for so long is forgotten, and what is left of
   its grant is lost: ten times the longest pause between two turns.  */
#define FORGET_MS 20000U
/* Histories kept in memory: a share of what the process may use.  */
#define CACHE_PART 4U

/**
 * struct mq_program - a program whose turns this host serves
 * @waiting: turns that wait for their budget, oldest first
 * @call: under way, NULL: none
 * @next: the record that is being written
 * @holder: names our grant
 * @running: turns that have a reservation
 * @tries: calls in a row that failed
 */
struct mq_program
{
  struct mq_turns *turns;
  struct mq_id key;
  char *id;
  char part[8];
  struct mq_budget budget;
  struct mq_budget_record next;
  struct mq_turn *waiting;
  struct mq_ledger_call *call;
  struct mq_timer *timer;
  uint64_t holder;
  uint32_t running;
  uint32_t tries;
  uint64_t used_ms;
};

struct mq_turns
{
  struct mq_router *router;
  struct mq_idmap *programs;
  struct mq_chain_cache *cache;
};

static void step_program (struct mq_program *program);
static void find_chain (struct mq_turn *turn);
static void write_turn (struct mq_turn *turn);

struct mq_turns *
mq_turns_create (struct mq_router *router)
{
  struct mq_turns *turns = talloc_zero (router, struct mq_turns);
  size_t bytes = (size_t)router->settings->memory_mb << 20;

  if (turns == NULL)
    return NULL;
  turns->router = router;
  turns->programs = mq_idmap_create (turns);
  turns->cache = mq_chain_cache_create (turns, bytes / CACHE_PART);
  return turns->cache == NULL ? NULL : turns;
}

static void
set_part (char part[8], const char *key)
{
  uint64_t hash = mq_hash_bytes (key, strlen (key), 0);

  snprintf (part, 8, "%02x", (unsigned int)(hash % MQ_TURN_PARTS));
}

static struct mq_timer *
set_retry (struct mq_turns *turns, TALLOC_CTX *ctx, uint32_t tries,
           mq_timer_handler *handler, void *data)
{
  uint32_t wait = RETRY_MS;

  for (uint32_t i = 1; i < tries && wait < RETRY_MAX_MS; i++)
    wait *= 2;
  wait = wait / 2 + mq_random_below (&turns->router->random, wait);

  return mq_timer_add (ctx, turns->router->ev, wait, handler, data);
}

/* Budgets */

static struct mq_program *
get_program (struct mq_turns *turns, const char *id)
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
  set_part (program->part, id);
  program->holder = mq_random_next (&turns->router->random);
  mq_idmap_put (turns->programs, key, 0, program);
  return program;
}

static void
forget_program (struct mq_program *program)
{
  mq_idmap_remove (program->turns->programs, program->key, 0);
  if (program->call != NULL)
    mq_ledger_cancel (program->call);
  talloc_free (program);
}

static void
tell_turn (struct mq_turn *turn, enum mq_turn_state state)
{
  turn->told (state, turn->user);
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

/* The table can't tell: whoever waits is told so.  */
static void
fail_waiting (struct mq_program *program)
{
  program->tries = 0;
  while (program->waiting != NULL)
    tell_turn (pop_waiting (program), MQ_TURN_NO_STORE);
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
          mq_json_begin (&line, program->turns->router->log, MQ_JSON_NOTE,
                         MQ_LOG_BUDGET_UNREADABLE);
          mq_json_text (&line, "run", program->id);
          mq_json_number (&line, "version", version);
          mq_json_end (&line);
        }
    }
  mq_budget_read (&program->budget, program->holder, &record, version);
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

/* No way to the table is open: whoever waits is better told at once.  */
static bool
is_away (const struct mq_turns *turns)
{
  return mq_ledger_down (turns->router->ledger);
}

static void
retry_program (struct mq_program *program)
{
  program->tries++;
  if (program->tries >= TRIES_MAX || is_away (program->turns))
    {
      fail_waiting (program);
      return;
    }
  program->timer = set_retry (program->turns, program, program->tries,
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
      if (++program->tries < TRIES_MAX)
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

/* Until when a record written now is kept, 0: the table's clock is not known.
 */
static uint64_t
kept_until (const struct mq_turns *turns, uint32_t retain_s)
{
  uint64_t now = mq_rows_clock_s (turns->router->rows);

  return now == 0 ? 0 : now + retain_s + MQ_RECORD_KEEP_S;
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

  program->next.until_s = kept_until (program->turns, 0);
  value = mq_budget_pack (program, &program->next);
  entry.value = value;
  router->counters.budget_writes++;
  program->call
      = mq_ledger_commit (router->ledger, &entry, on_written, program);
  talloc_free (value.data);
}

/* Serves the turns that wait, as far as the grant goes; then asks the table
   for more.  One call is under way at a time.  */
static void
step_program (struct mq_program *program)
{
  while (program->waiting != NULL && program->call == NULL
         && program->timer == NULL)
    {
      struct mq_turn *turn = program->waiting;

      switch (mq_budget_ask (&program->budget, program->holder, turn->limit,
                             turn->most, &program->next))
        {
        case MQ_BUDGET_READY:
          pop_waiting (program);
          turn->reserved = true;
          program->running++;
          tell_turn (turn, MQ_TURN_READY);
          break;
        case MQ_BUDGET_WRITE:
          write_program (program);
          break;
        case MQ_BUDGET_DOUBT:
          if (!turn->fresh)
            {
              read_program (program);
              break;
            }
          /* Read since the turn came: the record leaves no room for it.  */
          pop_waiting (program);
          tell_turn (turn, MQ_TURN_SPENT);
          break;
        case MQ_BUDGET_SPENT:
          pop_waiting (program);
          tell_turn (turn, MQ_TURN_SPENT);
          break;
        case MQ_BUDGET_READ:
          read_program (program);
          break;
        }
    }
}

static void
ask_budget (struct mq_turn *turn)
{
  struct mq_program *program;
  struct mq_turn **at;

  if (!turn->budgeted)
    {
      tell_turn (turn, MQ_TURN_READY);
      return;
    }
  program = get_program (turn->turns, turn->program);
  if (program == NULL)
    {
      tell_turn (turn, MQ_TURN_NO_STORE);
      return;
    }
  program->used_ms = mq_clock_ms ();
  turn->in = program;
  turn->waits = true;
  for (at = &program->waiting; *at != NULL; at = &(*at)->next)
    continue;
  *at = turn;
  step_program (program);
}

void
mq_turn_settle (struct mq_turn *turn, uint64_t used)
{
  if (!turn->reserved)
    return;
  turn->reserved = false;
  turn->in->running--;
  turn->in->used_ms = mq_clock_ms ();
  mq_budget_settle (&turn->in->budget, turn->most, used);
}

static bool
is_idle (const struct mq_program *program)
{
  return program->waiting == NULL && program->running == 0
         && program->call == NULL && program->timer == NULL;
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
    if (is_idle (program) && now - program->used_ms >= FORGET_MS)
      found[count++] = program;
  for (size_t i = 0; i < count; i++)
    forget_program (found[i]);
}

/* Histories */

static void
on_turn_retry (void *data)
{
  struct mq_turn *turn = data;

  turn->timer = NULL;
  if (turn->made != NULL)
    write_turn (turn);
  else
    find_chain (turn);
}

static void
retry_turn (struct mq_turn *turn)
{
  turn->tries++;
  turn->timer
      = set_retry (turn->turns, turn->turns, turn->tries, on_turn_retry, turn);
}

static void
set_missing (struct mq_turn *turn, const char *id)
{
  snprintf (turn->missing, sizeof turn->missing, "%s", id);
}

/* CHAIN is that of the turn that was missing, its own beginning may be missing
   too.  Takes CHAIN over.  */
static void
add_found (struct mq_turn *turn, struct mq_chain *chain, bool complete)
{
  set_missing (turn, complete ? "" : chain->base);
  if (turn->found == NULL)
    turn->found = chain;
  else
    {
      bool joined = mq_chain_prepend (turn->found, chain);

      talloc_free (chain);
      if (!joined)
        {
          tell_turn (turn, MQ_TURN_NO_STORE);
          return;
        }
    }
  if (turn->missing[0] != '\0')
    {
      find_chain (turn);
      return;
    }
  turn->before = turn->found;
  turn->found = NULL;
  ask_budget (turn);
}

static void
on_turn_read (const struct mq_rows_result *result, void *user)
{
  struct mq_turn *turn = user;
  struct mq_chain *chain;

  turn->call = NULL;
  if (result->status != MQ_STORE_OK)
    {
      if (turn->tries + 1 >= TRIES_MAX || is_away (turn->turns))
        tell_turn (turn, MQ_TURN_NO_STORE);
      else
        retry_turn (turn);
      return;
    }
  if (result->row_count == 0)
    {
      tell_turn (turn, MQ_TURN_NO_CHAIN);
      return;
    }
  chain = mq_chain_unpack (turn->turns, turn->missing, result->rows[0].value);
  if (chain == NULL)
    tell_turn (turn, MQ_TURN_NO_STORE);
  else
    add_found (turn, chain, false);
}

/* Finds the chain of the turn that is missing: in memory, else in its row.  A
   row that is not there proves that there is no such turn, since a turn's row
   is written before its answer ends.  */
static void
find_chain (struct mq_turn *turn)
{
  struct mq_turns *turns = turn->turns;
  const struct mq_chain *cached
      = mq_chain_cache_find (turns->cache, turn->missing);
  struct mq_chain *copy = NULL;
  char part[8];

  if (cached != NULL)
    copy = mq_chain_copy (turns, cached);
  if (copy != NULL)
    {
      add_found (turn, copy, true);
      return;
    }
  turns->router->counters.turn_reads++;
  set_part (part, turn->missing);
  turn->call = mq_ledger_get (turns->router->ledger, mq_turn_table, part,
                              turn->missing, on_turn_read, turn);
}

void
mq_turn_prepare (struct mq_turns *turns, struct mq_turn *turn)
{
  turn->turns = turns;
  if (turn->previous == NULL)
    {
      ask_budget (turn);
      return;
    }
  set_missing (turn, turn->previous);
  find_chain (turn);
}

static bool
is_ours (const struct mq_turn *turn, const struct mq_rows_result *result)
{
  const struct mq_bytes *there;

  if (result->row_count == 0)
    return false;
  there = &result->rows[0].value;
  return there->len == turn->record.len
         && memcmp (there->data, turn->record.data, there->len) == 0;
}

static void
end_keeping (struct mq_turn *turn)
{
  mq_chain_cache_put (turn->turns->cache, turn->made);
  turn->made = NULL;
  tell_turn (turn, MQ_TURN_KEPT);
}

static void check_turn (struct mq_turn *turn);

static void
on_turn_written (const struct mq_rows_result *result, void *user)
{
  struct mq_turn *turn = user;

  turn->call = NULL;
  /* An earlier try of this write may have been done without an answer.  */
  if (result->status == MQ_STORE_OK
      || (result->status == MQ_STORE_CONFLICT && is_ours (turn, result)))
    {
      end_keeping (turn);
      return;
    }
  if (result->status == MQ_STORE_CONFLICT)
    tell_turn (turn, MQ_TURN_NO_STORE);
  else if (result->status == MQ_STORE_LOST)
    check_turn (turn);
  else
    retry_turn (turn);
}

/* Nothing is there yet: the write is sent again; a late one then finds its
   condition broken.  */
static void
on_turn_checked (const struct mq_rows_result *result, void *user)
{
  struct mq_turn *turn = user;

  turn->call = NULL;
  if (result->status != MQ_STORE_OK)
    retry_turn (turn);
  else if (result->row_count == 0)
    write_turn (turn);
  else if (is_ours (turn, result))
    end_keeping (turn);
  else
    tell_turn (turn, MQ_TURN_NO_STORE);
}

/* A write got no answer: its row tells whether it was done.  */
static void
check_turn (struct mq_turn *turn)
{
  char part[8];

  set_part (part, turn->id);
  turn->call = mq_ledger_get (turn->turns->router->ledger, mq_turn_table, part,
                              turn->id, on_turn_checked, turn);
}

static void
write_turn (struct mq_turn *turn)
{
  struct mq_router *router = turn->turns->router;
  struct mq_rows_entry entry = { .table = mq_turn_table,
                                 .key = turn->id,
                                 .version = MQ_VERSION_ABSENT,
                                 .value = turn->record };
  char part[8];

  set_part (part, turn->id);
  entry.part = part;
  router->counters.turn_writes++;
  turn->call
      = mq_ledger_commit (router->ledger, &entry, on_turn_written, turn);
}

/* Tries until it is done or its caller's time is up.  */
void
mq_turn_keep (struct mq_turn *turn, struct mq_bytes input,
              struct mq_bytes output)
{
  turn->made
      = mq_chain_extend (turn->turns, turn->before, turn->id, input, output);
  if (turn->made != NULL)
    {
      turn->made->until_s = kept_until (turn->turns, turn->retain_s);
      turn->record = mq_chain_pack (turn->turns, turn->made);
    }
  if (turn->record.data == NULL)
    {
      tell_turn (turn, MQ_TURN_NO_STORE);
      return;
    }
  turn->tries = 0;
  write_turn (turn);
}

static void
leave_waiting (struct mq_turn *turn)
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

void
mq_turn_forget (struct mq_turn *turn)
{
  leave_waiting (turn);
  if (turn->call != NULL)
    mq_ledger_cancel (turn->call);
  turn->call = NULL;
  TALLOC_FREE (turn->timer);
  TALLOC_FREE (turn->found);
  TALLOC_FREE (turn->before);
  TALLOC_FREE (turn->made);
  TALLOC_FREE (turn->record.data);
}
