/* owner_request.c - callers' requests and the events that answer them.

   A caller is known by the connection that forwarded its request and a
   handle.  Its request may come again, through any entry host: the same
   open finds the same program, the same call the same outcome.
   Needs: owner_state.h, id.h, jansson.  */

#include "owner_state.h"
#include "id.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_SOON_MS = 100,
  RETRY_LATER_MS = 1000,
  SINGLE_SECONDS = 120,    /* time budget of a single call */
  STORE_PATIENCE_MS = 2000 /* batch work waits this long for the store */
};

/* ---- Events ---- */

static void
send_event (struct mq_owner *owner, uint32_t peer,
            const struct mq_event_msg *event)
{
  struct mq_action *action = mq_actions_add (owner->actions, MQ_ACT_EVENT);

  action->peer = peer;
  action->u.event = *event;
  action->u.event.body
      = talloc_strdup (owner->actions, event->body == NULL ? "" : event->body);
  action->u.event.redirect = talloc_strdup (
      owner->actions, event->redirect == NULL ? "" : event->redirect);
}

static const char *
redirect_for (const struct mq_owner *owner, const struct partition *partition)
{
  if (partition->address == NULL
      || strcmp (partition->address, owner->options.address) == 0)
    return "";
  return partition->address;
}

/* The partition is not ours, or not now: the caller's entry host asks
   again, elsewhere.  It says nothing of the program.  */
static void
send_away (struct mq_owner *owner, uint32_t peer, uint64_t handle,
           enum mq_error_type error, const char *redirect)
{
  struct mq_event_msg event = { .handle = handle,
                                .type = MQ_EVENT_REFUSED,
                                .error = error,
                                .ran = MQ_RAN_NOT_RUN,
                                .retry_after_ms = RETRY_SOON_MS,
                                .redirect = redirect,
                                .body = "{}" };

  send_event (owner, peer, &event);
}

/* Failure: an owner that was paused past its lease wakes, still believes
   that the partition is its own, and answers from memory: a call that the
   new owner ran is refused as not run, or a caller is shown an old state.
   No clock can tell.  What is not the direct result of a commit therefore
   waits for a read of the partition's row that began after the request
   came; many wait for the same read.  */
static void
answer_later (struct mq_owner *owner, uint32_t partition, uint32_t peer,
              const struct mq_event_msg *event)
{
  struct reply *reply = talloc_zero (owner, struct reply);

  if (reply == NULL)
    abort ();
  reply->partition = partition;
  reply->peer = peer;
  reply->queued_us = owner->now_us;
  reply->event = *event;
  reply->event.body
      = talloc_strdup (reply, event->body == NULL ? "{}" : event->body);
  reply->event.redirect = "";
  reply->next = owner->replies;
  owner->replies = reply;
  request_unconfirmed (owner);
}

/* The store has been down for a while: nothing can be confirmed soon.  */
static bool
is_outage (const struct mq_owner *owner)
{
  return owner->store_down
         && owner->now_us - owner->store_down_us > 1000ULL * STORE_PATIENCE_MS;
}

static void
send_reply (struct mq_owner *owner, struct reply *reply)
{
  const struct partition *partition = &owner->partitions[reply->partition];

  if (partition->state != PARTITION_ACTIVE)
    send_away (owner, reply->peer, reply->event.handle, MQ_ERR_NOT_READY,
               redirect_for (owner, partition));
  else
    {
      if (reply->event.type == MQ_EVENT_REFUSED)
        owner->counters.answers_refused++;
      else
        owner->counters.answers_final++;
      send_event (owner, reply->peer, &reply->event);
    }
  talloc_free (reply);
}

/* Every reply queued before BEFORE_US is confirmed, or its partition was
   seen to be lost.  */
void
request_confirmed (struct mq_owner *owner, uint64_t before_us)
{
  struct reply **at = &owner->replies;

  while (*at != NULL)
    {
      struct reply *reply = *at;

      if (reply->queued_us > before_us)
        {
          at = &reply->next;
          continue;
        }
      *at = reply->next;
      send_reply (owner, reply);
    }
}

/* The store can't be read: whoever waits long is answered that nothing can
   be known.  Not even that it was not run here: another owner may have
   taken the partition and run the same request, if the store is out of
   reach for this host alone.  */
void
request_unconfirmed (struct mq_owner *owner)
{
  struct reply **at = &owner->replies;

  while (*at != NULL)
    {
      struct reply *reply = *at;

      if (!is_outage (owner)
          && owner->now_us - reply->queued_us < 1000ULL * STORE_PATIENCE_MS)
        {
          at = &reply->next;
          continue;
        }
      *at = reply->next;
      reply->event.type = MQ_EVENT_REFUSED;
      reply->event.error = MQ_ERR_STORE_DOWN;
      reply->event.ran = MQ_RAN_UNKNOWN;
      reply->event.retry_after_ms = RETRY_LATER_MS;
      send_reply (owner, reply);
    }
}

static void
refuse (struct mq_owner *owner, const struct partition *partition,
        uint32_t peer, uint64_t handle, enum mq_error_type error,
        uint32_t retry_after_ms)
{
  struct mq_event_msg event = { .handle = handle,
                                .type = MQ_EVENT_REFUSED,
                                .error = error,
                                .ran = MQ_RAN_NOT_RUN,
                                .retry_after_ms = retry_after_ms,
                                .body = "{}" };

  if (error == MQ_ERR_LEAVING)
    send_away (owner, peer, handle, error, redirect_for (owner, partition));
  else
    answer_later (owner, partition->number, peer, &event);
}

void
request_event (struct mq_owner *owner, struct running *running,
               enum mq_event_type type, uint32_t number, uint32_t call,
               const char *body)
{
  for (struct waiter *w = running->waiters; w != NULL; w = w->next)
    {
      struct mq_event_msg event = { .handle = w->handle,
                                    .type = type,
                                    .number = number,
                                    .call = call,
                                    .body = body };

      if (!w->stream && type != MQ_EVENT_ACCEPTED)
        continue;
      if (w->call != 0 && call != 0 && w->call != call)
        continue;
      if (type == MQ_EVENT_STEP && number <= w->after)
        continue;
      send_event (owner, w->peer, &event);
    }
}

static const char *
state_name (enum mq_program_state state)
{
  switch (state)
    {
    case MQ_PROGRAM_RUNNING:
      return "running";
    case MQ_PROGRAM_WAITING:
      return "waiting";
    case MQ_PROGRAM_ENDED:
      break;
    }
  return "ended";
}

static json_t *
program_json (const struct mq_program *program)
{
  json_t *root = json_object ();
  char id[MQ_ID_TEXT];

  mq_id_format (program->id, id);
  json_object_set_new (root, "program", json_string (id));
  json_object_set_new (root, "service", json_string (program->service));
  json_object_set_new (root, "status",
                       json_string (state_name (program->state)));
  json_object_set_new (root, "tokens",
                       json_integer ((json_int_t)program->spent));
  json_object_set_new (root, "turns",
                       json_integer ((json_int_t)program->turns));
  return root;
}

static json_t *
answer_json (const char *text)
{
  json_t *value = json_string (text == NULL ? "" : text);

  return value == NULL ? json_string ("") : value;
}

static char *
dump_json (TALLOC_CTX *ctx, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  char *copy = talloc_strdup (ctx, text == NULL ? "{}" : text);

  free (text);
  json_decref (root);
  if (copy == NULL)
    abort ();
  return copy;
}

char *
request_final_body (TALLOC_CTX *ctx, const struct running *running)
{
  const struct mq_program *program = running->program;
  json_t *root = program_json (program);

  json_object_set_new (
      root, "answer",
      program->answer == NULL ? json_null () : answer_json (program->answer));
  return dump_json (ctx, root);
}

static void
send_final (struct mq_owner *owner, const struct running *running,
            uint32_t peer, uint64_t handle)
{
  const struct mq_program *program = running->program;
  struct mq_event_msg event = { .handle = handle,
                                .type = MQ_EVENT_FINAL,
                                .number = (program->calls + 1) << 16,
                                .error = program->error,
                                .ran = MQ_RAN_RAN };

  if (program->error != MQ_ERR_NONE)
    {
      event.type = MQ_EVENT_REFUSED;
      event.ran = program->ran;
      owner->counters.answers_refused++;
    }
  else
    owner->counters.answers_final++;
  event.body = request_final_body (owner->actions, running);
  send_event (owner, peer, &event);
}

void
request_final (struct mq_owner *owner, struct running *running)
{
  struct waiter **at = &running->waiters;

  while (*at != NULL)
    {
      struct waiter *w = *at;

      if (w->call != 0 && running->program->state != MQ_PROGRAM_ENDED)
        {
          at = &w->next;
          continue;
        }
      *at = w->next;
      send_final (owner, running, w->peer, w->handle);
      talloc_free (w);
    }
}

static void
send_step_answer (struct mq_owner *owner, const struct running *running,
                  uint32_t call, uint32_t peer, uint64_t handle)
{
  const struct mq_step *step = &running->program->steps[call - 1];
  json_t *root = program_json (running->program);
  struct mq_event_msg event = { .handle = handle,
                                .type = MQ_EVENT_FINAL,
                                .number = call << 16 | 0xffff,
                                .call = call,
                                .error = step->error,
                                .ran = step->ran };

  json_object_set_new (root, "call", json_integer ((json_int_t)call));
  json_object_set_new (root, "service", json_string (step->service));
  json_object_set_new (root, "answer", answer_json (step->body));
  event.body = dump_json (owner->actions, root);
  if (step->error != MQ_ERR_NONE)
    {
      event.type = MQ_EVENT_REFUSED;
      owner->counters.answers_refused++;
    }
  else
    owner->counters.answers_final++;
  send_event (owner, peer, &event);
}

/* A call's outcome is durable.  */
void
request_step_done (struct mq_owner *owner, struct running *running,
                   uint32_t call)
{
  struct waiter **at = &running->waiters;
  char *body;

  if (running->program->mode != MQ_MODE_STEPS)
    {
      body = talloc_asprintf (owner->actions, "{\"call\":%u}", call);
      request_event (owner, running, MQ_EVENT_STEP, call << 16 | 0xffff, call,
                     body);
      return;
    }
  while (*at != NULL)
    {
      struct waiter *w = *at;

      if (w->call != call || call > running->program->step_count)
        {
          at = &w->next;
          continue;
        }
      *at = w->next;
      send_step_answer (owner, running, call, w->peer, w->handle);
      talloc_free (w);
    }
}

void
request_refuse_step (struct mq_owner *owner, struct running *running,
                     uint32_t call, enum mq_error_type error)
{
  struct waiter **at = &running->waiters;

  while (*at != NULL)
    {
      struct waiter *w = *at;

      if (w->call != call)
        {
          at = &w->next;
          continue;
        }
      *at = w->next;
      refuse (owner, running->partition, w->peer, w->handle, error, 0);
      talloc_free (w);
    }
}

/* ---- Waiting callers ---- */

static void
add_waiter (struct running *running, uint32_t peer, uint64_t handle,
            const struct mq_request_msg *request, uint32_t call)
{
  struct waiter *waiter;

  for (waiter = running->waiters; waiter != NULL; waiter = waiter->next)
    if (waiter->peer == peer && waiter->handle == handle)
      return;
  waiter = talloc_zero (running, struct waiter);
  if (waiter == NULL)
    abort ();
  waiter->peer = peer;
  waiter->handle = handle;
  waiter->stream = request->stream;
  waiter->after = request->after;
  waiter->call = call;
  waiter->next = running->waiters;
  running->waiters = waiter;
}

static void
remove_waiters (struct mq_owner *owner, uint32_t peer, bool any_handle,
                uint64_t handle)
{
  struct running *running;
  size_t position = 0;

  while ((running = mq_idmap_next (owner->running, &position)) != NULL)
    {
      struct waiter **at = &running->waiters;

      while (*at != NULL)
        if ((*at)->peer == peer && (any_handle || (*at)->handle == handle))
          *at = (*at)->next;
        else
          at = &(*at)->next;
    }
}

/* The program goes on without its caller, who may come back for it.  */
void
request_gone (struct mq_owner *owner, uint32_t peer, uint64_t handle)
{
  remove_waiters (owner, peer, false, handle);
}

void
request_peer_gone (struct mq_owner *owner, uint32_t peer)
{
  remove_waiters (owner, peer, true, 0);
}

/* The partition is no longer ours: callers' entry hosts ask its new owner.
   Nothing is said of the program but that it goes on elsewhere.  */
void
request_detach (struct mq_owner *owner, struct running *running)
{
  for (struct waiter *w = running->waiters; w != NULL; w = w->next)
    send_away (owner, w->peer, w->handle, MQ_ERR_NOT_READY,
               redirect_for (owner, running->partition));
  running->waiters = NULL;
}

/* ---- Opening ---- */

static uint64_t
open_digest (const struct mq_request_msg *request)
{
  uint64_t digest = mq_hash_bytes (request->body, strlen (request->body), 2);

  digest = mq_hash_bytes (request->service, strlen (request->service), digest);
  digest = mq_hash_bytes (request->route, strlen (request->route), digest);
  return digest | 1;
}

static enum mq_error_type
check_room (struct mq_owner *owner, const struct mq_request_msg *request,
            enum mq_priority priority, uint32_t *retry_after_ms)
{
  const struct mq_organisation *organisation
      = mq_text_find_organisation (owner->text, request->organisation);
  uint32_t hosts = owner->live_hosts == 0 ? 1 : owner->live_hosts;

  *retry_after_ms = RETRY_LATER_MS;
  if (owner->leaving)
    return MQ_ERR_LEAVING;
  if (organisation == NULL)
    return MQ_ERR_UNAUTHORISED;
  if (owner->gathered_bytes >= MQ_PENDING_MAX_BYTES)
    return MQ_ERR_STORE_DOWN;
  if (is_outage (owner) && priority == MQ_PRIORITY_BATCH)
    return MQ_ERR_STORE_DOWN;
  if (owner->live >= owner->options.max_programs)
    return MQ_ERR_OVERLOADED;
  if (organisation->max_programs > 0
      && chain_live_of (owner, request->organisation)
             >= (organisation->max_programs + hosts - 1) / hosts)
    return MQ_ERR_OVERLOADED;
  return MQ_ERR_NONE;
}

/* What a request for a new program says, in the form of its record.  */
struct opening
{
  Mqlog__Opened opened;
  Mqlog__Budget budget;
};

static void
fill_common (struct opening *opening, const struct mq_request_msg *request)
{
  Mqlog__Opened *opened = &opening->opened;

  mqlog__opened__init (opened);
  mqlog__budget__init (&opening->budget);
  opened->budget = &opening->budget;
  opened->organisation = (char *)request->organisation;
  opened->service = (char *)request->service;
  opened->route = (char *)request->route;
  opened->digest = open_digest (request);
  opened->traceparent = (char *)request->traceparent;
}

static enum mq_error_type
fill_history (struct mq_owner *owner, struct opening *opening,
              const struct mq_request_msg *request,
              const struct mq_service *service, const char *input)
{
  struct mq_program *scratch = talloc_zero (owner->actions, struct mq_program);
  const struct running *before = NULL;

  if (scratch == NULL)
    abort ();
  if (!mq_id_is_zero (request->continues))
    {
      before = chain_find (owner, request->continues);
      if (before == NULL
          || strcmp (before->program->organisation, request->organisation)
                 != 0)
        return MQ_ERR_NOT_FOUND;
      if (before->program->state == MQ_PROGRAM_RUNNING)
        return MQ_ERR_OUT_OF_ORDER;
      scratch->messages = before->program->messages;
      scratch->messages = talloc_strndup (
          scratch,
          before->program->messages == NULL ? "" : before->program->messages,
          before->program->messages_len);
      scratch->messages_len = before->program->messages_len;
      scratch->messages_room = before->program->messages_len + 1;
      scratch->message_count = before->program->message_count;
      opening->opened.follow_up = true;
    }
  else if (service->prompt != NULL && service->prompt[0] != '\0')
    mq_program_add_message (scratch, "system", NULL, NULL, service->prompt);
  if (input != NULL)
    mq_program_add_message (scratch, "user", NULL, NULL, input);
  if (scratch->messages != NULL)
    opening->opened.messages = scratch->messages;
  opening->opened.message_count = scratch->message_count;
  return MQ_ERR_NONE;
}

static enum mq_error_type
fill_agent (struct mq_owner *owner, struct opening *opening,
            const struct mq_request_msg *request,
            const struct mq_service *service, json_t *root)
{
  const char *input = json_string_value (json_object_get (root, "input"));

  opening->budget.tokens = service->budget.tokens;
  opening->budget.turns = service->budget.turns;
  opening->budget.seconds = service->budget.seconds;
  opening->opened.priority = service->priority;
  opening->opened.keep_open
      = json_is_true (json_object_get (root, "keep_open"));
  if (request->type == MQ_REQUEST_CREATE)
    {
      opening->opened.mode = MQ_MODE_STEPS;
      return fill_history (owner, opening, request, service, NULL);
    }
  if (input == NULL)
    return MQ_ERR_BAD_JSON;
  opening->opened.mode = MQ_MODE_CHAIN;
  return fill_history (owner, opening, request, service, input);
}

/* A call of a model, plain service or tool by itself.  */
static enum mq_error_type
fill_single (struct mq_owner *owner, struct opening *opening,
             const struct mq_request_msg *request,
             const struct mq_service *service, json_t *root)
{
  json_t *arguments = json_object_get (root, "arguments");
  const char *input = json_string_value (json_object_get (root, "input"));
  char *dump;

  if (service->kind == MQ_SERVICE_PLAIN
      && mq_text_find_route (service, request->route) == NULL)
    return MQ_ERR_NOT_FOUND;
  opening->opened.mode = MQ_MODE_SINGLE;
  opening->opened.priority = MQ_PRIORITY_INTERACTIVE;
  opening->budget.tokens = service->max_tokens;
  opening->budget.turns = 1;
  opening->budget.seconds = SINGLE_SECONDS;
  if (service->kind == MQ_SERVICE_MODEL)
    {
      if (input == NULL)
        return MQ_ERR_BAD_JSON;
      opening->opened.input = talloc_strdup (owner->actions, input);
      return MQ_ERR_NONE;
    }
  if (arguments == NULL)
    return MQ_ERR_NONE;
  dump = json_dumps (arguments, JSON_COMPACT | JSON_ENCODE_ANY);
  opening->opened.input = talloc_strdup (owner->actions, dump);
  free (dump);
  return MQ_ERR_NONE;
}

static enum mq_error_type
fill_opening (struct mq_owner *owner, struct opening *opening,
              const struct mq_request_msg *request)
{
  const struct mq_service *service
      = mq_text_find_service (owner->text, request->service);
  json_t *root = json_loads (request->body, 0, NULL);
  enum mq_error_type error;

  fill_common (opening, request);
  if (service == NULL)
    error = MQ_ERR_NOT_FOUND;
  else if (!json_is_object (root))
    error = MQ_ERR_BAD_JSON;
  else if (service->kind == MQ_SERVICE_AGENT)
    error = fill_agent (owner, opening, request, service, root);
  else
    error = fill_single (owner, opening, request, service, root);
  json_decref (root);
  return error;
}

static void
grant_first (struct mq_owner *owner, struct running *running)
{
  const struct mq_service *service
      = mq_text_find_service (owner->text, running->program->service);
  uint32_t max_tokens = 0;

  for (size_t i = 0; service != NULL && i < service->depend_count; i++)
    if (owner->text->services[service->depends[i]].kind == MQ_SERVICE_MODEL)
      max_tokens = owner->text->services[service->depends[i]].max_tokens;
  if (service != NULL && service->kind == MQ_SERVICE_MODEL)
    max_tokens = service->max_tokens;
  if (max_tokens > running->program->budget.tokens)
    max_tokens = (uint32_t)running->program->budget.tokens;
  if (max_tokens > 0)
    chain_has_grant (owner, running, max_tokens);
}

/* A history that carries over has been computed before.  */
static void
note_known_tokens (struct mq_owner *owner, struct running *running,
                   struct mq_id continues)
{
  const struct running *before
      = mq_id_is_zero (continues) ? NULL : chain_find (owner, continues);

  if (before != NULL)
    running->known_tokens = before->known_tokens;
}

static void
open_new (struct mq_owner *owner, struct partition *partition, uint32_t peer,
          uint64_t handle, const struct mq_request_msg *request)
{
  struct opening opening;
  struct running *running;
  uint32_t retry_after_ms = 0;
  enum mq_error_type error = fill_opening (owner, &opening, request);

  if (error == MQ_ERR_NONE)
    error = check_room (owner, request,
                        (enum mq_priority)opening.opened.priority,
                        &retry_after_ms);
  if (error != MQ_ERR_NONE)
    {
      refuse (owner, partition, peer, handle, error, retry_after_ms);
      return;
    }
  running = chain_open (owner, partition, request->program, &opening.opened);
  note_known_tokens (owner, running, request->continues);
  add_waiter (running, peer, handle, request, 0);
  grant_first (owner, running);
  log_hook (owner, running, HOOK_ACCEPTED, 0, 0, NULL)->tokens
      = running->grant_wanted;
  if (running->program->mode != MQ_MODE_STEPS)
    chain_start_clock (owner, running);
  log_flush (owner);
}

/* The caller's open came before: the same program answers.  */
static void
join_program (struct mq_owner *owner, struct running *running, uint32_t peer,
              uint64_t handle, const struct mq_request_msg *request)
{
  const struct mq_program *program = running->program;
  struct mq_event_msg event = { .handle = handle, .type = MQ_EVENT_ACCEPTED };
  char id[MQ_ID_TEXT];

  if (program->digest != open_digest (request))
    {
      refuse (owner, running->partition, peer, handle, MQ_ERR_KEY_REUSED, 0);
      return;
    }
  add_waiter (running, peer, handle, request, 0);
  if (running->undurable > 0)
    {
      /* What it waits for is durable soon; then it is told.  */
      if (program->state != MQ_PROGRAM_RUNNING)
        log_hook (owner, running, HOOK_ANSWERED, 0, 0, NULL);
      return;
    }
  mq_id_format (program->id, id);
  event.body = talloc_asprintf (owner->actions, "{\"program\":\"%s\"}", id);
  send_event (owner, peer, &event);
  if (program->state != MQ_PROGRAM_RUNNING)
    request_final (owner, running);
}

/* ---- Further requests ---- */

/* Whoever waits for an answer that is there is told when it is durable.
   Failure: all that is not yet durable is a charge after the answer; nothing
   followed its commit, and the caller waited for ever.  */
static void
answer_when_durable (struct mq_owner *owner, struct running *running)
{
  if (running->program->state == MQ_PROGRAM_RUNNING)
    return;
  if (running->undurable == 0)
    request_final (owner, running);
  else
    log_hook (owner, running, HOOK_ANSWERED, 0, 0, NULL);
}

static void
handle_turn (struct mq_owner *owner, struct running *running, uint32_t peer,
             uint64_t handle, const struct mq_request_msg *request)
{
  json_t *root = json_loads (request->body, 0, NULL);
  const char *input = json_string_value (json_object_get (root, "input"));
  uint64_t digest = mq_hash_bytes (request->key, strlen (request->key), 3) | 1;
  Mqlog__Record record = MQLOG__RECORD__INIT;
  Mqlog__Turned turned = MQLOG__TURNED__INIT;
  enum mq_error_type error = MQ_ERR_NONE;

  if (running->program->turn_digest == digest)
    {
      add_waiter (running, peer, handle, request, 0);
      answer_when_durable (owner, running);
      json_decref (root);
      return;
    }
  if (input == NULL)
    error = MQ_ERR_BAD_JSON;
  else if (running->program->state == MQ_PROGRAM_ENDED)
    error = MQ_ERR_ENDED;
  else if (running->program->state == MQ_PROGRAM_RUNNING
           || running->program->mode != MQ_MODE_CHAIN)
    error = MQ_ERR_OUT_OF_ORDER;
  if (error != MQ_ERR_NONE)
    {
      refuse (owner, running->partition, peer, handle, error, 0);
      json_decref (root);
      return;
    }
  add_waiter (running, peer, handle, request, 0);
  turned.input = (char *)input;
  turned.digest = digest;
  record.body_case = MQLOG__RECORD__BODY_TURNED;
  record.turned = &turned;
  log_append (owner, running, &record);
  json_decref (root);
  chain_start_clock (owner, running);
  /* The answer waits for the turn's commit as for every record before it;
     the model need not.  */
  chain_advance (owner, running);
  log_flush (owner);
}

static bool
step_is_known (const struct mq_program *program, uint32_t sequence,
               uint64_t digest)
{
  return sequence >= 1 && sequence <= program->step_count
         && program->steps[sequence - 1].digest == digest;
}

static void
queue_step (struct running *running, uint32_t sequence,
            const struct mq_request_msg *request)
{
  struct queued_step *step = talloc_zero (running, struct queued_step);

  if (step == NULL)
    abort ();
  step->call = sequence;
  mq_request_copy (step, &step->request, request);
  step->next = running->steps;
  running->steps = step;
}

static bool
step_is_queued (const struct running *running, uint32_t sequence)
{
  for (const struct queued_step *s = running->steps; s != NULL; s = s->next)
    if (s->call == sequence)
      return true;
  return false;
}

static enum mq_error_type
check_step (const struct running *running, uint32_t sequence, uint64_t digest)
{
  const struct mq_program *program = running->program;
  uint32_t next = program->calls + 1;

  if (program->mode != MQ_MODE_STEPS)
    return MQ_ERR_OUT_OF_ORDER;
  if (program->state == MQ_PROGRAM_ENDED || running->stop != MQ_ERR_NONE)
    return MQ_ERR_ENDED;
  if (sequence < next && !step_is_known (program, sequence, digest))
    return MQ_ERR_OUT_OF_ORDER;
  if (sequence == next && running->call != NULL
      && running->call->digest != digest)
    return MQ_ERR_OUT_OF_ORDER;
  if (sequence > next + MQ_STEP_AHEAD_MAX)
    return MQ_ERR_OUT_OF_ORDER;
  return MQ_ERR_NONE;
}

/* Without a sequence number a call is the next one, unless it repeats the
   call before or the one that runs.  */
static uint32_t
find_sequence (const struct running *running,
               const struct mq_request_msg *request, uint64_t digest)
{
  const struct mq_program *program = running->program;

  if (request->sequence != 0)
    return request->sequence;
  if (request->key[0] != '\0')
    {
      for (uint32_t i = 1; i <= program->step_count; i++)
        if (step_is_known (program, i, digest))
          return i;
    }
  if (running->call != NULL && running->call->digest != digest)
    return program->calls + 2;
  return program->calls + 1;
}

static void
handle_step (struct mq_owner *owner, struct running *running, uint32_t peer,
             uint64_t handle, const struct mq_request_msg *request)
{
  uint64_t digest = chain_step_digest (request);
  uint32_t sequence = find_sequence (running, request, digest);
  enum mq_error_type error = check_step (running, sequence, digest);

  if (error == MQ_ERR_NONE && owner->leaving)
    error = MQ_ERR_LEAVING;
  if (error != MQ_ERR_NONE)
    {
      refuse (owner, running->partition, peer, handle, error, 0);
      return;
    }
  add_waiter (running, peer, handle, request, sequence);
  if (sequence <= running->program->calls)
    {
      if (running->undurable == 0)
        request_step_done (owner, running, sequence);
      return;
    }
  if (running->call != NULL || sequence > running->program->calls + 1)
    {
      if (!(running->call != NULL && running->call->number == sequence)
          && !step_is_queued (running, sequence))
        queue_step (running, sequence, request);
      return;
    }
  error = chain_step (owner, running, request);
  if (error != MQ_ERR_NONE)
    request_refuse_step (owner, running, sequence, error);
  log_flush (owner);
}

static void
answer_get (struct mq_owner *owner, struct running *running, uint32_t peer,
            uint64_t handle, bool history)
{
  struct mq_event_msg event
      = { .handle = handle, .type = MQ_EVENT_FINAL, .ran = MQ_RAN_RAN };

  if (history)
    event.body = mq_program_history (owner->actions, running->program);
  else if (running->program->state == MQ_PROGRAM_ENDED)
    {
      send_final (owner, running, peer, handle);
      return;
    }
  else
    event.body = request_final_body (owner->actions, running);
  answer_later (owner, running->partition->number, peer, &event);
}

void
request_reply (struct mq_owner *owner, struct hook *hook)
{
  struct running *running = chain_find (owner, hook->program);

  if (running == NULL)
    return;
  /* A later answer came meanwhile, and its commit is still to come.  */
  if (owner->settled < running->answer_mark)
    {
      log_hook_reply (owner, running, hook->peer, hook->handle)->history
          = hook->history;
      return;
    }
  answer_get (owner, running, hook->peer, hook->handle, hook->history);
}

static void
handle_get (struct mq_owner *owner, struct running *running, uint32_t peer,
            uint64_t handle, const struct mq_request_msg *request)
{
  bool history = strcmp (request->route, "history") == 0;

  if (request->stream && !history)
    {
      add_waiter (running, peer, handle, request, 0);
      answer_when_durable (owner, running);
      return;
    }
  /* Nothing is shown that a takeover could still undo.  */
  if (running->undurable > 0)
    {
      log_hook_reply (owner, running, peer, handle)->history = history;
      return;
    }
  answer_get (owner, running, peer, handle, history);
}

static void
handle_close (struct mq_owner *owner, struct running *running, uint32_t peer,
              uint64_t handle, const struct mq_request_msg *request)
{
  enum mq_error_type why
      = request->type == MQ_REQUEST_CANCEL ? MQ_ERR_CANCELLED : MQ_ERR_NONE;

  if (running->program->state == MQ_PROGRAM_ENDED)
    {
      add_waiter (running, peer, handle, request, 0);
      answer_when_durable (owner, running);
      return;
    }
  if (why == MQ_ERR_NONE
      && (running->program->state == MQ_PROGRAM_RUNNING
          || running->call != NULL))
    {
      refuse (owner, running->partition, peer, handle, MQ_ERR_OUT_OF_ORDER,
              RETRY_LATER_MS);
      return;
    }
  add_waiter (running, peer, handle, request, 0);
  if (why == MQ_ERR_CANCELLED)
    chain_stop (owner, running, why);
  else
    {
      /* The last answer stays the program's answer.  */
      char *answer = talloc_strdup (
          owner->actions,
          running->program->answer == NULL ? "" : running->program->answer);

      running->program->keep_open = false;
      chain_end (owner, running, MQ_ERR_NONE, MQ_RAN_RAN, answer);
    }
  log_flush (owner);
}

static void
handle_known (struct mq_owner *owner, struct running *running, uint32_t peer,
              uint64_t handle, const struct mq_request_msg *request)
{
  switch (request->type)
    {
    case MQ_REQUEST_OPEN:
    case MQ_REQUEST_CREATE:
      join_program (owner, running, peer, handle, request);
      break;
    case MQ_REQUEST_STEP:
      handle_step (owner, running, peer, handle, request);
      break;
    case MQ_REQUEST_TURN:
      handle_turn (owner, running, peer, handle, request);
      break;
    case MQ_REQUEST_GET:
      handle_get (owner, running, peer, handle, request);
      break;
    case MQ_REQUEST_CLOSE:
    case MQ_REQUEST_CANCEL:
      handle_close (owner, running, peer, handle, request);
      break;
    }
}

void
request_handle (struct mq_owner *owner, uint32_t peer, uint64_t handle,
                const struct mq_request_msg *request)
{
  struct partition *partition;
  struct running *running;

  if (owner->partition_count == 0)
    {
      send_away (owner, peer, handle, MQ_ERR_NOT_READY, "");
      return;
    }
  partition = &owner->partitions[mq_id_partition (request->program,
                                                  owner->partition_count)];
  if (partition->state != PARTITION_ACTIVE)
    {
      send_away (owner, peer, handle, MQ_ERR_NOT_READY,
                 redirect_for (owner, partition));
      return;
    }
  running = chain_find (owner, request->program);
  if (running != NULL
      && strcmp (running->program->organisation, request->organisation) != 0)
    running = NULL;
  if (running != NULL)
    {
      handle_known (owner, running, peer, handle, request);
      return;
    }
  if (request->type == MQ_REQUEST_OPEN || request->type == MQ_REQUEST_CREATE)
    open_new (owner, partition, peer, handle, request);
  else
    refuse (owner, partition, peer, handle, MQ_ERR_NOT_FOUND, 0);
}
