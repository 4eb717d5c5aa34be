/* front.h - callers' requests on their way to the partition's owner.

   Every entry host runs one beside its owner.  It keeps each caller's
   request until its answer has ended, sends it to whoever owns the
   partition now, and after a lost connection, a redirect or a new owner
   sends it again: opens with the same derived id, others as they were.
   A caller is re-attached, not failed.  Pure, like owner.h.
   Needs: action.h, message.h.  */

#ifndef MQ_FRONT_H
#define MQ_FRONT_H

#include "../action.h"

struct mq_front;

enum mq_front_input_type
{
  MQ_FRONT_TICK,
  MQ_FRONT_REQUEST, /* from a caller of this host */
  MQ_FRONT_EVENT,   /* from the owner here or at a peer */
  MQ_FRONT_PEER_UP,
  MQ_FRONT_PEER_DOWN,
  MQ_FRONT_CALLER_GONE
};

/**
 * struct mq_front_input - one thing that happened
 * @handle: REQUEST, CALLER_GONE: the caller's handle at this host
 * @deadline_us: REQUEST: when the caller's request is given up, 0: never
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

/* Where the front looks up owners: address of the owner of a partition,
   empty for this process, NULL when unknown.  */
struct mq_front_lookup
{
  const char *(*owner_address) (const void *data, uint32_t partition);
  const void *data;
};

struct mq_front *mq_front_create (TALLOC_CTX *ctx,
                                  const struct mq_front_lookup *lookup,
                                  uint64_t seed);
void mq_front_destroy (struct mq_front *front);
/* Actions: SEND of FORWARD and FORWARD_CLOSE to peers; EVENT with peer
   MQ_PEER_SELF to the caller; SEND of FORWARD or FORWARD_CLOSE to
   MQ_PEER_SELF is for the owner in this process.  */
void mq_front_handle (struct mq_front *front,
                      const struct mq_front_input *input,
                      struct mq_actions *actions);
uint64_t mq_front_next_tick (const struct mq_front *front);
size_t mq_front_count (const struct mq_front *front);

/* Counters, one name each, read by the daemon.  */
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
