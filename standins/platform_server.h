/* platform_server.h - the platform's stand-in as an HTTP server.

   The table, object store, host list and weight store of docs/CONTRACTS.md,
   and below /standin/ its switches:

   POST /standin/fault        faults.h; meets row keys, object keys, scan
                              prefixes, weight names and "hosts"
   GET /standin/stats         reads, writes, conflicts, rows_written, rows,
                              objects, bytes, waiting
   POST /standin/hosts        add a host or change some of its fields
   DELETE /standin/hosts/NAME remove a host
   POST /standin/weights      {"name":S,"bytes":N,"loads_per_minute":N}

   A request that waits (slow, rate) takes effect even when its client has
   given up meanwhile, as with a real store.
   Needs: table.h, faults.h, http_server.h, jansson.  */

#ifndef MQ_PLATFORM_SERVER_H
#define MQ_PLATFORM_SERVER_H

#include "core/error.h"
#include "table.h"
#include <tevent.h>

struct mq_platform_server;

/* ADDRESS: "IP:PORT", port 0 takes a free one.  */
struct mq_platform_server *
mq_platform_server_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                           const char *address, struct mq_error *error);
void mq_platform_server_destroy (struct mq_platform_server *server);
uint16_t mq_platform_server_port (const struct mq_platform_server *server);
/* The table behind it, for checks within the same process.  */
struct mq_table *mq_platform_server_table (struct mq_platform_server *server);
/* Takes an order as POST /standin/fault does.  */
bool mq_platform_server_fault (struct mq_platform_server *server,
                               const char *order);
/* Adds the hosts of {"hosts":[…]}; they show at once.  */
bool mq_platform_server_load_hosts (struct mq_platform_server *server,
                                    const char *text, size_t len);

#endif
