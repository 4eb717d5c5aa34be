/* test_held_up.c - a router whose event loop was blocked, and what it does
   with the data that arrived meanwhile.

   Needs: Criterion, router_site.h, http_peer.h.  */

#include "router_site.h"
#include "http_peer.h"
#include "router/router_state.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define LINE "GET /call/a HTTP/1.1\r\n"
#define HOST "Host: h.example\r\n"
#define FIRST LINE HOST "X-Request-Id: q1\r\n\r\n"
#define REST HOST "X-Request-Id: q2\r\n\r\n"
/* Limits of the site: idle timeout 400 ms, head timeout 300 ms, sweep interval
   250 ms, new connections until 200 ms after a stop request.  BLOCKED_MS
   exceeds the sweep interval.  */
#define IDLE_MS 400U
#define READ_MS 20U
/* Route timeout, long enough for a busy machine.  */
#define TIMEOUT_MS 30000U
#define BLOCKED_MS 260U
/* Longer than the idle and head timeouts.  */
#define LIMITS_MS 450U

static struct edge_site *site;
static struct edge_call call;

/* Activates a configuration with IDLE_MS.  */
static void
set_idle (uint32_t idle_ms)
{
  long before = edge_counter (site, 0, "config_changes");

  site->idle_ms = idle_ms;
  edge_configure (site, TIMEOUT_MS, NULL);
  EDGE_WAIT (site, edge_counter (site, 0, "config_changes") > before);
}

static void
set_up (void)
{
  site = edge_create ();
  set_idle (IDLE_MS);
}

static void
tear_down (void)
{
  edge_destroy (site);
}

TestSuite (held_up, .init = set_up, .fini = tear_down, .timeout = 120);

/* Blocks the event loop; TEXT arrives AFTER_MS before it continues.  */
static void
block_loop_while_sending (const char *text, uint32_t after_ms, bool connects)
{
  usleep (BLOCKED_MS * 1000);
  if (connects)
    edge_call (site, &call, 0, text);
  else
    raw_send (call.fd, text, strlen (text));
  usleep (after_ms * 1000);
}

/* Destroys the router as soon as the stop is complete, as the daemon does.  */
static void
stop_like_daemon (void)
{
  while (!mq_router_stopped (site->routers[0]))
    tevent_loop_once (site->ev);
  edge_kill (site, 0);
}

/**
 * struct blocked_case - a request whose end arrives while the event loop is
 * blocked
 * @first: data sent before
 * @answered: number of responses received before
 * @stop_requested: a stop was requested; the router is destroyed when it is
 *                  complete
 * @connects: the request arrives on a new connection
 * @then: data sent meanwhile
 * @after_ms: time from then until the loop continues
 */
struct blocked_case
{
  const char *name;
  const char *first;
  int answered;
  bool stop_requested;
  bool connects;
  const char *then;
  uint32_t after_ms;
};

static const struct blocked_case blocked_cases[] = {
  { "request on an idle connection", FIRST, 1, false, false, LINE REST, 200 },
  /* Within the idle timeout, and the caller was not told to close.  */
  { "request beside a planned stop", FIRST, 1, true, false, LINE REST, 100 },
  { "new connection beside a planned stop", NULL, 0, true, true, LINE REST,
    100 },
  { "rest of a head", LINE, 0, false, false, REST, 200 },
};

/* Failure: timers run before sockets after the event loop was blocked, the
   connection is closed as idle, and a complete request on it gets no
   response.  */
Test (held_up, requests_received_while_blocked_are_answered)
{
  for (size_t i = 0; i < ROWS (blocked_cases); i++)
    {
      const struct blocked_case *row = &blocked_cases[i];

      if (row->first != NULL)
        edge_call (site, &call, 0, row->first);
      if (row->answered > 0)
        edge_wait_responses (site, &call, row->answered);
      else
        edge_run_for (site, READ_MS);
      if (row->stop_requested)
        mq_router_begin_stop (site->routers[0]);
      block_loop_while_sending (row->then, row->after_ms, row->connects);
      if (row->stop_requested)
        stop_like_daemon ();
      edge_wait_responses (site, &call, row->answered + 1);
      cr_expect_not_null (strstr (call.answer, "X-Request-Id: q2"),
                          "%s: closed %d after %s", row->name, call.closed,
                          call.answer);
      edge_close (&call);
      if (!row->stop_requested)
        edge_kill (site, 0);
      edge_start (site, 0);
    }
}

/**
 * struct check_case - a check of the connections while a request is unread
 * @first: data sent before
 * @answered: number of responses received before
 * @stops: the check is that of a stop, which closes the listener
 * @connects: the request is on a new connection, not accepted yet
 * @then: unread data
 */
struct check_case
{
  const char *name;
  const char *first;
  int answered;
  bool stops;
  bool connects;
  const char *then;
};

static const struct check_case check_cases[] = {
  { "rested connection", FIRST, 1, false, false, LINE REST },
  { "head over its time", LINE, 0, false, false, REST },
  { "idle connection at a stop", FIRST, 1, true, false, LINE REST },
  { "new connection at a stop", NULL, 0, true, true, LINE REST },
};

/* Failure: a check of the connections closes an idle connection with unread
   data, or the listener with pending connections, and their requests get no
   response.  */
Test (held_up, connection_check_with_unread_data)
{
  for (size_t i = 0; i < ROWS (check_cases); i++)
    {
      const struct check_case *row = &check_cases[i];

      if (row->connects)
        edge_call (site, &call, 0, row->then);
      else
        edge_call (site, &call, 0, row->first);
      if (row->answered > 0)
        edge_wait_responses (site, &call, row->answered);
      else if (!row->connects)
        edge_run_for (site, READ_MS);
      usleep (LIMITS_MS * 1000);
      if (!row->connects)
        raw_send (call.fd, row->then, strlen (row->then));
      if (row->stops)
        mq_callers_stop (site->routers[0]);
      else
        mq_callers_sweep (site->routers[0]);
      edge_wait_responses (site, &call, row->answered + 1);
      cr_expect_not_null (strstr (call.answer, "X-Request-Id: q2"),
                          "%s: closed %d after %s", row->name, call.closed,
                          call.answer);
      edge_close (&call);
      edge_kill (site, 0);
      edge_start (site, 0);
    }
}

/**
 * struct idle_case - an idle timeout and the field sent to callers
 */
struct idle_case
{
  uint32_t idle_ms;
  const char *told;
};

static const struct idle_case idle_cases[] = {
  { 15000, "Keep-Alive: timeout=12\r\n" },
  { 1300, "Keep-Alive: timeout=1\r\n" },
  /* Below a second nothing is advertised.  */
  { 1200, NULL },
};

/* Failure: a caller sends a request while the idle connection is being closed
   and gets no response.  The advertised idle timeout must be shorter than the
   actual one.  */
Test (held_up, idle_timeout_is_advertised)
{
  for (size_t i = 0; i < ROWS (idle_cases); i++)
    {
      const struct idle_case *row = &idle_cases[i];

      set_idle (row->idle_ms);
      cr_expect_eq (edge_request (site, &call, 0, FIRST), 200);
      if (row->told != NULL)
        cr_expect_not_null (strstr (call.answer, row->told), "%s",
                            call.answer);
      else
        cr_expect_null (strstr (call.answer, "Keep-Alive"), "%s", call.answer);
    }
}

/* A response that closes the connection does not advertise an idle
   timeout.  */
Test (held_up, closing_response_advertises_no_idle_timeout)
{
  set_idle (15000);
  mq_router_begin_stop (site->routers[0]);
  cr_assert_eq (edge_request (site, &call, 0, FIRST), 200);
  cr_expect_not_null (strstr (call.answer, "Connection: close"));
  cr_expect_null (strstr (call.answer, "Keep-Alive"));
}

/* Failure: a shorter idle timeout is applied to connections whose callers were
   told a longer one.  */
Test (held_up, advertised_idle_timeout_is_kept)
{
  set_idle (15000);
  edge_call (site, &call, 0, FIRST);
  edge_wait_responses (site, &call, 1);
  set_idle (IDLE_MS);
  usleep (LIMITS_MS * 1000);
  mq_callers_sweep (site->routers[0]);
  raw_send (call.fd, LINE REST, strlen (LINE REST));
  edge_wait_responses (site, &call, 2);
  cr_expect_not_null (strstr (call.answer, "X-Request-Id: q2"),
                      "closed %d after %s", call.closed, call.answer);
  edge_close (&call);
}

/* Failure: a closed idle connection is still read, and its caller cannot tell
   that a request sent during the close did not run.  The connection must be
   reset.  */
Test (held_up, requests_crossing_a_close_are_reset)
{
  for (int stops = 0; stops < 2; stops++)
    {
      edge_call (site, &call, 0, FIRST);
      edge_wait_responses (site, &call, 1);
      usleep (LIMITS_MS * 1000);
      for (int i = 0; i < stops * 2; i++)
        mq_callers_stop (site->routers[0]);
      if (stops == 0)
        mq_callers_sweep (site->routers[0]);
      raw_send (call.fd, LINE REST, strlen (LINE REST));
      edge_run_for (site, READ_MS);
      cr_expect_eq (raw_send (call.fd, LINE REST, strlen (LINE REST)), 0,
                    "stops %d", stops);
      edge_close (&call);
    }
}

#define PIPELINED_REQUESTS 200

/* Returns COUNT requests with ids q1 to q<COUNT>, each with PAD extra
   bytes.  */
static char *
make_requests (int count, int pad)
{
  char *text = talloc_strdup (site, "");

  for (int i = 1; i <= count; i++)
    text = talloc_asprintf_append_buffer (
        text, LINE HOST "X-Pad: %0*d\r\nX-Request-Id: q%d\r\n\r\n", pad, 0, i);
  return text;
}

/* Failure: a planned stop completes while responses are unsent to a slow
   caller.  */
Test (held_up, stop_waits_for_unsent_responses)
{
  struct mq_router *router = site->routers[0];
  char *text = make_requests (PIPELINED_REQUESTS, 1);
  int bytes = 4096;

  cr_assert_eq (setsockopt (router->front_fd, SOL_SOCKET, SO_SNDBUF, &bytes,
                            sizeof bytes),
                0);
  edge_call (site, &call, 0, text);
  EDGE_WAIT (site, router->counters.served == PIPELINED_REQUESTS);
  mq_router_begin_stop (router);
  EDGE_WAIT (site, router->caller_count == 0);
  if (!mq_router_stopped (router))
    edge_wait_responses (site, &call, PIPELINED_REQUESTS);
  EDGE_WAIT (site, mq_router_stopped (router));
  edge_kill (site, 0);
  edge_wait_responses (site, &call, PIPELINED_REQUESTS);
  cr_expect_not_null (strstr (call.answer, "X-Request-Id: q200\r\n"),
                      "closed %d after %zu bytes", call.closed,
                      strlen (call.answer));
  edge_close (&call);
  edge_start (site, 0);
}

/* More than the read-ahead limit.  */
#define PIPELINED_MANY 60
#define PIPELINED_PAD_BYTES 1500

static const char *const first_requests[] = {
  FIRST,
  /* The response head is sent before the other requests arrive and cannot
     announce that the connection closes.  */
  "POST /turn/a HTTP/1.1\r\n" HOST
  "X-Request-Id: q0\r\nContent-Length: 0\r\n\r\n",
};

/* Failure: pipelined requests beyond the read-ahead limit are dropped without
   a response.  */
Test (held_up, pipelined_requests_are_answered)
{
  char *text = make_requests (PIPELINED_MANY, PIPELINED_PAD_BYTES);
  size_t len = strlen (text);

  site->llm_plan = (struct worker_plan){ WORKER_STALL, 1 };
  for (size_t i = 0; i < ROWS (first_requests); i++)
    {
      size_t sent = 0;

      edge_call (site, &call, 0, first_requests[i]);
      while (strstr (call.answer, "200 OK") == NULL)
        {
          edge_run_for (site, 1);
          call.closed = raw_read (call.fd, call.answer, sizeof call.answer);
        }
      while (sent < len && !call.closed)
        {
          sent += raw_send (call.fd, text + sent, len - sent);
          edge_run_for (site, 1);
          call.closed = raw_read (call.fd, call.answer, sizeof call.answer);
        }
      edge_wait_responses (site, &call, PIPELINED_MANY + 1);
      cr_expect_not_null (strstr (call.answer, "X-Request-Id: q60\r\n"),
                          "%zu: closed %d after %s", i, call.closed,
                          call.answer);
      edge_close (&call);
    }
}

/* Enough routes for a configuration of about 600 KB.  */
#define LONG_ROUTES 4250U
/* More than one step parses, and small enough for the stand-in of the table to
   send within the timeout of a call.  */
#define SOME_ROUTES 500U

/* Makes the table unavailable, so that configurations of other hosts are
   accepted.  */
static void
lose_table (void)
{
  rows_server_set_fault (site->rows, ROWS_UNAVAILABLE);
  EDGE_WAIT (site, !mq_rows_feeds_healthy (site->routers[0]->rows));
}

/* Delivers configuration TEXT as from another host.  */
static void
deliver_config (const char *text)
{
  struct mq_relay_state state = { .same_workers = true };

  state.config
      = (struct mq_bytes){ (uint8_t *)(uintptr_t)text, strlen (text) };
  mq_feed_on_state (&state, site->routers[0]);
}

/* Failure: loading a large configuration blocks the event loop.  A pending
   request must be started before the configuration is active.  */
Test (held_up, long_configuration_does_not_block_requests)
{
  struct mq_router *router = site->routers[0];
  uint64_t changes = router->counters.config_changes;
  uint64_t requests;
  char *text;

  lose_table ();
  edge_call (site, &call, 0, FIRST);
  edge_wait_responses (site, &call, 1);
  site->extra_routes = LONG_ROUTES;
  text = edge_config_text (site, TIMEOUT_MS, NULL);
  requests = router->counters.requests;
  raw_send (call.fd, LINE REST, strlen (LINE REST));
  deliver_config (text);
  while (router->counters.config_changes == changes
         && router->counters.requests == requests)
    tevent_loop_once (site->ev);
  cr_expect_eq (router->counters.requests, requests + 1);
  cr_expect_eq (router->counters.config_changes, changes);
  EDGE_WAIT (site, router->counters.config_changes > changes);
  edge_wait_responses (site, &call, 2);
  cr_expect_not_null (strstr (call.answer, "X-Request-Id: q2"));
  rows_server_set_fault (site->rows, ROWS_NO_FAULT);
}

/* What arrives while a long configuration is loaded.  */
enum meanwhile
{
  MEANWHILE_NEWER,
  MEANWHILE_OLDER,
  MEANWHILE_SAME,
  MEANWHILE_UNUSABLE,
  MEANWHILE_END
};

/* Failure: a configuration arrives while a long one is loaded, and a partial
   or older one becomes active or the newest one is lost.  */
Test (held_up, configurations_received_during_a_long_load)
{
  struct mq_router *router = site->routers[0];
  char *old = edge_config_text (site, TIMEOUT_MS, NULL);

  lose_table ();
  for (int i = 0; i < MEANWHILE_END; i++)
    {
      char *text;
      char *other;
      uint64_t whole;
      uint64_t newest;

      site->extra_routes = LONG_ROUTES;
      text = edge_config_text (site, TIMEOUT_MS, NULL);
      whole = newest = (uint64_t)site->config_version;
      deliver_config (text);
      cr_assert_lt (router->routes->version, whole);
      other = old;
      if (i == MEANWHILE_NEWER)
        {
          other = edge_config_text (site, TIMEOUT_MS, "/new/");
          newest = (uint64_t)site->config_version;
        }
      if (i == MEANWHILE_SAME)
        other = text;
      if (i == MEANWHILE_UNUSABLE)
        other = talloc_strdup (site, "{");
      deliver_config (other);
      while (router->config_loading != NULL)
        {
          uint64_t version = router->routes->version;

          tevent_loop_once (site->ev);
          cr_assert_geq (router->routes->version, version);
          if (router->routes->version >= whole)
            cr_assert_geq (router->routes->route_count, LONG_ROUTES);
        }
      cr_assert_eq (router->routes->version, newest, "case %d", i);
    }
  rows_server_set_fault (site->rows, ROWS_NO_FAULT);
}

/* Failure: a request for a new route gets 404 although the table already has
   the configuration that adds it.  */
Test (held_up, missing_route_needs_the_latest_configuration)
{
  static const char ask[]
      = "GET /new/a HTTP/1.1\r\n" HOST "X-Request-Id: q3\r\n\r\n";
  struct mq_router *router = site->routers[0];

  for (int heard = 0; heard < 2; heard++)
    {
      site->extra_routes = SOME_ROUTES;
      edge_configure (site, TIMEOUT_MS, heard == 0 ? "/other/" : "/new/");
      edge_configure (site, TIMEOUT_MS, "/new/");
      while (heard == 1 && router->config_loading == NULL)
        tevent_loop_once (site->ev);
      cr_expect_eq (edge_request (site, &call, 0, ask), 200, "%s",
                    call.answer);
      edge_configure (site, TIMEOUT_MS, NULL);
      EDGE_WAIT (site,
                 router->routes->version == (uint64_t)site->config_version);
      cr_expect_eq (edge_request (site, &call, 0, ask), 404, "%s",
                    call.answer);
    }
}

#define CALLERS 20
/* One pending read, one for the requests that arrived after it began, and a
   few of other modules.  */
#define READS_MAX 6U

/* Failure: each request without a route reads the whole configuration, and
   concurrent reads time out.  Concurrent requests must share a read.  */
Test (held_up, requests_without_a_route_share_a_read)
{
  static struct edge_call calls[CALLERS];
  size_t before = rows_server_read_count (site->rows);

  for (int i = 0; i < CALLERS; i++)
    edge_call (site, &calls[i], 0,
               "GET /none/a HTTP/1.1\r\n" HOST "X-Request-Id: q4\r\n\r\n");
  for (int i = 0; i < CALLERS; i++)
    {
      edge_wait_responses (site, &calls[i], 1);
      cr_expect_not_null (strstr (calls[i].answer, " 404 "), "%s",
                          calls[i].answer);
      edge_close (&calls[i]);
    }
  cr_expect_leq (rows_server_read_count (site->rows) - before, READS_MAX);
}

/* A request is answered by a read that began after it arrived, and a
   disconnected caller is not notified.  */
Test (held_up, request_is_answered_by_a_later_read)
{
  static const char ask[]
      = "GET /new/a HTTP/1.1\r\n" HOST "X-Request-Id: q5\r\n\r\n";
  static struct edge_call first;
  static struct edge_call gone;
  struct mq_router *router = site->routers[0];
  uint64_t requests = router->counters.requests;

  edge_call (site, &first, 0, ask);
  edge_call (site, &gone, 0, ask);
  while (router->counters.requests < requests + 2)
    tevent_loop_once (site->ev);
  edge_close (&gone);
  edge_configure (site, TIMEOUT_MS, "/new/");
  edge_call (site, &call, 0, ask);
  edge_wait_responses (site, &call, 1);
  cr_expect_not_null (strstr (call.answer, " 200 "), "%s", call.answer);
  edge_wait_responses (site, &first, 1);
  edge_close (&first);
}
