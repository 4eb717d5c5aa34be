/* router_response.c - receives a worker's response, buffered or as a stream of
   events.

   Needs: router_response.h.  */

#include "router_response.h"
#include <string.h>
#include <strings.h>

static void
append_field (TALLOC_CTX *ctx, struct mq_buffer *fields,
              const struct mq_http_field *field)
{
  const char *const parts[] = { field->name, ": ", field->value, "\r\n" };

  for (size_t i = 0; i < sizeof parts / sizeof parts[0]; i++)
    mq_buffer_add (ctx, fields, parts[i], strlen (parts[i]));
}

static void
append_fields (TALLOC_CTX *ctx, struct mq_buffer *fields,
               const struct mq_http_head *head)
{
  for (size_t i = 0; i < head->field_count; i++)
    {
      const struct mq_http_field *field = &head->fields[i];

      if (!mq_http_field_is_hop (head, field->name)
          && strcasecmp (field->name, "Content-Length") != 0)
        append_field (ctx, fields, field);
    }
}

void
mq_response_add_head (TALLOC_CTX *ctx, struct mq_response *answer,
                      const struct mq_http_head *head,
                      const struct mq_response_fields *received, bool stream)
{
  answer->status = head->status;
  answer->not_run = received->not_run;
  answer->other_worker = received->other_worker;
  answer->load
      = received->has_load ? received->running + received->waiting : 0;
  answer->load_invalid = received->load_invalid;
  answer->idle_s = received->idle_s;
  answer->stream = stream && head->status == 200;
  append_fields (ctx, &answer->fields, head);
}

bool
mq_response_add_body (TALLOC_CTX *ctx, struct mq_response *answer,
                      const char *data, size_t len)
{
  if (!answer->stream)
    return mq_buffer_append (ctx, &answer->body, data, len,
                             MQ_RESPONSE_MAX_BYTES);
  if (answer->events == NULL)
    answer->events = mq_event_stream_create (ctx);
  return answer->events != NULL
         && mq_event_stream_feed (answer->events, data, len);
}

bool
mq_response_next_event (struct mq_response *answer, struct mq_event *event)
{
  return answer->events != NULL
         && mq_event_stream_next (answer->events, event);
}

bool
mq_response_is_truncated (const struct mq_response *answer)
{
  return answer->stream && answer->events != NULL
         && mq_event_stream_has_partial (answer->events);
}

enum mq_fleet_outcome
mq_response_outcome (const struct mq_response *answer)
{
  if (answer->not_run)
    return answer->other_worker ? MQ_OUTCOME_LEAVING : MQ_OUTCOME_FULL;
  return answer->status >= 500 ? MQ_OUTCOME_FAILED : MQ_OUTCOME_SUCCEEDED;
}

bool
mq_response_has_no_body (int status)
{
  return status == 204 || status == 304;
}

void
mq_response_reset (struct mq_response *answer)
{
  struct mq_event_stream *events = answer->events;

  mq_buffer_clear (&answer->fields);
  mq_buffer_clear (&answer->body);
  *answer = (struct mq_response){ .events = events };
  if (events != NULL)
    mq_event_stream_reset (events);
}
