/* tcp.h - a TCP connection on the event loop.

   Input is passed to the owner at once; output is written at once and buffered
   only if the peer is slow.
   Needs: tevent, buffer.h, error.h.  */

#ifndef MQ_TCP_H
#define MQ_TCP_H

#include "core/error.h"
#include <tevent.h>

struct mq_tcp;

enum mq_tcp_end
{
  MQ_TCP_EOF,      /* the peer has closed its sending direction */
  MQ_TCP_RESET,    /* reset, timed out or refused */
  MQ_TCP_NO_MEMORY /* unsent bytes exceed their limit, or out of memory */
};

/**
 * struct mq_tcp_callbacks - callbacks to the owner of a connection
 * @opened: connect has succeeded; may be NULL
 * @data: input was received
 * @drained: unsent bytes fell below half of MQ_TCP_HIGH_BYTES after
 *           mq_tcp_write returned false; may be NULL
 * @ended: no more input follows; the owner must destroy the connection
 * @user: argument of all
 *
 * All are called from the event loop, never from within a function of this
 * module; each may destroy the connection.
 */
struct mq_tcp_callbacks
{
  void (*opened) (struct mq_tcp *tcp, void *user);
  void (*data) (struct mq_tcp *tcp, const char *data, size_t len, void *user);
  void (*drained) (struct mq_tcp *tcp, void *user);
  void (*ended) (struct mq_tcp *tcp, enum mq_tcp_end end, void *user);
  void *user;
};

/* Unsent bytes above which the owner should stop writing.  */
#define MQ_TCP_HIGH_BYTES ((size_t)128 << 10)
/* Unsent bytes above which the connection is closed, unless the owner sets
   another limit.  */
#define MQ_TCP_MAX_BYTES ((size_t)8 << 20)

/* Takes ownership of FD, an accepted socket.  NULL, with FD closed, if out of
   memory.  */
struct mq_tcp *mq_tcp_accept (TALLOC_CTX *ctx, struct tevent_context *ev,
                              int fd,
                              const struct mq_tcp_callbacks *callbacks);
/* Connects to ADDRESS, "IP:PORT".  The connection ends if sent bytes, or the
   connect itself, are not acknowledged for ACK_TIMEOUT_MS.  NULL with ERROR
   set on an immediate failure.  */
struct mq_tcp *mq_tcp_open (TALLOC_CTX *ctx, struct tevent_context *ev,
                            const char *address, uint32_t ack_timeout_ms,
                            const struct mq_tcp_callbacks *callbacks,
                            struct mq_error *error);
/* Ends the connection if the peer does not acknowledge sent bytes for
   ACK_TIMEOUT_MS or does not answer keepalive probes.  */
void mq_tcp_set_peer_timeout (struct mq_tcp *tcp, uint32_t ack_timeout_ms);
/* Replaces MQ_TCP_MAX_BYTES for this connection.  */
void mq_tcp_set_max_unsent (struct mq_tcp *tcp, size_t bytes);
/* True while unsent bytes are below MQ_TCP_HIGH_BYTES.  */
bool mq_tcp_write (struct mq_tcp *tcp, const void *data, size_t len);
/* Pauses or resumes reading.  While reading is paused, the end of the
   connection is not detected.  */
void mq_tcp_set_reading (struct mq_tcp *tcp, bool on);
/* True if input has arrived that was not read yet, or a pending connect has
   succeeded.  */
bool mq_tcp_has_unread (const struct mq_tcp *tcp);
/* True if neither input nor the end of the connection is pending.  */
bool mq_tcp_is_idle (const struct mq_tcp *tcp);
/* Bytes of output that are buffered.  */
size_t mq_tcp_unsent_bytes (const struct mq_tcp *tcp);
/* Likewise with those in the kernel that the peer has not acknowledged.  */
size_t mq_tcp_unacknowledged_bytes (const struct mq_tcp *tcp);
/* Sends the buffered output, then shuts down; further input is discarded so
   that unread bytes do not cause a reset that loses the output.  The
   connection destroys itself when the peer closes, one second after the last
   byte was sent, or when the peer accepts nothing for five seconds.  */
void mq_tcp_finish (struct mq_tcp *tcp);
void mq_tcp_destroy (struct mq_tcp *tcp);
/* Resets the connection, so that the peer does not take a truncated response
   for a complete one.  */
void mq_tcp_abort (struct mq_tcp *tcp);

#endif
