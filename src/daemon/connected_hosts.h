/* connected_hosts.h - connections to the hosts that the platform lists.

   Needs: host.h, peer.h.  */

#ifndef MQ_CONNECTED_HOSTS_H
#define MQ_CONNECTED_HOSTS_H

#include "core/host.h"
#include "net/peer.h"

/* Addresses of the hosts to which persistent connections are open.  */
struct mq_connected_hosts
{
  char **addresses;
  size_t count;
};

typedef bool mq_host_filter (const struct mq_host *host, const void *data);

/* Opens a persistent connection to each listed host for which WANTED returns
   true, and releases those to hosts that are no longer listed.  Addresses are
   owned by CTX.  */
void mq_connected_hosts_update (TALLOC_CTX *ctx,
                                struct mq_connected_hosts *connected,
                                struct mq_peer_net *net,
                                const struct mq_host_list *hosts,
                                mq_host_filter *wanted, const void *data);

#endif
