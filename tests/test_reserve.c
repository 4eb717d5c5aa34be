/* test_reserve.c - unit tests of slot leases and of turns during outages.

   Needs: Criterion, reserve.h, outage.h.  */

#include "core/router/outage.h"
#include "core/router/reserve.h"
#include <criterion/criterion.h>
#include <stdio.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

#define FIRST 11U
#define SECOND 22U
#define PROGRAM "program"

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
      uint32_t slot = mq_reserve_slot (PROGRAM);
      struct mq_reserve_lease lease
          = mq_reserve_renewed_lease (first, slot, sample);
      struct mq_reserve_lease others
          = { .holder = FIRST, .until_ms = UINT64_MAX / 2, .address = "a:1" };
      uint32_t slots[MQ_RESERVE_SLOTS];
      uint32_t free = 0;

      mq_reserve_record_row (first, slot, &lease, 9, sample);
      cr_expect_eq (mq_reserve_can_issue (first, PROGRAM, cases[i].now_ms),
                    cases[i].holds, "%s", cases[i].what);
      for (uint32_t s = 0; s < MQ_RESERVE_SLOTS; s++)
        mq_reserve_record_row (second, s, &others, 9, look);
      mq_reserve_record_row (second, slot, &lease, 9, look);
      free = mq_reserve_claimable (second, look, 2, 5, slots);
      cr_expect_eq (free == 1 && slots[0] == slot, cases[i].taken, "%s",
                    cases[i].what);
      cr_expect_not (cases[i].holds && cases[i].taken);
      cr_expect_not (mq_reserve_can_issue (second, PROGRAM, 8));
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
            {
              struct mq_reserve_lease lease
                  = mq_reserve_renewed_lease (reserve, slots[s], sample);

              mq_reserve_record_row (reserve, slots[s], &lease, 1, sample);
            }
        }
      cr_expect_eq (mq_reserve_owned (reserve, slots), cases[i].share,
                    "%zu hosts", cases[i].hosts);
      talloc_free (reserve);
    }
}

/* How the lease of the first holder ends before the second one has it.  */
enum lease_end
{
  LEASE_KEPT, /* the first host renews it */
  LEASE_RELEASED,
  LEASE_EXPIRED,
  LEASE_OF_EARLIER_RUN, /* the host started again */
  LEASE_ROW_REMOVED,    /* no row is left */
  LEASE_ROW_UNKNOWN     /* it tells nothing of issues */
};

struct issue_case
{
  const char *name;
  enum lease_end end;
  bool issued;      /* the first holder issued tokens to the program */
  uint64_t wait_ms; /* between the two leases */
  bool may_issue;   /* the second holder, to this program */
  bool others;      /* likewise, to another one of the slot */
};

/* Another program of the same slot.  */
static const char *
other_program (void)
{
  static char name[16];

  for (int i = 0;
       i == 0 || mq_reserve_slot (name) != mq_reserve_slot (PROGRAM); i++)
    snprintf (name, sizeof name, "other%d", i);
  return name;
}

/* Failure: the holder of a slot changes between two outages of the table, and
   a program gets tokens beyond its budget in each.  */
Test (reserve, tokens_are_issued_once)
{
  static const struct issue_case cases[] = {
    { "kept, nothing issued", LEASE_KEPT, false, 3000, true, true },
    { "kept, issued", LEASE_KEPT, true, 3000, false, true },
    { "released, nothing issued", LEASE_RELEASED, false, 3000, true, true },
    { "released, issued", LEASE_RELEASED, true, 3000, false, true },
    { "released, issued long ago", LEASE_RELEASED, true,
      MQ_RESERVE_MEMORY_MS + 1, true, true },
    { "expired", LEASE_EXPIRED, false, 13000, false, false },
    { "started again", LEASE_OF_EARLIER_RUN, false, 1000, false, false },
    { "no row", LEASE_ROW_REMOVED, false, 1000, true, true },
    { "row of the release before", LEASE_ROW_UNKNOWN, false, 1000, false,
      false },
  };
  uint32_t slot = mq_reserve_slot (PROGRAM);

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      const struct issue_case *row = &cases[i];
      struct mq_reserve *first = mq_reserve_create (NULL, FIRST, "a:1");
      struct mq_reserve *second = mq_reserve_create (
          NULL, row->end == LEASE_KEPT ? FIRST : SECOND,
          row->end == LEASE_OF_EARLIER_RUN ? "a:1" : "b:1");
      struct mq_reserve_clock_sample sample = { 100, 5000 };
      struct mq_reserve_lease lease
          = mq_reserve_renewed_lease (first, slot, sample);
      uint64_t now;

      mq_reserve_record_row (first, slot, &lease, 1, sample);
      cr_expect (mq_reserve_can_issue (first, PROGRAM, 101), "%s", row->name);
      if (row->issued)
        mq_reserve_mark_issued (first, PROGRAM);
      cr_expect_eq (mq_reserve_can_issue (first, PROGRAM, 101), !row->issued);
      sample = (struct mq_reserve_clock_sample){ 200, 5100 };
      if (row->end == LEASE_RELEASED)
        lease = mq_reserve_released_lease (first, slot, sample);
      else
        lease = mq_reserve_renewed_lease (first, slot, sample);
      if (row->end == LEASE_ROW_UNKNOWN)
        lease.issue_from_ms = 0;
      sample.asked_ms += row->wait_ms;
      sample.table_ms += row->wait_ms;
      now = sample.asked_ms + 1;
      if (row->end != LEASE_ROW_REMOVED)
        mq_reserve_record_row (second, slot, &lease, 2, sample);
      lease = mq_reserve_renewed_lease (second, slot, sample);
      mq_reserve_record_row (second, slot, &lease, 3, sample);
      cr_expect_eq (mq_reserve_can_issue (second, PROGRAM, now),
                    row->may_issue, "%s", row->name);
      cr_expect_eq (mq_reserve_can_issue (second, other_program (), now),
                    row->others, "%s", row->name);
      /* A slot whose issues are unknown is used again in the end.  */
      sample.asked_ms += MQ_RESERVE_MEMORY_MS;
      sample.table_ms += MQ_RESERVE_MEMORY_MS;
      lease = mq_reserve_renewed_lease (second, slot, sample);
      mq_reserve_record_row (second, slot, &lease, 4, sample);
      cr_expect (mq_reserve_can_issue (second, PROGRAM, sample.asked_ms + 1),
                 "%s", row->name);
      talloc_free (first);
      talloc_free (second);
    }
}

/**
 * struct handed_case - a lease that is handed to a second host
 * @issued: the first host issued tokens to the program
 * @late_ms: from the hand-over until the second host has it
 * @known: version that the second host knows of the row, which has 2
 * @taken: the second host takes it
 * @may_issue: the second host, to this program
 * @others: likewise, to another one of the slot
 * @claimed: likewise to the other one, once it has claimed the row
 */
struct handed_case
{
  const char *name;
  bool issued;
  uint64_t late_ms;
  uint64_t known;
  bool taken;
  bool may_issue;
  bool others;
  bool claimed;
};

/* Failure: a host that stops in an outage hands on what it does not have any
   more, and a program gets tokens of two hosts.  */
Test (reserve, handed_lease)
{
  static const struct handed_case cases[] = {
    { "nothing issued", false, 10, 2, true, true, true, true },
    { "issued", true, 10, 2, true, false, true, true },
    { "row never read", false, 10, 0, true, true, true, true },
    { "newer row", false, 10, 3, false, false, false, false },
    { "arrives after its end", false, 12000, 2, true, false, false, true },
  };
  uint32_t slot = mq_reserve_slot (PROGRAM);

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      const struct handed_case *row = &cases[i];
      struct mq_reserve *first = mq_reserve_create (NULL, FIRST, "a:1");
      struct mq_reserve *second = mq_reserve_create (NULL, SECOND, "b:1");
      struct mq_reserve_clock_sample sample = { 100, 5000 };
      struct mq_reserve_clock_sample look = { 300, 5000 };
      struct mq_reserve_lease lease
          = mq_reserve_renewed_lease (first, slot, sample);
      struct mq_reserve_lease handed;
      uint32_t slots[MQ_RESERVE_SLOTS];
      uint64_t now = look.asked_ms + row->late_ms;

      mq_reserve_record_row (first, slot, &lease, 2, sample);
      if (row->known > 0)
        mq_reserve_record_row (second, slot, &lease, row->known, look);
      if (row->issued)
        mq_reserve_mark_issued (first, PROGRAM);
      handed = mq_reserve_hand_over (first, slot, sample);
      cr_expect_not (mq_reserve_can_issue (first, other_program (), 101),
                     "%s: the first host goes on", row->name);
      cr_expect_eq (mq_reserve_accept (second, slot, &handed, 2, look),
                    row->taken, "%s", row->name);
      cr_expect_eq (mq_reserve_can_issue (second, PROGRAM, now),
                    row->may_issue, "%s", row->name);
      cr_expect_eq (mq_reserve_can_issue (second, other_program (), now),
                    row->others, "%s", row->name);
      cr_expect_eq (mq_reserve_handed (second, slots), row->taken ? 1U : 0U);
      /* A read of an older row ends late.  */
      if (row->taken)
        mq_reserve_record_row (second, slot, &lease, 1, look);
      cr_expect_eq (mq_reserve_can_issue (second, other_program (), now),
                    row->others, "%s: older row", row->name);
      /* The table is back: the row is listed first, then claimed.  */
      look = (struct mq_reserve_clock_sample){ now, 5000 + row->late_ms };
      mq_reserve_record_row (second, slot, &lease,
                             row->known > 2 ? row->known : 2, look);
      lease = mq_reserve_renewed_lease (second, slot, look);
      mq_reserve_record_row (second, slot, &lease, 4, look);
      cr_expect_eq (mq_reserve_can_issue (second, PROGRAM, now + 1),
                    row->claimed && !row->issued, "%s: claimed", row->name);
      cr_expect_eq (mq_reserve_can_issue (second, other_program (), now + 1),
                    row->claimed, "%s: claimed", row->name);
      talloc_free (first);
      talloc_free (second);
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
