/* router_turns.h - budgets, histories, loans and handovers of programs, shared
   by router_turn.c, router_retry.c, router_program.c, router_loan.c,
   router_handover.c and, for parts and retries, router_version.c only.

   A function that is said to end a turn may tell its request, which may be
   refused and freed before the function returns, and another request of the
   same caller may have its memory.  The call is the last use of the turn and
   of all that it holds, loans included.

   Needs: router_state.h.  */

#ifndef MQ_ROUTER_TURNS_H
#define MQ_ROUTER_TURNS_H

#include "router_state.h"

/* Attempts at one call to the table before the turn fails.  */
#define MQ_TURN_ATTEMPTS_MAX 3U
/* Size of a part's name with its terminating NUL.  */
#define MQ_PART_NAME_BYTES 8U

/**
 * struct mq_program - a program whose turns this host serves
 * @next: budget record being written
 * @waiting: turns waiting for their budget, oldest first
 * @call: pending call to the table; NULL if none
 * @retry: pending retry of a call; NULL if none
 * @holder: id of this host's grant
 * @home: engine that caches the program; 0 if unknown
 * @first_version: @stream_version of the record if this host creates it
 * @told_version: @stream_version of the record, as another host told it; 0 if
 *                none did
 * @home_full_ms: when @home last rejected a turn as full, local monotonic
 *                clock; 0 if never
 * @limit: token limit, as sent with the latest turn
 * @running: turns with a reservation
 * @tries: consecutive failed calls
 * @used_ms: last use, local monotonic clock
 * @recalled_ms: last completed recall of unused tokens, local monotonic clock;
 *               0 if never
 * @recall: pending recall; NULL if none
 * @lender: address of the host that last lent tokens; NULL if none
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
  struct mq_table_client_call *call;
  struct mq_retry *retry;
  uint64_t holder;
  uint64_t home;
  uint64_t first_version;
  uint64_t told_version;
  uint64_t home_full_ms;
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
  struct mq_retry *retries;
  struct mq_loan *loans;
  uint64_t next_loan;
};

/* router_turn.c */

/* Writes the name of the part for row KEY to PART.  CANDIDATE 0 is the
   preferred part.  */
void mq_turn_select_part (char part[MQ_PART_NAME_BYTES], const char *key,
                          uint32_t candidate);
/* Whether PART can be reached neither by this host nor through another
   one.  */
bool mq_turns_part_unavailable (const struct mq_turns *turns,
                                const char *part);
/* Expiry of a record written now, seconds on the table's clock; 0 if that
   clock is unknown.  */
uint64_t mq_turns_expiry_s (const struct mq_turns *turns, uint32_t retain_s);
/* Whether the missing history is cached.  */
bool mq_turn_is_cached (const struct mq_turn *turn);
/* Ends TURN: takes the missing history from the cache and continues with the
   budget.  */
void mq_turn_use_cached (struct mq_turn *turn);
/* Ends TURN: reads the missing history from the table.  */
void mq_turn_read_history (struct mq_turn *turn);
/* Ends TURN.  */
void mq_turn_notify (struct mq_turn *turn, enum mq_turn_state state);
/* Name of a write's failure in log lines.  */
const char *mq_turn_write_failure (enum mq_store_status status);

/* router_retry.c */

/* Calls HANDLER once, after the backoff for TRIES consecutive failures or when
   the table is back, and frees the retry.  Freeing it cancels it.  NULL if out
   of memory.  */
struct mq_retry *mq_retry_schedule (struct mq_turns *turns, uint32_t tries,
                                    mq_timer_handler *handler, void *data);

/* router_program.c */

/* Returns NULL if this host does not serve the program.  */
struct mq_program *mq_program_find (struct mq_turns *turns, const char *id);
/* Returns NULL if memory is exhausted.  */
struct mq_program *mq_program_get_or_create (struct mq_turns *turns,
                                             const char *id);
/* Ends TURN: reserves its budget and notifies it.  Its history is present.  */
void mq_program_reserve (struct mq_turn *turn);
/* Whether the home of PROGRAM has just rejected a turn as full.  */
bool mq_program_home_is_full (const struct mq_program *program);
/* Version of the durable record of PROGRAM, as in struct mq_budget_record; 0
   if there is none or it is unknown.  */
uint64_t mq_program_stream_version (const struct mq_program *program);
/* The recall of unused tokens of PROGRAM is complete.  */
void mq_program_on_recall_done (struct mq_program *program);
/* Removes TURN from the queue of its program.  */
void mq_program_dequeue (struct mq_turn *turn);

/* Takes over the budget record in VALUE, of VERSION in the table, unless this
   host knows a newer one.  */
void mq_program_adopt_record (struct mq_program *program,
                              struct mq_bytes value, uint64_t version);

/* router_loan.c */

/* Ends TURN: asks the hosts of this data centre for its missing history and
   its budget.  mq_turn_read_history follows if none has the history, else
   mq_program_reserve.  */
void mq_loan_request_nearby (struct mq_turn *turn);
/* Ends TURN: the table is unavailable.  Requests what it needs from other
   hosts, or fails it with MQ_TURN_STORE_UNAVAILABLE.  */
void mq_loan_request (struct mq_turn *turn);
/* All tokens of PROGRAM are granted: asks other hosts to lend their unused
   ones. mq_program_on_recall_done follows, never from within this call.  */
struct mq_loan *mq_loan_recall (struct mq_program *program, uint64_t limit,
                                uint64_t most);
/* LOAN may be NULL.  */
void mq_loan_cancel (struct mq_loan *loan);
/* Returns unused tokens to the host that lent them.  */
void mq_loan_return (struct mq_program *program);
/* Stores what another host sent: tokens, a history, a budget record.  */
void mq_loan_store (struct mq_turns *turns,
                    const struct mq_relay_loan_reply *reply);

/* router_handover.c */

/* Whether the cache host of TURN's program may have tokens that this host
   lacks.  */
bool mq_handover_may_help (const struct mq_turn *turn);
/* Sends the unused tokens and the budget record of PROGRAM, which has no turns
   left here, to its cache host.  Returns false if they stay at a host that
   other hosts don't ask.  */
bool mq_handover_program (struct mq_program *program);
/* Sends CHAIN, whose row is durable, to the cache host of PROGRAM.  */
void mq_handover_history (struct mq_turns *turns, const char *program,
                          const struct mq_chain *chain);
/* Sets the budget record of REPLY, allocated under CTX, from what this host
   knows of PROGRAM.  */
void mq_handover_set_record (TALLOC_CTX *ctx, const struct mq_program *program,
                             struct mq_relay_loan_reply *reply);

#endif
