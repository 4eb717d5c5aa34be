/* api_plan.c - translates a caller's HTTP request into requests to the front.

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
find_service (struct mq_api_parser *parser, const char *name)
{
  const struct mq_service *service = mq_text_find_service (parser->text, name);

  if (service == NULL)
    mq_error_set (parser->error, MQ_ERR_NOT_FOUND, name,
                  "a service of the operators' text");
  return service;
}

/* Default timeout of a caller: the service's maximum run time and a margin
   for queueing and commits.  */
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

/* Builds the body of one call of SERVICE from "messages" or "input" for a
   model, and from "arguments" for a plain service or tool.  */
static bool
make_call_body (struct mq_api_parser *parser, const struct mq_service *service,
                struct mq_request_msg *request)
{
  bool model = service->kind == MQ_SERVICE_MODEL;
  json_t *messages = json_object_get (parser->json, "messages");
  json_t *input = json_object_get (parser->json, "input");
  json_t *arguments = json_object_get (parser->json, "arguments");
  json_t *body;

  if (model && (messages == NULL) == (input == NULL))
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, "messages",
                        "either messages or input for a model");
  if (messages != NULL && !json_is_array (messages))
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, "messages", "an array");
  if (input != NULL && !json_is_string (input))
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, "input", "a text");
  if (arguments != NULL && !json_is_object (arguments))
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, "arguments", "an object");
  if (model && arguments != NULL)
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, "arguments",
                        "messages or input for a model");
  if (!model && (messages != NULL || input != NULL))
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, "input",
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
  request->body = mq_api_dump (parser, body);
  json_decref (body);
  return true;
}

/* A plain service requires one of its routes; other services have none.  */
static bool
check_route (struct mq_api_parser *parser, const struct mq_service *service,
             const char *route)
{
  if (service->kind != MQ_SERVICE_PLAIN && route[0] != '\0')
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, "route",
                        "routes are for plain services");
  if (service->kind == MQ_SERVICE_PLAIN
      && mq_text_find_route (service, route) == NULL)
    return mq_api_fail (parser, MQ_ERR_NOT_FOUND, route,
                        "a route of the plain service");
  return true;
}

/* Requests.  */

static void
begin_request (struct mq_api_parser *parser, struct mq_request_msg *request,
               enum mq_request_type type)
{
  memset (request, 0, sizeof *request);
  request->type = type;
  request->organisation = parser->http_input->organisation;
  request->service = "";
  request->route = "";
  request->key = "";
  request->traceparent = parser->http_input->traceparent;
  request->body = "{}";
}

static const char *
key_of (const struct mq_api_http_input *http_input)
{
  return http_input->key != NULL ? http_input->key : http_input->generated_key;
}

static void
name_new_program (struct mq_api_parser *parser, struct mq_request_msg *request)
{
  request->key = key_of (parser->http_input);
  request->program
      = mq_id_open (parser->http_input->organisation, request->key);
}

static bool
wants_events (const struct mq_api_http_input *http_input)
{
  return http_input->accept != NULL
         && strstr (http_input->accept, "text/event-stream") != NULL;
}

/* Reads whether the response is to be streamed.  */
static bool
read_stream (struct mq_api_parser *parser)
{
  bool stream = wants_events (parser->http_input);

  if (!mq_api_read_flag (parser, "stream", &stream))
    return false;
  parser->plan->format = stream ? MQ_API_STREAM : MQ_API_JSON;
  parser->plan->first.stream = stream;
  return true;
}

/* Reads the response format of a new program, which may also be accepted
   without waiting for its result.  */
static bool
read_response_format (struct mq_api_parser *parser)
{
  bool wait = true;

  if (!read_stream (parser) || !mq_api_read_flag (parser, "wait", &wait))
    return false;
  if (wait)
    return true;
  parser->plan->format = MQ_API_ACCEPT;
  parser->plan->first.stream = false;
  return true;
}

static bool
make_open_body (struct mq_api_parser *parser, struct mq_request_msg *request)
{
  const char *input = "";
  bool keep_open = false;
  json_t *body;

  if (json_object_get (parser->json, "input") == NULL)
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, "input", "a text");
  if (!mq_api_read_text (parser, "input", &input)
      || !mq_api_read_flag (parser, "keep_open", &keep_open))
    return false;
  body = json_object ();
  json_object_set (body, "input", json_object_get (parser->json, "input"));
  json_object_set_new (body, "keep_open", json_boolean (keep_open));
  request->body = mq_api_dump (parser, body);
  json_decref (body);
  return true;
}

static bool
read_continued_program (struct mq_api_parser *parser,
                        struct mq_request_msg *request)
{
  const char *continues = "";

  if (!mq_api_read_text (parser, "continues", &continues))
    return false;
  if (continues[0] == '\0')
    return true;
  if (!mq_api_read_id (parser, continues, &request->continues))
    return false;
  /* The owner of the continued program's partition has its history, so the
     new program is created in the same partition.  */
  request->program.hi = request->continues.hi;
  return true;
}

/* POST /v1/programs with "driver":"caller".  The agent defines the budget,
   the prompt and the services that may be called.  */
static bool
plan_create (struct mq_api_parser *parser, const struct mq_service *service)
{
  static const char *const members[]
      = { "service", "driver", "continues", NULL };
  struct mq_request_msg *request = &parser->plan->first;

  if (service->kind != MQ_SERVICE_AGENT)
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, request->service,
                        "an agent");
  if (!mq_api_check_members (parser, members)
      || !read_continued_program (parser, request))
    return false;
  request->type = MQ_REQUEST_CREATE;
  parser->plan->format = MQ_API_CREATE;
  parser->plan->wait_ms = service_wait_ms (service);
  return true;
}

/* POST /v1/programs for an agent: the server drives the program.  */
static bool
plan_agent (struct mq_api_parser *parser, const struct mq_service *service)
{
  static const char *const members[]
      = { "service", "input",  "keep_open", "continues",
          "driver",  "stream", "wait",      NULL };
  struct mq_request_msg *request = &parser->plan->first;

  parser->plan->wait_ms = service_wait_ms (service);
  return mq_api_check_members (parser, members)
         && make_open_body (parser, request)
         && read_continued_program (parser, request)
         && read_response_format (parser);
}

/* POST /v1/programs for a model, plain service or tool: a program of one
   call.  The program stores its own history, so a model takes "input"
   only.  */
static bool
plan_single (struct mq_api_parser *parser, const struct mq_service *service)
{
  static const char *const members[]
      = { "service", "route",  "input", "arguments", "max_tokens",
          "driver",  "stream", "wait",  NULL };
  struct mq_request_msg *request = &parser->plan->first;

  parser->plan->wait_ms = service_wait_ms (service);
  return mq_api_check_members (parser, members)
         && mq_api_read_name (parser, "route", &request->route)
         && check_route (parser, service, request->route)
         && mq_api_read_number (parser, "max_tokens", &request->max_tokens)
         && make_call_body (parser, service, request)
         && read_response_format (parser);
}

static bool
plan_programs (struct mq_api_parser *parser)
{
  struct mq_request_msg *request = &parser->plan->first;
  const struct mq_service *service;
  const char *driver = "system";

  begin_request (parser, request, MQ_REQUEST_OPEN);
  name_new_program (parser, request);
  if (!mq_api_read_body (parser)
      || !mq_api_read_name (parser, "service", &request->service)
      || !mq_api_read_text (parser, "driver", &driver))
    return false;
  service = find_service (parser, request->service);
  if (service == NULL)
    return false;
  if (strcmp (driver, "caller") == 0)
    return plan_create (parser, service);
  if (strcmp (driver, "system") != 0)
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, "driver",
                        "system or caller");
  if (service->kind == MQ_SERVICE_AGENT)
    return plan_agent (parser, service);
  return plan_single (parser, service);
}

/* Reads service, route, cap and body of a step from the JSON body.  */
static bool
fill_step (struct mq_api_parser *parser, struct mq_request_msg *request)
{
  const struct mq_service *service = find_service (parser, request->service);

  if (service == NULL)
    return false;
  if (service->kind == MQ_SERVICE_AGENT)
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, request->service,
                        "a model, plain service or tool");
  parser->plan->wait_ms = service_wait_ms (service);
  return check_route (parser, service, request->route)
         && mq_api_read_number (parser, "max_tokens", &request->max_tokens)
         && make_call_body (parser, service, request);
}

/* POST /v1/programs/ID/calls  */
static bool
plan_call (struct mq_api_parser *parser)
{
  static const char *const members[]
      = { "service",   "route",      "sequence", "input", "messages",
          "arguments", "max_tokens", "stream",   NULL };
  struct mq_request_msg *request = &parser->plan->first;

  request->type = MQ_REQUEST_STEP;
  if (!mq_api_read_body (parser) || !mq_api_check_members (parser, members)
      || !mq_api_read_name (parser, "service", &request->service)
      || !mq_api_read_name (parser, "route", &request->route)
      || !mq_api_read_number (parser, "sequence", &request->sequence))
    return false;
  /* The sequence number makes the call idempotent.  A generated key would
     differ on each retry and conflict with it.  */
  if (parser->http_input->key != NULL || request->sequence == 0)
    request->key = key_of (parser->http_input);
  return fill_step (parser, request) && read_stream (parser);
}

/* POST /v1/programs/ID/turns  */
static bool
plan_turn (struct mq_api_parser *parser)
{
  static const char *const members[] = { "input", "stream", NULL };
  struct mq_request_msg *request = &parser->plan->first;
  json_t *input;
  json_t *body;

  request->type = MQ_REQUEST_TURN;
  request->key = key_of (parser->http_input);
  if (!mq_api_read_body (parser) || !mq_api_check_members (parser, members))
    return false;
  input = json_object_get (parser->json, "input");
  if (!json_is_string (input))
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, "input", "a text");
  body = json_object ();
  json_object_set (body, "input", input);
  request->body = mq_api_dump (parser, body);
  json_decref (body);
  return read_stream (parser);
}

/* GET /v1/programs/ID  */
static bool
plan_get (struct mq_api_parser *parser)
{
  struct mq_request_msg *request = &parser->plan->first;
  bool stream = wants_events (parser->http_input);

  request->type = MQ_REQUEST_GET;
  parser->plan->format = stream ? MQ_API_STREAM : MQ_API_JSON;
  /* Waiting for the final result subscribes to all events; only the last one
     is used.  */
  request->stream = stream || is_set (parser->http_input->wait);
  return mq_api_read_decimal (parser, "after", parser->http_input->after,
                              &request->after);
}

static bool
plan_history (struct mq_api_parser *parser)
{
  parser->plan->first.type = MQ_REQUEST_GET;
  parser->plan->first.route = "history";
  return true;
}

static bool
plan_delete (struct mq_api_parser *parser)
{
  parser->plan->first.type = is_set (parser->http_input->cancel)
                                 ? MQ_REQUEST_CANCEL
                                 : MQ_REQUEST_CLOSE;
  return true;
}

/* /v1/programs/ID…  */
static bool
plan_program (struct mq_api_parser *parser, const struct mq_api_path *path)
{
  const char *method = parser->http_input->method;
  struct mq_request_msg *request = &parser->plan->first;
  bool post = strcmp (method, "POST") == 0;
  bool get = strcmp (method, "GET") == 0;

  begin_request (parser, request, MQ_REQUEST_GET);
  if (!mq_api_read_id (parser, path->parts[2], &request->program))
    return false;
  if (path->count == 3 && get)
    return plan_get (parser);
  if (path->count == 3 && strcmp (method, "DELETE") == 0)
    return plan_delete (parser);
  if (path->count == 4 && mq_api_segment_is (path, 3, "calls") && post)
    return plan_call (parser);
  if (path->count == 4 && mq_api_segment_is (path, 3, "turns") && post)
    return plan_turn (parser);
  if (path->count == 4 && mq_api_segment_is (path, 3, "history") && get)
    return plan_history (parser);
  return mq_api_fail (parser, MQ_ERR_NOT_FOUND, parser->http_input->path,
                      "see docs/API.md");
}

/* Fills in the step of POST /v1/chat/completions.  */
static bool
fill_chat_step (struct mq_api_parser *parser, struct mq_request_msg *request)
{
  if (json_object_get (parser->json, "messages") == NULL)
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, "messages", "an array");
  if (!mq_api_read_name (parser, "model", &request->service)
      || !mq_api_read_number (parser, "max_completion_tokens",
                              &request->max_tokens)
      || !mq_api_read_flag (parser, "stream", &request->stream))
    return false;
  parser->plan->format = request->stream ? MQ_API_CHAT_STREAM : MQ_API_CHAT;
  return fill_step (parser, request);
}

/* Returns the agent whose budget a chat without a program is charged to: the
   one that the caller names, or else the first in the configuration that may
   call the model.  */
static const struct mq_service *
find_chat_agent (struct mq_api_parser *parser, const char *model)
{
  const struct mq_text *text = parser->text;
  const struct mq_service *called = mq_text_find_service (text, model);

  if (parser->http_input->service != NULL)
    return find_service (parser, parser->http_input->service);
  for (size_t i = 0; i < text->service_count; i++)
    if (text->services[i].kind == MQ_SERVICE_AGENT
        && mq_text_depends (text, &text->services[i], called))
      return &text->services[i];
  mq_api_fail (parser, MQ_ERR_NOT_FOUND, model,
               "a model that an agent may call");
  return NULL;
}

/* Creates a program, then sends the chat as its first step.  */
static bool
plan_new_chat (struct mq_api_parser *parser)
{
  struct mq_api_plan *plan = parser->plan;
  const struct mq_service *agent;

  begin_request (parser, &plan->first, MQ_REQUEST_CREATE);
  name_new_program (parser, &plan->first);
  begin_request (parser, &plan->second, MQ_REQUEST_STEP);
  plan->second.program = plan->first.program;
  plan->second.sequence = 1;
  plan->has_second = true;
  if (!fill_chat_step (parser, &plan->second))
    return false;
  agent = find_chat_agent (parser, plan->second.service);
  if (agent == NULL)
    return false;
  plan->first.service = agent->name;
  return true;
}

/* POST /v1/chat/completions: a step of the program named by the header.
   "model" names the service.  Other members that OpenAI clients send are
   ignored.  */
static bool
plan_chat (struct mq_api_parser *parser)
{
  struct mq_api_plan *plan = parser->plan;

  if (!mq_api_read_body (parser))
    return false;
  if (parser->http_input->program == NULL)
    return plan_new_chat (parser);
  begin_request (parser, &plan->first, MQ_REQUEST_STEP);
  plan->first.key = key_of (parser->http_input);
  return mq_api_read_id (parser, parser->http_input->program,
                         &plan->first.program)
         && fill_chat_step (parser, &plan->first);
}

/* POST /v1/services/NAME[/ROUTE]: the body is passed to the service.  */
static bool
plan_service (struct mq_api_parser *parser, const struct mq_api_path *path)
{
  struct mq_request_msg *request = &parser->plan->first;
  const struct mq_service *service;

  begin_request (parser, request, MQ_REQUEST_OPEN);
  name_new_program (parser, request);
  request->service = path->parts[2];
  request->route = path->count == 4 ? path->parts[3] : "";
  service = find_service (parser, request->service);
  if (service == NULL)
    return false;
  if (service->kind == MQ_SERVICE_AGENT || service->kind == MQ_SERVICE_MODEL)
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, request->service,
                        "a plain service or tool");
  if (!check_route (parser, service, request->route)
      || !mq_api_read_body (parser))
    return false;
  parser->plan->wait_ms = service_wait_ms (service);
  request->body = talloc_asprintf (parser->ctx, "{\"arguments\":%s}",
                                   mq_api_dump (parser, parser->json));
  return true;
}

static bool
plan_path (struct mq_api_parser *parser, const struct mq_api_path *path)
{
  bool post = strcmp (parser->http_input->method, "POST") == 0;

  if (path->count < 2 || !mq_api_segment_is (path, 0, "v1"))
    return mq_api_fail (parser, MQ_ERR_NOT_FOUND, parser->http_input->path,
                        "see docs/API.md");
  if (path->count == 2 && mq_api_segment_is (path, 1, "programs") && post)
    return plan_programs (parser);
  if (path->count >= 3 && mq_api_segment_is (path, 1, "programs"))
    return plan_program (parser, path);
  if (path->count == 3 && mq_api_segment_is (path, 1, "chat")
      && mq_api_segment_is (path, 2, "completions") && post)
    return plan_chat (parser);
  if ((path->count == 3 || path->count == 4)
      && mq_api_segment_is (path, 1, "services") && post)
    return plan_service (parser, path);
  return mq_api_fail (parser, MQ_ERR_NOT_FOUND, parser->http_input->path,
                      "see docs/API.md");
}

/* Applies the caller's timeout_ms, which may shorten the default timeout.  */
static bool
read_timeout (struct mq_api_parser *parser)
{
  uint32_t timeout_ms = parser->plan->wait_ms;

  if (!mq_api_read_decimal (parser, "timeout_ms",
                            parser->http_input->timeout_ms, &timeout_ms))
    return false;
  if (timeout_ms == 0)
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, "timeout_ms",
                        "a number from 1");
  if (timeout_ms < parser->plan->wait_ms)
    parser->plan->wait_ms = timeout_ms;
  return true;
}

struct mq_api_plan *
mq_api_plan_create (TALLOC_CTX *ctx, const struct mq_text *text,
                    const struct mq_api_http_input *http_input,
                    struct mq_error *error)
{
  struct mq_api_parser parser
      = { .text = text, .http_input = http_input, .error = error };
  struct mq_api_path path;
  bool made;

  parser.plan = talloc_zero (ctx, struct mq_api_plan);
  if (parser.plan == NULL)
    abort ();
  parser.ctx = parser.plan;
  parser.plan->wait_ms = MQ_API_WAIT_MAX_MS;
  if (http_input->key != NULL && !mq_api_key_valid (http_input->key))
    made = mq_api_fail (&parser, MQ_ERR_BAD_REQUEST, "Idempotency-Key",
                        "1 to 255 printable characters");
  else
    made = mq_api_split_path (&parser, &path) && plan_path (&parser, &path)
           && read_timeout (&parser);
  json_decref (parser.json);
  if (made)
    return parser.plan;
  talloc_free (parser.plan);
  return NULL;
}
