/* fleet.c - simulated entry hosts with a table, in virtual time.

   Needs: fleet.h, id.h, codec.h.  */

#include "fleet.h"
#include "core/id.h"
#include "net/codec.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOSTS_MAX = 512,
  STORE_US = 2000,
  LEASE_MS = 5000,
  ROUND_TRIP_US = 2000,
  SECOND_US = 1000000,
  FRAME_HEADER = 4,
  BYTES_PER_TOKEN = 4,
  SIBLING_PEER = 100000,
  WORKER_SLOTS = 16
};

static const char config_format[]
    = "[site]\n"
      "name = capacity\n"
      "partitions = %u\n"
      "lease_ms = %u\n"
      "cache_lease_ms = 60000\n"
      "[organisation o]\n"
      "key_sha256 = "
      "00000000000000000000000000000000000000000000000000000000000000a1\n"
      "max_programs = 1000000\n"
      "[service agent]\n"
      "kind = agent\n"
      "depends = m\n"
      "budget_tokens = 1000000000\n"
      "budget_turns = 100000\n"
      "[service m]\n"
      "kind = model\n"
      "model = m\n"
      "max_tokens = 1024\n"
      "timeout_ms = 600000\n";

enum event_type
{
  EVENT_STORE,  /* a store result */
  EVENT_ANSWER, /* a target's tokens and outcome */
  EVENT_MESSAGE /* a message of a target or another host */
};

struct event
{
  uint64_t at_us;
  uint64_t number;
  enum event_type type;
  uint32_t host;
  uint32_t run;
  uint32_t peer;
  struct mq_store_result *result;
  struct mq_message *message;
};

struct host
{
  char name[16];
  char address[32];
  uint32_t run; /* number of starts */
  bool alive;
  struct mq_owner *owner;
  uint64_t tick_us;
};

struct fleet
{
  struct fleet_options options;
  uint64_t now_us;
  struct mq_table *table;
  struct mq_text *text;
  struct host hosts[HOSTS_MAX];
  uint32_t host_count;
  struct mq_host_list list;
  struct event *heap;
  size_t heap_count;
  size_t heap_room;
  uint64_t next_number;
  uint64_t clock_ns; /* cost of reading the clock */
  struct fleet_usage use;
};

/* ---- Events ---- */

static bool
is_before (const struct event *a, const struct event *b)
{
  return a->at_us < b->at_us
         || (a->at_us == b->at_us && a->number < b->number);
}

static void
swap_events (struct event *a, struct event *b)
{
  struct event swap = *a;

  *a = *b;
  *b = swap;
}

static struct event *
push (struct fleet *fleet, enum event_type type, uint32_t host, uint64_t in_us)
{
  size_t at = fleet->heap_count++;

  if (at == fleet->heap_room)
    {
      fleet->heap_room = fleet->heap_room == 0 ? 1024 : 2 * fleet->heap_room;
      fleet->heap = talloc_realloc (fleet, fleet->heap, struct event,
                                    (unsigned int)fleet->heap_room);
    }
  memset (&fleet->heap[at], 0, sizeof fleet->heap[at]);
  fleet->heap[at].at_us = fleet->now_us + in_us;
  fleet->heap[at].number = ++fleet->next_number;
  fleet->heap[at].type = type;
  fleet->heap[at].host = host;
  fleet->heap[at].run = fleet->hosts[host].run;
  while (at > 0 && is_before (&fleet->heap[at], &fleet->heap[(at - 1) / 2]))
    {
      swap_events (&fleet->heap[at], &fleet->heap[(at - 1) / 2]);
      at = (at - 1) / 2;
    }
  return &fleet->heap[at];
}

static struct event
pop (struct fleet *fleet)
{
  struct event first = fleet->heap[0];
  size_t at = 0;

  fleet->heap[0] = fleet->heap[--fleet->heap_count];
  for (;;)
    {
      size_t least = at;

      for (size_t child = 2 * at + 1; child <= 2 * at + 2; child++)
        if (child < fleet->heap_count
            && is_before (&fleet->heap[child], &fleet->heap[least]))
          least = child;
      if (least == at)
        return first;
      swap_events (&fleet->heap[at], &fleet->heap[least]);
      at = least;
    }
}

/* ---- The table ---- */

static uint64_t
request_bytes (const struct mq_store_request *request)
{
  uint64_t bytes = request->value.len;

  for (size_t i = 0; i < request->op_count; i++)
    bytes += strlen (request->ops[i].key) + request->ops[i].value.len;
  return bytes;
}

static uint64_t
result_bytes (const struct mq_store_result *result)
{
  uint64_t bytes = result->value.len;

  for (size_t i = 0; i < result->row_count; i++)
    bytes += strlen (result->rows[i].key) + result->rows[i].value.len;
  return bytes;
}

static void
count_request (struct fleet *fleet, const struct mq_store_request *request,
               const struct mq_store_result *result)
{
  struct fleet_usage *use = &fleet->use;

  if (use->second != fleet->now_us / SECOND_US)
    {
      use->second = fleet->now_us / SECOND_US;
      use->in_second = 0;
    }
  if (++use->in_second > use->peak)
    use->peak = use->in_second;
  if (request->kind == MQ_STORE_SCAN || request->kind == MQ_STORE_GET)
    {
      use->reads++;
      use->bytes_read += result_bytes (result);
      return;
    }
  use->writes++;
  use->bytes_written += request_bytes (request);
}

static void
serve_table_request (struct fleet *fleet, uint32_t host,
                     const struct mq_store_request *request)
{
  struct mq_store_result *result = talloc_zero (fleet, struct mq_store_result);

  mq_table_execute (fleet->table, result, request, result);
  count_request (fleet, request, result);
  push (fleet, EVENT_STORE, host, fleet->options.store_us)->result = result;
}

/* ---- Targets ---- */

static struct mq_message *
start_message (struct fleet *fleet, uint32_t host, uint32_t peer,
               enum mq_message_type type)
{
  struct mq_message *message = talloc_zero (fleet, struct mq_message);
  struct event *event = push (fleet, EVENT_MESSAGE, host, ROUND_TRIP_US);

  event->peer = peer;
  event->message = message;
  message->type = type;
  return message;
}

static void
answer_call (struct fleet *fleet, uint32_t host, uint32_t peer,
             const struct mq_call_msg *call)
{
  struct event *event;

  if (fleet->options.silent)
    return;
  event = push (fleet, EVENT_ANSWER, host, ROUND_TRIP_US);
  event->peer = peer;
  event->message = talloc_zero (fleet, struct mq_message);
  event->message->u.call.ref = call->ref;
  event->message->u.call.partition = call->partition;
  event->message->u.call.fence = call->fence;
}

/* Answers for a target: calls with tokens and an outcome, RECOVER with an
   empty RECOVERED.  */
static void
handle_at_target (struct fleet *fleet, uint32_t host, uint32_t peer,
                  const struct mq_message *message)
{
  struct mq_message *answer;

  if (message->type == MQ_MSG_CALL)
    answer_call (fleet, host, peer, &message->u.call);
  if (message->type == MQ_MSG_RECOVER)
    {
      answer = start_message (fleet, host, peer, MQ_MSG_RECOVERED);
      answer->u.recovered.partition = message->u.recover.partition;
      answer->u.recovered.fence = message->u.recover.fence;
      answer->u.recovered.boot = peer;
    }
}

static void
send_message (struct fleet *fleet, uint32_t host, uint32_t peer,
              const struct mq_message *message)
{
  size_t len = 0;
  uint8_t *data = mq_codec_pack (NULL, message, &len);
  uint32_t *partitions;
  struct mq_message *copy;

  talloc_free (data);
  fleet->use.sent[message->type]++;
  fleet->use.sent_bytes[message->type] += len + FRAME_HEADER;
  if (peer < SIBLING_PEER)
    {
      handle_at_target (fleet, host, peer, message);
      return;
    }
  copy = start_message (fleet, peer - SIBLING_PEER, host + SIBLING_PEER,
                        message->type);
  copy->u.handover = message->u.handover;
  partitions = talloc_memdup (copy, message->u.handover.partitions,
                              message->u.handover.partition_count
                                  * sizeof *partitions);
  copy->u.handover.partitions = partitions;
}

/* ---- Hosts ---- */

static void
execute_actions (struct fleet *fleet, uint32_t host,
                 const struct mq_actions *actions)
{
  for (size_t i = 0; i < actions->count; i++)
    switch (actions->items[i].type)
      {
      case MQ_ACT_SEND:
        send_message (fleet, host, actions->items[i].peer,
                      &actions->items[i].u.message);
        break;
      case MQ_ACT_STORE:
        serve_table_request (fleet, host, &actions->items[i].u.store);
        break;
      default:
        break;
      }
}

static uint64_t
read_counter (uint64_t (*counter) (void))
{
  return counter == NULL ? 0 : counter ();
}

static void
feed (struct fleet *fleet, uint32_t host, enum fleet_kind kind,
      struct mq_owner_input *input)
{
  struct fleet_cost *cost = &fleet->use.cost[kind];
  struct mq_actions *actions;
  uint64_t heap = read_counter (fleet->options.allocations);
  uint64_t start = read_counter (fleet->options.clock_ns);
  uint64_t took;

  input->now_us = fleet->now_us;
  actions = mq_actions_create (NULL);
  mq_owner_handle (fleet->hosts[host].owner, input, actions);
  fleet->hosts[host].tick_us = mq_owner_next_tick (fleet->hosts[host].owner);
  took = read_counter (fleet->options.clock_ns) - start;
  cost->count++;
  cost->ns += took > fleet->clock_ns ? took - fleet->clock_ns : 0;
  cost->allocations += read_counter (fleet->options.allocations) - heap;
  execute_actions (fleet, host, actions);
  talloc_free (actions);
}

static void
feed_message (struct fleet *fleet, uint32_t host, uint32_t peer,
              enum fleet_kind kind, const struct mq_message *message)
{
  struct mq_owner_input input = { .type = MQ_OWNER_MESSAGE, .peer = peer };

  input.u.message = message;
  feed (fleet, host, kind, &input);
}

static void
feed_answer (struct fleet *fleet, const struct event *event)
{
  const struct mq_call_msg *call = &event->message->u.call;
  struct mq_message message = { .type = MQ_MSG_TOKEN };
  struct mq_outcome_msg outcome = { .ref = call->ref };

  for (uint32_t i = 0; i < fleet->options.answer_tokens; i++)
    {
      message.u.token = (struct mq_token_msg){ .ref = call->ref,
                                               .partition = call->partition,
                                               .fence = call->fence,
                                               .index = i,
                                               .text = "four" };
      feed_message (fleet, event->host, event->peer, FLEET_TOKEN, &message);
    }
  outcome.partition = call->partition;
  outcome.fence = call->fence;
  outcome.boot = event->peer;
  outcome.ran = MQ_RAN_RAN;
  outcome.tokens_out = fleet->options.answer_tokens;
  outcome.body = "{\"content\":\"a hundred bytes of an answer, a hundred "
                 "bytes of an answer, a hundred bytes of an answer.\","
                 "\"tool_calls\":[]}";
  message.type = MQ_MSG_OUTCOME;
  message.u.outcome = outcome;
  feed_message (fleet, event->host, event->peer, FLEET_OUTCOME, &message);
}

static void
feed_event (struct fleet *fleet, const struct event *event)
{
  struct mq_owner_input input = { .type = MQ_OWNER_STORE };

  switch (event->type)
    {
    case EVENT_STORE:
      input.u.store = event->result;
      feed (fleet, event->host, FLEET_STORE, &input);
      break;
    case EVENT_ANSWER:
      feed_answer (fleet, event);
      break;
    case EVENT_MESSAGE:
      feed_message (fleet, event->host, event->peer, FLEET_OTHER,
                    event->message);
      break;
    }
}

static uint32_t
next_host (const struct fleet *fleet)
{
  uint32_t best = 0;

  for (uint32_t i = 1; i < fleet->host_count; i++)
    if (fleet->hosts[i].alive
        && (!fleet->hosts[best].alive
            || fleet->hosts[i].tick_us < fleet->hosts[best].tick_us))
      best = i;
  return best;
}

/* Handles one event or tick before UNTIL_US; false when there is none.  */
static bool
step (struct fleet *fleet, uint64_t until_us)
{
  uint32_t host = next_host (fleet);
  uint64_t tick_us
      = fleet->hosts[host].alive ? fleet->hosts[host].tick_us : UINT64_MAX;
  struct mq_owner_input input = { .type = MQ_OWNER_TICK };

  if (fleet->heap_count > 0 && fleet->heap[0].at_us <= tick_us
      && fleet->heap[0].at_us < until_us)
    {
      struct event event = pop (fleet);

      fleet->now_us = event.at_us;
      if (fleet->hosts[event.host].alive
          && fleet->hosts[event.host].run == event.run)
        feed_event (fleet, &event);
      talloc_free (event.result);
      talloc_free (event.message);
      return true;
    }
  if (tick_us >= until_us)
    return false;
  /* An overdue tick is delayed by one millisecond, as in the daemon.  */
  fleet->now_us = tick_us > fleet->now_us ? tick_us : fleet->now_us + 1000;
  feed (fleet, host, FLEET_TICK, &input);
  return true;
}

void
fleet_run (struct fleet *fleet, uint64_t for_us)
{
  uint64_t until_us = fleet->now_us + for_us;

  while (step (fleet, until_us))
    continue;
  fleet->now_us = until_us;
}

/* ---- Connections and lists ---- */

void
fleet_send_host_list (struct fleet *fleet, uint32_t host)
{
  struct mq_owner_input input = { .type = MQ_OWNER_HOSTS };

  input.u.hosts = &fleet->list;
  feed (fleet, host, FLEET_HOSTS, &input);
}

void
fleet_load (struct fleet *fleet, uint32_t host, uint32_t target)
{
  struct mq_worker_load worker
      = { .service = "m", .model = "m", .slots = WORKER_SLOTS };
  struct mq_message message = { .type = MQ_MSG_LOAD };

  worker.running = target % WORKER_SLOTS;
  message.u.load.boot = target + 1;
  message.u.load.workers = &worker;
  message.u.load.worker_count = 1;
  feed_message (fleet, host, target + 1, FLEET_LOAD, &message);
}

static void
connect_peer (struct fleet *fleet, uint32_t host, uint32_t peer,
              const char *name, enum mq_host_role role)
{
  struct mq_owner_input input = { .type = MQ_OWNER_PEER_UP, .peer = peer };

  input.u.peer_up.host = name;
  input.u.peer_up.role = role;
  input.u.peer_up.boot = peer;
  feed (fleet, host, FLEET_OTHER, &input);
}

static void
connect_targets (struct fleet *fleet, uint32_t host)
{
  char name[16];

  for (uint32_t i = 0; i < fleet->options.targets; i++)
    {
      snprintf (name, sizeof name, "t%u", i);
      connect_peer (fleet, host, i + 1, name, MQ_HOST_TARGET);
      fleet_load (fleet, host, i);
    }
}

static void
connect_siblings (struct fleet *fleet, uint32_t host)
{
  for (uint32_t i = 0; i < fleet->host_count; i++)
    {
      if (i == host || !fleet->hosts[i].alive)
        continue;
      connect_peer (fleet, host, SIBLING_PEER + i, fleet->hosts[i].name,
                    MQ_HOST_ENTRY);
      connect_peer (fleet, i, SIBLING_PEER + host, fleet->hosts[host].name,
                    MQ_HOST_ENTRY);
    }
}

void
fleet_start (struct fleet *fleet, uint32_t number)
{
  struct host *host = &fleet->hosts[number];
  struct mq_owner_options options = { .data_centre = "dc" };
  struct mq_owner_input input = { .type = MQ_OWNER_CONFIG };

  if (number >= fleet->host_count)
    fleet->host_count = number + 1;
  snprintf (host->name, sizeof host->name, "e%u", number);
  snprintf (host->address, sizeof host->address, "10.0.%u.%u:7000",
            number / 250, number % 250);
  host->run++;
  host->alive = true;
  options.host = host->name;
  options.address = host->address;
  options.boot = 1000ULL * number + host->run;
  options.seed = options.boot;
  host->owner = mq_owner_create (fleet, &options);
  input.u.text = fleet->text;
  feed (fleet, number, FLEET_OTHER, &input);
  fleet_send_host_list (fleet, number);
  connect_targets (fleet, number);
  if (fleet->options.connected)
    connect_siblings (fleet, number);
}

void
fleet_kill (struct fleet *fleet, uint32_t number)
{
  struct mq_owner_input input
      = { .type = MQ_OWNER_PEER_DOWN, .peer = SIBLING_PEER + number };

  fleet->hosts[number].alive = false;
  fleet->hosts[number].tick_us = UINT64_MAX;
  mq_owner_destroy (fleet->hosts[number].owner);
  fleet->hosts[number].owner = NULL;
  for (uint32_t i = 0; i < fleet->host_count && fleet->options.connected; i++)
    if (fleet->hosts[i].alive)
      feed (fleet, i, FLEET_OTHER, &input);
}

void
fleet_leave (struct fleet *fleet, uint32_t host)
{
  struct mq_owner_input input = { .type = MQ_OWNER_LEAVE };

  feed (fleet, host, FLEET_OTHER, &input);
}

/* ---- Creation and queries ---- */

static void
create_host_list (struct fleet *fleet)
{
  uint32_t count = fleet->options.hosts + fleet->options.targets;

  fleet->list.items = talloc_zero_array (fleet, struct mq_host, count);
  for (uint32_t i = 0; i < count; i++)
    {
      struct mq_host *host = &fleet->list.items[i];
      bool target = i >= fleet->options.hosts;

      host->name
          = target ? talloc_asprintf (fleet, "t%u", i - fleet->options.hosts)
                   : talloc_asprintf (fleet, "e%u", i);
      host->role = target ? MQ_HOST_TARGET : MQ_HOST_ENTRY;
      host->data_centre = "dc";
      host->region = "r";
      host->address = "";
      host->http = "";
    }
  fleet->list.count = count;
}

static uint64_t
measure_clock (uint64_t (*clock_ns) (void))
{
  enum
  {
    TIMES = 2000
  };
  uint64_t start = read_counter (clock_ns);

  for (int i = 0; i < TIMES; i++)
    read_counter (clock_ns);
  return (read_counter (clock_ns) - start) / TIMES;
}

struct fleet *
fleet_create (TALLOC_CTX *ctx, const struct fleet_options *options)
{
  struct fleet *fleet = talloc_zero (ctx, struct fleet);
  struct mq_text_errors errors = { 0 };
  char *text = talloc_asprintf (fleet, config_format, options->partitions,
                                options->lease_ms == 0 ? LEASE_MS
                                                       : options->lease_ms);

  fleet->options = *options;
  if (fleet->options.store_us == 0)
    fleet->options.store_us = STORE_US;
  fleet->now_us = SECOND_US;
  fleet->clock_ns = measure_clock (options->clock_ns);
  fleet->table = mq_table_create (fleet);
  fleet->text = mq_text_parse (fleet, text, strlen (text), &errors);
  if (fleet->text == NULL)
    {
      fprintf (stderr, "fleet: invalid site configuration\n");
      abort ();
    }
  create_host_list (fleet);
  for (uint32_t i = 0; i < options->hosts; i++)
    fleet_start (fleet, i);
  return fleet;
}

uint64_t
fleet_now_us (const struct fleet *fleet)
{
  return fleet->now_us;
}

void
fleet_reset_usage (struct fleet *fleet)
{
  memset (&fleet->use, 0, sizeof fleet->use);
}

const struct fleet_usage *
fleet_read_usage (const struct fleet *fleet)
{
  return &fleet->use;
}

struct mq_owner *
fleet_owner (const struct fleet *fleet, uint32_t host)
{
  return fleet->hosts[host].owner;
}

uint32_t
fleet_partitions_owned (const struct fleet *fleet)
{
  uint32_t owned = 0;

  for (uint32_t p = 0; p < fleet->options.partitions; p++)
    for (uint32_t i = 0; i < fleet->host_count; i++)
      if (fleet->hosts[i].alive
          && mq_owner_owns_partition (fleet->hosts[i].owner, p))
        {
          owned++;
          break;
        }
  return owned;
}

uint64_t
fleet_partitions_lost (const struct fleet *fleet)
{
  uint64_t lost = 0;

  for (uint32_t i = 0; i < fleet->host_count; i++)
    if (fleet->hosts[i].alive)
      lost += mq_owner_read_counters (fleet->hosts[i].owner)->partitions_lost;
  return lost;
}

/* ---- Callers ---- */

static struct mq_id
program_id (uint64_t number)
{
  struct mq_id id;

  id.hi = mq_hash_bytes (&number, sizeof number, 1);
  id.lo = number;
  return id;
}

uint32_t
fleet_find_owner (const struct fleet *fleet, uint64_t number)
{
  uint32_t partition
      = mq_id_partition (program_id (number), fleet->options.partitions);

  for (uint32_t i = 0; i < fleet->host_count; i++)
    if (fleet->hosts[i].alive
        && mq_owner_owns_partition (fleet->hosts[i].owner, partition))
      return i;
  return UINT32_MAX;
}

static void
feed_request (struct fleet *fleet, uint32_t host, uint64_t number,
              const struct mq_request_msg *request)
{
  struct mq_owner_input input = { .type = MQ_OWNER_REQUEST };

  input.handle = number;
  input.u.request = request;
  feed (fleet, host, FLEET_REQUEST, &input);
}

static struct mq_request_msg
start_request (enum mq_request_type type, uint64_t number)
{
  return (struct mq_request_msg){ .type = type,
                                  .program = program_id (number),
                                  .organisation = "o",
                                  .service = "agent",
                                  .route = "",
                                  .key = "",
                                  .traceparent = "" };
}

void
fleet_open (struct fleet *fleet, uint32_t host, uint64_t number,
            uint32_t tokens, bool stream)
{
  static const char head[] = "{\"keep_open\":true,\"input\":\"";
  static const char tail[] = "\"}";
  struct mq_request_msg request = start_request (MQ_REQUEST_OPEN, number);
  size_t len = (size_t)tokens * BYTES_PER_TOKEN;
  char *body = talloc_size (fleet, sizeof head + len + sizeof tail);

  memcpy (body, head, sizeof head - 1);
  memset (body + sizeof head - 1, 'h', len);
  memcpy (body + sizeof head - 1 + len, tail, sizeof tail);
  request.body = body;
  request.stream = stream;
  feed_request (fleet, host, number, &request);
  talloc_free (body);
}

void
fleet_turn (struct fleet *fleet, uint32_t host, uint64_t number, uint32_t turn)
{
  struct mq_request_msg request = start_request (MQ_REQUEST_TURN, number);
  char key[16];

  snprintf (key, sizeof key, "k%u", turn);
  request.key = key;
  request.stream = true;
  request.body = "{\"input\":\"Where does household H7 stand today?\"}";
  feed_request (fleet, host, number, &request);
}

void
fleet_caller_gone (struct fleet *fleet, uint32_t host, uint64_t number)
{
  struct mq_owner_input input = { .type = MQ_OWNER_CALLER_GONE };

  input.handle = number;
  feed (fleet, host, FLEET_CALLER_GONE, &input);
}
