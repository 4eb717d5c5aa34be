/* test_set_aside.c - unit tests of what programs need and of what is set aside
   for them.

   Needs: Criterion, program_need.h, set_aside.h.  */

#include "core/organisation/program_need.h"
#include "core/organisation/set_aside.h"
#include <criterion/criterion.h>
#include <stdio.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define NOW_MS 100000U
#define PERMIT 1000000U

static const struct mq_program_need ten_in_two_s = { 10000, 2000 };

/**
 * struct aside_case - what is left of what PROGRAMS set aside
 * @used: permits that they used
 * @after_ms: age of the programs
 * @left: permits
 */
struct aside_case
{
  const char *label;
  uint32_t programs;
  uint32_t used;
  uint32_t after_ms;
  uint32_t left;
};

static const struct aside_case aside_cases[] = {
  { "set aside at once", 3, 0, 0, 30 },
  { "less what was used", 3, 12, 500, 18 },
  { "more was used than expected", 3, 40, 500, 0 },
  { "kept for slow programs", 3, 0, 2000, 30 },
  { "given up by age", 3, 0, 2000 + MQ_SET_ASIDE_PAST_MS + 250, 0 },
  { "given up after a long time", 3, 0, 1000000, 0 },
};

/* Failure: permits are set aside for ever, or for what was used.  */
Test (set_aside, permits_are_given_up)
{
  for (size_t i = 0; i < ROWS (aside_cases); i++)
    {
      const struct aside_case *row = &aside_cases[i];
      struct mq_set_aside aside = { 0 };
      uint64_t left;

      mq_set_aside_add (&aside, &ten_in_two_s, row->programs, NOW_MS);
      mq_set_aside_use (&aside, row->used, NOW_MS);
      left = mq_set_aside_total (&aside, NOW_MS + row->after_ms);
      cr_expect_eq (left, (uint64_t)row->left * 1000, "%s: %lu", row->label,
                    (unsigned long)left);
    }
}

/**
 * struct fits_case - whether a program of ten further requests in 2 s may
 *                    begin
 * @level: permits in the bucket, of 40 with a margin of 4
 * @rate: permits per second
 * @begun: such programs that have just begun
 */
struct fits_case
{
  const char *label;
  uint32_t level;
  uint32_t rate;
  uint32_t begun;
  bool fits;
};

static const struct fits_case fits_cases[] = {
  { "a full bucket", 40, 10, 1, true },
  { "a full bucket, all of it needed", 40, 10, 5, false },
  { "a higher rate covers more", 40, 40, 5, true },
  { "the margin is left", 4, 1000, 0, false },
  { "an empty bucket", 0, 1000, 0, false },
  { "half a bucket", 22, 10, 1, true },
  { "half a bucket, all of it needed", 22, 10, 2, false },
};

/* Failure: programs begin with permits that begun ones need.  */
Test (set_aside, a_program_begins_with_what_is_left)
{
  for (size_t i = 0; i < ROWS (fits_cases); i++)
    {
      const struct fits_case *row = &fits_cases[i];
      struct mq_set_aside aside = { 0 };
      struct mq_set_aside_bucket bucket
          = { (uint64_t)row->level * PERMIT, row->rate * (uint64_t)1000,
              (uint64_t)40 * PERMIT, (uint64_t)4 * PERMIT };

      mq_set_aside_add (&aside, &ten_in_two_s, row->begun, NOW_MS);
      cr_expect_eq (mq_set_aside_fits (&aside, &bucket, &ten_in_two_s, NOW_MS),
                    row->fits, "%s", row->label);
    }
}

/* Failure: programs that live long set aside so much that others never
   begin.  */
Test (set_aside, long_and_short_programs_begin_alike)
{
  static const struct mq_program_need slow = { 10000, 8000 };
  static const struct mq_program_need fast = { 10000, 1000 };
  struct mq_set_aside_bucket bucket
      = { (uint64_t)20 * PERMIT, 20000, (uint64_t)40 * PERMIT, 0 };
  struct mq_set_aside aside = { 0 };

  mq_set_aside_add (&aside, &slow, 1, NOW_MS);
  while (mq_set_aside_fits (&aside, &bucket, &slow, NOW_MS))
    {
      cr_assert (mq_set_aside_fits (&aside, &bucket, &fast, NOW_MS));
      mq_set_aside_add (&aside, &slow, 1, NOW_MS);
    }
  cr_expect_not (mq_set_aside_fits (&aside, &bucket, &fast, NOW_MS));
}

/* Failure: an organisation whose programs need less than those of others is
   refused below its limit.  */
Test (set_aside, less_is_set_aside_where_much_is_given_up)
{
  struct mq_set_aside aside = { 0 };
  uint64_t now = NOW_MS;

  for (int i = 0; i < 100; i++)
    {
      mq_set_aside_add (&aside, &ten_in_two_s, 10, now);
      now += 1000;
    }
  aside = (struct mq_set_aside){ .used = aside.used,
                                 .given_up = aside.given_up,
                                 .slot = aside.slot };
  mq_set_aside_add (&aside, &ten_in_two_s, 1, now);
  cr_expect_leq (mq_set_aside_total (&aside, now), 2000);
}

/* Programs of one a 100 ms, with REQUESTS further ones in REQUESTS x 100 ms.
   Each second one continues at another host.  */
static struct mq_program_need
learn (uint32_t requests, uint32_t programs, bool moves, const char *asks)
{
  struct mq_program_needs *needs = mq_program_needs_create (NULL);
  struct mq_program_need need;
  uint64_t now = NOW_MS;

  for (uint32_t step = 0; step < programs + requests + 200; step++)
    {
      for (uint32_t i = 0; i < programs && i < step; i++)
        if (step - i <= requests)
          mq_program_needs_record (needs, "route",
                                   moves && i % 2 == 1 ? 1000000U + i : i,
                                   false, now);
      if (step < programs)
        mq_program_needs_record (needs, "route", step, true, now);
      now += 100;
    }
  need = mq_program_needs_of (needs, asks, now);
  mq_program_needs_destroy (needs);
  return need;
}

/**
 * struct need_case - what is learned
 * @low: thousandths, and @high
 */
struct need_case
{
  const char *label;
  uint32_t requests;
  uint32_t programs;
  bool moves;
  const char *asks;
  uint32_t low;
  uint32_t high;
};

static const struct need_case need_cases[] = {
  { "few programs", 10, 3, false, "route", 0, 0 },
  { "of its route", 10, 100, false, "route", 8500, 10500 },
  { "of an unknown route, that of all", 10, 100, false, "new", 8500, 10500 },
  { "longer programs", 40, 100, false, "route", 34000, 42000 },
  { "half of them continue elsewhere", 10, 100, true, "route", 8500, 11500 },
};

/* Failure: what programs need is not known when a crowd comes.  */
Test (set_aside, needs_are_learned)
{
  for (size_t i = 0; i < ROWS (need_cases); i++)
    {
      const struct need_case *row = &need_cases[i];
      struct mq_program_need need
          = learn (row->requests, row->programs, row->moves, row->asks);

      cr_expect (need.further >= row->low && need.further <= row->high,
                 "%s: %u", row->label, need.further);
    }
}

/* Failure: routes that are renamed again and again take more and more
   memory.  */
Test (set_aside, routes_are_bounded)
{
  struct mq_program_needs *needs = mq_program_needs_create (NULL);
  uint64_t now = NOW_MS;
  char route[16];

  for (uint64_t i = 0; i < 5000; i++)
    {
      snprintf (route, sizeof route, "route-%u", (unsigned int)i);
      mq_program_needs_record (needs, route, i, true, now);
      mq_program_needs_record (needs, route, i, false, now);
      now += 10;
    }
  cr_expect_leq (talloc_total_size (needs), 512U << 10);
  cr_expect_gt (mq_program_needs_of (needs, "route-4999", now).further, 800);
  mq_program_needs_destroy (needs);
}

static const struct mq_program_need bad_needs[]
    = { { 0, 1000 },
        { 1000, 0 },
        { UINT32_MAX, 1000 },
        { 1000, UINT32_MAX },
        { MQ_PROGRAM_NEED_FURTHER_MAX + 1, 1000 },
        { 1000, MQ_PROGRAM_NEED_LIFE_MAX_MS + 1 } };

/* Failure: a frame with figures out of range stops an organisation.  */
Test (set_aside, needs_out_of_range_are_not_used)
{
  for (size_t i = 0; i < ROWS (bad_needs); i++)
    cr_expect_not (mq_program_need_is_usable (&bad_needs[i]), "row %zu", i);
  cr_expect (mq_program_need_is_usable (&ten_in_two_s));
}
