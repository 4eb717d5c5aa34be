/* load_result.h - what a run of mimosa-load measured, and its forms.

   Needs: histogram.h, load_plan.h, load_check.h, jansson.  */

#ifndef MQ_LOAD_RESULT_H
#define MQ_LOAD_RESULT_H

#include "core/error.h"
#include "core/histogram.h"
#include "load_check.h"
#include "load_plan.h"

#define MQ_LOAD_LABEL_MAX 64U
#define MQ_LOAD_SAMPLES_MAX 4096U

/**
 * struct mq_load_measures - counters of a site, summed over its processes
 * @held_token_us: engines: token-time of cache held
 * @wasted_token_us: engines: of it, idle time that ended without reuse
 * @prefill_tokens: engines: prompt tokens computed
 * @engine_prompt_tokens: engines: prompt tokens of what they ran
 * @gate_held_token_ms: the gates' own figure of what engines held
 * @gate_wasted_token_ms: the gates' own figure of what was wasted
 * @prompt_tokens: owners: prompt tokens of accepted answers
 * @recomputed_tokens: owners: of them, computed again
 * @generated_tokens: gates: tokens generated
 * @commits: owners: transactions
 * @preempted: engines: sequences that lost their memory
 * @repeated_effects: calls that may not be repeated, with a repeated key
 */
#define MQ_LOAD_MEASURE_LIST(X)                                               \
  X (held_token_us)                                                           \
  X (wasted_token_us)                                                         \
  X (prefill_tokens)                                                          \
  X (engine_prompt_tokens)                                                    \
  X (gate_held_token_ms)                                                      \
  X (gate_wasted_token_ms)                                                    \
  X (prompt_tokens)                                                           \
  X (recomputed_tokens)                                                       \
  X (generated_tokens)                                                        \
  X (commits)                                                                 \
  X (preempted)                                                               \
  X (repeated_effects)

struct mq_load_measures
{
#define MQ_LOAD_FIELD(name) uint64_t name;
  MQ_LOAD_MEASURE_LIST (MQ_LOAD_FIELD)
#undef MQ_LOAD_FIELD
};

/* Engines' cache in use at a moment of the run.  */
struct mq_load_sample
{
  double at_s; /* model time */
  uint64_t used_tokens;
  uint64_t total_tokens;
};

/**
 * struct mq_load_result - one run, or several runs added up
 * @label: what was measured, as given with --label
 * @workload: name of the workload
 * @load: share of the computed capacity that was offered
 * @per_second: sessions opened in a second of model time
 * @time_scale: wall time for a unit of model time
 * @seconds: model time in which sessions were opened
 * @runs: runs added up
 * @latency: of answered requests by class, in microseconds of model time
 * @all: of all classes but batch and endless
 * @refused: by type, certainly not run
 * @failed: by type, all others
 * @late: answers that came after their deadline
 * @violations: by type
 * @resets: streams whose text was declared void
 * @cut: streams that gave less than the answer before the final event
 * @batch_letters: letters of the batch that were answered
 * @batch_s: model time from the first letter's request to the last answer
 * @measures: what the run added to the site's counters
 */
struct mq_load_result
{
  char label[MQ_LOAD_LABEL_MAX];
  char workload[MQ_LOAD_LABEL_MAX];
  double load;
  double per_second;
  double time_scale;
  double seconds;
  uint32_t runs;
  struct mq_histogram latency[MQ_LOAD_CLASSES];
  struct mq_histogram all;
  uint64_t refused[MQ_ERR_COUNT];
  uint64_t failed[MQ_ERR_COUNT];
  uint64_t late;
  uint64_t violations[MQ_LOAD_VIOLATIONS];
  uint64_t resets;
  uint64_t cut;
  uint64_t batch_letters;
  double batch_s;
  struct mq_load_measures measures;
  struct mq_load_sample samples[MQ_LOAD_SAMPLES_MAX];
  size_t sample_count;
};

uint64_t mq_load_sum_violations (const struct mq_load_result *result);
/* Wasted cache as a share of what was held; recomputed share of prompts.  */
double mq_load_wasted_share (const struct mq_load_result *result);
double mq_load_recomputed_share (const struct mq_load_result *result);
/* Adds FROM to TO, but for the samples, which stay those of the first.  */
void mq_load_result_add (struct mq_load_result *to,
                         const struct mq_load_result *from);

char *mq_load_result_text (TALLOC_CTX *ctx,
                           const struct mq_load_result *result);
char *mq_load_result_csv (TALLOC_CTX *ctx,
                          const struct mq_load_result *result);
/* Whole, histograms included, so that mq_load_result_read gives it back.  */
char *mq_load_result_json (TALLOC_CTX *ctx,
                           const struct mq_load_result *result);
/* NULL with BAD_JSON when TEXT is not of this form.  */
struct mq_load_result *mq_load_result_read (TALLOC_CTX *ctx, const char *text,
                                            struct mq_error *error);

#endif
