/* router_feed.c - change feeds of the configuration and of the workers in the
   platform's table.
   Needs: router_state.h, clock.h.  */

#include "router_state.h"
#include "net/clock.h"
#include <string.h>

/* Interval of requests to another host while this host's feeds fail.  A
   configuration must take effect on all hosts within two seconds.  */
#define SYNC_MS 300U

static void
on_config_row (const struct mq_rows_entry *row, void *user)
{
  if (strcmp (row->key, mq_wire_config_key) == 0)
    mq_config_submit (user, row->value, row->version);
}

static void
log_worker (struct mq_router *router, enum mq_log_event event, const char *id,
            const struct mq_fleet_member *member)
{
  struct mq_json_line line;

  router->counters.worker_changes++;
  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY, event);
  mq_json_text (&line, "worker", id);
  if (member != NULL)
    {
      mq_json_text (&line, "service", member->service);
      mq_json_text (&line, "address", member->address);
      mq_json_text (&line, "version", member->version);
      mq_json_text (&line, "state", member->leaving ? "leaving" : "ready");
    }
  mq_json_end (&line);
}

/* Removes a worker whose row can't be decoded: another writer has overwritten
   it, so the process at its address is unknown.  */
static void
drop_worker (struct mq_router *router, const char *id,
             const struct mq_error *error)
{
  struct mq_json_line line;

  mq_fleet_remove (router->fleet, id, 0);
  router->counters.worker_changes++;
  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_WORKER_UNREADABLE);
  mq_json_text (&line, "worker", id);
  mq_json_error (&line, error);
  mq_json_end (&line);
}

static void
put_worker (struct mq_router *router, const struct mq_fleet_member *member)
{
  bool changed = false;

  if (mq_fleet_put (router->fleet, member, &changed) && changed)
    log_worker (router, MQ_LOG_WORKER_LISTED, member->id, member);
}

static void
on_worker_row (const struct mq_rows_entry *row, void *user)
{
  struct mq_router *router = user;
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_fleet_member member;
  TALLOC_CTX *ctx = talloc_new (router);

  mq_fleet_set_time (router->fleet, mq_clock_ms ());
  if (!mq_wire_read_worker (ctx, row->key, row->value, &member, &error))
    drop_worker (router, row->key, &error);
  else if (member.born_ms == 0
           && mq_fleet_start_time_ms (router->fleet, row->key) != 0)
    {
      mq_error_set (&error, MQ_ERR_TEXT_MISSING, row->key, "its start");
      drop_worker (router, row->key, &error);
    }
  else
    put_worker (router, &member);
  talloc_free (ctx);
}

/* Grace period for workers' rows after the table recovers.  Rows expire during
   an outage because they can't be renewed; a live worker renews its row within
   two seconds.  */
#define GRACE_MS 2300U

/* End of the grace period for a missing worker; 0 if it is removed at once. */
static uint64_t
grace_until (const struct mq_router *router)
{
  uint64_t back = mq_rows_recovered_ms (router->rows);
  uint64_t until = back + GRACE_MS;

  return back == 0 || mq_clock_ms () >= until ? 0 : until;
}

static void
on_worker_removed (const char *key, void *user)
{
  struct mq_router *router = user;

  mq_fleet_set_time (router->fleet, mq_clock_ms ());
  if (mq_fleet_remove (router->fleet, key, grace_until (router)))
    log_worker (router, MQ_LOG_WORKER_GONE, key, NULL);
}

static void
on_worker_list (bool begins, void *user)
{
  struct mq_router *router = user;

  mq_fleet_set_time (router->fleet, mq_clock_ms ());
  if (begins)
    {
      mq_fleet_list_begin (router->fleet);
      return;
    }
  mq_fleet_list_end (router->fleet, grace_until (router));
  router->workers_listed = true;
}

void
mq_feed_start (struct mq_router *router)
{
  struct mq_rows_watcher config = { .row = on_config_row, .user = router };
  struct mq_rows_watcher workers = { .list = on_worker_list,
                                     .row = on_worker_row,
                                     .removed = on_worker_removed,
                                     .user = router };

  mq_rows_watch (router->rows, mq_wire_config_table, &config);
  mq_rows_watch (router->rows, mq_wire_worker_table, &workers);
}

/* Other hosts */

void
mq_feed_on_sync (const struct mq_relay_sync *sync, struct mq_relay_link *link,
                 void *user)
{
  struct mq_router *router = user;
  struct mq_relay_state state = { .config = { NULL, 0 } };
  struct mq_fleet_member *workers;
  size_t count;

  if (!mq_rows_feeds_healthy (router->rows) || router->routes == NULL)
    return;
  if (router->routes->version > sync->config_version)
    state.config = router->config;
  workers = mq_fleet_list (router->fleet, router, &count);
  if (workers == NULL)
    return;
  state.same_workers
      = mq_fleet_digest (workers, count) == sync->workers_digest;
  state.workers = workers;
  state.worker_count = state.same_workers ? 0 : count;
  mq_relay_send_state (router->relay, link, &state);
  talloc_free (workers);
}

/* Applies another host's state, unless this host's own feeds work and
   are thus more recent.  */
void
mq_feed_on_state (const struct mq_relay_state *state, void *user)
{
  struct mq_router *router = user;

  if (mq_rows_feeds_healthy (router->rows))
    return;
  if (state->config.len > 0)
    mq_config_submit (router, state->config, 0);
  if (state->same_workers)
    return;
  mq_fleet_set_time (router->fleet, mq_clock_ms ());
  mq_fleet_list_begin (router->fleet);
  for (size_t i = 0; i < state->worker_count; i++)
    put_worker (router, &state->workers[i]);
  mq_fleet_list_end (router->fleet, 0);
  router->workers_listed = true;
}

static void
log_table_state (struct mq_router *router)
{
  bool down = mq_rows_down (router->rows);
  struct mq_json_line line;

  if (down == router->table_down)
    return;
  router->table_down = down;
  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 down ? MQ_LOG_TABLE_DOWN : MQ_LOG_TABLE_UP);
  mq_json_number (&line, "hosts", mq_relay_host_count (router->relay));
  mq_json_number (&line, "relayed", mq_relay_calls_sent (router->relay));
  mq_json_end (&line);
}

/* Requests newer state from another host.  */
static void
request_sync (struct mq_router *router)
{
  struct mq_relay_sync sync = { 0 };
  size_t count = 0;
  struct mq_fleet_member *workers
      = mq_fleet_list (router->fleet, router, &count);

  if (router->routes != NULL)
    sync.config_version = router->routes->version;
  if (router->workers_listed && workers != NULL)
    sync.workers_digest = mq_fleet_digest (workers, count);
  mq_relay_request_sync (router->relay, &sync);
  talloc_free (workers);
}

void
mq_feed_sweep (struct mq_router *router)
{
  uint64_t now = mq_clock_ms ();

  log_table_state (router);
  mq_fleet_expire (router->fleet, now);
  if (mq_rows_feeds_healthy (router->rows) || now - router->sync_ms < SYNC_MS)
    return;
  router->sync_ms = now;
  request_sync (router);
}
