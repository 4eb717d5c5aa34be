/* test_reserve.c - leases on programs that may begin while the table is away,
   on plain values.

   Needs: Criterion, reserve.h, outage.h.  */

#include "core/router/outage.h"
#include "core/router/reserve.h"
#include <criterion/criterion.h>
#include <stdio.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

#define FIRST 11U
#define SECOND 22U

/* Two hosts let the same program begin, and it spends twice what its budget
   allows beyond its limit: one of them was cut off, or was suspended, and did
   not notice that its lease had run out and was taken over.  Whatever lies
   between the question and the answer, or between the two hosts' clocks, the
   former holder must stop before the next one may begin.  */
struct lease_case
{
  const char *what;
  uint64_t asked_ms; /* by the holder's clock */
  uint64_t table_ms; /* by the table's, when it answered */
  uint64_t now_ms;   /* by the holder's clock */
  uint64_t other_ms; /* by the table's, when the other one looks */
  bool holds;
  bool taken;
};

Test (reserve, never_two_holders)
{
  static const struct lease_case cases[] = {
    { "just taken", 100, 5000, 100, 5000, true, false },
    { "late in the lease", 100, 5000, 12099, 16999, true, false },
    { "run out for the holder", 100, 5000, 12100, 17000, false, false },
    { "within the margin", 100, 5000, 12400, 17300, false, false },
    { "taken over", 100, 5000, 12700, 17501, false, true },
    { "answer took a second", 100, 6000, 12100, 18000, false, false },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_reserve *first = mq_reserve_create (NULL, FIRST, "a:1");
      struct mq_reserve *second = mq_reserve_create (NULL, SECOND, "b:1");
      struct mq_reserve_clock_sample moment
          = { cases[i].asked_ms, cases[i].table_ms };
      struct mq_reserve_clock_sample look = { 7, cases[i].other_ms };
      struct mq_reserve_lease lease = mq_reserve_renewed_lease (first, moment);
      uint32_t slots[MQ_RESERVE_SLOTS];
      uint32_t free = 0;

      mq_reserve_record_row (first, 3, lease, 9, moment);
      cr_expect_eq (mq_reserve_can_issue (first, 3, cases[i].now_ms),
                    cases[i].holds, "%s", cases[i].what);
      for (uint32_t s = 0; s < MQ_RESERVE_SLOTS; s++)
        mq_reserve_record_row (
            second, s,
            (struct mq_reserve_lease){ FIRST, UINT64_MAX / 2, "a:1" }, 9,
            look);
      mq_reserve_record_row (second, 3, lease, 9, look);
      free = mq_reserve_claimable (second, look, 2, 5, slots);
      cr_expect_eq (free == 1 && slots[0] == 3, cases[i].taken, "%s",
                    cases[i].what);
      cr_expect_not (cases[i].holds && cases[i].taken);
      cr_expect_not (mq_reserve_can_issue (second, 3, 8));
      talloc_free (first);
      talloc_free (second);
    }
}

/* Hosts that start together share the slots; none takes so many that its loss
   would take the most of them.  */
Test (reserve, shares)
{
  static const struct
  {
    size_t hosts;
    uint32_t share;
  } cases[] = { { 1, 32 }, { 2, 16 }, { 3, 10 }, { 4, 8 }, { 1100, 8 } };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_reserve *reserve = mq_reserve_create (NULL, FIRST, "a:1");
      struct mq_reserve_clock_sample moment = { 100, 5000 };
      uint32_t slots[MQ_RESERVE_SLOTS];
      uint32_t count;

      for (uint64_t step = 0; step < 40; step++)
        {
          count = mq_reserve_claimable (reserve, moment, cases[i].hosts,
                                        step * 13, slots);
          for (uint32_t s = 0; s < count; s++)
            mq_reserve_record_row (reserve, slots[s],
                                   mq_reserve_renewed_lease (reserve, moment),
                                   1, moment);
        }
      cr_expect_eq (mq_reserve_owned (reserve, slots), cases[i].share,
                    "%zu hosts", cases[i].hosts);
      talloc_free (reserve);
    }
}

/* A caller's first try in an outage is refused, his second one is run.  */
Test (reserve, which_try_runs_in_an_outage)
{
  static const struct
  {
    uint64_t left_ms;
    uint64_t timeout_ms;
    bool runs;
  } cases[] = {
    { 3000, 3000, false }, { 2400, 3000, false }, { 2399, 3000, true },
    { 1000, 3000, true },  { 0, 3000, true },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    cr_expect_eq (mq_outage_should_run (cases[i].left_ms, cases[i].timeout_ms),
                  cases[i].runs, "%zu", i);
}
