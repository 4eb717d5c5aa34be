/* test_ownership.c - who owns partitions as hosts come, go and die, with
   more hosts than the fault matrix has.

   Virtual time and seeds: each verdict is the same every time.
   Needs: criterion, fleet.h, limits.h.  */

#include "core/limits.h"
#include "fleet.h"
#include <criterion/criterion.h>

enum
{
  SECOND_US = 1000000,
  PARTITIONS = 24,
  SETTLE_S = 60,
  SOON_S = 30 /* until others own what a dead host owned */
};

static struct fleet *
create (TALLOC_CTX *ctx, uint32_t hosts, uint32_t lease_ms)
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

/* A site grows.  Nobody dies, yet callers see streams reset and answers
   late: each owner reads the others' rows less often than a lease lasts,
   takes them for dead in between and takes their partitions over.  */

static const struct
{
  const char *name;
  uint32_t hosts;
  uint32_t lease_ms;
  uint32_t writes_s; /* of all hosts, at most: renewals of owners */
} calm_cases[] = {
  { "three hosts", 3, 5000, 4 },
  { "a short lease, three hosts", 3, 1000, 14 },
  { "a short lease, thirty hosts", 30, 1000, 130 },
  { "more hosts than may own", 100, 5000, 50 },
};

Test (ownership, living_owners_keep_their_partitions)
{
  for (size_t i = 0; i < sizeof calm_cases / sizeof calm_cases[0]; i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct fleet *fleet
          = create (ctx, calm_cases[i].hosts, calm_cases[i].lease_ms);
      uint64_t lost;
      uint64_t writes;

      run_s (fleet, SETTLE_S);
      lost = fleet_lost (fleet);
      fleet_reset (fleet);
      run_s (fleet, SETTLE_S);
      writes = fleet_read (fleet)->writes;
      cr_expect_eq (fleet_owned (fleet), PARTITIONS, "%s: %u owned",
                    calm_cases[i].name, fleet_owned (fleet));
      cr_expect_eq (fleet_lost (fleet), lost, "%s: %llu lost",
                    calm_cases[i].name,
                    (unsigned long long)(fleet_lost (fleet) - lost));
      cr_expect_leq (writes, (uint64_t)calm_cases[i].writes_s * SETTLE_S,
                     "%s: %llu written", calm_cases[i].name,
                     (unsigned long long)writes);
      talloc_free (ctx);
    }
}

/* A host is to go, or may no longer own since better placed ones came, and
   dies before it has handed its partitions over; it never comes back under
   its name.  Its row says for ever that it would hand them over, so others
   wait for that, and every program in them hangs.  */

static const struct
{
  const char *name;
  uint32_t hosts;
  uint32_t leaving; /* of these, that are told to leave */
  uint32_t more;    /* hosts that come afterwards */
} last_cases[] = {
  { "it dies", 4, 0, 0 },
  { "it dies while it leaves", 4, 1, 0 },
  { "it dies soon after better ones came", MQ_OWNERS_MAX, 0, 60 },
};

Test (ownership, what_a_dying_host_kept_is_taken_over)
{
  for (size_t i = 0; i < sizeof last_cases / sizeof last_cases[0]; i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct fleet *fleet = create (ctx, last_cases[i].hosts, 5000);
      uint32_t victim;

      run_s (fleet, SETTLE_S);
      for (uint32_t j = 0; j < last_cases[i].more; j++)
        fleet_start (fleet, last_cases[i].hosts + j);
      run_s (fleet, last_cases[i].more > 0 ? 5 : 0);
      victim = fleet_home (fleet, 1);
      cr_assert_neq (victim, UINT32_MAX);
      if (last_cases[i].leaving > 0)
        fleet_leave (fleet, victim);
      fleet_run (fleet, SECOND_US / 1000);
      fleet_kill (fleet, victim);
      run_s (fleet, SOON_S);
      cr_expect_eq (fleet_owned (fleet), PARTITIONS, "%s: %u owned",
                    last_cases[i].name, fleet_owned (fleet));
      talloc_free (ctx);
    }
}

/* Hosts are replaced by others with new names, day after day.  Nobody
   removes the rows of those that died; once they are as many as may own,
   no living host may any more, and no partition has an owner.  */
Test (ownership, rows_of_dead_hosts_count_no_more)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct fleet *fleet = create (ctx, MQ_OWNERS_MAX + 5, 5000);

  run_s (fleet, SETTLE_S);
  for (uint32_t i = 0; i < MQ_OWNERS_MAX + 5; i++)
    fleet_kill (fleet, i);
  for (uint32_t i = 0; i < 5; i++)
    fleet_start (fleet, MQ_OWNERS_MAX + 5 + i);
  run_s (fleet, MQ_OWNER_EXPIRY_MS / 1000 + SETTLE_S);
  cr_expect_eq (fleet_owned (fleet), PARTITIONS, "%u owned",
                fleet_owned (fleet));
  talloc_free (ctx);
}
