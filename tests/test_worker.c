/* test_worker.c - HTTP client of a worker, against a simulated engine and a
   scripted plain service on the same event loop.

   Needs: Criterion, worker.h, engine_server.h, http_server.h, listen.h.  */

#include "core/id.h"
#include "core/limits.h"
#include "net/listen.h"
#include "target/worker.h"
#include "target/worker_stream.h"
#include "../standins/engine_server.h"
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  WAIT_SECONDS = 30,
  NEVER = 1000000,
  STALLED_MS = 1200, /* exceeds the timeout of the call */
  SLOT = 7,
  WORKER = 3
};

#define COUNT(table) (sizeof (table) / sizeof (table)[0])
#define PROGRAM                                                               \
  {                                                                           \
    1, 2                                                                      \
  }
#define REQUEST_ID "00000000000000010000000000000002-5-1"

/**
 * struct fixture - a worker's client and the events that it reported
 * @stop_after: number of pieces of text after which to stop the call
 */
struct fixture
{
  struct tevent_context *ev;
  struct mq_http_client *client;
  struct mq_engine_server *engine;
  struct mq_http_server *service;
  struct mq_worker *worker;
  char *url;
  uint32_t stop_after;
  uint32_t tokens;
  char *text;
  uint32_t dones;
  struct mq_gate_done done;
  uint32_t evictions;
  struct mq_gate_evicted evicted;
  uint32_t caches;
  struct mq_gate_cache_entry cache[8];
  uint32_t cache_count;
  uint32_t ups;
  uint32_t downs;
  uint64_t boot;
  uint32_t orders;
  struct mq_order_done_msg ordered;
};

static void
on_token (const struct mq_gate_token *token, void *user)
{
  struct fixture *fixture = user;

  cr_assert_eq (token->slot, SLOT);
  fixture->text = talloc_strdup_append (fixture->text, token->text);
  if (++fixture->tokens == fixture->stop_after)
    mq_worker_stop (fixture->worker, SLOT);
}

static void
on_done (const struct mq_gate_done *done, void *user)
{
  struct fixture *fixture = user;

  fixture->dones++;
  fixture->done = *done;
  fixture->done.body = talloc_strdup (fixture, done->body);
}

static void
on_evicted (const struct mq_gate_evicted *evicted, void *user)
{
  struct fixture *fixture = user;

  fixture->evictions++;
  fixture->evicted = *evicted;
}

static void
on_cache (const struct mq_gate_cache *cache, void *user)
{
  struct fixture *fixture = user;

  cr_assert_eq (cache->worker, WORKER);
  fixture->caches++;
  fixture->cache_count = (uint32_t)cache->entry_count;
  for (size_t i = 0; i < cache->entry_count && i < 8; i++)
    fixture->cache[i] = cache->entries[i];
}

static void
on_up (uint32_t worker, uint64_t boot, void *user)
{
  struct fixture *fixture = user;

  cr_assert_eq (worker, WORKER);
  fixture->ups++;
  fixture->boot = boot;
}

static void
on_down (uint32_t worker, void *user)
{
  struct fixture *fixture = user;

  cr_assert_eq (worker, WORKER);
  fixture->downs++;
}

static void
on_ordered (const struct mq_order_done_msg *ordered, void *user)
{
  struct fixture *fixture = user;

  fixture->orders++;
  fixture->ordered = *ordered;
}

static void
time_out (struct tevent_context *ev, struct tevent_timer *timer,
          struct timeval now, void *data)
{
  (void)ev;
  (void)timer;
  (void)now;
  *(bool *)data = true;
}

static void
wait_for (struct fixture *fixture, const uint32_t *counter, uint32_t least)
{
  bool late = false;
  struct tevent_timer *timer = tevent_add_timer (
      fixture->ev, fixture, tevent_timeval_current_ofs (WAIT_SECONDS, 0),
      time_out, &late);

  while (*counter < least && !late)
    tevent_loop_once (fixture->ev);
  cr_assert_not (late, "waited for %u, have %u", least, *counter);
  talloc_free (timer);
}

static void
let_pass (struct fixture *fixture, uint32_t ms)
{
  bool over = false;

  tevent_add_timer (fixture->ev, fixture,
                    tevent_timeval_current_ofs (ms / 1000, ms % 1000 * 1000),
                    time_out, &over);
  while (!over)
    tevent_loop_once (fixture->ev);
}

static struct fixture *
fixture_create (void)
{
  struct fixture *fixture = talloc_zero (NULL, struct fixture);
  struct mq_error error;

  fixture->ev = tevent_context_init (fixture);
  fixture->client = mq_http_client_create (fixture, fixture->ev, &error);
  fixture->text = talloc_strdup (fixture, "");
  cr_assert_not_null (fixture->client);
  return fixture;
}

static void
add_worker (struct fixture *fixture, enum mq_service_kind kind, uint16_t port,
            uint32_t poll_ms)
{
  struct mq_worker_callbacks callbacks
      = { on_token, on_done, on_evicted, on_cache,
          on_up,    on_down, on_ordered, fixture };
  struct mq_worker_options options = {
    .index = WORKER, .kind = kind, .model = "m7", .cache_poll_ms = poll_ms
  };

  fixture->url = talloc_asprintf (fixture, "http://127.0.0.1:%u", port);
  options.url = fixture->url;
  fixture->worker = mq_worker_create (fixture, fixture->ev, fixture->client,
                                      &options, &callbacks);
  cr_assert_not_null (fixture->worker);
}

static void
add_engine (struct fixture *fixture)
{
  struct mq_engine_server_options options
      = { .address = "127.0.0.1:0", .model = "m7", .boot = 10 };
  struct mq_error error;

  mq_engine_params_default (&options.params);
  options.params.time_scale = 0.1;
  options.params.check_fence = true;
  fixture->engine
      = mq_engine_server_create (fixture, fixture->ev, &options, &error);
  cr_assert_not_null (fixture->engine);
}

static void
fixture_destroy (struct fixture *fixture)
{
  mq_worker_destroy (fixture->worker);
  mq_http_client_destroy (fixture->client);
  if (fixture->engine != NULL)
    mq_engine_server_destroy (fixture->engine);
  if (fixture->service != NULL)
    mq_http_server_destroy (fixture->service);
  talloc_free (fixture);
}

static void
set_fault (struct fixture *fixture, const char *text)
{
  cr_assert (mq_engine_server_fault (fixture->engine, text), "%s", text);
}

static json_int_t
stat_number (struct fixture *fixture, const char *key)
{
  json_t *stats = mq_engine_server_stats (fixture->engine);
  json_t *requests = json_object_get (stats, "requests");
  json_int_t value = json_integer_value (json_object_get (stats, key));

  for (size_t i = 0; i < json_array_size (requests); i++)
    {
      json_t *record = json_array_get (requests, i);
      const char *id
          = json_string_value (json_object_get (record, "request_id"));

      if (strcmp (id, REQUEST_ID) == 0 && json_object_get (record, key))
        value = json_integer_value (json_object_get (record, key));
    }
  json_decref (stats);
  return value;
}

static struct mq_start
make_start (const char *body, uint32_t timeout_ms)
{
  struct mq_start start
      = { .slot = SLOT,
          .ref = { .program = PROGRAM, .call = 5, .attempt = 1 },
          .service = "guide-models",
          .route = "/pay",
          .priority = MQ_PRIORITY_URGENT,
          .timeout_ms = timeout_ms,
          .idempotency_key = "k-5",
          .traceparent
          = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01",
          .body = body };

  return start;
}

#define SAY(plan)                                                             \
  "{\"messages\":[{\"role\":\"user\",\"content\":\"plan=" plan "\"}]}"
#define ANSWER_40 SAY ("[{\\\"answer\\\":40}]")
#define ANSWER_9000 SAY ("[{\\\"answer\\\":9000}]")
/* Injects a fault into the next POST to a path with this prefix.  */
#define FAULT_AT(name, path, more)                                            \
  "{\"fault\":\"" name "\",\"count\":1,\"match\":\"" path "\"" more "}"
#define FAULT(name, more) FAULT_AT (name, "/v1/chat", more)

/**
 * struct model_case - one model call
 * @fault: fault injected before the call; NULL if none
 * @stop_after: pieces of text after which to stop the call, 0: at once
 * @least: lower bound of tokens_out
 * @most: upper bound of tokens_out
 * @seen: number of times that the engine runs the call
 */
struct model_case
{
  const char *name;
  const char *fault;
  const char *body;
  uint32_t max_tokens;
  uint32_t timeout_ms;
  uint32_t stop_after;
  enum mq_error_type error;
  enum mq_ran ran;
  uint32_t retry_after_ms;
  uint32_t least;
  uint32_t most;
  uint32_t seen;
};

static const struct model_case model_cases[] = {
  { "whole answer", NULL, ANSWER_40, 0, 0, NEVER, MQ_ERR_NONE, MQ_RAN_RAN, 0,
    40, 40, 1 },
  { "capped by the gate", NULL, ANSWER_40, 30, 0, NEVER, MQ_ERR_NONE,
    MQ_RAN_RAN, 0, 30, 30, 1 },
  { "slow, yet in time", "{\"fault\":\"slow\",\"factor\":3}", ANSWER_40, 0, 0,
    NEVER, MQ_ERR_NONE, MQ_RAN_RAN, 0, 40, 40, 1 },
  { "refused", FAULT ("refuse", ",\"retry_after_s\":3"), ANSWER_40, 0, 0,
    NEVER, MQ_ERR_OVERLOADED, MQ_RAN_NOT_RUN, 3000, 0, 0, 0 },
  { "internal error", FAULT ("status", ",\"status\":500"), ANSWER_40, 0, 0,
    NEVER, MQ_ERR_TARGET_FAILED, MQ_RAN_RAN, 0, 0, 0, 0 },
  { "no such model", FAULT ("status", ",\"status\":404"), ANSWER_40, 0, 0,
    NEVER, MQ_ERR_TARGET_FAILED, MQ_RAN_NOT_RUN, 0, 0, 0, 0 },
  { "bad messages", NULL, "{\"messages\":[]}", 0, 0, NEVER, MQ_ERR_BAD_REQUEST,
    MQ_RAN_NOT_RUN, 0, 0, 0, 0 },
  { "too long for the engine", NULL, SAY ("[{\\\"answer\\\":70000}]"), 0, 0,
    NEVER, MQ_ERR_BAD_REQUEST, MQ_RAN_NOT_RUN, 0, 0, 0, 0 },
  { "body is no object", NULL, "[]", 0, 0, NEVER, MQ_ERR_BAD_REQUEST,
    MQ_RAN_NOT_RUN, 0, 0, 0, 0 },
  { "stream breaks", FAULT ("crash_stream", ",\"tokens\":5"), ANSWER_40, 0, 0,
    NEVER, MQ_ERR_TARGET_FAILED, MQ_RAN_RAN, 0, 5, 5, 1 },
  { "answer lost", FAULT ("lost_answer", ""), ANSWER_40, 0, 0, NEVER,
    MQ_ERR_TARGET_FAILED, MQ_RAN_RAN, 0, 0, 0, 1 },
  { "no answer in time", FAULT ("hang", ""), ANSWER_40, 0, 100, NEVER,
    MQ_ERR_TIMEOUT, MQ_RAN_RAN, 0, 0, 0, 0 },
  { "not whole in time", NULL, ANSWER_9000, 0, 2000, NEVER, MQ_ERR_TIMEOUT,
    MQ_RAN_RAN, 0, 1, 8999, 1 },
  { "stopped in the middle", NULL, ANSWER_9000, 0, 0, 5, MQ_ERR_CANCELLED,
    MQ_RAN_RAN, 0, 5, 8999, 1 },
  { "stopped at once", NULL, ANSWER_9000, 0, 0, 0, MQ_ERR_CANCELLED,
    MQ_RAN_RAN, 0, 0, 8999, 1 },
  { "stopped while it hangs", FAULT ("hang", ""), ANSWER_40, 0, 0, 0,
    MQ_ERR_CANCELLED, MQ_RAN_RAN, 0, 0, 0, 0 },
};

/* However a model call ends, its result must be reported exactly once, with
   the right error and the number of tokens generated, and the engine must not
   keep running it.  */
static void
run_model_case (const struct model_case *c)
{
  struct fixture *fixture = fixture_create ();
  struct mq_start start = make_start (c->body, c->timeout_ms);
  bool ran_whole;

  add_engine (fixture);
  if (c->fault != NULL)
    set_fault (fixture, c->fault);
  add_worker (fixture, MQ_SERVICE_MODEL,
              mq_engine_server_port (fixture->engine), 0);
  fixture->stop_after = c->stop_after;
  start.max_tokens = c->max_tokens;
  mq_worker_start (fixture->worker, &start);
  if (c->stop_after == 0)
    mq_worker_stop (fixture->worker, SLOT);
  cr_assert_eq (fixture->dones, 0, "callback from within a function");
  wait_for (fixture, &fixture->dones, 1);
  cr_expect_eq (fixture->done.slot, SLOT);
  cr_expect_eq (fixture->done.error, c->error, "%s: %s", c->name,
                mq_error_name (fixture->done.error));
  cr_expect_eq (fixture->done.ran, c->ran, "%s", c->name);
  cr_expect_eq (fixture->done.retry_after_ms, c->retry_after_ms, "%s",
                c->name);
  cr_expect (fixture->done.tokens_out >= c->least
                 && fixture->done.tokens_out <= c->most,
             "%s: %u", c->name, fixture->done.tokens_out);
  let_pass (fixture, 50);
  cr_expect_eq (fixture->dones, 1, "%s: reported once", c->name);
  cr_expect_eq (stat_number (fixture, "seen"), c->seen, "%s", c->name);
  cr_expect_eq (stat_number (fixture, "running"), 0, "%s", c->name);
  cr_expect_eq (stat_number (fixture, "queued"), 0, "%s", c->name);
  ran_whole = c->error == MQ_ERR_CANCELLED || c->error == MQ_ERR_TIMEOUT
              || c->error == MQ_ERR_NONE;
  if (ran_whole)
    cr_expect_eq (stat_number (fixture, "completion_tokens"),
                  fixture->done.tokens_out, "%s: %u", c->name,
                  fixture->done.tokens_out);
  fixture_destroy (fixture);
}

Test (worker, model_calls)
{
  for (size_t i = 0; i < COUNT (model_cases); i++)
    run_model_case (&model_cases[i]);
}

/* The streamed pieces of text equal the content of the body.  */
Test (worker, streamed_text_equals_body)
{
  struct fixture *fixture = fixture_create ();
  struct mq_start start = make_start (
      SAY ("[{\\\"call\\\":\\\"badge\\\",\\\"arguments\\\":{\\\"who\\\":"
           "\\\"Awa\\\"},\\\"tokens\\\":30}]"),
      0);
  json_t *body;
  json_t *call;

  add_engine (fixture);
  add_worker (fixture, MQ_SERVICE_MODEL,
              mq_engine_server_port (fixture->engine), 0);
  mq_worker_start (fixture->worker, &start);
  wait_for (fixture, &fixture->dones, 1);
  body = json_loads (fixture->done.body, 0, NULL);
  call = json_array_get (json_object_get (body, "tool_calls"), 0);
  cr_expect_str_eq (json_string_value (json_object_get (body, "content")),
                    fixture->text);
  cr_expect_eq (strlen (fixture->text), 120);
  cr_expect_not_null (strstr (fixture->text, "[seen 1 "));
  cr_expect_str_eq (json_string_value (json_object_get (body, "finish")),
                    "tool_calls");
  cr_expect_str_eq (json_string_value (json_object_get (call, "name")),
                    "badge");
  cr_expect_str_eq (json_string_value (json_object_get (call, "arguments")),
                    "{\"who\":\"Awa\"}");
  cr_expect_eq (fixture->done.tokens_in,
                stat_number (fixture, "prompt_tokens"));
  json_decref (body);
  fixture_destroy (fixture);
}

/* An engine that restarts during a call ends the call as failed and is
   reported with its new boot number.  */
Test (worker, engine_restarts)
{
  struct fixture *fixture = fixture_create ();
  struct mq_start start = make_start (ANSWER_9000, 0);

  add_engine (fixture);
  add_worker (fixture, MQ_SERVICE_MODEL,
              mq_engine_server_port (fixture->engine), 0);
  mq_worker_start (fixture->worker, &start);
  wait_for (fixture, &fixture->ups, 1);
  cr_expect_eq (fixture->boot, 10);
  wait_for (fixture, &fixture->tokens, 3);
  set_fault (fixture, "{\"fault\":\"restart\"}");
  wait_for (fixture, &fixture->dones, 1);
  cr_expect_eq (fixture->done.error, MQ_ERR_TARGET_FAILED);
  cr_expect_eq (fixture->done.ran, MQ_RAN_RAN);
  cr_expect (fixture->done.tokens_out >= 3);
  wait_for (fixture, &fixture->ups, 2);
  cr_expect_eq (fixture->boot, 11);
  cr_expect_eq (mq_worker_read_counters (fixture->worker)->restarts, 1);
  fixture_destroy (fixture);
}

/* An unreachable engine is reported as down once, and a call to it ends as not
   run.  */
Test (worker, engine_unreachable)
{
  struct fixture *fixture = fixture_create ();
  struct mq_start start = make_start (ANSWER_40, 0);
  uint16_t port;

  add_engine (fixture);
  port = mq_engine_server_port (fixture->engine);
  add_worker (fixture, MQ_SERVICE_MODEL, port, 20);
  wait_for (fixture, &fixture->ups, 1);
  mq_engine_server_destroy (fixture->engine);
  fixture->engine = NULL;
  wait_for (fixture, &fixture->downs, 1);
  mq_worker_start (fixture->worker, &start);
  wait_for (fixture, &fixture->dones, 1);
  cr_expect_eq (fixture->done.error, MQ_ERR_TARGET_FAILED);
  cr_expect_eq (fixture->done.ran, MQ_RAN_NOT_RUN);
  let_pass (fixture, 100);
  cr_expect_eq (fixture->downs, 1);
  cr_expect_eq (fixture->ups, 1);
  fixture_destroy (fixture);
}

/* A failed eviction is reported as not confirmed; after a confirmed one the
   engine's cache no longer lists the program.  */
Test (worker, evictions_and_cache)
{
  static const struct mq_id program = PROGRAM;
  struct fixture *fixture = fixture_create ();
  struct mq_start start = make_start (ANSWER_40, 0);

  add_engine (fixture);
  add_worker (fixture, MQ_SERVICE_MODEL,
              mq_engine_server_port (fixture->engine), 20);
  mq_worker_start (fixture->worker, &start);
  wait_for (fixture, &fixture->dones, 1);
  wait_for (fixture, &fixture->caches, fixture->caches + 2);
  cr_assert_eq (fixture->cache_count, 1);
  cr_expect (mq_id_equal (fixture->cache[0].program, program));
  cr_expect (fixture->cache[0].tokens >= 40);
  set_fault (fixture, "{\"fault\":\"evict_fails\",\"count\":1}");
  mq_worker_evict (fixture->worker, program);
  wait_for (fixture, &fixture->evictions, 1);
  cr_expect_not (fixture->evicted.confirmed);
  cr_expect_eq (fixture->evicted.worker, WORKER);
  mq_worker_evict (fixture->worker, program);
  wait_for (fixture, &fixture->evictions, 2);
  cr_expect (fixture->evicted.confirmed);
  cr_expect (mq_id_equal (fixture->evicted.program, program));
  wait_for (fixture, &fixture->caches, fixture->caches + 2);
  cr_expect_eq (fixture->cache_count, 0);
  fixture_destroy (fixture);
}

Test (worker, orders)
{
  static const struct
  {
    uint64_t fence;
    const char *fault;
    enum mq_order_type type;
    enum mq_error_type error;
  } cases[] = {
    { 5, NULL, MQ_ORDER_SET_ROLE, MQ_ERR_NONE },
    { 4, NULL, MQ_ORDER_SET_ROLE, MQ_ERR_STALE_FENCE },
    { 5, NULL, MQ_ORDER_LOAD_ADAPTER, MQ_ERR_NONE },
    { 6, FAULT_AT ("status", "/v1/orders", ",\"status\":500"),
      MQ_ORDER_SET_ROLE, MQ_ERR_TARGET_FAILED },
  };
  struct fixture *fixture = fixture_create ();

  add_engine (fixture);
  add_worker (fixture, MQ_SERVICE_MODEL,
              mq_engine_server_port (fixture->engine), 0);
  for (uint32_t i = 0; i < COUNT (cases); i++)
    {
      struct mq_order_msg order = { .order = 100 + i,
                                    .fence = cases[i].fence,
                                    .worker = WORKER,
                                    .type = cases[i].type,
                                    .argument = "draft" };

      if (cases[i].fault != NULL)
        set_fault (fixture, cases[i].fault);
      mq_worker_order (fixture->worker, &order);
      wait_for (fixture, &fixture->orders, i + 1);
      cr_expect_eq (fixture->ordered.order, 100 + i);
      cr_expect_eq (fixture->ordered.error, cases[i].error, "case %u: %s", i,
                    mq_error_name (fixture->ordered.error));
    }
  fixture_destroy (fixture);
}

/* Plain services and tools.  */

enum behaviour
{
  ANSWER,
  BREAK, /* receives the request and closes the connection */
  HANG,
  GONE /* connection refused */
};

struct script
{
  enum behaviour behaviour;
  int status;
  const char *body;
  uint32_t hits;
  bool as_sent;
};

static void
hung_closed (struct mq_http_request *request, void *data)
{
  (void)request;
  (void)data;
}

static bool
header_is (struct mq_http_request *request, const char *name,
           const char *value)
{
  const char *header = mq_http_header (request, name);

  return header != NULL && strcmp (header, value) == 0;
}

static void
serve_script (struct mq_http_request *request, void *data)
{
  struct script *script = data;
  struct mq_start start = make_start ("", 0);

  script->hits++;
  script->as_sent
      = strcmp (mq_http_method (request), "POST") == 0
        && strcmp (mq_http_path (request), start.route) == 0
        && header_is (request, "Idempotency-Key", start.idempotency_key)
        && header_is (request, "traceparent", start.traceparent)
        && strcmp (mq_http_body (request, NULL), "{\"sum\":1}") == 0;
  switch (script->behaviour)
    {
    case ANSWER:
      if (script->status == 429)
        mq_http_set_header (request, "Retry-After", "2");
      mq_http_respond (request, script->status, "application/json",
                       script->body, strlen (script->body));
      break;
    case BREAK:
      mq_http_abort (request);
      break;
    case HANG:
    case GONE:
      mq_http_on_closed (request, hung_closed, NULL);
      break;
    }
}

struct service_case
{
  enum behaviour behaviour;
  int status;
  const char *body;
  uint32_t timeout_ms;
  enum mq_error_type error;
  enum mq_ran ran;
  uint32_t retry_after_ms;
  const char *answer;
  uint32_t hits;
  bool stop;
};

static const struct service_case service_cases[] = {
  { ANSWER, 200, "{\"ok\":true}", 0, MQ_ERR_NONE, MQ_RAN_RAN, 0,
    "{\"ok\":true}", 1, false },
  { ANSWER, 201, "done", 0, MQ_ERR_NONE, MQ_RAN_RAN, 0, "\"done\"", 1, false },
  { ANSWER, 200, "", 0, MQ_ERR_NONE, MQ_RAN_RAN, 0, "null", 1, false },
  { ANSWER, 200, "\xff\xfe", 0, MQ_ERR_BAD_ANSWER, MQ_RAN_RAN, 0, "", 1,
    false },
  { ANSWER, 404, "{\"no\":1}", 0, MQ_ERR_NONE, MQ_RAN_RAN, 0,
    "{\"status\":404,\"error\":{\"no\":1}}", 1, false },
  { ANSWER, 409, "twice", 0, MQ_ERR_NONE, MQ_RAN_RAN, 0,
    "{\"status\":409,\"error\":\"twice\"}", 1, false },
  { ANSWER, 429, "", 0, MQ_ERR_OVERLOADED, MQ_RAN_NOT_RUN, 2000, "", 1,
    false },
  { ANSWER, 500, "", 0, MQ_ERR_TARGET_FAILED, MQ_RAN_UNKNOWN, 0, "", 1,
    false },
  { ANSWER, 503, "", 0, MQ_ERR_TARGET_FAILED, MQ_RAN_UNKNOWN, 0, "", 1,
    false },
  { ANSWER, 302, "", 0, MQ_ERR_TARGET_FAILED, MQ_RAN_UNKNOWN, 0, "", 1,
    false },
  { BREAK, 0, "", 0, MQ_ERR_TARGET_FAILED, MQ_RAN_UNKNOWN, 0, "", 1, false },
  { HANG, 0, "", 500, MQ_ERR_TIMEOUT, MQ_RAN_UNKNOWN, 0, "", 1, false },
  { HANG, 0, "", 0, MQ_ERR_CANCELLED, MQ_RAN_UNKNOWN, 0, "", 1, true },
  { GONE, 0, "", 0, MQ_ERR_TARGET_FAILED, MQ_RAN_NOT_RUN, 0, "", 0, false },
};

static void
start_service (struct fixture *fixture, struct script *script,
               enum mq_service_kind kind)
{
  struct mq_http_server_options options = { .address = "127.0.0.1:0" };
  struct mq_error error;

  fixture->service = mq_http_server_create (fixture, fixture->ev, &options,
                                            serve_script, script, &error);
  cr_assert_not_null (fixture->service);
  add_worker (fixture, kind, mq_http_server_port (fixture->service), 0);
}

static void
post_sum (struct fixture *fixture, uint32_t timeout_ms)
{
  struct mq_start start = make_start ("{\"sum\":1}", timeout_ms);

  mq_worker_start (fixture->worker, &start);
}

/* A call with side effects must be sent exactly once, whatever becomes of the
   response.  A first call leaves an open connection that HTTP clients may
   reuse and retry on.  */
static void
run_service_case (size_t i, enum mq_service_kind kind)
{
  const struct service_case *c = &service_cases[i];
  struct script script = { .behaviour = ANSWER, .status = 200, .body = "1" };
  struct fixture *fixture = fixture_create ();

  start_service (fixture, &script, kind);
  post_sum (fixture, 0);
  wait_for (fixture, &fixture->dones, 1);
  cr_assert_eq (fixture->done.error, MQ_ERR_NONE);
  cr_expect (script.as_sent);
  script = (struct script){ .behaviour = c->behaviour,
                            .status = c->status,
                            .body = c->body };
  if (c->behaviour == GONE)
    {
      mq_http_server_destroy (fixture->service);
      fixture->service = NULL;
    }
  post_sum (fixture, c->timeout_ms);
  if (c->stop)
    {
      wait_for (fixture, &script.hits, 1);
      mq_worker_stop (fixture->worker, SLOT);
      cr_assert_eq (fixture->dones, 1, "callback from within a function");
    }
  wait_for (fixture, &fixture->dones, 2);
  cr_expect_eq (fixture->done.error, c->error, "case %zu: %s", i,
                mq_error_name (fixture->done.error));
  cr_expect_eq (fixture->done.ran, c->ran, "case %zu: %s", i,
                mq_ran_name (fixture->done.ran));
  cr_expect_eq (fixture->done.retry_after_ms, c->retry_after_ms);
  cr_expect_str_eq (fixture->done.body, c->answer, "case %zu: %s", i,
                    fixture->done.body);
  let_pass (fixture, 30);
  cr_expect_eq (fixture->dones, 2, "case %zu: reported once", i);
  cr_expect_eq (script.hits, c->hits, "case %zu: sent %u times", i,
                script.hits);
  fixture_destroy (fixture);
}

Test (worker, service_calls)
{
  for (size_t i = 0; i < COUNT (service_cases); i++)
    {
      run_service_case (i, MQ_SERVICE_TOOL);
      run_service_case (i, MQ_SERVICE_PLAIN);
    }
}

/* Evictions and orders to a plain service complete without a request, and not
   from within the function.  */
Test (worker, services_hold_no_cache)
{
  static const struct mq_id program = PROGRAM;
  struct script script = { .behaviour = HANG };
  struct mq_order_msg order = { .order = 9, .argument = "" };
  struct fixture *fixture = fixture_create ();

  start_service (fixture, &script, MQ_SERVICE_PLAIN);
  mq_worker_evict (fixture->worker, program);
  mq_worker_order (fixture->worker, &order);
  cr_expect_eq (fixture->evictions + fixture->orders, 0);
  wait_for (fixture, &fixture->evictions, 1);
  wait_for (fixture, &fixture->orders, 1);
  cr_expect (fixture->evicted.confirmed);
  cr_expect_eq (fixture->ordered.error, MQ_ERR_BAD_REQUEST);
  cr_expect_eq (script.hits, 0);
  fixture_destroy (fixture);
}

/* Waits until the engine runs COUNT calls.  */
static void
wait_for_running (struct fixture *fixture, json_int_t count)
{
  for (uint32_t ms = 0; stat_number (fixture, "running") != count; ms++)
    {
      cr_assert_lt (ms, WAIT_SECONDS * 1000, "the engine runs %d",
                    (int)stat_number (fixture, "running"));
      let_pass (fixture, 1);
    }
}

/* A client destroyed with calls in progress calls no callback afterwards and
   leaves no call running at the engine.  */
Test (worker, destroyed_with_calls_in_progress)
{
  static const struct
  {
    const char *name;
    json_int_t running; /* at the engine before the stop */
    uint32_t reported;  /* results reported before the client is destroyed */
  } cases[] = {
    { "not sent yet", 0, 0 },
    { "both in progress", 2, 0 },
    { "the stopped one has ended", 2, 1 },
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct fixture *fixture = fixture_create ();
      struct mq_start start = make_start (ANSWER_9000, 0);

      add_engine (fixture);
      add_worker (fixture, MQ_SERVICE_MODEL,
                  mq_engine_server_port (fixture->engine), 0);
      mq_worker_start (fixture->worker, &start);
      start.slot = SLOT + 1;
      start.ref.call++;
      mq_worker_start (fixture->worker, &start);
      wait_for_running (fixture, cases[i].running);
      mq_worker_stop (fixture->worker, SLOT + 1);
      wait_for (fixture, &fixture->dones, cases[i].reported);
      mq_worker_destroy (fixture->worker);
      fixture->worker = NULL;
      let_pass (fixture, 100);
      cr_expect_eq (fixture->dones, cases[i].reported, "%s: reported %u",
                    cases[i].name, fixture->dones);
      wait_for_running (fixture, 0);
      fixture_destroy (fixture);
    }
}

/* Streams.  */

#define TEXT(text)                                                            \
  "data: {\"choices\":[{\"delta\":{\"content\":\"" text "\"}}]}\n\n"
#define END                                                                   \
  "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"           \
  "\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":3,"                   \
  "\"cached_tokens\":4}}\n\n"
#define DONE "data: [DONE]\n\n"

/* Maximum number of connections to the engine played by the test.  */
#define ENDS 4

/* Returns the socket on which the model call arrived.  */
static int
accept_call (struct fixture *fixture, int listening, int *ends)
{
  int count = 0;

  for (;;)
    {
      char request[4096] = "";

      let_pass (fixture, 5);
      if (count < ENDS)
        ends[count] = accept (listening, NULL, NULL);
      if (count < ENDS && ends[count] >= 0)
        count++;
      for (int i = 0; i < count; i++)
        if (recv (ends[i], request, sizeof request - 1, MSG_DONTWAIT) > 0
            && strstr (request, "/v1/chat/completions") != NULL)
          return ends[i];
    }
}

/* If the process is suspended past the timeout of a call, a response that
   arrived in time must still be read before the timeout is handled.  */
Test (worker, response_in_time_after_suspension)
{
  static const char answer[]
      = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" TEXT ("abc") END DONE;
  struct fixture *fixture = fixture_create ();
  struct mq_start start = make_start (ANSWER_40, STALLED_MS - 200);
  int listening = mq_listen_open ("127.0.0.1:0", NULL);
  int ends[ENDS] = { -1, -1, -1, -1 };
  int fd;

  add_worker (fixture, MQ_SERVICE_MODEL, mq_listen_port (listening), 0);
  mq_worker_start (fixture->worker, &start);
  fd = accept_call (fixture, listening, ends);
  cr_assert_eq (send (fd, answer, sizeof answer - 1, MSG_NOSIGNAL),
                (ssize_t)sizeof answer - 1);
  shutdown (fd, SHUT_WR);
  usleep (STALLED_MS * 1000);
  wait_for (fixture, &fixture->dones, 1);
  cr_expect_eq (fixture->done.error, MQ_ERR_NONE, "%s",
                mq_error_name (fixture->done.error));
  cr_expect_str_eq (fixture->text, "abc");
  for (int i = 0; i < ENDS; i++)
    if (ends[i] >= 0)
      close (ends[i]);
  close (listening);
  fixture_destroy (fixture);
}

static void
append_text (const char *text, void *user)
{
  char **all = user;

  *all = talloc_strdup_append (*all, text);
}

/* The result does not depend on how the stream is split into chunks.  */
Test (worker_stream, split_anywhere)
{
  static const struct
  {
    const char *data;
    const char *text;
    enum mq_worker_stream_state state;
    struct mq_worker_usage usage;
  } cases[] = {
    { TEXT ("ab\\u00e9") TEXT ("cd") END DONE,
      "ab\u00e9cd",
      MQ_WORKER_STREAM_WHOLE,
      { 9, 3, 4 } },
    { ": comment\r\n\r\ndata:{\"choices\":[]}\r\n\r\n" END DONE,
      "",
      MQ_WORKER_STREAM_WHOLE,
      { 9, 3, 4 } },
    { TEXT ("abcde") TEXT ("fgh"),
      "abcdefgh",
      MQ_WORKER_STREAM_OPEN,
      { 0, 2, 0 } },
    { TEXT ("abcde") "data: {\"choices\":[{\"del",
      "abcde",
      MQ_WORKER_STREAM_OPEN,
      { 0, 2, 0 } },
    { TEXT ("a") END, "a", MQ_WORKER_STREAM_OPEN, { 9, 3, 4 } },
    { TEXT ("a") DONE, "a", MQ_WORKER_STREAM_BAD, { 0, 1, 0 } },
    { TEXT ("a") "data: {bad\n\n" END DONE,
      "a",
      MQ_WORKER_STREAM_BAD,
      { 9, 3, 4 } },
    { "data: "
      "{\"choices\":[{\"delta\":{\"tool_calls\":[{\"id\":\"1\"}]}}]}\n\n" END
          DONE,
      "",
      MQ_WORKER_STREAM_BAD,
      { 9, 3, 4 } },
    { TEXT ("a") END DONE TEXT ("late"),
      "a",
      MQ_WORKER_STREAM_WHOLE,
      { 9, 3, 4 } },
    { "", "", MQ_WORKER_STREAM_OPEN, { 0, 0, 0 } },
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    for (size_t piece = 1; piece <= 64; piece++)
      {
        struct mq_worker_stream *stream = mq_worker_stream_create (NULL);
        char *text = talloc_strdup (NULL, "");
        size_t len = strlen (cases[i].data);
        struct mq_worker_usage usage;

        for (size_t at = 0; at < len; at += piece)
          mq_worker_stream_feed (stream, cases[i].data + at,
                                 len - at < piece ? len - at : piece,
                                 append_text, &text);
        usage = mq_worker_stream_usage (stream);
        cr_expect_eq (mq_worker_stream_state (stream), cases[i].state,
                      "case %zu piece %zu", i, piece);
        cr_expect_str_eq (text, cases[i].text, "case %zu", i);
        cr_expect (usage.tokens_in == cases[i].usage.tokens_in
                       && usage.tokens_out == cases[i].usage.tokens_out
                       && usage.cached_tokens == cases[i].usage.cached_tokens,
                   "case %zu piece %zu", i, piece);
        talloc_free (text);
        talloc_free (stream);
      }
}
