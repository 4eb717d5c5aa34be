/* http_server.h - HTTP for callers, operators and stand-ins.

   libmicrohttpd driven by tevent in one thread.  Bounds bodies, headers,
   connections and slow readers.
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
 * struct mq_http_server_options - where and within which bounds to listen
 * @address: "IP:PORT"; port 0 takes a free one
 * @body_max: bytes of a body, 0: MQ_BODY_MAX_BYTES
 * @connections_max: 0: MQ_CONNECTIONS_MAX
 * @stream_buffer_max: unsent bytes at which a stream is given up, 0:
 *                     MQ_STREAM_BUFFER_BYTES
 */
struct mq_http_server_options
{
  const char *address;
  size_t body_max;
  uint32_t connections_max;
  size_t stream_buffer_max;
};

/* HANDLER is called once for each request whose body has come in whole.
   It answers at once or later, but always in the same thread.  */
struct mq_http_server *
mq_http_server_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                       const struct mq_http_server_options *options,
                       mq_http_handler *handler, void *data,
                       struct mq_error *error);
/* Ends every request and tells its on_closed; nothing is told after.  May be
   called from within a handler or an on_closed.  */
void mq_http_server_destroy (struct mq_http_server *server);
/* Stops accepting; requests in progress go on.  */
void mq_http_server_stop_accepting (struct mq_http_server *server);
size_t mq_http_server_in_progress (const struct mq_http_server *server);
uint16_t mq_http_server_port (const struct mq_http_server *server);

const char *mq_http_method (const struct mq_http_request *request);
const char *mq_http_path (const struct mq_http_request *request);
const char *mq_http_header (struct mq_http_request *request,
                            const char *name); /* NULL when absent */
const char *mq_http_query (struct mq_http_request *request,
                           const char *name); /* NULL when absent */
/* Body, terminated by a zero byte that LEN does not count.  */
const char *mq_http_body (const struct mq_http_request *request, size_t *len);
/* Called once when the request ends: answered whole or connection gone.  The
   request is freed after it.  A request without it is kept, when its caller
   leaves, until it is answered, ended or aborted.  */
void mq_http_on_closed (struct mq_http_request *request,
                        mq_http_closed *closed, void *data);
/* Extra header of the answer; before respond or stream_begin.  */
void mq_http_set_header (struct mq_http_request *request, const char *name,
                         const char *value);
void mq_http_respond (struct mq_http_request *request, int status,
                      const char *content_type, const void *body, size_t len);
/* Streamed answer.  stream_write is false when the reader was too slow and
   the connection was given up.  */
void mq_http_stream_begin (struct mq_http_request *request, int status,
                           const char *content_type);
bool mq_http_stream_write (struct mq_http_request *request, const void *data,
                           size_t len);
void mq_http_stream_end (struct mq_http_request *request);
/* Closes the connection without an answer (stand-ins' lost answers).  */
void mq_http_abort (struct mq_http_request *request);

#endif
