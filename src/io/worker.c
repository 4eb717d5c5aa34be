/* worker.c - the client of mimosa-targetd towards one worker on its host.

   A call is one POST.  A model call that is stopped, or that takes too long,
   is settled first: the engine is asked to cancel it and says how many
   tokens it made.
   Needs: worker.h, worker_stream.h, jansson.  */

#include "worker.h"
#include "../core/id.h"
#include "../core/limits.h"
#include "../core/memory.h"
#include "worker_stream.h"
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  REQUEST_ID_MAX = MQ_ID_TEXT + 24, /* PROGRAM-CALL-ATTEMPT */
  STATUS_REFUSED = 429
};

/**
 * struct call - one START under way
 * @http: its POST, NULL once that has ended
 * @stream: a model's answer, NULL for others
 * @settling: an end is known, the engine is asked what it made
 * @cancels: how often it was asked
 * @cancel: the question under way
 * @later: hands in the end outside of the caller's function call
 * @end: how it ended
 */
struct call
{
  struct mq_worker *worker;
  struct call *next;
  char request_id[REQUEST_ID_MAX];
  struct mq_http_call *http;
  struct mq_worker_stream *stream;
  bool settling;
  uint32_t cancels;
  struct control *cancel;
  struct tevent_immediate *later;
  struct mq_gate_done end;
};

enum control_type
{
  CONTROL_EVICT,
  CONTROL_ORDER,
  CONTROL_CANCEL,
  CONTROL_POLL
};

/* A request to the worker that is no call of a program.  */
struct control
{
  struct mq_worker *worker;
  struct control *next;
  enum control_type type;
  struct mq_http_call *http;
  struct tevent_immediate *later;
  bool failed; /* without having been sent */
  union
  {
    struct mq_id program; /* EVICT */
    uint64_t order;       /* ORDER */
    struct call *call;    /* CANCEL; NULL when nobody waits */
  } u;
};

enum engine_state
{
  ENGINE_UNKNOWN,
  ENGINE_UP,
  ENGINE_DOWN
};

struct mq_worker
{
  struct tevent_context *ev;
  struct mq_http_client *client;
  struct mq_worker_options options;
  struct mq_worker_callbacks callbacks;
  struct call *calls;
  struct control *controls;
  enum engine_state state;
  uint64_t boot;
  bool polling;
  struct tevent_timer *poll_timer;
  struct mq_worker_counters counters;
};

static void poll_soon (struct mq_worker *worker);

static bool
is_model (const struct mq_worker *worker)
{
  return worker->options.kind == MQ_SERVICE_MODEL;
}

static bool
has_text (const char *text)
{
  return text != NULL && *text != '\0';
}

/* Requests to the worker that are no calls.  */

static int
control_freed (struct control *control)
{
  struct control **at = &control->worker->controls;

  while (*at != NULL && *at != control)
    at = &(*at)->next;
  if (*at == control)
    *at = control->next;
  if (control->http != NULL)
    mq_http_call_cancel (control->http);
  if (control->type == CONTROL_CANCEL && control->u.call != NULL)
    control->u.call->cancel = NULL;
  return 0;
}

static struct control *
add_control (struct mq_worker *worker, enum control_type type)
{
  struct control *control = mq_must (talloc_zero (worker, struct control));

  control->worker = worker;
  control->type = type;
  control->next = worker->controls;
  worker->controls = control;
  talloc_set_destructor (control, control_freed);
  return control;
}

static void control_done (const struct mq_http_result *result, void *user);

static void
control_late (struct tevent_context *ev, struct tevent_immediate *im,
              void *data)
{
  struct control *control = data;
  struct mq_http_result result = { .body = "", .status = 200 };

  (void)ev;
  (void)im;
  if (control->failed)
    result.error = MQ_ERR_NO_MEMORY;
  control_done (&result, control);
}

/* Ends CONTROL outside of the caller's call, without asking the worker.  */
static void
control_skip (struct control *control, bool failed)
{
  control->failed = failed;
  control->later = mq_must (tevent_create_immediate (control));
  tevent_schedule_immediate (control->later, control->worker->ev, control_late,
                             control);
}

/* Takes over BODY, NULL for a GET.  */
static void
send_control (struct control *control, const char *path, json_t *body,
              uint32_t timeout_ms)
{
  static const char *const headers[]
      = { "Content-Type: application/json", NULL };
  struct mq_worker *worker = control->worker;
  char *url = talloc_asprintf (control, "%s%s", worker->options.url, path);
  char *text = body == NULL ? NULL : json_dumps (body, JSON_COMPACT);
  struct mq_http_send send = { .method = text == NULL ? "GET" : "POST",
                               .url = url,
                               .headers = text == NULL ? NULL : headers,
                               .body = text,
                               .len = text == NULL ? 0 : strlen (text),
                               .timeout_ms = timeout_ms,
                               .done = control_done,
                               .user = control };

  control->http = mq_http_client_send (worker->client, &send);
  if (control->http == NULL)
    control_skip (control, true);
  free (text);
  talloc_free (url);
  json_decref (body);
}

static bool
is_ok (const struct mq_http_result *result)
{
  return result->error == MQ_ERR_NONE && result->status == 200;
}

static void
tell_evicted (struct control *control, const struct mq_http_result *result)
{
  struct mq_worker *worker = control->worker;
  struct mq_gate_evicted evicted;

  evicted.worker = worker->options.index;
  evicted.program = control->u.program;
  evicted.confirmed = is_ok (result);
  if (evicted.confirmed)
    worker->counters.evictions++;
  else
    worker->counters.evictions_failed++;
  talloc_free (control);
  worker->callbacks.evicted (&evicted, worker->callbacks.user);
}

static enum mq_error_type
order_error (const struct mq_worker *worker,
             const struct mq_http_result *result)
{
  if (!is_model (worker))
    return MQ_ERR_BAD_REQUEST;
  if (is_ok (result))
    return MQ_ERR_NONE;
  if (result->error == MQ_ERR_NONE && result->status == 409)
    return MQ_ERR_STALE_FENCE;
  if (result->error == MQ_ERR_TIMEOUT)
    return MQ_ERR_TIMEOUT;
  return MQ_ERR_TARGET_FAILED;
}

static void
tell_ordered (struct control *control, const struct mq_http_result *result)
{
  struct mq_worker *worker = control->worker;
  struct mq_order_done_msg ordered;

  ordered.order = control->u.order;
  ordered.error = order_error (worker, result);
  talloc_free (control);
  worker->callbacks.ordered (&ordered, worker->callbacks.user);
}

/* The end of a call.  */

static int
call_freed (struct call *call)
{
  struct call **at = &call->worker->calls;

  while (*at != NULL && *at != call)
    at = &(*at)->next;
  if (*at == call)
    *at = call->next;
  if (call->http != NULL)
    mq_http_call_cancel (call->http);
  if (call->cancel != NULL)
    call->cancel->u.call = NULL;
  return 0;
}

static void
count_end (struct mq_worker_counters *counters, const struct mq_gate_done *end)
{
  if (end->error == MQ_ERR_NONE)
    counters->answered++;
  else if (end->error == MQ_ERR_CANCELLED)
    counters->cancelled++;
  else if (end->error == MQ_ERR_BAD_ANSWER)
    counters->bad_answers++;
  else if (end->ran == MQ_RAN_NOT_RUN)
    counters->refused++;
  else
    counters->broken++;
}

/* Frees the call, then tells the gate, which may start another.  */
static void
tell_done (struct call *call)
{
  struct mq_worker *worker = call->worker;
  struct mq_gate_done end = call->end;
  TALLOC_CTX *body = talloc_new (worker);

  end.body = end.body == NULL ? "" : talloc_steal (body, end.body);
  count_end (&worker->counters, &end);
  talloc_free (call);
  worker->callbacks.done (&end, worker->callbacks.user);
  talloc_free (body);
}

static void
call_late (struct tevent_context *ev, struct tevent_immediate *im, void *data)
{
  (void)ev;
  (void)im;
  tell_done (data);
}

static void
tell_done_later (struct call *call)
{
  if (call->later != NULL)
    return;
  call->later = mq_must (tevent_create_immediate (call));
  tevent_schedule_immediate (call->later, call->worker->ev, call_late, call);
}

static void
set_end (struct call *call, enum mq_error_type error, enum mq_ran ran)
{
  call->end.error = error;
  call->end.ran = ran;
}

static void
set_usage (struct call *call)
{
  struct mq_worker_usage usage = mq_worker_stream_usage (call->stream);

  call->end.tokens_in = usage.tokens_in;
  call->end.tokens_out = usage.tokens_out;
  call->end.cached_tokens = usage.cached_tokens;
}

/* Model calls that end early.  */

static void
send_cancel (struct call *call)
{
  struct control *control = add_control (call->worker, CONTROL_CANCEL);

  call->cancels++;
  control->u.call = call;
  call->cancel = control;
  send_control (control, "/v1/cancel",
                json_pack ("{s:s}", "request_id", call->request_id),
                MQ_WORKER_CONTROL_MS);
}

/* The failure: an engine whose stream broke or went silent may not notice
   and go on generating, which shows as slots and memory in use for nobody.
   Asking it to cancel frees them whatever became of the connection, and its
   answer tells how many tokens the call really cost.  */
static void
settle (struct call *call, enum mq_error_type error)
{
  set_end (call, error, MQ_RAN_RAN);
  if (call->settling)
    return;
  call->settling = true;
  send_cancel (call);
}

static void
end_settled (struct call *call)
{
  uint32_t counted = mq_worker_stream_usage (call->stream).tokens_out;

  if (call->end.tokens_out < counted)
    call->end.tokens_out = counted;
  tell_done (call);
}

static void
cancel_again (struct tevent_context *ev, struct tevent_timer *timer,
              struct timeval now, void *data)
{
  struct call *call = data;

  (void)ev;
  (void)timer;
  (void)now;
  send_cancel (call);
}

/* The engine does not know the call while its answer is still open: either
   the cancel overtook the call on its way, or the answer's end is on its way
   to us.  A moment later one of the two has come in.  */
static void
cancel_later (struct call *call)
{
  struct timeval at
      = tevent_timeval_current_ofs (0, MQ_WORKER_CANCEL_RETRY_MS * 1000);

  tevent_add_timer (call->worker->ev, call, at, cancel_again, call);
}

static void
time_out (struct tevent_context *ev, struct tevent_timer *timer,
          struct timeval now, void *data)
{
  struct call *call = data;

  (void)ev;
  (void)timer;
  (void)now;
  if (!call->settling && call->later == NULL)
    settle (call, MQ_ERR_TIMEOUT);
}

/* The engine cancels by itself when a connection closes, and then no longer
   knows what the call made.  So curl, which would close it, is not told of
   the time that the call has: when that is over the cancel goes first.  */
static void
limit_time (struct call *call, uint32_t timeout_ms)
{
  struct timeval at = tevent_timeval_current_ofs (timeout_ms / 1000,
                                                  timeout_ms % 1000 * 1000);

  if (timeout_ms > 0)
    tevent_add_timer (call->worker->ev, call, at, time_out, call);
}

static void
on_cancelled (struct control *control, const struct mq_http_result *result)
{
  struct call *call = control->u.call;
  json_t *json;

  talloc_free (control);
  if (call == NULL)
    return;
  if (result->error == MQ_ERR_NONE && result->status == 404
      && call->http != NULL && call->cancels < MQ_WORKER_CANCELS_MAX)
    {
      cancel_later (call);
      return;
    }
  if (is_ok (result))
    {
      json = json_loadb (result->body, result->len, 0, NULL);
      call->end.tokens_out = (uint32_t)json_integer_value (
          json_object_get (json, "completion_tokens"));
      json_decref (json);
    }
  end_settled (call);
}

/* Model calls.  */

static void
on_text (const char *text, void *user)
{
  struct call *call = user;
  struct mq_worker *worker = call->worker;
  struct mq_gate_token token = { call->end.slot, text };

  if (!call->settling)
    worker->callbacks.token (&token, worker->callbacks.user);
}

static void
on_part (const char *data, size_t len, void *user)
{
  struct call *call = user;

  mq_worker_stream_feed (call->stream, data, len, on_text, call);
}

/* A cancel that nobody waits for: the call has its end already.  */
static void
cancel_unheard (struct call *call)
{
  send_cancel (call);
  call->cancel->u.call = NULL;
  call->cancel = NULL;
}

static void
end_whole_stream (struct call *call)
{
  set_usage (call);
  switch (mq_worker_stream_state (call->stream))
    {
    case MQ_WORKER_STREAM_WHOLE:
      set_end (call, MQ_ERR_NONE, MQ_RAN_RAN);
      call->end.body = mq_worker_stream_body (call, call->stream);
      break;
    case MQ_WORKER_STREAM_OPEN:
      set_end (call, MQ_ERR_TARGET_FAILED, MQ_RAN_RAN);
      break;
    case MQ_WORKER_STREAM_BAD:
      set_end (call, MQ_ERR_BAD_ANSWER, MQ_RAN_RAN);
      break;
    }
  tell_done (call);
}

static void
end_model_status (struct call *call, const struct mq_http_result *result)
{
  int status = result->status;

  if (status == STATUS_REFUSED)
    {
      set_end (call, MQ_ERR_OVERLOADED, MQ_RAN_NOT_RUN);
      call->end.retry_after_ms = result->retry_after_ms;
    }
  else if (status == 400 || status == 413 || status == 422)
    set_end (call, MQ_ERR_BAD_REQUEST, MQ_RAN_NOT_RUN);
  else if (status >= 400 && status < 500)
    set_end (call, MQ_ERR_TARGET_FAILED, MQ_RAN_NOT_RUN);
  else
    set_end (call, MQ_ERR_TARGET_FAILED, MQ_RAN_RAN);
  tell_done (call);
}

/* The call never left this host.  */
static void
end_unsent (struct call *call, const struct mq_http_result *result)
{
  enum mq_error_type error = result->error;

  poll_soon (call->worker);
  if (error != MQ_ERR_TIMEOUT && error != MQ_ERR_NO_MEMORY
      && error != MQ_ERR_BAD_REQUEST)
    error = MQ_ERR_TARGET_FAILED;
  set_end (call, error, MQ_RAN_NOT_RUN);
  tell_done (call);
}

static void
end_broken_stream (struct call *call, const struct mq_http_result *result)
{
  set_usage (call);
  set_end (call,
           result->error == MQ_ERR_TOO_LARGE ? MQ_ERR_BAD_ANSWER
                                             : MQ_ERR_TARGET_FAILED,
           MQ_RAN_RAN);
  cancel_unheard (call);
  poll_soon (call->worker);
  tell_done (call);
}

static void
model_done (const struct mq_http_result *result, void *user)
{
  struct call *call = user;
  bool whole
      = is_ok (result)
        && mq_worker_stream_state (call->stream) == MQ_WORKER_STREAM_WHOLE;

  call->http = NULL;
  if (call->settling && !whole)
    return; /* ends when the cancel is answered */
  if (result->error == MQ_ERR_NONE && result->status == 200)
    end_whole_stream (call);
  else if (result->error == MQ_ERR_NONE)
    end_model_status (call, result);
  else if (!result->sent)
    end_unsent (call, result);
  else
    end_broken_stream (call, result);
}

/* The owner's body with what the engine needs besides; a new reference, NULL
   where it is no object.  */
static json_t *
model_body (const struct call *call, const struct mq_start *start)
{
  json_t *body = json_loads (start->body, 0, NULL);
  json_int_t cap = json_integer_value (json_object_get (body, "max_tokens"));
  const char *model = call->worker->options.model;
  char program[MQ_ID_TEXT];

  if (!json_is_object (body))
    {
      json_decref (body);
      return NULL;
    }
  mq_id_format (start->ref.program, program);
  if (json_object_get (body, "model") == NULL && has_text (model))
    json_object_set_new (body, "model", json_string (model));
  if (start->max_tokens > 0 && (cap <= 0 || cap > start->max_tokens))
    json_object_set_new (body, "max_tokens", json_integer (start->max_tokens));
  json_object_set_new (body, "stream", json_true ());
  json_object_set_new (body, "request_id", json_string (call->request_id));
  json_object_set_new (body, "program", json_string (program));
  json_object_set_new (body, "priority", json_integer (start->priority));
  return body;
}

/* Calls of plain services and tools.  */

/* The answer as JSON text below CALL: as it is where it is JSON, else as a
   string; NULL where it is neither.  */
static char *
answer_json (struct call *call, const struct mq_http_result *result)
{
  json_t *json = json_loadb (result->body, result->len, JSON_DECODE_ANY, NULL);
  char *text;
  char *answer = NULL;

  if (json != NULL)
    {
      json_decref (json);
      return talloc_strndup (call, result->body, result->len);
    }
  if (result->len == 0)
    return talloc_strdup (call, "null");
  json = json_stringn (result->body, result->len);
  text = json_dumps (json, JSON_ENCODE_ANY);
  if (text != NULL)
    answer = talloc_strdup (call, text);
  free (text);
  json_decref (json);
  return answer;
}

static void
end_answered (struct call *call, const struct mq_http_result *result)
{
  char *answer = answer_json (call, result);

  if (answer == NULL)
    {
      set_end (call, MQ_ERR_BAD_ANSWER, MQ_RAN_RAN);
      return;
    }
  if (result->status >= 400)
    answer = talloc_asprintf (call, "{\"status\":%d,\"error\":%s}",
                              result->status, answer);
  set_end (call, MQ_ERR_NONE, MQ_RAN_RAN);
  call->end.body = answer;
}

static void
end_service_status (struct call *call, const struct mq_http_result *result)
{
  int status = result->status;

  if (status == STATUS_REFUSED)
    {
      set_end (call, MQ_ERR_OVERLOADED, MQ_RAN_NOT_RUN);
      call->end.retry_after_ms = result->retry_after_ms;
    }
  else if ((status >= 200 && status < 300) || (status >= 400 && status < 500))
    end_answered (call, result);
  else
    set_end (call, MQ_ERR_TARGET_FAILED, MQ_RAN_UNKNOWN);
}

/* The status of an answer that is too long still tells that the service ran
   the call.  */
static void
end_service_broken (struct call *call, const struct mq_http_result *result)
{
  bool answered = result->status >= 200 && result->status < 300;

  if (result->error == MQ_ERR_TIMEOUT)
    set_end (call, MQ_ERR_TIMEOUT, MQ_RAN_UNKNOWN);
  else if (result->error == MQ_ERR_TOO_LARGE)
    set_end (call, MQ_ERR_BAD_ANSWER, answered ? MQ_RAN_RAN : MQ_RAN_UNKNOWN);
  else
    set_end (call, MQ_ERR_TARGET_FAILED, MQ_RAN_UNKNOWN);
}

static void
service_done (const struct mq_http_result *result, void *user)
{
  struct call *call = user;

  call->http = NULL;
  if (result->error != MQ_ERR_NONE && !result->sent)
    {
      end_unsent (call, result);
      return;
    }
  if (result->error == MQ_ERR_NONE)
    end_service_status (call, result);
  else
    end_service_broken (call, result);
  tell_done (call);
}

/* Starting and stopping calls.  */

static struct call *
add_call (struct mq_worker *worker, const struct mq_start *start)
{
  struct call *call = mq_must (talloc_zero (worker, struct call));
  char *id;
  char program[MQ_ID_TEXT];

  mq_id_format (start->ref.program, program);
  id = mq_must (talloc_asprintf (call, "%s-%" PRIu32 "-%" PRIu32, program,
                                 start->ref.call, start->ref.attempt));
  strncpy (call->request_id, id, sizeof call->request_id - 1);
  talloc_free (id);
  call->worker = worker;
  call->end.slot = start->slot;
  call->next = worker->calls;
  worker->calls = call;
  talloc_set_destructor (call, call_freed);
  worker->counters.started++;
  return call;
}

static void
post_call (struct call *call, const struct mq_start *start, const char *path,
           const char *body)
{
  struct mq_worker *worker = call->worker;
  const char *headers[4] = { "Content-Type: application/json" };
  size_t count = 1;
  struct mq_http_send send
      = { .method = "POST",
          .url = talloc_asprintf (call, "%s%s", worker->options.url, path),
          .headers = headers,
          .body = body,
          .len = strlen (body),
          .user = call };

  if (has_text (start->traceparent))
    headers[count++]
        = talloc_asprintf (call, "traceparent: %s", start->traceparent);
  if (!is_model (worker) && has_text (start->idempotency_key))
    headers[count] = talloc_asprintf (call, "Idempotency-Key: %s",
                                      start->idempotency_key);
  send.part = is_model (worker) ? on_part : NULL;
  send.done = is_model (worker) ? model_done : service_done;
  send.timeout_ms = is_model (worker) ? 0 : start->timeout_ms;
  send.body_max = is_model (worker) ? MQ_WORKER_STREAM_MAX_BYTES : 0;
  call->http = mq_http_client_send (worker->client, &send);
  if (call->http != NULL)
    return;
  set_end (call, MQ_ERR_NO_MEMORY, MQ_RAN_NOT_RUN);
  tell_done_later (call);
}

static void
start_model (struct call *call, const struct mq_start *start)
{
  json_t *json = model_body (call, start);
  char *text;

  if (json == NULL)
    {
      set_end (call, MQ_ERR_BAD_REQUEST, MQ_RAN_NOT_RUN);
      tell_done_later (call);
      return;
    }
  call->stream = mq_worker_stream_create (call);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  limit_time (call, start->timeout_ms);
  post_call (call, start, "/v1/chat/completions", text);
  free (text);
}

void
mq_worker_start (struct mq_worker *worker, const struct mq_start *start)
{
  struct call *call = add_call (worker, start);

  if (is_model (worker))
    start_model (call, start);
  else
    post_call (call, start, start->route,
               start->body == NULL ? "" : start->body);
}

void
mq_worker_stop (struct mq_worker *worker, uint32_t slot)
{
  struct call *call = worker->calls;

  while (call != NULL && call->end.slot != slot)
    call = call->next;
  if (call == NULL || call->later != NULL)
    return;
  if (is_model (worker))
    {
      settle (call, MQ_ERR_CANCELLED);
      return;
    }
  if (call->http != NULL)
    mq_http_call_cancel (call->http);
  call->http = NULL;
  set_end (call, MQ_ERR_CANCELLED, MQ_RAN_UNKNOWN);
  tell_done_later (call);
}

void
mq_worker_evict (struct mq_worker *worker, struct mq_id program)
{
  struct control *control = add_control (worker, CONTROL_EVICT);
  char text[MQ_ID_TEXT];

  control->u.program = program;
  mq_id_format (program, text);
  if (is_model (worker))
    send_control (control, "/v1/cache/evict",
                  json_pack ("{s:s}", "program", text), MQ_WORKER_CONTROL_MS);
  else
    control_skip (control, false);
}

static const char *
order_name (enum mq_order_type type)
{
  switch (type)
    {
    case MQ_ORDER_LOAD_MODEL:
      return "load_model";
    case MQ_ORDER_LOAD_ADAPTER:
      return "load_adapter";
    case MQ_ORDER_SET_VERSION:
      return "set_version";
    case MQ_ORDER_SET_ROLE:
      return "set_role";
    }
  return "";
}

void
mq_worker_order (struct mq_worker *worker, const struct mq_order_msg *order)
{
  struct control *control = add_control (worker, CONTROL_ORDER);

  control->u.order = order->order;
  if (!is_model (worker))
    {
      control_skip (control, false);
      return;
    }
  send_control (control, "/v1/orders",
                json_pack ("{s:I, s:s, s:s}", "fence",
                           (json_int_t)order->fence, "order",
                           order_name (order->type), "argument",
                           order->argument == NULL ? "" : order->argument),
                MQ_WORKER_ORDER_MS);
}

/* What the engine holds.  */

static void
poll_now (struct tevent_context *ev, struct tevent_timer *timer,
          struct timeval now, void *data)
{
  struct mq_worker *worker = data;

  (void)ev;
  (void)timer;
  (void)now;
  worker->poll_timer = NULL;
  worker->polling = true;
  send_control (add_control (worker, CONTROL_POLL), "/v1/cache", NULL,
                MQ_WORKER_CONTROL_MS);
}

static void
poll_in (struct mq_worker *worker, uint32_t wait_ms)
{
  struct timeval at
      = tevent_timeval_current_ofs (wait_ms / 1000, wait_ms % 1000 * 1000);

  TALLOC_FREE (worker->poll_timer);
  worker->poll_timer
      = tevent_add_timer (worker->ev, worker, at, poll_now, worker);
}

/* A call could not reach the engine, or its answer broke: whether the engine
   is down or was restarted is worth knowing before the next poll.  */
static void
poll_soon (struct mq_worker *worker)
{
  if (is_model (worker) && !worker->polling)
    poll_in (worker, 0);
}

static void
tell_down (struct mq_worker *worker)
{
  worker->counters.polls_failed++;
  if (worker->state == ENGINE_DOWN)
    return;
  worker->state = ENGINE_DOWN;
  worker->callbacks.down (worker->options.index, worker->callbacks.user);
}

static void
tell_up (struct mq_worker *worker, uint64_t boot)
{
  bool known = worker->state == ENGINE_UP && worker->boot == boot;

  if (worker->boot != 0 && worker->boot != boot)
    worker->counters.restarts++;
  worker->state = ENGINE_UP;
  worker->boot = boot;
  if (!known)
    worker->callbacks.up (worker->options.index, boot, worker->callbacks.user);
}

static uint32_t
read_tokens (const json_t *json, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (json, key));

  return value < 0 || value > UINT32_MAX ? 0 : (uint32_t)value;
}

static void
tell_cache (struct mq_worker *worker, const json_t *json)
{
  const json_t *programs = json_object_get (json, "programs");
  size_t count = json_array_size (programs);
  struct mq_gate_cache_entry *entries = mq_must (
      talloc_zero_array (worker, struct mq_gate_cache_entry, count + 1));
  struct mq_gate_cache cache = { 0 };

  for (size_t i = 0; i < count; i++)
    {
      const json_t *program = json_array_get (programs, i);
      struct mq_gate_cache_entry *entry = &entries[cache.entry_count];

      if (!mq_id_parse (
              json_string_value (json_object_get (program, "program")),
              &entry->program))
        continue;
      entry->tokens = read_tokens (program, "tokens");
      cache.entry_count++;
    }
  cache.worker = worker->options.index;
  cache.entries = entries;
  cache.used = read_tokens (json, "used");
  cache.total = read_tokens (json, "total");
  worker->callbacks.cache (&cache, worker->callbacks.user);
  talloc_free (entries);
}

static void
on_polled (struct control *control, const struct mq_http_result *result)
{
  struct mq_worker *worker = control->worker;
  json_t *json = is_ok (result)
                     ? json_loadb (result->body, result->len, 0, NULL)
                     : NULL;
  json_int_t boot = json_integer_value (json_object_get (json, "boot"));

  talloc_free (control);
  worker->polling = false;
  poll_in (worker, worker->options.cache_poll_ms);
  if (boot <= 0)
    tell_down (worker);
  else
    {
      tell_up (worker, (uint64_t)boot);
      tell_cache (worker, json);
    }
  json_decref (json);
}

static void
control_done (const struct mq_http_result *result, void *user)
{
  struct control *control = user;

  control->http = NULL;
  switch (control->type)
    {
    case CONTROL_EVICT:
      tell_evicted (control, result);
      break;
    case CONTROL_ORDER:
      tell_ordered (control, result);
      break;
    case CONTROL_CANCEL:
      on_cancelled (control, result);
      break;
    case CONTROL_POLL:
      on_polled (control, result);
      break;
    }
}

/* Start and stop.  */

struct mq_worker *
mq_worker_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                  struct mq_http_client *client,
                  const struct mq_worker_options *options,
                  const struct mq_worker_callbacks *callbacks)
{
  struct mq_worker *worker = talloc_zero (ctx, struct mq_worker);

  if (worker == NULL)
    return NULL;
  worker->ev = ev;
  worker->client = client;
  worker->options = *options;
  worker->options.url = mq_must (talloc_strdup (worker, options->url));
  worker->options.model = mq_must (
      talloc_strdup (worker, options->model == NULL ? "" : options->model));
  if (options->cache_poll_ms == 0)
    worker->options.cache_poll_ms = MQ_WORKER_CACHE_POLL_MS;
  worker->callbacks = *callbacks;
  if (is_model (worker))
    poll_in (worker, 0);
  return worker;
}

void
mq_worker_destroy (struct mq_worker *worker)
{
  talloc_free (worker);
}

const struct mq_worker_counters *
mq_worker_read_counters (const struct mq_worker *worker)
{
  return &worker->counters;
}
