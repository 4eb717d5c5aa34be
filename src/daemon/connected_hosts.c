/* connected_hosts.c - connections to the hosts that the platform lists.

   Needs: connected_hosts.h, memory.h.  */

#include "connected_hosts.h"
#include "core/memory.h"
#include <string.h>

static bool
is_listed (const struct mq_host_list *hosts, const char *address)
{
  for (size_t i = 0; i < hosts->count; i++)
    if (strcmp (hosts->items[i].address, address) == 0)
      return true;
  return false;
}

void
mq_connected_hosts_update (TALLOC_CTX *ctx,
                           struct mq_connected_hosts *connected,
                           struct mq_peer_net *net,
                           const struct mq_host_list *hosts,
                           mq_host_filter *wanted, const void *data)
{
  char **addresses
      = mq_check_alloc (talloc_zero_array (ctx, char *, hosts->count + 1));
  size_t count = 0;

  for (size_t i = 0; i < connected->count; i++)
    if (!is_listed (hosts, connected->addresses[i]))
      mq_peer_net_remove_address (net, connected->addresses[i]);
  for (size_t i = 0; i < hosts->count; i++)
    {
      const struct mq_host *host = &hosts->items[i];

      if (!wanted (host, data))
        continue;
      mq_peer_net_add_address (net, host->address);
      addresses[count++] = mq_text_copy (addresses, host->address);
    }
  talloc_free (connected->addresses);
  connected->addresses = addresses;
  connected->count = count;
}
