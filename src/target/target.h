/* target.h - everything that runs beside a target, in one event loop.

   Joins the cores (gate, spread) to the workers, peers, the platform and
   operators' HTTP: inputs go to the cores in the order in which they came,
   their actions are carried out in the order in which they were given.
   Decides nothing.
   Needs: tevent, settings.h and what the modules that it joins need.  */

#ifndef MQ_TARGET_H
#define MQ_TARGET_H

#include "daemon/settings.h"
#include <tevent.h>

struct mq_target;

/* DONE is called once after mq_target_drain, when nothing is left here or
   drain_seconds have passed.  */
struct mq_target *mq_target_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                                    const struct mq_settings *settings,
                                    void (*done) (void *user), void *user,
                                    struct mq_error *error);
/* Cuts whatever is still in progress.  */
void mq_target_destroy (struct mq_target *target);
/* Planned stop: new calls are refused, what runs ends, outcomes wait to be
   made durable.  */
void mq_target_drain (struct mq_target *target);
/* "IP:PORT" as reached by operators, and by other hosts.  */
const char *mq_target_http_address (const struct mq_target *target);
const char *mq_target_peer_address (const struct mq_target *target);

#endif
