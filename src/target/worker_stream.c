/* worker_stream.c - incremental parser of a model's streamed response.

   Needs: worker_stream.h, jansson.  */

#include "worker_stream.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TOKEN_BYTES = 4, /* bytes per token, see docs/CONTRACTS.md */
  FIRST_ROOM = 256
};

struct buffer
{
  char *bytes; /* talloc, NUL-terminated */
  size_t len;
  size_t room;
};

/**
 * struct mq_worker_stream - parser state
 * @line: an incomplete line
 * @content: generated text so far
 * @calls: JSON array of tool calls
 * @finish: finish reason; NULL until received
 * @usage: valid if @has_usage
 * @done: [DONE] was received
 * @bad: the stream is malformed
 */
struct mq_worker_stream
{
  struct buffer line;
  struct buffer content;
  json_t *calls;
  char *finish;
  struct mq_worker_usage usage;
  bool has_usage;
  bool done;
  bool bad;
};

static void
buffer_add (TALLOC_CTX *ctx, struct buffer *buffer, const char *data,
            size_t len)
{
  if (buffer->len + len + 1 > buffer->room)
    {
      buffer->room = FIRST_ROOM + 2 * (buffer->len + len);
      buffer->bytes = talloc_realloc (ctx, buffer->bytes, char, buffer->room);
      if (buffer->bytes == NULL)
        abort ();
    }
  memcpy (buffer->bytes + buffer->len, data, len);
  buffer->len += len;
  buffer->bytes[buffer->len] = '\0';
}

static int
stream_freed (struct mq_worker_stream *stream)
{
  json_decref (stream->calls);
  return 0;
}

struct mq_worker_stream *
mq_worker_stream_create (TALLOC_CTX *ctx)
{
  struct mq_worker_stream *stream = talloc_zero (ctx, struct mq_worker_stream);

  if (stream == NULL)
    abort ();
  stream->calls = json_array ();
  talloc_set_destructor (stream, stream_freed);
  return stream;
}

static uint32_t
read_count (const json_t *usage, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (usage, key));

  return value < 0 || value > UINT32_MAX ? 0 : (uint32_t)value;
}

static void
read_usage (struct mq_worker_stream *stream, const json_t *usage)
{
  if (!json_is_object (usage))
    return;
  stream->has_usage = true;
  stream->usage.tokens_in = read_count (usage, "prompt_tokens");
  stream->usage.tokens_out = read_count (usage, "completion_tokens");
  stream->usage.cached_tokens = read_count (usage, "cached_tokens");
}

static void
read_call (struct mq_worker_stream *stream, const json_t *call)
{
  const json_t *function = json_object_get (call, "function");
  const char *id = json_string_value (json_object_get (call, "id"));
  const char *name = json_string_value (json_object_get (function, "name"));
  const char *arguments
      = json_string_value (json_object_get (function, "arguments"));

  if (id == NULL || name == NULL || arguments == NULL)
    {
      stream->bad = true;
      return;
    }
  json_array_append_new (stream->calls,
                         json_pack ("{s:s, s:s, s:s}", "id", id, "name", name,
                                    "arguments", arguments));
}

static void
read_choice (struct mq_worker_stream *stream, const json_t *choice,
             mq_worker_stream_text *text, void *user)
{
  const json_t *delta = json_object_get (choice, "delta");
  const json_t *calls = json_object_get (delta, "tool_calls");
  const char *content = json_string_value (json_object_get (delta, "content"));
  const char *finish
      = json_string_value (json_object_get (choice, "finish_reason"));

  for (size_t i = 0; i < json_array_size (calls); i++)
    read_call (stream, json_array_get (calls, i));
  if (finish != NULL && stream->finish == NULL)
    stream->finish = talloc_strdup (stream, finish);
  if (content == NULL || *content == '\0')
    return;
  buffer_add (stream, &stream->content, content, strlen (content));
  if (text != NULL)
    text (content, user);
}

static void
read_event (struct mq_worker_stream *stream, const char *data, size_t len,
            mq_worker_stream_text *text, void *user)
{
  json_t *json = json_loadb (data, len, 0, NULL);
  const json_t *choice = json_array_get (json_object_get (json, "choices"), 0);

  if (!json_is_object (json))
    stream->bad = true;
  read_usage (stream, json_object_get (json, "usage"));
  if (choice != NULL)
    read_choice (stream, choice, text, user);
  json_decref (json);
}

static void
read_line (struct mq_worker_stream *stream, const char *line, size_t len,
           mq_worker_stream_text *text, void *user)
{
  static const char prefix[] = "data:";
  static const char end[] = "[DONE]";
  size_t skip = strlen (prefix);

  if (len > 0 && line[len - 1] == '\r')
    len--;
  if (stream->done || len < skip || memcmp (line, prefix, skip) != 0)
    return;
  while (skip < len && line[skip] == ' ')
    skip++;
  if (len - skip == strlen (end) && memcmp (line + skip, end, len - skip) == 0)
    stream->done = true;
  else
    read_event (stream, line + skip, len - skip, text, user);
}

void
mq_worker_stream_feed (struct mq_worker_stream *stream, const char *data,
                       size_t len, mq_worker_stream_text *text, void *user)
{
  while (len > 0)
    {
      const char *end = memchr (data, '\n', len);
      size_t part = end == NULL ? len : (size_t)(end - data);

      buffer_add (stream, &stream->line, data, part);
      if (end == NULL)
        return;
      read_line (stream, stream->line.bytes, stream->line.len, text, user);
      stream->line.len = 0;
      data += part + 1;
      len -= part + 1;
    }
}

enum mq_worker_stream_state
mq_worker_stream_state (const struct mq_worker_stream *stream)
{
  if (stream->bad)
    return MQ_WORKER_STREAM_BAD;
  if (!stream->done)
    return MQ_WORKER_STREAM_OPEN;
  return stream->finish != NULL && stream->has_usage ? MQ_WORKER_STREAM_WHOLE
                                                     : MQ_WORKER_STREAM_BAD;
}

struct mq_worker_usage
mq_worker_stream_usage (const struct mq_worker_stream *stream)
{
  struct mq_worker_usage counted = { 0, 0, 0 };

  if (stream->has_usage)
    return stream->usage;
  counted.tokens_out
      = (uint32_t)((stream->content.len + TOKEN_BYTES - 1) / TOKEN_BYTES);
  return counted;
}

char *
mq_worker_stream_body (TALLOC_CTX *ctx, const struct mq_worker_stream *stream)
{
  json_t *json = json_pack (
      "{s:s, s:O, s:s}", "content",
      stream->content.bytes == NULL ? "" : stream->content.bytes, "tool_calls",
      stream->calls, "finish", stream->finish == NULL ? "" : stream->finish);
  char *text = json_dumps (json, JSON_COMPACT);
  char *body = talloc_strdup (ctx, text);

  free (text);
  json_decref (json);
  if (body == NULL)
    abort ();
  return body;
}
