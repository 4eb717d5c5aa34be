/* world.h - deterministic simulation for the fault matrix.

   The simulation runs the core's state machines with fakes at their
   interfaces: entry hosts (owner, front, spread), target hosts (gate, spread
   and three workers), one table, callers and operators.  Time is virtual, a
   seed determines the order of delivery, and every exchange across an
   interface is an event that a fault can affect.  Invariants are checked from
   outside, by what callers, workers and the table observe.
   Needs: the machines' headers, standins/table.h, jansson.  */

#ifndef MQ_TEST_WORLD_H
#define MQ_TEST_WORLD_H

#include "../standins/table.h"
#include "core/owner/front.h"
#include "core/gate/gate.h"
#include "core/id.h"
#include "core/limits.h"
#include "core/owner/owner.h"
#include "core/spread.h"
#include "core/text/text.h"

/* X (enumerator, name, script) */
#define WORLD_STEP_LIST(X)                                                    \
  X (OPEN, "open", PLAIN)                                                     \
  X (GRANT, "grant", PLAIN)                                                   \
  X (INTENT, "intent", PLAIN)                                                 \
  X (SEND, "send", PLAIN)                                                     \
  X (RUN, "run", PLAIN)                                                       \
  X (OUTCOME, "outcome", PLAIN)                                               \
  X (COMMIT, "commit", PLAIN)                                                 \
  X (ANSWER, "answer", PLAIN)                                                 \
  X (FINAL, "final", PLAIN)                                                   \
  X (FORGET, "forget", PLAIN)                                                 \
  X (TURN, "turn", PLAIN)                                                     \
  X (END, "end", PLAIN)                                                       \
  X (EVICT, "evict", PLAIN)                                                   \
  X (APPLY_WRITE, "apply-write", PLAIN)                                       \
  X (APPLY_SPREAD, "apply-spread", PLAIN)                                     \
  X (CLAIM, "claim", PLAIN)                                                   \
  X (TARGETS, "targets-row", PLAIN)                                           \
  X (SEGMENT, "segment-put", CHECKPOINT)                                      \
  X (SNAPSHOT, "checkpoint-put", CHECKPOINT)                                  \
  X (INSTALL, "checkpoint-row", CHECKPOINT)                                   \
  X (REMOVE, "checkpoint-remove", CHECKPOINT)                                 \
  X (OUTAGE, "outage", OUTAGE)                                                \
  X (FENCE, "takeover-fence", TAKEOVER)                                       \
  X (REPLAY, "takeover-replay", TAKEOVER)                                     \
  X (RECOVER, "takeover-recover", TAKEOVER)                                   \
  X (SEAL, "takeover-seal", SETTLE)                                           \
  X (DRAIN_ENTRY, "drain-entry", DRAIN_ENTRY)                                 \
  X (RELEASE, "drain-release", DRAIN_ENTRY)                                   \
  X (DRAIN_TARGET, "drain-target", DRAIN_TARGET)

enum world_step
{
#define WORLD_STEP_ENUM(id, name, script) STEP_##id,
  WORLD_STEP_LIST (WORLD_STEP_ENUM)
#undef WORLD_STEP_ENUM
      STEP_COUNT
};

/* Scenario of a run, in addition to the injected faults.  */
enum world_script
{
  SCRIPT_PLAIN,
  SCRIPT_CHECKPOINT, /* small batches, frequent checkpoints */
  SCRIPT_OUTAGE,     /* long store outage with additional callers */
  SCRIPT_TAKEOVER,   /* an owner crashes while a call of its program runs */
  SCRIPT_SETTLE, /* an owner crashes after its intent commits, before the call
                    is sent */
  SCRIPT_DRAIN_ENTRY,  /* planned stop of an entry host */
  SCRIPT_DRAIN_TARGET, /* planned stop of the target host that runs the call */
  SCRIPT_COUNT
};

/* X (enumerator, name) */
#define WORLD_FAULT_LIST(X)                                                   \
  X (NONE, "none")                                                            \
  X (OWNER_DIES, "owner-dies")                                                \
  X (OWNER_DIES_AFTER, "owner-dies-after")                                    \
  X (OWNER_PAUSED, "owner-paused")                                            \
  X (WRITE_LOST, "write-answer-lost")                                         \
  X (WRITE_LATE, "write-late")                                                \
  X (STORE_DOWN, "store-down")                                                \
  X (STORE_SLOW, "store-slow")                                                \
  X (SILENT, "connection-silent")                                             \
  X (LATE, "message-late")                                                    \
  X (DUPLICATED, "message-doubled")                                           \
  X (REORDERED, "message-crossed")                                            \
  X (GATE_REBOOTS, "gate-reboots")                                            \
  X (ENGINE_REBOOTS, "engine-reboots")                                        \
  X (WORKER_HANGS, "worker-hangs")                                            \
  X (TARGET_LEAVES, "target-leaves")                                          \
  X (CENTRE_DIES, "centre-dies")                                              \
  X (OPERATORS_RACE, "operators-race")

enum world_fault
{
#define WORLD_FAULT_ENUM(id, name) FAULT_##id,
  WORLD_FAULT_LIST (WORLD_FAULT_ENUM)
#undef WORLD_FAULT_ENUM
      FAULT_COUNT
};

/* X (enumerator, name) */
#define WORLD_INVARIANT_LIST(X)                                               \
  X (ORDER, "calls of a program run in order")                                \
  X (ONCE, "a non-idempotent call takes effect at most once")                 \
  X (BUDGET, "tokens spent stay within the budget")                           \
  X (HISTORY, "each model call receives its program's complete history")      \
  X (ONE_ANSWER, "each request gets exactly one final answer or refusal")     \
  X (OWN_ANSWER, "the answer is complete and belongs to the caller")          \
  X (LOGGED_ANSWER, "the answer equals the one in the table's log")           \
  X (STREAM, "the streamed text is a prefix of the answer")                   \
  X (NOT_RUN, "a request refused as not run had no effect")                   \
  X (ENDS, "every request that its caller repeats ends")                      \
  X (CACHE, "no engine keeps the cache of an ended program")                  \
  X (LEAVING, "a leaving target starts no call received after its LEAVE")     \
  X (PLANNED_STOP, "a planned stop interrupts no call or request")            \
  X (CONFIG_MONOTONIC, "the configuration version in force never decreases")  \
  X (CONFIG_EQUAL, "every host has the table's configuration version")        \
  X (APPLY_DURABLE, "an accepted configuration is not lost")                  \
  X (BECOMES_IDLE, "the state machines become idle")                          \
  X (REPLAY_EQUAL, "a takeover while idle restores the same programs")        \
  X (STORED, "the store keeps only a checkpoint and the log after it")        \
  X (EVICTED,                                                                 \
     "cache of an ended program is evicted within its lease and 11 s")        \
  X (TAKEN_OVER, "a partition is taken over within its lease and 6 s")        \
  X (TOLD, "an answer is in the log before the caller gets it")               \
  X (INTENT_COMMITTED,                                                        \
     "a non-idempotent call starts after its intent commits")                 \
  X (FENCE, "a partition's fence in the table never decreases")               \
  X (OUTAGE,                                                                  \
     "a store outage refuses batch work only; idempotent calls continue")     \
  X (NO_LIVE_TAKEOVER, "a store outage causes no takeover from a live owner") \
  X (MEMORY, "no process grows without bound")                                \
  X (LOAD, "hosts that survive a data centre stay within their store quota")

enum world_invariant
{
#define WORLD_INVARIANT_ENUM(id, name) INVARIANT_##id,
  WORLD_INVARIANT_LIST (WORLD_INVARIANT_ENUM)
#undef WORLD_INVARIANT_ENUM
      INVARIANT_COUNT
};

/* Seeded bugs, which show that each invariant can fail.  X (enumerator,
   name) */
#define WORLD_MUTATION_LIST(X)                                                \
  X (NONE, "none")                                                            \
  X (ANSWER_BEFORE_RUN, "a worker replies to a call before running it")       \
  X (START_DUPLICATED, "a call is delivered to its worker twice")             \
  X (CAP_IGNORED, "engines ignore max_tokens")                                \
  X (HISTORY_MIXED, "a call carries another program's messages")              \
  X (HISTORY_CUT, "a call lacks a message of its history")                    \
  X (FINAL_DOUBLED, "a caller gets its final answer twice")                   \
  X (ANSWER_SWAPPED, "a caller gets another caller's answer")                 \
  X (COMMIT_DROPPED, "a commit is dropped and reported as applied")           \
  X (TOKEN_DOUBLED, "a caller gets a token twice")                            \
  X (REFUSED_AND_RUN, "a request is refused as not run, but runs")            \
  X (FINAL_DROPPED, "a caller's final answer never comes")                    \
  X (EVICT_SKIPPED, "an eviction is confirmed but not done")                  \
  X (LEAVE_DROPPED, "a leaving target does not receive LEAVE")                \
  X (STOP_TERMINATES, "a planned stop terminates the process at once")        \
  X (CONFIG_REVERTED, "a process loses its configuration")                    \
  X (CONFIG_UNREACHABLE, "a host receives no configuration")                  \
  X (APPLY_REVERTED, "the table reverts to an older configuration")           \
  X (CONDITION_IGNORED, "an old owner's write ignores its condition")         \
  X (ECHO, "each message is delivered repeatedly")                            \
  X (CHECKPOINT_CUT, "a checkpoint lacks a program")                          \
  X (REMOVAL_SKIPPED, "an object's removal is confirmed but not done")        \
  X (EVICT_DELAYED, "evictions fail for 25 s")                                \
  X (CLAIM_REFUSED, "the table refuses claims for 12 s")                      \
  X (URGENT_REFUSED, "urgent work is refused in an outage")                   \
  X (RENEWALS_REFUSED, "the table refuses renewals after an outage")          \
  X (MEMORY_LEAKED, "a process leaks a megabyte per second")                  \
  X (READS_REPEATED, "each read of a surviving host is repeated ten times")

enum world_plant
{
#define WORLD_MUTATION_ENUM(id, name) PLANT_##id,
  WORLD_MUTATION_LIST (WORLD_MUTATION_ENUM)
#undef WORLD_MUTATION_ENUM
      PLANT_COUNT
};

/**
 * struct world_cell - parameters of one run
 * @step: where the fault is injected
 * @nth: occurrence of the step, from 1; 0: no fault
 * @fault: what is injected
 * @second: a second fault, or FAULT_NONE
 * @gap: steps of any kind between the first and the second fault
 * @seed: seed of the run's random generator
 * @plant: seeded bug
 */
struct world_cell
{
  enum world_step step;
  uint32_t nth;
  enum world_fault fault;
  enum world_fault second;
  uint32_t gap;
  uint64_t seed;
  enum world_plant plant;
};

enum
{
  WORLD_VIOLATIONS_MAX = 4,
  WORLD_TEXT_MAX = 240
};

struct world_violation
{
  enum world_invariant invariant;
  char text[WORLD_TEXT_MAX];
};

/**
 * struct world_report - results of a run
 * @injected: faults that were injected, at most 2
 * @steps: how often each step occurred
 * @end_us: virtual end time
 * @events: events handled
 * @broken: violations of each invariant
 * @violation_count: all violations; may exceed WORLD_VIOLATIONS_MAX
 * @violations: the first WORLD_VIOLATIONS_MAX
 * @orphans: objects that no row references at the end
 * @held_us: longest time that cache of an ended program was kept
 * @unowned_us: longest time that a partition had no owner
 * @starts_in_outage: calls started during the long outage
 * @batch_refused: batch requests refused during the outage
 * @urgent_refused: other requests refused during the outage
 * @taken_alive: partitions taken from a live owner
 * @memory_max: memory of the largest process, bytes
 * @outage_done_us: from the end of the outage to the last answer
 * @centre_peak: highest store load of the hosts that survive a data centre in
 * one second; @commits counts writes of records and their objects
 */
struct world_report
{
  uint32_t injected;
  uint32_t steps[STEP_COUNT];
  uint64_t end_us;
  uint64_t events;
  uint32_t broken[INVARIANT_COUNT];
  uint32_t violation_count;
  struct world_violation violations[WORLD_VIOLATIONS_MAX];
  uint32_t orphans;
  uint64_t held_us;
  uint64_t unowned_us;
  uint32_t starts_in_outage;
  uint32_t batch_refused;
  uint32_t urgent_refused;
  uint32_t taken_alive;
  uint64_t memory_max;
  uint64_t outage_done_us;
  struct world_load
  {
    uint32_t reads;
    uint32_t writes;
    uint32_t commits;
  } centre_peak;
};

/* Runs CELL until the world is idle and checks the invariants.  TRACE prints
   every event.  */
void world_run (const struct world_cell *cell, bool trace,
                struct world_report *report);

const char *world_step_name (enum world_step step);
const char *world_fault_name (enum world_fault fault);
const char *world_invariant_name (enum world_invariant invariant);
const char *world_plant_name (enum world_plant plant);
enum world_script world_step_script (enum world_step step);

#endif
