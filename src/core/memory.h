/* memory.h - allocation helpers that abort when out of memory.

   Memory use is bounded by limits.h, so a failed allocation is treated as
   fatal; another host takes over the partitions.
   Needs: talloc.  */

#ifndef MQ_MEMORY_H
#define MQ_MEMORY_H

#include "types.h"

/* Returns MEMORY; aborts if it is NULL.  */
void *mq_check_alloc (void *memory);
/* Copies TEXT below CTX; NULL gives an empty string.  */
char *mq_text_copy (TALLOC_CTX *ctx, const char *text);
/* Frees *TO and replaces it with a copy of TEXT.  */
void mq_text_replace (TALLOC_CTX *ctx, char **to, const char *text);

#endif
