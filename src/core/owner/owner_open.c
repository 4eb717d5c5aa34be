/* owner_open.c - opens programs and single calls.

   Needs: owner_parts.h.  */

#include "owner_parts.h"
#include "../id.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SINGLE_CALL_BUDGET_S = 120
};

/* ---- Opening ---- */

static uint64_t
open_digest (const struct mq_request_msg *request)
{
  uint64_t digest = mq_hash_bytes (request->body, strlen (request->body), 2);

  digest = mq_hash_bytes (request->service, strlen (request->service), digest);
  digest = mq_hash_bytes (request->route, strlen (request->route), digest);
  return digest | 1;
}

static enum mq_error_type
check_capacity (struct mq_owner *owner, const struct mq_request_msg *request,
                enum mq_priority priority, uint32_t *retry_after_ms)
{
  const struct mq_organisation *organisation
      = mq_text_find_organisation (owner->text, request->organisation);
  uint32_t hosts = owner->live_hosts == 0 ? 1 : owner->live_hosts;

  *retry_after_ms = DEFAULT_RETRY_AFTER_MS;
  if (owner->leaving)
    return MQ_ERR_LEAVING;
  if (organisation == NULL)
    return MQ_ERR_UNAUTHORISED;
  if (owner->batch_bytes >= MQ_PENDING_MAX_BYTES)
    return MQ_ERR_STORE_DOWN;
  if (events_is_outage (owner) && priority == MQ_PRIORITY_BATCH)
    return MQ_ERR_STORE_DOWN;
  if (owner->live >= owner->options.max_programs)
    return MQ_ERR_OVERLOADED;
  if (organisation->max_programs > 0
      && chain_count_organisation (owner, request->organisation)
             >= (organisation->max_programs + hosts - 1) / hosts)
    return MQ_ERR_OVERLOADED;
  return MQ_ERR_NONE;
}

/* The record for a new program, filled from its request.  */
struct opening
{
  Mqlog__Opened opened;
  Mqlog__Budget budget;
};

static void
fill_common_fields (struct opening *opening,
                    const struct mq_request_msg *request)
{
  Mqlog__Opened *opened = &opening->opened;

  mqlog__opened__init (opened);
  mqlog__budget__init (&opening->budget);
  opened->budget = &opening->budget;
  opened->organisation = (char *)request->organisation;
  opened->service = (char *)request->service;
  opened->route = (char *)request->route;
  opened->digest = open_digest (request);
  opened->traceparent = (char *)request->traceparent;
}

static enum mq_error_type
fill_history (struct mq_owner *owner, struct opening *opening,
              const struct mq_request_msg *request,
              const struct mq_service *service, const char *input)
{
  struct mq_program *builder = talloc_zero (owner->actions, struct mq_program);
  const struct running *previous = NULL;

  if (builder == NULL)
    abort ();
  if (!mq_id_is_zero (request->continues))
    {
      previous = chain_find (owner, request->continues);
      if (previous == NULL
          || strcmp (previous->program->organisation, request->organisation)
                 != 0)
        return MQ_ERR_NOT_FOUND;
      if (previous->program->state == MQ_PROGRAM_RUNNING)
        return MQ_ERR_OUT_OF_ORDER;
      builder->messages = previous->program->messages;
      builder->messages = talloc_strndup (builder,
                                          previous->program->messages == NULL
                                              ? ""
                                              : previous->program->messages,
                                          previous->program->messages_len);
      builder->messages_len = previous->program->messages_len;
      builder->messages_capacity = previous->program->messages_len + 1;
      builder->message_count = previous->program->message_count;
      opening->opened.follow_up = true;
    }
  else if (service->prompt != NULL && service->prompt[0] != '\0')
    mq_program_add_message (builder, "system", NULL, NULL, service->prompt);
  if (input != NULL)
    mq_program_add_message (builder, "user", NULL, NULL, input);
  if (builder->messages != NULL)
    opening->opened.messages = builder->messages;
  opening->opened.message_count = builder->message_count;
  return MQ_ERR_NONE;
}

static enum mq_error_type
fill_agent (struct mq_owner *owner, struct opening *opening,
            const struct mq_request_msg *request,
            const struct mq_service *service, json_t *root)
{
  const char *input = json_string_value (json_object_get (root, "input"));

  opening->budget.tokens = service->budget.tokens;
  opening->budget.turns = service->budget.turns;
  opening->budget.seconds = service->budget.seconds;
  opening->opened.priority = service->priority;
  opening->opened.keep_open
      = json_is_true (json_object_get (root, "keep_open"));
  if (request->type == MQ_REQUEST_CREATE)
    {
      opening->opened.mode = MQ_MODE_STEPS;
      return fill_history (owner, opening, request, service, NULL);
    }
  if (input == NULL)
    return MQ_ERR_BAD_JSON;
  opening->opened.mode = MQ_MODE_CHAIN;
  return fill_history (owner, opening, request, service, input);
}

/* Fills in a single call of a model, plain service or tool.  */
static enum mq_error_type
fill_single_call (struct mq_owner *owner, struct opening *opening,
                  const struct mq_request_msg *request,
                  const struct mq_service *service, json_t *root)
{
  json_t *arguments = json_object_get (root, "arguments");
  const char *input = json_string_value (json_object_get (root, "input"));
  char *dump;

  if (service->kind == MQ_SERVICE_PLAIN
      && mq_text_find_route (service, request->route) == NULL)
    return MQ_ERR_NOT_FOUND;
  opening->opened.mode = MQ_MODE_SINGLE;
  opening->opened.priority = MQ_PRIORITY_INTERACTIVE;
  opening->budget.tokens = service->max_tokens;
  opening->budget.turns = 1;
  opening->budget.seconds = SINGLE_CALL_BUDGET_S;
  if (service->kind == MQ_SERVICE_MODEL)
    {
      if (input == NULL)
        return MQ_ERR_BAD_JSON;
      opening->opened.input = talloc_strdup (owner->actions, input);
      return MQ_ERR_NONE;
    }
  if (arguments == NULL)
    return MQ_ERR_NONE;
  dump = json_dumps (arguments, JSON_COMPACT | JSON_ENCODE_ANY);
  opening->opened.input = talloc_strdup (owner->actions, dump);
  free (dump);
  return MQ_ERR_NONE;
}

static enum mq_error_type
fill_opening (struct mq_owner *owner, struct opening *opening,
              const struct mq_request_msg *request)
{
  const struct mq_service *service
      = mq_text_find_service (owner->text, request->service);
  json_t *root = json_loads (request->body, 0, NULL);
  enum mq_error_type error;

  fill_common_fields (opening, request);
  if (service == NULL)
    error = MQ_ERR_NOT_FOUND;
  else if (!json_is_object (root))
    error = MQ_ERR_BAD_JSON;
  else if (service->kind == MQ_SERVICE_AGENT)
    error = fill_agent (owner, opening, request, service, root);
  else
    error = fill_single_call (owner, opening, request, service, root);
  json_decref (root);
  return error;
}

static void
grant_first_call (struct mq_owner *owner, struct running *running)
{
  const struct mq_service *service
      = mq_text_find_service (owner->text, running->program->service);
  uint32_t max_tokens = 0;

  for (size_t i = 0; service != NULL && i < service->depend_count; i++)
    if (owner->text->services[service->depends[i]].kind == MQ_SERVICE_MODEL)
      max_tokens = owner->text->services[service->depends[i]].max_tokens;
  if (service != NULL && service->kind == MQ_SERVICE_MODEL)
    max_tokens = service->max_tokens;
  if (max_tokens > running->program->budget.tokens)
    max_tokens = (uint32_t)running->program->budget.tokens;
  if (max_tokens > 0)
    budget_ensure_grant (owner, running, max_tokens);
}

/* A continued history was already computed by an engine.  */
static void
set_reusable_tokens (struct mq_owner *owner, struct running *running,
                     struct mq_id continues)
{
  const struct running *previous
      = mq_id_is_zero (continues) ? NULL : chain_find (owner, continues);

  if (previous != NULL)
    running->reusable_tokens = previous->reusable_tokens;
}

void
open_new (struct mq_owner *owner, struct partition *partition, uint32_t peer,
          uint64_t handle, const struct mq_request_msg *request)
{
  struct opening opening;
  struct running *running;
  uint32_t retry_after_ms = 0;
  enum mq_error_type error = fill_opening (owner, &opening, request);

  if (error == MQ_ERR_NONE)
    error = check_capacity (owner, request,
                            (enum mq_priority)opening.opened.priority,
                            &retry_after_ms);
  if (error != MQ_ERR_NONE)
    {
      events_refuse (owner, partition, peer, handle, error, retry_after_ms);
      return;
    }
  running = chain_open (owner, partition, request->program, &opening.opened);
  set_reusable_tokens (owner, running, request->continues);
  events_add_waiter (running, peer, handle, request, 0);
  grant_first_call (owner, running);
  log_add_hook (owner, running, HOOK_ACCEPTED, 0, 0, NULL)->tokens
      = running->grant_pending;
  if (running->program->mode != MQ_MODE_STEPS)
    budget_start_clock (owner, running);
  log_flush (owner);
}

/* Attaches a caller that repeats its open request to the existing program.  */
void
open_attach_caller (struct mq_owner *owner, struct running *running,
                    uint32_t peer, uint64_t handle,
                    const struct mq_request_msg *request)
{
  const struct mq_program *program = running->program;
  struct mq_event_msg event = { .handle = handle, .type = MQ_EVENT_ACCEPTED };
  char id[MQ_ID_TEXT];

  if (program->digest != open_digest (request))
    {
      events_refuse (owner, running->partition, peer, handle,
                     MQ_ERR_KEY_REUSED, 0);
      return;
    }
  events_add_waiter (running, peer, handle, request, 0);
  if (running->uncommitted_records > 0)
    {
      /* The caller is notified when the uncommitted records are durable.  */
      if (program->state != MQ_PROGRAM_RUNNING)
        log_add_hook (owner, running, HOOK_ANSWERED, 0, 0, NULL);
      return;
    }
  mq_id_format (program->id, id);
  event.body = talloc_asprintf (owner->actions, "{\"program\":\"%s\"}", id);
  events_send_event (owner, peer, &event);
  if (program->state != MQ_PROGRAM_RUNNING)
    events_final (owner, running);
}
