/* soak_config.c - the configuration that the stand-in of the table serves.

   Needs: soak.h.  */

#include "soak.h"
#include <stdio.h>
#include <string.h>

/* A configuration is as likely to be short as to have this many routes that no
   caller asks for, or up to twice as many.  */
#define EXTRA_ROUTES 1000U

const struct org_limit soak_org_limits[ORGS] = {
  { 0, 0 },   { 0, 0 },   { 0, 0 },   { 60, 30 },
  { 40, 20 }, { 20, 20 }, { 20, 10 }, { 5, 5 },
};

static char *
append_route (char *text, const char *name, const char *kind,
              uint32_t timeout_ms, const char *service, bool retain,
              bool resumable)
{
  return talloc_asprintf_append_buffer (
      text,
      "%s{\"name\":\"%s\",\"host\":\"h\",\"prefix\":\"/%s/\",\"kind\":\"%s\","
      "\"timeoutMs\":%u,\"sloMs\":50,\"priority\":1,\"service\":\"%s\","
      "\"attempts\":2,\"retain\":%s,\"retainS\":60,\"resumable\":%s,"
      "\"gapAimMs\":50,\"sticky\":true}",
      text[0] == '\0' ? "" : ",", name, name, kind, timeout_ms, service,
      retain ? "true" : "false", resumable ? "true" : "false");
}

static char *
make_routes (struct soak *soak, uint32_t timeout_ms, uint32_t extra)
{
  char *text = talloc_strdup (soak->ev, "");

  text = append_route (text, "call", "idempotent", timeout_ms, "app", false,
                       false);
  text = append_route (text, "once", "non_idempotent", timeout_ms, "app",
                       false, false);
  text = append_route (text, "turn", "streaming", timeout_ms, "llm", false,
                       true);
  text = append_route (text, "kept", "streaming", timeout_ms, "llm", true,
                       false);
  for (uint32_t i = 0; i < extra; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "extra-%u", i);
      text = append_route (text, name, "idempotent", timeout_ms, "app", false,
                           false);
    }
  return text;
}

static char *
make_orgs (struct soak *soak)
{
  char *text = talloc_strdup (soak->ev, "");
  bool unlimited = soak->plant != NULL && strcmp (soak->plant, "limit") == 0;

  for (int i = 0; i < ORGS; i++)
    {
      text = talloc_asprintf_append_buffer (
          text,
          "%s{\"name\":\"org-%d\",\"apiKeys\":[\"key-%d-0\",\"key-%d-1\"]",
          i == 0 ? "" : ",", i, i, i);
      if (soak_org_limits[i].rate > 0 && !unlimited)
        text = talloc_asprintf_append_buffer (
            text, ",\"ratePerS\":%u,\"burst\":%u", soak_org_limits[i].rate,
            soak_org_limits[i].burst);
      text = talloc_asprintf_append_buffer (text, "}");
    }
  return text;
}

void
soak_write_config (struct soak *soak)
{
  uint32_t timeout_ms = ROUTE_TIMEOUT_MIN_MS + soak_random_below (soak, 1500);
  uint32_t extra = soak_random_below (soak, 2) == 0
                       ? 0
                       : EXTRA_ROUTES + soak_random_below (soak, EXTRA_ROUTES);
  char *routes = make_routes (soak, timeout_ms, extra);
  char *orgs = make_orgs (soak);
  char *text = talloc_asprintf (
      soak->ev,
      "{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"llm\","
      "\"healthPath\":\"" WORKER_HEALTH_PATH "\",\"maxConns\":100,"
      "\"engine\":{\"batchSize\":64,\"tokensPerEvent\":2}},"
      "{\"name\":\"app\",\"healthPath\":\"" WORKER_HEALTH_PATH
      "\",\"maxConns\":100}],\"limits\":{},\"tenants\":[%s]}",
      ++soak->config_version, routes, orgs);

  rows_server_put (soak->rows, "op", "", "config", text);
  talloc_free (text);
  talloc_free (orgs);
  talloc_free (routes);
}
