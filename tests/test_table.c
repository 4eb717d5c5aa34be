/* test_table.c - the stand-in table against a naive model.

   Needs: Criterion, standins/table.h, id.h.  */

#include "core/id.h"
#include "../standins/table.h"
#include <criterion/criterion.h>
#include <string.h>

enum
{
  MODEL_MAX = 256,
  KEY_MAX = 16,
  OPS_MAX = 4
};

/* Naive model: unordered rows and objects with linear search.  */
struct model_row
{
  char key[KEY_MAX];
  uint64_t version;
  uint64_t value;
};

struct model
{
  struct model_row rows[MODEL_MAX];
  size_t count;
  uint64_t highest; /* version ever given out */
};

struct world
{
  struct mq_table *table;
  struct model rows;
  struct model objects;
  uint64_t random;
  uint32_t keys;
};

static struct model_row *
model_find (struct model *model, const char *key)
{
  for (size_t i = 0; i < model->count; i++)
    if (strcmp (model->rows[i].key, key) == 0)
      return &model->rows[i];
  return NULL;
}

static void
model_write (struct model *model, const char *key, uint64_t version,
             uint64_t value)
{
  struct model_row *row = model_find (model, key);

  if (row == NULL)
    {
      cr_assert (model->count < MODEL_MAX);
      row = &model->rows[model->count++];
      memcpy (row->key, key, strlen (key) + 1);
    }
  row->version = version;
  row->value = value;
}

static bool
model_remove (struct model *model, const char *key)
{
  struct model_row *row = model_find (model, key);

  if (row == NULL)
    return false;
  *row = model->rows[--model->count];
  return true;
}

/* Keys "a0".."c9…", with several prefixes and keys that are prefixes of
   others.  */
static void
draw_key (struct world *world, char key[KEY_MAX])
{
  uint32_t number = mq_random_below (&world->random, world->keys);
  size_t len = 0;

  key[len++] = (char)('a' + number % 3);
  for (; number > 0; number /= 10)
    key[len++] = (char)('0' + number % 10);
  key[len] = '\0';
}

/* Conditions that hold and that fail, including stale versions.  */
static uint64_t
draw_condition (struct world *world, const char *key)
{
  const struct model_row *row = model_find (&world->rows, key);

  switch (mq_random_below (&world->random, 6))
    {
    case 0:
      return MQ_VERSION_ANY;
    case 1:
      return MQ_VERSION_ABSENT;
    case 2:
      return 1 + mq_random_below (&world->random, 1000);
    default:
      return row == NULL ? MQ_VERSION_ABSENT : row->version;
    }
}

static bool
model_holds (struct world *world, const struct mq_store_op *op)
{
  const struct model_row *row = model_find (&world->rows, op->key);

  return op->if_version == MQ_VERSION_ANY
         || op->if_version == (row == NULL ? 0 : row->version);
}

static void
model_apply (struct world *world, const struct mq_store_op *op,
             uint64_t version)
{
  uint64_t value;

  if (op->remove)
    {
      cr_assert_eq (version, 0);
      model_remove (&world->rows, op->key);
      return;
    }
  cr_assert_gt (version, world->rows.highest, "version used again");
  world->rows.highest = version;
  memcpy (&value, op->value.data, sizeof value);
  model_write (&world->rows, op->key, version, value);
}

static void
step_transact (struct world *world)
{
  struct mq_store_op ops[OPS_MAX] = { 0 };
  char keys[OPS_MAX][KEY_MAX];
  uint64_t values[OPS_MAX];
  uint64_t versions[OPS_MAX];
  bool failed[OPS_MAX];
  size_t count = 1 + mq_random_below (&world->random, OPS_MAX);
  enum mq_store_status expected = MQ_STORE_OK;

  for (size_t i = 0; i < count; i++)
    {
      draw_key (world, keys[i]);
      values[i] = mq_random_next (&world->random);
      ops[i].key = keys[i];
      ops[i].if_version = draw_condition (world, keys[i]);
      ops[i].remove = mq_random_below (&world->random, 4) == 0;
      ops[i].value
          = (struct mq_bytes){ (uint8_t *)&values[i], sizeof values[i] };
      if (!model_holds (world, &ops[i]))
        expected = MQ_STORE_CONFLICT;
    }
  cr_assert_eq (mq_table_transact (world->table, ops, count, versions, failed),
                expected);
  for (size_t i = 0; i < count; i++)
    if (expected == MQ_STORE_OK)
      model_apply (world, &ops[i], versions[i]);
    else
      cr_assert_eq (failed[i], !model_holds (world, &ops[i]));
}

static const struct model_row *
model_next (const struct model *model, const char *prefix, const char *after)
{
  const struct model_row *best = NULL;

  for (size_t i = 0; i < model->count; i++)
    {
      const struct model_row *row = &model->rows[i];

      if (strncmp (row->key, prefix, strlen (prefix)) != 0
          || strcmp (row->key, after) <= 0)
        continue;
      if (best == NULL || strcmp (row->key, best->key) < 0)
        best = row;
    }
  return best;
}

static void
check_row (const struct mq_row *row, const struct model_row *expected)
{
  cr_assert_not_null (expected);
  cr_assert_str_eq (row->key, expected->key);
  cr_assert_eq (row->version, expected->version);
  cr_assert_eq (row->value.len, sizeof expected->value);
  cr_assert_arr_eq (row->value.data, &expected->value, sizeof expected->value);
}

static void
step_scan (struct world *world)
{
  static const char *const prefixes[] = { "", "a", "b", "c1", "d" };
  struct mq_store_request request = { .kind = MQ_STORE_SCAN };
  struct mq_store_result result;
  char after[KEY_MAX] = "";
  const char *last = after;

  if (mq_random_below (&world->random, 2) == 0)
    draw_key (world, after);
  request.key = (char *)prefixes[mq_random_below (&world->random, 5)];
  request.after = after;
  request.limit = 1 + mq_random_below (&world->random, 20);
  mq_table_execute (world->table, world->table, &request, &result);
  cr_assert_leq (result.row_count, request.limit);
  for (size_t i = 0; i < result.row_count; i++)
    {
      check_row (&result.rows[i],
                 model_next (&world->rows, request.key, last));
      last = result.rows[i].key;
    }
  cr_assert_eq (result.more,
                model_next (&world->rows, request.key, last) != NULL);
  talloc_free (result.rows);
}

static void
step_object (struct world *world)
{
  uint64_t value = mq_random_next (&world->random);
  struct mq_bytes bytes = { (uint8_t *)&value, sizeof value };
  const struct model_row *row;
  char key[KEY_MAX];

  draw_key (world, key);
  row = model_find (&world->objects, key);
  switch (mq_random_below (&world->random, 3))
    {
    case 0:
      mq_table_put (world->table, key, bytes);
      model_write (&world->objects, key, 0, value);
      break;
    case 1:
      cr_assert_eq (mq_table_delete_object (world->table, key),
                    model_remove (&world->objects, key));
      break;
    default:
      cr_assert_eq (mq_table_get (world->table, world->table, key, &bytes),
                    row != NULL);
      if (row != NULL)
        {
          cr_assert_arr_eq (bytes.data, &row->value, sizeof value);
          talloc_free (bytes.data);
        }
    }
}

static void
check_all (const struct mq_row *rows, size_t count, const struct model *model)
{
  const char *last = "";

  cr_assert_eq (count, model->count);
  for (size_t i = 0; i < count; i++)
    {
      check_row (&rows[i], model_next (model, "", last));
      last = rows[i].key;
    }
}

static uint64_t
model_bytes (const struct model *model)
{
  uint64_t bytes = 0;

  for (size_t i = 0; i < model->count; i++)
    bytes += strlen (model->rows[i].key) + sizeof model->rows[i].value;
  return bytes;
}

static void
check_world (struct world *world)
{
  struct mq_table_counters counters = mq_table_counters (world->table);
  struct mq_table_snapshot *all
      = mq_table_snapshot (world->table, world->table);

  check_all (all->rows, all->row_count, &world->rows);
  check_all (all->objects, all->object_count, &world->objects);
  cr_assert_eq (counters.rows, world->rows.count);
  cr_assert_eq (counters.objects, world->objects.count);
  cr_assert_eq (counters.bytes,
                model_bytes (&world->rows) + model_bytes (&world->objects));
  talloc_free (all);
}

static const struct
{
  uint64_t seed;
  uint32_t steps;
  uint32_t keys;
} sequences[] = {
  { 1, 20000, 5 },   { 2, 20000, 30 },  { 3, 20000, 200 },
  { 4, 20000, 200 }, { 5, 40000, 100 },
};

Test (table, random_sequences_match_a_naive_model)
{
  for (size_t i = 0; i < sizeof sequences / sizeof *sequences; i++)
    {
      struct world world = { .random = sequences[i].seed };

      world.table = mq_table_create (NULL);
      world.keys = sequences[i].keys;
      for (uint32_t step = 0; step < sequences[i].steps; step++)
        {
          switch (mq_random_below (&world.random, 4))
            {
            case 0:
              step_scan (&world);
              break;
            case 1:
              step_object (&world);
              break;
            default:
              step_transact (&world);
            }
          if (step % 1000 == 0)
            check_world (&world);
        }
      check_world (&world);
      cr_assert_gt (mq_table_counters (world.table).conflicts, 0);
      mq_table_destroy (world.table);
    }
}

/* A scan cut by the size limit must report more rows, and continuing after its
   last key must return every row exactly once.  */
static const struct
{
  size_t value_len;
  size_t first_answer;
  uint32_t rows;
  uint32_t limit;
} cuts[] = {
  { 64, 10, 10, 0 },
  { 64, MQ_TABLE_SCAN_ROWS, 1500, 0 },
  { 64, MQ_TABLE_SCAN_ROWS, 1500, 2000 },
  { 64, 7, 20, 7 },
  { 64, 20, 20, 20 },
  { 64 << 10, 16, 40, 0 },
  { MQ_TABLE_SCAN_BYTES + 1, 1, 3, 0 },
};

static void
fill (struct mq_table *table, uint32_t rows, size_t value_len)
{
  struct mq_bytes value = { talloc_zero_size (table, value_len), value_len };

  for (uint32_t i = 0; i < rows; i++)
    {
      struct mq_store_op op = { .if_version = MQ_VERSION_ABSENT };
      uint64_t version;

      op.key = talloc_asprintf (table, "row/%06u", i);
      op.value = value;
      cr_assert_eq (mq_table_transact (table, &op, 1, &version, NULL),
                    MQ_STORE_OK);
    }
}

Test (table, a_cut_scan_goes_on_after_its_last_key)
{
  for (size_t i = 0; i < sizeof cuts / sizeof *cuts; i++)
    {
      struct mq_table *table = mq_table_create (NULL);
      struct mq_row *rows;
      const char *after = NULL;
      size_t seen = 0;
      size_t count;
      bool more = true;

      fill (table, cuts[i].rows, cuts[i].value_len);
      while (more)
        {
          more = mq_table_scan (table, table, "row/", after, cuts[i].limit,
                                &rows, &count);
          cr_assert_gt (count, 0);
          cr_assert (seen > 0 || count == cuts[i].first_answer,
                     "case %zu: %zu rows", i, count);
          seen += count;
          after = rows[count - 1].key;
        }
      cr_assert_eq (seen, cuts[i].rows, "case %zu", i);
      mq_table_destroy (table);
    }
}
