/* owner_chain.c - programs: their next steps, budget, answers and eviction.

   Three things wait for a commit: a budget grant, a call that may not be
   repeated (its intent), and the final answer.  The rest goes ahead of the
   store; a takeover does it again or finds it at the targets' processes.
   Needs: owner_state.h, id.h, jansson.  */

#include "owner_state.h"
#include "id.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EVICT_AGAIN_MS = 2000,
  LEASE_DIVISOR = 3 /* renewals in a lease */
};

/* ---- The table of programs ---- */

struct running *
chain_find (struct mq_owner *owner, struct mq_id id)
{
  return mq_idmap_find (owner->running, id, 0);
}

static struct organisation_count *
find_count (const struct mq_owner *owner, const char *name)
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
  struct organisation_count *count = find_count (owner, name);

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
chain_live_of (const struct mq_owner *owner, const char *organisation)
{
  const struct organisation_count *count = find_count (owner, organisation);

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

  request_detach (owner, running);
  calls_drop (owner, running);
  mq_idmap_remove (owner->running, id, 0);
  mq_idmap_remove (running->partition->programs, id, 0);
  talloc_free (running);
}

/* ---- Time ---- */

uint64_t
chain_elapsed_ms (const struct mq_owner *owner, const struct running *running)
{
  uint64_t elapsed = running->program->elapsed_ms;

  if (running->clock_us != 0)
    elapsed += (owner->now_us - running->clock_us) / 1000;
  return elapsed;
}

void
chain_start_clock (struct mq_owner *owner, struct running *running)
{
  uint64_t budget_ms = 1000ULL * running->program->budget.seconds;
  uint64_t elapsed = chain_elapsed_ms (owner, running);

  if (running->clock_us == 0)
    running->clock_us = owner->now_us;
  if (budget_ms > 0)
    owner_wake_at (
        owner, running,
        owner->now_us
            + 1000 * (budget_ms > elapsed ? budget_ms - elapsed : 0));
}

static void
stop_clock (struct mq_owner *owner, struct running *running)
{
  running->program->elapsed_ms = chain_elapsed_ms (owner, running);
  running->clock_us = 0;
}

/* ---- Budget ---- */

void
chain_reserve (struct running *running, uint64_t tokens)
{
  for (struct running *r = running; r != NULL; r = r->parent)
    r->reserved += tokens;
}

void
chain_release (struct running *running, uint64_t tokens)
{
  for (struct running *r = running; r != NULL; r = r->parent)
    r->reserved -= tokens;
}

void
chain_charge (struct mq_owner *owner, struct running *running, uint64_t tokens)
{
  Mqlog__Record record = MQLOG__RECORD__INIT;

  if (tokens == 0)
    return;
  running->pending_charge += tokens;
  record.body_case = MQLOG__RECORD__BODY_CHARGED;
  record.charged = true;
  log_append (owner, running, &record);
}

/* After a takeover in which some target that the earlier owner may have
   used did not answer: it may still spend what was granted, so that counts
   as spent.  */
void
chain_forfeit (struct mq_owner *owner, struct running *running)
{
  struct mq_program *program = running->program;
  Mqlog__Record record = MQLOG__RECORD__INIT;

  if (program->state == MQ_PROGRAM_ENDED || program->granted <= program->spent)
    return;
  running->forfeited = true;
  running->pending_charge = program->granted - program->spent;
  owner->counters.tokens_forfeited += running->pending_charge;
  record.body_case = MQLOG__RECORD__BODY_FORFEITED;
  record.forfeited = true;
  log_append (owner, running, &record);
  running->discard_mark = owner->appended;
}

static uint64_t
tokens_left (const struct running *running)
{
  uint64_t left = UINT64_MAX;

  for (const struct running *r = running; r != NULL; r = r->parent)
    {
      uint64_t used = r->program->spent + r->reserved;
      uint64_t budget = r->program->budget.tokens;

      if (budget <= used)
        return 0;
      if (budget - used < left)
        left = budget - used;
    }
  return left;
}

static bool
turns_are_left (const struct running *running)
{
  for (const struct running *r = running; r != NULL; r = r->parent)
    if (r->program->turns >= r->program->budget.turns)
      return false;
  return true;
}

static bool
time_is_left (const struct mq_owner *owner, const struct running *running)
{
  const struct mq_program *program = running->program;

  return program->budget.seconds == 0
         || chain_elapsed_ms (owner, running)
                < 1000ULL * program->budget.seconds;
}

static void
append_grant (struct mq_owner *owner, struct running *running,
              uint64_t granted)
{
  Mqlog__Record record = MQLOG__RECORD__INIT;
  Mqlog__Granted body = MQLOG__GRANTED__INIT;

  body.tokens = granted;
  record.body_case = MQLOG__RECORD__BODY_GRANTED;
  record.granted = &body;
  running->grant_wanted = granted;
  log_append (owner, running, &record);
}

static uint64_t
grant_for (const struct running *running, uint64_t need)
{
  uint64_t used = running->program->spent + running->reserved;
  uint64_t wanted = used + need * MQ_GRANT_CALLS;
  uint64_t budget = running->program->budget.tokens;

  return wanted < budget ? wanted : budget;
}

/* True when durable grants of the program and of those it is part of cover
   MAX_TOKENS more.  Failure: an owner dies with calls under way that no log
   knows, and its successor spends the same budget again.  Grants are
   durable before they are drawn on, and a successor counts them as spent
   unless targets' processes report what really was.  */
bool
chain_has_grant (struct mq_owner *owner, struct running *running,
                 uint32_t max_tokens)
{
  bool covered = true;

  for (struct running *r = running; r != NULL; r = r->parent)
    {
      uint64_t need = r->program->spent + r->reserved + max_tokens;

      if (need > r->grant_durable)
        covered = false;
      if (need > r->grant_durable && need > r->grant_wanted
          && grant_for (r, max_tokens) > r->grant_wanted)
        {
          append_grant (owner, r, grant_for (r, max_tokens));
          log_hook (owner, r, HOOK_GRANTED, 0, 0, NULL)->tokens
              = r->grant_wanted;
        }
    }
  /* Whoever waits goes on when the last of them is durable.  */
  if (!covered && !running->grant_asked)
    {
      running->grant_asked = true;
      log_hook (owner, running, HOOK_GRANTED, 0, 0, NULL)->tokens = 0;
    }
  return covered;
}

/* ---- Next steps ---- */

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

/* The call keeps its own copy: the text may change while it runs.  */
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

static struct call *
new_call (struct running *running, const struct mq_service *service,
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

static uint32_t
cap_tokens (const struct running *running, const struct mq_service *model,
            uint32_t wanted)
{
  uint64_t left = tokens_left (running);
  uint64_t cap = model->max_tokens;

  if (wanted != 0 && wanted < cap)
    cap = wanted;
  return (uint32_t)(left < cap ? left : cap);
}

/* Lowers the cap of the call under way to what is left; false when that is
   nothing.  */
bool
chain_fit_call (struct running *running)
{
  struct call *call = running->call;
  uint64_t left = tokens_left (running);

  if (call->max_tokens > left)
    call->max_tokens = (uint32_t)left;
  return call->max_tokens > 0;
}

/* Fills in a model call; false when no token is left for it.  */
static bool
prepare_model (struct running *running, struct call *call, uint32_t wanted,
               const char *extra_input)
{
  call->max_tokens = cap_tokens (running, call->service, wanted);
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
      chain_end (owner, running, MQ_ERR_NOT_FOUND, MQ_RAN_NOT_RUN, "");
      return;
    }
  call = new_call (running, model, NULL);
  if (!prepare_model (running, call, 0, NULL))
    {
      chain_stop (owner, running, MQ_ERR_BUDGET_TOKENS);
      return;
    }
  if (place)
    calls_start (owner, running, call);
  else
    running->call = call;
}

/* "service" or "service.route"; NULL when the program may not call it.  */
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
first_messages (TALLOC_CTX *ctx, const struct mq_service *agent,
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
  opened.messages = first_messages (owner->actions, agent,
                                    child_input (owner->actions, arguments),
                                    &opened.message_count);
  child = chain_open (owner, running->partition, id, &opened);
  chain_start_clock (owner, child);
  running->child = child;
  chain_advance (owner, child);
}

/* A sub-program that an earlier owner opened, or a new one.  */
static void
start_or_join_child (struct mq_owner *owner, struct running *running,
                     const struct mq_service *agent, const char *arguments)
{
  struct mq_id id = mq_id_child (running->program->id, running->call->number);
  struct running *child = chain_find (owner, id);

  running->call->state = CALL_CHILD;
  if (child == NULL)
    {
      start_child (owner, running, agent, arguments);
      return;
    }
  child->parent = running;
  running->child = child;
  if (child->program->state == MQ_PROGRAM_ENDED)
    chain_child_ended (owner, child);
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
      /* The model named something that is not there: it is told so.  */
      chain_outcome (owner, running, MQ_ERR_NOT_FOUND, MQ_RAN_NOT_RUN, "",
                     NULL);
      return;
    }
  call = new_call (running, service, route);
  if (service->kind == MQ_SERVICE_AGENT)
    {
      running->call = call;
      start_or_join_child (owner, running, service, body);
      return;
    }
  if (call->model && !prepare_model (running, call, 0, body))
    {
      chain_stop (owner, running, MQ_ERR_BUDGET_TOKENS);
      return;
    }
  if (!call->model)
    call->body = talloc_strdup (call, body[0] == '\0' ? "{}" : body);
  if (place)
    calls_start (owner, running, call);
  else
    running->call = call;
}

static void
go_on (struct mq_owner *owner, struct running *running, bool place)
{
  enum mq_next_type next = mq_program_next (running->program);

  if (running->call != NULL || running->partition->state != PARTITION_ACTIVE)
    return;
  if (next == MQ_NEXT_NONE)
    return;
  if (running->stop != MQ_ERR_NONE)
    {
      chain_end (owner, running, running->stop, MQ_RAN_RAN, "");
      return;
    }
  if (next == MQ_NEXT_ANSWER)
    {
      chain_end (owner, running, MQ_ERR_NONE, MQ_RAN_RAN,
                 running->program->last_content);
      return;
    }
  if (!turns_are_left (running))
    {
      chain_stop (owner, running, MQ_ERR_BUDGET_TURNS);
      return;
    }
  if (!time_is_left (owner, running))
    {
      chain_stop (owner, running, MQ_ERR_BUDGET_TIME);
      return;
    }
  if (owner->options.commit_each_step && running->undurable > 0 && place)
    {
      log_hook (owner, running, HOOK_GRANTED, 0, 0, NULL);
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
  go_on (owner, running, true);
}

/* After a takeover: the call that is due, without placing it yet.  */
void
chain_resume_call (struct mq_owner *owner, struct running *running)
{
  go_on (owner, running, false);
}

/* ---- Ends of calls ---- */

/* The same call again and again is how an endless program looks.  Its
   budget ends it; this reports it early.  */
static void
watch_for_loop (struct mq_owner *owner, struct running *running)
{
  const struct mq_tool_call *pending = mq_program_pending (running->program);
  uint64_t digest;
  char id[MQ_ID_TEXT];

  if (pending == NULL)
    return;
  digest = mq_hash_bytes (pending->name, strlen (pending->name), 0);
  digest = mq_hash_bytes (pending->arguments, strlen (pending->arguments),
                          digest);
  if (digest != running->loop_digest)
    {
      running->loop_digest = digest;
      running->loop_count = 1;
      return;
    }
  if (++running->loop_count != MQ_LOOP_REPEATS)
    return;
  owner->counters.loops_suspected++;
  mq_id_format (running->program->id, id);
  owner_state (owner, MQ_STATE_LOOP_SUSPECTED, running->program->calls, id);
}

static bool
answer_is_usable (const struct call *call, enum mq_error_type error,
                  const char *body)
{
  json_t *root;
  bool usable;

  if (call == NULL || !call->model || error != MQ_ERR_NONE)
    return true;
  root = json_loads (body, 0, NULL);
  usable = json_is_object (root);
  json_decref (root);
  return usable;
}

static void
append_outcome (struct mq_owner *owner, struct running *running,
                enum mq_error_type error, enum mq_ran ran, const char *body,
                const char *host)
{
  Mqlog__Record record = MQLOG__RECORD__INIT;
  Mqlog__Outcome outcome = MQLOG__OUTCOME__INIT;
  struct call *call = running->call;
  uint32_t attempt = call == NULL ? 0 : call->attempt;

  outcome.call = running->program->calls + 1;
  outcome.attempt = attempt;
  outcome.error = error;
  outcome.ran = ran;
  outcome.body = (char *)body;
  if (call != NULL)
    {
      outcome.service = (char *)call->service->name;
      outcome.model = call->model;
      outcome.input = call->input == NULL ? (char *)"" : call->input;
      outcome.digest = call->digest;
      outcome.own_messages = call->own_messages;
    }
  record.body_case = MQLOG__RECORD__BODY_OUTCOME;
  record.outcome = &outcome;
  log_append (owner, running, &record);
  log_hook (owner, running, HOOK_STEP, outcome.call, attempt, host);
  owner->counters.calls_done++;
}

static void
end_after_failure (struct mq_owner *owner, struct running *running,
                   enum mq_error_type error, enum mq_ran ran, const char *host)
{
  const struct call *call = running->call;

  /* What the target's process keeps is settled by the program's end.  */
  if (call != NULL)
    log_hook (owner, running, HOOK_STEP, call->number, call->attempt, host);
  running->call = NULL;
  chain_end (owner, running,
             running->stop != MQ_ERR_NONE ? running->stop : error, ran, "");
}

/* The call under way has ended for good.  */
void
chain_outcome (struct mq_owner *owner, struct running *running,
               enum mq_error_type error, enum mq_ran ran, const char *body,
               const char *host)
{
  struct mq_program *program = running->program;
  struct call *call = running->call;
  bool fatal;

  if (!answer_is_usable (call, error, body))
    error = MQ_ERR_BAD_ANSWER;
  fatal = error != MQ_ERR_NONE
          && (program->mode == MQ_MODE_SINGLE
              || (program->mode == MQ_MODE_CHAIN && call != NULL
                  && call->model));
  if (fatal
      || (running->stop != MQ_ERR_NONE && call != NULL && call->idempotent))
    {
      end_after_failure (owner, running, error, ran, host);
      return;
    }
  watch_for_loop (owner, running);
  append_outcome (owner, running, error, ran, body, host);
  running->call = NULL;
  if (program->mode == MQ_MODE_STEPS)
    {
      stop_clock (owner, running);
      chain_next_step (owner, running);
      return;
    }
  chain_advance (owner, running);
}

void
chain_child_ended (struct mq_owner *owner, struct running *child)
{
  struct running *parent = child->parent;
  const struct mq_program *program = child->program;

  if (parent == NULL || parent->child != child || parent->call == NULL)
    return;
  parent->child = NULL;
  chain_outcome (owner, parent, program->error,
                 program->error == MQ_ERR_NONE ? MQ_RAN_RAN : program->ran,
                 program->answer == NULL ? "" : program->answer, NULL);
}

/* ---- Ends of programs ---- */

void
chain_end (struct mq_owner *owner, struct running *running,
           enum mq_error_type error, enum mq_ran ran, const char *answer)
{
  struct mq_program *program = running->program;
  Mqlog__Record record = MQLOG__RECORD__INIT;
  Mqlog__Answered answered = MQLOG__ANSWERED__INIT;

  answered.ended = !(program->keep_open && error == MQ_ERR_NONE);
  answered.error = error;
  answered.ran = ran;
  answered.answer = (char *)(answer == NULL ? "" : answer);
  record.body_case = MQLOG__RECORD__BODY_ANSWERED;
  record.answered = &answered;
  log_append (owner, running, &record);
  running->answer_mark = owner->appended;
  stop_clock (owner, running);
  running->ended_us = owner->now_us;
  if (error == MQ_ERR_BUDGET_TOKENS || error == MQ_ERR_BUDGET_TURNS
      || error == MQ_ERR_BUDGET_TIME)
    owner->counters.budget_stops++;
  if (answered.ended)
    owner->counters.programs_ended++;
  log_hook (owner, running, HOOK_ANSWERED, 0, 0, NULL);
  if (running->parent != NULL)
    chain_child_ended (owner, running);
}

/* Ends the program for WHY as soon as what is under way allows it.  */
void
chain_stop (struct mq_owner *owner, struct running *running,
            enum mq_error_type why)
{
  if (running->program->state == MQ_PROGRAM_ENDED
      || running->stop != MQ_ERR_NONE)
    return;
  running->stop = why;
  if (running->child != NULL)
    {
      chain_stop (owner, running->child, why);
      return;
    }
  if (calls_cancel (owner, running))
    chain_end (owner, running, why, MQ_RAN_RAN, "");
}

/* ---- Eviction ---- */

static void
send_lease (struct mq_owner *owner, struct running *running,
            struct target *target, enum mq_lease_state state)
{
  struct mq_message message = { .type = MQ_MSG_LEASE };

  message.u.lease.program = running->program->id;
  message.u.lease.partition = running->partition->number;
  message.u.lease.fence = running->partition->fence;
  message.u.lease.state = state;
  message.u.lease.lease_ms = owner->text->cache_lease_ms;
  hosts_send (owner, target, &message);
}

void
chain_lease (struct mq_owner *owner, struct running *running,
             struct target *target)
{
  send_lease (owner, running, target, MQ_LEASE_ACTIVE);
  if (running->lease_us == 0)
    {
      running->lease_us
          = owner->now_us
            + 1000ULL * owner->text->cache_lease_ms / LEASE_DIVISOR;
      owner_wake_at (owner, running, running->lease_us);
    }
}

/* Asks again until each process confirms.  A process that was started anew
   holds no leases; it evicts what its engine holds without one.  */
static void
send_evictions (struct mq_owner *owner, struct running *running)
{
  struct cache_place **at = &running->caches;

  while (*at != NULL)
    {
      struct cache_place *place = *at;

      if (place->target->boot != place->boot)
        {
          *at = place->next;
          continue;
        }
      send_lease (owner, running, place->target, MQ_LEASE_ENDED);
      at = &place->next;
    }
  if (running->caches == NULL)
    {
      if (running->evicting)
        owner->counters.evictions_waiting--;
      running->evicting = false;
      return;
    }
  running->evict_us = owner->now_us + 1000ULL * EVICT_AGAIN_MS;
  owner_wake_at (owner, running, running->evict_us);
}

static void
start_evicting (struct mq_owner *owner, struct running *running)
{
  if (running->caches == NULL || running->evicting)
    return;
  running->evicting = true;
  owner->counters.evictions_waiting++;
  send_evictions (owner, running);
}

void
chain_evicted (struct mq_owner *owner, struct target *target,
               struct mq_id program)
{
  struct running *running = chain_find (owner, program);

  if (running == NULL || !running->evicting)
    return;
  for (struct cache_place **at = &running->caches; *at != NULL;
       at = &(*at)->next)
    if ((*at)->target == target)
      {
        *at = (*at)->next;
        owner->counters.evictions_confirmed++;
        break;
      }
  if (running->caches != NULL)
    return;
  running->evicting = false;
  owner->counters.evictions_waiting--;
}

static void
renew_leases (struct mq_owner *owner, struct running *running)
{
  const struct call *call = running->call;
  bool active = call != NULL && call->model;

  for (struct cache_place *p = running->caches; p != NULL; p = p->next)
    send_lease (owner, running, p->target,
                active ? MQ_LEASE_ACTIVE : MQ_LEASE_PAUSED);
  running->lease_us
      = owner->now_us + 1000ULL * owner->text->cache_lease_ms / LEASE_DIVISOR;
  owner_wake_at (owner, running, running->lease_us);
}

/* ---- What follows a commit ---- */

static void
accepted_is_durable (struct mq_owner *owner, struct running *running,
                     uint64_t granted)
{
  char id[MQ_ID_TEXT];
  char *body;

  if (granted > running->grant_durable)
    running->grant_durable = granted;
  mq_id_format (running->program->id, id);
  body = talloc_asprintf (owner->actions, "{\"program\":\"%s\"}", id);
  request_event (owner, running, MQ_EVENT_ACCEPTED, 0, 0, body);
  if (running->program->mode == MQ_MODE_STEPS)
    request_final (owner, running);
  else
    chain_advance (owner, running);
}

static void
grant_is_durable (struct mq_owner *owner, struct running *running,
                  uint64_t granted)
{
  running->grant_asked = false;
  if (granted > running->grant_durable)
    running->grant_durable = granted;
  if (running->call == NULL)
    chain_advance (owner, running);
  else
    calls_continue (owner, running);
}

/* Failure: a repeated request waits for the commit of an answer; before
   that commit is through, a person's next turn begins, or even has its answer;
   its caller is given the state of a running program as the answer, or one
   that no log holds yet.  So only an answer that is still the last word, and
   is durable itself, is told.  */
static void
answer_is_durable (struct mq_owner *owner, struct running *running,
                   uint64_t since_us)
{
  if (running->program->state == MQ_PROGRAM_RUNNING
      || owner->settled < running->answer_mark)
    return;
  owner_span (owner, running, "commit", 0, since_us, MQ_ERR_NONE);
  if (running->program->state == MQ_PROGRAM_ENDED)
    start_evicting (owner, running);
  request_final (owner, running);
}

void
chain_hook (struct mq_owner *owner, struct hook *hook)
{
  struct running *running = chain_find (owner, hook->program);

  if (hook->type == HOOK_STEP || hook->type == HOOK_FORGET)
    calls_forget (owner, hook->program, hook->call, hook->attempt,
                  hook->partition, owner->partitions[hook->partition].fence,
                  hook->host);
  if (running == NULL)
    return;
  switch (hook->type)
    {
    case HOOK_ACCEPTED:
      accepted_is_durable (owner, running, hook->tokens);
      break;
    case HOOK_GRANTED:
      grant_is_durable (owner, running, hook->tokens);
      break;
    case HOOK_INTENT:
      if (running->partition->state == PARTITION_ACTIVE)
        calls_intent_durable (owner, running, hook->call, hook->attempt);
      break;
    case HOOK_FORGET:
      break;
    case HOOK_STEP:
      request_step_done (owner, running, hook->call);
      break;
    case HOOK_ANSWERED:
      answer_is_durable (owner, running, hook->since_us);
      break;
    case HOOK_REPLY:
      request_reply (owner, hook);
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
        send_evictions (owner, running);
      if (!running->evicting && running->undurable == 0
          && owner->now_us - running->ended_us >= 1000ULL * MQ_ENDED_KEEP_MS)
        chain_remove (owner, running);
      else
        owner_wake_at (owner, running,
                       running->evicting
                           ? running->evict_us
                           : running->ended_us + 1000ULL * MQ_ENDED_KEEP_MS);
      return;
    }
  if (program->state == MQ_PROGRAM_RUNNING && !time_is_left (owner, running))
    {
      chain_stop (owner, running, MQ_ERR_BUDGET_TIME);
      if (program->state == MQ_PROGRAM_ENDED)
        return;
    }
  else if (running->clock_us != 0)
    chain_start_clock (owner, running); /* sets the timer again */
  calls_tick (owner, running);
  if (running->caches != NULL && owner->now_us >= running->lease_us)
    renew_leases (owner, running);
  else if (running->caches != NULL)
    owner_wake_at (owner, running, running->lease_us);
}

/* ---- Caller-driven programs ---- */

static bool
fill_step (struct mq_owner *owner, struct running *running, struct call *call,
           const struct mq_request_msg *request)
{
  json_t *root = json_loads (request->body, 0, NULL);
  json_t *messages = json_object_get (root, "messages");
  json_t *arguments = json_object_get (root, "arguments");
  const char *input = json_string_value (json_object_get (root, "input"));
  char *dump = NULL;
  bool filled = true;

  (void)owner;
  if (!call->model)
    {
      if (arguments != NULL)
        dump = json_dumps (arguments, JSON_COMPACT | JSON_ENCODE_ANY);
      call->body = talloc_strdup (call, dump == NULL ? "{}" : dump);
      call->input = talloc_strdup (call, call->body);
    }
  else if (json_is_array (messages))
    {
      /* The caller keeps its own history and sends it whole.  */
      call->max_tokens
          = cap_tokens (running, call->service, request->max_tokens);
      dump = json_dumps (messages, JSON_COMPACT);
      call->own_messages = true;
      call->input = talloc_strdup (call, dump);
      call->body = talloc_asprintf (
          call, "{\"model\":\"%s\",\"max_tokens\":%u,\"messages\":%s}",
          call->service->model, call->max_tokens, dump);
      filled = call->max_tokens > 0;
    }
  else
    {
      call->input = talloc_strdup (call, input == NULL ? "" : input);
      filled = prepare_model (running, call, request->max_tokens, call->input);
    }
  free (dump);
  json_decref (root);
  return filled;
}

static uint64_t
step_digest (const struct mq_request_msg *request)
{
  uint64_t digest = mq_hash_bytes (request->body, strlen (request->body), 1);

  digest = mq_hash_bytes (request->service, strlen (request->service), digest);
  /* Without a number only the key tells a repeat from a new call.  */
  if (request->sequence == 0)
    digest = mq_hash_bytes (request->key, strlen (request->key), digest);
  return mq_hash_bytes (request->route, strlen (request->route), digest);
}

uint64_t
chain_step_digest (const struct mq_request_msg *request)
{
  return step_digest (request);
}

/* Starts the call that REQUEST asks for; an error when it can't.  */
enum mq_error_type
chain_step (struct mq_owner *owner, struct running *running,
            const struct mq_request_msg *request)
{
  const struct mq_service *service
      = mq_text_find_service (owner->text, request->service);
  const struct mq_route *route = NULL;
  struct call *call;

  if (service == NULL || service->kind == MQ_SERVICE_AGENT)
    return MQ_ERR_NOT_FOUND;
  if (!turns_are_left (running))
    return MQ_ERR_BUDGET_TURNS;
  if (!time_is_left (owner, running))
    return MQ_ERR_BUDGET_TIME;
  if (service->kind == MQ_SERVICE_PLAIN)
    {
      route = mq_text_find_route (service, request->route);
      if (route == NULL)
        return MQ_ERR_NOT_FOUND;
    }
  call = new_call (running, service, route);
  call->digest = step_digest (request);
  if (!fill_step (owner, running, call, request))
    {
      talloc_free (call);
      return MQ_ERR_BUDGET_TOKENS;
    }
  chain_start_clock (owner, running);
  if (running->program->intent.call == call->number)
    {
      /* An earlier owner may have sent it: settled first.  */
      running->call = call;
      call->started_us = owner->now_us;
      calls_settle_intent (owner, running);
      return MQ_ERR_NONE;
    }
  calls_start (owner, running, call);
  return MQ_ERR_NONE;
}

/* The next of the caller's calls that came ahead of their turn.  */
void
chain_next_step (struct mq_owner *owner, struct running *running)
{
  uint32_t number = running->program->calls + 1;

  for (struct queued_step **at = &running->steps; *at != NULL;
       at = &(*at)->next)
    {
      struct queued_step *step = *at;
      enum mq_error_type error;

      if (step->call != number)
        continue;
      *at = step->next;
      error = chain_step (owner, running, &step->request);
      if (error != MQ_ERR_NONE)
        request_refuse_step (owner, running, number, error);
      return;
    }
}
