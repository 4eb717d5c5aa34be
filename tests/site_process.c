/* site_process.c - child processes of a test.

   Needs: site_process.h, Linux (memfd_create, prctl).  */

#include "site_process.h"
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  POLL_INTERVAL_MS = 5,
  CHUNK_BYTES = 4096
};

uint64_t
site_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static void
sleep_ms (int ms)
{
  poll (NULL, 0, ms);
}

static int
close_file (int *fd)
{
  close (*fd);
  return 0;
}

char *
site_file (TALLOC_CTX *ctx, const char *text)
{
  int *fd = talloc (ctx, int);
  size_t len = strlen (text);

  *fd = memfd_create ("site", 0);
  if (*fd < 0 || write (*fd, text, len) != (ssize_t)len)
    abort ();
  talloc_set_destructor (fd, close_file);
  return talloc_asprintf (fd, "/proc/self/fd/%d", *fd);
}

static int
end_process (struct site_process *process)
{
  if (process->pid != 0)
    {
      kill (process->pid, SIGKILL);
      waitpid (process->pid, &process->status, 0);
    }
  close (process->out);
  close (process->err);
  return 0;
}

/* Runs in the child.  Exits if PARENT died before prctl took effect.  */
static void
setup_child (pid_t parent, int out, int err)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (127);
  dup2 (out, STDOUT_FILENO);
  dup2 (err, STDERR_FILENO);
  signal (SIGTERM, SIG_DFL);
  signal (SIGINT, SIG_DFL);
}

static struct site_process *
fork_process (TALLOC_CTX *ctx, const char *name, int *child_out)
{
  struct site_process *process = talloc_zero (ctx, struct site_process);
  pid_t parent = getpid ();
  int out[2];

  process->name = talloc_strdup (process, name);
  process->output = talloc_strdup (process, "");
  process->err = memfd_create (name, MFD_CLOEXEC);
  if (process->err < 0 || pipe2 (out, O_CLOEXEC) != 0)
    abort ();
  process->out = out[0];
  fflush (NULL);
  process->pid = fork ();
  if (process->pid < 0)
    abort ();
  if (process->pid == 0)
    {
      setup_child (parent, out[1], process->err);
      *child_out = out[1];
      return process;
    }
  close (out[1]);
  fcntl (process->out, F_SETFL, O_NONBLOCK);
  talloc_set_destructor (process, end_process);
  return process;
}

struct site_process *
site_process_start (TALLOC_CTX *ctx, const char *name,
                    const char *const *arguments)
{
  const char *build = getenv ("BUILD");
  char *path = talloc_asprintf (ctx, "%s/bin/%s",
                                build == NULL ? "build" : build, arguments[0]);
  char *copy[SITE_ARGUMENTS_MAX + 1] = { 0 };
  struct site_process *process;
  int out = -1;

  for (size_t i = 0; i < SITE_ARGUMENTS_MAX && arguments[i] != NULL; i++)
    copy[i] = talloc_strdup (path, arguments[i]);
  process = fork_process (ctx, name, &out);
  if (process->pid == 0)
    {
      execv (path, copy);
      fprintf (stderr, "%s: %s\n", path, strerror (errno));
      _exit (127);
    }
  talloc_free (path);
  return process;
}

struct site_process *
site_process_fork (TALLOC_CTX *ctx, const char *name,
                   void (*run) (void *data, int out), void *data)
{
  int out = -1;
  struct site_process *process = fork_process (ctx, name, &out);

  if (process->pid == 0)
    {
      run (data, out);
      _exit (127);
    }
  return process;
}

/* Returns false at end of file.  */
static bool
read_output (struct site_process *process)
{
  char chunk[CHUNK_BYTES];
  ssize_t got;

  while ((got = read (process->out, chunk, sizeof chunk)) > 0)
    process->output
        = talloc_strndup_append_buffer (process->output, chunk, (size_t)got);
  return got < 0 && errno == EAGAIN;
}

/* Stand-ins print "listening IP:PORT", daemons log an event "listening".  */
static bool
announces_address (const char *line, size_t len)
{
  static const char words[] = "listening";
  static const char event[] = "\"event\":\"listening\"";

  return strncmp (line, words, sizeof words - 1) == 0
         || memmem (line, len, event, sizeof event - 1) != NULL;
}

static size_t
count_addresses (const char *text)
{
  size_t count = 0;
  const char *line = text;

  while (line != NULL && *line != '\0')
    {
      const char *end = strchr (line, '\n');

      if (end != NULL && announces_address (line, (size_t)(end - line)))
        count++;
      line = end == NULL ? NULL : end + 1;
    }
  return count;
}

bool
site_process_wait_listening (struct site_process *process, size_t count)
{
  uint64_t until = site_now_ms () + SITE_WAIT_LIMIT_MS;
  bool open = true;

  while (open && site_now_ms () < until)
    {
      struct pollfd out = { .fd = process->out, .events = POLLIN };

      open = read_output (process);
      if (count_addresses (process->output) >= count)
        return true;
      poll (&out, 1, POLL_INTERVAL_MS);
    }
  return false;
}

void
site_process_signal (struct site_process *process, int number)
{
  if (process->pid != 0)
    kill (process->pid, number);
}

bool
site_process_wait (struct site_process *process)
{
  uint64_t until = site_now_ms () + SITE_WAIT_LIMIT_MS;

  while (process->pid != 0)
    {
      read_output (process);
      if (waitpid (process->pid, &process->status, WNOHANG) == process->pid)
        process->pid = 0;
      else if (site_now_ms () >= until)
        return false;
      else
        sleep_ms (POLL_INTERVAL_MS);
    }
  read_output (process);
  return true;
}

int
site_process_exit (const struct site_process *process)
{
  return WIFEXITED (process->status) ? WEXITSTATUS (process->status) : -1;
}

bool
site_process_succeeded (const struct site_process *process)
{
  return process->pid == 0 && site_process_exit (process) == 0;
}

void
site_process_dump (const struct site_process *process)
{
  char chunk[CHUNK_BYTES];
  off_t at = 0;
  ssize_t got;

  fprintf (stderr, "---- %s (pid %d, status %d)\n", process->name,
           (int)process->pid, process->status);
  while ((got = pread (process->err, chunk, sizeof chunk, at)) > 0)
    {
      fwrite (chunk, 1, (size_t)got, stderr);
      at += got;
    }
}
