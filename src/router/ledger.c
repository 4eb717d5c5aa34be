/* ledger.c - calls to the platform's table by whichever way is open.

   Needs: ledger.h, commit_queue.h, clock.h.  */

#include "ledger.h"
#include "commit_queue.h"
#include "net/clock.h"
#include <stdlib.h>

/* After a call that neither way could make, the table counts as down for so
   long.  */
#define DOWN_MS 300U

struct mq_ledger
{
  struct mq_rows *rows;
  struct mq_relay *relay;
  struct mq_commit_queue *commits;
  uint64_t down_until_ms;
  struct mq_histogram read_ms;
  struct mq_histogram write_ms;
};

/**
 * struct mq_ledger_call - one call
 * @began_ms: when it was asked for
 * @entry: what is written or read; its strings are below the call
 * @write: the write, NULL: it is a read
 * @direct: read under way without another host, NULL: not
 * @relayed: read under way through another host, NULL: not
 */
struct mq_ledger_call
{
  struct mq_ledger *ledger;
  bool commit;
  uint64_t began_ms;
  struct mq_rows_entry entry;
  struct mq_commit *write;
  struct mq_rows_call *direct;
  struct mq_relay_call *relayed;
  mq_rows_done *done;
  void *user;
};

struct mq_ledger *
mq_ledger_create (TALLOC_CTX *ctx, struct mq_rows *rows,
                  struct mq_relay *relay)
{
  struct mq_ledger *ledger = talloc_zero (ctx, struct mq_ledger);

  if (ledger == NULL)
    return NULL;
  ledger->rows = rows;
  ledger->relay = relay;
  ledger->commits = mq_commit_queue_create (ledger, rows, relay);
  mq_relay_set_write (relay, mq_commit_for_other, ledger->commits);
  return ledger;
}

static void
end_call (struct mq_ledger_call *call, const struct mq_rows_result *result)
{
  struct mq_ledger *ledger = call->ledger;

  mq_histogram_add (call->commit ? &ledger->write_ms : &ledger->read_ms,
                    mq_clock_ms () - call->began_ms);
  if (result->status == MQ_STORE_DOWN
      && !mq_rows_part_suspect (ledger->rows, call->entry.part))
    ledger->down_until_ms = mq_clock_ms () + DOWN_MS;
  else if (result->status != MQ_STORE_LOST)
    ledger->down_until_ms = 0;
  call->done (result, call->user);
  talloc_free (call);
}

static void
on_relayed (const struct mq_rows_result *result, void *user)
{
  struct mq_ledger_call *call = user;

  call->relayed = NULL;
  end_call (call, result);
}

static void
relay_call (struct mq_ledger_call *call)
{
  const struct mq_rows_entry *entry = &call->entry;

  call->relayed = mq_relay_get (call->ledger->relay, entry->table, entry->part,
                                entry->key, on_relayed, call);
}

static void
on_written (const struct mq_rows_result *result, void *user)
{
  struct mq_ledger_call *call = user;

  call->write = NULL;
  end_call (call, result);
}

/* A call that the table turned away, or that did not reach it, was certainly
   not done: another host may make it.  Where the table answered this host
   meanwhile, it is a part of the table that does not, to nobody.  */
static void
on_direct (const struct mq_rows_result *result, void *user)
{
  struct mq_ledger_call *call = user;

  call->direct = NULL;
  if (result->status == MQ_STORE_DOWN
      && mq_relay_host_count (call->ledger->relay) > 0
      && !mq_rows_part_suspect (call->ledger->rows, call->entry.part))
    relay_call (call);
  else
    end_call (call, result);
}

static void
start_call (struct mq_ledger_call *call)
{
  struct mq_ledger *ledger = call->ledger;
  const struct mq_rows_entry *entry = &call->entry;

  if (call->commit)
    call->write = mq_commit_add (ledger->commits, entry, on_written, call);
  else if (mq_rows_down (ledger->rows)
           && mq_relay_host_count (ledger->relay) > 0)
    relay_call (call);
  else
    call->direct = mq_rows_get (ledger->rows, entry->table, entry->part,
                                entry->key, on_direct, call);
}

static struct mq_ledger_call *
make_call (struct mq_ledger *ledger, const struct mq_rows_entry *entry,
           bool commit, mq_rows_done *done, void *user)
{
  struct mq_ledger_call *call = talloc_zero (ledger, struct mq_ledger_call);

  /* Whoever asks counts on an outcome; without memory there is none.  */
  if (call == NULL)
    abort ();
  call->ledger = ledger;
  call->commit = commit;
  call->began_ms = mq_clock_ms ();
  call->done = done;
  call->user = user;
  call->entry = *entry;
  call->entry.table = talloc_strdup (call, entry->table);
  call->entry.part = talloc_strdup (call, entry->part);
  call->entry.key = talloc_strdup (call, entry->key);
  call->entry.value.data
      = talloc_memdup (call, entry->value.data, entry->value.len);
  start_call (call);
  return call;
}

struct mq_ledger_call *
mq_ledger_commit (struct mq_ledger *ledger, const struct mq_rows_entry *entry,
                  mq_rows_done *done, void *user)
{
  return make_call (ledger, entry, true, done, user);
}

struct mq_ledger_call *
mq_ledger_get (struct mq_ledger *ledger, const char *table, const char *part,
               const char *key, mq_rows_done *done, void *user)
{
  struct mq_rows_entry entry = { .table = table, .part = part, .key = key };

  return make_call (ledger, &entry, false, done, user);
}

void
mq_ledger_cancel (struct mq_ledger_call *call)
{
  if (call == NULL)
    return;
  if (call->write != NULL)
    mq_commit_cancel (call->write);
  if (call->direct != NULL)
    mq_rows_cancel (call->direct);
  if (call->relayed != NULL)
    mq_relay_cancel (call->relayed);
  talloc_free (call);
}

const struct mq_histogram *
mq_ledger_read_ms (const struct mq_ledger *ledger)
{
  return &ledger->read_ms;
}

const struct mq_histogram *
mq_ledger_write_ms (const struct mq_ledger *ledger)
{
  return &ledger->write_ms;
}

const struct mq_histogram *
mq_ledger_batch_rows (const struct mq_ledger *ledger)
{
  return mq_commit_queue_rows (ledger->commits);
}

bool
mq_ledger_part_down (const struct mq_ledger *ledger, const char *part)
{
  return mq_ledger_down (ledger) || mq_rows_part_down (ledger->rows, part);
}

bool
mq_ledger_down (const struct mq_ledger *ledger)
{
  return mq_rows_down (ledger->rows) && mq_clock_ms () < ledger->down_until_ms;
}
