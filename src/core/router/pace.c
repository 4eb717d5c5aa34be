/* pace.c - how long turns take at the present load.

   Time per token is taken to grow linearly with the load of the worker, whose
   requests share each step of its batch.
   Needs: pace.h, id.h, idmap.h, memory.h.  */

#include "pace.h"
#include "../id.h"
#include "../idmap.h"
#include "../memory.h"
#include <math.h>

/* Weight of a new turn in the means of its route, as a divisor.  */
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
/* Time per token is capped at this multiple of the route's mean, so that a
   turn held up by a failure does not distort it.  */
#define TURN_CAP 4U
/* Weight of a new turn in the mean part of their time that programs have
   used.  */
#define USED_WEIGHT 0.01
/* Programs whose time is remembered; a further one replaces another.  */
#define PROGRAMS 1024U
/* Part of the time that turns may lose to load from which programs are at
   risk, percent.  The rest allows for variance.  */
#define RISK_PERCENT 45U
#define US_PER_MS 1000U
#define THOUSAND 1000U

/* Programs that began are counted in slots of this length.  */
#define BEGINS_SLOT_MS 250U
#define BEGINS_SLOTS 16U
/* Slots whose count is compared with the mean of all.  */
#define BEGINS_RECENT 4U

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
};

/**
 * struct route_pace - what was learned of the programs of one route
 * @turns: turns learned from, capped
 * @recent_time: time per token of recent turns, microseconds
 * @used: mean part of their time that programs have used when a later turn
 *        arrives
 * @used_time: mean of @recent_time at these turns
 * @later_turns: number of them, capped
 */
struct route_pace
{
  uint32_t turns;
  double recent_time;
  double used;
  double used_time;
  uint32_t later_turns;
};

/**
 * struct program - a program that began at this host
 * @given_ms: time that it had then
 */
struct program
{
  uint64_t id;
  uint32_t given_ms;
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

/* Learns from a later turn how much of its time the program has used.  */
static void
learn_used (struct route_pace *route, double used)
{
  double weight = USED_WEIGHT;

  if (route->later_turns * USED_WEIGHT < 1.0)
    weight = 1.0 / ++route->later_turns;
  route->used += (used - route->used) * weight;
  route->used_time += (route->recent_time - route->used_time) * weight;
}

static void
learn_program (struct mq_pace *pace, struct route_pace *route,
               const struct mq_pace_turn *turn)
{
  struct program *program = &pace->programs[turn->program % PROGRAMS];

  if (!turn->has_remaining)
    return;
  if (turn->begins)
    *program = (struct program){ turn->program, turn->remaining_ms };
  else if (program->id == turn->program
           && turn->remaining_ms < program->given_ms)
    learn_used (route,
                1.0 - (double)turn->remaining_ms / (double)program->given_ms);
}

void
mq_pace_record_turn (struct mq_pace *pace, const struct mq_pace_turn *turn)
{
  struct route_pace *route;
  double time;

  if (turn->tokens == 0 || turn->ran_ms == 0 || turn->load == 0)
    return;
  route = get_route (pace, turn->route);
  time = learn_turn (get_service (pace, turn->service), turn);
  route->recent_time += (time - route->recent_time)
                        * (route->turns == 0 ? 1.0 : RECENT_WEIGHT);
  if (route->turns < TURNS_WEIGHT)
    route->turns++;
  learn_program (pace, route, turn);
}

/* Programs that begin */

/* Skipped slots count as empty.  */
static void
advance_begins (struct service_pace *service, uint64_t now)
{
  uint64_t slot = now / BEGINS_SLOT_MS;

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
  row->begins[row->slot % BEGINS_SLOTS]++;
}

/* Factor by which the load will change, since programs that begin load the
   workers for as long as they last.  A difference within one standard
   deviation of the usual count is chance.  */
static double
expected_change (struct service_pace *service, uint64_t now)
{
  double recent = 0;
  double usual = 0;
  double chance;

  advance_begins (service, now);
  for (uint64_t age = 0; age < BEGINS_SLOTS; age++)
    {
      uint32_t count
          = service
                ->begins[(service->slot + BEGINS_SLOTS - age) % BEGINS_SLOTS];

      usual += (double)count * BEGINS_RECENT / BEGINS_SLOTS;
      if (age < BEGINS_RECENT)
        recent += count;
    }
  if (usual < 1.0)
    usual = 1.0;
  chance = sqrt (usual);
  if (recent > usual + chance)
    return (recent - chance) / usual;
  if (recent < usual - chance)
    return (recent + chance) / usual;
  return 1.0;
}

/* Conclusions */

/* Time per token at which programs end at their deadline; 0 if unknown.  Later
   turns arrive halfway through their programs on average, so that programs use
   twice the part that is used then.  All of it is taken to grow with the time
   of turns.  */
static double
bearable_time (const struct route_pace *route)
{
  if (route->later_turns < TURNS_MIN || route->used <= 0)
    return 0;
  return route->used_time / (2.0 * route->used);
}

/* Time per token once the requests that arrive have changed by CHANGE; 0 if it
   would grow without end.  The load is what arrives times the time that it
   takes, which grows with the load.  */
static double
expected_time (const struct service_pace *service, double load, double change)
{
  double idle = service->excess * service->idle;
  double growth = service->excess * service->growth;
  double arrive = load / (idle + growth * load) * change;

  return arrive * growth < 1.0 ? idle / (1.0 - arrive * growth) : 0;
}

uint32_t
mq_pace_load (struct mq_pace *pace, const struct mq_pace_program *program)
{
  struct service_pace *service = get_service (pace, program->service);
  double bearable = bearable_time (get_route (pace, program->route));
  double time;
  double used;

  if (service->idle <= 0 || bearable <= 0)
    return 0;
  time = expected_time (service, (double)program->service_load / THOUSAND,
                        expected_change (service, program->now_ms));
  if (time <= 0 || bearable <= service->idle)
    return MQ_PACE_LOAD_MAX;
  used = (time - service->idle) / (bearable - service->idle);
  used *= MQ_PACE_LOAD_FULL * 100.0 / RISK_PERCENT;
  if (used <= 0)
    return 0;
  return used < MQ_PACE_LOAD_MAX ? (uint32_t)used : MQ_PACE_LOAD_MAX;
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
