/* listen.h - sockets that listen at, or connect to, "IP:PORT".

   Needs: error.h.  */

#ifndef MQ_LISTEN_H
#define MQ_LISTEN_H

#include "core/error.h"

/* Non-blocking socket that listens at ADDRESS; an IPv6 address stands in
   brackets, port 0 takes a free one.  -1 with TEXT_BAD_VALUE or, with its
   errno as the number, IO in ERROR, which may be NULL.  */
int mq_listen_open (const char *address, struct mq_error *error);
/* Non-blocking socket on its way to ADDRESS, "IP:PORT"; writable once it is
   there or has failed.  -1 as for mq_listen_open.  */
int mq_connect_begin (const char *address, struct mq_error *error);
/* ADDRESS is "IP:PORT" in numbers.  */
bool mq_address_is_valid (const char *address);
/* Port that FD is bound to, 0 when it can't be told.  */
uint16_t mq_listen_port (int fd);

#endif
