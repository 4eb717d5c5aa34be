/* report.h - metrics and status that all daemons have in common.

   Needs: metrics.h, peer.h, platform.h, spread.h, settings.h, jansson.  */

#ifndef MQ_REPORT_H
#define MQ_REPORT_H

#include "core/spread.h"
#include "net/peer.h"
#include "platform.h"
#include "settings.h"
#include <jansson.h>

void mq_report_spread_metrics (char **text, const struct mq_spread *spread);
void mq_report_peer_metrics (char **text, const struct mq_peer_net *net);
void mq_report_platform_metrics (char **text,
                                 const struct mq_platform *platform);

/**
 * struct mq_status_header - first members of a daemon's status
 * @role: "entry" or "target"
 * @ready: the daemon accepts work
 * @leaving: the daemon is draining and accepts no new work
 * @version: version of the active configuration
 */
struct mq_status_header
{
  const struct mq_settings *settings;
  const char *role;
  bool ready;
  bool leaving;
  uint64_t version;
};

void mq_status_set_header (json_t *json, const struct mq_status_header *head);
/* Serialises JSON to a string owned by CTX and frees JSON.  */
char *mq_report_text (TALLOC_CTX *ctx, json_t *json);

#endif
