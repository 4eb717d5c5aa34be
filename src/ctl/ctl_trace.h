/* ctl_trace.h - the spans of one program from every host, drawn as a tree.

   Needs: id.h, jansson.  */

#ifndef MQ_CTL_TRACE_H
#define MQ_CTL_TRACE_H

#include "core/id.h"
#include <jansson.h>

/**
 * mq_ctl_trace_text - draws a trace
 * @ctx: owner of the result
 * @spans: array of the spans of all hosts, as src/log/spans.h writes them
 * @program: the program asked for
 *
 * Programs, then their calls, then the hops of a call by their beginning; a
 * sub-program stands below the call that started it.  Times are from the
 * beginning of the first span; clocks of hosts may differ a little.
 *
 * Return: lines of text.
 */
char *mq_ctl_trace_text (TALLOC_CTX *ctx, const json_t *spans,
                         struct mq_id program);

#endif
