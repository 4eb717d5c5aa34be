/* capacity_place.c - cost of one placement by number of workers.

   Needs: capacity.h, place.h, id.h.  */

#include "capacity.h"
#include "core/id.h"
#include "core/owner/place.h"
#include <stdio.h>

enum
{
  NOW_US = 1000000000,
  DECISIONS = 20000,
  NS_PER_US = 1000
};

static const size_t sizes[] = { 12, 120, 500, 6000 };

static struct mq_worker_view *
create_views (TALLOC_CTX *ctx, size_t count)
{
  struct mq_worker_view *views
      = talloc_zero_array (ctx, struct mq_worker_view, (unsigned int)count);
  uint64_t random = 7;

  for (size_t i = 0; i < count; i++)
    {
      views[i].peer = (uint32_t)i + 1;
      views[i].name_hash = mq_random_next (&random);
      views[i].same_data_centre = i % 12 == 0;
      views[i].slots = 16;
      views[i].own_in_flight = mq_random_below (&random, 8);
      views[i].reported_busy = mq_random_below (&random, 16);
      views[i].reported_us = NOW_US - mq_random_below (&random, 1000000);
      views[i].cache_free = 30000;
      views[i].prefill_rate = 8000;
      views[i].decode_us = 10000;
    }
  return views;
}

static double
measure (enum mq_policy policy, const struct mq_worker_view *views,
         size_t count)
{
  struct mq_place_state *state = mq_place_create (NULL, 1);
  struct mq_place_call call = { .prompt_tokens = 4000,
                                .expected_tokens = 250,
                                .shared_prefix = 99,
                                .shared_tokens = 500 };
  uint64_t heap = capacity_heap.calls;
  uint64_t start = capacity_cpu_ns ();
  uint64_t took;

  for (uint32_t i = 0; i < DECISIONS; i++)
    {
      call.program_hash = i * 0x9e3779b97f4a7c15ULL;
      call.sticky = (int32_t)(i % count);
      call.sticky_tokens = 3500;
      mq_place_choose (state, policy, views, count, &call, NOW_US);
    }
  took = capacity_cpu_ns () - start;
  if (capacity_heap.calls != heap)
    printf ("place %s: allocates\n", mq_policy_name (policy));
  mq_place_destroy (state);
  return (double)took / DECISIONS / NS_PER_US;
}

void
capacity_run_place (void)
{
  for (int policy = 0; policy < MQ_POLICY_COUNT; policy++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct capacity_series *series = capacity_series_create (
          ctx,
          talloc_asprintf (ctx, "place.%s",
                           mq_policy_name ((enum mq_policy)policy)),
          "workers", "us a placement");

      for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
        for (int repeat = 0; repeat < CAPACITY_REPEATS; repeat++)
          capacity_series_add (series, (double)sizes[i],
                               measure ((enum mq_policy)policy,
                                        create_views (ctx, sizes[i]),
                                        sizes[i]));
      capacity_series_print (series);
      talloc_free (ctx);
    }
}
