/* gate_orders.c - forwards orders to engines and checks their fences.

   The fence is checked here because some engines ignore it.

   Needs: gate_state.h.  */

#include "gate_state.h"
#include <string.h>

static void
send_order_done (struct mq_gate *gate, uint32_t peer, uint64_t order,
                 enum mq_error_type error)
{
  struct mq_message message = { .type = MQ_MSG_ORDER_DONE };

  message.u.order_done.order = order;
  message.u.order_done.error = error;
  mq_gate_send (gate, peer, &message);
}

static struct gate_order *
find_order (const struct gate_worker *worker, uint64_t id)
{
  struct gate_node *node = worker->orders.first;

  while (node != NULL)
    {
      struct gate_order *order
          = GATE_ENTRY (node, struct gate_order, by_worker);

      if (order->order.order == id)
        return order;
      node = node->next;
    }
  return NULL;
}

static void
add_order_action (struct mq_gate *gate, const struct gate_order *order)
{
  struct mq_action *action = mq_actions_add (gate->actions, MQ_ACT_ORDER);

  action->u.order = order->order;
  action->u.order.argument
      = mq_gate_strdup (gate->actions, order->order.argument);
}

/* Adapters with different names coexist; any other order replaces the previous
   one of its type.  */
static bool
is_superseded_by (const struct mq_order_msg *old,
                  const struct mq_order_msg *new)
{
  if (old->type != new->type)
    return false;
  return old->type != MQ_ORDER_LOAD_ADAPTER
         || strcmp (old->argument, new->argument) == 0;
}

static bool
is_effective (const struct gate_order *order)
{
  return order->pending
         || (order->result == MQ_ERR_NONE && !order->superseded);
}

/* Drops the oldest order that is no longer effective, or the oldest of
   all.  */
static void
drop_oldest (struct gate_worker *worker)
{
  struct gate_node *node = worker->orders.first;

  while (node != NULL
         && is_effective (GATE_ENTRY (node, struct gate_order, by_worker)))
    node = node->next;
  if (node == NULL)
    node = worker->orders.first;
  mq_gate_list_remove (&worker->orders, node);
  talloc_free (GATE_ENTRY (node, struct gate_order, by_worker));
}

static struct gate_order *
add_order (struct mq_gate *gate, struct gate_worker *worker, uint32_t peer,
           const struct mq_order_msg *msg)
{
  struct gate_order *order
      = mq_gate_alloc (gate, sizeof *order, "struct gate_order");

  order->order = *msg;
  order->order.argument = mq_gate_strdup (order, msg->argument);
  order->peer = peer;
  order->pending = true;
  mq_gate_list_add (&worker->orders, &order->by_worker);
  if (worker->orders.count > MQ_GATE_ORDERS_MAX)
    drop_oldest (worker);
  return order;
}

/* Refuses orders with a fence below the highest one seen for the worker, so
   that a suspended sender cannot revert the engine to an older model.  A
   duplicate is answered with the retained result.  */
void
mq_gate_handle_order (struct mq_gate *gate, uint32_t peer,
                      const struct mq_order_msg *msg)
{
  struct gate_worker *worker;
  struct gate_order *order;

  if (msg->worker >= gate->worker_count)
    {
      send_order_done (gate, peer, msg->order, MQ_ERR_BAD_REQUEST);
      return;
    }
  worker = &gate->workers[msg->worker];
  if (msg->fence < worker->order_fence)
    {
      send_order_done (gate, peer, msg->order, MQ_ERR_STALE_FENCE);
      return;
    }
  worker->order_fence = msg->fence;
  order = find_order (worker, msg->order);
  if (order != NULL && !order->pending)
    {
      send_order_done (gate, peer, msg->order, order->result);
      return;
    }
  if (order != NULL)
    {
      order->peer = peer;
      return;
    }
  add_order_action (gate, add_order (gate, worker, peer, msg));
}

static void
supersede_earlier (struct gate_worker *worker, const struct gate_order *by)
{
  struct gate_node *node = worker->orders.first;

  while (node != &by->by_worker)
    {
      struct gate_order *order
          = GATE_ENTRY (node, struct gate_order, by_worker);

      if (is_superseded_by (&order->order, &by->order))
        order->superseded = true;
      node = node->next;
    }
}

static void
settle_order (struct mq_gate *gate, struct gate_worker *worker,
              struct gate_order *order, enum mq_error_type error)
{
  if (!order->pending)
    return;
  order->pending = false;
  order->result = error;
  if (error == MQ_ERR_NONE)
    supersede_earlier (worker, order);
  mq_gate_log_state (gate, MQ_STATE_ORDER, order->order.order,
                     mq_error_name (error));
  if (mq_gate_peer_is_up (gate, order->peer))
    send_order_done (gate, order->peer, order->order.order, error);
}

void
mq_gate_handle_order_done (struct mq_gate *gate,
                           const struct mq_order_done_msg *done)
{
  for (size_t i = 0; i < gate->worker_count; i++)
    {
      struct gate_order *order = find_order (&gate->workers[i], done->order);

      if (order != NULL)
        settle_order (gate, &gate->workers[i], order, done->error);
    }
}

/* Repeats the effective orders, oldest first, to an engine that has restarted
   with its initial model.  */
void
mq_gate_orders_resend (struct mq_gate *gate, struct gate_worker *worker)
{
  struct gate_node *node = worker->orders.first;

  while (node != NULL)
    {
      struct gate_order *order
          = GATE_ENTRY (node, struct gate_order, by_worker);

      if (is_effective (order))
        add_order_action (gate, order);
      node = node->next;
    }
}
