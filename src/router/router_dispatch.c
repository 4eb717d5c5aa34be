/* router_dispatch.c - the attempts of one request at workers.

   Chooses a worker, sends the request and forwards the response.
   core/attempt.h decides whether a failed attempt is retried.
   Needs: router_request.h, id.h, listen.h, clock.h.  */

#include "router_request.h"
#include "core/id.h"
#include "net/clock.h"
#include "net/listen.h"
#include <string.h>

/* Workers that a request is kept from since others like it run there.  */
#define OCCUPIED_WORKERS_MAX 16U

static void forward_response (struct mq_request *request);

static void
log_failed_try (struct mq_request *request, enum mq_attempt_end end,
                enum mq_attempt_next next)
{
  struct mq_json_line line;

  request_begin_log_line (&line, request, MQ_JSON_HIGH_PRIORITY,
                          MQ_LOG_TRY_FAILED);
  mq_json_text (&line, "worker", request_worker_id (request));
  mq_json_text (&line, "worker_version", request_worker_version (request));
  if (request->last_event[0] != '\0')
    mq_json_text (&line, "last_event", request->last_event);
  mq_json_text (&line, "how", mq_attempt_end_name (end));
  mq_json_number (&line, "status", (uint64_t)request->answer.status);
  mq_json_number (&line, "sent", request->sent);
  mq_json_number (&line, "at_worker_ms", mq_clock_ms () - request->sent_ms);
  request_log_work (request, &line);
  mq_json_number (&line, "left_ms", request_left_ms (request));
  mq_json_text (&line, "next", mq_attempt_next_name (next));
  mq_json_end (&line);
}

/* Whether the worker that was chosen did not get the request.  Such a try does
   not count against the route's limit.

   Failure: a worker is gone and another one has its address.  Each host that
   the caller's tries reach sends the request there once, and it is refused
   while other workers are idle.  */
static bool
did_not_reach_worker (const struct mq_request *request,
                      enum mq_attempt_end end)
{
  return end == MQ_ATTEMPT_UNREACHABLE
         || (end == MQ_ATTEMPT_NOT_RUN && request->answer.other_worker);
}

static void
note_wait (struct mq_request *request)
{
  request->late_noted
      = mq_fleet_record_wait (request->router->fleet, request->worker,
                              request->sent_ms, mq_clock_ms ());
}

/* Decides what follows an attempt that ended without a response to
   forward.  */
static void
handle_failed_try (struct mq_request *request, enum mq_attempt_end end)
{
  struct mq_attempt attempt;
  enum mq_attempt_next next;

  request_run_ended (request, end);
  if (did_not_reach_worker (request, end))
    {
      request->sent--;
      request->unreachable++;
    }
  if (end == MQ_ATTEMPT_BROKEN || end == MQ_ATTEMPT_ERROR)
    request->may_have_run = true;
  if (end == MQ_ATTEMPT_BROKEN && request->answer.status == 0)
    note_wait (request);
  if (end == MQ_ATTEMPT_NOT_RUN && request->is_turn)
    mq_turn_home_rejected (&request->turn);
  attempt = (struct mq_attempt){
    .end = end,
    .repeatable = mq_route_repeatable (request->route),
    .begun = request->response_begun,
    .sent = request->sent,
    .sent_max = request->route->attempts,
    .unreachable = request->unreachable,
    .remaining_ms = request_left_ms (request),
    .may_have_run = request->may_have_run,
  };
  next = mq_attempt_decide (&attempt);
  log_failed_try (request, end, next);
  switch (next)
    {
    case MQ_NEXT_RETRY:
      request->router->counters.retries++;
      if (request->response_begun)
        request->router->counters.resumed++;
      mq_response_reset (&request->answer);
      request_dispatch (request);
      return;
    case MQ_NEXT_REFUSE:
      request_refuse (request, end == MQ_ATTEMPT_NOT_RUN
                                   ? MQ_REFUSE_NO_CAPACITY
                                   : MQ_REFUSE_NO_WORKER);
      return;
    case MQ_NEXT_FAIL:
      request_refuse (request, request_is_rejected (request)
                                   ? MQ_REFUSE_ENDS_WORKERS
                                   : MQ_REFUSE_FAILED);
      return;
    case MQ_NEXT_FORWARD:
      forward_response (request);
      return;
    case MQ_NEXT_ABORT:
      request_abort (request, "broken");
      return;
    }
}

void
request_count_served (const struct mq_request *request)
{
  struct mq_router *router = request->router;

  router->counters.served++;
  mq_histogram_add (&router->latency[request->route->kind],
                    mq_clock_ms () - request->arrived_ms);
}

/* Forwards the worker's buffered response unchanged.  */
static void
forward_response (struct mq_request *request)
{
  struct mq_caller *caller = request->caller;
  struct mq_router *router = request->router;
  struct mq_response *answer = &request->answer;
  struct mq_buffer fields = answer->fields;
  struct mq_buffer body = answer->body;
  int status = answer->status;
  bool with_body = !mq_response_has_no_body (status)
                   && strcmp (request->head->method, "HEAD") != 0;

  request_count_served (request);
  request_log_end (
      request, status >= 500 ? MQ_JSON_HIGH_PRIORITY : MQ_JSON_LOW_PRIORITY,
      "served", status);
  talloc_steal (router, fields.data);
  talloc_steal (router, body.data);
  request_close (request);
  mq_caller_respond (caller, status, mq_buffer_text (&fields),
                     mq_buffer_text (&body), body.len, with_body);
  mq_buffer_clear (&fields);
  mq_buffer_clear (&body);
}

/* Chooses a worker at which no other request runs that may end it, if there is
   one.

   Failure: the worker ends, and both are to blame.  */
static uint32_t
choose_apart (struct mq_request *request, struct mq_fleet_query *query)
{
  struct mq_fleet *fleet = request->router->fleet;
  uint32_t avoided[ATTEMPTED_WORKERS_MAX + OCCUPIED_WORKERS_MAX];
  size_t occupied
      = request_list_occupied (request, avoided, OCCUPIED_WORKERS_MAX);
  uint32_t worker = MQ_WORKER_NONE;

  if (occupied > 0)
    {
      struct mq_fleet_query apart = *query;

      memcpy (avoided + occupied, query->tried,
              query->tried_count * sizeof *avoided);
      apart.tried = avoided;
      apart.tried_count = occupied + query->tried_count;
      worker = mq_fleet_choose (fleet, &apart);
    }
  return worker == MQ_WORKER_NONE ? mq_fleet_choose (fleet, query) : worker;
}

/* Which workers may serve the request.  A stream goes on at the version that
   began it.

   Failure: the events of two versions don't fit together, and the caller holds
   them as one whole response.  */
static struct mq_fleet_query
describe_query (const struct mq_request *request, uint64_t now)
{
  struct mq_fleet_query query = {
    .service = request->service,
    .data_centre = request->router->settings->data_centre,
    .version = request->version,
    .drain_ms = request->router->settings->drain_ms / 2U,
    .once = request->route->kind == MQ_ROUTE_AT_MOST_ONCE,
    .objective_ms = request->route->objective_ms,
    .evidence = request->router->evidence,
    .tried = request->attempted,
    .tried_count = request->attempted_count,
    .now_ms = now,
  };

  if (request->is_turn)
    {
      query.home = request->turn.home;
      query.home_full = request->turn.home_full;
    }
  query.has_key = mq_route_affinity_key (request->route, request->service_info,
                                         request->program,
                                         request->fields.affinity, &query.key);
  return query;
}

/* Whether the request may be sent to any worker, or to one more.  No worker is
   known to have an unknown version.  */
static bool
may_try_worker (const struct mq_request *request)
{
  return request->attempted_count < ATTEMPTED_WORKERS_MAX
         && (!request->has_version || request->version != 0);
}

static uint32_t
choose_worker (struct mq_request *request, uint64_t now)
{
  struct mq_fleet_query query = describe_query (request, now);
  bool avoided = false;
  uint32_t worker;

  if (!may_try_worker (request))
    return MQ_WORKER_NONE;
  query.avoided = &avoided;
  query.random = mq_random_next (&request->router->random);
  worker = choose_apart (request, &query);
  if (avoided)
    request->router->counters.doubtful_avoided++;
  return worker;
}

static void
refuse_no_worker_left (struct mq_request *request)
{
  if (request->response_begun)
    request_abort (request,
                   request->has_version ? "version_gone" : "no_worker");
  else if (request->may_have_run)
    request_refuse (request, MQ_REFUSE_FAILED);
  else if (request->attempted_count > 0)
    request_refuse (request, MQ_REFUSE_NO_CAPACITY);
  else if (request->has_version)
    {
      request->router->counters.streams_refused++;
      request_refuse (request, MQ_REFUSE_VERSION_GONE);
    }
  else
    request_refuse (request, MQ_REFUSE_NO_WORKER);
}

void
request_on_try_ended (enum mq_attempt_end end, void *user)
{
  struct mq_request *request = user;

  request->try = NULL;
  request_run_ended (request, end);
  if (request->row_write != NULL)
    {
      request->has_held_end = true;
      request->held_end = end;
      request->may_have_run = true;
      return;
    }
  switch (end)
    {
    case MQ_ATTEMPT_STREAMED:
      request_end_stream (request);
      return;
    case MQ_ATTEMPT_ANSWERED:
      forward_response (request);
      return;
    case MQ_ATTEMPT_UNREACHABLE:
    case MQ_ATTEMPT_NOT_RUN:
    case MQ_ATTEMPT_BROKEN:
    case MQ_ATTEMPT_ERROR:
      handle_failed_try (request, end);
      return;
    }
}

/* Failure: the answers to many requests exceed the memory of the process,
   which is killed with every request that waits.  */
static bool
may_buffer (size_t len, void *user)
{
  struct mq_request *request = user;

  return mq_caller_may_buffer (request->caller, len);
}

static bool
may_move (void *user)
{
  const struct mq_request *request = user;
  struct mq_fleet_query query = describe_query (request, mq_clock_ms ());

  return may_try_worker (request)
         && mq_fleet_choose (request->router->fleet, &query) != MQ_WORKER_NONE;
}

static struct mq_try *
begin_try (struct mq_request *request, struct mq_error *error)
{
  struct mq_router *router = request->router;
  struct mq_try_options options = {
    .ev = router->ev,
    .fleet = router->fleet,
    .pool = router->pool,
    .worker = request->worker,
    .id = request->fields.id,
    .body = request->send_body,
    .answer = &request->answer,
    .answer_ctx = request,
    .repeatable = mq_route_repeatable (request->route),
    .begun = request->response_begun,
    .may_move = may_move,
    .may_buffer = may_buffer,
    .complete = request_note_speed,
    .events = request_forward_events,
    .ended = request_on_try_ended,
    .user = request,
  };

  options.detect_inactivity
      = options.repeatable && request->sent < request->route->attempts;
  options.send = (struct mq_send){
    .head = request->head,
    .host = request->fields.host,
    .route = request->route,
    .engine = request->service_info != NULL && request->service_info->engine,
    .worker = request_worker_id (request),
    .last_event = request->last_event,
    .left_ms = (uint32_t)(request->expires_ms - request->sent_ms),
    .priority = request_priority (request),
    .organisation = request->org == NULL ? NULL : request->org->name,
    .body_len = request->send_body.len,
  };
  return mq_try_begin (request, &options, error);
}

/* Without a descriptor for the connection, an idle caller gives up its own, or
   the request is refused at once.

   Failure: each worker tried counts as unreachable and is ejected.  */
static void
open_try (struct mq_request *request)
{
  struct mq_error error = { .type = MQ_ERR_NONE };

  request->try = begin_try (request, &error);
  if (request->try == NULL && mq_socket_shortage (error.number)
      && mq_callers_make_room (request->router))
    {
      error = (struct mq_error){ .type = MQ_ERR_NONE };
      request->try = begin_try (request, &error);
    }
  if (request->try != NULL)
    return;
  if (!mq_socket_shortage (error.number))
    {
      handle_failed_try (request, MQ_ATTEMPT_UNREACHABLE);
      return;
    }
  request->sent--;
  request_run_cancelled (request);
  refuse_no_worker_left (request);
}

void
mq_request_note_late (struct mq_request *request)
{
  if (request->try == NULL || request->answer.status != 0
      || request->late_noted)
    return;
  request->late_noted
      = mq_fleet_record_wait (request->router->fleet, request->worker,
                              request->sent_ms, mq_clock_ms ());
}

void
request_dispatch (struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();
  uint32_t worker;

  if (request_refuse_suspect (request) || !request_resolve_version (request))
    return;
  if (!request_has_permit (request))
    {
      request_acquire_permit (request);
      return;
    }
  worker = choose_worker (request, now);

  if (worker == MQ_WORKER_NONE || now >= request->expires_ms)
    {
      refuse_no_worker_left (request);
      return;
    }
  if (!request->response_begun && !request_key_is_still_valid (request))
    {
      request_refuse (request, request->may_have_run ? MQ_REFUSE_FAILED
                                                     : MQ_REFUSE_UNKNOWN_KEY);
      return;
    }
  request->worker = worker;
  request->attempted[request->attempted_count++] = worker;
  request->sent++;
  request->sent_ms = now;
  request->late_noted = false;
  request_run_begun (request);
  open_try (request);
}
