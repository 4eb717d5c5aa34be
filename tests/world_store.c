/* world_store.c - the simulated table with its faults, and operators that
   apply configurations by compare-and-swap.

   Needs: world_state.h.  */

#include "world_state.h"
#include "../proto/log.pb-c.h"
#include <stdlib.h>
#include <string.h>

#define TABLE_DELAY_MIN_US (1 * MS)
#define TABLE_DELAY_MAX_US (3 * MS)
#define OPERATOR_BACKOFF_US (400 * MS)

enum
{
  APPLY_ID_BYTES = 16,
  VERSION_BYTES = 8,
  WRITE_MAX = 1 << 20
};

static const char base_text[]
    = "[site]\n"
      "name = matrix\n"
      "partitions = 4\n"
      "lease_ms = 2000\n"
      "cache_lease_ms = 4000\n"
      "[organisation diagne]\n"
      "key_sha256 = "
      "00000000000000000000000000000000000000000000000000000000000000a1\n"
      "[organisation zarqa]\n"
      "key_sha256 = "
      "00000000000000000000000000000000000000000000000000000000000000b2\n"
      "[service guide]\n"
      "kind = agent\n"
      "depends = guide-models, lookup, records, letters\n"
      "budget_tokens = 4000\n"
      "[service letters]\n"
      "kind = agent\n"
      "depends = guide-models, lookup, records\n"
      "budget_tokens = 2000\n"
      "[service desk]\n"
      "kind = agent\n"
      "priority = urgent\n"
      "depends = guide-models\n"
      "budget_tokens = 2000\n"
      "[service notices]\n"
      "kind = agent\n"
      "priority = batch\n"
      "depends = guide-models\n"
      "budget_tokens = 2000\n"
      "[service looper]\n"
      "kind = agent\n"
      "depends = guide-models, lookup\n"
      "budget_tokens = 150\n"
      "budget_turns = 40\n"
      "[service guide-models]\n"
      "kind = model\n"
      "model = guide\n"
      "max_tokens = 24\n"
      "timeout_ms = 2000\n"
      "retry_percent = 100\n"
      "[service lookup]\n"
      "kind = tool\n"
      "path = /lookup\n"
      "idempotent = yes\n"
      "timeout_ms = 1500\n"
      "retry_percent = 100\n"
      "[service records]\n"
      "kind = plain\n"
      "timeout_ms = 1500\n"
      "retry_percent = 100\n"
      "[route records.submit]\n"
      "path = /submit\n"
      "idempotent = no\n";

/* ---- Requests ---- */

static struct mq_bytes
copy_bytes (TALLOC_CTX *ctx, struct mq_bytes from)
{
  struct mq_bytes copy = { .len = from.len };

  copy.data = talloc_memdup (ctx, from.len == 0 ? "" : (void *)from.data,
                             from.len + (from.len == 0));
  return copy;
}

static struct mq_store_request *
copy_request (TALLOC_CTX *ctx, const struct mq_store_request *from)
{
  struct mq_store_request *to = talloc_memdup (ctx, from, sizeof *from);

  to->key = from->key == NULL ? NULL : talloc_strdup (to, from->key);
  to->after = from->after == NULL ? NULL : talloc_strdup (to, from->after);
  to->value = copy_bytes (to, from->value);
  to->ops = talloc_zero_array (to, struct mq_store_op,
                               (unsigned int)from->op_count);
  for (size_t i = 0; i < from->op_count; i++)
    {
      to->ops[i] = from->ops[i];
      to->ops[i].key = talloc_strdup (to, from->ops[i].key);
      to->ops[i].value = copy_bytes (to, from->ops[i].value);
    }
  return to;
}

static void
push_result (struct world *world, const struct world_event *from,
             struct mq_store_result *result, uint64_t in_us)
{
  struct world_event *event
      = world_event_create (world, EVENT_STORE_RESULT, from->index);

  event->run = from->run;
  event->index = from->index;
  event->requester = from->requester;
  event->result = talloc_steal (event, result);
  world_push (world, event, world->now_us + in_us);
}

static void
push_failure (struct world *world, const struct world_event *from,
              enum mq_store_status status, uint64_t in_us)
{
  struct mq_store_result *result = talloc_zero (world, struct mq_store_result);

  result->id = from->request->id;
  result->status = status;
  push_result (world, from, result, in_us);
}

static bool
is_write (const struct mq_store_request *request)
{
  return request->kind == MQ_STORE_TXN || request->kind == MQ_STORE_PUT
         || request->kind == MQ_STORE_DELETE;
}

/* Stops the run at a write that is far larger than any expected one; the state
   machine is looping and its writes would keep growing.  */
static bool
is_excessive_write (struct world *world, int host,
                    const struct mq_store_request *request)
{
  size_t len = request->value.len;

  for (size_t i = 0; i < request->op_count; i++)
    len += request->ops[i].value.len;
  if (len < WRITE_MAX)
    return false;
  world_report_violation (
      world, INVARIANT_BECOMES_IDLE, "%s writes %zu bytes in one request",
      host == NO_HOST ? "operator" : world->hosts[host].name, len);
  world->finished = true;
  return true;
}

static bool
is_commit (const struct mq_store_request *request)
{
  for (size_t i = 0; i < request->op_count; i++)
    if (strncmp (request->ops[i].key, "log/", 4) == 0)
      return true;
  return false;
}

static uint32_t
live_hosts (const struct world *world)
{
  uint32_t count = 0;

  for (int i = 0; i < HOSTS; i++)
    count += world->hosts[i].alive;
  return count;
}

static void
check_load (struct world *world)
{
  struct world_load *peak = &world->report->centre_peak;
  const struct world_load *load = &world->load;
  uint32_t hosts = live_hosts (world);

  peak->reads = load->reads > peak->reads ? load->reads : peak->reads;
  peak->writes = load->writes > peak->writes ? load->writes : peak->writes;
  peak->commits
      = load->commits > peak->commits ? load->commits : peak->commits;
  if (load->reads > hosts * LOAD_HOST_READS + PARTITIONS * LOAD_PARTITION_READS
      || load->writes
             > hosts * LOAD_HOST_WRITES + PARTITIONS * LOAD_PARTITION_WRITES)
    world_report_violation (
        world, INVARIANT_LOAD,
        "%u hosts make %u reads and %u writes in one second", hosts,
        load->reads, load->writes);
}

/* Counts store requests per second while a data centre is down.  */
static void
record_load (struct world *world, int host,
             const struct mq_store_request *request)
{
  uint64_t since_us = world->now_us - world->centre_dead_us;

  if (world->centre_dead_us == 0 || host == NO_HOST || world->replayed
      || since_us >= DATA_CENTRE_RESTART_US)
    return;
  if (since_us / SECOND != world->load_second)
    {
      check_load (world);
      memset (&world->load, 0, sizeof world->load);
      world->load_second = since_us / SECOND;
    }
  if (!is_write (request))
    world->load.reads += world->cell->plant == PLANT_READS_REPEATED ? 10 : 1;
  else if (request->kind != MQ_STORE_TXN || is_commit (request))
    world->load.commits++;
  else
    world->load.writes++;
}

/* Sends a request to the table.  Sets the event's FLAG if the reply is to
   be lost.  */
void
store_send (struct world *world, int host, enum requester requester,
            const struct mq_store_request *request)
{
  struct world_event *event;
  uint32_t run = host == NO_HOST ? 0 : world->hosts[host].run;
  enum delivery_fault delivery_fault;
  uint64_t delay_us
      = world_delay (world, TABLE_DELAY_MIN_US, TABLE_DELAY_MAX_US);

  if (is_excessive_write (world, host, request))
    return;
  record_load (world, host, request);
  fault_store_step (world, host, requester, request);
  delivery_fault = fault_next_store_delivery (world, host, request);
  if (host != NO_HOST
      && (!world_is_current_run (world, host, run)
          || world->hosts[host].actions_deferred))
    return;
  /* Arrives even if its sender crashes meanwhile.  */
  event = world_event_create (world, EVENT_STORE_REQUEST, NO_HOST);
  event->index = host;
  event->run = run;
  event->requester = requester;
  event->request = copy_request (event, request);
  world_trace (world, "%s to the table: %s %s",
               host == NO_HOST ? "operator" : world->hosts[host].name,
               is_write (request) ? "write" : "read",
               request->kind == MQ_STORE_TXN && request->op_count > 0
                   ? request->ops[0].key
                   : request->key);
  if (delivery_fault == DELIVERY_REPLY_LOST)
    event->flag = true;
  if (delivery_fault == DELIVERY_APPLIED_LATE)
    {
      event->flag = true;
      delay_us = STORE_TIMEOUT_US + 700 * MS;
    }
  if (event->flag)
    {
      struct world_event *lost
          = world_event_create (world, EVENT_STORE_RESULT, host);

      lost->index = host;
      lost->requester = requester;
      lost->result = talloc_zero (lost, struct mq_store_result);
      lost->result->id = request->id;
      lost->result->status = MQ_STORE_LOST;
      world_push (world, lost, world->now_us + STORE_TIMEOUT_US);
      world_extend_faults (world, world->now_us + STORE_TIMEOUT_US + SECOND);
    }
  world_push (world, event, world->now_us + delay_us);
}

/* Reports a commit as applied but drops it (seeded bug).  */
static bool
inject_dropped_commit (struct world *world, const struct world_event *event)
{
  struct mq_store_result *result;

  if (world->cell->plant != PLANT_COMMIT_DROPPED || !is_commit (event->request)
      || world->now_us < 2 * SECOND)
    return false;
  result = talloc_zero (world, struct mq_store_result);
  result->id = event->request->id;
  result->rows = talloc_zero_array (result, struct mq_row,
                                    (unsigned int)event->request->op_count);
  result->row_count = event->request->op_count;
  for (size_t i = 0; i < result->row_count; i++)
    {
      result->rows[i].key = talloc_strdup (result, event->request->ops[i].key);
      result->rows[i].version = 1000000 + event->number;
    }
  push_result (world, event, result, TABLE_DELAY_MIN_US);
  return true;
}

static void
inject_ignored_condition (struct world *world,
                          struct mq_store_request *request)
{
  if (world->cell->plant != PLANT_CONDITION_IGNORED || !is_commit (request))
    return;
  for (size_t i = 0; i < request->op_count; i++)
    request->ops[i].if_version = MQ_VERSION_ANY;
}

/* Removes the last program of a checkpoint (seeded bug).  */
static void
inject_truncated_checkpoint (struct world *world,
                             struct mq_store_request *request)
{
  Mqlog__Checkpoint *checkpoint;
  size_t count;

  if (world->cell->plant != PLANT_CHECKPOINT_CUT
      || request->kind != MQ_STORE_PUT
      || strncmp (request->key, "ckpt/", 5) != 0)
    return;
  checkpoint = mqlog__checkpoint__unpack (NULL, request->value.len,
                                          request->value.data);
  if (checkpoint == NULL)
    return;
  count = checkpoint->n_programs;
  if (count > 0)
    checkpoint->n_programs--;
  request->value.len
      = mqlog__checkpoint__pack (checkpoint, request->value.data);
  checkpoint->n_programs = count;
  mqlog__checkpoint__free_unpacked (checkpoint, NULL);
}

/* Refuses claims for a while after the owner crashed (seeded bug).  */
static bool
inject_claim_refusal (struct world *world, const struct world_event *event)
{
  const struct mq_store_request *request = event->request;

  if (world->cell->plant != PLANT_CLAIM_REFUSED || !world->script_done
      || request->kind != MQ_STORE_TXN || is_commit (request)
      || strncmp (request->ops[0].key, "part/", 5) != 0
      || world->now_us > 14 * SECOND)
    return false;
  push_failure (world, event, MQ_STORE_DOWN, TABLE_DELAY_MIN_US);
  return true;
}

/* Refuses renewals after the outage, so that live owners seem dead (seeded
   bug).  */
static bool
inject_renewal_refusal (struct world *world, const struct world_event *event)
{
  const struct mq_store_request *request = event->request;

  if (world->cell->plant != PLANT_RENEWALS_REFUSED
      || world->outage_until_us == 0 || request->kind != MQ_STORE_TXN
      || strncmp (request->ops[0].key, "owner/", 6) != 0
      || event->index != world->last_owner[0]
      || world->now_us > world->outage_until_us + 15 * SECOND)
    return false;
  push_failure (world, event, MQ_STORE_DOWN, TABLE_DELAY_MIN_US);
  return true;
}

static bool
inject_ignored_removal (struct world *world, const struct world_event *event)
{
  if (world->cell->plant != PLANT_REMOVAL_SKIPPED
      || event->request->kind != MQ_STORE_DELETE)
    return false;
  push_failure (world, event, MQ_STORE_OK, TABLE_DELAY_MIN_US);
  return true;
}

/* Returns the batch of a log row, read from its object if it has one.  */
static struct mq_bytes
read_log_row (struct world *world, const char *key)
{
  struct mq_row *rows = NULL;
  size_t count = 0;
  struct mq_bytes value = { NULL, 0 };
  Mqlog__Batch *batch;

  mq_table_scan (world->table, world, key, NULL, 1, &rows, &count);
  if (count == 0 || strcmp (rows[0].key, key) != 0)
    return value;
  value = rows[0].value;
  batch = mqlog__batch__unpack (NULL, value.len, value.data);
  if (batch != NULL && batch->object[0] != '\0')
    mq_table_get (world->table, world, batch->object, &value);
  if (batch != NULL)
    mqlog__batch__free_unpacked (batch, NULL);
  return value;
}

/* Keeps the batches of log rows that a checkpoint replaces.  Returns their
   number; they are kept only if the request applies.  */
static size_t
record_removed_batches (struct world *world,
                        const struct mq_store_request *request)
{
  size_t noted = 0;

  for (size_t i = 0; i < request->op_count; i++)
    {
      const struct mq_store_op *op = &request->ops[i];

      if (!op->remove || strncmp (op->key, "log/", 4) != 0)
        continue;
      world->removed
          = talloc_realloc (world, world->removed, struct mq_bytes,
                            (unsigned int)(world->removed_count + noted + 1));
      world->removed[world->removed_count + noted]
          = read_log_row (world, op->key);
      noted++;
    }
  return noted;
}

/* Records the programs that end in a batch.  */
static void
record_program_ends (struct world *world,
                     const struct mq_store_request *request)
{
  for (size_t i = 0; i < request->op_count; i++)
    {
      const char *key = request->ops[i].key;
      struct mq_bytes value;
      Mqlog__Batch *batch;

      if (request->ops[i].remove || strncmp (key, "log/", 4) != 0)
        continue;
      value = read_log_row (world, key);
      batch = mqlog__batch__unpack (NULL, value.len, value.data);
      for (size_t r = 0; batch != NULL && r < batch->n_records; r++)
        {
          Mqlog__Record *record = mqlog__record__unpack (
              NULL, batch->records[r].len, batch->records[r].data);
          struct mq_id program;

          if (record == NULL)
            continue;
          program.hi = record->hi;
          program.lo = record->lo;
          if (record->body_case == MQLOG__RECORD__BODY_ANSWERED
              && record->answered->ended)
            worker_on_program_end (world, program);
          mqlog__record__free_unpacked (record, NULL);
        }
      if (batch != NULL)
        mqlog__batch__free_unpacked (batch, NULL);
    }
}

static void
record_fence (struct world *world, const char *key, uint64_t fence)
{
  uint64_t *had = &world->fences[strtoul (key + 5, NULL, 10) % PARTITIONS];

  if (fence < *had)
    world_report_violation (
        world, INVARIANT_FENCE, "%s decreases from %llu to %llu", key,
        (unsigned long long)*had, (unsigned long long)fence);
  *had = fence;
}

/* Records the log position when a checkpoint was installed.  */
static void
record_checkpoint (struct world *world, const struct mq_store_request *request)
{
  for (size_t i = 0; i < request->op_count; i++)
    {
      const struct mq_store_op *op = &request->ops[i];
      struct installed *at;
      Mqlog__PartitionRow *row;

      if (op->remove || strncmp (op->key, "part/", 5) != 0)
        continue;
      at = &world->installed[strtoul (op->key + 5, NULL, 10) % PARTITIONS];
      row = mqlog__partition_row__unpack (NULL, op->value.len, op->value.data);
      if (row == NULL)
        continue;
      record_fence (world, op->key, row->fence);
      if (row->checkpoint > at->checkpoint)
        {
          at->checkpoint = row->checkpoint;
          at->sequence = row->sequence;
        }
      mqlog__partition_row__free_unpacked (row, NULL);
    }
}

/* Executes a request at the table.  */
void
store_serve (struct world *world, const struct world_event *event)
{
  struct mq_store_result *result;
  uint64_t delay_us
      = world_delay (world, TABLE_DELAY_MIN_US, TABLE_DELAY_MAX_US);
  size_t noted;

  if (world->store_down)
    {
      if (!event->flag)
        push_failure (world, event, MQ_STORE_DOWN, delay_us);
      return;
    }
  if (inject_dropped_commit (world, event)
      || inject_ignored_removal (world, event)
      || inject_claim_refusal (world, event)
      || inject_renewal_refusal (world, event))
    return;
  inject_ignored_condition (world, event->request);
  inject_truncated_checkpoint (world, event->request);
  result = talloc_zero (world, struct mq_store_result);
  noted = record_removed_batches (world, event->request);
  mq_table_execute (world->table, result, event->request, result);
  if (result->status == MQ_STORE_OK)
    {
      world->removed_count += noted;
      record_checkpoint (world, event->request);
      record_program_ends (world, event->request);
    }
  world_trace (world, "table: %s for %s",
               result->status == MQ_STORE_CONFLICT ? "conflict" : "served",
               event->index == NO_HOST ? "operator"
                                       : world->hosts[event->index].name);
  if (world->store_slow)
    delay_us
        += world_delay (world, SLOW_STORE_DELAY_US / 2, SLOW_STORE_DELAY_US);
  if (event->flag)
    talloc_free (result);
  else
    push_result (world, event, result, delay_us);
}

static void operator_result (struct world *world, struct world_operator *who,
                             const struct mq_store_result *result);

void
store_done (struct world *world, const struct world_event *event)
{
  struct mq_owner_input owner
      = { .type = MQ_OWNER_STORE, .now_us = world->now_us };
  struct mq_spread_input spread
      = { .type = MQ_SPREAD_STORE, .now_us = world->now_us };

  owner.u.store = event->result;
  spread.u.store = event->result;
  switch (event->requester)
    {
    case REQUESTER_OWNER:
      world_owner_input (world, event->host, &owner);
      break;
    case REQUESTER_SPREAD:
      world_spread_input (world, event->host, &spread);
      break;
    case REQUESTER_OPERATOR:
      for (int i = 0; i < OPERATORS; i++)
        if (event->result->id >> 32 == (uint64_t)i + 1)
          operator_result (world, &world->operators[i], event->result);
      break;
    }
}

/* ---- Configuration row ---- */

static struct mq_bytes
make_row (TALLOC_CTX *ctx, uint64_t version, const uint8_t *id,
          const char *text)
{
  struct mq_bytes value;

  value.len = MQ_CONFIG_HEADER + strlen (text);
  value.data = talloc_zero_array (ctx, uint8_t, (unsigned int)value.len);
  for (int i = 0; i < VERSION_BYTES; i++)
    value.data[i] = (uint8_t)(version >> (8 * (VERSION_BYTES - 1 - i)));
  memcpy (value.data + VERSION_BYTES, id, APPLY_ID_BYTES);
  memcpy (value.data + MQ_CONFIG_HEADER, text, strlen (text));
  return value;
}

static uint64_t
row_version (struct mq_bytes value)
{
  uint64_t version = 0;

  for (int i = 0; i < VERSION_BYTES; i++)
    version = version << 8 | value.data[i];
  return version;
}

void
store_create (struct world *world)
{
  uint8_t id[APPLY_ID_BYTES] = { 0 };
  struct mq_store_op op = { .key = (char *)MQ_CONFIG_KEY };
  uint64_t version;

  world->table = mq_table_create (world);
  op.value = make_row (world, 1, id, base_text);
  mq_table_transact (world->table, &op, 1, &version, NULL);
}

/* ---- Operators ---- */

/* An operator reads the configuration and writes on that base.  After a lost
   reply it checks by the ID whether its write was applied.  */
static void
operator_schedule (struct world *world, struct world_operator *who,
                   uint64_t in_us)
{
  struct world_event *event
      = world_event_create (world, EVENT_OPERATOR, NO_HOST);

  event->index = who->index;
  world_push (world, event, world->now_us + in_us);
}

void
operator_apply (struct world *world, int operator_index)
{
  struct world_operator *who = &world->operators[operator_index];

  who->index = operator_index;
  who->applies_left++;
  if (who->state == OPERATOR_DONE || who->state == OPERATOR_IDLE)
    {
      who->state = OPERATOR_READING;
      operator_schedule (world, who, world->now_us == 0 ? 2 * SECOND : 1);
    }
}

static uint64_t
operator_request_id (struct world *world, const struct world_operator *who)
{
  return (uint64_t)(who->index + 1) << 32 | ++world->next_store_id;
}

static void
operator_read (struct world *world, struct world_operator *who)
{
  struct mq_store_request request = { .kind = MQ_STORE_SCAN, .limit = 1 };

  request.id = operator_request_id (world, who);
  request.key = (char *)MQ_CONFIG_KEY;
  store_send (world, NO_HOST, REQUESTER_OPERATOR, &request);
}

static void
operator_write (struct world *world, struct world_operator *who)
{
  struct mq_store_op op = { .key = (char *)MQ_CONFIG_KEY };
  struct mq_store_request request
      = { .kind = MQ_STORE_TXN, .ops = &op, .op_count = 1 };

  op.if_version = who->base_row;
  op.value = who->value;
  request.id = operator_request_id (world, who);
  who->state = OPERATOR_WRITING;
  store_send (world, NO_HOST, REQUESTER_OPERATOR, &request);
}

void
operator_wake (struct world *world, const struct world_event *event)
{
  struct world_operator *who = &world->operators[event->index];

  if (who->state == OPERATOR_WRITING)
    operator_write (world, who);
  else if (who->state != OPERATOR_DONE)
    operator_read (world, who);
}

static void
operator_compose (struct world *world, struct world_operator *who,
                  const struct mq_row *row)
{
  char *text;

  for (int i = 0; i < APPLY_ID_BYTES; i++)
    who->id[i] = (uint8_t)mq_random_next (&world->random);
  who->base_row = row->version;
  who->version = row_version (row->value) + 1;
  text = talloc_asprintf (world, "%s# operator %d, apply %u\n", base_text,
                          who->index, ++who->applies);
  who->value = make_row (world, who->version, who->id, text);
  talloc_free (text);
}

static void
operator_accepted (struct world *world, struct world_operator *who)
{
  struct accepted *accepted;

  world->accepted = talloc_realloc (world, world->accepted, struct accepted,
                                    (unsigned int)world->accepted_count + 1);
  accepted = &world->accepted[world->accepted_count++];
  accepted->version = who->version;
  memcpy (accepted->id, who->id, APPLY_ID_BYTES);
  world_trace (world, "operator %d: version %llu is accepted", who->index,
               (unsigned long long)who->version);
}

/* Continues after an apply was accepted, conflicted or ended unknown.  */
static void
operator_next (struct world *world, struct world_operator *who)
{
  who->applies_left--;
  who->state = who->applies_left > 0 ? OPERATOR_READING : OPERATOR_DONE;
  if (who->applies_left > 0)
    operator_schedule (world, who, OPERATOR_BACKOFF_US);
}

static void
inject_config_revert (struct world *world)
{
  uint8_t id[APPLY_ID_BYTES] = { 0 };
  struct mq_store_op op = { .key = (char *)MQ_CONFIG_KEY };
  uint64_t version;

  if (world->cell->plant != PLANT_APPLY_REVERTED)
    return;
  op.if_version = MQ_VERSION_ANY;
  op.value = make_row (world, 1, id, base_text);
  mq_table_transact (world->table, &op, 1, &version, NULL);
}

static void
operator_wrote (struct world *world, struct world_operator *who,
                const struct mq_store_result *result)
{
  switch (result->status)
    {
    case MQ_STORE_OK:
      operator_accepted (world, who);
      inject_config_revert (world);
      operator_next (world, who);
      break;
    case MQ_STORE_CONFLICT:
      /* The other operator's write won: read again and retry.  */
      who->state = OPERATOR_READING;
      operator_schedule (world, who, OPERATOR_BACKOFF_US);
      break;
    case MQ_STORE_DOWN:
    case MQ_STORE_MISSING:
    case MQ_STORE_REJECTED:
      operator_schedule (world, who, OPERATOR_BACKOFF_US);
      break;
    case MQ_STORE_LOST:
      who->state = OPERATOR_VERIFYING;
      operator_schedule (world, who, OPERATOR_BACKOFF_US);
      break;
    }
}

static void
operator_settled (struct world *world, struct world_operator *who,
                  const struct mq_row *row)
{
  if (memcmp (row->value.data + VERSION_BYTES, who->id, APPLY_ID_BYTES) == 0)
    {
      operator_accepted (world, who);
      operator_next (world, who);
    }
  else if (row->version == who->base_row)
    operator_write (world, who);
  else
    operator_next (world, who); /* it may have been overwritten */
}

static void
operator_result (struct world *world, struct world_operator *who,
                 const struct mq_store_result *result)
{
  if (who->state == OPERATOR_WRITING)
    {
      operator_wrote (world, who, result);
      return;
    }
  if (result->status != MQ_STORE_OK || result->row_count == 0)
    {
      operator_schedule (world, who, OPERATOR_BACKOFF_US);
      return;
    }
  if (who->state == OPERATOR_VERIFYING)
    {
      operator_settled (world, who, &result->rows[0]);
      return;
    }
  operator_compose (world, who, &result->rows[0]);
  operator_write (world, who);
}
