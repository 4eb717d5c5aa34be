/* gate_programs.c - fences of partitions and what outlives a program's
   calls.

   A program's record is the memory that keeps a late, doubled frame of a
   call from starting it again after its own record is gone.  It holds two
   marks in place of a tombstone for each call, for the calls of a program
   are made one after the other.
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
mq_gate_fence (const struct mq_gate *gate, uint32_t partition)
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

/* Failure: an owner that was paused while its lease was taken over wakes up
   and goes on sending.  It shows as two owners that run the same program.
   Every message raises the fence of its partition and none under a lower
   one has any effect, so from the successor's first message on, whatever it
   is, the old owner can start nothing here.  NULL: FENCE is old.

   PEER is where the partition's owner is heard now.  */
struct gate_partition *
mq_gate_raise_fence (struct mq_gate *gate, uint32_t number, uint64_t fence,
                     uint32_t peer)
{
  struct gate_partition *partition = find_partition (gate, number);
  uint32_t before;

  if (partition == NULL)
    partition = add_partition (gate, number);
  if (fence < partition->fence)
    return NULL;
  before = fence == partition->fence ? partition->peer : 0;
  partition->fence = fence;
  partition->peer = peer;
  if (before != 0 && before != peer && !mq_gate_peer_is_up (gate, before))
    gate->moved = partition;
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
  return program->calls.count == 0 && program->holdings.count == 0
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
  program->touched_us = gate->lived_us;
  mq_gate_list_remove (&gate->programs_by_use, &program->by_use);
  mq_gate_list_add (&gate->programs_by_use, &program->by_use);
}

/* Frees the record used longest ago if it was idle for KEEP_MS.  A record
   in use goes to the end, as if it had just been used.  */
static bool
free_oldest (struct mq_gate *gate, uint64_t keep_ms)
{
  struct gate_node *node = gate->programs_by_use.first;
  struct gate_program *program;

  if (node == NULL)
    return false;
  program = GATE_ENTRY (node, struct gate_program, by_use);
  if (gate->lived_us - program->touched_us < keep_ms * MQ_US_PER_MS)
    return false;
  if (is_idle (program))
    free_program (gate, program);
  else
    mq_gate_program_touch (gate, program);
  return true;
}

/* Failure: a record is given up, then a late copy of a call's frame starts
   the call a second time.  A copy can only come over a connection that is
   still open, and such a connection delivers in order: what was sent before
   the call was forgotten arrives before the next beat, and a connection
   without a beat for MQ_PEER_TIMEOUT_MS is closed.  So a copy comes within
   that time of this process's running; lived_us counts only that (a pause
   counts as a second at most), and MQ_GATE_PROGRAM_KEEP_MS is far longer.  */
void
mq_gate_programs_expire (struct mq_gate *gate)
{
  while (free_oldest (gate, MQ_GATE_PROGRAM_KEEP_MS))
    continue;
}

static bool
make_room (struct mq_gate *gate)
{
  while (gate->programs.count >= MQ_GATE_PROGRAMS_MAX)
    if (!free_oldest (gate, MQ_GATE_PROGRAM_KEEP_MIN_MS))
      return false;
  return true;
}

/* NULL when the table is full of records that may not be given up.  */
struct gate_program *
mq_gate_program_get (struct mq_gate *gate, struct mq_id id)
{
  struct gate_program *program = mq_gate_program_find (gate, id);

  if (program == NULL)
    {
      if (!make_room (gate))
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
is_after (uint32_t call, uint32_t attempt, const struct gate_mark *mark)
{
  if (call != mark->call)
    return call > mark->call;
  return attempt > mark->attempt;
}

/* Under FENCE, REF and all before it are settled.  */
void
mq_gate_mark_settled (struct gate_program *program, uint64_t fence,
                      const struct mq_call_ref *ref, bool ran)
{
  struct gate_mark *mark = &program->settled;

  if (fence < mark->fence)
    return;
  if (fence == mark->fence && ref->call == mark->call
      && ref->attempt == mark->attempt)
    {
      mark->ran = mark->ran || ran;
      return;
    }
  if (fence == mark->fence && !is_after (ref->call, ref->attempt, mark))
    return;
  mark->fence = fence;
  mark->call = ref->call;
  mark->attempt = ref->attempt;
  mark->ran = ran;
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

/* Failure: a call was refused as not run, or sealed, or its outcome was
   forgotten, and then its frame arrives (again) by a slow connection.  It
   shows as a call run after its owner was told that it had not run, or run
   twice.  The marks refuse it:
   - sealed, under any fence, for calls that may not be repeated: their
     attempts are committed before they are sent, so numbers never recur;
   - settled, under the same fence only: a new owner that lost uncommitted
     steps may rightly number another call the same;
   - a lower number than the latest call under the same fence: the calls of
     a program are made one after the other.
   RAN is set to what is known of the frame that is refused.  */
bool
mq_gate_is_late (const struct gate_program *program,
                 const struct mq_call_msg *msg, enum mq_ran *ran)
{
  const struct mq_call_ref *ref = &msg->ref;
  const struct gate_mark *settled = &program->settled;

  if (!msg->idempotent && mq_gate_is_sealed (program, ref))
    {
      bool known = ref->call == program->sealed.call
                   && program->sealed.attempt != MQ_GATE_EVERY_ATTEMPT;

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
  if (msg->fence == program->top_fence && ref->call < program->top_call)
    {
      *ran = msg->idempotent ? MQ_RAN_UNKNOWN : MQ_RAN_NOT_RUN;
      return true;
    }
  return false;
}
