/* http_refusal.c - refuses the requests that the HTTP library ends without a
   response.

   libmicrohttpd closes a connection when it has no memory for the parsed
   fields of a head, and when a body is given up.  It reports the close while
   the socket is open: the response is sent then, on a duplicate of the
   descriptor, and input is discarded until the caller has read it, since a
   close with unread input resets the connection and the response is lost.
   Needs: http_state.h, tcp.h, limits.h, jansson.  */

#include "core/limits.h"
#include "http_state.h"
#include "tcp.h"
#include <fcntl.h>
#include <jansson.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Further connections are closed at once, and their callers may not get the
   refusal.  */
#define REFUSING_MAX 64U

/**
 * struct refusing - counts a closed connection until its caller has read the
 * refusal
 */
struct refusing
{
  struct mq_http_server *server;
};

/* Bytes of responses passed to the kernel on socket FD.  */
static uint64_t
written_bytes (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t len = sizeof info;

  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
    return 0;
  return info.tcpi_bytes_sent - info.tcpi_bytes_retrans
         + info.tcpi_notsent_bytes;
}

void
mq_http_refusal_set (struct mq_http_connection *connection,
                     enum mq_http_refusal refusal)
{
  connection->refusal = refusal;
  if (refusal != MQ_HTTP_REFUSE_NOTHING)
    connection->written = written_bytes (connection->fd);
}

char *
mq_http_refusal_text (TALLOC_CTX *ctx, enum mq_error_type type, uint64_t bound)
{
  json_t *json = json_pack (
      "{s:s, s:s, s:s, s:s, s:I}", "error", mq_error_name (type), "ran",
      mq_ran_name (MQ_RAN_NOT_RUN), "cause", mq_error_cause (type), "remedy",
      mq_error_remedy (type), "bound", (json_int_t)bound);
  char *dumped = json_dumps (json, JSON_COMPACT);
  char *text = dumped == NULL ? NULL : talloc_strdup (ctx, dumped);

  json_decref (json);
  free (dumped);
  return text;
}

/* Whether the caller still waits for a response.  The library answers a
   malformed head or body itself before it closes the connection.  */
static bool
is_due (const struct mq_http_connection *connection)
{
  return connection->refusal != MQ_HTTP_REFUSE_NOTHING
         && !connection->server->destroy_pending
         && written_bytes (connection->fd) == connection->written
         && !mq_http_peer_has_disconnected (connection->fd);
}

static char *
make_response (TALLOC_CTX *ctx, const struct mq_http_connection *connection)
{
  static const struct
  {
    const char *status;
    enum mq_error_type type;
  } refusals[] = {
    [MQ_HTTP_REFUSE_HEAD]
    = { "431 Request Header Fields Too Large", MQ_ERR_TOO_LARGE },
    [MQ_HTTP_REFUSE_BODY] = { "400 Bad Request", MQ_ERR_BAD_REQUEST },
    [MQ_HTTP_REFUSE_TOO_LARGE] = { "413 Content Too Large", MQ_ERR_TOO_LARGE },
  };
  uint64_t bound = connection->refusal == MQ_HTTP_REFUSE_HEAD
                       ? MQ_HEADERS_MAX_BYTES
                       : connection->server->body_max;
  char *body
      = mq_http_refusal_text (ctx, refusals[connection->refusal].type, bound);

  if (body == NULL)
    return NULL;
  return talloc_asprintf (ctx,
                          "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
                          "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                          refusals[connection->refusal].status, strlen (body),
                          body);
}

static int
stop_refusing (struct refusing *refusing)
{
  refusing->server->refusing--;
  return 0;
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
on_ended (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  (void)end;
  (void)user;
  mq_tcp_destroy (tcp);
}

/* Takes over the connection from the library; NULL if that is impossible.  */
static struct mq_tcp *
take_over (struct mq_http_connection *connection)
{
  struct mq_http_server *server = connection->server;
  struct mq_tcp_callbacks callbacks = { .data = on_data, .ended = on_ended };
  struct mq_tcp *tcp = NULL;
  struct refusing *refusing;
  int fd = -1;

  if (server->refusing < REFUSING_MAX)
    fd = fcntl (connection->fd, F_DUPFD_CLOEXEC, 0);
  if (fd >= 0)
    tcp = mq_tcp_accept (server, server->ev, fd, &callbacks);
  if (tcp == NULL)
    return NULL;
  refusing = talloc_zero (tcp, struct refusing);
  if (refusing == NULL)
    return tcp;
  refusing->server = server;
  server->refusing++;
  talloc_set_destructor (refusing, stop_refusing);
  return tcp;
}

static void
send_response (struct mq_http_connection *connection, const char *text)
{
  struct mq_tcp *tcp = take_over (connection);

  if (tcp != NULL)
    {
      mq_tcp_write (tcp, text, strlen (text));
      mq_tcp_finish (tcp);
    }
  else
    (void)send (connection->fd, text, strlen (text),
                MSG_DONTWAIT | MSG_NOSIGNAL);
}

void
mq_http_refusal_send (struct mq_http_connection *connection)
{
  TALLOC_CTX *ctx;
  const char *text;

  if (connection == NULL || !is_due (connection))
    return;
  ctx = talloc_new (connection->server);
  text = make_response (ctx, connection);
  if (text != NULL)
    send_response (connection, text);
  talloc_free (ctx);
}
