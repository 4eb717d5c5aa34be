/* load_plan.c - seeded workload generator of mimosa-load.

   Needs: load_plan.h.  */

#include "load_plan.h"
#include "core/id.h"
#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BYTES_PER_TOKEN = 4,
  CALLS_MAX = 12,     /* maximum calls of one turn */
  ECHO_OVERHEAD = 24, /* tokens of a call and its result, arguments excluded */
  WORK_SAMPLE_SESSIONS = 600 /* sample size of the mean engine time */
};

/* Defaults of the stand-in engine, see docs/ENGINE_MODEL.md.  */
#define STEP_US 8000.0
#define SEQUENCE_US 150.0
#define PREFILL_US 125.0

#define US_PER_SECOND 1e6

static const char *const class_names[]
    = { "urgent", "interactive", "follow_up", "batch", "endless" };
static const char *const workload_names[] = { "diagne", "zarqa" };

struct mq_load_plan
{
  struct mq_load_options options;
  uint64_t random; /* random state of the sessions */
  uint64_t batch_random;
  double at_us;
  uint64_t next_number;
  uint64_t next_letter;
};

/* One turn under construction.  */
struct draft
{
  struct mq_load_plan *plan;
  uint64_t *random;
  json_t *steps;
  double new_tokens; /* tokens not computed before */
  double out_tokens;
  uint32_t calls;
};

const char *
mq_load_class_name (enum mq_load_class kind)
{
  return class_names[kind];
}

const char *
mq_load_workload_name (enum mq_load_workload workload)
{
  return workload_names[workload];
}

bool
mq_load_workload_find (const char *name, enum mq_load_workload *workload)
{
  for (int i = 0; i < MQ_LOAD_WORKLOADS; i++)
    if (strcmp (workload_names[i], name) == 0)
      {
        *workload = (enum mq_load_workload)i;
        return true;
      }
  return false;
}

const char *const *
mq_load_non_idempotent_paths (enum mq_load_workload workload)
{
  static const char *const diagne[]
      = { "/v1/badges/order", "/v1/payroll/bank-details", "/v1/briefings/book",
          "/v1/invitations/send", NULL };
  static const char *const zarqa[]
      = { "/v1/notices/record", "/v1/disputes/open", "/v1/envelopes/print",
          NULL };

  return workload == MQ_LOAD_DIAGNE ? diagne : zarqa;
}

/* Random values.  */

/* Uniform in (0, 1).  */
static double
draw_unit (uint64_t *random)
{
  return ((double)(mq_random_next (random) >> 11) + 0.5) / 9007199254740992.0;
}

static bool
draw_chance (uint64_t *random, double chance)
{
  return draw_unit (random) < chance;
}

static double
draw_exponential (uint64_t *random, double mean)
{
  return -mean * log (draw_unit (random));
}

/* Pareto distribution with minimum LEAST, limited to MOST.  */
static double
draw_pareto (uint64_t *random, double least, double shape, double most)
{
  double value = least * pow (draw_unit (random), -1 / shape);

  return value < most ? value : most;
}

/* Returns TOKENS tokens of random words, unlikely to occur in another text. */
static char *
draw_words (TALLOC_CTX *ctx, uint64_t *random, uint32_t tokens)
{
  static const char letters[] = "abcdefghijklmnopqrstuvwxyz";
  size_t len = (size_t)tokens * BYTES_PER_TOKEN;
  char *text = talloc_array (ctx, char, len + 1);

  if (text == NULL)
    abort ();
  for (size_t i = 0; i < len; i++)
    if (i % BYTES_PER_TOKEN == BYTES_PER_TOKEN - 1)
      text[i] = ' ';
    else
      text[i] = letters[mq_random_below (random, sizeof letters - 1)];
  text[len] = '\0';
  return text;
}

/* Steps of the plan for the stand-in model.  */

static void
begin_draft (struct draft *draft, struct mq_load_plan *plan, uint64_t *random)
{
  memset (draft, 0, sizeof *draft);
  draft->plan = plan;
  draft->random = random;
  draft->steps = json_array ();
}

static uint32_t
draw_answer_tokens (uint64_t *random)
{
  return (uint32_t)draw_pareto (random, 24, 1.5, 240);
}

/* Adds a call of NAME after a short text; takes ownership of ARGUMENTS.  The
   target's result repeats the arguments, so their tokens count twice.  */
static void
add_call_with (struct draft *draft, const char *name, json_t *arguments)
{
  uint32_t tokens = 8 + mq_random_below (draft->random, 24);
  char *dump = json_dumps (arguments, JSON_COMPACT);
  double size = (double)strlen (dump) / BYTES_PER_TOKEN;

  free (dump);
  json_array_append_new (draft->steps, json_pack ("{s:s, s:o, s:i}", "call",
                                                  name, "arguments", arguments,
                                                  "tokens", (int)tokens));
  draft->calls++;
  draft->out_tokens += tokens;
  draft->new_tokens += tokens + 2 * size + ECHO_OVERHEAD;
}

static void
add_call (struct draft *draft, const char *name)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t tokens = (uint32_t)draw_pareto (draft->random, 8, 1.2, 300);

  add_call_with (
      draft, name,
      json_pack ("{s:s}", "record", draw_words (ctx, draft->random, tokens)));
  talloc_free (ctx);
}

static void
add_answer (struct draft *draft)
{
  uint32_t tokens = draw_answer_tokens (draft->random);

  json_array_append_new (draft->steps,
                         json_pack ("{s:i}", "answer", (int)tokens));
  draft->out_tokens += tokens;
  draft->new_tokens += tokens;
}

/* Returns TOKENS tokens of text, followed by the plan.  */
static char *
write_input (TALLOC_CTX *ctx, struct draft *draft, uint32_t tokens)
{
  char *words = draw_words (ctx, draft->random, tokens);
  char *plan = json_dumps (draft->steps, JSON_COMPACT);
  char *input = talloc_asprintf (ctx, "%s\nplan=%s", words, plan);

  if (input == NULL)
    abort ();
  draft->new_tokens += (double)strlen (input) / BYTES_PER_TOKEN;
  free (plan);
  talloc_free (words);
  json_decref (draft->steps);
  return input;
}

/* Adds a call of a sub-agent with its own chain.  */
static void
add_agent (struct draft *draft, const char *name, const char *tool,
           const char *second)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct draft inner;
  char *input;

  begin_draft (&inner, draft->plan, draft->random);
  add_call (&inner, tool);
  if (second != NULL)
    add_call (&inner, second);
  add_answer (&inner);
  input = write_input (ctx, &inner, 60);
  draft->out_tokens += inner.out_tokens;
  draft->new_tokens += inner.new_tokens;
  add_call_with (draft, name, json_pack ("{s:s}", "input", input));
  talloc_free (ctx);
}

static uint32_t
draw_calls (uint64_t *random, uint32_t least)
{
  return least + (uint32_t)draw_pareto (random, 1, 1.3, CALLS_MAX - least) - 1;
}

/* Sessions.  */

static struct mq_load_session *
begin_session (TALLOC_CTX *ctx, uint64_t *number, const char *service,
               const char *key)
{
  struct mq_load_session *session = talloc_zero (ctx, struct mq_load_session);

  if (session == NULL)
    abort ();
  session->number = (*number)++;
  session->service = service;
  session->key = key;
  return session;
}

/* Completes the turn.  The history grows by the user's text, a call and its
   result for each step, and the model's last answer.  */
static struct mq_load_turn *
end_turn (struct mq_load_session *session, struct draft *draft,
          enum mq_load_class kind, uint32_t input_tokens)
{
  const struct mq_load_options *options = &draft->plan->options;
  struct mq_load_turn *turn = &session->turns[session->turn_count];
  uint32_t before = 1; /* the service's system prompt */

  if (session->turn_count > 0)
    before = session->turns[session->turn_count - 1].messages + 1;
  turn->kind = kind;
  turn->input = write_input (session, draft, input_tokens);
  turn->messages = before + 1 + 2 * draft->calls;
  turn->work_us
      = PREFILL_US * draft->new_tokens
        + draft->out_tokens * (STEP_US / options->slots + SEQUENCE_US);
  session->turn_count++;
  return turn;
}

static void
add_follow_ups (struct mq_load_session *session, struct mq_load_plan *plan,
                uint32_t count, double pause_s, const char *const *tools,
                uint32_t tool_count)
{
  uint64_t *random = &plan->random;

  for (uint32_t i = 0; i < count; i++)
    {
      struct draft draft;
      struct mq_load_turn *turn;
      uint32_t calls = draw_calls (random, 0);

      begin_draft (&draft, plan, random);
      for (uint32_t c = 0; c < calls; c++)
        add_call (&draft, tools[mq_random_below (random, tool_count)]);
      add_answer (&draft);
      turn = end_turn (session, &draft, MQ_LOAD_FOLLOW_UP,
                       (uint32_t)draw_pareto (random, 40, 1.3, 400));
      turn->stream = draw_chance (random, 0.5);
      turn->pause_us
          = (uint64_t)(US_PER_SECOND * draw_exponential (random, pause_s));
    }
  session->keep_open = session->turn_count > 1;
}

/* A program that repeats the same call until its budget, about 2 * MODEL_CALLS
   calls, is exhausted.  */
static struct mq_load_session *
make_endless (struct mq_load_plan *plan, TALLOC_CTX *ctx, const char *service,
              const char *key, const char *tool, uint32_t model_calls)
{
  struct mq_load_session *session
      = begin_session (ctx, &plan->next_number, service, key);
  struct draft draft;

  begin_draft (&draft, plan, &plan->random);
  json_array_append_new (draft.steps,
                         json_pack ("{s:s, s:i}", "loop", tool, "tokens", 16));
  draft.out_tokens = 16.0 * model_calls;
  draft.new_tokens = (16.0 + ECHO_OVERHEAD) * model_calls;
  end_turn (session, &draft, MQ_LOAD_ENDLESS, 100);
  return session;
}

/* Zarqa: a customer at the counter or on the phone.  */
static struct mq_load_session *
make_counter (struct mq_load_plan *plan, TALLOC_CTX *ctx)
{
  static const char *const tools[]
      = { "ledger", "billing-app.balance", "billing-app.find-account" };
  uint64_t *random = &plan->random;
  struct mq_load_session *session
      = begin_session (ctx, &plan->next_number, "counter-clerk",
                       draw_chance (random, 0.5) ? "demo-zarqa-clerks"
                                                 : "demo-zarqa-call-centre");
  uint32_t calls = draw_calls (random, 1);
  struct draft draft;

  begin_draft (&draft, plan, random);
  for (uint32_t i = 0; i < calls; i++)
    add_call (&draft, tools[mq_random_below (random, 3)]);
  if (draw_chance (random, 0.1))
    add_agent (&draft, "tariff-check", "tariff-table", NULL);
  add_answer (&draft);
  end_turn (session, &draft, MQ_LOAD_URGENT,
            (uint32_t)draw_pareto (random, 150, 1.2, 2500))
      ->stream
      = true;
  if (draw_chance (random, 0.4))
    add_follow_ups (session, plan, 1 + mq_random_below (random, 2), 12, tools,
                    3);
  return session;
}

/* Zarqa: an overdue notice, or the answer to a dispute, which has a
   deadline.  */
static struct mq_load_session *
make_letter (struct mq_load_plan *plan, TALLOC_CTX *ctx)
{
  static const char *const tools[]
      = { "ledger", "billing-app.balance", "billing-app.meter-readings" };
  uint64_t *random = &plan->random;
  struct mq_load_session *session = begin_session (
      ctx, &plan->next_number, "letters", "demo-zarqa-clerks");
  bool dispute = draw_chance (random, 0.3);
  uint32_t calls = draw_calls (random, dispute ? 4 : 2);
  struct mq_load_turn *turn;
  struct draft draft;

  begin_draft (&draft, plan, random);
  for (uint32_t i = 0; i < calls; i++)
    add_call (&draft, tools[mq_random_below (random, 3)]);
  if (draw_chance (random, 0.15))
    add_agent (&draft, "tariff-check", "tariff-table", "ledger");
  add_call (&draft, dispute ? "billing-app.open-dispute"
                            : "billing-app.record-notice");
  add_answer (&draft);
  turn = end_turn (session, &draft, MQ_LOAD_INTERACTIVE,
                   (uint32_t)draw_pareto (random, 300, 1.1, 4500));
  turn->due_us = dispute ? (uint64_t)(60 * US_PER_SECOND) : 0;
  if (draw_chance (random, 0.2))
    add_follow_ups (session, plan, 1, 20, tools, 3);
  return session;
}

static struct mq_load_session *
make_zarqa (struct mq_load_plan *plan, TALLOC_CTX *ctx)
{
  double pick = draw_unit (&plan->random);

  if (pick < 0.01)
    return make_endless (plan, ctx, "counter-clerk", "demo-zarqa-clerks",
                         "ledger", 20);
  return pick < 0.6 ? make_counter (plan, ctx) : make_letter (plan, ctx);
}

/* Diagne: an onboarding over several turns.  */
static struct mq_load_session *
make_onboarding (struct mq_load_plan *plan, TALLOC_CTX *ctx)
{
  static const char *const non_idempotent[]
      = { "accueil-app.order-badge", "accueil-app.submit-bank-details",
          "accueil-app.book-safety-briefing" };
  static const char *const tools[]
      = { "accueil-app.checklist", "accueil-app.find-starter",
          "accueil-app.payroll-form", "room-plan" };
  uint64_t *random = &plan->random;
  struct mq_load_session *session = begin_session (
      ctx, &plan->next_number, "onboarding", "demo-diagne-hr");
  uint32_t calls = draw_calls (random, 1);
  struct draft draft;

  begin_draft (&draft, plan, random);
  for (uint32_t i = 0; i < calls; i++)
    add_call (&draft, tools[mq_random_below (random, 4)]);
  for (uint32_t i = 0; i < 3; i++)
    if (draw_chance (random, 0.4))
      add_call (&draft, non_idempotent[i]);
  if (draw_chance (random, 0.25))
    add_agent (&draft, "mentor-intro", "mentor-calendar", "send-invitation");
  add_answer (&draft);
  end_turn (session, &draft, MQ_LOAD_INTERACTIVE,
            (uint32_t)draw_pareto (random, 250, 1.2, 3500))
      ->stream
      = draw_chance (random, 0.7);
  add_follow_ups (session, plan,
                  1 + mq_random_below (random, MQ_LOAD_TURNS_MAX - 2), 15,
                  tools, 4);
  return session;
}

/* Diagne: a query for the status of a new employee.  */
static struct mq_load_session *
make_status (struct mq_load_plan *plan, TALLOC_CTX *ctx)
{
  static const char *const tools[]
      = { "accueil-app.checklist", "accueil-app.find-starter" };
  uint64_t *random = &plan->random;
  struct mq_load_session *session = begin_session (
      ctx, &plan->next_number, "hr-status",
      draw_chance (random, 0.5) ? "demo-diagne-hr" : "demo-diagne-leads");
  uint32_t calls = 1 + mq_random_below (random, 2);
  struct draft draft;

  begin_draft (&draft, plan, random);
  for (uint32_t i = 0; i < calls; i++)
    add_call (&draft, tools[mq_random_below (random, 2)]);
  add_answer (&draft);
  end_turn (session, &draft, MQ_LOAD_URGENT,
            (uint32_t)draw_pareto (random, 80, 1.2, 1500))
      ->stream
      = true;
  if (draw_chance (random, 0.25))
    add_follow_ups (session, plan, 1, 8, tools, 2);
  return session;
}

static struct mq_load_session *
make_diagne (struct mq_load_plan *plan, TALLOC_CTX *ctx)
{
  double pick = draw_unit (&plan->random);

  if (pick < 0.01)
    return make_endless (plan, ctx, "hr-status", "demo-diagne-hr",
                         "accueil-app.checklist", 6);
  return pick < 0.55 ? make_onboarding (plan, ctx) : make_status (plan, ctx);
}

static struct mq_load_session *
make_session (struct mq_load_plan *plan, TALLOC_CTX *ctx)
{
  return plan->options.workload == MQ_LOAD_DIAGNE ? make_diagne (plan, ctx)
                                                  : make_zarqa (plan, ctx);
}

/* Plans.  */

struct mq_load_plan *
mq_load_plan_create (TALLOC_CTX *ctx, const struct mq_load_options *options)
{
  struct mq_load_plan *plan = talloc_zero (ctx, struct mq_load_plan);

  if (plan == NULL)
    abort ();
  plan->options = *options;
  plan->random = options->seed;
  plan->batch_random = ~options->seed;
  return plan;
}

struct mq_load_session *
mq_load_plan_next (struct mq_load_plan *plan, TALLOC_CTX *ctx)
{
  struct mq_load_session *session;

  plan->at_us += draw_exponential (&plan->random,
                                   US_PER_SECOND / plan->options.per_second);
  session = make_session (plan, ctx);
  session->start_us = (uint64_t)plan->at_us;
  return session;
}

struct mq_load_session *
mq_load_plan_next_letter (struct mq_load_plan *plan, TALLOC_CTX *ctx)
{
  uint64_t *random = &plan->batch_random;
  struct mq_load_session *session = begin_session (
      ctx, &plan->next_letter, "nightly-letters", "demo-zarqa-nightly");
  struct draft draft;

  begin_draft (&draft, plan, random);
  add_call (&draft, "billing-app.balance");
  add_call (&draft, "print-envelope");
  add_answer (&draft);
  end_turn (session, &draft, MQ_LOAD_BATCH,
            60 + mq_random_below (random, 120));
  return session;
}

double
mq_load_plan_mean_work (const struct mq_load_options *options, bool batch)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_load_options sample = *options;
  struct mq_load_plan *plan;
  double sum = 0;

  sample.seed = 1;
  sample.per_second = 1;
  plan = mq_load_plan_create (ctx, &sample);
  for (int i = 0; i < WORK_SAMPLE_SESSIONS; i++)
    {
      struct mq_load_session *session
          = batch ? mq_load_plan_next_letter (plan, ctx)
                  : mq_load_plan_next (plan, ctx);

      for (uint32_t t = 0; t < session->turn_count; t++)
        sum += session->turns[t].work_us;
      talloc_free (session);
    }
  talloc_free (ctx);
  return sum / WORK_SAMPLE_SESSIONS;
}
