/* weight_store.h - the stand-in's store of model weights, limited in rate.

   Pure: the caller brings the time.
   Needs: talloc.  */

#ifndef MQ_WEIGHT_STORE_H
#define MQ_WEIGHT_STORE_H

#include <stdint.h>
#include <talloc.h>

struct mq_weight_store;

enum mq_weight_answer
{
  MQ_WEIGHT_LOADED,
  MQ_WEIGHT_RATE_LIMITED,
  MQ_WEIGHT_UNKNOWN
};

struct mq_weight_store *mq_weight_store_create (TALLOC_CTX *ctx);

/**
 * mq_weight_store_set - add weights or change them; the full rate is free
 * @store: the store
 * @name: name of the weights
 * @bytes: their size
 * @loads_per_minute: rate; a minute's worth may come at once
 * @now_us: time on any steady clock
 */
void mq_weight_store_set (struct mq_weight_store *store, const char *name,
                          uint64_t bytes, uint32_t loads_per_minute,
                          uint64_t now_us);

/* BYTES with LOADED; RETRY_AFTER_S, whole seconds, with OVER_RATE.  */
enum mq_weight_answer mq_weight_store_load (struct mq_weight_store *store,
                                            const char *name, uint64_t now_us,
                                            uint64_t *bytes,
                                            uint32_t *retry_after_s);

#endif
