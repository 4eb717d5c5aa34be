/* router_caller.c - one HTTP connection of a caller.

   A connection serves one request at a time; pipelined requests are buffered
   until the response is sent.  The connection is read during a request, so
   that a disconnect is noticed at once.
   Needs: router_caller.h, router_response.h, memory.h, clock.h.  */

#include "router_caller.h"
#include "core/memory.h"
#include "router_response.h"
#include "net/clock.h"
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

/* Pipelined bytes at which reading pauses, and the limit including one more
   read.  */
#define READ_AHEAD_BYTES ((size_t)64 << 10)
#define READ_AHEAD_MAX_BYTES (2 * READ_AHEAD_BYTES)
/* Heads of responses and lines that come before a buffered one.  */
#define HEADS_MAX_BYTES ((size_t)128 << 10)
/* Limit of unsent bytes: a buffered response behind those at which the next
   message waits.  */
#define UNSENT_MAX_BYTES                                                      \
  (MQ_TCP_HIGH_BYTES + MQ_RESPONSE_MAX_BYTES + HEADS_MAX_BYTES)
/* Size of a body from which it is not copied behind its head.  */
#define LARGE_BODY_BYTES ((size_t)64 << 10)
/* Limits until the first configuration is loaded; see docs/CONTRACTS.md.  */
#define DEFAULT_HEADER_MS 3000U
#define DEFAULT_IDLE_MS 15000U
#define DEFAULT_BODY_BYTES (4U << 20)

static void parse_read_ahead (struct mq_caller *caller);

struct mq_route_limits
caller_limits (const struct mq_router *router)
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
set_counted (struct mq_caller *caller, uint64_t bytes)
{
  struct mq_router *router = caller->router;

  router->buffered_bytes += bytes - caller->counted_bytes;
  caller->counted_bytes = bytes;
}

void
caller_count_bytes (struct mq_caller *caller)
{
  set_counted (caller, caller->body_bytes + caller->answer_bytes
                           + caller->read_ahead.len
                           + mq_tcp_unsent_bytes (caller->tcp));
}

/* Bytes that the other connections buffer.  */
static uint64_t
others_bytes (const struct mq_caller *caller)
{
  return caller->router->buffered_bytes - caller->counted_bytes;
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
  set_counted (caller, 0);
  caller->tcp = NULL;
  caller->dead = true;
  free_if_unused (caller);
}

/**
 * struct ending_connection - counts a finished connection until it is freed
 * with it
 * @bytes: unsent when it was finished
 */
struct ending_connection
{
  struct mq_router *router;
  uint64_t bytes;
};

static int
remove_ending (struct ending_connection *ending_connection)
{
  ending_connection->router->ending_count--;
  ending_connection->router->buffered_bytes -= ending_connection->bytes;
  return 0;
}

/* Counts a finished connection until it has closed.

   Failure: the process exits at a planned stop while response data is still
   unsent to a slow caller.  */
static void
add_ending (struct mq_caller *caller)
{
  struct ending_connection *ending_connection
      = mq_check_alloc (talloc_zero (caller->tcp, struct ending_connection));

  ending_connection->router = caller->router;
  ending_connection->bytes = mq_tcp_unsent_bytes (caller->tcp);
  ending_connection->router->ending_count++;
  ending_connection->router->buffered_bytes += ending_connection->bytes;
  talloc_set_destructor (ending_connection, remove_ending);
}

void
caller_finish (struct mq_caller *caller)
{
  talloc_steal (caller->router, caller->tcp);
  add_ending (caller);
  mq_tcp_finish (caller->tcp);
  detach_caller (caller);
}

void
caller_destroy (struct mq_caller *caller)
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
  caller_destroy (caller);
}

static void
on_drained (struct mq_tcp *tcp, void *user)
{
  struct mq_caller *caller = user;

  (void)tcp;
  if (caller->request != NULL)
    mq_request_caller_writable (caller->request);
  if (!caller->held)
    return;
  caller->held = false;
  parse_read_ahead (caller);
}

void
caller_refuse_message (struct mq_caller *caller, enum mq_refusal refusal)
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

/* Announces BYTES of a body; refuses the message, none of which has run, if
   they may not be buffered.

   Failure: the bodies of many callers exceed the memory of the process, which
   is killed with every request that waits.  */
static bool
reserve_body (struct mq_caller *caller, size_t bytes)
{
  if (bytes <= caller->body_bytes)
    return true;
  if (!mq_bounds_admits_body (caller->router->bytes_max, others_bytes (caller),
                              bytes))
    {
      caller_refuse_message (caller, MQ_REFUSE_NO_MEMORY);
      return false;
    }
  caller->body_bytes = bytes;
  caller_count_bytes (caller);
  return true;
}

static void
on_head (const struct mq_http_head *head, void *user)
{
  struct mq_caller *caller = user;
  struct mq_route_limits limits = caller_limits (caller->router);
  const char *expect = mq_http_head_find (head, "Expect");

  caller->head = head;
  if (caller->dead)
    return;
  if (!head->keep_alive)
    caller->closing = true;
  if (head->has_length && head->length > limits.body_bytes)
    caller_refuse_message (caller, MQ_REFUSE_BODY_TOO_LARGE);
  else if (head->has_length && !reserve_body (caller, (size_t)head->length))
    return;
  else if (expect != NULL && strcasecmp (expect, "100-continue") == 0)
    mq_tcp_write (caller->tcp, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void
on_body (const char *data, size_t len, void *user)
{
  struct mq_caller *caller = user;
  struct mq_route_limits limits = caller_limits (caller->router);

  if (caller->dead || caller->answering)
    return;
  if (caller->body.len + len > limits.body_bytes)
    caller_refuse_message (caller, MQ_REFUSE_BODY_TOO_LARGE);
  else if (reserve_body (caller, caller->body.len + len)
           && !mq_buffer_append (caller, &caller->body, data, len, SIZE_MAX))
    caller_refuse_message (caller, MQ_REFUSE_NO_MEMORY);
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

      if (caller->answering || caller->held)
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
              caller->reader, caller_limits (caller->router).header_bytes);
        }
      used = mq_http_reader_feed (caller->reader, data, len, &error);
      if (caller->dead || caller->answering)
        return;
      if (error.type != MQ_ERR_NONE)
        {
          caller_refuse_message (caller, error.type == MQ_ERR_TOO_LARGE
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
  if (!caller->dead)
    caller_count_bytes (caller);
  caller->feeding = false;
  free_if_unused (caller);
}

static void
parse_read_ahead (struct mq_caller *caller)
{
  struct mq_buffer ahead = caller->read_ahead;
  bool nested = caller->feeding;

  if (ahead.len == 0)
    return;
  memset (&caller->read_ahead, 0, sizeof caller->read_ahead);
  caller->feeding = true;
  parse_data (caller, ahead.data + ahead.at, ahead.len);
  mq_buffer_clear (&ahead);
  update_reading (caller);
  if (!caller->dead)
    caller_count_bytes (caller);
  caller->feeding = nested;
  free_if_unused (caller);
}

/* Proceeds to the next request after a response, or closes the connection.  A
   caller that has not taken its responses is served later.

   Failure: the responses to pipelined requests exceed the limit of unsent
   bytes, and the connection is closed with none of them received.  */
static void
finish_response (struct mq_caller *caller)
{
  caller->request = NULL;
  caller->active_ms = mq_clock_ms ();
  if (caller->closing)
    {
      caller_finish (caller);
      return;
    }
  caller->answering = false;
  caller->head = NULL;
  mq_buffer_clear (&caller->body);
  caller->body_bytes = 0;
  caller->answer_bytes = 0;
  caller_count_bytes (caller);
  mq_http_reader_next (caller->reader);
  caller->held = mq_tcp_unsent_bytes (caller->tcp) > MQ_TCP_HIGH_BYTES;
  if (!caller->held)
    parse_read_ahead (caller);
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

  caller->advertised_idle_ms = caller_limits (caller->router).idle_ms;
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
  text = mq_check_alloc (
      talloc_asprintf (caller, "HTTP/1.1 %d %s\r\n%s%s%s\r\n", status,
                       mq_http_reason (status), fields, framing, connection));
  /* One write, so that a short response is sent in one segment.  */
  mq_buffer_add (caller, &out, text, strlen (text));
  if (len < LARGE_BODY_BYTES)
    mq_buffer_add (caller, &out, body, len);
  mq_tcp_write (caller->tcp, out.data + out.at, out.len);
  if (len >= LARGE_BODY_BYTES)
    mq_tcp_write (caller->tcp, body, len);
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

bool
mq_caller_may_buffer (struct mq_caller *caller, size_t len)
{
  if (!mq_bounds_admits_answer (caller->router->bytes_max,
                                others_bytes (caller), len))
    return false;
  caller->answer_bytes = len;
  caller_count_bytes (caller);
  return true;
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
  mq_buffer_add (caller, &out, size, strlen (size));
  mq_buffer_add (caller, &out, data, len);
  mq_buffer_add (caller, &out, "\r\n", 2);
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
  caller_finish (caller);
}

void
caller_add (struct mq_router *router, int fd)
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
  mq_tcp_set_max_unsent (caller->tcp, UNSENT_MAX_BYTES);
  caller->next = router->callers;
  caller->link = &router->callers;
  if (caller->next != NULL)
    caller->next->link = &caller->next;
  router->callers = caller;
  router->caller_count++;
}
