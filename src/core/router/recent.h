/* recent.h - mean of recent samples.

   Ring buffer of timestamped samples.  Pure: callers pass the time.
   Needs: types.h.  */

#ifndef MQ_RECENT_H
#define MQ_RECENT_H

#include "../types.h"

#define MQ_RECENT_SAMPLES 64U
/* Older samples are ignored.  Long enough for a host with few requests to have
   several.  */
#define MQ_RECENT_WINDOW_MS 1000U
/* Minimum number of samples; each missing one counts as 0, so that few samples
   give a low mean.  */
#define MQ_RECENT_MIN_SAMPLES 8U

/**
 * struct mq_recent_sample - one sample
 * @sampled_ms: time of the sample, 0 if the entry is unused
 * @worker: worker that the value belongs to
 */
struct mq_recent_sample
{
  uint64_t sampled_ms;
  uint32_t value;
  uint32_t worker;
};

/**
 * struct mq_recent - ring buffer, empty if all zero
 * @next: index of the oldest sample
 */
struct mq_recent
{
  struct mq_recent_sample values[MQ_RECENT_SAMPLES];
  uint32_t next;
};

void mq_recent_add (struct mq_recent *recent, uint32_t worker, uint32_t value,
                    uint64_t now_ms);
/* Returns the sample before which AGE others were newer, or NULL if there are
   fewer.  */
const struct mq_recent_sample *
mq_recent_newest (const struct mq_recent *recent, uint32_t age);
/* Returns 0 if there are no recent samples.  */
uint32_t mq_recent_mean (const struct mq_recent *recent, uint64_t now_ms);

#endif
