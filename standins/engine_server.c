/* engine_server.c - one stand-in engine behind HTTP.

   Virtual time is the monotonic clock's since the engine's start; a timer
   wakes the model when it has something to do, and its events become the
   parts of the answers.
   Needs: engine_server.h, engine_plan.h, tevent.  */

#include "engine_server.h"
#include "engine_faults.h"
#include "core/limits.h"
#include "engine_plan.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  RECORDS_MAX = 20000,
  EVENTS_GIVEN_MAX = 256,
  /* A stream that is to crash leaves its last bytes this time to go out. */
  CRASH_DELAY_US = 20000,
  LABEL_TEXT = 41 /* hash, parent, depth, service */
};

#define HANDLE_BEGIN "kv1:"

/**
 * struct stream - a chat completion under way
 * @tag: names it in the model's events
 * @request: its HTTP side, NULL once that is answered or gone
 * @sequence: its side in the model, 0 once that has ended
 * @record: what /standin/stats says of it, borrowed
 * @sent: tokens sent to the caller
 * @generated: tokens that the model made
 * @crash_after: break the stream after so many tokens, 0: never
 * @crashing: it said its last and is about to break
 * @lost: run it and say nothing
 */
struct stream
{
  struct mq_engine_server *server;
  struct stream *next;
  uint64_t tag;
  struct mq_http_request *request;
  uint64_t sequence;
  char *request_id;
  json_t *record;
  struct mq_plan_answer answer;
  uint32_t prompt_tokens;
  uint32_t cached_tokens;
  uint32_t sent;
  uint32_t generated;
  uint32_t crash_after;
  bool crashing;
  bool lost;
};

/* An order or a transfer under way.  */
struct job
{
  struct mq_engine_server *server;
  struct job *next;
  uint64_t tag;
  struct mq_http_request *request;
  enum mq_order_type order;
  char *argument;
};

struct mq_engine_server
{
  struct tevent_context *ev;
  struct mq_http_server *http;
  struct mq_engine *engine;
  struct mq_engine_params params;
  struct tevent_timer *timer;
  struct timespec origin;
  uint64_t boot;
  uint64_t tags;
  struct stream *streams;
  struct job *jobs;
  struct mq_faults faults;
  json_t *records;                          /* by request id */
  char *orders_done[MQ_ORDER_SET_ROLE + 1]; /* argument in force */
};

static const char *const order_names[] = {
  [MQ_ORDER_LOAD_MODEL] = "load_model",
  [MQ_ORDER_LOAD_ADAPTER] = "load_adapter",
  [MQ_ORDER_SET_VERSION] = "set_version",
  [MQ_ORDER_SET_ROLE] = "set_role",
};

static void pump (struct mq_engine_server *server);

static uint64_t
now_us (const struct mq_engine_server *server)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)((now.tv_sec - server->origin.tv_sec) * 1000000
                    + (now.tv_nsec - server->origin.tv_nsec) / 1000);
}

/* Answers.  */

/* Answers with JSON, a reference that this takes over.  */
static void
respond (struct mq_http_request *request, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  mq_http_respond (request, status, "application/json", text, strlen (text));
  free (text);
  json_decref (json);
}

static void
respond_error (struct mq_http_request *request, enum mq_error_type type)
{
  respond (request, mq_error_http_status (type),
           json_pack ("{s:s}", "error", mq_error_name (type)));
}

static void
respond_refused (struct mq_http_request *request, const char *seconds)
{
  mq_http_set_header (request, "Retry-After", seconds);
  respond_error (request, MQ_ERR_OVERLOADED);
}

/* Records of requests for /standin/stats.  */

static json_t *
find_record (struct mq_engine_server *server, const char *request_id,
             const char *program)
{
  json_t *record = json_object_get (server->records, request_id);
  void *first = json_object_iter (server->records);

  if (record != NULL)
    return record;
  if (json_object_size (server->records) >= RECORDS_MAX)
    json_object_del (server->records, json_object_iter_key (first));
  record = json_pack ("{s:s, s:s, s:i, s:i, s:i, s:i, s:b}", "request_id",
                      request_id, "program", program, "seen", 0,
                      "prompt_tokens", 0, "cached_tokens", 0,
                      "completion_tokens", 0, "cancelled", 0);
  json_object_set_new (server->records, request_id, record);
  return record;
}

static void
write_record (struct stream *stream, bool cancelled)
{
  json_t *record = stream->record;

  json_object_set_new (record, "prompt_tokens",
                       json_integer (stream->prompt_tokens));
  json_object_set_new (record, "cached_tokens",
                       json_integer (stream->cached_tokens));
  json_object_set_new (record, "completion_tokens",
                       json_integer (stream->generated));
  json_object_set_new (record, "cancelled", json_boolean (cancelled));
}

/* Streams.  */

static int
stream_freed (struct stream *stream)
{
  struct stream **at = &stream->server->streams;

  while (*at != NULL && *at != stream)
    at = &(*at)->next;
  if (*at == stream)
    *at = stream->next;
  json_decref (stream->record);
  return 0;
}

static struct stream *
find_stream (struct mq_engine_server *server, uint64_t tag)
{
  struct stream *stream = server->streams;

  while (stream != NULL && stream->tag != tag)
    stream = stream->next;
  return stream;
}

static void
write_event (struct mq_http_request *request, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  char *event = talloc_asprintf (NULL, "data: %s\n\n", text);

  mq_http_stream_write (request, event, strlen (event));
  talloc_free (event);
  free (text);
  json_decref (json);
}

static void
send_tokens (struct stream *stream)
{
  size_t begin = (size_t)stream->sent * MQ_PLAN_TOKEN_BYTES;
  size_t end = (size_t)stream->generated * MQ_PLAN_TOKEN_BYTES;

  if (stream->request == NULL || stream->lost || stream->crashing
      || begin == end)
    return;
  write_event (stream->request,
               json_pack ("{s:[{s:{s:s%}, s:n}]}", "choices", "delta",
                          "content", stream->answer.text + begin, end - begin,
                          "finish_reason"));
  stream->sent = stream->generated;
}

static json_t *
pack_delta (const struct mq_plan_answer *answer)
{
  if (answer->finish != MQ_PLAN_CALL)
    return json_object ();
  return json_pack ("{s:[{s:s, s:{s:s, s:s}}]}", "tool_calls", "id",
                    answer->call_id, "function", "name", answer->call_name,
                    "arguments", answer->call_arguments);
}

static void
send_last (struct stream *stream)
{
  static const char done[] = "data: [DONE]\n\n";
  json_t *choice = json_pack ("{s:o, s:s}", "delta",
                              pack_delta (&stream->answer), "finish_reason",
                              mq_plan_finish_name (stream->answer.finish));
  json_t *usage = json_pack ("{s:i, s:i, s:i}", "prompt_tokens",
                             (int)stream->prompt_tokens, "completion_tokens",
                             (int)stream->generated, "cached_tokens",
                             (int)stream->cached_tokens);

  write_event (stream->request,
               json_pack ("{s:[o], s:o}", "choices", choice, "usage", usage));
  mq_http_stream_write (stream->request, done, strlen (done));
}

static void
abort_request (struct mq_http_request *request)
{
  mq_http_on_closed (request, NULL, NULL);
  mq_http_abort (request);
}

/* The model's side has ended whole.  */
static void
finish_stream (struct stream *stream)
{
  struct mq_http_request *request = stream->request;

  write_record (stream, false);
  if (request != NULL && stream->lost)
    abort_request (request);
  else if (request != NULL)
    {
      send_tokens (stream);
      send_last (stream);
      mq_http_on_closed (request, NULL, NULL);
      mq_http_stream_end (request);
    }
  talloc_free (stream);
}

/* Takes the sequence out of the model and closes the connection.  */
static uint32_t
cancel_stream (struct stream *stream)
{
  struct mq_engine_server *server = stream->server;
  uint32_t generated = stream->generated;

  if (mq_engine_cancel (server->engine, now_us (server), stream->sequence,
                        &generated))
    stream->generated = generated;
  write_record (stream, true);
  if (stream->request != NULL)
    abort_request (stream->request);
  talloc_free (stream);
  return generated;
}

static void
stream_closed (struct mq_http_request *request, void *data)
{
  struct stream *stream = data;
  struct mq_engine_server *server = stream->server;

  (void)request;
  stream->request = NULL;
  if (stream->lost)
    return; /* runs on unheard */
  cancel_stream (stream);
  pump (server);
}

static void
crash_now (struct tevent_context *ev, struct tevent_timer *timer,
           struct timeval now, void *data)
{
  struct stream *stream = data;
  struct mq_engine_server *server = stream->server;

  (void)ev;
  (void)timer;
  (void)now;
  cancel_stream (stream);
  pump (server);
}

/* Says the tokens up to the fault and then no more.  */
static void
crash_soon (struct stream *stream)
{
  struct timeval at = tevent_timeval_current_ofs (0, CRASH_DELAY_US);

  stream->generated = stream->crash_after;
  send_tokens (stream);
  stream->crashing = true;
  tevent_add_timer (stream->server->ev, stream, at, crash_now, stream);
}

static void
on_token (struct stream *stream, const struct mq_engine_event *event)
{
  stream->generated = event->generated;
  stream->cached_tokens = event->cached_tokens;
  if (!stream->crashing && stream->crash_after > 0
      && stream->generated >= stream->crash_after)
    crash_soon (stream);
}

/* Orders and transfers.  */

static int
job_freed (struct job *job)
{
  struct job **at = &job->server->jobs;

  while (*at != NULL && *at != job)
    at = &(*at)->next;
  if (*at == job)
    *at = job->next;
  return 0;
}

static void
job_closed (struct mq_http_request *request, void *data)
{
  struct job *job = data;

  (void)request;
  job->request = NULL;
}

static struct job *
add_job (struct mq_engine_server *server, struct mq_http_request *request)
{
  struct job *job = talloc_zero (server, struct job);

  job->server = server;
  job->tag = ++server->tags;
  job->request = request;
  job->next = server->jobs;
  server->jobs = job;
  talloc_set_destructor (job, job_freed);
  mq_http_on_closed (request, job_closed, job);
  return job;
}

static struct job *
find_job (struct mq_engine_server *server, uint64_t tag)
{
  struct job *job = server->jobs;

  while (job != NULL && job->tag != tag)
    job = job->next;
  return job;
}

static char *
format_handle (TALLOC_CTX *ctx, const struct mq_kv_label *labels, size_t count)
{
  size_t begin = strlen (HANDLE_BEGIN);
  char *text = talloc_array (ctx, char, begin + count * LABEL_TEXT + 1);

  strcpy (text, HANDLE_BEGIN);
  for (size_t i = 0; i < count; i++)
    snprintf (text + begin + i * LABEL_TEXT, LABEL_TEXT + 1,
              "%016" PRIx64 "%016" PRIx64 "%08" PRIx32 "%c", labels[i].hash,
              labels[i].parent, labels[i].depth,
              labels[i].service ? 's' : 'p');
  return text;
}

static bool
parse_label (const char *text, struct mq_kv_label *label)
{
  char service;

  if (sscanf (text, "%16" SCNx64 "%16" SCNx64 "%8" SCNx32 "%c", &label->hash,
              &label->parent, &label->depth, &service)
      != 4)
    return false;
  label->service = service == 's';
  return true;
}

/* NULL where TEXT is no handle.  */
static struct mq_kv_label *
parse_handle (TALLOC_CTX *ctx, const char *text, size_t *count)
{
  size_t begin = strlen (HANDLE_BEGIN);
  struct mq_kv_label *labels;

  if (text == NULL || strncmp (text, HANDLE_BEGIN, begin) != 0
      || strlen (text + begin) % LABEL_TEXT != 0)
    return NULL;
  *count = strlen (text + begin) / LABEL_TEXT;
  labels = talloc_zero_array (ctx, struct mq_kv_label, *count + 1);
  for (size_t i = 0; i < *count; i++)
    {
      char one[LABEL_TEXT + 1] = { 0 };

      memcpy (one, text + begin + i * LABEL_TEXT, LABEL_TEXT);
      if (!parse_label (one, &labels[i]))
        {
          talloc_free (labels);
          return NULL;
        }
    }
  return labels;
}

static json_t *
pack_job (struct job *job, const struct mq_engine_event *event)
{
  json_t *json;
  char *handle;

  if (event->type != MQ_ENGINE_EXPORTED)
    return json_pack ("{s:i}", "tokens", (int)event->transferred);
  handle = format_handle (job, event->labels, event->label_count);
  json = json_pack ("{s:s, s:i}", "handle", handle, "tokens",
                    (int)event->transferred);
  talloc_free (handle);
  return json;
}

static void
finish_job (struct job *job, const struct mq_engine_event *event)
{
  struct mq_engine_server *server = job->server;

  if (event->type == MQ_ENGINE_ORDERED)
    {
      talloc_free (server->orders_done[job->order]);
      server->orders_done[job->order] = talloc_strdup (server, job->argument);
    }
  if (job->request != NULL)
    {
      mq_http_on_closed (job->request, NULL, NULL);
      respond (job->request, 200, pack_job (job, event));
    }
  talloc_free (job);
}

/* The model inside the event loop.  */

static void
handle_event (struct mq_engine_server *server,
              const struct mq_engine_event *event)
{
  struct stream *stream = find_stream (server, event->tag);
  struct job *job = find_job (server, event->tag);

  switch (event->type)
    {
    case MQ_ENGINE_TOKEN:
      if (stream != NULL)
        on_token (stream, event);
      break;
    case MQ_ENGINE_DONE:
      if (stream != NULL && !stream->crashing)
        finish_stream (stream);
      break;
    case MQ_ENGINE_ORDERED:
    case MQ_ENGINE_EXPORTED:
    case MQ_ENGINE_IMPORTED:
      if (job != NULL)
        finish_job (job, event);
      break;
    case MQ_ENGINE_PREEMPTED:
      break;
    }
}

static void
timer_fired (struct tevent_context *ev, struct tevent_timer *timer,
             struct timeval now, void *data)
{
  struct mq_engine_server *server = data;

  (void)ev;
  (void)timer;
  (void)now;
  server->timer = NULL;
  pump (server);
}

static void
arm_timer (struct mq_engine_server *server)
{
  uint64_t next = mq_engine_next_us (server->engine);
  uint64_t now = now_us (server);
  uint64_t wait = next > now ? next - now : 0;
  struct timeval at;

  TALLOC_FREE (server->timer);
  if (next == MQ_ENGINE_NEVER)
    return;
  at = tevent_timeval_current_ofs ((uint32_t)(wait / 1000000),
                                   (uint32_t)(wait % 1000000));
  server->timer
      = tevent_add_timer (server->ev, server, at, timer_fired, server);
}

/* Brings the model up to now and says what happened.  The tokens of one
   instant go out as one group.  */
static void
pump (struct mq_engine_server *server)
{
  struct mq_engine_event event;

  mq_engine_advance (server->engine, now_us (server));
  while (mq_engine_next_event (server->engine, &event))
    handle_event (server, &event);
  for (struct stream *s = server->streams; s != NULL; s = s->next)
    send_tokens (s);
  arm_timer (server);
}

/* Paths.  */

/* Object of the body; answers 400 and gives NULL where it is none.  */
static json_t *
read_body (struct mq_http_request *request)
{
  size_t len;
  const char *body = mq_http_body (request, &len);
  json_t *json = json_loadb (body, len, 0, NULL);

  if (json_is_object (json))
    return json;
  json_decref (json);
  respond_error (request, MQ_ERR_BAD_JSON);
  return NULL;
}

static const char *
member_text (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return text == NULL ? "" : text;
}

static uint32_t
member_number (const json_t *json, const char *key, uint32_t otherwise)
{
  const json_t *member = json_object_get (json, key);
  json_int_t value = json_integer_value (member);

  return json_is_integer (member) && value >= 0 && value <= UINT32_MAX
             ? (uint32_t)value
             : otherwise;
}

static bool
read_program (const json_t *json, struct mq_id *program)
{
  program->hi = 0;
  program->lo = 0;
  return json_object_get (json, "program") == NULL
         || mq_id_parse (member_text (json, "program"), program);
}

static uint64_t
submit (struct stream *stream, const struct mq_plan_prompt *prompt,
        const json_t *body, struct mq_error *error)
{
  struct mq_engine_server *server = stream->server;
  struct mq_engine_request request = { 0 };
  char *text
      = talloc_asprintf (stream, "%s%s", prompt->text, stream->answer.text);
  uint64_t sequence;

  request.tag = stream->tag;
  read_program (body, &request.program);
  request.priority = (enum mq_priority)member_number (body, "priority",
                                                      MQ_PRIORITY_INTERACTIVE);
  request.prompt_tokens = prompt->tokens;
  request.shared_tokens = prompt->shared_tokens;
  request.output_tokens = stream->answer.tokens;
  request.hashes
      = mq_engine_hash_text (text, text, strlen (text), &request.hash_count);
  sequence
      = mq_engine_submit (server->engine, now_us (server), &request, error);
  talloc_free (text);
  return sequence;
}

static struct stream *
open_stream (struct mq_engine_server *server, const json_t *body)
{
  struct stream *stream = talloc_zero (server, struct stream);

  stream->server = server;
  stream->tag = ++server->tags;
  stream->request_id
      = talloc_strdup (stream, member_text (body, "request_id"));
  stream->record = json_incref (
      find_record (server, stream->request_id, member_text (body, "program")));
  stream->next = server->streams;
  server->streams = stream;
  talloc_set_destructor (stream, stream_freed);
  return stream;
}

static void
count_seen (const struct stream *stream)
{
  json_t *record = stream->record;

  json_object_set_new (
      record, "seen",
      json_integer (json_integer_value (json_object_get (record, "seen"))
                    + 1));
}

static void
set_stream_faults (struct stream *stream, const char *path)
{
  struct mq_faults *faults = &stream->server->faults;
  double value;

  if (mq_faults_strike (faults, MQ_FAULT_CRASH_STREAM, path, &value))
    stream->crash_after = value < 1 ? 1 : (uint32_t)value;
  stream->lost = mq_faults_strike (faults, MQ_FAULT_LOST_ANSWER, path, NULL);
}

static bool
serves_model (const struct mq_engine_server *server, const json_t *body)
{
  const char *model = member_text (body, "model");

  return *model == '\0'
         || strcmp (model, server->orders_done[MQ_ORDER_LOAD_MODEL]) == 0;
}

static enum mq_error_type
check_chat (const struct mq_engine_server *server, const json_t *body)
{
  struct mq_id program;

  if (!read_program (body, &program)
      || member_number (body, "priority", 0) >= MQ_PRIORITY_COUNT)
    return MQ_ERR_BAD_REQUEST;
  if (!serves_model (server, body))
    return MQ_ERR_NOT_FOUND;
  return MQ_ERR_NONE;
}

static void
start_chat (struct mq_engine_server *server, struct mq_http_request *request,
            const json_t *body)
{
  const json_t *messages = json_object_get (body, "messages");
  struct stream *stream;
  struct mq_plan_prompt prompt;
  struct mq_error error;

  error.type = check_chat (server, body);
  if (error.type != MQ_ERR_NONE)
    {
      respond_error (request, error.type);
      return;
    }
  stream = open_stream (server, body);
  if (mq_plan_read (stream, messages, &prompt, &error))
    {
      mq_plan_answer (stream, messages, &prompt,
                      member_number (body, "max_tokens", 0), &stream->answer);
      stream->prompt_tokens = prompt.tokens;
      stream->sequence = submit (stream, &prompt, body, &error);
      talloc_free (prompt.text);
    }
  if (stream->sequence == 0)
    {
      talloc_free (stream);
      if (error.type == MQ_ERR_OVERLOADED)
        respond_refused (request, "1");
      else
        respond_error (request, error.type);
      return;
    }
  count_seen (stream);
  set_stream_faults (stream, mq_http_path (request));
  stream->request = request;
  mq_http_on_closed (request, stream_closed, stream);
  if (!stream->lost)
    mq_http_stream_begin (request, 200, "text/event-stream");
  pump (server);
}

static void
post_chat (struct mq_engine_server *server, struct mq_http_request *request)
{
  json_t *body = read_body (request);

  if (body == NULL)
    return;
  start_chat (server, request, body);
  json_decref (body);
}

static void
post_cancel (struct mq_engine_server *server, struct mq_http_request *request)
{
  json_t *body = read_body (request);
  const char *request_id = member_text (body, "request_id");
  struct stream *stream = server->streams;

  if (body == NULL)
    return;
  while (stream != NULL && strcmp (stream->request_id, request_id) != 0)
    stream = stream->next;
  json_decref (body);
  if (stream == NULL)
    {
      respond_error (request, MQ_ERR_NOT_FOUND);
      return;
    }
  respond (
      request, 200,
      json_pack ("{s:i}", "completion_tokens", (int)cancel_stream (stream)));
  pump (server);
}

static void
post_evict (struct mq_engine_server *server, struct mq_http_request *request)
{
  json_t *body = read_body (request);
  struct mq_id program;
  bool valid = mq_id_parse (member_text (body, "program"), &program);

  if (body == NULL)
    return;
  json_decref (body);
  if (!valid)
    {
      respond_error (request, MQ_ERR_BAD_REQUEST);
      return;
    }
  respond (request, 200,
           json_pack ("{s:i}", "tokens",
                      (int)mq_engine_evict (server->engine, now_us (server),
                                            program)));
  pump (server);
}

static void
post_export (struct mq_engine_server *server, struct mq_http_request *request)
{
  json_t *body = read_body (request);
  struct mq_id program;
  bool valid = mq_id_parse (member_text (body, "program"), &program);

  if (body == NULL)
    return;
  json_decref (body);
  if (!valid)
    {
      respond_error (request, MQ_ERR_BAD_REQUEST);
      return;
    }
  mq_engine_export (server->engine, now_us (server),
                    add_job (server, request)->tag, program);
  pump (server);
}

static void
post_import (struct mq_engine_server *server, struct mq_http_request *request)
{
  json_t *body = read_body (request);
  struct mq_kv_label *labels = NULL;
  struct mq_id program;
  size_t count = 0;

  if (body == NULL)
    return;
  if (mq_id_parse (member_text (body, "program"), &program))
    labels = parse_handle (server, member_text (body, "handle"), &count);
  json_decref (body);
  if (labels == NULL)
    {
      respond_error (request, MQ_ERR_BAD_REQUEST);
      return;
    }
  mq_engine_import (server->engine, now_us (server),
                    add_job (server, request)->tag, program, labels, count);
  talloc_free (labels);
  pump (server);
}

static bool
find_order (const char *name, enum mq_order_type *order)
{
  for (size_t i = 0; i <= MQ_ORDER_SET_ROLE; i++)
    if (strcmp (order_names[i], name) == 0)
      {
        *order = (enum mq_order_type)i;
        return true;
      }
  return false;
}

static void
start_order (struct mq_engine_server *server, struct mq_http_request *request,
             const json_t *body)
{
  json_int_t fence = json_integer_value (json_object_get (body, "fence"));
  enum mq_order_type order;
  struct mq_error error;
  uint64_t tag = server->tags + 1;

  if (fence < 0 || !find_order (member_text (body, "order"), &order))
    {
      respond_error (request, MQ_ERR_BAD_REQUEST);
      return;
    }
  if (!mq_engine_order (server->engine, now_us (server), tag, (uint64_t)fence,
                        order, &error))
    {
      respond_error (request, error.type);
      return;
    }
  {
    struct job *job = add_job (server, request);

    job->order = order;
    job->argument = talloc_strdup (job, member_text (body, "argument"));
  }
  pump (server);
}

static void
post_order (struct mq_engine_server *server, struct mq_http_request *request)
{
  json_t *body = read_body (request);

  if (body == NULL)
    return;
  start_order (server, request, body);
  json_decref (body);
}

static json_t *
pack_held (struct mq_engine_server *server)
{
  json_t *list = json_array ();
  size_t count;
  struct mq_kv_held *held
      = mq_kv_held (server, mq_engine_kv (server->engine), &count);

  for (size_t i = 0; i < count; i++)
    {
      char id[MQ_ID_TEXT];

      mq_id_format (held[i].program, id);
      json_array_append_new (list, json_pack ("{s:s, s:i}", "program", id,
                                              "tokens", (int)held[i].tokens));
    }
  talloc_free (held);
  return list;
}

static void
get_cache (struct mq_engine_server *server, struct mq_http_request *request)
{
  struct mq_engine_load load;

  pump (server);
  load = mq_engine_load (server->engine);
  respond (request, 200,
           json_pack ("{s:I, s:i, s:i, s:o}", "boot", (json_int_t)server->boot,
                      "used", (int)load.cache_used, "total",
                      (int)load.cache_total, "programs", pack_held (server)));
}

static void
get_load (struct mq_engine_server *server, struct mq_http_request *request)
{
  struct mq_engine_load load;

  pump (server);
  load = mq_engine_reported_load (server->engine, now_us (server));
  respond (request, 200,
           json_pack ("{s:I, s:i, s:i, s:i, s:i}", "boot",
                      (json_int_t)server->boot, "running", (int)load.running,
                      "queued", (int)load.queued, "cache_used",
                      (int)load.cache_used, "cache_total",
                      (int)load.cache_total));
}

static json_t *
pack_cache_event (const struct mq_engine_cache_event *event)
{
  char id[MQ_ID_TEXT];

  mq_id_format (event->program, id);
  return json_pack ("{s:I, s:s, s:s, s:i}", "number",
                    (json_int_t)event->number, "type",
                    event->type == MQ_ENGINE_STORED ? "stored" : "evicted",
                    "program", id, "tokens", (int)event->tokens);
}

static void
get_events (struct mq_engine_server *server, struct mq_http_request *request)
{
  const char *after_text = mq_http_query (request, "after");
  uint64_t after = after_text == NULL ? 0 : strtoull (after_text, NULL, 10);
  struct mq_engine_cache_event events[EVENTS_GIVEN_MAX];
  json_t *list = json_array ();
  size_t count;

  pump (server);
  count = mq_engine_cache_events (server->engine, now_us (server), after,
                                  events, EVENTS_GIVEN_MAX);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, pack_cache_event (&events[i]));
  after = count == 0 ? after : events[count - 1].number;
  respond (
      request, 200,
      json_pack ("{s:o, s:I}", "events", list, "next", (json_int_t)after));
}

/* Faults and statistics.  */

static void
break_streams (struct mq_engine_server *server)
{
  while (server->streams != NULL)
    {
      struct stream *stream = server->streams;

      write_record (stream, true);
      if (stream->request != NULL)
        abort_request (stream->request);
      talloc_free (stream);
    }
  while (server->jobs != NULL)
    {
      struct job *job = server->jobs;

      if (job->request != NULL)
        abort_request (job->request);
      talloc_free (job);
    }
}

/* A process that died and came back: its connections break, its memory is
   empty, its number is another.  */
static void
restart (struct mq_engine_server *server)
{
  break_streams (server);
  mq_engine_destroy (server->engine);
  server->engine = mq_engine_create (server, &server->params);
  mq_engine_advance (server->engine, now_us (server));
  server->boot++;
}

static void
apply_faults (struct mq_engine_server *server)
{
  const struct mq_fault *faults = server->faults.faults;
  struct mq_engine_params *params = mq_engine_params (server->engine);

  *params = server->params;
  if (faults[MQ_FAULT_SLOW].on)
    params->time_scale *= faults[MQ_FAULT_SLOW].value;
  if (faults[MQ_FAULT_EVENTS_GAP].on)
    params->event_gap_permille = (uint32_t)faults[MQ_FAULT_EVENTS_GAP].value;
  if (faults[MQ_FAULT_LOAD_LAG].on)
    params->load_lag_us = (uint32_t)(faults[MQ_FAULT_LOAD_LAG].value * 1000);
}

bool
mq_engine_server_fault (struct mq_engine_server *server, const json_t *request)
{
  struct mq_error error;
  enum mq_fault_type type = mq_faults_set (&server->faults, request, &error);

  if (type == MQ_FAULT_COUNT)
    return false;
  if (mq_faults_strike (&server->faults, MQ_FAULT_RESTART, "", NULL))
    {
      server->faults.faults[MQ_FAULT_RESTART].on = false;
      restart (server);
    }
  apply_faults (server);
  pump (server);
  return true;
}

static void
post_fault (struct mq_engine_server *server, struct mq_http_request *request)
{
  json_t *body = read_body (request);
  bool known;

  if (body == NULL)
    return;
  known = mq_engine_server_fault (server, body);
  json_decref (body);
  if (known)
    respond (request, 200, json_object ());
  else
    respond_error (request, MQ_ERR_BAD_REQUEST);
}

static json_t *
pack_counters (struct mq_engine_server *server)
{
  const struct mq_engine_counters *engine
      = mq_engine_read_counters (server->engine, now_us (server));
  const struct mq_kv_counters *kv
      = mq_kv_read_counters (mq_engine_kv (server->engine));
  json_t *json = json_object ();

#define PACK_ENGINE(name, help)                                               \
  json_object_set_new (json, #name, json_integer ((json_int_t)engine->name));
  MQ_ENGINE_COUNTER_LIST (PACK_ENGINE)
#undef PACK_ENGINE
#define PACK_KV(name, help)                                                   \
  json_object_set_new (json, #name, json_integer ((json_int_t)kv->name));
  MQ_KV_COUNTER_LIST (PACK_KV)
#undef PACK_KV
  return json;
}

static json_t *
pack_requests (const struct mq_engine_server *server)
{
  json_t *list = json_array ();
  const char *key;
  json_t *record;

  json_object_foreach (server->records, key, record)
      json_array_append_new (list, json_deep_copy (record));
  return list;
}

json_t *
mq_engine_server_stats (struct mq_engine_server *server)
{
  json_t *orders = json_object ();
  struct mq_engine_load load;

  pump (server);
  load = mq_engine_load (server->engine);
  for (size_t i = 0; i <= MQ_ORDER_SET_ROLE; i++)
    json_object_set_new (orders, order_names[i],
                         json_string (server->orders_done[i]));
  return json_pack ("{s:I, s:i, s:i, s:o, s:o, s:o, s:o}", "boot",
                    (json_int_t)server->boot, "running", (int)load.running,
                    "queued", (int)load.queued, "orders", orders, "requests",
                    pack_requests (server), "cache", pack_held (server),
                    "counters", pack_counters (server));
}

static void
get_stats (struct mq_engine_server *server, struct mq_http_request *request)
{
  respond (request, 200, mq_engine_server_stats (server));
}

/* Requests.  */

struct path
{
  const char *method;
  const char *path;
  void (*handle) (struct mq_engine_server *server,
                  struct mq_http_request *request);
};

static const struct path paths[] = {
  { "POST", "/v1/chat/completions", post_chat },
  { "POST", "/v1/cancel", post_cancel },
  { "POST", "/v1/cache/evict", post_evict },
  { "POST", "/v1/cache/export", post_export },
  { "POST", "/v1/cache/import", post_import },
  { "POST", "/v1/orders", post_order },
  { "GET", "/v1/cache", get_cache },
  { "GET", "/v1/events", get_events },
  { "GET", "/v1/load", get_load },
  { "POST", "/standin/fault", post_fault },
  { "GET", "/standin/stats", get_stats },
};

static void
hung_closed (struct mq_http_request *request, void *data)
{
  (void)request;
  (void)data;
}

/* True when a fault answered, or keeps from answering, in the place of the
   engine.  */
static bool
strike_before (struct mq_engine_server *server,
               struct mq_http_request *request)
{
  struct mq_faults *faults = &server->faults;
  const char *path = mq_http_path (request);
  double value;

  if (mq_faults_strike (faults, MQ_FAULT_HANG, path, NULL))
    {
      mq_http_on_closed (request, hung_closed, NULL);
      return true;
    }
  if (mq_faults_strike (faults, MQ_FAULT_REFUSE, path, &value))
    {
      char seconds[16];

      snprintf (seconds, sizeof seconds, "%u",
                value < 1 ? 1 : (unsigned int)value);
      respond_refused (request, seconds);
      return true;
    }
  if (mq_faults_strike (faults, MQ_FAULT_STATUS, path, &value))
    {
      respond (request, (int)value, json_object ());
      return true;
    }
  if (mq_faults_strike (faults, MQ_FAULT_EVICT_FAILS, path, NULL))
    {
      respond_error (request, MQ_ERR_NOT_READY);
      return true;
    }
  return false;
}

static void
handle_request (struct mq_http_request *request, void *data)
{
  struct mq_engine_server *server = data;
  const char *path = mq_http_path (request);

  if (strncmp (path, "/v1/", 4) == 0 && strike_before (server, request))
    return;
  for (size_t i = 0; i < sizeof paths / sizeof paths[0]; i++)
    if (strcmp (paths[i].path, path) == 0
        && strcmp (paths[i].method, mq_http_method (request)) == 0)
      {
        paths[i].handle (server, request);
        return;
      }
  respond_error (request, MQ_ERR_NOT_FOUND);
}

/* Start and stop.  */

static int
server_freed (struct mq_engine_server *server)
{
  /* Ends every request while the streams are still there.  */
  break_streams (server);
  mq_http_server_destroy (server->http);
  json_decref (server->records);
  return 0;
}

struct mq_engine_server *
mq_engine_server_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                         const struct mq_engine_server_options *options,
                         struct mq_error *error)
{
  struct mq_http_server_options http
      = { .address = options->address, .body_max = MQ_FRAME_MAX_BYTES };
  struct mq_engine_server *server = talloc_zero (ctx, struct mq_engine_server);

  server->ev = ev;
  server->params = options->params;
  server->boot = options->boot;
  server->records = json_object ();
  server->engine = mq_engine_create (server, &options->params);
  server->orders_done[MQ_ORDER_LOAD_MODEL]
      = talloc_strdup (server, options->model);
  clock_gettime (CLOCK_MONOTONIC, &server->origin);
  talloc_set_destructor (server, server_freed);
  server->http = mq_http_server_create (server, ev, &http, handle_request,
                                        server, error);
  if (server->http != NULL)
    return server;
  talloc_free (server);
  return NULL;
}

void
mq_engine_server_destroy (struct mq_engine_server *server)
{
  talloc_free (server);
}

uint16_t
mq_engine_server_port (const struct mq_engine_server *server)
{
  return mq_http_server_port (server->http);
}
