/* set_aside.c - permits set aside for programs that have begun.

   Needs: set_aside.h.  */

#include "set_aside.h"
#include <string.h>

/* Millionths, the unit of levels, in a thousandth and in a permit.  */
#define UNITS_PER_THOUSANDTH 1000
#define UNITS_PER_PERMIT 1000000
#define THOUSANDTHS_PER_PERMIT 1000U
/* Bounds on what a message can add to a slot, thousandths.  */
#define DUE_MAX 1000000000U
/* Recent use is halved beyond this, thousandths.  */
#define RECENT_MAX 500000U
/* Part of the filling during the life of programs that may be set aside.  */
#define FILLING_PART 0.75
/* Weight of a program in the mean life, as a divisor.  */
#define LIFE_WEIGHT 16
/* Use that is assumed before there was any, thousandths.  */
#define RECENT_INITIAL 50000U

static uint32_t *
due_at (struct mq_set_aside *aside, uint64_t slot)
{
  return &aside->due[slot % MQ_SET_ASIDE_SLOTS];
}

static void
count_recent (struct mq_set_aside *aside, uint64_t used, uint64_t given_up)
{
  aside->used += used;
  aside->given_up += given_up;
  if (aside->used + aside->given_up <= RECENT_MAX)
    return;
  aside->used /= 2;
  aside->given_up /= 2;
}

/* Requests that a program of this organisation makes after its first one,
   thousandths: programs of others may need more.  */
static uint64_t
expected (const struct mq_set_aside *aside, const struct mq_program_need *need)
{
  uint64_t used = aside->used + RECENT_INITIAL;

  return need->further * used / (used + aside->given_up);
}

/* Gives up slots that are too long past.  */
static void
advance (struct mq_set_aside *aside, uint64_t now)
{
  uint64_t slot = now / MQ_SET_ASIDE_SLOT_MS;

  if (slot >= aside->slot + MQ_SET_ASIDE_SLOTS)
    {
      memset (aside->due, 0, sizeof aside->due);
      aside->slot = slot;
    }
  while (aside->slot < slot)
    {
      uint32_t *oldest;

      aside->slot++;
      oldest = due_at (aside, aside->slot + MQ_SET_ASIDE_AHEAD - 1);
      count_recent (aside, 0, *oldest);
      *oldest = 0;
    }
}

/* Slots over which NEED is spread.  */
static uint32_t
count_slots (const struct mq_program_need *need)
{
  uint32_t slots = need->life_ms / MQ_SET_ASIDE_SLOT_MS;

  if (slots < 1)
    return 1;
  return slots > MQ_SET_ASIDE_AHEAD ? MQ_SET_ASIDE_AHEAD : slots;
}

/* Part of TOTAL in the slot number AT of SLOTS; the parts add up.  */
static uint64_t
part_at (uint64_t total, uint32_t at, uint32_t slots)
{
  if (at >= slots)
    return 0;
  return total * (at + 1) / slots - total * at / slots;
}

static void
average_life (struct mq_set_aside *aside, const struct mq_program_need *need)
{
  int64_t change = ((int64_t)need->life_ms - aside->life_ms) / LIFE_WEIGHT;

  if (aside->life_ms == 0)
    aside->life_ms = need->life_ms;
  else
    aside->life_ms = (uint32_t)(aside->life_ms + change);
}

void
mq_set_aside_add (struct mq_set_aside *aside,
                  const struct mq_program_need *need, uint32_t count,
                  uint64_t now_ms)
{
  uint32_t slots = count_slots (need);
  uint64_t total;

  advance (aside, now_ms);
  total = expected (aside, need) * count;
  if (count > 0)
    average_life (aside, need);
  if (total > DUE_MAX)
    total = DUE_MAX;
  for (uint32_t at = 0; at < slots; at++)
    {
      uint32_t *due = due_at (aside, aside->slot + at);
      uint64_t sum = *due + part_at (total, at, slots);

      *due = sum < DUE_MAX ? (uint32_t)sum : DUE_MAX;
    }
}

void
mq_set_aside_use (struct mq_set_aside *aside, uint32_t count, uint64_t now_ms)
{
  uint64_t left = (uint64_t)count * THOUSANDTHS_PER_PERMIT;

  advance (aside, now_ms);
  count_recent (aside, left, 0);
  for (uint32_t at = 0; at < MQ_SET_ASIDE_SLOTS && left > 0; at++)
    {
      uint32_t *due = due_at (aside, aside->slot + MQ_SET_ASIDE_AHEAD + at);
      uint32_t used = *due < left ? *due : (uint32_t)left;

      *due -= used;
      left -= used;
    }
}

uint64_t
mq_set_aside_total (struct mq_set_aside *aside, uint64_t now_ms)
{
  uint64_t total = 0;

  advance (aside, now_ms);
  for (uint32_t at = 0; at < MQ_SET_ASIDE_SLOTS; at++)
    total += aside->due[at];
  return total;
}

/* What the calendar may hold, in millionths of a permit.  With a full bucket
   that is what it holds above its margin, and a part of what it is filled with
   while programs live: those under way have half of their requests left on
   average, and a crowd that has just begun has all.  It falls to 0 with the
   level, so that programs begin evenly and a need that was taken too low is
   made good.

   Failure: with the life of the program that asks, those that live longest may
   always set aside most, and keep the others out.  */
static int64_t
capacity (const struct mq_set_aside *aside,
          const struct mq_set_aside_bucket *bucket)
{
  double full = (double)bucket->depth - (double)bucket->margin;
  double above = (double)bucket->level - (double)bucket->margin;

  if (full <= 0 || above <= 0)
    return 0;
  return (int64_t)(above
                   + above / full * (double)(bucket->rate * aside->life_ms)
                         * FILLING_PART);
}

static int64_t
set_aside_units (struct mq_set_aside *aside, uint64_t now)
{
  return (int64_t)mq_set_aside_total (aside, now) * UNITS_PER_THOUSANDTH;
}

bool
mq_set_aside_fits (struct mq_set_aside *aside,
                   const struct mq_set_aside_bucket *bucket,
                   const struct mq_program_need *need, uint64_t now_ms)
{
  int64_t whole = UNITS_PER_PERMIT
                  + (int64_t)expected (aside, need) * UNITS_PER_THOUSANDTH;

  return bucket->level >= bucket->margin + UNITS_PER_PERMIT
         && set_aside_units (aside, now_ms) + whole
                <= capacity (aside, bucket);
}

uint64_t
mq_set_aside_spare (struct mq_set_aside *aside,
                    const struct mq_set_aside_bucket *bucket, uint64_t now_ms)
{
  int64_t spare = capacity (aside, bucket) - set_aside_units (aside, now_ms);

  return spare > 0 ? (uint64_t)spare / UNITS_PER_PERMIT : 0;
}
