/* owner.c - input dispatch, timers and status of the partition owner.

   Needs: owner_parts.h, id.h, jansson.  */

#include "owner_parts.h"
#include "../id.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TIMERS_INITIAL_CAPACITY = 256
};

struct mq_owner *
mq_owner_create (TALLOC_CTX *ctx, const struct mq_owner_options *options)
{
  struct mq_owner *owner = talloc_zero (ctx, struct mq_owner);

  if (owner == NULL)
    abort ();
  owner->options = *options;
  owner->options.host = talloc_strdup (owner, options->host);
  owner->options.data_centre = talloc_strdup (owner, options->data_centre);
  owner->options.address = talloc_strdup (owner, options->address);
  if (owner->options.max_programs == 0)
    owner->options.max_programs = MQ_OWNER_PROGRAMS_MAX;
  if (owner->options.checkpoint_records == 0)
    owner->options.checkpoint_records = MQ_CHECKPOINT_RECORDS;
  if (owner->options.commit_inline_bytes == 0)
    owner->options.commit_inline_bytes = MQ_COMMIT_INLINE_BYTES;
  owner->run = talloc_asprintf (owner, "%s/%016llx", options->host,
                                (unsigned long long)options->boot);
  if (owner->run == NULL)
    abort ();
  owner->random = options->seed;
  owner->running = mq_idmap_create (owner);
  owner->targets_by_peer = mq_idmap_create (owner);
  owner->targets_by_name = mq_idmap_create (owner);
  owner->place = mq_place_create (owner, options->seed);
  owner->eligible = true;
  return owner;
}

void
mq_owner_destroy (struct mq_owner *owner)
{
  talloc_free (owner);
}

/* ---- Shared helpers ---- */

uint64_t
owner_new_id (struct mq_owner *owner)
{
  return ++owner->next_request;
}

void
owner_state (struct mq_owner *owner, enum mq_state_change change,
             uint64_t number, const char *subject)
{
  struct mq_action *action = mq_actions_add (owner->actions, MQ_ACT_STATE);

  action->u.state.change = change;
  action->u.state.number = number;
  action->u.state.subject = talloc_strdup (owner->actions, subject);
}

void
owner_record_span (struct mq_owner *owner, const struct running *running,
                   const char *name, uint32_t call, uint64_t start_us,
                   enum mq_error_type error)
{
  struct mq_action *action = mq_actions_add (owner->actions, MQ_ACT_SPAN);

  action->u.span.name = name;
  action->u.span.traceparent
      = talloc_strdup (owner->actions, running->program->traceparent);
  action->u.span.program = running->program->id;
  action->u.span.call = call;
  action->u.span.start_us = start_us;
  action->u.span.end_us = owner->now_us;
  action->u.span.error = error;
}

struct mq_store_request *
owner_add_store_request (struct mq_owner *owner, enum mq_store_kind kind,
                         uint64_t id)
{
  struct mq_action *action = mq_actions_add (owner->actions, MQ_ACT_STORE);

  action->u.store.kind = kind;
  action->u.store.id = id;
  return &action->u.store;
}

/* Exponential backoff with jitter: a random time between half and all of
   BASE_MS * 2^TRIES, of which MOST_MS is the maximum.  */
uint32_t
owner_jitter_ms (struct mq_owner *owner, uint32_t base_ms, uint32_t tries,
                 uint32_t most_ms)
{
  uint64_t wait = (uint64_t)base_ms << (tries < 16 ? tries : 16);

  if (wait > most_ms)
    wait = most_ms;
  return (uint32_t)(wait / 2)
         + mq_random_below (&owner->random, (uint32_t)(wait / 2) + 1);
}

/* ---- Timers of programs: a binary heap ---- */

static void
sift_up (struct timer *timers, size_t at)
{
  while (at > 0 && timers[(at - 1) / 2].when_us > timers[at].when_us)
    {
      struct timer swap = timers[at];

      timers[at] = timers[(at - 1) / 2];
      timers[(at - 1) / 2] = swap;
      at = (at - 1) / 2;
    }
}

static void
sift_down (struct timer *timers, size_t count)
{
  size_t at = 0;

  for (;;)
    {
      size_t least = at;
      struct timer swap;

      for (size_t child = 2 * at + 1; child <= 2 * at + 2; child++)
        if (child < count && timers[child].when_us < timers[least].when_us)
          least = child;
      if (least == at)
        return;
      swap = timers[at];
      timers[at] = timers[least];
      timers[least] = swap;
      at = least;
    }
}

void
owner_set_timer (struct mq_owner *owner, struct running *running,
                 uint64_t when_us)
{
  if (when_us <= owner->now_us)
    when_us = owner->now_us + 1;
  if (running->wake_us != 0 && running->wake_us <= when_us
      && running->wake_us > owner->now_us)
    return;
  running->wake_us = when_us;
  if (owner->timer_count == owner->timer_capacity)
    {
      owner->timer_capacity = owner->timer_capacity == 0
                                  ? TIMERS_INITIAL_CAPACITY
                                  : 2 * owner->timer_capacity;
      owner->timers = talloc_realloc (owner, owner->timers, struct timer,
                                      (unsigned int)owner->timer_capacity);
      if (owner->timers == NULL)
        abort ();
    }
  owner->timers[owner->timer_count].when_us = when_us;
  owner->timers[owner->timer_count].program = running->program->id;
  sift_up (owner->timers, owner->timer_count++);
}

static void
run_timers (struct mq_owner *owner)
{
  while (owner->timer_count > 0 && owner->timers[0].when_us <= owner->now_us)
    {
      struct timer timer = owner->timers[0];
      struct running *running;

      owner->timers[0] = owner->timers[--owner->timer_count];
      sift_down (owner->timers, owner->timer_count);
      running = chain_find (owner, timer.program);
      /* Ended, or replaced by another timer.  */
      if (running == NULL || running->wake_us != timer.when_us)
        continue;
      running->wake_us = 0;
      chain_tick (owner, running);
    }
}

/* ---- Inputs ---- */

static void
handle_tick (struct mq_owner *owner)
{
  if (owner->text == NULL)
    return;
  hosts_tick (owner);
  tick_owner (owner);
  run_timers (owner);
  durable_tick (owner);
}

static void
handle_message (struct mq_owner *owner, uint32_t peer,
                const struct mq_message *message)
{
  struct target *target = hosts_find_target (owner, peer);

  if (message->type == MQ_MSG_HANDOVER)
    {
      take_on_handover (owner, &message->u.handover);
      return;
    }
  if (target == NULL || owner->text == NULL)
    return;
  switch (message->type)
    {
    case MQ_MSG_TOKEN:
      calls_token (owner, target, &message->u.token);
      break;
    case MQ_MSG_OUTCOME:
      calls_outcome (owner, target, &message->u.outcome);
      break;
    case MQ_MSG_SEALED:
      settle_on_seal_reply (owner, target, &message->u.sealed);
      break;
    case MQ_MSG_RECOVERED:
      read_recovered (owner, target, &message->u.recovered);
      break;
    case MQ_MSG_EVICTED:
      evict_on_confirmed (owner, target, message->u.evicted.program);
      break;
    case MQ_MSG_LOAD:
      hosts_on_load (owner, target, &message->u.load);
      break;
    default:
      break;
    }
}

static void
handle_store (struct mq_owner *owner, const struct mq_store_result *result)
{
  if (durable_result (owner, result))
    return;
  tick_store_result (owner, result);
}

static void
handle_text (struct mq_owner *owner, const struct mq_text *text)
{
  bool first = owner->text == NULL;

  owner->text = text;
  tick_set_partitions (owner, text->partitions);
  if (first)
    handle_tick (owner);
}

static void
handle_leave (struct mq_owner *owner)
{
  if (owner->leaving)
    return;
  owner->leaving = true;
  owner->next_renew_us = owner->now_us;
  owner_state (owner, MQ_STATE_LEAVING, 0, owner->options.host);
  handle_tick (owner);
}

void
mq_owner_handle (struct mq_owner *owner, const struct mq_owner_input *input,
                 struct mq_actions *actions)
{
  owner->actions = actions;
  /* A gap between inputs means that this process was paused.  Other hosts must
     not count as dead for renewals that it could not observe.  */
  if (owner->now_us != 0
      && input->now_us > owner->now_us + 1000ULL * MQ_OWNER_RENEW_MS)
    rows_on_pause (owner, input->now_us);
  if (input->now_us > owner->now_us)
    owner->now_us = input->now_us;
  switch (input->type)
    {
    case MQ_OWNER_TICK:
      handle_tick (owner);
      break;
    case MQ_OWNER_CONFIG:
      handle_text (owner, input->u.text);
      break;
    case MQ_OWNER_HOSTS:
      hosts_listed (owner, input->u.hosts);
      break;
    case MQ_OWNER_PEER_UP:
      hosts_on_peer_up (owner, input->peer, input->u.peer_up.host,
                        input->u.peer_up.role, input->u.peer_up.boot);
      break;
    case MQ_OWNER_PEER_DOWN:
      hosts_on_peer_down (owner, input->peer);
      break;
    case MQ_OWNER_MESSAGE:
      handle_message (owner, input->peer, input->u.message);
      break;
    case MQ_OWNER_STORE:
      handle_store (owner, input->u.store);
      break;
    case MQ_OWNER_REQUEST:
      request_handle (owner, input->peer, input->handle, input->u.request);
      break;
    case MQ_OWNER_CALLER_GONE:
      events_on_caller_gone (owner, input->peer, input->handle);
      break;
    case MQ_OWNER_LEAVE:
      handle_leave (owner);
      break;
    }
  if (owner->text != NULL)
    {
      tick_start_confirmation (owner);
      log_flush (owner);
    }
  owner->counters.programs_live = owner->live;
  owner->actions = NULL;
}

uint64_t
mq_owner_next_tick (const struct mq_owner *owner)
{
  uint64_t next = tick_next_us (owner);

  if (owner->timer_count > 0 && owner->timers[0].when_us < next)
    next = owner->timers[0].when_us;
  if (owner->pending_commit.state == COMMIT_BACKOFF
      && owner->pending_commit.retry_us < next)
    next = owner->pending_commit.retry_us;
  return next;
}

/* ---- Queries ---- */

bool
mq_owner_is_drained (const struct mq_owner *owner)
{
  return tick_is_drained (owner) && owner->pending_commit.state == COMMIT_IDLE;
}

bool
mq_owner_owns_partition (const struct mq_owner *owner, uint32_t partition)
{
  return partition < owner->partition_count
         && owner->partitions[partition].state == PARTITION_ACTIVE;
}

const char *
mq_owner_address (const struct mq_owner *owner, uint32_t partition)
{
  const char *address;

  if (partition >= owner->partition_count)
    return NULL;
  address = owner->partitions[partition].address;
  return address == NULL || address[0] == '\0' ? NULL : address;
}

const struct mq_owner_counters *
mq_owner_read_counters (const struct mq_owner *owner)
{
  return &owner->counters;
}

static const char *
partition_state_name (enum partition_state state)
{
  switch (state)
    {
    case PARTITION_NOT_OWNED:
      return "other";
    case PARTITION_CLAIMING:
      return "claiming";
    case PARTITION_READING:
      return "reading";
    case PARTITION_RECOVERING:
      return "recovering";
    case PARTITION_ACTIVE:
      return "active";
    case PARTITION_RELEASING:
      break;
    }
  return "releasing";
}

static json_t *
partitions_json (const struct mq_owner *owner)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < owner->partition_count; i++)
    {
      const struct partition *partition = &owner->partitions[i];
      size_t programs = partition->programs == NULL
                            ? 0
                            : mq_idmap_count (partition->programs);
      json_t *item;

      if (partition->state == PARTITION_NOT_OWNED)
        continue;
      item = json_object ();
      json_object_set_new (item, "partition", json_integer (i));
      json_object_set_new (item, "fence",
                           json_integer ((json_int_t)partition->fence));
      json_object_set_new (
          item, "state",
          json_string (partition_state_name (partition->state)));
      json_object_set_new (item, "programs",
                           json_integer ((json_int_t)programs));
      json_array_append_new (list, item);
    }
  return list;
}

static json_t *
unknown_json (const struct mq_owner *owner)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < owner->unknown_count; i++)
    {
      const struct unknown_call *unknown = &owner->unknown[i];
      json_t *item = json_object ();
      char id[MQ_ID_TEXT];

      mq_id_format (unknown->program, id);
      json_object_set_new (item, "program", json_string (id));
      json_object_set_new (item, "call", json_integer (unknown->call));
      json_object_set_new (item, "service", json_string (unknown->service));
      json_object_set_new (item, "target", json_string (unknown->target));
      json_array_append_new (list, item);
    }
  return list;
}

char *
mq_owner_status (TALLOC_CTX *ctx, const struct mq_owner *owner)
{
  json_t *root = json_object ();
  char *text;
  char *copy;

  json_object_set_new (root, "partitions", partitions_json (owner));
  json_object_set_new (root, "unknown_calls", unknown_json (owner));
  json_object_set_new (root, "store_down", json_boolean (owner->store_down));
  text = json_dumps (root, JSON_COMPACT);
  copy = talloc_strdup (ctx, text);
  free (text);
  json_decref (root);
  return copy;
}
