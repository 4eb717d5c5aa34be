/* target_report.h - metrics and status of a target host.

   Needs: the modules whose counters and state it shows, jansson.  */

#ifndef MQ_TARGET_REPORT_H
#define MQ_TARGET_REPORT_H

#include "core/gate/gate.h"
#include "core/spread.h"
#include "net/peer.h"
#include "daemon/platform.h"
#include "daemon/settings.h"
#include "worker.h"

struct mq_target_view
{
  const struct mq_settings *settings;
  bool ready;
  bool leaving;
  const struct mq_gate *gate;
  const struct mq_spread *spread;
  const struct mq_peer_net *net;
  const struct mq_platform *platform;
  struct mq_worker *const *workers; /* settings->worker_count entries */
};

/* Returns metrics in Prometheus text format, owned by CTX.  */
char *mq_target_metrics (TALLOC_CTX *ctx, const struct mq_target_view *view);
/* Returns a JSON object as text, owned by CTX.  */
char *mq_target_status (TALLOC_CTX *ctx, const struct mq_target_view *view);

#endif
