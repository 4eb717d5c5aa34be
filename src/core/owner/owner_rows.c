/* owner_rows.c - applies scanned rows of partitions and owners.

   Needs: owner_parts.h, proto/log.pb-c.h.  */

#include "owner_parts.h"
#include "../memory.h"
#include <stdlib.h>
#include <string.h>

/* ---- Rows ---- */

static void
copy_senders (struct mq_owner *owner, struct partition *partition,
              const Mqlog__PartitionRow *row)
{
  talloc_free (partition->senders);
  /* One extra entry for this run, which a claim adds.  */
  partition->senders = talloc_zero_array (owner->partitions, char *,
                                          (unsigned int)row->n_senders + 1);
  if (partition->senders == NULL)
    abort ();
  partition->sender_count = row->n_senders;
  for (size_t i = 0; i < row->n_senders; i++)
    partition->senders[i]
        = talloc_strdup (partition->senders, row->senders[i]);
}

static bool
copy_row (struct mq_owner *owner, struct partition *partition,
          const struct mq_row *row)
{
  Mqlog__PartitionRow *value
      = mqlog__partition_row__unpack (NULL, row->value.len, row->value.data);

  if (value == NULL)
    return false;
  if (partition->owner == NULL || strcmp (partition->owner, value->owner) != 0)
    partition->unowned_us = 0;
  partition->row_known = true;
  partition->row_version = row->version;
  partition->fence = value->fence;
  partition->owner_boot = value->owner_boot;
  partition->sequence = value->sequence;
  partition->batch = value->batch;
  partition->checkpoint = value->checkpoint;
  partition->first = value->first;
  mq_text_replace (owner->partitions, &partition->owner, value->owner);
  mq_text_replace (owner->partitions, &partition->address, value->address);
  mq_text_replace (owner->partitions, &partition->checkpoint_key,
                   value->checkpoint_key);
  copy_senders (owner, partition, value);
  mqlog__partition_row__free_unpacked (value, NULL);
  return true;
}

/* Applies a scanned row, which may show that this host lost the partition.
   Rows older than the last known version come from an earlier scan and are
   ignored.  */
static void
apply_partition_row (struct mq_owner *owner, struct partition *partition,
                     const struct mq_row *row)
{
  Mqlog__PartitionRow *value;
  bool lost;

  if (partition->row_known && row->version < partition->row_version)
    return;
  if (partition->state == PARTITION_CLAIMING)
    return;
  if (partition->state == PARTITION_NOT_OWNED)
    {
      if (!copy_row (owner, partition, row))
        return;
      /* This host owns the partition: the result of its claim was lost, or a
         takeover restarts after reading an inconsistent log.  */
      if (partition->owner_boot == owner->options.boot
          && owner->now_us >= partition->retry_us
          && strcmp (partition->owner, owner->options.host) == 0)
        read_start (owner, partition);
      return;
    }
  value = mqlog__partition_row__unpack (NULL, row->value.len, row->value.data);
  if (value == NULL)
    return;
  lost = value->fence != partition->fence;
  mqlog__partition_row__free_unpacked (value, NULL);
  if (!lost)
    return;
  take_on_lost (owner, partition);
  copy_row (owner, partition, row);
}

static void
apply_owner_row (struct mq_owner *owner, const char *host,
                 const struct mq_row *row)
{
  struct sibling *sibling;
  Mqlog__OwnerRow *value;

  if (strcmp (host, owner->options.host) == 0)
    return;
  value = mqlog__owner_row__unpack (NULL, row->value.len, row->value.data);
  if (value == NULL)
    return;
  sibling = hosts_get_sibling (owner, host, true);
  sibling->seen = true;
  if (!sibling->row_known || sibling->counter != value->counter
      || sibling->boot != value->boot)
    sibling->counter_us = owner->now_us;
  sibling->row_known = true;
  sibling->counter = value->counter;
  sibling->boot = value->boot;
  sibling->leaving = value->leaving;
  mq_text_replace (sibling, &sibling->address, value->address);
  mqlog__owner_row__free_unpacked (value, NULL);
}

void
rows_apply_owners (struct mq_owner *owner,
                   const struct mq_store_result *result)
{
  static const char prefix[] = "owner/";

  for (size_t i = 0; i < result->row_count; i++)
    apply_owner_row (owner, result->rows[i].key + sizeof prefix - 1,
                     &result->rows[i]);
  if (result->more && result->row_count > 0)
    {
      mq_text_replace (owner, &owner->owners_after,
                       result->rows[result->row_count - 1].key);
      tick_scan_owners (owner);
      return;
    }
  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    if (!s->seen)
      s->row_known = false;
  peers_update_eligible (owner);
}

void
rows_apply_partitions (struct mq_owner *owner,
                       const struct mq_store_result *result)
{
  for (size_t i = 0; i < result->row_count; i++)
    {
      unsigned long number
          = strtoul (result->rows[i].key + strlen ("part/"), NULL, 10);

      if (number < owner->partition_count)
        apply_partition_row (owner, &owner->partitions[number],
                             &result->rows[i]);
    }
  peers_count_owned (owner);
}

/* Restarts the lease timers of other hosts: their renewals cannot be observed
   while the store is unavailable.  */
void
rows_scan_failed (struct mq_owner *owner)
{
  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    s->counter_us = owner->now_us;
  durable_store_unavailable (owner);
}

/* Restarts the lease timers of other hosts after this process was paused until
   NOW_US.  */
void
rows_on_pause (struct mq_owner *owner, uint64_t now_us)
{
  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    s->counter_us = now_us;
}
