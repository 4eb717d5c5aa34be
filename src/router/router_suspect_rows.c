/* router_suspect_rows.c - rows of ended runs in the platform's table, for
   hosts that start.

   A request has a row once two workers ended under it.  Failure: all hosts are
   lost at once, and a request ends as many workers again.
   Needs: router_state.h, relay_frame.h, frame.h, id.h, memory.h.  */

#include "core/id.h"
#include "core/memory.h"
#include "net/frame.h"
#include "relay_frame.h"
#include "router_state.h"

/* The key of a row is the request's identity.  */
static const char run_end_table[] = "run-end";

/* Rows that are older are removed by a host that reads them.  */
#define ROW_TTL_S (2U * MQ_SUSPECTS_REJECT_MS / 1000U)

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

void
mq_suspect_rows_write (struct mq_router *router,
                       const struct mq_suspects_end *ends, size_t count)
{
  TALLOC_CTX *ctx = mq_check_alloc (talloc_new (NULL));
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_RUN_ENDS,
          .u.run_ends = { .ends = ends,
                          .count = count,
                          .written_s = mq_rows_clock_s (router->rows) } };
  struct mq_bytes bytes = mq_relay_frame_pack (ctx, &frame);
  char key[MQ_ID_TEXT];

  mq_id_format (ends[0].work, key);
  commit (router, key,
          (struct mq_bytes){ bytes.data + MQ_FRAME_HEADER_BYTES,
                             bytes.len - MQ_FRAME_HEADER_BYTES },
          false);
  talloc_free (ctx);
}

void
mq_suspect_rows_remove (struct mq_router *router, struct mq_id work)
{
  char key[MQ_ID_TEXT];

  mq_id_format (work, key);
  commit (router, key, (struct mq_bytes){ NULL, 0 }, true);
}

/* Takes the ends of a row that was written AGE_S ago, less up to a second:
   they must not seem to overlap with later runs.  */
static void
take_row (struct mq_router *router, const struct mq_relay_run_ends *ends,
          uint64_t age_s)
{
  for (size_t i = 0; i < ends->count && i < MQ_SUSPECTS_KEPT_MAX; i++)
    {
      struct mq_suspects_end end = ends->ends[i];

      end.age_ms += (uint32_t)((age_s + 1U) * 1000U);
      mq_suspect_watch_take (router->suspects, &end);
    }
}

static void
on_row (const struct mq_rows_entry *row, void *user)
{
  struct mq_router *router = user;
  uint64_t now_s = mq_rows_clock_s (router->rows);
  struct mq_relay_frame *frame
      = mq_relay_frame_unpack (NULL, row->value.data, row->value.len);
  bool valid = frame != NULL && frame->kind == MQ_RELAY_RUN_ENDS;
  uint64_t written_s = valid ? frame->u.run_ends.written_s : 0;

  if (!valid || now_s > written_s + ROW_TTL_S)
    commit (router, row->key, (struct mq_bytes){ NULL, 0 }, true);
  else
    take_row (router, &frame->u.run_ends,
              now_s > written_s ? now_s - written_s : 0);
  talloc_free (frame);
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
