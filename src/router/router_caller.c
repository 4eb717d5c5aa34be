/* router_caller.c - HTTP connections of callers.

   A connection serves one request at a time; pipelined requests are buffered
   until the response is sent.  The connection is read during a request, so
   that a disconnect is noticed at once.
   Needs: router_state.h, listen.h, clock.h.  */

#include "router_state.h"
#include "net/clock.h"
#include "net/listen.h"
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

/* Pipelined bytes at which reading pauses, and the limit including one more
   read.  */
#define READ_AHEAD_BYTES ((size_t)64 << 10)
#define READ_AHEAD_MAX_BYTES (2 * READ_AHEAD_BYTES)
/* Limits until the first configuration is loaded; see docs/CONTRACTS.md.  */
#define DEFAULT_HEADER_MS 3000U
#define DEFAULT_IDLE_MS 15000U
#define DEFAULT_BODY_BYTES (4U << 20)
/* Connections accepted per event.  */
#define ACCEPT_BATCH 16

/**
 * struct mq_caller - one connection
 * @link: where the list points to this connection; NULL if unlinked
 * @request: pending request; NULL if none
 * @head: head of the current message; NULL until it is complete
 * @body: body of the current message
 * @read_ahead: pipelined bytes behind the current message
 * @arrived_ms: start of the current message, local monotonic clock
 * @active_ms: last activity, local monotonic clock
 * @advertised_idle_ms: idle timeout in force when Keep-Alive was last sent
 * @answering: the current message is complete or refused, the response is not
 *             sent yet
 * @closing: close the connection after the current response
 * @feeding: bytes are being parsed; the structure must not be freed
 * @dead: the connection is gone; freed once @feeding is false
 */
struct mq_caller
{
  struct mq_router *router;
  struct mq_caller *next;
  struct mq_caller **link;
  struct mq_tcp *tcp;
  struct mq_http_reader *reader;
  struct mq_request *request;
  const struct mq_http_head *head;
  struct mq_buffer body;
  struct mq_buffer read_ahead;
  uint64_t arrived_ms;
  uint64_t active_ms;
  uint32_t advertised_idle_ms;
  bool answering;
  bool closing;
  bool feeding;
  bool dead;
};

static void parse_data (struct mq_caller *caller, const char *data,
                        size_t len);

static struct mq_route_limits
current_limits (const struct mq_router *router)
{
  static const struct mq_route_limits first
      = { .header_bytes = 0,
          .body_bytes = DEFAULT_BODY_BYTES,
          .header_ms = DEFAULT_HEADER_MS,
          .idle_ms = DEFAULT_IDLE_MS };

  return router->routes == NULL ? first : router->routes->limits;
}

static void
unlink_caller (struct mq_caller *caller)
{
  if (caller->link == NULL)
    return;
  *caller->link = caller->next;
  if (caller->next != NULL)
    caller->next->link = caller->link;
  caller->link = NULL;
  caller->router->caller_count--;
}

static void
free_if_unused (struct mq_caller *caller)
{
  if (caller->dead && !caller->feeding)
    talloc_free (caller);
}

/* Detaches and frees the caller; its connection is closed or closes on its
   own.  */
static void
detach_caller (struct mq_caller *caller)
{
  unlink_caller (caller);
  caller->tcp = NULL;
  caller->dead = true;
  free_if_unused (caller);
}

/**
 * struct ending_connection - counts a finished connection until it is freed
 * with it
 */
struct ending_connection
{
  struct mq_router *router;
};

static int
remove_ending (struct ending_connection *ending_connection)
{
  ending_connection->router->ending_count--;
  return 0;
}

/* Counts a finished connection until it has closed.

   Failure: the process exits at a planned stop while response data is still
   unsent to a slow caller.  */
static void
add_ending (struct mq_caller *caller)
{
  struct ending_connection *ending_connection
      = talloc_zero (caller->tcp, struct ending_connection);

  if (ending_connection == NULL)
    return;
  ending_connection->router = caller->router;
  ending_connection->router->ending_count++;
  talloc_set_destructor (ending_connection, remove_ending);
}

static void
finish_caller (struct mq_caller *caller)
{
  talloc_steal (caller->router, caller->tcp);
  add_ending (caller);
  mq_tcp_finish (caller->tcp);
  detach_caller (caller);
}

static void
destroy_caller (struct mq_caller *caller)
{
  talloc_steal (caller->router, caller->tcp);
  mq_tcp_destroy (caller->tcp);
  detach_caller (caller);
}

static void
on_closed (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  struct mq_caller *caller = user;
  struct mq_request *request = caller->request;

  (void)tcp;
  caller->request = NULL;
  if (request != NULL)
    mq_request_caller_disconnected (request, end);
  destroy_caller (caller);
}

static void
on_drained (struct mq_tcp *tcp, void *user)
{
  struct mq_caller *caller = user;

  (void)tcp;
  if (caller->request != NULL)
    mq_request_caller_writable (caller->request);
}

static void
refuse_message (struct mq_caller *caller, enum mq_refusal refusal)
{
  struct mq_json_line line;

  caller->closing = true;
  caller->answering = true;
  mq_json_begin (&line, caller->router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_MESSAGE_REFUSED);
  mq_json_number (&line, "reason", refusal);
  mq_json_end (&line);
  mq_caller_refuse (caller->router, caller, refusal, 0);
}

static void
on_head (const struct mq_http_head *head, void *user)
{
  struct mq_caller *caller = user;
  struct mq_route_limits limits = current_limits (caller->router);
  const char *expect = mq_http_head_find (head, "Expect");

  caller->head = head;
  if (caller->dead)
    return;
  if (!head->keep_alive)
    caller->closing = true;
  if (head->has_length && head->length > limits.body_bytes)
    refuse_message (caller, MQ_REFUSE_BODY_TOO_LARGE);
  else if (expect != NULL && strcasecmp (expect, "100-continue") == 0)
    mq_tcp_write (caller->tcp, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void
on_body (const char *data, size_t len, void *user)
{
  struct mq_caller *caller = user;
  struct mq_route_limits limits = current_limits (caller->router);

  if (caller->dead || caller->answering)
    return;
  if (!mq_buffer_append (caller, &caller->body, data, len, limits.body_bytes))
    refuse_message (caller, MQ_REFUSE_BODY_TOO_LARGE);
}

static void
on_end (void *user)
{
  (void)user;
}

static void
begin_request (struct mq_caller *caller)
{
  struct mq_bytes body
      = { (uint8_t *)caller->body.data + caller->body.at, caller->body.len };

  if (body.len == 0)
    body.data = NULL;
  caller->answering = true;
  caller->active_ms = mq_clock_ms ();
  mq_request_begin (caller->router, caller, caller->head, body,
                    caller->arrived_ms);
}

/* Pauses reading while enough pipelined data is buffered.  A disconnect is not
   noticed meanwhile.

   Failure: the buffer overflows, and requests that were read get no response
   when the connection is closed.  */
static void
update_reading (struct mq_caller *caller)
{
  if (!caller->dead)
    mq_tcp_set_reading (caller->tcp,
                        caller->read_ahead.len < READ_AHEAD_BYTES);
}

/* Parses DATA, which may hold several messages; bytes after the current
   message are buffered.  */
static void
parse_data (struct mq_caller *caller, const char *data, size_t len)
{
  while (len > 0 && !caller->dead)
    {
      struct mq_error error = { .type = MQ_ERR_NONE };
      size_t used;

      if (caller->answering)
        {
          if (!caller->closing
              && !mq_buffer_append (caller, &caller->read_ahead, data, len,
                                    READ_AHEAD_MAX_BYTES))
            caller->closing = true;
          return;
        }
      if (!mq_http_reader_in_message (caller->reader))
        {
          caller->arrived_ms = mq_clock_ms ();
          mq_http_reader_set_head_max (
              caller->reader, current_limits (caller->router).header_bytes);
        }
      used = mq_http_reader_feed (caller->reader, data, len, &error);
      if (caller->dead || caller->answering)
        return;
      if (error.type != MQ_ERR_NONE)
        {
          refuse_message (caller, error.type == MQ_ERR_TOO_LARGE
                                      ? MQ_REFUSE_HEAD_TOO_LARGE
                                      : MQ_REFUSE_BAD_REQUEST);
          return;
        }
      data += used;
      len -= used;
      if (mq_http_reader_at_end (caller->reader))
        begin_request (caller);
    }
}

static void
on_data (struct mq_tcp *tcp, const char *data, size_t len, void *user)
{
  struct mq_caller *caller = user;

  (void)tcp;
  caller->active_ms = mq_clock_ms ();
  caller->feeding = true;
  parse_data (caller, data, len);
  update_reading (caller);
  caller->feeding = false;
  free_if_unused (caller);
}

/* Proceeds to the next request after a response, or closes the connection.  */
static void
finish_response (struct mq_caller *caller)
{
  struct mq_buffer ahead = caller->read_ahead;
  bool nested = caller->feeding;

  caller->request = NULL;
  caller->active_ms = mq_clock_ms ();
  if (caller->closing)
    {
      finish_caller (caller);
      return;
    }
  caller->answering = false;
  caller->head = NULL;
  mq_buffer_clear (&caller->body);
  mq_http_reader_next (caller->reader);
  if (ahead.len == 0)
    return;
  memset (&caller->read_ahead, 0, sizeof caller->read_ahead);
  caller->feeding = true;
  parse_data (caller, ahead.data + ahead.at, ahead.len);
  mq_buffer_clear (&ahead);
  update_reading (caller);
  caller->feeding = nested;
  free_if_unused (caller);
}

void
mq_caller_attach_request (struct mq_caller *caller, struct mq_request *request)
{
  caller->request = request;
}

/* Numerator, in fifths, of the share of the idle timeout that is advertised to
   callers.  The rest covers network latency and delays of the event loop.  */
#define ADVERTISED_FIFTHS 4U

/* Advertises an idle timeout shorter than the actual one.

   Failure: a caller sends a request just as the idle connection is closed and
   gets no response.  */
static void
format_keep_alive (struct mq_caller *caller, char *field, size_t room)
{
  uint64_t advertised_s;

  caller->advertised_idle_ms = current_limits (caller->router).idle_ms;
  advertised_s
      = (uint64_t)caller->advertised_idle_ms * ADVERTISED_FIFTHS / 5U / 1000U;
  if (advertised_s > 0)
    snprintf (field, room, "Keep-Alive: timeout=%" PRIu64 "\r\n",
              advertised_s);
}

static void
write_connection_field (struct mq_caller *caller, char *field, size_t room)
{
  if (caller->closing)
    snprintf (field, room, "Connection: close\r\n");
  else
    format_keep_alive (caller, field, room);
}

static void
write_head (struct mq_caller *caller, int status, const char *fields,
            const char *framing, const void *body, size_t len)
{
  struct mq_buffer out = { NULL, 0, 0, 0 };
  char connection[40] = "";
  char *text;

  if (caller->router->stopping)
    caller->closing = true;
  write_connection_field (caller, connection, sizeof connection);
  text
      = talloc_asprintf (caller, "HTTP/1.1 %d %s\r\n%s%s%s\r\n", status,
                         mq_http_reason (status), fields, framing, connection);
  if (text == NULL)
    return;
  /* One write, so that a short response is sent in one segment.  */
  mq_buffer_append (caller, &out, text, strlen (text), SIZE_MAX);
  mq_buffer_append (caller, &out, body, len, SIZE_MAX);
  mq_tcp_write (caller->tcp, out.data + out.at, out.len);
  mq_buffer_clear (&out);
  talloc_free (text);
}

void
mq_caller_respond (struct mq_caller *caller, int status, const char *fields,
                   const void *body, size_t len, bool with_body)
{
  char framing[48] = "";

  caller->request = NULL;
  if (caller->dead)
    return;
  if (with_body || (status != 204 && status != 304))
    snprintf (framing, sizeof framing, "Content-Length: %zu\r\n", len);
  write_head (caller, status, fields, framing, body, with_body ? len : 0);
  finish_response (caller);
}

void
mq_caller_begin_stream (struct mq_caller *caller, int status,
                        const char *fields)
{
  write_head (caller, status, fields, "Transfer-Encoding: chunked\r\n", NULL,
              0);
}

bool
mq_caller_send_chunk (struct mq_caller *caller, const void *data, size_t len)
{
  struct mq_buffer out = { NULL, 0, 0, 0 };
  char size[24];
  bool reads;

  snprintf (size, sizeof size, "%zx\r\n", len);
  mq_buffer_append (caller, &out, size, strlen (size), SIZE_MAX);
  mq_buffer_append (caller, &out, data, len, SIZE_MAX);
  mq_buffer_append (caller, &out, "\r\n", 2, SIZE_MAX);
  reads = mq_tcp_write (caller->tcp, out.data + out.at, out.len);
  mq_buffer_clear (&out);
  return reads;
}

void
mq_caller_end_stream (struct mq_caller *caller)
{
  caller->request = NULL;
  mq_tcp_write (caller->tcp, "0\r\n\r\n", 5);
  finish_response (caller);
}

void
mq_caller_abort (struct mq_caller *caller)
{
  caller->request = NULL;
  finish_caller (caller);
}

static void
add_caller (struct mq_router *router, int fd)
{
  struct mq_caller *caller = talloc_zero (router, struct mq_caller);
  struct mq_tcp_callbacks owner = {
    .data = on_data, .drained = on_drained, .ended = on_closed, .user = caller
  };
  struct mq_http_events events
      = { .head = on_head, .body = on_body, .end = on_end, .user = caller };

  if (caller == NULL)
    {
      mq_tcp_destroy (mq_tcp_accept (router, router->ev, fd, &owner));
      return;
    }
  caller->router = router;
  caller->active_ms = mq_clock_ms ();
  caller->reader = mq_http_reader_create (caller, MQ_HTTP_REQUEST, &events);
  caller->tcp = mq_tcp_accept (caller, router->ev, fd, &owner);
  if (caller->reader == NULL || caller->tcp == NULL)
    {
      talloc_free (caller);
      return;
    }
  caller->next = router->callers;
  caller->link = &router->callers;
  if (caller->next != NULL)
    caller->next->link = &caller->next;
  router->callers = caller;
  router->caller_count++;
}

/* Returns false if no connection is pending.  */
static bool
accept_caller (struct mq_router *router)
{
  int fd
      = accept4 (router->front_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  if (fd >= 0)
    add_caller (router, fd);
  /* An aborted connection may be followed by others.  */
  return fd >= 0 || errno == ECONNABORTED;
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct mq_router *router = data;

  (void)ev;
  (void)event;
  (void)flags;
  for (int i = 0; i < ACCEPT_BATCH && accept_caller (router); i++)
    ;
}

bool
mq_callers_listen (struct mq_router *router, struct mq_error *error)
{
  router->front_fd = mq_listen_open (router->settings->http, error);
  if (router->front_fd < 0)
    return false;
  router->front_event = tevent_add_fd (router->ev, router, router->front_fd,
                                       TEVENT_FD_READ, on_accept, router);
  return router->front_event != NULL;
}

/* Closes an idle connection at once, which resets a request that crosses the
   close.  A half-close is used only while response data is unsent.

   Failure: after a half-close such a request is read and discarded, and its
   caller cannot tell that it did not run.  */
static void
close_idle (struct mq_caller *caller)
{
  if (mq_tcp_has_unsent (caller->tcp))
    finish_caller (caller);
  else
    destroy_caller (caller);
}

/* Logs the idle time of a closed connection and the limit.  */
static void
log_idle_close (struct mq_router *router, uint64_t idle_for_ms,
                uint32_t idle_ms)
{
  struct mq_json_line line;

  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_CALLER_CLOSED);
  mq_json_number (&line, "rested_ms", idle_for_ms);
  mq_json_number (&line, "idle_ms", idle_ms);
  mq_json_end (&line);
}

/* Closes a connection that exceeded the idle timeout; callers that vanished
   would otherwise hold memory and descriptors.  */
static void
check_idle (struct mq_caller *caller, uint32_t idle_ms, uint64_t now)
{
  struct mq_router *router = caller->router;
  uint64_t idle_for_ms = now - caller->active_ms;

  if (idle_ms < caller->advertised_idle_ms)
    idle_ms = caller->advertised_idle_ms;
  if (idle_for_ms <= idle_ms)
    return;
  close_idle (caller);
  log_idle_close (router, idle_for_ms, idle_ms);
}

/* Whether the time limits may be applied: unread data is processed first.

   Failure: after a delay of the event loop, a connection is closed as idle
   although its next request has arrived.  */
static bool
may_time_out (const struct mq_caller *caller)
{
  return !caller->answering && !mq_tcp_has_unread (caller->tcp);
}

static void
check_caller (struct mq_caller *caller, const struct mq_route_limits *limits,
              uint64_t now)
{
  if (!may_time_out (caller))
    return;
  if (mq_http_reader_in_message (caller->reader))
    {
      if (caller->head == NULL && now - caller->arrived_ms > limits->header_ms)
        refuse_message (caller, MQ_REFUSE_SLOW_HEAD);
      else if (now - caller->active_ms > limits->idle_ms)
        refuse_message (caller, MQ_REFUSE_SLOW_HEAD);
    }
  else
    check_idle (caller, limits->idle_ms, now);
}

void
mq_callers_sweep (struct mq_router *router)
{
  struct mq_route_limits limits = current_limits (router);
  uint64_t now = mq_clock_ms ();
  struct mq_caller *next;

  for (struct mq_caller *caller = router->callers; caller != NULL;
       caller = next)
    {
      next = caller->next;
      check_caller (caller, &limits, now);
    }
}

static struct mq_request *
find_pending_request (const struct mq_router *router)
{
  const struct mq_caller *caller = router->callers;

  while (caller != NULL && caller->request == NULL)
    caller = caller->next;
  return caller == NULL ? NULL : caller->request;
}

/* Searches again after each request, since its end may complete others.  */
void
mq_callers_end (struct mq_router *router)
{
  struct mq_request *request;

  while ((request = find_pending_request (router)) != NULL)
    mq_request_end (request);
}

void
mq_callers_log_unanswered (struct mq_router *router)
{
  for (struct mq_caller *caller = router->callers; caller != NULL;
       caller = caller->next)
    if (caller->request != NULL)
      mq_request_log_unanswered (caller->request, "exited");
}

/* Accepts all pending connections before closing the listener.

   Failure: closing the listener resets the pending connections, and requests
   sent on them get no response.  */
static void
close_listener (struct mq_router *router)
{
  while (accept_caller (router))
    ;
  TALLOC_FREE (router->front_event);
  close (router->front_fd);
  router->front_fd = -1;
}

void
mq_callers_stop (struct mq_router *router)
{
  struct mq_caller *next;

  if (router->front_event != NULL)
    {
      close_listener (router);
      return;
    }
  for (struct mq_caller *caller = router->callers; caller != NULL;
       caller = next)
    {
      next = caller->next;
      if (may_time_out (caller) && !mq_http_reader_in_message (caller->reader))
        close_idle (caller);
    }
}
