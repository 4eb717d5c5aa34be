/* worker_stream.h - reads a model's streamed answer as it comes.

   Server-sent events with the JSON of docs/CONTRACTS.md "Model engine", in
   parts of any size.  No input or output of its own.
   Needs: jansson, talloc.  */

#ifndef MQ_WORKER_STREAM_H
#define MQ_WORKER_STREAM_H

#include "core/types.h"

struct mq_worker_stream;

enum mq_worker_stream_state
{
  MQ_WORKER_STREAM_OPEN,  /* more must follow */
  MQ_WORKER_STREAM_WHOLE, /* the end was read */
  MQ_WORKER_STREAM_BAD    /* something can't be read */
};

/**
 * struct mq_worker_usage - tokens of an answer
 * @tokens_in: prompt tokens, 0 while the answer is not whole
 * @tokens_out: generated tokens; counted from the text while the answer is
 *              not whole
 * @cached_tokens: prompt tokens found in the cache, 0 likewise
 */
struct mq_worker_usage
{
  uint32_t tokens_in;
  uint32_t tokens_out;
  uint32_t cached_tokens;
};

typedef void mq_worker_stream_text (const char *text, void *user);

struct mq_worker_stream *mq_worker_stream_create (TALLOC_CTX *ctx);
/* TEXT is called for each piece of the answer's text; may be NULL.  */
void mq_worker_stream_feed (struct mq_worker_stream *stream, const char *data,
                            size_t len, mq_worker_stream_text *text,
                            void *user);
enum mq_worker_stream_state
mq_worker_stream_state (const struct mq_worker_stream *stream);
struct mq_worker_usage
mq_worker_stream_usage (const struct mq_worker_stream *stream);
/* {"content":S,"tool_calls":[…],"finish":S} of a whole answer, below CTX.  */
char *mq_worker_stream_body (TALLOC_CTX *ctx,
                             const struct mq_worker_stream *stream);

#endif
