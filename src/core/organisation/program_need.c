/* program_need.c - requests that programs make after their first one.

   Needs: program_need.h, id.h, idmap.h, memory.h.  */

#include "program_need.h"
#include "../id.h"
#include "../idmap.h"
#include "../memory.h"

#define AGE_MS 250U
#define AGES (MQ_PROGRAM_NEED_LIFE_MAX_MS / AGE_MS)
/* Programs that reached an age are halved beyond this, with their requests, so
   that the mean follows changes.  */
#define REACHED_MAX 256U
/* Programs whose beginning is remembered; a further one replaces another.  */
#define PROGRAMS 1024U
/* Routes that are told apart; further ones count for all routes only.  */
#define ROUTES_MAX 256U
/* Requests of known and unknown programs are halved beyond this.  */
#define REQUESTS_MAX 4096U
/* Requests of unknown programs raise the need at most by this factor.  */
#define UNKNOWN_FACTOR_MAX 8U
/* Requests are not counted for this long after the first one: when a host
   starts, programs under way are unknown.  */
#define SETTLE_MS 2000U
/* Weight of a new need in the mean of several hosts, as a divisor.  */
#define MEAN_WEIGHT 32
#define THOUSAND 1000U

/**
 * struct profile - requests of the programs of a route by their age
 * @requests: requests at each age, without the first
 * @reached: programs that passed each age
 * @begun: programs by the time slot in which they began, modulo AGES
 * @slot: current time slot
 */
struct profile
{
  uint32_t requests[AGES];
  uint32_t reached[AGES];
  uint32_t begun[AGES];
  uint64_t slot;
};

/**
 * struct program - a program that began at this host
 * @slot: time slot in which it began
 * @profile: of its route
 */
struct program
{
  uint64_t id;
  uint64_t slot;
  struct profile *profile;
};

/**
 * struct mq_program_needs - what was learned
 * @routes: struct profile by name
 * @all: all routes
 * @first_ms: time of the first request, 0 if there was none
 * @known: requests of remembered programs, without the first
 * @unknown: requests of others
 */
struct mq_program_needs
{
  struct mq_idmap *routes;
  struct profile all;
  struct program programs[PROGRAMS];
  uint64_t first_ms;
  uint32_t known;
  uint32_t unknown;
};

struct mq_program_needs *
mq_program_needs_create (TALLOC_CTX *ctx)
{
  struct mq_program_needs *needs = talloc_zero (ctx, struct mq_program_needs);

  if (needs == NULL)
    return NULL;
  needs->routes = mq_idmap_create (needs);
  if (needs->routes == NULL)
    TALLOC_FREE (needs);
  return needs;
}

void
mq_program_needs_destroy (struct mq_program_needs *needs)
{
  talloc_free (needs);
}

bool
mq_program_need_is_usable (const struct mq_program_need *need)
{
  return need->further > 0 && need->further <= MQ_PROGRAM_NEED_FURTHER_MAX
         && need->life_ms > 0 && need->life_ms <= MQ_PROGRAM_NEED_LIFE_MAX_MS;
}

static uint32_t
average (uint32_t mean, uint32_t value)
{
  int64_t change = ((int64_t)value - mean) / MEAN_WEIGHT;

  return (uint32_t)(mean + change);
}

void
mq_program_need_average (struct mq_program_need *mean,
                         const struct mq_program_need *need)
{
  if (mean->further == 0)
    *mean = *need;
  mean->further = average (mean->further, need->further);
  mean->life_ms = average (mean->life_ms, need->life_ms);
}

static void
halve_age (struct profile *profile, uint32_t age)
{
  profile->requests[age] /= 2;
  profile->reached[age] /= 2;
}

/* Ends the current slot: the programs of each slot have passed one more age.
 */
static void
end_slot (struct profile *profile)
{
  for (uint32_t age = 0; age < AGES; age++)
    {
      profile->reached[age]
          += profile->begun[(profile->slot + AGES - age) % AGES];
      if (profile->reached[age] > REACHED_MAX)
        halve_age (profile, age);
    }
  profile->slot++;
  profile->begun[profile->slot % AGES] = 0;
}

static void
advance (struct profile *profile, uint64_t now)
{
  uint64_t slot = now / AGE_MS;

  if (slot > profile->slot + AGES)
    {
      for (uint32_t i = 0; i < AGES; i++)
        end_slot (profile);
      profile->slot = slot;
    }
  while (profile->slot < slot)
    end_slot (profile);
}

static struct profile *
find_profile (const struct mq_program_needs *needs, const char *route)
{
  return mq_idmap_find (needs->routes, mq_id_from_text (route), 0);
}

static struct profile *
get_profile (struct mq_program_needs *needs, const char *route)
{
  struct profile *profile = find_profile (needs, route);

  if (profile != NULL)
    return profile;
  if (mq_idmap_count (needs->routes) >= ROUTES_MAX)
    return &needs->all;
  profile = mq_check_alloc (talloc_zero (needs, struct profile));
  mq_idmap_put (needs->routes, mq_id_from_text (route), 0, profile);
  return profile;
}

static void
record_begin (struct profile *profile, uint64_t now)
{
  advance (profile, now);
  profile->begun[profile->slot % AGES]++;
}

static void
record_at_age (struct profile *profile, uint64_t begun_slot, uint64_t now)
{
  uint64_t age;

  advance (profile, now);
  age = profile->slot - begun_slot;
  if (age < AGES)
    profile->requests[age]++;
}

static void
count_request (struct mq_program_needs *needs, bool known, uint64_t now)
{
  if (now - needs->first_ms < SETTLE_MS)
    return;
  if (known)
    needs->known++;
  else
    needs->unknown++;
  if (needs->known + needs->unknown <= REQUESTS_MAX)
    return;
  needs->known /= 2;
  needs->unknown /= 2;
}

void
mq_program_needs_record (struct mq_program_needs *needs, const char *route,
                         uint64_t program, bool begins, uint64_t now_ms)
{
  struct program *at = &needs->programs[program % PROGRAMS];
  bool known = at->profile != NULL && at->id == program;

  if (needs->first_ms == 0)
    needs->first_ms = now_ms;
  if (begins)
    {
      *at = (struct program){ program, now_ms / AGE_MS,
                              get_profile (needs, route) };
      record_begin (&needs->all, now_ms);
      if (at->profile != &needs->all)
        record_begin (at->profile, now_ms);
      return;
    }
  count_request (needs, known, now_ms);
  if (!known)
    return;
  record_at_age (&needs->all, at->slot, now_ms);
  if (at->profile != &needs->all)
    record_at_age (at->profile, at->slot, now_ms);
}

/* Requests at AGE of a program, in thousandths.  */
static uint64_t
mean_at (const struct profile *profile, uint32_t age)
{
  if (profile->reached[age] == 0)
    return 0;
  return (uint64_t)profile->requests[age] * THOUSAND / profile->reached[age];
}

/* Requests raised by those of programs that began at other hosts.  */
static uint64_t
with_unknown (const struct mq_program_needs *needs, uint64_t requests)
{
  uint64_t raised;

  if (needs->known == 0)
    return requests;
  raised = requests * (needs->known + needs->unknown) / needs->known;
  return raised < requests * UNKNOWN_FACTOR_MAX
             ? raised
             : requests * UNKNOWN_FACTOR_MAX;
}

struct mq_program_need
mq_program_needs_of (struct mq_program_needs *needs, const char *route,
                     uint64_t now_ms)
{
  struct profile *profile = find_profile (needs, route);
  struct mq_program_need need = { 0 };
  uint64_t requests = 0;
  uint64_t requests_of;
  uint64_t ages = 0;

  if (profile != NULL)
    advance (profile, now_ms);
  advance (&needs->all, now_ms);
  if (profile == NULL || profile->reached[0] < MQ_PROGRAM_NEED_PROGRAMS_MIN)
    profile = &needs->all;
  if (profile->reached[0] < MQ_PROGRAM_NEED_PROGRAMS_MIN)
    return need;
  for (uint32_t age = 0; age < AGES; age++)
    {
      requests += mean_at (profile, age);
      ages += mean_at (profile, age) * (2 * age + 1);
    }
  if (requests == 0)
    return need;
  requests_of = with_unknown (needs, requests);
  if (requests_of > MQ_PROGRAM_NEED_FURTHER_MAX)
    requests_of = MQ_PROGRAM_NEED_FURTHER_MAX;
  need.further = (uint32_t)requests_of;
  /* Spread evenly from the beginning, twice the mean age.  */
  need.life_ms = (uint32_t)(ages * AGE_MS / requests);
  if (need.life_ms > MQ_PROGRAM_NEED_LIFE_MAX_MS)
    need.life_ms = MQ_PROGRAM_NEED_LIFE_MAX_MS;
  return need;
}
