/* router_work.c - identity of a request over the attempts of its caller.

   Needs: router_request.h, id.h.  */

#include "router_request.h"
#include "core/id.h"

struct mq_id
request_work_id (struct mq_request *request)
{
  const struct mq_request_fields *fields = &request->fields;
  struct mq_work work = {
    .organisation = request->org == NULL ? NULL : request->org->name,
    .method = request->head->method,
    .host = fields->host,
    .target = request->head->target,
    .program = fields->program,
    .line = fields->line,
    .previous = fields->previous,
    .prompt = fields->prompt,
    .body = request->body,
  };

  if (mq_id_is_zero (request->work))
    request->work = mq_work_id (&work);
  return request->work;
}

void
request_log_work (struct mq_request *request, struct mq_json_line *line)
{
  char text[MQ_ID_TEXT];

  mq_id_format (request_work_id (request), text);
  mq_json_text (line, "work", text);
  mq_json_number (line, "lost", request->answer.lost ? 1 : 0);
  mq_json_number (
      line, "beside",
      mq_fleet_own_requests (request->router->fleet, request->worker));
}
