/* case.c - programs whose budget is spent get one turn more in each outage of
   the store.

   usage: case-2 RECORD TROUBLE
   TROUBLE: 0 for the same without the disruption, else 1.
   Needs: kit.h.  */

#include "kit.h"
#include <stdlib.h>
#include <string.h>

#define HOSTS 4
#define PROGRAMS 8
#define EVENTS 4
#define TOKENS_PER_EVENT 2
/* The most of one turn, which each turn uses.  */
#define TURN_TOKENS (EVENTS * TOKENS_PER_EVENT)
/* Turns that the budget holds.  */
#define TURNS 3
#define BUDGET (TURNS * TURN_TOKENS)
#define OUTAGE_MS 6000U
#define PAUSE_MS 26000U
#define DEADLINE_MS 6000U
/* Retry-After of a first attempt in an outage.  */
#define RETRY_MS 2000U

static int tokens[PROGRAMS];

/* One client attempt; returns its status.  */
static int
try_turn (struct router *router, int program, const char *id,
          uint32_t deadline_ms)
{
  struct connection *connection = kit_connect (router);
  char fields[512];
  struct answer answer;
  char *turn;

  snprintf (fields, sizeof fields,
            "X-Program-Id: p%d\r\nX-Session-Id: p%d\r\n"
            "X-Finish-Ms: 60000\r\nX-Token-Budget: %d\r\n"
            "X-Token-Count: 1840,%d\r\nX-Deadline-Ms: %u\r\n",
            program, program, BUDGET, TURN_TOKENS, deadline_ms);
  turn = kit_request ("POST", "/turn/x", id, fields, "input");
  kit_send (connection, turn);
  answer = kit_read_answer (connection, id, deadline_ms);
  kit_close (connection);
  free (turn);
  tokens[program] += answer.events * TOKENS_PER_EVENT;
  return answer.status;
}

/* The next turn of each program.  A 503 says when to come back; what is left
   of the deadline is sent with the second attempt.  */
static void
run_turns (struct router *router, int turn)
{
  int status[PROGRAMS];
  char id[32];

  for (int i = 0; i < PROGRAMS; i++)
    {
      snprintf (id, sizeof id, "t%d-%d", i, turn);
      status[i] = try_turn (router, i, id, DEADLINE_MS);
    }
  for (int i = 0; i < PROGRAMS; i++)
    if (status[i] == 503)
      {
        kit_sleep_ms (RETRY_MS);
        break;
      }
  for (int i = 0; i < PROGRAMS; i++)
    if (status[i] == 503)
      {
        snprintf (id, sizeof id, "t%d-%d-again", i, turn);
        (void)try_turn (router, i, id, DEADLINE_MS - RETRY_MS - 500);
      }
}

/* A turn of each program while the store is down.  */
static void
run_outage (struct router *router, int turn)
{
  uint64_t until = kit_now_ms () + OUTAGE_MS;

  if (kit_trouble ())
    kit_command ("fault silent");
  kit_sleep_ms (1500);
  run_turns (router, turn);
  while (kit_now_ms () < until)
    kit_sleep_ms (20);
  kit_command ("fault none");
}

int
main (int argc, char **argv)
{
  static struct router hosts[HOSTS];
  static const char *const names[HOSTS]
      = { "edge-a", "edge-b", "edge-c", "edge-d" };
  int most = 0;
  int broken = 0;

  if (argc < 3)
    return EXIT_NOT_RUN;
  kit_set_trouble (strcmp (argv[2], "0") != 0);
  kit_start_site (argv[1], 3, 2, TOKENS_PER_EVENT, EVENTS);
  for (int i = 0; i < HOSTS; i++)
    kit_start_router (&hosts[i], names[i], &hosts[0]);
  for (int i = 0; i < HOSTS; i++)
    kit_wait_ready (&hosts[i]);
  /* The hosts learn of each other.  */
  kit_sleep_ms (10000);

  for (int turn = 1; turn <= TURNS; turn++)
    run_turns (&hosts[0], turn);
  for (int i = 0; i < PROGRAMS; i++)
    if (tokens[i] != BUDGET)
      kit_exit (EXIT_NOT_RUN);
  run_outage (&hosts[1], TURNS + 1);
  kit_sleep_ms (PAUSE_MS);
  run_outage (&hosts[2], TURNS + 2);

  for (int i = 0; i < PROGRAMS; i++)
    {
      kit_note ("p%d got %d tokens; its budget is %d, and %d for one turn "
                "more",
                i, tokens[i], BUDGET, TURN_TOKENS);
      broken += tokens[i] > BUDGET + TURN_TOKENS ? 1 : 0;
      most = tokens[i] > most ? tokens[i] : most;
    }
  kit_note ("%s: %d of %d programs got more than %d tokens, %d at most",
            broken > 0 ? "BROKEN" : "held", broken, PROGRAMS,
            BUDGET + TURN_TOKENS, most);
  kit_exit (broken > 0 ? EXIT_BROKEN : EXIT_HELD);
}
