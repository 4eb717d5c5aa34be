/* platform.c - HTTP client of the platform's table, object store and host
   list.

   platform_answer.c parses the responses.
   Needs: platform.h, platform_answer.h, base64.h, limits.h, jansson.  */

#include "platform.h"
#include "net/base64.h"
#include "platform_answer.h"
#include "core/limits.h"
#include <ctype.h>
#include <jansson.h>
#include <string.h>

#define OBJECT_MAX_BYTES (64U << 20)
#define JSON_HEADER "Content-Type: application/json"
#define BYTES_HEADER "Content-Type: application/octet-stream"

enum
{
  STATUS_OK = 200,
  MS_PER_S = 1000,
  US_PER_MS = 1000
};

struct host_watch
{
  struct mq_http_call *call;
  uint32_t interval_ms;
  size_t hosts; /* in the last list */
  mq_platform_hosts_handler *listed;
  void *user;
};

struct mq_platform
{
  struct tevent_context *ev;
  struct mq_http_client *client;
  const char *url;
  mq_platform_result_handler *stored;
  void *user;
  struct host_watch watch;
  struct mq_platform_counters counters;
};

/* A request in progress; a talloc child of the platform.  */
struct pending
{
  struct mq_platform *platform;
  struct mq_http_call *call;       /* NULL if not sent or ended */
  struct mq_store_request request; /* copy, without the values of its ops */
  struct mq_bytes body;
};

/* Requests.  */

static bool
is_write (enum mq_store_kind kind)
{
  return kind != MQ_STORE_SCAN && kind != MQ_STORE_GET;
}

static char *
append_escaped (char *text, const char *part)
{
  for (; text != NULL && *part != '\0'; part++)
    {
      unsigned char c = (unsigned char)*part;

      if (isalnum (c) || strchr ("-._~", c) != NULL)
        text = talloc_asprintf_append_buffer (text, "%c", c);
      else
        text = talloc_asprintf_append_buffer (text, "%%%02X", c);
    }
  return text;
}

static char *
scan_url (struct pending *pending)
{
  const struct mq_store_request *request = &pending->request;
  char *url = talloc_asprintf (
      pending, "%s/v1/table/rows?prefix=", pending->platform->url);

  url = append_escaped (url, request->key);
  if (request->after[0] != '\0')
    url = append_escaped (talloc_asprintf_append_buffer (url, "&after="),
                          request->after);
  if (request->limit != 0)
    url = talloc_asprintf_append_buffer (url, "&limit=%u", request->limit);
  return url;
}

static char *
request_url (struct pending *pending)
{
  const char *base = pending->platform->url;

  switch (pending->request.kind)
    {
    case MQ_STORE_TXN:
      return talloc_asprintf (pending, "%s/v1/table/transaction", base);
    case MQ_STORE_SCAN:
      return scan_url (pending);
    case MQ_STORE_PUT:
    case MQ_STORE_GET:
    case MQ_STORE_DELETE:
      break;
    }
  return append_escaped (talloc_asprintf (pending, "%s/v1/objects/", base),
                         pending->request.key);
}

static const char *
request_method (enum mq_store_kind kind)
{
  switch (kind)
    {
    case MQ_STORE_TXN:
      return "POST";
    case MQ_STORE_PUT:
      return "PUT";
    case MQ_STORE_DELETE:
      return "DELETE";
    case MQ_STORE_SCAN:
    case MQ_STORE_GET:
      break;
    }
  return "GET";
}

static json_t *
describe_op (const struct mq_store_op *op)
{
  json_t *json = json_pack ("{s:s}", "key", op->key);
  char *value;

  if (json != NULL && op->if_version != MQ_VERSION_ANY)
    json_object_set_new (json, "if_version",
                         json_integer ((json_int_t)op->if_version));
  if (json != NULL && op->remove)
    json_object_set_new (json, "remove", json_true ());
  if (json == NULL || op->remove)
    return json;
  value = mq_base64_encode (NULL, op->value);
  if (value == NULL
      || json_object_set_new (json, "value", json_string (value)))
    {
      json_decref (json);
      json = NULL;
    }
  talloc_free (value);
  return json;
}

/* Returns an empty body if a key is not UTF-8 or memory is exhausted.  */
static struct mq_bytes
describe_transaction (TALLOC_CTX *ctx, const struct mq_store_request *request)
{
  struct mq_bytes body = { NULL, 0 };
  json_t *ops = json_array ();
  json_t *json;
  char *text;

  for (size_t i = 0; i < request->op_count; i++)
    if (json_array_append_new (ops, describe_op (&request->ops[i])) != 0)
      {
        json_decref (ops);
        return body;
      }
  json = json_pack ("{s:o}", "ops", ops);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  if (text == NULL)
    return body;
  body.len = strlen (text);
  body.data = talloc_memdup (ctx, text, body.len);
  free (text);
  return body;
}

static bool
copy_text (TALLOC_CTX *ctx, char **to, const char *from)
{
  *to = talloc_strdup (ctx, from == NULL ? "" : from);
  return *to != NULL;
}

static bool
copy_ops (struct pending *pending, const struct mq_store_request *request)
{
  struct mq_store_op *ops
      = talloc_zero_array (pending, struct mq_store_op, request->op_count);

  if (ops == NULL)
    return false;
  pending->request.ops = ops;
  for (size_t i = 0; i < request->op_count; i++)
    {
      ops[i].remove = request->ops[i].remove;
      if (!copy_text (ops, &ops[i].key, request->ops[i].key))
        return false;
    }
  pending->body = describe_transaction (pending, request);
  return pending->body.data != NULL;
}

static bool
copy_value (struct pending *pending, const struct mq_store_request *request)
{
  pending->body.len = request->value.len;
  pending->body.data = talloc_size (pending, request->value.len + 1);
  if (pending->body.data == NULL)
    return false;
  if (request->value.len > 0)
    memcpy (pending->body.data, request->value.data, request->value.len);
  return true;
}

static bool
fill_pending (struct pending *pending, const struct mq_store_request *request)
{
  pending->request = *request;
  pending->request.ops = NULL;
  pending->request.value = (struct mq_bytes){ NULL, 0 };
  if (!copy_text (pending, &pending->request.key, request->key)
      || !copy_text (pending, &pending->request.after, request->after))
    return false;
  if (request->kind == MQ_STORE_TXN)
    return copy_ops (pending, request);
  if (request->kind == MQ_STORE_PUT)
    return copy_value (pending, request);
  return true;
}

/* Results.  */

static void
count_result (struct mq_platform *platform, enum mq_store_status status)
{
  if (status == MQ_STORE_DOWN)
    platform->counters.failures++;
  if (status == MQ_STORE_LOST)
    platform->counters.lost++;
}

/* Detaches PENDING from the platform first, because the callback may destroy
   the platform.  */
static void
report (struct pending *pending, struct mq_store_result *result)
{
  struct mq_platform *platform = pending->platform;

  result->id = pending->request.id;
  count_result (platform, result->status);
  talloc_steal (NULL, pending);
  platform->stored (result, platform->user);
  talloc_free (pending);
}

static void
on_done (const struct mq_http_result *http, void *user)
{
  struct pending *pending = user;
  struct mq_store_result result;

  pending->call = NULL;
  result = mq_platform_read_answer (pending, &pending->request, http,
                                    &pending->platform->counters.malformed);
  report (pending, &result);
}

static void
on_not_sent (struct tevent_context *ev, struct tevent_immediate *immediate,
             void *data)
{
  struct pending *pending = data;
  struct mq_store_result result = { .status = MQ_STORE_DOWN };

  (void)ev;
  (void)immediate;
  report (pending, &result);
}

/* Lifecycle.  */

static int
free_pending (struct pending *pending)
{
  if (pending->call != NULL)
    mq_http_call_cancel (pending->call);
  return 0;
}

static int
free_platform (struct mq_platform *platform)
{
  if (platform->watch.call != NULL)
    mq_http_call_cancel (platform->watch.call);
  return 0;
}

struct mq_platform *
mq_platform_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                    struct mq_http_client *client, const char *url,
                    mq_platform_result_handler *stored, void *user)
{
  struct mq_platform *platform = talloc_zero (ctx, struct mq_platform);

  if (platform == NULL)
    return NULL;
  platform->ev = ev;
  platform->client = client;
  platform->url = talloc_strdup (platform, url);
  platform->stored = stored;
  platform->user = user;
  talloc_set_destructor (platform, free_platform);
  return platform;
}

void
mq_platform_destroy (struct mq_platform *platform)
{
  talloc_free (platform);
}

static struct mq_http_call *
send_pending (struct pending *pending)
{
  static const char *const json_headers[] = { JSON_HEADER, NULL };
  static const char *const bytes_headers[] = { BYTES_HEADER, NULL };
  enum mq_store_kind kind = pending->request.kind;
  struct mq_http_send send = {
    .method = request_method (kind),
    .url = request_url (pending),
    .body = pending->body.data,
    .len = pending->body.len,
    .timeout_ms = MQ_STORE_TIMEOUT_MS,
    .body_max = OBJECT_MAX_BYTES,
    .done = on_done,
    .user = pending,
  };

  if (send.url == NULL)
    return NULL;
  if (kind == MQ_STORE_TXN)
    send.headers = json_headers;
  if (kind == MQ_STORE_PUT)
    send.headers = bytes_headers;
  return mq_http_client_send (pending->platform->client, &send);
}

void
mq_platform_send (struct mq_platform *platform,
                  const struct mq_store_request *request)
{
  struct pending *pending = talloc_zero (platform, struct pending);

  if (pending == NULL)
    abort ();
  pending->platform = platform;
  talloc_set_destructor (pending, free_pending);
  if (is_write (request->kind))
    platform->counters.writes++;
  else
    platform->counters.reads++;
  if (fill_pending (pending, request))
    pending->call = send_pending (pending);
  if (pending->call == NULL)
    tevent_schedule_immediate (tevent_create_immediate (pending), platform->ev,
                               on_not_sent, pending);
}

/* List of hosts.  */

static void schedule_poll (struct mq_platform *platform, uint32_t after_ms);

uint32_t
mq_platform_poll_interval_ms (uint32_t interval_ms, size_t hosts)
{
  uint64_t ms = (uint64_t)hosts * MQ_HOSTS_POLL_HOST_MS;

  if (ms > MQ_HOSTS_POLL_MAX_MS)
    ms = MQ_HOSTS_POLL_MAX_MS;
  return ms > interval_ms ? (uint32_t)ms : interval_ms;
}

static void
on_hosts (const struct mq_http_result *http, void *user)
{
  struct mq_platform *platform = user;
  const struct mq_host_list *hosts;

  platform->watch.call = NULL;
  schedule_poll (platform,
                 mq_platform_poll_interval_ms (platform->watch.interval_ms,
                                               platform->watch.hosts));
  if (http->error != MQ_ERR_NONE || http->status != STATUS_OK)
    {
      platform->counters.failures++;
      return;
    }
  hosts = mq_platform_read_hosts (NULL, http, &platform->counters.malformed);
  if (hosts == NULL)
    return;
  platform->watch.hosts = hosts->count;
  platform->watch.listed (hosts, platform->watch.user);
  talloc_free ((void *)hosts);
}

static void
poll_hosts (struct tevent_context *ev, struct tevent_timer *timer,
            struct timeval now, void *data)
{
  struct mq_platform *platform = data;
  struct mq_http_send send = {
    .method = "GET",
    .url = talloc_asprintf (platform, "%s/v1/hosts", platform->url),
    .timeout_ms = MQ_STORE_TIMEOUT_MS,
    .done = on_hosts,
    .user = platform,
  };

  (void)ev;
  (void)timer;
  (void)now;
  platform->counters.reads++;
  if (send.url != NULL)
    platform->watch.call = mq_http_client_send (platform->client, &send);
  if (platform->watch.call == NULL)
    schedule_poll (platform, platform->watch.interval_ms);
  talloc_free ((void *)send.url);
}

static void
schedule_poll (struct mq_platform *platform, uint32_t after_ms)
{
  struct timeval due = tevent_timeval_current_ofs (
      after_ms / MS_PER_S, after_ms % MS_PER_S * US_PER_MS);

  if (tevent_add_timer (platform->ev, platform, due, poll_hosts, platform)
      == NULL)
    abort ();
}

void
mq_platform_watch_hosts (struct mq_platform *platform, uint32_t interval_ms,
                         mq_platform_hosts_handler *listed, void *user)
{
  platform->watch.interval_ms = interval_ms;
  platform->watch.listed = listed;
  platform->watch.user = user;
  schedule_poll (platform, 0);
}

const struct mq_platform_counters *
mq_platform_counters (const struct mq_platform *platform)
{
  return &platform->counters;
}
