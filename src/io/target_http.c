/* target_http.c - operators' HTTP beside a target.

   Needs: target_http.h, api_answer.h, gnutls.  */

#include "target_http.h"
#include "../core/id.h"
#include "api_answer.h"
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static const char json_type[] = "application/json";

struct mq_target_http
{
  struct mq_http_server *server;
  struct mq_target_http_callbacks callbacks;
  uint8_t operator_key_hash[MQ_KEY_BYTES];
};

static void
respond (struct mq_http_request *request, int status, const char *type,
         const char *text)
{
  mq_http_respond (request, status, type, text, strlen (text));
}

/* Answers with TEXT, a talloc string, and frees it.  */
static void
respond_owned (struct mq_http_request *request, const char *type, char *text)
{
  if (text == NULL)
    abort ();
  respond (request, 200, type, text);
  talloc_free (text);
}

static void
refuse (struct mq_target_http *http, struct mq_http_request *request,
        enum mq_error_type type, const char *subject)
{
  struct mq_api_refusal refusal = { .ran = MQ_RAN_NOT_RUN };
  char *json;

  mq_error_set (&refusal.error, type, subject, "");
  json = mq_api_refusal_json (http, &refusal);
  respond (request, mq_error_http_status (type), json_type, json);
  talloc_free (json);
}

/* Only digests are compared, in constant time, so that the time of an answer
   tells nothing of the key.  */
static bool
is_operator (const struct mq_target_http *http,
             struct mq_http_request *request)
{
  static const char scheme[] = "Bearer ";
  const char *header = mq_http_header (request, "Authorization");
  uint8_t hash[MQ_KEY_BYTES];

  if (header == NULL || strncasecmp (header, scheme, sizeof scheme - 1) != 0)
    return false;
  header += sizeof scheme - 1;
  if (gnutls_hash_fast (GNUTLS_DIG_SHA256, header, strlen (header), hash) != 0)
    return false;
  return gnutls_memcmp (hash, http->operator_key_hash, MQ_KEY_BYTES) == 0;
}

static void
serve_ready (struct mq_target_http *http, struct mq_http_request *request)
{
  enum mq_error_type why = http->callbacks.ready (http->callbacks.user);

  if (why == MQ_ERR_NONE)
    respond (request, 200, json_type, "{\"ready\":true}");
  else
    refuse (http, request, why, "");
}

static void
serve_spans (struct mq_target_http *http, struct mq_http_request *request,
             const char *text)
{
  struct mq_id program;

  if (!mq_id_parse (text, &program))
    refuse (http, request, MQ_ERR_NOT_FOUND, text);
  else
    respond_owned (
        request, json_type,
        http->callbacks.spans (http, program, http->callbacks.user));
}

static void
serve_operator (struct mq_target_http *http, struct mq_http_request *request)
{
  static const char spans[] = "/v1/admin/spans/";
  const struct mq_target_http_callbacks *callbacks = &http->callbacks;
  const char *path = mq_http_path (request);
  bool get = strcmp (mq_http_method (request), "GET") == 0;
  bool post = strcmp (mq_http_method (request), "POST") == 0;

  if (!is_operator (http, request))
    refuse (http, request, MQ_ERR_UNAUTHORISED, "");
  else if (get && strcmp (path, "/v1/admin/status") == 0)
    respond_owned (request, json_type,
                   callbacks->status (http, callbacks->user));
  else if (get && strncmp (path, spans, sizeof spans - 1) == 0)
    serve_spans (http, request, path + sizeof spans - 1);
  else if (post && strcmp (path, "/v1/admin/drain") == 0)
    {
      respond (request, 202, json_type, "{\"state\":\"leaving\"}");
      callbacks->drain (callbacks->user);
    }
  else
    refuse (http, request, MQ_ERR_NOT_FOUND, path);
}

static void
serve (struct mq_http_request *request, void *data)
{
  static const char admin[] = "/v1/admin/";
  struct mq_target_http *http = data;
  const char *path = mq_http_path (request);
  bool get = strcmp (mq_http_method (request), "GET") == 0;

  if (strncmp (path, admin, sizeof admin - 1) == 0)
    serve_operator (http, request);
  else if (get && strcmp (path, "/healthz") == 0)
    respond (request, 200, json_type, "{\"alive\":true}");
  else if (get && strcmp (path, "/readyz") == 0)
    serve_ready (http, request);
  else if (get && strcmp (path, "/metrics") == 0)
    respond_owned (request, "text/plain; version=0.0.4",
                   http->callbacks.metrics (http, http->callbacks.user));
  else
    refuse (http, request, MQ_ERR_NOT_FOUND, path);
}

struct mq_target_http *
mq_target_http_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                       const char *address,
                       const uint8_t operator_key_hash[MQ_KEY_BYTES],
                       const struct mq_target_http_callbacks *callbacks,
                       struct mq_error *error)
{
  struct mq_target_http *http = talloc_zero (ctx, struct mq_target_http);
  struct mq_http_server_options options = { .address = address };

  if (http == NULL)
    abort ();
  http->callbacks = *callbacks;
  memcpy (http->operator_key_hash, operator_key_hash, MQ_KEY_BYTES);
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
