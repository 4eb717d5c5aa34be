/* report.h - what every process shows to operators in the same way.

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
 * struct mq_status_header - what a status begins with
 * @settings: of the process
 * @role: "entry" or "target"
 * @ready: the process takes work
 * @leaving: it takes no new work any more
 * @version: configuration in force
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
/* JSON as text below CTX; JSON is freed.  */
char *mq_report_text (TALLOC_CTX *ctx, json_t *json);

#endif
