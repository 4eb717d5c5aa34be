/* router_request.c - one request's life, from the caller to its answer.

   Read, check, find its route, make its turn ready, choose a worker, send,
   pass the answer on.  A try that fails is followed by another one only where
   core/attempt.h allows it.
   Needs: router_state.h, clock.h.  */

#include "router_state.h"
#include "../core/id.h"
#include "clock.h"
#include <stdio.h>
#include <string.h>
#include <strings.h>

#define TRIED_MAX 8U
#define EVENT_ID_MAX 64U
/* Time that a caller is asked to stay away after a refusal, milliseconds.  */
#define RETRY_SOON_MS 100U
#define RETRY_STORE_MS 300U
/* The same while the platform's table is down, which lasts for seconds.  */
#define RETRY_DOWN_MS 2000U
/* A worker that gives nothing for a multiple of what the route aims at has
   most likely gone without a word; a request that may be repeated is then
   better off elsewhere.  Objectives are about three times the usual time.  */
#define STALL_FIRST_FACTOR 3U
#define STALL_GAP_FACTOR 3U
#define STALL_LEAST_MS 400U
#define STALL_BUSY_FACTOR 3U
/* A caller who leaves after so long without an answer tells against the
   worker; one who leaves earlier does not.  */
#define LEFT_TELLS_MS 1000U
#define RETRY_READY_MS 500U
/* Bytes of an answer that is passed on as a whole.  */
#define ANSWER_MAX_BYTES ((size_t)16 << 20)
/* Priority on the way to a worker: the middle of ten steps is the default.  */
#define PRIORITY_FIRST 2U
#define PRIORITY_STEP 2U
#define PRIORITY_LAST 9U

/**
 * struct answer - what is known of a worker's answer
 * @status: its status
 * @not_run: it states that the request was not run
 * @other_worker: another worker has the address
 * @stream: events, passed on as they come
 * @idle_s: how long the worker keeps the connection
 * @fields: lines of its fields that are passed on
 * @body: of an answer that is passed on as a whole
 */
struct answer
{
  int status;
  bool not_run;
  bool other_worker;
  bool stream;
  uint32_t idle_s;
  struct mq_buffer fields;
  struct mq_buffer body;
};

/**
 * struct mq_request - one request
 * @body: what the caller sent
 * @table: configuration that the request goes by
 * @service: where it goes
 * @confirm: question whether the configuration is the newest, NULL: none
 * @is_turn: it is a turn of a program, see @turn
 * @send_body: what the worker gets
 * @give_up_ms: its final answer goes out then at the latest
 * @stall: fires when the worker may have gone silent
 * @heard_ms: when the worker last gave something
 * @stalled: it seemed silent at the last look
 * @tried: workers that are not asked again
 * @sent: workers that it was sent to
 * @ran: an earlier try may have run
 * @lane: connection to the worker, NULL: none
 * @begun: the caller has got the beginning of an answer
 * @ended: the worker's stream is whole, its record is being written
 * @events: cuts a stream into events
 * @last_event: last event passed on, or that the caller told
 * @handed: tokens that the caller got
 * @output: data of the events, for the turn's record
 */
struct mq_request
{
  struct mq_router *router;
  struct mq_caller *caller;
  const struct mq_http_head *head;
  struct mq_call_facts facts;
  struct mq_bytes body;
  struct mq_route_table *table;
  const struct mq_path_route *route;
  const struct mq_route_service *service_info;
  const char *service;
  struct mq_confirm *confirm;
  bool is_turn;
  struct mq_turn turn;
  struct mq_bytes send_body;
  uint64_t arrived_ms;
  uint64_t give_up_ms;
  struct mq_timer *timer;
  struct mq_timer *stall;
  uint64_t heard_ms;
  bool stalled;
  uint32_t tried[TRIED_MAX];
  size_t tried_count;
  uint32_t sent;
  uint32_t unreachable;
  bool ran;
  uint32_t worker;
  struct mq_http_lane *lane;
  uint64_t sent_ms;
  struct answer answer;
  bool begun;
  bool ended;
  struct mq_event_stream *events;
  char last_event[EVENT_ID_MAX];
  uint64_t handed;
  struct mq_buffer output;
};

/**
 * struct refusal_row - a final answer of our own
 * @status: of HTTP
 * @retry_ms: when the caller may come back, 0: never
 * @name: in the log
 */
struct refusal_row
{
  int status;
  uint32_t retry_ms;
  const char *name;
};

static const struct refusal_row refusals[] = {
  [MQ_REFUSE_BAD_REQUEST] = { 400, 0, "bad_request" },
  [MQ_REFUSE_HEAD_TOO_LARGE] = { 431, 0, "head_too_large" },
  [MQ_REFUSE_BODY_TOO_LARGE] = { 413, 0, "body_too_large" },
  [MQ_REFUSE_SLOW_HEAD] = { 408, 0, "slow_head" },
  [MQ_REFUSE_NO_ROUTE] = { 404, 0, "no_route" },
  [MQ_REFUSE_NO_TURN] = { 404, 0, "no_turn" },
  [MQ_REFUSE_BUDGET] = { 402, 0, "budget_spent" },
  [MQ_REFUSE_NOT_READY] = { 503, RETRY_READY_MS, "not_ready" },
  [MQ_REFUSE_NO_WORKER] = { 503, RETRY_READY_MS, "no_worker" },
  [MQ_REFUSE_FULL] = { 503, RETRY_SOON_MS, "full" },
  [MQ_REFUSE_STORE] = { 503, RETRY_STORE_MS, "store" },
  [MQ_REFUSE_TIMED_OUT] = { 503, RETRY_SOON_MS, "timed_out" },
  [MQ_REFUSE_FAILED] = { 502, 0, "failed" },
  [MQ_REFUSE_OVERDUE] = { 504, 0, "overdue" },
};

static void place_request (struct mq_request *request);

static uint64_t
next_random (struct mq_router *router)
{
  return mq_random_next (&router->random);
}

static void
log_head (struct mq_json_line *line, const struct mq_request *request,
          enum mq_json_weight weight, const char *event)
{
  mq_json_begin (line, request->router->log, weight, event);
  mq_json_text (line, "id", request->facts.id);
  mq_json_text (line, "run", request->facts.program);
  if (request->route != NULL)
    mq_json_text (line, "route", request->route->name);
  if (request->table != NULL)
    mq_json_number (line, "config", request->table->version);
  mq_json_number (line, "after_ms", mq_clock_ms () - request->arrived_ms);
}

static void
log_end (const struct mq_request *request, enum mq_json_weight weight,
         const char *outcome, int status)
{
  struct mq_json_line line;

  log_head (&line, request, weight, "request_ended");
  mq_json_text (&line, "outcome", outcome);
  mq_json_number (&line, "status", (uint64_t)status);
  mq_json_number (&line, "sent", request->sent);
  if (request->lane != NULL || request->sent > 0)
    mq_json_text (
        &line, "worker",
        request->worker == MQ_WORKER_NONE
            ? NULL
            : mq_fleet_member (request->router->fleet, request->worker)->id);
  if (request->is_turn)
    mq_json_number (&line, "tokens", request->handed);
  mq_json_end (&line);
}

/* The try at the worker is over.  */
static void
end_at_worker (struct mq_request *request, enum mq_fleet_outcome outcome)
{
  mq_fleet_ended (request->router->fleet, request->worker, outcome,
                  mq_clock_ms ());
}

/* Bytes came from the worker.  */
static void
note_heard (struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();

  request->heard_ms = now;
  mq_fleet_heard (request->router->fleet, request->worker, now);
}

/* The connection to the worker is done with.  */
static void
end_lane (struct mq_request *request, enum mq_fleet_outcome outcome)
{
  TALLOC_FREE (request->stall);
  if (request->lane == NULL)
    return;
  mq_http_lane_destroy (request->lane);
  request->lane = NULL;
  end_at_worker (request, outcome);
}

/* Frees the request; its caller has been answered or is gone.  */
static void
close_request (struct mq_request *request)
{
  struct mq_router *router = request->router;

  end_lane (request, MQ_OUTCOME_STOPPED);
  mq_feed_forget (request->confirm);
  if (request->is_turn)
    {
      mq_turn_settle (&request->turn, request->handed);
      mq_turn_forget (&request->turn);
    }
  router->request_count--;
  if (request->table != NULL)
    talloc_unlink (request, request->table);
  mq_event_stream_destroy (request->events);
  talloc_free (request);
}

static char *
retry_field (char *text, size_t size, uint32_t retry_ms)
{
  text[0] = '\0';
  if (retry_ms > 0)
    snprintf (text, size, "Retry-After: %u.%03u\r\n", retry_ms / 1000,
              retry_ms % 1000);
  return text;
}

void
mq_refuse_caller (struct mq_router *router, struct mq_caller *caller,
                  enum mq_refusal refusal, uint32_t retry_ms)
{
  const struct refusal_row *row = &refusals[refusal];
  char fields[64];

  if (row->status == 503 || row->status == 408)
    router->counters.refused++;
  mq_caller_answer (caller, row->status,
                    retry_field (fields, sizeof fields,
                                 row->retry_ms == 0 || retry_ms == 0
                                     ? row->retry_ms
                                     : retry_ms),
                    row->name, strlen (row->name), true);
}

static void
refuse (struct mq_request *request, enum mq_refusal refusal)
{
  struct mq_caller *caller = request->caller;
  struct mq_router *router = request->router;
  uint32_t retry_ms = 0;

  log_end (request, MQ_JSON_NOTE, refusals[refusal].name,
           refusals[refusal].status);
  if (refusals[refusal].status >= 500 && refusals[refusal].status != 503)
    router->counters.failed++;
  if (refusal == MQ_REFUSE_STORE && mq_ledger_down (router->ledger))
    retry_ms = RETRY_DOWN_MS;
  if (refusal == MQ_REFUSE_NO_WORKER)
    retry_ms = mq_fleet_retry_ms (router->fleet, request->service);
  close_request (request);
  mq_refuse_caller (router, caller, refusal, retry_ms);
}

/* An answer that has begun can't be completed.  */
static void
break_off (struct mq_request *request, const char *why)
{
  struct mq_caller *caller = request->caller;

  request->router->counters.broken++;
  log_end (request, MQ_JSON_NOTE, why, request->answer.status);
  close_request (request);
  mq_caller_break (caller);
}

static bool
repeatable (const struct mq_request *request)
{
  return mq_route_repeatable (request->route);
}

/* Whatever was tried, a worker may have run the request.  */
static bool
may_have_run (const struct mq_request *request)
{
  return request->ran
         || (request->lane != NULL && mq_http_lane_sent (request->lane));
}

static void
on_overdue (void *data)
{
  struct mq_request *request = data;

  request->timer = NULL;
  request->ran = may_have_run (request);
  if (request->answer.status == 0)
    end_lane (request, MQ_OUTCOME_FAILED);
  if (request->begun)
    break_off (request, "overdue");
  else if (request->ran)
    refuse (request, MQ_REFUSE_OVERDUE);
  else
    refuse (request, MQ_REFUSE_TIMED_OUT);
}

/* Forgets what came of the last try.  */
static void
reset_answer (struct mq_request *request)
{
  struct answer *answer = &request->answer;

  mq_buffer_clear (&answer->fields);
  mq_buffer_clear (&answer->body);
  *answer = (struct answer){ .status = 0 };
  if (request->events != NULL)
    mq_event_stream_restart (request->events);
}

static void pass_on (struct mq_request *request);

static void
log_try (const struct mq_request *request, enum mq_attempt_end end,
         enum mq_attempt_next next)
{
  static const char *const ends[]
      = { "unreachable", "not_run", "broken", "error" };
  static const char *const nexts[]
      = { "retry", "refuse", "fail", "pass_on", "break" };
  struct mq_json_line line;

  log_head (&line, request, MQ_JSON_NOTE, "try_failed");
  mq_json_text (&line, "worker",
                mq_fleet_member (request->router->fleet, request->worker)->id);
  mq_json_text (&line, "how", ends[end]);
  mq_json_number (&line, "status", (uint64_t)request->answer.status);
  mq_json_number (&line, "sent", request->sent);
  mq_json_number (&line, "at_worker_ms", mq_clock_ms () - request->sent_ms);
  mq_json_number (&line, "left_ms",
                  request->give_up_ms > mq_clock_ms ()
                      ? request->give_up_ms - mq_clock_ms ()
                      : 0);
  mq_json_text (&line, "next", nexts[next]);
  mq_json_end (&line);
}

/* The try at the worker has ended without an answer to pass on.  */
static void
end_try (struct mq_request *request, enum mq_attempt_end end,
         enum mq_fleet_outcome outcome)
{
  uint64_t now = mq_clock_ms ();
  struct mq_attempt attempt = {
    .end = end,
    .repeatable = repeatable (request),
    .begun = request->begun,
    .sent = request->sent,
    .sent_max = request->route->attempts,
    .unreachable = request->unreachable,
    .left_ms = request->give_up_ms > now ? request->give_up_ms - now : 0,
  };
  enum mq_attempt_next next;

  if (end == MQ_ATTEMPT_UNREACHABLE)
    {
      request->sent--;
      request->unreachable++;
      attempt.sent = request->sent;
      attempt.unreachable = request->unreachable;
    }
  if (end == MQ_ATTEMPT_BROKEN || end == MQ_ATTEMPT_ERROR)
    request->ran = true;
  attempt.ran = request->ran;
  next = mq_attempt_decide (&attempt);
  log_try (request, end, next);
  end_lane (request, outcome);
  switch (next)
    {
    case MQ_NEXT_RETRY:
      request->router->counters.retries++;
      if (request->begun)
        request->router->counters.resumed++;
      reset_answer (request);
      place_request (request);
      return;
    case MQ_NEXT_REFUSE:
      refuse (request, end == MQ_ATTEMPT_NOT_RUN ? MQ_REFUSE_FULL
                                                 : MQ_REFUSE_NO_WORKER);
      return;
    case MQ_NEXT_FAIL:
      refuse (request, MQ_REFUSE_FAILED);
      return;
    case MQ_NEXT_PASS_ON:
      pass_on (request);
      return;
    case MQ_NEXT_BREAK:
      break_off (request, "broken");
      return;
    }
}

/* Longest silence of the worker towards everyone before the request goes to
   another one.  */
static uint32_t
stall_ms (const struct mq_request *request)
{
  const struct mq_path_route *route = request->route;
  uint32_t wait = request->begun ? route->gap_ms * STALL_GAP_FACTOR
                                 : route->objective_ms * STALL_FIRST_FACTOR;

  return wait < STALL_LEAST_MS ? STALL_LEAST_MS : wait;
}

static void on_stall (void *data);

static void
set_stall (struct mq_request *request, uint32_t wait)
{
  request->stall
      = mq_timer_add (request, request->router->ev, wait, on_stall, request);
}

/* How long the worker has been silent.  One that answers other requests is
   busy; its silence towards this one counts a third.  */
static uint64_t
silent_ms (const struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();
  uint64_t other = mq_fleet_heard_ms (request->router->fleet, request->worker);
  uint64_t own = now - request->heard_ms;

  if (other <= request->heard_ms)
    return own;
  return now - other > own / STALL_BUSY_FACTOR ? now - other
                                               : own / STALL_BUSY_FACTOR;
}

/* Silence counts only when it is seen twice, with a look at the connections in
   between: after a pause of this process answers lie there unread.  */
static void
on_stall (void *data)
{
  struct mq_request *request = data;
  uint64_t silent = silent_ms (request);
  uint32_t wait = stall_ms (request);

  request->stall = NULL;
  if (request->lane == NULL || request->sent >= request->route->attempts)
    return;
  if (silent < wait)
    {
      request->stalled = false;
      set_stall (request, wait - (uint32_t)silent);
    }
  else if (!request->stalled)
    {
      request->stalled = true;
      set_stall (request, 1);
    }
  else
    end_try (request, MQ_ATTEMPT_BROKEN, MQ_OUTCOME_FAILED);
}

static void
keep_fields (struct mq_request *request, const struct mq_http_head *head)
{
  struct mq_buffer *fields = &request->answer.fields;

  for (size_t i = 0; i < head->field_count; i++)
    {
      const struct mq_http_field *field = &head->fields[i];

      if (mq_http_field_is_hop (head, field->name)
          || strcasecmp (field->name, "Content-Length") == 0)
        continue;
      mq_buffer_append (request, fields, field->name, strlen (field->name),
                        SIZE_MAX);
      mq_buffer_append (request, fields, ": ", 2, SIZE_MAX);
      mq_buffer_append (request, fields, field->value, strlen (field->value),
                        SIZE_MAX);
      mq_buffer_append (request, fields, "\r\n", 2, SIZE_MAX);
    }
}

/* An answer without the request's id can't be told from another's; one with
   another id is a late answer to an earlier request of the connection.  */
static bool
on_answer_head (const struct mq_http_head *head, void *user)
{
  struct mq_request *request = user;
  struct mq_answer_facts facts;
  struct answer *answer = &request->answer;

  mq_wire_read_answer (head, &facts);
  note_heard (request);
  if (facts.id == NULL)
    {
      end_try (request, MQ_ATTEMPT_BROKEN, MQ_OUTCOME_FAILED);
      return true;
    }
  if (strcmp (facts.id, request->facts.id) != 0)
    return false;
  if (facts.has_load)
    mq_fleet_told (request->router->fleet, request->worker, facts.running,
                   facts.waiting, mq_clock_ms ());
  answer->status = head->status;
  answer->not_run = facts.not_run;
  answer->other_worker = facts.other_worker;
  answer->idle_s = facts.idle_s;
  answer->stream
      = request->route->kind == MQ_ROUTE_STREAM && head->status == 200;
  keep_fields (request, head);
  return true;
}

static void
begin_stream (struct mq_request *request)
{
  if (request->begun)
    return;
  request->begun = true;
  mq_caller_begin (request->caller, request->answer.status,
                   mq_buffer_text (&request->answer.fields));
}

static void
note_event (struct mq_request *request, const struct mq_event *event)
{
  if (event->id_len > 0 && event->id_len < EVENT_ID_MAX)
    {
      memcpy (request->last_event, event->id, event->id_len);
      request->last_event[event->id_len] = '\0';
    }
  if (!event->has_data)
    return;
  if (request->service_info != NULL)
    request->handed += request->service_info->tokens_per_event;
  if (!request->is_turn || !request->turn.retains)
    return;
  mq_buffer_append (request, &request->output, event->data, event->data_len,
                    MQ_CHAIN_MAX_BYTES);
  mq_buffer_append (request, &request->output, "\n", 1, MQ_CHAIN_MAX_BYTES);
}

/* Whole events alone are passed on, in one write for all that came at once. */
static void
pass_events (struct mq_request *request)
{
  struct mq_event event;
  struct mq_buffer out = { NULL, 0, 0, 0 };
  bool reads;

  while (mq_event_stream_next (request->events, &event))
    {
      note_event (request, &event);
      mq_buffer_append (request, &out, event.text, event.len, SIZE_MAX);
    }
  if (out.len == 0)
    return;
  begin_stream (request);
  reads = mq_caller_part (request->caller, out.data + out.at, out.len);
  mq_buffer_clear (&out);
  if (!reads)
    mq_http_lane_read (request->lane, false);
}

static void
on_answer_body (const char *data, size_t len, void *user)
{
  struct mq_request *request = user;

  note_heard (request);
  if (!request->answer.stream)
    {
      if (!mq_buffer_append (request, &request->answer.body, data, len,
                             ANSWER_MAX_BYTES))
        end_try (request, MQ_ATTEMPT_BROKEN, MQ_OUTCOME_FAILED);
      return;
    }
  if (request->events == NULL)
    request->events = mq_event_stream_create (request);
  if (request->events == NULL
      || !mq_event_stream_feed (request->events, data, len))
    {
      end_try (request, MQ_ATTEMPT_BROKEN, MQ_OUTCOME_FAILED);
      return;
    }
  pass_events (request);
}

static void
finish_stream (struct mq_request *request)
{
  struct mq_caller *caller = request->caller;
  struct mq_router *router = request->router;

  router->counters.served++;
  mq_histogram_add (&router->latency, mq_clock_ms () - request->arrived_ms);
  log_end (request, MQ_JSON_PLAIN, "served", request->answer.status);
  close_request (request);
  mq_caller_end (caller);
}

static struct mq_bytes
bytes_of (const struct mq_buffer *buffer)
{
  return (struct mq_bytes){ (uint8_t *)buffer->data + buffer->at,
                            buffer->len };
}

/* A turn that may be continued must outlive every process before its caller
   may believe that it has ended.  */
static void
end_stream (struct mq_request *request)
{
  begin_stream (request);
  request->ended = true;
  if (request->is_turn)
    mq_turn_settle (&request->turn, request->handed);
  if (request->is_turn && request->turn.retains)
    mq_turn_keep (&request->turn, request->body, bytes_of (&request->output));
  else
    finish_stream (request);
}

static bool
has_no_body (int status)
{
  return status == 204 || status == 304;
}

/* The worker's answer as a whole, as it was.  */
static void
pass_on (struct mq_request *request)
{
  struct mq_caller *caller = request->caller;
  struct mq_router *router = request->router;
  struct answer *answer = &request->answer;
  struct mq_buffer fields = answer->fields;
  struct mq_buffer body = answer->body;
  int status = answer->status;
  bool with_body
      = !has_no_body (status) && strcmp (request->head->method, "HEAD") != 0;

  router->counters.served++;
  mq_histogram_add (&router->latency, mq_clock_ms () - request->arrived_ms);
  log_end (request, status >= 500 ? MQ_JSON_NOTE : MQ_JSON_PLAIN, "served",
           status);
  talloc_steal (router, fields.data);
  talloc_steal (router, body.data);
  close_request (request);
  mq_caller_answer (caller, status, mq_buffer_text (&fields),
                    mq_buffer_text (&body), body.len, with_body);
  mq_buffer_clear (&fields);
  mq_buffer_clear (&body);
}

/* 408, 421, 429 and 503 promise a caller that a request has not run.  A
   worker that gives one of them without stating so promises nothing.  */
static bool
promises_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
end_plain (struct mq_request *request)
{
  struct answer *answer = &request->answer;

  if (answer->not_run)
    end_try (request, MQ_ATTEMPT_NOT_RUN,
             answer->other_worker ? MQ_OUTCOME_LEAVING : MQ_OUTCOME_FULL);
  else if (promises_not_run (answer->status) && !repeatable (request))
    end_try (request, MQ_ATTEMPT_BROKEN, MQ_OUTCOME_FAILED);
  else if (answer->status >= 500 && repeatable (request))
    end_try (request, MQ_ATTEMPT_ERROR, MQ_OUTCOME_FAILED);
  else if (request->begun)
    end_try (request, MQ_ATTEMPT_BROKEN, MQ_OUTCOME_FAILED);
  else
    pass_on (request);
}

static void
on_answer_end (void *user)
{
  struct mq_request *request = user;
  struct answer *answer = &request->answer;
  bool cut = answer->stream && request->events != NULL
             && mq_event_stream_partial (request->events);

  TALLOC_FREE (request->stall);
  if (cut)
    {
      end_try (request, MQ_ATTEMPT_BROKEN, MQ_OUTCOME_FAILED);
      return;
    }
  if (answer->not_run || answer->status >= 500)
    {
      struct mq_http_lane *lane = request->lane;
      uint32_t worker = request->worker;

      /* The connection is sound, whatever becomes of the request.  */
      request->lane = NULL;
      end_at_worker (request, !answer->not_run       ? MQ_OUTCOME_FAILED
                              : answer->other_worker ? MQ_OUTCOME_LEAVING
                                                     : MQ_OUTCOME_FULL);
      mq_pool_give (request->router->pool, worker, lane, answer->idle_s);
      end_plain (request);
      return;
    }
  mq_pool_give (request->router->pool, request->worker, request->lane,
                answer->idle_s);
  request->lane = NULL;
  end_at_worker (request, MQ_OUTCOME_SERVED);
  if (answer->stream)
    end_stream (request);
  else
    end_plain (request);
}

static void
on_answer_failed (enum mq_lane_failure failure, void *user)
{
  struct mq_request *request = user;

  switch (failure)
    {
    case MQ_LANE_UNREACHABLE:
      end_try (request, MQ_ATTEMPT_UNREACHABLE, MQ_OUTCOME_UNREACHABLE);
      return;
    case MQ_LANE_BROKEN:
    case MQ_LANE_DAMAGED:
      end_try (request, MQ_ATTEMPT_BROKEN, MQ_OUTCOME_FAILED);
      return;
    }
}

static bool
is_passed_on (const struct mq_request *request, const char *name)
{
  if (strcasecmp (name, "Host") == 0 || strcasecmp (name, "Expect") == 0
      || strcasecmp (name, "Content-Length") == 0)
    return false;
  return !mq_wire_is_ours (name)
         && !mq_http_field_is_hop (request->head, name);
}

static void
put_text (struct mq_request *request, struct mq_buffer *out, const char *text)
{
  mq_buffer_append (request, out, text, strlen (text), SIZE_MAX);
}

static void
put_field (struct mq_request *request, struct mq_buffer *out, const char *name,
           const char *value)
{
  put_text (request, out, name);
  put_text (request, out, ": ");
  put_text (request, out, value);
  put_text (request, out, "\r\n");
}

static uint32_t
send_priority (const struct mq_request *request)
{
  uint32_t priority
      = PRIORITY_FIRST + request->route->priority * PRIORITY_STEP;

  return priority > PRIORITY_LAST ? PRIORITY_LAST : priority;
}

static void
put_head (struct mq_request *request, struct mq_buffer *out, uint64_t now)
{
  const struct mq_http_head *head = request->head;
  const struct mq_fleet_member *member
      = mq_fleet_member (request->router->fleet, request->worker);
  struct mq_send_facts facts = {
    .deadline_ms = (uint32_t)(request->give_up_ms - now),
    .worker = member->id,
    .last_event = request->last_event[0] == '\0' ? NULL : request->last_event,
    .priority = send_priority (request),
  };
  char *fields = mq_wire_send_fields (request, &facts);
  char length[48];

  put_text (request, out, head->method);
  put_text (request, out, " ");
  put_text (request, out, head->target);
  put_text (request, out, " HTTP/1.1\r\n");
  put_field (request, out, "Host", request->facts.host);
  for (size_t i = 0; i < head->field_count; i++)
    if (is_passed_on (request, head->fields[i].name))
      put_field (request, out, head->fields[i].name, head->fields[i].value);
  put_text (request, out, fields);
  if (request->send_body.len > 0 || head->has_length || head->chunked)
    {
      snprintf (length, sizeof length, "Content-Length: %zu\r\n",
                request->send_body.len);
      put_text (request, out, length);
    }
  put_text (request, out, "\r\n");
  talloc_free (fields);
}

static void
send_request (struct mq_request *request)
{
  struct mq_lane_events events = { .head = on_answer_head,
                                   .body = on_answer_body,
                                   .end = on_answer_end,
                                   .failed = on_answer_failed,
                                   .user = request };
  struct mq_buffer out = { NULL, 0, 0, 0 };

  put_head (request, &out, request->sent_ms);
  mq_http_lane_send (request->lane, &events, out.data + out.at, out.len,
                     request->send_body.data, request->send_body.len,
                     strcmp (request->head->method, "HEAD") == 0);
  mq_buffer_clear (&out);
  request->heard_ms = request->sent_ms;
  request->stalled = false;
  if (repeatable (request) && request->sent < request->route->attempts)
    set_stall (request, stall_ms (request));
}

/* Requests that gain from the same worker's cache share a key, by which all
   hosts choose the same one without asking each other: those of one program
   on engines, those on one object elsewhere.  */
static bool
placing_key (const struct mq_request *request, uint64_t *key)
{
  const char *text = NULL;

  if (request->service_info != NULL && request->service_info->engine)
    text = request->facts.program;
  else if (request->route->sticky)
    text = request->facts.affinity;
  if (text == NULL)
    return false;
  *key = mq_hash_bytes (text, strlen (text), 0);
  return true;
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
    .random = next_random (request->router),
  };

  query.has_key = placing_key (request, &query.key);
  return mq_fleet_choose (request->router->fleet, &query);
}

static void
refuse_unplaced (struct mq_request *request)
{
  if (request->begun)
    break_off (request, "no_worker");
  else if (request->ran)
    refuse (request, MQ_REFUSE_FAILED);
  else if (request->tried_count > 0)
    refuse (request, MQ_REFUSE_FULL);
  else
    refuse (request, MQ_REFUSE_NO_WORKER);
}

/* Sends the request to the best worker that it was not sent to yet.  */
static void
place_request (struct mq_request *request)
{
  struct mq_router *router = request->router;
  struct mq_error error = { .type = MQ_ERR_NONE };
  uint64_t now = mq_clock_ms ();
  uint32_t worker = choose_worker (request, now);
  bool reused;

  if (worker == MQ_WORKER_NONE || request->tried_count == TRIED_MAX
      || now >= request->give_up_ms)
    {
      refuse_unplaced (request);
      return;
    }
  request->worker = worker;
  request->tried[request->tried_count++] = worker;
  request->sent++;
  request->sent_ms = now;
  mq_fleet_started (router->fleet, worker);
  request->lane = mq_pool_take (router->pool, worker, &reused, &error);
  if (request->lane == NULL)
    {
      end_at_worker (request, MQ_OUTCOME_UNREACHABLE);
      end_try (request, MQ_ATTEMPT_UNREACHABLE, MQ_OUTCOME_UNREACHABLE);
      return;
    }
  send_request (request);
}

/* What the worker gets: all that was said before, then the new input.  */
static bool
join_body (struct mq_request *request)
{
  const struct mq_chain *before = request->turn.before;
  size_t len;
  uint8_t *joined;

  if (before == NULL)
    return true;
  len = before->text.len + request->body.len;
  joined = talloc_size (request, len + 1);
  if (joined == NULL)
    return false;
  memcpy (joined, before->text.data, before->text.len);
  if (request->body.len > 0)
    memcpy (joined + before->text.len, request->body.data, request->body.len);
  request->send_body = (struct mq_bytes){ joined, len };
  return true;
}

static void
on_turn (enum mq_turn_state state, void *user)
{
  struct mq_request *request = user;

  switch (state)
    {
    case MQ_TURN_READY:
      if (join_body (request))
        place_request (request);
      else
        refuse (request, MQ_REFUSE_FULL);
      return;
    case MQ_TURN_SPENT:
      refuse (request, MQ_REFUSE_BUDGET);
      return;
    case MQ_TURN_NO_CHAIN:
      refuse (request, MQ_REFUSE_NO_TURN);
      return;
    case MQ_TURN_NO_STORE:
      if (request->ended)
        break_off (request, "not_kept");
      else
        refuse (request, MQ_REFUSE_STORE);
      return;
    case MQ_TURN_KEPT:
      finish_stream (request);
      return;
    }
}

/* Tokens that a turn may generate at its most, in whole events.  */
static uint64_t
most_tokens (const struct mq_request *request)
{
  uint64_t step = request->service_info == NULL
                      ? 1
                      : request->service_info->tokens_per_event;
  uint64_t most = request->facts.tokens_out;

  if (step == 0)
    step = 1;
  return (most + step - 1) / step * step;
}

static void
begin_turn (struct mq_request *request)
{
  request->is_turn = true;
  request->turn = (struct mq_turn){
    .program = request->facts.program,
    .id = request->facts.id,
    .previous = request->route->retains ? request->facts.previous : NULL,
    .limit = request->facts.budget,
    .most = most_tokens (request),
    .budgeted = request->facts.has_budget && request->facts.program != NULL,
    .retains = request->route->retains,
    .retain_s = request->route->retain_s,
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

static void
set_timer (struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();
  uint64_t wait = request->give_up_ms > now ? request->give_up_ms - now : 0;

  request->timer
      = mq_timer_add (request, request->router->ev, wait, on_overdue, request);
}

/* Makes the request go by ROUTE of the configuration in force.  */
static void
follow_route (struct mq_request *request, const struct mq_path_route *route)
{
  struct mq_router *router = request->router;
  uint64_t key = next_random (router);

  request->table = talloc_reference (request, router->routes);
  request->route = route;
  if (request->facts.program != NULL)
    key = mq_hash_bytes (request->facts.program,
                         strlen (request->facts.program), 1);
  request->service = mq_route_service (route, key);
  request->service_info
      = mq_route_service_find (request->table, request->service);
  request->give_up_ms = request->arrived_ms + patience_ms (request);
  set_timer (request);
  if (route->kind == MQ_ROUTE_STREAM
      && (route->retains || request->facts.has_budget))
    begin_turn (request);
  else
    place_request (request);
}

static bool
is_sound (const struct mq_request *request)
{
  const struct mq_http_head *head = request->head;

  return head->target[0] == '/' && mq_http_head_count (head, "Host") == 1
         && request->facts.id != NULL
         && strlen (request->facts.id) < MQ_TURN_ID_MAX;
}

static void
on_confirmed (bool current, void *user)
{
  struct mq_request *request = user;
  const struct mq_path_route *route = NULL;

  request->confirm = NULL;
  if (request->router->routes != NULL)
    route = mq_route_find (request->router->routes, request->facts.host,
                           request->head->target);
  if (route != NULL)
    follow_route (request, route);
  else if (current)
    refuse (request, MQ_REFUSE_NO_ROUTE);
  else
    refuse (request, MQ_REFUSE_NOT_READY);
}

void
mq_request_begin (struct mq_router *router, struct mq_caller *caller,
                  const struct mq_http_head *head, struct mq_bytes body,
                  uint64_t arrived_ms)
{
  struct mq_request *request = talloc_zero (router, struct mq_request);
  const struct mq_path_route *route;

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
      refuse (request, MQ_REFUSE_BAD_REQUEST);
      return;
    }
  if (request->facts.last_event != NULL)
    snprintf (request->last_event, sizeof request->last_event, "%s",
              request->facts.last_event);
  if (router->routes == NULL || !router->workers_listed)
    {
      refuse (request, MQ_REFUSE_NOT_READY);
      return;
    }
  route = mq_route_find (router->routes, request->facts.host, head->target);
  if (route == NULL)
    request->confirm = mq_feed_confirm (router, on_confirmed, request);
  else
    follow_route (request, route);
}

void
mq_request_caller_left (struct mq_request *request)
{
  request->router->counters.left++;
  log_end (request, MQ_JSON_PLAIN, "caller_left", request->answer.status);
  if (request->lane != NULL
      && mq_clock_ms () - request->heard_ms >= LEFT_TELLS_MS)
    end_lane (request, MQ_OUTCOME_FAILED);
  close_request (request);
}

void
mq_request_caller_reads (struct mq_request *request)
{
  if (request->lane != NULL)
    mq_http_lane_read (request->lane, true);
}
