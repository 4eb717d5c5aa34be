/* router_turns.h - budgets, histories and loans of programs, shared by
   router_turn.c, router_program.c and router_loan.c only.

   Needs: router_state.h.  */

#ifndef MQ_ROUTER_TURNS_H
#define MQ_ROUTER_TURNS_H

#include "router_state.h"

/* Tries of one call to the table before its caller is told that the table
   can't tell: together they last about as long as a slow answer.  */
#define MQ_TURN_ATTEMPTS_MAX 3U
/* Bytes of a part's name.  */
#define MQ_PART_NAME_BYTES 8U

/**
 * struct mq_program - a program whose turns this host serves
 * @waiting: turns that wait for their budget, oldest first
 * @call: under way, NULL: none
 * @next: the record that is being written
 * @holder: names our grant
 * @home: worker that has its cache, 0: not known
 * @limit: of its budget, as last told
 * @running: turns that have a reservation
 * @tries: calls in a row that failed
 * @recalled_ms: when others last told what they don't use, 0: never
 * @recall: they are being asked, NULL: not
 * @lender: address of the host that lent tokens last, NULL: none did
 */
struct mq_program
{
  struct mq_turns *turns;
  struct mq_id key;
  char *id;
  char part[MQ_PART_NAME_BYTES];
  struct mq_budget budget;
  struct mq_budget_record next;
  struct mq_turn *waiting;
  struct mq_ledger_call *call;
  struct mq_timer *timer;
  uint64_t holder;
  uint64_t home;
  uint64_t limit;
  uint32_t running;
  uint32_t tries;
  uint64_t used_ms;
  uint64_t recalled_ms;
  struct mq_loan *recall;
  char *lender;
};

struct mq_turns
{
  struct mq_router *router;
  struct mq_idmap *programs;
  struct mq_chain_cache *cache;
  struct mq_loan *loans;
  uint64_t next_loan;
};

/* router_turn.c */

/* Part of the table where the row KEY lies, or may lie: PLACE 0 is the first
   that is tried.  */
void mq_turn_select_part (char part[MQ_PART_NAME_BYTES], const char *key,
                          uint32_t place);
/* A pause before a call is tried again after TRIES failures in a row.  */
struct mq_timer *mq_turn_schedule_retry (struct mq_turns *turns,
                                         TALLOC_CTX *ctx, uint32_t tries,
                                         mq_timer_handler *handler,
                                         void *data);
/* No way to the rows of PART is open: whoever waits is better told at once. */
bool mq_turns_part_unavailable (const struct mq_turns *turns,
                                const char *part);
/* Until when a record written now is kept, 0: the table's clock is not
   known.  */
uint64_t mq_turns_expiry_s (const struct mq_turns *turns, uint32_t retain_s);
/* The history that TURN lacks may have come into memory: goes on to the
   budget if so, else false.  */
bool mq_turn_find_cached (struct mq_turn *turn);
/* Reads the history that TURN lacks in the table.  */
void mq_turn_read_history (struct mq_turn *turn);
void mq_turn_notify (struct mq_turn *turn, enum mq_turn_state state);

/* router_program.c */

/* NULL: not known here.  */
struct mq_program *mq_program_find (struct mq_turns *turns, const char *id);
/* The program, made if need be; NULL when memory is out.  */
struct mq_program *mq_program_get_or_create (struct mq_turns *turns,
                                             const char *id);
/* Reserves the budget of TURN, whose history is there; tells.  */
void mq_program_reserve (struct mq_turn *turn);
/* Other hosts have told what they don't use of PROGRAM.  */
void mq_program_on_recall_done (struct mq_program *program);
/* TURN waits no more.  */
void mq_program_dequeue (struct mq_turn *turn);

/* router_loan.c */

/* TURN lacks its history: the hosts of this data centre are asked before the
   table; mq_turn_read_history follows if they don't have it.  */
void mq_loan_request_local_history (struct mq_turn *turn);
/* The table can't be asked: TURN gets what it lacks from other hosts, or is
   told that the table can't tell.  */
void mq_loan_request (struct mq_turn *turn);
/* The record is full: other hosts are asked to lend what they don't use of
   PROGRAM; mq_program_on_recall_done follows, not from within this call.  */
struct mq_loan *mq_loan_recall (struct mq_program *program, uint64_t limit,
                                uint64_t most);
/* Nobody waits any more; NULL is allowed.  */
void mq_loan_cancel (struct mq_loan *loan);
/* Unused tokens go back to whoever lent them.  */
void mq_loan_return (struct mq_program *program);

#endif
