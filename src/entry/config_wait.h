/* config_wait.h - queue of forwarded requests that wait for a newer
   configuration.

   A forwarded request may name a service that exists only in the sender's
   newer configuration, and would be refused as not found.  Requests sent
   under a newer version are queued until that version is active here or a
   timeout has passed, and are then delivered in order.
   Needs: message.h.  */

#ifndef MQ_CONFIG_WAIT_H
#define MQ_CONFIG_WAIT_H

#include "core/message.h"

struct mq_config_wait;

typedef void mq_config_wait_deliver (uint32_t peer,
                                     const struct mq_message *message,
                                     void *user);

struct mq_config_wait *mq_config_wait_create (TALLOC_CTX *ctx);
/* Queues a copy of MESSAGE and returns true if VERSION, the active one, is
   lower than the message's, or if an earlier message of PEER is queued.
   Returns false if the message is to be delivered at once, which includes a
   full queue.  */
bool mq_config_wait_add (struct mq_config_wait *queue, uint64_t now_us,
                         uint64_t version, uint32_t peer,
                         const struct mq_message *message);
/* Delivers, through OUT, the messages whose wait has ended.  */
void mq_config_wait_release (struct mq_config_wait *queue, uint64_t now_us,
                             uint64_t version, mq_config_wait_deliver *out,
                             void *user);
/* Drops the queued messages of PEER.  */
void mq_config_wait_drop_peer (struct mq_config_wait *queue, uint32_t peer);
/* Time at which mq_config_wait_release is due, in microseconds; UINT64_MAX if
   the queue is empty.  */
uint64_t mq_config_wait_next (const struct mq_config_wait *queue);

#endif
