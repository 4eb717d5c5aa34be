/* listen.h - sockets that listen at or connect to "IP:PORT".

   Needs: error.h.  */

#ifndef MQ_LISTEN_H
#define MQ_LISTEN_H

#include "core/error.h"

/* Non-blocking socket that listens at ADDRESS; IPv6 addresses are in brackets,
   port 0 selects a free port.  On failure -1 with, in ERROR (may be NULL),
   TEXT_BAD_VALUE, or IO with errno as its number.  */
int mq_listen_open (const char *address, struct mq_error *error);
/* Non-blocking socket that connects to ADDRESS, "IP:PORT"; writable once
   connected or failed. -1 as for mq_listen_open.  */
int mq_connect_begin (const char *address, struct mq_error *error);
/* True if ADDRESS is a numeric "IP:PORT".  */
bool mq_address_is_valid (const char *address);
/* Port to which FD is bound, 0 on failure.  */
uint16_t mq_listen_port (int fd);

#endif
