/* router_reserve.c - this host's leases on programs that may begin while the
   platform's table is away.

   Organisations are spread over the same leases: whoever has that of an
   organisation issues its permits.

   One call at a time: a list of all leases, the renewal of those that this
   host has, or an attempt to take a free one.
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

/* Leases are rows of this table, each under its slot's number.  */
static const char lease_table[] = "lease";

/* All leases are listed this often, so that those of a lost host are taken
   over soon after they have run out.  */
#define LIST_MS MQ_RESERVE_LEASE_MS
/* The least pause between two lists, when another host's lease has moved.  */
#define LOOK_MS 200U
/* A host that leaves gives its leases back after so long at the latest.  */
#define LEAVE_MS 1600U
/* Pause between two attempts to take free ones, half of it left to chance, so
   that hosts which start together all get some.  */
#define CLAIM_MS 250U
/* Bytes of a row: two numbers of at most 11 bytes, an address.  */
#define ROW_BYTES (24U + MQ_RESERVE_ADDRESS_MAX)
#define KEY_BYTES 12U

/**
 * struct mq_leases - what this host does about them
 * @busy: a call is under way
 * @stopped: this host takes and holds no more
 * @listed: all leases are known as of @listed_ms
 * @known: they were listed once
 * @look: some of them may have moved, that of @look_slot for one
 * @moment: that the call under way counts from
 * @claimed: slots that the call under way is to take
 * @claimed_count: how many
 */
struct mq_leases
{
  struct mq_router *router;
  struct mq_reserve *reserve;
  bool busy;
  bool stopped;
  bool listed;
  bool known;
  bool look;
  uint32_t look_slot;
  uint64_t listed_ms;
  uint64_t renewed_ms;
  uint64_t claim_ms;
  struct mq_reserve_moment moment;
  uint32_t claimed[MQ_RESERVE_SLOTS];
  uint32_t claimed_count;
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

/* A row that can't be read is taken for a lease without a holder.  */
static struct mq_reserve_lease
read_lease (struct mq_bytes value)
{
  Mqturn__ReserveRow *row
      = mqturn__reserve_row__unpack (NULL, value.len, value.data);
  struct mq_reserve_lease lease = { 0, 0, "" };

  if (row == NULL)
    return lease;
  if (strlen (row->address) < sizeof lease.address)
    memcpy (lease.address, row->address, strlen (row->address) + 1);
  lease.holder = row->holder;
  lease.until_ms = row->until_ms;
  mqturn__reserve_row__free_unpacked (row, NULL);
  return lease;
}

/* Slot of the row, MQ_RESERVE_SLOTS: none.  */
static uint32_t
take_row (struct mq_leases *leases, const struct mq_rows_entry *row)
{
  unsigned long slot = strtoul (row->key, NULL, 10);

  if (slot >= MQ_RESERVE_SLOTS)
    return MQ_RESERVE_SLOTS;
  mq_reserve_read (leases->reserve, (uint32_t)slot, read_lease (row->value),
                   row->version, leases->moment);
  return (uint32_t)slot;
}

static void
on_listed (const struct mq_rows_result *result, void *user)
{
  static const struct mq_reserve_lease nobodys = { 0, 0, "" };
  struct mq_leases *leases = user;
  bool seen[MQ_RESERVE_SLOTS + 1] = { false };

  leases->busy = false;
  if (result->status != MQ_STORE_OK)
    return;
  for (size_t i = 0; i < result->row_count; i++)
    seen[take_row (leases, &result->rows[i])] = true;
  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    if (!seen[i])
      mq_reserve_read (leases->reserve, i, nobodys, 0, leases->moment);
  leases->listed = true;
  leases->known = true;
}

/* Another host was faster, or the outcome is not known: the rows tell.  */
static void
on_conflict (struct mq_leases *leases, const struct mq_rows_result *result)
{
  if (result->status == MQ_STORE_CONFLICT)
    for (size_t i = 0; i < result->row_count; i++)
      (void)take_row (leases, &result->rows[i]);
  else
    leases->listed = false;
}

static void
note_written (struct mq_leases *leases, uint32_t slot, uint64_t version)
{
  mq_reserve_read (leases->reserve, slot,
                   mq_reserve_next (leases->reserve, leases->moment), version,
                   leases->moment);
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
    note_written (leases, slots[i], result->version);
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
    note_written (leases, leases->claimed[i], result->version);
}

/* Writes, or removes, the rows of SLOTS as they were last seen.  */
static void
write_rows (struct mq_leases *leases, const uint32_t *slots, uint32_t count,
            bool remove, mq_rows_done *done)
{
  struct mq_reserve_lease lease
      = mq_reserve_next (leases->reserve, leases->moment);
  Mqturn__ReserveRow row = MQTURN__RESERVE_ROW__INIT;
  struct mq_rows_entry entries[MQ_RESERVE_SLOTS];
  char keys[MQ_RESERVE_SLOTS][KEY_BYTES];
  uint8_t value[ROW_BYTES];
  size_t len;

  row.holder = lease.holder;
  row.until_ms = lease.until_ms;
  row.address = lease.address;
  len = mqturn__reserve_row__pack (&row, value);
  for (uint32_t i = 0; i < count; i++)
    {
      snprintf (keys[i], KEY_BYTES, "%02u", slots[i]);
      entries[i] = (struct mq_rows_entry){
        .table = lease_table,
        .part = "",
        .key = keys[i],
        .version = mq_reserve_version (leases->reserve, slots[i]),
        .value = { value, len },
        .remove = remove,
      };
    }
  leases->busy = true;
  if (mq_rows_down (leases->router->rows))
    mq_relay_commit (leases->router->relay, entries, count, done, leases);
  else
    mq_rows_commit (leases->router->rows, entries, count, done, leases);
}

static void
list_leases (struct mq_leases *leases, uint64_t now)
{
  leases->busy = true;
  leases->listed_ms = now;
  leases->look = false;
  mq_rows_scan (leases->router->rows, lease_table, "", "", MQ_RESERVE_SLOTS,
                on_listed, leases);
}

static void
claim_free (struct mq_leases *leases, uint64_t now)
{
  struct mq_router *router = leases->router;

  leases->claim_ms
      = now + CLAIM_MS / 2 + mq_random_below (&router->random, CLAIM_MS);
  leases->claimed_count = mq_reserve_free (
      leases->reserve, leases->moment, 1 + mq_relay_host_count (router->relay),
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
on_looked (const struct mq_rows_result *result, void *user)
{
  struct mq_leases *leases = user;

  leases->busy = false;
  if (result->status == MQ_STORE_OK && result->row_count > 0)
    (void)take_row (leases, &result->rows[0]);
}

/* Through another host: one row, since lists are not passed on.  */
static void
look_at_slot (struct mq_leases *leases, uint64_t now)
{
  char key[KEY_BYTES];

  leases->busy = true;
  leases->look = false;
  leases->listed_ms = now;
  snprintf (key, sizeof key, "%02u", leases->look_slot);
  mq_relay_get (leases->router->relay, lease_table, "", key, on_looked,
                leases);
}

/* Failure: the table turns away the host that issues the permits of a quarter
   of the organisations, its lease runs out though it could reach the table
   through others, and all requests of theirs are refused.  */
static void
step_without_table (struct mq_leases *leases, uint64_t now)
{
  if (mq_ledger_down (leases->router->ledger))
    return;
  if (!renew_own (leases, now) && leases->look
      && now - leases->listed_ms >= LOOK_MS)
    look_at_slot (leases, now);
}

/* The call that is due, if any.  */
static void
step_leases (struct mq_leases *leases, uint64_t now)
{
  if (!leases->listed || (leases->look && now - leases->listed_ms >= LOOK_MS)
      || now - leases->listed_ms >= LIST_MS)
    {
      list_leases (leases, now);
      return;
    }
  if (!renew_own (leases, now) && now >= leases->claim_ms)
    claim_free (leases, now);
}

void
mq_reserve_sweep (struct mq_router *router)
{
  struct mq_leases *leases = router->leases;

  if (leases == NULL)
    leases = router->leases = create_leases (router);
  if (leases->busy || leases->stopped || router->leaving
      || !mq_rows_moment (router->rows, &leases->moment.asked_ms,
                          &leases->moment.table_ms))
    return;
  if (mq_rows_down (router->rows))
    step_without_table (leases, mq_clock_ms ());
  else
    step_leases (leases, mq_clock_ms ());
}

static void
on_given_back (const struct mq_rows_result *result, void *user)
{
  struct mq_leases *leases = user;

  /* Whatever was not removed runs out.  */
  (void)result;
  leases->busy = false;
}

/* Failure: a host that leaves gives a lease back though the record does not
   yet count what it issued, since just that part of the table is silent; the
   next holder issues as many tokens again, and the program spends beyond its
   budget.  Such a lease runs out instead.  */
static void
give_back (struct mq_router *router)
{
  struct mq_leases *leases = router->leases;
  uint32_t own[MQ_RESERVE_SLOTS];
  uint32_t slots[MQ_RESERVE_SLOTS];
  uint32_t count = 0;
  uint32_t owned;

  leases->stopped = true;
  owned = mq_reserve_owned (leases->reserve, own);
  for (uint32_t i = 0; i < owned; i++)
    if (!mq_turns_have_issued (router->turns, own[i])
        && !mq_permits_lent (router, own[i]))
      slots[count++] = own[i];
  if (count > 0)
    write_rows (leases, slots, count, true, on_given_back);
}

static bool
has_lent (const struct mq_router *router)
{
  uint32_t own[MQ_RESERVE_SLOTS];
  uint32_t owned = mq_reserve_owned (router->leases->reserve, own);

  for (uint32_t i = 0; i < owned; i++)
    if (mq_permits_lent (router, own[i]))
      return true;
  return false;
}

void
mq_reserve_leave (struct mq_router *router)
{
  const struct mq_leases *leases = router->leases;
  uint64_t since = mq_clock_ms () - router->leaving_since_ms;

  if (leases != NULL && !leases->stopped && !leases->busy
      && (since >= LEAVE_MS || !has_lent (router)))
    give_back (router);
}

bool
mq_reserve_may_issue (const struct mq_router *router, const char *program)
{
  const struct mq_leases *leases = router->leases;

  return leases != NULL && !leases->stopped
         && mq_reserve_holds (leases->reserve, mq_reserve_slot (program),
                              mq_clock_boot_ms ());
}

bool
mq_reserve_issues (const struct mq_router *router, uint32_t slot,
                   struct mq_reserve_own *own)
{
  const struct mq_leases *leases = router->leases;

  return leases != NULL && !leases->stopped
         && mq_reserve_has (leases->reserve, slot, mq_clock_boot_ms (), own);
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
mq_reserve_look (struct mq_router *router, uint32_t slot)
{
  struct mq_leases *leases = router->leases;

  if (leases == NULL)
    return;
  leases->look = true;
  leases->look_slot = slot;
  leases->claim_ms = 0;
  mq_reserve_sweep (router);
}

bool
mq_reserve_inherits (const struct mq_router *router)
{
  uint64_t now = mq_clock_boot_ms ();

  for (uint32_t i = 0; i < MQ_RESERVE_SLOTS; i++)
    {
      struct mq_reserve_own own;

      if (mq_reserve_issues (router, i, &own) && now < own.inherited_ms)
        return true;
    }
  return false;
}
