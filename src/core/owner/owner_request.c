/* owner_request.c - handles callers' requests.

   A caller is identified by the connection that forwarded its request and a
   handle.  Requests are idempotent: a repeated open finds the same program and
   a repeated call the same outcome, through any entry host.
   Needs: owner_parts.h, id.h, jansson.  */

#include "owner_parts.h"
#include "../id.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* ---- Further requests ---- */

/* Sends an existing answer when it is durable.  Uses a hook of its own: the
   only uncommitted record may be a charge after the answer, whose commit sends
   nothing.  */
static void
send_answer_when_durable (struct mq_owner *owner, struct running *running)
{
  if (running->program->state == MQ_PROGRAM_RUNNING)
    return;
  if (running->uncommitted_records == 0)
    events_final (owner, running);
  else
    log_add_hook (owner, running, HOOK_ANSWERED, 0, 0, NULL);
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
      events_add_waiter (running, peer, handle, request, 0);
      send_answer_when_durable (owner, running);
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
      events_refuse (owner, running->partition, peer, handle, error, 0);
      json_decref (root);
      return;
    }
  events_add_waiter (running, peer, handle, request, 0);
  turned.input = (char *)input;
  turned.digest = digest;
  record.body_case = MQLOG__RECORD__BODY_TURNED;
  record.turned = &turned;
  log_append (owner, running, &record);
  json_decref (root);
  budget_start_clock (owner, running);
  /* The call may start before the turn is durable; the answer is sent only
     after the turn's commit.  */
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

/* Returns the sequence number of a call.  A request without one is the next
   call, unless its key matches an earlier or the current call.  */
static uint32_t
resolve_sequence (const struct running *running,
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
  uint64_t digest = drive_digest (request);
  uint32_t sequence = resolve_sequence (running, request, digest);
  enum mq_error_type error = check_step (running, sequence, digest);

  if (error == MQ_ERR_NONE && owner->leaving)
    error = MQ_ERR_LEAVING;
  if (error != MQ_ERR_NONE)
    {
      events_refuse (owner, running->partition, peer, handle, error, 0);
      return;
    }
  events_add_waiter (running, peer, handle, request, sequence);
  if (sequence <= running->program->calls)
    {
      if (running->uncommitted_records == 0)
        events_send_step_result (owner, running, sequence);
      return;
    }
  if (running->call != NULL || sequence > running->program->calls + 1)
    {
      if (!(running->call != NULL && running->call->number == sequence)
          && !step_is_queued (running, sequence))
        queue_step (running, sequence, request);
      return;
    }
  error = drive_step (owner, running, request);
  if (error != MQ_ERR_NONE)
    events_refuse_step (owner, running, sequence, error);
  log_flush (owner);
}

static void
queue_get_reply (struct mq_owner *owner, struct running *running,
                 uint32_t peer, uint64_t handle, bool history)
{
  struct mq_event_msg event
      = { .handle = handle, .type = MQ_EVENT_FINAL, .ran = MQ_RAN_RAN };

  if (history)
    event.body = mq_program_history (owner->actions, running->program);
  else if (running->program->state == MQ_PROGRAM_ENDED)
    {
      events_send_final (owner, running, peer, handle);
      return;
    }
  else
    event.body = events_final_body (owner->actions, running);
  events_queue_reply (owner, running->partition->number, peer, &event);
}

void
request_send_reply (struct mq_owner *owner, struct hook *hook)
{
  struct running *running = chain_find (owner, hook->program);

  if (running == NULL)
    return;
  /* A newer answer is not durable yet.  */
  if (owner->settled_position < running->answer_position)
    {
      log_add_reply_hook (owner, running, hook->peer, hook->handle)->history
          = hook->history;
      return;
    }
  queue_get_reply (owner, running, hook->peer, hook->handle, hook->history);
}

static void
handle_get (struct mq_owner *owner, struct running *running, uint32_t peer,
            uint64_t handle, const struct mq_request_msg *request)
{
  bool history = strcmp (request->route, "history") == 0;

  if (request->stream && !history)
    {
      events_add_waiter (running, peer, handle, request, 0);
      send_answer_when_durable (owner, running);
      return;
    }
  /* Uncommitted state could be lost in a takeover and is not shown.  */
  if (running->uncommitted_records > 0)
    {
      log_add_reply_hook (owner, running, peer, handle)->history = history;
      return;
    }
  queue_get_reply (owner, running, peer, handle, history);
}

static void
handle_close (struct mq_owner *owner, struct running *running, uint32_t peer,
              uint64_t handle, const struct mq_request_msg *request)
{
  enum mq_error_type reason
      = request->type == MQ_REQUEST_CANCEL ? MQ_ERR_CANCELLED : MQ_ERR_NONE;

  if (running->program->state == MQ_PROGRAM_ENDED)
    {
      events_add_waiter (running, peer, handle, request, 0);
      send_answer_when_durable (owner, running);
      return;
    }
  if (reason == MQ_ERR_NONE
      && (running->program->state == MQ_PROGRAM_RUNNING
          || running->call != NULL))
    {
      events_refuse (owner, running->partition, peer, handle,
                     MQ_ERR_OUT_OF_ORDER, DEFAULT_RETRY_AFTER_MS);
      return;
    }
  events_add_waiter (running, peer, handle, request, 0);
  if (reason == MQ_ERR_CANCELLED)
    end_begin_stop (owner, running, reason);
  else
    {
      /* A closed program keeps its last answer.  */
      char *answer = talloc_strdup (
          owner->actions,
          running->program->answer == NULL ? "" : running->program->answer);

      running->program->keep_open = false;
      end_program (owner, running, MQ_ERR_NONE, MQ_RAN_RAN, answer);
    }
  log_flush (owner);
}

static void
handle_existing_program (struct mq_owner *owner, struct running *running,
                         uint32_t peer, uint64_t handle,
                         const struct mq_request_msg *request)
{
  switch (request->type)
    {
    case MQ_REQUEST_OPEN:
    case MQ_REQUEST_CREATE:
      open_attach_caller (owner, running, peer, handle, request);
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
      events_redirect_caller (owner, peer, handle, MQ_ERR_NOT_READY, "");
      return;
    }
  partition = &owner->partitions[mq_id_partition (request->program,
                                                  owner->partition_count)];
  if (partition->state != PARTITION_ACTIVE)
    {
      events_redirect_caller (owner, peer, handle, MQ_ERR_NOT_READY,
                              events_redirect_for (owner, partition));
      return;
    }
  running = chain_find (owner, request->program);
  if (running != NULL
      && strcmp (running->program->organisation, request->organisation) != 0)
    running = NULL;
  if (running != NULL)
    {
      handle_existing_program (owner, running, peer, handle, request);
      return;
    }
  if (request->type == MQ_REQUEST_OPEN || request->type == MQ_REQUEST_CREATE)
    open_new (owner, partition, peer, handle, request);
  else
    events_refuse (owner, partition, peer, handle, MQ_ERR_NOT_FOUND, 0);
}
