/* test_ownership.c - partition ownership as hosts join, leave and die, with
   more hosts than the fault matrix.

   Runs in virtual time with fixed seeds, so results are reproducible.
   Needs: criterion, fleet.h, limits.h.  */

#include "core/limits.h"
#include "fleet.h"
#include <criterion/criterion.h>

enum
{
  SECOND_US = 1000000,
  PARTITIONS = 24,
  SETTLE_S = 60,
  TAKEOVER_S = 30 /* limit for the takeover of a dead host's partitions */
};

static struct fleet *
create_fleet (TALLOC_CTX *ctx, uint32_t hosts, uint32_t lease_ms)
{
  struct fleet_options options
      = { .hosts = hosts, .partitions = PARTITIONS, .connected = true };

  options.lease_ms = lease_ms;
  return fleet_create (ctx, &options);
}

static void
run_s (struct fleet *fleet, uint64_t seconds)
{
  fleet_run (fleet, seconds * SECOND_US);
}

/* Owners that read the others' rows less often than a lease lasts would take
   over partitions of live hosts.  */

static const struct
{
  const char *name;
  uint32_t hosts;
  uint32_t lease_ms;
  uint32_t writes_per_s_max; /* limit of table writes per second, all hosts */
} live_cases[] = {
  { "three hosts", 3, 5000, 4 },
  { "a short lease, three hosts", 3, 1000, 14 },
  { "a short lease, thirty hosts", 30, 1000, 130 },
  { "more hosts than may own", 100, 5000, 50 },
};

Test (ownership, live_owners_keep_partitions)
{
  for (size_t i = 0; i < sizeof live_cases / sizeof live_cases[0]; i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct fleet *fleet
          = create_fleet (ctx, live_cases[i].hosts, live_cases[i].lease_ms);
      uint64_t lost;
      uint64_t writes;

      run_s (fleet, SETTLE_S);
      lost = fleet_partitions_lost (fleet);
      fleet_reset_usage (fleet);
      run_s (fleet, SETTLE_S);
      writes = fleet_read_usage (fleet)->writes;
      cr_expect_eq (fleet_partitions_owned (fleet), PARTITIONS, "%s: %u owned",
                    live_cases[i].name, fleet_partitions_owned (fleet));
      cr_expect_eq (
          fleet_partitions_lost (fleet), lost, "%s: %llu lost",
          live_cases[i].name,
          (unsigned long long)(fleet_partitions_lost (fleet) - lost));
      cr_expect_leq (
          writes, (uint64_t)live_cases[i].writes_per_s_max * SETTLE_S,
          "%s: %llu written", live_cases[i].name, (unsigned long long)writes);
      talloc_free (ctx);
    }
}

/* A host that is leaving or no longer eligible dies before it has handed over
   its partitions and never restarts.  Its stale row says that it is handing
   them over; others must not wait for that.  */

static const struct
{
  const char *name;
  uint32_t hosts;
  uint32_t leaving; /* hosts told to leave */
  uint32_t more;    /* hosts that start afterwards */
} dying_cases[] = {
  { "it dies", 4, 0, 0 },
  { "it dies while it leaves", 4, 1, 0 },
  { "it dies soon after it became ineligible", MQ_OWNERS_MAX, 0, 60 },
};

Test (ownership, partitions_of_dead_host_are_taken_over)
{
  for (size_t i = 0; i < sizeof dying_cases / sizeof dying_cases[0]; i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct fleet *fleet = create_fleet (ctx, dying_cases[i].hosts, 5000);
      uint32_t victim;

      run_s (fleet, SETTLE_S);
      for (uint32_t j = 0; j < dying_cases[i].more; j++)
        fleet_start (fleet, dying_cases[i].hosts + j);
      run_s (fleet, dying_cases[i].more > 0 ? 5 : 0);
      victim = fleet_find_owner (fleet, 1);
      cr_assert_neq (victim, UINT32_MAX);
      if (dying_cases[i].leaving > 0)
        fleet_leave (fleet, victim);
      fleet_run (fleet, SECOND_US / 1000);
      fleet_kill (fleet, victim);
      run_s (fleet, TAKEOVER_S);
      cr_expect_eq (fleet_partitions_owned (fleet), PARTITIONS, "%s: %u owned",
                    dying_cases[i].name, fleet_partitions_owned (fleet));
      talloc_free (ctx);
    }
}

/* Rows of dead hosts are never removed.  They must not count towards the limit
   of owners, or no live host could own a partition.  */
Test (ownership, rows_of_dead_hosts_are_not_counted)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct fleet *fleet = create_fleet (ctx, MQ_OWNERS_MAX + 5, 5000);

  run_s (fleet, SETTLE_S);
  for (uint32_t i = 0; i < MQ_OWNERS_MAX + 5; i++)
    fleet_kill (fleet, i);
  for (uint32_t i = 0; i < 5; i++)
    fleet_start (fleet, MQ_OWNERS_MAX + 5 + i);
  run_s (fleet, MQ_OWNER_EXPIRY_MS / 1000 + SETTLE_S);
  cr_expect_eq (fleet_partitions_owned (fleet), PARTITIONS, "%u owned",
                fleet_partitions_owned (fleet));
  talloc_free (ctx);
}
