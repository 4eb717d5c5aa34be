/* soak.c - seeded fault soak of router processes.  Injects overlapping faults
   and checks the routers' guarantees from what callers and workers observe.

   usage: soak ROUTERD SEED [SECONDS [HOSTS]]
   SOAK_PLANT injects a bug that the soak must detect: twice, refused, history,
   lost or overspend.
   Needs: soak.h.  */

#include "soak.h"
#include "net/clock.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TICK_MS 20U
#define FAULT_INTERVAL_MAX_MS 500U
/* Programs must finish again within this time after the faults end.  */
#define RECOVERY_TIMEOUT_MS 30000U
#define RECOVERY_PROGRAMS 40U
#define FAILURES_SHOWN 5

void
soak_fail (struct soak *soak, const char *what, const char *subject)
{
  if (soak->failures++ < FAILURES_SHOWN)
    printf ("soak: seed %lu: %s: %s\n", (unsigned long)soak->seed, what,
            subject);
}

uint32_t
soak_random_below (struct soak *soak, uint32_t bound)
{
  return mq_random_below (&soak->random, bound);
}

static void
on_tick (void *data)
{
  struct soak *soak = data;

  soak_watch_hosts (soak);
  mq_timer_add (soak->ev, soak->ev, TICK_MS, on_tick, soak);
}

static void
on_fault (void *data)
{
  struct soak *soak = data;

  if (!soak->faults)
    return;
  soak_inject (soak);
  mq_timer_add (soak->ev, soak->ev,
                50 + soak_random_below (soak, FAULT_INTERVAL_MAX_MS), on_fault,
                soak);
}

static void
on_timer (void *data)
{
  bool *expired = data;

  *expired = true;
}

static void
run_for (struct soak *soak, uint64_t ms)
{
  bool expired = false;

  mq_timer_add (soak->ev, soak->ev, ms, on_timer, &expired);
  while (!expired)
    tevent_loop_once (soak->ev);
}

/* Checks that programs finish after all faults have ended.  */
static void
check_recovery (struct soak *soak)
{
  uint64_t begin = mq_clock_ms ();
  uint32_t before;

  soak->faults = false;
  soak_end_faults (soak);
  /* Faults that end by themselves end within this time.  */
  run_for (soak, 3500);
  soak_end_faults (soak);
  before = soak->finished;
  while (soak->finished - before < RECOVERY_PROGRAMS
         && mq_clock_ms () - begin < RECOVERY_TIMEOUT_MS)
    run_for (soak, 50);
  if (soak->finished - before < RECOVERY_PROGRAMS)
    soak_fail (soak, "programs don't finish after all faults have ended", "");
}

/* Injects the bug that SOAK_PLANT names.  */
static void
inject_bug (void *data)
{
  struct soak *soak = data;

  if (strcmp (soak->plant, "lost") == 0)
    rows_server_lose_rows (soak->rows, "turn");
  if (strcmp (soak->plant, "overspend") == 0)
    rows_server_lose_rows (soak->rows, "budget");
  if (strcmp (soak->plant, "history") == 0)
    rows_server_overwrite_values (soak->rows, "turn");
  if (strcmp (soak->plant, "lost") == 0 || strcmp (soak->plant, "history") == 0
      || strcmp (soak->plant, "overspend") == 0)
    for (int i = 0; i < soak->host_count; i++)
      if (soak->hosts[i].pid != 0)
        kill (soak->hosts[i].pid, SIGKILL);
  mq_timer_add (soak->ev, soak->ev, 300, inject_bug, soak);
}

static void
remove_files (struct soak *soak)
{
  char path[96];

  if (soak->failures > 0)
    {
      printf ("soak: seed %lu: logs are in %s\n", (unsigned long)soak->seed,
              soak->directory);
      return;
    }
  for (int i = 0; i < soak->host_count; i++)
    {
      snprintf (path, sizeof path, "%s/%s.log", soak->directory,
                soak->hosts[i].name);
      unlink (path);
      unlink (soak->hosts[i].settings);
    }
  rmdir (soak->directory);
}

int
main (int argc, char **argv)
{
  struct soak *soak = talloc_zero (NULL, struct soak);
  uint32_t seconds = argc > 3 ? (uint32_t)strtoul (argv[3], NULL, 10) : 8;

  if (argc < 3)
    {
      fprintf (stderr, "usage: soak ROUTERD SEED [SECONDS [HOSTS]]\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  soak->binary = argv[1];
  soak->seed = strtoull (argv[2], NULL, 10);
  soak->random = soak->seed;
  soak->host_count = argc > 4 ? atoi (argv[4]) : 4;
  if (soak->host_count < 1 || soak->host_count > HOSTS_MAX)
    return 2;
  soak->plant = getenv ("SOAK_PLANT");
  soak->records = talloc_zero_array (soak, struct record, RECORDS_MAX);
  soak->ev = tevent_context_init (soak);
  snprintf (soak->directory, sizeof soak->directory, "/tmp/soak-XXXXXX");
  if (mkdtemp (soak->directory) == NULL)
    return 2;
  soak_create_site (soak);
  run_for (soak, 500);
  soak->program_count = PROGRAMS_MAX;
  for (int i = 0; i < soak->program_count; i++)
    soak_start_program (soak, i);
  on_tick (soak);
  soak->faults = true;
  on_fault (soak);
  if (soak->plant != NULL)
    inject_bug (soak);
  run_for (soak, (uint64_t)seconds * 1000);
  check_recovery (soak);
  soak_kill_hosts (soak);
  printf ("soak: seed %lu: %u faults, %u answers, %u refusals, %u broken, "
          "%u programs finished, %u spent, %u failed: %s\n",
          (unsigned long)soak->seed, soak->injected, soak->answers,
          soak->refusals, soak->aborted, soak->finished,
          soak->budget_exhausted, soak->failed,
          soak->failures == 0 ? "ok" : "FAILED");
  remove_files (soak);
  return soak->failures == 0 ? 0 : 1;
}
