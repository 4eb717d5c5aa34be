/* api_answer.c - serialises events and errors to HTTP response bodies.

   Needs: api_answer.h, id.h, jansson.  */

#include "api_answer.h"
#include "core/id.h"
#include "core/memory.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Serialises JSON and frees it.  */
static char *
dump (TALLOC_CTX *ctx, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  char *copy = mq_check_alloc (talloc_strdup (ctx, mq_check_alloc (text)));

  free (text);
  json_decref (json);
  return copy;
}

/* Converts TEXT to a JSON string.  JSON requires UTF-8: if TEXT is invalid,
   its non-ASCII bytes are replaced by '?'.  */
static json_t *
text_value (const char *text)
{
  json_t *value = json_string (text);
  char *copy;

  if (value != NULL)
    return value;
  copy = mq_check_alloc (talloc_strdup (NULL, text));
  for (char *p = copy; *p != '\0'; p++)
    if ((unsigned char)*p >= 0x80)
      *p = '?';
  value = json_string (copy);
  talloc_free (copy);
  return value;
}

static json_t *
id_value (struct mq_id id)
{
  char text[MQ_ID_TEXT];

  mq_id_format (id, text);
  return json_string (text);
}

/* Parses a JSON object; returns an empty one on failure.  */
static json_t *
parse_object (const char *text)
{
  json_t *json = json_loads (text == NULL ? "" : text, 0, NULL);

  if (json_is_object (json))
    return json;
  json_decref (json);
  return json_object ();
}

static json_t *
refusal_value (const struct mq_api_refusal *refusal)
{
  const struct mq_error *error = &refusal->error;
  json_t *json = json_object ();

  json_object_set_new (json, "error",
                       json_string (mq_error_name (error->type)));
  json_object_set_new (json, "ran", json_string (mq_ran_name (refusal->ran)));
  json_object_set_new (json, "cause",
                       json_string (mq_error_cause (error->type)));
  json_object_set_new (json, "remedy",
                       json_string (mq_error_remedy (error->type)));
  if (error->subject[0] != '\0')
    json_object_set_new (json, "subject", text_value (error->subject));
  if (error->allowed[0] != '\0')
    json_object_set_new (json, "allowed", text_value (error->allowed));
  if (refusal->retry_after_ms != 0)
    json_object_set_new (json, "retry_after_ms",
                         json_integer (refusal->retry_after_ms));
  if (!mq_id_is_zero (refusal->program))
    json_object_set_new (json, "program", id_value (refusal->program));
  return json;
}

char *
mq_api_refusal_json (TALLOC_CTX *ctx, const struct mq_api_refusal *refusal)
{
  return dump (ctx, refusal_value (refusal));
}

static const char *
event_name (enum mq_event_type type)
{
  switch (type)
    {
    case MQ_EVENT_ACCEPTED:
      return "accepted";
    case MQ_EVENT_TOKEN:
      return "token";
    case MQ_EVENT_STEP:
      return "step";
    case MQ_EVENT_RESET:
      return "reset";
    case MQ_EVENT_FINAL:
      return "final";
    case MQ_EVENT_REFUSED:
      return "refused";
    }
  return "unknown";
}

static json_t *
event_value (const struct mq_event_msg *event, struct mq_id program)
{
  struct mq_api_refusal refusal = { .ran = event->ran, .program = program };
  json_t *json;

  switch (event->type)
    {
    case MQ_EVENT_TOKEN:
      json = json_object ();
      json_object_set_new (json, "call", json_integer (event->call));
      json_object_set_new (json, "text", text_value (event->body));
      return json;
    case MQ_EVENT_REFUSED:
      mq_error_set (&refusal.error, event->error, "", "");
      refusal.retry_after_ms = event->retry_after_ms;
      return refusal_value (&refusal);
    case MQ_EVENT_RESET:
      json = parse_object (event->body);
      json_object_set_new (json, "call", json_integer (event->call));
      return json;
    case MQ_EVENT_ACCEPTED:
    case MQ_EVENT_STEP:
    case MQ_EVENT_FINAL:
      break;
    }
  return parse_object (event->body);
}

char *
mq_api_sse (TALLOC_CTX *ctx, const struct mq_event_msg *event,
            struct mq_id program)
{
  char *data = dump (ctx, event_value (event, program));
  char *text;

  if (event->number == 0)
    text = talloc_asprintf (ctx, "event: %s\ndata: %s\n\n",
                            event_name (event->type), data);
  else
    text = talloc_asprintf (ctx, "id: %u\nevent: %s\ndata: %s\n\n",
                            event->number, event_name (event->type), data);
  talloc_free (data);
  return mq_check_alloc (text);
}

char *
mq_api_program_json (TALLOC_CTX *ctx, struct mq_id program, const char *status)
{
  json_t *json = json_object ();

  json_object_set_new (json, "program", id_value (program));
  json_object_set_new (json, "status", json_string (status));
  return dump (ctx, json);
}

char *
mq_api_answer_service (TALLOC_CTX *ctx, const char *body)
{
  json_t *json = parse_object (body);
  const char *service = json_string_value (json_object_get (json, "service"));
  char *copy
      = mq_check_alloc (talloc_strdup (ctx, service == NULL ? "" : service));

  json_decref (json);
  return copy;
}

/* OpenAI's formats.  */

static json_t *
chat_object (const char *object, const char *model, struct mq_id program,
             int64_t created)
{
  char id[MQ_ID_TEXT];
  json_t *json = json_object ();

  mq_id_format (program, id);
  json_object_set_new (json, "id", json_sprintf ("chatcmpl-%s", id));
  json_object_set_new (json, "object", json_string (object));
  json_object_set_new (json, "created", json_integer (created));
  json_object_set_new (json, "model", text_value (model));
  return json;
}

static json_t *
make_choices (const char *name, json_t *content, const char *finish)
{
  json_t *choice = json_object ();
  json_t *choices = json_array ();

  json_object_set_new (choice, "index", json_integer (0));
  json_object_set_new (choice, name, content);
  json_object_set_new (choice, "finish_reason",
                       finish == NULL ? json_null () : json_string (finish));
  json_array_append_new (choices, choice);
  return choices;
}

/* Converts tool calls, {"id","name","arguments"}, to OpenAI's format.  */
static json_t *
chat_tool_calls (json_t *calls)
{
  json_t *list = json_array ();
  json_t *call;
  size_t i;

  json_array_foreach (calls, i, call)
  {
    json_t *function = json_object ();
    json_t *item = json_object ();

    json_object_set (function, "name", json_object_get (call, "name"));
    json_object_set (function, "arguments",
                     json_object_get (call, "arguments"));
    json_object_set_new (item, "index", json_integer ((json_int_t)i));
    json_object_set (item, "id", json_object_get (call, "id"));
    json_object_set_new (item, "type", json_string ("function"));
    json_object_set_new (item, "function", function);
    json_array_append_new (list, item);
  }
  return list;
}

/* A model's response in the body of a FINAL event.  */
struct chat_answer
{
  json_t *body;    /* {"content":S,"tool_calls":[…]}, owned */
  json_t *content; /* borrowed */
  json_t *calls;   /* borrowed, NULL if none */
};

/* Returns the body in the member "answer": a step's is the engine's body as a
   JSON string, a program's is the text itself.  */
static json_t *
answer_body (const char *final)
{
  json_t *root = parse_object (final);
  json_t *value = json_object_get (root, "answer");
  json_t *body = json_loads (
      json_string_value (value) == NULL ? "" : json_string_value (value), 0,
      NULL);

  if (!json_is_object (body) || json_object_get (body, "content") == NULL)
    {
      json_decref (body);
      body = json_object ();
      json_object_set (body, "content", value);
    }
  json_decref (root);
  return body;
}

static bool
read_answer (const char *final, struct chat_answer *answer)
{
  json_t *calls;

  answer->body = answer_body (final);
  answer->content = json_object_get (answer->body, "content");
  calls = json_object_get (answer->body, "tool_calls");
  answer->calls = json_array_size (calls) > 0 ? calls : NULL;
  if (json_is_string (answer->content) || answer->calls != NULL)
    return true;
  json_decref (answer->body);
  return false;
}

static const char *
finish_reason (const struct chat_answer *answer)
{
  return answer->calls == NULL ? "stop" : "tool_calls";
}

char *
mq_api_chat_json (TALLOC_CTX *ctx, const char *final, const char *model,
                  struct mq_id program, int64_t created)
{
  struct chat_answer answer;
  json_t *message;
  json_t *json;

  if (!read_answer (final, &answer))
    return NULL;
  message = json_object ();
  json_object_set_new (message, "role", json_string ("assistant"));
  if (json_is_string (answer.content))
    json_object_set (message, "content", answer.content);
  else
    json_object_set_new (message, "content", json_null ());
  if (answer.calls != NULL)
    json_object_set_new (message, "tool_calls",
                         chat_tool_calls (answer.calls));
  json = chat_object ("chat.completion", model, program, created);
  json_object_set_new (
      json, "choices",
      make_choices ("message", message, finish_reason (&answer)));
  if (json_object_get (answer.body, "usage") != NULL)
    json_object_set (json, "usage", json_object_get (answer.body, "usage"));
  json_decref (answer.body);
  return dump (ctx, json);
}

char *
mq_api_chat_content (TALLOC_CTX *ctx, const char *final)
{
  struct chat_answer answer;
  const char *text = NULL;
  char *copy;

  if (!read_answer (final, &answer))
    return mq_check_alloc (talloc_strdup (ctx, ""));
  text = json_string_value (answer.content);
  copy = mq_check_alloc (talloc_strdup (ctx, text == NULL ? "" : text));
  json_decref (answer.body);
  return copy;
}

static char *
chat_chunk (TALLOC_CTX *ctx, json_t *delta, const char *finish,
            const char *model, struct mq_id program, int64_t created)
{
  json_t *json
      = chat_object ("chat.completion.chunk", model, program, created);
  char *data;
  char *text;

  json_object_set_new (json, "choices", make_choices ("delta", delta, finish));
  data = dump (ctx, json);
  text = mq_check_alloc (talloc_asprintf (ctx, "data: %s\n\n", data));
  talloc_free (data);
  return text;
}

char *
mq_api_chat_token (TALLOC_CTX *ctx, const char *text, const char *model,
                   struct mq_id program, int64_t created)
{
  json_t *delta = json_object ();

  json_object_set_new (delta, "content", text_value (text));
  return chat_chunk (ctx, delta, NULL, model, program, created);
}

char *
mq_api_chat_end (TALLOC_CTX *ctx, const char *final, const char *model,
                 struct mq_id program, int64_t created)
{
  struct chat_answer answer;
  json_t *delta = json_object ();
  const char *finish = "stop";
  char *chunk;

  if (read_answer (final, &answer))
    {
      finish = finish_reason (&answer);
      if (answer.calls != NULL)
        json_object_set_new (delta, "tool_calls",
                             chat_tool_calls (answer.calls));
      json_decref (answer.body);
    }
  chunk = chat_chunk (ctx, delta, finish, model, program, created);
  return mq_check_alloc (talloc_strdup_append (chunk, "data: [DONE]\n\n"));
}

char *
mq_api_chat_error (TALLOC_CTX *ctx, const struct mq_api_refusal *refusal)
{
  json_t *json = json_object ();
  char *data;
  char *text;

  json_object_set_new (json, "error", refusal_value (refusal));
  data = dump (ctx, json);
  text = mq_check_alloc (talloc_asprintf (ctx, "data: %s\n\n", data));
  talloc_free (data);
  return text;
}
