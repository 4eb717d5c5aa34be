/* log.h - process log of a daemon.

   Writes the lines of log_schema.h to standard output, for changes of state
   only.  Never logs secrets.
   Needs: json_log.h, action.h.  */

#ifndef MQ_LOG_H
#define MQ_LOG_H

#include "core/action.h"
#include "json_log.h"

/* Opens the log; its lines name PROGRAM and HOST.  Before that nothing is
   logged.  */
void mq_log_open (const char *program, const char *host);
void mq_log_state (const struct mq_state_line *line);
void mq_log_failure (enum mq_log_event event, const struct mq_error *error);
/* Logs the addresses at which the process listens.  */
void mq_log_listening (const char *http, const char *peer);

#endif
