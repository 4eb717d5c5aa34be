/* table_client.c - calls to the platform's table, directly or through
   another host.



   Needs: table_client.h, commit_queue.h, clock.h.  */

#include "table_client.h"
#include "commit_queue.h"
#include "net/clock.h"
#include <stdlib.h>

/* Time the table counts as unavailable after a call failed both directly and
   through another host.  */
#define DOWN_HOLD_MS 300U

struct mq_table_client
{
  struct mq_rows *rows;
  struct mq_relay *relay;
  struct mq_commit_queue *commits;
  uint64_t down_until_ms;
  struct mq_histogram read_ms;
  struct mq_histogram write_ms;
};

/**
 * struct mq_table_client_call - one call
 * @commit: a write, else a read
 * @entry: strings are owned by the call
 * @write: write in progress, or NULL
 * @direct: read sent to the table, or NULL
 * @relayed: read sent through another host, or NULL
 */
struct mq_table_client_call
{
  struct mq_table_client *table_client;
  bool commit;
  uint64_t began_ms;
  struct mq_rows_entry entry;
  struct mq_commit *write;
  struct mq_rows_call *direct;
  struct mq_relay_call *relayed;
  mq_rows_done *done;
  void *user;
};

struct mq_table_client *
mq_table_client_create (TALLOC_CTX *ctx, struct mq_rows *rows,
                        struct mq_relay *relay)
{
  struct mq_table_client *table_client
      = talloc_zero (ctx, struct mq_table_client);

  if (table_client == NULL)
    return NULL;
  table_client->rows = rows;
  table_client->relay = relay;
  table_client->commits = mq_commit_queue_create (table_client, rows, relay);
  mq_relay_set_write_handler (relay, mq_commit_add_relayed,
                              table_client->commits);
  return table_client;
}

static void
end_call (struct mq_table_client_call *call,
          const struct mq_rows_result *result)
{
  struct mq_table_client *table_client = call->table_client;

  mq_histogram_add (call->commit ? &table_client->write_ms
                                 : &table_client->read_ms,
                    mq_clock_ms () - call->began_ms);
  if (result->status == MQ_STORE_DOWN
      && !mq_rows_part_suspect (table_client->rows, call->entry.part))
    table_client->down_until_ms = mq_clock_ms () + DOWN_HOLD_MS;
  else if (result->status != MQ_STORE_LOST)
    table_client->down_until_ms = 0;
  call->done (result, call->user);
  talloc_free (call);
}

static void
on_relayed (const struct mq_rows_result *result, void *user)
{
  struct mq_table_client_call *call = user;

  call->relayed = NULL;
  end_call (call, result);
}

static void
relay_call (struct mq_table_client_call *call)
{
  const struct mq_rows_entry *entry = &call->entry;

  call->relayed = mq_relay_get (call->table_client->relay, entry->table,
                                entry->part, entry->key, on_relayed, call);
}

static void
on_written (const struct mq_rows_result *result, void *user)
{
  struct mq_table_client_call *call = user;

  call->write = NULL;
  end_call (call, result);
}

/* DOWN means that the call was not executed, so another host may retry it.  A
   suspect part does not answer other hosts either.  */
static void
on_direct (const struct mq_rows_result *result, void *user)
{
  struct mq_table_client_call *call = user;

  call->direct = NULL;
  if (result->status == MQ_STORE_DOWN
      && mq_relay_host_count (call->table_client->relay) > 0
      && !mq_rows_part_suspect (call->table_client->rows, call->entry.part))
    relay_call (call);
  else
    end_call (call, result);
}

static void
start_call (struct mq_table_client_call *call)
{
  struct mq_table_client *table_client = call->table_client;
  const struct mq_rows_entry *entry = &call->entry;

  if (call->commit)
    call->write
        = mq_commit_add (table_client->commits, entry, on_written, call);
  else if (mq_rows_down (table_client->rows)
           && mq_relay_host_count (table_client->relay) > 0)
    relay_call (call);
  else
    call->direct = mq_rows_get (table_client->rows, entry->table, entry->part,
                                entry->key, on_direct, call);
}

static struct mq_table_client_call *
make_call (struct mq_table_client *table_client,
           const struct mq_rows_entry *entry, bool commit, mq_rows_done *done,
           void *user)
{
  struct mq_table_client_call *call
      = talloc_zero (table_client, struct mq_table_client_call);

  /* The caller relies on the callback, which is impossible without memory.  */
  if (call == NULL)
    abort ();
  call->table_client = table_client;
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

struct mq_table_client_call *
mq_table_client_commit (struct mq_table_client *table_client,
                        const struct mq_rows_entry *entry, mq_rows_done *done,
                        void *user)
{
  return make_call (table_client, entry, true, done, user);
}

struct mq_table_client_call *
mq_table_client_get (struct mq_table_client *table_client, const char *table,
                     const char *part, const char *key, mq_rows_done *done,
                     void *user)
{
  struct mq_rows_entry entry = { .table = table, .part = part, .key = key };

  return make_call (table_client, &entry, false, done, user);
}

void
mq_table_client_cancel (struct mq_table_client_call *call)
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

bool
mq_table_client_write_progress (const struct mq_table_client_call *call,
                                struct mq_commit_progress *progress)
{
  if (call == NULL || call->write == NULL)
    return false;
  *progress = mq_commit_progress (call->write);
  return true;
}

const struct mq_histogram *
mq_table_client_read_ms (const struct mq_table_client *table_client)
{
  return &table_client->read_ms;
}

const struct mq_histogram *
mq_table_client_write_ms (const struct mq_table_client *table_client)
{
  return &table_client->write_ms;
}

const struct mq_histogram *
mq_table_client_batch_rows (const struct mq_table_client *table_client)
{
  return mq_commit_queue_rows (table_client->commits);
}

bool
mq_table_client_part_down (const struct mq_table_client *table_client,
                           const char *part)
{
  return mq_table_client_down (table_client)
         || mq_rows_part_down (table_client->rows, part);
}

bool
mq_table_client_down (const struct mq_table_client *table_client)
{
  return mq_rows_down (table_client->rows)
         && mq_clock_ms () < table_client->down_until_ms;
}
