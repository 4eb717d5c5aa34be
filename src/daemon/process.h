/* process.h - addresses, peer connections and timers of a daemon.

   Shared by the daemons of entry and target hosts.
   Needs: tevent, peer.h, settings.h, timer.h.  */

#ifndef MQ_PROCESS_H
#define MQ_PROCESS_H

#include "net/peer.h"
#include "settings.h"
#include "net/timer.h"
#include <tevent.h>

/* Returns ADDRESS, "IP:PORT", with its port replaced by PORT, owned by CTX. */
char *mq_process_replace_port (TALLOC_CTX *ctx, const char *address,
                               uint16_t port);

/* Creates the connections to other daemons, and sets *ADDRESS to this daemon's
   own address, owned by CTX.  Returns NULL with ERROR set if it can't
   listen.  */
struct mq_peer_net *
mq_process_create_net (TALLOC_CTX *ctx, struct tevent_context *ev,
                       const struct mq_settings *settings,
                       enum mq_host_role role, uint64_t boot,
                       const struct mq_peer_callbacks *callbacks,
                       char **address, struct mq_error *error);

/**
 * struct mq_tick_timer - timer for the next tick of the cores
 * @timer: NULL if not set; its handler must set it to NULL
 * @at_us: expiry, monotonic clock
 */
struct mq_tick_timer
{
  struct mq_timer *timer;
  uint64_t at_us;
};

/* Sets TICK, a talloc child of DATA, to AT_US, limited to between LEAST_US and
   one second from now, and rounded up to milliseconds.  */
void mq_tick_timer_set (struct mq_tick_timer *tick, struct tevent_context *ev,
                        uint64_t at_us, uint64_t least_us,
                        mq_timer_handler *handler, void *data);

#endif
