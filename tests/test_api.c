/* test_api.c - HTTP API of an entry host: requests to the front and responses
   to callers.

   Uses a real HTTP server and client on the loopback interface, and a front
   that replays scripted events.
   Needs: Criterion, api.h, http_client.h.  */

#include "core/id.h"
#include "entry/api.h"
#include "entry/api_plan.h"
#include "net/http_client.h"
#include <criterion/criterion.h>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <string.h>

enum
{
  EVENTS_MAX = 8,
  CALL_SHIFT = 16
};

/* The organisations' API keys are "key-of-hr" and "key-of-leads".  */
static const char source[]
    = "[site]\nname = test\n"
      "[organisation hr]\nkey_sha256 = %s\n"
      "[organisation leads]\nkey_sha256 = %s\n"
      "[service models]\nkind = model\nmodel = m\ntimeout_ms = 60000\n"
      "[service records]\nkind = plain\ntimeout_ms = 60000\n"
      "[route records.read]\npath = /read\nidempotent = yes\n"
      "[service rooms]\nkind = tool\ntimeout_ms = 60000\npath = "
      "/rooms\nidempotent = yes\n"
      "[service guide]\nkind = agent\ndepends = models, records, rooms\n"
      "budget_seconds = 100\n";

static void
hash_key (const char *key, uint8_t hash[MQ_KEY_BYTES])
{
  cr_assert_eq (gnutls_hash_fast (GNUTLS_DIG_SHA256, key, strlen (key), hash),
                0);
}

static char *
hash_hex (TALLOC_CTX *ctx, const char *key)
{
  uint8_t hash[MQ_KEY_BYTES];
  char *text = talloc_strdup (ctx, "");

  hash_key (key, hash);
  for (size_t i = 0; i < MQ_KEY_BYTES; i++)
    text = talloc_asprintf_append (text, "%02x", hash[i]);
  return text;
}

static struct mq_text *
make_text (TALLOC_CTX *ctx)
{
  struct mq_text_errors errors = { 0 };
  char *text = talloc_asprintf (ctx, source, hash_hex (ctx, "key-of-hr"),
                                hash_hex (ctx, "key-of-leads"));
  struct mq_text *parsed = mq_text_parse (ctx, text, strlen (text), &errors);

  cr_assert_not_null (parsed, "line %u: %s", errors.items[0].line,
                      errors.items[0].subject);
  return parsed;
}

/* Parsing of requests.  */

#define ID "00112233445566778899aabbccddeeff"

#define PROGRAM "/v1/programs/" ID
#define CALLS PROGRAM "/calls"
#define TURNS PROGRAM "/turns"
#define CHATS "/v1/chat/completions"

struct plan_case
{
  const char *method; /* NULL: POST */
  const char *path;   /* NULL: /v1/programs */
  const char *body;
  const char *key;
  const char *program;
  const char *after;
  const char *wait;
  const char *cancel;
  const char *accept;
  const char *timeout_ms;
  /* Expected error, or the expected request as text.  */
  enum mq_error_type error;
  const char *expect;
};

static const struct plan_case plan_cases[] = {
  { .key = "k",
    .body = "{\"service\":\"guide\",\"input\":\"hello\"}",
    .expect = "json open guide key=k "
              "{\"input\":\"hello\",\"keep_open\":false} wait=130000" },
  { .body = "{\"service\":\"guide\",\"input\":\"\",\"keep_open\":true,"
            "\"stream\":true,\"continues\":\"" ID "\"}",
    .expect = "stream open guide key=generated continues=" ID
              " {\"input\":\"\",\"keep_open\":true} wait=130000" },
  { .accept = "text/event-stream",
    .timeout_ms = "5000",
    .body = "{\"service\":\"guide\",\"input\":\"x\"}",
    .expect = "stream open guide key=generated "
              "{\"input\":\"x\",\"keep_open\":false} wait=5000" },
  { .accept = "text/event-stream",
    .body = "{\"service\":\"guide\",\"input\":\"x\",\"wait\":false}",
    .expect = "accept open guide key=generated "
              "{\"input\":\"x\",\"keep_open\":false} wait=130000" },
  { .body = "{\"service\":\"guide\",\"driver\":\"caller\"}",
    .expect = "create create guide key=generated {} wait=130000" },
  { .body = "{\"service\":\"records\",\"route\":\"read\","
            "\"arguments\":{\"id\":7}}",
    .expect = "json open records/read key=generated "
              "{\"arguments\":{\"id\":7}} wait=150000" },
  { .body = "{\"service\":\"models\",\"input\":\"x\",\"max_tokens\":9}",
    .expect = "json open models key=generated max=9 {\"input\":\"x\"} "
              "wait=150000" },
  { .path = "/v1/services/records/read",
    .body = "{\"id\":7}",
    .expect = "json open records/read key=generated "
              "{\"arguments\":{\"id\":7}} wait=150000" },
  { .path = "/v1/services/rooms",
    .body = "",
    .expect = "json open rooms key=generated {\"arguments\":{}} "
              "wait=150000" },
  { .path = CALLS,
    .body = "{\"service\":\"models\",\"sequence\":3,"
            "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
    .expect = "json step models program=" ID " sequence=3 "
              "{\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]} "
              "wait=150000" },
  { .path = CALLS,
    .body = "{\"service\":\"rooms\"}",
    .expect = "json step rooms program=" ID
              " key=generated {\"arguments\":{}} wait=150000" },
  { .path = TURNS,
    .key = "t1",
    .body = "{\"input\":\"and then?\"}",
    .expect = "json turn program=" ID " key=t1 {\"input\":\"and then?\"} "
              "wait=3600000" },
  { .method = "GET",
    .path = PROGRAM,
    .expect = "json get program=" ID " {} wait=3600000" },
  { .method = "GET",
    .path = PROGRAM,
    .wait = "1",
    .expect = "json get+events program=" ID " {} wait=3600000" },
  { .method = "GET",
    .path = PROGRAM,
    .after = "65539",
    .accept = "text/event-stream",
    .expect = "stream get+events program=" ID " after=65539 {} "
              "wait=3600000" },
  { .method = "GET",
    .path = "/v1/programs/" ID "/history",
    .expect = "json get /history program=" ID " {} wait=3600000" },
  { .method = "DELETE",
    .path = PROGRAM,
    .expect = "json close program=" ID " {} wait=3600000" },
  { .method = "DELETE",
    .path = PROGRAM,
    .cancel = "1",
    .expect = "json cancel program=" ID " {} wait=3600000" },
  { .path = CHATS,
    .program = ID,
    .key = "c",
    .body = "{\"model\":\"models\",\"temperature\":0.5,\"messages\":[]}",
    .expect
    = "chat step models program=" ID " key=c {\"messages\":[]} wait=150000" },
  { .path = CHATS,
    .key = "c",
    .body = "{\"model\":\"models\",\"stream\":true,\"messages\":[]}",
    .expect = "chat-stream create guide key=c {} then "
              "step+events models sequence=1 {\"messages\":[]} "
              "wait=150000" },
  /* Invalid requests.  */
  { .body = "{\"service\":\"guide\"", .error = MQ_ERR_BAD_JSON },
  { .body = "[1]", .error = MQ_ERR_BAD_JSON },
  { .body = "{\"service\":\"guide\",\"service\":\"guide\",\"input\":\"\"}",
    .error = MQ_ERR_BAD_JSON },
  { .body = "{\"service\":\"guide\",\"input\":\"x\",\"keepopen\":true}",
    .error = MQ_ERR_BAD_REQUEST,
    .expect = "keepopen" },
  { .body = "{\"service\":\"guide\"}",
    .error = MQ_ERR_BAD_REQUEST,
    .expect = "input" },
  { .body = "{\"service\":\"guide\",\"input\":\"a\\u0000b\"}",
    .error = MQ_ERR_BAD_JSON },
  { .body = "{\"service\":\"guides\",\"input\":\"x\"}",
    .error = MQ_ERR_NOT_FOUND,
    .expect = "guides" },
  { .body = "{\"service\":\"guide\",\"input\":\"x\",\"continues\":\"12\"}",
    .error = MQ_ERR_NOT_FOUND,
    .expect = "12" },
  { .body = "{\"service\":\"records\",\"arguments\":{}}",
    .error = MQ_ERR_NOT_FOUND },
  { .body = "{\"service\":\"models\",\"messages\":[]}",
    .error = MQ_ERR_BAD_REQUEST,
    .expect = "messages" },
  { .body = "{\"service\":\"models\",\"driver\":\"caller\"}",
    .error = MQ_ERR_BAD_REQUEST,
    .expect = "models" },
  { .path = CALLS,
    .body = "{\"service\":\"models\",\"input\":\"x\",\"messages\":[]}",
    .error = MQ_ERR_BAD_REQUEST,
    .expect = "messages" },
  { .path = CHATS,
    .body = "{\"model\":\"rooms\",\"messages\":[]}",
    .error = MQ_ERR_BAD_REQUEST },
  { .body = "{\"service\":\"rooms\",\"input\":\"x\"}",
    .error = MQ_ERR_BAD_REQUEST,
    .expect = "input" },
  { .path = CALLS,
    .body = "{\"service\":\"guide\",\"input\":\"x\"}",
    .error = MQ_ERR_BAD_REQUEST,
    .expect = "guide" },
  { .path = TURNS,
    .body = "{\"input\":\"x\",\"wait\":false}",
    .error = MQ_ERR_BAD_REQUEST,
    .expect = "wait" },
  { .path = CALLS,
    .body = "{\"service\":\"rooms\",\"sequence\":-1}",
    .error = MQ_ERR_BAD_REQUEST,
    .expect = "sequence" },
  { .key = "",
    .body = "{\"service\":\"guide\",\"input\":\"x\"}",
    .error = MQ_ERR_BAD_REQUEST,
    .expect = "Idempotency-Key" },
  { .method = "GET",
    .path = PROGRAM,
    .after = "-1",
    .error = MQ_ERR_BAD_REQUEST,
    .expect = "after" },
  { .method = "GET",
    .path = PROGRAM,
    .after = "4294967296",
    .error = MQ_ERR_BAD_REQUEST,
    .expect = "after" },
  { .method = "GET",
    .path = "/v1/programs/00112233445566778899AABBCCDDEEFF",
    .error = MQ_ERR_NOT_FOUND },
  { .method = "PUT", .path = PROGRAM, .error = MQ_ERR_NOT_FOUND },
  { .method = "GET", .path = "/", .error = MQ_ERR_NOT_FOUND },
  { .method = "GET", .path = "/v1/a/b/c/d/e/f", .error = MQ_ERR_NOT_FOUND },
};

static char *
request_words (TALLOC_CTX *ctx, const struct mq_request_msg *request,
               const char *generated, bool show_program)
{
  static const char *const names[]
      = { "open", "create", "step", "turn", "get", "close", "cancel" };
  char id[MQ_ID_TEXT];
  char *words = talloc_strdup (ctx, names[request->type]);

  if (request->stream && (request->type == MQ_REQUEST_GET || !show_program))
    words = talloc_strdup_append (words, "+events");
  if (request->service[0] != '\0')
    words = talloc_asprintf_append (words, " %s", request->service);
  if (request->route[0] != '\0')
    words = talloc_asprintf_append (words, "%s/%s",
                                    request->service[0] == '\0' ? " " : "",
                                    request->route);
  mq_id_format (request->program, id);
  if (show_program && request->type != MQ_REQUEST_OPEN
      && request->type != MQ_REQUEST_CREATE)
    words = talloc_asprintf_append (words, " program=%s", id);
  if (request->key[0] != '\0')
    words = talloc_asprintf_append (
        words, " key=%s",
        strcmp (request->key, generated) == 0 ? "generated" : request->key);
  if (request->sequence != 0)
    words = talloc_asprintf_append (words, " sequence=%u", request->sequence);
  if (request->max_tokens != 0)
    words = talloc_asprintf_append (words, " max=%u", request->max_tokens);
  if (request->after != 0)
    words = talloc_asprintf_append (words, " after=%u", request->after);
  mq_id_format (request->continues, id);
  if (!mq_id_is_zero (request->continues))
    words = talloc_asprintf_append (
        words, " continues=%s%s", id,
        request->program.hi == request->continues.hi ? "" : " elsewhere");
  return talloc_asprintf_append (words, " %s", request->body);
}

static char *
plan_words (TALLOC_CTX *ctx, const struct mq_api_plan *plan,
            const char *generated)
{
  static const char *const formats[]
      = { "json", "stream", "accept", "create", "chat", "chat-stream" };
  char *words
      = talloc_asprintf (ctx, "%s %s", formats[plan->format],
                         request_words (ctx, &plan->first, generated, true));

  if (plan->has_second)
    words = talloc_asprintf_append (
        words, " then %s",
        request_words (ctx, &plan->second, generated, false));
  return talloc_asprintf_append (words, " wait=%u", plan->wait_ms);
}

Test (api, plans)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_text *text = make_text (ctx);

  for (size_t i = 0; i < sizeof plan_cases / sizeof plan_cases[0]; i++)
    {
      const struct plan_case *row = &plan_cases[i];
      struct mq_api_http_input input
          = { .method = row->method == NULL ? "POST" : row->method };
      struct mq_error error = { 0 };
      struct mq_api_plan *plan;

      input.path = row->path == NULL ? "/v1/programs" : row->path;
      input.body = row->body == NULL ? "" : row->body;
      input.len = strlen (input.body);
      input.organisation = "hr";
      input.key = row->key;
      input.generated_key = "auto-1";
      input.traceparent = "";
      input.accept = row->accept;
      input.program = row->program;
      input.after = row->after;
      input.wait = row->wait;
      input.cancel = row->cancel;
      input.timeout_ms = row->timeout_ms;
      plan = mq_api_plan_create (ctx, text, &input, &error);
      cr_expect_eq (error.type, row->error, "%s %s %s: %s", input.method,
                    input.path, input.body, mq_error_name (error.type));
      if (plan != NULL && row->expect != NULL)
        cr_expect_str_eq (plan_words (ctx, plan, input.generated_key),
                          row->expect);
      if (plan == NULL && row->expect != NULL)
        cr_expect_str_eq (error.subject, row->expect);
    }
  talloc_free (ctx);
}

/* The program id depends only on organisation and idempotency key, so that a
   retry through another host opens the same program.  */
Test (api, same_key_opens_same_program)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_text *text = make_text (ctx);
  const char *organisations[] = { "hr", "hr", "leads" };
  struct mq_id ids[3];

  for (size_t i = 0; i < 3; i++)
    {
      struct mq_error error = { 0 };
      struct mq_api_http_input input
          = { .method = "POST", .path = "/v1/programs", .key = "day-1" };

      input.body = "{\"service\":\"guide\",\"input\":\"x\"}";
      input.len = strlen (input.body);
      input.organisation = organisations[i];
      input.generated_key = "";
      input.traceparent = "";
      ids[i] = mq_api_plan_create (ctx, text, &input, &error)->first.program;
    }
  cr_expect (mq_id_equal (ids[0], ids[1]));
  cr_expect (!mq_id_equal (ids[0], ids[2]));
  talloc_free (ctx);
}

/* The server, with a scripted front.  */

struct scripted
{
  const char *body; /* NULL ends the script */
  enum mq_event_type type;
  uint32_t number;
  uint32_t call;
  enum mq_error_type error;
  enum mq_ran ran;
  uint32_t retry_after_ms;
};

struct fixture
{
  struct tevent_context *ev;
  struct mq_http_client *client;
  struct mq_api *api;
  struct mq_text *text;
  const struct scripted *script; /* events of consecutive requests */
  size_t script_at;
  uint64_t handle;
  size_t requests;
  size_t gone;
  bool drained;
  bool is_ready;
  bool done;
  struct mq_http_result result;
  char *body;
};

/* Sends scripted events up to the one that ends the response.  */
static void
send_scripted_events (struct tevent_context *ev,
                      struct tevent_immediate *immediate, void *data)
{
  struct fixture *fixture = data;

  (void)ev;
  (void)immediate;
  for (size_t i = fixture->script_at; i < EVENTS_MAX; i++)
    {
      const struct scripted *row = &fixture->script[i];
      struct mq_event_msg event = { .handle = fixture->handle };

      if (row->body == NULL)
        return;
      fixture->script_at = i + 1;
      event.type = row->type;
      event.number = row->number;
      event.call = row->call;
      event.body = row->body;
      event.error = row->error;
      event.ran = row->ran;
      event.retry_after_ms = row->retry_after_ms;
      event.redirect = "";
      mq_api_event (fixture->api, &event);
      if (fixture->handle != event.handle)
        return;
    }
}

static void
on_request (uint64_t handle, uint32_t partition, uint32_t wait_ms,
            const struct mq_request_msg *request, void *user)
{
  struct fixture *fixture = user;

  (void)partition;
  (void)wait_ms;
  cr_expect_str_eq (request->organisation, "hr");
  cr_expect (mq_api_traceparent_valid (request->traceparent));
  fixture->handle = handle;
  fixture->requests++;
  tevent_schedule_immediate (tevent_create_immediate (fixture), fixture->ev,
                             send_scripted_events, fixture);
}

static void
on_gone (uint64_t handle, void *user)
{
  struct fixture *fixture = user;

  (void)handle;
  fixture->gone++;
}

static void
on_drain (void *user)
{
  struct fixture *fixture = user;

  fixture->drained = true;
}

static char *
on_text (TALLOC_CTX *ctx, void *user)
{
  (void)user;
  return talloc_strdup (ctx, "{\"shown\":true}");
}

static char *
on_spans (TALLOC_CTX *ctx, struct mq_id program, void *user)
{
  (void)user;
  (void)program;
  return talloc_strdup (ctx, "[]");
}

static void
on_span (const struct mq_span *span, void *user)
{
  (void)user;
  cr_expect_str_eq (span->name, "entry");
}

static bool
on_ready (void *user)
{
  struct fixture *fixture = user;

  return fixture->is_ready;
}

static uint64_t
on_now (void *user)
{
  (void)user;
  return 1;
}

static void
on_done (const struct mq_http_result *result, void *user)
{
  struct fixture *fixture = user;

  fixture->result = *result;
  talloc_free (fixture->body);
  fixture->body = talloc_strndup (fixture, result->body, result->len);
  fixture->done = true;
}

static struct fixture *
fixture_create (void)
{
  struct fixture *fixture = talloc_zero (NULL, struct fixture);
  struct mq_api_callbacks callbacks = { .request = on_request,
                                        .gone = on_gone,
                                        .drain = on_drain,
                                        .metrics = on_text,
                                        .status = on_text,
                                        .spans = on_spans,
                                        .span = on_span,
                                        .ready = on_ready,
                                        .now_us = on_now,
                                        .user = fixture };
  struct mq_api_options options = { .boot = 5 };
  struct mq_error error = { 0 };

  options.http.address = "127.0.0.1:0";
  hash_key ("operator", options.operator_key_hash);
  fixture->ev = tevent_context_init (fixture);
  fixture->client = mq_http_client_create (fixture, fixture->ev, &error);
  fixture->api
      = mq_api_create (fixture, fixture->ev, &options, &callbacks, &error);
  cr_assert_not_null (fixture->api);
  fixture->text = make_text (fixture);
  fixture->is_ready = true;
  mq_api_set_text (fixture->api, fixture->text);
  return fixture;
}

static void
fixture_destroy (struct fixture *fixture)
{
  mq_http_client_destroy (fixture->client);
  mq_api_destroy (fixture->api);
  talloc_free (fixture);
}

static struct mq_http_call *
begin (struct fixture *fixture, const char *method, const char *path,
       const char *const *headers, const char *body)
{
  struct mq_http_send send = { .method = method, .timeout_ms = 60000 };

  send.url = talloc_asprintf (fixture, "http://127.0.0.1:%u%s",
                              mq_api_port (fixture->api), path);
  send.headers = headers;
  send.body = body;
  send.len = body == NULL ? 0 : strlen (body);
  send.done = on_done;
  send.user = fixture;
  fixture->done = false;
  return mq_http_client_send (fixture->client, &send);
}

static void
call (struct fixture *fixture, const char *method, const char *path,
      const char *const *headers, const char *body)
{
  begin (fixture, method, path, headers, body);
  while (!fixture->done)
    tevent_loop_once (fixture->ev);
  cr_assert_eq (fixture->result.error, MQ_ERR_NONE, "%s %s", method, path);
}

/* The whole text of an answer.  OPENID is the program that hr opens with
   the key "k": 16 and 16 digits that the test works out.  */

#define TOKEN(c, i, text)                                                     \
  {                                                                           \
    .type = MQ_EVENT_TOKEN, .number = (c) << CALL_SHIFT | ((i) + 1),          \
    .call = (c), .body = (text)                                               \
  }
#define ACCEPTED                                                              \
  {                                                                           \
    .type = MQ_EVENT_ACCEPTED, .body = "{\"program\":\"P\"}"                  \
  }
#define RESET(c)                                                              \
  {                                                                           \
    .type = MQ_EVENT_RESET, .number = (c) << CALL_SHIFT, .call = (c),         \
    .body = "{}"                                                              \
  }
#define STEP(c, json)                                                         \
  {                                                                           \
    .type = MQ_EVENT_STEP, .number = (c) << CALL_SHIFT | 0xffff, .call = (c), \
    .body = (json)                                                            \
  }
#define FINAL(json)                                                           \
  {                                                                           \
    .type = MQ_EVENT_FINAL, .number = 2 << CALL_SHIFT, .body = (json)         \
  }
#define REFUSED(e, r, ms)                                                     \
  {                                                                           \
    .type = MQ_EVENT_REFUSED, .error = (e), .ran = (r),                       \
    .retry_after_ms = (ms), .body = ""                                        \
  }

#define OPEN "{\"service\":\"guide\",\"input\":\"x\"}"
#define OPEN_STREAM "{\"service\":\"guide\",\"input\":\"x\",\"stream\":true}"
#define OPEN_LEAVE "{\"service\":\"guide\",\"input\":\"x\",\"wait\":false}"
#define CREATE "{\"service\":\"guide\",\"driver\":\"caller\"}"
#define CHAT "{\"model\":\"models\",\"messages\":[]}"
#define CHAT_STREAM "{\"model\":\"models\",\"messages\":[],\"stream\":true}"
#define DONE "{\"answer\":\"ab\",\"status\":\"waiting\"}"

/* The answer of a step is the engine's body as a JSON string.  */
#define ASKS_CALL                                                             \
  "{\"answer\":\"{\\\"content\\\":\\\"\\\",\\\"tool_calls\\\":["              \
  "{\\\"id\\\":\\\"i\\\",\\\"name\\\":\\\"n\\\",\\\"arguments\\\":\\\"{}"     \
  "\\\"}]}\"}"
#define STEP_DONE "{\"answer\":\"{\\\"content\\\":\\\"ab\\\"}\"}"

struct answer_case
{
  const char *name;
  const char *method; /* NULL: POST */
  const char *path;   /* NULL: /v1/programs */
  const char *body;
  struct scripted script[EVENTS_MAX];
  int status;
  uint32_t retry_after_ms;
  const char *has[4];
  const char *has_not;
};

static const struct answer_case answer_cases[] = {
  { .name = "one JSON response",
    .body = OPEN,
    .script = { ACCEPTED, TOKEN (1, 0, "a"), FINAL (DONE) },
    .status = 200,
    .has = { DONE } },
  { .name = "stream of all events",
    .body = OPEN_STREAM,
    .script = { ACCEPTED, TOKEN (1, 0, "a\n\"b"), RESET (1), TOKEN (1, 0, "c"),
                STEP (1, "{\"call\":1}"), FINAL (DONE) },
    .status = 200,
    .has = { "event: accepted\ndata: {\"program\":\"P\"}\n\n"
             "id: 65537\nevent: token\n"
             "data: {\"call\":1,\"text\":\"a\\n\\\"b\"}\n\n"
             "id: 65536\nevent: reset\ndata: {\"call\":1}\n\n"
             "id: 65537\nevent: token\ndata: {\"call\":1,\"text\":\"c\"}\n\n"
             "id: 131071\nevent: step\ndata: {\"call\":1}\n\n"
             "id: 131072\nevent: final\ndata: " DONE "\n\n" } },
  { .name = "refusal before the first event sets the HTTP status",
    .body = OPEN_STREAM,
    .script = { REFUSED (MQ_ERR_OVERLOADED, MQ_RAN_NOT_RUN, 1500) },
    .status = 429,
    .retry_after_ms = 2000,
    .has = { "\"error\":\"overloaded\"", "\"ran\":\"not_run\"",
             "\"retry_after_ms\":1500", "\"program\":\"" } },
  { .name = "refusal during a stream is its last event",
    .body = OPEN_STREAM,
    .script = { ACCEPTED, REFUSED (MQ_ERR_BUDGET_TOKENS, MQ_RAN_RAN, 0) },
    .status = 200,
    .has = { "event: refused\ndata: {\"error\":\"budget_tokens\","
             "\"ran\":\"ran\"" } },
  { .name = "accepted without waiting",
    .body = OPEN_LEAVE,
    .script = { ACCEPTED },
    .status = 202,
    .has = { "\"status\":\"running\"" } },
  { .name = "created, driven by the caller",
    .body = CREATE,
    .script = { ACCEPTED },
    .status = 201,
    .has = { "\"status\":\"waiting\"" } },
  { .name = "program cancelled by this request",
    .method = "DELETE",
    .path = PROGRAM "?cancel=1",
    .script = { REFUSED (MQ_ERR_CANCELLED, MQ_RAN_RAN, 0) },
    .status = 200,
    .has = { "{\"program\":\"" ID "\",\"status\":\"ended\"}" } },
  { .name = "program cancelled by another request",
    .method = "GET",
    .path = PROGRAM,
    .script = { REFUSED (MQ_ERR_CANCELLED, MQ_RAN_RAN, 0) },
    .status = 499,
    .has = { "\"error\":\"cancelled\"" } },
  { .name = "chat: creates a program, then sends the step",
    .path = CHATS,
    .body = CHAT,
    .script = { ACCEPTED, FINAL (STEP_DONE) },
    .status = 200,
    .has = { "\"object\":\"chat.completion\"",
             "\"message\":{\"role\":\"assistant\",\"content\":\"ab\"},"
             "\"finish_reason\":\"stop\"" } },
  { .name = "chat: tool calls",
    .path = CHATS,
    .body = CHAT,
    .script = { ACCEPTED, FINAL (ASKS_CALL) },
    .status = 200,
    .has = { "\"finish_reason\":\"tool_calls\"",
             "\"function\":{\"name\":\"n\",\"arguments\":\"{}\"}" } },
  { .name = "chat: program creation refused",
    .path = CHATS,
    .body = CHAT,
    .script = { REFUSED (MQ_ERR_OVERLOADED, MQ_RAN_NOT_RUN, 0) },
    .status = 429 },
  { .name = "chat: result is not a model response",
    .path = CHATS,
    .body = CHAT,
    .script = { ACCEPTED, FINAL ("{}") },
    .status = 502,
    .has = { "bad_answer" } },
  { .name = "chat stream: complete",
    .path = CHATS,
    .body = CHAT_STREAM,
    .script = { ACCEPTED, TOKEN (1, 0, "a"), FINAL (STEP_DONE) },
    .status = 200,
    .has = { "\"delta\":{\"content\":\"a\"}", "\"delta\":{\"content\":\"b\"}",
             "\"finish_reason\":\"stop\"", "data: [DONE]\n\n" } },
  { .name = "chat stream: restarted with the same text",
    .path = CHATS,
    .body = CHAT_STREAM,
    .script = { ACCEPTED, TOKEN (1, 0, "a"), RESET (1), TOKEN (1, 0, "a"),
                FINAL (DONE) },
    .status = 200,
    .has = { "\"delta\":{\"content\":\"b\"}", "data: [DONE]\n\n" } },
  { .name = "chat stream: restarted with different text, ends with an error",
    .path = CHATS,
    .body = CHAT_STREAM,
    .script = { ACCEPTED, TOKEN (1, 0, "x"), RESET (1), TOKEN (1, 0, "a"),
                FINAL (DONE) },
    .status = 200,
    .has = { "data: {\"error\":{\"error\":\"bad_answer\"" },
    .has_not = "[DONE]" },
};

static const char *const hr_headers[]
    = { "Authorization: Bearer key-of-hr", "Idempotency-Key: k",
        "Content-Type: application/json", NULL };

Test (api, answers)
{
  struct fixture *fixture = fixture_create ();

  for (size_t i = 0; i < sizeof answer_cases / sizeof answer_cases[0]; i++)
    {
      const struct answer_case *row = &answer_cases[i];

      fixture->script = row->script;
      fixture->script_at = 0;
      call (fixture, row->method == NULL ? "POST" : row->method,
            row->path == NULL ? "/v1/programs" : row->path, hr_headers,
            row->body);
      cr_expect_eq (fixture->result.status, row->status, "%s: %d", row->name,
                    fixture->result.status);
      cr_expect_eq (fixture->result.retry_after_ms, row->retry_after_ms, "%s",
                    row->name);
      for (size_t j = 0; j < 4 && row->has[j] != NULL; j++)
        cr_expect_not_null (strstr (fixture->body, row->has[j]),
                            "%s: no %s in %s", row->name, row->has[j],
                            fixture->body);
      cr_expect (row->has_not == NULL
                     || strstr (fixture->body, row->has_not) == NULL,
                 "%s: %s", row->name, fixture->body);
    }
  while (mq_api_in_progress (fixture->api) > 0)
    tevent_loop_once (fixture->ev);
  fixture_destroy (fixture);
}

/* Access control: callers need their organisation's key, operators the
   operators' key, health endpoints none.  */

enum fixture_state
{
  READY,
  NOT_READY,
  WITHOUT_TEXT,
  LEAVING
};

static const struct
{
  enum fixture_state state;
  int status;
  const char *method;
  const char *path;
  const char *key;
  const char *has;
} access_cases[] = {
  { READY, 200, "GET", "/healthz", NULL, "alive" },
  { READY, 200, "GET", "/readyz", NULL, "ready" },
  { READY, 200, "GET", "/metrics", NULL, "shown" },
  { READY, 401, "GET", PROGRAM, NULL, "\"ran\":\"not_run\"" },
  { READY, 401, "GET", PROGRAM, "key-of-nobody", "unauthorised" },
  { READY, 401, "GET", PROGRAM, "operator", "unauthorised" },
  { READY, 401, "GET", "/v1/admin/status", NULL, "unauthorised" },
  { READY, 401, "GET", "/v1/admin/status", "key-of-hr", "unauthorised" },
  { READY, 200, "GET", "/v1/admin/status", "operator", "shown" },
  { READY, 200, "GET", "/v1/admin/spans/" ID, "operator", "[]" },
  { READY, 404, "GET", "/v1/admin/spans/x", "operator", "not_found" },
  { READY, 404, "GET", "/v1/admin/other", "operator", "not_found" },
  { READY, 401, "POST", "/v1/admin/drain", "key-of-hr", "unauthorised" },
  { READY, 404, "POST", "/v1/nothing", "key-of-hr", "not_found" },
  { NOT_READY, 503, "GET", "/readyz", NULL, "not_ready" },
  { NOT_READY, 200, "GET", "/healthz", NULL, "alive" },
  { WITHOUT_TEXT, 503, "GET", PROGRAM, "key-of-hr", "not_ready" },
  { LEAVING, 503, "GET", "/readyz", NULL, "leaving" },
  { LEAVING, 503, "GET", PROGRAM, "key-of-hr", "leaving" },
  { LEAVING, 200, "GET", "/v1/admin/status", "operator", "shown" },
};

Test (api, access_control)
{
  for (size_t i = 0; i < sizeof access_cases / sizeof access_cases[0]; i++)
    {
      struct fixture *fixture = fixture_create ();
      const char *headers[2] = { NULL, NULL };

      if (access_cases[i].key != NULL)
        headers[0] = talloc_asprintf (fixture, "Authorization: Bearer %s",
                                      access_cases[i].key);
      fixture->is_ready = access_cases[i].state != NOT_READY;
      if (access_cases[i].state == WITHOUT_TEXT)
        mq_api_set_text (fixture->api, NULL);
      if (access_cases[i].state == LEAVING)
        mq_api_drain (fixture->api);
      call (fixture, access_cases[i].method, access_cases[i].path, headers,
            access_cases[i].method[0] == 'P' ? "{}" : NULL);
      cr_expect_eq (fixture->result.status, access_cases[i].status,
                    "row %zu: %d", i, fixture->result.status);
      cr_expect_not_null (strstr (fixture->body, access_cases[i].has),
                          "row %zu: %s", i, fixture->body);
      cr_expect_eq (fixture->requests, 0, "row %zu reached the front", i);
      fixture_destroy (fixture);
    }
}

/* A drain request is answered before the process stops.  */
Test (api, drain)
{
  struct fixture *fixture = fixture_create ();
  const char *headers[] = { "Authorization: Bearer operator", NULL };

  call (fixture, "POST", "/v1/admin/drain", headers, "");
  cr_expect_eq (fixture->result.status, 202);
  cr_expect (fixture->drained);
  fixture_destroy (fixture);
}

/* A caller that disconnects is reported to the front once, and a late event
   is counted as unknown.  */
Test (api, caller_disconnects)
{
  struct fixture *fixture = fixture_create ();
  static const struct scripted nothing[EVENTS_MAX] = { { 0 } };
  struct mq_event_msg late = { .type = MQ_EVENT_FINAL, .body = DONE };
  struct mq_http_call *open;

  fixture->script = nothing;
  open = begin (fixture, "POST", "/v1/programs", hr_headers, OPEN);
  while (fixture->requests == 0)
    tevent_loop_once (fixture->ev);
  mq_http_call_cancel (open);
  while (fixture->gone == 0)
    tevent_loop_once (fixture->ev);
  late.handle = fixture->handle;
  mq_api_event (fixture->api, &late);
  cr_expect_eq (fixture->gone, 1);
  cr_expect_eq (mq_api_read_counters (fixture->api)->events_unknown, 1);
  cr_expect_eq (mq_api_in_progress (fixture->api), 0);
  fixture_destroy (fixture);
}
