/* fleet_sight.c - what this host sees of workers, as evidence for other hosts.

   Only workers of services with requests that may not be repeated count.
   Needs: fleet_state.h, evidence.h.  */

#include "fleet_state.h"
#include "evidence.h"

bool
mq_fleet_has_once (const struct mq_fleet *fleet)
{
  return fleet->has_once;
}

void
fleet_note_once (struct mq_fleet *fleet, const char *service,
                 uint32_t objective_ms)
{
  struct fleet_service *row = fleet_get_service (fleet, service);

  fleet->has_once = true;
  if (row->once_objective_ms < objective_ms)
    row->once_objective_ms = objective_ms;
}

/* Longest objective of requests of the worker's service that may not be
   repeated, 0 if there were none.  */
static uint32_t
once_objective (const struct mq_fleet *fleet, const struct fleet_entry *entry)
{
  const struct fleet_service *row
      = fleet_find_service (fleet, entry->member.service);

  return row == NULL ? 0 : row->once_objective_ms;
}

bool
mq_fleet_record_wait (struct mq_fleet *fleet, uint32_t worker,
                      uint64_t sent_ms, uint64_t now_ms)
{
  struct fleet_entry *entry = &fleet->entries[worker];
  uint32_t objective;

  /* The worker has left, and its last request ended.  */
  if (!fleet->has_once || !entry->used)
    return false;
  objective = once_objective (fleet, entry);
  if (objective == 0 || now_ms - sent_ms < objective)
    return false;
  entry->late_ms = now_ms;
  return true;
}

static bool
owes_answer (const struct mq_fleet *fleet, const struct fleet_entry *entry,
             uint64_t now_ms)
{
  uint32_t objective;

  if (entry->asked_ms == 0)
    return false;
  objective = once_objective (fleet, entry);
  return objective > 0
         && fleet_is_doubtful (
             entry,
             fleet_patience_ms (fleet, entry->member.service, objective),
             now_ms);
}

void
mq_fleet_scan (const struct mq_fleet *fleet, struct mq_evidence *evidence,
               uint64_t now_ms)
{
  for (size_t i = 0; i < fleet->count; i++)
    {
      const struct fleet_entry *entry = &fleet->entries[i];

      if (!entry->used || !entry->listed)
        continue;
      if (owes_answer (fleet, entry, now_ms))
        mq_evidence_scan_doubted (evidence, entry->instance,
                                  entry->own > 0 ? MQ_EVIDENCE_SILENT
                                                 : MQ_EVIDENCE_LOST,
                                  entry->asked_ms);
      else
        mq_evidence_scan_heard (evidence, entry->instance, entry->heard_ms);
      if (entry->late_ms != 0)
        mq_evidence_scan_late (evidence, entry->instance, entry->late_ms);
    }
}

const struct mq_fleet_member *
mq_fleet_find_instance (const struct mq_fleet *fleet, uint64_t instance)
{
  for (size_t i = 0; i < fleet->count; i++)
    if (fleet->entries[i].used && fleet->entries[i].instance == instance)
      return &fleet->entries[i].member;
  return NULL;
}

size_t
mq_fleet_listed (const struct mq_fleet *fleet)
{
  size_t count = 0;

  for (size_t i = 0; i < fleet->count; i++)
    if (fleet->entries[i].used && fleet->entries[i].listed)
      count++;
  return count;
}
