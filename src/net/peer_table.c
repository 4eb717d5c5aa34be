/* peer_table.c - lookups of connections and kept addresses.

   Chained hash tables; a connection's handle is its own hash.
   Needs: peer_net.h, id.h.  */

#include "peer_net.h"
#include "core/id.h"
#include <string.h>

static size_t
hash_address (const char *address)
{
  return mq_hash_bytes (address, strlen (address), 0) % MQ_PEER_BUCKETS;
}

static void
remove_handle (struct mq_conn *conn)
{
  struct mq_conn **at = &conn->net->by_handle[conn->handle % MQ_PEER_BUCKETS];

  while (*at != NULL && *at != conn)
    at = &(*at)->next_by_handle;
  if (*at != NULL)
    *at = conn->next_by_handle;
}

void
mq_table_remove_by_address (struct mq_conn *conn)
{
  struct mq_conn **at
      = &conn->net->by_address[hash_address (conn->info.address)];

  while (*at != NULL && *at != conn)
    at = &(*at)->next_by_address;
  if (*at != NULL)
    *at = conn->next_by_address;
  for (struct mq_peer_address *kept = conn->net->kept; kept != NULL;
       kept = kept->next)
    if (kept->ready == conn)
      kept->ready = NULL;
}

void
mq_table_add (struct mq_conn *conn)
{
  struct mq_peer_net *net = conn->net;
  size_t by_handle = conn->handle % MQ_PEER_BUCKETS;
  size_t by_address = hash_address (conn->info.address);
  struct mq_peer_address *kept;

  conn->next_by_handle = net->by_handle[by_handle];
  net->by_handle[by_handle] = conn;
  conn->next_by_address = net->by_address[by_address];
  net->by_address[by_address] = conn;
  kept = mq_table_find_peer_address (net, conn->info.address);
  if (kept != NULL)
    kept->ready = conn;
  if (conn->kept != NULL)
    conn->kept->ready = conn;
}

void
mq_table_remove (struct mq_conn *conn)
{
  remove_handle (conn);
  mq_table_remove_by_address (conn);
}

struct mq_conn *
mq_table_find_handle (const struct mq_peer_net *net, uint32_t handle)
{
  struct mq_conn *conn = net->by_handle[handle % MQ_PEER_BUCKETS];

  while (conn != NULL && conn->handle != handle)
    conn = conn->next_by_handle;
  return conn;
}

struct mq_conn *
mq_table_find_address (const struct mq_peer_net *net, const char *address)
{
  struct mq_peer_address *kept = mq_table_find_peer_address (net, address);
  struct mq_conn *conn;

  if (kept != NULL && kept->ready != NULL)
    return kept->ready;
  conn = net->by_address[hash_address (address)];
  while (conn != NULL && strcmp (conn->info.address, address) != 0)
    conn = conn->next_by_address;
  return conn;
}

struct mq_peer_address *
mq_table_find_peer_address (const struct mq_peer_net *net, const char *address)
{
  struct mq_peer_address *kept
      = net->peer_address_buckets[hash_address (address)];

  while (kept != NULL && strcmp (kept->address, address) != 0)
    kept = kept->next_by_address;
  return kept;
}

void
mq_table_add_peer_address (struct mq_peer_net *net,
                           struct mq_peer_address *kept)
{
  size_t bucket = hash_address (kept->address);

  kept->next_by_address = net->peer_address_buckets[bucket];
  net->peer_address_buckets[bucket] = kept;
  kept->next = net->kept;
  net->kept = kept;
}

void
mq_table_remove_peer_address (struct mq_peer_net *net,
                              struct mq_peer_address *kept)
{
  struct mq_peer_address **at
      = &net->peer_address_buckets[hash_address (kept->address)];

  while (*at != kept)
    at = &(*at)->next_by_address;
  *at = kept->next_by_address;
  at = &net->kept;
  while (*at != kept)
    at = &(*at)->next;
  *at = kept->next;
}
