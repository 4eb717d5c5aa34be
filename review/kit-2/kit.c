/* kit.c - a small deployment for the cases of the second review.  */

#include "kit.h"
#include "net/buffer.h"
#include "net/clock.h"
#include "net/http_conn.h"
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

struct kit kit;

static FILE *record;
static uint64_t started_ms;
static char settings_extra[1024];

uint64_t
kit_now (void)
{
  return mq_clock_ms () - started_ms;
}

void
kit_log (const char *format, ...)
{
  va_list list;

  fprintf (record, "%8.3f  ", (double)kit_now () / 1000.0);
  va_start (list, format);
  vfprintf (record, format, list);
  va_end (list);
  fputc ('\n', record);
}

static void
kill_all (void)
{
  for (int i = 0; i < kit.router_count; i++)
    if (kit.routers[i].is_up)
      kit_kill_router (i);
}

void
kit_exit (int status)
{
  char command[128];

  kill_all ();
  fclose (record);
  snprintf (command, sizeof command, "rm -rf %s", kit.folder);
  if (system (command) != 0)
    perror (kit.folder);
  _exit (status);
}

static void
on_signal (int number)
{
  (void)number;
  for (int i = 0; i < kit.router_count; i++)
    if (kit.routers[i].is_up)
      kill (kit.routers[i].pid, SIGKILL);
  _exit (2);
}

/* The store's steady clock.  */
static void
on_clock (void *data)
{
  (void)data;
  rows_server_set_clock (kit.rows, 1000000 + kit_now ());
  mq_timer_add (kit.ev, kit.ev, 5, on_clock, NULL);
}

void
kit_start (const char *case_folder)
{
  char path[256];
  const char *trouble = getenv ("TROUBLE");

  started_ms = mq_clock_ms ();
  kit.trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  snprintf (path, sizeof path, "%s/record.txt", case_folder);
  record = fopen (path, "w");
  snprintf (kit.folder, sizeof kit.folder, "/tmp/review-XXXXXX");
  if (record == NULL || mkdtemp (kit.folder) == NULL)
    {
      perror (path);
      _exit (2);
    }
  setvbuf (record, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  kit.ev = tevent_context_init (NULL);
  kit.rows = rows_server_create (kit.ev, kit.ev);
  rows_server_set_delay (kit.rows, 4);
  on_clock (NULL);
  kit_log ("store at 127.0.0.1:%u, trouble: %s",
           rows_server_port (kit.rows, 0), kit.trouble ? "yes" : "no");
}

/* A port that is free now, outside the range of outgoing connections.  */
static uint16_t
free_port (void)
{
  static uint32_t next;
  uint32_t first = (uint32_t)getpid () * 37U;

  for (uint32_t i = 0; i < 8000; i++)
    {
      struct sockaddr_in at = { .sin_family = AF_INET };
      uint16_t port = (uint16_t)(14000 + (first + next++) % 8000);
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      bool is_free;

      at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      at.sin_port = htons (port);
      is_free = fd >= 0 && bind (fd, (struct sockaddr *)&at, sizeof at) == 0;
      if (fd >= 0)
        close (fd);
      if (is_free)
        return port;
    }
  return 0;
}

void
kit_start_router (int index)
{
  struct kit_router *router = &kit.routers[index];
  char path[128];
  char variable[160];
  char *const arguments[] = { (char *)"target/bin/mimosa-routerd", NULL };
  char *const environment[] = { variable, (char *)"PATH=/usr/bin:/bin", NULL };
  FILE *file;
  char log_path[128];

  snprintf (path, sizeof path, "%s/%s.ini", kit.folder, router->host);
  snprintf (log_path, sizeof log_path, "%s/%s.log", kit.folder, router->host);
  snprintf (variable, sizeof variable, "MIMOSAQUAY_CONFIG=%s", path);
  file = fopen (path, "w");
  fprintf (file,
           "[router]\nhost = %s\ndata_centre = a\nhttp = %s\nready = %s\n"
           "peer = %s\nseeds = %s\ntable = 127.0.0.1:%u\n%s",
           router->host, router->http, router->ready, router->peer,
           kit.routers[0].peer, rows_server_port (kit.rows, 0),
           settings_extra);
  fclose (file);
  router->pid = fork ();
  if (router->pid == 0)
    {
      int log = open (log_path, O_CREAT | O_WRONLY | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (log, 1);
      dup2 (log, 2);
      for (int fd = 3; fd < 1024; fd++)
        close (fd);
      execve (arguments[0], arguments, environment);
      _exit (127);
    }
  router->is_up = true;
  kit_log ("%s starts: callers %s, peers %s", router->host, router->http,
           router->peer);
}

void
kit_start_routers (int count, int started, const char *extra)
{
  snprintf (settings_extra, sizeof settings_extra, "%s", extra);
  kit.router_count = count;
  for (int i = 0; i < count; i++)
    {
      struct kit_router *router = &kit.routers[i];

      snprintf (router->host, sizeof router->host, "edge-%d", i);
      snprintf (router->http, sizeof router->http, "127.0.0.1:%u",
                free_port ());
      snprintf (router->ready, sizeof router->ready, "127.0.0.1:%u",
                free_port ());
      snprintf (router->peer, sizeof router->peer, "127.0.0.1:%u",
                free_port ());
    }
  for (int i = 0; i < started; i++)
    kit_start_router (i);
}

void
kit_kill_router (int index)
{
  struct kit_router *router = &kit.routers[index];

  kill (router->pid, SIGKILL);
  waitpid (router->pid, NULL, 0);
  router->is_up = false;
  kit_log ("%s is killed", router->host);
}

void
kit_write_config (const char *json)
{
  rows_server_put (kit.rows, "op", "", "config", json);
  kit_log ("configuration acknowledged: %s", json);
}

void
kit_register_worker (const char *id, const char *service, uint16_t port,
                     const char *state)
{
  char text[256];

  snprintf (text, sizeof text,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"a\","
            "\"version\":\"1\",\"batchSize\":64,\"state\":\"%s\"}",
            service, port, state);
  rows_server_put (kit.rows, "servers", "", id, text);
  kit_log ("entry of worker %s: %s", id, text);
}

struct exchange
{
  struct kit_request request;
  struct mq_http_conn *conn;
  struct mq_buffer body;
  int status;
};

static void
finish (struct exchange *exchange, int status)
{
  exchange->request.status = status;
  exchange->request.answered_ms = kit_now ();
  exchange->request.body = (char *)mq_buffer_text (&exchange->body);
  exchange->request.body_len = exchange->body.len;
  if (exchange->conn != NULL)
    mq_http_conn_destroy (exchange->conn);
  if (exchange->request.done != NULL)
    exchange->request.done (&exchange->request);
  talloc_free (exchange);
}

static bool
on_head (const struct mq_http_head *head, void *user)
{
  struct exchange *exchange = user;

  exchange->status = head->status;
  return true;
}

static void
on_body (const char *data, size_t len, void *user)
{
  struct exchange *exchange = user;

  mq_buffer_append (exchange, &exchange->body, data, len, SIZE_MAX);
}

static void
on_end (void *user)
{
  struct exchange *exchange = user;

  finish (exchange, exchange->status);
}

static void
on_failed (enum mq_http_conn_failure failure, void *user)
{
  (void)failure;
  finish (user, -1);
}

static void
on_conn_closed (struct mq_http_conn *conn, void *user)
{
  (void)user;
  mq_http_conn_destroy (conn);
}

struct kit_request *
kit_send (int router, const char *address, const char *target,
          const char *fields, const char *body,
          void (*done) (struct kit_request *request), void *user)
{
  static uint64_t serial;
  struct exchange *exchange = talloc_zero (kit.ev, struct exchange);
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_http_conn_callbacks events = { .head = on_head,
                                           .body = on_body,
                                           .end = on_end,
                                           .failed = on_failed,
                                           .user = exchange };
  char *head;

  snprintf (exchange->request.id, sizeof exchange->request.id, "%016lx",
            0x5a00000000000000UL + (unsigned long)++serial);
  exchange->request.router = router;
  exchange->request.sent_ms = kit_now ();
  exchange->request.done = done;
  exchange->request.user = user;
  if (address == NULL)
    address = kit.routers[router].http;
  exchange->conn = mq_http_conn_open (kit.ev, kit.ev, address, 0,
                                      on_conn_closed, NULL, &error);
  if (exchange->conn == NULL)
    {
      kit_log ("no connection to %s", address);
      kit_exit (2);
    }
  head = talloc_asprintf (exchange,
                          "%s HTTP/1.1\r\nHost: site.example\r\n"
                          "X-Request-Id: %s\r\n%s"
                          "Content-Length: %zu\r\n\r\n",
                          target, exchange->request.id, fields, strlen (body));
  mq_http_conn_send (exchange->conn, &events, head, strlen (head), body,
                     strlen (body), false);
  return &exchange->request;
}

static void
on_stop_loop (void *data)
{
  bool *over = data;

  *over = true;
}

void
kit_run (uint64_t ms)
{
  bool over = false;

  mq_timer_add (kit.ev, kit.ev, ms, on_stop_loop, &over);
  while (!over && tevent_loop_once (kit.ev) == 0)
    continue;
}

struct counter_read
{
  const char *name;
  uint64_t *value;
  int *pending;
};

static void
on_metrics (struct kit_request *request)
{
  struct counter_read *read = request->user;
  const char *at = request->body;
  size_t len = strlen (read->name);

  while (request->status == 200 && at != NULL)
    {
      if (strncmp (at, read->name, len) == 0
          && (at[len] == ' ' || at[len] == '{'))
        *read->value += strtoull (strchr (at, ' ') + 1, NULL, 10);
      at = strchr (at, '\n');
      if (at != NULL)
        at++;
    }
  (*read->pending)--;
}

void
kit_read_counter (const char *name, uint64_t values[KIT_ROUTERS_MAX])
{
  struct counter_read reads[KIT_ROUTERS_MAX];
  int pending = 0;

  for (int i = 0; i < kit.router_count; i++)
    {
      values[i] = 0;
      if (!kit.routers[i].is_up)
        continue;
      reads[i] = (struct counter_read){ name, &values[i], &pending };
      pending++;
      kit_send (i, kit.routers[i].ready, "GET /metrics", "", "", on_metrics,
                &reads[i]);
    }
  while (pending > 0 && tevent_loop_once (kit.ev) == 0)
    continue;
}
