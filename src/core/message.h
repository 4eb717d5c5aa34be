/* message.h - messages between processes.

   src/net/codec.h encodes them as protobuf frames.  Strings and arrays of a
   received message are owned by the talloc context passed to the decoder;
   those of a sent message must stay valid until the send function returns.
   Needs: types.h, error.h.  */

#ifndef MQ_MESSAGE_H
#define MQ_MESSAGE_H

#include "error.h"
#include "types.h"

enum mq_message_type
{
  MQ_MSG_NONE,
  /* owner -> gate (targetd) */
  MQ_MSG_CALL,    /* run one attempt */
  MQ_MSG_CANCEL,  /* cancel one attempt */
  MQ_MSG_SEAL,    /* report the call, or refuse it permanently */
  MQ_MSG_RECOVER, /* new owner: raise fence, report calls */
  MQ_MSG_FORGET,  /* outcome is durable and may be dropped */
  MQ_MSG_LEASE,   /* renew, pause or end a cache lease */
  MQ_MSG_ORDER,   /* management order to an engine */
  MQ_MSG_PROBE,   /* query cached prefixes */
  /* gate -> owner */
  MQ_MSG_TOKEN,
  MQ_MSG_OUTCOME,
  MQ_MSG_SEALED,
  MQ_MSG_RECOVERED,
  MQ_MSG_EVICTED,
  MQ_MSG_LOAD,
  MQ_MSG_ORDER_DONE,
  MQ_MSG_PROBED,
  /* entry host <-> entry host */
  MQ_MSG_FORWARD,       /* caller request, to the partition owner */
  MQ_MSG_FORWARD_EVENT, /* one event of the response */
  MQ_MSG_FORWARD_CLOSE, /* the caller disconnected */
  MQ_MSG_HANDOVER,      /* partitions released at shutdown */
  /* between any two processes */
  MQ_MSG_CONFIG_HAVE, /* the sender's version */
  MQ_MSG_CONFIG_GET,
  MQ_MSG_CONFIG_TEXT,
  MQ_MSG_TYPE_COUNT
};

/**
 * struct mq_call_msg - run one attempt of a call
 * @fence: the sender's fencing token for @partition
 * @boot: required boot id of the gate; 0 accepts any (idempotent calls)
 * @route: route of a plain service, empty otherwise
 * @organisation: accounting key for fair scheduling
 * @worker: index of the worker on the gate's host
 * @idempotent: false if the call must run at most once
 * @deadline_ms: remaining time when sent, 0 if none
 * @max_tokens: limit on generated tokens
 * @attained: tokens processed for the whole program so far
 * @continuing: the program has run before
 * @follow_up: the call belongs to a further turn of the user
 * @prefix_tokens: tokens of history previously sent to this worker
 * @shared_prefix: hash of the prompt prefix common to the service
 * @traceparent: W3C trace context
 * @body: JSON
 */
struct mq_call_msg
{
  struct mq_call_ref ref;
  uint32_t partition;
  uint64_t fence;
  uint64_t boot;
  const char *service;
  const char *route;
  const char *organisation;
  uint32_t worker;
  bool idempotent;
  enum mq_priority priority;
  uint32_t deadline_ms;
  uint32_t max_tokens;
  uint64_t attained;
  bool continuing;
  bool follow_up;
  uint32_t prefix_tokens;
  uint64_t shared_prefix;
  const char *traceparent;
  const char *body;
};

/* Payload of CANCEL, SEAL and FORGET.  */
struct mq_ref_msg
{
  struct mq_call_ref ref;
  uint32_t partition;
  uint64_t fence;
};

struct mq_recover_msg
{
  uint32_t partition;
  uint64_t fence;
};

enum mq_lease_state
{
  MQ_LEASE_ACTIVE, /* a call runs or is about to */
  MQ_LEASE_PAUSED, /* waiting for a tool or a person */
  MQ_LEASE_ENDED   /* evict and confirm */
};

/**
 * struct mq_lease_msg - cache lease of a program
 * @fence: the sender's fencing token for @partition
 * @lease_ms: the gate evicts the cache if not renewed within this time
 * @pause_ms: expected length of the pause, 0 if unknown
 */
struct mq_lease_msg
{
  struct mq_id program;
  uint32_t partition;
  uint64_t fence;
  enum mq_lease_state state;
  uint32_t lease_ms;
  uint32_t pause_ms;
};

enum mq_order_type
{
  MQ_ORDER_LOAD_MODEL,
  MQ_ORDER_LOAD_ADAPTER,
  MQ_ORDER_SET_VERSION,
  MQ_ORDER_SET_ROLE
};

struct mq_order_msg
{
  uint64_t order; /* order id, chosen by the sender */
  uint64_t fence; /* fencing token of the order log */
  uint32_t worker;
  enum mq_order_type type;
  const char *argument;
};

struct mq_order_done_msg
{
  uint64_t order;
  enum mq_error_type error;
};

struct mq_probe_msg
{
  uint64_t probe;
  uint64_t shared_prefix;
  struct mq_id program;
};

struct mq_probed_msg
{
  uint64_t probe;
  uint32_t worker;
  uint32_t program_tokens; /* cached tokens of the program */
  uint32_t shared_tokens;  /* cached tokens of the shared prefix */
};

struct mq_token_msg
{
  struct mq_call_ref ref;
  uint32_t partition;
  uint64_t fence;
  uint32_t index; /* chunk number within the attempt, from 0 */
  const char *text;
};

/**
 * struct mq_outcome_msg - result of one attempt
 * @fence: fencing token under which the call was accepted or refused
 * @boot: boot id of the gate
 * @error: MQ_ERR_NONE if the target responded
 * @ran: whether the call took effect; MQ_RAN_RAN with MQ_ERR_NONE
 * @retry_after_ms: delay before a retry of a refused call
 * @body: JSON response of the target
 * @tokens_in: prompt tokens
 * @tokens_out: generated tokens, also of a cancelled or failed stream
 * @cached_tokens: prompt tokens served from the cache
 * @queue_us: time in the gate's queue
 * @first_us: time to first token, 0 if none
 * @run_us: time at the target
 * @recovered: sent in reply to RECOVER, not when the call ended
 */
struct mq_outcome_msg
{
  struct mq_call_ref ref;
  uint32_t partition;
  uint64_t fence;
  uint64_t boot;
  enum mq_error_type error;
  enum mq_ran ran;
  uint32_t retry_after_ms;
  const char *body;
  uint32_t tokens_in;
  uint32_t tokens_out;
  uint32_t cached_tokens;
  uint64_t queue_us;
  uint64_t first_us;
  uint64_t run_us;
  bool recovered;
};

enum mq_seal_status
{
  MQ_SEAL_DONE,    /* the OUTCOME was sent before this */
  MQ_SEAL_RUNNING, /* the OUTCOME follows at the end */
  MQ_SEAL_SEALED,  /* unknown here; refused from now on */
  MQ_SEAL_STALE    /* the gate has a higher fencing token */
};

struct mq_sealed_msg
{
  struct mq_call_ref ref; /* attempt as in SEAL */
  uint32_t partition;
  uint64_t fence;
  uint64_t boot;
  enum mq_seal_status answer;
};

/**
 * struct mq_recovered_msg - last message of the reply to RECOVER
 * @fence: highest fencing token known to the gate; RECOVER is refused if it
 *         is higher than the requested one
 * @boot: boot id of the gate
 * @running: attempts of the partition that are still running
 *
 * Retained outcomes of the partition are sent before it as OUTCOME messages.
 */
struct mq_recovered_msg
{
  uint32_t partition;
  uint64_t fence;
  uint64_t boot;
  struct mq_call_ref *running;
  size_t running_count;
};

struct mq_evicted_msg
{
  struct mq_id program;
};

/* Load of one worker, sent on change and periodically.  */
struct mq_worker_load
{
  uint32_t worker;
  const char *service;
  const char *model;
  uint32_t slots; /* concurrent calls */
  uint32_t running;
  uint32_t queued;
  uint32_t cache_used;   /* tokens */
  uint32_t cache_total;  /* tokens */
  uint32_t prefill_rate; /* tokens per second, 0 if unknown */
  uint32_t decode_us;    /* time per token, 0 if unknown */
};

struct mq_load_msg
{
  uint64_t boot;
  bool leaving;
  struct mq_worker_load *workers;
  size_t worker_count;
};

enum mq_request_type
{
  MQ_REQUEST_OPEN,   /* new program, executed by the system */
  MQ_REQUEST_CREATE, /* new program, driven by the caller */
  MQ_REQUEST_STEP,   /* one call of a program driven by the caller */
  MQ_REQUEST_TURN,   /* next user turn of a waiting program */
  MQ_REQUEST_GET,    /* state and answer, or stream of events */
  MQ_REQUEST_CLOSE,  /* end a program */
  MQ_REQUEST_CANCEL  /* end a program and cancel its calls */
};

/**
 * struct mq_request_msg - a caller's request
 * @program: for OPEN and CREATE derived by mq_id_open
 * @organisation: authenticated by the entry host that received the request
 * @service: OPEN, CREATE: the agent service; STEP: the service to call
 * @route: STEP: route of a plain service, else empty
 * @key: idempotency key, empty if none
 * @sequence: STEP: sequence number of the call from 1; 0 for the next
 * @continues: OPEN: program whose history is continued, 0 if none
 * @stream: send tokens and steps as they occur
 * @after: GET with @stream: number of the last event already received
 * @max_tokens: STEP: limit on generated tokens, 0 for the service's limit
 * @traceparent: W3C trace context
 * @body: JSON
 */
struct mq_request_msg
{
  enum mq_request_type type;
  struct mq_id program;
  const char *organisation;
  const char *service;
  const char *route;
  const char *key;
  uint32_t sequence;
  struct mq_id continues;
  bool stream;
  uint32_t after;
  uint32_t max_tokens;
  const char *traceparent;
  const char *body;
};

struct mq_forward_msg
{
  uint64_t handle; /* chosen by the forwarding host */
  struct mq_request_msg request;
};

enum mq_event_type
{
  MQ_EVENT_ACCEPTED, /* program is durable; body: {"program": id} */
  MQ_EVENT_TOKEN,    /* provisional text of the running model call */
  MQ_EVENT_STEP,     /* a call ended; body describes it */
  MQ_EVENT_RESET,    /* discard text of the running call */
  MQ_EVENT_FINAL,    /* complete durable answer; last event */
  MQ_EVENT_REFUSED   /* error; last event */
};

/**
 * struct mq_event_msg - one event of the response to a caller's request
 * @handle: handle of the request
 * @number: increasing event number within the program, 0 if none
 * @call: sequence number of the call concerned, 0 if none
 * @body: plain text for MQ_EVENT_TOKEN, otherwise JSON
 * @error: MQ_EVENT_REFUSED only
 * @ran: MQ_EVENT_REFUSED only
 * @retry_after_ms: MQ_EVENT_REFUSED only
 * @redirect: with MQ_ERR_NOT_READY, address of the entry host that should own
 *            the partition; else empty
 */
struct mq_event_msg
{
  uint64_t handle;
  enum mq_event_type type;
  uint32_t number;
  uint32_t call;
  const char *body;
  enum mq_error_type error;
  enum mq_ran ran;
  uint32_t retry_after_ms;
  const char *redirect;
};

struct mq_forward_close_msg
{
  uint64_t handle;
};

struct mq_handover_msg
{
  uint32_t *partitions;
  size_t partition_count;
};

struct mq_config_msg
{
  uint64_t version;
  const char *text; /* CONFIG_TEXT only */
};

/**
 * struct mq_message - one message between two processes
 * @type: selects the member of the union
 * @config_version: configuration version of the sender
 */
struct mq_message
{
  enum mq_message_type type;
  uint64_t config_version;
  union
  {
    struct mq_call_msg call;
    struct mq_ref_msg ref; /* CANCEL, SEAL, FORGET */
    struct mq_recover_msg recover;
    struct mq_lease_msg lease;
    struct mq_order_msg order;
    struct mq_order_done_msg order_done;
    struct mq_probe_msg probe;
    struct mq_probed_msg probed;
    struct mq_token_msg token;
    struct mq_outcome_msg outcome;
    struct mq_sealed_msg sealed;
    struct mq_recovered_msg recovered;
    struct mq_evicted_msg evicted;
    struct mq_load_msg load;
    struct mq_forward_msg forward;
    struct mq_event_msg event;
    struct mq_forward_close_msg forward_close;
    struct mq_handover_msg handover;
    struct mq_config_msg config; /* CONFIG_HAVE, _GET, _TEXT */
  } u;
};

const char *mq_message_name (enum mq_message_type type);

#endif
