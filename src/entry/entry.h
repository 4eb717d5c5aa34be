/* entry.h - the daemon of an entry host, on one event loop.

   Connects the I/O-free cores (owner, front, spread) to HTTP, peers and the
   platform.  Inputs are passed to the cores in order of arrival, and the
   actions they return are run in the order in which they were returned.
   Needs: tevent, settings.h and the requirements of the connected modules. */

#ifndef MQ_ENTRY_H
#define MQ_ENTRY_H

#include "daemon/settings.h"
#include <tevent.h>

struct mq_entry;

/* DONE is called once after mq_entry_drain, when all partitions were handed
   over and all requests answered, or after drain_seconds.  */
struct mq_entry *mq_entry_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                  const struct mq_settings *settings,
                                  void (*done) (void *user), void *user,
                                  struct mq_error *error);
/* Aborts requests in progress.  */
void mq_entry_destroy (struct mq_entry *entry);
/* Starts a graceful shutdown: hands partitions over, refuses new requests
   and completes requests in progress.  */
void mq_entry_drain (struct mq_entry *entry);
/* Ends the shutdown early: refuses the requests that wait.  */
void mq_entry_end_drain (struct mq_entry *entry);
/* "IP:PORT" at which callers and other hosts, respectively, connect.  */
const char *mq_entry_http_address (const struct mq_entry *entry);
const char *mq_entry_peer_address (const struct mq_entry *entry);

#endif
