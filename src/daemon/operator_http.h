/* operator_http.h - HTTP endpoints of every daemon for operators and the
   platform: /healthz, /readyz, /metrics and /v1/admin/.

   docs/API.md is the reference.
   Needs: http_server.h, error.h, gnutls.  */

#ifndef MQ_OPERATOR_HTTP_H
#define MQ_OPERATOR_HTTP_H

#include "core/types.h"
#include "net/http_server.h"

/**
 * struct mq_operator_callbacks - functions that the daemon provides
 * @ready: MQ_ERR_NONE, or why the process accepts no work
 * @metrics: returns metrics in Prometheus text format, owned by ctx
 * @status: returns the text of a JSON object, owned by ctx
 * @spans: returns the text of a JSON array of program's spans, owned by ctx
 * @drain: an operator requested a graceful shutdown
 * @refuse: sends an error response
 * @user: passed to each callback
 */
struct mq_operator_callbacks
{
  enum mq_error_type (*ready) (void *user);
  char *(*metrics) (TALLOC_CTX *ctx, void *user);
  char *(*status) (TALLOC_CTX *ctx, void *user);
  char *(*spans) (TALLOC_CTX *ctx, struct mq_id program, void *user);
  void (*drain) (void *user);
  void (*refuse) (struct mq_http_request *request, enum mq_error_type type,
                  const char *subject, void *user);
  void *user;
};

struct mq_operator_http
{
  struct mq_operator_callbacks callbacks;
  uint8_t key_hash[MQ_KEY_BYTES]; /* SHA-256 of the operators' API key */
};

/* Responds to a request for one of these paths; returns false for any other
   path.  */
bool mq_operator_serve (const struct mq_operator_http *operators,
                        struct mq_http_request *request);
/* Sets HASH to the SHA-256 of the bearer token; returns false if the request
   has none.  */
bool mq_bearer_hash (struct mq_http_request *request,
                     uint8_t hash[MQ_KEY_BYTES]);
void mq_respond_text (struct mq_http_request *request, int status,
                      const char *type, const char *text);

#endif
