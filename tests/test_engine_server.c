/* test_engine_server.c - the model engine API, tested on the stand-in.

   Needs: Criterion, engine_server.h, http_client.h.  */

#include "net/http_client.h"
#include "../standins/engine_server.h"
#include <criterion/criterion.h>
#include <string.h>

#define COUNT(table) (sizeof (table) / sizeof (table)[0])
#define PROGRAM "00000000000000010000000000000002"
#define NO_PROGRAM "00000000000000000000000000000000"

struct bench
{
  struct tevent_context *ev;
  struct mq_http_client *client;
  struct mq_engine_server *engines[2];
  bool done;
  int status;
  char *body;
};

static void
on_done (const struct mq_http_result *result, void *user)
{
  struct bench *bench = user;

  bench->done = true;
  bench->status = result->status;
  bench->body = talloc_strndup (bench, result->body, result->len);
}

static struct bench *
bench_create (void)
{
  struct bench *bench = talloc_zero (NULL, struct bench);
  struct mq_engine_server_options options
      = { .address = "127.0.0.1:0", .model = "m7", .boot = 10 };
  struct mq_error error;

  mq_engine_params_default (&options.params);
  options.params.time_scale = 0.02;
  options.params.event_gap_permille = 0;
  bench->ev = tevent_context_init (bench);
  bench->client = mq_http_client_create (bench, bench->ev, &error);
  for (int i = 0; i < 2; i++)
    bench->engines[i]
        = mq_engine_server_create (bench, bench->ev, &options, &error);
  return bench;
}

static void
bench_destroy (struct bench *bench)
{
  mq_http_client_destroy (bench->client);
  for (int i = 0; i < 2; i++)
    mq_engine_server_destroy (bench->engines[i]);
  talloc_free (bench);
}

static const char *
call (struct bench *bench, int engine, const char *path, const char *body)
{
  struct mq_http_send send
      = { .method = body == NULL ? "GET" : "POST",
          .url = talloc_asprintf (
              bench, "http://127.0.0.1:%u%s",
              mq_engine_server_port (bench->engines[engine]), path),
          .body = body,
          .len = body == NULL ? 0 : strlen (body),
          .timeout_ms = 30000,
          .done = on_done,
          .user = bench };

  bench->done = false;
  mq_http_client_send (bench->client, &send);
  while (!bench->done)
    tevent_loop_once (bench->ev);
  return bench->body;
}

#define SYSTEM                                                                \
  "{\"role\":\"system\",\"content\":\"You draft letters of the billing "      \
  "office, one for each household, kindly and in short words.\"}"
#define CHAT(more)                                                            \
  "{\"model\":\"m7\",\"messages\":[" SYSTEM                                   \
  ",{\"role\":\"user\",\"content\":\"plan=[{\\\"answer\\\":100}]\"}],"        \
  "\"request_id\":\"r\"" more "}"

/* Valid and invalid requests to each path.  */
Test (engine_server, paths)
{
  static const struct
  {
    const char *path;
    const char *body; /* NULL for GET */
    int status;
    const char *holds; /* must occur in the response */
  } cases[] = {
    { "/v1/chat/completions", CHAT (",\"program\":\"" PROGRAM "\""), 200,
      "\"completion_tokens\":100,\"cached_tokens\":0}}\n\ndata: [DONE]\n\n" },
    { "/v1/chat/completions", CHAT (",\"program\":\"no\""), 400, "" },
    { "/v1/chat/completions", CHAT (",\"priority\":3"), 400, "" },
    { "/v1/chat/completions", "{\"model\":\"m8\",\"messages\":[" SYSTEM "]}",
      404, "" },
    { "/v1/chat/completions", "{\"messages\":{}}", 400, "" },
    { "/v1/chat/completions", "no JSON", 400, "" },
    { "/v1/cancel", "{\"request_id\":\"r\"}", 404, "" },
    { "/v1/cache", NULL, 200, "{\"boot\":10,\"used\":128,\"total\":60000," },
    { "/v1/cache", NULL, 200,
      "{\"program\":\"" NO_PROGRAM "\",\"tokens\":16}" },
    { "/v1/cache", NULL, 200, "{\"program\":\"" PROGRAM "\",\"tokens\":112}" },
    { "/v1/cache/export", "{\"program\":\"no\"}", 400, "" },
    { "/v1/cache/import", "{\"program\":\"" PROGRAM "\",\"handle\":\"no\"}",
      400, "" },
    { "/v1/cache/import", "{\"program\":\"" PROGRAM "\",\"handle\":\"kv1:1\"}",
      400, "" },
    { "/v1/cache/evict", "{}", 400, "" },
    { "/v1/cache/evict", "{\"program\":\"" PROGRAM "\"}", 200,
      "{\"tokens\":112}" },
    { "/v1/cache/evict", "{\"program\":\"" PROGRAM "\"}", 200,
      "{\"tokens\":0}" },
    { "/v1/load", NULL, 200, "\"cache_total\":60000}" },
    { "/v1/orders", "{\"fence\":1,\"order\":\"dance\",\"argument\":\"x\"}",
      400, "" },
    { "/v1/orders",
      "{\"fence\":1,\"order\":\"set_role\",\"argument\":\"draft\"}", 200, "" },
    { "/standin/stats", NULL, 200, "\"set_role\":\"draft\"" },
    { "/standin/fault", "{\"fault\":\"none\"}", 400, "" },
    { "/standin/fault", "{\"fault\":\"hang\",\"seconds\":1}", 400, "" },
    { "/standin/fault", "{\"fault\":\"status\",\"status\":418,\"count\":1}",
      200, "" },
    { "/v1/cancel", "{}", 418, "" },
    { "/v1/cancel", "{}", 404, "" },
    { "/v1/nothing", NULL, 404, "" },
    { "/v1/cancel", NULL, 404, "" },
  };
  struct bench *bench = bench_create ();

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      const char *body = call (bench, 0, cases[i].path, cases[i].body);

      cr_expect_eq (bench->status, cases[i].status, "case %zu: %d", i,
                    bench->status);
      cr_expect_not_null (strstr (body, cases[i].holds), "case %zu: %s", i,
                          body);
    }
  bench_destroy (bench);
}

/* A program whose cache was exported must find it on the importing engine.  */
Test (engine_server, export_and_import)
{
  struct bench *bench = bench_create ();
  json_t *json;
  char *import;

  call (bench, 0, "/v1/chat/completions",
        CHAT (",\"program\":\"" PROGRAM "\""));
  json = json_loads (
      call (bench, 0, "/v1/cache/export", "{\"program\":\"" PROGRAM "\"}"), 0,
      NULL);
  cr_assert_eq (json_integer_value (json_object_get (json, "tokens")), 128);
  import = talloc_asprintf (
      bench, "{\"program\":\"" PROGRAM "\",\"handle\":\"%s\"}",
      json_string_value (json_object_get (json, "handle")));
  json_decref (json);
  cr_expect_str_eq (call (bench, 1, "/v1/cache/import", import),
                    "{\"tokens\":128}");
  call (bench, 1, "/v1/chat/completions",
        CHAT (",\"program\":\"" PROGRAM "\""));
  cr_expect_not_null (strstr (bench->body, "\"cached_tokens\":32}"), "%s",
                      bench->body);
  bench_destroy (bench);
}

/* Cache events are read in pages by number, until none are left.  */
Test (engine_server, events)
{
  struct bench *bench = bench_create ();
  json_int_t next = 0;
  json_int_t stored = 0;
  json_int_t given = 1;

  call (bench, 0, "/v1/chat/completions",
        CHAT (",\"program\":\"" PROGRAM "\""));
  while (stored < 128 || given > 0)
    {
      char *path = talloc_asprintf (bench, "/v1/events?after=%lld", next);
      json_t *json = json_loads (call (bench, 0, path, NULL), 0, NULL);
      json_t *events = json_object_get (json, "events");

      given = (json_int_t)json_array_size (events);
      for (size_t i = 0; i < json_array_size (events); i++)
        {
          json_t *event = json_array_get (events, i);

          cr_expect (json_integer_value (json_object_get (event, "number"))
                     > next);
          stored += json_integer_value (json_object_get (event, "tokens"));
        }
      next = json_integer_value (json_object_get (json, "next"));
      json_decref (json);
    }
  cr_expect_eq (stored, 128);
  bench_destroy (bench);
}
