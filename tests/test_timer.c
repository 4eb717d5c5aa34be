/* test_timer.c - monotonic timers.

   Needs: Criterion, timer.h, process.h.  */

#include "net/clock.h"
#include "daemon/process.h"
#include "net/timer.h"
#include <criterion/criterion.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static int64_t day_shift_s;

/* Replaces gettimeofday, so that a test can set the time of day of the event
   loop.  */
int
gettimeofday (struct timeval *restrict now, void *restrict zone)
{
  struct timespec real;

  (void)zone;
  clock_gettime (CLOCK_REALTIME, &real);
  now->tv_sec = real.tv_sec + day_shift_s;
  now->tv_usec = real.tv_nsec / 1000;
  return 0;
}

static char order[64];
static size_t order_len;
static struct tevent_context *ev;

static void
on_letter (void *data)
{
  order[order_len++] = *(const char *)data;
  order[order_len] = '\0';
}

static void
set_up (void)
{
  ev = tevent_context_init (NULL);
  order_len = 0;
  order[0] = '\0';
  day_shift_s = 0;
}

static void
tear_down (void)
{
  talloc_free (ev);
}

TestSuite (timer, .init = set_up, .fini = tear_down, .timeout = 60);

static void
run_until (size_t count)
{
  while (order_len < count)
    tevent_loop_once (ev);
}

Test (timer, in_the_order_of_their_times)
{
  struct mq_timer *cancelled;

  mq_timer_add (ev, ev, 30, on_letter, "c");
  mq_timer_add (ev, ev, 10, on_letter, "a");
  cancelled = mq_timer_add (ev, ev, 15, on_letter, "x");
  mq_timer_add (ev, ev, 20, on_letter, "b");
  mq_timer_add (ev, ev, 40, on_letter, "d");
  talloc_free (cancelled);
  run_until (4);
  cr_assert_str_eq (order, "abcd");
}

static void
on_add (void *data)
{
  on_letter (data);
  if (order_len < 5)
    mq_timer_add (ev, ev, 0, on_add, data);
}

Test (timer, set_by_a_handler)
{
  mq_timer_add (ev, ev, 0, on_add, "r");
  run_until (5);
  cr_assert_str_eq (order, "rrrrr");
}

struct owner
{
  struct mq_timer *timer;
};

static void
on_free_owner (void *data)
{
  on_letter ("f");
  talloc_free (data);
}

/* A handler frees the owner of its own timer.  */
Test (timer, owner_freed_by_the_handler)
{
  struct owner *owner = talloc_zero (ev, struct owner);

  owner->timer = mq_timer_add (owner, ev, 1, on_free_owner, owner);
  mq_timer_add (ev, ev, 5, on_letter, "g");
  run_until (2);
  cr_assert_str_eq (order, "fg");
}

/* Timers must be unaffected when the time of day is set back or ahead, unlike
   tevent's own timers.  */
Test (timer, time_of_day_is_set)
{
  static const int64_t shifts[] = { -30, 30 };

  for (size_t i = 0; i < 2; i++)
    {
      uint64_t begin = mq_clock_ms ();
      uint64_t took;

      order_len = 0;
      mq_timer_add (ev, ev, 200, on_letter, "t");
      day_shift_s = shifts[i];
      run_until (1);
      took = mq_clock_ms () - begin;
      cr_assert_geq (took, 199);
      cr_assert_lt (took, 20000);
    }
}

static void
on_byte (struct tevent_context *loop, struct tevent_fd *event, uint16_t flags,
         void *data)
{
  int *fd = data;
  char byte;

  (void)loop;
  (void)event;
  (void)flags;
  if (read (*fd, &byte, 1) == 1)
    on_letter (&byte);
}

/* A handler blocks the loop for longer than a timeout.  Input that arrived
   meanwhile must be handled before the timeout.  */
Test (timer, pending_input_runs_before_late_timers)
{
  int ends[3][2];

  for (size_t i = 0; i < 3; i++)
    {
      cr_assert_eq (pipe (ends[i]), 0);
      tevent_add_fd (ev, ev, ends[i][0], TEVENT_FD_READ, on_byte, &ends[i][0]);
    }
  mq_timer_add (ev, ev, 10, on_letter, "s");
  mq_timer_add (ev, ev, 60, on_letter, "t");
  usleep (30000);
  for (size_t i = 0; i < 3; i++)
    cr_assert_eq (write (ends[i][1], "abc" + i, 1), 1);
  usleep (50000);
  run_until (5);
  cr_assert_str_eq (order, "abcst");
}

static void
on_tick (void *data)
{
  on_letter (data);
}

/* An idle check that is late must run after pending input; otherwise a process
   could stop with an unread call.  */
Test (timer, pending_input_runs_before_a_late_tick)
{
  struct mq_tick_timer tick = { NULL, 0 };
  char *letter = talloc_strdup (ev, "t");
  int ends[2];

  cr_assert_eq (pipe (ends), 0);
  tevent_add_fd (ev, ev, ends[0], TEVENT_FD_READ, on_byte, &ends[0]);
  mq_tick_timer_set (&tick, ev, mq_clock_us () + 10000, 0, on_tick, letter);
  usleep (30000);
  cr_assert_eq (write (ends[1], "a", 1), 1);
  run_until (2);
  cr_assert_str_eq (order, "at");
}

/* Second of two slow handlers, and the input that arrives when it starts.  */
struct slow
{
  int from;
  int to;
  uint64_t until_ms;
};

static void
on_slow (struct tevent_context *loop, struct tevent_fd *event, uint16_t flags,
         void *data)
{
  struct slow *slow = data;

  on_byte (loop, event, flags, &slow->from);
  cr_assert_eq (write (slow->to, "b", 1), 1);
  while (mq_clock_ms () < slow->until_ms)
    usleep (1000);
}

/* A second handler blocks the loop while late timers wait for pending input.
   A timeout that falls due only then must also wait for the input before
   it.  */
Test (timer, second_stall_while_late_timers_wait)
{
  struct slow slow = { 0 };
  int ends[2][2];

  for (size_t i = 0; i < 2; i++)
    cr_assert_eq (pipe (ends[i]), 0);
  slow = (struct slow){ .from = ends[0][0], .to = ends[1][1] };
  tevent_add_fd (ev, ev, ends[0][0], TEVENT_FD_READ, on_slow, &slow);
  tevent_add_fd (ev, ev, ends[1][0], TEVENT_FD_READ, on_byte, &ends[1][0]);
  mq_timer_add (ev, ev, 10, on_letter, "s");
  mq_timer_add (ev, ev, 2000, on_letter, "t");
  slow.until_ms = mq_clock_ms () + 2050;
  usleep (20000);
  cr_assert_eq (write (ends[0][1], "x", 1), 1);
  usleep (20000);
  run_until (4);
  cr_assert_str_eq (order, "xsbt");
}

/* Many timers, added in any order and partly cancelled.  */
Test (timer, many)
{
  struct mq_timer *timers[500];

  for (int i = 0; i < 500; i++)
    timers[i]
        = mq_timer_add (ev, ev, (uint64_t)(i * 7919 % 97), on_letter, "m");
  for (int i = 0; i < 500; i++)
    if (i % 10 != 0)
      talloc_free (timers[i]);
  run_until (50);
  mq_timer_add (ev, ev, 120, on_letter, "z");
  run_until (51);
  cr_assert_eq (order[50], 'z');
}

static uint64_t injected_us;

static uint64_t
read_injected (void)
{
  return injected_us;
}

/* Time by an injected clock does not pass by itself, and timers run when they
   are due by it.  */
Test (timer, injected_clock)
{
  injected_us = (uint64_t)1 << 50;
  mq_clock_set_source (read_injected);
  cr_assert (mq_clock_is_injected ());
  mq_timer_add (ev, ev, 20, on_letter, "b");
  mq_timer_add (ev, ev, 10, on_letter, "a");
  usleep (30000);
  mq_timer_run_due (ev);
  cr_assert_str_eq (order, "");
  injected_us += 9999;
  mq_timer_run_due (ev);
  cr_assert_str_eq (order, "");
  injected_us += 1;
  mq_timer_run_due (ev);
  cr_assert_str_eq (order, "a");
  injected_us += 10000;
  mq_timer_run_due (ev);
  cr_assert_str_eq (order, "ab");
  cr_assert_eq (mq_clock_ms (), injected_us / 1000);
  cr_assert_eq (mq_clock_boot_ms (), injected_us / 1000);
  mq_clock_set_source (NULL);
}
