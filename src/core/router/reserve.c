/* reserve.c - slot leases.

   Needs: reserve.h, id.h.  */

#include "reserve.h"
#include "../id.h"
#include <string.h>

/**
 * struct slot - last known row of a slot
 * @version: version of the row, 0 if there is none
 * @own: this host's lease
 */
struct slot
{
  struct mq_reserve_lease lease;
  uint64_t version;
  struct mq_reserve_own_lease own;
};

struct mq_reserve
{
  uint64_t holder;
  char address[MQ_RESERVE_ADDRESS_MAX];
  struct slot slots[MQ_RESERVE_SLOTS];
};

static void
copy_address (char to[MQ_RESERVE_ADDRESS_MAX], const char *address)
{
  size_t len = strlen (address);

  if (len >= MQ_RESERVE_ADDRESS_MAX)
    len = 0;
  memcpy (to, address, len);
  to[len] = '\0';
}

struct mq_reserve *
mq_reserve_create (TALLOC_CTX *ctx, uint64_t holder, const char *address)
{
  struct mq_reserve *reserve = talloc_zero (ctx, struct mq_reserve);

  if (reserve == NULL)
    return NULL;
  reserve->holder = holder;
  copy_address (reserve->address, address);
  return reserve;
}

uint32_t
mq_reserve_slot (const char *program)
{
  return (uint32_t)(mq_hash_bytes (program, strlen (program), 2)
                    % MQ_RESERVE_SLOTS);
}

/* Whether an earlier run of this host holds the lease.  Runs do not overlap,
   so the lease can be taken over at once; grants of the earlier run are
   unknown.
 */
static bool
is_earlier_run (const struct mq_reserve *reserve,
                const struct mq_reserve_lease *lease)
{
  return lease->holder != reserve->holder && lease->holder != 0
         && lease->address[0] != '\0'
         && strcmp (lease->address, reserve->address) == 0;
}

static void
start_lease (const struct mq_reserve *reserve, struct slot *at,
             struct mq_reserve_clock_sample sample)
{
  uint64_t earlier = at->lease.until_ms + MQ_RESERVE_GRACE_MS;

  at->own.since_ms = sample.asked_ms;
  at->own.inherited_ms = 0;
  if (is_earlier_run (reserve, &at->lease) && earlier > sample.table_ms)
    at->own.inherited_ms = sample.asked_ms + earlier - sample.table_ms;
}

void
mq_reserve_record_row (struct mq_reserve *reserve, uint32_t slot,
                       struct mq_reserve_lease lease, uint64_t version,
                       struct mq_reserve_clock_sample sample)
{
  struct slot *at = &reserve->slots[slot];
  uint64_t left = lease.until_ms > sample.table_ms
                      ? lease.until_ms - sample.table_ms
                      : 0;

  if (lease.holder != reserve->holder)
    at->own = (struct mq_reserve_own_lease){ 0, 0, 0 };
  else if (at->own.until_ms == 0 || at->own.until_ms < sample.asked_ms)
    start_lease (reserve, at, sample);
  if (lease.holder == reserve->holder)
    at->own.until_ms = sample.asked_ms + left;
  at->lease = lease;
  at->version = version;
}

uint32_t
mq_reserve_owned (const struct mq_reserve *reserve,
                  uint32_t slots[MQ_RESERVE_SLOTS])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    if (reserve->slots[i].lease.holder == reserve->holder)
      slots[count++] = i;
  return count;
}

static bool
is_claimable (const struct mq_reserve *reserve, const struct slot *slot,
              uint64_t table_ms)
{
  return slot->lease.holder == 0 || is_earlier_run (reserve, &slot->lease)
         || slot->lease.until_ms + MQ_RESERVE_GRACE_MS < table_ms;
}

/* Maximum number of slots per host.  */
static uint32_t
share_of (size_t hosts)
{
  size_t holders = hosts < MQ_RESERVE_HOLDERS ? hosts : MQ_RESERVE_HOLDERS;

  return MQ_RESERVE_SLOTS / (uint32_t)(holders == 0 ? 1 : holders);
}

uint32_t
mq_reserve_claimable (const struct mq_reserve *reserve,
                      struct mq_reserve_clock_sample sample, size_t hosts,
                      uint64_t random, uint32_t slots[MQ_RESERVE_SLOTS])
{
  uint32_t own[MQ_RESERVE_SLOTS];
  uint32_t owned = mq_reserve_owned (reserve, own);
  uint32_t share = share_of (hosts);
  uint32_t count = 0;

  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    if (is_earlier_run (reserve, &reserve->slots[i].lease))
      slots[count++] = i;
  if (count > 0)
    return count;
  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    {
      uint32_t at = (uint32_t)((random + i) % MQ_RESERVE_SLOTS);

      if (count == MQ_RESERVE_CLAIM_MAX || owned + count >= share)
        break;
      if (reserve->slots[at].lease.holder != reserve->holder
          && is_claimable (reserve, &reserve->slots[at], sample.table_ms))
        slots[count++] = at;
    }
  return count;
}

struct mq_reserve_lease
mq_reserve_renewed_lease (const struct mq_reserve *reserve,
                          struct mq_reserve_clock_sample sample)
{
  struct mq_reserve_lease lease
      = { reserve->holder, sample.table_ms + MQ_RESERVE_LEASE_MS, "" };

  copy_address (lease.address, reserve->address);
  return lease;
}

uint64_t
mq_reserve_version (const struct mq_reserve *reserve, uint32_t slot)
{
  return reserve->slots[slot].version;
}

bool
mq_reserve_can_issue (const struct mq_reserve *reserve, uint32_t slot,
                      uint64_t now_ms)
{
  const struct mq_reserve_own_lease *own = &reserve->slots[slot].own;

  return now_ms < own->until_ms && now_ms >= own->inherited_ms;
}

bool
mq_reserve_has_lease (const struct mq_reserve *reserve, uint32_t slot,
                      uint64_t now_ms, struct mq_reserve_own_lease *own)
{
  *own = reserve->slots[slot].own;
  return now_ms < own->until_ms;
}

const struct mq_reserve_lease *
mq_reserve_lease_of (const struct mq_reserve *reserve, uint32_t slot)
{
  return &reserve->slots[slot].lease;
}
