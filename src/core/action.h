/* action.h - what a core machine asks the outside to do.

   Every machine of the core (owner, gate, front, spread) takes one input
   with the time and appends actions to a list; the caller carries them out
   in order and frees the list.  Actions own their memory.
   Needs: message.h, store.h.  */

#ifndef MQ_ACTION_H
#define MQ_ACTION_H

#include "message.h"
#include "store.h"

/* Peers are small handles given out by the caller; 0 is this process.  */
#define MQ_PEER_SELF 0U

enum mq_action_type
{
  MQ_ACT_SEND,  /* message to a peer */
  MQ_ACT_STORE, /* request to the platform */
  MQ_ACT_EVENT, /* event for a caller of this host, or of the peer */
  MQ_ACT_START, /* gate: start a call at a worker */
  MQ_ACT_STOP,  /* gate: cancel a call at a worker */
  MQ_ACT_EVICT, /* gate: evict a program's cache at a worker */
  MQ_ACT_ORDER, /* gate: order to a worker */
  MQ_ACT_SPAN,  /* a hop ended */
  MQ_ACT_STATE  /* a change of state worth a log line */
};

/**
 * struct mq_start - a call that the gate lets through to its target
 * @slot: handle of the call in the gate, given back in worker events
 * @worker: index of the worker
 * @ref: which attempt
 * @service: service called
 * @route: route or empty
 * @priority: priority class for the engine
 * @max_tokens: cap for the engine
 * @timeout_ms: give up after this time, 0 when none
 * @idempotency_key: sent along where the target honours one
 * @traceparent: W3C trace context
 * @body: JSON body
 */
struct mq_start
{
  uint32_t slot;
  uint32_t worker;
  struct mq_call_ref ref;
  const char *service;
  const char *route;
  enum mq_priority priority;
  uint32_t max_tokens;
  uint32_t timeout_ms;
  const char *idempotency_key;
  const char *traceparent;
  const char *body;
};

struct mq_evict
{
  uint32_t worker;
  struct mq_id program;
};

/**
 * struct mq_span - one hop of a call's path
 * @name: "queue", "target", "commit", "owner", …
 * @traceparent: trace it belongs to
 * @program: program it concerns
 * @call: call it concerns, 0 when none
 * @start_us: on this process's clock
 * @end_us: on this process's clock
 * @error: how the hop ended
 */
struct mq_span
{
  const char *name;
  const char *traceparent;
  struct mq_id program;
  uint32_t call;
  uint64_t start_us;
  uint64_t end_us;
  enum mq_error_type error;
};

enum mq_state_change
{
  MQ_STATE_PARTITION_OWNED,
  MQ_STATE_PARTITION_LOST,
  MQ_STATE_PARTITION_RELEASED,
  MQ_STATE_STORE_DOWN,
  MQ_STATE_STORE_UP,
  MQ_STATE_PEER_UP,
  MQ_STATE_PEER_DOWN,
  MQ_STATE_PEER_TIMED_OUT,
  MQ_STATE_LEAVING,
  MQ_STATE_DRAINED,
  MQ_STATE_CONFIG,
  MQ_STATE_UNKNOWN_CALL,
  MQ_STATE_LOOP_SUSPECTED,
  MQ_STATE_EVICT_RETRY,
  MQ_STATE_ORDER
};

struct mq_state_line
{
  enum mq_state_change change;
  uint64_t number;     /* partition, version, peer, … */
  const char *subject; /* host, program id, …; may be empty */
};

struct mq_action
{
  enum mq_action_type type;
  uint32_t peer; /* SEND; EVENT: MQ_PEER_SELF or the forwarding peer */
  union
  {
    struct mq_message message;
    struct mq_store_request store;
    struct mq_event_msg event;
    struct mq_start start;
    struct mq_start stop;
    struct mq_evict evict;
    struct mq_order_msg order;
    struct mq_span span;
    struct mq_state_line state;
  } u;
};

struct mq_actions
{
  struct mq_action *items; /* talloc array; strings hang below it */
  size_t count;
  size_t room;
};

struct mq_actions *mq_actions_create (TALLOC_CTX *ctx);
/* Appends a zeroed action and returns it; its strings are to be allocated
   below ACTIONS.  Aborts the process when memory is out.  */
struct mq_action *mq_actions_add (struct mq_actions *actions,
                                  enum mq_action_type type);
/* Appends a SEND with a deep copy of MESSAGE.  */
void mq_actions_send (struct mq_actions *actions, uint32_t peer,
                      const struct mq_message *message);
/* Deep copy of MESSAGE below CTX.  */
void mq_message_copy (TALLOC_CTX *ctx, struct mq_message *to,
                      const struct mq_message *from);
void mq_request_copy (TALLOC_CTX *ctx, struct mq_request_msg *to,
                      const struct mq_request_msg *from);
void mq_actions_clear (struct mq_actions *actions);

#endif
