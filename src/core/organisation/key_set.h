/* key_set.h - whose key is this?  Digests of callers' keys and their owners.

   Keys are kept as SHA-256 digests alone.  A digest is found by a hash with a
   seed that callers don't know and compared in constant time, so that neither
   the time of a look-up nor a crafted key tells anything of the others.  Pure.
   Needs: types.h, nettle.  */

#ifndef MQ_KEY_SET_H
#define MQ_KEY_SET_H

#include "../types.h"

struct mq_key_set;

/* What mq_key_set_find returns for a key that nobody has.  */
#define MQ_KEY_NO_OWNER UINT32_MAX

/* SEED: by chance, unknown to callers.  NULL when memory is out.  */
struct mq_key_set *mq_key_set_create (TALLOC_CTX *ctx, uint64_t seed);
void mq_key_set_destroy (struct mq_key_set *set);
/* The digest under which KEY is kept.  */
void mq_key_digest (const char *key, uint8_t digest[MQ_KEY_BYTES]);

enum mq_key_added
{
  MQ_KEY_ADDED,
  MQ_KEY_TAKEN, /* it is somebody's already */
  MQ_KEY_NO_MEMORY
};

/* OWNER is anything below MQ_KEY_NO_OWNER.  */
enum mq_key_added mq_key_set_add (struct mq_key_set *set,
                                  const uint8_t digest[MQ_KEY_BYTES],
                                  uint32_t owner);
uint32_t mq_key_set_find (const struct mq_key_set *set,
                          const uint8_t digest[MQ_KEY_BYTES]);
size_t mq_key_set_count (const struct mq_key_set *set);

#endif
