/* histogram.h - counts of values in buckets whose width grows with the value.

   Each power of two is cut into MQ_HISTOGRAM_STEPS equal buckets; values
   below MQ_HISTOGRAM_STEPS have one each.  A quantile is given as the middle
   of its bucket, which is off by at most 1 part in 2 * MQ_HISTOGRAM_STEPS
   (1.6%).  Histograms of several processes can be added up, quantiles
   can't.  Pure; a fixed size, whatever comes in.
   Needs: types.h.  */

#ifndef MQ_HISTOGRAM_H
#define MQ_HISTOGRAM_H

#include "types.h"

#define MQ_HISTOGRAM_STEPS 32U
#define MQ_HISTOGRAM_BUCKETS 1216U /* values up to 2^42 */

/**
 * struct mq_histogram - zero-initialised when empty
 * @count: values added
 * @sum: their sum
 * @max: greatest of them
 * @buckets: how many fell into each; greater values are in the last
 */
struct mq_histogram
{
  uint64_t count;
  uint64_t sum;
  uint64_t max;
  uint32_t buckets[MQ_HISTOGRAM_BUCKETS];
};

void mq_histogram_add (struct mq_histogram *histogram, uint64_t value);
void mq_histogram_merge (struct mq_histogram *to,
                         const struct mq_histogram *from);
/* Value below which PERMILLE of 1000 lie (nearest rank), 0 when empty, and
   never above the greatest value added.  */
uint64_t mq_histogram_quantile (const struct mq_histogram *histogram,
                                uint32_t permille);
/* How many values are certainly not above BOUND: the buckets that lie below
   it as a whole.  Exact for a BOUND one below a power of two.  */
uint64_t mq_histogram_count_to (const struct mq_histogram *histogram,
                                uint64_t bound);

#endif
