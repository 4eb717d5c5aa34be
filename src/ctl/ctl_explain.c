/* ctl_explain.c - the story of one request or program from the routers' logs.

   Reads lines of any number of hosts on standard input, in any order; picks
   those of one request, or of all requests of one program, and beside them
   what befell the hosts meanwhile; prints them in order of time, the same
   of one host once with a count.
   Needs: ctl_run.h, jansson.  */

#include "ctl_run.h"
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES 4096
/* What befell the hosts so long before the first line belongs to the story: a
   table that is away shows within a few seconds.  */
#define BEFORE_MS 5000

/**
 * struct story - the lines that were read
 * @lines: objects, all of them until the story is picked
 * @count: how many
 * @from_ms: first time of the request or program
 * @to_ms: last time
 */
struct story
{
  TALLOC_CTX *ctx;
  json_t **lines;
  size_t count;
  json_int_t from_ms;
  json_int_t to_ms;
};

static json_int_t
time_of (const json_t *line)
{
  return json_integer_value (json_object_get (line, "t"));
}

static bool
has_text (const json_t *line, const char *key, const char *value)
{
  const char *text = json_string_value (json_object_get (line, key));

  return text != NULL && strcmp (text, value) == 0;
}

/* A simulated or collected log may have words before the object.  */
static json_t *
read_line (const char *text)
{
  const char *object = strchr (text, '{');

  return object == NULL ? NULL : json_loads (object, 0, NULL);
}

static void
add_line (struct story *story, json_t *line)
{
  json_t **grown
      = talloc_realloc (story->ctx, story->lines, json_t *, story->count + 1);

  if (grown == NULL)
    abort ();
  grown[story->count++] = line;
  story->lines = grown;
}

static void
read_lines (struct story *story)
{
  char text[LINE_BYTES];

  while (fgets (text, sizeof text, stdin) != NULL)
    {
      json_t *line = read_line (text);

      if (json_is_object (line) && json_object_get (line, "event") != NULL)
        add_line (story, line);
      else
        json_decref (line);
    }
}

static bool
is_about (const json_t *line, const char *id)
{
  return has_text (line, "id", id) || has_text (line, "run", id);
}

/* What befalls a host or all of them.  */
static bool
is_setting (const json_t *line)
{
  return json_object_get (line, "id") == NULL
         && json_object_get (line, "run") == NULL
         && !has_text (line, "level", "info");
}

/* The same befalls the same host again, as when it lists its workers.  */
static bool
is_repeat (const json_t *line, const json_t *before)
{
  return before != NULL && is_setting (line) && is_setting (before)
         && json_equal (json_object_get (line, "host"),
                        json_object_get (before, "host"))
         && json_equal (json_object_get (line, "event"),
                        json_object_get (before, "event"));
}

static bool
find_times (struct story *story, const char *id)
{
  bool found = false;

  for (size_t i = 0; i < story->count; i++)
    {
      json_int_t at = time_of (story->lines[i]);
      json_int_t after
          = json_integer_value (json_object_get (story->lines[i], "after_ms"));

      if (!is_about (story->lines[i], id))
        continue;
      if (!found || at - after < story->from_ms)
        story->from_ms = at - after;
      if (!found || at > story->to_ms)
        story->to_ms = at;
      found = true;
    }
  return found;
}

static int
compare_lines (const void *a, const void *b)
{
  const json_t *const *left = a;
  const json_t *const *right = b;
  json_int_t difference = time_of (*left) - time_of (*right);

  if (difference != 0)
    return difference < 0 ? -1 : 1;
  return 0;
}

static bool
belongs (const struct story *story, const json_t *line, const char *id)
{
  json_int_t at = time_of (line);

  if (is_about (line, id))
    return true;
  return is_setting (line) && at >= story->from_ms - BEFORE_MS
         && at <= story->to_ms;
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

/* Keys that every line has; those that tell something stand before the
   others.  */
static bool
is_head (const char *key)
{
  static const char *const keys[]
      = { "t", "host", "event", "program", "level" };

  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    if (strcmp (key, keys[i]) == 0)
      return true;
  return false;
}

static void
print_line (const struct mq_ctl_run *run, const struct story *story,
            json_t *line, const char *id)
{
  const char *host = json_string_value (json_object_get (line, "host"));
  const char *event = json_string_value (json_object_get (line, "event"));
  const char *key;
  json_t *value;

  fprintf (run->out, "%8" JSON_INTEGER_FORMAT " ms  %s%-16s %s",
           time_of (line) - story->from_ms, is_about (line, id) ? "" : "  ",
           host == NULL ? "-" : host, event);
  json_object_foreach (line, key, value)
  {
    if (!is_head (key))
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
print_story (const struct mq_ctl_run *run, const struct story *story,
             const char *id)
{
  const json_t *before = NULL;
  size_t repeats = 0;

  for (size_t i = 0; i < story->count; i++)
    {
      if (!belongs (story, story->lines[i], id))
        continue;
      if (is_repeat (story->lines[i], before))
        {
          repeats++;
          continue;
        }
      print_repeats (run, repeats);
      repeats = 0;
      print_line (run, story, story->lines[i], id);
      before = story->lines[i];
    }
  print_repeats (run, repeats);
}

enum mq_ctl_exit
mq_ctl_explain (const struct mq_ctl_run *run, const char *id)
{
  struct story story = { .ctx = run->ctx };
  struct mq_error error = { 0 };
  enum mq_ctl_exit code = MQ_CTL_OK;

  read_lines (&story);
  if (find_times (&story, id))
    {
      qsort (story.lines, story.count, sizeof (json_t *), compare_lines);
      print_story (run, &story, id);
    }
  else
    {
      mq_error_set (&error, MQ_ERR_NOT_FOUND, id,
                    "an id or a program of the lines on standard input");
      code = mq_ctl_report_error (run, &error);
    }
  for (size_t i = 0; i < story.count; i++)
    json_decref (story.lines[i]);
  return code;
}
