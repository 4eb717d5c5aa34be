/* http_request.c - accessors of a request, and its responses.

   Needs: http_state.h, buffer.h, libmicrohttpd.  */

#include "core/limits.h"
#include "http_state.h"
#include <poll.h>
#include <string.h>

#define STREAM_BLOCK_BYTES ((size_t)16384)

static void
add_headers (struct mq_http_request *request, const char *content_type)
{
  struct MHD_Response *response = request->response;

  if (content_type != NULL)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                             content_type);
  for (struct mq_http_header_line *h = request->headers; h != NULL;
       h = h->next)
    MHD_add_response_header (response, h->name, h->value);
  /* The next request of the caller may lie unread.  */
  if (request->server->closing
      && !mq_http_connection_has_unread (request->place))
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
}

/* False if the caller has left or the request was already answered.  */
static bool
can_respond (struct mq_http_request *request)
{
  return !request->broken && !request->answered && !request->streaming;
}

/* Marks REQUEST as answered; frees it if it outlived its connection.  */
static void
finish_user_request (struct mq_http_request *request)
{
  request->answered = true;
  if (request->connection == NULL && request->closed == NULL
      && !request->server->destroy_pending)
    talloc_free (request);
}

void
mq_http_respond (struct mq_http_request *request, int status,
                 const char *content_type, const void *body, size_t len)
{
  if (!can_respond (request))
    {
      finish_user_request (request);
      return;
    }
  request->response = MHD_create_response_from_buffer (
      len, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
  request->answered = true;
  if (request->response == NULL)
    {
      mq_request_abort_connection (request);
      return;
    }
  request->status = (unsigned int)status;
  add_headers (request, content_type);
  mq_request_resume (request);
}

/* The buffer of a stream is freed when the reader has caught up, so that idle
   streams hold no memory.  */

/* Callback of libmicrohttpd: copies the next bytes of the stream.  */
static ssize_t
stream_read (void *cls, uint64_t position, char *to, size_t max)
{
  struct mq_http_request *request = cls;

  (void)position;
  if (request->broken || request->server->destroy_pending)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (request->unsent.len > 0)
    return (ssize_t)mq_buffer_take (&request->unsent, to, max);
  if (request->answered)
    return MHD_CONTENT_READER_END_OF_STREAM;
  mq_request_suspend (request);
  return 0;
}

void
mq_http_stream_begin (struct mq_http_request *request, int status,
                      const char *content_type)
{
  if (!can_respond (request))
    return;
  request->response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, stream_read, request, NULL);
  if (request->response == NULL)
    {
      mq_request_abort_connection (request);
      return;
    }
  request->streaming = true;
  request->status = (unsigned int)status;
  add_headers (request, content_type);
  mq_request_resume (request);
}

static bool
takes_more (const struct mq_http_request *request)
{
  struct pollfd poll_fd = { .fd = request->fd, .events = POLLOUT };

  return poll (&poll_fd, 1, 0) == 1 && (poll_fd.revents & POLLOUT) != 0;
}

/* Limit on the unsent bytes.  While the caller reads, they wait only for the
   library, and one event more is let in.  */
static size_t
unsent_max (const struct mq_http_request *request)
{
  size_t max = request->server->stream_buffer_max;

  if (request->unsent.len == 0 || takes_more (request))
    max += MQ_FRAME_MAX_BYTES;
  return max;
}

bool
mq_http_stream_write (struct mq_http_request *request, const void *data,
                      size_t len)
{
  if (request->broken || request->answered || !request->streaming)
    return false;
  if (len == 0)
    return true;
  if (!mq_buffer_append (request, &request->unsent, data, len,
                         unsent_max (request)))
    {
      mq_request_abort_connection (request);
      return false;
    }
  mq_request_resume (request);
  return true;
}

void
mq_http_stream_end (struct mq_http_request *request)
{
  if (!request->broken)
    {
      request->answered = true;
      mq_request_resume (request);
      return;
    }
  finish_user_request (request);
}

void
mq_http_abort (struct mq_http_request *request)
{
  mq_request_abort_connection (request);
  finish_user_request (request);
}

const char *
mq_http_method (const struct mq_http_request *request)
{
  return request->method;
}

const char *
mq_http_path (const struct mq_http_request *request)
{
  return request->path;
}

const char *
mq_http_header (struct mq_http_request *request, const char *name)
{
  if (request->connection == NULL)
    return NULL;
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

const char *
mq_http_query (struct mq_http_request *request, const char *name)
{
  if (request->connection == NULL)
    return NULL;
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

const char *
mq_http_body (const struct mq_http_request *request, size_t *len)
{
  if (len != NULL)
    *len = request->body.len;
  return mq_buffer_text (&request->body);
}

static void
notify_closed_later (struct tevent_context *ev, struct tevent_immediate *im,
                     void *data)
{
  struct mq_http_request *request = data;

  (void)ev;
  (void)im;
  mq_request_notify_closed (request);
  talloc_free (request);
}

void
mq_http_on_closed (struct mq_http_request *request, mq_http_closed *closed,
                   void *data)
{
  request->closed = closed;
  request->closed_data = data;
  if (request->connection == NULL && closed != NULL)
    tevent_schedule_immediate (tevent_create_immediate (request),
                               request->server->ev, notify_closed_later,
                               request);
}

void
mq_http_set_header (struct mq_http_request *request, const char *name,
                    const char *value)
{
  struct mq_http_header_line *header
      = talloc (request, struct mq_http_header_line);

  if (header == NULL)
    return;
  header->name = talloc_strdup (header, name);
  header->value = talloc_strdup (header, value);
  header->next = request->headers;
  request->headers = header;
}
