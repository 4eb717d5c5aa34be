/* latency.h - per-service program latency at an entry host.

   Defined in docs/MEASURES.md.  Each program that a caller waits for on this
   host is counted once by outcome; only answered programs have a latency.
   Follow-up turns are counted separately from first answers.
   Needs: histogram.h, error.h, talloc.  */

#ifndef MQ_LATENCY_H
#define MQ_LATENCY_H

#include "error.h"
#include "histogram.h"

struct mq_latency;

/**
 * struct mq_latency_series - one service's programs, first or follow-up
 * @service: service name; empty if unknown, or if the table is full
 * @follow_up: further turns, and programs that continue an ended one
 * @answered: microseconds from the request to the final event
 * @failed: no answer, and the program ran or may have run
 * @refused: no answer, and the program did not run
 * @gone: the caller disconnected before the end
 */
struct mq_latency_series
{
  const char *service;
  bool follow_up;
  struct mq_histogram answered;
  uint64_t failed;
  uint64_t refused;
  uint64_t gone;
};

struct mq_latency *mq_latency_create (TALLOC_CTX *ctx);
/* Finds or adds the series of SERVICE.  When MQ_LATENCY_SERIES_MAX is
   reached, further services share the one with the empty name.  */
struct mq_latency_series *mq_latency_find (struct mq_latency *latency,
                                           const char *service,
                                           bool follow_up);
size_t mq_latency_count (const struct mq_latency *latency);
const struct mq_latency_series *
mq_latency_at (const struct mq_latency *latency, size_t index);

#endif
