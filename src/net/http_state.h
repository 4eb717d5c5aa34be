/* http_state.h - internal state of the HTTP server; for src/net only.

   http_server.c runs the daemon in the event loop and receives requests;
   http_request.c answers them; http_refusal.c refuses those that the library
   ends without a response; http_connections.c closes idle connections.
   Needs: http_server.h, buffer.h, timer.h, libmicrohttpd, tevent.  */

#ifndef MQ_HTTP_STATE_H
#define MQ_HTTP_STATE_H

#include "buffer.h"
#include "http_server.h"
#include "timer.h"
#include <microhttpd.h>
#include <tevent.h>

/**
 * struct mq_http_server - a listening socket and its requests
 * @daemon: libmicrohttpd's daemon
 * @fde: epoll descriptor of the daemon
 * @immediate: runs the daemon in the next iteration of the event loop
 * @handler: called for each complete request
 * @data: argument of @handler
 * @idle_timer: next check for idle connections, NULL if none is open
 * @connections: open connections
 * @connection_count: length of @connections
 * @connections_max: limit of it
 * @requests: requests whose connection is open
 * @in_progress: number of requests in progress
 * @refusing: closed connections whose callers are still sent a refusal
 * @running: inside MHD_run, where the daemon cannot be stopped
 * @has_room: a connection has closed since the last run
 * @heads: request lines read in this run whose heads are not handled yet
 * @closing: responses close their connection, and the listening socket is
 *           closed once its backlog is empty
 * @listening: the listening socket is open
 * @destroy_pending: destroyed; freed when MHD_run has returned
 */
struct mq_http_server
{
  struct tevent_context *ev;
  struct MHD_Daemon *daemon;
  struct tevent_fd *fde;
  struct tevent_immediate *immediate;
  mq_http_handler *handler;
  void *data;
  size_t body_max;
  size_t stream_buffer_max;
  uint32_t idle_ms;
  uint16_t port;
  struct mq_timer *idle_timer;
  struct mq_http_connection *connections;
  size_t connection_count;
  uint32_t connections_max;
  struct mq_http_request *requests;
  size_t in_progress;
  size_t refusing;
  bool running;
  bool has_room;
  size_t heads;
  bool closing;
  bool listening;
  bool destroy_pending;
};

/* What the request being read is refused for if the library closes its
   connection now.  */
enum mq_http_refusal
{
  MQ_HTTP_REFUSE_NOTHING, /* no request, or the handler has it */
  MQ_HTTP_REFUSE_HEAD,    /* the head, which exceeds the memory for it */
  MQ_HTTP_REFUSE_BODY,    /* the body, which the library can't read */
  MQ_HTTP_REFUSE_TOO_LARGE
};

/**
 * struct mq_http_connection - an open connection
 * @next: in @server->connections
 * @previous: in @server->connections
 * @request: in progress, NULL if none
 * @unread: bytes lay unread when the connection was found idle last
 * @refusal: what the request being read would be refused for
 * @written: bytes passed to the kernel when @refusal was set
 */
struct mq_http_connection
{
  struct mq_http_server *server;
  struct mq_http_connection *next;
  struct mq_http_connection *previous;
  struct mq_http_request *request;
  int fd;
  bool unread;
  enum mq_http_refusal refusal;
  uint64_t written;
};

struct mq_http_header_line
{
  struct mq_http_header_line *next;
  const char *name;
  const char *value;
};

/**
 * struct mq_http_request - one request
 * @next: in @server->requests
 * @previous: in @server->requests
 * @connection: NULL once the request has ended
 * @place: the connection in @server->connections, NULL once the request has
 *         ended
 * @path: without the query
 * @body: bytes received so far
 * @discarded: bytes of a body over the limit, all of them discarded
 * @too_large: the body exceeds the limit
 * @handled: the handler was called
 * @suspended: waits for the response or more of it
 * @broken: the caller has disconnected or was dropped; it cannot be answered
 * @answered: the user has completed the response
 * @streaming: answered in parts
 * @queued: the response was passed to the library
 * @response: response that is not queued yet
 * @headers: additional response headers
 * @unsent: bytes of a stream that the library has not read yet
 * @closed: called once when the request ends
 * @closed_data: argument of @closed
 * @watch: detects a disconnect while the library does not read
 * @watch_poll: polls for a disconnect once the caller has pipelined bytes
 */
struct mq_http_request
{
  struct mq_http_server *server;
  struct mq_http_request *next;
  struct mq_http_request *previous;
  struct MHD_Connection *connection;
  struct mq_http_connection *place;
  int fd;
  const char *method;
  const char *path;
  struct mq_buffer body;
  size_t discarded;
  bool too_large;
  bool handled;
  bool suspended;
  bool broken;
  bool answered;
  bool streaming;
  bool queued;
  struct MHD_Response *response;
  unsigned int status;
  struct mq_http_header_line *headers;
  struct mq_buffer unsent;
  mq_http_closed *closed;
  void *closed_data;
  struct tevent_fd *watch;
  struct tevent_timer *watch_poll;
};

/* Suspends the request until there is a response or more of it.  */
void mq_request_suspend (struct mq_http_request *request);
void mq_request_resume (struct mq_http_request *request);
/* Closes the connection of a request that cannot be answered.  */
void mq_request_abort_connection (struct mq_http_request *request);
/* Calls on_closed, once.  */
void mq_request_notify_closed (struct mq_http_request *request);

/* Runs the library in the next iteration of the event loop.  */
void mq_http_server_run_again (struct mq_http_server *server);
/* Whether the library has work left that no event announces.  */
bool mq_http_server_has_work (const struct mq_http_server *server);

/* NULL if out of memory.  */
struct mq_http_connection *
mq_http_connection_open (struct mq_http_server *server, int fd);
/* Whether bytes, or the end of input, have arrived that the library has not
   read.  */
bool
mq_http_connection_has_unread (const struct mq_http_connection *connection);
/* True if the caller of the socket FD has disconnected, or has shut down its
   sending side.  */
bool mq_http_peer_has_disconnected (int fd);
/* CONNECTION may be NULL.  */
void mq_http_connection_closed (struct mq_http_connection *connection);

/* http_refusal.c */

/* Sets what the request being read on CONNECTION is refused for if the library
   closes it.  */
void mq_http_refusal_set (struct mq_http_connection *connection,
                          enum mq_http_refusal refusal);
/* The library closes CONNECTION, whose socket is still open: sends the refusal
   that is due, if any.  CONNECTION may be NULL.  */
void mq_http_refusal_send (struct mq_http_connection *connection);
/* Body of a refusal for an error of TYPE, whose limit is BOUND; below CTX,
   NULL if out of memory.  */
char *mq_http_refusal_text (TALLOC_CTX *ctx, enum mq_error_type type,
                            uint64_t bound);

#endif
