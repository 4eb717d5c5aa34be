/* frame.h - frames with a 4-byte big-endian length on a byte stream.

   The writer batches frames into few send calls; the reader returns complete
   frames without copying them.
   Needs: talloc, the C library's sockets.  */

#ifndef MQ_FRAME_H
#define MQ_FRAME_H

#include "core/types.h"

enum
{
  MQ_FRAME_HEADER_BYTES = 4
};

struct mq_frame_writer;
struct mq_frame_reader;

enum mq_frame_flush
{
  MQ_FLUSH_DONE,    /* all bytes were sent */
  MQ_FLUSH_BLOCKED, /* the send buffer is full */
  MQ_FLUSH_FAILED   /* write error, see errno */
};

struct mq_frame_writer *mq_frame_writer_create (TALLOC_CTX *ctx);
/* False if out of memory; the writer is then unchanged.  */
bool mq_frame_writer_add (struct mq_frame_writer *writer, const uint8_t *data,
                          size_t len);
size_t mq_frame_writer_unsent (const struct mq_frame_writer *writer);
enum mq_frame_flush mq_frame_writer_flush (struct mq_frame_writer *writer,
                                           int fd);
/* Frees the memory of an empty writer.  */
void mq_frame_writer_trim (struct mq_frame_writer *writer);

enum mq_frame_next
{
  MQ_NEXT_FRAME,
  MQ_NEXT_PARTIAL, /* incomplete frame; feed more bytes */
  MQ_NEXT_BAD      /* empty, or longer than the maximum */
};

struct mq_frame_reader *mq_frame_reader_create (TALLOC_CTX *ctx);
/* Adds received bytes; DATA is borrowed until mq_frame_reader_save_partial.
   False if out of memory.  */
bool mq_frame_reader_feed (struct mq_frame_reader *reader, const uint8_t *data,
                           size_t len);
/* Next frame of at most BOUND bytes, valid until
   mq_frame_reader_save_partial.  */
enum mq_frame_next mq_frame_reader_next (struct mq_frame_reader *reader,
                                         size_t bound, const uint8_t **data,
                                         size_t *len);
/* Copies an incomplete frame at the end of the input.  False if out of
   memory.  */
bool mq_frame_reader_save_partial (struct mq_frame_reader *reader);

#endif
