/* engine_kv.h - the prefix cache of the stand-in engine.

   Memory in blocks of 16 tokens.  A block whose tokens are computed can be
   found by the hash of its tokens and of all before them, so sequences that
   begin alike share blocks.  Unreferenced blocks stay until memory is short;
   then the least recently used goes.  Pure: takes virtual time in.
   Needs: types.h, id.h.  */

#ifndef MQ_ENGINE_KV_H
#define MQ_ENGINE_KV_H

#include "core/id.h"

#define MQ_KV_BLOCK_TOKENS 16U
#define MQ_KV_NO_BLOCK 0U

struct mq_kv;

/* PROGRAM lost TOKENS that were evicted to make room.  */
typedef void mq_kv_evicted (struct mq_id program, uint32_t tokens, void *user);

/**
 * struct mq_kv_label - what a computed block is
 * @hash: hash of its tokens and of all before them
 * @parent: hash of the block before it, 0 for the first
 * @depth: how many blocks lie before it
 * @service: it lies in the leading system messages; it belongs to the
 *           service and to no program
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
  struct mq_id program; /* zero: the service */
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
/* Handle of the computed block with HASH, or MQ_KV_NO_BLOCK.  */
uint32_t mq_kv_find (const struct mq_kv *kv, uint64_t hash);
/* Adds a reference for a sequence of PROGRAM, which becomes the owner of a
   block that is not the service's.  */
void mq_kv_reference (struct mq_kv *kv, uint32_t block, struct mq_id program,
                      uint64_t now_us);
/* A block with one reference and no label; evicts the least recently used
   block where none is free.  MQ_KV_NO_BLOCK when all are referenced.  */
uint32_t mq_kv_allocate (struct mq_kv *kv, struct mq_id program,
                         uint64_t now_us);
/* BLOCK is computed.  Returns the block to use in its place: another one
   where an equal block was computed meanwhile.  */
uint32_t mq_kv_label (struct mq_kv *kv, uint32_t block,
                      const struct mq_kv_label *label, uint64_t now_us);
/* Gives back a reference.  With DROP a block that nobody else references is
   freed, else it is kept while there is room.  */
void mq_kv_release (struct mq_kv *kv, uint32_t block, bool drop,
                    uint64_t now_us);
/* Frees the unreferenced blocks that PROGRAM owns; how many tokens.  */
uint32_t mq_kv_drop_program (struct mq_kv *kv, struct mq_id program,
                             uint64_t now_us);
void mq_kv_drop_unreferenced (struct mq_kv *kv, uint64_t now_us);
/* Labels, by rising depth, of PROGRAM's blocks and of all before them.  */
struct mq_kv_label *mq_kv_program_labels (TALLOC_CTX *ctx,
                                          const struct mq_kv *kv,
                                          struct mq_id program, size_t *count);
struct mq_id mq_kv_owner (const struct mq_kv *kv, uint32_t block);
bool mq_kv_is_idle (const struct mq_kv *kv, uint32_t block);
/* Blocks that mq_kv_allocate could give out.  */
uint32_t mq_kv_available (const struct mq_kv *kv);
uint32_t mq_kv_used_tokens (const struct mq_kv *kv);
uint32_t mq_kv_total_tokens (const struct mq_kv *kv);
/* Tokens held by program, in order of ids.  */
struct mq_kv_held *mq_kv_held (TALLOC_CTX *ctx, const struct mq_kv *kv,
                               size_t *count);
/* Brings the token-times of the counters up to NOW_US.  */
void mq_kv_account (struct mq_kv *kv, uint64_t now_us);
const struct mq_kv_counters *mq_kv_read_counters (const struct mq_kv *kv);

#endif
