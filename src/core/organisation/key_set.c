/* key_set.c - whose key is this?  Digests of callers' keys and their owners.

   Open addressing with linear probing; it grows by doubling.
   Needs: key_set.h, id.h, nettle.  */

#include "key_set.h"
#include "../id.h"
#include <nettle/memops.h>
#include <nettle/sha2.h>
#include <string.h>

#define FIRST_ROOM 64U

/**
 * struct entry - one key
 * @owner: MQ_KEY_NO_OWNER: the place is free
 */
struct entry
{
  uint8_t digest[MQ_KEY_BYTES];
  uint32_t owner;
};

/**
 * struct mq_key_set - places for keys
 * @room: how many places, a power of two; at most half of them are taken
 */
struct mq_key_set
{
  uint64_t seed;
  struct entry *entries;
  size_t room;
  size_t count;
};

static struct entry *
make_entries (TALLOC_CTX *ctx, size_t room)
{
  struct entry *entries = talloc_array (ctx, struct entry, room);

  for (size_t i = 0; entries != NULL && i < room; i++)
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
  set->room = FIRST_ROOM;
  set->entries = make_entries (set, FIRST_ROOM);
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

/* The place of DIGEST, or the free one where it would be.  */
static struct entry *
find_place (const struct mq_key_set *set, const uint8_t digest[MQ_KEY_BYTES])
{
  size_t at = mq_hash_bytes (digest, MQ_KEY_BYTES, set->seed);

  for (;; at++)
    {
      struct entry *entry = &set->entries[at & (set->room - 1)];

      if (entry->owner == MQ_KEY_NO_OWNER
          || memeql_sec (entry->digest, digest, MQ_KEY_BYTES))
        return entry;
    }
}

static bool
grow (struct mq_key_set *set)
{
  struct mq_key_set grown = { .seed = set->seed, .room = set->room * 2 };

  grown.entries = make_entries (set, grown.room);
  if (grown.entries == NULL)
    return false;
  for (size_t i = 0; i < set->room; i++)
    if (set->entries[i].owner != MQ_KEY_NO_OWNER)
      *find_place (&grown, set->entries[i].digest) = set->entries[i];
  talloc_free (set->entries);
  set->entries = grown.entries;
  set->room = grown.room;
  return true;
}

enum mq_key_added
mq_key_set_add (struct mq_key_set *set, const uint8_t digest[MQ_KEY_BYTES],
                uint32_t owner)
{
  struct entry *entry;

  if (set->count >= set->room / 2 && !grow (set))
    return MQ_KEY_NO_MEMORY;
  entry = find_place (set, digest);
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
  return find_place (set, digest)->owner;
}

size_t
mq_key_set_count (const struct mq_key_set *set)
{
  return set->count;
}
