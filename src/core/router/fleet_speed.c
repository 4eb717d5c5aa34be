/* fleet_speed.c - how long work takes at the workers.

   Needs: fleet_state.h.  */

#include "fleet_state.h"

static const struct mq_speed_service *
find_speed (const struct mq_fleet *fleet, const struct fleet_entry *entry)
{
  const struct fleet_service *service
      = fleet_find_service (fleet, entry->member.service);

  return service == NULL ? NULL : &service->speed;
}

void
mq_fleet_record_speed (struct mq_fleet *fleet, uint32_t worker,
                       uint32_t percent, uint64_t now_ms)
{
  struct fleet_entry *entry = &fleet->entries[worker];

  mq_speed_record_told (
      &entry->speed, &fleet_get_service (fleet, entry->member.service)->speed,
      percent, now_ms);
}

void
mq_fleet_record_time (struct mq_fleet *fleet, uint32_t worker,
                      const struct mq_speed_sample *sample, uint64_t now_ms)
{
  struct fleet_entry *entry = &fleet->entries[worker];

  mq_speed_record_time (
      &entry->speed, &fleet_get_service (fleet, entry->member.service)->speed,
      sample, now_ms);
}

uint32_t
mq_fleet_speed (const struct mq_fleet *fleet, uint32_t worker, uint64_t now_ms)
{
  const struct fleet_entry *entry = &fleet->entries[worker];
  const struct mq_speed_service *service = find_speed (fleet, entry);

  return service == NULL ? MQ_SPEED_USUAL
                         : mq_speed_factor (&entry->speed, service,
                                            MQ_SPEED_REQUEST_MS, now_ms);
}

uint64_t
fleet_predict_time (const struct fleet_entry *entry,
                    const struct fleet_service *service,
                    const struct fleet_work *work, uint64_t load,
                    uint64_t now_ms)
{
  uint32_t factor = MQ_SPEED_USUAL;

  if (service != NULL)
    factor = mq_speed_factor (&entry->speed, &service->speed,
                              work->duration_ms, now_ms);
  if (work->shared)
    return mq_speed_shared_cost (load, work->full, work->slowdown, factor);
  return mq_speed_cost (load, work->full, work->slowdown, factor);
}

uint64_t
fleet_usual_load (const struct fleet_entry *entry,
                  const struct fleet_service *service,
                  const struct fleet_work *work, uint32_t reported,
                  uint64_t now_ms)
{
  uint64_t mean = fleet_mean_load (entry, reported);
  uint64_t slots = fleet_slots (entry);
  uint64_t full = work->full / LOAD_UNIT;
  uint64_t per_slot = mean * full / slots;
  uint32_t factor;
  uint64_t load;

  if (service == NULL || mean == 0)
    return mean;
  factor = mq_speed_factor (&entry->speed, &service->speed, work->duration_ms,
                            now_ms);
  load = mq_speed_usual_load (&service->speed, per_slot, work->full,
                              work->slowdown, factor);
  if (load == per_slot)
    return mean;
  load = load * slots / full;
  /* 0 would stand for an unknown mean.  */
  return load > 0 ? load : 1;
}

/* Keeps the slowest of the workers seen so far, slowest first.  */
static void
insert_slow (struct mq_fleet_slow *list, size_t *count, size_t max,
             struct mq_fleet_slow found)
{
  size_t at;

  if (*count < max)
    (*count)++;
  else if (list[max - 1].factor >= found.factor)
    return;
  for (at = *count - 1; at > 0 && list[at - 1].factor < found.factor; at--)
    list[at] = list[at - 1];
  list[at] = found;
}

size_t
mq_fleet_slowest (const struct mq_fleet *fleet, struct mq_fleet_slow *list,
                  size_t max, uint64_t now_ms)
{
  size_t count = 0;

  for (size_t i = 0; i < fleet->count && max > 0; i++)
    {
      const struct fleet_entry *entry = &fleet->entries[i];
      struct mq_fleet_slow found = { .member = &entry->member };

      if (!entry->used || !entry->listed)
        continue;
      if (entry->speed.told_ms == 0 && entry->speed.measured_ms == 0)
        continue;
      found.factor = mq_fleet_speed (fleet, (uint32_t)i, now_ms);
      if (found.factor > MQ_SPEED_USUAL)
        insert_slow (list, &count, max, found);
    }
  return count;
}
