/* front.h - forwards callers' requests to the owner of their partition.

   Every entry host runs one.  It keeps each request until the caller has the
   final answer, sends it to the current owner of the partition and resends
   it after a lost connection, a redirect or a change of owner.  Owners treat
   a resent request as a repeat.  It does no I/O and reads no clock, like
   owner.h.
   Needs: action.h, message.h.  */

#ifndef MQ_FRONT_H
#define MQ_FRONT_H

#include "../action.h"

struct mq_front;

enum mq_front_input_type
{
  MQ_FRONT_TICK,
  MQ_FRONT_REQUEST, /* from a caller at this host */
  MQ_FRONT_EVENT,   /* from the local owner or one at a peer */
  MQ_FRONT_PEER_UP,
  MQ_FRONT_PEER_DOWN,
  MQ_FRONT_CALLER_GONE,
  MQ_FRONT_STOP /* refuses all requests: the process ends */
};

/**
 * struct mq_front_input - one input event
 * @now_us: monotonic clock of this process
 * @peer: PEER_UP, PEER_DOWN, EVENT: connection, MQ_PEER_SELF: local owner
 * @handle: REQUEST, CALLER_GONE: id of the caller, unique at this host
 * @deadline_us: REQUEST: when the request times out, 0: never
 * @partition: REQUEST: partition of its program
 */
struct mq_front_input
{
  enum mq_front_input_type type;
  uint64_t now_us;
  uint32_t peer;
  uint64_t handle;
  uint64_t deadline_us;
  uint32_t partition;
  union
  {
    const struct mq_request_msg *request;
    const struct mq_event_msg *event;
    const char *address; /* PEER_UP: address of the peer */
  } u;
};

/* Finds the address of a partition's owner: empty for this process, NULL when
   unknown.  */
struct mq_front_lookup
{
  const char *(*owner_address) (const void *data, uint32_t partition);
  const void *data;
};

struct mq_front *mq_front_create (TALLOC_CTX *ctx,
                                  const struct mq_front_lookup *lookup,
                                  uint64_t seed);
void mq_front_destroy (struct mq_front *front);
/* Actions: SEND of FORWARD or FORWARD_CLOSE to an owner, at MQ_PEER_SELF for
   the owner in this process; EVENT at MQ_PEER_SELF to the caller.  */
void mq_front_handle (struct mq_front *front,
                      const struct mq_front_input *input,
                      struct mq_actions *actions);
/* Time at which the next TICK is due, microseconds.  */
uint64_t mq_front_next_tick (const struct mq_front *front);
/* Requests that have not ended.  */
size_t mq_front_count (const struct mq_front *front);

/* Counters: field and help text of the metric.  */
#define MQ_FRONT_COUNTER_LIST(X)                                              \
  X (requests, "callers' requests taken")                                     \
  X (finals, "final answers given to callers")                                \
  X (refusals, "typed refusals given to callers")                             \
  X (timeouts, "requests given up at their deadline")                         \
  X (callers_gone, "callers that left before their answer ended")             \
  X (forwards, "requests sent to an owner")                                   \
  X (resends, "of these, requests that had been sent before")                 \
  X (redirects, "refusals of an owner that another one can mend")             \
  X (moves, "requests that followed a change of the owners' map")             \
  X (waits, "times that no owner was known or connected")                     \
  X (resets, "streams whose provisional text was declared void")              \
  X (events_doubled, "events dropped as the caller had them already")         \
  X (events_partial,                                                          \
     "tokens left out as the beginning of the call is missing")               \
  X (events_foreign,                                                          \
     "events dropped: of a former owner, or of an ended request")

struct mq_front_counters
{
#define MQ_COUNTER_FIELD(name, help) uint64_t name;
  MQ_FRONT_COUNTER_LIST (MQ_COUNTER_FIELD)
#undef MQ_COUNTER_FIELD
};

const struct mq_front_counters *
mq_front_read_counters (const struct mq_front *front);

#endif
