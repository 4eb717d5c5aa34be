/* router.c - router process on an entry host.

   Needs: router.h, router_state.h, router_ready.h, clock.h.  */

#include "router.h"
#include "net/clock.h"
#include "net/listen.h"
#include "router_ready.h"
#include "router_state.h"
#include <unistd.h>

/* Interval of the periodic maintenance.  */
#define SWEEP_INTERVAL_MS 250U
/* Time from the end of a stop's time until the process exits, at most.  The
   settings reserve it.  */
#define END_MS 500U
/* Interval of the maintenance meanwhile.  */
#define END_INTERVAL_MS 50U
/* Interval between log lines with the counters.  */
#define COUNTERS_INTERVAL_MS 10000U
/* Delay of the sweep timer that is logged, as long as the shortest timeout
   towards other processes.  */
#define LOOP_DELAY_LOG_MS 100U

static void schedule_sweep (struct mq_router *router);

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

/* One line for each kind of call to the table.  */
static void
log_table_calls (struct mq_router *router)
{
  const struct mq_rows_call_counters *list;
  size_t count = mq_rows_call_counters (router->rows, &list);

  for (size_t i = 0; i < count; i++)
    {
      struct mq_json_line line;

      mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                     MQ_LOG_TABLE_CALLS);
      mq_json_text (&line, "table", list[i].table);
      mq_json_text (&line, "call", list[i].kind);
      mq_json_number (&line, "calls", list[i].calls);
      mq_json_number (&line, "conflicts", list[i].conflicts);
      mq_json_number (&line, "refused", list[i].refused);
      mq_json_number (&line, "throttled", list[i].throttled);
      mq_json_number (&line, "rejected", list[i].rejected);
      mq_json_number (&line, "unanswered", list[i].unanswered);
      mq_json_number (&line, "sent_bytes", list[i].sent_bytes);
      mq_json_number (&line, "received_bytes", list[i].received_bytes);
      mq_json_end (&line);
    }
}

static void
on_rejected (const struct mq_rows_rejection *rejection, void *user)
{
  struct mq_router *router = user;
  struct mq_json_line line;

  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_TABLE_REJECTED);
  mq_json_text (&line, "table", rejection->table);
  mq_json_text (&line, "call", rejection->kind);
  mq_json_number (&line, "status", (uint64_t)rejection->status);
  mq_json_number (&line, "entries", rejection->entries);
  mq_json_end (&line);
}

static void
on_part_down (const char *part, uint32_t timeouts, void *user)
{
  struct mq_router *router = user;
  struct mq_json_line line;

  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_TABLE_PART_DOWN);
  mq_json_text (&line, "part", part);
  mq_json_number (&line, "timeouts", timeouts);
  mq_json_end (&line);
}

/* Ends a stop whose time is over: first the pending requests are answered,
   then callers have END_MS to take their responses and to complete messages.

   Failure: the process exits while whole requests wait, and their callers see
   a closed connection.  */
static void
end_stop (struct mq_router *router, uint64_t since)
{
  router->ending = true;
  mq_callers_end (router);
  if (since >= router->stop_ms + END_MS)
    router->stopped = true;
}

/* Accepts connections until the load balancer has removed this host, then
   closes the listener and idle connections.  The stop is complete once all
   connections are closed, including those that still send, or at the time
   limit.

   Failure: waiting for pending requests only, the process exits while a
   connection holds an unread request.  */
static void
advance_stop (struct mq_router *router)
{
  uint64_t since = mq_clock_ms () - router->stopping_since_ms;

  if (since < router->settings->settle_ms)
    return;
  mq_callers_stop (router);
  if (since >= router->stop_ms)
    end_stop (router, since);
  if (router->caller_count == 0 && router->ending_count == 0)
    router->stopped = true;
}

/* Logs the counters, to be read next to the other log lines.  */
static void
log_counters (struct mq_router *router)
{
  uint64_t now = mq_clock_ms ();

  if (now - router->counters_logged_ms < COUNTERS_INTERVAL_MS)
    return;
  router->counters_logged_ms = now;
  log_state (router, MQ_LOG_COUNTERS);
  log_table_calls (router);
}

/* Records the delay of the sweep timer, a lower bound on how long a handler
   blocked the event loop.  */
static void
record_loop_delay (struct mq_router *router)
{
  uint64_t now = mq_clock_ms ();
  uint64_t delay_ms
      = now > router->sweep_due_ms ? now - router->sweep_due_ms : 0;
  struct mq_json_line line;

  mq_histogram_add (&router->loop_delay, delay_ms);
  if (delay_ms < LOOP_DELAY_LOG_MS)
    return;
  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_LOOP_HELD_UP);
  mq_json_number (&line, "held_ms", delay_ms);
  mq_json_end (&line);
}

static void
on_sweep (void *data)
{
  struct mq_router *router = data;

  record_loop_delay (router);
  mq_callers_sweep (router);
  mq_pool_sweep (router->pool);
  mq_turns_sweep (router->turns);
  mq_feed_sweep (router);
  mq_hosts_sweep (router);
  if (router->stopping)
    mq_reserve_release_leases (router);
  mq_reserve_sweep (router);
  mq_permits_sweep (router);
  mq_clean_sweep (router);
  mq_version_sweep (router);
  log_counters (router);
  if (router->stopping)
    advance_stop (router);
  schedule_sweep (router);
}

static void
schedule_sweep (struct mq_router *router)
{
  uint32_t interval_ms = router->ending ? END_INTERVAL_MS : SWEEP_INTERVAL_MS;

  router->sweep_due_ms = mq_clock_ms () + interval_ms;
  mq_timer_add (router, router->ev, interval_ms, on_sweep, router);
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
                                  .loan_request = mq_loan_on_request,
                                  .loan_reply = mq_loan_on_reply,
                                  .loan_return = mq_loan_on_return,
                                  .handover = mq_handover_receive,
                                  .quota_request = mq_issuing_on_request,
                                  .quota_reply = mq_permits_on_reply,
                                  .quota_recall = mq_permits_on_recall,
                                  .evidence = mq_evidence_on_report,
                                  .run_ends = mq_suspect_watch_receive,
                                  .lease_handover = mq_reserve_on_handover,
                                  .user = router };

  router->log = mq_json_log_create (router, router->ev, STDOUT_FILENO,
                                    "mimosa-routerd", settings->host);
  router->fleet = mq_fleet_create (router);
  router->admission = mq_admission_create (router);
  router->pace = mq_pace_create (router);
  router->shares = mq_idmap_create (router);
  router->rows = mq_rows_create (router, router->ev, settings->table);
  if (router->log == NULL || router->fleet == NULL || router->admission == NULL
      || router->pace == NULL || router->shares == NULL
      || router->rows == NULL)
    return false;
  mq_rows_set_rejection_handler (router->rows, on_rejected, router);
  mq_rows_set_part_handler (router->rows, on_part_down, router);
  router->relay = mq_relay_create (router, router->ev, settings->peer,
                                   router->rows, &owner, error);
  if (router->relay == NULL)
    return false;
  mq_evidence_start (router);
  router->suspects = mq_suspect_watch_create (router);
  router->table_client
      = mq_table_client_create (router, router->rows, router->relay);
  router->pool = mq_pool_create (router, router->ev, router->fleet);
  router->turns = mq_turns_create (router);
  router->permits = mq_permits_create (router);
  router->streams = mq_streams_create (router);
  return router->suspects != NULL && router->table_client != NULL
         && router->pool != NULL && router->turns != NULL
         && router->streams != NULL;
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
  schedule_sweep (router);
  log_state (router, MQ_LOG_STARTED);
  return router;
}

void
mq_router_destroy (struct mq_router *router)
{
  if (router == NULL)
    return;
  mq_callers_log_unanswered (router);
  log_state (router, MQ_LOG_STOPPED);
  mq_json_log_flush (router->log);
  talloc_free (router);
}

void
mq_router_apply_settings (struct mq_router *router,
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
mq_router_begin_stop (struct mq_router *router)
{
  if (router->stopping)
    return;
  router->stopping = true;
  router->stopping_since_ms = mq_clock_ms ();
  mq_hosts_stop (router);
  mq_reserve_release_leases (router);
  log_state (router, MQ_LOG_LEAVING);
}

uint64_t
mq_router_log_unknown_keys (const struct mq_router *router)
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
