/* action.h - actions returned by the core's state machines.

   Each state machine (owner, gate, front, spread) takes one input with the
   current time and appends actions to a list.  The caller runs them in order
   and frees the list, which owns the memory of its actions.
   Needs: message.h, store.h.  */

#ifndef MQ_ACTION_H
#define MQ_ACTION_H

#include "message.h"
#include "store.h"

/* Peer handles are assigned by the caller; 0 is this process.  */
#define MQ_PEER_SELF 0U

enum mq_action_type
{
  MQ_ACT_SEND,  /* message to a peer */
  MQ_ACT_STORE, /* request to the platform */
  MQ_ACT_EVENT, /* event for a caller here or at a peer */
  MQ_ACT_START, /* gate: start a call at a worker */
  MQ_ACT_STOP,  /* gate: cancel a call at a worker */
  MQ_ACT_EVICT, /* gate: evict a program's cache at a worker */
  MQ_ACT_ORDER, /* gate: order to a worker */
  MQ_ACT_SPAN,  /* tracing span */
  MQ_ACT_STATE  /* state change to be logged */
};

/**
 * struct mq_start - a call dispatched by the gate to its target
 * @slot: handle of the call in the gate, returned in worker events
 * @worker: index of the worker
 * @route: empty if the service has no routes
 * @max_tokens: limit on generated tokens
 * @timeout_ms: 0 if none
 * @idempotency_key: sent if the target supports one
 * @traceparent: W3C trace context
 * @body: JSON
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
 * struct mq_span - a tracing span
 * @name: "queue", "target", "commit", "owner", …
 * @traceparent: W3C trace context
 * @call: 0 if none
 * @start_us: on this process's clock
 * @end_us: on this process's clock
 * @error: MQ_ERR_NONE on success
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
  struct mq_action *items; /* talloc array */
  size_t count;
  size_t room;
};

struct mq_actions *mq_actions_create (TALLOC_CTX *ctx);
/* Appends a zeroed action and returns it.  Its strings must be allocated
   below ACTIONS.  Aborts when out of memory.  */
struct mq_action *mq_actions_add (struct mq_actions *actions,
                                  enum mq_action_type type);
/* Appends a SEND with a deep copy of MESSAGE.  */
void mq_actions_send (struct mq_actions *actions, uint32_t peer,
                      const struct mq_message *message);
/* Deep copy of FROM; strings and arrays are allocated below CTX.  */
void mq_message_copy (TALLOC_CTX *ctx, struct mq_message *to,
                      const struct mq_message *from);
void mq_request_copy (TALLOC_CTX *ctx, struct mq_request_msg *to,
                      const struct mq_request_msg *from);
void mq_actions_clear (struct mq_actions *actions);

#endif
