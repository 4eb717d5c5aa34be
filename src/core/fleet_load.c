/* fleet_load.c - requests at each worker: those of this host, and those that
   answers told.

   Needs: fleet_state.h.  */

#include "fleet_state.h"

uint64_t
fleet_load_of (const struct fleet_entry *entry, uint64_t now_ms)
{
  uint64_t age = now_ms - entry->told_ms;
  uint64_t load = (uint64_t)entry->own * LOAD_UNIT;

  if (entry->told_ms != 0 && age < MQ_FLEET_LOAD_AGE_MS)
    load += (uint64_t)entry->others * LOAD_UNIT * (MQ_FLEET_LOAD_AGE_MS - age)
            / MQ_FLEET_LOAD_AGE_MS;
  return load;
}

bool
mq_fleet_has_queue (const struct mq_fleet *fleet, uint32_t worker,
                    uint64_t now_ms)
{
  const struct fleet_entry *entry = &fleet->entries[worker];

  return fleet_load_of (entry, now_ms)
         > (uint64_t)entry->member.slots * LOAD_UNIT;
}

void
mq_fleet_started (struct mq_fleet *fleet, uint32_t worker)
{
  fleet->entries[worker].own++;
}

void
mq_fleet_heard (struct mq_fleet *fleet, uint32_t worker, uint64_t now_ms)
{
  fleet->entries[worker].heard_ms = now_ms;
}

uint64_t
mq_fleet_heard_ms (const struct mq_fleet *fleet, uint32_t worker)
{
  return fleet->entries[worker].heard_ms;
}

void
mq_fleet_told (struct mq_fleet *fleet, uint32_t worker, uint32_t running,
               uint32_t waiting, uint64_t now_ms)
{
  struct fleet_entry *entry = &fleet->entries[worker];
  uint32_t total = running + waiting;

  entry->others = total > entry->own ? total - entry->own : 0;
  entry->told_ms = now_ms;
}

void
fleet_note_full (struct fleet_entry *entry, uint64_t now_ms)
{
  entry->others = entry->member.slots;
  entry->told_ms = now_ms;
}
