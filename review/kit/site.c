/* site.c - stand-in of the platform for the scripts of the review: the store,
   and workers of two services.

   usage: review-site RECORD LLM APP [TOKENS_PER_EVENT EVENTS]
   Prints "store PORT" when ready.  RECORD gets one line for each request that
   a worker runs.  LLM and APP are the numbers of workers.  Commands on standard
   input, one a line:

     fault none | silent | reset | busy    of the store
     crash INDEX            the worker resets its connections, refuses new ones,
                            and its entry lapses after 3.6 s
     start INDEX            a worker that has crashed starts again
     register INDEX         and writes its entry
     add COUNT VERSION      further language workers, of that version
     gap MS                 time before each event of a turn, 10 ms at first
     config TEXT            a further version of the configuration, of one line

   Plain requests are answered after "?ms=N" of their target.  Turns get EVENTS
   events.  The store is the project's own stand-in (rows_server.h).
   Needs: rows_server.h, raw_server.h, timer.h, clock.h.  */

#include "../../platform/standins/rows_server.h"
#include "net/clock.h"
#include "net/timer.h"
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <signal.h>
#include <unistd.h>

#define WORKERS_MAX 16
/* Three heartbeats of 1,200 ms.  */
#define LAPSE_MS 3600U
#define CLOCK_STEP_MS 20U
#define FIRST_GAP_MS 10U

struct site;

struct worker
{
  struct site *site;
  struct raw_server *server;
  char id[32];
  bool llm;
  char version[16];
  uint64_t born_ms;
  bool lapses;
};

struct site
{
  struct tevent_context *ev;
  struct rows_server *rows;
  struct worker workers[WORKERS_MAX];
  int worker_count;
  int events;
  uint32_t gap_ms;
  int record;
  uint64_t began_ms;
};

/* A response that waits, freed with its connection.  */
struct pending
{
  struct worker *worker;
  struct raw_link *link;
  char id[64];
  int next;
};

static void
record (const struct site *site, const char *format, ...)
{
  char line[4096];
  va_list args;
  int len = snprintf (line, sizeof line, "%8.3f site    ",
                      (double)mq_clock_ms () / 1000.0);

  va_start (args, format);
  len += vsnprintf (line + len, sizeof line - (size_t)len - 2, format, args);
  va_end (args);
  line[len++] = '\n';
  if (write (site->record, line, (size_t)len) != len)
    abort ();
}

/* Workers */

static char *
format_fields (const struct pending *pending)
{
  return talloc_asprintf (
      pending, "X-Request-Id: %s\r\nX-Server-Stamp: s.%s\r\n"
               "X-Server-Load: 1,0,64\r\nKeep-Alive: timeout=5\r\n",
      pending->id, pending->worker->id);
}

static void
on_plain_due (void *data)
{
  struct pending *pending = data;
  char *fields = format_fields (pending);
  char body[96];

  snprintf (body, sizeof body, "done %s", pending->id);
  record (pending->worker->site, "answer %s 200", pending->id);
  raw_link_respond (pending->link, 200, fields, body, strlen (body));
  talloc_free (pending);
}

static void
on_event_due (void *data)
{
  struct pending *pending = data;
  struct site *site = pending->worker->site;
  char event[64];
  char chunk[96];
  int len;

  if (pending->next > site->events)
    {
      record (site, "answer %s 200, %d events", pending->id, site->events);
      raw_link_write (pending->link, "0\r\n\r\n", 5);
      raw_link_read_next (pending->link);
      talloc_free (pending);
      return;
    }
  len = snprintf (event, sizeof event, "id: %d\ndata: e%d@%s\n\n",
                  pending->next, pending->next, pending->worker->version);
  snprintf (chunk, sizeof chunk, "%x\r\n%s\r\n", (unsigned int)len, event);
  raw_link_write (pending->link, chunk, strlen (chunk));
  pending->next++;
  mq_timer_add (pending, site->ev, site->gap_ms, on_event_due, pending);
}

/* FROM: Last-Event-Id, NULL if there is none.  */
static void
begin_stream (struct pending *pending, const char *from)
{
  char *fields = format_fields (pending);
  char *head = talloc_asprintf (pending,
                                "HTTP/1.1 200 OK\r\n%s"
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n",
                                fields);

  raw_link_write (pending->link, head, strlen (head));
  pending->next = from == NULL ? 1 : atoi (from) + 1;
  mq_timer_add (pending, pending->worker->site->ev,
                pending->worker->site->gap_ms, on_event_due, pending);
}

static uint32_t
delay_of (const char *target)
{
  const char *at = strstr (target, "?ms=");

  return at == NULL ? 1 : (uint32_t)strtoul (at + 4, NULL, 10);
}

static void
on_request (struct raw_link *link, const struct raw_request *request,
            void *user)
{
  struct worker *worker = user;
  const char *id = mq_http_head_find (request->head, "X-Request-Id");
  const char *instance
      = mq_http_head_find (request->head, "X-Expect-Instance");
  struct pending *pending;

  if (strcmp (request->head->target, "/healthz") == 0)
    {
      char fields[64];

      snprintf (fields, sizeof fields, "X-Instance-Id: %s\r\n", worker->id);
      raw_link_respond (link, 200, fields, "", 0);
      return;
    }
  pending = talloc_zero (link, struct pending);
  pending->worker = worker;
  pending->link = link;
  snprintf (pending->id, sizeof pending->id, "%s", id == NULL ? "" : id);
  if (id == NULL || (instance != NULL && strcmp (instance, worker->id) != 0))
    {
      char *fields = talloc_asprintf_append (format_fields (pending),
                                             "X-Not-Run: 1\r\n");

      raw_link_respond (link, id == NULL ? 400 : 421, fields, "", 0);
      talloc_free (pending);
      return;
    }
  record (worker->site, "run %s at %s: %s, body of %zu bytes", id, worker->id,
          request->head->target, request->len);
  if (worker->llm)
    begin_stream (pending,
                  mq_http_head_find (request->head, "Last-Event-Id"));
  else
    mq_timer_add (pending, worker->site->ev, delay_of (request->head->target),
                  on_plain_due, pending);
}

static void
on_closed (struct raw_link *link, void *user)
{
  (void)link;
  (void)user;
}

static void
write_entry (struct worker *worker)
{
  char text[256];

  snprintf (text, sizeof text,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"a\","
            "\"version\":\"%s\",\"batchSize\":64,\"state\":\"ready\","
            "\"born\":%llu}",
            worker->llm ? "llm" : "app", raw_server_port (worker->server),
            worker->version,
            (unsigned long long)worker->born_ms);
  rows_server_put (worker->site->rows, "servers", "", worker->id, text);
}

static void
add_worker (struct site *site, bool llm, int index, const char *version)
{
  struct worker *worker = &site->workers[site->worker_count++];

  if (site->worker_count == WORKERS_MAX)
    abort ();
  worker->site = site;
  worker->llm = llm;
  worker->born_ms = 1700000000000ULL;
  snprintf (worker->version, sizeof worker->version, "%s", version);
  snprintf (worker->id, sizeof worker->id, "%s-%d", llm ? "llm" : "app",
            index);
  worker->server
      = raw_server_create (site->ev, site->ev, on_request, on_closed, worker);
  write_entry (worker);
}

/* Commands */

static void
on_lapse (void *data)
{
  struct worker *worker = data;

  if (!worker->lapses)
    return;
  worker->lapses = false;
  record (worker->site, "the entry of %s has lapsed", worker->id);
  rows_server_put (worker->site->rows, "servers", "", worker->id, NULL);
}

static void
crash_worker (struct site *site, int index)
{
  struct worker *worker = &site->workers[index];

  raw_server_listen (worker->server, false);
  worker->lapses = true;
  mq_timer_add (site->ev, site->ev, LAPSE_MS, on_lapse, worker);
}

/* A new start under the same id.  */
static void
start_worker (struct site *site, int index)
{
  struct worker *worker = &site->workers[index];

  worker->born_ms += 60000;
  raw_server_listen (worker->server, true);
}

static void
add_workers (struct site *site, const char *text)
{
  char *version;
  long count = strtol (text, &version, 10);

  for (long i = 0; i < count; i++)
    add_worker (site, true, site->worker_count, version + 1);
}

static void
set_fault (struct site *site, const char *name)
{
  if (strcmp (name, "silent") == 0)
    rows_server_set_fault (site->rows, ROWS_NO_RESPONSE);
  else if (strcmp (name, "reset") == 0)
    rows_server_set_fault (site->rows, ROWS_REFUSE_CONNECTIONS);
  else if (strcmp (name, "busy") == 0)
    rows_server_set_fault (site->rows, ROWS_UNAVAILABLE);
  else
    rows_server_set_fault (site->rows, ROWS_NO_FAULT);
}

static void
obey (struct site *site, const char *line)
{
  record (site, "%s", line);
  if (strncmp (line, "fault ", 6) == 0)
    set_fault (site, line + 6);
  else if (strncmp (line, "crash ", 6) == 0)
    crash_worker (site, atoi (line + 6));
  else if (strncmp (line, "start ", 6) == 0)
    start_worker (site, atoi (line + 6));
  else if (strncmp (line, "register ", 9) == 0)
    write_entry (&site->workers[atoi (line + 9)]);
  else if (strncmp (line, "add ", 4) == 0)
    add_workers (site, line + 4);
  else if (strncmp (line, "gap ", 4) == 0)
    site->gap_ms = (uint32_t)atoi (line + 4);
  else if (strncmp (line, "config ", 7) == 0)
    rows_server_put (site->rows, "op", "", "config", line + 7);
}

static void
on_input (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
          void *data)
{
  static char text[65536];
  static size_t len;
  ssize_t got = read (STDIN_FILENO, text + len, sizeof text - len - 1);
  char *end;

  (void)ev;
  (void)event;
  (void)flags;
  if (got <= 0)
    exit (0);
  len += (size_t)got;
  text[len] = '\0';
  while ((end = strchr (text, '\n')) != NULL)
    {
      *end = '\0';
      obey (data, text);
      len -= (size_t)(end + 1 - text);
      memmove (text, end + 1, len + 1);
    }
}

/* The store's clock is steady and need not be the time of day.  */
static void
on_clock (void *data)
{
  struct site *site = data;

  rows_server_set_clock (site->rows, 1000000 + mq_clock_ms ()
                                         - site->began_ms);
  mq_timer_add (site->ev, site->ev, CLOCK_STEP_MS, on_clock, site);
}

int
main (int argc, char **argv)
{
  struct site site = { .ev = tevent_context_init (NULL),
                       .events = 4,
                       .gap_ms = FIRST_GAP_MS };
  char config[4096];
  int tokens = argc > 4 ? atoi (argv[4]) : 2;

  if (argc < 4)
    return 2;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  signal (SIGPIPE, SIG_IGN);
  if (argc > 5)
    site.events = atoi (argv[5]);
  site.record = open (argv[1], O_WRONLY | O_APPEND | O_CREAT, 0644);
  site.began_ms = mq_clock_ms ();
  site.rows = rows_server_create (site.ev, site.ev);
  on_clock (&site);
  snprintf (
      config, sizeof config,
      "{\"version\":1,\"routes\":["
      "{\"name\":\"call\",\"host\":\"h\",\"prefix\":\"/call/\","
      "\"kind\":\"idempotent\",\"timeoutMs\":8000,\"sloMs\":1000,"
      "\"service\":\"app\",\"attempts\":2},"
      "{\"name\":\"turn\",\"host\":\"h\",\"prefix\":\"/turn/\","
      "\"kind\":\"streaming\",\"timeoutMs\":6000,\"sloMs\":250,"
      "\"gapAimMs\":200,\"service\":\"llm\",\"attempts\":2},"
      "{\"name\":\"again\",\"host\":\"h\",\"prefix\":\"/again/\","
      "\"kind\":\"streaming\",\"timeoutMs\":6000,\"sloMs\":250,"
      "\"gapAimMs\":200,\"service\":\"llm\",\"attempts\":2,"
      "\"resumable\":true},"
      "{\"name\":\"kept\",\"host\":\"h\",\"prefix\":\"/kept/\","
      "\"kind\":\"streaming\",\"timeoutMs\":6000,\"sloMs\":250,"
      "\"gapAimMs\":200,\"service\":\"llm\",\"attempts\":2,\"retain\":true,"
      "\"retainS\":60}],\"services\":[{\"name\":\"llm\","
      "\"healthPath\":\"/healthz\",\"maxConns\":100,\"engine\":"
      "{\"batchSize\":64,\"tokensPerEvent\":%d}},{\"name\":\"app\","
      "\"healthPath\":\"/healthz\",\"maxConns\":100}],\"limits\":"
      "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
      tokens);
  rows_server_put (site.rows, "op", "", "config", config);
  for (int i = 0; i < atoi (argv[2]); i++)
    add_worker (&site, true, i, "1");
  for (int i = 0; i < atoi (argv[3]); i++)
    add_worker (&site, false, i, "1");
  tevent_add_fd (site.ev, site.ev, STDIN_FILENO, TEVENT_FD_READ, on_input,
                 &site);
  printf ("store %u\n", rows_server_port (site.rows, 0));
  fflush (stdout);
  while (tevent_loop_once (site.ev) == 0)
    continue;
  return 1;
}
