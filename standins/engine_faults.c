/* engine_faults.c - the fault switches of the stand-in engine.

   Needs: engine_faults.h.  */

#include "engine_faults.h"
#include <string.h>

struct fault_row
{
  const char *name;
  const char *path;
};

static const struct fault_row rows[] = {
#define FAULT_ROW(id, name, path) { name, path },
  MQ_FAULT_LIST (FAULT_ROW)
#undef FAULT_ROW
};

static enum mq_fault_type
find_fault (const char *name)
{
  int i = 0;

  while (i < MQ_FAULT_COUNT
         && (name == NULL || strcmp (rows[i].name, name) != 0))
    i++;
  return (enum mq_fault_type)i;
}

static uint32_t
read_count (const json_t *request)
{
  json_int_t count = json_integer_value (json_object_get (request, "count"));

  return count <= 0 || count > UINT32_MAX ? 0 : (uint32_t)count;
}

enum mq_fault_type
mq_faults_set (struct mq_faults *faults, const json_t *request,
               struct mq_error *error)
{
  const char *name = json_string_value (json_object_get (request, "fault"));
  const char *path = json_string_value (json_object_get (request, "path"));
  enum mq_fault_type type = find_fault (name);
  struct mq_fault *fault;

  mq_error_set (error, MQ_ERR_NONE, NULL, NULL);
  if (type == MQ_FAULT_COUNT)
    {
      mq_error_set (error, MQ_ERR_BAD_REQUEST, "fault", "a fault's name");
      return type;
    }
  if (type == MQ_FAULT_CLEAR)
    {
      memset (faults, 0, sizeof *faults);
      return type;
    }
  fault = &faults->faults[type];
  memset (fault, 0, sizeof *fault);
  fault->on = true;
  fault->left = read_count (request);
  fault->value = json_number_value (json_object_get (request, "value"));
  path = path == NULL ? rows[type].path : path;
  strncpy (fault->path, path, sizeof fault->path - 1);
  return type;
}

bool
mq_faults_strike (struct mq_faults *faults, enum mq_fault_type type,
                  const char *path, double *value)
{
  struct mq_fault *fault = &faults->faults[type];

  if (!fault->on || strncmp (path, fault->path, strlen (fault->path)) != 0)
    return false;
  if (value != NULL)
    *value = fault->value;
  if (fault->left > 0 && --fault->left == 0)
    fault->on = false;
  return true;
}
