/* target.h - the daemon of a target host, on one event loop.

   Connects the I/O-free cores (gate, spread) to workers, peers, the platform
   and operators' HTTP.  Inputs are passed to the cores in order of arrival,
   and the actions they return are run in the order in which they were
   returned.
   Needs: tevent, settings.h and the requirements of the connected modules. */

#ifndef MQ_TARGET_H
#define MQ_TARGET_H

#include "daemon/settings.h"
#include <tevent.h>

struct mq_target;

/* DONE is called once after mq_target_drain, when no call is left or after
   drain_seconds.  */
struct mq_target *mq_target_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                    const struct mq_settings *settings,
                                    void (*done) (void *user), void *user,
                                    struct mq_error *error);
/* Aborts calls in progress.  */
void mq_target_destroy (struct mq_target *target);
/* Starts a graceful shutdown: refuses new calls, completes running calls and
   waits until their outcomes are durable.  */
void mq_target_drain (struct mq_target *target);
/* Ends the shutdown early: aborts the calls in progress.  */
void mq_target_end_drain (struct mq_target *target);
/* "IP:PORT" at which operators and other hosts, respectively, connect.  */
const char *mq_target_http_address (const struct mq_target *target);
const char *mq_target_peer_address (const struct mq_target *target);

#endif
