/* fleet_choice.c - worker selection.

   Needs: fleet_state.h, evidence.h, id.h.  */

#include "fleet_state.h"
#include "evidence.h"
#include "../id.h"
#include <string.h>

/* Retry delay when all workers are full.  */
#define RETRY_FULL_MS 100U
/* Retry delay when no worker is available.  */
#define RETRY_NONE_MS 500U

static bool
was_tried (const struct mq_fleet_query *query, uint32_t worker)
{
  for (size_t i = 0; i < query->tried_count; i++)
    if (query->tried[i] == worker)
      return true;
  return false;
}

/* A leaving worker still serves for a while.  It is chosen for a stream that
   no other version may continue.

   Failure: all workers of a version leave in a release, and none of its
   streams is continued although their workers still serve.  */
static bool
may_still_serve (const struct fleet_entry *entry,
                 const struct mq_fleet_query *query)
{
  return entry->used && entry->listed && entry->member.leaving
         && entry->member.address[0] != '\0' && !entry->draining
         && strcmp (entry->member.service, query->service) == 0
         && query->now_ms - entry->leaving_ms < query->drain_ms;
}

static bool
may_serve (const struct fleet_entry *entry, const struct mq_fleet_query *query)
{
  if (query->version == 0)
    return fleet_is_candidate (entry, query->service);
  return entry->version == query->version
         && (fleet_is_candidate (entry, query->service)
             || may_still_serve (entry, query));
}

/**
 * struct survey - summary of the workers that may serve a request
 * @count: available workers, ejected ones included
 * @ejected: ejected workers
 * @load: sum of their decayed loads
 * @reported: mean reported load, 0 if unknown
 * @service: what is known of the service, NULL if nothing
 * @patience_ms: time without data after which a worker is doubtful
 * @ignore_ejections: more than MQ_FLEET_EJECT_MAX_PERCENT are ejected
 */
struct survey
{
  size_t count;
  size_t ejected;
  uint64_t load;
  uint32_t reported;
  const struct fleet_service *service;
  uint64_t patience_ms;
  bool ignore_ejections;
};

static struct survey
survey_service (const struct mq_fleet *fleet,
                const struct mq_fleet_query *query)
{
  struct survey survey = { .count = 0 };

  for (size_t i = 0; i < fleet->count; i++)
    {
      const struct fleet_entry *entry = &fleet->entries[i];

      if (!may_serve (entry, query))
        continue;
      survey.count++;
      survey.load += fleet_decayed_load (entry, query->now_ms);
      if (entry->ejected_until_ms > query->now_ms)
        survey.ejected++;
    }
  survey.reported
      = mq_fleet_service_load (fleet, query->service, query->now_ms);
  survey.service = fleet_find_service (fleet, query->service);
  survey.patience_ms
      = fleet_patience_ms (fleet, query->service, query->objective_ms);
  survey.ignore_ejections
      = survey.ejected * 100 > survey.count * MQ_FLEET_EJECT_MAX_PERCENT;
  return survey;
}

/* After full workers, whose rejection loses nothing.  */
#define DOUBTFUL_GROUP 3U
/* Told doubt counts less than own sight.  */
#define OWN_DOUBT_COST (UINT64_MAX / 2U)

/**
 * struct rank - rank of a worker for a request; the lowest is chosen
 * @group: 0 normal, 1 too far above the mean for affinity, 2 full, 3 doubtful,
 *         4 ejected, 5 leaving
 * @cost: order within the group
 */
struct rank
{
  uint32_t group;
  uint64_t cost;
};

/* Steps of load per request.  */
#define LOAD_STEPS 16U
/* A request that finds all slots in use waits for about the time of one, and
   so does one that comes after it.  */
#define SLOWDOWN 2U

static const struct fleet_work work
    = { .duration_ms = MQ_SPEED_REQUEST_MS,
        .slowdown = SLOWDOWN,
        .full = (uint64_t)LOAD_UNIT * LOAD_STEPS };

/* Orders by predicted time, which is by load per slot among workers of equal
   speed, then the local data centre first, then randomly.  */
static uint64_t
load_cost (const struct fleet_entry *entry, const struct mq_fleet_query *query,
           const struct survey *survey, uint64_t load, uint64_t slots)
{
  uint64_t mixed = entry->hash ^ query->random;
  bool local = strcmp (entry->member.data_centre, query->data_centre) == 0;
  uint64_t cost = fleet_predict_time (
      entry, survey->service, &work, load * LOAD_STEPS / slots, query->now_ms);

  cost = cost * 4 + (local ? 0 : 2);
  return (cost << 8) + (mq_random_next (&mixed) & 0xff);
}

/* Load from which a worker is full.  For affinity requests it depends on the
   mean load: see MQ_FLEET_AFFINITY_QUEUE_PERCENT.  */
static uint64_t
full_load (const struct mq_fleet_query *query, uint64_t slots, uint64_t mean)
{
  uint64_t full = slots * LOAD_UNIT;
  uint64_t waiting = mean + full * MQ_FLEET_AFFINITY_QUEUE_PERCENT / 100U;

  return query->has_key && waiting > full ? waiting : full;
}

/* Failure: a worker hangs, and each further request that may not be repeated
   is lost there while the first one waits for its deadline.  */
static bool
is_avoided (const struct fleet_entry *entry,
            const struct mq_fleet_query *query, const struct survey *survey)
{
  return query->once
         && fleet_is_doubtful (entry, survey->patience_ms, query->now_ms);
}

/* Failure: a worker hangs, and each host loses a request there to learn what
   another one knows.  */
static bool
is_doubted_by_others (const struct fleet_entry *entry,
                      const struct mq_fleet_query *query)
{
  return query->once && query->evidence != NULL
         && !mq_evidence_is_empty (query->evidence)
         && mq_evidence_doubts (query->evidence, entry->instance,
                                entry->heard_ms, query->now_ms)
                > 0;
}

/* Load of the worker.  Of one not heard of lately, a request without affinity
   expects the load that its speed attracts.  */
static uint64_t
estimate_load (const struct fleet_entry *entry,
               const struct mq_fleet_query *query, const struct survey *survey,
               uint64_t mean)
{
  if (!query->has_key)
    mean = fleet_usual_load (entry, survey->service, &work, survey->reported,
                             query->now_ms);
  return fleet_estimate_load (entry, mean, query->now_ms);
}

static struct rank
rank_worker (const struct fleet_entry *entry,
             const struct mq_fleet_query *query, const struct survey *survey)
{
  uint64_t reported = fleet_mean_load (entry, survey->reported);
  uint64_t load = estimate_load (entry, query, survey, reported);
  uint64_t slots = fleet_slots (entry);
  uint64_t count = survey->count > 0 ? survey->count : 1;
  uint64_t mean = reported > 0 ? reported : survey->load / count;
  uint64_t bound = mean + (uint64_t)MQ_FLEET_AFFINITY_EXCESS_MAX * LOAD_UNIT;
  struct rank rank = { 0, 0 };

  if (entry->member.leaving)
    return (struct rank){ 5, load };
  if (entry->ejected_until_ms > query->now_ms && !survey->ignore_ejections)
    return (struct rank){ 4, entry->ejected_until_ms };
  if (is_avoided (entry, query, survey))
    return (struct rank){ DOUBTFUL_GROUP, OWN_DOUBT_COST + load };
  if (is_doubted_by_others (entry, query))
    return (struct rank){ DOUBTFUL_GROUP, load };
  if (load >= full_load (query, slots, mean)
      || (query->home_full && entry->hash == query->home))
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
    rank.cost = load_cost (entry, query, survey, load, slots);
  return rank;
}

static bool
is_better (struct rank a, struct rank b)
{
  if (a.group != b.group)
    return a.group < b.group;
  return a.cost < b.cost;
}

/* Returns the home of the request's program if it is available and not full,
   else MQ_WORKER_NONE.  Avoids a scan over all workers for most turns.  */
static uint32_t
available_home (const struct mq_fleet *fleet,
                const struct mq_fleet_query *query)
{
  const struct fleet_entry *entry;
  struct survey survey = { .count = 0 };
  uint32_t worker;

  if (!query->has_key || query->home == 0 || query->home_full)
    return MQ_WORKER_NONE;
  entry = fleet_find_hash (fleet, query->home);
  if (entry == NULL || !fleet_is_candidate (entry, query->service)
      || !may_serve (entry, query) || entry->ejected_until_ms > query->now_ms)
    return MQ_WORKER_NONE;
  worker = (uint32_t)(entry - fleet->entries);
  survey.reported
      = mq_fleet_service_load (fleet, query->service, query->now_ms);
  if (was_tried (query, worker)
      || fleet_estimate_load (entry, fleet_mean_load (entry, survey.reported),
                              query->now_ms)
             >= fleet_slots (entry) * LOAD_UNIT)
    return MQ_WORKER_NONE;
  return worker;
}

/* Ejected workers are chosen last, unless so many are ejected that ejections
   are ignored.  */
uint32_t
mq_fleet_choose (struct mq_fleet *fleet, const struct mq_fleet_query *query)
{
  uint32_t home = available_home (fleet, query);
  struct survey survey;
  struct rank best = { UINT32_MAX, UINT64_MAX };
  uint32_t chosen = MQ_WORKER_NONE;
  bool avoided = false;

  if (home != MQ_WORKER_NONE)
    return home;
  if (query->once)
    fleet_note_once (fleet, query->service, query->objective_ms);
  survey = survey_service (fleet, query);
  for (size_t i = 0; i < fleet->count; i++)
    {
      const struct fleet_entry *entry = &fleet->entries[i];
      struct rank rank;

      if (!may_serve (entry, query) || was_tried (query, (uint32_t)i))
        continue;
      rank = rank_worker (entry, query, &survey);
      if (rank.group == DOUBTFUL_GROUP)
        avoided = true;
      if (is_better (rank, best))
        {
          best = rank;
          chosen = (uint32_t)i;
        }
    }
  if (query->avoided != NULL)
    *query->avoided = avoided && best.group < DOUBTFUL_GROUP;
  return chosen;
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
