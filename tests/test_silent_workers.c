/* test_silent_workers.c - requests that may not be repeated, and workers that
   hang.

   Needs: Criterion, fleet.h, id.h.  */

#include "core/router/fleet.h"
#include "core/id.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define OBJECTIVE_MS 1000U
#define ANSWER_MS 100U
/* Longer than usual answers, shorter than a deadline.  */
#define LONG_MS 600U

static void
put (struct mq_fleet *fleet, const char *id)
{
  struct mq_fleet_member member = { .id = id,
                                    .service = "s",
                                    .address = "127.0.0.1:1",
                                    .data_centre = "a",
                                    .slots = 4 };

  cr_assert (mq_fleet_put (fleet, &member, NULL));
}

static struct mq_fleet_query
query_at (uint64_t now_ms, bool once)
{
  return (struct mq_fleet_query){ .service = "s",
                                  .data_centre = "a",
                                  .once = once,
                                  .objective_ms = OBJECTIVE_MS,
                                  .now_ms = now_ms };
}

/* Handle of the worker ID, of two.  */
static uint32_t
handle_of (struct mq_fleet *fleet, const char *id)
{
  struct mq_fleet_query query = query_at (1, false);
  uint32_t first = mq_fleet_choose (fleet, &query);

  if (strcmp (mq_fleet_member (fleet, first)->id, id) == 0)
    return first;
  query.tried = &first;
  query.tried_count = 1;
  return mq_fleet_choose (fleet, &query);
}

/* Answers to START_MS and later, each after ANSWER_MS.  */
static void
answer (struct mq_fleet *fleet, uint32_t worker, uint64_t start_ms, int count)
{
  for (int i = 0; i < count; i++)
    {
      uint64_t end_ms = start_ms + ANSWER_MS;

      mq_fleet_request_started (fleet, worker, start_ms);
      mq_fleet_record_activity (fleet, worker, end_ms);
      mq_fleet_request_ended (fleet, worker, MQ_OUTCOME_SUCCEEDED, end_ms);
      start_ms = end_ms;
    }
}

/* What the worker "silent" did with its request.  */
enum silence
{
  SILENCE_HANGS,     /* sent at 10000, nothing since */
  SILENCE_FAILED,    /* ended at 10500 without an answer */
  SILENCE_CANCELLED, /* its caller left at 10050 */
  SILENCE_ANSWERED,  /* sent data at 10500, and goes on */
  SILENCE_NONE
};

static void
be_silent (struct mq_fleet *fleet, uint32_t worker, enum silence silence)
{
  if (silence == SILENCE_NONE)
    return;
  mq_fleet_request_started (fleet, worker, 10000);
  switch (silence)
    {
    case SILENCE_FAILED:
      mq_fleet_request_ended (fleet, worker, MQ_OUTCOME_FAILED, 10500);
      return;
    case SILENCE_CANCELLED:
      mq_fleet_request_ended (fleet, worker, MQ_OUTCOME_CANCELLED, 10050);
      return;
    case SILENCE_ANSWERED:
      mq_fleet_record_activity (fleet, worker, 10500);
      return;
    case SILENCE_HANGS:
    case SILENCE_NONE:
      return;
    }
}

/* Failure: a worker hangs, and a request that may not be repeated is sent
   there as another worker is busier.  */
Test (silent_workers, doubt)
{
  static const struct
  {
    const char *name;
    enum silence silence;
    bool once;
    bool alone;
    uint64_t now_ms;
    const char *chosen;
    bool avoided;
  } rows[] = {
    { "hangs", SILENCE_HANGS, true, false, 10000 + LONG_MS, "busy", true },
    { "repeatable", SILENCE_HANGS, false, false, 10000 + LONG_MS, "silent",
      false },
    { "not for long", SILENCE_HANGS, true, false, 10000 + ANSWER_MS, "silent",
      false },
    { "no other", SILENCE_HANGS, true, true, 10000 + LONG_MS, "silent",
      false },
    { "hangs on", SILENCE_HANGS, true, false, 10000 + MQ_FLEET_DOUBT_MAX_MS,
      "busy", true },
    { "failed", SILENCE_FAILED, true, false, 10000 + LONG_MS, "busy", true },
    { "failed long ago", SILENCE_FAILED, true, false,
      10000 + MQ_FLEET_DOUBT_MAX_MS, "silent", false },
    { "cancelled", SILENCE_CANCELLED, true, false, 10000 + LONG_MS, "silent",
      false },
    { "answered", SILENCE_ANSWERED, true, false, 10500 + LONG_MS, "silent",
      false },
    { "nothing sent", SILENCE_NONE, true, false, 10000 + LONG_MS, "silent",
      false },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct mq_fleet *fleet = mq_fleet_create (NULL);
      struct mq_fleet_query query = query_at (rows[i].now_ms, rows[i].once);
      bool avoided = false;
      uint32_t chosen;

      put (fleet, "silent");
      answer (fleet, handle_of (fleet, "silent"), 1000, 16);
      be_silent (fleet, handle_of (fleet, "silent"), rows[i].silence);
      if (!rows[i].alone)
        {
          put (fleet, "busy");
          mq_fleet_record_activity (fleet, handle_of (fleet, "busy"),
                                    rows[i].now_ms - 1);
          mq_fleet_record_load (fleet, handle_of (fleet, "busy"), 3, 0,
                                rows[i].now_ms - 1);
        }
      query.avoided = &avoided;
      chosen = mq_fleet_choose (fleet, &query);
      cr_expect_str_eq (mq_fleet_member (fleet, chosen)->id, rows[i].chosen,
                        "%s", rows[i].name);
      cr_expect_eq (avoided, rows[i].avoided, "%s", rows[i].name);
      mq_fleet_destroy (fleet);
    }
}

/* Replay: hosts choose alone among workers, of which some hang.  */

#define HOSTS 31U
#define WORKERS 32U
#define HANGING 9U
#define DEADLINE_MS 3000U
#define REPLAY_MS 6000U
/* Each host sends a request in each step.  */
#define STEP_MS 20U
#define PENDING_MAX 256U

/**
 * struct pending - one request in progress
 * @end_ms: time at which it is answered, or lost
 */
struct pending
{
  uint64_t end_ms;
  uint32_t worker;
  bool lost;
};

struct host
{
  struct mq_fleet *fleet;
  struct pending pending[PENDING_MAX];
  size_t count;
};

/**
 * struct result - what a replay showed
 * @lost: requests that no worker answered
 * @again: of them those sent to a worker that owed the host an answer for the
 *         objective
 * @busiest_percent: requests at the busiest good worker, percent of the mean
 */
struct result
{
  uint32_t lost;
  uint32_t again;
  uint32_t busiest_percent;
};

static void
end_requests (struct host *host, uint64_t now_ms)
{
  size_t kept = 0;

  for (size_t i = 0; i < host->count; i++)
    {
      struct pending *pending = &host->pending[i];

      if (pending->end_ms > now_ms)
        {
          host->pending[kept++] = *pending;
          continue;
        }
      if (!pending->lost)
        mq_fleet_record_activity (host->fleet, pending->worker, now_ms);
      mq_fleet_request_ended (
          host->fleet, pending->worker,
          pending->lost ? MQ_OUTCOME_FAILED : MQ_OUTCOME_SUCCEEDED, now_ms);
    }
  host->count = kept;
}

/* Whether a request of HOST has been lost at WORKER for the objective.  */
static bool
owes_answer (const struct host *host, uint32_t worker, uint64_t now_ms)
{
  for (size_t i = 0; i < host->count; i++)
    if (host->pending[i].lost && host->pending[i].worker == worker
        && now_ms + DEADLINE_MS - host->pending[i].end_ms > OBJECTIVE_MS)
      return true;
  return false;
}

static uint32_t
number_of (const struct host *host, uint32_t worker)
{
  const char *id = mq_fleet_member (host->fleet, worker)->id;

  return (uint32_t)strtoul (id + 1, NULL, 10);
}

static void
send_request (struct host *host, bool once, uint64_t now_ms, uint64_t *random,
              uint32_t *served, struct result *result)
{
  struct mq_fleet_query query = query_at (now_ms, once);
  uint64_t answer_ms = ANSWER_MS / 2 + mq_random_next (random) % ANSWER_MS;
  uint32_t worker;
  bool lost;

  query.random = mq_random_next (random);
  worker = mq_fleet_choose (host->fleet, &query);
  lost = number_of (host, worker) < HANGING && now_ms >= REPLAY_MS / 2;
  if (lost)
    result->lost++;
  else
    served[number_of (host, worker)]++;
  if (lost && owes_answer (host, worker, now_ms))
    result->again++;
  cr_assert_lt (host->count, PENDING_MAX);
  host->pending[host->count++]
      = (struct pending){ .end_ms = now_ms + (lost ? DEADLINE_MS : answer_ms),
                          .worker = worker,
                          .lost = lost };
  mq_fleet_request_started (host->fleet, worker, now_ms);
}

static uint32_t
busiest_percent (const uint32_t *served)
{
  uint32_t sum = 0;
  uint32_t most = 0;

  for (uint32_t i = HANGING; i < WORKERS; i++)
    {
      sum += served[i];
      if (served[i] > most)
        most = served[i];
    }
  return most * 100U * (WORKERS - HANGING) / sum;
}

static struct result
replay (bool once, uint32_t requests)
{
  static struct host hosts[HOSTS];
  uint32_t served[WORKERS] = { 0 };
  struct result result = { .lost = 0 };
  uint64_t random = 7;

  for (uint32_t i = 0; i < HOSTS; i++)
    {
      hosts[i] = (struct host){ .fleet = mq_fleet_create (NULL) };
      for (uint32_t n = 0; n < WORKERS; n++)
        {
          char id[16];

          snprintf (id, sizeof id, "w%u", n);
          put (hosts[i].fleet, id);
        }
    }
  for (uint64_t now = STEP_MS; now < REPLAY_MS; now += STEP_MS)
    for (uint32_t i = 0; i < HOSTS; i++)
      {
        end_requests (&hosts[i], now);
        for (uint32_t n = 0; n < requests; n++)
          send_request (&hosts[i], once, now, &random, served, &result);
      }
  for (uint32_t i = 0; i < HOSTS; i++)
    mq_fleet_destroy (hosts[i].fleet);
  result.busiest_percent = busiest_percent (served);
  return result;
}

/* Failure: a host that is busy sends a hanging worker as many calls as each
   other one holds, before the first of them fails.  */
Test (silent_workers, hosts_that_choose_alone)
{
  static const struct
  {
    const char *name;
    uint32_t requests;
    uint32_t lost_percent;
  } rows[] = {
    { "a request now and then", 1, 100 },
    { "some at each worker", 5, 75 },
    { "many at each worker", 10, 90 },
  };

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct result without = replay (false, rows[i].requests);
      struct result with = replay (true, rows[i].requests);

      cr_expect_leq (with.lost * 100U, without.lost * rows[i].lost_percent,
                     "%s", rows[i].name);
      cr_expect_eq (with.again, 0, "%s", rows[i].name);
      cr_expect_leq (with.busiest_percent, 130U, "%s", rows[i].name);
    }
}

/* Failure: a worker has left, its last request breaks off, and the host that
   looks whether the request was late crashes.  */
Test (silent_workers, late_request_of_a_worker_that_left)
{
  struct mq_fleet *fleet = mq_fleet_create (NULL);
  struct mq_fleet_query query = query_at (1000, true);
  uint32_t worker;

  put (fleet, "w");
  worker = mq_fleet_choose (fleet, &query);
  mq_fleet_request_started (fleet, worker, 1000);
  cr_expect (mq_fleet_record_wait (fleet, worker, 1000, 1000 + OBJECTIVE_MS));
  cr_assert (mq_fleet_remove (fleet, "w", 0));
  mq_fleet_request_ended (fleet, worker, MQ_OUTCOME_FAILED, 2000);
  cr_expect_not (
      mq_fleet_record_wait (fleet, worker, 1000, 1000 + OBJECTIVE_MS));
  mq_fleet_destroy (fleet);
}
