/* router_turn.c - histories of programs in the platform's table.

   A turn obtains its history and its budget before it is sent, and is stored
   before its response ends.  Rows are spread over the parts of the table by a
   hash of their key, to balance the writes.
   Needs: router_turns.h, id.h, clock.h.  */

#include "router_turns.h"
#include "core/id.h"
#include "net/clock.h"
#include <stdio.h>
#include <string.h>

const char mq_turn_table[] = "turn";

/* Divisor of the memory limit that bounds the cache of histories.  */
#define CACHE_MEMORY_DIVISOR 4U

static void find_chain (struct mq_turn *turn);
static void read_candidate (struct mq_turn *turn);
static void write_turn (struct mq_turn *turn);
static void begin_write (struct mq_turn *turn);

struct mq_turns *
mq_turns_create (struct mq_router *router)
{
  struct mq_turns *turns = talloc_zero (router, struct mq_turns);
  size_t bytes = (size_t)router->settings->memory_mb << 20;

  if (turns == NULL)
    return NULL;
  turns->router = router;
  turns->programs = mq_idmap_create (turns);
  mq_rows_set_recovery_handler (router->rows, mq_retry_all, router);
  turns->cache = mq_chain_cache_create (turns, bytes / CACHE_MEMORY_DIVISOR);
  return turns->cache == NULL ? NULL : turns;
}

void
mq_turn_select_part (char part[MQ_PART_NAME_BYTES], const char *key,
                     uint32_t candidate)
{
  uint64_t hash = mq_hash_bytes (key, strlen (key), 0);
  /* With an odd step and a power of two parts, all candidates differ.  */
  uint64_t step = hash / MQ_TURN_PARTS | 1U;

  snprintf (part, MQ_PART_NAME_BYTES, "%02x",
            (unsigned int)((hash + candidate * step) % MQ_TURN_PARTS));
}

bool
mq_turns_part_unavailable (const struct mq_turns *turns, const char *part)
{
  return mq_table_client_part_down (turns->router->table_client, part);
}

uint64_t
mq_turns_expiry_s (const struct mq_turns *turns, uint32_t retain_s)
{
  uint64_t now = mq_rows_clock_s (turns->router->rows);

  return now == 0 ? 0 : now + retain_s + MQ_RECORD_GRACE_PERIOD_S;
}

void
mq_turn_notify (struct mq_turn *turn, enum mq_turn_state state)
{
  if (state == MQ_TURN_READY && turn->owner != NULL)
    turn->stream_version = mq_program_stream_version (turn->owner);
  turn->notify (state, turn->user);
}

static void
on_turn_retry (void *data)
{
  struct mq_turn *turn = data;

  turn->retry = NULL;
  if (turn->new_chain != NULL)
    begin_write (turn);
  else
    find_chain (turn);
}

static void
retry_turn (struct mq_turn *turn)
{
  turn->tries++;
  turn->retry
      = mq_retry_schedule (turn->turns, turn->tries, on_turn_retry, turn);
}

static void
set_missing (struct mq_turn *turn, const char *id)
{
  snprintf (turn->missing_id, sizeof turn->missing_id, "%s", id);
}

/* Caches a history read from the table.

   Failure: when the table becomes unavailable before the turn ends, the
   retried turn finds its history on no host.  */
static void
cache_chain (struct mq_turns *turns, const struct mq_chain *chain)
{
  struct mq_chain *copy;

  if (mq_chain_cache_find (turns->cache, chain->id) != NULL)
    return;
  copy = mq_chain_copy (turns, chain);
  if (copy != NULL)
    mq_chain_cache_put (turns->cache, copy);
}

/* Adds CHAIN, the chain of the missing turn, and takes ownership of it.  If it
   is not COMPLETE, its beginning is looked up next.  */
static void
add_chain (struct mq_turn *turn, struct mq_chain *chain, bool complete)
{
  set_missing (turn, complete ? "" : chain->base);
  if (turn->partial_chain == NULL)
    turn->partial_chain = chain;
  else
    {
      bool joined = mq_chain_prepend (turn->partial_chain, chain);

      talloc_free (chain);
      if (!joined)
        {
          mq_turn_notify (turn, MQ_TURN_STORE_UNAVAILABLE);
          return;
        }
    }
  if (turn->missing_id[0] != '\0')
    {
      find_chain (turn);
      return;
    }
  cache_chain (turn->turns, turn->partial_chain);
  turn->history = turn->partial_chain;
  turn->partial_chain = NULL;
  mq_program_reserve (turn);
}

/* All candidate parts were read or are unavailable.  */
static void
finish_reading (struct mq_turn *turn)
{
  if (turn->unreadable == 0)
    mq_turn_notify (turn, MQ_TURN_NOT_FOUND);
  else if (turn->tries + 1 >= MQ_TURN_ATTEMPTS_MAX
           || turn->unreadable == MQ_TURN_CANDIDATE_PARTS
           || mq_table_client_down (turn->turns->router->table_client))
    mq_loan_request (turn);
  else
    retry_turn (turn);
}

static void
on_turn_read (const struct mq_rows_result *result, void *user)
{
  struct mq_turn *turn = user;
  struct mq_chain *chain;

  turn->call = NULL;
  if (result->status != MQ_STORE_OK)
    turn->unreadable++;
  if (result->status != MQ_STORE_OK || result->row_count == 0)
    {
      turn->candidate++;
      read_candidate (turn);
      return;
    }
  chain
      = mq_chain_unpack (turn->turns, turn->missing_id, result->rows[0].value);
  if (chain == NULL)
    mq_turn_notify (turn, MQ_TURN_STORE_UNAVAILABLE);
  else
    add_chain (turn, chain, false);
}

bool
mq_turn_is_cached (const struct mq_turn *turn)
{
  return mq_chain_cache_find (turn->turns->cache, turn->missing_id) != NULL;
}

void
mq_turn_use_cached (struct mq_turn *turn)
{
  struct mq_turns *turns = turn->turns;
  struct mq_chain *copy = mq_chain_copy (
      turns, mq_chain_cache_find (turns->cache, turn->missing_id));

  if (copy == NULL)
    mq_turn_read_history (turn);
  else
    add_chain (turn, copy, true);
}

/* Reads the row from the current candidate part, or the next one
   available.  */
static void
read_candidate (struct mq_turn *turn)
{
  struct mq_turns *turns = turn->turns;
  char part[MQ_PART_NAME_BYTES];

  for (; turn->candidate < MQ_TURN_CANDIDATE_PARTS;
       turn->candidate++, turn->unreadable++)
    {
      mq_turn_select_part (part, turn->missing_id, turn->candidate);
      if (mq_turns_part_unavailable (turns, part))
        continue;
      turns->router->counters.turn_reads++;
      turn->call
          = mq_table_client_get (turns->router->table_client, mq_turn_table,
                                 part, turn->missing_id, on_turn_read, turn);
      return;
    }
  finish_reading (turn);
}

/* If all candidate parts can be read and none has the row, the turn does not
   exist: a row is written before its response ends.  */
void
mq_turn_read_history (struct mq_turn *turn)
{
  turn->candidate = 0;
  turn->unreadable = 0;
  read_candidate (turn);
}

/* Ends TURN: finds the chain of the missing turn, in the cache, at a host of
   this data centre, or in the table.  */
static void
find_chain (struct mq_turn *turn)
{
  if (mq_turn_is_cached (turn))
    mq_turn_use_cached (turn);
  else if (!turn->queried_nearby && turn->partial_chain == NULL)
    mq_loan_request_nearby (turn);
  else
    mq_turn_read_history (turn);
}

void
mq_turn_prepare (struct mq_turns *turns, struct mq_turn *turn)
{
  turn->turns = turns;
  if (turn->previous == NULL)
    {
      mq_program_reserve (turn);
      return;
    }
  set_missing (turn, turn->previous);
  find_chain (turn);
}

static bool
is_own_record (const struct mq_turn *turn, const struct mq_rows_result *result)
{
  const struct mq_bytes *there;

  if (result->row_count == 0)
    return false;
  there = &result->rows[0].value;
  return there->len == turn->record.len
         && memcmp (there->data, turn->record.data, there->len) == 0;
}

static void
finish_store (struct mq_turn *turn)
{
  if (turn->program != NULL)
    mq_handover_history (turn->turns, turn->program, turn->new_chain);
  mq_chain_cache_put (turn->turns->cache, turn->new_chain);
  turn->new_chain = NULL;
  mq_turn_notify (turn, MQ_TURN_STORED);
}

static void verify_write (struct mq_turn *turn);

/* Writes the row to the next candidate part.  If the first write completes
   late, the same row exists twice, which is harmless.

   Failure: while a part of the table is unresponsive, turns whose rows belong
   there could not end.  */
static bool
write_to_next_candidate (struct mq_turn *turn)
{
  char part[MQ_PART_NAME_BYTES];

  while (!mq_table_client_down (turn->turns->router->table_client)
         && ++turn->candidate < MQ_TURN_CANDIDATE_PARTS)
    {
      mq_turn_select_part (part, turn->id, turn->candidate);
      if (mq_turns_part_unavailable (turn->turns, part))
        continue;
      write_turn (turn);
      return true;
    }
  turn->candidate = 0;
  return false;
}

const char *
mq_turn_write_failure (enum mq_store_status status)
{
  switch (status)
    {
    case MQ_STORE_CONFLICT:
      return "conflict";
    case MQ_STORE_LOST:
      return "lost";
    case MQ_STORE_REJECTED:
      return "rejected";
    case MQ_STORE_OK:
    case MQ_STORE_MISSING:
    case MQ_STORE_DOWN:
      break;
    }
  return "down";
}

/* Tells a host that does not answer from a table that does not.  */
static void
log_failed_write (const struct mq_turn *turn,
                  const struct mq_rows_result *result)
{
  struct mq_json_line line;

  mq_json_begin (&line, turn->turns->router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_RECORD_NOT_WRITTEN);
  mq_json_text (&line, "id", turn->id);
  mq_json_text (&line, "run", turn->program);
  mq_json_text (&line, "how", mq_turn_write_failure (result->status));
  mq_json_text (&line, "record_host", result->host);
  mq_json_number (&line, "record_ms", mq_clock_ms () - turn->record_sent_ms);
  mq_json_number (&line, "table_ms",
                  mq_rows_latency_ms (turn->turns->router->rows));
  mq_json_end (&line);
}

static void
on_turn_written (const struct mq_rows_result *result, void *user)
{
  struct mq_turn *turn = user;

  turn->call = NULL;
  /* An earlier attempt at this write may have succeeded without a reply.  */
  if (result->status == MQ_STORE_OK
      || (result->status == MQ_STORE_CONFLICT && is_own_record (turn, result)))
    {
      finish_store (turn);
      return;
    }
  log_failed_write (turn, result);
  if (result->status == MQ_STORE_CONFLICT
      || result->status == MQ_STORE_REJECTED)
    mq_turn_notify (turn, MQ_TURN_STORE_UNAVAILABLE);
  else if (result->status == MQ_STORE_LOST)
    verify_write (turn);
  else if (!write_to_next_candidate (turn))
    retry_turn (turn);
}

/* If the row is absent, the write is repeated; should the first one complete
   late, its version check fails.  */
static void
on_write_verified (const struct mq_rows_result *result, void *user)
{
  struct mq_turn *turn = user;

  turn->call = NULL;
  if (result->status != MQ_STORE_OK)
    {
      if (!write_to_next_candidate (turn))
        retry_turn (turn);
    }
  else if (result->row_count == 0)
    write_turn (turn);
  else if (is_own_record (turn, result))
    finish_store (turn);
  else
    mq_turn_notify (turn, MQ_TURN_STORE_UNAVAILABLE);
}

/* The write got no reply: reads the row to find out whether it succeeded.  */
static void
verify_write (struct mq_turn *turn)
{
  char part[MQ_PART_NAME_BYTES];

  mq_turn_select_part (part, turn->id, turn->candidate);
  turn->call
      = mq_table_client_get (turn->turns->router->table_client, mq_turn_table,
                             part, turn->id, on_write_verified, turn);
}

static void
write_turn (struct mq_turn *turn)
{
  struct mq_router *router = turn->turns->router;
  struct mq_rows_entry entry = { .table = mq_turn_table,
                                 .key = turn->id,
                                 .version = MQ_VERSION_ABSENT,
                                 .value = turn->record };
  char part[MQ_PART_NAME_BYTES];

  mq_turn_select_part (part, turn->id, turn->candidate);
  entry.part = part;
  router->counters.turn_writes++;
  turn->record_writes++;
  turn->record_sent_ms = mq_clock_ms ();
  turn->call = mq_table_client_commit (router->table_client, &entry,
                                       on_turn_written, turn);
}

/* Writes to the first candidate part that is available.  */
static void
begin_write (struct mq_turn *turn)
{
  char part[MQ_PART_NAME_BYTES];

  turn->candidate = 0;
  mq_turn_select_part (part, turn->id, 0);
  if (!mq_turns_part_unavailable (turn->turns, part)
      || !write_to_next_candidate (turn))
    write_turn (turn);
}

/* Retries until the row is stored or the turn is cancelled at its
   deadline.  */
void
mq_turn_store (struct mq_turn *turn, struct mq_bytes input,
               struct mq_bytes output)
{
  turn->new_chain
      = mq_chain_extend (turn->turns, turn->history, turn->id, input, output);
  if (turn->new_chain != NULL)
    {
      turn->new_chain->until_s
          = mq_turns_expiry_s (turn->turns, turn->retain_s);
      turn->record = mq_chain_pack (turn->turns, turn->new_chain);
    }
  if (turn->record.data == NULL)
    {
      mq_turn_notify (turn, MQ_TURN_STORE_UNAVAILABLE);
      return;
    }
  turn->tries = 0;
  begin_write (turn);
}

void
mq_turn_log_record (const struct mq_turn *turn, struct mq_json_line *line)
{
  struct mq_commit_progress progress = { .host = NULL };
  const char *step = "read";

  if (turn->retry != NULL)
    step = "backoff";
  else if (mq_table_client_write_progress (turn->call, &progress))
    step = progress.sent ? "sent" : "queued";
  mq_json_text (line, "record", step);
  mq_json_number (line, "record_ms", progress.waited_ms);
  mq_json_text (line, "record_host", progress.host);
  mq_json_number (line, "record_writes", turn->record_writes);
  mq_json_number (line, "table_ms",
                  mq_rows_latency_ms (turn->turns->router->rows));
}

void
mq_turn_cancel (struct mq_turn *turn)
{
  mq_program_dequeue (turn);
  mq_loan_cancel (turn->loan);
  turn->loan = NULL;
  if (turn->call != NULL)
    mq_table_client_cancel (turn->call);
  turn->call = NULL;
  TALLOC_FREE (turn->retry);
  TALLOC_FREE (turn->partial_chain);
  TALLOC_FREE (turn->history);
  TALLOC_FREE (turn->new_chain);
  TALLOC_FREE (turn->record.data);
}
