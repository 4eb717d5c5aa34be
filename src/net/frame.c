/* frame.c - frames with a 4-byte big-endian length on a byte stream.

   Needs: frame.h.  */

#include "frame.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  FIRST_ROOM = 256
};

/**
 * struct mq_frame_writer - queue of encoded frames to send
 * @start: offset of the first unsent byte in @data
 * @end: offset behind the last byte
 * @capacity: bytes allocated for @data
 */
struct mq_frame_writer
{
  uint8_t *data;
  size_t start;
  size_t end;
  size_t capacity;
};

/**
 * struct mq_frame_reader - splits received bytes into frames
 * @input: bytes to parse: @partial, or the caller's if @partial was empty
 * @start: offset of the first unparsed byte in @input
 * @end: offset behind the last byte of @input
 * @partial: copy of an incomplete frame
 * @partial_len: bytes in @partial
 * @capacity: bytes allocated for @partial
 */
struct mq_frame_reader
{
  const uint8_t *input;
  size_t start;
  size_t end;
  uint8_t *partial;
  size_t partial_len;
  size_t capacity;
};

static size_t
double_capacity (size_t capacity, size_t need)
{
  if (capacity < FIRST_ROOM)
    capacity = FIRST_ROOM;
  while (capacity < need)
    capacity *= 2;
  return capacity;
}

struct mq_frame_writer *
mq_frame_writer_create (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, struct mq_frame_writer);
}

static bool
reserve_bytes (struct mq_frame_writer *writer, size_t need)
{
  size_t used = writer->end - writer->start;
  size_t capacity;
  uint8_t *data;

  if (writer->capacity - writer->end >= need)
    return true;
  /* Compacts only if at least half of the used bytes is free, so that a long
     queue is not moved for every few frames.  */
  if (writer->start >= used / 2 && writer->capacity - used >= need)
    {
      memmove (writer->data, writer->data + writer->start, used);
      writer->start = 0;
      writer->end = used;
      return true;
    }
  capacity = double_capacity (writer->capacity, writer->end + need);
  data = talloc_realloc (writer, writer->data, uint8_t, capacity);
  if (data == NULL)
    return false;
  writer->data = data;
  writer->capacity = capacity;
  return true;
}

bool
mq_frame_writer_add (struct mq_frame_writer *writer, const uint8_t *data,
                     size_t len)
{
  uint8_t *to;

  if (!reserve_bytes (writer, MQ_FRAME_HEADER_BYTES + len))
    return false;
  to = writer->data + writer->end;
  to[0] = (uint8_t)(len >> 24);
  to[1] = (uint8_t)(len >> 16);
  to[2] = (uint8_t)(len >> 8);
  to[3] = (uint8_t)len;
  memcpy (to + MQ_FRAME_HEADER_BYTES, data, len);
  writer->end += MQ_FRAME_HEADER_BYTES + len;
  return true;
}

size_t
mq_frame_writer_unsent (const struct mq_frame_writer *writer)
{
  return writer->end - writer->start;
}

enum mq_frame_flush
mq_frame_writer_flush (struct mq_frame_writer *writer, int fd)
{
  while (writer->start < writer->end)
    {
      ssize_t sent = send (fd, writer->data + writer->start,
                           writer->end - writer->start, MSG_NOSIGNAL);

      if (sent > 0)
        writer->start += (size_t)sent;
      else if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return MQ_FLUSH_BLOCKED;
      else if (sent == 0 || errno != EINTR)
        return MQ_FLUSH_FAILED;
    }
  writer->start = 0;
  writer->end = 0;
  return MQ_FLUSH_DONE;
}

void
mq_frame_writer_trim (struct mq_frame_writer *writer)
{
  if (writer->start < writer->end)
    return;
  TALLOC_FREE (writer->data);
  writer->capacity = 0;
}

struct mq_frame_reader *
mq_frame_reader_create (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, struct mq_frame_reader);
}

static bool
append_partial (struct mq_frame_reader *reader, const uint8_t *data,
                size_t len)
{
  size_t need = reader->partial_len + len;

  if (need > reader->capacity)
    {
      size_t capacity = double_capacity (reader->capacity, need);
      uint8_t *partial
          = talloc_realloc (reader, reader->partial, uint8_t, capacity);

      if (partial == NULL)
        return false;
      reader->partial = partial;
      reader->capacity = capacity;
    }
  memcpy (reader->partial + reader->partial_len, data, len);
  reader->partial_len = need;
  return true;
}

bool
mq_frame_reader_feed (struct mq_frame_reader *reader, const uint8_t *data,
                      size_t len)
{
  reader->start = 0;
  if (reader->partial_len == 0)
    {
      reader->input = data;
      reader->end = len;
      return true;
    }
  if (!append_partial (reader, data, len))
    return false;
  reader->input = reader->partial;
  reader->end = reader->partial_len;
  return true;
}

static size_t
read_length (const uint8_t *from)
{
  return (size_t)from[0] << 24 | (size_t)from[1] << 16 | (size_t)from[2] << 8
         | (size_t)from[3];
}

enum mq_frame_next
mq_frame_reader_next (struct mq_frame_reader *reader, size_t bound,
                      const uint8_t **data, size_t *len)
{
  size_t left = reader->end - reader->start;
  size_t frame;

  if (left < MQ_FRAME_HEADER_BYTES)
    return MQ_NEXT_PARTIAL;
  frame = read_length (reader->input + reader->start);
  if (frame == 0 || frame > bound)
    return MQ_NEXT_BAD;
  if (left - MQ_FRAME_HEADER_BYTES < frame)
    return MQ_NEXT_PARTIAL;
  *data = reader->input + reader->start + MQ_FRAME_HEADER_BYTES;
  *len = frame;
  reader->start += MQ_FRAME_HEADER_BYTES + frame;
  return MQ_NEXT_FRAME;
}

bool
mq_frame_reader_save_partial (struct mq_frame_reader *reader)
{
  size_t left = reader->end - reader->start;
  const uint8_t *from = reader->input + reader->start;
  bool done = true;

  if (left == 0)
    {
      TALLOC_FREE (reader->partial);
      reader->capacity = 0;
      reader->partial_len = 0;
    }
  else if (reader->input == reader->partial)
    {
      memmove (reader->partial, from, left);
      reader->partial_len = left;
    }
  else
    done = append_partial (reader, from, left);
  reader->input = NULL;
  reader->start = 0;
  reader->end = 0;
  return done;
}
