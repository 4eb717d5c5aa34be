/* router_try.h - one try to have a request served by one worker.

   Takes a connection, sends the message, takes in the answer, and tells the
   list of workers what came of it.  Whether another worker is asked is decided
   above.
   Needs: router_answer.h, router_pool.h, router_send.h, attempt.h.  */

#ifndef MQ_ROUTER_TRY_H
#define MQ_ROUTER_TRY_H

#include "core/router/attempt.h"
#include "core/router/fleet.h"
#include "router_answer.h"
#include "router_pool.h"
#include "router_send.h"
#include <tevent.h>

struct mq_try;

/**
 * struct mq_try_options - what is tried, and who hears of it
 * @worker: who is asked
 * @id: of the request; an answer must repeat it
 * @send: the message
 * @body: its body
 * @answer: filled as the answer comes, below @answer_ctx
 * @repeatable: the request may run more than once
 * @begun: the caller has got the beginning of an answer
 * @watched: a silent worker is to be left
 * @events: whole events may be taken from @answer
 * @ended: called once, the try is then gone; not after mq_try_stop
 */
struct mq_try_options
{
  struct tevent_context *ev;
  struct mq_fleet *fleet;
  struct mq_pool *pool;
  uint32_t worker;
  const char *id;
  struct mq_send send;
  struct mq_bytes body;
  struct mq_answer *answer;
  TALLOC_CTX *answer_ctx;
  bool repeatable;
  bool begun;
  bool detect_inactivity;
  void (*events) (void *user);
  void (*ended) (enum mq_attempt_end end, void *user);
  void *user;
};

/* NULL when the worker can't be reached; ENDED is not called then.  */
struct mq_try *mq_try_begin (TALLOC_CTX *ctx,
                             const struct mq_try_options *options);
/* Gives the try up; the worker is told nothing, its list OUTCOME.  NULL is
   allowed.  */
void mq_try_stop (struct mq_try *try, enum mq_fleet_outcome outcome);
/* Some bytes of the request were given to the network.  */
bool mq_try_sent (const struct mq_try *try);
/* The caller has got the beginning of the answer.  */
void mq_try_response_begun (struct mq_try *try);
/* Stops and starts taking in the answer.  */
void mq_try_set_reading (struct mq_try *try, bool on);
/* How long the worker has said nothing to this request, milliseconds.  */
uint64_t mq_try_inactive_ms (const struct mq_try *try);

#endif
