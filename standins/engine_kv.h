/* engine_kv.h - prefix cache of the stand-in engine.

   Memory is divided into blocks of 16 tokens.  A computed block is indexed by
   the hash of its tokens and of all preceding ones, so sequences with a common
   prefix share blocks.  Unreferenced blocks are kept and evicted in LRU order.
   Performs no I/O; the caller passes virtual time.
   Needs: types.h, id.h.  */

#ifndef MQ_ENGINE_KV_H
#define MQ_ENGINE_KV_H

#include "core/id.h"

#define MQ_KV_BLOCK_TOKENS 16U
#define MQ_KV_NO_BLOCK 0U

struct mq_kv;

/* Called when TOKENS of PROGRAM are evicted to make room.  */
typedef void mq_kv_evicted (struct mq_id program, uint32_t tokens, void *user);

/**
 * struct mq_kv_label - identity of a computed block
 * @hash: hash of its tokens and all preceding ones
 * @parent: hash of the preceding block; 0 for the first
 * @depth: number of preceding blocks
 * @service: part of the leading system messages; owned by the service and not
 *           by a program
 */
struct mq_kv_label
{
  uint64_t hash;
  uint64_t parent;
  uint32_t depth;
  bool service;
};

struct mq_kv_held
{
  struct mq_id program; /* zero for the service */
  uint32_t tokens;
};

#define MQ_KV_COUNTER_LIST(X)                                                 \
  X (held_token_us, "token-microseconds of memory held")                      \
  X (idle_token_us, "of these, held while no sequence used them")             \
  X (wasted_token_us, "of the idle ones, those that ended without reuse")     \
  X (hit_tokens, "tokens found")                                              \
  X (stored_tokens, "tokens computed and kept")                               \
  X (recomputed_tokens, "of these, tokens that were kept here before")        \
  X (evicted_tokens, "tokens evicted to make room")                           \
  X (evicted_unreused_tokens, "of these, tokens that were never reused")      \
  X (dropped_tokens, "tokens evicted because a program's cache was dropped")

struct mq_kv_counters
{
#define MQ_COUNTER_FIELD(name, help) uint64_t name;
  MQ_KV_COUNTER_LIST (MQ_COUNTER_FIELD)
#undef MQ_COUNTER_FIELD
};

struct mq_kv *mq_kv_create (TALLOC_CTX *ctx, uint32_t blocks,
                            mq_kv_evicted *evicted, void *user);
/* Returns the computed block with HASH, or MQ_KV_NO_BLOCK.  */
uint32_t mq_kv_find (const struct mq_kv *kv, uint64_t hash);
/* Adds a reference for a sequence of PROGRAM, which becomes the owner unless
   the block belongs to the service.  */
void mq_kv_reference (struct mq_kv *kv, uint32_t block, struct mq_id program,
                      uint64_t now_us);
/* Returns an unlabelled block with one reference, evicting the least recently
   used block if none is free; MQ_KV_NO_BLOCK if all are referenced.  */
uint32_t mq_kv_allocate (struct mq_kv *kv, struct mq_id program,
                         uint64_t now_us);
/* Labels a computed block.  Returns the block to use from now on: an existing
   block with the same hash, or BLOCK.  */
uint32_t mq_kv_label (struct mq_kv *kv, uint32_t block,
                      const struct mq_kv_label *label, uint64_t now_us);
/* Removes a reference.  An unreferenced block stays cached, unless DROP is
   set: then it is freed.  */
void mq_kv_release (struct mq_kv *kv, uint32_t block, bool drop,
                    uint64_t now_us);
/* Frees the unreferenced blocks owned by PROGRAM; returns the number of
   tokens.  */
uint32_t mq_kv_drop_program (struct mq_kv *kv, struct mq_id program,
                             uint64_t now_us);
void mq_kv_drop_unreferenced (struct mq_kv *kv, uint64_t now_us);
/* Labels of PROGRAM's blocks and all blocks preceding them, by ascending
   depth.  */
struct mq_kv_label *mq_kv_program_labels (TALLOC_CTX *ctx,
                                          const struct mq_kv *kv,
                                          struct mq_id program, size_t *count);
struct mq_id mq_kv_owner (const struct mq_kv *kv, uint32_t block);
bool mq_kv_is_idle (const struct mq_kv *kv, uint32_t block);
/* Number of blocks that mq_kv_allocate can return.  */
uint32_t mq_kv_available (const struct mq_kv *kv);
uint32_t mq_kv_used_tokens (const struct mq_kv *kv);
uint32_t mq_kv_total_tokens (const struct mq_kv *kv);
/* Tokens held per program, in order of program ids.  */
struct mq_kv_held *mq_kv_held (TALLOC_CTX *ctx, const struct mq_kv *kv,
                               size_t *count);
/* Updates the token-time counters to NOW_US.  */
void mq_kv_account (struct mq_kv *kv, uint64_t now_us);
const struct mq_kv_counters *mq_kv_read_counters (const struct mq_kv *kv);

#endif
