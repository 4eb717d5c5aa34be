/* router_suspect_metrics.c - metrics of requests under which workers ended.

   Needs: router_state.h, id.h, metrics.h, clock.h.  */

#include "core/id.h"
#include "log/metrics.h"
#include "net/clock.h"
#include "router_state.h"
#include <stdio.h>

/* Requests in the metrics.  */
#define LISTED_MAX 16U

/* Values of struct mq_suspects_report.  */
enum work_value
{
  WORK_ENDS,
  WORK_OPEN_ENDS,
  WORK_AGE,
  WORK_REJECTED
};

static const struct
{
  const char *name;
  const char *help;
} work_values[] = {
  [WORK_ENDS] = { "work_ends", "workers that ended under a request" },
  [WORK_OPEN_ENDS]
  = { "work_open_ends", "workers of which it is not known yet" },
  [WORK_AGE] = { "work_end_age_seconds", "time since the last of them" },
  [WORK_REJECTED] = { "work_rejected", "1 if the request is rejected" },
};

static uint64_t
value_of (const struct mq_suspects_report *report, enum work_value value)
{
  switch (value)
    {
    case WORK_ENDS:
      return report->ends;
    case WORK_OPEN_ENDS:
      return report->open;
    case WORK_AGE:
      return report->age_ms / 1000U;
    case WORK_REJECTED:
      return report->rejected;
    }
  return 0;
}

void
mq_router_add_suspects (char **text, const struct mq_router *router)
{
  struct mq_suspects_report reports[LISTED_MAX];
  size_t count = mq_suspects_list (mq_suspect_watch_list (router->suspects),
                                   reports, LISTED_MAX, mq_clock_ms ());

  for (int v = WORK_ENDS; v <= WORK_REJECTED; v++)
    {
      mq_metrics_begin_values (text, "router", work_values[v].name,
                               work_values[v].help);
      for (size_t i = 0; i < count; i++)
        {
          char labels[64];
          char work[MQ_ID_TEXT];

          mq_id_format (reports[i].work, work);
          snprintf (labels, sizeof labels, "work=\"%s\"", work);
          mq_metrics_labelled (text, "router", work_values[v].name, labels,
                               value_of (&reports[i], (enum work_value)v));
        }
    }
}
