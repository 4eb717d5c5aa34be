/* fleet.c - the workers that are known, their load, and which one is next.

   Needs: fleet.h.  */

#include "fleet.h"
#include "id.h"
#include "idmap.h"
#include <string.h>

#define FIRST_SLOTS ((size_t)32)
/* Load in thousandths of a request, so that aged figures need no fractions. */
#define LOAD_UNIT 1000U
/* Pause told to a caller when every worker is full: about the time in which
   a short call ends (median of the plain services' work).  */
#define RETRY_FULL_MS 100U
/* And when no worker is listed at all.  */
#define RETRY_NONE_MS 500U

/**
 * struct entry - one worker
 * @member: strings below the fleet
 * @hash: of its id
 * @stamp: of its id, start, service and address
 * @replaced: a later start has its id; it stays for the requests under way
 * @used: the slot of the table is taken
 * @listed: the registry has it
 * @seen: the list under way has it
 * @lapses_ms: the registry has it no more; it is taken as gone from then on,
 *             0: it has it
 * @refused: it said itself that it takes no more work
 * @own: requests of this host at it
 * @others: requests that it told beyond those of this host
 * @told_ms: when it told so, 0: never
 * @heard_ms: when bytes last came from it
 * @failures: in a row
 * @rate: share of failures among the last requests, thousandths, smoothed
 * @outs: times that it was left out in a row
 * @out_until_ms: no requests before this time
 */
struct entry
{
  struct mq_fleet_member member;
  uint64_t hash;
  uint64_t stamp;
  bool used;
  bool replaced;
  bool listed;
  bool seen;
  uint64_t lapses_ms;
  bool refused;
  uint32_t own;
  uint32_t others;
  uint64_t told_ms;
  uint64_t heard_ms;
  uint32_t failures;
  uint32_t rate;
  uint32_t outs;
  uint64_t out_until_ms;
};

/**
 * struct mq_fleet - the table of workers
 * @by_id: position of the worker's entry, plus one, as a pointer
 * @free_from: no entry before it is free
 */
struct mq_fleet
{
  struct entry *entries;
  size_t count;
  struct mq_idmap *by_id;
  size_t free_from;
};

struct mq_fleet *
mq_fleet_create (TALLOC_CTX *ctx)
{
  struct mq_fleet *fleet = talloc_zero (ctx, struct mq_fleet);

  if (fleet == NULL)
    return NULL;
  fleet->by_id = mq_idmap_create (fleet);
  if (fleet->by_id == NULL)
    TALLOC_FREE (fleet);
  return fleet;
}

void
mq_fleet_destroy (struct mq_fleet *fleet)
{
  talloc_free (fleet);
}

static struct entry *
find_entry (const struct mq_fleet *fleet, const char *id)
{
  uintptr_t place
      = (uintptr_t)mq_idmap_find (fleet->by_id, mq_id_text_hash (id), 0);

  return place == 0 ? NULL : &fleet->entries[place - 1];
}

static struct entry *
free_entry (struct mq_fleet *fleet)
{
  struct entry *grown;
  size_t count = fleet->count;

  for (; fleet->free_from < count; fleet->free_from++)
    if (!fleet->entries[fleet->free_from].used)
      return &fleet->entries[fleet->free_from];
  grown = talloc_realloc (fleet, fleet->entries, struct entry,
                          count + FIRST_SLOTS);
  if (grown == NULL)
    return NULL;
  memset (grown + count, 0, FIRST_SLOTS * sizeof *grown);
  fleet->entries = grown;
  fleet->count = count + FIRST_SLOTS;
  return &fleet->entries[count];
}

static void
free_strings (struct mq_fleet_member *member)
{
  talloc_free ((void *)(uintptr_t)member->id);
  talloc_free ((void *)(uintptr_t)member->service);
  talloc_free ((void *)(uintptr_t)member->address);
  talloc_free ((void *)(uintptr_t)member->data_centre);
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
  if (copy.id == NULL || copy.service == NULL || copy.address == NULL
      || copy.data_centre == NULL)
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

/* The same number for the same start of the same worker.  */
static uint64_t
start_digest (const struct mq_fleet_member *member)
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
  struct entry *entry = free_entry (fleet);

  if (entry == NULL)
    return false;
  *entry = (struct entry){ .used = false };
  if (!copy_member (fleet, &entry->member, member))
    return false;
  entry->hash = text_digest (member->id, 0);
  entry->stamp = start_digest (member);
  entry->used = true;
  entry->listed = true;
  entry->seen = true;
  mq_idmap_put (fleet->by_id, mq_id_text_hash (member->id), 0,
                (void *)(uintptr_t)(entry - fleet->entries + 1));
  return true;
}

static void
forget_if_idle (struct mq_fleet *fleet, struct entry *entry)
{
  size_t place = (size_t)(entry - fleet->entries);

  if (entry->listed || entry->own > 0)
    return;
  if (!entry->replaced)
    mq_idmap_remove (fleet->by_id, mq_id_text_hash (entry->member.id), 0);
  free_strings (&entry->member);
  *entry = (struct entry){ .used = false };
  if (place < fleet->free_from)
    fleet->free_from = place;
}

/* What is told of a worker, beside what is known of it.  */
enum start
{
  START_SAME,
  START_LATER,
  START_EARLIER
};

static enum start
compare_start (const struct entry *entry, const struct mq_fleet_member *told)
{
  if (told->born_ms < entry->member.born_ms)
    return START_EARLIER;
  return start_digest (told) == entry->stamp ? START_SAME : START_LATER;
}

static void
take_changes (struct entry *entry, const struct mq_fleet_member *member)
{
  entry->member.leaving = member->leaving;
  entry->member.slots = member->slots;
  entry->listed = true;
  entry->seen = true;
  entry->lapses_ms = 0;
}

/* Requests under way keep the handle of the former start until they end.  */
static bool
replace_entry (struct mq_fleet *fleet, struct entry *entry,
               const struct mq_fleet_member *member)
{
  entry->listed = false;
  entry->replaced = true;
  forget_if_idle (fleet, entry);
  return add_entry (fleet, member);
}

bool
mq_fleet_put (struct mq_fleet *fleet, const struct mq_fleet_member *member,
              bool *changed)
{
  struct entry *entry = find_entry (fleet, member->id);
  enum start start = START_SAME;
  bool differs = true;
  bool known = true;

  if (entry != NULL)
    {
      start = compare_start (entry, member);
      differs = start == START_LATER || !entry->listed
                || entry->member.leaving != member->leaving
                || entry->member.slots != member->slots;
    }
  if (entry == NULL)
    known = add_entry (fleet, member);
  else if (start == START_LATER)
    known = replace_entry (fleet, entry, member);
  else if (start == START_SAME)
    take_changes (entry, member);
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
mq_fleet_born_ms (const struct mq_fleet *fleet, const char *id)
{
  const struct entry *entry = find_entry (fleet, id);

  return entry == NULL || !entry->listed ? 0 : entry->member.born_ms;
}

static void
lapse (struct mq_fleet *fleet, struct entry *entry, uint64_t until_ms)
{
  if (until_ms == 0)
    {
      entry->listed = false;
      forget_if_idle (fleet, entry);
    }
  else if (entry->lapses_ms == 0)
    entry->lapses_ms = until_ms;
}

bool
mq_fleet_remove (struct mq_fleet *fleet, const char *id, uint64_t until_ms)
{
  struct entry *entry = find_entry (fleet, id);

  if (entry == NULL || !entry->listed)
    return false;
  lapse (fleet, entry, until_ms);
  return true;
}

void
mq_fleet_expire (struct mq_fleet *fleet, uint64_t now_ms)
{
  for (size_t i = 0; i < fleet->count; i++)
    {
      struct entry *entry = &fleet->entries[i];

      if (entry->used && entry->lapses_ms != 0 && entry->lapses_ms <= now_ms)
        lapse (fleet, entry, 0);
    }
}

void
mq_fleet_list_begin (struct mq_fleet *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    fleet->entries[i].seen = false;
}

void
mq_fleet_list_end (struct mq_fleet *fleet, uint64_t until_ms)
{
  for (size_t i = 0; i < fleet->count; i++)
    {
      struct entry *entry = &fleet->entries[i];

      if (entry->used && !entry->seen && entry->listed)
        lapse (fleet, entry, until_ms);
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
  uint64_t digest = start_digest (member);

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

/* Requests at the worker in LOAD_UNITs: our own, and those of other hosts as
   last told, which count less the older the figure is.  */
static uint64_t
load_of (const struct entry *entry, uint64_t now_ms)
{
  uint64_t age = now_ms - entry->told_ms;
  uint64_t load = (uint64_t)entry->own * LOAD_UNIT;

  if (entry->told_ms != 0 && age < MQ_FLEET_LOAD_AGE_MS)
    load += (uint64_t)entry->others * LOAD_UNIT * (MQ_FLEET_LOAD_AGE_MS - age)
            / MQ_FLEET_LOAD_AGE_MS;
  return load;
}

static bool
is_usable (const struct entry *entry)
{
  return entry->used && entry->listed && !entry->member.leaving
         && !entry->refused;
}

static bool
is_candidate (const struct entry *entry, const char *service)
{
  return is_usable (entry) && strcmp (entry->member.service, service) == 0;
}

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
 * @load: of all of them
 * @ignore_out: so many are out that the failures say nothing about them
 */
struct survey
{
  size_t count;
  size_t out;
  uint64_t load;
  bool ignore_out;
};

static struct survey
survey_service (const struct mq_fleet *fleet,
                const struct mq_fleet_query *query)
{
  struct survey survey = { .count = 0 };

  for (size_t i = 0; i < fleet->count; i++)
    {
      const struct entry *entry = &fleet->entries[i];

      if (!is_candidate (entry, query->service))
        continue;
      survey.count++;
      survey.load += load_of (entry, query->now_ms);
      if (entry->out_until_ms > query->now_ms)
        survey.out++;
    }
  survey.ignore_out = survey.out * 100 > survey.count * MQ_FLEET_OUT_PERCENT;
  return survey;
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
plain_cost (const struct entry *entry, const struct mq_fleet_query *query,
            uint64_t load, uint64_t slots)
{
  uint64_t mixed = entry->hash ^ query->random;
  bool near = strcmp (entry->member.data_centre, query->data_centre) == 0;
  uint64_t cost = load * 16 / slots * 4 + (near ? 0 : 2);

  return (cost << 8) + (mq_random_next (&mixed) & 0xff);
}

/* Load from which on a worker is full.  A request with a key stays with its
   worker while that one waits no longer than the others: see
   MQ_FLEET_WAIT_PERCENT.  */
static uint64_t
full_load (const struct mq_fleet_query *query, uint64_t slots, uint64_t mean)
{
  uint64_t full = slots * LOAD_UNIT;
  uint64_t waiting = mean + full * MQ_FLEET_WAIT_PERCENT / 100U;

  return query->has_key && waiting > full ? waiting : full;
}

static struct rank
rank_worker (const struct entry *entry, const struct mq_fleet_query *query,
             const struct survey *survey)
{
  uint64_t load = load_of (entry, query->now_ms);
  uint64_t slots = entry->member.slots > 0 ? entry->member.slots : 1;
  uint64_t count = survey->count > 0 ? survey->count : 1;
  uint64_t mean = survey->load / count;
  uint64_t bound = mean + (uint64_t)MQ_FLEET_AHEAD * LOAD_UNIT;
  struct rank rank = { 0, 0 };

  if (entry->out_until_ms > query->now_ms && !survey->ignore_out)
    return (struct rank){ 3, entry->out_until_ms };
  if (load >= full_load (query, slots, mean))
    rank.group = 2;
  else if (query->has_key && load > bound)
    rank.group = 1;
  if (query->has_key && rank.group < 2)
    {
      uint64_t state = entry->hash ^ query->key;

      rank.cost = UINT64_MAX - mq_random_next (&state);
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

/* Workers left out for failures are taken last, and all of them count as in
   again when too many are out: then the failures say nothing about them.  */
uint32_t
mq_fleet_choose (struct mq_fleet *fleet, const struct mq_fleet_query *query)
{
  struct survey survey = survey_service (fleet, query);
  struct rank best = { UINT32_MAX, UINT64_MAX };
  uint32_t chosen = MQ_WORKER_NONE;

  for (size_t i = 0; i < fleet->count; i++)
    {
      const struct entry *entry = &fleet->entries[i];
      struct rank rank;

      if (!is_candidate (entry, query->service)
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

const struct mq_fleet_member *
mq_fleet_member (const struct mq_fleet *fleet, uint32_t worker)
{
  return &fleet->entries[worker].member;
}

uint64_t
mq_fleet_stamp (const struct mq_fleet *fleet, uint32_t worker)
{
  return fleet->entries[worker].stamp;
}

bool
mq_fleet_usable (const struct mq_fleet *fleet, uint32_t worker)
{
  return is_usable (&fleet->entries[worker]);
}

bool
mq_fleet_has_queue (const struct mq_fleet *fleet, uint32_t worker,
                    uint64_t now_ms)
{
  const struct entry *entry = &fleet->entries[worker];

  return load_of (entry, now_ms) > (uint64_t)entry->member.slots * LOAD_UNIT;
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

static void
leave_out (struct entry *entry, uint64_t now_ms)
{
  uint64_t pause = MQ_FLEET_OUT_MS;

  if (entry->out_until_ms > now_ms)
    return;
  for (uint32_t i = 0; i < entry->outs && pause < MQ_FLEET_OUT_MAX_MS; i++)
    pause *= 2;
  entry->outs++;
  entry->rate = MQ_FLEET_BACK_RATE;
  entry->failures = 0;
  entry->out_until_ms = now_ms + pause;
}

static void
note_failure (struct entry *entry, bool certain, uint64_t now_ms)
{
  entry->failures++;
  entry->rate += (1000U - entry->rate) / MQ_FLEET_RATE_WEIGHT;
  if (certain || entry->failures >= MQ_FLEET_FAILURES_MAX
      || entry->rate >= MQ_FLEET_FAIL_RATE)
    leave_out (entry, now_ms);
}

static void
note_success (struct entry *entry)
{
  entry->failures = 0;
  entry->rate -= entry->rate / MQ_FLEET_RATE_WEIGHT;
  if (entry->rate < MQ_FLEET_SOUND_RATE)
    entry->outs = 0;
}

void
mq_fleet_ended (struct mq_fleet *fleet, uint32_t worker,
                enum mq_fleet_outcome outcome, uint64_t now_ms)
{
  struct entry *entry = &fleet->entries[worker];

  entry->own--;
  switch (outcome)
    {
    case MQ_OUTCOME_SERVED:
      note_success (entry);
      break;
    case MQ_OUTCOME_FAILED:
      note_failure (entry, false, now_ms);
      break;
    case MQ_OUTCOME_UNREACHABLE:
      note_failure (entry, true, now_ms);
      break;
    case MQ_OUTCOME_LEAVING:
      entry->refused = true;
      break;
    case MQ_OUTCOME_FULL:
      entry->others = entry->member.slots;
      entry->told_ms = now_ms;
      break;
    case MQ_OUTCOME_STOPPED:
      break;
    }
  forget_if_idle (fleet, entry);
}

void
mq_fleet_told (struct mq_fleet *fleet, uint32_t worker, uint32_t running,
               uint32_t waiting, uint64_t now_ms)
{
  struct entry *entry = &fleet->entries[worker];
  uint32_t total = running + waiting;

  entry->others = total > entry->own ? total - entry->own : 0;
  entry->told_ms = now_ms;
}

size_t
mq_fleet_count (const struct mq_fleet *fleet, const char *service)
{
  size_t count = 0;

  for (size_t i = 0; i < fleet->count; i++)
    if (is_candidate (&fleet->entries[i], service))
      count++;
  return count;
}

uint32_t
mq_fleet_retry_ms (const struct mq_fleet *fleet, const char *service)
{
  return mq_fleet_count (fleet, service) == 0 ? RETRY_NONE_MS : RETRY_FULL_MS;
}
