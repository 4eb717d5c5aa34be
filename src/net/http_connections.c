/* http_connections.c - the open connections of the HTTP server; closes idle
   ones, and all at a stop.

   libmicrohttpd's own idle limit ends a connection before it reads what has
   arrived on it, so it is not used.
   Needs: http_state.h, timer.h, libmicrohttpd.  */

#include "http_state.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

/* Checks of the connections within the idle timeout.  */
#define IDLE_CHECKS 8U

static void
unlink_connection (struct mq_http_connection *connection)
{
  struct mq_http_server *server = connection->server;

  if (connection->previous != NULL)
    connection->previous->next = connection->next;
  else
    server->connections = connection->next;
  if (connection->next != NULL)
    connection->next->previous = connection->previous;
  server->connection_count--;
}

bool
mq_http_connection_has_unread (const struct mq_http_connection *connection)
{
  struct pollfd poll_fd = { .fd = connection->fd, .events = POLLIN };

  return poll (&poll_fd, 1, 0) != 0;
}

/* libmicrohttpd does not watch the socket of a suspended request, whose work
   would continue after the caller has left.  */
bool
mq_http_peer_has_disconnected (int fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLRDHUP };

  return poll (&poll_fd, 1, 0) == 1
         && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Whether the caller waits for the handler.  */
static bool
is_waiting (const struct mq_http_connection *connection)
{
  const struct mq_http_request *request = connection->request;

  return request != NULL
         && (request->suspended || (request->handled && !request->queued));
}

/* Time since the kernel last sent or received data on the connection.  */
static uint32_t
quiet_ms (const struct mq_http_connection *connection)
{
  struct tcp_info info = { 0 };
  socklen_t len = sizeof info;

  if (getsockopt (connection->fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
    return 0;
  return info.tcpi_last_data_recv < info.tcpi_last_data_sent
             ? info.tcpi_last_data_recv
             : info.tcpi_last_data_sent;
}

/* Both directions are shut down, so that a request that crosses the close is
   reset and not read; the library then closes the connection.  */
static void
close_connection (const struct mq_http_connection *connection)
{
  shutdown (connection->fd, SHUT_RDWR);
}

/* The library reads what arrives before the next check, unless it has no
   memory for it, or a response that the caller does not read.  */
static bool
is_idle (struct mq_http_connection *connection)
{
  bool was_unread = connection->unread;

  connection->unread = false;
  if (is_waiting (connection)
      || quiet_ms (connection) < connection->server->idle_ms)
    return false;
  connection->unread = mq_http_connection_has_unread (connection);
  return !connection->unread || was_unread;
}

static void watch_connections (struct mq_http_server *server);

static void
check_connections (void *data)
{
  struct mq_http_server *server = data;
  struct mq_http_connection *connection = server->connections;

  server->idle_timer = NULL;
  for (; connection != NULL; connection = connection->next)
    if (is_idle (connection))
      close_connection (connection);
  watch_connections (server);
}

static void
watch_connections (struct mq_http_server *server)
{
  if (server->connections != NULL && server->idle_timer == NULL)
    server->idle_timer
        = mq_timer_add (server, server->ev, server->idle_ms / IDLE_CHECKS,
                        check_connections, server);
}

struct mq_http_connection *
mq_http_connection_open (struct mq_http_server *server, int fd)
{
  struct mq_http_connection *connection
      = talloc_zero (server, struct mq_http_connection);

  if (connection == NULL)
    return NULL;
  connection->server = server;
  connection->fd = fd;
  connection->next = server->connections;
  if (server->connections != NULL)
    server->connections->previous = connection;
  server->connections = connection;
  server->connection_count++;
  if (!server->destroy_pending)
    watch_connections (server);
  return connection;
}

void
mq_http_connection_closed (struct mq_http_connection *connection)
{
  if (connection == NULL)
    return;
  unlink_connection (connection);
  talloc_free (connection);
}

bool
mq_http_server_close_idle (struct mq_http_server *server)
{
  const struct mq_http_connection *connection = server->connections;

  /* A request that the library has read may not be known yet.  */
  if (mq_http_server_has_work (server))
    return false;
  for (; connection != NULL; connection = connection->next)
    if (connection->request == NULL
        && !mq_http_connection_has_unread (connection))
      close_connection (connection);
  if (server->listening)
    mq_http_server_run_again (server);
  return server->connections == NULL && server->refusing == 0
         && !server->listening;
}
