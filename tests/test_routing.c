/* test_routing.c - unit tests of routes, worker selection and retry decisions.

   Needs: Criterion, route.h, fleet.h, attempt.h.  */

#include "core/router/attempt.h"
#include "core/router/fleet.h"
#include "core/id.h"
#include "core/router/route.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])

/* Routes */

static struct mq_route_backend backends[]
    = { { "old", 90 }, { "new", 10 }, { "none", 0 } };

static struct mq_path_route routes[] = {
  { .name = "root", .host = "a.example", .prefix = "/" },
  { .name = "one", .host = "a.example", .prefix = "/one/" },
  { .name = "two", .host = "a.example", .prefix = "/one/two/" },
  { .name = "other", .host = "ab.example", .prefix = "/one/" },
  { .name = "deep", .host = "b.example", .prefix = "/x/y/z/" },
};

struct route_case
{
  const char *host;
  const char *path;
  const char *name; /* NULL if none */
};

Test (routing, longest_prefix_of_the_host)
{
  static const struct route_case cases[] = {
    { "a.example", "/", "root" },
    { "a.example", "/one", "root" },
    { "a.example", "/one/", "one" },
    { "a.example", "/one/x?y=/one/two/", "one" },
    { "a.example", "/one/two/three", "two" },
    { "a.example:8080", "/one/two/three", "two" },
    { "ab.example", "/one/two/", "other" },
    { "ab.example", "/two/", NULL },
    { "b.example", "/x/y/", NULL },
    { "b.example", "/x/y/z/", "deep" },
    { "b.example", "/x/y?/z/", NULL },
    { "c.example", "/", NULL },
    { "a.exampl", "/", NULL },
    { "", "/", NULL },
  };
  struct mq_route_table table
      = { .routes = routes, .route_count = ROWS (routes) };

  mq_route_table_sort (&table);
  for (size_t i = 0; i < ROWS (cases); i++)
    {
      const struct mq_path_route *found
          = mq_route_find (&table, cases[i].host, cases[i].path);

      cr_assert_str_eq (found == NULL ? "" : found->name,
                        cases[i].name == NULL ? "" : cases[i].name, "%s%s",
                        cases[i].host, cases[i].path);
    }
}

Test (routing, service_by_weight)
{
  struct mq_path_route route = { .backends = backends, .backend_count = 3 };
  int newer = 0;

  for (uint64_t key = 0; key < 1000; key++)
    {
      const char *service = mq_route_service (&route, key);

      cr_assert_str_neq (service, "none");
      cr_assert_str_eq (service, mq_route_service (&route, key));
      newer += strcmp (service, "new") == 0 ? 1 : 0;
    }
  cr_assert_eq (newer, 100);
}

/* Choice of a worker */

static struct mq_fleet *fleet;

/* Returns the handle of the worker ID among those that QUERY may choose.  */
static uint32_t
find_worker (struct mq_fleet_query query, const char *id)
{
  uint32_t tried[16];

  query.tried = tried;
  for (query.tried_count = 0; query.tried_count < 16; query.tried_count++)
    {
      uint32_t worker = mq_fleet_choose (fleet, &query);

      if (worker == MQ_WORKER_NONE)
        break;
      if (strcmp (mq_fleet_member (fleet, worker)->id, id) == 0)
        return worker;
      tried[query.tried_count] = worker;
    }
  return MQ_WORKER_NONE;
}

static uint32_t
handle_of (const char *id)
{
  struct mq_fleet_query query
      = { .service = "s", .data_centre = "a", .now_ms = 1 };

  return find_worker (query, id);
}

static void
put (const char *id, const char *data_centre, uint32_t slots, bool leaving)
{
  struct mq_fleet_member member = { .id = id,
                                    .service = "s",
                                    .address = "127.0.0.1:1",
                                    .data_centre = data_centre,
                                    .slots = slots,
                                    .leaving = leaving };

  cr_assert (mq_fleet_put (fleet, &member, NULL));
}

static void
put_start (const char *address, uint64_t born_ms)
{
  struct mq_fleet_member member = { .id = "w0",
                                    .service = "s",
                                    .address = address,
                                    .data_centre = "a",
                                    .slots = 4,
                                    .born_ms = born_ms };

  cr_assert (mq_fleet_put (fleet, &member, NULL));
}

static void
make_fleet (void)
{
  fleet = mq_fleet_create (NULL);
  put ("w0", "a", 4, false);
  put ("w1", "b", 4, false);
  put ("w2", "b", 4, false);
}

static void
destroy_fleet (void)
{
  mq_fleet_destroy (fleet);
}

TestSuite (fleet, .init = make_fleet, .fini = destroy_fleet);

static const char *
chosen (uint64_t now_ms, const uint64_t *key, uint64_t random)
{
  struct mq_fleet_query query = { .service = "s",
                                  .data_centre = "a",
                                  .has_key = key != NULL,
                                  .key = key == NULL ? 0 : *key,
                                  .now_ms = now_ms,
                                  .random = random };
  uint32_t worker = mq_fleet_choose (fleet, &query);

  return worker == MQ_WORKER_NONE ? "none"
                                  : mq_fleet_member (fleet, worker)->id;
}

Test (fleet, prefers_local_and_idle_workers)
{
  cr_assert_str_eq (chosen (1, NULL, 7), "w0");
  mq_fleet_request_started (fleet, handle_of ("w0"), 0);
  cr_assert_str_neq (chosen (1, NULL, 7), "w0");
}

/* Requests with a key go to the same worker from all hosts while it has free
   slots.  */
Test (fleet, key_affinity)
{
  for (uint64_t key = 1; key < 50; key++)
    {
      const char *first = chosen (1, &key, 1);

      for (uint64_t random = 2; random < 6; random++)
        cr_assert_str_eq (chosen (1, &key, random), first);
    }
}

Test (fleet, full_worker_is_skipped)
{
  uint64_t key = 3;
  const char *first = chosen (1, &key, 1);
  uint32_t worker = handle_of (first);

  mq_fleet_record_load (fleet, worker, 4, 2, 1000);
  cr_assert_str_neq (chosen (1001, &key, 1), first);
  /* The load report has expired.  */
  cr_assert_str_eq (chosen (1000 + MQ_FLEET_LOAD_TTL_MS, &key, 1), first);
}

static uint32_t
home_index (uint64_t now_ms, uint64_t random)
{
  struct mq_fleet_query query = {
    .service = "s", .data_centre = "a", .now_ms = now_ms, .random = random
  };

  query.home = mq_fleet_choose_home (fleet, &query);
  query.has_key = true;
  return mq_fleet_choose (fleet, &query);
}

struct home_case
{
  uint32_t reported[3]; /* requests at each worker */
  const char *home;     /* NULL if any */
};

/* A new program is placed at the least loaded worker by recent reports.  Its
   home takes precedence over its key.  */
Test (fleet, home_of_a_new_program)
{
  static const struct home_case cases[] = {
    { { 4, 1, 4 }, "w1" },
    { { 0, 3, 3 }, "w0" },
    { { 6, 6, 5 }, "w2" },
    { { 2, 2, 2 }, NULL },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      uint64_t now = 10000 * (i + 1);

      for (int round = 0; round < 4; round++)
        {
          mq_fleet_record_load (fleet, handle_of ("w0"), cases[i].reported[0],
                                0, now);
          mq_fleet_record_load (fleet, handle_of ("w1"), cases[i].reported[1],
                                0, now);
          mq_fleet_record_load (fleet, handle_of ("w2"), cases[i].reported[2],
                                0, now);
        }
      for (uint64_t random = 1; random < 20; random++)
        {
          uint32_t worker = home_index (now + 1, random);

          cr_assert_neq (worker, MQ_WORKER_NONE);
          if (cases[i].home != NULL)
            cr_expect_str_eq (mq_fleet_member (fleet, worker)->id,
                              cases[i].home, "row %zu", i);
        }
    }
}

/* If the home is gone, or full while others are not, the worker is chosen by
   key.  */
Test (fleet, unavailable_home_falls_back_to_key)
{
  struct mq_fleet_query query = { .service = "s",
                                  .data_centre = "a",
                                  .has_key = true,
                                  .key = 3,
                                  .now_ms = 1000,
                                  .random = 1 };
  uint32_t by_key = mq_fleet_choose (fleet, &query);
  uint32_t other = (by_key + 1) % 3;

  for (uint32_t i = 0; i < 12; i++)
    mq_fleet_record_load (fleet, i % 3, i % 3 == other ? 1 : 3, 0, 900);
  query.home = mq_fleet_choose_home (fleet, &query);
  cr_assert_eq (mq_fleet_choose (fleet, &query), other);
  mq_fleet_record_load (fleet, other, 4, 4, 1000);
  cr_expect_neq (mq_fleet_choose (fleet, &query), other);
  query.now_ms = 1000 + MQ_FLEET_LOAD_TTL_MS;
  cr_assert_eq (mq_fleet_choose (fleet, &query), other);
  mq_fleet_remove (fleet, mq_fleet_member (fleet, other)->id, 0);
  cr_expect_eq (mq_fleet_choose (fleet, &query), by_key);
}

static void
put_version (const char *id, const char *version, bool leaving)
{
  struct mq_fleet_member member = { .id = id,
                                    .service = "v",
                                    .address = "127.0.0.1:1",
                                    .data_centre = "a",
                                    .version = version,
                                    .slots = 4,
                                    .leaving = leaving };

  cr_assert (mq_fleet_put (fleet, &member, NULL));
}

static uint32_t
handle_of_version (const char *id)
{
  struct mq_fleet_query query
      = { .service = "v", .data_centre = "a", .now_ms = 1 };

  return find_worker (query, id);
}

/* States of the workers x0 (v1), x1 (v1) and x2 (v2).  */
enum version_state
{
  VERSION_READY,
  VERSION_FULL,
  VERSION_EJECTED,
  VERSION_LEAVING,
  VERSION_LEFT_LONG_AGO,
  VERSION_GONE
};

struct version_case
{
  const char *name;
  enum version_state first;
  enum version_state second;
  const char *version; /* required; NULL if any */
  const char *chosen;
};

#define VERSION_NOW_MS 10000U
#define VERSION_DRAIN_MS 1000U

static void
set_version_state (const char *id, enum version_state state)
{
  uint64_t since = state == VERSION_LEFT_LONG_AGO
                       ? VERSION_NOW_MS - VERSION_DRAIN_MS
                       : VERSION_NOW_MS - VERSION_DRAIN_MS + 1;

  put_version (id, "v1", false);
  switch (state)
    {
    case VERSION_READY:
      return;
    case VERSION_FULL:
      mq_fleet_record_load (fleet, handle_of_version (id), 4, 4,
                            VERSION_NOW_MS);
      return;
    case VERSION_EJECTED:
      for (int i = 0; i < 2; i++)
        {
          uint32_t worker = handle_of_version (id);

          mq_fleet_request_started (fleet, worker, 0);
          mq_fleet_request_ended (fleet, worker, MQ_OUTCOME_FAILED,
                                  VERSION_NOW_MS);
        }
      return;
    case VERSION_LEAVING:
    case VERSION_LEFT_LONG_AGO:
      mq_fleet_set_time (fleet, since);
      put_version (id, "v1", true);
      return;
    case VERSION_GONE:
      mq_fleet_remove (fleet, id, 0);
      return;
    }
}

/* Guards against a stream that goes on at another version, or is broken off
   although a worker of its version still serves.  */
Test (fleet, choice_within_a_version)
{
  static const struct version_case cases[] = {
    { "other version is idle", VERSION_READY, VERSION_FULL, "v1", "x0" },
    { "only worker is full", VERSION_FULL, VERSION_GONE, "v1", "x0" },
    { "only worker is ejected", VERSION_EJECTED, VERSION_GONE, "v1", "x0" },
    { "full before ejected", VERSION_EJECTED, VERSION_FULL, "v1", "x1" },
    { "only worker leaves", VERSION_LEAVING, VERSION_GONE, "v1", "x0" },
    { "ejected before leaving", VERSION_LEAVING, VERSION_EJECTED, "v1", "x1" },
    { "has left", VERSION_LEFT_LONG_AGO, VERSION_GONE, "v1", "none" },
    { "none is listed", VERSION_GONE, VERSION_GONE, "v1", "none" },
    { "unknown version", VERSION_READY, VERSION_READY, "v3", "none" },
    { "leaving worker gets no new stream", VERSION_LEAVING, VERSION_GONE, NULL,
      "x2" },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      const struct version_case *row = &cases[i];
      struct mq_fleet_member wanted
          = { .service = "v", .version = row->version };
      struct mq_fleet_query query
          = { .service = "v",
              .data_centre = "a",
              .version = mq_fleet_version_digest (&wanted),
              .drain_ms = VERSION_DRAIN_MS,
              .now_ms = VERSION_NOW_MS };
      uint32_t worker;

      put_version ("x2", "v2", false);
      set_version_state ("x0", row->first);
      set_version_state ("x1", row->second);
      worker = mq_fleet_choose (fleet, &query);
      cr_assert_str_eq (worker == MQ_WORKER_NONE
                            ? "none"
                            : mq_fleet_member (fleet, worker)->id,
                        row->chosen, "%s", row->name);
      destroy_fleet ();
      fleet = mq_fleet_create (NULL);
    }
}

static uint64_t
sole_version (uint64_t now_ms)
{
  return mq_fleet_sole_version (fleet, "v", MQ_FLEET_VERSION_MEMORY_MS,
                                now_ms);
}

/* A service has a sole version once no other one was listed for a while.
   Guards against taking the version of today for that of an old stream.  */
Test (fleet, sole_version_of_a_service)
{
  uint64_t now = 1000;

  mq_fleet_set_time (fleet, now);
  put_version ("x0", "v1", false);
  cr_assert_eq (sole_version (now), 0);
  cr_assert_neq (mq_fleet_sole_version (fleet, "v", 0, now), 0);
  now += MQ_FLEET_VERSION_MEMORY_MS;
  cr_assert_neq (sole_version (now), 0);
  cr_assert_eq (mq_fleet_sole_version (fleet, "unknown", 0, now), 0);
  mq_fleet_set_time (fleet, now);
  put_version ("x1", "v2", false);
  cr_assert_eq (sole_version (now), 0);
  cr_assert_eq (mq_fleet_sole_version (fleet, "v", 0, now), 0);
  now += 2UL * MQ_FLEET_VERSION_MEMORY_MS;
  cr_assert_eq (sole_version (now), 0);
  mq_fleet_set_time (fleet, now);
  mq_fleet_remove (fleet, "x0", 0);
  cr_assert_eq (sole_version (now), 0);
  now += MQ_FLEET_VERSION_MEMORY_MS + 1;
  cr_assert_eq (sole_version (now), mq_fleet_common_version (fleet, "v"));
  put_version ("x3", NULL, false);
  cr_assert_eq (sole_version (now), 0);
}

/* Failure: a version returns after a while, another host has dropped it from
   the service's row meanwhile, and its streams begin without being named
   there.  */
Test (fleet, recorded_version_is_forgotten_while_it_is_away)
{
  static const uint32_t away_ms[] = { 100, MQ_FLEET_VERSION_MEMORY_MS };
  uint64_t now = 1000;

  for (size_t i = 0; i < ROWS (away_ms); i++)
    {
      uint64_t version;

      mq_fleet_set_time (fleet, now);
      put_version ("x0", "v1", false);
      version = mq_fleet_common_version (fleet, "v");
      mq_fleet_set_recorded (fleet, "v", version, false, 1);
      cr_assert (mq_fleet_is_recorded (fleet, "v", version));
      cr_assert_not (mq_fleet_is_recorded (fleet, "v", version + 1));
      cr_assert (mq_fleet_recorded_several (fleet, "v"));
      mq_fleet_remove (fleet, "x0", 0);
      now += away_ms[i];
      mq_fleet_set_time (fleet, now);
      put_version ("x0", "v1", false);
      cr_assert_eq (mq_fleet_is_recorded (fleet, "v", version), i == 0);
    }
}

/* Failure: a host goes by a service's row that it read before another version
   was listed.  */
Test (fleet, sole_version_of_a_row_holds_until_another_is_listed)
{
  uint64_t version;

  mq_fleet_set_time (fleet, 1000);
  put_version ("x0", "v1", false);
  version = mq_fleet_common_version (fleet, "v");
  cr_assert_eq (mq_fleet_unrecorded_version (fleet, "v"), version);
  cr_assert_not (mq_fleet_all_recorded (fleet, "v"));
  mq_fleet_set_recorded (fleet, "v", version, true, 5);
  cr_assert_eq (mq_fleet_recorded_sole (fleet, "v"), version);
  cr_assert_eq (mq_fleet_settled_s (fleet, "v", version), 5);
  cr_assert_eq (mq_fleet_unrecorded_version (fleet, "v"), 0);
  put_version ("x1", "v1", false);
  cr_assert_eq (mq_fleet_recorded_sole (fleet, "v"), version);
  put_version ("x2", "v2", false);
  cr_assert_eq (mq_fleet_recorded_sole (fleet, "v"), 0);
  cr_assert_neq (mq_fleet_unrecorded_version (fleet, "v"), 0);
  cr_assert_eq (mq_fleet_recorded_version (fleet, "v"), version);
  mq_fleet_set_recorded (fleet, "v", version, true, 5);
  cr_assert_eq (mq_fleet_recorded_sole (fleet, "v"), 0);
  mq_fleet_remove (fleet, "x2", 0);
  cr_assert_eq (mq_fleet_unrecorded_version (fleet, "v"), version);
  mq_fleet_set_recorded (fleet, "v", version, true, 5);
  cr_assert (mq_fleet_all_recorded (fleet, "v"));
  mq_fleet_list_begin (fleet);
  cr_assert_eq (mq_fleet_recorded_sole (fleet, "v"), 0);
}

struct pressure_case
{
  const char *name;
  uint32_t answers;
  uint32_t waiting; /* queued requests; all four slots are in use */
  uint32_t wait_ms; /* the objective is 100 ms */
  uint32_t pressure;
};

/* Pressure is high only if workers have queues and responses are delayed.
   Guards against rejecting programs that would meet their deadline.  Few
   reports give a low pressure.  */
Test (fleet, pressure_of_a_service)
{
  static const struct pressure_case cases[] = {
    { "idle", 16, 0, 6, 100 },
    { "queue and short delay", 16, 4, 12, 200 },
    { "queue and long delay", 16, 4, 120, 2000 },
    { "delayed without a queue", 16, 0, 300, 1000 },
    { "few reports", 2, 4, 120, 500 },
    { "no reports", 0, 0, 0, 0 },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      uint64_t now = 10000 * (i + 1);

      for (uint32_t k = 0; k < cases[i].answers; k++)
        {
          mq_fleet_record_load (fleet, handle_of ("w0"), 4, cases[i].waiting,
                                now);
          mq_fleet_record_delay (fleet, handle_of ("w0"), cases[i].wait_ms,
                                 100, now);
        }
      cr_expect_eq (mq_fleet_service_pressure (fleet, "s", now + 1),
                    cases[i].pressure, "%s: %u", cases[i].name,
                    mq_fleet_service_pressure (fleet, "s", now + 1));
    }
  cr_expect_eq (mq_fleet_service_pressure (fleet, "unknown", 1), 0);
}

struct outcome_case
{
  const char *name;
  enum mq_fleet_outcome outcomes[3];
  int count;
  bool ejected;
};

Test (fleet, failures_eject_a_worker)
{
  static const struct outcome_case cases[] = {
    { "succeeded", { MQ_OUTCOME_SUCCEEDED }, 1, false },
    { "one failure", { MQ_OUTCOME_FAILED }, 1, false },
    { "two failures", { MQ_OUTCOME_FAILED, MQ_OUTCOME_FAILED }, 2, true },
    { "success between",
      { MQ_OUTCOME_FAILED, MQ_OUTCOME_SUCCEEDED, MQ_OUTCOME_FAILED },
      3,
      false },
    { "unreachable", { MQ_OUTCOME_UNREACHABLE }, 1, true },
    { "cancelled", { MQ_OUTCOME_CANCELLED, MQ_OUTCOME_CANCELLED }, 2, false },
    { "leaving", { MQ_OUTCOME_LEAVING }, 1, true },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      uint32_t worker;
      bool ejected;

      destroy_fleet ();
      make_fleet ();
      worker = handle_of ("w0");
      for (int k = 0; k < cases[i].count; k++)
        {
          mq_fleet_request_started (fleet, worker, 0);
          mq_fleet_request_ended (fleet, worker, cases[i].outcomes[k], 1000);
        }
      ejected = strcmp (chosen (1001, NULL, 7), "w0") != 0;
      cr_assert_eq (ejected, cases[i].ejected, "%s", cases[i].name);
    }
}

/* An ejected worker returns after a backoff that doubles with each ejection.
 */
Test (fleet, ejection_backoff_doubles)
{
  uint32_t worker = handle_of ("w0");
  uint64_t now = 1000;
  uint64_t pause = MQ_FLEET_EJECT_MS;

  for (int i = 0; i < 5; i++)
    {
      mq_fleet_request_started (fleet, worker, 0);
      mq_fleet_request_ended (fleet, worker, MQ_OUTCOME_UNREACHABLE, now);
      cr_assert_str_neq (chosen (now + pause - 1, NULL, 7), "w0");
      cr_assert_str_eq (chosen (now + pause, NULL, 7), "w0", "after %d", i);
      now += pause;
      if (pause < MQ_FLEET_EJECT_MAX_MS)
        pause *= 2;
    }
}

/* A worker that fails two of five requests, never two in a row, is ejected by
   its failure rate until it recovers.  */
Test (fleet, high_failure_rate_ejects_a_worker)
{
  uint32_t worker = handle_of ("w0");
  uint64_t now = 1000;
  int sent = 0;

  for (int i = 0; i < 400; i++, now += 50)
    {
      bool fails = sent % 5 == 0 || sent % 5 == 2;

      if (strcmp (chosen (now, NULL, 7), "w0") != 0)
        continue;
      sent++;
      mq_fleet_request_started (fleet, worker, 0);
      mq_fleet_request_ended (fleet, worker,
                              fails ? MQ_OUTCOME_FAILED : MQ_OUTCOME_SUCCEEDED,
                              now);
    }
  cr_assert_leq (sent, 60, "%d of 400", sent);
  sent = 0;
  for (int i = 0; i < 800; i++, now += 50)
    if (strcmp (chosen (now, NULL, 7), "w0") == 0)
      {
        sent++;
        mq_fleet_request_started (fleet, worker, 0);
        mq_fleet_request_ended (fleet, worker, MQ_OUTCOME_SUCCEEDED, now);
      }
  cr_assert_geq (sent, 600, "%d of 800 after recovery", sent);
}

/* Ejections are ignored when most workers of a service fail at once.  */
Test (fleet, ejections_ignored_if_most_workers_fail)
{
  for (int i = 0; i < 3; i++)
    {
      char id[16];
      uint32_t worker;

      snprintf (id, sizeof id, "w%d", i);
      worker = handle_of (id);
      mq_fleet_request_started (fleet, worker, 0);
      mq_fleet_request_ended (fleet, worker, MQ_OUTCOME_UNREACHABLE, 1000);
    }
  cr_assert_str_eq (chosen (1001, NULL, 7), "w0");
}

Test (fleet, workers_are_added_and_removed)
{
  uint32_t worker = handle_of ("w0");

  cr_assert_eq (mq_fleet_count (fleet, "s"), 3);
  put ("w1", "b", 4, true);
  cr_assert_eq (mq_fleet_count (fleet, "s"), 2);
  /* A request in progress keeps the handle valid.  */
  mq_fleet_request_started (fleet, worker, 0);
  cr_assert (mq_fleet_remove (fleet, "w0", 0));
  cr_assert_not (mq_fleet_remove (fleet, "w0", 0));
  cr_assert_str_eq (mq_fleet_member (fleet, worker)->id, "w0");
  cr_assert_not (mq_fleet_is_available (fleet, worker));
  cr_assert_str_eq (chosen (1, NULL, 7), "w2");
  mq_fleet_request_ended (fleet, worker, MQ_OUTCOME_SUCCEEDED, 5);
  /* A full list without w2 removes it.  */
  mq_fleet_list_begin (fleet);
  put ("w3", "a", 4, false);
  mq_fleet_list_end (fleet, 0);
  cr_assert_str_eq (chosen (1, NULL, 7), "w3");
  cr_assert_eq (mq_fleet_count (fleet, "s"), 1);
}

/* After a registry outage, entries that return before their removal time are
   kept; the others are removed.  */
Test (fleet, entries_return_before_removal)
{
  cr_assert (mq_fleet_remove (fleet, "w0", 5000));
  mq_fleet_list_begin (fleet);
  put ("w1", "b", 4, false);
  mq_fleet_list_end (fleet, 5000);
  mq_fleet_expire (fleet, 4999);
  cr_assert_eq (mq_fleet_count (fleet, "s"), 3);
  put ("w0", "a", 4, false);
  mq_fleet_expire (fleet, 5000);
  cr_assert_eq (mq_fleet_count (fleet, "s"), 2);
  cr_assert_str_eq (chosen (1, NULL, 7), "w0");
}

/* Retry decisions */

struct response_case
{
  const char *name;
  struct mq_attempt_response response;
  enum mq_attempt_end end;
};

/* Guards against forwarding a status that implies that the request did not run
   when it may have, and a plain response in the middle of a stream.  */
Test (attempt, classify)
{
  static const struct response_case cases[] = {
    { "plain", { .status = 200 }, MQ_ATTEMPT_ANSWERED },
    { "not found", { .status = 404 }, MQ_ATTEMPT_ANSWERED },
    { "stream", { .status = 200, .stream = true }, MQ_ATTEMPT_STREAMED },
    { "resumed stream",
      { .status = 200, .stream = true, .begun = true, .repeatable = true },
      MQ_ATTEMPT_STREAMED },
    { "truncated stream",
      { .status = 200, .stream = true, .truncated = true },
      MQ_ATTEMPT_BROKEN },
    { "plain response in the middle of a stream",
      { .status = 404, .begun = true, .repeatable = true },
      MQ_ATTEMPT_BROKEN },
    { "states not run",
      { .status = 503, .not_run = true },
      MQ_ATTEMPT_NOT_RUN },
    { "states not run, repeatable",
      { .status = 429, .not_run = true, .repeatable = true },
      MQ_ATTEMPT_NOT_RUN },
    { "503 without not_run", { .status = 503 }, MQ_ATTEMPT_BROKEN },
    { "429 without not_run", { .status = 429 }, MQ_ATTEMPT_BROKEN },
    { "408 without not_run", { .status = 408 }, MQ_ATTEMPT_BROKEN },
    { "421 without not_run", { .status = 421 }, MQ_ATTEMPT_BROKEN },
    { "429 without not_run, repeatable",
      { .status = 429, .repeatable = true },
      MQ_ATTEMPT_ANSWERED },
    { "503 without not_run, repeatable",
      { .status = 503, .repeatable = true },
      MQ_ATTEMPT_ERROR },
    { "500, repeatable",
      { .status = 500, .repeatable = true },
      MQ_ATTEMPT_ERROR },
    { "500, not repeatable", { .status = 500 }, MQ_ATTEMPT_ANSWERED },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    cr_assert_eq (mq_attempt_classify (&cases[i].response), cases[i].end, "%s",
                  cases[i].name);
}

/* Tokens are rounded up to whole events.  Rounded down, the last event would
   exceed the budget.  */
Test (route, rounds_to_whole_events)
{
  static const struct
  {
    uint32_t per_event;
    uint64_t tokens;
    uint64_t whole;
  } cases[]
      = { { 1, 7, 7 }, { 4, 8, 8 }, { 4, 9, 12 }, { 0, 5, 5 }, { 16, 0, 0 } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct mq_route_service service
          = { .tokens_per_event = cases[i].per_event };

      cr_assert_eq (mq_route_round_to_events (&service, cases[i].tokens),
                    cases[i].whole, "%zu", i);
    }
  cr_assert_eq (mq_route_round_to_events (NULL, 5), 5);
}

struct attempt_case
{
  const char *name;
  struct mq_attempt attempt;
  enum mq_attempt_next next;
};

/* Fields of struct mq_attempt in order.  */
#define ATTEMPT(...)                                                          \
  {                                                                           \
    __VA_ARGS__                                                               \
  }

Test (attempt, decide)
{
  static const struct attempt_case cases[] = {
    { "unreachable",
      ATTEMPT (MQ_ATTEMPT_UNREACHABLE, false, false, 0, 2, 1, 500, false),
      MQ_NEXT_RETRY },
    { "unreachable too often",
      ATTEMPT (MQ_ATTEMPT_UNREACHABLE, true, false, 0, 2, 4, 500, false),
      MQ_NEXT_REFUSE },
    { "not run",
      ATTEMPT (MQ_ATTEMPT_NOT_RUN, false, false, 1, 2, 0, 500, false),
      MQ_NEXT_RETRY },
    { "not run twice",
      ATTEMPT (MQ_ATTEMPT_NOT_RUN, false, false, 2, 2, 0, 500, false),
      MQ_NEXT_REFUSE },
    { "not run, no time",
      ATTEMPT (MQ_ATTEMPT_NOT_RUN, false, false, 1, 2, 0, 10, false),
      MQ_NEXT_REFUSE },
    { "broken, not repeatable",
      ATTEMPT (MQ_ATTEMPT_BROKEN, false, false, 1, 2, 0, 500, true),
      MQ_NEXT_FAIL },
    { "broken, repeatable",
      ATTEMPT (MQ_ATTEMPT_BROKEN, true, false, 1, 2, 0, 500, true),
      MQ_NEXT_RETRY },
    { "broken twice",
      ATTEMPT (MQ_ATTEMPT_BROKEN, true, false, 2, 2, 0, 500, true),
      MQ_NEXT_FAIL },
    { "broken in the middle, repeatable",
      ATTEMPT (MQ_ATTEMPT_BROKEN, true, true, 1, 2, 0, 500, true),
      MQ_NEXT_RETRY },
    { "broken in the middle, not repeatable",
      ATTEMPT (MQ_ATTEMPT_BROKEN, false, true, 1, 2, 0, 500, true),
      MQ_NEXT_ABORT },
    { "error, not repeatable",
      ATTEMPT (MQ_ATTEMPT_ERROR, false, false, 1, 2, 0, 500, true),
      MQ_NEXT_FORWARD },
    { "error, last",
      ATTEMPT (MQ_ATTEMPT_ERROR, true, false, 2, 2, 0, 500, true),
      MQ_NEXT_FORWARD },
    { "ran before, then not run",
      ATTEMPT (MQ_ATTEMPT_NOT_RUN, true, false, 2, 2, 0, 500, true),
      MQ_NEXT_FAIL },
    { "not run in the middle of a stream",
      ATTEMPT (MQ_ATTEMPT_NOT_RUN, true, true, 2, 2, 0, 500, true),
      MQ_NEXT_ABORT },
  };

  for (size_t i = 0; i < ROWS (cases); i++)
    cr_assert_eq (mq_attempt_decide (&cases[i].attempt), cases[i].next, "%s",
                  cases[i].name);
}

/* The digest detects any change in the list of workers and ignores its order.
   Guards against a host that keeps using a worker that has left.  */
Test (fleet, digest)
{
  static const struct mq_fleet_member first
      = { "i-1", "llm", "127.0.0.1:1", "a", "v1", 4, false, 0 };
  static const struct mq_fleet_member second
      = { "i-2", "app", "127.0.0.1:2", "b", "v1", 8, false, 0 };
  static const struct mq_fleet_member others[] = {
    { "i-3", "llm", "127.0.0.1:1", "a", "v1", 4, false, 0 },
    { "i-1", "app", "127.0.0.1:1", "a", "v1", 4, false, 0 },
    { "i-1", "llm", "127.0.0.1:3", "a", "v1", 4, false, 0 },
    { "i-1", "llm", "127.0.0.1:1", "b", "v1", 4, false, 0 },
    { "i-1", "llm", "127.0.0.1:1", "a", "v1", 5, false, 0 },
    { "i-1", "llm", "127.0.0.1:1", "a", "v1", 4, true, 0 },
    { "i-1", "ll", "m127.0.0.1:1", "a", "v1", 4, false, 0 },
    { "i-1", "llm", "127.0.0.1:1", "a", "v1", 4, false, 9 },
    { "i-1", "llm", "127.0.0.1:1", "a", "v2", 4, false, 0 },
    { "i-1", "llm", "127.0.0.1:1", "a", NULL, 4, false, 0 },
  };
  const struct mq_fleet_member list[] = { first, second };
  const struct mq_fleet_member turned[] = { second, first };
  uint64_t digest = mq_fleet_digest (list, 2);

  cr_assert_eq (digest, mq_fleet_digest (turned, 2));
  cr_assert_neq (digest, mq_fleet_digest (list, 1));
  cr_assert_neq (digest, 0);
  for (size_t i = 0; i < sizeof others / sizeof others[0]; i++)
    {
      const struct mq_fleet_member changed[] = { others[i], second };

      cr_assert_neq (digest, mq_fleet_digest (changed, 2), "%zu", i);
    }
}

/* Guards against using the address of a previous start after a worker restarts
   at another one.  A late entry of the previous start is ignored.  */
struct start_case
{
  const char *what;
  const char *address;
  uint64_t born_ms;
  const char *known; /* expected address */
};

Test (fleet, restart_replaces_the_worker)
{
  static const struct start_case cases[] = {
    { "first start", "127.0.0.1:1", 1000, "127.0.0.1:1" },
    { "same start again", "127.0.0.1:1", 1000, "127.0.0.1:1" },
    { "later start", "127.0.0.1:2", 2000, "127.0.0.1:2" },
    { "late entry of the previous start", "127.0.0.1:1", 1000, "127.0.0.1:2" },
    { "late entry without a start time", "127.0.0.1:1", 0, "127.0.0.1:2" },
    { "third start", "127.0.0.1:1", 3000, "127.0.0.1:1" },
  };

  mq_fleet_remove (fleet, "w0", 0);
  mq_fleet_remove (fleet, "w1", 0);
  mq_fleet_remove (fleet, "w2", 0);
  for (size_t i = 0; i < ROWS (cases); i++)
    {
      put_start (cases[i].address, cases[i].born_ms);
      cr_assert_str_eq (mq_fleet_member (fleet, handle_of ("w0"))->address,
                        cases[i].known, "%s", cases[i].what);
      cr_assert_eq (mq_fleet_count (fleet, "s"), 1, "%s", cases[i].what);
    }
}

/* The outcome of a request at the previous start does not affect the new one.
 */
Test (fleet, restart_discards_outcomes)
{
  uint32_t previous;
  uint32_t later;

  put_start ("127.0.0.1:1", 1000);
  previous = handle_of ("w0");
  mq_fleet_request_started (fleet, previous, 0);
  mq_fleet_record_load (fleet, previous, 4, 9, 1);
  put_start ("127.0.0.1:1", 2000);
  later = handle_of ("w0");
  cr_assert_neq (previous, later);
  cr_assert_neq (mq_fleet_instance_digest (fleet, previous),
                 mq_fleet_instance_digest (fleet, later));
  cr_assert_not (mq_fleet_is_available (fleet, previous));
  mq_fleet_request_ended (fleet, previous, MQ_OUTCOME_LEAVING, 1);
  cr_assert (mq_fleet_is_available (fleet, later));
  cr_assert_eq (mq_fleet_start_time_ms (fleet, "w0"), 2000);
}

/* Guards against moving programs between full engines, each of which would
   process their prompts again.  With more programs than slots, most requests
   must reach the engine that has their history.  */
struct overload_case
{
  uint32_t workers;
  uint32_t slots;
  uint32_t programs;
};

#define PROGRAMS_MAX 256U

static uint32_t
send_request (uint32_t program, uint32_t step)
{
  struct mq_fleet_query query = { .service = "s",
                                  .data_centre = "a",
                                  .has_key = true,
                                  .key = program * 7919U + 1U,
                                  .now_ms = 1 + step,
                                  .random = step };
  uint32_t worker = mq_fleet_choose (fleet, &query);

  mq_fleet_request_started (fleet, worker, 0);
  return worker;
}

static uint32_t
home_of (uint32_t program)
{
  uint32_t worker = send_request (program, 0);

  mq_fleet_request_ended (fleet, worker, MQ_OUTCOME_CANCELLED, 1);
  return worker;
}

Test (fleet, full_engines_keep_their_programs)
{
  static const struct overload_case cases[] = {
    { 9, 12, 90 },
    { 9, 12, 130 },
    { 9, 12, 200 },
    { 3, 4, 20 },
  };
  char id[16];

  for (size_t i = 0; i < ROWS (cases); i++)
    {
      uint32_t homes[PROGRAMS_MAX] = { 0 };
      uint32_t at[PROGRAMS_MAX] = { 0 };
      uint64_t random = 5;
      uint32_t asked = 0;
      uint32_t kept = 0;

      mq_fleet_destroy (fleet);
      fleet = mq_fleet_create (NULL);
      for (uint32_t w = 0; w < cases[i].workers; w++)
        {
          snprintf (id, sizeof id, "e%u", w);
          put (id, "a", cases[i].slots, false);
        }
      for (uint32_t p = 0; p < cases[i].programs; p++)
        homes[p] = home_of (p);
      for (uint32_t p = 0; p < cases[i].programs; p++)
        at[p] = send_request (p, p);
      for (uint32_t step = 0; step < 4000; step++, asked++)
        {
          uint32_t p = mq_random_below (&random, cases[i].programs);

          mq_fleet_request_ended (fleet, at[p], MQ_OUTCOME_SUCCEEDED,
                                  1 + step);
          at[p] = send_request (p, step);
          kept += at[p] == homes[p] ? 1U : 0U;
        }
      cr_expect_geq (kept * 100, asked * 85, "%u programs, %u x %u slots: %u",
                     cases[i].programs, cases[i].workers, cases[i].slots,
                     kept * 100 / asked);
    }
}
