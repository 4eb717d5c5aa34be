/* entryd.c - main function of mimosa-entryd, the daemon of an entry host.

   Needs: daemon.h.  */

#include "daemon.h"

int
main (int argc, char **argv)
{
  return mq_daemon_run (MQ_HOST_ENTRY, argc, argv);
}
