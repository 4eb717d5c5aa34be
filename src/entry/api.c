/* api.c - HTTP API of an entry host, for callers and operators.

   Each HTTP request of a caller is an exchange in a table of slots.  Its
   handle at the front combines the slot with a serial number, so that late
   events for an earlier exchange in the same slot are recognised.
   Needs: api_state.h, id.h, limits.h, gnutls.  */

#include "api.h"
#include "core/id.h"
#include "core/limits.h"
#include "core/memory.h"
#include "api_state.h"
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SLOT_BITS = 16,
  SLOTS_MAX = 1 << SLOT_BITS,
  FIRST_SLOTS = 64,
  MS_PER_SECOND = 1000,
  TRACE_BYTES = 24
};

static const char json_type[] = "application/json";

/* Responses without the front.  */

void
mq_api_send_refusal (struct mq_api *api, struct mq_http_request *http,
                     const struct mq_api_refusal *refusal)
{
  char *json = mq_api_refusal_json (api, refusal);

  api->counters.refused++;
  if (refusal->retry_after_ms != 0)
    {
      char *seconds = mq_check_alloc (talloc_asprintf (
          json, "%u",
          (refusal->retry_after_ms + MS_PER_SECOND - 1) / MS_PER_SECOND));

      mq_http_set_header (http, "Retry-After", seconds);
    }
  mq_respond_text (http, mq_error_http_status (refusal->error.type), json_type,
                   json);
  talloc_free (json);
}

/* Refuses a request that was not sent to the front.  */
static void
refuse (struct mq_api *api, struct mq_http_request *http,
        enum mq_error_type type, const char *subject, uint32_t retry_after_ms)
{
  struct mq_api_refusal refusal
      = { .ran = MQ_RAN_NOT_RUN, .retry_after_ms = retry_after_ms };

  mq_error_set (&refusal.error, type, subject, "");
  mq_api_send_refusal (api, http, &refusal);
}

/* Table of exchanges.  */

static bool
grow_slots (struct mq_api *api)
{
  size_t count = api->slot_count == 0 ? FIRST_SLOTS : 2 * api->slot_count;

  if (count > SLOTS_MAX)
    return false;
  api->slots = mq_check_alloc (
      talloc_realloc (api, api->slots, struct mq_exchange *, count));
  memset (&api->slots[api->slot_count], 0,
          (count - api->slot_count) * sizeof (struct mq_exchange *));
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

void
mq_exchange_renew_handle (struct mq_exchange *exchange)
{
  exchange->handle = ++exchange->api->serial << SLOT_BITS | exchange->slot;
}

struct mq_exchange *
mq_exchange_find (const struct mq_api *api, uint64_t handle)
{
  size_t slot = handle & (SLOTS_MAX - 1);

  if (slot >= api->slot_count || api->slots[slot] == NULL)
    return NULL;
  return api->slots[slot]->handle == handle ? api->slots[slot] : NULL;
}

static struct mq_exchange *
open_exchange (struct mq_api *api, struct mq_http_request *http)
{
  struct mq_exchange *exchange;
  uint32_t slot;

  if (!find_free_slot (api, &slot))
    return NULL;
  exchange = mq_check_alloc (talloc_zero (api, struct mq_exchange));
  exchange->api = api;
  exchange->slot = slot;
  exchange->http = http;
  exchange->start_us = api->callbacks.now_us (api->callbacks.user);
  exchange->streamed = mq_check_alloc (talloc_strdup (exchange, ""));
  mq_exchange_renew_handle (exchange);
  api->slots[slot] = exchange;
  api->live++;
  return exchange;
}

/* The response was completed or the caller disconnected.  */
static void
exchange_closed (struct mq_http_request *http, void *data)
{
  struct mq_exchange *exchange = data;
  struct mq_api *api = exchange->api;

  (void)http;
  api->slots[exchange->slot] = NULL;
  api->live--;
  if (exchange->pending)
    {
      api->counters.callers_gone++;
      mq_exchange_count_disconnected (exchange);
      api->callbacks.gone (exchange->handle, api->callbacks.user);
    }
  talloc_free (exchange);
}

/* Requests to the front.  */

static const struct mq_organisation *
find_organisation (const struct mq_api *api, struct mq_http_request *http)
{
  uint8_t hash[MQ_KEY_BYTES];

  if (!mq_bearer_hash (http, hash))
    return NULL;
  return mq_text_find_key (api->text, hash);
}

/* Returns the caller's trace context, or a new one if it sent none.  */
static const char *
get_traceparent (TALLOC_CTX *ctx, struct mq_http_request *http)
{
  const char *header = mq_http_header (http, "traceparent");
  uint8_t random[TRACE_BYTES];
  uint64_t words[TRACE_BYTES / sizeof (uint64_t)];
  char trace[MQ_ID_TEXT];
  char span[MQ_ID_TEXT];

  if (mq_api_traceparent_valid (header))
    return mq_check_alloc (talloc_strdup (ctx, header));
  if (gnutls_rnd (GNUTLS_RND_NONCE, random, sizeof random) != 0)
    abort ();
  memcpy (words, random, sizeof words);
  mq_id_format ((struct mq_id){ words[0], words[1] }, trace);
  mq_id_format ((struct mq_id){ words[2], 0 }, span);
  return mq_check_alloc (talloc_asprintf (ctx, "00-%s-%.16s-01", trace, span));
}

void
mq_exchange_send (struct mq_exchange *exchange,
                  const struct mq_request_msg *request)
{
  struct mq_api *api = exchange->api;
  uint32_t partition
      = mq_id_partition (request->program, api->text->partitions);

  exchange->pending = true;
  /* The callback may respond and free EXCHANGE before it returns.  */
  api->callbacks.request (exchange->handle, partition, exchange->plan->wait_ms,
                          request, api->callbacks.user);
}

void
mq_exchange_abandon (struct mq_exchange *exchange)
{
  struct mq_api *api = exchange->api;

  exchange->pending = false;
  api->callbacks.gone (exchange->handle, api->callbacks.user);
}

void
mq_exchange_record_span (const struct mq_exchange *exchange,
                         enum mq_error_type error)
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

/* Copies the plan: its second request is sent after the request's headers
   and the configuration that it refers to may have been freed.  */
static void
copy_plan (struct mq_exchange *exchange, const struct mq_api_plan *plan)
{
  exchange->plan = mq_check_alloc (talloc_zero (exchange, struct mq_api_plan));
  *exchange->plan = *plan;
  mq_request_copy (exchange->plan, &exchange->plan->first, &plan->first);
  if (plan->has_second)
    mq_request_copy (exchange->plan, &exchange->plan->second, &plan->second);
}

static void
name_program (struct mq_exchange *exchange)
{
  char text[MQ_ID_TEXT];

  mq_id_format (exchange->plan->first.program, text);
  mq_http_set_header (exchange->http, "Mimosa-Program", text);
}

/* Generates an idempotency key that is unique across processes and
   restarts.  */
static char *
make_key (TALLOC_CTX *ctx, const struct mq_exchange *exchange)
{
  uint64_t random;

  if (gnutls_rnd (GNUTLS_RND_NONCE, &random, sizeof random) != 0)
    abort ();
  return mq_check_alloc (talloc_asprintf (
      ctx, "auto-%016llx-%016llx-%016llx",
      (unsigned long long)exchange->api->boot,
      (unsigned long long)exchange->handle, (unsigned long long)random));
}

static void
fill_http_input (TALLOC_CTX *ctx, const struct mq_exchange *exchange,
                 const struct mq_organisation *caller,
                 struct mq_api_http_input *input)
{
  struct mq_http_request *http = exchange->http;

  input->method = mq_http_method (http);
  input->path = mq_http_path (http);
  input->body = mq_http_body (http, &input->len);
  input->organisation = caller->name;
  input->key = mq_http_header (http, "Idempotency-Key");
  input->generated_key = make_key (ctx, exchange);
  input->traceparent = get_traceparent (ctx, http);
  input->accept = mq_http_header (http, "Accept");
  input->program = mq_http_header (http, "Mimosa-Program");
  input->service = mq_http_header (http, "Mimosa-Service");
  input->after = mq_http_query (http, "after");
  input->wait = mq_http_query (http, "wait");
  input->cancel = mq_http_query (http, "cancel");
  input->timeout_ms = mq_http_query (http, "timeout_ms");
}

static void
plan_exchange (struct mq_exchange *exchange,
               const struct mq_organisation *caller)
{
  struct mq_api_refusal refusal = { .ran = MQ_RAN_NOT_RUN };
  TALLOC_CTX *ctx = mq_check_alloc (talloc_new (NULL));
  struct mq_api_http_input input = { 0 };
  struct mq_api_plan *plan;

  fill_http_input (ctx, exchange, caller, &input);
  plan = mq_api_plan_create (ctx, exchange->api->text, &input, &refusal.error);
  if (plan == NULL)
    {
      mq_api_send_refusal (exchange->api, exchange->http, &refusal);
      talloc_free (ctx);
      return;
    }
  copy_plan (exchange, plan);
  talloc_free (ctx);
  name_program (exchange);
  mq_exchange_send (exchange, &exchange->plan->first);
}

static void
serve_caller (struct mq_api *api, struct mq_http_request *http)
{
  const struct mq_organisation *caller;
  struct mq_exchange *exchange;

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
  caller = find_organisation (api, http);
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

/* Lifecycle.  */

struct mq_api *
mq_api_create (TALLOC_CTX *ctx, struct tevent_context *ev,
               const struct mq_api_options *options,
               const struct mq_api_callbacks *callbacks,
               struct mq_error *error)
{
  struct mq_api *api = mq_check_alloc (talloc_zero (ctx, struct mq_api));

  api->callbacks = *callbacks;
  api->boot = options->boot;
  api->latency = mq_latency_create (api);
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

/* Destroys the server first, which reports each request in progress as
   closed.  */
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
mq_api_drain (struct mq_api *api)
{
  api->leaving = true;
}

void
mq_api_stop_accepting (struct mq_api *api)
{
  mq_http_server_stop_accepting (api->server);
}

bool
mq_api_close_idle (struct mq_api *api)
{
  return mq_http_server_close_idle (api->server);
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
