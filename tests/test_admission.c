/* test_admission.c - which programs are taken on, on plain values.

   Needs: Criterion, admission.h.  */

#include "core/router/admission.h"
#include <criterion/criterion.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define PROGRAMS 1000U

static struct mq_admission *admission;

static void
set_up (void)
{
  admission = mq_admission_create (NULL);
}

static void
tear_down (void)
{
  mq_admission_destroy (admission);
}

TestSuite (admission, .init = set_up, .fini = tear_down);

static struct mq_admission_request
ask_of (uint64_t program, uint32_t priority, uint32_t load, uint64_t now_ms)
{
  return (struct mq_admission_request){
    .service = "models",
    .route = "chat",
    .priority = priority,
    .program = program,
    .load = load,
    .has_remaining = true,
    .remaining_ms = 3000,
    .budget = 1000,
    .now_ms = now_ms,
  };
}

/* How many of PROGRAMS are taken on.  */
static uint32_t
admitted (uint32_t priority, uint32_t load, uint64_t now_ms)
{
  uint32_t count = 0;
  uint32_t retry_ms;

  for (uint64_t program = 0; program < PROGRAMS; program++)
    {
      struct mq_admission_request ask
          = ask_of (program, priority, load, now_ms);

      if (mq_admission_decide (admission, &ask, &retry_ms)
          == MQ_ADMISSION_ACCEPTED)
        count++;
    }
  return count;
}

struct share_case
{
  uint32_t priority;
  uint32_t load;
  uint32_t least;
  uint32_t most;
};

/* The more the workers have, the fewer programs begin, and of the less urgent
   ones first.  None is refused while slots are free, or where no load is
   known.  */
Test (admission, share_falls_with_load)
{
  static const struct share_case cases[] = {
    { 0, 0, PROGRAMS, PROGRAMS },
    { 3, 0, PROGRAMS, PROGRAMS },
    { 0, 900, PROGRAMS, PROGRAMS },
    { 1, 900, PROGRAMS, PROGRAMS },
    { 0, 1000, PROGRAMS, PROGRAMS },
    { 0, 1350, 400, 600 },
    { 1, 1350, 250, 450 },
    { 3, 1350, 100, 350 },
    { 0, 3000, 0, 0 },
    { 1, 3000, 0, 0 },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      const struct share_case *row = &cases[i];
      uint32_t count;

      tear_down ();
      set_up ();
      count = admitted (row->priority, row->load, 1);
      cr_expect (count >= row->least && count <= row->most,
                 "priority %u, load %u: %u", row->priority, row->load, count);
    }
}

/* Hosts that see the same load refuse the same programs, without asking each
   other: one that was refused here is not taken on there.  */
Test (admission, hosts_agree)
{
  struct mq_admission *other = mq_admission_create (NULL);
  uint32_t retry_ms;

  for (uint64_t program = 0; program < PROGRAMS; program++)
    {
      struct mq_admission_request ask = ask_of (program, 1, 1300, 1);
      enum mq_admission_decision here
          = mq_admission_decide (admission, &ask, &retry_ms);

      cr_assert_eq (mq_admission_decide (other, &ask, &retry_ms), here);
    }
  mq_admission_destroy (other);
}

/* In a moment with less load a program that was refused got in late, in place
   of one that could still be in time: load is believed at once when it rises,
   and slowly when it falls.  When the load is gone all are taken on within
   seconds.  */
Test (admission, load_falls_slowly)
{
  uint32_t before = admitted (1, 1400, 1000);

  cr_assert_lt (before, PROGRAMS / 2);
  cr_expect_leq (admitted (1, 600, 1100), before + PROGRAMS / 20);
  cr_expect_gt (admitted (1, 600, 4000), before);
  cr_expect_eq (admitted (1, 600, 12000), PROGRAMS);
}

/* A host at which a program begins each millisecond took the load for as high
   as it had ever been: the fall in so short a time was rounded to nothing.  */
Test (admission, load_falls_at_a_busy_host)
{
  uint32_t retry_ms;

  cr_assert_eq (admitted (1, 3000, 1), 0);
  for (uint64_t now = 2; now < 40000; now++)
    {
      struct mq_admission_request ask = ask_of (now, 1, 600, now);

      mq_admission_decide (admission, &ask, &retry_ms);
    }
  cr_expect_eq (admitted (1, 600, 40000), PROGRAMS);
}

/* Ends of turns waited for half a second for their records, while the engines
   had room, and programs went on beginning.  A table that is slow refuses them
   too; unlike a queue at the engines that is over when it is over.  */
Test (admission, table_behind)
{
  struct mq_admission_request ask = ask_of (1, 0, 500, 1);
  uint32_t retry_ms;

  ask.record_load = 3000;
  cr_expect_eq (mq_admission_decide (admission, &ask, &retry_ms),
                MQ_ADMISSION_OVERLOADED);
  cr_expect_geq (retry_ms, 300);
  ask.record_load = 0;
  cr_expect_eq (mq_admission_decide (admission, &ask, &retry_ms),
                MQ_ADMISSION_ACCEPTED);
}

/* However high the load was, all are taken on again within seconds.  */
Test (admission, load_is_bounded)
{
  cr_assert_eq (admitted (0, 30000, 1), 0);
  cr_expect_eq (admitted (0, 500, 10000), PROGRAMS);
}

struct late_case
{
  const char *name;
  uint32_t left_ms;
  uint64_t budget;
  bool has_left;
  uint32_t load;
  enum mq_admission_decision answer;
};

/* A program that comes back after a refusal has lost much of the time that
   others of its length begin with.  Taken on, it was late, and so was one more
   that it took the slot of.  What is not told counts for nothing.  */
Test (admission, late_programs_wait_for_room)
{
  static const struct late_case cases[] = {
    { "all its time", 3000, 1000, true, 1010, MQ_ADMISSION_ACCEPTED },
    { "a long program", 9000, 3000, true, 1010, MQ_ADMISSION_ACCEPTED },
    { "most of its time", 2500, 1000, true, 1010, MQ_ADMISSION_ACCEPTED },
    { "half of its time", 1500, 1000, true, 1010, MQ_ADMISSION_TOO_LATE },
    { "a long one, half", 4500, 3000, true, 1010, MQ_ADMISSION_TOO_LATE },
    { "no time", 0, 1000, true, 1010, MQ_ADMISSION_TOO_LATE },
    { "no time, room", 0, 1000, true, 700, MQ_ADMISSION_ACCEPTED },
    { "time not told", 0, 1000, false, 1010, MQ_ADMISSION_ACCEPTED },
    { "length not told", 100, 0, true, 1010, MQ_ADMISSION_ACCEPTED },
  };
  uint32_t retry_ms;

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_admission_request ask;

      tear_down ();
      set_up ();
      cr_assert_eq (admitted (0, 0, 1), PROGRAMS);
      ask = ask_of (PROGRAMS - 1, 0, cases[i].load, 1000);
      ask.has_remaining = cases[i].has_left;
      ask.remaining_ms = cases[i].left_ms;
      ask.budget = cases[i].budget;
      cr_expect_eq (mq_admission_decide (admission, &ask, &retry_ms),
                    cases[i].answer, "%s", cases[i].name);
    }
}

/* Programs that loop have a tiny budget for the time they have; the first of
   them must not make all that follow look late.  */
Test (admission, odd_programs_do_not_set_the_measure)
{
  struct mq_admission_request odd = ask_of (1, 0, 0, 1);
  struct mq_admission_request usual = ask_of (1, 0, 1010, 2000);
  uint32_t retry_ms;

  odd.remaining_ms = 30000;
  odd.budget = 270;
  mq_admission_decide (admission, &odd, &retry_ms);
  admitted (0, 500, 1000);
  usual.program = PROGRAMS - 1;
  cr_expect_eq (mq_admission_decide (admission, &usual, &retry_ms),
                MQ_ADMISSION_ACCEPTED);
}

/* The time to come back is when the load may have fallen far enough for just
   that program, so that those who were refused together don't return
   together.  */
Test (admission, returns_are_spread)
{
  uint32_t least = UINT32_MAX;
  uint32_t most = 0;

  for (uint64_t program = 0; program < PROGRAMS; program++)
    {
      struct mq_admission_request ask = ask_of (program, 0, 1700, 1);
      uint32_t retry_ms = 0;

      cr_assert_eq (mq_admission_decide (admission, &ask, &retry_ms),
                    MQ_ADMISSION_OVERLOADED);
      least = retry_ms < least ? retry_ms : least;
      most = retry_ms > most ? retry_ms : most;
    }
  cr_expect_geq (least, 300);
  cr_expect_leq (most, 4000);
  cr_expect_gt (most, 3 * least);
}
