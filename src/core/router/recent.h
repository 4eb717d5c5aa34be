/* recent.h - the mean of what was seen lately.

   A ring of values with their times.  Pure: time is given.
   Needs: types.h.  */

#ifndef MQ_RECENT_H
#define MQ_RECENT_H

#include "../types.h"

#define MQ_RECENT_SAMPLES 64U
/* What was seen counts for so long: long enough for a host with few requests
   to have seen several.  */
#define MQ_RECENT_WINDOW_MS 1000U
/* Values that are needed to tell the mean; each that is missing counts as 0,
   since a host that saw little knows little.  */
#define MQ_RECENT_MIN_SAMPLES 8U

/**
 * struct mq_recent_sample - one value
 * @sampled_ms: when, 0: never
 * @value: what
 * @worker: whose it is, where that matters
 */
struct mq_recent_sample
{
  uint64_t sampled_ms;
  uint32_t value;
  uint32_t worker;
};

/**
 * struct mq_recent - the last values; all zero: none yet
 * @values: a ring
 * @next: the oldest of them
 */
struct mq_recent
{
  struct mq_recent_sample values[MQ_RECENT_SAMPLES];
  uint32_t next;
};

void mq_recent_add (struct mq_recent *recent, uint32_t worker, uint32_t value,
                    uint64_t now_ms);
/* 0 when nothing was seen lately.  */
uint32_t mq_recent_mean (const struct mq_recent *recent, uint64_t now_ms);

#endif
