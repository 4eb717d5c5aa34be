/* ctl_explain.c - timeline of one request or program from the routers' logs.

   Reads log lines of any number of hosts from standard input, in any order.
   Prints in time order the events of the request, or of all requests of the
   program, and the warnings and errors of hosts in the same period.
   Consecutive repeats of a host event are printed once with a count.
   Needs: ctl_run.h, jansson.  */

#include "ctl_run.h"
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES 4096
/* Host events this long before the first event of the request are included. */
#define LEAD_TIME_MS 5000

/**
 * struct timeline - the log lines read
 * @lines: JSON objects, of unrelated requests too
 * @from_ms: start of the request or program
 * @to_ms: its last event
 */
struct timeline
{
  TALLOC_CTX *ctx;
  json_t **lines;
  size_t count;
  json_int_t from_ms;
  json_int_t to_ms;
};

static json_int_t
line_time_ms (const json_t *line)
{
  return json_integer_value (json_object_get (line, "t"));
}

static bool
has_text (const json_t *line, const char *key, const char *value)
{
  const char *text = json_string_value (json_object_get (line, key));

  return text != NULL && strcmp (text, value) == 0;
}

/* A simulator or log collector may put text before the JSON object.  */
static json_t *
read_line (const char *text)
{
  const char *object = strchr (text, '{');

  return object == NULL ? NULL : json_loads (object, 0, NULL);
}

static void
add_line (struct timeline *timeline, json_t *line)
{
  json_t **grown = talloc_realloc (timeline->ctx, timeline->lines, json_t *,
                                   timeline->count + 1);

  if (grown == NULL)
    abort ();
  grown[timeline->count++] = line;
  timeline->lines = grown;
}

static void
read_lines (struct timeline *timeline)
{
  char text[LINE_BYTES];

  while (fgets (text, sizeof text, stdin) != NULL)
    {
      json_t *line = read_line (text);

      if (json_is_object (line) && json_object_get (line, "event") != NULL)
        add_line (timeline, line);
      else
        json_decref (line);
    }
}

static bool
is_about (const json_t *line, const char *id)
{
  return has_text (line, "id", id) || has_text (line, "run", id);
}

/* Returns true for warnings and errors that concern no single request.  */
static bool
is_host_event (const json_t *line)
{
  return json_object_get (line, "id") == NULL
         && json_object_get (line, "run") == NULL
         && !has_text (line, "level", "info");
}

/* Returns true if LINE repeats the event and host of BEFORE.  */
static bool
is_repeat (const json_t *line, const json_t *before)
{
  return before != NULL && is_host_event (line) && is_host_event (before)
         && json_equal (json_object_get (line, "host"),
                        json_object_get (before, "host"))
         && json_equal (json_object_get (line, "event"),
                        json_object_get (before, "event"));
}

static bool
find_times (struct timeline *timeline, const char *id)
{
  bool found = false;

  for (size_t i = 0; i < timeline->count; i++)
    {
      json_int_t at = line_time_ms (timeline->lines[i]);
      json_int_t after = json_integer_value (
          json_object_get (timeline->lines[i], "after_ms"));

      if (!is_about (timeline->lines[i], id))
        continue;
      if (!found || at - after < timeline->from_ms)
        timeline->from_ms = at - after;
      if (!found || at > timeline->to_ms)
        timeline->to_ms = at;
      found = true;
    }
  return found;
}

static int
compare_lines (const void *a, const void *b)
{
  const json_t *const *left = a;
  const json_t *const *right = b;
  json_int_t difference = line_time_ms (*left) - line_time_ms (*right);

  if (difference != 0)
    return difference < 0 ? -1 : 1;
  return 0;
}

static bool
is_in_timeline (const struct timeline *timeline, const json_t *line,
                const char *id)
{
  json_int_t at = line_time_ms (line);

  if (is_about (line, id))
    return true;
  return is_host_event (line) && at >= timeline->from_ms - LEAD_TIME_MS
         && at <= timeline->to_ms;
}

static void
print_value (const struct mq_ctl_run *run, const char *key,
             const json_t *value)
{
  if (json_is_string (value))
    fprintf (run->out, " %s=%s", key, json_string_value (value));
  else if (json_is_integer (value))
    fprintf (run->out, " %s=%" JSON_INTEGER_FORMAT, key,
             json_integer_value (value));
}

/* Returns true for the keys that every line has.  */
static bool
is_common_key (const char *key)
{
  static const char *const keys[]
      = { "t", "host", "event", "program", "level" };

  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    if (strcmp (key, keys[i]) == 0)
      return true;
  return false;
}

static void
print_line (const struct mq_ctl_run *run, const struct timeline *timeline,
            json_t *line, const char *id)
{
  const char *host = json_string_value (json_object_get (line, "host"));
  const char *event = json_string_value (json_object_get (line, "event"));
  const char *key;
  json_t *value;

  fprintf (run->out, "%8" JSON_INTEGER_FORMAT " ms  %s%-16s %s",
           line_time_ms (line) - timeline->from_ms,
           is_about (line, id) ? "" : "  ", host == NULL ? "-" : host, event);
  json_object_foreach (line, key, value)
  {
    if (!is_common_key (key))
      print_value (run, key, value);
  }
  fputc ('\n', run->out);
}

static void
print_repeats (const struct mq_ctl_run *run, size_t repeats)
{
  if (repeats > 0)
    fprintf (run->out, "%8s     and %zu more of these\n", "", repeats);
}

static void
print_timeline (const struct mq_ctl_run *run, const struct timeline *timeline,
                const char *id)
{
  const json_t *before = NULL;
  size_t repeats = 0;

  for (size_t i = 0; i < timeline->count; i++)
    {
      if (!is_in_timeline (timeline, timeline->lines[i], id))
        continue;
      if (is_repeat (timeline->lines[i], before))
        {
          repeats++;
          continue;
        }
      print_repeats (run, repeats);
      repeats = 0;
      print_line (run, timeline, timeline->lines[i], id);
      before = timeline->lines[i];
    }
  print_repeats (run, repeats);
}

enum mq_ctl_exit
mq_ctl_explain (const struct mq_ctl_run *run, const char *id)
{
  struct timeline timeline = { .ctx = run->ctx };
  struct mq_error error = { 0 };
  enum mq_ctl_exit code = MQ_CTL_OK;

  read_lines (&timeline);
  if (find_times (&timeline, id))
    {
      qsort (timeline.lines, timeline.count, sizeof (json_t *), compare_lines);
      print_timeline (run, &timeline, id);
    }
  else
    {
      mq_error_set (&error, MQ_ERR_NOT_FOUND, id,
                    "an id or a program of the lines on standard input");
      code = mq_ctl_report_error (run, &error);
    }
  for (size_t i = 0; i < timeline.count; i++)
    json_decref (timeline.lines[i]);
  return code;
}
