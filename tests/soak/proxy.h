/* proxy.h - a TCP proxy on the loopback address that injects faults.

   Needs: tcp.h.  */

#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include "net/tcp.h"

struct proxy;

enum proxy_mode
{
  PROXY_PASS,
  PROXY_DELAY,          /* delays data by 50 ms */
  PROXY_BLACKHOLE,      /* discards data of open and new connections */
  PROXY_BLACKHOLE_OPEN, /* discards data of open connections only */
  PROXY_DROP_RESPONSES, /* discards data from the server */
  PROXY_RESET           /* resets open and new connections */
};

/* Listens on a free port and forwards connections to PORT.  */
struct proxy *proxy_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                            uint16_t port);
uint16_t proxy_port (const struct proxy *proxy);
/* Whether data of a connection is lost, now or for good; not if it is late. */
bool proxy_loses_data (const struct proxy *proxy);
void proxy_set (struct proxy *proxy, enum proxy_mode mode);

#endif
