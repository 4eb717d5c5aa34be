/* listen.c - sockets that listen at or connect to "IP:PORT".

   Needs: listen.h, memory.h, timer.h, sockets, getaddrinfo for numeric
   addresses.  */

#include "listen.h"
#include "core/memory.h"
#include "timer.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netdb.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define IP_BYTES 64
/* Time for which connections wait in the queue when none can be accepted.  */
#define PAUSE_MS 20U

union any_address
{
  struct sockaddr any;
  struct sockaddr_in v4;
  struct sockaddr_in6 v6;
};

static struct addrinfo *
resolve (const char *address)
{
  struct addrinfo hints = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
                            .ai_socktype = SOCK_STREAM };
  struct addrinfo *found = NULL;
  const char *colon = strrchr (address, ':');
  char ip[IP_BYTES];
  size_t len;

  if (colon == NULL)
    return NULL;
  len = (size_t)(colon - address);
  if (len >= 2 && address[0] == '[' && address[len - 1] == ']')
    {
      address++;
      len -= 2;
    }
  if (len == 0 || len >= sizeof ip)
    return NULL;
  memcpy (ip, address, len);
  ip[len] = '\0';
  return getaddrinfo (ip, colon + 1, &hints, &found) == 0 ? found : NULL;
}

bool
mq_address_is_valid (const char *address)
{
  struct addrinfo *found = resolve (address);

  if (found != NULL)
    freeaddrinfo (found);
  return found != NULL;
}

static bool
bind_and_listen (int fd, const struct addrinfo *at)
{
  int on = 1;

  return setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
         && bind (fd, at->ai_addr, at->ai_addrlen) == 0
         && listen (fd, SOMAXCONN) == 0;
}

static bool
connect_to (int fd, const struct addrinfo *at)
{
  return connect (fd, at->ai_addr, at->ai_addrlen) == 0
         || errno == EINPROGRESS;
}

/* Socket on which USE succeeded; -1 with errno.  */
static int
open_socket (const struct addrinfo *at,
             bool (*use) (int fd, const struct addrinfo *at))
{
  int number;
  int fd
      = socket (at->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0 || use (fd, at))
    return fd;
  number = errno;
  close (fd);
  errno = number;
  return -1;
}

static int
open_at (const char *address, bool (*use) (int fd, const struct addrinfo *at),
         struct mq_error *error)
{
  struct addrinfo *at = resolve (address);
  int number;
  int fd;

  if (at == NULL)
    {
      mq_error_set (error, MQ_ERR_TEXT_BAD_VALUE, address, "IP:PORT");
      return -1;
    }
  fd = open_socket (at, use);
  number = errno;
  freeaddrinfo (at);
  if (fd >= 0)
    return fd;
  mq_error_set (error, MQ_ERR_IO, address, NULL);
  if (error != NULL)
    error->number = number;
  return -1;
}

int
mq_listen_open (const char *address, struct mq_error *error)
{
  return open_at (address, bind_and_listen, error);
}

int
mq_connect_begin (const char *address, struct mq_error *error)
{
  return open_at (address, connect_to, error);
}

uint16_t
mq_listen_port (int fd)
{
  union any_address at = { .v6 = { 0 } };
  socklen_t len = sizeof at;

  if (getsockname (fd, &at.any, &len) != 0)
    return 0;
  return ntohs (at.any.sa_family == AF_INET6 ? at.v6.sin6_port
                                             : at.v4.sin_port);
}

bool
mq_socket_shortage (int64_t number)
{
  switch (number)
    {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
      return true;
    default:
      return false;
    }
}

static void
end_pause (void *data)
{
  struct tevent_fd *event = data;

  tevent_fd_set_flags (event, TEVENT_FD_READ);
}

void
mq_listen_pause (struct tevent_context *ev, struct tevent_fd *event)
{
  tevent_fd_set_flags (event, 0);
  mq_check_alloc (mq_timer_add (event, ev, PAUSE_MS, end_pause, event));
}
