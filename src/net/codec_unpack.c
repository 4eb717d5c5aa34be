/* codec_unpack.c - decodes protobuf into struct mq_message.

   All memory is owned by the message and limited in size; the strings of the
   message are those that protobuf-c decoded. codec_pack.c checks that the
   enumerations match the wire format.
   Needs: protobuf-c, proto/peer.pb-c.h, codec.h.  */

#include "../../proto/peer.pb-c.h"
#include "core/limits.h"
#include "codec.h"
#include <string.h>

enum
{
  LEASE_STATE_COUNT = MQ_LEASE_ENDED + 1,
  ORDER_TYPE_COUNT = MQ_ORDER_SET_ROLE + 1,
  SEAL_ANSWER_COUNT = MQ_SEAL_STALE + 1,
  RAN_COUNT = MQ_RAN_UNKNOWN + 1,
  REQUEST_TYPE_COUNT = MQ_REQUEST_CANCEL + 1,
  EVENT_TYPE_COUNT = MQ_EVENT_REFUSED + 1
};

/* Memory limit of one frame.  A frame of many empty items takes many times its
   encoded size when decoded; the limit keeps a faulty peer from exhausting the
   host's memory.  Allocations beyond it fail, and the frame is rejected.  */
struct frame_memory
{
  TALLOC_CTX *ctx;
  size_t left;
};

enum
{
  ALLOCATION_BYTES = 96, /* talloc's overhead per allocation */
  MEMORY_BASE_BYTES = 64 << 10,
  MEMORY_PER_BYTE = 16,
  POOL_BASE_BYTES = 1024,
  POOL_MOST_BYTES = 16 << 10,
  POOL_OBJECTS = 16
};

static void *
allocate_memory (void *data, size_t size)
{
  struct frame_memory *memory = data;
  size_t charge = size + ALLOCATION_BYTES;

  if (charge > memory->left)
    return NULL;
  memory->left -= charge;
  return talloc_size (memory->ctx, size);
}

static void
free_memory (void *data, void *pointer)
{
  (void)data;
  talloc_free (pointer);
}

static size_t
bound_memory (size_t len)
{
  size_t bound = MEMORY_BASE_BYTES + MEMORY_PER_BYTE * len;

  return bound < MQ_FRAME_MEMORY_BYTES ? bound : MQ_FRAME_MEMORY_BYTES;
}

/* Uses a memory pool, since the strings of a message are small and many.  */
static struct mq_message *
create_message (TALLOC_CTX *ctx, size_t len)
{
  size_t pool = POOL_BASE_BYTES + 2 * len;
  struct mq_message *message;

  if (pool > POOL_MOST_BYTES)
    pool = POOL_MOST_BYTES;
  message = talloc_pooled_object (ctx, struct mq_message, POOL_OBJECTS, pool);
  if (message != NULL)
    memset (message, 0, sizeof *message);
  return message;
}

static bool
in_range (int value, int count)
{
  return value >= 0 && value < count;
}

/* Rejects unknown error names: decoded as NONE, a failure would look like a
   success.  */
static bool
read_error (enum mq_error_type *to, const char *name)
{
  *to = MQ_ERR_NONE;
  if (name[0] == '\0')
    return true;
  *to = mq_error_from_name (name);
  return *to != MQ_ERR_NONE;
}

static bool
read_ref (struct mq_call_ref *to, const Mq__CallRef *from)
{
  if (from == NULL)
    return false;
  to->program.hi = from->program_hi;
  to->program.lo = from->program_lo;
  to->call = from->call;
  to->attempt = from->attempt;
  return true;
}

static bool
read_call (struct mq_call_msg *to, const Mq__Call *from)
{
  to->partition = from->partition;
  to->fence = from->fence;
  to->boot = from->boot;
  to->service = from->service;
  to->route = from->route;
  to->organisation = from->organisation;
  to->worker = from->worker;
  to->idempotent = from->idempotent;
  to->priority = (enum mq_priority)from->priority;
  to->deadline_ms = from->deadline_ms;
  to->max_tokens = from->max_tokens;
  to->attained = from->attained;
  to->continuing = from->continuing;
  to->follow_up = from->follow_up;
  to->prefix_tokens = from->prefix_tokens;
  to->shared_prefix = from->shared_prefix;
  to->traceparent = from->traceparent;
  to->body = from->body;
  return read_ref (&to->ref, from->ref)
         && in_range (from->priority, MQ_PRIORITY_COUNT);
}

static bool
read_named (struct mq_ref_msg *to, const Mq__Ref *from)
{
  to->partition = from->partition;
  to->fence = from->fence;
  return read_ref (&to->ref, from->ref);
}

static bool
read_recover (struct mq_recover_msg *to, const Mq__Recover *from)
{
  to->partition = from->partition;
  to->fence = from->fence;
  return true;
}

static bool
read_lease (struct mq_lease_msg *to, const Mq__Lease *from)
{
  to->program.hi = from->program_hi;
  to->program.lo = from->program_lo;
  to->partition = from->partition;
  to->fence = from->fence;
  to->state = (enum mq_lease_state)from->state;
  to->lease_ms = from->lease_ms;
  to->pause_ms = from->pause_ms;
  return in_range (from->state, LEASE_STATE_COUNT);
}

static bool
read_order (struct mq_order_msg *to, const Mq__Order *from)
{
  to->order = from->order;
  to->fence = from->fence;
  to->worker = from->worker;
  to->type = (enum mq_order_type)from->type;
  to->argument = from->argument;
  return in_range (from->type, ORDER_TYPE_COUNT);
}

static bool
read_order_done (struct mq_order_done_msg *to, const Mq__OrderDone *from)
{
  to->order = from->order;
  return read_error (&to->error, from->error);
}

static bool
read_probe (struct mq_probe_msg *to, const Mq__Probe *from)
{
  to->probe = from->probe;
  to->shared_prefix = from->shared_prefix;
  to->program.hi = from->program_hi;
  to->program.lo = from->program_lo;
  return true;
}

static bool
read_probed (struct mq_probed_msg *to, const Mq__Probed *from)
{
  to->probe = from->probe;
  to->worker = from->worker;
  to->program_tokens = from->program_tokens;
  to->shared_tokens = from->shared_tokens;
  return true;
}

static bool
read_token (struct mq_token_msg *to, const Mq__Token *from)
{
  to->partition = from->partition;
  to->fence = from->fence;
  to->index = from->index;
  to->text = from->text;
  return read_ref (&to->ref, from->ref);
}

static bool
read_outcome (struct mq_outcome_msg *to, const Mq__Outcome *from)
{
  to->partition = from->partition;
  to->fence = from->fence;
  to->boot = from->boot;
  to->ran = (enum mq_ran)from->ran;
  to->retry_after_ms = from->retry_after_ms;
  to->body = from->body;
  to->tokens_in = from->tokens_in;
  to->tokens_out = from->tokens_out;
  to->cached_tokens = from->cached_tokens;
  to->queue_us = from->queue_us;
  to->first_us = from->first_us;
  to->run_us = from->run_us;
  to->recovered = from->recovered;
  return read_ref (&to->ref, from->ref) && read_error (&to->error, from->error)
         && in_range (from->ran, RAN_COUNT);
}

static bool
read_sealed (struct mq_sealed_msg *to, const Mq__Sealed *from)
{
  to->partition = from->partition;
  to->fence = from->fence;
  to->boot = from->boot;
  to->answer = (enum mq_seal_status)from->answer;
  return read_ref (&to->ref, from->ref)
         && in_range (from->answer, SEAL_ANSWER_COUNT);
}

static bool
read_recovered (TALLOC_CTX *ctx, struct mq_recovered_msg *to,
                const Mq__Recovered *from)
{
  to->partition = from->partition;
  to->fence = from->fence;
  to->boot = from->boot;
  if (from->n_running > MQ_FRAME_CALLS_MAX)
    return false;
  if (from->n_running == 0)
    return true;
  to->running = talloc_array (ctx, struct mq_call_ref, from->n_running);
  if (to->running == NULL)
    return false;
  to->running_count = from->n_running;
  for (size_t i = 0; i < from->n_running; i++)
    if (!read_ref (&to->running[i], from->running[i]))
      return false;
  return true;
}

static bool
read_evicted (struct mq_evicted_msg *to, const Mq__Evicted *from)
{
  to->program.hi = from->program_hi;
  to->program.lo = from->program_lo;
  return true;
}

static void
read_worker (struct mq_worker_load *to, const Mq__WorkerLoad *from)
{
  to->worker = from->worker;
  to->service = from->service;
  to->model = from->model;
  to->slots = from->slots;
  to->running = from->running;
  to->queued = from->queued;
  to->cache_used = from->cache_used;
  to->cache_total = from->cache_total;
  to->prefill_rate = from->prefill_rate;
  to->decode_us = from->decode_us;
}

static bool
read_load (TALLOC_CTX *ctx, struct mq_load_msg *to, const Mq__Load *from)
{
  to->boot = from->boot;
  to->leaving = from->leaving;
  if (from->n_workers > MQ_FRAME_WORKERS_MAX)
    return false;
  if (from->n_workers == 0)
    return true;
  to->workers = talloc_array (ctx, struct mq_worker_load, from->n_workers);
  if (to->workers == NULL)
    return false;
  to->worker_count = from->n_workers;
  for (size_t i = 0; i < from->n_workers; i++)
    read_worker (&to->workers[i], from->workers[i]);
  return true;
}

static bool
read_forward (struct mq_forward_msg *to, const Mq__Forward *from)
{
  struct mq_request_msg *request = &to->request;

  to->handle = from->handle;
  request->type = (enum mq_request_type)from->type;
  request->program.hi = from->program_hi;
  request->program.lo = from->program_lo;
  request->organisation = from->organisation;
  request->service = from->service;
  request->route = from->route;
  request->key = from->key;
  request->sequence = from->sequence;
  request->continues.hi = from->continues_hi;
  request->continues.lo = from->continues_lo;
  request->stream = from->stream;
  request->after = from->after;
  request->max_tokens = from->max_tokens;
  request->traceparent = from->traceparent;
  request->body = from->body;
  return in_range (from->type, REQUEST_TYPE_COUNT);
}

static bool
read_event (struct mq_event_msg *to, const Mq__Event *from)
{
  to->handle = from->handle;
  to->type = (enum mq_event_type)from->type;
  to->number = from->number;
  to->call = from->call;
  to->body = from->body;
  to->ran = (enum mq_ran)from->ran;
  to->retry_after_ms = from->retry_after_ms;
  to->redirect = from->redirect;
  return in_range (from->type, EVENT_TYPE_COUNT)
         && read_error (&to->error, from->error)
         && in_range (from->ran, RAN_COUNT);
}

static bool
read_handover (struct mq_handover_msg *to, const Mq__Handover *from)
{
  to->partitions = from->partitions;
  to->partition_count = from->n_partitions;
  return from->n_partitions <= MQ_FRAME_PARTITIONS_MAX;
}

static bool
read_config (struct mq_config_msg *to, const Mq__Config *from)
{
  to->version = from->version;
  to->text = from->text;
  return true;
}

static bool
read_envelope (struct mq_message *to, const Mq__Envelope *from)
{
  to->config_version = from->config_version;
  switch (from->body_case)
    {
    case MQ__ENVELOPE__BODY_BEAT:
      to->type = MQ_MSG_NONE;
      return true;
    case MQ__ENVELOPE__BODY_CALL:
      to->type = MQ_MSG_CALL;
      return read_call (&to->u.call, from->call);
    case MQ__ENVELOPE__BODY_CANCEL:
      to->type = MQ_MSG_CANCEL;
      return read_named (&to->u.ref, from->cancel);
    case MQ__ENVELOPE__BODY_SEAL:
      to->type = MQ_MSG_SEAL;
      return read_named (&to->u.ref, from->seal);
    case MQ__ENVELOPE__BODY_RECOVER:
      to->type = MQ_MSG_RECOVER;
      return read_recover (&to->u.recover, from->recover);
    case MQ__ENVELOPE__BODY_FORGET:
      to->type = MQ_MSG_FORGET;
      return read_named (&to->u.ref, from->forget);
    case MQ__ENVELOPE__BODY_LEASE:
      to->type = MQ_MSG_LEASE;
      return read_lease (&to->u.lease, from->lease);
    case MQ__ENVELOPE__BODY_ORDER:
      to->type = MQ_MSG_ORDER;
      return read_order (&to->u.order, from->order);
    case MQ__ENVELOPE__BODY_PROBE:
      to->type = MQ_MSG_PROBE;
      return read_probe (&to->u.probe, from->probe);
    case MQ__ENVELOPE__BODY_TOKEN:
      to->type = MQ_MSG_TOKEN;
      return read_token (&to->u.token, from->token);
    case MQ__ENVELOPE__BODY_OUTCOME:
      to->type = MQ_MSG_OUTCOME;
      return read_outcome (&to->u.outcome, from->outcome);
    case MQ__ENVELOPE__BODY_SEALED:
      to->type = MQ_MSG_SEALED;
      return read_sealed (&to->u.sealed, from->sealed);
    case MQ__ENVELOPE__BODY_RECOVERED:
      to->type = MQ_MSG_RECOVERED;
      return read_recovered (to, &to->u.recovered, from->recovered);
    case MQ__ENVELOPE__BODY_EVICTED:
      to->type = MQ_MSG_EVICTED;
      return read_evicted (&to->u.evicted, from->evicted);
    case MQ__ENVELOPE__BODY_LOAD:
      to->type = MQ_MSG_LOAD;
      return read_load (to, &to->u.load, from->load);
    case MQ__ENVELOPE__BODY_ORDER_DONE:
      to->type = MQ_MSG_ORDER_DONE;
      return read_order_done (&to->u.order_done, from->order_done);
    case MQ__ENVELOPE__BODY_PROBED:
      to->type = MQ_MSG_PROBED;
      return read_probed (&to->u.probed, from->probed);
    case MQ__ENVELOPE__BODY_FORWARD:
      to->type = MQ_MSG_FORWARD;
      return read_forward (&to->u.forward, from->forward);
    case MQ__ENVELOPE__BODY_FORWARD_EVENT:
      to->type = MQ_MSG_FORWARD_EVENT;
      return read_event (&to->u.event, from->forward_event);
    case MQ__ENVELOPE__BODY_FORWARD_CLOSE:
      to->type = MQ_MSG_FORWARD_CLOSE;
      to->u.forward_close.handle = from->forward_close->handle;
      return true;
    case MQ__ENVELOPE__BODY_HANDOVER:
      to->type = MQ_MSG_HANDOVER;
      return read_handover (&to->u.handover, from->handover);
    case MQ__ENVELOPE__BODY_CONFIG_HAVE:
      to->type = MQ_MSG_CONFIG_HAVE;
      return read_config (&to->u.config, from->config_have);
    case MQ__ENVELOPE__BODY_CONFIG_GET:
      to->type = MQ_MSG_CONFIG_GET;
      return read_config (&to->u.config, from->config_get);
    case MQ__ENVELOPE__BODY_CONFIG_TEXT:
      to->type = MQ_MSG_CONFIG_TEXT;
      return read_config (&to->u.config, from->config_text);
    case MQ__ENVELOPE__BODY_HELLO:
    case MQ__ENVELOPE__BODY_PROOF:
    case MQ__ENVELOPE__BODY__NOT_SET:
    default:
      return false;
    }
}

struct mq_message *
mq_codec_unpack (TALLOC_CTX *ctx, const uint8_t *data, size_t len,
                 struct mq_error *error)
{
  struct mq_message *message = create_message (ctx, len);
  struct frame_memory memory = { message, bound_memory (len) };
  ProtobufCAllocator allocator = { allocate_memory, free_memory, &memory };
  Mq__Envelope *envelope = NULL;

  if (message != NULL)
    envelope = mq__envelope__unpack (&allocator, len, data);
  if (envelope != NULL && read_envelope (message, envelope))
    return message;
  mq_error_set (
      error, MQ_ERR_BAD_FRAME,
      envelope == NULL ? "envelope" : mq_message_name (message->type), NULL);
  talloc_free (message);
  return NULL;
}
