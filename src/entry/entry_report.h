/* entry_report.h - metrics and status of an entry host.

   Needs: the modules whose counters and state it shows, jansson.  */

#ifndef MQ_ENTRY_REPORT_H
#define MQ_ENTRY_REPORT_H

#include "core/owner/front.h"
#include "core/owner/owner.h"
#include "core/spread.h"
#include "api.h"
#include "net/peer.h"
#include "daemon/platform.h"
#include "daemon/settings.h"

struct mq_entry_view
{
  const struct mq_settings *settings;
  uint64_t boot;
  bool ready;
  bool leaving;
  uint64_t texts_refused;
  const struct mq_owner *owner;
  const struct mq_front *front;
  const struct mq_spread *spread;
  const struct mq_api *api;
  const struct mq_peer_net *net;
  const struct mq_platform *platform;
};

/* Returns metrics in Prometheus text format, owned by CTX.  */
char *mq_entry_metrics (TALLOC_CTX *ctx, const struct mq_entry_view *view);
/* Returns a JSON object as text, owned by CTX: this host's state merged with
   the owner's status.  */
char *mq_entry_status (TALLOC_CTX *ctx, const struct mq_entry_view *view);

#endif
