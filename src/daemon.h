/* daemon.h - common main function of the daemons.

   Reads the command line and the settings and runs one event loop.  SIGTERM
   or SIGINT starts a graceful shutdown; a second signal stops at once.
   Needs: argp, tevent, entry.h, target.h, settings.h, log.h.  */

#ifndef MQ_DAEMON_H
#define MQ_DAEMON_H

#include "core/host.h"

/* Runs the daemon for ROLE and returns the exit status for main.  */
int mq_daemon_run (enum mq_host_role role, int argc, char **argv);

#endif
