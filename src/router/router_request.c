/* router_request.c - life cycle of one request, from the caller to its final
   response.

   Validates the request, finds its route and prepares its turn;
   router_dispatch.c sends it to workers.
   Needs: router_request.h, id.h, memory.h, outage.h, clock.h.  */

#include "router_request.h"
#include "core/id.h"
#include "core/memory.h"
#include "core/router/outage.h"
#include "net/clock.h"
#include <stdio.h>
#include <string.h>

/* Retry-After while the platform's table is unavailable.  */
#define RETRY_TABLE_DOWN_MS 2000U
/* If a caller disconnects after the worker was inactive for this long, the
   attempt counts as a failure of the worker.  */
#define DISCONNECT_FAILURE_MS 1000U

/* Time allowed for the latest configuration if the caller sets no deadline. */
#define CONFIG_WAIT_MS 3000U

uint64_t
request_left_ms (const struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();

  return request->expires_ms > now ? request->expires_ms - now : 0;
}

const char *
request_worker_id (const struct mq_request *request)
{
  return mq_fleet_member (request->router->fleet, request->worker)->id;
}

const char *
request_worker_version (const struct mq_request *request)
{
  return mq_fleet_member (request->router->fleet, request->worker)->version;
}

void
request_begin_log_line (struct mq_json_line *line,
                        const struct mq_request *request,
                        enum mq_json_priority weight, enum mq_log_event event)
{
  mq_json_begin (line, request->router->log, weight, event);
  mq_json_text (line, "id", request->fields.id);
  mq_json_text (line, "run", request->fields.program);
  if (request->org != NULL)
    mq_json_text (line, "organisation", request->org->name);
  if (request->route != NULL)
    mq_json_text (line, "route", request->route->name);
  if (request->table != NULL)
    mq_json_number (line, "config", request->table->version);
  mq_json_number (line, "after_ms", mq_clock_ms () - request->arrived_ms);
}

void
request_log_end (const struct mq_request *request,
                 enum mq_json_priority weight, const char *outcome, int status)
{
  struct mq_json_line line;

  request_begin_log_line (&line, request, weight, MQ_LOG_REQUEST_ENDED);
  mq_json_text (&line, "outcome", outcome);
  mq_json_number (&line, "status", (uint64_t)status);
  mq_json_number (&line, "sent", request->sent);
  if (request->worker != MQ_WORKER_NONE)
    {
      mq_json_text (&line, "worker", request_worker_id (request));
      if (request->answer.stream)
        mq_json_text (&line, "worker_version",
                      request_worker_version (request));
    }
  if (request->fields.last_event != NULL && request->fields.resumes != NULL)
    mq_json_text (&line, "resumes", request->fields.resumes);
  if (request->is_turn)
    mq_json_number (&line, "tokens", request->tokens_sent);
  if (request->worker_load > 0)
    mq_json_number (&line, "worker_load", request->worker_load);
  if (request->worker_speed > 0 && request->worker_speed != MQ_SPEED_USUAL)
    mq_json_number (&line, "worker_speed", request->worker_speed);
  if (request->response_complete)
    mq_json_number (&line, "complete_ms",
                    request->completed_ms - request->arrived_ms);
  if (request->response_complete && request->turn.new_chain != NULL)
    mq_turn_log_record (&request->turn, &line);
  request_log_limit (request, &line);
  if (!mq_id_is_zero (request->work))
    {
      char work[MQ_ID_TEXT];

      mq_id_format (request->work, work);
      mq_json_text (&line, "work", work);
    }
  if (request->retry_ms > 0)
    {
      mq_json_number (&line, "load", request->service_load);
      request_log_pace (request, &line);
      request_log_shares (request, &line);
      mq_json_number (&line, "deadline_ms", request->fields.deadline_ms);
      mq_json_number (&line, "left_ms", request->fields.left_ms);
      mq_json_number (&line, "budget", request->fields.budget);
      mq_json_number (&line, "retry_ms", request->retry_ms);
    }
  mq_json_end (&line);
}

/* Cancels the pending attempt, if any.  */
static void
cancel_try (struct mq_request *request, enum mq_fleet_outcome outcome)
{
  bool silent = request->try != NULL && outcome == MQ_OUTCOME_FAILED;

  mq_try_stop (request->try, outcome);
  request->try = NULL;
  if (silent)
    {
      request->answer.silent = true;
      request_run_ended (request, MQ_ATTEMPT_BROKEN);
    }
  request_run_cancelled (request);
}

void
request_close (struct mq_request *request)
{
  struct mq_router *router = request->router;

  cancel_try (request, MQ_OUTCOME_CANCELLED);
  mq_config_cancel_fetch (request->config_waiter);
  mq_permit_cancel (request->permit);
  mq_table_client_cancel (request->record_call);
  request_cancel_row_calls (request);
  if (request->is_turn)
    {
      mq_turn_settle_budget (&request->turn, request->tokens_sent);
      mq_turn_cancel (&request->turn);
    }
  router->request_count--;
  if (request->table != NULL)
    talloc_unlink (request, request->table);
  mq_event_stream_destroy (request->answer.events);
  talloc_free (request);
}

void
request_refuse (struct mq_request *request, enum mq_refusal refusal)
{
  request_refuse_until (request, refusal, 0);
}

void
request_refuse_until (struct mq_request *request, enum mq_refusal refusal,
                      uint32_t retry_ms)
{
  struct mq_caller *caller = request->caller;
  struct mq_router *router = request->router;
  const struct mq_refusal_response *row = mq_refusal_response (refusal);

  request_log_end (request, MQ_JSON_HIGH_PRIORITY, row->name, row->status);
  if (row->status >= 500 && row->status != 503)
    router->counters.failed++;
  if (refusal == MQ_REFUSE_TABLE_UNAVAILABLE
      && mq_table_client_down (router->table_client))
    retry_ms = RETRY_TABLE_DOWN_MS;
  if (refusal == MQ_REFUSE_NO_WORKER)
    retry_ms = mq_fleet_retry_ms (router->fleet, request->service);
  if (refusal == MQ_REFUSE_OVERLOADED || refusal == MQ_REFUSE_LATE)
    retry_ms = request->retry_ms;
  request_close (request);
  mq_caller_refuse (router, caller, refusal, retry_ms);
}

void
request_abort (struct mq_request *request, const char *why)
{
  struct mq_caller *caller = request->caller;

  request->router->counters.broken++;
  request_log_end (request, MQ_JSON_HIGH_PRIORITY, why,
                   request->answer.status);
  request_close (request);
  mq_caller_abort (caller);
}

static bool
may_have_run (const struct mq_request *request)
{
  return request->may_have_run
         || (request->try != NULL && mq_try_sent (request->try));
}

static void
on_deadline (void *data)
{
  struct mq_request *request = data;

  request->timer = NULL;
  request->may_have_run = may_have_run (request);
  if (request->answer.status == 0)
    cancel_try (request, MQ_OUTCOME_FAILED);
  if (request->response_begun)
    request_abort (request, "overdue");
  else if (request->may_have_run)
    request_refuse (request, MQ_REFUSE_DEADLINE_EXCEEDED);
  else
    request_refuse (request, MQ_REFUSE_TIMED_OUT);
}

void
mq_request_end (struct mq_request *request)
{
  if (request->response_begun)
    request_abort (request, "exiting");
  else
    request_refuse (request, may_have_run (request) ? MQ_REFUSE_FAILED
                                                    : MQ_REFUSE_EXITING);
}

/* Sends the turn with its history followed by the new input.  */
static void
send_turn (struct mq_request *request)
{
  const struct mq_chain *before = request->turn.history;

  if (before != NULL)
    request->send_body
        = mq_chain_append_input (request, before, request->body);
  if (before != NULL && request->send_body.data == NULL)
    request_refuse (request, MQ_REFUSE_NO_CAPACITY);
  else
    request_dispatch (request);
}

static void
on_turn_state (enum mq_turn_state state, void *user)
{
  struct mq_request *request = user;

  switch (state)
    {
    case MQ_TURN_READY:
      send_turn (request);
      return;
    case MQ_TURN_BUDGET_EXHAUSTED:
      request_refuse (request, MQ_REFUSE_BUDGET_EXHAUSTED);
      return;
    case MQ_TURN_NOT_FOUND:
      request_refuse (request, MQ_REFUSE_NO_TURN);
      return;
    case MQ_TURN_STORE_UNAVAILABLE:
      if (request->response_complete)
        request_abort (request, "not_kept");
      else
        request_refuse (request, MQ_REFUSE_TABLE_UNAVAILABLE);
      return;
    case MQ_TURN_STORED:
      request_finish_stream (request);
      return;
    }
}

void
request_prepare_turn (struct mq_request *request)
{
  bool runs = mq_outage_should_run (request_left_ms (request),
                                    request->route->timeout_ms);

  if (!runs && request->route->retains
      && mq_table_client_down (request->router->table_client))
    {
      request_refuse (request, MQ_REFUSE_TABLE_UNAVAILABLE);
      return;
    }
  request->is_turn = true;
  request->turn = (struct mq_turn){
    .program = request->program,
    .id = request->turn_id,
    .previous = request->route->retains ? request->previous : NULL,
    .limit = request->fields.budget,
    .max_tokens = mq_route_round_to_events (request->service_info,
                                            request->fields.tokens_out),
    .budgeted = request->fields.has_budget && request->program != NULL,
    .retains = request->route->retains,
    .retain_s = request->route->retain_s,
    .may_borrow = runs,
    .home = request->home,
    .first_version = request_first_version (request),
    .notify = on_turn_state,
    .user = request,
  };
  mq_turn_prepare (request->router->turns, &request->turn);
}

/* Allows MOST_MS for the final response, less if the caller's deadline is
   earlier.  */
static void
start_deadline (struct mq_request *request, uint64_t most_ms)
{
  uint64_t wait = most_ms;

  if (request->fields.deadline_ms > 0 && request->fields.deadline_ms < wait)
    wait = request->fields.deadline_ms;
  request->expires_ms = request->arrived_ms + wait;
  TALLOC_FREE (request->timer);
  request->timer = mq_check_alloc (mq_timer_add (request, request->router->ev,
                                                 request_left_ms (request),
                                                 on_deadline, request));
}

/* Binds the request to ROUTE of the active configuration and dispatches
   it.  */
static void
apply_route (struct mq_request *request, const struct mq_path_route *route)
{
  struct mq_router *router = request->router;
  uint64_t key = mq_random_next (&router->random);

  request->table = talloc_reference (request, router->routes);
  request->route = route;
  if (request->program != NULL)
    key = mq_hash_bytes (request->program, strlen (request->program), 1);
  request->service = mq_route_service (route, key);
  request->service_info
      = mq_route_service_find (request->table, request->service);
  start_deadline (request, route->timeout_ms);
  request->begins_program = request_begins_program (request);
  if (request_refuse_suspect (request))
    return;
  if (request_refuse_over_limit (request))
    return;
  if (route->kind == MQ_ROUTE_STREAM
      && (route->retains || request->fields.has_budget))
    request_admit_turn (request);
  else
    request_dispatch (request);
}

static bool
id_fits (const char *id)
{
  return strlen (id) < MQ_TURN_ID_MAX - MQ_ORG_SCOPE_BYTES;
}

static bool
is_valid (const struct mq_request *request)
{
  const struct mq_http_head *head = request->head;
  const struct mq_request_fields *fields = &request->fields;

  return head->target[0] == '/' && mq_http_head_count (head, "Host") == 1
         && fields->id != NULL && id_fits (fields->id)
         && (fields->program == NULL || id_fits (fields->program));
}

/* Handles the request by the active configuration and returns
   MQ_REFUSE_NOTHING.  If that has no such route or key, leaves the request and
   returns the refusal to use unless a newer configuration has it.  */
static enum mq_refusal
apply_config (struct mq_request *request)
{
  const struct mq_route_table *table = request->router->routes;
  const struct mq_path_route *route
      = mq_route_find (table, request->fields.host, request->head->target);

  if (route == NULL)
    return MQ_REFUSE_NO_ROUTE;
  switch (request_identify (request, table, route))
    {
    case REQUEST_IDENTIFIED:
      apply_route (request, route);
      return MQ_REFUSE_NOTHING;
    case REQUEST_KEY_UNKNOWN:
      return MQ_REFUSE_UNKNOWN_KEY;
    case REQUEST_KEY_AMBIGUOUS:
      request_refuse (request, MQ_REFUSE_BAD_REQUEST);
      return MQ_REFUSE_NOTHING;
    }
  return MQ_REFUSE_NOTHING;
}

static void
on_confirmed (bool current, void *user)
{
  struct mq_request *request = user;
  enum mq_refusal refusal_if_current;

  request->config_waiter = NULL;
  refusal_if_current = apply_config (request);
  if (refusal_if_current != MQ_REFUSE_NOTHING)
    request_refuse (request,
                    current ? refusal_if_current : MQ_REFUSE_NOT_READY);
}

/* Failure: while the table is slow, a request without a route waits beyond its
   deadline.  */
static void
wait_for_config (struct mq_request *request)
{
  start_deadline (request, CONFIG_WAIT_MS);
  request->config_waiter
      = mq_config_fetch_latest (request->router, on_confirmed, request);
}

void
mq_request_begin (struct mq_router *router, struct mq_caller *caller,
                  const struct mq_http_head *head, struct mq_bytes body,
                  uint64_t arrived_ms)
{
  struct mq_request *request = talloc_zero (router, struct mq_request);
  enum mq_refusal refusal_if_current;

  if (request == NULL)
    {
      mq_caller_refuse (router, caller, MQ_REFUSE_NO_CAPACITY, 0);
      return;
    }
  router->request_count++;
  router->counters.requests++;
  request->router = router;
  request->caller = caller;
  request->head = head;
  request->body = body;
  request->send_body = body;
  request->arrived_ms = arrived_ms;
  request->worker = MQ_WORKER_NONE;
  mq_wire_read_request_fields (head, &request->fields);
  mq_caller_attach_request (caller, request);
  if (!is_valid (request))
    {
      request_refuse (request, MQ_REFUSE_BAD_REQUEST);
      return;
    }
  if (request->fields.resumes != NULL && !id_fits (request->fields.resumes))
    request->fields.resumes = NULL;
  if (request->fields.last_event != NULL)
    snprintf (request->last_event, sizeof request->last_event, "%s",
              request->fields.last_event);
  if (router->ending)
    {
      request_refuse (request, MQ_REFUSE_EXITING);
      return;
    }
  if (router->routes == NULL || !router->workers_listed)
    {
      request_refuse (request, MQ_REFUSE_NOT_READY);
      return;
    }
  refusal_if_current = apply_config (request);
  if (refusal_if_current == MQ_REFUSE_UNKNOWN_KEY
      && request_key_lookup_is_fresh (request))
    request_refuse (request, refusal_if_current);
  else if (refusal_if_current != MQ_REFUSE_NOTHING)
    wait_for_config (request);
}

void
mq_request_log_unanswered (struct mq_request *request, const char *why)
{
  request->router->counters.unanswered++;
  request_log_end (request, MQ_JSON_HIGH_PRIORITY, why,
                   request->answer.status);
}

static void
log_disconnect (struct mq_request *request, enum mq_tcp_end end)
{
  const char *outcome = "caller_left";

  if (end == MQ_TCP_NO_MEMORY)
    {
      mq_request_log_unanswered (request, "unsent");
      return;
    }
  if (end == MQ_TCP_RESET)
    outcome = "caller_reset";
  request->router->counters.left++;
  request_log_end (request, MQ_JSON_LOW_PRIORITY, outcome,
                   request->answer.status);
}

void
mq_request_caller_disconnected (struct mq_request *request,
                                enum mq_tcp_end end)
{
  log_disconnect (request, end);
  if (request->try != NULL
      && mq_try_inactive_ms (request->try) >= DISCONNECT_FAILURE_MS)
    cancel_try (request, MQ_OUTCOME_FAILED);
  request_close (request);
}

void
mq_request_caller_writable (struct mq_request *request)
{
  if (request->try != NULL)
    mq_try_set_reading (request->try, true);
}
