/* router_evidence.c - tells other hosts what this one sees of workers, and
   takes what they tell (evidence.h).

   Only where there are requests that may not be repeated, and other hosts.
   Needs: router_state.h, evidence.h, clock.h.  */

#include "router_state.h"
#include "core/router/evidence.h"
#include "net/clock.h"

/* Interval of looking at the workers: short beside the time after which a
   worker is doubtful.  */
#define SCAN_MS 50U
/* The same while there is nothing to tell, or nobody to be told.  */
#define IDLE_MS 1000U
/* Log lines in each LOG_MS at most.  */
#define LOG_MS 1000U
#define LOG_LINES_MAX 8U

static void schedule_scan (struct mq_router *router);

static void
log_change (struct mq_router *router, const struct mq_evidence_change *change)
{
  const struct mq_fleet_member *member
      = mq_fleet_find_instance (router->fleet, change->worker);
  const char *other = mq_relay_evidence_address (router->relay, change->host);
  struct mq_json_line line;

  if (member == NULL)
    return;
  mq_json_begin (&line, router->log, MQ_JSON_HIGH_PRIORITY,
                 change->doubted ? MQ_LOG_WORKER_DOUBTED
                                 : MQ_LOG_WORKER_TRUSTED);
  mq_json_text (&line, "worker", member->id);
  mq_json_text (&line, "other", other == NULL ? "" : other);
  mq_json_number (&line, "age_ms", change->age_ms);
  mq_json_end (&line);
}

static void
log_changes (struct mq_router *router, uint64_t now)
{
  struct mq_evidence_change change;

  if (now - router->evidence_log_ms >= LOG_MS)
    {
      router->evidence_log_ms = now;
      router->evidence_lines = 0;
    }
  while (mq_evidence_next_change (router->evidence, &change))
    if (router->evidence_lines < LOG_LINES_MAX)
      {
        router->evidence_lines++;
        log_change (router, &change);
      }
}

static void
scan (struct mq_router *router)
{
  uint64_t now = mq_clock_ms ();
  uint32_t receivers = mq_relay_evidence_hosts (router->relay);
  struct mq_evidence_report report;

  mq_callers_note_late (router);
  mq_evidence_scan_begin (router->evidence, now);
  mq_fleet_scan (router->fleet, router->evidence, now);
  if (mq_evidence_scan_end (router->evidence, receivers, &report))
    router->counters.evidence_sent
        += mq_relay_send_evidence (router->relay, &report);
  log_changes (router, now);
}

static bool
is_called_for (const struct mq_router *router)
{
  return mq_fleet_has_once (router->fleet)
         && mq_relay_host_count (router->relay) > 0;
}

static void
on_scan (void *data)
{
  struct mq_router *router = data;

  if (is_called_for (router))
    scan (router);
  schedule_scan (router);
}

static void
schedule_scan (struct mq_router *router)
{
  uint32_t wait_ms = is_called_for (router) ? SCAN_MS : IDLE_MS;

  mq_timer_add (router, router->ev, wait_ms, on_scan, router);
}

void
mq_evidence_start (struct mq_router *router)
{
  const char *address = mq_relay_address (router->relay);

  router->evidence = mq_evidence_create (
      router, mq_relay_evidence_name (address), mq_clock_wall_ms ());
  schedule_scan (router);
}

void
mq_evidence_on_report (const struct mq_evidence_report *report, void *user)
{
  struct mq_router *router = user;
  struct mq_router_counters *counters = &router->counters;
  uint64_t now = mq_clock_ms ();

  counters->evidence_received++;
  switch (mq_evidence_receive (router->evidence, report,
                               mq_fleet_listed (router->fleet), now))
    {
    case MQ_EVIDENCE_TAKEN:
      break;
    case MQ_EVIDENCE_OLD:
      counters->evidence_old++;
      break;
    case MQ_EVIDENCE_CUT_OFF:
      counters->evidence_cut_off++;
      break;
    case MQ_EVIDENCE_INVALID:
      counters->evidence_invalid++;
      break;
    }
  log_changes (router, now);
}
