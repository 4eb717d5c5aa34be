/* config_wait.c - queue of forwarded requests that wait for a newer
   configuration.

   Needs: config_wait.h, action.h (copies of messages), limits.h.  */

#include "config_wait.h"
#include "core/action.h"
#include "core/limits.h"
#include <stdlib.h>

enum
{
  US_PER_MS = 1000
};

struct held
{
  struct held *next;
  uint32_t peer;
  uint64_t until_us;
  struct mq_message message;
};

struct mq_config_wait
{
  struct held *first; /* in order of arrival */
  struct held *last;
  size_t count;
};

struct mq_config_wait *
mq_config_wait_create (TALLOC_CTX *ctx)
{
  struct mq_config_wait *hold = talloc_zero (ctx, struct mq_config_wait);

  if (hold == NULL)
    abort ();
  return hold;
}

static bool
peer_waits (const struct mq_config_wait *hold, uint32_t peer)
{
  const struct held *held = hold->first;

  while (held != NULL && held->peer != peer)
    held = held->next;
  return held != NULL;
}

bool
mq_config_wait_add (struct mq_config_wait *hold, uint64_t now_us,
                    uint64_t version, uint32_t peer,
                    const struct mq_message *message)
{
  struct held *held;

  if (hold->first == NULL && message->config_version <= version)
    return false;
  if (message->config_version <= version && !peer_waits (hold, peer))
    return false;
  if (hold->count >= MQ_HOLD_MAX)
    return false;
  held = talloc_zero (hold, struct held);
  if (held == NULL)
    abort ();
  held->peer = peer;
  held->until_us = now_us + (uint64_t)MQ_HOLD_MS * US_PER_MS;
  mq_message_copy (held, &held->message, message);
  if (hold->last == NULL)
    hold->first = held;
  else
    hold->last->next = held;
  hold->last = held;
  hold->count++;
  return true;
}

/* Unlinks HELD, whose predecessor is BEFORE.  */
static void
unlink_held (struct mq_config_wait *hold, struct held *before,
             struct held *held)
{
  if (before == NULL)
    hold->first = held->next;
  else
    before->next = held->next;
  if (hold->last == held)
    hold->last = before;
  hold->count--;
}

void
mq_config_wait_release (struct mq_config_wait *hold, uint64_t now_us,
                        uint64_t version, mq_config_wait_deliver *out,
                        void *user)
{
  while (hold->first != NULL)
    {
      struct held *held = hold->first;

      /* Delivering from the head only preserves each peer's order.  */
      if (held->message.config_version > version && now_us < held->until_us)
        return;
      unlink_held (hold, NULL, held);
      out (held->peer, &held->message, user);
      talloc_free (held);
    }
}

void
mq_config_wait_drop_peer (struct mq_config_wait *hold, uint32_t peer)
{
  struct held *before = NULL;
  struct held *held = hold->first;

  while (held != NULL)
    {
      struct held *next = held->next;

      if (held->peer == peer)
        {
          unlink_held (hold, before, held);
          talloc_free (held);
        }
      else
        before = held;
      held = next;
    }
}

uint64_t
mq_config_wait_next (const struct mq_config_wait *hold)
{
  return hold->first == NULL ? UINT64_MAX : hold->first->until_us;
}
