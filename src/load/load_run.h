/* load_run.h - runs a workload against a site.

   Sessions form an open loop: each is opened at its planned time, whether or
   not earlier ones have been answered, and latency counts from that time.  The
   batch letters form a closed loop with a fixed concurrency.
   Needs: load_plan.h, load_result.h, load_probe.h, tevent.  */

#ifndef MQ_LOAD_RUN_H
#define MQ_LOAD_RUN_H

#include "load_plan.h"
#include "load_probe.h"
#include "load_result.h"
#include <tevent.h>

/**
 * struct mq_load_run_options - parameters of a run
 * @site: processes under test
 * @seconds: wall time during which sessions are opened
 * @drain_seconds: wall time to wait for outstanding requests afterwards
 * @time_scale: wall time per unit of model time
 * @letters: number of batch letters
 * @letters_concurrent: batch letters in flight at a time
 * @check_every: check the history of one in so many programs; 0 for none
 * @tag: prefix of idempotency keys, unique to the run
 */
struct mq_load_run_options
{
  const struct mq_load_site *site;
  struct mq_load_options plan;
  double seconds;
  double drain_seconds;
  double time_scale;
  uint64_t letters;
  uint32_t letters_concurrent;
  uint32_t check_every;
  const char *tag;
};

/* Runs to completion and fills the latencies, errors, violations and samples
   of RESULT.  Returns false with ERROR if the run could not start.  */
bool mq_load_run (TALLOC_CTX *ctx, const struct mq_load_run_options *options,
                  struct mq_load_result *result, struct mq_error *error);

#endif
