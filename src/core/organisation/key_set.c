/* key_set.c - hash set that maps API keys to their owners.

   Open addressing with linear probing; the table doubles when half full.
   Needs: key_set.h, id.h, nettle.  */

#include "key_set.h"
#include "../id.h"
#include <nettle/memops.h>
#include <nettle/sha2.h>
#include <string.h>

#define INITIAL_CAPACITY 64U

/**
 * struct entry - one key
 * @owner: MQ_KEY_NO_OWNER if the entry is free
 */
struct entry
{
  uint8_t digest[MQ_KEY_BYTES];
  uint32_t owner;
};

/**
 * struct mq_key_set - hash table of keys
 * @capacity: number of entries, a power of two
 */
struct mq_key_set
{
  uint64_t seed;
  struct entry *entries;
  size_t capacity;
  size_t count;
};

static struct entry *
make_entries (TALLOC_CTX *ctx, size_t capacity)
{
  struct entry *entries = talloc_array (ctx, struct entry, capacity);

  for (size_t i = 0; entries != NULL && i < capacity; i++)
    entries[i].owner = MQ_KEY_NO_OWNER;
  return entries;
}

struct mq_key_set *
mq_key_set_create (TALLOC_CTX *ctx, uint64_t seed)
{
  struct mq_key_set *set = talloc_zero (ctx, struct mq_key_set);

  if (set == NULL)
    return NULL;
  set->seed = seed;
  set->capacity = INITIAL_CAPACITY;
  set->entries = make_entries (set, INITIAL_CAPACITY);
  if (set->entries == NULL)
    TALLOC_FREE (set);
  return set;
}

void
mq_key_set_destroy (struct mq_key_set *set)
{
  talloc_free (set);
}

void
mq_key_digest (const char *key, uint8_t digest[MQ_KEY_BYTES])
{
  struct sha256_ctx sha;

  sha256_init (&sha);
  sha256_update (&sha, strlen (key), (const uint8_t *)key);
  sha256_digest (&sha, MQ_KEY_BYTES, digest);
}

/* Returns the entry of DIGEST, or the free entry where it would be added.  */
static struct entry *
find_entry (const struct mq_key_set *set, const uint8_t digest[MQ_KEY_BYTES])
{
  size_t at = mq_hash_bytes (digest, MQ_KEY_BYTES, set->seed);

  for (;; at++)
    {
      struct entry *entry = &set->entries[at & (set->capacity - 1)];

      if (entry->owner == MQ_KEY_NO_OWNER
          || memeql_sec (entry->digest, digest, MQ_KEY_BYTES))
        return entry;
    }
}

static bool
grow (struct mq_key_set *set)
{
  struct mq_key_set grown
      = { .seed = set->seed, .capacity = set->capacity * 2 };

  grown.entries = make_entries (set, grown.capacity);
  if (grown.entries == NULL)
    return false;
  for (size_t i = 0; i < set->capacity; i++)
    if (set->entries[i].owner != MQ_KEY_NO_OWNER)
      *find_entry (&grown, set->entries[i].digest) = set->entries[i];
  talloc_free (set->entries);
  set->entries = grown.entries;
  set->capacity = grown.capacity;
  return true;
}

enum mq_key_added
mq_key_set_add (struct mq_key_set *set, const uint8_t digest[MQ_KEY_BYTES],
                uint32_t owner)
{
  struct entry *entry;

  if (set->count >= set->capacity / 2 && !grow (set))
    return MQ_KEY_NO_MEMORY;
  entry = find_entry (set, digest);
  if (entry->owner != MQ_KEY_NO_OWNER)
    return MQ_KEY_TAKEN;
  memcpy (entry->digest, digest, MQ_KEY_BYTES);
  entry->owner = owner;
  set->count++;
  return MQ_KEY_ADDED;
}

uint32_t
mq_key_set_find (const struct mq_key_set *set,
                 const uint8_t digest[MQ_KEY_BYTES])
{
  return find_entry (set, digest)->owner;
}

size_t
mq_key_set_count (const struct mq_key_set *set)
{
  return set->count;
}
