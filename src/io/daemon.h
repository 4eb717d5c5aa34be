/* daemon.h - the life of a process: settings, event loop, planned stop.

   mimosa-entryd and mimosa-targetd differ in what runs inside.
   Needs: argp, tevent, settings.h, log.h.  */

#ifndef MQ_DAEMON_H
#define MQ_DAEMON_H

#include "settings.h"
#include <tevent.h>

/**
 * struct mq_daemon_type - what runs inside of a process
 * @name: of its program, in log lines
 * @doc: one line for --help
 * @role: of the host that it runs on
 * @create: starts it; calls DONE once a planned stop is over; NULL with the
 *          failure in ERROR
 * @stop: begins a planned stop
 * @destroy: cuts what is in progress and frees it
 * @announce: prints the addresses that it listens at, one line
 */
struct mq_daemon_type
{
  const char *name;
  const char *doc;
  enum mq_host_role role;
  void *(*create) (TALLOC_CTX *ctx, struct tevent_context *ev,
                   const struct mq_settings *settings,
                   void (*done) (void *user), void *user,
                   struct mq_error *error);
  void (*stop) (void *inside);
  void (*destroy) (void *inside);
  void (*announce) (const void *inside);
};

/* Runs until it has stopped: as planned on SIGTERM or SIGINT; a second signal
   cuts what is in progress.  Returns the status to exit with.  */
int mq_daemon_main (const struct mq_daemon_type *type, int argc, char **argv);

#endif
