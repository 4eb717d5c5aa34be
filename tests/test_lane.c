/* test_lane.c - connections to servers, and what lies unread on them when
   they are used or given up.

   Needs: Criterion, http_lane.h, router_pool.h, rows.h,
   timer.h.  */

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
#define ASK "POST /once HTTP/1.1\r\nHost: s.example\r\nContent-Length: "
#define EMPTY "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
#define BUSY "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 4\r\n\r\nbusy"
/* Generous: only a fault comes near it.  */
#define WAIT_MS 20000
/* More than the buffers of both ends take, less than a connection keeps.  */
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

  cr_assert_eq (poll (&ready, 1, WAIT_MS), 1, "waited in vain");
}

/* The server's end of the next connection.  */
static int
take_connection (void)
{
  int fd;

  wait_readable (listening);
  fd = accept (listening, NULL, NULL);
  cr_assert_geq (fd, 0);
  return fd;
}

static void
say (int fd, const char *text)
{
  cr_assert_eq (send (fd, text, strlen (text), MSG_NOSIGNAL),
                (ssize_t)strlen (text));
}

/* Reads what has come of a request, at least something.  */
static void
hear (int fd)
{
  static char bytes[4096];

  wait_readable (fd);
  cr_assert_gt (recv (fd, bytes, sizeof bytes, 0), 0);
}

/* What was told of an answer.  */
struct heard
{
  int status;
  bool ended;
  bool failed;
};

static bool
on_head (const struct mq_http_head *head, void *user)
{
  ((struct heard *)user)->status = head->status;
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
  ((struct heard *)user)->ended = true;
}

static void
on_failed (enum mq_http_conn_failure failure, void *user)
{
  (void)failure;
  ((struct heard *)user)->failed = true;
}

static void
on_gone (struct mq_http_conn *lane, void *user)
{
  *(bool *)user = true;
  mq_http_conn_destroy (lane);
}

static void
ask (struct mq_http_conn *lane, struct heard *heard, size_t body_len)
{
  struct mq_http_conn_callbacks events = { .head = on_head,
                                           .body = on_body,
                                           .end = on_end,
                                           .failed = on_failed,
                                           .user = heard };
  char head[128];
  char *body = talloc_zero_size (ev, body_len + 1);

  snprintf (head, sizeof head, ASK "%zu\r\n\r\n", body_len);
  mq_http_conn_send (lane, &events, head, strlen (head), body, body_len,
                     false);
  talloc_free (body);
}

/**
 * struct stale_case - what a server does with a kept connection
 * @says: bytes that are no answer
 * @closes: it ends the connection
 * @opened: connections that two requests then take
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
  { "bytes of nobody", EMPTY, false, 2 },
  { "bytes, then ended", EMPTY, true, 2 },
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

/* A worker ends a kept connection while the host is held up, and a caller's
   request is read before that end.  It went out on the connection that was
   over: the worker was not reached, yet the host took the request for one
   that may have run, and a request that may run once was lost.  Bytes that
   lay there were taken for its answer.  */
Test (lane, kept_connection_on_which_an_end_lies_unread)
{
  for (size_t i = 0; i < ROWS (stale_cases); i++)
    {
      const struct stale_case *row = &stale_cases[i];
      struct mq_fleet *fleet;
      struct mq_pool *pool = make_pool (&fleet);
      struct mq_http_conn *lane = mq_pool_take (pool, 0, NULL);
      struct heard heard = { 0 };
      int fd;

      ask (lane, &heard, 0);
      fd = take_connection ();
      while (!mq_http_conn_has_sent (lane))
        tevent_loop_once (ev);
      hear (fd);
      say (fd, EMPTY);
      while (!heard.ended)
        tevent_loop_once (ev);
      mq_pool_give (pool, 0, lane, 0);
      say (fd, row->says);
      if (row->closes)
        shutdown (fd, SHUT_WR);
      lane = mq_pool_take (pool, 0, NULL);
      cr_assert_not_null (lane);
      cr_expect_eq (mq_pool_opened (pool), row->opened, "%s: %zu", row->name,
                    (size_t)mq_pool_opened (pool));
      if (mq_pool_opened (pool) > 1)
        close (take_connection ());
      mq_http_conn_destroy (lane);
      mq_pool_destroy (pool);
      mq_fleet_destroy (fleet);
      close (fd);
    }
}

/* What became of a call to the table.  */
struct told
{
  bool done;
  enum mq_store_status status;
};

static void
on_told (const struct mq_rows_result *result, void *user)
{
  struct told *told = user;

  told->done = true;
  told->status = result->status;
}

/* The same towards the platform's table: a write went out on a connection that
   the table had ended, and whether it was done counted as not known.  */
Test (lane, write_on_a_connection_that_the_table_has_ended)
{
  struct mq_rows *rows = mq_rows_create (ev, ev, address);
  struct mq_rows_entry entry
      = { .table = "t", .part = "p", .key = "k", .version = MQ_VERSION_ANY };
  struct told told = { 0 };
  int first;
  int second;

  mq_rows_get (rows, "t", "p", "k", on_told, &told);
  first = take_connection ();
  tevent_loop_once (ev);
  hear (first);
  say (first, EMPTY);
  while (!told.done)
    tevent_loop_once (ev);
  shutdown (first, SHUT_WR);
  told.done = false;
  mq_rows_commit (rows, &entry, 1, on_told, &told);
  second = accept (listening, NULL, NULL);
  cr_expect_geq (second, 0, "the ended connection is used");
  while (second < 0 && !told.done)
    tevent_loop_once (ev);
  cr_expect_not (told.done && told.status == MQ_STORE_LOST);
  mq_rows_destroy (rows);
  close (first);
  if (second >= 0)
    close (second);
}

/* A server answers before it has read a long request, and ends the
   connection.  The host was still sending: its write failed before it read,
   the whole answer was dropped, and a request that was refused unread counted
   as one that may have run.  */
Test (lane, answer_before_a_failed_write_arrives)
{
  struct mq_error error = { .type = MQ_ERR_NONE };
  bool gone = false;
  struct mq_http_conn *lane
      = mq_http_conn_open (ev, ev, address, 0, on_gone, &gone, &error);
  struct heard heard = { 0 };
  int fd;

  cr_assert_not_null (lane);
  ask (lane, &heard, LARGE_BYTES);
  fd = take_connection ();
  while (!mq_http_conn_has_sent (lane))
    tevent_loop_once (ev);
  hear (fd);
  say (fd, BUSY);
  /* With bytes that were not read this resets the connection.  */
  close (fd);
  while (!heard.ended && !heard.failed)
    tevent_loop_once (ev);
  cr_expect_eq (heard.status, 429);
  cr_expect (heard.ended);
  cr_expect_not (heard.failed);
  if (!gone)
    mq_http_conn_destroy (lane);
}

static void
on_over (void *data)
{
  *(bool *)data = true;
}

static void
run_for (uint64_t ms)
{
  bool over = false;

  cr_assert_not_null (mq_timer_add (ev, ev, ms, on_over, &over));
  while (!over)
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

/* A host has written the last answer of a connection, and its caller takes it
   a little at a time.  A second after the last byte was written the host
   closed the connection, and the caller had an answer without its end.  */
Test (lane, finished_connection_is_not_cut_while_it_is_read)
{
  static char bytes[ANSWER_BYTES / 32];
  struct mq_tcp_callbacks owner = { .data = on_data, .ended = on_tcp_ended };
  int to = mq_connect_begin (address, NULL);
  int from = take_connection ();
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
