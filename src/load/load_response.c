/* load_answer.c - an entry host's answer to a request of mimosa-load.

   Needs: load_answer.h.  */

#include "load_response.h"
#include <stdlib.h>
#include <string.h>

enum
{
  STATUS_OK = 200,
  CALL_SHIFT = 16
};

/**
 * struct stream - server-sent events as they are read
 * @call: call that @text is of
 * @text: its provisional text
 * @last: data of the final or refused event, NULL before
 * @last_call: call that gave the final answer
 * @refused: it was refused
 * @resets: times that text was declared void
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

/* One event as it stands between two empty lines.  */
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
read_final (struct mq_load_response *answer, const json_t *json)
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
read_ran (const char *name)
{
  if (strcmp (name, "not_run") == 0)
    return MQ_RAN_NOT_RUN;
  return strcmp (name, "ran") == 0 ? MQ_RAN_RAN : MQ_RAN_UNKNOWN;
}

/* A refusal without a known type can't be acted on by any caller.  */
static void
read_refusal (struct mq_load_response *answer, const json_t *json)
{
  char *name = copy_member (answer, json, "error");

  answer->error = mq_error_from_name (name);
  if (answer->error == MQ_ERR_NONE)
    {
      answer->error = MQ_ERR_BAD_ANSWER;
      answer->violation = MQ_LOAD_MALFORMED;
    }
  answer->ran = read_ran (copy_member (answer, json, "ran"));
  answer->program = copy_member (answer, json, "program");
}

/* Server-sent events.  */

static void
take_token (struct stream *stream, const json_t *data)
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

/* The number of the final event has the call after the last one in its upper
   bits.  */
static void
take_end (struct stream *stream, const struct event *event)
{
  json_decref (stream->last);
  stream->last = json_incref (event->data);
  stream->refused = strcmp (event->name, "refused") == 0;
  stream->last_call = (json_int_t)(event->number >> CALL_SHIFT) - 1;
}

static void
take_event (struct stream *stream, const struct event *event)
{
  if (strcmp (event->name, "token") == 0)
    take_token (stream, event->data);
  else if (strcmp (event->name, "reset") == 0)
    {
      stream->text[0] = '\0';
      stream->resets++;
    }
  else if (strcmp (event->name, "final") == 0
           || strcmp (event->name, "refused") == 0)
    take_end (stream, event);
}

static void
read_event (struct stream *stream, char *block)
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
    take_event (stream, &event);
  json_decref (event.data);
}

static void
read_events (struct stream *stream, char *body)
{
  while (body != NULL)
    {
      char *end = strstr (body, "\n\n");
      char *block = body;

      if (end == NULL)
        return;
      *end = '\0';
      body = end + 2;
      read_event (stream, block);
    }
}

/* What a caller showed of the last call as it came must be the answer's
   beginning, or have been declared void.  After a change of owners it may be
   less than the whole (front.h): such a stream is counted as cut.  */
static enum mq_load_violation
compare_stream (struct mq_load_response *answer, const struct stream *stream)
{
  size_t shown = stream->call == stream->last_call ? strlen (stream->text) : 0;

  if (strncmp (stream->text, answer->text, shown) != 0)
    return MQ_LOAD_STREAM_DIFFERS;
  answer->cut = strlen (answer->text) > shown;
  return MQ_LOAD_CORRECT;
}

static void
read_stream (struct mq_load_response *answer, const char *body)
{
  struct stream stream = { .text = copy_text (answer, "") };
  char *copy = copy_text (answer, body);

  read_events (&stream, copy);
  talloc_free (copy);
  answer->resets = stream.resets;
  if (stream.last == NULL)
    answer->error = MQ_ERR_PEER_LOST;
  else if (stream.refused)
    read_refusal (answer, stream.last);
  else
    read_final (answer, stream.last);
  if (answer->error == MQ_ERR_NONE && answer->violation == MQ_LOAD_CORRECT)
    answer->violation = compare_stream (answer, &stream);
  json_decref (stream.last);
}

static void
read_json (struct mq_load_response *answer, int status, const char *body)
{
  json_t *json = json_loads (body, 0, NULL);

  if (status == STATUS_OK)
    read_final (answer, json);
  else
    read_refusal (answer, json);
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
    read_stream (answer, body);
  else
    read_json (answer, status, body);
  if (answer->error == MQ_ERR_NONE && answer->violation == MQ_LOAD_CORRECT)
    answer->violation = mq_load_check_answer (answer->text, messages);
  return answer;
}
