/* listen.h - listening sockets at "IP:PORT".

   Needs: error.h.  */

#ifndef MQ_LISTEN_H
#define MQ_LISTEN_H

#include "../core/error.h"

/* Non-blocking socket that listens at ADDRESS; an IPv6 address stands in
   brackets, port 0 takes a free one.  -1 with TEXT_BAD_VALUE or, with its
   errno as the number, IO in ERROR, which may be NULL.  */
int mq_listen_open (const char *address, struct mq_error *error);
/* Port that FD is bound to, 0 when it can't be told.  */
uint16_t mq_listen_port (int fd);

#endif
