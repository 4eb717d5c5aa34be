/* http_server.h - HTTP server for callers, operators and test servers.

   libmicrohttpd driven by tevent in one thread.  Limits bodies, headers,
   connections and the unsent bytes of slow readers.
   Needs: libmicrohttpd, tevent, error.h, limits.h.  */

#ifndef MQ_HTTP_SERVER_H
#define MQ_HTTP_SERVER_H

#include "core/error.h"
#include <tevent.h>

struct mq_http_server;
struct mq_http_request;

typedef void mq_http_handler (struct mq_http_request *request, void *data);
typedef void mq_http_closed (struct mq_http_request *request, void *data);

/**
 * struct mq_http_server_options - address and limits
 * @address: "IP:PORT"; port 0: any free port
 * @body_max: bytes of a request body; 0: MQ_BODY_MAX_BYTES
 * @connections_max: 0: MQ_CONNECTIONS_MAX
 * @stream_buffer_max: unsent bytes at which the stream of a caller that does
 *                     not read is closed; 0: MQ_STREAM_BUFFER_BYTES
 * @idle_ms: time after which an idle connection is closed; 0:
 *           MQ_HTTP_IDLE_MS
 */
struct mq_http_server_options
{
  const char *address;
  size_t body_max;
  uint32_t connections_max;
  size_t stream_buffer_max;
  uint32_t idle_ms;
};

/* HANDLER is called once for each request after its whole body was received.
   It answers at once or later, in the same thread.  */
struct mq_http_server *
mq_http_server_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                       const struct mq_http_server_options *options,
                       mq_http_handler *handler, void *data,
                       struct mq_error *error);
/* Ends all requests and calls their on_closed; no callback follows.  May be
   called from a handler or an on_closed.  */
void mq_http_server_destroy (struct mq_http_server *server);
/* Stops accepting connections; requests in progress continue.  */
void mq_http_server_stop_accepting (struct mq_http_server *server);
/* Closes the connections without a request, read or unread.  True once no
   connection is open; call it until then, after
   mq_http_server_stop_accepting.  */
bool mq_http_server_close_idle (struct mq_http_server *server);
size_t mq_http_server_in_progress (const struct mq_http_server *server);
uint16_t mq_http_server_port (const struct mq_http_server *server);

const char *mq_http_method (const struct mq_http_request *request);
const char *mq_http_path (const struct mq_http_request *request);
const char *mq_http_header (struct mq_http_request *request,
                            const char *name); /* NULL when absent */
const char *mq_http_query (struct mq_http_request *request,
                           const char *name); /* NULL when absent */
/* Body, zero-terminated; LEN excludes the terminator.  */
const char *mq_http_body (const struct mq_http_request *request, size_t *len);
/* Sets the function that is called once when the request ends, answered or
   disconnected; the request is freed after it.  Without it, a request whose
   caller has left is kept until it is answered, ended or aborted.  */
void mq_http_on_closed (struct mq_http_request *request,
                        mq_http_closed *closed, void *data);
/* Adds a response header; before mq_http_respond or mq_http_stream_begin.  */
void mq_http_set_header (struct mq_http_request *request, const char *name,
                         const char *value);
void mq_http_respond (struct mq_http_request *request, int status,
                      const char *content_type, const void *body, size_t len);
/* Streamed response. stream_write returns false if the connection was closed
   because the reader was too slow.  */
void mq_http_stream_begin (struct mq_http_request *request, int status,
                           const char *content_type);
bool mq_http_stream_write (struct mq_http_request *request, const void *data,
                           size_t len);
void mq_http_stream_end (struct mq_http_request *request);
/* Closes the connection without a response.  */
void mq_http_abort (struct mq_http_request *request);

#endif
