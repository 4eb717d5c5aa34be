/* returns.h - programs that were refused lately, and when they may return.

   Guards against refusals that do not hold.  A refused program comes back soon
   and reaches another host as a rule, where the load looks a little lower, or
   the bound a little higher.  After a few tries nearly every program is
   admitted, with less time left than those that came first, and most of them
   are late.  A program that was refused is therefore known for a while, at
   this host and at those that this one tells (mq_relay_tell_refused), and
   admitted only at a load at which it ends in the time that it still has
   (admission.h).

   Pure: callers pass the time.
   Needs: types.h.  */

#ifndef MQ_RETURNS_H
#define MQ_RETURNS_H

#include "../types.h"

struct mq_returns;

/* Time for which a refused program is known: callers try again for a few
   seconds.  */
#define MQ_RETURNS_KNOWN_MS 5000U
/* Delays after which refused programs may return.  */
#define MQ_RETURNS_MIN_MS 100U
#define MQ_RETURNS_MAX_MS 400U

/* Returns NULL if out of memory.  */
struct mq_returns *mq_returns_create (TALLOC_CTX *ctx);
void mq_returns_destroy (struct mq_returns *returns);
/* Remembers that PROGRAM, the hash of a program's id, was refused.  */
void mq_returns_record (struct mq_returns *returns, uint64_t program,
                        uint64_t now_ms);
/* Time since PROGRAM was refused first, 1 ms at least; 0 if it was not refused
   within MQ_RETURNS_KNOWN_MS.  */
uint32_t mq_returns_lost_ms (const struct mq_returns *returns,
                             uint64_t program, uint64_t now_ms);
/* Delay after which the refused PROGRAM may return, spread by its hash between
   MQ_RETURNS_MIN_MS and MQ_RETURNS_MAX_MS.  */
uint32_t mq_returns_delay_ms (uint64_t program);

#endif
