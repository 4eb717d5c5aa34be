/* suspects.c - requests under which workers ended.

   Needs: suspects.h, id.h, idmap.h.  */

#include "suspects.h"
#include "../id.h"
#include "../idmap.h"

/**
 * struct run_end - the end of a run, by the clock of this host
 */
struct run_end
{
  uint64_t worker;
  uint64_t worker_id;
  uint64_t began_ms;
  uint64_t ended_ms;
  enum mq_suspects_state state;
  bool lost;
};

/**
 * struct suspect - a request under which workers may have ended
 * @ends: by time of their end
 * @last_ms: time of the last end, or at which an attempt was let through again
 * @rejected_until_ms: 0 if it is not rejected
 * @rejections: how often it was rejected
 * @version: version of the service's software since it was rejected, 0 if
 *           unknown
 * @running: runs of this host
 * @running_at: worker of the last of them
 */
struct suspect
{
  struct mq_id work;
  struct run_end ends[MQ_SUSPECTS_KEPT_MAX];
  uint32_t count;
  uint64_t last_ms;
  uint64_t rejected_until_ms;
  uint32_t rejections;
  uint64_t version;
  uint32_t running;
  uint32_t running_at;
};

/**
 * struct mq_suspects - requests by mq_work_id
 * @open: ends that are not settled
 */
struct mq_suspects
{
  struct mq_idmap *by_work;
  size_t open;
};

struct mq_suspects *
mq_suspects_create (TALLOC_CTX *ctx)
{
  struct mq_suspects *suspects = talloc_zero (ctx, struct mq_suspects);

  if (suspects == NULL)
    return NULL;
  suspects->by_work = mq_idmap_create (suspects);
  if (suspects->by_work == NULL)
    TALLOC_FREE (suspects);
  return suspects;
}

void
mq_suspects_destroy (struct mq_suspects *suspects)
{
  talloc_free (suspects);
}

bool
mq_suspects_is_empty (const struct mq_suspects *suspects)
{
  return mq_idmap_count (suspects->by_work) == 0;
}

bool
mq_suspects_has_open (const struct mq_suspects *suspects)
{
  return suspects->open > 0;
}

static struct suspect *
find (const struct mq_suspects *suspects, struct mq_id work)
{
  return mq_idmap_find (suspects->by_work, work, 0);
}

bool
mq_suspects_is_known (const struct mq_suspects *suspects, struct mq_id work)
{
  return find (suspects, work) != NULL;
}

static uint32_t
count_open (const struct suspect *suspect)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < suspect->count; i++)
    count += suspect->ends[i].state == MQ_SUSPECTS_OPEN ? 1U : 0U;
  return count;
}

static void
forget (struct mq_suspects *suspects, struct suspect *suspect)
{
  suspects->open -= count_open (suspect);
  mq_idmap_remove (suspects->by_work, suspect->work, 0);
  talloc_free (suspect);
}

static bool
counts (const struct run_end *end, bool with_open)
{
  return end->state == MQ_SUSPECTS_ENDED
         || (with_open && end->state == MQ_SUSPECTS_OPEN);
}

/* Number of ends one after the other.  */
static uint32_t
count_ends (const struct suspect *suspect, bool with_open)
{
  uint64_t last_ms = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < suspect->count; i++)
    {
      const struct run_end *end = &suspect->ends[i];

      if (!counts (end, with_open)
          || end->began_ms + MQ_SUSPECTS_CLOCK_ERROR_MS < last_ms)
        continue;
      count++;
      last_ms = end->ended_ms;
    }
  return count;
}

static uint64_t
reject_ms (const struct suspect *suspect)
{
  uint64_t ms = MQ_SUSPECTS_REJECT_MS;

  for (uint32_t i = 1;
       i < suspect->rejections && ms < MQ_SUSPECTS_REJECT_MAX_MS; i++)
    ms *= 2;
  return ms;
}

static void
reject_if_due (struct suspect *suspect)
{
  if (suspect->rejected_until_ms != 0
      || count_ends (suspect, false) < MQ_SUSPECTS_ENDS_MAX)
    return;
  suspect->rejections++;
  suspect->rejected_until_ms = suspect->last_ms + reject_ms (suspect);
}

static void
remove_end (struct mq_suspects *suspects, struct suspect *suspect, uint32_t at)
{
  if (suspect->ends[at].state == MQ_SUSPECTS_OPEN)
    suspects->open--;
  suspect->count--;
  for (uint32_t i = at; i < suspect->count; i++)
    suspect->ends[i] = suspect->ends[i + 1];
}

/* Lets one attempt through: one end is left before the request is rejected
   again.  */
static void
let_through (struct mq_suspects *suspects, struct suspect *suspect,
             uint64_t now_ms)
{
  while (count_ends (suspect, true) >= MQ_SUSPECTS_ENDS_MAX)
    remove_end (suspects, suspect, 0);
  suspect->rejected_until_ms = 0;
  suspect->version = 0;
  suspect->last_ms = now_ms;
}

/* A request that was rejected before is remembered for longer: it would end as
   many workers again.  */
static bool
has_expired (const struct suspect *suspect, uint64_t now_ms)
{
  uint64_t memory_ms
      = suspect->rejections > 0 ? reject_ms (suspect) : MQ_SUSPECTS_MEMORY_MS;

  uint64_t since_ms = suspect->rejected_until_ms != 0
                          ? suspect->rejected_until_ms
                          : suspect->last_ms;

  return suspect->running == 0 && now_ms >= since_ms + memory_ms;
}

enum mq_suspects_verdict
mq_suspects_judge (struct mq_suspects *suspects, struct mq_id work,
                   uint64_t version, uint64_t now_ms)
{
  struct suspect *suspect = find (suspects, work);

  if (suspect == NULL)
    return MQ_SUSPECTS_MAY_RUN;
  if (suspect->rejected_until_ms != 0 && suspect->version == 0)
    suspect->version = version;
  if (suspect->rejected_until_ms != 0
      && (now_ms >= suspect->rejected_until_ms
          || (version != 0 && version != suspect->version)))
    let_through (suspects, suspect, now_ms);
  if (suspect->rejected_until_ms != 0)
    return MQ_SUSPECTS_REJECTED;
  if (suspect->running > 0
      && count_ends (suspect, true) >= MQ_SUSPECTS_ENDS_ALONE)
    return MQ_SUSPECTS_BUSY;
  if (count_ends (suspect, true) >= MQ_SUSPECTS_ENDS_MAX)
    return MQ_SUSPECTS_UNSETTLED;
  return MQ_SUSPECTS_MAY_RUN;
}

bool
mq_suspects_run_begun (struct mq_suspects *suspects, struct mq_id work,
                       uint32_t worker)
{
  struct suspect *suspect = find (suspects, work);

  if (suspect == NULL)
    return false;
  suspect->running++;
  suspect->running_at = worker;
  return true;
}

/* The request may have been cleared by another run, and be known anew.  */
void
mq_suspects_run_ended (struct mq_suspects *suspects, struct mq_id work)
{
  struct suspect *suspect = find (suspects, work);

  if (suspect != NULL && suspect->running > 0)
    suspect->running--;
}

static bool
contains (const uint32_t *workers, size_t count, uint32_t worker)
{
  for (size_t i = 0; i < count; i++)
    if (workers[i] == worker)
      return true;
  return false;
}

/* Failure: workers crash, and each request that ran there avoids all others,
   which leaves few workers for many requests.  */
size_t
mq_suspects_occupied (const struct mq_suspects *suspects, struct mq_id work,
                      uint32_t *workers, size_t max)
{
  bool one_of_few
      = mq_suspects_count (suspects, work) >= MQ_SUSPECTS_ENDS_ALONE;
  const struct suspect *suspect;
  size_t position = 0;
  size_t count = 0;

  while (count < max
         && (suspect = mq_idmap_next (suspects->by_work, &position)) != NULL)
    if (suspect->running > 0 && !mq_id_equal (suspect->work, work)
        && !contains (workers, count, suspect->running_at)
        && (one_of_few
            || count_ends (suspect, true) >= MQ_SUSPECTS_ENDS_ALONE))
      workers[count++] = suspect->running_at;
  return count;
}

/* Makes room: the request whose last end is the oldest goes, a rejected one
   last.  */
static void
forget_oldest (struct mq_suspects *suspects)
{
  struct suspect *oldest = NULL;
  struct suspect *suspect;
  size_t position = 0;

  while ((suspect = mq_idmap_next (suspects->by_work, &position)) != NULL)
    {
      bool rejected = suspect->rejected_until_ms != 0;
      bool oldest_rejected = oldest != NULL && oldest->rejected_until_ms != 0;

      if (oldest == NULL || rejected < oldest_rejected
          || (rejected == oldest_rejected
              && suspect->last_ms < oldest->last_ms))
        oldest = suspect;
    }
  if (oldest != NULL)
    forget (suspects, oldest);
}

static struct suspect *
find_or_add (struct mq_suspects *suspects, struct mq_id work)
{
  struct suspect *suspect = find (suspects, work);

  if (suspect != NULL)
    return suspect;
  if (mq_idmap_count (suspects->by_work) >= MQ_SUSPECTS_WORKS_MAX)
    forget_oldest (suspects);
  suspect = talloc_zero (suspects, struct suspect);
  if (suspect == NULL)
    return NULL;
  suspect->work = work;
  mq_idmap_put (suspects->by_work, work, 0, suspect);
  return suspect;
}

static struct run_end *
find_end (struct suspect *suspect, uint64_t worker)
{
  for (uint32_t i = 0; i < suspect->count; i++)
    if (suspect->ends[i].worker == worker)
      return &suspect->ends[i];
  return NULL;
}

/* The end that tells least: the oldest of a worker that lives, else the oldest
   of all.  */
static uint32_t
least_end (const struct suspect *suspect)
{
  for (uint32_t i = 0; i < suspect->count; i++)
    if (suspect->ends[i].state == MQ_SUSPECTS_ALIVE)
      return i;
  return 0;
}

static void
add_end (struct mq_suspects *suspects, struct suspect *suspect,
         const struct run_end *end)
{
  uint32_t at;

  if (suspect->count == MQ_SUSPECTS_KEPT_MAX)
    remove_end (suspects, suspect, least_end (suspect));
  at = suspect->count++;
  for (; at > 0 && suspect->ends[at - 1].ended_ms > end->ended_ms; at--)
    suspect->ends[at] = suspect->ends[at - 1];
  suspect->ends[at] = *end;
  if (end->state == MQ_SUSPECTS_OPEN)
    suspects->open++;
  if (end->ended_ms > suspect->last_ms)
    suspect->last_ms = end->ended_ms;
}

/* A worker that was heard of later has not ended, whoever says so.  */
static void
set_state (struct mq_suspects *suspects, struct run_end *end,
           enum mq_suspects_state state)
{
  if (state == MQ_SUSPECTS_OPEN || end->state == MQ_SUSPECTS_ALIVE)
    return;
  if (end->state == MQ_SUSPECTS_OPEN)
    suspects->open--;
  end->state = state;
}

/* Whether RUN began after the one that ended as END, at the same worker.  */
static bool
is_later_run (const struct run_end *run, const struct run_end *end)
{
  return run->began_ms > end->ended_ms + MQ_SUSPECTS_CLOCK_ERROR_MS;
}

/* Whether RUN is the one of END, told with less delay.  The duration of a run
   is told unchanged; a report is read late at most.  */
static bool
is_earlier_report (const struct run_end *run, const struct run_end *end)
{
  return run->ended_ms - run->began_ms == end->ended_ms - end->began_ms
         && run->ended_ms < end->ended_ms
         && end->ended_ms - run->ended_ms <= MQ_SUSPECTS_READ_DELAY_MS;
}

/* Moves the end KNOWN to the time that RUN tells; returns where it is kept
   now.

   Failure: a host that is held up reads late that a worker has ended, and the
   run that began at once after it seems to overlap with it, though it is told
   again in time.  */
static struct run_end *
move_end (struct mq_suspects *suspects, struct suspect *suspect,
          struct run_end *known, const struct run_end *run)
{
  struct run_end end = *known;

  end.began_ms = run->began_ms;
  end.ended_ms = run->ended_ms;
  remove_end (suspects, suspect, (uint32_t)(known - suspect->ends));
  add_end (suspects, suspect, &end);
  return find_end (suspect, end.worker);
}

/* Takes what RUN tells of its worker, of which KNOWN is kept.

   Failure: a connection to a worker breaks, the worker is found alive, and a
   later run ends it: the end of that run is taken for the first one and does
   not count.  */
static void
update_end (struct mq_suspects *suspects, struct suspect *suspect,
            struct run_end *known, const struct run_end *run)
{
  if (known->state != MQ_SUSPECTS_ALIVE && is_earlier_report (run, known))
    known = move_end (suspects, suspect, known, run);
  if (known->state == MQ_SUSPECTS_ALIVE && is_later_run (run, known))
    {
      remove_end (suspects, suspect, (uint32_t)(known - suspect->ends));
      add_end (suspects, suspect, run);
    }
  else if (!is_later_run (known, run))
    set_state (suspects, known, run->state);
}

bool
mq_suspects_is_valid (const struct mq_suspects_end *end)
{
  return !mq_id_is_zero (end->work) && end->state < MQ_SUSPECTS_SERVED
         && end->age_ms <= MQ_SUSPECTS_AGE_MAX_MS
         && end->ran_ms <= MQ_SUSPECTS_AGE_MAX_MS;
}

uint32_t
mq_suspects_record (struct mq_suspects *suspects,
                    const struct mq_suspects_end *end, uint64_t now_ms)
{
  struct run_end run = { .worker = end->worker,
                         .worker_id = end->worker_id,
                         .state = end->state,
                         .lost = end->lost };
  struct suspect *suspect;
  struct run_end *known;

  if (!mq_suspects_is_valid (end))
    return 0;
  run.ended_ms = now_ms > end->age_ms ? now_ms - end->age_ms : 1;
  run.began_ms = run.ended_ms > end->ran_ms ? run.ended_ms - end->ran_ms : 0;
  suspect = find_or_add (suspects, end->work);
  if (suspect == NULL)
    return 0;
  known = find_end (suspect, end->worker);
  if (known == NULL)
    add_end (suspects, suspect, &run);
  else
    update_end (suspects, suspect, known, &run);
  reject_if_due (suspect);
  return count_ends (suspect, true);
}

uint32_t
mq_suspects_count (const struct mq_suspects *suspects, struct mq_id work)
{
  const struct suspect *suspect = find (suspects, work);

  return suspect == NULL ? 0 : count_ends (suspect, true);
}

bool
mq_suspects_clear (struct mq_suspects *suspects, struct mq_id work)
{
  struct suspect *suspect = find (suspects, work);

  if (suspect == NULL)
    return false;
  forget (suspects, suspect);
  return true;
}

static struct mq_suspects_end
describe (const struct suspect *suspect, const struct run_end *end,
          uint64_t now_ms)
{
  return (struct mq_suspects_end){
    .work = suspect->work,
    .worker = end->worker,
    .worker_id = end->worker_id,
    .ran_ms = (uint32_t)(end->ended_ms - end->began_ms),
    .age_ms = (uint32_t)(now_ms - end->ended_ms),
    .state = end->state,
    .lost = end->lost,
  };
}

size_t
mq_suspects_ends (const struct mq_suspects *suspects, struct mq_id work,
                  struct mq_suspects_end ends[MQ_SUSPECTS_KEPT_MAX],
                  uint64_t now_ms)
{
  const struct suspect *suspect = find (suspects, work);
  size_t count = 0;

  for (uint32_t i = 0; suspect != NULL && i < suspect->count; i++)
    ends[count++] = describe (suspect, &suspect->ends[i], now_ms);
  return count;
}

/* A worker that has crashed sends nothing, so that one that has begun to leave
   since the connection broke lives.  */
static enum mq_suspects_state
judge_end (const struct run_end *end, const struct mq_suspects_sight *sight,
           uint64_t now_ms)
{
  if (!sight->listed)
    return now_ms >= end->ended_ms + MQ_SUSPECTS_LISTING_MS ? MQ_SUSPECTS_ENDED
                                                            : MQ_SUSPECTS_OPEN;
  if (sight->leaving
      || sight->heard_ms > end->ended_ms + MQ_SUSPECTS_READ_DELAY_MS
      || now_ms > end->ended_ms + MQ_SUSPECTS_SETTLE_MS)
    return MQ_SUSPECTS_ALIVE;
  return MQ_SUSPECTS_OPEN;
}

static void
settle_ends (struct mq_suspects *suspects, struct suspect *suspect,
             mq_suspects_look *look, mq_suspects_settled *settled, void *user,
             uint64_t now_ms)
{
  for (uint32_t i = 0; i < suspect->count; i++)
    {
      struct run_end *end = &suspect->ends[i];
      struct mq_suspects_end told = describe (suspect, end, now_ms);
      struct mq_suspects_sight sight;

      if (end->state != MQ_SUSPECTS_OPEN)
        continue;
      sight = look (&told, user);
      told.state = judge_end (end, &sight, now_ms);
      if (told.state == MQ_SUSPECTS_OPEN)
        continue;
      set_state (suspects, end, told.state);
      settled (&told, user);
    }
  reject_if_due (suspect);
}

/* Requests that one call forgets.  */
#define EXPIRED_MAX 64U

void
mq_suspects_settle (struct mq_suspects *suspects, mq_suspects_look *look,
                    mq_suspects_settled *settled, void *user, uint64_t now_ms)
{
  struct suspect *expired[EXPIRED_MAX];
  struct suspect *suspect;
  size_t position = 0;
  size_t count = 0;

  while ((suspect = mq_idmap_next (suspects->by_work, &position)) != NULL)
    {
      settle_ends (suspects, suspect, look, settled, user, now_ms);
      if (has_expired (suspect, now_ms) && count < EXPIRED_MAX)
        expired[count++] = suspect;
    }
  /* The map must not change while it is walked through.  */
  for (size_t i = 0; i < count; i++)
    forget (suspects, expired[i]);
}

void
mq_suspects_worker_ended (struct mq_suspects *suspects, uint64_t worker,
                          mq_suspects_settled *settled, void *user,
                          uint64_t now_ms)
{
  struct suspect *suspect;
  size_t position = 0;

  while ((suspect = mq_idmap_next (suspects->by_work, &position)) != NULL)
    {
      struct run_end *end = find_end (suspect, worker);
      struct mq_suspects_end told;

      if (end == NULL || end->state != MQ_SUSPECTS_OPEN)
        continue;
      set_state (suspects, end, MQ_SUSPECTS_ENDED);
      reject_if_due (suspect);
      told = describe (suspect, end, now_ms);
      settled (&told, user);
    }
}

/* Requests in the order of their ends, most first.  */
static bool
precedes (const struct suspect *a, const struct suspect *b)
{
  uint32_t ends_a = count_ends (a, true);
  uint32_t ends_b = count_ends (b, true);

  return ends_a != ends_b ? ends_a > ends_b : a->last_ms > b->last_ms;
}

/* Stores the first requests in that order, at most MAX, in FOUND.  */
static size_t
find_worst (const struct mq_suspects *suspects, const struct suspect **found,
            size_t max)
{
  const struct suspect *suspect;
  size_t position = 0;
  size_t count = 0;

  while ((suspect = mq_idmap_next (suspects->by_work, &position)) != NULL)
    {
      size_t at = count;

      while (at > 0 && precedes (suspect, found[at - 1]))
        at--;
      if (at == max)
        continue;
      if (count < max)
        count++;
      for (size_t i = count - 1; i > at; i--)
        found[i] = found[i - 1];
      found[at] = suspect;
    }
  return count;
}

/* Requests that mq_suspects_copy_ends and mq_suspects_list look for.  */
#define WORST_MAX 64U

size_t
mq_suspects_copy_ends (const struct mq_suspects *suspects,
                       struct mq_suspects_end *ends, size_t max,
                       uint64_t now_ms)
{
  const struct suspect *found[WORST_MAX];
  size_t works = find_worst (suspects, found, WORST_MAX);
  size_t count = 0;

  for (size_t i = 0; i < works; i++)
    for (uint32_t k = 0; k < found[i]->count && count < max; k++)
      ends[count++] = describe (found[i], &found[i]->ends[k], now_ms);
  return count;
}

size_t
mq_suspects_list (const struct mq_suspects *suspects,
                  struct mq_suspects_report *reports, size_t max,
                  uint64_t now_ms)
{
  const struct suspect *found[WORST_MAX];
  size_t count
      = find_worst (suspects, found, max < WORST_MAX ? max : WORST_MAX);

  for (size_t i = 0; i < count; i++)
    reports[i] = (struct mq_suspects_report){
      .work = found[i]->work,
      .ends = count_ends (found[i], false),
      .open = count_open (found[i]),
      .age_ms = now_ms - found[i]->last_ms,
      .rejected = found[i]->rejected_until_ms != 0,
    };
  return count;
}
