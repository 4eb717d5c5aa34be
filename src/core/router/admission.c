/* admission.c - admission control for new programs.

   Needs: admission.h, id.h, idmap.h, memory.h.  */

#include "admission.h"
#include "../id.h"
#include "../idmap.h"
#include "../memory.h"

/* On the highest-priority route, programs are rejected in increasing numbers
   from REJECT_LOAD_MIN, all of them from REJECT_LOAD_MAX.  The minimum leaves
   a short queue, so that no worker idles while programs are rejected.  */
#define REJECT_LOAD_MIN 1050U
#define REJECT_LOAD_MAX 1650U
/* Both bounds drop by this much per priority level, up to PRIORITY_LEVELS.  */
#define LOAD_PER_PRIORITY 100U
#define PRIORITY_LEVELS 2U
/* From this load on no worker has a free slot, and programs short of time are
   rejected.  */
#define LOAD_FULL 1000U
/* Fastest fall of the smoothed load.  Guards against admitting programs that
   retry late during a short dip in the observed load, in place of programs
   that could still be in time.  */
#define LOAD_FALL_PER_S 80U
/* Load that exceeds LOAD_FULL is taken as high as it will be if it goes on
   rising for this long: programs that have begun add load for all their turns.

   Failure: in a burst, programs are admitted until the queues show, and most
   of them are late.  */
#define LOAD_RISE_MS 2000U
/* Unit of a mean load.  */
#define LOAD_UNIT 1024
/* A program is short of time if its time per token of budget is below this
   percentage of its route's mean.  It would be late even with short queues,
   and would take the place of one that would not.  */
#define LATE_PERCENT 75U
/* Number of programs in the mean.  */
#define MEAN_PROGRAMS 32
/* Time per token is in thousandths of a millisecond.  */
#define TIME_UNIT 1000U
#define RETRY_MIN_MS 100U
#define RETRY_MAX_MS 400U
#define HASH_RANGE 1000U
#define HASH_MIX 0x9e3779b97f4a7c15ULL
#define MS_PER_S 1000U

/* Key spaces of struct mq_admission names.  */
enum
{
  SERVICES,
  ROUTES
};

/**
 * struct level - smoothed load of a service
 * @load: load at @set_ms
 * @mean: moving average of the observed load at @mean_ms, in LOAD_UNITs
 * @mean_ms: 0 if no load was observed
 */
struct level
{
  uint32_t load;
  uint64_t set_ms;
  int64_t mean;
  uint64_t mean_ms;
};

/**
 * struct mean_time - mean time per token of programs that begin on a route
 * @time: milliseconds per token of budget times TIME_UNIT
 * @count: number of programs in the mean
 */
struct mean_time
{
  uint64_t time;
  int count;
};

/**
 * struct mq_admission - observed state of services and routes
 * @names: struct level by service and struct mean_time by route
 * @last_part: part of programs admitted at the last decision
 */
struct mq_admission
{
  struct mq_idmap *names;
  uint32_t last_part;
};

struct mq_admission *
mq_admission_create (TALLOC_CTX *ctx)
{
  struct mq_admission *admission = talloc_zero (ctx, struct mq_admission);

  if (admission == NULL)
    return NULL;
  admission->names = mq_idmap_create (admission);
  if (admission->names == NULL)
    TALLOC_FREE (admission);
  return admission;
}

void
mq_admission_destroy (struct mq_admission *admission)
{
  talloc_free (admission);
}

/* Returns the row of NAME; a new row is zeroed.  */
static void *
find_row (struct mq_admission *admission, const char *name, uint32_t table,
          size_t size)
{
  struct mq_id id = mq_id_from_text (name);
  void *row = mq_idmap_find (admission->names, id, table);

  if (row == NULL)
    {
      row = mq_check_alloc (talloc_zero_size (admission, size));
      mq_idmap_put (admission->names, id, table, row);
    }
  return row;
}

/* Updates the mean of LEVEL; returns by how much LOAD exceeds it.  */
static uint32_t
record_rise (struct level *level, uint32_t load, uint64_t now_ms)
{
  int64_t elapsed = (int64_t)(now_ms - level->mean_ms);
  int64_t rise = (int64_t)load * LOAD_UNIT - level->mean;

  if (level->mean_ms == 0)
    level->mean += rise;
  else
    level->mean += rise * elapsed / (elapsed + (int64_t)LOAD_RISE_MS);
  level->mean_ms = now_ms;
  rise = (int64_t)load - level->mean / LOAD_UNIT;
  return rise > 0 ? (uint32_t)rise : 0;
}

/* The load to be expected.  While workers have free slots, it is the observed
   one, and a rise up to LOAD_FULL does not count.  */
static uint32_t
expected_load (struct level *level, uint32_t load, uint64_t now_ms)
{
  uint32_t queued = load > LOAD_FULL ? load : LOAD_FULL;
  uint32_t rise = record_rise (level, queued, now_ms);

  return load > LOAD_FULL ? load + rise : load;
}

/* Updates the smoothed LEVEL, which rises at once and falls at
   LOAD_FALL_PER_S.  It is capped at REJECT_LOAD_MAX, so that a spike does not
   prolong rejections.  */
static uint32_t
smooth_load (struct level *level, uint32_t observed, uint64_t now_ms)
{
  uint32_t expected = expected_load (level, observed, now_ms);
  uint32_t load = expected < REJECT_LOAD_MAX ? expected : REJECT_LOAD_MAX;
  uint64_t fall = (now_ms - level->set_ms) * LOAD_FALL_PER_S / MS_PER_S;
  uint32_t held = level->load > fall ? level->load - (uint32_t)fall : 0;

  if (load < held)
    return held;
  level->load = load;
  level->set_ms = now_ms;
  return load;
}

/* The highest of the loads that may keep the program from beginning.  */
static uint32_t
decisive_load (struct mq_admission *admission,
               const struct mq_admission_request *request)
{
  struct level *slots
      = find_row (admission, request->service, SERVICES, sizeof *slots);
  uint32_t load = smooth_load (slots, request->load, request->now_ms);

  if (request->pace_load > load)
    load = request->pace_load;
  return request->record_load > load ? request->record_load : load;
}

/* Load from which programs of the request's priority are rejected.  */
static uint32_t
first_reject_load (const struct mq_admission_request *request)
{
  uint32_t steps = request->priority < PRIORITY_LEVELS ? request->priority
                                                       : PRIORITY_LEVELS;

  return REJECT_LOAD_MIN - steps * LOAD_PER_PRIORITY;
}

/* Place of the program among HASH_RANGE, of which the first are admitted.  */
static uint32_t
place (const struct mq_admission_request *request)
{
  return HASH_RANGE - 1 - (uint32_t)(request->program % HASH_RANGE);
}

/* Part of the programs of the request's priority that is admitted at LEVEL, of
   HASH_RANGE.  */
static uint32_t
admitted_part (const struct mq_admission_request *request, uint32_t level)
{
  uint32_t range = REJECT_LOAD_MAX - REJECT_LOAD_MIN;
  uint32_t first = first_reject_load (request);
  uint32_t over = level < first ? 0 : level - first + 1;

  if (over >= range)
    return 0;
  return HASH_RANGE - (over * HASH_RANGE + range - 1) / range;
}

/* Part of the programs of the request's organisation that is admitted.  */
static uint32_t
organisation_part (const struct mq_admission_request *request, uint32_t part)
{
  if (request->shares == NULL || request->organisation == NULL)
    return part;
  return mq_shares_admitted (request->shares, request->organisation, part,
                             request->now_ms);
}

/* Time per token of the budget, in TIME_UNITs; 0 if unknown.  */
static uint64_t
time_per_token (const struct mq_admission_request *request)
{
  if (!request->has_remaining || request->budget == 0)
    return 0;
  return (uint64_t)request->remaining_ms * TIME_UNIT / request->budget + 1;
}

/* Updates the mean time of a route.  Each sample is capped at twice the mean,
   so that programs with tiny budgets do not distort it.  */
static void
update_mean (struct mean_time *mean, uint64_t time)
{
  int64_t max = (int64_t)mean->time * 2;
  int64_t seen = (int64_t)time;

  if (mean->count < MEAN_PROGRAMS)
    mean->count++;
  if (mean->count > 1 && seen > max)
    seen = max;
  mean->time = (uint64_t)((int64_t)mean->time
                          + (seen - (int64_t)mean->time) / mean->count);
}

/* Whether the program has much less time than others on its route, as after
   an earlier rejection.  The mean is only updated while none is rejected.  */
static bool
is_short_of_time (struct mq_admission *admission,
                  const struct mq_admission_request *request, uint32_t level)
{
  struct mean_time *mean
      = find_row (admission, request->route, ROUTES, sizeof *mean);
  uint64_t time = time_per_token (request);

  if (time == 0)
    return false;
  if (level < LOAD_FULL || mean->count == 0)
    update_mean (mean, time);
  return time * 100U < mean->time * LATE_PERCENT;
}

/* Delay after which a refused program may return, spread by its id.

   Failure: a program that returns when the load has fallen has little time
   left; it is admitted, ends late, and takes the place of one that would
   not.  */
static uint32_t
retry_delay (const struct mq_admission_request *request)
{
  /* The bound on the load uses the low digits of the hash.  */
  uint64_t part = (request->program * HASH_MIX >> 32) % HASH_RANGE;

  return RETRY_MIN_MS
         + (uint32_t)((RETRY_MAX_MS - RETRY_MIN_MS) * part / HASH_RANGE);
}

enum mq_admission_decision
mq_admission_decide (struct mq_admission *admission,
                     const struct mq_admission_request *request,
                     uint32_t *retry_ms)
{
  uint32_t level = decisive_load (admission, request);
  bool late = is_short_of_time (admission, request, level);
  uint32_t part = admitted_part (request, level);
  uint32_t own = organisation_part (request, part);

  *retry_ms = 0;
  admission->last_part = own;
  if (late ? level < LOAD_FULL : place (request) < own)
    return MQ_ADMISSION_ACCEPTED;
  *retry_ms = retry_delay (request);
  return late ? MQ_ADMISSION_TOO_LATE : MQ_ADMISSION_OVERLOADED;
}

uint32_t
mq_admission_last_part (const struct mq_admission *admission)
{
  return admission->last_part;
}
