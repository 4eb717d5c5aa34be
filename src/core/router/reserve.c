/* reserve.c - slot leases.

   Needs: reserve.h, id.h.  */

#include "reserve.h"
#include "../id.h"
#include <string.h>

/**
 * struct slot - last known row of a slot
 * @version: version of the row, 0 if there is none
 * @own: this host's lease
 * @unwritten: programs that got unrecorded tokens, not marked in the row yet
 * @handed_until_ms: expiry of a lease that another host handed over, host's
 *                   clock; 0 if there is none.  @lease is that host's, with
 *                   marks that the row may lack
 * @handed_issue_from_ms: from when on tokens may be issued under it
 */
struct slot
{
  struct mq_reserve_lease lease;
  uint64_t version;
  struct mq_reserve_own_lease own;
  uint8_t unwritten[MQ_RESERVE_MARK_BYTES];
  uint64_t handed_until_ms;
  uint64_t handed_issue_from_ms;
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

static uint32_t
mark_of (const char *program)
{
  return (uint32_t)(mq_hash_bytes (program, strlen (program), 3)
                    % MQ_RESERVE_MARKS);
}

static bool
has_mark (const uint8_t marks[MQ_RESERVE_MARK_BYTES], uint32_t mark)
{
  return (marks[mark / 8U] >> mark % 8U & 1U) != 0;
}

static bool
is_empty (const uint8_t marks[MQ_RESERVE_MARK_BYTES])
{
  for (uint32_t i = 0; i < MQ_RESERVE_MARK_BYTES; i++)
    if (marks[i] != 0)
      return false;
  return true;
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

/* The host's clock when the lease expires.  */
static uint64_t
expiry_of (const struct mq_reserve_lease *lease,
           struct mq_reserve_clock_sample sample)
{
  uint64_t left_ms = lease->until_ms > sample.table_ms
                         ? lease->until_ms - sample.table_ms
                         : 0;

  return sample.asked_ms + left_ms;
}

/* The host's clock when the lease allows to issue tokens.  */
static uint64_t
issue_from (const struct mq_reserve_lease *lease,
            struct mq_reserve_clock_sample sample)
{
  if (lease->issue_from_ms == 0)
    return UINT64_MAX;
  if (lease->issue_from_ms <= sample.table_ms)
    return 0;
  return sample.asked_ms + MQ_RESERVE_GRACE_MS + lease->issue_from_ms
         - sample.table_ms;
}

static void
record_own (struct mq_reserve *reserve, struct slot *at,
            const struct mq_reserve_lease *lease,
            struct mq_reserve_clock_sample sample)
{
  if (at->own.until_ms == 0 || at->own.until_ms < sample.asked_ms)
    start_lease (reserve, at, sample);
  at->own.until_ms = expiry_of (lease, sample);
  at->own.issue_from_ms = issue_from (lease, sample);
  for (uint32_t i = 0; i < MQ_RESERVE_MARK_BYTES; i++)
    at->unwritten[i] &= (uint8_t)~lease->marks[i];
}

static bool
is_handed (const struct slot *at)
{
  return at->handed_until_ms != 0;
}

static void
end_handed (struct slot *at)
{
  at->handed_until_ms = 0;
  at->handed_issue_from_ms = 0;
}

static void
end_own (struct slot *at)
{
  at->own = (struct mq_reserve_own_lease){ 0, 0, 0, 0 };
  memset (at->unwritten, 0, sizeof at->unwritten);
}

void
mq_reserve_record_row (struct mq_reserve *reserve, uint32_t slot,
                       const struct mq_reserve_lease *lease, uint64_t version,
                       struct mq_reserve_clock_sample sample)
{
  struct slot *at = &reserve->slots[slot];

  /* The row that was handed over, or one that was read before.  */
  if (is_handed (at) && version != 0 && version <= at->version)
    return;
  end_handed (at);
  if (lease->holder == reserve->holder)
    record_own (reserve, at, lease, sample);
  else
    end_own (at);
  at->lease = *lease;
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
    if (is_earlier_run (reserve, &reserve->slots[i].lease)
        || is_handed (&reserve->slots[i]))
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

/* Whether the lease of AT tells all that was issued in the slot: there never
   was one, the last holder released it, or this host holds it or was handed
   it.  */
static bool
knows_issues (const struct mq_reserve *reserve, const struct slot *at)
{
  if (at->version == 0)
    return true;
  return at->lease.issue_from_ms != 0
         && (at->lease.holder == 0 || at->lease.holder == reserve->holder
             || is_handed (at));
}

/* Sets from when on tokens may be issued, and who got some.  */
static void
set_issues (const struct mq_reserve *reserve, const struct slot *at,
            uint64_t table_ms, struct mq_reserve_lease *lease)
{
  if (!knows_issues (reserve, at))
    {
      lease->issue_from_ms = table_ms + MQ_RESERVE_MEMORY_MS;
      return;
    }
  lease->issue_from_ms = at->version == 0 ? 1 : at->lease.issue_from_ms;
  if (at->version != 0 && at->lease.marks_until_ms > table_ms)
    {
      lease->marks_until_ms = at->lease.marks_until_ms;
      memcpy (lease->marks, at->lease.marks, sizeof lease->marks);
    }
  if (is_empty (at->unwritten))
    return;
  lease->marks_until_ms = table_ms + MQ_RESERVE_MEMORY_MS;
  for (uint32_t i = 0; i < MQ_RESERVE_MARK_BYTES; i++)
    lease->marks[i] |= at->unwritten[i];
}

struct mq_reserve_lease
mq_reserve_renewed_lease (const struct mq_reserve *reserve, uint32_t slot,
                          struct mq_reserve_clock_sample sample)
{
  struct mq_reserve_lease lease
      = { .holder = reserve->holder,
          .until_ms = sample.table_ms + MQ_RESERVE_LEASE_MS };

  copy_address (lease.address, reserve->address);
  set_issues (reserve, &reserve->slots[slot], sample.table_ms, &lease);
  return lease;
}

struct mq_reserve_lease
mq_reserve_released_lease (const struct mq_reserve *reserve, uint32_t slot,
                           struct mq_reserve_clock_sample sample)
{
  struct mq_reserve_lease lease = { .holder = 0 };

  set_issues (reserve, &reserve->slots[slot], sample.table_ms, &lease);
  return lease;
}

/* Marks count until the record of a program that got tokens at the end of the
   lease is gone.  */
struct mq_reserve_lease
mq_reserve_hand_over (struct mq_reserve *reserve, uint32_t slot,
                      struct mq_reserve_clock_sample sample)
{
  struct slot *at = &reserve->slots[slot];
  struct mq_reserve_lease lease
      = { .holder = at->lease.holder, .until_ms = at->lease.until_ms };

  copy_address (lease.address, at->lease.address);
  set_issues (reserve, at, sample.table_ms, &lease);
  if (lease.marks_until_ms != 0)
    lease.marks_until_ms = lease.until_ms + MQ_RESERVE_MEMORY_MS;
  end_handed (at);
  end_own (at);
  return lease;
}

bool
mq_reserve_accept (struct mq_reserve *reserve, uint32_t slot,
                   const struct mq_reserve_lease *lease, uint64_t version,
                   struct mq_reserve_clock_sample sample)
{
  struct slot *at = &reserve->slots[slot];

  if (version < at->version || lease->holder == 0 || lease->issue_from_ms == 0)
    return false;
  end_own (at);
  at->lease = *lease;
  at->version = version;
  at->handed_until_ms = expiry_of (lease, sample);
  at->handed_issue_from_ms = issue_from (lease, sample);
  return true;
}

uint32_t
mq_reserve_handed (const struct mq_reserve *reserve,
                   uint32_t slots[MQ_RESERVE_SLOTS])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    if (is_handed (&reserve->slots[i]))
      slots[count++] = i;
  return count;
}

uint64_t
mq_reserve_version (const struct mq_reserve *reserve, uint32_t slot)
{
  return reserve->slots[slot].version;
}

bool
mq_reserve_can_issue (const struct mq_reserve *reserve, const char *program,
                      uint64_t now_ms)
{
  const struct slot *at = &reserve->slots[mq_reserve_slot (program)];
  uint32_t mark = mark_of (program);
  bool handed = is_handed (at);
  uint64_t until_ms = handed ? at->handed_until_ms : at->own.until_ms;
  uint64_t from_ms = handed ? at->handed_issue_from_ms : at->own.issue_from_ms;

  return now_ms < until_ms && now_ms >= from_ms
         && !has_mark (at->lease.marks, mark)
         && !has_mark (at->unwritten, mark);
}

void
mq_reserve_mark_issued (struct mq_reserve *reserve, const char *program)
{
  struct slot *at = &reserve->slots[mq_reserve_slot (program)];
  uint32_t mark = mark_of (program);

  at->unwritten[mark / 8U] |= (uint8_t)(1U << mark % 8U);
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
