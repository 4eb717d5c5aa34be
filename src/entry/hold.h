/* hold.h - requests that wait for the configuration they were sent under.

   A host that already holds version 8 forwards a request for a service that
   is new in it; the receiver still holds version 7 and would refuse it as
   not found.  So requests that show a higher version wait until it is in
   force here, or a bound has passed, and are handed on in their order.
   Needs: message.h.  */

#ifndef MQ_HOLD_H
#define MQ_HOLD_H

#include "core/message.h"

struct mq_config_wait;

typedef void mq_config_wait_deliver (uint32_t peer,
                                     const struct mq_message *message,
                                     void *user);

struct mq_config_wait *mq_config_wait_create (TALLOC_CTX *ctx);
/* Keeps a copy of MESSAGE and is true when it has to wait: VERSION is lower
   than its own, or an earlier one of PEER waits.  False when it can be
   handed on at once, also when too many wait.  */
bool mq_config_wait_add (struct mq_config_wait *hold, uint64_t now_us,
                         uint64_t version, uint32_t peer,
                         const struct mq_message *message);
/* Hands on, by OUT, what need not wait longer.  */
void mq_config_wait_release (struct mq_config_wait *hold, uint64_t now_us,
                             uint64_t version, mq_config_wait_deliver *out,
                             void *user);
/* Forgets what PEER sent.  */
void mq_config_wait_drop_peer (struct mq_config_wait *hold, uint32_t peer);
/* When mq_config_wait_release is due, UINT64_MAX when nothing waits.  */
uint64_t mq_config_wait_next (const struct mq_config_wait *hold);

#endif
