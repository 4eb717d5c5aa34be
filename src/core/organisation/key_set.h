/* key_set.h - hash set that maps API keys to their owners.

   Only SHA-256 digests of keys are stored.  Look-ups use a secret seed and
   compare digests in constant time, so that neither timing nor crafted keys
   reveal anything about stored keys.  Pure.
   Needs: types.h, nettle.  */

#ifndef MQ_KEY_SET_H
#define MQ_KEY_SET_H

#include "../types.h"

struct mq_key_set;

/* Returned by mq_key_set_find for an unknown key.  */
#define MQ_KEY_NO_OWNER UINT32_MAX

/* SEED must be random and secret.  Returns NULL if out of memory.  */
struct mq_key_set *mq_key_set_create (TALLOC_CTX *ctx, uint64_t seed);
void mq_key_set_destroy (struct mq_key_set *set);
void mq_key_digest (const char *key, uint8_t digest[MQ_KEY_BYTES]);

enum mq_key_added
{
  MQ_KEY_ADDED,
  MQ_KEY_TAKEN, /* the key already has an owner */
  MQ_KEY_NO_MEMORY
};

/* OWNER must be less than MQ_KEY_NO_OWNER.  */
enum mq_key_added mq_key_set_add (struct mq_key_set *set,
                                  const uint8_t digest[MQ_KEY_BYTES],
                                  uint32_t owner);
uint32_t mq_key_set_find (const struct mq_key_set *set,
                          const uint8_t digest[MQ_KEY_BYTES]);
size_t mq_key_set_count (const struct mq_key_set *set);

#endif
