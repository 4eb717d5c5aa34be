/* table.c - in-memory transactional table and object store.

   Rows and objects are each kept in a skip list, ordered by key bytes.  Node
   levels come from a fixed seed, so runs are reproducible.
   Needs: table.h.  */

#include "table.h"
#include "core/id.h"
#include <stdlib.h>
#include <string.h>

enum
{
  LEVELS_MAX = 20, /* enough for a million keys */
  LEVELS_SEED = 1
};

/* KEY is stored after NEXT in the same allocation.  */
struct node
{
  char *key;
  uint64_t version;
  struct mq_bytes value; /* data allocated below the node */
  uint32_t levels;
  struct node *next[];
};

struct sorted
{
  struct node *first[LEVELS_MAX];
  uint64_t random;
  uint64_t count;
  uint64_t bytes;
};

struct mq_table
{
  struct sorted rows;
  struct sorted objects;
  uint64_t last_version;
  uint64_t reads;
  uint64_t writes;
  uint64_t conflicts;
  uint64_t rows_written;
};

/* For each level, the link to the first node whose key is not below the
   searched key.  */
struct path
{
  struct node **links[LEVELS_MAX];
};

static void *
check_alloc (void *memory)
{
  if (memory == NULL)
    abort ();
  return memory;
}

static struct mq_bytes
copy_bytes (TALLOC_CTX *ctx, struct mq_bytes from)
{
  struct mq_bytes copy = { .len = from.len };

  /* One extra byte, so that the data of an empty value is not NULL.  */
  copy.data = check_alloc (talloc_size (ctx, from.len + 1));
  if (from.len > 0)
    memcpy (copy.data, from.data, from.len);
  copy.data[from.len] = 0;
  return copy;
}

/* Returns the first node whose key is not below KEY. PATH may be NULL.  */
static struct node *
seek (struct sorted *sorted, const char *key, struct path *path)
{
  struct node **links = sorted->first;

  for (size_t level = LEVELS_MAX; level-- > 0;)
    {
      while (links[level] != NULL && strcmp (links[level]->key, key) < 0)
        links = links[level]->next;
      if (path != NULL)
        path->links[level] = &links[level];
    }
  return links[0];
}

static struct node *
find (struct sorted *sorted, const char *key, struct path *path)
{
  struct node *node = seek (sorted, key, path);

  return node != NULL && strcmp (node->key, key) == 0 ? node : NULL;
}

static uint32_t
draw_levels (struct sorted *sorted)
{
  uint64_t bits = mq_random_next (&sorted->random);
  uint32_t levels = 1;

  while (levels < LEVELS_MAX && (bits & 1) != 0)
    {
      levels++;
      bits >>= 1;
    }
  return levels;
}

static struct node *
create_node (TALLOC_CTX *ctx, const char *key, uint32_t levels)
{
  size_t links = levels * sizeof (struct node *);
  size_t size = strlen (key) + 1;
  struct node *node
      = check_alloc (talloc_zero_size (ctx, sizeof *node + links + size));

  node->levels = levels;
  node->key = (char *)node + sizeof *node + links;
  memcpy (node->key, key, size);
  return node;
}

static struct node *
insert (TALLOC_CTX *ctx, struct sorted *sorted, const char *key,
        struct path *path)
{
  struct node *node = create_node (ctx, key, draw_levels (sorted));

  for (uint32_t level = 0; level < node->levels; level++)
    {
      node->next[level] = *path->links[level];
      *path->links[level] = node;
    }
  sorted->count++;
  sorted->bytes += strlen (key);
  return node;
}

static struct node *
store (TALLOC_CTX *ctx, struct sorted *sorted, const char *key,
       struct mq_bytes value)
{
  struct path path;
  struct node *node = find (sorted, key, &path);

  if (node == NULL)
    node = insert (ctx, sorted, key, &path);
  sorted->bytes -= node->value.len;
  sorted->bytes += value.len;
  talloc_free (node->value.data);
  node->value = copy_bytes (node, value);
  return node;
}

static bool
erase (struct sorted *sorted, const char *key)
{
  struct path path;
  struct node *node = find (sorted, key, &path);

  if (node == NULL)
    return false;
  for (uint32_t level = 0; level < node->levels; level++)
    *path.links[level] = node->next[level];
  sorted->count--;
  sorted->bytes -= strlen (key) + node->value.len;
  talloc_free (node);
  return true;
}

struct mq_table *
mq_table_create (TALLOC_CTX *ctx)
{
  struct mq_table *table = check_alloc (talloc_zero (ctx, struct mq_table));

  table->rows.random = LEVELS_SEED;
  table->objects.random = LEVELS_SEED;
  return table;
}

void
mq_table_destroy (struct mq_table *table)
{
  talloc_free (table);
}

static bool
condition_holds (struct mq_table *table, const struct mq_store_op *op)
{
  struct node *node;

  if (op->if_version == MQ_VERSION_ANY)
    return true;
  node = find (&table->rows, op->key, NULL);
  return op->if_version == (node == NULL ? MQ_VERSION_ABSENT : node->version);
}

static uint64_t
apply (struct mq_table *table, const struct mq_store_op *op)
{
  struct node *node;

  table->rows_written++;
  if (op->remove)
    {
      erase (&table->rows, op->key);
      return 0;
    }
  node = store (table, &table->rows, op->key, op->value);
  node->version = ++table->last_version;
  return node->version;
}

enum mq_store_status
mq_table_transact (struct mq_table *table, const struct mq_store_op *ops,
                   size_t count, uint64_t *versions, bool *failed)
{
  bool all = true;

  for (size_t i = 0; i < count; i++)
    {
      bool holds = condition_holds (table, &ops[i]);

      versions[i] = 0;
      if (failed != NULL)
        failed[i] = !holds;
      all = all && holds;
    }
  if (!all)
    {
      table->conflicts++;
      return MQ_STORE_CONFLICT;
    }
  table->writes++;
  for (size_t i = 0; i < count; i++)
    versions[i] = apply (table, &ops[i]);
  return MQ_STORE_OK;
}

static void
copy_node (TALLOC_CTX *ctx, struct mq_row *row, const struct node *node)
{
  row->key = check_alloc (talloc_strdup (ctx, node->key));
  row->version = node->version;
  row->value = copy_bytes (ctx, node->value);
}

static struct node *
scan_start (struct sorted *rows, const char *prefix, const char *after)
{
  struct node *node;

  if (after == NULL || strcmp (after, prefix) < 0)
    return seek (rows, prefix, NULL);
  node = seek (rows, after, NULL);
  if (node != NULL && strcmp (node->key, after) == 0)
    node = node->next[0];
  return node;
}

static bool
has_prefix (const struct node *node, const char *prefix)
{
  return node != NULL && strncmp (node->key, prefix, strlen (prefix)) == 0;
}

static uint32_t
bound_limit (uint32_t limit)
{
  if (limit == 0 || limit > MQ_TABLE_SCAN_ROWS)
    return MQ_TABLE_SCAN_ROWS;
  return limit;
}

bool
mq_table_scan (struct mq_table *table, TALLOC_CTX *ctx, const char *prefix,
               const char *after, uint32_t limit, struct mq_row **rows,
               size_t *count)
{
  struct node *from = scan_start (&table->rows, prefix, after);
  const struct node *node = from;
  struct mq_row *copies;
  size_t bytes = 0;
  size_t n = 0;

  table->reads++;
  while (n < bound_limit (limit) && has_prefix (node, prefix)
         && (n == 0 || bytes + node->value.len <= MQ_TABLE_SCAN_BYTES))
    {
      bytes += node->value.len;
      n++;
      node = node->next[0];
    }
  copies = check_alloc (talloc_zero_array (ctx, struct mq_row, n + 1));
  for (size_t i = 0; i < n; i++, from = from->next[0])
    copy_node (copies, &copies[i], from);
  *rows = copies;
  *count = n;
  return has_prefix (node, prefix);
}

void
mq_table_put (struct mq_table *table, const char *key, struct mq_bytes value)
{
  table->writes++;
  store (table, &table->objects, key, value);
}

bool
mq_table_get (struct mq_table *table, TALLOC_CTX *ctx, const char *key,
              struct mq_bytes *value)
{
  struct node *node = find (&table->objects, key, NULL);

  table->reads++;
  if (node == NULL)
    return false;
  *value = copy_bytes (ctx, node->value);
  return true;
}

bool
mq_table_delete_object (struct mq_table *table, const char *key)
{
  table->writes++;
  return erase (&table->objects, key);
}

static void
add_row (struct mq_store_result *result, const char *key, uint64_t version)
{
  struct mq_row *row = &result->rows[result->row_count++];

  row->key = check_alloc (talloc_strdup (result->rows, key));
  row->version = version;
}

static void
serve_transaction (struct mq_table *table, TALLOC_CTX *ctx,
                   const struct mq_store_request *request,
                   struct mq_store_result *result)
{
  size_t count = request->op_count;
  uint64_t *versions
      = check_alloc (talloc_zero_array (ctx, uint64_t, count + 1));
  bool *failed = check_alloc (talloc_zero_array (ctx, bool, count + 1));

  result->status
      = mq_table_transact (table, request->ops, count, versions, failed);
  result->rows
      = check_alloc (talloc_zero_array (ctx, struct mq_row, count + 1));
  for (size_t i = 0; i < count; i++)
    if (result->status == MQ_STORE_OK || failed[i])
      add_row (result, request->ops[i].key, versions[i]);
  talloc_free (versions);
  talloc_free (failed);
}

void
mq_table_execute (struct mq_table *table, TALLOC_CTX *ctx,
                  const struct mq_store_request *request,
                  struct mq_store_result *result)
{
  *result = (struct mq_store_result){ .id = request->id };
  switch (request->kind)
    {
    case MQ_STORE_TXN:
      serve_transaction (table, ctx, request, result);
      break;
    case MQ_STORE_SCAN:
      result->more
          = mq_table_scan (table, ctx, request->key, request->after,
                           request->limit, &result->rows, &result->row_count);
      break;
    case MQ_STORE_PUT:
      mq_table_put (table, request->key, request->value);
      break;
    case MQ_STORE_GET:
      if (!mq_table_get (table, ctx, request->key, &result->value))
        result->status = MQ_STORE_MISSING;
      break;
    case MQ_STORE_DELETE:
      mq_table_delete_object (table, request->key);
      break;
    }
}

struct mq_table_counters
mq_table_counters (const struct mq_table *table)
{
  struct mq_table_counters counters = {
    .reads = table->reads,
    .writes = table->writes,
    .conflicts = table->conflicts,
    .rows_written = table->rows_written,
    .rows = table->rows.count,
    .objects = table->objects.count,
    .bytes = table->rows.bytes + table->objects.bytes,
  };

  return counters;
}

static struct mq_row *
copy_all (TALLOC_CTX *ctx, const struct sorted *sorted)
{
  struct mq_row *rows = check_alloc (
      talloc_zero_array (ctx, struct mq_row, sorted->count + 1));
  const struct node *node = sorted->first[0];

  for (size_t i = 0; node != NULL; i++, node = node->next[0])
    copy_node (rows, &rows[i], node);
  return rows;
}

struct mq_table_snapshot *
mq_table_snapshot (const struct mq_table *table, TALLOC_CTX *ctx)
{
  struct mq_table_snapshot *snapshot
      = check_alloc (talloc_zero (ctx, struct mq_table_snapshot));

  snapshot->rows = copy_all (snapshot, &table->rows);
  snapshot->row_count = table->rows.count;
  snapshot->objects = copy_all (snapshot, &table->objects);
  snapshot->object_count = table->objects.count;
  return snapshot;
}
