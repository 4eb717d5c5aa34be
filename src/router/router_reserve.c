/* router_reserve.c - this host's leases on programs that may begin while the
   platform's table is unavailable.

   Organisations are mapped to the same leases: the holder of an organisation's
   lease issues its permits.

   One call is in flight at a time: a list of all leases, a renewal of
   the leases held, or an attempt to claim free ones.

   Needs: router_state.h, reserve.h, clock.h, proto/turn.pb-c.h.  */

#include "router_state.h"
#include "../../proto/turn.pb-c.h"
#include "core/id.h"
#include "core/memory.h"
#include "core/router/reserve.h"
#include "net/clock.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Each lease is a row of this table, with its slot number as the key.  */
static const char lease_table[] = "lease";

/* Interval of listing all leases, which finds expired leases of lost hosts. */
#define LIST_MS MQ_RESERVE_LEASE_MS
/* Minimum interval of listing when another host's lease may have moved.  */
#define MOVED_LIST_MS 200U
/* Maximum time that a host shutting down keeps leases with lent permits.  */
#define RELEASE_TIMEOUT_MS 1600U
/* Mean pause between attempts to claim free leases, with jitter so that hosts
   that start together all get some.  */
#define CLAIM_MS 250U
/* Maximum packed size: four integers of up to 11 bytes, address and marks.  */
#define ROW_BYTES (52U + MQ_RESERVE_ADDRESS_MAX + MQ_RESERVE_MARK_BYTES)
#define KEY_BYTES 12U

/**
 * struct mq_leases - lease state of this host
 * @busy: a call is in flight
 * @stopped: leases were released; no more are claimed
 * @listed: the leases are known as of @listed_ms
 * @known: the leases were listed at least once
 * @moved: a lease may have moved, at least that of @moved_slot
 * @clock_sample: clock sample from which the call in flight counts
 * @claimed: slots that the call in flight claims
 * @written: leases that it writes, by slot
 */
struct mq_leases
{
  struct mq_router *router;
  struct mq_reserve *reserve;
  bool busy;
  bool stopped;
  bool listed;
  bool known;
  bool moved;
  uint32_t moved_slot;
  uint64_t listed_ms;
  uint64_t renewed_ms;
  uint64_t claim_ms;
  struct mq_reserve_clock_sample clock_sample;
  uint32_t claimed[MQ_RESERVE_SLOTS];
  uint32_t claimed_count;
  struct mq_reserve_lease written[MQ_RESERVE_SLOTS];
};

static struct mq_leases *
create_leases (struct mq_router *router)
{
  struct mq_leases *leases
      = mq_check_alloc (talloc_zero (router, struct mq_leases));

  leases->router = router;
  leases->reserve = mq_check_alloc (mq_reserve_create (
      leases, mq_clock_random (), mq_relay_address (router->relay)));
  return leases;
}

/* An unreadable row counts as a lease without a holder.  */
static struct mq_reserve_lease
read_lease (struct mq_bytes value)
{
  Mqturn__ReserveRow *row
      = mqturn__reserve_row__unpack (NULL, value.len, value.data);
  struct mq_reserve_lease lease = { .holder = 0 };

  if (row == NULL)
    return lease;
  if (strlen (row->address) < sizeof lease.address)
    memcpy (lease.address, row->address, strlen (row->address) + 1);
  lease.holder = row->holder;
  lease.until_ms = row->until_ms;
  /* Marks of another size can't be read.  */
  if (row->marks.len == sizeof lease.marks)
    memcpy (lease.marks, row->marks.data, sizeof lease.marks);
  if (row->marks.len == sizeof lease.marks || row->marks.len == 0)
    lease.issue_from_ms = row->issue_from_ms;
  lease.marks_until_ms = row->marks_until_ms;
  mqturn__reserve_row__free_unpacked (row, NULL);
  return lease;
}

/* Records a lease row.  Returns its slot, MQ_RESERVE_SLOTS if the key is
   invalid.  */
static uint32_t
record_row (struct mq_leases *leases, const struct mq_rows_entry *row)
{
  unsigned long slot = strtoul (row->key, NULL, 10);
  struct mq_reserve_lease lease;

  if (slot >= MQ_RESERVE_SLOTS)
    return MQ_RESERVE_SLOTS;
  lease = read_lease (row->value);
  mq_reserve_record_row (leases->reserve, (uint32_t)slot, &lease, row->version,
                         leases->clock_sample);
  return (uint32_t)slot;
}

static void
on_listed (const struct mq_rows_result *result, void *user)
{
  static const struct mq_reserve_lease unheld = { .holder = 0 };
  struct mq_leases *leases = user;
  bool seen[MQ_RESERVE_SLOTS + 1] = { false };

  leases->busy = false;
  if (result->status != MQ_STORE_OK)
    return;
  for (size_t i = 0; i < result->row_count; i++)
    seen[record_row (leases, &result->rows[i])] = true;
  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    if (!seen[i])
      mq_reserve_record_row (leases->reserve, i, &unheld, 0,
                             leases->clock_sample);
  leases->listed = true;
  leases->known = true;
}

/* Another host wrote first, or the outcome is unknown: updates the leases from
   the rows returned, or lists them again.  */
static void
on_conflict (struct mq_leases *leases, const struct mq_rows_result *result)
{
  if (result->status == MQ_STORE_CONFLICT)
    for (size_t i = 0; i < result->row_count; i++)
      (void)record_row (leases, &result->rows[i]);
  else
    leases->listed = false;
}

static void
record_written (struct mq_leases *leases, uint32_t slot, uint64_t version)
{
  mq_reserve_record_row (leases->reserve, slot, &leases->written[slot],
                         version, leases->clock_sample);
}

static void
on_renewed (const struct mq_rows_result *result, void *user)
{
  struct mq_leases *leases = user;
  uint32_t slots[MQ_RESERVE_SLOTS];
  uint32_t count = mq_reserve_owned (leases->reserve, slots);

  leases->busy = false;
  if (result->status != MQ_STORE_OK)
    {
      on_conflict (leases, result);
      return;
    }
  for (uint32_t i = 0; i < count; i++)
    record_written (leases, slots[i], result->version);
}

static void
on_claimed (const struct mq_rows_result *result, void *user)
{
  struct mq_leases *leases = user;

  leases->busy = false;
  if (result->status != MQ_STORE_OK)
    {
      on_conflict (leases, result);
      return;
    }
  for (uint32_t i = 0; i < leases->claimed_count; i++)
    record_written (leases, leases->claimed[i], result->version);
}

/* Serializes LEASE, allocated under CTX.  */
static struct mq_bytes
pack_lease (TALLOC_CTX *ctx, struct mq_reserve_lease *lease)
{
  Mqturn__ReserveRow row = MQTURN__RESERVE_ROW__INIT;
  struct mq_bytes bytes;

  row.holder = lease->holder;
  row.until_ms = lease->until_ms;
  row.address = lease->address;
  row.issue_from_ms = lease->issue_from_ms;
  row.marks_until_ms = lease->marks_until_ms;
  row.marks.data = lease->marks;
  row.marks.len = lease->marks_until_ms == 0 ? 0 : sizeof lease->marks;
  bytes.data = mq_check_alloc (talloc_size (ctx, ROW_BYTES));
  bytes.len = mqturn__reserve_row__pack (&row, bytes.data);
  return bytes;
}

/* Writes the leases of SLOTS if their rows are unchanged.  */
static void
write_rows (struct mq_leases *leases, const uint32_t *slots, uint32_t count,
            bool release, mq_rows_done *done)
{
  struct mq_rows_entry entries[MQ_RESERVE_SLOTS];
  char keys[MQ_RESERVE_SLOTS][KEY_BYTES];
  TALLOC_CTX *ctx = mq_check_alloc (talloc_new (leases));

  for (uint32_t i = 0; i < count; i++)
    {
      struct mq_reserve_lease *lease = &leases->written[slots[i]];

      *lease = release ? mq_reserve_released_lease (leases->reserve, slots[i],
                                                    leases->clock_sample)
                       : mq_reserve_renewed_lease (leases->reserve, slots[i],
                                                   leases->clock_sample);
      snprintf (keys[i], KEY_BYTES, "%02u", slots[i]);
      entries[i] = (struct mq_rows_entry){
        .table = lease_table,
        .part = "",
        .key = keys[i],
        .version = mq_reserve_version (leases->reserve, slots[i]),
        .value = pack_lease (ctx, lease),
      };
    }
  leases->busy = true;
  if (mq_rows_down (leases->router->rows))
    mq_relay_commit (leases->router->relay, entries, count, done, leases);
  else
    mq_rows_commit (leases->router->rows, entries, count, done, leases);
  talloc_free (ctx);
}

static void
list_leases (struct mq_leases *leases, uint64_t now)
{
  leases->busy = true;
  leases->listed_ms = now;
  leases->moved = false;
  mq_rows_scan (leases->router->rows, lease_table, "", "", MQ_RESERVE_SLOTS,
                on_listed, leases);
}

static void
claim_leases (struct mq_leases *leases, uint64_t now)
{
  struct mq_router *router = leases->router;

  leases->claim_ms
      = now + CLAIM_MS / 2 + mq_random_below (&router->random, CLAIM_MS);
  leases->claimed_count = mq_reserve_claimable (
      leases->reserve, leases->clock_sample,
      1 + mq_relay_host_count (router->relay),
      mq_random_next (&router->random), leases->claimed);
  if (leases->claimed_count > 0)
    write_rows (leases, leases->claimed, leases->claimed_count, false,
                on_claimed);
}

static bool
renew_own (struct mq_leases *leases, uint64_t now)
{
  uint32_t slots[MQ_RESERVE_SLOTS];
  uint32_t count = mq_reserve_owned (leases->reserve, slots);

  if (count == 0 || now - leases->renewed_ms < MQ_RESERVE_RENEW_MS)
    return false;
  leases->renewed_ms = now;
  write_rows (leases, slots, count, false, on_renewed);
  return true;
}

static void
on_lease_read (const struct mq_rows_result *result, void *user)
{
  struct mq_leases *leases = user;

  leases->busy = false;
  if (result->status == MQ_STORE_OK && result->row_count > 0)
    (void)record_row (leases, &result->rows[0]);
}

/* Reads one row through another host, which can't relay a list.  */
static void
read_lease_row (struct mq_leases *leases, uint64_t now)
{
  char key[KEY_BYTES];

  leases->busy = true;
  leases->moved = false;
  leases->listed_ms = now;
  snprintf (key, sizeof key, "%02u", leases->moved_slot);
  mq_relay_get (leases->router->relay, lease_table, "", key, on_lease_read,
                leases);
}

/* Renews leases through other hosts.  Otherwise the leases of a host that the
   table rejects would expire, and requests of their organisations would be
   refused.  */
static void
step_relayed (struct mq_leases *leases, uint64_t now)
{
  if (mq_table_client_down (leases->router->table_client))
    return;
  if ((leases->router->stopping || !renew_own (leases, now)) && leases->moved
      && now - leases->listed_ms >= MOVED_LIST_MS)
    read_lease_row (leases, now);
}

static bool
list_is_due (const struct mq_leases *leases, uint64_t now)
{
  return !leases->listed
         || (leases->moved && now - leases->listed_ms >= MOVED_LIST_MS)
         || now - leases->listed_ms >= LIST_MS;
}

/* Makes the next call that is due.  A host that is shutting down only lists.

   Failure: it keeps requesting permits from hosts that have left, while
   another host issues them.  */
static void
step_leases (struct mq_leases *leases, uint64_t now)
{
  if (list_is_due (leases, now))
    list_leases (leases, now);
  else if (!leases->router->stopping && !renew_own (leases, now)
           && now >= leases->claim_ms)
    claim_leases (leases, now);
}

void
mq_reserve_sweep (struct mq_router *router)
{
  struct mq_leases *leases = router->leases;

  if (leases == NULL)
    leases = router->leases = create_leases (router);
  if (leases->busy
      || !mq_rows_sample_clocks (router->rows, &leases->clock_sample.asked_ms,
                                 &leases->clock_sample.table_ms))
    return;
  if (mq_rows_down (router->rows))
    step_relayed (leases, mq_clock_ms ());
  else
    step_leases (leases, mq_clock_ms ());
}

static void
on_released (const struct mq_rows_result *result, void *user)
{
  struct mq_leases *leases = user;

  /* Leases that were not released expire.  */
  (void)result;
  leases->busy = false;
}

/* Hands SLOT to another host.  A lease that does not arrive expires, and its
   slot issues no tokens for as long as records of programs are kept.  */
static void
hand_over_lease (struct mq_leases *leases, uint32_t slot)
{
  struct mq_router *router = leases->router;
  struct mq_reserve_lease lease
      = mq_reserve_hand_over (leases->reserve, slot, leases->clock_sample);
  struct mq_relay_lease_handover handover
      = { .slot = slot,
          .version = mq_reserve_version (leases->reserve, slot),
          .row = pack_lease (leases, &lease) };

  if (mq_relay_hand_over_lease (router->relay, &handover))
    router->counters.leases_handed_over++;
  talloc_free (handover.row.data);
}

/* Stores the slots of this host without lent permits in SLOTS and returns
   their number.  Those with lent permits must expire: their next holder would
   issue the same permits again.  */
static uint32_t
list_releasable (const struct mq_router *router,
                 uint32_t slots[MQ_RESERVE_SLOTS])
{
  uint32_t own[MQ_RESERVE_SLOTS];
  uint32_t owned = mq_reserve_owned (router->leases->reserve, own);
  uint32_t count = 0;

  for (uint32_t i = 0; i < owned; i++)
    if (!mq_issuing_has_lent (router, own[i]))
      slots[count++] = own[i];
  return count;
}

/* Releases leases in their rows, with the marks of all programs that got
   unrecorded tokens.  While the table is away they are handed over instead: a
   release whose outcome is unknown could be performed late, and two hosts
   would issue.  */
static void
release_leases (struct mq_router *router)
{
  struct mq_leases *leases = router->leases;
  uint32_t slots[MQ_RESERVE_SLOTS];
  uint32_t count = list_releasable (router, slots);
  uint32_t handed[MQ_RESERVE_SLOTS];
  uint32_t handed_count = mq_reserve_handed (leases->reserve, handed);

  leases->stopped = true;
  if (!mq_rows_down (router->rows))
    {
      if (count > 0)
        write_rows (leases, slots, count, true, on_released);
      return;
    }
  for (uint32_t i = 0; i < count; i++)
    hand_over_lease (leases, slots[i]);
  for (uint32_t i = 0; i < handed_count; i++)
    hand_over_lease (leases, handed[i]);
}

void
mq_reserve_on_handover (const struct mq_relay_lease_handover *handover,
                        void *user)
{
  struct mq_router *router = user;
  struct mq_leases *leases = router->leases;
  struct mq_reserve_clock_sample sample;
  struct mq_reserve_lease lease = read_lease (handover->row);

  /* Without the table's clock the lease can't be measured.  */
  if (leases == NULL || leases->stopped || handover->slot >= MQ_RESERVE_SLOTS
      || !mq_rows_sample_clocks (router->rows, &sample.asked_ms,
                                 &sample.table_ms)
      || !mq_reserve_accept (leases->reserve, handover->slot, &lease,
                             handover->version, sample))
    {
      router->counters.leases_refused++;
      return;
    }
  router->counters.leases_taken_over++;
  leases->claim_ms = 0;
}

static bool
has_lent (const struct mq_router *router)
{
  uint32_t own[MQ_RESERVE_SLOTS];
  uint32_t owned = mq_reserve_owned (router->leases->reserve, own);

  for (uint32_t i = 0; i < owned; i++)
    if (mq_issuing_has_lent (router, own[i]))
      return true;
  return false;
}

void
mq_reserve_release_leases (struct mq_router *router)
{
  const struct mq_leases *leases = router->leases;
  uint64_t since = mq_clock_ms () - router->stopping_since_ms;

  if (leases != NULL && !leases->stopped && !leases->busy
      && (since >= RELEASE_TIMEOUT_MS || !has_lent (router)))
    release_leases (router);
}

bool
mq_reserve_may_issue (const struct mq_router *router, const char *program)
{
  const struct mq_leases *leases = router->leases;

  return leases != NULL && !leases->stopped
         && mq_reserve_can_issue (leases->reserve, program,
                                  mq_clock_boot_ms ());
}

bool
mq_reserve_take_issue (struct mq_router *router, const char *program)
{
  struct mq_reserve_own_lease own;

  if (mq_reserve_may_issue (router, program))
    {
      mq_reserve_mark_issued (router->leases->reserve, program);
      router->counters.tokens_issued++;
      return true;
    }
  if (mq_reserve_issues (router, mq_reserve_slot (program), &own))
    router->counters.issue_refused++;
  return false;
}

bool
mq_reserve_issues (const struct mq_router *router, uint32_t slot,
                   struct mq_reserve_own_lease *own)
{
  const struct mq_leases *leases = router->leases;

  return leases != NULL && !leases->stopped
         && mq_reserve_has_lease (leases->reserve, slot, mq_clock_boot_ms (),
                                  own);
}

const char *
mq_reserve_issuer (const struct mq_router *router, uint32_t slot)
{
  const struct mq_leases *leases = router->leases;
  const struct mq_reserve_lease *lease;

  if (leases == NULL || !leases->known)
    return NULL;
  lease = mq_reserve_lease_of (leases->reserve, slot);
  return lease->holder == 0 || lease->address[0] == '\0' ? NULL
                                                         : lease->address;
}

void
mq_reserve_refresh_issuer (struct mq_router *router, uint32_t slot)
{
  struct mq_leases *leases = router->leases;

  if (leases == NULL)
    return;
  leases->moved = true;
  leases->moved_slot = slot;
  leases->claim_ms = 0;
  mq_reserve_sweep (router);
}

bool
mq_reserve_has_prior_leases (const struct mq_router *router)
{
  uint64_t now = mq_clock_boot_ms ();

  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    {
      struct mq_reserve_own_lease own;

      if (mq_reserve_issues (router, i, &own) && now < own.inherited_ms)
        return true;
    }
  return false;
}
