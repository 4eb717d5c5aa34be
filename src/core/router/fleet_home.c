/* fleet_home.c - selection of the worker that runs a program's turns.

   Guards against queues at some workers while others have free slots.  A host
   hears of a worker's load only in the responses to its own requests: what it
   knows is up to a second old, and of most workers it knows nothing.

   Failure: hosts that choose the least loaded worker of all reports choose the
   same one, and a worker without requests, of which nobody reports, never gets
   one.
   Needs: fleet_state.h, id.h, libm.  */

#include "fleet_state.h"
#include "../id.h"
#include <math.h>

/* Candidates: the workers of the newest reports, and random ones.  */
#define REPORTS_MAX 8U
#define RANDOM_MAX 10U
/* Random entries of the table that are looked at for random candidates; they
   may be workers of other services.  */
#define DRAWS_MAX 64U
/* A worker of unknown load counts as the mean of its service less this part of
   the standard deviation of random arrivals.  */
#define UNKNOWN_DIVISOR 2U
/* Resolution of load per slot.  Random jitter of one step keeps hosts without
   load reports from choosing the same worker.  */
#define LOAD_STEPS 256U
/* An engine runs all requests of its batch at once: each token takes the time
   of an idle one again for each 3 % of the slots in use.  */
#define SLOWDOWN 32U

/**
 * struct search - search for the best of some candidates
 * @service: what is known of the service, NULL if nothing
 * @reported: mean reported load of the service, thousandths of its slots
 * @random: state of the generator
 * @time: predicted time at the best candidate, with jitter
 * @hash: hash of its id, 0 if there is none
 */
struct search
{
  const struct mq_fleet *fleet;
  const struct mq_fleet_query *query;
  const struct fleet_service *service;
  uint32_t reported;
  uint64_t random;
  uint64_t time;
  uint64_t hash;
};

static const struct fleet_work work
    = { .duration_ms = MQ_SPEED_PROGRAM_MS,
        .shared = true,
        .slowdown = SLOWDOWN,
        .full = (uint64_t)LOAD_UNIT * LOAD_STEPS };

/* Load of a worker that has sent no report for a while, in LOAD_UNITs.  */
static uint64_t
unknown_load (const struct search *search, const struct fleet_entry *entry)
{
  uint64_t mean = fleet_mean_load (entry, search->reported);
  uint64_t deviation = (uint64_t)sqrt ((double)mean * LOAD_UNIT);
  uint64_t less = deviation / UNKNOWN_DIVISOR;

  if (mean == 0)
    return 0;
  /* 0 would stand for an unknown mean.  */
  return mean > less ? mean - less : 1;
}

static void
consider (struct search *search, const struct fleet_entry *entry)
{
  uint64_t state = entry->hash ^ search->query->random;
  uint64_t time;
  uint64_t load = fleet_estimate_load (entry, unknown_load (search, entry),
                                       search->query->now_ms);

  load = load * LOAD_STEPS / fleet_slots (entry);
  time = fleet_predict_time (entry, search->service, &work, load,
                             search->query->now_ms);
  time += mq_random_next (&state) % LOAD_STEPS;
  if (search->hash != 0 && time >= search->time)
    return;
  search->time = time;
  search->hash = entry->hash;
}

static bool
may_be_home (const struct search *search, const struct fleet_entry *entry)
{
  return fleet_is_candidate (entry, search->query->service)
         && entry->ejected_until_ms <= search->query->now_ms;
}

static void
consider_reported (struct search *search)
{
  const struct fleet_service *row = search->service;

  for (uint32_t age = 0; row != NULL && age < REPORTS_MAX; age++)
    {
      const struct mq_recent_sample *sample
          = mq_recent_newest (&row->loads, age);
      const struct fleet_entry *entry;

      if (sample == NULL)
        return;
      entry = &search->fleet->entries[sample->worker];
      if (may_be_home (search, entry))
        consider (search, entry);
    }
}

static void
consider_random (struct search *search)
{
  const struct mq_fleet *fleet = search->fleet;
  uint32_t found = 0;

  for (uint32_t i = 0; fleet->count > 0 && i < DRAWS_MAX && found < RANDOM_MAX;
       i++)
    {
      const struct fleet_entry *entry
          = &fleet->entries[mq_random_next (&search->random) % fleet->count];

      if (!may_be_home (search, entry))
        continue;
      consider (search, entry);
      found++;
    }
}

/* Considers every worker, ejected ones only if none else is available.  */
static void
consider_all (struct search *search, bool ejected)
{
  const struct mq_fleet *fleet = search->fleet;

  for (size_t i = 0; i < fleet->count; i++)
    {
      const struct fleet_entry *entry = &fleet->entries[i];

      if (ejected ? fleet_is_candidate (entry, search->query->service)
                  : may_be_home (search, entry))
        consider (search, entry);
    }
}

uint64_t
mq_fleet_choose_home (const struct mq_fleet *fleet,
                      const struct mq_fleet_query *query)
{
  struct search search = {
    .fleet = fleet,
    .query = query,
    .service = fleet_find_service (fleet, query->service),
    .reported = mq_fleet_service_load (fleet, query->service, query->now_ms),
    .random = query->random,
  };

  consider_reported (&search);
  consider_random (&search);
  if (search.hash == 0)
    consider_all (&search, false);
  if (search.hash == 0)
    consider_all (&search, true);
  return search.hash;
}
