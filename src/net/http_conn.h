/* http_conn.h - client connection to an HTTP server, one request at a time.

   Reports whether any byte of a request was passed to the kernel, delivers the
   response as it arrives and never resends a request by itself.
   Needs: tcp.h, http_message.h.  */

#ifndef MQ_HTTP_CONN_H
#define MQ_HTTP_CONN_H

#include "http_message.h"
#include "tcp.h"

struct mq_http_conn;

enum mq_http_conn_failure
{
  MQ_HTTP_CONN_UNREACHABLE, /* no byte of the request was sent */
  MQ_HTTP_CONN_LOST,        /* sent; response missing or truncated */
  MQ_HTTP_CONN_BAD_RESPONSE /* the response is not valid HTTP */
};

/**
 * struct mq_http_conn_callbacks - receiver of a response
 * @head: response head; returns false if it belongs to another request and is
 *        to be skipped
 * @body: a part of the body
 * @end: the response is complete; the connection may be reused at once
 * @failed: the response cannot be completed; destroy the connection
 * @user: argument of all
 *
 * Each callback may destroy the connection.
 */
struct mq_http_conn_callbacks
{
  bool (*head) (const struct mq_http_head *head, void *user);
  void (*body) (const char *data, size_t len, void *user);
  void (*end) (void *user);
  void (*failed) (enum mq_http_conn_failure failure, void *user);
  void *user;
};

/* Called when a connection without a request in progress has closed; the
   callee destroys it.  */
typedef void mq_http_conn_closed (struct mq_http_conn *conn, void *user);

/* Connects to ADDRESS, "IP:PORT"; ACK_TIMEOUT_MS as for mq_tcp_open.  NULL
   with ERROR set on failure.  */
struct mq_http_conn *mq_http_conn_open (TALLOC_CTX *ctx,
                                        struct tevent_context *ev,
                                        const char *address,
                                        uint32_t ack_timeout_ms,
                                        mq_http_conn_closed *on_closed,
                                        void *user, struct mq_error *error);
void mq_http_conn_destroy (struct mq_http_conn *conn);
/* Sends a request: HEAD including its empty line, then BODY.  */
void mq_http_conn_send (struct mq_http_conn *conn,
                        const struct mq_http_conn_callbacks *events,
                        const char *head, size_t head_len, const void *body,
                        size_t body_len, bool response_has_no_body);
/* True once any byte of a request was passed to the kernel.  */
bool mq_http_conn_has_sent (const struct mq_http_conn *conn);
/* True until the first response is complete.  */
bool mq_http_conn_is_new (const struct mq_http_conn *conn);
/* True if the response is complete, the server keeps the connection open and
   no input or close is pending.  To be checked before each reuse.  */
bool mq_http_conn_is_reusable (const struct mq_http_conn *conn);
/* Pauses or resumes reading the response.  */
void mq_http_conn_set_reading (struct mq_http_conn *conn, bool on);

#endif
