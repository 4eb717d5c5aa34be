/* router_try.h - one attempt to have a request served by one worker.

   Takes a connection from the pool, sends the request, receives the response
   and reports the outcome to the fleet.  The caller of this module decides
   about retries.
   Needs: router_response.h, router_pool.h, router_send.h, attempt.h.  */

#ifndef MQ_ROUTER_TRY_H
#define MQ_ROUTER_TRY_H

#include "core/router/attempt.h"
#include "core/router/fleet.h"
#include "router_response.h"
#include "router_pool.h"
#include "router_send.h"
#include <tevent.h>

struct mq_try;

/**
 * struct mq_try_options - parameters and callbacks of an attempt
 * @id: request id, which the response must repeat
 * @send: head of the message sent to @worker
 * @answer: filled as the response arrives; its memory belongs to @answer_ctx
 * @repeatable: the request may run more than once
 * @begun: the response head was already sent to the caller
 * @detect_inactivity: give up a worker that is inactive for too long
 * @may_move: whether another worker could serve the request now; an inactive
 *            worker is not given up before
 * @may_buffer: whether the body of a plain answer may grow to LEN bytes
 * @complete: called when the response is complete, while the worker is held
 * @events: called when complete events can be taken from @answer
 * @ended: called once, after the attempt was freed; not called after
 *         mq_try_stop
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
  struct mq_response *answer;
  TALLOC_CTX *answer_ctx;
  bool repeatable;
  bool begun;
  bool detect_inactivity;
  bool (*may_move) (void *user);
  bool (*may_buffer) (size_t len, void *user);
  void (*complete) (void *user);
  void (*events) (void *user);
  void (*ended) (enum mq_attempt_end end, void *user);
  void *user;
};

/* Returns NULL with ERROR set if no connection can be opened; ENDED is not
   called then.  An error of this host, for which mq_socket_shortage is true,
   does not count against the worker.  */
struct mq_try *mq_try_begin (TALLOC_CTX *ctx,
                             const struct mq_try_options *options,
                             struct mq_error *error);
/* Cancels the attempt and reports OUTCOME to the fleet.  TRY may be NULL.  */
void mq_try_stop (struct mq_try *try, enum mq_fleet_outcome outcome);
/* Whether any byte of the request was sent.  */
bool mq_try_sent (const struct mq_try *try);
/* Notes that the response head was sent to the caller.  */
void mq_try_response_begun (struct mq_try *try);
/* Pauses or resumes reading the response.  */
void mq_try_set_reading (struct mq_try *try, bool on);
/* Time since the worker last sent anything for this request, milliseconds.  */
uint64_t mq_try_inactive_ms (const struct mq_try *try);

#endif
