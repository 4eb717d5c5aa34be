/* soak_site.c - hosts, stand-ins and fault injection.

   Needs: soak.h.  */

#include "soak.h"
#include "net/clock.h"
#include "net/listen.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define RESTART_MS 300U
#define PORT_FIRST 12000U
#define PORT_COUNT 19000U

/* Returns a free port below the range of ephemeral ports, so that no outgoing
   connection takes it while its host restarts.  */
static uint16_t
free_port (void)
{
  static uint32_t next;

  if (next == 0)
    next = (uint32_t)getpid () * 61U;
  for (;;)
    {
      uint16_t port = (uint16_t)(PORT_FIRST + next++ % PORT_COUNT);
      char address[32];
      int fd;

      snprintf (address, sizeof address, "127.0.0.1:%u", port);
      fd = mq_listen_open (address, NULL);
      if (fd < 0)
        continue;
      close (fd);
      return port;
    }
}

static void
write_settings (struct soak *soak, struct host *host)
{
  FILE *file;

  host->settings
      = talloc_asprintf (soak, "%s/%s.ini", soak->directory, host->name);
  file = fopen (host->settings, "w");
  if (file == NULL)
    abort ();
  fprintf (file,
           "[router]\nhost = %s\ndata_centre = a\nhttp = 127.0.0.1:%u\n"
           "ready = 127.0.0.1:%u\npeer = 127.0.0.1:%u\n"
           "seeds = 127.0.0.1:%u\ntable = 127.0.0.1:%u\nstop_seconds = 5\n",
           host->name, host->http, host->ready, host->peer,
           soak->hosts[0].peer, proxy_port (host->table));
  fclose (file);
}

/* The kernel kills the host when the soak exits.  */
void
soak_start_host (struct soak *soak, int index)
{
  struct host *host = &soak->hosts[index];
  char log[96];
  pid_t pid;

  if (host->pid != 0)
    return;
  snprintf (log, sizeof log, "%s/%s.log", soak->directory, host->name);
  pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (freopen (log, "a", stdout) == NULL
          || freopen (log, "a", stderr) == NULL)
        _exit (126);
      execl (soak->binary, soak->binary, "--settings", host->settings,
             (char *)NULL);
      _exit (127);
    }
  host->pid = pid;
  host->paused = false;
  host->started_ms = mq_clock_ms ();
}

static void
on_restart (void *data)
{
  struct soak *soak = data;

  for (int i = 0; i < soak->host_count; i++)
    if (soak->hosts[i].pid == 0 && soak->hosts[i].restarts)
      soak_start_host (soak, i);
}

static void
schedule_restart (struct soak *soak)
{
  mq_timer_add (soak->ev, soak->ev,
                RESTART_MS + soak_random_below (soak, 4 * RESTART_MS),
                on_restart, soak);
}

void
soak_watch_hosts (struct soak *soak)
{
  for (int i = 0; i < soak->host_count; i++)
    {
      struct host *host = &soak->hosts[i];
      int status;

      if (host->pid == 0 || waitpid (host->pid, &status, WNOHANG) != host->pid)
        continue;
      if (WIFSIGNALED (status) && WTERMSIG (status) != SIGKILL)
        soak_fail (soak, "a host was terminated by a signal",
                   strsignal (WTERMSIG (status)));
      if (WIFEXITED (status) && WEXITSTATUS (status) != 0)
        soak_fail (soak, "a host exited with a failure", host->name);
      host->pid = 0;
      schedule_restart (soak);
    }
}

void
soak_kill_hosts (struct soak *soak)
{
  for (int i = 0; i < soak->host_count; i++)
    {
      soak->hosts[i].restarts = false;
      if (soak->hosts[i].pid == 0)
        continue;
      kill (soak->hosts[i].pid, SIGKILL);
      waitpid (soak->hosts[i].pid, NULL, 0);
      soak->hosts[i].pid = 0;
    }
}

void
soak_write_config (struct soak *soak)
{
  static const char route[]
      = "{\"name\":\"%s\",\"host\":\"h\",\"prefix\":\"/%s/\",\"kind\":\"%s\","
        "\"timeoutMs\":%u,\"sloMs\":50,\"priority\":1,\"service\":\"%s\","
        "\"attempts\":2,\"retain\":%s,\"retainS\":60,\"resumable\":%s,"
        "\"gapAimMs\":50,\"sticky\":true}";
  uint32_t timeout = 2000 + soak_random_below (soak, 1500);
  char *routes[4];
  char *text;

  routes[0] = talloc_asprintf (soak->ev, route, "call", "call", "idempotent",
                               timeout, "app", "false", "false");
  routes[1]
      = talloc_asprintf (soak->ev, route, "once", "once", "non_idempotent",
                         timeout, "app", "false", "false");
  routes[2] = talloc_asprintf (soak->ev, route, "turn", "turn", "streaming",
                               timeout, "llm", "false", "true");
  routes[3] = talloc_asprintf (soak->ev, route, "kept", "kept", "streaming",
                               timeout, "llm", "true", "false");
  text = talloc_asprintf (
      soak->ev,
      "{\"version\":%d,\"routes\":[%s,%s,%s,%s],\"services\":[{\"name\":"
      "\"llm\",\"maxConns\":100,\"engine\":{\"batchSize\":64,"
      "\"tokensPerEvent\":2}},{\"name\":\"app\",\"maxConns\":100}],"
      "\"limits\":{}}",
      ++soak->config_version, routes[0], routes[1], routes[2], routes[3]);
  rows_server_put (soak->rows, "op", "", "config", text);
  talloc_free (text);
  for (int i = 0; i < 4; i++)
    talloc_free (routes[i]);
}

void
soak_register_worker (struct soak *soak, bool llm, int index,
                      const char *state)
{
  struct worker_server *worker = llm ? soak->llm[index] : soak->app[index];
  struct proxy *proxy = llm ? soak->llm_proxy[index] : soak->app_proxy[index];
  char text[256];

  snprintf (text, sizeof text,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"a\","
            "\"batchSize\":64,\"state\":\"%s\"}",
            llm ? "llm" : "app", proxy_port (proxy), state);
  rows_server_put (soak->rows, "servers", "", worker_server_id (worker),
                   strcmp (state, "gone") == 0 ? NULL : text);
}

static void
make_worker (struct soak *soak, bool llm, int index)
{
  struct worker_server **worker = llm ? &soak->llm[index] : &soak->app[index];
  struct proxy **proxy
      = llm ? &soak->llm_proxy[index] : &soak->app_proxy[index];
  char id[16];

  snprintf (id, sizeof id, "%s-%d", llm ? "llm" : "app", index);
  *worker = worker_server_create (soak->ev, soak->ev, id,
                                  llm ? &soak->llm_plan : &soak->app_plan);
  worker_server_set_run_handler (*worker, soak_on_worker_request, soak);
  *proxy = proxy_create (soak->ev, soak->ev, worker_server_port (*worker));
  soak_register_worker (soak, llm, index, "ready");
}

void
soak_create_site (struct soak *soak)
{
  soak->rows = rows_server_create (soak->ev, soak->ev);
  soak_write_config (soak);
  for (int i = 0; i < WORKERS; i++)
    {
      make_worker (soak, true, i);
      make_worker (soak, false, i);
    }
  for (int i = 0; i < soak->host_count; i++)
    {
      struct host *host = &soak->hosts[i];

      snprintf (host->name, sizeof host->name, "host-%d", i);
      host->http = free_port ();
      host->ready = free_port ();
      host->peer = free_port ();
      host->restarts = true;
      host->table = proxy_create (soak->ev, soak->ev,
                                  rows_server_port (soak->rows, 0));
    }
  for (int i = 0; i < soak->host_count; i++)
    {
      write_settings (soak, &soak->hosts[i]);
      soak_start_host (soak, i);
    }
}

/* Faults.  */

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
          restore->host->paused = false;
          kill (restore->pid, SIGCONT);
        }
    }
  else if (restore->worker >= 0)
    soak_register_worker (soak, restore->llm, restore->worker, "ready");
  else
    {
      rows_server_apply_delayed (soak->rows);
      rows_server_set_fault (soak->rows, ROWS_NO_FAULT);
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

static void
inject_host_fault (struct soak *soak, struct host *host, uint32_t fault)
{
  static const int signals[] = { SIGKILL, SIGTERM, SIGHUP };
  struct restore *restore;

  if (host->pid == 0)
    return;
  if (mq_clock_ms () - host->started_ms < SIGNAL_GRACE_MS)
    fault = 0;
  if (fault < 3)
    {
      kill (host->pid, signals[fault]);
      return;
    }
  kill (host->pid, SIGSTOP);
  host->paused = true;
  restore = schedule_restore (soak, 2500);
  restore->host = host;
  restore->pid = host->pid;
}

static void
inject_table_fault (struct soak *soak)
{
  rows_server_set_fault (soak->rows,
                         (enum rows_fault) (1 + soak_random_below (soak, 7)));
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

void
soak_inject (struct soak *soak)
{
  struct host *host
      = &soak->hosts[soak_random_below (soak, (uint32_t)soak->host_count)];

  soak->injected++;
  switch (soak_random_below (soak, 12))
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
    default:
      inject_worker_fault (soak);
      break;
    }
}

void
soak_end_faults (struct soak *soak)
{
  rows_server_apply_delayed (soak->rows);
  rows_server_set_fault (soak->rows, ROWS_NO_FAULT);
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
        kill (host->pid, SIGCONT);
      host->paused = false;
    }
}
