/* entry.c - everything that runs on an entry host, in one event loop.

   Needs: entry.h and the modules that it joins.  */

#include "entry.h"
#include "../core/front.h"
#include "../core/id.h"
#include "../core/limits.h"
#include "../core/memory.h"
#include "../core/owner.h"
#include "../core/place.h"
#include "../core/spread.h"
#include "api.h"
#include "batch.h"
#include "entry_report.h"
#include "hold.h"
#include "kept_hosts.h"
#include "log.h"
#include "peer.h"
#include "platform.h"
#include "process.h"
#include "spans.h"
#include <string.h>

enum
{
  US_PER_MS = 1000,
  US_PER_SECOND = 1000000
};

/* Whose actions a list holds: EVENT means the front to the owner, and the
   caller to the front.  */
enum origin
{
  FROM_OWNER,
  FROM_FRONT,
  FROM_SPREAD
};

struct mq_entry
{
  struct tevent_context *ev;
  const struct mq_settings *settings;
  void (*done) (void *user);
  void *user;
  uint64_t boot;
  char *http_address;
  char *peer_address;
  struct mq_http_client *client;
  struct mq_platform *platform;
  struct mq_peer_net *net;
  struct mq_api *api;
  struct mq_spans *spans;
  struct mq_owner *owner;
  struct mq_front *front;
  struct mq_spread *spread;
  struct mq_hold *hold;
  struct mq_text *text;
  uint64_t seen_version; /* of the last text that was looked at */
  uint64_t texts_refused;
  struct mq_kept_hosts kept;
  struct mq_batch_queue queue;
  bool working;
  struct mq_tick_timer tick;
  bool leaving;
  uint64_t leave_until_us;
  bool closed; /* no longer accepts callers' connections */
  struct tevent_immediate *stop;
};

static uint64_t
earlier (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

static void settle (struct mq_entry *entry);
static void release_held (struct mq_entry *entry);

/* Inputs of the cores.  */

static void
tell_owner (struct mq_entry *entry, struct mq_owner_input *input)
{
  input->now_us = mq_process_now_us ();
  mq_owner_handle (entry->owner, input,
                   mq_batch_add (entry, &entry->queue, FROM_OWNER));
}

static void
tell_front (struct mq_entry *entry, struct mq_front_input *input)
{
  input->now_us = mq_process_now_us ();
  mq_front_handle (entry->front, input,
                   mq_batch_add (entry, &entry->queue, FROM_FRONT));
}

static void
tell_spread (struct mq_entry *entry, struct mq_spread_input *input)
{
  input->now_us = mq_process_now_us ();
  mq_spread_handle (entry->spread, input,
                    mq_batch_add (entry, &entry->queue, FROM_SPREAD));
}

/* Carrying out actions.  */

/* The front has to know that a request did not leave this host; whatever
   else can't be sent is lost with the connection, which is reported.  */
static void
send_peer (struct mq_entry *entry, uint32_t peer,
           const struct mq_message *message)
{
  struct mq_event_msg event = { .type = MQ_EVENT_REFUSED };
  struct mq_front_input input = { .type = MQ_FRONT_EVENT, .peer = peer };

  if (mq_peer_net_send (entry->net, peer, message)
      || message->type != MQ_MSG_FORWARD)
    return;
  event.handle = message->u.forward.handle;
  event.error = MQ_ERR_NOT_READY;
  event.ran = MQ_RAN_NOT_RUN;
  event.body = "";
  event.redirect = "";
  input.u.event = &event;
  tell_front (entry, &input);
}

/* A caller's request, or its end, for the owner in this process.  */
static void
send_self (struct mq_entry *entry, const struct mq_message *message)
{
  struct mq_owner_input input = { .peer = MQ_PEER_SELF };

  if (message->type == MQ_MSG_FORWARD)
    {
      input.type = MQ_OWNER_REQUEST;
      input.handle = message->u.forward.handle;
      input.u.request = &message->u.forward.request;
      tell_owner (entry, &input);
    }
  else if (message->type == MQ_MSG_FORWARD_CLOSE)
    {
      input.type = MQ_OWNER_CALLER_GONE;
      input.handle = message->u.forward_close.handle;
      tell_owner (entry, &input);
    }
}

static void
carry_event (struct mq_entry *entry, enum origin origin,
             const struct mq_action *action)
{
  struct mq_front_input input = { .type = MQ_FRONT_EVENT };
  struct mq_message message = { .type = MQ_MSG_FORWARD_EVENT };

  if (origin == FROM_FRONT)
    {
      mq_api_event (entry->api, &action->u.event);
      return;
    }
  if (action->peer == MQ_PEER_SELF)
    {
      input.peer = MQ_PEER_SELF;
      input.u.event = &action->u.event;
      tell_front (entry, &input);
      return;
    }
  message.u.event = action->u.event;
  send_peer (entry, action->peer, &message);
}

static void
carry_out (struct mq_entry *entry, enum origin origin,
           const struct mq_action *action)
{
  switch (action->type)
    {
    case MQ_ACT_SEND:
      if (action->peer == MQ_PEER_SELF)
        send_self (entry, &action->u.message);
      else
        send_peer (entry, action->peer, &action->u.message);
      break;
    case MQ_ACT_STORE:
      mq_platform_send (entry->platform, &action->u.store);
      break;
    case MQ_ACT_EVENT:
      carry_event (entry, origin, action);
      break;
    case MQ_ACT_SPAN:
      mq_spans_add (entry->spans, &action->u.span);
      break;
    case MQ_ACT_STATE:
      mq_log_state (&action->u.state);
      break;
    /* Only a target host's core gives these.  */
    case MQ_ACT_START:
    case MQ_ACT_STOP:
    case MQ_ACT_EVICT:
    case MQ_ACT_ORDER:
      break;
    }
}

/* A text that does not parse was accepted by a newer version of mimosactl,
   or was written to the table by hand.  This process goes on with the text
   that it has, and says so.  */
static void
take_text (struct mq_entry *entry)
{
  const char *source = mq_spread_text (entry->spread);
  struct mq_owner_input input = { .type = MQ_OWNER_TEXT };
  struct mq_text_errors errors = { 0 };
  struct mq_text *older = entry->text;
  struct mq_text *text
      = mq_text_parse (entry, source, strlen (source), &errors);

  if (text == NULL)
    {
      entry->texts_refused++;
      if (errors.count > 0)
        mq_log_failure ("text_refused", &errors.items[0]);
      talloc_free (errors.items);
      return;
    }
  text->version = mq_spread_version (entry->spread);
  entry->text = text;
  mq_api_set_text (entry->api, text);
  input.u.text = text;
  tell_owner (entry, &input);
  talloc_free (older);
}

static void
look_at_version (struct mq_entry *entry)
{
  uint64_t version = mq_spread_version (entry->spread);

  if (version == entry->seen_version)
    return;
  entry->seen_version = version;
  mq_peer_net_set_version (entry->net, version);
  take_text (entry);
  release_held (entry);
}

/* Planned stop.  */

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

/* The socket for callers closes when everything is handed over and answered;
   a request that came in with the last moment is still refused in words.  */
static void
look_at_leaving (struct mq_entry *entry)
{
  bool late = mq_process_now_us () >= entry->leave_until_us;

  if (!entry->leaving || entry->stop != NULL || (!late && !is_idle (entry)))
    return;
  if (!late && !entry->closed)
    {
      entry->closed = true;
      mq_api_stop_accepting (entry->api);
      return;
    }
  entry->stop = mq_must (tevent_create_immediate (entry));
  tevent_schedule_immediate (entry->stop, entry->ev, report_done, entry);
}

void
mq_entry_leave (struct mq_entry *entry)
{
  struct mq_owner_input input = { .type = MQ_OWNER_LEAVE };

  if (entry->leaving)
    return;
  entry->leaving = true;
  entry->leave_until_us
      = mq_process_now_us ()
        + (uint64_t)entry->settings->drain_seconds * US_PER_SECOND;
  mq_api_leave (entry->api);
  tell_owner (entry, &input);
  settle (entry);
}

/* Time.  */

/* Without a configuration the owner has nothing to do.  */
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
  uint64_t now = mq_process_now_us ();

  if (mq_spread_next_tick (entry->spread) <= now)
    tell_spread (entry, &spread);
  if (owner_next_tick (entry) <= now)
    tell_owner (entry, &owner);
  if (mq_front_next_tick (entry->front) <= now)
    tell_front (entry, &front);
  release_held (entry);
}

static void
on_timer (struct tevent_context *ev, struct tevent_timer *timer,
          struct timeval at, void *data)
{
  struct mq_entry *entry = data;

  (void)ev;
  (void)timer;
  (void)at;
  entry->tick.timer = NULL;
  tick_cores (entry);
  settle (entry);
}

static uint64_t
next_tick (const struct mq_entry *entry)
{
  uint64_t next = owner_next_tick (entry);

  next = earlier (next, mq_front_next_tick (entry->front));
  next = earlier (next, mq_spread_next_tick (entry->spread));
  next = earlier (next, mq_hold_next (entry->hold));
  /* What is in progress over HTTP ends without telling a core.  */
  if (entry->leaving && entry->stop == NULL)
    next = earlier (next, mq_process_now_us ()
                              + (uint64_t)MQ_ENTRY_LEAVE_MS * US_PER_MS);
  return next;
}

/* Carries out all that is queued, and what it leads to.  */
static void
settle (struct mq_entry *entry)
{
  struct mq_batch *batch;

  if (entry->working)
    return;
  entry->working = true;
  while ((batch = mq_batch_take (&entry->queue)) != NULL)
    {
      for (size_t i = 0; i < batch->actions->count; i++)
        carry_out (entry, (enum origin)batch->origin,
                   &batch->actions->items[i]);
      talloc_free (batch);
      look_at_version (entry);
    }
  entry->working = false;
  look_at_leaving (entry);
  /* The event loop serves a timer that is due before any socket.  A core
     whose next tick stays in the past would keep it from all of them: the
     process would run at full load and answer nobody.  */
  mq_tick_timer_set (&entry->tick, entry->ev, next_tick (entry), US_PER_MS,
                     on_timer, entry);
}

/* Peers.  */

static void
on_peer_up (uint32_t peer, const struct mq_peer_info *info, void *user)
{
  struct mq_entry *entry = user;
  struct mq_spread_input spread = { .type = MQ_SPREAD_PEER_UP, .peer = peer };
  struct mq_owner_input owner = { .type = MQ_OWNER_PEER_UP, .peer = peer };
  struct mq_front_input front = { .type = MQ_FRONT_PEER_UP, .peer = peer };

  tell_spread (entry, &spread);
  owner.u.peer_up.host = info->host;
  owner.u.peer_up.role = info->role;
  owner.u.peer_up.boot = info->boot;
  tell_owner (entry, &owner);
  if (info->role == MQ_HOST_ENTRY)
    {
      front.u.address = info->address;
      tell_front (entry, &front);
    }
  settle (entry);
}

static void
on_peer_down (uint32_t peer, enum mq_error_type why, void *user)
{
  struct mq_entry *entry = user;
  struct mq_spread_input spread
      = { .type = MQ_SPREAD_PEER_DOWN, .peer = peer };
  struct mq_owner_input owner = { .type = MQ_OWNER_PEER_DOWN, .peer = peer };
  struct mq_front_input front = { .type = MQ_FRONT_PEER_DOWN, .peer = peer };

  (void)why;
  mq_hold_forget (entry->hold, peer);
  tell_spread (entry, &spread);
  tell_owner (entry, &owner);
  tell_front (entry, &front);
  settle (entry);
}

static void
tell_owner_of_peer (uint32_t peer, const struct mq_message *message,
                    void *user)
{
  struct mq_entry *entry = user;
  struct mq_owner_input input = { .peer = peer };

  switch (message->type)
    {
    case MQ_MSG_FORWARD:
      input.type = MQ_OWNER_REQUEST;
      input.handle = message->u.forward.handle;
      input.u.request = &message->u.forward.request;
      break;
    case MQ_MSG_FORWARD_CLOSE:
      input.type = MQ_OWNER_CALLER_GONE;
      input.handle = message->u.forward_close.handle;
      break;
    default:
      input.type = MQ_OWNER_MESSAGE;
      input.u.message = message;
      break;
    }
  tell_owner (entry, &input);
}

static void
release_held (struct mq_entry *entry)
{
  mq_hold_release (entry->hold, mq_process_now_us (),
                   mq_spread_version (entry->spread), tell_owner_of_peer,
                   entry);
}

/* A caller's request, or its end, from another entry host.  */
static void
take_forward (struct mq_entry *entry, uint32_t peer,
              const struct mq_message *message)
{
  if (!mq_hold_take (entry->hold, mq_process_now_us (),
                     mq_spread_version (entry->spread), peer, message))
    tell_owner_of_peer (peer, message, entry);
}

/* The configuration goes first: the lower side fetches before it acts.  */
static void
on_message (uint32_t peer, const struct mq_message *message, void *user)
{
  struct mq_entry *entry = user;
  struct mq_spread_input spread = { .type = MQ_SPREAD_MESSAGE, .peer = peer };
  struct mq_front_input front = { .type = MQ_FRONT_EVENT, .peer = peer };

  spread.u.message = message;
  tell_spread (entry, &spread);
  switch (message->type)
    {
    case MQ_MSG_FORWARD_EVENT:
      front.u.event = &message->u.event;
      tell_front (entry, &front);
      break;
    case MQ_MSG_FORWARD:
    case MQ_MSG_FORWARD_CLOSE:
      take_forward (entry, peer, message);
      break;
    case MQ_MSG_NONE:
    case MQ_MSG_CONFIG_HAVE:
    case MQ_MSG_CONFIG_GET:
    case MQ_MSG_CONFIG_TEXT:
      break;
    default:
      tell_owner_of_peer (peer, message, entry);
      break;
    }
  settle (entry);
}

/* The platform.  */

static void
on_stored (const struct mq_store_result *result, void *user)
{
  struct mq_entry *entry = user;
  struct mq_spread_input spread = { .type = MQ_SPREAD_STORE };
  struct mq_owner_input owner = { .type = MQ_OWNER_STORE };

  if ((result->id & MQ_SPREAD_STORE_BIT) != 0)
    {
      spread.u.store = result;
      tell_spread (entry, &spread);
    }
  else
    {
      owner.u.store = result;
      tell_owner (entry, &owner);
    }
  settle (entry);
}

static bool
is_other_host (const struct mq_host *host, const void *data)
{
  const struct mq_entry *entry = data;

  return strcmp (host->address, entry->peer_address) != 0;
}

static void
on_listed (const struct mq_host_list *hosts, void *user)
{
  struct mq_entry *entry = user;
  struct mq_spread_input spread = { .type = MQ_SPREAD_HOSTS };
  struct mq_owner_input owner = { .type = MQ_OWNER_HOSTS };

  mq_kept_hosts_update (entry, &entry->kept, entry->net, hosts, is_other_host,
                        entry);
  spread.u.hosts = hosts;
  tell_spread (entry, &spread);
  owner.u.hosts = hosts;
  tell_owner (entry, &owner);
  settle (entry);
}

/* Callers and operators.  */

static void
on_request (uint64_t handle, uint32_t partition, uint32_t wait_ms,
            const struct mq_request_msg *request, void *user)
{
  struct mq_entry *entry = user;
  struct mq_front_input input = { .type = MQ_FRONT_REQUEST };

  input.handle = handle;
  input.partition = partition;
  input.deadline_us = mq_process_now_us () + (uint64_t)wait_ms * US_PER_MS;
  input.u.request = request;
  tell_front (entry, &input);
  settle (entry);
}

static void
on_gone (uint64_t handle, void *user)
{
  struct mq_entry *entry = user;
  struct mq_front_input input = { .type = MQ_FRONT_CALLER_GONE };

  input.handle = handle;
  tell_front (entry, &input);
  settle (entry);
}

static void
on_drain (void *user)
{
  mq_entry_leave (user);
}

static bool
is_ready (const struct mq_entry *entry)
{
  return entry->text != NULL && mq_owner_address (entry->owner, 0) != NULL;
}

static bool
on_ready (void *user)
{
  return is_ready (user);
}

static uint64_t
on_now (void *user)
{
  (void)user;
  return mq_process_now_us ();
}

static void
on_span (const struct mq_span *span, void *user)
{
  struct mq_entry *entry = user;

  mq_spans_add (entry->spans, span);
}

static char *
on_spans (TALLOC_CTX *ctx, struct mq_id program, void *user)
{
  struct mq_entry *entry = user;

  return mq_spans_json (ctx, entry->spans, program);
}

static void
fill_view (const struct mq_entry *entry, struct mq_entry_view *view)
{
  view->settings = entry->settings;
  view->boot = entry->boot;
  view->ready = is_ready (entry);
  view->leaving = entry->leaving;
  view->texts_refused = entry->texts_refused;
  view->owner = entry->owner;
  view->front = entry->front;
  view->spread = entry->spread;
  view->api = entry->api;
  view->net = entry->net;
  view->platform = entry->platform;
}

static char *
on_metrics (TALLOC_CTX *ctx, void *user)
{
  struct mq_entry_view view;

  fill_view (user, &view);
  return mq_entry_metrics (ctx, &view);
}

static char *
on_status (TALLOC_CTX *ctx, void *user)
{
  struct mq_entry_view view;

  fill_view (user, &view);
  return mq_entry_status (ctx, &view);
}

/* Address of a partition's owner as the front wants it: empty when it is
   this process.  */
static const char *
owner_address (const void *data, uint32_t partition)
{
  const struct mq_entry *entry = data;
  const char *address = mq_owner_address (entry->owner, partition);

  if (address != NULL && strcmp (address, entry->peer_address) == 0)
    return "";
  return address;
}

/* Life.  */

static bool
create_net (struct mq_entry *entry, struct mq_error *error)
{
  const struct mq_settings *settings = entry->settings;
  struct mq_peer_callbacks callbacks = { .up = on_peer_up,
                                         .down = on_peer_down,
                                         .message = on_message,
                                         .user = entry };
  struct mq_peer_options options = { .listen = settings->peer };

  options.self.host = settings->host;
  options.self.data_centre = settings->data_centre;
  options.self.role = MQ_HOST_ENTRY;
  options.self.boot = entry->boot;
  memcpy (options.site_key, settings->site_key, MQ_KEY_BYTES);
  entry->net
      = mq_peer_net_create (entry, entry->ev, &options, &callbacks, error);
  if (entry->net == NULL)
    return false;
  entry->peer_address = mq_process_address (entry, settings->peer,
                                            mq_peer_net_port (entry->net));
  return true;
}

static bool
create_api (struct mq_entry *entry, struct mq_error *error)
{
  const struct mq_settings *settings = entry->settings;
  struct mq_api_callbacks callbacks = { .request = on_request,
                                        .gone = on_gone,
                                        .drain = on_drain,
                                        .metrics = on_metrics,
                                        .status = on_status,
                                        .spans = on_spans,
                                        .span = on_span,
                                        .ready = on_ready,
                                        .now_us = on_now,
                                        .user = entry };
  struct mq_api_options options = { .boot = entry->boot };

  options.http.address = settings->http;
  memcpy (options.operator_key_hash, settings->operator_key_hash,
          MQ_KEY_BYTES);
  entry->api = mq_api_create (entry, entry->ev, &options, &callbacks, error);
  if (entry->api == NULL)
    return false;
  entry->http_address
      = mq_process_address (entry, settings->http, mq_api_port (entry->api));
  return true;
}

static bool
create_platform (struct mq_entry *entry, struct mq_error *error)
{
  entry->client = mq_http_client_create (entry, entry->ev, error);
  if (entry->client == NULL)
    return false;
  entry->platform
      = mq_platform_create (entry, entry->ev, entry->client,
                            entry->settings->platform, on_stored, entry);
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
  options.seed = mq_process_random ();
  options.policy = policy;
  entry->owner = mq_owner_create (entry, &options);
  entry->hold = mq_hold_create (entry);
  entry->front = mq_front_create (entry, &lookup, mq_process_random ());
  entry->spread = mq_spread_create (
      entry, settings->host, settings->data_centre, mq_process_random ());
  return true;
}

struct mq_entry *
mq_entry_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                 const struct mq_settings *settings, void (*done) (void *user),
                 void *user, struct mq_error *error)
{
  struct mq_entry *entry = mq_must (talloc_zero (ctx, struct mq_entry));

  entry->ev = ev;
  entry->settings = settings;
  entry->done = done;
  entry->user = user;
  entry->boot = mq_process_random ();
  entry->spans
      = mq_spans_create (entry, settings->host, settings->data_centre);
  if (!create_net (entry, error) || !create_cores (entry, error)
      || !create_platform (entry, error) || !create_api (entry, error))
    {
      mq_entry_destroy (entry);
      return NULL;
    }
  mq_platform_watch_hosts (entry->platform, MQ_HOSTS_POLL_MS, on_listed,
                           entry);
  settle (entry);
  return entry;
}

/* HTTP goes first: closing its requests still tells the front.  WORKING
   keeps the cores' last actions from being carried out.  */
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
