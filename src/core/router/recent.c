/* recent.c - mean of recent samples.

   Needs: recent.h.  */

#include "recent.h"

void
mq_recent_add (struct mq_recent *recent, uint32_t worker, uint32_t value,
               uint64_t now_ms)
{
  recent->values[recent->next]
      = (struct mq_recent_sample){ now_ms, value, worker };
  recent->next = (recent->next + 1) % MQ_RECENT_SAMPLES;
}

const struct mq_recent_sample *
mq_recent_newest (const struct mq_recent *recent, uint32_t age)
{
  const struct mq_recent_sample *sample;

  if (age >= MQ_RECENT_SAMPLES)
    return NULL;
  sample = &recent->values[(recent->next + MQ_RECENT_SAMPLES - 1 - age)
                           % MQ_RECENT_SAMPLES];
  return sample->sampled_ms == 0 ? NULL : sample;
}

uint32_t
mq_recent_mean (const struct mq_recent *recent, uint64_t now_ms)
{
  uint64_t sum = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < MQ_RECENT_SAMPLES; i++)
    {
      const struct mq_recent_sample *value = &recent->values[i];

      if (value->sampled_ms == 0
          || now_ms - value->sampled_ms >= MQ_RECENT_WINDOW_MS)
        continue;
      sum += value->value;
      count++;
    }
  if (count < MQ_RECENT_MIN_SAMPLES)
    count = MQ_RECENT_MIN_SAMPLES;
  return (uint32_t)(sum / count);
}
