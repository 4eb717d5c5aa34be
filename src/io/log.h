/* log.h - syslog-style lines on standard error, for changes of state only.

   "<PRI>Mmm dd hh:mm:ss host program[pid]: event key=value …", values
   quoted where needed.  Secrets never come here.
   Needs: the C library.  */

#ifndef MQ_LOG_H
#define MQ_LOG_H

#include "../core/action.h"

enum mq_log_level
{
  MQ_LOG_ERROR = 3,
  MQ_LOG_WARNING = 4,
  MQ_LOG_NOTICE = 5,
  MQ_LOG_INFO = 6
};

void mq_log_open (const char *program, const char *host,
                  enum mq_log_level most);
/* NULL as the pointer that a variable list of arguments needs.  */
#define MQ_LOG_END ((const char *)NULL)
/* EVENT is a fixed word; then come "key", "value", …, MQ_LOG_END.  */
void mq_log_write (enum mq_log_level level, const char *event, ...)
    __attribute__ ((sentinel));
void mq_log_state (const struct mq_state_line *line);
void mq_log_failure (const char *event, const struct mq_error *error);

#endif
