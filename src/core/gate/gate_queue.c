/* gate_queue.c - admission to a worker's queue and dispatch order.

   Calls are dispatched in order of rank, lowest first.  The rank is

     level + arrival time / MQ_GATE_AGEING_MS

   The level depends on the priority, then on whether the program has run
   before, then on the service that the program has received, in exponential
   buckets.  A call can be overtaken in rank only by calls that arrive within
   a bounded time after it, so no stream of calls starves it.  The rank of a
   call never changes, so a heap suffices: O(log n) per call.

   Calls of the same rank, group and organisation form a lane, ordered by
   deadline and arrival.  Lanes of the same rank are ordered by the service
   that their organisation has received (fair queueing).  That value only
   grows, so the copy in a lane is a lower bound; it is refreshed when the lane
   reaches the top of its heap.

   Lanes are kept in one heap per group: batch or not, continuing or new.  When
   engine memory is low, the group takes precedence over the rank.

   Needs: gate_state.h, id.h.  */

#include "gate_state.h"
#include "../id.h"

enum
{
  ATTAINED_BUCKETS = 8,
  ATTAINED_UNIT_BITS = 10, /* the first bucket holds less than 1024 tokens */
  LEVELS_PER_PRIORITY = 2 * ATTAINED_BUCKETS,
  GROUP_NEW = 1,   /* flag in a group number */
  GROUP_BATCH = 2, /* flag in a group number */
  FLOWS_PURGE_MIN = 1024,
  BYTES_PER_TOKEN = 4,
  RETRY_MIN_MS = 50,
  RETRY_DEFAULT_MS = 200,
  RETRY_MAX_MS = 10000
};

/* Service received by one organisation at one worker.  */
struct gate_flow
{
  struct gate_link link;
  uint64_t organisation;
  uint64_t served; /* tokens, comparable with virtual_time */
  uint32_t queued;
  struct gate_list lanes;
};

struct gate_lane
{
  struct gate_node by_flow;
  struct gate_flow *flow;
  uint32_t group;
  uint64_t rank;
  uint64_t served; /* copy of flow->served, possibly outdated */
  struct gate_heap calls;
  size_t position;
};

/* Ordering.  */

static bool
call_before (const void *left, const void *right)
{
  const struct gate_call *a = left;
  const struct gate_call *b = right;

  if (a->rank != b->rank)
    return a->rank < b->rank;
  if (a->urgency_us != b->urgency_us)
    return a->urgency_us < b->urgency_us;
  return a->arrival < b->arrival;
}

static bool
lane_before (const void *left, const void *right)
{
  const struct gate_lane *a = left;
  const struct gate_lane *b = right;

  if (a->rank != b->rank)
    return a->rank < b->rank;
  if (a->served != b->served)
    return a->served < b->served;
  return call_before (mq_gate_heap_first (&a->calls),
                      mq_gate_heap_first (&b->calls));
}

static bool
expiry_before (const void *left, const void *right)
{
  const struct gate_call *a = left;
  const struct gate_call *b = right;

  return a->latest_start_us < b->latest_start_us;
}

void
mq_gate_queue_create (struct mq_gate *gate, struct gate_worker *worker)
{
  for (uint32_t i = 0; i < GATE_GROUPS; i++)
    mq_gate_heap_create (&worker->lanes[i], gate, lane_before,
                         offsetof (struct gate_lane, position));
  mq_gate_heap_create (&worker->expiry, gate, expiry_before,
                       offsetof (struct gate_call, expiry_position));
  mq_gate_map_create (&worker->flows, gate);
  worker->flows_purge_at = FLOWS_PURGE_MIN;
}

static uint32_t
attained_bucket (uint64_t attained)
{
  uint32_t bucket = 0;

  attained >>= ATTAINED_UNIT_BITS;
  while (attained > 0 && bucket < ATTAINED_BUCKETS - 1)
    {
      attained >>= 1;
      bucket++;
    }
  return bucket;
}

/* Follow-ups are not penalised for the service that their conversation has
   received.  */
static uint32_t
priority_level (const struct mq_call_msg *msg)
{
  uint32_t level = msg->priority * LEVELS_PER_PRIORITY;

  if (msg->follow_up)
    return level;
  if (!msg->continuing)
    level += ATTAINED_BUCKETS;
  return level + attained_bucket (msg->attained);
}

static uint32_t
call_group (const struct gate_call *call)
{
  uint32_t group = call->continuing ? 0 : GROUP_NEW;

  return call->priority == MQ_PRIORITY_BATCH ? group | GROUP_BATCH : group;
}

/* Minimum time at the target: for a model, the time to compute the prompt; for
   others, half of the mean run time.  Returns 0 if it is not yet known.  */
static uint64_t
min_run_us (const struct gate_worker *worker, const struct gate_call *call)
{
  if (worker->kind != MQ_SERVICE_MODEL)
    return worker->mean_run_us / 2;
  if (worker->prefill_rate == 0)
    return 0;
  return call->new_cache_tokens * 1000000ULL / worker->prefill_rate;
}

static uint64_t
compute_latest_start (const struct gate_worker *worker,
                      const struct gate_call *call)
{
  uint64_t min_us;

  if (call->deadline_us == 0)
    return UINT64_MAX;
  min_us = min_run_us (worker, call);
  return call->deadline_us > min_us ? call->deadline_us - min_us : 0;
}

/* Fills in the token estimates, the latest start and the queue position of
   CALL.  */
void
mq_gate_queue_estimate (struct mq_gate *gate, struct gate_call *call,
                        const struct mq_call_msg *msg)
{
  const struct gate_worker *worker = &gate->workers[call->worker];
  const struct gate_program *program
      = mq_gate_program_find (gate, msg->ref.program);
  uint32_t cached = 0;

  if (program != NULL)
    cached = mq_gate_count_cached_tokens (gate, program, call->worker);
  if (worker->kind == MQ_SERVICE_MODEL)
    call->prompt_tokens = (uint32_t)(call->body_len / BYTES_PER_TOKEN);
  if (call->prompt_tokens > cached)
    call->new_cache_tokens = call->prompt_tokens - cached;
  call->latest_start_us = compute_latest_start (worker, call);
  if (gate->order == MQ_GATE_FIFO)
    return;
  call->urgency_us = call->deadline_us == 0 ? UINT64_MAX : call->deadline_us;
  call->group = call_group (call);
  call->rank = priority_level (msg)
               + call->arrived_us / (MQ_GATE_AGEING_MS * MQ_US_PER_MS);
}

/* Admission.  */

/* Limits the delay MS and adds jitter, so that calls refused together are not
   retried together.  */
static uint32_t
add_jitter (struct mq_gate *gate, uint64_t ms)
{
  uint32_t quarter;

  if (ms < RETRY_MIN_MS)
    ms = RETRY_MIN_MS;
  if (ms > RETRY_MAX_MS)
    ms = RETRY_MAX_MS;
  quarter = (uint32_t)ms / 4;
  return (uint32_t)ms + mq_random_below (&gate->random, quarter + 1);
}

static uint64_t
estimate_wait_us (const struct gate_worker *worker, uint64_t ahead)
{
  return ahead * worker->mean_run_us / worker->slots;
}

/* Delay after which a refused call should be retried: the estimated time until
   half of the queue has been started.  */
uint32_t
mq_gate_queue_retry_after_ms (struct mq_gate *gate,
                              const struct gate_worker *worker)
{
  if (worker->mean_run_us == 0)
    return add_jitter (gate, RETRY_DEFAULT_MS);
  return add_jitter (gate, estimate_wait_us (worker, worker->queued / 2 + 1)
                               / MQ_US_PER_MS);
}

static uint64_t
count_ahead (const struct gate_worker *worker, enum mq_priority priority)
{
  uint64_t ahead = 0;

  for (uint32_t i = 0; i <= (uint32_t)priority; i++)
    ahead += worker->queued_by_priority[i];
  return ahead;
}

static bool
can_meet_deadline (const struct mq_gate *gate,
                   const struct gate_worker *worker,
                   const struct gate_call *call)
{
  uint64_t wait_us = 0;

  if (call->deadline_us == 0)
    return true;
  if (worker->running >= worker->slots)
    wait_us
        = estimate_wait_us (worker, count_ahead (worker, call->priority) + 1);
  return gate->now_us + wait_us <= call->latest_start_us;
}

static bool
has_capacity (const struct mq_gate *gate, const struct gate_worker *worker,
              const struct gate_call *call)
{
  if (worker->queued == 0)
    return true;
  return worker->queued < gate->queue_max
         && worker->queued_bytes + call->body_len <= MQ_GATE_QUEUE_BYTES_MAX;
}

/* Returns the batch call that arrived last, which is refused first.  */
static struct gate_call *
find_victim (const struct gate_worker *worker, const struct gate_call *call)
{
  if (call->priority >= MQ_PRIORITY_BATCH || worker->batch.last == NULL)
    return NULL;
  return GATE_ENTRY (worker->batch.last, struct gate_call, by_age);
}

/* Refuses calls that cannot meet their deadline or do not fit in the queue,
   while the owner can still place them elsewhere: under overload an unbounded
   queue delays every answer past its deadline.  Batch calls are refused to
   make room for calls of a higher priority.  */
enum mq_error_type
mq_gate_queue_admit (struct mq_gate *gate, const struct gate_call *call,
                     uint32_t *retry_after_ms)
{
  struct gate_worker *worker = &gate->workers[call->worker];

  *retry_after_ms = mq_gate_queue_retry_after_ms (gate, worker);
  if (!can_meet_deadline (gate, worker, call))
    return MQ_ERR_OVERLOADED;
  while (!has_capacity (gate, worker, call))
    {
      struct gate_call *victim = find_victim (worker, call);

      if (victim == NULL)
        return MQ_ERR_OVERLOADED;
      mq_gate_call_refuse (gate, victim, MQ_ERR_OVERLOADED, *retry_after_ms);
    }
  return MQ_ERR_NONE;
}

/* Flows and lanes.  */

static bool
same_flow (const struct gate_link *link, const void *key)
{
  return GATE_ENTRY (link, struct gate_flow, link)->organisation
         == *(const uint64_t *)key;
}

static struct gate_flow *
find_flow (const struct gate_worker *worker, uint64_t organisation)
{
  struct gate_link *link = mq_gate_map_find (&worker->flows, organisation,
                                             same_flow, &organisation);

  return link == NULL ? NULL : GATE_ENTRY (link, struct gate_flow, link);
}

static void
purge_bucket (struct gate_worker *worker, struct gate_link *link)
{
  while (link != NULL)
    {
      struct gate_flow *flow = GATE_ENTRY (link, struct gate_flow, link);

      link = link->next;
      if (flow->queued > 0 || flow->served > worker->virtual_time)
        continue;
      mq_gate_map_remove (&worker->flows, &flow->link);
      talloc_free (flow);
    }
}

/* Removes flows without queued calls or excess service.  Doubling the
   threshold keeps the cost O(1) per new flow.  */
static void
purge_flows (struct gate_worker *worker)
{
  if (worker->flows.count < worker->flows_purge_at)
    return;
  for (size_t i = 0; i < worker->flows.bucket_count; i++)
    purge_bucket (worker, worker->flows.buckets[i]);
  worker->flows_purge_at = 2 * worker->flows.count;
  if (worker->flows_purge_at < FLOWS_PURGE_MIN)
    worker->flows_purge_at = FLOWS_PURGE_MIN;
}

static struct gate_flow *
get_flow (struct mq_gate *gate, struct gate_worker *worker,
          uint64_t organisation)
{
  struct gate_flow *flow = find_flow (worker, organisation);

  if (flow != NULL)
    return flow;
  purge_flows (worker);
  flow = mq_gate_alloc (gate, sizeof *flow, "struct gate_flow");
  flow->organisation = organisation;
  mq_gate_map_add (&worker->flows, &flow->link, organisation);
  return flow;
}

/* Returns the flow for CALL.  A flow that was empty starts at virtual_time, so
   that idle time earns no credit.  */
static struct gate_flow *
join_flow (struct mq_gate *gate, struct gate_worker *worker,
           const struct gate_call *call)
{
  uint64_t key = gate->order == MQ_GATE_FIFO ? 0 : call->organisation;
  struct gate_flow *flow = get_flow (gate, worker, key);

  if (flow->queued == 0 && flow->served < worker->virtual_time)
    flow->served = worker->virtual_time;
  return flow;
}

static struct gate_lane *
find_lane (const struct gate_flow *flow, const struct gate_call *call)
{
  struct gate_node *node = flow->lanes.first;

  while (node != NULL)
    {
      struct gate_lane *lane = GATE_ENTRY (node, struct gate_lane, by_flow);

      if (lane->rank == call->rank && lane->group == call->group)
        return lane;
      node = node->next;
    }
  return NULL;
}

static struct gate_lane *
create_lane (struct mq_gate *gate, struct gate_flow *flow,
             const struct gate_call *call)
{
  struct gate_lane *lane
      = mq_gate_alloc (gate, sizeof *lane, "struct gate_lane");

  lane->flow = flow;
  lane->group = call->group;
  lane->rank = call->rank;
  lane->served = flow->served;
  mq_gate_heap_create (&lane->calls, lane, call_before,
                       offsetof (struct gate_call, lane_position));
  mq_gate_list_add (&flow->lanes, &lane->by_flow);
  return lane;
}

static void
join_lane (struct mq_gate *gate, struct gate_worker *worker,
           struct gate_call *call)
{
  struct gate_flow *flow = join_flow (gate, worker, call);
  struct gate_lane *lane = find_lane (flow, call);
  bool is_new = lane == NULL;

  if (is_new)
    lane = create_lane (gate, flow, call);
  flow->queued++;
  call->lane = lane;
  mq_gate_heap_add (&lane->calls, call);
  if (is_new)
    mq_gate_heap_add (&worker->lanes[lane->group], lane);
  else
    mq_gate_heap_update (&worker->lanes[lane->group], lane);
}

static void
leave_lane (struct gate_worker *worker, struct gate_call *call)
{
  struct gate_lane *lane = call->lane;
  struct gate_heap *lanes = &worker->lanes[lane->group];

  call->lane = NULL;
  lane->flow->queued--;
  if (lane->calls.count > 1)
    {
      mq_gate_heap_remove (&lane->calls, call);
      mq_gate_heap_update (lanes, lane);
      return;
    }
  mq_gate_heap_remove (lanes, lane);
  mq_gate_heap_remove (&lane->calls, call);
  mq_gate_list_remove (&lane->flow->lanes, &lane->by_flow);
  talloc_free (lane);
}

void
mq_gate_queue_add (struct mq_gate *gate, struct gate_call *call)
{
  struct gate_worker *worker = &gate->workers[call->worker];

  call->state = GATE_CALL_QUEUED;
  worker->queued++;
  worker->queued_by_priority[call->priority]++;
  worker->queued_bytes += call->body_len;
  gate->counters.queue_length++;
  gate->load_dirty = true;
  join_lane (gate, worker, call);
  if (call->latest_start_us != UINT64_MAX)
    mq_gate_heap_add (&worker->expiry, call);
  if (call->priority == MQ_PRIORITY_BATCH)
    mq_gate_list_add (&worker->batch, &call->by_age);
}

void
mq_gate_queue_remove (struct mq_gate *gate, struct gate_call *call)
{
  struct gate_worker *worker = &gate->workers[call->worker];

  worker->queued--;
  worker->queued_by_priority[call->priority]--;
  worker->queued_bytes -= call->body_len;
  gate->counters.queue_length--;
  gate->load_dirty = true;
  leave_lane (worker, call);
  mq_gate_heap_remove (&worker->expiry, call);
  if (call->priority == MQ_PRIORITY_BATCH)
    mq_gate_list_remove (&worker->batch, &call->by_age);
}

/* Dispatch.  */

static struct gate_lane *
find_first_lane (struct gate_heap *lanes)
{
  for (;;)
    {
      struct gate_lane *lane = mq_gate_heap_first (lanes);

      if (lane == NULL || lane->served == lane->flow->served)
        return lane;
      lane->served = lane->flow->served;
      mq_gate_heap_update (lanes, lane);
    }
}

static struct gate_call *
find_first (struct gate_worker *worker)
{
  struct gate_lane *best = NULL;

  for (uint32_t i = 0; i < GATE_GROUPS; i++)
    {
      struct gate_lane *lane = find_first_lane (&worker->lanes[i]);

      if (lane != NULL && (best == NULL || lane_before (lane, best)))
        best = lane;
    }
  return best == NULL ? NULL : mq_gate_heap_first (&best->calls);
}

/* Selects by group number when memory is low.  New batch programs wait while
   anything runs, since their caches would displace those of active programs,
   which would then have to be recomputed.  */
static struct gate_call *
find_first_low_memory (struct gate_worker *worker)
{
  for (uint32_t i = 0; i < GATE_GROUPS; i++)
    {
      struct gate_lane *lane = find_first_lane (&worker->lanes[i]);

      if (lane == NULL)
        continue;
      if (i == (GROUP_BATCH | GROUP_NEW) && worker->running > 0)
        return NULL;
      return mq_gate_heap_first (&lane->calls);
    }
  return NULL;
}

static bool
is_memory_low (const struct gate_worker *worker, const struct gate_call *call)
{
  if (worker->kind != MQ_SERVICE_MODEL || worker->cache_tokens == 0)
    return false;
  return worker->held_tokens + worker->new_cache_tokens
             + call->new_cache_tokens
         > worker->cache_tokens;
}

static struct gate_call *
select_call (const struct mq_gate *gate, struct gate_worker *worker)
{
  struct gate_call *call = find_first (worker);

  if (call == NULL || gate->order == MQ_GATE_FIFO)
    return call;
  return is_memory_low (worker, call) ? find_first_low_memory (worker) : call;
}

/* Refuses queued calls that can no longer meet their deadline, so that no slot
   is spent on them.  */
static void
refuse_expired (struct mq_gate *gate, struct gate_worker *worker)
{
  struct gate_call *call = mq_gate_heap_first (&worker->expiry);

  while (call != NULL && call->latest_start_us < gate->now_us)
    {
      mq_gate_call_refuse (gate, call, MQ_ERR_TIMEOUT,
                           mq_gate_queue_retry_after_ms (gate, worker));
      call = mq_gate_heap_first (&worker->expiry);
    }
}

static void
start_call (struct mq_gate *gate, struct gate_worker *worker,
            struct gate_call *call)
{
  struct gate_flow *flow = call->lane->flow;

  if (flow->served > worker->virtual_time)
    worker->virtual_time = flow->served;
  flow->served += call->new_cache_tokens;
  mq_gate_queue_remove (gate, call);
  mq_gate_run_start (gate, call);
}

void
mq_gate_queue_run (struct mq_gate *gate, struct gate_worker *worker)
{
  struct gate_call *call;

  refuse_expired (gate, worker);
  while (worker->up && worker->running < worker->slots
         && (call = select_call (gate, worker)) != NULL)
    start_call (gate, worker, call);
}

/* Adds TOKENS to the service received by ORGANISATION at WORKER.  */
void
mq_gate_queue_charge (struct mq_gate *gate, struct gate_worker *worker,
                      uint64_t organisation, uint64_t tokens)
{
  if (gate->order == MQ_GATE_FIFO)
    return;
  get_flow (gate, worker, organisation)->served += tokens;
}

void
mq_gate_queue_refuse_all (struct mq_gate *gate, struct gate_worker *worker,
                          enum mq_error_type error)
{
  for (uint32_t i = 0; i < GATE_GROUPS; i++)
    for (;;)
      {
        struct gate_lane *lane = mq_gate_heap_first (&worker->lanes[i]);

        if (lane == NULL)
          break;
        mq_gate_call_refuse (gate, mq_gate_heap_first (&lane->calls), error,
                             mq_gate_queue_retry_after_ms (gate, worker));
      }
}
