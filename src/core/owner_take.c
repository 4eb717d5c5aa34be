/* owner_take.c - which partitions this host owns: takeover and hand-over.

   A host that seems to be gone is only a hint.  Whoever raises the fence in
   the partition's row by compare-and-swap owns it; the old owner's commits
   then fail on the row's version and its calls on the fence that targets'
   processes have seen.
   Needs: owner_state.h, id.h, proto/log.pb-c.h.  */

#include "owner_state.h"
#include "id.h"
#include "memory.h"
#include <stdlib.h>
#include <string.h>

enum
{
  LOG_PAGE = 256,           /* log rows read at a time */
  ELIGIBLE_KEY = 7,         /* rendezvous key of the hosts that may own */
  SCAN_HOSTS_PER_STEP = 20, /* more hosts scan less often each */
  /* At least; a short lease leaves little time for a slow store.  */
  RENEWALS_PER_LEASE = 2,
  SCANS_PER_LEASE = 2
};

/* ---- Who is there ---- */

static bool
sibling_renews (const struct mq_owner *owner, const struct sibling *sibling)
{
  uint64_t age = owner->now_us - sibling->counter_us;
  uint64_t lease_us = 1000ULL * owner->text->lease_ms;

  if (!sibling->row_known)
    return false;
  if (sibling->peer == 0 && sibling->peer_down_us != 0
      && owner->now_us - sibling->peer_down_us > 1000ULL * MQ_OWNER_DOWN_MS
      && age > 1000ULL * MQ_OWNER_DOWN_MS)
    return false;
  return age <= lease_us;
}

/* May be given partitions.  */
static bool
sibling_is_live (const struct mq_owner *owner, const struct sibling *sibling)
{
  return !sibling->leaving && sibling->eligible
         && sibling_renews (owner, sibling);
}

/* Failure: nobody removes the row of a host that died.  If it counted for
   ever, hosts that are long gone would in time be all that may own, and the
   living ones would refuse to.  A row that stands still counts no more.  */
static bool
is_candidate (const struct mq_owner *owner, const struct sibling *sibling)
{
  return sibling->row_known && !sibling->leaving
         && owner->now_us - sibling->counter_us
                <= 1000ULL * MQ_OWNER_FORGET_MS;
}

static void
set_eligible (struct mq_owner *owner, bool eligible)
{
  if (eligible && !owner->eligible)
    {
      /* Others must see the row move before they see us own.  */
      owner->renewed = false;
      owner->next_renew_us = owner->now_us;
    }
  owner->eligible = eligible;
}

/* Only so many hosts may own partitions, so that the writes of all owners
   fit the store however many entry hosts there are.  */
static void
find_eligible (struct mq_owner *owner)
{
  uint64_t own = mq_rendezvous_weight (owner->options.host, ELIGIBLE_KEY);
  uint32_t better_than_self = 0;

  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    {
      uint64_t weight = mq_rendezvous_weight (s->host, ELIGIBLE_KEY);
      uint32_t better = own > weight ? 1 : 0;

      if (weight > own && is_candidate (owner, s))
        better_than_self++;
      for (struct sibling *t = owner->siblings; t != NULL; t = t->next)
        if (t != s && is_candidate (owner, t)
            && mq_rendezvous_weight (t->host, ELIGIBLE_KEY) > weight)
          better++;
      s->eligible = better < MQ_OWNERS_MAX;
    }
  set_eligible (owner, better_than_self < MQ_OWNERS_MAX);
}

static void
count_owned (struct mq_owner *owner)
{
  owner->live_hosts = owner->leaving || !owner->eligible ? 0 : 1;
  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    {
      s->owned = 0;
      for (uint32_t i = 0; i < owner->partition_count; i++)
        if (owner->partitions[i].owner != NULL
            && strcmp (owner->partitions[i].owner, s->host) == 0)
          s->owned++;
      if (sibling_is_live (owner, s))
        owner->live_hosts++;
    }
}

static uint32_t
count_ours (const struct mq_owner *owner)
{
  uint32_t ours = 0;

  for (uint32_t i = 0; i < owner->partition_count; i++)
    if (owner->partitions[i].state != PARTITION_OTHER)
      ours++;
  return ours;
}

static uint32_t
fair_share (const struct mq_owner *owner)
{
  uint32_t hosts = owner->live_hosts == 0 ? 1 : owner->live_hosts;

  return (owner->partition_count + hosts - 1) / hosts;
}

/* Position of this host among the live ones for the partition, from 0.  */
static uint32_t
own_rank (const struct mq_owner *owner, const struct partition *partition)
{
  uint64_t own = mq_rendezvous_weight (owner->options.host, partition->number);
  uint32_t rank = 0;

  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    if (sibling_is_live (owner, s)
        && mq_rendezvous_weight (s->host, partition->number) > own)
      rank++;
  return rank;
}

/* The live host that holds the fewest partitions; NULL when none would be
   better off than this one.  */
static struct sibling *
find_successor (struct mq_owner *owner, const struct partition *partition)
{
  struct sibling *best = NULL;
  uint64_t best_weight = 0;

  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    {
      uint64_t weight = mq_rendezvous_weight (s->host, partition->number);

      if (!sibling_is_live (owner, s))
        continue;
      if (best != NULL
          && (s->owned > best->owned
              || (s->owned == best->owned && weight <= best_weight)))
        continue;
      best = s;
      best_weight = weight;
    }
  return best;
}

/* ---- Rows ---- */

static void
copy_senders (struct mq_owner *owner, struct partition *partition,
              const Mqlog__PartitionRow *row)
{
  talloc_free (partition->senders);
  /* Room for this run, which a claim adds.  */
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
  mq_text_set (owner->partitions, &partition->owner, value->owner);
  mq_text_set (owner->partitions, &partition->address, value->address);
  mq_text_set (owner->partitions, &partition->checkpoint_key,
               value->checkpoint_key);
  copy_senders (owner, partition, value);
  mqlog__partition_row__free_unpacked (value, NULL);
  return true;
}

static void start_reading (struct mq_owner *owner,
                           struct partition *partition);

/* A row of another owner, or of ours that shows that we lost it.  Rows older
   than what we wrote ourselves are of a scan that began before.  */
static void
read_partition_row (struct mq_owner *owner, struct partition *partition,
                    const struct mq_row *row)
{
  Mqlog__PartitionRow *value;
  bool lost;

  if (partition->row_known && row->version < partition->row_version)
    return;
  if (partition->state == PARTITION_CLAIMING)
    return;
  if (partition->state == PARTITION_OTHER)
    {
      if (!copy_row (owner, partition, row))
        return;
      /* Our own claim whose answer was lost; or what was read before did not
         fit together, then after a pause.  */
      if (partition->owner_boot == owner->options.boot
          && owner->now_us >= partition->retry_us
          && strcmp (partition->owner, owner->options.host) == 0)
        start_reading (owner, partition);
      return;
    }
  value = mqlog__partition_row__unpack (NULL, row->value.len, row->value.data);
  if (value == NULL)
    return;
  lost = value->fence != partition->fence;
  mqlog__partition_row__free_unpacked (value, NULL);
  if (!lost)
    return;
  take_lose (owner, partition);
  copy_row (owner, partition, row);
}

static void
read_owner_row (struct mq_owner *owner, const char *host,
                const struct mq_row *row)
{
  struct sibling *sibling;
  Mqlog__OwnerRow *value;

  if (strcmp (host, owner->options.host) == 0)
    return;
  value = mqlog__owner_row__unpack (NULL, row->value.len, row->value.data);
  if (value == NULL)
    return;
  sibling = hosts_sibling_named (owner, host, true);
  sibling->seen = true;
  if (!sibling->row_known || sibling->counter != value->counter
      || sibling->boot != value->boot)
    sibling->counter_us = owner->now_us;
  sibling->row_known = true;
  sibling->counter = value->counter;
  sibling->boot = value->boot;
  sibling->leaving = value->leaving;
  mq_text_set (sibling, &sibling->address, value->address);
  mqlog__owner_row__free_unpacked (value, NULL);
}

static void send_owners_scan (struct mq_owner *owner);

static void
read_owner_rows (struct mq_owner *owner, const struct mq_store_result *result)
{
  static const char prefix[] = "owner/";

  for (size_t i = 0; i < result->row_count; i++)
    read_owner_row (owner, result->rows[i].key + sizeof prefix - 1,
                    &result->rows[i]);
  if (result->more && result->row_count > 0)
    {
      mq_text_set (owner, &owner->owners_after,
                   result->rows[result->row_count - 1].key);
      send_owners_scan (owner);
      return;
    }
  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    if (!s->seen)
      s->row_known = false;
  find_eligible (owner);
}

static void
read_partition_rows (struct mq_owner *owner,
                     const struct mq_store_result *result)
{
  for (size_t i = 0; i < result->row_count; i++)
    {
      unsigned long number
          = strtoul (result->rows[i].key + strlen ("part/"), NULL, 10);

      if (number < owner->partition_count)
        read_partition_row (owner, &owner->partitions[number],
                            &result->rows[i]);
    }
  count_owned (owner);
}

/* While the store can't be read, nobody's counter can be seen to move;
   the time of the outage must not count against them.  */
static void
scan_failed (struct mq_owner *owner)
{
  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    s->counter_us = owner->now_us;
  log_store_failed (owner);
}

/* This process stood still until NOW_US.  */
void
take_paused (struct mq_owner *owner, uint64_t now_us)
{
  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    s->counter_us = now_us;
}

/* ---- Losing and releasing ---- */

static void
drop_programs (struct mq_owner *owner, struct partition *partition)
{
  struct running *running;
  size_t position = 0;

  if (partition->programs == NULL)
    return;
  while ((running = mq_idmap_next (partition->programs, &position)) != NULL)
    {
      request_detach (owner, running);
      calls_drop (owner, running);
      if (running->program->state != MQ_PROGRAM_ENDED)
        chain_count_live (owner, running, -1);
      mq_idmap_remove (owner->running, running->program->id, 0);
    }
  partition->programs = NULL;
  TALLOC_FREE (partition->memory);
}

static void
forget_partition (struct mq_owner *owner, struct partition *partition)
{
  if (partition->state == PARTITION_CLAIMING
      || partition->state == PARTITION_READING
      || partition->state == PARTITION_RECOVER)
    owner->claiming--;
  log_drop_partition (owner, partition);
  partition->state = PARTITION_OTHER;
  partition->read_id = 0;
  partition->takeover = NULL;
  drop_programs (owner, partition);
}

void
take_lose (struct mq_owner *owner, struct partition *partition)
{
  owner->counters.partitions_lost++;
  owner_state (owner, MQ_STATE_PARTITION_LOST, partition->number, "");
  log_drop_hooks (owner, partition);
  forget_partition (owner, partition);
  partition->row_known = false;
  partition->row_version = 0;
  mq_text_set (owner->partitions, &partition->owner, "");
  owner->next_scan_us = owner->now_us;
}

void
take_released (struct mq_owner *owner, struct partition *partition)
{
  struct sibling *successor = find_successor (owner, partition);
  struct mq_message message = { .type = MQ_MSG_HANDOVER };
  uint32_t number = partition->number;

  owner_state (owner, MQ_STATE_PARTITION_RELEASED, number,
               successor == NULL ? "" : successor->host);
  /* Callers that are sent away are told where to ask next.  */
  mq_text_set (owner->partitions, &partition->owner, "");
  mq_text_set (owner->partitions, &partition->address,
               successor == NULL ? "" : successor->address);
  forget_partition (owner, partition);
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
take_handover (struct mq_owner *owner, const struct mq_handover_msg *handover)
{
  for (size_t i = 0; i < handover->partition_count; i++)
    {
      uint32_t number = handover->partitions[i];

      if (number >= owner->partition_count)
        continue;
      /* Its row must be read first: the claim is conditional on it.  */
      owner->partitions[number].unowned_us = 1;
    }
  owner->next_scan_us = owner->now_us;
}

/* ---- Claiming ---- */

/* Calls may go out under the new fence before its first batch: whoever takes
   over next must ask the targets of this run too.  */
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
  request = owner_store (owner, MQ_STORE_TXN, partition->read_id);
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
owner_seems_gone (struct mq_owner *owner, const struct partition *partition)
{
  struct sibling *sibling;

  if (!partition->row_known || partition->owner[0] == '\0')
    return true;
  if (strcmp (partition->owner, owner->options.host) == 0)
    return true; /* an earlier run of this process */
  sibling = hosts_sibling_named (owner, partition->owner, false);
  if (sibling == NULL || !sibling->row_known)
    return true;
  /* A new run of that process holds nothing of the earlier one.  */
  if (sibling->boot != partition->owner_boot)
    return true;
  /* One that leaves, or may no longer own, gives its partitions up by
     itself as long as it lives.  Failure: it dies before it has; its row
     then stands still like any other dead owner's.  */
  return !sibling_renews (owner, sibling);
}

static void
consider_claim (struct mq_owner *owner, struct partition *partition)
{
  uint32_t rank;
  uint64_t wait_us;

  if (partition->state != PARTITION_OTHER
      || owner->now_us < partition->retry_us)
    return;
  if (!owner_seems_gone (owner, partition))
    {
      partition->unowned_us = 0;
      return;
    }
  if (partition->unowned_us == 0)
    partition->unowned_us = owner->now_us;
  if (owner->claiming >= MQ_TAKEOVERS_MAX)
    return;
  rank = own_rank (owner, partition);
  if (count_ours (owner) >= fair_share (owner))
    rank += owner->live_hosts;
  wait_us = 1000ULL * MQ_OWNER_RANK_MS * rank;
  if (owner->now_us - partition->unowned_us < wait_us)
    return;
  send_claim (owner, partition);
}

static void
claim_result (struct mq_owner *owner, struct partition *partition,
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
      mq_text_set (owner->partitions, &partition->owner, owner->options.host);
      mq_text_set (owner->partitions, &partition->address,
                   owner->options.address);
      partition->state = PARTITION_OTHER;
      owner->claiming--;
      start_reading (owner, partition);
      return;
    }
  if (result->status == MQ_STORE_DOWN || result->status == MQ_STORE_LOST)
    log_store_failed (owner);
  /* Lost or too late: the next scan shows who owns it, perhaps we.  */
  owner->claiming--;
  partition->state = PARTITION_OTHER;
  partition->retry_us
      = owner->now_us
        + 1000ULL * owner_jitter_ms (owner, MQ_STORE_RETRY_MS, 1, 1000);
  owner->next_scan_us = owner->now_us;
}

/* ---- Reading the log ---- */

static void
read_again_later (struct mq_owner *owner, struct partition *partition)
{
  log_store_failed (owner);
  partition->retry_us
      = owner->now_us
        + 1000ULL * owner_jitter_ms (owner, MQ_STORE_RETRY_MS, 1, 1000);
}

static void
send_get (struct mq_owner *owner, struct partition *partition, const char *key)
{
  struct mq_store_request *request;

  partition->read_id = owner_new_id (owner);
  owner->counters.store_reads++;
  request = owner_store (owner, MQ_STORE_GET, partition->read_id);
  request->key = talloc_strdup (owner->actions, key);
}

static void
send_scan (struct mq_owner *owner, struct partition *partition, char *prefix,
           const char *after, uint32_t limit)
{
  struct mq_store_request *request;

  partition->read_id = owner_new_id (owner);
  owner->counters.store_reads++;
  request = owner_store (owner, MQ_STORE_SCAN, partition->read_id);
  request->key = prefix;
  request->after = talloc_strdup (owner->actions, after);
  request->limit = limit;
}

static void start_recover (struct mq_owner *owner,
                           struct partition *partition);

static void
read_next (struct mq_owner *owner, struct partition *partition)
{
  struct takeover *take = partition->takeover;

  switch (take->step)
    {
    case TAKE_CHECKPOINT:
      if (partition->checkpoint_key != NULL
          && partition->checkpoint_key[0] != '\0')
        {
          send_get (owner, partition, partition->checkpoint_key);
          return;
        }
      take->step = TAKE_ROWS;
      break;
    case TAKE_ROWS:
    case TAKE_OBJECTS:
    case TAKE_TARGETS:
      break;
    }
  if (take->step == TAKE_ROWS)
    {
      send_scan (
          owner, partition,
          talloc_asprintf (owner->actions, "log/%05u/", partition->number),
          take->after, LOG_PAGE);
      return;
    }
  if (take->step == TAKE_OBJECTS)
    {
      while (take->row_next < take->row_count
             && take->rows[take->row_next].object == NULL)
        take->row_next++;
      if (take->row_next < take->row_count)
        {
          send_get (owner, partition, take->rows[take->row_next].object);
          return;
        }
      take->step = TAKE_TARGETS;
    }
  send_scan (owner, partition,
             talloc_asprintf (owner->actions, "targets/%s",
                              partition->senders[take->sender_next]),
             "", 1);
}

static void
start_reading (struct mq_owner *owner, struct partition *partition)
{
  struct takeover *take;

  partition->state = PARTITION_READING;
  partition->retry_us = 0;
  owner->claiming++;
  partition->memory = talloc_new (owner);
  partition->programs = mq_idmap_create (partition->memory);
  partition->records_since_checkpoint = 0;
  take = talloc_zero (partition->memory, struct takeover);
  if (take == NULL)
    abort ();
  take->step = TAKE_CHECKPOINT;
  take->after = talloc_asprintf (take, "log/%05u/%012llu", partition->number,
                                 (unsigned long long)partition->checkpoint);
  partition->takeover = take;
  read_next (owner, partition);
}

/* Starts over: what was read does not fit together.  */
static void
read_afresh (struct mq_owner *owner, struct partition *partition)
{
  forget_partition (owner, partition);
  partition->retry_us = owner->now_us + 1000ULL * MQ_STORE_RETRY_MAX_MS;
  owner->next_scan_us = owner->now_us;
}

static bool
read_checkpoint (struct mq_owner *owner, struct partition *partition,
                 const struct mq_store_result *result)
{
  Mqlog__Checkpoint *checkpoint = mqlog__checkpoint__unpack (
      NULL, result->value.len, result->value.data);

  if (checkpoint == NULL)
    return false;
  for (size_t i = 0; i < checkpoint->n_programs; i++)
    chain_add (owner, partition,
               mq_program_unpack (partition->memory, checkpoint->programs[i]));
  mqlog__checkpoint__free_unpacked (checkpoint, NULL);
  return true;
}

static void
keep_log_row (struct takeover *take, const struct mq_row *row)
{
  Mqlog__Batch *batch
      = mqlog__batch__unpack (NULL, row->value.len, row->value.data);
  struct read_batch *kept;

  take->rows = talloc_realloc (take, take->rows, struct read_batch,
                               (unsigned int)take->row_count + 1);
  if (take->rows == NULL)
    abort ();
  kept = &take->rows[take->row_count++];
  memset (kept, 0, sizeof *kept);
  talloc_free (take->after);
  take->after = talloc_strdup (take, row->key);
  if (batch == NULL)
    return;
  kept->sequence = batch->sequence;
  if (batch->object[0] != '\0')
    kept->object = talloc_strdup (take, batch->object);
  kept->bytes.data = talloc_memdup (take, row->value.data, row->value.len);
  kept->bytes.len = row->value.len;
  mqlog__batch__free_unpacked (batch, NULL);
}

static void
keep_segment (struct partition *partition, const struct read_batch *row)
{
  struct segment *segment;

  if (row->object == NULL)
    return;
  segment = talloc_zero (partition->memory, struct segment);
  segment->sequence = row->sequence;
  segment->object = talloc_strdup (segment, row->object);
  segment->next = partition->segments;
  partition->segments = segment;
}

static bool
replay_batch (struct mq_owner *owner, struct partition *partition,
              const struct mq_bytes *bytes)
{
  Mqlog__Batch *batch = mqlog__batch__unpack (NULL, bytes->len, bytes->data);
  bool whole = batch != NULL;

  for (size_t i = 0; whole && i < batch->n_records; i++)
    {
      Mqlog__Record *record = mqlog__record__unpack (
          NULL, batch->records[i].len, batch->records[i].data);

      if (record == NULL)
        whole = false;
      else
        take_apply (owner, partition, record);
      partition->records_since_checkpoint++;
      mqlog__record__free_unpacked (record, NULL);
    }
  if (batch != NULL)
    mqlog__batch__free_unpacked (batch, NULL);
  return whole;
}

/* Every batch from the checkpoint to the row's sequence must be there:
   a gap would lose a part of some program's history in silence.  */
static bool
replay (struct mq_owner *owner, struct partition *partition)
{
  struct takeover *take = partition->takeover;
  uint64_t expected = partition->checkpoint;

  for (size_t i = 0; i < take->row_count; i++)
    {
      if (take->rows[i].sequence != ++expected)
        return false;
      if (!replay_batch (owner, partition, &take->rows[i].bytes))
        return false;
      keep_segment (partition, &take->rows[i]);
    }
  return expected == partition->sequence;
}

static void
add_wait (struct takeover *take, const char *host, uint64_t boot)
{
  struct recover_wait *wait;

  take->waits = talloc_realloc (take, take->waits, struct recover_wait,
                                (unsigned int)take->wait_count + 1);
  if (take->waits == NULL)
    abort ();
  wait = &take->waits[take->wait_count++];
  wait->host = talloc_strdup (take, host);
  wait->boot = boot;
  wait->answered = false;
}

static void
keep_targets (struct partition *partition,
              const struct mq_store_result *result)
{
  struct takeover *take = partition->takeover;
  char *key = talloc_asprintf (take, "targets/%s",
                               partition->senders[take->sender_next]);

  for (size_t i = 0; i < result->row_count; i++)
    {
      Mqlog__TargetsRow *row;

      if (strcmp (result->rows[i].key, key) != 0)
        continue;
      row = mqlog__targets_row__unpack (NULL, result->rows[i].value.len,
                                        result->rows[i].value.data);
      if (row == NULL)
        continue;
      for (size_t j = 0; j < row->n_hosts && j < row->n_boots; j++)
        add_wait (take, row->hosts[j], row->boots[j]);
      mqlog__targets_row__free_unpacked (row, NULL);
    }
}

static void
read_result (struct mq_owner *owner, struct partition *partition,
             const struct mq_store_result *result)
{
  struct takeover *take = partition->takeover;

  partition->read_id = 0;
  if (result->status != MQ_STORE_OK)
    {
      read_again_later (owner, partition);
      return;
    }
  log_store_worked (owner);
  switch (take->step)
    {
    case TAKE_CHECKPOINT:
      if (!read_checkpoint (owner, partition, result))
        {
          read_afresh (owner, partition);
          return;
        }
      take->step = TAKE_ROWS;
      break;
    case TAKE_ROWS:
      for (size_t i = 0; i < result->row_count; i++)
        keep_log_row (take, &result->rows[i]);
      if (!result->more)
        take->step = TAKE_OBJECTS;
      break;
    case TAKE_OBJECTS:
      {
        struct read_batch *row = &take->rows[take->row_next++];

        row->bytes.data
            = talloc_memdup (take, result->value.data, result->value.len);
        row->bytes.len = result->value.len;
        break;
      }
    case TAKE_TARGETS:
      keep_targets (partition, result);
      if (++take->sender_next < partition->sender_count)
        break;
      if (!replay (owner, partition))
        {
          read_afresh (owner, partition);
          return;
        }
      start_recover (owner, partition);
      return;
    }
  read_next (owner, partition);
}

/* ---- Asking targets' processes ---- */

static void
send_recover (struct mq_owner *owner, struct partition *partition,
              struct target *target)
{
  struct mq_message message = { .type = MQ_MSG_RECOVER };

  message.u.recover.partition = partition->number;
  message.u.recover.fence = partition->fence;
  hosts_send (owner, target, &message);
}

static bool
all_recovered (const struct takeover *take)
{
  for (size_t i = 0; i < take->wait_count; i++)
    if (!take->waits[i].answered)
      return false;
  return true;
}

static void
activate (struct mq_owner *owner, struct partition *partition)
{
  struct running **all;
  size_t count = mq_idmap_count (partition->programs);
  size_t position = 0;
  bool exact = all_recovered (partition->takeover);

  owner->claiming--;
  owner->counters.takeovers++;
  partition->state = PARTITION_ACTIVE;
  partition->takeover = NULL;
  owner_state (owner, MQ_STATE_PARTITION_OWNED, partition->number, "");
  /* The programs are listed first: going on may add sub-programs.  */
  all = talloc_array (owner->actions, struct running *, (unsigned int)count);
  for (size_t i = 0; i < count; i++)
    all[i] = mq_idmap_next (partition->programs, &position);
  for (size_t i = 0; i < count; i++)
    if (!exact)
      chain_forfeit (owner, all[i]);
  for (size_t i = 0; i < count; i++)
    calls_resume (owner, all[i]);
  log_flush (owner);
}

static void
start_recover (struct mq_owner *owner, struct partition *partition)
{
  partition->state = PARTITION_RECOVER;
  partition->takeover->recover_until_us
      = owner->now_us + 1000ULL * MQ_RECOVER_MS;
  for (struct target *t = owner->targets; t != NULL; t = t->next)
    if (t->peer != 0)
      send_recover (owner, partition, t);
  if (all_recovered (partition->takeover))
    activate (owner, partition);
}

void
take_recovered (struct mq_owner *owner, struct target *target,
                const struct mq_recovered_msg *recovered)
{
  struct partition *partition;

  if (recovered->partition >= owner->partition_count)
    return;
  partition = &owner->partitions[recovered->partition];
  if (recovered->fence > partition->fence)
    {
      /* A newer owner was there before us; the row will say who.  */
      owner->next_scan_us = owner->now_us;
      return;
    }
  for (size_t i = 0; i < recovered->running_count; i++)
    calls_adopt (owner, target, recovered->running[i], partition->number);
  if (partition->state != PARTITION_RECOVER)
    return;
  for (size_t i = 0; i < partition->takeover->wait_count; i++)
    if (strcmp (partition->takeover->waits[i].host, target->host) == 0
        && partition->takeover->waits[i].boot == recovered->boot)
      partition->takeover->waits[i].answered = true;
  if (all_recovered (partition->takeover))
    activate (owner, partition);
}

/* A target's process may keep outcomes that were meant for an earlier owner
   or were lost with the connection: it is asked for them.  */
void
take_target_up (struct mq_owner *owner, struct target *target)
{
  for (uint32_t i = 0; i < owner->partition_count; i++)
    {
      struct partition *partition = &owner->partitions[i];

      if (partition->state == PARTITION_RECOVER
          || partition->state == PARTITION_ACTIVE)
        send_recover (owner, partition, target);
    }
}

/* ---- Applying records ---- */

static void
charge_ancestors (struct running *running, const Mqlog__Record *record)
{
  bool outcome = record->body_case == MQLOG__RECORD__BODY_OUTCOME;

  if (record->body_case == MQLOG__RECORD__BODY_FORFEITED)
    return;
  for (struct running *up = running->parent; up != NULL; up = up->parent)
    {
      up->program->spent += record->charge;
      if (outcome)
        up->program->turns++;
    }
}

void
take_apply (struct mq_owner *owner, struct partition *partition,
            const Mqlog__Record *record)
{
  struct mq_id id = { record->hi, record->lo };
  struct running *running = mq_idmap_find (partition->programs, id, 0);

  if (record->body_case == MQLOG__RECORD__BODY_OPENED)
    {
      if (running == NULL)
        chain_add (owner, partition,
                   mq_program_open (partition->memory, id, record->opened));
      return;
    }
  if (running == NULL)
    return;
  if (running->program->state != MQ_PROGRAM_ENDED
      && record->body_case == MQLOG__RECORD__BODY_ANSWERED
      && record->answered->ended)
    chain_count_live (owner, running, -1);
  mq_program_apply (running->program, record);
  charge_ancestors (running, record);
  owner->counters.tokens_spent += record->charge;
}

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
  request = owner_store (owner, MQ_STORE_TXN, owner->renew_id);
  request->ops = talloc_zero_array (owner->actions, struct mq_store_op, 1);
  request->op_count = 1;
  op = &request->ops[0];
  op->key = talloc_asprintf (owner->actions, "owner/%s", owner->options.host);
  op->if_version = MQ_VERSION_ANY;
  len = mqlog__owner_row__get_packed_size (&row);
  op->value.data = talloc_array (owner->actions, uint8_t, (unsigned int)len);
  op->value.len = mqlog__owner_row__pack (&row, op->value.data);
}

/* Calls go only to runs of targets' processes that are in this row.  Failure:
   a program spends its budget twice after a takeover, since the new owner
   believed that it had heard from everyone.  With the row it knows whom it
   must hear, and that a process that was restarted since can't tell.  */
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
  for (struct former_run *f = owner->formers; f != NULL; f = f->next)
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
  for (struct former_run *f = owner->formers; f != NULL; f = f->next)
    {
      row.boots[row.n_boots++] = f->boot;
      row.hosts[row.n_hosts++] = f->host;
    }
  owner->targets_dirty = false;
  owner->targets_id = owner_new_id (owner);
  request = owner_store (owner, MQ_STORE_TXN, owner->targets_id);
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
targets_result (struct mq_owner *owner, enum mq_store_status status)
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
      hosts_target_usable (owner, t);
    }
}

static void
send_owners_scan (struct mq_owner *owner)
{
  struct mq_store_request *request;

  owner->owners_scan_id = owner_new_id (owner);
  request = owner_store (owner, MQ_STORE_SCAN, owner->owners_scan_id);
  request->key = talloc_strdup (owner->actions, "owner/");
  if (owner->owners_after != NULL)
    request->after = talloc_strdup (owner->actions, owner->owners_after);
  request->limit = MQ_PARTITIONS_MAX;
}

/* Whether others may wait for this host's row to stand still.  */
static bool
is_owner (const struct mq_owner *owner)
{
  return owner->eligible || count_ours (owner) > 0;
}

/* The rows of those that may not own only say that they are there.  */
static uint32_t
renew_ms (const struct mq_owner *owner)
{
  uint32_t ms = owner->text->lease_ms / RENEWALS_PER_LEASE;

  if (!owner->leaving && !is_owner (owner))
    return MQ_OWNER_STANDBY_MS;
  return ms < MQ_OWNER_RENEW_MS ? ms : MQ_OWNER_RENEW_MS;
}

/* Failure: an owner that reads the rows less often than a lease lasts sees
   every other one stand still in between, and takes partitions over from
   the living.  So owners read at least twice in a lease, however many hosts
   there are; those that may not own only look where to send callers.  */
static uint32_t
scan_ms (const struct mq_owner *owner)
{
  uint32_t hosts = 1;
  uint32_t ms;

  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    hosts++;
  ms = MQ_OWNER_SCAN_MS * (1 + hosts / SCAN_HOSTS_PER_STEP);
  if (is_owner (owner) && ms > owner->text->lease_ms / SCANS_PER_LEASE)
    ms = owner->text->lease_ms / SCANS_PER_LEASE;
  return ms;
}

static void
send_scans (struct mq_owner *owner)
{
  struct mq_store_request *request;

  owner->next_scan_us
      = owner->now_us
        + 1000ULL * owner_jitter_ms (owner, scan_ms (owner), 0, UINT32_MAX);
  owner->counters.store_reads += 2;
  TALLOC_FREE (owner->owners_after);
  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    s->seen = false;
  send_owners_scan (owner);
  owner->partitions_scan_id = owner_new_id (owner);
  request = owner_store (owner, MQ_STORE_SCAN, owner->partitions_scan_id);
  request->key = talloc_strdup (owner->actions, "part/");
  request->limit = MQ_PARTITIONS_MAX;
}

/* Reads the partitions' rows for the answers that wait for it.  Owners take
   turns by a pause that grows with their number, so that all of them
   together leave the store's reads to others.  */
static void
send_confirm (struct mq_owner *owner)
{
  struct mq_store_request *request;

  owner->confirm_sent_us = owner->now_us;
  owner->next_confirm_us
      = owner->now_us + 1000ULL * MQ_CONFIRM_MS * (1 + owner->live_hosts);
  owner->counters.store_reads++;
  owner->confirm_id = owner_new_id (owner);
  request = owner_store (owner, MQ_STORE_SCAN, owner->confirm_id);
  request->key = talloc_strdup (owner->actions, "part/");
  request->limit = MQ_PARTITIONS_MAX;
}

static void
confirm_result (struct mq_owner *owner, const struct mq_store_result *result)
{
  owner->confirm_id = 0;
  if (result->status != MQ_STORE_OK)
    {
      scan_failed (owner);
      return;
    }
  log_store_worked (owner);
  read_partition_rows (owner, result);
  request_confirmed (owner, owner->confirm_sent_us);
}

void
take_confirm (struct mq_owner *owner)
{
  if (owner->replies != NULL && owner->confirm_id == 0
      && owner->now_us >= owner->next_confirm_us)
    send_confirm (owner);
}

/* Gives up one partition a while when this host holds more than its share,
   so that a host that comes back gets work again.  */
static void
balance (struct mq_owner *owner)
{
  if (owner->now_us < owner->release_us || !owner->scanned)
    return;
  owner->release_us = owner->now_us + 1000ULL * MQ_BALANCE_MS;
  if (!owner->leaving
      && (owner->claiming > 0
          || (owner->eligible && count_ours (owner) <= fair_share (owner))))
    return;
  for (uint32_t i = 0; i < owner->partition_count; i++)
    {
      struct partition *partition = &owner->partitions[i];
      struct sibling *successor;

      if (partition->state == PARTITION_RELEASING)
        return;
      if (partition->state != PARTITION_ACTIVE)
        continue;
      successor = find_successor (owner, partition);
      if (successor == NULL || successor->owned >= fair_share (owner))
        continue;
      partition->state = PARTITION_RELEASING;
      return;
    }
}

static void
release_all (struct mq_owner *owner)
{
  for (uint32_t i = 0; i < owner->partition_count; i++)
    if (owner->partitions[i].state == PARTITION_ACTIVE)
      owner->partitions[i].state = PARTITION_RELEASING;
}

bool
take_is_drained (const struct mq_owner *owner)
{
  if (!owner->leaving)
    return false;
  for (uint32_t i = 0; i < owner->partition_count; i++)
    if (owner->partitions[i].state != PARTITION_OTHER)
      return false;
  return true;
}

static void
partition_tick (struct mq_owner *owner, struct partition *partition)
{
  switch (partition->state)
    {
    case PARTITION_OTHER:
      if (!owner->leaving && owner->eligible && owner->renewed
          && owner->scanned)
        consider_claim (owner, partition);
      break;
    case PARTITION_READING:
      if (partition->read_id == 0 && owner->now_us >= partition->retry_us)
        read_next (owner, partition);
      break;
    case PARTITION_RECOVER:
      if (owner->now_us >= partition->takeover->recover_until_us)
        activate (owner, partition);
      break;
    case PARTITION_CLAIMING:
    case PARTITION_ACTIVE:
    case PARTITION_RELEASING:
      break;
    }
}

void
take_tick (struct mq_owner *owner)
{
  if (owner->text == NULL)
    return;
  if (owner->renew_id == 0 && owner->now_us >= owner->next_renew_us)
    {
      owner->next_renew_us = owner->now_us + 1000ULL * renew_ms (owner);
      send_renewal (owner);
    }
  hosts_formers_tick (owner);
  if (owner->targets_dirty && owner->targets_id == 0
      && owner->now_us >= owner->targets_retry_us)
    send_targets (owner);
  if (owner->owners_scan_id == 0 && owner->partitions_scan_id == 0
      && owner->now_us >= owner->next_scan_us)
    send_scans (owner);
  take_confirm (owner);
  request_unconfirmed (owner);
  count_owned (owner);
  for (uint32_t i = 0; i < owner->partition_count; i++)
    partition_tick (owner, &owner->partitions[i]);
  if (owner->leaving)
    release_all (owner);
  else
    balance (owner);
}

static void
scan_result (struct mq_owner *owner, const struct mq_store_result *result,
             bool owners)
{
  if (owners)
    owner->owners_scan_id = 0;
  else
    owner->partitions_scan_id = 0;
  if (result->status != MQ_STORE_OK)
    {
      scan_failed (owner);
      return;
    }
  log_store_worked (owner);
  if (owners)
    {
      read_owner_rows (owner, result);
      if (owner->owners_scan_id == 0)
        owner->owners_scanned_us = owner->now_us;
      return;
    }
  read_partition_rows (owner, result);
  if (owner->owners_scanned_us != 0)
    owner->scanned = true;
}

bool
take_store_result (struct mq_owner *owner,
                   const struct mq_store_result *result)
{
  if (result->id == owner->confirm_id)
    {
      confirm_result (owner, result);
      return true;
    }
  if (result->id == owner->owners_scan_id
      || result->id == owner->partitions_scan_id)
    {
      scan_result (owner, result, result->id == owner->owners_scan_id);
      return true;
    }
  if (result->id == owner->renew_id)
    {
      owner->renew_id = 0;
      if (result->status == MQ_STORE_OK)
        owner->renewed = true;
      else
        log_store_failed (owner);
      return true;
    }
  if (result->id == owner->targets_id)
    {
      targets_result (owner, result->status);
      return true;
    }
  for (uint32_t i = 0; i < owner->partition_count; i++)
    {
      struct partition *partition = &owner->partitions[i];

      if (partition->read_id != result->id)
        continue;
      if (partition->state == PARTITION_CLAIMING)
        claim_result (owner, partition, result);
      else if (partition->state == PARTITION_READING)
        read_result (owner, partition, result);
      return true;
    }
  return false;
}

void
take_set_partitions (struct mq_owner *owner, uint32_t count)
{
  /* The number is fixed for the life of a site: a text that changes it is
     refused before it comes here.  */
  if (owner->partitions != NULL)
    return;
  owner->partitions = talloc_zero_array (owner, struct partition, count);
  if (owner->partitions == NULL)
    abort ();
  owner->partition_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      owner->partitions[i].number = i;
      mq_text_set (owner->partitions, &owner->partitions[i].owner, "");
    }
}

static uint64_t
earlier (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

uint64_t
take_next_tick (const struct mq_owner *owner)
{
  uint64_t next = owner->now_us + 250000;

  if (owner->text == NULL)
    return next;
  if (owner->renew_id == 0)
    next = earlier (next, owner->next_renew_us);
  if (owner->owners_scan_id == 0 && owner->partitions_scan_id == 0)
    next = earlier (next, owner->next_scan_us);
  if (owner->replies != NULL && owner->confirm_id == 0)
    next = earlier (next, owner->next_confirm_us);
  if (owner->claiming > 0 || owner->leaving)
    next = earlier (next, owner->now_us + 20000);
  for (uint32_t i = 0; i < owner->partition_count; i++)
    if (owner->partitions[i].state == PARTITION_OTHER
        && owner->partitions[i].unowned_us != 0)
      next = earlier (next, owner->now_us + 50000);
  return next;
}
