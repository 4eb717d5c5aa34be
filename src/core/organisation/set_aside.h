/* set_aside.h - permits set aside for programs that have begun.

   Guards against programs that are refused over their organisation's limit
   after turns of theirs have run, and against permits that nobody uses.

   A calendar of what begun programs are expected to need, by the time at which
   they need it.  A further program may begin while the sum is at most what the
   bucket holds and, in proportion to its level, a part of what it is filled
   with while programs live: so programs begin as fast as the bucket fills, and
   not in waves.  What is used is removed, earliest first; what is not used is
   given up MQ_SET_ASIDE_PAST_MS after its time.  The calendar only holds back
   first requests: it grants nothing that the bucket does not hold.

   Pure: callers pass the time.
   Needs: program_need.h.  */

#ifndef MQ_SET_ASIDE_H
#define MQ_SET_ASIDE_H

#include "program_need.h"

#define MQ_SET_ASIDE_SLOT_MS 250U
#define MQ_SET_ASIDE_AHEAD (MQ_PROGRAM_NEED_LIFE_MAX_MS / MQ_SET_ASIDE_SLOT_MS)
#define MQ_SET_ASIDE_PAST 12U
#define MQ_SET_ASIDE_SLOTS (MQ_SET_ASIDE_AHEAD + MQ_SET_ASIDE_PAST)
#define MQ_SET_ASIDE_PAST_MS (MQ_SET_ASIDE_PAST * MQ_SET_ASIDE_SLOT_MS)

/**
 * struct mq_set_aside - permits set aside of one bucket, empty if all zero
 * @due: thousandths of a permit by the time slot in which they are needed,
 *       modulo MQ_SET_ASIDE_SLOTS
 * @slot: current time slot
 * @life_ms: mean time in which the programs that began make their requests
 * @used: thousandths of a permit that begun programs used recently
 * @given_up: thousandths that were given up meanwhile
 */
struct mq_set_aside
{
  uint32_t due[MQ_SET_ASIDE_SLOTS];
  uint64_t slot;
  uint32_t life_ms;
  uint64_t used;
  uint64_t given_up;
};

/**
 * struct mq_set_aside_bucket - the token bucket that must cover the calendar
 * @level: millionths of a permit
 * @rate: thousandths of a permit per second
 * @depth: highest level
 * @margin: level to be kept, for programs that need more than the mean
 */
struct mq_set_aside_bucket
{
  uint64_t level;
  uint64_t rate;
  uint64_t depth;
  uint64_t margin;
};

/* Sets aside what COUNT programs that begin now need; less where much of what
   was set aside was given up.  */
void mq_set_aside_add (struct mq_set_aside *aside,
                       const struct mq_program_need *need, uint32_t count,
                       uint64_t now_ms);
/* Removes COUNT permits that begun programs have used.  */
void mq_set_aside_use (struct mq_set_aside *aside, uint32_t count,
                       uint64_t now_ms);
/* Thousandths of a permit that are set aside.  */
uint64_t mq_set_aside_total (struct mq_set_aside *aside, uint64_t now_ms);
/* Whether a program with NEED may begin.  */
bool mq_set_aside_fits (struct mq_set_aside *aside,
                        const struct mq_set_aside_bucket *bucket,
                        const struct mq_program_need *need, uint64_t now_ms);
/* Whole permits that BUCKET can spare now.  */
uint64_t mq_set_aside_spare (struct mq_set_aside *aside,
                             const struct mq_set_aside_bucket *bucket,
                             uint64_t now_ms);

#endif
