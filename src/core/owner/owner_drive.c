/* owner_drive.c - MODE_STEPS programs: each call is requested by the caller.

   Needs: owner_parts.h.  */

#include "owner_parts.h"
#include "../id.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

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
      /* The caller sends the complete history.  */
      call->max_tokens
          = chain_cap_tokens (running, call->service, request->max_tokens);
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
      filled = chain_prepare_model (running, call, request->max_tokens,
                                    call->input);
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
  /* Without a sequence number only the key identifies a repeat.  */
  if (request->sequence == 0)
    digest = mq_hash_bytes (request->key, strlen (request->key), digest);
  return mq_hash_bytes (request->route, strlen (request->route), digest);
}

uint64_t
drive_digest (const struct mq_request_msg *request)
{
  return step_digest (request);
}

/* Starts the requested call; returns MQ_ERR_NONE or the reason of refusal.  */
enum mq_error_type
drive_step (struct mq_owner *owner, struct running *running,
            const struct mq_request_msg *request)
{
  const struct mq_service *service
      = mq_text_find_service (owner->text, request->service);
  const struct mq_route *route = NULL;
  struct call *call;

  if (service == NULL || service->kind == MQ_SERVICE_AGENT)
    return MQ_ERR_NOT_FOUND;
  if (!budget_has_turns (running))
    return MQ_ERR_BUDGET_TURNS;
  if (!budget_has_time (owner, running))
    return MQ_ERR_BUDGET_TIME;
  if (service->kind == MQ_SERVICE_PLAIN)
    {
      route = mq_text_find_route (service, request->route);
      if (route == NULL)
        return MQ_ERR_NOT_FOUND;
    }
  call = chain_new_call (running, service, route);
  call->digest = step_digest (request);
  if (!fill_step (owner, running, call, request))
    {
      talloc_free (call);
      return MQ_ERR_BUDGET_TOKENS;
    }
  budget_start_clock (owner, running);
  if (running->program->intent.call == call->number)
    {
      /* A previous owner may have sent it.  */
      running->call = call;
      call->started_us = owner->now_us;
      settle_logged_intent (owner, running);
      return MQ_ERR_NONE;
    }
  place_start (owner, running, call);
  return MQ_ERR_NONE;
}

/* Starts the next call if its STEP request was received early.  */
void
drive_start_queued_step (struct mq_owner *owner, struct running *running)
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
      error = drive_step (owner, running, &step->request);
      if (error != MQ_ERR_NONE)
        events_refuse_step (owner, running, number, error);
      return;
    }
}
