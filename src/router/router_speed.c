/* router_speed.c - what complete requests tell of the speed of workers.

   Needs: router_request.h, id.h, clock.h, metrics.h.  */

#include "core/id.h"
#include "log/metrics.h"
#include "net/clock.h"
#include "router_request.h"
#include <stdio.h>
#include <string.h>

#define US_PER_MS 1000U
/* Hash seed of routes.  */
#define ROUTE_SEED 4U
/* Workers with a metric of their own.  */
#define SLOWEST_MAX 10U
/* Time between log lines on invalid loads.  */
#define LOAD_INVALID_INTERVAL_MS 10000U

static void
log_invalid_load (const struct mq_request *request, uint64_t now)
{
  struct mq_router *router = request->router;
  struct mq_json_line line;

  router->counters.loads_invalid++;
  if (router->load_invalid_logged_ms != 0
      && now - router->load_invalid_logged_ms < LOAD_INVALID_INTERVAL_MS)
    return;
  router->load_invalid_logged_ms = now;
  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 MQ_LOG_LOAD_INVALID);
  mq_json_text (&line, "worker",
                mq_fleet_member (router->fleet, request->worker)->id);
  mq_json_number (&line, "count", router->counters.loads_invalid);
  mq_json_end (&line);
}

/* A request that failed or was resumed does not tell how long one takes.  */
static bool
tells_time (const struct mq_request *request)
{
  return request->sent == 1 && request->answer.status == 200
         && request->fields.last_event == NULL
         && (!request->answer.stream || request->tokens_sent > 0);
}

static void
record_time (const struct mq_request *request, uint64_t now)
{
  const struct mq_fleet_member *member
      = mq_fleet_member (request->router->fleet, request->worker);
  const char *route = request->route->name;
  struct mq_speed_sample sample = {
    .route = mq_hash_bytes (route, strlen (route), ROUTE_SEED),
    .time_us = (now - request->sent_ms) * US_PER_MS,
  };

  if (request->answer.stream)
    sample.time_us /= request->tokens_sent;
  if (member->slots > 0)
    sample.load = request->answer.load * MQ_FLEET_LOAD_FULL / member->slots;
  mq_fleet_record_time (request->router->fleet, request->worker, &sample, now);
}

void
request_note_speed (void *user)
{
  struct mq_request *request = user;
  uint64_t now = mq_clock_ms ();

  if (request->answer.load_invalid)
    log_invalid_load (request, now);
  if (tells_time (request))
    record_time (request, now);
  request->worker_speed
      = mq_fleet_speed (request->router->fleet, request->worker, now);
}

void
mq_router_add_speed (char **text, const struct mq_router *router)
{
  struct mq_fleet_slow list[SLOWEST_MAX];
  size_t count
      = mq_fleet_slowest (router->fleet, list, SLOWEST_MAX, mq_clock_ms ());

  mq_metrics_begin_values (text, "router", "worker_speed",
                           "predicted time of a request at the slowest "
                           "workers, thousandths of the usual");
  for (size_t i = 0; i < count; i++)
    {
      char service[MQ_METRICS_LABEL_MAX];
      char worker[MQ_METRICS_LABEL_MAX];
      char labels[2 * MQ_METRICS_LABEL_MAX + 24];

      mq_metrics_copy_label (service, list[i].member->service);
      mq_metrics_copy_label (worker, list[i].member->id);
      snprintf (labels, sizeof labels, "service=\"%s\",worker=\"%s\"", service,
                worker);
      mq_metrics_labelled (text, "router", "worker_speed", labels,
                           list[i].factor);
    }
}
