/* log.c - syslog-style lines on standard error.

   A line is put together in a buffer and written with one call, so that
   lines of several processes on one descriptor do not run into each other.
   Needs: the C library.  */

#include "log.h"
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES 1024
#define NUMBER_BYTES 24
#define FACILITY_DAEMON 3

static char log_program[MQ_NAME_MAX] = "mimosaquay";
static char log_host[MQ_NAME_MAX] = "-";
static enum mq_log_level log_most = MQ_LOG_INFO;

struct line
{
  char text[LINE_BYTES];
  size_t len;
};

/**
 * struct state_row - how a change of state is written
 * @event: the line's event
 * @level: its level
 * @number_key: key of the line's number, NULL: it has none
 * @subject_key: key of the line's subject
 */
struct state_row
{
  const char *event;
  enum mq_log_level level;
  const char *number_key;
  const char *subject_key;
};

static const struct state_row state_rows[] = {
  [MQ_STATE_PARTITION_OWNED]
  = { "partition_owned", MQ_LOG_NOTICE, "partition", "host" },
  [MQ_STATE_PARTITION_LOST]
  = { "partition_lost", MQ_LOG_WARNING, "partition", "host" },
  [MQ_STATE_PARTITION_RELEASED]
  = { "partition_released", MQ_LOG_NOTICE, "partition", "host" },
  [MQ_STATE_STORE_DOWN] = { "store_down", MQ_LOG_ERROR, NULL, "subject" },
  [MQ_STATE_STORE_UP] = { "store_up", MQ_LOG_NOTICE, NULL, "subject" },
  [MQ_STATE_PEER_UP] = { "peer_up", MQ_LOG_NOTICE, "peer", "host" },
  [MQ_STATE_PEER_DOWN] = { "peer_down", MQ_LOG_WARNING, "peer", "host" },
  [MQ_STATE_PEER_SILENT] = { "peer_silent", MQ_LOG_WARNING, "peer", "host" },
  [MQ_STATE_LEAVING] = { "leaving", MQ_LOG_NOTICE, NULL, "host" },
  [MQ_STATE_DRAINED] = { "drained", MQ_LOG_NOTICE, NULL, "host" },
  [MQ_STATE_CONFIG] = { "config", MQ_LOG_NOTICE, "version", "subject" },
  [MQ_STATE_UNKNOWN_CALL]
  = { "unknown_call", MQ_LOG_ERROR, "call", "program" },
  [MQ_STATE_LOOP_SUSPECTED]
  = { "loop_suspected", MQ_LOG_WARNING, "call", "program" },
  [MQ_STATE_EVICT_RETRY]
  = { "evict_retry", MQ_LOG_WARNING, "worker", "program" },
  [MQ_STATE_ORDER] = { "order", MQ_LOG_NOTICE, "worker", "subject" },
};

static void
put_char (struct line *line, char c)
{
  /* The last byte is kept for the line's end.  */
  if (line->len < LINE_BYTES - 1)
    line->text[line->len++] = c;
}

static void
put_text (struct line *line, const char *text)
{
  for (; *text != '\0'; text++)
    put_char (line, *text);
}

static bool
is_plain (const char *value)
{
  if (*value == '\0')
    return false;
  for (; *value != '\0'; value++)
    if ((unsigned char)*value <= ' ' || *value == 0x7f || *value == '"'
        || *value == '=' || *value == '\\')
      return false;
  return true;
}

static void
put_escaped (struct line *line, char c)
{
  static const char digits[] = "0123456789abcdef";

  if (c == '"' || c == '\\')
    {
      put_char (line, '\\');
      put_char (line, c);
    }
  else if (c == '\n')
    put_text (line, "\\n");
  else if ((unsigned char)c < ' ' || c == 0x7f)
    {
      put_text (line, "\\x");
      put_char (line, digits[(unsigned char)c >> 4]);
      put_char (line, digits[(unsigned char)c & 15]);
    }
  else
    put_char (line, c);
}

/* A value that a caller chose could else end the line and forge another.  */
static void
put_value (struct line *line, const char *value)
{
  if (is_plain (value))
    {
      put_text (line, value);
      return;
    }
  put_char (line, '"');
  for (; *value != '\0'; value++)
    put_escaped (line, *value);
  put_char (line, '"');
}

static void
put_pair (struct line *line, const char *key, const char *value)
{
  put_char (line, ' ');
  put_text (line, key);
  put_char (line, '=');
  put_value (line, value == NULL ? "" : value);
}

static void
put_head (struct line *line, enum mq_log_level level, const char *event)
{
  char head[LINE_BYTES / 2];
  char stamp[32];
  time_t now = time (NULL);
  struct tm parts;

  localtime_r (&now, &parts);
  strftime (stamp, sizeof stamp, "%b %e %H:%M:%S", &parts);
  snprintf (head, sizeof head,
            "<%d>%s %s %s[%ld]: ", FACILITY_DAEMON * 8 + (int)level, stamp,
            log_host, log_program, (long)getpid ());
  line->len = 0;
  put_text (line, head);
  put_text (line, event);
}

/* Standard error that takes no more loses the line: a daemon must not stop
   for its log.  */
static void
line_end (struct line *line)
{
  ssize_t written;

  line->text[line->len++] = '\n';
  written = write (STDERR_FILENO, line->text, line->len);
  (void)written;
}

void
mq_log_open (const char *program, const char *host, enum mq_log_level most)
{
  snprintf (log_program, sizeof log_program, "%s", program);
  snprintf (log_host, sizeof log_host, "%s", host);
  log_most = most;
}

void
mq_log_write (enum mq_log_level level, const char *event, ...)
{
  struct line line;
  const char *key;
  va_list pairs;

  if (level > log_most)
    return;
  put_head (&line, level, event);
  va_start (pairs, event);
  while ((key = va_arg (pairs, const char *)) != NULL)
    {
      const char *value = va_arg (pairs, const char *);

      put_pair (&line, key, value);
    }
  va_end (pairs);
  line_end (&line);
}

void
mq_log_state (const struct mq_state_line *state)
{
  const struct state_row *row;
  char number[NUMBER_BYTES];
  struct line line;

  if ((size_t)state->change >= sizeof state_rows / sizeof state_rows[0])
    return;
  row = &state_rows[state->change];
  if (row->level > log_most)
    return;
  put_head (&line, row->level, row->event);
  snprintf (number, sizeof number, "%" PRIu64, state->number);
  if (row->number_key != NULL)
    put_pair (&line, row->number_key, number);
  if (state->subject != NULL && state->subject[0] != '\0')
    put_pair (&line, row->subject_key, state->subject);
  line_end (&line);
}

static void
put_number (struct line *line, const char *key, int64_t value)
{
  char number[NUMBER_BYTES];

  if (value == 0)
    return;
  snprintf (number, sizeof number, "%" PRId64, value);
  put_pair (line, key, number);
}

void
mq_log_failure (const char *event, const struct mq_error *error)
{
  struct line line;

  if (log_most < MQ_LOG_ERROR)
    return;
  put_head (&line, MQ_LOG_ERROR, event);
  put_pair (&line, "error", mq_error_name (error->type));
  put_pair (&line, "ran", mq_ran_name (error->ran));
  put_number (&line, "number", error->number);
  put_number (&line, "line", error->line);
  put_number (&line, "column", error->column);
  if (error->subject[0] != '\0')
    put_pair (&line, "subject", error->subject);
  if (error->allowed[0] != '\0')
    put_pair (&line, "allowed", error->allowed);
  put_pair (&line, "cause", mq_error_cause (error->type));
  put_pair (&line, "remedy", mq_error_remedy (error->type));
  line_end (&line);
}
