/* proxy.h - a TCP proxy on the loopback address that harms what goes through.

   Needs: tcp.h.  */

#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include "net/tcp.h"

struct proxy;

enum proxy_mode
{
  PROXY_PASS,
  PROXY_DELAY,     /* bytes come 50 ms later */
  PROXY_BLACKHOLE, /* open connections carry nothing any more, new ones neither
                    */
  PROXY_BLACKHOLE_OPEN, /* open connections carry nothing any more, new ones do
                         */
  PROXY_DROP_RESPONSES, /* answers are held back */
  PROXY_RESET           /* open connections are reset, new ones too */
};

/* Listens at a free port and forwards to PORT.  */
struct proxy *proxy_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                            uint16_t port);
uint16_t proxy_port (const struct proxy *proxy);
void proxy_set (struct proxy *proxy, enum proxy_mode mode);

#endif
