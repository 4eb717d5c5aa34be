/* engine_kv.c - prefix cache of the stand-in engine.

   Blocks are indices into one table, from 1.  Free blocks form a stack,
   unreferenced ones a list in LRU order.
   Needs: engine_kv.h.  */

#include "engine_kv.h"
#include "core/memory.h"
#include <stdlib.h>
#include <string.h>

enum
{
  /* Hashes of freed blocks to remember, per block of memory.  */
  FREED_HASHES_PER_BLOCK = 8
};

struct block
{
  struct mq_kv_label label;
  struct mq_id owner;
  uint64_t idle_since_us;
  uint32_t refs;
  uint32_t hits;
  uint32_t newer; /* in the LRU list */
  uint32_t older;
  uint32_t next; /* in the hash bucket or the free stack */
  bool used;
  bool labelled;
};

struct mq_kv
{
  struct block *blocks; /* [0] is unused */
  uint32_t block_count;
  uint32_t free_first;
  uint32_t free_count;
  uint32_t oldest;
  uint32_t newest;
  uint32_t idle_count;
  uint32_t *buckets;
  uint64_t bucket_mask;
  /* Hashes of freed blocks.  Collisions overwrite, so recomputed_tokens is a
     lower bound.  */
  uint64_t *freed_hashes;
  uint64_t freed_hash_mask;
  uint64_t accounted_us;
  mq_kv_evicted *evicted;
  void *user;
  struct mq_kv_counters counters;
};

static uint64_t
round_up_power (uint64_t least)
{
  uint64_t power = 1;

  while (power < least)
    power *= 2;
  return power;
}

static void
push_free (struct mq_kv *kv, uint32_t block)
{
  kv->blocks[block].next = kv->free_first;
  kv->free_first = block;
  kv->free_count++;
}

struct mq_kv *
mq_kv_create (TALLOC_CTX *ctx, uint32_t blocks, mq_kv_evicted *evicted,
              void *user)
{
  struct mq_kv *kv = mq_check_alloc (talloc_zero (ctx, struct mq_kv));
  uint64_t buckets = round_up_power (2ULL * blocks);
  uint64_t freed_hashes
      = round_up_power ((uint64_t)FREED_HASHES_PER_BLOCK * blocks);

  kv->blocks
      = mq_check_alloc (talloc_zero_array (kv, struct block, blocks + 1));
  kv->block_count = blocks;
  kv->buckets = mq_check_alloc (talloc_zero_array (kv, uint32_t, buckets));
  kv->bucket_mask = buckets - 1;
  kv->freed_hashes
      = mq_check_alloc (talloc_zero_array (kv, uint64_t, freed_hashes));
  kv->freed_hash_mask = freed_hashes - 1;
  kv->evicted = evicted;
  kv->user = user;
  for (uint32_t i = blocks; i > 0; i--)
    push_free (kv, i);
  return kv;
}

static uint32_t
used_blocks (const struct mq_kv *kv)
{
  return kv->block_count - kv->free_count;
}

void
mq_kv_account (struct mq_kv *kv, uint64_t now_us)
{
  uint64_t passed;

  if (now_us <= kv->accounted_us)
    return;
  passed = (now_us - kv->accounted_us) * MQ_KV_BLOCK_TOKENS;
  kv->counters.held_token_us += passed * used_blocks (kv);
  kv->counters.idle_token_us += passed * kv->idle_count;
  kv->accounted_us = now_us;
}

static uint32_t *
find_bucket (const struct mq_kv *kv, uint64_t hash)
{
  return &kv->buckets[hash & kv->bucket_mask];
}

uint32_t
mq_kv_find (const struct mq_kv *kv, uint64_t hash)
{
  uint32_t block = *find_bucket (kv, hash);

  while (block != MQ_KV_NO_BLOCK && kv->blocks[block].label.hash != hash)
    block = kv->blocks[block].next;
  return block;
}

static void
unlink_bucket (struct mq_kv *kv, uint32_t block)
{
  uint32_t *at = find_bucket (kv, kv->blocks[block].label.hash);

  while (*at != block)
    at = &kv->blocks[*at].next;
  *at = kv->blocks[block].next;
}

static void
link_idle (struct mq_kv *kv, uint32_t block)
{
  kv->blocks[block].older = kv->newest;
  kv->blocks[block].newer = MQ_KV_NO_BLOCK;
  if (kv->newest != MQ_KV_NO_BLOCK)
    kv->blocks[kv->newest].newer = block;
  else
    kv->oldest = block;
  kv->newest = block;
  kv->idle_count++;
}

static void
unlink_idle (struct mq_kv *kv, uint32_t block)
{
  uint32_t older = kv->blocks[block].older;
  uint32_t newer = kv->blocks[block].newer;

  if (older != MQ_KV_NO_BLOCK)
    kv->blocks[older].newer = newer;
  else
    kv->oldest = newer;
  if (newer != MQ_KV_NO_BLOCK)
    kv->blocks[newer].older = older;
  else
    kv->newest = older;
  kv->idle_count--;
}

/* Frees a block that is neither referenced nor in the LRU list.  */
static void
free_block (struct mq_kv *kv, uint32_t block)
{
  struct block *b = &kv->blocks[block];

  if (b->labelled)
    {
      unlink_bucket (kv, block);
      kv->freed_hashes[b->label.hash & kv->freed_hash_mask] = b->label.hash;
    }
  memset (b, 0, sizeof *b);
  push_free (kv, block);
}

static void
free_idle_block (struct mq_kv *kv, uint32_t block, uint64_t now_us)
{
  struct block *b = &kv->blocks[block];

  kv->counters.wasted_token_us
      += (now_us - b->idle_since_us) * MQ_KV_BLOCK_TOKENS;
  unlink_idle (kv, block);
  free_block (kv, block);
}

static void
evict_oldest (struct mq_kv *kv, uint64_t now_us)
{
  struct block *b = &kv->blocks[kv->oldest];
  struct mq_id program = mq_kv_owner (kv, kv->oldest);

  kv->counters.evicted_tokens += MQ_KV_BLOCK_TOKENS;
  if (b->hits == 0)
    kv->counters.evicted_unreused_tokens += MQ_KV_BLOCK_TOKENS;
  free_idle_block (kv, kv->oldest, now_us);
  kv->evicted (program, MQ_KV_BLOCK_TOKENS, kv->user);
}

void
mq_kv_reference (struct mq_kv *kv, uint32_t block, struct mq_id program,
                 uint64_t now_us)
{
  struct block *b = &kv->blocks[block];

  mq_kv_account (kv, now_us);
  if (b->refs == 0)
    unlink_idle (kv, block);
  b->refs++;
  b->hits++;
  b->owner = program;
  kv->counters.hit_tokens += MQ_KV_BLOCK_TOKENS;
}

uint32_t
mq_kv_allocate (struct mq_kv *kv, struct mq_id program, uint64_t now_us)
{
  uint32_t block;

  mq_kv_account (kv, now_us);
  if (kv->free_count == 0 && kv->idle_count > 0)
    evict_oldest (kv, now_us);
  if (kv->free_count == 0)
    return MQ_KV_NO_BLOCK;
  block = kv->free_first;
  kv->free_first = kv->blocks[block].next;
  kv->free_count--;
  memset (&kv->blocks[block], 0, sizeof kv->blocks[block]);
  kv->blocks[block].used = true;
  kv->blocks[block].refs = 1;
  kv->blocks[block].owner = program;
  return block;
}

static void
count_stored (struct mq_kv *kv, uint64_t hash)
{
  kv->counters.stored_tokens += MQ_KV_BLOCK_TOKENS;
  if (kv->freed_hashes[hash & kv->freed_hash_mask] == hash)
    kv->counters.recomputed_tokens += MQ_KV_BLOCK_TOKENS;
}

uint32_t
mq_kv_label (struct mq_kv *kv, uint32_t block, const struct mq_kv_label *label,
             uint64_t now_us)
{
  struct block *b = &kv->blocks[block];
  uint32_t equal = mq_kv_find (kv, label->hash);
  uint32_t *bucket = find_bucket (kv, label->hash);

  mq_kv_account (kv, now_us);
  count_stored (kv, label->hash);
  if (equal != MQ_KV_NO_BLOCK)
    {
      struct mq_id owner = b->owner;

      free_block (kv, block);
      mq_kv_reference (kv, equal, owner, now_us);
      kv->counters.hit_tokens -= MQ_KV_BLOCK_TOKENS;
      return equal;
    }
  b->label = *label;
  b->labelled = true;
  b->next = *bucket;
  *bucket = block;
  return block;
}

void
mq_kv_release (struct mq_kv *kv, uint32_t block, bool drop, uint64_t now_us)
{
  struct block *b = &kv->blocks[block];

  mq_kv_account (kv, now_us);
  b->refs--;
  if (b->refs > 0)
    return;
  if (!b->labelled || drop)
    {
      if (drop)
        kv->counters.dropped_tokens += MQ_KV_BLOCK_TOKENS;
      free_block (kv, block);
      return;
    }
  b->idle_since_us = now_us;
  link_idle (kv, block);
}

uint32_t
mq_kv_drop_program (struct mq_kv *kv, struct mq_id program, uint64_t now_us)
{
  uint32_t tokens = 0;

  mq_kv_account (kv, now_us);
  for (uint32_t i = 1; i <= kv->block_count; i++)
    if (mq_kv_is_idle (kv, i) && !kv->blocks[i].label.service
        && mq_id_equal (kv->blocks[i].owner, program))
      {
        free_idle_block (kv, i, now_us);
        tokens += MQ_KV_BLOCK_TOKENS;
      }
  kv->counters.dropped_tokens += tokens;
  return tokens;
}

void
mq_kv_drop_unreferenced (struct mq_kv *kv, uint64_t now_us)
{
  mq_kv_account (kv, now_us);
  while (kv->idle_count > 0)
    {
      kv->counters.dropped_tokens += MQ_KV_BLOCK_TOKENS;
      free_idle_block (kv, kv->oldest, now_us);
    }
}

static int
compare_depth (const void *a, const void *b)
{
  const struct mq_kv_label *first = a;
  const struct mq_kv_label *second = b;

  if (first->depth != second->depth)
    return first->depth < second->depth ? -1 : 1;
  if (first->hash != second->hash)
    return first->hash < second->hash ? -1 : 1;
  return 0;
}

/* Marks BLOCK and the blocks preceding it, up to the first marked one.  */
static void
mark_chain (const struct mq_kv *kv, uint32_t block, bool *marked)
{
  while (block != MQ_KV_NO_BLOCK && !marked[block])
    {
      marked[block] = true;
      block = mq_kv_find (kv, kv->blocks[block].label.parent);
    }
}

struct mq_kv_label *
mq_kv_program_labels (TALLOC_CTX *ctx, const struct mq_kv *kv,
                      struct mq_id program, size_t *count)
{
  bool *marked
      = mq_check_alloc (talloc_zero_array (NULL, bool, kv->block_count + 1));
  struct mq_kv_label *labels = mq_check_alloc (
      talloc_zero_array (ctx, struct mq_kv_label, kv->block_count + 1));

  *count = 0;
  for (uint32_t i = 1; i <= kv->block_count; i++)
    if (kv->blocks[i].labelled && !kv->blocks[i].label.service
        && mq_id_equal (kv->blocks[i].owner, program))
      mark_chain (kv, i, marked);
  for (uint32_t i = 1; i <= kv->block_count; i++)
    if (marked[i])
      labels[(*count)++] = kv->blocks[i].label;
  qsort (labels, *count, sizeof labels[0], compare_depth);
  talloc_free (marked);
  return labels;
}

struct mq_id
mq_kv_owner (const struct mq_kv *kv, uint32_t block)
{
  struct mq_id none = { 0, 0 };

  return kv->blocks[block].label.service ? none : kv->blocks[block].owner;
}

bool
mq_kv_is_idle (const struct mq_kv *kv, uint32_t block)
{
  return kv->blocks[block].used && kv->blocks[block].refs == 0;
}

uint32_t
mq_kv_available (const struct mq_kv *kv)
{
  return kv->free_count + kv->idle_count;
}

uint32_t
mq_kv_used_tokens (const struct mq_kv *kv)
{
  return used_blocks (kv) * MQ_KV_BLOCK_TOKENS;
}

uint32_t
mq_kv_total_tokens (const struct mq_kv *kv)
{
  return kv->block_count * MQ_KV_BLOCK_TOKENS;
}

static int
compare_program (const void *a, const void *b)
{
  const struct mq_kv_held *first = a;
  const struct mq_kv_held *second = b;

  return mq_id_compare (first->program, second->program);
}

/* Merges adjacent entries of the same program; returns the new count.  */
static size_t
merge_held (struct mq_kv_held *held, size_t count)
{
  size_t merged = 0;

  for (size_t i = 0; i < count; i++)
    if (merged > 0 && mq_id_equal (held[merged - 1].program, held[i].program))
      held[merged - 1].tokens += held[i].tokens;
    else
      held[merged++] = held[i];
  return merged;
}

struct mq_kv_held *
mq_kv_held (TALLOC_CTX *ctx, const struct mq_kv *kv, size_t *count)
{
  struct mq_kv_held *held = mq_check_alloc (
      talloc_zero_array (ctx, struct mq_kv_held, kv->block_count + 1));
  size_t used = 0;

  for (uint32_t i = 1; i <= kv->block_count; i++)
    if (kv->blocks[i].used)
      {
        held[used].program = mq_kv_owner (kv, i);
        held[used++].tokens = MQ_KV_BLOCK_TOKENS;
      }
  qsort (held, used, sizeof held[0], compare_program);
  *count = merge_held (held, used);
  return held;
}

const struct mq_kv_counters *
mq_kv_read_counters (const struct mq_kv *kv)
{
  return &kv->counters;
}
