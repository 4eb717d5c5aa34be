/* api_plan.c - a caller's HTTP request as requests for the front.

   Needs: api_plan.h, api_read.h, limits.h, id.h, jansson.  */

#include "api_plan.h"
#include "core/id.h"
#include "core/limits.h"
#include "core/memory.h"
#include "api_read.h"
#include <string.h>

enum
{
  MS_PER_SECOND = 1000
};

static bool
is_set (const char *query)
{
  return query != NULL && strcmp (query, "0") != 0;
}

/* Services.  */

static const struct mq_service *
find_service (struct mq_api_parser *maker, const char *name)
{
  const struct mq_service *service = mq_text_find_service (maker->text, name);

  if (service == NULL)
    mq_error_set (maker->error, MQ_ERR_NOT_FOUND, name,
                  "a service of the operators' text");
  return service;
}

/* How long a caller waits for SERVICE: what its program may take at most,
   and some more for queues and commits.  */
static uint32_t
service_wait_ms (const struct mq_service *service)
{
  uint64_t ms;

  if (service->kind == MQ_SERVICE_AGENT)
    ms = (uint64_t)service->budget.seconds * MS_PER_SECOND;
  else
    ms = 2ULL * service->timeout_ms;
  ms += MQ_API_WAIT_SLACK_MS;
  return ms > MQ_API_WAIT_MAX_MS ? MQ_API_WAIT_MAX_MS : (uint32_t)ms;
}

/* Body of one call of SERVICE: a model takes "messages" or "input", a plain
   service or tool "arguments".  */
static bool
make_call_body (struct mq_api_parser *maker, const struct mq_service *service,
                struct mq_request_msg *request)
{
  bool model = service->kind == MQ_SERVICE_MODEL;
  json_t *messages = json_object_get (maker->json, "messages");
  json_t *input = json_object_get (maker->json, "input");
  json_t *arguments = json_object_get (maker->json, "arguments");
  json_t *body;

  if (model && (messages == NULL) == (input == NULL))
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, "messages",
                        "either messages or input for a model");
  if (messages != NULL && !json_is_array (messages))
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, "messages", "an array");
  if (input != NULL && !json_is_string (input))
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, "input", "a text");
  if (arguments != NULL && !json_is_object (arguments))
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, "arguments", "an object");
  if (model && arguments != NULL)
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, "arguments",
                        "messages or input for a model");
  if (!model && (messages != NULL || input != NULL))
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, "input",
                        "arguments for a plain service or tool");
  body = json_object ();
  if (messages != NULL)
    json_object_set (body, "messages", messages);
  else if (input != NULL)
    json_object_set (body, "input", input);
  else if (arguments != NULL)
    json_object_set (body, "arguments", arguments);
  else
    json_object_set_new (body, "arguments", json_object ());
  request->body = mq_api_dump (maker, body);
  json_decref (body);
  return true;
}

/* A plain service is called by one of its routes; nothing else has any.  */
static bool
check_route (struct mq_api_parser *maker, const struct mq_service *service,
             const char *route)
{
  if (service->kind != MQ_SERVICE_PLAIN && route[0] != '\0')
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, "route",
                        "routes are for plain services");
  if (service->kind == MQ_SERVICE_PLAIN
      && mq_text_find_route (service, route) == NULL)
    return mq_api_fail (maker, MQ_ERR_NOT_FOUND, route,
                        "a route of the plain service");
  return true;
}

/* Requests.  */

static void
begin_request (struct mq_api_parser *maker, struct mq_request_msg *request,
               enum mq_request_type type)
{
  memset (request, 0, sizeof *request);
  request->type = type;
  request->organisation = maker->ask->organisation;
  request->service = "";
  request->route = "";
  request->key = "";
  request->traceparent = maker->ask->traceparent;
  request->body = "{}";
}

static const char *
key_of (const struct mq_api_http_input *ask)
{
  return ask->key != NULL ? ask->key : ask->generated_key;
}

static void
name_new_program (struct mq_api_parser *maker, struct mq_request_msg *request)
{
  request->key = key_of (maker->ask);
  request->program = mq_id_open (maker->ask->organisation, request->key);
}

static bool
wants_events (const struct mq_api_http_input *ask)
{
  return ask->accept != NULL
         && strstr (ask->accept, "text/event-stream") != NULL;
}

/* The shape of an answer that may be streamed.  */
static bool
read_stream (struct mq_api_parser *maker)
{
  bool stream = wants_events (maker->ask);

  if (!mq_api_read_flag (maker, "stream", &stream))
    return false;
  maker->plan->shape = stream ? MQ_API_STREAM : MQ_API_JSON;
  maker->plan->first.stream = stream;
  return true;
}

/* The shape of a new program's answer, which may also be left.  */
static bool
read_shape (struct mq_api_parser *maker)
{
  bool wait = true;

  if (!read_stream (maker) || !mq_api_read_flag (maker, "wait", &wait))
    return false;
  if (wait)
    return true;
  maker->plan->shape = MQ_API_ACCEPT;
  maker->plan->first.stream = false;
  return true;
}

static bool
make_open_body (struct mq_api_parser *maker, struct mq_request_msg *request)
{
  const char *input = "";
  bool keep_open = false;
  json_t *body;

  if (json_object_get (maker->json, "input") == NULL)
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, "input", "a text");
  if (!mq_api_read_text (maker, "input", &input)
      || !mq_api_read_flag (maker, "keep_open", &keep_open))
    return false;
  body = json_object ();
  json_object_set (body, "input", json_object_get (maker->json, "input"));
  json_object_set_new (body, "keep_open", json_boolean (keep_open));
  request->body = mq_api_dump (maker, body);
  json_decref (body);
  return true;
}

static bool
read_continues (struct mq_api_parser *maker, struct mq_request_msg *request)
{
  const char *continues = "";

  if (!mq_api_read_text (maker, "continues", &continues))
    return false;
  if (continues[0] == '\0')
    return true;
  if (!mq_api_read_id (maker, continues, &request->continues))
    return false;
  /* In the partition of the program that it continues: its owner has the
     history that carries over.  */
  request->program.hi = request->continues.hi;
  return true;
}

/* POST /v1/programs with "driver":"caller".  The agent gives the budget, the
   prompt and what may be called.  */
static bool
plan_create (struct mq_api_parser *maker, const struct mq_service *service)
{
  static const char *const members[]
      = { "service", "driver", "continues", NULL };
  struct mq_request_msg *request = &maker->plan->first;

  if (service->kind != MQ_SERVICE_AGENT)
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, request->service,
                        "an agent");
  if (!mq_api_check_members (maker, members)
      || !read_continues (maker, request))
    return false;
  request->type = MQ_REQUEST_CREATE;
  maker->plan->shape = MQ_API_CREATE;
  maker->plan->wait_ms = service_wait_ms (service);
  return true;
}

/* POST /v1/programs for an agent: the system drives the program.  */
static bool
plan_agent (struct mq_api_parser *maker, const struct mq_service *service)
{
  static const char *const members[]
      = { "service", "input",  "keep_open", "continues",
          "driver",  "stream", "wait",      NULL };
  struct mq_request_msg *request = &maker->plan->first;

  maker->plan->wait_ms = service_wait_ms (service);
  return mq_api_check_members (maker, members)
         && make_open_body (maker, request) && read_continues (maker, request)
         && read_shape (maker);
}

/* POST /v1/programs for a model, plain service or tool: a program of one
   call.  Its history is its own, so a model takes "input" only.  */
static bool
plan_single (struct mq_api_parser *maker, const struct mq_service *service)
{
  static const char *const members[]
      = { "service", "route",  "input", "arguments", "max_tokens",
          "driver",  "stream", "wait",  NULL };
  struct mq_request_msg *request = &maker->plan->first;

  maker->plan->wait_ms = service_wait_ms (service);
  return mq_api_check_members (maker, members)
         && mq_api_read_name (maker, "route", &request->route)
         && check_route (maker, service, request->route)
         && mq_api_read_number (maker, "max_tokens", &request->max_tokens)
         && make_call_body (maker, service, request) && read_shape (maker);
}

static bool
plan_programs (struct mq_api_parser *maker)
{
  struct mq_request_msg *request = &maker->plan->first;
  const struct mq_service *service;
  const char *driver = "system";

  begin_request (maker, request, MQ_REQUEST_OPEN);
  name_new_program (maker, request);
  if (!mq_api_read_body (maker)
      || !mq_api_read_name (maker, "service", &request->service)
      || !mq_api_read_text (maker, "driver", &driver))
    return false;
  service = find_service (maker, request->service);
  if (service == NULL)
    return false;
  if (strcmp (driver, "caller") == 0)
    return plan_create (maker, service);
  if (strcmp (driver, "system") != 0)
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, "driver",
                        "system or caller");
  if (service->kind == MQ_SERVICE_AGENT)
    return plan_agent (maker, service);
  return plan_single (maker, service);
}

/* The service, route, cap and body of a step, from the JSON body.  */
static bool
fill_step (struct mq_api_parser *maker, struct mq_request_msg *request)
{
  const struct mq_service *service = find_service (maker, request->service);

  if (service == NULL)
    return false;
  if (service->kind == MQ_SERVICE_AGENT)
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, request->service,
                        "a model, plain service or tool");
  maker->plan->wait_ms = service_wait_ms (service);
  return check_route (maker, service, request->route)
         && mq_api_read_number (maker, "max_tokens", &request->max_tokens)
         && make_call_body (maker, service, request);
}

/* POST /v1/programs/ID/calls  */
static bool
plan_call (struct mq_api_parser *maker)
{
  static const char *const members[]
      = { "service",   "route",      "sequence", "input", "messages",
          "arguments", "max_tokens", "stream",   NULL };
  struct mq_request_msg *request = &maker->plan->first;

  request->type = MQ_REQUEST_STEP;
  if (!mq_api_read_body (maker) || !mq_api_check_members (maker, members)
      || !mq_api_read_name (maker, "service", &request->service)
      || !mq_api_read_name (maker, "route", &request->route)
      || !mq_api_read_number (maker, "sequence", &request->sequence))
    return false;
  /* The sequence number makes the call idempotent; a key that differs with
     each repeat of the request would stand against it.  */
  if (maker->ask->key != NULL || request->sequence == 0)
    request->key = key_of (maker->ask);
  return fill_step (maker, request) && read_stream (maker);
}

/* POST /v1/programs/ID/turns  */
static bool
plan_turn (struct mq_api_parser *maker)
{
  static const char *const members[] = { "input", "stream", NULL };
  struct mq_request_msg *request = &maker->plan->first;
  json_t *input;
  json_t *body;

  request->type = MQ_REQUEST_TURN;
  request->key = key_of (maker->ask);
  if (!mq_api_read_body (maker) || !mq_api_check_members (maker, members))
    return false;
  input = json_object_get (maker->json, "input");
  if (!json_is_string (input))
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, "input", "a text");
  body = json_object ();
  json_object_set (body, "input", input);
  request->body = mq_api_dump (maker, body);
  json_decref (body);
  return read_stream (maker);
}

/* GET /v1/programs/ID  */
static bool
plan_get (struct mq_api_parser *maker)
{
  struct mq_request_msg *request = &maker->plan->first;
  bool stream = wants_events (maker->ask);

  request->type = MQ_REQUEST_GET;
  maker->plan->shape = stream ? MQ_API_STREAM : MQ_API_JSON;
  /* Who waits for the final answer hears the events too, and keeps only the
     last of them.  */
  request->stream = stream || is_set (maker->ask->wait);
  return mq_api_read_decimal (maker, "after", maker->ask->after,
                              &request->after);
}

static bool
plan_history (struct mq_api_parser *maker)
{
  maker->plan->first.type = MQ_REQUEST_GET;
  maker->plan->first.route = "history";
  return true;
}

static bool
plan_delete (struct mq_api_parser *maker)
{
  maker->plan->first.type
      = is_set (maker->ask->cancel) ? MQ_REQUEST_CANCEL : MQ_REQUEST_CLOSE;
  return true;
}

/* /v1/programs/ID…  */
static bool
plan_program (struct mq_api_parser *maker, const struct mq_api_path *path)
{
  const char *method = maker->ask->method;
  struct mq_request_msg *request = &maker->plan->first;
  bool post = strcmp (method, "POST") == 0;
  bool get = strcmp (method, "GET") == 0;

  begin_request (maker, request, MQ_REQUEST_GET);
  if (!mq_api_read_id (maker, path->parts[2], &request->program))
    return false;
  if (path->count == 3 && get)
    return plan_get (maker);
  if (path->count == 3 && strcmp (method, "DELETE") == 0)
    return plan_delete (maker);
  if (path->count == 4 && mq_api_segment_is (path, 3, "calls") && post)
    return plan_call (maker);
  if (path->count == 4 && mq_api_segment_is (path, 3, "turns") && post)
    return plan_turn (maker);
  if (path->count == 4 && mq_api_segment_is (path, 3, "history") && get)
    return plan_history (maker);
  return mq_api_fail (maker, MQ_ERR_NOT_FOUND, maker->ask->path,
                      "see docs/API.md");
}

/* The step of POST /v1/chat/completions.  */
static bool
fill_chat_step (struct mq_api_parser *maker, struct mq_request_msg *request)
{
  if (json_object_get (maker->json, "messages") == NULL)
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, "messages", "an array");
  if (!mq_api_read_name (maker, "model", &request->service)
      || !mq_api_read_number (maker, "max_completion_tokens",
                              &request->max_tokens)
      || !mq_api_read_flag (maker, "stream", &request->stream))
    return false;
  maker->plan->shape = request->stream ? MQ_API_CHAT_STREAM : MQ_API_CHAT;
  return fill_step (maker, request);
}

/* The agent whose budget a chat without a program draws on: the one that the
   caller names, else the first of the text that may call the model.  */
static const struct mq_service *
find_chat_agent (struct mq_api_parser *maker, const char *model)
{
  const struct mq_text *text = maker->text;
  const struct mq_service *called = mq_text_find_service (text, model);

  if (maker->ask->service != NULL)
    return find_service (maker, maker->ask->service);
  for (size_t i = 0; i < text->service_count; i++)
    if (text->services[i].kind == MQ_SERVICE_AGENT
        && mq_text_depends (text, &text->services[i], called))
      return &text->services[i];
  mq_api_fail (maker, MQ_ERR_NOT_FOUND, model,
               "a model that an agent may call");
  return NULL;
}

/* Without a program one is created first.  */
static bool
plan_new_chat (struct mq_api_parser *maker)
{
  struct mq_api_plan *plan = maker->plan;
  const struct mq_service *agent;

  begin_request (maker, &plan->first, MQ_REQUEST_CREATE);
  name_new_program (maker, &plan->first);
  begin_request (maker, &plan->second, MQ_REQUEST_STEP);
  plan->second.program = plan->first.program;
  plan->second.sequence = 1;
  plan->has_second = true;
  if (!fill_chat_step (maker, &plan->second))
    return false;
  agent = find_chat_agent (maker, plan->second.service);
  if (agent == NULL)
    return false;
  plan->first.service = agent->name;
  return true;
}

/* POST /v1/chat/completions: a step of the program that the header names.
   "model" names the service.  Members that OpenAI's clients send besides are
   left out.  */
static bool
plan_chat (struct mq_api_parser *maker)
{
  struct mq_api_plan *plan = maker->plan;

  if (!mq_api_read_body (maker))
    return false;
  if (maker->ask->program == NULL)
    return plan_new_chat (maker);
  begin_request (maker, &plan->first, MQ_REQUEST_STEP);
  plan->first.key = key_of (maker->ask);
  return mq_api_read_id (maker, maker->ask->program, &plan->first.program)
         && fill_chat_step (maker, &plan->first);
}

/* POST /v1/services/NAME[/ROUTE]: the body is the call's own.  */
static bool
plan_service (struct mq_api_parser *maker, const struct mq_api_path *path)
{
  struct mq_request_msg *request = &maker->plan->first;
  const struct mq_service *service;

  begin_request (maker, request, MQ_REQUEST_OPEN);
  name_new_program (maker, request);
  request->service = path->parts[2];
  request->route = path->count == 4 ? path->parts[3] : "";
  service = find_service (maker, request->service);
  if (service == NULL)
    return false;
  if (service->kind == MQ_SERVICE_AGENT || service->kind == MQ_SERVICE_MODEL)
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, request->service,
                        "a plain service or tool");
  if (!check_route (maker, service, request->route)
      || !mq_api_read_body (maker))
    return false;
  maker->plan->wait_ms = service_wait_ms (service);
  request->body = talloc_asprintf (maker->ctx, "{\"arguments\":%s}",
                                   mq_api_dump (maker, maker->json));
  return true;
}

static bool
plan_path (struct mq_api_parser *maker, const struct mq_api_path *path)
{
  bool post = strcmp (maker->ask->method, "POST") == 0;

  if (path->count < 2 || !mq_api_segment_is (path, 0, "v1"))
    return mq_api_fail (maker, MQ_ERR_NOT_FOUND, maker->ask->path,
                        "see docs/API.md");
  if (path->count == 2 && mq_api_segment_is (path, 1, "programs") && post)
    return plan_programs (maker);
  if (path->count >= 3 && mq_api_segment_is (path, 1, "programs"))
    return plan_program (maker, path);
  if (path->count == 3 && mq_api_segment_is (path, 1, "chat")
      && mq_api_segment_is (path, 2, "completions") && post)
    return plan_chat (maker);
  if ((path->count == 3 || path->count == 4)
      && mq_api_segment_is (path, 1, "services") && post)
    return plan_service (maker, path);
  return mq_api_fail (maker, MQ_ERR_NOT_FOUND, maker->ask->path,
                      "see docs/API.md");
}

/* The caller may wait for less than the service may take.  */
static bool
read_timeout (struct mq_api_parser *maker)
{
  uint32_t timeout_ms = maker->plan->wait_ms;

  if (!mq_api_read_decimal (maker, "timeout_ms", maker->ask->timeout_ms,
                            &timeout_ms))
    return false;
  if (timeout_ms == 0)
    return mq_api_fail (maker, MQ_ERR_BAD_REQUEST, "timeout_ms",
                        "a number from 1");
  if (timeout_ms < maker->plan->wait_ms)
    maker->plan->wait_ms = timeout_ms;
  return true;
}

struct mq_api_plan *
mq_api_plan_create (TALLOC_CTX *ctx, const struct mq_text *text,
                    const struct mq_api_http_input *ask,
                    struct mq_error *error)
{
  struct mq_api_parser maker = { .text = text, .ask = ask, .error = error };
  struct mq_api_path path;
  bool made;

  maker.plan = talloc_zero (ctx, struct mq_api_plan);
  if (maker.plan == NULL)
    abort ();
  maker.ctx = maker.plan;
  maker.plan->wait_ms = MQ_API_WAIT_MAX_MS;
  if (ask->key != NULL && !mq_api_key_valid (ask->key))
    made = mq_api_fail (&maker, MQ_ERR_BAD_REQUEST, "Idempotency-Key",
                        "1 to 255 printable characters");
  else
    made = mq_api_split_path (&maker, &path) && plan_path (&maker, &path)
           && read_timeout (&maker);
  json_decref (maker.json);
  if (made)
    return maker.plan;
  talloc_free (maker.plan);
  return NULL;
}
