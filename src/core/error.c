/* error.c - names, messages and HTTP statuses of error types.

   Needs: error.h.  */

#include "error.h"
#include <string.h>

struct error_row
{
  const char *name;
  int http_status;
  const char *cause;
  const char *remedy;
};

static const struct error_row rows[] = {
#define ERROR_ROW(id, name, status, cause, remedy)                            \
  { name, status, cause, remedy },
  MQ_ERROR_LIST (ERROR_ROW)
#undef ERROR_ROW
};

static const struct error_row *
find_row (enum mq_error_type type)
{
  if ((unsigned int)type >= MQ_ERR_COUNT)
    return &rows[MQ_ERR_IO];
  return &rows[type];
}

static void
copy_subject (char to[MQ_SUBJECT_MAX], const char *from)
{
  size_t len = from == NULL ? 0 : strlen (from);

  if (len >= MQ_SUBJECT_MAX)
    len = MQ_SUBJECT_MAX - 1;
  if (len > 0)
    memcpy (to, from, len);
  to[len] = '\0';
}

void
mq_error_set (struct mq_error *error, enum mq_error_type type,
              const char *subject, const char *allowed)
{
  if (error == NULL)
    return;
  memset (error, 0, sizeof *error);
  error->type = type;
  copy_subject (error->subject, subject);
  copy_subject (error->allowed, allowed);
}

const char *
mq_error_name (enum mq_error_type type)
{
  return find_row (type)->name;
}

const char *
mq_error_cause (enum mq_error_type type)
{
  return find_row (type)->cause;
}

const char *
mq_error_remedy (enum mq_error_type type)
{
  return find_row (type)->remedy;
}

int
mq_error_http_status (enum mq_error_type type)
{
  return find_row (type)->http_status;
}

enum mq_error_type
mq_error_from_name (const char *name)
{
  for (size_t i = 0; i < MQ_ERR_COUNT; i++)
    if (strcmp (rows[i].name, name) == 0)
      return (enum mq_error_type)i;
  return MQ_ERR_NONE;
}

const char *
mq_ran_name (enum mq_ran ran)
{
  switch (ran)
    {
    case MQ_RAN_NOT_RUN:
      return "not_run";
    case MQ_RAN_RAN:
      return "ran";
    case MQ_RAN_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}
