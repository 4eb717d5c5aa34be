/* entryd.c - the process on an entry host: mimosa-entryd.

   Needs: daemon.h, entry.h.  */

#include "io/daemon.h"
#include "io/entry.h"
#include <stdio.h>

static void *
create (TALLOC_CTX *ctx, struct tevent_context *ev,
        const struct mq_settings *settings, void (*done) (void *user),
        void *user, struct mq_error *error)
{
  return mq_entry_create (ctx, ev, settings, done, user, error);
}

static void
stop (void *inside)
{
  mq_entry_leave (inside);
}

static void
destroy (void *inside)
{
  mq_entry_destroy (inside);
}

static void
announce (const void *inside)
{
  printf ("listening http=%s peer=%s\n", mq_entry_http_address (inside),
          mq_entry_peer_address (inside));
}

int
main (int argc, char **argv)
{
  static const struct mq_daemon_type type
      = { .name = "mimosa-entryd",
          .doc = "Runs agent programs on an entry host of mimosaquay.",
          .role = MQ_HOST_ENTRY,
          .create = create,
          .stop = stop,
          .destroy = destroy,
          .announce = announce };

  return mq_daemon_main (&type, argc, argv);
}
