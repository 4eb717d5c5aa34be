/* targetd.c - main function of mimosa-targetd, the daemon of a target host.

   Needs: daemon.h.  */

#include "daemon.h"

int
main (int argc, char **argv)
{
  return mq_daemon_run (MQ_HOST_TARGET, argc, argv);
}
