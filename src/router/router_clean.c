/* router_clean.c - removal of expired records from the platform's table.

   Each host scans the parts in turn, from a random start, so that hosts need
   no coordination.  A record is removed only if its version is unchanged since
   it was read.

   Needs: router_state.h, clock.h.  */

#include "router_state.h"
#include "core/id.h"
#include "net/clock.h"
#include <stdio.h>

/* Tables with records that expire: programs, turns, streams.  */
#define TABLES 3U

/* Records per read, and per transaction that removes them.  */
#define SCAN_ROWS (MQ_ROWS_ENTRIES_MAX / 2U)

/**
 * struct mq_cleaner - position of this host's scan
 * @part: index over the parts of all tables
 * @from: first key of the next scan
 * @next_ms: time of the next scan
 * @busy: a scan or removal is in flight
 */
struct mq_cleaner
{
  struct mq_router *router;
  uint32_t part;
  char from[MQ_TURN_ID_MAX];
  uint64_t next_ms;
  bool busy;
};

static const char *
table_of (const struct mq_cleaner *cleaner)
{
  const char *const tables[TABLES]
      = { mq_budget_table, mq_turn_table, mq_stream_table };

  return tables[cleaner->part / MQ_TURN_PARTS];
}

static void
part_name (const struct mq_cleaner *cleaner, char name[8])
{
  snprintf (name, 8, "%02x", cleaner->part % MQ_TURN_PARTS);
}

static uint64_t
row_until (const struct mq_cleaner *cleaner, struct mq_bytes value)
{
  struct mq_budget_record record;
  struct mq_stream_row stream;

  switch (cleaner->part / MQ_TURN_PARTS)
    {
    case 0:
      return mq_budget_unpack (value, &record) ? record.until_s : 0;
    case 1:
      return mq_chain_row_expiry_s (value);
    default:
      return mq_stream_row_unpack (value, &stream) ? stream.until_s : 0;
    }
}

static void
on_removed (const struct mq_rows_result *result, void *user)
{
  struct mq_cleaner *cleaner = user;

  /* Records that were not removed are found by the next scan.  */
  (void)result;
  cleaner->busy = false;
  mq_clean_sweep (cleaner->router);
}

/* Moves on to the following rows, or to the next part.  */
static void
advance (struct mq_cleaner *cleaner, const struct mq_rows_result *result)
{
  if (result->row_count < SCAN_ROWS)
    {
      cleaner->part = (cleaner->part + 1) % (TABLES * MQ_TURN_PARTS);
      cleaner->from[0] = '\0';
      return;
    }
  snprintf (cleaner->from, sizeof cleaner->from, "%s",
            result->rows[result->row_count - 1].key);
}

static size_t
select_expired (const struct mq_cleaner *cleaner,
                const struct mq_rows_result *result,
                struct mq_rows_entry expired[SCAN_ROWS], const char *part)
{
  uint64_t now = mq_rows_clock_s (cleaner->router->rows);
  size_t count = 0;

  for (size_t i = 0; i < result->row_count && count < SCAN_ROWS; i++)
    {
      const struct mq_rows_entry *row = &result->rows[i];
      uint64_t until = row_until (cleaner, row->value);

      if (until == 0 || until >= now)
        continue;
      expired[count++] = (struct mq_rows_entry){ .table = table_of (cleaner),
                                                 .part = part,
                                                 .key = row->key,
                                                 .version = row->version,
                                                 .remove = true };
    }
  return count;
}

static void
on_scanned (const struct mq_rows_result *result, void *user)
{
  struct mq_cleaner *cleaner = user;
  struct mq_rows_entry expired[SCAN_ROWS];
  char part[8];
  size_t count;

  cleaner->busy = false;
  if (result->status != MQ_STORE_OK)
    return;
  part_name (cleaner, part);
  count = select_expired (cleaner, result, expired, part);
  if (count > 0)
    {
      cleaner->busy = true;
      cleaner->router->counters.records_removed += count;
      mq_rows_commit (cleaner->router->rows, expired, count, on_removed,
                      cleaner);
    }
  advance (cleaner, result);
  mq_clean_sweep (cleaner->router);
}

static struct mq_cleaner *
make_cleaner (struct mq_router *router)
{
  struct mq_cleaner *cleaner = talloc_zero (router, struct mq_cleaner);

  if (cleaner == NULL)
    return NULL;
  cleaner->router = router;
  cleaner->part = mq_random_below (&router->random, TABLES * MQ_TURN_PARTS);
  cleaner->next_ms = mq_clock_ms () + router->settings->clean_after_ms;
  return cleaner;
}

void
mq_clean_sweep (struct mq_router *router)
{
  struct mq_cleaner *cleaner = router->cleaner;
  uint64_t now = mq_clock_ms ();
  char part[8];

  if (cleaner == NULL)
    {
      router->cleaner = make_cleaner (router);
      return;
    }
  if (cleaner->busy || now < cleaner->next_ms
      || mq_rows_clock_s (router->rows) == 0 || mq_rows_down (router->rows))
    return;
  cleaner->busy = true;
  cleaner->next_ms = now + router->settings->clean_look_ms;
  part_name (cleaner, part);
  mq_rows_scan (router->rows, table_of (cleaner), part, cleaner->from,
                SCAN_ROWS, on_scanned, cleaner);
}
