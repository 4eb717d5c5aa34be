/* service_server.c - HTTP servers of the workers of a stand-in service.

   A call waits in its worker's queue, runs for the configured delay, is
   recorded, and is answered if its client is still connected.
   Needs: service_server.h, faults.h, http_answer.h.  */

#include "service_server.h"
#include "faults.h"
#include "http_answer.h"
#include <string.h>

#define LOAD_PATH "/v1/load"
#define FAULT_PATH "/standin/fault"
#define EFFECTS_PATH "/standin/effects"

enum
{
  MS_PER_S = 1000,
  US_PER_MS = 1000
};

struct call;

struct worker
{
  struct mq_service_server *server;
  struct mq_http_server *http;
  const char *name;
  uint32_t running;
  uint32_t queued;
  struct call *first; /* head of the queue */
  struct call *last;
};

struct mq_service_server
{
  struct tevent_context *ev;
  struct mq_effects *effects;
  struct mq_faults *faults;
  struct worker *workers;
  size_t worker_count;
  uint32_t delay_ms;
  uint32_t concurrency;
  uint64_t boot;
};

struct call
{
  struct worker *worker;
  struct mq_http_request *request; /* valid until closed */
  struct mq_effect effect;
  struct call *next;
  bool hanging;
  bool finished;
  bool closed;
};

static bool
matches_fault (struct call *call, enum mq_fault_kind kind,
               struct mq_fault *fault)
{
  struct mq_fault_subject subject
      = { &call->effect.path, 1, call->worker->name, false };

  return mq_faults_take (call->worker->server->faults, kind, &subject, fault);
}

static void
answer_fault (struct call *call, const struct mq_fault *fault)
{
  char text[16];

  call->finished = true;
  if (fault->kind == MQ_FAULT_STATUS)
    {
      mq_answer_json (call->request, (int)fault->status, json_object ());
      return;
    }
  snprintf (text, sizeof text, "%u", fault->retry_after_s);
  mq_http_set_header (call->request, "Retry-After", text);
  mq_answer_failure (call->request, MQ_ERR_OVERLOADED);
}

/* Responding to or aborting the request may free the call, so it must not be
   accessed afterwards.  */
static void
finish_call (struct call *call)
{
  struct mq_fault fault;
  json_t *answer;

  if (!call->closed && matches_fault (call, MQ_FAULT_STATUS, &fault))
    {
      answer_fault (call, &fault);
      return;
    }
  answer = mq_effects_apply (call->worker->server->effects, &call->effect);
  call->finished = true;
  if (call->closed)
    {
      json_decref (answer);
      talloc_free (call);
    }
  else if (matches_fault (call, MQ_FAULT_LOST_ANSWER, NULL))
    {
      json_decref (answer);
      mq_http_abort (call->request);
    }
  else
    mq_answer_json (call->request, 200, answer);
}

static void start_next (struct worker *worker);

static void
on_due (struct tevent_context *ev, struct tevent_timer *timer,
        struct timeval now, void *data)
{
  struct call *call = data;
  struct worker *worker = call->worker;

  (void)ev;
  (void)timer;
  (void)now;
  worker->running--;
  finish_call (call);
  start_next (worker);
}

static void
start (struct call *call)
{
  struct worker *worker = call->worker;
  uint32_t delay_ms = worker->server->delay_ms;
  struct mq_fault fault;
  struct timeval due;

  worker->running++;
  if (!call->closed && matches_fault (call, MQ_FAULT_HANG, NULL))
    {
      call->hanging = true;
      return;
    }
  if (matches_fault (call, MQ_FAULT_SLOW, &fault))
    delay_ms += fault.ms;
  due = tevent_timeval_current_ofs (delay_ms / MS_PER_S,
                                    delay_ms % MS_PER_S * US_PER_MS);
  if (tevent_add_timer (worker->server->ev, call, due, on_due, call) == NULL)
    abort ();
}

static void
start_next (struct worker *worker)
{
  uint32_t most = worker->server->concurrency;

  while (worker->first != NULL && (most == 0 || worker->running < most))
    {
      struct call *call = worker->first;

      worker->first = call->next;
      worker->queued--;
      start (call);
    }
}

static void
enqueue (struct call *call)
{
  struct worker *worker = call->worker;

  if (worker->first == NULL)
    worker->first = call;
  else
    worker->last->next = call;
  worker->last = call;
  worker->queued++;
  start_next (worker);
}

/* A hanging call occupies its slot until its client disconnects.  */
static void
on_closed (struct mq_http_request *request, void *data)
{
  struct call *call = data;
  struct worker *worker = call->worker;

  (void)request;
  call->closed = true;
  call->request = NULL;
  if (call->hanging)
    {
      worker->running--;
      talloc_free (call);
      start_next (worker);
    }
  else if (call->finished)
    talloc_free (call);
}

static struct call *
create_call (struct worker *worker, struct mq_http_request *request)
{
  struct call *call = talloc_zero (worker->server, struct call);
  const char *key = mq_http_header (request, "Idempotency-Key");
  size_t len;

  if (call == NULL)
    abort ();
  call->worker = worker;
  call->request = request;
  call->effect.worker = worker->name;
  call->effect.path = talloc_strdup (call, mq_http_path (request));
  call->effect.key = talloc_strdup (call, key == NULL ? "" : key);
  call->effect.body = talloc_strdup (call, mq_http_body (request, &len));
  return call;
}

static void
handle_call (struct worker *worker, struct mq_http_request *request)
{
  struct call *call = create_call (worker, request);
  struct mq_fault fault;

  mq_http_on_closed (request, on_closed, call);
  if (matches_fault (call, MQ_FAULT_UNREACHABLE, NULL))
    {
      call->finished = true;
      mq_http_abort (request);
    }
  else if (matches_fault (call, MQ_FAULT_REFUSE, &fault))
    answer_fault (call, &fault);
  else
    enqueue (call);
}

static bool
poll_matches_fault (struct worker *worker, enum mq_fault_kind kind)
{
  static const char *const path = LOAD_PATH;
  struct mq_fault_subject subject = { &path, 1, worker->name, true };

  return mq_faults_take (worker->server->faults, kind, &subject, NULL);
}

static void
handle_load (struct worker *worker, struct mq_http_request *request)
{
  if (poll_matches_fault (worker, MQ_FAULT_UNREACHABLE))
    mq_http_abort (request);
  else if (!poll_matches_fault (worker, MQ_FAULT_HANG))
    mq_answer_json (request, 200,
                    json_pack ("{s:I,s:I,s:I,s:i,s:i}", "boot",
                               (json_int_t)worker->server->boot, "running",
                               (json_int_t)worker->running, "queued",
                               (json_int_t)worker->queued, "cache_used", 0,
                               "cache_total", 0));
}

static void
handle_fault (struct worker *worker, struct mq_http_request *request)
{
  struct mq_error error;
  size_t len;
  const char *body = mq_http_body (request, &len);

  if (mq_faults_post (worker->server->faults, body, len, &error))
    mq_answer_empty (request);
  else
    mq_answer_failure (request, error.type);
}

static void
handle_effects (struct worker *worker, struct mq_http_request *request)
{
  const char *path = mq_http_query (request, "path");
  bool each = mq_http_query (request, "summary") == NULL;

  mq_answer_json (request, 200,
                  mq_effects_list (worker->server->effects, path, each));
}

static void
on_request (struct mq_http_request *request, void *data)
{
  struct worker *worker = data;

  if (mq_is_request (request, "POST", FAULT_PATH))
    handle_fault (worker, request);
  else if (mq_is_request (request, "GET", EFFECTS_PATH))
    handle_effects (worker, request);
  else if (mq_is_request (request, "GET", LOAD_PATH))
    handle_load (worker, request);
  else if (strcmp (mq_http_method (request), "POST") == 0)
    handle_call (worker, request);
  else
    mq_answer_failure (request, MQ_ERR_NOT_FOUND);
}

static struct mq_service_server *
create_parts (TALLOC_CTX *ctx, struct tevent_context *ev,
              const struct mq_service_options *options)
{
  struct mq_service_server *server
      = talloc_zero (ctx, struct mq_service_server);

  if (server == NULL)
    abort ();
  server->ev = ev;
  server->delay_ms = options->delay_ms;
  server->concurrency = options->concurrency;
  server->boot = options->boot;
  server->effects = mq_effects_create (server, options->honour_keys);
  server->faults = mq_faults_create (
      server, MQ_FAULT_BIT (MQ_FAULT_HANG) | MQ_FAULT_BIT (MQ_FAULT_SLOW)
                  | MQ_FAULT_BIT (MQ_FAULT_STATUS)
                  | MQ_FAULT_BIT (MQ_FAULT_LOST_ANSWER)
                  | MQ_FAULT_BIT (MQ_FAULT_UNREACHABLE)
                  | MQ_FAULT_BIT (MQ_FAULT_REFUSE));
  server->workers
      = talloc_zero_array (server, struct worker, options->listen_count);
  return server;
}

static bool
add_worker (struct mq_service_server *server,
            const struct mq_service_options *options, size_t index,
            struct mq_error *error)
{
  struct mq_http_server_options http = { .address = options->listen[index] };
  struct worker *worker = &server->workers[index];

  worker->server = server;
  worker->name = talloc_asprintf (server, "%s/%zu", options->name, index);
  worker->http = mq_http_server_create (server, server->ev, &http, on_request,
                                        worker, error);
  if (worker->http == NULL)
    return false;
  server->worker_count++;
  return true;
}

struct mq_service_server *
mq_service_server_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                          const struct mq_service_options *options,
                          struct mq_error *error)
{
  struct mq_service_server *server = create_parts (ctx, ev, options);

  for (size_t i = 0; i < options->listen_count; i++)
    if (!add_worker (server, options, i, error))
      {
        mq_service_server_destroy (server);
        return NULL;
      }
  return server;
}

/* Destroys the HTTP servers first: closing their requests accesses the
   calls.  */
void
mq_service_server_destroy (struct mq_service_server *server)
{
  if (server == NULL)
    return;
  for (size_t i = 0; i < server->worker_count; i++)
    mq_http_server_destroy (server->workers[i].http);
  talloc_free (server);
}

uint16_t
mq_service_server_port (const struct mq_service_server *server, size_t worker)
{
  return mq_http_server_port (server->workers[worker].http);
}

struct mq_effects *
mq_service_server_effects (struct mq_service_server *server)
{
  return server->effects;
}

bool
mq_service_server_fault (struct mq_service_server *server, const char *order)
{
  struct mq_error error;

  return mq_faults_post (server->faults, order, strlen (order), &error);
}
