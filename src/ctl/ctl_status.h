/* ctl_status.h - formats the state of a site from its hosts' responses.

   Fields that a host does not report are not shown.
   Needs: ctl_fleet.h, jansson.  */

#ifndef MQ_CTL_STATUS_H
#define MQ_CTL_STATUS_H

#include "ctl_fleet.h"

/**
 * struct mq_ctl_site - state of a site
 * @fleet: hosts and their responses
 * @version: configuration version in force; 0 if unknown
 * @partitions: number of partitions in that configuration; 0 if unknown
 */
struct mq_ctl_site
{
  const struct mq_ctl_fleet *fleet;
  uint64_t version;
  uint32_t partitions;
};

/* Returns tables as text.  */
char *mq_ctl_status_text (TALLOC_CTX *ctx, const struct mq_ctl_site *site);
/* Returns one JSON object.  */
char *mq_ctl_status_json (TALLOC_CTX *ctx, const struct mq_ctl_site *site);

#endif
