/* owner_evict.c - cache leases of programs, and eviction from the engines when
   programs end.

   Needs: owner_parts.h.  */

#include "owner_parts.h"

enum
{
  EVICT_RETRY_MS = 2000,
  LEASE_DIVISOR = 3 /* renewals per lease */
};

/* ---- Eviction ---- */

static void
send_lease (struct mq_owner *owner, struct running *running,
            struct target *target, enum mq_lease_state state)
{
  struct mq_message message = { .type = MQ_MSG_LEASE };

  message.u.lease.program = running->program->id;
  message.u.lease.partition = running->partition->number;
  message.u.lease.fence = running->partition->fence;
  message.u.lease.state = state;
  message.u.lease.lease_ms = owner->text->cache_lease_ms;
  hosts_send (owner, target, &message);
}

void
evict_send_lease (struct mq_owner *owner, struct running *running,
                  struct target *target)
{
  send_lease (owner, running, target, MQ_LEASE_ACTIVE);
  if (running->lease_us == 0)
    {
      running->lease_us
          = owner->now_us
            + 1000ULL * owner->text->cache_lease_ms / LEASE_DIVISOR;
      owner_set_timer (owner, running, running->lease_us);
    }
}

/* Requests eviction until each target's process confirms.  A restarted process
   holds no leases and evicts unleased cache by itself.  */
void
evict_send (struct mq_owner *owner, struct running *running)
{
  struct cache_location **at = &running->caches;

  while (*at != NULL)
    {
      struct cache_location *place = *at;

      if (place->target->boot != place->boot)
        {
          *at = place->next;
          continue;
        }
      send_lease (owner, running, place->target, MQ_LEASE_ENDED);
      at = &place->next;
    }
  if (running->caches == NULL)
    {
      if (running->evicting)
        owner->counters.evictions_waiting--;
      running->evicting = false;
      return;
    }
  running->evict_us = owner->now_us + 1000ULL * EVICT_RETRY_MS;
  owner_set_timer (owner, running, running->evict_us);
}

void
evict_start (struct mq_owner *owner, struct running *running)
{
  if (running->caches == NULL || running->evicting)
    return;
  running->evicting = true;
  owner->counters.evictions_waiting++;
  evict_send (owner, running);
}

void
evict_on_confirmed (struct mq_owner *owner, struct target *target,
                    struct mq_id program)
{
  struct running *running = chain_find (owner, program);

  if (running == NULL || !running->evicting)
    return;
  for (struct cache_location **at = &running->caches; *at != NULL;
       at = &(*at)->next)
    if ((*at)->target == target)
      {
        *at = (*at)->next;
        owner->counters.evictions_confirmed++;
        break;
      }
  if (running->caches != NULL)
    return;
  running->evicting = false;
  owner->counters.evictions_waiting--;
}

void
evict_renew_leases (struct mq_owner *owner, struct running *running)
{
  const struct call *call = running->call;
  bool active = call != NULL && call->model;

  for (struct cache_location *p = running->caches; p != NULL; p = p->next)
    send_lease (owner, running, p->target,
                active ? MQ_LEASE_ACTIVE : MQ_LEASE_PAUSED);
  running->lease_us
      = owner->now_us + 1000ULL * owner->text->cache_lease_ms / LEASE_DIVISOR;
  owner_set_timer (owner, running, running->lease_us);
}
