/* listen.h - sockets that listen at or connect to "IP:PORT".

   Needs: tevent, error.h.  */

#ifndef MQ_LISTEN_H
#define MQ_LISTEN_H

#include "core/error.h"
#include <tevent.h>

/* Non-blocking socket that listens at ADDRESS; IPv6 addresses are in brackets,
   port 0 selects a free port.  On failure -1 with, in ERROR (may be NULL),
   TEXT_BAD_VALUE, or IO with errno as its number.  */
int mq_listen_open (const char *address, struct mq_error *error);
/* Non-blocking socket that connects to ADDRESS, "IP:PORT"; writable once
   connected or failed. -1 as for mq_listen_open.  */
int mq_connect_begin (const char *address, struct mq_error *error);
/* Whether errno NUMBER of a socket call means that this process or host lacks
   descriptors, ports or memory, whatever the other side does.  */
bool mq_socket_shortage (int64_t number);
/* Lets connections wait in the queue of the listening EVENT for a moment.

   Failure: the queue stays ready while no connection can be accepted, and the
   event loop spins.  */
void mq_listen_pause (struct tevent_context *ev, struct tevent_fd *event);
/* True if ADDRESS is a numeric "IP:PORT".  */
bool mq_address_is_valid (const char *address);
/* Port to which FD is bound, 0 on failure.  */
uint16_t mq_listen_port (int fd);

#endif
