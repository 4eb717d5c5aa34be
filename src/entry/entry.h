/* entry.h - everything that runs on an entry host, in one event loop.

   Joins the cores (owner, front, spread) to HTTP, peers and the platform:
   inputs go to the cores in the order in which they came, their actions are
   carried out in the order in which they were given.  Decides nothing.
   Needs: tevent, settings.h and what the modules that it joins need.  */

#ifndef MQ_ENTRY_H
#define MQ_ENTRY_H

#include "daemon/settings.h"
#include <tevent.h>

struct mq_entry;

/* DONE is called once after mq_entry_drain, when everything was handed over
   or drain_seconds have passed.  */
struct mq_entry *mq_entry_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                  const struct mq_settings *settings,
                                  void (*done) (void *user), void *user,
                                  struct mq_error *error);
/* Cuts whatever is still in progress.  */
void mq_entry_destroy (struct mq_entry *entry);
/* Planned stop: partitions are handed over, new callers are refused, what
   is in progress ends.  */
void mq_entry_drain (struct mq_entry *entry);
/* "IP:PORT" as reached by callers, and by other hosts.  */
const char *mq_entry_http_address (const struct mq_entry *entry);
const char *mq_entry_peer_address (const struct mq_entry *entry);

#endif
