/* test_admission.c - unit tests of admission control.

   Needs: Criterion, admission.h.  */

#include "core/router/admission.h"
#include <criterion/criterion.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define PROGRAMS 1000U
/* A tenth of the time that the programs of make_request have, and less.  */
#define RETURN_MAX_MS 400U

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
make_request (uint64_t program, uint32_t priority, uint32_t load,
              uint64_t now_ms)
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

/* Number of PROGRAMS that are admitted.  */
static uint32_t
admitted (uint32_t priority, uint32_t load, uint64_t now_ms)
{
  uint32_t count = 0;
  uint32_t retry_ms;

  for (uint64_t program = 0; program < PROGRAMS; program++)
    {
      struct mq_admission_request request
          = make_request (program, priority, load, now_ms);

      if (mq_admission_decide (admission, &request, &retry_ms)
          == MQ_ADMISSION_ACCEPTED)
        count++;
    }
  return count;
}

struct share_case
{
  uint32_t priority;
  uint32_t load;
  uint32_t min;
  uint32_t max;
};

/* Fewer programs are admitted as the load rises, lower priorities first.  None
   is rejected while slots are free or the load is unknown.  */
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
      cr_expect (count >= row->min && count <= row->max,
                 "priority %u, load %u: %u", row->priority, row->load, count);
    }
}

/* Hosts with the same load reject the same programs.  */
Test (admission, hosts_agree)
{
  struct mq_admission *other = mq_admission_create (NULL);
  uint32_t retry_ms;

  for (uint64_t program = 0; program < PROGRAMS; program++)
    {
      struct mq_admission_request request = make_request (program, 1, 1300, 1);
      enum mq_admission_decision here
          = mq_admission_decide (admission, &request, &retry_ms);

      cr_assert_eq (mq_admission_decide (other, &request, &retry_ms), here);
    }
  mq_admission_destroy (other);
}

/* Guards against admitting late retries during a short dip in load: the
   smoothed load rises at once and falls slowly.  */
Test (admission, load_falls_slowly)
{
  uint32_t before = admitted (1, 1400, 1000);

  cr_assert_lt (before, PROGRAMS / 2);
  cr_expect_leq (admitted (1, 600, 1100), before + PROGRAMS / 20);
  cr_expect_gt (admitted (1, 600, 4000), before);
  cr_expect_eq (admitted (1, 600, 12000), PROGRAMS);
}

/* Guards against rounding the fall of the load to zero when programs begin
   every millisecond.  */
Test (admission, load_falls_at_a_busy_host)
{
  uint32_t retry_ms;

  cr_assert_eq (admitted (1, 3000, 1), 0);
  for (uint64_t now = 2; now < 40000; now++)
    {
      struct mq_admission_request request = make_request (now, 1, 600, now);

      mq_admission_decide (admission, &request, &retry_ms);
    }
  cr_expect_eq (admitted (1, 600, 40000), PROGRAMS);
}

/* A slow table rejects programs even if engines have free slots.  Its load is
   not smoothed.  */
Test (admission, slow_table_rejects)
{
  struct mq_admission_request request = make_request (1, 0, 500, 1);
  uint32_t retry_ms;

  request.record_load = 3000;
  cr_expect_eq (mq_admission_decide (admission, &request, &retry_ms),
                MQ_ADMISSION_OVERLOADED);
  cr_expect_geq (retry_ms, 100);
  cr_expect_leq (retry_ms, RETURN_MAX_MS);
  request.record_load = 0;
  cr_expect_eq (mq_admission_decide (admission, &request, &retry_ms),
                MQ_ADMISSION_ACCEPTED);
}

/* A spike in load does not prolong rejections.  */
Test (admission, load_is_bounded)
{
  cr_assert_eq (admitted (0, 30000, 1), 0);
  cr_expect_eq (admitted (0, 500, 10000), PROGRAMS);
}

/* Failure: in a burst, programs are admitted until the queues show, and most
   of them are late.  */
Test (admission, rising_queues_reject_earlier)
{
  static const struct
  {
    const char *name;
    uint32_t before; /* load for ten seconds */
    uint32_t load;   /* load after them */
    bool earlier;    /* rejects more than at a steady load */
  } cases[] = {
    { "steady", 1200, 1200, false },
    { "rising", 1000, 1200, true },
    { "rising from free slots", 600, 1200, true },
    { "free slots filling", 300, 950, false },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      uint32_t steady = 0;
      uint32_t count;

      tear_down ();
      set_up ();
      for (uint64_t ms = 1; ms <= 20001; ms += 1000)
        steady = admitted (0, cases[i].load, ms);
      tear_down ();
      set_up ();
      for (uint64_t ms = 1; ms <= 10001; ms += 1000)
        admitted (0, cases[i].before, ms);
      count = admitted (0, cases[i].load, 10101);
      if (cases[i].earlier)
        cr_expect_lt (count, steady, "%s: %u", cases[i].name, count);
      else
        cr_expect_eq (count, steady, "%s: %u", cases[i].name, count);
    }
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

/* A program that is short of time is rejected at full load.  Unknown deadlines
   and budgets are ignored.  */
Test (admission, programs_short_of_time_wait_for_slots)
{
  static const struct late_case cases[] = {
    { "full time", 3000, 1000, true, 1010, MQ_ADMISSION_ACCEPTED },
    { "a long program", 9000, 3000, true, 1010, MQ_ADMISSION_ACCEPTED },
    { "most of the time", 2500, 1000, true, 1010, MQ_ADMISSION_ACCEPTED },
    { "half of the time", 1500, 1000, true, 1010, MQ_ADMISSION_TOO_LATE },
    { "a long program, half of the time", 4500, 3000, true, 1010,
      MQ_ADMISSION_TOO_LATE },
    { "no time", 0, 1000, true, 1010, MQ_ADMISSION_TOO_LATE },
    { "no time, free slots", 0, 1000, true, 700, MQ_ADMISSION_ACCEPTED },
    { "time unknown", 0, 1000, false, 1010, MQ_ADMISSION_ACCEPTED },
    { "budget unknown", 100, 0, true, 1010, MQ_ADMISSION_ACCEPTED },
  };
  uint32_t retry_ms;

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_admission_request request;

      tear_down ();
      set_up ();
      cr_assert_eq (admitted (0, 0, 1), PROGRAMS);
      request = make_request (PROGRAMS - 1, 0, cases[i].load, 1000);
      request.has_remaining = cases[i].has_left;
      request.remaining_ms = cases[i].left_ms;
      request.budget = cases[i].budget;
      cr_expect_eq (mq_admission_decide (admission, &request, &retry_ms),
                    cases[i].answer, "%s", cases[i].name);
    }
}

/* A program with a tiny budget for its time must not make later programs look
   short of time.  */
Test (admission, outliers_do_not_skew_the_mean)
{
  struct mq_admission_request odd = make_request (1, 0, 0, 1);
  struct mq_admission_request usual = make_request (1, 0, 1010, 2000);
  uint32_t retry_ms;

  odd.remaining_ms = 30000;
  odd.budget = 270;
  mq_admission_decide (admission, &odd, &retry_ms);
  admitted (0, 500, 1000);
  usual.program = PROGRAMS - 1;
  cr_expect_eq (mq_admission_decide (admission, &usual, &retry_ms),
                MQ_ADMISSION_ACCEPTED);
}

/* Retry delays differ per program, so that programs rejected together do not
   retry together, and leave a program the time that it needs.  */
Test (admission, retries_are_spread)
{
  uint32_t min = UINT32_MAX;
  uint32_t max = 0;

  for (uint64_t program = 0; program < PROGRAMS; program++)
    {
      struct mq_admission_request request = make_request (program, 0, 1700, 1);
      uint32_t retry_ms = 0;

      cr_assert_eq (mq_admission_decide (admission, &request, &retry_ms),
                    MQ_ADMISSION_OVERLOADED);
      min = retry_ms < min ? retry_ms : min;
      max = retry_ms > max ? retry_ms : max;
    }
  cr_expect_geq (min, 100);
  cr_expect_leq (max, RETURN_MAX_MS);
  cr_expect_gt (max, 3 * min);
}
