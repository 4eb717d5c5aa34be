/* test_home.c - placement of programs by hosts that know little of the load.

   Needs: Criterion, fleet.h, id.h.  */

#include "core/router/fleet.h"
#include "core/id.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

enum
{
  HOSTS = 31,
  WORKERS_MAX = 64,
  PROGRAMS_MAX = 6000,
  STEP_MS = 10,
  QUIET_MS = 4000,
  END_MS = 10000,
  /* A program's turns and the time between them; each worker is as fast at any
     load.  */
  TURNS = 5,
  TURN_MS = 250,
  PAUSE_MS = 250
};

/**
 * struct load_case - programs that begin at all hosts, first few, then many
 * @quiet_per_s: programs a second until QUIET_MS
 * @burst_per_s: programs a second from then on
 * @busiest_percent: turns of the busiest worker, at most this part of the mean
 */
struct load_case
{
  const char *name;
  uint32_t workers;
  uint32_t slots;
  double quiet_per_s;
  double burst_per_s;
  uint32_t busiest_percent;
};

/**
 * struct program - a program that has begun
 * @worker: its home at its host
 * @due_ms: when its current turn or pause ends
 * @running: whether a turn runs
 */
struct program
{
  uint32_t host;
  uint32_t worker;
  uint32_t turns;
  uint64_t due_ms;
  bool running;
};

/**
 * struct play - state of one row
 * @running: turns that run, by worker
 * @served: turns that have run in the burst, by worker
 * @queued: turns of the burst that found no free slot
 */
struct play
{
  struct mq_fleet *hosts[HOSTS];
  struct program programs[PROGRAMS_MAX];
  uint32_t program_count;
  uint32_t running[WORKERS_MAX];
  uint32_t served[WORKERS_MAX];
  uint32_t queued;
  uint32_t slots;
  uint64_t random;
  uint64_t now_ms;
};

static struct play play;

static void
set_up (const struct load_case *row)
{
  char id[32];
  struct mq_fleet_member member = { .id = id,
                                    .service = "s",
                                    .address = "127.0.0.1:1",
                                    .data_centre = "a",
                                    .slots = row->slots };

  memset (&play, 0, sizeof play);
  play.random = 7;
  play.slots = row->slots;
  for (uint32_t host = 0; host < HOSTS; host++)
    {
      play.hosts[host] = mq_fleet_create (NULL);
      cr_assert_not_null (play.hosts[host]);
      for (uint32_t i = 0; i < row->workers; i++)
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

/* All hosts know the workers under the same handles.  */
static uint32_t
choose_worker (struct mq_fleet *fleet)
{
  struct mq_fleet_query query = { .service = "s",
                                  .data_centre = "a",
                                  .now_ms = play.now_ms,
                                  .random = mq_random_next (&play.random) };

  query.home = mq_fleet_choose_home (fleet, &query);
  query.has_key = true;
  return mq_fleet_choose (fleet, &query);
}

static void
begin_turn (struct program *program)
{
  struct mq_fleet *fleet = play.hosts[program->host];
  uint32_t running = ++play.running[program->worker];

  mq_fleet_request_started (fleet, program->worker, play.now_ms);
  mq_fleet_record_load (fleet, program->worker, running, 0, play.now_ms);
  if (play.now_ms >= QUIET_MS)
    {
      play.served[program->worker]++;
      play.queued += running > play.slots;
    }
  program->running = true;
  program->due_ms = play.now_ms + TURN_MS;
}

static void
begin_program (void)
{
  struct program *program = &play.programs[play.program_count++];

  cr_assert_leq (play.program_count, PROGRAMS_MAX);
  program->host = (uint32_t)(mq_random_next (&play.random) % HOSTS);
  program->worker = choose_worker (play.hosts[program->host]);
  program->turns = TURNS;
  begin_turn (program);
}

static void
end_turn (struct program *program)
{
  play.running[program->worker]--;
  mq_fleet_request_ended (play.hosts[program->host], program->worker,
                          MQ_OUTCOME_SUCCEEDED, play.now_ms);
  program->running = false;
  program->turns--;
  program->due_ms = play.now_ms + PAUSE_MS;
}

static void
step (double per_s)
{
  double expected = per_s * STEP_MS / 1000.0;

  for (uint32_t i = 0; i < play.program_count; i++)
    {
      struct program *program = &play.programs[i];

      if (program->turns == 0 || play.now_ms < program->due_ms)
        continue;
      if (program->running)
        end_turn (program);
      else
        begin_turn (program);
    }
  while (expected > 0)
    {
      double part = (double)(mq_random_next (&play.random) % 1000) / 1000.0;

      if (part < expected)
        begin_program ();
      expected -= 1.0;
    }
}

/* Burst after a quiet time: nearly every turn finds a free slot, and no worker
   runs much more than the others, as each request slows down the rest.  Guards
   against workers that no host sends a program to because no host has heard of
   them, and against hosts that all choose the same one.  */
Test (home, burst_is_spread_over_all_workers)
{
  static const struct load_case rows[] = {
    { "many slots, one in ten used before", 46, 32, 75.0, 225.0, 130 },
    { "many slots, nearly idle before", 46, 32, 20.0, 200.0, 130 },
    { "few slots, a third used before", 60, 8, 75.0, 150.0, 150 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      uint32_t most = 0;
      uint32_t unused = 0;
      uint64_t sum = 0;

      set_up (&rows[i]);
      for (play.now_ms = STEP_MS; play.now_ms < END_MS; play.now_ms += STEP_MS)
        step (play.now_ms < QUIET_MS ? rows[i].quiet_per_s
                                     : rows[i].burst_per_s);
      for (uint32_t w = 0; w < rows[i].workers; w++)
        {
          sum += play.served[w];
          most = play.served[w] > most ? play.served[w] : most;
          unused += play.served[w] == 0;
        }
      cr_expect_eq (unused, 0, "%s: %u workers ran nothing", rows[i].name,
                    unused);
      cr_expect_leq ((uint64_t)play.queued * 100, sum,
                     "%s: %u of %lu turns queued", rows[i].name, play.queued,
                     (unsigned long)sum);
      cr_expect_leq ((uint64_t)most * rows[i].workers * 100,
                     sum * rows[i].busiest_percent,
                     "%s: busiest %u of mean %.1f", rows[i].name, most,
                     (double)sum / rows[i].workers);
      tear_down ();
    }
}
