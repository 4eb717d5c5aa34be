/* target_http.h - HTTP API of a target host, for operators: health, metrics,
   status, spans, drain.

   Needs: operator_http.h, api_answer.h.  */

#ifndef MQ_TARGET_HTTP_H
#define MQ_TARGET_HTTP_H

#include "daemon/operator_http.h"

struct mq_target_http;

/* The refuse callback is ignored; this module sends the refusals.  */
struct mq_target_http *mq_target_http_create (
    TALLOC_CTX *ctx, struct tevent_context *ev, const char *address,
    const uint8_t operator_key_hash[MQ_KEY_BYTES],
    const struct mq_operator_callbacks *callbacks, struct mq_error *error);
void mq_target_http_destroy (struct mq_target_http *http);
uint16_t mq_target_http_port (const struct mq_target_http *http);
size_t mq_target_http_in_progress (const struct mq_target_http *http);
/* Closes the listening socket.  */
void mq_target_http_stop_accepting (struct mq_target_http *http);
/* Closes the connections without a request; true once none is open.  */
bool mq_target_http_close_idle (struct mq_target_http *http);

#endif
