/* budget.h - what a program may still generate, agreed among entry hosts.

   A program has one record in the platform's table, changed only under a
   condition on its version.  It holds what has been settled and one grant
   for each host that serves its turns: tokens that the host may hand out
   without asking again.  Settled tokens and grants never exceed the budget by
   more than one turn, so that no two hosts can overspend together; a host
   that dies leaves its grant spent.  Pure.
   Needs: types.h, store.h.  */

#ifndef MQ_BUDGET_H
#define MQ_BUDGET_H

#include "store.h"

/* Hosts whose grants a record holds; the grants of more are settled as spent.
 */
#define MQ_BUDGET_HOLDERS_MAX 16U
/* Turns at their most that a host asks for at a time.  A turn takes a quarter
   of its most on average, so one write serves several turns; what a host
   loses when it dies stays small beside a budget of some eight turns.  */
#define MQ_BUDGET_GRANT_TURNS 2U

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
 */
struct mq_budget_record
{
  uint64_t limit;
  uint64_t spent;
  struct mq_budget_grant grants[MQ_BUDGET_HOLDERS_MAX];
  uint32_t grant_count;
  uint64_t until_s;
};

/**
 * struct mq_budget - what one host knows of a program
 * @record: as of @version
 * @version: of the record in the table, 0: no record as far as is known
 * @known: the record was read or written by this host
 * @held: tokens of our grant that are not yet used up
 * @reserved: of @held, kept for turns that run
 */
struct mq_budget
{
  struct mq_budget_record record;
  uint64_t version;
  bool known;
  uint64_t held;
  uint64_t reserved;
};

enum mq_budget_answer
{
  MQ_BUDGET_READY, /* the turn's tokens are reserved */
  MQ_BUDGET_WRITE, /* write the record that was made, then ask again */
  MQ_BUDGET_READ,  /* read the record, then ask again */
  MQ_BUDGET_DOUBT, /* no room as far as we know: others may give some back */
  MQ_BUDGET_SPENT  /* tokens that were handed out fill the budget for good */
};

/* A host's grant is named by a number of its own for each time that it begins
   to serve a program: a grant that it has forgotten stays spent.

   Asks for a turn of MOST tokens of a program with LIMIT.  With WRITE, *NEXT
   is the record to be written under the condition of BUDGET's version.  */
enum mq_budget_answer mq_budget_ask (struct mq_budget *budget, uint64_t holder,
                                     uint64_t limit, uint64_t most,
                                     struct mq_budget_record *next);
/* The record was written as version VERSION.  */
void mq_budget_written (struct mq_budget *budget, uint64_t holder,
                        const struct mq_budget_record *record,
                        uint64_t version);
/* The record was read; VERSION 0: there is none.  */
void mq_budget_read (struct mq_budget *budget, uint64_t holder,
                     const struct mq_budget_record *record, uint64_t version);
/* A turn of MOST tokens has ended and handed out USED.  */
void mq_budget_settle (struct mq_budget *budget, uint64_t most, uint64_t used);
/* Bytes of a record, below CTX; data is NULL when memory is out.  */
struct mq_bytes mq_budget_pack (TALLOC_CTX *ctx,
                                const struct mq_budget_record *record);
/* False when the bytes are not a record.  */
bool mq_budget_unpack (struct mq_bytes bytes, struct mq_budget_record *record);

#endif
