/* target_http.h - operators' HTTP beside a target: health, metrics, status,
   spans, drain.

   Needs: http_server.h, api_answer.h, gnutls.  */

#ifndef MQ_TARGET_HTTP_H
#define MQ_TARGET_HTTP_H

#include "http_server.h"

struct mq_target_http;

/**
 * struct mq_target_http_callbacks - what is shown, and the one order
 * @ready: NONE, NOT_READY or LEAVING
 * @metrics: Prometheus text below CTX
 * @status: JSON object below CTX
 * @spans: JSON array of PROGRAM's hops below CTX
 * @drain: the operator asks for a planned stop
 * @user: given to each
 */
struct mq_target_http_callbacks
{
  enum mq_error_type (*ready) (void *user);
  char *(*metrics) (TALLOC_CTX *ctx, void *user);
  char *(*status) (TALLOC_CTX *ctx, void *user);
  char *(*spans) (TALLOC_CTX *ctx, struct mq_id program, void *user);
  void (*drain) (void *user);
  void *user;
};

struct mq_target_http *mq_target_http_create (
    TALLOC_CTX *ctx, struct tevent_context *ev, const char *address,
    const uint8_t operator_key_hash[MQ_KEY_BYTES],
    const struct mq_target_http_callbacks *callbacks, struct mq_error *error);
void mq_target_http_destroy (struct mq_target_http *http);
uint16_t mq_target_http_port (const struct mq_target_http *http);
size_t mq_target_http_in_progress (const struct mq_target_http *http);

#endif
