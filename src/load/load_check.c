/* load_check.c - checks that an answer is complete and belongs to its request.

   Hashes the prompt in the stand-in model's format, see docs/CONTRACTS.md.
   Needs: load_check.h.  */

#include "load_check.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define CALL_SEPARATOR "\x1d"
#define FIELD_SEPARATOR "\x1f"
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

/* Parses "[seen M DIGEST]" at the end of TEXT; returns false if missing.  */
static bool
parse_digest (const char *text, uint32_t *messages, uint64_t *digest)
{
  const char *found = NULL;

  for (const char *at = strstr (text, "[seen "); at != NULL;
       at = strstr (at + 1, "[seen "))
    found = at;
  if (found == NULL || found[strlen (found) - 1] != ']')
    return false;
  return sscanf (found, "[seen %" SCNu32 " %" SCNx64 "]", messages, digest)
         == 2;
}

enum mq_load_violation
mq_load_check_answer (const char *text, uint32_t messages)
{
  uint32_t seen;
  uint64_t digest;

  if (!parse_digest (text, &seen, &digest))
    return MQ_LOAD_NO_DIGEST;
  return seen == messages ? MQ_LOAD_CORRECT : MQ_LOAD_WRONG_MESSAGES;
}

/* Prompt text.  */

static void
append_text (struct prompt *prompt, const char *text)
{
  prompt->text = talloc_strdup_append_buffer (prompt->text, text);
  if (prompt->text == NULL)
    abort ();
  prompt->len += strlen (text);
}

static void
append_padding (struct prompt *prompt)
{
  while (prompt->len % TOKEN_BYTES != 0)
    append_text (prompt, "\n");
}

static const char *
member (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text == NULL ? "" : text;
}

static void
append_message (struct prompt *prompt, json_t *message)
{
  json_t *calls = json_object_get (message, "tool_calls");
  json_t *call;
  size_t i;

  append_text (prompt, member (message, "role"));
  append_text (prompt, "\n");
  if (strcmp (member (message, "role"), "tool") == 0)
    {
      append_text (prompt, member (message, "name"));
      append_text (prompt, FIELD_SEPARATOR);
      append_text (prompt, member (message, "tool_call_id"));
    }
  append_padding (prompt);
  append_text (prompt, member (message, "content"));
  json_array_foreach (calls, i, call)
  {
    append_text (prompt, CALL_SEPARATOR);
    append_text (prompt, member (call, "id"));
    append_text (prompt, FIELD_SEPARATOR);
    append_text (prompt, member (call, "name"));
    append_text (prompt, FIELD_SEPARATOR);
    append_text (prompt, member (call, "arguments"));
  }
  append_text (prompt, MESSAGE_END);
  append_padding (prompt);
}

static bool
digest_matches (const struct prompt *prompt, uint32_t before, json_t *message)
{
  uint32_t messages;
  uint64_t digest;

  return parse_digest (member (message, "content"), &messages, &digest)
         && messages == before
         && digest == XXH64 (prompt->text, prompt->len, 0);
}

enum mq_load_violation
mq_load_check_history (json_t *history, const char *answer)
{
  struct prompt prompt = { .text = talloc_strdup (NULL, "") };
  json_t *messages = json_object_get (history, "messages");
  const char *last = "";
  bool correct = json_array_size (messages) > 0;
  json_t *message;
  size_t i;

  json_array_foreach (messages, i, message)
  {
    if (strcmp (member (message, "role"), "assistant") == 0)
      {
        correct = correct && digest_matches (&prompt, (uint32_t)i, message);
        last = member (message, "content");
      }
    append_message (&prompt, message);
  }
  correct = correct && strcmp (last, answer) == 0;
  talloc_free (prompt.text);
  return correct ? MQ_LOAD_CORRECT : MQ_LOAD_WRONG_HISTORY;
}
