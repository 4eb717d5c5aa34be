/* proxy.c - a TCP proxy on the loopback address that injects faults.

   Needs: proxy.h, timer.h, buffer.h.  */

#include "proxy.h"
#include "net/buffer.h"
#include "net/listen.h"
#include "net/timer.h"
#include <stdio.h>
#include <sys/socket.h>

#define DELAY_MS 50U

struct connection;

/* One direction of a connection, with its delayed data.  */
struct direction
{
  struct connection *connection;
  struct mq_tcp *from;
  struct mq_tcp *to;
  struct mq_buffer buffered;
  struct mq_timer *timer;
  bool from_server;
};

struct connection
{
  struct proxy *proxy;
  struct connection *next;
  struct direction directions[2];
  bool blackholed;
  bool closed;
};

struct proxy
{
  struct tevent_context *ev;
  struct tevent_fd *event;
  struct connection *connections;
  enum proxy_mode mode;
  uint16_t port;
  uint16_t target;
  int fd;
};

static void
close_connection (struct connection *connection, bool reset)
{
  if (connection->closed)
    return;
  connection->closed = true;
  for (struct connection **at = &connection->proxy->connections; *at != NULL;
       at = &(*at)->next)
    if (*at == connection)
      {
        *at = connection->next;
        break;
      }
  for (int i = 0; i < 2; i++)
    {
      talloc_steal (connection->proxy, connection->directions[i].from);
      if (reset)
        mq_tcp_abort (connection->directions[i].from);
      else
        mq_tcp_finish (connection->directions[i].from);
    }
  talloc_free (connection);
}

static void
flush_buffered (void *data)
{
  struct direction *direction = data;

  direction->timer = NULL;
  if (direction->connection->blackholed)
    return;
  mq_tcp_write (direction->to,
                direction->buffered.data + direction->buffered.at,
                direction->buffered.len);
  mq_buffer_clear (&direction->buffered);
}

static bool
is_discarding (const struct direction *direction)
{
  enum proxy_mode mode = direction->connection->proxy->mode;

  return direction->connection->blackholed || mode == PROXY_BLACKHOLE
         || (mode == PROXY_DROP_RESPONSES && direction->from_server);
}

static void
on_data (struct mq_tcp *tcp, const char *data, size_t len, void *user)
{
  struct direction *direction = user;

  (void)tcp;
  if (is_discarding (direction))
    {
      /* Discarded data cannot be restored, so the connection stays silent.  */
      direction->connection->blackholed = true;
      return;
    }
  mq_buffer_append (direction->connection, &direction->buffered, data, len,
                    SIZE_MAX);
  if (direction->connection->proxy->mode != PROXY_DELAY
      && direction->timer == NULL)
    flush_buffered (direction);
  else if (direction->timer == NULL)
    direction->timer = mq_timer_add (direction->connection,
                                     direction->connection->proxy->ev,
                                     DELAY_MS, flush_buffered, direction);
}

static void
on_ended (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  struct direction *direction = user;

  (void)tcp;
  if (direction->timer != NULL)
    flush_buffered (direction);
  close_connection (direction->connection, end != MQ_TCP_EOF);
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct proxy *proxy = data;
  int fd = accept4 (proxy->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct mq_tcp_callbacks owner = { .data = on_data, .ended = on_ended };
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct connection *connection;
  char address[32];

  (void)event;
  (void)flags;
  if (fd < 0)
    return;
  connection = talloc_zero (proxy, struct connection);
  connection->proxy = proxy;
  connection->directions[0].connection = connection;
  connection->directions[1].connection = connection;
  connection->directions[1].from_server = true;
  owner.user = &connection->directions[0];
  connection->directions[0].from = mq_tcp_accept (connection, ev, fd, &owner);
  snprintf (address, sizeof address, "127.0.0.1:%u", proxy->target);
  owner.user = &connection->directions[1];
  connection->directions[1].from
      = mq_tcp_open (connection, ev, address, 0, &owner, &error);
  if (connection->directions[0].from == NULL
      || connection->directions[1].from == NULL)
    {
      mq_tcp_abort (connection->directions[0].from);
      return;
    }
  connection->directions[0].to = connection->directions[1].from;
  connection->directions[1].to = connection->directions[0].from;
  connection->next = proxy->connections;
  proxy->connections = connection;
  if (proxy->mode == PROXY_RESET)
    close_connection (connection, true);
}

struct proxy *
proxy_create (TALLOC_CTX *ctx, struct tevent_context *ev, uint16_t port)
{
  struct proxy *proxy = talloc_zero (ctx, struct proxy);

  proxy->ev = ev;
  proxy->target = port;
  proxy->fd = mq_listen_open ("127.0.0.1:0", NULL);
  proxy->port = mq_listen_port (proxy->fd);
  proxy->event
      = tevent_add_fd (ev, proxy, proxy->fd, TEVENT_FD_READ, on_accept, proxy);
  return proxy;
}

uint16_t
proxy_port (const struct proxy *proxy)
{
  return proxy->port;
}

bool
proxy_loses_data (const struct proxy *proxy)
{
  for (const struct connection *connection = proxy->connections;
       connection != NULL; connection = connection->next)
    if (connection->blackholed)
      return true;
  return proxy->mode != PROXY_PASS && proxy->mode != PROXY_DELAY;
}

void
proxy_set (struct proxy *proxy, enum proxy_mode mode)
{
  proxy->mode = mode;
  if (mode == PROXY_BLACKHOLE_OPEN)
    {
      for (struct connection *connection = proxy->connections;
           connection != NULL; connection = connection->next)
        connection->blackholed = true;
      proxy->mode = PROXY_PASS;
    }
  while (mode == PROXY_RESET && proxy->connections != NULL)
    close_connection (proxy->connections, true);
}
