/* ctl_fleet.h - queries the status of each host in the platform's list.

   Needs: ctl.h, jansson.  */

#ifndef MQ_CTL_FLEET_H
#define MQ_CTL_FLEET_H

#include "ctl.h"
#include <jansson.h>

#define MQ_ADMIN_STATUS_PATH "/v1/admin/status"

/**
 * struct mq_ctl_host - one host and its response
 * @host: entry in the host list
 * @error: MQ_ERR_NONE; MQ_ERR_UNAUTHORISED if the host rejected the
 *         operators' key; MQ_ERR_BAD_ANSWER if the response is invalid;
 *         otherwise why the host is unreachable
 * @status: response; NULL if there is none
 */
struct mq_ctl_host
{
  const struct mq_host *host;
  enum mq_error_type error;
  json_t *status;
};

struct mq_ctl_fleet
{
  struct mq_host_list *list;
  struct mq_ctl_host *items;
  size_t count;
};

/**
 * struct mq_ctl_outdated_host - a host that did not report the version
 * @host: host name
 * @error: why its version is unknown; MQ_ERR_NONE if it responded
 * @version: version that it reported; 0 if unknown
 * @leaving: listed as leaving
 */
struct mq_ctl_outdated_host
{
  const char *host;
  enum mq_error_type error;
  uint64_t version;
  bool leaving;
};

/**
 * struct mq_ctl_rollout - progress of a configuration version
 * @hosts: number of listed hosts
 * @holders: number of hosts that reported the version or a later one
 * @missing: the remaining hosts, leaving ones included
 * @complete: every host that is not leaving reported the version
 */
struct mq_ctl_rollout
{
  size_t hosts;
  size_t holders;
  struct mq_ctl_outdated_host *missing;
  size_t missing_count;
  bool complete;
};

/* Reads the host list and queries the status of every host.  Returns NULL
   with MQ_ERR_STORE_DOWN in ERROR if the list is unavailable.  */
struct mq_ctl_fleet *mq_ctl_fleet_read (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                                        struct mq_error *error);
/* Requests PATH from every host of LIST; a response that is not JSON gives
   MQ_ERR_BAD_ANSWER.  The result owns LIST.  */
struct mq_ctl_fleet *mq_ctl_fleet_query (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                                         struct mq_host_list *list,
                                         const char *path);
/* Returns "config_version" of the host's status, 0 if unknown.  */
uint64_t mq_ctl_host_version (const struct mq_ctl_host *host);

typedef void mq_ctl_progress (const struct mq_ctl_rollout *rollout,
                              void *user);

/**
 * mq_ctl_fleet_wait - waits until every host has a configuration version
 * @ctx: talloc parent of the result
 * @wait_ms: maximum wait
 * @progress: called when the number of hosts with the version changes
 * @user: passed to @progress
 * @error: MQ_ERR_STORE_DOWN if the host list could not be read
 *
 * Return: the last observed state; NULL with @error.
 */
struct mq_ctl_rollout *mq_ctl_fleet_wait (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                                          uint64_t version, uint32_t wait_ms,
                                          mq_ctl_progress *progress,
                                          void *user, struct mq_error *error);

#endif
