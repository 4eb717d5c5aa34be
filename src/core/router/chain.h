/* chain.h - what was said up to a turn, so that a later turn can continue.

   The text of a turn is that of the turn before it, then its own input, then
   the data of each of its events with a line feed.  Each turn has a row of
   its own, under its id alone, that one read finds from any host: the row
   holds the whole text, or, once that grows beyond a row, its end and the
   turn whose row holds what comes before.  Recent chains stay in memory.
   Needs: types.h, store.h, idmap.h.  */

#ifndef MQ_CHAIN_H
#define MQ_CHAIN_H

#include "../store.h"

/* Text in one row.  A row holds 64 KiB at most; the rest is room for ids.  */
#define MQ_CHAIN_ROW_BYTES ((size_t)48 << 10)
#define MQ_TURN_ID_MAX 160U
/* Text of the longest chain: 120,000 tokens at 4 bytes and some more.  */
#define MQ_CHAIN_MAX_BYTES ((size_t)1 << 20)

/**
 * struct mq_chain - a turn and all before it
 * @id: of the turn
 * @base: turn whose row holds the text before @tail_at, "" for none
 * @tail_at: where the text of the turn's own row begins in @text
 * @text: all inputs and outputs, oldest first
 * @until_s: the row is kept until then by the table's clock, 0: not told
 */
struct mq_chain
{
  char id[MQ_TURN_ID_MAX];
  char base[MQ_TURN_ID_MAX];
  size_t tail_at;
  struct mq_bytes text;
  uint64_t until_s;
};

/* The chain of turn ID that follows BEFORE (NULL: the first one) with its
   input and output, below CTX; NULL when memory is out or it is too long.  */
struct mq_chain *mq_chain_extend (TALLOC_CTX *ctx,
                                  const struct mq_chain *before,
                                  const char *id, struct mq_bytes input,
                                  struct mq_bytes output);
/* All that was said up to BEFORE and then INPUT, below CTX; data is NULL when
   memory is out.  */
struct mq_bytes mq_chain_append_input (TALLOC_CTX *ctx,
                                       const struct mq_chain *before,
                                       struct mq_bytes input);
struct mq_chain *mq_chain_copy (TALLOC_CTX *ctx, const struct mq_chain *chain);
/* Row of the turn, below CTX; data is NULL when memory is out.  */
struct mq_bytes mq_chain_pack (TALLOC_CTX *ctx, const struct mq_chain *chain);
/* The same with the whole text, whatever rows it lies in.  */
struct mq_bytes mq_chain_pack_full (TALLOC_CTX *ctx,
                                    const struct mq_chain *chain);
/* Chain of turn ID from its row, below CTX; NULL when the bytes are no row.
   When base is not empty, the text before it is missing and is added by
   mq_chain_prepend.  */
struct mq_chain *mq_chain_unpack (TALLOC_CTX *ctx, const char *id,
                                  struct mq_bytes row);
/* Puts the text of BEFORE in front of all that CHAIN has.  */
bool mq_chain_prepend (struct mq_chain *chain, const struct mq_chain *before);

/* Time until which the row of a turn is kept, 0: not told.  */
uint64_t mq_chain_row_expiry_s (struct mq_bytes row);

struct mq_chain_cache;

/* Keeps up to MAX_BYTES of text; the chains used longest ago go first.  */
struct mq_chain_cache *mq_chain_cache_create (TALLOC_CTX *ctx,
                                              size_t max_bytes);
void mq_chain_cache_destroy (struct mq_chain_cache *cache);
/* Takes CHAIN over.  */
void mq_chain_cache_put (struct mq_chain_cache *cache, struct mq_chain *chain);
/* Valid until the next put; NULL when it is not there.  */
const struct mq_chain *mq_chain_cache_find (struct mq_chain_cache *cache,
                                            const char *id);

#endif
