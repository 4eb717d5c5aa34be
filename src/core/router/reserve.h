/* reserve.h - which host may let programs begin while the table is away.

   Programs are spread over a few slots by a hash of their id.  A slot is
   leased to one host by a conditional write to the platform's table; while the
   table is away, that host alone may issue tokens for the slot's programs that
   no record counts yet (budget.h).  A lease that was not renewed may be taken
   over once it has run out by the table's clock; its holder counts from before
   it asked for it, on a clock that goes on while the host is suspended, and
   stops earlier.  Pure: clocks and randomness are given. Needs: types.h.  */

#ifndef MQ_RESERVE_H
#define MQ_RESERVE_H

#include "../types.h"

/* Slots of a site: enough that the loss of one host of seven takes a seventh
   of them; a holder at the planned size, 1,100 hosts, answers some hundred
   questions a second while the table is away.  */
#define MQ_RESERVE_SLOTS 32U
/* How long a lease lasts from the moment at which it was asked for.  A caller
   tries for some nine seconds at most, so nothing is gained by a longer one;
   a lost host's slots are free again after it.  */
#define MQ_RESERVE_LEASE_MS 12000U
/* A lease is renewed this often: a table that goes away at any moment leaves
   it for nine seconds or more.  */
#define MQ_RESERVE_RENEW_MS 3000U
/* A lease that has run out is taken over so much later, for clocks that don't
   run equally fast: 500 ms in 12 s are four in a hundred.  */
#define MQ_RESERVE_GRACE_MS 500U
/* Hosts over which the slots are spread where there are as many: the loss of
   one then takes no more than a quarter of them.  */
#define MQ_RESERVE_HOLDERS 4U
/* Slots that a host tries to take at a time, so that hosts which start
   together share them out within the first seconds.  */
#define MQ_RESERVE_CLAIM_MAX 4U

struct mq_reserve;

/* Bytes of "IP:PORT", terminator included.  */
#define MQ_RESERVE_ADDRESS_MAX 32U

/**
 * struct mq_reserve_lease - a slot's row
 * @holder: number of the host's run that has it, 0: none
 * @until_ms: by the table's clock
 * @address: where other hosts reach the holder, "": not told
 */
struct mq_reserve_lease
{
  uint64_t holder;
  uint64_t until_ms;
  char address[MQ_RESERVE_ADDRESS_MAX];
};

/**
 * struct mq_reserve_own_lease - a slot's lease that this host has, by its own
 * clock
 * @since_ms: it has it since then
 * @until_ms: and until then
 * @inherited_ms: until then an earlier run of this host would have had it, 0:
 *                none had
 */
struct mq_reserve_own_lease
{
  uint64_t since_ms;
  uint64_t until_ms;
  uint64_t inherited_ms;
};

/**
 * struct mq_reserve_clock_sample - one moment on both clocks
 * @asked_ms: by this host's clock, before the table was asked
 * @table_ms: by the table's clock, when it answered
 */
struct mq_reserve_clock_sample
{
  uint64_t asked_ms;
  uint64_t table_ms;
};

/* HOLDER names this run of the host, never 0; ADDRESS is where other hosts
   reach it.  */
struct mq_reserve *mq_reserve_create (TALLOC_CTX *ctx, uint64_t holder,
                                      const char *address);

/* Slot of a program, or of an organisation.  */
uint32_t mq_reserve_slot (const char *program);
/* The row of SLOT as of VERSION, read at MOMENT; no row: a holder of 0.  */
void mq_reserve_record_row (struct mq_reserve *reserve, uint32_t slot,
                            struct mq_reserve_lease lease, uint64_t version,
                            struct mq_reserve_clock_sample moment);
/* Slots of this host, into SLOTS; returns how many.  */
uint32_t mq_reserve_owned (const struct mq_reserve *reserve,
                           uint32_t slots[MQ_RESERVE_SLOTS]);
/* Slots that this host, one of HOSTS, may take at MOMENT, chosen by RANDOM,
   into SLOTS; returns how many: none when it has its share, but all that an
   earlier run of this host had.  */
uint32_t mq_reserve_claimable (const struct mq_reserve *reserve,
                               struct mq_reserve_clock_sample moment,
                               size_t hosts, uint64_t random,
                               uint32_t slots[MQ_RESERVE_SLOTS]);
/* The lease to write for a slot that this host has or takes.  */
struct mq_reserve_lease
mq_reserve_renewed_lease (const struct mq_reserve *reserve,
                          struct mq_reserve_clock_sample moment);
/* Version of the slot's row as last seen, 0: there is none.  */
uint64_t mq_reserve_version (const struct mq_reserve *reserve, uint32_t slot);
/* Whose lease the slot was when its row was last seen.  */
const struct mq_reserve_lease *
mq_reserve_lease_of (const struct mq_reserve *reserve, uint32_t slot);
/* This host has the slot's lease at NOW_MS, by its own clock; fills OWN.  */
bool mq_reserve_has_lease (const struct mq_reserve *reserve, uint32_t slot,
                           uint64_t now_ms, struct mq_reserve_own_lease *own);
/* This host may issue tokens for the slot's programs at NOW_MS, by its own
   clock.  It has the lease, and what an earlier run of it may have issued is
   as long ago as if another host had taken the lease over.  */
bool mq_reserve_can_issue (const struct mq_reserve *reserve, uint32_t slot,
                           uint64_t now_ms);

#endif
