/* timer.c - monotonic timers on the event loop.

   All timers of an event loop share one timerfd and a binary heap.
   Needs: timer.h, timerfd.  */

#include "timer.h"
#include "clock.h"
#include <sys/timerfd.h>
#include <unistd.h>

#define FIRST_ROOM ((size_t)64)
#define NOT_ARMED UINT64_MAX
/* Delay after which a timer counts as late: pending input is then handled
   before it.  */
#define LATE_US 5000U

struct timer_queue;

/**
 * struct mq_timer - one timer
 * @queue: NULL once the timer is due
 * @index: position in the heap
 */
struct mq_timer
{
  struct timer_queue *queue;
  size_t index;
  uint64_t due_us;
  mq_timer_handler *handler;
  void *data;
};

/**
 * struct timer_queue - the timers of one event loop
 * @heap: binary min-heap by due time
 * @armed_us: time for which @fd is set, monotonic clock; NOT_ARMED: none
 * @poll_round_us: start of the poll round in progress, monotonic clock; 0:
 *                 none
 */
struct timer_queue
{
  struct timer_queue *next;
  struct tevent_context *ev;
  struct tevent_fd *event;
  struct mq_timer **heap;
  size_t count;
  size_t capacity;
  uint64_t armed_us;
  uint64_t poll_round_us;
  int fd;
};

static struct timer_queue *timer_queues;

static void
place (struct timer_queue *queue, size_t index, struct mq_timer *timer)
{
  queue->heap[index] = timer;
  timer->index = index;
}

static void
sift_up (struct timer_queue *queue, size_t index)
{
  struct mq_timer *timer = queue->heap[index];

  while (index > 0 && queue->heap[(index - 1) / 2]->due_us > timer->due_us)
    {
      place (queue, index, queue->heap[(index - 1) / 2]);
      index = (index - 1) / 2;
    }
  place (queue, index, timer);
}

static void
sift_down (struct timer_queue *queue, size_t index)
{
  struct mq_timer *timer = queue->heap[index];

  for (;;)
    {
      size_t child = index * 2 + 1;

      if (child >= queue->count)
        break;
      if (child + 1 < queue->count
          && queue->heap[child + 1]->due_us < queue->heap[child]->due_us)
        child++;
      if (queue->heap[child]->due_us >= timer->due_us)
        break;
      place (queue, index, queue->heap[child]);
      index = child;
    }
  place (queue, index, timer);
}

static void
remove_timer (struct timer_queue *queue, struct mq_timer *timer)
{
  size_t index = timer->index;
  struct mq_timer *last = queue->heap[--queue->count];

  timer->queue = NULL;
  if (last == timer)
    return;
  place (queue, index, last);
  sift_up (queue, index);
  sift_down (queue, last->index);
}

static int
cancel_timer (struct mq_timer *timer)
{
  if (timer->queue != NULL)
    remove_timer (timer->queue, timer);
  return 0;
}

static void
arm_at (struct timer_queue *queue, uint64_t due_us)
{
  struct itimerspec when = { .it_value = { 0, 0 } };

  when.it_value.tv_sec = (time_t)(due_us / 1000000U);
  when.it_value.tv_nsec = (long)(due_us % 1000000U) * 1000;
  if (timerfd_settime (queue->fd, TFD_TIMER_ABSTIME, &when, NULL) == 0)
    queue->armed_us = due_us;
}

/* Only ever sets the descriptor to an earlier time.  If the timer for which it
   was set is cancelled, it fires too early and is set again.  */
static void
arm (struct timer_queue *queue)
{
  if (queue->poll_round_us == 0 && queue->count > 0
      && queue->heap[0]->due_us < queue->armed_us)
    arm_at (queue, queue->heap[0]->due_us);
}

/* Defers late timers until all ready descriptors were handled once.  After a
   handler that blocked the loop, the timerfd may be ahead of descriptors with
   unread input, and timeouts would fire although the awaited bytes have
   arrived.  Setting the timerfd to the current time moves it behind all
   descriptors that are ready now, since epoll reports them in the order in
   which they became ready.  */
static void
begin_poll_round (struct timer_queue *queue, uint64_t now)
{
  queue->poll_round_us = now;
  arm_at (queue, now);
}

static bool
must_defer (const struct mq_timer *timer, uint64_t seen_us, uint64_t now)
{
  return timer->due_us > seen_us && timer->due_us + LATE_US < now;
}

static void
run_first (struct timer_queue *queue)
{
  struct mq_timer *timer = talloc_steal (queue, queue->heap[0]);

  remove_timer (queue, timer);
  timer->handler (timer->data);
  talloc_free (timer);
}

/* Timers added by the handlers run in the next iteration of the event loop, so
   that descriptors are handled in between.  */
static void
run_due (struct timer_queue *queue)
{
  uint64_t now = mq_clock_us ();
  uint64_t seen_us = queue->poll_round_us;

  queue->armed_us = NOT_ARMED;
  queue->poll_round_us = 0;
  while (queue->count > 0 && queue->heap[0]->due_us <= now)
    {
      if (must_defer (queue->heap[0], seen_us, now))
        {
          begin_poll_round (queue, now);
          return;
        }
      run_first (queue);
    }
  arm (queue);
}

static void
on_due (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
        void *data)
{
  struct timer_queue *queue = data;
  uint64_t expired;

  (void)ev;
  (void)event;
  (void)flags;
  if (read (queue->fd, &expired, sizeof expired) == (ssize_t)sizeof expired)
    run_due (queue);
}

static int
destroy_timer_queue (struct timer_queue *queue)
{
  struct timer_queue **at = &timer_queues;

  while (*at != queue)
    at = &(*at)->next;
  *at = queue->next;
  for (size_t i = 0; i < queue->count; i++)
    queue->heap[i]->queue = NULL;
  TALLOC_FREE (queue->event);
  close (queue->fd);
  return 0;
}

static struct timer_queue *
create_timer_queue (struct tevent_context *ev)
{
  struct timer_queue *queue = talloc_zero (ev, struct timer_queue);

  if (queue == NULL)
    return NULL;
  queue->ev = ev;
  queue->armed_us = NOT_ARMED;
  queue->fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (queue->fd < 0)
    {
      talloc_free (queue);
      return NULL;
    }
  queue->event
      = tevent_add_fd (ev, queue, queue->fd, TEVENT_FD_READ, on_due, queue);
  queue->next = timer_queues;
  timer_queues = queue;
  talloc_set_destructor (queue, destroy_timer_queue);
  return queue;
}

static struct timer_queue *
get_timer_queue (struct tevent_context *ev)
{
  for (struct timer_queue *queue = timer_queues; queue != NULL;
       queue = queue->next)
    if (queue->ev == ev)
      return queue;
  return create_timer_queue (ev);
}

static bool
make_room (struct timer_queue *queue)
{
  size_t capacity = queue->capacity == 0 ? FIRST_ROOM : queue->capacity * 2;
  struct mq_timer **grown;

  if (queue->count < queue->capacity)
    return true;
  grown = talloc_realloc (queue, queue->heap, struct mq_timer *, capacity);
  if (grown == NULL)
    return false;
  queue->heap = grown;
  queue->capacity = capacity;
  return true;
}

struct mq_timer *
mq_timer_add (TALLOC_CTX *ctx, struct tevent_context *ev, uint64_t ms,
              mq_timer_handler *handler, void *data)
{
  struct timer_queue *queue = get_timer_queue (ev);
  struct mq_timer *timer = talloc_zero (ctx, struct mq_timer);

  if (queue == NULL || timer == NULL || !make_room (queue))
    {
      talloc_free (timer);
      return NULL;
    }
  timer->queue = queue;
  timer->due_us = mq_clock_us () + ms * 1000U;
  timer->handler = handler;
  timer->data = data;
  queue->heap[queue->count] = timer;
  sift_up (queue, queue->count++);
  talloc_set_destructor (timer, cancel_timer);
  arm (queue);
  return timer;
}

void
mq_timer_run_due (struct tevent_context *ev)
{
  struct timer_queue *queue = get_timer_queue (ev);

  if (queue != NULL)
    run_due (queue);
}
