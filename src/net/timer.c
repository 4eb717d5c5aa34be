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

struct timer_queue;

/**
 * struct mq_timer - one timer
 * @timer_queue: NULL once it is due
 * @index: its place in the heap
 */
struct mq_timer
{
  struct timer_queue *timer_queue;
  size_t index;
  uint64_t due_us;
  mq_timer_handler *handler;
  void *data;
};

/**
 * struct timer_queue - the timers of one event loop
 * @heap: a timer's due time is not after those of its children, which are at
 *        twice its index and one or two more
 * @armed_us: when the descriptor fires, NOT_ARMED: never
 * @poll_round_us: begin of the look at the connections that is under way, 0:
 * none
 */
struct timer_queue
{
  struct timer_queue *next;
  struct tevent_context *ev;
  struct tevent_fd *event;
  struct mq_timer **heap;
  size_t count;
  size_t room;
  uint64_t armed_us;
  uint64_t poll_round_us;
  int fd;
};

static struct timer_queue *hubs;

static void
place (struct timer_queue *timer_queue, size_t index, struct mq_timer *timer)
{
  timer_queue->heap[index] = timer;
  timer->index = index;
}

static void
sift_up (struct timer_queue *timer_queue, size_t index)
{
  struct mq_timer *timer = timer_queue->heap[index];

  while (index > 0
         && timer_queue->heap[(index - 1) / 2]->due_us > timer->due_us)
    {
      place (timer_queue, index, timer_queue->heap[(index - 1) / 2]);
      index = (index - 1) / 2;
    }
  place (timer_queue, index, timer);
}

static void
sift_down (struct timer_queue *timer_queue, size_t index)
{
  struct mq_timer *timer = timer_queue->heap[index];

  for (;;)
    {
      size_t child = index * 2 + 1;

      if (child >= timer_queue->count)
        break;
      if (child + 1 < timer_queue->count
          && timer_queue->heap[child + 1]->due_us
                 < timer_queue->heap[child]->due_us)
        child++;
      if (timer_queue->heap[child]->due_us >= timer->due_us)
        break;
      place (timer_queue, index, timer_queue->heap[child]);
      index = child;
    }
  place (timer_queue, index, timer);
}

static void
remove_timer (struct timer_queue *timer_queue, struct mq_timer *timer)
{
  size_t index = timer->index;
  struct mq_timer *last = timer_queue->heap[--timer_queue->count];

  timer->timer_queue = NULL;
  if (last == timer)
    return;
  place (timer_queue, index, last);
  sift_up (timer_queue, index);
  sift_down (timer_queue, last->index);
}

static int
cancel_timer (struct mq_timer *timer)
{
  if (timer->timer_queue != NULL)
    remove_timer (timer->timer_queue, timer);
  return 0;
}

static void
arm_at (struct timer_queue *timer_queue, uint64_t due_us)
{
  struct itimerspec when = { .it_value = { 0, 0 } };

  when.it_value.tv_sec = (time_t)(due_us / 1000000U);
  when.it_value.tv_nsec = (long)(due_us % 1000000U) * 1000;
  if (timerfd_settime (timer_queue->fd, TFD_TIMER_ABSTIME, &when, NULL) == 0)
    timer_queue->armed_us = due_us;
}

/* The descriptor is set only to come earlier; when it comes too early, since
   the timer that it was set for is gone, it is set again.  */
static void
arm (struct timer_queue *timer_queue)
{
  if (timer_queue->poll_round_us == 0 && timer_queue->count > 0
      && timer_queue->heap[0]->due_us < timer_queue->armed_us)
    arm_at (timer_queue, timer_queue->heap[0]->due_us);
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
begin_poll_round (struct timer_queue *timer_queue, uint64_t now)
{
  timer_queue->poll_round_us = now;
  arm_at (timer_queue, now);
}

static bool
must_wait (const struct mq_timer *timer, uint64_t seen_us, uint64_t now)
{
  return timer->due_us > seen_us && timer->due_us + LATE_US < now;
}

static void
run_first (struct timer_queue *timer_queue)
{
  struct mq_timer *timer = talloc_steal (timer_queue, timer_queue->heap[0]);

  remove_timer (timer_queue, timer);
  timer->handler (timer->data);
  talloc_free (timer);
}

/* Timers that are set by the handlers wait for the next turn of the loop, so
   that connections are looked at in between.  */
static void
on_due (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
        void *data)
{
  struct timer_queue *timer_queue = data;
  uint64_t now = mq_clock_us ();
  uint64_t seen_us = timer_queue->poll_round_us;
  uint64_t expired;

  (void)ev;
  (void)event;
  (void)flags;
  if (read (timer_queue->fd, &expired, sizeof expired)
      != (ssize_t)sizeof expired)
    return;
  timer_queue->armed_us = NOT_ARMED;
  timer_queue->poll_round_us = 0;
  while (timer_queue->count > 0 && timer_queue->heap[0]->due_us <= now)
    {
      if (must_wait (timer_queue->heap[0], seen_us, now))
        {
          begin_poll_round (timer_queue, now);
          return;
        }
      run_first (timer_queue);
    }
  arm (timer_queue);
}

static int
destroy_timer_queue (struct timer_queue *timer_queue)
{
  struct timer_queue **at = &hubs;

  while (*at != timer_queue)
    at = &(*at)->next;
  *at = timer_queue->next;
  for (size_t i = 0; i < timer_queue->count; i++)
    timer_queue->heap[i]->timer_queue = NULL;
  TALLOC_FREE (timer_queue->event);
  close (timer_queue->fd);
  return 0;
}

static struct timer_queue *
create_timer_queue (struct tevent_context *ev)
{
  struct timer_queue *timer_queue = talloc_zero (ev, struct timer_queue);

  if (timer_queue == NULL)
    return NULL;
  timer_queue->ev = ev;
  timer_queue->armed_us = NOT_ARMED;
  timer_queue->fd
      = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (timer_queue->fd < 0)
    {
      talloc_free (timer_queue);
      return NULL;
    }
  timer_queue->event = tevent_add_fd (ev, timer_queue, timer_queue->fd,
                                      TEVENT_FD_READ, on_due, timer_queue);
  timer_queue->next = hubs;
  hubs = timer_queue;
  talloc_set_destructor (timer_queue, destroy_timer_queue);
  return timer_queue;
}

static struct timer_queue *
get_timer_queue (struct tevent_context *ev)
{
  for (struct timer_queue *timer_queue = hubs; timer_queue != NULL;
       timer_queue = timer_queue->next)
    if (timer_queue->ev == ev)
      return timer_queue;
  return create_timer_queue (ev);
}

static bool
make_room (struct timer_queue *timer_queue)
{
  size_t room = timer_queue->room == 0 ? FIRST_ROOM : timer_queue->room * 2;
  struct mq_timer **grown;

  if (timer_queue->count < timer_queue->room)
    return true;
  grown = talloc_realloc (timer_queue, timer_queue->heap, struct mq_timer *,
                          room);
  if (grown == NULL)
    return false;
  timer_queue->heap = grown;
  timer_queue->room = room;
  return true;
}

struct mq_timer *
mq_timer_add (TALLOC_CTX *ctx, struct tevent_context *ev, uint64_t ms,
              mq_timer_handler *handler, void *data)
{
  struct timer_queue *timer_queue = get_timer_queue (ev);
  struct mq_timer *timer = talloc_zero (ctx, struct mq_timer);

  if (timer_queue == NULL || timer == NULL || !make_room (timer_queue))
    {
      talloc_free (timer);
      return NULL;
    }
  timer->timer_queue = timer_queue;
  timer->due_us = mq_clock_us () + ms * 1000U;
  timer->handler = handler;
  timer->data = data;
  timer_queue->heap[timer_queue->count] = timer;
  sift_up (timer_queue, timer_queue->count++);
  talloc_set_destructor (timer, cancel_timer);
  arm (timer_queue);
  return timer;
}
