/* api.c - callers' and operators' HTTP on an entry host.

   One exchange for each caller's HTTP request, in a table of slots; its
   handle at the front carries the slot and a serial number, so that an
   event for an earlier exchange of the slot is told apart.
   Needs: api.h, api_plan.h, api_answer.h, id.h, limits.h, gnutls.  */

#include "api.h"
#include "../core/id.h"
#include "../core/limits.h"
#include "../core/memory.h"
#include "api_answer.h"
#include "api_plan.h"
#include "operator_http.h"
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  SLOT_BITS = 16,
  SLOTS_MAX = 1 << SLOT_BITS,
  FIRST_SLOTS = 64,
  MS_PER_SECOND = 1000,
  TRACE_BYTES = 24
};

static const char json_type[] = "application/json";
static const char event_type[] = "text/event-stream";

/**
 * struct exchange - one caller's HTTP request until it has ended
 * @handle: its handle at the front, 0 when the slot is free
 * @slot: its place in the table
 * @http: the HTTP request
 * @plan: what is asked of the front
 * @asked: the front has a request of it
 * @second: the second request of the plan is under way
 * @streaming: the head of a streamed answer was sent
 * @streamed: OpenAI's stream: text given to the caller so far
 * @held: OpenAI's stream: tokens are held back after a reset
 * @start_us: when it came in
 */
struct exchange
{
  uint64_t handle;
  uint32_t slot;
  struct mq_api *api;
  struct mq_http_request *http;
  struct mq_api_plan *plan;
  bool asked;
  bool second;
  bool streaming;
  char *streamed;
  bool held;
  uint64_t start_us;
};

struct mq_api
{
  struct mq_api_callbacks callbacks;
  struct mq_http_server *server;
  const struct mq_text *text;
  uint64_t boot;
  struct mq_operator_http operators;
  bool leaving;
  struct exchange **slots;
  size_t slot_count;
  size_t live;
  uint32_t next_slot;
  uint64_t serial;
  struct mq_api_counters counters;
};

/* Plain answers.  */

static void
respond_refusal (struct mq_api *api, struct mq_http_request *http,
                 const struct mq_api_refusal *refusal)
{
  char *json = mq_api_refusal_json (api, refusal);

  api->counters.refused++;
  if (refusal->retry_after_ms != 0)
    {
      char *seconds = mq_must (talloc_asprintf (
          json, "%u",
          (refusal->retry_after_ms + MS_PER_SECOND - 1) / MS_PER_SECOND));

      mq_http_set_header (http, "Retry-After", seconds);
    }
  mq_respond_text (http, mq_error_http_status (refusal->error.type), json_type,
                   json);
  talloc_free (json);
}

/* A refusal by this process, which has asked nobody yet.  */
static void
refuse (struct mq_api *api, struct mq_http_request *http,
        enum mq_error_type type, const char *subject, uint32_t retry_after_ms)
{
  struct mq_api_refusal refusal
      = { .ran = MQ_RAN_NOT_RUN, .retry_after_ms = retry_after_ms };

  mq_error_set (&refusal.error, type, subject, "");
  respond_refusal (api, http, &refusal);
}

/* Table of exchanges.  */

static bool
grow_slots (struct mq_api *api)
{
  size_t count = api->slot_count == 0 ? FIRST_SLOTS : 2 * api->slot_count;

  if (count > SLOTS_MAX)
    return false;
  api->slots
      = mq_must (talloc_realloc (api, api->slots, struct exchange *, count));
  memset (&api->slots[api->slot_count], 0,
          (count - api->slot_count) * sizeof (struct exchange *));
  api->next_slot = (uint32_t)api->slot_count;
  api->slot_count = count;
  return true;
}

static bool
find_free_slot (struct mq_api *api, uint32_t *slot)
{
  if (api->live == api->slot_count && !grow_slots (api))
    return false;
  while (api->slots[api->next_slot] != NULL)
    api->next_slot = (api->next_slot + 1) % (uint32_t)api->slot_count;
  *slot = api->next_slot;
  return true;
}

static void
new_handle (struct exchange *exchange)
{
  exchange->handle = ++exchange->api->serial << SLOT_BITS | exchange->slot;
}

static struct exchange *
find_exchange (const struct mq_api *api, uint64_t handle)
{
  size_t slot = handle & (SLOTS_MAX - 1);

  if (slot >= api->slot_count || api->slots[slot] == NULL)
    return NULL;
  return api->slots[slot]->handle == handle ? api->slots[slot] : NULL;
}

static struct exchange *
open_exchange (struct mq_api *api, struct mq_http_request *http)
{
  struct exchange *exchange;
  uint32_t slot;

  if (!find_free_slot (api, &slot))
    return NULL;
  exchange = mq_must (talloc_zero (api, struct exchange));
  exchange->api = api;
  exchange->slot = slot;
  exchange->http = http;
  exchange->start_us = api->callbacks.now_us (api->callbacks.user);
  exchange->streamed = mq_must (talloc_strdup (exchange, ""));
  new_handle (exchange);
  api->slots[slot] = exchange;
  api->live++;
  return exchange;
}

/* The HTTP request has ended: answered, or its caller is gone.  */
static void
exchange_closed (struct mq_http_request *http, void *data)
{
  struct exchange *exchange = data;
  struct mq_api *api = exchange->api;

  (void)http;
  api->slots[exchange->slot] = NULL;
  api->live--;
  if (exchange->asked)
    {
      api->counters.callers_gone++;
      api->callbacks.gone (exchange->handle, api->callbacks.user);
    }
  talloc_free (exchange);
}

/* Keys.  */

static const struct mq_organisation *
caller_of (const struct mq_api *api, struct mq_http_request *http)
{
  uint8_t hash[MQ_KEY_BYTES];

  if (!mq_bearer_hash (http, hash))
    return NULL;
  return mq_text_find_key (api->text, hash);
}

/* The caller's trace context, or a new one.  */
static const char *
trace_of (TALLOC_CTX *ctx, struct mq_http_request *http)
{
  const char *header = mq_http_header (http, "traceparent");
  uint8_t random[TRACE_BYTES];
  uint64_t words[TRACE_BYTES / sizeof (uint64_t)];
  char trace[MQ_ID_TEXT];
  char span[MQ_ID_TEXT];

  if (mq_api_traceparent_valid (header))
    return mq_must (talloc_strdup (ctx, header));
  if (gnutls_rnd (GNUTLS_RND_NONCE, random, sizeof random) != 0)
    abort ();
  memcpy (words, random, sizeof words);
  mq_id_format ((struct mq_id){ words[0], words[1] }, trace);
  mq_id_format ((struct mq_id){ words[2], 0 }, span);
  return mq_must (talloc_asprintf (ctx, "00-%s-%.16s-01", trace, span));
}

/* Asking the front.  */

static void
ask_front (struct exchange *exchange, const struct mq_request_msg *request)
{
  struct mq_api *api = exchange->api;
  uint32_t partition
      = mq_id_partition (request->program, api->text->partitions);

  exchange->asked = true;
  /* The answer may come from within; EXCHANGE may be gone afterwards.  */
  api->callbacks.request (exchange->handle, partition, exchange->plan->wait_ms,
                          request, api->callbacks.user);
}

/* What the front still has of the exchange is not wanted any more.  */
static void
leave_front (struct exchange *exchange)
{
  struct mq_api *api = exchange->api;

  exchange->asked = false;
  api->callbacks.gone (exchange->handle, api->callbacks.user);
}

static void
emit_span (const struct exchange *exchange, enum mq_error_type error)
{
  struct mq_api *api = exchange->api;
  struct mq_span span = { .name = "entry" };

  span.traceparent = exchange->plan->first.traceparent;
  span.program = exchange->plan->first.program;
  span.start_us = exchange->start_us;
  span.end_us = api->callbacks.now_us (api->callbacks.user);
  span.error = error;
  api->callbacks.span (&span, api->callbacks.user);
}

/* The plan outlives the request's headers and the text it was made from:
   its second request is sent later.  */
static void
keep_plan (struct exchange *exchange, const struct mq_api_plan *plan)
{
  exchange->plan = mq_must (talloc_zero (exchange, struct mq_api_plan));
  *exchange->plan = *plan;
  mq_request_copy (exchange->plan, &exchange->plan->first, &plan->first);
  if (plan->has_second)
    mq_request_copy (exchange->plan, &exchange->plan->second, &plan->second);
}

static void
name_program (struct exchange *exchange)
{
  char text[MQ_ID_TEXT];

  mq_id_format (exchange->plan->first.program, text);
  mq_http_set_header (exchange->http, "Mimosa-Program", text);
}

/* A key of this one request, unique among all runs of all processes.  */
static char *
make_key (TALLOC_CTX *ctx, const struct exchange *exchange)
{
  uint64_t random;

  if (gnutls_rnd (GNUTLS_RND_NONCE, &random, sizeof random) != 0)
    abort ();
  return mq_must (talloc_asprintf (ctx, "auto-%016llx-%016llx-%016llx",
                                   (unsigned long long)exchange->api->boot,
                                   (unsigned long long)exchange->handle,
                                   (unsigned long long)random));
}

static void
fill_ask (TALLOC_CTX *ctx, const struct exchange *exchange,
          const struct mq_organisation *caller, struct mq_api_ask *ask)
{
  struct mq_http_request *http = exchange->http;

  ask->method = mq_http_method (http);
  ask->path = mq_http_path (http);
  ask->body = mq_http_body (http, &ask->len);
  ask->organisation = caller->name;
  ask->key = mq_http_header (http, "Idempotency-Key");
  ask->generated_key = make_key (ctx, exchange);
  ask->traceparent = trace_of (ctx, http);
  ask->accept = mq_http_header (http, "Accept");
  ask->program = mq_http_header (http, "Mimosa-Program");
  ask->service = mq_http_header (http, "Mimosa-Service");
  ask->after = mq_http_query (http, "after");
  ask->wait = mq_http_query (http, "wait");
  ask->cancel = mq_http_query (http, "cancel");
  ask->timeout_ms = mq_http_query (http, "timeout_ms");
}

static void
plan_exchange (struct exchange *exchange, const struct mq_organisation *caller)
{
  struct mq_api_refusal refusal = { .ran = MQ_RAN_NOT_RUN };
  TALLOC_CTX *ctx = mq_must (talloc_new (NULL));
  struct mq_api_ask ask = { 0 };
  struct mq_api_plan *plan;

  fill_ask (ctx, exchange, caller, &ask);
  plan = mq_api_plan_make (ctx, exchange->api->text, &ask, &refusal.error);
  if (plan == NULL)
    {
      respond_refusal (exchange->api, exchange->http, &refusal);
      talloc_free (ctx);
      return;
    }
  keep_plan (exchange, plan);
  talloc_free (ctx);
  name_program (exchange);
  ask_front (exchange, &exchange->plan->first);
}

static void
serve_caller (struct mq_api *api, struct mq_http_request *http)
{
  const struct mq_organisation *caller;
  struct exchange *exchange;

  if (api->leaving)
    {
      refuse (api, http, MQ_ERR_LEAVING, "", MQ_FRONT_RETRY_MAX_MS);
      return;
    }
  if (api->text == NULL)
    {
      refuse (api, http, MQ_ERR_NOT_READY, "", MQ_FRONT_RETRY_MAX_MS);
      return;
    }
  caller = caller_of (api, http);
  if (caller == NULL)
    {
      api->counters.unauthorised++;
      refuse (api, http, MQ_ERR_UNAUTHORISED, "", 0);
      return;
    }
  exchange = open_exchange (api, http);
  if (exchange == NULL)
    {
      refuse (api, http, MQ_ERR_OVERLOADED, "", MQ_FRONT_RETRY_MAX_MS);
      return;
    }
  mq_http_on_closed (http, exchange_closed, exchange);
  plan_exchange (exchange, caller);
}

/* Answers.  */

static void
begin_stream (struct exchange *exchange)
{
  if (exchange->streaming)
    return;
  exchange->streaming = true;
  exchange->api->counters.streams++;
  mq_http_set_header (exchange->http, "Cache-Control", "no-store");
  mq_http_stream_begin (exchange->http, 200, event_type);
}

/* False when the caller was given up; EXCHANGE may be gone then.  TEXT is
   freed.  */
static bool
write_stream (struct exchange *exchange, char *text)
{
  struct mq_api *api = exchange->api;
  bool written;

  begin_stream (exchange);
  written = mq_http_stream_write (exchange->http, text, strlen (text));
  talloc_free (text);
  if (!written)
    api->counters.slow_readers++;
  return written;
}

static void
finish_stream (struct exchange *exchange, char *text)
{
  struct mq_http_request *http = exchange->http;

  if (write_stream (exchange, text))
    mq_http_stream_end (http);
}

static void
fill_refusal (const struct exchange *exchange,
              const struct mq_event_msg *event, struct mq_api_refusal *refusal)
{
  mq_error_set (&refusal->error, event->error, "", "");
  refusal->ran = event->ran;
  refusal->retry_after_ms = event->retry_after_ms;
  refusal->program = exchange->plan->first.program;
}

static void
give_refusal (struct exchange *exchange, const struct mq_event_msg *event)
{
  struct mq_api *api = exchange->api;
  struct mq_api_refusal refusal;

  fill_refusal (exchange, event, &refusal);
  if (!exchange->streaming)
    {
      respond_refusal (api, exchange->http, &refusal);
      return;
    }
  api->counters.refused++;
  if (exchange->plan->shape == MQ_API_CHAT_STREAM)
    finish_stream (exchange, mq_api_chat_broken (api, &refusal));
  else
    finish_stream (exchange, mq_api_sse (api, event, refusal.program));
}

/* Who cancels a program hears that it ended so: that is no failure.  */
static bool
is_wanted (const struct exchange *exchange, const struct mq_event_msg *event)
{
  return exchange->plan->first.type == MQ_REQUEST_CANCEL
         && event->error == MQ_ERR_CANCELLED;
}

static void
answer_refused (struct exchange *exchange, const struct mq_event_msg *event)
{
  exchange->asked = false;
  emit_span (exchange, event->error);
  if (is_wanted (exchange, event))
    mq_respond_text (exchange->http, 200, json_type,
                     mq_api_program_json (
                         exchange, exchange->plan->first.program, "ended"));
  else
    give_refusal (exchange, event);
}

/* The final answer is not in the form that was asked for.  */
static void
answer_unusable (struct exchange *exchange)
{
  struct mq_event_msg event = { .type = MQ_EVENT_REFUSED };

  event.error = MQ_ERR_BAD_ANSWER;
  event.ran = MQ_RAN_RAN;
  give_refusal (exchange, &event);
}

static const char *
chat_model (const struct exchange *exchange)
{
  const struct mq_api_plan *plan = exchange->plan;

  return plan->has_second ? plan->second.service : plan->first.service;
}

static void
answer_chat (struct exchange *exchange, const char *final)
{
  struct mq_id program = exchange->plan->first.program;
  char *json = mq_api_chat_json (exchange, final, chat_model (exchange),
                                 program, time (NULL));

  if (json == NULL)
    answer_unusable (exchange);
  else
    mq_respond_text (exchange->http, 200, json_type, json);
}

/* The stream ends well only when what the caller holds is the beginning of
   the final answer; the rest of it goes out in one piece.  After a reset
   the text may have changed: then the stream ends without [DONE].  */
static void
end_chat_stream (struct exchange *exchange, const char *final)
{
  struct mq_id program = exchange->plan->first.program;
  const char *model = chat_model (exchange);
  size_t held = strlen (exchange->streamed);
  int64_t now = time (NULL);
  char *content = mq_api_chat_content (exchange, final);

  if (strncmp (content, exchange->streamed, held) != 0)
    {
      answer_unusable (exchange);
      return;
    }
  if (content[held] != '\0'
      && !write_stream (exchange,
                        mq_api_chat_token (exchange->api, content + held,
                                           model, program, now)))
    return;
  finish_stream (exchange,
                 mq_api_chat_end (exchange->api, final, model, program, now));
}

static void
answer_final (struct exchange *exchange, const struct mq_event_msg *event)
{
  exchange->asked = false;
  emit_span (exchange, MQ_ERR_NONE);
  switch (exchange->plan->shape)
    {
    case MQ_API_JSON:
    case MQ_API_ACCEPT:
      mq_respond_text (exchange->http, 200, json_type, event->body);
      break;
    case MQ_API_CREATE:
      mq_respond_text (exchange->http, 201, json_type, event->body);
      break;
    case MQ_API_STREAM:
      finish_stream (exchange, mq_api_sse (exchange->api, event,
                                           exchange->plan->first.program));
      break;
    case MQ_API_CHAT:
      answer_chat (exchange, event->body);
      break;
    case MQ_API_CHAT_STREAM:
      end_chat_stream (exchange, event->body);
      break;
    }
}

/* The program that the second request belongs to is durable.  */
static void
start_second (struct exchange *exchange)
{
  exchange->second = true;
  new_handle (exchange);
  ask_front (exchange, &exchange->plan->second);
}

/* The id is all that the caller waits for.  */
static void
answer_accepted (struct exchange *exchange)
{
  bool create = exchange->plan->shape == MQ_API_CREATE;
  char *json = mq_api_program_json (exchange, exchange->plan->first.program,
                                    create ? "waiting" : "running");

  if (exchange->asked)
    leave_front (exchange);
  emit_span (exchange, MQ_ERR_NONE);
  mq_respond_text (exchange->http, create ? 201 : 202, json_type, json);
}

static void
handle_accepted (struct exchange *exchange, const struct mq_event_msg *event)
{
  switch (exchange->plan->shape)
    {
    case MQ_API_ACCEPT:
    case MQ_API_CREATE:
      answer_accepted (exchange);
      break;
    case MQ_API_STREAM:
      write_stream (exchange, mq_api_sse (exchange->api, event,
                                          exchange->plan->first.program));
      break;
    case MQ_API_JSON:
    case MQ_API_CHAT:
    case MQ_API_CHAT_STREAM:
      break;
    }
}

static void
stream_chat_token (struct exchange *exchange, const struct mq_event_msg *event)
{
  if (exchange->held)
    return;
  exchange->streamed = mq_must (
      talloc_strdup_append_buffer (exchange->streamed, event->body));
  write_stream (exchange, mq_api_chat_token (exchange->api, event->body,
                                             chat_model (exchange),
                                             exchange->plan->first.program,
                                             time (NULL)));
}

/* TOKEN, STEP and RESET.  */
static void
handle_progress (struct exchange *exchange, const struct mq_event_msg *event)
{
  switch (exchange->plan->shape)
    {
    case MQ_API_STREAM:
      write_stream (exchange, mq_api_sse (exchange->api, event,
                                          exchange->plan->first.program));
      break;
    case MQ_API_CHAT_STREAM:
      if (event->type == MQ_EVENT_RESET)
        exchange->held = true;
      else if (event->type == MQ_EVENT_TOKEN)
        stream_chat_token (exchange, event);
      break;
    case MQ_API_JSON:
    case MQ_API_ACCEPT:
    case MQ_API_CREATE:
    case MQ_API_CHAT:
      break;
    }
}

/* Events of the first of two requests: once the program is durable the
   second one follows.  */
static bool
handle_first (struct exchange *exchange, const struct mq_event_msg *event)
{
  if (!exchange->plan->has_second || exchange->second
      || event->type == MQ_EVENT_REFUSED)
    return false;
  if (event->type == MQ_EVENT_FINAL)
    exchange->asked = false;
  else if (event->type == MQ_EVENT_ACCEPTED)
    leave_front (exchange);
  else
    return true;
  start_second (exchange);
  return true;
}

void
mq_api_event (struct mq_api *api, const struct mq_event_msg *event)
{
  struct exchange *exchange = find_exchange (api, event->handle);

  if (exchange == NULL || !exchange->asked)
    {
      api->counters.events_unknown++;
      return;
    }
  if (handle_first (exchange, event))
    return;
  switch (event->type)
    {
    case MQ_EVENT_ACCEPTED:
      handle_accepted (exchange, event);
      break;
    case MQ_EVENT_TOKEN:
    case MQ_EVENT_STEP:
    case MQ_EVENT_RESET:
      handle_progress (exchange, event);
      break;
    case MQ_EVENT_FINAL:
      answer_final (exchange, event);
      break;
    case MQ_EVENT_REFUSED:
      answer_refused (exchange, event);
      break;
    }
}

/* Operators.  */

static enum mq_error_type
on_ready (void *user)
{
  const struct mq_api *api = user;

  if (api->leaving)
    return MQ_ERR_LEAVING;
  return api->callbacks.ready (api->callbacks.user) ? MQ_ERR_NONE
                                                    : MQ_ERR_NOT_READY;
}

static char *
on_metrics (TALLOC_CTX *ctx, void *user)
{
  const struct mq_api *api = user;

  return api->callbacks.metrics (ctx, api->callbacks.user);
}

static char *
on_status (TALLOC_CTX *ctx, void *user)
{
  const struct mq_api *api = user;

  return api->callbacks.status (ctx, api->callbacks.user);
}

static char *
on_spans (TALLOC_CTX *ctx, struct mq_id program, void *user)
{
  const struct mq_api *api = user;

  return api->callbacks.spans (ctx, program, api->callbacks.user);
}

static void
on_drain (void *user)
{
  const struct mq_api *api = user;

  api->callbacks.drain (api->callbacks.user);
}

static void
on_refuse (struct mq_http_request *http, enum mq_error_type type,
           const char *subject, void *user)
{
  struct mq_api *api = user;

  if (type == MQ_ERR_UNAUTHORISED)
    api->counters.unauthorised++;
  refuse (api, http, type, subject,
          type == MQ_ERR_NOT_READY ? MQ_FRONT_RETRY_MAX_MS : 0);
}

static void
create_operators (struct mq_api *api,
                  const uint8_t operator_key_hash[MQ_KEY_BYTES])
{
  struct mq_operator_callbacks callbacks = { .ready = on_ready,
                                             .metrics = on_metrics,
                                             .status = on_status,
                                             .spans = on_spans,
                                             .drain = on_drain,
                                             .refuse = on_refuse,
                                             .user = api };

  api->operators.callbacks = callbacks;
  memcpy (api->operators.key_hash, operator_key_hash, MQ_KEY_BYTES);
}

static void
serve (struct mq_http_request *http, void *data)
{
  struct mq_api *api = data;

  api->counters.requests++;
  if (!mq_operator_serve (&api->operators, http))
    serve_caller (api, http);
}

/* Life.  */

struct mq_api *
mq_api_create (TALLOC_CTX *ctx, struct tevent_context *ev,
               const struct mq_api_options *options,
               const struct mq_api_callbacks *callbacks,
               struct mq_error *error)
{
  struct mq_api *api = mq_must (talloc_zero (ctx, struct mq_api));

  api->callbacks = *callbacks;
  api->boot = options->boot;
  create_operators (api, options->operator_key_hash);
  api->server
      = mq_http_server_create (api, ev, &options->http, serve, api, error);
  if (api->server == NULL)
    {
      talloc_free (api);
      return NULL;
    }
  return api;
}

/* The server goes first: it reports each request in progress as closed.  */
void
mq_api_destroy (struct mq_api *api)
{
  if (api == NULL)
    return;
  mq_http_server_destroy (api->server);
  talloc_free (api);
}

uint16_t
mq_api_port (const struct mq_api *api)
{
  return mq_http_server_port (api->server);
}

void
mq_api_set_text (struct mq_api *api, const struct mq_text *text)
{
  api->text = text;
}

void
mq_api_leave (struct mq_api *api)
{
  api->leaving = true;
}

void
mq_api_stop_accepting (struct mq_api *api)
{
  mq_http_server_stop_accepting (api->server);
}

size_t
mq_api_in_progress (const struct mq_api *api)
{
  return mq_http_server_in_progress (api->server);
}

const struct mq_api_counters *
mq_api_read_counters (const struct mq_api *api)
{
  return &api->counters;
}
