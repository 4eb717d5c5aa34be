/* json_log.h - one JSON object a line on standard output, bounded.

   A line is for a decision on a request or a change of what the process
   believes.  Lines are output and written without ever waiting; what does
   not fit the bound or the reader's pace is dropped and counted.  Lines on
   low_priority_lines successes give way before those on refusals and failures.
   Needs: log_schema.h, error.h, tevent.  */

#ifndef MQ_JSON_LOG_H
#define MQ_JSON_LOG_H

#include "core/error.h"
#include "log_schema.h"
#include <tevent.h>

/* Lines a second, and of them for low_priority_lines successes: a host of 0.1
   cores then spends under 2% of itself on its log.  */
#define MQ_JSON_LOG_LINES_S 300U
#define MQ_JSON_LOG_PLAIN_S 40U
#define MQ_JSON_LINE_BYTES 1024U

struct mq_json_log;

enum mq_json_weight
{
  MQ_JSON_LOW_PRIORITY, /* a success; dropped first */
  MQ_JSON_HIGH_PRIORITY /* a refusal, a failure, a change of state */
};

/* EV NULL: each line is written at once.  */
struct mq_json_log *mq_json_log_create (TALLOC_CTX *ctx,
                                        struct tevent_context *ev, int fd,
                                        const char *program, const char *host);
/* Writes what is output.  */
void mq_json_log_flush (struct mq_json_log *log);
void mq_json_log_destroy (struct mq_json_log *log);
uint64_t mq_json_log_written (const struct mq_json_log *log);
uint64_t mq_json_log_dropped (const struct mq_json_log *log);
/* Keys that the schema does not have for their event; they are left out.  */
uint64_t mq_json_log_unknown_keys (const struct mq_json_log *log);

/* A line that is being put together; what does not fit is left out.  */
struct mq_json_line
{
  struct mq_json_log *log;
  enum mq_log_event event;
  size_t len;
  bool accepted;
  char text[MQ_JSON_LINE_BYTES];
};

void mq_json_begin (struct mq_json_line *line, struct mq_json_log *log,
                    enum mq_json_weight weight, enum mq_log_event event);
/* NULL leaves the key out.  */
void mq_json_text (struct mq_json_line *line, const char *key,
                   const char *value);
void mq_json_number (struct mq_json_line *line, const char *key,
                     uint64_t value);
/* What is wrong, where, and what is allowed.  */
void mq_json_error (struct mq_json_line *line, const struct mq_error *error);
void mq_json_end (struct mq_json_line *line);

#endif
