/* budget.h - token budgets of programs, enforced across entry hosts.

   Each program has one record in the platform's table, updated by
   compare-and-set on its version.  It holds the tokens spent and one grant for
   each host that serves the program: tokens that the host may generate without
   another write.  Spent tokens and grants never exceed the limit.  The grant
   of a host that fails counts as spent.

   A program generates at most its limit plus the maximum of one turn.  The
   extra turn covers table outages: the host that holds the program's lease
   (reserve.h) may issue that many tokens before a record counts them.  Hosts
   lend each other unused tokens.  The lender deducts a loan before it sends
   it, so a lost loan counts as spent.
   Pure.
   Needs: types.h, store.h.  */

#ifndef MQ_BUDGET_H
#define MQ_BUDGET_H

#include "../store.h"

/* Maximum number of grants in a record; a further one replaces the first,
   which then counts as spent.  */
#define MQ_BUDGET_HOLDERS_MAX 16U
/* Size of a grant in maximum turns.  Most turns use less than their maximum,
   so one write serves several turns.  */
#define MQ_BUDGET_GRANT_TURNS 2U
/* A grant takes at most the remaining budget divided by this, but at least one
   turn.  Guards against a few failed hosts exhausting a small budget.  */
#define MQ_BUDGET_GRANT_DIVISOR 3U

struct mq_budget_grant
{
  uint64_t holder;
  uint64_t tokens;
};

/**
 * struct mq_budget_record - budget record of one program
 * @limit: tokens that all its turns may generate
 * @spent: tokens counted as generated
 * @grants: tokens that hosts may generate
 * @until_s: expiry of the record by the table's clock, 0 if unknown
 * @home: worker with the program's cache (mq_fleet_choose_home), 0 if unknown
 * @stream_version: software version (mq_fleet_worker_version) at which streams
 *                  without a row of their own run; set when the record is
 *                  created and never changed, so that a stale copy is right; 0
 *                  if all streams have a row
 */
struct mq_budget_record
{
  uint64_t limit;
  uint64_t spent;
  struct mq_budget_grant grants[MQ_BUDGET_HOLDERS_MAX];
  uint32_t grant_count;
  uint64_t until_s;
  uint64_t home;
  uint64_t stream_version;
};

/**
 * struct mq_budget - a host's state of a program's budget
 * @record: last known record
 * @version: version of @record in the table, 0 if there is none
 * @known: this host has read or written the record
 * @held: unused tokens of this host's grant
 * @ungranted: available tokens outside the grant: borrowed, issued or returned
 * @reserved: tokens of @held and @ungranted reserved for running turns
 * @lent: tokens lent to other hosts
 * @issued: tokens issued that no record counts yet
 * @settling: tokens of the grant counted as spent in the pending record
 * @recording: tokens of @issued counted in the pending record
 */
struct mq_budget
{
  struct mq_budget_record record;
  uint64_t version;
  bool known;
  uint64_t held;
  uint64_t ungranted;
  uint64_t reserved;
  uint64_t lent;
  uint64_t issued;
  uint64_t settling;
  uint64_t recording;
};

enum mq_budget_decision
{
  MQ_BUDGET_RESERVED,  /* tokens are reserved, the turn may begin */
  MQ_BUDGET_WRITE,     /* write the new record, then retry */
  MQ_BUDGET_READ,      /* read the record, then retry */
  MQ_BUDGET_UNCERTAIN, /* no tokens left, but others may return some */
  MQ_BUDGET_EXHAUSTED  /* the budget is spent */
};

/* Reserves MOST tokens for a turn of a program with LIMIT.  With
   MQ_BUDGET_WRITE, *NEXT is the record to write if the table still has
   BUDGET's version.

   HOLDER identifies the host's grant.  It is new each time the host starts to
   serve a program, so that a grant it has lost track of stays spent.  */
enum mq_budget_decision mq_budget_reserve (struct mq_budget *budget,
                                           uint64_t holder, uint64_t limit,
                                           uint64_t most,
                                           struct mq_budget_record *next);
/* Reserves MOST available tokens without the table.  Returns false if fewer
   are available: a turn with fewer could be cut off.  */
bool mq_budget_reserve_local (struct mq_budget *budget, uint64_t most);
/* Records that the table accepted RECORD as VERSION.  */
void mq_budget_record_written (struct mq_budget *budget, uint64_t holder,
                               const struct mq_budget_record *record,
                               uint64_t version);
/* Records the row read from the table; VERSION is 0 if there is none.  */
void mq_budget_record_read (struct mq_budget *budget, uint64_t holder,
                            const struct mq_budget_record *record,
                            uint64_t version);
/* Ends a turn that had GRANTED tokens reserved and generated USED.  */
void mq_budget_settle (struct mq_budget *budget, uint64_t granted,
                       uint64_t used);

/* Loans between hosts.  Returns how many of the WANT tokens are lent.  */
uint64_t mq_budget_lend (struct mq_budget *budget, uint64_t want);
/* Adds a loan received from another host.  */
void mq_budget_receive_loan (struct mq_budget *budget, uint64_t tokens);
/* Returns the number of unused tokens to send back to the lender.  */
uint64_t mq_budget_return_loan (struct mq_budget *budget);
/* Adds tokens that a borrower sent back.  */
void mq_budget_reclaim_loan (struct mq_budget *budget, uint64_t tokens);
/* Whether the record exceeds the limit, so that no more tokens may be issued.
 */
bool mq_budget_is_overdrawn (const struct mq_budget *budget, uint64_t limit);
/* Whether MOST tokens are available for a turn.  */
bool mq_budget_can_reserve (const struct mq_budget *budget, uint64_t most);
/* Whether the record shows that no other host has served the program.  */
bool mq_budget_is_first_holder (const struct mq_budget *budget,
                                uint64_t holder);
/* Whether other hosts have grants.  */
bool mq_budget_has_other_grants (const struct mq_budget *budget,
                                 uint64_t holder);
/* Issues tokens that no record counts, up to a total of MOST.  The host must
   hold the program's lease.  Does nothing if mq_budget_is_overdrawn.  */
void mq_budget_issue_unrecorded (struct mq_budget *budget, uint64_t limit,
                                 uint64_t most);
/* Releases this host's unused grant if the budget has no room for a turn of
   MOST otherwise.  Returns true if *NEXT is to be written at once; if the
   write fails, the tokens are lost.  */
bool mq_budget_release (struct mq_budget *budget, uint64_t holder,
                        uint64_t limit, uint64_t most,
                        struct mq_budget_record *next);
/* Returns true if issued tokens are not recorded yet; *NEXT is the record to
   write.  */
bool mq_budget_record_issued (struct mq_budget *budget, uint64_t holder,
                              uint64_t limit, struct mq_budget_record *next);
/* Serializes RECORD, allocated under CTX; data is NULL if out of memory.  */
struct mq_bytes mq_budget_pack (TALLOC_CTX *ctx,
                                const struct mq_budget_record *record);
/* Returns false if BYTES is not a valid record.  */
bool mq_budget_unpack (struct mq_bytes bytes, struct mq_budget_record *record);

#endif
