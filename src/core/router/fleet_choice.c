/* fleet_choice.c - which worker a request goes to next.

   Needs: fleet_state.h, id.h.  */

#include "fleet_state.h"
#include "../id.h"
#include <string.h>

/* Pause told to a caller when every worker is full: about the time in which
   a short call ends.  */
#define RETRY_FULL_MS 100U
/* And when no worker is listed at all.  */
#define RETRY_NONE_MS 500U

static bool
was_tried (const struct mq_fleet_query *query, uint32_t worker)
{
  for (size_t i = 0; i < query->tried_count; i++)
    if (query->tried[i] == worker)
      return true;
  return false;
}

/**
 * struct survey - a service's workers when one is to be chosen
 * @count: how many
 * @out: of these, left out for failures
 * @load: of all of them, as known of each
 * @told: load of the service as answers told it, 0: they did not
 * @ignore_out: so many are out that the failures say nothing about them
 */
struct survey
{
  size_t count;
  size_t out;
  uint64_t load;
  uint32_t told;
  bool ignore_out;
};

static struct survey
survey_service (const struct mq_fleet *fleet,
                const struct mq_fleet_query *query)
{
  struct survey survey = { .count = 0 };

  for (size_t i = 0; i < fleet->count; i++)
    {
      const struct fleet_entry *entry = &fleet->entries[i];

      if (!fleet_is_candidate (entry, query->service))
        continue;
      survey.count++;
      survey.load += fleet_decayed_load (entry, query->now_ms);
      if (entry->ejected_until_ms > query->now_ms)
        survey.out++;
    }
  survey.told = mq_fleet_service_load (fleet, query->service, query->now_ms);
  survey.ignore_out
      = survey.out * 100 > survey.count * MQ_FLEET_EJECT_MAX_PERCENT;
  return survey;
}

static uint64_t
slots_of (const struct fleet_entry *entry)
{
  return entry->member.slots > 0 ? entry->member.slots : 1;
}

/* Requests that a worker like ENTRY has on average, in LOAD_UNITs.  */
static uint64_t
told_mean (const struct survey *survey, const struct fleet_entry *entry)
{
  return (uint64_t)survey->told * slots_of (entry) * LOAD_UNIT
         / MQ_FLEET_LOAD_FULL;
}

/**
 * struct rank - how good a worker is for a request; the least is chosen
 * @group: 0 within its bound, 1 over it, 2 full, 3 left out for failures
 * @cost: within the group
 */
struct rank
{
  uint32_t group;
  uint64_t cost;
};

/* Share of its slots that is taken; among equals a near one; then any.  */
static uint64_t
plain_cost (const struct fleet_entry *entry,
            const struct mq_fleet_query *query, uint64_t load, uint64_t slots)
{
  uint64_t mixed = entry->hash ^ query->random;
  bool near = strcmp (entry->member.data_centre, query->data_centre) == 0;
  uint64_t cost = load * 16 / slots * 4 + (near ? 0 : 2);

  return (cost << 8) + (mq_random_next (&mixed) & 0xff);
}

/* Load from which on a worker is full.  A request with a key stays with its
   worker while that one waits no longer than the others: see
   MQ_FLEET_AFFINITY_QUEUE_PERCENT.  */
static uint64_t
full_load (const struct mq_fleet_query *query, uint64_t slots, uint64_t mean)
{
  uint64_t full = slots * LOAD_UNIT;
  uint64_t waiting = mean + full * MQ_FLEET_AFFINITY_QUEUE_PERCENT / 100U;

  return query->has_key && waiting > full ? waiting : full;
}

static struct rank
rank_worker (const struct fleet_entry *entry,
             const struct mq_fleet_query *query, const struct survey *survey)
{
  uint64_t told = told_mean (survey, entry);
  uint64_t load = fleet_estimate_load (entry, told, query->now_ms);
  uint64_t slots = slots_of (entry);
  uint64_t count = survey->count > 0 ? survey->count : 1;
  uint64_t mean = told > 0 ? told : survey->load / count;
  uint64_t bound = mean + (uint64_t)MQ_FLEET_AFFINITY_EXCESS_MAX * LOAD_UNIT;
  struct rank rank = { 0, 0 };

  if (entry->ejected_until_ms > query->now_ms && !survey->ignore_out)
    return (struct rank){ 3, entry->ejected_until_ms };
  if (load >= full_load (query, slots, mean))
    rank.group = 2;
  else if (query->has_key && load > bound)
    rank.group = 1;
  if (query->has_key && rank.group < 2)
    {
      uint64_t state = entry->hash ^ query->key;

      rank.cost = UINT64_MAX - mq_random_next (&state);
      if (entry->hash == query->home)
        rank.cost = 0;
    }
  else
    rank.cost = plain_cost (entry, query, load, slots);
  return rank;
}

static bool
is_better (struct rank a, struct rank b)
{
  if (a.group != b.group)
    return a.group < b.group;
  return a.cost < b.cost;
}

/* The home of the request's program, if nothing speaks against it; else
   MQ_WORKER_NONE.  Most turns need no look at the other workers then, of which
   there may be thousands.  */
static uint32_t
roomy_home (const struct mq_fleet *fleet, const struct mq_fleet_query *query)
{
  const struct fleet_entry *entry;
  struct survey survey = { .count = 0 };
  uint32_t worker;

  if (!query->has_key || query->home == 0)
    return MQ_WORKER_NONE;
  entry = fleet_find_hash (fleet, query->home);
  if (entry == NULL || !fleet_is_candidate (entry, query->service)
      || entry->ejected_until_ms > query->now_ms)
    return MQ_WORKER_NONE;
  worker = (uint32_t)(entry - fleet->entries);
  survey.told = mq_fleet_service_load (fleet, query->service, query->now_ms);
  if (was_tried (query, worker)
      || fleet_estimate_load (entry, told_mean (&survey, entry), query->now_ms)
             >= slots_of (entry) * LOAD_UNIT)
    return MQ_WORKER_NONE;
  return worker;
}

/* Workers left out for failures are taken last, and all of them count as in
   again when too many are out: then the failures say nothing about them.  */
uint32_t
mq_fleet_choose (struct mq_fleet *fleet, const struct mq_fleet_query *query)
{
  uint32_t home = roomy_home (fleet, query);
  struct survey survey;
  struct rank best = { UINT32_MAX, UINT64_MAX };
  uint32_t chosen = MQ_WORKER_NONE;

  if (home != MQ_WORKER_NONE)
    return home;
  survey = survey_service (fleet, query);
  for (size_t i = 0; i < fleet->count; i++)
    {
      const struct fleet_entry *entry = &fleet->entries[i];
      struct rank rank;

      if (!fleet_is_candidate (entry, query->service)
          || was_tried (query, (uint32_t)i))
        continue;
      rank = rank_worker (entry, query, &survey);
      if (is_better (rank, best))
        {
          best = rank;
          chosen = (uint32_t)i;
        }
    }
  return chosen;
}

/* Steps in which loads are compared, for each slot; what is left is chance,
   so that hosts which know nothing don't all choose the first worker.  */
#define HOME_STEPS 256U
/* Workers taken at random beside those that told of themselves lately: one of
   them is most likely of the service.  */
#define HOME_RANDOM 8U

/**
 * struct home - the best worker so far for a program that begins
 * @load: the lower the better
 * @hash: names it, 0: there is none yet
 */
struct home
{
  uint64_t load;
  uint64_t hash;
};

static void
try_home (const struct fleet_entry *entry, const struct mq_fleet_query *query,
          const struct survey *survey, struct home *home)
{
  uint64_t state = entry->hash ^ query->random;
  uint64_t load;

  if (!fleet_is_candidate (entry, query->service)
      || (entry->ejected_until_ms > query->now_ms && !survey->ignore_out))
    return;
  load = fleet_estimate_load (entry, told_mean (survey, entry), query->now_ms);
  load = load * HOME_STEPS / slots_of (entry)
         + mq_random_next (&state) % HOME_STEPS;
  if (home->hash == 0 || load < home->load)
    *home = (struct home){ load, entry->hash };
}

/* All other workers count alike, so that a few of them stand for all.  */
static struct home
home_among_heard (const struct mq_fleet *fleet,
                  const struct mq_fleet_query *query)
{
  const struct fleet_service *row = fleet_find_service (fleet, query->service);
  struct survey survey = { .told = mq_fleet_service_load (
                               fleet, query->service, query->now_ms) };
  struct home home = { 0, 0 };
  uint64_t state = query->random;

  for (uint32_t i = 0; row != NULL && i < MQ_RECENT_SAMPLES; i++)
    if (row->loads.values[i].sampled_ms != 0)
      try_home (&fleet->entries[row->loads.values[i].worker], query, &survey,
                &home);
  for (uint32_t i = 0; fleet->count > 0 && i < HOME_RANDOM; i++)
    try_home (&fleet->entries[mq_random_next (&state) % fleet->count], query,
              &survey, &home);
  return home;
}

/* The load: programs last for many turns and are spread by chance, so that a
   third of the engines has a queue while another third has free slots, and
   the programs of the first are late.  */
uint64_t
mq_fleet_choose_home (const struct mq_fleet *fleet,
                      const struct mq_fleet_query *query)
{
  struct home home = home_among_heard (fleet, query);
  struct survey survey;

  if (home.hash != 0)
    return home.hash;
  survey = survey_service (fleet, query);
  for (size_t i = 0; i < fleet->count; i++)
    try_home (&fleet->entries[i], query, &survey, &home);
  return home.hash;
}

size_t
mq_fleet_count (const struct mq_fleet *fleet, const char *service)
{
  size_t count = 0;

  for (size_t i = 0; i < fleet->count; i++)
    if (fleet_is_candidate (&fleet->entries[i], service))
      count++;
  return count;
}

uint32_t
mq_fleet_retry_ms (const struct mq_fleet *fleet, const char *service)
{
  return mq_fleet_count (fleet, service) == 0 ? RETRY_NONE_MS : RETRY_FULL_MS;
}
