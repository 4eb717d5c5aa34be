/* test_gate.c - table-driven tests of the gate: fencing, at-most-once
   execution, outcomes, leases and orders.

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

#define RUN_CASES(items)                                                      \
  run_cases ((items), sizeof (items) / sizeof (items)[0])

static const struct gate_case path_cases[] = {
  { "a call from start to FORGET",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_TOKEN, .body = "he", .want = "token@1 1/1.1 f1 [0] he" },
        { STEP_TOKEN, .body = "llo", .want = "token@1 1/1.1 f1 [1] llo" },
        { STEP_DONE, .body = "hello",
          .want = "outcome@1 1/1.1 f1 ok ran =hello" },
        { STEP_FORGET, .want = "" },
        { STEP_CALL, .want = "outcome@1 1/1.1 f1 sealed unknown" },
    } },
  { "an ended program's cache is evicted and its owner notified",
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

/* A suspended owner must have no effect after its successor has reached the
   gate; otherwise a step would run twice.  */
static const struct gate_case fence_cases[] = {
  { "a lower fence is refused",
    {
        { STEP_CALL, .fence = 5, .want = "start 1/1.1 w0" },
        { STEP_CALL, .call = 2, .fence = 4,
          .want = "outcome@1 1/2.1 f4 stale_fence not_run" },
    } },
  { "SEAL raises the fence",
    {
        { STEP_SEAL, .program = 9, .fence = 3,
          .want = "sealed@1 9/1.1 f3 "
                  "sealed" },
        { STEP_CALL, .fence = 2,
          .want = "outcome@1 1/1.1 f2 stale_fence not_run" },
        { STEP_SEAL, .fence = 2, .want = "sealed@1 1/1.1 f3 stale" },
    } },
  { "RECOVER raises the fence",
    {
        { STEP_RECOVER, .fence = 3, .want = "recovered@1 f3" },
        { STEP_RECOVER, .fence = 2, .peer = 2, .want = "recovered@2 f3" },
        { STEP_CALL, .fence = 2,
          .want = "outcome@1 1/1.1 f2 stale_fence not_run" },
    } },
  { "LEASE raises the fence",
    {
        { STEP_LEASE, .fence = 3, .ms = 1000, .want = "" },
        { STEP_CALL, .fence = 2,
          .want = "outcome@1 1/1.1 f2 stale_fence not_run" },
    } },
  { "CANCEL raises the fence",
    {
        { STEP_CANCEL, .program = 9, .fence = 3,
          .want = "outcome@1 9/1.1 f3 cancelled not_run" },
        { STEP_CALL, .fence = 2,
          .want = "outcome@1 1/1.1 f2 stale_fence not_run" },
    } },
  { "an old owner can't cancel, forget or end what its successor runs",
    {
        { STEP_CALL, .fence = 2, .peer = 2, .want = "start 1/1.1 w0" },
        { STEP_CANCEL, .fence = 1, .want = "" },
        { STEP_LEASE, .fence = 1, .lease = MQ_LEASE_ENDED, .want = "" },
        { STEP_DONE, .body = "a", .want = "outcome@2 1/1.1 f2 ok ran =a" },
        { STEP_FORGET, .fence = 1, .want = "" },
        { STEP_CALL, .fence = 2, .peer = 2,
          .want = "outcome@2 1/1.1 f2 ok ran =a" },
    } },
};

Test (gate, fences) { RUN_CASES (fence_cases); }

/* A restarted gate has lost its seals, so it must refuse calls that were sent
   to the earlier process.  */
static const struct gate_case boot_cases[] = {
  { "a call for an earlier process",
    {
        { STEP_SEAL, .want = "sealed@1 1/1.1 f1 sealed" },
        { .type = STEP_REBOOT },
        { STEP_CALL, .old_boot = true,
          .want = "outcome@1 1/1.1 f1 wrong_boot not_run" },
        { STEP_CALL, .want = "start 1/1.1 w0" },
    } },
  { "a non-idempotent call must carry the boot id",
    {
        { STEP_CALL, .no_boot = true,
          .want = "outcome@1 1/1.1 f1 wrong_boot not_run" },
        { STEP_CALL, .no_boot = true, .idempotent = true,
          .want = "start 1/1.1 w0" },
    } },
};

Test (gate, boots) { RUN_CASES (boot_cases); }

/* Duplicate, late or reordered frames must not run a non-idempotent call
   twice.  */
static const struct gate_case once_cases[] = {
  { "a duplicate CALL redirects the outcome to the latest requester",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_CALL, .peer = 2, .want = "" },
        { STEP_TOKEN, .body = "x", .want = "token@2 1/1.1 f1 [0] x" },
        { STEP_DONE, .body = "a", .want = "outcome@2 1/1.1 f1 ok ran =a" },
        { STEP_CALL, .peer = 3, .want = "outcome@3 1/1.1 f1 ok ran =a" },
    } },
  { "another attempt joins the running one and gets its outcome",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_CALL, .attempt = 2, .fence = 2, .peer = 2, .want = "" },
        { STEP_DONE, .body = "a", .want = "outcome@2 1/1.2 f2 ok ran =a" },
        { STEP_CALL, .attempt = 3, .fence = 2, .peer = 2,
          .want = "outcome@2 1/1.3 f2 ok ran =a" },
        { STEP_FORGET, .attempt = 3, .fence = 2, .want = "" },
        { STEP_CALL, .attempt = 4, .fence = 2, .peer = 2,
          .want = "outcome@2 1/1.4 f2 sealed unknown" },
    } },
  { "a lower attempt than the accepted one is stale",
    {
        { STEP_CALL, .attempt = 2, .want = "start 1/1.2 w0" },
        { STEP_CALL, .attempt = 1,
          .want = "outcome@1 1/1.1 f1 sealed not_run" },
    } },
  { "a lower call than the latest one is stale",
    {
        { STEP_CALL, .call = 5, .want = "start 1/5.1 w0" },
        { STEP_CALL, .call = 4, .want = "outcome@1 1/4.1 f1 sealed not_run" },
        { STEP_CALL, .call = 4, .program = 2, .worker = 1,
          .want = "start 2/4.1 w1" },
    } },
  { "a call refused as not run is never run",
    {
        { STEP_CALL, .deadline_ms = 10, .want = "start 1/1.1 w0" },
        { STEP_CALL, .program = 2, .deadline_ms = 10, .want = "" },
        { STEP_WAIT, .ms = 20,
          .want = "outcome@1 2/1.1 f1 timeout not_run retry" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_CALL, .program = 2,
          .want = "outcome@1 2/1.1 f1 sealed not_run" },
        { STEP_CALL, .program = 2, .attempt = 2, .want = "start 2/1.2 w0" },
    } },
  { "a call refused by the worker is run again only under a new attempt",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_DONE, .error = MQ_ERR_TARGET_FAILED, .ran = MQ_RAN_NOT_RUN,
          .want = "outcome@1 1/1.1 f1 target_failed not_run retry" },
        { STEP_CALL, .want = "outcome@1 1/1.1 f1 sealed not_run" },
        { STEP_CALL, .attempt = 2, .want = "start 1/1.2 w0" },
    } },
  { "a call of unknown effect is retained and never run again",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_DONE, .error = MQ_ERR_TIMEOUT, .ran = MQ_RAN_UNKNOWN,
          .want = "outcome@1 1/1.1 f1 timeout unknown" },
        { STEP_CALL, .attempt = 2,
          .want = "outcome@1 1/1.2 f1 timeout unknown" },
    } },
  { "FORGET that overtakes its CALL",
    {
        { STEP_FORGET, .want = "" },
        { STEP_CALL, .want = "outcome@1 1/1.1 f1 sealed unknown" },
    } },
  { "FORGET while it runs: the run ends, nothing is retained or run again",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_FORGET, .want = "" },
        { STEP_DONE, .body = "a", .want = "outcome@1 1/1.1 f1 ok ran =a" },
        { STEP_CALL, .attempt = 2,
          .want = "outcome@1 1/1.2 f1 sealed unknown" },
    } },
  { "a late FORGET of an earlier attempt drops nothing",
    {
        { STEP_CALL, .attempt = 2, .want = "start 1/1.2 w0" },
        { STEP_DONE, .attempt = 2, .body = "a",
          .want = "outcome@1 1/1.2 f1 ok ran =a" },
        { STEP_FORGET, .attempt = 1, .want = "" },
        { STEP_CALL, .attempt = 2, .want = "outcome@1 1/1.2 f1 ok ran =a" },
    } },
  { "a late report of an ended run is not attributed to the next call",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_DONE, .body = "a", .want = "outcome@1 1/1.1 f1 ok ran =a" },
        { STEP_CALL, .program = 2, .want = "start 2/1.1 w0" },
        { STEP_TOKEN, .body = "x", .want = "" },
        { STEP_DONE, .body = "b", .want = "" },
        { STEP_DONE, .program = 2, .body = "c",
          .want = "outcome@1 2/1.1 f1 ok ran =c" },
    } },
  { "a program's record survives a suspension of this process",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_LEASE, .lease = MQ_LEASE_ENDED, .want = "evict w0 1" },
        { STEP_EVICTED, .want = "evicted@1 1" },
        { STEP_FORGET, .want = "" },
        { STEP_PAUSE, .ms = 3600000 },
        { STEP_WAIT, .ms = 1, .want = "" },
        { STEP_CALL, .want = "outcome@1 1/1.1 f1 sealed unknown" },
    } },
};

Test (gate, at_most_once) { RUN_CASES (once_cases); }

/* Idempotent calls may be repeated, but only one attempt runs at a time.  */
static const struct gate_case idempotent_cases[] = {
  { "a higher attempt replaces the running one; its slot stays occupied",
    {
        { STEP_CALL, .idempotent = true, .want = "start 1/1.1 w0" },
        { STEP_CALL, .idempotent = true, .attempt = 2, .want = "stop 1/1.1" },
        { STEP_DONE, .body = "old", .want = "start 1/1.2 w0" },
        { STEP_CALL, .idempotent = true, .attempt = 1,
          .want = "outcome@1 1/1.1 f1 sealed unknown" },
        { STEP_DONE, .attempt = 2, .body = "new",
          .want = "outcome@1 1/1.2 f1 ok ran =new" },
    } },
  { "a new owner with the same content takes over the running call",
    {
        { STEP_CALL, .idempotent = true, .attempt = 3,
          .want = "start 1/1.3 w0" },
        { STEP_TOKEN, .attempt = 3, .body = "x",
          .want = "token@1 1/1.3 f1 [0] x" },
        { STEP_CALL, .idempotent = true, .fence = 2, .peer = 2, .want = "" },
        { STEP_TOKEN, .attempt = 3, .body = "y",
          .want = "token@2 1/1.1 f2 [1] y" },
        { STEP_DONE, .attempt = 3, .body = "xy",
          .want = "outcome@2 1/1.1 f2 ok ran =xy" },
    } },
  { "a new owner with other content gets its own answer",
    {
        { STEP_CALL, .idempotent = true, .body = "a",
          .want = "start 1/1.1 w0" },
        { STEP_CALL, .idempotent = true, .body = "b", .fence = 2, .peer = 2,
          .want = "stop 1/1.1" },
        { STEP_DONE, .body = "for a", .want = "start 1/1.1 w0" },
        { STEP_DONE, .body = "for b",
          .want = "outcome@2 1/1.1 f2 ok ran =for b" },
    } },
  { "a new owner is not given its predecessor's failure",
    {
        { STEP_CALL, .idempotent = true, .want = "start 1/1.1 w0" },
        { STEP_DONE, .error = MQ_ERR_BAD_ANSWER, .ran = MQ_RAN_RAN,
          .want = "outcome@1 1/1.1 f1 bad_answer ran" },
        { STEP_CALL, .idempotent = true, .fence = 2,
          .want = "start 1/1.1 w0" },
    } },
  { "a new owner that lost steps drops the later calls",
    {
        { STEP_CALL, .call = 5, .idempotent = true, .want = "start 1/5.1 w0" },
        { STEP_DONE, .call = 5, .body = "old",
          .want = "outcome@1 1/5.1 f1 ok ran =old" },
        { STEP_CALL, .call = 4, .idempotent = true, .fence = 2,
          .want = "start 1/4.1 w0" },
        { STEP_DONE, .call = 4, .want = "outcome@1 1/4.1 f2 ok ran" },
        { STEP_CALL, .call = 5, .idempotent = true, .fence = 2,
          .want = "start 1/5.1 w0" },
    } },
  { "the next call stops an abandoned earlier call",
    {
        { STEP_CALL, .idempotent = true, .want = "start 1/1.1 w0" },
        { STEP_CALL, .call = 2, .idempotent = true, .want = "stop 1/1.1" },
        { STEP_DONE, .want = "start 1/2.1 w0" },
    } },
  { "FORGET of a later call also drops earlier idempotent outcomes",
    {
        { STEP_CALL, .idempotent = true, .want = "start 1/1.1 w0" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_CALL, .call = 2, .idempotent = true, .want = "start 1/2.1 w0" },
        { STEP_DONE, .call = 2, .want = "outcome@1 1/2.1 f1 ok ran" },
        { STEP_FORGET, .call = 2, .want = "" },
        { STEP_RECOVER, .fence = 2, .want = "recovered@1 f2" },
    } },
  { "a route that became non-idempotent",
    {
        { STEP_CALL, .idempotent = true, .want = "start 1/1.1 w0" },
        { STEP_CALL, .attempt = 2, .want = "" },
        { STEP_DONE, .body = "a", .want = "outcome@1 1/1.2 f1 ok ran =a" },
        { STEP_CALL, .attempt = 3, .want = "outcome@1 1/1.3 f1 ok ran =a" },
    } },
};

Test (gate, idempotent) { RUN_CASES (idempotent_cases); }

/* SEAL must give an owner a reliable answer about a call of unknown state
   before the call is placed elsewhere; otherwise it could run twice or
   never.  */
static const struct gate_case seal_cases[] = {
  { "unknown: the late CALL is refused",
    {
        { STEP_SEAL, .fence = 2, .want = "sealed@1 1/1.1 f2 sealed" },
        { STEP_SEAL, .fence = 2, .want = "sealed@1 1/1.1 f2 sealed" },
        { STEP_CALL, .fence = 2, .want = "outcome@1 1/1.1 f2 sealed not_run" },
        { STEP_CALL, .fence = 3, .want = "outcome@1 1/1.1 f3 sealed not_run" },
        { STEP_CALL, .fence = 3, .attempt = 2, .want = "start 1/1.2 w0" },
        { STEP_SEAL, .fence = 3, .want = "sealed@1 1/1.1 f3 sealed" },
        { STEP_DONE, .attempt = 2, .want = "outcome@1 1/1.2 f3 ok ran" },
    } },
  { "running: the outcome is sent to the sealing peer",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_SEAL, .fence = 2, .peer = 2,
          .want = "sealed@2 1/1.1 f2 running" },
        { STEP_DONE, .body = "a", .want = "outcome@2 1/1.1 f2 ok ran =a" },
    } },
  { "done: the outcome is sent before SEALED",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_DONE, .body = "a", .want = "outcome@1 1/1.1 f1 ok ran =a" },
        { STEP_SEAL, .fence = 2, .peer = 2,
          .want = "outcome@2 1/1.1 f2 ok ran =a; sealed@2 1/1.1 f2 done" },
    } },
  { "queued: it is removed and refused",
    {
        { STEP_CALL, .program = 9, .want = "start 9/1.1 w0" },
        { STEP_CALL, .want = "" },
        { STEP_SEAL, .fence = 2, .peer = 2,
          .want = "outcome@2 1/1.1 f2 sealed not_run; "
                  "sealed@2 1/1.1 f2 sealed" },
        { STEP_DONE, .program = 9, .want = "outcome@1 9/1.1 f1 ok ran" },
        { STEP_CALL, .fence = 2, .want = "outcome@1 1/1.1 f2 sealed not_run" },
    } },
  { "forgotten: not reported as never run",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_FORGET, .want = "" },
        { STEP_SEAL, .fence = 2,
          .want = "outcome@1 1/1.1 f2 sealed unknown; "
                  "sealed@1 1/1.1 f2 done" },
    } },
};

Test (gate, seals) { RUN_CASES (seal_cases); }

/* RECOVER must give a new owner the outcomes and running calls of its
   predecessor, so that no completed work is lost.  */
static const struct gate_case recover_cases[] = {
  { "outcomes, running and queued calls go to the successor",
    {
        { STEP_CALL, .idempotent = true, .want = "start 1/1.1 w0" },
        { STEP_DONE, .body = "a", .want = "outcome@1 1/1.1 f1 ok ran =a" },
        { STEP_CALL, .program = 2, .want = "start 2/1.1 w0" },
        { STEP_TOKEN, .program = 2, .body = "x",
          .want = "token@1 2/1.1 f1 [0] x" },
        { STEP_CALL, .program = 3, .want = "" },
        { STEP_CALL, .program = 4, .idempotent = true, .want = "" },
        { STEP_RECOVER, .fence = 2, .peer = 2,
          .want = "outcome@2 1/1.1 f2 ok ran recovered =a; "
                  "recovered@2 f2 2/1.1 3/1.1" },
        { STEP_TOKEN, .program = 2, .body = "y",
          .want = "token@2 2/1.1 f2 [1] y" },
        { STEP_DONE, .program = 2, .body = "xy",
          .want = "outcome@2 2/1.1 f2 ok ran =xy; start 3/1.1 w0" },
        { STEP_DONE, .program = 3, .want = "outcome@2 3/1.1 f2 ok ran" },
    } },
  { "a repeated RECOVER is answered again",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_RECOVER, .fence = 2, .want = "recovered@1 f2 1/1.1" },
        { STEP_RECOVER, .fence = 2, .want = "recovered@1 f2 1/1.1" },
    } },
  { "a call of the new owner is not dropped by its own late RECOVER",
    {
        { STEP_CALL, .program = 9, .fence = 2, .want = "start 9/1.1 w0" },
        { STEP_CALL, .idempotent = true, .fence = 2, .want = "" },
        { STEP_RECOVER, .fence = 2, .want = "recovered@1 f2 9/1.1 1/1.1" },
    } },
};

Test (gate, recover) { RUN_CASES (recover_cases); }

/* Calls must complete after the loss of their connection and their outcomes
   must reach the owner on a new one.  */
static const struct gate_case peer_cases[] = {
  { "calls continue, outcomes are retained until requested",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_PEER_DOWN, .want = "" },
        { STEP_TOKEN, .body = "x", .want = "" },
        { STEP_DONE, .body = "xy", .want = "" },
        { STEP_CALL, .peer = 2, .want = "outcome@2 1/1.1 f1 ok ran =xy" },
    } },
  { "all outcomes are resent when the owner reconnects",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_DONE, .body = "a", .want = "outcome@1 1/1.1 f1 ok ran =a" },
        { STEP_CALL, .program = 2, .want = "start 2/1.1 w0" },
        { STEP_PEER_DOWN, .want = "" },
        { STEP_LEASE, .program = 3, .peer = 2, .ms = 1000,
          .want = "outcome@2 1/1.1 f1 ok ran =a" },
        { STEP_LEASE, .program = 3, .peer = 2, .ms = 1000, .want = "" },
        { STEP_DONE, .program = 2, .body = "b",
          .want = "outcome@2 2/1.1 f1 ok ran =b" },
    } },
  { "messages that the gate does not handle are ignored",
    { { STEP_UNHANDLED, .want = "" } } },
};

Test (gate, peers) { RUN_CASES (peer_cases); }

static const struct gate_case cancel_cases[] = {
  { "queued",
    {
        { STEP_CALL, .program = 9, .want = "start 9/1.1 w0" },
        { STEP_CALL, .want = "" },
        { STEP_CANCEL, .want = "outcome@1 1/1.1 f1 cancelled not_run" },
        { STEP_CALL, .want = "outcome@1 1/1.1 f1 sealed not_run" },
    } },
  { "running, once",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_CANCEL, .want = "stop 1/1.1" },
        { STEP_CANCEL, .want = "" },
        { STEP_DONE, .error = MQ_ERR_TARGET_FAILED, .ran = MQ_RAN_UNKNOWN,
          .tokens_out = 7, .want = "outcome@1 1/1.1 f1 cancelled unknown" },
        { STEP_CANCEL, .want = "outcome@1 1/1.1 f1 cancelled unknown" },
    } },
  { "too late: the outcome stands",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_CANCEL, .want = "stop 1/1.1" },
        { STEP_DONE, .body = "a", .want = "outcome@1 1/1.1 f1 ok ran =a" },
    } },
  { "before its call",
    {
        { STEP_CANCEL, .want = "outcome@1 1/1.1 f1 cancelled not_run" },
        { STEP_CALL, .want = "outcome@1 1/1.1 f1 sealed not_run" },
    } },
  { "before its call: a new fence voids it",
    {
        { STEP_CANCEL, .call = 5,
          .want = "outcome@1 1/5.1 f1 cancelled not_run" },
        { STEP_CALL, .call = 4, .fence = 2, .want = "start 1/4.1 w0" },
    } },
  { "of an earlier attempt, late",
    {
        { STEP_CALL, .attempt = 2, .want = "start 1/1.2 w0" },
        { STEP_CANCEL, .want = "" },
    } },
};

Test (gate, cancel) { RUN_CASES (cancel_cases); }

/* A draining host must refuse new calls and complete the running ones.  */
static const struct gate_case leave_cases[] = {
  { "refuse new calls, complete running ones, wait until durable",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_CALL, .program = 2, .want = "" },
        { STEP_LEAVE, .loads = true,
          .want = "state leaving; outcome@1 2/1.1 f1 leaving not_run retry; "
                  "load@1 leaving 1+0/1 0+0/1; load@2 leaving 1+0/1 0+0/1; "
                  "load@3 leaving 1+0/1 0+0/1" },
        { STEP_CALL, .program = 3,
          .want = "outcome@1 3/1.1 f1 leaving not_run" },
        { STEP_CALL, .peer = 2, .want = "" },
        { STEP_DONE, .body = "a", .want = "outcome@2 1/1.1 f1 ok ran =a" },
        { STEP_CALL, .want = "outcome@1 1/1.1 f1 ok ran =a" },
        { STEP_FORGET, .want = "state drained" },
        { STEP_LEAVE, .want = "" },
    } },
  { "a new attempt does not stop the running one",
    {
        { STEP_CALL, .idempotent = true, .want = "start 1/1.1 w0" },
        { .type = STEP_LEAVE },
        { STEP_CALL, .idempotent = true, .attempt = 2,
          .want = "outcome@1 1/1.2 f1 leaving not_run" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
    } },
  { "idle: drained immediately",
    { { STEP_LEAVE, .want = "state leaving; state drained" } } },
};

Test (gate, leave) { RUN_CASES (leave_cases); }

/* The cache memory of ended programs and expired leases must be freed although
   owners fail and engines restart or are slow.  */
static const struct gate_case lease_cases[] = {
  { "a failed eviction is retried until it is confirmed",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_LEASE, .lease = MQ_LEASE_ENDED, .want = "evict w0 1" },
        { STEP_EVICTED, .failed = true, .want = "state evict_retry" },
        { STEP_WAIT, .ms = 199, .want = "" },
        { STEP_WAIT, .ms = 1, .want = "evict w0 1" },
        { STEP_EVICTED, .failed = true, .want = "" },
        { STEP_WAIT, .ms = 399, .want = "" },
        { STEP_WAIT, .ms = 1, .want = "evict w0 1" },
        { STEP_EVICTED, .want = "evicted@1 1" },
    } },
  { "an unanswered eviction is retried",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_LEASE, .lease = MQ_LEASE_ENDED, .want = "evict w0 1" },
        { STEP_WAIT, .ms = 5000, .want = "evict w0 1" },
        { STEP_EVICTED, .want = "evicted@1 1" },
        { STEP_EVICTED, .want = "" },
    } },
  { "an engine restart confirms all evictions",
    {
        { STEP_UP, .boot = 5, .want = "" },
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_LEASE, .lease = MQ_LEASE_ENDED, .want = "evict w0 1" },
        { STEP_DOWN, .want = "" },
        { STEP_EVICTED, .failed = true, .want = "state evict_retry" },
        { STEP_UP, .boot = 6, .want = "evicted@1 1" },
    } },
  { "an engine that was only unreachable keeps its cache",
    {
        { STEP_UP, .boot = 5, .want = "" },
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_LEASE, .lease = MQ_LEASE_ENDED, .want = "evict w0 1" },
        { STEP_DOWN, .want = "" },
        { STEP_EVICTED, .failed = true, .want = "state evict_retry" },
        { STEP_UP, .boot = 5, .want = "" },
        { STEP_WAIT, .ms = 200, .want = "evict w0 1" },
        { STEP_EVICTED, .want = "evicted@1 1" },
    } },
  { "evicted only after the run that uses it",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_LEASE, .lease = MQ_LEASE_ENDED, .want = "" },
        { STEP_DONE, .want = "evict w0 1; outcome@1 1/1.1 f1 ok ran" },
        { STEP_EVICTED, .want = "evicted@1 1" },
    } },
  { "queued calls of an ended program are refused",
    {
        { STEP_CALL, .program = 9, .want = "start 9/1.1 w0" },
        { STEP_CALL, .idempotent = true, .want = "" },
        { STEP_LEASE, .lease = MQ_LEASE_ENDED,
          .want = "outcome@1 1/1.1 f1 cancelled not_run; evict w0 1" },
    } },
  { "an expired lease",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_FORGET, .want = "" },
        { STEP_LEASE, .lease = MQ_LEASE_PAUSED, .ms = 1000, .want = "" },
        { STEP_WAIT, .ms = 900, .want = "" },
        { STEP_LEASE, .lease = MQ_LEASE_PAUSED, .ms = 1000, .want = "" },
        { STEP_WAIT, .ms = 900, .want = "" },
        { STEP_WAIT, .ms = 100, .want = "evict w0 1" },
        { STEP_EVICTED, .want = "" },
    } },
  { "an expired lease with a retained outcome",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_LEASE, .lease = MQ_LEASE_PAUSED, .ms = 1000, .want = "" },
        { STEP_WAIT, .ms = 1000, .want = "" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_WAIT, .ms = 10000, .want = "evict w0 1" },
    } },
  { "an expired lease during a call that uses no cache",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_LEASE, .lease = MQ_LEASE_PAUSED, .ms = 1000, .want = "" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_CALL, .call = 2, .worker = 1, .service = "p",
          .want = "start 1/2.1 w1" },
        { STEP_WAIT, .ms = 1000, .want = "evict w0 1" },
    } },
  { "an expired lease during a call that uses the cache",
    {
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_LEASE, .lease = MQ_LEASE_PAUSED, .ms = 1000, .want = "" },
        { STEP_WAIT, .ms = 1000, .want = "" },
        { STEP_WAIT, .ms = 30000, .want = "" },
    } },
  { "a late renewal does not restore an ended program",
    {
        { STEP_LEASE, .lease = MQ_LEASE_ENDED, .want = "evict w0 1" },
        { STEP_EVICTED, .want = "evicted@1 1" },
        { STEP_LEASE, .lease = MQ_LEASE_ACTIVE, .ms = 60000, .want = "" },
        { STEP_CACHE, .entries = { { { 1, 0 }, 50 } }, .want = "evict w0 1" },
    } },
  { "unknown program, cache reported: nothing to evict",
    {
        { STEP_CACHE, .entries = { { { 7, 0 }, 50 } }, .want = "" },
        { STEP_LEASE, .lease = MQ_LEASE_ENDED, .want = "evicted@1 1" },
        { STEP_LEASE, .program = 7, .lease = MQ_LEASE_ENDED,
          .want = "evict w0 7" },
        { STEP_EVICTED, .program = 7, .want = "evicted@1 7" },
    } },
  { "an unleased cache is kept for the grace period",
    {
        { STEP_CACHE,
          .entries = { { { 7, 0 }, 50 }, { { 8, 0 }, 50 }, { { 0, 0 }, 9 } },
          .want = "" },
        { STEP_LEASE, .program = 8, .ms = 60000, .want = "" },
        { STEP_WAIT, .ms = 10000, .want = "evict w0 7" },
    } },
  { "a call restores a program whose lease expired",
    {
        { STEP_LEASE, .ms = 100, .want = "" },
        { STEP_CACHE, .entries = { { { 1, 0 }, 50 } }, .want = "" },
        { STEP_WAIT, .ms = 100, .want = "evict w0 1" },
        { STEP_EVICTED, .failed = true, .want = "state evict_retry" },
        { STEP_CALL, .want = "start 1/1.1 w0" },
        { STEP_WAIT, .ms = 1000, .want = "" },
    } },
};

Test (gate, leases) { RUN_CASES (lease_cases); }

static const struct gate_case order_cases[] = {
  { "fence, repeats and results",
    {
        { STEP_ORDER, .id = 1, .fence = 5, .body = "m1",
          .want = "order w0 1 m1" },
        { STEP_ORDER, .id = 1, .fence = 5, .body = "m1", .peer = 2,
          .want = "" },
        { STEP_ORDERED, .id = 1, .want = "state order; ordered@2 1 ok" },
        { STEP_ORDER, .id = 1, .fence = 5, .body = "m1",
          .want = "ordered@1 1 ok" },
        { STEP_ORDER, .id = 2, .fence = 4, .body = "m0",
          .want = "ordered@1 2 stale_fence" },
        { STEP_ORDER, .id = 2, .fence = 4, .body = "m0", .worker = 1,
          .want = "order w1 2 m0" },
    } },
  { "effective orders are repeated after an engine restart",
    {
        { STEP_ORDER, .id = 1, .body = "m1", .want = "order w0 1 m1" },
        { STEP_ORDERED, .id = 1 },
        { STEP_ORDER, .id = 2, .body = "m2", .want = "order w0 2 m2" },
        { STEP_ORDERED, .id = 2 },
        { STEP_ORDER, .id = 3, .order = MQ_ORDER_LOAD_ADAPTER, .body = "a",
          .want = "order w0 3 a" },
        { STEP_ORDERED, .id = 3 },
        { STEP_ORDER, .id = 4, .order = MQ_ORDER_LOAD_ADAPTER, .body = "b",
          .want = "order w0 4 b" },
        { STEP_ORDERED, .id = 4, .error = MQ_ERR_TARGET_FAILED,
          .want = "state order; ordered@1 4 target_failed" },
        { STEP_UP, .want = "order w0 2 m2; order w0 3 a" },
    } },
};

Test (gate, orders) { RUN_CASES (order_cases); }

static const struct gate_case probe_cases[] = {
  { "cached tokens of a program and a shared prefix",
    {
        { STEP_PROBE, .id = 5, .prefix = 77, .want = "probed@1 w0 0 0" },
        { STEP_CALL, .prefix = 77, .want = "start 1/1.1 w0" },
        { STEP_DONE, .tokens_in = 90, .tokens_out = 10, .cached = 40,
          .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_PROBE, .id = 5, .prefix = 77, .want = "probed@1 w0 100 40" },
        { STEP_CACHE, .entries = { { { 1, 0 }, 80 } }, .want = "" },
        { STEP_PROBE, .id = 5, .prefix = 78, .want = "probed@1 w0 80 0" },
        { STEP_UP, .want = "" },
        { STEP_PROBE, .id = 5, .prefix = 77, .want = "probed@1 w0 0 0" },
    } },
};

Test (gate, probes) { RUN_CASES (probe_cases); }

/* The memory for retained outcomes must be bounded without losing the outcome
   of a non-idempotent call.  */
static const struct gate_case bound_cases[] = {
  { "idempotent outcomes are dropped, oldest first",
    {
        { STEP_CALL, .idempotent = true, .want = "start 1/1.1 w0" },
        { STEP_DONE, .want = "outcome@1 1/1.1 f1 ok ran" },
        { STEP_CALL, .program = 2, .want = "start 2/1.1 w0" },
        { STEP_DONE, .program = 2, .want = "outcome@1 2/1.1 f1 ok ran" },
        { STEP_CALL, .program = 3, .want = "start 3/1.1 w0" },
        { STEP_DONE, .program = 3, .want = "outcome@1 3/1.1 f1 ok ran" },
        { STEP_CALL, .program = 4,
          .want = "outcome@1 4/1.1 f1 overloaded not_run retry" },
        { STEP_CALL, .program = 2, .want = "outcome@1 2/1.1 f1 ok ran" },
        { STEP_FORGET, .program = 2, .want = "" },
        { STEP_CALL, .program = 4, .attempt = 2, .want = "start 4/1.2 w0" },
    } },
};

Test (gate, bounds)
{
  static const struct mq_gate_worker worker
      = { "m", MQ_SERVICE_MODEL, "guide", 1, 1000 };
  struct mq_gate_options options
      = { .workers = &worker, .worker_count = 1, .outcomes_max = 2 };

  run_case (&bound_cases[0], &options);
}

/* Exhaustive orderings of messages.  */

enum
{
  EVENT_CALL_1,   /* attempt 1, fence 1, boot id of the first process */
  EVENT_CALL_2,   /* attempt 2, fence 2, boot id of the first process */
  EVENT_SEAL_1,   /* attempt 1, fence 2 */
  EVENT_SEAL_2,   /* attempt 2, fence 2 */
  EVENT_FORGET_1, /* attempt 1, fence 1 */
  EVENT_FORGET_2, /* attempt 2, fence 2 */
  EVENT_CANCEL_1, /* attempt 1, fence 1 */
  EVENT_RECOVER,  /* fence 2 */
  EVENT_REBOOT,
  EVENT_DONE, /* the run started last ends */
  EVENT_COUNT,
  DEPTH = 5
};

static const struct gate_step events[EVENT_COUNT] = {
  [EVENT_CALL_1] = { STEP_CALL, .old_boot = true },
  [EVENT_CALL_2] = { STEP_CALL, .attempt = 2, .fence = 2, .old_boot = true },
  [EVENT_SEAL_1] = { STEP_SEAL, .fence = 2 },
  [EVENT_SEAL_2] = { STEP_SEAL, .attempt = 2, .fence = 2 },
  [EVENT_FORGET_1] = { .type = STEP_FORGET },
  [EVENT_FORGET_2] = { STEP_FORGET, .attempt = 2, .fence = 2 },
  [EVENT_CANCEL_1] = { .type = STEP_CANCEL },
  [EVENT_RECOVER] = { STEP_RECOVER, .fence = 2 },
  [EVENT_REBOOT] = { .type = STEP_REBOOT },
  [EVENT_DONE] = { .type = STEP_DONE },
};

struct totals
{
  unsigned long sequences;
  unsigned long starts;
};

static const struct gate_step *
read_event (const struct gate_driver *driver, int event,
            struct gate_step *step)
{
  if (event != EVENT_DONE || driver->start_count == 0)
    return &events[event];
  *step = events[event];
  step->attempt = driver->starts[driver->start_count - 1].ref.attempt;
  return step;
}

/* Runs one sequence and checks after each event that the call was started at
   most once, and that no attempt reported as not run or as sealed was started
   before or is started later.  Reports after a restart are not checked: the
   new process has no state, and owners recognise them by the boot id.  */
static void
run_sequence (const int *sequence, int length, struct totals *totals)
{
  struct gate_driver *driver = gate_driver_create (NULL);
  uint32_t started = 0;
  uint32_t reported_not_run = 0; /* one bit per attempt */
  bool rebooted = false;

  for (int i = 0; i < length; i++)
    {
      struct gate_step step;
      size_t before = driver->start_count;

      if (sequence[i] == EVENT_REBOOT)
        before = 0;
      gate_driver_step (driver, read_event (driver, sequence[i], &step));
      rebooted = rebooted || sequence[i] == EVENT_REBOOT;
      for (size_t j = before; j < driver->start_count; j++)
        {
          uint32_t attempt = driver->starts[j].ref.attempt;

          cr_assert_eq (started, 0, "started twice");
          cr_assert_not (reported_not_run & 1U << attempt,
                         "started after it was reported as not run");
          started |= 1U << attempt;
          totals->starts++;
        }
      for (size_t j = 0; j < driver->actions->count && !rebooted; j++)
        {
          const struct mq_message *message
              = &driver->actions->items[j].u.message;

          if (driver->actions->items[j].type != MQ_ACT_SEND)
            continue;
          if (message->type == MQ_MSG_OUTCOME
              && message->u.outcome.ran == MQ_RAN_NOT_RUN)
            reported_not_run |= 1U << message->u.outcome.ref.attempt;
          if (message->type == MQ_MSG_SEALED
              && message->u.sealed.answer == MQ_SEAL_SEALED)
            reported_not_run |= 1U << message->u.sealed.ref.attempt;
          cr_assert_not (started & reported_not_run,
                         "reported as not run although it was started");
        }
    }
  totals->sequences++;
  gate_driver_destroy (driver);
}

static void
run_sequences (int *sequence, int length, struct totals *totals)
{
  if (length == DEPTH)
    {
      run_sequence (sequence, length, totals);
      return;
    }
  for (int event = 0; event < EVENT_COUNT; event++)
    {
      sequence[length] = event;
      run_sequences (sequence, length + 1, totals);
    }
}

/* A non-idempotent call must be started at most once, and never after a report
   that it did not run, for every sequence of DEPTH events including
   restarts.  */
Test (gate, any_order_starts_once, .timeout = 600)
{
  int sequence[DEPTH];
  struct totals totals = { 0 };

  run_sequences (sequence, 0, &totals);
  cr_expect_eq (totals.sequences, 100000UL);
  cr_expect_gt (totals.starts, totals.sequences / 5);
}
