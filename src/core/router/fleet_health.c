/* fleet_evidence.c - how requests ended at a worker, and for how long it is
   left out for that.

   Needs: fleet_state.h.  */

#include "fleet_state.h"

static void
leave_out (struct fleet_entry *entry, uint64_t now_ms)
{
  uint64_t pause = MQ_FLEET_EJECT_MS;

  if (entry->ejected_until_ms > now_ms)
    return;
  for (uint32_t i = 0; i < entry->outs && pause < MQ_FLEET_EJECT_MAX_MS; i++)
    pause *= 2;
  entry->outs++;
  entry->rate = MQ_FLEET_RETURN_FAILURE_RATE;
  entry->failures = 0;
  entry->ejected_until_ms = now_ms + pause;
}

static void
note_failure (struct fleet_entry *entry, bool certain, uint64_t now_ms)
{
  entry->failures++;
  entry->rate += (1000U - entry->rate) / MQ_FLEET_FAILURE_RATE_WEIGHT;
  if (certain || entry->failures >= MQ_FLEET_CONSECUTIVE_FAILURES_MAX
      || entry->rate >= MQ_FLEET_EJECT_FAILURE_RATE)
    leave_out (entry, now_ms);
}

static void
note_success (struct fleet_entry *entry)
{
  entry->failures = 0;
  entry->rate -= entry->rate / MQ_FLEET_FAILURE_RATE_WEIGHT;
  if (entry->rate < MQ_FLEET_HEALTHY_FAILURE_RATE)
    entry->outs = 0;
}

void
mq_fleet_request_ended (struct mq_fleet *fleet, uint32_t worker,
                        enum mq_fleet_outcome outcome, uint64_t now_ms)
{
  struct fleet_entry *entry = &fleet->entries[worker];

  entry->own--;
  switch (outcome)
    {
    case MQ_OUTCOME_SUCCEEDED:
      note_success (entry);
      break;
    case MQ_OUTCOME_FAILED:
      note_failure (entry, false, now_ms);
      break;
    case MQ_OUTCOME_UNREACHABLE:
      note_failure (entry, true, now_ms);
      break;
    case MQ_OUTCOME_LEAVING:
      entry->refused = true;
      break;
    case MQ_OUTCOME_FULL:
      fleet_mark_full (entry, now_ms);
      break;
    case MQ_OUTCOME_CANCELLED:
      break;
    }
  fleet_free_if_idle (fleet, entry);
}
