/* gate_programs.c - fences of partitions and records of programs.

   A program's record refuses late copies of calls that have left the table.
   Calls of a program are made one after the other, so two watermarks suffice
   in place of a tombstone for each call.

   Needs: gate_state.h, id.h.  */

#include "gate_state.h"
#include "../id.h"

static uint64_t
hash_partition (const struct mq_gate *gate, uint32_t partition)
{
  return mq_hash_bytes (&partition, sizeof partition, gate->hash_seed);
}

static bool
same_partition (const struct gate_link *link, const void *key)
{
  const struct gate_partition *partition
      = GATE_ENTRY (link, struct gate_partition, link);

  return partition->partition == *(const uint32_t *)key;
}

static struct gate_partition *
find_partition (const struct mq_gate *gate, uint32_t number)
{
  struct gate_link *link
      = mq_gate_map_find (&gate->partitions, hash_partition (gate, number),
                          same_partition, &number);

  return link == NULL ? NULL : GATE_ENTRY (link, struct gate_partition, link);
}

uint64_t
mq_gate_get_fence (const struct mq_gate *gate, uint32_t partition)
{
  const struct gate_partition *found = find_partition (gate, partition);

  return found == NULL ? 0 : found->fence;
}

static struct gate_partition *
add_partition (struct mq_gate *gate, uint32_t number)
{
  struct gate_partition *partition
      = mq_gate_alloc (gate, sizeof *partition, "struct gate_partition");

  partition->partition = number;
  mq_gate_map_add (&gate->partitions, &partition->link,
                   hash_partition (gate, number));
  return partition;
}

/* Raises the fence of a partition to FENCE and records PEER as its owner.
   Returns NULL if FENCE is below the current one; the message must then have
   no effect.  This keeps a suspended owner from starting calls after its
   successor has sent its first message.  */
struct gate_partition *
mq_gate_raise_fence (struct mq_gate *gate, uint32_t number, uint64_t fence,
                     uint32_t peer)
{
  struct gate_partition *partition = find_partition (gate, number);
  uint32_t previous_peer;

  if (partition == NULL)
    partition = add_partition (gate, number);
  if (fence < partition->fence)
    return NULL;
  previous_peer = fence == partition->fence ? partition->peer : 0;
  partition->fence = fence;
  partition->peer = peer;
  if (previous_peer != 0 && previous_peer != peer
      && !mq_gate_peer_is_up (gate, previous_peer))
    gate->reconnected = partition;
  return partition;
}

static uint64_t
hash_program (const struct mq_gate *gate, struct mq_id id)
{
  return mq_hash_bytes (&id, sizeof id, gate->hash_seed);
}

static bool
same_program (const struct gate_link *link, const void *key)
{
  const struct gate_program *program
      = GATE_ENTRY (link, struct gate_program, link);

  return mq_id_equal (program->id, *(const struct mq_id *)key);
}

struct gate_program *
mq_gate_program_find (struct mq_gate *gate, struct mq_id id)
{
  struct gate_link *link = mq_gate_map_find (
      &gate->programs, hash_program (gate, id), same_program, &id);

  return link == NULL ? NULL : GATE_ENTRY (link, struct gate_program, link);
}

static bool
is_idle (const struct gate_program *program)
{
  return program->calls.count == 0 && program->cached_programs.count == 0
         && program->runs == 0 && program->lease != GATE_LEASE_HELD;
}

static void
free_program (struct mq_gate *gate, struct gate_program *program)
{
  mq_gate_heap_remove (&gate->leases, program);
  mq_gate_list_remove (&gate->programs_by_use, &program->by_use);
  mq_gate_map_remove (&gate->programs, &program->link);
  talloc_free (program);
}

void
mq_gate_program_touch (struct mq_gate *gate, struct gate_program *program)
{
  program->last_used_us = gate->active_us;
  mq_gate_list_remove (&gate->programs_by_use, &program->by_use);
  mq_gate_list_add (&gate->programs_by_use, &program->by_use);
}

/* Examines the least recently used record.  Frees it if it is idle; moves it
   to the end of the list if it is in use.  Returns false if there is none or
   it was used less than KEEP_MS ago.  */
static bool
free_oldest (struct mq_gate *gate, uint64_t keep_ms)
{
  struct gate_node *node = gate->programs_by_use.first;
  struct gate_program *program;

  if (node == NULL)
    return false;
  program = GATE_ENTRY (node, struct gate_program, by_use);
  if (gate->active_us - program->last_used_us < keep_ms * MQ_US_PER_MS)
    return false;
  if (is_idle (program))
    free_program (gate, program);
  else
    mq_gate_program_touch (gate, program);
  return true;
}

/* Frees idle records once no late copy of a call can arrive.  Copies arrive
   only over open connections, which deliver in order and are closed after
   MQ_PEER_TIMEOUT_MS without a heartbeat.  The clock active_us counts a
   suspension of this process as one second at most, and
   MQ_GATE_PROGRAM_KEEP_MS is far longer than MQ_PEER_TIMEOUT_MS.  */
void
mq_gate_programs_expire (struct mq_gate *gate)
{
  while (free_oldest (gate, MQ_GATE_PROGRAM_KEEP_MS))
    continue;
}

static bool
ensure_capacity (struct mq_gate *gate)
{
  while (gate->programs.count >= MQ_GATE_PROGRAMS_MAX)
    if (!free_oldest (gate, MQ_GATE_PROGRAM_KEEP_MIN_MS))
      return false;
  return true;
}

/* Returns the record of program ID, creating it if needed.  Returns NULL if
   the table is full and no record can be freed.  */
struct gate_program *
mq_gate_program_get (struct mq_gate *gate, struct mq_id id)
{
  struct gate_program *program = mq_gate_program_find (gate, id);

  if (program == NULL)
    {
      if (!ensure_capacity (gate))
        return NULL;
      program = mq_gate_alloc (gate, sizeof *program, "struct gate_program");
      program->id = id;
      mq_gate_map_add (&gate->programs, &program->link,
                       hash_program (gate, id));
      mq_gate_list_add (&gate->programs_by_use, &program->by_use);
    }
  mq_gate_program_touch (gate, program);
  return program;
}

static bool
is_after (uint32_t call, uint32_t attempt,
          const struct gate_watermark *watermark)
{
  if (call != watermark->call)
    return call > watermark->call;
  return attempt > watermark->attempt;
}

/* Marks REF and all earlier attempts as settled under FENCE.  */
void
mq_gate_mark_settled (struct gate_program *program, uint64_t fence,
                      const struct mq_call_ref *ref, bool ran)
{
  struct gate_watermark *watermark = &program->settled;

  if (fence < watermark->fence)
    return;
  if (fence == watermark->fence && ref->call == watermark->call
      && ref->attempt == watermark->attempt)
    {
      watermark->ran = watermark->ran || ran;
      return;
    }
  if (fence == watermark->fence
      && !is_after (ref->call, ref->attempt, watermark))
    return;
  watermark->fence = fence;
  watermark->call = ref->call;
  watermark->attempt = ref->attempt;
  watermark->ran = ran;
}

void
mq_gate_mark_sealed (struct gate_program *program, uint32_t call,
                     uint32_t attempt)
{
  if (!is_after (call, attempt, &program->sealed))
    return;
  program->sealed.call = call;
  program->sealed.attempt = attempt;
}

bool
mq_gate_is_sealed (const struct gate_program *program,
                   const struct mq_call_ref *ref)
{
  return !is_after (ref->call, ref->attempt, &program->sealed);
}

/* Whether the watermarks refuse MSG as a late or duplicate copy of a call that
   was refused, sealed or forgotten; running it could take effect twice, or
   after its owner was told that it had not run.  They refuse:

   - sealed attempts of non-idempotent calls, under any fence: their attempts
     are committed before they are sent, so a number is never reused;
   - settled attempts, under the same fence only: a new owner that lost
     uncommitted steps may reuse the number for another call;
   - calls below the latest one under the same fence: a program makes its calls
     one after the other.

   If it returns true, *RAN is what is known about the refused attempt.  */
bool
mq_gate_is_stale_call (const struct gate_program *program,
                       const struct mq_call_msg *msg, enum mq_ran *ran)
{
  const struct mq_call_ref *ref = &msg->ref;
  const struct gate_watermark *settled = &program->settled;

  if (!msg->idempotent && mq_gate_is_sealed (program, ref))
    {
      bool known = ref->call == program->sealed.call
                   && program->sealed.attempt != MQ_GATE_ALL_ATTEMPTS;

      *ran = known ? MQ_RAN_NOT_RUN : MQ_RAN_UNKNOWN;
      return true;
    }
  if (msg->fence == settled->fence
      && !is_after (ref->call, ref->attempt, settled))
    {
      bool known = ref->call == settled->call
                   && ref->attempt == settled->attempt && !settled->ran;

      *ran = known ? MQ_RAN_NOT_RUN : MQ_RAN_UNKNOWN;
      return true;
    }
  if (msg->fence == program->latest_fence && ref->call < program->latest_call)
    {
      *ran = msg->idempotent ? MQ_RAN_UNKNOWN : MQ_RAN_NOT_RUN;
      return true;
    }
  return false;
}
