/* hold.h - requests that wait for the configuration they were sent under.

   A host that already holds version 8 forwards a request for a service that
   is new in it; the receiver still holds version 7 and would refuse it as
   not found.  So requests that show a higher version wait until it is in
   force here, or a bound has passed, and are handed on in their order.
   Needs: message.h.  */

#ifndef MQ_HOLD_H
#define MQ_HOLD_H

#include "core/message.h"

struct mq_hold;

typedef void mq_hold_out (uint32_t peer, const struct mq_message *message,
                          void *user);

struct mq_hold *mq_hold_create (TALLOC_CTX *ctx);
/* Keeps a copy of MESSAGE and is true when it has to wait: VERSION is lower
   than its own, or an earlier one of PEER waits.  False when it can be
   handed on at once, also when too many wait.  */
bool mq_hold_take (struct mq_hold *hold, uint64_t now_us, uint64_t version,
                   uint32_t peer, const struct mq_message *message);
/* Hands on, by OUT, what need not wait longer.  */
void mq_hold_release (struct mq_hold *hold, uint64_t now_us, uint64_t version,
                      mq_hold_out *out, void *user);
/* Forgets what PEER sent.  */
void mq_hold_forget (struct mq_hold *hold, uint32_t peer);
/* When mq_hold_release is due, UINT64_MAX when nothing waits.  */
uint64_t mq_hold_next (const struct mq_hold *hold);

#endif
