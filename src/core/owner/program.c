/* program.c - state of one program: history, budget and next call.

   Needs: program.h, id.h, jansson.  */

#include "program.h"
#include "../id.h"
#include "../memory.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MESSAGES_INITIAL_CAPACITY = 512
};

static void
append_bytes (struct mq_program *program, const char *text, size_t len)
{
  size_t need = program->messages_len + len + 1;

  if (need > program->messages_capacity)
    {
      size_t capacity = program->messages_capacity == 0
                            ? MESSAGES_INITIAL_CAPACITY
                            : program->messages_capacity;
      while (capacity < need)
        capacity *= 2;
      program->messages
          = talloc_realloc (program, program->messages, char, capacity);
      if (program->messages == NULL)
        abort ();
      program->messages_capacity = capacity;
    }
  memcpy (program->messages + program->messages_len, text, len);
  program->messages_len += len;
  program->messages[program->messages_len] = '\0';
}

static void
append_message (struct mq_program *program, json_t *message)
{
  char *text = json_dumps (message, JSON_COMPACT);

  if (text == NULL)
    abort ();
  if (program->message_count > 0)
    append_bytes (program, ",", 1);
  append_bytes (program, text, strlen (text));
  program->message_count++;
  free (text);
  json_decref (message);
}

/* JSON string of TEXT.  If TEXT is not valid UTF-8, its non-ASCII bytes are
   replaced by '?', so that the message is kept.  */
static json_t *
json_text (const char *text)
{
  json_t *value = json_string (text == NULL ? "" : text);
  char *copy;

  if (value != NULL)
    return value;
  copy = talloc_strdup (NULL, text);
  if (copy == NULL)
    abort ();
  for (char *p = copy; *p != '\0'; p++)
    if ((unsigned char)*p >= 0x80)
      *p = '?';
  value = json_string (copy);
  talloc_free (copy);
  return value;
}

void
mq_program_add_message (struct mq_program *program, const char *role,
                        const char *name, const char *tool_call_id,
                        const char *text)
{
  json_t *message = json_object ();

  json_object_set_new (message, "role", json_string (role));
  if (name != NULL)
    json_object_set_new (message, "name", json_text (name));
  if (tool_call_id != NULL)
    json_object_set_new (message, "tool_call_id", json_text (tool_call_id));
  json_object_set_new (message, "content", json_text (text));
  append_message (program, message);
}

/* A log written by another version may hold values unknown here.  */
static enum mq_error_type
error_from_log (uint32_t error)
{
  return error < MQ_ERR_COUNT ? (enum mq_error_type)error : MQ_ERR_BAD_FRAME;
}

static enum mq_ran
ran_from_log (uint32_t ran)
{
  return ran <= MQ_RAN_UNKNOWN ? (enum mq_ran)ran : MQ_RAN_UNKNOWN;
}

static bool
opened_is_valid (const Mqlog__Opened *opened)
{
  return opened != NULL && opened->mode <= MQ_MODE_SINGLE
         && opened->priority < MQ_PRIORITY_COUNT;
}

/* Ends a program whose OPENED record is missing or holds values of another
   version.  Otherwise every host that takes the partition over would crash,
   or the program would continue without its history.  */
static void
end_as_unreadable (struct mq_program *program)
{
  program->unreadable = true;
  program->state = MQ_PROGRAM_ENDED;
  program->error = MQ_ERR_BAD_FRAME;
  program->ran = MQ_RAN_UNKNOWN;
  talloc_free (program->answer);
  program->answer = mq_text_copy (program, "");
}

static void
copy_opened (struct mq_program *program, const Mqlog__Opened *opened)
{
  program->parent.hi = opened->parent_hi;
  program->parent.lo = opened->parent_lo;
  program->parent_call = opened->parent_call;
  program->organisation = mq_text_copy (program, opened->organisation);
  program->service = mq_text_copy (program, opened->service);
  program->route = mq_text_copy (program, opened->route);
  program->mode = (enum mq_program_mode)opened->mode;
  program->priority = (enum mq_priority)opened->priority;
  program->keep_open = opened->keep_open;
  program->follow_up = opened->follow_up;
  program->digest = opened->digest;
  program->traceparent = mq_text_copy (program, opened->traceparent);
  program->input = mq_text_copy (program, opened->input);
  if (opened->budget != NULL)
    {
      program->budget.tokens = opened->budget->tokens;
      program->budget.turns = opened->budget->turns;
      program->budget.seconds = opened->budget->seconds;
    }
  append_bytes (program, opened->messages, strlen (opened->messages));
  program->message_count = opened->message_count;
}

struct mq_program *
mq_program_open (TALLOC_CTX *ctx, struct mq_id id, const Mqlog__Opened *opened)
{
  static const Mqlog__Opened absent = MQLOG__OPENED__INIT;
  struct mq_program *program = talloc_zero (ctx, struct mq_program);
  bool readable = opened_is_valid (opened);

  if (program == NULL)
    abort ();
  program->id = id;
  copy_opened (program, readable ? opened : &absent);
  program->state = program->mode == MQ_MODE_STEPS ? MQ_PROGRAM_WAITING
                                                  : MQ_PROGRAM_RUNNING;
  if (!readable)
    end_as_unreadable (program);
  return program;
}

static void
clear_pending (struct mq_program *program)
{
  talloc_free (program->pending);
  talloc_free (program->pending_text);
  program->pending = NULL;
  program->pending_text = NULL;
  program->pending_count = 0;
  program->pending_next = 0;
}

static const char *
member_as_text (TALLOC_CTX *ctx, json_t *object, const char *key)
{
  json_t *value = json_object_get (object, key);

  if (value != NULL && !json_is_string (value))
    {
      char *dump = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
      char *copy = mq_text_copy (ctx, dump);

      free (dump);
      return copy;
    }
  return mq_text_copy (ctx, json_string_value (value));
}

static void
set_pending (struct mq_program *program, json_t *calls)
{
  char *text;

  clear_pending (program);
  if (!json_is_array (calls) || json_array_size (calls) == 0)
    return;
  program->pending_count = json_array_size (calls);
  program->pending = talloc_zero_array (program, struct mq_tool_call,
                                        (unsigned int)program->pending_count);
  if (program->pending == NULL)
    abort ();
  for (size_t i = 0; i < program->pending_count; i++)
    {
      json_t *call = json_array_get (calls, i);
      struct mq_tool_call *pending = &program->pending[i];

      pending->id = member_as_text (program->pending, call, "id");
      pending->name = member_as_text (program->pending, call, "name");
      pending->arguments
          = member_as_text (program->pending, call, "arguments");
    }
  text = json_dumps (calls, JSON_COMPACT);
  program->pending_text = mq_text_copy (program, text);
  free (text);
}

/* Appends the model's answer as an assistant message and makes its tool
   calls pending.  */
static void
apply_model_answer (struct mq_program *program, const char *body)
{
  json_t *answer = json_loads (body, 0, NULL);
  json_t *calls = json_object_get (answer, "tool_calls");
  json_t *message = json_object ();
  const char *content
      = json_string_value (json_object_get (answer, "content"));

  json_object_set_new (message, "role", json_string ("assistant"));
  json_object_set_new (message, "content", json_text (content));
  if (json_is_array (calls) && json_array_size (calls) > 0)
    json_object_set (message, "tool_calls", calls);
  append_message (program, message);
  talloc_free (program->last_content);
  program->last_content = mq_text_copy (program, content);
  set_pending (program, calls);
  program->answer_ready = program->pending_count == 0;
  json_decref (answer);
}

static char *
failure_text (TALLOC_CTX *ctx, enum mq_error_type error, enum mq_ran ran)
{
  return talloc_asprintf (ctx, "{\"error\":\"%s\",\"ran\":\"%s\"}",
                          mq_error_name (error), mq_ran_name (ran));
}

static void
apply_chain_outcome (struct mq_program *program, const Mqlog__Outcome *outcome)
{
  const struct mq_tool_call *pending = mq_program_pending (program);
  enum mq_error_type error = error_from_log (outcome->error);
  char *failure;

  if (outcome->model)
    {
      apply_model_answer (program, outcome->body);
      return;
    }
  if (pending == NULL)
    return;
  failure = failure_text (program, error, ran_from_log (outcome->ran));
  mq_program_add_message (program, "tool", pending->name, pending->id,
                          error == MQ_ERR_NONE ? outcome->body : failure);
  talloc_free (failure);
  program->pending_next++;
}

static void
append_step (struct mq_program *program, const char *service,
             const char *input, const char *body, uint64_t digest,
             uint32_t error, uint32_t ran)
{
  struct mq_step *step;

  program->steps = talloc_realloc (program, program->steps, struct mq_step,
                                   (unsigned int)program->step_count + 1);
  if (program->steps == NULL)
    abort ();
  step = &program->steps[program->step_count++];
  step->digest = digest;
  step->service = mq_text_copy (program, service);
  step->input = mq_text_copy (program, input);
  step->body = mq_text_copy (program, body);
  step->error = error_from_log (error);
  step->ran = ran_from_log (ran);
}

static void
apply_step_outcome (struct mq_program *program, const Mqlog__Outcome *outcome)
{
  append_step (program, outcome->service, outcome->input, outcome->body,
               outcome->digest, outcome->error, outcome->ran);
  if (!outcome->model || outcome->own_messages
      || outcome->error != MQ_ERR_NONE)
    return;
  mq_program_add_message (program, "user", NULL, NULL, outcome->input);
  apply_model_answer (program, outcome->body);
  clear_pending (program);
}

static void
apply_outcome (struct mq_program *program, const Mqlog__Outcome *outcome)
{
  program->calls = outcome->call;
  program->turns++;
  memset (&program->intent, 0, sizeof program->intent);
  switch (program->mode)
    {
    case MQ_MODE_CHAIN:
      apply_chain_outcome (program, outcome);
      break;
    case MQ_MODE_STEPS:
      apply_step_outcome (program, outcome);
      break;
    case MQ_MODE_SINGLE:
      talloc_free (program->last_content);
      program->last_content = mq_text_copy (program, outcome->body);
      program->answer_ready = true;
      break;
    }
}

static void
apply_intent (struct mq_program *program, const Mqlog__Intent *intent)
{
  program->intent.call = intent->call;
  program->intent.attempt = intent->attempt;
  program->intent.host = mq_text_copy (program, intent->host);
  program->intent.boot = intent->boot;
  program->intent.worker = intent->worker;
}

static void
apply_turned (struct mq_program *program, const Mqlog__Turned *turned)
{
  mq_program_add_message (program, "user", NULL, NULL, turned->input);
  program->turn_digest = turned->digest;
  program->follow_up = true;
  program->answer_ready = false;
  program->state = MQ_PROGRAM_RUNNING;
}

static void
apply_answered (struct mq_program *program, const Mqlog__Answered *answered)
{
  program->state = answered->ended ? MQ_PROGRAM_ENDED : MQ_PROGRAM_WAITING;
  program->error = error_from_log (answered->error);
  program->ran = ran_from_log (answered->ran);
  talloc_free (program->answer);
  program->answer = mq_text_copy (program, answered->answer);
}

void
mq_program_apply (struct mq_program *program, const Mqlog__Record *record)
{
  if (record->elapsed_ms > program->elapsed_ms)
    program->elapsed_ms = record->elapsed_ms;
  program->spent += record->charge;
  if (program->unreadable)
    return;
  switch (record->body_case)
    {
    case MQLOG__RECORD__BODY_GRANTED:
      program->granted = record->granted->tokens;
      break;
    case MQLOG__RECORD__BODY_INTENT:
      apply_intent (program, record->intent);
      break;
    case MQLOG__RECORD__BODY_OUTCOME:
      apply_outcome (program, record->outcome);
      break;
    case MQLOG__RECORD__BODY_TURNED:
      apply_turned (program, record->turned);
      break;
    case MQLOG__RECORD__BODY_ANSWERED:
      apply_answered (program, record->answered);
      break;
    default:
      break;
    }
}

enum mq_next_type
mq_program_next (const struct mq_program *program)
{
  if (program->state != MQ_PROGRAM_RUNNING)
    return MQ_NEXT_NONE;
  if (program->mode == MQ_MODE_STEPS)
    return MQ_NEXT_NONE;
  if (program->answer_ready)
    return MQ_NEXT_ANSWER;
  if (program->mode == MQ_MODE_SINGLE)
    return MQ_NEXT_CALL;
  if (program->pending_next < program->pending_count)
    return MQ_NEXT_CALL;
  return MQ_NEXT_MODEL;
}

const struct mq_tool_call *
mq_program_pending (const struct mq_program *program)
{
  if (program->pending_next >= program->pending_count)
    return NULL;
  return &program->pending[program->pending_next];
}

char *
mq_program_model_body (TALLOC_CTX *ctx, const struct mq_program *program,
                       const char *model, uint32_t max_tokens,
                       const char *extra_input)
{
  const char *messages = program->messages;
  char *extra = NULL;
  char *body;

  if (extra_input != NULL)
    {
      json_t *message = json_object ();

      json_object_set_new (message, "role", json_string ("user"));
      json_object_set_new (message, "content", json_text (extra_input));
      extra = json_dumps (message, JSON_COMPACT);
      json_decref (message);
    }
  body = talloc_asprintf (
      ctx, "{\"model\":\"%s\",\"max_tokens\":%u,\"messages\":[%s%s%s]}", model,
      max_tokens, messages == NULL ? "" : messages,
      extra != NULL && program->message_count > 0 ? "," : "",
      extra == NULL ? "" : extra);
  free (extra);
  if (body == NULL)
    abort ();
  return body;
}

static Mqlog__Opened *
pack_opened (TALLOC_CTX *ctx, const struct mq_program *program)
{
  Mqlog__Opened *opened = talloc (ctx, Mqlog__Opened);
  Mqlog__Budget *budget = talloc (ctx, Mqlog__Budget);

  if (opened == NULL || budget == NULL)
    abort ();
  mqlog__opened__init (opened);
  mqlog__budget__init (budget);
  budget->tokens = program->budget.tokens;
  budget->turns = program->budget.turns;
  budget->seconds = program->budget.seconds;
  opened->parent_hi = program->parent.hi;
  opened->parent_lo = program->parent.lo;
  opened->parent_call = program->parent_call;
  opened->organisation = (char *)program->organisation;
  opened->service = (char *)program->service;
  opened->route = (char *)program->route;
  opened->mode = program->mode;
  opened->priority = program->priority;
  opened->keep_open = program->keep_open;
  opened->follow_up = program->follow_up;
  opened->digest = program->digest;
  opened->traceparent = (char *)program->traceparent;
  opened->budget = budget;
  opened->messages = program->messages;
  opened->message_count = program->message_count;
  opened->input = (char *)program->input;
  return opened;
}

static Mqlog__Intent *
pack_intent (TALLOC_CTX *ctx, const struct mq_intent *intent)
{
  Mqlog__Intent *packed = talloc (ctx, Mqlog__Intent);

  if (packed == NULL)
    abort ();
  mqlog__intent__init (packed);
  packed->call = intent->call;
  packed->attempt = intent->attempt;
  packed->host = (char *)intent->host;
  packed->boot = intent->boot;
  packed->worker = intent->worker;
  return packed;
}

static Mqlog__Answered *
pack_answered (TALLOC_CTX *ctx, const struct mq_program *program)
{
  Mqlog__Answered *packed = talloc (ctx, Mqlog__Answered);

  if (packed == NULL)
    abort ();
  mqlog__answered__init (packed);
  packed->ended = program->state == MQ_PROGRAM_ENDED;
  packed->error = program->error;
  packed->ran = program->ran;
  packed->answer = program->answer;
  return packed;
}

static void
pack_steps (Mqlog__Program *packed, const struct mq_program *program)
{
  packed->n_steps = program->step_count;
  packed->steps = talloc_array (packed, Mqlog__Step *,
                                (unsigned int)program->step_count);
  for (size_t i = 0; i < program->step_count; i++)
    {
      const struct mq_step *from = &program->steps[i];
      Mqlog__Step *to = talloc (packed, Mqlog__Step);

      if (to == NULL)
        abort ();
      mqlog__step__init (to);
      to->digest = from->digest;
      to->service = (char *)from->service;
      to->input = (char *)from->input;
      to->body = (char *)from->body;
      to->error = from->error;
      to->ran = from->ran;
      packed->steps[i] = to;
    }
}

Mqlog__Program *
mq_program_pack (TALLOC_CTX *ctx, const struct mq_program *program)
{
  Mqlog__Program *packed = talloc (ctx, Mqlog__Program);

  if (packed == NULL)
    abort ();
  mqlog__program__init (packed);
  packed->hi = program->id.hi;
  packed->lo = program->id.lo;
  packed->opened = pack_opened (packed, program);
  packed->state = program->state;
  packed->calls = program->calls;
  packed->turns = program->turns;
  packed->spent = program->spent;
  packed->granted = program->granted;
  packed->elapsed_ms = program->elapsed_ms;
  packed->turn_digest = program->turn_digest;
  packed->pending_next = (uint32_t)program->pending_next;
  packed->answer_ready = program->answer_ready;
  if (program->pending_text != NULL)
    packed->pending = program->pending_text;
  if (program->last_content != NULL)
    packed->last_content = program->last_content;
  if (program->intent.call != 0)
    packed->intent = pack_intent (packed, &program->intent);
  if (program->answer != NULL)
    packed->answered = pack_answered (packed, program);
  pack_steps (packed, program);
  return packed;
}

static void
unpack_pending (struct mq_program *program, const Mqlog__Program *packed)
{
  json_t *calls = json_loads (packed->pending, 0, NULL);

  set_pending (program, calls);
  program->pending_next = packed->pending_next;
  json_decref (calls);
}

struct mq_program *
mq_program_unpack (TALLOC_CTX *ctx, const Mqlog__Program *packed)
{
  struct mq_id id = { packed->hi, packed->lo };
  struct mq_program *program = mq_program_open (ctx, id, packed->opened);

  program->calls = packed->calls;
  program->turns = packed->turns;
  program->spent = packed->spent;
  program->granted = packed->granted;
  program->elapsed_ms = packed->elapsed_ms;
  program->turn_digest = packed->turn_digest;
  program->last_content = mq_text_copy (program, packed->last_content);
  program->answer_ready = packed->answer_ready;
  unpack_pending (program, packed);
  if (packed->intent != NULL)
    apply_intent (program, packed->intent);
  if (packed->answered != NULL)
    apply_answered (program, packed->answered);
  for (size_t i = 0; i < packed->n_steps; i++)
    append_step (program, packed->steps[i]->service, packed->steps[i]->input,
                 packed->steps[i]->body, packed->steps[i]->digest,
                 packed->steps[i]->error, packed->steps[i]->ran);
  if (program->unreadable || packed->state > MQ_PROGRAM_ENDED)
    end_as_unreadable (program);
  else
    program->state = (enum mq_program_state)packed->state;
  return program;
}

static json_t *
steps_json (const struct mq_program *program)
{
  json_t *steps = json_array ();

  for (size_t i = 0; i < program->step_count; i++)
    {
      const struct mq_step *step = &program->steps[i];
      json_t *item = json_object ();

      json_object_set_new (item, "call", json_integer ((json_int_t)i + 1));
      json_object_set_new (item, "service", json_text (step->service));
      json_object_set_new (item, "input", json_text (step->input));
      json_object_set_new (item, "answer", json_text (step->body));
      json_object_set_new (item, "error",
                           json_string (mq_error_name (step->error)));
      json_array_append_new (steps, item);
    }
  return steps;
}

char *
mq_program_history (TALLOC_CTX *ctx, const struct mq_program *program)
{
  char id[MQ_ID_TEXT];
  json_t *steps = steps_json (program);
  char *steps_text = json_dumps (steps, JSON_COMPACT);
  char *text;

  mq_id_format (program->id, id);
  text = talloc_asprintf (
      ctx, "{\"program\":\"%s\",\"messages\":[%s],\"calls\":%s}", id,
      program->messages == NULL ? "" : program->messages, steps_text);
  free (steps_text);
  json_decref (steps);
  if (text == NULL)
    abort ();
  return text;
}
