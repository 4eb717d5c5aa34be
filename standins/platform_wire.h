/* platform_wire.h - JSON of the platform's table, as docs/CONTRACTS.md has it.

   Pure.
   Needs: table.h, jansson.  */

#ifndef MQ_PLATFORM_WIRE_H
#define MQ_PLATFORM_WIRE_H

#include "table.h"
#include <jansson.h>

/* Operations of a transaction into REQUEST, below CTX; false when BODY is
   not one.  */
bool mq_wire_read_transaction (TALLOC_CTX *ctx, const char *body, size_t len,
                               struct mq_store_request *request);
json_t *mq_wire_transaction (const struct mq_store_result *result);
json_t *mq_wire_rows (const struct mq_store_result *result);
/* WAITING: requests that wait in the server.  */
json_t *mq_wire_counters (const struct mq_table_counters *counters,
                          uint64_t waiting);

#endif
