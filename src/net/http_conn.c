/* http_lane.c - a connection to an HTTP server, one request at a time.

   Needs: http_lane.h.  */

#include "http_conn.h"
#include "buffer.h"

/**
 * struct mq_http_conn - one connection
 * @waiting: request that is sent once the connection is there
 * @open: the connection is there
 * @used: a request is under way
 * @sent: some of it was given to the network
 * @skip: the answer that comes in belongs to another request
 * @keep: the server keeps the connection after the answer
 * @whole: the answer has ended
 * @has_served: an answer has ended on it
 * @busy: callbacks under way
 * @dead: to be freed once none is
 */
struct mq_http_conn
{
  struct mq_tcp *tcp;
  struct mq_http_reader *reader;
  struct mq_http_conn_callbacks events;
  mq_http_conn_closed *gone;
  void *gone_user;
  struct mq_buffer waiting;
  bool open;
  bool used;
  bool sent;
  bool skip;
  bool keep;
  bool whole;
  int busy;
  bool dead;
  bool has_served;
};

static void
on_head (const struct mq_http_head *head, void *user)
{
  struct mq_http_conn *lane = user;

  if (lane->dead)
    return;
  lane->keep = head->keep_alive && !head->until_close;
  /* 1xx: the answer itself comes later.  */
  lane->skip
      = head->status < 200 || !lane->events.head (head, lane->events.user);
}

static void
on_body (const char *data, size_t len, void *user)
{
  struct mq_http_conn *lane = user;

  if (!lane->dead && !lane->skip)
    lane->events.body (data, len, lane->events.user);
}

static void
on_end (void *user)
{
  struct mq_http_conn *lane = user;

  lane->whole = true;
}

/* True when the lane is gone.  */
static bool
leave (struct mq_http_conn *lane)
{
  lane->busy--;
  if (!lane->dead)
    return false;
  if (lane->busy == 0)
    talloc_free (lane);
  return true;
}

static void
fail (struct mq_http_conn *lane, enum mq_http_conn_failure failure)
{
  lane->busy++;
  if (lane->used)
    {
      lane->used = false;
      lane->keep = false;
      lane->events.failed (failure, lane->events.user);
    }
  else
    lane->gone (lane, lane->gone_user);
  leave (lane);
}

/* The message that was read is whole: ours, or one to be skipped.  False when
   the lane is gone.  */
static bool
end_message (struct mq_http_conn *lane)
{
  bool skipped = lane->skip;

  lane->whole = false;
  lane->skip = false;
  mq_http_reader_next (lane->reader);
  if (skipped)
    return true;
  lane->used = false;
  lane->has_served = true;
  lane->busy++;
  lane->events.end (lane->events.user);
  return !leave (lane);
}

/* Bytes that come while no request is under way belong to nobody: the server
   sent more than its answer, and what comes next could be taken for the
   answer to the next request.  */
static void
on_data (struct mq_tcp *tcp, const char *data, size_t len, void *user)
{
  struct mq_http_conn *lane = user;

  (void)tcp;
  while (len > 0)
    {
      struct mq_error error = { .type = MQ_ERR_NONE };
      size_t used;

      if (!lane->used)
        {
          fail (lane, MQ_HTTP_CONN_BAD_RESPONSE);
          return;
        }
      lane->busy++;
      used = mq_http_reader_feed (lane->reader, data, len, &error);
      if (leave (lane))
        return;
      if (error.type != MQ_ERR_NONE)
        {
          fail (lane, MQ_HTTP_CONN_BAD_RESPONSE);
          return;
        }
      data += used;
      len -= used;
      if (lane->whole && !end_message (lane))
        return;
    }
}

static void
on_ended (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  struct mq_http_conn *lane = user;
  bool whole = false;

  (void)tcp;
  if (!lane->sent)
    {
      fail (lane, MQ_HTTP_CONN_UNREACHABLE);
      return;
    }
  /* Only an orderly end can be the end of an answer without a length.  */
  if (lane->used && end == MQ_TCP_EOF)
    {
      lane->busy++;
      lane->keep = false;
      whole = mq_http_reader_finish (lane->reader) && lane->whole;
      if (leave (lane))
        return;
    }
  if (whole && !end_message (lane))
    return;
  fail (lane, MQ_HTTP_CONN_LOST);
}

static void
on_opened (struct mq_tcp *tcp, void *user)
{
  struct mq_http_conn *lane = user;

  lane->open = true;
  if (lane->waiting.len == 0)
    return;
  lane->sent = true;
  mq_tcp_write (tcp, lane->waiting.data + lane->waiting.at, lane->waiting.len);
  mq_buffer_clear (&lane->waiting);
}

struct mq_http_conn *
mq_http_conn_open (TALLOC_CTX *ctx, struct tevent_context *ev,
                   const char *address, uint32_t silent_ms,
                   mq_http_conn_closed *gone, void *user,
                   struct mq_error *error)
{
  struct mq_http_conn *lane = talloc_zero (ctx, struct mq_http_conn);
  struct mq_tcp_callbacks owner = {
    .opened = on_opened, .data = on_data, .ended = on_ended, .user = lane
  };
  struct mq_http_events events
      = { .head = on_head, .body = on_body, .end = on_end, .user = lane };

  if (lane == NULL)
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, address, NULL);
      return NULL;
    }
  lane->gone = gone;
  lane->gone_user = user;
  lane->reader = mq_http_reader_create (lane, MQ_HTTP_ANSWER, &events);
  lane->tcp = mq_tcp_open (lane, ev, address, silent_ms, &owner, error);
  if (lane->tcp == NULL || lane->reader == NULL)
    {
      talloc_free (lane);
      return NULL;
    }
  return lane;
}

void
mq_http_conn_destroy (struct mq_http_conn *lane)
{
  if (lane == NULL || lane->dead)
    return;
  lane->dead = true;
  /* The connection may be in a callback of its own: it frees itself.  */
  talloc_steal (NULL, lane->tcp);
  mq_tcp_destroy (lane->tcp);
  lane->tcp = NULL;
  if (lane->busy == 0)
    talloc_free (lane);
}

void
mq_http_conn_send (struct mq_http_conn *lane,
                   const struct mq_http_conn_callbacks *events,
                   const char *head, size_t head_len, const void *body,
                   size_t body_len, bool answer_has_no_body)
{
  struct mq_buffer *out = &lane->waiting;

  lane->events = *events;
  lane->used = true;
  lane->keep = false;
  lane->whole = false;
  lane->skip = false;
  if (answer_has_no_body)
    mq_http_reader_no_body (lane->reader);
  /* One buffer, so that head and body leave in one segment.  */
  mq_buffer_append (lane, out, head, head_len, SIZE_MAX);
  mq_buffer_append (lane, out, body, body_len, SIZE_MAX);
  if (!lane->open)
    return;
  lane->sent = true;
  mq_tcp_write (lane->tcp, out->data + out->at, out->len);
  mq_buffer_clear (out);
}

bool
mq_http_conn_has_sent (const struct mq_http_conn *lane)
{
  return lane->sent;
}

bool
mq_http_conn_is_new (const struct mq_http_conn *lane)
{
  return !lane->has_served;
}

/* Failure: the server ends a kept connection, and that lies unread while this
   host works off what came before.  The next request goes out on it, fails,
   and counts as one that may have run; stray bytes are taken for its answer.
   The socket is asked for both; what is left is an end that crosses the
   request on its way.  */
bool
mq_http_conn_is_reusable (const struct mq_http_conn *lane)
{
  return lane->keep && !lane->used && !lane->dead
         && mq_tcp_is_idle (lane->tcp);
}

void
mq_http_conn_set_reading (struct mq_http_conn *lane, bool on)
{
  mq_tcp_set_reading (lane->tcp, on);
}
