/* platform_server.h - HTTP server of the stand-in platform.

   Serves the table, object store, host list and weight store of
   docs/CONTRACTS.md, and control requests below /standin/:

   POST /standin/fault        see faults.h; matches row keys, object keys,
                              scan prefixes, weight names and "hosts"
   GET /standin/stats         reads, writes, conflicts, rows_written, rows,
                              objects, bytes, waiting
   POST /standin/hosts        add or update a host
   DELETE /standin/hosts/NAME remove a host
   POST /standin/weights      {"name":S,"bytes":N,"loads_per_minute":N}

   A request delayed by a fault (slow, rate) is executed even if its client
   disconnects meanwhile.
   Needs: table.h, faults.h, http_server.h, jansson.  */

#ifndef MQ_PLATFORM_SERVER_H
#define MQ_PLATFORM_SERVER_H

#include "core/error.h"
#include "table.h"
#include <tevent.h>

struct mq_platform_server;

/* ADDRESS: "IP:PORT"; port 0 selects a free port.  */
struct mq_platform_server *
mq_platform_server_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                           const char *address, struct mq_error *error);
void mq_platform_server_destroy (struct mq_platform_server *server);
uint16_t mq_platform_server_port (const struct mq_platform_server *server);
/* The underlying table, for assertions in the same process.  */
struct mq_table *mq_platform_server_table (struct mq_platform_server *server);
/* Handles ORDER like the body of POST /standin/fault; false if invalid.  */
bool mq_platform_server_fault (struct mq_platform_server *server,
                               const char *order);
/* Adds the hosts of {"hosts":[…]} and publishes them immediately.  */
bool mq_platform_server_load_hosts (struct mq_platform_server *server,
                                    const char *text, size_t len);

#endif
