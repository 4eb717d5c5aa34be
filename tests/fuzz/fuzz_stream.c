/* fuzz_stream.c - a model's streamed answer (worker_stream.c).

   Input: the size in which the bytes arrive, then the bytes.
   Needs: fuzz.h, worker_stream.h, jansson.  */

#include "fuzz.h"
#include "target/worker_stream.h"
#include <jansson.h>
#include <string.h>

FUZZ_MAIN (stream)

static void
add_text (const char *text, void *user)
{
  char **all = user;

  *all = talloc_strdup_append_buffer (*all, text);
}

static struct mq_worker_stream *
read_stream (TALLOC_CTX *ctx, const uint8_t *data, size_t len, size_t step,
             char **text)
{
  struct mq_worker_stream *stream = mq_worker_stream_create (ctx);

  *text = talloc_strdup (ctx, "");
  for (size_t at = 0; at < len; at += step)
    mq_worker_stream_feed (stream, (const char *)data + at,
                           len - at < step ? len - at : step, add_text, text);
  return stream;
}

/* The body is what the owner takes for the answer, and its content is what
   was streamed.  */
static void
check_body (TALLOC_CTX *ctx, const struct mq_worker_stream *stream,
            const char *text)
{
  const char *body = mq_worker_stream_body (ctx, stream);
  json_t *json = json_loads (body, 0, NULL);
  const char *content = json_string_value (json_object_get (json, "content"));

  FUZZ_CHECK (content != NULL && strcmp (content, text) == 0);
  FUZZ_CHECK (json_is_array (json_object_get (json, "tool_calls")));
  json_decref (json);
}

bool
fuzz_stream (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  size_t step = len == 0 || data[0] == 0 ? len : data[0];
  char *parts;
  char *whole;
  struct mq_worker_stream *stream;
  struct mq_worker_stream *once;
  enum mq_worker_stream_state state;

  if (len > 0)
    {
      data++;
      len--;
    }
  stream = read_stream (ctx, data, len, step, &parts);
  once = read_stream (ctx, data, len, len, &whole);
  state = mq_worker_stream_state (stream);
  FUZZ_CHECK (state == mq_worker_stream_state (once));
  FUZZ_CHECK (strcmp (parts, whole) == 0);
  if (state == MQ_WORKER_STREAM_WHOLE)
    check_body (ctx, stream, parts);
  talloc_free (ctx);
  return state == MQ_WORKER_STREAM_WHOLE;
}
