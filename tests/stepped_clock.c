/* stepped_clock.c - a clock that a test advances.

   Needs: stepped_clock.h, clock.h, timer.h, Criterion.  */

#include "stepped_clock.h"
#include "net/clock.h"
#include "net/timer.h"
#include <criterion/criterion.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define STEP_US 1000U
/* Time at which the clock begins, so far after that of the machine that no
   timer of the kernel set by it expires.  */
#define BEGIN_US ((uint64_t)1 << 50)
/* Rounds of the event loop within a step, to end a descriptor that is always
   ready.  */
#define ROUNDS_MAX 100000

static uint64_t now_us;

static uint64_t
read_us (void)
{
  return now_us;
}

void
stepped_clock_begin (void)
{
  now_us = BEGIN_US;
  mq_clock_set_source (read_us);
}

bool
stepped_clock_is_used (void)
{
  return mq_clock_is_injected ();
}

static void
on_mark (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
         void *data)
{
  int *fd = data;
  uint64_t count;

  (void)ev;
  (void)event;
  (void)flags;
  cr_assert_eq (read (*fd, &count, sizeof count), (ssize_t)sizeof count);
  *fd = -1;
}

/* Handles each descriptor that is ready once: a descriptor that becomes ready
   now is reported after them.  Returns the number of events.  */
static int
handle_round (struct tevent_context *ev, int mark)
{
  const uint64_t one = 1;
  int waits_for = mark;
  struct tevent_fd *event
      = tevent_add_fd (ev, ev, mark, TEVENT_FD_READ, on_mark, &waits_for);
  int events = 0;

  cr_assert_eq (write (mark, &one, sizeof one), (ssize_t)sizeof one);
  for (; waits_for >= 0; events++)
    cr_assert_eq (tevent_loop_once (ev), 0);
  talloc_free (event);
  return events - 1;
}

static void
on_tick (struct tevent_context *ev, struct tevent_timer *timer,
         struct timeval now, void *data)
{
  bool *done = data;

  (void)ev;
  (void)timer;
  (void)now;
  *done = true;
}

/* Runs the event loop for a step of the machine's time.  */
static void
wait_step (struct tevent_context *ev)
{
  bool done = false;

  tevent_add_timer (ev, ev, tevent_timeval_current_ofs (0, STEP_US), on_tick,
                    &done);
  while (!done)
    tevent_loop_once (ev);
}

void
stepped_clock_run (struct tevent_context *ev, uint32_t ms)
{
  int mark = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);

  cr_assert_geq (mark, 0);
  for (uint32_t i = 0; i < ms; i++)
    {
      wait_step (ev);
      for (int round = 0; handle_round (ev, mark) > 0; round++)
        cr_assert_lt (round, ROUNDS_MAX, "a descriptor is always ready");
      now_us += STEP_US;
      mq_timer_run_due (ev);
    }
  close (mark);
}

void
stepped_clock_hold_up (uint32_t ms)
{
  now_us += (uint64_t)ms * STEP_US;
}
