/* fleet_health.c - failure tracking and ejection of workers.

   Needs: fleet_state.h.  */

#include "fleet_state.h"

static void
eject (struct fleet_entry *entry, uint64_t now_ms)
{
  uint64_t pause = MQ_FLEET_EJECT_MS;

  if (entry->ejected_until_ms > now_ms)
    return;
  for (uint32_t i = 0; i < entry->ejections && pause < MQ_FLEET_EJECT_MAX_MS;
       i++)
    pause *= 2;
  entry->ejections++;
  entry->failure_rate = MQ_FLEET_RETURN_FAILURE_RATE;
  entry->failures = 0;
  entry->ejected_until_ms = now_ms + pause;
}

static void
record_failure (struct fleet_entry *entry, bool unreachable, uint64_t now_ms)
{
  entry->failures++;
  entry->failure_rate
      += (1000U - entry->failure_rate) / MQ_FLEET_FAILURE_RATE_WEIGHT;
  if (unreachable || entry->failures >= MQ_FLEET_CONSECUTIVE_FAILURES_MAX
      || entry->failure_rate >= MQ_FLEET_EJECT_FAILURE_RATE)
    eject (entry, now_ms);
}

static void
record_success (struct fleet_entry *entry)
{
  entry->failures = 0;
  entry->failure_rate -= entry->failure_rate / MQ_FLEET_FAILURE_RATE_WEIGHT;
  if (entry->failure_rate < MQ_FLEET_HEALTHY_FAILURE_RATE)
    entry->ejections = 0;
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
      record_success (entry);
      break;
    case MQ_OUTCOME_FAILED:
      record_failure (entry, false, now_ms);
      break;
    case MQ_OUTCOME_UNREACHABLE:
      record_failure (entry, true, now_ms);
      break;
    case MQ_OUTCOME_LEAVING:
      entry->draining = true;
      break;
    case MQ_OUTCOME_FULL:
      fleet_mark_full (entry, now_ms);
      break;
    case MQ_OUTCOME_CANCELLED:
      break;
    }
  if (entry->own == 0 && outcome != MQ_OUTCOME_FAILED)
    entry->asked_ms = 0;
  fleet_free_if_idle (fleet, entry);
}
