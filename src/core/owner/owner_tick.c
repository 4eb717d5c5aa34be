/* owner_tick.c - periodic work of an owner: lease renewals, scans,
   confirmation reads and rebalancing.

   Needs: owner_parts.h, id.h.  */

#include "owner_parts.h"
#include "../memory.h"
#include <stdlib.h>

enum
{
  /* Each group of this many hosts adds MQ_OWNER_SCAN_MS to the interval.  */
  HOSTS_PER_SCAN_INTERVAL = 20,
  /* Minimum rates; they leave time for a slow store within a lease.  */
  RENEWALS_PER_LEASE = 2,
  SCANS_PER_LEASE = 2
};

/* ---- Ticks ---- */

static void
send_renewal (struct mq_owner *owner)
{
  Mqlog__OwnerRow row = MQLOG__OWNER_ROW__INIT;
  struct mq_store_request *request;
  struct mq_store_op *op;
  size_t len;

  row.address = (char *)owner->options.address;
  row.boot = owner->options.boot;
  row.counter = ++owner->row_counter;
  row.leaving = owner->leaving;
  row.data_centre = (char *)owner->options.data_centre;
  owner->renew_id = owner_new_id (owner);
  request = owner_add_store_request (owner, MQ_STORE_TXN, owner->renew_id);
  request->ops = talloc_zero_array (owner->actions, struct mq_store_op, 1);
  request->op_count = 1;
  op = &request->ops[0];
  op->key = talloc_asprintf (owner->actions, "owner/%s", owner->options.host);
  op->if_version = MQ_VERSION_ANY;
  len = mqlog__owner_row__get_packed_size (&row);
  op->value.data = talloc_array (owner->actions, uint8_t, (unsigned int)len);
  op->value.len = mqlog__owner_row__pack (&row, op->value.data);
}

/* Writes the runs of targets' processes that calls may be sent to.  A new
   owner must hear from every run in this row, or counts the grants as spent.
   If a run were missing, its tokens could be spent twice after a takeover.  */
static void
send_targets (struct mq_owner *owner)
{
  Mqlog__TargetsRow row = MQLOG__TARGETS_ROW__INIT;
  struct mq_store_request *request;
  struct mq_store_op *op;
  unsigned int count = 0;
  size_t len;

  for (struct target *t = owner->targets; t != NULL; t = t->next)
    count++;
  for (struct former_run *f = owner->former_runs; f != NULL; f = f->next)
    count++;
  row.hosts = talloc_array (owner->actions, char *, count);
  row.boots = talloc_array (owner->actions, uint64_t, count);
  for (struct target *t = owner->targets; t != NULL; t = t->next)
    {
      t->sent_boot = t->settled ? 0 : t->boot;
      if (t->sent_boot == 0)
        continue;
      row.boots[row.n_boots++] = t->boot;
      row.hosts[row.n_hosts++] = t->host;
    }
  for (struct former_run *f = owner->former_runs; f != NULL; f = f->next)
    {
      row.boots[row.n_boots++] = f->boot;
      row.hosts[row.n_hosts++] = f->host;
    }
  owner->targets_dirty = false;
  owner->targets_id = owner_new_id (owner);
  request = owner_add_store_request (owner, MQ_STORE_TXN, owner->targets_id);
  request->ops = talloc_zero_array (owner->actions, struct mq_store_op, 1);
  request->op_count = 1;
  op = &request->ops[0];
  op->key = talloc_asprintf (owner->actions, "targets/%s", owner->run);
  op->if_version = MQ_VERSION_ANY;
  len = mqlog__targets_row__get_packed_size (&row);
  op->value.data
      = talloc_array (owner->actions, uint8_t, (unsigned int)(len + 1));
  op->value.len = mqlog__targets_row__pack (&row, op->value.data);
}

static void
on_targets_written (struct mq_owner *owner, enum mq_store_status status)
{
  owner->targets_id = 0;
  if (status != MQ_STORE_OK)
    {
      owner->targets_dirty = true;
      owner->targets_retry_us = owner->now_us + 1000ULL * MQ_STORE_RETRY_MS;
      return;
    }
  for (struct target *t = owner->targets; t != NULL; t = t->next)
    {
      t->durable_boot = t->sent_boot;
      hosts_on_target_usable (owner, t);
    }
}

void
tick_scan_owners (struct mq_owner *owner)
{
  struct mq_store_request *request;

  owner->owners_scan_id = owner_new_id (owner);
  request
      = owner_add_store_request (owner, MQ_STORE_SCAN, owner->owners_scan_id);
  request->key = talloc_strdup (owner->actions, "owner/");
  if (owner->owners_after != NULL)
    request->after = talloc_strdup (owner->actions, owner->owners_after);
  request->limit = MQ_PARTITIONS_MAX;
}

/* Whether other hosts may rely on this host's row being renewed.  */
static bool
may_hold_partitions (const struct mq_owner *owner)
{
  return owner->eligible || peers_count_own (owner) > 0;
}

/* Ineligible hosts only announce their presence, so they renew less often.  */
static uint32_t
renew_interval_ms (const struct mq_owner *owner)
{
  uint32_t ms = owner->text->lease_ms / RENEWALS_PER_LEASE;

  if (!owner->leaving && !may_hold_partitions (owner))
    return MQ_OWNER_STANDBY_MS;
  return ms < MQ_OWNER_RENEW_MS ? ms : MQ_OWNER_RENEW_MS;
}

/* Hosts that may hold partitions scan at least SCANS_PER_LEASE times per
   lease.  At a lower rate every other owner would seem to have stopped
   renewing, and partitions of live owners would be claimed.  Ineligible hosts
   scan only to redirect callers.  */
static uint32_t
scan_interval_ms (const struct mq_owner *owner)
{
  uint32_t hosts = 1;
  uint32_t ms;

  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    hosts++;
  ms = MQ_OWNER_SCAN_MS * (1 + hosts / HOSTS_PER_SCAN_INTERVAL);
  if (may_hold_partitions (owner)
      && ms > owner->text->lease_ms / SCANS_PER_LEASE)
    ms = owner->text->lease_ms / SCANS_PER_LEASE;
  return ms;
}

static void
send_scans (struct mq_owner *owner)
{
  struct mq_store_request *request;

  owner->next_scan_us
      = owner->now_us
        + 1000ULL
              * owner_jitter_ms (owner, scan_interval_ms (owner), 0,
                                 UINT32_MAX);
  owner->counters.store_reads += 2;
  TALLOC_FREE (owner->owners_after);
  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    s->seen = false;
  tick_scan_owners (owner);
  owner->partitions_scan_id = owner_new_id (owner);
  request = owner_add_store_request (owner, MQ_STORE_SCAN,
                                     owner->partitions_scan_id);
  request->key = talloc_strdup (owner->actions, "part/");
  request->limit = MQ_PARTITIONS_MAX;
}

/* Reads the partition rows to confirm ownership for queued replies.  The
   interval grows with the number of owners to limit the total read rate of the
   store.  */
static void
send_confirmation_read (struct mq_owner *owner)
{
  struct mq_store_request *request;

  owner->confirm_sent_us = owner->now_us;
  owner->next_confirm_us
      = owner->now_us + 1000ULL * MQ_CONFIRM_MS * (1 + owner->live_hosts);
  owner->counters.store_reads++;
  owner->confirm_id = owner_new_id (owner);
  request = owner_add_store_request (owner, MQ_STORE_SCAN, owner->confirm_id);
  request->key = talloc_strdup (owner->actions, "part/");
  request->limit = MQ_PARTITIONS_MAX;
}

static void
on_confirmation_read (struct mq_owner *owner,
                      const struct mq_store_result *result)
{
  owner->confirm_id = 0;
  if (result->status != MQ_STORE_OK)
    {
      rows_scan_failed (owner);
      return;
    }
  durable_store_up (owner);
  rows_apply_partitions (owner, result);
  events_on_confirmed (owner, owner->confirm_sent_us);
}

void
tick_start_confirmation (struct mq_owner *owner)
{
  if (owner->replies != NULL && owner->confirm_id == 0
      && owner->now_us >= owner->next_confirm_us)
    send_confirmation_read (owner);
}

/* Releases one partition per MQ_BALANCE_MS if this host holds more than its
   share, so that hosts that joined or returned receive partitions.  */
static void
rebalance (struct mq_owner *owner)
{
  if (owner->now_us < owner->release_us || !owner->scanned)
    return;
  owner->release_us = owner->now_us + 1000ULL * MQ_BALANCE_MS;
  if (!owner->leaving
      && (owner->claiming > 0
          || (owner->eligible
              && peers_count_own (owner) <= peers_fair_share (owner))))
    return;
  for (uint32_t i = 0; i < owner->partition_count; i++)
    {
      struct partition *partition = &owner->partitions[i];
      struct sibling *successor;

      if (partition->state == PARTITION_RELEASING)
        return;
      if (partition->state != PARTITION_ACTIVE)
        continue;
      successor = peers_find_successor (owner, partition);
      if (successor == NULL || successor->owned >= peers_fair_share (owner))
        continue;
      partition->state = PARTITION_RELEASING;
      return;
    }
}

static void
release_all_partitions (struct mq_owner *owner)
{
  for (uint32_t i = 0; i < owner->partition_count; i++)
    if (owner->partitions[i].state == PARTITION_ACTIVE)
      owner->partitions[i].state = PARTITION_RELEASING;
}

bool
tick_is_drained (const struct mq_owner *owner)
{
  if (!owner->leaving)
    return false;
  for (uint32_t i = 0; i < owner->partition_count; i++)
    if (owner->partitions[i].state != PARTITION_NOT_OWNED)
      return false;
  return true;
}

static void
partition_tick (struct mq_owner *owner, struct partition *partition)
{
  switch (partition->state)
    {
    case PARTITION_NOT_OWNED:
      if (!owner->leaving && owner->eligible && owner->renewed
          && owner->scanned)
        take_claim_if_due (owner, partition);
      break;
    case PARTITION_READING:
      if (partition->read_id == 0 && owner->now_us >= partition->retry_us)
        read_send_next (owner, partition);
      break;
    case PARTITION_RECOVERING:
      if (owner->now_us >= partition->takeover->recovery_deadline_us)
        read_activate (owner, partition);
      break;
    case PARTITION_CLAIMING:
    case PARTITION_ACTIVE:
    case PARTITION_RELEASING:
      break;
    }
}

void
tick_owner (struct mq_owner *owner)
{
  if (owner->text == NULL)
    return;
  if (owner->renew_id == 0 && owner->now_us >= owner->next_renew_us)
    {
      owner->next_renew_us
          = owner->now_us + 1000ULL * renew_interval_ms (owner);
      send_renewal (owner);
    }
  hosts_expire_former_runs (owner);
  if (owner->targets_dirty && owner->targets_id == 0
      && owner->now_us >= owner->targets_retry_us)
    send_targets (owner);
  if (owner->owners_scan_id == 0 && owner->partitions_scan_id == 0
      && owner->now_us >= owner->next_scan_us)
    send_scans (owner);
  tick_start_confirmation (owner);
  events_fail_overdue_replies (owner);
  peers_count_owned (owner);
  for (uint32_t i = 0; i < owner->partition_count; i++)
    partition_tick (owner, &owner->partitions[i]);
  if (owner->leaving)
    release_all_partitions (owner);
  else
    rebalance (owner);
}

static void
on_scan_result (struct mq_owner *owner, const struct mq_store_result *result,
                bool owners)
{
  if (owners)
    owner->owners_scan_id = 0;
  else
    owner->partitions_scan_id = 0;
  if (result->status != MQ_STORE_OK)
    {
      rows_scan_failed (owner);
      return;
    }
  durable_store_up (owner);
  if (owners)
    {
      rows_apply_owners (owner, result);
      if (owner->owners_scan_id == 0)
        owner->owners_scanned_us = owner->now_us;
      return;
    }
  rows_apply_partitions (owner, result);
  if (owner->owners_scanned_us != 0)
    owner->scanned = true;
}

bool
tick_store_result (struct mq_owner *owner,
                   const struct mq_store_result *result)
{
  if (result->id == owner->confirm_id)
    {
      on_confirmation_read (owner, result);
      return true;
    }
  if (result->id == owner->owners_scan_id
      || result->id == owner->partitions_scan_id)
    {
      on_scan_result (owner, result, result->id == owner->owners_scan_id);
      return true;
    }
  if (result->id == owner->renew_id)
    {
      owner->renew_id = 0;
      if (result->status == MQ_STORE_OK)
        owner->renewed = true;
      else
        durable_store_unavailable (owner);
      return true;
    }
  if (result->id == owner->targets_id)
    {
      on_targets_written (owner, result->status);
      return true;
    }
  for (uint32_t i = 0; i < owner->partition_count; i++)
    {
      struct partition *partition = &owner->partitions[i];

      if (partition->read_id != result->id)
        continue;
      if (partition->state == PARTITION_CLAIMING)
        take_on_claim_result (owner, partition, result);
      else if (partition->state == PARTITION_READING)
        read_on_result (owner, partition, result);
      return true;
    }
  return false;
}

void
tick_set_partitions (struct mq_owner *owner, uint32_t count)
{
  /* The partition count is fixed for a site; configurations that change it are
     rejected earlier.  */
  if (owner->partitions != NULL)
    return;
  owner->partitions = talloc_zero_array (owner, struct partition, count);
  if (owner->partitions == NULL)
    abort ();
  owner->partition_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      owner->partitions[i].number = i;
      mq_text_replace (owner->partitions, &owner->partitions[i].owner, "");
    }
}

static uint64_t
earlier_us (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

uint64_t
tick_next_us (const struct mq_owner *owner)
{
  uint64_t next = owner->now_us + 250000;

  if (owner->text == NULL)
    return next;
  if (owner->renew_id == 0)
    next = earlier_us (next, owner->next_renew_us);
  if (owner->owners_scan_id == 0 && owner->partitions_scan_id == 0)
    next = earlier_us (next, owner->next_scan_us);
  if (owner->replies != NULL && owner->confirm_id == 0)
    next = earlier_us (next, owner->next_confirm_us);
  if (owner->claiming > 0 || owner->leaving)
    next = earlier_us (next, owner->now_us + 20000);
  for (uint32_t i = 0; i < owner->partition_count; i++)
    if (owner->partitions[i].state == PARTITION_NOT_OWNED
        && owner->partitions[i].unowned_us != 0)
      next = earlier_us (next, owner->now_us + 50000);
  return next;
}
