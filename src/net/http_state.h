/* http_state.h - what the parts of the HTTP server share; for src/net only.

   http_server.c joins the library to the event loop and takes requests;
   http_request.c answers them.
   Needs: http_server.h, buffer.h, libmicrohttpd, tevent.  */

#ifndef MQ_HTTP_STATE_H
#define MQ_HTTP_STATE_H

#include "buffer.h"
#include "http_server.h"
#include <microhttpd.h>
#include <tevent.h>

/**
 * struct mq_http_server - one listening socket and its requests
 * @ev: event loop
 * @daemon: libmicrohttpd's side
 * @fde: the daemon's epoll descriptor
 * @timer: the daemon's timeout, NULL when none is set
 * @timer_at: when @timer fires
 * @immediate: runs the daemon after an answer from outside of it, and again
 * @handler: told each whole request
 * @data: given to @handler
 * @body_max: bound on a body
 * @port: port listened at
 * @requests: those whose connection is there
 * @in_progress: how many
 * @running: inside MHD_run, where the daemon can't be stopped
 * @has_room: a connection has ended since the last run
 * @closing: no longer accepts; answers close their connection
 * @destroy_pending: destroyed; freed once MHD_run has returned
 */
struct mq_http_server
{
  struct tevent_context *ev;
  struct MHD_Daemon *daemon;
  struct tevent_fd *fde;
  struct tevent_timer *timer;
  struct timeval timer_at;
  struct tevent_immediate *immediate;
  mq_http_handler *handler;
  void *data;
  size_t body_max;
  size_t stream_buffer_max;
  uint16_t port;
  struct mq_http_request *requests;
  size_t in_progress;
  bool running;
  bool has_room;
  bool closing;
  bool destroy_pending;
};

struct mq_http_header_line
{
  struct mq_http_header_line *next;
  const char *name;
  const char *value;
};

/**
 * struct mq_http_request - one request, from its header to its end
 * @server: where it came in
 * @next: in @server->requests
 * @previous: in @server->requests
 * @connection: NULL once the request has ended
 * @fd: its socket
 * @method: of the request line
 * @path: without the query
 * @body: what came in so far
 * @discarded: bytes of a body over the bound that were read and dropped
 * @too_large: the body is over the bound
 * @handled: the handler was told
 * @suspended: waits for its answer or for more of it
 * @broken: the caller has left or is given up; no answer can reach it
 * @answered: the user has nothing more to say
 * @streaming: answered in parts
 * @queued: the answer is with the library
 * @response: answer not yet queued
 * @status: its HTTP status
 * @headers: extra headers of the answer
 * @unsent: a stream's bytes that the library has not taken yet
 * @closed: told once when the request ends
 * @closed_data: given to @closed
 * @watch: tells that the caller left while the library does not read
 * @watch_poll: does so when the caller has sent bytes ahead
 */
struct mq_http_request
{
  struct mq_http_server *server;
  struct mq_http_request *next;
  struct mq_http_request *previous;
  struct MHD_Connection *connection;
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

/* Waits for the answer, or for more of it.  */
void mq_request_suspend (struct mq_http_request *request);
/* Lets the library ask again.  */
void mq_request_resume (struct mq_http_request *request);
/* Ends a request whose answer can't be given.  */
void mq_request_abort_connection (struct mq_http_request *request);
/* Tells the user, once, that the request has ended.  */
void mq_request_notify_closed (struct mq_http_request *request);

#endif
