/* http_conn.c - client connection to an HTTP server, one request at a time.

   Needs: http_conn.h.  */

#include "http_conn.h"
#include "buffer.h"

/* Size of a body from which it is not copied behind its head.  */
#define LARGE_BODY_BYTES ((size_t)64 << 10)

/**
 * struct mq_http_conn - one connection
 * @pending_request: request to be sent once the connection is established
 * @open: the connection is established
 * @used: a request is in progress
 * @sent: at least a part of a request was passed to the kernel
 * @skip: the response being read is interim or belongs to another request
 * @keep_alive: the server keeps the connection open after the response
 * @complete: the response is complete
 * @has_served: at least one response was completed
 * @callback_depth: number of callbacks in progress
 * @destroyed: destroy was called; freed when @callback_depth is 0
 */
struct mq_http_conn
{
  struct mq_tcp *tcp;
  struct mq_http_reader *reader;
  struct mq_http_conn_callbacks events;
  mq_http_conn_closed *on_closed;
  void *closed_user;
  struct mq_buffer pending_request;
  bool open;
  bool used;
  bool sent;
  bool skip;
  bool keep_alive;
  bool complete;
  int callback_depth;
  bool destroyed;
  bool has_served;
};

static void
on_head (const struct mq_http_head *head, void *user)
{
  struct mq_http_conn *conn = user;

  if (conn->destroyed)
    return;
  conn->keep_alive = head->keep_alive && !head->until_close;
  /* 1xx: an interim response; the final one follows.  */
  conn->skip
      = head->status < 200 || !conn->events.head (head, conn->events.user);
}

static void
on_body (const char *data, size_t len, void *user)
{
  struct mq_http_conn *conn = user;

  if (!conn->destroyed && !conn->skip)
    conn->events.body (data, len, conn->events.user);
}

static void
on_end (void *user)
{
  struct mq_http_conn *conn = user;

  conn->complete = true;
}

/* Ends a callback; true if it destroyed the connection.  */
static bool
end_callback (struct mq_http_conn *conn)
{
  conn->callback_depth--;
  if (!conn->destroyed)
    return false;
  if (conn->callback_depth == 0)
    talloc_free (conn);
  return true;
}

static void
fail (struct mq_http_conn *conn, enum mq_http_conn_failure failure)
{
  conn->callback_depth++;
  if (conn->used)
    {
      conn->used = false;
      conn->keep_alive = false;
      conn->events.failed (failure, conn->events.user);
    }
  else
    conn->on_closed (conn, conn->closed_user);
  end_callback (conn);
}

/* Handles the end of a response, expected or skipped.  False if the connection
   was destroyed.  */
static bool
end_message (struct mq_http_conn *conn)
{
  bool skipped = conn->skip;

  conn->complete = false;
  conn->skip = false;
  mq_http_reader_next (conn->reader);
  if (skipped)
    return true;
  conn->used = false;
  conn->has_served = true;
  conn->callback_depth++;
  conn->events.end (conn->events.user);
  return !end_callback (conn);
}

/* Fails on input without a request in progress: the server sent more than its
   response, and the rest could be taken for the response to the next
   request.  */
static void
on_data (struct mq_tcp *tcp, const char *data, size_t len, void *user)
{
  struct mq_http_conn *conn = user;

  (void)tcp;
  while (len > 0)
    {
      struct mq_error error = { .type = MQ_ERR_NONE };
      size_t used;

      if (!conn->used)
        {
          fail (conn, MQ_HTTP_CONN_BAD_RESPONSE);
          return;
        }
      conn->callback_depth++;
      used = mq_http_reader_feed (conn->reader, data, len, &error);
      if (end_callback (conn))
        return;
      if (error.type != MQ_ERR_NONE)
        {
          fail (conn, MQ_HTTP_CONN_BAD_RESPONSE);
          return;
        }
      data += used;
      len -= used;
      if (conn->complete && !end_message (conn))
        return;
    }
}

static void
on_ended (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  struct mq_http_conn *conn = user;
  bool complete = false;

  (void)tcp;
  if (!conn->sent)
    {
      fail (conn, MQ_HTTP_CONN_UNREACHABLE);
      return;
    }
  /* Only an orderly close can end a response without a length.  */
  if (conn->used && end == MQ_TCP_EOF)
    {
      conn->callback_depth++;
      conn->keep_alive = false;
      complete = mq_http_reader_finish (conn->reader) && conn->complete;
      if (end_callback (conn))
        return;
    }
  if (complete && !end_message (conn))
    return;
  fail (conn, MQ_HTTP_CONN_LOST);
}

static void
on_opened (struct mq_tcp *tcp, void *user)
{
  struct mq_http_conn *conn = user;

  conn->open = true;
  if (conn->pending_request.len == 0)
    return;
  conn->sent = true;
  mq_tcp_write (tcp, conn->pending_request.data + conn->pending_request.at,
                conn->pending_request.len);
  mq_buffer_clear (&conn->pending_request);
}

struct mq_http_conn *
mq_http_conn_open (TALLOC_CTX *ctx, struct tevent_context *ev,
                   const char *address, uint32_t ack_timeout_ms,
                   mq_http_conn_closed *on_closed, void *user,
                   struct mq_error *error)
{
  struct mq_http_conn *conn = talloc_zero (ctx, struct mq_http_conn);
  struct mq_tcp_callbacks tcp_callbacks = {
    .opened = on_opened, .data = on_data, .ended = on_ended, .user = conn
  };
  struct mq_http_events events
      = { .head = on_head, .body = on_body, .end = on_end, .user = conn };

  if (conn == NULL)
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, address, NULL);
      return NULL;
    }
  conn->on_closed = on_closed;
  conn->closed_user = user;
  conn->reader = mq_http_reader_create (conn, MQ_HTTP_RESPONSE, &events);
  conn->tcp
      = mq_tcp_open (conn, ev, address, ack_timeout_ms, &tcp_callbacks, error);
  if (conn->tcp == NULL || conn->reader == NULL)
    {
      talloc_free (conn);
      return NULL;
    }
  /* Only one request is sent at a time, of a length that the caller bounds. */
  mq_tcp_set_max_unsent (conn->tcp, SIZE_MAX);
  return conn;
}

void
mq_http_conn_destroy (struct mq_http_conn *conn)
{
  if (conn == NULL || conn->destroyed)
    return;
  conn->destroyed = true;
  /* The TCP connection may be in a callback; it frees itself afterwards.  */
  talloc_steal (NULL, conn->tcp);
  mq_tcp_destroy (conn->tcp);
  conn->tcp = NULL;
  if (conn->callback_depth == 0)
    talloc_free (conn);
}

void
mq_http_conn_send (struct mq_http_conn *conn,
                   const struct mq_http_conn_callbacks *events,
                   const char *head, size_t head_len, const void *body,
                   size_t body_len, bool response_has_no_body)
{
  struct mq_buffer *out = &conn->pending_request;

  conn->events = *events;
  conn->used = true;
  conn->keep_alive = false;
  conn->complete = false;
  conn->skip = false;
  if (response_has_no_body)
    mq_http_reader_no_body (conn->reader);
  /* One buffer, so that head and body go out in one segment.  */
  mq_buffer_add (conn, out, head, head_len);
  if (!conn->open || body_len < LARGE_BODY_BYTES)
    mq_buffer_add (conn, out, body, body_len);
  if (!conn->open)
    return;
  conn->sent = true;
  mq_tcp_write (conn->tcp, out->data + out->at, out->len);
  if (body_len >= LARGE_BODY_BYTES)
    mq_tcp_write (conn->tcp, body, body_len);
  mq_buffer_clear (out);
}

bool
mq_http_conn_has_sent (const struct mq_http_conn *conn)
{
  return conn->sent;
}

bool
mq_http_conn_is_new (const struct mq_http_conn *conn)
{
  return !conn->has_served;
}

/* Checks the socket for unread input or a close by the server: a request sent
   on such a connection would fail with unknown effect, or take stray bytes for
   its response.  A close that is still in transit cannot be detected.  */
bool
mq_http_conn_is_reusable (const struct mq_http_conn *conn)
{
  return conn->keep_alive && !conn->used && !conn->destroyed
         && mq_tcp_is_idle (conn->tcp);
}

void
mq_http_conn_set_reading (struct mq_http_conn *conn, bool on)
{
  mq_tcp_set_reading (conn->tcp, on);
}
