/* test_repeats.c - requests that end the workers they are sent to, over the
   attempts of their callers.

   Needs: Criterion, router_site.h, relay_state.h, router_state.h,
   stepped_clock.h.  */

#include "router_site.h"
#include "net/clock.h"
#include "net/timer.h"
#include "router/relay_state.h"
#include "router/router_state.h"
#include "stepped_clock.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define HOST "Host: h.example\r\n"
/* Attempts of a caller that does not give up.  */
#define ATTEMPTS 8
/* Workers that may end under one request.  */
#define ENDS_MAX 3
#define RESTART_MS 100U
/* Three heartbeats of a worker.  */
#define LAPSE_MS 900U
/* Time until a caller that goes on repeating has repeated a request.  */
#define PAUSE_MS 150U
#define FATAL "crash"

static struct edge_site *site;
static struct edge_call call;
static int next_id;

static bool
is_llm (const struct worker_server *worker)
{
  return strncmp (worker_server_id (worker), "llm", 3) == 0;
}

static void
lapse (void *data)
{
  rows_server_put (site->rows, "servers", "", data, NULL);
}

/* The entry of a worker that has crashed lapses some time later.  */
static void
on_ended (struct worker_server *worker, void *user)
{
  (void)user;
  mq_timer_add (site, site->ev, LAPSE_MS, lapse,
                talloc_strdup (site, worker_server_id (worker)));
}

static void
on_started (struct worker_server *worker, void *user)
{
  (void)user;
  edge_list_worker (site, worker, is_llm (worker) ? "llm" : "app", "ready");
}

static void
set_up (void)
{
  stepped_clock_begin ();
  site = edge_create ();
  next_id = 0;
  for (int i = 0; i < EDGE_WORKERS; i++)
    {
      worker_server_set_fatal (site->llm[i], FATAL, RESTART_MS, on_ended,
                               on_started, NULL);
      worker_server_set_fatal (site->app[i], FATAL, RESTART_MS, on_ended,
                               on_started, NULL);
    }
}

static void
tear_down (void)
{
  edge_destroy (site);
}

TestSuite (repeats, .init = set_up, .fini = tear_down, .timeout = 120);

/* Workers that have ended under a request.  */
static int
end_count (void)
{
  int count = 0;

  for (int i = 0; i < EDGE_WORKERS; i++)
    count += worker_server_end_count (site->llm[i])
             + worker_server_end_count (site->app[i]);
  return count;
}

/* Sends BODY to PATH at router INDEX under a new id.  MORE: header lines.
   Returns the status, 0 if there is no whole head.  */
static int
send (int index, const char *path, const char *body, const char *more)
{
  char text[1024];

  snprintf (text, sizeof text,
            "POST %sx HTTP/1.1\r\n" HOST
            "X-Request-Id: q%d\r\n%sContent-Length: %zu\r\n\r\n%s",
            path, ++next_id, more, strlen (body), body);
  return edge_request (site, &call, index, text);
}

/* Header lines of a turn of program RUN.  */
static const char *
turn_of (const char *run)
{
  static char text[256];

  snprintf (text, sizeof text,
            "X-Program-Id: %s\r\nX-Session-Id: %s\r\n"
            "X-Token-Budget: 1000\r\nX-Token-Count: 10,8\r\n",
            run, run);
  return text;
}

/* Time that the router asks the caller to wait; 0 if it does not.  */
static uint32_t
retry_after_ms (void)
{
  const char *field = strstr (call.answer, "Retry-After: ");

  return field == NULL ? 0 : (uint32_t)(atof (field + 13) * 1000);
}

/* Repeats the request that ends workers, at the routers in turn, and checks
   that another request of the route is served beside it.  Returns the last
   status.  */
static int
repeat (const char *path, int routers, bool is_turn)
{
  int status = 0;

  for (int i = 0; i < ATTEMPTS; i++)
    {
      char other[16];

      snprintf (other, sizeof other, "other-%d", next_id);
      status = send (i % routers, path, FATAL, is_turn ? turn_of ("bad") : "");
      edge_run_for (site, PAUSE_MS + retry_after_ms ());
      cr_expect_eq (
          send (i % routers, path, "well", is_turn ? turn_of (other) : ""),
          200, "%s: another request after attempt %d: %.60s", path, i,
          call.answer);
    }
  return status;
}

/* Failure: a limit that is kept with one attempt starts again with the next,
   and a request ends one worker after the other.  */
Test (repeats, request_that_ended_three_workers_is_sent_to_no_other)
{
  static const struct
  {
    const char *name;
    const char *path;
    int routers;
    bool is_turn;
    bool without_health_check;
  } rows[] = {
    { "repeatable call, two hosts", "/call/", 2, false, false },
    { "repeatable call, one host", "/call/", 1, false, false },
    { "workers without a health check", "/call/", 2, false, true },
    { "call that may not be repeated, two hosts", "/once/", 2, false, false },
    { "resumable turn, two hosts", "/turn/", 2, true, false },
    { "retained turn, two hosts", "/kept/", 2, true, false },
  };

  edge_start (site, 1);
  edge_list_hosts (site);
  for (size_t i = 0; i < ROWS (rows); i++)
    {
      char path[64];
      int before = end_count ();
      int status;

      site->without_health_check = rows[i].without_health_check;
      edge_configure (site, 3000, NULL);
      edge_run_for (site, 100);
      snprintf (path, sizeof path, "%s%zu/", rows[i].path, i);
      status = repeat (path, rows[i].routers, rows[i].is_turn);
      cr_expect_leq (end_count () - before, ENDS_MAX,
                     "%s: %d workers ended in %d attempts", rows[i].name,
                     end_count () - before, ATTEMPTS);
      cr_expect_eq (status, 400, "%s: last status %d", rows[i].name, status);
      edge_run_for (site, 1500);
    }
}

/* Failure: a host that has just started does not know what ended workers
   before, and sends it to another one.  */
Test (repeats, new_host_knows_what_ended_workers)
{
  int status = 0;

  for (int i = 0; i < ATTEMPTS / 2; i++)
    {
      (void)send (0, "/call/", FATAL, "");
      edge_run_for (site, PAUSE_MS);
    }
  edge_start (site, 1);
  edge_list_hosts (site);
  edge_run_for (site, 100);
  for (int i = 0; i < ATTEMPTS / 2; i++)
    {
      status = send (1, "/call/", FATAL, "");
      edge_run_for (site, PAUSE_MS + retry_after_ms ());
    }
  cr_expect_leq (end_count (), ENDS_MAX, "%d workers ended", end_count ());
  cr_expect_eq (status, 400, "last status %d: %.200s", status, call.answer);
}

/* Failure: all hosts are lost at once, and with them what they knew.  */
Test (repeats, hosts_that_were_all_lost_know_what_ended_workers)
{
  int status = 0;

  edge_start (site, 1);
  edge_list_hosts (site);
  (void)send (0, "/call/", FATAL, "");
  edge_run_for (site, PAUSE_MS);
  edge_kill (site, 0);
  edge_kill (site, 1);
  edge_start (site, 0);
  edge_start (site, 1);
  edge_run_for (site, 1500);
  for (int i = 0; i < ATTEMPTS; i++)
    {
      status = send (i % 2, "/call/", FATAL, "");
      edge_run_for (site, PAUSE_MS + retry_after_ms ());
    }
  cr_expect_leq (end_count (), ENDS_MAX, "%d workers ended", end_count ());
  cr_expect_eq (status, 400, "last status %d: %.200s", status, call.answer);
}

/* Forgets what router INDEX knows of the request with most ends.  */
static void
make_forget (int index)
{
  struct mq_suspects *suspects
      = mq_suspect_watch_list (site->routers[index]->suspects);
  struct mq_suspects_report report;

  cr_assert_eq (mq_suspects_list (suspects, &report, 1, mq_clock_ms ()), 1);
  cr_assert (mq_suspects_clear (suspects, report.work));
}

/* Failure: a host that was not told of ends overwrites the row that has them,
   and ends three workers more.  */
Test (repeats, host_that_was_not_told_learns_from_the_row)
{
  int status = 0;

  edge_start (site, 1);
  edge_list_hosts (site);
  (void)send (0, "/call/", FATAL, "");
  edge_run_for (site, PAUSE_MS);
  edge_kill (site, 0);
  make_forget (1);
  for (int i = 0; i < ATTEMPTS; i++)
    {
      status = send (1, "/call/", FATAL, "");
      edge_run_for (site, PAUSE_MS + retry_after_ms ());
    }
  cr_expect_leq (end_count (), ENDS_MAX + 1, "%d workers ended", end_count ());
  cr_expect_eq (status, 400, "last status %d: %.200s", status, call.answer);
}

/* Age of the only end of WORK as router INDEX knows it.  */
static uint32_t
end_age_ms (int index, struct mq_id work)
{
  const struct mq_suspects *suspects
      = mq_suspect_watch_list (site->routers[index]->suspects);
  struct mq_suspects_end ends[MQ_SUSPECTS_KEPT_MAX];

  cr_assert_eq (mq_suspects_ends (suspects, work, ends, mq_clock_ms ()), 1);
  return ends[0].age_ms;
}

/* Failure: a host starts again within the time for which its earlier run
   counts as unreachable, is not told of ends, and sends the request to a
   worker more.  */
Test (repeats, host_that_starts_again_is_told_at_once)
{
  static const struct mq_suspects_end end
      = { .work = { .hi = 1, .lo = 2 }, .worker = 3, .worker_id = 4 };
  struct mq_relay *relay;
  struct mq_relay *restarted;

  edge_start (site, 1);
  edge_list_hosts (site);
  relay = site->routers[0]->relay;
  restarted = site->routers[1]->relay;
  relay_mark_unreachable (
      relay_find_host (relay, mq_relay_address (restarted)));
  cr_assert_eq (mq_relay_ask_ends (restarted), 1);
  edge_run_for (site, 10);
  mq_suspect_watch_broke (site->routers[0]->suspects, &end);
  edge_run_for (site, 10);
  cr_expect (mq_suspects_is_known (
      mq_suspect_watch_list (site->routers[1]->suspects), end.work));
}

/* Failure: a host that is late with a loan counts as unreachable, is not told
   of ends, and sends the request to a worker more.  */
Test (repeats, host_that_is_late_with_a_loan_is_told)
{
  static const struct mq_suspects_end end
      = { .work = { .hi = 1, .lo = 2 }, .worker = 3, .worker_id = 4 };
  struct mq_relay *relay;
  struct host *late;

  edge_start (site, 1);
  edge_list_hosts (site);
  relay = site->routers[0]->relay;
  late = relay_find_host (relay, mq_relay_address (site->routers[1]->relay));
  cr_assert_not_null (relay_open_link (relay, late));
  edge_run_for (site, 10);
  relay_mark_unreachable (late);
  cr_expect_eq (mq_relay_ends_hosts (relay), 1);
  mq_suspect_watch_broke (site->routers[0]->suspects, &end);
  edge_run_for (site, 10);
  cr_expect (mq_suspects_is_known (
      mq_suspect_watch_list (site->routers[1]->suspects), end.work));
}

/* Failure: a host that is held up tells of an end as if it were new, and the
   next end seems to overlap with it and does not count.  */
Test (repeats, end_that_is_told_late_keeps_its_time)
{
  static const uint32_t held_up_ms = 4 * MQ_SUSPECTS_CLOCK_ERROR_MS;
  static const struct mq_suspects_end end
      = { .work = { .hi = 1, .lo = 2 }, .worker = 3, .worker_id = 4 };

  edge_start (site, 1);
  edge_list_hosts (site);
  mq_suspect_watch_broke (site->routers[0]->suspects, &end);
  stepped_clock_hold_up (held_up_ms);
  edge_run_for (site, 10);
  cr_expect_leq (end_age_ms (0, end.work),
                 end_age_ms (1, end.work) + MQ_SUSPECTS_CLOCK_ERROR_MS,
                 "%u ms, told as %u ms", end_age_ms (0, end.work),
                 end_age_ms (1, end.work));
}

/* Failure: a request that many callers send alike is rejected since
   connections break under it now and then.  */
Test (repeats, request_that_mostly_succeeds_stays_served)
{
  int served = 0;

  edge_start (site, 1);
  edge_list_hosts (site);
  for (int i = 0; i < 100; i++)
    {
      site->app_plan = (struct worker_plan){ WORKER_RESET, i % 10 == 0 };
      served += send (i % 2, "/call/", "alike", "") == 200;
      edge_run_for (site, 20);
    }
  cr_expect_eq (served, 100, "%d of 100 served", served);
}

/* Failure: connections that the network resets count as workers that ended,
   and the request is rejected.  */
Test (repeats, request_whose_connections_are_reset_is_served_in_the_end)
{
  static const struct
  {
    const char *name;
    const char *path;
    bool is_turn;
  } rows[] = {
    { "repeatable call", "/call/", false },
    { "call that may not be repeated", "/once/", false },
    { "resumable turn", "/turn/", true },
  };

  edge_start (site, 1);
  edge_list_hosts (site);
  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct worker_plan plan = { WORKER_RESET, 6 };
      int status = 0;

      site->app_plan = plan;
      site->llm_plan = plan;
      for (int k = 0; k < ATTEMPTS && status != 200; k++)
        {
          status = send (k % 2, rows[i].path, "well",
                         rows[i].is_turn ? turn_of ("good") : "");
          cr_expect_neq (status, 400, "%s: rejected", rows[i].name);
          edge_run_for (site, PAUSE_MS + retry_after_ms ());
        }
      cr_expect_eq (status, 200, "%s: last status %d", rows[i].name, status);
      edge_run_for (site, 3000);
    }
}

/* Failure: a worker hangs on a request until its deadline and ends after it,
   and nothing connects the two.  */
Test (repeats, request_that_outlasts_its_deadline_is_to_blame)
{
  int status = 0;

  for (int i = 0; i < ATTEMPTS / 2; i++)
    {
      int ended = -1;

      site->app_plan = (struct worker_plan){ WORKER_HANG, 1 };
      status = send (0, "/once/", "slow", "X-Deadline-Ms: 200\r\n");
      site->app_plan.count = 0;
      for (int k = 0; k < EDGE_WORKERS; k++)
        for (int run = 0; run < worker_server_run_count (site->app[k]); run++)
          if (atoi (worker_server_get_run (site->app[k], run)->id + 1)
              == next_id)
            ended = k;
      if (ended < 0)
        continue;
      on_ended (site->app[ended], NULL);
      worker_server_restart (site->app[ended],
                             talloc_asprintf (site, "app-%d", 10 + i), "");
      on_started (site->app[ended], NULL);
      edge_run_for (site, LAPSE_MS + 1000U);
    }
  cr_expect_eq (status, 400, "last status %d: %.200s", status, call.answer);
}
