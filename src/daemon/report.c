/* report.c - metrics and status that all daemons have in common.

   Needs: report.h, memory.h.  */

#include "report.h"
#include "core/memory.h"
#include "log/metrics.h"
#include <stdlib.h>

/* Counters of peer.h and platform.h, which define no list of names.  */
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

void
mq_report_spread_metrics (char **text, const struct mq_spread *spread)
{
  const struct mq_spread_counters *counters = mq_spread_read_counters (spread);

#define ADD(name, help)                                                       \
  mq_metrics_add (text, "config", #name, help, counters->name);
  MQ_SPREAD_COUNTER_LIST (ADD)
#undef ADD
  mq_metrics_add (text, "config", "version", "configuration in force here",
                  mq_spread_version (spread));
}

void
mq_report_peer_metrics (char **text, const struct mq_peer_net *net)
{
  const struct mq_peer_counters *counters = mq_peer_net_counters (net);

#define ADD(name, help)                                                       \
  mq_metrics_add (text, "peer", #name, help, counters->name);
  PEER_COUNTERS (ADD)
#undef ADD
}

void
mq_report_platform_metrics (char **text, const struct mq_platform *platform)
{
  const struct mq_platform_counters *counters
      = mq_platform_counters (platform);

#define ADD(name, help)                                                       \
  mq_metrics_add (text, "platform", #name, help, counters->name);
  PLATFORM_COUNTERS (ADD)
#undef ADD
}

static const char *
state_name (const struct mq_status_header *head)
{
  if (head->leaving)
    return "leaving";
  return head->ready ? "ready" : "starting";
}

static void
set_text (json_t *json, const char *key, const char *value)
{
  json_object_set_new (json, key, json_string (value));
}

void
mq_status_set_header (json_t *json, const struct mq_status_header *head)
{
  set_text (json, "host", head->settings->host);
  set_text (json, "role", head->role);
  set_text (json, "data_centre", head->settings->data_centre);
  set_text (json, "region", head->settings->region);
  set_text (json, "state", state_name (head));
  json_object_set_new (json, "config_version",
                       json_integer ((json_int_t)head->version));
}

char *
mq_report_text (TALLOC_CTX *ctx, json_t *json)
{
  char *dumped = json_dumps (json, JSON_COMPACT);
  char *text = mq_check_alloc (talloc_strdup (ctx, mq_check_alloc (dumped)));

  json_decref (json);
  free (dumped);
  return text;
}
