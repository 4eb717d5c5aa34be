/* test_rows.c - the client of the platform's table among many hosts.

   Needs: Criterion, rows.h, rows_server.h, timer.h.  */

#include "../platform/standins/rows_server.h"
#include "router/rows.h"
#include "net/timer.h"
#include <criterion/criterion.h>
#include <stdio.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

struct site
{
  struct tevent_context *ev;
  struct rows_server *server;
  struct mq_rows *rows;
};

static void
on_row (const struct mq_rows_entry *row, void *user)
{
  (void)row;
  (void)user;
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

  cr_assert_not_null (mq_timer_add (site->ev, site->ev, ms, on_timer, &done));
  while (!done)
    tevent_loop_once (site->ev);
}

static struct site *
make_site (void)
{
  struct site *site = talloc_zero (NULL, struct site);
  struct mq_rows_watcher watcher = { .row = on_row, .user = site };
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
