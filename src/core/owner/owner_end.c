/* owner_end.c - end of calls and programs.

   Needs: owner_parts.h.  */

#include "owner_parts.h"
#include "../id.h"
#include <jansson.h>
#include <string.h>

/* ---- Calls ---- */

/* Reports a program that repeats the same call, before its budget ends it.  */
static void
detect_loop (struct mq_owner *owner, struct running *running)
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
  log_add_hook (owner, running, HOOK_OUTCOME, outcome.call, attempt, host);
  owner->counters.calls_done++;
}

static void
end_program_after_failure (struct mq_owner *owner, struct running *running,
                           enum mq_error_type error, enum mq_ran ran,
                           const char *host)
{
  const struct call *call = running->call;

  /* The record of the program's end replaces that of the outcome.  */
  if (call != NULL)
    log_add_hook (owner, running, HOOK_OUTCOME, call->number, call->attempt,
                  host);
  running->call = NULL;
  end_program (owner, running,
               running->stop != MQ_ERR_NONE ? running->stop : error, ran, "");
}

/* Ends the current call and continues or ends the program.  HOST: target that
   holds the outcome, or NULL.  */
void
end_call (struct mq_owner *owner, struct running *running,
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
      end_program_after_failure (owner, running, error, ran, host);
      return;
    }
  detect_loop (owner, running);
  append_outcome (owner, running, error, ran, body, host);
  running->call = NULL;
  if (program->mode == MQ_MODE_STEPS)
    {
      budget_stop_clock (owner, running);
      drive_start_queued_step (owner, running);
      return;
    }
  chain_advance (owner, running);
}

void
end_child (struct mq_owner *owner, struct running *child)
{
  struct running *parent = child->parent;
  const struct mq_program *program = child->program;

  if (parent == NULL || parent->child != child || parent->call == NULL)
    return;
  parent->child = NULL;
  end_call (owner, parent, program->error,
            program->error == MQ_ERR_NONE ? MQ_RAN_RAN : program->ran,
            program->answer == NULL ? "" : program->answer, NULL);
}

/* ---- Programs ---- */

void
end_program (struct mq_owner *owner, struct running *running,
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
  running->answer_position = owner->appended_position;
  budget_stop_clock (owner, running);
  running->ended_us = owner->now_us;
  if (error == MQ_ERR_BUDGET_TOKENS || error == MQ_ERR_BUDGET_TURNS
      || error == MQ_ERR_BUDGET_TIME)
    owner->counters.budget_stops++;
  if (answered.ended)
    owner->counters.programs_ended++;
  log_add_hook (owner, running, HOOK_ANSWERED, 0, 0, NULL);
  if (running->parent != NULL)
    end_child (owner, running);
}

/* Stops the program with error WHY, once its current call can be
   cancelled.  */
void
end_begin_stop (struct mq_owner *owner, struct running *running,
                enum mq_error_type why)
{
  if (running->program->state == MQ_PROGRAM_ENDED
      || running->stop != MQ_ERR_NONE)
    return;
  running->stop = why;
  if (running->child != NULL)
    {
      end_begin_stop (owner, running->child, why);
      return;
    }
  if (settle_cancel (owner, running))
    end_program (owner, running, why, MQ_RAN_RAN, "");
}
