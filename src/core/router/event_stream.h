/* event_stream.h - a stream of events cut into whole events.

   Bytes come in as they arrive; whole events go out.  What is left of an
   event that broke off stays behind and is never passed on, so that a stream
   can go on at another worker after the last whole event.  Pure.
   Needs: types.h.  */

#ifndef MQ_EVENT_STREAM_H
#define MQ_EVENT_STREAM_H

#include "../types.h"

/* An event that is longer than this is taken as damage.  */
#define MQ_EVENT_MAX_BYTES ((size_t)1 << 20)

struct mq_event_stream;

/**
 * struct mq_event - one whole event, valid until the next call
 * @text: its bytes, the empty line at its end included
 * @len: how many
 * @id: value of its id line, without a terminator; empty when it has none
 * @id_len: how many bytes
 * @data: its data lines joined by line feeds
 * @data_len: how many bytes
 * @has_data: it has a data line; a comment or a bare id has none
 */
struct mq_event
{
  const char *text;
  size_t len;
  const char *id;
  size_t id_len;
  const char *data;
  size_t data_len;
  bool has_data;
};

struct mq_event_stream *mq_event_stream_create (TALLOC_CTX *ctx);
void mq_event_stream_destroy (struct mq_event_stream *stream);
/* Takes in bytes.  False when an event is longer than the bound or memory is
   out: the stream is to be given up.  */
bool mq_event_stream_feed (struct mq_event_stream *stream, const char *data,
                           size_t len);
/* Next whole event; false when there is none yet.  */
bool mq_event_stream_next (struct mq_event_stream *stream,
                           struct mq_event *event);
/* Forgets the part of an event that has come in: another worker goes on.  */
void mq_event_stream_reset (struct mq_event_stream *stream);
/* Bytes of an event that is not whole are waiting.  */
bool mq_event_stream_has_partial (const struct mq_event_stream *stream);

#endif
