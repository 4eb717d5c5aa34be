/* test_router.c - the router between stand-ins of the users' platform: what
   callers and workers see, with the faults of each side.

   Needs: Criterion, router_site.h.  */

#include "router_site.h"
#include "http_peer.h"
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define HOST "Host: h.example\r\n"
#define ID "X-Request-Id: q1\r\n"
#define NO_BODY "Content-Length: 0\r\n\r\n"

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

TestSuite (router, .init = set_up, .fini = tear_down, .timeout = 120);

static int
runs_of (struct worker_server *const workers[EDGE_WORKERS])
{
  int runs = 0;

  for (int i = 0; i < EDGE_WORKERS; i++)
    runs += worker_server_run_count (workers[i]);
  return runs;
}

static int
asked_of (struct worker_server *const workers[EDGE_WORKERS])
{
  int asked = 0;

  for (int i = 0; i < EDGE_WORKERS; i++)
    asked += worker_server_request_count (workers[i]);
  return asked;
}

/* The last request that any of the workers ran.  */
static const struct worker_run *
last_run (struct worker_server *const workers[EDGE_WORKERS], const char *id)
{
  for (int i = 0; i < EDGE_WORKERS; i++)
    for (int k = worker_server_run_count (workers[i]) - 1; k >= 0; k--)
      if (strcmp (worker_server_get_run (workers[i], k)->id, id) == 0)
        return worker_server_get_run (workers[i], k);
  cr_assert_fail ("%s was not run", id);
  return NULL;
}

/* Whole messages and their answers.  */
struct served_case
{
  const char *name;
  const char *text;
  int status;
  const char *has;
  const char *lacks;
};

Test (router, served)
{
  static const struct served_case cases[] = {
    { "call", "GET /call/a?x=1 HTTP/1.1\r\n" HOST ID "\r\n", 200, "done",
      "Connection: close" },
    { "once", "POST /once/a HTTP/1.1\r\n" HOST ID NO_BODY, 200, "done", "" },
    { "host with a port",
      "GET /call/a HTTP/1.1\r\nHost: h.example:80\r\n" ID "\r\n", 200, "done",
      "" },
    { "chunks",
      "POST /once/a HTTP/1.1\r\n" HOST ID
      "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
      200, "done", "" },
    { "stream", "POST /turn/a HTTP/1.1\r\n" HOST ID NO_BODY, 200, "data: e4",
      "Content-Length" },
    { "signature", "GET /call/a HTTP/1.1\r\n" HOST ID "\r\n", 200,
      "X-Server-Stamp: s.app", "" },
    { "caller closes",
      "GET /call/a HTTP/1.1\r\n" HOST ID "Connection: close\r\n\r\n", 200,
      "Connection: close", "" },
    { "head", "HEAD /call/a HTTP/1.1\r\n" HOST ID "\r\n", 200, "", "done" },
    { "no route", "GET /other/a HTTP/1.1\r\n" HOST ID "\r\n", 404, "", "" },
    { "other host", "GET /call/a HTTP/1.1\r\nHost: i.example\r\n" ID "\r\n",
      404, "", "" },
    { "prefix without its slash", "GET /call HTTP/1.1\r\n" HOST ID "\r\n", 404,
      "", "" },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      const struct served_case *row = &cases[i];
      int status = edge_ask (site, &call, 0, row->text);

      cr_assert_eq (status, row->status, "%s: %s", row->name, call.answer);
      cr_assert (strstr (call.answer, row->has) != NULL, "%s: %s", row->name,
                 call.answer);
      cr_assert (row->lacks[0] == '\0'
                     || strstr (call.answer, row->lacks) == NULL,
                 "%s: %s", row->name, call.answer);
    }
}

/* A caller slips a second request into the body of its first, or sends what
   two readers understand differently.  What is passed on must be one request
   or none.  */
Test (router, malformed_messages_are_refused_and_not_passed_on)
{
  static const struct served_case cases[] = {
    { "both lengths",
      "POST /once/a HTTP/1.1\r\n" HOST ID
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\n",
      400, "", "" },
    { "two lengths",
      "POST /once/a HTTP/1.1\r\n" HOST ID
      "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      400, "", "" },
    { "bad chunk",
      "POST /once/a HTTP/1.1\r\n" HOST ID
      "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
      400, "", "" },
    { "coding that is not chunked",
      "POST /once/a HTTP/1.1\r\n" HOST ID
      "Transfer-Encoding: xchunked\r\n\r\n",
      400, "", "" },
    { "coding twice",
      "POST /once/a HTTP/1.1\r\n" HOST ID "Transfer-Encoding: chunked\r\n"
      "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n",
      400, "", "" },
    { "no host", "GET /call/a HTTP/1.1\r\n" ID "\r\n", 400, "", "" },
    { "two hosts", "GET /call/a HTTP/1.1\r\n" HOST HOST ID "\r\n", 400, "",
      "" },
    { "no id", "GET /call/a HTTP/1.1\r\n" HOST "\r\n", 400, "", "" },
    { "not HTTP", "\001\002\003\r\n\r\n", 400, "", "" },
    { "blank in a name", "GET /call/a HTTP/1.1\r\nX y : z\r\n" HOST ID "\r\n",
      400, "", "" },
    { "body too large",
      "POST /once/a HTTP/1.1\r\n" HOST ID "Content-Length: 5000\r\n\r\n", 413,
      "", "" },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      int status = edge_ask (site, &call, 0, cases[i].text);

      cr_assert_eq (status, cases[i].status, "%s: %s", cases[i].name,
                    call.answer);
    }
  cr_assert_eq (asked_of (site->app), 0);
}

Test (router, head_over_its_bound)
{
  char text[4096];
  int len = snprintf (text, sizeof text,
                      "GET /call/a HTTP/1.1\r\n" HOST ID "X-Long: ");

  memset (text + len, 'x', 2100);
  snprintf (text + len + 2100, 8, "\r\n\r\n");
  cr_assert_eq (edge_ask (site, &call, 0, text), 431);
}

/* A caller begins a message and never ends it, or keeps a connection without
   use: neither may hold the connection for ever.  */
Test (router, slow_and_idle_callers)
{
  edge_call (site, &call, 0, "GET /call/a HT");
  edge_wait (site, &call, 1);
  cr_assert_eq (strncmp (call.answer, "HTTP/1.1 408", 12), 0, "%s",
                call.answer);
  edge_hang_up (&call);
  edge_call (site, &call, 0, "GET /call/a HTTP/1.1\r\n" HOST ID "\r\n");
  edge_wait (site, &call, 1);
  cr_assert_not (call.closed);
  edge_wait (site, &call, 2);
  cr_assert (call.closed);
  edge_hang_up (&call);
}

Test (router, requests_in_a_row_on_one_connection)
{
  edge_call (site, &call, 0,
             "GET /call/a HTTP/1.1\r\n" HOST ID "\r\n"
             "GET /call/b HTTP/1.1\r\n" HOST "X-Request-Id: q2\r\n\r\n"
             "POST /turn/b HTTP/1.1\r\n" HOST "X-Request-Id: q3\r\n" NO_BODY);
  edge_wait (site, &call, 3);
  cr_assert_not_null (strstr (call.answer, "X-Request-Id: q1"));
  cr_assert_not_null (strstr (call.answer, "X-Request-Id: q2"));
  cr_assert_not_null (strstr (call.answer, "X-Request-Id: q3"));
  edge_hang_up (&call);
}

/* What a caller may not set for a worker, and what concerns its own
   connection alone, does not reach the worker.  */
Test (router, fields_that_are_not_passed_on)
{
  const struct worker_run *run;

  edge_ask (site, &call, 0,
            "GET /call/a?b=c HTTP/1.1\r\n" HOST ID
            "X-Hold: h1\r\nX-Expect-Instance: app-9\r\n"
            "Connection: X-Private\r\nX-Private: secret\r\n"
            "X-Deadline-Ms: 1500\r\n\r\n");
  run = last_run (site->app, "q1");
  cr_assert_str_eq (run->hold, "");
  cr_assert_str_eq (run->connection, "");
  cr_assert_eq (strncmp (run->instance, "app-", 4), 0);
  cr_assert_str_neq (run->instance, "app-9");
  cr_assert_str_eq (run->target, "/call/a?b=c");
  cr_assert (run->deadline_ms > 1000 && run->deadline_ms <= 1500, "%lu",
             run->deadline_ms);
}

/* Runs that were to go on after EVENT.  */
static int
runs_after (struct worker_server *const workers[EDGE_WORKERS],
            const char *event)
{
  int count = 0;

  for (int i = 0; i < EDGE_WORKERS; i++)
    for (int k = 0; k < worker_server_run_count (workers[i]); k++)
      if (strcmp (worker_server_get_run (workers[i], k)->last_event, event)
          == 0)
        count++;
  return count;
}

/* What a worker may do with a request, what the caller then gets, and on how
   many workers the request has run.  */
struct fault_case
{
  const char *name;
  enum worker_behaviour step;
  int steps;
  const char *path;
  int status;
  int runs;
  const char *has;
};

Test (router, faults_of_workers)
{
  static const struct fault_case cases[] = {
    { "full, then served", WORKER_FULL, 1, "/once/", 200, 1, "done" },
    { "full everywhere", WORKER_FULL, 2, "/once/", 503, 0, "Retry-After" },
    { "another worker there", WORKER_MISDIRECTED, 1, "/once/", 200, 1,
      "done" },
    { "no answer, may repeat", WORKER_CLOSE, 1, "/call/", 200, 2, "done" },
    { "no answer, once", WORKER_CLOSE, 1, "/once/", 502, 1, "" },
    { "reset, may repeat", WORKER_RESET, 1, "/call/", 200, 2, "done" },
    { "reset, once", WORKER_RESET, 1, "/once/", 502, 1, "" },
    { "garbage, may repeat", WORKER_GARBAGE, 1, "/call/", 200, 2, "done" },
    { "garbage, once", WORKER_GARBAGE, 1, "/once/", 502, 1, "" },
    { "error, may repeat", WORKER_ERROR, 1, "/call/", 200, 2, "done" },
    { "error twice", WORKER_ERROR, 2, "/call/", 500, 2, "X-Server-Stamp" },
    { "error, once", WORKER_ERROR, 1, "/once/", 500, 1, "X-Server-Stamp" },
    { "503 without a statement, once", WORKER_BARE_503, 1, "/once/", 502, 1,
      "" },
    { "nameless", WORKER_NO_REQUEST_ID, 1, "/once/", 502, 1, "" },
    { "another's answer first", WORKER_MISMATCHED_FIRST, 1, "/once/", 200, 1,
      "done" },
    { "unframed", WORKER_UNFRAMED, 1, "/once/", 200, 1, "done" },
    { "unframed and reset", WORKER_UNFRAMED_RESET, 1, "/once/", 502, 1, "" },
    { "silent, may repeat", WORKER_HANG, 1, "/call/", 200, 2, "done" },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      const struct fault_case *row = &cases[i];
      char text[256];
      int before = runs_of (site->app);
      int status;

      site->app_plan = (struct worker_plan){ row->step, row->steps };
      snprintf (text, sizeof text,
                "POST %sx HTTP/1.1\r\n" HOST "X-Request-Id: f%zu\r\n" NO_BODY,
                row->path, i);
      edge_call (site, &call, 0, text);
      edge_wait (site, &call, 1);
      edge_hang_up (&call);
      status = call.answer[0] == '\0' ? 0 : atoi (call.answer + 9);
      site->app_plan.count = 0;
      cr_assert_eq (status, row->status, "%s: %s", row->name, call.answer);
      cr_assert_eq (runs_of (site->app) - before, row->runs, "%s: %d runs",
                    row->name, runs_of (site->app) - before);
      cr_assert (strstr (call.answer, row->has) != NULL, "%s: %s", row->name,
                 call.answer);
      edge_kill (site, 0);
      edge_start (site, 0);
    }
}

/* What a worker did before it closes a connection on a request.  */
struct closing_case
{
  const char *name;
  int served;
  bool left_out;
};

static int
worker_with_runs (int runs)
{
  for (int i = 0; i < EDGE_WORKERS; i++)
    if (worker_server_run_count (site->llm[i]) == runs)
      return i;
  cr_assert_fail ("no worker with %d runs", runs);
  return -1;
}

/* A worker goes down and up by turns: it takes connections, and closes them on
   a request.  Each host sent it two turns before it noticed, each time that
   the worker was down, and callers got 502: one after the other of a program's
   three sends went to the same worker.  A new connection that is closed before
   any byte tells enough; on a kept one it may be the connection's end.  */
Test (router, worker_that_closes_new_connections)
{
  static const struct closing_case cases[] = {
    { "new connection", 0, true },
    { "kept connection", 1, false },
  };
  static const char turn[]
      = "POST /kept/a HTTP/1.1\r\n" HOST ID "X-Program-Id: p1\r\n" NO_BODY;

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      const struct closing_case *row = &cases[i];
      int worker;

      tear_down ();
      set_up ();
      for (int k = 0; k < row->served; k++)
        cr_assert_eq (edge_ask (site, &call, 0, turn), 200);
      site->llm_plan = (struct worker_plan){ WORKER_CLOSE, 1 };
      cr_assert_eq (edge_ask (site, &call, 0, turn), 502);
      worker = worker_with_runs (row->served + 1);
      cr_assert_eq (edge_ask (site, &call, 0, turn), 200);
      cr_expect_eq (worker_server_run_count (site->llm[worker])
                        == row->served + 1,
                    row->left_out, "%s", row->name);
    }
}

/* A worker answers a request twice on a kept connection.  The second answer
   must not be taken for that of the next request.  */
Test (router, second_answer_is_nobodys)
{
  edge_one_worker (site);
  site->app_plan = (struct worker_plan){ WORKER_DUPLICATE, 1 };
  for (int i = 0; i < 5; i++)
    {
      char text[128];

      snprintf (text, sizeof text,
                "GET /call/a HTTP/1.1\r\n" HOST "X-Request-Id: t%d\r\n\r\n",
                i);
      cr_assert_eq (edge_ask (site, &call, 0, text), 200);
      cr_assert_null (strstr (call.answer, "wrong"), "%s", call.answer);
    }
}

/* A worker breaks a stream off in the middle of an event.  The stream goes on
   at another worker after the last whole event, inside the same answer; the
   caller sees each event once.  */
Test (router, resumable_stream_goes_on_at_another_worker)
{
  static const char whole[] = "id: 1\ndata: e1\n\n";

  site->llm_plan = (struct worker_plan){ WORKER_TRUNCATED, 1 };
  edge_call (site, &call, 0, "POST /turn/a HTTP/1.1\r\n" HOST ID NO_BODY);
  edge_wait (site, &call, 1);
  edge_hang_up (&call);
  for (int i = 1; i <= 4; i++)
    {
      char event[64];
      const char *first;

      snprintf (event, sizeof event, "id: %d\ndata: e%d\n", i, i);
      first = strstr (call.answer, event);
      cr_assert_not_null (first, "event %d: %s", i, call.answer);
      cr_assert_null (strstr (first + 1, event), "event %d twice", i);
    }
  cr_assert_not_null (strstr (call.answer, whole));
  cr_assert_null (strstr (call.answer, "id: 9"));
  cr_assert_eq (runs_after (site->llm, "2"), 1);
}

/* The same on a route whose streams may run once: the answer ends without its
   last chunk, so that nobody takes it for a whole one.  */
Test (router, other_stream_breaks_off_visibly)
{
  site->llm_plan = (struct worker_plan){ WORKER_TRUNCATED, 1 };
  edge_call (site, &call, 0,
             "POST /kept/a HTTP/1.1\r\n" HOST ID
             "X-Program-Id: p1\r\n" NO_BODY);
  edge_wait (site, &call, 1);
  cr_assert (call.closed);
  cr_assert_not_null (strstr (call.answer, "data: e2"));
  cr_assert_null (strstr (call.answer, "\r\n0\r\n\r\n"));
  cr_assert_eq (runs_of (site->llm), 1);
  edge_hang_up (&call);
}

/* A worker gives half of a stream and then nothing, without closing.  */
Test (router, silent_stream_goes_on_at_another_worker)
{
  site->llm_plan = (struct worker_plan){ WORKER_STALL, 1 };
  edge_call (site, &call, 0, "POST /turn/a HTTP/1.1\r\n" HOST ID NO_BODY);
  EDGE_WAIT (site, asked_of (site->llm) == 1);
  edge_wait (site, &call, 1);
  edge_hang_up (&call);
  cr_assert_not_null (strstr (call.answer, "data: e4"), "%s", call.answer);
  cr_assert_eq (runs_of (site->llm), 2);
}

/* A caller leaves while a worker works for it: the worker is told at once by
   the end of its connection.  */
Test (router, caller_leaves)
{
  site->llm_plan = (struct worker_plan){ WORKER_STALL, 1 };
  edge_call (site, &call, 0, "POST /kept/a HTTP/1.1\r\n" HOST ID NO_BODY);
  EDGE_WAIT (site, asked_of (site->llm) == 1);
  edge_hang_up (&call);
  EDGE_WAIT (site, worker_server_closed_count (site->llm[0])
                           + worker_server_closed_count (site->llm[1])
                           + worker_server_closed_count (site->llm[2])
                       == 1);
}

/* A worker that never answers: the caller gets its final answer when the
   route's time is up, and it does not promise that nothing ran.  */
Test (router, time_is_up)
{
  edge_configure (site, 300, NULL);
  edge_run (site, 30);
  site->app_plan = (struct worker_plan){ WORKER_HANG, 1 };
  cr_assert_eq (
      edge_ask (site, &call, 0, "POST /once/a HTTP/1.1\r\n" HOST ID NO_BODY),
      504);
}

/* A worker that refuses connections had given its port back, and the table of
   a test beside it got it: it read a caller's request, ended on it, and the
   caller was told 502, since the request had been sent.  Seen beside load, one
   run of twenty: two tests failed in the same tenth of a second.  A port that
   refuses belongs to its worker.  */
Test (router, port_of_a_worker_that_refuses_is_kept)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in at = { .sin_family = AF_INET };

  worker_server_listen (site->app[0], false);
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  at.sin_port = htons (worker_server_port (site->app[0]));
  cr_expect_eq (bind (fd, (struct sockaddr *)&at, sizeof at), -1);
  close (fd);
  worker_server_listen (site->app[0], true);
  raw_close (raw_open (worker_server_port (site->app[0])), false);
}

/* No worker can be reached: refused, with a time to come back.  */
Test (router, no_worker)
{
  for (int i = 0; i < EDGE_WORKERS; i++)
    worker_server_listen (site->app[i], false);
  cr_assert_eq (
      edge_ask (site, &call, 0, "POST /once/a HTTP/1.1\r\n" HOST ID NO_BODY),
      503);
  cr_assert_not_null (strstr (call.answer, "Retry-After: "));
}

/* A worker that is leaving gets no new request; one that has left the list
   neither.  */
Test (router, leaving_workers_get_nothing)
{
  edge_list_worker (site, site->app[0], "app", "draining");
  edge_unlist_worker (site, site->app[1]);
  edge_run (site, 50);
  for (int i = 0; i < 8; i++)
    cr_assert_eq (
        edge_ask (site, &call, 0, "GET /call/a HTTP/1.1\r\n" HOST ID "\r\n"),
        200);
  cr_assert_eq (worker_server_run_count (site->app[0]), 0);
  cr_assert_eq (worker_server_run_count (site->app[1]), 0);
  cr_assert_eq (worker_server_run_count (site->app[2]), 8);
}

/* The table forgets its history while a configuration and a leaving worker
   come: the next list tells both.  */
Test (router, history_is_forgotten)
{
  rows_server_set_fault (site->rows, ROWS_STALL_FEEDS);
  edge_configure (site, 3000, "/new/");
  edge_list_worker (site, site->app[0], "app", "draining");
  rows_server_compact (site->rows);
  rows_server_set_fault (site->rows, ROWS_NO_FAULT);
  edge_run (site, 600);
  cr_assert_eq (
      edge_ask (site, &call, 0, "GET /new/a HTTP/1.1\r\n" HOST ID "\r\n"),
      200);
  cr_assert_eq (worker_server_run_count (site->app[0]), 0);
}

/* A route that is not known is looked up in the table before a caller is told
   so: the feed may be behind.  Where the table does not answer, the caller is
   told to come back.  */
Test (router, unknown_route_is_confirmed)
{
  rows_server_set_fault (site->rows, ROWS_STALL_FEEDS);
  edge_configure (site, 3000, "/new/");
  cr_assert_eq (
      edge_ask (site, &call, 0, "GET /new/a HTTP/1.1\r\n" HOST ID "\r\n"),
      200);
  rows_server_set_fault (site->rows, ROWS_REFUSE_CONNECTIONS);
  cr_assert_eq (
      edge_ask (site, &call, 0, "GET /newer/a HTTP/1.1\r\n" HOST ID "\r\n"),
      503);
}

/* Several calls at the same time, so that each of two workers gets some.  */
#define OTHERS 4

static void
ask_others (void)
{
  static struct edge_call others[OTHERS];

  for (int i = 0; i < OTHERS; i++)
    edge_call (site, &others[i], 0, "GET /call/b HTTP/1.1\r\n" HOST ID "\r\n");
  for (int i = 0; i < OTHERS; i++)
    {
      edge_wait (site, &others[i], 1);
      edge_hang_up (&others[i]);
    }
}

/* A worker runs a call that may be repeated, and its answer is lost; the
   worker goes on answering others.  The caller, who waits 1.2 s, used to be
   told at the end of that time that it may have run, though another worker
   could have answered him in the meantime.  */
Test (router, answer_is_lost_at_a_busy_worker)
{
  struct edge_call lost = { .fd = -1 };

  edge_one_worker (site);
  edge_list_worker (site, site->app[1], "app", "ready");
  edge_run (site, 50);
  site->app_plan = (struct worker_plan){ WORKER_HANG, 1 };
  edge_call (site, &lost, 0,
             "GET /call/a HTTP/1.1\r\n" HOST "X-Request-Id: lost\r\n"
             "X-Deadline-Ms: 1200\r\n\r\n");
  EDGE_WAIT (site, site->app_plan.count == 0);
  for (int i = 0; i < 120 && strchr (lost.answer, 'H') == NULL; i++)
    {
      ask_others ();
      edge_run (site, 10);
      raw_read (lost.fd, lost.answer, sizeof lost.answer);
    }
  cr_assert_not_null (strstr (lost.answer, "200 OK"), "%s", lost.answer);
  edge_hang_up (&lost);
}

/* Budgets and histories */

static int
ask_turn (int router, const char *id, const char *program, const char *more,
          const char *body)
{
  char text[1024];

  snprintf (text, sizeof text,
            "POST /kept/a HTTP/1.1\r\n" HOST "X-Request-Id: %s\r\n"
            "X-Program-Id: %s\r\nX-Token-Count: 10,8\r\n%s"
            "Content-Length: %zu\r\n\r\n%s",
            id, program, more, strlen (body), body);
  return edge_ask (site, &call, router, text);
}

#define BUDGET(tokens) "X-Token-Budget: " #tokens "\r\n"
#define AFTER(turn) "X-Previous-Turn: " turn "\r\n"

/* A turn continues from one that another host served, and that host is gone
   with all its memory: the worker gets all that was said.  */
Test (router, turn_continues_after_all_hosts_were_lost)
{
  const struct worker_run *run;

  cr_assert_eq (ask_turn (0, "t1", "p1", BUDGET (80), "one;"), 200);
  cr_assert_eq (ask_turn (0, "t2", "p1", BUDGET (80) AFTER ("t1"), "two;"),
                200);
  edge_kill (site, 0);
  edge_start (site, 1);
  cr_assert_eq (ask_turn (1, "t3", "p2", BUDGET (80) AFTER ("t2"), "three;"),
                200, "%s", call.answer);
  run = last_run (site->llm, "t3");
  cr_assert_str_eq (run->body, "one;e1\ne2\ne3\ne4\ntwo;e1\ne2\ne3\ne4\n"
                               "three;");
  cr_assert_eq (ask_turn (1, "t4", "p2", BUDGET (80) AFTER ("t9"), "x"), 404);
}

#define FINISH(ms) "X-Finish-Ms: " #ms "\r\n"
#define MAIN_LINE(program) "X-Session-Id: " program "\r\n"

static void
tell_load (uint32_t running, uint32_t waiting)
{
  for (int i = 0; i < EDGE_WORKERS; i++)
    worker_server_set_load (site->llm[i], running, waiting);
}

/* A turn of PROGRAM's own line that names none before it, on a route that does
   not keep turns.  */
static int
ask_first (int router, const char *id, const char *program)
{
  char text[512];

  snprintf (text, sizeof text,
            "POST /turn/a HTTP/1.1\r\n" HOST "X-Request-Id: %s\r\n"
            "X-Program-Id: %s\r\nX-Session-Id: %s\r\n" FINISH (3000)
                BUDGET (80) "X-Token-Count: 10,8\r\n" NO_BODY,
            id, program, program);
  return edge_ask (site, &call, router, text);
}

/* Each of the engines' answers begins so late, milliseconds: together those of
   a second are enough, however slow the machine is.  */
static uint32_t slow_ms;

static void
run_slowly (const char *id, const char *target, const char *body, void *user)
{
  (void)id;
  (void)target;
  (void)body;
  (void)user;
  usleep (slow_ms * 1000);
}

static void
make_engines_slow (uint32_t wait_ms)
{
  slow_ms = wait_ms;
  for (int i = 0; i < EDGE_WORKERS; i++)
    worker_server_set_run_handler (site->llm[i], run_slowly, NULL);
}

/* Turns of a program that has begun, by which ROUTER learns of the load.  */
static void
learn_load (int router)
{
  char id[16];

  for (int i = 0; i < 4; i++)
    {
      snprintf (id, sizeof id, "l%d-%d", router, i);
      cr_assert_eq (ask_turn (router, id, "p0", BUDGET (800), "x"), 200);
    }
}

/* Which engine ran the request ID.  */
static int
engine_of (const char *id)
{
  for (int i = 0; i < EDGE_WORKERS; i++)
    for (int k = 0; k < worker_server_run_count (site->llm[i]); k++)
      if (strcmp (worker_server_get_run (site->llm[i], k)->id, id) == 0)
        return i;
  return -1;
}

/* Turns of other programs, until ROUTER has heard of enough engines, and of
   ENGINE among them.  */
static void
learn_engines (int router, int engine)
{
  bool heard = false;
  char id[32];

  for (int i = 0; i < 8 || (!heard && i < 100); i++)
    {
      snprintf (id, sizeof id, "n%d-%d", engine, i);
      cr_assert_eq (ask_turn (router, id, id, BUDGET (800), "x"), 200);
      heard = heard || engine_of (id) == engine;
    }
  cr_assert (heard);
}

/* The engines have twice what they can run, and answers begin late.  A program
   that begins then was taken on like all others; now it is refused at once,
   not run, with a time to come back.  What has begun goes on, also at a host
   that has not seen it, and when the load is gone all are taken on.  */
Test (router, programs_that_begin_while_engines_are_full)
{
  int before;

  edge_start (site, 1);
  cr_assert_eq (ask_first (0, "a1", "pa"), 200);
  tell_load (4, 400);
  make_engines_slow (250);
  learn_load (0);
  before = asked_of (site->llm);
  cr_expect_eq (ask_first (0, "b1", "pb"), 503, "%s", call.answer);
  cr_expect_not_null (strstr (call.answer, "Retry-After: "));
  cr_expect_eq (ask_turn (0, "c1", "pc",
                          BUDGET (80) FINISH (3000) MAIN_LINE ("pc"), "x"),
                503);
  cr_expect_eq (asked_of (site->llm), before);
  cr_expect_eq (edge_counter (site, 0, "programs_refused"), 2);
  /* It has begun at host 0.  */
  cr_expect_eq (ask_first (0, "a2", "pa"), 200);
  learn_load (1);
  cr_expect_eq (ask_first (1, "b2", "pb"), 503, "%s", call.answer);
  cr_expect_eq (ask_first (1, "a3", "pa"), 200, "%s", call.answer);
  /* A sub-program's first turn, and a turn that names the one before it.  */
  cr_expect_eq (ask_turn (1, "d1", "pd", BUDGET (80) MAIN_LINE ("other"), "x"),
                200);
  cr_expect_eq (
      ask_turn (1, "e1", "pe", BUDGET (80) MAIN_LINE ("pe") AFTER ("d1"), "x"),
      200);
  /* The load that counts falls slowly, and is far above all bounds here.  */
  edge_kill (site, 0);
  tell_load (1, 0);
  make_engines_slow (0);
  edge_start (site, 0);
  learn_load (0);
  cr_expect_eq (ask_first (0, "b3", "pb"), 200);
}

/* A program begins where the engine has room, as this host heard; its next
   turn comes to another host, which heard nothing.  It went to the engine that
   a hash names, which had to read its history again.  The record of the
   program names the engine, and the host next door lends its name with
   tokens.  */
Test (router, turns_follow_the_program_to_its_engine)
{
  static const bool linked[] = { false, true };
  char id[16];
  char program[16];

  for (size_t k = 0; k < ROWS (linked); k++)
    {
      tear_down ();
      set_up ();
      if (linked[k])
        edge_seed (site, 1, 0);
      edge_start (site, 1);
      edge_run (site, linked[k] ? 3500 : 50);
      for (int home = 0; home < EDGE_WORKERS; home++)
        {
          for (int i = 0; i < EDGE_WORKERS; i++)
            worker_server_set_load (site->llm[i], i == home ? 1 : 4, 0);
          snprintf (program, sizeof program, "h%d", home);
          learn_engines (0, home);
          snprintf (id, sizeof id, "f%d", home);
          cr_assert_eq (ask_first (0, id, program), 200);
          cr_expect_eq (engine_of (id), home, "%s", id);
          snprintf (id, sizeof id, "g%d", home);
          cr_assert_eq (ask_first (1, id, program), 200);
          cr_expect_eq (engine_of (id), home, "%s, linked %d", id, linked[k]);
        }
    }
}

/* In a burst turns wait for the table, whose rates bind: each turn that came
   to another host than the one before took a read of its history and a write
   for a grant of its own.  The host next to it has both in memory.  */
Test (router, turn_moves_to_the_next_host_without_the_table)
{
  const struct worker_run *run;

  edge_seed (site, 1, 0);
  edge_start (site, 1);
  /* Until each has listed the other.  */
  edge_run (site, 3500);
  cr_assert_eq (ask_turn (0, "t1", "p1", BUDGET (80), "one;"), 200);
  cr_assert_eq (ask_turn (1, "t2", "p1", BUDGET (80) AFTER ("t1"), "two;"),
                200);
  run = last_run (site->llm, "t2");
  cr_assert_str_eq (run->body, "one;e1\ne2\ne3\ne4\ntwo;");
  cr_expect_eq (edge_counter (site, 1, "turn_reads"), 0);
  cr_expect_eq (edge_counter (site, 1, "budget_writes"), 0);
  cr_expect_eq (edge_counter (site, 1, "turn_writes"), 1);
  /* A turn that nobody has in memory is found in the table.  */
  edge_kill (site, 0);
  edge_kill (site, 1);
  edge_start (site, 1);
  cr_assert_eq (ask_turn (1, "t3", "p1", BUDGET (80) AFTER ("t2"), "x"), 200);
}

/* Several turns continue from the same one, or the same one is tried again
   after the table went away: its history was read anew each time, and not to
   be had then, though this host had just used it.  */
Test (router, history_stays_in_memory_once_it_was_read)
{
  cr_assert_eq (ask_turn (0, "t1", "p1", BUDGET (80), "one;"), 200);
  edge_kill (site, 0);
  edge_start (site, 0);
  for (int i = 0; i < 3; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "u%d", i);
      cr_assert_eq (ask_turn (0, id, "p1", BUDGET (80) AFTER ("t1"), "x"),
                    200);
      cr_expect_eq (edge_counter (site, 0, "turn_reads"), 1, "after %s", id);
    }
}

/* The table does not answer: whether a turn exists can't be told, so the
   caller is asked to come back and not told that there is none.  */
Test (router, unknown_turn_while_the_table_is_away)
{
  rows_server_set_fault (site->rows, ROWS_REFUSE_CONNECTIONS);
  cr_assert_eq (ask_turn (0, "t1", "p1", AFTER ("t0"), "x"), 503);
  cr_assert_not_null (strstr (call.answer, "Retry-After: "));
}

/* The table is away for everyone.  A turn used to be held for three tries
   before it was refused, and its caller came back too soon, so that its tries
   were used up before the table was back.  Once it is known that no way is
   open, a turn is refused without a try, with a time to come back that an
   outage may well take.  */
Test (router, refusals_while_no_way_to_the_table_is_open)
{
  size_t tried;

  rows_server_set_fault (site->rows, ROWS_UNAVAILABLE);
  /* Feeds that were waiting are still answered.  */
  edge_run (site, 1200);
  for (int i = 0; i < 3; i++)
    cr_assert_eq (ask_turn (0, "t1", "p1", BUDGET (80), "x"), 503);
  edge_run (site, 600);
  cr_assert_eq (ask_turn (0, "t1", "p1", BUDGET (80), "x"), 503);
  tried = rows_server_call_count (site->rows);
  cr_assert_eq (ask_turn (0, "t2", "p2", BUDGET (80), "x"), 503);
  cr_assert_not_null (strstr (call.answer, "Retry-After: 2.0"), "%s",
                      call.answer);
  cr_assert_leq (rows_server_call_count (site->rows) - tried, 1);
  rows_server_set_fault (site->rows, ROWS_NO_FAULT);
  edge_run (site, 500);
  cr_assert_eq (ask_turn (0, "t3", "p3", BUDGET (80), "x"), 200);
}

/* A program loops.  Each turn hands out 8 tokens; once the budget of 20 is
   spent its turns are refused for good, at this host, at another one, and
   after both were lost.  */
Test (router, budget_holds_over_hosts_and_restarts)
{
  int served = 0;
  char id[16];

  edge_start (site, 1);
  for (int i = 0; i < 6; i++)
    {
      int status;

      snprintf (id, sizeof id, "t%d", i);
      status = ask_turn (i % 2, id, "p1", BUDGET (20), "x");
      cr_assert (status == 200 || status == 402, "%d: %d", i, status);
      served += status == 200 ? 1 : 0;
    }
  cr_assert (served >= 2 && served * 8 < 20 + 8, "%d turns", served);
  cr_assert_eq (runs_of (site->llm), served);
  edge_kill (site, 0);
  edge_kill (site, 1);
  edge_start (site, 0);
  cr_assert_eq (ask_turn (0, "u1", "p1", BUDGET (20), "x"), 402);
  cr_assert_eq (runs_of (site->llm), served);
}

/* Faults of the table while a turn's record is written.  */
struct keep_case
{
  const char *name;
  enum rows_fault fault;
  bool whole;
};

/* The end of a turn's answer waits for its record.  While the table is away
   the answer stays open, and it ends when the table is back.  A write whose
   answer is lost is found to be done by a read of the record; it used to be
   written again and again, each time without an answer, until the caller had
   left.  */
Test (router, end_of_a_turn_waits_for_its_record)
{
  static const struct keep_case cases[] = {
    { "answers are lost", ROWS_LOSE_REPLIES, true },
    { "down", ROWS_UNAVAILABLE, false },
    { "refuses", ROWS_REFUSE_CONNECTIONS, false },
    { "well", ROWS_NO_FAULT, true },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      char text[256];

      worker_server_set_events (site->llm[0], 4);
      snprintf (text, sizeof text,
                "POST /kept/a HTTP/1.1\r\n" HOST "X-Request-Id: k%zu\r\n"
                "X-Program-Id: k\r\n" NO_BODY,
                i);
      edge_run (site, 700);
      rows_server_set_fault (site->rows, cases[i].fault);
      edge_call (site, &call, 0, text);
      EDGE_WAIT (site, runs_of (site->llm) == (int)i + 1);
      edge_run (site, 400);
      raw_read (call.fd, call.answer, sizeof call.answer);
      cr_assert_not_null (strstr (call.answer, "data: e4"), "%s",
                          cases[i].name);
      cr_assert_eq (strstr (call.answer, "\r\n0\r\n\r\n") != NULL,
                    cases[i].whole, "%s: %s", cases[i].name, call.answer);
      rows_server_set_fault (site->rows, ROWS_NO_FAULT);
      edge_wait (site, &call, 1);
      /* Whole, and not broken off; the connection may be closed after it, when
         it has been idle for as long as the limits say.  */
      cr_assert_not_null (strstr (call.answer, "\r\n0\r\n\r\n"), "%s: %s",
                          cases[i].name, call.answer);
      edge_hang_up (&call);
    }
  cr_assert_eq (rows_server_row_count (site->rows, "turn"), ROWS (cases));
}

/* A write of a program's record gets no answer and is done seconds later, when
   the record has long been written again: its condition no longer holds.  */
Test (router, late_write_of_a_budget_changes_nothing)
{
  rows_server_set_fault (site->rows, ROWS_DELAY_WRITES);
  cr_assert_eq (ask_turn (0, "t1", "p1", BUDGET (28), "x"), 503);
  rows_server_set_fault (site->rows, ROWS_NO_FAULT);
  edge_run (site, 500);
  cr_assert_eq (ask_turn (0, "t2", "p1", BUDGET (28), "x"), 200);
  rows_server_apply_delayed (site->rows);
  cr_assert_eq (ask_turn (0, "t3", "p1", BUDGET (28), "x"), 200);
  cr_assert_eq (ask_turn (0, "t4", "p1", BUDGET (28), "x"), 200);
  cr_assert_eq (ask_turn (0, "t5", "p1", BUDGET (28), "x"), 402);
}

/* Asks for a turn of each of several programs at the same time; one bit for
   each that got the whole answer.  */
#define CROWD 10

static uint32_t
serve_crowd (const char *prefix)
{
  static struct edge_call calls[CROWD];
  uint32_t served = 0;
  char text[256];

  for (int i = 0; i < CROWD; i++)
    {
      snprintf (text, sizeof text,
                "POST /kept/a HTTP/1.1\r\n" HOST "X-Request-Id: %s%d\r\n"
                "X-Program-Id: %s%d\r\nX-Token-Count: 10,8\r\n" BUDGET (
                    80) "Content-Length: 1\r\n\r\nx",
                prefix, i, prefix, i);
      edge_call (site, &calls[i], 0, text);
    }
  for (int i = 0; i < CROWD; i++)
    {
      edge_wait (site, &calls[i], 1);
      if (strstr (calls[i].answer, "\r\n0\r\n\r\n") != NULL)
        served |= 1U << i;
      edge_hang_up (&calls[i]);
    }
  return served;
}

/* Three of eight.  */
#define SILENT_PARTS 3

/* Callers of a third of all turns hear nothing for two seconds and leave,
   while the table serves the others.  Some of its parts are silent: calls to
   them ran into a time-out that grew with each, and a turn whose row belongs
   there could not end.  */
Test (router, some_parts_of_the_table_are_silent)
{
  uint32_t served;
  char id[16];
  char more[64];

  /* Until the host has all leases.  */
  edge_run (site, 4500);
  rows_server_block_parts (site->rows, SILENT_PARTS);
  serve_crowd ("a");
  served = serve_crowd ("b");
  cr_assert_geq (__builtin_popcount (served), CROWD - 1, "%x", served);
  /* What lies at another place than its first is found.  */
  rows_server_block_parts (site->rows, 0);
  edge_kill (site, 0);
  edge_start (site, 0);
  for (int i = 0; i < CROWD; i++)
    {
      snprintf (id, sizeof id, "u%d", i);
      snprintf (more, sizeof more, "X-Previous-Turn: b%d\r\n", i);
      if ((served >> i & 1U) != 0)
        cr_assert_eq (ask_turn (0, id, "v", more, "y"), 200, "b%d", i);
    }
}

/* The table is away for all for longer than a caller's tries last.  His turn
   is refused at once the first time; the second time it runs on what hosts
   lend each other, so that his words come and the end follows with the table.
   Here the turn comes to a host that knows neither its history nor its budget.
 */
Test (router, turn_of_another_host_while_the_table_is_away)
{
  const struct worker_run *run;
  struct edge_call later = { .fd = -1 };

  edge_seed (site, 1, 0);
  edge_start (site, 1);
  edge_run (site, 2500);
  cr_assert_eq (ask_turn (0, "t1", "p1", BUDGET (80), "one;"), 200);
  rows_server_set_fault (site->rows, ROWS_UNAVAILABLE);
  edge_run (site, 1200);
  for (int i = 0; i < 3; i++)
    ask_turn (1, "x1", "p9", BUDGET (80), "x");
  cr_assert_eq (ask_turn (1, "t2", "p1", BUDGET (80) AFTER ("t1"), "two;"),
                503);
  edge_call (site, &later, 1,
             "POST /kept/a HTTP/1.1\r\n" HOST "X-Request-Id: t3\r\n"
             "X-Program-Id: p1\r\nX-Token-Count: 10,8\r\n"
             "X-Deadline-Ms: 2000\r\n" BUDGET (80)
                 AFTER ("t1") "Content-Length: 4\r\n\r\ntwo;");
  EDGE_WAIT (site, edge_runs (site, "t3") == 1);
  edge_run (site, 200);
  raw_read (later.fd, later.answer, sizeof later.answer);
  cr_assert_not_null (strstr (later.answer, "data: e4"), "%s", later.answer);
  cr_assert_null (strstr (later.answer, "\r\n0\r\n\r\n"));
  rows_server_set_fault (site->rows, ROWS_NO_FAULT);
  edge_wait (site, &later, 1);
  cr_assert_not_null (strstr (later.answer, "\r\n0\r\n\r\n"), "%s",
                      later.answer);
  run = last_run (site->llm, "t3");
  cr_assert_str_eq (run->body, "one;e1\ne2\ne3\ne4\ntwo;");
  edge_hang_up (&later);
  cr_assert_eq (edge_runs (site, "t1"), 1);
  cr_assert_eq (edge_runs (site, "t2"), 0);
  cr_assert_eq (edge_runs (site, "t3"), 1);
}

/* A program begins while the table is away for all: no host holds any tokens
   of it, and the one with its lease issues those of one turn.  They are
   counted when the table is back, whether the caller was still there or not.
 */
Test (router, program_begins_while_the_table_is_away)
{
  struct edge_call later = { .fd = -1 };
  int served = 0;

  edge_run (site, 4500);
  rows_server_set_fault (site->rows, ROWS_UNAVAILABLE);
  edge_run (site, 1200);
  for (int i = 0; i < 3; i++)
    ask_turn (0, "x1", "p9", BUDGET (80), "x");
  cr_assert_eq (ask_turn (0, "t1", "p1", BUDGET (16), "x"), 503);
  edge_call (
      site, &later, 0,
      "POST /kept/a HTTP/1.1\r\n" HOST "X-Request-Id: t2\r\n"
      "X-Program-Id: p1\r\nX-Token-Count: 10,8\r\n"
      "X-Deadline-Ms: 2000\r\n" BUDGET (16) "Content-Length: 1\r\n\r\nx");
  EDGE_WAIT (site, runs_of (site->llm) == 1);
  edge_run (site, 200);
  edge_hang_up (&later);
  /* The one turn's tokens are used up.  */
  cr_assert_eq (
      ask_turn (0, "t3", "p1", BUDGET (16) "X-Deadline-Ms: 2000\r\n", "x"),
      503);
  rows_server_set_fault (site->rows, ROWS_NO_FAULT);
  edge_run (site, 1500);
  for (int i = 0; i < 3; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "w%d", i);
      if (ask_turn (0, id, "p1", BUDGET (16), "x") == 200)
        served++;
    }
  /* 16 tokens, 8 a turn, and one turn has had its own.  */
  cr_assert_eq (served, 1);
}

/* All answers to writes are lost.  A program still begins, since a read shows
   that its record was written.  */
Test (router, budget_while_answers_to_writes_are_lost)
{
  rows_server_set_fault (site->rows, ROWS_LOSE_REPLIES);
  cr_assert_eq (ask_turn (0, "t1", "p1", BUDGET (80), "x"), 200);
  cr_assert_eq (ask_turn (0, "t2", "p1", BUDGET (80) AFTER ("t1"), "x"), 200);
}

/* Records of programs and turns that nobody can ask for any more are removed;
   the others stay, and so does what was written anew meanwhile.  */
Test (router, old_records_are_removed)
{
  static const uint64_t start_ms = 5000000;
  static const uint64_t hours_ms = 7200000;

  rows_server_set_clock (site->rows, start_ms);
  edge_run (site, 1300);
  cr_assert_eq (ask_turn (0, "t1", "p1", BUDGET (80), "x"), 200);
  cr_assert_eq (ask_turn (0, "t2", "p2", BUDGET (80), "x"), 200);
  edge_kill (site, 0);
  rows_server_set_clock (site->rows, start_ms + hours_ms);
  edge_start (site, 0);
  cr_assert_eq (ask_turn (0, "t3", "p2", BUDGET (80) AFTER ("t2"), "x"), 200);
  edge_kill (site, 0);
  cr_assert_eq (rows_server_row_count (site->rows, "budget"), 2);
  cr_assert_eq (rows_server_row_count (site->rows, "turn"), 3);
  site->clean_after_ms = 0;
  edge_start (site, 0);
  EDGE_WAIT (site, rows_server_row_count (site->rows, "budget") == 1
                       && rows_server_row_count (site->rows, "turn") == 1);
  edge_run (site, 500);
  cr_assert_eq (rows_server_row_count (site->rows, "budget"), 1);
  cr_assert_eq (rows_server_row_count (site->rows, "turn"), 1);
  cr_assert_eq (ask_turn (0, "t4", "p2", BUDGET (80) AFTER ("t3"), "x"), 200);
}

/* Other hosts */

/* A host loses power and never comes back.  Its row stayed in the table of
   hosts for ever, every other host kept its address, and after months of
   replaced hosts most of the addresses that are asked in an outage led
   nowhere.  Cause: only a planned stop removed the row.  */
Test (router, row_of_a_lost_host_is_removed)
{
  static const uint64_t start_ms = 5000000;
  static const uint64_t hours_ms = 7200000;

  edge_kill (site, 0);
  rows_server_set_clock (site->rows, start_ms);
  edge_start (site, 0);
  edge_start (site, 1);
  EDGE_WAIT (site, rows_server_row_count (site->rows, "host") == 2);
  edge_kill (site, 1);
  edge_kill (site, 0);
  edge_start (site, 0);
  EDGE_WAIT (site, mq_router_host_count (site->routers[0]) == 1);
  rows_server_set_clock (site->rows, start_ms + hours_ms);
  edge_kill (site, 0);
  edge_start (site, 0);
  EDGE_WAIT (site, rows_server_row_count (site->rows, "host") == 1);
  cr_assert_eq (mq_router_host_count (site->routers[0]), 0);
  edge_start (site, 1);
  EDGE_WAIT (site, mq_router_host_count (site->routers[0]) == 1);
  cr_assert_eq (rows_server_row_count (site->rows, "host"), 2);
}

struct door_case
{
  const char *name;
  enum rows_fault fault;
};

/* The table turns one host away, or can't be reached from it, while others are
   served.  Programs began to fail there and the host went by an old
   configuration; now another host makes its calls and tells it what is new,
   also a host that starts meanwhile.  */
Test (router, table_is_closed_to_one_host)
{
  static const struct door_case cases[]
      = { { "refuses", ROWS_REFUSE_CONNECTIONS },
          { "busy", ROWS_UNAVAILABLE },
          { "many", ROWS_RATE_LIMITED },
          { "silent", ROWS_NO_RESPONSE } };

  edge_start (site, 1);
  /* Until the hosts have found each other.  */
  edge_run (site, 3500);
  for (size_t i = 0; i < ROWS (cases); i++)
    {
      char id[32];
      char before[32];
      char after[96];
      char extra[48];
      char text[128];

      snprintf (before, sizeof before, "b%zu", i);
      cr_assert_eq (ask_turn (1, before, "p", "", "one;"), 200);
      rows_server_set_endpoint_fault (site->rows, 0, cases[i].fault);
      /* Until the host has noticed.  */
      edge_run (site, 1800);
      snprintf (extra, sizeof extra, "/new%zu/", i);
      edge_configure (site, 3000, extra);
      edge_run (site, 600);
      snprintf (id, sizeof id, "c%zu", i);
      snprintf (after, sizeof after, BUDGET (80) "X-Previous-Turn: %s\r\n",
                before);
      cr_assert_eq (ask_turn (0, id, id, after, "two;"), 200, "%s: %s",
                    cases[i].name, call.answer);
      cr_assert_str_eq (last_run (site->llm, id)->body,
                        "one;e1\ne2\ne3\ne4\ntwo;", "%s", cases[i].name);
      snprintf (text, sizeof text,
                "GET %sx HTTP/1.1\r\n" HOST "X-Request-Id: n%zu\r\n\r\n",
                extra, i);
      cr_assert_eq (edge_ask (site, &call, 0, text), 200, "%s: %s",
                    cases[i].name, call.answer);
      rows_server_set_endpoint_fault (site->rows, 0, ROWS_NO_FAULT);
      edge_run (site, 400);
    }
  rows_server_set_endpoint_fault (site->rows, 0, ROWS_NO_RESPONSE);
  edge_kill (site, 0);
  edge_seed (site, 0, 1);
  edge_start (site, 0);
  cr_assert_eq (ask_turn (0, "z1", "z", BUDGET (80), "x"), 200);
}

/* Stops */

/* An operator stops a host.  It says at once that it takes no callers, serves
   those who still come, and answers tell them to go elsewhere; a stream under
   way ends whole.  */
Test (router, planned_stop)
{
  struct edge_call other;

  site->llm_plan = (struct worker_plan){ WORKER_STALL, 1 };
  edge_call (site, &call, 0, "POST /turn/a HTTP/1.1\r\n" HOST ID NO_BODY);
  EDGE_WAIT (site, asked_of (site->llm) == 1);
  mq_router_leave (site->routers[0]);
  cr_assert_eq (edge_ready (site, 0), 503);
  cr_assert_eq (
      edge_ask (site, &other, 0, "GET /call/a HTTP/1.1\r\n" HOST ID "\r\n"),
      200);
  cr_assert_not_null (strstr (other.answer, "Connection: close"));
  edge_wait (site, &call, 1);
  cr_assert_not_null (strstr (call.answer, "data: e4"));
  edge_hang_up (&call);
  EDGE_WAIT (site, mq_router_stopped (site->routers[0]));
}

/* A host is stopped while the platform's table is silent.  It used to wait for
   the table with its door open, took a request seconds later and cut it off
   when its time was up: the caller saw a closed connection without an answer.
   Once callers have had time to go elsewhere the door is closed, and the host
   does not wait for the table.  */
Test (router, stop_while_the_table_is_silent)
{
  cr_assert_eq (ask_turn (0, "t1", "p1", BUDGET (80), "x"), 200);
  rows_server_set_fault (site->rows, ROWS_NO_RESPONSE);
  mq_router_leave (site->routers[0]);
  for (int i = 0; i < 200 && !mq_router_stopped (site->routers[0]); i++)
    edge_run (site, 5);
  cr_assert (mq_router_stopped (site->routers[0]));
  cr_assert_eq (mq_router_http_port (site->routers[0]), 0);
}
