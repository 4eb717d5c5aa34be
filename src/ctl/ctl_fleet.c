/* ctl_fleet.c - queries the status of each host in the platform's list.

   Needs: ctl_fleet.h.  */

#include "ctl_fleet.h"
#include "net/clock.h"
#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_UNAUTHORISED 401
#define STATUS_FORBIDDEN 403
#define POLL_INTERVAL_MS 250U

/* Queries.  */

static int
free_fleet (struct mq_ctl_fleet *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    json_decref (fleet->items[i].status);
  return 0;
}

static void
parse_response (struct mq_ctl_host *host, const struct mq_ctl_fetch *fetch)
{
  host->error = fetch->error;
  if (fetch->error != MQ_ERR_NONE)
    return;
  if (fetch->status == STATUS_UNAUTHORISED
      || fetch->status == STATUS_FORBIDDEN)
    {
      host->error = MQ_ERR_UNAUTHORISED;
      return;
    }
  if (fetch->status == STATUS_OK)
    host->status = json_loads (fetch->body, 0, NULL);
  if (host->status == NULL)
    host->error = MQ_ERR_BAD_ANSWER;
}

struct mq_ctl_fleet *
mq_ctl_fleet_query (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                    struct mq_host_list *list, const char *path)
{
  struct mq_ctl_fleet *fleet = talloc_zero (ctx, struct mq_ctl_fleet);
  struct mq_ctl_fetch *fetches
      = talloc_zero_array (fleet, struct mq_ctl_fetch, list->count);

  fleet->list = talloc_steal (fleet, list);
  fleet->items = talloc_zero_array (fleet, struct mq_ctl_host, list->count);
  fleet->count = list->count;
  talloc_set_destructor (fleet, free_fleet);
  for (size_t i = 0; i < list->count; i++)
    fetches[i] = (struct mq_ctl_fetch){ .method = "GET",
                                        .address = list->items[i].http,
                                        .path = path };
  mq_ctl_fetch (ctl, fetches, fetches, list->count);
  for (size_t i = 0; i < list->count; i++)
    {
      fleet->items[i].host = &list->items[i];
      parse_response (&fleet->items[i], &fetches[i]);
    }
  talloc_free (fetches);
  return fleet;
}

struct mq_ctl_fleet *
mq_ctl_fleet_read (struct mq_ctl *ctl, TALLOC_CTX *ctx, struct mq_error *error)
{
  struct mq_host_list *list = mq_ctl_hosts (ctl, ctx, error);

  if (list == NULL)
    return NULL;
  return mq_ctl_fleet_query (ctl, ctx, list, MQ_ADMIN_STATUS_PATH);
}

uint64_t
mq_ctl_host_version (const struct mq_ctl_host *host)
{
  json_t *version = json_object_get (host->status, "config_version");
  json_int_t value = json_integer_value (version);

  return value > 0 ? (uint64_t)value : 0;
}

/* Waiting for a version.  */

/**
 * struct rollout_wait - a wait in progress
 * @list: the host list as last read
 * @updated: names of hosts that reported the version; they are not queried
 *           again, since a host's version never decreases
 */
struct rollout_wait
{
  struct mq_ctl *ctl;
  uint64_t version;
  struct mq_host_list *list;
  const char **updated;
  size_t updated_count;
};

static bool
is_updated (const struct rollout_wait *work, const char *name)
{
  for (size_t i = 0; i < work->updated_count; i++)
    if (strcmp (work->updated[i], name) == 0)
      return true;
  return false;
}

static void
add_updated (struct rollout_wait *work, const char *name)
{
  work->updated = talloc_realloc (work->list, work->updated, const char *,
                                  work->updated_count + 1);
  work->updated[work->updated_count++] = talloc_strdup (work->updated, name);
}

/* Returns the listed hosts that have not reported the version.  */
static struct mq_host_list *
pending_hosts (const struct rollout_wait *work, TALLOC_CTX *ctx)
{
  struct mq_host_list *pending = talloc_zero (ctx, struct mq_host_list);

  pending->items = talloc_array (pending, struct mq_host, work->list->count);
  for (size_t i = 0; i < work->list->count; i++)
    if (!is_updated (work, work->list->items[i].name))
      pending->items[pending->count++] = work->list->items[i];
  return pending;
}

static void
add_missing (struct mq_ctl_rollout *rollout, const struct mq_ctl_host *host)
{
  struct mq_ctl_outdated_host *missing;

  rollout->missing
      = talloc_realloc (rollout, rollout->missing, struct mq_ctl_outdated_host,
                        rollout->missing_count + 1);
  missing = &rollout->missing[rollout->missing_count++];
  missing->host = talloc_strdup (rollout, host->host->name);
  missing->error = host->error;
  missing->version = mq_ctl_host_version (host);
  missing->leaving = host->host->leaving;
  rollout->complete = rollout->complete && missing->leaving;
}

static struct mq_ctl_rollout *
query_pending_hosts (struct rollout_wait *work, TALLOC_CTX *ctx)
{
  struct mq_ctl_rollout *rollout = talloc_zero (ctx, struct mq_ctl_rollout);
  struct mq_host_list *pending = pending_hosts (work, rollout);
  struct mq_ctl_fleet *fleet
      = mq_ctl_fleet_query (work->ctl, rollout, pending, MQ_ADMIN_STATUS_PATH);

  rollout->hosts = work->list->count;
  rollout->holders = work->list->count - fleet->count;
  rollout->complete = true;
  for (size_t i = 0; i < fleet->count; i++)
    if (mq_ctl_host_version (&fleet->items[i]) >= work->version)
      {
        add_updated (work, fleet->items[i].host->name);
        rollout->holders++;
      }
    else
      add_missing (rollout, &fleet->items[i]);
  talloc_free (fleet);
  return rollout;
}

/* Hosts join and leave during the wait.  If the platform is unavailable, the
   previous list is used; returns false if there is none.  */
static bool
refresh_list (struct rollout_wait *work, TALLOC_CTX *ctx,
              struct mq_error *error)
{
  struct mq_host_list *list = mq_ctl_hosts (work->ctl, ctx, error);

  if (list == NULL)
    return work->list != NULL;
  if (work->list != NULL)
    {
      work->updated = talloc_steal (list, work->updated);
      talloc_free (work->list);
    }
  work->list = list;
  return true;
}

struct mq_ctl_rollout *
mq_ctl_fleet_wait (struct mq_ctl *ctl, TALLOC_CTX *ctx, uint64_t version,
                   uint32_t wait_ms, mq_ctl_progress *progress, void *user,
                   struct mq_error *error)
{
  struct rollout_wait work = { .ctl = ctl, .version = version };
  uint64_t deadline = mq_clock_ms () + wait_ms;
  struct mq_ctl_rollout *rollout = NULL;
  size_t holders = SIZE_MAX;

  while (refresh_list (&work, ctx, error))
    {
      talloc_free (rollout);
      rollout = query_pending_hosts (&work, ctx);
      if (rollout->holders != holders)
        progress (rollout, user);
      holders = rollout->holders;
      if (rollout->complete || mq_clock_ms () >= deadline)
        break;
      mq_ctl_sleep (ctl, POLL_INTERVAL_MS);
    }
  talloc_free (work.list);
  return rollout;
}
