/* world_worker.c - simulated workers: engines, a plain service with
   non-idempotent calls, and a tool; and what was observed of them.

   An engine replies according to a plan in the last user message, see
   docs/CONTRACTS.md.  The reply depends only on the program and the messages,
   so a whole history can be verified.
   Needs: world_state.h.  */

#include "world_state.h"
#include <stdlib.h>
#include <string.h>

#define ENGINE_FIRST_US (6 * MS)
#define ENGINE_CHUNK_US (4 * MS)
#define EFFECT_US (5 * MS)
#define ANSWER_US (5 * MS)
#define EVICT_US (2 * MS)
#define PLANT_EVICT_FROM_US (25 * SECOND)
#define UP_US (1 * MS)
#define HANG_US (1500 * MS)
#define ANSWER_HELD_US (400 * MS)

enum
{
  CHUNKS = 3,
  MODEL_WORKER = 0,
  BYTES_PER_TOKEN = 4,
  DEFAULT_TOKENS = 12,
  OVERSPENT_TOKENS = 400
};

/* ---- Observations ---- */

struct observed_call *
worker_observed_call (struct world *world, struct mq_id program, uint32_t call)
{
  struct observed_call *observed;

  for (size_t i = 0; i < world->call_count; i++)
    if (world->calls[i].call == call
        && mq_id_equal (world->calls[i].program, program))
      return &world->calls[i];
  world->calls = talloc_realloc (world, world->calls, struct observed_call,
                                 (unsigned int)world->call_count + 1);
  observed = &world->calls[world->call_count++];
  memset (observed, 0, sizeof *observed);
  observed->program = program;
  observed->call = call;
  return observed;
}

struct observed_program *
worker_observed_program (struct world *world, struct mq_id program)
{
  struct observed_program *observed;

  for (size_t i = 0; i < world->program_count; i++)
    if (mq_id_equal (world->programs[i].program, program))
      return &world->programs[i];
  world->programs
      = talloc_realloc (world, world->programs, struct observed_program,
                        (unsigned int)world->program_count + 1);
  observed = &world->programs[world->program_count++];
  memset (observed, 0, sizeof *observed);
  observed->program = program;
  return observed;
}

static void
spend (struct world *world, struct mq_id program, uint64_t tokens)
{
  struct observed_spend *observed = NULL;
  uint64_t budget = caller_budget_of (world, program.hi);

  for (size_t i = 0; i < world->spent_count; i++)
    if (world->spent[i].family == program.hi)
      observed = &world->spent[i];
  if (observed == NULL)
    {
      world->spent
          = talloc_realloc (world, world->spent, struct observed_spend,
                            (unsigned int)world->spent_count + 1);
      observed = &world->spent[world->spent_count++];
      observed->family = program.hi;
      observed->tokens = 0;
    }
  if (observed->tokens <= budget && observed->tokens + tokens > budget)
    world_report_violation (world, INVARIANT_BUDGET,
                            "program %016llx spent %llu tokens of %llu",
                            (unsigned long long)program.hi,
                            (unsigned long long)observed->tokens + tokens,
                            (unsigned long long)budget);
  observed->tokens += tokens;
  world_trace (world, "program %016llx has spent %llu tokens",
               (unsigned long long)program.hi,
               (unsigned long long)observed->tokens);
}

/* ---- Plans and answers ---- */

static const char *
json_text (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text == NULL ? "" : text;
}

static bool
has_role (json_t *message, const char *role)
{
  return strcmp (json_text (message, "role"), role) == 0;
}

/* Returns the index of the last user message among the first COUNT, or
   COUNT.  */
static size_t
last_user (json_t *messages, size_t count)
{
  for (size_t i = count; i > 0; i--)
    if (has_role (json_array_get (messages, i - 1), "user"))
      return i - 1;
  return count;
}

/* Returns the plan's step for a history of COUNT messages, or NULL.  */
static json_t *
plan_step (json_t *messages, size_t count)
{
  size_t user = last_user (messages, count);
  size_t done = 0;
  const char *plan;
  json_t *steps;
  json_t *step;

  if (user == count)
    return NULL;
  plan = strstr (json_text (json_array_get (messages, user), "content"),
                 "plan=");
  if (plan == NULL)
    return NULL;
  steps = json_loads (plan + strlen ("plan="), JSON_DISABLE_EOF_CHECK, NULL);
  for (size_t i = user; i < count; i++)
    done += has_role (json_array_get (messages, i), "tool");
  if (json_object_get (json_array_get (steps, 0), "loop") != NULL)
    done = 0;
  step = json_deep_copy (json_array_get (steps, done));
  json_decref (steps);
  return step;
}

static uint64_t
digest_of (json_t *messages, size_t count)
{
  uint64_t digest = 0;

  for (size_t i = 0; i < count; i++)
    {
      char *text = json_dumps (json_array_get (messages, i),
                               JSON_COMPACT | JSON_SORT_KEYS);

      digest = mq_hash_bytes (text, strlen (text), digest);
      free (text);
    }
  return digest;
}

static char *
content_of (TALLOC_CTX *ctx, struct mq_id program, json_t *messages,
            size_t count)
{
  return talloc_asprintf (ctx, "%016llx%016llx answers [seen %zu %016llx]",
                          (unsigned long long)program.hi,
                          (unsigned long long)program.lo, count,
                          (unsigned long long)digest_of (messages, count));
}

static json_t *
tool_calls_of (json_t *step, size_t count)
{
  const char *name = json_text (step, "call");
  json_t *calls = json_array ();
  json_t *call;
  char *arguments;
  char id[16];

  if (name[0] == '\0')
    name = json_text (step, "loop");
  if (name[0] == '\0')
    return calls;
  arguments = json_dumps (json_object_get (step, "arguments"),
                          JSON_COMPACT | JSON_ENCODE_ANY);
  snprintf (id, sizeof id, "c%zu", count);
  call = json_object ();
  json_object_set_new (call, "id", json_string (id));
  json_object_set_new (call, "name", json_string (name));
  json_object_set_new (call, "arguments",
                       json_string (arguments == NULL ? "{}" : arguments));
  json_array_append_new (calls, call);
  free (arguments);
  return calls;
}

static uint32_t
tokens_of (json_t *step)
{
  json_int_t tokens = json_integer_value (json_object_get (step, "tokens"))
                      + json_integer_value (json_object_get (step, "answer"));

  return tokens <= 0 ? DEFAULT_TOKENS : (uint32_t)tokens;
}

/* ---- Histories: every message must follow from those before it ---- */

static bool
is_failure (json_t *result)
{
  return json_text (result, "error")[0] != '\0'
         && json_text (result, "ran")[0] != '\0';
}

/* Records a failure that was reported to a program; at the end it is compared
   with what the target observed.  */
static void
record_failure (struct world *world, struct mq_id program, uint32_t call,
                json_t *result)
{
  if (strcmp (json_text (result, "ran"), mq_ran_name (MQ_RAN_NOT_RUN)) == 0)
    worker_observed_call (world, program, call)->reported_not_run = true;
}

static bool
is_child_answer (struct world *world, struct mq_id program, uint32_t call,
                 const char *content)
{
  struct mq_id child = mq_id_child (program, call);
  const struct observed_program *observed
      = worker_observed_program (world, child);

  for (size_t i = 0; i < observed->final_count; i++)
    if (strstr (content, observed->finals[i]) != NULL)
      return true;
  return false;
}

static bool
tool_message_is_valid (struct world *world, struct mq_id program,
                       uint32_t call, json_t *message)
{
  const char *content = json_text (message, "content");
  const struct observed_call *observed
      = worker_observed_call (world, program, call);
  json_t *result = json_loads (content, 0, NULL);
  bool valid = is_failure (result);

  if (valid)
    record_failure (world, program, call, result);
  else if (observed->result != NULL)
    valid = strcmp (observed->result, content) == 0;
  else
    valid = is_child_answer (world, program, call, content);
  json_decref (result);
  return valid;
}

static bool
assistant_message_is_valid (struct mq_id program, json_t *messages,
                            size_t index)
{
  json_t *message = json_array_get (messages, index);
  json_t *step = plan_step (messages, index);
  json_t *calls = tool_calls_of (step, index);
  json_t *message_calls = json_object_get (message, "tool_calls");
  char *content = content_of (NULL, program, messages, index);
  bool valid = strcmp (content, json_text (message, "content")) == 0;

  if (json_array_size (calls) > 0 || json_array_size (message_calls) > 0)
    valid = valid && json_equal (calls, message_calls);
  talloc_free (content);
  json_decref (calls);
  json_decref (step);
  return valid;
}

/* Returns the index of the first invalid message, or COUNT.  Sets CALLS to the
   number of calls in the history.  */
static size_t
first_invalid_message (struct world *world, struct mq_id program,
                       json_t *messages, uint32_t *calls)
{
  size_t count = json_array_size (messages);
  *calls = 0;
  for (size_t i = 0; i < count; i++)
    {
      json_t *message = json_array_get (messages, i);
      bool valid = true;

      if (has_role (message, "assistant"))
        {
          ++*calls;
          valid = assistant_message_is_valid (program, messages, i);
        }
      else if (has_role (message, "tool"))
        valid = tool_message_is_valid (world, program, ++*calls, message);
      else if (has_role (message, "user"))
        valid
            = caller_has_text (world, program, json_text (message, "content"));
      else
        valid = has_role (message, "system") && i == 0;
      if (!valid)
        return i;
    }
  return count;
}

static void
check_history (struct world *world, const struct run *run, json_t *messages)
{
  uint32_t calls = 0;
  size_t count = json_array_size (messages);
  size_t invalid
      = first_invalid_message (world, run->ref.program, messages, &calls);
  char *text;

  if (invalid < count)
    {
      text = json_dumps (json_array_get (messages, invalid), JSON_COMPACT);
      world_report_violation (world, INVARIANT_HISTORY,
                              "program %016llx call %u: message %zu of %zu is "
                              "invalid: %.120s",
                              (unsigned long long)run->ref.program.lo,
                              run->ref.call, invalid, count, text);
      free (text);
    }
  else if (calls
           != caller_calls_before (world, run->ref.program, run->ref.call))
    world_report_violation (
        world, INVARIANT_HISTORY,
        "program %016llx call %u: the history contains %u calls",
        (unsigned long long)run->ref.program.lo, run->ref.call, calls);
}

/* ---- Engine caches ---- */

static struct engine_cache_entry *
cache_find (struct worker *worker, struct mq_id program)
{
  for (size_t i = 0; i < worker->cache_count; i++)
    if (mq_id_equal (worker->cache[i].program, program))
      return &worker->cache[i];
  return NULL;
}

static void
cache_put (struct world *world, struct worker *worker, struct mq_id program,
           uint32_t tokens)
{
  struct engine_cache_entry *entry = cache_find (worker, program);

  if (entry == NULL)
    {
      worker->cache
          = talloc_realloc (world, worker->cache, struct engine_cache_entry,
                            (unsigned int)worker->cache_count + 1);
      entry = &worker->cache[worker->cache_count++];
      entry->program = program;
    }
  entry->tokens = tokens;
  entry->last_used_us = world->now_us;
}

/* Returns how long ENTRY has been cached for an ended program.  */
static uint64_t
unneeded_cache_us (struct world *world, const struct engine_cache_entry *entry)
{
  uint64_t ended_us
      = worker_observed_program (world, entry->program)->ended_us;

  if (ended_us == 0)
    return 0;
  return world->now_us
         - (ended_us > entry->last_used_us ? ended_us : entry->last_used_us);
}

/* Records the cache time when WORKER evicts one program, or all.  */
static void
record_cache_held (struct world *world, const struct worker *worker,
                   const struct mq_id *program)
{
  for (size_t i = 0; i < worker->cache_count; i++)
    {
      const struct engine_cache_entry *entry = &worker->cache[i];
      uint64_t unneeded_us = unneeded_cache_us (world, entry);

      if (program != NULL && !mq_id_equal (entry->program, *program))
        continue;
      if (unneeded_us > world->report->held_us)
        world->report->held_us = unneeded_us;
      if (unneeded_us > EVICTION_DEADLINE_US)
        world_report_violation (world, INVARIANT_EVICTED,
                                "program %016llx ended %llu ms before",
                                (unsigned long long)entry->program.lo,
                                (unsigned long long)(unneeded_us / MS));
    }
}

/* Called when the program's end is in the log.  */
void
worker_on_program_end (struct world *world, struct mq_id program)
{
  struct observed_program *observed = worker_observed_program (world, program);

  if (observed->ended_us == 0)
    observed->ended_us = world->now_us;
}

static void
cache_drop (struct worker *worker, struct mq_id program)
{
  struct engine_cache_entry *entry = cache_find (worker, program);

  if (entry != NULL)
    *entry = worker->cache[--worker->cache_count];
}

/* ---- Starting calls ---- */

static void
schedule_stage (struct world *world, size_t index, uint64_t in_us)
{
  struct world_event *event
      = world_event_create (world, EVENT_CALL_STAGE, NO_HOST);

  event->index = (int)index;
  world_push (world, event, world->now_us + in_us);
}

static json_t *
inject_history_fault (struct world *world, json_t *messages)
{
  size_t count = json_array_size (messages);

  if (world->cell->plant == PLANT_HISTORY_CUT && count > 2)
    json_array_remove (messages, count - 1);
  if (world->cell->plant == PLANT_HISTORY_MIXED && count > 2)
    json_array_append_new (messages,
                           json_pack ("{s:s,s:s}", "role", "tool", "content",
                                      "a letter to another household"));
  return messages;
}

static void
prepare_model (struct world *world, struct run *run)
{
  json_t *body = json_loads (run->body, 0, NULL);
  json_t *messages
      = inject_history_fault (world, json_object_get (body, "messages"));
  size_t count = json_array_size (messages);
  json_t *step = plan_step (messages, count);
  json_t *calls = tool_calls_of (step, count);
  json_t *answer = json_object ();
  struct worker *worker = &world->hosts[run->host].workers[run->worker];
  const struct engine_cache_entry *entry
      = cache_find (worker, run->ref.program);
  char *text;

  check_history (world, run, messages);
  run->content = content_of (run, run->ref.program, messages, count);
  run->tokens = tokens_of (step);
  if (run->tokens > run->max_tokens && run->max_tokens > 0)
    run->tokens = run->max_tokens;
  if (world->cell->plant == PLANT_CAP_IGNORED)
    run->tokens += OVERSPENT_TOKENS;
  run->tokens_in = (uint32_t)strlen (run->body) / BYTES_PER_TOKEN;
  run->cached = entry == NULL ? 0 : entry->tokens;
  if (run->cached > run->tokens_in)
    run->cached = run->tokens_in;
  json_object_set_new (answer, "content", json_string (run->content));
  json_object_set_new (
      answer, "finish",
      json_string (json_array_size (calls) > 0 ? "tool_calls" : "stop"));
  json_object_set (answer, "tool_calls", calls);
  text = json_dumps (answer, JSON_COMPACT);
  run->answer = talloc_strdup (run, text);
  free (text);
  json_decref (answer);
  json_decref (calls);
  json_decref (step);
  json_decref (body);
}

static void
prepare_plain (struct world *world, struct run *run)
{
  struct observed_call *observed
      = worker_observed_call (world, run->ref.program, run->ref.call);

  run->answer = talloc_asprintf (run, "{\"receipt\":\"%016llx%016llx/%u\"}",
                                 (unsigned long long)run->ref.program.hi,
                                 (unsigned long long)run->ref.program.lo,
                                 run->ref.call);
  if (observed->result == NULL)
    observed->result = talloc_strdup (world, run->answer);
}

static void
check_start (struct world *world, const struct run *run)
{
  const struct mq_call_ref *ref = &run->ref;
  const struct observed_program *program
      = worker_observed_program (world, ref->program);
  const struct host *host = &world->hosts[run->host];
  struct observed_call *previous;

  if (program->refused)
    world_report_violation (world, INVARIANT_NOT_RUN,
                            "program %016llx call %u starts after not_run",
                            (unsigned long long)ref->program.lo, ref->call);
  if (world->now_us > world->outage_from_us
      && world->now_us < world->outage_until_us)
    world->report->starts_in_outage++;
  if (host->workers[run->worker].kind == MQ_SERVICE_PLAIN
      && !check_is_intended (world, ref))
    world_report_violation (world, INVARIANT_INTENT_COMMITTED,
                            "program %016llx call %u attempt %u starts",
                            (unsigned long long)ref->program.lo, ref->call,
                            ref->attempt);
  if (ref->call > 1)
    {
      previous = worker_observed_call (world, ref->program, ref->call - 1);
      if (previous->starts > 0 && previous->ends == 0)
        world_report_violation (
            world, INVARIANT_ORDER,
            "program %016llx call %u starts, call %u has not ended",
            (unsigned long long)ref->program.lo, ref->call, ref->call - 1);
    }
  if (!host->leaving)
    return;
  for (size_t i = 0; i < world->arrival_count; i++)
    {
      const struct arrival *arrival = &world->arrivals[i];

      if (arrival->host == run->host && arrival->run == run->host_run
          && arrival->ref.call == ref->call
          && arrival->ref.attempt == ref->attempt
          && mq_id_equal (arrival->ref.program, ref->program)
          && arrival->at_us > host->leave_us)
        world_report_violation (
            world, INVARIANT_LEAVING,
            "%s starts program %016llx call %u after its LEAVE", host->name,
            (unsigned long long)ref->program.lo, ref->call);
    }
}

static struct run *
add_run (struct world *world, int host, const struct mq_start *start)
{
  struct run *run = talloc_zero (world, struct run);

  world->runs = talloc_realloc (world, world->runs, struct run *,
                                (unsigned int)world->run_count + 1);
  world->runs[world->run_count++] = run;
  run->host = host;
  run->host_run = world->hosts[host].run;
  run->worker = start->worker;
  run->worker_boot = world->hosts[host].workers[start->worker].boot;
  run->slot = start->slot;
  run->ref = start->ref;
  run->max_tokens = start->max_tokens;
  run->body = talloc_strdup (run, start->body);
  return run;
}

static void
begin_run (struct world *world, struct run *run, size_t index)
{
  struct worker *worker = &world->hosts[run->host].workers[run->worker];
  struct observed_call *observed;

  check_start (world, run);
  observed = worker_observed_call (world, run->ref.program, run->ref.call);
  observed->starts++;
  observed->idempotent = worker->kind != MQ_SERVICE_PLAIN;
  worker_observed_program (world, run->ref.program)->starts++;
  run->hangs = worker->hangs;
  worker->hangs = false;
  if (worker->kind == MQ_SERVICE_MODEL)
    {
      prepare_model (world, run);
      schedule_stage (world, index, ENGINE_FIRST_US);
      return;
    }
  prepare_plain (world, run);
  schedule_stage (world, index, EFFECT_US);
}

void
worker_start (struct world *world, int host, const struct mq_start *start)
{
  struct site site = { .step = STEP_RUN, .actor = host, .target = host };
  uint32_t run_number = world->hosts[host].run;
  struct run *run;

  site.entry = world_owner_of (world, start->ref.program);
  site.program = start->ref.program;
  site.worker = (int)start->worker;
  fault_step (world, &site);
  if (world->hosts[host].workers[start->worker].kind == MQ_SERVICE_PLAIN)
    fault_script (world, &site);
  if (!world_is_current_run (world, host, run_number)
      || world->hosts[host].actions_deferred)
    return;
  world_trace (
      world, "%s starts %016llx call %u attempt %u at %s, max_tokens %u",
      world->hosts[host].name, (unsigned long long)start->ref.program.lo,
      start->ref.call, start->ref.attempt, start->service, start->max_tokens);
  run = add_run (world, host, start);
  begin_run (world, run, world->run_count - 1);
  if (world->cell->plant != PLANT_START_DUPLICATED
      || world->hosts[host].workers[start->worker].kind != MQ_SERVICE_PLAIN)
    return;
  run = add_run (world, host, start);
  run->slot = UINT32_MAX;
  begin_run (world, run, world->run_count - 1);
}

/* ---- Ending calls ---- */

static bool
is_gate_waiting (const struct world *world, const struct run *run)
{
  return world_is_current_run (world, run->host, run->host_run)
         && run->slot != UINT32_MAX;
}

static void
end_run (struct world *world, struct run *run)
{
  run->ended = true;
  worker_observed_call (world, run->ref.program, run->ref.call)->ends++;
}

static void
send_done (struct world *world, const struct run *run,
           enum mq_error_type error, enum mq_ran ran)
{
  struct mq_gate_input input
      = { .type = MQ_GATE_DONE, .now_us = world->now_us };

  if (!is_gate_waiting (world, run))
    return;
  input.u.done.slot = run->slot;
  input.u.done.error = error;
  input.u.done.ran = ran;
  input.u.done.body = error == MQ_ERR_NONE ? run->answer : "";
  input.u.done.tokens_in = run->tokens_in;
  input.u.done.tokens_out = run->tokens_done;
  input.u.done.cached_tokens = run->cached;
  world_gate_input (world, run->host, &input);
}

/* A model call is idempotent.  Whether another call took effect is unknown if
   it gets no reply.  */
static void
fail_run (struct world *world, struct run *run, enum mq_error_type error)
{
  bool model = run->worker == MODEL_WORKER;

  if (run->ended)
    return;
  end_run (world, run);
  send_done (world, run, error, model ? MQ_RAN_RAN : MQ_RAN_UNKNOWN);
}

static void
send_token (struct world *world, const struct run *run, uint32_t chunk)
{
  struct mq_gate_input input
      = { .type = MQ_GATE_TOKEN, .now_us = world->now_us };
  size_t len = strlen (run->content);
  size_t from = len * chunk / CHUNKS;
  size_t to = len * (chunk + 1) / CHUNKS;
  char *text = talloc_strndup (world, run->content + from, to - from);

  input.u.token.slot = run->slot;
  input.u.token.text = text;
  if (is_gate_waiting (world, run))
    world_gate_input (world, run->host, &input);
  talloc_free (text);
}

static void
record_final_answer (struct world *world, const struct run *run)
{
  struct observed_program *observed
      = worker_observed_program (world, run->ref.program);

  if (strstr (run->answer, "\"finish\":\"stop\"") == NULL)
    return;
  observed->finals = talloc_realloc (world, observed->finals, char *,
                                     (unsigned int)observed->final_count + 1);
  observed->finals[observed->final_count++]
      = talloc_strdup (world, run->content);
}

static void
model_stage (struct world *world, struct run *run, size_t index)
{
  struct worker *worker = &world->hosts[run->host].workers[run->worker];
  uint32_t due;

  if (run->stage < CHUNKS)
    {
      due = run->tokens * (run->stage + 1) / CHUNKS;
      spend (world, run->ref.program, due - run->tokens_done);
      run->tokens_done = due;
      cache_put (world, worker, run->ref.program, run->tokens_in + due);
      send_token (world, run, run->stage++);
      schedule_stage (world, index, ENGINE_CHUNK_US);
      return;
    }
  record_final_answer (world, run);
  end_run (world, run);
  send_done (world, run, MQ_ERR_NONE, MQ_RAN_RAN);
}

static void
apply_effect (struct world *world, struct run *run)
{
  struct observed_call *observed
      = worker_observed_call (world, run->ref.program, run->ref.call);

  observed->effects++;
  world_trace (world, "%s: effect of %016llx call %u attempt %u",
               world->hosts[run->host].name,
               (unsigned long long)run->ref.program.lo, run->ref.call,
               run->ref.attempt);
  if (!observed->idempotent && observed->effects == 2)
    world_report_violation (
        world, INVARIANT_ONCE,
        "program %016llx call %u took effect twice, now by "
        "attempt %u at %s",
        (unsigned long long)run->ref.program.lo, run->ref.call,
        run->ref.attempt, world->hosts[run->host].name);
}

static void
plain_stage (struct world *world, struct run *run, size_t index)
{
  bool early = world->cell->plant == PLANT_ANSWER_BEFORE_RUN;

  switch (run->stage++)
    {
    case 0:
      if (early)
        send_done (world, run, MQ_ERR_NONE, MQ_RAN_RAN);
      else
        apply_effect (world, run);
      schedule_stage (world, index, early ? ANSWER_HELD_US : ANSWER_US);
      break;
    case 1:
      if (early)
        apply_effect (world, run);
      end_run (world, run);
      if (!early)
        send_done (world, run, MQ_ERR_NONE, MQ_RAN_RAN);
      break;
    }
}

/* A hanging service takes effect but does not reply; the gate's client times
   out.  */
static void
start_hang (struct world *world, struct run *run, size_t index)
{
  if (run->worker != MODEL_WORKER)
    apply_effect (world, run);
  run->hangs = false;
  run->stopped = true;
  schedule_stage (world, index, HANG_US);
}

void
worker_behaviour (struct world *world, const struct world_event *event)
{
  struct run *run = world->runs[event->index];
  const struct worker *worker = &world->hosts[run->host].workers[run->worker];

  if (run->ended || worker->boot != run->worker_boot)
    return;
  if (run->stopped)
    fail_run (world, run, MQ_ERR_TIMEOUT);
  else if (run->hangs)
    start_hang (world, run, (size_t)event->index);
  else if (run->worker == MODEL_WORKER)
    model_stage (world, run, (size_t)event->index);
  else
    plain_stage (world, run, (size_t)event->index);
}

void
worker_stop (struct world *world, int host, uint32_t slot)
{
  for (size_t i = 0; i < world->run_count; i++)
    {
      struct run *run = world->runs[i];

      if (run->ended || run->host != host || run->slot != slot
          || run->host_run != world->hosts[host].run)
        continue;
      world_trace (world, "%s cancels %016llx call %u",
                   world->hosts[host].name,
                   (unsigned long long)run->ref.program.lo, run->ref.call);
      fail_run (world, run, MQ_ERR_CANCELLED);
      return;
    }
}

/* ---- Evictions, orders, cache reports ---- */

void
worker_evict (struct world *world, int host, const struct mq_evict *evict)
{
  struct site site = { .step = STEP_EVICT, .actor = host, .target = host };
  struct world_event *event;
  uint32_t run = world->hosts[host].run;

  site.entry = world_owner_of (world, evict->program);
  site.program = evict->program;
  site.worker = (int)evict->worker;
  fault_step (world, &site);
  if (!world_is_current_run (world, host, run))
    return;
  world_trace (world, "%s evicts %016llx", world->hosts[host].name,
               (unsigned long long)evict->program.lo);
  event = world_event_create (world, EVENT_EVICTED, host);
  event->index = (int)evict->worker;
  event->program = evict->program;
  event->flag = world->hosts[host].workers[evict->worker].up
                && (world->cell->plant != PLANT_EVICT_DELAYED
                    || world->now_us > PLANT_EVICT_FROM_US);
  if (event->flag && world->cell->plant != PLANT_EVICT_SKIPPED)
    {
      record_cache_held (world, &world->hosts[host].workers[evict->worker],
                         &evict->program);
      cache_drop (&world->hosts[host].workers[evict->worker], evict->program);
    }
  world_push (world, event, world->now_us + EVICT_US);
}

void
worker_evicted (struct world *world, const struct world_event *event)
{
  struct mq_gate_input input
      = { .type = MQ_GATE_EVICTED, .now_us = world->now_us };

  input.u.evicted.worker = (uint32_t)event->index;
  input.u.evicted.program = event->program;
  input.u.evicted.confirmed = event->flag;
  world_gate_input (world, event->host, &input);
}

void
worker_order (struct world *world, int host, const struct mq_order_msg *order)
{
  struct world_event *event
      = world_event_create (world, EVENT_ORDER_DONE, host);

  event->handle = order->order;
  world_push (world, event, world->now_us + EVICT_US);
}

void
worker_ordered (struct world *world, const struct world_event *event)
{
  struct mq_gate_input input
      = { .type = MQ_GATE_ORDERED, .now_us = world->now_us };

  input.u.ordered.order = event->handle;
  world_gate_input (world, event->host, &input);
}

void
worker_read_cache (struct world *world, const struct world_event *event)
{
  const struct worker *worker
      = &world->hosts[event->host].workers[MODEL_WORKER];
  struct mq_gate_cache_entry *entries
      = talloc_zero_array (world, struct mq_gate_cache_entry,
                           (unsigned int)worker->cache_count + 1);
  struct mq_gate_input input
      = { .type = MQ_GATE_CACHE, .now_us = world->now_us };

  input.u.cache.worker = MODEL_WORKER;
  input.u.cache.entries = entries;
  input.u.cache.total = 100000;
  for (size_t i = 0; i < worker->cache_count; i++)
    {
      entries[i].program = worker->cache[i].program;
      entries[i].tokens = worker->cache[i].tokens;
      input.u.cache.used += entries[i].tokens;
    }
  input.u.cache.entry_count = worker->cache_count;
  /* The seeded eviction bug also hides the engine's report.  */
  if (worker->up && world->cell->plant != PLANT_EVICT_SKIPPED)
    world_gate_input (world, event->host, &input);
  talloc_free (entries);
}

/* ---- Restarts ---- */

static void
abort_runs (struct world *world, int host, uint32_t index)
{
  for (size_t i = 0; i < world->run_count; i++)
    if (world->runs[i]->host == host && world->runs[i]->worker == index)
      fail_run (world, world->runs[i], MQ_ERR_TARGET_FAILED);
}

/* Stops the engine (FLAG) and schedules its restart, or starts it.  */
void
worker_engine (struct world *world, const struct world_event *event)
{
  struct host *host = &world->hosts[event->host];
  struct worker *worker = &host->workers[event->index];
  struct mq_gate_input input = { .now_us = world->now_us };

  input.type = event->flag ? MQ_GATE_ENGINE_DOWN : MQ_GATE_ENGINE_UP;
  input.u.worker = (uint32_t)event->index;
  worker->up = !event->flag;
  if (event->flag)
    {
      worker->boot++;
      record_cache_held (world, worker, NULL);
      worker->cache_count = 0;
      abort_runs (world, event->host, (uint32_t)event->index);
      worker_schedule_engine (world, event->host, (uint32_t)event->index,
                              false, ENGINE_RESTART_US);
    }
  if (host->alive)
    world_gate_input (world, event->host, &input);
}

void
worker_schedule_engine (struct world *world, int host, uint32_t index,
                        bool down, uint64_t in_us)
{
  struct world_event *event = world_event_create (world, EVENT_ENGINE, host);

  event->index = (int)index;
  event->run = 0; /* not bound to a run of the gate */
  event->flag = down;
  world_push (world, event, world->now_us + in_us);
}

/* Ends hanging calls of a crashed gate: they have taken effect, and only the
   gate's client was waiting.  */
void
worker_gate_crashed (struct world *world, int host)
{
  for (size_t i = 0; i < world->run_count; i++)
    if (!world->runs[i]->ended && world->runs[i]->stopped
        && world->runs[i]->host == host
        && world->runs[i]->host_run == world->hosts[host].run)
      end_run (world, world->runs[i]);
}

/* Stops the workers of a failed host.  */
void
worker_host_crashed (struct world *world, int host)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      struct worker *worker = &world->hosts[host].workers[i];

      worker->boot++;
      record_cache_held (world, worker, NULL);
      worker->cache_count = 0;
      worker->up = true;
      abort_runs (world, host, i);
    }
}

uint32_t
worker_running (const struct world *world, int host)
{
  uint32_t count = 0;

  for (size_t i = 0; i < world->run_count; i++)
    count += !world->runs[i]->ended && world->runs[i]->host == host
             && world->runs[i]->host_run == world->hosts[host].run;
  return count;
}
