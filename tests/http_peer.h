/* http_peer.h - raw endpoints of HTTP connections, for faults that an HTTP
   library would not produce: a scripted server and client sockets.

   Needs: tevent.  */

#ifndef HTTP_PEER_H
#define HTTP_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

/* Action of the scripted server for a request.  */
enum peer_step
{
  PEER_ANSWER, /* 200 "ok", keeps the connection */
  PEER_BUSY,   /* 429 with Retry-After: 2, keeps the connection */
  PEER_CLOSE,  /* no response */
  PEER_RESET,  /* no response, reset */
  PEER_PART,   /* part of the announced body, then closes */
  PEER_CHUNK,  /* one chunk without the last one, then closes */
  PEER_LONG,   /* 64 KiB */
  PEER_GARBAGE,
  PEER_SILENT
};

#define PEER_STEPS 4

/**
 * struct http_peer - a scripted server
 * @fd: listening socket
 * @first: actions for the requests on each of the first connections
 * @first_count: number of connections in @first
 * @rest: action for every request on later connections
 * @connections: accepted so far
 * @requests: complete requests received
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
/* Loopback port with a full accept backlog: further connects hang until FD is
   closed, and are refused afterwards.  */
uint16_t hanging_port (int *fd);

int raw_open (uint16_t port);
/* Sends as much as the socket accepts now; returns the number of bytes.  */
size_t raw_send (int fd, const char *data, size_t len);
/* Appends input to the zero-terminated TEXT; true once the other side has
   closed.  */
bool raw_read (int fd, char *text, size_t capacity);
void raw_close (int fd, bool reset);

#endif
