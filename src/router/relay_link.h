/* relay_link.h - one connection between two routing hosts.

   Carries frames in both directions and ends when the other side is silent or
   sends an invalid frame.
   Needs: relay_frame.h, tevent.  */

#ifndef MQ_RELAY_LINK_H
#define MQ_RELAY_LINK_H

#include "relay_frame.h"
#include <tevent.h>

struct mq_relay_link;

/**
 * struct mq_relay_link_owner - callbacks of a link, which may destroy it
 * @frame: a frame was received; valid during the call only
 * @ended: the connection has ended; the owner must destroy the link
 * @user: passed to both callbacks
 */
struct mq_relay_link_owner
{
  void (*frame) (struct mq_relay_link *link,
                 const struct mq_relay_frame *frame, void *user);
  void (*ended) (struct mq_relay_link *link, void *user);
  void *user;
};

/* Connects to ADDRESS, "IP:PORT"; NULL with ERROR set if that fails
   at once.  */
struct mq_relay_link *mq_relay_link_open (
    TALLOC_CTX *ctx, struct tevent_context *ev, const char *address,
    const struct mq_relay_link_owner *owner, struct mq_error *error);
/* Takes ownership of FD, an accepted socket; NULL if out of memory.  */
struct mq_relay_link *
mq_relay_link_accept (TALLOC_CTX *ctx, struct tevent_context *ev, int fd,
                      const struct mq_relay_link_owner *owner);
/* Received bytes, or the established connection, have not been processed yet.
 */
bool mq_relay_link_has_unread (const struct mq_relay_link *link);
/* Sends a frame packed by mq_relay_frame_pack.  */
void mq_relay_link_send (struct mq_relay_link *link, struct mq_bytes bytes);
/* May be called from the owner's callbacks.  */
void mq_relay_link_destroy (struct mq_relay_link *link);

#endif
