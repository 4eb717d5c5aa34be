/* load_answer.c - an entry host's answer to a request of mimosa-load.

   Needs: load_answer.h.  */

#include "load_answer.h"
#include <stdlib.h>
#include <string.h>

enum
{
  STATUS_OK = 200
};

/**
 * struct stream - server-sent events as they are read
 * @call: call that @text is of
 * @text: its provisional text
 * @last: data of the final or refused event, NULL before
 * @refused: it was refused
 */
struct stream
{
  json_int_t call;
  char *text;
  json_t *last;
  bool refused;
  uint32_t resets;
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
read_final (struct mq_load_answer *answer, const json_t *json)
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
read_refusal (struct mq_load_answer *answer, const json_t *json)
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

static void
take_event (struct stream *stream, const char *name, json_t *data)
{
  if (strcmp (name, "token") == 0)
    take_token (stream, data);
  else if (strcmp (name, "reset") == 0)
    {
      stream->text[0] = '\0';
      stream->resets++;
    }
  else if (strcmp (name, "final") == 0 || strcmp (name, "refused") == 0)
    {
      json_decref (stream->last);
      stream->last = json_incref (data);
      stream->refused = *name == 'r';
    }
}

/* One event: lines "event: NAME" and "data: JSON".  */
static void
read_event (struct stream *stream, char *block)
{
  const char *name = "";
  json_t *data = NULL;
  char *line;

  while ((line = strsep (&block, "\n")) != NULL)
    if (strncmp (line, "event: ", 7) == 0)
      name = line + 7;
    else if (strncmp (line, "data: ", 6) == 0)
      data = json_loads (line + 6, 0, NULL);
  if (data != NULL)
    take_event (stream, name, data);
  json_decref (data);
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

/* What a caller showed as it came must be the answer, or have been declared
   void; a caller that was attached anew may have been given less.  */
static bool
stream_agrees (const struct stream *stream, const char *answer)
{
  return strcmp (stream->text, answer) == 0
         || (stream->resets > 0 && stream->text[0] == '\0');
}

static void
read_stream (struct mq_load_answer *answer, const char *body)
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
  if (answer->error == MQ_ERR_NONE && answer->violation == MQ_LOAD_RIGHT
      && !stream_agrees (&stream, answer->text))
    answer->violation = MQ_LOAD_STREAM_DIFFERS;
  json_decref (stream.last);
}

static void
read_json (struct mq_load_answer *answer, int status, const char *body)
{
  json_t *json = json_loads (body, 0, NULL);

  if (status == STATUS_OK)
    read_final (answer, json);
  else
    read_refusal (answer, json);
  json_decref (json);
}

struct mq_load_answer *
mq_load_answer_read (TALLOC_CTX *ctx, int status, const char *body,
                     bool stream, uint32_t messages)
{
  struct mq_load_answer *answer = talloc_zero (ctx, struct mq_load_answer);

  if (answer == NULL)
    abort ();
  answer->ran = MQ_RAN_UNKNOWN;
  answer->program = copy_text (answer, "");
  answer->text = copy_text (answer, "");
  if (stream && status == STATUS_OK)
    read_stream (answer, body);
  else
    read_json (answer, status, body);
  if (answer->error == MQ_ERR_NONE && answer->violation == MQ_LOAD_RIGHT)
    answer->violation = mq_load_check_answer (answer->text, messages);
  return answer;
}
