/* histogram.h - log-linear histogram of fixed size.

   Each power of two is divided into MQ_HISTOGRAM_STEPS equal buckets; values
   below MQ_HISTOGRAM_STEPS have one bucket each.  A quantile is the midpoint
   of its bucket; the relative error is at most 1 / (2 * MQ_HISTOGRAM_STEPS).
   Histograms can be merged across processes; quantiles cannot.
   Needs: types.h.  */

#ifndef MQ_HISTOGRAM_H
#define MQ_HISTOGRAM_H

#include "types.h"

#define MQ_HISTOGRAM_STEPS 32U
#define MQ_HISTOGRAM_BUCKETS 1216U /* values up to 2^42 */

/**
 * struct mq_histogram - all zero when empty
 * @count: number of values
 * @sum: sum of the values
 * @max: largest value
 * @buckets: count per bucket; the last also holds larger values
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
/* Quantile by nearest rank, capped at the largest value; 0 if empty.
   PERMILLE: 500 for the median.  */
uint64_t mq_histogram_quantile (const struct mq_histogram *histogram,
                                uint32_t permille);
/* Number of values in buckets that lie entirely at or below BOUND.  Exact if
   BOUND is a power of two minus one.  */
uint64_t mq_histogram_count_to (const struct mq_histogram *histogram,
                                uint64_t bound);

#endif
