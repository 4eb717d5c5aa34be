/* owner_events.c - events and replies for callers that wait for a program.

   Needs: owner_parts.h.  */

#include "owner_parts.h"
#include "../id.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_SOON_MS = 100,
  STORE_WAIT_MAX_MS = 2000 /* for replies that need a confirmation read */
};

/* ---- Events ---- */

void
events_send_event (struct mq_owner *owner, uint32_t peer,
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

const char *
events_redirect_for (const struct mq_owner *owner,
                     const struct partition *partition)
{
  if (partition->address == NULL
      || strcmp (partition->address, owner->options.address) == 0)
    return "";
  return partition->address;
}

/* Redirects a caller whose partition is not active here; its entry host
   retries with the current owner.  The reply does not reflect the program's
   state.  */
void
events_redirect_caller (struct mq_owner *owner, uint32_t peer, uint64_t handle,
                        enum mq_error_type error, const char *redirect)
{
  struct mq_event_msg event = { .handle = handle,
                                .type = MQ_EVENT_REFUSED,
                                .error = error,
                                .ran = MQ_RAN_NOT_RUN,
                                .retry_after_ms = RETRY_SOON_MS,
                                .redirect = redirect,
                                .body = "{}" };

  events_send_event (owner, peer, &event);
}

/* Queues a reply that is not the direct result of a commit until a read of the
   partition's row, started after the request arrived, confirms ownership.  An
   owner that was paused past its lease could otherwise answer from outdated
   memory, for example refuse a call as not run that the new owner has run.
   Queued replies share one read.  */
void
events_queue_reply (struct mq_owner *owner, uint32_t partition, uint32_t peer,
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
  events_fail_overdue_replies (owner);
}

/* Whether the store has been unavailable for longer than
   STORE_WAIT_MAX_MS.  */
bool
events_is_outage (const struct mq_owner *owner)
{
  return owner->store_down
         && owner->now_us - owner->store_down_us > 1000ULL * STORE_WAIT_MAX_MS;
}

static void
send_reply (struct mq_owner *owner, struct reply *reply)
{
  const struct partition *partition = &owner->partitions[reply->partition];

  if (partition->state != PARTITION_ACTIVE)
    events_redirect_caller (owner, reply->peer, reply->event.handle,
                            MQ_ERR_NOT_READY,
                            events_redirect_for (owner, partition));
  else
    {
      if (reply->event.type == MQ_EVENT_REFUSED)
        owner->counters.answers_refused++;
      else
        owner->counters.answers_final++;
      events_send_event (owner, reply->peer, &reply->event);
    }
  talloc_free (reply);
}

/* Sends the replies that were queued before BEFORE_US; callers of lost
   partitions are redirected.  */
void
events_on_confirmed (struct mq_owner *owner, uint64_t before_us)
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

/* Fails replies that waited too long for the store.  The result is unknown
   rather than not run: if only this host cannot reach the store, a new owner
   may have run the same request.  */
void
events_fail_overdue_replies (struct mq_owner *owner)
{
  struct reply **at = &owner->replies;

  while (*at != NULL)
    {
      struct reply *reply = *at;

      if (!events_is_outage (owner)
          && owner->now_us - reply->queued_us < 1000ULL * STORE_WAIT_MAX_MS)
        {
          at = &reply->next;
          continue;
        }
      *at = reply->next;
      reply->event.type = MQ_EVENT_REFUSED;
      reply->event.error = MQ_ERR_STORE_DOWN;
      reply->event.ran = MQ_RAN_UNKNOWN;
      reply->event.retry_after_ms = DEFAULT_RETRY_AFTER_MS;
      send_reply (owner, reply);
    }
}

void
events_refuse (struct mq_owner *owner, const struct partition *partition,
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
    events_redirect_caller (owner, peer, handle, error,
                            events_redirect_for (owner, partition));
  else
    events_queue_reply (owner, partition->number, peer, &event);
}

void
events_notify_waiters (struct mq_owner *owner, struct running *running,
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
      events_send_event (owner, w->peer, &event);
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
events_final_body (TALLOC_CTX *ctx, const struct running *running)
{
  const struct mq_program *program = running->program;
  json_t *root = program_json (program);

  json_object_set_new (
      root, "answer",
      program->answer == NULL ? json_null () : answer_json (program->answer));
  return dump_json (ctx, root);
}

void
events_send_final (struct mq_owner *owner, const struct running *running,
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
  event.body = events_final_body (owner->actions, running);
  events_send_event (owner, peer, &event);
}

void
events_final (struct mq_owner *owner, struct running *running)
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
      events_send_final (owner, running, w->peer, w->handle);
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
  events_send_event (owner, peer, &event);
}

/* Sends the result of a call whose outcome is durable.  */
void
events_send_step_result (struct mq_owner *owner, struct running *running,
                         uint32_t call)
{
  struct waiter **at = &running->waiters;
  char *body;

  if (running->program->mode != MQ_MODE_STEPS)
    {
      body = talloc_asprintf (owner->actions, "{\"call\":%u}", call);
      events_notify_waiters (owner, running, MQ_EVENT_STEP,
                             call << 16 | 0xffff, call, body);
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
events_refuse_step (struct mq_owner *owner, struct running *running,
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
      events_refuse (owner, running->partition, w->peer, w->handle, error, 0);
      talloc_free (w);
    }
}

/* ---- Waiting callers ---- */

void
events_add_waiter (struct running *running, uint32_t peer, uint64_t handle,
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

/* The program continues; its caller may reconnect.  */
void
events_on_caller_gone (struct mq_owner *owner, uint32_t peer, uint64_t handle)
{
  remove_waiters (owner, peer, false, handle);
}

void
events_on_peer_gone (struct mq_owner *owner, uint32_t peer)
{
  remove_waiters (owner, peer, true, 0);
}

/* Redirects the callers of a partition that was lost or released to its new
   owner.  */
void
events_detach (struct mq_owner *owner, struct running *running)
{
  for (struct waiter *w = running->waiters; w != NULL; w = w->next)
    events_redirect_caller (owner, w->peer, w->handle, MQ_ERR_NOT_READY,
                            events_redirect_for (owner, running->partition));
  running->waiters = NULL;
}
