/* test_many_hosts.c - programs whose turns arrive at many hosts of one data
   centre.

   Needs: Criterion, router_site.h, relay_state.h, router_state.h,
   stepped_clock.h.  */

#include "router_site.h"
#include "router/relay_state.h"
#include "router/router_state.h"
#include "stepped_clock.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
/* Enough for cache hosts.  */
#define HOSTS ((int)MQ_RELAY_LOAN_HOSTS_MAX + 3)
#define TURNS 18
#define TURN_TOKENS_MAX 20
/* Tokens that the stand-in of a worker generates in a turn.  */
#define TURN_TOKENS 8
/* The least that lets all turns begin.  */
#define TIGHT_LIMIT ((TURNS - 1) * TURN_TOKENS + TURN_TOKENS_MAX)

/* Enough for the feeds of all hosts to show the table's latency.  */
#define FEEDS_MS 3000U

static struct edge_site *site;
static struct edge_call call;

static void
set_up (void)
{
  stepped_clock_begin ();
  site = edge_create ();
  for (int i = 1; i < HOSTS; i++)
    edge_start (site, i);
  edge_list_hosts (site);
}

static void
tear_down (void)
{
  edge_destroy (site);
}

TestSuite (many_hosts, .init = set_up, .fini = tear_down, .timeout = 240);

static long
sum_counter (const char *name)
{
  long sum = 0;

  for (int i = 0; i < HOSTS; i++)
    sum += edge_counter (site, i, name);
  return sum;
}

/* Sends turn NUMBER of PROGRAM, which has a budget of LIMIT tokens, to router
   NUMBER; returns the status.  */
static int
send_turn (const char *path, const char *program, int number, bool retained,
           int limit)
{
  char previous[64] = "";
  char text[512];

  if (retained && number > 0)
    snprintf (previous, sizeof previous, "X-Previous-Turn: %s-%d\r\n", program,
              number - 1);
  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s-%d\r\n"
            "X-Program-Id: %s\r\nX-Session-Id: %s\r\nX-Finish-Ms: 30000\r\n"
            "X-Token-Count: 10,%d\r\nX-Token-Budget: %d\r\n%s"
            "Content-Length: 4\r\n\r\none;",
            path, program, number, program, program, TURN_TOKENS_MAX, limit,
            previous);
  return edge_request (site, &call, number, text);
}

/**
 * struct program_case - a program, each of whose turns goes to another host
 * @path: route
 * @retained: each turn continues the one before
 * @delay_ms: delay of the table's responses
 */
struct program_case
{
  const char *name;
  const char *path;
  bool retained;
  uint32_t delay_ms;
};

static const struct program_case program_cases[] = {
  { "kept", "/kept/a", true, 0 },
  { "kept-slow", "/kept/a", true, 240 },
  { "turn", "/turn/a", false, 0 },
  { "turn-slow", "/turn/a", false, 240 },
};

/* Failure: each turn takes a grant of its own, grants left at other hosts
   exhaust the budget, and turns are refused although tokens are left.  */
Test (many_hosts, program_spends_its_whole_budget)
{
  for (size_t i = 0; i < ROWS (program_cases); i++)
    {
      const struct program_case *row = &program_cases[i];

      rows_server_set_delay (site->rows, row->delay_ms);
      edge_run_for (site, FEEDS_MS);
      for (int turn = 0; turn < TURNS; turn++)
        cr_expect_eq (
            send_turn (row->path, row->name, turn, row->retained, TIGHT_LIMIT),
            200, "%s, turn %d: %.60s", row->name, turn, call.answer);
    }
}

/* Failure: each turn reads its history from the table, and writes the budget
   record twice since it does not know the version.  */
Test (many_hosts, state_of_a_program_moves_with_it)
{
  long reads = sum_counter ("turn_reads");
  long writes = sum_counter ("budget_writes");

  for (int turn = 0; turn < TURNS; turn++)
    cr_assert_eq (send_turn ("/kept/a", "p1", turn, true, 10 * TIGHT_LIMIT),
                  200, "turn %d", turn);
  cr_expect_eq (sum_counter ("turn_reads"), reads);
  cr_expect_leq (sum_counter ("budget_writes") - writes, TURNS / 2);
}

/* The worker that ran turn NUMBER of PROGRAM; -1 if none did.  */
static int
worker_of (const char *program, int number)
{
  char id[32];

  snprintf (id, sizeof id, "%s-%d", program, number);
  for (int i = 0; i < EDGE_WORKERS; i++)
    for (int k = 0; k < worker_server_run_count (site->llm[i]); k++)
      if (strcmp (worker_server_get_run (site->llm[i], k)->id, id) == 0)
        return i;
  return -1;
}

/* Failure: the worker that caches a program rejects its turn as full, each
   host that the caller's tries reach sends the turn there again, and the
   program is refused while other workers are idle.  */
Test (many_hosts, turn_that_was_rejected_goes_to_another_worker)
{
  for (int i = 0; i < EDGE_WORKERS; i++)
    worker_server_set_load (site->llm[i], 1, 0);
  for (int i = 0; i < 8; i++)
    {
      char program[16];
      int home;

      snprintf (program, sizeof program, "f%d", i);
      cr_assert_eq (send_turn ("/kept/a", program, 0, true, 1000), 200);
      home = worker_of (program, 0);
      cr_assert_eq (send_turn ("/kept/a", program, 1, true, 1000), 200);
      cr_assert_eq (worker_of (program, 1), home);
      site->llm_plan = (struct worker_plan){ WORKER_FULL, 2 };
      cr_assert_eq (send_turn ("/kept/a", program, 2, true, 1000), 503);
      cr_assert_eq (send_turn ("/turn/a", program, 3, false, 1000), 200);
      cr_expect_neq (worker_of (program, 3), home, "%s", program);
    }
}

static void
set_up_two (void)
{
  stepped_clock_begin ();
  site = edge_create ();
}

TestSuite (host_row, .init = set_up_two, .fini = tear_down, .timeout = 60);

/* Failure: many hosts start together, the answers to their rows come too late,
   and each writes its row again and again although it is there.  */
Test (host_row, unanswered_write_is_found_in_the_list)
{
  rows_server_set_endpoint_fault (site->rows, 1, ROWS_LOSE_REPLIES);
  edge_start (site, 1);
  EDGE_WAIT (site, site->routers[1]->row_written);
  cr_expect (site->routers[1]->announced);
  cr_expect_eq (rows_server_row_count (site->rows, "host"), 2);
}

/* Failure: hosts whose rows are rejected try again at a fixed interval, and
   together keep the table's part overloaded.  */
Test (host_row, rejected_writes_are_repeated_ever_later)
{
  struct mq_router *router;

  rows_server_set_endpoint_fault (site->rows, 1, ROWS_LOSE_REPLIES);
  edge_start (site, 1);
  router = site->routers[1];
  for (uint32_t failures = 1; failures <= 4; failures++)
    {
      router->first_until_s = UINT64_MAX;
      EDGE_WAIT (site, router->announce_failures == failures);
      cr_expect_geq (router->announce_retry_ms, 1000U << (failures - 1));
      cr_expect_leq (router->announce_retry_ms, 3000U << (failures - 1));
      router->announced_ms = 1;
    }
}

/* Failure: a host that is late with a loan counts as unreachable, is not told
   which workers don't answer, and goes on sending requests there.  */
Test (host_row, late_host_is_told_of_workers)
{
  static const struct mq_evidence_sighting sighting
      = { .worker = 1, .kind = MQ_EVIDENCE_SILENT };
  struct mq_evidence_report report
      = { .host = 1, .serial = 1, .sightings = &sighting, .count = 1 };
  struct mq_relay *relay = site->routers[0]->relay;
  struct host *late;

  edge_start (site, 1);
  edge_list_hosts (site);
  late = relay_find_host (relay, mq_relay_address (site->routers[1]->relay));
  EDGE_WAIT (site, late->listed);
  cr_assert_not_null (relay_open_link (relay, late));
  edge_run_for (site, 10);
  relay_mark_unreachable (late);
  cr_expect_eq (mq_relay_evidence_hosts (relay), 1);
  cr_expect_eq (mq_relay_send_evidence (relay, &report), 1);
  relay_drop_link (relay, late->link);
  cr_expect_eq (mq_relay_evidence_hosts (relay), 0);
}
