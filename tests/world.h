/* world.h - the fault matrix's world: the pure machines of the core with
   small fakes at their interfaces.

   Entry hosts (owner, front, spread), target hosts (gate, spread and three
   workers), one table, callers and operators.  Time is virtual, the order
   of delivery comes from a seed, and everything that crosses an interface
   is an event that a fault can hit.  What must hold is judged from outside:
   by what callers, workers and the table saw.
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

/* X (enumerator, name, script)  */
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

/* What happens in a run besides the faults.  */
enum world_script
{
  SCRIPT_PLAIN,
  SCRIPT_CHECKPOINT,   /* checkpoints after a few records */
  SCRIPT_OUTAGE,       /* the store is down for long, and callers open more */
  SCRIPT_TAKEOVER,     /* an owner dies while a call of its program runs */
  SCRIPT_SETTLE,       /* it dies with its intent durable and nothing sent */
  SCRIPT_DRAIN_ENTRY,  /* it is stopped as planned */
  SCRIPT_DRAIN_TARGET, /* the target host that runs the call is */
  SCRIPT_COUNT
};

/* X (enumerator, name)  */
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
  X (DOUBLED, "message-doubled")                                              \
  X (CROSSED, "message-crossed")                                              \
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

/* X (enumerator, name)  */
#define WORLD_INVARIANT_LIST(X)                                               \
  X (ORDER, "calls of a program ran in order")                                \
  X (ONCE, "a call that may not be repeated took effect at most once")        \
  X (BUDGET, "tokens spent stay within the budget")                           \
  X (HISTORY, "each model call saw its program's own history, whole")         \
  X (ONE_ANSWER, "each request got exactly one final answer or refusal")      \
  X (OWN_ANSWER, "the answer is whole and the caller's own")                  \
  X (LOGGED_ANSWER, "the answer is the one that the table's log holds")       \
  X (STREAM, "what was streamed is the beginning of the answer")              \
  X (NOT_RUN, "what was refused as not run had no effect")                    \
  X (ENDS, "a request that its caller never gave up on ends")                 \
  X (CACHE, "no engine holds cache of a program that has ended")              \
  X (LEAVING, "a leaving target starts no call that came after its LEAVE")    \
  X (PLANNED_STOP, "a planned stop cuts nothing in progress")                 \
  X (CONFIG_RISES, "the version in force never falls")                        \
  X (CONFIG_EQUAL, "the version in force is the table's everywhere")          \
  X (APPLY_HOLDS, "an accepted apply stays")                                  \
  X (SETTLES, "the machines come to rest")                                    \
  X (REPLAYED, "a takeover at rest finds the same programs")                  \
  X (STORED, "the store keeps a checkpoint and the log since, no more")       \
  X (EVICTED, "cache of an ended program goes within its lease and 11 s")     \
  X (RESUMED, "a partition has an owner again within its lease and 6 s")      \
  X (TOLD, "an answer is in the log before it is told")                       \
  X (INTENDED, "a call that may not be repeated starts after its intent")     \
  X (FENCE, "a partition's fence in the table never falls")                   \
  X (OUTAGE,                                                                  \
     "an outage refuses batch work only; what may be repeated goes on")       \
  X (TAKEN, "an outage takes no partition from an owner that lives")          \
  X (MEMORY, "no process grows without bound")                                \
  X (LOAD, "the survivors of a data centre keep to their share of the store")

enum world_invariant
{
#define WORLD_INVARIANT_ENUM(id, name) INVARIANT_##id,
  WORLD_INVARIANT_LIST (WORLD_INVARIANT_ENUM)
#undef WORLD_INVARIANT_ENUM
      INVARIANT_COUNT
};

/* Bugs planted in the world, so that each invariant is known to be able to
   fail.  X (enumerator, name)  */
#define WORLD_MUTATION_LIST(X)                                                \
  X (NONE, "none")                                                            \
  X (ANSWER_BEFORE_RUN, "a worker answers a call before it runs it")          \
  X (START_CLONED, "a call reaches its worker twice")                         \
  X (CAP_IGNORED, "engines ignore max_tokens")                                \
  X (HISTORY_MIXED, "a call carries another program's messages")              \
  X (HISTORY_CUT, "a call lacks a message of its history")                    \
  X (FINAL_DOUBLED, "a caller gets its final answer twice")                   \
  X (ANSWER_SWAPPED, "a caller gets another caller's answer")                 \
  X (COMMIT_DROPPED, "a commit is dropped and reported as applied")           \
  X (TOKEN_DOUBLED, "a caller gets a token twice")                            \
  X (REFUSED_AND_RUN, "a request is refused as not run, and runs")            \
  X (FINAL_SWALLOWED, "a caller's final answer never comes")                  \
  X (EVICT_SWALLOWED, "an eviction is confirmed and not done")                \
  X (LEAVE_HIDDEN, "a leaving target does not know of it")                    \
  X (STOP_CUTS, "a planned stop kills the process")                           \
  X (CONFIG_REVERTED, "a process goes back to no configuration")              \
  X (CONFIG_CUT_OFF, "a host hears of no configuration")                      \
  X (APPLY_REVERTED, "the table goes back to an older configuration")         \
  X (CONDITION_IGNORED, "an old owner's write passes its condition")          \
  X (ECHO, "a process hears each message again and again")                    \
  X (CHECKPOINT_CUT, "a checkpoint lacks a program")                          \
  X (DROP_SWALLOWED, "an object's removal is confirmed and not done")         \
  X (EVICT_DELAYED, "evictions fail for 25 s")                                \
  X (CLAIM_HELD, "the table refuses claims for 12 s")                         \
  X (URGENT_REFUSED, "urgent work is refused in an outage")                   \
  X (RENEWALS_REFUSED, "the table refuses renewals after an outage")          \
  X (MEMORY_LEAKED, "a process keeps a megabyte of each second")              \
  X (READS_REPEATED, "each read of a survivor is made ten times")

enum world_plant
{
#define WORLD_MUTATION_ENUM(id, name) PLANT_##id,
  WORLD_MUTATION_LIST (WORLD_MUTATION_ENUM)
#undef WORLD_MUTATION_ENUM
      PLANT_COUNT
};

/**
 * struct world_cell - one run of the world
 * @step: where the fault is injected
 * @nth: at which occurrence of the step, from 1; 0: nowhere
 * @fault: what is injected
 * @second: a second fault, or FAULT_NONE
 * @gap: it is injected at this many steps of any kind after the first
 * @seed: of everything that is random in the run
 * @plant: bug planted in the world
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
 * struct world_report - what a run showed
 * @injected: faults that were injected, at most 2
 * @steps: how often each step occurred
 * @end_us: virtual time at the end
 * @events: events handled
 * @broken: violations of each invariant
 * @violation_count: violations, also those that did not fit below
 * @violations: the first of them
 * @orphans: objects at the end that no row names
 * @held_us: longest that cache of an ended program was held
 * @unowned_us: longest that a partition was without its owner
 * @starts_in_outage: calls that workers began in the long outage
 * @batch_refused: refusals of batch work in it
 * @urgent_refused: refusals of other work in it
 * @taken_alive: partitions taken from an owner that lived
 * @memory_max: bytes of the largest process
 * @outage_done_us: from the end of the outage to the last answer
 * @centre_peak: most that a data centre's survivors asked of the store in one
 *               second; @commits: of programs' records, with their objects
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

/* Runs CELL to rest and judges it; TRACE: prints every event.  */
void world_run (const struct world_cell *cell, bool trace,
                struct world_report *report);

const char *world_step_name (enum world_step step);
const char *world_fault_name (enum world_fault fault);
const char *world_invariant_name (enum world_invariant invariant);
const char *world_plant_name (enum world_plant plant);
enum world_script world_step_script (enum world_step step);

#endif
