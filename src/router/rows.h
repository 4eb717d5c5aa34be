/* rows.h - client interface of the platform's table, implemented in platform/.

   A row is identified by table, part and key.  A transaction is confined to
   one part.

   Needs: store.h, error.h, tevent.  */

#ifndef MQ_ROWS_H
#define MQ_ROWS_H

#include "core/error.h"
#include "core/store.h"
#include <tevent.h>

struct mq_rows;
struct mq_rows_call;

/* Entries of one transaction at most.  A row that is written is one, the
   version that it requires another.  */
#define MQ_ROWS_ENTRIES_MAX 100U

/**
 * struct mq_rows_entry - a row that is read or written
 * @version: read: current version, 0 if the row is absent; write: version
 *           required, MQ_VERSION_ABSENT or MQ_VERSION_ANY
 * @remove: write: removes the row
 */
struct mq_rows_entry
{
  const char *table;
  const char *part;
  const char *key;
  uint64_t version;
  struct mq_bytes value;
  bool remove;
};

/**
 * struct mq_rows_result - result of a call; valid during the callback only
 * @status: OK, CONFLICT, DOWN (not executed), LOST (outcome unknown) or
 *          REJECTED (not executed; the table does not accept such a call)
 * @version: version of the transaction, or the newest version that a read saw
 * @rows: read: rows found; CONFLICT: current rows
 * @host: write: host that it was forwarded to; NULL if none
 */
struct mq_rows_result
{
  enum mq_store_status status;
  uint64_t version;
  const struct mq_rows_entry *rows;
  size_t row_count;
  const char *host;
};

typedef void mq_rows_done (const struct mq_rows_result *result, void *user);

/**
 * struct mq_rows_watcher - callbacks for the rows of a table
 * @list: a full list begins (true) or has ended (false); rows not reported in
 *        between no longer exist
 * @row: a row was added or changed
 * @removed: a row was removed
 * @user: passed to all callbacks
 */
struct mq_rows_watcher
{
  void (*list) (bool begins, void *user);
  void (*row) (const struct mq_rows_entry *row, void *user);
  void (*removed) (const char *key, void *user);
  void *user;
};

/**
 * struct mq_rows_counters - calls to the table and their results
 * @writes: transactions sent
 * @reads: reads sent, including feeds
 * @refused: calls rejected by the table
 * @lost: calls with unknown outcome
 */
struct mq_rows_counters
{
  uint64_t writes, reads, refused, lost;
};

/**
 * struct mq_rows_call_counters - calls of one kind to one table
 * @kind: "commit", "get", "check", "list" or "feed"
 * @conflicts: transactions whose condition did not hold
 * @refused: calls that the table did not execute, for now
 * @throttled: those of them that exceeded its rate
 * @rejected: calls that the table does not accept
 * @unanswered: calls that got no response
 * @sent_bytes: heads and bodies of the requests
 * @received_bytes: bodies of the responses
 */
struct mq_rows_call_counters
{
  const char *table;
  const char *kind;
  uint64_t calls;
  uint64_t conflicts;
  uint64_t refused;
  uint64_t throttled;
  uint64_t rejected;
  uint64_t unanswered;
  uint64_t sent_bytes;
  uint64_t received_bytes;
};

/* ADDRESS: "IP:PORT" of the table.  */
struct mq_rows *mq_rows_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                const char *address);
void mq_rows_destroy (struct mq_rows *rows);
typedef void mq_rows_recovery_handler (void *user);
/* Calls HANDLER when the table answers again after it counted as down.  */
void mq_rows_set_recovery_handler (struct mq_rows *rows,
                                   mq_rows_recovery_handler *handler,
                                   void *user);
/* Number of entries that COUNT rows make in a transaction, at most
   MQ_ROWS_ENTRIES_MAX.  */
size_t mq_rows_count_entries (const struct mq_rows_entry *rows, size_t count);
/**
 * struct mq_rows_rejection - a call that the table does not accept
 * @kind: as in struct mq_rows_call_counters
 * @status: HTTP status of the response
 * @entries: entries of a transaction, else 0
 */
struct mq_rows_rejection
{
  const char *table;
  const char *kind;
  int status;
  size_t entries;
};

typedef void
mq_rows_rejection_handler (const struct mq_rows_rejection *rejection,
                           void *user);
/* Calls HANDLER for each call that ends as REJECTED.  */
void mq_rows_set_rejection_handler (struct mq_rows *rows,
                                    mq_rows_rejection_handler *handler,
                                    void *user);
/* Calls HANDLER when PART counts as down, after so many consecutive
   TIMEOUTS.  */
typedef void mq_rows_part_handler (const char *part, uint32_t timeouts,
                                   void *user);
void mq_rows_set_part_handler (struct mq_rows *rows,
                               mq_rows_part_handler *handler, void *user);
/* Writes ENTRIES, all of one part, atomically.  They are copied.  */
struct mq_rows_call *mq_rows_commit (struct mq_rows *rows,
                                     const struct mq_rows_entry *entries,
                                     size_t count, mq_rows_done *done,
                                     void *user);
/* Reads the row KEY of a part.  */
struct mq_rows_call *mq_rows_get (struct mq_rows *rows, const char *table,
                                  const char *part, const char *key,
                                  mq_rows_done *done, void *user);
/* Reads up to LIMIT rows of a part in key order, starting at the key FROM.  */
struct mq_rows_call *mq_rows_scan (struct mq_rows *rows, const char *table,
                                   const char *part, const char *from,
                                   uint32_t limit, mq_rows_done *done,
                                   void *user);
/* The table's clock, which is monotonic, in milliseconds; behind by the
   latency of a response at most; 0 if unknown.  */
uint64_t mq_rows_clock_ms (const struct mq_rows *rows);
/* Likewise, in seconds.  */
uint64_t mq_rows_clock_s (const struct mq_rows *rows);
/* Samples the table's clock and this host's mq_clock_boot_ms, which includes
   time suspended.  BOOT_MS is not later than the request that returned
   TABLE_MS.  Returns false if unknown.  */
bool mq_rows_sample_clocks (const struct mq_rows *rows, uint64_t *boot_ms,
                            uint64_t *table_ms);
/* The callback is not called; a write already sent may still take effect.  */
void mq_rows_cancel (struct mq_rows_call *call);
/* Lists TABLE, whose rows have an empty part, and follows its changes until
   ROWS is destroyed.  */
void mq_rows_watch (struct mq_rows *rows, const char *table,
                    const struct mq_rows_watcher *watcher);
/* Lists TABLE once; a failed list is retried.  */
void mq_rows_list (struct mq_rows *rows, const char *table,
                   const struct mq_rows_watcher *watcher);
/* Reads the changes of TABLE, which is watched, since those reported so far.
   If the result is OK and has no rows, the watcher knows all.  DOWN also if
   TABLE is not listed yet or its changes are no longer available.  */
struct mq_rows_call *mq_rows_check (struct mq_rows *rows, const char *table,
                                    mq_rows_done *done, void *user);
/* Sets the number of hosts that use the table, 0 if unknown.  Poll intervals
   and retry pauses grow with it.  */
void mq_rows_set_host_count (struct mq_rows *rows, size_t hosts);
/* All watched tables were listed, and the last poll of each feed succeeded. */
bool mq_rows_feeds_healthy (const struct mq_rows *rows);
/* Smoothed latency of the table, milliseconds.  */
uint32_t mq_rows_latency_ms (const struct mq_rows *rows);
/* How long a call sent now is waited for, milliseconds; follows the table's
   latency.  */
uint32_t mq_rows_call_timeout_ms (const struct mq_rows *rows);
/* The table has stopped answering; calls fail at once.  */
bool mq_rows_down (const struct mq_rows *rows);
/* PART did not answer its last call, though the table answered others.  */
bool mq_rows_part_suspect (const struct mq_rows *rows, const char *part);
/* PART did not answer its last two calls; calls to it fail at once until a
   backoff has passed.  */
bool mq_rows_part_down (const struct mq_rows *rows, const char *part);
/* Time of the table's last recovery, monotonic clock; 0 if none.  */
uint64_t mq_rows_recovered_ms (const struct mq_rows *rows);
const struct mq_rows_counters *mq_rows_counters (const struct mq_rows *rows);
/* Sets *LIST to the counters by table and kind, and returns their number.  */
size_t mq_rows_call_counters (const struct mq_rows *rows,
                              const struct mq_rows_call_counters **list);

#endif
