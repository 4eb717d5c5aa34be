/* process.c - addresses, peer connections and timers of a daemon.

   Needs: process.h, memory.h, clock.h.  */

#include "process.h"
#include "core/memory.h"
#include "net/clock.h"
#include <stdlib.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  US_PER_SECOND = 1000000
};

char *
mq_process_replace_port (TALLOC_CTX *ctx, const char *address, uint16_t port)
{
  const char *colon = strrchr (address, ':');
  int len = colon == NULL ? (int)strlen (address) : (int)(colon - address);

  return mq_check_alloc (talloc_asprintf (ctx, "%.*s:%u", len, address, port));
}

struct mq_peer_net *
mq_process_create_net (TALLOC_CTX *ctx, struct tevent_context *ev,
                       const struct mq_settings *settings,
                       enum mq_host_role role, uint64_t boot,
                       const struct mq_peer_callbacks *callbacks,
                       char **address, struct mq_error *error)
{
  struct mq_peer_options options = { .listen = settings->peer };
  struct mq_peer_net *net;

  options.self.host = settings->host;
  options.self.data_centre = settings->data_centre;
  options.self.role = role;
  options.self.boot = boot;
  memcpy (options.site_key, settings->site_key, MQ_KEY_BYTES);
  net = mq_peer_net_create (ctx, ev, &options, callbacks, error);
  if (net != NULL)
    *address = mq_process_replace_port (ctx, settings->peer,
                                        mq_peer_net_port (net));
  return net;
}

/* Uses mq_timer, which fires after pending input has been read.  Otherwise a
   target host's daemon that was suspended while draining could exit with an
   unread call in its socket.  */
void
mq_tick_timer_set (struct mq_tick_timer *tick, struct tevent_context *ev,
                   uint64_t at_us, uint64_t least_us,
                   mq_timer_handler *handler, void *data)
{
  uint64_t now = mq_clock_us ();
  uint64_t wait_us = at_us > now ? at_us - now : 0;

  if (tick->timer != NULL && tick->at_us == at_us)
    return;
  if (wait_us > US_PER_SECOND)
    wait_us = US_PER_SECOND;
  if (wait_us < least_us)
    wait_us = least_us;
  TALLOC_FREE (tick->timer);
  tick->at_us = at_us;
  tick->timer = mq_check_alloc (mq_timer_add (
      data, ev, (wait_us + US_PER_MS - 1) / US_PER_MS, handler, data));
}
