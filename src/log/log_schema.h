/* log_schema.h - schema of the log lines of all processes.

   One row for each event: its name, its level, and its keys besides those of
   every line: t (time of day, milliseconds), host, program, level, event.
   docs/OPERATIONS.md describes them.
   Needs: types.h.  */

#ifndef MQ_LOG_SCHEMA_H
#define MQ_LOG_SCHEMA_H

#include "core/types.h"

enum mq_log_level
{
  MQ_LOG_ERROR,   /* needs an operator's attention */
  MQ_LOG_WARNING, /* something was lost or rejected */
  MQ_LOG_NOTICE,  /* a change of state */
  MQ_LOG_INFO     /* a request */
};

#define MQ_LOG_COUNTED                                                        \
  "data_centre http requests served budget_writes turn_writes turn_reads "    \
  "store_writes store_reads other"
#define MQ_LOG_REQUEST                                                        \
  "id run organisation route config after_ms status sent worker "
#define MQ_LOG_PROBLEM                                                        \
  "error ran number line column subject allowed cause remedy"

/* X (EVENT, name, level, keys)  */
#define MQ_LOG_EVENTS(X)                                                      \
  X (LISTENING, "listening", NOTICE, "http peer")                             \
  X (STARTED, "started", NOTICE, MQ_LOG_COUNTED)                              \
  X (LEAVING, "leaving", NOTICE, MQ_LOG_COUNTED)                              \
  X (DRAINED, "drained", NOTICE, "other")                                     \
  X (STOPPED, "stopped", NOTICE, MQ_LOG_COUNTED)                              \
  X (RELOADED, "reloaded", NOTICE, MQ_LOG_COUNTED)                            \
  X (RELOAD_REFUSED, "reload_refused", WARNING, MQ_LOG_COUNTED)               \
  X (COUNTERS, "counters", INFO, MQ_LOG_COUNTED)                              \
  X (TABLE_CALLS, "table_calls", INFO,                                        \
     "table call calls conflicts refused throttled rejected unanswered "      \
     "sent_bytes received_bytes")                                             \
  X (TABLE_REJECTED, "table_rejected", ERROR, "table call status entries")    \
  X (TABLE_PART_DOWN, "table_part_down", WARNING, "part timeouts")            \
  X (SETTINGS_REFUSED, "settings_refused", ERROR, MQ_LOG_PROBLEM)             \
  X (START_FAILED, "start_failed", ERROR, MQ_LOG_PROBLEM)                     \
  X (CONFIG_IN_FORCE, "config_in_force", NOTICE,                              \
     "version in_force subject routes idle_ms took_ms turns")                 \
  X (CONFIG_UNREADABLE, "config_unreadable", ERROR,                           \
     "version in_force " MQ_LOG_PROBLEM)                                      \
  X (TEXT_REFUSED, "text_refused", ERROR, MQ_LOG_PROBLEM)                     \
  X (TABLE_DOWN, "table_down", ERROR, "hosts relayed subject")                \
  X (TABLE_UP, "table_up", NOTICE, "hosts relayed subject")                   \
  X (HOST_LOST, "host_lost", WARNING, "other")                                \
  X (PEER_UP, "peer_up", NOTICE, "peer other")                                \
  X (PEER_DOWN, "peer_down", WARNING, "peer other")                           \
  X (PEER_SILENT, "peer_silent", WARNING, "peer other")                       \
  X (WORKER_LISTED, "worker_listed", NOTICE,                                  \
     "worker service address version state")                                  \
  X (WORKER_GONE, "worker_gone", WARNING, "worker")                           \
  X (WORKER_DOUBTED, "worker_doubted", NOTICE, "worker other age_ms")         \
  X (WORKER_TRUSTED, "worker_trusted", NOTICE, "worker other age_ms")         \
  X (WORKER_UNREADABLE, "worker_unreadable", ERROR, "worker " MQ_LOG_PROBLEM) \
  X (TRY_FAILED, "try_failed", WARNING,                                       \
     MQ_LOG_REQUEST "worker_version last_event how at_worker_ms left_ms "     \
                    "next work lost beside")                                  \
  X (RUN_END_SETTLED, "run_end_settled", NOTICE,                              \
     "work worker_start ended ran_ms age_ms hosts told")                      \
  X (RUN_ENDS_NOT_WRITTEN, "run_ends_not_written", WARNING, "how")            \
  X (REQUEST_ENDED, "request_ended", INFO,                                    \
     MQ_LOG_REQUEST                                                           \
     "worker_version resumes outcome tokens load left_ms work "               \
     "budget retry_ms complete_ms "                                           \
     "worker_load worker_speed pace_load pace_turns idle_us growth_us "       \
     "excess bearable_us used "                                               \
     "limit_retry_ms begins need need_ms "                                    \
     "org_part org_demand all_demand deadline_ms "                            \
     "record record_ms record_host record_writes table_ms")                   \
  X (LOAD_INVALID, "load_invalid", WARNING, "worker count")                   \
  X (RECORD_NOT_WRITTEN, "record_not_written", WARNING,                       \
     "id run how record_host record_ms table_ms")                             \
  X (STREAM_NOT_WRITTEN, "stream_not_written", WARNING,                       \
     "id how tries record_host")                                              \
  X (MESSAGE_REFUSED, "message_refused", WARNING, "reason")                   \
  X (CALLER_CLOSED, "caller_closed", INFO, "rested_ms idle_ms")               \
  X (LOOP_HELD_UP, "loop_held_up", WARNING, "held_ms")                        \
  X (BUDGET_UNREADABLE, "budget_unreadable", ERROR, "run version")            \
  X (PARTITION_OWNED, "partition_owned", NOTICE, "partition other")           \
  X (PARTITION_LOST, "partition_lost", WARNING, "partition other")            \
  X (PARTITION_RELEASED, "partition_released", NOTICE, "partition other")     \
  X (UNKNOWN_CALL, "unknown_call", ERROR, "call run")                         \
  X (LOOP_SUSPECTED, "loop_suspected", WARNING, "call run")                   \
  X (EVICT_RETRY, "evict_retry", WARNING, "worker run")                       \
  X (ORDER, "order", NOTICE, "worker subject")

enum mq_log_event
{
#define MQ_LOG_EVENT(name, word, level, keys) MQ_LOG_##name,
  MQ_LOG_EVENTS (MQ_LOG_EVENT)
#undef MQ_LOG_EVENT
      MQ_LOG_EVENT_COUNT
};

/**
 * struct mq_log_row - one event of the schema
 * @word: event name in the log line
 * @keys: allowed keys, separated by blanks
 */
struct mq_log_row
{
  const char *word;
  enum mq_log_level level;
  const char *keys;
};

const struct mq_log_row *mq_log_row (enum mq_log_event event);
const char *mq_log_level_name (enum mq_log_level level);
/* True if the schema allows KEY in lines of EVENT.  */
bool mq_log_has_key (enum mq_log_event event, const char *key);

#endif
