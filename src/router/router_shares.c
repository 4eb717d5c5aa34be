/* router_shares.c - demand of organisations, for admission control, logs and
   metrics.

   A service gets its struct mq_shares with the first program of an
   organisation.
   Needs: router_request.h, id.h, memory.h, clock.h, metrics.h.  */

#include "core/id.h"
#include "core/memory.h"
#include "log/metrics.h"
#include "net/clock.h"
#include "router_request.h"
#include <stdio.h>

/* Organisations with metrics of their own, by service.  */
#define BUSIEST_MAX 10U
/* Longest label value, including the terminator.  */
#define LABELS_MAX (2 * MQ_METRICS_LABEL_MAX + 64U)
/* Key of the router's map; there is one table.  */
#define SERVICES 0U

/**
 * struct service_shares - demand of a service's organisations
 * @service: its name
 */
struct service_shares
{
  char *service;
  struct mq_shares *shares;
};

static struct service_shares *
find_shares (const struct mq_request *request)
{
  return mq_idmap_find (request->router->shares,
                        mq_id_from_text (request->service), SERVICES);
}

static struct service_shares *
add_shares (const struct mq_request *request)
{
  struct mq_router *router = request->router;
  struct service_shares *row
      = mq_check_alloc (talloc_zero (router->shares, struct service_shares));

  row->service = mq_text_copy (row, request->service);
  row->shares = mq_check_alloc (mq_shares_create (row));
  mq_idmap_put (router->shares, mq_id_from_text (request->service), SERVICES,
                row);
  return row;
}

const struct mq_shares *
request_record_demand (const struct mq_request *request, uint64_t now)
{
  struct service_shares *row;

  if (request->org == NULL)
    return NULL;
  row = find_shares (request);
  if (row == NULL)
    row = add_shares (request);
  mq_shares_record_demand (row->shares, request->org->name, 1, now);
  return row->shares;
}

void
request_record_refused_program (const struct mq_request *request)
{
  struct service_shares *row = find_shares (request);

  if (request->org != NULL && row != NULL)
    mq_shares_record_refused (row->shares, request->org->name, mq_clock_ms ());
}

void
request_log_shares (const struct mq_request *request,
                    struct mq_json_line *line)
{
  struct service_shares *row = find_shares (request);
  uint64_t now = mq_clock_ms ();

  if (request->org == NULL || row == NULL)
    return;
  mq_json_number (line, "org_part", request->organisation_part);
  mq_json_number (
      line, "org_demand",
      mq_shares_report (row->shares, request->org->name, now).demand);
  mq_json_number (line, "all_demand",
                  mq_shares_report (row->shares, NULL, now).demand);
}

/* A value of REPORT, at @offset of it.  */
struct shares_value
{
  const char *name;
  const char *help;
  size_t offset;
};

static const struct shares_value shares_values[] = {
  { "organisation_demand",
    "programs that asked to begin within 4 s, by organisation",
    offsetof (struct mq_shares_report, demand) },
  { "organisation_refused", "of them refused",
    offsetof (struct mq_shares_report, refused) },
};

/* The label of the sum of several organisations is empty.  */
static void
add_value (char **text, const char *service,
           const struct mq_shares_report *report,
           const struct shares_value *value)
{
  char organisation[MQ_METRICS_LABEL_MAX] = "";
  char labels[LABELS_MAX];
  char service_label[MQ_METRICS_LABEL_MAX];
  const uint8_t *bytes = (const uint8_t *)report;

  mq_metrics_copy_label (service_label, service);
  if (report->organisation != NULL)
    mq_metrics_copy_label (organisation, report->organisation);
  snprintf (labels, sizeof labels, "service=\"%s\",organisation=\"%s\"",
            service_label, organisation);
  mq_metrics_labelled (text, "router", value->name, labels,
                       *(const uint32_t *)(bytes + value->offset));
}

static void
add_service (char **text, const struct service_shares *row,
             const struct shares_value *value)
{
  struct mq_shares_report list[BUSIEST_MAX];
  struct mq_shares_report rest;
  size_t count = mq_shares_busiest (row->shares, list, BUSIEST_MAX, &rest,
                                    mq_clock_ms ());

  for (size_t i = 0; i < count; i++)
    add_value (text, row->service, &list[i], value);
  if (rest.demand > 0)
    add_value (text, row->service, &rest, value);
}

void
mq_router_add_shares (char **text, const struct mq_router *router)
{
  for (size_t i = 0; i < sizeof shares_values / sizeof shares_values[0]; i++)
    {
      const struct service_shares *row;
      size_t position = 0;

      mq_metrics_begin_values (text, "router", shares_values[i].name,
                               shares_values[i].help);
      while ((row = mq_idmap_next (router->shares, &position)) != NULL)
        add_service (text, row, &shares_values[i]);
    }
}
