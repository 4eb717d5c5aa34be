/* platform_wire.c - JSON encoding of the platform's table API.

   Needs: platform_wire.h, base64.h.  */

#include "platform_wire.h"
#include "net/base64.h"

static bool
read_op (TALLOC_CTX *ctx, json_t *json, struct mq_store_op *op)
{
  const char *key = NULL;
  const char *value = NULL;
  json_int_t version = -1;
  int remove = 0;

  if (json_unpack (json, "{s:s,s?I,s?b,s?s !}", "key", &key, "if_version",
                   &version, "remove", &remove, "value", &value)
          != 0
      || key[0] == '\0' || version < -1 || (remove != 0) != (value == NULL))
    return false;
  op->key = talloc_strdup (ctx, key);
  op->if_version = version < 0 ? MQ_VERSION_ANY : (uint64_t)version;
  op->remove = remove != 0;
  return op->remove || mq_base64_decode (ctx, value, &op->value);
}

static bool
read_ops (TALLOC_CTX *ctx, json_t *ops, struct mq_store_request *request)
{
  size_t count = json_array_size (ops);

  request->ops = talloc_zero_array (ctx, struct mq_store_op, count);
  request->op_count = count;
  for (size_t i = 0; i < count; i++)
    if (!read_op (ctx, json_array_get (ops, i), &request->ops[i]))
      return false;
  return count > 0;
}

bool
mq_wire_read_transaction (TALLOC_CTX *ctx, const char *body, size_t len,
                          struct mq_store_request *request)
{
  json_t *json = json_loadb (body, len, 0, NULL);
  bool good = json_is_object (json) && json_object_size (json) == 1
              && read_ops (ctx, json_object_get (json, "ops"), request);

  json_decref (json);
  return good;
}

json_t *
mq_wire_transaction (const struct mq_store_result *result)
{
  bool applied = result->status == MQ_STORE_OK;
  json_t *list = json_array ();

  for (size_t i = 0; i < result->row_count; i++)
    json_array_append_new (
        list, applied ? json_integer ((json_int_t)result->rows[i].version)
                      : json_string (result->rows[i].key));
  return json_pack ("{s:b,s:o}", "applied", applied,
                    applied ? "versions" : "failed", list);
}

json_t *
mq_wire_rows (const struct mq_store_result *result)
{
  json_t *rows = json_array ();

  for (size_t i = 0; i < result->row_count; i++)
    {
      const struct mq_row *row = &result->rows[i];
      char *value = mq_base64_encode (result->rows, row->value);

      json_array_append_new (
          rows, json_pack ("{s:s,s:I,s:s}", "key", row->key, "version",
                           (json_int_t)row->version, "value", value));
      talloc_free (value);
    }
  return json_pack ("{s:o,s:b}", "rows", rows, "more", result->more);
}

json_t *
mq_wire_counters (const struct mq_table_counters *counters, uint64_t waiting)
{
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "reads",
      (json_int_t)counters->reads, "writes", (json_int_t)counters->writes,
      "conflicts", (json_int_t)counters->conflicts, "rows_written",
      (json_int_t)counters->rows_written, "rows", (json_int_t)counters->rows,
      "objects", (json_int_t)counters->objects, "bytes",
      (json_int_t)counters->bytes, "waiting", (json_int_t)waiting);
}
