/* entryd.c - the process on an entry host: mimosa-entryd.

   Needs: io/daemon.h.  */

#include "daemon.h"

int
main (int argc, char **argv)
{
  return mq_daemon_run (MQ_HOST_ENTRY, argc, argv);
}
