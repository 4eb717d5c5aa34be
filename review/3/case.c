/* case.c - a stream that begins while the store is down is taken up at a worker
   of another software version.

   usage: case-3 RECORD TROUBLE
   TROUBLE: 0 for the same without the disruption, else 1.
   Needs: kit.h.  */

#include "kit.h"
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 4
#define PROGRAMS 8
#define EVENTS 16
/* "More than two streams" */
#define JOINED_MAX 2
#define GAP_MS 200U
/* Time after which hosts don't know the programs any more, and some.  */
#define PAUSE_MS 23000U
/* Workers of the newer version: the one that crashes is one of seven.  */
#define NEW_WORKERS 6
/* Three heartbeats, after which the entry lapses, and some.  */
#define LAPSE_MS 3800U
/* Time for which the worker is down.  */
#define DOWN_MS 5400U
#define OUTAGE_MS 5500U
#define DEADLINE_MS 6000U
#define RETRY_MS 2000U
/* From the end of the outage until a host is lost.  */
#define BACK_MS 1500U

/* Time in which other traffic tells the hosts that the store is down.  */
#define NOTICE_MS 2600U

/**
 * struct stream - the second turn of a program
 * @id: the client attempt that brought its first event
 * @last: id of the last event that was received
 * @versions: worker versions of its events, a bit each
 */
struct stream
{
  struct connection *connection;
  char id[32];
  int last;
  unsigned int versions;
  int status;
};

static void
sleep_until (uint64_t ms)
{
  uint64_t now = kit_now_ms ();

  if (now < ms)
    kit_sleep_ms ((uint32_t)(ms - now));
}

static void
begin_turn (struct router *router, struct stream *stream, int program,
            const char *id, const char *more, uint32_t deadline_ms)
{
  char fields[600];
  char *text;

  snprintf (fields, sizeof fields,
            "X-Program-Id: p%d\r\nX-Session-Id: p%d\r\n"
            "X-Finish-Ms: 60000\r\nX-Token-Budget: 1080\r\n"
            "X-Token-Count: 1840,%d\r\nX-Deadline-Ms: %u\r\n%s",
            program, program, 2 * EVENTS, deadline_ms, more);
  stream->connection = kit_connect (router);
  text = kit_request ("POST", "/again/x", id, fields, "input");
  kit_send (stream->connection, text);
  free (text);
}

/* Takes in the events that have come.  */
static void
end_turn (struct stream *stream, const char *id, uint32_t wait_ms)
{
  struct answer answer = kit_read_answer (stream->connection, id, wait_ms);
  const char *at = answer.text;

  stream->status = answer.status;
  while (answer.status == 200 && (at = strstr (at, "data: e")) != NULL)
    {
      int event = 0;
      int version = 0;

      at += strlen ("data: e");
      if (sscanf (at, "%d@%d\n", &event, &version) != 2)
        continue;
      stream->last = event;
      stream->versions |= 1U << version;
    }
  kit_close (stream->connection);
}

static void
run_first_turns (struct router *router)
{
  for (int i = 0; i < PROGRAMS; i++)
    {
      struct stream stream = { .last = 0 };
      char id[32];

      snprintf (id, sizeof id, "t%d-1", i);
      begin_turn (router, &stream, i, id, "", DEADLINE_MS);
      end_turn (&stream, id, DEADLINE_MS);
      if (stream.status != 200 || stream.last != EVENTS)
        kit_exit (EXIT_NOT_RUN);
    }
}

/* The first attempts, which are told to come back while the store is down, and
   the second ones.  UNTIL_MS: end of the callers' deadline.  */
static void
begin_second_turns (struct router *router, struct stream *streams,
                    uint64_t until_ms)
{
  for (int i = 0; i < PROGRAMS; i++)
    {
      snprintf (streams[i].id, sizeof streams[i].id, "t%d-2", i);
      begin_turn (router, &streams[i], i, streams[i].id, "", DEADLINE_MS);
    }
  if (!kit_trouble ())
    return;
  for (int i = 0; i < PROGRAMS; i++)
    end_turn (&streams[i], streams[i].id, RETRY_MS);
  kit_sleep_ms (RETRY_MS);
  for (int i = 0; i < PROGRAMS; i++)
    {
      streams[i].connection = NULL;
      if (streams[i].status != 503)
        continue;
      snprintf (streams[i].id, sizeof streams[i].id, "t%d-2-again", i);
      begin_turn (router, &streams[i], i, streams[i].id, "",
                  (uint32_t)(until_ms - kit_now_ms ()));
    }
}

/* Takes up the streams that were cut, all at once.  */
static void
take_up (struct router *router, struct stream *streams, uint64_t until_ms)
{
  char ids[PROGRAMS][32];

  for (int i = 0; i < PROGRAMS; i++)
    {
      char more[128];

      streams[i].connection = NULL;
      if (streams[i].last == 0 || streams[i].last == EVENTS
          || kit_now_ms () >= until_ms)
        continue;
      snprintf (ids[i], sizeof ids[i], "t%d-3", i);
      snprintf (more, sizeof more, "Last-Event-Id: %d\r\nResumes: %s\r\n",
                streams[i].last, streams[i].id);
      begin_turn (router, &streams[i], i, ids[i], more,
                  (uint32_t)(until_ms - kit_now_ms ()));
    }
  for (int i = 0; i < PROGRAMS; i++)
    if (streams[i].connection != NULL)
      end_turn (&streams[i], ids[i], 3000);
}

int
main (int argc, char **argv)
{
  static struct router hosts[HOSTS];
  static const char *const names[HOSTS]
      = { "edge-a", "edge-b", "edge-c", "edge-d" };
  static struct stream streams[PROGRAMS];
  struct stream others[HOSTS] = { { .last = 0 } };
  uint64_t down_until;
  uint64_t crashed_ms;
  uint64_t until;
  int joined = 0;

  if (argc < 3)
    return EXIT_NOT_RUN;
  kit_set_trouble (strcmp (argv[2], "0") != 0);
  kit_start_site (argv[1], 1, 1, 2, EVENTS);
  for (int i = 0; i < HOSTS; i++)
    kit_start_router (&hosts[i], names[i], &hosts[0]);
  for (int i = 0; i < HOSTS; i++)
    kit_wait_ready (&hosts[i]);
  /* The hosts learn of each other.  */
  kit_sleep_ms (10000);
  run_first_turns (&hosts[0]);
  kit_command ("add %d 2", NEW_WORKERS);
  kit_sleep_ms (PAUSE_MS);
  kit_command ("gap %u", GAP_MS);
  crashed_ms = kit_now_ms ();
  if (kit_trouble ())
    kit_command ("crash 0");
  kit_sleep_ms (LAPSE_MS);

  down_until = kit_now_ms () + OUTAGE_MS;
  if (kit_trouble ())
    kit_command ("fault silent");
  for (int i = 0; i < HOSTS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "other%d", i);
      begin_turn (&hosts[i], &others[i], PROGRAMS + i, id, "", DEADLINE_MS);
    }
  sleep_until (crashed_ms + DOWN_MS);
  if (kit_trouble ())
    kit_command ("start 0");
  sleep_until (down_until - OUTAGE_MS + NOTICE_MS);
  until = kit_now_ms () + DEADLINE_MS;
  begin_second_turns (&hosts[1], streams, until);
  sleep_until (down_until);
  if (kit_trouble ())
    {
      kit_command ("fault none");
      kit_command ("register 0");
      kit_sleep_ms (BACK_MS);
      kit_signal_router (&hosts[1], SIGKILL);
    }
  for (int i = 0; i < PROGRAMS; i++)
    if (streams[i].connection != NULL)
      end_turn (&streams[i], streams[i].id, 5000);
  take_up (&hosts[2], streams, until);
  for (int i = 0; i < HOSTS; i++)
    end_turn (&others[i], "another program", 3000);
  for (int i = 0; i < PROGRAMS; i++)
    {
      bool both = (streams[i].versions & (streams[i].versions - 1)) != 0;

      kit_note ("stream %d: events to %d, versions%s%s%s", i, streams[i].last,
                (streams[i].versions & 2) != 0 ? " 1" : "",
                (streams[i].versions & 4) != 0 ? " 2" : "",
                both ? ": joined" : "");
      joined += both ? 1 : 0;
    }
  kit_note ("%s: %d of %d streams hold events of two software versions",
            joined > JOINED_MAX ? "BROKEN" : "held", joined, PROGRAMS);
  kit_exit (joined > JOINED_MAX ? EXIT_BROKEN : EXIT_HELD);
}
