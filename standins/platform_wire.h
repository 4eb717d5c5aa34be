/* platform_wire.h - JSON encoding of the platform's table API, as specified
   in docs/CONTRACTS.md.

   Needs: table.h, jansson.  */

#ifndef MQ_PLATFORM_WIRE_H
#define MQ_PLATFORM_WIRE_H

#include "table.h"
#include <jansson.h>

/* Parses BODY as a transaction into REQUEST, allocated below CTX; false if it
   is malformed.  */
bool mq_wire_read_transaction (TALLOC_CTX *ctx, const char *body, size_t len,
                               struct mq_store_request *request);
json_t *mq_wire_transaction (const struct mq_store_result *result);
json_t *mq_wire_rows (const struct mq_store_result *result);
/* WAITING: number of delayed requests.  */
json_t *mq_wire_counters (const struct mq_table_counters *counters,
                          uint64_t waiting);

#endif
