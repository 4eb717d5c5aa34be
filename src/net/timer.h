/* timer.h - timers by the steady clock on the event loop.

   tevent's own timers go by the time of day: when that is set back, they come
   late by as much, and no time-out is kept; when it is set ahead, all of them
   come at once and end what is in good order.  These use a timer descriptor
   of the kernel's steady clock.  Timers that come late, the loop having been
   held up, come after what has arrived at the connections until then.
   Needs: tevent, clock.h.  */

#ifndef MQ_TIMER_H
#define MQ_TIMER_H

#include "core/types.h"
#include <tevent.h>

struct mq_timer;

typedef void mq_timer_handler (void *data);

/* Calls HANDLER once after MS milliseconds; the timer is then gone.  Freeing
   it, or CTX, before that cancels it.  NULL when memory is out.  */
struct mq_timer *mq_timer_add (TALLOC_CTX *ctx, struct tevent_context *ev,
                               uint64_t ms, mq_timer_handler *handler,
                               void *data);

#endif
