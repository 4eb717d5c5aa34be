/* router_request.c - one request's life, from the caller to its answer.

   Read, check, find its route, make its turn ready, choose a worker, send,
   pass the answer on.  A try that fails is followed by another one only where
   core/attempt.h allows it.
   Needs: router_request.h, id.h, outage.h, clock.h.  */

#include "router_request.h"
#include "core/id.h"
#include "core/router/outage.h"
#include "net/clock.h"
#include <stdio.h>
#include <string.h>

/* Time that a caller is asked to stay away while the platform's table is down,
   which lasts for seconds, milliseconds.  */
#define RETRY_DOWN_MS 2000U
/* A caller who leaves after so long without an answer tells against the
   worker; one who leaves earlier does not.  */
#define LEFT_TELLS_MS 1000U

/* Time until the final answer.  */
static uint64_t
left_ms (const struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();

  return request->give_up_ms > now ? request->give_up_ms - now : 0;
}

/* Of the last worker that was chosen.  */
static const char *
worker_id (const struct mq_request *request)
{
  return mq_fleet_member (request->router->fleet, request->worker)->id;
}

static void
log_head (struct mq_json_line *line, const struct mq_request *request,
          enum mq_json_priority weight, enum mq_log_event event)
{
  mq_json_begin (line, request->router->log, weight, event);
  mq_json_text (line, "id", request->facts.id);
  mq_json_text (line, "run", request->facts.program);
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

  log_head (&line, request, weight, MQ_LOG_REQUEST_ENDED);
  mq_json_text (&line, "outcome", outcome);
  mq_json_number (&line, "status", (uint64_t)status);
  mq_json_number (&line, "sent", request->sent);
  if (request->worker != MQ_WORKER_NONE)
    mq_json_text (&line, "worker", worker_id (request));
  if (request->is_turn)
    mq_json_number (&line, "tokens", request->handed);
  if (request->retry_ms > 0)
    {
      mq_json_number (&line, "load", request->service_load);
      mq_json_number (&line, "left_ms", request->facts.left_ms);
      mq_json_number (&line, "retry_ms", request->retry_ms);
    }
  mq_json_end (&line);
}

/* Leaves the worker, if the request is still there.  */
static void
stop_try (struct mq_request *request, enum mq_fleet_outcome outcome)
{
  mq_try_stop (request->try, outcome);
  request->try = NULL;
}

/* Frees the request; its caller has been answered or is gone.  */
void
request_close (struct mq_request *request)
{
  struct mq_router *router = request->router;

  stop_try (request, MQ_OUTCOME_STOPPED);
  mq_config_forget (request->confirm);
  mq_permit_forget (request->permit);
  mq_ledger_cancel (request->record_call);
  if (request->is_turn)
    {
      mq_turn_settle (&request->turn, request->handed);
      mq_turn_forget (&request->turn);
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
  const struct mq_refusal_row *row = mq_refusal_row (refusal);

  request_log_end (request, MQ_JSON_HIGH_PRIORITY, row->name, row->status);
  if (row->status >= 500 && row->status != 503)
    router->counters.failed++;
  if (refusal == MQ_REFUSE_STORE && mq_ledger_down (router->ledger))
    retry_ms = RETRY_DOWN_MS;
  if (refusal == MQ_REFUSE_NO_WORKER)
    retry_ms = mq_fleet_retry_ms (router->fleet, request->service);
  if (refusal == MQ_REFUSE_LOADED || refusal == MQ_REFUSE_LATE)
    retry_ms = request->retry_ms;
  request_close (request);
  mq_refuse_caller (router, caller, refusal, retry_ms);
}

/* An answer that has begun can't be completed.  */
void
request_break_off (struct mq_request *request, const char *why)
{
  struct mq_caller *caller = request->caller;

  request->router->counters.broken++;
  request_log_end (request, MQ_JSON_HIGH_PRIORITY, why,
                   request->answer.status);
  request_close (request);
  mq_caller_break (caller);
}

/* Whatever was tried, a worker may have run the request.  */
static bool
may_have_run (const struct mq_request *request)
{
  return request->ran || (request->try != NULL && mq_try_sent (request->try));
}

static void
on_overdue (void *data)
{
  struct mq_request *request = data;

  request->timer = NULL;
  request->ran = may_have_run (request);
  if (request->answer.status == 0)
    stop_try (request, MQ_OUTCOME_FAILED);
  if (request->begun)
    request_break_off (request, "overdue");
  else if (request->ran)
    request_refuse (request, MQ_REFUSE_OVERDUE);
  else
    request_refuse (request, MQ_REFUSE_TIMED_OUT);
}

static void pass_on (struct mq_request *request);

static void
log_try (const struct mq_request *request, enum mq_attempt_end end,
         enum mq_attempt_next next)
{
  struct mq_json_line line;

  log_head (&line, request, MQ_JSON_HIGH_PRIORITY, MQ_LOG_TRY_FAILED);
  mq_json_text (&line, "worker", worker_id (request));
  mq_json_text (&line, "how", mq_attempt_end_name (end));
  mq_json_number (&line, "status", (uint64_t)request->answer.status);
  mq_json_number (&line, "sent", request->sent);
  mq_json_number (&line, "at_worker_ms", mq_clock_ms () - request->sent_ms);
  mq_json_number (&line, "left_ms", left_ms (request));
  mq_json_text (&line, "next", mq_attempt_next_name (next));
  mq_json_end (&line);
}

/* The try at the worker has ended without an answer to pass on.  */
static void
follow_try (struct mq_request *request, enum mq_attempt_end end)
{
  struct mq_attempt attempt;
  enum mq_attempt_next next;

  if (end == MQ_ATTEMPT_UNREACHABLE)
    {
      request->sent--;
      request->unreachable++;
    }
  if (end == MQ_ATTEMPT_BROKEN || end == MQ_ATTEMPT_ERROR)
    request->ran = true;
  attempt = (struct mq_attempt){
    .end = end,
    .repeatable = mq_route_repeatable (request->route),
    .begun = request->begun,
    .sent = request->sent,
    .sent_max = request->route->attempts,
    .unreachable = request->unreachable,
    .left_ms = left_ms (request),
    .ran = request->ran,
  };
  next = mq_attempt_decide (&attempt);
  log_try (request, end, next);
  switch (next)
    {
    case MQ_NEXT_RETRY:
      request->router->counters.retries++;
      if (request->begun)
        request->router->counters.resumed++;
      mq_answer_reset (&request->answer);
      request_send (request);
      return;
    case MQ_NEXT_REFUSE:
      request_refuse (request, end == MQ_ATTEMPT_NOT_RUN
                                   ? MQ_REFUSE_FULL
                                   : MQ_REFUSE_NO_WORKER);
      return;
    case MQ_NEXT_FAIL:
      request_refuse (request, MQ_REFUSE_FAILED);
      return;
    case MQ_NEXT_PASS_ON:
      pass_on (request);
      return;
    case MQ_NEXT_BREAK:
      request_break_off (request, "broken");
      return;
    }
}

void
request_note_served (const struct mq_request *request)
{
  struct mq_router *router = request->router;

  router->counters.served++;
  mq_histogram_add (&router->latency[request->route->kind],
                    mq_clock_ms () - request->arrived_ms);
}

/* The worker's answer as a whole, as it was.  */
static void
pass_on (struct mq_request *request)
{
  struct mq_caller *caller = request->caller;
  struct mq_router *router = request->router;
  struct mq_answer *answer = &request->answer;
  struct mq_buffer fields = answer->fields;
  struct mq_buffer body = answer->body;
  int status = answer->status;
  bool with_body = !mq_answer_bodiless (status)
                   && strcmp (request->head->method, "HEAD") != 0;

  request_note_served (request);
  request_log_end (
      request, status >= 500 ? MQ_JSON_HIGH_PRIORITY : MQ_JSON_LOW_PRIORITY,
      "served", status);
  talloc_steal (router, fields.data);
  talloc_steal (router, body.data);
  request_close (request);
  mq_caller_answer (caller, status, mq_buffer_text (&fields),
                    mq_buffer_text (&body), body.len, with_body);
  mq_buffer_clear (&fields);
  mq_buffer_clear (&body);
}

static uint32_t
choose_worker (struct mq_request *request, uint64_t now)
{
  struct mq_fleet_query query = {
    .service = request->service,
    .data_centre = request->router->settings->data_centre,
    .tried = request->tried,
    .tried_count = request->tried_count,
    .now_ms = now,
    .random = mq_random_next (&request->router->random),
  };

  if (request->is_turn)
    query.home = request->turn.home;
  query.has_key = mq_route_placing_key (request->route, request->service_info,
                                        request->program,
                                        request->facts.affinity, &query.key);
  return mq_fleet_choose (request->router->fleet, &query);
}

static void
refuse_unplaced (struct mq_request *request)
{
  if (request->begun)
    request_break_off (request, "no_worker");
  else if (request->ran)
    request_refuse (request, MQ_REFUSE_FAILED);
  else if (request->tried_count > 0)
    request_refuse (request, MQ_REFUSE_FULL);
  else
    request_refuse (request, MQ_REFUSE_NO_WORKER);
}

static void
on_tried (enum mq_attempt_end end, void *user)
{
  struct mq_request *request = user;

  request->try = NULL;
  switch (end)
    {
    case MQ_ATTEMPT_STREAMED:
      request_end_stream (request);
      return;
    case MQ_ATTEMPT_ANSWERED:
      pass_on (request);
      return;
    case MQ_ATTEMPT_UNREACHABLE:
    case MQ_ATTEMPT_NOT_RUN:
    case MQ_ATTEMPT_BROKEN:
    case MQ_ATTEMPT_ERROR:
      follow_try (request, end);
      return;
    }
}

static struct mq_try *
begin_try (struct mq_request *request)
{
  struct mq_router *router = request->router;
  struct mq_try_options options = {
    .ev = router->ev,
    .fleet = router->fleet,
    .pool = router->pool,
    .worker = request->worker,
    .id = request->facts.id,
    .body = request->send_body,
    .answer = &request->answer,
    .answer_ctx = request,
    .repeatable = mq_route_repeatable (request->route),
    .begun = request->begun,
    .events = request_pass_events,
    .ended = on_tried,
    .user = request,
  };

  options.watched
      = options.repeatable && request->sent < request->route->attempts;
  options.send = (struct mq_send){
    .head = request->head,
    .host = request->facts.host,
    .route = request->route,
    .engine = request->service_info != NULL && request->service_info->engine,
    .worker = worker_id (request),
    .last_event = request->last_event,
    .left_ms = (uint32_t)(request->give_up_ms - request->sent_ms),
    .priority = request_priority (request),
    .organisation = request->org == NULL ? NULL : request->org->name,
    .body_len = request->send_body.len,
  };
  return mq_try_begin (request, &options);
}

void
request_send (struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();
  uint32_t worker;

  if (!request->permitted)
    {
      request_limit (request);
      return;
    }
  worker = choose_worker (request, now);

  if (worker == MQ_WORKER_NONE || request->tried_count == TRIED_MAX
      || now >= request->give_up_ms)
    {
      refuse_unplaced (request);
      return;
    }
  if (!request->begun && !request_keeps_key (request))
    {
      request_refuse (request,
                      request->ran ? MQ_REFUSE_FAILED : MQ_REFUSE_NO_KEY);
      return;
    }
  request->worker = worker;
  request->tried[request->tried_count++] = worker;
  request->sent++;
  request->sent_ms = now;
  request->try = begin_try (request);
  if (request->try == NULL)
    follow_try (request, MQ_ATTEMPT_UNREACHABLE);
}

/* The worker gets all that was said before, then the new input.  */
static void
send_turn (struct mq_request *request)
{
  const struct mq_chain *before = request->turn.before;

  if (before != NULL)
    request->send_body = mq_chain_join (request, before, request->body);
  if (before != NULL && request->send_body.data == NULL)
    request_refuse (request, MQ_REFUSE_FULL);
  else
    request_send (request);
}

static void
on_turn (enum mq_turn_state state, void *user)
{
  struct mq_request *request = user;

  switch (state)
    {
    case MQ_TURN_READY:
      send_turn (request);
      return;
    case MQ_TURN_SPENT:
      request_refuse (request, MQ_REFUSE_BUDGET);
      return;
    case MQ_TURN_NO_CHAIN:
      request_refuse (request, MQ_REFUSE_NO_TURN);
      return;
    case MQ_TURN_NO_STORE:
      if (request->ended)
        request_break_off (request, "not_kept");
      else
        request_refuse (request, MQ_REFUSE_STORE);
      return;
    case MQ_TURN_KEPT:
      request_finish_stream (request);
      return;
    }
}

void
request_begin_turn (struct mq_request *request)
{
  bool runs = mq_outage_runs (left_ms (request), request->route->timeout_ms);

  if (!runs && request->route->retains
      && mq_ledger_down (request->router->ledger))
    {
      request_refuse (request, MQ_REFUSE_STORE);
      return;
    }
  request->is_turn = true;
  request->turn = (struct mq_turn){
    .program = request->program,
    .id = request->turn_id,
    .previous = request->route->retains ? request->previous : NULL,
    .limit = request->facts.budget,
    .most
    = mq_route_whole_events (request->service_info, request->facts.tokens_out),
    .budgeted = request->facts.has_budget && request->program != NULL,
    .retains = request->route->retains,
    .retain_s = request->route->retain_s,
    .may_borrow = runs,
    .home = request->home,
    .told = on_turn,
    .user = request,
  };
  mq_turn_prepare (request->router->turns, &request->turn);
}

/* Time until the final answer: what the caller waits, and no longer than the
   operator wants it kept waiting.  */
static uint64_t
patience_ms (const struct mq_request *request)
{
  uint64_t wait = request->route->timeout_ms;

  if (request->facts.deadline_ms > 0 && request->facts.deadline_ms < wait)
    wait = request->facts.deadline_ms;
  return wait;
}

/* Makes the request go by ROUTE of the configuration in force.  */
static void
follow_route (struct mq_request *request, const struct mq_path_route *route)
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
  request->give_up_ms = request->arrived_ms + patience_ms (request);
  request->timer = mq_timer_add (request, router->ev, left_ms (request),
                                 on_overdue, request);
  request->begins_program = request_begins_program (request);
  if (request_is_over (request))
    return;
  if (route->kind == MQ_ROUTE_STREAM
      && (route->retains || request->facts.has_budget))
    request_admit_turn (request);
  else
    request_send (request);
}

static bool
id_fits (const char *id)
{
  return strlen (id) < MQ_TURN_ID_MAX - MQ_ORG_SCOPE_BYTES;
}

static bool
is_sound (const struct mq_request *request)
{
  const struct mq_http_head *head = request->head;
  const struct mq_call_facts *facts = &request->facts;

  return head->target[0] == '/' && mq_http_head_count (head, "Host") == 1
         && facts->id != NULL && id_fits (facts->id)
         && (facts->program == NULL || id_fits (facts->program));
}

/* What the configuration in force says: goes on by it, or refuses what is
   wrong under any.  If it lacks the route or the key, which a newer one may
   have, returns the refusal for when there is no newer one.  */
static enum mq_refusal
follow_config (struct mq_request *request)
{
  const struct mq_route_table *table = request->router->routes;
  const struct mq_path_route *route
      = mq_route_find (table, request->facts.host, request->head->target);

  if (route == NULL)
    return MQ_REFUSE_NO_ROUTE;
  switch (request_identify (request, table, route))
    {
    case REQUEST_IDENTIFIED:
      follow_route (request, route);
      return MQ_REFUSE_NOTHING;
    case REQUEST_UNIDENTIFIED:
      return MQ_REFUSE_NO_KEY;
    case REQUEST_DOUBLY_IDENTIFIED:
      request_refuse (request, MQ_REFUSE_BAD_REQUEST);
      return MQ_REFUSE_NOTHING;
    }
  return MQ_REFUSE_NOTHING;
}

static void
on_confirmed (bool current, void *user)
{
  struct mq_request *request = user;
  enum mq_refusal missing;

  request->confirm = NULL;
  missing = follow_config (request);
  if (missing != MQ_REFUSE_NOTHING)
    request_refuse (request, current ? missing : MQ_REFUSE_NOT_READY);
}

void
mq_request_begin (struct mq_router *router, struct mq_caller *caller,
                  const struct mq_http_head *head, struct mq_bytes body,
                  uint64_t arrived_ms)
{
  struct mq_request *request = talloc_zero (router, struct mq_request);
  enum mq_refusal missing;

  if (request == NULL)
    {
      mq_refuse_caller (router, caller, MQ_REFUSE_FULL, 0);
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
  mq_wire_read_call (head, &request->facts);
  mq_caller_serves (caller, request);
  if (!is_sound (request))
    {
      request_refuse (request, MQ_REFUSE_BAD_REQUEST);
      return;
    }
  if (request->facts.last_event != NULL)
    snprintf (request->last_event, sizeof request->last_event, "%s",
              request->facts.last_event);
  if (router->routes == NULL || !router->workers_listed)
    {
      request_refuse (request, MQ_REFUSE_NOT_READY);
      return;
    }
  missing = follow_config (request);
  if (missing == MQ_REFUSE_NO_KEY && request_key_is_unknown (request))
    request_refuse (request, missing);
  else if (missing != MQ_REFUSE_NOTHING)
    request->confirm = mq_config_confirm (router, on_confirmed, request);
}

void
mq_request_caller_left (struct mq_request *request)
{
  request->router->counters.left++;
  request_log_end (request, MQ_JSON_LOW_PRIORITY, "caller_left",
                   request->answer.status);
  if (request->try != NULL && mq_try_silent_ms (request->try) >= LEFT_TELLS_MS)
    stop_try (request, MQ_OUTCOME_FAILED);
  request_close (request);
}

void
mq_request_caller_reads (struct mq_request *request)
{
  if (request->try != NULL)
    mq_try_read (request->try, true);
}
