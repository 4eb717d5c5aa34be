/* pace.h - how long turns take at the present load, and the load at which
   programs still end in time.

   An engine runs all requests of its batch at once: the more there are, the
   longer each token takes, long before its slots are full.  For each route
   this module learns

   - how the time per token grows with the load of the worker that ran the
     turn;
   - the time per token at which the slowest programs would end just at their
     deadline, by the time that they have left when their turns end.

   It learns from the turns that this host serves, and from the programs
   that began here.  Pure: callers pass the time.
   Needs: types.h.  */

#ifndef MQ_PACE_H
#define MQ_PACE_H

#include "../types.h"

struct mq_pace;

/* Load, as returned by mq_pace_load, from which programs are at risk of ending
   late.  The unit is that of mq_fleet_service_pressure.  */
#define MQ_PACE_LOAD_FULL 1000U
#define MQ_PACE_LOAD_MAX 10000U

/**
 * struct mq_pace_turn - one complete turn
 * @service: name of the service
 * @route: name of the route
 * @program: hash of the program's id
 * @begins: certainly the first turn of the program
 * @has_remaining: whether @remaining_ms is known
 * @remaining_ms: time until the program's deadline when the turn arrived
 * @ran_ms: time at the worker, from sending until the response ended
 * @tokens: tokens generated, 0 if unknown
 * @load: load that the worker reported, in thousandths of its slots; 0 if it
 *        reported none
 */
struct mq_pace_turn
{
  const char *service;
  const char *route;
  uint64_t program;
  bool begins;
  bool has_remaining;
  uint32_t remaining_ms;
  uint32_t ran_ms;
  uint64_t tokens;
  uint32_t load;
};

/**
 * struct mq_pace_report - what is known of a route, for logs and metrics
 * @turns: turns learned from, capped
 * @idle_us: time per token at an unloaded worker, microseconds
 * @growth_us: what a worker with all slots in use adds to it, microseconds
 * @excess: factor by which recent turns took longer than that, in thousandths
 * @bearable_us: time per token at which programs end at their deadline,
 *               microseconds; 0 if unknown
 * @used: part of its time that a slow program has used at the end of a turn,
 *        in thousandths
 */
struct mq_pace_report
{
  uint32_t turns;
  uint32_t idle_us;
  uint32_t growth_us;
  uint32_t excess;
  uint32_t bearable_us;
  uint32_t used;
};

/* Returns NULL if out of memory.  */
struct mq_pace *mq_pace_create (TALLOC_CTX *ctx);
void mq_pace_destroy (struct mq_pace *pace);
/* Learns from TURN.  Turns without a load, a time or tokens are ignored.  */
void mq_pace_record_turn (struct mq_pace *pace,
                          const struct mq_pace_turn *turn);
/* Counts a program that was admitted.  */
void mq_pace_record_begin (struct mq_pace *pace, const char *service,
                           uint64_t now_ms);
/**
 * struct mq_pace_program - a program that asks to begin
 * @service_load: mean load of the service's workers, in thousandths of their
 *                slots, 0 if unknown
 * @now_ms: monotonic clock
 */
struct mq_pace_program
{
  const char *service;
  const char *route;
  uint32_t service_load;
  uint64_t now_ms;
};

/**
 * mq_pace_load - load of a service as a program bears it
 * @pace: the pace
 * @program: the program
 *
 * The load is taken as it will be once the programs that began recently have
 * all their turns under way.
 *
 * Return: MQ_PACE_LOAD_FULL from where the program is at risk, at most
 * MQ_PACE_LOAD_MAX; 0 if too little is known, or if turns do not slow down
 * with the load.
 */
uint32_t mq_pace_load (struct mq_pace *pace,
                       const struct mq_pace_program *program);
struct mq_pace_report mq_pace_report (struct mq_pace *pace,
                                      const char *service, const char *route);

#endif
