/* test_gate.c - the gate's rules for fences, at-most-once, outcomes, leases
   and orders, as tables of steps and the actions expected of each.

   Needs: gate_driver.h, Criterion.  */

#include "gate_driver.h"
#include <criterion/criterion.h>
#include <string.h>

enum
{
  STEPS_MAX = 16
};

struct gate_case
{
  const char *name;
  struct gate_step steps[STEPS_MAX];
};

static void
run_case (const struct gate_case *item, const struct mq_gate_options *options)
{
  struct gate_driver *driver = gate_driver_create (options);

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

static void
run_cases (const struct gate_case *items, size_t count)
{
  for (size_t i = 0; i < count; i++)
    run_case (&items[i], NULL);
}

#define RUN_CASES(items) run_cases (items, sizeof items / sizeof items[0])

static const struct gate_case path_cases[] = {
  { "a call from start to forgotten",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_TOKEN, .body = "he", .want = "token@1 1/1.1 f1 [0] he" },
        { STEP_TOKEN, .body = "llo", .want = "token@1 1/1.1 f1 [1] llo" },
        { STEP_DONE, .body = "hello",
          .want = "outcome@1 1/1.1 f1 ok ran =hello" },
        { STEP_FORGET, .want = "" },
        { STEP_CALL, .want = "outcome@1 1/1.1 f1 sealed unknown" },
    } },
  { "an ended program's cache is evicted and the asker told",
    {
        { STEP_CALL, .idempotent = true, .want = "start 1/1.1 w0" },
        { STEP_DONE, .tokens_in = 100, .tokens_out = 10,
          .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_LEASE, .lease = MQ_LEASE_ENDED, .want = "evict w0 1" },
        { STEP_EVICTED, .want = "evicted@1 1" },
        { STEP_LEASE, .lease = MQ_LEASE_ENDED, .peer = 2,
          .want = "evicted@2 1" },
    } },
};

Test (gate, path) { RUN_CASES (path_cases); }
