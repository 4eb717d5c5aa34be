/* histogram.c - log-linear histogram.

   Needs: histogram.h.  */

#include "histogram.h"

enum
{
  STEP_BITS = 5 /* MQ_HISTOGRAM_STEPS = 2^STEP_BITS */
};

static uint32_t
find_bucket (uint64_t value)
{
  uint32_t shift;
  uint64_t bucket;

  if (value < MQ_HISTOGRAM_STEPS)
    return (uint32_t)value;
  shift = 63U - (uint32_t)__builtin_clzll (value) - STEP_BITS;
  bucket = (uint64_t)shift * MQ_HISTOGRAM_STEPS + (value >> shift);
  return bucket < MQ_HISTOGRAM_BUCKETS ? (uint32_t)bucket
                                       : MQ_HISTOGRAM_BUCKETS - 1;
}

/* Largest value in BUCKET.  */
static uint64_t
bucket_end (uint32_t bucket)
{
  uint32_t shift;
  uint64_t step;

  if (bucket < MQ_HISTOGRAM_STEPS)
    return bucket;
  shift = bucket / MQ_HISTOGRAM_STEPS - 1;
  step = bucket % MQ_HISTOGRAM_STEPS + MQ_HISTOGRAM_STEPS;
  return ((step + 1) << shift) - 1;
}

static uint64_t
bucket_middle (uint32_t bucket)
{
  if (bucket < MQ_HISTOGRAM_STEPS)
    return bucket;
  return bucket_end (bucket)
         - ((1ULL << (bucket / MQ_HISTOGRAM_STEPS - 1)) - 1) / 2;
}

void
mq_histogram_add (struct mq_histogram *histogram, uint64_t value)
{
  histogram->count++;
  histogram->sum += value;
  if (value > histogram->max)
    histogram->max = value;
  histogram->buckets[find_bucket (value)]++;
}

void
mq_histogram_merge (struct mq_histogram *to, const struct mq_histogram *from)
{
  to->count += from->count;
  to->sum += from->sum;
  if (from->max > to->max)
    to->max = from->max;
  for (uint32_t i = 0; i < MQ_HISTOGRAM_BUCKETS; i++)
    to->buckets[i] += from->buckets[i];
}

uint64_t
mq_histogram_quantile (const struct mq_histogram *histogram, uint32_t permille)
{
  uint64_t rank = (histogram->count * permille + 999) / 1000;
  uint64_t below = 0;

  for (uint32_t i = 0; i < MQ_HISTOGRAM_BUCKETS && histogram->count > 0; i++)
    {
      uint64_t middle = bucket_middle (i);

      below += histogram->buckets[i];
      if (below >= rank && below > 0)
        return middle < histogram->max ? middle : histogram->max;
    }
  return histogram->max;
}

uint64_t
mq_histogram_count_to (const struct mq_histogram *histogram, uint64_t bound)
{
  uint64_t count = 0;

  for (uint32_t i = 0; i < MQ_HISTOGRAM_BUCKETS; i++)
    {
      if (bucket_end (i) > bound)
        break;
      count += histogram->buckets[i];
    }
  return count;
}
