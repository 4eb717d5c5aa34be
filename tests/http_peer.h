/* http_peer.h - raw ends of HTTP connections, for faults that a library
   would not commit: a scripted server and plain client sockets.

   Needs: tevent.  */

#ifndef HTTP_PEER_H
#define HTTP_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

/* What the scripted server does with a request.  */
enum peer_step
{
  PEER_ANSWER, /* 200 "ok", connection kept */
  PEER_BUSY,   /* 429 with Retry-After: 2, connection kept */
  PEER_CLOSE,  /* no answer */
  PEER_RESET,  /* no answer, connection reset */
  PEER_PART,   /* a part of the announced body, then closed */
  PEER_CHUNK,  /* one chunk without the last one, then closed */
  PEER_LONG,   /* 64 KiB */
  PEER_GARBAGE,
  PEER_SILENT
};

#define PEER_STEPS 4

/**
 * struct http_peer - a scripted server
 * @fd: listening socket
 * @port: its port
 * @first: steps of the requests of each of the first connections
 * @first_count: how many connections are the first ones
 * @rest: step of every request of later connections
 * @connections: made so far
 * @requests: that came in whole
 */
struct http_peer
{
  int fd;
  uint16_t port;
  enum peer_step first[PEER_STEPS];
  int first_count;
  enum peer_step rest;
  int connections;
  int requests;
};

struct http_peer *http_peer_create (struct tevent_context *ev);
/* Loopback port that refuses connections.  */
uint16_t refusing_port (void);
/* Loopback port whose queue of connections is full, so that more of them
   hang until FD is closed, and are refused from then on.  */
uint16_t hanging_port (int *fd);

int raw_open (uint16_t port);
/* Sends what the socket takes now.  */
size_t raw_send (int fd, const char *data, size_t len);
/* Appends to the zero-terminated TEXT; true once the other side closed.  */
bool raw_read (int fd, char *text, size_t room);
void raw_close (int fd, bool reset);

#endif
