/* buffer.c - FIFO byte buffer.

   Needs: talloc.  */

#include "buffer.h"
#include <stdlib.h>
#include <string.h>

#define FIRST_BYTES ((size_t)4096)
/* Capacity from which it grows by a quarter instead of being doubled.  */
#define LARGE_BYTES ((size_t)256 << 10)

/* Moves the bytes to a new allocation of at least NEED bytes.  */
static bool
grow (TALLOC_CTX *ctx, struct mq_buffer *buffer, size_t need)
{
  size_t capacity = buffer->capacity == 0 ? FIRST_BYTES : buffer->capacity;
  char *grown;

  while (capacity < need)
    capacity += capacity < LARGE_BYTES ? capacity : capacity / 4;
  grown = talloc_size (ctx, capacity);
  if (grown == NULL)
    return false;
  if (buffer->len > 0)
    memcpy (grown, buffer->data + buffer->at, buffer->len);
  talloc_free (buffer->data);
  buffer->data = grown;
  buffer->at = 0;
  buffer->capacity = capacity;
  return true;
}

bool
mq_buffer_append (TALLOC_CTX *ctx, struct mq_buffer *buffer, const void *data,
                  size_t len, size_t max)
{
  size_t need = buffer->len + len + 1;

  if (buffer->len > max || len > max - buffer->len)
    return false;
  if (len == 0)
    return true;
  if (buffer->at + need > buffer->capacity && !grow (ctx, buffer, need))
    return false;
  memcpy (buffer->data + buffer->at + buffer->len, data, len);
  buffer->len += len;
  buffer->data[buffer->at + buffer->len] = '\0';
  return true;
}

void
mq_buffer_add (TALLOC_CTX *ctx, struct mq_buffer *buffer, const void *data,
               size_t len)
{
  if (!mq_buffer_append (ctx, buffer, data, len, SIZE_MAX))
    abort ();
}

size_t
mq_buffer_take (struct mq_buffer *buffer, void *to, size_t max)
{
  size_t len = max < buffer->len ? max : buffer->len;

  if (len == 0)
    return 0;
  memcpy (to, buffer->data + buffer->at, len);
  mq_buffer_skip (buffer, len);
  return len;
}

void
mq_buffer_skip (struct mq_buffer *buffer, size_t len)
{
  buffer->at += len;
  buffer->len -= len;
  if (buffer->len == 0)
    mq_buffer_clear (buffer);
}

void
mq_buffer_clear (struct mq_buffer *buffer)
{
  talloc_free (buffer->data);
  memset (buffer, 0, sizeof *buffer);
}

const char *
mq_buffer_text (const struct mq_buffer *buffer)
{
  return buffer->len == 0 ? "" : buffer->data + buffer->at;
}
