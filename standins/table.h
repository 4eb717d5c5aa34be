/* table.h - in-memory transactional table and object store.

   Implements the store of docs/CONTRACTS.md.  Performs no I/O, so tests can
   use it directly.  Aborts when out of memory.
   Needs: store.h, id.h (skip list levels).  */

#ifndef MQ_TABLE_H
#define MQ_TABLE_H

#include "core/store.h"

/* Limits of one scan; at least one row is always returned.  */
#define MQ_TABLE_SCAN_ROWS 1000U
#define MQ_TABLE_SCAN_BYTES (1U << 20)

struct mq_table;

/**
 * struct mq_table_counters - operations and contents of the table
 * @reads: scans and object reads
 * @writes: applied transactions, object writes and removals
 * @conflicts: transactions rejected by a failed condition
 * @rows_written: rows written or removed by the applied transactions
 * @rows: stored rows
 * @objects: stored objects
 * @bytes: size of all stored keys and values
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
 * struct mq_table_snapshot - copy of all rows and objects, in key order
 * @row_count: number of @rows
 * @objects: the objects; their versions are 0
 * @object_count: number of @objects
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
 * mq_table_transact - apply a transaction atomically
 * @table: the table
 * @ops: operations; all conditions are checked first, then the operations are
 *       applied in order
 * @count: how many
 * @versions: OUT, @count elements: new version of each row; 0 if removed
 * @failed: OUT, @count elements: operations whose condition failed; may be
 *          NULL
 *
 * Versions increase over the whole table and are never reused, so a condition
 * on an old version cannot hold again, even after the row was removed.
 *
 * Return: MQ_STORE_OK or MQ_STORE_CONFLICT.
 */
enum mq_store_status mq_table_transact (struct mq_table *table,
                                        const struct mq_store_op *ops,
                                        size_t count, uint64_t *versions,
                                        bool *failed);

/**
 * mq_table_scan - read rows by key prefix, in byte order of keys
 * @table: the table
 * @ctx: parent of the copies
 * @prefix: key prefix, may be empty
 * @after: return only greater keys; NULL or empty for all
 * @limit: maximum rows; 0 for MQ_TABLE_SCAN_ROWS
 * @rows: OUT
 * @count: OUT: number of @rows
 *
 * Return: true if more rows follow.
 */
bool mq_table_scan (struct mq_table *table, TALLOC_CTX *ctx,
                    const char *prefix, const char *after, uint32_t limit,
                    struct mq_row **rows, size_t *count);

void mq_table_put (struct mq_table *table, const char *key,
                   struct mq_bytes value);
/* Returns false if the object does not exist.  VALUE is a copy below CTX.  */
bool mq_table_get (struct mq_table *table, TALLOC_CTX *ctx, const char *key,
                   struct mq_bytes *value);
/* Returns false if the object did not exist.  */
bool mq_table_delete_object (struct mq_table *table, const char *key);

/* Executes REQUEST; memory referenced by RESULT is allocated below CTX.  */
void mq_table_execute (struct mq_table *table, TALLOC_CTX *ctx,
                       const struct mq_store_request *request,
                       struct mq_store_result *result);

struct mq_table_counters mq_table_counters (const struct mq_table *table);
struct mq_table_snapshot *mq_table_snapshot (const struct mq_table *table,
                                             TALLOC_CTX *ctx);

#endif
