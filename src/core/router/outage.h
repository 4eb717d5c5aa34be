/* outage.h - whether a turn begins while the platform's table is away.

   The load: the table is away for all hosts for 4 to 8 seconds, while callers
   go on coming.  A turn that is kept can't end before its record is written,
   so a turn begun then ends well only if the table comes back before its
   caller gives up, which is two seconds after the last event.  A caller tries
   a turn three times, each time once more after a refusal.  Refused twice each
   time he is gone after 3.5 s; refused once and then served what can be served
   at once, he is there for 9 s, which is longer than these outages.
   Pure.
   Needs: types.h.  */

#ifndef MQ_OUTAGE_H
#define MQ_OUTAGE_H

#include "../types.h"

/* Share of the route's time, in percent, that a caller's first try still has:
   what is less has been refused before, and is the last of this send.  */
#define MQ_OUTAGE_FIRST_TRY_PERCENT 80U

/* A turn with LEFT_MS of its route's TIMEOUT_MS is begun with what hosts lend
   each other; else it is better refused at once, with a time to come back.  */
bool mq_outage_should_run (uint64_t left_ms, uint64_t timeout_ms);

#endif
