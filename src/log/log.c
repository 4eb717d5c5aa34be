/* log.c - process log of a daemon.

   Needs: log.h, json_log.h.  */

#include "log.h"
#include <unistd.h>

/* Global, since the modules of a process share no other state.  */
static struct mq_json_log *process_log;

/**
 * struct state_row - log line of a state change
 * @number_key: key of the numeric value, NULL if there is none
 * @subject_key: key of the subject
 */
struct state_row
{
  enum mq_log_event event;
  const char *number_key;
  const char *subject_key;
};

static const struct state_row state_rows[] = {
  [MQ_STATE_PARTITION_OWNED]
  = { MQ_LOG_PARTITION_OWNED, "partition", "other" },
  [MQ_STATE_PARTITION_LOST] = { MQ_LOG_PARTITION_LOST, "partition", "other" },
  [MQ_STATE_PARTITION_RELEASED]
  = { MQ_LOG_PARTITION_RELEASED, "partition", "other" },
  [MQ_STATE_STORE_DOWN] = { MQ_LOG_TABLE_DOWN, NULL, "subject" },
  [MQ_STATE_STORE_UP] = { MQ_LOG_TABLE_UP, NULL, "subject" },
  [MQ_STATE_PEER_UP] = { MQ_LOG_PEER_UP, "peer", "other" },
  [MQ_STATE_PEER_DOWN] = { MQ_LOG_PEER_DOWN, "peer", "other" },
  [MQ_STATE_PEER_TIMED_OUT] = { MQ_LOG_PEER_SILENT, "peer", "other" },
  [MQ_STATE_LEAVING] = { MQ_LOG_LEAVING, NULL, "other" },
  [MQ_STATE_DRAINED] = { MQ_LOG_DRAINED, NULL, "other" },
  [MQ_STATE_CONFIG] = { MQ_LOG_CONFIG_IN_FORCE, "version", "subject" },
  [MQ_STATE_UNKNOWN_CALL] = { MQ_LOG_UNKNOWN_CALL, "call", "run" },
  [MQ_STATE_LOOP_SUSPECTED] = { MQ_LOG_LOOP_SUSPECTED, "call", "run" },
  [MQ_STATE_EVICT_RETRY] = { MQ_LOG_EVICT_RETRY, "worker", "run" },
  [MQ_STATE_ORDER] = { MQ_LOG_ORDER, "worker", "subject" },
};

void
mq_log_open (const char *program, const char *host)
{
  mq_json_log_destroy (process_log);
  process_log = mq_json_log_create (NULL, NULL, STDOUT_FILENO, program, host);
}

void
mq_log_state (const struct mq_state_line *state)
{
  const struct state_row *row;
  struct mq_json_line line;

  if (process_log == NULL
      || (size_t)state->change >= sizeof state_rows / sizeof state_rows[0])
    return;
  row = &state_rows[state->change];
  mq_json_begin (&line, process_log, MQ_JSON_HIGH_PRIORITY, row->event);
  if (row->number_key != NULL)
    mq_json_number (&line, row->number_key, state->number);
  if (state->subject != NULL && state->subject[0] != '\0')
    mq_json_text (&line, row->subject_key, state->subject);
  mq_json_end (&line);
}

void
mq_log_failure (enum mq_log_event event, const struct mq_error *error)
{
  struct mq_json_line line;

  if (process_log == NULL)
    return;
  mq_json_begin (&line, process_log, MQ_JSON_HIGH_PRIORITY, event);
  mq_json_error (&line, error);
  mq_json_end (&line);
}

void
mq_log_listening (const char *http, const char *peer)
{
  struct mq_json_line line;

  if (process_log == NULL)
    return;
  mq_json_begin (&line, process_log, MQ_JSON_HIGH_PRIORITY, MQ_LOG_LISTENING);
  mq_json_text (&line, "http", http);
  mq_json_text (&line, "peer", peer);
  mq_json_end (&line);
}
