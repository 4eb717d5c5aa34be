/* operator_http.h - the paths that operators and the platform ask for at
   every process: /healthz, /readyz, /metrics and /v1/admin/.

   docs/API.md is the reference.
   Needs: http_server.h, error.h, gnutls.  */

#ifndef MQ_OPERATOR_HTTP_H
#define MQ_OPERATOR_HTTP_H

#include "core/types.h"
#include "net/http_server.h"

/**
 * struct mq_operator_callbacks - what the process does for operators
 * @ready: NONE, or why the process takes no work
 * @metrics: Prometheus text below CTX
 * @status: JSON object text below CTX
 * @spans: JSON array text of PROGRAM's hops below CTX
 * @drain: a planned stop is asked for
 * @refuse: answers with a typed refusal
 * @user: given to each
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
  uint8_t key_hash[MQ_KEY_BYTES]; /* SHA-256 of the operators' key */
};

/* Answers a request for one of these paths; false: it is for another one.  */
bool mq_operator_serve (const struct mq_operator_http *operators,
                        struct mq_http_request *request);
/* SHA-256 of the bearer token; false when there is none.  */
bool mq_bearer_hash (struct mq_http_request *request,
                     uint8_t hash[MQ_KEY_BYTES]);
/* Answers with a whole text.  */
void mq_respond_text (struct mq_http_request *request, int status,
                      const char *type, const char *text);

#endif
