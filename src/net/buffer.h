/* buffer.h - bytes that come in at one end and go out at the other.

   Holds memory only while it holds bytes.
   Needs: talloc.  */

#ifndef MQ_BUFFER_H
#define MQ_BUFFER_H

#include "core/types.h"

/**
 * struct mq_buffer - zero-initialised when empty
 * @data: memory, below the context given to mq_buffer_append
 * @at: where the bytes begin in @data
 * @len: how many there are; a zero byte follows them
 * @capacity: bytes allocated
 */
struct mq_buffer
{
  char *data;
  size_t at;
  size_t len;
  size_t capacity;
};

/* False, with BUFFER as it was, when it would hold more than MAX bytes or
   when memory is out.  */
bool mq_buffer_append (TALLOC_CTX *ctx, struct mq_buffer *buffer,
                       const void *data, size_t len, size_t max);
/* Moves up to MAX bytes to TO and returns how many.  */
size_t mq_buffer_take (struct mq_buffer *buffer, void *to, size_t max);
/* Drops the first LEN bytes.  */
void mq_buffer_skip (struct mq_buffer *buffer, size_t len);
void mq_buffer_clear (struct mq_buffer *buffer);
/* The bytes, zero-terminated; "" when there are none.  */
const char *mq_buffer_text (const struct mq_buffer *buffer);

#endif
