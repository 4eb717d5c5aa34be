/* worker_call.c - calls of programs at a worker.

   A call is one POST.  When a model call is stopped or times out, a cancel
   request is sent to the engine first; its response contains the number of
   tokens generated.
   Needs: worker_state.h, worker_answer.h, timer.h.  */

#include "core/limits.h"
#include "core/memory.h"
#include "net/timer.h"
#include "worker_answer.h"
#include "worker_state.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STATUS_REFUSED = 429
};

static bool
has_text (const char *text)
{
  return text != NULL && *text != '\0';
}

/* Results.  */

static int
call_freed (struct mq_worker_call *call)
{
  struct mq_worker_call **at = &call->worker->calls;

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

/* Frees the call before the callback, which may start another one.  */
static void
report_done (struct mq_worker_call *call)
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
on_report_done (struct tevent_context *ev, struct tevent_immediate *im,
                void *data)
{
  (void)ev;
  (void)im;
  report_done (data);
}

static void
report_done_later (struct mq_worker_call *call)
{
  if (call->later != NULL)
    return;
  call->later = mq_check_alloc (tevent_create_immediate (call));
  tevent_schedule_immediate (call->later, call->worker->ev, on_report_done,
                             call);
}

static void
set_end (struct mq_worker_call *call, enum mq_error_type error,
         enum mq_ran ran)
{
  call->end.error = error;
  call->end.ran = ran;
}

static void
set_usage (struct mq_worker_call *call)
{
  struct mq_worker_usage usage = mq_worker_stream_usage (call->stream);

  call->end.tokens_in = usage.tokens_in;
  call->end.tokens_out = usage.tokens_out;
  call->end.cached_tokens = usage.cached_tokens;
}

/* Cancelling model calls.  */

static void
send_cancel (struct mq_worker_call *call)
{
  struct mq_worker_control *control
      = mq_control_create (call->worker, MQ_CONTROL_CANCEL);

  call->cancels++;
  control->u.call = call;
  call->cancel = control;
  mq_control_send (control, "/v1/cancel",
                   json_pack ("{s:s}", "request_id", call->request_id),
                   MQ_WORKER_CONTROL_MS);
}

/* Sets the result and sends a cancel request.  An engine may not notice that
   the connection was lost and would go on generating; the cancel frees its
   slot and memory, and the response has the number of tokens generated.  */
static void
end_after_cancel (struct mq_worker_call *call, enum mq_error_type error)
{
  set_end (call, error, MQ_RAN_RAN);
  if (call->cancelling)
    return;
  call->cancelling = true;
  send_cancel (call);
}

static void
report_cancelled (struct mq_worker_call *call)
{
  uint32_t counted = mq_worker_stream_usage (call->stream).tokens_out;

  if (call->end.tokens_out < counted)
    call->end.tokens_out = counted;
  report_done (call);
}

static void
on_cancel_retry (void *data)
{
  send_cancel (data);
}

/* Retries a cancel that failed with 404 while the response is incomplete:
   either the cancel arrived before the call, or the end of the response is
   still in transit.  */
static void
retry_cancel_later (struct mq_worker_call *call)
{
  mq_check_alloc (mq_timer_add (call, call->worker->ev,
                                MQ_WORKER_CANCEL_RETRY_MS, on_cancel_retry,
                                call));
}

static void
on_timeout (void *data)
{
  struct mq_worker_call *call = data;

  if (!call->cancelling && call->later == NULL)
    end_after_cancel (call, MQ_ERR_TIMEOUT);
}

/* Uses a timer instead of curl's timeout.  Curl would close the connection,
   and the engine would then discard the call and its token count before the
   cancel request arrives.  */
static void
start_timeout (struct mq_worker_call *call, uint32_t timeout_ms)
{
  if (timeout_ms > 0)
    mq_check_alloc (
        mq_timer_add (call, call->worker->ev, timeout_ms, on_timeout, call));
}

void
mq_call_on_cancel_response (struct mq_worker_control *control,
                            const struct mq_http_result *result)
{
  struct mq_worker_call *call = control->u.call;

  talloc_free (control);
  if (call == NULL)
    return;
  if (result->error == MQ_ERR_NONE && result->status == 404
      && call->http != NULL && call->cancels < MQ_WORKER_CANCELS_MAX)
    {
      retry_cancel_later (call);
      return;
    }
  if (mq_worker_response_ok (result))
    call->end.tokens_out
        = mq_worker_read_cancelled (result->body, result->len);
  report_cancelled (call);
}

/* Model calls.  */

static void
on_text (const char *text, void *user)
{
  struct mq_worker_call *call = user;
  struct mq_worker *worker = call->worker;
  struct mq_gate_token token = { call->end.slot, text };

  if (!call->cancelling)
    worker->callbacks.token (&token, worker->callbacks.user);
}

static void
on_part (const char *data, size_t len, void *user)
{
  struct mq_worker_call *call = user;

  mq_worker_stream_feed (call->stream, data, len, on_text, call);
}

/* Sends a cancel request for a call that has its result already.  */
static void
cancel_without_waiting (struct mq_worker_call *call)
{
  send_cancel (call);
  call->cancel->u.call = NULL;
  call->cancel = NULL;
}

static void
end_complete_stream (struct mq_worker_call *call)
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
  report_done (call);
}

static void
end_model_status (struct mq_worker_call *call,
                  const struct mq_http_result *result)
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
  report_done (call);
}

/* Ends a call that was not sent.  */
static void
end_unsent (struct mq_worker_call *call, const struct mq_http_result *result)
{
  enum mq_error_type error = result->error;

  mq_worker_poll_now (call->worker);
  if (error != MQ_ERR_TIMEOUT && error != MQ_ERR_NO_MEMORY
      && error != MQ_ERR_BAD_REQUEST)
    error = MQ_ERR_TARGET_FAILED;
  set_end (call, error, MQ_RAN_NOT_RUN);
  report_done (call);
}

static void
end_aborted_stream (struct mq_worker_call *call,
                    const struct mq_http_result *result)
{
  set_usage (call);
  set_end (call,
           result->error == MQ_ERR_TOO_LARGE ? MQ_ERR_BAD_ANSWER
                                             : MQ_ERR_TARGET_FAILED,
           MQ_RAN_RAN);
  cancel_without_waiting (call);
  mq_worker_poll_now (call->worker);
  report_done (call);
}

static void
model_done (const struct mq_http_result *result, void *user)
{
  struct mq_worker_call *call = user;
  bool complete
      = mq_worker_response_ok (result)
        && mq_worker_stream_state (call->stream) == MQ_WORKER_STREAM_WHOLE;

  call->http = NULL;
  if (call->cancelling && !complete)
    return; /* ends on the response to the cancel */
  if (result->error == MQ_ERR_NONE && result->status == 200)
    end_complete_stream (call);
  else if (result->error == MQ_ERR_NONE)
    end_model_status (call, result);
  else if (!result->sent)
    end_unsent (call, result);
  else
    end_aborted_stream (call, result);
}

/* Adds the engine's parameters to the body of the call.  Returns a new
   reference, or NULL if the body is not a JSON object.  */
static json_t *
model_body (const struct mq_worker_call *call, const struct mq_start *start)
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

static void
end_with_body (struct mq_worker_call *call,
               const struct mq_http_result *result)
{
  char *answer = mq_worker_read_service (call, result->body, result->len);

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
end_service_status (struct mq_worker_call *call,
                    const struct mq_http_result *result)
{
  int status = result->status;

  if (status == STATUS_REFUSED)
    {
      set_end (call, MQ_ERR_OVERLOADED, MQ_RAN_NOT_RUN);
      call->end.retry_after_ms = result->retry_after_ms;
    }
  else if ((status >= 200 && status < 300) || (status >= 400 && status < 500))
    end_with_body (call, result);
  else
    set_end (call, MQ_ERR_TARGET_FAILED, MQ_RAN_UNKNOWN);
}

/* A response over the size limit is BAD_ANSWER; its status still shows whether
   the service ran the call.  */
static void
end_service_aborted (struct mq_worker_call *call,
                     const struct mq_http_result *result)
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
  struct mq_worker_call *call = user;

  call->http = NULL;
  if (result->error != MQ_ERR_NONE && !result->sent)
    {
      end_unsent (call, result);
      return;
    }
  if (result->error == MQ_ERR_NONE)
    end_service_status (call, result);
  else
    end_service_aborted (call, result);
  report_done (call);
}

/* Starting and stopping calls.  */

static struct mq_worker_call *
add_call (struct mq_worker *worker, const struct mq_start *start)
{
  struct mq_worker_call *call
      = mq_check_alloc (talloc_zero (worker, struct mq_worker_call));
  char *id;
  char program[MQ_ID_TEXT];

  mq_id_format (start->ref.program, program);
  id = mq_check_alloc (talloc_asprintf (call, "%s-%" PRIu32 "-%" PRIu32,
                                        program, start->ref.call,
                                        start->ref.attempt));
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
post_call (struct mq_worker_call *call, const struct mq_start *start,
           const char *path, const char *body)
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
  if (!mq_worker_is_model (worker) && has_text (start->idempotency_key))
    headers[count] = talloc_asprintf (call, "Idempotency-Key: %s",
                                      start->idempotency_key);
  send.part = mq_worker_is_model (worker) ? on_part : NULL;
  send.done = mq_worker_is_model (worker) ? model_done : service_done;
  send.timeout_ms = mq_worker_is_model (worker) ? 0 : start->timeout_ms;
  send.body_max = mq_worker_is_model (worker) ? MQ_WORKER_STREAM_MAX_BYTES : 0;
  call->http = mq_http_client_send (worker->client, &send);
  if (call->http != NULL)
    return;
  set_end (call, MQ_ERR_NO_MEMORY, MQ_RAN_NOT_RUN);
  report_done_later (call);
}

static void
start_model (struct mq_worker_call *call, const struct mq_start *start)
{
  json_t *json = model_body (call, start);
  char *text;

  if (json == NULL)
    {
      set_end (call, MQ_ERR_BAD_REQUEST, MQ_RAN_NOT_RUN);
      report_done_later (call);
      return;
    }
  call->stream = mq_worker_stream_create (call);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  start_timeout (call, start->timeout_ms);
  post_call (call, start, "/v1/chat/completions", text);
  free (text);
}

void
mq_worker_start (struct mq_worker *worker, const struct mq_start *start)
{
  struct mq_worker_call *call = add_call (worker, start);

  if (mq_worker_is_model (worker))
    start_model (call, start);
  else
    post_call (call, start, start->route,
               start->body == NULL ? "" : start->body);
}

void
mq_worker_stop (struct mq_worker *worker, uint32_t slot)
{
  struct mq_worker_call *call = worker->calls;

  while (call != NULL && call->end.slot != slot)
    call = call->next;
  if (call == NULL || call->later != NULL)
    return;
  if (mq_worker_is_model (worker))
    {
      end_after_cancel (call, MQ_ERR_CANCELLED);
      return;
    }
  if (call->http != NULL)
    mq_http_call_cancel (call->http);
  call->http = NULL;
  set_end (call, MQ_ERR_CANCELLED, MQ_RAN_UNKNOWN);
  report_done_later (call);
}
