/* base64.h - base64 encoding of binary values in the platform's JSON.

   Needs: nettle, talloc, store.h (struct mq_bytes).  */

#ifndef MQ_BASE64_H
#define MQ_BASE64_H

#include "core/store.h"

/* Text allocated on CTX; NULL if out of memory.  */
char *mq_base64_encode (TALLOC_CTX *ctx, struct mq_bytes value);
/* Value allocated on CTX; false if TEXT is not valid base64.  */
bool mq_base64_decode (TALLOC_CTX *ctx, const char *text,
                       struct mq_bytes *value);

#endif
