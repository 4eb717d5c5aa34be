/* flooder.h - a server whose answers have no end, until the peer closes.

   Needs: tevent, talloc.  */

#ifndef FLOODER_H
#define FLOODER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct flooder;

/**
 * struct flood - what is sent on each connection
 * @begin: sent once a request has arrived; %s stands for its id
 * @repeat: sent again and again after it
 * @bytes: of @repeat at a time, rounded up; 0: one @repeat
 * @pause_ms: between two times
 * @closed_first: number of connections, the first ones, that are closed at
 *                once
 */
struct flood
{
  const char *begin;
  const char *repeat;
  size_t bytes;
  uint32_t pause_ms;
  uint32_t closed_first;
};

/* FLOOD must outlive the server.  */
struct flooder *flooder_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                const struct flood *flood);
void flooder_destroy (struct flooder *flooder);
uint16_t flooder_port (const struct flooder *flooder);
/* Connections accepted so far, and those still open.  */
uint32_t flooder_accepted (const struct flooder *flooder);
uint32_t flooder_open (const struct flooder *flooder);

#endif
