/* test_lane.c - connections to servers with unread data when they are reused
   or closed.

   Needs: Criterion, http_conn.h, router_pool.h, rows.h, timer.h.  */

#include "net/http_conn.h"
#include "net/listen.h"
#include "router/router_pool.h"
#include "router/rows.h"
#include "net/timer.h"
#include <criterion/criterion.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define REQUEST_HEAD                                                          \
  "POST /once HTTP/1.1\r\nHost: s.example\r\nContent-Length: "
#define EMPTY "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
#define BUSY "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 4\r\n\r\nbusy"
/* Far above the time that a passing test takes.  */
#define WAIT_MS 20000
/* More than the socket buffers hold, less than the send queue does.  */
#define LARGE_BYTES ((size_t)7 << 20)
#define ANSWER_BYTES ((size_t)2 << 20)

static struct tevent_context *ev;
static int listening;
static char address[32];

static void
set_up (void)
{
  ev = tevent_context_init (NULL);
  listening = mq_listen_open ("127.0.0.1:0", NULL);
  cr_assert_geq (listening, 0);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            mq_listen_port (listening));
}

static void
tear_down (void)
{
  talloc_free (ev);
  close (listening);
}

TestSuite (lane, .init = set_up, .fini = tear_down, .timeout = 120);

static void
wait_readable (int fd)
{
  struct pollfd ready = { .fd = fd, .events = POLLIN };

  cr_assert_eq (poll (&ready, 1, WAIT_MS), 1, "timed out");
}

/* Accepts the next connection at the server.  */
static int
accept_connection (void)
{
  int fd;

  wait_readable (listening);
  fd = accept (listening, NULL, NULL);
  cr_assert_geq (fd, 0);
  return fd;
}

static void
server_send (int fd, const char *text)
{
  cr_assert_eq (send (fd, text, strlen (text), MSG_NOSIGNAL),
                (ssize_t)strlen (text));
}

/* Reads a part of the request.  */
static void
server_receive (int fd)
{
  static char bytes[4096];

  wait_readable (fd);
  cr_assert_gt (recv (fd, bytes, sizeof bytes, 0), 0);
}

/* Events received for a response.  */
struct response_events
{
  int status;
  bool ended;
  bool failed;
};

static bool
on_head (const struct mq_http_head *head, void *user)
{
  ((struct response_events *)user)->status = head->status;
  return true;
}

static void
on_body (const char *data, size_t len, void *user)
{
  (void)data;
  (void)len;
  (void)user;
}

static void
on_end (void *user)
{
  ((struct response_events *)user)->ended = true;
}

static void
on_failed (enum mq_http_conn_failure failure, void *user)
{
  (void)failure;
  ((struct response_events *)user)->failed = true;
}

static void
on_lane_closed (struct mq_http_conn *lane, void *user)
{
  *(bool *)user = true;
  mq_http_conn_destroy (lane);
}

static void
send_request (struct mq_http_conn *lane,
              struct response_events *response_events, size_t body_len)
{
  struct mq_http_conn_callbacks events = { .head = on_head,
                                           .body = on_body,
                                           .end = on_end,
                                           .failed = on_failed,
                                           .user = response_events };
  char head[128];
  char *body = talloc_zero_size (ev, body_len + 1);

  snprintf (head, sizeof head, REQUEST_HEAD "%zu\r\n\r\n", body_len);
  mq_http_conn_send (lane, &events, head, strlen (head), body, body_len,
                     false);
  talloc_free (body);
}

/**
 * struct stale_case - what the server does with an idle connection
 * @says: bytes sent without a request
 * @closes: the server closes the connection
 * @opened: number of connections that two requests then need
 */
struct stale_case
{
  const char *name;
  const char *says;
  bool closes;
  uint64_t opened;
};

static const struct stale_case stale_cases[] = {
  { "kept", "", false, 1 },
  { "ended", "", true, 2 },
  { "unsolicited bytes", EMPTY, false, 2 },
  { "unsolicited bytes, then ended", EMPTY, true, 2 },
};

static struct mq_pool *
make_pool (struct mq_fleet **fleet)
{
  struct mq_fleet_member member = { .id = "w1",
                                    .service = "app",
                                    .address = address,
                                    .data_centre = "d",
                                    .slots = 4 };

  *fleet = mq_fleet_create (ev);
  cr_assert (mq_fleet_put (*fleet, &member, NULL));
  return mq_pool_create (ev, ev, *fleet);
}

/* Failure: a request is sent on an idle connection whose end is still unread,
   or unread bytes on it are taken for the response; a request that may run
   only once is lost.  */
Test (lane, idle_connection_with_unread_end_is_not_reused)
{
  for (size_t i = 0; i < ROWS (stale_cases); i++)
    {
      const struct stale_case *row = &stale_cases[i];
      struct mq_fleet *fleet;
      struct mq_pool *pool = make_pool (&fleet);
      struct mq_http_conn *lane = mq_pool_acquire (pool, 0, NULL);
      struct response_events response_events = { 0 };
      int fd;

      send_request (lane, &response_events, 0);
      fd = accept_connection ();
      while (!mq_http_conn_has_sent (lane))
        tevent_loop_once (ev);
      server_receive (fd);
      server_send (fd, EMPTY);
      while (!response_events.ended)
        tevent_loop_once (ev);
      mq_pool_release (pool, 0, lane, 0);
      server_send (fd, row->says);
      if (row->closes)
        shutdown (fd, SHUT_WR);
      lane = mq_pool_acquire (pool, 0, NULL);
      cr_assert_not_null (lane);
      cr_expect_eq (mq_pool_opened (pool), row->opened, "%s: %zu", row->name,
                    (size_t)mq_pool_opened (pool));
      if (mq_pool_opened (pool) > 1)
        close (accept_connection ());
      mq_http_conn_destroy (lane);
      mq_pool_destroy (pool);
      mq_fleet_destroy (fleet);
      close (fd);
    }
}

/* Outcome of a call to the table.  */
struct call_outcome
{
  bool done;
  enum mq_store_status status;
};

static void
on_outcome (const struct mq_rows_result *result, void *user)
{
  struct call_outcome *call_outcome = user;

  call_outcome->done = true;
  call_outcome->status = result->status;
}

/* Failure: a write to the table is sent on a connection that the table has
   closed, and its outcome is unknown.  */
Test (lane, table_write_avoids_closed_connection)
{
  struct mq_rows *rows = mq_rows_create (ev, ev, address);
  struct mq_rows_entry entry
      = { .table = "t", .part = "p", .key = "k", .version = MQ_VERSION_ANY };
  struct call_outcome call_outcome = { 0 };
  int first;
  int second;

  mq_rows_get (rows, "t", "p", "k", on_outcome, &call_outcome);
  first = accept_connection ();
  tevent_loop_once (ev);
  server_receive (first);
  server_send (first, EMPTY);
  while (!call_outcome.done)
    tevent_loop_once (ev);
  shutdown (first, SHUT_WR);
  call_outcome.done = false;
  mq_rows_commit (rows, &entry, 1, on_outcome, &call_outcome);
  second = accept (listening, NULL, NULL);
  cr_expect_geq (second, 0, "the ended connection is used");
  while (second < 0 && !call_outcome.done)
    tevent_loop_once (ev);
  cr_expect_not (call_outcome.done && call_outcome.status == MQ_STORE_LOST);
  mq_rows_destroy (rows);
  close (first);
  if (second >= 0)
    close (second);
}

/* Failure: the server responds before it has read a long request and closes;
   the write fails first and the complete response is dropped.  */
Test (lane, response_before_a_failed_write_is_received)
{
  struct mq_error error = { .type = MQ_ERR_NONE };
  bool gone = false;
  struct mq_http_conn *lane
      = mq_http_conn_open (ev, ev, address, 0, on_lane_closed, &gone, &error);
  struct response_events response_events = { 0 };
  int fd;

  cr_assert_not_null (lane);
  send_request (lane, &response_events, LARGE_BYTES);
  fd = accept_connection ();
  while (!mq_http_conn_has_sent (lane))
    tevent_loop_once (ev);
  server_receive (fd);
  server_send (fd, BUSY);
  /* Closing with unread bytes resets the connection.  */
  close (fd);
  while (!response_events.ended && !response_events.failed)
    tevent_loop_once (ev);
  cr_expect_eq (response_events.status, 429);
  cr_expect (response_events.ended);
  cr_expect_not (response_events.failed);
  if (!gone)
    mq_http_conn_destroy (lane);
}

static void
on_timer (void *data)
{
  *(bool *)data = true;
}

static void
run_for (uint64_t ms)
{
  bool expired = false;

  cr_assert_not_null (mq_timer_add (ev, ev, ms, on_timer, &expired));
  while (!expired)
    tevent_loop_once (ev);
}

static void
on_data (struct mq_tcp *tcp, const char *data, size_t len, void *user)
{
  (void)tcp;
  (void)data;
  (void)len;
  (void)user;
}

static void
on_tcp_ended (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  (void)end;
  (void)user;
  mq_tcp_destroy (tcp);
}

/* Failure: a finished connection is closed while its caller is still reading a
   long response slowly.  */
Test (lane, finished_connection_stays_open_while_it_is_read)
{
  static char bytes[ANSWER_BYTES / 32];
  struct mq_tcp_callbacks owner = { .data = on_data, .ended = on_tcp_ended };
  int to = mq_connect_begin (address, NULL);
  int from = accept_connection ();
  int room = sizeof bytes;
  struct mq_tcp *tcp;
  size_t taken = 0;
  ssize_t got = 1;

  cr_assert_geq (to, 0);
  setsockopt (to, SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
  setsockopt (from, SOL_SOCKET, SO_SNDBUF, &room, sizeof room);
  cr_assert_eq (fcntl (from, F_SETFL, O_NONBLOCK), 0);
  tcp = mq_tcp_accept (ev, ev, from, &owner);
  mq_tcp_write (tcp, talloc_zero_size (ev, ANSWER_BYTES), ANSWER_BYTES);
  mq_tcp_finish (tcp);
  while (got > 0)
    {
      run_for (60);
      wait_readable (to);
      got = recv (to, bytes, sizeof bytes, 0);
      taken += got > 0 ? (size_t)got : 0;
    }
  cr_expect_eq (taken, ANSWER_BYTES, "%zu of %zu", taken, ANSWER_BYTES);
  close (to);
}
