/* host.h - the hosts of a site as the platform's list and beats show them.

   Hints only: a stale entry costs latency, never a promise.
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
 * @name: its name, unique in the site
 * @role: entry host or target host
 * @data_centre: where it stands
 * @region: where its data centre stands
 * @address: "IP:PORT" at which the system's process on it meets its peers
 * @http: "IP:PORT" of that process's HTTP, for operators (and callers)
 * @leaving: it is to go; gets no new work
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
