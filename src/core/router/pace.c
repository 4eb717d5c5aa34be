/* pace.c - how long turns take at the present load.

   Time per token is taken to grow linearly with the load of the worker, whose
   requests share each step of its batch.
   Needs: pace.h, id.h, idmap.h, memory.h.  */

#include "pace.h"
#include "../id.h"
#include "../idmap.h"
#include "../memory.h"
#include <math.h>

/* Weight of a new turn in the sums of its service, as a divisor.  */
#define TURNS_WEIGHT 256U
/* Turns from which on the time at an unloaded worker changes slowly.  */
#define TURNS_SETTLED 64U
/* That time is at least the mean time divided by this.  */
#define IDLE_DIVISOR_MAX 4.0
/* Largest relative changes of the time at an unloaded worker with each turn.
 */
#define IDLE_RISE 0.0005
#define IDLE_FALL 0.005
/* Weight of a new turn in the mean time of recent ones.  */
#define RECENT_WEIGHT 0.05
/* Weight of a new turn in the mean excess.  */
#define EXCESS_WEIGHT 0.03
/* Turns without which nothing is concluded.  */
#define TURNS_MIN 12U
/* Time per token is capped at this multiple of the service's mean, so that a
   turn held up by a failure does not distort it.  */
#define TURN_CAP 4U
/* Quantile of the part of their time that programs have used when a turn ends:
   close to what the programs that need most of it use.  */
#define USED_QUANTILE 0.95
#define USED_STEP 0.02
/* The first turns give the highest part instead.  */
#define USED_FIRST 16U
/* Weight of a turn in the mean time of turns at which they use it.  */
#define USED_TIME_WEIGHT 0.01
/* Factor of both while programs are at risk.  */
#define AT_RISK_PART 0.05
/* Programs whose time is remembered; a further one replaces another.  */
#define PROGRAMS 1024U
/* Standard deviations of the usual count within which a difference is chance.

   Failure: hosts that few programs reach refuse some without need.  */
#define CHANCE 2.0
/* Factor by which a full worker must be slower than an idle one for its pace
   to count: more than programs are given.  Below it the bounds on slots
   suffice. */
#define SLOWDOWN_MIN 3.5
/* Part of their time that the slowest programs may use, thousandths.  From the
   first on they are at risk of ending late; at the second, many are late.  */
#define USED_RISK 900U
#define USED_MAX 1100U
/* Programs are taken to have at least this multiple of the time that idle
   workers take.

   Failure: programs are late for another reason (an outage, lost hosts), the
   time per token that they bear seems to be hardly more than that of idle
   workers, and new programs are refused while workers are nearly idle.  */
#define BEARABLE_MIN 1.5
/* A program that pauses between two turns for more than this part of its time,
   as a divisor, lost time for another reason than the pace of its turns.  */
#define PAUSE_DIVISOR 3U
/* Load at USED_MAX above MQ_PACE_LOAD_FULL: admission control refuses all.  */
#define LOAD_SPAN 600U
#define US_PER_MS 1000U
#define THOUSAND 1000U

/* Programs that began are counted in slots of this length.  */
#define BEGINS_SLOT_MS 250U
#define BEGINS_SLOTS 16U
/* Slots whose count is compared with that of the earlier ones.  */
#define BEGINS_RECENT 4U
/* Slots after the first program from which on a rise is known.  */
#define BEGINS_KNOWN 8U

/* Key spaces of struct mq_pace names.  */
enum
{
  ROUTES,
  SERVICES
};

/**
 * struct line - decayed sums for the line of time per token over load
 * @weight: number of turns in the sums
 * @load: sum of loads, in slots
 * @time: sum of times per token, microseconds
 */
struct line
{
  double weight;
  double load;
  double time;
  double load_squared;
  double load_time;
};

/**
 * struct service_pace - what was learned of a service's workers
 * @line: time per token at a worker's load
 * @turns: turns learned from, at most TURNS_WEIGHT
 * @idle: time per token at an unloaded worker, microseconds; 0 if unknown
 * @growth: what a worker with all slots in use adds to it; 0 if unknown
 * @excess: factor by which recent turns took longer than that
 * @begins: programs that began by slot of time, the newest is @slot
 * @first_slot: slot in which the first program began since none did for
 *              BEGINS_SLOTS, 0 if none did yet
 * @last_slot: slot in which the last one began
 */
struct service_pace
{
  struct line line;
  uint32_t turns;
  double idle;
  double growth;
  double excess;
  uint32_t begins[BEGINS_SLOTS];
  uint64_t slot;
  uint64_t first_slot;
  uint64_t last_slot;
};

/**
 * struct route_pace - what was learned of the programs of one route
 * @turns: turns learned from, capped
 * @recent_time: time per token of recent turns, microseconds
 * @used: part of its time that a slow program has used at the end of a turn
 * @used_time: mean of @recent_time at these turns
 * @program_turns: turns of programs that began here, at most USED_FIRST
 */
struct route_pace
{
  uint32_t turns;
  double recent_time;
  double used;
  double used_time;
  uint32_t program_turns;
};

/**
 * struct program - a program that began at this host
 * @given_ms: time that it had then; 0 if nothing is to be learned from it
 * @left_ms: time that it had left when its last turn ended
 */
struct program
{
  uint64_t id;
  uint32_t given_ms;
  double left_ms;
};

/**
 * struct mq_pace - state of all routes
 * @names: struct route_pace by route and struct service_pace by service
 * @programs: by hash of the program's id
 */
struct mq_pace
{
  struct mq_idmap *names;
  struct program programs[PROGRAMS];
};

struct mq_pace *
mq_pace_create (TALLOC_CTX *ctx)
{
  struct mq_pace *pace = talloc_zero (ctx, struct mq_pace);

  if (pace == NULL)
    return NULL;
  pace->names = mq_idmap_create (pace);
  if (pace->names == NULL)
    TALLOC_FREE (pace);
  return pace;
}

void
mq_pace_destroy (struct mq_pace *pace)
{
  talloc_free (pace);
}

static void *
get_row (struct mq_pace *pace, const char *name, uint32_t table, size_t size)
{
  struct mq_id id = mq_id_from_text (name);
  void *row = mq_idmap_find (pace->names, id, table);

  if (row != NULL)
    return row;
  row = mq_check_alloc (talloc_zero_size (pace, size));
  mq_idmap_put (pace->names, id, table, row);
  return row;
}

static struct service_pace *
get_service (struct mq_pace *pace, const char *name)
{
  return get_row (pace, name, SERVICES, sizeof (struct service_pace));
}

static struct route_pace *
get_route (struct mq_pace *pace, const char *name)
{
  return get_row (pace, name, ROUTES, sizeof (struct route_pace));
}

/* Time per token */

static void
add_to_line (struct line *line, double load, double time)
{
  double kept = 1.0 - 1.0 / TURNS_WEIGHT;

  line->weight = line->weight * kept + 1.0;
  line->load = line->load * kept + load;
  line->time = line->time * kept + time;
  line->load_squared = line->load_squared * kept + load * load;
  line->load_time = line->load_time * kept + load * time;
}

/* Time per token without load and its growth with the load.  Returns false if
   the turns do not show any growth.  */
static bool
fit_line (const struct line *line, double *idle, double *growth)
{
  double spread = line->weight * line->load_squared - line->load * line->load;

  if (spread <= 0)
    return false;
  *growth
      = (line->weight * line->load_time - line->load * line->time) / spread;
  *idle = (line->time - *growth * line->load) / line->weight;
  return *growth > 0 && *idle > 0;
}

/* The intercept of the line is followed slowly, more so when it rises.

   Failure: in a long burst no turn runs at a worker with little load, the line
   leans on those that do not, and slow turns are taken for usual ones.  */
static void
learn_line (struct service_pace *service)
{
  double idle;
  double growth;

  if (service->turns < TURNS_MIN || !fit_line (&service->line, &idle, &growth))
    return;
  if (idle < service->line.time / service->line.weight / IDLE_DIVISOR_MAX)
    idle = service->line.time / service->line.weight / IDLE_DIVISOR_MAX;
  service->growth = growth;
  if (service->turns < TURNS_SETTLED)
    service->idle = idle;
  else if (idle > service->idle * (1.0 + IDLE_RISE))
    service->idle *= 1.0 + IDLE_RISE;
  else if (idle < service->idle * (1.0 - IDLE_FALL))
    service->idle *= 1.0 - IDLE_FALL;
  else
    service->idle = idle;
}

/* Turns take longer than the line says when the load rises beyond what it was
   learned from, or when workers turn slow.  */
static void
learn_excess (struct service_pace *service, double load, double time)
{
  if (service->idle <= 0)
    service->excess = 1.0;
  else
    service->excess
        += (time / (service->idle + service->growth * load) - service->excess)
           * EXCESS_WEIGHT;
}

/* Returns the time per token of TURN, in microseconds.  */
static double
learn_turn (struct service_pace *service, const struct mq_pace_turn *turn)
{
  double load = (double)turn->load / THOUSAND;
  double time = (double)turn->ran_ms * US_PER_MS / (double)turn->tokens;

  if (service->turns >= TURNS_MIN
      && time > TURN_CAP * service->line.time / service->line.weight)
    time = TURN_CAP * service->line.time / service->line.weight;
  learn_excess (service, load, time);
  add_to_line (&service->line, load, time);
  learn_line (service);
  if (service->turns < TURNS_WEIGHT)
    service->turns++;
  return time;
}

/* Programs */

/* Time per token at which programs end at their deadline; 0 if unknown.  All
   of a program's time is taken to grow with that of its turns.  */
static double
bearable_time (const struct route_pace *route)
{
  if (route->program_turns < USED_FIRST || route->used <= 0)
    return 0;
  return route->used_time / route->used;
}

/* The same, at least BEARABLE_MIN; 0 if unknown.  */
static double
trusted_bearable_time (const struct route_pace *route,
                       const struct service_pace *service)
{
  double time = bearable_time (route);
  double least = service->idle * BEARABLE_MIN;

  return time > 0 && time < least ? least : time;
}

/* Whether turns take so long that programs are at risk.  */
static bool
is_at_risk (const struct route_pace *route, const struct service_pace *service)
{
  return route->recent_time * THOUSAND
         > trusted_bearable_time (route, service) * USED_RISK;
}

/* Learns which part of its time a program has used at the end of a turn;
   slowly while programs are at risk.

   Failure: programs that are late have used all of their time, however long
   their turns take, and the time that they bear seems to grow with the
   load.  */
static void
learn_used (struct route_pace *route, const struct service_pace *service,
            double used)
{
  double part = 1.0;

  if (route->program_turns < USED_FIRST)
    {
      route->program_turns++;
      route->used = used > route->used ? used : route->used;
      route->used_time
          += (route->recent_time - route->used_time) / route->program_turns;
      return;
    }
  if (is_at_risk (route, service))
    part = AT_RISK_PART;
  if (used > route->used)
    route->used += USED_STEP * USED_QUANTILE * part;
  else
    route->used -= USED_STEP * (1.0 - USED_QUANTILE) * part;
  route->used_time
      += (route->recent_time - route->used_time) * USED_TIME_WEIGHT * part;
}

static bool
lost_time (const struct program *program, const struct mq_pace_turn *turn)
{
  return turn->remaining_ms > program->given_ms
         || (program->left_ms - turn->remaining_ms) * PAUSE_DIVISOR
                > program->given_ms;
}

static void
learn_program (struct mq_pace *pace, struct route_pace *route,
               const struct service_pace *service,
               const struct mq_pace_turn *turn)
{
  struct program *program = &pace->programs[turn->program % PROGRAMS];

  if (!turn->has_remaining || turn->remaining_ms == 0)
    return;
  if (turn->begins)
    *program = (struct program){ turn->program, turn->remaining_ms,
                                 turn->remaining_ms };
  if (program->id != turn->program || program->given_ms == 0)
    return;
  if (lost_time (program, turn))
    {
      program->given_ms = 0;
      return;
    }
  program->left_ms = (double)turn->remaining_ms - (double)turn->ran_ms;
  learn_used (route, service,
              1.0 - program->left_ms / (double)program->given_ms);
}

void
mq_pace_record_turn (struct mq_pace *pace, const struct mq_pace_turn *turn)
{
  struct route_pace *route;
  struct service_pace *service;
  double time;

  if (turn->tokens == 0 || turn->ran_ms == 0 || turn->load == 0)
    return;
  route = get_route (pace, turn->route);
  service = get_service (pace, turn->service);
  time = learn_turn (service, turn);
  route->recent_time += (time - route->recent_time)
                        * (route->turns == 0 ? 1.0 : RECENT_WEIGHT);
  if (route->turns < TURNS_WEIGHT)
    route->turns++;
  learn_program (pace, route, service, turn);
}

/* Programs that begin */

/* Slots since programs began to arrive.  */
static uint64_t
slots_known (const struct service_pace *service)
{
  return service->first_slot == 0 ? 0 : service->slot - service->first_slot;
}

/* Skipped slots count as empty.  */
static void
advance_begins (struct service_pace *service, uint64_t now)
{
  uint64_t slot = now / BEGINS_SLOT_MS + 1;

  if (slot > service->slot + BEGINS_SLOTS)
    service->slot = slot - BEGINS_SLOTS;
  while (service->slot < slot)
    service->begins[++service->slot % BEGINS_SLOTS] = 0;
}

void
mq_pace_record_begin (struct mq_pace *pace, const char *service,
                      uint64_t now_ms)
{
  struct service_pace *row = get_service (pace, service);

  advance_begins (row, now_ms);
  if (row->first_slot == 0 || row->slot - row->last_slot >= BEGINS_SLOTS)
    row->first_slot = row->slot;
  row->last_slot = row->slot;
  row->begins[row->slot % BEGINS_SLOTS]++;
}

/* Programs that begin in BEGINS_RECENT slots as a rule, by the slots before.
   Returns 0 if it is not known yet.

   Failure: after an outage, or a start, as many programs begin as always, and
   are refused as a burst.  */
static double
usual_begins (const struct service_pace *service)
{
  uint64_t known = slots_known (service);
  double sum = 0;
  double usual;

  if (known < BEGINS_KNOWN)
    return 0;
  if (known >= BEGINS_SLOTS)
    known = BEGINS_SLOTS - 1;
  for (uint64_t age = BEGINS_RECENT; age <= known; age++)
    sum += service
               ->begins[(service->slot + BEGINS_SLOTS - age) % BEGINS_SLOTS];
  usual = sum * BEGINS_RECENT / (double)(known + 1 - BEGINS_RECENT);
  return usual > 1.0 ? usual : 1.0;
}

/* Factor by which the load will rise, since programs that begin load the
   workers for as long as they last.  A fall does not count: a program
   that begins now meets the present load.  */
static double
expected_rise (struct service_pace *service, uint64_t now)
{
  double recent = 0;
  double usual;
  double chance;

  advance_begins (service, now);
  usual = usual_begins (service);
  if (usual <= 0)
    return 1.0;
  for (uint64_t age = 0; age < BEGINS_RECENT; age++)
    recent
        += service
               ->begins[(service->slot + BEGINS_SLOTS - age) % BEGINS_SLOTS];
  chance = CHANCE * sqrt (usual);
  if (recent > usual + chance)
    return (recent - chance) / usual;
  return 1.0;
}

/* Conclusions */

/* Load at which the slowest programs use the part USED of their time,
   thousandths.  */
static uint32_t
load_of_used (double used)
{
  double load = used / USED_RISK * MQ_PACE_LOAD_FULL;

  if (used > USED_RISK)
    load = MQ_PACE_LOAD_FULL
           + (used - USED_RISK) * LOAD_SPAN / (USED_MAX - USED_RISK);
  return load < MQ_PACE_LOAD_MAX ? (uint32_t)load : MQ_PACE_LOAD_MAX;
}

static bool
slows_down (const struct service_pace *service)
{
  return service->idle > 0
         && service->idle + service->growth > service->idle * SLOWDOWN_MIN;
}

uint32_t
mq_pace_load (struct mq_pace *pace, const struct mq_pace_program *program)
{
  struct service_pace *service = get_service (pace, program->service);
  double bearable
      = trusted_bearable_time (get_route (pace, program->route), service);
  double load;
  double time;

  if (service->turns < TURNS_MIN || bearable <= 0 || !slows_down (service))
    return 0;
  load = (double)program->service_load / THOUSAND;
  load *= expected_rise (service, program->now_ms);
  time = service->excess * (service->idle + service->growth * load);
  return load_of_used (time / bearable * THOUSAND);
}

struct mq_pace_report
mq_pace_report (struct mq_pace *pace, const char *service_name,
                const char *route_name)
{
  const struct service_pace *service = get_service (pace, service_name);
  const struct route_pace *route = get_route (pace, route_name);

  return (struct mq_pace_report){
    .turns = route->turns,
    .idle_us = (uint32_t)service->idle,
    .growth_us = (uint32_t)service->growth,
    .excess = (uint32_t)(service->excess * THOUSAND),
    .bearable_us = (uint32_t)bearable_time (route),
    .used = (uint32_t)(route->used * THOUSAND),
  };
}
