/* router_services.c - metrics of services: load, waits and left out workers.

   Needs: router_state.h, clock.h, metrics.h.  */

#include "log/metrics.h"
#include "net/clock.h"
#include "router_state.h"
#include <stddef.h>
#include <stdio.h>

/* Services and workers with metrics of their own.  */
#define SERVICES_MAX 32U
#define EJECTED_MAX 20U
#define LABELS_MAX (2 * MQ_METRICS_LABEL_MAX + 32U)

/* A value of struct mq_fleet_service_report, at @offset of it.  */
struct service_value
{
  const char *name;
  const char *help;
  size_t offset;
};

static const struct service_value values[] = {
  { "service_load",
    "requests that workers reported within 1 s, in thousandths of their slots",
    offsetof (struct mq_fleet_service_report, load) },
  { "service_pressure",
    "the load, or the delay of first events if that is lower; 1000 is full",
    offsetof (struct mq_fleet_service_report, pressure) },
  { "service_workers", "workers that accept requests",
    offsetof (struct mq_fleet_service_report, available) },
  { "service_ejected", "of them left out by this host",
    offsetof (struct mq_fleet_service_report, ejected) },
};

static void
add_value (char **text, const struct service_value *value,
           const struct mq_fleet_service_report *reports, size_t count)
{
  mq_metrics_begin_values (text, "router", value->name, value->help);
  for (size_t i = 0; i < count; i++)
    {
      const uint8_t *bytes = (const uint8_t *)&reports[i];
      char labels[LABELS_MAX];
      char service[MQ_METRICS_LABEL_MAX];

      mq_metrics_copy_label (service, reports[i].service);
      snprintf (labels, sizeof labels, "service=\"%s\"", service);
      mq_metrics_labelled (text, "router", value->name, labels,
                           *(const uint32_t *)(bytes + value->offset));
    }
}

static void
add_ejected (char **text, const struct mq_router *router, uint64_t now)
{
  const struct mq_fleet_member *members[EJECTED_MAX];
  size_t count
      = mq_fleet_report_ejected (router->fleet, members, EJECTED_MAX, now);

  mq_metrics_begin_values (text, "router", "worker_ejected",
                           "1 for each worker that this host leaves out");
  for (size_t i = 0; i < count; i++)
    {
      char labels[LABELS_MAX];
      char service[MQ_METRICS_LABEL_MAX];
      char worker[MQ_METRICS_LABEL_MAX];

      mq_metrics_copy_label (service, members[i]->service);
      mq_metrics_copy_label (worker, members[i]->id);
      snprintf (labels, sizeof labels, "service=\"%s\",worker=\"%s\"", service,
                worker);
      mq_metrics_labelled (text, "router", "worker_ejected", labels, 1);
    }
}

void
mq_router_add_services (char **text, const struct mq_router *router)
{
  uint64_t now = mq_clock_ms ();
  struct mq_fleet_service_report reports[SERVICES_MAX];
  size_t count
      = mq_fleet_report_services (router->fleet, reports, SERVICES_MAX, now);

  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    add_value (text, &values[i], reports, count);
  add_ejected (text, router, now);
  mq_metrics_add (text, "router", "record_load",
                  "waits of turns for their record; 1000 is the table full",
                  mq_recent_mean (&router->record_wait, now) * 100U
                      / MQ_FLEET_DELAY_FULL_PERCENT);
}
