/* table_client.h - calls to the platform's table.

   Calls go directly to the table while it answers this host, else through
   another host.
   Needs: commit_queue.h, rows.h, relay.h, histogram.h.  */

#ifndef MQ_TABLE_CLIENT_H
#define MQ_TABLE_CLIENT_H

#include "commit_queue.h"
#include "core/histogram.h"
#include "relay.h"
#include "rows.h"

struct mq_table_client;
struct mq_table_client_call;

struct mq_table_client *mq_table_client_create (TALLOC_CTX *ctx,
                                                struct mq_rows *rows,
                                                struct mq_relay *relay);
/* As mq_rows_commit and mq_rows_get; arguments are copied.  */
struct mq_table_client_call *
mq_table_client_commit (struct mq_table_client *table_client,
                        const struct mq_rows_entry *entry, mq_rows_done *done,
                        void *user);
struct mq_table_client_call *
mq_table_client_get (struct mq_table_client *table_client, const char *table,
                     const char *part, const char *key, mq_rows_done *done,
                     void *user);
/* The callback is not called.  CALL may be NULL.  */
void mq_table_client_cancel (struct mq_table_client_call *call);
/* Stores in PROGRESS how far CALL has come; false unless it is a write that
   has no result yet.  CALL may be NULL.  */
bool mq_table_client_write_progress (const struct mq_table_client_call *call,
                                     struct mq_commit_progress *progress);
/* Latency of reads and writes, milliseconds.  */
const struct mq_histogram *
mq_table_client_read_ms (const struct mq_table_client *table_client);
const struct mq_histogram *
mq_table_client_write_ms (const struct mq_table_client *table_client);
/* Rows per write transaction.  */
const struct mq_histogram *
mq_table_client_batch_rows (const struct mq_table_client *table_client);
/* The table can be reached neither directly nor through another host.  */
bool mq_table_client_down (const struct mq_table_client *table_client);
/* As mq_table_client_down, for the rows of PART.  */
bool mq_table_client_part_down (const struct mq_table_client *table_client,
                                const char *part);

#endif
