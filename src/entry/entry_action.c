/* entry_action.c - runs the actions returned by the cores of an entry host.

   Needs: entry_state.h, log.h.  */

#include "entry_state.h"
#include "log/log.h"
#include "net/clock.h"
#include <string.h>

/* Inputs to the cores.  */

void
mq_entry_dispatch_owner (struct mq_entry *entry, struct mq_owner_input *input)
{
  input->now_us = mq_clock_us ();
  mq_owner_handle (entry->owner, input,
                   mq_batch_add (entry, &entry->queue, MQ_FROM_OWNER));
}

void
mq_entry_dispatch_front (struct mq_entry *entry, struct mq_front_input *input)
{
  input->now_us = mq_clock_us ();
  mq_front_handle (entry->front, input,
                   mq_batch_add (entry, &entry->queue, MQ_FROM_FRONT));
}

void
mq_entry_dispatch_spread (struct mq_entry *entry,
                          struct mq_spread_input *input)
{
  input->now_us = mq_clock_us ();
  mq_spread_handle (entry->spread, input,
                    mq_batch_add (entry, &entry->queue, MQ_FROM_SPREAD));
}

/* Actions.  */

/* Reports a forwarded request that could not be sent to the front as not
   run.  The loss of other messages is covered by the report that the
   connection is down.  */
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
  mq_entry_dispatch_front (entry, &input);
}

/* Passes a caller's request, or its end, to the owner in this process.  */
static void
send_self (struct mq_entry *entry, const struct mq_message *message)
{
  struct mq_owner_input input = { .peer = MQ_PEER_SELF };

  if (message->type == MQ_MSG_FORWARD)
    {
      input.type = MQ_OWNER_REQUEST;
      input.handle = message->u.forward.handle;
      input.u.request = &message->u.forward.request;
      mq_entry_dispatch_owner (entry, &input);
    }
  else if (message->type == MQ_MSG_FORWARD_CLOSE)
    {
      input.type = MQ_OWNER_CALLER_GONE;
      input.handle = message->u.forward_close.handle;
      mq_entry_dispatch_owner (entry, &input);
    }
}

static void
run_event_action (struct mq_entry *entry, enum mq_entry_origin origin,
                  const struct mq_action *action)
{
  struct mq_front_input input = { .type = MQ_FRONT_EVENT };
  struct mq_message message = { .type = MQ_MSG_FORWARD_EVENT };

  if (origin == MQ_FROM_FRONT)
    {
      mq_api_event (entry->api, &action->u.event);
      return;
    }
  if (action->peer == MQ_PEER_SELF)
    {
      input.peer = MQ_PEER_SELF;
      input.u.event = &action->u.event;
      mq_entry_dispatch_front (entry, &input);
      return;
    }
  message.u.event = action->u.event;
  send_peer (entry, action->peer, &message);
}

void
mq_entry_run_action (struct mq_entry *entry, enum mq_entry_origin origin,
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
      run_event_action (entry, origin, action);
      break;
    case MQ_ACT_SPAN:
      mq_spans_add (entry->spans, &action->u.span);
      break;
    case MQ_ACT_STATE:
      mq_log_state (&action->u.state);
      break;
    /* Returned only by the core of a target host.  */
    case MQ_ACT_START:
    case MQ_ACT_STOP:
    case MQ_ACT_EVICT:
    case MQ_ACT_ORDER:
      break;
    }
}

/* Configuration.  */

/* Applies the latest configuration.  One that does not parse, for example
   written by a newer mimosactl, is logged and the active one stays.  */
static void
apply_config (struct mq_entry *entry)
{
  const char *source = mq_spread_text (entry->spread);
  struct mq_owner_input input = { .type = MQ_OWNER_CONFIG };
  struct mq_text_errors errors = { 0 };
  struct mq_text *older = entry->text;
  struct mq_text *text
      = mq_text_parse (entry, source, strlen (source), &errors);

  if (text == NULL)
    {
      entry->texts_refused++;
      if (errors.count > 0)
        mq_log_failure (MQ_LOG_TEXT_REFUSED, &errors.items[0]);
      talloc_free (errors.items);
      return;
    }
  text->version = mq_spread_version (entry->spread);
  entry->text = text;
  mq_api_set_text (entry->api, text);
  input.u.text = text;
  mq_entry_dispatch_owner (entry, &input);
  talloc_free (older);
}

void
mq_entry_update_config (struct mq_entry *entry)
{
  uint64_t version = mq_spread_version (entry->spread);

  if (version == entry->seen_version)
    return;
  entry->seen_version = version;
  mq_peer_net_set_version (entry->net, version);
  apply_config (entry);
  mq_entry_release_waiting (entry);
}
