/* platform_answer.c - parses the platform's responses.

   A wrong result of a failed write could cause work to be done twice.  A
   write is DOWN only if it certainly did not take effect (it was not sent, or
   got 503), CONFLICT only if the table reports a conflict, and LOST in all
   other cases, including a malformed response.  A failed read is always
   DOWN, as it has no effect.
   Needs: platform_answer.h, base64.h, jansson.  */

#include "platform_answer.h"
#include "net/base64.h"
#include <jansson.h>
#include <string.h>

enum
{
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
  STATUS_UNAVAILABLE = 503
};

/* State of parsing one response.  */
struct reading
{
  TALLOC_CTX *ctx;
  const struct mq_store_request *request;
  uint64_t *malformed;
};

static json_t *
load_json (const struct mq_http_result *http)
{
  return json_loadb (http->body, http->len, JSON_REJECT_DUPLICATES, NULL);
}

static bool
add_row (struct mq_store_result *result, const char *key, uint64_t version)
{
  struct mq_row *row = &result->rows[result->row_count];

  row->version = version;
  row->key = talloc_strdup (result->rows, key);
  result->row_count++;
  return row->key != NULL;
}

static bool
alloc_rows (TALLOC_CTX *ctx, struct mq_store_result *result, size_t count)
{
  result->rows = talloc_zero_array (ctx, struct mq_row, count + 1);
  return result->rows != NULL;
}

/* Reads one version for each operation; it must be 0 for those that remove a
   key, and only for those.  */
static bool
read_versions (const struct mq_store_request *request, json_t *versions,
               struct mq_store_result *result)
{
  if (json_array_size (versions) != request->op_count)
    return false;
  for (size_t i = 0; i < request->op_count; i++)
    {
      json_t *version = json_array_get (versions, i);
      json_int_t number = json_integer_value (version);

      if (!json_is_integer (version) || number < 0
          || (number == 0) != request->ops[i].remove
          || !add_row (result, request->ops[i].key, (uint64_t)number))
        return false;
    }
  return true;
}

static bool
read_applied (struct reading *reading, json_t *json,
              struct mq_store_result *result)
{
  return json_is_true (json_object_get (json, "applied"))
         && alloc_rows (reading->ctx, result, reading->request->op_count)
         && read_versions (reading->request,
                           json_object_get (json, "versions"), result);
}

static bool
read_conflict (struct reading *reading, json_t *json,
               struct mq_store_result *result)
{
  json_t *failed = json_object_get (json, "failed");
  size_t count = json_array_size (failed);

  if (!json_is_false (json_object_get (json, "applied"))
      || !alloc_rows (reading->ctx, result, count))
    return false;
  for (size_t i = 0; i < count; i++)
    {
      const char *key = json_string_value (json_array_get (failed, i));

      if (key == NULL || !add_row (result, key, 0))
        return false;
    }
  return true;
}

static void
drop_rows (struct mq_store_result *result)
{
  TALLOC_FREE (result->rows);
  result->row_count = 0;
  result->more = false;
}

/* Status of a write without a conclusive response.  */
static enum mq_store_status
unanswered_write_status (const struct mq_http_result *http)
{
  if (http->error != MQ_ERR_NONE)
    return http->sent ? MQ_STORE_LOST : MQ_STORE_DOWN;
  return http->status == STATUS_UNAVAILABLE ? MQ_STORE_DOWN : MQ_STORE_LOST;
}

static void
count_malformed (struct reading *reading, struct mq_store_result *result)
{
  (*reading->malformed)++;
  drop_rows (result);
}

static enum mq_store_status
read_transaction (struct reading *reading, const struct mq_http_result *http,
                  struct mq_store_result *result)
{
  bool applied = http->status == STATUS_OK;
  bool valid;
  json_t *json;

  if (http->error != MQ_ERR_NONE
      || (!applied && http->status != STATUS_CONFLICT))
    return unanswered_write_status (http);
  json = load_json (http);
  valid = applied ? read_applied (reading, json, result)
                  : read_conflict (reading, json, result);
  json_decref (json);
  if (!valid)
    {
      count_malformed (reading, result);
      return MQ_STORE_LOST;
    }
  return applied ? MQ_STORE_OK : MQ_STORE_CONFLICT;
}

static bool
begins_with (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

static bool
read_row (const struct mq_store_request *request, json_t *json,
          const char *last, struct mq_store_result *result)
{
  const char *key = json_string_value (json_object_get (json, "key"));
  const char *value = json_string_value (json_object_get (json, "value"));
  json_int_t version = json_integer_value (json_object_get (json, "version"));
  struct mq_row *row = &result->rows[result->row_count];

  if (key == NULL || value == NULL || version <= 0
      || !begins_with (key, request->key) || strcmp (key, last) <= 0)
    return false;
  return add_row (result, key, (uint64_t)version)
         && mq_base64_decode (result->rows, value, &row->value);
}

/* Reads the rows, which must have the prefix and be in ascending order.
   Rejects "more" without rows: the caller continues after the last key and
   would loop forever.  */
static bool
read_rows (struct reading *reading, json_t *json,
           struct mq_store_result *result)
{
  const struct mq_store_request *request = reading->request;
  json_t *rows = json_object_get (json, "rows");
  json_t *more = json_object_get (json, "more");
  size_t count = json_array_size (rows);
  const char *last = request->after;

  if (!json_is_array (rows) || !json_is_boolean (more)
      || (count == 0 && json_is_true (more))
      || !alloc_rows (reading->ctx, result, count))
    return false;
  for (size_t i = 0; i < count; i++)
    {
      if (!read_row (request, json_array_get (rows, i), last, result))
        return false;
      last = result->rows[i].key;
    }
  result->more = json_is_true (more);
  return true;
}

static enum mq_store_status
read_scan (struct reading *reading, const struct mq_http_result *http,
           struct mq_store_result *result)
{
  json_t *json;
  bool valid;

  if (http->error != MQ_ERR_NONE || http->status != STATUS_OK)
    return MQ_STORE_DOWN;
  json = load_json (http);
  valid = read_rows (reading, json, result);
  json_decref (json);
  if (valid)
    return MQ_STORE_OK;
  count_malformed (reading, result);
  return MQ_STORE_DOWN;
}

static enum mq_store_status
read_object (struct reading *reading, const struct mq_http_result *http,
             struct mq_store_result *result)
{
  if (http->error != MQ_ERR_NONE)
    return MQ_STORE_DOWN;
  if (http->status == STATUS_NOT_FOUND)
    return MQ_STORE_MISSING;
  if (http->status != STATUS_OK)
    return MQ_STORE_DOWN;
  result->value.data = talloc_memdup (reading->ctx, http->body, http->len);
  result->value.len = http->len;
  return MQ_STORE_OK;
}

static enum mq_store_status
read_answer (struct reading *reading, const struct mq_http_result *http,
             struct mq_store_result *result)
{
  bool done = http->error == MQ_ERR_NONE && http->status == STATUS_OK;

  switch (reading->request->kind)
    {
    case MQ_STORE_TXN:
      return read_transaction (reading, http, result);
    case MQ_STORE_SCAN:
      return read_scan (reading, http, result);
    case MQ_STORE_GET:
      return read_object (reading, http, result);
    case MQ_STORE_DELETE:
      if (http->error == MQ_ERR_NONE && http->status == STATUS_NOT_FOUND)
        return MQ_STORE_OK;
      break;
    case MQ_STORE_PUT:
      break;
    }
  return done ? MQ_STORE_OK : unanswered_write_status (http);
}

struct mq_store_result
mq_platform_read_answer (TALLOC_CTX *ctx,
                         const struct mq_store_request *request,
                         const struct mq_http_result *http,
                         uint64_t *malformed)
{
  struct reading reading = { ctx, request, malformed };
  struct mq_store_result result = { 0 };

  result.status = read_answer (&reading, http, &result);
  return result;
}

/* List of hosts.  */

static bool
read_host (json_t *json, struct mq_host *host)
{
  const char *role;
  int leaving;

  if (json_unpack (json, "{s:s,s:s,s:s,s:s,s:s,s:s,s:b}", "name", &host->name,
                   "role", &role, "data_centre", &host->data_centre, "region",
                   &host->region, "address", &host->address, "http",
                   &host->http, "leaving", &leaving)
      != 0)
    return false;
  host->leaving = leaving != 0;
  host->role = MQ_HOST_ENTRY;
  if (strcmp (role, "target") == 0)
    host->role = MQ_HOST_TARGET;
  return host->role == MQ_HOST_TARGET || strcmp (role, "entry") == 0;
}

/* A host list and the JSON that owns its strings.  */
struct host_answer
{
  struct mq_host_list list;
  json_t *json;
};

static int
host_answer_freed (struct host_answer *answer)
{
  json_decref (answer->json);
  return 0;
}

/* Skips and counts malformed entries, so that one of them does not hide all
   other hosts.  */
static bool
read_host_items (struct host_answer *answer, json_t *items,
                 uint64_t *malformed)
{
  struct mq_host_list *list = &answer->list;
  size_t count = json_array_size (items);

  list->items = talloc_zero_array (answer, struct mq_host, count + 1);
  if (list->items == NULL)
    return false;
  for (size_t i = 0; i < count; i++)
    if (read_host (json_array_get (items, i), &list->items[list->count]))
      list->count++;
    else
      (*malformed)++;
  return true;
}

const struct mq_host_list *
mq_platform_read_hosts (TALLOC_CTX *ctx, const struct mq_http_result *http,
                        uint64_t *malformed)
{
  struct host_answer *answer = talloc_zero (ctx, struct host_answer);
  json_t *items;

  if (answer == NULL)
    return NULL;
  talloc_set_destructor (answer, host_answer_freed);
  answer->json = load_json (http);
  items = json_object_get (answer->json, "hosts");
  if (!json_is_array (items))
    (*malformed)++;
  else if (read_host_items (answer, items, malformed))
    return &answer->list;
  talloc_free (answer);
  return NULL;
}
