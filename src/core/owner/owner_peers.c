/* owner_peers.c - liveness of other entry hosts, and which hosts are eligible
   to own partitions.

   Needs: owner_parts.h, id.h.  */

#include "owner_parts.h"
#include "../id.h"
#include <string.h>

enum
{
  ELIGIBLE_KEY = 7 /* rendezvous hashing key for eligibility */
};

/* ---- Liveness ---- */

bool
peers_is_renewing (const struct mq_owner *owner, const struct sibling *sibling)
{
  uint64_t age = owner->now_us - sibling->counter_us;
  uint64_t lease_us = 1000ULL * owner->text->lease_ms;

  if (!sibling->row_known)
    return false;
  if (sibling->peer == 0 && sibling->peer_down_us != 0
      && owner->now_us - sibling->peer_down_us > 1000ULL * MQ_OWNER_DOWN_MS
      && age > 1000ULL * MQ_OWNER_DOWN_MS)
    return false;
  return age <= lease_us;
}

/* Whether SIBLING can receive partitions.  */
static bool
sibling_is_live (const struct mq_owner *owner, const struct sibling *sibling)
{
  return !sibling->leaving && sibling->eligible
         && peers_is_renewing (owner, sibling);
}

/* Excludes hosts whose row was not renewed for MQ_OWNER_EXPIRY_MS.  Rows of
   dead hosts are never removed and would otherwise fill the eligible set, so
   that live hosts could not own partitions.  */
static bool
is_candidate (const struct mq_owner *owner, const struct sibling *sibling)
{
  return sibling->row_known && !sibling->leaving
         && owner->now_us - sibling->counter_us
                <= 1000ULL * MQ_OWNER_EXPIRY_MS;
}

static void
set_eligible (struct mq_owner *owner, bool eligible)
{
  if (eligible && !owner->eligible)
    {
      /* The row must be renewed before this host claims partitions.  */
      owner->renewed = false;
      owner->next_renew_us = owner->now_us;
    }
  owner->eligible = eligible;
}

/* Selects at most MQ_OWNERS_MAX eligible hosts by rendezvous hashing.  This
   bounds the store's write rate regardless of the number of entry hosts.  */
void
peers_update_eligible (struct mq_owner *owner)
{
  uint64_t own = mq_rendezvous_weight (owner->options.host, ELIGIBLE_KEY);
  uint32_t better_than_self = 0;

  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    {
      uint64_t weight = mq_rendezvous_weight (s->host, ELIGIBLE_KEY);
      uint32_t better = own > weight ? 1 : 0;

      if (weight > own && is_candidate (owner, s))
        better_than_self++;
      for (struct sibling *t = owner->siblings; t != NULL; t = t->next)
        if (t != s && is_candidate (owner, t)
            && mq_rendezvous_weight (t->host, ELIGIBLE_KEY) > weight)
          better++;
      s->eligible = better < MQ_OWNERS_MAX;
    }
  set_eligible (owner, better_than_self < MQ_OWNERS_MAX);
}

void
peers_count_owned (struct mq_owner *owner)
{
  owner->live_hosts = owner->leaving || !owner->eligible ? 0 : 1;
  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    {
      s->owned = 0;
      for (uint32_t i = 0; i < owner->partition_count; i++)
        if (owner->partitions[i].owner != NULL
            && strcmp (owner->partitions[i].owner, s->host) == 0)
          s->owned++;
      if (sibling_is_live (owner, s))
        owner->live_hosts++;
    }
}

uint32_t
peers_count_own (const struct mq_owner *owner)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < owner->partition_count; i++)
    if (owner->partitions[i].state != PARTITION_NOT_OWNED)
      count++;
  return count;
}

uint32_t
peers_fair_share (const struct mq_owner *owner)
{
  uint32_t hosts = owner->live_hosts == 0 ? 1 : owner->live_hosts;

  return (owner->partition_count + hosts - 1) / hosts;
}

/* Returns this host's rank among the live hosts for the partition, from 0.  */
uint32_t
peers_own_rank (const struct mq_owner *owner,
                const struct partition *partition)
{
  uint64_t own = mq_rendezvous_weight (owner->options.host, partition->number);
  uint32_t rank = 0;

  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    if (sibling_is_live (owner, s)
        && mq_rendezvous_weight (s->host, partition->number) > own)
      rank++;
  return rank;
}

/* Returns the live host with the fewest partitions, or NULL if no other host
   is live.  */
struct sibling *
peers_find_successor (struct mq_owner *owner,
                      const struct partition *partition)
{
  struct sibling *best = NULL;
  uint64_t best_weight = 0;

  for (struct sibling *s = owner->siblings; s != NULL; s = s->next)
    {
      uint64_t weight = mq_rendezvous_weight (s->host, partition->number);

      if (!sibling_is_live (owner, s))
        continue;
      if (best != NULL
          && (s->owned > best->owned
              || (s->owned == best->owned && weight <= best_weight)))
        continue;
      best = s;
      best_weight = weight;
    }
  return best;
}
