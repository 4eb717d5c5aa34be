/* log_schema.c - schema of the log lines of all processes.

   Needs: log_schema.h.  */

#include "log_schema.h"
#include <string.h>

static const struct mq_log_row rows[] = {
#define MQ_LOG_EVENT(name, word, level, keys)                                 \
  [MQ_LOG_##name] = { word, MQ_LOG_##level, keys },
  MQ_LOG_EVENTS (MQ_LOG_EVENT)
#undef MQ_LOG_EVENT
};

const struct mq_log_row *
mq_log_row (enum mq_log_event event)
{
  return &rows[event];
}

const char *
mq_log_level_name (enum mq_log_level level)
{
  static const char *const names[] = { [MQ_LOG_ERROR] = "error",
                                       [MQ_LOG_WARNING] = "warning",
                                       [MQ_LOG_NOTICE] = "notice",
                                       [MQ_LOG_INFO] = "info" };

  return names[level];
}

bool
mq_log_has_key (enum mq_log_event event, const char *key)
{
  size_t len = strlen (key);
  const char *at = rows[event].keys;

  while (*at != '\0')
    {
      size_t part = strcspn (at, " ");

      if (part == len && memcmp (at, key, len) == 0)
        return true;
      at += part;
      at += strspn (at, " ");
    }
  return false;
}
