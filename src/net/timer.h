/* timer.h - monotonic timers on the event loop.

   tevent's own timers follow the time of day: setting the clock back delays
   them, setting it ahead fires them all at once.  These use a timerfd on the
   monotonic clock.  A timer that is late because the loop was blocked runs
   after the input that arrived in the meantime.
   Needs: tevent, clock.h.  */

#ifndef MQ_TIMER_H
#define MQ_TIMER_H

#include "core/types.h"
#include <tevent.h>

struct mq_timer;

typedef void mq_timer_handler (void *data);

/* Calls HANDLER once after MS milliseconds and then frees the timer.  Freeing
   it or CTX before that cancels it.  NULL if out of memory.  */
struct mq_timer *mq_timer_add (TALLOC_CTX *ctx, struct tevent_context *ev,
                               uint64_t ms, mq_timer_handler *handler,
                               void *data);
/* Runs the timers of EV that are due by an injected clock (clock.h).  */
void mq_timer_run_due (struct tevent_context *ev);

#endif
