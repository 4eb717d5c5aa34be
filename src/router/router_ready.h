/* router_ready.h - the balancer's question whether the router takes callers.

   Needs: router_state.h.  */

#ifndef MQ_ROUTER_READY_H
#define MQ_ROUTER_READY_H

#include "router_state.h"

/* Answers at the ready address of the settings: /metrics with the counters,
   every other path with 200 or 503.  False with ERROR when it can't listen. */
bool mq_ready_listen (struct mq_router *router, struct mq_error *error);

#endif
