/* router_caller.c - connections of callers: requests in, answers out.

   A connection carries one request at a time; bytes of the next one wait
   until the answer is out.  While an answer is awaited the connection is
   still read, so that a caller who leaves is noticed at once.
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

/* Bytes of further requests that wait on a connection; with so many it is not
   read, and one read more may have come.  */
#define AHEAD_BYTES ((size_t)64 << 10)
#define AHEAD_MOST_BYTES (2 * AHEAD_BYTES)
/* Limits before any configuration is known; as those of docs/CONTRACTS.md.  */
#define FIRST_HEADER_MS 3000U
#define FIRST_IDLE_MS 15000U
#define FIRST_BODY_BYTES (4U << 20)
/* Connections accepted at one wake-up.  */
#define ACCEPT_MAX 16

/**
 * struct mq_caller - one connection
 * @request: under way, NULL: none
 * @head: of the message that is read or answered, NULL: not whole yet
 * @body: of the message that is read
 * @ahead: bytes that came after it
 * @arrived_ms: when the message began
 * @active_ms: last time that anything happened
 * @rest_ms: how long it may rest at least, as its caller was told
 * @answering: a message is whole or refused, its answer is not out
 * @closing: no further request is taken
 * @feeding: bytes are being read: the connection is not destroyed meanwhile
 */
struct mq_caller
{
  struct mq_router *router;
  struct mq_caller *next;
  struct mq_caller **before;
  struct mq_tcp *tcp;
  struct mq_http_reader *reader;
  struct mq_request *request;
  const struct mq_http_head *head;
  struct mq_buffer body;
  struct mq_buffer ahead;
  uint64_t arrived_ms;
  uint64_t active_ms;
  uint32_t rest_ms;
  bool answering;
  bool closing;
  bool feeding;
  bool dead;
};

static void feed (struct mq_caller *caller, const char *data, size_t len);

static struct mq_route_limits
limits_of (const struct mq_router *router)
{
  static const struct mq_route_limits first = { .header_bytes = 0,
                                                .body_bytes = FIRST_BODY_BYTES,
                                                .header_ms = FIRST_HEADER_MS,
                                                .idle_ms = FIRST_IDLE_MS };

  return router->routes == NULL ? first : router->routes->limits;
}

static void
unlink_caller (struct mq_caller *caller)
{
  if (caller->before == NULL)
    return;
  *caller->before = caller->next;
  if (caller->next != NULL)
    caller->next->before = caller->before;
  caller->before = NULL;
  caller->router->caller_count--;
}

static void
free_if_unused (struct mq_caller *caller)
{
  if (caller->dead && !caller->feeding)
    talloc_free (caller);
}

/* Lets go of the connection, which has been closed or closes itself.  */
static void
drop_caller (struct mq_caller *caller)
{
  unlink_caller (caller);
  caller->tcp = NULL;
  caller->dead = true;
  free_if_unused (caller);
}

/**
 * struct ending - a finished connection, below which it lies
 */
struct ending
{
  struct mq_router *router;
};

static int
end_ending (struct ending *ending)
{
  ending->router->ending_count--;
  return 0;
}

/* Failure: a caller is slow to take its answer, and the process ends its
   planned stop once no caller is left: what was not sent is lost, and the
   caller has a part of its answer.  So a finished connection counts until it
   has closed itself.  */
static void
count_ending (struct mq_caller *caller)
{
  struct ending *ending = talloc_zero (caller->tcp, struct ending);

  if (ending == NULL)
    return;
  ending->router = caller->router;
  ending->router->ending_count++;
  talloc_set_destructor (ending, end_ending);
}

static void
finish_caller (struct mq_caller *caller)
{
  talloc_steal (caller->router, caller->tcp);
  count_ending (caller);
  mq_tcp_finish (caller->tcp);
  drop_caller (caller);
}

static void
destroy_caller (struct mq_caller *caller)
{
  talloc_steal (caller->router, caller->tcp);
  mq_tcp_destroy (caller->tcp);
  drop_caller (caller);
}

static void
on_closed (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  struct mq_caller *caller = user;
  struct mq_request *request = caller->request;

  (void)tcp;
  (void)end;
  caller->request = NULL;
  if (request != NULL)
    mq_request_caller_left (request);
  destroy_caller (caller);
}

static void
on_drained (struct mq_tcp *tcp, void *user)
{
  struct mq_caller *caller = user;

  (void)tcp;
  if (caller->request != NULL)
    mq_request_caller_reads (caller->request);
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
  mq_refuse_caller (caller->router, caller, refusal, 0);
}

static void
on_head (const struct mq_http_head *head, void *user)
{
  struct mq_caller *caller = user;
  struct mq_route_limits limits = limits_of (caller->router);
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
  struct mq_route_limits limits = limits_of (caller->router);

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

/* Failure: a caller sends more ahead than is kept, the connection is closed
   after the answer under way, and whole requests that were read get no answer;
   a stream that has begun can't even say so.  So the rest waits in the
   network until there is room.  Such a caller who leaves is noticed only
   then.  */
static void
read_if_room (struct mq_caller *caller)
{
  if (!caller->dead)
    mq_tcp_set_reading (caller->tcp, caller->ahead.len < AHEAD_BYTES);
}

/* One message's bytes, or those of several; what can't be used yet waits.  */
static void
feed (struct mq_caller *caller, const char *data, size_t len)
{
  while (len > 0 && !caller->dead)
    {
      struct mq_error error = { .type = MQ_ERR_NONE };
      size_t used;

      if (caller->answering)
        {
          if (!caller->closing
              && !mq_buffer_append (caller, &caller->ahead, data, len,
                                    AHEAD_MOST_BYTES))
            caller->closing = true;
          return;
        }
      if (!mq_http_reader_in_message (caller->reader))
        {
          caller->arrived_ms = mq_clock_ms ();
          mq_http_reader_set_head_max (
              caller->reader, limits_of (caller->router).header_bytes);
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
  feed (caller, data, len);
  read_if_room (caller);
  caller->feeding = false;
  free_if_unused (caller);
}

/* The answer is out: on to the next request, or the connection ends.  */
static void
end_answer (struct mq_caller *caller)
{
  struct mq_buffer ahead = caller->ahead;
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
  memset (&caller->ahead, 0, sizeof caller->ahead);
  caller->feeding = true;
  feed (caller, ahead.data + ahead.at, ahead.len);
  mq_buffer_clear (&ahead);
  read_if_room (caller);
  caller->feeding = nested;
  free_if_unused (caller);
}

void
mq_caller_serves (struct mq_caller *caller, struct mq_request *request)
{
  caller->request = request;
}

/* Share of the time to rest that a caller is told, parts of five.  The rest
   covers the way of a request and a host that is held up: three seconds of the
   usual fifteen, where handlers that take long take half a second.  */
#define TOLD_OF_FIVE 4U

/* Failure: a request crosses the close of a connection that rested too long;
   its caller sees a closed connection and no answer.  A caller that is told
   does not use a connection in the time when it may be closed.  */
static void
tell_rest (struct mq_caller *caller, char *field, size_t room)
{
  uint64_t told_s;

  caller->rest_ms = limits_of (caller->router).idle_ms;
  told_s = (uint64_t)caller->rest_ms * TOLD_OF_FIVE / 5U / 1000U;
  if (told_s > 0)
    snprintf (field, room, "Keep-Alive: timeout=%" PRIu64 "\r\n", told_s);
}

static void
write_connection_field (struct mq_caller *caller, char *field, size_t room)
{
  if (caller->closing)
    snprintf (field, room, "Connection: close\r\n");
  else
    tell_rest (caller, field, room);
}

static void
write_head (struct mq_caller *caller, int status, const char *fields,
            const char *framing, const void *body, size_t len)
{
  struct mq_buffer out = { NULL, 0, 0, 0 };
  char connection[40] = "";
  char *text;

  if (caller->router->leaving)
    caller->closing = true;
  write_connection_field (caller, connection, sizeof connection);
  text
      = talloc_asprintf (caller, "HTTP/1.1 %d %s\r\n%s%s%s\r\n", status,
                         mq_http_reason (status), fields, framing, connection);
  if (text == NULL)
    return;
  /* One write, so that a short answer leaves in one segment.  */
  mq_buffer_append (caller, &out, text, strlen (text), SIZE_MAX);
  mq_buffer_append (caller, &out, body, len, SIZE_MAX);
  mq_tcp_write (caller->tcp, out.data + out.at, out.len);
  mq_buffer_clear (&out);
  talloc_free (text);
}

void
mq_caller_answer (struct mq_caller *caller, int status, const char *fields,
                  const void *body, size_t len, bool with_body)
{
  char framing[48] = "";

  caller->request = NULL;
  if (caller->dead)
    return;
  if (with_body || (status != 204 && status != 304))
    snprintf (framing, sizeof framing, "Content-Length: %zu\r\n", len);
  write_head (caller, status, fields, framing, body, with_body ? len : 0);
  end_answer (caller);
}

void
mq_caller_begin (struct mq_caller *caller, int status, const char *fields)
{
  write_head (caller, status, fields, "Transfer-Encoding: chunked\r\n", NULL,
              0);
}

bool
mq_caller_part (struct mq_caller *caller, const void *data, size_t len)
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
mq_caller_end (struct mq_caller *caller)
{
  caller->request = NULL;
  mq_tcp_write (caller->tcp, "0\r\n\r\n", 5);
  end_answer (caller);
}

/* The last chunk is missing, which the other side takes for what it is.  */
void
mq_caller_break (struct mq_caller *caller)
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
  caller->before = &router->callers;
  if (caller->next != NULL)
    caller->next->before = &caller->next;
  router->callers = caller;
  router->caller_count++;
}

/* False when no connection waits to be accepted.  */
static bool
accept_caller (struct mq_router *router)
{
  int fd
      = accept4 (router->front_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  if (fd >= 0)
    add_caller (router, fd);
  /* One that has left again hides those behind it.  */
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
  for (int i = 0; i < ACCEPT_MAX && accept_caller (router); i++)
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

/* Closes a connection on which nothing is under way.

   Failure: closed by half and read on, as after an answer that refuses a
   message, it would take a request that crosses the close and drop it, and
   its caller could not know that it was not read.  Closed outright, it resets
   what crosses.  Only an answer that is not out yet needs the other way.  */
static void
close_rested (struct mq_caller *caller)
{
  if (mq_tcp_has_unsent (caller->tcp))
    finish_caller (caller);
  else
    destroy_caller (caller);
}

/* The caller learns nothing from a close but that it came: the line tells how
   long the connection rested and what was allowed.  */
static void
log_rested (struct mq_router *router, uint64_t rested_ms, uint32_t idle_ms)
{
  struct mq_json_line line;

  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_CALLER_CLOSED);
  mq_json_number (&line, "rested_ms", rested_ms);
  mq_json_number (&line, "idle_ms", idle_ms);
  mq_json_end (&line);
}

/* Connections are closed so that those whose callers are gone without a word
   don't use up memory and descriptors.  */
static void
check_rest (struct mq_caller *caller, uint32_t idle_ms, uint64_t now)
{
  struct mq_router *router = caller->router;
  uint64_t rested_ms = now - caller->active_ms;

  if (idle_ms < caller->rest_ms)
    idle_ms = caller->rest_ms;
  if (rested_ms <= idle_ms)
    return;
  close_rested (caller);
  log_rested (router, rested_ms, idle_ms);
}

/* Failure: a connection is judged by when it was last read, and closed beside
   a request that lies unread; the caller sees a closed connection and no
   answer, and may not repeat what may run once.  What lies there came before
   the close, so it is read first; a caller that sends nothing whole is met
   again by the next look, and by the bounds of a message.  */
static bool
may_judge (const struct mq_caller *caller)
{
  return !caller->answering && !mq_tcp_has_unread (caller->tcp);
}

static void
check_caller (struct mq_caller *caller, const struct mq_route_limits *limits,
              uint64_t now)
{
  if (!may_judge (caller))
    return;
  if (mq_http_reader_in_message (caller->reader))
    {
      if (caller->head == NULL && now - caller->arrived_ms > limits->header_ms)
        refuse_message (caller, MQ_REFUSE_SLOW_HEAD);
      else if (now - caller->active_ms > limits->idle_ms)
        refuse_message (caller, MQ_REFUSE_SLOW_HEAD);
    }
  else
    check_rest (caller, limits->idle_ms, now);
}

void
mq_callers_sweep (struct mq_router *router)
{
  struct mq_route_limits limits = limits_of (router);
  uint64_t now = mq_clock_ms ();
  struct mq_caller *next;

  for (struct mq_caller *caller = router->callers; caller != NULL;
       caller = next)
    {
      next = caller->next;
      check_caller (caller, &limits, now);
    }
}

/* Failure: the kernel has connections that were not accepted yet; closing the
   listening socket resets them, and what their callers have sent gets no
   answer.  So they are accepted first.  */
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
      if (may_judge (caller) && !mq_http_reader_in_message (caller->reader))
        close_rested (caller);
    }
}
