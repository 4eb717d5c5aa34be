/* event_stream.c - parser of server-sent events.

   Needs: event_stream.h.  */

#include "event_stream.h"
#include <string.h>

#define INITIAL_BYTES ((size_t)2048)

/**
 * struct mq_event_stream - buffered data
 * @bytes: buffer of @capacity bytes
 * @at: offset of the next event
 * @end: end of the data
 * @scanned: offset up to which no end of an event was found
 * @data: joined data lines of the last event
 * @data_capacity: size of @data
 */
struct mq_event_stream
{
  char *bytes;
  size_t at;
  size_t end;
  size_t capacity;
  size_t scanned;
  char *data;
  size_t data_capacity;
};

struct mq_event_stream *
mq_event_stream_create (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, struct mq_event_stream);
}

void
mq_event_stream_destroy (struct mq_event_stream *stream)
{
  talloc_free (stream);
}

static void
compact (struct mq_event_stream *stream)
{
  if (stream->at == 0)
    return;
  memmove (stream->bytes, stream->bytes + stream->at,
           stream->end - stream->at);
  stream->scanned -= stream->at;
  stream->end -= stream->at;
  stream->at = 0;
}

bool
mq_event_stream_feed (struct mq_event_stream *stream, const char *data,
                      size_t len)
{
  if (len == 0)
    return true;
  compact (stream);
  if (stream->end + len > MQ_EVENT_MAX_BYTES)
    return false;
  if (stream->end + len > stream->capacity)
    {
      size_t capacity
          = stream->capacity == 0 ? INITIAL_BYTES : stream->capacity;
      char *grown;

      while (capacity < stream->end + len)
        capacity *= 2;
      grown = talloc_realloc (stream, stream->bytes, char, capacity);
      if (grown == NULL)
        return false;
      stream->bytes = grown;
      stream->capacity = capacity;
    }
  memcpy (stream->bytes + stream->end, data, len);
  stream->end += len;
  return true;
}

/* Finds the line at FROM: *LEN is its length without the line ending, *NEXT
   the offset of the next line.  Returns false if the line is incomplete.  */
static bool
read_line (const struct mq_event_stream *stream, size_t from, size_t *len,
           size_t *next)
{
  const char *start = stream->bytes + from;
  const char *feed = NULL;

  if (from < stream->end)
    feed = memchr (start, '\n', stream->end - from);
  if (feed == NULL)
    return false;
  *len = (size_t)(feed - start);
  *next = from + *len + 1;
  if (*len > 0 && start[*len - 1] == '\r')
    (*len)--;
  return true;
}

/* Returns the end of the first event, 0 if it is incomplete.  */
static size_t
find_end (struct mq_event_stream *stream)
{
  size_t from = stream->scanned;
  size_t len;
  size_t next;

  while (read_line (stream, from, &len, &next))
    {
      if (len == 0)
        return next;
      from = next;
      stream->scanned = from;
    }
  return 0;
}

/* Parses a "NAME: value" line.  Returns false if the line has another name. */
static bool
field_value (const char *line, size_t len, const char *name,
             const char **value, size_t *value_len)
{
  size_t name_len = strlen (name);

  if (len < name_len || memcmp (line, name, name_len) != 0)
    return false;
  if (len == name_len)
    {
      *value = line + len;
      *value_len = 0;
      return true;
    }
  if (line[name_len] != ':')
    return false;
  *value = line + name_len + 1;
  *value_len = len - name_len - 1;
  if (*value_len > 0 && **value == ' ')
    {
      (*value)++;
      (*value_len)--;
    }
  return true;
}

static void
add_data (struct mq_event_stream *stream, struct mq_event *event,
          const char *value, size_t len)
{
  if (event->has_data)
    stream->data[event->data_len++] = '\n';
  memcpy (stream->data + event->data_len, value, len);
  event->data_len += len;
  event->has_data = true;
}

static void
read_fields (struct mq_event_stream *stream, size_t end,
             struct mq_event *event)
{
  size_t from = stream->at;
  size_t len;
  size_t next;

  while (from < end && read_line (stream, from, &len, &next))
    {
      const char *line = stream->bytes + from;
      const char *value;
      size_t value_len;

      if (field_value (line, len, "id", &value, &value_len))
        {
          event->id = value;
          event->id_len = value_len;
        }
      else if (field_value (line, len, "data", &value, &value_len))
        add_data (stream, event, value, value_len);
      from = next;
    }
}

/* Joined data is never longer than the event itself.  */
static bool
reserve_data (struct mq_event_stream *stream, size_t need)
{
  char *grown;

  if (need <= stream->data_capacity)
    return true;
  grown = talloc_realloc (stream, stream->data, char, need);
  if (grown == NULL)
    return false;
  stream->data = grown;
  stream->data_capacity = need;
  return true;
}

bool
mq_event_stream_next (struct mq_event_stream *stream, struct mq_event *event)
{
  size_t end = find_end (stream);

  if (end == 0 || !reserve_data (stream, end - stream->at))
    return false;
  *event = (struct mq_event){
    .text = stream->bytes + stream->at,
    .len = end - stream->at,
    .id = "",
    .data = stream->data,
  };
  read_fields (stream, end, event);
  stream->at = end;
  stream->scanned = end;
  return true;
}

void
mq_event_stream_reset (struct mq_event_stream *stream)
{
  stream->at = 0;
  stream->end = 0;
  stream->scanned = 0;
}

bool
mq_event_stream_has_partial (const struct mq_event_stream *stream)
{
  return stream->end > stream->at;
}
