/* id.h - program ids, partitions and rendezvous hashing.

   Hashes are xxHash64, which is not cryptographic.
   Needs: types.h, xxhash.  */

#ifndef MQ_ID_H
#define MQ_ID_H

#include "types.h"

/* Id of the program that ORGANISATION opens with idempotency key KEY.
   Deterministic, so that a repeated open finds the same program.  */
struct mq_id mq_id_open (const char *organisation, const char *key);
/* Id of the sub-program started by CALL of PARENT, in the same partition.  */
struct mq_id mq_id_child (struct mq_id parent, uint32_t call);
/* Hashes TEXT, an external identifier, to an id.  */
struct mq_id mq_id_from_text (const char *text);
bool mq_id_equal (struct mq_id a, struct mq_id b);
bool mq_id_is_zero (struct mq_id id);
int mq_id_compare (struct mq_id a, struct mq_id b);
void mq_id_format (struct mq_id id, char text[MQ_ID_TEXT]);
bool mq_id_parse (const char *text, struct mq_id *id);
uint32_t mq_id_partition (struct mq_id id, uint32_t partitions);
/* Rendezvous weight of HOST for KEY; the host with the highest is chosen.  */
uint64_t mq_rendezvous_weight (const char *host, uint64_t key);
uint64_t mq_hash_bytes (const void *data, size_t len, uint64_t seed);
/* splitmix64, for jitter; not for secrets.  */
uint64_t mq_random_next (uint64_t *state);
/* Uniform in [0, bound).  */
uint32_t mq_random_below (uint64_t *state, uint32_t bound);

#endif
