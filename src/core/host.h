/* host.h - hosts of a site, from the platform's list and from heartbeats.

   Entries may be stale; that costs latency but does not affect correctness.
   Needs: types.h.  */

#ifndef MQ_HOST_H
#define MQ_HOST_H

#include "types.h"

enum mq_host_role
{
  MQ_HOST_ENTRY,
  MQ_HOST_TARGET
};

/**
 * struct mq_host - one host of the platform's list
 * @name: unique within the site
 * @address: "IP:PORT" for connections from peers
 * @http: "IP:PORT" of the HTTP server for operators and callers
 * @leaving: shutting down; receives no new work
 */
struct mq_host
{
  const char *name;
  enum mq_host_role role;
  const char *data_centre;
  const char *region;
  const char *address;
  const char *http;
  bool leaving;
};

struct mq_host_list
{
  struct mq_host *items;
  size_t count;
};

#endif
