/* test_shares.c - unit tests of shares of organisations, and their replay on
   plain values.

   Needs: Criterion, shares.h, admission.h, id.h.  */

#include "core/id.h"
#include "core/organisation/shares.h"
#include "core/router/admission.h"
#include <criterion/criterion.h>
#include <stdio.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define NOW_MS 100000U
#define NAME_BYTES 16
#define ASKING_MAX 4

static struct mq_shares *shares;

static void
set_up (void)
{
  shares = mq_shares_create (NULL);
}

static void
tear_down (void)
{
  mq_shares_destroy (shares);
}

TestSuite (shares, .init = set_up, .fini = tear_down);

static const char *
name_of (uint32_t organisation)
{
  static char name[NAME_BYTES];

  snprintf (name, sizeof name, "org-%u", organisation);
  return name;
}

static void
ask (uint32_t organisation, uint32_t weight, uint32_t programs,
     uint64_t now_ms)
{
  for (uint32_t i = 0; i < programs; i++)
    mq_shares_record_demand (shares, name_of (organisation), weight, now_ms);
}

/**
 * struct level_case - programs by organisation, and what part of them is
 * admitted
 * @part: part of all programs that the service can admit
 */
struct level_case
{
  const char *label;
  uint32_t demand[ASKING_MAX];
  uint32_t weight[ASKING_MAX];
  uint32_t part;
  uint32_t admitted[ASKING_MAX];
};

static const struct level_case level_cases[] = {
  { "equal", { 10, 10, 10 }, { 1, 1, 1 }, 600, { 600, 600, 600 } },
  { "a crowd of one", { 100, 10, 10 }, { 1, 1, 1 }, 500, { 400, 1000, 1000 } },
  { "what one leaves goes to the others",
    { 40, 30, 2 },
    { 1, 1, 1 },
    500,
    { 425, 566, 1000 } },
  { "weighted", { 30, 30 }, { 2, 1 }, 500, { 666, 333 } },
  { "weighted, one whole", { 30, 30 }, { 9, 1 }, 600, { 1000, 200 } },
  { "a single program", { 50, 50, 1 }, { 1, 1, 1 }, 100, { 91, 91, 1000 } },
  { "one organisation alone", { 50 }, { 1 }, 300, { 300 } },
  { "room for all", { 50, 1 }, { 1, 1 }, 1000, { 1000, 1000 } },
  { "room for none", { 50, 1 }, { 1, 1 }, 0, { 0, 0 } },
  { "weight 0 counts as 1", { 30, 30 }, { 0, 1 }, 500, { 500, 500 } },
};

/* An organisation's demand is estimated, so that those above their share get
   somewhat more or less.  */
static void
expect_near (const struct level_case *row, uint32_t org, uint32_t admitted)
{
  cr_expect (admitted + 5 >= row->admitted[org]
                 && admitted <= row->admitted[org] + 5,
             "%s, organisation %u: %u", row->label, org, admitted);
}

/* Failure: a crowd of one organisation takes the room of the others.  */
Test (shares, room_is_divided_max_min)
{
  for (size_t i = 0; i < ROWS (level_cases); i++)
    {
      const struct level_case *row = &level_cases[i];

      tear_down ();
      set_up ();
      for (uint32_t org = 0; org < ASKING_MAX; org++)
        ask (org, row->weight[org], row->demand[org], NOW_MS);
      for (uint32_t org = 0; org < ASKING_MAX && row->demand[org] > 0; org++)
        expect_near (
            row, org,
            mq_shares_admitted (shares, name_of (org), row->part, NOW_MS));
    }
}

/* Failure: more programs are admitted than the service has room for, or fewer.
   The division rounds by half a thousandth.  */
Test (shares, parts_add_up)
{
  uint64_t random = 7;

  for (uint32_t trial = 0; trial < 200; trial++)
    {
      uint64_t demand[40] = { 0 };
      uint32_t part = mq_random_below (&random, MQ_SHARES_ALL);
      uint64_t sum = 0;
      uint64_t admitted = 0;

      tear_down ();
      set_up ();
      for (uint32_t org = 0; org < ROWS (demand); org++)
        {
          demand[org] = 1 + mq_random_below (&random, 30);
          ask (org, 1 + mq_random_below (&random, 5), (uint32_t)demand[org],
               NOW_MS);
          sum += demand[org];
        }
      for (uint32_t org = 0; org < ROWS (demand); org++)
        admitted += demand[org]
                    * mq_shares_admitted (shares, name_of (org), part, NOW_MS);
      cr_expect (admitted <= sum * (part + 1) && admitted + sum >= sum * part,
                 "part %u: %llu of %llu", part, (unsigned long long)admitted,
                 (unsigned long long)(sum * part));
    }
}

/* Failure: an organisation that returns is punished, or rewarded, for what was
   before the window.  */
Test (shares, window_ends)
{
  ask (0, 1, 100, NOW_MS);
  ask (1, 1, 1, NOW_MS + MQ_SHARES_WINDOW_MS);
  ask (2, 1, 1, NOW_MS + MQ_SHARES_WINDOW_MS);
  ask (0, 1, 1, NOW_MS + MQ_SHARES_WINDOW_MS);
  for (uint32_t org = 0; org < 3; org++)
    cr_expect_eq (mq_shares_admitted (shares, name_of (org), 500,
                                      NOW_MS + MQ_SHARES_WINDOW_MS),
                  500);
  cr_expect_eq (
      mq_shares_report (shares, NULL, NOW_MS + MQ_SHARES_WINDOW_MS).demand, 3);
  cr_expect_eq (
      mq_shares_report (shares, NULL, NOW_MS + 3 * MQ_SHARES_WINDOW_MS).demand,
      0);
}

/* Demand is kept for the window, less a slot.  */
Test (shares, window_slides)
{
  for (uint64_t now = NOW_MS; now < NOW_MS + 8000; now += 100)
    ask (0, 1, 1, now);
  for (uint64_t after = 0; after < 3500; after += 100)
    {
      uint32_t demand
          = mq_shares_report (shares, name_of (0), NOW_MS + 7900 + after)
                .demand;

      cr_expect (demand + 1 >= (3500 - after) / 100
                     && demand <= (4000 - after) / 100,
                 "after %llu: %u", (unsigned long long)after, demand);
    }
}

/* Failure: an organisation whose demand is unknown is refused, or admitted
   whole however little room there is.  */
Test (shares, unknown_is_treated_as_all)
{
  cr_expect_eq (mq_shares_admitted (shares, "new", 300, NOW_MS), 300);
  ask (0, 1, 50, NOW_MS);
  cr_expect_eq (mq_shares_admitted (shares, "new", 300, NOW_MS), 300);
}

/* Failure: thousands of organisations take a host's memory, or drop the ones
   that ask now.  */
Test (shares, memory_is_bounded)
{
  const uint32_t organisations = 8000;
  size_t most;

  for (uint32_t org = 0; org < MQ_SHARES_ORGANISATIONS_MAX; org++)
    ask (org, 1, 1, NOW_MS + org);
  most = talloc_total_size (shares);
  cr_expect_lt (most, 64U << 10);
  for (uint32_t org = 0; org < organisations; org++)
    ask (org, 1, 2, NOW_MS + 300 + org / 8);
  cr_expect_leq (talloc_total_size (shares),
                 most + (size_t)MQ_SHARES_ORGANISATIONS_MAX * NAME_BYTES);
  cr_expect_eq (mq_shares_report (shares, NULL, NOW_MS + 1300).demand,
                2 * MQ_SHARES_ORGANISATIONS_MAX);
  cr_expect_eq (
      mq_shares_report (shares, name_of (organisations - 1), NOW_MS + 1300)
          .demand,
      2);
}

/* Failure: metrics grow with the number of organisations.  */
Test (shares, busiest_are_reported)
{
  struct mq_shares_report list[3];
  struct mq_shares_report rest;

  for (uint32_t org = 0; org < 10; org++)
    ask (org, 1, 1 + (org * 7) % 10, NOW_MS);
  mq_shares_record_refused (shares, name_of (7), NOW_MS);
  mq_shares_record_refused (shares, name_of (0), NOW_MS);
  mq_shares_record_refused (shares, "unknown", NOW_MS);
  cr_assert_eq (mq_shares_busiest (shares, list, 3, &rest, NOW_MS), 3);
  cr_expect_str_eq (list[0].organisation, "org-7");
  cr_expect_eq (list[0].demand, 10);
  cr_expect_eq (list[0].refused, 1);
  cr_expect_eq (list[1].demand, 9);
  cr_expect_eq (list[2].demand, 8);
  cr_expect_eq (rest.demand, 55 - 27);
  cr_expect_eq (rest.refused, 1);
  cr_expect_null (rest.organisation);
  cr_expect_eq (mq_shares_busiest (shares, list, 0, &rest, NOW_MS), 0);
  cr_expect_eq (rest.demand, 55);
}

static struct mq_admission_request
make_request (uint32_t organisation, uint64_t program, uint32_t load)
{
  return (struct mq_admission_request){
    .service = "models",
    .route = "chat",
    .program = program,
    .load = load,
    .shares = shares,
    .organisation = name_of (organisation),
    .now_ms = NOW_MS,
  };
}

/* With equal demand the programs that are rejected, and their delays, are
   those without shares.  */
Test (shares, equal_demand_changes_nothing)
{
  struct mq_admission *with = mq_admission_create (NULL);
  struct mq_admission *without = mq_admission_create (NULL);

  ask (0, 1, 20, NOW_MS);
  for (uint32_t load = 900; load < 1800; load += 7)
    for (uint64_t program = 0; program < 1000; program += 3)
      {
        struct mq_admission_request request = make_request (0, program, load);
        uint32_t retry_with;
        uint32_t retry_without;
        enum mq_admission_decision decision
            = mq_admission_decide (with, &request, &retry_with);

        request.shares = NULL;
        cr_assert_eq (mq_admission_decide (without, &request, &retry_without),
                      decision, "load %u, program %u", load,
                      (unsigned)program);
        cr_assert_eq (retry_with, retry_without);
      }
  mq_admission_destroy (with);
  mq_admission_destroy (without);
}

/* Failure: a small organisation starves beside a crowd.  */
Test (shares, single_program_is_admitted_beside_a_crowd)
{
  struct mq_admission *admission = mq_admission_create (NULL);
  uint32_t retry_ms;

  ask (0, 1, 60, NOW_MS);
  ask (1, 1, 1, NOW_MS);
  for (uint64_t program = 0; program < 1000; program++)
    {
      struct mq_admission_request request = make_request (1, program, 1600);

      cr_assert_eq (mq_admission_decide (admission, &request, &retry_ms),
                    MQ_ADMISSION_ACCEPTED);
      cr_assert_eq (mq_admission_last_part (admission), MQ_SHARES_ALL);
    }
  for (uint64_t program = 0; program < 1000; program++)
    {
      struct mq_admission_request request = make_request (1, program, 1700);

      cr_assert_eq (mq_admission_decide (admission, &request, &retry_ms),
                    MQ_ADMISSION_OVERLOADED);
    }
  mq_admission_destroy (admission);
}

/* Guards against a crowd's programs that are told to return when they have too
   little time left.  */
Test (shares, delays_of_a_crowd_are_bounded)
{
  struct mq_admission *admission = mq_admission_create (NULL);

  ask (0, 1, 60, NOW_MS);
  ask (1, 1, 20, NOW_MS);
  for (uint32_t load = 1040; load < 1800; load += 7)
    for (uint64_t program = 0; program < 1000; program++)
      {
        struct mq_admission_request request = make_request (0, program, load);
        uint32_t retry_ms;

        if (mq_admission_decide (admission, &request, &retry_ms)
            != MQ_ADMISSION_ACCEPTED)
          cr_assert (retry_ms >= 100 && retry_ms <= 400,
                     "load %u, program %u: %u", load, (unsigned)program,
                     retry_ms);
      }
  mq_admission_destroy (admission);
}

/* The replay: hosts that each see a random sample of the programs.  */
enum
{
  ORGANISATIONS = 78,
  HOSTS = 31,
  STEP_MS = 10,
  REPLAY_MS = 24000,
  LOAD_HALF = 1349,
  PROGRAM = 1000000 /* unit of programs that are due */
};

/**
 * struct replay_case - one organisation asks for several times its usual
 * @crowd: its index; the usual falls with the index
 * @times: by how much it exceeds its usual
 * @per_s: programs that begin per second, usual, over all organisations
 * @within: lowest part of the programs of organisations within their share
 *          that are admitted
 * @jain: lowest index of the programs admitted among the other organisations
 */
struct replay_case
{
  const char *label;
  uint64_t seed;
  uint32_t crowd;
  double times;
  double per_s;
  double within;
  double jain;
};

/**
 * struct outcome - result of a replay
 * @within: as above
 * @all: part of all programs that were admitted
 */
struct outcome
{
  double within;
  double jain;
  double all;
};

/**
 * struct served - programs of an organisation
 * @rate: programs that ask per second
 */
struct served
{
  double rate;
  uint32_t asked;
  uint32_t admitted;
};

/* Few organisations are large, many small.  */
static void
set_rates (const struct replay_case *row, struct served *served)
{
  double sum = 0;

  for (uint32_t org = 0; org < ORGANISATIONS; org++)
    sum += 1.0 / (org + 1);
  for (uint32_t org = 0; org < ORGANISATIONS; org++)
    served[org]
        = (struct served){ .rate = row->per_s / (org + 1) / sum
                                   * (org == row->crowd ? row->times : 1) };
}

/* The share by the true rates, programs per second.  */
static double
true_level (const struct served *served)
{
  double room = 0;
  double low = 0;
  double high = 0;

  for (uint32_t org = 0; org < ORGANISATIONS; org++)
    room += served[org].rate / 2;
  high = room;
  for (uint32_t step = 0; step < 60; step++)
    {
      double level = (low + high) / 2;
      double used = 0;

      for (uint32_t org = 0; org < ORGANISATIONS; org++)
        used += served[org].rate < level ? served[org].rate : level;
      if (used > room)
        high = level;
      else
        low = level;
    }
  return low;
}

struct host
{
  struct mq_shares *shares;
  struct mq_admission *admission;
};

/* A program of ORG asks a random host.  */
static void
begin_program (struct host *hosts, struct served *served, uint32_t org,
               uint64_t *random, uint64_t now_ms)
{
  struct host *host = &hosts[mq_random_below (random, HOSTS)];
  struct mq_admission_request request
      = make_request (org, mq_random_next (random), LOAD_HALF);
  uint32_t retry_ms;

  mq_shares_record_demand (host->shares, name_of (org), 1, now_ms);
  request.shares = host->shares;
  request.now_ms = now_ms;
  if (now_ms < NOW_MS + MQ_SHARES_WINDOW_MS)
    return;
  served->asked++;
  if (mq_admission_decide (host->admission, &request, &retry_ms)
      == MQ_ADMISSION_ACCEPTED)
    served->admitted++;
}

static void
play (const struct replay_case *row, struct served *served)
{
  struct host hosts[HOSTS];
  uint64_t random = row->seed;

  set_rates (row, served);
  for (uint32_t i = 0; i < HOSTS; i++)
    hosts[i]
        = (struct host){ mq_shares_create (NULL), mq_admission_create (NULL) };
  for (uint64_t now = NOW_MS; now < NOW_MS + REPLAY_MS; now += STEP_MS)
    for (uint32_t org = 0; org < ORGANISATIONS; org++)
      {
        uint32_t due = (uint32_t)(served[org].rate * STEP_MS * 1000);

        for (; due >= PROGRAM; due -= PROGRAM)
          begin_program (hosts, &served[org], org, &random, now);
        if (mq_random_below (&random, PROGRAM) < due)
          begin_program (hosts, &served[org], org, &random, now);
      }
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      mq_shares_destroy (hosts[i].shares);
      mq_admission_destroy (hosts[i].admission);
    }
}

/* Jain's index of the programs admitted of organisations above LEVEL: 1 if all
   have as many.  */
static double
jain_index (const struct served *served, double level)
{
  uint32_t count = 0;
  double sum = 0;
  double squares = 0;

  for (uint32_t org = 0; org < ORGANISATIONS; org++)
    if (served[org].rate > level)
      {
        double admitted = served[org].admitted;

        count++;
        sum += admitted;
        squares += admitted * admitted;
      }
  return sum * sum / (count * squares);
}

/* Part of the programs admitted of organisations up to LEVEL.  */
static double
admitted_part (const struct served *served, double level)
{
  uint32_t asked = 0;
  uint32_t admitted = 0;

  for (uint32_t org = 0; org < ORGANISATIONS; org++)
    if (served[org].rate <= level)
      {
        asked += served[org].asked;
        admitted += served[org].admitted;
      }
  return (double)admitted / asked;
}

static struct outcome
replay (const struct replay_case *row)
{
  struct served served[ORGANISATIONS];
  double level;

  play (row, served);
  level = true_level (served);
  return (struct outcome){ .within = admitted_part (served, level),
                           .jain = jain_index (served, level),
                           .all = admitted_part (served, row->per_s * 100) };
}

static const struct replay_case replay_cases[] = {
  { "the largest, usual load", 1, 0, 30, 75, 0.9, 0.95 },
  { "the largest, three times", 2, 0, 30, 225, 0.9, 0.95 },
  { "the fifth, three times", 3, 4, 30, 225, 0.9, 0.95 },
  { "the tenth, three times", 4, 9, 30, 225, 0.9, 0.95 },
};

/* Where the crowd is of a small organisation, many others exceed their share
   by little.  */
static const struct replay_case small_crowd
    = { "the fortieth, three times", 5, 39, 30, 225, 0.9, 0.95 };

static void
check_replay (const struct replay_case *row)
{
  struct outcome outcome = replay (row);

  cr_expect (outcome.within >= row->within, "%s: %.3f", row->label,
             outcome.within);
  cr_expect (outcome.jain >= row->jain, "%s: index %.3f", row->label,
             outcome.jain);
  cr_expect (outcome.all >= 0.47 && outcome.all <= 0.53, "%s: %.3f of all",
             row->label, outcome.all);
}

/* Half of the programs are admitted.  Failure: one organisation's crowd makes
   the others' programs refused.  */
Test (shares, crowd_of_one_organisation)
{
  for (size_t i = 0; i < ROWS (replay_cases); i++)
    check_replay (&replay_cases[i]);
}

/* Likewise.  Failure: the sample that a host sees does not tell organisations
   within their share from those that exceed it by little.  */
Test (shares, crowd_of_a_small_organisation) { check_replay (&small_crowd); }

/* A host of a large fleet sees too few programs to tell organisations apart.
   Failure: it admits all, since none asks for more than a program.  */
Test (shares, few_programs_are_treated_alike)
{
  for (uint32_t org = 0; org < 40; org++)
    ask (org, 1, 1, NOW_MS);
  for (uint32_t part = 1; part < MQ_SHARES_ALL; part++)
    cr_assert_eq (mq_shares_admitted (shares, name_of (3), part, NOW_MS),
                  part);
}
