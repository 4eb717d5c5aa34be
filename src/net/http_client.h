/* http_client.h - HTTP client for the platform, engines, services and tools.

   libcurl's multi interface driven by tevent in one thread.
   Needs: libcurl, tevent, error.h.  */

#ifndef MQ_HTTP_CLIENT_H
#define MQ_HTTP_CLIENT_H

#include "core/error.h"
#include <tevent.h>

struct mq_http_client;
struct mq_http_call;

/**
 * struct mq_http_result - result of a call
 * @error: NONE if a complete response was received, whatever its status;
 *         TIMEOUT, PEER_LOST, TOO_LARGE, NO_MEMORY, BAD_REQUEST (invalid URL
 *         or header), otherwise IO
 * @sent: the request may have reached the server; with an error its effect is
 *        then unknown
 * @status: HTTP status, 0 if none was received
 * @body: response body, zero-terminated; empty if it was passed in parts
 * @retry_after_ms: from Retry-After, 0 if absent
 */
struct mq_http_result
{
  enum mq_error_type error;
  bool sent;
  int status;
  const char *body;
  size_t len;
  uint32_t retry_after_ms;
};

typedef void mq_http_part (const char *data, size_t len, void *user);
typedef void mq_http_done (const struct mq_http_result *result, void *user);

/**
 * struct mq_http_send - parameters of a call
 * @method: "GET", "POST", …
 * @headers: "Name: value" lines, terminated by NULL; may be NULL
 * @body: may be NULL
 * @timeout_ms: for the whole call; 0: no timeout
 * @body_max: larger response bodies fail with TOO_LARGE; 0: MQ_FRAME_MAX_BYTES
 * @part: called for each part of the response body as it arrives; NULL:
 *        collect it
 * @done: called once at the end, never from within mq_http_client_send
 * @user: argument of both
 */
struct mq_http_send
{
  const char *method;
  const char *url;
  const char *const *headers;
  const void *body;
  size_t len;
  uint32_t timeout_ms;
  size_t body_max;
  mq_http_part *part;
  mq_http_done *done;
  void *user;
};

struct mq_http_client *mq_http_client_create (TALLOC_CTX *ctx,
                                              struct tevent_context *ev,
                                              struct mq_error *error);
/* Drops active calls without a callback.  */
void mq_http_client_destroy (struct mq_http_client *client);
struct mq_http_call *mq_http_client_send (struct mq_http_client *client,
                                          const struct mq_http_send *send);
/* Closes the connection; no callback follows.  May be called from any
   callback.  */
void mq_http_call_cancel (struct mq_http_call *call);

#endif
