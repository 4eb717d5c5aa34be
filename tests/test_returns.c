/* test_returns.c - unit tests of refused programs that come back.

   Needs: Criterion, returns.h, admission.h.  */

#include "core/router/admission.h"
#include "core/router/returns.h"
#include <criterion/criterion.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define PROGRAM 77U
#define REFUSED_MS 1000U

struct known_case
{
  uint64_t program;
  uint64_t now_ms;
  uint32_t lost_ms;
};

/* A refused program is known for as long as its caller tries again, and no
   other is taken for it.  */
Test (returns, knows_refused_programs_for_a_while)
{
  static const struct known_case cases[] = {
    { PROGRAM, REFUSED_MS, 1 },
    { PROGRAM, REFUSED_MS + MQ_RETURNS_KNOWN_MS - 1, MQ_RETURNS_KNOWN_MS - 1 },
    { PROGRAM, REFUSED_MS + MQ_RETURNS_KNOWN_MS, 0 },
    { PROGRAM + 1, REFUSED_MS, 0 },
    { PROGRAM + (1ULL << 32), REFUSED_MS, 0 },
    { 0, REFUSED_MS, 0 },
  };
  struct mq_returns *returns = mq_returns_create (NULL);

  mq_returns_record (returns, PROGRAM, REFUSED_MS);
  for (size_t i = 0; i < ROWS (cases); i++)
    cr_expect_eq (
        mq_returns_lost_ms (returns, cases[i].program, cases[i].now_ms),
        cases[i].lost_ms, "row %zu", i);
  mq_returns_record (returns, PROGRAM, REFUSED_MS + 700);
  cr_expect_eq (mq_returns_lost_ms (returns, PROGRAM, REFUSED_MS + 900), 900);
  mq_returns_destroy (returns);
}

/* Guards against a wave of returns: no tenth of a second has more than one and
   a half times the mean.  */
Test (returns, returns_are_spread)
{
  enum
  {
    PROGRAMS = 3000,
    SLOT_MS = 100,
    SLOTS = (MQ_RETURNS_MAX_MS - MQ_RETURNS_MIN_MS) / SLOT_MS
  };
  uint32_t counts[SLOTS] = { 0 };

  for (uint64_t i = 1; i <= PROGRAMS; i++)
    {
      uint64_t program = i * 0x2545f4914f6cdd1dULL;
      uint32_t delay = mq_returns_delay_ms (program);

      cr_assert (delay >= MQ_RETURNS_MIN_MS && delay < MQ_RETURNS_MAX_MS);
      counts[(delay - MQ_RETURNS_MIN_MS) / SLOT_MS]++;
    }
  for (int i = 0; i < SLOTS; i++)
    cr_expect_leq (counts[i] * 2, PROGRAMS / SLOTS * 3, "slot %d: %u", i,
                   counts[i]);
}

struct return_case
{
  uint32_t lost_ms;
  uint32_t load;
  uint32_t pace_load;
  enum mq_admission_decision answer;
};

/* Guards against refusals that do not hold, and against refusing what returns
   when there is room again.  */
Test (returns, begin_once_the_load_has_fallen)
{
  static const struct return_case cases[] = {
    { 0, 940, 940, MQ_ADMISSION_ACCEPTED },
    { 400, 940, 0, MQ_ADMISSION_OVERLOADED },
    { 400, 0, 940, MQ_ADMISSION_OVERLOADED },
    { 400, 300, 600, MQ_ADMISSION_OVERLOADED },
    { 100, 300, 600, MQ_ADMISSION_ACCEPTED },
    { 400, 300, 300, MQ_ADMISSION_ACCEPTED },
    { 400, 0, 0, MQ_ADMISSION_ACCEPTED },
    { 400, 800, 0, MQ_ADMISSION_ACCEPTED },
    { 2000, 0, 400, MQ_ADMISSION_OVERLOADED },
    { 2000, 0, 200, MQ_ADMISSION_ACCEPTED },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_admission *admission = mq_admission_create (NULL);
      struct mq_admission_request request
          = { .service = "models",
              .route = "chat",
              .program = 1,
              .lost_ms = cases[i].lost_ms,
              .load = cases[i].load,
              .pace_load = cases[i].pace_load,
              .has_remaining = true,
              .remaining_ms = 4000,
              .budget = 1000,
              .now_ms = 100000 };
      uint32_t retry_ms;

      cr_expect_eq (mq_admission_decide (admission, &request, &retry_ms),
                    cases[i].answer, "row %zu", i);
      mq_admission_destroy (admission);
    }
}
