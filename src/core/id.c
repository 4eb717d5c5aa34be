/* id.c - program ids, partitions and rendezvous hashing.

   Needs: id.h, xxhash.  */

#include "id.h"
#include <string.h>
#include <xxhash.h>

enum
{
  SEED_OPEN_HI = 1,
  SEED_OPEN_LO = 2,
  SEED_CHILD = 3,
  SEED_PARTITION = 4,
  SEED_HOST = 5
};

uint64_t
mq_hash_bytes (const void *data, size_t len, uint64_t seed)
{
  return XXH64 (data, len, seed);
}

/* Hashes the length of FIRST as well, so that different pairs never
   concatenate to the same bytes.  */
static uint64_t
hash_pair (const char *first, const char *second, uint64_t seed)
{
  uint64_t len = strlen (first);
  uint64_t hash = XXH64 (&len, sizeof len, seed);

  hash = XXH64 (first, len, hash);
  return XXH64 (second, strlen (second), hash);
}

struct mq_id
mq_id_open (const char *organisation, const char *key)
{
  struct mq_id id;

  id.hi = hash_pair (organisation, key, SEED_OPEN_HI);
  id.lo = hash_pair (organisation, key, SEED_OPEN_LO);
  return id;
}

struct mq_id
mq_id_child (struct mq_id parent, uint32_t call)
{
  uint64_t words[3] = { parent.hi, parent.lo, call };
  struct mq_id id;

  id.hi = parent.hi;
  id.lo = XXH64 (words, sizeof words, SEED_CHILD);
  return id;
}

struct mq_id
mq_id_from_text (const char *text)
{
  XXH128_hash_t hash = XXH3_128bits (text, strlen (text));

  return (struct mq_id){ hash.high64, hash.low64 };
}

bool
mq_id_equal (struct mq_id a, struct mq_id b)
{
  return a.hi == b.hi && a.lo == b.lo;
}

bool
mq_id_is_zero (struct mq_id id)
{
  return id.hi == 0 && id.lo == 0;
}

int
mq_id_compare (struct mq_id a, struct mq_id b)
{
  if (a.hi != b.hi)
    return a.hi < b.hi ? -1 : 1;
  if (a.lo != b.lo)
    return a.lo < b.lo ? -1 : 1;
  return 0;
}

static void
format_word (uint64_t word, char *text)
{
  static const char digits[] = "0123456789abcdef";

  for (int i = 15; i >= 0; i--)
    {
      text[i] = digits[word & 15];
      word >>= 4;
    }
}

void
mq_id_format (struct mq_id id, char text[MQ_ID_TEXT])
{
  format_word (id.hi, text);
  format_word (id.lo, text + 16);
  text[MQ_ID_TEXT - 1] = '\0';
}

static bool
parse_word (const char *text, uint64_t *word)
{
  uint64_t value = 0;

  for (int i = 0; i < 16; i++)
    {
      char c = text[i];

      if (c >= '0' && c <= '9')
        value = value << 4 | (uint64_t)(c - '0');
      else if (c >= 'a' && c <= 'f')
        value = value << 4 | (uint64_t)(c - 'a' + 10);
      else
        return false;
    }
  *word = value;
  return true;
}

bool
mq_id_parse (const char *text, struct mq_id *id)
{
  if (text == NULL || strlen (text) != MQ_ID_TEXT - 1)
    return false;
  return parse_word (text, &id->hi) && parse_word (text + 16, &id->lo);
}

uint32_t
mq_id_partition (struct mq_id id, uint32_t partitions)
{
  uint64_t hash = XXH64 (&id.hi, sizeof id.hi, SEED_PARTITION);

  return partitions == 0 ? 0 : (uint32_t)(hash % partitions);
}

uint64_t
mq_rendezvous_weight (const char *host, uint64_t key)
{
  return XXH64 (host, strlen (host), key + SEED_HOST);
}

uint64_t
mq_random_next (uint64_t *state)
{
  uint64_t z = *state += 0x9e3779b97f4a7c15ULL;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

uint32_t
mq_random_below (uint64_t *state, uint32_t bound)
{
  return bound == 0 ? 0 : (uint32_t)(mq_random_next (state) % bound);
}
