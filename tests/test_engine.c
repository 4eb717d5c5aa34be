/* test_engine.c - performance model and scripted answers of the stand-in
   engine, in virtual time.

   Needs: Criterion, engine_model.h, engine_plan.h.  */

#include "../standins/engine_model.h"
#include "../standins/engine_plan.h"
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TAGS = 64,
  BLOCK = MQ_KV_BLOCK_TOKENS,
  ADVANCES_MAX = 2000000
};

#define COUNT(table) (sizeof (table) / sizeof (table)[0])

/* Observed progress of a sequence or job.  */
struct seen
{
  uint64_t handle;
  uint64_t first_us;
  uint64_t done_us;
  uint32_t generated;
  uint32_t cached;
  uint32_t preempted;
  uint32_t transferred;
  bool done;
};

struct bench
{
  struct mq_engine *engine;
  uint64_t now_us;
  struct seen seen[TAGS];
  struct mq_kv_label *labels; /* of the last export */
  size_t label_count;
};

static struct mq_engine_params
small_params (uint32_t blocks, uint32_t slots)
{
  struct mq_engine_params params;

  mq_engine_params_default (&params);
  params.cache_tokens = blocks * BLOCK;
  params.slots = slots;
  params.watermark_percent = 0;
  params.event_gap_permille = 0;
  return params;
}

static struct bench *
bench_create (const struct mq_engine_params *params)
{
  struct bench *bench = talloc_zero (NULL, struct bench);

  bench->engine = mq_engine_create (bench, params);
  return bench;
}

static struct mq_id
program_id (uint64_t number)
{
  struct mq_id id = { number, number };

  return id;
}

/* Text of PREFIX tokens generated from PREFIX_SEED and TOKENS from SEED.  */
static char *
make_text (TALLOC_CTX *ctx, uint64_t prefix_seed, uint32_t prefix,
           uint64_t seed, uint32_t tokens)
{
  size_t len = (size_t)(prefix + tokens) * MQ_PLAN_TOKEN_BYTES;
  char *text = talloc_zero_array (ctx, char, len + 1);

  for (size_t i = 0; i < len; i++)
    {
      uint64_t *state
          = i < (size_t)prefix * MQ_PLAN_TOKEN_BYTES ? &prefix_seed : &seed;

      text[i] = (char)('a' + mq_random_below (state, 26));
    }
  return text;
}

/**
 * struct ask - parameters of a request
 * @program: program number
 * @service: tokens of the common service prefix
 * @prompt: tokens after the prefix
 * @seed: seed of the prompt; equal seeds give common prefixes
 * @output: tokens to generate
 */
struct ask
{
  uint64_t tag;
  uint64_t program;
  enum mq_priority priority;
  uint32_t service;
  uint32_t prompt;
  uint64_t seed;
  uint32_t output;
};

static uint64_t
ask_engine (struct bench *bench, const struct ask *ask, struct mq_error *error)
{
  char *text = make_text (bench, 1, ask->service, ask->seed + 100,
                          ask->prompt + ask->output);
  struct mq_engine_request request
      = { .tag = ask->tag,
          .program = program_id (ask->program),
          .priority = ask->priority,
          .prompt_tokens = ask->service + ask->prompt,
          .shared_tokens = ask->service,
          .output_tokens = ask->output };
  uint64_t handle;

  request.hashes
      = mq_engine_hash_text (bench, text, strlen (text), &request.hash_count);
  handle = mq_engine_submit (bench->engine, bench->now_us, &request, error);
  if (ask->tag < TAGS)
    bench->seen[ask->tag].handle = handle;
  talloc_free (text);
  return handle;
}

static void
submit (struct bench *bench, const struct ask *ask)
{
  struct mq_error error;

  cr_assert (ask_engine (bench, ask, &error) != 0, "tag %d: %s", (int)ask->tag,
             mq_error_name (error.type));
}

static void
process_events (struct bench *bench)
{
  struct mq_engine_event event;

  while (mq_engine_next_event (bench->engine, &event))
    {
      struct seen *seen = &bench->seen[event.tag % TAGS];

      if (event.type == MQ_ENGINE_TOKEN && seen->first_us == 0)
        seen->first_us = event.at_us;
      if (event.type == MQ_ENGINE_TOKEN)
        cr_assert_eq (event.generated, seen->generated + 1);
      if (event.type == MQ_ENGINE_PREEMPTED)
        seen->preempted++;
      else
        {
          seen->generated = event.generated;
          seen->cached = event.cached_tokens;
          seen->transferred = event.transferred;
          seen->done_us = event.at_us;
          seen->done = event.type != MQ_ENGINE_TOKEN;
        }
      if (event.type == MQ_ENGINE_EXPORTED)
        {
          bench->labels
              = talloc_memdup (bench, event.labels,
                               event.label_count * sizeof event.labels[0] + 1);
          bench->label_count = event.label_count;
        }
    }
}

/* Runs up to UNTIL_US, or until idle with MQ_ENGINE_NEVER.  */
static void
run_until (struct bench *bench, uint64_t until_us)
{
  uint64_t next;

  for (int i = 0; (next = mq_engine_next_us (bench->engine)) <= until_us
                  && next != MQ_ENGINE_NEVER;
       i++)
    {
      cr_assert (i < ADVANCES_MAX, "the engine does not become idle");
      bench->now_us = next > bench->now_us ? next : bench->now_us;
      mq_engine_advance (bench->engine, bench->now_us);
      process_events (bench);
    }
  if (until_us == MQ_ENGINE_NEVER)
    return;
  bench->now_us = until_us;
  mq_engine_advance (bench->engine, until_us);
  process_events (bench);
}

static void
run_request (struct bench *bench, const struct ask *ask)
{
  submit (bench, ask);
  run_until (bench, MQ_ENGINE_NEVER);
  cr_assert (bench->seen[ask->tag].done);
  cr_assert_eq (bench->seen[ask->tag].generated, ask->output);
}

static uint32_t
held_by (const struct bench *bench, uint64_t program)
{
  size_t count;
  uint32_t tokens = 0;
  struct mq_kv_held *held
      = mq_kv_held (NULL, mq_engine_kv (bench->engine), &count);

  for (size_t i = 0; i < count; i++)
    if (mq_id_equal (held[i].program, program_id (program)))
      tokens += held[i].tokens;
  talloc_free (held);
  return tokens;
}

static const struct mq_kv_counters *
kv_counters (struct bench *bench)
{
  mq_engine_read_counters (bench->engine, bench->now_us);
  return mq_kv_read_counters (mq_engine_kv (bench->engine));
}

/* step = base + per_sequence * batch + prefill_per_token * prefill  */
Test (engine, formulas)
{
  static const struct
  {
    uint32_t
        sequences; /* submitted at the same time, without a common prefix */
    uint32_t prompt;
    uint32_t output;
    double time_scale;
    uint64_t first_us; /* of the last sequence */
    uint64_t done_us;  /* of the last sequence */
  } cases[] = {
    { 1, 100, 1, 1, 20650, 20650 },
    { 1, 100, 10, 1, 20650, 20650 + 9 * 8150 },
    { 1, 100, 10, 0.5, 10325, 10325 + 9 * 4075 },
    { 1, 2048, 1, 1, 8150 + 2048 * 125, 8150 + 2048 * 125 },
    /* chunks of 2048, 2048 and 904 */
    { 1, 5000, 2, 1, 3 * 8150 + 5000 * 125, 4 * 8150 + 5000 * 125 },
    { 2, 100, 5, 1, 8300 + 200 * 125, 8300 + 200 * 125 + 4 * 8300 },
    /* the second gets 48 tokens of the first step and the rest of the
       second, in which the first decodes */
    { 2, 2000, 2, 1, 2 * 8300 + 4000 * 125, 3 * 8300 - 150 + 4000 * 125 },
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct mq_engine_params params = small_params (4000, 16);
      struct bench *bench;

      params.time_scale = cases[i].time_scale;
      bench = bench_create (&params);
      for (uint32_t n = 1; n <= cases[i].sequences; n++)
        {
          struct ask ask = { n, n, 1, 0, cases[i].prompt, n, cases[i].output };

          submit (bench, &ask);
        }
      run_until (bench, MQ_ENGINE_NEVER);
      cr_expect_eq (bench->seen[cases[i].sequences].first_us,
                    cases[i].first_us, "case %zu: %lu", i,
                    bench->seen[cases[i].sequences].first_us);
      cr_expect_eq (bench->seen[cases[i].sequences].done_us, cases[i].done_us,
                    "case %zu: %lu", i,
                    bench->seen[cases[i].sequences].done_us);
      talloc_free (bench);
    }
}

/* Only full blocks of a common prefix are reused, and never the last
   token.  */
Test (engine, shared_prefix_is_cached)
{
  static const struct
  {
    struct ask first;
    uint64_t evict; /* program evicted in between; 0 for none */
    struct ask second;
    uint32_t cached;
  } cases[] = {
    /* the same prompt again, by another program */
    { { 1, 1, 1, 0, 160, 7, 4 }, 0, { 2, 2, 1, 0, 160, 7, 4 }, 144 },
    { { 1, 1, 1, 0, 161, 7, 4 }, 0, { 2, 2, 1, 0, 161, 7, 4 }, 160 },
    /* nothing in common */
    { { 1, 1, 1, 0, 160, 7, 4 }, 0, { 2, 2, 1, 0, 160, 8, 4 }, 0 },
    /* the service's prefix only */
    { { 1, 1, 1, 96, 80, 7, 4 }, 0, { 2, 2, 1, 96, 80, 8, 4 }, 96 },
    /* which stays when the program is evicted; the rest does not */
    { { 1, 1, 1, 96, 80, 7, 4 }, 1, { 2, 1, 1, 96, 80, 7, 4 }, 96 },
    { { 1, 1, 1, 96, 80, 7, 4 }, 9, { 2, 1, 1, 96, 80, 7, 4 }, 160 },
    /* a block that holds more than the service's prefix is the program's */
    { { 1, 1, 1, 100, 80, 7, 4 }, 1, { 2, 1, 1, 100, 80, 7, 4 }, 96 },
    /* the next turn: prompt and answer of the first, all but the last token,
       which was generated and not computed */
    { { 1, 1, 1, 0, 100, 7, 60 }, 0, { 2, 1, 1, 0, 200, 7, 4 }, 144 },
    { { 1, 1, 1, 0, 100, 7, 61 }, 0, { 2, 1, 1, 0, 200, 7, 4 }, 160 },
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct mq_engine_params params = small_params (100, 4);
      struct bench *bench = bench_create (&params);
      const struct mq_engine_counters *counters;

      run_request (bench, &cases[i].first);
      if (cases[i].evict != 0)
        mq_engine_evict (bench->engine, bench->now_us,
                         program_id (cases[i].evict));
      run_request (bench, &cases[i].second);
      cr_expect_eq (bench->seen[2].cached, cases[i].cached, "case %zu: %u", i,
                    bench->seen[2].cached);
      counters = mq_engine_read_counters (bench->engine, bench->now_us);
      cr_expect_eq (counters->cached_tokens, cases[i].cached);
      cr_expect_eq (counters->prefill_tokens,
                    counters->prompt_tokens - counters->cached_tokens);
      talloc_free (bench);
    }
}

/* Running sequences share the blocks of their common prefix.  */
Test (engine, running_sequences_share_memory)
{
  struct mq_engine_params params = small_params (100, 4);
  struct bench *bench = bench_create (&params);
  struct ask first = { 1, 1, 1, 160, 16, 7, 200 };
  struct ask second = { 2, 2, 1, 160, 16, 8, 200 };

  submit (bench, &first);
  run_until (bench, 50000); /* prefill is done */
  submit (bench, &second);
  run_until (bench, 70000);
  cr_expect_eq (held_by (bench, 0), 160);
  cr_expect_eq (mq_engine_load (bench->engine).cache_used, 160 + 4 * 16);
  run_until (bench, MQ_ENGINE_NEVER);
  cr_expect_eq (bench->seen[2].cached, 160);
  talloc_free (bench);
}

/* Programs of six blocks run in turn on a cache of twenty.  Blocks are evicted
   in LRU order, and within a program from the end.  */
Test (engine, least_recently_used_goes_first)
{
  static const struct
  {
    uint64_t order[5]; /* programs in order; 0 for none */
    uint32_t held[5];  /* tokens of programs 1 to 4 afterwards */
    uint64_t unreused; /* tokens evicted without reuse */
    uint64_t recomputed;
  } cases[] = {
    { { 1, 2, 3 }, { 0, 96, 96, 96, 0 }, 0, 0 },
    { { 1, 2, 3, 4 }, { 0, 32, 96, 96, 96 }, 64, 0 },
    { { 1, 2, 3, 1, 4 }, { 0, 96, 32, 96, 96 }, 64, 0 },
    /* program 1 comes back for what it lost */
    { { 1, 2, 3, 4, 1 }, { 0, 96, 32, 96, 96 }, 128, 64 },
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct mq_engine_params params = small_params (20, 4);
      struct bench *bench = bench_create (&params);

      for (size_t n = 0; n < 5 && cases[i].order[n] != 0; n++)
        {
          uint64_t program = cases[i].order[n];
          /* 96 tokens computed: the last of 97 is generated */
          struct ask ask = { n + 1, program, 1, 0, 96, program, 1 };

          run_request (bench, &ask);
        }
      for (uint64_t program = 1; program <= 4; program++)
        cr_expect_eq (held_by (bench, program), cases[i].held[program],
                      "case %zu program %d: %u", i, (int)program,
                      held_by (bench, program));
      cr_expect_eq (kv_counters (bench)->evicted_unreused_tokens,
                    cases[i].unreused, "case %zu: %lu", i,
                    kv_counters (bench)->evicted_unreused_tokens);
      cr_expect_eq (kv_counters (bench)->recomputed_tokens,
                    cases[i].recomputed, "case %zu: %lu", i,
                    kv_counters (bench)->recomputed_tokens);
      talloc_free (bench);
    }
}

/* An interactive request on an engine full of batch work must preempt the
   lowest priority and finish first; preempted sequences must still finish.  */
Test (engine, priorities_preempt)
{
  static const struct
  {
    uint32_t blocks;
    uint32_t slots;
    enum mq_priority running;
    enum mq_priority arriving;
    bool preempts;
  } cases[] = {
    { 100, 1, MQ_PRIORITY_BATCH, MQ_PRIORITY_URGENT, true },
    { 100, 1, MQ_PRIORITY_BATCH, MQ_PRIORITY_INTERACTIVE, true },
    { 100, 1, MQ_PRIORITY_BATCH, MQ_PRIORITY_BATCH, false },
    { 100, 1, MQ_PRIORITY_URGENT, MQ_PRIORITY_BATCH, false },
    { 24, 4, MQ_PRIORITY_BATCH, MQ_PRIORITY_URGENT, true },
    { 24, 4, MQ_PRIORITY_BATCH, MQ_PRIORITY_BATCH, false },
    { 24, 4, MQ_PRIORITY_INTERACTIVE, MQ_PRIORITY_BATCH, false },
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct mq_engine_params params
          = small_params (cases[i].blocks, cases[i].slots);
      struct bench *bench = bench_create (&params);
      struct ask first = { 1, 1, cases[i].running, 0, 200, 1, 100 };
      struct ask second = { 2, 2, cases[i].arriving, 0, 200, 2, 20 };

      submit (bench, &first);
      run_until (bench, 100000);
      cr_assert (bench->seen[1].generated > 0);
      submit (bench, &second);
      run_until (bench, MQ_ENGINE_NEVER);
      cr_expect_eq (bench->seen[1].preempted > 0, cases[i].preempts,
                    "case %zu", i);
      cr_expect_eq (bench->seen[2].done_us < bench->seen[1].done_us,
                    cases[i].preempts, "case %zu", i);
      cr_expect_eq (bench->seen[1].generated, 100);
      cr_expect_eq (bench->seen[2].generated, 20);
      talloc_free (bench);
    }
}

/* When running sequences exhaust the memory, the last one of the lowest
   priority is preempted and recomputed.  */
Test (engine, memory_pressure_preempts_the_lowest)
{
  struct mq_engine_params params = small_params (16, 4);
  struct bench *bench = bench_create (&params);
  struct ask first = { 1, 1, MQ_PRIORITY_INTERACTIVE, 0, 80, 1, 100 };
  struct ask second = { 2, 2, MQ_PRIORITY_BATCH, 0, 80, 2, 100 };
  struct ask third = { 3, 3, MQ_PRIORITY_BATCH, 0, 60, 3, 100 };

  submit (bench, &third);
  submit (bench, &second);
  submit (bench, &first);
  run_until (bench, MQ_ENGINE_NEVER);
  cr_expect_eq (bench->seen[1].preempted, 0);
  cr_expect (bench->seen[2].preempted > 0);
  cr_expect (bench->seen[1].done_us < bench->seen[3].done_us);
  for (int tag = 1; tag <= 3; tag++)
    cr_expect_eq (bench->seen[tag].generated, 100);
  talloc_free (bench);
}

/* Cancelling a sequence in any state must free its memory once its program is
   evicted, and return the tokens generated.  */
Test (engine, cancel_frees_memory)
{
  static const struct
  {
    uint64_t at_us; /* cancelled then */
    bool pause;     /* paused before */
    uint32_t generated;
  } cases[] = {
    { 0, false, 0 },     /* waiting */
    { 1000, false, 0 },  /* in prefill */
    { 20650, false, 1 }, /* at its first token */
    { 20650 + 8150, false, 2 },
    { 50000, true, 4 }, /* paused: 20650 + 3 * 8150 = 45100 */
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct mq_engine_params params = small_params (100, 4);
      struct bench *bench = bench_create (&params);
      struct ask ask = { 1, 1, 1, 0, 100, 1, 100 };
      uint32_t generated = 99;
      uint64_t handle;

      submit (bench, &ask);
      handle = bench->seen[1].handle;
      if (cases[i].at_us > 0)
        run_until (bench, cases[i].at_us);
      if (cases[i].pause)
        cr_assert (mq_engine_pause (bench->engine, bench->now_us, handle));
      cr_assert (
          mq_engine_cancel (bench->engine, bench->now_us, handle, &generated));
      cr_expect_eq (generated, cases[i].generated, "case %zu: %u", i,
                    generated);
      cr_expect (!mq_engine_cancel (bench->engine, bench->now_us, handle,
                                    &generated));
      mq_engine_evict (bench->engine, bench->now_us, program_id (1));
      run_until (bench, MQ_ENGINE_NEVER);
      cr_expect_eq (mq_engine_load (bench->engine).cache_used, 0);
      cr_expect_eq (mq_engine_load (bench->engine).running, 0);
      cr_expect_not (bench->seen[1].done);
      talloc_free (bench);
    }
}

/* Blocks of a running sequence must be freed when it ends if its program was
   evicted meanwhile.  */
Test (engine, evicted_while_running)
{
  struct mq_engine_params params = small_params (100, 4);
  struct bench *bench = bench_create (&params);
  struct ask ask = { 1, 1, 1, 32, 100, 1, 10 };

  submit (bench, &ask);
  run_until (bench, 40000);
  cr_expect_eq (mq_engine_evict (bench->engine, bench->now_us, program_id (1)),
                0);
  run_until (bench, MQ_ENGINE_NEVER);
  cr_expect (bench->seen[1].done);
  cr_expect_eq (held_by (bench, 1), 0);
  cr_expect_eq (held_by (bench, 0), 32);
  talloc_free (bench);
}

/* A paused sequence generates nothing, keeps its memory unless others need it,
   and finishes after it is resumed.  */
Test (engine, pause_and_resume)
{
  static const struct
  {
    uint32_t blocks;
    bool loses_memory; /* to the other sequence */
  } cases[] = { { 100, false }, { 24, true } };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct mq_engine_params params = small_params (cases[i].blocks, 1);
      struct bench *bench = bench_create (&params);
      struct ask paused = { 1, 1, 1, 0, 200, 1, 50 };
      struct ask other = { 2, 2, 1, 0, 300, 2, 20 };
      uint32_t generated;

      submit (bench, &paused);
      run_until (bench, 100000);
      generated = bench->seen[1].generated;
      cr_assert (mq_engine_pause (bench->engine, bench->now_us,
                                  bench->seen[1].handle));
      run_request (bench, &other);
      cr_expect_eq (bench->seen[1].generated, generated);
      cr_expect_eq (bench->seen[1].preempted > 0, cases[i].loses_memory);
      cr_assert (mq_engine_resume (bench->engine, bench->now_us,
                                   bench->seen[1].handle));
      run_until (bench, MQ_ENGINE_NEVER);
      cr_expect_eq (bench->seen[1].generated, 50);
      cr_expect (!mq_engine_resume (bench->engine, bench->now_us,
                                    bench->seen[1].handle));
      talloc_free (bench);
    }
}

/* Exported cache must be reusable on the importing engine.  */
Test (engine, export_and_import)
{
  struct mq_engine_params params = small_params (100, 4);
  struct bench *from = bench_create (&params);
  struct bench *to = bench_create (&params);
  struct ask ask = { 1, 1, 1, 32, 128, 1, 1 };
  uint64_t begin;

  run_request (from, &ask);
  begin = from->now_us;
  mq_engine_export (from->engine, begin, 2, program_id (1));
  run_until (from, MQ_ENGINE_NEVER);
  cr_expect_eq (from->seen[2].transferred, 160);
  cr_expect_eq (from->seen[2].done_us, begin + 1600);

  mq_engine_import (to->engine, 0, 2, program_id (1), from->labels,
                    from->label_count);
  mq_engine_import (to->engine, 0, 3, program_id (1), from->labels,
                    from->label_count);
  run_until (to, MQ_ENGINE_NEVER);
  cr_expect_eq (to->seen[2].transferred, 160);
  cr_expect_eq (to->seen[2].done_us, 1600);
  cr_expect_eq (to->seen[3].transferred, 0, "already there");
  cr_expect_eq (to->seen[3].done_us, 3200, "one at a time");
  cr_expect_eq (held_by (to, 1), 128);
  cr_expect_eq (held_by (to, 0), 32);
  run_request (to, &ask);
  cr_expect_eq (to->seen[1].cached, 144);
  talloc_free (from);
  talloc_free (to);
}

Test (engine, requests_are_refused)
{
  static const struct
  {
    struct ask ask;
    enum mq_error_type error;
  } cases[] = {
    { { 9, 1, 1, 0, 1600, 1, 1 }, MQ_ERR_TOO_LARGE },
    { { 9, 1, 1, 0, 0, 1, 1 }, MQ_ERR_BAD_REQUEST },
    { { 9, 1, 1, 0, 1, 1, 0 }, MQ_ERR_BAD_REQUEST },
    { { 9, 1, 1, 0, 1599, 1, 1 }, MQ_ERR_NONE },
    { { 10, 1, 1, 0, 10, 1, 1 }, MQ_ERR_NONE },
    { { 11, 1, 1, 0, 10, 1, 1 }, MQ_ERR_OVERLOADED },
  };
  struct mq_engine_params params = small_params (100, 4);
  struct bench *bench;

  params.queue_max = 2;
  bench = bench_create (&params);
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct mq_error error;
      uint64_t handle = ask_engine (bench, &cases[i].ask, &error);

      cr_expect_eq (error.type, cases[i].error, "case %zu: %s", i,
                    mq_error_name (error.type));
      cr_expect_eq (handle != 0, cases[i].error == MQ_ERR_NONE);
    }
  talloc_free (bench);
}

/* An order with a stale fencing number is rejected only if the engine checks
   it.  */
Test (engine, orders)
{
  static const struct
  {
    uint64_t fences[2];
    bool check;
    bool second_taken;
  } cases[] = {
    { { 5, 4 }, true, false },
    { { 5, 5 }, true, true },
    { { 5, 6 }, true, true },
    { { 5, 4 }, false, true },
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct mq_engine_params params = small_params (100, 4);
      struct bench *bench;
      struct mq_error error;

      params.check_fence = cases[i].check;
      bench = bench_create (&params);
      cr_assert (mq_engine_order (bench->engine, 0, 1, cases[i].fences[0],
                                  MQ_ORDER_SET_ROLE, &error));
      cr_expect_eq (mq_engine_order (bench->engine, 0, 2, cases[i].fences[1],
                                     MQ_ORDER_LOAD_ADAPTER, &error),
                    cases[i].second_taken);
      cr_expect_eq (error.type,
                    cases[i].second_taken ? MQ_ERR_NONE : MQ_ERR_STALE_FENCE);
      run_until (bench, MQ_ENGINE_NEVER);
      cr_expect_eq (bench->seen[1].done_us, 500000);
      cr_expect_eq (bench->seen[2].done_us,
                    cases[i].second_taken ? 2500000 : 0);
      talloc_free (bench);
    }
}

Test (engine, another_model_empties_the_cache)
{
  struct mq_engine_params params = small_params (100, 4);
  struct bench *bench = bench_create (&params);
  struct ask ask = { 1, 1, 1, 32, 100, 1, 10 };
  struct mq_error error;

  run_request (bench, &ask);
  cr_assert (mq_engine_order (bench->engine, bench->now_us, 2, 1,
                              MQ_ORDER_LOAD_MODEL, &error));
  run_until (bench, MQ_ENGINE_NEVER);
  cr_expect_eq (mq_engine_load (bench->engine).cache_used, 0);
  talloc_free (bench);
}

/* Load reports are one to two lags old.  Samples are taken at step ends, so
   each lag may be one step longer.  */
Test (engine, load_lags)
{
  static const struct
  {
    uint64_t at_us;
    uint32_t running;
  } cases[] = { { 199999, 0 }, { 400000 + 2 * 8150, 1 }, { 2000000, 1 } };
  struct mq_engine_params params = small_params (100, 4);
  struct bench *bench = bench_create (&params);
  struct ask ask = { 1, 1, 1, 0, 100, 1, 1000 };

  submit (bench, &ask);
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      run_until (bench, cases[i].at_us);
      cr_expect_eq (
          mq_engine_reported_load (bench->engine, bench->now_us).running,
          cases[i].running, "case %zu", i);
      cr_expect_eq (mq_engine_load (bench->engine).running, 1);
    }
  talloc_free (bench);
}

/* Cache events are delayed and some are lost.  Delivered events must be
   ordered, their sum correct without losses, and losses reproducible by
   seed.  */
Test (engine, cache_events)
{
  static const struct
  {
    uint32_t gap_permille;
    bool whole;
  } cases[] = { { 0, true }, { 300, false }, { 1000, false } };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct mq_engine_params params = small_params (40, 4);
      struct mq_engine_cache_event events[2][512];
      size_t count[2];
      int64_t held = 0;

      params.event_gap_permille = cases[i].gap_permille;
      for (int round = 0; round < 2; round++)
        {
          struct bench *bench = bench_create (&params);

          for (uint64_t n = 1; n <= 20; n++)
            {
              struct ask ask = { n, n, 1, 16, 150, n, 20 };

              run_request (bench, &ask);
            }
          cr_expect_eq (
              mq_engine_cache_events (bench->engine, 1, 0, events[round], 512),
              0, "they come late");
          count[round] = mq_engine_cache_events (
              bench->engine, bench->now_us + params.event_lag_us, 0,
              events[round], 512);
          held = mq_engine_load (bench->engine).cache_used;
          talloc_free (bench);
        }
      cr_expect_eq (count[0], count[1]);
      cr_expect_eq (count[0] == 0, cases[i].gap_permille == 1000);
      for (size_t n = 0; n < count[0]; n++)
        {
          held += events[0][n].type == MQ_ENGINE_STORED
                      ? -(int64_t)events[0][n].tokens
                      : (int64_t)events[0][n].tokens;
          cr_expect_eq (events[0][n].number, events[1][n].number);
          cr_expect (n == 0 || events[0][n].number > events[0][n - 1].number);
        }
      cr_expect_eq (held == 0, cases[i].whole, "case %zu: %d", i, (int)held);
    }
}

/* Token-time of 96 tokens: in use for 8150 + 96 * 125 us, idle for 1 s, then
   evicted.  */
Test (engine, token_time)
{
  struct mq_engine_params params = small_params (20, 4);
  struct bench *bench = bench_create (&params);
  struct ask ask = { 1, 1, 1, 0, 96, 1, 1 };

  run_request (bench, &ask);
  cr_assert_eq (bench->now_us, 20150);
  bench->now_us += 1000000;
  mq_engine_evict (bench->engine, bench->now_us, program_id (1));
  bench->now_us += 1000000;
  cr_expect_eq (kv_counters (bench)->held_token_us, 96ULL * 1020150);
  cr_expect_eq (kv_counters (bench)->idle_token_us, 96ULL * 1000000);
  cr_expect_eq (kv_counters (bench)->wasted_token_us, 96ULL * 1000000);
  cr_expect_eq (kv_counters (bench)->dropped_tokens, 96);
  talloc_free (bench);
}

/* Random requests, cancels, pauses and evictions.  Every sequence must finish
   or be cancelled, the engine must become idle, and evicting every program
   must leave only the service prefix cached.  */
static void
soak (uint64_t seed)
{
  struct mq_engine_params params = small_params (
      30 + mq_random_below (&seed, 40), 1 + mq_random_below (&seed, 6));
  struct bench *bench = bench_create (&params);
  uint32_t outputs[TAGS] = { 0 };
  bool cancelled[TAGS] = { false };
  bool paused[TAGS] = { false };
  uint32_t generated;

  for (uint64_t tag = 1; tag < TAGS; tag++)
    {
      uint64_t other = 1 + mq_random_below (&seed, (uint32_t)tag);
      struct ask ask
          = { .tag = tag,
              .program = 1 + mq_random_below (&seed, 12),
              .priority = (enum mq_priority)mq_random_below (&seed, 3),
              .service = 16 * mq_random_below (&seed, 4),
              .prompt = 1 + mq_random_below (&seed, 200),
              .seed = mq_random_below (&seed, 8),
              .output = 1 + mq_random_below (&seed, 100) };

      submit (bench, &ask);
      outputs[tag] = ask.output;
      run_until (bench, bench->now_us + mq_random_below (&seed, 400000));
      switch (mq_random_below (&seed, 6))
        {
        case 0:
          if (mq_engine_cancel (bench->engine, bench->now_us,
                                bench->seen[other].handle, &generated))
            cancelled[other] = true;
          break;
        case 1:
          if (mq_engine_pause (bench->engine, bench->now_us,
                               bench->seen[other].handle))
            paused[other] = true;
          break;
        case 2:
          mq_engine_evict (bench->engine, bench->now_us,
                           program_id (ask.program));
          break;
        default:
          break;
        }
    }
  for (uint64_t tag = 1; tag < TAGS; tag++)
    if (paused[tag])
      mq_engine_resume (bench->engine, bench->now_us, bench->seen[tag].handle);
  run_until (bench, MQ_ENGINE_NEVER);
  for (uint64_t tag = 1; tag < TAGS; tag++)
    cr_expect (cancelled[tag]
                   || (bench->seen[tag].done
                       && bench->seen[tag].generated == outputs[tag]),
               "seed %lu tag %d", seed, (int)tag);
  for (uint64_t program = 1; program <= 12; program++)
    mq_engine_evict (bench->engine, bench->now_us, program_id (program));
  cr_expect_eq (mq_engine_load (bench->engine).cache_used, held_by (bench, 0));
  cr_expect_eq (mq_engine_load (bench->engine).running, 0);
  cr_expect_eq (mq_engine_load (bench->engine).queued, 0);
  talloc_free (bench);
}

Test (engine, soak)
{
  for (uint64_t seed = 1; seed <= 200; seed++)
    soak (seed);
}

/* The plan language.  */

static json_t *
parse_messages (const char *text)
{
  json_error_t error;
  json_t *json = json_loads (text, 0, &error);

  cr_assert (json != NULL, "%s", error.text);
  return json;
}

#define USER(plan) "{\"role\":\"user\",\"content\":\"Do it. plan=" plan "\"}"
#define ASSISTANT "{\"role\":\"assistant\",\"content\":\"x\"}"
#define TOOL "{\"role\":\"tool\",\"name\":\"t\",\"content\":\"{}\"}"
#define CALL_PLAN                                                             \
  "[{\\\"call\\\":\\\"a\\\",\\\"arguments\\\":{\\\"z\\\":1,\\\"b\\\":[2]},"   \
  "\\\"tokens\\\":30},{\\\"answer\\\":40}]"
#define LOOP_PLAN                                                             \
  "[{\\\"call\\\":\\\"a\\\"},{\\\"loop\\\":\\\"b\\\",\\\"tokens\\\":9}]"

Test (plan, steps)
{
  static const struct
  {
    const char *messages;
    uint32_t max_tokens;
    uint32_t tokens;
    enum mq_plan_finish finish;
    const char *name;
    const char *arguments;
  } cases[] = {
    { "[{\"role\":\"user\",\"content\":\"Hello\"}]", 0, 24, MQ_PLAN_STOP, NULL,
      NULL },
    { "[" USER ("[{") "]", 0, 24, MQ_PLAN_STOP, NULL, NULL },
    { "[" USER ("{}") "]", 0, 24, MQ_PLAN_STOP, NULL, NULL },
    { "[" USER (CALL_PLAN) "]", 0, 30, MQ_PLAN_CALL, "a",
      "{\"b\":[2],\"z\":1}" },
    { "[" USER (CALL_PLAN " Thanks.") "]", 0, 30, MQ_PLAN_CALL, "a",
      "{\"b\":[2],\"z\":1}" },
    { "[" USER (CALL_PLAN) "]", 30, 30, MQ_PLAN_CALL, "a",
      "{\"b\":[2],\"z\":1}" },
    { "[" USER (CALL_PLAN) "]", 29, 29, MQ_PLAN_LENGTH, NULL, NULL },
    { "[" USER (CALL_PLAN) "," ASSISTANT "," TOOL "]", 0, 40, MQ_PLAN_STOP,
      NULL, NULL },
    { "[" USER (CALL_PLAN) "," ASSISTANT "," TOOL "," ASSISTANT "," TOOL "]",
      0, 24, MQ_PLAN_STOP, NULL, NULL },
    /* a further turn begins a plan of its own */
    { "[" USER (CALL_PLAN) "," ASSISTANT "," TOOL "," USER (CALL_PLAN) "]", 0,
      30, MQ_PLAN_CALL, "a", "{\"b\":[2],\"z\":1}" },
    { "[" USER (LOOP_PLAN) "]", 0, 24, MQ_PLAN_CALL, "a", "{}" },
    { "[" USER (LOOP_PLAN) "," TOOL "]", 0, 9, MQ_PLAN_CALL, "b", "{}" },
    { "[" USER (LOOP_PLAN) "," TOOL "," TOOL "," TOOL "]", 0, 9, MQ_PLAN_CALL,
      "b", "{}" },
    /* room for what was seen: "[seen 1 " and 16 digits and "]" */
    { "[" USER ("[{\\\"answer\\\":1}]") "]", 0, 7, MQ_PLAN_STOP, NULL, NULL },
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      json_t *messages = parse_messages (cases[i].messages);
      struct mq_plan_prompt prompt;
      struct mq_plan_answer answer;
      struct mq_error error;
      char *seen;

      cr_assert (mq_plan_read (ctx, messages, &prompt, &error));
      mq_plan_answer (ctx, messages, &prompt, cases[i].max_tokens, &answer);
      seen = mq_plan_digest_text (ctx, &prompt);
      cr_expect_eq (answer.tokens, cases[i].tokens, "case %zu: %u", i,
                    answer.tokens);
      cr_expect_eq (strlen (answer.text), 4 * (size_t)answer.tokens);
      cr_expect_eq (answer.finish, cases[i].finish, "case %zu", i);
      cr_expect_eq (strstr (answer.text, seen) != NULL,
                    cases[i].finish != MQ_PLAN_LENGTH, "case %zu", i);
      if (cases[i].name != NULL)
        {
          cr_expect_str_eq (answer.call_name, cases[i].name);
          cr_expect_str_eq (answer.call_arguments, cases[i].arguments);
        }
      json_decref (messages);
      talloc_free (ctx);
    }
}

/* The digest must detect a lost, duplicated, swapped or foreign message.  */
Test (plan, digest_shows_other_histories)
{
  static const char *const histories[] = {
    "[{\"role\":\"user\",\"content\":\"a\"},{\"role\":\"tool\",\"name\":\"t\","
    "\"tool_call_id\":\"call_1\",\"content\":\"b\"},"
    "{\"role\":\"assistant\",\"content\":\"c\"}]",
    "[{\"role\":\"user\",\"content\":\"a\"},"
    "{\"role\":\"assistant\",\"content\":\"c\"}]",
    "[{\"role\":\"user\",\"content\":\"a\"},{\"role\":\"tool\",\"name\":\"t\","
    "\"tool_call_id\":\"call_2\",\"content\":\"b\"},"
    "{\"role\":\"assistant\",\"content\":\"c\"}]",
    "[{\"role\":\"user\",\"content\":\"ab\"},"
    "{\"role\":\"tool\",\"name\":\"t\",\"tool_call_id\":\"call_1\","
    "\"content\":\"\"},{\"role\":\"assistant\",\"content\":\"c\"}]",
    "[{\"role\":\"user\",\"content\":\"a\"},"
    "{\"role\":\"assistant\",\"content\":\"c\"},"
    "{\"role\":\"tool\",\"name\":\"t\",\"tool_call_id\":\"call_1\","
    "\"content\":\"b\"}]",
    "[{\"role\":\"user\",\"content\":\"a\"},{\"role\":\"tool\",\"name\":\"t\","
    "\"tool_call_id\":\"call_1\",\"content\":\"b\"},"
    "{\"role\":\"assistant\",\"content\":\"c\",\"tool_calls\":[{\"id\":"
    "\"call_3\",\"name\":\"t\",\"arguments\":\"{}\"}]}]",
  };
  uint64_t digests[COUNT (histories)];

  for (size_t i = 0; i < COUNT (histories); i++)
    {
      json_t *messages = parse_messages (histories[i]);
      struct mq_plan_prompt prompt;
      struct mq_error error;

      cr_assert (mq_plan_read (NULL, messages, &prompt, &error));
      digests[i] = prompt.digest;
      for (size_t n = 0; n < i; n++)
        cr_expect_neq (digests[n], digests[i], "%zu and %zu", n, i);
      talloc_free (prompt.text);
      json_decref (messages);
    }
}

/* The next turn's prompt must begin with this turn's prompt and answer, in
   whole tokens, so that both are found in the cache.  */
Test (plan, next_prompt_begins_with_this_one)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  json_t *messages = parse_messages (
      "[{\"role\":\"system\",\"content\":\"Help.\"}," USER (CALL_PLAN) "]");
  struct mq_plan_prompt prompt;
  struct mq_plan_prompt next;
  struct mq_plan_answer answer;
  struct mq_error error;
  char *both;

  cr_assert (mq_plan_read (ctx, messages, &prompt, &error));
  mq_plan_answer (ctx, messages, &prompt, 0, &answer);
  json_array_append_new (
      messages, json_pack ("{s:s, s:s, s:[{s:s, s:s, s:s}]}", "role",
                           "assistant", "content", answer.text, "tool_calls",
                           "id", answer.call_id, "name", answer.call_name,
                           "arguments", answer.call_arguments));
  cr_assert (mq_plan_read (ctx, messages, &next, &error));
  both = talloc_asprintf (ctx, "%s%s", prompt.text, answer.text);
  cr_expect_eq (strncmp (next.text, both, strlen (both)), 0);
  cr_expect_eq (strlen (prompt.text), 4 * (size_t)prompt.tokens);
  cr_expect_eq (prompt.shared_tokens, 4, "system, Help. and its end");
  json_decref (messages);
  talloc_free (ctx);
}

Test (plan, bad_messages)
{
  static const char *const cases[]
      = { "[]",
          "{}",
          "[1]",
          "[{\"content\":\"a\"}]",
          "[{\"role\":\"owner\",\"content\":\"a\"}]",
          "[{\"role\":\"user\",\"content\":1}]" };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      json_t *messages = parse_messages (cases[i]);
      struct mq_plan_prompt prompt;
      struct mq_error error;

      cr_expect_not (mq_plan_read (NULL, messages, &prompt, &error), "%s",
                     cases[i]);
      cr_expect_eq (error.type, MQ_ERR_BAD_JSON);
      json_decref (messages);
    }
}
