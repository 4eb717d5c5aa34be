/* outage.h - whether a turn may begin during a table outage.

   A stored turn cannot end before its record is written, so a turn that begins
   early in an outage is likely to time out.  The first try of a caller is
   therefore rejected with a retry delay, and a retry is run: this keeps
   callers trying for longer than a short outage.

   Such outages last 4 to 8 s.  A caller tries a turn three times, each with
   one more try after a refusal.  If both are refused it has given up after
   3.5 s; if the second is run, it is there for 9 s.  Pure.
   Needs: types.h.  */

#ifndef MQ_OUTAGE_H
#define MQ_OUTAGE_H

#include "../types.h"

/* Minimum remaining time of a first try, in percent of the route's timeout; a
   retry has less.  */
#define MQ_OUTAGE_FIRST_TRY_PERCENT 80U

/* Whether to run a turn that has LEFT_MS of its route's TIMEOUT_MS remaining.
 */
bool mq_outage_should_run (uint64_t left_ms, uint64_t timeout_ms);

#endif
