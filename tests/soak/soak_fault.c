/* soak_fault.c - fault injection.

   Needs: soak.h, soak_check.h.  */

#include "soak.h"
#include "net/clock.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time from one SIGTERM of a release to the next, at most, with four hosts;
   less with more.  */
#define RELEASE_GAP_MAX_MS 800U

/* Sends SIGNAL, and records it for the checks.  */
static void
signal_host (struct host *host, int signal)
{
  struct process *process = host->process;

  if (signal == SIGKILL)
    process->killed = true;
  if (signal == SIGTERM && process->terminated_ms == 0)
    process->terminated_ms = mq_clock_ms ();
  if (signal == SIGCONT)
    process->resumed_ms = mq_clock_ms ();
  if (signal == SIGSTOP || signal == SIGCONT)
    process->paused = signal == SIGSTOP;
  host->paused = process->paused;
  kill (host->pid, signal);
}

void
soak_kill_host (struct host *host)
{
  if (host->pid != 0)
    signal_host (host, SIGKILL);
}

struct restore
{
  struct soak *soak;
  struct proxy *proxy;
  struct host *host;
  pid_t pid;
  int worker;
  bool llm;
};

static void
on_restore (void *data)
{
  struct restore *restore = data;
  struct soak *soak = restore->soak;

  if (restore->proxy != NULL)
    proxy_set (restore->proxy, PROXY_PASS);
  else if (restore->host != NULL)
    {
      if (restore->host->pid == restore->pid && restore->host->paused)
        {
          signal_host (restore->host, SIGCONT);
        }
    }
  else if (restore->worker >= 0)
    soak_register_worker (soak, restore->llm, restore->worker, "ready");
  else
    {
      rows_server_apply_delayed (soak->rows);
      rows_server_set_fault (soak->rows, ROWS_NO_FAULT);
      soak->table_fault = false;
    }
  talloc_free (restore);
}

static struct restore *
schedule_restore (struct soak *soak, uint32_t max_ms)
{
  struct restore *restore = talloc_zero (soak->ev, struct restore);

  restore->soak = soak;
  restore->worker = -1;
  mq_timer_add (soak->ev, soak->ev, 200 + soak_random_below (soak, max_ms),
                on_restore, restore);
  return restore;
}

static void
inject_proxy_fault (struct soak *soak, struct proxy *proxy, uint32_t max_ms)
{
  proxy_set (proxy, (enum proxy_mode) (1 + soak_random_below (soak, 5)));
  schedule_restore (soak, max_ms)->proxy = proxy;
}

/* Whether the process blocks or handles SIGTERM; until then any signal
   terminates it.  */
static bool
takes_signals (const struct host *host)
{
  static const char *const masks[] = { "\nSigBlk:", "\nSigCgt:" };
  char text[4096] = "";
  char path[32];
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)host->pid);
  file = fopen (path, "r");
  if (file == NULL)
    return false;
  text[fread (text, 1, sizeof text - 1, file)] = '\0';
  fclose (file);
  for (int i = 0; i < 2; i++)
    {
      const char *mask = strstr (text, masks[i]);

      if (mask != NULL
          && (strtoull (mask + strlen (masks[i]), NULL, 16)
              & (1ULL << (SIGTERM - 1)))
                 != 0)
        return true;
    }
  return false;
}

static void
inject_host_fault (struct soak *soak, struct host *host, uint32_t fault)
{
  static const int signals[] = { SIGKILL, SIGTERM, SIGHUP };
  struct restore *restore;

  if (host->pid == 0)
    return;
  soak->host_faults++;
  if (soak->releases_only && signals[fault % 3] == SIGKILL)
    fault = 1;
  if (!takes_signals (host))
    {
      if (soak->releases_only)
        return;
      fault = 0;
    }
  if (fault < 3)
    {
      signal_host (host, signals[fault]);
      return;
    }
  signal_host (host, SIGSTOP);
  restore = schedule_restore (soak, 2500);
  restore->host = host;
  restore->pid = host->pid;
}

static void
inject_table_fault (struct soak *soak)
{
  rows_server_set_fault (soak->rows,
                         (enum rows_fault) (1 + soak_random_below (soak, 7)));
  soak->table_fault = true;
  schedule_restore (soak, 2500);
}

static void
inject_worker_fault (struct soak *soak)
{
  bool llm = soak_random_below (soak, 2) == 0;
  struct worker_plan *plan = llm ? &soak->llm_plan : &soak->app_plan;
  struct restore *restore;

  plan->step
      = (enum worker_behaviour)soak_random_below (soak, WORKER_STALL + 1);
  plan->count = 1 + (int)soak_random_below (soak, 4);
  if (soak_random_below (soak, 3) != 0)
    return;
  restore = schedule_restore (soak, 2000);
  restore->llm = llm;
  restore->worker = (int)soak_random_below (soak, WORKERS);
  soak_register_worker (soak, llm, restore->worker,
                        soak_random_below (soak, 2) == 0 ? "draining"
                                                         : "gone");
}

/* Streams end in their middle, in series.  */
static void
inject_broken_streams (struct soak *soak)
{
  soak->llm_plan.step
      = soak_random_below (soak, 2) == 0 ? WORKER_STALL : WORKER_TRUNCATED;
  soak->llm_plan.count = 1 + (int)soak_random_below (soak, 12);
}

/* Some workers of the turns start again, at any version.  */
static void
inject_release (struct soak *soak)
{
  soak->llm_fault_ms = mq_clock_ms ();
  for (int i = 0; i < WORKERS; i++)
    if (soak_random_below (soak, 3) == 0)
      soak_release_worker (soak, i);
}

static uint32_t
release_gap_ms (struct soak *soak)
{
  uint32_t most = RELEASE_GAP_MAX_MS * 4U / (uint32_t)soak->host_count;

  return 1 + soak_random_below (soak, most + 1);
}

/* Terminates the next host of a release; the first ones are still stopping.
   The configuration changes beside it.  */
static void
on_release (void *data)
{
  struct soak *soak = data;
  int index = (soak->release_first + soak->release_left) % soak->host_count;
  struct host *host = &soak->hosts[index];

  soak->injected++;
  inject_host_fault (soak, host, 1);
  if (soak_random_below (soak, 3) == 0)
    soak_write_config (soak);
  if (--soak->release_left > 0 && soak->faults)
    mq_timer_add (soak->ev, soak->ev, release_gap_ms (soak), on_release, soak);
  else
    soak->release_left = 0;
}

void
soak_release_hosts (struct soak *soak)
{
  if (soak->release_left > 0)
    return;
  soak->release_first
      = (int)soak_random_below (soak, (uint32_t)soak->host_count);
  soak->release_left = soak->host_count;
  mq_timer_add (soak->ev, soak->ev, release_gap_ms (soak), on_release, soak);
}

void
soak_inject (struct soak *soak)
{
  struct host *host
      = &soak->hosts[soak_random_below (soak, (uint32_t)soak->host_count)];

  soak->injected++;
  switch (soak_random_below (soak, 18))
    {
    case 0:
    case 1:
    case 2:
      inject_host_fault (soak, host, soak_random_below (soak, 5));
      break;
    case 3:
      for (int i = 0; i < soak->host_count; i++)
        if (soak_random_below (soak, 4) != 0)
          inject_host_fault (soak, &soak->hosts[i], 0);
      break;
    case 4:
    case 5:
      inject_proxy_fault (soak, host->table, 2500);
      break;
    case 6:
      inject_table_fault (soak);
      break;
    case 7:
      inject_proxy_fault (
          soak, soak->llm_proxy[soak_random_below (soak, WORKERS)], 1500);
      break;
    case 8:
      inject_proxy_fault (
          soak, soak->app_proxy[soak_random_below (soak, WORKERS)], 1500);
      break;
    case 9:
      soak_write_config (soak);
      break;
    case 10:
      rows_server_compact (soak->rows);
      break;
    case 11:
      soak_release_hosts (soak);
      break;
    case 12:
    case 13:
      inject_broken_streams (soak);
      break;
    case 14:
    case 15:
      inject_release (soak);
      break;
    default:
      inject_worker_fault (soak);
      break;
    }
  soak_watch_faults (soak);
}

void
soak_end_faults (struct soak *soak)
{
  rows_server_apply_delayed (soak->rows);
  rows_server_set_fault (soak->rows, ROWS_NO_FAULT);
  soak->table_fault = false;
  soak->llm_plan.count = 0;
  soak->app_plan.count = 0;
  for (int i = 0; i < WORKERS; i++)
    {
      proxy_set (soak->llm_proxy[i], PROXY_PASS);
      proxy_set (soak->app_proxy[i], PROXY_PASS);
      soak_register_worker (soak, true, i, "ready");
      soak_register_worker (soak, false, i, "ready");
    }
  for (int i = 0; i < soak->host_count; i++)
    {
      struct host *host = &soak->hosts[i];

      proxy_set (host->table, PROXY_PASS);
      if (host->pid != 0 && host->paused)
        signal_host (host, SIGCONT);
    }
}
