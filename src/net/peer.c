/* peer.c - TCP connections between the processes of the system.

   Creates and destroys the network, accepts and dials connections, and
   implements the public functions of peer.h.
   Needs: peer_net.h, codec.h, id.h.  */

#include "peer.h"
#include "core/id.h"
#include "codec.h"
#include "peer_net.h"
#include "clock.h"
#include <errno.h>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <netdb.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

enum
{
  TICK_MIN_MS = 5,
  TICK_MAX_MS = 50,
  TICKS_PER_HEARTBEAT = 8,
  LISTEN_BACKLOG = 1024,
  ACCEPTS_PER_EVENT = 64,
  US_PER_MS = 1000,
  NS_PER_MS = 1000000,
  MS_PER_S = 1000
};

static void
free_closed (struct mq_peer_net *net)
{
  while (net->closed != NULL)
    {
      struct mq_conn *conn = net->closed;

      net->closed = conn->next_closed;
      talloc_free (conn);
    }
}

void
mq_peer_begin_handler (struct mq_peer_net *net)
{
  net->depth++;
}

void
mq_peer_end_handler (struct mq_peer_net *net)
{
  net->depth--;
  if (net->depth > 0)
    return;
  if (net->destroyed)
    talloc_free (net);
  else if (net->flush_list == NULL)
    free_closed (net);
}

static uint32_t
jittered_backoff (struct mq_peer_net *net, uint32_t backoff_ms)
{
  uint32_t half = backoff_ms / 2;

  return half + mq_random_below (&net->seed, half + 1);
}

/* Doubles the backoff before the result of the attempt is known; tick_address
   resets it once a connection is ready.  */
static void
dial_address (struct mq_peer_net *net, struct mq_peer_address *peer_address,
              uint64_t now_ms)
{
  peer_address->due_ms
      = now_ms + jittered_backoff (net, peer_address->backoff_ms);
  peer_address->backoff_ms *= 2;
  if (peer_address->backoff_ms > MQ_CONNECT_RETRY_MAX_MS)
    peer_address->backoff_ms = MQ_CONNECT_RETRY_MAX_MS;
  mq_conn_dial (net, peer_address);
}

static void
tick_address (struct mq_peer_net *net, struct mq_peer_address *peer_address,
              uint64_t now_ms)
{
  if (peer_address->ready != NULL)
    {
      peer_address->backoff_ms = MQ_CONNECT_RETRY_MS;
      peer_address->due_ms = 0;
      return;
    }
  if (peer_address->dialling != NULL)
    return;
  /* The connection was lost since the last tick.  The jitter spreads out the
     reconnects of hosts that lost the same peer.  */
  if (peer_address->due_ms == 0)
    peer_address->due_ms
        = now_ms + jittered_backoff (net, peer_address->backoff_ms);
  if (now_ms >= peer_address->due_ms)
    dial_address (net, peer_address, now_ms);
}

static void
tick_all_addresses (struct mq_peer_net *net, uint64_t now_ms)
{
  for (struct mq_peer_address *peer_address = net->peer_address;
       peer_address != NULL; peer_address = peer_address->next)
    tick_address (net, peer_address, now_ms);
}

static void
flush_scheduled (struct mq_peer_net *net)
{
  while (net->flush_list != NULL)
    {
      struct mq_conn *conn = net->flush_list;

      net->flush_list = conn->next_to_flush;
      conn->in_flush_list = false;
      mq_conn_flush (conn);
    }
}

static void
close_scheduled (struct mq_peer_net *net)
{
  struct mq_conn *conn = net->conns;

  net->close_due = false;
  while (conn != NULL && !net->destroyed)
    {
      if (conn->state != MQ_CONN_CLOSED && conn->close_reason != MQ_ERR_NONE)
        mq_conn_close (conn, conn->close_reason);
      conn = conn->next;
    }
}

static void
do_work (struct mq_peer_net *net)
{
  flush_scheduled (net);
  if (net->close_due)
    close_scheduled (net);
  if (net->select_due && !net->destroyed)
    mq_conn_select_waiting (net);
  if (net->dial_due && !net->destroyed)
    {
      net->dial_due = false;
      tick_all_addresses (net, mq_clock_ms ());
    }
}

static void
on_work (struct tevent_context *ev, struct tevent_immediate *work, void *data)
{
  struct mq_peer_net *net = data;

  (void)ev;
  (void)work;
  mq_peer_begin_handler (net);
  net->work_due = false;
  do_work (net);
  mq_peer_end_handler (net);
}

void
mq_peer_schedule (struct mq_peer_net *net)
{
  if (net->work_due || net->destroyed)
    return;
  net->work_due = true;
  tevent_schedule_immediate (net->work, net->ev, on_work, net);
}

static uint64_t
shift_time (uint64_t time_ms, uint64_t pause_ms, uint64_t now_ms)
{
  return time_ms + pause_ms < now_ms ? time_ms + pause_ms : now_ms;
}

/* Excludes the time in which this process was stopped from the receive and
   handshake timeouts, since it could not read from its peers then.  */
static void
exclude_process_pause (struct mq_peer_net *net, uint64_t now_ms)
{
  uint64_t pause_ms = now_ms - net->now_ms;

  if (pause_ms < 2 * (uint64_t)net->tick_ms)
    return;
  pause_ms -= net->tick_ms;
  for (struct mq_conn *conn = net->conns; conn != NULL; conn = conn->next)
    {
      conn->received_ms = shift_time (conn->received_ms, pause_ms, now_ms);
      conn->opened_ms = shift_time (conn->opened_ms, pause_ms, now_ms);
    }
}

static void
tick_conns (struct mq_peer_net *net, uint64_t now_ms)
{
  struct mq_conn *conn = net->conns;

  while (conn != NULL && !net->destroyed)
    {
      mq_conn_tick (conn, now_ms);
      conn = conn->next;
    }
}

static void
on_clock (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
          void *data)
{
  struct mq_peer_net *net = data;
  uint64_t now_ms = mq_clock_ms ();
  uint64_t expirations;

  (void)ev;
  (void)event;
  (void)flags;
  if (read (net->clock_fd, &expirations, sizeof expirations) < 0)
    return;
  mq_peer_begin_handler (net);
  exclude_process_pause (net, now_ms);
  net->now_ms = now_ms;
  TEVENT_FD_READABLE (net->listen_event);
  tick_conns (net, now_ms);
  if (!net->destroyed)
    tick_all_addresses (net, now_ms);
  mq_peer_end_handler (net);
}

/* Closes the oldest unauthenticated connection, so that idle connections
   cannot keep peers with a valid site key from connecting.  */
static void
close_oldest_unauthenticated (struct mq_peer_net *net)
{
  struct mq_conn *oldest = NULL;

  for (struct mq_conn *conn = net->conns; conn != NULL; conn = conn->next)
    if (!conn->dialled && conn->handle == 0)
      oldest = conn;
  if (oldest != NULL)
    mq_conn_close (oldest, MQ_ERR_OVERLOADED);
}

static void
accept_fd (struct mq_peer_net *net, int fd)
{
  struct mq_conn *conn = mq_conn_create (net, fd, false);

  if (conn == NULL)
    return;
  if (net->unauthenticated_count > MQ_PEER_UNAUTHENTICATED_MAX)
    close_oldest_unauthenticated (net);
  mq_conn_start_handshake (conn);
}

static void
on_listen (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct mq_peer_net *net = data;
  int fd = 0;

  (void)ev;
  (void)event;
  (void)flags;
  mq_peer_begin_handler (net);
  for (int i = 0; i < ACCEPTS_PER_EVENT && fd >= 0; i++)
    {
      fd = accept4 (net->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0)
        accept_fd (net, fd);
    }
  /* When descriptors or buffers are exhausted the socket stays readable.
     Stops listening for events until the next tick, so that the event loop
     does not spin.  */
  if (fd < 0 && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS))
    TEVENT_FD_NOT_READABLE (net->listen_event);
  mq_peer_end_handler (net);
}

static bool
open_listener (struct mq_peer_net *net, const char *address)
{
  struct addrinfo *at = mq_conn_parse_address (address);
  int on = 1;
  int failed = -1;

  errno = EINVAL;
  if (at == NULL)
    return false;
  net->listen_fd
      = socket (at->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (net->listen_fd >= 0)
    {
      setsockopt (net->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      failed = bind (net->listen_fd, at->ai_addr, at->ai_addrlen);
    }
  freeaddrinfo (at);
  return failed == 0 && listen (net->listen_fd, LISTEN_BACKLOG) == 0;
}

static bool
open_clock (struct mq_peer_net *net)
{
  struct timespec tick = { .tv_nsec = (long)net->tick_ms * (long)NS_PER_MS };
  struct itimerspec every = { .it_interval = tick, .it_value = tick };

  /* tevent timers follow the wall clock; setting it back would delay the
     heartbeats.  */
  net->clock_fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  return net->clock_fd >= 0
         && timerfd_settime (net->clock_fd, 0, &every, NULL) == 0;
}

static bool
add_events (struct mq_peer_net *net)
{
  struct tevent_fd *clock = tevent_add_fd (net->ev, net, net->clock_fd,
                                           TEVENT_FD_READ, on_clock, net);

  net->clock_event = clock;
  net->listen_event = tevent_add_fd (net->ev, net, net->listen_fd,
                                     TEVENT_FD_READ, on_listen, net);
  net->work = tevent_create_immediate (net);
  return clock != NULL && net->listen_event != NULL && net->work != NULL;
}

uint16_t
mq_peer_net_port (const struct mq_peer_net *net)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
  } bound = { 0 };
  socklen_t len = sizeof bound;

  if (getsockname (net->listen_fd, &bound.any, &len) != 0)
    return 0;
  if (bound.any.sa_family == AF_INET6)
    return ntohs (bound.v6.sin6_port);
  return ntohs (bound.v4.sin_port);
}

/* Address of the listening socket, with the actual port where port 0 was
   requested.  */
static char *
format_address (struct mq_peer_net *net, const char *listen_at)
{
  const char *colon = strrchr (listen_at, ':');

  return talloc_asprintf (net, "%.*s:%u", (int)(colon - listen_at), listen_at,
                          mq_peer_net_port (net));
}

static bool
copy_self (struct mq_peer_net *net, const struct mq_peer_options *options)
{
  const struct mq_peer_info *from = &options->self;
  struct mq_peer_info *to = &net->self;

  to->host = talloc_strdup (net, from->host);
  to->data_centre
      = talloc_strdup (net, from->data_centre ? from->data_centre : "");
  to->address = from->address != NULL ? talloc_strdup (net, from->address)
                                      : format_address (net, options->listen);
  to->role = from->role;
  to->boot = from->boot;
  return to->host != NULL && to->data_centre != NULL && to->address != NULL;
}

static uint32_t
choose_tick (uint32_t heartbeat_interval_ms)
{
  uint32_t tick = heartbeat_interval_ms / TICKS_PER_HEARTBEAT;

  if (tick < TICK_MIN_MS)
    return TICK_MIN_MS;
  return tick > TICK_MAX_MS ? TICK_MAX_MS : tick;
}

static void
close_conn_at_once (struct mq_conn *conn)
{
  if (conn->state == MQ_CONN_READY || conn->state == MQ_CONN_DRAINING)
    mq_conn_flush (conn);
  TALLOC_FREE (conn->event);
  close (conn->fd);
  conn->state = MQ_CONN_CLOSED;
}

static void
close_net (struct mq_peer_net *net)
{
  for (struct mq_conn *conn = net->conns; conn != NULL; conn = conn->next)
    close_conn_at_once (conn);
  TALLOC_FREE (net->listen_event);
  TALLOC_FREE (net->clock_event);
  TALLOC_FREE (net->work);
  if (net->listen_fd >= 0)
    close (net->listen_fd);
  if (net->clock_fd >= 0)
    close (net->clock_fd);
  gnutls_memset (net->site_key, 0, sizeof net->site_key);
}

/* When called from a callback, closes all sockets at once but returns -1 to
   keep the memory, which is still in use further up the stack.
   mq_peer_end_handler frees it.  */
static int
destroy_net (struct mq_peer_net *net)
{
  if (!net->destroyed)
    close_net (net);
  net->destroyed = true;
  return net->depth > 0 ? -1 : 0;
}

static struct mq_peer_net *
create_net (TALLOC_CTX *ctx, struct tevent_context *ev,
            const struct mq_peer_options *options,
            const struct mq_peer_callbacks *callbacks)
{
  struct mq_peer_net *net = talloc_zero (ctx, struct mq_peer_net);

  if (net == NULL)
    return NULL;
  net->ev = ev;
  net->callbacks = *callbacks;
  net->listen_fd = -1;
  net->clock_fd = -1;
  net->heartbeat_interval_ms = options->heartbeat_interval_ms
                                   ? options->heartbeat_interval_ms
                                   : MQ_HEARTBEAT_MS;
  net->peer_timeout_ms = options->peer_timeout_ms ? options->peer_timeout_ms
                                                  : MQ_PEER_TIMEOUT_MS;
  net->tick_ms = choose_tick (net->heartbeat_interval_ms);
  net->now_ms = mq_clock_ms ();
  memcpy (net->site_key, options->site_key, sizeof net->site_key);
  talloc_set_destructor (net, destroy_net);
  return net;
}

static bool
start_net (struct mq_peer_net *net, const struct mq_peer_options *options)
{
  return gnutls_rnd (GNUTLS_RND_NONCE, &net->seed, sizeof net->seed) == 0
         && open_listener (net, options->listen) && open_clock (net)
         && add_events (net) && copy_self (net, options);
}

struct mq_peer_net *
mq_peer_net_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                    const struct mq_peer_options *options,
                    const struct mq_peer_callbacks *callbacks,
                    struct mq_error *error)
{
  struct mq_peer_net *net = create_net (ctx, ev, options, callbacks);

  if (net == NULL)
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, options->listen, NULL);
      return NULL;
    }
  if (start_net (net, options))
    return net;
  mq_error_set (error, MQ_ERR_IO, options->listen, "IP:PORT");
  if (error != NULL)
    error->number = errno;
  talloc_free (net);
  return NULL;
}

void
mq_peer_net_destroy (struct mq_peer_net *net)
{
  talloc_free (net);
}

void
mq_peer_net_add_address (struct mq_peer_net *net, const char *address)
{
  struct mq_peer_address *peer_address;

  if (net->destroyed || strcmp (address, net->self.address) == 0
      || mq_table_find_peer_address (net, address) != NULL)
    return;
  peer_address = talloc_zero (net, struct mq_peer_address);
  if (peer_address == NULL)
    return;
  peer_address->address = talloc_strdup (peer_address, address);
  if (peer_address->address == NULL)
    {
      talloc_free (peer_address);
      return;
    }
  peer_address->backoff_ms = MQ_CONNECT_RETRY_MS;
  peer_address->due_ms = 1;
  peer_address->ready = mq_table_find_address (net, address);
  mq_table_add_peer_address (net, peer_address);
  net->dial_due = true;
  mq_peer_schedule (net);
}

static bool
has_peer_address (const struct mq_conn *conn)
{
  const struct mq_peer_address *peer_address = conn->net->peer_address;

  while (peer_address != NULL && peer_address->ready != conn)
    peer_address = peer_address->next;
  return peer_address != NULL;
}

/* Only the dialling side closes a released connection.  It sends its queued
   frames, shuts down its sending direction and delivers what it receives until
   the peer closes as well, so that no frame is lost.  A peer that still wants
   the connection dials a new one.  */
static void
drain_conn (struct mq_conn *conn)
{
  mq_table_remove_by_address (conn);
  conn->peer_address = NULL;
  conn->state = MQ_CONN_DRAINING;
  mq_conn_schedule_flush (conn);
}

void
mq_peer_net_remove_address (struct mq_peer_net *net, const char *address)
{
  struct mq_peer_address *peer_address
      = mq_table_find_peer_address (net, address);
  struct mq_conn *ready;

  if (net->destroyed || peer_address == NULL)
    return;
  mq_table_remove_peer_address (net, peer_address);
  if (peer_address->dialling != NULL)
    mq_conn_close (peer_address->dialling, MQ_ERR_NONE);
  ready = peer_address->ready;
  if (ready != NULL && ready->peer_address == peer_address)
    ready->peer_address = NULL;
  if (ready != NULL && ready->dialled && !has_peer_address (ready))
    drain_conn (ready);
  talloc_free (peer_address);
}

uint32_t
mq_peer_net_find (const struct mq_peer_net *net, const char *address)
{
  const struct mq_conn *conn = mq_table_find_address (net, address);

  return conn == NULL ? 0 : conn->handle;
}

/* Closes CONN in the next iteration of the event loop, so that the down
   callback is never called from within a send.  */
static void
schedule_close (struct mq_conn *conn, enum mq_error_type why)
{
  conn->close_reason = why;
  conn->net->close_due = true;
  mq_peer_schedule (conn->net);
}

static bool
send_frame (struct mq_conn *conn, const uint8_t *data, size_t len,
            bool control)
{
  if (len > MQ_FRAME_MAX_BYTES)
    return false;
  /* Bounds the memory used for a peer that reads too slowly.  */
  if (mq_frame_writer_unsent (conn->writer) + len > MQ_PEER_UNSENT_BYTES)
    {
      schedule_close (conn, MQ_ERR_SLOW_READER);
      return false;
    }
  return mq_conn_queue (conn, data, len, control);
}

bool
mq_peer_net_send (struct mq_peer_net *net, uint32_t peer,
                  const struct mq_message *message)
{
  struct mq_conn *conn = mq_table_find_handle (net, peer);
  struct mq_message stamped = *message;
  uint8_t *data;
  size_t len;
  bool sent;

  if (net->destroyed || conn == NULL || conn->state != MQ_CONN_READY
      || conn->close_reason != MQ_ERR_NONE || conn->write_failed)
    return false;
  if (stamped.config_version == 0)
    stamped.config_version = net->version;
  data = mq_codec_pack (conn, &stamped, &len);
  if (data == NULL)
    return false;
  sent = send_frame (conn, data, len, mq_conn_is_control (message->type));
  talloc_free (data);
  return sent;
}

void
mq_peer_net_set_version (struct mq_peer_net *net, uint64_t version)
{
  net->version = version;
}

const struct mq_peer_counters *
mq_peer_net_counters (const struct mq_peer_net *net)
{
  return &net->counters;
}

const struct mq_error *
mq_peer_net_refusal (const struct mq_peer_net *net)
{
  return &net->refusal;
}
