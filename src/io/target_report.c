/* target_report.c - what the process beside a target shows to operators.

   Needs: target_report.h, metrics.h, jansson.  */

#include "target_report.h"
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
add_gate_metrics (char **text, const struct mq_gate *gate)
{
  const struct mq_gate_counters *counters = mq_gate_read_counters (gate);

#define ADD(name, help)                                                       \
  mq_metrics_add (text, "target", #name, help, counters->name);
  MQ_GATE_COUNTER_LIST (ADD)
#undef ADD
}

static void
add_worker_metrics (char **text, const struct mq_target_view *view)
{
  struct mq_worker_counters sum = { 0 };

  for (size_t i = 0; i < view->settings->worker_count; i++)
    {
      const struct mq_worker_counters *counters
          = mq_worker_read_counters (view->workers[i]);

#define SUM(name, help) sum.name += counters->name;
      MQ_WORKER_COUNTER_LIST (SUM)
#undef SUM
    }
#define ADD(name, help) mq_metrics_add (text, "worker", #name, help, sum.name);
  MQ_WORKER_COUNTER_LIST (ADD)
#undef ADD
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
add_net_metrics (char **text, const struct mq_target_view *view)
{
  const struct mq_peer_counters *peers = mq_peer_net_counters (view->net);
  const struct mq_platform_counters *platform
      = mq_platform_counters (view->platform);

#define ADD_PEER(name, help)                                                  \
  mq_metrics_add (text, "peer", #name, help, peers->name);
  PEER_COUNTERS (ADD_PEER)
#undef ADD_PEER
#define ADD_PLATFORM(name, help)                                              \
  mq_metrics_add (text, "platform", #name, help, platform->name);
  PLATFORM_COUNTERS (ADD_PLATFORM)
#undef ADD_PLATFORM
}

char *
mq_target_metrics (TALLOC_CTX *ctx, const struct mq_target_view *view)
{
  char *text = talloc_strdup (ctx, "");

  if (text == NULL)
    abort ();
  add_gate_metrics (&text, view->gate);
  add_worker_metrics (&text, view);
  add_spread_metrics (&text, view->spread);
  add_net_metrics (&text, view);
  mq_metrics_add_process (&text);
  return text;
}

static const char *
name_state (const struct mq_target_view *view)
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

char *
mq_target_status (TALLOC_CTX *ctx, const struct mq_target_view *view)
{
  char *gate = mq_gate_status (ctx, view->gate);
  json_t *json = json_loads (gate, 0, NULL);
  char *dumped;
  char *text;

  if (json == NULL)
    abort ();
  set_text (json, "role", "target");
  set_text (json, "data_centre", view->settings->data_centre);
  set_text (json, "region", view->settings->region);
  set_text (json, "state", name_state (view));
  json_object_set_new (
      json, "config_version",
      json_integer ((json_int_t)mq_spread_version (view->spread)));
  dumped = json_dumps (json, JSON_COMPACT);
  text = dumped == NULL ? NULL : talloc_strdup (ctx, dumped);
  if (text == NULL)
    abort ();
  json_decref (json);
  free (dumped);
  talloc_free (gate);
  return text;
}
