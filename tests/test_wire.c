/* test_wire.c - HTTP messages, the platform's wire format, the router's
   settings and its log.

   Needs: Criterion, http_message.h, router_wire.h, router_settings.h,
   json_log.h, jansson.  */

#include "net/http_message.h"
#include "log/json_log.h"
#include "router/router_settings.h"
#include "router/router_wire.h"
#include <criterion/criterion.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define COUNT_OF(table) (sizeof (table) / sizeof (table)[0])

/* Messages */

struct seen
{
  int heads;
  int ends;
  int status;
  bool until_close;
  char body[256];
};

static void
on_head (const struct mq_http_head *head, void *user)
{
  struct seen *seen = user;

  seen->heads++;
  seen->status = head->status;
  seen->until_close = head->until_close;
}

static void
on_body (const char *data, size_t len, void *user)
{
  struct seen *seen = user;

  strncat (seen->body, data, len);
}

static void
on_end (void *user)
{
  struct seen *seen = user;

  seen->ends++;
}

struct message_case
{
  const char *name;
  enum mq_http_side side;
  const char *text;
  enum mq_error_type error;
  int ends;
  const char *body;
  bool complete; /* if the connection ends after the text */
};

/* The result must not depend on how the bytes of a message are split.  */
Test (message, split_at_any_byte)
{
  static const struct message_case cases[] = {
    { "request", MQ_HTTP_REQUEST, "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
      MQ_ERR_NONE, 1, "", true },
    { "body", MQ_HTTP_REQUEST,
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
      MQ_ERR_NONE, 1, "abc", true },
    { "chunks", MQ_HTTP_REQUEST,
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
      MQ_ERR_NONE, 1, "abc", true },
    { "two in a row", MQ_HTTP_REQUEST,
      "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
      MQ_ERR_NONE, 2, "", true },
    { "two lengths", MQ_HTTP_REQUEST,
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
      MQ_ERR_BAD_REQUEST, 0, "", false },
    { "blank before the colon", MQ_HTTP_REQUEST,
      "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", MQ_ERR_BAD_REQUEST,
      0, "", false },
    { "answer", MQ_HTTP_RESPONSE,
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", MQ_ERR_NONE, 1, "ok",
      true },
    { "answer without a length", MQ_HTTP_RESPONSE, "HTTP/1.1 200 OK\r\n\r\nok",
      MQ_ERR_NONE, 0, "ok", true },
    { "answer cut in its body", MQ_HTTP_RESPONSE,
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", MQ_ERR_NONE, 0, "ok",
      false },
    { "answer cut in its head", MQ_HTTP_RESPONSE, "HTTP/1.1 200 OK\r\nCont",
      MQ_ERR_NONE, 0, "", false },
    { "answer cut in a chunk", MQ_HTTP_RESPONSE,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nok",
      MQ_ERR_NONE, 0, "ok", false },
    { "no content", MQ_HTTP_RESPONSE, "HTTP/1.1 204 No Content\r\n\r\n",
      MQ_ERR_NONE, 1, "", true },
    { "no answer", MQ_HTTP_RESPONSE, "\001\002\003\004", MQ_ERR_BAD_REQUEST, 0,
      "", false },
  };

  for (size_t i = 0; i < COUNT_OF (cases); i++)
    for (size_t cut = 0; cut <= strlen (cases[i].text); cut++)
      {
        struct seen seen = { .heads = 0 };
        struct mq_http_events events = { on_head, on_body, on_end, &seen };
        struct mq_http_reader *reader
            = mq_http_reader_create (NULL, cases[i].side, &events);
        struct mq_error error = { .type = MQ_ERR_NONE };

        for (int half = 0; half < 2 && error.type == MQ_ERR_NONE; half++)
          {
            const char *from = cases[i].text + (half == 0 ? 0 : cut);
            size_t len = half == 0 ? cut : strlen (from);

            while (len > 0 && error.type == MQ_ERR_NONE)
              {
                size_t used = mq_http_reader_feed (reader, from, len, &error);

                from += used;
                len -= used;
                if (mq_http_reader_at_end (reader))
                  mq_http_reader_next (reader);
              }
          }
        cr_assert_eq (error.type, cases[i].error, "%s: %s", cases[i].name,
                      error.subject);
        cr_assert_eq (seen.ends, cases[i].ends, "%s", cases[i].name);
        cr_assert_str_eq (seen.body, cases[i].body, "%s", cases[i].name);
        if (error.type == MQ_ERR_NONE && cut > 0
            && cut < strlen (cases[i].text))
          cr_assert_eq (mq_http_reader_finish (reader), cases[i].complete,
                        "%s", cases[i].name);
        mq_http_reader_destroy (reader);
      }
}

/* Platform */

static struct mq_bytes
bytes (const char *text)
{
  return (struct mq_bytes){ (uint8_t *)(uintptr_t)text, strlen (text) };
}

struct program_case
{
  const char *session_id; /* NULL: absent */
  const char *finish_ms;  /* NULL: absent */
  bool main_line;
  bool has_left;
  uint32_t left_ms;
};

/* Program fields are scheduling hints: a missing or invalid one counts as
   absent and never rejects the request.  */
Test (wire, program_fields_of_a_request)
{
  static const struct program_case cases[] = {
    { "3fa81c", "5200", true, true, 5200 },
    { "77d20b", "5200", false, true, 5200 },
    { NULL, NULL, false, false, 0 },
    { "3fa81c", "0", true, true, 0 },
    { "3fa81c", "", true, false, 0 },
    { "3fa81c", "-5", true, false, 0 },
    { "3fa81c", "5200x", true, false, 0 },
    { "3fa81c", "1e3", true, false, 0 },
    { "3fa81c", "99999999999", true, true, UINT32_MAX },
    { "3fa81", "12", false, true, 12 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct mq_http_field fields[4];
      struct mq_http_head head = { .fields = fields };
      struct mq_request_fields facts;

      fields[head.field_count++]
          = (struct mq_http_field){ .name = "X-Program-Id",
                                    .value = "3fa81c" };
      if (cases[i].session_id != NULL)
        fields[head.field_count++]
            = (struct mq_http_field){ .name = "X-Session-Id",
                                      .value = cases[i].session_id };
      if (cases[i].finish_ms != NULL)
        fields[head.field_count++]
            = (struct mq_http_field){ .name = "X-Finish-Ms",
                                      .value = cases[i].finish_ms };
      mq_wire_read_request_fields (&head, &facts);
      cr_expect_eq (facts.main_line, cases[i].main_line, "row %zu", i);
      cr_expect_eq (facts.has_left, cases[i].has_left, "row %zu", i);
      cr_expect_eq (facts.left_ms, cases[i].left_ms, "row %zu", i);
    }
}

struct load_text_case
{
  const char *text;
  bool invalid;
  bool has_load;
  uint32_t running;
  uint32_t waiting;
  uint32_t speed;
};

/* Guards against figures taken for a measurement that are none.  */
Test (wire, load_of_a_worker)
{
  static const struct load_text_case cases[] = {
    { NULL, false, false, 0, 0, 0 },
    { "3,1,8", false, true, 3, 1, 0 },
    { "3,1", false, true, 3, 1, 0 },
    { "0,0,8,100", false, true, 0, 0, 100 },
    { "3, 1, 8, 250", false, true, 3, 1, 250 },
    { "3,1,8,1", false, true, 3, 1, 1 },
    { "3,1,8,10000", false, true, 3, 1, 10000 },
    { "3,1,8,250,7", false, true, 3, 1, 250 },
    { "1000000,1000000,8", false, true, 1000000, 1000000, 0 },
    { "", true, false, 0, 0, 0 },
    { "3", true, false, 0, 0, 0 },
    { "3,", true, false, 0, 0, 0 },
    { ",1,8,100", true, false, 0, 0, 0 },
    { "3,x,8,100", true, false, 0, 0, 0 },
    { "3,1,,100", true, false, 0, 0, 0 },
    { "3,1,8,", true, false, 0, 0, 0 },
    { "3,1,8,x", true, false, 0, 0, 0 },
    { "3,1,8,0", true, false, 0, 0, 0 },
    { "3,1,8,-5", true, false, 0, 0, 0 },
    { "3,1,8,1.5", true, false, 0, 0, 0 },
    { "3,1,8,10001", true, false, 0, 0, 0 },
    { "3,1,8,99999999999999999999999", true, false, 0, 0, 0 },
    { "-1,1,8,100", true, false, 0, 0, 0 },
    { "1000001,0,8,100", true, false, 0, 0, 0 },
    { "4294967296,0,8,100", true, false, 0, 0, 0 },
    { "0,18446744073709551616,8,100", true, false, 0, 0, 0 },
  };

  for (size_t i = 0; i < COUNT_OF (cases); i++)
    {
      struct mq_http_field fields[1]
          = { { .name = "X-Server-Load", .value = cases[i].text } };
      struct mq_http_head head
          = { .status = 200,
              .fields = fields,
              .field_count = cases[i].text != NULL ? 1 : 0 };
      struct mq_response_fields facts;

      mq_wire_read_response_fields (&head, &facts);
      cr_expect_eq (facts.load_invalid, cases[i].invalid, "row %zu", i);
      cr_expect_eq (facts.has_load, cases[i].has_load, "row %zu", i);
      cr_expect_eq (facts.running, cases[i].running, "row %zu", i);
      cr_expect_eq (facts.waiting, cases[i].waiting, "row %zu", i);
      cr_expect_eq (facts.speed, cases[i].speed, "row %zu", i);
    }
}

Test (wire, configuration)
{
  static const char text[]
      = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"h\","
        "\"prefix\":\"/a/\",\"kind\":\"streaming\",\"timeoutMs\":6000,"
        "\"sloMs\":200,\"priority\":1,\"backends\":[{\"service\":\"s1\","
        "\"weight\":90},{\"service\":\"s2\",\"weight\":10}],\"attempts\":3,"
        "\"retain\":true,\"retainS\":60.0,\"sticky\":true,"
        "\"resumable\":true,\"gapAimMs\":150,\"later\":1}],\"services\":[{"
        "\"name\":\"s1\",\"maxConns\":360,\"engine\":{\"batchSize\":64,"
        "\"kvCapacity\":250801,\"tokensPerEvent\":2}}],\"limits\":{"
        "\"maxHeaderBytes\":1000,\"idleTimeoutMs\":15000}}";
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_route_table *table
      = mq_wire_read_config (NULL, bytes (text), &error);
  const struct mq_path_route *route;

  cr_assert_not_null (table, "%s", error.subject);
  route = &table->routes[0];
  cr_assert_eq (table->version, 7);
  cr_assert_eq (table->limits.header_bytes, 1000);
  cr_assert_eq (table->limits.idle_ms, 15000);
  cr_assert_eq (route->kind, MQ_ROUTE_STREAM);
  cr_assert (route->resumable && route->retains && route->sticky);
  cr_assert_eq (route->retain_s, 60);
  cr_assert_eq (route->attempts, 3);
  cr_assert_eq (route->backend_count, 2);
  cr_assert_str_eq (route->backends[1].service, "s2");
  cr_assert (table->services[0].engine);
  cr_assert_eq (table->services[0].tokens_per_event, 2);
  talloc_free (table);
}

struct bad_config_case
{
  const char *text;
  enum mq_error_type error;
  const char *subject;
};

/* An invalid configuration is rejected as a whole.  */
Test (wire, invalid_configurations_are_rejected)
{
  static const struct bad_config_case cases[] = {
    { "{", MQ_ERR_BAD_JSON, "configuration" },
    { "{\"version\":1,\"routes\":[{\"kind\":\"odd\",\"service\":\"s\"}]}",
      MQ_ERR_TEXT_BAD_VALUE, "kind" },
    { "{\"version\":1,\"routes\":[{\"kind\":\"idempotent\","
      "\"backends\":[]}]}",
      MQ_ERR_TEXT_MISSING, "backends" },
    { "{\"version\":1,\"services\":[]}", MQ_ERR_TEXT_MISSING, "routes" },
    { "{\"version\":1,\"routes\":[]}", MQ_ERR_TEXT_MISSING, "services" },
    { "{\"routes\":[],\"services\":[]}", MQ_ERR_TEXT_MISSING, "version" },
  };

  for (size_t i = 0; i < COUNT_OF (cases); i++)
    {
      struct mq_error error = { .type = MQ_ERR_NONE };

      cr_assert_null (
          mq_wire_read_config (NULL, bytes (cases[i].text), &error));
      cr_assert_eq (error.type, cases[i].error, "%s", cases[i].text);
      cr_assert_str_eq (error.subject, cases[i].subject);
    }
}

/* Parses TEXT in steps of STEP_BYTES.  */
static struct mq_route_table *
parse_in_steps (const char *text, size_t len, size_t step_bytes,
                struct mq_error *error)
{
  struct mq_bytes value = { (uint8_t *)(uintptr_t)text, len };
  struct mq_config_reader *reader = mq_wire_config_begin (NULL, value);
  enum mq_config_progress progress = MQ_CONFIG_MORE;
  struct mq_route_table *table = NULL;

  while (progress == MQ_CONFIG_MORE)
    progress = mq_wire_config_parse_some (reader, step_bytes, error);
  if (progress == MQ_CONFIG_COMPLETE)
    table = mq_wire_config_take_table (NULL, reader);
  talloc_free (reader);
  return table;
}

#define ROUTE "{\"kind\":\"streaming\",\"service\":\"s\"}"
#define CONFIG(routes) "{\"version\":1,\"services\":[],\"routes\":" routes "}"

/* The incremental parser accepts exactly the texts that jansson accepts, for
   any step size.  */
Test (wire, configuration_is_read_as_by_jansson)
{
  static const char *const cases[] = {
    CONFIG ("[]"),
    CONFIG ("[ \t\r\n]"),
    CONFIG ("[" ROUTE "]"),
    CONFIG ("[" ROUTE "," ROUTE "]"),
    CONFIG ("[" ROUTE ",]"),
    CONFIG ("[," ROUTE "]"),
    CONFIG ("[" ROUTE ",," ROUTE "]"),
    CONFIG ("[" ROUTE " " ROUTE "]"),
    CONFIG ("[,]"),
    CONFIG ("[" ROUTE "}"),
    CONFIG ("[" ROUTE "]]"),
    CONFIG ("[" ROUTE),
    CONFIG ("[" ROUTE "],"),
    CONFIG ("[" ROUTE "],\"more\":[1,[2,{\"a\":\"],[\"}]]"),
    CONFIG ("[" ROUTE "],\"more\":[1,[2,{\"a\":\"],[\"]]"),
    CONFIG ("[0],\"routes\":[" ROUTE "]"),
    CONFIG ("[0,1]"),
    CONFIG ("[0],\"routes\":[" ROUTE "],\"x\":[01]"),
    CONFIG ("[" ROUTE "],\"\\\"[\":[\"\\\\\",\"\\\"\"]"),
    CONFIG ("[" ROUTE "],\"a\":[\"\\x\"]"),
    CONFIG ("[" ROUTE "],\"a\":[\"\n\"]"),
    CONFIG ("[" ROUTE "]") " 1",
    CONFIG ("[[{]}]"),
    CONFIG ("[1]2"),
    CONFIG ("1[2]"),
    CONFIG ("{\"a\":[1]}"),
    "[[1,2],[3]]",
    "[[1,2],[3]",
    "]",
    "",
    "[",
    "\"",
    "[[",
    "{\"a\":[",
    "1",
    "{}",
    "{\"a\":[\"\xff\"]}",
    "{\"a\":[\"\\ud800\"]}",
  };

  for (size_t i = 0; i < COUNT_OF (cases); i++)
    {
      json_t *root = json_loads (cases[i], 0, NULL);
      struct mq_error whole_error = { .type = MQ_ERR_NONE };
      struct mq_error error = { .type = MQ_ERR_NONE };
      struct mq_route_table *whole
          = mq_wire_read_config (NULL, bytes (cases[i]), &whole_error);
      struct mq_route_table *table
          = parse_in_steps (cases[i], strlen (cases[i]), 1, &error);

      cr_expect_eq (error.type, whole_error.type, "%s", cases[i]);
      cr_expect_eq (table == NULL, whole == NULL, "%s", cases[i]);
      if (root == NULL)
        cr_expect_null (table, "%s", cases[i]);
      else
        cr_expect_neq (error.type, MQ_ERR_BAD_JSON, "%s", cases[i]);
      json_decref (root);
      talloc_free (whole);
      talloc_free (table);
    }
}

/* The nesting limit is that of jansson.  */
Test (wire, nesting_limit_of_a_configuration)
{
  for (size_t depth = 2040; depth < 2056; depth++)
    {
      char *text = talloc_strdup (NULL, "{\"version\":1,\"services\":[],"
                                        "\"routes\":[],\"more\":[");
      struct mq_error error = { .type = MQ_ERR_NONE };
      struct mq_route_table *table;
      json_t *root;

      for (size_t i = 0; i < depth; i++)
        text = talloc_strdup_append_buffer (text, "[");
      for (size_t i = 0; i < depth; i++)
        text = talloc_strdup_append_buffer (text, "]");
      text = talloc_strdup_append_buffer (text, "]}");
      root = json_loads (text, 0, NULL);
      table = parse_in_steps (text, strlen (text), 1, &error);
      cr_expect_eq (table == NULL, root == NULL, "depth %zu", depth);
      json_decref (root);
      talloc_free (table);
      talloc_free (text);
    }
}

#define STEP_BYTES ((size_t)16384)
/* A step parses whole chunks of 8 KB; the last one may exceed the bound.  */
#define STEP_MAX_BYTES (STEP_BYTES + 8192 + 200)

/* Steps are bounded whatever the size of the configuration, so that it does
   not block the event loop.  All routes are read in order, and truncated or
   malformed texts are rejected.  */
Test (wire, long_configuration_in_steps)
{
  static const uint32_t sizes[] = { 1, 50, 4250, 10000 };

  for (size_t i = 0; i < COUNT_OF (sizes); i++)
    {
      char *text = talloc_strdup (
          NULL, "{\"version\":1,\"services\":[],\"routes\":[");
      struct mq_error error = { .type = MQ_ERR_NONE };
      struct mq_config_reader *reader;
      struct mq_route_table *table;
      size_t before = 0;

      for (uint32_t j = 0; j < sizes[i]; j++)
        text = talloc_asprintf_append_buffer (
            text,
            "%s{\"name\":\"r%u\",\"host\":\"h\",\"prefix\":\"/p%u/\","
            "\"kind\":\"idempotent\",\"service\":\"s%u\"}",
            j == 0 ? "" : ",", j, j, j);
      cr_expect_null (parse_in_steps (text, strlen (text), 1, &error));
      text = talloc_strdup_append_buffer (text, "]}");
      reader = mq_wire_config_begin (NULL, bytes (text));
      while (mq_wire_config_parse_some (reader, STEP_BYTES, &error)
             == MQ_CONFIG_MORE)
        {
          size_t done = mq_wire_config_parsed_bytes (reader);

          cr_assert_leq (done - before, STEP_MAX_BYTES);
          before = done;
        }
      table = mq_wire_config_take_table (NULL, reader);
      cr_assert_eq (table->route_count, sizes[i]);
      for (uint32_t j = 0; j < sizes[i]; j++)
        {
          char name[16];

          snprintf (name, sizeof name, "s%u", j);
          cr_assert_str_eq (table->routes[j].name + 1, name + 1);
          cr_assert_str_eq (table->routes[j].backends[0].service, name);
        }
      talloc_free (reader);
      talloc_free (table);
      text[strlen (text) - 2] = ',';
      cr_expect_null (parse_in_steps (text, strlen (text), 1, &error));
      talloc_free (text);
    }
}

Test (wire, worker)
{
  struct mq_fleet_member member;
  struct mq_error error = { .type = MQ_ERR_NONE };
  TALLOC_CTX *ctx = talloc_new (NULL);

  cr_assert (mq_wire_read_worker (
      ctx, "i-1",
      bytes ("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
             "\"batchSize\":64,\"state\":\"ready\",\"seq\":4}"),
      &member, &error));
  cr_assert_str_eq (member.id, "i-1");
  cr_assert_str_eq (member.data_centre, "z");
  cr_assert_eq (member.slots, 64);
  cr_assert_not (member.leaving);
  cr_assert (mq_wire_read_worker (
      ctx, "i-1", bytes ("{\"service\":\"s\",\"state\":\"draining\"}"),
      &member, &error));
  cr_assert (member.leaving);
  cr_assert_not (
      mq_wire_read_worker (ctx, "i-1", bytes ("no"), &member, &error));
  cr_assert_not (mq_wire_read_worker (
      ctx, "i-1", bytes ("{\"service\":\"s\",\"state\":\"ready\"}"), &member,
      &error));
  cr_assert_eq (error.type, MQ_ERR_TEXT_MISSING);
  talloc_free (ctx);
}

/* Another writer may corrupt a worker's registry entry.  An entry with missing
   or mistyped fields must be rejected, so that no request goes to an address
   that the worker did not publish.  */

struct entry_case
{
  const char *entry;
  const char *invalid; /* reported field; NULL: the entry is valid */
};

#define VALID_WORKER                                                          \
  "\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","             \
  "\"batchSize\":4,\"state\":\"ready\""
#define WORKER_WITHOUT_STATE                                                  \
  "\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","             \
  "\"batchSize\":4"

Test (wire, corrupt_worker_entries_are_rejected)
{
  static const struct entry_case cases[] = {
    { "{" VALID_WORKER "}", NULL },
    { "{" VALID_WORKER ",\"born\":1772230200004}", NULL },
    { "{" VALID_WORKER ",\"born\":1.5}", "born" },
    { "{" VALID_WORKER ",\"born\":\"1772230200004\"}", "born" },
    { "{" VALID_WORKER ",\"born\":-4}", "born" },
    { "{" VALID_WORKER ",\"born\":99999999999999}", "born" },
    { "{" VALID_WORKER ",\"born\":null}", "born" },
    { "{" WORKER_WITHOUT_STATE "}", "state" },
    { "{" WORKER_WITHOUT_STATE ",\"state\":\"idle\"}", "state" },
    { "{" WORKER_WITHOUT_STATE ",\"state\":1}", "state" },
    { "{\"service\":7,\"state\":\"ready\"}", "service" },
    { "{\"service\":\"s\",\"state\":\"ready\"}", "address" },
    { "{\"service\":\"s\",\"address\":\"worker:80\",\"zone\":\"z\","
      "\"batchSize\":4,\"state\":\"ready\"}",
      "address" },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"z\","
      "\"batchSize\":4,\"state\":\"ready\"}",
      "address" },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":[],"
      "\"batchSize\":4,\"state\":\"ready\"}",
      "zone" },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"batchSize\":-1,\"state\":\"ready\"}",
      "batchSize" },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"batchSize\":4e9,\"state\":\"ready\"}",
      "batchSize" },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"state\":\"ready\"}",
      "batchSize" },
    { "{" VALID_WORKER ",\"state\":\"ready\"}", "a JSON object" },
    { "[{" VALID_WORKER "}]", "a JSON object" },
    { "\xff\xfe", "a JSON object" },
    { "", "a JSON object" },
    { "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[", "a JSON object" },
  };
  struct mq_fleet_member member;

  for (size_t i = 0; i < COUNT_OF (cases); i++)
    {
      struct mq_error error = { .type = MQ_ERR_NONE };
      TALLOC_CTX *ctx = talloc_new (NULL);
      bool ok = mq_wire_read_worker (ctx, "i-1", bytes (cases[i].entry),
                                     &member, &error);

      cr_assert_eq (ok, cases[i].invalid == NULL, "%s", cases[i].entry);
      if (!ok)
        {
          cr_assert_str_eq (error.subject, "i-1");
          cr_assert_str_eq (error.allowed, cases[i].invalid, "%s",
                            cases[i].entry);
        }
      talloc_free (ctx);
    }
}

/* Settings */

struct settings_case
{
  const char *name;
  const char *text;
  enum mq_error_type error;
  uint32_t line; /* of the error */
};

#define VALID_SETTINGS                                                        \
  "[router]\nhost = e-1\ndata_centre = a\nhttp = 10.0.0.1:80\n"               \
  "ready = 10.0.0.1:81\npeer = 10.0.0.1:83\ntable = 10.0.0.2:82\n"

/* The first error is reported with its line.  */
Test (settings, validated_completely)
{
  static const struct settings_case cases[] = {
    { "good", VALID_SETTINGS, MQ_ERR_NONE, 0 },
    { "fraction", VALID_SETTINGS "stop_seconds = 7.5\n", MQ_ERR_NONE, 0 },
    { "bad time", VALID_SETTINGS "stop_seconds = soon\n",
      MQ_ERR_TEXT_BAD_VALUE, 8 },
    { "unknown key", VALID_SETTINGS "colour = red\n", MQ_ERR_TEXT_UNKNOWN_KEY,
      8 },
    { "too little memory", VALID_SETTINGS "memory_mb = 1\n",
      MQ_ERR_TEXT_BAD_VALUE, 8 },
    { "nothing", "", MQ_ERR_TEXT_MISSING, 1 },
    { "no address",
      "[router]\nhost = a\ndata_centre = a\nhttp = here\n"
      "ready = 10.0.0.1:81\npeer = 10.0.0.1:83\n"
      "table = 10.0.0.2:82\n",
      MQ_ERR_TEXT_BAD_VALUE, 4 },
  };

  for (size_t i = 0; i < COUNT_OF (cases); i++)
    {
      struct mq_text_errors errors;
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct mq_router_settings *settings = mq_router_settings_parse (
          ctx, cases[i].text, strlen (cases[i].text), &errors);

      cr_assert_eq (settings != NULL, cases[i].error == MQ_ERR_NONE, "%s",
                    cases[i].name);
      if (settings == NULL)
        {
          cr_assert_eq (errors.items[0].type, cases[i].error, "%s: %d",
                        cases[i].name, (int)errors.items[0].type);
          cr_assert_eq (errors.items[0].line, cases[i].line, "%s: %u",
                        cases[i].name, errors.items[0].line);
        }
      talloc_free (ctx);
    }
}

/* Log */

struct log_reader
{
  int fds[2];
  struct tevent_context *ev;
  struct mq_json_log *log;
};

static void
open_log (struct log_reader *reader)
{
  cr_assert_eq (pipe (reader->fds), 0);
  reader->ev = tevent_context_init (NULL);
  reader->log = mq_json_log_create (reader->ev, reader->ev, reader->fds[1],
                                    "test", "h-1");
}

static void
close_log (struct log_reader *reader)
{
  talloc_free (reader->ev);
  close (reader->fds[0]);
  close (reader->fds[1]);
}

/* Values from callers can't break the format of one JSON object per line.  */
Test (log, lines_are_json)
{
  static const char *const values[]
      = { "plain", "a\"b\\c", "line\nbreak", "\001\177\200", "" };

  for (size_t i = 0; i < COUNT_OF (values); i++)
    {
      struct log_reader reader;
      struct mq_json_line line;
      char text[2048];
      ssize_t len;
      json_t *json;

      open_log (&reader);
      mq_json_begin (&line, reader.log, MQ_JSON_HIGH_PRIORITY,
                     MQ_LOG_TRY_FAILED);
      mq_json_text (&line, "id", values[i]);
      mq_json_text (&line, "run", NULL);
      mq_json_number (&line, "sent", 42);
      mq_json_number (&line, "no_such_key", 1);
      mq_json_end (&line);
      mq_json_log_flush (reader.log);
      len = read (reader.fds[0], text, sizeof text - 1);
      cr_assert_gt (len, 0);
      text[len] = '\0';
      cr_assert_eq (strchr (text, '\n'), text + len - 1);
      json = json_loads (text, 0, NULL);
      cr_assert_not_null (json, "%s", text);
      cr_assert_eq (json_integer_value (json_object_get (json, "sent")), 42);
      cr_assert_null (json_object_get (json, "run"));
      cr_assert_null (json_object_get (json, "no_such_key"));
      cr_assert_eq (mq_json_log_unknown_keys (reader.log), 1);
      json_decref (json);
      close_log (&reader);
    }
}

/* If nobody reads the log, lines are dropped and counted instead of blocking
   the process, routine lines first.  */
Test (log, bounded_and_never_blocks)
{
  struct log_reader reader;

  open_log (&reader);
  for (unsigned int i = 0; i < 2 * MQ_JSON_LOG_LOW_PRIORITY_S; i++)
    {
      struct mq_json_line line;

      mq_json_begin (&line, reader.log, MQ_JSON_LOW_PRIORITY,
                     MQ_LOG_REQUEST_ENDED);
      mq_json_end (&line);
    }
  cr_assert_geq (mq_json_log_dropped (reader.log), 1);
  cr_assert_leq (mq_json_log_written (reader.log),
                 2 * MQ_JSON_LOG_LOW_PRIORITY_S - 1);
  for (int i = 0; i < 20000; i++)
    {
      struct mq_json_line line;

      mq_json_begin (&line, reader.log, MQ_JSON_HIGH_PRIORITY,
                     MQ_LOG_REQUEST_ENDED);
      mq_json_text (&line, "outcome",
                    "0123456789012345678901234567890123456789"
                    "0123456789012345678901234567890123456789");
      mq_json_end (&line);
    }
  cr_assert_geq (mq_json_log_dropped (reader.log), 19000);
  close_log (&reader);
}
