/* outage.c - whether a turn may begin during a table outage.

   Needs: outage.h.  */

#include "outage.h"

bool
mq_outage_should_run (uint64_t left_ms, uint64_t timeout_ms)
{
  return left_ms * 100U < timeout_ms * MQ_OUTAGE_FIRST_TRY_PERCENT;
}
