/* budget.h - what a program may still generate, agreed among entry hosts.

   A program has one record in the platform's table, changed only under a
   condition on its version.  It holds what has been settled and one grant
   for each host that serves its turns: tokens that the host may hand out
   without asking again.  Settled tokens and grants never exceed the limit, so
   that no two hosts can overspend together; a host that dies leaves its grant
   spent.

   The bound on what a program hands out is its limit and the most of one
   turn.  That one turn is kept for a table that is away: one host, which holds
   the lease on the program (reserve.h), may then issue so many tokens that no
   record counts yet.  Hosts lend each other what they hold and don't use; a
   loan leaves one host before it arrives at another, so a lost one is spent.
   Pure.
   Needs: types.h, store.h.  */

#ifndef MQ_BUDGET_H
#define MQ_BUDGET_H

#include "../store.h"

/* Hosts whose grants a record holds; the grants of more are settled as spent.
 */
#define MQ_BUDGET_HOLDERS_MAX 16U
/* Turns at their most that a host asks for at a time.  Most turns take a part
   of it, so that one write serves several.  */
#define MQ_BUDGET_GRANT_TURNS 2U
/* But no more than this part of what is left, or one turn.  Failure: two hosts
   take two turns each of a program whose limit holds four, both are lost, and
   its next turn is told that the budget is spent.  */
#define MQ_BUDGET_GRANT_DIVISOR 3U
/* Without the table a turn begins with this part of its most, where there is
   no more, and breaks off when it needs more than that.  Most turns
   need less than that; with a larger part a caller's third try in an outage
   finds too little left.  */
#define MQ_BUDGET_MIN_GRANT_DIVISOR 4U

struct mq_budget_grant
{
  uint64_t holder;
  uint64_t tokens;
};

/**
 * struct mq_budget_record - the record of one program
 * @limit: tokens that all its turns may generate
 * @spent: tokens that are settled
 * @grants: tokens that hosts may hand out
 * @grant_count: how many
 * @until_s: the record is kept until then by the table's clock, 0: not told
 * @home: names the worker that has the program's cache (fleet.h), 0: not told
 */
struct mq_budget_record
{
  uint64_t limit;
  uint64_t spent;
  struct mq_budget_grant grants[MQ_BUDGET_HOLDERS_MAX];
  uint32_t grant_count;
  uint64_t until_s;
  uint64_t home;
};

/**
 * struct mq_budget - what one host knows of a program
 * @record: as of @version
 * @version: of the record in the table, 0: no record as far as is known
 * @known: the record was read or written by this host
 * @held: tokens of our grant that are not yet used up
 * @ungranted: tokens at hand beside the grant: borrowed, issued or come back
 * @reserved: of @held and @ungranted, kept for turns that run
 * @lent: tokens at other hosts that may come back
 * @issued: tokens that no record counts yet
 * @settling: tokens of our grant that the record made last has as spent
 * @recording: of @issued, in that record
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
  MQ_BUDGET_RESERVED,  /* the turn's tokens are reserved */
  MQ_BUDGET_WRITE,     /* write the record that was made, then ask again */
  MQ_BUDGET_READ,      /* read the record, then ask again */
  MQ_BUDGET_UNCERTAIN, /* no room as far as we know: others may give some back
                        */
  MQ_BUDGET_EXHAUSTED  /* tokens that were handed out fill the budget for good
                        */
};

/* A host's grant is named by a number of its own for each time that it begins
   to serve a program: a grant that it has forgotten stays spent.

   Asks for a turn of MOST tokens of a program with LIMIT.  With READY,
   *GRANTED are reserved, which may be less than MOST; with WRITE, *NEXT is the
   record to be written under the condition of BUDGET's version.  */
enum mq_budget_decision mq_budget_reserve (struct mq_budget *budget,
                                           uint64_t holder, uint64_t limit,
                                           uint64_t most,
                                           struct mq_budget_record *next);
/* The same without the table: what is at hand, MOST at the most, is reserved
   and returned; 0 when it is too little.  */
uint64_t mq_budget_reserve_local (struct mq_budget *budget, uint64_t most);
/* The record was written as version VERSION.  */
void mq_budget_record_written (struct mq_budget *budget, uint64_t holder,
                               const struct mq_budget_record *record,
                               uint64_t version);
/* The record was read; VERSION 0: there is none.  */
void mq_budget_record_read (struct mq_budget *budget, uint64_t holder,
                            const struct mq_budget_record *record,
                            uint64_t version);
/* A turn with GRANTED tokens has ended and handed out USED.  */
void mq_budget_settle (struct mq_budget *budget, uint64_t granted,
                       uint64_t used);

/* Loans.  Another host asks for WANT tokens: what it gets, 0 for none.  */
uint64_t mq_budget_lend (struct mq_budget *budget, uint64_t want);
/* A loan has arrived.  */
void mq_budget_receive_loan (struct mq_budget *budget, uint64_t tokens);
/* What goes back to the lender, 0: nothing.  */
uint64_t mq_budget_return_loan (struct mq_budget *budget);
/* It has come back.  */
void mq_budget_reclaim_loan (struct mq_budget *budget, uint64_t tokens);
/* Issued tokens have been recorded beyond the limit: no more may be issued. */
bool mq_budget_is_overdrawn (const struct mq_budget *budget, uint64_t limit);
/* A turn of MOST could begin with what is at hand.  */
bool mq_budget_can_reserve (const struct mq_budget *budget, uint64_t most);
/* Other hosts have grants, which they may not need any more.  */
bool mq_budget_has_other_grants (const struct mq_budget *budget,
                                 uint64_t holder);
/* Issues tokens that no record counts, up to MOST with those that were issued
   before; only the host that holds the lease on the program may.  Nothing
   happens where the record is known to count more than the limit.  */
void mq_budget_issue_unrecorded (struct mq_budget *budget, uint64_t limit,
                                 uint64_t most);
/* The record has no room for a turn of MOST but for our grant, which no turn
   uses: *NEXT is the record without it, to be written at once.  Should that
   fail, the tokens are lost.  */
bool mq_budget_release (struct mq_budget *budget, uint64_t holder,
                        uint64_t limit, uint64_t most,
                        struct mq_budget_record *next);
/* Tokens were issued that the record must count: *NEXT is that record.  */
bool mq_budget_record_issued (struct mq_budget *budget, uint64_t holder,
                              uint64_t limit, struct mq_budget_record *next);
/* Bytes of a record, below CTX; data is NULL when memory is out.  */
struct mq_bytes mq_budget_pack (TALLOC_CTX *ctx,
                                const struct mq_budget_record *record);
/* False when the bytes are not a record.  */
bool mq_budget_unpack (struct mq_bytes bytes, struct mq_budget_record *record);

#endif
