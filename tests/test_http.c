/* test_http.c - HTTP server and client, including failures of the other side.

   Needs: Criterion, http_peer.h, listen.h.  */

#include "http_peer.h"
#include "core/limits.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/listen.h"
#include <criterion/criterion.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define LIMIT_SECONDS 30
#define TICK_US 2000
#define TEXT_BYTES (1U << 18)
#define HELD_MAX 256
#define BODY_MAX 10000
/* Time for which the process is blocked; longer than the timeouts of its
   calls.  */
#define STALLED_MS 1200U
#define ROWS(table) (sizeof (table) / sizeof (table)[0])

/* State of a test: event loop, server, client and the recorded callbacks.  */
static struct tevent_context *ev;
static struct mq_http_server *server;
static struct mq_http_client *client;
static struct mq_http_request *held[HELD_MAX];
static int held_count;
static int closed_count;
static bool notify_on_closed;
static char text[TEXT_BYTES];

static void
tick (struct tevent_context *loop, struct tevent_timer *timer,
      struct timeval now, void *data)
{
  (void)timer;
  (void)now;
  tevent_add_timer (loop, loop, tevent_timeval_current_ofs (0, TICK_US), tick,
                    data);
}

#define WAIT(condition)                                                       \
  do                                                                          \
    {                                                                         \
      time_t limit = time (NULL) + LIMIT_SECONDS;                             \
      while (!(condition))                                                    \
        {                                                                     \
          cr_assert (time (NULL) < limit,                                     \
                     "%s: timed out waiting for " #condition, name);          \
          tevent_loop_once (ev);                                              \
        }                                                                     \
    }                                                                         \
  while (0)

static void
on_closed (struct mq_http_request *request, void *data)
{
  (void)request;
  (void)data;
  closed_count++;
}

static void
on_closed_destroy (struct mq_http_request *request, void *data)
{
  on_closed (request, data);
  mq_http_server_destroy (server);
  server = NULL;
}

static void
handler (struct mq_http_request *request, void *data)
{
  const char *path = mq_http_path (request);
  size_t len;
  const char *body = mq_http_body (request, &len);

  (void)data;
  if (notify_on_closed)
    mq_http_on_closed (request, on_closed, NULL);
  if (strcmp (path, "/stream") == 0)
    mq_http_stream_begin (request, 200, "text/event-stream");
  if (strcmp (path, "/abort") == 0)
    mq_http_abort (request);
  else if (strcmp (path, "/destroy") == 0)
    {
      mq_http_server_destroy (server);
      server = NULL;
      mq_http_respond (request, 200, NULL, "late", 4);
    }
  else if (strcmp (path, "/destroy_closed") == 0)
    {
      mq_http_on_closed (request, on_closed_destroy, NULL);
      mq_http_respond (request, 200, NULL, "ok", 2);
    }
  else if (strcmp (path, "/echo") == 0)
    {
      const char *tag = mq_http_query (request, "tag");

      if (tag != NULL)
        mq_http_set_header (request, "Tag", tag);
      mq_http_respond (request, 200, mq_http_header (request, "content-type"),
                       body, len);
    }
  else
    held[held_count++] = request;
}

static void
set_up (void)
{
  struct mq_http_server_options options
      = { .address = "127.0.0.1:0", .body_max = BODY_MAX };
  struct mq_error error = { 0 };

  ev = tevent_context_init (NULL);
  server = mq_http_server_create (ev, ev, &options, handler, NULL, &error);
  cr_assert_not_null (server, "%s", mq_error_name (error.type));
  client = mq_http_client_create (ev, ev, &error);
  cr_assert_not_null (client, "%s", mq_error_name (error.type));
  held_count = 0;
  closed_count = 0;
  notify_on_closed = true;
  tick (ev, NULL, (struct timeval){ 0 }, NULL);
}

static void
tear_down (void)
{
  mq_http_client_destroy (client);
  mq_http_server_destroy (server);
  talloc_free (ev);
}

TestSuite (http, .init = set_up, .fini = tear_down, .timeout = 120);

/* Recorded result of a client call.  */
struct outcome
{
  int done;
  int parts;
  enum mq_error_type error;
  bool sent;
  int status;
  uint32_t retry_after_ms;
  char *body;
  size_t len;
  struct mq_http_call *cancel; /* call to cancel in a part or at the end */
  struct mq_http_client
      *destroy; /* client to destroy in a part or at the end */
};

static void
act (struct outcome *outcome)
{
  if (outcome->cancel != NULL)
    mq_http_call_cancel (outcome->cancel);
  outcome->cancel = NULL;
  if (outcome->destroy != NULL)
    mq_http_client_destroy (client);
  if (outcome->destroy != NULL)
    client = NULL;
  outcome->destroy = NULL;
}

static void
on_done (const struct mq_http_result *result, void *user)
{
  struct outcome *outcome = user;

  outcome->done++;
  outcome->error = result->error;
  outcome->sent = result->sent;
  outcome->status = result->status;
  outcome->retry_after_ms = result->retry_after_ms;
  if (result->len > 0)
    outcome->body = talloc_memdup (ev, result->body, result->len + 1);
  outcome->len = result->len;
  act (outcome);
}

static void
on_part (const char *data, size_t len, void *user)
{
  struct outcome *outcome = user;

  outcome->parts++;
  outcome->body = outcome->body == NULL
                      ? talloc_strndup (ev, data, len)
                      : talloc_strndup_append (outcome->body, data, len);
  outcome->len += len;
  act (outcome);
}

static struct mq_http_call *
call (struct outcome *outcome, uint16_t port, const char *path,
      struct mq_http_send send)
{
  char *url = talloc_asprintf (ev, "http://127.0.0.1:%u%s", port, path);
  struct mq_http_call *made;

  memset (outcome, 0, sizeof *outcome);
  if (send.url == NULL)
    send.url = url;
  send.done = on_done;
  send.user = outcome;
  made = mq_http_client_send (client, &send);
  cr_assert_not_null (made);
  cr_assert_eq (outcome->done, 0, "done within send");
  return made;
}

static const char *
filled (size_t len, char with)
{
  char *bytes = talloc_size (ev, len + 1);

  memset (bytes, with, len);
  bytes[len] = '\0';
  return bytes;
}

/* A failed call must report whether it may have taken effect: the scheduler
   repeats only calls that were not sent or may be repeated.  Each row is one
   failure of the other side.  */
Test (http, client_faults)
{
  static const char *const forged[] = { "Key: a\r\nForged: b", NULL };
  static const struct
  {
    const char *name;
    enum
    {
      SCRIPTED,
      REFUSING,
      HANGING,
      LEAVING, /* the host disappears during connect */
      FORGED,  /* a header value with a line break */
      NOT_HTTP /* a URL with another scheme */
    } fault;
    enum peer_step step;
    uint32_t timeout_ms;
    size_t body_max;
    mq_http_part *part;
    enum mq_error_type error;
    bool sent;
    int status;
    int requests;
  } rows[] = {
    { "answered", SCRIPTED, PEER_ANSWER, 0, 0, NULL, MQ_ERR_NONE, true, 200,
      1 },
    { "busy", SCRIPTED, PEER_BUSY, 0, 0, NULL, MQ_ERR_NONE, true, 429, 1 },
    { "refused", REFUSING, 0, 0, 0, NULL, MQ_ERR_PEER_LOST, false, 0, 0 },
    { "refused late", LEAVING, 0, 0, 0, NULL, MQ_ERR_PEER_LOST, false, 0, 0 },
    { "connecting hangs", HANGING, 0, 100, 0, NULL, MQ_ERR_TIMEOUT, false, 0,
      0 },
    { "closed without a response", SCRIPTED, PEER_CLOSE, 0, 0, NULL,
      MQ_ERR_PEER_LOST, true, 0, 1 },
    { "reset without a response", SCRIPTED, PEER_RESET, 0, 0, NULL,
      MQ_ERR_PEER_LOST, true, 0, 1 },
    { "closes in the body", SCRIPTED, PEER_PART, 0, 0, NULL, MQ_ERR_PEER_LOST,
      true, 200, 1 },
    { "closes between chunks", SCRIPTED, PEER_CHUNK, 0, 0, on_part,
      MQ_ERR_PEER_LOST, true, 200, 1 },
    { "silent", SCRIPTED, PEER_SILENT, 100, 0, NULL, MQ_ERR_TIMEOUT, true, 0,
      1 },
    { "too large", SCRIPTED, PEER_LONG, 0, 65535, NULL, MQ_ERR_TOO_LARGE, true,
      200, 1 },
    { "too large in parts", SCRIPTED, PEER_LONG, 0, 65535, on_part,
      MQ_ERR_TOO_LARGE, true, 200, 1 },
    { "just not too large", SCRIPTED, PEER_LONG, 0, 65536, NULL, MQ_ERR_NONE,
      true, 200, 1 },
    { "no HTTP answer", SCRIPTED, PEER_GARBAGE, 0, 0, NULL, MQ_ERR_IO, true, 0,
      1 },
    { "forged header", FORGED, PEER_ANSWER, 0, 0, NULL, MQ_ERR_BAD_REQUEST,
      false, 0, 0 },
    { "no HTTP URL", NOT_HTTP, PEER_ANSWER, 0, 0, NULL, MQ_ERR_BAD_REQUEST,
      false, 0, 0 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      const char *name = rows[i].name;
      struct http_peer *peer = http_peer_create (ev);
      struct mq_http_send send = { .method = "POST",
                                   .timeout_ms = rows[i].timeout_ms,
                                   .body_max = rows[i].body_max,
                                   .part = rows[i].part };
      uint16_t port = peer->port;
      int hanging = -1;
      struct outcome outcome = { 0 };

      peer->rest = rows[i].step;
      if (rows[i].fault == FORGED)
        send.headers = forged;
      if (rows[i].fault == NOT_HTTP)
        send.url = "file:///";
      if (rows[i].fault == REFUSING)
        port = refusing_port ();
      if (rows[i].fault == HANGING || rows[i].fault == LEAVING)
        port = hanging_port (&hanging);
      call (&outcome, port, "/", send);
      for (int j = 0; j < 20 && rows[i].fault == LEAVING; j++)
        tevent_loop_once (ev);
      if (hanging >= 0 && rows[i].fault == LEAVING)
        close (hanging);
      WAIT (outcome.done > 0);
      cr_expect_eq (outcome.error, rows[i].error, "%s: %s", name,
                    mq_error_name (outcome.error));
      cr_expect_eq (outcome.sent, rows[i].sent, "%s", name);
      cr_expect_eq (outcome.status, rows[i].status, "%s: status %d", name,
                    outcome.status);
      cr_expect_eq (outcome.retry_after_ms,
                    rows[i].step == PEER_BUSY ? 2000 : 0, "%s", name);
      cr_expect_eq (peer->requests, rows[i].requests, "%s: %d requests", name,
                    peer->requests);
      talloc_free (peer);
    }
}

/* A service closes a reused connection after it has read the request. curl
   resends the request on a new connection by itself, and the call would run
   twice.  */
Test (http, call_on_closing_connection_is_not_repeated)
{
  static const struct
  {
    const char *name;
    const char *method;
    size_t len;
    enum peer_step second;
    enum mq_error_type error;
    int requests;
  } rows[] = {
    { "POST", "POST", 100, PEER_CLOSE, MQ_ERR_PEER_LOST, 2 },
    { "POST, reset", "POST", 100, PEER_RESET, MQ_ERR_PEER_LOST, 2 },
    { "POST without a body", "POST", 0, PEER_CLOSE, MQ_ERR_PEER_LOST, 2 },
    { "POST with a long body", "POST", 50000, PEER_CLOSE, MQ_ERR_PEER_LOST,
      2 },
    { "PUT", "PUT", 100, PEER_CLOSE, MQ_ERR_PEER_LOST, 2 },
    { "DELETE", "DELETE", 0, PEER_CLOSE, MQ_ERR_PEER_LOST, 2 },
    { "GET may be repeated", "GET", 0, PEER_CLOSE, MQ_ERR_NONE, 3 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      const char *name = rows[i].name;
      struct http_peer *peer = http_peer_create (ev);
      struct mq_http_send send = { .method = rows[i].method,
                                   .body = filled (rows[i].len, 'x'),
                                   .len = rows[i].len };
      struct outcome outcome = { 0 };

      peer->first_count = 1;
      peer->first[1] = rows[i].second;
      call (&outcome, peer->port, "/", send);
      WAIT (outcome.done > 0);
      cr_expect_eq (outcome.error, MQ_ERR_NONE, "%s", name);
      call (&outcome, peer->port, "/", send);
      WAIT (outcome.done > 0);
      cr_expect_eq (outcome.error, rows[i].error, "%s: %s", name,
                    mq_error_name (outcome.error));
      cr_expect (outcome.sent, "%s", name);
      cr_expect_eq (peer->requests, rows[i].requests, "%s: %d requests", name,
                    peer->requests);
      /* Checks that the first two calls shared a connection.  */
      cr_expect_leq (peer->connections, 2, "%s", name);
      talloc_free (peer);
    }
}

/* Reused connections no longer respond although new ones work.  Only one call
   may time out; later calls must use new connections.  */
Test (http, one_timeout_excludes_unresponsive_connections)
{
  const char *name = "silent";
  struct http_peer *peer = http_peer_create (ev);
  struct mq_http_send send = { .method = "POST", .timeout_ms = 300 };
  struct outcome kept[3] = { 0 };
  struct outcome outcome = { 0 };

  peer->first_count = ROWS (kept);
  peer->first[1] = PEER_SILENT;
  for (size_t i = 0; i < ROWS (kept); i++)
    call (&kept[i], peer->port, "/", send);
  WAIT (kept[0].done && kept[1].done && kept[2].done);
  cr_assert_eq (peer->connections, 3);
  call (&outcome, peer->port, "/", send);
  WAIT (outcome.done > 0);
  cr_expect_eq (outcome.error, MQ_ERR_TIMEOUT);
  send.timeout_ms = 10000;
  call (&outcome, peer->port, "/", send);
  WAIT (outcome.done > 0);
  cr_expect_eq (outcome.error, MQ_ERR_NONE);
  for (time_t until = time (NULL) + 4; time (NULL) < until;)
    tevent_loop_once (ev);
  for (int i = 0; i < 3; i++)
    {
      call (&outcome, peer->port, "/", send);
      WAIT (outcome.done > 0);
      cr_expect_eq (outcome.error, MQ_ERR_NONE);
    }
}

/* Receives one complete request on FD, running the event loop meanwhile.  */
static void
receive_request (int fd)
{
  char request[4096] = "";
  size_t len = 0;

  while (strstr (request, "\r\n\r\n") == NULL)
    {
      ssize_t got
          = recv (fd, request + len, sizeof request - len - 1, MSG_DONTWAIT);

      len += got > 0 ? (size_t)got : 0;
      request[len] = '\0';
      tevent_loop_once (ev);
    }
}

/* A response arrives in time while this process is blocked for longer than the
   timeout.  The call must succeed, not time out.  */
Test (http, response_in_time_is_accepted_after_a_stall)
{
  static const char answer[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  static const struct
  {
    const char *name;
    size_t len; /* bytes of the response that arrive in time */
    enum mq_error_type error;
  } rows[] = {
    { "whole", sizeof answer - 1, MQ_ERR_NONE },
    { "without its end", sizeof answer - 2, MQ_ERR_TIMEOUT },
    { "nothing", 0, MQ_ERR_TIMEOUT },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      const char *name = rows[i].name;
      struct mq_http_send send_off
          = { .method = "POST", .timeout_ms = STALLED_MS - 200 };
      struct outcome outcome = { 0 };
      int listening = mq_listen_open ("127.0.0.1:0", NULL);
      int fd = -1;

      call (&outcome, mq_listen_port (listening), "/", send_off);
      while (fd < 0)
        {
          tevent_loop_once (ev);
          fd = accept (listening, NULL, NULL);
        }
      receive_request (fd);
      cr_assert_eq (send (fd, answer, rows[i].len, MSG_NOSIGNAL),
                    (ssize_t)rows[i].len);
      usleep (STALLED_MS * 1000);
      WAIT (outcome.done > 0);
      cr_expect_eq (outcome.error, rows[i].error, "%s: %s", name,
                    mq_error_name (outcome.error));
      close (fd);
      close (listening);
    }
}

/* A callback may cancel calls or destroy the client inside curl.  Guards
   against use after free (ASan) and callbacks of cancelled calls.  */
Test (http, cancel_and_destroy_within_callbacks)
{
  static const struct
  {
    const char *name;
    bool in_part;
    bool self;
    bool destroy;
  } rows[] = {
    { "itself in a part", true, true, false },
    { "another in a part", true, false, false },
    { "itself at its end", false, true, false },
    { "another at its end", false, false, false },
    { "the client in a part", true, false, true },
    { "the client at the end", false, false, true },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      const char *name = rows[i].name;
      struct http_peer *peer = http_peer_create (ev);
      struct mq_http_send send
          = { .method = "POST", .part = rows[i].in_part ? on_part : NULL };
      struct outcome acting = { 0 };
      struct outcome other = { 0 };
      struct mq_http_call *second
          = call (&other, mq_http_server_port (server), "/hold", send);
      struct mq_http_call *self;

      WAIT (held_count > 0);
      self = call (&acting, peer->port, "/", send);
      if (rows[i].destroy)
        acting.destroy = client;
      else
        acting.cancel = rows[i].self ? self : second;
      WAIT (acting.parts + acting.done > 0 && acting.cancel == NULL
            && acting.destroy == NULL);
      if (rows[i].self)
        mq_http_respond (held[0], 200, NULL, "x", 1);
      WAIT (closed_count > 0);
      cr_expect_eq (acting.done,
                    !(rows[i].in_part && (rows[i].self || rows[i].destroy)),
                    "%s", name);
      WAIT (other.done == rows[i].self);
      talloc_free (peer);
      mq_http_client_destroy (client);
      client = mq_http_client_create (ev, ev, NULL);
      held_count = 0;
      closed_count = 0;
    }
}

/* Raw requests, complete or malformed, and the start of their responses.  */
Test (http, raw_requests)
{
  static const struct
  {
    const char *name;
    const char *start;
    size_t fill; /* filler bytes after START */
    const char *rest;
    const char *answer;
    const char *with; /* expected in the response */
  } rows[] = {
    { "GET", "GET /echo?tag=a%20b HTTP/1.1\r\nHost: a\r\n\r\n", 0, "",
      "HTTP/1.1 200", "Tag: a b" },
    { "POST", "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi",
      0, "", "HTTP/1.1 200", "\r\n\r\nhi" },
    { "HTTP/1.0", "POST /echo HTTP/1.0\r\nContent-Length: 2\r\n\r\nhi", 0, "",
      "HTTP/1.1 200", "\r\n\r\nhi" },
    { "chunks",
      "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\nh\r\n1\r\ni\r\n0\r\n\r\n",
      0, "", "HTTP/1.1 200", "\r\n\r\nhi" },
    { "no host", "GET /echo HTTP/1.1\r\n\r\n", 0, "", "HTTP/1.1 400", "" },
    /* libmicrohttpd closes the connection without a response.  */
    { "no request line", "gibberish\r\n\r\n", 0, "", "", "" },
    { "no HTTP", "GET /echo GOPHER/1.1\r\nHost: a\r\n\r\n", 0, "",
      "HTTP/1.1 400", "" },
    { "no header", "GET /echo HTTP/1.1\r\nHost: a\r\nnone\r\n\r\n", 0, "",
      "HTTP/1.1 400", "" },

    { "bad length",
      "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 0, "",
      "HTTP/1.1 400", "" },
    { "header within its limit", "GET /echo HTTP/1.1\r\nHost: a\r\nLong: ",
      MQ_HEADERS_MAX_BYTES - 64, "\r\n\r\n", "HTTP/1.1 200", "" },
    { "header over its limit", "GET /echo HTTP/1.1\r\nHost: a\r\nLong: ",
      (size_t)4 * MQ_HEADERS_MAX_BYTES, "\r\n\r\n", "HTTP/1.1 431", "" },
    { "address over its limit", "GET /echo?", (size_t)4 * MQ_HEADERS_MAX_BYTES,
      " HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 414", "" },
    { "body at its limit",
      "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 10000\r\n\r\n",
      BODY_MAX, "", "HTTP/1.1 200", "xxx" },
    { "body over its limit",
      "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 10001\r\n\r\n",
      BODY_MAX + 1, "", "HTTP/1.1 413",
      "{\"error\":\"too_large\",\"ran\":\"not_run\"" },
    { "chunks over the limit",
      "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4000\r\n",
      0x4000, "\r\n0\r\n\r\n", "HTTP/1.1 413", "too_large" },
    { "body far over its limit",
      "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", 0,
      "", "HTTP/1.1 413", "too_large" },
    { "body over its limit, held back",
      "POST /echo HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
      "Content-Length: 10001\r\n\r\n",
      0, "", "HTTP/1.1 413", "too_large" },
    { "endless chunks",
      "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "ffffff\r\n",
      100000, "", "HTTP/1.1 413", "too_large" },
    { "aborted", "GET /abort HTTP/1.1\r\nHost: a\r\n\r\n", 0, "", "", "" },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      const char *name = rows[i].name;
      char *request
          = talloc_asprintf (ev, "%s%s%s", rows[i].start,
                             filled (rows[i].fill, 'x'), rows[i].rest);
      size_t len = strlen (request);
      int fd = raw_open (mq_http_server_port (server));
      bool ended = false;

      text[0] = '\0';
      for (size_t sent = 0; sent < len && !ended;)
        {
          sent += raw_send (fd, request + sent, len - sent);
          tevent_loop_once (ev);
          ended = raw_read (fd, text, sizeof text);
        }
      WAIT ((ended |= raw_read (fd, text, sizeof text))
            || (rows[i].answer[0] != '\0' && strstr (text, "\r\n\r\n") != NULL
                && strstr (text, rows[i].with) != NULL));
      cr_expect (strncmp (text, rows[i].answer, strlen (rows[i].answer)) == 0,
                 "%s: %.80s", name, text);
      cr_expect_not_null (strstr (text, rows[i].with), "%s: %s", name, text);
      cr_expect (rows[i].answer[0] != '\0' || text[0] == '\0', "%s", name);
      if (strstr (text, "Connection: close") != NULL)
        WAIT (ended |= raw_read (fd, text, sizeof text));
      raw_close (fd, false);
      WAIT (mq_http_server_in_progress (server) == 0);
    }
}

static const char hold[] = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";
static const char stream[] = "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n";
static const char upload[]
    = "POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\nxxx";

enum phase
{
  PHASE_UPLOADING,
  PHASE_HELD,
  PHASE_STREAM_BEGUN,
  PHASE_STREAM_IDLE,
  PHASE_STREAM_BLOCKED,
  PHASE_ANSWER_BLOCKED
};

/* Opens a connection and brings its request into PHASE.  */
static int
open_in_phase (const char *name, enum phase phase)
{
  const char *request = phase == PHASE_UPLOADING ? upload
                        : phase == PHASE_HELD || phase == PHASE_ANSWER_BLOCKED
                            ? hold
                            : stream;
  size_t before = mq_http_server_in_progress (server);
  int held_before = held_count;
  int fd = raw_open (mq_http_server_port (server));

  raw_send (fd, request, strlen (request));
  if (phase == PHASE_UPLOADING)
    WAIT (mq_http_server_in_progress (server) > before);
  else
    WAIT (held_count > held_before);
  text[0] = '\0';
  switch (phase)
    {
    case PHASE_UPLOADING:
    case PHASE_HELD:
    case PHASE_STREAM_BEGUN:
      break;
    case PHASE_STREAM_IDLE:
      mq_http_stream_write (held[held_before], "first", 5);
      WAIT (raw_read (fd, text, sizeof text) || strstr (text, "first"));
      break;
    case PHASE_STREAM_BLOCKED:
      mq_http_stream_write (held[held_before], filled (1000000, 'x'), 1000000);
      WAIT (raw_read (fd, text, 4096) || text[0] != '\0');
      break;
    case PHASE_ANSWER_BLOCKED:
      mq_http_respond (held[held_before], 200, NULL, filled (1 << 24, 'x'),
                       1 << 24);
      WAIT (raw_read (fd, text, 4096) || text[0] != '\0');
      break;
    }
  return fd;
}

/* A disconnect of the caller must be detected in every phase of a request;
   otherwise work continues after the caller has left.  */
Test (http, caller_disconnect_is_detected_in_every_phase)
{
  static const struct
  {
    const char *name;
    enum phase phase;
    bool reset;
    bool more;         /* the next request is pipelined */
    bool no_on_closed; /* no on_closed: the request is kept until answered */
  } rows[] = {
    { "uploading", PHASE_UPLOADING, false, false, false },
    { "uploading, reset", PHASE_UPLOADING, true, false, false },
    { "held", PHASE_HELD, false, false, false },
    { "held, reset", PHASE_HELD, true, false, false },
    { "held, pipelined", PHASE_HELD, false, true, false },
    { "held, no on_closed", PHASE_HELD, false, false, true },
    { "stream begun", PHASE_STREAM_BEGUN, false, false, false },
    { "stream idle", PHASE_STREAM_IDLE, false, false, false },
    { "stream idle, reset", PHASE_STREAM_IDLE, true, false, false },
    { "stream idle, pipelined", PHASE_STREAM_IDLE, true, true, false },
    { "stream idle, no on_closed", PHASE_STREAM_IDLE, false, false, true },
    { "stream blocked", PHASE_STREAM_BLOCKED, false, false, false },
    { "response blocked", PHASE_ANSWER_BLOCKED, false, false, false },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      const char *name = rows[i].name;
      bool uploading = rows[i].phase == PHASE_UPLOADING;
      int fd;

      held_count = 0;
      closed_count = 0;
      notify_on_closed = !rows[i].no_on_closed;
      fd = open_in_phase (name, rows[i].phase);
      cr_expect_eq (mq_http_server_in_progress (server), 1, "%s", name);
      if (rows[i].more)
        {
          raw_send (fd, hold, strlen (hold));
          for (int j = 0; j < 20; j++)
            tevent_loop_once (ev);
        }
      raw_close (fd, rows[i].reset);
      WAIT (mq_http_server_in_progress (server) == 0);
      cr_expect_eq (closed_count, !uploading && !rows[i].no_on_closed,
                    "%s: %d", name, closed_count);
      if (!rows[i].no_on_closed)
        continue;
      cr_expect_not (mq_http_stream_write (held[0], "x", 1), "%s", name);
      cr_expect_null (mq_http_header (held[0], "Host"), "%s", name);
      if (rows[i].phase == PHASE_HELD)
        mq_http_respond (held[0], 200, NULL, "x", 1);
      else
        mq_http_stream_end (held[0]);
    }
}

/* Destroying the server with requests in every phase calls each on_closed
   once, nothing after that, and frees nothing that is still in use (ASan).  */
Test (http, destroyed_with_requests)
{
  static const char *const paths[] = { "/destroy", "/destroy_closed" };
  const char *name = "destroyed";

  for (enum phase phase = PHASE_UPLOADING; phase <= PHASE_ANSWER_BLOCKED;
       phase++)
    open_in_phase (name, phase);
  mq_http_server_destroy (server);
  server = NULL;
  cr_expect_eq (closed_count, 5, "%d", closed_count);
  for (size_t i = 0; i < ROWS (paths); i++)
    {
      struct outcome outcome = { 0 };
      struct outcome waiting = { 0 };

      mq_http_client_destroy (client);
      talloc_free (ev);
      set_up ();
      call (&waiting, mq_http_server_port (server), "/hold",
            (struct mq_http_send){ .method = "GET" });
      WAIT (held_count == 1);
      call (&outcome, mq_http_server_port (server), paths[i],
            (struct mq_http_send){ .method = "GET" });
      WAIT (outcome.done && waiting.done);
      cr_expect_null (server);
      cr_expect_eq (closed_count, 2, "%s: %d", paths[i], closed_count);
      cr_expect_eq (waiting.error, MQ_ERR_PEER_LOST);
    }
}

/* A caller that does not read its stream must be disconnected, so that its
   unsent bytes do not exhaust the memory.  */
Test (http, slow_reader_is_disconnected)
{
  const char *name = "slow reader";
  int fd = open_in_phase (name, PHASE_STREAM_IDLE);
  const char *block = filled (16384, 'x');
  size_t taken = 0;
  struct outcome other = { 0 };

  while (mq_http_stream_write (held[0], block, 16384))
    {
      taken += 16384;
      cr_assert (taken < 64U << 20, "no bound");
      tevent_loop_once (ev);
    }
  cr_expect_geq (taken, MQ_STREAM_BUFFER_BYTES);
  cr_expect_eq (closed_count, 0, "told within the write");
  cr_expect_not (mq_http_stream_write (held[0], block, 1));
  WAIT (closed_count == 1);
  call (&other, mq_http_server_port (server), "/echo",
        (struct mq_http_send){ .method = "POST", .body = "x", .len = 1 });
  WAIT (other.done);
  cr_expect_eq (other.status, 200);
  raw_close (fd, false);
}

#define STREAMS 200
#define STREAM_LINES 50

/* Two hundred concurrent streams: each caller receives the complete response
   to its own request.  */
Test (http, concurrent_streams)
{
  static struct outcome outcomes[STREAMS];
  const char *name = "streams";
  int done = 0;

  for (int i = 0; i < STREAMS; i++)
    call (&outcomes[i], mq_http_server_port (server),
          talloc_asprintf (ev, "/stream?tag=%d", i),
          (struct mq_http_send){ .method = "GET", .part = on_part });
  WAIT (held_count == STREAMS);
  for (int line = 0; line < STREAM_LINES; line++)
    {
      for (int i = 0; i < STREAMS; i++)
        {
          char *part = talloc_asprintf (ev, "%s:%d\n",
                                        mq_http_query (held[i], "tag"), line);

          cr_assert (mq_http_stream_write (held[i], part, strlen (part)));
        }
      tevent_loop_once (ev);
    }
  for (int i = 0; i < STREAMS; i++)
    mq_http_stream_end (held[i]);
  WAIT (closed_count == STREAMS);
  for (int i = 0; i < STREAMS; i++)
    {
      char *whole = talloc_strdup (ev, "");

      for (int line = 0; line < STREAM_LINES; line++)
        whole = talloc_asprintf_append (whole, "%d:%d\n", i, line);
      WAIT (outcomes[i].done);
      done += outcomes[i].error == MQ_ERR_NONE;
      cr_expect_str_eq (outcomes[i].body, whole, "stream %d", i);
    }
  cr_expect_eq (done, STREAMS);
}

#define BLOCK 100000
#define LAG 800000

/* Counts the characters in the bodies of CHUNKS that are not hexadecimal
   digits.  */
static size_t
count_letters (const char *chunks, char *last)
{
  size_t count = 0;

  for (; *chunks != '\0'; chunks++)
    if (*chunks >= 'g' && *chunks <= 'z')
      {
        cr_assert_geq (*chunks, *last, "out of order");
        *last = *chunks;
        count++;
      }
  return count;
}

/* A reader that lags by more than the socket buffer, but within the limit,
   receives every byte.  */
Test (http, lagging_reader_receives_every_byte)
{
  const char *name = "lagging reader";
  int fd = open_in_phase (name, PHASE_STREAM_IDLE);
  size_t got = 0;
  size_t sent = 0;
  char last = 'g';

  for (int with = 'g'; with <= 'z'; with++)
    {
      cr_assert (
          mq_http_stream_write (held[0], filled (BLOCK, (char)with), BLOCK));
      sent += BLOCK;
      while (sent - got > LAG)
        {
          tevent_loop_once (ev);
          text[0] = '\0';
          cr_assert_not (raw_read (fd, text, sizeof text));
          got += count_letters (text, &last);
        }
    }
  mq_http_stream_end (held[0]);
  while (got < sent)
    {
      tevent_loop_once (ev);
      text[0] = '\0';
      raw_read (fd, text, sizeof text);
      got += count_letters (text, &last);
    }
  cr_expect_eq (got, sent);
  cr_expect_eq (last, 'z');
  raw_close (fd, false);
}

Test (http, keep_alive_and_pipelined_requests_are_answered)
{
  static const char two[]
      = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none"
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ntwo";
  const char *name = "kept";
  int fd = open_in_phase (name, PHASE_HELD);

  raw_send (fd, two, strlen (two));
  mq_http_respond (held[0], 200, NULL, "zero", 4);
  WAIT (raw_read (fd, text, sizeof text) || strstr (text, "two"));
  cr_expect (strstr (text, "zero") < strstr (text, "one"));
  cr_expect (strstr (text, "one") < strstr (text, "two"));
  cr_expect_null (strstr (text, "close"));
  raw_close (fd, false);
}

/* After mq_http_server_stop_accepting no connection is accepted; requests in
   progress are answered and their connections closed.  */
Test (http, stop_accepting)
{
  const char *name = "stop";
  struct outcome refused = { 0 };
  uint16_t port = mq_http_server_port (server);
  int fd = open_in_phase (name, PHASE_HELD);
  bool ended = false;

  mq_http_server_stop_accepting (server);
  mq_http_server_stop_accepting (server);
  call (&refused, port, "/echo", (struct mq_http_send){ .method = "POST" });
  WAIT (refused.done);
  cr_expect_eq (refused.error, MQ_ERR_PEER_LOST);
  cr_expect_not (refused.sent);
  mq_http_respond (held[0], 200, NULL, "whole", 5);
  WAIT (ended |= raw_read (fd, text, sizeof text));
  cr_expect_not_null (strstr (text, "whole"));
  cr_expect_eq (mq_http_server_in_progress (server), 0);
  raw_close (fd, false);
}

/* More connections than libmicrohttpd accepts at once.  */
#define NOT_ACCEPTED 25

/* Connections in the kernel's backlog at a stop must be accepted and answered;
   closing the listening socket alone would reset them.  */
Test (http, backlog_connections_are_answered_at_a_stop)
{
  static const char asked[]
      = "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
  const char *name = "not accepted";
  int fds[NOT_ACCEPTED];

  for (size_t i = 0; i < NOT_ACCEPTED; i++)
    {
      fds[i] = raw_open (mq_http_server_port (server));
      cr_assert_eq (raw_send (fds[i], asked, sizeof asked - 1),
                    sizeof asked - 1);
    }
  mq_http_server_stop_accepting (server);
  for (size_t i = 0; i < NOT_ACCEPTED; i++)
    {
      bool ended = false;

      text[0] = '\0';
      WAIT (ended || strstr (text, "hi") != NULL
            || ((ended = raw_read (fds[i], text, sizeof text))));
      cr_expect_not_null (strstr (text, "200 OK"), "%zu: ended %d", i, ended);
      raw_close (fds[i], false);
    }
}

Test (http, connections_are_bounded)
{
  struct mq_http_server_options options
      = { .address = "[::1]:0", .connections_max = 2 };
  const char *name = "bound";
  int fds[3];

  mq_http_server_destroy (server);
  options.address = "127.0.0.1:0";
  server = mq_http_server_create (ev, ev, &options, handler, NULL, NULL);
  cr_assert_not_null (server);
  for (size_t i = 0; i < ROWS (fds); i++)
    {
      fds[i] = raw_open (mq_http_server_port (server));
      raw_send (fds[i], hold, strlen (hold));
    }
  WAIT (held_count == 2);
  for (int i = 0; i < 50; i++)
    tevent_loop_once (ev);
  cr_expect_eq (held_count, 2);
  raw_close (fds[0], false);
  WAIT (held_count == 3);
  raw_close (fds[1], false);
  raw_close (fds[2], false);
}

Test (http, listening)
{
  char *taken
      = talloc_asprintf (ev, "127.0.0.1:%u", mq_http_server_port (server));
  const struct
  {
    const char *address;
    enum mq_error_type error;
    int64_t number;
  } rows[] = {
    { "127.0.0.1:0", MQ_ERR_NONE, 0 },
    { taken, MQ_ERR_IO, EADDRINUSE },
    { "localhost:80", MQ_ERR_TEXT_BAD_VALUE, 0 },
    { "127.0.0.1", MQ_ERR_TEXT_BAD_VALUE, 0 },
    { "127.0.0.1:http", MQ_ERR_TEXT_BAD_VALUE, 0 },
    { ":80", MQ_ERR_TEXT_BAD_VALUE, 0 },
    { "", MQ_ERR_TEXT_BAD_VALUE, 0 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct mq_http_server_options options = { .address = rows[i].address };
      struct mq_error error = { 0 };
      struct mq_http_server *made
          = mq_http_server_create (ev, ev, &options, handler, NULL, &error);

      cr_expect_eq (error.type, rows[i].error, "%s: %s", rows[i].address,
                    mq_error_name (error.type));
      cr_expect_eq (error.number, rows[i].number, "%s", rows[i].address);
      cr_expect_eq (made != NULL, rows[i].error == MQ_ERR_NONE);
      cr_expect (made == NULL || mq_http_server_port (made) != 0);
      mq_http_server_destroy (made);
    }
}
