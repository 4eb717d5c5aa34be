/* owner_chain.c - table of programs, their next calls and post-commit hooks.

   A budget grant, the intent of a non-idempotent call and the final answer
   wait for a commit.  Everything else runs ahead of the store; a takeover
   repeats it or recovers it from the targets.
   Needs: owner_parts.h, id.h, jansson.  */

#include "owner_parts.h"
#include "../id.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* ---- Table of programs ---- */

struct running *
chain_find (struct mq_owner *owner, struct mq_id id)
{
  return mq_idmap_find (owner->running, id, 0);
}

static struct organisation_count *
find_organisation_count (const struct mq_owner *owner, const char *name)
{
  struct organisation_count *count;

  for (count = owner->organisations; count != NULL; count = count->next)
    if (strcmp (count->name, name) == 0)
      return count;
  return NULL;
}

void
chain_count_live (struct mq_owner *owner, const struct running *running,
                  int change)
{
  const char *name = running->program->organisation;
  struct organisation_count *count = find_organisation_count (owner, name);

  owner->live += (uint32_t)change;
  if (count == NULL)
    {
      count = talloc_zero (owner, struct organisation_count);
      if (count == NULL)
        abort ();
      count->name = talloc_strdup (count, name);
      count->next = owner->organisations;
      owner->organisations = count;
    }
  count->live += (uint32_t)change;
}

uint32_t
chain_count_organisation (const struct mq_owner *owner,
                          const char *organisation)
{
  const struct organisation_count *count
      = find_organisation_count (owner, organisation);

  return count == NULL ? 0 : count->live;
}

struct running *
chain_add (struct mq_owner *owner, struct partition *partition,
           struct mq_program *program)
{
  struct running *running = talloc_zero (partition->memory, struct running);

  if (running == NULL)
    abort ();
  running->program = talloc_steal (running, program);
  running->partition = partition;
  running->parent = mq_id_is_zero (program->parent)
                        ? NULL
                        : chain_find (owner, program->parent);
  running->grant_durable = program->granted;
  running->ended_us = owner->now_us;
  mq_idmap_put (partition->programs, program->id, 0, running);
  mq_idmap_put (owner->running, program->id, 0, running);
  if (program->state != MQ_PROGRAM_ENDED)
    chain_count_live (owner, running, 1);
  return running;
}

void
chain_remove (struct mq_owner *owner, struct running *running)
{
  struct mq_id id = running->program->id;

  events_detach (owner, running);
  place_discard_call (owner, running);
  mq_idmap_remove (owner->running, id, 0);
  mq_idmap_remove (running->partition->programs, id, 0);
  talloc_free (running);
}

/* ---- Next calls ---- */

static const struct mq_service *
find_model (const struct mq_owner *owner, const struct mq_service *agent)
{
  for (size_t i = 0; agent != NULL && i < agent->depend_count; i++)
    {
      const struct mq_service *service
          = &owner->text->services[agent->depends[i]];

      if (service->kind == MQ_SERVICE_MODEL)
        return service;
    }
  return NULL;
}

/* Copies what a call needs, since the configuration may change meanwhile.  */
static struct mq_service *
copy_service (TALLOC_CTX *ctx, const struct mq_service *service)
{
  struct mq_service *copy = talloc_zero (ctx, struct mq_service);

  if (copy == NULL)
    abort ();
  copy->name = talloc_strdup (copy, service->name);
  copy->kind = service->kind;
  copy->idempotent = service->idempotent;
  copy->max_tokens = service->max_tokens;
  copy->timeout_ms = service->timeout_ms;
  copy->retry_percent = service->retry_percent;
  if (service->model != NULL)
    copy->model = talloc_strdup (copy, service->model);
  if (service->path != NULL)
    copy->path = talloc_strdup (copy, service->path);
  return copy;
}

struct call *
chain_new_call (struct running *running, const struct mq_service *service,
                const struct mq_route *route)
{
  struct call *call = talloc_zero (running, struct call);
  struct mq_service *copy;

  if (call == NULL)
    abort ();
  copy = copy_service (call, service);
  call->number = running->program->calls + 1;
  call->service = copy;
  call->model = service->kind == MQ_SERVICE_MODEL;
  call->idempotent = call->model || service->idempotent;
  if (route != NULL)
    {
      call->idempotent = route->idempotent;
      copy->path = talloc_strdup (copy, route->path);
    }
  return call;
}

uint32_t
chain_cap_tokens (const struct running *running,
                  const struct mq_service *model, uint32_t wanted)
{
  uint64_t left = budget_remaining_tokens (running);
  uint64_t cap = model->max_tokens;

  if (wanted != 0 && wanted < cap)
    cap = wanted;
  return (uint32_t)(left < cap ? left : cap);
}

/* Limits the current call to the remaining tokens; false when none remain. */
bool
chain_limit_call (struct running *running)
{
  struct call *call = running->call;
  uint64_t left = budget_remaining_tokens (running);

  if (call->max_tokens > left)
    call->max_tokens = (uint32_t)left;
  return call->max_tokens > 0;
}

/* Sets the token limit and body of a model call; false when no tokens
   remain.  */
bool
chain_prepare_model (struct running *running, struct call *call,
                     uint32_t wanted, const char *extra_input)
{
  call->max_tokens = chain_cap_tokens (running, call->service, wanted);
  if (call->max_tokens == 0)
    return false;
  call->body
      = mq_program_model_body (call, running->program, call->service->model,
                               call->max_tokens, extra_input);
  return true;
}

static void
start_model (struct mq_owner *owner, struct running *running, bool place)
{
  const struct mq_service *model = find_model (
      owner, mq_text_find_service (owner->text, running->program->service));
  struct call *call;

  if (model == NULL)
    {
      end_program (owner, running, MQ_ERR_NOT_FOUND, MQ_RAN_NOT_RUN, "");
      return;
    }
  call = chain_new_call (running, model, NULL);
  if (!chain_prepare_model (running, call, 0, NULL))
    {
      end_begin_stop (owner, running, MQ_ERR_BUDGET_TOKENS);
      return;
    }
  if (place)
    place_start (owner, running, call);
  else
    running->call = call;
}

/* Finds the callee by "service" or "service.route".  NULL when unknown, a
   model, or not a dependency of the program's service.  */
static const struct mq_service *
resolve_name (const struct mq_owner *owner, const struct running *running,
              const char *name, const struct mq_route **route)
{
  const struct mq_service *from
      = mq_text_find_service (owner->text, running->program->service);
  const struct mq_service *to = mq_text_find_service (owner->text, name);
  const char *dot = strrchr (name, '.');

  *route = NULL;
  if (to == NULL && dot != NULL)
    {
      char *service = talloc_strndup (NULL, name, (size_t)(dot - name));

      to = mq_text_find_service (owner->text, service);
      talloc_free (service);
      *route = to == NULL ? NULL : mq_text_find_route (to, dot + 1);
    }
  if (to == NULL || from == NULL || !mq_text_depends (owner->text, from, to))
    return NULL;
  if (to->kind == MQ_SERVICE_PLAIN && *route == NULL)
    return NULL;
  if (to->kind == MQ_SERVICE_MODEL)
    return NULL;
  return to;
}

static char *
child_input (TALLOC_CTX *ctx, const char *arguments)
{
  json_t *root = json_loads (arguments, 0, NULL);
  const char *input = json_string_value (json_object_get (root, "input"));
  char *copy = talloc_strdup (ctx, input == NULL ? arguments : input);

  json_decref (root);
  return copy;
}

static char *
initial_messages (TALLOC_CTX *ctx, const struct mq_service *agent,
                  const char *input, uint32_t *count)
{
  struct mq_program *scratch = talloc_zero (ctx, struct mq_program);

  if (scratch == NULL)
    abort ();
  if (agent->prompt != NULL && agent->prompt[0] != '\0')
    mq_program_add_message (scratch, "system", NULL, NULL, agent->prompt);
  mq_program_add_message (scratch, "user", NULL, NULL, input);
  *count = scratch->message_count;
  return scratch->messages;
}

struct running *
chain_open (struct mq_owner *owner, struct partition *partition,
            struct mq_id id, const Mqlog__Opened *opened)
{
  Mqlog__Record record = MQLOG__RECORD__INIT;
  struct running *running = chain_add (
      owner, partition, mq_program_open (partition->memory, id, opened));

  record.body_case = MQLOG__RECORD__BODY_OPENED;
  record.opened = (Mqlog__Opened *)opened;
  owner->counters.programs_opened++;
  log_append (owner, running, &record);
  return running;
}

static void
start_child (struct mq_owner *owner, struct running *running,
             const struct mq_service *agent, const char *arguments)
{
  const struct mq_program *parent = running->program;
  Mqlog__Opened opened = MQLOG__OPENED__INIT;
  Mqlog__Budget budget = MQLOG__BUDGET__INIT;
  struct mq_id id = mq_id_child (parent->id, running->call->number);
  struct running *child;

  budget.tokens = agent->budget.tokens;
  budget.turns = agent->budget.turns;
  budget.seconds = agent->budget.seconds;
  opened.parent_hi = parent->id.hi;
  opened.parent_lo = parent->id.lo;
  opened.parent_call = running->call->number;
  opened.organisation = (char *)parent->organisation;
  opened.service = (char *)agent->name;
  opened.mode = MQ_MODE_CHAIN;
  opened.priority = parent->priority;
  opened.follow_up = parent->follow_up;
  opened.traceparent = (char *)parent->traceparent;
  opened.budget = &budget;
  opened.messages = initial_messages (owner->actions, agent,
                                      child_input (owner->actions, arguments),
                                      &opened.message_count);
  child = chain_open (owner, running->partition, id, &opened);
  budget_start_clock (owner, child);
  running->child = child;
  chain_advance (owner, child);
}

/* Continues a sub-program opened by a previous owner, or opens one.  */
static void
start_or_join_child (struct mq_owner *owner, struct running *running,
                     const struct mq_service *agent, const char *arguments)
{
  struct mq_id id = mq_id_child (running->program->id, running->call->number);
  struct running *child = chain_find (owner, id);

  running->call->state = CALL_IN_SUBPROGRAM;
  if (child == NULL)
    {
      start_child (owner, running, agent, arguments);
      return;
    }
  child->parent = running;
  running->child = child;
  if (child->program->state == MQ_PROGRAM_ENDED)
    end_child (owner, child);
}

static void
start_call (struct mq_owner *owner, struct running *running, bool place)
{
  struct mq_program *program = running->program;
  const struct mq_tool_call *pending = mq_program_pending (program);
  const struct mq_service *service;
  const struct mq_route *route = NULL;
  const char *body;
  struct call *call;

  if (program->mode == MQ_MODE_SINGLE)
    {
      service = mq_text_find_service (owner->text, program->service);
      if (service != NULL && program->route[0] != '\0')
        route = mq_text_find_route (service, program->route);
      body = program->input;
    }
  else
    {
      service = resolve_name (owner, running, pending->name, &route);
      body = pending->arguments;
    }
  if (service == NULL)
    {
      /* Reported to the model as the outcome of its tool call.  */
      end_call (owner, running, MQ_ERR_NOT_FOUND, MQ_RAN_NOT_RUN, "", NULL);
      return;
    }
  call = chain_new_call (running, service, route);
  if (service->kind == MQ_SERVICE_AGENT)
    {
      running->call = call;
      start_or_join_child (owner, running, service, body);
      return;
    }
  if (call->model && !chain_prepare_model (running, call, 0, body))
    {
      end_begin_stop (owner, running, MQ_ERR_BUDGET_TOKENS);
      return;
    }
  if (!call->model)
    call->body = talloc_strdup (call, body[0] == '\0' ? "{}" : body);
  if (place)
    place_start (owner, running, call);
  else
    running->call = call;
}

static void
start_next_call (struct mq_owner *owner, struct running *running, bool place)
{
  enum mq_next_type next = mq_program_next (running->program);

  if (running->call != NULL || running->partition->state != PARTITION_ACTIVE)
    return;
  if (next == MQ_NEXT_NONE)
    return;
  if (running->stop != MQ_ERR_NONE)
    {
      end_program (owner, running, running->stop, MQ_RAN_RAN, "");
      return;
    }
  if (next == MQ_NEXT_ANSWER)
    {
      end_program (owner, running, MQ_ERR_NONE, MQ_RAN_RAN,
                   running->program->last_content);
      return;
    }
  if (!budget_has_turns (running))
    {
      end_begin_stop (owner, running, MQ_ERR_BUDGET_TURNS);
      return;
    }
  if (!budget_has_time (owner, running))
    {
      end_begin_stop (owner, running, MQ_ERR_BUDGET_TIME);
      return;
    }
  if (owner->options.commit_each_step && running->uncommitted_records > 0
      && place)
    {
      log_add_hook (owner, running, HOOK_GRANTED, 0, 0, NULL);
      return;
    }
  if (next == MQ_NEXT_MODEL)
    start_model (owner, running, place);
  else
    start_call (owner, running, place);
}

void
chain_advance (struct mq_owner *owner, struct running *running)
{
  start_next_call (owner, running, true);
}

/* After a takeover: creates the current call without placing it.  */
void
chain_resume_call (struct mq_owner *owner, struct running *running)
{
  start_next_call (owner, running, false);
}

/* ---- After commits ---- */

static void
on_accepted_durable (struct mq_owner *owner, struct running *running,
                     uint64_t granted)
{
  char id[MQ_ID_TEXT];
  char *body;

  if (granted > running->grant_durable)
    running->grant_durable = granted;
  mq_id_format (running->program->id, id);
  body = talloc_asprintf (owner->actions, "{\"program\":\"%s\"}", id);
  events_notify_waiters (owner, running, MQ_EVENT_ACCEPTED, 0, 0, body);
  if (running->program->mode == MQ_MODE_STEPS)
    events_final (owner, running);
  else
    chain_advance (owner, running);
}

static void
on_grant_durable (struct mq_owner *owner, struct running *running,
                  uint64_t granted)
{
  running->grant_requested = false;
  if (granted > running->grant_durable)
    running->grant_durable = granted;
  if (running->call == NULL)
    chain_advance (owner, running);
  else
    place_retry (owner, running);
}

/* Sends the answer unless a further turn has begun since, or the latest answer
   is not durable yet.  Otherwise a caller could get the state of a running
   program, or an answer that a takeover would lose.  */
static void
on_answer_durable (struct mq_owner *owner, struct running *running,
                   uint64_t since_us)
{
  if (running->program->state == MQ_PROGRAM_RUNNING
      || owner->settled_position < running->answer_position)
    return;
  owner_record_span (owner, running, "commit", 0, since_us, MQ_ERR_NONE);
  if (running->program->state == MQ_PROGRAM_ENDED)
    evict_start (owner, running);
  events_final (owner, running);
}

void
chain_hook (struct mq_owner *owner, struct hook *hook)
{
  struct running *running = chain_find (owner, hook->program);

  if (hook->type == HOOK_OUTCOME || hook->type == HOOK_FORGET_OUTCOME)
    calls_send_forget (owner, hook->program, hook->call, hook->attempt,
                       hook->partition,
                       owner->partitions[hook->partition].fence, hook->host);
  if (running == NULL)
    return;
  switch (hook->type)
    {
    case HOOK_ACCEPTED:
      on_accepted_durable (owner, running, hook->tokens);
      break;
    case HOOK_GRANTED:
      on_grant_durable (owner, running, hook->tokens);
      break;
    case HOOK_INTENT:
      if (running->partition->state == PARTITION_ACTIVE)
        place_on_intent_durable (owner, running, hook->call, hook->attempt);
      break;
    case HOOK_FORGET_OUTCOME:
      break;
    case HOOK_OUTCOME:
      events_send_step_result (owner, running, hook->call);
      break;
    case HOOK_ANSWERED:
      on_answer_durable (owner, running, hook->since_us);
      break;
    case HOOK_REPLY:
      request_send_reply (owner, hook);
      break;
    }
}

/* ---- Ticks ---- */

void
chain_tick (struct mq_owner *owner, struct running *running)
{
  const struct mq_program *program = running->program;

  if (running->partition->state != PARTITION_ACTIVE)
    return;
  if (program->state == MQ_PROGRAM_ENDED)
    {
      if (running->evicting && owner->now_us >= running->evict_us)
        evict_send (owner, running);
      if (!running->evicting && running->uncommitted_records == 0
          && owner->now_us - running->ended_us >= 1000ULL * MQ_ENDED_KEEP_MS)
        chain_remove (owner, running);
      else
        owner_set_timer (owner, running,
                         running->evicting
                             ? running->evict_us
                             : running->ended_us + 1000ULL * MQ_ENDED_KEEP_MS);
      return;
    }
  if (program->state == MQ_PROGRAM_RUNNING
      && !budget_has_time (owner, running))
    {
      end_begin_stop (owner, running, MQ_ERR_BUDGET_TIME);
      if (program->state == MQ_PROGRAM_ENDED)
        return;
    }
  else if (running->clock_started_us != 0)
    budget_start_clock (owner, running); /* restarts the timer */
  settle_tick (owner, running);
  if (running->caches != NULL && owner->now_us >= running->lease_us)
    evict_renew_leases (owner, running);
  else if (running->caches != NULL)
    owner_set_timer (owner, running, running->lease_us);
}
