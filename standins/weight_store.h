/* weight_store.h - rate-limited store of model weights.

   Performs no I/O; the caller passes the time.
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
 * mq_weight_store_set - add or replace weights and refill their bucket
 * @loads_per_minute: rate limit; also the burst size
 * @now_us: time of a monotonic clock
 */
void mq_weight_store_set (struct mq_weight_store *store, const char *name,
                          uint64_t bytes, uint32_t loads_per_minute,
                          uint64_t now_us);

/* Sets BYTES with MQ_WEIGHT_LOADED and RETRY_AFTER_S, in seconds, with
   MQ_WEIGHT_RATE_LIMITED.  */
enum mq_weight_answer mq_weight_store_load (struct mq_weight_store *store,
                                            const char *name, uint64_t now_us,
                                            uint64_t *bytes,
                                            uint32_t *retry_after_s);

#endif
