/* api_read.c - validating parser of callers' requests.

   Needs: api_read.h, id.h, limits.h, memory.h.  */

#include "api_read.h"
#include "core/id.h"
#include "core/limits.h"
#include "core/memory.h"
#include <stdlib.h>
#include <string.h>

enum
{
  DECIMAL_MAX = 10,
  TRACEPARENT_LEN = 55
};

bool
mq_api_fail (struct mq_api_parser *parser, enum mq_error_type type,
             const char *subject, const char *allowed)
{
  mq_error_set (parser->error, type, subject, allowed);
  return false;
}

/* Single values.  */

bool
mq_api_split_path (struct mq_api_parser *parser, struct mq_api_path *path)
{
  char *rest = mq_text_copy (parser->ctx, parser->http_input->path);
  char *part;

  path->count = 0;
  while ((part = strsep (&rest, "/")) != NULL)
    {
      if (part[0] == '\0')
        continue;
      if (path->count == MQ_API_SEGMENTS_MAX || strlen (part) >= MQ_NAME_MAX)
        return mq_api_fail (parser, MQ_ERR_NOT_FOUND, parser->http_input->path,
                            "");
      path->parts[path->count++] = part;
    }
  return true;
}

bool
mq_api_segment_is (const struct mq_api_path *path, size_t place,
                   const char *name)
{
  return place < path->count && strcmp (path->parts[place], name) == 0;
}

bool
mq_api_read_decimal (struct mq_api_parser *parser, const char *name,
                     const char *text, uint32_t *number)
{
  char *end = NULL;
  unsigned long long value;

  if (text == NULL)
    return true;
  if (text[0] < '0' || text[0] > '9' || strlen (text) > DECIMAL_MAX)
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, name, "a number from 0");
  value = strtoull (text, &end, 10);
  if (*end != '\0' || value > UINT32_MAX)
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, name, "a number from 0");
  *number = (uint32_t)value;
  return true;
}

bool
mq_api_read_id (struct mq_api_parser *parser, const char *text,
                struct mq_id *id)
{
  if (!mq_id_parse (text, id))
    return mq_api_fail (parser, MQ_ERR_NOT_FOUND, text,
                        "a program's id: 32 hexadecimal digits");
  return true;
}

bool
mq_api_key_valid (const char *key)
{
  size_t len = strlen (key);

  if (len == 0 || len > MQ_API_KEY_MAX)
    return false;
  for (size_t i = 0; i < len; i++)
    if (key[i] < ' ' || key[i] > '~')
      return false;
  return true;
}

bool
mq_api_traceparent_valid (const char *text)
{
  static const char shape[] = "00-xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx-"
                              "xxxxxxxxxxxxxxxx-xx";

  if (text == NULL || strlen (text) != TRACEPARENT_LEN)
    return false;
  for (size_t i = 0; i < TRACEPARENT_LEN; i++)
    {
      bool hex = (text[i] >= '0' && text[i] <= '9')
                 || (text[i] >= 'a' && text[i] <= 'f');

      if (shape[i] == 'x' ? !hex : text[i] != shape[i])
        return false;
    }
  return true;
}

/* JSON bodies.  */

bool
mq_api_read_body (struct mq_api_parser *parser)
{
  const struct mq_api_http_input *http_input = parser->http_input;
  json_error_t where;

  parser->json = json_loadb (http_input->len == 0 ? "{}" : http_input->body,
                             http_input->len == 0 ? 2 : http_input->len,
                             JSON_REJECT_DUPLICATES, &where);
  if (parser->json == NULL)
    return mq_api_fail (parser, MQ_ERR_BAD_JSON, where.text,
                        "one JSON object");
  if (!json_is_object (parser->json))
    return mq_api_fail (parser, MQ_ERR_BAD_JSON, "", "one JSON object");
  return true;
}

bool
mq_api_check_members (struct mq_api_parser *parser, const char *const *names)
{
  const char *key;
  json_t *value;

  json_object_foreach (parser->json, key, value)
  {
    size_t i = 0;

    while (names[i] != NULL && strcmp (names[i], key) != 0)
      i++;
    if (names[i] == NULL)
      return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, key, "see docs/API.md");
  }
  return true;
}

bool
mq_api_read_text (struct mq_api_parser *parser, const char *name,
                  const char **text)
{
  json_t *value = json_object_get (parser->json, name);

  if (value == NULL)
    return true;
  if (!json_is_string (value)
      || strlen (json_string_value (value)) != json_string_length (value))
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, name, "a text");
  *text = mq_text_copy (parser->ctx, json_string_value (value));
  return true;
}

bool
mq_api_read_name (struct mq_api_parser *parser, const char *name,
                  const char **text)
{
  if (!mq_api_read_text (parser, name, text))
    return false;
  if (strlen (*text) >= MQ_NAME_MAX)
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, name, "a name");
  return true;
}

bool
mq_api_read_flag (struct mq_api_parser *parser, const char *name, bool *flag)
{
  json_t *value = json_object_get (parser->json, name);

  if (value == NULL)
    return true;
  if (!json_is_boolean (value))
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, name, "true or false");
  *flag = json_is_true (value);
  return true;
}

bool
mq_api_read_number (struct mq_api_parser *parser, const char *name,
                    uint32_t *number)
{
  json_t *value = json_object_get (parser->json, name);

  if (value == NULL || json_is_null (value))
    return true;
  if (!json_is_integer (value) || json_integer_value (value) < 0
      || json_integer_value (value) > UINT32_MAX)
    return mq_api_fail (parser, MQ_ERR_BAD_REQUEST, name, "a number from 0");
  *number = (uint32_t)json_integer_value (value);
  return true;
}

const char *
mq_api_dump (struct mq_api_parser *parser, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  const char *copy;

  if (text == NULL)
    abort ();
  copy = mq_text_copy (parser->ctx, text);
  free (text);
  return copy;
}
