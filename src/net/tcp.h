/* tcp.h - one TCP connection on the event loop.

   Bytes that come in are given to its owner at once; bytes that go out are
   written at once and kept only where the other side is slow.
   Needs: tevent, buffer.h, error.h.  */

#ifndef MQ_TCP_H
#define MQ_TCP_H

#include "core/error.h"
#include <tevent.h>

struct mq_tcp;

enum mq_tcp_end
{
  MQ_TCP_EOF,      /* the other side has finished sending */
  MQ_TCP_RESET,    /* broke off: reset, timed out or refused */
  MQ_TCP_NO_MEMORY /* unsent bytes are over the bound */
};

/**
 * struct mq_tcp_callbacks - who is told of a connection
 * @opened: a connection that was asked for is there; may be NULL
 * @data: bytes came in
 * @drained: unsent bytes fell below half of the bound after mq_tcp_write said
 *           that they were above it; may be NULL
 * @ended: nothing more comes; the owner is to destroy the connection
 * @user: given to all of them
 *
 * All are called from the event loop, never from within a call of this
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

/* Unsent bytes above which the owner should stop producing.  */
#define MQ_TCP_HIGH_BYTES ((size_t)128 << 10)
/* Unsent bytes above which the connection is given up.  */
#define MQ_TCP_MAX_BYTES ((size_t)8 << 20)

/* Takes over FD, an accepted socket.  NULL when memory is out; FD is then
   closed.  */
struct mq_tcp *mq_tcp_accept (TALLOC_CTX *ctx, struct tevent_context *ev,
                              int fd, const struct mq_tcp_callbacks *owner);
/* Connects to ADDRESS, "IP:PORT".  SILENT_MS: unacknowledged bytes, also the
   first ones, for so long end the connection.  NULL with ERROR set when it
   fails at once.  */
struct mq_tcp *mq_tcp_open (TALLOC_CTX *ctx, struct tevent_context *ev,
                            const char *address, uint32_t silent_ms,
                            const struct mq_tcp_callbacks *owner,
                            struct mq_error *error);
/* Ends the connection when the other side does not acknowledge for SILENT_MS,
   or does not answer probes for about three seconds.  */
void mq_tcp_set_peer_timeout (struct mq_tcp *tcp, uint32_t silent_ms);
/* True while unsent bytes are below MQ_TCP_HIGH_BYTES.  */
bool mq_tcp_write (struct mq_tcp *tcp, const void *data, size_t len);
/* Stops and starts reading; the end of a connection whose reading is stopped
   is noticed when it starts again.  */
void mq_tcp_set_reading (struct mq_tcp *tcp, bool on);
/* Bytes of the other side have arrived and were not read yet, or a connection
   that was asked for is there and was not looked at yet.  */
bool mq_tcp_has_unread (const struct mq_tcp *tcp);
/* Nothing of the other side has arrived that was not read: no bytes, and not
   the connection's end.  */
bool mq_tcp_is_idle (const struct mq_tcp *tcp);
/* Bytes wait for the other side to take some.  */
bool mq_tcp_has_unsent (const struct mq_tcp *tcp);
/* Sends what is unsent, then nothing more; what still comes in is dropped.
   The connection destroys itself when the other side ends, a second after the
   last byte went out, or when the other side takes nothing for five, so that
   an answer is not lost to a reset for bytes that were not read.  */
void mq_tcp_finish (struct mq_tcp *tcp);
/* Closes at once.  */
void mq_tcp_destroy (struct mq_tcp *tcp);
/* Resets the connection, so that the other side can't take what it got for a
   whole answer.  */
void mq_tcp_abort (struct mq_tcp *tcp);

#endif
