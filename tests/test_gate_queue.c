/* test_gate_queue.c - table-driven tests of dispatch order, admission, load
   reports and cache accounting.

   Needs: gate_driver.h, Criterion.  */

#include "gate_driver.h"
#include "core/limits.h"
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

enum
{
  WAITING_MAX = 8,
  STEPS_MAX = 12,
  HOLDER = 90 /* program that occupies the slot while others queue */
};

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

/* Calls that arrive while the slot is occupied, each .ms after the previous
   one, and the expected dispatch order.  */
struct order_case
{
  const char *name;
  enum mq_gate_order order;
  struct gate_step waiting[WAITING_MAX];
  const char *want; /* programs in dispatch order */
};

#define URGENT .priority = MQ_PRIORITY_URGENT
#define INTERACTIVE .priority = MQ_PRIORITY_INTERACTIVE
#define BATCH .priority = MQ_PRIORITY_BATCH
#define CALL_OF(number) .type = STEP_CALL, .program = number

static const struct order_case order_cases[] = {
  { "priority goes first",
    MQ_GATE_ATTAINED,
    {
        { CALL_OF (1), BATCH },
        { CALL_OF (2), INTERACTIVE },
        { CALL_OF (3), URGENT },
    },
    "3 2 1" },
  { "FIFO in order of arrival",
    MQ_GATE_FIFO,
    {
        { CALL_OF (1), BATCH, .deadline_ms = 90000 },
        { CALL_OF (2), INTERACTIVE, .deadline_ms = 50000 },
        { CALL_OF (3), URGENT, .deadline_ms = 40000 },
    },
    "1 2 3" },
  { "programs that have run go before new ones",
    MQ_GATE_ATTAINED,
    {
        { CALL_OF (1) },
        { CALL_OF (2), .continuing = true, .attained = 9000 },
        { CALL_OF (3), .follow_up = true, .attained = 90000 },
    },
    "3 2 1" },
  { "least attained service, in buckets",
    MQ_GATE_ATTAINED,
    {
        { CALL_OF (1), .continuing = true, .attained = 70000 },
        { CALL_OF (2), .continuing = true, .attained = 5000 },
        { CALL_OF (3), .continuing = true, .attained = 4500 },
        { CALL_OF (4), .continuing = true, .attained = 100 },
    },
    "4 2 3 1" },
  { "one ageing period raises a call by one level",
    MQ_GATE_ATTAINED,
    {
        { CALL_OF (1), .continuing = true, .attained = 1500 },
        { CALL_OF (2), .continuing = true, .attained = 100,
          .ms = MQ_GATE_AGEING_MS },
        { CALL_OF (3), .continuing = true, .attained = 100,
          .ms = MQ_GATE_AGEING_MS },
    },
    "1 2 3" },
  { "urgent calls do not starve a batch call",
    MQ_GATE_ATTAINED,
    {
        { CALL_OF (1), BATCH },
        { CALL_OF (2), URGENT, .ms = 30 * MQ_GATE_AGEING_MS },
        { CALL_OF (3), URGENT, .ms = 10 * MQ_GATE_AGEING_MS },
    },
    "2 1 3" },
  { "then the earliest deadline",
    MQ_GATE_ATTAINED,
    {
        { CALL_OF (1) },
        { CALL_OF (2), .deadline_ms = 90000 },
        { CALL_OF (3), .deadline_ms = 50000 },
    },
    "3 2 1" },
  { "organisations share capacity fairly",
    MQ_GATE_ATTAINED,
    {
        { CALL_OF (1), .organisation = "zarqa" },
        { CALL_OF (2), .organisation = "zarqa" },
        { CALL_OF (3), .organisation = "zarqa" },
        { CALL_OF (4), .organisation = "zarqa" },
        { CALL_OF (5), .organisation = "diagne" },
        { CALL_OF (6), .organisation = "diagne" },
    },
    "1 5 2 6 3 4" },
  { "an urgent call goes before another organisation's batch",
    MQ_GATE_ATTAINED,
    {
        { CALL_OF (1), BATCH, .organisation = "diagne" },
        { CALL_OF (2), URGENT, .organisation = "zarqa" },
        { CALL_OF (3), URGENT, .organisation = "zarqa" },
    },
    "2 3 1" },
};

static const struct mq_gate_worker plain_worker
    = { "p", MQ_SERVICE_PLAIN, "", 1, 0 };

static char *
read_starts (struct gate_driver *driver, const struct order_case *item)
{
  char *text = talloc_strdup (driver, "");
  uint32_t program = HOLDER;

  for (size_t i = 0; i < WAITING_MAX && item->waiting[i].type != STEP_NONE;
       i++)
    {
      struct gate_step done
          = { STEP_DONE, .program = program, .tokens_out = 100 };

      gate_driver_step (driver, &done);
      program
          = (uint32_t)driver->starts[driver->start_count - 1].ref.program.hi;
      text = talloc_asprintf_append (text, "%s%u", i == 0 ? "" : " ", program);
    }
  return text;
}

Test (gate_queue, order)
{
  for (size_t i = 0; i < COUNT (order_cases); i++)
    {
      const struct order_case *item = &order_cases[i];
      struct mq_gate_options options = { .workers = &plain_worker,
                                         .worker_count = 1,
                                         .order = item->order };
      struct gate_driver *driver = gate_driver_create (&options);
      struct gate_step hold
          = { STEP_CALL, .program = HOLDER, .organisation = "none" };
      const char *got;

      gate_driver_step (driver, &hold);
      for (size_t j = 0; j < WAITING_MAX && item->waiting[j].type != STEP_NONE;
           j++)
        {
          struct gate_step pause = { STEP_PAUSE, .ms = item->waiting[j].ms };

          gate_driver_step (driver, &pause);
          gate_driver_step (driver, &item->waiting[j]);
        }
      got = read_starts (driver, item);
      cr_expect_str_eq (got, item->want, "%s: got %s, want %s", item->name,
                        got, item->want);
      gate_driver_destroy (driver);
    }
}

struct queue_case
{
  const char *name;
  struct mq_gate_worker worker;
  uint32_t queue_max;
  struct gate_step steps[STEPS_MAX];
};

#define PLAIN                                                                 \
  {                                                                           \
    "p", MQ_SERVICE_PLAIN, "", 1, 0                                           \
  }

/* Under overload, calls that cannot be served in time must be refused at once,
   so that they can be placed elsewhere.  */
static const struct queue_case admission_cases[] = {
  { "a full queue refuses a new call",
    PLAIN,
    1,
    {
        { CALL_OF (1), .want = "start 1/1.1 w0" },
        { CALL_OF (2), INTERACTIVE, .want = "" },
        { CALL_OF (3), INTERACTIVE,
          .want = "outcome@1 3/1.1 f1 overloaded not_run retry" },
        { CALL_OF (4), URGENT,
          .want = "outcome@1 4/1.1 f1 overloaded not_run retry" },
        { CALL_OF (3), INTERACTIVE,
          .want = "outcome@1 3/1.1 f1 sealed not_run" },
    } },
  { "a full queue refuses its newest batch call for a higher priority",
    PLAIN,
    2,
    {
        { CALL_OF (1), .want = "start 1/1.1 w0" },
        { CALL_OF (2), BATCH, .want = "" },
        { CALL_OF (3), BATCH, .want = "" },
        { CALL_OF (4), BATCH,
          .want = "outcome@1 4/1.1 f1 overloaded not_run retry" },
        { CALL_OF (5), INTERACTIVE,
          .want = "outcome@1 3/1.1 f1 overloaded not_run retry" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran; start 5/1.1 w0" },
    } },
  { "a deadline that expires in the queue",
    PLAIN,
    0,
    {
        { CALL_OF (1), .want = "start 1/1.1 w0" },
        { CALL_OF (2), .deadline_ms = 1000, .want = "" },
        { STEP_WAIT, .ms = 1000, .want = "" },
        { STEP_WAIT, .ms = 1,
          .want = "outcome@1 2/1.1 f1 timeout not_run retry" },
    } },
  { "a deadline that cannot be met at the measured rate",
    PLAIN,
    0,
    {
        { CALL_OF (1), .want = "start 1/1.1 w0" },
        { STEP_WAIT, .ms = 1000, .want = "" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { CALL_OF (2), .want = "start 2/1.1 w0" },
        { CALL_OF (3), .deadline_ms = 1400,
          .want = "outcome@1 3/1.1 f1 overloaded not_run retry" },
        { CALL_OF (4), .deadline_ms = 1600, .want = "" },
        { CALL_OF (5), .deadline_ms = 1600,
          .want = "outcome@1 5/1.1 f1 overloaded not_run retry" },
        { CALL_OF (6), URGENT, .deadline_ms = 2600, .want = "" },
    } },
  { "an unavailable engine",
    { "m", MQ_SERVICE_MODEL, "guide", 1, 1000 },
    0,
    {
        { CALL_OF (1), .want = "start 1/1.1 w0" },
        { CALL_OF (2), .want = "" },
        { STEP_DOWN, .want = "outcome@1 2/1.1 f1 no_target not_run retry" },
        { CALL_OF (3), .want = "outcome@1 3/1.1 f1 no_target not_run retry" },
        { STEP_UP, .want = "" },
        { STEP_DONE, .error = MQ_ERR_TARGET_FAILED, .ran = MQ_RAN_UNKNOWN,
          .want = "outcome@1 1/1.1 f1 target_failed unknown" },
        { CALL_OF (3), .attempt = 2, .want = "start 3/1.2 w0" },
    } },
  { "an unknown worker or service",
    PLAIN,
    0,
    {
        { CALL_OF (1), .worker = 5,
          .want = "outcome@1 1/1.1 f1 bad_request not_run" },
        { CALL_OF (1), .service = "other",
          .want = "outcome@1 1/1.1 f1 bad_request not_run" },
    } },
};

/* When engine memory is low, continuing programs must run before new batch
   programs; otherwise their caches are displaced and recomputed.  */
static const struct queue_case memory_cases[] = {
  { "low memory: continuing before new, regardless of age",
    { "m", MQ_SERVICE_MODEL, "guide", 1, 100 },
    0,
    {
        { CALL_OF (1), .want = "start 1/1.1 w0" },
        { CALL_OF (2), .want = "" },
        { STEP_PAUSE, .ms = 50 * MQ_GATE_AGEING_MS },
        { CALL_OF (3), .continuing = true, .want = "" },
        { STEP_DONE, .tokens_in = 101,
          .want = "outcome@1 1/1.1 f1 ok ran; start 3/1.1 w0" },
        { STEP_DONE, .program = 3,
          .want = "outcome@1 3/1.1 f1 ok ran; start 2/1.1 w0" },
    } },
  { "enough memory: the older call goes first",
    { "m", MQ_SERVICE_MODEL, "guide", 1, 200 },
    0,
    {
        { CALL_OF (1), .want = "start 1/1.1 w0" },
        { CALL_OF (2), .want = "" },
        { STEP_PAUSE, .ms = 50 * MQ_GATE_AGEING_MS },
        { CALL_OF (3), .continuing = true, .want = "" },
        { STEP_DONE, .tokens_in = 101,
          .want = "outcome@1 1/1.1 f1 ok ran; start 2/1.1 w0" },
    } },
  { "low memory: new batch programs wait while anything runs",
    { "m", MQ_SERVICE_MODEL, "guide", 2, 100 },
    0,
    {
        { CALL_OF (1), .want = "start 1/1.1 w0" },
        { STEP_DONE, .tokens_in = 101, .want = "outcome@1 1/1.1 f1 ok ran" },
        { CALL_OF (1), .call = 2, .continuing = true,
          .want = "start 1/2.1 w0" },
        { CALL_OF (2), BATCH, .want = "" },
        { CALL_OF (3), BATCH, .continuing = true, .want = "start 3/1.1 w0" },
        { STEP_DONE, .program = 3, .want = "outcome@1 3/1.1 f1 ok ran" },
        { STEP_DONE, .call = 2,
          .want = "outcome@1 1/2.1 f1 ok ran; start 2/1.1 w0" },
    } },
};

static void
run_queue_case (const struct queue_case *item)
{
  struct mq_gate_options options = { .workers = &item->worker,
                                     .worker_count = 1,
                                     .order = MQ_GATE_ATTAINED,
                                     .queue_max = item->queue_max };
  struct gate_driver *driver = gate_driver_create (&options);

  for (size_t i = 0; i < STEPS_MAX && item->steps[i].type != STEP_NONE; i++)
    {
      const char *got = gate_driver_step (driver, &item->steps[i]);
      const char *want = item->steps[i].want;

      cr_expect (want == NULL || strcmp (got, want) == 0,
                 "%s, step %zu:\n  got  \"%s\"\n  want \"%s\"", item->name,
                 i + 1, got, want == NULL ? "" : want);
    }
  gate_driver_destroy (driver);
}

Test (gate_queue, admission)
{
  for (size_t i = 0; i < COUNT (admission_cases); i++)
    run_queue_case (&admission_cases[i]);
}

Test (gate_queue, memory)
{
  for (size_t i = 0; i < COUNT (memory_cases); i++)
    run_queue_case (&memory_cases[i]);
}

/* Load is reported on change, limited by MQ_GATE_LOAD_MIN_MS and the total
   bytes to all peers, and periodically.  */
static const struct queue_case load_cases[] = {
  { "on change and periodically",
    PLAIN,
    0,
    {
        { STEP_WAIT, .ms = MQ_GATE_LOAD_INTERVAL_MS, .loads = true,
          .want = "load@1 0+0/1; load@2 0+0/1; load@3 0+0/1" },
        { CALL_OF (1), .loads = true, .want = "start 1/1.1 w0" },
        { CALL_OF (2), .loads = true, .want = "" },
        { STEP_WAIT, .ms = MQ_GATE_LOAD_MIN_MS - 1, .loads = true,
          .want = "" },
        { STEP_WAIT, .ms = 1, .loads = true,
          .want = "load@1 1+1/1; load@2 1+1/1; load@3 1+1/1" },
        { STEP_WAIT, .ms = MQ_GATE_LOAD_INTERVAL_MS - 1, .loads = true,
          .want = "" },
        { STEP_WAIT, .ms = 1, .loads = true,
          .want = "load@1 1+1/1; load@2 1+1/1; load@3 1+1/1" },
        { STEP_PEER_DOWN, .peer = 2, .loads = true, .want = "" },
        { STEP_PEER_UP, .peer = 4, .loads = true, .want = "load@4 1+1/1" },
    } },
};

Test (gate_queue, load)
{
  for (size_t i = 0; i < COUNT (load_cases); i++)
    run_queue_case (&load_cases[i]);
}

static struct mq_worker_load
read_load (struct gate_driver *driver)
{
  struct gate_step up = { STEP_PEER_UP, .peer = 9 };
  struct gate_step down = { STEP_PEER_DOWN, .peer = 9 };
  struct mq_worker_load load = { 0 };

  gate_driver_step (driver, &down);
  gate_driver_step (driver, &up);
  for (size_t i = 0; i < driver->actions->count; i++)
    if (driver->actions->items[i].type == MQ_ACT_SEND)
      load = driver->actions->items[i].u.message.u.load.workers[0];
  return load;
}

Test (gate_queue, measured_rates)
{
  static const struct gate_step steps[]
      = { { CALL_OF (1), .idempotent = true },
          { STEP_PAUSE, .ms = 500 },
          { STEP_TOKEN, .body = "x" },
          { STEP_PAUSE, .ms = 400 },
          { STEP_DONE, .tokens_in = 1200, .cached = 200, .tokens_out = 11 } };
  struct gate_driver *driver = gate_driver_create (NULL);
  struct mq_worker_load load;

  for (size_t i = 0; i < COUNT (steps); i++)
    gate_driver_step (driver, &steps[i]);
  load = read_load (driver);
  cr_expect_eq (load.prefill_rate, 2000, "%u", load.prefill_rate);
  cr_expect_eq (load.decode_us, 40000, "%u", load.decode_us);
  cr_expect_eq (load.cache_used, 1211, "%u", load.cache_used);
  gate_driver_destroy (driver);
}

/* Cache accounting: tokens held over time, and the part that was not used
   again.  */
struct account_case
{
  const char *name;
  struct gate_step steps[STEPS_MAX];
  uint64_t held_ms;
  uint64_t wasted_ms;
  uint64_t ended;
};

#define RUN_100                                                               \
  { CALL_OF (1) }, { STEP_DONE, .tokens_in = 90, .tokens_out = 10 }

static const struct account_case account_cases[] = {
  { "used again: nothing wasted",
    {
        RUN_100,
        { STEP_WAIT, .ms = 1000 },
        { CALL_OF (1), .call = 2, .continuing = true },
        { STEP_DONE, .call = 2, .tokens_in = 110, .cached = 100,
          .tokens_out = 90 },
        { STEP_WAIT, .ms = 10 },
    },
    100ULL * 1000 + 200ULL * 10,
    0,
    0 },
  { "dropped by the engine",
    {
        RUN_100,
        { STEP_WAIT, .ms = 1000 },
        { .type = STEP_UP },
        { STEP_WAIT, .ms = 1000 },
    },
    100ULL * 1000,
    100ULL * 1000,
    0 },
  { "ended: wasted from the last call until the eviction",
    {
        RUN_100,
        { STEP_WAIT, .ms = 300 },
        { STEP_LEASE, .lease = MQ_LEASE_ENDED },
        { STEP_WAIT, .ms = 50 },
        { .type = STEP_EVICTED },
        { STEP_WAIT, .ms = 1000 },
    },
    100ULL * 350,
    100ULL * 350,
    0 },
  { "ended, eviction not yet confirmed",
    {
        RUN_100,
        { STEP_LEASE, .lease = MQ_LEASE_ENDED },
        { STEP_WAIT, .ms = 50 },
    },
    100ULL * 50,
    100ULL * 50,
    100 },
  { "missing from two successive reports",
    {
        RUN_100,
        { STEP_WAIT, .ms = 100 },
        { .type = STEP_CACHE },
        { STEP_WAIT, .ms = 100 },
        { .type = STEP_CACHE },
        { STEP_WAIT, .ms = 100 },
    },
    100ULL * 200,
    100ULL * 200,
    0 },
};

Test (gate_queue, cache_accounts)
{
  for (size_t i = 0; i < COUNT (account_cases); i++)
    {
      const struct account_case *item = &account_cases[i];
      struct gate_driver *driver = gate_driver_create (NULL);
      const struct mq_gate_counters *counters
          = mq_gate_read_counters (driver->gate);

      for (size_t j = 0; j < STEPS_MAX && item->steps[j].type != STEP_NONE;
           j++)
        gate_driver_step (driver, &item->steps[j]);
      cr_expect_eq (counters->cache_token_ms, item->held_ms, "%s: held %lu",
                    item->name, (unsigned long)counters->cache_token_ms);
      cr_expect_eq (counters->cache_wasted_token_ms, item->wasted_ms,
                    "%s: wasted %lu", item->name,
                    (unsigned long)counters->cache_wasted_token_ms);
      cr_expect_eq (counters->cache_ended_tokens, item->ended, "%s: ended %lu",
                    item->name, (unsigned long)counters->cache_ended_tokens);
      gate_driver_destroy (driver);
    }
}

/* A full queue with random cancellations: every call is started or refused
   exactly once and all counters of queued calls return to zero.  */
Test (gate_queue, stress)
{
  enum
  {
    CALLS = 400
  };
  struct mq_gate_options options = { .workers = &plain_worker,
                                     .worker_count = 1,
                                     .order = MQ_GATE_ATTAINED };
  struct gate_driver *driver = gate_driver_create (&options);
  const struct mq_gate_counters *counters
      = mq_gate_read_counters (driver->gate);
  unsigned int seed = 7;

  for (uint32_t i = 1; i <= CALLS; i++)
    {
      struct gate_step call = { CALL_OF (i), .idempotent = true };
      struct gate_step cancel = { .type = STEP_CANCEL };

      call.priority = (enum mq_priority) (rand_r (&seed) % 3);
      call.continuing = rand_r (&seed) % 2 == 0;
      call.attained = (uint64_t)rand_r (&seed) % 100000;
      call.deadline_ms = (uint32_t)rand_r (&seed) % 90000 + 1000000;
      call.organisation = rand_r (&seed) % 2 == 0 ? "a" : "b";
      gate_driver_step (driver, &call);
      cancel.program = (uint32_t)rand_r (&seed) % i + 1;
      gate_driver_step (driver, &cancel);
    }
  while (counters->running > 0)
    {
      struct gate_step done = { .type = STEP_DONE };

      done.program
          = (uint32_t)driver->starts[driver->start_count - 1].ref.program.hi;
      gate_driver_step (driver, &done);
    }
  cr_expect_eq (counters->queue_length, 0);
  cr_expect_eq (counters->calls_started, counters->calls_done);
  cr_expect_eq (counters->calls_received, CALLS);
  cr_expect_leq (counters->calls_started, CALLS);
  gate_driver_destroy (driver);
}
