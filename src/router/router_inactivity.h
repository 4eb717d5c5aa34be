/* router_silence.h - notices a worker that has gone without a word.

   A worker that gives nothing for a multiple of what the route aims at has
   most likely gone; a request that may be repeated is then better off at
   another one.
   Needs: fleet.h, tevent.  */

#ifndef MQ_ROUTER_SILENCE_H
#define MQ_ROUTER_SILENCE_H

#include "core/router/fleet.h"
#include "core/router/route.h"
#include <tevent.h>

struct mq_inactivity;

/**
 * struct mq_inactivity_options - whose silence, and how much of it
 * @fleet: knows when the worker was last heard by any request
 * @worker: the one that is asked
 * @route: what the route aims at
 * @begun: the caller has got the beginning of an answer
 * @patience_ms: time until the final answer
 * @watched: @gone is wanted
 * @gone: called once when the worker has been silent for too long
 */
struct mq_inactivity_options
{
  struct mq_fleet *fleet;
  uint32_t worker;
  const struct mq_path_route *route;
  bool begun;
  uint32_t left_ms;
  bool detect_inactivity;
  void (*timed_out) (void *user);
  void *user;
};

struct mq_inactivity *
mq_inactivity_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                      const struct mq_inactivity_options *options);
/* NULL is allowed.  */
void mq_inactivity_destroy (struct mq_inactivity *silence);
/* Bytes came from the worker.  */
void mq_inactivity_reset (struct mq_inactivity *silence);
/* The caller has got the beginning of the answer.  */
void mq_inactivity_response_begun (struct mq_inactivity *silence);
/* How long the worker has said nothing to this request, milliseconds.  */
uint64_t mq_inactivity_ms (const struct mq_inactivity *silence);

#endif
