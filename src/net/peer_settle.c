/* peer_settle.c - handshake of a connection, and selection among duplicates.

   Of two hosts, the one whose name sorts first is the leader.  It sends its
   Proof last, and only on the connection that it selects; the other side is
   ready when it receives that Proof.  One side thus decides before any other
   frame is sent: two hosts that dial each other at the same time end up with
   one connection and lose no frame.
   Needs: peer_net.h.  */

#include "peer_net.h"
#include <string.h>

static bool
is_same_run (const struct mq_peer_info *a, const struct mq_peer_info *b)
{
  return a->boot == b->boot && strcmp (a->host, b->host) == 0;
}

static bool
is_leader (const struct mq_conn *conn)
{
  const struct mq_peer_info *self = &conn->net->self;
  int order = strcmp (self->host, conn->info.host);

  return order != 0 ? order < 0 : self->boot < conn->info.boot;
}

void
mq_conn_refuse (struct mq_conn *conn, const struct mq_error *error)
{
  conn->net->counters.handshakes_refused++;
  conn->net->refusal = *error;
  mq_conn_close (conn, error->type);
}

static void
reject_memory (struct mq_conn *conn)
{
  struct mq_error error;

  mq_error_set (&error, MQ_ERR_NO_MEMORY, "handshake", NULL);
  mq_conn_refuse (conn, &error);
}

void
mq_conn_start_handshake (struct mq_conn *conn)
{
  struct mq_peer_net *net = conn->net;
  const uint8_t *hello;
  size_t len;

  conn->handshake = mq_handshake_create (
      conn, conn->dialled ? MQ_SIDE_CONNECT : MQ_SIDE_ACCEPT, net->site_key,
      &net->self);
  if (conn->handshake == NULL)
    {
      reject_memory (conn);
      return;
    }
  conn->state = MQ_CONN_HELLO;
  tevent_fd_set_flags (conn->event, TEVENT_FD_READ);
  hello = mq_handshake_hello (conn->handshake, &len);
  if (!mq_conn_queue (conn, hello, len, true))
    reject_memory (conn);
}

static bool
send_proof (struct mq_conn *conn)
{
  size_t len;
  const uint8_t *proof = mq_handshake_proof (conn->handshake, &len);

  if (proof != NULL && mq_conn_queue (conn, proof, len, true))
    return true;
  reject_memory (conn);
  return false;
}

/* Ready connection to the same run of the peer's process, NULL if there is
   none.  */
static struct mq_conn *
find_ready_conn_of_peer (const struct mq_conn *conn)
{
  struct mq_conn *other = conn->net->conns;

  while (other != NULL
         && (other == conn || other->state != MQ_CONN_READY
             || !is_same_run (&other->info, &conn->info)))
    other = other->next;
  return other;
}

/* True if OLD is a ready connection with the host name or address of CONN's
   peer.  */
static bool
is_superseded_conn (const struct mq_conn *old, const struct mq_conn *conn)
{
  return old != conn && old->state == MQ_CONN_READY
         && (strcmp (old->info.host, conn->info.host) == 0
             || strcmp (old->info.address, conn->info.address) == 0);
}

static struct mq_conn *
find_superseded_conn (const struct mq_conn *conn)
{
  struct mq_conn *old = conn->net->conns;

  while (old != NULL && !is_superseded_conn (old, conn))
    old = old->next;
  return old;
}

/* True if OTHER is a connection attempt to the peer with which CONN is
   ready.  */
static bool
is_duplicate_conn (const struct mq_conn *other, const struct mq_conn *conn)
{
  if (other == conn || other->state >= MQ_CONN_READY)
    return false;
  if (other->info.host != NULL)
    return is_same_run (&other->info, &conn->info);
  return other->peer_address != NULL
         && strcmp (other->peer_address->address, conn->info.address) == 0;
}

static void
close_duplicate_conns (struct mq_conn *conn)
{
  struct mq_conn *other = conn->net->conns;

  while (other != NULL)
    {
      if (is_duplicate_conn (other, conn))
        mq_conn_close (other, MQ_ERR_NONE);
      other = other->next;
    }
}

static uint32_t
next_handle (struct mq_peer_net *net)
{
  net->last_handle++;
  if (net->last_handle == 0)
    net->last_handle++;
  return net->last_handle;
}

static void
start_ready (struct mq_conn *conn)
{
  struct mq_peer_net *net = conn->net;

  if (!conn->dialled)
    net->unauthenticated_count--;
  conn->handle = next_handle (net);
  conn->state = MQ_CONN_READY;
  if (conn->peer_address != NULL)
    conn->peer_address->dialling = NULL;
  mq_table_add (conn);
  close_duplicate_conns (conn);
  net->counters.connections_made++;
  if (net->callbacks.up != NULL)
    net->callbacks.up (conn->handle, &conn->info, net->callbacks.user);
}

/* A peer that restarted or abandoned a connection connects again while the old
   connection still looks open here.  Reports the old one down before the new
   one up and reads nothing more from the old one.  */
static void
make_ready (struct mq_conn *conn)
{
  struct mq_peer_net *net = conn->net;
  struct mq_conn *old = find_superseded_conn (conn);

  while (old != NULL)
    {
      mq_conn_close (old, MQ_ERR_PEER_LOST);
      if (net->destroyed || conn->state == MQ_CONN_CLOSED)
        return;
      old = find_superseded_conn (conn);
    }
  start_ready (conn);
}

static void
accept_conn (struct mq_conn *conn)
{
  if (send_proof (conn))
    make_ready (conn);
}

/* True if CONN is older than the ready connection of the same host or address:
   a late handshake of an earlier run must not replace its successor.  */
static bool
is_outdated (const struct mq_conn *conn)
{
  const struct mq_conn *old = find_superseded_conn (conn);

  return old != NULL && old->serial > conn->serial;
}

/* Selects a connection on the leader.  While a connection to the same run is
   ready the new one waits: either the peer dialled before it learned of the
   selection and will close the new one, or the ready one has failed at the
   peer and will fail here as well.  */
static void
choose_conn (struct mq_conn *conn)
{
  if (find_ready_conn_of_peer (conn) != NULL)
    conn->state = MQ_CONN_WAITING;
  else if (is_outdated (conn))
    mq_conn_close (conn, MQ_ERR_PEER_LOST);
  else
    accept_conn (conn);
}

void
mq_conn_select_waiting (struct mq_peer_net *net)
{
  struct mq_conn *conn = net->conns;

  net->select_due = false;
  while (conn != NULL && !net->destroyed)
    {
      if (conn->state == MQ_CONN_WAITING)
        choose_conn (conn);
      conn = conn->next;
    }
}

static void
reject_self (struct mq_conn *conn)
{
  struct mq_error error;

  mq_error_set (&error, MQ_ERR_BAD_PEER, conn->info.host, "another host");
  mq_conn_refuse (conn, &error);
}

/* If the peer is already connected under another address, uses that connection
   and closes CONN.  */
static bool
reuse_ready_conn (struct mq_conn *conn)
{
  struct mq_conn *other = find_ready_conn_of_peer (conn);

  if (conn->peer_address == NULL || other == NULL)
    return false;
  conn->peer_address->ready = other;
  mq_conn_close (conn, MQ_ERR_NONE);
  return true;
}

static void
receive_hello (struct mq_conn *conn, const uint8_t *data, size_t len)
{
  struct mq_error error;
  const struct mq_peer_info *info
      = mq_handshake_read_hello (conn->handshake, data, len, &error);

  if (info == NULL)
    {
      conn->net->counters.frames_bad++;
      mq_conn_refuse (conn, &error);
      return;
    }
  conn->info = *info;
  /* The Hello was reflected, or this process dialled its own port.  */
  if (is_same_run (info, &conn->net->self))
    {
      reject_self (conn);
      return;
    }
  if (reuse_ready_conn (conn))
    return;
  conn->state = MQ_CONN_PROOF;
  if (!is_leader (conn))
    send_proof (conn);
}

static void
receive_proof (struct mq_conn *conn, const uint8_t *data, size_t len)
{
  struct mq_error error;

  if (!mq_handshake_check_proof (conn->handshake, data, len, &error))
    {
      if (error.type == MQ_ERR_BAD_FRAME)
        conn->net->counters.frames_bad++;
      mq_conn_refuse (conn, &error);
    }
  else if (is_leader (conn))
    choose_conn (conn);
  else
    make_ready (conn);
}

static void
reject_frame (struct mq_conn *conn)
{
  struct mq_error error;

  conn->net->counters.frames_bad++;
  mq_error_set (&error, MQ_ERR_BAD_FRAME, "frame before proof", NULL);
  mq_conn_refuse (conn, &error);
}

void
mq_conn_handshake_frame (struct mq_conn *conn, const uint8_t *data, size_t len)
{
  switch (conn->state)
    {
    case MQ_CONN_HELLO:
      receive_hello (conn, data, len);
      break;
    case MQ_CONN_PROOF:
      receive_proof (conn, data, len);
      break;
    case MQ_CONN_CONNECTING:
    case MQ_CONN_WAITING:
    case MQ_CONN_READY:
    case MQ_CONN_DRAINING:
    case MQ_CONN_CLOSED:
      reject_frame (conn);
      break;
    }
}
