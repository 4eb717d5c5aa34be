/* reserve.h - slot leases, which decide the host that may start programs
   during a table outage.

   Programs are mapped to slots by a hash of their id.  A host leases a slot by
   a conditional write to the platform's table.  During a table outage only the
   holder may issue unrecorded tokens for the slot's programs (budget.h).

   Tokens that no record counts are issued once to a program.  The lease's row
   marks the programs that got some, so that the next holder knows.  A lease
   that ends without being released leaves marks out that its holder did not
   write: after that nobody issues tokens in the slot for as long as records of
   programs are kept.

   A host that stops while the table is away hands its leases to another host
   instead.  The next holder issues tokens in its place until the lease
   expires, and claims the row with all marks once the table is back.  Permits
   are issued under a row that was written alone.

   An expired lease may be taken over after a grace period by the table's
   clock.  The holder measures the lease from before its request, on a clock
   that continues while the host is suspended, and so stops using it earlier.
   Pure: callers pass clocks and random numbers.
   Needs: types.h.  */

#ifndef MQ_RESERVE_H
#define MQ_RESERVE_H

#include "../types.h"

/* Number of slots that share one table.  With the loss of one host of seven, a
   seventh of them is lost; with 1,100 hosts, a holder answers some hundred
   requests a second during an outage of the table.  */
#define MQ_RESERVE_SLOTS 32U
/* Lease duration, counted from the request.  A caller tries for some nine
   seconds at most, so a longer lease gains nothing, and the slots of a lost
   host are free again after it.  */
#define MQ_RESERVE_LEASE_MS 12000U
/* Renewal interval.  When the table becomes unavailable, at least nine seconds
   of a lease are left.  */
#define MQ_RESERVE_RENEW_MS 3000U
/* Grace period after expiry before a lease may be taken over; covers clock
   drift of four percent.  */
#define MQ_RESERVE_GRACE_MS 500U
/* Minimum number of hosts that share the slots, if there are as many; limits
   the slots lost with one host.  */
#define MQ_RESERVE_HOLDERS 4U
/* Slots that a host claims at a time, so that hosts that start together share
   them.  */
#define MQ_RESERVE_CLAIM_MAX 4U

/* Time for which an issue counts: as long as the record of an idle program is
   kept.  */
#define MQ_RESERVE_MEMORY_MS 3600000U
/* Bits that mark programs, by a hash of their id.  A program whose bit another
   one has set gets no tokens either.  */
#define MQ_RESERVE_MARKS 4096U
#define MQ_RESERVE_MARK_BYTES (MQ_RESERVE_MARKS / 8U)

struct mq_reserve;

/* Size of "IP:PORT" including the terminator.  */
#define MQ_RESERVE_ADDRESS_MAX 32U

/**
 * struct mq_reserve_lease - row of a slot
 * @holder: run of the host that holds the lease, 0 if none
 * @until_ms: expiry by the table's clock
 * @address: address of the holder for other hosts, "" if unknown
 * @issue_from_ms: from when on unrecorded tokens may be issued, by the table's
 *                 clock; 0 if the row does not tell
 * @marks_until_ms: until when @marks count, by the table's clock
 * @marks: programs that got unrecorded tokens
 */
struct mq_reserve_lease
{
  uint64_t holder;
  uint64_t until_ms;
  char address[MQ_RESERVE_ADDRESS_MAX];
  uint64_t issue_from_ms;
  uint64_t marks_until_ms;
  uint8_t marks[MQ_RESERVE_MARK_BYTES];
};

/**
 * struct mq_reserve_own_lease - lease held by this host, host's clock
 * @since_ms: start of the lease
 * @until_ms: expiry, 0 if not held
 * @inherited_ms: expiry of the lease of an earlier run of this host, 0 if
 *                there was none
 * @issue_from_ms: from when on unrecorded tokens may be issued
 */
struct mq_reserve_own_lease
{
  uint64_t since_ms;
  uint64_t until_ms;
  uint64_t inherited_ms;
  uint64_t issue_from_ms;
};

/**
 * struct mq_reserve_clock_sample - readings of both clocks for one request
 * @asked_ms: host's clock before the request to the table
 * @table_ms: table's clock in its reply
 */
struct mq_reserve_clock_sample
{
  uint64_t asked_ms;
  uint64_t table_ms;
};

/* HOLDER identifies this run of the host and is not 0.  ADDRESS is its address
   for other hosts.  */
struct mq_reserve *mq_reserve_create (TALLOC_CTX *ctx, uint64_t holder,
                                      const char *address);

/* Returns the slot of a program or organisation.  */
uint32_t mq_reserve_slot (const char *program);
/* Records the row of SLOT, read at SAMPLE; the holder is 0 if there is none.
 */
void mq_reserve_record_row (struct mq_reserve *reserve, uint32_t slot,
                            const struct mq_reserve_lease *lease,
                            uint64_t version,
                            struct mq_reserve_clock_sample sample);
/* Stores the slots held by this host in SLOTS and returns their number.  */
uint32_t mq_reserve_owned (const struct mq_reserve *reserve,
                           uint32_t slots[MQ_RESERVE_SLOTS]);
/* Stores the slots that this host, one of HOSTS, may claim at SAMPLE in SLOTS
   and returns their number.  Slots of an earlier run of this host and those
   handed to it are all claimable; others, chosen by RANDOM, only up to the
   host's share.  */
uint32_t mq_reserve_claimable (const struct mq_reserve *reserve,
                               struct mq_reserve_clock_sample sample,
                               size_t hosts, uint64_t random,
                               uint32_t slots[MQ_RESERVE_SLOTS]);
/* Returns the lease to write to claim or renew SLOT.

   Failure: the holder of a slot is lost in an outage of the table, the next
   holder does not know to whom tokens were issued, and a program gets some in
   each outage.  */
struct mq_reserve_lease
mq_reserve_renewed_lease (const struct mq_reserve *reserve, uint32_t slot,
                          struct mq_reserve_clock_sample sample);
/* Returns the lease to write to release SLOT, which this host holds.  */
struct mq_reserve_lease
mq_reserve_released_lease (const struct mq_reserve *reserve, uint32_t slot,
                           struct mq_reserve_clock_sample sample);
/* Returns the lease to hand to another host, as of SAMPLE; this host held
   SLOT or was handed it, and issues nothing in it from now on.

   Failure: a host stops in an outage of the table, its leases count as lost,
   and nobody issues tokens in their slots for an hour.  */
struct mq_reserve_lease
mq_reserve_hand_over (struct mq_reserve *reserve, uint32_t slot,
                      struct mq_reserve_clock_sample sample);
/* Takes over LEASE of SLOT, handed by the host that could issue under it; its
   row has VERSION, and SAMPLE is this host's last one.  Returns false if this
   host knows a newer row, or the lease does not tell what was issued.  */
bool mq_reserve_accept (struct mq_reserve *reserve, uint32_t slot,
                        const struct mq_reserve_lease *lease, uint64_t version,
                        struct mq_reserve_clock_sample sample);
/* Stores the slots that were handed to this host and that it has not claimed
   yet in SLOTS and returns their number.  */
uint32_t mq_reserve_handed (const struct mq_reserve *reserve,
                            uint32_t slots[MQ_RESERVE_SLOTS]);
/* Last known version of the slot's row, 0 if there is none.  */
uint64_t mq_reserve_version (const struct mq_reserve *reserve, uint32_t slot);
/* Last known lease of the slot.  */
const struct mq_reserve_lease *
mq_reserve_lease_of (const struct mq_reserve *reserve, uint32_t slot);
/* Whether this host holds the slot's lease at NOW_MS, host's clock; fills OWN.
 */
bool mq_reserve_has_lease (const struct mq_reserve *reserve, uint32_t slot,
                           uint64_t now_ms, struct mq_reserve_own_lease *own);
/* Whether this host may issue unrecorded tokens to PROGRAM at NOW_MS, host's
   clock: it holds the lease of its slot or was handed it, knows all programs
   that got some, and PROGRAM is not among them.  */
bool mq_reserve_can_issue (const struct mq_reserve *reserve,
                           const char *program, uint64_t now_ms);
/* Unrecorded tokens are issued to PROGRAM.  */
void mq_reserve_mark_issued (struct mq_reserve *reserve, const char *program);

#endif
