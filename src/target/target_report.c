/* target_report.c - metrics and status of a target host.

   Needs: target_report.h, metrics.h, report.h, jansson.  */

#include "target_report.h"
#include "log/metrics.h"
#include "daemon/report.h"
#include <jansson.h>
#include <stdlib.h>

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

char *
mq_target_metrics (TALLOC_CTX *ctx, const struct mq_target_view *view)
{
  char *text = talloc_strdup (ctx, "");

  if (text == NULL)
    abort ();
  add_gate_metrics (&text, view->gate);
  add_worker_metrics (&text, view);
  mq_report_spread_metrics (&text, view->spread);
  mq_report_peer_metrics (&text, view->net);
  mq_report_platform_metrics (&text, view->platform);
  mq_metrics_add_process (&text);
  return text;
}

char *
mq_target_status (TALLOC_CTX *ctx, const struct mq_target_view *view)
{
  char *gate = mq_gate_status (ctx, view->gate);
  json_t *json = json_loads (gate, 0, NULL);
  struct mq_status_header head
      = { .settings = view->settings,
          .role = "target",
          .ready = view->ready,
          .leaving = view->leaving,
          .version = mq_spread_version (view->spread) };

  if (json == NULL)
    abort ();
  mq_status_set_header (json, &head);
  talloc_free (gate);
  return mq_report_text (ctx, json);
}
