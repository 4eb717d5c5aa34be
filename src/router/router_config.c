/* router_config.c - loads a configuration in short steps and activates it.

   The active configuration stays until a newer version is completely loaded,
   so that versions never go back.  Configurations are loaded one after
   another, so that frequent updates cannot keep each other from completing.
   Needs: router_state.h, clock.h.  */

#include "router_state.h"
#include "net/clock.h"
#include <string.h>

/* Minimum number of bytes parsed per iteration of the event loop, small enough
   for a host with little CPU.  */
#define STEP_MIN_BYTES ((size_t)16384)
/* Time in which a configuration is to be loaded; steps grow as needed to meet
   it.  */
#define LOAD_TARGET_MS 1000U

/**
 * struct mq_config_waiter - a caller waiting for the latest configuration
 * @list: list that contains this waiter
 */
struct mq_config_waiter
{
  struct mq_router *router;
  struct mq_config_waiter *next;
  struct mq_config_waiter **list;
  mq_config_latest_handler *handler;
  void *user;
};

/**
 * struct mq_config_load - a configuration being loaded
 * @row: version of its row; 0 if received from another host
 * @since_ms: start of loading, local monotonic clock
 * @turns: iterations of the event loop used so far
 * @whole: completely parsed, not active yet
 * @waiting: waiters to notify when the load has ended
 * @next: configuration to load next
 */
struct mq_config_load
{
  struct mq_router *router;
  struct mq_config_reader *reader;
  uint64_t row;
  uint64_t since_ms;
  uint32_t turns;
  bool whole;
  struct mq_timer *timer;
  struct mq_config_waiter *waiting;
  struct mq_config_load *next;
};

static void schedule_step (struct mq_config_load *load);

static void
log_unreadable (struct mq_router *router, const struct mq_error *error)
{
  struct mq_json_line line;

  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_CONFIG_UNREADABLE);
  mq_json_number (&line, "version", 0);
  if (router->routes != NULL)
    mq_json_number (&line, "in_force", router->routes->version);
  mq_json_error (&line, error);
  mq_json_end (&line);
}

static void
log_active (const struct mq_config_load *load,
            const struct mq_route_table *table)
{
  struct mq_router *router = load->router;
  struct mq_json_line line;

  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_CONFIG_IN_FORCE);
  mq_json_number (&line, "version", table->version);
  if (router->routes != NULL)
    mq_json_number (&line, "in_force", router->routes->version);
  mq_json_number (&line, "routes", table->route_count);
  mq_json_number (&line, "idle_ms", table->limits.idle_ms);
  mq_json_number (&line, "took_ms", mq_clock_ms () - load->since_ms);
  mq_json_number (&line, "turns", load->turns);
  mq_json_end (&line);
}

static void
notify (struct mq_config_waiter *waiter, bool current)
{
  waiter->handler (current, waiter->user);
  talloc_free (waiter);
}

static void
add_waiter (struct mq_config_waiter **list, struct mq_config_waiter *waiter)
{
  waiter->list = list;
  waiter->next = *list;
  *list = waiter;
}

static void
remove_waiter (struct mq_config_waiter *waiter)
{
  struct mq_config_waiter **at = waiter->list;

  while (*at != waiter)
    at = &(*at)->next;
  *at = waiter->next;
}

/* Moves all waiters from FROM to TO.  */
static void
move_all (struct mq_config_waiter **from, struct mq_config_waiter **to)
{
  while (*from != NULL)
    {
      struct mq_config_waiter *waiter = *from;

      remove_waiter (waiter);
      add_waiter (to, waiter);
    }
}

/* Notifies one waiter at a time, because a handler may cancel others.  */
static void
notify_all (struct mq_config_waiter **list, bool current)
{
  while (*list != NULL)
    {
      struct mq_config_waiter *waiter = *list;

      remove_waiter (waiter);
      notify (waiter, current);
    }
}

/* Loading */

/* Ends LOAD, activated or not, and starts the next one.  */
static void
end_load (struct mq_config_load *load)
{
  struct mq_router *router = load->router;

  router->config_loading = load->next;
  notify_all (&load->waiting, true);
  talloc_free (load);
  if (router->config_loading != NULL && router->config_loading->turns == 0)
    schedule_step (router->config_loading);
}

static void
activate (struct mq_config_load *load)
{
  struct mq_router *router = load->router;
  struct mq_bytes text = mq_wire_config_text (load->reader);
  struct mq_route_table *table
      = mq_wire_config_take_table (router, load->reader);

  mq_route_table_sort (table);
  talloc_free (router->config.data);
  router->config.data = talloc_steal (router, text.data);
  router->config.len = text.len;
  log_active (load, table);
  /* Pending requests hold a reference to the table they were routed with.  */
  if (router->routes != NULL)
    talloc_unlink (router, router->routes);
  router->routes = table;
  router->counters.config_changes++;
}

/* Number of bytes to parse in this step.  */
static size_t
step_bytes (const struct mq_config_load *load)
{
  uint64_t elapsed = mq_clock_ms () - load->since_ms;
  size_t whole = mq_wire_config_text (load->reader).len;
  size_t due = whole;
  size_t done = mq_wire_config_parsed_bytes (load->reader);

  if (elapsed < LOAD_TARGET_MS)
    due = (size_t)(whole * elapsed / LOAD_TARGET_MS);
  return due > done + STEP_MIN_BYTES ? due - done : STEP_MIN_BYTES;
}

/* Whether the configuration is not newer than the active one.  */
static bool
is_stale (const struct mq_config_load *load)
{
  const struct mq_route_table *routes = load->router->routes;
  uint64_t version = mq_wire_config_version (load->reader);

  return routes != NULL && version != 0 && version <= routes->version;
}

/* Parses the next part.  Returns false if LOAD has ended and was freed.  */
static bool
parse_step (struct mq_config_load *load)
{
  struct mq_error error = { .type = MQ_ERR_NONE };
  enum mq_config_progress progress
      = mq_wire_config_parse_some (load->reader, step_bytes (load), &error);

  if (progress == MQ_CONFIG_INVALID)
    log_unreadable (load->router, &error);
  if (progress == MQ_CONFIG_INVALID || is_stale (load))
    {
      end_load (load);
      return false;
    }
  load->whole = progress == MQ_CONFIG_COMPLETE;
  return true;
}

/* Runs one step from a timer that is due at once, so that the event loop
   handles other events between steps.  Activating a long configuration, which
   includes sorting it, is a step of its own.

   Failure: a large configuration parsed in one go delays all callers of a host
   with little CPU.  */
static void
run_step (void *data)
{
  struct mq_config_load *load = data;
  bool reads = !load->whole;

  load->timer = NULL;
  load->turns++;
  if (reads && !parse_step (load))
    return;
  if (!load->whole || (reads && load->turns > 1))
    {
      schedule_step (load);
      return;
    }
  activate (load);
  end_load (load);
}

/* Runs the step at once if no timer can be allocated.  */
static void
schedule_step (struct mq_config_load *load)
{
  load->timer = mq_timer_add (load, load->router->ev, 0, run_step, load);
  if (load->timer == NULL)
    run_step (load);
}

static bool
is_same (struct mq_bytes one, struct mq_bytes other)
{
  return one.len == other.len
         && (one.len == 0 || memcmp (one.data, other.data, one.len) == 0);
}

static struct mq_config_load *
create_load (struct mq_router *router, struct mq_bytes value, uint64_t row)
{
  struct mq_config_load *load = talloc_zero (router, struct mq_config_load);
  struct mq_error error = { .type = MQ_ERR_NONE };

  if (load != NULL)
    load->reader = mq_wire_config_begin (load, value);
  if (load == NULL || load->reader == NULL)
    {
      mq_error_set (&error, MQ_ERR_NO_MEMORY, "configuration", NULL);
      log_unreadable (router, &error);
      talloc_free (load);
      return NULL;
    }
  load->router = router;
  load->row = row;
  load->since_ms = mq_clock_ms ();
  return load;
}

/* Whether VALUE equals the configuration of LOAD or is older.  */
static bool
covers (const struct mq_config_load *load, struct mq_bytes value, uint64_t row)
{
  return (row != 0 && row < load->row)
         || is_same (mq_wire_config_text (load->reader), value);
}

/* Queues VALUE behind FIRST, replacing a queued configuration that is known to
   be older.  */
static struct mq_config_load *
queue_load (struct mq_config_load *first, struct mq_bytes value, uint64_t row)
{
  struct mq_config_load **at = &first->next;
  struct mq_config_load *load;

  if (covers (first, value, row))
    return first;
  for (; *at != NULL; at = &(*at)->next)
    if (covers (*at, value, row))
      return *at;
    else if (row != 0 && (*at)->row != 0)
      break;
  load = create_load (first->router, value, row);
  if (load == NULL)
    return first;
  if (*at != NULL)
    {
      struct mq_config_load *older = *at;

      load->next = older->next;
      move_all (&older->waiting, &load->waiting);
      talloc_free (older);
    }
  *at = load;
  return load;
}

/* Returns the load that will activate VALUE or a newer version; NULL if it is
   active already.  */
static struct mq_config_load *
find_or_queue_load (struct mq_router *router, struct mq_bytes value,
                    uint64_t row)
{
  if (router->config_loading != NULL)
    return queue_load (router->config_loading, value, row);
  if (router->routes != NULL && is_same (router->config, value))
    return NULL;
  router->config_loading = create_load (router, value, row);
  return router->config_loading;
}

/* Loads VALUE and notifies WAITING, which may be NULL, once it or a newer
   version is active.  */
static void
load_config (struct mq_router *router, struct mq_bytes value, uint64_t row,
             struct mq_config_waiter **waiting)
{
  struct mq_config_load *load = find_or_queue_load (router, value, row);

  if (waiting != NULL && load == NULL)
    notify_all (waiting, true);
  else if (waiting != NULL)
    move_all (waiting, &load->waiting);
  if (load != NULL && load == router->config_loading && load->turns == 0)
    run_step (load);
}

void
mq_config_submit (struct mq_router *router, struct mq_bytes value,
                  uint64_t row)
{
  load_config (router, value, row, NULL);
}

/* Querying */

/**
 * struct mq_config_query - query of the platform for the latest configuration
 * @check: pending check for changes; NULL if none
 * @call: pending read of the configuration; NULL if none
 * @began_ms: start of the last call, local monotonic clock
 * @known_ms: start of the last successful call; 0 if none
 * @asked: waiters served by the pending call
 * @later: waiters that arrived after it began, for which its result may be
 *         outdated
 */
struct mq_config_query
{
  struct mq_router *router;
  struct mq_rows_call *check;
  struct mq_table_client_call *call;
  uint64_t began_ms;
  uint64_t known_ms;
  struct mq_config_waiter *asked;
  struct mq_config_waiter *later;
};

static void on_read (const struct mq_rows_result *result, void *user);
static void on_checked (const struct mq_rows_result *result, void *user);

/* The configuration may be long, so it is only read if the changes are not
   available.  */
static void
start_query (struct mq_config_query *query)
{
  move_all (&query->later, &query->asked);
  if (query->asked == NULL)
    return;
  query->began_ms = mq_clock_ms ();
  query->check = mq_rows_check (query->router->rows, mq_wire_config_table,
                                on_checked, query);
}

/* Notifies WAITING once the configuration that was read last is active.  */
static void
confirm (struct mq_router *router, struct mq_config_waiter **waiting)
{
  struct mq_config_load *load = router->config_loading;

  if (load == NULL)
    {
      notify_all (waiting, true);
      return;
    }
  while (load->next != NULL)
    load = load->next;
  move_all (waiting, &load->waiting);
}

/* The newest row of the configuration in RESULT; NULL if it has none.  */
static const struct mq_rows_entry *
find_config (const struct mq_rows_result *result)
{
  const struct mq_rows_entry *found = NULL;

  for (size_t i = 0; i < result->row_count; i++)
    if (!result->rows[i].remove
        && strcmp (result->rows[i].key, mq_wire_config_key) == 0)
      found = &result->rows[i];
  return found;
}

static void
on_checked (const struct mq_rows_result *result, void *user)
{
  struct mq_config_query *query = user;
  struct mq_router *router = query->router;
  struct mq_config_waiter *served = NULL;
  const struct mq_rows_entry *row = find_config (result);

  if (result->status != MQ_STORE_OK
      || (row == NULL && router->routes == NULL
          && router->config_loading == NULL))
    {
      query->check = NULL;
      query->call
          = mq_table_client_get (router->table_client, mq_wire_config_table,
                                 "", mq_wire_config_key, on_read, query);
      return;
    }
  move_all (&query->asked, &served);
  query->known_ms = query->began_ms;
  if (row != NULL)
    load_config (router, row->value, row->version, &served);
  else
    confirm (router, &served);
  query->check = NULL;
  start_query (query);
}

/* Notifies the waiters before the next call begins, since a handler may add a
   waiter.  */
static void
on_read (const struct mq_rows_result *result, void *user)
{
  struct mq_config_query *query = user;
  struct mq_config_waiter *served = NULL;

  move_all (&query->asked, &served);
  if (result->status == MQ_STORE_OK && result->row_count > 0)
    query->known_ms = query->began_ms;
  if (result->status == MQ_STORE_OK && result->row_count > 0)
    load_config (query->router, result->rows[0].value, result->rows[0].version,
                 &served);
  else
    notify_all (&served, false);
  query->call = NULL;
  start_query (query);
}

static struct mq_config_query *
get_query (struct mq_router *router)
{
  if (router->config_query == NULL)
    router->config_query = talloc_zero (router, struct mq_config_query);
  if (router->config_query != NULL)
    router->config_query->router = router;
  return router->config_query;
}

bool
mq_config_confirmed_within (const struct mq_router *router, uint32_t ms)
{
  const struct mq_config_query *query = router->config_query;

  return query != NULL && router->config_loading == NULL
         && query->known_ms != 0 && mq_clock_ms () - query->known_ms < ms;
}

/* One call at a time serves all waiters that were present when it began.

   Failure: each request without a route reads the whole configuration; many at
   once exhaust memory and time out.  */
struct mq_config_waiter *
mq_config_fetch_latest (struct mq_router *router,
                        mq_config_latest_handler *handler, void *user)
{
  struct mq_config_waiter *waiter
      = talloc_zero (router, struct mq_config_waiter);
  struct mq_config_query *query = get_query (router);

  if (waiter == NULL || query == NULL)
    {
      talloc_free (waiter);
      return NULL;
    }
  waiter->router = router;
  waiter->handler = handler;
  waiter->user = user;
  add_waiter (&query->later, waiter);
  if (query->call == NULL && query->check == NULL)
    start_query (query);
  return waiter;
}

void
mq_config_cancel_fetch (struct mq_config_waiter *waiter)
{
  if (waiter == NULL)
    return;
  remove_waiter (waiter);
  talloc_free (waiter);
}
