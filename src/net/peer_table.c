/* peer_table.c - lookup of connections and dialled addresses.

   Chained hash tables; the hash of a connection is its handle.
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
  for (struct mq_peer_address *peer_address = conn->net->peer_address;
       peer_address != NULL; peer_address = peer_address->next)
    if (peer_address->ready == conn)
      peer_address->ready = NULL;
}

void
mq_table_add (struct mq_conn *conn)
{
  struct mq_peer_net *net = conn->net;
  size_t by_handle = conn->handle % MQ_PEER_BUCKETS;
  size_t by_address = hash_address (conn->info.address);
  struct mq_peer_address *peer_address;

  conn->next_by_handle = net->by_handle[by_handle];
  net->by_handle[by_handle] = conn;
  conn->next_by_address = net->by_address[by_address];
  net->by_address[by_address] = conn;
  peer_address = mq_table_find_peer_address (net, conn->info.address);
  if (peer_address != NULL)
    peer_address->ready = conn;
  if (conn->peer_address != NULL)
    conn->peer_address->ready = conn;
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
  struct mq_peer_address *peer_address
      = mq_table_find_peer_address (net, address);
  struct mq_conn *conn;

  if (peer_address != NULL && peer_address->ready != NULL)
    return peer_address->ready;
  conn = net->by_address[hash_address (address)];
  while (conn != NULL && strcmp (conn->info.address, address) != 0)
    conn = conn->next_by_address;
  return conn;
}

struct mq_peer_address *
mq_table_find_peer_address (const struct mq_peer_net *net, const char *address)
{
  struct mq_peer_address *peer_address
      = net->peer_address_buckets[hash_address (address)];

  while (peer_address != NULL && strcmp (peer_address->address, address) != 0)
    peer_address = peer_address->next_by_address;
  return peer_address;
}

void
mq_table_add_peer_address (struct mq_peer_net *net,
                           struct mq_peer_address *peer_address)
{
  size_t bucket = hash_address (peer_address->address);

  peer_address->next_by_address = net->peer_address_buckets[bucket];
  net->peer_address_buckets[bucket] = peer_address;
  peer_address->next = net->peer_address;
  net->peer_address = peer_address;
}

void
mq_table_remove_peer_address (struct mq_peer_net *net,
                              struct mq_peer_address *peer_address)
{
  struct mq_peer_address **at
      = &net->peer_address_buckets[hash_address (peer_address->address)];

  while (*at != peer_address)
    at = &(*at)->next_by_address;
  *at = peer_address->next_by_address;
  at = &net->peer_address;
  while (*at != peer_address)
    at = &(*at)->next;
  *at = peer_address->next;
}
