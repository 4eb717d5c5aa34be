/* router_suspect.c - a request under which workers may have ended.

   Nothing is computed while no request is suspected.
   Needs: router_request.h, clock.h.  */

#include "router_request.h"
#include "net/clock.h"

static struct mq_suspects *
suspects_of (const struct mq_request *request)
{
  return mq_suspect_watch_list (request->router->suspects);
}

static enum mq_suspects_verdict
judge (struct mq_request *request)
{
  struct mq_suspects *suspects = suspects_of (request);
  uint64_t version;

  if (mq_suspects_is_empty (suspects)
      || !mq_suspects_is_known (suspects, request_work_id (request)))
    return MQ_SUSPECTS_MAY_RUN;
  version = mq_fleet_common_version (request->router->fleet, request->service);
  return mq_suspects_judge (suspects, request_work_id (request), version,
                            mq_clock_ms ());
}

bool
request_is_rejected (struct mq_request *request)
{
  return judge (request) == MQ_SUSPECTS_REJECTED;
}

/* A request of which an earlier attempt of this host may have run is not
   refused as not run.  */
static void
refuse (struct mq_request *request, enum mq_refusal refusal)
{
  if (request->response_begun)
    request_abort (request, mq_refusal_response (refusal)->name);
  else if (refusal == MQ_REFUSE_UNSETTLED && request->may_have_run)
    request_refuse (request, MQ_REFUSE_FAILED);
  else
    request_refuse (request, refusal);
}

bool
request_refuse_suspect (struct mq_request *request)
{
  struct mq_router_counters *counters = &request->router->counters;

  switch (judge (request))
    {
    case MQ_SUSPECTS_MAY_RUN:
      return false;
    case MQ_SUSPECTS_BUSY:
    case MQ_SUSPECTS_UNSETTLED:
      counters->unsettled++;
      refuse (request, MQ_REFUSE_UNSETTLED);
      return true;
    case MQ_SUSPECTS_REJECTED:
      counters->rejected++;
      refuse (request, MQ_REFUSE_ENDS_WORKERS);
      return true;
    }
  return false;
}

size_t
request_list_occupied (struct mq_request *request, uint32_t *workers,
                       size_t max)
{
  const struct mq_suspects *suspects = suspects_of (request);

  if (mq_suspects_is_empty (suspects)
      || !mq_suspects_is_known (suspects, request_work_id (request)))
    return 0;
  return mq_suspects_occupied (suspects, request_work_id (request), workers,
                               max);
}

void
request_run_begun (struct mq_request *request)
{
  const struct mq_fleet *fleet = request->router->fleet;
  struct mq_suspects *suspects = suspects_of (request);

  request->run = (struct mq_suspects_end){
    .worker = mq_fleet_instance_digest (fleet, request->worker),
    .worker_id = mq_fleet_worker_id_hash (fleet, request->worker),
  };
  request->run_counted
      = !mq_suspects_is_empty (suspects)
        && mq_suspects_run_begun (suspects, request_work_id (request),
                                  request->worker);
}

void
request_run_cancelled (struct mq_request *request)
{
  if (request->run_counted)
    mq_suspects_run_ended (suspects_of (request), request->work);
  request->run_counted = false;
}

/* Whether the worker ended as planned: it serves on for the drain time once it
   is leaving or its entry is gone, so not soon after it was chosen.  */
static bool
ended_as_planned (const struct mq_request *request)
{
  const struct mq_router *router = request->router;
  uint32_t worker = mq_fleet_find_start (router->fleet, request->run.worker_id,
                                         request->run.worker);
  bool leaves = worker == MQ_WORKER_NONE
                || mq_fleet_member (router->fleet, worker)->leaving;

  return leaves
         && mq_clock_ms () - request->sent_ms
                >= router->settings->drain_ms / 2U;
}

/* Whether the worker may have ended under the run.  */
static bool
may_have_ended (const struct mq_request *request, enum mq_attempt_end end)
{
  const struct mq_response *answer = &request->answer;

  return end == MQ_ATTEMPT_BROKEN && (answer->lost || answer->silent)
         && request->run.worker != 0 && !ended_as_planned (request);
}

void
request_run_ended (struct mq_request *request, enum mq_attempt_end end)
{
  struct mq_suspect_watch *watch = request->router->suspects;
  bool served = (end == MQ_ATTEMPT_STREAMED || end == MQ_ATTEMPT_ANSWERED)
                && request->answer.status < 500;

  request_run_cancelled (request);
  if (end == MQ_ATTEMPT_NOT_RUN && request->answer.other_worker)
    mq_suspect_watch_replaced (watch, request->run.worker);
  if (may_have_ended (request, end))
    {
      request->run.work = request_work_id (request);
      request->run.ran_ms = (uint32_t)(mq_clock_ms () - request->sent_ms);
      request->run.lost = request->answer.lost;
      mq_suspect_watch_broke (watch, &request->run);
    }
  else if (served && !mq_suspects_is_empty (suspects_of (request)))
    mq_suspect_watch_served (watch, request_work_id (request));
  request->run.worker = 0;
}
