/* target_http.c - HTTP API of a target host, for operators.

   Needs: target_http.h, api_answer.h.  */

#include "target_http.h"
#include "core/memory.h"
#include "daemon/api_answer.h"
#include <string.h>

struct mq_target_http
{
  struct mq_http_server *server;
  struct mq_operator_http operators;
};

static void
refuse (struct mq_http_request *request, enum mq_error_type type,
        const char *subject, void *user)
{
  struct mq_api_refusal refusal = { .ran = MQ_RAN_NOT_RUN };
  char *json;

  (void)user;
  mq_error_set (&refusal.error, type, subject, "");
  json = mq_api_refusal_json (NULL, &refusal);
  mq_respond_text (request, mq_error_http_status (type), "application/json",
                   json);
  talloc_free (json);
}

static void
serve (struct mq_http_request *request, void *data)
{
  const struct mq_target_http *http = data;

  if (!mq_operator_serve (&http->operators, request))
    refuse (request, MQ_ERR_NOT_FOUND, mq_http_path (request), NULL);
}

struct mq_target_http *
mq_target_http_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                       const char *address,
                       const uint8_t operator_key_hash[MQ_KEY_BYTES],
                       const struct mq_operator_callbacks *callbacks,
                       struct mq_error *error)
{
  struct mq_target_http *http
      = mq_check_alloc (talloc_zero (ctx, struct mq_target_http));
  struct mq_http_server_options options = { .address = address };

  http->operators.callbacks = *callbacks;
  http->operators.callbacks.refuse = refuse;
  memcpy (http->operators.key_hash, operator_key_hash, MQ_KEY_BYTES);
  http->server
      = mq_http_server_create (http, ev, &options, serve, http, error);
  if (http->server == NULL)
    TALLOC_FREE (http);
  return http;
}

void
mq_target_http_destroy (struct mq_target_http *http)
{
  if (http == NULL)
    return;
  mq_http_server_destroy (http->server);
  talloc_free (http);
}

uint16_t
mq_target_http_port (const struct mq_target_http *http)
{
  return mq_http_server_port (http->server);
}

size_t
mq_target_http_in_progress (const struct mq_target_http *http)
{
  return mq_http_server_in_progress (http->server);
}

void
mq_target_http_stop_accepting (struct mq_target_http *http)
{
  mq_http_server_stop_accepting (http->server);
}

bool
mq_target_http_close_idle (struct mq_target_http *http)
{
  return mq_http_server_close_idle (http->server);
}
