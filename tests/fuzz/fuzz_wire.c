/* fuzz_wire.c - decoding of the platform's configuration and worker rows
   (platform/wire*.c).

   Input: 'C' and a configuration, or 'W' and a worker row.
   Needs: fuzz.h, router_wire.h, jansson.  */

#include "fuzz.h"
#include "router/router_wire.h"
#include <jansson.h>
#include <string.h>

FUZZ_MAIN (wire)

static void
check_table (const struct mq_route_table *table)
{
  for (size_t i = 0; i < table->route_count; i++)
    {
      const struct mq_path_route *route = &table->routes[i];

      FUZZ_CHECK (route->name != NULL && route->host != NULL);
      FUZZ_CHECK (route->prefix != NULL);
      FUZZ_CHECK (route->kind < MQ_ROUTE_KINDS);
      FUZZ_CHECK (route->backend_count > 0);
      FUZZ_CHECK (mq_route_service (route, i) != NULL);
    }
}

static bool
read_config (TALLOC_CTX *ctx, struct mq_bytes bytes)
{
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_route_table *table = mq_wire_read_config (ctx, bytes, &error);
  json_t *root = json_loadb ((const char *)bytes.data, bytes.len, 0, NULL);

  /* The incremental parser accepts exactly the JSON that jansson accepts.  */
  FUZZ_CHECK (root != NULL || table == NULL);
  FUZZ_CHECK (root == NULL || error.type != MQ_ERR_BAD_JSON);
  json_decref (root);
  if (table == NULL)
    {
      /* A rejected configuration has an error to report.  */
      FUZZ_CHECK (error.type != MQ_ERR_NONE);
      return false;
    }
  mq_route_table_sort (table);
  check_table (table);
  (void)mq_route_find (table, "h.example:80", "/a/b");
  return true;
}

static bool
read_worker (TALLOC_CTX *ctx, struct mq_bytes bytes)
{
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_fleet_member member;

  if (!mq_wire_read_worker (ctx, "i-1", bytes, &member, &error))
    {
      FUZZ_CHECK (error.type != MQ_ERR_NONE);
      return false;
    }
  FUZZ_CHECK (member.id != NULL && member.service != NULL);
  FUZZ_CHECK (member.address != NULL && member.data_centre != NULL);
  return true;
}

bool
fuzz_wire (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint8_t *copy = talloc_memdup (ctx, data, len);
  struct mq_bytes bytes = { copy + 1, len == 0 ? 0 : len - 1 };
  bool accepted = false;

  if (len > 0 && data[0] == 'C')
    accepted = read_config (ctx, bytes);
  else if (len > 0 && data[0] == 'W')
    accepted = read_worker (ctx, bytes);
  talloc_free (ctx);
  return accepted;
}
