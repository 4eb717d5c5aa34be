/* ctl_status.h - the state of a site, put together from its hosts' answers.

   Takes only what is there: fields that a host leaves out are not shown.
   Needs: ctl_fleet.h, jansson.  */

#ifndef MQ_CTL_STATUS_H
#define MQ_CTL_STATUS_H

#include "ctl_fleet.h"

/**
 * struct mq_ctl_site - what is to be shown
 * @fleet: the hosts and their answers
 * @version: version in force in the table, 0 when not known
 * @partitions: number of partitions of the text in force, 0 when not known
 */
struct mq_ctl_site
{
  const struct mq_ctl_fleet *fleet;
  uint64_t version;
  uint32_t partitions;
};

/* Tables for people.  */
char *mq_ctl_status_text (TALLOC_CTX *ctx, const struct mq_ctl_site *site);
/* The same as one JSON object.  */
char *mq_ctl_status_json (TALLOC_CTX *ctx, const struct mq_ctl_site *site);

#endif
