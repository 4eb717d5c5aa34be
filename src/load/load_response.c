/* load_response.c - parses and checks an entry host's response.

   Needs: load_response.h.  */

#include "load_response.h"
#include <stdlib.h>
#include <string.h>

enum
{
  STATUS_OK = 200,
  CALL_SHIFT = 16
};

/**
 * struct stream - state of a stream of server-sent events
 * @call: number of the call that @text belongs to
 * @text: provisional text of @call
 * @last: data of the final or refused event; NULL before it arrives
 * @last_call: number of the call with the final answer
 * @refused: @last is a refusal
 * @resets: number of events that discarded the provisional text
 */
struct stream
{
  json_int_t call;
  char *text;
  json_t *last;
  json_int_t last_call;
  bool refused;
  uint32_t resets;
};

/* One event.  */
struct event
{
  const char *name;
  unsigned long number;
  json_t *data;
};

static char *
copy_text (TALLOC_CTX *ctx, const char *text)
{
  char *copy = talloc_strdup (ctx, text == NULL ? "" : text);

  if (copy == NULL)
    abort ();
  return copy;
}

static char *
copy_member (TALLOC_CTX *ctx, const json_t *json, const char *name)
{
  return copy_text (ctx, json_string_value (json_object_get (json, name)));
}

static void
parse_final (struct mq_load_response *answer, const json_t *json)
{
  if (!json_is_string (json_object_get (json, "answer")))
    {
      answer->violation = MQ_LOAD_MALFORMED;
      return;
    }
  answer->text = copy_member (answer, json, "answer");
  answer->program = copy_member (answer, json, "program");
}

static enum mq_ran
parse_ran (const char *name)
{
  if (strcmp (name, "not_run") == 0)
    return MQ_RAN_NOT_RUN;
  return strcmp (name, "ran") == 0 ? MQ_RAN_RAN : MQ_RAN_UNKNOWN;
}

/* A refusal of unknown type is malformed, since no caller can handle it.  */
static void
parse_refusal (struct mq_load_response *answer, const json_t *json)
{
  char *name = copy_member (answer, json, "error");

  answer->error = mq_error_from_name (name);
  if (answer->error == MQ_ERR_NONE)
    {
      answer->error = MQ_ERR_BAD_ANSWER;
      answer->violation = MQ_LOAD_MALFORMED;
    }
  answer->ran = parse_ran (copy_member (answer, json, "ran"));
  answer->program = copy_member (answer, json, "program");
}

/* Server-sent events.  */

static void
on_token (struct stream *stream, const json_t *data)
{
  json_int_t call = json_integer_value (json_object_get (data, "call"));
  char *text = copy_member (stream->text, data, "text");

  if (call != stream->call)
    stream->text[0] = '\0';
  stream->call = call;
  stream->text = talloc_strdup_append (stream->text, text);
  if (stream->text == NULL)
    abort ();
}

/* The upper bits of the final event's id contain the last call plus one.  */
static void
on_end (struct stream *stream, const struct event *event)
{
  json_decref (stream->last);
  stream->last = json_incref (event->data);
  stream->refused = strcmp (event->name, "refused") == 0;
  stream->last_call = (json_int_t)(event->number >> CALL_SHIFT) - 1;
}

static void
dispatch_event (struct stream *stream, const struct event *event)
{
  if (strcmp (event->name, "token") == 0)
    on_token (stream, event->data);
  else if (strcmp (event->name, "reset") == 0)
    {
      stream->text[0] = '\0';
      stream->resets++;
    }
  else if (strcmp (event->name, "final") == 0
           || strcmp (event->name, "refused") == 0)
    on_end (stream, event);
}

static void
parse_event (struct stream *stream, char *block)
{
  struct event event = { .name = "" };
  char *line;

  while ((line = strsep (&block, "\n")) != NULL)
    if (strncmp (line, "event: ", 7) == 0)
      event.name = line + 7;
    else if (strncmp (line, "id: ", 4) == 0)
      event.number = strtoul (line + 4, NULL, 10);
    else if (strncmp (line, "data: ", 6) == 0)
      event.data = json_loads (line + 6, 0, NULL);
  if (event.data != NULL)
    dispatch_event (stream, &event);
  json_decref (event.data);
}

static void
parse_events (struct stream *stream, char *body)
{
  while (body != NULL)
    {
      char *end = strstr (body, "\n\n");
      char *block = body;

      if (end == NULL)
        return;
      *end = '\0';
      body = end + 2;
      parse_event (stream, block);
    }
}

/* The streamed text of the last call must be a prefix of the answer.  It may
   be incomplete after a change of owners (front.h); the stream then counts as
   cut.  */
static enum mq_load_violation
check_stream (struct mq_load_response *answer, const struct stream *stream)
{
  size_t streamed_len
      = stream->call == stream->last_call ? strlen (stream->text) : 0;

  if (strncmp (stream->text, answer->text, streamed_len) != 0)
    return MQ_LOAD_STREAM_DIFFERS;
  answer->cut = strlen (answer->text) > streamed_len;
  return MQ_LOAD_CORRECT;
}

static void
parse_stream (struct mq_load_response *answer, const char *body)
{
  struct stream stream = { .text = copy_text (answer, "") };
  char *copy = copy_text (answer, body);

  parse_events (&stream, copy);
  talloc_free (copy);
  answer->resets = stream.resets;
  if (stream.last == NULL)
    answer->error = MQ_ERR_PEER_LOST;
  else if (stream.refused)
    parse_refusal (answer, stream.last);
  else
    parse_final (answer, stream.last);
  if (answer->error == MQ_ERR_NONE && answer->violation == MQ_LOAD_CORRECT)
    answer->violation = check_stream (answer, &stream);
  json_decref (stream.last);
}

static void
parse_json (struct mq_load_response *answer, int status, const char *body)
{
  json_t *json = json_loads (body, 0, NULL);

  if (status == STATUS_OK)
    parse_final (answer, json);
  else
    parse_refusal (answer, json);
  json_decref (json);
}

struct mq_load_response *
mq_load_response_parse (TALLOC_CTX *ctx, int status, const char *body,
                        bool stream, uint32_t messages)
{
  struct mq_load_response *answer = talloc_zero (ctx, struct mq_load_response);

  if (answer == NULL)
    abort ();
  answer->ran = MQ_RAN_UNKNOWN;
  answer->program = copy_text (answer, "");
  answer->text = copy_text (answer, "");
  if (stream && status == STATUS_OK)
    parse_stream (answer, body);
  else
    parse_json (answer, status, body);
  if (answer->error == MQ_ERR_NONE && answer->violation == MQ_LOAD_CORRECT)
    answer->violation = mq_load_check_answer (answer->text, messages);
  return answer;
}
