/* json_log.c - log of JSON lines with a rate limit.

   Needs: json_log.h, buffer.h, clock.h, timer.h.  */

#include "json_log.h"
#include "net/buffer.h"
#include "net/clock.h"
#include "net/timer.h"
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Maximum bytes of buffered lines.  */
#define OUTPUT_BUFFER_BYTES ((size_t)64 << 10)
#define FLUSH_BYTES ((size_t)8 << 10)
#define FLUSH_MS 50U
/* Bytes reserved for the end of a line.  */
#define LINE_END_BYTES ((size_t)4)

/**
 * struct mq_json_log - output buffer and rate limit
 * @second: second to which @lines and @low_priority_lines refer
 * @lines: lines accepted in that second
 * @low_priority_lines: of these, low-priority ones
 * @unknown_key_count: values omitted because the schema lacks their key
 */
struct mq_json_log
{
  struct tevent_context *ev;
  struct mq_timer *timer;
  struct mq_buffer output;
  const char *program;
  const char *host;
  int fd;
  uint64_t second;
  uint32_t lines;
  uint32_t low_priority_lines;
  uint64_t written;
  uint64_t dropped;
  uint64_t unknown_key_count;
};

struct mq_json_log *
mq_json_log_create (TALLOC_CTX *ctx, struct tevent_context *ev, int fd,
                    const char *program, const char *host)
{
  struct mq_json_log *log = talloc_zero (ctx, struct mq_json_log);
  int flags = fcntl (fd, F_GETFL);

  if (log == NULL)
    return NULL;
  /* A reader that stops reading must not block the process.  */
  if (flags >= 0)
    (void)fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  log->ev = ev;
  log->fd = fd;
  log->program = talloc_strdup (log, program);
  log->host = talloc_strdup (log, host);
  return log;
}

void
mq_json_log_flush (struct mq_json_log *log)
{
  struct mq_buffer *out = &log->output;

  while (out->len > 0)
    {
      ssize_t sent = write (log->fd, out->data + out->at, out->len);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return;
      mq_buffer_skip (out, (size_t)sent);
    }
}

void
mq_json_log_destroy (struct mq_json_log *log)
{
  if (log == NULL)
    return;
  mq_json_log_flush (log);
  talloc_free (log);
}

uint64_t
mq_json_log_written (const struct mq_json_log *log)
{
  return log->written;
}

uint64_t
mq_json_log_dropped (const struct mq_json_log *log)
{
  return log->dropped;
}

uint64_t
mq_json_log_unknown_keys (const struct mq_json_log *log)
{
  return log->unknown_key_count;
}

static void
on_flush (void *data)
{
  struct mq_json_log *log = data;

  log->timer = NULL;
  mq_json_log_flush (log);
}

static bool
is_within_rate_limit (struct mq_json_log *log, enum mq_json_priority priority,
                      uint64_t now_ms)
{
  if (now_ms / 1000 != log->second)
    {
      log->second = now_ms / 1000;
      log->lines = 0;
      log->low_priority_lines = 0;
    }
  if (log->lines >= MQ_JSON_LOG_LINES_S)
    return false;
  if (priority == MQ_JSON_LOW_PRIORITY
      && log->low_priority_lines >= MQ_JSON_LOG_LOW_PRIORITY_S)
    return false;
  log->lines++;
  if (priority == MQ_JSON_LOW_PRIORITY)
    log->low_priority_lines++;
  return true;
}

static void
put (struct mq_json_line *line, const char *text, size_t len)
{
  if (line->len + len + LINE_END_BYTES > sizeof line->text)
    return;
  memcpy (line->text + line->len, text, len);
  line->len += len;
}

void
mq_json_begin (struct mq_json_line *line, struct mq_json_log *log,
               enum mq_json_priority priority, enum mq_log_event event)
{
  const struct mq_log_row *row = mq_log_row (event);
  uint64_t day_ms = mq_clock_wall_ms ();
  int len;

  line->log = log;
  line->event = event;
  line->len = 0;
  line->accepted = is_within_rate_limit (log, priority, day_ms);
  if (!line->accepted)
    {
      log->dropped++;
      return;
    }
  len = snprintf (line->text, sizeof line->text,
                  "{\"t\":%" PRIu64 ",\"host\":\"%s\",\"program\":\"%s\","
                  "\"level\":\"%s\",\"event\":\"%s\"",
                  day_ms, log->host, log->program,
                  mq_log_level_name (row->level), row->word);
  line->len = (size_t)len;
}

/* Checks KEY against the schema and counts unknown ones.  */
static bool
in_schema (struct mq_json_line *line, const char *key)
{
  if (mq_log_has_key (line->event, key))
    return true;
  line->log->unknown_key_count++;
  return false;
}

static void
put_key (struct mq_json_line *line, const char *key)
{
  put (line, ",\"", 2);
  put (line, key, strlen (key));
  put (line, "\":", 2);
}

static void
put_escaped (struct mq_json_line *line, unsigned char c)
{
  char code[8];

  if (c == '"' || c == '\\')
    {
      code[0] = '\\';
      code[1] = (char)c;
      put (line, code, 2);
    }
  else if (c < ' ' || c >= 0x7f)
    {
      snprintf (code, sizeof code, "\\u%04x", c);
      put (line, code, 6);
    }
  else
    put (line, (const char *)&c, 1);
}

/* Omits a value that does not fit as a whole, so that the line stays valid
   JSON.  */
void
mq_json_text (struct mq_json_line *line, const char *key, const char *value)
{
  size_t len;

  if (!line->accepted || value == NULL || !in_schema (line, key))
    return;
  len = strlen (value);
  if (line->len + strlen (key) + len * 6 + LINE_END_BYTES * 4
      > sizeof line->text)
    return;
  put_key (line, key);
  put (line, "\"", 1);
  for (size_t i = 0; i < len; i++)
    put_escaped (line, (unsigned char)value[i]);
  put (line, "\"", 1);
}

void
mq_json_number (struct mq_json_line *line, const char *key, uint64_t value)
{
  char text[24];
  int len;

  if (!line->accepted || !in_schema (line, key)
      || line->len + strlen (key) + sizeof text + LINE_END_BYTES * 2
             > sizeof line->text)
    return;
  len = snprintf (text, sizeof text, "%" PRIu64, value);
  put_key (line, key);
  put (line, text, (size_t)len);
}

static void
put_known_number (struct mq_json_line *line, const char *key, int64_t value)
{
  if (value > 0)
    mq_json_number (line, key, (uint64_t)value);
}

static void
put_known_text (struct mq_json_line *line, const char *key, const char *value)
{
  if (value[0] != '\0')
    mq_json_text (line, key, value);
}

void
mq_json_error (struct mq_json_line *line, const struct mq_error *error)
{
  mq_json_text (line, "error", mq_error_name (error->type));
  mq_json_text (line, "ran", mq_ran_name (error->ran));
  put_known_number (line, "number", error->number);
  put_known_number (line, "line", error->line);
  put_known_number (line, "column", error->column);
  put_known_text (line, "subject", error->subject);
  put_known_text (line, "allowed", error->allowed);
  mq_json_text (line, "cause", mq_error_cause (error->type));
  mq_json_text (line, "remedy", mq_error_remedy (error->type));
}

void
mq_json_end (struct mq_json_line *line)
{
  struct mq_json_log *log = line->log;

  if (!line->accepted)
    return;
  memcpy (line->text + line->len, "}\n", 2);
  line->len += 2;
  if (!mq_buffer_append (log, &log->output, line->text, line->len,
                         OUTPUT_BUFFER_BYTES))
    {
      log->dropped++;
      return;
    }
  log->written++;
  if (log->ev == NULL || log->output.len >= FLUSH_BYTES)
    mq_json_log_flush (log);
  else if (log->timer == NULL)
    log->timer = mq_timer_add (log, log->ev, FLUSH_MS, on_flush, log);
}
