/* replay.c - discrete-time simulation of hosts and engines.

   Time advances in steps of a millisecond; each step has a list of due turns.
   Needs: replay.h, libm.  */

#include "replay.h"
#include "core/id.h"
#include "core/memory.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TURNS_MAX = 24,
  MS_PER_S = 1000,
  US_PER_MS = 1000,
  /* Time to finish after the last program has started.  */
  TAIL_MS = 20000,
  SHARED_PROMPTS = 3,
  SHARED_TOKENS = 2560,
  SHARED_SPREAD = 512,
  OUTPUT_TOKENS_MAX = 136,
  /* Caller's deadline for one turn.  */
  TURN_DEADLINE_MS = 4000,
  TRIES_PER_SEND = 2,
  SENDS = 3,
  RETRY_MS = 250,
  /* Network latency of a turn and mean time of tool calls after it.  */
  LATENCY_MS = 22,
  TOOLS_MS = 90,
  DEADLINE_SLACK_MS = 200,
  /* Objective for the first token of a turn.  */
  OBJECTIVE_MS = 200,
  /* One turn in this many arrives at a different host.  */
  TURNS_PER_MOVE = 8,
  BUDGET_BASE = 100,
  BUDGET_PER_TURN = 200,
  ADMISSION_SEED = 2,
  CACHE_TOKENS_PER_SLOT = 10176
};

static const char service_name[] = "models";

/**
 * struct class_kind - class of programs
 * @share: fraction of all programs
 * @turns: mean number of turns
 * @input_tokens: mean input of a turn
 * @slowdown: deadline relative to the time on idle engines
 */
struct class_kind
{
  double share;
  double turns;
  double input_tokens;
  double slowdown;
  const char *route;
};

static const struct class_kind kinds[REPLAY_CLASSES]
    = { { 0.18, 11.0, 700.0, 1.6, "long" },
        { 0.82, 3.6, 1300.0, 1.8, "short" } };

struct turn
{
  uint32_t input;
  uint32_t output;
  uint32_t pause_ms;
};

/**
 * struct program - one program
 * @next: next program that is due in the same millisecond
 * @at: index of the current turn
 * @history: tokens of all earlier turns
 * @engine: engine that runs the turn, UINT32_MAX if none
 * @sent_ms: start of the current send of the turn
 * @placed_ms: time at which the turn was sent to its engine
 * @left_ms: time that the program had left at the turn's arrival
 * @tries: tries in the current send
 * @sends: sends of the current turn
 * @home: worker in the program's record, 0 if none
 * @begun: the program was admitted
 * @refusals: times that admission control refused it
 */
struct program
{
  struct program *next;
  uint32_t number;
  uint32_t kind;
  uint32_t host;
  struct turn turns[TURNS_MAX];
  uint32_t turn_count;
  uint32_t at;
  uint32_t shared;
  uint32_t shared_tokens;
  uint32_t history;
  uint64_t began_ms;
  uint64_t deadline_ms;
  uint32_t engine;
  uint64_t sequence;
  uint64_t sent_ms;
  uint64_t placed_ms;
  uint32_t left_ms;
  uint32_t tries;
  uint32_t sends;
  uint64_t home;
  bool begun;
  uint32_t refusals;
};

struct host
{
  struct mq_fleet *fleet;
  struct mq_admission *admission;
  struct mq_pace *pace;
};

struct replay
{
  const struct replay_options *options;
  struct replay_result *result;
  struct host hosts[REPLAY_HOSTS_MAX];
  struct mq_engine *engines[REPLAY_ENGINES_MAX];
  struct program **programs;
  uint32_t program_count;
  struct program **due;
  uint64_t end_ms;
  uint64_t now_ms;
  unsigned short random_state[3];
};

/* ---- Random numbers ---- */

static double
random_fraction (struct replay *self)
{
  return erand48 (self->random_state);
}

static uint64_t
random_number (struct replay *self)
{
  return (uint64_t)nrand48 (self->random_state) << 31
         | (uint64_t)nrand48 (self->random_state);
}

/* Log-normal sample with mean MEAN.  */
static double
random_lognormal (struct replay *self, double mean, double sigma)
{
  double a = random_fraction (self);
  double b = random_fraction (self);
  double normal = sqrt (-2.0 * log (1.0 - a)) * cos (2.0 * M_PI * b);

  return mean * exp (sigma * normal - sigma * sigma / 2.0);
}

static uint32_t
random_count (struct replay *self, double mean, double sigma, uint32_t most)
{
  double value = random_lognormal (self, mean, sigma);

  if (value < 1.0)
    return 1;
  return value > most ? most : (uint32_t)value;
}

/* ---- Time ---- */

static void
schedule (struct replay *self, struct program *program, uint64_t wait_ms)
{
  uint64_t at = self->now_ms + (wait_ms > 0 ? wait_ms : 1);

  if (at >= self->end_ms)
    at = self->end_ms - 1;
  program->next = self->due[at];
  self->due[at] = program;
}

/* ---- Programs ---- */

/* Duration of a turn on an idle engine that has its history cached.  */
static double
idle_ms (const struct mq_engine_params *params, const struct turn *turn)
{
  return (double)turn->input * params->prefill_us_per_token / US_PER_MS
         + (double)turn->output * params->base_us / US_PER_MS + LATENCY_MS;
}

static void
make_params (const struct replay_options *options,
             struct mq_engine_params *params)
{
  mq_engine_params_default (params);
  params->time_scale = 1.0;
  params->base_us = options->base_us;
  params->per_sequence_us = options->per_sequence_us;
  params->prefill_us_per_token = 30;
  params->prefill_cap = 1024;
  params->slots = options->slots;
  params->queue_max = 24;
  params->cache_tokens = options->slots * CACHE_TOKENS_PER_SLOT;
  params->load_lag_us = 0;
}

static struct program *
make_program (struct replay *self)
{
  struct program *program
      = mq_check_alloc (talloc_zero (self, struct program));
  struct mq_engine_params params;
  const struct class_kind *kind;
  double idle = 0.0;

  make_params (self->options, &params);
  program->number = ++self->program_count;
  program->kind = random_fraction (self) < kinds[0].share ? 0 : 1;
  kind = &kinds[program->kind];
  program->host = (uint32_t)(random_number (self) % self->options->hosts);
  program->shared = (uint32_t)(random_number (self) % SHARED_PROMPTS);
  program->shared_tokens = SHARED_TOKENS + program->shared * SHARED_SPREAD;
  program->turn_count = random_count (self, kind->turns, 0.4, TURNS_MAX);
  for (uint32_t i = 0; i < program->turn_count; i++)
    {
      struct turn *turn = &program->turns[i];

      turn->input = random_count (self, kind->input_tokens, 0.7, 4000);
      turn->output = 4U * random_count (self, 8.5, 0.8, 34);
      turn->pause_ms = random_count (self, TOOLS_MS, 0.6, 600);
      idle += idle_ms (&params, turn) + turn->pause_ms;
    }
  program->engine = UINT32_MAX;
  program->began_ms = self->now_ms;
  program->deadline_ms
      = (uint64_t)(idle * kind->slowdown * self->options->patience)
        + DEADLINE_SLACK_MS;
  return program;
}

static bool
is_counted (const struct program *program)
{
  return program->began_ms / MS_PER_S < REPLAY_SECONDS;
}

static struct replay_count *
second_of (struct replay *self, const struct program *program)
{
  return &self->result->seconds[program->began_ms / MS_PER_S];
}

/* Counts a program that admission control refused at first.  */
static void
count_return (struct replay *self, const struct program *program, bool met)
{
  self->result->turned_away++;
  if (program->refusals > 1)
    self->result->turned_away_again++;
  if (met)
    self->result->returned_met++;
  else if (program->begun)
    self->result->returned_late++;
}

static void
end_program (struct replay *self, const struct program *program, bool whole)
{
  struct replay_count *counts[]
      = { &self->result->classes[program->kind],
          is_counted (program) ? second_of (self, program) : NULL };
  uint64_t took = self->now_ms - program->began_ms;

  if (program->refusals > 0)
    count_return (self, program, whole && took <= program->deadline_ms);
  for (size_t i = 0; i < 2; i++)
    {
      if (counts[i] == NULL)
        continue;
      if (whole && took <= program->deadline_ms)
        counts[i]->met_deadline++;
      else if (whole && took <= 2 * program->deadline_ms)
        counts[i]->late++;
      else if (!program->begun)
        counts[i]->refused++;
      else
        counts[i]->failed++;
    }
}

/* ---- Turns ---- */

static uint64_t
program_hash (const struct program *program, uint64_t seed)
{
  return mq_hash_bytes (&program->number, sizeof program->number, seed);
}

/* Hashes of the prompt blocks: the shared prompt, then the program's own text.
 */
static uint64_t *
prompt_hashes (struct replay *self, const struct program *program,
               size_t count)
{
  uint64_t *hashes = mq_check_alloc (talloc_array (self, uint64_t, count + 1));
  uint32_t shared = program->shared_tokens / MQ_KV_BLOCK_TOKENS;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t key[2]
          = { i < shared ? program->shared : SHARED_PROMPTS + program->number,
              i };

      hashes[i] = mq_hash_bytes (key, sizeof key, 0);
    }
  return hashes;
}

static bool
submit (struct replay *self, struct program *program, uint32_t engine)
{
  const struct turn *turn = &program->turns[program->at];
  uint32_t prompt = program->shared_tokens + program->history + turn->input;
  size_t blocks = (prompt + turn->output) / MQ_KV_BLOCK_TOKENS;
  uint64_t *hashes = prompt_hashes (self, program, blocks);
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_engine_request request = {
    .tag = program->number,
    .program = { .lo = program->number },
    .priority
    = self->options->policy == REPLAY_PREEMPTIVE && program->kind == 0
          ? MQ_PRIORITY_URGENT
          : MQ_PRIORITY_INTERACTIVE,
    .prompt_tokens = prompt,
    .shared_tokens = program->shared_tokens,
    .output_tokens = turn->output,
    .hashes = hashes,
    .hash_count = blocks,
  };

  program->sequence = mq_engine_submit (
      self->engines[engine], self->now_ms * US_PER_MS, &request, &error);
  talloc_free (hashes);
  return program->sequence != 0;
}

static struct mq_fleet_query
query_of (struct replay *self, const struct program *program)
{
  return (struct mq_fleet_query){
    .service = service_name,
    .data_centre = "",
    .has_key = self->options->policy != REPLAY_LEAST_LOADED,
    .home = program->home,
    .key = program_hash (program, 1),
    .now_ms = self->now_ms,
    .random = random_number (self),
  };
}

/* Retries a turn that was rejected or timed out, up to the limits of callers,
   at a host that the caller reaches by chance.  */
static void
retry_turn (struct replay *self, struct program *program, uint64_t wait_ms)
{
  uint64_t left = program->sent_ms + TURN_DEADLINE_MS > self->now_ms
                      ? program->sent_ms + TURN_DEADLINE_MS - self->now_ms
                      : 0;

  program->host = (uint32_t)(random_number (self) % self->options->hosts);
  if (++program->tries < TRIES_PER_SEND && left > 0)
    {
      schedule (self, program, wait_ms < left / 3 ? wait_ms : left / 3);
      return;
    }
  program->tries = 0;
  if (++program->sends < SENDS)
    schedule (self, program, RETRY_MS);
  else
    end_program (self, program, false);
}

static uint32_t
remaining_ms (const struct replay *self, const struct program *program)
{
  uint64_t spent = self->now_ms - program->began_ms;

  return (uint32_t)(program->deadline_ms > spent ? program->deadline_ms - spent
                                                 : 0);
}

/* Callers give the time that was left when they sent the turn first, also when
   they try again.  */
static uint32_t
remaining_at_send_ms (const struct program *program)
{
  uint64_t spent = program->sent_ms - program->began_ms;

  return (uint32_t)(program->deadline_ms > spent ? program->deadline_ms - spent
                                                 : 0);
}

static uint32_t
pace_load (struct replay *self, const struct program *program)
{
  struct host *host = &self->hosts[program->host];
  struct mq_pace_program asking = {
    .service = service_name,
    .route = kinds[program->kind].route,
    .service_load
    = mq_fleet_service_load (host->fleet, service_name, self->now_ms),
    .now_ms = self->now_ms,
  };

  return self->options->policy == REPLAY_ALL_DECISIONS
             ? mq_pace_load (host->pace, &asking)
             : 0;
}

/* Returns true if the program has begun or is admitted.  */
static bool
admit (struct replay *self, struct program *program, uint32_t *retry_ms)
{
  struct host *host = &self->hosts[program->host];
  struct mq_admission_request request = {
    .service = service_name,
    .route = kinds[program->kind].route,
    .priority = program->kind,
    .program = program_hash (program, ADMISSION_SEED),
    .load
    = mq_fleet_service_pressure (host->fleet, service_name, self->now_ms),
    .pace_load = pace_load (self, program),
    .has_remaining = true,
    .remaining_ms = remaining_at_send_ms (program),
    .budget = BUDGET_BASE + (uint64_t)BUDGET_PER_TURN * program->turn_count,
    .now_ms = self->now_ms,
  };
  struct mq_fleet_query query = query_of (self, program);

  if (program->begun)
    return true;
  if (self->options->policy <= REPLAY_BY_SLOTS
      && mq_admission_decide (host->admission, &request, retry_ms)
             != MQ_ADMISSION_ACCEPTED)
    return false;
  program->begun = true;
  mq_pace_record_begin (host->pace, service_name, self->now_ms);
  if (self->options->policy <= REPLAY_ALL_ADMITTED)
    program->home = mq_fleet_choose_home (host->fleet, &query);
  return true;
}

static void
begin_turn (struct replay *self, struct program *program)
{
  struct mq_fleet *fleet = self->hosts[program->host].fleet;
  struct mq_fleet_query query;
  uint32_t retry_ms = 0;

  if (program->tries == 0)
    program->sent_ms = self->now_ms;
  if (!admit (self, program, &retry_ms))
    {
      program->refusals++;
      retry_turn (self, program, retry_ms);
      return;
    }
  query = query_of (self, program);
  program->engine = mq_fleet_choose (fleet, &query);
  program->placed_ms = self->now_ms;
  program->left_ms = remaining_ms (self, program);
  mq_fleet_request_started (fleet, program->engine, self->now_ms);
  if (submit (self, program, program->engine))
    return;
  mq_fleet_request_ended (fleet, program->engine, MQ_OUTCOME_FULL,
                          self->now_ms);
  program->engine = UINT32_MAX;
  retry_turn (self, program, RETRY_MS);
}

static void
record_pace (struct replay *self, const struct program *program,
             const struct mq_engine_load *load)
{
  struct mq_pace_turn turn = {
    .service = service_name,
    .route = kinds[program->kind].route,
    .program = program_hash (program, ADMISSION_SEED),
    .begins = program->at == 0,
    .has_remaining = true,
    .remaining_ms = program->left_ms,
    .ran_ms = (uint32_t)(self->now_ms - program->placed_ms),
    .tokens = program->turns[program->at].output,
    .load = (load->running + load->queued + 1U) * MQ_FLEET_LOAD_FULL
            / self->options->slots,
  };

  mq_pace_record_turn (self->hosts[program->host].pace, &turn);
}

static void
end_turn (struct replay *self, struct program *program)
{
  struct mq_fleet *fleet = self->hosts[program->host].fleet;
  struct mq_engine_load load = mq_engine_load (self->engines[program->engine]);
  const struct turn *turn = &program->turns[program->at];

  record_pace (self, program, &load);
  mq_fleet_record_load (fleet, program->engine, load.running, load.queued,
                        self->now_ms);
  mq_fleet_request_ended (fleet, program->engine, MQ_OUTCOME_SUCCEEDED,
                          self->now_ms);
  program->engine = UINT32_MAX;
  program->history += turn->input + turn->output;
  program->tries = 0;
  program->sends = 0;
  self->result->turns++;
  if (++program->at == program->turn_count)
    {
      end_program (self, program, true);
      return;
    }
  if (random_number (self) % TURNS_PER_MOVE == 0)
    program->host = (uint32_t)(random_number (self) % self->options->hosts);
  schedule (self, program, LATENCY_MS + turn->pause_ms);
}

/* Cancels a turn whose deadline has passed while it is at an engine.  */
static void
check_deadline (struct replay *self, struct program *program)
{
  uint32_t generated = 0;

  if (program->engine == UINT32_MAX
      || self->now_ms < program->sent_ms + TURN_DEADLINE_MS)
    return;
  mq_engine_cancel (self->engines[program->engine], self->now_ms * US_PER_MS,
                    program->sequence, &generated);
  mq_fleet_request_ended (self->hosts[program->host].fleet, program->engine,
                          MQ_OUTCOME_CANCELLED, self->now_ms);
  program->engine = UINT32_MAX;
  program->tries = TRIES_PER_SEND;
  retry_turn (self, program, 0);
}

/* ---- Simulation ---- */

static void
make_hosts (struct replay *self)
{
  char id[32];
  struct mq_fleet_member member = { .id = id,
                                    .service = service_name,
                                    .address = "",
                                    .data_centre = "",
                                    .slots = self->options->slots };

  for (uint32_t i = 0; i < self->options->hosts; i++)
    {
      self->hosts[i].fleet = mq_check_alloc (mq_fleet_create (self));
      self->hosts[i].admission = mq_check_alloc (mq_admission_create (self));
      self->hosts[i].pace = mq_check_alloc (mq_pace_create (self));
      for (uint32_t j = 0; j < self->options->engines; j++)
        {
          snprintf (id, sizeof id, "engine-%u", j);
          mq_fleet_put (self->hosts[i].fleet, &member, NULL);
        }
    }
}

static void
make_engines (struct replay *self)
{
  struct mq_engine_params params;

  make_params (self->options, &params);
  for (uint32_t i = 0; i < self->options->engines; i++)
    {
      params.seed = self->options->seed + i;
      self->engines[i] = mq_check_alloc (mq_engine_create (self, &params));
    }
}

/* Records the delay of the first token of a turn.  */
static void
record_delay (struct replay *self, const struct program *program)
{
  if (program->engine != UINT32_MAX)
    mq_fleet_record_delay (self->hosts[program->host].fleet, program->engine,
                           (uint32_t)(self->now_ms - program->placed_ms),
                           OBJECTIVE_MS, self->now_ms);
}

static void
handle_events (struct replay *self, struct mq_engine *engine)
{
  struct mq_engine_event event;

  while (mq_engine_next_event (engine, &event))
    if (event.type == MQ_ENGINE_TOKEN && event.generated == 1)
      record_delay (self, self->programs[event.tag]);
    else if (event.type == MQ_ENGINE_DONE
             && self->programs[event.tag]->engine != UINT32_MAX)
      end_turn (self, self->programs[event.tag]);
}

static void
run_engines (struct replay *self)
{
  uint64_t now_us = self->now_ms * US_PER_MS;

  for (uint32_t i = 0; i < self->options->engines; i++)
    {
      if (mq_engine_next_us (self->engines[i]) > now_us)
        continue;
      mq_engine_advance (self->engines[i], now_us);
      handle_events (self, self->engines[i]);
    }
}

static void
begin_programs (struct replay *self)
{
  const struct replay_options *options = self->options;
  uint64_t second = self->now_ms / MS_PER_S;
  bool burst = second >= options->burst_from_s
               && second < options->burst_from_s + options->burst_s;
  double expected
      = options->base_per_s * (burst ? options->burst : 1.0) / MS_PER_S;
  struct program *program;

  if (second >= options->length_s || random_fraction (self) >= expected)
    return;
  program = make_program (self);
  self->programs = mq_check_alloc (talloc_realloc (
      self, self->programs, struct program *, self->program_count + 1));
  self->programs[program->number] = program;
  self->result->classes[program->kind].asked++;
  if (is_counted (program))
    second_of (self, program)->asked++;
  schedule (self, program, LATENCY_MS);
}

static void
run_due (struct replay *self)
{
  struct program *program = self->due[self->now_ms];

  while (program != NULL)
    {
      struct program *next = program->next;

      begin_turn (self, program);
      program = next;
    }
}

static void
check_deadlines (struct replay *self)
{
  enum
  {
    EVERY_MS = 50
  };

  for (uint32_t i = 1;
       self->now_ms % EVERY_MS == 0 && i <= self->program_count; i++)
    check_deadline (self, self->programs[i]);
}

void
replay_run (const struct replay_options *options, struct replay_result *result)
{
  struct replay *self = mq_check_alloc (talloc_zero (NULL, struct replay));

  *result = (struct replay_result){ 0 };
  self->options = options;
  self->result = result;
  self->random_state[0] = (unsigned short)options->seed;
  self->random_state[1] = (unsigned short)(options->seed >> 16);
  self->end_ms = (uint64_t)options->length_s * MS_PER_S + TAIL_MS;
  self->due = mq_check_alloc (
      talloc_zero_array (self, struct program *, self->end_ms));
  make_hosts (self);
  make_engines (self);
  /* The fleet treats time 0 as unset.  */
  for (self->now_ms = 1; self->now_ms < self->end_ms; self->now_ms++)
    {
      begin_programs (self);
      run_due (self);
      run_engines (self);
      check_deadlines (self);
    }
  for (uint32_t i = 0; i < options->engines; i++)
    {
      const struct mq_engine_counters *counters = mq_engine_read_counters (
          self->engines[i], self->now_ms * US_PER_MS);

      result->prefill_tokens += counters->prefill_tokens;
      result->preempted += counters->preempted;
    }
  talloc_free (self);
}

struct replay_options
replay_default_options (enum replay_policy policy, double burst, uint64_t seed)
{
  return (struct replay_options){
    .policy = policy,
    .seed = seed,
    .hosts = 12,
    .engines = 12,
    .slots = 8,
    .base_us = 6900,
    .per_sequence_us = 1,
    .patience = 1.0,
    .base_per_s = 20.0,
    .burst = burst,
    .burst_from_s = 5,
    .burst_s = 10,
    .length_s = 24,
  };
}

struct replay_options
replay_batch_options (enum replay_policy policy, double burst, uint64_t seed)
{
  struct replay_options options = replay_default_options (policy, burst, seed);

  options.slots = 32;
  options.base_us = 4600;
  options.per_sequence_us = 700;
  options.patience = 1.4;
  options.base_per_s = 16.0;
  return options;
}

struct replay_options
replay_fleet_options (enum replay_policy policy, double burst, uint64_t seed)
{
  struct replay_options options = replay_batch_options (policy, burst, seed);

  options.hosts = 31;
  options.engines = 46;
  options.base_per_s = 75.0;
  return options;
}

const char *
replay_policy_name (enum replay_policy policy)
{
  static const char *const names[REPLAY_POLICIES] = {
    [REPLAY_ALL_DECISIONS] = "as is",
    [REPLAY_BY_SLOTS] = "by slots",
    [REPLAY_ALL_ADMITTED] = "all admitted",
    [REPLAY_HASHED] = "spread by hash",
    [REPLAY_PREEMPTIVE] = "ranked at engines",
    [REPLAY_LEAST_LOADED] = "least loaded",
  };

  return names[policy];
}

double
replay_goodput (const struct replay_result *result, uint32_t from,
                uint32_t until)
{
  uint32_t sum = 0;

  for (uint32_t i = from; i < until && i < REPLAY_SECONDS; i++)
    sum += result->seconds[i].met_deadline;
  return until > from ? (double)sum / (until - from) : 0.0;
}
