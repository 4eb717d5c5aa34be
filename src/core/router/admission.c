/* admission.c - whether a program that begins is taken on.

   Needs: admission.h, id.h, idmap.h, memory.h.  */

#include "admission.h"
#include "../id.h"
#include "../idmap.h"
#include "../memory.h"

/* Loads between which programs of the most urgent route are refused, none
   below the first, all above the second.  The first leaves a short queue, so
   that no worker is idle while another program is refused.  */
#define LOAD_FIRST 1050U
#define LOAD_LAST 1650U
/* Both lie so much lower for each step that a route is less urgent, down to
   LOAD_STEPS.  */
#define LOAD_STEP 100U
#define LOAD_STEPS 2U
/* Loads below this leave room for programs that will be late; from here on
   every worker has all that it can run.  */
#define LOAD_ROOM 1000U
/* The load that counts falls no faster than this a second.

   Failure: the load that each host sees varies; in a moment with less a
   program that was refused gets in late, in place of one that could still be
   in time.  */
#define LOAD_FALL_PER_S 80U
/* A program is late if it has less than this part of the time for each token
   of its budget that programs of its route usually have, percent.  It would
   end late beside short queues already, and take the place of one that would
   not.  */
#define LATE_PERCENT 75U
/* The usual time is a mean over so many programs.  */
#define USUAL_PROGRAMS 32
/* Time is compared in thousandths of a millisecond for each token.  */
#define TIME_UNIT 1000U
#define RETRY_LEAST_MS 300U
#define RETRY_MOST_MS 4000U
#define HASH_PARTS 1000U
#define MS_PER_S 1000U

/* Which of the two tables of names.  */
enum
{
  SERVICES,
  ROUTES
};

/**
 * struct level - the load of a service that still counts
 * @load: when it was told
 * @set_ms: when that was
 */
struct level
{
  uint32_t load;
  uint64_t set_ms;
};

/**
 * struct usual - what programs of a route begin with
 * @time: for each token of their budget, in TIME_UNITs
 * @count: programs that it is a mean of
 */
struct usual
{
  uint64_t time;
  int count;
};

/**
 * struct mq_admission - what was seen of services and routes
 * @names: of both; a service's row is a struct level, a route's a struct
 *         usual
 */
struct mq_admission
{
  struct mq_idmap *names;
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

/* Row of NAME, made if need be, all zero then.  */
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

/* The load that counts: as it is, or what is left of the highest one.  What is
   beyond the last bound makes no difference while it lasts, and would after.
   */
static uint32_t
raise_level (struct mq_admission *admission,
             const struct mq_admission_ask *ask)
{
  uint32_t load = ask->load < LOAD_LAST ? ask->load : LOAD_LAST;
  struct level *level
      = find_row (admission, ask->service, SERVICES, sizeof *level);
  uint64_t fall = (ask->now_ms - level->set_ms) * LOAD_FALL_PER_S / MS_PER_S;
  uint32_t held = level->load > fall ? level->load - (uint32_t)fall : 0;

  if (load < held)
    return held;
  *level = (struct level){ load, ask->now_ms };
  return load;
}

/* Load at which this program is refused.  */
static uint32_t
bound_of (const struct mq_admission_ask *ask)
{
  uint32_t steps = ask->priority < LOAD_STEPS ? ask->priority : LOAD_STEPS;
  uint32_t part = (uint32_t)(ask->program % HASH_PARTS);

  return LOAD_FIRST - steps * LOAD_STEP
         + (LOAD_LAST - LOAD_FIRST) * part / HASH_PARTS;
}

/* Time that the program has for each token of its budget, which tells how long
   it is, 0: not told.  */
static uint64_t
time_of (const struct mq_admission_ask *ask)
{
  if (!ask->has_left || ask->budget == 0)
    return 0;
  return (uint64_t)ask->left_ms * TIME_UNIT / ask->budget + 1;
}

/* Learns how much time programs of a route begin with.  Loops have tiny
   budgets, so that no single program counts for more than twice the usual.  */
static void
learn_usual (struct usual *usual, uint64_t time)
{
  int64_t most = (int64_t)usual->time * 2;
  int64_t seen = (int64_t)time;

  if (usual->count < USUAL_PROGRAMS)
    usual->count++;
  if (usual->count > 1 && seen > most)
    seen = most;
  usual->time = (uint64_t)((int64_t)usual->time
                           + (seen - (int64_t)usual->time) / usual->count);
}

/* The program has lost much of the time that those of its route begin with:
   it was refused before.  What programs usually have shows while none is
   refused.  */
static bool
is_late (struct mq_admission *admission, const struct mq_admission_ask *ask,
         uint32_t level)
{
  struct usual *usual
      = find_row (admission, ask->route, ROUTES, sizeof *usual);
  uint64_t time = time_of (ask);

  if (time == 0)
    return false;
  if (level < LOAD_ROOM || usual->count == 0)
    learn_usual (usual, time);
  return time * 100U < usual->time * LATE_PERCENT;
}

/* Time until the load that counts has fallen from LEVEL to BOUND.  */
static uint32_t
time_to_fall (uint32_t level, uint32_t bound)
{
  uint64_t wait = (uint64_t)(level - bound) * MS_PER_S / LOAD_FALL_PER_S;

  if (wait < RETRY_LEAST_MS)
    return RETRY_LEAST_MS;
  return wait > RETRY_MOST_MS ? RETRY_MOST_MS : (uint32_t)wait;
}

enum mq_admission_answer
mq_admission_decide (struct mq_admission *admission,
                     const struct mq_admission_ask *ask, uint32_t *retry_ms)
{
  uint32_t held = raise_level (admission, ask);
  uint32_t level = ask->record_load > held ? ask->record_load : held;
  bool late = is_late (admission, ask, level);
  uint32_t bound = late ? LOAD_ROOM : bound_of (ask);

  *retry_ms = 0;
  if (level < bound)
    return MQ_ADMISSION_YES;
  *retry_ms = time_to_fall (level, bound);
  return late ? MQ_ADMISSION_LATE : MQ_ADMISSION_LOADED;
}
