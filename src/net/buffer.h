/* buffer.h - FIFO byte buffer.

   Allocates memory only while it is not empty.
   Needs: talloc.  */

#ifndef MQ_BUFFER_H
#define MQ_BUFFER_H

#include "core/types.h"

/**
 * struct mq_buffer - a zero-initialised one is empty
 * @data: allocated on the context given to mq_buffer_append
 * @at: offset of the first byte in @data
 * @len: number of bytes; a zero byte follows them
 * @capacity: bytes allocated
 */
struct mq_buffer
{
  char *data;
  size_t at;
  size_t len;
  size_t capacity;
};

/* False, with BUFFER unchanged, if it would exceed MAX bytes or out of
   memory.  */
bool mq_buffer_append (TALLOC_CTX *ctx, struct mq_buffer *buffer,
                       const void *data, size_t len, size_t max);
/* Appends; aborts if out of memory.

   Failure: a part of a message is missing, and the peer waits for it.  */
void mq_buffer_add (TALLOC_CTX *ctx, struct mq_buffer *buffer,
                    const void *data, size_t len);
/* Moves up to MAX bytes to TO and returns their number.  */
size_t mq_buffer_take (struct mq_buffer *buffer, void *to, size_t max);
void mq_buffer_skip (struct mq_buffer *buffer, size_t len);
void mq_buffer_clear (struct mq_buffer *buffer);
/* Contents, zero-terminated; "" if empty.  */
const char *mq_buffer_text (const struct mq_buffer *buffer);

#endif
