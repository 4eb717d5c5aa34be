/* router_inactivity.h - detects workers that stopped responding.

   If a worker sends nothing for a multiple of the route's objective, a request
   that may be repeated is sent to another one, if there is one.
   Needs: fleet.h, tevent.  */

#ifndef MQ_ROUTER_INACTIVITY_H
#define MQ_ROUTER_INACTIVITY_H

#include "core/router/fleet.h"
#include "core/router/route.h"
#include <tevent.h>

struct mq_inactivity;

/**
 * struct mq_inactivity_options - parameters of the inactivity timer
 * @fleet: knows the last activity of the worker on any request
 * @route: gives the objectives that the timeouts are derived from
 * @begun: the response head was sent to the caller
 * @left_ms: time remaining until the final response
 * @detect_inactivity: run the timer; otherwise only the activity is recorded
 * @may_move: whether another worker could serve the request now
 * @timed_out: called once when the worker was inactive for too long
 */
struct mq_inactivity_options
{
  struct mq_fleet *fleet;
  uint32_t worker;
  const struct mq_path_route *route;
  bool begun;
  uint32_t left_ms;
  bool detect_inactivity;
  bool (*may_move) (void *user);
  void (*timed_out) (void *user);
  void *user;
};

struct mq_inactivity *
mq_inactivity_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                      const struct mq_inactivity_options *options);
/* INACTIVITY may be NULL.  */
void mq_inactivity_destroy (struct mq_inactivity *inactivity);
/* Records that the worker sent bytes.  */
void mq_inactivity_reset (struct mq_inactivity *inactivity);
/* Notes that the response head was sent to the caller.  */
void mq_inactivity_response_begun (struct mq_inactivity *inactivity);
/* Time since the worker last sent anything for this request, milliseconds.  */
uint64_t mq_inactivity_ms (const struct mq_inactivity *inactivity);

#endif
