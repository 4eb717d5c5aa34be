/* test_stop.c - a planned stop answers every whole request.

   Needs: Criterion, router_site.h, http_peer.h, stepped_clock.h.  */

#include "http_peer.h"
#include "net/clock.h"
#include "router/router_state.h"
#include "router_site.h"
#include "stepped_clock.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define HOST "Host: h.example\r\n"
#define ID(id) "X-Request-Id: " id "\r\n"
#define KEY "X-Key: acme-1\r\n"
/* Longer than a stop of the site takes, 2000 ms.  */
#define TIMEOUT_MS 30000U
/* Requests by which a host must have found the issuer.  */
#define ISSUER_TRIES 20
#define ISSUER_PAUSE_MS 100U
/* Time in which a router that stops releases its leases.  */
#define RELEASED_MS 2500U
/* Stop that ends while the event loop is blocked; ten times as long as the
   loop runs before.  */
#define BLOCKED_STOP_MS 5000U
/* Stop of a router that stays until the test ends.  */
#define LONG_STOP_MS 60000U
#define LIMITED                                                               \
  "[{\"name\":\"acme\",\"apiKeys\":[\"acme-1\"],\"ratePerS\":100,"            \
  "\"burst\":100}]"

static struct edge_site *site;
static struct edge_call call;

static void
set_up (void)
{
  stepped_clock_begin ();
  site = edge_create ();
}

/* The stepped clock runs what is due only after all descriptors.  */
static void
set_up_on_machine_clock (void)
{
  site = edge_create ();
}

static void
tear_down (void)
{
  edge_destroy (site);
}

TestSuite (stop, .init = set_up, .fini = tear_down, .timeout = 120);
TestSuite (stop_blocked, .init = set_up_on_machine_clock, .fini = tear_down,
           .timeout = 120);

/* Activates the next configuration at router 0.  */
static void
configure (const char *organisations)
{
  long before = edge_counter (site, 0, "config_changes");

  site->organisations = organisations;
  edge_configure (site, TIMEOUT_MS, NULL);
  EDGE_WAIT (site, edge_counter (site, 0, "config_changes") > before);
}

/* Destroys the router as soon as the stop is complete, as the daemon does.  */
static void
run_until_stopped (int index)
{
  while (!mq_router_stopped (site->routers[index]))
    if (stepped_clock_is_used ())
      edge_run_for (site, 1);
    else
      tevent_loop_once (site->ev);
  edge_kill (site, index);
}

static int
status_of (const struct edge_call *answered)
{
  return strncmp (answered->answer, "HTTP/1.1 ", 9) == 0
             ? atoi (answered->answer + 9)
             : 0;
}

/**
 * struct waiting_case - a request that waits when a stop begins
 * @fault: of the table, from before the request on
 * @step: of all workers
 * @stop_ms: time limit of the stop, shorter than the request would wait unless
 *           it ends by itself
 * @status: expected, 503 only if no worker received the request
 * @has: part of the response
 */
struct waiting_case
{
  const char *name;
  const char *id;
  const char *text;
  enum rows_fault fault;
  enum worker_behaviour step;
  uint32_t stop_ms;
  int status;
  const char *has;
};

static const struct waiting_case waiting_cases[] = {
  { "worker without a response", "q1",
    "GET /once/a HTTP/1.1\r\n" HOST ID ("q1") "\r\n", ROWS_NO_FAULT,
    WORKER_HANG, 2000, 502, "failed" },
  { "worker without a response, with a body", "q2",
    "POST /once/a HTTP/1.1\r\n" HOST ID ("q2") "Content-Length: 2\r\n\r\nxy",
    ROWS_NO_FAULT, WORKER_HANG, 2000, 502, "failed" },
  { "turn while the table does not answer", "q3",
    "POST /kept/a HTTP/1.1\r\n" HOST ID (
        "q3") "X-Program-Id: p\r\nX-Token-Budget: 80\r\nX-Token-Count: "
              "10,8\r\n"
              "Content-Length: 0\r\n\r\n",
    ROWS_NO_RESPONSE, WORKER_SERVE, 400, 503, "exiting" },
  { "no route while the table does not answer", "q4",
    "GET /none/a HTTP/1.1\r\n" HOST ID ("q4") "\r\n", ROWS_NO_RESPONSE,
    WORKER_SERVE, 2000, 503, "not_ready" },
};

/* Failure: a planned stop reaches its time limit, and the process exits while
   whole requests wait; their callers see a closed connection.  */
Test (stop, waiting_requests_are_answered)
{
  configure (NULL);
  for (size_t i = 0; i < ROWS (waiting_cases); i++)
    {
      const struct waiting_case *row = &waiting_cases[i];

      site->app_plan = (struct worker_plan){ row->step, 1 };
      rows_server_set_fault (site->rows, row->fault);
      edge_call (site, &call, 0, row->text);
      edge_run_for (site, 20);
      site->settings[0].stop_ms = row->stop_ms;
      mq_router_apply_settings (site->routers[0], &site->settings[0]);
      mq_router_begin_stop (site->routers[0]);
      run_until_stopped (0);
      edge_wait_responses (site, &call, 1);
      cr_expect_eq (status_of (&call), row->status, "%s: closed %d after %s",
                    row->name, call.closed, call.answer);
      cr_expect_not_null (strstr (call.answer, row->has), "%s: %s", row->name,
                          call.answer);
      cr_expect_eq (edge_find_run (site, row->id) == NULL, row->status == 503,
                    "%s", row->name);
      edge_close (&call);
      rows_server_set_fault (site->rows, ROWS_NO_FAULT);
      edge_start (site, 0);
    }
}

#define SLOW_BODY_BYTES 200
#define BYTE_INTERVAL_MS 100U
#define SLOW_BYTES 5

/* Failure: the last bytes of a request arrive as the time of a stop ends, and
   the process exits without answering it.  */
Test (stop_blocked, request_complete_at_the_end_is_answered)
{
  char rest[SLOW_BODY_BYTES - SLOW_BYTES];
  uint64_t end;

  memset (rest, 'x', sizeof rest);
  configure (NULL);
  site->app_plan = (struct worker_plan){ WORKER_HANG, 1 };
  edge_call (site, &call, 0,
             "POST /once/a HTTP/1.1\r\n" HOST ID (
                 "q1") "Content-Length: 200\r\n\r\n");
  site->settings[0].stop_ms = BLOCKED_STOP_MS;
  mq_router_apply_settings (site->routers[0], &site->settings[0]);
  mq_router_begin_stop (site->routers[0]);
  end = mq_clock_ms () + BLOCKED_STOP_MS;
  for (int i = 0; i < SLOW_BYTES; i++)
    {
      raw_send (call.fd, "x", 1);
      edge_run_for (site, BYTE_INTERVAL_MS);
    }
  while (mq_clock_ms () <= end)
    usleep (BYTE_INTERVAL_MS * 1000);
  raw_send (call.fd, rest, sizeof rest);
  run_until_stopped (0);
  edge_wait_responses (site, &call, 1);
  cr_expect_eq (status_of (&call), 503, "closed %d after %s", call.closed,
                call.answer);
  cr_expect_null (edge_find_run (site, "q1"));
  edge_close (&call);
  edge_start (site, 0);
}

/* Requests of organisations with a limit at hosts that stop */

static int
ask (int router, const char *id)
{
  char text[256];

  snprintf (text, sizeof text,
            "GET /once/a HTTP/1.1\r\n" HOST "X-Request-Id: %s\r\n" KEY "\r\n",
            id);
  return edge_request (site, &call, router, text);
}

static bool
issues_permits (int router)
{
  struct mq_reserve_own_lease own;

  return mq_reserve_issues (site->routers[router], mq_reserve_slot ("acme"),
                            &own);
}

/* Returns true if one of ISSUER_TRIES requests to ROUTER is served.  */
static bool
is_served (int router, const char *id)
{
  for (int i = 0; i < ISSUER_TRIES; i++)
    {
      if (ask (router, id) == 200)
        return true;
      edge_run_for (site, ISSUER_PAUSE_MS);
    }
  return false;
}

/* Starts router 1, which uses the permits of router 0.  */
static void
start_two (void)
{
  configure (LIMITED);
  EDGE_WAIT (site, issues_permits (0));
  edge_start (site, 1);
  cr_assert (is_served (1, "first"), "%s", call.answer);
  cr_assert_eq (edge_counter (site, 1, "permits_issued"), 0);
}

/* Begins a stop that takes connections for SETTLE_MS.  */
static void
begin_stop (int index, uint32_t settle_ms)
{
  site->settings[index].stop_ms = 2 * settle_ms;
  site->settings[index].settle_ms = settle_ms;
  mq_router_apply_settings (site->routers[index], &site->settings[index]);
  mq_router_begin_stop (site->routers[index]);
}

/* Failure: a host that stops asks a host that has released its leases for
   permits, which denies each time, until the caller's time is over.  */
Test (stop, request_without_an_issuer_is_refused)
{
  uint64_t since;

  start_two ();
  begin_stop (0, LONG_STOP_MS);
  begin_stop (1, LONG_STOP_MS);
  EDGE_WAIT (site, !issues_permits (0));
  since = mq_clock_ms ();
  cr_expect_eq (ask (1, "q1"), 503, "%s", call.answer);
  cr_expect_lt (mq_clock_ms () - since, TIMEOUT_MS / 2);
  cr_expect_null (edge_find_run (site, "q1"));
}

/* Failure: a host that stops no longer reads the leases and asks for permits
   at hosts that are gone, while another host issues them.  */
Test (stop, moved_lease_is_followed)
{
  start_two ();
  begin_stop (1, LONG_STOP_MS);
  begin_stop (0, RELEASED_MS);
  run_until_stopped (0);
  edge_start (site, 0);
  EDGE_WAIT (site, issues_permits (0));
  cr_expect (is_served (1, "q1"), "%s", call.answer);
}

#define STANDING_REQUESTS 20

/* Failure: a host that stops keeps the rates that were lent to it, the issuer
   can't release its leases when it stops as well, and requests are refused
   until the leases expire.  */
Test (stop, lent_rates_are_returned)
{
  start_two ();
  for (int i = 0; i < STANDING_REQUESTS; i++)
    cr_assert_eq (ask (1, "use"), 200);
  EDGE_WAIT (site,
             mq_issuing_has_lent (site->routers[0], mq_reserve_slot ("acme")));
  begin_stop (1, RELEASED_MS);
  run_until_stopped (1);
  begin_stop (0, RELEASED_MS);
  run_until_stopped (0);
  edge_start (site, 0);
  cr_expect (is_served (0, "q1"), "%s", call.answer);
}

/* Longer than a host polls for an organisation without requests, 5 s.  */
#define NO_POLL_MS 6000U
/* Time after which an issuer, which begins without any, has a permit.  */
#define FIRST_PERMIT_MS 10U

/* Failure: a denial from before a pause still counts after it, and a request
   is refused at once without looking for the issuer that exists by then.  */
Test (stop, denial_before_a_pause_does_not_refuse_after_it)
{
  start_two ();
  begin_stop (1, LONG_STOP_MS);
  begin_stop (0, RELEASED_MS);
  run_until_stopped (0);
  cr_expect_eq (ask (1, "q1"), 503, "%s", call.answer);
  edge_run_for (site, NO_POLL_MS);
  edge_start (site, 0);
  EDGE_WAIT (site, issues_permits (0));
  edge_run_for (site, FIRST_PERMIT_MS);
  cr_expect_eq (ask (1, "q2"), 200, "%s", call.answer);
}
