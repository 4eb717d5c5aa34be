/* world_worker.c - the world's workers: engines, a plain service whose calls
   may not be repeated, and a tool; and what they saw.

   An engine answers by a plan in the last user message, as docs/CONTRACTS.md
   has it; its answer depends on the program and the messages alone, so that
   a whole history can be checked from its first message on.
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
  OVERSPENT = 400
};

/* What was seen.  */

struct call_fact *
worker_call_fact (struct world *world, struct mq_id program, uint32_t call)
{
  struct call_fact *fact;

  for (size_t i = 0; i < world->call_count; i++)
    if (world->calls[i].call == call
        && mq_id_equal (world->calls[i].program, program))
      return &world->calls[i];
  world->calls = talloc_realloc (world, world->calls, struct call_fact,
                                 (unsigned int)world->call_count + 1);
  fact = &world->calls[world->call_count++];
  memset (fact, 0, sizeof *fact);
  fact->program = program;
  fact->call = call;
  return fact;
}

struct program_fact *
worker_program_fact (struct world *world, struct mq_id program)
{
  struct program_fact *fact;

  for (size_t i = 0; i < world->program_count; i++)
    if (mq_id_equal (world->programs[i].program, program))
      return &world->programs[i];
  world->programs
      = talloc_realloc (world, world->programs, struct program_fact,
                        (unsigned int)world->program_count + 1);
  fact = &world->programs[world->program_count++];
  memset (fact, 0, sizeof *fact);
  fact->program = program;
  return fact;
}

static void
spend (struct world *world, struct mq_id program, uint64_t tokens)
{
  struct spent_fact *fact = NULL;
  uint64_t budget = caller_budget_of (world, program.hi);

  for (size_t i = 0; i < world->spent_count; i++)
    if (world->spent[i].family == program.hi)
      fact = &world->spent[i];
  if (fact == NULL)
    {
      world->spent = talloc_realloc (world, world->spent, struct spent_fact,
                                     (unsigned int)world->spent_count + 1);
      fact = &world->spent[world->spent_count++];
      fact->family = program.hi;
      fact->tokens = 0;
    }
  if (fact->tokens <= budget && fact->tokens + tokens > budget)
    world_violate (
        world, INVARIANT_BUDGET, "program %016llx spent %llu tokens of %llu",
        (unsigned long long)program.hi,
        (unsigned long long)fact->tokens + tokens, (unsigned long long)budget);
  fact->tokens += tokens;
  world_trace (world, "program %016llx has spent %llu tokens",
               (unsigned long long)program.hi,
               (unsigned long long)fact->tokens);
}

/* Plans and answers.  */

static const char *
text_of (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text == NULL ? "" : text;
}

static bool
has_role (json_t *message, const char *role)
{
  return strcmp (text_of (message, "role"), role) == 0;
}

/* Place of the last user message among the first COUNT, or COUNT.  */
static size_t
last_user (json_t *messages, size_t count)
{
  for (size_t i = count; i > 0; i--)
    if (has_role (json_array_get (messages, i - 1), "user"))
      return i - 1;
  return count;
}

/* The step that a plan has for a history of COUNT messages, NULL: none.  */
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
  plan
      = strstr (text_of (json_array_get (messages, user), "content"), "plan=");
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
  const char *name = text_of (step, "call");
  json_t *calls = json_array ();
  json_t *call;
  char *arguments;
  char id[16];

  if (name[0] == '\0')
    name = text_of (step, "loop");
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

/* A history is whole when every message follows from those before it.  */

static bool
is_failure (json_t *result)
{
  return text_of (result, "error")[0] != '\0'
         && text_of (result, "ran")[0] != '\0';
}

/* What a program was told of a call that failed is held against what the
   target saw, at the end.  */
static void
note_failure (struct world *world, struct mq_id program, uint32_t call,
              json_t *result)
{
  if (strcmp (text_of (result, "ran"), mq_ran_name (MQ_RAN_NOT_RUN)) == 0)
    worker_call_fact (world, program, call)->told_not_run = true;
}

static bool
is_child_answer (struct world *world, struct mq_id program, uint32_t call,
                 const char *content)
{
  struct mq_id child = mq_id_child (program, call);
  const struct program_fact *fact = worker_program_fact (world, child);

  for (size_t i = 0; i < fact->final_count; i++)
    if (strstr (content, fact->finals[i]) != NULL)
      return true;
  return false;
}

static bool
tool_message_holds (struct world *world, struct mq_id program, uint32_t call,
                    json_t *message)
{
  const char *content = text_of (message, "content");
  const struct call_fact *fact = worker_call_fact (world, program, call);
  json_t *result = json_loads (content, 0, NULL);
  bool holds = is_failure (result);

  if (holds)
    note_failure (world, program, call, result);
  else if (fact->result != NULL)
    holds = strcmp (fact->result, content) == 0;
  else
    holds = is_child_answer (world, program, call, content);
  json_decref (result);
  return holds;
}

static bool
assistant_message_holds (struct mq_id program, json_t *messages, size_t place)
{
  json_t *message = json_array_get (messages, place);
  json_t *step = plan_step (messages, place);
  json_t *calls = tool_calls_of (step, place);
  json_t *told = json_object_get (message, "tool_calls");
  char *content = content_of (NULL, program, messages, place);
  bool holds = strcmp (content, text_of (message, "content")) == 0;

  if (json_array_size (calls) > 0 || json_array_size (told) > 0)
    holds = holds && json_equal (calls, told);
  talloc_free (content);
  json_decref (calls);
  json_decref (step);
  return holds;
}

/* Place of the first message that does not follow, COUNT when all do.  CALLS
   is set to the calls that the history holds.  */
static size_t
first_wrong (struct world *world, struct mq_id program, json_t *messages,
             uint32_t *calls)
{
  size_t count = json_array_size (messages);
  *calls = 0;
  for (size_t i = 0; i < count; i++)
    {
      json_t *message = json_array_get (messages, i);
      bool holds = true;

      if (has_role (message, "assistant"))
        {
          ++*calls;
          holds = assistant_message_holds (program, messages, i);
        }
      else if (has_role (message, "tool"))
        holds = tool_message_holds (world, program, ++*calls, message);
      else if (has_role (message, "user"))
        holds = caller_asked (world, program, text_of (message, "content"));
      else
        holds = has_role (message, "system") && i == 0;
      if (!holds)
        return i;
    }
  return count;
}

static void
check_history (struct world *world, const struct run *run, json_t *messages)
{
  uint32_t calls = 0;
  size_t count = json_array_size (messages);
  size_t wrong = first_wrong (world, run->ref.program, messages, &calls);
  char *text;

  if (wrong < count)
    {
      text = json_dumps (json_array_get (messages, wrong), JSON_COMPACT);
      world_violate (world, INVARIANT_HISTORY,
                     "program %016llx call %u: message %zu of %zu does not "
                     "follow: %.120s",
                     (unsigned long long)run->ref.program.lo, run->ref.call,
                     wrong, count, text);
      free (text);
    }
  else if (calls
           != caller_calls_before (world, run->ref.program, run->ref.call))
    world_violate (world, INVARIANT_HISTORY,
                   "program %016llx call %u: the history holds %u calls",
                   (unsigned long long)run->ref.program.lo, run->ref.call,
                   calls);
}

/* Engines' caches.  */

static struct cache_row *
cache_find (struct worker *worker, struct mq_id program)
{
  for (size_t i = 0; i < worker->cache_count; i++)
    if (mq_id_equal (worker->cache[i].program, program))
      return &worker->cache[i];
  return NULL;
}

static void
cache_hold (struct world *world, struct worker *worker, struct mq_id program,
            uint32_t tokens)
{
  struct cache_row *row = cache_find (worker, program);

  if (row == NULL)
    {
      worker->cache = talloc_realloc (world, worker->cache, struct cache_row,
                                      (unsigned int)worker->cache_count + 1);
      row = &worker->cache[worker->cache_count++];
      row->program = program;
    }
  row->tokens = tokens;
  row->held_us = world->now_us;
}

/* How long ROW has been held for a program that has ended.  */
static uint64_t
held_in_vain (struct world *world, const struct cache_row *row)
{
  uint64_t ended_us = worker_program_fact (world, row->program)->ended_us;

  if (ended_us == 0)
    return 0;
  return world->now_us - (ended_us > row->held_us ? ended_us : row->held_us);
}

/* WORKER gives up what it holds for a program, or for all.  */
static void
note_held (struct world *world, const struct worker *worker,
           const struct mq_id *program)
{
  for (size_t i = 0; i < worker->cache_count; i++)
    {
      const struct cache_row *row = &worker->cache[i];
      uint64_t held_us = held_in_vain (world, row);

      if (program != NULL && !mq_id_equal (row->program, *program))
        continue;
      if (held_us > world->report->held_us)
        world->report->held_us = held_us;
      if (held_us > EVICT_WITHIN_US)
        world_violate (world, INVARIANT_EVICTED,
                       "program %016llx ended %llu ms before",
                       (unsigned long long)row->program.lo,
                       (unsigned long long)(held_us / MS));
    }
}

/* The program's end is in the log.  */
void
worker_note_end (struct world *world, struct mq_id program)
{
  struct program_fact *fact = worker_program_fact (world, program);

  if (fact->ended_us == 0)
    fact->ended_us = world->now_us;
}

static void
cache_drop (struct worker *worker, struct mq_id program)
{
  struct cache_row *row = cache_find (worker, program);

  if (row != NULL)
    *row = worker->cache[--worker->cache_count];
}

/* Starting.  */

static void
plan_stage (struct world *world, size_t index, uint64_t in_us)
{
  struct world_event *event = world_event_create (world, EVENT_RUN, NOBODY);

  event->index = (int)index;
  world_push (world, event, world->now_us + in_us);
}

static json_t *
plant_in_history (struct world *world, json_t *messages)
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
      = plant_in_history (world, json_object_get (body, "messages"));
  size_t count = json_array_size (messages);
  json_t *step = plan_step (messages, count);
  json_t *calls = tool_calls_of (step, count);
  json_t *answer = json_object ();
  struct worker *worker = &world->hosts[run->host].workers[run->worker];
  const struct cache_row *row = cache_find (worker, run->ref.program);
  char *text;

  check_history (world, run, messages);
  run->content = content_of (run, run->ref.program, messages, count);
  run->tokens = tokens_of (step);
  if (run->tokens > run->max_tokens && run->max_tokens > 0)
    run->tokens = run->max_tokens;
  if (world->cell->plant == PLANT_CAP_IGNORED)
    run->tokens += OVERSPENT;
  run->tokens_in = (uint32_t)strlen (run->body) / BYTES_PER_TOKEN;
  run->cached = row == NULL ? 0 : row->tokens;
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
  struct call_fact *fact
      = worker_call_fact (world, run->ref.program, run->ref.call);

  run->answer = talloc_asprintf (run, "{\"receipt\":\"%016llx%016llx/%u\"}",
                                 (unsigned long long)run->ref.program.hi,
                                 (unsigned long long)run->ref.program.lo,
                                 run->ref.call);
  if (fact->result == NULL)
    fact->result = talloc_strdup (world, run->answer);
}

static void
check_start (struct world *world, const struct run *run)
{
  const struct mq_call_ref *ref = &run->ref;
  const struct program_fact *program
      = worker_program_fact (world, ref->program);
  const struct host *host = &world->hosts[run->host];
  struct call_fact *before;

  if (program->refused)
    world_violate (world, INVARIANT_NOT_RUN,
                   "program %016llx call %u starts after not_run",
                   (unsigned long long)ref->program.lo, ref->call);
  if (world->now_us > world->outage_from_us
      && world->now_us < world->outage_until_us)
    world->report->starts_in_outage++;
  if (host->workers[run->worker].kind == MQ_SERVICE_PLAIN
      && !check_is_intended (world, ref))
    world_violate (
        world, INVARIANT_INTENDED, "program %016llx call %u attempt %u starts",
        (unsigned long long)ref->program.lo, ref->call, ref->attempt);
  if (ref->call > 1)
    {
      before = worker_call_fact (world, ref->program, ref->call - 1);
      if (before->starts > 0 && before->ends == 0)
        world_violate (world, INVARIANT_ORDER,
                       "program %016llx call %u starts, call %u never ended",
                       (unsigned long long)ref->program.lo, ref->call,
                       ref->call - 1);
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
        world_violate (world, INVARIANT_LEAVING,
                       "%s starts program %016llx call %u after its LEAVE",
                       host->name, (unsigned long long)ref->program.lo,
                       ref->call);
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
begin (struct world *world, struct run *run, size_t index)
{
  struct worker *worker = &world->hosts[run->host].workers[run->worker];
  struct call_fact *fact;

  check_start (world, run);
  fact = worker_call_fact (world, run->ref.program, run->ref.call);
  fact->starts++;
  fact->idempotent = worker->kind != MQ_SERVICE_PLAIN;
  worker_program_fact (world, run->ref.program)->starts++;
  run->hangs = worker->hangs;
  worker->hangs = false;
  if (worker->kind == MQ_SERVICE_MODEL)
    {
      prepare_model (world, run);
      plan_stage (world, index, ENGINE_FIRST_US);
      return;
    }
  prepare_plain (world, run);
  plan_stage (world, index, EFFECT_US);
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
  if (!world_runs (world, host, run_number) || world->hosts[host].held)
    return;
  world_trace (
      world, "%s starts %016llx call %u attempt %u at %s, max_tokens %u",
      world->hosts[host].name, (unsigned long long)start->ref.program.lo,
      start->ref.call, start->ref.attempt, start->service, start->max_tokens);
  run = add_run (world, host, start);
  begin (world, run, world->run_count - 1);
  if (world->cell->plant != PLANT_START_CLONED
      || world->hosts[host].workers[start->worker].kind != MQ_SERVICE_PLAIN)
    return;
  run = add_run (world, host, start);
  run->slot = UINT32_MAX;
  begin (world, run, world->run_count - 1);
}

/* Ending.  */

static bool
is_heard (const struct world *world, const struct run *run)
{
  return world_runs (world, run->host, run->host_run)
         && run->slot != UINT32_MAX;
}

static void
end_run (struct world *world, struct run *run)
{
  run->ended = true;
  worker_call_fact (world, run->ref.program, run->ref.call)->ends++;
}

static void
give_done (struct world *world, const struct run *run,
           enum mq_error_type error, enum mq_ran ran)
{
  struct mq_gate_input input
      = { .type = MQ_GATE_DONE, .now_us = world->now_us };

  if (!is_heard (world, run))
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

/* A model call may be asked again; whether another took effect can't be
   known when it does not answer.  */
static void
fail_run (struct world *world, struct run *run, enum mq_error_type error)
{
  bool model = run->worker == MODEL_WORKER;

  if (run->ended)
    return;
  end_run (world, run);
  give_done (world, run, error, model ? MQ_RAN_RAN : MQ_RAN_UNKNOWN);
}

static void
give_token (struct world *world, const struct run *run, uint32_t chunk)
{
  struct mq_gate_input input
      = { .type = MQ_GATE_TOKEN, .now_us = world->now_us };
  size_t len = strlen (run->content);
  size_t from = len * chunk / CHUNKS;
  size_t to = len * (chunk + 1) / CHUNKS;
  char *text = talloc_strndup (world, run->content + from, to - from);

  input.u.token.slot = run->slot;
  input.u.token.text = text;
  if (is_heard (world, run))
    world_gate_input (world, run->host, &input);
  talloc_free (text);
}

static void
note_final (struct world *world, const struct run *run)
{
  struct program_fact *fact = worker_program_fact (world, run->ref.program);

  if (strstr (run->answer, "\"finish\":\"stop\"") == NULL)
    return;
  fact->finals = talloc_realloc (world, fact->finals, char *,
                                 (unsigned int)fact->final_count + 1);
  fact->finals[fact->final_count++] = talloc_strdup (world, run->content);
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
      cache_hold (world, worker, run->ref.program, run->tokens_in + due);
      give_token (world, run, run->stage++);
      plan_stage (world, index, ENGINE_CHUNK_US);
      return;
    }
  note_final (world, run);
  end_run (world, run);
  give_done (world, run, MQ_ERR_NONE, MQ_RAN_RAN);
}

static void
take_effect (struct world *world, struct run *run)
{
  struct call_fact *fact
      = worker_call_fact (world, run->ref.program, run->ref.call);

  fact->effects++;
  world_trace (world, "%s: effect of %016llx call %u attempt %u",
               world->hosts[run->host].name,
               (unsigned long long)run->ref.program.lo, run->ref.call,
               run->ref.attempt);
  if (!fact->idempotent && fact->effects == 2)
    world_violate (world, INVARIANT_ONCE,
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
        give_done (world, run, MQ_ERR_NONE, MQ_RAN_RAN);
      else
        take_effect (world, run);
      plan_stage (world, index, early ? ANSWER_HELD_US : ANSWER_US);
      break;
    case 1:
      if (early)
        take_effect (world, run);
      end_run (world, run);
      if (!early)
        give_done (world, run, MQ_ERR_NONE, MQ_RAN_RAN);
      break;
    }
}

/* A hanging service takes effect and never answers; the client at the gate
   gives up.  */
static void
hang (struct world *world, struct run *run, size_t index)
{
  if (run->worker != MODEL_WORKER)
    take_effect (world, run);
  run->hangs = false;
  run->stopped = true;
  plan_stage (world, index, HANG_US);
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
    hang (world, run, (size_t)event->index);
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
      world_trace (world, "%s stops %016llx call %u", world->hosts[host].name,
                   (unsigned long long)run->ref.program.lo, run->ref.call);
      fail_run (world, run, MQ_ERR_CANCELLED);
      return;
    }
}

/* Evictions, orders, reads of the cache.  */

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
  if (!world_runs (world, host, run))
    return;
  world_trace (world, "%s evicts %016llx", world->hosts[host].name,
               (unsigned long long)evict->program.lo);
  event = world_event_create (world, EVENT_EVICTED, host);
  event->index = (int)evict->worker;
  event->program = evict->program;
  event->flag = world->hosts[host].workers[evict->worker].up
                && (world->cell->plant != PLANT_EVICT_DELAYED
                    || world->now_us > PLANT_EVICT_FROM_US);
  if (event->flag && world->cell->plant != PLANT_EVICT_SWALLOWED)
    {
      note_held (world, &world->hosts[host].workers[evict->worker],
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
  struct world_event *event = world_event_create (world, EVENT_ORDERED, host);

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
  /* A bug planted in evictions hides behind what the engine says, too.  */
  if (worker->up && world->cell->plant != PLANT_EVICT_SWALLOWED)
    world_gate_input (world, event->host, &input);
  talloc_free (entries);
}

/* Restarts.  */

static void
abort_runs (struct world *world, int host, uint32_t index)
{
  for (size_t i = 0; i < world->run_count; i++)
    if (world->runs[i]->host == host && world->runs[i]->worker == index)
      fail_run (world, world->runs[i], MQ_ERR_TARGET_FAILED);
}

/* FLAG: it goes down, and up again a while later.  */
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
      note_held (world, worker, NULL);
      worker->cache_count = 0;
      abort_runs (world, event->host, (uint32_t)event->index);
      worker_plan_engine (world, event->host, (uint32_t)event->index, false,
                          ENGINE_RESTART_US);
    }
  if (host->alive)
    world_gate_input (world, event->host, &input);
}

void
worker_plan_engine (struct world *world, int host, uint32_t index, bool down,
                    uint64_t in_us)
{
  struct world_event *event = world_event_create (world, EVENT_ENGINE, host);

  event->index = (int)index;
  event->run = 0; /* the engine's, not the gate's */
  event->flag = down;
  world_push (world, event, world->now_us + in_us);
}

/* A call that hangs has had its effect, and only the gate's client waits for
   the answer: it ends with that client.  */
void
worker_gate_died (struct world *world, int host)
{
  for (size_t i = 0; i < world->run_count; i++)
    if (!world->runs[i]->ended && world->runs[i]->stopped
        && world->runs[i]->host == host
        && world->runs[i]->host_run == world->hosts[host].run)
      end_run (world, world->runs[i]);
}

/* The whole host is gone, its workers with it.  */
void
worker_host_died (struct world *world, int host)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      struct worker *worker = &world->hosts[host].workers[i];

      worker->boot++;
      note_held (world, worker, NULL);
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
