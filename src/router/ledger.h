/* ledger.h - calls to the platform's table by whichever way is open.

   Directly while the table answers this host; else through another host.
   Needs: rows.h, relay.h, histogram.h.  */

#ifndef MQ_LEDGER_H
#define MQ_LEDGER_H

#include "core/histogram.h"
#include "relay.h"
#include "rows.h"

struct mq_ledger;
struct mq_ledger_call;

struct mq_ledger *mq_ledger_create (TALLOC_CTX *ctx, struct mq_rows *rows,
                                    struct mq_relay *relay);
/* As mq_rows_commit and mq_rows_get; what is given is copied.  */
struct mq_ledger_call *mq_ledger_commit (struct mq_ledger *ledger,
                                         const struct mq_rows_entry *entry,
                                         mq_rows_done *done, void *user);
struct mq_ledger_call *mq_ledger_get (struct mq_ledger *ledger,
                                      const char *table, const char *part,
                                      const char *key, mq_rows_done *done,
                                      void *user);
/* No callback follows; NULL is allowed.  */
void mq_ledger_cancel (struct mq_ledger_call *call);
/* How long reads and writes took until their outcome, milliseconds.  */
const struct mq_histogram *mq_ledger_read_ms (const struct mq_ledger *ledger);
const struct mq_histogram *mq_ledger_write_ms (const struct mq_ledger *ledger);
/* How many rows the transactions of writes had.  */
const struct mq_histogram *
mq_ledger_batch_rows (const struct mq_ledger *ledger);
/* Neither way is open, as far as is known.  */
bool mq_ledger_down (const struct mq_ledger *ledger);
/* The same as mq_ledger_down for the rows of PART.  */
bool mq_ledger_part_down (const struct mq_ledger *ledger, const char *part);

#endif
