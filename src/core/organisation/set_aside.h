/* set_aside.h - permits of a limit that programs in progress still need.

   Guards against programs refused over the limit after turns of theirs have
   run.  The unit of a limit is the request, the unit of use is the program: a
   program that begins needs permits for its later turns, calls and sub-agents.
   The issuer sets them aside, by what programs of the organisation used so
   far; first requests get what is left.

   One value per organisation, in the issuer's bucket.  Pure: callers pass the
   time.
   Needs: types.h.  */

#ifndef MQ_SET_ASIDE_H
#define MQ_SET_ASIDE_H

#include "../types.h"

/* Nothing is set aside for longer; a program that still runs then is served
   from what is left.  */
#define MQ_SET_ASIDE_MAX_MS 8000U
#define MQ_SET_ASIDE_SLOTS 16U

/**
 * struct mq_set_aside - permits set aside, empty if all zero
 * @slots: permits by the time at which the programs began, oldest overwritten
 * @slot: number of the current slot
 * @began: decayed count of programs that began, in thousandths
 * @needed: decayed count of their later permits, in thousandths
 * @counted_ms: time of the last decay
 */
struct mq_set_aside
{
  uint32_t slots[MQ_SET_ASIDE_SLOTS];
  uint64_t slot;
  uint64_t began;
  uint64_t needed;
  uint64_t counted_ms;
};

/* Later permits that a program needs by what programs used so far, in
   thousandths; 0 before any is known.  */
uint32_t mq_set_aside_per_program (const struct mq_set_aside *aside);
/* Permits set aside at NOW_MS.  */
uint32_t mq_set_aside_permits (const struct mq_set_aside *aside,
                               uint64_t now_ms);
/* Records that PROGRAMS began: sets aside what they need.  */
void mq_set_aside_begin (struct mq_set_aside *aside, uint32_t programs,
                         uint64_t now_ms);
/* Records that programs in progress used PERMITS, taken from the programs that
   began first.  */
void mq_set_aside_use (struct mq_set_aside *aside, uint32_t permits,
                       uint64_t now_ms);
/**
 * mq_set_aside_programs - programs that may begin
 * @aside: permits set aside
 * @level: permits in the bucket, in thousandths
 * @rate: refill of the bucket, thousandths of a permit per second
 * @now_ms: issuer's monotonic clock
 *
 * A program may begin if what is in the bucket and what refills it while the
 * program runs covers all that is set aside and the program itself.
 */
uint32_t mq_set_aside_programs (const struct mq_set_aside *aside,
                                uint64_t level, uint64_t rate,
                                uint64_t now_ms);

#endif
