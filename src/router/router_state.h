/* router_state.h - state and interfaces shared by the modules of the router.

   router.c is on top; below it are router_callers.c and router_caller.c
   (connections of callers), router_request.c (life cycle of a request),
   router_turn.c, router_retry.c, router_program.c, router_loan.c and
   router_handover.c (histories and budgets of programs), router_feed.c (feeds
   of the configuration and the workers) and router_config.c (the active
   configuration).  router_try.c, router_pool.c and the modules below them do
   not use this header.
   Needs: the modules it includes.  */

#ifndef MQ_ROUTER_STATE_H
#define MQ_ROUTER_STATE_H

#include "core/organisation/shares.h"
#include "core/router/admission.h"
#include "core/router/attempt.h"
#include "core/router/bounds.h"
#include "core/router/budget.h"
#include "core/router/chain.h"
#include "core/router/event_stream.h"
#include "core/router/evidence.h"
#include "core/router/fleet.h"
#include "core/organisation/program_need.h"
#include "core/router/pace.h"
#include "core/histogram.h"
#include "core/idmap.h"
#include "core/router/recent.h"
#include "core/router/reserve.h"
#include "core/router/streams.h"
#include "core/router/route.h"
#include "net/buffer.h"
#include "net/http_message.h"
#include "log/json_log.h"
#include "table_client.h"
#include "router.h"
#include "router_counters.h"
#include "router_pool.h"
#include "core/router/suspects.h"
#include "relay_frame.h"
#include "router_wire.h"
#include "rows.h"
#include "net/tcp.h"
#include "net/timer.h"

struct mq_caller;
struct mq_request;
struct mq_relay_link;
struct mq_streams;
struct mq_suspect_watch;
struct mq_turns;
struct mq_config_load;
struct mq_config_query;
struct mq_loan;
struct mq_retry;
struct mq_leases;
struct mq_permits;
struct mq_issuing;
struct mq_permit;
struct mq_cleaner;

/**
 * struct mq_router - one router process
 * @record_wait: recent waits of response ends for the turn's record, in
 *               thousandths of the route's objective
 * @pace: how long turns take, and the load that programs bear
 * @shares: recent demand of organisations, struct mq_shares by service
 * @routes: active configuration; NULL before the first one
 * @config: text of the active configuration
 * @config_loading: configuration being loaded, first of a list; NULL if none
 * @config_query: query for the latest configuration; NULL before the first one
 * @workers_listed: the list of workers was received
 * @streams: versions of the streams that this host served
 * @program_needs: what programs need; NULL if no organisation has any
 * @stopping: a stop was requested
 * @ending: the time of a stop is over; every request is answered at once
 * @stopped: the stop is complete
 * @stop_ms: time limit of a stop
 * @random: state of the random number generator
 * @callers: list of the connections of callers
 * @callers_max: connections that callers may hold
 * @bytes_max: bytes of requests and answers that may be buffered
 * @buffered_bytes: such bytes of all connections of callers
 * @ending_count: finished connections of callers that are not closed yet
 * @request_count: requests without a final response
 * @latency: latency of forwarded responses by kind of route, milliseconds
 * @evidence: what hosts tell each other of workers
 * @suspects: requests under which workers ended
 * @evidence_log_ms: time since which @evidence_lines log lines were written
 * @loop_delay: delay of the sweep timer, milliseconds
 * @sweep_due_ms: due time of the sweep timer, local monotonic clock
 * @host_lists: lists of hosts that had any
 * @first_until_s: expiry of the first row that this run wrote, table's clock;
 *                 0 if none
 * @announce_failures: consecutive failed writes of the row
 * @announce_retry_ms: delay after the last of them
 * @hosts_listed: the table of hosts was read
 * @row_written: this host's row is in that table
 * @feeds_healthy_ms: when this host last heard of new workers
 * @version_check_ms: next look for versions to record
 * @version_check_pending: a version is being recorded
 */
struct mq_router
{
  struct tevent_context *ev;
  const struct mq_router_settings *settings;
  struct mq_json_log *log;
  struct mq_fleet *fleet;
  struct mq_admission *admission;
  struct mq_pace *pace;
  struct mq_program_needs *program_needs;
  struct mq_idmap *shares;
  struct mq_pool *pool;
  struct mq_rows *rows;
  struct mq_relay *relay;
  struct mq_table_client *table_client;
  struct mq_turns *turns;
  struct mq_leases *leases;
  struct mq_permits *permits;
  struct mq_issuing *issuing;
  struct mq_cleaner *cleaner;
  struct mq_streams *streams;
  struct mq_route_table *routes;
  struct mq_bytes config;
  struct mq_config_load *config_loading;
  struct mq_config_query *config_query;
  bool workers_listed;
  bool stopping;
  bool ending;
  bool stopped;
  uint64_t stopping_since_ms;
  uint32_t stop_ms;
  uint64_t random;
  struct mq_caller *callers;
  size_t caller_count;
  size_t callers_max;
  size_t ending_count;
  uint64_t bytes_max;
  uint64_t buffered_bytes;
  size_t request_count;
  struct mq_router_counters counters;
  struct mq_recent record_wait;
  struct mq_histogram latency[MQ_ROUTE_KINDS];
  struct mq_histogram loop_delay;
  struct mq_evidence *evidence;
  struct mq_suspect_watch *suspects;
  uint64_t evidence_log_ms;
  uint32_t evidence_lines;
  uint64_t sweep_due_ms;
  struct tevent_fd *front_event;
  struct tevent_fd *ready_event;
  int front_fd;
  int ready_fd;
  uint64_t sync_ms;
  uint64_t hosts_ms;
  bool hosts_asked;
  uint32_t host_lists;
  bool announced;
  bool hosts_listed;
  bool row_written;
  uint64_t announced_ms;
  uint64_t first_until_s;
  uint32_t announce_failures;
  uint32_t announce_retry_ms;
  uint64_t counters_logged_ms;
  uint64_t load_invalid_logged_ms;
  bool table_down;
  uint64_t feeds_healthy_ms;
  uint64_t version_check_ms;
  bool version_check_pending;
};

/* Responses of the router itself.  */
enum mq_refusal
{
  MQ_REFUSE_NOTHING,
  MQ_REFUSE_BAD_REQUEST,
  MQ_REFUSE_HEAD_TOO_LARGE,
  MQ_REFUSE_BODY_TOO_LARGE,
  MQ_REFUSE_SLOW_HEAD,
  MQ_REFUSE_UNKNOWN_KEY, /* no organisation has the caller's key */
  MQ_REFUSE_OVER_LIMIT,  /* the caller's organisation is over its limit */
  MQ_REFUSE_NO_PERMIT,   /* the issuer of permits is unavailable */
  MQ_REFUSE_NO_ROUTE,
  MQ_REFUSE_NO_TURN,
  MQ_REFUSE_BUDGET_EXHAUSTED,
  MQ_REFUSE_NOT_READY,
  MQ_REFUSE_EXITING, /* the time of a stop is over */
  MQ_REFUSE_NO_WORKER,
  MQ_REFUSE_ENDS_WORKERS,   /* workers ended under the request */
  MQ_REFUSE_UNSETTLED,      /* they may have; not known yet */
  MQ_REFUSE_VERSION_GONE,   /* no worker of the resumed stream's version */
  MQ_REFUSE_STREAM_UNKNOWN, /* the resumed stream's version is unknown */
  MQ_REFUSE_NO_CAPACITY,
  MQ_REFUSE_NO_MEMORY,  /* buffered bytes are at their limit */
  MQ_REFUSE_OVERLOADED, /* a new program, because of the load */
  MQ_REFUSE_LATE,       /* likewise, and its deadline is at risk */
  MQ_REFUSE_TABLE_UNAVAILABLE,
  MQ_REFUSE_TIMED_OUT,        /* did not run */
  MQ_REFUSE_FAILED,           /* may have run */
  MQ_REFUSE_DEADLINE_EXCEEDED /* may have run; the deadline has passed */
};

/* router_callers.c */

/* Listens for callers.  Returns false with ERROR set on failure.  */
bool mq_callers_listen (struct mq_router *router, struct mq_error *error);
/* Closes the caller that has been idle for longest, so that its descriptor can
   be used; returns false if none is idle.  */
bool mq_callers_make_room (struct mq_router *router);
/* Closes connections that exceed the idle or header time limit.  */
void mq_callers_sweep (struct mq_router *router);
/* The first call accepts the pending connections and closes the listener;
   further calls close idle connections.  */
void mq_callers_stop (struct mq_router *router);
/* Answers every pending request and closes its connection.  */
void mq_callers_end (struct mq_router *router);
/* Records requests that wait for longer than their objective.  */
void mq_callers_note_late (struct mq_router *router);
/* Logs and counts the requests that have no final answer when the process
   exits.  */
void mq_callers_log_unanswered (struct mq_router *router);

/* router_caller.c */

/* Until it is answered, REQUEST is notified of events on the connection of
   CALLER.  */
void mq_caller_attach_request (struct mq_caller *caller,
                               struct mq_request *request);
/* Sends a complete response.  FIELDS: header lines to add.  If WITH_BODY is
   false, only LEN is announced, as for HEAD.  */
void mq_caller_respond (struct mq_caller *caller, int status,
                        const char *fields, const void *body, size_t len,
                        bool with_body);
/* Whether the answer, LEN bytes so far, may be buffered.  */
bool mq_caller_may_buffer (struct mq_caller *caller, size_t len);
/* Sends a response in chunks. mq_caller_send_chunk returns false while the
   send buffer is full.  */
void mq_caller_begin_stream (struct mq_caller *caller, int status,
                             const char *fields);
bool mq_caller_send_chunk (struct mq_caller *caller, const void *data,
                           size_t len);
void mq_caller_end_stream (struct mq_caller *caller);
/* Closes the connection without a final chunk, so that the caller sees that
   the response is incomplete.  */
void mq_caller_abort (struct mq_caller *caller);

/* router_refuse.c */

/**
 * struct mq_refusal_response - response to a refused request
 * @status: HTTP status
 * @retry_ms: delay sent in Retry-After; 0 if the field is omitted
 * @name: response body and outcome in the log
 */
struct mq_refusal_response
{
  int status;
  uint32_t retry_ms;
  const char *name;
};

const struct mq_refusal_response *
mq_refusal_response (enum mq_refusal refusal);
/* Sends the refusal.  RETRY_MS replaces the delay of the refusal; 0 keeps it.
   A refusal without Retry-After never gets one.  */
void mq_caller_refuse (struct mq_router *router, struct mq_caller *caller,
                       enum mq_refusal refusal, uint32_t retry_ms);

/* router_request.c */

/* Handles a complete request.  HEAD and BODY must stay valid until the
   response is sent, which may be before this returns.  */
void mq_request_begin (struct mq_router *router, struct mq_caller *caller,
                       const struct mq_http_head *head, struct mq_bytes body,
                       uint64_t arrived_ms);
/* The connection of the caller ended, or its send buffer has drained.  */
void mq_request_caller_disconnected (struct mq_request *request,
                                     enum mq_tcp_end end);
void mq_request_caller_writable (struct mq_request *request);
/* Records that the worker is late, once for each attempt.  */
void mq_request_note_late (struct mq_request *request);
/* Answers the request at once, truthfully as to whether it may have run.  */
void mq_request_end (struct mq_request *request);
/* Logs and counts a request that this host cuts off.  WHY is the outcome in
   the log.  */
void mq_request_log_unanswered (struct mq_request *request, const char *why);

/* router_turn.c */

/* Tables of the records, each spread over MQ_TURN_PARTS parts, a power of two.
   More parts raise the rate of transactions and lower the number of rows that
   share one.  */
extern const char mq_budget_table[];
extern const char mq_turn_table[];
extern const char mq_stream_table[];
#define MQ_TURN_PARTS 8U
/* Parts in which the row of a turn may be stored.  More of them tolerate more
   unavailable parts but cost an extra read for turns that do not exist.  */
#define MQ_TURN_CANDIDATE_PARTS 3U
/* Added to the retention period of records, so that none expires while it can
   still be requested.  */
#define MQ_RECORD_GRACE_PERIOD_S 3600U

enum mq_turn_state
{
  MQ_TURN_READY, /* history loaded and budget reserved */
  MQ_TURN_BUDGET_EXHAUSTED,
  MQ_TURN_NOT_FOUND,         /* the previous turn does not exist */
  MQ_TURN_STORE_UNAVAILABLE, /* the platform's table is unavailable */
  MQ_TURN_STORED             /* the turn is durable */
};

/**
 * struct mq_turn - history and budget of one turn
 * @program: id of the program
 * @id: id of the turn
 * @previous: id of the turn this one continues; NULL if none
 * @limit: token limit of the program
 * @max_tokens: token limit of the turn
 * @budgeted: the turn counts against @limit
 * @retains: the turn is stored for later turns
 * @retain_s: retention period, seconds
 * @may_borrow: other hosts may supply what the table can't
 * @granted: tokens reserved for the turn, @max_tokens; 0 before it is ready
 *           and after it is settled
 * @home: engine that caches the program, or is assigned to a new one; 0 if
 *        unknown
 * @home_full: @home has just rejected a turn of the program
 * @first_version: version for the program's record if it has none
 * @stream_version: software version at which the program's streams run unless
 *                  a row of their own names another; 0 if no durable record
 *                  names one.  Valid once the turn is ready
 * @history: chain up to @previous, set when the turn is ready; NULL if none
 * @notify: called once for mq_turn_prepare and once for mq_turn_store
 * @record_writes: writes of the record, retries included
 * @record_sent_ms: time of the last one, local monotonic clock
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
  bool home_full;
  uint64_t first_version;
  uint64_t stream_version;
  struct mq_chain *history;
  void (*notify) (enum mq_turn_state state, void *user);
  void *user;
  /* Private to the modules that share router_turns.h.  */
  struct mq_turns *turns;
  struct mq_program *owner;
  struct mq_turn *next;
  struct mq_table_client_call *call;
  struct mq_retry *retry;
  struct mq_chain *partial_chain;
  char missing_id[MQ_TURN_ID_MAX];
  struct mq_chain *new_chain;
  struct mq_bytes record;
  bool queued;
  bool queried_nearby;
  bool record_checked;
  bool recall_done;
  uint32_t tries;
  uint32_t record_writes;
  uint64_t record_sent_ms;
  uint32_t candidate;
  uint32_t unreadable;
  struct mq_loan *loan;
};

struct mq_turns *mq_turns_create (struct mq_router *router);
/* Reserves the budget of the turn and loads its history.  NOTIFY may be called
   before this returns.  */
void mq_turn_prepare (struct mq_turns *turns, struct mq_turn *turn);
/* Whether this host serves turns of PROGRAM.  */
bool mq_turns_has_program (struct mq_turns *turns, const char *program);
/* Whether PROGRAM has a record, and no other host has served it; before its
   first turn ends.  */
bool mq_turns_is_new_program (struct mq_turns *turns, const char *program);
/* Reads the budget record of PROGRAM, which exists once any host has served a
   turn with a budget.  */
struct mq_table_client_call *mq_turns_read_record (struct mq_turns *turns,
                                                   const char *program,
                                                   mq_rows_done *done,
                                                   void *user);
/* The worker that caches the turn's program has rejected the turn as full.  */
void mq_turn_home_rejected (struct mq_turn *turn);
/* Ends the reservation of the turn, which sent USED tokens.  */
void mq_turn_settle_budget (struct mq_turn *turn, uint64_t used);
/* Stores the turn; NOTIFY gets MQ_TURN_STORED or
   MQ_TURN_STORE_UNAVAILABLE.  */
void mq_turn_store (struct mq_turn *turn, struct mq_bytes input,
                    struct mq_bytes output);
/* Adds to LINE what the record of the turn waits for.  */
void mq_turn_log_record (const struct mq_turn *turn,
                         struct mq_json_line *line);
/* Cancels pending work and frees the history.  Does not settle the budget.  */
void mq_turn_cancel (struct mq_turn *turn);
/* Frees idle programs and records tokens issued during an outage.  */
void mq_turns_sweep (struct mq_turns *turns);

/* router_suspect_watch.c */

/* Creates the watch, below ROUTER, whose relay must exist.  NULL if out of
   memory.  */
struct mq_suspect_watch *mq_suspect_watch_create (struct mq_router *router);
/* The requests that are watched.  */
struct mq_suspects *mq_suspect_watch_list (struct mq_suspect_watch *watch);
/* A run of this host broke off: records it, tells other hosts, and asks the
   workers if ends of the same request lie behind.  */
void mq_suspect_watch_broke (struct mq_suspect_watch *watch,
                             const struct mq_suspects_end *end);
/* An end that another run of a host saw.  */
void mq_suspect_watch_take (struct mq_suspect_watch *watch,
                            const struct mq_suspects_end *end);
/* A run of this host was served: clears the request here and elsewhere.  */
void mq_suspect_watch_served (struct mq_suspect_watch *watch,
                              struct mq_id work);
/* WORKER, an instance digest, has ended: another one has its address.  */
void mq_suspect_watch_replaced (struct mq_suspect_watch *watch,
                                uint64_t worker);
/* Message of another host.  */
void mq_suspect_watch_receive (const struct mq_relay_run_ends *ends,
                               struct mq_relay_link *link, void *router);
/* router_suspect_metrics.c */

/* Adds the requests with most ends to metrics.  */
void mq_router_add_suspects (char **text, const struct mq_router *router);

/* router_suspect_rows.c */

/* Reads the rows of ended runs, once the table's clock is known; false before
   that.  */
bool mq_suspect_rows_read (struct mq_router *router);
/* Adds what is known of WORK to its row, and takes what the row has.  */
void mq_suspect_rows_update (struct mq_router *router, struct mq_id work);
void mq_suspect_rows_remove (struct mq_router *router, struct mq_id work);

/* router_retry.c */

/* The table is back: all retries of the router USER begin at once, slightly
   spread.  */
void mq_retry_all (void *user);

/* router_loan.c */

/* Messages of other hosts: a loan request, the reply to one, and returned
   tokens.  */
void mq_loan_on_request (const struct mq_relay_loan_request *request,
                         struct mq_relay_link *link, void *user);
void mq_loan_on_reply (const struct mq_relay_loan_reply *reply,
                       const char *address, void *user);
void mq_loan_on_return (const struct mq_relay_loan_return *back, void *user);

/* router_handover.c */

/* State of a program that another host served last.  */
void mq_handover_receive (const struct mq_relay_loan_reply *handover,
                          void *user);

/* router_reserve.c */

/* Whether this host may issue permits of the organisations in lease SLOT; if
   so, sets OWN.  */
bool mq_reserve_issues (const struct mq_router *router, uint32_t slot,
                        struct mq_reserve_own_lease *own);
/* Address of the host that issues them; NULL if unknown.  */
const char *mq_reserve_issuer (const struct mq_router *router, uint32_t slot);
/* Reads the current holder of lease SLOT, which may have changed.  */
void mq_reserve_refresh_issuer (struct mq_router *router, uint32_t slot);
/* Whether leases that this host held before a restart are still valid.  */
bool mq_reserve_has_prior_leases (const struct mq_router *router);
/* Claims, renews and releases this host's leases.  */
void mq_reserve_sweep (struct mq_router *router);
/* Claims no more leases; releases those held once no host uses permits lent
   under them, or after a time limit.  While the table is away they are handed
   to other hosts.  */
void mq_reserve_release_leases (struct mq_router *router);
/* Lease of a host that stops while the table is away.  */
void mq_reserve_on_handover (const struct mq_relay_lease_handover *handover,
                             void *user);
/* Whether this host may issue tokens of PROGRAM that are not recorded.  */
bool mq_reserve_may_issue (const struct mq_router *router,
                           const char *program);
/* Likewise, and if so this host may do it now but not again.  */
bool mq_reserve_take_issue (struct mq_router *router, const char *program);

/* router_shares.c */

/* Appends the demand of the busiest organisations of each service.  */
void mq_router_add_shares (char **text, const struct mq_router *router);
/* Appends load and left out workers of services to *TEXT.  */
void mq_router_add_services (char **text, const struct mq_router *router);

/* router_speed.c */

/* Appends the speed of the slowest workers.  */
void mq_router_add_speed (char **text, const struct mq_router *router);

/* router_permit.c */

enum mq_permit_kind
{
  MQ_PERMIT_BEGINS,    /* the first request of a program */
  MQ_PERMIT_CONTINUES, /* a further one */
  MQ_PERMIT_SINGLE     /* of no program */
};

enum mq_permit_state
{
  MQ_PERMIT_GRANTED,
  MQ_PERMIT_PENDING, /* the handler is called later */
  MQ_PERMIT_OVER_LIMIT,
  MQ_PERMIT_UNKNOWN /* the issuer is unavailable */
};

/* RETRY_MS: delay before the next attempt; 0 if unknown.  */
typedef void mq_permit_handler (enum mq_permit_state state, uint32_t retry_ms,
                                void *user);

struct mq_permits *mq_permits_create (struct mq_router *router);
/* Requests a permit of ORG.  NEED: what the program needs then, if KIND is
   MQ_PERMIT_BEGINS.  If the result is MQ_PERMIT_PENDING, sets *PERMIT and
   calls HANDLER later; otherwise sets *RETRY_MS.  */
enum mq_permit_state mq_permit_request (struct mq_router *router,
                                        const struct mq_org *org,
                                        enum mq_permit_kind kind,
                                        const struct mq_program_need *need,
                                        mq_permit_handler *handler, void *user,
                                        struct mq_permit **permit,
                                        uint32_t *retry_ms);
/* Whether such a request would be refused now; sets *RETRY_MS if so.  */
bool mq_permit_would_refuse (struct mq_router *router,
                             const struct mq_org *org,
                             enum mq_permit_kind kind, uint32_t *retry_ms);
/* Cancels the request.  PERMIT may be NULL.  */
void mq_permit_cancel (struct mq_permit *permit);
void mq_permits_sweep (struct mq_router *router);
/* Messages of other hosts: the reply to a permit request, and a recall of lent
   rates.  */
void mq_permits_on_reply (const struct mq_relay_quota_reply *reply,
                          const char *address, void *user);
void mq_permits_on_recall (const struct mq_relay_quota_recall *recall,
                           struct mq_relay_link *link, void *user);

/* router_issue.c */

/* RUN identifies this run of the process in its messages.  */
struct mq_issuing *mq_issuing_create (struct mq_router *router, uint64_t run);
/* Reply to REQUEST, which may be this host's own.  Its grants are allocated
   below CTX.  */
struct mq_relay_quota_reply
mq_issuing_reply (TALLOC_CTX *ctx, struct mq_issuing *issuing,
                  const struct mq_relay_quota_request *request);
/* A permit request of another host.  */
void mq_issuing_on_request (const struct mq_relay_quota_request *request,
                            struct mq_relay_link *link, void *user);
/* Recalls rates that earlier runs of this host lent, if there may be any.  */
void mq_issuing_recall (struct mq_issuing *issuing);
/* Whether another host may still use a rate that this one lent for an
   organisation of lease SLOT.  */
bool mq_issuing_has_lent (const struct mq_router *router, uint32_t slot);
void mq_issuing_sweep (struct mq_issuing *issuing, uint64_t now_ms);

/* router_clean.c */

/* Removes expired records, a batch per call.  */
void mq_clean_sweep (struct mq_router *router);

/* router_version_record.c */

/* Records versions of workers that were listed, and drops those that have
   left.  */
void mq_version_sweep (struct mq_router *router);

/* router_evidence.c */

/* Begins to look at the workers and to tell other hosts what is seen.  */
void mq_evidence_start (struct mq_router *router);
/* What another host saw of workers.  */
void mq_evidence_on_report (const struct mq_evidence_report *report,
                            void *user);

/* router_hosts.c */

/* Adds the seed hosts of the settings.  */
void mq_hosts_start (struct mq_router *router);
/* Periodically renews this host's row and lists the other hosts.  */
void mq_hosts_sweep (struct mq_router *router);
/* Removes the row of this host, so that other hosts send it no more calls.  */
void mq_hosts_stop (struct mq_router *router);

/* router_config.c */

struct mq_config_waiter;

/* CURRENT: the active configuration is confirmed to be the latest.  */
typedef void mq_config_latest_handler (bool current, void *user);

/* Activates VALUE, which is copied, if it is newer than the active
   configuration.  A long one is loaded in several iterations of the event
   loop.  ROW: version of its row; 0 if unknown.  */
void mq_config_submit (struct mq_router *router, struct mq_bytes value,
                       uint64_t row);
/* Whether the active configuration was confirmed as the latest within the last
   MS milliseconds.  */
bool mq_config_confirmed_within (const struct mq_router *router, uint32_t ms);
/* Fetches and activates the latest configuration, then calls HANDLER, never
   from within this call.  A request made during a pending query waits for the
   next one.  */
struct mq_config_waiter *
mq_config_fetch_latest (struct mq_router *router,
                        mq_config_latest_handler *handler, void *user);
/* Cancels the wait.  WAITER may be NULL.  */
void mq_config_cancel_fetch (struct mq_config_waiter *waiter);

/* router_feed.c */

/* Handlers of the relay for configuration and workers.  */
void mq_feed_on_sync (const struct mq_relay_sync *sync,
                      struct mq_relay_link *link, void *user);
void mq_feed_on_state (const struct mq_relay_state *state, void *user);
/* Fetches from another host what the feeds of this one no longer deliver.  */
void mq_feed_sweep (struct mq_router *router);
/* Subscribes to the configuration and the workers.  */
void mq_feed_start (struct mq_router *router);

#endif
