/* test_standins.c - stand-ins of the users' platform.

   Needs: Criterion, raw_server.h, listen.h.  */

#include "../platform/standins/raw_server.h"
#include "net/listen.h"
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
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
