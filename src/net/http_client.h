/* http_client.h - HTTP towards the platform, engines, services and tools.

   libcurl's multi interface driven by tevent in one thread.
   Needs: libcurl, tevent, error.h.  */

#ifndef MQ_HTTP_CLIENT_H
#define MQ_HTTP_CLIENT_H

#include "core/error.h"
#include <tevent.h>

struct mq_http_client;
struct mq_http_call;

/**
 * struct mq_http_result - how a call ended
 * @error: NONE when a whole answer came, with any status; TIMEOUT, PEER_LOST,
 *         TOO_LARGE, NO_MEMORY, BAD_REQUEST (URL or header), else IO
 * @sent: the request may have reached the other side; with an error this
 *        means that its effect is unknown
 * @status: HTTP status, 0 when none
 * @body: answer, zero-terminated; empty when it was given in parts
 * @len: its length
 * @retry_after_ms: from Retry-After, 0 when absent
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
 * struct mq_http_send - one call
 * @method: "GET", "POST", …
 * @url: whole URL
 * @headers: "Name: value" lines, NULL at the end; may be NULL
 * @body: may be NULL
 * @len: its length
 * @timeout_ms: for the whole call, 0: none
 * @body_max: give up with TOO_LARGE over this, 0: MQ_FRAME_MAX_BYTES
 * @part: called for each part of the answer as it comes; NULL: collect it
 * @done: called once at the end, never from within mq_http_client_send
 * @user: given to both
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
/* Drops the calls under way without a callback.  */
void mq_http_client_destroy (struct mq_http_client *client);
struct mq_http_call *mq_http_client_send (struct mq_http_client *client,
                                          const struct mq_http_send *send);
/* Closes the connection; no callback follows.  Any callback may cancel.  */
void mq_http_call_cancel (struct mq_http_call *call);

#endif
