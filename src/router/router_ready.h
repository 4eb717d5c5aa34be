/* router_ready.h - readiness and metrics endpoint.

   Needs: router_state.h.  */

#ifndef MQ_ROUTER_READY_H
#define MQ_ROUTER_READY_H

#include "router_state.h"

/* Listens at the ready address of the settings: /metrics returns the metrics,
   every other path 200 or 503.  Returns false with ERROR set on failure.  */
bool mq_ready_listen (struct mq_router *router, struct mq_error *error);

#endif
