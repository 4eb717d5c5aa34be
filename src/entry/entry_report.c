/* entry_report.c - metrics and status of an entry host.

   Needs: entry_report.h, latency_report.h, metrics.h, report.h,
   jansson.  */

#include "entry_report.h"
#include "log/latency_report.h"
#include "log/metrics.h"
#include "daemon/report.h"
#include <jansson.h>
#include <stdlib.h>

static void
add_owner_metrics (char **text, const struct mq_owner *owner)
{
  const struct mq_owner_counters *counters = mq_owner_read_counters (owner);

#define ADD(name, help)                                                       \
  mq_metrics_add (text, "owner", #name, help, counters->name);
  MQ_OWNER_COUNTER_LIST (ADD)
#undef ADD
}

static void
add_front_metrics (char **text, const struct mq_front *front)
{
  const struct mq_front_counters *counters = mq_front_read_counters (front);

#define ADD(name, help)                                                       \
  mq_metrics_add (text, "front", #name, help, counters->name);
  MQ_FRONT_COUNTER_LIST (ADD)
#undef ADD
  mq_metrics_add (text, "front", "requests_live",
                  "callers' requests whose answer has not ended",
                  mq_front_count (front));
}

static void
add_api_metrics (char **text, const struct mq_api *api)
{
  const struct mq_api_counters *counters = mq_api_read_counters (api);

#define ADD(name, help)                                                       \
  mq_metrics_add (text, "http", #name, help, counters->name);
  MQ_API_COUNTER_LIST (ADD)
#undef ADD
  mq_metrics_add (text, "http", "requests_live", "HTTP requests in progress",
                  mq_api_in_progress (api));
}

char *
mq_entry_metrics (TALLOC_CTX *ctx, const struct mq_entry_view *view)
{
  char *text = talloc_strdup (ctx, "");

  if (text == NULL)
    abort ();
  add_owner_metrics (&text, view->owner);
  add_front_metrics (&text, view->front);
  mq_report_spread_metrics (&text, view->spread);
  mq_metrics_add (&text, "config", "texts_refused",
                  "texts kept out as they do not parse", view->texts_refused);
  add_api_metrics (&text, view->api);
  mq_latency_metrics (&text, mq_api_latency (view->api));
  mq_report_peer_metrics (&text, view->net);
  mq_report_platform_metrics (&text, view->platform);
  mq_metrics_add_process (&text);
  return text;
}

static void
add_front_counters (json_t *json, const struct mq_front *front)
{
  const struct mq_front_counters *counters = mq_front_read_counters (front);
  json_t *list = json_object ();

#define ADD(name, help)                                                       \
  json_object_set_new (list, #name, json_integer ((json_int_t)counters->name));
  MQ_FRONT_COUNTER_LIST (ADD)
#undef ADD
  json_object_set_new (json, "front", list);
}

static void
add_owner_counters (json_t *json, const struct mq_owner *owner)
{
  const struct mq_owner_counters *counters = mq_owner_read_counters (owner);
  json_t *list = json_object ();

#define ADD(name, help)                                                       \
  json_object_set_new (list, #name, json_integer ((json_int_t)counters->name));
  MQ_OWNER_COUNTER_LIST (ADD)
#undef ADD
  json_object_set_new (json, "owner", list);
}

/* Writes the boot id as a string: it has 64 bits, jansson's integers are
   signed.  */
static void
set_boot (json_t *json, uint64_t boot)
{
  json_object_set_new (json, "boot",
                       json_sprintf ("%016llx", (unsigned long long)boot));
}

static json_t *
owner_value (TALLOC_CTX *ctx, const struct mq_owner *owner)
{
  char *text = mq_owner_status (ctx, owner);
  json_t *json = json_loads (text, 0, NULL);

  talloc_free (text);
  return json == NULL ? json_object () : json;
}

char *
mq_entry_status (TALLOC_CTX *ctx, const struct mq_entry_view *view)
{
  json_t *json = owner_value (ctx, view->owner);
  struct mq_status_header head
      = { .settings = view->settings,
          .role = "entry",
          .ready = view->ready,
          .leaving = view->leaving,
          .version = mq_spread_version (view->spread) };

  mq_status_set_header (json, &head);
  json_object_set_new (json, "texts_refused",
                       json_integer ((json_int_t)view->texts_refused));
  set_boot (json, view->boot);
  add_front_counters (json, view->front);
  add_owner_counters (json, view->owner);
  json_object_set_new (json, "latency",
                       mq_latency_json (mq_api_latency (view->api)));
  return mq_report_text (ctx, json);
}
