/* case.c - an organisation's limit is lowered, and the machine that issues its
   permits is lost at the same moment.  */

#include "../kit-2/kit.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUTERS 4
/* The machine that comes in place of the lost one, 1 s later.  */
#define REPLACEMENT ROUTERS
#define REPLACED_AFTER_MS 1000
#define WORKERS 4
#define LOAD_PER_S 180
#define WARM_MS 14000
#define AFTER_MS 22000
/* Figures of the sheet: demands/LATER.md, Lianhua.  */
#define WINDOW_MS 5000
#define APPLY_MS 3000
#define CONTACT_MS 4000
#define QUOTA_OVER 0.1
#define QUOTA_SLACK 20
#define NEW_RATE 10
#define NEW_BURST 5

#define CONFIG(version, rate, burst)                                          \
  "{\"version\":" #version ",\"routes\":["                                    \
  "{\"name\":\"pole-lookup\",\"host\":\"site.example\",\"prefix\":\"/look/\"," \
  "\"kind\":\"idempotent\",\"timeoutMs\":1200,\"sloMs\":150,"                 \
  "\"service\":\"work-orders\",\"attempts\":2}],"                             \
  "\"services\":[{\"name\":\"work-orders\"}],"                                \
  "\"tenants\":[{\"name\":\"north\",\"apiKeys\":[\"key-north\"],"             \
  "\"ratePerS\":" #rate ",\"burst\":" #burst "}],"                            \
  "\"limits\":{\"idleTimeoutMs\":15000}}"
#define EXPAND(version, rate, burst) CONFIG (version, rate, burst)

struct run
{
  uint64_t sent_ms;
  uint64_t ran_ms;
};

#define RUNS_MAX 20000
static struct run runs[RUNS_MAX];
static size_t run_count;
static uint64_t statuses[1000];
static uint64_t sent_at[RUNS_MAX];
static char ran_at[RUNS_MAX][48];
static bool sending;

/* The worker's part.  */
static void
on_worker (struct raw_link *link, const struct raw_request *request,
           void *user)
{
  const char *id = mq_http_head_find (request->head, "X-Request-Id");
  const char *instance
      = mq_http_head_find (request->head, "X-Expect-Instance");
  const char *tenant = mq_http_head_find (request->head, "X-Tenant");
  char fields[256];
  size_t serial;

  if (instance != NULL && strcmp (instance, user) != 0)
    {
      raw_link_respond (link, 421, "X-Not-Run: 1\r\n", "", 0);
      return;
    }
  if (id == NULL || strncmp (request->head->target, "/look/", 6) != 0)
    {
      raw_link_respond (link, 200, "", "", 0);
      return;
    }
  serial = strtoull (id + 2, NULL, 16) % RUNS_MAX;
  if (run_count < RUNS_MAX)
    runs[run_count++] = (struct run){ sent_at[serial], kit_now () };
  snprintf (ran_at[serial], sizeof ran_at[serial], "%.3f at %s for %s",
            (double)kit_now () / 1000.0, (const char *)user,
            tenant == NULL ? "nobody" : tenant);
  snprintf (fields, sizeof fields,
            "X-Request-Id: %s\r\nX-Server-Stamp: stamp-%s\r\n", id, id);
  raw_link_respond (link, 200, fields, "ok", 2);
}

static void
on_answer (struct kit_request *request)
{
  const char *ran = ran_at[strtoull (request->id + 2, NULL, 16) % RUNS_MAX];

  kit_log ("%s sent %.3f to %s, run %s, answered %d", request->id,
           (double)request->sent_ms / 1000.0,
           kit.routers[request->router].host, ran[0] == '\0' ? "never" : ran,
           request->status);
  if (request->status > 0 && request->status < 1000)
    statuses[request->status]++;
  else
    statuses[0]++;
}

static void
on_tick (void *data)
{
  static int next;
  struct kit_request *request;

  (void)data;
  if (!sending)
    return;
  mq_timer_add (kit.ev, kit.ev, 1000 / LOAD_PER_S, on_tick, NULL);
  do
    next = (next + 1) % (ROUTERS + 1);
  while (!kit.routers[next].is_up);
  request = kit_send (next, NULL, "GET /look/pole",
                      "X-Key: key-north\r\nX-Deadline-Ms: 1200\r\n", "",
                      on_answer, NULL);
  sent_at[strtoull (request->id + 2, NULL, 16) % RUNS_MAX] = request->sent_ms;
}

/* Most runs in a window that begins at FROM or later.  */
static size_t
most_in_window (uint64_t from, uint64_t *begin)
{
  size_t most = 0;

  for (uint64_t at = from; at + WINDOW_MS <= kit_now (); at += 10)
    {
      size_t count = 0;

      for (size_t i = 0; i < run_count; i++)
        if (runs[i].sent_ms >= at && runs[i].ran_ms < at + WINDOW_MS)
          count++;
      if (count > most)
        {
          most = count;
          *begin = at;
        }
    }
  return most;
}

static int
find_issuer (void)
{
  uint64_t issued[KIT_ROUTERS_MAX];
  int best = 0;

  kit_read_counter ("mimosa_router_permits_issued", issued);
  for (int i = 0; i < ROUTERS; i++)
    {
      kit_log ("%s issued %lu permits", kit.routers[i].host,
               (unsigned long)issued[i]);
      if (issued[i] > issued[best])
        best = i;
    }
  return best;
}

int
main (int argc, char **argv)
{
  static char names[WORKERS][16];
  double allowed = (NEW_RATE * (WINDOW_MS / 1000.0) + NEW_BURST)
                       * (1.0 + QUOTA_OVER)
                   + QUOTA_SLACK;
  uint64_t begin = 0;
  uint64_t strict_begin = 0;
  uint64_t acknowledged;
  uint64_t binds;
  size_t most;
  size_t strict;
  int issuer;

  kit_start (argc > 1 ? argv[1] : ".");
  kit_write_config (EXPAND (1, 200, 50));
  for (int i = 0; i < WORKERS; i++)
    {
      struct raw_server *worker;

      snprintf (names[i], sizeof names[i], "worker-%d", i);
      worker = raw_server_create (kit.ev, kit.ev, on_worker, NULL, names[i]);
      kit_register_worker (names[i], "work-orders", raw_server_port (worker),
                           "ready");
    }
  kit_start_routers (ROUTERS + 1, ROUTERS,
                     "memory_mb = 128\nstop_seconds = 8\ndrain_ms = 3000\n"
                     "limit_window_seconds = 5\nlimit_over = 0.1\n"
                     "limit_slack = 20\n");
  kit_run (3000);
  sending = true;
  on_tick (NULL);
  kit_run (WARM_MS);
  if (statuses[200] < LOAD_PER_S * 5)
    {
      kit_log ("the site does not serve: %lu answers",
               (unsigned long)statuses[200]);
      kit_exit (2);
    }
  issuer = find_issuer ();
  memset (statuses, 0, sizeof statuses);
  kit_write_config (EXPAND (2, NEW_RATE, NEW_BURST));
  acknowledged = kit_now ();
  binds = acknowledged + APPLY_MS;
  if (kit.trouble)
    {
      kit_kill_router (issuer);
      kit_run (REPLACED_AFTER_MS);
      kit_start_router (REPLACEMENT);
      if (kit_now () + CONTACT_MS > binds)
        binds = kit_now () + CONTACT_MS;
    }
  kit_run (AFTER_MS);
  sending = false;
  kit_run (1500);
  most = most_in_window (binds, &begin);
  strict = most_in_window (binds + WINDOW_MS, &strict_begin);
  kit_log ("answers since the change: 200: %lu, 429: %lu, 503: %lu, none: %lu",
           (unsigned long)statuses[200], (unsigned long)statuses[429],
           (unsigned long)statuses[503], (unsigned long)statuses[0]);
  kit_log ("all machines are in touch, applyMs past the acknowledgement, from "
           "%.2f s after it on",
           (double)(binds - acknowledged) / 1000.0);
  kit_log ("allowed in 5 s: %.1f; most ran in a window that begins then or "
           "later: %zu (%.2f s after the acknowledgement); one window later: "
           "%zu (%.2f s)",
           allowed, most,
           begin == 0 ? 0.0 : (double)(begin - acknowledged) / 1000.0, strict,
           strict_begin == 0 ? 0.0
                             : (double)(strict_begin - acknowledged) / 1000.0);
  printf ("allowed %.1f, most %zu, one window later %zu\n", allowed, most,
          strict);
  fflush (stdout);
  kit_exit ((double)most > allowed ? 1 : 0);
}
