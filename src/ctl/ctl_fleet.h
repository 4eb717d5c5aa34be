/* ctl_fleet.h - what each host of the platform's list says of itself.

   Needs: ctl.h, jansson.  */

#ifndef MQ_CTL_FLEET_H
#define MQ_CTL_FLEET_H

#include "ctl.h"
#include <jansson.h>

#define MQ_ADMIN_STATUS_PATH "/v1/admin/status"

/**
 * struct mq_ctl_host - one host and its answer
 * @host: its entry in the list
 * @error: NONE when it answered as it should; UNAUTHORISED when it refused
 *         the operators' key; BAD_ANSWER; else why it can't be reached
 * @status: its answer, NULL when there is none
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
 * struct mq_ctl_outdated_host - a host that is not known to hold a version
 * @host: its name
 * @error: why nothing is known, NONE: it answered
 * @version: what it holds, 0 when not known
 * @leaving: the list has it as leaving
 */
struct mq_ctl_outdated_host
{
  const char *host;
  enum mq_error_type error;
  uint64_t version;
  bool leaving;
};

/**
 * struct mq_ctl_rollout - how far a version has come
 * @hosts: in the list
 * @holders: of these, hold the version or a higher one
 * @missing: the others
 * @missing_count: how many; leaving hosts among them don't count as missing
 *                 in @complete
 * @complete: every host that stays holds it
 */
struct mq_ctl_rollout
{
  size_t hosts;
  size_t holders;
  struct mq_ctl_outdated_host *missing;
  size_t missing_count;
  bool complete;
};

/* Reads the list and asks every host for its status.  NULL with STORE_DOWN
   in ERROR when there is no list.  */
struct mq_ctl_fleet *mq_ctl_fleet_read (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                                        struct mq_error *error);
/* Asks every host of LIST for PATH; answers that are no JSON are BAD_ANSWER.
   The result owns LIST.  */
struct mq_ctl_fleet *mq_ctl_fleet_query (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                                         struct mq_host_list *list,
                                         const char *path);
/* "config_version" of a host, 0 when not known.  */
uint64_t mq_ctl_host_version (const struct mq_ctl_host *host);

typedef void mq_ctl_progress (const struct mq_ctl_rollout *spread, void *user);

/**
 * mq_ctl_fleet_wait - waits until every host holds a version
 * @ctl: the tool
 * @ctx: owner of the result
 * @version: which
 * @wait_ms: for how long at most
 * @progress: called after each round that brought something new
 * @user: given to @progress
 * @error: STORE_DOWN when the list could never be read
 *
 * Return: the last state; NULL with @error.
 */
struct mq_ctl_rollout *mq_ctl_fleet_wait (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                                          uint64_t version, uint32_t wait_ms,
                                          mq_ctl_progress *progress,
                                          void *user, struct mq_error *error);

#endif
