/* relay_link.h - one connection between two routing hosts.

   Carries frames either way and ends when the other side is silent or sends
   what is no frame.
   Needs: relay_frame.h, tevent.  */

#ifndef MQ_RELAY_LINK_H
#define MQ_RELAY_LINK_H

#include "relay_frame.h"
#include <tevent.h>

struct mq_relay_link;

/**
 * struct mq_relay_link_owner - who is told of a link
 * @frame: a frame came in; valid in the call alone
 * @ended: nothing more comes; the owner is to destroy the link
 * @user: given to both
 *
 * Each may destroy the link.
 */
struct mq_relay_link_owner
{
  void (*frame) (struct mq_relay_link *link,
                 const struct mq_relay_frame *frame, void *user);
  void (*ended) (struct mq_relay_link *link, void *user);
  void *user;
};

/* Connects to ADDRESS, "IP:PORT"; NULL with ERROR set when it fails at
   once.  */
struct mq_relay_link *mq_relay_link_open (
    TALLOC_CTX *ctx, struct tevent_context *ev, const char *address,
    const struct mq_relay_link_owner *owner, struct mq_error *error);
/* Takes over FD, an accepted socket; NULL when memory is out.  */
struct mq_relay_link *
mq_relay_link_accept (TALLOC_CTX *ctx, struct tevent_context *ev, int fd,
                      const struct mq_relay_link_owner *owner);
/* Something of the other side has arrived, bytes or the connection itself,
   that was not looked at yet.  */
bool mq_relay_link_has_unread (const struct mq_relay_link *link);
/* Sends bytes of mq_relay_frame_pack.  */
void mq_relay_link_send (struct mq_relay_link *link, struct mq_bytes bytes);
/* May be called from within the owner's functions.  */
void mq_relay_link_destroy (struct mq_relay_link *link);

#endif
