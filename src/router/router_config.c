/* router_config.c - a configuration is taken into force, a little in each
   turn of the event loop.

   The one in force stays until the new one is whole, and is replaced only by
   a newer version, so that what a process does never falls back.  One is
   read at a time, the next one after it: those that come fast can't keep each
   other from being read to the end.
   Needs: router_state.h, clock.h.  */

#include "router_state.h"
#include "net/clock.h"
#include <string.h>

/* Bytes of the configuration that are read in one turn: some eighty routes,
   half a millisecond of a processor, ten on a host that has a twentieth of
   one.  */
#define TURN_BYTES ((size_t)16384)
/* Time in which a configuration is read, whatever else there is to do: each
   turn reads what is needed to keep pace.  Half of the two seconds within
   which a version must be in force.  */
#define TAKE_MS 1000U

/**
 * struct mq_confirm - someone who waits for the newest configuration
 * @list: of those who wait for the same
 */
struct mq_confirm
{
  struct mq_router *router;
  struct mq_confirm *next;
  struct mq_confirm **list;
  mq_confirmed *told;
  void *user;
};

/**
 * struct mq_config_take - a configuration that came
 * @row: version of its row, 0: another host told it
 * @turns: of the event loop that it took so far
 * @whole: it is read, and not yet in force
 * @waiting: those who are told when it is done with
 * @next: is read after it
 */
struct mq_config_take
{
  struct mq_router *router;
  struct mq_config_reader *reader;
  uint64_t row;
  uint64_t since_ms;
  uint32_t turns;
  bool whole;
  struct mq_timer *timer;
  struct mq_confirm *waiting;
  struct mq_config_take *next;
};

static void wait_turn (struct mq_config_take *take);

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
log_in_force (const struct mq_config_take *take,
              const struct mq_route_table *table)
{
  struct mq_router *router = take->router;
  struct mq_json_line line;

  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_CONFIG_IN_FORCE);
  mq_json_number (&line, "version", table->version);
  if (router->routes != NULL)
    mq_json_number (&line, "in_force", router->routes->version);
  mq_json_number (&line, "routes", table->route_count);
  mq_json_number (&line, "idle_ms", table->limits.idle_ms);
  mq_json_number (&line, "took_ms", mq_clock_ms () - take->since_ms);
  mq_json_number (&line, "turns", take->turns);
  mq_json_end (&line);
}

/* Those who wait */

static void
tell (struct mq_confirm *confirm, bool current)
{
  confirm->told (current, confirm->user);
  talloc_free (confirm);
}

static void
put_in (struct mq_confirm **list, struct mq_confirm *confirm)
{
  confirm->list = list;
  confirm->next = *list;
  *list = confirm;
}

static void
take_out (struct mq_confirm *confirm)
{
  struct mq_confirm **at = confirm->list;

  while (*at != confirm)
    at = &(*at)->next;
  *at = confirm->next;
}

/* All who are in FROM are in TO then.  */
static void
move_all (struct mq_confirm **from, struct mq_confirm **to)
{
  while (*from != NULL)
    {
      struct mq_confirm *confirm = *from;

      take_out (confirm);
      put_in (to, confirm);
    }
}

/* What those do who are told may end others that wait.  */
static void
tell_all (struct mq_confirm **list, bool current)
{
  while (*list != NULL)
    {
      struct mq_confirm *confirm = *list;

      take_out (confirm);
      tell (confirm, current);
    }
}

/* Taking */

/* TAKE is over, in force or not.  */
static void
end_take (struct mq_config_take *take)
{
  struct mq_router *router = take->router;

  router->config_take = take->next;
  tell_all (&take->waiting, true);
  talloc_free (take);
  if (router->config_take != NULL && router->config_take->turns == 0)
    wait_turn (router->config_take);
}

static void
put_in_force (struct mq_config_take *take)
{
  struct mq_router *router = take->router;
  struct mq_bytes text = mq_wire_config_text (take->reader);
  struct mq_route_table *table = mq_wire_config_take (router, take->reader);

  mq_route_table_sort (table);
  talloc_free (router->config.data);
  router->config.data = talloc_steal (router, text.data);
  router->config.len = text.len;
  log_in_force (take, table);
  /* Requests under way hold a reference to the one they began with.  */
  if (router->routes != NULL)
    talloc_unlink (router, router->routes);
  router->routes = table;
  router->counters.config_changes++;
}

/* Bytes to read in this turn.  */
static size_t
turn_bytes (const struct mq_config_take *take)
{
  uint64_t elapsed = mq_clock_ms () - take->since_ms;
  size_t whole = mq_wire_config_text (take->reader).len;
  size_t due = whole;
  size_t done = mq_wire_config_done (take->reader);

  if (elapsed < TAKE_MS)
    due = (size_t)(whole * elapsed / TAKE_MS);
  return due > done + TURN_BYTES ? due - done : TURN_BYTES;
}

/* It is not newer than the one in force.  */
static bool
is_stale (const struct mq_config_take *take)
{
  const struct mq_route_table *routes = take->router->routes;
  uint64_t version = mq_wire_config_version (take->reader);

  return routes != NULL && version != 0 && version <= routes->version;
}

/* Reads on; false when TAKE is over and gone.  */
static bool
read_on (struct mq_config_take *take)
{
  struct mq_error error = { .type = MQ_ERR_NONE };
  enum mq_config_progress progress
      = mq_wire_config_read_on (take->reader, turn_bytes (take), &error);

  if (progress == MQ_CONFIG_UNUSABLE)
    log_unreadable (take->router, &error);
  if (progress == MQ_CONFIG_UNUSABLE || is_stale (take))
    {
      end_take (take);
      return false;
    }
  take->whole = progress == MQ_CONFIG_WHOLE;
  return true;
}

/* Failure: a configuration of thousands of routes, read in one go, keeps all
   callers of a host with little of a processor waiting for half a second.  So
   each turn reads some of it, by a timer that is due at once: the event loop
   comes to everything else that is ready before it comes back.  Putting a
   long one in force, sorting it above all, is a turn of its own.  */
static void
run_turn (void *data)
{
  struct mq_config_take *take = data;
  bool reads = !take->whole;

  take->timer = NULL;
  take->turns++;
  if (reads && !read_on (take))
    return;
  if (!take->whole || (reads && take->turns > 1))
    {
      wait_turn (take);
      return;
    }
  put_in_force (take);
  end_take (take);
}

/* Without memory for a timer it goes on at once.  */
static void
wait_turn (struct mq_config_take *take)
{
  take->timer = mq_timer_add (take, take->router->ev, 0, run_turn, take);
  if (take->timer == NULL)
    run_turn (take);
}

static bool
is_same (struct mq_bytes one, struct mq_bytes other)
{
  return one.len == other.len
         && (one.len == 0 || memcmp (one.data, other.data, one.len) == 0);
}

static struct mq_config_take *
make_take (struct mq_router *router, struct mq_bytes value, uint64_t row)
{
  struct mq_config_take *take = talloc_zero (router, struct mq_config_take);
  struct mq_error error = { .type = MQ_ERR_NONE };

  if (take != NULL)
    take->reader = mq_wire_config_begin (take, value);
  if (take == NULL || take->reader == NULL)
    {
      mq_error_set (&error, MQ_ERR_NO_MEMORY, "configuration", NULL);
      log_unreadable (router, &error);
      talloc_free (take);
      return NULL;
    }
  take->router = router;
  take->row = row;
  take->since_ms = mq_clock_ms ();
  return take;
}

/* VALUE says the same as TAKE, or is older.  */
static bool
covers (const struct mq_config_take *take, struct mq_bytes value, uint64_t row)
{
  return (row != 0 && row < take->row)
         || is_same (mq_wire_config_text (take->reader), value);
}

/* VALUE came while another is read.  It waits, in the place of one that came
   before if that is known to be older.  */
static struct mq_config_take *
put_behind (struct mq_config_take *first, struct mq_bytes value, uint64_t row)
{
  struct mq_config_take **at = &first->next;
  struct mq_config_take *take;

  if (covers (first, value, row))
    return first;
  for (; *at != NULL; at = &(*at)->next)
    if (covers (*at, value, row))
      return *at;
    else if (row != 0 && (*at)->row != 0)
      break;
  take = make_take (first->router, value, row);
  if (take == NULL)
    return first;
  if (*at != NULL)
    {
      struct mq_config_take *older = *at;

      take->next = older->next;
      move_all (&older->waiting, &take->waiting);
      talloc_free (older);
    }
  *at = take;
  return take;
}

/* Those who wait for VALUE wait for what is returned, NULL: for nothing.  */
static struct mq_config_take *
find_take (struct mq_router *router, struct mq_bytes value, uint64_t row)
{
  if (router->config_take != NULL)
    return put_behind (router->config_take, value, row);
  if (router->routes != NULL && is_same (router->config, value))
    return NULL;
  router->config_take = make_take (router, value, row);
  return router->config_take;
}

/* WAITING, NULL: nobody, are told when VALUE is in force, or one that is
   newer.  */
static void
offer (struct mq_router *router, struct mq_bytes value, uint64_t row,
       struct mq_confirm **waiting)
{
  struct mq_config_take *take = find_take (router, value, row);

  if (waiting != NULL && take == NULL)
    tell_all (waiting, true);
  else if (waiting != NULL)
    move_all (waiting, &take->waiting);
  if (take != NULL && take == router->config_take && take->turns == 0)
    run_turn (take);
}

void
mq_config_offer (struct mq_router *router, struct mq_bytes value, uint64_t row)
{
  offer (router, value, row, NULL);
}

/* Asking */

/**
 * struct mq_config_ask - a question to the platform for the newest
 * configuration
 * @call: under way, NULL: none
 * @began_ms: when it, or the one before it, began
 * @known_ms: when one began whose answer was the newest, 0: none
 * @asked: those who were there when it began
 * @later: those who came since; it may not tell what is the newest for them
 */
struct mq_config_ask
{
  struct mq_router *router;
  struct mq_ledger_call *call;
  uint64_t began_ms;
  uint64_t known_ms;
  struct mq_confirm *asked;
  struct mq_confirm *later;
};

static void on_read (const struct mq_rows_result *result, void *user);

static void
start_read (struct mq_config_ask *ask)
{
  move_all (&ask->later, &ask->asked);
  if (ask->asked == NULL)
    return;
  ask->began_ms = mq_clock_ms ();
  ask->call = mq_ledger_get (ask->router->ledger, mq_wire_config_table, "",
                             mq_wire_config_key, on_read, ask);
}

/* The next call begins after those who are told: one of them may ask again. */
static void
on_read (const struct mq_rows_result *result, void *user)
{
  struct mq_config_ask *ask = user;
  struct mq_confirm *told = NULL;

  move_all (&ask->asked, &told);
  if (result->status == MQ_STORE_OK && result->row_count > 0)
    ask->known_ms = ask->began_ms;
  if (result->status == MQ_STORE_OK && result->row_count > 0)
    offer (ask->router, result->rows[0].value, result->rows[0].version, &told);
  else
    tell_all (&told, false);
  ask->call = NULL;
  start_read (ask);
}

static struct mq_config_ask *
get_ask (struct mq_router *router)
{
  if (router->config_ask == NULL)
    router->config_ask = talloc_zero (router, struct mq_config_ask);
  if (router->config_ask != NULL)
    router->config_ask->router = router;
  return router->config_ask;
}

bool
mq_config_asked_within (const struct mq_router *router, uint32_t ms)
{
  const struct mq_config_ask *ask = router->config_ask;

  return ask != NULL && router->config_take == NULL && ask->known_ms != 0
         && mq_clock_ms () - ask->known_ms < ms;
}

/* Failure: each caller who asks for what no route serves costs the host a read
   of the whole configuration, some million bytes; many of them at a time cost
   its memory, and the reads are over their time.  So one is read at a time,
   for all who were there when it began.  */
struct mq_confirm *
mq_config_confirm (struct mq_router *router, mq_confirmed *told, void *user)
{
  struct mq_confirm *confirm = talloc_zero (router, struct mq_confirm);
  struct mq_config_ask *ask = get_ask (router);

  if (confirm == NULL || ask == NULL)
    {
      talloc_free (confirm);
      return NULL;
    }
  confirm->router = router;
  confirm->told = told;
  confirm->user = user;
  put_in (&ask->later, confirm);
  if (ask->call == NULL)
    start_read (ask);
  return confirm;
}

void
mq_config_forget (struct mq_confirm *confirm)
{
  if (confirm == NULL)
    return;
  take_out (confirm);
  talloc_free (confirm);
}
