/* router_callers.c - the connections of callers as a whole: accepting, time
   limits and the end of the process.

   Needs: router_caller.h, listen.h, clock.h.  */

#include "router_caller.h"
#include "net/clock.h"
#include "net/listen.h"
#include <errno.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections accepted per event.  */
#define ACCEPT_BATCH 16
/* Callers looked at before none counts as idle; others have unread input.  */
#define IDLE_LOOKS 8

/* Closes an idle connection at once, which resets a request that crosses the
   close.  A half-close is used only while response data is unsent.

   Failure: after a half-close such a request is read and discarded, and its
   caller cannot tell that it did not run.  */
static void
close_idle (struct mq_caller *caller)
{
  if (mq_tcp_unsent_bytes (caller->tcp) > 0)
    caller_finish (caller);
  else
    caller_destroy (caller);
}

static bool
is_idle (const struct mq_caller *caller)
{
  return !caller->answering && !caller->held && caller->read_ahead.len == 0
         && !mq_http_reader_in_message (caller->reader)
         && mq_tcp_unsent_bytes (caller->tcp) == 0;
}

static struct mq_caller *
find_longest_idle (const struct mq_router *router)
{
  struct mq_caller *found = NULL;

  for (struct mq_caller *caller = router->callers; caller != NULL;
       caller = caller->next)
    if (is_idle (caller)
        && (found == NULL || caller->active_ms <= found->active_ms))
      found = caller;
  return found;
}

/* A caller with unread input is not idle; its input is read next.  */
bool
mq_callers_make_room (struct mq_router *router)
{
  for (int i = 0; i < IDLE_LOOKS; i++)
    {
      struct mq_caller *caller = find_longest_idle (router);

      if (caller == NULL)
        return false;
      if (!mq_tcp_has_unread (caller->tcp))
        {
          close_idle (caller);
          router->counters.callers_closed++;
          return true;
        }
      caller->active_ms = mq_clock_ms ();
    }
  return false;
}

/* Returns false, with errno set, if no connection was accepted.  */
static bool
accept_caller (struct mq_router *router)
{
  int fd
      = accept4 (router->front_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  if (fd >= 0)
    caller_add (router, fd);
  /* An aborted connection may be followed by others.  */
  return fd >= 0 || errno == ECONNABORTED;
}

static bool
is_over_share (const struct mq_router *router)
{
  return router->caller_count + router->ending_count >= router->callers_max;
}

static bool
has_pending (const struct mq_router *router)
{
  struct pollfd ready = { .fd = router->front_fd, .events = POLLIN };

  return poll (&ready, 1, 0) == 1;
}

/* Whether a pending connection has to wait in the queue.

   Failure: new callers take the descriptors that the requests of the others
   need at workers.  */
static bool
must_wait (struct mq_router *router)
{
  return is_over_share (router) && has_pending (router)
         && !mq_callers_make_room (router);
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct mq_router *router = data;

  (void)flags;
  for (int i = 0; i < ACCEPT_BATCH; i++)
    {
      if (must_wait (router))
        {
          mq_listen_pause (ev, event);
          return;
        }
      if (accept_caller (router))
        continue;
      if (mq_socket_shortage (errno) && !mq_callers_make_room (router))
        mq_listen_pause (ev, event);
      return;
    }
}

/* Without a known limit only a failed accept makes callers wait.  */
static size_t
callers_max (void)
{
  struct rlimit files;

  if (getrlimit (RLIMIT_NOFILE, &files) != 0
      || files.rlim_cur == RLIM_INFINITY)
    return SIZE_MAX;
  return mq_bounds_callers (files.rlim_cur);
}

bool
mq_callers_listen (struct mq_router *router, struct mq_error *error)
{
  router->callers_max = callers_max ();
  router->bytes_max = mq_bounds_bytes (router->settings->memory_mb);
  router->front_fd = mq_listen_open (router->settings->http, error);
  if (router->front_fd < 0)
    return false;
  router->front_event = tevent_add_fd (router->ev, router, router->front_fd,
                                       TEVENT_FD_READ, on_accept, router);
  return router->front_event != NULL;
}

/* Logs the idle time of a closed connection and the limit.  */
static void
log_idle_close (struct mq_router *router, uint64_t idle_for_ms,
                uint32_t idle_ms)
{
  struct mq_json_line line;

  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_CALLER_CLOSED);
  mq_json_number (&line, "rested_ms", idle_for_ms);
  mq_json_number (&line, "idle_ms", idle_ms);
  mq_json_end (&line);
}

/* Closes a connection that exceeded the idle timeout; callers that vanished
   would otherwise hold memory and descriptors.  */
static void
check_idle (struct mq_caller *caller, uint32_t idle_ms, uint64_t now)
{
  struct mq_router *router = caller->router;
  uint64_t idle_for_ms = now - caller->active_ms;

  if (idle_ms < caller->advertised_idle_ms)
    idle_ms = caller->advertised_idle_ms;
  if (idle_for_ms <= idle_ms)
    return;
  close_idle (caller);
  log_idle_close (router, idle_for_ms, idle_ms);
}

/* Whether the time limits may be applied: unread data is processed first.

   Failure: after a delay of the event loop, a connection is closed as idle
   although its next request has arrived.  */
static bool
may_time_out (const struct mq_caller *caller)
{
  return !caller->answering && caller->read_ahead.len == 0
         && !mq_tcp_has_unread (caller->tcp);
}

/* Closes a connection whose caller has taken nothing of its responses for the
   idle timeout, so that nobody waits for what was read after them.  The kernel
   takes more from this process only when a third of its buffer is free.

   Failure: the connection of a caller that reads slowly is closed between two
   such moments, and its pipelined requests get no answer.  */
static void
check_held (struct mq_caller *caller, uint32_t idle_ms, uint64_t now)
{
  size_t left = mq_tcp_unacknowledged_bytes (caller->tcp);

  if (left != caller->left_bytes)
    caller->active_ms = now;
  caller->left_bytes = left;
  check_idle (caller, idle_ms, now);
}

static void
check_caller (struct mq_caller *caller, const struct mq_route_limits *limits,
              uint64_t now)
{
  if (caller->held)
    {
      check_held (caller, limits->idle_ms, now);
      return;
    }
  if (!may_time_out (caller))
    return;
  if (mq_http_reader_in_message (caller->reader))
    {
      if (caller->head == NULL && now - caller->arrived_ms > limits->header_ms)
        caller_refuse_message (caller, MQ_REFUSE_SLOW_HEAD);
      else if (now - caller->active_ms > limits->idle_ms)
        caller_refuse_message (caller, MQ_REFUSE_SLOW_HEAD);
    }
  else
    check_idle (caller, limits->idle_ms, now);
}

void
mq_callers_sweep (struct mq_router *router)
{
  struct mq_route_limits limits = caller_limits (router);
  uint64_t now = mq_clock_ms ();
  struct mq_caller *next;

  for (struct mq_caller *caller = router->callers; caller != NULL;
       caller = next)
    {
      next = caller->next;
      caller_count_bytes (caller);
      check_caller (caller, &limits, now);
    }
}

static struct mq_request *
find_pending_request (const struct mq_router *router)
{
  const struct mq_caller *caller = router->callers;

  while (caller != NULL && caller->request == NULL)
    caller = caller->next;
  return caller == NULL ? NULL : caller->request;
}

/* Searches again after each request, since its end may complete others.  */
void
mq_callers_end (struct mq_router *router)
{
  struct mq_request *request;

  while ((request = find_pending_request (router)) != NULL)
    mq_request_end (request);
}

void
mq_callers_note_late (struct mq_router *router)
{
  for (struct mq_caller *caller = router->callers; caller != NULL;
       caller = caller->next)
    if (caller->request != NULL)
      mq_request_note_late (caller->request);
}

void
mq_callers_log_unanswered (struct mq_router *router)
{
  for (struct mq_caller *caller = router->callers; caller != NULL;
       caller = caller->next)
    if (caller->request != NULL)
      mq_request_log_unanswered (caller->request, "exited");
}

/* Accepts all pending connections before closing the listener.

   Failure: closing the listener resets the pending connections, and requests
   sent on them get no response.  */
static void
close_listener (struct mq_router *router)
{
  while (accept_caller (router)
         || (mq_socket_shortage (errno) && mq_callers_make_room (router)))
    ;
  TALLOC_FREE (router->front_event);
  close (router->front_fd);
  router->front_fd = -1;
}

void
mq_callers_stop (struct mq_router *router)
{
  struct mq_caller *next;

  if (router->front_event != NULL)
    {
      close_listener (router);
      return;
    }
  for (struct mq_caller *caller = router->callers; caller != NULL;
       caller = next)
    {
      next = caller->next;
      if (may_time_out (caller) && !mq_http_reader_in_message (caller->reader))
        close_idle (caller);
    }
}
