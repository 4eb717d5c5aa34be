/* router_hosts.c - discovery of routing hosts.

   Each host has a row in the platform's table and renews it.  A row that has
   expired belongs to a lost host; any host that reads it removes it.
   Needs: router_state.h, id.h, clock.h, proto/relay.pb-c.h.  */

#include "router_state.h"
#include "../../proto/relay.pb-c.h"
#include "core/id.h"
#include "net/clock.h"
#include <string.h>

/* The key of a row is the host's name.  */
static const char host_table[] = "host";

/* Interval of listing the hosts: LIST_FIRST_MS while none is known,
   LIST_SETTLE_MS after the first list that has any, else LIST_MS plus as much
   for every LIST_HOSTS hosts, to bound the traffic.

   Failure: hosts that start together list each other in part, and choose
   different cache and batching hosts until the next list.  */
#define LIST_MS 10000U
#define LIST_FIRST_MS 1500U
#define LIST_SETTLE_MS 5000U
#define LIST_HOSTS 16U
/* Renewal interval of a row, which is valid for three times as long, so that
   hosts outlast an outage of the table for some minutes.  */
#define RENEW_MS 600000U
/* Base delay after a failed write; doubled for each further failure, with
   jitter.  All rows share one part of the table.

   Failure: many hosts start together, the part rejects what it can't write in
   a second, and retries at a fixed interval keep it overloaded.  */
#define RENEW_RETRY_MS 2000U
#define RENEW_RETRY_DOUBLINGS_MAX 5U
#define ROW_TTL_S (3U * RENEW_MS / 1000U)

static void
on_removed (const struct mq_rows_result *result, void *user)
{
  /* A row that was not removed is found by the next list.  */
  (void)result;
  (void)user;
}

/* Removes ROW if its version is unchanged: its host may be renewing it.  */
static void
remove_lost (struct mq_router *router, const struct mq_rows_entry *row)
{
  struct mq_rows_entry entry = { .table = host_table,
                                 .part = "",
                                 .key = row->key,
                                 .version = row->version,
                                 .remove = true };
  struct mq_json_line line;

  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY, MQ_LOG_HOST_LOST);
  mq_json_text (&line, "other", row->key);
  mq_json_end (&line);
  mq_rows_commit (router->rows, &entry, 1, on_removed, router);
}

static bool
is_lost (const struct mq_router *router, const Mqrelay__HostRow *host)
{
  uint64_t now = mq_rows_clock_s (router->rows);

  return host->until_s != 0 && now != 0 && host->until_s < now;
}

static void
list_host (struct mq_router *router, const Mqrelay__HostRow *host)
{
  const char *own = router->settings->data_centre;
  struct mq_relay_listing listing
      = { .address = host->address,
          .data_centre = host->data_centre,
          .near = strcmp (host->data_centre, own) == 0,
          .caches_programs = host->caches_programs };

  mq_relay_list_host (router->relay, &listing);
}

/* A write that was not answered may have been applied: the row tells whether
   this run of the host wrote it.  */
static void
check_own_row (struct mq_router *router, const Mqrelay__HostRow *host)
{
  if (host == NULL || router->stopping || router->first_until_s == 0
      || host->until_s < router->first_until_s)
    return;
  router->announced = true;
  router->row_written = true;
}

static void
on_host_row (const struct mq_rows_entry *row, void *user)
{
  struct mq_router *router = user;
  Mqrelay__HostRow *host
      = mqrelay__host_row__unpack (NULL, row->value.len, row->value.data);

  if (strcmp (row->key, router->settings->host) == 0)
    check_own_row (router, host);
  else if (host == NULL || is_lost (router, host))
    remove_lost (router, row);
  else
    list_host (router, host);
  if (host != NULL)
    mqrelay__host_row__free_unpacked (host, NULL);
}

static void
on_host_list (bool begins, void *user)
{
  struct mq_router *router = user;

  if (begins)
    {
      mq_relay_list_begin (router->relay);
      return;
    }
  mq_relay_list_end (router->relay);
  if (mq_relay_host_count (router->relay) > 0)
    router->host_lists++;
  mq_rows_set_host_count (router->rows,
                          1 + mq_relay_host_count (router->relay));
  router->hosts_asked = false;
  router->hosts_listed = true;
}

static uint32_t
retry_delay_ms (struct mq_router *router)
{
  uint32_t doublings = router->announce_failures;
  uint32_t delay;

  if (doublings > RENEW_RETRY_DOUBLINGS_MAX)
    doublings = RENEW_RETRY_DOUBLINGS_MAX;
  delay = RENEW_RETRY_MS << doublings;
  return delay / 2U + mq_random_below (&router->random, delay);
}

static void
on_announced (const struct mq_rows_result *result, void *user)
{
  struct mq_router *router = user;

  if (result->status == MQ_STORE_OK)
    router->announce_failures = 0;
  else
    {
      router->announced = false;
      router->announce_retry_ms = retry_delay_ms (router);
      router->announce_failures++;
    }
  router->row_written
      = router->row_written || (router->announced && !router->stopping);
}

/* Writes or removes this host's row.  */
static void
write_own_row (struct mq_router *router, bool remove)
{
  Mqrelay__HostRow host = MQRELAY__HOST_ROW__INIT;
  uint8_t bytes[256];
  struct mq_rows_entry entry = { .table = host_table,
                                 .part = "",
                                 .key = router->settings->host,
                                 .version = MQ_VERSION_ANY,
                                 .remove = remove };

  host.address = (char *)(uintptr_t)mq_relay_address (router->relay);
  host.data_centre = (char *)(uintptr_t)router->settings->data_centre;
  host.until_s = mq_rows_clock_s (router->rows) + ROW_TTL_S;
  if (router->first_until_s == 0)
    router->first_until_s = host.until_s;
  host.caches_programs = true;
  if (mqrelay__host_row__get_packed_size (&host) > sizeof bytes)
    return;
  entry.value.len = mqrelay__host_row__pack (&host, bytes);
  entry.value.data = bytes;
  router->announced = !remove;
  router->announced_ms = mq_clock_ms ();
  mq_rows_commit (router->rows, &entry, 1, on_announced, router);
}

static bool
must_renew (const struct mq_router *router, uint64_t now)
{
  if (router->announced_ms == 0)
    return true;
  return now - router->announced_ms
         >= (router->announced ? RENEW_MS : router->announce_retry_ms);
}

static uint64_t
list_interval_ms (const struct mq_router *router)
{
  size_t count = mq_relay_host_count (router->relay);

  if (count == 0)
    return LIST_FIRST_MS;
  if (router->host_lists == 1)
    return LIST_SETTLE_MS;
  return LIST_MS * (1 + count / LIST_HOSTS);
}

size_t
mq_router_host_count (const struct mq_router *router)
{
  return mq_relay_host_count (router->relay);
}

void
mq_hosts_start (struct mq_router *router)
{
  for (const char *seed = router->settings->seeds; *seed != '\0';)
    {
      size_t len = strcspn (seed, ",");
      char *address = talloc_strndup (router, seed, len);

      if (address != NULL)
        mq_relay_add_seed (router->relay, address);
      talloc_free (address);
      seed += len + (seed[len] == ',' ? 1 : 0);
    }
}

void
mq_hosts_sweep (struct mq_router *router)
{
  struct mq_rows_watcher hosts
      = { .list = on_host_list, .row = on_host_row, .user = router };
  uint64_t now = mq_clock_ms ();

  if (!mq_rows_feeds_healthy (router->rows)
      || mq_rows_clock_s (router->rows) == 0)
    return;
  if (!router->stopping && must_renew (router, now))
    write_own_row (router, false);
  if (router->hosts_asked
      || (router->hosts_ms != 0
          && now - router->hosts_ms < list_interval_ms (router)))
    return;
  router->hosts_ms = now;
  router->hosts_asked = true;
  mq_rows_list (router->rows, host_table, &hosts);
}

void
mq_hosts_stop (struct mq_router *router)
{
  if (router->announced)
    write_own_row (router, true);
}
