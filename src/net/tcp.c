/* tcp.c - a TCP connection on the event loop.

   Needs: tcp.h, buffer.h, clock.h, memory.h, sockets.  */

#include "tcp.h"
#include "buffer.h"
#include "clock.h"
#include "core/memory.h"
#include "listen.h"
#include "timer.h"
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes per read.  */
#define READ_BYTES ((size_t)16 << 10)
/* Time that a finished connection waits for the peer to close.  */
#define LINGER_MS 1000U
/* Time that a finished connection with unsent bytes waits for the peer to
   accept more.  */
#define UNSENT_TIMEOUT_MS 5000U
/* Timeout of connect.  Shorter than the kernel's first SYN retry after one
   second.  */
#define CONNECT_MS 400U
/* Keepalive probes detect a dead peer on an idle connection.  */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

/**
 * struct mq_tcp - one connection
 * @fd: -1 once closed
 * @opening: connect is in progress
 * @reading: the owner accepts input
 * @finishing: input is discarded
 * @failed: an error is still to be reported from the event loop
 * @full: unsent bytes exceeded MQ_TCP_HIGH_BYTES
 * @callback_depth: number of callbacks in progress
 * @destroyed: destroy was called; freed when @callback_depth is 0
 * @unsent: bytes that the socket did not accept yet
 * @max_unsent: limit of @unsent, bytes
 */
struct mq_tcp
{
  struct tevent_context *ev;
  struct tevent_fd *event;
  struct mq_timer *timer;
  struct tevent_immediate *failure;
  struct mq_tcp_callbacks callbacks;
  struct mq_buffer unsent;
  size_t max_unsent;
  int fd;
  int callback_depth;
  bool opening;
  bool reading;
  bool finishing;
  bool shut;
  bool failed;
  enum mq_tcp_end failed_as;
  bool full;
  bool destroyed;
};

static void on_event (struct tevent_context *ev, struct tevent_fd *event,
                      uint16_t flags, void *data);

static int
close_fd (struct mq_tcp *tcp)
{
  TALLOC_FREE (tcp->event);
  if (tcp->fd >= 0)
    close (tcp->fd);
  tcp->fd = -1;
  return 0;
}

static void
set_options (int fd, uint32_t ack_timeout_ms)
{
  int on = 1;
  int idle = KEEPALIVE_IDLE_S;
  int pause = KEEPALIVE_INTERVAL_S;
  int probes = KEEPALIVE_PROBES;
  unsigned int timeout = ack_timeout_ms;

  /* All options are optional: without them the connection only reacts
     later.  */
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  /* The kernel's timeouts follow the machine's clock.  */
  if (ack_timeout_ms == 0 || mq_clock_is_injected ())
    return;
  (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                    sizeof timeout);
  (void)setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &pause, sizeof pause);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

static void on_timer (void *data);

static struct mq_timer *
start_tcp_timer (struct mq_tcp *tcp, uint32_t ms)
{
  return mq_check_alloc (mq_timer_add (tcp, tcp->ev, ms, on_timer, tcp));
}

static struct mq_tcp *
create_tcp (TALLOC_CTX *ctx, struct tevent_context *ev, int fd,
            const struct mq_tcp_callbacks *callbacks, uint16_t flags)
{
  struct mq_tcp *tcp = talloc_zero (ctx, struct mq_tcp);

  if (tcp == NULL)
    {
      close (fd);
      return NULL;
    }
  tcp->ev = ev;
  tcp->fd = fd;
  tcp->callbacks = *callbacks;
  tcp->reading = true;
  tcp->max_unsent = MQ_TCP_MAX_BYTES;
  talloc_set_destructor (tcp, close_fd);
  tcp->event = tevent_add_fd (ev, tcp, fd, flags, on_event, tcp);
  if (tcp->event == NULL)
    TALLOC_FREE (tcp);
  return tcp;
}

struct mq_tcp *
mq_tcp_accept (TALLOC_CTX *ctx, struct tevent_context *ev, int fd,
               const struct mq_tcp_callbacks *callbacks)
{
  set_options (fd, 0);
  return create_tcp (ctx, ev, fd, callbacks, TEVENT_FD_READ);
}

struct mq_tcp *
mq_tcp_open (TALLOC_CTX *ctx, struct tevent_context *ev, const char *address,
             uint32_t ack_timeout_ms, const struct mq_tcp_callbacks *callbacks,
             struct mq_error *error)
{
  int fd = mq_connect_begin (address, error);
  struct mq_tcp *tcp;

  if (fd < 0)
    return NULL;
  set_options (fd, ack_timeout_ms);
  tcp = create_tcp (ctx, ev, fd, callbacks, TEVENT_FD_WRITE);
  if (tcp == NULL)
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, address, NULL);
      return NULL;
    }
  tcp->opening = true;
  tcp->timer = start_tcp_timer (tcp, CONNECT_MS);
  return tcp;
}

void
mq_tcp_set_peer_timeout (struct mq_tcp *tcp, uint32_t ack_timeout_ms)
{
  if (tcp->fd >= 0)
    set_options (tcp->fd, ack_timeout_ms);
}

static void
begin_callback (struct mq_tcp *tcp)
{
  tcp->callback_depth++;
}

/* Ends a callback; true if it destroyed the connection.  */
static bool
end_callback (struct mq_tcp *tcp)
{
  tcp->callback_depth--;
  if (!tcp->destroyed)
    return false;
  if (tcp->callback_depth == 0)
    talloc_free (tcp);
  return true;
}

void
mq_tcp_destroy (struct mq_tcp *tcp)
{
  if (tcp == NULL || tcp->destroyed)
    return;
  tcp->destroyed = true;
  TALLOC_FREE (tcp->timer);
  TALLOC_FREE (tcp->failure);
  close_fd (tcp);
  if (tcp->callback_depth == 0)
    talloc_free (tcp);
}

void
mq_tcp_abort (struct mq_tcp *tcp)
{
  struct linger off = { 1, 0 };

  if (tcp == NULL || tcp->destroyed)
    return;
  if (tcp->fd >= 0)
    (void)setsockopt (tcp->fd, SOL_SOCKET, SO_LINGER, &off, sizeof off);
  mq_tcp_destroy (tcp);
}

static void
notify_ended (struct mq_tcp *tcp, enum mq_tcp_end end)
{
  if (tcp->finishing)
    {
      mq_tcp_destroy (tcp);
      return;
    }
  begin_callback (tcp);
  tcp->callbacks.ended (tcp, end, tcp->callbacks.user);
  end_callback (tcp);
}

/* Reads once and passes the bytes to the owner.  Returns the result of recv: 0
   at EOF, negative with errno if there is nothing to read.  */
static ssize_t
read_available (struct mq_tcp *tcp)
{
  char bytes[READ_BYTES];
  ssize_t got;

  do
    got = recv (tcp->fd, bytes, sizeof bytes, 0);
  while (got < 0 && errno == EINTR);
  if (got <= 0 || tcp->finishing)
    return got;
  begin_callback (tcp);
  tcp->callbacks.data (tcp, bytes, (size_t)got, tcp->callbacks.user);
  end_callback (tcp);
  return got;
}

/* Reads the remaining input before the error is reported: the peer may have
   sent a response and closed while this side was still sending, and the kernel
   keeps what arrived before a reset.  */
static void
on_failure (struct tevent_context *ev, struct tevent_immediate *immediate,
            void *data)
{
  struct mq_tcp *tcp = data;

  (void)ev;
  (void)immediate;
  begin_callback (tcp);
  while (tcp->failed_as == MQ_TCP_RESET && !tcp->destroyed && tcp->reading
         && read_available (tcp) > 0)
    ;
  if (!end_callback (tcp))
    notify_ended (tcp, tcp->failed_as);
}

/* Reports the error from the event loop, since the owner may be inside a call
   of this module.  */
static void
fail_later (struct mq_tcp *tcp, enum mq_tcp_end end)
{
  if (tcp->failed)
    return;
  tcp->failed = true;
  tcp->failed_as = end;
  tcp->failure = mq_check_alloc (tevent_create_immediate (tcp));
  tevent_schedule_immediate (tcp->failure, tcp->ev, on_failure, tcp);
}

static void
update_flags (struct mq_tcp *tcp)
{
  uint16_t flags = 0;

  if (tcp->event == NULL)
    return;
  if (tcp->opening || tcp->unsent.len > 0)
    flags |= TEVENT_FD_WRITE;
  if (!tcp->opening && (tcp->reading || tcp->finishing))
    flags |= TEVENT_FD_READ;
  tevent_fd_set_flags (tcp->event, flags);
}

/* Returns the bytes that the socket accepted, -1 on error.  */
static ssize_t
send_some (struct mq_tcp *tcp, const void *data, size_t len)
{
  ssize_t sent;

  do
    sent = send (tcp->fd, data, len, MSG_NOSIGNAL);
  while (sent < 0 && errno == EINTR);
  if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return 0;
  return sent;
}

void
mq_tcp_set_max_unsent (struct mq_tcp *tcp, size_t bytes)
{
  tcp->max_unsent = bytes;
}

bool
mq_tcp_write (struct mq_tcp *tcp, const void *data, size_t len)
{
  ssize_t sent = 0;

  if (tcp->failed || tcp->destroyed || len == 0)
    return true;
  if (!tcp->opening && tcp->unsent.len == 0)
    sent = send_some (tcp, data, len);
  if (sent < 0)
    {
      fail_later (tcp, MQ_TCP_RESET);
      return true;
    }
  if ((size_t)sent < len)
    {
      if (!mq_buffer_append (tcp, &tcp->unsent, (const char *)data + sent,
                             len - (size_t)sent, tcp->max_unsent))
        {
          fail_later (tcp, MQ_TCP_NO_MEMORY);
          return true;
        }
      update_flags (tcp);
    }
  if (tcp->unsent.len <= MQ_TCP_HIGH_BYTES)
    return true;
  tcp->full = true;
  return false;
}

void
mq_tcp_set_reading (struct mq_tcp *tcp, bool on)
{
  if (tcp->reading == on)
    return;
  tcp->reading = on;
  update_flags (tcp);
}

static bool
is_connected (const struct mq_tcp *tcp)
{
  struct pollfd ready = { .fd = tcp->fd, .events = POLLOUT };

  return poll (&ready, 1, 0) == 1 && (ready.revents & POLLERR) == 0;
}

bool
mq_tcp_has_unread (const struct mq_tcp *tcp)
{
  char byte;

  if (tcp->fd < 0)
    return false;
  if (tcp->opening)
    return is_connected (tcp);
  return recv (tcp->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

size_t
mq_tcp_unsent_bytes (const struct mq_tcp *tcp)
{
  return tcp->unsent.len;
}

size_t
mq_tcp_unacknowledged_bytes (const struct mq_tcp *tcp)
{
  int queued = 0;

  if (tcp->fd < 0 || ioctl (tcp->fd, TIOCOUTQ, &queued) != 0 || queued < 0)
    queued = 0;
  return tcp->unsent.len + (size_t)queued;
}

bool
mq_tcp_is_idle (const struct mq_tcp *tcp)
{
  char byte;

  if (tcp->fd < 0 || tcp->failed)
    return false;
  return tcp->opening
         || (recv (tcp->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
             && (errno == EAGAIN || errno == EWOULDBLOCK));
}

/* Timeout of connect or, on a finished connection, of the peer's close or of
   the unsent bytes.  */
static void
on_timer (void *data)
{
  struct mq_tcp *tcp = data;

  tcp->timer = NULL;
  if (tcp->opening)
    notify_ended (tcp, MQ_TCP_RESET);
  else
    mq_tcp_destroy (tcp);
}

static void
shutdown_if_sent (struct mq_tcp *tcp)
{
  if (!tcp->finishing || tcp->shut || tcp->unsent.len > 0)
    return;
  tcp->shut = true;
  (void)shutdown (tcp->fd, SHUT_WR);
}

/* Restarts the timeout of a finished connection whenever bytes were sent, so
   that a slow reader still receives its whole response.  */
static void
restart_linger (struct mq_tcp *tcp)
{
  TALLOC_FREE (tcp->timer);
  tcp->timer = start_tcp_timer (tcp, tcp->unsent.len > 0 ? UNSENT_TIMEOUT_MS
                                                         : LINGER_MS);
}

void
mq_tcp_finish (struct mq_tcp *tcp)
{
  if (tcp->destroyed || tcp->finishing)
    return;
  tcp->finishing = true;
  restart_linger (tcp);
  shutdown_if_sent (tcp);
  update_flags (tcp);
}

static void
send_unsent (struct mq_tcp *tcp)
{
  struct mq_buffer *unsent = &tcp->unsent;
  ssize_t sent;

  if (unsent->len == 0)
    return;
  sent = send_some (tcp, unsent->data + unsent->at, unsent->len);
  if (sent < 0)
    {
      fail_later (tcp, MQ_TCP_RESET);
      mq_buffer_clear (unsent);
    }
  else
    mq_buffer_skip (unsent, (size_t)sent);
  if (sent > 0 && tcp->finishing)
    restart_linger (tcp);
  update_flags (tcp);
  shutdown_if_sent (tcp);
}

/* False if the connection was destroyed.  */
static bool
on_writable (struct mq_tcp *tcp)
{
  bool notify;

  if (tcp->opening)
    {
      int number = 0;
      socklen_t len = sizeof number;

      if (getsockopt (tcp->fd, SOL_SOCKET, SO_ERROR, &number, &len) != 0
          || number != 0)
        {
          notify_ended (tcp, MQ_TCP_RESET);
          return false;
        }
      tcp->opening = false;
      TALLOC_FREE (tcp->timer);
      update_flags (tcp);
      if (tcp->callbacks.opened != NULL)
        {
          begin_callback (tcp);
          tcp->callbacks.opened (tcp, tcp->callbacks.user);
          if (end_callback (tcp))
            return false;
        }
    }
  send_unsent (tcp);
  notify = tcp->full && !tcp->finishing
           && tcp->unsent.len <= MQ_TCP_HIGH_BYTES / 2;
  if (!notify)
    return true;
  tcp->full = false;
  if (tcp->callbacks.drained == NULL)
    return true;
  begin_callback (tcp);
  tcp->callbacks.drained (tcp, tcp->callbacks.user);
  return !end_callback (tcp);
}

static void
on_readable (struct mq_tcp *tcp)
{
  ssize_t got = read_available (tcp);

  if (got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))
    return;
  notify_ended (tcp, got == 0 ? MQ_TCP_EOF : MQ_TCP_RESET);
}

static void
on_event (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
          void *data)
{
  struct mq_tcp *tcp = data;

  (void)ev;
  (void)event;
  if (tcp->failed)
    return;
  if ((flags & TEVENT_FD_WRITE) != 0 && !on_writable (tcp))
    return;
  if ((flags & TEVENT_FD_READ) != 0 && !tcp->destroyed && !tcp->failed)
    on_readable (tcp);
}
