/* test_descriptors.c - the limit of open files leaves no whole request without
   an answer.

   Needs: Criterion, router_site.h, bounds.h.  */

#include "core/router/bounds.h"
#include "net/clock.h"
#include "router_site.h"
#include <criterion/criterion.h>
#include <sys/resource.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define HOST "Host: h.example\r\n"
#define ID(id) "X-Request-Id: " id "\r\n"
#define GET(target, id) "GET " target " HTTP/1.1\r\n" HOST ID (id) "\r\n"

static struct edge_site *site;
static struct edge_call call;

static void
set_up (void)
{
  site = edge_create ();
}

static void
tear_down (void)
{
  edge_destroy (site);
}

TestSuite (bounds, .init = set_up, .fini = tear_down, .timeout = 120);

/* Sets the soft limit of open files; returns the one before.  */
static rlim_t
limit_files (rlim_t files)
{
  struct rlimit limit;
  rlim_t before;

  cr_assert_eq (getrlimit (RLIMIT_NOFILE, &limit), 0);
  before = limit.rlim_cur;
  limit.rlim_cur = files;
  cr_assert_eq (setrlimit (RLIMIT_NOFILE, &limit), 0);
  return before;
}

/* Sets the limit so that no further file can be opened; returns the one
   before.  */
static rlim_t
use_up_files (void)
{
  int lowest = dup (STDOUT_FILENO);

  cr_assert_geq (lowest, 0);
  close (lowest);
  return limit_files ((rlim_t)lowest);
}

/* Time in which the loop is watched, and the iterations that it may take:
   timers and feeds need some tens.  */
#define WATCH_MS 300U
#define ITERATIONS_MAX 600

/* Runs the loop for WATCH_MS and returns its iterations.  */
static int
count_iterations (void)
{
  uint64_t until = mq_clock_ms () + WATCH_MS;
  int count = 0;

  while (mq_clock_ms () < until)
    {
      tevent_loop_once (site->ev);
      count++;
    }
  return count;
}

/* The router answers this by itself, with 400.  */
#define NO_HOST "GET /call/a HTTP/1.1\r\n" ID ("bad") "\r\n"
#define PART                                                                  \
  "POST /call/a HTTP/1.1\r\n" HOST ID ("part") "Content-Length: 9\r\n\r\nab"

/**
 * struct accept_case - a new connection when no file can be opened
 * @open: what the connection before has sent
 * @closes: that connection is closed to make room
 */
static const struct accept_case
{
  const char *name;
  const char *open;
  bool closes;
} accept_cases[] = {
  { "an idle caller", "", true },
  { "a caller within its request", PART, false },
};

/* Failure: at the limit of open files the event loop spins on a connection
   that it can't accept, and every request on the host is late.  */
Test (bounds, accepting_without_descriptors_does_not_spin)
{
  for (size_t i = 0; i < ROWS (accept_cases); i++)
    {
      const struct accept_case *row = &accept_cases[i];
      struct edge_call *before = edge_open (site, 0, row->open);
      struct edge_call *caller;
      rlim_t files;

      edge_run_for (site, 30);
      caller = edge_open (site, 0, NO_HOST);
      files = use_up_files ();
      cr_expect_leq (count_iterations (), ITERATIONS_MAX, "%s", row->name);
      cr_expect_eq (edge_is_closed (before), row->closes, "%s", row->name);
      edge_is_closed (caller);
      cr_expect_eq (edge_has_status (caller, "400"), row->closes, "%s: %s",
                    row->name, caller->answer);
      limit_files (files);
      edge_wait_responses (site, caller, 1);
      cr_expect (edge_has_status (caller, "400"), "%s: %s", row->name,
                 caller->answer);
      edge_close (before);
      edge_close (caller);
    }
}

/**
 * struct shortage_case - a request when no file can be opened
 * @idle: another caller is idle and gives up its descriptor
 */
static const struct shortage_case
{
  const char *name;
  const char *id;
  const char *request;
  bool idle;
} shortage_cases[] = {
  { "no idle caller", "s1", GET ("/once/a", "s1"), false },
  { "an idle caller", "s2", GET ("/once/a", "s2"), true },
};

/* Failure: without a free descriptor no connection to a worker can be opened,
   and each sound worker tried is ejected.  */
Test (bounds, shortage_of_descriptors_is_not_the_workers)
{
  for (size_t i = 0; i < ROWS (shortage_cases); i++)
    {
      const struct shortage_case *row = &shortage_cases[i];
      struct edge_call *idle;
      struct edge_call *caller;
      rlim_t files;

      /* A new router has no connection to a worker yet.  */
      edge_kill (site, 0);
      edge_start (site, 0);
      idle = edge_open (site, 0, row->idle ? "" : PART);
      caller = edge_open (site, 0, "");
      edge_run_for (site, 30);
      files = use_up_files ();
      edge_send (caller, row->request);
      edge_run_for (site, 30);
      limit_files (files);
      edge_wait_responses (site, caller, 1);
      cr_expect (edge_has_status (caller, row->idle ? "200" : "503"), "%s: %s",
                 row->name, caller->answer);
      cr_expect_eq (strstr (caller->answer, "Retry-After: ") == NULL,
                    row->idle, "%s", row->name);
      cr_expect_eq (edge_find_run (site, row->id) != NULL, row->idle, "%s",
                    row->name);
      cr_expect_eq (edge_is_closed (idle), row->idle, "%s", row->name);
      cr_expect_eq (edge_ejected_count (site, 0), 0, "%s: %d", row->name,
                    edge_ejected_count (site, 0));
      cr_expect_eq (edge_request (site, &call, 0, GET ("/once/a", "next")),
                    200, "%s: %s", row->name, call.answer);
      edge_close (idle);
      edge_close (caller);
    }
}

#define CALLERS_MAX 64
/* Idle timeout that no test reaches.  */
#define LONG_IDLE_MS 20000U
#define TIMEOUT_MS 10000U

/* Restarts router 0 with a limit of FILES and a long idle timeout; the test
   itself keeps its own limit.  */
static void
restart_with_files (rlim_t files)
{
  rlim_t before;

  site->idle_ms = LONG_IDLE_MS;
  edge_configure (site, TIMEOUT_MS, NULL);
  edge_kill (site, 0);
  before = limit_files (files);
  edge_start (site, 0);
  limit_files (before);
}

/* Fills the callers' share of 80 files: a quarter is for files, a quarter of
   the others for connections of the host itself.  */
#define SHARE_FILES 80
#define SHARE_CALLERS 45
_Static_assert(SHARE_CALLERS < CALLERS_MAX, "callers of a test");

/* Failure: callers hold all descriptors, and none is left for connections to
   workers, to the table and to other hosts.  */
Test (bounds, longest_idle_callers_make_room)
{
  static struct edge_call *callers[CALLERS_MAX];
  struct edge_call *later[3];

  restart_with_files (SHARE_FILES);
  site->app_plan = (struct worker_plan){ WORKER_HANG, 1 };
  callers[0] = edge_open (site, 0, GET ("/call/a", "waits"));
  edge_run_for (site, 10);
  callers[1] = edge_open (site, 0, PART);
  for (int i = 2; i < SHARE_CALLERS; i++)
    {
      callers[i] = edge_open (site, 0, "");
      edge_run_for (site, 3);
    }
  edge_send (callers[2], GET ("/call/a", "unread"));
  for (int i = 0; i < 3; i++)
    later[i] = edge_open (site, 0, GET ("/call/a", "later"));
  for (int i = 0; i < 3; i++)
    {
      edge_wait_responses (site, later[i], 1);
      cr_expect (edge_has_status (later[i], "200"), "%s", later[i]->answer);
    }
  for (int i = 0; i < SHARE_CALLERS; i++)
    {
      bool closed = edge_is_closed (callers[i]);

      cr_expect_eq (closed, i >= 3 && i < 6, "caller %d: closed %d", i,
                    closed);
    }
  cr_expect (edge_has_status (callers[2], "200"), "%s", callers[2]->answer);
  edge_send (callers[1], "cdefghi");
  edge_wait_responses (site, callers[1], 1);
  cr_expect (edge_has_status (callers[1], "200"), "%s", callers[1]->answer);
}

/* Failure: new callers take the descriptors that the requests of the others
   need at workers.  */
Test (bounds, callers_over_the_share_wait)
{
  static struct edge_call *callers[CALLERS_MAX];
  struct edge_call *later;

  restart_with_files (SHARE_FILES);
  for (int i = 0; i < SHARE_CALLERS; i++)
    callers[i] = edge_open (site, 0, PART);
  edge_run_for (site, 30);
  later = edge_open (site, 0, NO_HOST);
  cr_expect_leq (count_iterations (), ITERATIONS_MAX);
  cr_expect (!edge_is_closed (later));
  cr_expect_str_eq (later->answer, "");
  for (int i = 0; i < SHARE_CALLERS; i++)
    cr_expect (!edge_is_closed (callers[i]), "caller %d", i);
  edge_close (callers[0]);
  edge_wait_responses (site, later, 1);
  cr_expect (edge_has_status (later, "400"), "%s", later->answer);
}

static const struct
{
  uint64_t files;
  size_t callers;
} share_cases[] = {
  { 0, 0 },       { 1, 1 },       { 80, 45 },          { 1024, 618 },
  { 4096, 2922 }, { 8200, 6000 }, { 1048576, 786282 },
};

/* Failure: the callers' share leaves too little for connections to workers, or
   is empty where there are files.  */
Test (bounds, share_of_descriptors, .init = NULL, .fini = NULL)
{
  for (size_t i = 0; i < ROWS (share_cases); i++)
    cr_expect_eq (mq_bounds_callers (share_cases[i].files),
                  share_cases[i].callers, "%zu: %zu", i,
                  mq_bounds_callers (share_cases[i].files));
}
