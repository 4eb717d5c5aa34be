/* frame.h - frames of a 4-byte big-endian length on a byte stream.

   A writer gathers frames so that one send carries many; a reader cuts
   received bytes into frames without copying those that came whole.
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
  MQ_FLUSH_DONE,    /* nothing is left */
  MQ_FLUSH_BLOCKED, /* the socket takes no more now */
  MQ_FLUSH_FAILED   /* the connection is broken, see errno */
};

struct mq_frame_writer *mq_frame_writer_create (TALLOC_CTX *ctx);
/* False when memory is out; the writer is then as before.  */
bool mq_frame_writer_add (struct mq_frame_writer *writer, const uint8_t *data,
                          size_t len);
size_t mq_frame_writer_unsent (const struct mq_frame_writer *writer);
enum mq_frame_flush mq_frame_writer_flush (struct mq_frame_writer *writer,
                                           int fd);
/* Gives back the room of an empty writer.  */
void mq_frame_writer_trim (struct mq_frame_writer *writer);

enum mq_frame_next
{
  MQ_NEXT_FRAME,
  MQ_NEXT_PARTIAL, /* feed more */
  MQ_NEXT_BAD      /* empty or over the bound */
};

struct mq_frame_reader *mq_frame_reader_create (TALLOC_CTX *ctx);
/* DATA is borrowed until mq_frame_reader_save_partial.  False: memory is out.
 */
bool mq_frame_reader_feed (struct mq_frame_reader *reader, const uint8_t *data,
                           size_t len);
/* Next frame of at most BOUND bytes, borrowed until _rest.  */
enum mq_frame_next mq_frame_reader_next (struct mq_frame_reader *reader,
                                         size_t bound, const uint8_t **data,
                                         size_t *len);
/* Keeps the part of a frame that is left over.  False: memory is out.  */
bool mq_frame_reader_save_partial (struct mq_frame_reader *reader);

#endif
