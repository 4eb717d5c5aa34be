/* replay.h - programs at engines through many hosts, in virtual time.

   The hosts run the real decisions (fleet, admission) on what each of them has
   seen; the engines are the model of standins/engine_model.h; programs have
   turns, pauses and callers that come back as refused ones do.  The same seed
   gives the same figures.
   Needs: fleet.h, admission.h, engine_model.h.  */

#ifndef REPLAY_H
#define REPLAY_H

#include "../standins/engine_model.h"
#include "core/router/admission.h"
#include "core/router/fleet.h"

/* Which decisions are on.  */
enum replay_policy
{
  REPLAY_ALL_DECISIONS, /* all, as in the product */
  REPLAY_ALL_ADMITTED,  /* no program is refused */
  REPLAY_HASHED,        /* nor are programs spread by load */
  REPLAY_PREEMPTIVE,    /* nor is a begun run safe from a more urgent one */
  REPLAY_LEAST_LOADED,  /* each turn goes to the least loaded engine */
  REPLAY_POLICIES
};

enum
{
  REPLAY_CLASSES = 2,  /* 0 is the more urgent */
  REPLAY_SECONDS = 60, /* that are counted */
  REPLAY_HOSTS_MAX = 256,
  REPLAY_ENGINES_MAX = 256
};

/**
 * struct replay_options - a load and who serves it
 * @policy: decisions that are on
 * @seed: of everything left to chance
 * @hosts: entry hosts
 * @engines: of one service
 * @base_per_s: programs that begin a second
 * @burst: how many times as many begin in the burst
 * @burst_from_s: when it begins
 * @burst_s: how long it lasts
 * @length_s: how long programs begin
 */
struct replay_options
{
  enum replay_policy policy;
  uint64_t seed;
  uint32_t hosts;
  uint32_t engines;
  double base_per_s;
  double burst;
  uint32_t burst_from_s;
  uint32_t burst_s;
  uint32_t length_s;
};

/**
 * struct replay_count - what became of programs
 * @asked: that began
 * @met_deadline: ended within their time
 * @late: within twice that time
 * @refused: never taken on
 * @failed: broke off, or ended later
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
 * struct replay_result - a day
 * @classes: by class
 * @seconds: by the second in which programs began
 * @turns: that were served
 * @prefill_tokens: prompt tokens that the engines read
 * @preempted: runs that lost their memory
 */
struct replay_result
{
  struct replay_count classes[REPLAY_CLASSES];
  struct replay_count seconds[REPLAY_SECONDS];
  uint64_t turns;
  uint64_t prefill_tokens;
  uint64_t preempted;
};

/* The load of the tests: 12 hosts, 12 engines, a burst of BURST times the
   usual load for 10 s.  */
struct replay_options replay_default_options (enum replay_policy policy,
                                              double burst, uint64_t seed);
void replay_run (const struct replay_options *options,
                 struct replay_result *result);
const char *replay_policy_name (enum replay_policy policy);
/* Programs in aim a second, of those that began between FROM and UNTIL.  */
double replay_goodput (const struct replay_result *result, uint32_t from,
                       uint32_t until);

#endif
