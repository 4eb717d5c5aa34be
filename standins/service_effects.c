/* service_effects.c - record of the calls that a stand-in service executed.

   Needs: service_effects.h.  */

#include "service_effects.h"
#include <stdlib.h>
#include <string.h>

enum
{
  INITIAL_CAPACITY = 64
};

struct record
{
  struct mq_effect effect;
  uint64_t n;        /* number of this call on its path, from 1 */
  uint64_t same_key; /* calls with this key; set on the key's first record */
  uint64_t answered_again; /* duplicates; set on the key's first record */
};

struct mq_effects
{
  bool honour_keys;
  struct record *records;
  size_t count;
  size_t capacity;
  json_t *paths; /* number of calls by path */
  json_t *keys;  /* index of the first record by path and key */
};

static void *
check_alloc (void *memory)
{
  if (memory == NULL)
    abort ();
  return memory;
}

static int
free_effects (struct mq_effects *effects)
{
  json_decref (effects->paths);
  json_decref (effects->keys);
  return 0;
}

struct mq_effects *
mq_effects_create (TALLOC_CTX *ctx, bool honour_keys)
{
  struct mq_effects *effects
      = check_alloc (talloc_zero (ctx, struct mq_effects));

  effects->honour_keys = honour_keys;
  effects->capacity = INITIAL_CAPACITY;
  effects->records
      = check_alloc (talloc_array (effects, struct record, INITIAL_CAPACITY));
  effects->paths = check_alloc (json_object ());
  effects->keys = check_alloc (json_object ());
  talloc_set_destructor (effects, free_effects);
  return effects;
}

/* Paths and keys may not be valid UTF-8, which json_object_set_new
   rejects.  */
static void
set_number (json_t *map, const char *name, uint64_t number)
{
  if (json_object_set_new_nocheck (map, name,
                                   json_integer ((json_int_t)number))
      != 0)
    abort ();
}

static uint64_t
next_on_path (struct mq_effects *effects, const char *path)
{
  json_t *last = json_object_get (effects->paths, path);
  uint64_t n = 1 + (uint64_t)json_integer_value (last);

  set_number (effects->paths, path, n);
  return n;
}

/* Index of the first record with CALL's path and key; the index of the next
   record if there is none or CALL has no key.  */
static size_t
find_first (struct mq_effects *effects, const struct mq_effect *call)
{
  size_t first = effects->count;
  char *name;
  json_t *index;

  if (call->key[0] == '\0')
    return first;
  name = check_alloc (
      talloc_asprintf (effects, "%s\n%s", call->path, call->key));
  index = json_object_get (effects->keys, name);
  if (index != NULL)
    first = (size_t)json_integer_value (index);
  else
    set_number (effects->keys, name, first);
  talloc_free (name);
  return first;
}

static struct record *
add (struct mq_effects *effects, const struct mq_effect *call)
{
  struct record *record;

  if (effects->count == effects->capacity)
    {
      effects->capacity *= 2;
      effects->records = check_alloc (talloc_realloc (
          effects, effects->records, struct record, effects->capacity));
    }
  record = &effects->records[effects->count++];
  *record = (struct record){ .n = next_on_path (effects, call->path) };
  record->effect.worker = check_alloc (talloc_strdup (effects, call->worker));
  record->effect.path = check_alloc (talloc_strdup (effects, call->path));
  record->effect.key = check_alloc (talloc_strdup (effects, call->key));
  record->effect.body = check_alloc (talloc_strdup (effects, call->body));
  return record;
}

/* Returns null if TEXT is not valid UTF-8.  */
static json_t *
text_json (const char *text)
{
  json_t *json = json_string (text);

  return json == NULL ? json_null () : json;
}

static json_t *
body_json (const char *body)
{
  json_t *json = json_loads (body, JSON_DECODE_ANY, NULL);

  return json == NULL ? text_json (body) : json;
}

static json_t *
format_response (const struct record *record)
{
  return check_alloc (json_pack (
      "{s:b,s:o,s:I,s:o}", "ok", 1, "path", text_json (record->effect.path),
      "n", (json_int_t)record->n, "echo", body_json (record->effect.body)));
}

json_t *
mq_effects_apply (struct mq_effects *effects, const struct mq_effect *call)
{
  size_t first = find_first (effects, call);
  struct record *record;

  if (first < effects->count && effects->honour_keys)
    {
      record = &effects->records[first];
      record->answered_again++;
      return format_response (record);
    }
  record = add (effects, call);
  if (call->key[0] != '\0')
    effects->records[first].same_key++;
  return format_response (record);
}

static bool
matches_path (const struct record *record, const char *path)
{
  return path == NULL || strcmp (record->effect.path, path) == 0;
}

struct mq_effect_totals
mq_effects_totals (const struct mq_effects *effects, const char *path)
{
  struct mq_effect_totals totals = { 0 };

  for (size_t i = 0; i < effects->count; i++)
    {
      const struct record *record = &effects->records[i];

      if (!matches_path (record, path))
        continue;
      totals.effects++;
      totals.keys += record->same_key > 0;
      totals.repeated_keys += record->same_key > 1;
      totals.answered_again += record->answered_again;
    }
  return totals;
}

static json_t *
describe (const struct record *record, size_t number)
{
  const struct mq_effect *effect = &record->effect;

  return json_pack ("{s:I,s:o,s:o,s:o,s:o,s:I}", "number", (json_int_t)number,
                    "worker", text_json (effect->worker), "path",
                    text_json (effect->path), "key", text_json (effect->key),
                    "body", body_json (effect->body), "n",
                    (json_int_t)record->n);
}

json_t *
mq_effects_list (const struct mq_effects *effects, const char *path, bool each)
{
  struct mq_effect_totals totals = mq_effects_totals (effects, path);
  json_t *json = check_alloc (
      json_pack ("{s:I,s:I,s:I,s:I}", "total", (json_int_t)totals.effects,
                 "keys", (json_int_t)totals.keys, "repeated_keys",
                 (json_int_t)totals.repeated_keys, "answered_again",
                 (json_int_t)totals.answered_again));
  json_t *list;

  if (!each)
    return json;
  list = check_alloc (json_array ());
  for (size_t i = 0; i < effects->count; i++)
    if (matches_path (&effects->records[i], path))
      json_array_append_new (list, describe (&effects->records[i], i + 1));
  json_object_set_new (json, "effects", list);
  return json;
}
