/* router_state.h - what the parts of the router share.

   router.c is on top; below it router_caller.c (connections of callers),
   router_request.c (one request's life), router_turn.c, router_program.c and
   router_loan.c (histories and budgets of programs) and router_feed.c
   (configurations and workers), router_config.c (the one in force).
   router_try.c,
   router_pool.c and what is below them know nothing of this header.
   Needs: the modules it includes.  */

#ifndef MQ_ROUTER_STATE_H
#define MQ_ROUTER_STATE_H

#include "core/router/admission.h"
#include "core/router/attempt.h"
#include "core/router/budget.h"
#include "core/router/chain.h"
#include "core/router/event_stream.h"
#include "core/router/fleet.h"
#include "core/histogram.h"
#include "core/idmap.h"
#include "core/router/recent.h"
#include "core/router/reserve.h"
#include "core/router/route.h"
#include "net/buffer.h"
#include "net/http_message.h"
#include "log/json_log.h"
#include "ledger.h"
#include "router.h"
#include "router_pool.h"
#include "router_wire.h"
#include "rows.h"
#include "net/tcp.h"
#include "net/timer.h"

/* What the router counts; one row for each counter: name and help.  */
#define MQ_ROUTER_COUNTERS(X)                                                 \
  X (requests, "requests read from callers")                                  \
  X (served, "answers of workers passed on whole")                            \
  X (refused, "final answers that state: not run")                            \
  X (programs_refused, "programs that were not taken on")                     \
  X (failed, "final answers of our own after a worker may have run")          \
  X (broken, "answers that broke off after their beginning")                  \
  X (left, "requests whose caller left first")                                \
  X (retries, "further workers asked for a request")                          \
  X (resumed, "streams that went on at another worker")                       \
  X (budget_writes, "records of programs written")                            \
  X (turn_writes, "records of turns written")                                 \
  X (turn_reads, "records of turns read")                                     \
  X (loans_asked, "turns that asked other hosts, the table being away")       \
  X (loans_given, "answers to such a question that gave something")           \
  X (turns_lent, "turns that began with tokens or a history of other hosts")  \
  X (permits_used, "requests sent under a limit of their organisation")       \
  X (permits_asked, "questions to hosts that issue permits")                  \
  X (permits_issued, "permits issued to hosts")                               \
  X (permits_alone, "permits of a standing rate, the issuer being away")      \
  X (over_limit, "requests refused over a limit of their organisation")       \
  X (limit_unknown, "requests refused, nobody issuing permits")               \
  X (records_removed, "records of programs and turns removed")                \
  X (config_changes, "configurations taken into force")                       \
  X (worker_changes, "changes of the list of workers")

struct mq_router_counters
{
#define MQ_ROUTER_COUNTER(name, help) uint64_t name;
  MQ_ROUTER_COUNTERS (MQ_ROUTER_COUNTER)
#undef MQ_ROUTER_COUNTER
};

struct mq_caller;
struct mq_request;
struct mq_turns;
struct mq_config_load;
struct mq_config_query;
struct mq_loan;
struct mq_leases;
struct mq_permits;
struct mq_permit;
struct mq_cleaner;

/**
 * struct mq_router - one routing process
 * @routes: configuration in force, NULL: none yet
 * @config: the same as it came
 * @config_loading: one that is being read, NULL: none
 * @config_query: asks for the newest one, NULL: nobody ever asked
 * @workers_listed: the workers were listed once
 * @leaving: a stop was asked for
 * @stopped: nothing is left to do
 * @hosts_listed: the table of hosts was read once
 * @row_written: this host's row is in it
 * @callers: connections of callers
 * @ending_count: finished connections of callers that have not closed yet
 * @request_count: requests under way
 * @record_wait: how long ends of answers lately waited for their record, in
 *                thousandths of their route's objective
 * @latency: of answers passed on, by kind of route, milliseconds
 * @held_up: how late the event loop came to a timer, milliseconds
 * @sweep_due_ms: when that timer is due
 */
struct mq_router
{
  struct tevent_context *ev;
  const struct mq_router_settings *settings;
  struct mq_json_log *log;
  struct mq_fleet *fleet;
  struct mq_admission *admission;
  struct mq_pool *pool;
  struct mq_rows *rows;
  struct mq_relay *relay;
  struct mq_ledger *ledger;
  struct mq_turns *turns;
  struct mq_leases *leases;
  struct mq_permits *permits;
  struct mq_cleaner *cleaner;
  struct mq_route_table *routes;
  struct mq_bytes config;
  struct mq_config_load *config_loading;
  struct mq_config_query *config_query;
  bool workers_listed;
  bool stopping;
  bool stopped;
  uint64_t stopping_since_ms;
  uint32_t stop_ms;
  uint64_t random;
  struct mq_caller *callers;
  size_t caller_count;
  size_t ending_count;
  size_t request_count;
  struct mq_router_counters counters;
  struct mq_recent record_wait;
  struct mq_histogram latency[MQ_ROUTE_KINDS];
  struct mq_histogram loop_delay;
  uint64_t sweep_due_ms;
  struct tevent_fd *front_event;
  struct tevent_fd *ready_event;
  int front_fd;
  int ready_fd;
  uint64_t sync_ms;
  uint64_t hosts_ms;
  bool hosts_asked;
  bool announced;
  bool hosts_listed;
  bool row_written;
  uint64_t announced_ms;
  uint64_t counted_ms;
  bool table_down;
};

/* Final answers of our own.  */
enum mq_refusal
{
  MQ_REFUSE_NOTHING, /* no refusal */
  MQ_REFUSE_BAD_REQUEST,
  MQ_REFUSE_HEAD_TOO_LARGE,
  MQ_REFUSE_BODY_TOO_LARGE,
  MQ_REFUSE_SLOW_HEAD,
  MQ_REFUSE_UNKNOWN_KEY, /* no organisation has the caller's key */
  MQ_REFUSE_OVER_LIMIT,  /* of the caller's organisation */
  MQ_REFUSE_NO_PERMIT,   /* nobody can tell whether it is over the limit */
  MQ_REFUSE_NO_ROUTE,
  MQ_REFUSE_NO_TURN,
  MQ_REFUSE_BUDGET_EXHAUSTED,
  MQ_REFUSE_NOT_READY,
  MQ_REFUSE_NO_WORKER,
  MQ_REFUSE_NO_CAPACITY,
  MQ_REFUSE_OVERLOADED, /* a program that begins */
  MQ_REFUSE_LATE,       /* one that has lost much of its time, too */
  MQ_REFUSE_TABLE_UNAVAILABLE,
  MQ_REFUSE_TIMED_OUT,        /* not run */
  MQ_REFUSE_FAILED,           /* may have run */
  MQ_REFUSE_DEADLINE_EXCEEDED /* may have run; time is up */
};

/* router_caller.c */

/* Takes connections of callers; false with ERROR when it can't listen.  */
bool mq_callers_listen (struct mq_router *router, struct mq_error *error);
/* Closes connections that are idle or slow beyond the limits in force.  */
void mq_callers_sweep (struct mq_router *router);
/* Accepts the connections that wait and takes no further ones; at further
   calls closes the idle ones: the process is about to end.  */
void mq_callers_stop (struct mq_router *router);
/* REQUEST is told when CALLER leaves, until it answers.  */
void mq_caller_attach_request (struct mq_caller *caller,
                               struct mq_request *request);
/* Answers with STATUS and BODY as a whole; FIELDS: lines of further fields.
   WITH_BODY false: only the fields and LENGTH are told, as for HEAD.  */
void mq_caller_respond (struct mq_caller *caller, int status,
                        const char *fields, const void *body, size_t len,
                        bool with_body);
/* An answer in parts: its head, some bytes, and its end.  The bytes are
   false while the caller reads too slowly.  */
void mq_caller_begin_stream (struct mq_caller *caller, int status,
                             const char *fields);
bool mq_caller_send_chunk (struct mq_caller *caller, const void *data,
                           size_t len);
void mq_caller_end_stream (struct mq_caller *caller);
/* Ends the connection in the middle of an answer, for everyone to see.  */
void mq_caller_abort (struct mq_caller *caller);

/* router_refuse.c */

/**
 * struct mq_refusal_response - how a final answer of our own is given
 * @status: of HTTP
 * @retry_ms: when the caller may come back, 0: never
 * @name: in the log
 */
struct mq_refusal_response
{
  int status;
  uint32_t retry_ms;
  const char *name;
};

const struct mq_refusal_response *
mq_refusal_response (enum mq_refusal refusal);
/* Gives the answer; RETRY_MS is told in place of the row's, 0: that.  */
void mq_caller_refuse (struct mq_router *router, struct mq_caller *caller,
                       enum mq_refusal refusal, uint32_t retry_ms);

/* router_request.c */

/* A caller's request is whole.  HEAD and BODY stay until it is answered, which
   may be before this returns.  */
void mq_request_begin (struct mq_router *router, struct mq_caller *caller,
                       const struct mq_http_head *head, struct mq_bytes body,
                       uint64_t arrived_ms);
/* The caller has left, or reads again.  */
void mq_request_caller_disconnected (struct mq_request *request);
void mq_request_caller_writable (struct mq_request *request);

/* router_turn.c */

/* Tables of the records, and the parts that each is spread over: a power of
   two.  A part takes a few hundred transactions a second, so that these take
   as many as the table does.  With more of them fewer writes share a
   transaction, and the table's rate of calls binds.  */
extern const char mq_budget_table[];
extern const char mq_turn_table[];
#define MQ_TURN_PARTS 8U
/* Parts in which a turn's row may lie.  With two fifths of the parts silent, 6
   of 100 rows find none of three; a fourth would make a turn that does not
   exist cost one more read.  */
#define MQ_TURN_CANDIDATE_PARTS 3U
/* Records are kept an hour longer than anyone may ask for them: an active
   program's record is written again within minutes.  */
#define MQ_RECORD_GRACE_PERIOD_S 3600U

enum mq_turn_state
{
  MQ_TURN_READY,             /* budget and chain are there */
  MQ_TURN_BUDGET_EXHAUSTED,  /* the budget is spent */
  MQ_TURN_NOT_FOUND,         /* no such earlier turn */
  MQ_TURN_STORE_UNAVAILABLE, /* the platform's table can't tell */
  MQ_TURN_STORED             /* the turn is durable */
};

/**
 * struct mq_turn - a turn as seen by the budgets and histories
 * @program: id of its program
 * @limit: budget of the program, @most of the turn
 * @budgeted: it counts against a budget
 * @retains: it is kept for later turns
 * @retain_s: how long, seconds
 * @may_borrow: other hosts may be asked for what the table can't give
 * @granted: tokens that it may hand out, less than @most where there are no
 *           more; 0 before it is ready and after it has settled
 * @home: worker that has the program's cache, as far as is known; for a
 *        program that begins, where it is to stay; 0: none
 * @previous: turn that it continues from, NULL: none
 * @id: of the turn
 * @before: chain of @previous once it is ready, NULL: none
 * @told: called once for mq_turn_prepare and once for mq_turn_store
 */
struct mq_turn
{
  const char *program;
  const char *id;
  const char *previous;
  uint64_t limit;
  uint64_t max_tokens;
  bool budgeted;
  bool retains;
  uint32_t retain_s;
  bool may_borrow;
  uint64_t granted;
  uint64_t home;
  struct mq_chain *history;
  void (*notify) (enum mq_turn_state state, void *user);
  void *user;
  /* Used by router_turns.h alone.  */
  struct mq_turns *turns;
  struct mq_program *owner;
  struct mq_turn *next;
  struct mq_ledger_call *call;
  struct mq_timer *timer;
  struct mq_chain *partial_chain;
  char missing_id[MQ_TURN_ID_MAX];
  struct mq_chain *new_chain;
  struct mq_bytes record;
  bool queued;
  bool queried_nearby;
  bool record_checked;
  bool recall_done;
  uint32_t tries;
  uint32_t candidate;
  uint32_t unreadable;
  struct mq_loan *loan;
};

struct mq_turns *mq_turns_create (struct mq_router *router);
/* Reserves the turn's budget and finds its chain; TOLD may be called at
   once.  */
void mq_turn_prepare (struct mq_turns *turns, struct mq_turn *turn);
/* This host serves turns of PROGRAM.  */
bool mq_turns_has_program (struct mq_turns *turns, const char *program);
/* Reads the record of PROGRAM, which any host has written that served a turn
   of it.  */
struct mq_ledger_call *mq_turns_read_record (struct mq_turns *turns,
                                             const char *program,
                                             mq_rows_done *done, void *user);
/* The turn has ended and handed out USED tokens.  */
void mq_turn_settle_budget (struct mq_turn *turn, uint64_t used);
/* Makes the turn durable; TOLD says KEPT or NO_STORE.  */
void mq_turn_store (struct mq_turn *turn, struct mq_bytes input,
                    struct mq_bytes output);
/* Nobody waits any more.  Settles nothing.  */
void mq_turn_cancel (struct mq_turn *turn);
/* Forgets programs that are idle.  */
void mq_turns_sweep (struct mq_turns *turns);
/* This host has issued tokens of a program of the lease SLOT that no record
   counts yet.  */
bool mq_turns_have_unrecorded_tokens (const struct mq_turns *turns,
                                      uint32_t slot);

/* router_loan.c */

/* Another host asks for tokens or a history, tells what it lends, or returns
   what it did not use.  */
void mq_loan_on_request (const struct mq_relay_loan_ask *ask,
                         struct mq_relay_link *link, void *user);
void mq_loan_on_response (const struct mq_relay_loan_told *told,
                          const char *address, void *user);
void mq_loan_on_return (const struct mq_relay_loan_back *back, void *user);

/* router_reserve.c */

/* This host may issue permits of the organisations of SLOT; fills OWN.  */
bool mq_reserve_issues (const struct mq_router *router, uint32_t slot,
                        struct mq_reserve_own *own);
/* Address of the host that does, as far as is known; NULL: none is.  */
const char *mq_reserve_issuer (const struct mq_router *router, uint32_t slot);
/* The lease of SLOT seems to have moved: looks who has it now.  */
void mq_reserve_refresh_issuer (struct mq_router *router, uint32_t slot);
/* This host has leases of an earlier run of its own that would not have run
   out yet.  */
bool mq_reserve_has_prior_leases (const struct mq_router *router);
/* Takes, renews and gives back this host's leases.  */
void mq_reserve_sweep (struct mq_router *router);
/* This host is leaving: it takes no more of them, and gives back those that it
   has once no other host lives on what it lent, or after a while.  */
void mq_reserve_release_leases (struct mq_router *router);
/* Whether this host may issue tokens of PROGRAM that no record counts.  */
bool mq_reserve_may_issue (const struct mq_router *router,
                           const char *program);

/* router_permit.c */

enum mq_permit_state
{
  MQ_PERMIT_GRANTED,
  MQ_PERMIT_PENDING,    /* told later */
  MQ_PERMIT_OVER_LIMIT, /* over the organisation's limit */
  MQ_PERMIT_UNKNOWN     /* nobody can tell */
};

/* RETRY_MS: when to come back, 0: not said.  */
typedef void mq_permit_handler (enum mq_permit_state state, uint32_t retry_ms,
                                void *user);

struct mq_permits *mq_permits_create (struct mq_router *router);
/* A request of ORG, a program's first one: BEGINS, wants to be sent.  If it
   waits, *PERMIT is set and TOLD is called later; else *RETRY_MS is.  */
enum mq_permit_state mq_permit_request (struct mq_router *router,
                                        const struct mq_org *org, bool begins,
                                        mq_permit_handler *told, void *user,
                                        struct mq_permit **permit,
                                        uint32_t *retry_ms);
/* Such a request would be refused now; *RETRY_MS is set then.  */
bool mq_permit_would_refuse (struct mq_router *router,
                             const struct mq_org *org, bool begins,
                             uint32_t *retry_ms);
/* Nobody waits any more; NULL is allowed.  */
void mq_permit_cancel (struct mq_permit *permit);
/* Some host may live on what this one lent of organisations of SLOT.  */
bool mq_permits_lent (const struct mq_router *router, uint32_t slot);
void mq_permits_sweep (struct mq_router *router);
/* Another host wants permits, or tells what it issues.  */
void mq_permits_on_request (const struct mq_relay_quota_ask *ask,
                            struct mq_relay_link *link, void *user);
void mq_permits_on_response (const struct mq_relay_quota_told *told,
                             const char *address, void *user);
void mq_permits_on_recall (const struct mq_relay_quota_recall *recall,
                           struct mq_relay_link *link, void *user);

/* router_clean.c */

/* Removes records that are kept no longer, a little at a time.  */
void mq_clean_sweep (struct mq_router *router);

/* router_hosts.c */

/* Takes the hosts that the settings name.  */
void mq_hosts_start (struct mq_router *router);
/* Renews this host's row and lists the others' now and then.  */
void mq_hosts_sweep (struct mq_router *router);
/* This host takes no more calls of others.  */
void mq_hosts_stop (struct mq_router *router);

/* router_config.c */

struct mq_config_waiter;

/* CURRENT: the configuration in force is the newest as of the answer.  */
typedef void mq_config_latest_handler (bool current, void *user);

/* Takes VALUE, which is copied, into force if it is newer: at once if it is
   short, else in further turns of the event loop.  ROW: version of its row,
   0: not known.  */
void mq_config_offer (struct mq_router *router, struct mq_bytes value,
                      uint64_t row);
/* The platform was asked for its newest configuration within the last MS
   milliseconds, and it is in force.  */
bool mq_config_confirmed_within (const struct mq_router *router, uint32_t ms);
/* Asks the platform for its newest configuration, takes it into force, then
   tells; never from within this call.  Who asks while a question is under
   way waits for the next one.  */
struct mq_config_waiter *
mq_config_fetch_latest (struct mq_router *router,
                        mq_config_latest_handler *told, void *user);
/* Nobody waits any more; NULL is allowed.  */
void mq_config_cancel_fetch (struct mq_config_waiter *confirm);

/* router_feed.c */

/* The relay's side of configuration and workers.  */
void mq_feed_on_sync (const struct mq_relay_sync *sync,
                      struct mq_relay_link *link, void *user);
void mq_feed_on_state (const struct mq_relay_state *state, void *user);
/* Asks another host where our own feeds are dead.  */
void mq_feed_sweep (struct mq_router *router);
/* Learns the configuration and the workers and follows their changes.  */
void mq_feed_start (struct mq_router *router);

#endif
