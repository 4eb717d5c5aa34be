/* test_io.c - log lines, metrics and trace spans.

   Needs: Criterion, jansson.  */

#include "core/id.h"
#include "core/limits.h"
#include "log/log.h"
#include "log/metrics.h"
#include "log/spans.h"
#include <criterion/criterion.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define LINE_BYTES 4096

/* Runs WRITE_LINE with standard output redirected to LINE.  */
static void
capture (char line[LINE_BYTES], void (*write_line) (size_t row), size_t row)
{
  int ends[2];
  int saved = dup (STDOUT_FILENO);
  ssize_t got;

  cr_assert_eq (pipe (ends), 0);
  dup2 (ends[1], STDOUT_FILENO);
  close (ends[1]);
  write_line (row);
  dup2 (saved, STDOUT_FILENO);
  close (saved);
  got = read (ends[0], line, LINE_BYTES - 1);
  close (ends[0]);
  line[got < 0 ? 0 : got] = '\0';
}

static const char long_value[] = { [0 ... 4000] = 'v', [4001] = '\0' };

/* Parses the single written line as JSON.  */
static json_t *
read_line (const char *line, const char *name)
{
  json_t *json = json_loads (line, 0, NULL);

  cr_assert_not_null (json, "%s: %s", name, line);
  cr_expect_eq (strchr (line, '\n'), line + strlen (line) - 1, "%s", name);
  return json;
}

static const char *
text_at (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return text == NULL ? "" : text;
}

static const struct
{
  const char *name;
  const char *value;
  const char *expected;
} value_rows[] = {
  { "plain", "10.0.0.1:80", "10.0.0.1:80" },
  { "empty", "", "" },
  { "none", NULL, "" },
  { "space", "a b", "a b" },
  { "quote", "a\"b\\", "a\"b\\" },
  { "forged line", "a\n{\"event\":\"b\"}", "a\n{\"event\":\"b\"}" },
  { "forged key", "a\",\"level\":\"b", "a\",\"level\":\"b" },
  { "control", "\r\x1b", "\r\x1b" },
  { "too long", long_value, "" },
};

static void
write_value (size_t row)
{
  struct mq_state_line line = { .change = MQ_STATE_PEER_UP,
                                .number = 7,
                                .subject = value_rows[row].value };

  mq_log_state (&line);
}

/* Line breaks and quotes in a caller's value must not forge a line or a
   key.  */
Test (log, values)
{
  char line[LINE_BYTES];

  for (size_t i = 0; i < ROWS (value_rows); i++)
    {
      const char *name = value_rows[i].name;
      json_t *json;

      mq_log_open ("mimosa-test", "host-1");
      capture (line, write_value, i);
      json = read_line (line, name);
      cr_expect_str_eq (text_at (json, "other"), value_rows[i].expected, "%s",
                        name);
      cr_expect_str_eq (text_at (json, "event"), "peer_up", "%s", name);
      cr_expect_str_eq (text_at (json, "level"), "notice", "%s", name);
      cr_expect_str_eq (text_at (json, "host"), "host-1", "%s", name);
      cr_expect_str_eq (text_at (json, "program"), "mimosa-test", "%s", name);
      cr_expect_eq (json_integer_value (json_object_get (json, "peer")), 7);
      cr_expect_gt (json_integer_value (json_object_get (json, "t")), 0);
      json_decref (json);
    }
}

static const struct
{
  enum mq_state_change change;
  uint64_t number;
  const char *subject;
  const char *event;
  const char *number_key; /* NULL: no number */
  const char *subject_key;
} state_rows[] = {
  { MQ_STATE_PARTITION_OWNED, 17, "", "partition_owned", "partition", NULL },
  { MQ_STATE_PEER_TIMED_OUT, 3, "host-2", "peer_silent", "peer", "other" },
  { MQ_STATE_STORE_DOWN, 0, NULL, "table_down", NULL, NULL },
  { MQ_STATE_UNKNOWN_CALL, 2, "ab", "unknown_call", "call", "run" },
  { MQ_STATE_ORDER, 1, "", "order", "worker", NULL },
  { MQ_STATE_CONFIG, 4, "sum", "config_in_force", "version", "subject" },
};

static void
write_state (size_t row)
{
  struct mq_state_line line = { .change = state_rows[row].change,
                                .number = state_rows[row].number,
                                .subject = state_rows[row].subject };

  mq_log_state (&line);
}

static void
write_change (size_t change)
{
  struct mq_state_line line = { .change = (enum mq_state_change)change,
                                .number = 1,
                                .subject = "x" };

  mq_log_state (&line);
}

Test (log, states)
{
  char line[LINE_BYTES];

  mq_log_open ("mimosa-test", "host-1");
  for (size_t i = 0; i < ROWS (state_rows); i++)
    {
      const char *event = state_rows[i].event;
      const char *number_key = state_rows[i].number_key;
      const char *subject_key = state_rows[i].subject_key;
      size_t keys = 5 + (number_key != NULL) + (subject_key != NULL);
      json_t *json;

      capture (line, write_state, i);
      json = read_line (line, event);
      cr_expect_str_eq (text_at (json, "event"), event);
      cr_expect_eq (json_object_size (json), keys, "%s", line);
      if (number_key != NULL)
        cr_expect_eq (
            (uint64_t)json_integer_value (json_object_get (json, number_key)),
            state_rows[i].number, "%s", line);
      if (subject_key != NULL)
        cr_expect_str_eq (text_at (json, subject_key), state_rows[i].subject);
      json_decref (json);
    }
}

/* Each state change writes a line, and the schema allows all keys of it;
   unknown keys would be omitted.  */
Test (log, every_state_change_writes_a_line)
{
  char line[LINE_BYTES];

  for (size_t change = 0; change <= MQ_STATE_ORDER; change++)
    {
      json_t *json;

      mq_log_open ("mimosa-test", "host-1");
      capture (line, write_change, change);
      json = read_line (line, "change");
      cr_expect_geq (json_object_size (json), 6, "%zu: %s", change, line);
      json_decref (json);
    }
}

static void
write_failure (size_t row)
{
  struct mq_error error = { .type = MQ_ERR_IO,
                            .ran = MQ_RAN_NOT_RUN,
                            .number = 98,
                            .subject = "127.0.0.1:80" };

  (void)row;
  mq_log_failure (MQ_LOG_START_FAILED, &error);
}

Test (log, failure)
{
  char line[LINE_BYTES];
  json_t *json;

  mq_log_open ("mimosa-test", "host-1");
  capture (line, write_failure, 0);
  json = read_line (line, "failure");
  cr_expect_str_eq (text_at (json, "event"), "start_failed");
  cr_expect_str_eq (text_at (json, "level"), "error");
  cr_expect_str_eq (text_at (json, "error"), "io");
  cr_expect_str_eq (text_at (json, "ran"), "not_run");
  cr_expect_eq (json_integer_value (json_object_get (json, "number")), 98);
  cr_expect_str_eq (text_at (json, "subject"), "127.0.0.1:80");
  cr_expect_str_neq (text_at (json, "cause"), "");
  json_decref (json);
}

static long
process_value (const char *text, const char *name)
{
  char *start = talloc_asprintf (NULL, "\nmimosa_process_%s ", name);
  const char *at = strstr (text, start);

  cr_assert_not_null (at, "%s", name);
  at += strlen (start);
  talloc_free (start);
  return strtol (at, NULL, 10);
}

Test (metrics, text)
{
  char *text = talloc_strdup (NULL, "");
  static const char *const process[] = {
    "# TYPE mimosa_process_cpu_seconds_total counter\n",
    "# TYPE mimosa_process_resident_bytes gauge\n",
    "# TYPE mimosa_process_open_files gauge\n",
  };
  long files;

  mq_metrics_add (&text, "gate", "calls_total", "Calls let through.",
                  UINT64_MAX);
  mq_metrics_add (&text, "gate", "queued", "Calls that wait.", 0);
  cr_expect_str_eq (text, "# HELP mimosa_gate_calls_total Calls let through.\n"
                          "# TYPE mimosa_gate_calls_total counter\n"
                          "mimosa_gate_calls_total 18446744073709551615\n"
                          "# HELP mimosa_gate_queued Calls that wait.\n"
                          "# TYPE mimosa_gate_queued gauge\n"
                          "mimosa_gate_queued 0\n");
  mq_metrics_add_process (&text);
  for (size_t i = 0; i < ROWS (process); i++)
    cr_expect_not_null (strstr (text, process[i]), "%s", process[i]);
  cr_expect_gt (process_value (text, "resident_bytes"), 100000);
  files = process_value (text, "open_files");
  cr_expect_geq (dup (STDOUT_FILENO), 0);
  talloc_free (text);
  text = talloc_strdup (NULL, "");
  mq_metrics_add_process (&text);
  cr_expect_eq (process_value (text, "open_files"), files + 1);
  talloc_free (text);
}

#define TRACE "0123456789abcdef0123456789abcdef"
#define PARENT "fedcba9876543210"

Test (spans, traceparents)
{
  static const struct
  {
    const char *traceparent;
    const char *trace;
    const char *parent;
  } rows[] = {
    { "00-" TRACE "-" PARENT "-01", TRACE, PARENT },
    { NULL, "", "" },
    { "", "", "" },
    { "00-" TRACE "-" PARENT, "", "" },
    { "00-" TRACE "_" PARENT "-01", "", "" },
    { "00-0123456789ABCDEF0123456789abcdef-" PARENT "-01", "", "" },
  };
  struct mq_id program = { 1, 2 };
  struct mq_spans *spans = mq_spans_create (NULL, "host-1", "hann");
  char *text;
  json_t *list;

  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct mq_span span = { .name = "queue",
                              .traceparent = rows[i].traceparent,
                              .program = program };

      mq_spans_add (spans, &span);
    }
  text = mq_spans_json (spans, spans, program);
  list = json_loads (text, 0, NULL);
  cr_assert_eq (json_array_size (list), ROWS (rows));
  for (size_t i = 0; i < ROWS (rows); i++)
    {
      json_t *item = json_array_get (list, i);

      cr_expect_str_eq (json_string_value (json_object_get (item, "trace")),
                        rows[i].trace);
      cr_expect_str_eq (json_string_value (json_object_get (item, "parent")),
                        rows[i].parent);
    }
  json_decref (list);
  mq_spans_destroy (spans);
}

static json_t *
field (json_t *list, size_t at, const char *name)
{
  return json_object_get (json_array_get (list, at), name);
}

/* The ring overwrites the oldest spans.  The spans of a program include those
   of its sub-programs, in the order added, with wall-clock times.  */
Test (spans, ring)
{
  struct mq_id program = { 7, 1 };
  struct mq_id child = mq_id_child (program, 3);
  struct mq_id other = { 8, 1 };
  struct mq_spans *spans = mq_spans_create (NULL, "host-1", "hann");
  struct mq_span span = { .name = "target", .call = 3 };
  json_int_t now_us = (json_int_t)time (NULL) * 1000000;
  struct timespec own;
  char *text;
  json_t *list;

  clock_gettime (CLOCK_MONOTONIC, &own);
  span.start_us = (uint64_t)own.tv_sec * 1000000;
  span.end_us = span.start_us + 1500;
  for (uint32_t i = 0; i < MQ_SPANS_MAX + 4; i++)
    {
      span.program = i % 2 == 0 ? other : i % 4 == 1 ? program : child;
      span.call = i;
      span.error = i % 4 == 1 ? MQ_ERR_NONE : MQ_ERR_TIMEOUT;
      mq_spans_add (spans, &span);
    }
  text = mq_spans_json (spans, spans, program);
  list = json_loads (text, 0, NULL);
  cr_assert_eq (json_array_size (list), MQ_SPANS_MAX / 2);
  for (size_t i = 0; i < MQ_SPANS_MAX / 2; i++)
    cr_assert_eq (json_integer_value (field (list, i, "call")),
                  (json_int_t)(5 + 2 * i));
  cr_expect_str_eq (json_string_value (field (list, 0, "name")), "target");
  cr_expect_str_eq (json_string_value (field (list, 0, "host")), "host-1");
  cr_expect_str_eq (json_string_value (field (list, 0, "data_centre")),
                    "hann");
  cr_expect_str_eq (json_string_value (field (list, 0, "program")),
                    "00000000000000070000000000000001");
  cr_expect_str_eq (json_string_value (field (list, 0, "error")), "ok");
  cr_expect_str_eq (json_string_value (field (list, 1, "error")), "timeout");
  cr_expect_eq (json_integer_value (field (list, 0, "end_us"))
                    - json_integer_value (field (list, 0, "start_us")),
                1500);
  cr_expect_leq (
      llabs (json_integer_value (field (list, 0, "start_us")) - now_us),
      60000000);
  json_decref (list);
  text = mq_spans_json (spans, spans, (struct mq_id){ 9, 9 });
  cr_expect_str_eq (text, "[]");
  mq_spans_destroy (spans);
}
