/* fleet_report.c - summary of services and left out workers, for metrics.

   Needs: fleet_state.h.  */

#include "fleet_state.h"
#include <string.h>

static bool
is_ejected (const struct fleet_entry *entry, uint64_t now_ms)
{
  return fleet_is_available (entry) && entry->ejected_until_ms > now_ms;
}

/* Returns the report of SERVICE, added if it is new; NULL if there is no room.
 */
static struct mq_fleet_service_report *
get_report (struct mq_fleet_service_report *reports, size_t *count, size_t max,
            const char *service)
{
  for (size_t i = 0; i < *count; i++)
    if (strcmp (reports[i].service, service) == 0)
      return &reports[i];
  if (*count == max)
    return NULL;
  reports[*count] = (struct mq_fleet_service_report){ .service = service };
  return &reports[(*count)++];
}

size_t
mq_fleet_report_services (const struct mq_fleet *fleet,
                          struct mq_fleet_service_report *reports, size_t max,
                          uint64_t now_ms)
{
  size_t count = 0;

  for (size_t i = 0; i < fleet->count; i++)
    {
      const struct fleet_entry *entry = &fleet->entries[i];
      struct mq_fleet_service_report *report;

      if (!fleet_is_available (entry))
        continue;
      report = get_report (reports, &count, max, entry->member.service);
      if (report == NULL)
        continue;
      report->available++;
      report->ejected += is_ejected (entry, now_ms);
    }
  for (size_t i = 0; i < count; i++)
    {
      const char *service = reports[i].service;

      reports[i].load = mq_fleet_service_load (fleet, service, now_ms);
      reports[i].pressure = mq_fleet_service_pressure (fleet, service, now_ms);
    }
  return count;
}

size_t
mq_fleet_report_ejected (const struct mq_fleet *fleet,
                         const struct mq_fleet_member **members, size_t max,
                         uint64_t now_ms)
{
  size_t count = 0;

  for (size_t i = 0; i < fleet->count && count < max; i++)
    if (is_ejected (&fleet->entries[i], now_ms))
      members[count++] = &fleet->entries[i].member;
  return count;
}
