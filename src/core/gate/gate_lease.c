/* gate_lease.c - leases that bound how long an engine keeps a program's cache.

   Needs: gate_state.h.  */

#include "gate_state.h"

/* Leases.  */

void
mq_gate_set_lease (struct mq_gate *gate, struct gate_program *program,
                   uint64_t ms)
{
  program->lease = GATE_LEASE_HELD;
  program->lease_until_us = gate->now_us + ms * MQ_US_PER_MS;
  mq_gate_heap_remove (&gate->leases, program);
  mq_gate_heap_add (&gate->leases, program);
}

static void
cancel_evictions (struct mq_gate *gate, struct gate_program *program)
{
  struct gate_node *node = program->cached_programs.first;

  while (node != NULL)
    {
      mq_gate_cancel_eviction (
          gate, GATE_ENTRY (node, struct gate_cached_program, by_program));
      node = node->next;
    }
  program->evicted_peer = 0;
  program->fully_evicted = false;
}

/* Duration of a lease that no owner has granted: the most recent one, as
   owners give every program the same.  A longer one would hold the memory of a
   program that has moved to another owner.  */
static uint64_t
default_lease_ms (const struct mq_gate *gate)
{
  return gate->lease_ms == 0 ? MQ_GATE_LEASE_MS : gate->lease_ms;
}

/* Calls that use no cache grant no lease, since their owner would neither
   renew nor end it here.  */
void
mq_gate_grant_lease (struct mq_gate *gate, struct gate_program *program,
                     const struct gate_worker *worker)
{
  if (!mq_gate_has_cache (worker) || program->lease == GATE_LEASE_HELD)
    return;
  cancel_evictions (gate, program);
  mq_gate_set_lease (gate, program, default_lease_ms (gate));
}

/* Adds cache records at workers that have not reported yet.  After a restart
   of this process their engines may still hold the program's cache; evicting a
   cache that is not there is harmless.  */
static void
add_unreported_caches (struct mq_gate *gate, struct gate_program *program)
{
  for (size_t i = 0; i < gate->worker_count; i++)
    {
      struct gate_worker *worker = &gate->workers[i];

      if (mq_gate_has_cache (worker) && !worker->reported)
        mq_gate_get_cached_program (gate, program, worker);
    }
}

static void
end_lease (struct mq_gate *gate, uint32_t peer, struct gate_program *program,
           uint64_t fence)
{
  program->lease = GATE_LEASE_ENDED;
  program->ended_fence = fence;
  program->evicted_peer = peer;
  mq_gate_heap_remove (&gate->leases, program);
  mq_gate_cancel_program_calls (gate, program);
  if (!program->fully_evicted)
    add_unreported_caches (gate, program);
  mq_gate_begin_evictions (gate, program);
  mq_gate_notify_evicted (gate, program);
}

/* Handles LEASE.  A renewal that arrives after the end of the program is
   ignored unless it comes under a higher fence.  */
void
mq_gate_handle_lease (struct mq_gate *gate, uint32_t peer,
                      const struct mq_lease_msg *msg)
{
  struct gate_program *program;

  if (mq_gate_raise_fence (gate, msg->partition, msg->fence, peer) == NULL)
    return;
  program = mq_gate_program_get (gate, msg->program);
  if (program == NULL)
    return;
  if (msg->state == MQ_LEASE_ENDED)
    {
      end_lease (gate, peer, program, msg->fence);
      return;
    }
  if (program->lease == GATE_LEASE_ENDED && msg->fence <= program->ended_fence)
    return;
  if (program->lease != GATE_LEASE_HELD)
    cancel_evictions (gate, program);
  if (msg->lease_ms != 0)
    gate->lease_ms = msg->lease_ms;
  mq_gate_set_lease (gate, program,
                     msg->lease_ms == 0 ? MQ_GATE_LEASE_MS : msg->lease_ms);
}

/* Whether a queued or running call uses a cache of PROGRAM.  */
static bool
is_cache_used (const struct mq_gate *gate, const struct gate_program *program)
{
  for (const struct gate_node *node = program->calls.first; node != NULL;
       node = node->next)
    {
      const struct gate_call *call
          = GATE_ENTRY (node, struct gate_call, by_program);

      if (call->state != GATE_CALL_DONE
          && mq_gate_has_cache (&gate->workers[call->worker]))
        return true;
    }
  for (const struct gate_node *node = program->cached_programs.first;
       node != NULL; node = node->next)
    if (GATE_ENTRY (node, struct gate_cached_program, by_program)->runs > 0)
      return true;
  return false;
}

/* Handles a lease that was not renewed, because the owner failed or its
   successor runs the program elsewhere: evicts the caches, or extends the
   lease while a call uses them.  */
static void
expire_lease (struct mq_gate *gate, struct gate_program *program)
{
  if (is_cache_used (gate, program))
    {
      mq_gate_set_lease (gate, program, default_lease_ms (gate));
      return;
    }
  program->lease = GATE_LEASE_EXPIRED;
  mq_gate_heap_remove (&gate->leases, program);
  if (program->cached_programs.count == 0)
    return;
  gate->counters.leases_lapsed++;
  mq_gate_begin_evictions (gate, program);
}

static void
expire_leases (struct mq_gate *gate)
{
  struct gate_program *program = mq_gate_heap_first (&gate->leases);

  while (program != NULL && program->lease_until_us <= gate->now_us)
    {
      expire_lease (gate, program);
      program = mq_gate_heap_first (&gate->leases);
    }
}

void
mq_gate_lease_tick (struct mq_gate *gate)
{
  expire_leases (gate);
  mq_gate_retry_evictions (gate);
}
