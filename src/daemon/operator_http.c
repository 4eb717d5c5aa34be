/* operator_http.c - HTTP endpoints of every daemon for operators and the
   platform.

   Needs: operator_http.h, id.h, memory.h, gnutls.  */

#include "operator_http.h"
#include "core/id.h"
#include "core/memory.h"
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <string.h>
#include <strings.h>

static const char json_type[] = "application/json";

void
mq_respond_text (struct mq_http_request *request, int status, const char *type,
                 const char *text)
{
  mq_http_respond (request, status, type, text, strlen (text));
}

/* Responds with TEXT, a talloc string, and frees it.  */
static void
respond_owned (struct mq_http_request *request, const char *type, char *text)
{
  mq_respond_text (request, 200, type, mq_check_alloc (text));
  talloc_free (text);
}

bool
mq_bearer_hash (struct mq_http_request *request, uint8_t hash[MQ_KEY_BYTES])
{
  static const char scheme[] = "Bearer ";
  const char *header = mq_http_header (request, "Authorization");

  if (header == NULL || strncasecmp (header, scheme, sizeof scheme - 1) != 0)
    return false;
  header += sizeof scheme - 1;
  return gnutls_hash_fast (GNUTLS_DIG_SHA256, header, strlen (header), hash)
         == 0;
}

/* Compares digests in constant time to prevent timing attacks.  */
static bool
is_operator (const struct mq_operator_http *operators,
             struct mq_http_request *request)
{
  uint8_t hash[MQ_KEY_BYTES];

  return mq_bearer_hash (request, hash)
         && gnutls_memcmp (hash, operators->key_hash, MQ_KEY_BYTES) == 0;
}

static void
refuse (const struct mq_operator_http *operators,
        struct mq_http_request *request, enum mq_error_type type,
        const char *subject)
{
  operators->callbacks.refuse (request, type, subject,
                               operators->callbacks.user);
}

static void
serve_ready (const struct mq_operator_http *operators,
             struct mq_http_request *request)
{
  enum mq_error_type why
      = operators->callbacks.ready (operators->callbacks.user);

  if (why == MQ_ERR_NONE)
    mq_respond_text (request, 200, json_type, "{\"ready\":true}");
  else
    refuse (operators, request, why, "");
}

static void
serve_spans (const struct mq_operator_http *operators,
             struct mq_http_request *request, const char *text)
{
  const struct mq_operator_callbacks *callbacks = &operators->callbacks;
  struct mq_id program;

  if (!mq_id_parse (text, &program))
    refuse (operators, request, MQ_ERR_NOT_FOUND, text);
  else
    respond_owned (request, json_type,
                   callbacks->spans (NULL, program, callbacks->user));
}

static void
serve_admin (const struct mq_operator_http *operators,
             struct mq_http_request *request)
{
  static const char spans[] = "/v1/admin/spans/";
  const struct mq_operator_callbacks *callbacks = &operators->callbacks;
  const char *path = mq_http_path (request);
  bool get = strcmp (mq_http_method (request), "GET") == 0;
  bool post = strcmp (mq_http_method (request), "POST") == 0;

  if (!is_operator (operators, request))
    refuse (operators, request, MQ_ERR_UNAUTHORISED, "");
  else if (get && strcmp (path, "/v1/admin/status") == 0)
    respond_owned (request, json_type,
                   callbacks->status (NULL, callbacks->user));
  else if (get && strncmp (path, spans, sizeof spans - 1) == 0)
    serve_spans (operators, request, path + sizeof spans - 1);
  else if (post && strcmp (path, "/v1/admin/drain") == 0)
    {
      mq_respond_text (request, 202, json_type, "{\"state\":\"leaving\"}");
      callbacks->drain (callbacks->user);
    }
  else
    refuse (operators, request, MQ_ERR_NOT_FOUND, path);
}

bool
mq_operator_serve (const struct mq_operator_http *operators,
                   struct mq_http_request *request)
{
  static const char admin[] = "/v1/admin/";
  const struct mq_operator_callbacks *callbacks = &operators->callbacks;
  const char *path = mq_http_path (request);
  bool get = strcmp (mq_http_method (request), "GET") == 0;

  if (strncmp (path, admin, sizeof admin - 1) == 0)
    serve_admin (operators, request);
  else if (get && strcmp (path, "/healthz") == 0)
    mq_respond_text (request, 200, json_type, "{\"alive\":true}");
  else if (get && strcmp (path, "/readyz") == 0)
    serve_ready (operators, request);
  else if (get && strcmp (path, "/metrics") == 0)
    respond_owned (request, "text/plain; version=0.0.4",
                   callbacks->metrics (NULL, callbacks->user));
  else
    return false;
  return true;
}
