/* codec_pack.c - encodes struct mq_message as protobuf.

   Strings of the message are borrowed while it is encoded.
   Needs: protobuf-c, proto/peer.pb-c.h, codec.h.  */

#include "../../proto/peer.pb-c.h"
#include "core/limits.h"
#include "codec.h"
#include <string.h>

#define ASSERT_SAME(wire, core)                                               \
  _Static_assert((int)(wire) == (int)(core), #core " and the wire agree")

ASSERT_SAME (MQ__PRIORITY__URGENT, MQ_PRIORITY_URGENT);
ASSERT_SAME (MQ__PRIORITY__INTERACTIVE, MQ_PRIORITY_INTERACTIVE);
ASSERT_SAME (MQ__PRIORITY__BATCH, MQ_PRIORITY_BATCH);
ASSERT_SAME (MQ__PRIORITY__BATCH + 1, MQ_PRIORITY_COUNT);
ASSERT_SAME (MQ__RAN__NOT_RUN, MQ_RAN_NOT_RUN);
ASSERT_SAME (MQ__RAN__RAN, MQ_RAN_RAN);
ASSERT_SAME (MQ__RAN__UNKNOWN, MQ_RAN_UNKNOWN);
ASSERT_SAME (MQ__LEASE_STATE__ACTIVE, MQ_LEASE_ACTIVE);
ASSERT_SAME (MQ__LEASE_STATE__PAUSED, MQ_LEASE_PAUSED);
ASSERT_SAME (MQ__LEASE_STATE__ENDED, MQ_LEASE_ENDED);
ASSERT_SAME (MQ__ORDER_TYPE__LOAD_MODEL, MQ_ORDER_LOAD_MODEL);
ASSERT_SAME (MQ__ORDER_TYPE__LOAD_ADAPTER, MQ_ORDER_LOAD_ADAPTER);
ASSERT_SAME (MQ__ORDER_TYPE__SET_VERSION, MQ_ORDER_SET_VERSION);
ASSERT_SAME (MQ__ORDER_TYPE__SET_ROLE, MQ_ORDER_SET_ROLE);
ASSERT_SAME (MQ__SEAL_ANSWER__SEAL_DONE, MQ_SEAL_DONE);
ASSERT_SAME (MQ__SEAL_ANSWER__SEAL_RUNNING, MQ_SEAL_RUNNING);
ASSERT_SAME (MQ__SEAL_ANSWER__SEAL_SEALED, MQ_SEAL_SEALED);
ASSERT_SAME (MQ__SEAL_ANSWER__SEAL_STALE, MQ_SEAL_STALE);
ASSERT_SAME (MQ__REQUEST_TYPE__OPEN, MQ_REQUEST_OPEN);
ASSERT_SAME (MQ__REQUEST_TYPE__CREATE, MQ_REQUEST_CREATE);
ASSERT_SAME (MQ__REQUEST_TYPE__STEP, MQ_REQUEST_STEP);
ASSERT_SAME (MQ__REQUEST_TYPE__TURN, MQ_REQUEST_TURN);
ASSERT_SAME (MQ__REQUEST_TYPE__GET, MQ_REQUEST_GET);
ASSERT_SAME (MQ__REQUEST_TYPE__CLOSE, MQ_REQUEST_CLOSE);
ASSERT_SAME (MQ__REQUEST_TYPE__CANCEL, MQ_REQUEST_CANCEL);
ASSERT_SAME (MQ__EVENT_TYPE__EVENT_ACCEPTED, MQ_EVENT_ACCEPTED);
ASSERT_SAME (MQ__EVENT_TYPE__EVENT_TOKEN, MQ_EVENT_TOKEN);
ASSERT_SAME (MQ__EVENT_TYPE__EVENT_STEP, MQ_EVENT_STEP);
ASSERT_SAME (MQ__EVENT_TYPE__EVENT_RESET, MQ_EVENT_RESET);
ASSERT_SAME (MQ__EVENT_TYPE__EVENT_FINAL, MQ_EVENT_FINAL);
ASSERT_SAME (MQ__EVENT_TYPE__EVENT_REFUSED, MQ_EVENT_REFUSED);

/* Storage for the body of the envelope while it is encoded.  */
struct wire_body
{
  Mq__CallRef ref;
  union
  {
    Mq__Beat beat;
    Mq__Call call;
    Mq__Ref named;
    Mq__Recover recover;
    Mq__Lease lease;
    Mq__Order order;
    Mq__OrderDone order_done;
    Mq__Probe probe;
    Mq__Probed probed;
    Mq__Token token;
    Mq__Outcome outcome;
    Mq__Sealed sealed;
    Mq__Recovered recovered;
    Mq__Evicted evicted;
    Mq__Load load;
    Mq__Forward forward;
    Mq__Event event;
    Mq__ForwardClose forward_close;
    Mq__Handover handover;
    Mq__Config config;
  } u;
};

/* protobuf-c declares strings without const but does not modify them when
   encoding.  */
static char *
wire_text (const char *text)
{
  return (char *)(text == NULL ? "" : text);
}

static char *
wire_error (enum mq_error_type type)
{
  return type == MQ_ERR_NONE ? (char *)"" : (char *)mq_error_name (type);
}

static void
fill_ref (Mq__CallRef *to, const struct mq_call_ref *from)
{
  mq__call_ref__init (to);
  to->program_hi = from->program.hi;
  to->program_lo = from->program.lo;
  to->call = from->call;
  to->attempt = from->attempt;
}

static void
fill_call (struct wire_body *body, const struct mq_call_msg *from)
{
  Mq__Call *to = &body->u.call;

  mq__call__init (to);
  fill_ref (&body->ref, &from->ref);
  to->ref = &body->ref;
  to->partition = from->partition;
  to->fence = from->fence;
  to->boot = from->boot;
  to->service = wire_text (from->service);
  to->route = wire_text (from->route);
  to->organisation = wire_text (from->organisation);
  to->worker = from->worker;
  to->idempotent = from->idempotent;
  to->priority = (Mq__Priority)from->priority;
  to->deadline_ms = from->deadline_ms;
  to->max_tokens = from->max_tokens;
  to->attained = from->attained;
  to->continuing = from->continuing;
  to->follow_up = from->follow_up;
  to->prefix_tokens = from->prefix_tokens;
  to->shared_prefix = from->shared_prefix;
  to->traceparent = wire_text (from->traceparent);
  to->body = wire_text (from->body);
}

static Mq__Ref *
fill_named (struct wire_body *body, const struct mq_ref_msg *from)
{
  Mq__Ref *to = &body->u.named;

  mq__ref__init (to);
  fill_ref (&body->ref, &from->ref);
  to->ref = &body->ref;
  to->partition = from->partition;
  to->fence = from->fence;
  return to;
}

static void
fill_recover (Mq__Recover *to, const struct mq_recover_msg *from)
{
  mq__recover__init (to);
  to->partition = from->partition;
  to->fence = from->fence;
}

static void
fill_lease (Mq__Lease *to, const struct mq_lease_msg *from)
{
  mq__lease__init (to);
  to->program_hi = from->program.hi;
  to->program_lo = from->program.lo;
  to->partition = from->partition;
  to->fence = from->fence;
  to->state = (Mq__LeaseState)from->state;
  to->lease_ms = from->lease_ms;
  to->pause_ms = from->pause_ms;
}

static void
fill_order (Mq__Order *to, const struct mq_order_msg *from)
{
  mq__order__init (to);
  to->order = from->order;
  to->fence = from->fence;
  to->worker = from->worker;
  to->type = (Mq__OrderType)from->type;
  to->argument = wire_text (from->argument);
}

static void
fill_order_done (Mq__OrderDone *to, const struct mq_order_done_msg *from)
{
  mq__order_done__init (to);
  to->order = from->order;
  to->error = wire_error (from->error);
}

static void
fill_probe (Mq__Probe *to, const struct mq_probe_msg *from)
{
  mq__probe__init (to);
  to->probe = from->probe;
  to->shared_prefix = from->shared_prefix;
  to->program_hi = from->program.hi;
  to->program_lo = from->program.lo;
}

static void
fill_probed (Mq__Probed *to, const struct mq_probed_msg *from)
{
  mq__probed__init (to);
  to->probe = from->probe;
  to->worker = from->worker;
  to->program_tokens = from->program_tokens;
  to->shared_tokens = from->shared_tokens;
}

static void
fill_token (struct wire_body *body, const struct mq_token_msg *from)
{
  Mq__Token *to = &body->u.token;

  mq__token__init (to);
  fill_ref (&body->ref, &from->ref);
  to->ref = &body->ref;
  to->partition = from->partition;
  to->fence = from->fence;
  to->index = from->index;
  to->text = wire_text (from->text);
}

static void
fill_outcome (struct wire_body *body, const struct mq_outcome_msg *from)
{
  Mq__Outcome *to = &body->u.outcome;

  mq__outcome__init (to);
  fill_ref (&body->ref, &from->ref);
  to->ref = &body->ref;
  to->partition = from->partition;
  to->fence = from->fence;
  to->boot = from->boot;
  to->error = wire_error (from->error);
  to->ran = (Mq__Ran)from->ran;
  to->retry_after_ms = from->retry_after_ms;
  to->body = wire_text (from->body);
  to->tokens_in = from->tokens_in;
  to->tokens_out = from->tokens_out;
  to->cached_tokens = from->cached_tokens;
  to->queue_us = from->queue_us;
  to->first_us = from->first_us;
  to->run_us = from->run_us;
  to->recovered = from->recovered;
}

static void
fill_sealed (struct wire_body *body, const struct mq_sealed_msg *from)
{
  Mq__Sealed *to = &body->u.sealed;

  mq__sealed__init (to);
  fill_ref (&body->ref, &from->ref);
  to->ref = &body->ref;
  to->partition = from->partition;
  to->fence = from->fence;
  to->boot = from->boot;
  to->answer = (Mq__SealAnswer)from->answer;
}

/* Allocates an array of COUNT pointers followed by the COUNT items of SIZE
   bytes that they point to.  */
static void **
create_items (TALLOC_CTX *tmp, size_t count, size_t size)
{
  void **pointers = talloc_array (tmp, void *, count);
  char *items = talloc_zero_size (tmp, count * size);

  if (pointers == NULL || items == NULL)
    return NULL;
  for (size_t i = 0; i < count; i++)
    pointers[i] = items + i * size;
  return pointers;
}

static bool
fill_recovered (TALLOC_CTX *tmp, Mq__Recovered *to,
                const struct mq_recovered_msg *from)
{
  mq__recovered__init (to);
  to->partition = from->partition;
  to->fence = from->fence;
  to->boot = from->boot;
  if (from->running_count > MQ_FRAME_CALLS_MAX)
    return false;
  if (from->running_count == 0)
    return true;
  to->running = (Mq__CallRef **)create_items (tmp, from->running_count,
                                              sizeof (Mq__CallRef));
  if (to->running == NULL)
    return false;
  to->n_running = from->running_count;
  for (size_t i = 0; i < from->running_count; i++)
    fill_ref (to->running[i], &from->running[i]);
  return true;
}

static void
fill_evicted (Mq__Evicted *to, const struct mq_evicted_msg *from)
{
  mq__evicted__init (to);
  to->program_hi = from->program.hi;
  to->program_lo = from->program.lo;
}

static void
fill_worker (Mq__WorkerLoad *to, const struct mq_worker_load *from)
{
  mq__worker_load__init (to);
  to->worker = from->worker;
  to->service = wire_text (from->service);
  to->model = wire_text (from->model);
  to->slots = from->slots;
  to->running = from->running;
  to->queued = from->queued;
  to->cache_used = from->cache_used;
  to->cache_total = from->cache_total;
  to->prefill_rate = from->prefill_rate;
  to->decode_us = from->decode_us;
}

static bool
fill_load (TALLOC_CTX *tmp, Mq__Load *to, const struct mq_load_msg *from)
{
  mq__load__init (to);
  to->boot = from->boot;
  to->leaving = from->leaving;
  if (from->worker_count > MQ_FRAME_WORKERS_MAX)
    return false;
  if (from->worker_count == 0)
    return true;
  to->workers = (Mq__WorkerLoad **)create_items (tmp, from->worker_count,
                                                 sizeof (Mq__WorkerLoad));
  if (to->workers == NULL)
    return false;
  to->n_workers = from->worker_count;
  for (size_t i = 0; i < from->worker_count; i++)
    fill_worker (to->workers[i], &from->workers[i]);
  return true;
}

static void
fill_forward (Mq__Forward *to, const struct mq_forward_msg *from)
{
  const struct mq_request_msg *request = &from->request;

  mq__forward__init (to);
  to->handle = from->handle;
  to->type = (Mq__RequestType)request->type;
  to->program_hi = request->program.hi;
  to->program_lo = request->program.lo;
  to->organisation = wire_text (request->organisation);
  to->service = wire_text (request->service);
  to->route = wire_text (request->route);
  to->key = wire_text (request->key);
  to->sequence = request->sequence;
  to->continues_hi = request->continues.hi;
  to->continues_lo = request->continues.lo;
  to->stream = request->stream;
  to->after = request->after;
  to->max_tokens = request->max_tokens;
  to->traceparent = wire_text (request->traceparent);
  to->body = wire_text (request->body);
}

static void
fill_event (Mq__Event *to, const struct mq_event_msg *from)
{
  mq__event__init (to);
  to->handle = from->handle;
  to->type = (Mq__EventType)from->type;
  to->number = from->number;
  to->call = from->call;
  to->body = wire_text (from->body);
  to->error = wire_error (from->error);
  to->ran = (Mq__Ran)from->ran;
  to->retry_after_ms = from->retry_after_ms;
  to->redirect = wire_text (from->redirect);
}

static void
fill_forward_close (Mq__ForwardClose *to,
                    const struct mq_forward_close_msg *from)
{
  mq__forward_close__init (to);
  to->handle = from->handle;
}

static bool
fill_handover (Mq__Handover *to, const struct mq_handover_msg *from)
{
  mq__handover__init (to);
  if (from->partition_count > MQ_FRAME_PARTITIONS_MAX)
    return false;
  to->n_partitions = from->partition_count;
  to->partitions = from->partitions;
  return true;
}

static Mq__Config *
fill_config (struct wire_body *body, const struct mq_config_msg *from)
{
  Mq__Config *to = &body->u.config;

  mq__config__init (to);
  to->version = from->version;
  to->text = wire_text (from->text);
  return to;
}

/* False if out of memory, an array exceeds its limit or the type has no
   encoding.  Each case sets the member of the envelope that BODY_CASE
   names.  */
static bool
fill_envelope (TALLOC_CTX *tmp, Mq__Envelope *to, struct wire_body *body,
               const struct mq_message *from)
{
  switch (from->type)
    {
    case MQ_MSG_NONE:
      to->body_case = MQ__ENVELOPE__BODY_BEAT;
      mq__beat__init (&body->u.beat);
      to->beat = &body->u.beat;
      return true;
    case MQ_MSG_CALL:
      to->body_case = MQ__ENVELOPE__BODY_CALL;
      fill_call (body, &from->u.call);
      to->call = &body->u.call;
      return true;
    case MQ_MSG_CANCEL:
      to->body_case = MQ__ENVELOPE__BODY_CANCEL;
      to->cancel = fill_named (body, &from->u.ref);
      return true;
    case MQ_MSG_SEAL:
      to->body_case = MQ__ENVELOPE__BODY_SEAL;
      to->seal = fill_named (body, &from->u.ref);
      return true;
    case MQ_MSG_RECOVER:
      to->body_case = MQ__ENVELOPE__BODY_RECOVER;
      fill_recover (&body->u.recover, &from->u.recover);
      to->recover = &body->u.recover;
      return true;
    case MQ_MSG_FORGET:
      to->body_case = MQ__ENVELOPE__BODY_FORGET;
      to->forget = fill_named (body, &from->u.ref);
      return true;
    case MQ_MSG_LEASE:
      to->body_case = MQ__ENVELOPE__BODY_LEASE;
      fill_lease (&body->u.lease, &from->u.lease);
      to->lease = &body->u.lease;
      return true;
    case MQ_MSG_ORDER:
      to->body_case = MQ__ENVELOPE__BODY_ORDER;
      fill_order (&body->u.order, &from->u.order);
      to->order = &body->u.order;
      return true;
    case MQ_MSG_PROBE:
      to->body_case = MQ__ENVELOPE__BODY_PROBE;
      fill_probe (&body->u.probe, &from->u.probe);
      to->probe = &body->u.probe;
      return true;
    case MQ_MSG_TOKEN:
      to->body_case = MQ__ENVELOPE__BODY_TOKEN;
      fill_token (body, &from->u.token);
      to->token = &body->u.token;
      return true;
    case MQ_MSG_OUTCOME:
      to->body_case = MQ__ENVELOPE__BODY_OUTCOME;
      fill_outcome (body, &from->u.outcome);
      to->outcome = &body->u.outcome;
      return true;
    case MQ_MSG_SEALED:
      to->body_case = MQ__ENVELOPE__BODY_SEALED;
      fill_sealed (body, &from->u.sealed);
      to->sealed = &body->u.sealed;
      return true;
    case MQ_MSG_RECOVERED:
      to->body_case = MQ__ENVELOPE__BODY_RECOVERED;
      to->recovered = &body->u.recovered;
      return fill_recovered (tmp, &body->u.recovered, &from->u.recovered);
    case MQ_MSG_EVICTED:
      to->body_case = MQ__ENVELOPE__BODY_EVICTED;
      fill_evicted (&body->u.evicted, &from->u.evicted);
      to->evicted = &body->u.evicted;
      return true;
    case MQ_MSG_LOAD:
      to->body_case = MQ__ENVELOPE__BODY_LOAD;
      to->load = &body->u.load;
      return fill_load (tmp, &body->u.load, &from->u.load);
    case MQ_MSG_ORDER_DONE:
      to->body_case = MQ__ENVELOPE__BODY_ORDER_DONE;
      fill_order_done (&body->u.order_done, &from->u.order_done);
      to->order_done = &body->u.order_done;
      return true;
    case MQ_MSG_PROBED:
      to->body_case = MQ__ENVELOPE__BODY_PROBED;
      fill_probed (&body->u.probed, &from->u.probed);
      to->probed = &body->u.probed;
      return true;
    case MQ_MSG_FORWARD:
      to->body_case = MQ__ENVELOPE__BODY_FORWARD;
      fill_forward (&body->u.forward, &from->u.forward);
      to->forward = &body->u.forward;
      return true;
    case MQ_MSG_FORWARD_EVENT:
      to->body_case = MQ__ENVELOPE__BODY_FORWARD_EVENT;
      fill_event (&body->u.event, &from->u.event);
      to->forward_event = &body->u.event;
      return true;
    case MQ_MSG_FORWARD_CLOSE:
      to->body_case = MQ__ENVELOPE__BODY_FORWARD_CLOSE;
      fill_forward_close (&body->u.forward_close, &from->u.forward_close);
      to->forward_close = &body->u.forward_close;
      return true;
    case MQ_MSG_HANDOVER:
      to->body_case = MQ__ENVELOPE__BODY_HANDOVER;
      to->handover = &body->u.handover;
      return fill_handover (&body->u.handover, &from->u.handover);
    case MQ_MSG_CONFIG_HAVE:
      to->body_case = MQ__ENVELOPE__BODY_CONFIG_HAVE;
      to->config_have = fill_config (body, &from->u.config);
      return true;
    case MQ_MSG_CONFIG_GET:
      to->body_case = MQ__ENVELOPE__BODY_CONFIG_GET;
      to->config_get = fill_config (body, &from->u.config);
      return true;
    case MQ_MSG_CONFIG_TEXT:
      to->body_case = MQ__ENVELOPE__BODY_CONFIG_TEXT;
      to->config_text = fill_config (body, &from->u.config);
      return true;
    case MQ_MSG_TYPE_COUNT:
      break;
    }
  return false;
}

uint8_t *
mq_codec_pack (TALLOC_CTX *ctx, const struct mq_message *message, size_t *len)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  Mq__Envelope envelope = MQ__ENVELOPE__INIT;
  struct wire_body body;
  uint8_t *data = NULL;

  envelope.config_version = message->config_version;
  if (tmp != NULL && fill_envelope (tmp, &envelope, &body, message))
    {
      *len = mq__envelope__get_packed_size (&envelope);
      data = talloc_size (ctx, *len);
    }
  if (data != NULL)
    mq__envelope__pack (&envelope, data);
  talloc_free (tmp);
  return data;
}
