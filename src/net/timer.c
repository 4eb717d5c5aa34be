/* timer.c - timers by the steady clock on the event loop.

   All timers of an event loop share one timer descriptor and lie in a heap,
   the next one on top.
   Needs: timer.h, timerfd.  */

#include "timer.h"
#include "clock.h"
#include <sys/timerfd.h>
#include <unistd.h>

#define FIRST_ROOM ((size_t)64)
#define NOT_ARMED UINT64_MAX
/* Timers that come later than this wait for one look at the connections.  In
   a loop that is not held up they are less than a millisecond late, and the
   shortest time-out of this product is 100 ms.  */
#define LATE_US 5000U

struct hub;

/**
 * struct mq_timer - one timer
 * @hub: NULL once it is due
 * @index: its place in the heap
 */
struct mq_timer
{
  struct hub *hub;
  size_t index;
  uint64_t due_us;
  mq_timer_handler *handler;
  void *data;
};

/**
 * struct hub - the timers of one event loop
 * @heap: a timer's due time is not after those of its children, which are at
 *        twice its index and one or two more
 * @armed_us: when the descriptor fires, NOT_ARMED: never
 * @look_us: begin of the look at the connections that is under way, 0: none
 */
struct hub
{
  struct hub *next;
  struct tevent_context *ev;
  struct tevent_fd *event;
  struct mq_timer **heap;
  size_t count;
  size_t room;
  uint64_t armed_us;
  uint64_t look_us;
  int fd;
};

static struct hub *hubs;

static void
place (struct hub *hub, size_t index, struct mq_timer *timer)
{
  hub->heap[index] = timer;
  timer->index = index;
}

static void
sift_up (struct hub *hub, size_t index)
{
  struct mq_timer *timer = hub->heap[index];

  while (index > 0 && hub->heap[(index - 1) / 2]->due_us > timer->due_us)
    {
      place (hub, index, hub->heap[(index - 1) / 2]);
      index = (index - 1) / 2;
    }
  place (hub, index, timer);
}

static void
sift_down (struct hub *hub, size_t index)
{
  struct mq_timer *timer = hub->heap[index];

  for (;;)
    {
      size_t child = index * 2 + 1;

      if (child >= hub->count)
        break;
      if (child + 1 < hub->count
          && hub->heap[child + 1]->due_us < hub->heap[child]->due_us)
        child++;
      if (hub->heap[child]->due_us >= timer->due_us)
        break;
      place (hub, index, hub->heap[child]);
      index = child;
    }
  place (hub, index, timer);
}

static void
remove_timer (struct hub *hub, struct mq_timer *timer)
{
  size_t index = timer->index;
  struct mq_timer *last = hub->heap[--hub->count];

  timer->hub = NULL;
  if (last == timer)
    return;
  place (hub, index, last);
  sift_up (hub, index);
  sift_down (hub, last->index);
}

static int
cancel_timer (struct mq_timer *timer)
{
  if (timer->hub != NULL)
    remove_timer (timer->hub, timer);
  return 0;
}

static void
arm_at (struct hub *hub, uint64_t due_us)
{
  struct itimerspec when = { .it_value = { 0, 0 } };

  when.it_value.tv_sec = (time_t)(due_us / 1000000U);
  when.it_value.tv_nsec = (long)(due_us % 1000000U) * 1000;
  if (timerfd_settime (hub->fd, TFD_TIMER_ABSTIME, &when, NULL) == 0)
    hub->armed_us = due_us;
}

/* The descriptor is set only to come earlier; when it comes too early, since
   the timer that it was set for is gone, it is set again.  */
static void
arm (struct hub *hub)
{
  if (hub->look_us == 0 && hub->count > 0
      && hub->heap[0]->due_us < hub->armed_us)
    arm_at (hub, hub->heap[0]->due_us);
}

/* Failure: one handler keeps the loop from all others, a configuration of
   thousands of routes for half a second.  Answers and requests arrive
   meanwhile, but the descriptor of the timers has been ready for longer: what
   waits for them finds its time over, and a caller's connection is closed, or
   another host taken for lost, beside bytes that lie unread.  So a timer that
   comes late runs only when all connections were looked at since it was due;
   one that fell due during the look waits for the next.  For a look the
   descriptor is set to the present, which puts it behind all that is ready
   now: the kernel hands descriptors out in the order in which they became
   ready.  */
static void
begin_look (struct hub *hub, uint64_t now)
{
  hub->look_us = now;
  arm_at (hub, now);
}

static bool
must_wait (const struct mq_timer *timer, uint64_t seen_us, uint64_t now)
{
  return timer->due_us > seen_us && timer->due_us + LATE_US < now;
}

static void
run_first (struct hub *hub)
{
  struct mq_timer *timer = talloc_steal (hub, hub->heap[0]);

  remove_timer (hub, timer);
  timer->handler (timer->data);
  talloc_free (timer);
}

/* Timers that are set by the handlers wait for the next turn of the loop, so
   that connections are looked at in between.  */
static void
on_due (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
        void *data)
{
  struct hub *hub = data;
  uint64_t now = mq_clock_us ();
  uint64_t seen_us = hub->look_us;
  uint64_t expired;

  (void)ev;
  (void)event;
  (void)flags;
  if (read (hub->fd, &expired, sizeof expired) != (ssize_t)sizeof expired)
    return;
  hub->armed_us = NOT_ARMED;
  hub->look_us = 0;
  while (hub->count > 0 && hub->heap[0]->due_us <= now)
    {
      if (must_wait (hub->heap[0], seen_us, now))
        {
          begin_look (hub, now);
          return;
        }
      run_first (hub);
    }
  arm (hub);
}

static int
end_hub (struct hub *hub)
{
  struct hub **at = &hubs;

  while (*at != hub)
    at = &(*at)->next;
  *at = hub->next;
  for (size_t i = 0; i < hub->count; i++)
    hub->heap[i]->hub = NULL;
  TALLOC_FREE (hub->event);
  close (hub->fd);
  return 0;
}

static struct hub *
make_hub (struct tevent_context *ev)
{
  struct hub *hub = talloc_zero (ev, struct hub);

  if (hub == NULL)
    return NULL;
  hub->ev = ev;
  hub->armed_us = NOT_ARMED;
  hub->fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (hub->fd < 0)
    {
      talloc_free (hub);
      return NULL;
    }
  hub->event = tevent_add_fd (ev, hub, hub->fd, TEVENT_FD_READ, on_due, hub);
  hub->next = hubs;
  hubs = hub;
  talloc_set_destructor (hub, end_hub);
  return hub;
}

static struct hub *
get_hub (struct tevent_context *ev)
{
  for (struct hub *hub = hubs; hub != NULL; hub = hub->next)
    if (hub->ev == ev)
      return hub;
  return make_hub (ev);
}

static bool
make_room (struct hub *hub)
{
  size_t room = hub->room == 0 ? FIRST_ROOM : hub->room * 2;
  struct mq_timer **grown;

  if (hub->count < hub->room)
    return true;
  grown = talloc_realloc (hub, hub->heap, struct mq_timer *, room);
  if (grown == NULL)
    return false;
  hub->heap = grown;
  hub->room = room;
  return true;
}

struct mq_timer *
mq_timer_add (TALLOC_CTX *ctx, struct tevent_context *ev, uint64_t ms,
              mq_timer_handler *handler, void *data)
{
  struct hub *hub = get_hub (ev);
  struct mq_timer *timer = talloc_zero (ctx, struct mq_timer);

  if (hub == NULL || timer == NULL || !make_room (hub))
    {
      talloc_free (timer);
      return NULL;
    }
  timer->hub = hub;
  timer->due_us = mq_clock_us () + ms * 1000U;
  timer->handler = handler;
  timer->data = data;
  hub->heap[hub->count] = timer;
  sift_up (hub, hub->count++);
  talloc_set_destructor (timer, cancel_timer);
  arm (hub);
  return timer;
}
