/* event_stream.h - parser of server-sent events.

   Only complete events are returned.  A partial event is never forwarded, so
   that another worker can continue the stream after the last complete event.
   Pure.
   Needs: types.h.  */

#ifndef MQ_EVENT_STREAM_H
#define MQ_EVENT_STREAM_H

#include "../types.h"

/* A longer event is an error.  */
#define MQ_EVENT_MAX_BYTES ((size_t)1 << 20)

struct mq_event_stream;

/**
 * struct mq_event - a complete event, valid until the next call
 * @text: raw event including the empty line at its end
 * @id: value of the id field, not terminated; empty if there is none
 * @data: data lines joined by line feeds
 * @has_data: false for events without a data line, such as comments
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
/* Adds received data.  Returns false if an event exceeds MQ_EVENT_MAX_BYTES or
   memory is out; the stream must then be closed.  */
bool mq_event_stream_feed (struct mq_event_stream *stream, const char *data,
                           size_t len);
/* Returns the next complete event in *EVENT, or false if there is none.  */
bool mq_event_stream_next (struct mq_event_stream *stream,
                           struct mq_event *event);
/* Discards a partial event before another worker continues the stream.  */
void mq_event_stream_reset (struct mq_event_stream *stream);
/* Whether a partial event is buffered.  */
bool mq_event_stream_has_partial (const struct mq_event_stream *stream);

#endif
