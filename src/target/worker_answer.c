/* worker_answer.c - parses a worker's responses that are not streamed.

   Needs: worker_answer.h, id.h, jansson.  */

#include "worker_answer.h"
#include "core/id.h"
#include "core/memory.h"
#include <jansson.h>
#include <stdlib.h>

static uint32_t
read_tokens (const json_t *json, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (json, key));

  return value < 0 || value > UINT32_MAX ? 0 : (uint32_t)value;
}

/* Skips programs with a malformed id.  */
static void
read_programs (TALLOC_CTX *ctx, const json_t *programs,
               struct mq_gate_cache *cache)
{
  size_t count = json_array_size (programs);
  struct mq_gate_cache_entry *entries = mq_check_alloc (
      talloc_zero_array (ctx, struct mq_gate_cache_entry, count + 1));

  cache->entries = entries;
  cache->entry_count = 0;
  for (size_t i = 0; i < count; i++)
    {
      const json_t *program = json_array_get (programs, i);
      struct mq_gate_cache_entry *entry = &entries[cache->entry_count];

      if (!mq_id_parse (
              json_string_value (json_object_get (program, "program")),
              &entry->program))
        continue;
      entry->tokens = read_tokens (program, "tokens");
      cache->entry_count++;
    }
}

bool
mq_worker_read_cache (TALLOC_CTX *ctx, const char *body, size_t len,
                      uint64_t *boot, struct mq_gate_cache *cache)
{
  json_t *json = json_loadb (body, len, 0, NULL);
  json_int_t number = json_integer_value (json_object_get (json, "boot"));

  *boot = number > 0 ? (uint64_t)number : 0;
  if (number > 0)
    {
      read_programs (ctx, json_object_get (json, "programs"), cache);
      cache->used = read_tokens (json, "used");
      cache->total = read_tokens (json, "total");
    }
  json_decref (json);
  return number > 0;
}

uint32_t
mq_worker_read_cancelled (const char *body, size_t len)
{
  json_t *json = json_loadb (body, len, 0, NULL);
  uint32_t tokens = read_tokens (json, "completion_tokens");

  json_decref (json);
  return tokens;
}

char *
mq_worker_read_service (TALLOC_CTX *ctx, const char *body, size_t len)
{
  json_t *json = json_loadb (body, len, JSON_DECODE_ANY, NULL);
  char *text;
  char *answer = NULL;

  if (json != NULL)
    {
      json_decref (json);
      return talloc_strndup (ctx, body, len);
    }
  if (len == 0)
    return talloc_strdup (ctx, "null");
  json = json_stringn (body, len);
  text = json_dumps (json, JSON_ENCODE_ANY);
  if (text != NULL)
    answer = talloc_strdup (ctx, text);
  free (text);
  json_decref (json);
  return answer;
}
