/* router_admit.c - whether the program of a turn may begin.

   Turns of programs that have begun are never refused here; whether one has is
   known to this host, or stands in the program's record.
   Needs: router_request.h, id.h, clock.h.  */

#include "core/id.h"
#include "net/clock.h"
#include "router_request.h"
#include <string.h>

/* Seed of the hash by which programs are refused; others choose workers.  */
#define ADMISSION_SEED 2U

/* Load of the platform's table, where ends of turns wait for their records, in
   the unit of mq_fleet_service_pressure: a burst of short turns is bound by
   the table's rate of writes and not by the engines.  */
static uint32_t
record_load (const struct mq_request *request, uint64_t now)
{
  if (!request->route->retains)
    return 0;
  return mq_recent_mean (&request->router->record_wait, now) * 100U
         / MQ_FLEET_WAIT_FULL_PERCENT;
}

static struct mq_admission_ask
admission_ask (const struct mq_request *request, uint64_t now)
{
  const struct mq_request_fields *facts = &request->facts;

  return (struct mq_admission_ask){
    .service = request->service,
    .route = request->route->name,
    .priority = request_priority (request),
    .program = mq_hash_bytes (request->program, strlen (request->program),
                              ADMISSION_SEED),
    .load = mq_fleet_service_pressure (request->router->fleet,
                                       request->service, now),
    .record_load = record_load (request, now),
    .has_left = facts->has_left,
    .left_ms = facts->left_ms,
    .budget = facts->has_budget ? facts->budget : 0,
    .now_ms = now,
  };
}

static void
refuse_program (struct mq_request *request)
{
  request->router->counters.programs_refused++;
  request_refuse (request, request->program_deadline_at_risk
                               ? MQ_REFUSE_LATE
                               : MQ_REFUSE_OVERLOADED);
}

/* A record proves that some host has served a turn of the program; so may one
   that can't be read.  */
static void
on_record (const struct mq_rows_result *result, void *user)
{
  struct mq_request *request = user;

  request->record_call = NULL;
  if (result->status == MQ_STORE_OK && result->row_count == 0)
    refuse_program (request);
  else
    request_prepare_turn (request);
}

/* Failure: a program's next turn comes to a host that has not seen it, looks
   like a first one and is refused; what was done for the program is lost.  A
   turn of a retaining route that names none before it is certainly a first
   one.  Of others the program's record tells, at the cost of one read, and
   only for those that are about to be refused.  */
static void
refuse_unless_begun (struct mq_request *request)
{
  struct mq_router *router = request->router;

  if (request->route->retains)
    refuse_program (request);
  else if (mq_ledger_down (router->ledger))
    request_prepare_turn (request);
  else
    request->record_call = mq_turns_read_record (
        router->turns, request->program, on_record, request);
}

/* Where the turns of the program are to stay.  */
static uint64_t
choose_home (const struct mq_request *request, uint64_t now)
{
  struct mq_router *router = request->router;
  struct mq_fleet_query query = {
    .service = request->service,
    .data_centre = router->settings->data_centre,
    .now_ms = now,
    .random = mq_random_next (&router->random),
  };

  return mq_fleet_home (router->fleet, &query);
}

void
request_admit_turn (struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();
  struct mq_admission_ask ask;
  enum mq_admission_answer answer;

  if (!request->begins_program)
    {
      request_prepare_turn (request);
      return;
    }
  ask = admission_ask (request, now);
  request->service_load
      = ask.load > ask.record_load ? ask.load : ask.record_load;
  answer = mq_admission_decide (request->router->admission, &ask,
                                &request->retry_ms);
  request->program_deadline_at_risk = answer == MQ_ADMISSION_LATE;
  switch (answer)
    {
    case MQ_ADMISSION_YES:
      request->home = choose_home (request, now);
      request_prepare_turn (request);
      return;
    case MQ_ADMISSION_LOADED:
    case MQ_ADMISSION_LATE:
      refuse_unless_begun (request);
      return;
    }
}
