/* daemon.h - what the main functions of the daemons share.

   Reads the command line and the settings, runs one event loop, and stops as
   planned on SIGTERM or SIGINT; a second signal cuts what is in progress.
   Needs: argp, tevent, entry.h, target.h, settings.h, log.h.  */

#ifndef MQ_DAEMON_H
#define MQ_DAEMON_H

#include "core/host.h"

/* Runs the process of a host with this role; exit status for main.  */
int mq_daemon_run (enum mq_host_role role, int argc, char **argv);

#endif
