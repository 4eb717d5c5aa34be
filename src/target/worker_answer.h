/* worker_answer.h - parses a worker's responses that are not streamed.

   The input is untrusted and validated here.  Does no I/O.
   Needs: gate.h, jansson.  */

#ifndef MQ_WORKER_ANSWER_H
#define MQ_WORKER_ANSWER_H

#include "core/gate/gate.h"

/* Parses the contents of an engine's cache.  Entries are owned by CTX; the
   caller sets the worker's index.  Returns false if the boot number is
   missing.  */
bool mq_worker_read_cache (TALLOC_CTX *ctx, const char *body, size_t len,
                           uint64_t *boot, struct mq_gate_cache *cache);
/* Returns the number of tokens generated before the call was cancelled.  */
uint32_t mq_worker_read_cancelled (const char *body, size_t len);
/* Returns a service's response as JSON text owned by CTX: unchanged if it is
   JSON, else as a JSON string; NULL if it is not valid UTF-8.  */
char *mq_worker_read_service (TALLOC_CTX *ctx, const char *body, size_t len);

#endif
