/* test_suspects.c - requests under which workers ended: the decisions, and a
   replay that measures how often they reject innocent requests.

   Needs: Criterion, suspects.h, work.h, id.h.  */

#include "core/router/suspects.h"
#include "core/id.h"
#include "core/router/work.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define START_MS 100000U
#define WORK ((struct mq_id){ .hi = 1, .lo = 1 })
#define VERSION 5U

/* Failure: attempts at one request are taken for different ones, or those at
   different ones for the same.  */
Test (suspects, attempts_at_one_request_have_one_identity)
{
  static const struct mq_work base
      = { "ants",    "POST",   "h.example",
          "/turn/x", "p1",     "p1",
          "q7",      "aa:800", { (uint8_t *)(uintptr_t) "hello", 5 } };
  struct mq_work others[10];
  struct mq_work same = base;

  for (size_t i = 0; i < ROWS (others); i++)
    others[i] = base;
  others[0].organisation = "bolt";
  others[1].method = "GET";
  others[2].host = "h.example:80";
  others[3].target = "/turn/y";
  others[4].program = NULL;
  others[5].line = "";
  others[6].previous = NULL;
  others[7].prompt = "aa:80";
  others[8].body.len = 4;
  /* The same bytes, told as other parts.  */
  others[9].program = "p1p1";
  others[9].line = "";
  cr_expect (mq_id_equal (mq_work_id (&base), mq_work_id (&same)));
  cr_expect (!mq_id_is_zero (mq_work_id (&base)));
  for (size_t i = 0; i < ROWS (others); i++)
    cr_expect (!mq_id_equal (mq_work_id (&base), mq_work_id (&others[i])),
               "part %zu", i);
}

/* A step of a request's history, AT_MS after START_MS.  */
struct step
{
  uint32_t at_ms;
  enum
  {
    STEP_NONE,
    STEP_BREAK,  /* a run at WORKER of RAN_MS breaks off */
    STEP_SILENT, /* likewise, the worker was silent */
    STEP_ENDED,  /* WORKER is known to have ended */
    STEP_ALIVE,  /* a check has found it */
    STEP_GONE,   /* looks: WORKER is not listed, the others are */
    STEP_HEARD,  /* looks: data came from WORKER now, none from others */
    STEP_LEAVES, /* looks: WORKER is leaving */
    STEP_SERVED, /* a worker served the request */
    STEP_RUN,    /* a run begins */
    STEP_STOP    /* a run ends */
  } what;
  uint64_t worker;
  uint32_t ran_ms;
};

struct looker
{
  const struct step *step;
  uint64_t now_ms;
};

static struct mq_suspects_sight
look (const struct mq_suspects_end *end, void *user)
{
  const struct looker *looker = user;
  const struct step *step = looker->step;
  struct mq_suspects_sight sight = { .listed = true };

  if (end->worker != step->worker)
    return sight;
  sight.listed = step->what != STEP_GONE;
  sight.leaving = step->what == STEP_LEAVES;
  if (step->what == STEP_HEARD)
    sight.heard_ms = looker->now_ms;
  return sight;
}

static void
ignore (const struct mq_suspects_end *end, void *user)
{
  (void)end;
  (void)user;
}

static void
play (struct mq_suspects *suspects, const struct step *step, uint64_t now_ms)
{
  struct mq_suspects_end end = { .work = WORK,
                                 .worker = step->worker,
                                 .worker_id = step->worker,
                                 .ran_ms = step->ran_ms,
                                 .lost = step->what == STEP_BREAK };
  struct looker looker = { step, now_ms };

  switch (step->what)
    {
    case STEP_NONE:
      return;
    case STEP_BREAK:
    case STEP_SILENT:
      mq_suspects_record (suspects, &end, now_ms);
      return;
    case STEP_ENDED:
      mq_suspects_worker_ended (suspects, step->worker, ignore, NULL, now_ms);
      return;
    case STEP_ALIVE:
      end.state = MQ_SUSPECTS_ALIVE;
      mq_suspects_record (suspects, &end, now_ms);
      return;
    case STEP_GONE:
    case STEP_HEARD:
    case STEP_LEAVES:
      mq_suspects_settle (suspects, look, ignore, &looker, now_ms);
      return;
    case STEP_SERVED:
      (void)mq_suspects_clear (suspects, WORK);
      return;
    case STEP_RUN:
      cr_expect (mq_suspects_run_begun (suspects, WORK, 1));
      return;
    case STEP_STOP:
      mq_suspects_run_ended (suspects, WORK);
      return;
    }
}

#define STEPS_MAX 10U

/* Failure: a request is sent to a fourth worker, or one that ended none is
   rejected.  */
Test (suspects, verdicts)
{
  static const struct
  {
    const char *name;
    struct step steps[STEPS_MAX];
    uint32_t at_ms;
    uint64_t version;
    enum mq_suspects_verdict verdict;
  } rows[] = {
    { "nothing known", { { 0 } }, 10, VERSION, MQ_SUSPECTS_MAY_RUN },
    { "one end",
      { { 0, STEP_BREAK, 1, 5 }, { 1, STEP_ENDED, 1, 0 } },
      10,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
    { "two ends",
      { { 0, STEP_BREAK, 1, 5 },
        { 1, STEP_ENDED, 1, 0 },
        { 20, STEP_BREAK, 2, 5 },
        { 21, STEP_ENDED, 2, 0 } },
      30,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
    { "two ends, and it runs",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 22, STEP_RUN, 0, 0 } },
      30,
      VERSION,
      MQ_SUSPECTS_BUSY },
    { "two ends, and it ran",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 22, STEP_RUN, 0, 0 },
        { 23, STEP_STOP, 0, 0 } },
      30,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
    { "one end, and it runs",
      { { 0, STEP_BREAK, 1, 5 }, { 22, STEP_RUN, 0, 0 } },
      30,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
    { "three open ends",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 40, STEP_BREAK, 3, 5 } },
      50,
      VERSION,
      MQ_SUSPECTS_UNSETTLED },
    { "three open ends, one worker lives",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 40, STEP_BREAK, 3, 5 },
        { 45, STEP_ALIVE, 2, 0 } },
      50,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
    { "three ends",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 40, STEP_BREAK, 3, 5 },
        { 41, STEP_ENDED, 1, 0 },
        { 42, STEP_ENDED, 2, 0 },
        { 43, STEP_ENDED, 3, 0 } },
      50,
      VERSION,
      MQ_SUSPECTS_REJECTED },
    { "three ends, told twice",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 21, STEP_BREAK, 2, 5 },
        { 41, STEP_ENDED, 1, 0 },
        { 42, STEP_ENDED, 2, 0 } },
      50,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
    { "three workers of a rack, under copies of the request",
      { { 50, STEP_BREAK, 1, 50 },
        { 51, STEP_BREAK, 2, 40 },
        { 52, STEP_BREAK, 3, 45 },
        { 53, STEP_ENDED, 1, 0 },
        { 54, STEP_ENDED, 2, 0 },
        { 55, STEP_ENDED, 3, 0 } },
      60,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
    { "entries that have lapsed",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 40, STEP_BREAK, 3, 5 },
        { 1500, STEP_GONE, 1, 0 },
        { 1500, STEP_GONE, 2, 0 },
        { 1500, STEP_GONE, 3, 0 } },
      1600,
      VERSION,
      MQ_SUSPECTS_REJECTED },
    { "entries that this host has not read yet",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 40, STEP_BREAK, 3, 5 },
        { 100, STEP_GONE, 1, 0 },
        { 100, STEP_GONE, 2, 0 },
        { 100, STEP_GONE, 3, 0 } },
      110,
      VERSION,
      MQ_SUSPECTS_UNSETTLED },
    { "workers that were heard of later",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 40, STEP_BREAK, 3, 5 },
        { 300, STEP_HEARD, 1, 0 } },
      310,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
    { "data that was sent before the end and read after it",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 40, STEP_BREAK, 3, 5 },
        { 60, STEP_HEARD, 3, 0 } },
      70,
      VERSION,
      MQ_SUSPECTS_UNSETTLED },
    { "a worker that leaves",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 40, STEP_BREAK, 3, 5 },
        { 300, STEP_LEAVES, 3, 0 } },
      310,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
    { "workers that were silent and are listed",
      { { 0, STEP_SILENT, 1, 5 },
        { 20, STEP_SILENT, 2, 5 },
        { 40, STEP_SILENT, 3, 5 } },
      50,
      VERSION,
      MQ_SUSPECTS_UNSETTLED },
    { "workers that were silent, one answers others",
      { { 0, STEP_SILENT, 1, 5 },
        { 20, STEP_SILENT, 2, 5 },
        { 40, STEP_SILENT, 3, 5 },
        { 300, STEP_HEARD, 2, 0 } },
      310,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
    { "workers that were silent and had ended",
      { { 0, STEP_SILENT, 1, 5 },
        { 20, STEP_SILENT, 2, 5 },
        { 40, STEP_SILENT, 3, 5 },
        { 1500, STEP_GONE, 1, 0 },
        { 1500, STEP_GONE, 2, 0 },
        { 1500, STEP_GONE, 3, 0 } },
      1600,
      VERSION,
      MQ_SUSPECTS_REJECTED },
    { "served after two ends",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 30, STEP_SERVED, 0, 0 },
        { 40, STEP_BREAK, 3, 5 },
        { 41, STEP_ENDED, 1, 0 },
        { 42, STEP_ENDED, 2, 0 },
        { 43, STEP_ENDED, 3, 0 } },
      50,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
    { "two ends, long ago",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 41, STEP_ENDED, 1, 0 },
        { 42, STEP_ENDED, 2, 0 },
        { MQ_SUSPECTS_MEMORY_MS + 50, STEP_HEARD, 9, 0 },
        { MQ_SUSPECTS_MEMORY_MS + 60, STEP_BREAK, 3, 5 },
        { MQ_SUSPECTS_MEMORY_MS + 61, STEP_ENDED, 3, 0 } },
      MQ_SUSPECTS_MEMORY_MS + 70,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
    { "rejected, just before the time is over",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 40, STEP_BREAK, 3, 5 },
        { 41, STEP_ENDED, 1, 0 },
        { 42, STEP_ENDED, 2, 0 },
        { 43, STEP_ENDED, 3, 0 } },
      MQ_SUSPECTS_REJECT_MS + 39,
      VERSION,
      MQ_SUSPECTS_REJECTED },
    { "one attempt after that",
      { { 0, STEP_BREAK, 1, 5 },
        { 20, STEP_BREAK, 2, 5 },
        { 40, STEP_BREAK, 3, 5 },
        { 41, STEP_ENDED, 1, 0 },
        { 42, STEP_ENDED, 2, 0 },
        { 43, STEP_ENDED, 3, 0 } },
      MQ_SUSPECTS_REJECT_MS + 40,
      VERSION,
      MQ_SUSPECTS_MAY_RUN },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct mq_suspects *suspects = mq_suspects_create (NULL);

      for (size_t k = 0; k < STEPS_MAX; k++)
        play (suspects, &rows[i].steps[k], START_MS + rows[i].steps[k].at_ms);
      cr_expect_eq (mq_suspects_judge (suspects, WORK, rows[i].version,
                                       START_MS + rows[i].at_ms),
                    rows[i].verdict, "%s", rows[i].name);
      mq_suspects_destroy (suspects);
    }
}

static void
end_worker (struct mq_suspects *suspects, uint64_t worker, uint64_t now_ms)
{
  struct mq_suspects_end end = {
    .work = WORK, .worker = worker, .state = MQ_SUSPECTS_ENDED, .lost = true
  };

  mq_suspects_record (suspects, &end, now_ms);
}

struct same_worker_case
{
  const char *name;
  struct mq_suspects_end told[3];
  uint32_t count; /* ends, open ones included */
};

/* Failure: a worker that was found alive after a broken connection is ended by
   a later run, and this end does not count.  */
Test (suspects, later_end_of_a_worker_that_was_alive_counts)
{
  static const struct same_worker_case cases[] = {
    { "found alive",
      { { .worker = 7, .ran_ms = 10, .age_ms = 500 },
        { .worker = 7,
          .ran_ms = 10,
          .age_ms = 500,
          .state = MQ_SUSPECTS_ALIVE } },
      0 },
    { "ended by a later run",
      { { .worker = 7,
          .ran_ms = 10,
          .age_ms = 500,
          .state = MQ_SUSPECTS_ALIVE },
        { .worker = 7, .ran_ms = 10, .age_ms = 100 } },
      1 },
    { "the first one is told late",
      { { .worker = 7, .ran_ms = 10, .age_ms = 100 },
        { .worker = 7,
          .ran_ms = 10,
          .age_ms = 500,
          .state = MQ_SUSPECTS_ALIVE } },
      1 },
    { "the same run, as told by a host whose clock differs",
      { { .worker = 7,
          .ran_ms = 10,
          .age_ms = 500,
          .state = MQ_SUSPECTS_ALIVE },
        { .worker = 7, .ran_ms = 10, .age_ms = 495 } },
      0 },
    { "alive after the later run as well",
      { { .worker = 7,
          .ran_ms = 10,
          .age_ms = 500,
          .state = MQ_SUSPECTS_ALIVE },
        { .worker = 7, .ran_ms = 10, .age_ms = 100 },
        { .worker = 7,
          .ran_ms = 10,
          .age_ms = 100,
          .state = MQ_SUSPECTS_ALIVE } },
      0 },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_suspects *suspects = mq_suspects_create (NULL);

      for (size_t k = 0; k < ROWS (cases[i].told); k++)
        if (cases[i].told[k].worker != 0)
          {
            struct mq_suspects_end end = cases[i].told[k];

            end.work = WORK;
            (void)mq_suspects_record (suspects, &end, START_MS);
          }
      cr_expect_eq (mq_suspects_count (suspects, WORK), cases[i].count,
                    "%s: %u", cases[i].name,
                    mq_suspects_count (suspects, WORK));
      talloc_free (suspects);
    }
}

struct late_case
{
  const char *name;
  struct mq_suspects_end told[3]; /* at START_MS, then 20 ms later */
  uint32_t count;
};

/* Failure: a host reads late that a worker has ended, the run that began at
   once after it seems to overlap with it, and its end does not count.  */
Test (suspects, end_that_is_read_late_is_told_again)
{
  static const struct late_case cases[] = {
    { "told again in time",
      { { .worker = 7, .ran_ms = 5 },
        { .worker = 7, .ran_ms = 5, .age_ms = 30 },
        { .worker = 8, .ran_ms = 29 } },
      2 },
    { "told again after the next one",
      { { .worker = 7, .ran_ms = 5 },
        { .worker = 8, .ran_ms = 29 },
        { .worker = 7, .ran_ms = 5, .age_ms = 30 } },
      2 },
    { "told again later still",
      { { .worker = 7, .ran_ms = 5 },
        { .worker = 7, .ran_ms = 5, .age_ms = 10 },
        { .worker = 8, .ran_ms = 19 } },
      2 },
    { "runs that overlap",
      { { .worker = 7, .ran_ms = 5 },
        { .worker = 7, .ran_ms = 5, .age_ms = 30 },
        { .worker = 8, .ran_ms = 40 } },
      1 },
    { "another run at the same worker",
      { { .worker = 7, .ran_ms = 5 },
        { .worker = 7, .ran_ms = 4, .age_ms = 30 },
        { .worker = 8, .ran_ms = 29 } },
      1 },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_suspects *suspects = mq_suspects_create (NULL);

      for (size_t k = 0; k < ROWS (cases[i].told); k++)
        {
          struct mq_suspects_end end = cases[i].told[k];

          end.work = WORK;
          (void)mq_suspects_record (suspects, &end,
                                    START_MS + (k == 0 ? 0 : 20));
        }
      cr_expect_eq (mq_suspects_count (suspects, WORK), cases[i].count,
                    "%s: %u", cases[i].name,
                    mq_suspects_count (suspects, WORK));
      talloc_free (suspects);
    }
}

/* Failure: a request that still ends workers is let through again and again,
   or one that a new version can run is rejected for good.  */
Test (suspects, one_attempt_is_let_through_again)
{
  struct mq_suspects *suspects = mq_suspects_create (NULL);
  uint64_t now = START_MS;

  for (uint64_t worker = 1; worker <= 3; worker++)
    end_worker (suspects, worker, now += 10);
  cr_expect_eq (mq_suspects_judge (suspects, WORK, VERSION, now),
                MQ_SUSPECTS_REJECTED);
  cr_expect_eq (mq_suspects_judge (suspects, WORK, 0, now),
                MQ_SUSPECTS_REJECTED, "the version is not known");
  /* Another version of the service.  */
  cr_expect_eq (mq_suspects_judge (suspects, WORK, VERSION + 1, now),
                MQ_SUSPECTS_MAY_RUN);
  cr_assert (mq_suspects_run_begun (suspects, WORK, 1));
  cr_expect_eq (mq_suspects_judge (suspects, WORK, VERSION + 1, now),
                MQ_SUSPECTS_BUSY, "one attempt alone");
  mq_suspects_run_ended (suspects, WORK);
  end_worker (suspects, 4, now += 10);
  cr_expect_eq (mq_suspects_judge (suspects, WORK, VERSION + 1, now),
                MQ_SUSPECTS_REJECTED);
  /* The second time lasts twice as long.  */
  cr_expect_eq (
      mq_suspects_judge (suspects, WORK, VERSION + 1,
                         now + (uint64_t)2 * MQ_SUSPECTS_REJECT_MS - 1),
      MQ_SUSPECTS_REJECTED);
  cr_expect_eq (mq_suspects_judge (suspects, WORK, VERSION + 1,
                                   now + (uint64_t)2 * MQ_SUSPECTS_REJECT_MS),
                MQ_SUSPECTS_MAY_RUN);
  mq_suspects_destroy (suspects);
}

/* Failure: workers crash, and the requests that ran there avoid each other
   until few workers are left for them.  */
Test (suspects, requests_with_one_end_share_workers)
{
  static const struct
  {
    const char *name;
    uint32_t ends;       /* of the request that looks for a worker */
    uint32_t other_ends; /* of the one that runs at worker 9 */
    size_t occupied;
  } rows[] = {
    { "one and one", 1, 1, 0 },  { "one and two", 1, 2, 1 },
    { "two and one", 2, 1, 1 },  { "two and two", 2, 2, 1 },
    { "none and two", 0, 2, 1 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct mq_suspects *suspects = mq_suspects_create (NULL);
      struct mq_suspects_end other
          = { .work = { 2, 2 }, .state = MQ_SUSPECTS_ENDED, .lost = true };
      uint32_t workers[4];

      for (uint32_t k = 0; k < rows[i].ends; k++)
        end_worker (suspects, 1 + k, START_MS + 10 * k);
      for (uint32_t k = 0; k < rows[i].other_ends; k++)
        {
          other.worker = 5 + k;
          mq_suspects_record (suspects, &other, START_MS + 10 * k);
        }
      cr_assert (mq_suspects_run_begun (suspects, other.work, 9));
      cr_expect_eq (mq_suspects_occupied (suspects, WORK, workers, 4),
                    rows[i].occupied, "%s", rows[i].name);
      mq_suspects_destroy (suspects);
    }
}

/* Failure: a message with figures out of range rejects a request.  */
Test (suspects, invalid_ends_are_ignored)
{
  static const struct
  {
    const char *name;
    struct mq_suspects_end end;
  } rows[] = {
    { "no request", { .worker = 1, .state = MQ_SUSPECTS_ENDED } },
    { "a state of a newer release",
      { .work = WORK, .worker = 1, .state = MQ_SUSPECTS_STATES } },
    { "served, which is no end",
      { .work = WORK, .worker = 1, .state = MQ_SUSPECTS_SERVED } },
    { "too old",
      { .work = WORK, .worker = 1, .age_ms = MQ_SUSPECTS_AGE_MAX_MS + 1 } },
    { "too long a run", { .work = WORK, .worker = 1, .ran_ms = UINT32_MAX } },
  };
  struct mq_suspects *suspects = mq_suspects_create (NULL);

  for (size_t i = 0; i < ROWS (rows); i++)
    cr_expect_eq (mq_suspects_record (suspects, &rows[i].end, START_MS), 0,
                  "%s", rows[i].name);
  cr_expect (mq_suspects_is_empty (suspects));
  mq_suspects_destroy (suspects);
}

/* Failure: requests whose connections broke fill the memory, or push out one
   that is rejected.  */
Test (suspects, memory_is_bounded)
{
  struct mq_suspects *suspects = mq_suspects_create (NULL);
  struct mq_suspects_report report;
  struct mq_suspects_end copies[4];

  for (uint64_t worker = 1; worker <= 3; worker++)
    end_worker (suspects, worker, START_MS + 10 * worker);
  for (uint64_t i = 0; i < (uint64_t)2 * MQ_SUSPECTS_WORKS_MAX; i++)
    {
      struct mq_suspects_end end
          = { .work = { 2, i + 1 }, .worker = 7, .lost = true };

      mq_suspects_record (suspects, &end, START_MS + 100 + i);
    }
  cr_expect_leq (talloc_total_size (suspects), 1000000U);
  cr_expect_eq (mq_suspects_judge (suspects, WORK, VERSION, START_MS + 200),
                MQ_SUSPECTS_REJECTED);
  cr_expect_eq (mq_suspects_list (suspects, &report, 1, START_MS + 5000), 1);
  cr_expect (report.rejected && mq_id_equal (report.work, WORK));
  cr_expect_eq (report.ends, 3);
  cr_expect_eq (mq_suspects_copy_ends (suspects, copies, 4, START_MS + 5000),
                4);
  cr_expect (mq_id_equal (copies[2].work, WORK));
  mq_suspects_destroy (suspects);
}

/* Replay of requests and their callers at workers that end, or whose
   connections break, for reasons that the requests have no part in.  */

#define REPLAY_WORKERS_MAX 6000U
#define REPLAY_MS 60000U
#define STEP_MS 5U
/* Attempts at workers within one of a caller, and attempts of callers.  */
#define SENDS_MAX 2U
#define ATTEMPTS_MAX 6U
#define SLOTS_MAX 4000U

/**
 * struct trouble - what happens to workers and connections
 * @workers: number of workers
 * @requests: requests in progress at any time
 * @every_ms: time from one event to the next
 * @percent: workers that an event hits
 * @down_ms: time until they start again; 0 if their connections break alone
 * @fatal: of a thousand requests, those that end each worker they reach
 */
struct trouble
{
  const char *name;
  uint32_t workers;
  uint32_t requests;
  uint32_t every_ms;
  uint32_t percent;
  uint32_t down_ms;
  uint32_t fatal;
};

struct slot
{
  struct mq_id work;
  bool fatal;
  uint32_t worker;
  uint64_t began_ms;
  uint64_t until_ms;
  uint64_t next_ms;
  uint32_t sends;
  uint32_t attempts;
  uint32_t ends;
};

struct replay
{
  struct mq_suspects *suspects;
  const struct trouble *trouble;
  uint64_t random;
  uint64_t now_ms;
  uint64_t works;
  uint64_t up_ms[REPLAY_WORKERS_MAX];  /* down until then */
  uint32_t starts[REPLAY_WORKERS_MAX]; /* times it has started */
  struct slot slots[SLOTS_MAX];
  uint32_t innocent;
  uint32_t rejected;
  uint32_t fatal;
  uint32_t fatal_rejected;
  uint32_t ends_max;
};

static uint64_t
instance_of (const struct replay *replay, uint32_t worker)
{
  return ((uint64_t)replay->starts[worker] << 32) + worker + 1;
}

static void
begin_request (struct replay *replay, struct slot *slot)
{
  *slot = (struct slot){ .work = { 1, ++replay->works } };
  slot->fatal
      = mq_random_below (&replay->random, 1000) < replay->trouble->fatal;
  slot->next_ms = replay->now_ms + mq_random_below (&replay->random, 100);
  if (slot->fatal)
    replay->fatal++;
  else
    replay->innocent++;
}

static void
end_request (struct replay *replay, struct slot *slot, bool rejected)
{
  if (slot->ends > replay->ends_max && slot->fatal)
    replay->ends_max = slot->ends;
  replay->rejected += rejected && !slot->fatal ? 1U : 0U;
  replay->fatal_rejected += rejected && slot->fatal ? 1U : 0U;
  begin_request (replay, slot);
}

/* A worker that is up and, if possible, runs no other known request.  */
static uint32_t
choose_worker (struct replay *replay, const struct slot *slot)
{
  uint32_t taken[16];
  size_t count
      = mq_suspects_is_known (replay->suspects, slot->work)
            ? mq_suspects_occupied (replay->suspects, slot->work, taken, 16)
            : 0;
  uint32_t worker = 0;

  for (int i = 0; i < 20; i++)
    {
      bool apart = true;

      worker = mq_random_below (&replay->random, replay->trouble->workers);
      for (size_t k = 0; k < count; k++)
        apart = apart && taken[k] != worker;
      if (replay->up_ms[worker] <= replay->now_ms && apart)
        return worker;
    }
  return worker;
}

static void
send_request (struct replay *replay, struct slot *slot)
{
  uint64_t now = replay->now_ms;

  switch (mq_suspects_judge (replay->suspects, slot->work, 0, now))
    {
    case MQ_SUSPECTS_REJECTED:
      end_request (replay, slot, true);
      return;
    case MQ_SUSPECTS_BUSY:
    case MQ_SUSPECTS_UNSETTLED:
      slot->next_ms = now + 300;
      return;
    case MQ_SUSPECTS_MAY_RUN:
      break;
    }
  slot->worker = choose_worker (replay, slot);
  if (replay->up_ms[slot->worker] > now)
    {
      slot->next_ms = now + 50;
      return;
    }
  slot->began_ms = now;
  slot->until_ms = now + 20 + mq_random_below (&replay->random, 400);
  slot->next_ms = 0;
  (void)mq_suspects_run_begun (replay->suspects, slot->work, slot->worker);
}

/* The run broke off; the caller goes on, at once or some time later.  */
static void
break_run (struct replay *replay, struct slot *slot, bool ended)
{
  struct mq_suspects_end end
      = { .work = slot->work,
          .worker = instance_of (replay, slot->worker),
          .worker_id = slot->worker,
          .ran_ms = (uint32_t)(replay->now_ms - slot->began_ms),
          .lost = true };

  mq_suspects_run_ended (replay->suspects, slot->work);
  slot->ends += ended ? 1U : 0U;
  slot->began_ms = 0;
  if (mq_suspects_record (replay->suspects, &end, replay->now_ms)
      >= MQ_SUSPECTS_ENDS_ALONE)
    {
      /* The health check.  */
      end.state = ended ? MQ_SUSPECTS_ENDED : MQ_SUSPECTS_ALIVE;
      mq_suspects_record (replay->suspects, &end, replay->now_ms);
    }
  if (++slot->sends % SENDS_MAX != 0)
    slot->next_ms = replay->now_ms;
  else if (++slot->attempts < ATTEMPTS_MAX)
    slot->next_ms
        = replay->now_ms + 100 + mq_random_below (&replay->random, 300);
  else
    end_request (replay, slot, false);
}

static void
break_runs_of (struct replay *replay, uint32_t worker, bool ended)
{
  for (uint32_t i = 0; i < replay->trouble->requests; i++)
    if (replay->slots[i].began_ms != 0 && replay->slots[i].worker == worker)
      break_run (replay, &replay->slots[i], ended);
}

static void
end_one_worker (struct replay *replay, uint32_t worker, uint32_t down_ms)
{
  break_runs_of (replay, worker, down_ms > 0);
  if (down_ms == 0)
    return;
  replay->starts[worker]++;
  replay->up_ms[worker] = replay->now_ms + down_ms;
}

/* Ends of earlier starts of a worker are settled so.  */
static struct mq_suspects_sight
look_in_replay (const struct mq_suspects_end *end, void *user)
{
  const struct replay *replay = user;
  uint32_t worker = (uint32_t)end->worker_id;

  return (struct mq_suspects_sight){
    .listed = instance_of (replay, worker) == end->worker,
    .heard_ms = replay->now_ms,
  };
}

static void
step_slot (struct replay *replay, struct slot *slot)
{
  if (slot->began_ms == 0 && slot->next_ms <= replay->now_ms)
    send_request (replay, slot);
  else if (slot->began_ms != 0 && slot->fatal)
    end_one_worker (replay, slot->worker, 1000);
  else if (slot->began_ms != 0 && slot->until_ms <= replay->now_ms)
    {
      mq_suspects_run_ended (replay->suspects, slot->work);
      (void)mq_suspects_clear (replay->suspects, slot->work);
      end_request (replay, slot, false);
    }
}

static void
hit_workers (struct replay *replay)
{
  const struct trouble *trouble = replay->trouble;
  uint32_t first = mq_random_below (&replay->random, trouble->workers);
  uint32_t count = (trouble->workers * trouble->percent + 99) / 100;

  for (uint32_t i = 0; i < count; i++)
    end_one_worker (replay, (first + i) % trouble->workers, trouble->down_ms);
}

static void
run_replay (struct replay *replay, const struct trouble *trouble,
            uint64_t seed)
{
  memset (replay, 0, sizeof *replay);
  replay->suspects = mq_suspects_create (NULL);
  replay->trouble = trouble;
  replay->random = seed;
  replay->now_ms = START_MS;
  for (uint32_t i = 0; i < trouble->requests; i++)
    begin_request (replay, &replay->slots[i]);
  for (uint32_t at = 0; at < REPLAY_MS; at += STEP_MS)
    {
      replay->now_ms = START_MS + at;
      if (trouble->every_ms > 0 && at % trouble->every_ms == 0)
        hit_workers (replay);
      for (uint32_t i = 0; i < trouble->requests; i++)
        step_slot (replay, &replay->slots[i]);
      if (at % 50 == 0)
        mq_suspects_settle (replay->suspects, look_in_replay, ignore, replay,
                            replay->now_ms);
    }
  mq_suspects_destroy (replay->suspects);
}

/* Failure: requests are rejected for ends of workers that they have no part
   in.  */
Test (suspects, innocent_requests_are_served_beside_trouble, .timeout = 300)
{
  /* Innocent requests rejected, of 10,000; and ends under one fatal request.
   */
  static const struct
  {
    struct trouble trouble;
    uint32_t rejected_max;
  } rows[] = {
    { { "quiet", 18, 150, 0, 0, 0, 0 }, 0 },
    { { "connections reset", 18, 150, 100, 20, 0, 0 }, 0 },
    { { "one worker crashes", 18, 150, 1000, 5, 2000, 0 }, 1 },
    { { "a rack crashes", 18, 150, 2000, 20, 2000, 0 }, 1 },
    { { "half of the workers crash", 18, 150, 5000, 50, 2000, 0 }, 1 },
    { { "workers are replaced in turn", 18, 150, 500, 5, 1000, 0 }, 1 },
    { { "spot workers, 11 of them", 11, 100, 700, 9, 1500, 0 }, 1 },
    { { "crashes among 6,000 workers", 6000, 4000, 1000, 1, 5000, 0 }, 1 },
    { { "fatal requests", 18, 150, 0, 0, 0, 2 }, 10 },
    { { "fatal requests beside crashes", 18, 150, 2000, 20, 2000, 2 }, 10 },
    { { "fatal requests, 46 workers", 46, 400, 0, 0, 0, 2 }, 10 },
  };
  static struct replay replay;

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      run_replay (&replay, &rows[i].trouble, 11 + i);
      fprintf (stderr,
               "suspects: %s: %u innocent, %u rejected; %u fatal, %u "
               "rejected, at most %u ends\n",
               rows[i].trouble.name, replay.innocent, replay.rejected,
               replay.fatal, replay.fatal_rejected, replay.ends_max);
      cr_expect_leq ((uint64_t)replay.rejected * 10000U,
                     (uint64_t)rows[i].rejected_max * replay.innocent,
                     "%s: %u of %u", rows[i].trouble.name, replay.rejected,
                     replay.innocent);
      cr_expect_leq (replay.ends_max, MQ_SUSPECTS_ENDS_MAX, "%s",
                     rows[i].trouble.name);
    }
}
