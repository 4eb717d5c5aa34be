/* fleet_load.c - load of workers: requests of this host and reported load.

   Needs: fleet_state.h.  */

#include "fleet_state.h"
#include "../id.h"
#include "../memory.h"

uint64_t
fleet_slots (const struct fleet_entry *entry)
{
  return entry->member.slots > 0 ? entry->member.slots : 1;
}

uint64_t
fleet_mean_load (const struct fleet_entry *entry, uint32_t reported)
{
  return (uint64_t)reported * fleet_slots (entry) * LOAD_UNIT
         / MQ_FLEET_LOAD_FULL;
}

uint64_t
fleet_decayed_load (const struct fleet_entry *entry, uint64_t now_ms)
{
  uint64_t age = now_ms - entry->reported_ms;
  uint64_t load = (uint64_t)entry->own * LOAD_UNIT;

  if (entry->reported_ms != 0 && age < MQ_FLEET_LOAD_TTL_MS)
    load += (uint64_t)entry->others * LOAD_UNIT * (MQ_FLEET_LOAD_TTL_MS - age)
            / MQ_FLEET_LOAD_TTL_MS;
  return load;
}

uint64_t
fleet_estimate_load (const struct fleet_entry *entry, uint64_t mean,
                     uint64_t now_ms)
{
  uint64_t age = now_ms - entry->reported_ms;
  uint64_t own = (uint64_t)entry->own * LOAD_UNIT;
  uint64_t reported = own + (uint64_t)entry->others * LOAD_UNIT;
  uint64_t estimate = mean;

  if (mean == 0)
    return fleet_decayed_load (entry, now_ms);
  if (entry->reported_ms != 0 && age < MQ_FLEET_LOAD_TTL_MS)
    estimate = (mean * age + reported * (MQ_FLEET_LOAD_TTL_MS - age))
               / MQ_FLEET_LOAD_TTL_MS;
  return estimate > own ? estimate : own;
}

struct fleet_service *
fleet_get_service (struct mq_fleet *fleet, const char *service)
{
  struct mq_id id = mq_id_from_text (service);
  struct fleet_service *row = mq_idmap_find (fleet->services, id, 0);

  if (row == NULL)
    {
      row = mq_check_alloc (talloc_zero (fleet, struct fleet_service));
      mq_idmap_put (fleet->services, id, 0, row);
    }
  return row;
}

const struct fleet_service *
fleet_find_service (const struct mq_fleet *fleet, const char *service)
{
  return mq_idmap_find (fleet->services, mq_id_from_text (service), 0);
}

uint32_t
mq_fleet_service_load (const struct mq_fleet *fleet, const char *service,
                       uint64_t now_ms)
{
  const struct fleet_service *row = fleet_find_service (fleet, service);

  return row == NULL ? 0 : mq_recent_mean (&row->loads, now_ms);
}

uint32_t
mq_fleet_service_pressure (const struct mq_fleet *fleet, const char *service,
                           uint64_t now_ms)
{
  const struct fleet_service *row = fleet_find_service (fleet, service);
  uint32_t load;
  uint32_t wait;

  if (row == NULL)
    return 0;
  load = mq_recent_mean (&row->loads, now_ms);
  wait = mq_recent_mean (&row->waits, now_ms) * 100U
         / MQ_FLEET_DELAY_FULL_PERCENT;
  return load < wait ? load : wait;
}

void
mq_fleet_record_delay (struct mq_fleet *fleet, uint32_t worker,
                       uint32_t wait_ms, uint32_t objective_ms,
                       uint64_t now_ms)
{
  const struct fleet_entry *entry = &fleet->entries[worker];
  struct fleet_service *row;

  if (objective_ms == 0)
    return;
  row = fleet_get_service (fleet, entry->member.service);
  mq_recent_add (
      &row->waits, worker,
      (uint32_t)((uint64_t)wait_ms * MQ_FLEET_LOAD_FULL / objective_ms),
      now_ms);
}

bool
mq_fleet_has_queue (const struct mq_fleet *fleet, uint32_t worker,
                    uint64_t now_ms)
{
  const struct fleet_entry *entry = &fleet->entries[worker];

  return fleet_decayed_load (entry, now_ms)
         > (uint64_t)entry->member.slots * LOAD_UNIT;
}

static bool
doubt_is_over (const struct fleet_entry *entry, uint64_t now_ms)
{
  return entry->asked_ms == 0
         || (entry->own == 0
             && now_ms - entry->asked_ms >= MQ_FLEET_DOUBT_MAX_MS);
}

bool
fleet_is_doubtful (const struct fleet_entry *entry, uint64_t patience_ms,
                   uint64_t now_ms)
{
  return !doubt_is_over (entry, now_ms)
         && now_ms - entry->asked_ms > patience_ms;
}

uint64_t
fleet_patience_ms (const struct mq_fleet *fleet, const char *service,
                   uint32_t objective_ms)
{
  const struct fleet_service *row = fleet_find_service (fleet, service);
  uint64_t least = objective_ms / MQ_FLEET_DOUBT_OBJECTIVE_DIVISOR;
  uint64_t patience;

  if (row == NULL || row->answer_ms == 0)
    return objective_ms;
  patience = row->answer_ms * MQ_FLEET_DOUBT_FACTOR / ANSWER_WEIGHT;
  if (patience < least)
    return least;
  return patience < objective_ms ? patience : objective_ms;
}

void
mq_fleet_request_started (struct mq_fleet *fleet, uint32_t worker,
                          uint64_t now_ms)
{
  struct fleet_entry *entry = &fleet->entries[worker];

  if (doubt_is_over (entry, now_ms))
    entry->asked_ms = now_ms;
  entry->own++;
}

static void
record_answer (struct mq_fleet *fleet, const struct fleet_entry *entry,
               uint64_t now_ms)
{
  struct fleet_service *row = fleet_get_service (fleet, entry->member.service);
  uint64_t wait = now_ms - entry->asked_ms;

  if (row->answer_ms == 0)
    row->answer_ms = wait * ANSWER_WEIGHT;
  else
    row->answer_ms += wait - row->answer_ms / ANSWER_WEIGHT;
}

void
mq_fleet_record_activity (struct mq_fleet *fleet, uint32_t worker,
                          uint64_t now_ms)
{
  struct fleet_entry *entry = &fleet->entries[worker];

  if (entry->asked_ms != 0)
    record_answer (fleet, entry, now_ms);
  entry->asked_ms = 0;
  entry->heard_ms = now_ms;
}

uint64_t
mq_fleet_last_activity_ms (const struct mq_fleet *fleet, uint32_t worker)
{
  return fleet->entries[worker].heard_ms;
}

void
mq_fleet_record_load (struct mq_fleet *fleet, uint32_t worker,
                      uint32_t running, uint32_t waiting, uint64_t now_ms)
{
  struct fleet_entry *entry = &fleet->entries[worker];
  uint32_t total = running + waiting;

  entry->others = total > entry->own ? total - entry->own : 0;
  entry->reported_ms = now_ms;
  if (entry->member.slots > 0)
    mq_recent_add (&fleet_get_service (fleet, entry->member.service)->loads,
                   worker, total * MQ_FLEET_LOAD_FULL / entry->member.slots,
                   now_ms);
}

void
fleet_mark_full (struct fleet_entry *entry, uint64_t now_ms)
{
  entry->others = entry->member.slots;
  entry->reported_ms = now_ms;
}
