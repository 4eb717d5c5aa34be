/* router_admit.c - admission control of new programs.

   Turns of programs that have begun are never refused here.  This host knows
   the programs it serves; the record of a program shows whether another host
   has served it.
   Needs: router_request.h, id.h, clock.h.  */

#include "core/id.h"
#include "net/clock.h"
#include "router_request.h"
#include <string.h>

/* Hash seed for admission; differs from the seeds that choose workers.  */
#define ADMISSION_SEED 2U

/* Load of the platform's table, measured by the waits of response ends for
   their records, in the unit of mq_fleet_service_pressure.  Bursts of short
   turns are limited by the table and not by the engines.  */
static uint32_t
record_load (const struct mq_request *request, uint64_t now)
{
  if (!request->route->retains)
    return 0;
  return mq_recent_mean (&request->router->record_wait, now) * 100U
         / MQ_FLEET_DELAY_FULL_PERCENT;
}

static struct mq_admission_request
make_admission_request (const struct mq_request *request, uint64_t now)
{
  const struct mq_request_fields *fields = &request->fields;

  return (struct mq_admission_request){
    .service = request->service,
    .route = request->route->name,
    .priority = request_priority (request),
    .program = mq_hash_bytes (request->program, strlen (request->program),
                              ADMISSION_SEED),
    .load = mq_fleet_service_pressure (request->router->fleet,
                                       request->service, now),
    .pace_load = request_pace_load (request, now),
    .record_load = record_load (request, now),
    .shares = request_record_demand (request, now),
    .organisation = request->org != NULL ? request->org->name : NULL,
    .has_remaining = fields->has_left,
    .remaining_ms = fields->left_ms,
    .budget = fields->has_budget ? fields->budget : 0,
    .now_ms = now,
  };
}

static void
refuse_program (struct mq_request *request)
{
  request->router->counters.programs_refused++;
  request_record_refused_program (request);
  request_refuse (request, request->program_deadline_at_risk
                               ? MQ_REFUSE_LATE
                               : MQ_REFUSE_OVERLOADED);
}

/* A record, even an unreadable one, shows that the program has begun.  */
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

/* Refuses the program unless its record exists.  On a route that retains
   turns, a turn without a previous one is the first for certain; on others the
   record is read, at the cost of one read per refusal.

   Failure: a later turn of a program reaches a host that has not served it, is
   taken for a first turn and refused.  */
static void
refuse_unless_begun (struct mq_request *request)
{
  struct mq_router *router = request->router;

  if (request->route->retains)
    refuse_program (request);
  else if (mq_table_client_down (router->table_client))
    request_prepare_turn (request);
  else
    request->record_call = mq_turns_read_record (
        router->turns, request->program, on_record, request);
}

/* Chooses the engine for the turns of the new program.  */
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

  return mq_fleet_choose_home (router->fleet, &query);
}

static uint32_t
highest_load (const struct mq_admission_request *request)
{
  uint32_t load = request->load > request->pace_load ? request->load
                                                     : request->pace_load;

  return load > request->record_load ? load : request->record_load;
}

void
request_admit_turn (struct mq_request *request)
{
  uint64_t now = mq_clock_ms ();
  struct mq_admission_request admission_request;
  enum mq_admission_decision answer;

  if (!request->begins_program)
    {
      request_prepare_turn (request);
      return;
    }
  admission_request = make_admission_request (request, now);
  request->pace_load = admission_request.pace_load;
  request->service_load = highest_load (&admission_request);
  answer = mq_admission_decide (request->router->admission, &admission_request,
                                &request->retry_ms);
  request->organisation_part
      = mq_admission_last_part (request->router->admission);
  request->program_deadline_at_risk = answer == MQ_ADMISSION_TOO_LATE;
  switch (answer)
    {
    case MQ_ADMISSION_ACCEPTED:
      mq_pace_record_begin (request->router->pace, request->service, now);
      request->home = choose_home (request, now);
      request_prepare_turn (request);
      return;
    case MQ_ADMISSION_OVERLOADED:
    case MQ_ADMISSION_TOO_LATE:
      refuse_unless_begun (request);
      return;
    }
}
