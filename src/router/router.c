/* router.c - the process on an entry host that callers' requests go through.

   Needs: router.h, router_state.h, router_ready.h, clock.h.  */

#include "router.h"
#include "net/clock.h"
#include "net/listen.h"
#include "router_ready.h"
#include "router_state.h"
#include <unistd.h>

/* Pause between two looks at idle connections, programs and a stop.  */
#define SWEEP_MS 250U
/* Pause between two lines of the log with what was counted.  */
#define COUNTERS_MS 10000U
/* A timer that comes so late is told of in the log: the shortest time-out
   towards others is as long.  */
#define STALLED_MS 100U

static void set_sweep (struct mq_router *router);

static void
log_state (struct mq_router *router, enum mq_log_event event)
{
  struct mq_json_line line;

  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY, event);
  mq_json_text (&line, "data_centre", router->settings->data_centre);
  mq_json_text (&line, "http", router->settings->http);
  mq_json_number (&line, "requests", router->request_count);
  mq_json_number (&line, "served", router->counters.served);
  mq_json_number (&line, "budget_writes", router->counters.budget_writes);
  mq_json_number (&line, "turn_writes", router->counters.turn_writes);
  mq_json_number (&line, "turn_reads", router->counters.turn_reads);
  mq_json_number (&line, "store_writes",
                  mq_rows_counters (router->rows)->writes);
  mq_json_number (&line, "store_reads",
                  mq_rows_counters (router->rows)->reads);
  mq_json_end (&line);
}

/* The first part of a stop goes by while the balancer takes us out and callers
   still come.  Then no new connection is taken and idle ones are closed: a
   caller that is not let in tries another host, while a request taken
   late in the stop would be cut off at its end.  Once no connection of a
   caller is left, also none that still sends, the process ends: with only the
   requests under way counted, one that lay unread was lost with it.  */
static void
step_leaving (struct mq_router *router)
{
  uint64_t since = mq_clock_ms () - router->leaving_since_ms;

  if (since < router->settings->settle_ms)
    return;
  mq_callers_stop (router);
  if ((router->caller_count == 0 && router->ending_count == 0)
      || since >= router->stop_ms)
    router->stopped = true;
}

/* What the process counts goes to the log too, where whoever looks into a
   failure finds it beside the decisions.  */
static void
log_counters (struct mq_router *router)
{
  uint64_t now = mq_clock_ms ();

  if (now - router->counted_ms < COUNTERS_MS)
    return;
  router->counted_ms = now;
  log_state (router, MQ_LOG_COUNTERS);
}

/* Says that the event loop was held up, and by how much at least: handlers
   that end before this timer is due don't show.  */
static void
note_held_up (struct mq_router *router)
{
  uint64_t now = mq_clock_ms ();
  uint64_t held = now > router->sweep_due_ms ? now - router->sweep_due_ms : 0;
  struct mq_json_line line;

  mq_histogram_add (&router->held_up, held);
  if (held < STALLED_MS)
    return;
  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_LOOP_HELD_UP);
  mq_json_number (&line, "held_ms", held);
  mq_json_end (&line);
}

static void
on_sweep (void *data)
{
  struct mq_router *router = data;

  note_held_up (router);
  mq_callers_sweep (router);
  mq_pool_sweep (router->pool);
  mq_turns_sweep (router->turns);
  mq_feed_sweep (router);
  mq_hosts_sweep (router);
  mq_reserve_sweep (router);
  mq_permits_sweep (router);
  mq_clean_sweep (router);
  log_counters (router);
  if (router->leaving)
    mq_reserve_leave (router);
  if (router->leaving)
    step_leaving (router);
  set_sweep (router);
}

static void
set_sweep (struct mq_router *router)
{
  router->sweep_due_ms = mq_clock_ms () + SWEEP_MS;
  mq_timer_add (router, router->ev, SWEEP_MS, on_sweep, router);
}

static int
close_ports (struct mq_router *router)
{
  TALLOC_FREE (router->front_event);
  TALLOC_FREE (router->ready_event);
  if (router->front_fd >= 0)
    close (router->front_fd);
  if (router->ready_fd >= 0)
    close (router->ready_fd);
  return 0;
}

static bool
create_parts (struct mq_router *router, struct mq_error *error)
{
  const struct mq_router_settings *settings = router->settings;
  struct mq_relay_owner owner = { .sync = mq_feed_on_sync,
                                  .state = mq_feed_on_state,
                                  .loan_ask = mq_loan_on_ask,
                                  .loan_told = mq_loan_on_told,
                                  .loan_back = mq_loan_on_back,
                                  .quota_ask = mq_permits_on_ask,
                                  .quota_told = mq_permits_on_told,
                                  .quota_recall = mq_permits_on_recall,
                                  .user = router };

  router->log = mq_json_log_create (router, router->ev, STDOUT_FILENO,
                                    "mimosa-routerd", settings->host);
  router->fleet = mq_fleet_create (router);
  router->admission = mq_admission_create (router);
  router->rows = mq_rows_create (router, router->ev, settings->table);
  if (router->log == NULL || router->fleet == NULL || router->admission == NULL
      || router->rows == NULL)
    return false;
  router->relay = mq_relay_create (router, router->ev, settings->peer,
                                   router->rows, &owner, error);
  if (router->relay == NULL)
    return false;
  router->ledger = mq_ledger_create (router, router->rows, router->relay);
  router->pool = mq_pool_create (router, router->ev, router->fleet);
  router->turns = mq_turns_create (router);
  router->permits = mq_permits_create (router);
  return router->ledger != NULL && router->pool != NULL
         && router->turns != NULL;
}

struct mq_router *
mq_router_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                  const struct mq_router_settings *settings,
                  struct mq_error *error)
{
  struct mq_router *router = talloc_zero (ctx, struct mq_router);

  if (router == NULL)
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, "", NULL);
      return NULL;
    }
  router->ev = ev;
  router->front_fd = -1;
  router->ready_fd = -1;
  talloc_set_destructor (router, close_ports);
  router->settings = settings;
  router->stop_ms = settings->stop_ms;
  router->random = mq_clock_random ();
  if (!create_parts (router, error))
    {
      if (error->type == MQ_ERR_NONE)
        mq_error_set (error, MQ_ERR_NO_MEMORY, "", NULL);
      talloc_free (router);
      return NULL;
    }
  if (!mq_callers_listen (router, error) || !mq_ready_listen (router, error))
    {
      talloc_free (router);
      return NULL;
    }
  mq_hosts_start (router);
  mq_feed_start (router);
  set_sweep (router);
  log_state (router, MQ_LOG_STARTED);
  return router;
}

void
mq_router_destroy (struct mq_router *router)
{
  if (router == NULL)
    return;
  log_state (router, MQ_LOG_STOPPED);
  mq_json_log_flush (router->log);
  talloc_free (router);
}

void
mq_router_reloaded (struct mq_router *router,
                    const struct mq_router_settings *settings)
{
  if (settings == NULL)
    {
      log_state (router, MQ_LOG_RELOAD_REFUSED);
      return;
    }
  router->stop_ms = settings->stop_ms;
  log_state (router, MQ_LOG_RELOADED);
}

void
mq_router_leave (struct mq_router *router)
{
  if (router->leaving)
    return;
  router->leaving = true;
  router->leaving_since_ms = mq_clock_ms ();
  mq_hosts_stop (router);
  mq_reserve_leave (router);
  log_state (router, MQ_LOG_LEAVING);
}

uint64_t
mq_router_log_strays (const struct mq_router *router)
{
  return mq_json_log_unknown_keys (router->log);
}

uint16_t
mq_router_http_port (const struct mq_router *router)
{
  return mq_listen_port (router->front_fd);
}

uint16_t
mq_router_ready_port (const struct mq_router *router)
{
  return mq_listen_port (router->ready_fd);
}

const char *
mq_router_peer_address (const struct mq_router *router)
{
  return mq_relay_address (router->relay);
}

bool
mq_router_stopped (const struct mq_router *router)
{
  return router->stopped;
}
