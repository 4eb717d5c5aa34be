/* worker_answer.h - reads a worker's answers that are no stream.

   The bytes come from outside and are checked here.  Knows no sockets.
   Needs: gate.h, jansson.  */

#ifndef MQ_WORKER_ANSWER_H
#define MQ_WORKER_ANSWER_H

#include "core/gate/gate.h"

/* What an engine holds; entries hang below CTX and the worker's index is left
   to the caller.  False when the answer names no boot number.  */
bool mq_worker_read_cache (TALLOC_CTX *ctx, const char *body, size_t len,
                           uint64_t *boot, struct mq_gate_cache *cache);
/* Tokens that an engine made before it cancelled a call.  */
uint32_t mq_worker_read_cancelled (const char *body, size_t len);
/* A service's answer as JSON text below CTX: as it is where it is JSON, else
   as a string; NULL where it is neither.  */
char *mq_worker_read_service (TALLOC_CTX *ctx, const char *body, size_t len);

#endif
