/* load_check.c - does an answer belong to its request, and is it whole?

   The text that is hashed is that of the stand-in model: docs/CONTRACTS.md
   has its form.
   Needs: load_check.h.  */

#include "load_check.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define CALL_MARK "\x1d"
#define FIELD_MARK "\x1f"
#define MESSAGE_END "\x1e"

enum
{
  TOKEN_BYTES = 4
};

static const char *const names[]
    = { "right",          "malformed",      "other_program", "unmarked",
        "wrong_messages", "stream_differs", "wrong_history", "done_twice" };

struct prompt
{
  char *text; /* talloc */
  size_t len;
};

const char *
mq_load_violation_name (enum mq_load_violation violation)
{
  return names[violation];
}

/* What stands at the end of TEXT; false when nothing does.  */
static bool
read_mark (const char *text, uint32_t *messages, uint64_t *digest)
{
  const char *mark = NULL;

  for (const char *at = strstr (text, "[seen "); at != NULL;
       at = strstr (at + 1, "[seen "))
    mark = at;
  /* A mark that was found is not the end of an empty text.  */
  if (mark == NULL || mark[strlen (mark) - 1] != ']')
    return false;
  return sscanf (mark, "[seen %" SCNu32 " %" SCNx64 "]", messages, digest)
         == 2;
}

enum mq_load_violation
mq_load_check_answer (const char *text, uint32_t messages)
{
  uint32_t seen;
  uint64_t digest;

  if (!read_mark (text, &seen, &digest))
    return MQ_LOAD_NO_DIGEST;
  return seen == messages ? MQ_LOAD_CORRECT : MQ_LOAD_WRONG_MESSAGES;
}

/* The prompt's text.  */

static void
put (struct prompt *prompt, const char *text)
{
  prompt->text = talloc_strdup_append_buffer (prompt->text, text);
  if (prompt->text == NULL)
    abort ();
  prompt->len += strlen (text);
}

static void
pad (struct prompt *prompt)
{
  while (prompt->len % TOKEN_BYTES != 0)
    put (prompt, "\n");
}

static const char *
member (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text == NULL ? "" : text;
}

static void
put_message (struct prompt *prompt, json_t *message)
{
  json_t *calls = json_object_get (message, "tool_calls");
  json_t *call;
  size_t i;

  put (prompt, member (message, "role"));
  put (prompt, "\n");
  if (strcmp (member (message, "role"), "tool") == 0)
    {
      put (prompt, member (message, "name"));
      put (prompt, FIELD_MARK);
      put (prompt, member (message, "tool_call_id"));
    }
  pad (prompt);
  put (prompt, member (message, "content"));
  json_array_foreach (calls, i, call)
  {
    put (prompt, CALL_MARK);
    put (prompt, member (call, "id"));
    put (prompt, FIELD_MARK);
    put (prompt, member (call, "name"));
    put (prompt, FIELD_MARK);
    put (prompt, member (call, "arguments"));
  }
  put (prompt, MESSAGE_END);
  pad (prompt);
}

static bool
saw (const struct prompt *prompt, uint32_t before, json_t *message)
{
  uint32_t messages;
  uint64_t digest;

  return read_mark (member (message, "content"), &messages, &digest)
         && messages == before
         && digest == XXH64 (prompt->text, prompt->len, 0);
}

enum mq_load_violation
mq_load_check_history (json_t *history, const char *answer)
{
  struct prompt prompt = { .text = talloc_strdup (NULL, "") };
  json_t *messages = json_object_get (history, "messages");
  const char *last = "";
  bool right = json_array_size (messages) > 0;
  json_t *message;
  size_t i;

  json_array_foreach (messages, i, message)
  {
    if (strcmp (member (message, "role"), "assistant") == 0)
      {
        right = right && saw (&prompt, (uint32_t)i, message);
        last = member (message, "content");
      }
    put_message (&prompt, message);
  }
  right = right && strcmp (last, answer) == 0;
  talloc_free (prompt.text);
  return right ? MQ_LOAD_CORRECT : MQ_LOAD_WRONG_HISTORY;
}
