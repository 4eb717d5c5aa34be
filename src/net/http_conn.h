/* http_lane.h - a connection to an HTTP server, one request at a time.

   Tells for certain whether any byte of a request was given to the network,
   and hands on what comes back as it comes.  It never sends a request again
   by itself.
   Needs: tcp.h, http_message.h.  */

#ifndef MQ_HTTP_CONN_H
#define MQ_HTTP_CONN_H

#include "http_message.h"
#include "tcp.h"

struct mq_http_conn;

enum mq_http_conn_failure
{
  MQ_HTTP_CONN_UNREACHABLE, /* no byte of the request was sent */
  MQ_HTTP_CONN_LOST,        /* it was sent; the answer is missing or cut off */
  MQ_HTTP_CONN_BAD_RESPONSE /* what came is no answer of HTTP */
};

/**
 * struct mq_http_conn_callbacks - who is told of an answer
 * @head: its head; false: it belongs to another request, wait for ours
 * @body: some of its body
 * @end: it is whole; the conn may be used again at once
 * @failed: it won't be; the conn is to be destroyed
 * @user: given to all of them
 *
 * Each may destroy the conn.
 */
struct mq_http_conn_callbacks
{
  bool (*head) (const struct mq_http_head *head, void *user);
  void (*body) (const char *data, size_t len, void *user);
  void (*end) (void *user);
  void (*failed) (enum mq_http_conn_failure failure, void *user);
  void *user;
};

/* Told when a conn that nobody uses has ended; it is then to be destroyed.  */
typedef void mq_http_conn_closed (struct mq_http_conn *conn, void *user);

/* Connects to ADDRESS, "IP:PORT"; SILENT_MS as for mq_tcp_open.  */
struct mq_http_conn *mq_http_conn_open (TALLOC_CTX *ctx,
                                        struct tevent_context *ev,
                                        const char *address,
                                        uint32_t silent_ms,
                                        mq_http_conn_closed *on_closed,
                                        void *user, struct mq_error *error);
void mq_http_conn_destroy (struct mq_http_conn *conn);
/* Sends a request: HEAD with its empty line, then BODY.  */
void mq_http_conn_send (struct mq_http_conn *conn,
                        const struct mq_http_conn_callbacks *events,
                        const char *head, size_t head_len, const void *body,
                        size_t body_len, bool response_has_no_body);
/* Some bytes of the request were given to the network.  */
bool mq_http_conn_has_sent (const struct mq_http_conn *conn);
/* No answer has ended on it yet.  */
bool mq_http_conn_is_new (const struct mq_http_conn *conn);
/* The answer is whole and the server keeps the connection: neither bytes nor
   an end of it lie unread.  Asked again before each use.  */
bool mq_http_conn_is_reusable (const struct mq_http_conn *conn);
/* Stops and starts taking in the answer.  */
void mq_http_conn_set_reading (struct mq_http_conn *conn, bool on);

#endif
