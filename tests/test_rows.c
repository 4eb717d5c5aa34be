/* test_rows.c - the client of the platform's table among many hosts.

   Needs: Criterion, rows.h, raw_server.h, rows_server.h, clock.h, timer.h,
   stepped_clock.h.  */

#include "../platform/standins/raw_server.h"
#include "../platform/standins/rows_server.h"
#include "router/rows.h"
#include "net/clock.h"
#include "net/timer.h"
#include "stepped_clock.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

struct site
{
  struct tevent_context *ev;
  struct rows_server *server;
  struct mq_rows *rows;
  size_t rows_seen;
};

static void
on_row (const struct mq_rows_entry *row, void *user)
{
  (void)row;
  (void)user;
}

static void
on_counted_row (const struct mq_rows_entry *row, void *user)
{
  struct site *site = user;

  (void)row;
  site->rows_seen++;
}

static void
on_timer (void *data)
{
  bool *done = data;

  *done = true;
}

static void
run_for (struct site *site, uint32_t ms)
{
  bool done = false;

  if (stepped_clock_is_used ())
    {
      stepped_clock_run (site->ev, ms);
      return;
    }
  cr_assert_not_null (mq_timer_add (site->ev, site->ev, ms, on_timer, &done));
  while (!done)
    tevent_loop_once (site->ev);
}

static struct site *
make_site (void)
{
  struct site *site = talloc_zero (NULL, struct site);
  struct mq_rows_watcher watcher = { .row = on_counted_row, .user = site };
  char address[32];

  site->ev = tevent_context_init (site);
  site->server = rows_server_create (site, site->ev);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            rows_server_port (site->server, 0));
  site->rows = mq_rows_create (site->ev, site->ev, address);
  mq_rows_watch (site->rows, "t", &watcher);
  while (!mq_rows_feeds_healthy (site->rows))
    run_for (site, 5);
  return site;
}

/* An overloaded table rejects calls.  The retry pause of feeds must grow with
   the number of hosts, or their retries keep the table overloaded and
   programs' calls are rejected too.  */
Test (rows, feed_retries_slow_down_with_host_count)
{
  static const struct
  {
    size_t hosts;
    size_t retries_max; /* retries in two seconds */
  } cases[] = { { 1, 22 }, { 50, 22 }, { 200, 6 }, { 1100, 2 } };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct site *site = make_site ();
      size_t before;

      rows_server_set_fault (site->server, ROWS_UNAVAILABLE);
      mq_rows_set_host_count (site->rows, cases[i].hosts);
      while (mq_rows_feeds_healthy (site->rows))
        run_for (site, 5);
      before = rows_server_feed_count (site->server);
      run_for (site, 2000);
      cr_assert_leq (rows_server_feed_count (site->server) - before,
                     cases[i].retries_max, "%zu hosts", cases[i].hosts);
      rows_server_set_fault (site->server, ROWS_NO_FAULT);
      while (!mq_rows_feeds_healthy (site->rows))
        run_for (site, 5);
      mq_rows_destroy (site->rows);
      rows_server_destroy (site->server);
      talloc_free (site);
    }
}

/* Each change wakes the feed of each host.  The pause after changes must grow
   with the number of hosts, or calls grow with hosts times changes.  */
Test (rows, feed_gathers_changes)
{
  static const struct
  {
    size_t hosts;
    uint64_t pause_min_ms;
  } cases[] = { { 100, 75 }, { 500, 375 }, { 1000, 750 }, { 5000, 1125 } };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct site *site = make_site ();
      uint64_t began = mq_clock_ms ();
      size_t before = rows_server_feed_count (site->server);
      size_t calls;
      uint64_t took;

      mq_rows_set_host_count (site->rows, cases[i].hosts);
      for (int change = 0; change < 200; change++)
        {
          char key[16];

          snprintf (key, sizeof key, "k%d", change);
          rows_server_put (site->server, "t", "", key, "v");
          run_for (site, 10);
        }
      took = mq_clock_ms () - began;
      calls = rows_server_feed_count (site->server) - before;
      cr_expect_leq (calls, 1 + took / cases[i].pause_min_ms,
                     "%zu hosts: %zu calls", cases[i].hosts, calls);
      while (site->rows_seen < 200)
        run_for (site, 5);
      mq_rows_destroy (site->rows);
      rows_server_destroy (site->server);
      talloc_free (site);
    }
}

static void
on_got (const struct mq_rows_result *result, void *user)
{
  enum mq_store_status *status = user;

  *status = result->status;
}

/* A table that is slow but answers.  A host that makes few calls must learn
   from its feeds how long to wait, or it gives up calls that would be
   answered.  */
Test (rows, feeds_tell_how_slow_the_table_is, .timeout = 60)
{
  static const uint32_t delays_ms[] = { 240, 120, 0 };
  struct site *site = make_site ();

  for (size_t i = 0; i < ROWS (delays_ms); i++)
    {
      enum mq_store_status status = MQ_STORE_DOWN;
      size_t calls = rows_server_call_count (site->server);

      rows_server_set_delay (site->server, delays_ms[i]);
      while (mq_rows_call_timeout_ms (site->rows) < 2 * delays_ms[i]
             || mq_rows_call_timeout_ms (site->rows) > 8 * delays_ms[i] + 200)
        run_for (site, 5);
      mq_rows_get (site->rows, "t", "", "k", on_got, &status);
      while (rows_server_call_count (site->server) == calls
             || status == MQ_STORE_DOWN)
        run_for (site, 5);
      cr_expect_eq (status, MQ_STORE_OK, "%u ms", delays_ms[i]);
      cr_expect_eq (rows_server_call_count (site->server), calls + 1);
    }
  mq_rows_destroy (site->rows);
  rows_server_destroy (site->server);
  talloc_free (site);
}

/* A table that sends its answers in pieces */

#define PIECE_MS 40U
/* Longest time of an answer that never ends, and of one that stops.  */
#define ANSWER_MAX_MS 8000U
#define STOPPED_MAX_MS 2000U
/* Of an answer that takes longer than a feed may wait for one to begin.  */
#define FEED_PIECES 50

/**
 * struct slow_table - a table that sends each answer in pieces
 * @pieces: sent of each answer, at intervals of PIECE_MS; the last one
 *          completes it, unless @ends is false
 * @link: connection of the answer being sent
 * @sent: pieces of it sent so far
 * @requests: requests received
 * @calls: calls that ended
 * @status: of the last one
 */
struct slow_table
{
  struct tevent_context *ev;
  struct raw_server *server;
  struct mq_rows *rows;
  uint32_t pieces;
  bool ends;
  struct raw_link *link;
  uint32_t sent;
  uint32_t requests;
  uint32_t calls;
  enum mq_store_status status;
};

static void
send_piece (void *data)
{
  static const char end[] = "2\r\n]}\r\n0\r\n\r\n";
  struct slow_table *table = data;

  if (table->link == NULL)
    return;
  raw_link_write (table->link, "1\r\n \r\n", 6);
  if (++table->sent < table->pieces)
    mq_timer_add (table->server, table->ev, PIECE_MS, send_piece, table);
  else if (table->ends)
    {
      raw_link_write (table->link, end, sizeof end - 1);
      raw_link_read_next (table->link);
    }
}

static void
on_slow_request (struct raw_link *link, const struct raw_request *request,
                 void *user)
{
  static const char head[] = "HTTP/1.1 200 OK\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "1b\r\n{\"ver\":1,\"nowMs\":1,\"rows\":[\r\n";
  struct slow_table *table = user;

  (void)request;
  table->requests++;
  table->link = link;
  table->sent = 0;
  raw_link_write (link, head, sizeof head - 1);
  mq_timer_add (table->server, table->ev, PIECE_MS, send_piece, table);
}

static void
on_slow_link_closed (struct raw_link *link, void *user)
{
  struct slow_table *table = user;

  if (table->link == link)
    table->link = NULL;
}

static void
on_slow_call (const struct mq_rows_result *result, void *user)
{
  struct slow_table *table = user;

  table->calls++;
  table->status = result->status;
}

static struct slow_table *
make_slow_table (void)
{
  struct slow_table *table = talloc_zero (NULL, struct slow_table);
  char address[32];

  table->ev = tevent_context_init (table);
  table->server = raw_server_create (table->ev, table->ev, on_slow_request,
                                     on_slow_link_closed, table);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            raw_server_port (table->server));
  table->rows = mq_rows_create (table->ev, table->ev, address);
  return table;
}

/**
 * struct slow_case - an answer in pieces
 * @max_ms: time by which the call must have ended
 */
struct slow_case
{
  const char *name;
  uint32_t pieces;
  bool ends;
  enum mq_store_status status;
  uint32_t max_ms;
};

/* Failure: a call is given up after 100 ms though its answer is still coming
   in, and a caller without a route gets 503 where 404 is due.  An answer that
   stops or never ends is given up all the same.  */
Test (rows, answer_in_pieces_is_waited_for, .timeout = 60)
{
  static const struct slow_case cases[] = {
    { "half a second", 12, true, MQ_STORE_OK, ANSWER_MAX_MS },
    { "two seconds", 50, true, MQ_STORE_OK, ANSWER_MAX_MS },
    { "stops", 5, false, MQ_STORE_DOWN, STOPPED_MAX_MS },
    { "never ends", UINT32_MAX, false, MQ_STORE_DOWN, ANSWER_MAX_MS },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct slow_table *table = make_slow_table ();
      uint64_t since = mq_clock_ms ();

      table->pieces = cases[i].pieces;
      table->ends = cases[i].ends;
      mq_rows_get (table->rows, "t", "p", "k", on_slow_call, table);
      while (table->calls == 0 && mq_clock_ms () - since < cases[i].max_ms)
        tevent_loop_once (table->ev);
      cr_expect_eq (table->calls, 1, "%s", cases[i].name);
      cr_expect_eq (table->status, cases[i].status, "%s", cases[i].name);
      talloc_free (table);
    }
}

static void
on_slow_list (bool begins, void *user)
{
  struct slow_table *table = user;

  if (!begins)
    table->calls++;
}

/* Failure: a list or a feed is cut off while its answer is coming in, read
   again from the start and cut off again, and the host keeps an outdated
   configuration.  */
Test (rows, feed_in_pieces_is_waited_for, .timeout = 60)
{
  struct slow_table *table = make_slow_table ();
  struct mq_rows_watcher watcher
      = { .list = on_slow_list, .row = on_row, .user = table };

  table->pieces = FEED_PIECES;
  table->ends = true;
  mq_rows_watch (table->rows, "t", &watcher);
  while (table->calls == 0 && table->requests < 2)
    tevent_loop_once (table->ev);
  cr_expect_eq (table->calls, 1, "the list was read again");
  while (table->requests < 3 && mq_rows_feeds_healthy (table->rows))
    tevent_loop_once (table->ev);
  cr_expect (mq_rows_feeds_healthy (table->rows), "the feed was cut off");
  talloc_free (table);
}

/* A table whose answers arrive while the event loop is blocked */

#define HELD_MAX 16U
/* Connections of a host to the table.  */
#define CONNECTIONS 12U
/* Longer than a call takes at most before the first answer, and than the
   silence after which the table counts as down.  */
#define BLOCKED_MS 450U
/* Blocks by which all calls must have ended, and events handled between two.
 */
#define BLOCKS_MAX 20
#define EVENTS_BETWEEN 64
/* Pieces of a long answer, PIECE_MS apart.  */
#define LONG_PIECES 25
#define ANSWER "{\"ver\":1,\"nowMs\":1,\"rows\":[]}"

/**
 * struct held_table - a table that holds requests back until it is told to
 *                     answer
 * @holds: requests are held back, else answered at once
 * @held: connections of the requests held back
 * @ok: calls that were answered
 * @failed: calls that were not
 */
struct held_table
{
  struct tevent_context *ev;
  struct raw_server *server;
  struct mq_rows *rows;
  bool holds;
  struct raw_link *held[HELD_MAX];
  uint32_t held_count;
  uint32_t ok;
  uint32_t failed;
};

static void
answer (struct raw_link *link)
{
  raw_link_respond (link, 200, "", ANSWER, sizeof ANSWER - 1);
}

static void
on_held_request (struct raw_link *link, const struct raw_request *request,
                 void *user)
{
  struct held_table *table = user;

  (void)request;
  if (!table->holds)
    answer (link);
  else if (table->held_count < HELD_MAX)
    table->held[table->held_count++] = link;
}

static void
on_held_link_closed (struct raw_link *link, void *user)
{
  struct held_table *table = user;

  for (uint32_t i = 0; i < table->held_count; i++)
    if (table->held[i] == link)
      table->held[i--] = table->held[--table->held_count];
}

static void
on_held_call (const struct mq_rows_result *result, void *user)
{
  struct held_table *table = user;

  if (result->status == MQ_STORE_OK)
    table->ok++;
  else
    table->failed++;
}

static struct held_table *
make_held_table (void)
{
  struct held_table *table = talloc_zero (NULL, struct held_table);
  char address[32];

  table->ev = tevent_context_init (table);
  table->server = raw_server_create (table->ev, table->ev, on_held_request,
                                     on_held_link_closed, table);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            raw_server_port (table->server));
  table->rows = mq_rows_create (table->ev, table->ev, address);
  return table;
}

static void
start_calls (struct held_table *table, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    mq_rows_get (table->rows, "t", "p", "k", on_held_call, table);
}

static void
wait_for_calls (struct held_table *table, uint32_t count)
{
  while (table->ok + table->failed < count)
    tevent_loop_once (table->ev);
}

/* Answers all requests held back, and later ones at once.  */
static void
answer_held (struct held_table *table)
{
  table->holds = false;
  while (table->held_count > 0)
    answer (table->held[--table->held_count]);
}

/**
 * struct breaker_case - a call after four that were not answered; two more are
 *                       made when the loop continues
 * @answered: it is answered, and the answer arrives while the loop is blocked
 * @down: the table counts as down afterwards
 */
struct breaker_case
{
  const char *name;
  bool answered;
  bool down;
};

/* Failure: a host that was blocked after four failures takes the table to be
   down beside an answer that has arrived, and its calls fail at once.  */
Test (rows, answer_while_blocked_keeps_the_table_up, .timeout = 60)
{
  static const struct breaker_case cases[]
      = { { "answered", true, false }, { "not answered", false, true } };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct held_table *table = make_held_table ();

      start_calls (table, 1);
      wait_for_calls (table, 1);
      table->holds = true;
      start_calls (table, 4);
      wait_for_calls (table, 5);
      cr_assert_eq (table->failed, 4);
      table->held_count = 0;
      start_calls (table, 1);
      while (table->held_count == 0)
        tevent_loop_once (table->ev);
      if (cases[i].answered)
        answer_held (table);
      usleep (BLOCKED_MS * 1000);
      cr_expect (!cases[i].answered || !mq_rows_down (table->rows));
      start_calls (table, 2);
      wait_for_calls (table, 8);
      cr_expect_eq (mq_rows_down (table->rows), cases[i].down, "%s",
                    cases[i].name);
      cr_expect_eq (table->failed, cases[i].answered ? 4 : 7, "%s: %u failed",
                    cases[i].name, table->failed);
      talloc_free (table);
    }
}

/**
 * struct unsent_case - calls that can't be sent while the loop is blocked
 * @busy: calls in progress, whose answers arrive meanwhile
 * @unsent: calls whose connection is being established, or that wait for one
 *          if @busy is CONNECTIONS
 */
struct unsent_case
{
  const char *name;
  uint32_t busy;
  uint32_t unsent;
};

/* Failure: a call that waits for a connection, or for its establishment, while
   the loop is blocked is sent afterwards and given up in the same moment, a
   write as lost.  */
Test (rows, call_unsent_while_blocked_is_answered, .timeout = 60)
{
  static const struct unsent_case cases[] = {
    { "connection being established", 0, 1 },
    { "a call for a connection", CONNECTIONS, 1 },
    { "a call for each connection", CONNECTIONS, CONNECTIONS },
    { "more calls than connections", CONNECTIONS, 5 * CONNECTIONS },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct held_table *table = make_held_table ();

      table->holds = true;
      start_calls (table, cases[i].busy + cases[i].unsent);
      while (table->held_count < cases[i].busy)
        tevent_loop_once (table->ev);
      answer_held (table);
      usleep (BLOCKED_MS * 1000);
      wait_for_calls (table, cases[i].busy + cases[i].unsent);
      cr_expect_eq (table->failed, 0, "%s: %u failed", cases[i].name,
                    table->failed);
      talloc_free (table);
    }
}

/* A call that is not answered ends although the loop is blocked again and
   again.  */
Test (rows, unanswered_call_ends_between_blocks, .timeout = 60)
{
  struct held_table *table = make_held_table ();
  int blocks = 0;

  table->holds = true;
  start_calls (table, 2 * CONNECTIONS);
  while (table->failed < 2 * CONNECTIONS && blocks < BLOCKS_MAX)
    {
      usleep (BLOCKED_MS * 1000);
      for (int i = 0; i < EVENTS_BETWEEN && table->failed < 2 * CONNECTIONS;
           i++)
        tevent_loop_once (table->ev);
      blocks++;
    }
  cr_expect_eq (table->ok, 0);
  cr_expect_eq (table->failed, 2 * CONNECTIONS, "%u failed after %d blocks",
                table->failed, blocks);
  talloc_free (table);
}

/* Failure: four calls time out while a long answer is coming in on the same
   link; the table counts as down, and all calls fail at once.  */
Test (rows, long_answer_keeps_the_table_up, .timeout = 60)
{
  static const char head[] = "HTTP/1.1 200 OK\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
  static const char end[] = "1b\r\n{\"ver\":1,\"nowMs\":1,\"rows\":[\r\n"
                            "2\r\n]}\r\n0\r\n\r\n";
  struct held_table *table = make_held_table ();
  struct raw_link *link;

  start_calls (table, 1);
  wait_for_calls (table, 1);
  table->holds = true;
  start_calls (table, 5);
  while (table->held_count < 5)
    tevent_loop_once (table->ev);
  link = table->held[0];
  raw_link_write (link, head, sizeof head - 1);
  for (int i = 0; i < LONG_PIECES; i++)
    {
      bool done = false;

      raw_link_write (link, "1\r\n \r\n", 6);
      mq_timer_add (table->ev, table->ev, PIECE_MS, on_timer, &done);
      while (!done)
        tevent_loop_once (table->ev);
      cr_assert_not (mq_rows_down (table->rows), "after %d pieces", i);
    }
  raw_link_write (link, end, sizeof end - 1);
  wait_for_calls (table, 6);
  cr_expect_eq (table->failed, 4);
  cr_expect_eq (table->ok, 2);
  talloc_free (table);
}

/* Calls in a row; more than those after which the table counts as down.  */
#define STATUS_CALLS 8
/* Longer than the time without a byte after which it does.  */
#define STATUS_CALL_GAP_MS 80U

struct status_site
{
  struct tevent_context *ev;
  int status;
};

static void
respond_status (struct raw_link *link, const struct raw_request *request,
                void *user)
{
  const struct status_site *site = user;

  (void)request;
  raw_link_respond (link, site->status, "", "", 0);
}

static void
on_link_closed (struct raw_link *link, void *user)
{
  (void)link;
  (void)user;
}

static void
on_status (const struct mq_rows_result *result, void *user)
{
  enum mq_store_status *status = user;

  *status = result->status;
}

static void
count_rejection (const struct mq_rows_rejection *rejection, void *user)
{
  int *count = user;

  cr_expect_str_eq (rejection->kind, "commit");
  cr_expect_eq (rejection->entries, 2U);
  ++*count;
}

/* Failure: a table that answers, but does not accept a call, counts as down,
   and all other calls fail.  */
Test (rows, rejected_calls_keep_the_table_up)
{
  static const struct
  {
    int status;
    enum mq_store_status result;
    bool down;
  } rows[] = {
    { 400, MQ_STORE_REJECTED, false }, { 403, MQ_STORE_REJECTED, false },
    { 404, MQ_STORE_REJECTED, false }, { 413, MQ_STORE_REJECTED, false },
    { 408, MQ_STORE_DOWN, true },      { 429, MQ_STORE_DOWN, true },
    { 503, MQ_STORE_DOWN, true },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct tevent_context *ev = tevent_context_init (NULL);
      struct status_site site = { ev, rows[i].status };
      struct site loop = { .ev = ev };
      struct raw_server *server
          = raw_server_create (ev, ev, respond_status, on_link_closed, &site);
      struct mq_rows *client = mq_rows_create (
          ev, ev,
          talloc_asprintf (ev, "127.0.0.1:%u", raw_server_port (server)));
      struct mq_rows_entry entry = {
        .table = "t", .part = "p", .key = "k", .version = MQ_VERSION_ABSENT
      };
      int rejections = 0;

      mq_rows_set_rejection_handler (client, count_rejection, &rejections);
      for (int k = 0; k < STATUS_CALLS; k++)
        {
          enum mq_store_status status = MQ_STORE_MISSING;

          mq_rows_commit (client, &entry, 1, on_status, &status);
          while (status == MQ_STORE_MISSING)
            tevent_loop_once (ev);
          cr_expect_eq (status, rows[i].result, "%d", rows[i].status);
          run_for (&loop, STATUS_CALL_GAP_MS);
        }
      cr_expect_eq (mq_rows_down (client), rows[i].down, "%d", rows[i].status);
      cr_expect_eq (rejections,
                    rows[i].result == MQ_STORE_REJECTED ? STATUS_CALLS : 0,
                    "%d", rows[i].status);
      mq_rows_destroy (client);
      raw_server_destroy (server);
      talloc_free (ev);
    }
}

#define PART "00"
#define OTHER_PART "07"
/* Time after which a timeout of a part is not recent any more.  */
#define LONG_MS 1100U

static void
on_read (const struct mq_rows_result *result, void *user)
{
  enum mq_store_status *status = user;

  *status = result->status;
}

/* Reads from PART, which answers or not, while the table answers for another
   part.  */
static void
read_part (struct site *site, bool answers)
{
  enum mq_store_status status = MQ_STORE_MISSING;
  enum mq_store_status other = MQ_STORE_MISSING;

  rows_server_block_parts (site->server, answers ? 0 : 1);
  mq_rows_get (site->rows, "t", PART, "k", on_read, &status);
  run_for (site, 5);
  mq_rows_get (site->rows, "t", OTHER_PART, "k", on_read, &other);
  while (status == MQ_STORE_MISSING || other == MQ_STORE_MISSING)
    run_for (site, 5);
  cr_assert_eq (status, answers ? MQ_STORE_OK : MQ_STORE_DOWN);
  cr_assert_eq (other, MQ_STORE_OK);
}

/**
 * struct part_case - whether a part counts as down
 * @calls: s: a call that the part does not answer, a: one that it does,
 *         l: a long time without a call
 * @reports: calls of the handler
 */
static const struct part_case
{
  const char *name;
  const char *calls;
  bool down;
  size_t reports;
} part_cases[] = {
  { "one", "s", false, 0 },
  { "two", "ss", true, 1 },
  { "answered in between", "sas", false, 0 },
  { "the first long ago", "sls", false, 0 },
  { "answered, the first long ago", "slas", false, 0 },
  { "two long ago", "ssl", false, 1 },
  { "two long ago and one", "ssls", true, 2 },
  { "two long ago, answered since, and one", "sslas", false, 1 },
  { "two long ago, answered since, and two", "sslass", true, 2 },
};

static void
count_part_down (const char *part, uint32_t timeouts, void *user)
{
  size_t *count = user;

  cr_assert_str_eq (part, PART);
  cr_assert_geq (timeouts, 2);
  (*count)++;
}

/* Failure: a lost response long ago, or one before an answer, is counted with
   the next, and all calls to a part that answers fail for a second.  */
Test (rows, part_is_down_after_two_timeouts_in_a_row)
{
  stepped_clock_begin ();
  for (size_t i = 0; i < ROWS (part_cases); i++)
    {
      const struct part_case *row = &part_cases[i];
      struct site *site = make_site ();
      size_t reports = 0;

      mq_rows_set_part_handler (site->rows, count_part_down, &reports);
      for (const char *at = row->calls; *at != '\0'; at++)
        if (*at == 'l')
          run_for (site, LONG_MS);
        else
          read_part (site, *at == 'a');
      cr_expect_eq (mq_rows_part_down (site->rows, PART), row->down, "%s",
                    row->name);
      cr_expect_eq (reports, row->reports, "%s: %zu reports", row->name,
                    reports);
      mq_rows_destroy (site->rows);
      rows_server_destroy (site->server);
      talloc_free (site);
    }
}
