/* test_refused_turns.c - turns that are refused once their history is there,
   with a request of the same caller pipelined behind them.

   Needs: Criterion, router_site.h, stepped_clock.h.  */

#include "router_site.h"
#include "stepped_clock.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define HOST "Host: h.example\r\n"
#define BUDGET "X-Token-Budget: 8\r\nX-Token-Count: 10,8\r\n"
#define LIMITED                                                               \
  "[{\"name\":\"acme\",\"apiKeys\":[\"acme-1\"],\"ratePerS\":1,\"burst\":1}]"
/* Until the organisation has a permit again.  */
#define PERMIT_MS 1200U
/* Until a host that runs alone holds all leases.  */
#define LEASES_MS 4500U
/* Until a host has listed those that have started.  */
#define LIST_MS 11000U
/* Tries of each case: whether freed memory is taken again varies.  */
#define TRIES 4

static struct edge_site *site;
static struct edge_call call;

static void
set_up (void)
{
  stepped_clock_begin ();
  site = edge_create ();
}

static void
tear_down (void)
{
  edge_destroy (site);
}

TestSuite (refused_turns, .init = set_up, .fini = tear_down, .timeout = 120);

/* Why the second turn is refused.  */
enum reason
{
  NO_WORKER,
  BUDGET_SPENT,
  OVER_LIMIT
};

/* Where its host finds the history.  */
enum history
{
  OWN_MEMORY,
  NEARBY,
  TABLE
};

static const char *const history_names[] = { "memory", "nearby", "table" };

struct refusal_case
{
  const char *name;
  enum reason reason;
  const char *status;
};

static void
list_workers (const char *state)
{
  for (int i = 0; i < EDGE_WORKERS; i++)
    if (state == NULL)
      edge_unlist_worker (site, site->llm[i]);
    else
      edge_list_worker (site, site->llm[i], "llm", state);
  edge_run_for (site, 100);
}

/* Writes a turn of PROGRAM to TEXT.  PREVIOUS: turn that it continues, "" if
   it is the first one.  */
static void
format_turn (char *text, size_t room, const char *program, const char *id,
             const char *previous, enum reason reason)
{
  char after[64] = "";

  if (previous[0] != '\0')
    snprintf (after, sizeof after, "X-Previous-Turn: %s\r\n", previous);
  snprintf (text, room,
            "POST /kept/a HTTP/1.1\r\n" HOST "X-Request-Id: %s\r\n"
            "X-Program-Id: %s\r\n%s%s%sContent-Length: 1\r\n\r\nx",
            id, program, after, reason == BUDGET_SPENT ? BUDGET : "",
            reason == OVER_LIMIT ? "X-Key: acme-1\r\n" : "");
}

/* Runs the first turn at host 0, and returns the host of the second one.  */
static int
begin_program (const char *program, const char *id, enum reason reason,
               enum history history)
{
  char text[512];

  if (site->routers[0] == NULL)
    edge_start (site, 0);
  if (reason == OVER_LIMIT)
    edge_run_for (site, PERMIT_MS);
  format_turn (text, sizeof text, program, id, "", reason);
  cr_assert_eq (edge_request (site, &call, 0, text), 200, "%s", call.answer);
  if (history == TABLE)
    edge_kill (site, 0);
  return history == OWN_MEMORY ? 0 : 1;
}

/* Sends the second turn, and a call behind it if PIPELINED.  */
static void
send_second (int host, const char *turn, const char *id, bool pipelined)
{
  char both[1024];

  snprintf (both, sizeof both,
            "%sGET /open/a HTTP/1.1\r\n" HOST "X-Request-Id: %s-c\r\n\r\n",
            turn, id);
  edge_call (site, &call, host, pipelined ? both : turn);
  edge_wait_responses (site, &call, pipelined ? 2 : 1);
}

/* Sends the second turn NUMBER to HOST and checks that it is refused.  */
static void
check_refusal (const struct refusal_case *row, enum history history, int host,
               bool pipelined, int number)
{
  char program[32];
  char first[32];
  char second[32];
  char turn[512];

  snprintf (program, sizeof program, "p%d", number);
  snprintf (first, sizeof first, "t%d", number);
  snprintf (second, sizeof second, "u%d", number);
  format_turn (turn, sizeof turn, program, second, first, row->reason);
  send_second (host, turn, second, pipelined);
  cr_expect (edge_has_status (&call, row->status), "%s, %s: %s", row->name,
             history_names[history], call.answer);
  if (pipelined)
    cr_expect_not_null (strstr (call.answer, "HTTP/1.1 200"), "%s, %s: %s",
                        row->name, history_names[history], call.answer);
  edge_close (&call);
}

static void
check_case (const struct refusal_case *row, enum history history,
            bool pipelined, int number)
{
  char program[32];
  char first[32];
  int host;

  snprintf (program, sizeof program, "p%d", number);
  snprintf (first, sizeof first, "t%d", number);
  host = begin_program (program, first, row->reason, history);
  if (row->reason == NO_WORKER)
    list_workers (NULL);
  check_refusal (row, history, host, pipelined, number);
  if (row->reason == NO_WORKER)
    list_workers ("ready");
}

static void
start_hosts (void)
{
  edge_set_seed (site, 1, 0);
  edge_start (site, 1);
  edge_run_for (site, 1000);
}

/* Each case TRIES times, with and without a request behind it.  */
static void
check_history (const struct refusal_case *cases, size_t count,
               enum history history, int *number)
{
  long lent = edge_counter (site, 1, "turns_lent");

  for (size_t i = 0; i < count; i++)
    for (int k = 0; k < 2 * TRIES; k++)
      check_case (&cases[i], history, k % 2 == 1, (*number)++);
  lent = edge_counter (site, 1, "turns_lent") - lent;
  cr_expect_eq (lent, history == NEARBY ? (long)count * 2 * TRIES : 0,
                "%s: %ld histories from another host", history_names[history],
                lent);
}

/* Failure: a turn is refused while its history is taken over from another
   host, and the router goes on with the memory of the refused request.  */
Test (refused_turns, refusal_with_a_request_behind_it)
{
  static const struct refusal_case cases[] = {
    { "no worker", NO_WORKER, "503" },
    { "budget spent", BUDGET_SPENT, "402" },
  };
  int number = 0;

  start_hosts ();
  for (int history = OWN_MEMORY; history <= TABLE; history++)
    check_history (cases, ROWS (cases), (enum history)history, &number);
}

/* Limits the organisation, and waits until all hosts know.  */
static void
limit_organisation (void)
{
  site->organisations = LIMITED;
  edge_configure (site, 3000, NULL);
  for (int i = 0; i < EDGE_ROUTERS_MAX; i++)
    if (site->routers[i] != NULL)
      EDGE_WAIT (site, edge_counter (site, i, "config_changes") > 1);
  edge_run_for (site, 4000);
}

/* Failure: as above, refused by the limit of its organisation.  No host is
   lost here, since one that is lost may keep the permit or the lease.  */
Test (refused_turns, refusal_by_a_limit_with_a_request_behind_it)
{
  static const struct refusal_case limited
      = { "over its limit", OVER_LIMIT, "429" };
  int number = 0;

  start_hosts ();
  limit_organisation ();
  for (int history = OWN_MEMORY; history <= NEARBY; history++)
    check_history (&limited, 1, (enum history)history, &number);
}

/* Failure: as above, refused since no host issues permits: the one that holds
   the lease is lost.  The histories are at host 1.  */
Test (refused_turns, refusal_without_an_issuer_with_a_request_behind_it)
{
  static const struct refusal_case unissued
      = { "no issuer", OVER_LIMIT, "503" };

  edge_run_for (site, LEASES_MS);
  edge_start (site, 1);
  edge_start (site, 2);
  limit_organisation ();
  edge_run_for (site, LIST_MS);
  for (int k = 0; k < 2 * TRIES; k++)
    {
      char program[32];
      char first[32];
      char turn[512];

      snprintf (program, sizeof program, "p%d", k);
      snprintf (first, sizeof first, "t%d", k);
      format_turn (turn, sizeof turn, program, first, "", OVER_LIMIT);
      edge_run_for (site, PERMIT_MS);
      cr_assert_eq (edge_request (site, &call, 1, turn), 200, "%s",
                    call.answer);
    }
  edge_kill (site, 0);
  for (int k = 0; k < 2 * TRIES; k++)
    check_refusal (&unissued, NEARBY, 2, k % 2 == 1, k);
}
