/* reserve.c - which host may let programs begin while the table is away.

   Needs: reserve.h, id.h.  */

#include "reserve.h"
#include "../id.h"
#include <string.h>

/**
 * struct slot - what is known of a slot
 * @version: of its row, 0: there is none
 * @holds_until_ms: by this host's clock, 0: the lease is another one's
 */
struct slot
{
  struct mq_reserve_lease lease;
  uint64_t version;
  uint64_t holds_until_ms;
};

struct mq_reserve
{
  uint64_t holder;
  struct slot slots[MQ_RESERVE_SLOTS];
};

struct mq_reserve *
mq_reserve_create (TALLOC_CTX *ctx, uint64_t holder)
{
  struct mq_reserve *reserve = talloc_zero (ctx, struct mq_reserve);

  if (reserve != NULL)
    reserve->holder = holder;
  return reserve;
}

uint32_t
mq_reserve_slot (const char *program)
{
  return (uint32_t)(mq_hash_bytes (program, strlen (program), 2)
                    % MQ_RESERVE_SLOTS);
}

void
mq_reserve_read (struct mq_reserve *reserve, uint32_t slot,
                 struct mq_reserve_lease lease, uint64_t version,
                 struct mq_reserve_moment moment)
{
  struct slot *at = &reserve->slots[slot];
  uint64_t left = lease.until_ms > moment.table_ms
                      ? lease.until_ms - moment.table_ms
                      : 0;

  at->lease = lease;
  at->version = version;
  at->holds_until_ms
      = lease.holder == reserve->holder ? moment.asked_ms + left : 0;
}

uint32_t
mq_reserve_own (const struct mq_reserve *reserve,
                uint32_t slots[MQ_RESERVE_SLOTS])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    if (reserve->slots[i].lease.holder == reserve->holder)
      slots[count++] = i;
  return count;
}

static bool
is_free (const struct slot *slot, uint64_t table_ms)
{
  return slot->lease.holder == 0
         || slot->lease.until_ms + MQ_RESERVE_MARGIN_MS < table_ms;
}

/* Slots that one of HOSTS hosts takes at most.  */
static uint32_t
share_of (size_t hosts)
{
  size_t holders = hosts < MQ_RESERVE_HOLDERS ? hosts : MQ_RESERVE_HOLDERS;

  return MQ_RESERVE_SLOTS / (uint32_t)(holders == 0 ? 1 : holders);
}

uint32_t
mq_reserve_free (const struct mq_reserve *reserve,
                 struct mq_reserve_moment moment, size_t hosts,
                 uint64_t random, uint32_t slots[MQ_RESERVE_CLAIM])
{
  uint32_t own[MQ_RESERVE_SLOTS];
  uint32_t owned = mq_reserve_own (reserve, own);
  uint32_t share = share_of (hosts);
  uint32_t count = 0;

  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    {
      uint32_t at = (uint32_t)((random + i) % MQ_RESERVE_SLOTS);

      if (count == MQ_RESERVE_CLAIM || owned + count >= share)
        break;
      if (reserve->slots[at].lease.holder != reserve->holder
          && is_free (&reserve->slots[at], moment.table_ms))
        slots[count++] = at;
    }
  return count;
}

struct mq_reserve_lease
mq_reserve_next (const struct mq_reserve *reserve,
                 struct mq_reserve_moment moment)
{
  return (struct mq_reserve_lease){ reserve->holder,
                                    moment.table_ms + MQ_RESERVE_LEASE_MS };
}

uint64_t
mq_reserve_version (const struct mq_reserve *reserve, uint32_t slot)
{
  return reserve->slots[slot].version;
}

bool
mq_reserve_holds (const struct mq_reserve *reserve, uint32_t slot,
                  uint64_t now_ms)
{
  return now_ms < reserve->slots[slot].holds_until_ms;
}
