/* test_reserve.c - unit tests of slot leases and of turns during outages.

   Needs: Criterion, reserve.h, outage.h.  */

#include "core/router/outage.h"
#include "core/router/reserve.h"
#include <criterion/criterion.h>
#include <stdio.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

#define FIRST 11U
#define SECOND 22U

/* Guards against two holders of a slot, who could both issue tokens for the
   same program.  A holder must stop using its lease before another host can
   take it over, whatever the delay of the table's reply.  */
struct lease_case
{
  const char *what;
  uint64_t asked_ms; /* holder's clock */
  uint64_t table_ms; /* table's clock in its reply */
  uint64_t now_ms;   /* holder's clock */
  uint64_t other_ms; /* table's clock when the other host reads the row */
  bool holds;
  bool taken;
};

Test (reserve, never_two_holders)
{
  static const struct lease_case cases[] = {
    { "just acquired", 100, 5000, 100, 5000, true, false },
    { "just before expiry", 100, 5000, 12099, 16999, true, false },
    { "expired for the holder", 100, 5000, 12100, 17000, false, false },
    { "within the grace period", 100, 5000, 12400, 17300, false, false },
    { "taken over", 100, 5000, 12700, 17501, false, true },
    { "reply took a second", 100, 6000, 12100, 18000, false, false },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_reserve *first = mq_reserve_create (NULL, FIRST, "a:1");
      struct mq_reserve *second = mq_reserve_create (NULL, SECOND, "b:1");
      struct mq_reserve_clock_sample sample
          = { cases[i].asked_ms, cases[i].table_ms };
      struct mq_reserve_clock_sample look = { 7, cases[i].other_ms };
      struct mq_reserve_lease lease = mq_reserve_renewed_lease (first, sample);
      uint32_t slots[MQ_RESERVE_SLOTS];
      uint32_t free = 0;

      mq_reserve_record_row (first, 3, lease, 9, sample);
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

/* Each host claims at most its share of the slots.  */
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
      struct mq_reserve_clock_sample sample = { 100, 5000 };
      uint32_t slots[MQ_RESERVE_SLOTS];
      uint32_t count;

      for (uint64_t step = 0; step < 40; step++)
        {
          count = mq_reserve_claimable (reserve, sample, cases[i].hosts,
                                        step * 13, slots);
          for (uint32_t s = 0; s < count; s++)
            mq_reserve_record_row (reserve, slots[s],
                                   mq_reserve_renewed_lease (reserve, sample),
                                   1, sample);
        }
      cr_expect_eq (mq_reserve_owned (reserve, slots), cases[i].share,
                    "%zu hosts", cases[i].hosts);
      talloc_free (reserve);
    }
}

/* During an outage the first try of a caller is rejected and a retry is run.
 */
Test (reserve, retries_run_during_an_outage)
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
