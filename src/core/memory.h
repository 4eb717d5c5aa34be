/* memory.h - allocations that stop the process when memory is out.

   The system keeps bounds on what it holds, so an allocation that fails
   leaves nothing sensible to do but to stop: another host takes over.
   Needs: talloc.  */

#ifndef MQ_MEMORY_H
#define MQ_MEMORY_H

#include "types.h"

/* MEMORY itself; stops the process when it is NULL.  */
void *mq_check_alloc (void *memory);
/* Copy of TEXT below CTX; NULL is copied as the empty text.  */
char *mq_text_copy (TALLOC_CTX *ctx, const char *text);
/* Puts such a copy in the place of *TO, which is freed.  */
void mq_text_replace (TALLOC_CTX *ctx, char **to, const char *text);

#endif
