/* json_log.h - log of JSON lines with a rate limit.

   Lines record decisions on requests and changes of state.  They are buffered
   and written without blocking; lines over the rate limit or too fast for the
   reader are dropped and counted, those on successes before those on refusals
   and failures.
   Needs: log_schema.h, error.h, tevent.  */

#ifndef MQ_JSON_LOG_H
#define MQ_JSON_LOG_H

#include "core/error.h"
#include "log_schema.h"
#include <tevent.h>

/* Lines per second: in total, and of low priority.  */
#define MQ_JSON_LOG_LINES_S 300U
#define MQ_JSON_LOG_LOW_PRIORITY_S 40U
#define MQ_JSON_LINE_BYTES 1024U

struct mq_json_log;

enum mq_json_priority
{
  MQ_JSON_LOW_PRIORITY, /* successes; dropped first */
  MQ_JSON_HIGH_PRIORITY /* refusals, failures and changes of state */
};

/* EV NULL: each line is written immediately.  */
struct mq_json_log *mq_json_log_create (TALLOC_CTX *ctx,
                                        struct tevent_context *ev, int fd,
                                        const char *program, const char *host);
/* Writes the buffered lines.  */
void mq_json_log_flush (struct mq_json_log *log);
void mq_json_log_destroy (struct mq_json_log *log);
uint64_t mq_json_log_written (const struct mq_json_log *log);
uint64_t mq_json_log_dropped (const struct mq_json_log *log);
/* Number of values omitted because the schema lacks their key for the
   event.  */
uint64_t mq_json_log_unknown_keys (const struct mq_json_log *log);

/* A line under construction; values that do not fit are omitted.  */
struct mq_json_line
{
  struct mq_json_log *log;
  enum mq_log_event event;
  size_t len;
  bool accepted;
  char text[MQ_JSON_LINE_BYTES];
};

void mq_json_begin (struct mq_json_line *line, struct mq_json_log *log,
                    enum mq_json_priority priority, enum mq_log_event event);
/* VALUE NULL omits the key.  */
void mq_json_text (struct mq_json_line *line, const char *key,
                   const char *value);
void mq_json_number (struct mq_json_line *line, const char *key,
                     uint64_t value);
/* Adds the type, location and allowed value of ERROR.  */
void mq_json_error (struct mq_json_line *line, const struct mq_error *error);
void mq_json_end (struct mq_json_line *line);

#endif
