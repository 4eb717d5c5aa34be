/* log.h - the log of a daemon of the product's own deployment.

   Lines of the schema on standard output, for changes of state only.  Secrets
   never come here.
   Needs: json_log.h, action.h.  */

#ifndef MQ_LOG_H
#define MQ_LOG_H

#include "core/action.h"
#include "json_log.h"

/* Lines name PROGRAM and HOST from now on.  Before it there is no log.  */
void mq_log_open (const char *program, const char *host);
void mq_log_state (const struct mq_state_line *line);
void mq_log_failure (enum mq_log_event event, const struct mq_error *error);
/* Where the process is reached.  */
void mq_log_listening (const char *http, const char *peer);

#endif
