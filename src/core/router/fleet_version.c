/* fleet_version.c - software versions of the workers of a service.

   Needs: fleet_state.h, id.h, idmap.h, memory.h.  */

#include "../id.h"
#include "../idmap.h"
#include "../memory.h"
#include "fleet_state.h"
#include <string.h>

uint64_t
mq_fleet_version_digest (const struct mq_fleet_member *member)
{
  uint64_t digest;

  if (member->version == NULL)
    return 0;
  digest = mq_hash_bytes (member->service, strlen (member->service), 0);
  digest = mq_hash_bytes (member->version, strlen (member->version), digest);
  return digest == 0 ? 1 : digest;
}

/* Returns the slot of VERSION; takes one of a version that was seen too long
   ago to matter, or a new one.  */
static struct fleet_version *
get_version (struct mq_fleet *fleet, struct fleet_service *service,
             uint64_t version)
{
  struct fleet_version *unused = NULL;

  for (size_t i = 0; i < service->version_count; i++)
    {
      struct fleet_version *slot = &service->versions[i];

      if (slot->version == version)
        return slot;
      if (slot->listed == 0
          && fleet->now_ms - slot->seen_ms > MQ_FLEET_VERSION_MEMORY_MS)
        unused = slot;
    }
  if (unused == NULL)
    {
      service->versions = mq_check_alloc (
          talloc_realloc (service, service->versions, struct fleet_version,
                          service->version_count + 1));
      unused = &service->versions[service->version_count++];
    }
  *unused = (struct fleet_version){ .version = version };
  return unused;
}

void
fleet_set_listed (struct mq_fleet *fleet, struct fleet_entry *entry,
                  bool listed)
{
  struct fleet_service *service
      = fleet_get_service (fleet, entry->member.service);
  struct fleet_version *slot = get_version (fleet, service, entry->version);

  if (service->first_ms == 0)
    service->first_ms = fleet->now_ms;
  if (slot->listed == 0
      && fleet->now_ms - slot->seen_ms > MQ_FLEET_VERSION_MEMORY_MS / 2)
    slot->recorded = false;
  if (listed && entry->version != service->recorded_sole)
    service->recorded_sole = 0;
  if (listed && !entry->listed)
    slot->listed++;
  else if (!listed && entry->listed)
    slot->listed--;
  slot->seen_ms = fleet->now_ms;
  entry->listed = listed;
}

uint64_t
mq_fleet_worker_version (const struct mq_fleet *fleet, uint32_t worker)
{
  return fleet->entries[worker].version;
}

uint64_t
mq_fleet_home_version (const struct mq_fleet *fleet, uint64_t home)
{
  const struct fleet_entry *entry
      = home == 0 ? NULL : fleet_find_hash (fleet, home);

  return entry == NULL ? 0 : entry->version;
}

static uint64_t
most_listed (const struct fleet_service *service, bool recorded)
{
  struct fleet_version best = { .listed = 0 };

  for (size_t i = 0; service != NULL && i < service->version_count; i++)
    if (service->versions[i].listed > best.listed
        && (service->versions[i].recorded || !recorded))
      best = service->versions[i];
  return best.version;
}

uint64_t
mq_fleet_common_version (const struct mq_fleet *fleet, const char *service)
{
  return most_listed (fleet_find_service (fleet, service), false);
}

uint64_t
mq_fleet_recorded_version (const struct mq_fleet *fleet, const char *service)
{
  return most_listed (fleet_find_service (fleet, service), true);
}

bool
mq_fleet_has_version (const struct mq_fleet *fleet, const char *service,
                      uint64_t version)
{
  const struct fleet_service *row = fleet_find_service (fleet, service);

  for (size_t i = 0; row != NULL && i < row->version_count; i++)
    if (row->versions[i].version == version)
      return row->versions[i].listed > 0;
  return false;
}

uint64_t
mq_fleet_sole_version (const struct mq_fleet *fleet, const char *service,
                       uint32_t memory_ms, uint64_t now_ms)
{
  const struct fleet_service *row = fleet_find_service (fleet, service);
  uint64_t since = now_ms - memory_ms;
  uint64_t sole = 0;

  if (row == NULL || row->first_ms == 0 || now_ms < row->first_ms + memory_ms)
    return 0;
  for (size_t i = 0; i < row->version_count; i++)
    {
      const struct fleet_version *slot = &row->versions[i];

      if (slot->listed == 0 && slot->seen_ms < since)
        continue;
      if (sole != 0 || slot->version == 0)
        return 0;
      sole = slot->version;
    }
  return sole;
}

static struct fleet_version *
find_version (const struct fleet_service *service, uint64_t version)
{
  for (size_t i = 0; service != NULL && i < service->version_count; i++)
    if (service->versions[i].version == version)
      return &service->versions[i];
  return NULL;
}

bool
mq_fleet_is_recorded (const struct mq_fleet *fleet, const char *service,
                      uint64_t version)
{
  const struct fleet_version *slot
      = find_version (fleet_find_service (fleet, service), version);

  return slot != NULL && slot->recorded;
}

bool
mq_fleet_recorded_several (const struct mq_fleet *fleet, const char *service)
{
  const struct fleet_service *row = fleet_find_service (fleet, service);

  return row != NULL && row->recorded_several;
}

uint64_t
mq_fleet_recorded_sole (const struct mq_fleet *fleet, const char *service)
{
  const struct fleet_service *row = fleet_find_service (fleet, service);

  return row == NULL ? 0 : row->recorded_sole;
}

uint64_t
mq_fleet_settled_s (const struct mq_fleet *fleet, const char *service,
                    uint64_t version)
{
  const struct fleet_version *slot
      = find_version (fleet_find_service (fleet, service), version);

  return slot == NULL || !slot->recorded ? 0 : slot->settled_s;
}

bool
mq_fleet_all_recorded (const struct mq_fleet *fleet, const char *service)
{
  const struct fleet_service *row = fleet_find_service (fleet, service);
  bool any = false;

  for (size_t i = 0; row != NULL && i < row->version_count; i++)
    {
      if (row->versions[i].listed == 0)
        continue;
      if (!row->versions[i].recorded)
        return false;
      any = true;
    }
  return any;
}

/* A row that named one version is read again when that may have changed.  */
uint64_t
mq_fleet_unrecorded_version (const struct mq_fleet *fleet, const char *service)
{
  const struct fleet_service *row = fleet_find_service (fleet, service);
  uint64_t sole = 0;
  size_t listed = 0;

  for (size_t i = 0; row != NULL && i < row->version_count; i++)
    {
      const struct fleet_version *slot = &row->versions[i];

      if (slot->listed == 0)
        continue;
      if (slot->version != 0 && !slot->recorded)
        return slot->version;
      sole = slot->version;
      listed++;
    }
  return listed == 1 && row->recorded_sole == 0 && !row->recorded_several
             ? sole
             : 0;
}

/* A new list may leave out versions that came and went since the last one.  */
void
fleet_forget_sole_versions (struct mq_fleet *fleet)
{
  size_t position = 0;
  struct fleet_service *service;

  while ((service = mq_idmap_next (fleet->services, &position)) != NULL)
    service->recorded_sole = 0;
}

/* SOLE holds only while no other version is listed.  */
static bool
lists_only (const struct fleet_service *service, uint64_t version)
{
  for (size_t i = 0; i < service->version_count; i++)
    if (service->versions[i].listed > 0
        && service->versions[i].version != version)
      return false;
  return true;
}

void
mq_fleet_set_recorded (struct mq_fleet *fleet, const char *service,
                       uint64_t version, bool sole, uint64_t settled_s)
{
  struct fleet_service *row = fleet_get_service (fleet, service);
  struct fleet_version *slot = find_version (row, version);

  row->recorded_several = !sole;
  row->recorded_sole = sole && lists_only (row, version) ? version : 0;
  if (slot == NULL)
    return;
  slot->recorded = true;
  slot->settled_s = settled_s;
}
