/* http_answer.c - request matching and JSON responses for the stand-ins.

   Needs: http_answer.h.  */

#include "http_answer.h"
#include <stdlib.h>
#include <string.h>

#define JSON_TYPE "application/json"

static bool
begins_with (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

bool
mq_is_request (const struct mq_http_request *request, const char *method,
               const char *path)
{
  return strcmp (mq_http_method (request), method) == 0
         && strcmp (mq_http_path (request), path) == 0;
}

bool
mq_is_request_below (const struct mq_http_request *request, const char *method,
                     const char *path)
{
  return strcmp (mq_http_method (request), method) == 0
         && begins_with (mq_http_path (request), path)
         && mq_http_path (request)[strlen (path)] != '\0';
}

void
mq_answer_json (struct mq_http_request *request, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  if (text == NULL)
    {
      mq_http_abort (request);
      return;
    }
  mq_http_respond (request, status, JSON_TYPE, text, strlen (text));
  free (text);
}

void
mq_answer_empty (struct mq_http_request *request)
{
  mq_answer_json (request, 200, json_object ());
}

void
mq_answer_failure (struct mq_http_request *request, enum mq_error_type type)
{
  mq_answer_json (request, mq_error_http_status (type),
                  json_pack ("{s:s}", "error", mq_error_name (type)));
}
