/* test_histogram.c - error bound of quantiles, latency series, and policy
   names.

   Needs: criterion, histogram.h, latency.h.  */

#include "core/histogram.h"
#include "core/id.h"
#include "core/latency.h"
#include "core/limits.h"
#include "core/owner/place.h"
#include <criterion/criterion.h>
#include <stdlib.h>

enum
{
  VALUES = 20000
};

static const uint32_t permilles[] = { 1, 250, 500, 900, 950, 990, 999, 1000 };

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

/* Ranges of random test values, including heavy-tailed ones.  */
static const struct
{
  const char *name;
  uint32_t least_bit;
  uint32_t most_bit;
} spreads[] = {
  { "exact below the first step", 0, 4 },
  { "microseconds to a second", 1, 20 },
  { "one power of two", 14, 15 },
  { "a millisecond to an hour", 10, 32 },
  { "up to the greatest bucket", 20, 41 },
};

static int
compare (const void *left, const void *right)
{
  uint64_t a = *(const uint64_t *)left;
  uint64_t b = *(const uint64_t *)right;

  return a < b ? -1 : a > b;
}

static void
draw (uint64_t *values, size_t spread, uint64_t seed)
{
  uint32_t bits = spreads[spread].most_bit - spreads[spread].least_bit;

  for (size_t i = 0; i < VALUES; i++)
    {
      uint32_t bit = spreads[spread].least_bit + mq_random_below (&seed, bits);

      values[i]
          = (1ULL << bit)
            + (((uint64_t)mq_random_below (&seed, 1U << 30) << bit) >> 30);
    }
}

Test (histogram, quantiles_are_within_the_error)
{
  static uint64_t values[VALUES];

  for (size_t s = 0; s < COUNT (spreads); s++)
    {
      struct mq_histogram histogram = { 0 };

      draw (values, s, 7 + s);
      for (size_t i = 0; i < VALUES; i++)
        mq_histogram_add (&histogram, values[i]);
      qsort (values, VALUES, sizeof values[0], compare);
      for (size_t i = 0; i < COUNT (permilles); i++)
        {
          size_t rank = ((size_t)VALUES * permilles[i] + 999) / 1000;
          uint64_t exact = values[rank - 1];
          uint64_t given = mq_histogram_quantile (&histogram, permilles[i]);
          uint64_t off = given > exact ? given - exact : exact - given;

          cr_expect (off * 2 * MQ_HISTOGRAM_STEPS <= exact,
                     "%s: p%u is %lu, exactly %lu", spreads[s].name,
                     permilles[i], given, exact);
        }
      cr_expect_eq (histogram.max, values[VALUES - 1]);
    }
}

Test (histogram, parts_add_up_to_the_whole)
{
  static uint64_t values[VALUES];
  struct mq_histogram parts[2] = { 0 };
  struct mq_histogram whole = { 0 };

  draw (values, 3, 99);
  for (size_t i = 0; i < VALUES; i++)
    {
      mq_histogram_add (&parts[i % 2], values[i]);
      mq_histogram_add (&whole, values[i]);
    }
  mq_histogram_merge (&parts[0], &parts[1]);
  cr_expect_arr_eq (&parts[0], &whole, sizeof whole);
  for (uint32_t bit = 10; bit < 33; bit++)
    {
      uint64_t bound = (1ULL << bit) - 1;
      uint64_t exact = 0;

      for (size_t i = 0; i < VALUES; i++)
        exact += values[i] <= bound;
      cr_expect_eq (mq_histogram_count_to (&whole, bound), exact, "2^%u", bit);
    }
}

Test (histogram, an_empty_one_and_values_past_the_end)
{
  struct mq_histogram histogram = { 0 };

  cr_expect_eq (mq_histogram_quantile (&histogram, 950), 0);
  mq_histogram_add (&histogram, UINT64_MAX);
  mq_histogram_add (&histogram, 0);
  cr_expect_eq (mq_histogram_quantile (&histogram, 1), 0);
  cr_expect_eq (histogram.count, 2);
  cr_expect_eq (histogram.max, UINT64_MAX);
}

/* When the series table is full, programs of further services must be counted
   under the empty name.  */
Test (latency, no_program_is_left_out)
{
  struct mq_latency *latency = mq_latency_create (NULL);
  uint64_t answered = 0;

  for (int i = 0; i < 2 * (int)MQ_LATENCY_SERIES_MAX; i++)
    {
      char *name = talloc_asprintf (latency, "service-%d", i);

      mq_histogram_add (&mq_latency_find (latency, name, i % 3 == 0)->answered,
                        1000);
      cr_expect_eq (mq_latency_find (latency, name, false),
                    mq_latency_find (latency, name, false));
    }
  cr_expect_leq (mq_latency_count (latency), MQ_LATENCY_SERIES_MAX);
  for (size_t i = 0; i < mq_latency_count (latency); i++)
    answered += mq_latency_at (latency, i)->answered.count;
  cr_expect_eq (answered, 2ULL * MQ_LATENCY_SERIES_MAX);
  talloc_free (latency);
}

/* Policy names in the settings must match those of place.h, or an entry host
   with a baseline policy does not start.  */
Test (policies, settings_and_placement_use_the_same_words)
{
  static const char *const words[]
      = { "finish", "round-robin", "least-loaded", "prefix-hash" };

  for (int i = 0; i < MQ_POLICY_COUNT; i++)
    {
      enum mq_policy policy;

      cr_expect (mq_policy_from_name (words[i], &policy));
      cr_expect_eq (policy, (enum mq_policy)i);
      cr_expect_str_eq (mq_policy_name (policy), words[i]);
    }
}
