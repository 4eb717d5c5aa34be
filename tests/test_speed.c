/* test_speed.c - load on workers that are not equally fast.

   Needs: Criterion, fleet.h, speed.h, id.h.  */

#include "core/router/fleet.h"
#include "core/router/speed.h"
#include "core/id.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

enum
{
  HOSTS = 12,
  WORKERS = 30,
  /* A third is slower, 1.3 to 5 times, each for a while.  */
  SLOW_WORKERS = 10,
  SLOW_MIN_PERCENT = 130,
  SLOW_MAX_PERCENT = 500,
  SLOW_MS = 6000,
  STEP_MS = 5,
  START_MS = 4000,
  END_MS = 24000,
  TASKS_MAX = 40000,
  FULL_PERCENT = 100,
  SEEDS = 6
};

/* Who knows what of the speed.  */
enum knowledge
{
  TOLD,     /* workers tell it */
  MEASURED, /* hosts see times alone */
  ORACLE    /* everything is known: the best that is possible */
};

/**
 * struct load_case - requests, or programs of several requests
 * @slots: of a worker
 * @work_ms: time of one request at an idle worker
 * @slowdown: what a worker with all slots in use adds to it
 * @per_s: tasks that begin a second, at all hosts
 * @requests: requests of a task, all at the same worker
 * @pause_ms: time between them
 */
struct load_case
{
  const char *name;
  enum knowledge knowledge;
  uint32_t slots;
  double work_ms;
  double slowdown;
  double per_s;
  uint32_t requests;
  uint32_t pause_ms;
};

/**
 * struct task - a program, or a single request
 * @left_ms: work left of the current request
 * @began_ms: when that arrived
 * @due_ms: when the next one does
 */
struct task
{
  uint32_t host;
  uint32_t worker;
  uint32_t requests;
  double left_ms;
  uint64_t began_ms;
  uint64_t due_ms;
  bool arrived;
  bool running;
};

/**
 * struct worker - a worker as it is
 * @percent: time that work takes now
 * @busy: requests that run
 * @waiting: requests that wait
 */
struct worker
{
  uint32_t percent;
  uint32_t busy;
  uint32_t waiting;
};

struct play
{
  const struct load_case *row;
  enum knowledge knowledge;
  struct mq_fleet *hosts[HOSTS];
  struct worker workers[WORKERS];
  struct task tasks[TASKS_MAX];
  uint32_t task_count;
  uint32_t times[TASKS_MAX];
  uint32_t time_count;
  uint32_t waited_beside_idle;
  uint64_t random;
  uint64_t now_ms;
};

/**
 * struct result - what the runs of one row showed
 * @slow_ms: 0.9 quantile of the times of requests
 */
struct result
{
  uint32_t slow_ms;
  uint32_t requests;
  uint32_t waited_beside_idle;
};

static struct play play;

static uint32_t
draw (uint32_t below)
{
  return (uint32_t)(mq_random_next (&play.random) % below);
}

static void
set_up (const struct load_case *row, enum knowledge knowledge, uint64_t seed)
{
  char id[32];
  struct mq_fleet_member member = { .id = id,
                                    .service = "s",
                                    .address = "127.0.0.1:1",
                                    .data_centre = "a",
                                    .slots = row->slots };

  memset (&play, 0, sizeof play);
  play.row = row;
  play.knowledge = knowledge;
  play.random = seed;
  for (uint32_t host = 0; host < HOSTS; host++)
    {
      play.hosts[host] = mq_fleet_create (NULL);
      cr_assert_not_null (play.hosts[host]);
      for (uint32_t i = 0; i < WORKERS; i++)
        {
          snprintf (id, sizeof id, "w%u", i);
          cr_assert (mq_fleet_put (play.hosts[host], &member, NULL));
        }
    }
}

static void
tear_down (void)
{
  for (uint32_t host = 0; host < HOSTS; host++)
    mq_fleet_destroy (play.hosts[host]);
}

/* Other workers are slow after SLOW_MS, and each is slower by another
   factor.  */
static void
set_speeds (void)
{
  uint32_t first;

  if (play.now_ms % SLOW_MS != 0 && play.now_ms > STEP_MS)
    return;
  first = draw (WORKERS);
  for (uint32_t i = 0; i < WORKERS; i++)
    play.workers[i].percent = FULL_PERCENT;
  for (uint32_t i = 0; i < SLOW_WORKERS; i++)
    play.workers[(first + i) % WORKERS].percent
        = SLOW_MIN_PERCENT
          + i * (SLOW_MAX_PERCENT - SLOW_MIN_PERCENT) / (SLOW_WORKERS - 1);
}

/* Time of a request at the worker, if there were ADDED more.  */
static double
request_ms (const struct worker *worker, uint32_t added)
{
  uint32_t busy = worker->busy + added;
  uint32_t slots = play.row->slots;

  if (busy > slots)
    busy = slots;
  return play.row->work_ms * worker->percent / FULL_PERCENT
         * (1.0 + play.row->slowdown * busy / slots);
}

/* Time until a new request at the worker ends, with full knowledge.  */
static double
finish_ms (const struct worker *worker)
{
  uint32_t ahead = worker->busy + worker->waiting;
  double request = request_ms (worker, 1);

  if (ahead < play.row->slots)
    return request;
  return request
         * (1.0 + (double)(ahead + 1 - play.row->slots) / play.row->slots);
}

static uint32_t
choose_best (void)
{
  uint32_t best = draw (WORKERS);

  for (uint32_t i = 0; i < WORKERS; i++)
    if (finish_ms (&play.workers[i]) < finish_ms (&play.workers[best]))
      best = i;
  return best;
}

static uint32_t
choose_worker (uint32_t host)
{
  struct mq_fleet_query query = { .service = "s",
                                  .data_centre = "a",
                                  .now_ms = play.now_ms,
                                  .random = mq_random_next (&play.random) };

  if (play.knowledge == ORACLE)
    return choose_best ();
  if (play.row->requests == 1)
    return mq_fleet_choose (play.hosts[host], &query);
  query.home = mq_fleet_choose_home (play.hosts[host], &query);
  query.has_key = true;
  return mq_fleet_choose (play.hosts[host], &query);
}

/* What a response tells.  */
static void
report (const struct task *task)
{
  const struct worker *worker = &play.workers[task->worker];
  struct mq_fleet *fleet = play.hosts[task->host];

  mq_fleet_record_load (fleet, task->worker, worker->busy, worker->waiting,
                        play.now_ms);
  if (play.knowledge == TOLD)
    mq_fleet_record_speed (fleet, task->worker, worker->percent, play.now_ms);
}

/* Whether a worker that would end the request sooner runs nothing.  */
static bool
idle_worker_is_better (const struct worker *chosen)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    if (play.workers[i].busy == 0
        && finish_ms (&play.workers[i]) < finish_ms (chosen))
      return true;
  return false;
}

static void
start_if_free (struct task *task)
{
  struct worker *worker = &play.workers[task->worker];

  if (worker->busy >= play.row->slots)
    return;
  worker->waiting--;
  worker->busy++;
  task->running = true;
  /* Requests differ, half to one and a half of the mean.  */
  task->left_ms = play.row->work_ms * (0.5 + draw (1001) / 1000.0);
  /* A stream's response begins with its work.  */
  if (play.row->requests > 1)
    report (task);
}

static void
arrive (struct task *task)
{
  struct worker *worker = &play.workers[task->worker];

  mq_fleet_request_started (play.hosts[task->host], task->worker, play.now_ms);
  if (play.now_ms >= START_MS && worker->busy >= play.row->slots
      && idle_worker_is_better (worker))
    play.waited_beside_idle++;
  worker->waiting++;
  task->arrived = true;
  task->began_ms = play.now_ms;
  start_if_free (task);
}

static void
end_request (struct task *task)
{
  struct worker *worker = &play.workers[task->worker];
  uint64_t took_ms = play.now_ms - task->began_ms;
  struct mq_speed_sample sample
      = { .route = 1,
          .time_us = took_ms * 1000U,
          .load = (worker->busy + worker->waiting) * MQ_FLEET_LOAD_FULL
                  / play.row->slots };

  report (task);
  mq_fleet_record_time (play.hosts[task->host], task->worker, &sample,
                        play.now_ms);
  mq_fleet_request_ended (play.hosts[task->host], task->worker,
                          MQ_OUTCOME_SUCCEEDED, play.now_ms);
  worker->busy--;
  if (task->began_ms >= START_MS)
    play.times[play.time_count++] = (uint32_t)took_ms;
  task->running = false;
  task->arrived = false;
  task->requests--;
  task->due_ms = play.now_ms + play.row->pause_ms;
}

static void
step_task (struct task *task)
{
  const struct worker *worker = &play.workers[task->worker];

  if (task->requests == 0)
    return;
  if (!task->arrived && play.now_ms >= task->due_ms)
    arrive (task);
  else if (task->arrived && !task->running)
    start_if_free (task);
  if (!task->running)
    return;
  task->left_ms -= STEP_MS * play.row->work_ms / request_ms (worker, 0);
  if (task->left_ms <= 0)
    end_request (task);
}

static void
begin_task (void)
{
  struct task *task = &play.tasks[play.task_count++];

  cr_assert_lt (play.task_count, TASKS_MAX);
  task->host = draw (HOSTS);
  task->worker = choose_worker (task->host);
  task->requests = play.row->requests;
  arrive (task);
}

static int
compare_times (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return x < y ? -1 : x > y;
}

static void
run_seed (const struct load_case *row, enum knowledge knowledge, uint64_t seed)
{
  set_up (row, knowledge, seed);
  for (play.now_ms = STEP_MS; play.now_ms < END_MS; play.now_ms += STEP_MS)
    {
      double expected = row->per_s * STEP_MS / 1000.0;

      set_speeds ();
      for (uint32_t i = 0; i < play.task_count; i++)
        step_task (&play.tasks[i]);
      while (expected > 0)
        {
          if ((double)draw (1000) / 1000.0 < expected)
            begin_task ();
          expected -= 1.0;
        }
    }
  tear_down ();
}

/* Adds up what SEEDS runs showed.  */
static struct result
run_case (const struct load_case *row, enum knowledge knowledge)
{
  struct result result = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      run_seed (row, knowledge, seed);
      qsort (play.times, play.time_count, sizeof play.times[0], compare_times);
      result.slow_ms += play.times[play.time_count * 9 / 10] / SEEDS;
      result.requests += play.time_count;
      result.waited_beside_idle += play.waited_beside_idle;
    }
  return result;
}

static void
check_case (const struct load_case *row)
{
  struct result best = run_case (row, ORACLE);
  struct result ours = run_case (row, row->knowledge);

  cr_expect_leq (ours.slow_ms * 10, best.slow_ms * 13,
                 "%s: %u ms, best possible %u ms", row->name, ours.slow_ms,
                 best.slow_ms);
  cr_expect_leq (ours.waited_beside_idle * 100, ours.requests,
                 "%s: %u of %u waited beside an idle worker", row->name,
                 ours.waited_beside_idle, ours.requests);
}

/* A third of the workers is 1.3 to 5 times slower, others after a while.  The
   slowest tenth of the requests takes at most 1.3 times as long as with full
   knowledge, and next to none waits for a slot beside an idle worker that
   would end it sooner.  Guards against balancing by count, which gives slow
   workers as much as fast ones.  */
Test (speed, slow_workers_get_less)
{
  static const struct load_case rows[] = {
    { "programs, speed told", TOLD, 32, 200.0, 4.0, 60.0, 5, 200 },
    { "programs, speed told, more", TOLD, 32, 200.0, 4.0, 100.0, 5, 200 },
    { "requests, speed told", TOLD, 6, 100.0, 0.0, 400.0, 1, 0 },
    { "requests, speed told, more", TOLD, 6, 100.0, 0.0, 800.0, 1, 0 },
    { "requests, speed measured", MEASURED, 6, 100.0, 0.0, 400.0, 1, 0 },
    { "requests, speed measured, more", MEASURED, 6, 100.0, 0.0, 800.0, 1, 0 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    check_case (&rows[i]);
}

/* The same for programs at workers that tell nothing.  */
Test (speed, slow_workers_that_tell_nothing_get_fewer_programs)
{
  static const struct load_case row
      = { "programs, speed measured", MEASURED, 32, 200.0, 4.0, 60.0, 5, 200 };

  check_case (&row);
}

/* Decisions of one kind on a fleet of workers, some loaded.  */
static uint64_t
choose (struct mq_fleet *fleet, bool home, uint64_t now_ms, uint64_t random)
{
  struct mq_fleet_query query = {
    .service = "s", .data_centre = "a", .now_ms = now_ms, .random = random
  };

  return home ? mq_fleet_choose_home (fleet, &query)
              : mq_fleet_choose (fleet, &query);
}

/* Workers that tell the usual speed, and take equally long, are chosen as if
   nothing was known of their speed.  */
Test (speed, equal_workers_are_chosen_by_load)
{
  static const struct load_case row = { .slots = 6 };
  struct mq_fleet *plain;
  struct mq_fleet *equal;

  set_up (&row, TOLD, 1);
  plain = play.hosts[0];
  equal = play.hosts[1];
  for (uint64_t now_ms = 1000; now_ms < 21000; now_ms += 10)
    {
      uint64_t random = mq_random_next (&play.random);
      uint32_t worker = draw (WORKERS);
      uint32_t running = draw (12);
      struct mq_speed_sample sample = { 1, 80000, running * 1000U / 6U };

      mq_fleet_record_load (plain, worker, running, 0, now_ms);
      mq_fleet_record_load (equal, worker, running, 0, now_ms);
      mq_fleet_record_speed (equal, worker, 100, now_ms);
      mq_fleet_record_time (equal, worker, &sample, now_ms);
      cr_assert_eq (choose (plain, false, now_ms + 5, random),
                    choose (equal, false, now_ms + 5, random));
      cr_assert_eq (choose (plain, true, now_ms + 5, random),
                    choose (equal, true, now_ms + 5, random));
    }
  tear_down ();
}

/* Usual requests at other workers.  */
static void
record_others (struct mq_speed_service *service, bool told, uint64_t now_ms)
{
  static struct mq_speed others[20];

  for (size_t i = 0; i < ROWS (others); i++)
    {
      struct mq_speed_sample sample = { 1, 80000 + draw (40000), 0 };

      if (told)
        mq_speed_record_told (&others[i], service, 100, now_ms);
      mq_speed_record_time (&others[i], service, &sample, now_ms);
    }
}

/**
 * struct factor_case - what one worker of several told or showed
 * @told: percent, 0 if the service tells nothing
 * @samples: its requests
 * @percent: their time, of that of requests at other workers
 * @age_ms: time since the last of them
 * @min: expected factor, thousandths
 */
struct factor_case
{
  const char *name;
  uint32_t told;
  uint32_t samples;
  uint32_t percent;
  uint32_t age_ms;
  uint32_t min;
  uint32_t max;
};

/* Guards against workers avoided for one slow request or for good.  */
Test (speed, factor_of_a_worker)
{
  static const struct factor_case cases[] = {
    { "told now", 250, 3, 250, 0, 2400, 2500 },
    { "told out of range", 10001, 0, 0, 0, 1000, 1000 },
    { "told far too little", 1, 30, 100, 0, 230, 1000 },
    { "told now, far too much", 10000, 0, 0, 0, 90000, 100000 },
    { "told far too much, times are usual", 10000, 30, 100, 0, 1000, 60000 },
    { "told a while ago", 250, 3, 250, 15000, 1300, 1700 },
    { "told long ago", 250, 3, 250, 60000, 1000, 1050 },
    { "one slow request", 0, 1, 500, 0, 1000, 3000 },
    { "a few slow requests", 0, 4, 500, 0, 3000, 5000 },
    { "many slow requests", 0, 30, 500, 0, 3500, 5000 },
    { "many slow requests a while ago", 0, 30, 500, 10000, 1500, 5000 },
    { "many slow requests long ago", 0, 30, 500, 61000, 1000, 1000 },
    { "usual requests", 0, 30, 100, 0, 950, 1050 },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_speed_service service = { 0 };
      struct mq_speed speed = { 0 };
      uint64_t now_ms = 1000;
      uint32_t factor;

      play.random = 3;
      for (uint32_t n = 0; n < 30; n++, now_ms += 10)
        record_others (&service, cases[i].told > 0, now_ms);
      for (uint32_t n = 0; n < cases[i].samples; n++, now_ms += 10)
        {
          uint32_t time_us = 100000 * cases[i].percent / 100;
          struct mq_speed_sample sample = { 1, time_us, 0 };

          mq_speed_record_told (&speed, &service, cases[i].told, now_ms);
          mq_speed_record_time (&speed, &service, &sample, now_ms);
          record_others (&service, cases[i].told > 0, now_ms);
        }
      if (cases[i].samples == 0)
        mq_speed_record_told (&speed, &service, cases[i].told, now_ms);
      factor = mq_speed_factor (&speed, &service, MQ_SPEED_REQUEST_MS,
                                now_ms + cases[i].age_ms);
      cr_expect (factor >= cases[i].min && factor <= cases[i].max, "%s: %u",
                 cases[i].name, factor);
    }
}
