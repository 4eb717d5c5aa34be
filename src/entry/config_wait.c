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

struct waiting
{
  struct waiting *next;
  uint32_t peer;
  uint64_t until_us;
  struct mq_message message;
};

struct mq_config_wait
{
  struct waiting *first; /* in order of arrival */
  struct waiting *last;
  size_t count;
};

struct mq_config_wait *
mq_config_wait_create (TALLOC_CTX *ctx)
{
  struct mq_config_wait *queue = talloc_zero (ctx, struct mq_config_wait);

  if (queue == NULL)
    abort ();
  return queue;
}

static bool
peer_has_waiting (const struct mq_config_wait *queue, uint32_t peer)
{
  const struct waiting *entry = queue->first;

  while (entry != NULL && entry->peer != peer)
    entry = entry->next;
  return entry != NULL;
}

bool
mq_config_wait_add (struct mq_config_wait *queue, uint64_t now_us,
                    uint64_t version, uint32_t peer,
                    const struct mq_message *message)
{
  struct waiting *entry;

  if (queue->first == NULL && message->config_version <= version)
    return false;
  if (message->config_version <= version && !peer_has_waiting (queue, peer))
    return false;
  if (queue->count >= MQ_CONFIG_WAITERS_MAX)
    return false;
  entry = talloc_zero (queue, struct waiting);
  if (entry == NULL)
    abort ();
  entry->peer = peer;
  entry->until_us = now_us + (uint64_t)MQ_CONFIG_WAIT_MS * US_PER_MS;
  mq_message_copy (entry, &entry->message, message);
  if (queue->last == NULL)
    queue->first = entry;
  else
    queue->last->next = entry;
  queue->last = entry;
  queue->count++;
  return true;
}

/* Unlinks ENTRY, whose predecessor is BEFORE.  */
static void
unlink_entry (struct mq_config_wait *queue, struct waiting *before,
              struct waiting *entry)
{
  if (before == NULL)
    queue->first = entry->next;
  else
    before->next = entry->next;
  if (queue->last == entry)
    queue->last = before;
  queue->count--;
}

void
mq_config_wait_release (struct mq_config_wait *queue, uint64_t now_us,
                        uint64_t version, mq_config_wait_deliver *out,
                        void *user)
{
  while (queue->first != NULL)
    {
      struct waiting *entry = queue->first;

      /* Delivering from the head only preserves each peer's order.  */
      if (entry->message.config_version > version && now_us < entry->until_us)
        return;
      unlink_entry (queue, NULL, entry);
      out (entry->peer, &entry->message, user);
      talloc_free (entry);
    }
}

void
mq_config_wait_drop_peer (struct mq_config_wait *queue, uint32_t peer)
{
  struct waiting *before = NULL;
  struct waiting *entry = queue->first;

  while (entry != NULL)
    {
      struct waiting *next = entry->next;

      if (entry->peer == peer)
        {
          unlink_entry (queue, before, entry);
          talloc_free (entry);
        }
      else
        before = entry;
      entry = next;
    }
}

uint64_t
mq_config_wait_next (const struct mq_config_wait *queue)
{
  return queue->first == NULL ? UINT64_MAX : queue->first->until_us;
}
