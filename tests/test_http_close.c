/* test_http_close.c - connections that the HTTP server closes, and the
   requests on them.

   Needs: Criterion, http_peer.h, http_server.h.  */

#include "http_peer.h"
#include "core/limits.h"
#include "net/clock.h"
#include "net/http_server.h"
#include <criterion/criterion.h>
#include <string.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define TEXT_BYTES 8192
#define TICK_US 2000
#define LIMIT_MS 30000U
#define IDLE_MS 1000U
/* Longer than the idle timeout.  */
#define BLOCKED_MS 1200U
/* Time in which an idle connection is closed, long enough for a busy
   machine.  */
#define CLOSED_MS 10000U
/* Leaves too little of a connection's memory for the library to read on, and
   too much for it to refuse the head.  */
#define UNREAD_HEAD_BYTES 32640U
#define BLOCK_BYTES ((size_t)1 << 24)

#define LINE "GET /echo HTTP/1.1\r\n"
#define HOST "Host: a\r\n"
#define GET LINE HOST "\r\n"
#define HOLD "GET /hold HTTP/1.1\r\n" HOST "\r\n"
#define STREAM "GET /stream HTTP/1.1\r\n" HOST "\r\n"
#define POST "POST /echo HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\n"

static struct tevent_context *ev;
static struct mq_http_server *server;
static struct mq_http_request *held;
static int handled;
/* Events of a stream that are written at once.  */
static int burst_count;
static size_t burst_bytes;
static char answer[TEXT_BYTES];

static void
tick (struct tevent_context *loop, struct tevent_timer *timer,
      struct timeval now, void *data)
{
  (void)timer;
  (void)now;
  tevent_add_timer (loop, loop, tevent_timeval_current_ofs (0, TICK_US), tick,
                    data);
}

static const char *
filled (size_t len)
{
  char *bytes = talloc_zero_size (ev, len + 1);

  memset (bytes, 'x', len);
  return bytes;
}

static void
on_closed (struct mq_http_request *request, void *data)
{
  (void)request;
  (void)data;
  held = NULL;
}

static void
handler (struct mq_http_request *request, void *data)
{
  (void)data;
  handled++;
  if (strcmp (mq_http_path (request), "/echo") == 0)
    {
      mq_http_respond (request, 200, NULL, "whole", 5);
      return;
    }
  if (strcmp (mq_http_path (request), "/stream") == 0)
    mq_http_stream_begin (request, 200, "text/event-stream");
  for (int i = 0; i < burst_count; i++)
    mq_http_stream_write (request, filled (burst_bytes), burst_bytes);
  if (burst_count > 0)
    {
      mq_http_stream_end (request);
      return;
    }
  mq_http_on_closed (request, on_closed, NULL);
  held = request;
}

static void
create_server (uint32_t connections_max)
{
  struct mq_http_server_options options = { .address = "127.0.0.1:0",
                                            .connections_max = connections_max,
                                            .idle_ms = IDLE_MS };

  server = mq_http_server_create (ev, ev, &options, handler, NULL, NULL);
  cr_assert_not_null (server);
}

static void
set_up (void)
{
  ev = tevent_context_init (NULL);
  create_server (0);
  tick (ev, NULL, (struct timeval){ 0 }, NULL);
}

static void
tear_down (void)
{
  mq_http_server_destroy (server);
  talloc_free (ev);
}

TestSuite (http_close, .init = set_up, .fini = tear_down, .timeout = 120);

static int
send_on_new (const char *text)
{
  int fd = raw_open (mq_http_server_port (server));

  cr_assert_eq (raw_send (fd, text, strlen (text)), strlen (text));
  return fd;
}

static void
run_for (uint32_t ms)
{
  uint64_t end = mq_clock_ms () + ms;

  while (mq_clock_ms () < end)
    tevent_loop_once (ev);
}

/* Reads up to TEXT or the end of the connection; true if TEXT has arrived.  */
static bool
read_until (int fd, const char *wanted)
{
  uint64_t end = mq_clock_ms () + LIMIT_MS;

  answer[0] = '\0';
  while (strstr (answer, wanted) == NULL && mq_clock_ms () < end)
    {
      tevent_loop_once (ev);
      if (raw_read (fd, answer, sizeof answer))
        break;
    }
  return strstr (answer, wanted) != NULL;
}

/**
 * struct unread_case - a request whose end arrives as its connection becomes
 * idle
 * @first: data sent before
 * @answered: @first is a whole request
 * @then: data sent while the event loop is blocked
 */
struct unread_case
{
  const char *name;
  const char *first;
  bool answered;
  const char *then;
};

static const struct unread_case unread_cases[] = {
  { "request", GET, true, GET },
  { "rest of a head", LINE, false, HOST "\r\n" },
  { "rest of a body", POST, false, "hi" },
};

/* Failure: the library ends idle connections before it reads; a whole request
   that arrived while the event loop was blocked gets no response.  */
Test (http_close, request_on_an_idle_connection_is_answered)
{
  for (size_t i = 0; i < ROWS (unread_cases); i++)
    {
      const struct unread_case *row = &unread_cases[i];
      int fd = send_on_new (row->first);

      if (row->answered)
        cr_assert (read_until (fd, "whole"), "%s", row->name);
      else
        run_for (50);
      usleep (BLOCKED_MS * 1000);
      raw_send (fd, row->then, strlen (row->then));
      cr_expect (read_until (fd, "whole"), "%s: %s", row->name, answer);
      raw_close (fd, false);
    }
}

enum rest
{
  REST_NOTHING_SENT,
  REST_ANSWERED,
  REST_PART_OF_HEAD,
  REST_PART_OF_BODY,
  REST_HEAD_UNREAD,
  REST_ANSWER_UNREAD,
  REST_HELD,
  REST_STREAM
};

static const char *
rest_request (enum rest rest)
{
  switch (rest)
    {
    case REST_NOTHING_SENT:
      return "";
    case REST_ANSWERED:
      return GET;
    case REST_PART_OF_HEAD:
      return LINE;
    case REST_PART_OF_BODY:
      return POST;
    case REST_HEAD_UNREAD:
      return talloc_asprintf (
          ev, "GET /echo?%s HTTP/1.1\r\n" HOST "More: %s\r\n\r\n",
          filled (UNREAD_HEAD_BYTES), filled (100));
    case REST_ANSWER_UNREAD:
    case REST_HELD:
      return HOLD;
    case REST_STREAM:
      break;
    }
  return STREAM;
}

static void
respond_large (void)
{
  char *block = talloc_zero_size (ev, BLOCK_BYTES);

  mq_http_respond (held, 200, NULL, block, BLOCK_BYTES);
  talloc_free (block);
}

/* Runs the loop until the connection of FD is closed, for CLOSED_MS at most;
   FD is read only if READS.  */
static bool
is_closed (int fd, bool reads)
{
  uint64_t end = mq_clock_ms () + CLOSED_MS;
  bool ended = false;

  answer[0] = '\0';
  while (!ended && mq_clock_ms () < end)
    {
      tevent_loop_once (ev);
      ended = reads ? raw_read (fd, answer, sizeof answer) : held == NULL;
    }
  return ended;
}

/* Failure: connections that rest are kept open, or one whose request waits for
   its response is closed.  */
Test (http_close, only_idle_connections_are_closed)
{
  static const struct
  {
    const char *name;
    enum rest rest;
    bool closes;
  } rows[] = {
    { "nothing sent", REST_NOTHING_SENT, true },
    { "answered", REST_ANSWERED, true },
    { "part of a head", REST_PART_OF_HEAD, true },
    { "part of a body", REST_PART_OF_BODY, true },
    { "head that the library does not read", REST_HEAD_UNREAD, true },
    { "response not read", REST_ANSWER_UNREAD, true },
    { "request that waits", REST_HELD, false },
    { "stream that waits", REST_STREAM, false },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      int fd = send_on_new (rest_request (rows[i].rest));

      if (rows[i].rest == REST_ANSWERED)
        cr_assert (read_until (fd, "whole"));
      run_for (50);
      if (rows[i].rest == REST_ANSWER_UNREAD)
        respond_large ();
      if (rows[i].closes)
        cr_expect (is_closed (fd, rows[i].rest != REST_ANSWER_UNREAD), "%s",
                   rows[i].name);
      else
        {
          run_for (3 * IDLE_MS);
          cr_assert_not_null (held, "%s", rows[i].name);
          if (rows[i].rest == REST_HELD)
            mq_http_respond (held, 200, NULL, "whole", 5);
          else
            mq_http_stream_write (held, "whole", 5);
          cr_expect (read_until (fd, "whole"), "%s", rows[i].name);
        }
      raw_close (fd, false);
      run_for (50);
    }
}

/**
 * struct stop_case - a connection when all without a request are closed
 * @first: data sent before
 * @answered: @first is a whole request
 * @then: unread data
 * @responds: a response is expected
 */
struct stop_case
{
  const char *name;
  const char *first;
  bool answered;
  const char *then;
  bool responds;
};

static const struct stop_case stop_cases[] = {
  { "answered", GET, true, "", false },
  { "answered, next request unread", GET, true, GET, true },
  { "new, request unread", "", false, GET, true },
  { "request that waits", HOLD, false, "", true },
  { "part of a body", POST, false, "hi", true },
};

/* Failure: a stop closes a connection with a whole request, or keeps one
   without and never ends.  */
Test (http_close, stop_closes_connections_without_a_request)
{
  for (size_t i = 0; i < ROWS (stop_cases); i++)
    {
      const struct stop_case *row = &stop_cases[i];
      uint64_t end = mq_clock_ms () + LIMIT_MS;
      int fd = send_on_new (row->first);
      bool closed;

      if (row->answered)
        cr_assert (read_until (fd, "whole"), "%s", row->name);
      run_for (50);
      raw_send (fd, row->then, strlen (row->then));
      mq_http_server_stop_accepting (server);
      closed = mq_http_server_close_idle (server);
      cr_expect_not (closed, "%s", row->name);
      if (held != NULL)
        mq_http_respond (held, 200, NULL, "whole", 5);
      cr_expect_eq (read_until (fd, "whole"), row->responds, "%s", row->name);
      while (!mq_http_server_close_idle (server) && mq_clock_ms () < end)
        tevent_loop_once (ev);
      cr_expect (mq_http_server_close_idle (server), "%s", row->name);
      raw_close (fd, false);
      mq_http_server_destroy (server);
      create_server (0);
    }
}

/* Range of heads from such that fit into a connection's memory beside their
   response, to such that don't fit at all.  */
#define HEAD_STEP_BYTES 16U

enum head
{
  HEAD_LONG_FIELD,
  HEAD_SHORT_FIELDS,
  HEAD_COOKIE,
  HEAD_ARGUMENTS,
  HEAD_BODY
};

static char *
make_request (enum head head, size_t len)
{
  char *text = talloc_strdup (ev, "");

  switch (head)
    {
    case HEAD_LONG_FIELD:
      return talloc_asprintf (ev, LINE HOST "Long: %s\r\n\r\n", filled (len));
    case HEAD_SHORT_FIELDS:
      for (size_t i = 0; i < len; i += strlen ("a: b\r\n"))
        text = talloc_strdup_append_buffer (text, "a: b\r\n");
      return talloc_asprintf (ev, LINE HOST "%s\r\n", text);
    case HEAD_COOKIE:
      return talloc_asprintf (ev, LINE HOST "Cookie: a=%s\r\n\r\n",
                              filled (len));
    case HEAD_ARGUMENTS:
      for (size_t i = 0; i < len; i += strlen ("a=b&"))
        text = talloc_strdup_append_buffer (text, "a=b&");
      return talloc_asprintf (ev, "GET /echo?%s HTTP/1.1\r\n" HOST "\r\n",
                              text);
    case HEAD_BODY:
      break;
    }
  return talloc_asprintf (ev,
                          "POST /echo HTTP/1.1\r\n" HOST "Long: %s\r\n"
                          "Content-Length: 2\r\n\r\nhi",
                          filled (len));
}

/**
 * struct head_case - request heads of one kind, in steps of HEAD_STEP_BYTES
 * @from: bytes of the repeated part
 * @to: end of the range
 */
struct head_case
{
  const char *name;
  enum head head;
  size_t from;
  size_t to;
};

/* Each head is answered, with 200 only if it was handled.  */
static void
expect_responses (const struct head_case *row)
{
  for (size_t len = row->from; len < row->to; len += HEAD_STEP_BYTES)
    {
      int before = handled;
      char *text = make_request (row->head, len);
      int fd = send_on_new (text);
      bool answered = read_until (fd, "\r\n\r\n");

      cr_expect (answered, "%s, %zu bytes: no response", row->name, len);
      cr_expect_eq (handled - before, strstr (answer, " 200 ") != NULL,
                    "%s, %zu bytes: handled", row->name, len);
      raw_close (fd, false);
      talloc_free (text);
    }
}

/* Failure: a head leaves too little of a connection's memory for the head of
   the response; the request is run, and gets no response.  */
Test (http_close, long_heads_are_answered)
{
  static const struct head_case rows[] = {
    { "long field", HEAD_LONG_FIELD, 30000, 33000 },
    { "short fields", HEAD_SHORT_FIELDS, 2500, 3100 },
    { "cookie", HEAD_COOKIE, 15500, 16260 },
    { "arguments", HEAD_ARGUMENTS, 1600, 1930 },
    { "body", HEAD_BODY, 30000, 33000 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    expect_responses (&rows[i]);
}

/* Failure: the library has no memory for the parsed fields of a head, and
   closes the connection.  */
Test (http_close, heads_with_too_many_fields_are_answered)
{
  static const struct head_case rows[] = {
    { "cookie", HEAD_COOKIE, 16260, 16700 },
    { "arguments", HEAD_ARGUMENTS, 1930, 2200 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    expect_responses (&rows[i]);
}

/* Connections in the backlog of a server at its limit of CONNECTIONS_MAX.  */
#define CONNECTIONS_MAX 2
#define WAITING 5

/* Failure: a stop closes the listening socket while the limit of connections
   keeps whole requests in its backlog, and they are reset.  */
Test (http_close, stop_at_the_connection_limit_answers_the_backlog)
{
  int kept[CONNECTIONS_MAX];
  int waiting[WAITING];

  mq_http_server_destroy (server);
  create_server (CONNECTIONS_MAX);
  for (size_t i = 0; i < ROWS (kept); i++)
    {
      kept[i] = send_on_new (GET);
      cr_assert (read_until (kept[i], "whole"));
    }
  for (size_t i = 0; i < ROWS (waiting); i++)
    waiting[i] = send_on_new (GET);
  mq_http_server_stop_accepting (server);
  for (uint64_t end = mq_clock_ms () + LIMIT_MS;
       !mq_http_server_close_idle (server) && mq_clock_ms () < end;)
    tevent_loop_once (ev);
  cr_expect (mq_http_server_close_idle (server));
  for (size_t i = 0; i < ROWS (waiting); i++)
    {
      cr_expect (read_until (waiting[i], "whole"), "%zu", i);
      raw_close (waiting[i], false);
    }
  for (size_t i = 0; i < ROWS (kept); i++)
    raw_close (kept[i], false);
}

/* Failure: a stream ends without its first byte because an event, or events
   that come at once, exceed the limit on unsent bytes, though the caller
   reads.  */
Test (http_close, large_events_reach_a_caller_that_reads)
{
  static const struct
  {
    const char *name;
    int count;
    size_t bytes;
  } rows[] = {
    { "one event", 1, (size_t)3 * MQ_STREAM_BUFFER_BYTES },
    { "events at once", 30, MQ_STREAM_BUFFER_BYTES / 10 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      size_t got = 0;
      bool ended = false;
      int fd;

      burst_count = rows[i].count;
      burst_bytes = rows[i].bytes;
      fd = send_on_new (STREAM);
      for (uint64_t end = mq_clock_ms () + LIMIT_MS;
           !ended && strstr (answer, "\r\n0\r\n") == NULL
           && mq_clock_ms () < end;
           got += strlen (answer))
        {
          tevent_loop_once (ev);
          answer[0] = '\0';
          ended = raw_read (fd, answer, sizeof answer);
        }
      cr_expect_geq (got, rows[i].count * rows[i].bytes, "%s: %zu",
                     rows[i].name, got);
      answer[0] = '\0';
      raw_close (fd, false);
    }
}

#define CHUNK_BYTES ((size_t)1 << 16)

/* Failure: a body in chunks of more than twice the limit is cut off without a
   response.  */
Test (http_close, body_far_over_its_limit_is_refused)
{
  size_t left = 4 * (size_t)MQ_BODY_MAX_BYTES / CHUNK_BYTES;
  char *chunk = talloc_asprintf (ev, "%zx\r\n%s\r\n", CHUNK_BYTES,
                                 filled (CHUNK_BYTES));
  size_t sent = 0;
  int fd = send_on_new ("POST /echo HTTP/1.1\r\n" HOST
                        "Transfer-Encoding: chunked\r\n\r\n");
  bool ended = false;

  answer[0] = '\0';
  for (uint64_t end = mq_clock_ms () + LIMIT_MS;
       !ended && left > 0 && mq_clock_ms () < end;)
    {
      sent += raw_send (fd, chunk + sent, strlen (chunk) - sent);
      left -= sent == strlen (chunk);
      sent = sent == strlen (chunk) ? 0 : sent;
      tevent_loop_once (ev);
      ended = raw_read (fd, answer, sizeof answer);
    }
  cr_expect_not_null (strstr (answer, "HTTP/1.1 413 "), "%s", answer);
  cr_expect_not_null (strstr (answer, "\"ran\":\"not_run\""), "%s", answer);
  cr_expect_eq (handled, 0);
  raw_close (fd, false);
}

/* Sends HEAD and then BYTES of body on FD while reading; true if the server
   has closed the connection, for LIMIT_MS at most.  */
static bool
send_body (int fd, const char *head, size_t bytes)
{
  const char *block = filled (CHUNK_BYTES);
  bool ended = false;

  raw_send (fd, head, strlen (head));
  answer[0] = '\0';
  for (uint64_t end = mq_clock_ms () + LIMIT_MS;
       !ended && mq_clock_ms () < end;)
    {
      size_t len = bytes < CHUNK_BYTES ? bytes : CHUNK_BYTES;

      bytes -= raw_send (fd, block, len);
      tevent_loop_once (ev);
      ended = raw_read (fd, answer, sizeof answer);
    }
  return ended;
}

/* Failure: the connection is closed with a part of the body unread, which
   resets it, and the caller loses the refusal.  */
Test (http_close, refusal_reaches_a_caller_that_sends_its_body)
{
  static const struct
  {
    const char *name;
    const char *fields;
    size_t bytes;
  } rows[] = {
    { "announced", "", 4 * (size_t)MQ_BODY_MAX_BYTES },
    { "announced, held back", "Expect: 100-continue\r\n",
      4 * (size_t)MQ_BODY_MAX_BYTES },
    { "more sent than announced", "", 8 * (size_t)MQ_BODY_MAX_BYTES },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      char *head = talloc_asprintf (
          ev, "POST /echo HTTP/1.1\r\n" HOST "%sContent-Length: %zu\r\n\r\n",
          rows[i].fields, 4 * (size_t)MQ_BODY_MAX_BYTES);
      int fd = send_on_new ("");
      bool ended = send_body (fd, head, rows[i].bytes);

      cr_expect (ended, "%s", rows[i].name);
      cr_expect_eq (strncmp (answer, "HTTP/1.1 413 ", 13), 0, "%s: %s",
                    rows[i].name, answer);
      cr_expect_not_null (strstr (answer, "\"ran\":\"not_run\""), "%s",
                          rows[i].name);
      cr_expect_eq (handled, 0, "%s", rows[i].name);
      raw_close (fd, false);
    }
}

/* Failure: the response that ends a connection at a stop is given while the
   caller's next request lies unread, and that one gets no response.  */
Test (http_close, stop_answers_the_next_request_on_a_connection)
{
  int fd = send_on_new (HOLD);

  run_for (50);
  cr_assert_not_null (held);
  raw_send (fd, GET, strlen (GET));
  mq_http_server_stop_accepting (server);
  mq_http_respond (held, 200, NULL, "first", 5);
  cr_expect (read_until (fd, "whole"), "%s", answer);
  cr_expect_not_null (strstr (answer, "first"));
  raw_close (fd, false);
}
