/* ctl.c - blocking calls of a command line tool.

   Needs: ctl.h, tevent.  */

#include "ctl.h"
#include "core/limits.h"
#include "daemon/platform.h"
#include <string.h>
#include <time.h>

/* Stays below the usual limit of 1024 open files.  */
#define FETCHES_CONCURRENT_MAX 128
#define HOSTS_POLL_MS 1000U
#define MS_PER_S 1000U
#define US_PER_MS 1000U
#define NS_PER_MS 1000000U

struct mq_ctl
{
  struct tevent_context *ev;
  struct mq_http_client *client;
  struct mq_platform *platform;
  const char *authorization; /* header line; NULL for none */
  uint32_t host_timeout_ms;
  bool watches_hosts;
  struct mq_store_result *stored; /* NULL until the request completes */
  TALLOC_CTX *stored_ctx;
  struct mq_host_list *hosts; /* NULL until a list arrives */
};

/* Timers.  */

static void
on_timer (struct tevent_context *ev, struct tevent_timer *timer,
          struct timeval now, void *data)
{
  bool *expired = data;

  (void)ev;
  (void)timer;
  (void)now;
  *expired = true;
}

static struct tevent_timer *
start_timer (struct mq_ctl *ctl, uint32_t ms, bool *expired)
{
  struct timeval due
      = tevent_timeval_current_ofs (ms / MS_PER_S, ms % MS_PER_S * US_PER_MS);

  *expired = false;
  return tevent_add_timer (ctl->ev, ctl, due, on_timer, expired);
}

void
mq_ctl_sleep (struct mq_ctl *ctl, uint32_t ms)
{
  bool expired;
  struct tevent_timer *timer = start_timer (ctl, ms, &expired);

  while (timer != NULL && !expired)
    tevent_loop_once (ctl->ev);
}

/* The platform.  */

static struct mq_bytes
copy_bytes (TALLOC_CTX *ctx, struct mq_bytes from)
{
  struct mq_bytes to = { NULL, from.len };

  if (from.len > 0)
    to.data = talloc_memdup (ctx, from.data, from.len);
  return to;
}

static void
on_stored (const struct mq_store_result *result, void *user)
{
  struct mq_ctl *ctl = user;
  struct mq_store_result *copy
      = talloc_zero (ctl->stored_ctx, struct mq_store_result);

  *copy = *result;
  copy->rows = talloc_zero_array (copy, struct mq_row, result->row_count);
  for (size_t i = 0; i < result->row_count; i++)
    {
      copy->rows[i].key = talloc_strdup (copy, result->rows[i].key);
      copy->rows[i].version = result->rows[i].version;
      copy->rows[i].value = copy_bytes (copy, result->rows[i].value);
    }
  copy->value = copy_bytes (copy, result->value);
  ctl->stored = copy;
}

struct mq_store_result *
mq_ctl_store_send (struct mq_ctl *ctl, TALLOC_CTX *ctx,
                   const struct mq_store_request *request)
{
  ctl->stored = NULL;
  ctl->stored_ctx = ctx;
  mq_platform_send (ctl->platform, request);
  while (ctl->stored == NULL)
    tevent_loop_once (ctl->ev);
  return ctl->stored;
}

static void
copy_host (struct mq_host_list *list, struct mq_host *to,
           const struct mq_host *from)
{
  *to = *from;
  to->name = talloc_strdup (list, from->name);
  to->data_centre = talloc_strdup (list, from->data_centre);
  to->region = talloc_strdup (list, from->region);
  to->address = talloc_strdup (list, from->address);
  to->http = talloc_strdup (list, from->http);
}

static void
on_host_list (const struct mq_host_list *hosts, void *user)
{
  struct mq_ctl *ctl = user;
  struct mq_host_list *list;

  talloc_free (ctl->hosts);
  list = talloc_zero (ctl, struct mq_host_list);
  list->items = talloc_zero_array (list, struct mq_host, hosts->count);
  list->count = hosts->count;
  for (size_t i = 0; i < hosts->count; i++)
    copy_host (list, &list->items[i], &hosts->items[i]);
  ctl->hosts = list;
}

struct mq_host_list *
mq_ctl_hosts (struct mq_ctl *ctl, TALLOC_CTX *ctx, struct mq_error *error)
{
  struct mq_host_list *list;
  bool expired;
  struct tevent_timer *timer
      = start_timer (ctl, MQ_STORE_TIMEOUT_MS + HOSTS_POLL_MS, &expired);

  TALLOC_FREE (ctl->hosts);
  if (!ctl->watches_hosts)
    mq_platform_watch_hosts (ctl->platform, HOSTS_POLL_MS, on_host_list, ctl);
  ctl->watches_hosts = true;
  while (ctl->hosts == NULL && !expired)
    tevent_loop_once (ctl->ev);
  if (!expired)
    talloc_free (timer);
  if (ctl->hosts == NULL)
    mq_error_set (error, MQ_ERR_STORE_DOWN, "the platform's list of hosts",
                  "");
  list = talloc_steal (ctx, ctl->hosts);
  ctl->hosts = NULL;
  return list;
}

/* Hosts.  */

/* A set of concurrent requests.  */
struct fetch_batch
{
  struct mq_ctl *ctl;
  TALLOC_CTX *ctx;
  size_t pending;
};

struct fetch_slot
{
  struct fetch_batch *batch;
  struct mq_ctl_fetch *fetch;
};

static void
on_response (const struct mq_http_result *result, void *user)
{
  struct fetch_slot *slot = user;
  struct mq_ctl_fetch *fetch = slot->fetch;

  fetch->error = result->error;
  fetch->status = result->status;
  if (result->error == MQ_ERR_NONE)
    fetch->body = talloc_strndup (slot->batch->ctx, result->body, result->len);
  slot->batch->pending--;
  talloc_free (slot);
}

static void
start_fetch (struct fetch_batch *batch, struct mq_ctl_fetch *fetch)
{
  struct mq_ctl *ctl = batch->ctl;
  const char *headers[] = { ctl->authorization, NULL };
  struct fetch_slot *slot = talloc_zero (ctl, struct fetch_slot);
  struct mq_http_send send = { .method = fetch->method,
                               .headers = headers,
                               .timeout_ms = ctl->host_timeout_ms,
                               .done = on_response,
                               .user = slot };

  slot->batch = batch;
  slot->fetch = fetch;
  send.url
      = talloc_asprintf (slot, "http://%s%s", fetch->address, fetch->path);
  batch->pending++;
  if (mq_http_client_send (ctl->client, &send) != NULL)
    return;
  fetch->error = MQ_ERR_NO_MEMORY;
  batch->pending--;
  talloc_free (slot);
}

void
mq_ctl_fetch (struct mq_ctl *ctl, TALLOC_CTX *ctx,
              struct mq_ctl_fetch *fetches, size_t count)
{
  struct fetch_batch batch = { ctl, ctx, 0 };
  size_t next = 0;

  while (next < count || batch.pending > 0)
    {
      while (next < count && batch.pending < FETCHES_CONCURRENT_MAX)
        start_fetch (&batch, &fetches[next++]);
      if (batch.pending > 0)
        tevent_loop_once (ctl->ev);
    }
}

/* Creation and destruction.  */

struct mq_ctl *
mq_ctl_create (TALLOC_CTX *ctx, const struct mq_ctl_options *options,
               struct mq_error *error)
{
  struct mq_ctl *ctl = talloc_zero (ctx, struct mq_ctl);

  if (ctl == NULL)
    return NULL;
  ctl->ev = tevent_context_init (ctl);
  ctl->host_timeout_ms = options->host_timeout_ms;
  if (options->operator_key != NULL)
    ctl->authorization = talloc_asprintf (ctl, "Authorization: Bearer %s",
                                          options->operator_key);
  ctl->client = mq_http_client_create (ctl, ctl->ev, error);
  if (ctl->client != NULL && options->platform != NULL)
    ctl->platform = mq_platform_create (ctl, ctl->ev, ctl->client,
                                        options->platform, on_stored, ctl);
  if (ctl->client != NULL
      && (options->platform == NULL || ctl->platform != NULL))
    return ctl;
  mq_ctl_destroy (ctl);
  return NULL;
}

/* The platform cancels its calls in the client, so it is destroyed first.  */
void
mq_ctl_destroy (struct mq_ctl *ctl)
{
  if (ctl == NULL)
    return;
  if (ctl->platform != NULL)
    mq_platform_destroy (ctl->platform);
  if (ctl->client != NULL)
    mq_http_client_destroy (ctl->client);
  talloc_free (ctl);
}
