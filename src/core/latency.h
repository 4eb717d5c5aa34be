/* latency.h - program latency at an entry host, by service.

   docs/MEASURES.md defines it.  Every program that a caller waits for here
   is counted once, by how it ended; only answered ones have a latency.
   Follow-ups are apart from first answers.  Pure.
   Needs: histogram.h, error.h, talloc.  */

#ifndef MQ_LATENCY_H
#define MQ_LATENCY_H

#include "error.h"
#include "histogram.h"

struct mq_latency;

/**
 * struct mq_latency_series - one service's programs, first or follow-up
 * @service: name; empty for turns of programs that never got an answer here
 * @follow_up: further turns, and programs that continue an ended one
 * @answered: microseconds from the request to its final event
 * @failed: ended without an answer after they had (perhaps) run
 * @refused: ended without an answer, certainly not run
 * @gone: the caller went away before the end
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
/* The series of SERVICE; at most MQ_LATENCY_SERIES_MAX, further services
   share the one with the empty name.  */
struct mq_latency_series *mq_latency_find (struct mq_latency *latency,
                                           const char *service,
                                           bool follow_up);
size_t mq_latency_count (const struct mq_latency *latency);
const struct mq_latency_series *
mq_latency_at (const struct mq_latency *latency, size_t index);

#endif
