/* message.h - messages between the system's processes.

   A tagged union in plain C; src/net/codec.h turns it into protobuf frames
   and back.  Strings and arrays of a received message are owned by the
   talloc context given to the decoder; those of a message to be sent are
   borrowed until the send function returns.
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
  MQ_MSG_CANCEL,  /* stop one attempt, it need not finish */
  MQ_MSG_SEAL,    /* settle a call: outcome, running, or refused for good */
  MQ_MSG_RECOVER, /* a new owner: raise the fence, report what is kept */
  MQ_MSG_FORGET,  /* the outcome is durable */
  MQ_MSG_LEASE,   /* renew, pause or end a program's cache */
  MQ_MSG_ORDER,   /* an order to an engine */
  MQ_MSG_PROBE,   /* which of these prefixes are cached */
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
  MQ_MSG_FORWARD,       /* a caller's request for the partition's owner */
  MQ_MSG_FORWARD_EVENT, /* one event of its answer */
  MQ_MSG_FORWARD_CLOSE, /* the caller went away */
  MQ_MSG_HANDOVER,      /* a leaving owner released these partitions */
  /* anyone <-> anyone */
  MQ_MSG_CONFIG_HAVE, /* the version in force at the sender */
  MQ_MSG_CONFIG_GET,
  MQ_MSG_CONFIG_TEXT,
  MQ_MSG_TYPE_COUNT
};

/**
 * struct mq_call_msg - run one attempt of a call
 * @ref: which attempt
 * @partition: partition of the program
 * @fence: the sender's fencing number for that partition
 * @boot: boot id that the gate must have, 0 when any will do (idempotent)
 * @service: service that is called
 * @route: route of a plain service, empty otherwise
 * @organisation: who is charged, for fairness
 * @worker: index of the worker on the gate's host
 * @idempotent: false when the call must run at most once
 * @priority: priority class
 * @deadline_ms: time left when sent, 0 when none
 * @max_tokens: most tokens that the call may generate
 * @attained: tokens that the whole program was served so far
 * @continuing: the program has run before
 * @follow_up: the call follows a person's further turn
 * @prefix_tokens: tokens of history that were sent to this worker before
 * @shared_prefix: hash of the part of the prompt common to the service
 * @traceparent: W3C trace context
 * @body: JSON body for the target
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

/* Names a call of a partition: CANCEL, SEAL, FORGET.  */
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
  MQ_LEASE_ACTIVE, /* a call runs or follows at once */
  MQ_LEASE_PAUSED, /* a tool or a person is awaited */
  MQ_LEASE_ENDED   /* evict now and confirm */
};

/**
 * struct mq_lease_msg - what becomes of a program's cache
 * @program: the program
 * @partition: its partition
 * @fence: the sender's fencing number
 * @state: active, paused or ended
 * @lease_ms: without a renewal in this time the gate evicts
 * @pause_ms: expected length of the pause, 0 when unknown
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
  uint64_t fence; /* fencing number of the order's log */
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
  uint32_t program_tokens; /* cached tokens of the program, 0: none */
  uint32_t shared_tokens;  /* cached tokens of the shared prefix */
};

struct mq_token_msg
{
  struct mq_call_ref ref;
  uint32_t partition;
  uint64_t fence;
  uint32_t index; /* of the chunk in the attempt, from 0 */
  const char *text;
};

/**
 * struct mq_outcome_msg - how one attempt ended
 * @ref: which attempt
 * @partition: partition of the program
 * @fence: fence under which the call was accepted or refused
 * @boot: boot id of the gate
 * @error: MQ_ERR_NONE when the target answered
 * @ran: whether the call took effect; RAN with MQ_ERR_NONE
 * @retry_after_ms: with a refusal, when to come back
 * @body: JSON answer of the target
 * @tokens_in: prompt tokens
 * @tokens_out: generated tokens, also of a cancelled or failed stream
 * @cached_tokens: prompt tokens found in the cache
 * @queue_us: time in the gate's queue
 * @first_us: time from start to the first token, 0 when none
 * @run_us: time at the target
 * @recovered: sent in answer to RECOVER, not as the call ended
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
  MQ_SEAL_DONE,    /* an OUTCOME message precedes this one */
  MQ_SEAL_RUNNING, /* the OUTCOME follows when it ends */
  MQ_SEAL_SEALED,  /* never seen here, and refused from now on */
  MQ_SEAL_STALE    /* the gate has seen a higher fence */
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
 * struct mq_recovered_msg - end of the answer to RECOVER
 * @partition: as asked
 * @fence: highest fence seen by the gate; higher than asked: refused
 * @boot: boot id of the gate
 * @running: attempts of the partition that still run here
 * @running_count: how many
 *
 * The kept outcomes of the partition precede it as OUTCOME messages.
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

/* Load of one worker, pushed on change and on a slow beat.  */
struct mq_worker_load
{
  uint32_t worker;
  const char *service;
  const char *model;
  uint32_t slots; /* calls it runs side by side */
  uint32_t running;
  uint32_t queued;
  uint32_t cache_used;   /* tokens */
  uint32_t cache_total;  /* tokens */
  uint32_t prefill_rate; /* measured tokens a second, 0: not yet known */
  uint32_t decode_us;    /* measured time of one token, 0: not yet known */
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
  MQ_REQUEST_OPEN,   /* a new program, run by the system */
  MQ_REQUEST_CREATE, /* a new program, driven by the caller step by step */
  MQ_REQUEST_STEP,   /* one call of a program driven by the caller */
  MQ_REQUEST_TURN,   /* a person's further turn of a waiting program */
  MQ_REQUEST_GET,    /* state and answer; with stream: events after N */
  MQ_REQUEST_CLOSE,  /* end a program */
  MQ_REQUEST_CANCEL  /* end it now, its calls are cancelled */
};

/**
 * struct mq_request_msg - a caller's request, at any entry host
 * @type: what is asked
 * @program: the program; for OPEN and CREATE derived by mq_id_open
 * @organisation: who asks, authenticated by the entry host that took it
 * @service: OPEN, CREATE: the agent service; STEP: the service to call
 * @route: STEP: route of a plain service, else empty
 * @key: idempotency key, empty when none
 * @sequence: STEP: sequence number of the call from 1, 0: next
 * @continues: OPEN: program whose history carries over, 0 when none
 * @stream: tokens and steps are wanted as they come
 * @after: GET with @stream: number of the last event already received
 * @max_tokens: STEP: cap on the answer, 0: the service's own
 * @traceparent: W3C trace context
 * @body: JSON input
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
  MQ_EVENT_ACCEPTED, /* the program is durable; body: {"program": id} */
  MQ_EVENT_TOKEN,    /* provisional text of the running model call */
  MQ_EVENT_STEP,     /* a call ended; body names it */
  MQ_EVENT_RESET,    /* provisional text of the running call is void */
  MQ_EVENT_FINAL,    /* the whole answer, durable; ends the answer */
  MQ_EVENT_REFUSED   /* typed refusal; ends the answer */
};

/**
 * struct mq_event_msg - one event of the answer to a caller's request
 * @handle: handle of the request that it answers
 * @type: what happened
 * @number: number of the event in its program, rising, 0 when none
 * @call: call that it concerns, 0 when none
 * @body: text of a token; JSON of the others
 * @error: of a refusal
 * @ran: of a refusal
 * @retry_after_ms: of a refusal
 * @redirect: address of the entry host that should own the partition,
 *            with MQ_ERR_NOT_READY, else empty
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
 * @type: which member of the union holds
 * @config_version: configuration in force at the sender
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
