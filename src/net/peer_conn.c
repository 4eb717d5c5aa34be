/* peer_conn.c - one connection between two processes.

   Reads and delivers frames, queues and sends frames and heartbeats, and
   closes the connection.
   Needs: peer_net.h, codec.h.  */

#include "peer_net.h"
#include "codec.h"
#include "clock.h"
#include <errno.h>
#include <netdb.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_BYTES = 64 << 10
};

bool
mq_conn_is_control (enum mq_message_type type)
{
  switch (type)
    {
    case MQ_MSG_NONE:
    case MQ_MSG_LEASE:
    case MQ_MSG_LOAD:
    case MQ_MSG_CONFIG_HAVE:
    case MQ_MSG_CONFIG_GET:
    case MQ_MSG_CONFIG_TEXT:
    case MQ_MSG_HANDOVER:
    case MQ_MSG_RECOVER:
    case MQ_MSG_RECOVERED:
    case MQ_MSG_PROBE:
    case MQ_MSG_PROBED:
    case MQ_MSG_ORDER:
    case MQ_MSG_ORDER_DONE:
      return true;
    case MQ_MSG_CALL:
    case MQ_MSG_CANCEL:
    case MQ_MSG_SEAL:
    case MQ_MSG_FORGET:
    case MQ_MSG_TOKEN:
    case MQ_MSG_OUTCOME:
    case MQ_MSG_SEALED:
    case MQ_MSG_EVICTED:
    case MQ_MSG_FORWARD:
    case MQ_MSG_FORWARD_EVENT:
    case MQ_MSG_FORWARD_CLOSE:
    case MQ_MSG_TYPE_COUNT:
      break;
    }
  return false;
}

static void
count_in (struct mq_conn *conn, size_t len, bool control)
{
  struct mq_peer_counters *counters = &conn->net->counters;

  counters->frames_in++;
  counters->bytes_in += MQ_FRAME_HEADER_BYTES + len;
  if (!control)
    return;
  counters->control_frames_in++;
  counters->control_bytes_in += MQ_FRAME_HEADER_BYTES + len;
}

static void
count_out (struct mq_conn *conn, size_t len, bool control)
{
  struct mq_peer_counters *counters = &conn->net->counters;

  counters->frames_out++;
  counters->bytes_out += MQ_FRAME_HEADER_BYTES + len;
  if (!control)
    return;
  counters->control_frames_out++;
  counters->control_bytes_out += MQ_FRAME_HEADER_BYTES + len;
}

static bool
has_been_ready (const struct mq_conn *conn)
{
  return conn->state == MQ_CONN_READY || conn->state == MQ_CONN_DRAINING;
}

static bool
is_unauthenticated (const struct mq_conn *conn)
{
  return !conn->dialled && conn->handle == 0;
}

static void
unlink_conn (struct mq_conn *conn)
{
  struct mq_peer_net *net = conn->net;

  /* CONN->next stays valid for a loop that is currently at CONN.  */
  *conn->link = conn->next;
  if (conn->next != NULL)
    conn->next->link = conn->link;
  if (is_unauthenticated (conn))
    net->unauthenticated_count--;
  if (conn->peer_address != NULL && conn->peer_address->dialling == conn)
    conn->peer_address->dialling = NULL;
  conn->peer_address = NULL;
  conn->next_closed = net->closed;
  net->closed = conn;
}

void
mq_conn_close (struct mq_conn *conn, enum mq_error_type why)
{
  struct mq_peer_net *net = conn->net;
  bool up = has_been_ready (conn);

  if (conn->state == MQ_CONN_CLOSED)
    return;
  if (up)
    mq_table_remove (conn);
  TALLOC_FREE (conn->event);
  close (conn->fd);
  conn->state = MQ_CONN_CLOSED;
  unlink_conn (conn);
  net->select_due = true;
  mq_peer_schedule (net);
  if (!up)
    return;
  if (why != MQ_ERR_NONE)
    net->counters.connections_lost++;
  if (net->callbacks.down != NULL)
    net->callbacks.down (conn->handle, why, net->callbacks.user);
}

void
mq_conn_schedule_flush (struct mq_conn *conn)
{
  struct mq_peer_net *net = conn->net;

  mq_peer_schedule (net);
  if (conn->in_flush_list)
    return;
  conn->in_flush_list = true;
  conn->next_to_flush = net->flush_list;
  net->flush_list = conn;
}

bool
mq_conn_queue (struct mq_conn *conn, const uint8_t *data, size_t len,
               bool control)
{
  if (!mq_frame_writer_add (conn->writer, data, len))
    return false;
  count_out (conn, len, control);
  conn->sent_ms = conn->net->now_ms;
  mq_conn_schedule_flush (conn);
  return true;
}

void
mq_conn_flush (struct mq_conn *conn)
{
  if (conn->state == MQ_CONN_CLOSED || conn->state == MQ_CONN_CONNECTING
      || conn->write_failed)
    return;
  switch (mq_frame_writer_flush (conn->writer, conn->fd))
    {
    case MQ_FLUSH_DONE:
      TEVENT_FD_NOT_WRITEABLE (conn->event);
      if (conn->state == MQ_CONN_DRAINING)
        shutdown (conn->fd, SHUT_WR);
      break;
    case MQ_FLUSH_BLOCKED:
      TEVENT_FD_WRITEABLE (conn->event);
      break;
    case MQ_FLUSH_FAILED:
      /* The peer has closed, but frames that it sent before may still be
         unread. read_bytes closes the connection at the end of the input.  */
      conn->write_failed = true;
      TEVENT_FD_NOT_WRITEABLE (conn->event);
      break;
    }
}

static bool
is_alive (const struct mq_conn *conn)
{
  return conn->state != MQ_CONN_CLOSED && !conn->net->destroyed;
}

static void
deliver (struct mq_conn *conn, const struct mq_message *message)
{
  const struct mq_peer_callbacks *callbacks = &conn->net->callbacks;

  if (callbacks->message != NULL)
    callbacks->message (conn->handle, message, callbacks->user);
}

/* Reports a configuration version once, by whichever frame carried it; lower
   versions are ignored.  */
static void
deliver_version (struct mq_conn *conn, uint64_t version)
{
  struct mq_message message = { .type = MQ_MSG_CONFIG_HAVE };

  if (version <= conn->version)
    return;
  conn->version = version;
  message.config_version = version;
  message.u.config.version = version;
  message.u.config.text = "";
  deliver (conn, &message);
}

static void
receive_conn_message (struct mq_conn *conn, const uint8_t *data, size_t len)
{
  struct mq_message *message = mq_codec_unpack (conn, data, len, NULL);

  if (message == NULL)
    {
      conn->net->counters.frames_bad++;
      mq_conn_close (conn, MQ_ERR_BAD_FRAME);
      return;
    }
  count_in (conn, len, mq_conn_is_control (message->type));
  if (message->type == MQ_MSG_CONFIG_HAVE
      && message->u.config.version > conn->version)
    conn->version = message->u.config.version;
  else
    deliver_version (conn, message->config_version);
  if (is_alive (conn) && message->type != MQ_MSG_NONE)
    deliver (conn, message);
  talloc_free (message);
}

static void
receive_frame (struct mq_conn *conn, const uint8_t *data, size_t len)
{
  if (has_been_ready (conn))
    {
      receive_conn_message (conn, data, len);
      return;
    }
  count_in (conn, len, true);
  mq_conn_handshake_frame (conn, data, len);
}

static void
reject_length (struct mq_conn *conn)
{
  struct mq_error error;

  conn->net->counters.frames_bad++;
  mq_error_set (&error, MQ_ERR_TOO_LARGE, "frame", NULL);
  if (has_been_ready (conn))
    mq_conn_close (conn, MQ_ERR_BAD_FRAME);
  else
    mq_conn_refuse (conn, &error);
}

/* Determines the size limit for each frame anew, since a valid Proof raises
   it.  */
static bool
receive_next_frame (struct mq_conn *conn)
{
  size_t bound = has_been_ready (conn) ? MQ_FRAME_MAX_BYTES
                                       : MQ_PEER_UNAUTHENTICATED_BYTES;
  const uint8_t *data;
  size_t len;

  switch (mq_frame_reader_next (conn->reader, bound, &data, &len))
    {
    case MQ_NEXT_FRAME:
      receive_frame (conn, data, len);
      return is_alive (conn);
    case MQ_NEXT_PARTIAL:
      return false;
    case MQ_NEXT_BAD:
      reject_length (conn);
      break;
    }
  return false;
}

static void
receive_bytes (struct mq_conn *conn, const uint8_t *data, size_t len)
{
  conn->received_ms = mq_clock_ms ();
  if (!mq_frame_reader_feed (conn->reader, data, len))
    {
      mq_conn_close (conn, MQ_ERR_NO_MEMORY);
      return;
    }
  conn->reading = true;
  while (receive_next_frame (conn))
    ;
  conn->reading = false;
  if (is_alive (conn) && !mq_frame_reader_save_partial (conn->reader))
    mq_conn_close (conn, MQ_ERR_NO_MEMORY);
}

static void
read_bytes (struct mq_conn *conn)
{
  uint8_t bytes[READ_BYTES];
  ssize_t got;

  /* A callback may run the event loop; the frames after the one being
     delivered must not be read then.  */
  if (conn->reading)
    return;
  got = recv (conn->fd, bytes, sizeof bytes, 0);
  if (got > 0)
    {
      receive_bytes (conn, bytes, (size_t)got);
      return;
    }
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  if (got == 0)
    mq_conn_flush (conn);
  mq_conn_close (conn, conn->state == MQ_CONN_DRAINING ? MQ_ERR_NONE
                                                       : MQ_ERR_PEER_LOST);
}

static void
finish_connect (struct mq_conn *conn)
{
  int failed = 0;
  socklen_t len = sizeof failed;

  getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &failed, &len);
  if (failed)
    mq_conn_close (conn, MQ_ERR_PEER_LOST);
  else
    mq_conn_start_handshake (conn);
}

static void
on_socket (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct mq_conn *conn = data;
  struct mq_peer_net *net = conn->net;

  (void)ev;
  (void)event;
  mq_peer_begin_handler (net);
  if (conn->state == MQ_CONN_CONNECTING)
    finish_connect (conn);
  else
    {
      if (flags & TEVENT_FD_WRITE)
        mq_conn_flush (conn);
      if (flags & TEVENT_FD_READ)
        read_bytes (conn);
    }
  mq_peer_end_handler (net);
}

static void
link_conn (struct mq_conn *conn)
{
  struct mq_peer_net *net = conn->net;

  conn->next = net->conns;
  conn->link = &net->conns;
  if (conn->next != NULL)
    conn->next->link = &conn->next;
  net->conns = conn;
  if (is_unauthenticated (conn))
    net->unauthenticated_count++;
}

struct mq_conn *
mq_conn_create (struct mq_peer_net *net, int fd, bool dialled)
{
  struct mq_conn *conn = talloc_zero (net, struct mq_conn);
  int on = 1;

  if (conn != NULL)
    {
      conn->reader = mq_frame_reader_create (conn);
      conn->writer = mq_frame_writer_create (conn);
      conn->event
          = tevent_add_fd (net->ev, conn, fd, TEVENT_FD_READ | TEVENT_FD_WRITE,
                           on_socket, conn);
    }
  if (conn == NULL || conn->reader == NULL || conn->writer == NULL
      || conn->event == NULL)
    {
      talloc_free (conn);
      close (fd);
      return NULL;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  conn->net = net;
  conn->fd = fd;
  conn->dialled = dialled;
  conn->serial = ++net->last_serial;
  conn->state = MQ_CONN_CONNECTING;
  conn->opened_ms = mq_clock_ms ();
  conn->received_ms = conn->opened_ms;
  link_conn (conn);
  return conn;
}

/* Accepts numeric addresses only, since a name lookup could block.  */
struct addrinfo *
mq_conn_parse_address (const char *address)
{
  struct addrinfo hints = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
                            .ai_socktype = SOCK_STREAM };
  char host[MQ_NAME_MAX];
  const char *colon = strrchr (address, ':');
  struct addrinfo *found = NULL;

  if (colon == NULL || (size_t)(colon - address) >= sizeof host)
    return NULL;
  memcpy (host, address, (size_t)(colon - address));
  host[colon - address] = '\0';
  if (getaddrinfo (host, colon + 1, &hints, &found) != 0)
    return NULL;
  return found;
}

static int
open_socket (const char *address)
{
  struct addrinfo *to = mq_conn_parse_address (address);
  int fd = -1;

  if (to != NULL)
    fd = socket (to->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0 && connect (fd, to->ai_addr, to->ai_addrlen) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      fd = -1;
    }
  if (to != NULL)
    freeaddrinfo (to);
  return fd;
}

void
mq_conn_dial (struct mq_peer_net *net, struct mq_peer_address *peer_address)
{
  int fd = open_socket (peer_address->address);
  struct mq_conn *conn;

  if (fd < 0)
    return;
  conn = mq_conn_create (net, fd, true);
  if (conn == NULL)
    return;
  conn->peer_address = peer_address;
  peer_address->dialling = conn;
}

static void
expire_handshake (struct mq_conn *conn)
{
  struct mq_error error;

  mq_error_set (&error, MQ_ERR_TIMEOUT, "handshake", NULL);
  if (conn->state == MQ_CONN_HELLO || conn->state == MQ_CONN_PROOF)
    mq_conn_refuse (conn, &error);
  else
    mq_conn_close (conn, MQ_ERR_PEER_LOST);
}

static void
queue_heartbeat (struct mq_conn *conn)
{
  struct mq_message heartbeat = { .type = MQ_MSG_NONE };
  uint8_t *data;
  size_t len;

  heartbeat.config_version = conn->net->version;
  data = mq_codec_pack (conn, &heartbeat, &len);
  if (data != NULL)
    mq_conn_queue (conn, data, len, true);
  talloc_free (data);
}

/* A connection may be dead while both ends consider it open, and TCP may
   take minutes to report it.  A live peer sends at least its heartbeats, so
   that a connection without any input for the peer timeout is dead.  */
static void
tick_ready (struct mq_conn *conn, uint64_t now_ms)
{
  struct mq_peer_net *net = conn->net;

  if (now_ms >= conn->received_ms + net->peer_timeout_ms)
    {
      net->counters.connections_silent++;
      mq_conn_close (conn, MQ_ERR_PEER_LOST);
      return;
    }
  if (conn->state != MQ_CONN_READY
      || mq_frame_writer_unsent (conn->writer) > 0)
    return;
  if (now_ms + net->tick_ms > conn->sent_ms + net->heartbeat_interval_ms)
    queue_heartbeat (conn);
  else
    mq_frame_writer_trim (conn->writer);
}

void
mq_conn_tick (struct mq_conn *conn, uint64_t now_ms)
{
  if (conn->state == MQ_CONN_CLOSED)
    return;
  if (has_been_ready (conn))
    tick_ready (conn, now_ms);
  else if (now_ms >= conn->opened_ms + MQ_HANDSHAKE_MS)
    expire_handshake (conn);
}
