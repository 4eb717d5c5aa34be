/* owner_take.c - partition ownership: takeover, loss and hand-over.

   Liveness of another host is only a hint.  Ownership is decided by raising
   the fence (fencing token) in the partition's row by compare-and-swap.  After
   that, commits of the previous owner fail on the row's version, and its calls
   are rejected by target processes that have seen the new fence.
   Needs: owner_parts.h, id.h, proto/log.pb-c.h.  */

#include "owner_parts.h"
#include "../id.h"
#include "../memory.h"
#include <stdlib.h>
#include <string.h>

/* ---- Losing and releasing ---- */

static void
unload_programs (struct mq_owner *owner, struct partition *partition)
{
  struct running *running;
  size_t position = 0;

  if (partition->programs == NULL)
    return;
  while ((running = mq_idmap_next (partition->programs, &position)) != NULL)
    {
      events_detach (owner, running);
      place_discard_call (owner, running);
      if (running->program->state != MQ_PROGRAM_ENDED)
        chain_count_live (owner, running, -1);
      mq_idmap_remove (owner->running, running->program->id, 0);
    }
  partition->programs = NULL;
  TALLOC_FREE (partition->memory);
}

void
take_unload_partition (struct mq_owner *owner, struct partition *partition)
{
  if (partition->state == PARTITION_CLAIMING
      || partition->state == PARTITION_READING
      || partition->state == PARTITION_RECOVERING)
    owner->claiming--;
  durable_drop_partition (owner, partition);
  partition->state = PARTITION_NOT_OWNED;
  partition->read_id = 0;
  partition->takeover = NULL;
  unload_programs (owner, partition);
}

void
take_on_lost (struct mq_owner *owner, struct partition *partition)
{
  owner->counters.partitions_lost++;
  owner_state (owner, MQ_STATE_PARTITION_LOST, partition->number, "");
  log_cancel_hooks (owner, partition);
  take_unload_partition (owner, partition);
  partition->row_known = false;
  partition->row_version = 0;
  mq_text_replace (owner->partitions, &partition->owner, "");
  owner->next_scan_us = owner->now_us;
}

void
take_on_released (struct mq_owner *owner, struct partition *partition)
{
  struct sibling *successor = peers_find_successor (owner, partition);
  struct mq_message message = { .type = MQ_MSG_HANDOVER };
  uint32_t number = partition->number;

  owner_state (owner, MQ_STATE_PARTITION_RELEASED, number,
               successor == NULL ? "" : successor->host);
  /* Redirects the program's callers to the successor.  */
  mq_text_replace (owner->partitions, &partition->owner, "");
  mq_text_replace (owner->partitions, &partition->address,
                   successor == NULL ? "" : successor->address);
  take_unload_partition (owner, partition);
  partition->unowned_us = owner->now_us;
  if (successor == NULL)
    return;
  successor->owned++;
  if (successor->peer == 0)
    return;
  message.u.handover.partitions = &number;
  message.u.handover.partition_count = 1;
  mq_actions_send (owner->actions, successor->peer, &message);
}

void
take_on_handover (struct mq_owner *owner,
                  const struct mq_handover_msg *handover)
{
  for (size_t i = 0; i < handover->partition_count; i++)
    {
      uint32_t number = handover->partitions[i];

      if (number >= owner->partition_count)
        continue;
      /* The claim is conditional on the row's version, so scan the row
         first.  */
      owner->partitions[number].unowned_us = 1;
    }
  owner->next_scan_us = owner->now_us;
}

/* ---- Claiming ---- */

/* Adds this run to the partition's senders.  Calls may be sent under the new
   fence before the first batch commits, so the next owner must recover
   attempts from this run's targets too.  */
static void
add_sender (struct mq_owner *owner, struct partition *partition)
{
  for (size_t i = 0; i < partition->sender_count; i++)
    if (strcmp (partition->senders[i], owner->run) == 0)
      return;
  if (partition->senders == NULL)
    partition->senders = talloc_zero_array (owner->partitions, char *, 1);
  if (partition->senders == NULL)
    abort ();
  partition->senders[partition->sender_count++] = owner->run;
}

static void
send_claim (struct mq_owner *owner, struct partition *partition)
{
  Mqlog__PartitionRow row = MQLOG__PARTITION_ROW__INIT;
  struct mq_store_request *request;
  struct mq_store_op *op;
  size_t len;

  partition->state = PARTITION_CLAIMING;
  partition->read_id = owner_new_id (owner);
  owner->claiming++;
  row.fence = partition->fence + 1;
  row.owner = (char *)owner->options.host;
  row.owner_boot = owner->options.boot;
  row.address = (char *)owner->options.address;
  row.sequence = partition->sequence;
  row.batch = partition->batch;
  row.checkpoint = partition->checkpoint;
  row.checkpoint_key = partition->checkpoint_key == NULL
                           ? (char *)""
                           : partition->checkpoint_key;
  row.first = partition->first == 0 ? 1 : partition->first;
  add_sender (owner, partition);
  row.n_senders = partition->sender_count;
  row.senders = partition->senders;
  request = owner_add_store_request (owner, MQ_STORE_TXN, partition->read_id);
  request->ops = talloc_zero_array (owner->actions, struct mq_store_op, 1);
  request->op_count = 1;
  op = &request->ops[0];
  op->key = talloc_asprintf (owner->actions, "part/%05u", partition->number);
  op->if_version
      = partition->row_known ? partition->row_version : MQ_VERSION_ABSENT;
  len = mqlog__partition_row__get_packed_size (&row);
  op->value.data = talloc_array (owner->actions, uint8_t, (unsigned int)len);
  op->value.len = mqlog__partition_row__pack (&row, op->value.data);
}

static bool
owner_is_presumed_dead (struct mq_owner *owner,
                        const struct partition *partition)
{
  struct sibling *sibling;

  if (!partition->row_known || partition->owner[0] == '\0')
    return true;
  if (strcmp (partition->owner, owner->options.host) == 0)
    return true; /* a previous run of this process */
  sibling = hosts_get_sibling (owner, partition->owner, false);
  if (sibling == NULL || !sibling->row_known)
    return true;
  /* A restarted process does not keep the partitions of its previous run.  */
  if (sibling->boot != partition->owner_boot)
    return true;
  /* A host that is leaving or no longer eligible releases its partitions by
     itself while it is alive.  If it dies first, it stops renewing its row and
     the claim proceeds.  */
  return !peers_is_renewing (owner, sibling);
}

void
take_claim_if_due (struct mq_owner *owner, struct partition *partition)
{
  uint32_t rank;
  uint64_t wait_us;

  if (partition->state != PARTITION_NOT_OWNED
      || owner->now_us < partition->retry_us)
    return;
  if (!owner_is_presumed_dead (owner, partition))
    {
      partition->unowned_us = 0;
      return;
    }
  if (partition->unowned_us == 0)
    partition->unowned_us = owner->now_us;
  if (owner->claiming >= MQ_TAKEOVERS_MAX)
    return;
  rank = peers_own_rank (owner, partition);
  if (peers_count_own (owner) >= peers_fair_share (owner))
    rank += owner->live_hosts;
  wait_us = 1000ULL * MQ_OWNER_RANK_MS * rank;
  if (owner->now_us - partition->unowned_us < wait_us)
    return;
  send_claim (owner, partition);
}

void
take_on_claim_result (struct mq_owner *owner, struct partition *partition,
                      const struct mq_store_result *result)
{
  partition->read_id = 0;
  if (result->status == MQ_STORE_OK && result->row_count == 1)
    {
      partition->row_known = true;
      partition->row_version = result->rows[0].version;
      partition->fence++;
      partition->owner_boot = owner->options.boot;
      if (partition->first == 0)
        partition->first = 1;
      mq_text_replace (owner->partitions, &partition->owner,
                       owner->options.host);
      mq_text_replace (owner->partitions, &partition->address,
                       owner->options.address);
      partition->state = PARTITION_NOT_OWNED;
      owner->claiming--;
      read_start (owner, partition);
      return;
    }
  if (result->status == MQ_STORE_DOWN || result->status == MQ_STORE_LOST)
    durable_store_unavailable (owner);
  /* The claim failed or its result is unknown; the next scan shows the owner,
     which may be this host.  */
  owner->claiming--;
  partition->state = PARTITION_NOT_OWNED;
  partition->retry_us
      = owner->now_us
        + 1000ULL * owner_jitter_ms (owner, MQ_STORE_RETRY_MS, 1, 1000);
  owner->next_scan_us = owner->now_us;
}
