/* test_standins.c - stand-ins of the users' platform.

   Needs: Criterion, raw_server.h, listen.h, clock.h,
   timer.h.  */

#include "../platform/standins/raw_server.h"
#include "net/clock.h"
#include "net/listen.h"
#include "net/timer.h"
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

static void
ignore_request (struct raw_link *link, const struct raw_request *request,
                void *user)
{
  (void)link;
  (void)request;
  (void)user;
}

/* Whether any socket listens at PORT.  */
static bool
is_taken (uint16_t port)
{
  char address[32];
  int fd;

  snprintf (address, sizeof address, "127.0.0.1:%u", port);
  fd = mq_listen_open (address, NULL);
  if (fd >= 0)
    close (fd);
  return fd < 0;
}

/* Failure: a process that was forked and has not reached its exec holds a copy
   of the listening socket; connections are queued there while they are to be
   refused, and the stand-in can't listen again.  */
Test (standins, refuses_beside_a_copy_of_its_socket, .timeout = 20)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct raw_server *server = raw_server_create (
      ctx, tevent_context_init (ctx), ignore_request, NULL, NULL);
  pid_t copy = fork ();

  if (copy == 0)
    for (;;)
      pause ();
  cr_assert_gt (copy, 0);
  cr_expect (is_taken (raw_server_port (server)));
  for (int i = 0; i < 3; i++)
    {
      raw_server_listen (server, false);
      cr_expect_not (is_taken (raw_server_port (server)));
      raw_server_listen (server, true);
      cr_expect (is_taken (raw_server_port (server)));
    }
  kill (copy, SIGKILL);
  cr_expect_eq (waitpid (copy, NULL, 0), copy);
  talloc_free (ctx);
}

static void
ignore_timer (void *data)
{
  (void)data;
}

#define WATCH_MS 100U
/* A stand-in tries again each 20 ms.  */
#define ITERATIONS_MAX 50

/* Failure: a stand-in that can't accept a connection keeps the event loop
   busy, and the loop of the router beside it seems to spin.  */
Test (standins, accepting_without_descriptors_does_not_spin, .timeout = 20)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct tevent_context *ev = tevent_context_init (ctx);
  struct raw_server *server
      = raw_server_create (ctx, ev, ignore_request, NULL, NULL);
  struct rlimit limit;
  char address[32];
  uint64_t until;
  int iterations = 0;
  int fd;

  /* Timers of a loop share a descriptor, which the first one opens.  */
  cr_assert_not_null (mq_timer_add (ctx, ev, WATCH_MS, ignore_timer, NULL));
  snprintf (address, sizeof address, "127.0.0.1:%u", raw_server_port (server));
  fd = mq_connect_begin (address, NULL);
  cr_assert_geq (fd, 0);
  cr_assert_eq (getrlimit (RLIMIT_NOFILE, &limit), 0);
  limit.rlim_cur = (rlim_t)fd + 1;
  cr_assert_eq (setrlimit (RLIMIT_NOFILE, &limit), 0);
  until = mq_clock_ms () + WATCH_MS;
  while (mq_clock_ms () < until)
    {
      tevent_loop_once (ev);
      iterations++;
    }
  cr_expect_leq (iterations, ITERATIONS_MAX, "%d iterations", iterations);
  close (fd);
  talloc_free (ctx);
}
