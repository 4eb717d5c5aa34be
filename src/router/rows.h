/* rows.h - the platform's table as the router uses it.

   Rows are found by table, part and key; a transaction stays within one
   part.  The functions are those of the folder platform/.
   Needs: store.h, error.h, tevent.  */

#ifndef MQ_ROWS_H
#define MQ_ROWS_H

#include "core/error.h"
#include "core/store.h"
#include <tevent.h>

struct mq_rows;
struct mq_rows_call;

/**
 * struct mq_rows_entry - a row that is read or written
 * @table: its table
 * @part: its part
 * @key: its key in the part
 * @version: read: its version, 0 when it is not there; write: the version it
 *           must have, MQ_VERSION_ABSENT or _ANY
 * @value: its value
 * @remove: write: the row is removed
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
 * struct mq_rows_result - how a call ended; valid in the callback alone
 * @status: OK, CONFLICT, DOWN (certainly not done) or LOST (not known)
 * @version: of the transaction, or newest version that a read saw
 * @rows: read: what was found; CONFLICT: the rows as they are
 * @row_count: how many
 */
struct mq_rows_result
{
  enum mq_store_status status;
  uint64_t version;
  const struct mq_rows_entry *rows;
  size_t row_count;
};

typedef void mq_rows_done (const struct mq_rows_result *result, void *user);

/**
 * struct mq_rows_watcher - who is told of the rows of a table
 * @list: a whole list begins (true) or has ended (false); rows that are not
 *        told between the two are gone
 * @row: a row is new or has changed
 * @gone: a row was removed
 * @user: given to all of them
 */
struct mq_rows_watcher
{
  void (*list) (bool begins, void *user);
  void (*row) (const struct mq_rows_entry *row, void *user);
  void (*gone) (const char *key, void *user);
  void *user;
};

/**
 * struct mq_rows_counters - what was asked and how it ended
 * @writes: transactions sent
 * @reads: reads sent, feeds included
 * @refused: answers that turned a call away
 * @lost: calls whose outcome is not known
 */
struct mq_rows_counters
{
  uint64_t writes, reads, refused, lost;
};

/* ADDRESS: "IP:PORT" of the platform's table.  */
struct mq_rows *mq_rows_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                const char *address);
void mq_rows_destroy (struct mq_rows *rows);
/* Writes ENTRIES, all of one part, all or none.  They are copied.  */
struct mq_rows_call *mq_rows_commit (struct mq_rows *rows,
                                     const struct mq_rows_entry *entries,
                                     size_t count, mq_rows_done *done,
                                     void *user);
/* Reads the row KEY of a part.  */
struct mq_rows_call *mq_rows_get (struct mq_rows *rows, const char *table,
                                  const char *part, const char *key,
                                  mq_rows_done *done, void *user);
/* Reads up to LIMIT rows of a part from the key FROM on, in order of keys.  */
struct mq_rows_call *mq_rows_scan (struct mq_rows *rows, const char *table,
                                   const char *part, const char *from,
                                   uint32_t limit, mq_rows_done *done,
                                   void *user);
/* The table's own clock, which only goes forward, seconds; 0: not known.  */
uint64_t mq_rows_clock_s (const struct mq_rows *rows);
/* One moment on both clocks: by the table's, and by this host's that goes on
   while it is suspended (mq_clock_boot_ms), which is not later than when the
   table was asked; false: not known.  */
bool mq_rows_sample_clocks (const struct mq_rows *rows, uint64_t *boot_ms,
                            uint64_t *table_ms);
/* No callback follows; what was sent may still be done.  */
void mq_rows_cancel (struct mq_rows_call *call);
/* Lists TABLE, whose rows have an empty part, and follows its changes for as
   long as ROWS is there.  */
void mq_rows_watch (struct mq_rows *rows, const char *table,
                    const struct mq_rows_watcher *watcher);
/* Lists TABLE once; a list that fails is tried again.  */
void mq_rows_list (struct mq_rows *rows, const char *table,
                   const struct mq_rows_watcher *watcher);
/* So many hosts share the table, 0: not known yet.  The more they are, the
   less often each of them asks when nothing changes and tries again what
   failed. */
void mq_rows_set_host_count (struct mq_rows *rows, size_t hosts);
/* All tables that are followed were listed, and none of the feeds failed when
   it was last asked.  */
bool mq_rows_feeds_healthy (const struct mq_rows *rows);
/* Calls fail at once, since the table gave no answer for a while.  */
bool mq_rows_down (const struct mq_rows *rows);
/* PART did not answer its last call though the table answered others.  */
bool mq_rows_part_suspect (const struct mq_rows *rows, const char *part);
/* Nor the one before: calls to it fail at once for a while.  */
bool mq_rows_part_down (const struct mq_rows *rows, const char *part);
/* When the table last came back after a time without any answer, steady clock,
   0: never.  */
uint64_t mq_rows_recovered_ms (const struct mq_rows *rows);
const struct mq_rows_counters *mq_rows_counters (const struct mq_rows *rows);

#endif
