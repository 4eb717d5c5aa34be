/* entry_report.c - what an entry host shows to operators.

   Needs: entry_report.h, latency_report.h, metrics.h, jansson.  */

#include "entry_report.h"
#include "latency_report.h"
#include "metrics.h"
#include <jansson.h>
#include <stdlib.h>

/* Counters of the peers and the platform, which keep no list of names.  */
#define PEER_COUNTERS(X)                                                      \
  X (frames_in, "frames received from other processes")                       \
  X (frames_out, "frames sent to other processes")                            \
  X (bytes_in, "bytes received from other processes")                         \
  X (bytes_out, "bytes sent to other processes")                              \
  X (control_frames_in, "of the frames received, those of control")           \
  X (control_frames_out, "of the frames sent, those of control")              \
  X (control_bytes_in, "of the bytes received, those of control")             \
  X (control_bytes_out, "of the bytes sent, those of control")                \
  X (connections_made, "connections that became ready")                       \
  X (connections_lost, "connections that were lost")                          \
  X (connections_silent, "connections replaced as nothing was heard")         \
  X (handshakes_refused, "peers that could not prove the site key")           \
  X (frames_bad, "frames that could not be decoded")

#define PLATFORM_COUNTERS(X)                                                  \
  X (writes, "transactions and objects written")                              \
  X (reads, "scans and objects read")                                         \
  X (failures, "requests that certainly failed")                              \
  X (lost, "requests whose effect is not known")

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
add_spread_metrics (char **text, const struct mq_spread *spread)
{
  const struct mq_spread_counters *counters = mq_spread_read_counters (spread);

#define ADD(name, help)                                                       \
  mq_metrics_add (text, "config", #name, help, counters->name);
  MQ_SPREAD_COUNTER_LIST (ADD)
#undef ADD
  mq_metrics_add (text, "config", "version", "configuration in force here",
                  mq_spread_version (spread));
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

static void
add_peer_metrics (char **text, const struct mq_peer_net *net)
{
  const struct mq_peer_counters *counters = mq_peer_net_counters (net);

#define ADD(name, help)                                                       \
  mq_metrics_add (text, "peer", #name, help, counters->name);
  PEER_COUNTERS (ADD)
#undef ADD
}

static void
add_platform_metrics (char **text, const struct mq_platform *platform)
{
  const struct mq_platform_counters *counters
      = mq_platform_counters (platform);

#define ADD(name, help)                                                       \
  mq_metrics_add (text, "platform", #name, help, counters->name);
  PLATFORM_COUNTERS (ADD)
#undef ADD
}

char *
mq_entry_metrics (TALLOC_CTX *ctx, const struct mq_entry_view *view)
{
  char *text = talloc_strdup (ctx, "");

  if (text == NULL)
    abort ();
  add_owner_metrics (&text, view->owner);
  add_front_metrics (&text, view->front);
  add_spread_metrics (&text, view->spread);
  mq_metrics_add (&text, "config", "texts_refused",
                  "texts kept out as they do not parse", view->texts_refused);
  add_api_metrics (&text, view->api);
  mq_latency_metrics (&text, mq_api_latency (view->api));
  add_peer_metrics (&text, view->net);
  add_platform_metrics (&text, view->platform);
  mq_metrics_add_process (&text);
  return text;
}

static const char *
state_name (const struct mq_entry_view *view)
{
  if (view->leaving)
    return "leaving";
  return view->ready ? "ready" : "starting";
}

static void
set_text (json_t *json, const char *key, const char *value)
{
  json_object_set_new (json, key, json_string (value));
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

/* Boot ids have 64 bits and JSON's integers 63: written as a text.  */
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
  char *dump;
  char *text;

  set_text (json, "host", view->settings->host);
  set_text (json, "role", "entry");
  set_text (json, "data_centre", view->settings->data_centre);
  set_text (json, "region", view->settings->region);
  set_text (json, "state", state_name (view));
  json_object_set_new (
      json, "config_version",
      json_integer ((json_int_t)mq_spread_version (view->spread)));
  json_object_set_new (json, "texts_refused",
                       json_integer ((json_int_t)view->texts_refused));
  set_boot (json, view->boot);
  add_front_counters (json, view->front);
  add_owner_counters (json, view->owner);
  json_object_set_new (json, "latency",
                       mq_latency_json (mq_api_latency (view->api)));
  dump = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  text = dump == NULL ? NULL : talloc_strdup (ctx, dump);
  free (dump);
  if (text == NULL)
    abort ();
  return text;
}
