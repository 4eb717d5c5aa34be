/* process.h - addresses, connections and ticks of a process.

   Shared by the processes on entry and target hosts.
   Needs: tevent, peer.h, settings.h, timer.h.  */

#ifndef MQ_PROCESS_H
#define MQ_PROCESS_H

#include "net/peer.h"
#include "settings.h"
#include "net/timer.h"
#include <tevent.h>

/* ADDRESS, "IP:PORT", with PORT in the place of its own, below CTX.  */
char *mq_process_replace_port (TALLOC_CTX *ctx, const char *address,
                               uint16_t port);

/* Connections to the other processes, as SETTINGS have them; *ADDRESS, below
   CTX, is where they reach this one.  NULL with ERROR when it can't listen. */
struct mq_peer_net *
mq_process_create_net (TALLOC_CTX *ctx, struct tevent_context *ev,
                       const struct mq_settings *settings,
                       enum mq_host_role role, uint64_t boot,
                       const struct mq_peer_callbacks *callbacks,
                       char **address, struct mq_error *error);

/**
 * struct mq_tick_timer - the next tick of a process's cores
 * @timer: NULL when none is set; its handler sets it to NULL
 * @at_us: when it is due
 */
struct mq_tick_timer
{
  struct mq_timer *timer;
  uint64_t at_us;
};

/* Sets TICK, a child of DATA, to AT_US: at least LEAST_US and at most a second
   from now, to the millisecond.  */
void mq_tick_timer_set (struct mq_tick_timer *tick, struct tevent_context *ev,
                        uint64_t at_us, uint64_t least_us,
                        mq_timer_handler *handler, void *data);

#endif
