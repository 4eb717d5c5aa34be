/* ctl_trace.h - the spans of one program from every host, drawn as a tree.

   Needs: id.h, jansson.  */

#ifndef MQ_CTL_TRACE_H
#define MQ_CTL_TRACE_H

#include "core/id.h"
#include <jansson.h>

/**
 * mq_ctl_trace_text - draws a trace
 * @ctx: talloc parent of the result
 * @spans: array of the spans of all hosts, in the format of src/log/spans.h
 * @program: id of the program
 *
 * Shows programs, their calls, and the hops of each call by start time.  A
 * sub-program is shown below the call that started it.  Times are relative to
 * the start of the first span, uncorrected for clock skew between hosts.
 *
 * Return: lines of text.
 */
char *mq_ctl_trace_text (TALLOC_CTX *ctx, const json_t *spans,
                         struct mq_id program);

#endif
