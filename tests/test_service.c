/* test_service.c - stand-in for services and tools.

   Tests the record of calls, then faults over HTTP with client and server in
   one event loop.
   Needs: Criterion, service_server.h, http_client.h.  */

#include "net/http_client.h"
#include "../standins/service_server.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define COUNT_OF(array) (sizeof (array) / sizeof *(array))

enum
{
  TIMEOUT_S = 60, /* safety limit */
  CALLS_MAX = 4
};

/* A duplicate call gets the first response if keys are honoured; otherwise it
   is executed again and counted in repeated_keys.  */
static const struct
{
  bool honour_keys;
  struct mq_effect calls[CALLS_MAX];
  const char *answers[CALLS_MAX];
  struct mq_effect_totals totals;
} sequences[] = {
  { false,
    { { "w/0", "/p", "", "{\"a\":1}" }, { "w/1", "/p", "", "x" } },
    { "{\"ok\":true,\"path\":\"/p\",\"n\":1,\"echo\":{\"a\":1}}",
      "{\"ok\":true,\"path\":\"/p\",\"n\":2,\"echo\":\"x\"}" },
    { 2, 0, 0, 0 } },
  { false,
    { { "w/0", "/p", "k", "1" },
      { "w/1", "/p", "k", "2" },
      { "w/0", "/p", "k", "3" } },
    { "{\"ok\":true,\"path\":\"/p\",\"n\":1,\"echo\":1}",
      "{\"ok\":true,\"path\":\"/p\",\"n\":2,\"echo\":2}",
      "{\"ok\":true,\"path\":\"/p\",\"n\":3,\"echo\":3}" },
    { 3, 1, 1, 0 } },
  { true,
    { { "w/0", "/p", "k", "1" },
      { "w/1", "/p", "k", "2" },
      { "w/0", "/p", "j", "3" } },
    { "{\"ok\":true,\"path\":\"/p\",\"n\":1,\"echo\":1}",
      "{\"ok\":true,\"path\":\"/p\",\"n\":1,\"echo\":1}",
      "{\"ok\":true,\"path\":\"/p\",\"n\":2,\"echo\":3}" },
    { 2, 2, 0, 1 } },
  { true,
    { { "w/0", "/p", "k", "1" },
      { "w/0", "/q", "k", "2" },
      { "w/0", "/p", "", "3" },
      { "w/0", "/p", "", "4" } },
    { "{\"ok\":true,\"path\":\"/p\",\"n\":1,\"echo\":1}",
      "{\"ok\":true,\"path\":\"/q\",\"n\":1,\"echo\":2}",
      "{\"ok\":true,\"path\":\"/p\",\"n\":2,\"echo\":3}",
      "{\"ok\":true,\"path\":\"/p\",\"n\":3,\"echo\":4}" },
    { 4, 2, 0, 0 } },
};

static void
check_totals (struct mq_effect_totals got, struct mq_effect_totals expected,
              size_t number)
{
  cr_assert_eq (got.effects, expected.effects, "case %zu", number);
  cr_assert_eq (got.keys, expected.keys, "case %zu", number);
  cr_assert_eq (got.repeated_keys, expected.repeated_keys, "case %zu", number);
  cr_assert_eq (got.answered_again, expected.answered_again, "case %zu",
                number);
}

Test (effects, keys_decide_what_is_done_again)
{
  for (size_t i = 0; i < COUNT_OF (sequences); i++)
    {
      struct mq_effects *effects
          = mq_effects_create (NULL, sequences[i].honour_keys);

      for (size_t n = 0; n < CALLS_MAX && sequences[i].answers[n]; n++)
        {
          json_t *answer = mq_effects_apply (effects, &sequences[i].calls[n]);
          char *text = json_dumps (answer, JSON_COMPACT);

          cr_assert_str_eq (text, sequences[i].answers[n]);
          free (text);
          json_decref (answer);
        }
      check_totals (mq_effects_totals (effects, NULL), sequences[i].totals, i);
      cr_assert_eq (mq_effects_totals (effects, "/none").effects, 0);
      talloc_free (effects);
    }
}

/* HTTP.  */

struct answer
{
  bool come;
  enum mq_error_type error;
  int status;
  uint32_t retry_after_ms;
  char body[1024];
};

struct world
{
  TALLOC_CTX *top;
  struct tevent_context *ev;
  struct mq_service_server *server;
  struct mq_http_client *client;
};

static void
on_out_of_patience (struct tevent_context *ev, struct tevent_timer *timer,
                    struct timeval now, void *data)
{
  (void)ev;
  (void)timer;
  (void)now;
  (void)data;
  cr_assert_fail ("waited %d s for what never came", TIMEOUT_S);
}

static struct world
create_world (struct mq_service_options options)
{
  static const char *const listen[] = { "127.0.0.1:0", "127.0.0.1:0" };
  struct world world = { .top = talloc_new (NULL) };
  struct mq_error error = { 0 };

  options.name = "billing";
  options.listen = listen;
  options.listen_count = COUNT_OF (listen);
  world.ev = tevent_context_init (world.top);
  world.server
      = mq_service_server_create (world.top, world.ev, &options, &error);
  world.client = mq_http_client_create (world.top, world.ev, &error);
  cr_assert (world.server != NULL && world.client != NULL, "%s",
             mq_error_name (error.type));
  tevent_add_timer (world.ev, world.top,
                    tevent_timeval_current_ofs (TIMEOUT_S, 0),
                    on_out_of_patience, NULL);
  return world;
}

static void
destroy_world (struct world *world)
{
  mq_http_client_destroy (world->client);
  mq_service_server_destroy (world->server);
  talloc_free (world->top);
}

static void
on_answer (const struct mq_http_result *result, void *user)
{
  struct answer *answer = user;

  answer->come = true;
  answer->error = result->error;
  answer->status = result->status;
  answer->retry_after_ms = result->retry_after_ms;
  snprintf (answer->body, sizeof answer->body, "%s", result->body);
}

static struct mq_http_call *
send_to (struct world *world, size_t worker, const char *method,
         const char *path, uint32_t timeout_ms, struct answer *answer)
{
  static const char *const headers[] = { "Idempotency-Key: k1", NULL };
  struct mq_http_send send = { .method = method,
                               .headers = headers,
                               .timeout_ms = timeout_ms,
                               .done = on_answer,
                               .user = answer };

  if (strcmp (method, "POST") == 0)
    {
      send.body = "{}";
      send.len = 2;
    }
  send.url
      = talloc_asprintf (world->top, "http://127.0.0.1:%u%s",
                         mq_service_server_port (world->server, worker), path);
  *answer = (struct answer){ 0 };
  return mq_http_client_send (world->client, &send);
}

static void
wait_for (struct world *world, const bool *come)
{
  while (!*come)
    tevent_loop_once (world->ev);
}

static struct answer
ask (struct world *world, size_t worker, const char *method, const char *path)
{
  struct answer answer;

  send_to (world, worker, method, path, 0, &answer);
  wait_for (world, &answer.come);
  return answer;
}

static uint64_t
effect_count (struct world *world)
{
  return mq_effects_totals (mq_service_server_effects (world->server), NULL)
      .effects;
}

/* One call to worker 0 at /notices/send; timeout 500 ms if the fault blocks
   the response.  */
static const struct
{
  const char *order;
  uint32_t timeout_ms;
  enum mq_error_type error;
  int status;
  uint32_t retry_after_ms;
  uint64_t effects;
} faults[] = {
  { "{\"fault\":\"clear\"}", 0, MQ_ERR_NONE, 200, 0, 1 },
  { "{\"fault\":\"slow\",\"ms\":30}", 0, MQ_ERR_NONE, 200, 0, 1 },
  { "{\"fault\":\"status\",\"status\":500}", 0, MQ_ERR_NONE, 500, 0, 0 },
  { "{\"fault\":\"status\",\"status\":422}", 0, MQ_ERR_NONE, 422, 0, 0 },
  { "{\"fault\":\"refuse\",\"retry_after_s\":7}", 0, MQ_ERR_NONE, 429, 7000,
    0 },
  { "{\"fault\":\"lost_answer\"}", 0, MQ_ERR_PEER_LOST, 0, 0, 1 },
  { "{\"fault\":\"unreachable\"}", 0, MQ_ERR_PEER_LOST, 0, 0, 0 },
  { "{\"fault\":\"hang\"}", 500, MQ_ERR_TIMEOUT, 0, 0, 0 },
  { "{\"fault\":\"hang\",\"match\":\"/letters\"}", 0, MQ_ERR_NONE, 200, 0, 1 },
  { "{\"fault\":\"hang\",\"worker\":\"billing/1\"}", 0, MQ_ERR_NONE, 200, 0,
    1 },
  { "{\"fault\":\"hang\",\"worker\":\"billing/0\"}", 500, MQ_ERR_TIMEOUT, 0, 0,
    0 },
};

Test (service, every_fault_shows_as_its_contract_says)
{
  for (size_t i = 0; i < COUNT_OF (faults); i++)
    {
      struct mq_service_options options = { 0 };
      struct world world = create_world (options);
      struct answer answer;

      cr_assert (mq_service_server_fault (world.server, faults[i].order));
      send_to (&world, 0, "POST", "/notices/send", faults[i].timeout_ms,
               &answer);
      wait_for (&world, &answer.come);
      cr_assert_eq (answer.error, faults[i].error, "fault %zu: %s", i,
                    mq_error_name (answer.error));
      cr_assert_eq (answer.status, faults[i].status, "fault %zu", i);
      cr_assert_eq (answer.retry_after_ms, faults[i].retry_after_ms,
                    "fault %zu", i);
      cr_assert_eq (effect_count (&world), faults[i].effects, "fault %zu", i);
      destroy_world (&world);
    }
}

/* The response to a call is lost and the call is retried at another worker
   with the same key.  It is executed twice unless keys are honoured.  */
static const struct
{
  bool honour_keys;
  const char *summary;
} repeats[] = {
  { false,
    "{\"total\":2,\"keys\":1,\"repeated_keys\":1,\"answered_again\":0}" },
  { true,
    "{\"total\":1,\"keys\":1,\"repeated_keys\":0,\"answered_again\":1}" },
};

Test (service, a_repeat_after_a_lost_answer_shows_in_the_effects)
{
  for (size_t i = 0; i < COUNT_OF (repeats); i++)
    {
      struct mq_service_options options
          = { .honour_keys = repeats[i].honour_keys };
      struct world world = create_world (options);
      struct answer answer;

      mq_service_server_fault (world.server,
                               "{\"fault\":\"lost_answer\",\"count\":1}");
      cr_assert_eq (ask (&world, 0, "POST", "/notices").status, 0);
      cr_assert_eq (ask (&world, 1, "POST", "/notices").status, 200);
      answer = ask (&world, 1, "GET", "/standin/effects?summary=1");
      cr_assert_str_eq (answer.body, repeats[i].summary);
      answer = ask (&world, 1, "GET", "/standin/effects?path=/notices");
      cr_assert_not_null (strstr (answer.body, "\"worker\":\"billing/0\""));
      cr_assert_eq (strstr (answer.body, "\"worker\":\"billing/1\"") != NULL,
                    !repeats[i].honour_keys);
      destroy_world (&world);
    }
}

static void
wait_load (struct world *world, uint32_t running, uint32_t queued)
{
  char text[128];

  snprintf (text, sizeof text,
            "{\"boot\":9,\"running\":%u,\"queued\":%u,\"cache_used\":0,"
            "\"cache_total\":0}",
            running, queued);
  while (strcmp (ask (world, 0, "GET", "/v1/load").body, text) != 0)
    ;
}

/* With all slots of a worker hanging, further calls must be queued and
   reported in the load, and run when the clients of the hanging calls
   disconnect.  */
Test (service, calls_beyond_the_concurrency_wait)
{
  struct mq_service_options options = { .concurrency = 2, .boot = 9 };
  struct world world = create_world (options);
  struct answer never;
  struct answer waiting;
  struct mq_http_call *calls[2];

  mq_service_server_fault (world.server, "{\"fault\":\"hang\",\"count\":2}");
  calls[0] = send_to (&world, 0, "POST", "/a", 0, &never);
  calls[1] = send_to (&world, 0, "POST", "/a", 0, &never);
  wait_load (&world, 2, 0);
  send_to (&world, 0, "POST", "/b", 0, &waiting);
  wait_load (&world, 2, 1);
  cr_assert (!waiting.come);
  mq_http_call_cancel (calls[0]);
  mq_http_call_cancel (calls[1]);
  wait_for (&world, &waiting.come);
  cr_assert_eq (waiting.status, 200);
  cr_assert_eq (effect_count (&world), 1);
  wait_load (&world, 0, 0);
  destroy_world (&world);
}

/* A call is executed even if its client times out.  */
Test (service, an_abandoned_call_takes_effect)
{
  struct mq_service_options options = { .delay_ms = 1500, .boot = 9 };
  struct world world = create_world (options);
  struct mq_http_call *call;
  struct answer never;

  call = send_to (&world, 0, "POST", "/a", 0, &never);
  wait_load (&world, 1, 0);
  mq_http_call_cancel (call);
  while (effect_count (&world) == 0)
    tevent_loop_once (world.ev);
  cr_assert (!never.come);
  destroy_world (&world);
}

static const struct
{
  const char *method;
  const char *path;
  int status;
} paths[] = {
  { "POST", "/standin/fault", 400 },
  { "GET", "/anything", 404 },
  { "GET", "/standin/effects", 200 },
  { "GET", "/v1/load", 200 },
};

Test (service, other_paths)
{
  struct mq_service_options options = { 0 };
  struct world world = create_world (options);

  for (size_t i = 0; i < COUNT_OF (paths); i++)
    cr_assert_eq (ask (&world, 0, paths[i].method, paths[i].path).status,
                  paths[i].status, "path %zu", i);
  cr_assert_eq (effect_count (&world), 0);
  destroy_world (&world);
}
