/* base64.h - binary values in the platform's JSON.

   Needs: nettle, talloc, store.h (struct mq_bytes).  */

#ifndef MQ_BASE64_H
#define MQ_BASE64_H

#include "core/store.h"

/* Text below CTX; NULL when memory is out.  */
char *mq_base64_encode (TALLOC_CTX *ctx, struct mq_bytes value);
/* VALUE below CTX; false when TEXT is not base64.  */
bool mq_base64_decode (TALLOC_CTX *ctx, const char *text,
                       struct mq_bytes *value);

#endif
