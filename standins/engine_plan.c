/* engine_plan.c - prompts and scripted answers of the stand-in model.

   Needs: engine_plan.h.  */

#include "engine_plan.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Separators in the prompt text.  JSON escapes control characters, so they
   cannot occur in arguments.  */
#define CALL_MARK "\x1d"
#define FIELD_MARK "\x1f"
#define MESSAGE_END "\x1e"

#define PLAN_MARK "plan="

struct text
{
  char *bytes; /* talloc */
  size_t len;
  size_t capacity;
};

static void
text_add (struct text *text, const char *bytes, size_t len)
{
  if (text->len + len + 1 > text->capacity)
    {
      text->capacity = 2 * (text->len + len + 1);
      text->bytes = talloc_realloc (NULL, text->bytes, char, text->capacity);
      if (text->bytes == NULL)
        abort ();
    }
  memcpy (text->bytes + text->len, bytes, len);
  text->len += len;
  text->bytes[text->len] = '\0';
}

static void
text_put (struct text *text, const char *string)
{
  if (string != NULL)
    text_add (text, string, strlen (string));
}

/* Pads TEXT to whole tokens, so that a program's next prompt has the same
   token boundaries.  */
static void
text_pad (struct text *text)
{
  while (text->len % MQ_PLAN_TOKEN_BYTES != 0)
    text_add (text, "\n", 1);
}

static const char *
member_text (const json_t *object, const char *key)
{
  const char *value = json_string_value (json_object_get (object, key));

  return value == NULL ? "" : value;
}

static void
put_call (struct text *text, const json_t *call)
{
  text_put (text, CALL_MARK);
  text_put (text, member_text (call, "id"));
  text_put (text, FIELD_MARK);
  text_put (text, member_text (call, "name"));
  text_put (text, FIELD_MARK);
  text_put (text, member_text (call, "arguments"));
}

static void
put_header (struct text *text, const json_t *message, const char *role)
{
  text_put (text, role);
  text_put (text, "\n");
  if (strcmp (role, "tool") == 0)
    {
      text_put (text, member_text (message, "name"));
      text_put (text, FIELD_MARK);
      text_put (text, member_text (message, "tool_call_id"));
    }
  text_pad (text);
}

static void
put_message (struct text *text, const json_t *message)
{
  const json_t *calls = json_object_get (message, "tool_calls");

  put_header (text, message, member_text (message, "role"));
  text_put (text, member_text (message, "content"));
  for (size_t i = 0; i < json_array_size (calls); i++)
    put_call (text, json_array_get (calls, i));
  text_put (text, MESSAGE_END);
  text_pad (text);
}

static bool
role_is (const json_t *message, const char *role)
{
  return strcmp (member_text (message, "role"), role) == 0;
}

static bool
is_message (const json_t *message)
{
  const json_t *content = json_object_get (message, "content");

  if (content != NULL && !json_is_string (content) && !json_is_null (content))
    return false;
  return role_is (message, "system") || role_is (message, "user")
         || role_is (message, "assistant") || role_is (message, "tool");
}

static bool
check_messages (const json_t *messages, struct mq_error *error)
{
  if (json_array_size (messages) == 0)
    {
      mq_error_set (error, MQ_ERR_BAD_JSON, "messages",
                    "an array of messages");
      return false;
    }
  for (size_t i = 0; i < json_array_size (messages); i++)
    if (!is_message (json_array_get (messages, i)))
      {
        mq_error_set (error, MQ_ERR_BAD_JSON, "messages",
                      "role system, user, assistant or tool; content a text");
        return false;
      }
  return true;
}

bool
mq_plan_read (TALLOC_CTX *ctx, const json_t *messages,
              struct mq_plan_prompt *prompt, struct mq_error *error)
{
  struct text text = { 0 };
  size_t count = json_array_size (messages);
  bool leading = true;

  memset (prompt, 0, sizeof *prompt);
  if (!check_messages (messages, error))
    return false;
  for (size_t i = 0; i < count; i++)
    {
      const json_t *message = json_array_get (messages, i);

      put_message (&text, message);
      leading = leading && role_is (message, "system");
      if (leading)
        prompt->shared_tokens = (uint32_t)(text.len / MQ_PLAN_TOKEN_BYTES);
    }
  prompt->messages = (uint32_t)count;
  prompt->digest = XXH64 (text.bytes, text.len, 0);
  put_header (&text, NULL, "assistant");
  prompt->tokens = (uint32_t)(text.len / MQ_PLAN_TOKEN_BYTES);
  prompt->text = talloc_steal (ctx, text.bytes);
  return true;
}

static size_t
find_last_user (const json_t *messages)
{
  size_t found = SIZE_MAX;

  for (size_t i = 0; i < json_array_size (messages); i++)
    if (role_is (json_array_get (messages, i), "user"))
      found = i;
  return found;
}

static size_t
count_tool_messages (const json_t *messages, size_t after)
{
  size_t count = 0;

  for (size_t i = after + 1; i < json_array_size (messages); i++)
    if (role_is (json_array_get (messages, i), "tool"))
      count++;
  return count;
}

/* Returns a new reference to the plan, or NULL if there is none.  */
static json_t *
load_plan (const json_t *user)
{
  const char *mark = strstr (member_text (user, "content"), PLAN_MARK);
  json_t *plan;

  if (mark == NULL)
    return NULL;
  plan = json_loads (mark + strlen (PLAN_MARK), JSON_DISABLE_EOF_CHECK, NULL);
  if (json_is_array (plan))
    return plan;
  json_decref (plan);
  return NULL;
}

/* Returns a borrowed reference to step NUMBER of PLAN; a loop step stands for
   all later steps too.  */
static const json_t *
find_step (const json_t *plan, size_t number)
{
  for (size_t i = 0; i < json_array_size (plan) && i <= number; i++)
    {
      const json_t *step = json_array_get (plan, i);

      if (i == number || json_object_get (step, "loop") != NULL)
        return step;
    }
  return NULL;
}

static uint32_t
read_tokens (const json_t *number)
{
  json_int_t tokens = json_integer_value (number);

  if (!json_is_integer (number) || tokens < 0)
    return MQ_PLAN_DEFAULT_TOKENS;
  return tokens > MQ_PLAN_TOKENS_MAX ? MQ_PLAN_TOKENS_MAX : (uint32_t)tokens;
}

char *
mq_plan_digest_text (TALLOC_CTX *ctx, const struct mq_plan_prompt *prompt)
{
  return talloc_asprintf (ctx, "[seen %" PRIu32 " %016" PRIx64 "]",
                          prompt->messages, prompt->digest);
}

static void
fill_words (char *text, size_t len, uint64_t seed)
{
  static const char letters[] = "abcdefghijklmnopqrstuvwxyz";

  for (size_t i = 0; i < len; i++)
    {
      seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
      text[i] = letters[(seed >> 33) % strlen (letters)];
      if (i % MQ_PLAN_TOKEN_BYTES == MQ_PLAN_TOKEN_BYTES - 1)
        text[i] = ' ';
    }
}

/* Writes TOKENS tokens ending in the digest text: more if the digest text
   needs more, fewer if MAX_TOKENS is lower.  */
static void
write_text (TALLOC_CTX *ctx, const struct mq_plan_prompt *prompt,
            uint32_t tokens, uint32_t max_tokens,
            struct mq_plan_answer *answer)
{
  char *digest = mq_plan_digest_text (ctx, prompt);
  size_t digest_len = strlen (digest);
  uint32_t digest_tokens = (uint32_t)((digest_len + MQ_PLAN_TOKEN_BYTES - 1)
                                      / MQ_PLAN_TOKEN_BYTES);
  size_t len;

  answer->tokens = tokens < digest_tokens ? digest_tokens : tokens;
  len = (size_t)answer->tokens * MQ_PLAN_TOKEN_BYTES;
  answer->text = talloc_array (ctx, char, len + 1);
  if (answer->text == NULL)
    abort ();
  fill_words (answer->text, len - digest_len, prompt->digest);
  memcpy (answer->text + len - digest_len, digest, digest_len);
  talloc_free (digest);
  if (max_tokens > 0 && answer->tokens > max_tokens)
    {
      answer->tokens = max_tokens;
      answer->finish = MQ_PLAN_LENGTH;
    }
  answer->text[(size_t)answer->tokens * MQ_PLAN_TOKEN_BYTES] = '\0';
}

static void
write_call (TALLOC_CTX *ctx, const struct mq_plan_prompt *prompt,
            const char *name, const json_t *arguments,
            struct mq_plan_answer *answer)
{
  char *dump = arguments == NULL
                   ? NULL
                   : json_dumps (arguments, JSON_COMPACT | JSON_SORT_KEYS);

  answer->finish = MQ_PLAN_CALL;
  answer->call_id = talloc_asprintf (ctx, "call_%" PRIu32, prompt->messages);
  answer->call_name = talloc_strdup (ctx, name);
  answer->call_arguments = talloc_strdup (ctx, dump == NULL ? "{}" : dump);
  free (dump);
}

void
mq_plan_answer (TALLOC_CTX *ctx, const json_t *messages,
                const struct mq_plan_prompt *prompt, uint32_t max_tokens,
                struct mq_plan_answer *answer)
{
  size_t user = find_last_user (messages);
  json_t *plan = load_plan (json_array_get (messages, user));
  const json_t *step = find_step (plan, count_tool_messages (messages, user));
  const char *call = json_string_value (json_object_get (step, "call"));
  const char *loop = json_string_value (json_object_get (step, "loop"));
  const char *name = call != NULL ? call : loop;
  const char *tokens_key = name == NULL ? "answer" : "tokens";

  memset (answer, 0, sizeof *answer);
  answer->finish = MQ_PLAN_STOP;
  write_text (ctx, prompt, read_tokens (json_object_get (step, tokens_key)),
              max_tokens, answer);
  if (name != NULL && answer->finish != MQ_PLAN_LENGTH)
    write_call (ctx, prompt, name, json_object_get (step, "arguments"),
                answer);
  json_decref (plan);
}

const char *
mq_plan_finish_name (enum mq_plan_finish finish)
{
  switch (finish)
    {
    case MQ_PLAN_STOP:
      return "stop";
    case MQ_PLAN_LENGTH:
      return "length";
    case MQ_PLAN_CALL:
      return "tool_calls";
    }
  return "stop";
}
