/* test_outage_budget.c - budgets of programs over several outages of the
   table.

   Needs: Criterion, router_site.h, stepped_clock.h.  */

#include "router_site.h"
#include "stepped_clock.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define HOST "Host: h.example\r\n"
#define NO_BODY "Content-Length: 0\r\n\r\n"
/* Each turn uses the most that it may: four events of two tokens.  */
#define TURN_TOKENS 8
#define BUDGET_TURNS 2
#define BUDGET (BUDGET_TURNS * TURN_TOKENS)
/* Hosts forget an idle program 20 s after its last use.  */
#define FORGET_MS 21500U
/* A lease and its grace period.  */
#define LEASE_MS 13500U
/* Until a host that runs alone holds all leases.  */
#define CLAIM_MS 4500U
/* Until a host has listed those that have started.  */
#define LIST_MS 11000U

static struct edge_site *site;
static struct edge_call call;
static int next_id;

static void
set_up (void)
{
  stepped_clock_begin ();
  site = edge_create ();
  next_id = 0;
}

static void
tear_down (void)
{
  edge_destroy (site);
}

TestSuite (outage_budget, .init = set_up, .fini = tear_down, .timeout = 600);

/* Runs a turn of PROGRAM at HOST with DEADLINE_MS; returns the tokens that its
   caller got.  */
static int
run_turn (int host, const char *program, unsigned int deadline_ms)
{
  char text[512];
  int tokens = 0;

  snprintf (text, sizeof text,
            "POST /turn/a HTTP/1.1\r\n" HOST "X-Request-Id: q%d\r\n"
            "X-Program-Id: %s\r\nX-Token-Budget: %d\r\n"
            "X-Token-Count: 10,%d\r\nX-Deadline-Ms: %u\r\n" NO_BODY,
            next_id++, program, BUDGET, TURN_TOKENS, deadline_ms);
  (void)edge_request (site, &call, host, text);
  for (const char *at = call.answer; (at = strstr (at, "data: e")) != NULL;
       at++)
    tokens += 2;
  return tokens;
}

static void
begin_outage (int host)
{
  rows_server_set_fault (site->rows, ROWS_UNAVAILABLE);
  edge_run_for (site, 1200);
  for (int i = 0; i < 3; i++)
    (void)run_turn (host, "other", 3000);
}

/* Callers come back until their deadline; returns the tokens that PROGRAM gets
   at HOST.  */
static int
run_tries (int host, const char *program)
{
  int tokens = 0;

  for (int i = 0; i < 4; i++)
    tokens += run_turn (host, program, 2000);
  return tokens;
}

/* Returns the tokens that PROGRAM gets in one outage of the table.  */
static int
run_outage (const char *program)
{
  begin_outage (0);
  return run_tries (0, program);
}

/* Host 0 does not learn of PROGRAM, which spends its budget at another one. */
static int
spend_budget (const char *program)
{
  int tokens = 0;

  edge_start (site, 1);
  for (int i = 0; i < BUDGET_TURNS; i++)
    tokens += run_turn (1, program, 3000);
  edge_kill (site, 1);
  return tokens;
}

static void
end_outage (void)
{
  rows_server_set_fault (site->rows, ROWS_NO_FAULT);
  edge_run_for (site, 1500);
}

static void
stop_host (void)
{
  mq_router_begin_stop (site->routers[0]);
  EDGE_WAIT (site, mq_router_stopped (site->routers[0]));
  edge_kill (site, 0);
}

/* What happens to the host between the two outages.  */
enum between
{
  PROGRAM_FORGOTTEN,
  HOST_KILLED,           /* once it has recorded what it issued */
  HOST_KILLED_IN_OUTAGE, /* before it can */
  HOST_STOPPED
};

static void
go_between (enum between between)
{
  switch (between)
    {
    case PROGRAM_FORGOTTEN:
      end_outage ();
      edge_run_for (site, FORGET_MS);
      return;
    case HOST_KILLED:
      end_outage ();
      edge_kill (site, 0);
      edge_start (site, 0);
      edge_run_for (site, LEASE_MS);
      return;
    case HOST_KILLED_IN_OUTAGE:
      edge_kill (site, 0);
      end_outage ();
      edge_start (site, 0);
      edge_run_for (site, LEASE_MS);
      return;
    case HOST_STOPPED:
      end_outage ();
      stop_host ();
      edge_start (site, 0);
      edge_run_for (site, CLAIM_MS);
      return;
    }
}

struct outage_case
{
  const char *name;
  bool spent; /* the budget is spent before the first outage */
  enum between between;
  int first; /* tokens in the first outage */
  int most;  /* tokens in all */
};

/* Failure: a program gets a turn beyond its budget in each outage of the
   table, since nobody remembers the one before.  */
Test (outage_budget, one_turn_beyond_over_all_outages)
{
  static const struct outage_case cases[] = {
    { "spent, forgotten", true, PROGRAM_FORGOTTEN, TURN_TOKENS,
      BUDGET + TURN_TOKENS },
    { "spent, stopped", true, HOST_STOPPED, TURN_TOKENS,
      BUDGET + TURN_TOKENS },
    { "new, stopped", false, HOST_STOPPED, TURN_TOKENS, BUDGET + TURN_TOKENS },
    { "spent, killed", true, HOST_KILLED, TURN_TOKENS, BUDGET + TURN_TOKENS },
    { "spent, killed in the outage", true, HOST_KILLED_IN_OUTAGE, 0,
      BUDGET + TURN_TOKENS },
  };

  edge_run_for (site, CLAIM_MS);
  for (size_t i = 0; i < ROWS (cases); i++)
    {
      const struct outage_case *row = &cases[i];
      char program[16];
      int tokens;
      int first;

      snprintf (program, sizeof program, "p%zu", i);
      tokens = row->spent ? spend_budget (program) : 0;
      first = run_outage (program);
      cr_expect_eq (first, row->first, "%s: %d tokens in the first outage",
                    row->name, first);
      tokens += first;
      go_between (row->between);
      for (int k = 0; k < BUDGET_TURNS + 1 && !row->spent; k++)
        tokens += run_turn (0, program, 3000);
      tokens += run_outage (program);
      end_outage ();
      tokens += run_turn (0, program, 3000);
      cr_expect_leq (tokens, row->most, "%s: %d tokens", row->name, tokens);
    }
}

/* Host 0 hands its leases to host 1, which it knows of.  */
static void
start_two_hosts (void)
{
  edge_run_for (site, CLAIM_MS);
  edge_start (site, 1);
  edge_run_for (site, LIST_MS);
}

struct handed_case
{
  const char *name;
  const char *program;
  int tokens;
};

static void
check_handed (const struct handed_case *cases, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      int tokens = run_tries (1, cases[i].program);

      cr_expect_eq (tokens, cases[i].tokens, "%s: %d tokens", cases[i].name,
                    tokens);
    }
}

/* Failure: a host stops while the table is away, and nobody issues tokens in
   the slots of its leases, in this outage and those of an hour.  */
Test (outage_budget, leases_of_a_host_that_stops_are_handed_over)
{
  static const struct handed_case same_outage[] = {
    { "got tokens before", "early", 0 },
    { "begins after the stop", "late", TURN_TOKENS },
  };
  static const struct handed_case next_outage[] = {
    { "got tokens of the host that stopped", "early", 0 },
    { "got tokens of the next host", "late", 0 },
    { "begins in the next outage", "next", TURN_TOKENS },
  };

  start_two_hosts ();
  begin_outage (0);
  cr_expect_eq (run_tries (0, "early"), TURN_TOKENS);
  stop_host ();
  check_handed (same_outage, ROWS (same_outage));
  end_outage ();
  edge_run_for (site, FORGET_MS);
  begin_outage (1);
  check_handed (next_outage, ROWS (next_outage));
}
