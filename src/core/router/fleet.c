/* fleet.c - table of workers.

   Needs: fleet_state.h, id.h.  */

#include "fleet_state.h"
#include "../id.h"
#include <string.h>

#define GROW_ENTRIES ((size_t)32)

struct mq_fleet *
mq_fleet_create (TALLOC_CTX *ctx)
{
  struct mq_fleet *fleet = talloc_zero (ctx, struct mq_fleet);

  if (fleet == NULL)
    return NULL;
  fleet->by_id = mq_idmap_create (fleet);
  fleet->services = mq_idmap_create (fleet);
  if (fleet->by_id == NULL || fleet->services == NULL)
    TALLOC_FREE (fleet);
  return fleet;
}

void
mq_fleet_destroy (struct mq_fleet *fleet)
{
  talloc_free (fleet);
}

static struct fleet_entry *
find_entry (const struct mq_fleet *fleet, const char *id)
{
  uintptr_t position = (uintptr_t)mq_idmap_find (
      fleet->by_id, mq_id_from_text (id), FLEET_BY_ID);

  return position == 0 ? NULL : &fleet->entries[position - 1];
}

static struct mq_id
hash_key (uint64_t hash)
{
  return (struct mq_id){ .lo = hash };
}

struct fleet_entry *
fleet_find_hash (const struct mq_fleet *fleet, uint64_t hash)
{
  uintptr_t position = (uintptr_t)mq_idmap_find (fleet->by_id, hash_key (hash),
                                                 FLEET_BY_HASH);

  return position == 0 ? NULL : &fleet->entries[position - 1];
}

static struct fleet_entry *
free_entry (struct mq_fleet *fleet)
{
  struct fleet_entry *grown;
  size_t count = fleet->count;

  for (; fleet->free_from < count; fleet->free_from++)
    if (!fleet->entries[fleet->free_from].used)
      return &fleet->entries[fleet->free_from];
  grown = talloc_realloc (fleet, fleet->entries, struct fleet_entry,
                          count + GROW_ENTRIES);
  if (grown == NULL)
    return NULL;
  memset (grown + count, 0, GROW_ENTRIES * sizeof *grown);
  fleet->entries = grown;
  fleet->count = count + GROW_ENTRIES;
  return &fleet->entries[count];
}

static void
free_strings (struct mq_fleet_member *member)
{
  talloc_free ((void *)(uintptr_t)member->id);
  talloc_free ((void *)(uintptr_t)member->service);
  talloc_free ((void *)(uintptr_t)member->address);
  talloc_free ((void *)(uintptr_t)member->data_centre);
  talloc_free ((void *)(uintptr_t)member->version);
}

static bool
copy_member (struct mq_fleet *fleet, struct mq_fleet_member *to,
             const struct mq_fleet_member *from)
{
  struct mq_fleet_member copy = *from;

  copy.id = talloc_strdup (fleet, from->id);
  copy.service = talloc_strdup (fleet, from->service);
  copy.address = talloc_strdup (fleet, from->address);
  copy.data_centre = talloc_strdup (fleet, from->data_centre);
  copy.version = talloc_strdup (fleet, from->version);
  if (copy.id == NULL || copy.service == NULL || copy.address == NULL
      || copy.data_centre == NULL
      || (copy.version == NULL && from->version != NULL))
    {
      free_strings (&copy);
      return false;
    }
  *to = copy;
  return true;
}

static uint64_t
text_digest (const char *text, uint64_t seed)
{
  return mq_hash_bytes (text, strlen (text), seed);
}

/* Digest that identifies one start of a worker.  */
static uint64_t
instance_digest (const struct mq_fleet_member *member)
{
  uint64_t digest = text_digest (member->id, 0);

  digest = text_digest (member->service, digest);
  digest = text_digest (member->address, digest);
  digest = text_digest (member->data_centre, digest);
  return mq_hash_bytes (&member->born_ms, sizeof member->born_ms, digest);
}

static bool
add_entry (struct mq_fleet *fleet, const struct mq_fleet_member *member)
{
  struct fleet_entry *entry = free_entry (fleet);
  void *position;

  if (entry == NULL)
    return false;
  *entry = (struct fleet_entry){ .used = false };
  if (!copy_member (fleet, &entry->member, member))
    return false;
  entry->hash = text_digest (member->id, 0);
  entry->instance = instance_digest (member);
  entry->version = mq_fleet_version_digest (member);
  entry->used = true;
  fleet_set_listed (fleet, entry, true);
  entry->seen = true;
  position = (void *)(uintptr_t)(entry - fleet->entries + 1);
  mq_idmap_put (fleet->by_id, mq_id_from_text (member->id), FLEET_BY_ID,
                position);
  mq_idmap_put (fleet->by_id, hash_key (entry->hash), FLEET_BY_HASH, position);
  return true;
}

void
fleet_free_if_idle (struct mq_fleet *fleet, struct fleet_entry *entry)
{
  size_t position = (size_t)(entry - fleet->entries);

  if (entry->listed || entry->own > 0)
    return;
  if (!entry->replaced)
    {
      mq_idmap_remove (fleet->by_id, mq_id_from_text (entry->member.id),
                       FLEET_BY_ID);
      mq_idmap_remove (fleet->by_id, hash_key (entry->hash), FLEET_BY_HASH);
    }
  free_strings (&entry->member);
  *entry = (struct fleet_entry){ .used = false };
  if (position < fleet->free_from)
    fleet->free_from = position;
}

/* Start of a received entry, compared with the known one.  */
enum start
{
  START_SAME,
  START_LATER,
  START_EARLIER
};

/* Whether RECEIVED tells another version than ENTRY, which may know none.  */
static bool
tells_version (const struct fleet_entry *entry,
               const struct mq_fleet_member *received)
{
  if (received->version == NULL)
    return false;
  return entry->member.version == NULL
         || strcmp (entry->member.version, received->version) != 0;
}

static enum start
compare_start (const struct fleet_entry *entry,
               const struct mq_fleet_member *received)
{
  if (received->born_ms < entry->member.born_ms)
    return START_EARLIER;
  if (entry->member.version != NULL && tells_version (entry, received))
    return START_LATER;
  return instance_digest (received) == entry->instance ? START_SAME
                                                       : START_LATER;
}

static void
update_entry (struct mq_fleet *fleet, struct fleet_entry *entry,
              const struct mq_fleet_member *member)
{
  if (tells_version (entry, member))
    {
      fleet_set_listed (fleet, entry, false);
      entry->member.version = talloc_strdup (fleet, member->version);
      entry->version = mq_fleet_version_digest (&entry->member);
    }
  if (member->leaving && !entry->member.leaving)
    entry->leaving_ms = fleet->now_ms;
  entry->member.leaving = member->leaving;
  entry->member.slots = member->slots;
  fleet_set_listed (fleet, entry, true);
  entry->seen = true;
  entry->removal_ms = 0;
}

/* Requests in progress keep the handle of the previous start.  */
static bool
replace_entry (struct mq_fleet *fleet, struct fleet_entry *entry,
               const struct mq_fleet_member *member)
{
  fleet_set_listed (fleet, entry, false);
  entry->replaced = true;
  fleet_free_if_idle (fleet, entry);
  return add_entry (fleet, member);
}

void
mq_fleet_set_time (struct mq_fleet *fleet, uint64_t now_ms)
{
  fleet->now_ms = now_ms;
}

bool
mq_fleet_put (struct mq_fleet *fleet, const struct mq_fleet_member *member,
              bool *changed)
{
  struct fleet_entry *entry = find_entry (fleet, member->id);
  enum start start = START_SAME;
  bool differs = true;
  bool known = true;

  if (entry != NULL)
    {
      start = compare_start (entry, member);
      differs = start == START_LATER || !entry->listed
                || tells_version (entry, member)
                || entry->member.leaving != member->leaving
                || entry->member.slots != member->slots;
    }
  if (entry == NULL)
    known = add_entry (fleet, member);
  else if (start == START_LATER)
    known = replace_entry (fleet, entry, member);
  else if (start == START_SAME)
    update_entry (fleet, entry, member);
  else
    {
      entry->seen = true;
      differs = false;
    }
  if (changed != NULL)
    *changed = differs;
  return known;
}

uint64_t
mq_fleet_start_time_ms (const struct mq_fleet *fleet, const char *id)
{
  const struct fleet_entry *entry = find_entry (fleet, id);

  return entry == NULL || !entry->listed ? 0 : entry->member.born_ms;
}

static void
schedule_removal (struct mq_fleet *fleet, struct fleet_entry *entry,
                  uint64_t until_ms)
{
  if (until_ms == 0)
    {
      fleet_set_listed (fleet, entry, false);
      fleet_free_if_idle (fleet, entry);
    }
  else if (entry->removal_ms == 0)
    entry->removal_ms = until_ms;
}

bool
mq_fleet_remove (struct mq_fleet *fleet, const char *id, uint64_t until_ms)
{
  struct fleet_entry *entry = find_entry (fleet, id);

  if (entry == NULL || !entry->listed)
    return false;
  schedule_removal (fleet, entry, until_ms);
  return true;
}

void
mq_fleet_expire (struct mq_fleet *fleet, uint64_t now_ms)
{
  fleet->now_ms = now_ms;
  for (size_t i = 0; i < fleet->count; i++)
    {
      struct fleet_entry *entry = &fleet->entries[i];

      if (entry->used && entry->removal_ms != 0 && entry->removal_ms <= now_ms)
        schedule_removal (fleet, entry, 0);
    }
}

void
mq_fleet_list_begin (struct mq_fleet *fleet)
{
  fleet_forget_sole_versions (fleet);
  for (size_t i = 0; i < fleet->count; i++)
    fleet->entries[i].seen = false;
}

void
mq_fleet_list_end (struct mq_fleet *fleet, uint64_t until_ms)
{
  for (size_t i = 0; i < fleet->count; i++)
    {
      struct fleet_entry *entry = &fleet->entries[i];

      if (entry->used && !entry->seen && entry->listed)
        schedule_removal (fleet, entry, until_ms);
    }
}

struct mq_fleet_member *
mq_fleet_list (const struct mq_fleet *fleet, TALLOC_CTX *ctx, size_t *count)
{
  struct mq_fleet_member *list
      = talloc_zero_array (ctx, struct mq_fleet_member, fleet->count + 1);

  *count = 0;
  for (size_t i = 0; list != NULL && i < fleet->count; i++)
    if (fleet->entries[i].used && fleet->entries[i].listed)
      list[(*count)++] = fleet->entries[i].member;
  return list;
}

static uint64_t
member_digest (const struct mq_fleet_member *member)
{
  uint64_t digest = instance_digest (member);

  if (member->version != NULL)
    digest = text_digest (member->version, digest);
  digest = mq_hash_bytes (&member->slots, sizeof member->slots, digest);
  return mq_hash_bytes (&member->leaving, sizeof member->leaving, digest);
}

uint64_t
mq_fleet_digest (const struct mq_fleet_member *list, size_t count)
{
  uint64_t digest = count;

  for (size_t i = 0; i < count; i++)
    digest += member_digest (&list[i]);
  return digest;
}

bool
fleet_is_available (const struct fleet_entry *entry)
{
  return entry->used && entry->listed && !entry->member.leaving
         && !entry->draining;
}

bool
fleet_is_candidate (const struct fleet_entry *entry, const char *service)
{
  return fleet_is_available (entry)
         && strcmp (entry->member.service, service) == 0;
}

const struct mq_fleet_member *
mq_fleet_member (const struct mq_fleet *fleet, uint32_t worker)
{
  return &fleet->entries[worker].member;
}

uint64_t
mq_fleet_instance_digest (const struct mq_fleet *fleet, uint32_t worker)
{
  return fleet->entries[worker].instance;
}

uint64_t
mq_fleet_worker_id_hash (const struct mq_fleet *fleet, uint32_t worker)
{
  return fleet->entries[worker].hash;
}

uint32_t
mq_fleet_find_start (const struct mq_fleet *fleet, uint64_t id_hash,
                     uint64_t instance)
{
  const struct fleet_entry *entry = fleet_find_hash (fleet, id_hash);

  if (entry == NULL || !entry->listed || entry->instance != instance)
    return MQ_WORKER_NONE;
  return (uint32_t)(entry - fleet->entries);
}

bool
mq_fleet_heard_other (const struct mq_fleet *fleet, uint64_t instance,
                      uint64_t since_ms)
{
  for (size_t i = 0; i < fleet->count; i++)
    if (fleet->entries[i].used && fleet->entries[i].instance != instance
        && fleet->entries[i].heard_ms > since_ms)
      return true;
  return false;
}

uint32_t
mq_fleet_own_requests (const struct mq_fleet *fleet, uint32_t worker)
{
  return fleet->entries[worker].own;
}

bool
mq_fleet_is_available (const struct mq_fleet *fleet, uint32_t worker)
{
  return fleet_is_available (&fleet->entries[worker]);
}
