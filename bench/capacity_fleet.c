/* capacity_fleet.c - cost of the router's worker selection by number of
   workers.

   Needs: capacity.h, fleet.h, id.h.  */

#include "capacity.h"
#include "core/router/fleet.h"
#include "core/id.h"
#include <stdio.h>

enum
{
  NOW_MS = 1000000,
  DECISIONS = 2000,
  LOAD_REPORTS = 64,
  NS_PER_US = 1000
};

static const size_t sizes[] = { 12, 120, 500, 3000, 6000 };

static struct mq_fleet *
create_fleet (TALLOC_CTX *ctx, size_t count)
{
  struct mq_fleet *fleet = mq_fleet_create (ctx);
  char id[32];
  struct mq_fleet_member member = { .id = id,
                                    .service = "models",
                                    .address = "10.0.0.1:8000",
                                    .data_centre = "hann",
                                    .slots = 8 };
  uint64_t random = 7;

  for (size_t i = 0; i < count; i++)
    {
      snprintf (id, sizeof id, "i-%08zx", i);
      mq_fleet_put (fleet, &member, NULL);
    }
  for (int i = 0; i < LOAD_REPORTS; i++)
    mq_fleet_record_load (fleet, mq_random_below (&random, (uint32_t)count),
                          mq_random_below (&random, 8), 0, NOW_MS);
  return fleet;
}

enum choice
{
  CHOICE_HOME_KNOWN, /* a turn whose record has a home worker */
  CHOICE_BY_KEY,     /* a turn whose record has none */
  CHOICE_HOME        /* a new program */
};

/* Returns microseconds per choice.  */
static double
measure (struct mq_fleet *fleet, enum choice choice)
{
  struct mq_fleet_query query = { .service = "models",
                                  .data_centre = "hann",
                                  .has_key = true,
                                  .now_ms = NOW_MS + 1 };
  uint64_t start;

  query.home
      = choice == CHOICE_HOME_KNOWN ? mq_fleet_choose_home (fleet, &query) : 0;
  start = capacity_cpu_ns ();
  for (uint64_t i = 0; i < DECISIONS; i++)
    {
      query.key = i * 0x9e3779b97f4a7c15ULL;
      query.random = i;
      if (choice == CHOICE_HOME)
        (void)mq_fleet_choose_home (fleet, &query);
      else
        (void)mq_fleet_choose (fleet, &query);
    }
  return (double)(capacity_cpu_ns () - start) / DECISIONS / NS_PER_US;
}

static void
run_choice (const char *name, enum choice choice)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct capacity_series *series
      = capacity_series_create (ctx, name, "workers", "us a choice");

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (int repeat = 0; repeat < CAPACITY_REPEATS; repeat++)
      capacity_series_add (series, (double)sizes[i],
                           measure (create_fleet (ctx, sizes[i]), choice));
  capacity_series_print (series);
  talloc_free (ctx);
}

void
capacity_run_fleet (void)
{
  run_choice ("fleet.home_known", CHOICE_HOME_KNOWN);
  run_choice ("fleet.by_key", CHOICE_BY_KEY);
  run_choice ("fleet.home", CHOICE_HOME);
}
