/* chain.c - conversation history of a turn.

   Needs: chain.h, proto/turn.pb-c.h.  */

#include "chain.h"
#include "../../../proto/turn.pb-c.h"
#include "../id.h"
#include "../idmap.h"
#include <string.h>

/* Memory that a cached chain takes in addition to its text.  */
#define ENTRY_BYTES ((size_t)512)

static void
copy_id (char to[MQ_TURN_ID_MAX], const char *from)
{
  size_t len = strnlen (from, MQ_TURN_ID_MAX - 1);

  memcpy (to, from, len);
  to[len] = '\0';
}

static struct mq_chain *
make_chain (TALLOC_CTX *ctx, const char *id, size_t len)
{
  struct mq_chain *chain = talloc_zero (ctx, struct mq_chain);

  if (chain == NULL)
    return NULL;
  copy_id (chain->id, id);
  chain->text.data = talloc_size (chain, len + 1);
  chain->text.len = len;
  if (chain->text.data == NULL)
    TALLOC_FREE (chain);
  return chain;
}

static uint8_t *
put_bytes (uint8_t *at, const void *data, size_t len)
{
  if (len > 0)
    memcpy (at, data, len);
  return at + len;
}

struct mq_chain *
mq_chain_extend (TALLOC_CTX *ctx, const struct mq_chain *before,
                 const char *id, struct mq_bytes input, struct mq_bytes output)
{
  size_t before_len = before == NULL ? 0 : before->text.len;
  size_t own_len = input.len + output.len;
  struct mq_chain *chain;
  uint8_t *at;

  if (before_len + own_len > MQ_CHAIN_MAX_BYTES)
    return NULL;
  chain = make_chain (ctx, id, before_len + own_len);
  if (chain == NULL)
    return NULL;
  at = chain->text.data;
  at = put_bytes (at, before == NULL ? NULL : before->text.data, before_len);
  at = put_bytes (at, input.data, input.len);
  put_bytes (at, output.data, output.len);
  if (before == NULL)
    return chain;
  if (before_len - before->tail_at + own_len <= MQ_CHAIN_ROW_BYTES)
    {
      copy_id (chain->base, before->base);
      chain->tail_at = before->tail_at;
    }
  else
    {
      copy_id (chain->base, before->id);
      chain->tail_at = before_len;
    }
  return chain;
}

struct mq_bytes
mq_chain_append_input (TALLOC_CTX *ctx, const struct mq_chain *before,
                       struct mq_bytes input)
{
  size_t len = before->text.len + input.len;
  uint8_t *joined = talloc_size (ctx, len + 1);

  if (joined == NULL)
    return (struct mq_bytes){ NULL, 0 };
  memcpy (joined, before->text.data, before->text.len);
  if (input.len > 0)
    memcpy (joined + before->text.len, input.data, input.len);
  return (struct mq_bytes){ joined, len };
}

struct mq_chain *
mq_chain_copy (TALLOC_CTX *ctx, const struct mq_chain *chain)
{
  struct mq_chain *copy = make_chain (ctx, chain->id, chain->text.len);

  if (copy == NULL)
    return NULL;
  put_bytes (copy->text.data, chain->text.data, chain->text.len);
  copy_id (copy->base, chain->base);
  copy->tail_at = chain->tail_at;
  return copy;
}

/* Serializes a row with the text from FROM on, which follows that of BASE.  */
static struct mq_bytes
pack_from (TALLOC_CTX *ctx, const struct mq_chain *chain, const char *base,
           size_t from)
{
  Mqturn__TurnRow row = MQTURN__TURN_ROW__INIT;
  struct mq_bytes bytes;

  row.before = (char *)(uintptr_t)base;
  row.tail.data = chain->text.data + from;
  row.tail.len = chain->text.len - from;
  row.until_s = chain->until_s;
  bytes.len = mqturn__turn_row__get_packed_size (&row);
  bytes.data = talloc_size (ctx, bytes.len + 1);
  if (bytes.data != NULL)
    mqturn__turn_row__pack (&row, bytes.data);
  return bytes;
}

struct mq_bytes
mq_chain_pack (TALLOC_CTX *ctx, const struct mq_chain *chain)
{
  return pack_from (ctx, chain, chain->base, chain->tail_at);
}

struct mq_bytes
mq_chain_pack_full (TALLOC_CTX *ctx, const struct mq_chain *chain)
{
  return pack_from (ctx, chain, "", 0);
}

struct mq_chain *
mq_chain_unpack (TALLOC_CTX *ctx, const char *id, struct mq_bytes bytes)
{
  Mqturn__TurnRow *row
      = mqturn__turn_row__unpack (NULL, bytes.len, bytes.data);
  struct mq_chain *chain = NULL;

  if (row == NULL)
    return NULL;
  /* A truncated id could match another turn.  */
  if (strlen (row->before) < MQ_TURN_ID_MAX)
    chain = make_chain (ctx, id, row->tail.len);
  if (chain != NULL)
    {
      put_bytes (chain->text.data, row->tail.data, row->tail.len);
      copy_id (chain->base, row->before);
      chain->until_s = row->until_s;
    }
  mqturn__turn_row__free_unpacked (row, NULL);
  return chain;
}

uint64_t
mq_chain_row_expiry_s (struct mq_bytes bytes)
{
  Mqturn__TurnRow *row
      = mqturn__turn_row__unpack (NULL, bytes.len, bytes.data);
  uint64_t until = row == NULL ? 0 : row->until_s;

  if (row != NULL)
    mqturn__turn_row__free_unpacked (row, NULL);
  return until;
}

bool
mq_chain_prepend (struct mq_chain *chain, const struct mq_chain *before)
{
  size_t len = before->text.len + chain->text.len;
  uint8_t *joined = talloc_size (chain, len + 1);
  uint8_t *at;

  if (joined == NULL)
    return false;
  at = put_bytes (joined, before->text.data, before->text.len);
  put_bytes (at, chain->text.data, chain->text.len);
  talloc_free (chain->text.data);
  chain->text.data = joined;
  chain->text.len = len;
  chain->tail_at += before->text.len;
  return true;
}

/* Cached chain in a list ordered by last use.  */
struct cached
{
  struct mq_chain *chain;
  struct mq_id key;
  struct cached *newer;
  struct cached *older;
};

struct mq_chain_cache
{
  struct mq_idmap *map;
  struct cached *newest;
  struct cached *oldest;
  size_t bytes;
  size_t max_bytes;
};

struct mq_chain_cache *
mq_chain_cache_create (TALLOC_CTX *ctx, size_t max_bytes)
{
  struct mq_chain_cache *cache = talloc_zero (ctx, struct mq_chain_cache);

  if (cache == NULL)
    return NULL;
  cache->map = mq_idmap_create (cache);
  cache->max_bytes = max_bytes;
  return cache;
}

void
mq_chain_cache_destroy (struct mq_chain_cache *cache)
{
  talloc_free (cache);
}

static size_t
cost_of (const struct mq_chain *chain)
{
  return chain->text.len + ENTRY_BYTES;
}

static void
unlink_cached (struct mq_chain_cache *cache, struct cached *cached)
{
  if (cached->newer != NULL)
    cached->newer->older = cached->older;
  else
    cache->newest = cached->older;
  if (cached->older != NULL)
    cached->older->newer = cached->newer;
  else
    cache->oldest = cached->newer;
}

static void
link_newest (struct mq_chain_cache *cache, struct cached *cached)
{
  cached->newer = NULL;
  cached->older = cache->newest;
  if (cache->newest != NULL)
    cache->newest->newer = cached;
  else
    cache->oldest = cached;
  cache->newest = cached;
}

static void
evict_cached (struct mq_chain_cache *cache, struct cached *cached)
{
  unlink_cached (cache, cached);
  mq_idmap_remove (cache->map, cached->key, 0);
  cache->bytes -= cost_of (cached->chain);
  talloc_free (cached);
}

void
mq_chain_cache_put (struct mq_chain_cache *cache, struct mq_chain *chain)
{
  struct mq_id key = mq_id_from_text (chain->id);
  struct cached *old = mq_idmap_find (cache->map, key, 0);
  struct cached *cached = talloc_zero (cache, struct cached);

  if (old != NULL)
    evict_cached (cache, old);
  if (cached == NULL)
    {
      talloc_free (chain);
      return;
    }
  cached->chain = talloc_steal (cached, chain);
  cached->key = key;
  mq_idmap_put (cache->map, key, 0, cached);
  link_newest (cache, cached);
  cache->bytes += cost_of (chain);
  while (cache->bytes > cache->max_bytes && cache->oldest != cached)
    evict_cached (cache, cache->oldest);
}

const struct mq_chain *
mq_chain_cache_find (struct mq_chain_cache *cache, const char *id)
{
  struct cached *cached = mq_idmap_find (cache->map, mq_id_from_text (id), 0);

  if (cached == NULL || strcmp (cached->chain->id, id) != 0)
    return NULL;
  unlink_cached (cache, cached);
  link_newest (cache, cached);
  return cached->chain;
}
