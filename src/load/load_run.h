/* load_run.h - callers of a workload against a running site.

   Open loop: sessions are opened when their time comes, however late the
   answers to the earlier ones are, and latency counts from that time.  The
   letters of the batch are a closed loop: so many at a time.
   Needs: load_plan.h, load_result.h, load_probe.h, tevent.  */

#ifndef MQ_LOAD_RUN_H
#define MQ_LOAD_RUN_H

#include "load_plan.h"
#include "load_probe.h"
#include "load_result.h"
#include <tevent.h>

/**
 * struct mq_load_run_options - one run
 * @site: processes under test
 * @plan: what callers do
 * @seconds: wall time in which sessions are opened
 * @drain_seconds: wall time after which what is under way is given up
 * @time_scale: wall time for a unit of model time
 * @letters: of the batch
 * @letters_concurrent: of these
 * @check_every: each so many programs' history is read and checked, 0: none
 * @tag: part of idempotency keys, so that runs do not share programs
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

/* Runs to the end and fills the latencies, refusals, violations and samples
   of RESULT.  False when nothing could be started, with the error.  */
bool mq_load_run (TALLOC_CTX *ctx, const struct mq_load_run_options *options,
                  struct mq_load_result *result, struct mq_error *error);

#endif
