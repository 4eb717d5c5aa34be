/* weight_store.c - rate-limited store of model weights.

   Needs: weight_store.h.  */

#include "weight_store.h"
#include <stdlib.h>
#include <string.h>

enum
{
  US_PER_S = 1000000,
  S_PER_MINUTE = 60
};

/* Token bucket; one token is one load.  */
struct weight
{
  const char *name;
  uint64_t bytes;
  uint64_t filled_us;
  double tokens;
  uint32_t loads_per_minute;
};

struct mq_weight_store
{
  struct weight *items;
  size_t count;
};

struct mq_weight_store *
mq_weight_store_create (TALLOC_CTX *ctx)
{
  struct mq_weight_store *store = talloc_zero (ctx, struct mq_weight_store);

  if (store == NULL)
    abort ();
  return store;
}

static struct weight *
find (struct mq_weight_store *store, const char *name)
{
  for (size_t i = 0; i < store->count; i++)
    if (strcmp (store->items[i].name, name) == 0)
      return &store->items[i];
  return NULL;
}

static struct weight *
add (struct mq_weight_store *store, const char *name)
{
  struct weight *weight;

  store->items
      = talloc_realloc (store, store->items, struct weight, store->count + 1);
  if (store->items == NULL)
    abort ();
  weight = &store->items[store->count++];
  weight->name = talloc_strdup (store, name);
  return weight;
}

void
mq_weight_store_set (struct mq_weight_store *store, const char *name,
                     uint64_t bytes, uint32_t loads_per_minute,
                     uint64_t now_us)
{
  struct weight *weight = find (store, name);

  if (weight == NULL)
    weight = add (store, name);
  weight->bytes = bytes;
  weight->loads_per_minute = loads_per_minute;
  weight->tokens = loads_per_minute;
  weight->filled_us = now_us;
}

static void
refill (struct weight *weight, uint64_t now_us)
{
  double minutes
      = (double)(now_us - weight->filled_us) / US_PER_S / S_PER_MINUTE;

  weight->tokens += minutes * weight->loads_per_minute;
  if (weight->tokens > weight->loads_per_minute)
    weight->tokens = weight->loads_per_minute;
  weight->filled_us = now_us;
}

static uint32_t
seconds_to_next (const struct weight *weight)
{
  double missing = 1.0 - weight->tokens;

  if (weight->loads_per_minute == 0)
    return S_PER_MINUTE;
  return 1 + (uint32_t)(missing * S_PER_MINUTE / weight->loads_per_minute);
}

enum mq_weight_answer
mq_weight_store_load (struct mq_weight_store *store, const char *name,
                      uint64_t now_us, uint64_t *bytes,
                      uint32_t *retry_after_s)
{
  struct weight *weight = find (store, name);

  if (weight == NULL)
    return MQ_WEIGHT_UNKNOWN;
  refill (weight, now_us);
  if (weight->tokens < 1.0)
    {
      *retry_after_s = seconds_to_next (weight);
      return MQ_WEIGHT_RATE_LIMITED;
    }
  weight->tokens -= 1.0;
  *bytes = weight->bytes;
  return MQ_WEIGHT_LOADED;
}
