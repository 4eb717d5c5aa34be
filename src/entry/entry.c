/* entry.c - lifecycle and timers of an entry host's daemon.

   Needs: entry_state.h and the modules that it connects.  */

#include "entry.h"
#include "core/limits.h"
#include "core/memory.h"
#include "core/owner/place.h"
#include "entry_state.h"
#include "net/clock.h"
#include <string.h>

enum
{
  US_PER_MS = 1000,
  US_PER_SECOND = 1000000,
  BYTES_PER_KB = 1024
};

static uint64_t
earlier (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

/* Graceful shutdown.  */

static bool
is_idle (const struct mq_entry *entry)
{
  return mq_owner_is_drained (entry->owner)
         && mq_front_count (entry->front) == 0
         && mq_api_in_progress (entry->api) == 0;
}

static void
report_done (struct tevent_context *ev, struct tevent_immediate *immediate,
             void *data)
{
  struct mq_entry *entry = data;

  (void)ev;
  (void)immediate;
  entry->done (entry->user);
}

static void
stop_accepting (struct mq_entry *entry)
{
  if (!entry->closed)
    mq_api_stop_accepting (entry->api);
  entry->closed = true;
}

/* Refuses the requests that wait when the time of the stop is over.  */
static void
refuse_waiting (struct mq_entry *entry)
{
  struct mq_front_input input = { .type = MQ_FRONT_STOP };
  uint64_t now = mq_clock_us ();

  if (!entry->leaving || entry->stop_at_us != 0 || now < entry->refuse_at_us)
    return;
  entry->stop_at_us = now + (uint64_t)MQ_STOP_CLOSE_MS * US_PER_MS;
  mq_entry_dispatch_front (entry, &input);
  stop_accepting (entry);
}

/* Closes the callers' listening socket, and then their connections, only when
   the host is idle, so that late requests receive an error response instead of
   a refused connection.  */
static bool
has_stopped (struct mq_entry *entry)
{
  if (entry->stop_at_us != 0 && mq_clock_us () >= entry->stop_at_us)
    return true;
  if (entry->stop_at_us == 0 && !is_idle (entry))
    return false;
  if (entry->closed)
    return mq_api_close_idle (entry->api);
  stop_accepting (entry);
  return false;
}

static void
check_drained (struct mq_entry *entry)
{
  if (!entry->leaving || entry->stop != NULL || !has_stopped (entry))
    return;
  entry->stop = mq_check_alloc (tevent_create_immediate (entry));
  tevent_schedule_immediate (entry->stop, entry->ev, report_done, entry);
}

void
mq_entry_drain (struct mq_entry *entry)
{
  struct mq_owner_input input = { .type = MQ_OWNER_LEAVE };

  if (entry->leaving)
    return;
  entry->leaving = true;
  entry->refuse_at_us
      = mq_clock_us ()
        + (uint64_t)entry->settings->drain_seconds * US_PER_SECOND
        - (uint64_t)MQ_STOP_CLOSE_MS * US_PER_MS;
  mq_api_drain (entry->api);
  mq_entry_dispatch_owner (entry, &input);
  mq_entry_run_queue (entry);
}

void
mq_entry_end_drain (struct mq_entry *entry)
{
  entry->refuse_at_us = mq_clock_us ();
  refuse_waiting (entry);
  mq_entry_run_queue (entry);
}

/* Timers.  */

/* The owner has no timers before a configuration is loaded.  */
static uint64_t
owner_next_tick (const struct mq_entry *entry)
{
  return entry->text == NULL ? UINT64_MAX : mq_owner_next_tick (entry->owner);
}

static void
tick_cores (struct mq_entry *entry)
{
  struct mq_owner_input owner = { .type = MQ_OWNER_TICK };
  struct mq_front_input front = { .type = MQ_FRONT_TICK };
  struct mq_spread_input spread = { .type = MQ_SPREAD_TICK };
  uint64_t now = mq_clock_us ();

  if (mq_spread_next_tick (entry->spread) <= now)
    mq_entry_dispatch_spread (entry, &spread);
  if (owner_next_tick (entry) <= now)
    mq_entry_dispatch_owner (entry, &owner);
  if (mq_front_next_tick (entry->front) <= now)
    mq_entry_dispatch_front (entry, &front);
  mq_entry_release_waiting (entry);
  refuse_waiting (entry);
}

static void
on_timer (void *data)
{
  struct mq_entry *entry = data;

  entry->tick.timer = NULL;
  tick_cores (entry);
  mq_entry_run_queue (entry);
}

static uint64_t
next_tick (const struct mq_entry *entry)
{
  uint64_t next = owner_next_tick (entry);

  next = earlier (next, mq_front_next_tick (entry->front));
  next = earlier (next, mq_spread_next_tick (entry->spread));
  next = earlier (next, mq_config_wait_next (entry->config_wait));
  /* The end of an HTTP request triggers no input to a core, so the drain is
     polled.  */
  if (entry->leaving && entry->stop == NULL)
    next = earlier (next, mq_clock_us ()
                              + (uint64_t)MQ_ENTRY_STOP_POLL_MS * US_PER_MS);
  return next;
}

void
mq_entry_run_queue (struct mq_entry *entry)
{
  struct mq_batch *batch;

  if (entry->working)
    return;
  entry->working = true;
  while ((batch = mq_batch_take (&entry->queue)) != NULL)
    {
      for (size_t i = 0; i < batch->actions->count; i++)
        mq_entry_run_action (entry, (enum mq_entry_origin)batch->origin,
                             &batch->actions->items[i]);
      talloc_free (batch);
      mq_entry_update_config (entry);
    }
  entry->working = false;
  check_drained (entry);
  /* The minimum delay prevents a busy loop if a core's next tick stays in the
     past.  */
  mq_tick_timer_set (&entry->tick, entry->ev, next_tick (entry), US_PER_MS,
                     on_timer, entry);
}

/* Lifecycle.  */

/* Returns the address of a partition's owner: "" for this process, NULL if
   unknown.  */
static const char *
owner_address (const void *data, uint32_t partition)
{
  const struct mq_entry *entry = data;
  const char *address = mq_owner_address (entry->owner, partition);

  if (address != NULL && strcmp (address, entry->peer_address) == 0)
    return "";
  return address;
}

static bool
create_net (struct mq_entry *entry, struct mq_error *error)
{
  struct mq_peer_callbacks callbacks = mq_entry_peer_callbacks (entry);

  entry->net = mq_process_create_net (entry, entry->ev, entry->settings,
                                      MQ_HOST_ENTRY, entry->boot, &callbacks,
                                      &entry->peer_address, error);
  return entry->net != NULL;
}

static bool
create_api (struct mq_entry *entry, struct mq_error *error)
{
  const struct mq_settings *settings = entry->settings;
  struct mq_api_callbacks callbacks = mq_entry_api_callbacks (entry);
  struct mq_api_options options = { .boot = entry->boot };

  options.http.address = settings->http;
  options.http.stream_buffer_max
      = (size_t)settings->stream_buffer_kb * BYTES_PER_KB;
  memcpy (options.operator_key_hash, settings->operator_key_hash,
          MQ_KEY_BYTES);
  entry->api = mq_api_create (entry, entry->ev, &options, &callbacks, error);
  if (entry->api == NULL)
    return false;
  entry->http_address = mq_process_replace_port (entry, settings->http,
                                                 mq_api_port (entry->api));
  return true;
}

static bool
create_platform (struct mq_entry *entry, struct mq_error *error)
{
  entry->client = mq_http_client_create (entry, entry->ev, error);
  if (entry->client == NULL)
    return false;
  entry->platform = mq_platform_create (entry, entry->ev, entry->client,
                                        entry->settings->platform,
                                        mq_entry_on_store_result, entry);
  if (entry->platform == NULL)
    {
      mq_error_set (error, MQ_ERR_IO, entry->settings->platform, "");
      return false;
    }
  return true;
}

static bool
create_cores (struct mq_entry *entry, struct mq_error *error)
{
  const struct mq_settings *settings = entry->settings;
  struct mq_front_lookup lookup = { owner_address, entry };
  struct mq_owner_options options = { .host = settings->host };
  enum mq_policy policy = MQ_POLICY_FINISH;

  if (!mq_policy_from_name (settings->policy, &policy))
    {
      mq_error_set (error, MQ_ERR_TEXT_BAD_VALUE, settings->policy, "policy");
      return false;
    }
  options.data_centre = settings->data_centre;
  options.address = entry->peer_address;
  options.boot = entry->boot;
  options.seed = mq_clock_random ();
  options.policy = policy;
  options.commit_each_step = settings->commit_each_step;
  entry->owner = mq_owner_create (entry, &options);
  entry->config_wait = mq_config_wait_create (entry);
  entry->front = mq_front_create (entry, &lookup, mq_clock_random ());
  entry->spread = mq_spread_create (entry, settings->host,
                                    settings->data_centre, mq_clock_random ());
  return true;
}

struct mq_entry *
mq_entry_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                 const struct mq_settings *settings, void (*done) (void *user),
                 void *user, struct mq_error *error)
{
  struct mq_entry *entry = mq_check_alloc (talloc_zero (ctx, struct mq_entry));

  entry->ev = ev;
  entry->settings = settings;
  entry->done = done;
  entry->user = user;
  entry->boot = mq_clock_random ();
  entry->spans
      = mq_spans_create (entry, settings->host, settings->data_centre);
  if (!create_net (entry, error) || !create_cores (entry, error)
      || !create_platform (entry, error) || !create_api (entry, error))
    {
      mq_entry_destroy (entry);
      return NULL;
    }
  mq_platform_watch_hosts (entry->platform, MQ_HOSTS_POLL_MS,
                           mq_entry_on_hosts, entry);
  mq_entry_run_queue (entry);
  return entry;
}

/* Destroys the API first, because closing its requests passes inputs to the
   front.  Setting the working flag keeps the resulting actions from being
   run.  */
void
mq_entry_destroy (struct mq_entry *entry)
{
  if (entry == NULL)
    return;
  entry->working = true;
  if (entry->api != NULL)
    mq_api_destroy (entry->api);
  if (entry->net != NULL)
    mq_peer_net_destroy (entry->net);
  if (entry->platform != NULL)
    mq_platform_destroy (entry->platform);
  if (entry->client != NULL)
    mq_http_client_destroy (entry->client);
  talloc_free (entry);
}

const char *
mq_entry_http_address (const struct mq_entry *entry)
{
  return entry->http_address;
}

const char *
mq_entry_peer_address (const struct mq_entry *entry)
{
  return entry->peer_address;
}
