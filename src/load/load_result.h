/* load_result.h - results of a run of mimosa-load and their formats.

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
 * @held_token_us: engines: token-time cached
 * @wasted_token_us: engines: part of @held_token_us that was never reused
 * @prefill_tokens: engines: prompt tokens computed
 * @engine_prompt_tokens: engines: prompt tokens of all requests
 * @gate_held_token_ms: gates: token-time cached in engines
 * @gate_wasted_token_ms: gates: part of @gate_held_token_ms never reused
 * @prompt_tokens: owners: prompt tokens of accepted answers
 * @recomputed_tokens: owners: part of @prompt_tokens computed again
 * @generated_tokens: gates: tokens generated
 * @commits: owners: transactions
 * @preempted: engines: preempted sequences
 * @repeated_effects: services: non-idempotent calls with a repeated key
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

/* Cache use of all engines at one time.  */
struct mq_load_sample
{
  double at_s; /* model time */
  uint64_t used_tokens;
  uint64_t total_tokens;
};

/**
 * struct mq_load_result - one run, or the sum of several runs
 * @label: argument of --label
 * @load: offered load as a share of the computed capacity
 * @per_second: sessions opened per second of model time
 * @time_scale: wall time per unit of model time
 * @seconds: model time during which sessions were opened
 * @runs: number of runs
 * @latency: latency of answered requests by class, microseconds of model time
 * @all: latency of all classes except batch and endless
 * @refused: refused requests that did not run, by error type
 * @failed: all other failed requests, by error type
 * @late: answers after their deadline
 * @resets: stream resets, each of which discards provisional text
 * @cut: streams without the complete answer before the final event
 * @batch_letters: answered letters of the batch
 * @batch_s: model time from the first letter's request to the last answer
 * @measures: increase of the site's counters during the run
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
/* Share of the cached token-time that was never reused, and share of the
   prompt tokens that were computed again.  */
double mq_load_wasted_share (const struct mq_load_result *result);
double mq_load_recomputed_share (const struct mq_load_result *result);
/* Adds FROM to TO.  The samples of TO stay unchanged.  */
void mq_load_result_add (struct mq_load_result *to,
                         const struct mq_load_result *from);

char *mq_load_result_text (TALLOC_CTX *ctx,
                           const struct mq_load_result *result);
char *mq_load_result_csv (TALLOC_CTX *ctx,
                          const struct mq_load_result *result);
/* Contains all fields, for mq_load_result_read.  */
char *mq_load_result_json (TALLOC_CTX *ctx,
                           const struct mq_load_result *result);
/* Parses the JSON of mq_load_result_json.  Returns NULL with MQ_ERR_BAD_JSON
   in ERROR if TEXT is invalid.  */
struct mq_load_result *mq_load_result_read (TALLOC_CTX *ctx, const char *text,
                                            struct mq_error *error);

#endif
