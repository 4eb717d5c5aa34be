/* test_pace.c - unit tests of the pace of turns.

   Needs: Criterion, pace.h.  */

#include "core/router/pace.h"
#include <criterion/criterion.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define TOKENS 100U
#define TURNS 400U
#define PROGRAM_TURNS 4U
#define GIVEN_MS 4000U

/**
 * struct engine - an engine and the programs that it runs
 * @idle_us: time per token without load
 * @growth_us: what a worker with all slots in use adds
 * @load_min: lowest load, thousandths
 * @load_max: highest load
 * @used: part of their time that programs use, thousandths
 */
struct engine
{
  uint32_t idle_us;
  uint32_t growth_us;
  uint32_t load_min;
  uint32_t load_max;
  uint32_t used;
};

static struct mq_pace *pace;

static void
set_up (void)
{
  pace = mq_pace_create (NULL);
}

static void
tear_down (void)
{
  mq_pace_destroy (pace);
}

TestSuite (pace, .init = set_up, .fini = tear_down);

/* Records TURNS turns of programs that use a part of their time.  */
static void
record_turns (const struct engine *engine)
{
  for (uint32_t i = 0; i < TURNS; i++)
    {
      uint32_t load = engine->load_min
                      + i * 7919U % (engine->load_max - engine->load_min + 1U);
      uint32_t time_us = engine->idle_us + engine->growth_us * load / 1000U;
      uint32_t turn = i % PROGRAM_TURNS;

      mq_pace_record_turn (
          pace, &(struct mq_pace_turn){ .service = "models",
                                        .route = "chat",
                                        .program = i / PROGRAM_TURNS + 1U,
                                        .begins = turn == 0,
                                        .has_remaining = true,
                                        .remaining_ms
                                        = GIVEN_MS
                                          - GIVEN_MS * engine->used / 1000U
                                                * turn / PROGRAM_TURNS,
                                        .ran_ms = time_us * TOKENS / 1000U,
                                        .tokens = TOKENS,
                                        .load = load });
    }
}

/* Records turns of programs that have 2.4 times the time of idle workers, and
   lose LOST_MS before their last turn.  */
static void
record_disturbed_turns (const struct engine *engine, uint32_t lost_ms)
{
  const uint32_t idle_ms = engine->idle_us * TOKENS / 1000U;
  const uint32_t given_ms = idle_ms * PROGRAM_TURNS * 24U / 10U;
  uint32_t left_ms = given_ms;

  for (uint32_t i = 0; i < TURNS; i++)
    {
      uint32_t load = engine->load_min
                      + i * 7919U % (engine->load_max - engine->load_min + 1U);
      uint32_t ran_ms = (engine->idle_us + engine->growth_us * load / 1000U)
                        * TOKENS / 1000U;
      uint32_t turn = i % PROGRAM_TURNS;

      if (turn == 0)
        left_ms = given_ms;
      if (turn == PROGRAM_TURNS - 1)
        left_ms = left_ms > lost_ms + 1 ? left_ms - lost_ms : 1;
      mq_pace_record_turn (
          pace, &(struct mq_pace_turn){ .service = "models",
                                        .route = "chat",
                                        .program = i / PROGRAM_TURNS + 1U,
                                        .begins = turn == 0,
                                        .has_remaining = true,
                                        .remaining_ms = left_ms,
                                        .ran_ms = ran_ms,
                                        .tokens = TOKENS,
                                        .load = load });
      left_ms = left_ms > ran_ms + 1 ? left_ms - ran_ms : 1;
    }
}

static uint32_t
load_at (uint32_t service_load, uint64_t now_ms)
{
  return mq_pace_load (pace,
                       &(struct mq_pace_program){ .service = "models",
                                                  .route = "chat",
                                                  .service_load = service_load,
                                                  .now_ms = now_ms });
}

struct learn_case
{
  struct engine engine;
  uint32_t idle_min;
  uint32_t idle_max;
  uint32_t bearable_min;
  uint32_t bearable_max;
};

/* The line and the bearable time are found on steep and flat engines.  */
Test (pace, learns_engines)
{
  /* The bearable time is the mean time divided by the highest part of its time
     that a program has used at the end of a turn, within a tenth.  */
  static const struct learn_case cases[] = {
    { { 5000, 20000, 40, 200, 500 }, 4700, 5300, 11900, 14500 },
    { { 5000, 20000, 300, 700, 800 }, 4500, 5500, 12600, 15400 },
    { { 20000, 2000, 40, 900, 500 }, 19500, 20500, 20900, 25600 },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      const struct learn_case *row = &cases[i];
      struct mq_pace_report report;

      set_up ();
      record_turns (&row->engine);
      report = mq_pace_report (pace, "models", "chat");
      cr_expect (report.idle_us >= row->idle_min
                     && report.idle_us <= row->idle_max,
                 "row %zu: idle %u", i, report.idle_us);
      cr_expect (report.bearable_us >= row->bearable_min
                     && report.bearable_us <= row->bearable_max,
                 "row %zu: bearable %u", i, report.bearable_us);
      tear_down ();
    }
  set_up ();
}

/* Programs are at risk once turns take long, however many slots are free; not
   on engines that keep their pace until they are full.  */
Test (pace, load_follows_the_time_that_programs_have)
{
  static const struct engine steep = { 5000, 20000, 40, 200, 500 };
  static const struct engine flat = { 20000, 2000, 40, 900, 500 };

  record_turns (&steep);
  cr_expect_lt (load_at (100, 1000), MQ_PACE_LOAD_FULL);
  cr_expect_gt (load_at (500, 1000), MQ_PACE_LOAD_FULL);
  tear_down ();
  set_up ();
  record_turns (&flat);
  cr_expect_lt (load_at (900, 1000), MQ_PACE_LOAD_FULL);
}

/* Guards against admitting a burst until its turns show in the load.  */
Test (pace, burst_counts_before_its_turns_run)
{
  static const struct engine steep = { 5000, 20000, 40, 200, 500 };
  uint32_t before;

  record_turns (&steep);
  for (uint64_t now = 0; now < 4000; now += 250)
    mq_pace_record_begin (pace, "models", now);
  before = load_at (150, 4000);
  for (uint64_t now = 4000; now < 4500; now += 25)
    mq_pace_record_begin (pace, "models", now);
  cr_expect_gt (load_at (150, 4500), before * 3 / 2);
}

/* Guards against refusing programs for what is chance where few arrive: at a
   mean of four, seven in a second.  */
Test (pace, chance_is_no_burst)
{
  static const struct engine steep = { 5000, 20000, 40, 200, 500 };
  uint32_t before;

  record_turns (&steep);
  for (uint64_t now = 0; now < 4000; now += 250)
    mq_pace_record_begin (pace, "models", now);
  before = load_at (300, 4000);
  for (uint64_t now = 4000; now < 5000; now += 150)
    mq_pace_record_begin (pace, "models", now);
  cr_expect_eq (load_at (300, 4900), before);
}

/* Nothing is concluded from few turns, or from turns that don't tell.  */
Test (pace, unknown_is_no_load)
{
  static const struct mq_pace_turn silent[] = {
    { .service = "models", .route = "chat", .ran_ms = 100, .tokens = 10 },
    { .service = "models", .route = "chat", .ran_ms = 100, .load = 100 },
    { .service = "models", .route = "chat", .tokens = 10, .load = 100 },
  };

  cr_expect_eq (load_at (900, 1000), 0);
  for (uint32_t i = 0; i < TURNS; i++)
    mq_pace_record_turn (pace, &silent[i % ROWS (silent)]);
  cr_expect_eq (load_at (900, 1000), 0);
}

struct disturbed_case
{
  const char *name;
  uint32_t lost_ms;   /* programs lose so much time between two turns */
  uint64_t before_ms; /* programs begin for so long, */
  uint64_t quiet_ms;  /* then none for so long */
};

/* Failure: hosts or the table are away for some seconds.  Programs are late
   although turns take no longer than usual, or begin anew all at once, and new
   ones are refused for a long time at nearly idle workers.  */
Test (pace, lost_time_and_pauses_are_no_load)
{
  static const struct disturbed_case cases[] = {
    { "in time, no pause", 0, 6000, 0 },
    { "programs lose time", 3000, 6000, 0 },
    { "a pause of all", 0, 6000, 5000 },
    { "a host that has just started", 0, 0, 0 },
    { "all of it", 3000, 6000, 5000 },
  };
  static const struct engine engine = { 6000, 60000, 20, 70, 0 };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      uint64_t now = 100000;
      uint32_t most = 0;

      set_up ();
      record_disturbed_turns (&engine, cases[i].lost_ms);
      for (uint64_t end = now + cases[i].before_ms; now < end; now += 200)
        mq_pace_record_begin (pace, "models", now);
      now += cases[i].quiet_ms;
      for (uint64_t end = now + 3000; now < end; now += 200)
        {
          uint32_t load = load_at (50, now);

          most = load > most ? load : most;
          mq_pace_record_begin (pace, "models", now);
        }
      cr_expect_lt (most, MQ_PACE_LOAD_FULL, "%s: load %u", cases[i].name,
                    most);
      tear_down ();
    }
  set_up ();
}
