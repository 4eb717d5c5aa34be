/* http_server.c - HTTP server: libmicrohttpd on tevent.

   The daemon runs in external epoll mode: its epoll descriptor is a tevent
   descriptor.  A request that its handler does not answer at once is
   suspended, and resumed by the response.
   Needs: libmicrohttpd, tevent.  */

#include "http_server.h"
#include "core/limits.h"
#include "http_state.h"
#include "listen.h"
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Memory of a connection: request header, its parsed form and response header.
   Holds headers of MQ_HEADERS_MAX_BYTES; larger ones are answered with
   431.  */
#define CONNECTION_BYTES ((size_t)2 * MQ_HEADERS_MAX_BYTES)
/* Parts of it: a parsed header line, cookie or argument, and the header of the
   response.  */
#define FIELD_BYTES ((size_t)64)
#define RESPONSE_HEADER_BYTES ((size_t)1024)
#define DISCONNECT_POLL_MS 1000

static void run_daemon (struct mq_http_server *server);
static void close_listener (struct mq_http_server *server);

static void
run_immediate (struct tevent_context *ev, struct tevent_immediate *im,
               void *data)
{
  (void)ev;
  (void)im;
  run_daemon (data);
}

void
mq_http_server_run_again (struct mq_http_server *server)
{
  tevent_schedule_immediate (server->immediate, server->ev, run_immediate,
                             server);
}

bool
mq_http_server_has_work (const struct mq_http_server *server)
{
  MHD_UNSIGNED_LONG_LONG wait_ms;

  return MHD_get_timeout (server->daemon, &wait_ms) == MHD_YES && wait_ms == 0;
}

static int
connection_fd (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  return info == NULL ? -1 : info->connect_fd;
}

/* At its connection limit libmicrohttpd stops accepting, and checks only at
   the start of a run whether it can accept again.  Requests another run when a
   connection closes, since idle connections would not cause one and new
   callers would wait.  */
static void
connection_changed (void *cls, struct MHD_Connection *connection,
                    void **socket_data,
                    enum MHD_ConnectionNotificationCode code)
{
  struct mq_http_server *server = cls;

  switch (code)
    {
    case MHD_CONNECTION_NOTIFY_STARTED:
      *socket_data
          = mq_http_connection_open (server, connection_fd (connection));
      break;
    case MHD_CONNECTION_NOTIFY_CLOSED:
      mq_http_refusal_send (*socket_data);
      mq_http_connection_closed (*socket_data);
      server->has_room = true;
      break;
    }
}

/* Runs the library once more after it has begun a head: if it has no memory
   for it, it closes the connection in the next run, and no event announces
   that.  */
static void
run_daemon (struct mq_http_server *server)
{
  server->running = true;
  server->heads = 0;
  MHD_run (server->daemon);
  server->running = false;
  if (server->destroy_pending)
    {
      talloc_free (server);
      return;
    }
  if (server->closing && server->listening)
    close_listener (server);
  if (server->has_room || server->heads > 0
      || mq_http_server_has_work (server))
    mq_http_server_run_again (server);
  server->has_room = false;
}

static void
daemon_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
              void *data)
{
  (void)ev;
  (void)fde;
  (void)flags;
  run_daemon (data);
}

void
mq_request_resume (struct mq_http_request *request)
{
  if (!request->suspended)
    return;
  request->suspended = false;
  MHD_resume_connection (request->connection);
  mq_http_server_run_again (request->server);
}

/* Closes the connection of a request that cannot be answered.  A suspended one
   is resumed, and the library is told to close it; otherwise the shutdown
   makes the socket ready with an error.  */
void
mq_request_abort_connection (struct mq_http_request *request)
{
  if (request->broken)
    return;
  request->broken = true;
  TALLOC_FREE (request->watch);
  TALLOC_FREE (request->watch_poll);
  if (request->suspended)
    mq_request_resume (request);
  else
    shutdown (request->fd, SHUT_RDWR);
}

static void schedule_disconnect_poll (struct mq_http_request *request);

static void
on_disconnect_poll (struct tevent_context *ev, struct tevent_timer *timer,
                    struct timeval now, void *data)
{
  struct mq_http_request *request = data;

  (void)ev;
  (void)timer;
  (void)now;
  request->watch_poll = NULL;
  if (mq_http_peer_has_disconnected (request->fd))
    mq_request_abort_connection (request);
  else
    schedule_disconnect_poll (request);
}

static void
schedule_disconnect_poll (struct mq_http_request *request)
{
  struct timeval at
      = tevent_timeval_current_ofs (0, (uint32_t)DISCONNECT_POLL_MS * 1000);

  request->watch_poll = tevent_add_timer (request->server->ev, request, at,
                                          on_disconnect_poll, request);
}

/* Pipelined bytes (the next request) keep the socket readable, so that it is
   polled from then on.  */
static void
on_socket_readable (struct tevent_context *ev, struct tevent_fd *fde,
                    uint16_t flags, void *data)
{
  struct mq_http_request *request = data;

  (void)ev;
  (void)fde;
  (void)flags;
  if (mq_http_peer_has_disconnected (request->fd))
    {
      mq_request_abort_connection (request);
      return;
    }
  TALLOC_FREE (request->watch);
  schedule_disconnect_poll (request);
}

void
mq_request_suspend (struct mq_http_request *request)
{
  MHD_suspend_connection (request->connection);
  request->suspended = true;
  if (request->watch == NULL && request->watch_poll == NULL)
    request->watch
        = tevent_add_fd (request->server->ev, request, request->fd,
                         TEVENT_FD_READ, on_socket_readable, request);
}

static int
request_freed (struct mq_http_request *request)
{
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  return 0;
}

static struct mq_http_connection *
connection_of (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info == NULL ? NULL : info->socket_context;
}

static struct mq_http_request *
request_open (struct mq_http_server *server, struct MHD_Connection *connection,
              const char *method, const char *path)
{
  struct mq_http_request *request
      = talloc_zero (server, struct mq_http_request);
  struct mq_http_connection *place = connection_of (connection);

  if (request == NULL)
    return NULL;
  request->method = talloc_strdup (request, method);
  request->path = talloc_strdup (request, path);
  if (request->method == NULL || request->path == NULL || place == NULL)
    {
      talloc_free (request);
      return NULL;
    }
  request->server = server;
  request->connection = connection;
  request->place = place;
  request->place->request = request;
  request->fd = request->place->fd;
  talloc_set_destructor (request, request_freed);
  if (server->requests != NULL)
    server->requests->previous = request;
  request->next = server->requests;
  server->requests = request;
  server->in_progress++;
  return request;
}

static void
request_unlink (struct mq_http_request *request)
{
  if (request->previous != NULL)
    request->previous->next = request->next;
  else if (request->server->requests == request)
    request->server->requests = request->next;
  if (request->next != NULL)
    request->next->previous = request->previous;
  request->next = NULL;
  request->previous = NULL;
}

void
mq_request_notify_closed (struct mq_http_request *request)
{
  mq_http_closed *closed = request->closed;

  request->closed = NULL;
  request->answered = true;
  if (closed != NULL)
    closed (request, request->closed_data);
}

/* Shuts down the connection of a request that has no complete response, as the
   library does without MHD_USE_TURBO.

   Failure: the caller of a stream that breaks off waits for its end, since the
   library closes the connection only when something happens on it.  */
static void
end_broken_connection (const struct mq_http_request *request,
                       enum MHD_RequestTerminationCode code)
{
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK
      && request->place->refusal == MQ_HTTP_REFUSE_NOTHING)
    shutdown (request->fd, SHUT_WR);
}

/* A user without on_closed does not learn of a disconnect: keeps the request,
   detached from its connection, until it is answered.  */
static void
request_completed (void *cls, struct MHD_Connection *connection, void **con,
                   enum MHD_RequestTerminationCode code)
{
  struct mq_http_request *request = *con;

  (void)cls;
  (void)connection;
  if (request == NULL)
    return;
  end_broken_connection (request, code);
  *con = NULL;
  request_unlink (request);
  request->server->in_progress--;
  request->connection = NULL;
  request->place->request = NULL;
  request->place = NULL;
  request->broken = true;
  request->suspended = false;
  TALLOC_FREE (request->watch);
  TALLOC_FREE (request->watch_poll);
  if (request->closed != NULL || !request->handled)
    mq_request_notify_closed (request);
  if (request->answered)
    talloc_free (request);
}

/* Reads and discards a body over its limit, so that the connection can be kept
   after the response.  One of more than twice the limit is refused at once. */
static enum MHD_Result
body_part (struct mq_http_request *request, const char *data, size_t len)
{
  size_t max = request->server->body_max;

  if (!request->too_large && len <= max - request->body.len)
    return mq_buffer_append (request, &request->body, data, len, max) ? MHD_YES
                                                                      : MHD_NO;
  request->too_large = true;
  request->discarded += request->body.len + len;
  mq_buffer_clear (&request->body);
  if (request->discarded / 2 <= max)
    return MHD_YES;
  mq_http_refusal_set (request->place, MQ_HTTP_REFUSE_TOO_LARGE);
  return MHD_NO;
}

/* True if the announced body will not be read to its end: far over the limit,
   or over it and held back by "Expect: 100-continue".  */
static bool
reject_body (struct mq_http_request *request)
{
  const char *announced = mq_http_header (request, "Content-Length");
  size_t max = request->server->body_max;
  unsigned long long len;

  if (announced == NULL)
    return false;
  len = strtoull (announced, NULL, 10);
  if (len > max)
    request->too_large = true;
  return len / 2 > max
         || (len > max && mq_http_header (request, "Expect") != NULL);
}

static void
respond_too_large (struct mq_http_request *request)
{
  char *text = mq_http_refusal_text (request, MQ_ERR_TOO_LARGE,
                                     request->server->body_max);

  mq_http_respond (request, mq_error_http_status (MQ_ERR_TOO_LARGE),
                   "application/json", text, text == NULL ? 0 : strlen (text));
}

static enum MHD_Result
queue_response (struct mq_http_request *request)
{
  struct MHD_Response *response = request->response;
  enum MHD_Result result;

  request->response = NULL;
  request->queued = true;
  result = MHD_queue_response (request->connection, request->status, response);
  MHD_destroy_response (response);
  return result;
}

/* Queues an available response, closes a connection that cannot be answered,
   and otherwise suspends the request.  */
static enum MHD_Result
respond_or_suspend (struct mq_http_request *request)
{
  if (request->broken || request->server->destroy_pending)
    return MHD_NO;
  if (request->response != NULL)
    return queue_response (request);
  if (!request->queued)
    mq_request_suspend (request);
  return MHD_YES;
}

static enum MHD_Result
request_arrived (struct mq_http_request *request)
{
  request->handled = true;
  mq_http_refusal_set (request->place, MQ_HTTP_REFUSE_NOTHING);
  if (request->too_large)
    respond_too_large (request);
  else
    request->server->handler (request, request->server->data);
  return respond_or_suspend (request);
}

/* Whether the request header leaves memory for that of a response.  Without
   it, the library closes the connection instead of responding.  */
static bool
has_response_room (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  const char *cookie = MHD_lookup_connection_value (
      connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_COOKIE);
  int fields = MHD_get_connection_values (
      connection, MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND,
      NULL, NULL);
  size_t used = (size_t)fields * FIELD_BYTES;

  if (info != NULL)
    used += info->header_size;
  if (cookie != NULL)
    used += strlen (cookie);
  return used + RESPONSE_HEADER_BYTES <= CONNECTION_BYTES;
}

/* Called by libmicrohttpd for the request line, before it parses the arguments
   and the fields.  */
static void *
on_request_line (void *cls, const char *uri, struct MHD_Connection *connection)
{
  struct mq_http_server *server = cls;
  struct mq_http_connection *place = connection_of (connection);

  (void)uri;
  server->heads++;
  if (place != NULL)
    mq_http_refusal_set (place, MQ_HTTP_REFUSE_HEAD);
  return NULL;
}

static enum MHD_Result
begin_request (struct mq_http_server *server,
               struct MHD_Connection *connection, const char *method,
               const char *path, void **con)
{
  struct mq_http_request *request;

  if (server->heads > 0)
    server->heads--;
  if (!has_response_room (connection))
    return MHD_NO;
  request = request_open (server, connection, method, path);
  *con = request;
  if (request == NULL)
    return MHD_NO;
  mq_http_refusal_set (request->place, MQ_HTTP_REFUSE_BODY);
  if (!reject_body (request))
    return MHD_YES;
  mq_http_refusal_set (request->place, MQ_HTTP_REFUSE_TOO_LARGE);
  return MHD_NO;
}

/* Called by libmicrohttpd for the header, each part of the body, the end of
   the body, and each resume until a response is queued.  */
static enum MHD_Result
access_handler (void *cls, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *data,
                size_t *len, void **con)
{
  struct mq_http_server *server = cls;
  struct mq_http_request *request = *con;

  (void)version;
  if (server->destroy_pending)
    return MHD_NO;
  if (request == NULL)
    return begin_request (server, connection, method, url, con);
  if (*len > 0)
    {
      enum MHD_Result result = body_part (request, data, *len);

      *len = 0;
      return result;
    }
  if (request->handled)
    return respond_or_suspend (request);
  return request_arrived (request);
}

/* MHD_USE_TURBO keeps the library from shutting down a connection that it
   closes, so that a refusal can still be sent.  */
static struct MHD_Daemon *
start_daemon (struct mq_http_server *server, int fd)
{
  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_USE_TURBO | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      access_handler, server, MHD_OPTION_LISTEN_SOCKET, (MHD_socket)fd,
      MHD_OPTION_URI_LOG_CALLBACK, on_request_line, server,
      MHD_OPTION_NOTIFY_COMPLETED, request_completed, server,
      MHD_OPTION_NOTIFY_CONNECTION, connection_changed, server,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      CONNECTION_BYTES, MHD_OPTION_CONNECTION_LIMIT, server->connections_max,
      MHD_OPTION_END);
}

/* Ends all requests, notifies their users and stops the daemon.  Inside
   MHD_run the daemon cannot be stopped: the users are notified at once,
   returning -1 keeps the memory, and run_daemon frees the server.  */
static int
server_freed (struct mq_http_server *server)
{
  server->destroy_pending = true;
  while (server->requests != NULL)
    {
      struct mq_http_request *request = server->requests;

      request_unlink (request);
      mq_request_abort_connection (request);
      mq_request_notify_closed (request);
    }
  TALLOC_FREE (server->fde);
  TALLOC_FREE (server->idle_timer);
  TALLOC_FREE (server->immediate);
  if (server->running)
    return -1;
  if (server->daemon != NULL)
    MHD_stop_daemon (server->daemon);
  server->daemon = NULL;
  return 0;
}

static bool
attach_daemon (struct mq_http_server *server)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);

  if (info == NULL)
    return false;
  server->fde = tevent_add_fd (server->ev, server, info->epoll_fd,
                               TEVENT_FD_READ, daemon_ready, server);
  return server->fde != NULL;
}

/* Limits the kernel's buffers, which otherwise grow to megabytes per
   connection: those for sending hide slow readers from the limit on unsent
   bytes, and those for receiving take most of a body before it is refused.
   Accepted sockets inherit the sizes from the listening one.  */
static void
limit_buffers (int fd)
{
  int send_bytes = MQ_SEND_BUFFER_BYTES;
  int receive_bytes = MQ_RECEIVE_BUFFER_BYTES;

  (void)setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &send_bytes, sizeof send_bytes);
  (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                    sizeof receive_bytes);
}

struct mq_http_server *
mq_http_server_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                       const struct mq_http_server_options *options,
                       mq_http_handler *handler, void *data,
                       struct mq_error *error)
{
  struct mq_http_server *server = talloc_zero (ctx, struct mq_http_server);
  int fd = server == NULL ? -1 : mq_listen_open (options->address, error);

  if (fd < 0)
    {
      talloc_free (server);
      return NULL;
    }
  server->ev = ev;
  server->handler = handler;
  server->data = data;
  server->body_max
      = options->body_max == 0 ? MQ_BODY_MAX_BYTES : options->body_max;
  server->stream_buffer_max = options->stream_buffer_max == 0
                                  ? MQ_STREAM_BUFFER_BYTES
                                  : options->stream_buffer_max;
  server->idle_ms = options->idle_ms == 0 ? MQ_HTTP_IDLE_MS : options->idle_ms;
  server->connections_max = options->connections_max == 0
                                ? MQ_CONNECTIONS_MAX
                                : options->connections_max;
  server->listening = true;
  limit_buffers (fd);
  server->port = mq_listen_port (fd);
  server->immediate = tevent_create_immediate (server);
  talloc_set_destructor (server, server_freed);
  server->daemon = start_daemon (server, fd);
  if (server->daemon == NULL)
    close (fd);
  if (server->daemon == NULL || server->immediate == NULL
      || !attach_daemon (server))
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, options->address, NULL);
      talloc_free (server);
      return NULL;
    }
  return server;
}

void
mq_http_server_destroy (struct mq_http_server *server)
{
  talloc_free (server);
}

/* Accepts the connections that wait in the kernel's backlog, up to the limit
   of connections: closing the listening socket would reset them and lose their
   requests.  True if none is left.  */
static bool
accept_backlog (struct mq_http_server *server)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_LISTEN_FD);
  size_t room = server->connections_max - server->connection_count;

  if (info == NULL)
    return true;
  for (size_t taken = 0; taken < room; taken++)
    {
      struct sockaddr_storage from = { 0 };
      socklen_t len = sizeof from;
      int fd = accept4 (info->listen_fd, (struct sockaddr *)&from, &len,
                        SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0 && errno != ECONNABORTED)
        return errno == EAGAIN;
      if (fd >= 0)
        (void)MHD_add_connection (server->daemon, fd, (struct sockaddr *)&from,
                                  len);
    }
  if (room > 0)
    mq_http_server_run_again (server);
  return false;
}

/* Closes the listening socket once its backlog is empty.  The library counts
   accepted connections only in its next run.  */
static void
close_listener (struct mq_http_server *server)
{
  MHD_socket fd;

  if (!accept_backlog (server))
    return;
  server->listening = false;
  fd = MHD_quiesce_daemon (server->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
  mq_http_server_run_again (server);
}

/* Inside MHD_run the daemon's listener cannot be closed; run_daemon closes it
   afterwards.  */
void
mq_http_server_stop_accepting (struct mq_http_server *server)
{
  if (server->closing)
    return;
  server->closing = true;
  if (!server->running)
    close_listener (server);
}

size_t
mq_http_server_in_progress (const struct mq_http_server *server)
{
  return server->in_progress;
}

uint16_t
mq_http_server_port (const struct mq_http_server *server)
{
  return server->port;
}
