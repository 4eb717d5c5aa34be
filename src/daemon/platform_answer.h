/* platform_answer.h - reads the platform's answers.

   The bytes come from outside: each is checked, and what may be said of a
   request that got no proper answer is decided here.  Knows no sockets.
   Needs: http_client.h (struct mq_http_result), store.h, host.h, jansson.  */

#ifndef MQ_PLATFORM_ANSWER_H
#define MQ_PLATFORM_ANSWER_H

#include "core/host.h"
#include "core/store.h"
#include "net/http_client.h"

/* Result of REQUEST below CTX; its id is left to the caller.  A TXN's
   request needs keys and flags of its operations only.  *MALFORMED counts an
   answer that can't be read.  */
struct mq_store_result mq_platform_read_answer (
    TALLOC_CTX *ctx, const struct mq_store_request *request,
    const struct mq_http_result *http, uint64_t *malformed);
/* Hosts of a list that came with status 200, below CTX; NULL when it is no
   list or memory is out.  *MALFORMED counts the list or its bad entries.  */
const struct mq_host_list *
mq_platform_read_hosts (TALLOC_CTX *ctx, const struct mq_http_result *http,
                        uint64_t *malformed);

#endif
