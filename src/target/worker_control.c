/* worker_control.c - requests to a worker other than calls of programs.

   Needs: worker_state.h.  */

#include "worker_state.h"
#include "core/limits.h"
#include "core/memory.h"
#include <stdlib.h>
#include <string.h>

/* Requests.  */

static int
control_freed (struct mq_worker_control *control)
{
  struct mq_worker_control **at = &control->worker->controls;

  while (*at != NULL && *at != control)
    at = &(*at)->next;
  if (*at == control)
    *at = control->next;
  if (control->http != NULL)
    mq_http_call_cancel (control->http);
  if (control->type == MQ_CONTROL_CANCEL && control->u.call != NULL)
    control->u.call->cancel = NULL;
  return 0;
}

struct mq_worker_control *
mq_control_create (struct mq_worker *worker, enum mq_control_type type)
{
  struct mq_worker_control *control
      = mq_check_alloc (talloc_zero (worker, struct mq_worker_control));

  control->worker = worker;
  control->type = type;
  control->next = worker->controls;
  worker->controls = control;
  talloc_set_destructor (control, control_freed);
  return control;
}

static void control_done (const struct mq_http_result *result, void *user);

static void
on_complete_later (struct tevent_context *ev, struct tevent_immediate *im,
                   void *data)
{
  struct mq_worker_control *control = data;
  struct mq_http_result result = { .body = "", .status = 200 };

  (void)ev;
  (void)im;
  if (control->failed)
    result.error = MQ_ERR_NO_MEMORY;
  control_done (&result, control);
}

void
mq_control_complete_later (struct mq_worker_control *control, bool failed)
{
  control->failed = failed;
  control->later = mq_check_alloc (tevent_create_immediate (control));
  tevent_schedule_immediate (control->later, control->worker->ev,
                             on_complete_later, control);
}

void
mq_control_send (struct mq_worker_control *control, const char *path,
                 json_t *body, uint32_t timeout_ms)
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
    mq_control_complete_later (control, true);
  free (text);
  talloc_free (url);
  json_decref (body);
}

bool
mq_worker_response_ok (const struct mq_http_result *result)
{
  return result->error == MQ_ERR_NONE && result->status == 200;
}

/* Results.  */

static void
report_evicted (struct mq_worker_control *control,
                const struct mq_http_result *result)
{
  struct mq_worker *worker = control->worker;
  struct mq_gate_evicted evicted;

  evicted.worker = worker->options.index;
  evicted.program = control->u.program;
  evicted.confirmed = mq_worker_response_ok (result);
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
  if (!mq_worker_is_model (worker))
    return MQ_ERR_BAD_REQUEST;
  if (mq_worker_response_ok (result))
    return MQ_ERR_NONE;
  if (result->error == MQ_ERR_NONE && result->status == 409)
    return MQ_ERR_STALE_FENCE;
  if (result->error == MQ_ERR_TIMEOUT)
    return MQ_ERR_TIMEOUT;
  return MQ_ERR_TARGET_FAILED;
}

static void
report_ordered (struct mq_worker_control *control,
                const struct mq_http_result *result)
{
  struct mq_worker *worker = control->worker;
  struct mq_order_done_msg ordered;

  ordered.order = control->u.order;
  ordered.error = order_error (worker, result);
  talloc_free (control);
  worker->callbacks.ordered (&ordered, worker->callbacks.user);
}

static void
control_done (const struct mq_http_result *result, void *user)
{
  struct mq_worker_control *control = user;

  control->http = NULL;
  switch (control->type)
    {
    case MQ_CONTROL_EVICT:
      report_evicted (control, result);
      break;
    case MQ_CONTROL_ORDER:
      report_ordered (control, result);
      break;
    case MQ_CONTROL_CANCEL:
      mq_call_on_cancel_response (control, result);
      break;
    case MQ_CONTROL_POLL:
      mq_worker_on_cache_response (control, result);
      break;
    }
}

/* Evictions and orders.  */

void
mq_worker_evict (struct mq_worker *worker, struct mq_id program)
{
  struct mq_worker_control *control
      = mq_control_create (worker, MQ_CONTROL_EVICT);
  char text[MQ_ID_TEXT];

  control->u.program = program;
  mq_id_format (program, text);
  if (mq_worker_is_model (worker))
    mq_control_send (control, "/v1/cache/evict",
                     json_pack ("{s:s}", "program", text),
                     MQ_WORKER_CONTROL_MS);
  else
    mq_control_complete_later (control, false);
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
  struct mq_worker_control *control
      = mq_control_create (worker, MQ_CONTROL_ORDER);

  control->u.order = order->order;
  if (!mq_worker_is_model (worker))
    {
      mq_control_complete_later (control, false);
      return;
    }
  mq_control_send (control, "/v1/orders",
                   json_pack ("{s:I, s:s, s:s}", "fence",
                              (json_int_t)order->fence, "order",
                              order_name (order->type), "argument",
                              order->argument == NULL ? "" : order->argument),
                   MQ_WORKER_ORDER_MS);
}
