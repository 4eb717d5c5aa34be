/* gate_state.h - state of a gate, private to the gate_*.c files.

   Calls belong to a program and a partition; a run is a call at a worker; a
   cached program is the cache of one program at one worker.  Records link to
   each other in both directions.  All records are talloc children of the gate;
   the containers do not own their entries.

   Needs: gate.h, gate_table.h.  */

#ifndef MQ_GATE_STATE_H
#define MQ_GATE_STATE_H

#include "gate.h"
#include "gate_table.h"
#include "../limits.h"

/* Attempt number of a watermark that covers every attempt of its call.  */
#define MQ_GATE_ALL_ATTEMPTS UINT32_MAX

#define MQ_US_PER_MS 1000ULL

/* Highest fence seen of one partition, the peer that sent it, and the
   partition's calls.  */
struct gate_partition
{
  struct gate_link link;
  uint32_t partition;
  uint64_t fence;
  uint32_t peer;
  struct gate_list calls;
};

/**
 * struct gate_watermark - covers a call attempt and all earlier ones
 * @fence: fence under which it was set
 * @call: attempts of lower calls are covered
 * @attempt: attempts of @call up to this one are covered
 * @ran: the attempt @attempt of @call may have taken effect
 */
struct gate_watermark
{
  uint64_t fence;
  uint32_t call;
  uint32_t attempt;
  bool ran;
};

enum gate_lease
{
  GATE_LEASE_NONE,    /* never granted */
  GATE_LEASE_HELD,    /* valid until lease_until_us */
  GATE_LEASE_EXPIRED, /* not renewed: the cache is evicted */
  GATE_LEASE_ENDED    /* ended by its owner: the cache is evicted */
};

/**
 * struct gate_program - state of a program that outlives its calls
 * @settled: attempts refused under @settled.fence only: completed and
 *           forgotten, refused, or cancelled
 * @sealed: attempts of non-idempotent calls refused under any fence
 * @latest_fence: fence of the latest accepted call
 * @latest_call: number of that call; lower numbers are stale under this fence
 * @cached_programs: its caches, one per worker
 * @runs: number of its calls at workers
 * @lease: state of its cache lease
 * @lease_until_us: expiry of the lease
 * @ended_fence: fence under which the program ended
 * @fully_evicted: the program ended and none of its cache remains
 * @evicted_peer: peer to notify once the cache is evicted; 0 if none
 * @last_used_us: time of last use on the gate's @active_us clock
 */
struct gate_program
{
  struct gate_link link;
  struct mq_id id;
  struct gate_watermark settled;
  struct gate_watermark sealed;
  uint64_t latest_fence;
  uint32_t latest_call;
  struct gate_list calls;
  struct gate_list cached_programs;
  uint32_t runs;
  enum gate_lease lease;
  uint64_t lease_until_us;
  size_t lease_position;
  uint64_t ended_fence;
  bool fully_evicted;
  uint32_t evicted_peer;
  uint64_t last_used_us;
  struct gate_node by_use;
};

enum gate_call_state
{
  GATE_CALL_QUEUED,
  GATE_CALL_RUNNING,
  GATE_CALL_DONE /* completed; the outcome is retained */
};

struct gate_lane;
struct gate_run;

/**
 * struct gate_call - a call accepted by the gate
 * @ref: accepted attempt
 * @requested_attempt: highest attempt requested; used in the outcome
 * @accepted_fence: fence under which @ref was accepted
 * @answer_fence: highest fence under which the call was requested
 * @peer: requester under @answer_fence; 0 if none
 * @body_hash: hash of service, route and body
 * @deadline_us: 0 if none
 * @latest_start_us: latest start that can meet the deadline; UINT64_MAX if
 *                   there is no deadline
 * @prompt_tokens: estimated prompt length
 * @new_cache_tokens: estimated cache space that the call adds
 * @rank: queue order, lowest first; see gate_queue.c
 * @urgency_us: order within one rank and organisation, lowest first
 * @queue_us: time spent in the queue
 * @cancelled: CANCEL was received while it ran
 * @forgotten: FORGET was received while it ran
 * @outcome: valid once done; its body is a talloc child of the call
 */
struct gate_call
{
  struct gate_link link;
  struct gate_program *program;
  struct gate_partition *partition;
  struct gate_node by_program;
  struct gate_node by_partition;
  struct gate_node by_age; /* retained outcomes, or queued batch calls */
  struct mq_call_ref ref;
  uint32_t requested_attempt;
  uint64_t accepted_fence;
  uint64_t answer_fence;
  uint32_t peer;
  enum gate_call_state state;
  bool idempotent;
  bool cancelled;
  bool forgotten;
  bool continuing;
  uint64_t body_hash;
  uint32_t worker;
  enum mq_priority priority;
  uint64_t organisation;
  uint64_t shared_prefix;
  uint32_t max_tokens;
  uint32_t prompt_tokens;
  uint32_t new_cache_tokens;
  uint64_t arrived_us;
  uint64_t arrival; /* arrival sequence number, final tie-break */
  uint64_t deadline_us;
  uint64_t latest_start_us;
  uint64_t rank;
  uint64_t urgency_us;
  uint32_t group;
  struct gate_lane *lane;
  size_t lane_position;
  size_t expiry_position;
  char *service;
  char *route;
  char *traceparent;
  char *body; /* NULL once started */
  size_t body_len;
  struct gate_run *run;
  uint64_t queue_us;
  struct mq_outcome_msg outcome;
  size_t outcome_bytes;
};

/**
 * struct gate_run - a call at a worker, until the worker reports its end
 * @slot: handle passed to the worker; not reused while late reports that name
 *        it may arrive
 * @call: NULL if the call was dropped while running
 * @stopping: STOP was sent
 * @first_us: time of the first token; 0 before it
 * @tokens: tokens received so far
 */
struct gate_run
{
  struct gate_link link;
  uint32_t slot;
  uint32_t worker;
  struct gate_call *call;
  struct gate_program *program;
  struct mq_call_ref ref;
  char *traceparent;
  uint64_t organisation;
  uint64_t shared_prefix;
  bool continuing;
  bool stopping;
  uint32_t new_cache_tokens;
  uint64_t started_us;
  uint64_t first_us;
  uint32_t tokens;
};

/**
 * struct gate_cached_program - cache of one program at one worker
 * @tokens: size, estimated from outcomes and corrected by cache reports
 * @idle_since_us: end of the last use
 * @unused_token_ms: token-milliseconds held since the last use, up to
 *                   @idle_since_us
 * @evicting: eviction required; counted as held for an ended program
 * @evict_pending: EVICT was sent and not yet answered
 * @retry_us: time of the next EVICT
 * @backoff_ms: delay after the next failure
 * @failed: at least one eviction attempt has failed
 * @report: number of the last cache report that listed it
 */
struct gate_cached_program
{
  struct gate_program *program;
  struct gate_node by_program;
  struct gate_node by_worker;
  uint32_t worker;
  uint32_t tokens;
  uint32_t runs;
  uint64_t idle_since_us;
  uint64_t unused_token_ms;
  uint64_t last_used_us;
  uint64_t evict_sent_us;
  bool evicting;
  bool evict_pending;
  bool failed;
  uint64_t retry_us;
  uint32_t backoff_ms;
  size_t retry_position;
  uint64_t report;
};

enum
{
  GATE_GROUPS = 4,       /* batch or not, continuing or new */
  GATE_PREFIXES_MAX = 16 /* shared prefixes tracked per worker */
};

struct gate_prefix
{
  uint64_t hash;
  uint32_t tokens; /* 0 if not yet known */
  uint64_t last_used_us;
};

/* An order forwarded to a worker; its id was chosen by the sender.  */
struct gate_order
{
  struct gate_node by_worker;
  struct mq_order_msg order;
  uint32_t peer;
  bool pending;
  bool superseded; /* retained only to answer duplicates */
  enum mq_error_type result;
};

/**
 * struct gate_worker - one worker
 * @up: whether its engine is available
 * @reported: a cache report has arrived, or the cache is known to be empty
 * @report: number of cache reports received
 * @held_tokens: sum of the sizes of its cached programs
 * @new_cache_tokens: estimated cache space that its runs will add
 * @lanes: queued calls, one heap of lanes for each group
 * @flows: organisations with queued calls or recent service
 * @virtual_time: service received by the organisation dispatched last
 * @expiry: queued calls with a deadline, by latest start
 * @batch: queued batch calls in arrival order
 * @mean_run_us: moving average of the run time; 0 if not yet known
 * @prefill_rate: prompt tokens per second; 0 if not yet known
 * @decode_us: time per generated token; 0 if not yet known
 */
struct gate_worker
{
  uint32_t index;
  char *service;
  char *model;
  enum mq_service_kind kind;
  uint32_t slots;
  uint32_t cache_tokens;
  bool up;
  bool reported;
  uint64_t engine_boot;
  uint64_t report;
  uint64_t report_us;
  uint64_t previous_report_us;
  uint32_t running;
  uint32_t queued;
  uint32_t queued_by_priority[MQ_PRIORITY_COUNT];
  uint64_t queued_bytes;
  struct gate_heap lanes[GATE_GROUPS];
  struct gate_map flows;
  size_t flows_purge_at;
  uint64_t virtual_time;
  struct gate_heap expiry;
  struct gate_list batch;
  uint64_t mean_run_us;
  uint64_t mean_tokens_out;
  uint64_t prefill_rate;
  uint64_t decode_us;
  uint64_t held_tokens;
  uint64_t new_cache_tokens;
  uint32_t shared_tokens;
  struct gate_list cached_programs;
  struct gate_prefix prefixes[GATE_PREFIXES_MAX];
  struct gate_list orders;
  uint64_t order_fence;
};

struct mq_gate
{
  char *host;
  uint64_t boot;
  uint64_t random;
  uint64_t hash_seed;
  enum mq_gate_order order;
  uint32_t queue_max;
  uint32_t outcomes_max;
  struct gate_worker *workers;
  size_t worker_count;
  uint64_t lease_ms; /* most recent lease duration; 0 if none yet */
  uint64_t now_us;
  uint64_t active_us; /* run time; a suspension counts as 1 s at most */
  bool leaving;
  bool drained;
  uint32_t *peers;
  size_t peer_count;
  struct gate_map partitions;
  struct gate_map programs;
  struct gate_list programs_by_use;
  struct gate_map calls;
  struct gate_list retained_idempotent; /* oldest first */
  size_t retained_count;
  size_t retained_bytes;
  uint64_t arrivals;
  struct gate_map runs;
  uint32_t last_slot;
  struct gate_heap leases;  /* programs by lease expiry */
  struct gate_heap retries; /* cached programs by retry time */
  uint64_t held_tokens;
  uint64_t ended_tokens;
  uint64_t held_remainder;
  uint64_t ended_remainder;
  bool load_dirty;
  uint64_t load_sent_us;
  struct mq_gate_counters counters;
  struct mq_actions *actions;         /* of the input being handled */
  struct gate_partition *reconnected; /* its owner reconnected in this input */
};

/* gate.c */
bool mq_gate_peer_is_up (const struct mq_gate *gate, uint32_t peer);
void mq_gate_send (struct mq_gate *gate, uint32_t peer,
                   const struct mq_message *message);
void mq_gate_log_state (struct mq_gate *gate, enum mq_state_change change,
                        uint64_t number, const char *subject);
void mq_gate_record_span (struct mq_gate *gate, const char *name,
                          const char *traceparent,
                          const struct mq_call_ref *ref, uint64_t start_us,
                          enum mq_error_type error);
void *mq_gate_alloc (TALLOC_CTX *ctx, size_t size, const char *name);
char *mq_gate_strdup (TALLOC_CTX *ctx, const char *text);

/* gate_programs.c */
struct gate_partition *mq_gate_raise_fence (struct mq_gate *gate,
                                            uint32_t number, uint64_t fence,
                                            uint32_t peer);
uint64_t mq_gate_get_fence (const struct mq_gate *gate, uint32_t partition);
struct gate_program *mq_gate_program_find (struct mq_gate *gate,
                                           struct mq_id id);
struct gate_program *mq_gate_program_get (struct mq_gate *gate,
                                          struct mq_id id);
void mq_gate_program_touch (struct mq_gate *gate,
                            struct gate_program *program);
void mq_gate_programs_expire (struct mq_gate *gate);
void mq_gate_mark_settled (struct gate_program *program, uint64_t fence,
                           const struct mq_call_ref *ref, bool ran);
void mq_gate_mark_sealed (struct gate_program *program, uint32_t call,
                          uint32_t attempt);
bool mq_gate_is_sealed (const struct gate_program *program,
                        const struct mq_call_ref *ref);
bool mq_gate_is_stale_call (const struct gate_program *program,
                            const struct mq_call_msg *msg, enum mq_ran *ran);

/* gate_calls.c */
struct gate_call *mq_gate_call_find (struct mq_gate *gate,
                                     const struct mq_call_ref *ref);
void mq_gate_handle_call (struct mq_gate *gate, uint32_t peer,
                          const struct mq_call_msg *msg);
/* Refuses a queued call and removes it from the queue and the table.  Later
   copies of it are refused too.  */
void mq_gate_call_refuse (struct mq_gate *gate, struct gate_call *call,
                          enum mq_error_type error, uint32_t retry_after_ms);
void mq_gate_call_drop (struct mq_gate *gate, struct gate_call *call);
void mq_gate_call_finish (struct mq_gate *gate, struct gate_call *call,
                          const struct mq_gate_done *done);
void mq_gate_send_refusal (struct mq_gate *gate, uint32_t peer,
                           const struct mq_ref_msg *about,
                           enum mq_error_type error, enum mq_ran ran,
                           uint32_t retry_after_ms);
void mq_gate_count_refusal (struct mq_gate *gate, enum mq_error_type error);
void mq_gate_send_outcome (struct mq_gate *gate, uint32_t peer,
                           const struct gate_call *call, uint32_t attempt,
                           bool recovered);
void mq_gate_set_requester (struct gate_call *call, uint32_t peer,
                            uint64_t fence, uint32_t attempt);
void mq_gate_mark_not_run (struct gate_program *program,
                           const struct mq_call_ref *ref, uint64_t fence,
                           bool idempotent);
void mq_gate_forget_call (struct mq_gate *gate, struct gate_call *call);

/* gate_settle.c */
void mq_gate_handle_cancel (struct mq_gate *gate, uint32_t peer,
                            const struct mq_ref_msg *msg);
void mq_gate_handle_seal (struct mq_gate *gate, uint32_t peer,
                          const struct mq_ref_msg *msg);
void mq_gate_handle_recover (struct mq_gate *gate, uint32_t peer,
                             const struct mq_recover_msg *msg);
void mq_gate_handle_forget (struct mq_gate *gate, uint32_t peer,
                            const struct mq_ref_msg *msg);
/* The owner of PARTITION has reconnected as PEER.  */
void mq_gate_calls_reattach (struct mq_gate *gate,
                             struct gate_partition *partition, uint32_t peer);
void mq_gate_cancel_program_calls (struct mq_gate *gate,
                                   struct gate_program *program);

/* gate_runs.c */
void mq_gate_run_start (struct mq_gate *gate, struct gate_call *call);
void mq_gate_run_stop (struct mq_gate *gate, struct gate_run *run);
void mq_gate_handle_token (struct mq_gate *gate,
                           const struct mq_gate_token *token);
void mq_gate_handle_done (struct mq_gate *gate,
                          const struct mq_gate_done *done);

/* gate_queue.c */
/* Returns MQ_ERR_NONE if CALL may be queued or started, else the reason for
   refusing it.  May refuse a queued batch call to make room.  */
enum mq_error_type mq_gate_queue_admit (struct mq_gate *gate,
                                        const struct gate_call *call,
                                        uint32_t *retry_after_ms);
void mq_gate_queue_add (struct mq_gate *gate, struct gate_call *call);
void mq_gate_queue_remove (struct mq_gate *gate, struct gate_call *call);
/* Starts queued calls while slots are free and refuses expired ones.  */
void mq_gate_queue_run (struct mq_gate *gate, struct gate_worker *worker);
void mq_gate_queue_refuse_all (struct mq_gate *gate,
                               struct gate_worker *worker,
                               enum mq_error_type error);
void mq_gate_queue_charge (struct mq_gate *gate, struct gate_worker *worker,
                           uint64_t organisation, uint64_t tokens);
uint32_t mq_gate_queue_retry_after_ms (struct mq_gate *gate,
                                       const struct gate_worker *worker);
void mq_gate_queue_estimate (struct mq_gate *gate, struct gate_call *call,
                             const struct mq_call_msg *msg);
void mq_gate_queue_create (struct mq_gate *gate, struct gate_worker *worker);

/* gate_cache.c */
void mq_gate_cache_create (struct mq_gate *gate);
void mq_gate_cache_accumulate (struct mq_gate *gate, uint64_t elapsed_us);
void mq_gate_cache_run_started (struct mq_gate *gate, struct gate_run *run);
void mq_gate_cache_run_ended (struct mq_gate *gate, struct gate_run *run,
                              const struct mq_gate_done *done);
uint32_t mq_gate_count_cached_tokens (struct mq_gate *gate,
                                      const struct gate_program *program,
                                      uint32_t worker);
void mq_gate_handle_evicted (struct mq_gate *gate,
                             const struct mq_gate_evicted *evicted);
void mq_gate_handle_cache_report (struct mq_gate *gate,
                                  const struct mq_gate_cache *cache);
void mq_gate_handle_probe (struct mq_gate *gate, uint32_t peer,
                           const struct mq_probe_msg *msg);
void mq_gate_cache_reset (struct mq_gate *gate, struct gate_worker *worker);
bool mq_gate_has_cache (const struct gate_worker *worker);
struct gate_cached_program *
mq_gate_get_cached_program (struct mq_gate *gate, struct gate_program *program,
                            struct gate_worker *worker);
void mq_gate_cancel_eviction (struct mq_gate *gate,
                              struct gate_cached_program *cached_program);
void mq_gate_begin_evictions (struct mq_gate *gate,
                              struct gate_program *program);
void mq_gate_notify_evicted (struct mq_gate *gate,
                             struct gate_program *program);
void mq_gate_retry_evictions (struct mq_gate *gate);

/* gate_lease.c */
void mq_gate_handle_lease (struct mq_gate *gate, uint32_t peer,
                           const struct mq_lease_msg *msg);
void mq_gate_lease_tick (struct mq_gate *gate);
/* Grants PROGRAM a default cache lease if it has none and an accepted call
   will use the cache of WORKER.  */
void mq_gate_grant_lease (struct mq_gate *gate, struct gate_program *program,
                          const struct gate_worker *worker);
void mq_gate_set_lease (struct mq_gate *gate, struct gate_program *program,
                        uint64_t ms);

/* gate_orders.c */
void mq_gate_handle_order (struct mq_gate *gate, uint32_t peer,
                           const struct mq_order_msg *msg);
void mq_gate_handle_order_done (struct mq_gate *gate,
                                const struct mq_order_done_msg *done);
void mq_gate_orders_resend (struct mq_gate *gate, struct gate_worker *worker);

/* gate_load.c */
void mq_gate_load_record_run (struct gate_worker *worker,
                              const struct gate_run *run,
                              const struct mq_gate_done *done,
                              uint64_t run_us);
uint32_t mq_gate_load_cache_used (const struct gate_worker *worker);
void mq_gate_load_push (struct mq_gate *gate, bool immediately);
void mq_gate_load_send (struct mq_gate *gate, uint32_t peer);
uint64_t mq_gate_load_due (const struct mq_gate *gate);
char *mq_gate_status_text (TALLOC_CTX *ctx, const struct mq_gate *gate);

#endif
