/* table.h - the stand-in's transactional table and object store, in memory.

   Pure: no input, output, clock or randomness, so that tests of the core and
   the fault matrix use it directly.  Keeps to docs/CONTRACTS.md.  Memory
   that runs out aborts the process.
   Needs: store.h, id.h (levels of the skip list).  */

#ifndef MQ_TABLE_H
#define MQ_TABLE_H

#include "core/store.h"

/* Bounds of one scan's answer; at least one row is always given.  */
#define MQ_TABLE_SCAN_ROWS 1000U
#define MQ_TABLE_SCAN_BYTES (1U << 20)

struct mq_table;

/**
 * struct mq_table_counters - what the table was asked and what it holds
 * @reads: scans and object reads
 * @writes: applied transactions, object writes and removals
 * @conflicts: transactions of which a condition did not hold
 * @rows_written: rows written or removed by the applied transactions
 * @rows: rows held
 * @objects: objects held
 * @bytes: keys and values of rows and objects held
 */
struct mq_table_counters
{
  uint64_t reads;
  uint64_t writes;
  uint64_t conflicts;
  uint64_t rows_written;
  uint64_t rows;
  uint64_t objects;
  uint64_t bytes;
};

/**
 * struct mq_table_snapshot - a copy of everything, in key order
 * @rows: the table's rows
 * @row_count: how many
 * @objects: the objects; their versions are 0
 * @object_count: how many
 */
struct mq_table_snapshot
{
  struct mq_row *rows;
  size_t row_count;
  struct mq_row *objects;
  size_t object_count;
};

struct mq_table *mq_table_create (TALLOC_CTX *ctx);
void mq_table_destroy (struct mq_table *table);

/**
 * mq_table_transact - apply all of a transaction or nothing
 * @table: the table
 * @ops: its operations; conditions are checked on the rows as they stand
 *       before the transaction, then the operations are applied in order
 * @count: how many
 * @versions: OUT, of @count: new version of each row, 0 when removed
 * @failed: OUT, of @count: whose condition did not hold; may be NULL
 *
 * Every version is higher than all that were given out before, also after a
 * row was removed, so a condition on an old version can never hold again.
 *
 * Return: MQ_STORE_OK or MQ_STORE_CONFLICT.
 */
enum mq_store_status mq_table_transact (struct mq_table *table,
                                        const struct mq_store_op *ops,
                                        size_t count, uint64_t *versions,
                                        bool *failed);

/**
 * mq_table_scan - rows with a key prefix, in order of their keys' bytes
 * @table: the table
 * @ctx: parent of the copies
 * @prefix: what the keys begin with, may be empty
 * @after: only keys greater than this; NULL or empty: all
 * @limit: most rows, 0: MQ_TABLE_SCAN_ROWS
 * @rows: OUT: the rows
 * @count: OUT: how many
 *
 * Return: whether further rows follow.
 */
bool mq_table_scan (struct mq_table *table, TALLOC_CTX *ctx,
                    const char *prefix, const char *after, uint32_t limit,
                    struct mq_row **rows, size_t *count);

void mq_table_put (struct mq_table *table, const char *key,
                   struct mq_bytes value);
/* False when there is no such object; VALUE is a copy below CTX.  */
bool mq_table_get (struct mq_table *table, TALLOC_CTX *ctx, const char *key,
                   struct mq_bytes *value);
/* False when there was no such object.  */
bool mq_table_delete_object (struct mq_table *table, const char *key);

/* Answers REQUEST at once; what RESULT points to hangs below CTX.  */
void mq_table_execute (struct mq_table *table, TALLOC_CTX *ctx,
                       const struct mq_store_request *request,
                       struct mq_store_result *result);

struct mq_table_counters mq_table_counters (const struct mq_table *table);
struct mq_table_snapshot *mq_table_snapshot (const struct mq_table *table,
                                             TALLOC_CTX *ctx);

#endif
