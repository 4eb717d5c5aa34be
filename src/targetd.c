/* targetd.c - the process on a target host: mimosa-targetd.

   Needs: daemon.h, target.h.  */

#include "io/daemon.h"
#include "io/target.h"
#include <stdio.h>

static void *
create (TALLOC_CTX *ctx, struct tevent_context *ev,
        const struct mq_settings *settings, void (*done) (void *user),
        void *user, struct mq_error *error)
{
  return mq_target_create (ctx, ev, settings, done, user, error);
}

static void
stop (void *inside)
{
  mq_target_stop (inside);
}

static void
destroy (void *inside)
{
  mq_target_destroy (inside);
}

static void
announce (const void *inside)
{
  printf ("listening peer=%s http=%s\n", mq_target_peer_address (inside),
          mq_target_http_address (inside));
}

int
main (int argc, char **argv)
{
  static const struct mq_daemon_type type
      = { .name = "mimosa-targetd",
          .doc = "Stands before the workers of a target host of mimosaquay.",
          .role = MQ_HOST_TARGET,
          .create = create,
          .stop = stop,
          .destroy = destroy,
          .announce = announce };

  return mq_daemon_main (&type, argc, argv);
}
