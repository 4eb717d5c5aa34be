/* world_caller.c - simulated callers.

   Each caller sends the requests of its script one after the other.  A request
   that was refused as not run, received no reply in time or lost its
   connection is repeated with the same key at any entry host.
   Needs: world_state.h.  */

#include "world_state.h"
#include <stdlib.h>
#include <string.h>

#define NEXT_REQUEST_DELAY_US (300 * MS)
#define RETRY_JITTER_US (250 * MS)
#define REFUSALS_MAX 40

static const struct scripted_request chain_requests[] = {
  { MQ_REQUEST_OPEN, "guide", "", 0, TEXT_CHAIN },
  { MQ_REQUEST_GET, "", "", 0, TEXT_NONE },
};
static const struct scripted_request talk_requests[] = {
  { MQ_REQUEST_OPEN, "guide", "", 0, TEXT_TALK },
  { MQ_REQUEST_TURN, "", "", 0, TEXT_FOLLOW },
  { MQ_REQUEST_CLOSE, "", "", 0, TEXT_NONE },
};
static const struct scripted_request step_requests[] = {
  { MQ_REQUEST_CREATE, "guide", "", 0, TEXT_NONE },
  { MQ_REQUEST_STEP, "guide-models", "", 1, TEXT_ASK },
  { MQ_REQUEST_STEP, "records", "submit", 2, TEXT_SUBMIT },
  { MQ_REQUEST_STEP, "guide-models", "", 3, TEXT_ASK },
  { MQ_REQUEST_CLOSE, "", "", 0, TEXT_NONE },
};
static const struct scripted_request loop_requests[] = {
  { MQ_REQUEST_OPEN, "looper", "", 0, TEXT_LOOP },
};
static const struct scripted_request letter_requests[] = {
  { MQ_REQUEST_OPEN, "letters", "", 0, TEXT_LETTER },
};

static const struct scripted_request desk_requests[] = {
  { MQ_REQUEST_OPEN, "desk", "", 0, TEXT_LETTER },
};
static const struct scripted_request notice_requests[] = {
  { MQ_REQUEST_OPEN, "notices", "", 0, TEXT_LETTER },
};

#define REQUESTS(array) array, sizeof (array) / sizeof (array)[0]

struct caller_script
{
  const char *organisation;
  const struct scripted_request *requests;
  size_t count;
  uint64_t budget;
};

static const struct caller_script scripts[CALLERS] = {
  { "diagne", REQUESTS (chain_requests), 4000 },
  { "zarqa", REQUESTS (talk_requests), 4000 },
  { "diagne", REQUESTS (step_requests), 4000 },
  { "zarqa", REQUESTS (loop_requests), 150 },
  { "zarqa", REQUESTS (letter_requests), 2000 },
};

/* Additional callers in an outage, urgent and batch in turn.  */
static const struct caller_script outage_callers[]
    = { { "diagne", REQUESTS (desk_requests), 2000 },
        { "zarqa", REQUESTS (notice_requests), 2000 } };

static const struct caller_script *
script_of (int index)
{
  return index < CALLERS ? &scripts[index]
                         : &outage_callers[(index - CALLERS) % 2];
}

static bool
is_batch (const struct caller *caller)
{
  return caller->requests == notice_requests;
}

/* ---- Request bodies ---- */

static json_t *
plan_call (const char *name, json_t *arguments, int tokens)
{
  return json_pack ("{s:s,s:o,s:i}", "call", name, "arguments", arguments,
                    "tokens", tokens);
}

static char *
plan_text (TALLOC_CTX *ctx, const char *title, json_t *plan)
{
  char *dump = json_dumps (plan, JSON_COMPACT);
  char *text = talloc_asprintf (ctx, "%s: plan=%s", title, dump);

  free (dump);
  json_decref (plan);
  return text;
}

/* The sub-program's input, the first message of its history.  */
static char *
letter_text (struct world *world, struct caller *caller)
{
  json_t *arguments = json_pack ("{s:s}", "letter", caller->key);
  char *title = talloc_asprintf (world, "%s, letter", caller->key);

  return plan_text (world, title,
                    json_pack ("[o,{s:i}]",
                               plan_call ("records.submit", arguments, 6),
                               "answer", 8));
}

static char *
chain_text (struct world *world, struct caller *caller)
{
  json_t *plan = json_array ();
  char *letter = letter_text (world, caller);

  caller->texts[caller->text_count++] = letter;
  json_array_append_new (
      plan, plan_call ("lookup", json_pack ("{s:s}", "of", caller->key), 7));
  json_array_append_new (
      plan,
      plan_call ("records.submit", json_pack ("{s:s}", "of", caller->key), 9));
  json_array_append_new (
      plan, plan_call ("letters", json_pack ("{s:s}", "input", letter), 5));
  json_array_append_new (plan, json_pack ("{s:i}", "answer", 12));
  return plan_text (world, caller->key, plan);
}

static char *
one_call_text (struct world *world, struct caller *caller, const char *title,
               const char *call)
{
  json_t *arguments = json_pack ("{s:s}", "of", caller->key);
  char *keyed_title = talloc_asprintf (world, "%s%s", caller->key, title);

  return plan_text (
      world, keyed_title,
      json_pack ("[o,{s:i}]", plan_call (call, arguments, 8), "answer", 12));
}

static char *
format_input (struct world *world, struct caller *caller,
              const struct scripted_request *scripted)
{
  switch (scripted->text)
    {
    case TEXT_CHAIN:
      return chain_text (world, caller);
    case TEXT_TALK:
      return one_call_text (world, caller, "", "records.submit");
    case TEXT_FOLLOW:
      return one_call_text (world, caller, ", again", "lookup");
    case TEXT_LOOP:
      return plan_text (world, caller->key,
                        json_pack ("[{s:s,s:{},s:i}]", "loop", "lookup",
                                   "arguments", "tokens", 11));
    case TEXT_LETTER:
      return plan_text (world, caller->key,
                        json_pack ("[{s:i}]", "answer", 20));
    case TEXT_ASK:
      return talloc_asprintf (world, "%s, question %u", caller->key,
                              scripted->sequence);
    case TEXT_NONE:
    case TEXT_SUBMIT:
      break;
    }
  return NULL;
}

static void
format_request (struct world *world, struct caller *caller, size_t index)
{
  const struct scripted_request *scripted = &caller->requests[index];
  char *input = format_input (world, caller, scripted);
  json_t *body = json_object ();
  char *dump;

  if (input != NULL)
    {
      caller->texts[caller->text_count++] = input;
      json_object_set_new (body, "input", json_string (input));
    }
  if (scripted->text == TEXT_SUBMIT)
    json_object_set_new (body, "arguments",
                         json_pack ("{s:s}", "of", caller->key));
  if (scripted->text == TEXT_TALK)
    json_object_set_new (body, "keep_open", json_true ());
  dump = json_dumps (body, JSON_COMPACT);
  caller->bodies[index] = talloc_strdup (world, dump);
  free (dump);
  json_decref (body);
}

static struct caller *
find_family (const struct world *world, uint64_t family)
{
  for (int i = 0; i < world->caller_count; i++)
    if (world->callers[i].program.hi == family)
      return (struct caller *)&world->callers[i];
  return NULL;
}

/* Whether a history of PROGRAM may contain TEXT as a user message.  */
bool
caller_has_text (const struct world *world, struct mq_id program,
                 const char *text)
{
  const struct caller *caller = find_family (world, program.hi);

  for (size_t i = 0; caller != NULL && i < caller->text_count; i++)
    if (strcmp (caller->texts[i], text) == 0)
      return true;
  return false;
}

/* Returns the number of calls in the history before CALL.  Histories of
   caller-driven programs contain model calls only.  */
uint32_t
caller_calls_before (const struct world *world, struct mq_id program,
                     uint32_t call)
{
  const struct caller *caller = find_family (world, program.hi);
  uint32_t before = 0;

  if (caller == NULL || caller->requests[0].type != MQ_REQUEST_CREATE)
    return call - 1;
  for (size_t i = 0; i < caller->request_count; i++)
    if (caller->requests[i].text == TEXT_ASK
        && caller->requests[i].sequence < call)
      before++;
  return before;
}

uint64_t
caller_budget_of (const struct world *world, uint64_t family)
{
  const struct caller *caller = find_family (world, family);

  return caller == NULL ? 0 : script_of (caller->index)->budget;
}

/* ---- Requests ---- */

static void
schedule_timer (struct world *world, struct caller *caller, uint64_t in_us)
{
  struct world_event *event
      = world_event_create (world, EVENT_CALLER_TIMER, NO_HOST);

  event->index = caller->index;
  caller->timer_us = world->now_us + in_us;
  world_push (world, event, caller->timer_us);
}

void
caller_create_all (struct world *world)
{
  world->caller_count = world->script == SCRIPT_OUTAGE ? CALLERS_MAX : CALLERS;
  for (int i = 0; i < world->caller_count; i++)
    {
      struct caller *caller = &world->callers[i];

      caller->index = i;
      caller->requests = script_of (i)->requests;
      caller->request_count = script_of (i)->count;
      caller->organisation
          = talloc_strdup (world, script_of (i)->organisation);
      caller->key = talloc_asprintf (world, "household %d of %llu", i,
                                     (unsigned long long)world->cell->seed);
      caller->program = mq_id_open (caller->organisation, caller->key);
      for (size_t a = 0; a < caller->request_count; a++)
        format_request (world, caller, a);
      schedule_timer (world, caller,
                      CALLERS_START_US + world_delay (world, 0, 200 * MS)
                          + (i < CALLERS ? 0 : (uint64_t)(i - CALLERS))
                                * OUTAGE_CALLER_INTERVAL_US);
    }
}

/* Returns the last request of CALLER that waits for its program's answer, or
   request_count.  */
static size_t
last_answered_request (const struct caller *caller)
{
  size_t last = caller->request_count;

  for (size_t i = 0; i < caller->request_count; i++)
    if (caller->requests[i].type == MQ_REQUEST_OPEN
        || caller->requests[i].type == MQ_REQUEST_TURN)
      if (caller->answers[i] != NULL || caller->errors[i] != MQ_ERR_NONE)
        last = i;
  return last;
}

/* All callers that have an answer request it again.  */
void
caller_repeat_all (struct world *world)
{
  for (int i = 0; i < world->caller_count; i++)
    {
      struct caller *caller = &world->callers[i];

      caller->request_index = last_answered_request (caller);
      if (caller->request_index == caller->request_count)
        continue;
      caller->rechecking = true;
      caller->tries = 0;
      caller->refusals = 0;
      caller->may_have_run = true;
      caller->state = CALLER_BACKOFF;
      schedule_timer (world, caller,
                      RESTART_US + world_delay (world, 0, RETRY_JITTER_US));
    }
}

bool
caller_all_done (const struct world *world)
{
  for (int i = 0; i < world->caller_count; i++)
    if (world->callers[i].state != CALLER_DONE)
      return false;
  for (int i = 0; i < OPERATORS; i++)
    if (world->operators[i].state != OPERATOR_DONE
        && world->operators[i].state != OPERATOR_IDLE)
      return false;
  return true;
}

/* Load balancer: selects an entry host that accepts connections.  */
static int
choose_host (struct world *world)
{
  int chosen = NO_HOST;
  uint32_t count = 0;

  for (int i = 0; i < ENTRIES; i++)
    if (world->hosts[i].alive && !world->hosts[i].leaving
        && world->hosts[i].text != NULL
        && mq_random_below (&world->random, ++count) == 0)
      chosen = i;
  return chosen;
}

static void
schedule_request (struct world *world, struct caller *caller, uint64_t in_us)
{
  caller->state = CALLER_BACKOFF;
  schedule_timer (world, caller,
                  in_us + world_delay (world, 0, RETRY_JITTER_US));
}

static struct mq_request_msg
request_of (const struct caller *caller)
{
  const struct scripted_request *scripted
      = &caller->requests[caller->request_index];
  struct mq_request_msg request = { .type = scripted->type };

  request.program = caller->program;
  request.organisation = caller->organisation;
  request.service = scripted->service;
  request.route = scripted->route;
  request.key = caller->key;
  request.sequence = scripted->sequence;
  request.stream = caller->requests == talk_requests;
  request.traceparent = "";
  request.body = caller->bodies[caller->request_index];
  if (caller->rechecking)
    {
      request.type = MQ_REQUEST_GET;
      request.body = "{}";
    }
  return request;
}

static void
send_request (struct world *world, struct caller *caller)
{
  int host = choose_host (world);
  struct world_event *event;

  if (host == NO_HOST)
    {
      schedule_request (world, caller, RETRY_JITTER_US);
      return;
    }
  worker_observed_program (world, caller->program)->refused = false;
  caller->host = host;
  caller->host_run = world->hosts[host].run;
  caller->handle = ++world->next_handle;
  caller->state = CALLER_WAITING;
  caller->last_us = world->now_us;
  caller->tries++;
  caller->ends = 0;
  caller->stream_call = 0;
  caller->stream = talloc_strdup (world, "");
  world_trace (world, "caller %d to %s: request %zu, try %u, handle %llu",
               caller->index, world->hosts[host].name, caller->request_index,
               caller->tries, (unsigned long long)caller->handle);
  event = world_event_create (world, EVENT_REQUEST, host);
  event->index = caller->index;
  event->handle = caller->handle;
  world_push (world, event, world->now_us + world_delay (world, 1, MS));
  schedule_timer (world, caller, CALLER_TIMEOUT_US);
}

/* Refuses a request but runs it (seeded bug).  */
static void
inject_refusal (struct world *world, struct caller *caller)
{
  struct mq_event_msg refusal = { .type = MQ_EVENT_REFUSED };
  struct world_event *event;
  struct mq_message message = { .type = MQ_MSG_FORWARD_EVENT };

  if (!(world->cell->plant == PLANT_REFUSED_AND_RUN && caller->tries == 1)
      && !(world->cell->plant == PLANT_URGENT_REFUSED
           && caller->requests == desk_requests && caller->tries == 1))
    return;
  refusal.handle = caller->handle;
  refusal.error = MQ_ERR_OVERLOADED;
  refusal.ran = MQ_RAN_NOT_RUN;
  refusal.retry_after_ms = 2000;
  message.u.event = refusal;
  event = world_event_create (world, EVENT_TO_CALLER, caller->host);
  event->message = talloc_zero (event, struct mq_message);
  mq_message_copy (event->message, event->message, &message);
  world_push (world, event, world->now_us + MS);
}

void
caller_request (struct world *world, const struct world_event *event)
{
  struct caller *caller = &world->callers[event->index];
  struct mq_request_msg request = request_of (caller);
  struct mq_front_input input
      = { .type = MQ_FRONT_REQUEST, .now_us = world->now_us };

  if (caller->handle != event->handle || caller->state != CALLER_WAITING)
    return; /* the caller has disconnected */
  inject_refusal (world, caller);
  input.handle = event->handle;
  input.partition = mq_id_partition (
      caller->program, world->hosts[event->host].text->partitions);
  input.u.request = &request;
  world_front_input (world, event->host, &input);
}

void
caller_disconnected (struct world *world, const struct world_event *event)
{
  struct mq_front_input input
      = { .type = MQ_FRONT_CALLER_GONE, .now_us = world->now_us };

  input.handle = event->handle;
  world_front_input (world, event->host, &input);
}

static void
close_connection (struct world *world, struct caller *caller)
{
  struct world_event *event;

  if (!world_is_current_run (world, caller->host, caller->host_run))
    return;
  event = world_event_create (world, EVENT_CALLER_DISCONNECT, caller->host);
  event->handle = caller->handle;
  world_push (world, event, world->now_us + world_delay (world, 1, MS));
}

void
caller_timer (struct world *world, const struct world_event *event)
{
  struct caller *caller = &world->callers[event->index];

  if (caller->timer_us != event->at_us)
    return;
  if (caller->state == CALLER_IDLE || caller->state == CALLER_BACKOFF)
    send_request (world, caller);
  else if (caller->state == CALLER_WAITING)
    {
      if (world->now_us < caller->last_us + CALLER_TIMEOUT_US)
        {
          schedule_timer (world, caller,
                          caller->last_us + CALLER_TIMEOUT_US - world->now_us);
          return;
        }
      world_trace (world, "caller %d timed out and retries at another host",
                   caller->index);
      close_connection (world, caller);
      caller->may_have_run = true;
      schedule_request (world, caller, 0);
    }
}

/* The caller's connection closed because the process ended.  */
void
caller_host_crashed (struct world *world, int host)
{
  for (int i = 0; i < world->caller_count; i++)
    {
      struct caller *caller = &world->callers[i];

      if (caller->state != CALLER_WAITING || caller->host != host)
        continue;
      caller->may_have_run = true;
      schedule_request (world, caller, MS);
    }
}

/* ---- Replies ---- */

static void
next_request (struct world *world, struct caller *caller)
{
  caller->request_index++;
  caller->tries = 0;
  caller->refusals = 0;
  caller->may_have_run = false;
  if (caller->request_index == caller->request_count)
    {
      caller->state = CALLER_DONE;
      world_trace (world, "caller %d is done", caller->index);
      return;
    }
  schedule_request (world, caller, NEXT_REQUEST_DELAY_US);
}

static bool
was_final_answer (struct world *world, struct mq_id program, const char *body)
{
  const struct observed_program *observed
      = worker_observed_program (world, program);

  for (size_t i = 0; i < observed->final_count; i++)
    if (strstr (body, observed->finals[i]) != NULL)
      return true;
  return false;
}

static bool
is_same_answer (const char *a, const char *b)
{
  json_t *first = json_loads (a, 0, NULL);
  json_t *second = json_loads (b, 0, NULL);
  bool same = json_equal (json_object_get (first, "answer"),
                          json_object_get (second, "answer"));

  json_decref (first);
  json_decref (second);
  return same;
}

static bool
has_answer (const char *body, const char *answer)
{
  json_t *root = json_loads (body, 0, NULL);
  const char *text = json_string_value (json_object_get (root, "answer"));
  bool same = text != NULL && strcmp (text, answer) == 0;

  json_decref (root);
  return same;
}

static bool
is_own_answer (struct world *world, const struct caller *caller,
               const char *body)
{
  const struct scripted_request *scripted
      = &caller->requests[caller->request_index];
  const struct observed_call *observed;

  switch (scripted->type)
    {
    case MQ_REQUEST_OPEN:
    case MQ_REQUEST_TURN:
      return was_final_answer (world, caller->program, body);
    case MQ_REQUEST_GET:
      return caller->answers[0] == NULL
             || is_same_answer (caller->answers[0], body);
    case MQ_REQUEST_STEP:
      if (scripted->text == TEXT_ASK)
        return was_final_answer (world, caller->program, body);
      observed
          = worker_observed_call (world, caller->program, scripted->sequence);
      return observed->result != NULL && has_answer (body, observed->result);
    case MQ_REQUEST_CREATE:
    case MQ_REQUEST_CLOSE:
    case MQ_REQUEST_CANCEL:
      break;
    }
  return true;
}

static void
check_answer_is_logged (struct world *world, const struct caller *caller,
                        const char *body)
{
  enum mq_request_type type = caller->requests[caller->request_index].type;

  if (world->outage_until_us != 0 && world->now_us > world->outage_until_us
      && !world->replayed)
    world->report->outage_done_us = world->now_us - world->outage_until_us;
  if ((type == MQ_REQUEST_OPEN || type == MQ_REQUEST_TURN)
      && !check_is_logged (world, caller->program, body))
    world_report_violation (world, INVARIANT_TOLD,
                            "caller %d, request %zu: in no log: %.120s",
                            caller->index, caller->request_index, body);
}

/* During an outage only batch work may be refused.  */
static void
check_outage_refusal (struct world *world, const struct caller *caller,
                      const struct mq_event_msg *event)
{
  if (world->now_us < world->outage_from_us
      || world->now_us > world->outage_until_us || caller->rechecking)
    return;
  if (is_batch (caller))
    world->report->batch_refused++;
  else
    world->report->urgent_refused++;
  if (world->cell->nth == 0 && caller->requests == desk_requests
      && event->ran == MQ_RAN_NOT_RUN)
    world_report_violation (world, INVARIANT_OUTAGE,
                            "caller %d is refused: %s", caller->index,
                            mq_error_name (event->error));
}

static void
end_check (struct world *world, struct caller *caller)
{
  caller->rechecking = false;
  caller->request_index = caller->request_count;
  caller->state = CALLER_DONE;
  world_trace (world, "caller %d received its answer again", caller->index);
}

static void
check_final (struct world *world, struct caller *caller, const char *body)
{
  const char *previous = caller->answers[caller->request_index];

  if (previous == NULL || !is_same_answer (previous, body))
    world_report_violation (world, INVARIANT_REPLAY_EQUAL,
                            "caller %d got %.80s, then %.80s", caller->index,
                            previous == NULL ? "a refusal" : previous, body);
  end_check (world, caller);
}

static void
check_refusal (struct world *world, struct caller *caller,
               enum mq_error_type error)
{
  if (error != caller->errors[caller->request_index])
    world_report_violation (
        world, INVARIANT_REPLAY_EQUAL, "caller %d got %s, then %s",
        caller->index, mq_error_name (caller->errors[caller->request_index]),
        mq_error_name (error));
  end_check (world, caller);
}

static void
handle_final (struct world *world, struct caller *caller,
              const struct mq_event_msg *event)
{
  const char *body = event->body;

  if (++caller->ends > 1)
    {
      world_report_violation (world, INVARIANT_ONE_ANSWER,
                              "caller %d got %u final events for request %zu",
                              caller->index, caller->ends,
                              caller->request_index);
      return;
    }
  check_answer_is_logged (world, caller, body);
  if (caller->rechecking)
    {
      check_final (world, caller, body);
      return;
    }
  if (!is_own_answer (world, caller, body))
    world_report_violation (world, INVARIANT_OWN_ANSWER,
                            "caller %d, request %zu: %.160s", caller->index,
                            caller->request_index, body);
  /* Check the streamed text if it belongs to the call that produced the
     answer.  */
  if (caller->stream_call == (event->number >> 16) - 1
      && strstr (body, caller->stream) == NULL)
    world_report_violation (world, INVARIANT_STREAM,
                            "caller %d: \"%s\" is not a prefix of the answer",
                            caller->index, caller->stream);
  caller->answers[caller->request_index] = talloc_strdup (world, body);
  next_request (world, caller);
}

/* Transient refusals, after which the same request may be repeated.  */
static bool
is_transient_refusal (enum mq_error_type error)
{
  switch (error)
    {
    case MQ_ERR_NO_MEMORY:
    case MQ_ERR_OVERLOADED:
    case MQ_ERR_LEAVING:
    case MQ_ERR_STALE_FENCE:
    case MQ_ERR_NO_TARGET:
    case MQ_ERR_STORE_DOWN:
    case MQ_ERR_NOT_READY:
    case MQ_ERR_WRONG_REGION:
    case MQ_ERR_PEER_LOST:
    case MQ_ERR_TIMEOUT:
      return true;
    default:
      return false;
    }
}

/* Refusals that cannot apply: the callers send valid requests, in order and
   for their own programs.  */
static bool
is_impossible_refusal (enum mq_error_type error)
{
  switch (error)
    {
    case MQ_ERR_BAD_REQUEST:
    case MQ_ERR_BAD_JSON:
    case MQ_ERR_UNAUTHORISED:
    case MQ_ERR_NOT_FOUND:
    case MQ_ERR_KEY_REUSED:
    case MQ_ERR_OUT_OF_ORDER:
    case MQ_ERR_ENDED:
    case MQ_ERR_CANCELLED:
      return true;
    default:
      return false;
    }
}

/* After a refusal, skips to the script's CLOSE.  */
static void
skip_to_close (struct caller *caller)
{
  if (caller->request_index == 0)
    caller->request_index = caller->request_count - 1;
  while (caller->request_index + 1 < caller->request_count
         && caller->requests[caller->request_index + 1].type
                != MQ_REQUEST_CLOSE)
    caller->request_index++;
}

/* Records that a request refused as not run, and never attempted before, must
   not have run and must not run until it is repeated.  */
static void
expect_not_run (struct world *world, struct caller *caller)
{
  const struct scripted_request *scripted
      = &caller->requests[caller->request_index];
  struct observed_program *observed
      = worker_observed_program (world, caller->program);

  if (caller->may_have_run
      || (scripted->type != MQ_REQUEST_OPEN
          && scripted->type != MQ_REQUEST_CREATE))
    return;
  if (observed->starts > 0)
    world_report_violation (
        world, INVARIANT_NOT_RUN,
        "caller %d received not_run for a program that started %u "
        "calls",
        caller->index, observed->starts);
  observed->refused = true;
}

static void
handle_refusal (struct world *world, struct caller *caller,
                const struct mq_event_msg *event)
{
  world_trace (world, "caller %d is refused: %s, %s", caller->index,
               mq_error_name (event->error), mq_ran_name (event->ran));
  check_outage_refusal (world, caller, event);
  if (++caller->ends > 1)
    {
      world_report_violation (world, INVARIANT_ONE_ANSWER,
                              "caller %d got %u final events for request %zu",
                              caller->index, caller->ends,
                              caller->request_index);
      return;
    }
  if (event->ran == MQ_RAN_NOT_RUN)
    expect_not_run (world, caller);
  else
    caller->may_have_run = true;
  if (is_transient_refusal (event->error) && ++caller->refusals < REFUSALS_MAX)
    {
      schedule_request (world, caller, event->retry_after_ms * MS);
      return;
    }
  if (caller->rechecking)
    {
      check_refusal (world, caller, event->error);
      return;
    }
  if (is_impossible_refusal (event->error))
    world_report_violation (
        world, INVARIANT_OWN_ANSWER,
        "caller %d, request %zu: refused with impossible error %s",
        caller->index, caller->request_index, mq_error_name (event->error));
  caller->errors[caller->request_index] = event->error;
  caller->ends = 1;
  skip_to_close (caller);
  next_request (world, caller);
}

static bool
is_streamed (const struct world *world, const struct caller *caller,
             const char *text, uint32_t call)
{
  for (size_t i = 0; i < world->run_count; i++)
    {
      const struct run *run = world->runs[i];

      if (run->content != NULL && run->ref.call == call
          && mq_id_equal (run->ref.program, caller->program)
          && strncmp (run->content, text, strlen (text)) == 0)
        return true;
    }
  return false;
}

static void
handle_token (struct world *world, struct caller *caller,
              const struct mq_event_msg *event)
{
  if (event->type == MQ_EVENT_RESET || event->call != caller->stream_call)
    caller->stream = talloc_strdup (world, "");
  caller->stream_call = event->call;
  if (event->type == MQ_EVENT_RESET)
    return;
  caller->stream
      = talloc_asprintf (world, "%s%s", caller->stream, event->body);
  if (world->cell->plant == PLANT_TOKEN_DOUBLED)
    caller->stream
        = talloc_asprintf (world, "%s%s", caller->stream, event->body);
  if (!is_streamed (world, caller, caller->stream, event->call))
    world_report_violation (
        world, INVARIANT_STREAM,
        "caller %d, call %u: \"%s\" is not part of any answer", caller->index,
        event->call, caller->stream);
}

static struct caller *
find_handle (struct world *world, uint64_t handle)
{
  for (int i = 0; i < world->caller_count; i++)
    if (world->callers[i].handle == handle)
      return &world->callers[i];
  return NULL;
}

static struct caller *
inject_swapped_answer (struct world *world, struct caller *caller,
                       const struct mq_event_msg *event)
{
  struct caller *other
      = &world->callers[(caller->index + 1) % world->caller_count];

  if (world->cell->plant != PLANT_ANSWER_SWAPPED
      || event->type != MQ_EVENT_FINAL || other->state != CALLER_WAITING)
    return caller;
  return other;
}

void
caller_event (struct world *world, const struct world_event *from)
{
  const struct mq_event_msg *event = &from->message->u.event;
  struct caller *caller = find_handle (world, event->handle);

  if (caller == NULL || caller->host != from->host
      || caller->host_run != from->run)
    return; /* the connection is closed */
  if (caller->state != CALLER_WAITING && caller->ends == 0)
    return;
  caller = inject_swapped_answer (world, caller, event);
  caller->last_us = world->now_us;
  switch (event->type)
    {
    case MQ_EVENT_TOKEN:
    case MQ_EVENT_RESET:
      handle_token (world, caller, event);
      break;
    case MQ_EVENT_FINAL:
      if (world->cell->plant == PLANT_FINAL_DROPPED && caller->index == 0)
        break;
      world_trace (world, "caller %d: final %.100s", caller->index,
                   event->body);
      handle_final (world, caller, event);
      if (world->cell->plant == PLANT_FINAL_DOUBLED)
        handle_final (world, caller, event);
      break;
    case MQ_EVENT_REFUSED:
      handle_refusal (world, caller, event);
      break;
    case MQ_EVENT_ACCEPTED:
    case MQ_EVENT_STEP:
      break;
    }
}
