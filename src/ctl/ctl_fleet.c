/* ctl_fleet.c - what each host of the platform's list says of itself.

   Needs: ctl_fleet.h.  */

#include "ctl_fleet.h"
#include "net/clock.h"
#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_UNAUTHORISED 401
#define STATUS_FORBIDDEN 403
#define ROUND_PAUSE_MS 250U

/* Asking.  */

static int
free_fleet (struct mq_ctl_fleet *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    json_decref (fleet->items[i].status);
  return 0;
}

static void
read_answer (struct mq_ctl_host *host, const struct mq_ctl_fetch *fetch)
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
      read_answer (&fleet->items[i], &fetches[i]);
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
 * struct spread_work - a wait under way
 * @list: the list read last
 * @held: names of hosts that hold the version; versions only rise, so that
 *        they need not be asked again
 */
struct spread_work
{
  struct mq_ctl *ctl;
  uint64_t version;
  struct mq_host_list *list;
  const char **held;
  size_t held_count;
};

static bool
is_held (const struct spread_work *work, const char *name)
{
  for (size_t i = 0; i < work->held_count; i++)
    if (strcmp (work->held[i], name) == 0)
      return true;
  return false;
}

static void
add_held (struct spread_work *work, const char *name)
{
  work->held = talloc_realloc (work->list, work->held, const char *,
                               work->held_count + 1);
  work->held[work->held_count++] = talloc_strdup (work->held, name);
}

/* The hosts of the list that are still to be asked.  */
static struct mq_host_list *
open_hosts (const struct spread_work *work, TALLOC_CTX *ctx)
{
  struct mq_host_list *open = talloc_zero (ctx, struct mq_host_list);

  open->items = talloc_array (open, struct mq_host, work->list->count);
  for (size_t i = 0; i < work->list->count; i++)
    if (!is_held (work, work->list->items[i].name))
      open->items[open->count++] = work->list->items[i];
  return open;
}

static void
add_missing (struct mq_ctl_rollout *spread, const struct mq_ctl_host *host)
{
  struct mq_ctl_outdated_host *missing;

  spread->missing
      = talloc_realloc (spread, spread->missing, struct mq_ctl_outdated_host,
                        spread->missing_count + 1);
  missing = &spread->missing[spread->missing_count++];
  missing->host = talloc_strdup (spread, host->host->name);
  missing->error = host->error;
  missing->version = mq_ctl_host_version (host);
  missing->leaving = host->host->leaving;
  spread->complete = spread->complete && missing->leaving;
}

static struct mq_ctl_rollout *
ask_open_hosts (struct spread_work *work, TALLOC_CTX *ctx)
{
  struct mq_ctl_rollout *spread = talloc_zero (ctx, struct mq_ctl_rollout);
  struct mq_host_list *open = open_hosts (work, spread);
  struct mq_ctl_fleet *fleet
      = mq_ctl_fleet_query (work->ctl, spread, open, MQ_ADMIN_STATUS_PATH);

  spread->hosts = work->list->count;
  spread->holders = work->list->count - fleet->count;
  spread->complete = true;
  for (size_t i = 0; i < fleet->count; i++)
    if (mq_ctl_host_version (&fleet->items[i]) >= work->version)
      {
        add_held (work, fleet->items[i].host->name);
        spread->holders++;
      }
    else
      add_missing (spread, &fleet->items[i]);
  talloc_free (fleet);
  return spread;
}

/* Hosts come and go while we wait; without an answer the last list serves.
   False when there never was one.  */
static bool
refresh_list (struct spread_work *work, TALLOC_CTX *ctx,
              struct mq_error *error)
{
  struct mq_host_list *list = mq_ctl_hosts (work->ctl, ctx, error);

  if (list == NULL)
    return work->list != NULL;
  if (work->list != NULL)
    {
      work->held = talloc_steal (list, work->held);
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
  struct spread_work work = { .ctl = ctl, .version = version };
  uint64_t deadline = mq_clock_ms () + wait_ms;
  struct mq_ctl_rollout *spread = NULL;
  size_t holders = SIZE_MAX;

  while (refresh_list (&work, ctx, error))
    {
      talloc_free (spread);
      spread = ask_open_hosts (&work, ctx);
      if (spread->holders != holders)
        progress (spread, user);
      holders = spread->holders;
      if (spread->complete || mq_clock_ms () >= deadline)
        break;
      mq_ctl_sleep (ctl, ROUND_PAUSE_MS);
    }
  talloc_free (work.list);
  return spread;
}
