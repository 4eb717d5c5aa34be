/* entry_input.c - passes events from the network to an entry host's cores.

   Needs: entry_state.h, entry_report.h.  */

#include "entry_report.h"
#include "entry_state.h"
#include "net/clock.h"
#include <string.h>

enum
{
  US_PER_MS = 1000
};

/* Peers.  */

static void
on_peer_up (uint32_t peer, const struct mq_peer_info *info, void *user)
{
  struct mq_entry *entry = user;
  struct mq_spread_input spread = { .type = MQ_SPREAD_PEER_UP, .peer = peer };
  struct mq_owner_input owner = { .type = MQ_OWNER_PEER_UP, .peer = peer };
  struct mq_front_input front = { .type = MQ_FRONT_PEER_UP, .peer = peer };

  mq_entry_dispatch_spread (entry, &spread);
  owner.u.peer_up.host = info->host;
  owner.u.peer_up.role = info->role;
  owner.u.peer_up.boot = info->boot;
  mq_entry_dispatch_owner (entry, &owner);
  if (info->role == MQ_HOST_ENTRY)
    {
      front.u.address = info->address;
      mq_entry_dispatch_front (entry, &front);
    }
  mq_entry_run_queue (entry);
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
  mq_config_wait_drop_peer (entry->config_wait, peer);
  mq_entry_dispatch_spread (entry, &spread);
  mq_entry_dispatch_owner (entry, &owner);
  mq_entry_dispatch_front (entry, &front);
  mq_entry_run_queue (entry);
}

static void
deliver_to_owner (uint32_t peer, const struct mq_message *message, void *user)
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
  mq_entry_dispatch_owner (entry, &input);
}

void
mq_entry_release_waiting (struct mq_entry *entry)
{
  mq_config_wait_release (entry->config_wait, mq_clock_us (),
                          mq_spread_version (entry->spread), deliver_to_owner,
                          entry);
}

/* Handles a caller's request, or its end, forwarded by another entry host. */
static void
handle_forward (struct mq_entry *entry, uint32_t peer,
                const struct mq_message *message)
{
  if (!mq_config_wait_add (entry->config_wait, mq_clock_us (),
                           mq_spread_version (entry->spread), peer, message))
    deliver_to_owner (peer, message, entry);
}

/* Passes each message to the spread core first, so that a newer configuration
   is requested before the message is handled.  */
static void
on_message (uint32_t peer, const struct mq_message *message, void *user)
{
  struct mq_entry *entry = user;
  struct mq_spread_input spread = { .type = MQ_SPREAD_MESSAGE, .peer = peer };
  struct mq_front_input front = { .type = MQ_FRONT_EVENT, .peer = peer };

  spread.u.message = message;
  mq_entry_dispatch_spread (entry, &spread);
  switch (message->type)
    {
    case MQ_MSG_FORWARD_EVENT:
      front.u.event = &message->u.event;
      mq_entry_dispatch_front (entry, &front);
      break;
    case MQ_MSG_FORWARD:
    case MQ_MSG_FORWARD_CLOSE:
      handle_forward (entry, peer, message);
      break;
    case MQ_MSG_NONE:
    case MQ_MSG_CONFIG_HAVE:
    case MQ_MSG_CONFIG_GET:
    case MQ_MSG_CONFIG_TEXT:
      break;
    default:
      deliver_to_owner (peer, message, entry);
      break;
    }
  mq_entry_run_queue (entry);
}

struct mq_peer_callbacks
mq_entry_peer_callbacks (struct mq_entry *entry)
{
  struct mq_peer_callbacks callbacks = { .up = on_peer_up,
                                         .down = on_peer_down,
                                         .message = on_message,
                                         .user = entry };

  return callbacks;
}

/* The platform.  */

void
mq_entry_on_store_result (const struct mq_store_result *result, void *user)
{
  struct mq_entry *entry = user;
  struct mq_spread_input spread = { .type = MQ_SPREAD_STORE };
  struct mq_owner_input owner = { .type = MQ_OWNER_STORE };

  if ((result->id & MQ_SPREAD_STORE_BIT) != 0)
    {
      spread.u.store = result;
      mq_entry_dispatch_spread (entry, &spread);
    }
  else
    {
      owner.u.store = result;
      mq_entry_dispatch_owner (entry, &owner);
    }
  mq_entry_run_queue (entry);
}

static bool
is_other_host (const struct mq_host *host, const void *data)
{
  const struct mq_entry *entry = data;

  return strcmp (host->address, entry->peer_address) != 0;
}

void
mq_entry_on_hosts (const struct mq_host_list *hosts, void *user)
{
  struct mq_entry *entry = user;
  struct mq_spread_input spread = { .type = MQ_SPREAD_HOSTS };
  struct mq_owner_input owner = { .type = MQ_OWNER_HOSTS };

  mq_connected_hosts_update (entry, &entry->connected, entry->net, hosts,
                             is_other_host, entry);
  spread.u.hosts = hosts;
  mq_entry_dispatch_spread (entry, &spread);
  owner.u.hosts = hosts;
  mq_entry_dispatch_owner (entry, &owner);
  mq_entry_run_queue (entry);
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
  input.deadline_us = mq_clock_us () + (uint64_t)wait_ms * US_PER_MS;
  input.u.request = request;
  mq_entry_dispatch_front (entry, &input);
  mq_entry_run_queue (entry);
}

static void
on_gone (uint64_t handle, void *user)
{
  struct mq_entry *entry = user;
  struct mq_front_input input = { .type = MQ_FRONT_CALLER_GONE };

  input.handle = handle;
  mq_entry_dispatch_front (entry, &input);
  mq_entry_run_queue (entry);
}

static void
on_drain (void *user)
{
  mq_entry_drain (user);
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
  return mq_clock_us ();
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

struct mq_api_callbacks
mq_entry_api_callbacks (struct mq_entry *entry)
{
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

  return callbacks;
}
