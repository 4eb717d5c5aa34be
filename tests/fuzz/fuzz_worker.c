/* fuzz_worker.c - workers' answers that are no stream (worker_answer.c).

   Input: a line "cache", "cancelled" or "service", then the body.
   Needs: fuzz.h, worker_answer.h, jansson.  */

#include "fuzz.h"
#include "target/worker_answer.h"
#include <jansson.h>
#include <string.h>

FUZZ_MAIN (worker)

static bool
read_cache (TALLOC_CTX *ctx, const char *body, size_t len)
{
  struct mq_gate_cache cache = { 0 };
  uint64_t boot = 0;
  bool known = mq_worker_read_cache (ctx, body, len, &boot, &cache);

  FUZZ_CHECK (known == (boot != 0));
  for (size_t i = 0; i < cache.entry_count; i++)
    FUZZ_CHECK (cache.entries != NULL);
  FUZZ_CHECK (known || cache.entry_count == 0);
  return known;
}

/* What an engine claims beyond any answer's length would be charged to the
   program that was cancelled.  */
static bool
read_cancelled (const char *body, size_t len)
{
  json_t *json = json_loadb (body, len, 0, NULL);
  json_int_t claimed
      = json_integer_value (json_object_get (json, "completion_tokens"));
  uint32_t tokens = mq_worker_read_cancelled (body, len);

  json_decref (json);
  FUZZ_CHECK (tokens == 0 || (json_int_t)tokens == claimed);
  return tokens > 0;
}

/* The owner puts the text into JSON as it is.  */
static bool
read_service (TALLOC_CTX *ctx, const char *body, size_t len)
{
  const char *text = mq_worker_read_service (ctx, body, len);
  json_t *json;

  if (text == NULL)
    return false;
  json = json_loads (text, JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);
  FUZZ_CHECK (json != NULL);
  json_decref (json);
  return true;
}

bool
fuzz_worker (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct fuzz_input input = { data, len };
  const char *line = fuzz_next_line (ctx, &input);
  const char *body = fuzz_rest (ctx, &input);
  bool accepted = false;

  if (line != NULL && strcmp (line, "cache") == 0)
    accepted = read_cache (ctx, body, input.len);
  else if (line != NULL && strcmp (line, "cancelled") == 0)
    accepted = read_cancelled (body, input.len);
  else if (line != NULL && strcmp (line, "service") == 0)
    accepted = read_service (ctx, body, input.len);
  talloc_free (ctx);
  return accepted;
}
