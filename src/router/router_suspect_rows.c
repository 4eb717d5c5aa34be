/* router_suspect_rows.c - rows of ended runs in the platform's table, for
   hosts that start.

   A request has a row once two workers ended under it.  It is read before it
   is written, since hosts that don't know of each other may have written it.
   Failure: all hosts are lost at once, and a request ends as many workers
   again.
   Needs: router_state.h, relay_frame.h, frame.h, id.h, memory.h, clock.h.  */

#include "core/id.h"
#include "core/memory.h"
#include "net/clock.h"
#include "net/frame.h"
#include "relay_frame.h"
#include "router_state.h"

/* The key of a row is the request's identity.  */
static const char run_end_table[] = "run-end";

/* Rows that are older are removed by a host that reads them.  */
#define ROW_TTL_MS (2UL * MQ_SUSPECTS_REJECT_MS)

static void
on_written (const struct mq_rows_result *result, void *user)
{
  struct mq_router *router = user;
  struct mq_json_line line;

  if (result->status == MQ_STORE_OK)
    return;
  mq_json_begin (&line, router->log, MQ_JSON_LOW_PRIORITY,
                 MQ_LOG_RUN_ENDS_NOT_WRITTEN);
  mq_json_text (&line, "how",
                result->status == MQ_STORE_LOST ? "lost" : "down");
  mq_json_end (&line);
}

/* Writes or removes the row KEY.  */
static void
commit (struct mq_router *router, const char *key, struct mq_bytes value,
        bool remove)
{
  struct mq_rows_entry entry = { .table = run_end_table,
                                 .part = "",
                                 .key = key,
                                 .version = MQ_VERSION_ANY,
                                 .value = value,
                                 .remove = remove };

  router->counters.run_end_writes++;
  mq_rows_commit (router->rows, &entry, 1, on_written, router);
}

/* Writes what is known of WORK.  */
static void
write_row (struct mq_router *router, struct mq_id work)
{
  TALLOC_CTX *ctx = mq_check_alloc (talloc_new (NULL));
  struct mq_suspects_end ends[MQ_SUSPECTS_KEPT_MAX];
  size_t count = mq_suspects_ends (mq_suspect_watch_list (router->suspects),
                                   work, ends, mq_clock_ms ());
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_RUN_ENDS,
          .u.run_ends = { .ends = ends,
                          .count = count,
                          .written_s = mq_rows_clock_s (router->rows),
                          .written_ms = mq_rows_clock_ms (router->rows) } };
  struct mq_bytes bytes = mq_relay_frame_pack (ctx, &frame);
  char key[MQ_ID_TEXT];

  mq_id_format (work, key);
  if (count > 0)
    commit (router, key,
            (struct mq_bytes){ bytes.data + MQ_FRAME_HEADER_BYTES,
                               bytes.len - MQ_FRAME_HEADER_BYTES },
            false);
  talloc_free (ctx);
}

/* Longest time since the row was written, milliseconds: its ends must not seem
   to overlap with later runs.  Clocks differ by the table's latency.  */
static uint64_t
row_age_ms (const struct mq_router *router,
            const struct mq_relay_run_ends *ends)
{
  uint64_t now = mq_rows_clock_ms (router->rows);
  uint64_t written = ends->written_ms;
  uint64_t unknown = mq_rows_latency_ms (router->rows);

  if (written == 0)
    {
      written = ends->written_s * 1000U;
      unknown += 1000U;
    }
  return (now > written ? now - written : 0) + unknown;
}

/* Takes the ends of a row that was written AGE_MS ago.  */
static void
take_row (struct mq_router *router, const struct mq_relay_run_ends *ends,
          uint64_t age_ms)
{
  for (size_t i = 0; i < ends->count && i < MQ_SUSPECTS_KEPT_MAX; i++)
    {
      struct mq_suspects_end end = ends->ends[i];

      end.age_ms += (uint32_t)age_ms;
      mq_suspect_watch_take (router->suspects, &end);
    }
}

/**
 * struct update - a row that is read before it is written again
 */
struct update
{
  struct mq_router *router;
  struct mq_id work;
};

static void take_value (struct mq_router *router,
                        const struct mq_rows_entry *row);

/* The request may have been cleared meanwhile.  */
static void
on_read (const struct mq_rows_result *result, void *user)
{
  struct update *update = user;
  struct mq_router *router = update->router;
  struct mq_suspects *suspects = mq_suspect_watch_list (router->suspects);

  if (mq_suspects_is_known (suspects, update->work))
    {
      for (size_t i = 0; i < result->row_count; i++)
        if (result->rows[i].version != MQ_VERSION_ABSENT)
          take_value (router, &result->rows[i]);
      write_row (router, update->work);
    }
  talloc_free (update);
}

void
mq_suspect_rows_update (struct mq_router *router, struct mq_id work)
{
  struct update *update = talloc_zero (router, struct update);
  char key[MQ_ID_TEXT];

  if (update == NULL)
    return;
  *update = (struct update){ router, work };
  mq_id_format (work, key);
  mq_rows_get (router->rows, run_end_table, "", key, on_read, update);
}

void
mq_suspect_rows_remove (struct mq_router *router, struct mq_id work)
{
  char key[MQ_ID_TEXT];

  mq_id_format (work, key);
  commit (router, key, (struct mq_bytes){ NULL, 0 }, true);
}

/* A row that can't be read or is old is removed.  */
static void
take_value (struct mq_router *router, const struct mq_rows_entry *row)
{
  struct mq_relay_frame *frame
      = mq_relay_frame_unpack (NULL, row->value.data, row->value.len);
  bool valid = frame != NULL && frame->kind == MQ_RELAY_RUN_ENDS;
  uint64_t age_ms = valid ? row_age_ms (router, &frame->u.run_ends) : 0;

  if (!valid || age_ms > ROW_TTL_MS)
    commit (router, row->key, (struct mq_bytes){ NULL, 0 }, true);
  else
    take_row (router, &frame->u.run_ends, age_ms);
  talloc_free (frame);
}

static void
on_row (const struct mq_rows_entry *row, void *user)
{
  take_value (user, row);
}

static void
on_list (bool begins, void *user)
{
  (void)begins;
  (void)user;
}

bool
mq_suspect_rows_read (struct mq_router *router)
{
  struct mq_rows_watcher watcher
      = { .list = on_list, .row = on_row, .user = router };

  if (!mq_rows_feeds_healthy (router->rows)
      || mq_rows_clock_s (router->rows) == 0)
    return false;
  mq_rows_list (router->rows, run_end_table, &watcher);
  return true;
}
