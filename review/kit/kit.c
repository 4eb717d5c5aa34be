/* kit.c - the site, routers and callers of the review's scripts.

   Needs: kit.h.  */

#include "kit.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define ROUTERS_MAX 16
#define READY_MS 15000U

static char directory[64];
static const char *record_path;
static int record_fd = -1;
static pid_t site_pid;
static FILE *site_input;
static uint16_t store_port;
static bool trouble = true;
static struct router *routers[ROUTERS_MAX];
static int router_count;

void
kit_set_trouble (bool on)
{
  trouble = on;
}

bool
kit_trouble (void)
{
  return trouble;
}

uint64_t
kit_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
kit_sleep_ms (uint32_t ms)
{
  struct timespec wait
      = { .tv_sec = ms / 1000, .tv_nsec = (long)(ms % 1000) * 1000000 };

  while (nanosleep (&wait, &wait) != 0 && errno == EINTR)
    continue;
}

void
kit_note (const char *format, ...)
{
  char line[4096];
  va_list args;
  int len = snprintf (line, sizeof line, "%8.3f caller  ",
                      (double)kit_now_ms () / 1000.0);

  va_start (args, format);
  len += vsnprintf (line + len, sizeof line - (size_t)len - 2, format, args);
  va_end (args);
  line[len++] = '\n';
  if (record_fd >= 0 && write (record_fd, line, (size_t)len) != len)
    abort ();
}

static void
fail (const char *what)
{
  fprintf (stderr, "review: %s: %s\n", what, strerror (errno));
  kit_exit (EXIT_NOT_RUN);
}

void
kit_exit (int status)
{
  for (int i = 0; i < router_count; i++)
    if (routers[i]->pid != 0)
      {
        kill (routers[i]->pid, SIGKILL);
        waitpid (routers[i]->pid, NULL, 0);
      }
  if (site_pid != 0)
    {
      kill (site_pid, SIGKILL);
      waitpid (site_pid, NULL, 0);
    }
  for (int i = 0; i < router_count; i++)
    unlink (routers[i]->settings);
  if (directory[0] != '\0')
    rmdir (directory);
  exit (status);
}

/* Processes */

void
kit_start_site (const char *path, int llm, int app, int tokens, int events)
{
  int input[2];
  int output[2];
  char texts[4][16];
  char line[64] = "";
  FILE *from;
  unsigned int port = 0;

  signal (SIGPIPE, SIG_IGN);
  strcpy (directory, "/tmp/review-XXXXXX");
  if (mkdtemp (directory) == NULL || pipe2 (input, O_CLOEXEC) != 0
      || pipe2 (output, O_CLOEXEC) != 0)
    fail ("temporary folder");
  record_path = path;
  record_fd = open (path, O_WRONLY | O_APPEND | O_CREAT | O_TRUNC | O_CLOEXEC,
                    0644);
  if (record_fd < 0)
    fail (path);
  kit_note ("TROUBLE=%d: %s the disruption", trouble ? 1 : 0,
            trouble ? "with" : "without");
  snprintf (texts[0], sizeof texts[0], "%d", llm);
  snprintf (texts[1], sizeof texts[1], "%d", app);
  snprintf (texts[2], sizeof texts[2], "%d", tokens);
  snprintf (texts[3], sizeof texts[3], "%d", events);
  site_pid = fork ();
  if (site_pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (input[0], STDIN_FILENO);
      dup2 (output[1], STDOUT_FILENO);
      execl ("target/review/site", "site", path, texts[0], texts[1], texts[2],
             texts[3], (char *)NULL);
      _exit (127);
    }
  close (input[0]);
  close (output[1]);
  site_input = fdopen (input[1], "w");
  from = fdopen (output[0], "r");
  if (from == NULL || fgets (line, sizeof line, from) == NULL
      || sscanf (line, "store %u", &port) != 1)
    fail ("target/review/site");
  store_port = (uint16_t)port;
}

void
kit_command (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vfprintf (site_input, format, args);
  va_end (args);
  fputc ('\n', site_input);
  fflush (site_input);
}

static uint16_t
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *)&address, &len) != 0)
    fail ("port");
  close (fd);
  return ntohs (address.sin_port);
}

/* The settings that platform/settings.ini has on the smallest deployment.  */
static void
write_settings (struct router *router, const struct router *seed)
{
  FILE *file = fopen (router->settings, "w");

  if (file == NULL)
    fail (router->settings);
  fprintf (file,
           "[router]\nhost = %s\ndata_centre = a\nhttp = 127.0.0.1:%u\n"
           "ready = 127.0.0.1:%u\npeer = 127.0.0.1:%u\n"
           "seeds = 127.0.0.1:%u\ntable = 127.0.0.1:%u\nmemory_mb = 130\n"
           "stop_seconds = 8\ndrain_ms = 2000\n",
           router->name, router->http, router->ready, router->peer, seed->peer,
           store_port);
  fclose (file);
}

/* Messages of the router go to the record as well: the loss of a process is
   seen there.  */
void
kit_start_router (struct router *router, const char *name,
                  const struct router *seed)
{
  if (router->http == 0)
    {
      if (router_count == ROUTERS_MAX)
        fail ("too many routers");
      routers[router_count++] = router;
      snprintf (router->name, sizeof router->name, "%s", name);
      snprintf (router->settings, sizeof router->settings, "%s/%s.ini",
                directory, name);
      router->http = free_port ();
      router->ready = free_port ();
      router->peer = free_port ();
      write_settings (router, seed);
    }
  router->pid = fork ();
  if (router->pid == 0)
    {
      int null = open ("/dev/null", O_WRONLY);
      char *argv[] = { (char *)"target/bin/mimosa-routerd", NULL };
      char variable[160];
      char *envp[] = { variable, NULL };

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      snprintf (variable, sizeof variable, "MIMOSAQUAY_CONFIG=%s",
                router->settings);
      dup2 (null, STDOUT_FILENO);
      execve (argv[0], argv, envp);
      _exit (127);
    }
  if (router->pid < 0)
    fail ("fork");
  kit_note ("%s starts", router->name);
}

void
kit_signal_router (struct router *router, int number)
{
  kit_note ("%s gets signal %d (%s)", router->name, number,
            strsignal (number));
  kill (router->pid, number);
  if (number != SIGKILL)
    return;
  waitpid (router->pid, NULL, 0);
  router->pid = 0;
}

bool
kit_has_ended (struct router *router)
{
  int status;

  if (router->pid == 0 || waitpid (router->pid, &status, WNOHANG) <= 0)
    return false;
  router->pid = 0;
  if (WIFSIGNALED (status))
    kit_note ("%s has ended by itself: signal %d (%s)", router->name,
              WTERMSIG (status), strsignal (WTERMSIG (status)));
  else
    kit_note ("%s has ended by itself: status %d", router->name,
              WEXITSTATUS (status));
  return true;
}

/* Callers */

static int
connect_to (uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0)
    fail ("socket");
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

struct connection *
kit_connect (const struct router *router)
{
  struct connection *connection = calloc (1, sizeof *connection);

  if (connection == NULL)
    fail ("memory");
  connection->fd = connect_to (router->http);
  return connection;
}

void
kit_close (struct connection *connection)
{
  if (connection->fd >= 0)
    close (connection->fd);
  free (connection);
}

void
kit_send (struct connection *connection, const char *text)
{
  size_t len = strlen (text);

  while (connection->fd >= 0 && len > 0)
    {
      ssize_t sent = send (connection->fd, text, len, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      text += sent;
      len -= (size_t)sent;
    }
}

char *
kit_request (const char *method, const char *target, const char *id,
             const char *fields, const char *body)
{
  char *text = NULL;
  char length[48] = "";

  if (body[0] != '\0')
    snprintf (length, sizeof length, "Content-Length: %zu\r\n", strlen (body));
  if (asprintf (&text,
                "%s %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n%s%s\r\n%s",
                method, target, id, fields, length, body)
      < 0)
    fail ("memory");
  kit_note ("sends %s: %s %s", id, method, target);
  return text;
}

/* Waits for further bytes.  Returns false with *ENDING set if none come.  */
static bool
read_more (struct connection *connection, uint64_t until_ms,
           enum ending *ending)
{
  struct pollfd ready = { .fd = connection->fd, .events = POLLIN };
  uint64_t now = kit_now_ms ();
  ssize_t got;

  *ending = ENDED_TIMEOUT;
  if (connection->fd < 0)
    *ending = ENDED_NO_ANSWER;
  if (connection->fd < 0 || now >= until_ms
      || poll (&ready, 1, (int)(until_ms - now)) <= 0)
    return false;
  got = recv (connection->fd, connection->text + connection->len,
              sizeof connection->text - connection->len - 1, 0);
  if (got <= 0)
    {
      *ending = ENDED_NO_ANSWER;
      return false;
    }
  connection->len += (size_t)got;
  connection->text[connection->len] = '\0';
  return true;
}

static void
drop (struct connection *connection, size_t len)
{
  connection->len -= len;
  memmove (connection->text, connection->text + len, connection->len + 1);
}

/* Size of the whole message at the start of the text; 0 if it is not whole.
   Counts events.  */
static size_t
message_size (const struct connection *connection, struct answer *answer)
{
  const char *end = strstr (connection->text, "\r\n\r\n");
  const char *length;
  const char *at;

  if (end == NULL || sscanf (connection->text, "HTTP/1.1 %d", &answer->status)
                         != 1)
    return 0;
  answer->stamped
      = strcasestr (connection->text, "\r\nX-Server-Stamp:") != NULL;
  length = strcasestr (connection->text, "\r\nContent-Length:");
  end += 4;
  if (length != NULL && length < end)
    {
      size_t size = (size_t)(end - connection->text)
                    + strtoul (length + 17, NULL, 10);

      return connection->len >= size ? size : 0;
    }
  if (strcasestr (connection->text, "\r\nTransfer-Encoding: chunked") == NULL)
    return (size_t)(end - connection->text);
  answer->events = 0;
  for (at = end;;)
    {
      char *stop;
      unsigned long size = strtoul (at, &stop, 16);
      const char *data = stop + 2;

      if (stop == at || stop[0] != '\r'
          || data + size + 2 > connection->text + connection->len)
        return 0;
      for (const char *event = data; event < data + size; event++)
        answer->events += strncmp (event, "\n\n", 2) == 0 ? 1 : 0;
      at = data + size + 2;
      if (size == 0)
        return (size_t)(at - connection->text);
    }
}

struct answer
kit_read_answer (struct connection *connection, const char *id,
                 uint32_t wait_ms)
{
  static const char *const names[]
      = { [ENDED_WHOLE] = "whole",
          [ENDED_CUT] = "cut in the answer",
          [ENDED_NO_ANSWER] = "connection closed, no answer",
          [ENDED_TIMEOUT] = "nothing in time" };
  uint64_t until = kit_now_ms () + wait_ms;
  struct answer answer = { .ending = ENDED_WHOLE };
  size_t size;

  while ((size = message_size (connection, &answer)) == 0)
    if (!read_more (connection, until, &answer.ending))
      break;
  snprintf (answer.text, sizeof answer.text, "%.*s",
            (int)sizeof answer.text - 1, connection->text);
  if (size > 0)
    {
      answer.ending = ENDED_WHOLE;
      drop (connection, size);
    }
  else if (answer.ending == ENDED_NO_ANSWER && connection->len > 0)
    answer.ending = ENDED_CUT;
  kit_note ("gets for %s: %s, status %d, %d events", id, names[answer.ending],
            answer.status, answer.events);
  return answer;
}

void
kit_wait_ready (const struct router *router)
{
  uint64_t until = kit_now_ms () + READY_MS;

  while (kit_now_ms () < until)
    {
      struct connection probe = { .fd = connect_to (router->ready) };
      struct answer answer = { .status = 0 };
      enum ending ending;

      kit_send (&probe, "GET /api/readyz HTTP/1.1\r\nHost: h\r\n"
                        "Connection: close\r\n\r\n");
      while (message_size (&probe, &answer) == 0
             && read_more (&probe, kit_now_ms () + 500, &ending))
        continue;
      if (probe.fd >= 0)
        close (probe.fd);
      if (answer.status == 200)
        return;
      kit_sleep_ms (50);
    }
  errno = ETIMEDOUT;
  fail (router->name);
}
