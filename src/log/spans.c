/* spans.c - ring buffer of the trace spans of this process.

   Hosts have no disks: the newest MQ_SPANS_MAX spans are kept in memory, and
   operators' tools collect them from all hosts.
   Needs: jansson.  */

#include "spans.h"
#include "core/id.h"
#include "core/limits.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* W3C traceparent: "00-" TRACE "-" PARENT "-" FLAGS, in hexadecimal
   digits.  */
#define TRACE_AT 3
#define TRACE_DIGITS 32
#define PARENT_AT (TRACE_AT + TRACE_DIGITS + 1)
#define PARENT_DIGITS 16
#define TRACEPARENT_LEN (PARENT_AT + PARENT_DIGITS + 3)
#define SPAN_NAME_BYTES 32

/**
 * struct stored_span - one span
 * @trace: trace id, empty if there is none
 * @parent: id of the parent span, empty if there is none
 * @call: 0 if the span concerns no call
 * @start_us: wall clock
 * @end_us: wall clock
 * @error: result of the operation
 */
struct stored_span
{
  char name[SPAN_NAME_BYTES];
  char trace[TRACE_DIGITS + 1];
  char parent[PARENT_DIGITS + 1];
  struct mq_id program;
  uint32_t call;
  uint64_t start_us;
  uint64_t end_us;
  enum mq_error_type error;
};

/**
 * struct mq_spans - ring buffer
 * @host: written into every span
 * @data_centre: written into every span
 * @added: number of spans added so far; the next one is stored at this index
 *         modulo MQ_SPANS_MAX
 */
struct mq_spans
{
  const char *host;
  const char *data_centre;
  uint64_t added;
  struct stored_span ring[MQ_SPANS_MAX];
};

struct mq_spans *
mq_spans_create (TALLOC_CTX *ctx, const char *host, const char *data_centre)
{
  struct mq_spans *spans = talloc_zero (ctx, struct mq_spans);

  if (spans == NULL)
    return NULL;
  spans->host = talloc_strdup (spans, host);
  spans->data_centre = talloc_strdup (spans, data_centre);
  if (spans->host != NULL && spans->data_centre != NULL)
    return spans;
  talloc_free (spans);
  return NULL;
}

void
mq_spans_destroy (struct mq_spans *spans)
{
  talloc_free (spans);
}

/* Offset from the monotonic clock to the wall clock.  */
static uint64_t
wall_clock_offset_us (void)
{
  struct timespec wall;
  struct timespec own;

  clock_gettime (CLOCK_REALTIME, &wall);
  clock_gettime (CLOCK_MONOTONIC, &own);
  return ((uint64_t)wall.tv_sec - (uint64_t)own.tv_sec) * 1000000
         + (uint64_t)wall.tv_nsec / 1000 - (uint64_t)own.tv_nsec / 1000;
}

static bool
is_traceparent (const char *text)
{
  return text != NULL && strlen (text) == TRACEPARENT_LEN
         && text[TRACE_AT - 1] == '-' && text[PARENT_AT - 1] == '-'
         && text[PARENT_AT + PARENT_DIGITS] == '-'
         && strspn (text + TRACE_AT, "0123456789abcdef") == TRACE_DIGITS
         && strspn (text + PARENT_AT, "0123456789abcdef") == PARENT_DIGITS;
}

void
mq_spans_add (struct mq_spans *spans, const struct mq_span *span)
{
  struct stored_span *stored = &spans->ring[spans->added % MQ_SPANS_MAX];
  uint64_t offset_us = wall_clock_offset_us ();

  memset (stored, 0, sizeof *stored);
  if (span->name != NULL)
    strncpy (stored->name, span->name, SPAN_NAME_BYTES - 1);
  if (is_traceparent (span->traceparent))
    {
      memcpy (stored->trace, span->traceparent + TRACE_AT, TRACE_DIGITS);
      memcpy (stored->parent, span->traceparent + PARENT_AT, PARENT_DIGITS);
    }
  stored->program = span->program;
  stored->call = span->call;
  stored->start_us = span->start_us + offset_us;
  stored->end_us = span->end_us + offset_us;
  stored->error = span->error;
  spans->added++;
}

static json_t *
span_json (const struct mq_spans *spans, const struct stored_span *stored)
{
  char program[MQ_ID_TEXT];

  mq_id_format (stored->program, program);
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:s}", "name",
      stored->name, "host", spans->host, "data_centre", spans->data_centre,
      "trace", stored->trace, "parent", stored->parent, "program", program,
      "call", (json_int_t)stored->call, "start_us",
      (json_int_t)stored->start_us, "end_us", (json_int_t)stored->end_us,
      "error", mq_error_name (stored->error));
}

char *
mq_spans_json (TALLOC_CTX *ctx, const struct mq_spans *spans,
               struct mq_id program)
{
  uint64_t at = spans->added > MQ_SPANS_MAX ? spans->added - MQ_SPANS_MAX : 0;
  json_t *list = json_array ();
  char *text;
  char *copy;

  for (; at < spans->added; at++)
    {
      const struct stored_span *stored = &spans->ring[at % MQ_SPANS_MAX];

      if (stored->program.hi == program.hi)
        json_array_append_new (list, span_json (spans, stored));
    }
  text = json_dumps (list, JSON_COMPACT);
  copy = text == NULL ? NULL : talloc_strdup (ctx, text);
  free (text);
  json_decref (list);
  return copy;
}
