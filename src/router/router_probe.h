/* router_probe.h - asks a worker whose connection broke whether it still runs.

   Needs: fleet.h, tevent.  */

#ifndef MQ_ROUTER_PROBE_H
#define MQ_ROUTER_PROBE_H

#include "core/router/fleet.h"
#include <tevent.h>

struct mq_probe;

/* Time allowed for the response.  */
#define MQ_PROBE_TIMEOUT_MS 600U

enum mq_probe_result
{
  MQ_PROBE_RUNS,        /* the worker has answered */
  MQ_PROBE_ENDED,       /* another worker has answered */
  MQ_PROBE_UNREACHABLE, /* no connection: it has ended, or is cut off */
  MQ_PROBE_UNKNOWN      /* no answer, or none that tells */
};

typedef void mq_probe_done (enum mq_probe_result result, void *user);

/* Requests the health check at PATH from WORKER, on a new connection.  DONE is
   called once, from the event loop, and the probe is freed after it; not at
   all if CTX is freed before.  Returns NULL if no connection can be opened, or
   out of memory.  */
struct mq_probe *mq_probe_begin (TALLOC_CTX *ctx, struct tevent_context *ev,
                                 const struct mq_fleet_member *worker,
                                 const char *path, mq_probe_done *done,
                                 void *user);

#endif
