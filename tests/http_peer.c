/* http_peer.c - raw endpoints of HTTP connections.

   Needs: sockets, listen.h.  */

#include "http_peer.h"
#include "net/listen.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_BYTES 65536
/* Small, so that a reader that stops soon blocks the sender.  */
#define RECEIVE_BYTES 4096

struct peer_connection
{
  struct http_peer *peer;
  int fd;
  int number;
  int answered;
  char request[REQUEST_BYTES];
  size_t len;
};

static int
connection_freed (struct peer_connection *connection)
{
  if (connection->fd >= 0)
    close (connection->fd);
  return 0;
}

/* Length of the first complete request, 0 if it is incomplete.  */
static size_t
request_len (const char *text, size_t len)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strcasestr (text, "content-length:");
  size_t total;

  if (end == NULL)
    return 0;
  total = (size_t)(end - text) + 4;
  if (length != NULL && length < end)
    total += strtoul (length + strlen ("content-length:"), NULL, 10);
  return len >= total ? total : 0;
}

/* False if the connection is to be closed.  */
static bool
take_step (struct peer_connection *connection, enum peer_step step)
{
  static const char long_head[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n";
  static const char block[65536];
  static const char *const texts[] = {
    [PEER_ANSWER] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    [PEER_BUSY] = "HTTP/1.1 429 Busy\r\nRetry-After: 2\r\n"
                  "Content-Length: 0\r\n\r\n",
    [PEER_PART] = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
    [PEER_CHUNK] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\npart\r\n",
    [PEER_LONG] = long_head,
    [PEER_GARBAGE] = "gibberish\r\n\r\n",
  };
  size_t kinds = sizeof texts / sizeof texts[0];

  if (step < kinds && texts[step] != NULL)
    raw_send (connection->fd, texts[step], strlen (texts[step]));
  if (step == PEER_LONG)
    raw_send (connection->fd, block, sizeof block);
  if (step == PEER_RESET)
    {
      raw_close (connection->fd, true);
      connection->fd = -1;
    }
  return step == PEER_ANSWER || step == PEER_BUSY || step == PEER_SILENT
         || step == PEER_LONG;
}

static void
connection_ready (struct tevent_context *ev, struct tevent_fd *fde,
                  uint16_t flags, void *data)
{
  struct peer_connection *connection = data;
  struct http_peer *peer = connection->peer;
  ssize_t got = recv (connection->fd, connection->request + connection->len,
                      REQUEST_BYTES - 1 - connection->len, 0);
  size_t whole;
  enum peer_step step;

  (void)ev;
  (void)fde;
  (void)flags;
  if (got <= 0)
    {
      talloc_free (connection);
      return;
    }
  connection->len += (size_t)got;
  connection->request[connection->len] = '\0';
  whole = request_len (connection->request, connection->len);
  if (whole == 0)
    return;
  peer->requests++;
  connection->len -= whole;
  step = connection->number < peer->first_count
                 && connection->answered < PEER_STEPS
             ? peer->first[connection->answered]
             : peer->rest;
  connection->answered++;
  if (!take_step (connection, step))
    talloc_free (connection);
}

static void
peer_accept (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
             void *data)
{
  struct http_peer *peer = data;
  struct peer_connection *connection;
  int fd = accept4 (peer->fd, NULL, NULL, SOCK_CLOEXEC);

  (void)fde;
  (void)flags;
  if (fd < 0)
    return;
  connection = talloc_zero (peer, struct peer_connection);
  connection->peer = peer;
  connection->fd = fd;
  connection->number = peer->connections++;
  talloc_set_destructor (connection, connection_freed);
  tevent_add_fd (ev, connection, fd, TEVENT_FD_READ, connection_ready,
                 connection);
}

struct http_peer *
http_peer_create (struct tevent_context *ev)
{
  struct http_peer *peer = talloc_zero (ev, struct http_peer);

  peer->fd = mq_listen_open ("127.0.0.1:0", NULL);
  peer->port = mq_listen_port (peer->fd);
  tevent_add_fd (ev, peer, peer->fd, TEVENT_FD_READ, peer_accept, peer);
  return peer;
}

uint16_t
refusing_port (void)
{
  int fd = mq_listen_open ("127.0.0.1:0", NULL);
  uint16_t port = mq_listen_port (fd);

  close (fd);
  return port;
}

static int
connect_to (uint16_t port, int flags)
{
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | flags, 0);
  int bytes = RECEIVE_BYTES;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  if (connect (fd, (struct sockaddr *)&at, sizeof at) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  return fd;
}

uint16_t
hanging_port (int *fd)
{
  uint16_t port;

  *fd = mq_listen_open ("127.0.0.1:0", NULL);
  port = mq_listen_port (*fd);
  listen (*fd, 0);
  for (int i = 0; i < 4; i++)
    connect_to (port, SOCK_NONBLOCK);
  return port;
}

int
raw_open (uint16_t port)
{
  return connect_to (port, 0);
}

size_t
raw_send (int fd, const char *data, size_t len)
{
  ssize_t sent = send (fd, data, len, MSG_DONTWAIT | MSG_NOSIGNAL);

  return sent < 0 ? 0 : (size_t)sent;
}

bool
raw_read (int fd, char *text, size_t capacity)
{
  size_t len = strlen (text);
  ssize_t got = recv (fd, text + len, capacity - 1 - len, MSG_DONTWAIT);

  if (got > 0)
    text[len + (size_t)got] = '\0';
  return got == 0 || (got < 0 && errno != EAGAIN);
}

void
raw_close (int fd, bool reset)
{
  struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

  if (reset)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close (fd);
}
