/* action.c - action lists and deep copies of messages.

   Needs: action.h.  */

#include "action.h"
#include "memory.h"
#include <stdlib.h>
#include <string.h>

enum
{
  FIRST_ROOM = 16
};

struct mq_actions *
mq_actions_create (TALLOC_CTX *ctx)
{
  struct mq_actions *actions = talloc_zero (ctx, struct mq_actions);

  if (actions == NULL)
    abort ();
  return actions;
}

struct mq_action *
mq_actions_add (struct mq_actions *actions, enum mq_action_type type)
{
  struct mq_action *action;

  if (actions->count == actions->room)
    {
      size_t room = actions->room == 0 ? FIRST_ROOM : 2 * actions->room;

      actions->items
          = talloc_realloc (actions, actions->items, struct mq_action, room);
      if (actions->items == NULL)
        abort ();
      actions->room = room;
    }
  action = &actions->items[actions->count++];
  memset (action, 0, sizeof *action);
  action->type = type;
  return action;
}

void
mq_actions_send (struct mq_actions *actions, uint32_t peer,
                 const struct mq_message *message)
{
  struct mq_action *action = mq_actions_add (actions, MQ_ACT_SEND);

  action->peer = peer;
  mq_message_copy (actions, &action->u.message, message);
}

void
mq_actions_clear (struct mq_actions *actions)
{
  actions->items = NULL;
  actions->count = 0;
  actions->room = 0;
  talloc_free_children (actions);
}

static void *
copy_array (TALLOC_CTX *ctx, const void *items, size_t size)
{
  void *copy;

  if (size == 0)
    return NULL;
  copy = talloc_memdup (ctx, items, size);
  if (copy == NULL)
    abort ();
  return copy;
}

void
mq_request_copy (TALLOC_CTX *ctx, struct mq_request_msg *to,
                 const struct mq_request_msg *from)
{
  *to = *from;
  to->organisation = mq_text_copy (ctx, from->organisation);
  to->service = mq_text_copy (ctx, from->service);
  to->route = mq_text_copy (ctx, from->route);
  to->key = mq_text_copy (ctx, from->key);
  to->traceparent = mq_text_copy (ctx, from->traceparent);
  to->body = mq_text_copy (ctx, from->body);
}

static void
copy_load (TALLOC_CTX *ctx, struct mq_load_msg *load)
{
  load->workers = copy_array (ctx, load->workers,
                              load->worker_count * sizeof load->workers[0]);
  for (size_t i = 0; i < load->worker_count; i++)
    {
      load->workers[i].service = mq_text_copy (ctx, load->workers[i].service);
      load->workers[i].model = mq_text_copy (ctx, load->workers[i].model);
    }
}

void
mq_message_copy (TALLOC_CTX *ctx, struct mq_message *to,
                 const struct mq_message *from)
{
  *to = *from;
  switch (from->type)
    {
    case MQ_MSG_CALL:
      to->u.call.service = mq_text_copy (ctx, from->u.call.service);
      to->u.call.route = mq_text_copy (ctx, from->u.call.route);
      to->u.call.organisation = mq_text_copy (ctx, from->u.call.organisation);
      to->u.call.traceparent = mq_text_copy (ctx, from->u.call.traceparent);
      to->u.call.body = mq_text_copy (ctx, from->u.call.body);
      break;
    case MQ_MSG_ORDER:
      to->u.order.argument = mq_text_copy (ctx, from->u.order.argument);
      break;
    case MQ_MSG_TOKEN:
      to->u.token.text = mq_text_copy (ctx, from->u.token.text);
      break;
    case MQ_MSG_OUTCOME:
      to->u.outcome.body = mq_text_copy (ctx, from->u.outcome.body);
      break;
    case MQ_MSG_RECOVERED:
      to->u.recovered.running
          = copy_array (ctx, from->u.recovered.running,
                        from->u.recovered.running_count
                            * sizeof from->u.recovered.running[0]);
      break;
    case MQ_MSG_LOAD:
      copy_load (ctx, &to->u.load);
      break;
    case MQ_MSG_FORWARD:
      mq_request_copy (ctx, &to->u.forward.request, &from->u.forward.request);
      break;
    case MQ_MSG_FORWARD_EVENT:
      to->u.event.body = mq_text_copy (ctx, from->u.event.body);
      to->u.event.redirect = mq_text_copy (ctx, from->u.event.redirect);
      break;
    case MQ_MSG_HANDOVER:
      to->u.handover.partitions
          = copy_array (ctx, from->u.handover.partitions,
                        from->u.handover.partition_count
                            * sizeof from->u.handover.partitions[0]);
      break;
    case MQ_MSG_CONFIG_HAVE:
    case MQ_MSG_CONFIG_GET:
    case MQ_MSG_CONFIG_TEXT:
      to->u.config.text = mq_text_copy (ctx, from->u.config.text);
      break;
    case MQ_MSG_NONE:
    case MQ_MSG_CANCEL:
    case MQ_MSG_SEAL:
    case MQ_MSG_RECOVER:
    case MQ_MSG_FORGET:
    case MQ_MSG_LEASE:
    case MQ_MSG_PROBE:
    case MQ_MSG_SEALED:
    case MQ_MSG_EVICTED:
    case MQ_MSG_ORDER_DONE:
    case MQ_MSG_PROBED:
    case MQ_MSG_FORWARD_CLOSE:
    case MQ_MSG_TYPE_COUNT:
      break;
    }
}

const char *
mq_message_name (enum mq_message_type type)
{
  static const char *const names[] = {
    [MQ_MSG_NONE] = "none",
    [MQ_MSG_CALL] = "call",
    [MQ_MSG_CANCEL] = "cancel",
    [MQ_MSG_SEAL] = "seal",
    [MQ_MSG_RECOVER] = "recover",
    [MQ_MSG_FORGET] = "forget",
    [MQ_MSG_LEASE] = "lease",
    [MQ_MSG_ORDER] = "order",
    [MQ_MSG_PROBE] = "probe",
    [MQ_MSG_TOKEN] = "token",
    [MQ_MSG_OUTCOME] = "outcome",
    [MQ_MSG_SEALED] = "sealed",
    [MQ_MSG_RECOVERED] = "recovered",
    [MQ_MSG_EVICTED] = "evicted",
    [MQ_MSG_LOAD] = "load",
    [MQ_MSG_ORDER_DONE] = "order_done",
    [MQ_MSG_PROBED] = "probed",
    [MQ_MSG_FORWARD] = "forward",
    [MQ_MSG_FORWARD_EVENT] = "forward_event",
    [MQ_MSG_FORWARD_CLOSE] = "forward_close",
    [MQ_MSG_HANDOVER] = "handover",
    [MQ_MSG_CONFIG_HAVE] = "config_have",
    [MQ_MSG_CONFIG_GET] = "config_get",
    [MQ_MSG_CONFIG_TEXT] = "config_text",
  };

  if ((unsigned int)type >= MQ_MSG_TYPE_COUNT)
    return "unknown";
  return names[type];
}
