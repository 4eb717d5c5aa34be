/* stepped_clock.h - a clock that a test advances, so that what the process
   does within a time does not depend on how the machine runs it.

   Needs: tevent.  */

#ifndef STEPPED_CLOCK_H
#define STEPPED_CLOCK_H

#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

/* Has all clocks and timers of the process follow the stepped clock; before
   anything else reads a clock.  */
void stepped_clock_begin (void);
bool stepped_clock_is_used (void);
/* Advances the clock by MS in steps of one.  Before each step, the event loop
   of EV handles descriptors until none is ready; a step takes no less of the
   machine's time, which the kernel follows.  */
void stepped_clock_run (struct tevent_context *ev, uint32_t ms);
/* Advances the clock by MS while the event loop stands still, as in a process
   that is held up.  */
void stepped_clock_hold_up (uint32_t ms);

#endif
