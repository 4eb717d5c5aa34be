/* memory.c - allocation helpers that abort when out of memory.

   Needs: memory.h.  */

#include "memory.h"
#include <stdlib.h>

void *
mq_check_alloc (void *memory)
{
  if (memory == NULL)
    abort ();
  return memory;
}

char *
mq_text_copy (TALLOC_CTX *ctx, const char *text)
{
  return mq_check_alloc (talloc_strdup (ctx, text == NULL ? "" : text));
}

void
mq_text_replace (TALLOC_CTX *ctx, char **to, const char *text)
{
  talloc_free (*to);
  *to = mq_text_copy (ctx, text);
}
