/* router_pace.c - what admission control learns from complete turns.

   Needs: router_request.h, id.h.  */

#include "core/id.h"
#include "router_request.h"
#include <string.h>

/* Hash seed of programs; differs from those that choose workers.  */
#define PACE_SEED 3U

void
request_note_worker_load (struct mq_request *request)
{
  const struct mq_fleet_member *member
      = mq_fleet_member (request->router->fleet, request->worker);

  if (member->slots > 0)
    request->worker_load
        = request->answer.load * MQ_FLEET_LOAD_FULL / member->slots;
  request->surely_begins
      = request->begins_program
        && mq_turns_is_new_program (request->router->turns, request->program);
}

/* A turn that was resumed or retried does not tell how long one takes.  */
void
request_record_pace (const struct mq_request *request)
{
  const struct mq_request_fields *fields = &request->fields;

  if (!request->is_turn || request->program == NULL || request->sent != 1
      || fields->last_event != NULL)
    return;
  mq_pace_record_turn (
      request->router->pace,
      &(struct mq_pace_turn){
          .service = request->service,
          .route = request->route->name,
          .program = mq_hash_bytes (request->program,
                                    strlen (request->program), PACE_SEED),
          .begins = request->surely_begins,
          .has_remaining = fields->has_left,
          .remaining_ms = fields->left_ms,
          .ran_ms = (uint32_t)(request->completed_ms - request->sent_ms),
          .tokens = request->tokens_sent,
          .load = request->worker_load });
}

uint32_t
request_pace_load (const struct mq_request *request, uint64_t now)
{
  struct mq_router *router = request->router;
  struct mq_pace_program program = {
    .service = request->service,
    .route = request->route->name,
    .service_load
    = mq_fleet_service_load (router->fleet, request->service, now),
    .now_ms = now,
  };

  return mq_pace_load (router->pace, &program);
}

void
request_log_pace (const struct mq_request *request, struct mq_json_line *line)
{
  struct mq_pace_report report = mq_pace_report (
      request->router->pace, request->service, request->route->name);

  if (report.turns == 0)
    return;
  mq_json_number (line, "pace_load", request->pace_load);
  mq_json_number (line, "pace_turns", report.turns);
  mq_json_number (line, "idle_us", report.idle_us);
  mq_json_number (line, "growth_us", report.growth_us);
  mq_json_number (line, "excess", report.excess);
  mq_json_number (line, "bearable_us", report.bearable_us);
  mq_json_number (line, "used", report.used);
}
