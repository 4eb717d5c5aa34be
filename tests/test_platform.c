/* test_platform.c - contract between the platform client and the platform,
   under faults.

   The client of src/daemon/platform.c and the stand-in of the platform run in
   one event loop.
   Needs: Criterion, platform_server.h, faults.h, platform.h.  */

#include "net/http_server.h"
#include "daemon/platform.h"
#include "../standins/faults.h"
#include "../standins/platform_server.h"
#include <criterion/criterion.h>
#include <string.h>
#include <time.h>

#define COUNT_OF(array) (sizeof (array) / sizeof *(array))

enum
{
  RESULTS_MAX = 64,
  TEST_TIMEOUT_S = 60,
  KINDS = 5
};

struct stored_result
{
  bool received;
  enum mq_store_status status;
  bool more;
  size_t row_count;
  struct mq_row *rows;
  struct mq_bytes value;
};

struct world
{
  TALLOC_CTX *top;
  struct tevent_context *ev;
  struct mq_platform_server *server;
  struct mq_http_client *client;
  struct mq_platform *platform;
  struct stored_result results[RESULTS_MAX]; /* indexed by request id */
  size_t received;
};

static struct mq_bytes
copy (TALLOC_CTX *ctx, struct mq_bytes from)
{
  struct mq_bytes to = { talloc_memdup (ctx, from.data, from.len), from.len };

  return to;
}

static void
on_stored (const struct mq_store_result *result, void *user)
{
  struct world *world = user;
  struct stored_result *stored = &world->results[result->id];

  cr_assert (!stored->received, "two results for request %lu", result->id);
  stored->received = true;
  stored->status = result->status;
  stored->more = result->more;
  stored->row_count = result->row_count;
  stored->rows
      = talloc_zero_array (world->top, struct mq_row, result->row_count + 1);
  for (size_t i = 0; i < result->row_count; i++)
    {
      stored->rows[i].key = talloc_strdup (world->top, result->rows[i].key);
      stored->rows[i].version = result->rows[i].version;
      stored->rows[i].value = copy (world->top, result->rows[i].value);
    }
  stored->value = copy (world->top, result->value);
  world->received++;
}

static void
on_test_timeout (struct tevent_context *ev, struct tevent_timer *timer,
                 struct timeval now, void *data)
{
  (void)ev;
  (void)timer;
  (void)now;
  (void)data;
  cr_assert_fail ("no result within %d s", TEST_TIMEOUT_S);
}

static const char *
url_of (struct world *world, uint16_t port)
{
  return talloc_asprintf (world->top, "http://127.0.0.1:%u", port);
}

static struct mq_platform *
connect_to (struct world *world, uint16_t port)
{
  return mq_platform_create (world->top, world->ev, world->client,
                             url_of (world, port), on_stored, world);
}

static struct world *
create_world (void)
{
  TALLOC_CTX *top = talloc_new (NULL);
  struct world *world = talloc_zero (top, struct world);
  struct mq_error error = { 0 };

  world->top = top;
  world->ev = tevent_context_init (top);
  world->server
      = mq_platform_server_create (top, world->ev, "127.0.0.1:0", &error);
  world->client = mq_http_client_create (top, world->ev, &error);
  cr_assert (world->server != NULL && world->client != NULL, "%s",
             mq_error_name (error.type));
  world->platform
      = connect_to (world, mq_platform_server_port (world->server));
  tevent_add_timer (world->ev, world,
                    tevent_timeval_current_ofs (TEST_TIMEOUT_S, 0),
                    on_test_timeout, NULL);
  return world;
}

static void
destroy_world (struct world *world)
{
  mq_platform_destroy (world->platform);
  mq_http_client_destroy (world->client);
  mq_platform_server_destroy (world->server);
  talloc_free (world->top);
}

static void
wait_results (struct world *world, size_t count)
{
  while (world->received < count)
    tevent_loop_once (world->ev);
}

static struct mq_bytes
bytes_of (const char *text)
{
  struct mq_bytes bytes = { (uint8_t *)text, strlen (text) };

  return bytes;
}

static void
send_write (struct mq_platform *platform, uint64_t id, const char *key,
            uint64_t if_version, const char *value)
{
  struct mq_store_op op = { .key = (char *)key,
                            .if_version = if_version,
                            .value = bytes_of (value) };
  struct mq_store_request request
      = { .id = id, .kind = MQ_STORE_TXN, .ops = &op, .op_count = 1 };

  mq_platform_send (platform, &request);
}

static void
send_request (struct mq_platform *platform, uint64_t id,
              enum mq_store_kind kind, const char *key, struct mq_bytes value)
{
  struct mq_store_request request
      = { .id = id, .kind = kind, .key = (char *)key, .value = value };

  mq_platform_send (platform, &request);
}

static void
set_fault (struct world *world, const char *order)
{
  cr_assert (mq_platform_server_fault (world->server, order), "%s", order);
}

static uint64_t
seed_row (struct world *world, const char *key, const char *value)
{
  struct mq_store_op op = { .key = (char *)key,
                            .if_version = MQ_VERSION_ANY,
                            .value = bytes_of (value) };
  uint64_t version;

  mq_table_transact (mq_platform_server_table (world->server), &op, 1,
                     &version, NULL);
  return version;
}

/* Each fault with each kind of request */

enum effect
{
  NEVER,
  DONE, /* applied before the result arrives */
  LATER /* applied after the result arrives */
};

#define ALL(status)                                                           \
  {                                                                           \
    status, status, status, status, status                                    \
  }
#define WRITES_READS(write, read)                                             \
  {                                                                           \
    write, read, write, read, write                                           \
  }

/* Statuses in the order of enum mq_store_kind: TXN, SCAN, PUT, GET, DROP.
   No orders at all stand for a platform that refuses connections.  */
static const struct
{
  const char *orders[3];
  enum mq_store_status statuses[KINDS];
  enum effect effect;
} faults[] = {
  { { "{\"fault\":\"clear\"}" }, ALL (MQ_STORE_OK), DONE },
  { { "{\"fault\":\"down\"}" }, ALL (MQ_STORE_DOWN), NEVER },
  { { "{\"fault\":\"unreachable\"}" },
    WRITES_READS (MQ_STORE_LOST, MQ_STORE_DOWN),
    NEVER },
  { { "{\"fault\":\"hang\"}" },
    WRITES_READS (MQ_STORE_LOST, MQ_STORE_DOWN),
    NEVER },
  { { "{\"fault\":\"slow\",\"ms\":50}" }, ALL (MQ_STORE_OK), DONE },
  { { "{\"fault\":\"slow\",\"ms\":5000}" },
    WRITES_READS (MQ_STORE_LOST, MQ_STORE_DOWN),
    LATER },
  { { "{\"fault\":\"lost_answer\"}" },
    WRITES_READS (MQ_STORE_LOST, MQ_STORE_OK),
    DONE },
  { { "{\"fault\":\"late_effect\",\"ms\":300}" },
    WRITES_READS (MQ_STORE_LOST, MQ_STORE_OK),
    LATER },
  { { "{\"fault\":\"rate\",\"writes_per_s\":100,\"reads_per_s\":100}" },
    ALL (MQ_STORE_OK),
    DONE },
  { { "{\"fault\":\"slow\",\"ms\":50}", "{\"fault\":\"down\"}" },
    ALL (MQ_STORE_DOWN),
    NEVER },
  { { "{\"fault\":\"slow\",\"ms\":50}", "{\"fault\":\"lost_answer\"}" },
    WRITES_READS (MQ_STORE_LOST, MQ_STORE_OK),
    DONE },
  { { "{\"fault\":\"down\"}", "{\"fault\":\"lost_answer\"}",
      "{\"fault\":\"late_effect\",\"ms\":1}" },
    ALL (MQ_STORE_DOWN),
    NEVER },
  { { "{\"fault\":\"down\",\"match\":\"other/\"}" }, ALL (MQ_STORE_OK), DONE },
  { { NULL }, ALL (MQ_STORE_DOWN), NEVER },
};

static void
seed (struct world *world)
{
  struct mq_table *table = mq_platform_server_table (world->server);

  seed_row (world, "scan/1", "one");
  seed_row (world, "scan/2", "two");
  mq_table_put (table, "get", bytes_of ("object"));
  mq_table_put (table, "drop", bytes_of ("object"));
}

static void
send_all_kinds (struct mq_platform *platform)
{
  struct mq_bytes none = { NULL, 0 };

  send_write (platform, MQ_STORE_TXN, "txn", MQ_VERSION_ABSENT, "new");
  send_request (platform, MQ_STORE_SCAN, MQ_STORE_SCAN, "scan/", none);
  send_request (platform, MQ_STORE_PUT, MQ_STORE_PUT, "put", bytes_of ("new"));
  send_request (platform, MQ_STORE_GET, MQ_STORE_GET, "get", none);
  send_request (platform, MQ_STORE_DELETE, MQ_STORE_DELETE, "drop", none);
}

/* Returns how many of the three writes have been applied.  */
static size_t
count_applied (struct world *world)
{
  struct mq_table_snapshot *all = mq_table_snapshot (
      mq_platform_server_table (world->server), world->top);
  size_t count = all->row_count - 2;
  bool dropped = true;

  for (size_t i = 0; i < all->object_count; i++)
    {
      if (strcmp (all->objects[i].key, "put") == 0)
        count++;
      if (strcmp (all->objects[i].key, "drop") == 0)
        dropped = false;
    }
  talloc_free (all);
  return count + dropped;
}

static void
check_results (struct world *world, size_t number)
{
  const struct stored_result *txn = &world->results[MQ_STORE_TXN];
  const struct stored_result *scan = &world->results[MQ_STORE_SCAN];
  const struct stored_result *get = &world->results[MQ_STORE_GET];

  for (int kind = 0; kind < KINDS; kind++)
    cr_assert_eq (world->results[kind].status, faults[number].statuses[kind],
                  "fault %zu, kind %d: status %d", number, kind,
                  world->results[kind].status);
  if (txn->status == MQ_STORE_OK)
    cr_assert (txn->row_count == 1 && txn->rows[0].version > 0
               && strcmp (txn->rows[0].key, "txn") == 0);
  if (scan->status == MQ_STORE_OK)
    cr_assert (scan->row_count == 2 && !scan->more
               && strcmp (scan->rows[1].key, "scan/2") == 0
               && memcmp (scan->rows[1].value.data, "two", 3) == 0);
  if (get->status == MQ_STORE_OK)
    cr_assert (get->value.len == 6
               && memcmp (get->value.data, "object", 6) == 0);
}

static uint16_t
unused_port (struct world *world)
{
  struct mq_error error;
  struct mq_platform_server *other = mq_platform_server_create (
      world->top, world->ev, "127.0.0.1:0", &error);
  uint16_t port = mq_platform_server_port (other);

  mq_platform_server_destroy (other);
  return port;
}

static void
check_fault (size_t number)
{
  struct world *world = create_world ();

  seed (world);
  for (size_t i = 0; i < 3 && faults[number].orders[i] != NULL; i++)
    set_fault (world, faults[number].orders[i]);
  if (faults[number].orders[0] == NULL)
    world->platform = connect_to (world, unused_port (world));
  send_all_kinds (world->platform);
  cr_assert_eq (world->received, 0,
                "result reported before mq_platform_send returned");
  wait_results (world, KINDS);
  check_results (world, number);
  while (faults[number].effect == LATER && count_applied (world) < 3)
    tevent_loop_once (world->ev);
  cr_assert_eq (count_applied (world), faults[number].effect == NEVER ? 0 : 3,
                "fault %zu", number);
  destroy_world (world);
}

Test (platform, every_fault_with_every_request_kind)
{
  for (size_t i = 0; i < COUNT_OF (faults); i++)
    check_fault (i);
}

/* A commit without a response may be applied after its retry with the same
   condition was sent.  Exactly one of the two is applied.  */
static const struct
{
  const char *order;
  bool retry_first; /* the retry arrives before the delayed commit */
  enum mq_store_status retry_status;
} delayed_commits[] = {
  { "{\"fault\":\"late_effect\",\"ms\":2000,\"count\":1}", true, MQ_STORE_OK },
  { "{\"fault\":\"late_effect\",\"ms\":1,\"count\":1}", false,
    MQ_STORE_CONFLICT },
};

static uint64_t
attempts (struct world *world)
{
  struct mq_table_counters counters
      = mq_table_counters (mq_platform_server_table (world->server));

  return counters.writes + counters.conflicts;
}

Test (platform, delayed_commit_and_its_retry_apply_once)
{
  for (size_t i = 0; i < COUNT_OF (delayed_commits); i++)
    {
      struct world *world = create_world ();
      uint64_t version = seed_row (world, "log", "0");

      set_fault (world, delayed_commits[i].order);
      send_write (world->platform, 0, "log", version, "batch");
      wait_results (world, 1);
      cr_assert_eq (world->results[0].status, MQ_STORE_LOST);
      while (!delayed_commits[i].retry_first && attempts (world) < 2)
        tevent_loop_once (world->ev);
      send_write (world->platform, 1, "log", version, "batch");
      wait_results (world, 2);
      cr_assert_eq (world->results[1].status, delayed_commits[i].retry_status);
      while (attempts (world) < 3)
        tevent_loop_once (world->ev);
      cr_assert_eq (
          mq_table_counters (mq_platform_server_table (world->server)).writes,
          2);
      destroy_world (world);
    }
}

/* The response to a commit is lost after it was applied.  A read then finds
   the new value and version, and a retry reports a conflict on that row.  */
Test (platform, lost_response_is_resolved_by_reading)
{
  struct mq_bytes none = { NULL, 0 };
  struct world *world = create_world ();
  uint64_t version = seed_row (world, "log", "0");
  const struct stored_result *scan = &world->results[1];

  set_fault (world, "{\"fault\":\"lost_answer\",\"count\":1}");
  send_write (world->platform, 0, "log", version, "batch 7");
  wait_results (world, 1);
  cr_assert_eq (world->results[0].status, MQ_STORE_LOST);
  send_request (world->platform, 1, MQ_STORE_SCAN, "log", none);
  wait_results (world, 2);
  cr_assert (scan->row_count == 1 && scan->rows[0].version > version);
  cr_assert_arr_eq (scan->rows[0].value.data, "batch 7", 7);
  send_write (world->platform, 2, "log", version, "batch 7");
  wait_results (world, 3);
  cr_assert_eq (world->results[2].status, MQ_STORE_CONFLICT);
  cr_assert (world->results[2].row_count == 1
             && strcmp (world->results[2].rows[0].key, "log") == 0);
  destroy_world (world);
}

/* Of two concurrent transactions with the same condition, one is applied and
   the other reports a conflict, so that a partition has one owner.  */
Test (platform, one_of_two_concurrent_transactions_applies)
{
  static const char *const orders[] = {
    "{\"fault\":\"clear\"}",
    "{\"fault\":\"slow\",\"ms\":20}",
    "{\"fault\":\"rate\",\"writes_per_s\":200}",
  };
  enum
  {
    ROUNDS = 10
  };

  for (size_t i = 0; i < COUNT_OF (orders); i++)
    {
      struct world *world = create_world ();
      uint16_t port = mq_platform_server_port (world->server);
      struct mq_platform *other = connect_to (world, port);

      set_fault (world, orders[i]);
      for (uint64_t round = 0; round < ROUNDS; round++)
        {
          const char *key = talloc_asprintf (world->top, "fence/%lu", round);
          const struct stored_result *stored = &world->results[2 * round];

          send_write (world->platform, 2 * round, key, 0, "a");
          send_write (other, 2 * round + 1, key, 0, "b");
          wait_results (world, 2 * round + 2);
          cr_assert_eq (stored[0].status + stored[1].status,
                        MQ_STORE_OK + MQ_STORE_CONFLICT);
        }
      mq_platform_destroy (other);
      destroy_world (world);
    }
}

/* A client that retries a write by itself when a reused connection is closed
   would apply an unconditional write twice.  */
Test (platform, write_on_a_closing_connection_is_sent_once)
{
  static const enum mq_store_kind kinds[]
      = { MQ_STORE_TXN, MQ_STORE_PUT, MQ_STORE_DELETE };

  for (size_t i = 0; i < COUNT_OF (kinds); i++)
    {
      struct world *world = create_world ();
      struct mq_table *table = mq_platform_server_table (world->server);
      struct mq_store_op op = { .key = (char *)"key",
                                .if_version = MQ_VERSION_ANY,
                                .value = bytes_of ("value") };
      struct mq_store_request request = { .kind = kinds[i],
                                          .key = op.key,
                                          .value = op.value,
                                          .ops = &op,
                                          .op_count = 1 };

      mq_platform_send (world->platform, &request);
      wait_results (world, 1);
      set_fault (world, "{\"fault\":\"lost_answer\",\"count\":1}");
      request.id = 1;
      mq_platform_send (world->platform, &request);
      wait_results (world, 2);
      cr_assert_eq (world->results[0].status, MQ_STORE_OK);
      cr_assert_eq (world->results[1].status, MQ_STORE_LOST);
      cr_assert_eq (mq_table_counters (table).writes, 2);
      destroy_world (world);
    }
}

/* Responses that violate the contract */

static const struct
{
  enum mq_store_kind kind;
  int answer;
  const char *body;
  enum mq_store_status status;
  uint64_t malformed;
} response_cases[] = {
  { MQ_STORE_TXN, 200, "{\"applied\":true,\"versions\":[5]}", MQ_STORE_OK, 0 },
  { MQ_STORE_TXN, 409, "{\"applied\":false,\"failed\":[\"key\"]}",
    MQ_STORE_CONFLICT, 0 },
  { MQ_STORE_TXN, 409, "{\"applied\":false}", MQ_STORE_CONFLICT, 0 },
  { MQ_STORE_TXN, 409, "{\"applied\":false,\"failed\":[7]}", MQ_STORE_LOST,
    1 },
  { MQ_STORE_TXN, 409, "{\"applied\":true,\"versions\":[5]}", MQ_STORE_LOST,
    1 },
  { MQ_STORE_TXN, 409, "proxy says no", MQ_STORE_LOST, 1 },
  { MQ_STORE_TXN, 200, "{\"applied\":false,\"failed\":[\"key\"]}",
    MQ_STORE_LOST, 1 },
  { MQ_STORE_TXN, 200, "", MQ_STORE_LOST, 1 },
  { MQ_STORE_TXN, 200, "{\"applied\":true", MQ_STORE_LOST, 1 },
  { MQ_STORE_TXN, 200, "{\"applied\":true}", MQ_STORE_LOST, 1 },
  { MQ_STORE_TXN, 200, "{\"applied\":true,\"versions\":[]}", MQ_STORE_LOST,
    1 },
  { MQ_STORE_TXN, 200, "{\"applied\":true,\"versions\":[0]}", MQ_STORE_LOST,
    1 },
  { MQ_STORE_TXN, 200, "{\"applied\":true,\"versions\":[\"5\"]}",
    MQ_STORE_LOST, 1 },
  { MQ_STORE_TXN, 200, "{\"applied\":true,\"versions\":[5,6]}", MQ_STORE_LOST,
    1 },
  { MQ_STORE_TXN, 503, "", MQ_STORE_DOWN, 0 },
  { MQ_STORE_TXN, 500, "", MQ_STORE_LOST, 0 },
  { MQ_STORE_TXN, 400, "", MQ_STORE_LOST, 0 },
  { MQ_STORE_TXN, 429, "", MQ_STORE_LOST, 0 },
  { MQ_STORE_TXN, 502, "{\"applied\":false}", MQ_STORE_LOST, 0 },
  { MQ_STORE_PUT, 500, "", MQ_STORE_LOST, 0 },
  { MQ_STORE_PUT, 404, "", MQ_STORE_LOST, 0 },
  { MQ_STORE_PUT, 503, "", MQ_STORE_DOWN, 0 },
  { MQ_STORE_DELETE, 404, "", MQ_STORE_OK, 0 },
  { MQ_STORE_DELETE, 500, "", MQ_STORE_LOST, 0 },
  { MQ_STORE_GET, 404, "", MQ_STORE_MISSING, 0 },
  { MQ_STORE_GET, 500, "", MQ_STORE_DOWN, 0 },
  { MQ_STORE_SCAN, 404, "", MQ_STORE_DOWN, 0 },
  { MQ_STORE_SCAN, 200, "{\"rows\":[],\"more\":false}", MQ_STORE_OK, 0 },
  { MQ_STORE_SCAN, 200, "{\"rows\":[],\"more\":true}", MQ_STORE_DOWN, 1 },
  { MQ_STORE_SCAN, 200, "{\"rows\":[]}", MQ_STORE_DOWN, 1 },
  { MQ_STORE_SCAN, 200, "[]", MQ_STORE_DOWN, 1 },
  { MQ_STORE_SCAN, 200,
    "{\"rows\":[{\"key\":\"key1\",\"version\":1,\"value\":\"AA==\"}],"
    "\"more\":false}",
    MQ_STORE_OK, 0 },
  { MQ_STORE_SCAN, 200,
    "{\"rows\":[{\"key\":\"key1\",\"version\":1,\"value\":\"A?\"}],"
    "\"more\":false}",
    MQ_STORE_DOWN, 1 },
  { MQ_STORE_SCAN, 200,
    "{\"rows\":[{\"key\":\"key1\",\"version\":0,\"value\":\"\"}],"
    "\"more\":false}",
    MQ_STORE_DOWN, 1 },
  { MQ_STORE_SCAN, 200,
    "{\"rows\":[{\"key\":\"other\",\"version\":1,\"value\":\"\"}],"
    "\"more\":false}",
    MQ_STORE_DOWN, 1 },
  { MQ_STORE_SCAN, 200,
    "{\"rows\":[{\"key\":\"key2\",\"version\":1,\"value\":\"\"},"
    "{\"key\":\"key1\",\"version\":2,\"value\":\"\"}],\"more\":false}",
    MQ_STORE_DOWN, 1 },
};

struct canned
{
  int status;
  const char *body;
};

static void
answer_canned (struct mq_http_request *request, void *data)
{
  const struct canned *canned = data;

  mq_http_respond (request, canned->status, "application/json", canned->body,
                   strlen (canned->body));
}

static struct mq_http_server *
serve_canned (struct world *world, struct canned *canned)
{
  struct mq_http_server_options options = { .address = "127.0.0.1:0" };
  struct mq_error error;
  struct mq_http_server *server = mq_http_server_create (
      world->top, world->ev, &options, answer_canned, canned, &error);

  cr_assert_not_null (server);
  return server;
}

Test (platform, malformed_responses_leave_outcome_unknown)
{
  struct world *world = create_world ();
  struct canned canned = { 0 };
  struct mq_http_server *server = serve_canned (world, &canned);
  struct mq_platform *platform
      = connect_to (world, mq_http_server_port (server));
  uint64_t malformed = 0;

  for (size_t i = 0; i < COUNT_OF (response_cases); i++)
    {
      struct mq_bytes none = { NULL, 0 };

      canned = (struct canned){ response_cases[i].answer,
                                response_cases[i].body };
      if (response_cases[i].kind == MQ_STORE_TXN)
        send_write (platform, i, "key", 4, "value");
      else
        send_request (platform, i, response_cases[i].kind, "key", none);
      wait_results (world, i + 1);
      malformed += response_cases[i].malformed;
      cr_assert_eq (world->results[i].status, response_cases[i].status,
                    "answer %zu: status %d", i, world->results[i].status);
      cr_assert (world->results[i].row_count == 0
                 || response_cases[i].malformed == 0);
      cr_assert_eq (mq_platform_counters (platform)->malformed, malformed);
    }
  mq_platform_destroy (platform);
  mq_http_server_destroy (server);
  destroy_world (world);
}

/* Keys and values are returned unchanged, whatever bytes they have.  */
static const struct
{
  const char *key;
  struct mq_bytes value;
} contents[] = {
  { "plain", { (uint8_t *)"text", 4 } },
  { "empty", { NULL, 0 } },
  { "zero", { (uint8_t *)"a\0b", 3 } },
  { "binary", { (uint8_t *)"\xff\xfe\x80\x01", 4 } },
  { "with/slashes/and..dots", { (uint8_t *)"1", 1 } },
  { "a b+c%2Fd&e=f?g#h", { (uint8_t *)"2", 1 } },
  { "h\xc3\xb4te", { (uint8_t *)"3", 1 } },
};

Test (platform, keys_and_values_are_returned_unchanged)
{
  for (size_t i = 0; i < COUNT_OF (contents); i++)
    {
      struct world *world = create_world ();
      const struct stored_result *scan = &world->results[2];
      const struct stored_result *get = &world->results[3];
      struct mq_bytes value = contents[i].value;
      struct mq_bytes none = { NULL, 0 };
      struct mq_store_op op
          = { .key = (char *)contents[i].key, .value = value };
      struct mq_store_request request
          = { .kind = MQ_STORE_TXN, .ops = &op, .op_count = 1 };

      mq_platform_send (world->platform, &request);
      send_request (world->platform, 1, MQ_STORE_PUT, op.key, value);
      wait_results (world, 2);
      send_request (world->platform, 2, MQ_STORE_SCAN, op.key, none);
      send_request (world->platform, 3, MQ_STORE_GET, op.key, none);
      wait_results (world, 4);
      cr_assert_eq (scan->row_count, 1, "%s", op.key);
      cr_assert_str_eq (scan->rows[0].key, op.key);
      cr_assert_eq (scan->rows[0].value.len, value.len);
      cr_assert_eq (get->value.len, value.len);
      if (value.len > 0)
        {
          cr_assert_arr_eq (scan->rows[0].value.data, value.data, value.len);
          cr_assert_arr_eq (get->value.data, value.data, value.len);
        }
      destroy_world (world);
    }
}

/* Writes beyond the rate limit of the platform are queued, not rejected.  */
Test (platform, writes_beyond_the_rate_are_queued)
{
  enum
  {
    WRITES = 30,
    PER_S = 100
  };
  struct world *world = create_world ();
  struct timespec from;
  struct timespec to;
  int64_t ms;

  set_fault (world, "{\"fault\":\"rate\",\"writes_per_s\":100}");
  clock_gettime (CLOCK_MONOTONIC, &from);
  for (uint64_t i = 0; i < WRITES; i++)
    send_write (world->platform, i, "log", MQ_VERSION_ANY, "value");
  wait_results (world, WRITES);
  clock_gettime (CLOCK_MONOTONIC, &to);
  ms = (to.tv_sec - from.tv_sec) * 1000
       + (to.tv_nsec - from.tv_nsec) / 1000000;
  for (size_t i = 0; i < WRITES; i++)
    cr_assert_eq (world->results[i].status, MQ_STORE_OK);
  /* Lower bound only: a busy machine may take longer.  */
  cr_assert_geq (ms, (WRITES - 2) * 1000 / PER_S, "%ld ms", ms);
  destroy_world (world);
}

/* Control interface of the stand-in */

struct answer
{
  bool received;
  int status;
  uint32_t retry_after_ms;
  char body[512];
};

static void
on_answer (const struct mq_http_result *result, void *user)
{
  struct answer *answer = user;

  answer->received = true;
  answer->status = result->status;
  answer->retry_after_ms = result->retry_after_ms;
  snprintf (answer->body, sizeof answer->body, "%s", result->body);
}

static struct answer
send_control (struct world *world, const char *method, const char *path,
              const char *body)
{
  struct answer answer = { 0 };
  struct mq_http_send send
      = { .method = method, .done = on_answer, .user = &answer };

  send.url = talloc_asprintf (
      world->top, "%s%s",
      url_of (world, mq_platform_server_port (world->server)), path);
  if (body != NULL)
    {
      send.body = body;
      send.len = strlen (body);
    }
  mq_http_client_send (world->client, &send);
  while (!answer.received)
    tevent_loop_once (world->ev);
  return answer;
}

#define HOST_REST                                                             \
  "\"role\":\"target\",\"data_centre\":\"hann\",\"region\":\"dakar\","        \
  "\"address\":\"127.0.0.1:1\",\"http\":\"127.0.0.1:2\""

static const struct
{
  const char *method;
  const char *path;
  const char *body;
  int status;
} orders[] = {
  { "POST", "/standin/fault", "{\"fault\":\"slow\",\"ms\":1}", 200 },
  { "POST", "/standin/fault", "{\"fault\":\"clear\",\"only\":\"slow\"}", 200 },
  { "POST", "/standin/fault", "{\"fault\":\"clear\",\"only\":\"x\"}", 400 },
  { "POST", "/standin/fault", "{\"fault\":\"refuse\"}", 400 },
  { "POST", "/standin/fault", "{\"fault\":\"slow\",\"seconds\":1}", 400 },
  { "POST", "/standin/fault", "{\"fault\":\"hang\",\"count\":0}", 400 },
  { "POST", "/standin/fault", "{\"fault\":\"slow\",\"ms\":-1}", 400 },
  { "POST", "/standin/fault", "hang", 400 },
  { "POST", "/standin/hosts", "{\"name\":\"t1\"}", 400 },
  { "POST", "/standin/hosts", "{\"name\":\"t1\"," HOST_REST "}", 200 },
  { "POST", "/standin/hosts", "{\"name\":\"t1\",\"leaving\":true}", 200 },
  { "POST", "/standin/hosts", "{\"name\":\"t1\",\"role\":\"x\"}", 400 },
  { "POST", "/standin/hosts", "{\"name\":\"t1\",\"colour\":\"x\"}", 400 },
  { "DELETE", "/standin/hosts/t1", NULL, 200 },
  { "DELETE", "/standin/hosts/t1", NULL, 404 },
  { "POST", "/standin/weights", "{\"name\":\"m\"}", 400 },
  { "GET", "/standin/stats", NULL, 200 },
  { "GET", "/standin/other", NULL, 404 },
  { "GET", "/v1/weights/m", NULL, 404 },
  { "POST", "/v1/table/transaction", "{\"ops\":[]}", 400 },
  { "POST", "/v1/table/transaction", "{\"ops\":[{\"key\":\"k\"}]}", 400 },
  { "POST", "/v1/table/transaction",
    "{\"ops\":[{\"key\":\"k\",\"value\":\"?\"}]}", 400 },
  { "GET", "/v1/table/rows?limit=x", NULL, 400 },
  { "GET", "/v1/objects/", NULL, 400 },
};

Test (standin_platform, control_requests_are_validated)
{
  struct world *world = create_world ();

  for (size_t i = 0; i < COUNT_OF (orders); i++)
    cr_assert_eq (
        send_control (world, orders[i].method, orders[i].path, orders[i].body)
            .status,
        orders[i].status, "order %zu", i);
  cr_assert_eq (
      mq_table_counters (mq_platform_server_table (world->server)).writes, 0);
  destroy_world (world);
}

/* Downloads of weights beyond the limit per minute get status 429 and a retry
   delay.  */
Test (standin_platform, weight_downloads_are_rate_limited)
{
  static const int statuses[] = { 200, 200, 200, 429, 429 };
  struct world *world = create_world ();
  struct answer answer;

  send_control (world, "POST", "/standin/weights",
                "{\"name\":\"m\",\"bytes\":7,\"loads_per_minute\":3}");
  for (size_t i = 0; i < COUNT_OF (statuses); i++)
    {
      answer = send_control (world, "GET", "/v1/weights/m", NULL);
      cr_assert_eq (answer.status, statuses[i], "load %zu", i);
      cr_assert_eq (answer.retry_after_ms > 0, answer.status == 429);
    }
  destroy_world (world);
}

/* A fault applies only to matching requests, and at most COUNT times.  */
static const struct
{
  const char *order;
  const char *name;
  const char *worker;
  uint32_t request_count;
  uint32_t applied;
  bool poll;
} fault_cases[] = {
  { "{\"fault\":\"hang\"}", "a", NULL, 3, 3, false },
  { "{\"fault\":\"hang\",\"count\":2}", "a", NULL, 3, 2, false },
  { "{\"fault\":\"hang\",\"match\":\"a/\"}", "a/b", NULL, 3, 3, false },
  { "{\"fault\":\"hang\",\"match\":\"a/\"}", "b/a/", NULL, 3, 0, false },
  { "{\"fault\":\"hang\",\"match\":\"a/\",\"count\":1}", "a/b", NULL, 3, 1,
    false },
  { "{\"fault\":\"hang\",\"worker\":\"w\"}", "a", "w", 3, 3, false },
  { "{\"fault\":\"hang\",\"worker\":\"w\"}", "a", "v", 3, 0, false },
  { "{\"fault\":\"hang\",\"worker\":\"w\"}", "a", NULL, 3, 0, false },
  { "{\"fault\":\"down\"}", "a", NULL, 3, 0, false },
  { "{\"fault\":\"clear\"}", "a", NULL, 3, 0, false },
  { "{\"fault\":\"hang\"}", "a", NULL, 3, 3, true },
  { "{\"fault\":\"hang\",\"count\":2}", "a", NULL, 3, 0, true },
};

Test (faults, apply_to_matching_requests)
{
  for (size_t i = 0; i < COUNT_OF (fault_cases); i++)
    {
      struct mq_faults *switches = mq_faults_create (NULL, UINT32_MAX);
      struct mq_fault_subject subject
          = { &fault_cases[i].name, 1, fault_cases[i].worker,
              fault_cases[i].poll };
      const char *order = fault_cases[i].order;
      struct mq_error error;
      uint32_t applied = 0;

      cr_assert (mq_faults_post (switches, order, strlen (order), &error));
      for (uint32_t n = 0; n < fault_cases[i].request_count; n++)
        applied += mq_faults_take (switches, MQ_FAULT_HANG, &subject, NULL);
      cr_assert_eq (applied, fault_cases[i].applied, "case %zu", i);
      talloc_free (switches);
    }
}

/* List of hosts */

struct seen
{
  size_t lists;
  size_t count;
  bool leaving; /* of the first host */
  char name[16];
};

static void
on_listed (const struct mq_host_list *hosts, void *user)
{
  struct seen *seen = user;

  seen->lists++;
  seen->count = hosts->count;
  if (hosts->count == 0)
    return;
  seen->leaving = hosts->items[0].leaving;
  snprintf (seen->name, sizeof seen->name, "%s", hosts->items[0].name);
}

/* The list of hosts reports a leaving host only after its lag, even if the
   platform is down in between.  */
Test (platform, host_list_lags_and_recovers)
{
  struct world *world = create_world ();
  struct seen seen = { 0 };

  send_control (world, "POST", "/standin/hosts",
                "{\"name\":\"t1\"," HOST_REST "}");
  mq_platform_watch_hosts (world->platform, 5, on_listed, &seen);
  while (seen.count == 0)
    tevent_loop_once (world->ev);
  cr_assert (strcmp (seen.name, "t1") == 0 && !seen.leaving);
  set_fault (world, "{\"fault\":\"hosts_lag\",\"ms\":200}");
  set_fault (world, "{\"fault\":\"down\",\"match\":\"hosts\",\"count\":3}");
  send_control (world, "POST", "/standin/hosts",
                "{\"name\":\"t1\",\"leaving\":true}");
  cr_assert (!seen.leaving);
  while (!seen.leaving)
    tevent_loop_once (world->ev);
  cr_assert_eq (mq_platform_counters (world->platform)->failures, 3);
  set_fault (world, "{\"fault\":\"clear\"}");
  send_control (world, "DELETE", "/standin/hosts/t1", NULL);
  while (seen.count == 1)
    tevent_loop_once (world->ev);
  destroy_world (world);
}

/* The poll interval grows with the list, to limit the read load on the
   platform, but has an upper bound, so that leaving hosts are noticed in time.
 */
static const struct
{
  uint32_t interval_ms;
  size_t hosts;
  uint32_t pause_ms;
} polls[] = {
  { 1000, 0, 1000 },    { 1000, 50, 1000 },   { 1000, 100, 2000 },
  { 1000, 250, 5000 },  { 1000, 7100, 5000 }, { 1000, 1000000, 5000 },
  { 9000, 7100, 9000 }, { 5, 1, 20 },
};

Test (platform, poll_interval_grows_with_the_list)
{
  for (size_t i = 0; i < sizeof polls / sizeof polls[0]; i++)
    cr_expect_eq (
        mq_platform_poll_interval_ms (polls[i].interval_ms, polls[i].hosts),
        polls[i].pause_ms, "%zu hosts", polls[i].hosts);
}

/* A malformed entry must not hide the other hosts, and a malformed response
   must not be taken for an empty list.  */
static const struct
{
  const char *body;
  size_t lists;
  size_t hosts;
  uint64_t malformed;
} lists[] = {
  { "{\"hosts\":[]}", 1, 0, 0 },
  { "{\"hosts\":[{\"name\":\"t1\",\"leaving\":false," HOST_REST "}]}", 1, 1,
    0 },
  { "{\"hosts\":[7,{\"name\":\"t2\"},{\"name\":\"t1\",\"leaving\":"
    "false," HOST_REST "}]}",
    1, 1, 2 },
  { "{\"hosts\":{}}", 0, 0, 1 },
  { "{", 0, 0, 1 },
};

Test (platform, malformed_entry_hides_no_other_host)
{
  for (size_t i = 0; i < COUNT_OF (lists); i++)
    {
      struct world *world = create_world ();
      struct canned canned = { 200, lists[i].body };
      struct mq_http_server *server = serve_canned (world, &canned);
      struct mq_platform *platform
          = connect_to (world, mq_http_server_port (server));
      const struct mq_platform_counters *counters
          = mq_platform_counters (platform);
      struct seen seen = { 0 };

      mq_platform_watch_hosts (platform, 1000 * TEST_TIMEOUT_S, on_listed,
                               &seen);
      while (seen.lists + counters->malformed == 0)
        tevent_loop_once (world->ev);
      cr_assert_eq (seen.lists, lists[i].lists, "list %zu", i);
      cr_assert_eq (seen.count, lists[i].hosts, "list %zu", i);
      cr_assert_eq (counters->malformed, lists[i].malformed, "list %zu", i);
      mq_platform_destroy (platform);
      mq_http_server_destroy (server);
      destroy_world (world);
    }
}
