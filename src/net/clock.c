/* clock.c - clocks, which a test may inject, and random numbers.

   Needs: clock.h.  */

#include "clock.h"
#include <stdlib.h>
#include <sys/random.h>
#include <time.h>

static mq_clock_source *injected;

void
mq_clock_set_source (mq_clock_source *source)
{
  injected = source;
}

bool
mq_clock_is_injected (void)
{
  return injected != NULL;
}

static uint64_t
read_us (clockid_t clock)
{
  struct timespec now;

  clock_gettime (clock, &now);
  return (uint64_t)now.tv_sec * 1000000U + (uint64_t)now.tv_nsec / 1000U;
}

uint64_t
mq_clock_us (void)
{
  return injected == NULL ? read_us (CLOCK_MONOTONIC) : injected ();
}

uint64_t
mq_clock_ms (void)
{
  return mq_clock_us () / 1000U;
}

uint64_t
mq_clock_boot_ms (void)
{
  return (injected == NULL ? read_us (CLOCK_BOOTTIME) : injected ()) / 1000U;
}

uint64_t
mq_clock_wall_ms (void)
{
  return read_us (CLOCK_REALTIME) / 1000U;
}

uint64_t
mq_clock_random (void)
{
  uint64_t number = 0;

  while (number == 0)
    if (getrandom (&number, sizeof number, 0) != (ssize_t)sizeof number)
      abort ();
  return number;
}
