/* engine_server.c - HTTP server of a stand-in model engine.

   Virtual time is the monotonic time since the server was created.  A timer
   advances the model when work is due; its events are sent as responses.
   Needs: engine_parts.h, tevent.  */

#include "engine_parts.h"
#include "core/limits.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  EVENTS_PER_RESPONSE_MAX = 256
};

#define FAULTS                                                                \
  (MQ_FAULT_BIT (MQ_FAULT_DOWN) | MQ_FAULT_BIT (MQ_FAULT_UNREACHABLE)         \
   | MQ_FAULT_BIT (MQ_FAULT_SLOW) | MQ_FAULT_BIT (MQ_FAULT_LOST_ANSWER)       \
   | MQ_FAULT_BIT (MQ_FAULT_HANG) | MQ_FAULT_BIT (MQ_FAULT_STATUS)            \
   | MQ_FAULT_BIT (MQ_FAULT_REFUSE) | MQ_FAULT_BIT (MQ_FAULT_CRASH_STREAM)    \
   | MQ_FAULT_BIT (MQ_FAULT_EVICT_FAILS) | MQ_FAULT_BIT (MQ_FAULT_EVENTS_GAP) \
   | MQ_FAULT_BIT (MQ_FAULT_LOAD_LAG))

static uint64_t
clock_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

uint64_t
mq_engine_server_now (const struct mq_engine_server *server)
{
  return clock_us () - server->origin_us;
}

/* Request and response helpers.  */

void
mq_engine_reject_overloaded (struct mq_http_request *request, uint32_t seconds)
{
  char text[16];

  snprintf (text, sizeof text, "%u", seconds);
  mq_http_set_header (request, "Retry-After", text);
  mq_answer_failure (request, MQ_ERR_OVERLOADED);
}

void
mq_engine_abort_request (struct mq_http_request *request)
{
  mq_http_on_closed (request, NULL, NULL);
  mq_http_abort (request);
}

json_t *
mq_engine_read_body (struct mq_http_request *request)
{
  size_t len;
  const char *body = mq_http_body (request, &len);
  json_t *json = json_loadb (body, len, 0, NULL);

  if (json_is_object (json))
    return json;
  json_decref (json);
  mq_answer_failure (request, MQ_ERR_BAD_JSON);
  return NULL;
}

const char *
mq_engine_member_text (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return text == NULL ? "" : text;
}

uint32_t
mq_engine_member_number (const json_t *json, const char *key,
                         uint32_t fallback)
{
  const json_t *member = json_object_get (json, key);
  json_int_t value = json_integer_value (member);

  return json_is_integer (member) && value >= 0 && value <= UINT32_MAX
             ? (uint32_t)value
             : fallback;
}

bool
mq_engine_read_program (const json_t *json, struct mq_id *program)
{
  program->hi = 0;
  program->lo = 0;
  return json_object_get (json, "program") == NULL
         || mq_id_parse (mq_engine_member_text (json, "program"), program);
}

/* Event loop.  */

static void
handle_event (struct mq_engine_server *server,
              const struct mq_engine_event *event)
{
  switch (event->type)
    {
    case MQ_ENGINE_TOKEN:
    case MQ_ENGINE_DONE:
      mq_engine_chat_event (server, event);
      break;
    case MQ_ENGINE_ORDERED:
    case MQ_ENGINE_EXPORTED:
    case MQ_ENGINE_IMPORTED:
      mq_engine_job_event (server, event);
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
  mq_engine_server_advance (server);
}

static void
arm_timer (struct mq_engine_server *server)
{
  uint64_t next = mq_engine_next_us (server->engine);
  uint64_t now = mq_engine_server_now (server);
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

/* Tokens generated at the same time are sent together.  */
void
mq_engine_server_advance (struct mq_engine_server *server)
{
  struct mq_engine_event event;

  mq_engine_advance (server->engine, mq_engine_server_now (server));
  while (mq_engine_next_event (server->engine, &event))
    handle_event (server, &event);
  mq_engine_send_chats (server);
  arm_timer (server);
}

/* Faults.  */

static bool
path_matches_fault (struct mq_engine_server *server,
                    struct mq_http_request *request, enum mq_fault_kind kind,
                    struct mq_fault *fault)
{
  const char *path = mq_http_path (request);
  bool poll = strcmp (mq_http_method (request), "GET") == 0;
  struct mq_fault_subject subject = { &path, 1, NULL, poll };

  return mq_faults_take (server->faults, kind, &subject, fault);
}

/* Matches faults that affect the whole engine and have no count.  */
static bool
engine_matches_fault (struct mq_engine_server *server, enum mq_fault_kind kind,
                      struct mq_fault *fault)
{
  struct mq_fault_subject subject = { .poll = true };

  return mq_faults_take (server->faults, kind, &subject, fault);
}

static void
apply_faults (struct mq_engine_server *server)
{
  struct mq_engine_params *params = mq_engine_params (server->engine);
  struct mq_fault fault;

  *params = server->params;
  if (engine_matches_fault (server, MQ_FAULT_SLOW, &fault))
    params->time_scale *= fault.factor;
  if (engine_matches_fault (server, MQ_FAULT_EVENTS_GAP, &fault))
    params->event_gap_permille = fault.permille;
  if (engine_matches_fault (server, MQ_FAULT_LOAD_LAG, &fault))
    params->load_lag_us = fault.ms * 1000;
}

/* Simulates a process restart: connections are aborted, the cache is empty and
   the boot number changes.  */
static void
restart (struct mq_engine_server *server)
{
  mq_engine_break_chats (server);
  mq_engine_break_jobs (server);
  mq_engine_destroy (server->engine);
  server->engine = mq_engine_create (server, &server->params);
  mq_engine_advance (server->engine, mq_engine_server_now (server));
  server->boot++;
}

static bool
is_restart (const char *order)
{
  json_t *json = json_loads (order, 0, NULL);
  bool is = strcmp (mq_engine_member_text (json, "fault"), "restart") == 0;

  json_decref (json);
  return is;
}

bool
mq_engine_server_fault (struct mq_engine_server *server, const char *order)
{
  struct mq_error error;

  if (is_restart (order))
    restart (server);
  else if (!mq_faults_post (server->faults, order, strlen (order), &error))
    return false;
  apply_faults (server);
  mq_engine_server_advance (server);
  return true;
}

static void
post_fault (struct mq_engine_server *server, struct mq_http_request *request)
{
  if (mq_engine_server_fault (server, mq_http_body (request, NULL)))
    mq_answer_empty (request);
  else
    mq_answer_failure (request, MQ_ERR_BAD_REQUEST);
}

static void
hanging_closed (struct mq_http_request *request, void *data)
{
  (void)request;
  (void)data;
}

/* Returns true if a fault has handled the request or blocks its response.  */
static bool
handle_fault_match (struct mq_engine_server *server,
                    struct mq_http_request *request)
{
  struct mq_fault fault;

  if (path_matches_fault (server, request, MQ_FAULT_HANG, NULL))
    mq_http_on_closed (request, hanging_closed, NULL);
  else if (path_matches_fault (server, request, MQ_FAULT_UNREACHABLE, NULL))
    mq_http_abort (request);
  else if (path_matches_fault (server, request, MQ_FAULT_DOWN, NULL))
    mq_answer_failure (request, MQ_ERR_NOT_READY);
  else if (path_matches_fault (server, request, MQ_FAULT_REFUSE, &fault))
    mq_engine_reject_overloaded (request, fault.retry_after_s);
  else if (path_matches_fault (server, request, MQ_FAULT_STATUS, &fault))
    mq_answer_json (request, (int)fault.status, json_object ());
  else
    return false;
  return true;
}

/* Cache, load and statistics.  */

static void
evict (struct mq_engine_server *server, struct mq_http_request *request,
       struct mq_id program)
{
  uint32_t tokens = mq_engine_evict (server->engine,
                                     mq_engine_server_now (server), program);

  if (path_matches_fault (server, request, MQ_FAULT_LOST_ANSWER, NULL))
    mq_http_abort (request);
  else
    mq_answer_json (request, 200, json_pack ("{s:i}", "tokens", (int)tokens));
  mq_engine_server_advance (server);
}

static void
post_evict (struct mq_engine_server *server, struct mq_http_request *request)
{
  json_t *body = mq_engine_read_body (request);
  struct mq_id program;
  bool valid = mq_id_parse (mq_engine_member_text (body, "program"), &program);

  if (body == NULL)
    return;
  json_decref (body);
  if (path_matches_fault (server, request, MQ_FAULT_EVICT_FAILS, NULL))
    mq_answer_failure (request, MQ_ERR_NOT_READY);
  else if (valid)
    evict (server, request, program);
  else
    mq_answer_failure (request, MQ_ERR_BAD_REQUEST);
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

  mq_engine_server_advance (server);
  load = mq_engine_load (server->engine);
  mq_answer_json (
      request, 200,
      json_pack ("{s:I, s:i, s:i, s:o}", "boot", (json_int_t)server->boot,
                 "used", (int)load.cache_used, "total", (int)load.cache_total,
                 "programs", pack_held (server)));
}

static void
get_load (struct mq_engine_server *server, struct mq_http_request *request)
{
  struct mq_engine_load load;

  mq_engine_server_advance (server);
  load = mq_engine_reported_load (server->engine,
                                  mq_engine_server_now (server));
  mq_answer_json (request, 200,
                  json_pack ("{s:I, s:i, s:i, s:i, s:i}", "boot",
                             (json_int_t)server->boot, "running",
                             (int)load.running, "queued", (int)load.queued,
                             "cache_used", (int)load.cache_used, "cache_total",
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
  struct mq_engine_cache_event events[EVENTS_PER_RESPONSE_MAX];
  json_t *list = json_array ();
  size_t count;

  mq_engine_server_advance (server);
  count
      = mq_engine_cache_events (server->engine, mq_engine_server_now (server),
                                after, events, EVENTS_PER_RESPONSE_MAX);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, pack_cache_event (&events[i]));
  after = count == 0 ? after : events[count - 1].number;
  mq_answer_json (
      request, 200,
      json_pack ("{s:o, s:I}", "events", list, "next", (json_int_t)after));
}

static json_t *
pack_counters (struct mq_engine_server *server)
{
  const struct mq_engine_counters *engine = mq_engine_read_counters (
      server->engine, mq_engine_server_now (server));
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

  for (void *at = json_object_iter (server->records); at != NULL;
       at = json_object_iter_next (server->records, at))
    json_array_append_new (list, json_deep_copy (json_object_iter_value (at)));
  return list;
}

json_t *
mq_engine_server_stats (struct mq_engine_server *server)
{
  json_t *orders = json_object ();
  struct mq_engine_load load;

  mq_engine_server_advance (server);
  load = mq_engine_load (server->engine);
  for (size_t i = 0; i <= MQ_ORDER_SET_ROLE; i++)
    json_object_set_new (orders, mq_engine_order_name ((enum mq_order_type)i),
                         json_string (server->in_force[i]));
  return json_pack ("{s:I, s:i, s:i, s:o, s:o, s:o, s:o}", "boot",
                    (json_int_t)server->boot, "running", (int)load.running,
                    "queued", (int)load.queued, "orders", orders, "requests",
                    pack_requests (server), "cache", pack_held (server),
                    "counters", pack_counters (server));
}

static void
get_stats (struct mq_engine_server *server, struct mq_http_request *request)
{
  mq_answer_json (request, 200, mq_engine_server_stats (server));
}

/* Request routing.  */

struct path
{
  const char *method;
  const char *path;
  void (*handle) (struct mq_engine_server *server,
                  struct mq_http_request *request);
};

static const struct path paths[] = {
  { "POST", "/v1/chat/completions", mq_engine_post_chat },
  { "POST", "/v1/cancel", mq_engine_post_cancel },
  { "POST", "/v1/cache/evict", post_evict },
  { "POST", "/v1/cache/export", mq_engine_post_export },
  { "POST", "/v1/cache/import", mq_engine_post_import },
  { "POST", "/v1/orders", mq_engine_post_order },
  { "GET", "/v1/cache", get_cache },
  { "GET", "/v1/events", get_events },
  { "GET", "/v1/load", get_load },
  { "POST", "/standin/fault", post_fault },
  { "GET", "/standin/stats", get_stats },
};

static void
handle_request (struct mq_http_request *request, void *data)
{
  struct mq_engine_server *server = data;

  if (mq_is_request_below (request, mq_http_method (request), "/v1/")
      && handle_fault_match (server, request))
    return;
  for (size_t i = 0; i < sizeof paths / sizeof paths[0]; i++)
    if (mq_is_request (request, paths[i].method, paths[i].path))
      {
        paths[i].handle (server, request);
        return;
      }
  mq_answer_failure (request, MQ_ERR_NOT_FOUND);
}

/* Creation and destruction.  */

static int
server_freed (struct mq_engine_server *server)
{
  /* Ends the requests before the HTTP server is destroyed.  */
  mq_engine_break_chats (server);
  mq_engine_break_jobs (server);
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
  server->faults = mq_faults_create (server, FAULTS);
  server->engine = mq_engine_create (server, &options->params);
  server->in_force[MQ_ORDER_LOAD_MODEL]
      = talloc_strdup (server, options->model);
  server->origin_us = clock_us ();
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
