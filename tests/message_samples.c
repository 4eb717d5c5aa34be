/* message_samples.c - sample messages of every type with every field set.

   Needs: message_samples.h.  */

#include "message_samples.h"
#include "core/id.h"
#include <string.h>

enum
{
  ITEMS = 3
};

#define FIELD(type, member, kind)                                             \
  {                                                                           \
    MQ_MSG_##type, offsetof (struct mq_message, u.member), SAMPLE_##kind, 0   \
  }
#define CHOICE(type, member, last)                                            \
  {                                                                           \
    MQ_MSG_##type, offsetof (struct mq_message, u.member), SAMPLE_ENUM, last  \
  }
#define NAMED(type)                                                           \
  FIELD (type, ref.ref, REF), FIELD (type, ref.partition, U32),               \
      FIELD (type, ref.fence, U64)
#define CONFIG(type)                                                          \
  FIELD (type, config.version, U64), FIELD (type, config.text, TEXT)

const struct sample_field sample_fields[] = {
  FIELD (CALL, call.ref, REF),
  FIELD (CALL, call.partition, U32),
  FIELD (CALL, call.fence, U64),
  FIELD (CALL, call.boot, U64),
  FIELD (CALL, call.service, TEXT),
  FIELD (CALL, call.route, TEXT),
  FIELD (CALL, call.organisation, TEXT),
  FIELD (CALL, call.worker, U32),
  FIELD (CALL, call.idempotent, BOOL),
  CHOICE (CALL, call.priority, MQ_PRIORITY_BATCH),
  FIELD (CALL, call.deadline_ms, U32),
  FIELD (CALL, call.max_tokens, U32),
  FIELD (CALL, call.attained, U64),
  FIELD (CALL, call.continuing, BOOL),
  FIELD (CALL, call.follow_up, BOOL),
  FIELD (CALL, call.prefix_tokens, U32),
  FIELD (CALL, call.shared_prefix, U64),
  FIELD (CALL, call.traceparent, TEXT),
  FIELD (CALL, call.body, TEXT),
  NAMED (CANCEL),
  NAMED (SEAL),
  NAMED (FORGET),
  FIELD (RECOVER, recover.partition, U32),
  FIELD (RECOVER, recover.fence, U64),
  FIELD (LEASE, lease.program, ID),
  FIELD (LEASE, lease.partition, U32),
  FIELD (LEASE, lease.fence, U64),
  CHOICE (LEASE, lease.state, MQ_LEASE_ENDED),
  FIELD (LEASE, lease.lease_ms, U32),
  FIELD (LEASE, lease.pause_ms, U32),
  FIELD (ORDER, order.order, U64),
  FIELD (ORDER, order.fence, U64),
  FIELD (ORDER, order.worker, U32),
  CHOICE (ORDER, order.type, MQ_ORDER_SET_ROLE),
  FIELD (ORDER, order.argument, TEXT),
  FIELD (ORDER_DONE, order_done.order, U64),
  FIELD (ORDER_DONE, order_done.error, ERROR),
  FIELD (PROBE, probe.probe, U64),
  FIELD (PROBE, probe.shared_prefix, U64),
  FIELD (PROBE, probe.program, ID),
  FIELD (PROBED, probed.probe, U64),
  FIELD (PROBED, probed.worker, U32),
  FIELD (PROBED, probed.program_tokens, U32),
  FIELD (PROBED, probed.shared_tokens, U32),
  FIELD (TOKEN, token.ref, REF),
  FIELD (TOKEN, token.partition, U32),
  FIELD (TOKEN, token.fence, U64),
  FIELD (TOKEN, token.index, U32),
  FIELD (TOKEN, token.text, TEXT),
  FIELD (OUTCOME, outcome.ref, REF),
  FIELD (OUTCOME, outcome.partition, U32),
  FIELD (OUTCOME, outcome.fence, U64),
  FIELD (OUTCOME, outcome.boot, U64),
  FIELD (OUTCOME, outcome.error, ERROR),
  CHOICE (OUTCOME, outcome.ran, MQ_RAN_UNKNOWN),
  FIELD (OUTCOME, outcome.retry_after_ms, U32),
  FIELD (OUTCOME, outcome.body, TEXT),
  FIELD (OUTCOME, outcome.tokens_in, U32),
  FIELD (OUTCOME, outcome.tokens_out, U32),
  FIELD (OUTCOME, outcome.cached_tokens, U32),
  FIELD (OUTCOME, outcome.queue_us, U64),
  FIELD (OUTCOME, outcome.first_us, U64),
  FIELD (OUTCOME, outcome.run_us, U64),
  FIELD (OUTCOME, outcome.recovered, BOOL),
  FIELD (SEALED, sealed.ref, REF),
  FIELD (SEALED, sealed.partition, U32),
  FIELD (SEALED, sealed.fence, U64),
  FIELD (SEALED, sealed.boot, U64),
  CHOICE (SEALED, sealed.answer, MQ_SEAL_STALE),
  FIELD (RECOVERED, recovered.partition, U32),
  FIELD (RECOVERED, recovered.fence, U64),
  FIELD (RECOVERED, recovered.boot, U64),
  FIELD (RECOVERED, recovered.running, RUNNING),
  FIELD (EVICTED, evicted.program, ID),
  FIELD (LOAD, load.boot, U64),
  FIELD (LOAD, load.leaving, BOOL),
  FIELD (LOAD, load.workers, WORKERS),
  FIELD (FORWARD, forward.handle, U64),
  CHOICE (FORWARD, forward.request.type, MQ_REQUEST_CANCEL),
  FIELD (FORWARD, forward.request.program, ID),
  FIELD (FORWARD, forward.request.organisation, TEXT),
  FIELD (FORWARD, forward.request.service, TEXT),
  FIELD (FORWARD, forward.request.route, TEXT),
  FIELD (FORWARD, forward.request.key, TEXT),
  FIELD (FORWARD, forward.request.sequence, U32),
  FIELD (FORWARD, forward.request.continues, ID),
  FIELD (FORWARD, forward.request.stream, BOOL),
  FIELD (FORWARD, forward.request.after, U32),
  FIELD (FORWARD, forward.request.max_tokens, U32),
  FIELD (FORWARD, forward.request.traceparent, TEXT),
  FIELD (FORWARD, forward.request.body, TEXT),
  FIELD (FORWARD_EVENT, event.handle, U64),
  CHOICE (FORWARD_EVENT, event.type, MQ_EVENT_REFUSED),
  FIELD (FORWARD_EVENT, event.number, U32),
  FIELD (FORWARD_EVENT, event.call, U32),
  FIELD (FORWARD_EVENT, event.body, TEXT),
  FIELD (FORWARD_EVENT, event.error, ERROR),
  CHOICE (FORWARD_EVENT, event.ran, MQ_RAN_UNKNOWN),
  FIELD (FORWARD_EVENT, event.retry_after_ms, U32),
  FIELD (FORWARD_EVENT, event.redirect, TEXT),
  FIELD (FORWARD_CLOSE, forward_close.handle, U64),
  FIELD (HANDOVER, handover.partitions, PARTITIONS),
  CONFIG (CONFIG_HAVE),
  CONFIG (CONFIG_GET),
  CONFIG (CONFIG_TEXT),
};
const size_t sample_field_count
    = sizeof sample_fields / sizeof sample_fields[0];

static void
set_ref (struct mq_call_ref *ref, uint32_t seed)
{
  ref->program.hi = 0xf000000000000000ULL + seed;
  ref->program.lo = seed + 1;
  ref->call = seed + 2;
  ref->attempt = seed + 3;
}

static void
set_worker (TALLOC_CTX *ctx, struct mq_worker_load *worker, uint32_t seed)
{
  worker->worker = seed;
  worker->service = talloc_asprintf (ctx, "service%u", seed);
  worker->model = talloc_asprintf (ctx, "model%u", seed);
  worker->slots = seed + 1;
  worker->running = seed + 2;
  worker->queued = seed + 3;
  worker->cache_used = seed + 4;
  worker->cache_total = seed + 5;
  worker->prefill_rate = seed + 6;
  worker->decode_us = seed + 7;
}

static void
set_arrays (TALLOC_CTX *ctx, struct mq_message *message, uint32_t seed)
{
  if (message->type == MQ_MSG_RECOVERED)
    {
      message->u.recovered.running
          = talloc_zero_array (ctx, struct mq_call_ref, ITEMS);
      message->u.recovered.running_count = ITEMS;
    }
  else if (message->type == MQ_MSG_LOAD)
    {
      message->u.load.workers
          = talloc_zero_array (ctx, struct mq_worker_load, ITEMS);
      message->u.load.worker_count = ITEMS;
    }
  else
    {
      message->u.handover.partitions
          = talloc_zero_array (ctx, uint32_t, ITEMS);
      message->u.handover.partition_count = ITEMS;
    }
  for (uint32_t i = 0; i < ITEMS; i++)
    if (message->type == MQ_MSG_RECOVERED)
      set_ref (&message->u.recovered.running[i], seed + i);
    else if (message->type == MQ_MSG_LOAD)
      set_worker (ctx, &message->u.load.workers[i], seed + i);
    else
      message->u.handover.partitions[i] = seed + i;
}

static void
set_field (TALLOC_CTX *ctx, struct mq_message *message,
           const struct sample_field *field, uint32_t seed)
{
  char *at = (char *)message + field->offset;

  switch (field->kind)
    {
    case SAMPLE_U32:
      *(uint32_t *)at = 0x80000000U + seed;
      break;
    case SAMPLE_U64:
      *(uint64_t *)at = 0x8000000000000000ULL + seed;
      break;
    case SAMPLE_BOOL:
      *(bool *)at = true;
      break;
    case SAMPLE_TEXT:
      *(const char **)at = talloc_asprintf (ctx, "text \xc3\xa9 %u", seed);
      break;
    case SAMPLE_ID:
      *(struct mq_id *)at = (struct mq_id){ seed, 0xffffffffffffffffULL };
      break;
    case SAMPLE_REF:
      set_ref ((struct mq_call_ref *)at, seed);
      break;
    case SAMPLE_ENUM:
      *(int *)at = field->last;
      break;
    case SAMPLE_ERROR:
      *(enum mq_error_type *)at = MQ_ERR_COUNT - 1;
      break;
    case SAMPLE_RUNNING:
    case SAMPLE_WORKERS:
    case SAMPLE_PARTITIONS:
      set_arrays (ctx, message, seed);
      break;
    }
}

struct mq_message *
sample_message (TALLOC_CTX *ctx, enum mq_message_type type)
{
  struct mq_message *message = talloc_zero (ctx, struct mq_message);

  message->type = type;
  message->config_version = 1234567890123ULL;
  for (size_t i = 0; i < sample_field_count; i++)
    if (sample_fields[i].type == type)
      set_field (message, message, &sample_fields[i], 100 * (uint32_t)(i + 1));
  return message;
}

static bool
equal_ref (const struct mq_call_ref *a, const struct mq_call_ref *b)
{
  return mq_id_equal (a->program, b->program) && a->call == b->call
         && a->attempt == b->attempt;
}

static bool
equal_worker (const struct mq_worker_load *a, const struct mq_worker_load *b)
{
  return a->worker == b->worker && strcmp (a->service, b->service) == 0
         && strcmp (a->model, b->model) == 0 && a->slots == b->slots
         && a->running == b->running && a->queued == b->queued
         && a->cache_used == b->cache_used && a->cache_total == b->cache_total
         && a->prefill_rate == b->prefill_rate && a->decode_us == b->decode_us;
}

static bool
equal_arrays (const struct mq_message *a, const struct mq_message *b)
{
  size_t count = a->u.handover.partition_count;
  bool equal = true;

  if (a->type == MQ_MSG_RECOVERED)
    count = a->u.recovered.running_count;
  else if (a->type == MQ_MSG_LOAD)
    count = a->u.load.worker_count;
  if (a->type == MQ_MSG_RECOVERED)
    equal = count == b->u.recovered.running_count;
  else if (a->type == MQ_MSG_LOAD)
    equal = count == b->u.load.worker_count;
  else
    equal = count == b->u.handover.partition_count;
  for (size_t i = 0; equal && i < count; i++)
    if (a->type == MQ_MSG_RECOVERED)
      equal
          = equal_ref (&a->u.recovered.running[i], &b->u.recovered.running[i]);
    else if (a->type == MQ_MSG_LOAD)
      equal = equal_worker (&a->u.load.workers[i], &b->u.load.workers[i]);
    else
      equal = a->u.handover.partitions[i] == b->u.handover.partitions[i];
  return equal;
}

static bool
equal_field (const struct mq_message *a, const struct mq_message *b,
             const struct sample_field *field)
{
  const char *left = (const char *)a + field->offset;
  const char *right = (const char *)b + field->offset;

  switch (field->kind)
    {
    case SAMPLE_U32:
    case SAMPLE_ENUM:
    case SAMPLE_ERROR:
      return memcmp (left, right, sizeof (uint32_t)) == 0;
    case SAMPLE_U64:
      return memcmp (left, right, sizeof (uint64_t)) == 0;
    case SAMPLE_BOOL:
      return *(const bool *)left == *(const bool *)right;
    case SAMPLE_TEXT:
      return strcmp (*(const char *const *)left, *(const char *const *)right)
             == 0;
    case SAMPLE_ID:
      return memcmp (left, right, sizeof (struct mq_id)) == 0;
    case SAMPLE_REF:
      return equal_ref ((const struct mq_call_ref *)left,
                        (const struct mq_call_ref *)right);
    case SAMPLE_RUNNING:
    case SAMPLE_WORKERS:
    case SAMPLE_PARTITIONS:
      return equal_arrays (a, b);
    }
  return false;
}

bool
sample_equal (const struct mq_message *a, const struct mq_message *b)
{
  bool equal = a->type == b->type && a->config_version == b->config_version;

  for (size_t i = 0; equal && i < sample_field_count; i++)
    if (sample_fields[i].type == a->type)
      equal = equal_field (a, b, &sample_fields[i]);
  return equal;
}

bool
sample_valid (const struct mq_message *message)
{
  for (size_t i = 0; i < sample_field_count; i++)
    {
      const struct sample_field *field = &sample_fields[i];
      const char *at = (const char *)message + field->offset;

      if (field->type != message->type)
        continue;
      if (field->kind == SAMPLE_TEXT && *(const char *const *)at == NULL)
        return false;
      if (field->kind == SAMPLE_ENUM
          && *(const unsigned int *)at > (unsigned int)field->last)
        return false;
      if (field->kind == SAMPLE_ERROR
          && *(const unsigned int *)at >= MQ_ERR_COUNT)
        return false;
    }
  return message->type < MQ_MSG_TYPE_COUNT;
}
