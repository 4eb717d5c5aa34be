/* replay.h - discrete-time simulation of hosts and engines.

   Hosts make the real decisions (fleet, admission, pace) on their own
   observations. Engines are modelled by standins/engine_model.h.  Programs
   have turns and pauses, and their callers retry rejected turns.  Runs with
   equal seeds give equal results. Needs: fleet.h, admission.h, pace.h,
   engine_model.h.  */

#ifndef REPLAY_H
#define REPLAY_H

#include "../standins/engine_model.h"
#include "core/router/admission.h"
#include "core/router/fleet.h"
#include "core/router/pace.h"

/* Routing decisions that are active.  */
enum replay_policy
{
  REPLAY_ALL_DECISIONS, /* all */
  REPLAY_BY_SLOTS,      /* admission without the pace of turns */
  REPLAY_ALL_ADMITTED,  /* nor admission control */
  REPLAY_HASHED,        /* nor placement by load */
  REPLAY_PREEMPTIVE,    /* and urgent runs preempt others */
  REPLAY_LEAST_LOADED,  /* each turn goes to the least loaded engine */
  REPLAY_POLICIES
};

enum
{
  REPLAY_CLASSES = 2,  /* 0 is the more urgent */
  REPLAY_SECONDS = 60, /* length of the statistics */
  REPLAY_HOSTS_MAX = 256,
  REPLAY_ENGINES_MAX = 256
};

/**
 * struct replay_options - workload and topology
 * @hosts: number of entry hosts
 * @engines: number of engines
 * @slots: requests that an engine runs concurrently
 * @base_us: duration of an engine's step
 * @per_sequence_us: what each request in the step adds to it
 * @patience: factor of the time that programs have
 * @base_per_s: programs started per second outside the burst
 * @burst: load factor during the burst
 * @burst_from_s: start of the burst
 * @burst_s: duration of the burst
 * @length_s: time during which programs start
 */
struct replay_options
{
  enum replay_policy policy;
  uint64_t seed;
  uint32_t hosts;
  uint32_t engines;
  uint32_t slots;
  uint32_t base_us;
  uint32_t per_sequence_us;
  double patience;
  double base_per_s;
  double burst;
  uint32_t burst_from_s;
  uint32_t burst_s;
  uint32_t length_s;
};

/**
 * struct replay_count - programs by result
 * @asked: all programs
 * @met_deadline: finished within their deadline
 * @late: finished within twice their deadline
 * @refused: never admitted
 * @failed: aborted, or finished later
 */
struct replay_count
{
  uint32_t asked;
  uint32_t met_deadline;
  uint32_t late;
  uint32_t refused;
  uint32_t failed;
};

/**
 * struct replay_result - results of a run
 * @classes: counts by class
 * @seconds: counts by the second in which programs started
 * @turns: completed turns
 * @prefill_tokens: prompt tokens that the engines processed
 * @preempted: runs that were preempted
 * @turned_away: programs refused at least once, by admission control
 * @turned_away_again: of them those refused more than once
 * @returned_met: of them those that met their deadline
 * @returned_late: of them those that began and did not
 */
struct replay_result
{
  struct replay_count classes[REPLAY_CLASSES];
  struct replay_count seconds[REPLAY_SECONDS];
  uint64_t turns;
  uint64_t prefill_tokens;
  uint64_t preempted;
  uint32_t turned_away;
  uint32_t turned_away_again;
  uint32_t returned_met;
  uint32_t returned_late;
};

/* Options of the tests: 12 hosts, 12 engines of few slots that keep their
   pace, and a burst of BURST times the base load for 10 s.  */
struct replay_options replay_default_options (enum replay_policy policy,
                                              double burst, uint64_t seed);
/* Likewise, with engines of many slots that slow down with each request, long
   before their slots are full.  */
struct replay_options replay_batch_options (enum replay_policy policy,
                                            double burst, uint64_t seed);
/* Likewise, with 31 hosts of a few requests a second each.  */
struct replay_options replay_fleet_options (enum replay_policy policy,
                                            double burst, uint64_t seed);
void replay_run (const struct replay_options *options,
                 struct replay_result *result);
const char *replay_policy_name (enum replay_policy policy);
/* Programs per second that met their deadline, of those started in seconds
   FROM to UNTIL - 1.  */
double replay_goodput (const struct replay_result *result, uint32_t from,
                       uint32_t until);

#endif
