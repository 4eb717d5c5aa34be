/* spans.h - ring buffer of the trace spans of this process.

   Needs: action.h, jansson.  */

#ifndef MQ_SPANS_H
#define MQ_SPANS_H

#include "core/action.h"

struct mq_spans;

/* HOST and DATA_CENTRE are written into every span.  */
struct mq_spans *mq_spans_create (TALLOC_CTX *ctx, const char *host,
                                  const char *data_centre);
void mq_spans_destroy (struct mq_spans *spans);
/* The times of SPAN are those of CLOCK_MONOTONIC.  */
void mq_spans_add (struct mq_spans *spans, const struct mq_span *span);
/* JSON array, allocated on CTX, of the spans of PROGRAM and its sub-programs
   (which share mq_id.hi), with times in wall-clock microseconds.  */
char *mq_spans_json (TALLOC_CTX *ctx, const struct mq_spans *spans,
                     struct mq_id program);

#endif
