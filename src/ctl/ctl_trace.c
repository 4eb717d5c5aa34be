/* ctl_trace.c - the spans of one program from every host, drawn as a tree.

   Needs: ctl_trace.h.  */

#include "ctl_trace.h"
#include <stdlib.h>
#include <string.h>

#define CALL_SEARCH_MARGIN 64U /* ids tried beyond the last call */
#define BAR_WIDTH 30
#define INDENT 2
#define LABEL_WIDTH 46
#define US_PER_MS 1000.0

struct span
{
  const char *name;
  const char *host;
  const char *data_centre;
  const char *error;
  struct mq_id program;
  uint32_t call;
  int64_t start_us;
  int64_t end_us;
};

/**
 * struct program - a program of the trace
 * @last_call: number of its last call that has a span
 * @parent: index of the program that started it; -1 if not in the trace
 * @call: number of the call of @parent that started it
 */
struct program
{
  struct mq_id id;
  uint32_t last_call;
  int32_t parent;
  uint32_t call;
};

struct trace
{
  struct span *spans; /* ordered by program, call, start */
  size_t span_count;
  struct program *programs;
  size_t program_count;
  int64_t start_us;
  int64_t end_us;
  char *text;
};

/* Reading.  */

static const char *
get_text (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text == NULL ? "" : text;
}

static int64_t
get_number (const json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

static bool
read_span (struct span *span, const json_t *json)
{
  span->name = get_text (json, "name");
  span->host = get_text (json, "host");
  span->data_centre = get_text (json, "data_centre");
  span->error = get_text (json, "error");
  span->call = (uint32_t)get_number (json, "call");
  span->start_us = get_number (json, "start_us");
  span->end_us = get_number (json, "end_us");
  if (span->end_us < span->start_us)
    span->end_us = span->start_us;
  return mq_id_parse (get_text (json, "program"), &span->program);
}

static int
compare_spans (const void *left, const void *right)
{
  const struct span *a = left;
  const struct span *b = right;
  int order = mq_id_compare (a->program, b->program);

  if (order != 0)
    return order;
  if (a->call != b->call)
    return a->call < b->call ? -1 : 1;
  if (a->start_us != b->start_us)
    return a->start_us < b->start_us ? -1 : 1;
  if (a->end_us != b->end_us)
    return a->end_us < b->end_us ? -1 : 1;
  return strcmp (a->name, b->name);
}

static void
read_spans (struct trace *trace, const json_t *spans)
{
  size_t i;
  json_t *json;

  trace->spans
      = talloc_zero_array (trace, struct span, json_array_size (spans));
  json_array_foreach (spans, i, json)
  {
    if (read_span (&trace->spans[trace->span_count], json))
      trace->span_count++;
  }
  if (trace->span_count > 1)
    qsort (trace->spans, trace->span_count, sizeof trace->spans[0],
           compare_spans);
}

static void
find_bounds (struct trace *trace)
{
  for (size_t i = 0; i < trace->span_count; i++)
    {
      if (i == 0 || trace->spans[i].start_us < trace->start_us)
        trace->start_us = trace->spans[i].start_us;
      if (i == 0 || trace->spans[i].end_us > trace->end_us)
        trace->end_us = trace->spans[i].end_us;
    }
}

static void
find_programs (struct trace *trace)
{
  trace->programs
      = talloc_zero_array (trace, struct program, trace->span_count);
  for (size_t i = 0; i < trace->span_count; i++)
    {
      const struct span *span = &trace->spans[i];
      bool first = i == 0 || !mq_id_equal (span->program, span[-1].program);
      struct program *program;

      if (first)
        trace->program_count++;
      program = &trace->programs[trace->program_count - 1];
      if (first)
        *program = (struct program){ .id = span->program, .parent = -1 };
      program->last_call = span->call;
    }
}

/* Sets PARENT as the parent of CHILD if the id of CHILD derives from one of
   PARENT's calls.  Needs no span of the call, which may be lost.  */
static void
link_if_child (struct trace *trace, size_t parent, size_t child)
{
  uint32_t last = trace->programs[parent].last_call + CALL_SEARCH_MARGIN;

  for (uint32_t call = 1; call <= last; call++)
    if (mq_id_equal (mq_id_child (trace->programs[parent].id, call),
                     trace->programs[child].id))
      {
        trace->programs[child].parent = (int32_t)parent;
        trace->programs[child].call = call;
        return;
      }
}

static void
link_programs (struct trace *trace)
{
  for (size_t parent = 0; parent < trace->program_count; parent++)
    for (size_t child = 0; child < trace->program_count; child++)
      if (child != parent && trace->programs[child].parent < 0)
        link_if_child (trace, parent, child);
}

/* Drawing.  */

/* Draws the position of SPAN within the trace.  */
static void
draw_bar (const struct trace *trace, const struct span *span,
          char bar[BAR_WIDTH + 1])
{
  int64_t whole = trace->end_us - trace->start_us;
  int64_t from = 0;
  int64_t to = BAR_WIDTH;

  if (whole > 0)
    {
      from = (span->start_us - trace->start_us) * BAR_WIDTH / whole;
      to = (span->end_us - trace->start_us) * BAR_WIDTH / whole;
    }
  if (from >= BAR_WIDTH)
    from = BAR_WIDTH - 1;
  if (to <= from)
    to = from + 1;
  for (int i = 0; i < BAR_WIDTH; i++)
    bar[i] = i >= from && i < to ? '=' : ' ';
  bar[BAR_WIDTH] = '\0';
}

static void
draw_span (struct trace *trace, const struct span *span, int depth)
{
  char bar[BAR_WIDTH + 1];
  char *label = talloc_asprintf (trace, "%*s%s %s", depth * INDENT, "",
                                 span->name, span->host);
  bool failed = *span->error != '\0' && strcmp (span->error, "ok") != 0;

  if (*span->data_centre != '\0')
    label = talloc_asprintf_append (label, " (%s)", span->data_centre);
  draw_bar (trace, span, bar);
  trace->text = talloc_asprintf_append_buffer (
      trace->text, "%-*s %10.3f %10.3f ms |%s|%s%s\n", LABEL_WIDTH, label,
      (double)(span->start_us - trace->start_us) / US_PER_MS,
      (double)(span->end_us - span->start_us) / US_PER_MS, bar,
      failed ? " " : "", failed ? span->error : "");
  talloc_free (label);
}

static void draw_program (struct trace *trace, size_t index, int depth);

static void
draw_children (struct trace *trace, size_t index, uint32_t from, uint32_t to,
               int depth)
{
  for (size_t i = 0; i < trace->program_count; i++)
    if (trace->programs[i].parent == (int32_t)index
        && trace->programs[i].call >= from && trace->programs[i].call <= to)
      draw_program (trace, i, depth);
}

static void
draw_call_header (struct trace *trace, uint32_t call, int depth)
{
  trace->text = talloc_asprintf_append_buffer (trace->text, "%*scall %u\n",
                                               depth * INDENT, "", call);
}

static bool
is_span_of_program (const struct trace *trace, size_t i, size_t program)
{
  return mq_id_equal (trace->spans[i].program, trace->programs[program].id);
}

/* Spans are ordered by program and call, so one pass visits each call once.
   Sub-programs of calls without spans are drawn between them.  */
static void
draw_program (struct trace *trace, size_t index, int depth)
{
  char id[MQ_ID_TEXT];
  uint32_t drawn = 0; /* last call drawn */

  mq_id_format (trace->programs[index].id, id);
  trace->text = talloc_asprintf_append_buffer (trace->text, "%*sprogram %s",
                                               depth * INDENT, "", id);
  if (trace->programs[index].parent >= 0)
    trace->text = talloc_asprintf_append_buffer (
        trace->text, ", started by call %u", trace->programs[index].call);
  trace->text = talloc_strdup_append_buffer (trace->text, "\n");
  for (size_t i = 0; i < trace->span_count; i++)
    {
      const struct span *span = &trace->spans[i];

      if (!is_span_of_program (trace, i, index))
        continue;
      if (span->call > drawn)
        {
          draw_children (trace, index, drawn + 1, span->call - 1, depth + 1);
          draw_call_header (trace, span->call, depth + 1);
          drawn = span->call;
        }
      draw_span (trace, span, depth + (span->call > 0 ? 2 : 1));
      if (i + 1 == trace->span_count
          || !is_span_of_program (trace, i + 1, index)
          || trace->spans[i + 1].call != span->call)
        draw_children (trace, index, span->call, span->call, depth + 2);
    }
  draw_children (trace, index, drawn + 1, UINT32_MAX, depth + 1);
}

static bool
is_in_trace (const struct trace *trace, struct mq_id program)
{
  for (size_t i = 0; i < trace->program_count; i++)
    if (mq_id_equal (trace->programs[i].id, program))
      return true;
  return false;
}

static void
draw_all (struct trace *trace, struct mq_id program)
{
  char id[MQ_ID_TEXT];

  mq_id_format (program, id);
  trace->text = talloc_asprintf_append_buffer (
      trace->text, "%-*s %10s %13s\n", LABEL_WIDTH, "hop, host (data centre)",
      "start ms", "length");
  if (!is_in_trace (trace, program))
    trace->text = talloc_asprintf_append_buffer (
        trace->text, "program %s: no spans are kept of it\n", id);
  for (size_t i = 0; i < trace->program_count; i++)
    if (trace->programs[i].parent < 0)
      draw_program (trace, i, 0);
}

char *
mq_ctl_trace_text (TALLOC_CTX *ctx, const json_t *spans, struct mq_id program)
{
  struct trace *trace = talloc_zero (ctx, struct trace);
  char *text;

  trace->text = talloc_strdup (trace, "");
  read_spans (trace, spans);
  find_bounds (trace);
  find_programs (trace);
  link_programs (trace);
  draw_all (trace, program);
  text = talloc_steal (ctx, trace->text);
  talloc_free (trace);
  return text;
}
