/* router_send.c - head of the request sent to a worker.

   Hop-by-hop fields and fields reserved for the system are removed and set
   anew.
   Needs: router_send.h.  */

#include "router_send.h"
#include <stdio.h>
#include <string.h>
#include <strings.h>

/* Maps route priorities to the scale of 0 to 9 sent to workers.  */
#define PRIORITY_FIRST 2U
#define PRIORITY_STEP 2U
#define PRIORITY_LAST 9U
/* Engines get one priority for all requests; admission control (admission.h)
   decides which programs go first.

   Failure: an engine preempts running requests for more urgent ones and has to
   process their prompts again, which delays both under load.  */
#define PRIORITY_ENGINE 5U

static bool
is_passed_on (const struct mq_http_head *head, const char *name)
{
  if (strcasecmp (name, "Host") == 0 || strcasecmp (name, "Expect") == 0
      || strcasecmp (name, "Content-Length") == 0)
    return false;
  return !mq_wire_is_reserved_field (name)
         && !mq_http_field_is_hop (head, name);
}

static void
put_text (TALLOC_CTX *ctx, struct mq_buffer *out, const char *text)
{
  mq_buffer_add (ctx, out, text, strlen (text));
}

static void
put_field (TALLOC_CTX *ctx, struct mq_buffer *out, const char *name,
           const char *value)
{
  put_text (ctx, out, name);
  put_text (ctx, out, ": ");
  put_text (ctx, out, value);
  put_text (ctx, out, "\r\n");
}

static uint32_t
send_priority (const struct mq_send *send)
{
  uint32_t priority = PRIORITY_FIRST + send->priority * PRIORITY_STEP;

  if (send->engine)
    return PRIORITY_ENGINE;
  return priority > PRIORITY_LAST ? PRIORITY_LAST : priority;
}

static void
put_system_fields (TALLOC_CTX *ctx, const struct mq_send *send,
                   struct mq_buffer *out)
{
  struct mq_forward_fields fields = {
    .deadline_ms = send->left_ms,
    .worker = send->worker,
    .last_event = send->last_event[0] == '\0' ? NULL : send->last_event,
    .priority = send_priority (send),
    .organisation = send->organisation,
  };
  char *text = mq_wire_format_fields (ctx, &fields);

  put_text (ctx, out, text);
  talloc_free (text);
}

void
mq_send_head (TALLOC_CTX *ctx, const struct mq_send *send,
              struct mq_buffer *out)
{
  const struct mq_http_head *head = send->head;
  char length[32];

  put_text (ctx, out, head->method);
  put_text (ctx, out, " ");
  put_text (ctx, out, head->target);
  put_text (ctx, out, " HTTP/1.1\r\n");
  put_field (ctx, out, "Host", send->host);
  for (size_t i = 0; i < head->field_count; i++)
    if (is_passed_on (head, head->fields[i].name))
      put_field (ctx, out, head->fields[i].name, head->fields[i].value);
  put_system_fields (ctx, send, out);
  if (send->body_len > 0 || head->has_length || head->chunked)
    {
      snprintf (length, sizeof length, "%zu", send->body_len);
      put_field (ctx, out, "Content-Length", length);
    }
  put_text (ctx, out, "\r\n");
}
