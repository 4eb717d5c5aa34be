/* platform_answer.h - parses the platform's responses.

   The input is untrusted and validated here.  Also decides the result of a
   request without a valid response.  Does no I/O.
   Needs: http_client.h (struct mq_http_result), store.h, host.h, jansson.  */

#ifndef MQ_PLATFORM_ANSWER_H
#define MQ_PLATFORM_ANSWER_H

#include "core/host.h"
#include "core/store.h"
#include "net/http_client.h"

/* Returns the result of REQUEST, with data owned by CTX; the caller sets its
   id.  Of the operations of a TXN, only keys and flags are read.  Increments
   *MALFORMED if the response is malformed.  */
struct mq_store_result mq_platform_read_answer (
    TALLOC_CTX *ctx, const struct mq_store_request *request,
    const struct mq_http_result *http, uint64_t *malformed);
/* Parses a host list, received with status 200, into a list owned by CTX.
   Returns NULL if it is malformed or memory is exhausted.  Increments
   *MALFORMED for a malformed list and for each malformed entry.  */
const struct mq_host_list *
mq_platform_read_hosts (TALLOC_CTX *ctx, const struct mq_http_result *http,
                        uint64_t *malformed);

#endif
