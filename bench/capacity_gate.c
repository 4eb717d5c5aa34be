/* capacity_gate.c - cost of a call and of a lease renewal at a target's gate.

   Needs: capacity.h, gate.h, codec.h.  */

#include "capacity.h"
#include "core/gate/gate.h"
#include "core/limits.h"
#include "net/codec.h"
#include <stdio.h>
#include <string.h>

enum
{
  CALLS = 20000,
  RENEWALS = 50000,
  TOKENS = 20000,
  SLOTS = 16,
  BODY_BYTES = 4000,
  PEER = 1,
  NS_PER_US = 1000
};

struct bench
{
  struct mq_gate *gate;
  uint64_t now_us;
  uint32_t starts[65536]; /* ring of started slots, in order */
  size_t first;
  size_t last;
  char *body;
};

static void
record_starts (struct bench *bench, const struct mq_actions *actions)
{
  for (size_t i = 0; i < actions->count; i++)
    if (actions->items[i].type == MQ_ACT_START)
      bench->starts[bench->last++ % 65536] = actions->items[i].u.start.slot;
}

static void
feed (struct bench *bench, struct mq_gate_input *input)
{
  struct mq_actions *actions = mq_actions_create (bench);

  input->now_us = bench->now_us++;
  mq_gate_handle (bench->gate, input, actions);
  record_starts (bench, actions);
  talloc_free (actions);
}

static void
feed_message (struct bench *bench, const struct mq_message *message)
{
  struct mq_gate_input input = { .type = MQ_GATE_MESSAGE, .peer = PEER };

  input.u.message = message;
  feed (bench, &input);
}

static struct bench *
create (void)
{
  struct mq_gate_worker worker = { .service = "m",
                                   .kind = MQ_SERVICE_MODEL,
                                   .model = "m",
                                   .slots = SLOTS,
                                   .cache_tokens = 0 };
  struct mq_gate_options options
      = { .host = "t", .boot = 9, .seed = 1, .order = MQ_GATE_ATTAINED };
  struct mq_gate_input input = { .type = MQ_GATE_ENGINE_UP };
  struct bench *bench = talloc_zero (NULL, struct bench);

  options.workers = &worker;
  options.worker_count = 1;
  bench->now_us = 1000000;
  bench->gate = mq_gate_create (bench, &options);
  bench->body = talloc_zero_size (bench, BODY_BYTES + 1);
  memset (bench->body, 'a', BODY_BYTES);
  input.engine_boot = 1;
  feed (bench, &input);
  input.type = MQ_GATE_PEER_UP;
  input.peer = PEER;
  feed (bench, &input);
  return bench;
}

static void
send_call (struct bench *bench, uint64_t number)
{
  struct mq_message message = { .type = MQ_MSG_CALL };
  struct mq_call_msg *call = &message.u.call;

  call->ref.program = (struct mq_id){ number, 1 };
  call->ref.call = 1;
  call->ref.attempt = 1;
  call->fence = 1;
  call->service = "m";
  call->route = "";
  call->organisation = "o";
  call->idempotent = true;
  call->priority = (enum mq_priority) (number % MQ_PRIORITY_COUNT);
  call->attained = number % 5000;
  call->traceparent = "";
  call->body = bench->body;
  feed_message (bench, &message);
}

static uint32_t
next_slot (struct bench *bench)
{
  return bench->starts[bench->first++ % 65536];
}

static void
end_call (struct bench *bench)
{
  struct mq_gate_input input = { .type = MQ_GATE_DONE };

  input.u.done.slot = next_slot (bench);
  input.u.done.ran = MQ_RAN_RAN;
  input.u.done.body = "{\"content\":\"x\"}";
  input.u.done.tokens_in = BODY_BYTES / 4;
  input.u.done.tokens_out = 250;
  feed (bench, &input);
}

static void
forget_call (struct bench *bench, uint64_t number)
{
  struct mq_message message = { .type = MQ_MSG_FORGET };

  message.u.ref.ref.program = (struct mq_id){ number, 1 };
  message.u.ref.ref.call = 1;
  message.u.ref.ref.attempt = 1;
  message.u.ref.fence = 1;
  feed_message (bench, &message);
}

struct call_cost
{
  double us;
  double allocations;
};

/* Measures CALL, START, DONE and FORGET with WAITING calls in the queue.  */
static struct call_cost
measure_calls (uint64_t waiting)
{
  struct bench *bench = create ();
  struct call_cost cost;
  uint64_t number = 1;
  uint64_t heap;
  uint64_t start;

  while (number <= SLOTS + waiting)
    send_call (bench, number++);
  heap = capacity_heap.calls;
  start = capacity_cpu_ns ();
  for (uint32_t i = 0; i < CALLS; i++)
    {
      end_call (bench);
      send_call (bench, number++);
      forget_call (bench, i + 1);
    }
  cost.us = (double)(capacity_cpu_ns () - start) / CALLS / NS_PER_US;
  cost.allocations = (double)(capacity_heap.calls - heap) / CALLS;
  talloc_free (bench);
  return cost;
}

static void
run_calls (TALLOC_CTX *ctx)
{
  static const uint64_t sizes[] = { 1, 16, 64, 256, 495 };
  struct capacity_series *time
      = capacity_series_create (ctx, "gate.call", "waiting", "us a call");
  struct capacity_series *heap = capacity_series_create (
      ctx, "gate.call.allocations", "waiting", "allocations a call");

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (int repeat = 0; repeat < CAPACITY_REPEATS; repeat++)
      {
        struct call_cost cost = measure_calls (sizes[i]);

        capacity_series_add (time, (double)sizes[i], cost.us);
        capacity_series_add (heap, (double)sizes[i], cost.allocations);
      }
  capacity_series_print (time);
  capacity_series_print (heap);
}

static double
measure_token (void)
{
  struct bench *bench = create ();
  struct mq_gate_input input = { .type = MQ_GATE_TOKEN };
  uint64_t start;
  uint64_t took;

  send_call (bench, 1);
  input.u.token.slot = next_slot (bench);
  input.u.token.text = "four";
  start = capacity_cpu_ns ();
  for (int i = 0; i < TOKENS; i++)
    feed (bench, &input);
  took = capacity_cpu_ns () - start;
  talloc_free (bench);
  return (double)took / TOKENS / NS_PER_US;
}

static void
renew (struct bench *bench, uint64_t number)
{
  struct mq_message message = { .type = MQ_MSG_LEASE };
  struct mq_lease_msg *lease = &message.u.lease;

  lease->program = (struct mq_id){ number, 1 };
  lease->fence = 1;
  lease->state = MQ_LEASE_PAUSED;
  lease->lease_ms = MQ_GATE_LEASE_MS;
  feed_message (bench, &message);
}

struct record_cost
{
  double renewal_us;
  double bytes;
};

/* Measures lease renewal and memory with PROGRAMS leases.  */
static struct record_cost
measure_records (uint64_t programs)
{
  struct bench *bench = create ();
  uint64_t before = capacity_memory (bench->gate);
  struct record_cost cost;
  uint64_t start;

  for (uint64_t i = 1; i <= programs; i++)
    {
      send_call (bench, i);
      end_call (bench);
      forget_call (bench, i);
      renew (bench, i);
    }
  cost.bytes
      = (double)(capacity_memory (bench->gate) - before) / (double)programs;
  start = capacity_cpu_ns ();
  for (uint64_t i = 0; i < RENEWALS; i++)
    renew (bench, 1 + i * 7919 % programs);
  cost.renewal_us
      = (double)(capacity_cpu_ns () - start) / RENEWALS / NS_PER_US;
  talloc_free (bench);
  return cost;
}

static void
run_records (TALLOC_CTX *ctx)
{
  static const uint64_t sizes[] = { 50, 1000, 10000, 60000 };
  struct capacity_series *time
      = capacity_series_create (ctx, "gate.lease", "programs", "us a renewal");
  struct capacity_series *bytes = capacity_series_create (
      ctx, "gate.record", "programs", "bytes a program");

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (int repeat = 0; repeat < CAPACITY_REPEATS; repeat++)
      {
        struct record_cost cost = measure_records (sizes[i]);

        capacity_series_add (time, (double)sizes[i], cost.renewal_us);
        capacity_series_add (bytes, (double)sizes[i], cost.bytes);
      }
  capacity_series_print (time);
  capacity_series_print (bytes);
}

/* Prints the size of an encoded frame, including its 4-byte length.  */
static void
print_frame (const char *name, const struct mq_message *message)
{
  size_t len = 0;
  uint8_t *data = mq_codec_pack (NULL, message, &len);

  printf ("frame.%-28s %8zu bytes\n", name, len + 4);
  talloc_free (data);
}

static void
run_frames (void)
{
  struct mq_worker_load loads[4];
  struct mq_message message
      = { .type = MQ_MSG_NONE, .config_version = 100000 };

  print_frame ("beat", &message);
  message.type = MQ_MSG_LEASE;
  message.u.lease = (struct mq_lease_msg){ .program = { ~0ULL, ~0ULL },
                                           .partition = 900,
                                           .fence = 100000,
                                           .state = MQ_LEASE_PAUSED,
                                           .lease_ms = 60000 };
  print_frame ("lease", &message);
  message.type = MQ_MSG_TOKEN;
  message.u.token = (struct mq_token_msg){ .ref = { { ~0ULL, ~0ULL }, 100, 1 },
                                           .partition = 900,
                                           .fence = 100000,
                                           .index = 200,
                                           .text = "four" };
  print_frame ("token", &message);
  message.type = MQ_MSG_FORWARD_EVENT;
  message.u.event = (struct mq_event_msg){ .handle = 1000000,
                                           .type = MQ_EVENT_TOKEN,
                                           .number = 100 << 16 | 200,
                                           .call = 100,
                                           .body = "four",
                                           .redirect = "" };
  print_frame ("token_forwarded", &message);
  for (uint32_t i = 0; i < 4; i++)
    loads[i] = (struct mq_worker_load){ .worker = i,
                                        .service = "drafting-llm",
                                        .model = "drafting-12b",
                                        .slots = 16,
                                        .running = 10,
                                        .queued = 3,
                                        .cache_used = 50000,
                                        .cache_total = 60000,
                                        .prefill_rate = 8000,
                                        .decode_us = 10000 };
  message.type = MQ_MSG_LOAD;
  message.u.load = (struct mq_load_msg){ .boot = ~0ULL, .workers = loads };
  message.u.load.worker_count = 1;
  print_frame ("load_1_worker", &message);
  message.u.load.worker_count = 4;
  print_frame ("load_4_workers", &message);
}

void
capacity_run_gate (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct capacity_series *token
      = capacity_series_create (ctx, "gate.token", "calls", "us a token");

  run_calls (ctx);
  for (int repeat = 0; repeat < CAPACITY_REPEATS; repeat++)
    capacity_series_add (token, 1, measure_token ());
  capacity_series_print (token);
  run_records (ctx);
  run_frames ();
  talloc_free (ctx);
}
