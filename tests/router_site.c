/* router_site.c - routers with stand-ins for the platform's table and workers,
   in one event loop.

   Needs: router_site.h, http_peer.h, router_state.h, fleet_state.h, clock.h,
   stepped_clock.h, Criterion.  */

#include "router_site.h"
#include "core/router/fleet_state.h"
#include "http_peer.h"
#include "net/clock.h"
#include "router/router_state.h"
#include "stepped_clock.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS 3000U
#define POLLS_MAX 4000

static void
on_tick (struct tevent_context *ev, struct tevent_timer *timer,
         struct timeval now, void *data)
{
  bool *done = data;

  (void)ev;
  (void)timer;
  (void)now;
  *done = true;
}

void
edge_run_for (struct edge_site *site, uint32_t ms)
{
  bool done = false;

  if (stepped_clock_is_used ())
    {
      stepped_clock_run (site->ev, ms);
      return;
    }
  tevent_add_timer (site->ev, site->ev,
                    tevent_timeval_current_ofs (ms / 1000, ms % 1000 * 1000),
                    on_tick, &done);
  while (!done)
    tevent_loop_once (site->ev);
}

static char *
route_json (struct edge_site *site, const char *prefix, const char *kind,
            uint32_t timeout_ms, const char *service, const char *more)
{
  return talloc_asprintf (
      site,
      "{\"name\":\"r%s\",\"host\":\"h.example\",\"prefix\":\"%s\","
      "\"kind\":\"%s\",\"timeoutMs\":%u,\"sloMs\":50,\"priority\":1,"
      "\"service\":\"%s\",\"attempts\":2%s}",
      prefix, prefix, kind, timeout_ms, service, more);
}

/* Additional routes, each preceded by a comma.  */
static char *
extra_routes (struct edge_site *site, uint32_t timeout_ms)
{
  char *text = talloc_strdup (site, "");

  for (uint32_t i = 0; i < site->extra_routes; i++)
    {
      char prefix[32];
      char *route;

      snprintf (prefix, sizeof prefix, "/more-%u/", i);
      route = route_json (site, prefix, "idempotent", timeout_ms, "app", "");
      text = talloc_asprintf_append_buffer (text, ",%s", route);
      talloc_free (route);
    }
  return text;
}

char *
edge_config_text (struct edge_site *site, uint32_t timeout_ms,
                  const char *extra)
{
  char *call
      = route_json (site, "/call/", "idempotent", timeout_ms, "app", "");
  char *once
      = route_json (site, "/once/", "non_idempotent", timeout_ms, "app", "");
  char *turn = route_json (site, "/turn/", "streaming", timeout_ms, "llm",
                           ",\"resumable\":true,\"sticky\":true");
  char *kept = route_json (site, "/kept/", "streaming", timeout_ms, "llm",
                           ",\"retain\":true,\"retainS\":60,\"sticky\":true");
  char *open = route_json (site, "/open/", "idempotent", timeout_ms, "app",
                           ",\"public\":true");
  char *organisations
      = site->organisations == NULL
            ? talloc_strdup (site, "")
            : talloc_asprintf (site, ",\"tenants\":%s", site->organisations);
  char *more = extra == NULL ? NULL
                             : route_json (site, extra, "idempotent",
                                           timeout_ms, "app", "");

  const char *health = site->without_health_check
                           ? ""
                           : "\"healthPath\":\"" WORKER_HEALTH_PATH "\",";

  return talloc_asprintf (
      site,
      "{\"version\":%d,\"routes\":[%s,%s,%s,%s,%s%s%s%s],\"services\":["
      "{\"name\":\"llm\",\"maxConns\":100,%s\"engine\":{\"batchSize\":4,"
      "\"kvCapacity\":1000,\"tokensPerEvent\":2}},"
      "{\"name\":\"app\",%s\"maxConns\":100}],"
      "\"limits\":{\"maxHeaderBytes\":2048,\"maxBodyBytes\":%u,"
      "\"headerTimeoutMs\":300,\"idleTimeoutMs\":%u}%s}",
      ++site->config_version, call, once, turn, kept, open,
      more == NULL ? "" : ",", more == NULL ? "" : more,
      extra_routes (site, timeout_ms), health, health, site->body_bytes,
      site->idle_ms, organisations);
}

void
edge_configure (struct edge_site *site, uint32_t timeout_ms, const char *extra)
{
  char *text = edge_config_text (site, timeout_ms, extra);

  rows_server_put (site->rows, "op", "", "config", text);
}

void
edge_list_worker (struct edge_site *site, const struct worker_server *worker,
                  const char *service, const char *state)
{
  char *text = talloc_asprintf (
      site,
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"a\","
      "\"version\":\"%s\",\"batchSize\":4,\"state\":\"%s\",\"seq\":1}",
      service, worker_server_port (worker), worker_server_version (worker),
      state);

  rows_server_put (site->rows, "servers", "", worker_server_id (worker), text);
  talloc_free (text);
}

void
edge_unlist_worker (struct edge_site *site, const struct worker_server *worker)
{
  rows_server_put (site->rows, "servers", "", worker_server_id (worker), NULL);
}

void
edge_keep_one_worker (struct edge_site *site)
{
  for (int i = 1; i < EDGE_WORKERS; i++)
    {
      edge_unlist_worker (site, site->llm[i]);
      edge_unlist_worker (site, site->app[i]);
    }
  edge_run_for (site, 30);
}

struct edge_site *
edge_create (void)
{
  struct edge_site *site = talloc_zero (NULL, struct edge_site);

  site->ev = tevent_context_init (site);
  site->clean_after_ms = UINT32_MAX;
  site->idle_ms = 400;
  site->body_bytes = 4096;
  site->rows = rows_server_create (site, site->ev);
  for (int i = 0; i < EDGE_WORKERS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "llm-%d", i);
      site->llm[i]
          = worker_server_create (site, site->ev, id, &site->llm_plan);
      snprintf (id, sizeof id, "app-%d", i);
      site->app[i]
          = worker_server_create (site, site->ev, id, &site->app_plan);
      edge_list_worker (site, site->llm[i], "llm", "ready");
      edge_list_worker (site, site->app[i], "app", "ready");
    }
  edge_configure (site, TIMEOUT_MS, NULL);
  edge_start (site, 0);
  return site;
}

void
edge_start (struct edge_site *site, int index)
{
  struct mq_router_settings *settings = &site->settings[index];
  struct mq_error error = { .type = MQ_ERR_NONE };

  *settings = (struct mq_router_settings){
    .host = talloc_asprintf (site, "edge-%d", index),
    .data_centre = "a",
    .http = "127.0.0.1:0",
    .ready = "127.0.0.1:0",
    .peer = "127.0.0.1:0",
    .seeds = site->seeds[index] == NULL ? "" : site->seeds[index],
    .table
    = talloc_asprintf (site, "127.0.0.1:%u",
                       rows_server_port (site->rows, index % ROWS_ENDPOINTS)),
    .memory_mb = 64,
    .stop_ms = 2000,
    .drain_ms = 2000,
    .settle_ms = 200,
    .clean_after_ms = site->clean_after_ms,
  };
  site->routers[index] = mq_router_create (site, site->ev, settings, &error);
  cr_assert_not_null (site->routers[index], "%s", error.subject);
  EDGE_WAIT (site, mq_router_is_ready (site->routers[index]));
}

void
edge_list_hosts (struct edge_site *site)
{
  size_t running = 0;

  for (int i = 0; i < EDGE_ROUTERS_MAX; i++)
    running += site->routers[i] != NULL ? 1U : 0U;
  EDGE_WAIT (site, rows_server_row_count (site->rows, "host") == running);
  for (int i = 0; i < EDGE_ROUTERS_MAX; i++)
    {
      struct mq_router *router = site->routers[i];

      if (router == NULL)
        continue;
      router->hosts_ms = 0;
      EDGE_WAIT (site, mq_router_host_count (router) == running - 1);
    }
}

static const struct worker_run *
find_ready_conn_of_peer (const struct worker_server *worker, const char *id)
{
  const struct worker_run *found = NULL;

  for (int k = 0; k < worker_server_run_count (worker) && k < WORKER_RUNS_MAX;
       k++)
    if (strcmp (worker_server_get_run (worker, k)->id, id) == 0)
      found = worker_server_get_run (worker, k);
  return found;
}

const struct worker_run *
edge_find_run (const struct edge_site *site, const char *id)
{
  const struct worker_run *found = NULL;

  for (int i = 0; i < EDGE_WORKERS && found == NULL; i++)
    {
      found = find_ready_conn_of_peer (site->llm[i], id);
      if (found == NULL)
        found = find_ready_conn_of_peer (site->app[i], id);
    }
  return found;
}

int
edge_run_count (const struct edge_site *site, const char *id)
{
  int runs = 0;

  for (int i = 0; i < EDGE_WORKERS; i++)
    for (int k = 0; k < worker_server_run_count (site->llm[i]); k++)
      if (strcmp (worker_server_get_run (site->llm[i], k)->id, id) == 0)
        runs++;
  return runs;
}

void
edge_set_seed (struct edge_site *site, int index, int other)
{
  site->seeds[index]
      = talloc_strdup (site, mq_router_peer_address (site->routers[other]));
}

void
edge_kill (struct edge_site *site, int index)
{
  cr_assert_eq (mq_router_log_unknown_keys (site->routers[index]), 0);
  mq_router_destroy (site->routers[index]);
  site->routers[index] = NULL;
}

void
edge_destroy (struct edge_site *site)
{
  for (int i = 0; i < EDGE_ROUTERS_MAX; i++)
    if (site->routers[i] != NULL)
      edge_kill (site, i);
  rows_server_destroy (site->rows);
  talloc_free (site);
}

void
edge_call (struct edge_site *site, struct edge_call *call, int index,
           const char *text)
{
  call->closed = false;
  call->answer[0] = '\0';
  call->fd = raw_open (mq_router_http_port (site->routers[index]));
  raw_send (call->fd, text, strlen (text));
}

/* Counts the complete responses in TEXT.  */
static int
count_responses (const char *text)
{
  int count = 0;
  const char *at = text;

  while ((at = strstr (at, "HTTP/1.1 ")) != NULL)
    {
      const char *body = strstr (at, "\r\n\r\n");
      const char *length = strstr (at, "Content-Length: ");
      bool chunked;

      if (body == NULL)
        return count;
      body += 4;
      chunked = length == NULL || length > body;
      if (chunked && strstr (at, "\r\n0\r\n\r\n") == NULL
          && strncmp (body, "0\r\n\r\n", 5) != 0)
        return count;
      if (!chunked && strlen (body) < strtoul (length + 16, NULL, 10))
        return count;
      count++;
      at = body;
    }
  return count;
}

void
edge_wait_responses (struct edge_site *site, struct edge_call *call, int count)
{
  for (int i = 0; i < POLLS_MAX; i++)
    {
      call->closed = raw_read (call->fd, call->answer, sizeof call->answer);
      if (call->closed || count_responses (call->answer) >= count)
        return;
      edge_run_for (site, 5);
    }
  cr_assert_fail ("no answer; so far: %s", call->answer);
}

void
edge_close (struct edge_call *call)
{
  raw_close (call->fd, false);
}

struct edge_call *
edge_open (struct edge_site *site, int index, const char *text)
{
  struct edge_call *call = talloc_zero (site, struct edge_call);

  edge_call (site, call, index, text);
  return call;
}

void
edge_send (struct edge_call *call, const char *text)
{
  cr_assert_eq (raw_send (call->fd, text, strlen (text)), strlen (text));
}

bool
edge_is_closed (struct edge_call *call)
{
  return raw_read (call->fd, call->answer, sizeof call->answer);
}

bool
edge_has_status (const struct edge_call *call, const char *status)
{
  return strncmp (call->answer, "HTTP/1.1 ", 9) == 0
         && strncmp (call->answer + 9, status, 3) == 0;
}

int
edge_ejected_count (const struct edge_site *site, int index)
{
  const struct mq_fleet *fleet = site->routers[index]->fleet;
  int count = 0;

  for (size_t i = 0; i < fleet->count; i++)
    count += fleet->entries[i].ejected_until_ms > mq_clock_ms ();
  return count;
}

int
edge_request (struct edge_site *site, struct edge_call *call, int index,
              const char *text)
{
  edge_call (site, call, index, text);
  edge_wait_responses (site, call, 1);
  edge_close (call);
  return strncmp (call->answer, "HTTP/1.1 ", 9) == 0 ? atoi (call->answer + 9)
                                                     : 0;
}

/* Requests PATH from the readiness and metrics endpoint.  */
static void
request_ready_port (struct edge_site *site, struct edge_call *call, int index,
                    const char *path)
{
  char text[128];

  snprintf (text, sizeof text, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
  call->closed = false;
  call->answer[0] = '\0';
  call->fd = raw_open (mq_router_ready_port (site->routers[index]));
  raw_send (call->fd, text, strlen (text));
  edge_wait_responses (site, call, 1);
  edge_close (call);
}

int
edge_ready_status (struct edge_site *site, int index)
{
  static struct edge_call call;

  request_ready_port (site, &call, index, "/api/readyz");
  return atoi (call.answer + 9);
}

long
edge_counter (struct edge_site *site, int index, const char *name)
{
  static struct edge_call call;
  char key[128];
  const char *at;

  snprintf (key, sizeof key, "\nmimosa_router_%s ", name);
  request_ready_port (site, &call, index, "/metrics");
  at = strstr (call.answer, key);
  return at == NULL ? -1 : atol (at + strlen (key));
}
