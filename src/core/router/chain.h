/* chain.h - conversation history of a turn, so that a later turn can continue
   it.

   The text of a turn is that of the previous turn, followed by its input and
   the data of each of its events, each with a line feed.  Each turn has its
   own row, keyed by its id and readable from any host.  A row holds the full
   text or, if that exceeds the row size, the end of the text and the id of the
   turn whose row precedes it.  Recent chains are cached in memory.
   Needs: types.h, store.h, idmap.h.  */

#ifndef MQ_CHAIN_H
#define MQ_CHAIN_H

#include "../store.h"

/* Maximum text in one row; the rest of the 64 KiB is for ids.  */
#define MQ_CHAIN_ROW_BYTES ((size_t)48 << 10)
#define MQ_TURN_ID_MAX 160U
/* Maximum text of a chain: 120,000 tokens of 4 bytes, and a margin.  */
#define MQ_CHAIN_MAX_BYTES ((size_t)1 << 20)

/**
 * struct mq_chain - history of a turn
 * @id: id of the turn
 * @base: turn whose row holds the text before @tail_at, "" for none
 * @tail_at: offset in @text at which the text of the turn's own row begins
 * @text: all inputs and outputs, oldest first
 * @until_s: expiry of the row by the table's clock, 0 if unknown
 */
struct mq_chain
{
  char id[MQ_TURN_ID_MAX];
  char base[MQ_TURN_ID_MAX];
  size_t tail_at;
  struct mq_bytes text;
  uint64_t until_s;
};

/* Returns the chain of turn ID with its input and output, which follows
   BEFORE, NULL for a first turn.  Allocated under CTX; NULL if out of memory
   or longer than MQ_CHAIN_MAX_BYTES.  */
struct mq_chain *mq_chain_extend (TALLOC_CTX *ctx,
                                  const struct mq_chain *before,
                                  const char *id, struct mq_bytes input,
                                  struct mq_bytes output);
/* Returns the text of BEFORE followed by INPUT, allocated under CTX; data is
   NULL if out of memory.  */
struct mq_bytes mq_chain_append_input (TALLOC_CTX *ctx,
                                       const struct mq_chain *before,
                                       struct mq_bytes input);
struct mq_chain *mq_chain_copy (TALLOC_CTX *ctx, const struct mq_chain *chain);
/* Serializes the turn's row, allocated under CTX; data is NULL if out of
   memory.  */
struct mq_bytes mq_chain_pack (TALLOC_CTX *ctx, const struct mq_chain *chain);
/* Like mq_chain_pack, but the row holds the full text.  */
struct mq_bytes mq_chain_pack_full (TALLOC_CTX *ctx,
                                    const struct mq_chain *chain);
/* Returns the chain of turn ID from its row, allocated under CTX, or NULL if
   the row is invalid.  If its base is not empty, the caller adds the preceding
   text with mq_chain_prepend.  */
struct mq_chain *mq_chain_unpack (TALLOC_CTX *ctx, const char *id,
                                  struct mq_bytes row);
/* Prepends the text of BEFORE to CHAIN.  Returns false if out of memory.  */
bool mq_chain_prepend (struct mq_chain *chain, const struct mq_chain *before);

/* Returns the expiry of a turn's row, 0 if unknown.  */
uint64_t mq_chain_row_expiry_s (struct mq_bytes row);

struct mq_chain_cache;

/* Creates an LRU cache of up to MAX_BYTES.  */
struct mq_chain_cache *mq_chain_cache_create (TALLOC_CTX *ctx,
                                              size_t max_bytes);
void mq_chain_cache_destroy (struct mq_chain_cache *cache);
/* Takes ownership of CHAIN.  */
void mq_chain_cache_put (struct mq_chain_cache *cache, struct mq_chain *chain);
/* Returns the cached chain, valid until the next put, or NULL.  */
const struct mq_chain *mq_chain_cache_find (struct mq_chain_cache *cache,
                                            const char *id);

#endif
