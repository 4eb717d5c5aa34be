/* worker_stream.h - incremental parser of a model's streamed response.

   Accepts server-sent events with the JSON of docs/CONTRACTS.md "Model
   engine", in chunks of any size.  Does no I/O.
   Needs: jansson, talloc.  */

#ifndef MQ_WORKER_STREAM_H
#define MQ_WORKER_STREAM_H

#include "core/types.h"

struct mq_worker_stream;

enum mq_worker_stream_state
{
  MQ_WORKER_STREAM_OPEN,  /* incomplete */
  MQ_WORKER_STREAM_WHOLE, /* complete */
  MQ_WORKER_STREAM_BAD    /* malformed */
};

/**
 * struct mq_worker_usage - token counts of a response
 * @tokens_in: prompt tokens; 0 until the engine reports usage
 * @tokens_out: generated tokens; estimated from the length of the text until
 *              the engine reports usage
 * @cached_tokens: prompt tokens found in the cache; 0 until the engine
 *                 reports usage
 */
struct mq_worker_usage
{
  uint32_t tokens_in;
  uint32_t tokens_out;
  uint32_t cached_tokens;
};

typedef void mq_worker_stream_text (const char *text, void *user);

struct mq_worker_stream *mq_worker_stream_create (TALLOC_CTX *ctx);
/* Parses LEN bytes of DATA.  TEXT, which may be NULL, is called for each piece
   of generated text.  */
void mq_worker_stream_feed (struct mq_worker_stream *stream, const char *data,
                            size_t len, mq_worker_stream_text *text,
                            void *user);
enum mq_worker_stream_state
mq_worker_stream_state (const struct mq_worker_stream *stream);
struct mq_worker_usage
mq_worker_stream_usage (const struct mq_worker_stream *stream);
/* Returns {"content":S,"tool_calls":[…],"finish":S} of a complete response,
   owned by CTX.  */
char *mq_worker_stream_body (TALLOC_CTX *ctx,
                             const struct mq_worker_stream *stream);

#endif
