/* test_organisation.c - tests of API keys, organisations and their isolation.

   Needs: Criterion, router_site.h, orgs.h, router_wire.h.  */

#include "core/organisation/orgs.h"
#include "http_peer.h"
#include "net/clock.h"
#include "router/router_wire.h"
#include "router_site.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define HOST "Host: h.example\r\n"
#define KEY(key) "X-Key: " key "\r\n"

/* Unit tests of keys and organisations */

/* Each key is found for its owner; a second owner is rejected.  */
Test (key_set, finds_owners)
{
  struct mq_key_set *set = mq_key_set_create (NULL, 7);
  uint8_t digest[MQ_KEY_BYTES];
  char key[32];

  for (uint32_t i = 0; i < 1000; i++)
    {
      snprintf (key, sizeof key, "key-%u", i);
      mq_key_digest (key, digest);
      cr_assert_eq (mq_key_set_find (set, digest), MQ_KEY_NO_OWNER);
      cr_assert_eq (mq_key_set_add (set, digest, i / 2), MQ_KEY_ADDED);
      cr_assert_eq (mq_key_set_add (set, digest, i), MQ_KEY_TAKEN);
    }
  for (uint32_t i = 0; i < 1000; i++)
    {
      snprintf (key, sizeof key, "key-%u", i);
      mq_key_digest (key, digest);
      cr_assert_eq (mq_key_set_find (set, digest), i / 2);
    }
  cr_assert_eq (mq_key_set_count (set), 1000);
  mq_key_set_destroy (set);
}

/* 8000 organisations with four keys each take at most 4 MB.  */
Test (orgs, memory_at_size)
{
  struct mq_orgs *orgs = mq_orgs_create (NULL, 8000, 7);
  struct mq_error error = { .type = MQ_ERR_NONE };

  for (uint32_t i = 0; i < 8000; i++)
    {
      char name[32];
      struct mq_org org = { .name = name };

      snprintf (name, sizeof name, "organisation-%u", i);
      cr_assert_eq (mq_orgs_add (orgs, &org, &error), i);
      for (uint32_t k = 0; k < 4; k++)
        {
          char key[32];

          snprintf (key, sizeof key, "secret-%u-%u", i, k);
          cr_assert (mq_orgs_add_key (orgs, i, key, &error));
        }
    }
  cr_assert_str_eq (mq_orgs_find_key (orgs, "secret-7999-3")->name,
                    "organisation-7999");
  cr_assert_null (mq_orgs_find_key (orgs, "secret-8000-0"));
  cr_assert_null (mq_orgs_find_key (orgs, NULL));
  cr_expect_leq (talloc_total_size (orgs), 4U << 20);
  mq_orgs_destroy (orgs);
}

/* An invalid organisation rejects the whole configuration.  No error contains
   a key.  */
struct orgs_case
{
  const char *list;
  enum mq_error_type error;
  const char *subject;
};

Test (orgs, in_a_configuration)
{
  static const struct orgs_case cases[] = {
    { "[]", MQ_ERR_NONE, "" },
    { "[{\"name\":\"a\",\"apiKeys\":[\"k\"],\"ratePerS\":2.5,\"burst\":4}]",
      MQ_ERR_NONE, "" },
    { "[{\"name\":\"a\"},{\"name\":\"b\",\"apiKeys\":[]}]", MQ_ERR_NONE, "" },
    { "{}", MQ_ERR_TEXT_BAD_VALUE, "organisations" },
    { "null", MQ_ERR_TEXT_BAD_VALUE, "organisations" },
    { "[{}]", MQ_ERR_TEXT_BAD_VALUE, "organisation" },
    { "[{\"name\":\"a\"},{\"name\":\"a\"}]", MQ_ERR_TEXT_DUPLICATE, "a" },
    { "[{\"name\":\"a\",\"apiKeys\":[\"hush\",\"hush\"]}]",
      MQ_ERR_TEXT_DUPLICATE, "a" },
    { "[{\"name\":\"a\",\"apiKeys\":[\"hush\"]},"
      "{\"name\":\"b\",\"apiKeys\":[\"hush\"]}]",
      MQ_ERR_TEXT_DUPLICATE, "b" },
    { "[{\"name\":\"a\",\"apiKeys\":[\"\"]}]", MQ_ERR_TEXT_BAD_VALUE, "a" },
    { "[{\"name\":\"a\",\"apiKeys\":[7]}]", MQ_ERR_TEXT_BAD_VALUE, "a" },
    { "[{\"name\":\"a\",\"apiKeys\":\"hush\"}]", MQ_ERR_TEXT_BAD_VALUE,
      "apiKeys" },
    { "[{\"name\":\"a\",\"ratePerS\":\"2\"}]", MQ_ERR_TEXT_BAD_VALUE,
      "ratePerS" },
    { "[{\"name\":\"a\",\"ratePerS\":-1}]", MQ_ERR_TEXT_BAD_VALUE,
      "ratePerS" },
    { "[{\"name\":\"a\",\"burst\":true}]", MQ_ERR_TEXT_BAD_VALUE, "burst" },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      struct mq_error error = { .type = MQ_ERR_NONE };
      char *text = talloc_asprintf (
          NULL, "{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":%s}",
          cases[i].list);
      struct mq_bytes value = { (uint8_t *)text, strlen (text) };
      struct mq_route_table *table = mq_wire_read_config (text, value, &error);

      cr_expect_eq (error.type, cases[i].error, "%s", cases[i].list);
      cr_expect_eq (table != NULL, cases[i].error == MQ_ERR_NONE);
      cr_expect (table == NULL || table->orgs != NULL);
      cr_expect_str_eq (error.subject, cases[i].subject, "%s", cases[i].list);
      cr_expect_null (strstr (error.allowed, "hush"));
      talloc_free (text);
    }
}

Test (orgs, limit_and_priority)
{
  static const char text[]
      = "{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":["
        "{\"name\":\"a\",\"apiKeys\":[\"k\"],\"priority\":0,"
        "\"ratePerS\":2.5,\"burst\":4},{\"name\":\"b\"}]}";
  struct mq_bytes value = { (uint8_t *)(uintptr_t)text, sizeof text - 1 };
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_route_table *table = mq_wire_read_config (NULL, value, &error);
  const struct mq_org *a = mq_orgs_find_key (table->orgs, "k");
  const struct mq_org *b = mq_orgs_find_name (table->orgs, "b");

  cr_assert_str_eq (a->name, "a");
  cr_assert (a->has_priority);
  cr_assert_eq (a->priority, 0);
  cr_assert_eq (a->limit.rate, 2500);
  cr_assert_eq (a->limit.burst, 4000);
  cr_assert_not (b->has_priority);
  cr_assert_eq (b->limit.rate, 0);
  talloc_free (table);
}

/* A router with simulated workers and table */

#define TWO_ORGS                                                              \
  "[{\"name\":\"acme\",\"apiKeys\":[\"acme-1\",\"acme-2\"],\"priority\":0},"  \
  "{\"name\":\"bolt\",\"apiKeys\":[\"bolt-1\"]}]"
#define NEW_KEY                                                               \
  "[{\"name\":\"acme\",\"apiKeys\":[\"acme-1\",\"acme-2\",\"acme-3\"]},"      \
  "{\"name\":\"bolt\",\"apiKeys\":[\"bolt-1\"]}]"
#define ONE_KEY_LESS                                                          \
  "[{\"name\":\"acme\",\"apiKeys\":[\"acme-2\"]},"                            \
  "{\"name\":\"bolt\",\"apiKeys\":[\"bolt-1\"]}]"

static struct edge_site *site;
static struct edge_call call;

static void
configure (const char *organisations)
{
  site->organisations = organisations;
  edge_configure (site, 3000, NULL);
}

static void
set_up (void)
{
  site = edge_create ();
  configure (TWO_ORGS);
  edge_run_for (site, 60);
}

static void
tear_down (void)
{
  edge_destroy (site);
}

TestSuite (organisation, .init = set_up, .fini = tear_down, .timeout = 120);

/* Authentication of callers and the organisation passed to workers.  */
struct caller_case
{
  const char *name;
  const char *path;
  const char *fields;
  int status;
  const char *organisation; /* as received by the worker */
};

Test (organisation, callers)
{
  static const struct caller_case cases[] = {
    { "key", "/call/a", KEY ("acme-1"), 200, "acme" },
    { "other key", "/call/a", KEY ("acme-2"), 200, "acme" },
    { "other organisation", "/call/a", KEY ("bolt-1"), 200, "bolt" },
    { "lower case field", "/call/a", "x-key: bolt-1\r\n", 200, "bolt" },
    { "no key", "/call/a", "", 401, NULL },
    { "empty key", "/call/a", "X-Key: \r\n", 401, NULL },
    { "forged key", "/call/a", KEY ("acme-9"), 401, NULL },
    { "prefix of a key", "/call/a", KEY ("acme"), 401, NULL },
    { "organisation name as key", "/call/a", KEY ("bolt"), 401, NULL },
    { "two keys", "/call/a", KEY ("acme-1") KEY ("bolt-1"), 400, NULL },
    { "the same key twice", "/call/a", KEY ("acme-1") KEY ("acme-1"), 400,
      NULL },
    { "forged X-Tenant", "/call/a", KEY ("acme-1") "X-Tenant: bolt\r\n", 200,
      "acme" },
    { "forged X-Tenant, odd case, twice", "/call/a",
      KEY ("acme-1") "x-tenant: bolt\r\nX-TENANT: bolt\r\n", 200, "acme" },
    { "forged X-Tenant without a key", "/call/a", "X-Tenant: acme\r\n", 401,
      NULL },
    { "public", "/open/a", "", 200, "" },
    { "public, with a key", "/open/a", KEY ("acme-1"), 200, "" },
    { "public, forged X-Tenant", "/open/a", "X-Tenant: acme\r\n", 200, "" },
    { "no such route", "/none/a", KEY ("acme-1"), 404, NULL },
    { "no such route, forged key", "/none/a", KEY ("acme-9"), 404, NULL },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      const struct worker_run *run;
      char id[32];
      char text[512];

      snprintf (id, sizeof id, "q%zu", i);
      snprintf (text, sizeof text,
                "GET %s HTTP/1.1\r\n" HOST "X-Request-Id: %s\r\n%s\r\n",
                cases[i].path, id, cases[i].fields);
      cr_expect_eq (edge_request (site, &call, 0, text), cases[i].status,
                    "%s: %s", cases[i].name, call.answer);
      run = edge_find_run (site, id);
      cr_expect_eq (run != NULL, cases[i].organisation != NULL, "%s",
                    cases[i].name);
      if (run == NULL)
        continue;
      cr_expect_str_eq (run->organisation, cases[i].organisation, "%s",
                        cases[i].name);
      cr_expect_str_eq (run->key, "", "%s", cases[i].name);
    }
}

static int
ask (int router, const char *id, const char *key)
{
  char text[256];

  snprintf (text, sizeof text,
            "GET /call/a HTTP/1.1\r\n" HOST "X-Request-Id: %s\r\nX-Key: %s\r\n"
            "\r\n",
            id, key);
  return edge_request (site, &call, router, text);
}

/* An organisation's priority overrides that of the route, which is 1.  */
Test (organisation, priority)
{
  cr_assert_eq (ask (0, "q1", "acme-1"), 200);
  cr_assert_eq (ask (0, "q2", "bolt-1"), 200);
  cr_assert_lt (atoi (edge_find_run (site, "q1")->priority),
                atoi (edge_find_run (site, "q2")->priority));
}

/* A turn of PROGRAM without a previous one.  */
static int
turn_at (int router, const char *program, const char *key)
{
  char text[512];

  snprintf (text, sizeof text,
            "POST /turn/a HTTP/1.1\r\n" HOST "X-Request-Id: t-%s\r\n"
            "X-Program-Id: %s\r\nX-Session-Id: %s\r\nX-Key: %s\r\n"
            "X-Token-Budget: 80\r\nX-Token-Count: 10,8\r\n"
            "Content-Length: 0\r\n\r\n",
            program, program, program, key);
  return edge_request (site, &call, router, text);
}

/* The first turn of PROGRAM.  */
static int
begin_program (const char *program, const char *key)
{
  return turn_at (0, program, key);
}

/* Programs that ask to begin count for their organisation, later turns and
   other requests do not.  */
Test (organisation, demand_is_counted)
{
  static const char acme[]
      = "organisation_demand{service=\"llm\",organisation=\"acme\"}";
  static const char bolt[]
      = "organisation_demand{service=\"llm\",organisation=\"bolt\"}";

  cr_expect_eq (edge_counter (site, 0, acme), -1);
  cr_assert_eq (begin_program ("p1", "acme-1"), 200, "%s", call.answer);
  cr_assert_eq (begin_program ("p2", "acme-2"), 200);
  cr_assert_eq (begin_program ("p2", "acme-2"), 200);
  cr_assert_eq (begin_program ("p3", "bolt-1"), 200);
  cr_assert_eq (ask (0, "q1", "bolt-1"), 200);
  cr_expect_eq (edge_counter (site, 0, acme), 2);
  cr_expect_eq (edge_counter (site, 0, bolt), 1);
  cr_expect_eq (edge_counter (site, 0,
                              "organisation_refused{service=\"llm\","
                              "organisation=\"acme\"}"),
                0);
}

/* A key that was added but has not arrived in the host's feed is looked up in
   the table.  */
Test (organisation, new_key_is_looked_up)
{
  rows_server_set_fault (site->rows, ROWS_STALL_FEEDS);
  configure (NEW_KEY);
  cr_assert_eq (ask (0, "q1", "acme-3"), 200);
}

/* During a table outage an unknown key is answered with 503, not 401, as it
   may be valid.  */
Test (organisation, unknown_key_during_table_outage)
{
  rows_server_set_fault (site->rows, ROWS_REFUSE_CONNECTIONS);
  cr_assert_eq (ask (0, "q1", "acme-9"), 503);
  cr_assert_eq (ask (0, "q2", "acme-1"), 200);
}

#define FORGED 20

/* Guards against one configuration read per forged key.  */
Test (organisation, forged_keys_cost_few_reads)
{
  size_t before = rows_server_read_count (site->rows);

  for (int i = 0; i < FORGED; i++)
    {
      char key[32];

      snprintf (key, sizeof key, "forged-%d", i);
      cr_assert_eq (ask (0, "q1", key), 401);
    }
  cr_assert_lt (rows_server_read_count (site->rows) - before, FORGED / 2);
}

/* A revoked key is rejected on a connection that is already open.  */
Test (organisation, revoked_key_on_open_connection)
{
  static const char text[] = "GET /call/a HTTP/1.1\r\n" HOST
                             "X-Request-Id: q1\r\n" KEY ("acme-1") "\r\n";

  edge_call (site, &call, 0, text);
  edge_wait_responses (site, &call, 1);
  cr_assert_not_null (strstr (call.answer, "HTTP/1.1 200"));
  configure (ONE_KEY_LESS);
  edge_run_for (site, 60);
  raw_send (call.fd, text, strlen (text));
  edge_wait_responses (site, &call, 2);
  cr_assert_not_null (strstr (call.answer, "HTTP/1.1 401"));
  edge_close (&call);
  cr_assert_eq (ask (0, "q2", "acme-2"), 200);
}

/* A request whose key is revoked while it waits for its program's record must
   not run.  */
Test (organisation, key_revoked_while_request_waits)
{
  static const char text[]
      = "POST /kept/a HTTP/1.1\r\n" HOST "X-Request-Id: w1\r\n" KEY (
          "acme-1") "X-Program-Id: p\r\nX-Token-Budget: 80\r\nX-Token-Count: "
                    "10,8\r\n"
                    "Content-Length: 0\r\n\r\n";

  rows_server_set_fault (site->rows, ROWS_DELAY_WRITES);
  edge_call (site, &call, 0, text);
  edge_run_for (site, 30);
  configure (ONE_KEY_LESS);
  edge_run_for (site, 60);
  rows_server_set_fault (site->rows, ROWS_NO_FAULT);
  rows_server_apply_delayed (site->rows);
  edge_wait_responses (site, &call, 1);
  cr_assert_null (strstr (call.answer, "HTTP/1.1 200"), "%s", call.answer);
  cr_assert_null (edge_find_run (site, "w1"));
  edge_close (&call);
}

/* Histories and budgets */

static int
ask_turn (int router, const char *id, const char *key, const char *program,
          const char *previous, const char *body)
{
  char text[512];

  snprintf (text, sizeof text,
            "POST /kept/a HTTP/1.1\r\n" HOST "X-Request-Id: %s\r\n"
            "X-Key: %s\r\nX-Program-Id: %s\r\nX-Session-Id: %s\r\n"
            "X-Token-Budget: 24\r\nX-Token-Count: 10,8\r\n%s%s%s"
            "Content-Length: %zu\r\n\r\n%s",
            id, key, program, program,
            previous == NULL ? "" : "X-Previous-Turn: ",
            previous == NULL ? "" : previous, previous == NULL ? "" : "\r\n",
            strlen (body), body);
  return edge_request (site, &call, router, text);
}

/* A turn of another organisation is not found in memory, in the table or at
   another host; its own organisation can continue it.  */
Test (organisation, history_stays_with_its_owner)
{
  char *none;

  cr_assert_eq (ask_turn (0, "t1", "acme-1", "p", NULL, "one;"), 200);
  cr_assert_eq (ask_turn (0, "t9", "bolt-1", "q", "t0", "x"), 404);
  none = talloc_strdup (site, call.answer);
  cr_assert_eq (ask_turn (0, "t2", "bolt-1", "q", "t1", "x"), 404);
  cr_assert_str_eq (call.answer, none);
  edge_start (site, 1);
  cr_assert_eq (ask_turn (1, "t3", "bolt-1", "q", "t1", "x"), 404);
  cr_assert_eq (ask_turn (1, "t4", "acme-2", "p", "t1", "two;"), 200);
  cr_assert_str_eq (edge_find_run (site, "t4")->body, "one;e1\ne2\ne3\ne4\n"
                                                      "two;");
  cr_assert_null (edge_find_run (site, "t2"));
  cr_assert_null (edge_find_run (site, "t3"));
}

/* Programs of two organisations with equal ids have separate budgets.  A turn
   takes 8 of 24 tokens.  */
Test (organisation, budgets_are_not_shared)
{
  static const char *const keys[] = { "acme-1", "bolt-1" };

  for (size_t k = 0; k < ROWS (keys); k++)
    {
      char id[32];

      for (int i = 0; i < 3; i++)
        {
          snprintf (id, sizeof id, "b%zu%d", k, i);
          cr_expect_eq (ask_turn (0, id, keys[k], "p", NULL, "x"), 200, "%s",
                        call.answer);
        }
      snprintf (id, sizeof id, "e%zu", k);
      cr_expect_eq (ask_turn (0, id, keys[k], "p", NULL, "x"), 402);
    }
}

/* Guards against access to another organisation's program by an id that
   contains its scope: ids without an organisation are scoped too.  */
Test (organisation, scope_without_organisation)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_orgs *orgs = mq_orgs_create (ctx, 1, 7);
  struct mq_org org = { .name = "acme" };
  struct mq_error error = { .type = MQ_ERR_NONE };
  char *inside;

  cr_assert_eq (mq_orgs_add (orgs, &org, &error), 0);
  inside = mq_org_scoped_id (ctx, mq_orgs_find_name (orgs, "acme"), "p");
  cr_assert_str_neq (mq_org_scoped_id (ctx, NULL, inside), inside);
  cr_assert_str_neq (mq_org_scoped_id (ctx, NULL, "p"), inside);
  talloc_free (ctx);
}

/* Limits */

#define LIMITED                                                               \
  "[{\"name\":\"acme\",\"apiKeys\":[\"acme-1\"],\"ratePerS\":10,"             \
  "\"burst\":10},{\"name\":\"bolt\",\"apiKeys\":[\"bolt-1\"]}]"

/* Time from one request to the next, and of a pause in which no requests are
   sent.  */
#define STEP_MS 5U
#define PAUSE_STEP_MS 20U
/* Time in which a bucket fills up.  */
#define REFILL_MS 1000U

static uint64_t held_boot_ms;

/* Replaces the C library's function, so that a test can hold the clock by
   which limits are counted, and the time of a limit is that of the test and
   not that of a busy machine.  */
int
clock_gettime (clockid_t clock, struct timespec *now)
{
  if (clock != CLOCK_BOOTTIME || held_boot_ms == 0)
    return (int)syscall (SYS_clock_gettime, clock, now);
  now->tv_sec = (time_t)(held_boot_ms / 1000U);
  now->tv_nsec = (long)(held_boot_ms % 1000U) * 1000000;
  return 0;
}

static void
hold_boot_clock (void)
{
  held_boot_ms = mq_clock_boot_ms ();
}

/* Advances the clock of limits by MS while no requests are sent.  */
static void
pause_for (uint32_t ms)
{
  for (uint32_t at = 0; at < ms; at += PAUSE_STEP_MS)
    {
      held_boot_ms += PAUSE_STEP_MS;
      edge_run_for (site, PAUSE_STEP_MS);
    }
}

/* Sends a request to one of both routers in turn at each step of the clock of
   limits, for MS of its time; returns how many were served.  */
static int
serve_for (const char *key, uint32_t ms, int *refused)
{
  int served = 0;

  *refused = 0;
  for (uint32_t i = 0; i * STEP_MS < ms; i++)
    {
      int status;

      held_boot_ms += STEP_MS;
      status = ask ((int)(i % 2), "q", key);
      cr_assert (status == 200 || status == 429, "%s", call.answer);
      if (status == 200)
        served++;
      else
        (*refused)++;
      if (status == 429)
        cr_assert_not_null (strstr (call.answer, "Retry-After: "));
    }
  return served;
}

/* Sends a request to ROUTER; true if it has used a permit by now.  */
static bool
uses_permits (int router)
{
  (void)ask (router, "q", "acme-1");
  return edge_counter (site, router, "permits_used") > 0;
}

/* Sets the limit and starts router 1.  Continues when one of the routers
   issues permits to both, with a full bucket and a clock that is held.  */
static void
start_limited (void)
{
  long before = edge_counter (site, 0, "config_changes");

  configure (LIMITED);
  EDGE_WAIT (site, edge_counter (site, 0, "config_changes") > before);
  edge_start (site, 1);
  for (int i = 0; i < EDGE_ROUTERS; i++)
    EDGE_WAIT (site, uses_permits (i));
  hold_boot_clock ();
  pause_for (REFILL_MS);
}

/* A limit of 10 requests per second with a burst of 10 holds over two hosts.
   An organisation without a limit is not affected.  */
Test (organisation, limit_over_two_hosts)
{
  int refused;
  int served;

  start_limited ();
  served = serve_for ("acme-1", 2000, &refused);
  cr_expect_gt (served, 15);
  cr_expect_leq (served, 10 + 2000 / 100 + 1);
  cr_expect_gt (refused, 0);
  cr_expect_gt (serve_for ("bolt-1", 200, &refused), 0);
  cr_expect_eq (refused, 0);
}

/* Failure: a later turn of a program reaches a host that has not served it
   while first turns are refused over the limit, is taken for a first turn and
   refused.  */
Test (organisation, later_turn_at_another_host_is_not_a_first_one)
{
  char program[16];
  int status = 200;

  start_limited ();
  cr_assert_eq (turn_at (0, "p", "acme-1"), 200, "%s", call.answer);
  for (int i = 0; i < 20 && status == 200; i++)
    {
      snprintf (program, sizeof program, "q%d", i);
      status = turn_at (1, program, "acme-1");
    }
  cr_assert_eq (status, 429, "%s", call.answer);
  cr_expect_eq (turn_at (1, "p", "acme-1"), 200, "%s", call.answer);
  cr_expect_eq (turn_at (1, "new", "acme-1"), 429, "%s", call.answer);
}

/* Failure: a first turn that was refused over the limit leaves a record, and
   its program counts as begun when it returns.  */
Test (organisation, refused_program_has_not_begun)
{
  char program[16];
  int status = 200;

  start_limited ();
  for (int i = 0; i < 20 && status == 200; i++)
    {
      snprintf (program, sizeof program, "q%d", i);
      status = turn_at (1, program, "acme-1");
    }
  cr_assert_eq (status, 429, "%s", call.answer);
  for (int router = 0; router < EDGE_ROUTERS; router++)
    cr_expect_eq (turn_at (router, program, "acme-1"), 429, "router %d: %s",
                  router, call.answer);
}

/* Requests are served as soon as the limit is removed.  */
Test (organisation, limit_is_removed)
{
  long before[EDGE_ROUTERS];
  int refused;

  start_limited ();
  (void)serve_for ("acme-1", 500, &refused);
  cr_assert_gt (refused, 0);
  for (int i = 0; i < EDGE_ROUTERS; i++)
    before[i] = edge_counter (site, i, "config_changes");
  configure (TWO_ORGS);
  for (int i = 0; i < EDGE_ROUTERS; i++)
    EDGE_WAIT (site, edge_counter (site, i, "config_changes") > before[i]);
  (void)serve_for ("acme-1", 200, &refused);
  cr_assert_eq (refused, 0);
}

/* After the issuer is lost the other host continues at its standing rate.  */
Test (organisation, issuer_is_lost)
{
  int issuer;
  int refused;
  int served = 0;

  start_limited ();
  (void)serve_for ("acme-1", 3000, &refused);
  issuer = edge_counter (site, 0, "permits_issued") > 0 ? 0 : 1;
  edge_kill (site, issuer);
  pause_for (1400);
  for (int i = 0; i < 30; i++)
    {
      served += ask (1 - issuer, "q", "acme-1") == 200 ? 1 : 0;
      held_boot_ms += 50;
    }
  cr_expect_gt (served, 2);
  cr_expect_leq (served, 25);
  cr_expect_gt (edge_counter (site, 1 - issuer, "permits_alone"), 0);
}

/**
 * struct pause_case - a time without requests of an organisation
 * @ms: its length by the clock of limits
 * @renew_ms: time in which the issuer renews leases that expired meanwhile
 */
struct pause_case
{
  const char *name;
  uint32_t ms;
  uint32_t renew_ms;
};

static const struct pause_case pause_cases[] = {
  { "host no longer polls", 7000, 0 },
  { "host has dropped the organisation", 62000, 4000 },
};

/* Failure: a host polls no issuer while an organisation makes no requests,
   then takes the issuer for unavailable and refuses the first request.  */
Test (organisation, first_request_after_a_pause_is_served)
{
  start_limited ();
  for (size_t i = 0; i < ROWS (pause_cases); i++)
    {
      held_boot_ms += pause_cases[i].ms;
      edge_run_for (site, pause_cases[i].renew_ms);
      pause_for (REFILL_MS);
      for (int router = 0; router < EDGE_ROUTERS; router++)
        cr_expect_eq (ask (router, "q1", "acme-1"), 200, "%s: %s",
                      pause_cases[i].name, call.answer);
    }
}
