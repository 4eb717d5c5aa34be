/* targetd.c - the process on a target host: mimosa-targetd.

   Needs: io/daemon.h.  */

#include "daemon.h"

int
main (int argc, char **argv)
{
  return mq_daemon_run (MQ_HOST_TARGET, argc, argv);
}
