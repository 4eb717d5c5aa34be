/* world_state.h - state of the simulated world, private to the world_*.c
   files.

   world.c         event queue, hosts, state machines and their actions
   world_wire.c    connections between hosts
   world_store.c   the table with its faults, operators
   world_worker.c  workers: engines, plain services, tools
   world_caller.c  callers
   world_fault.c   steps and fault injection
   world_check.c   invariants checked at the end
   Needs: world.h, proto/log.pb-c.h, jansson.  */

#ifndef MQ_TEST_WORLD_STATE_H
#define MQ_TEST_WORLD_STATE_H

#include "world.h"
#include <jansson.h>

enum
{
  ENTRIES = 3,
  TARGETS = 3,
  HOSTS = ENTRIES + TARGETS,
  WORKERS = 3,
  CALLERS = 5,
  CALLERS_MAX = 29, /* including those of an outage */
  OPERATORS = 2,
  REQUESTS_PER_CALLER_MAX = 6,
  PARTITIONS = 4, /* as configured in world_store.c */
  NO_HOST = -1
};

#define MS 1000ULL
#define SECOND 1000000ULL

/* Virtual times, in microseconds.  */
#define HEARTBEAT_INTERVAL_US (MQ_HEARTBEAT_MS * MS)
#define PEER_TIMEOUT_US (MQ_PEER_TIMEOUT_MS * MS)
#define STORE_TIMEOUT_US (MQ_STORE_TIMEOUT_MS * MS)
#define HOSTS_READ_US (1 * SECOND)
#define LIST_LAG_US (1500 * MS)
#define CACHE_READ_US (500 * MS)
#define RESTART_US (3 * SECOND)
#define GATE_RESTART_US (300 * MS)
#define ENGINE_RESTART_US (200 * MS)
#define DATA_CENTRE_RESTART_US (6 * SECOND)
#define PAUSE_US (7 * SECOND)
#define OUTAGE_US (8 * SECOND)
#define SLOW_STORE_DELAY_US (1500 * MS)
#define LATE_DELAY_US (1200 * MS)
#define STOP_NOTICE_US (2 * MS)
#define CALLERS_START_US (1500 * MS)
#define LONG_OUTAGE_US (30 * SECOND)
#define LONG_OUTAGE_FROM_US (1900 * MS)
#define OUTAGE_CALLER_INTERVAL_US (1200 * MS)
#define MEMORY_MAX (8ULL << 20) /* bytes per process */
/* Store quota per second of the hosts that survive a data centre: scans,
   configuration reads and renewals of each host, and the takeover of each
   partition.  */
#define LOAD_HOST_READS 6
#define LOAD_PARTITION_READS 12
#define LOAD_HOST_WRITES 3
#define LOAD_PARTITION_WRITES 2
#define CALLER_TIMEOUT_US (9 * SECOND)
#define SMALL_CHECKPOINT_RECORDS 8
#define SMALL_INLINE_BYTES 400
/* Time to evict the cache of an ended program: its lease, and the grace period
   in which a restarted process waits for a program to claim it.  */
#define EVICTION_DEADLINE_US                                                  \
  (CACHE_LEASE_US + MQ_GATE_LEASE_GRACE_MS * MS + SECOND)
#define CACHE_LEASE_US (4 * SECOND) /* as configured in world_store.c */
/* Time to take over a partition whose owner is gone.  */
#define TAKEOVER_DEADLINE_US (LEASE_US + 6 * SECOND)
#define LEASE_US (2 * SECOND)
#define RUN_TIMEOUT_US (300 * SECOND)
/* Exceeded only if the state machines never become idle.  */
#define EVENTS_MAX 400000ULL
#define IDLE_PERIOD_US (4 * SECOND)   /* after the last caller is done */
#define CACHE_EXPIRY_US (90 * SECOND) /* all caches have expired */

enum event_type
{
  EVENT_TICK,           /* index: machine */
  EVENT_MESSAGE,        /* index: wire; end: receiver */
  EVENT_CONNECT,        /* index and end: the hosts */
  EVENT_WIRE_UP,        /* index: wire, end */
  EVENT_WIRE_DOWN,      /* index: wire, end */
  EVENT_HEARTBEAT,      /* index: wire */
  EVENT_ACTIONS_RESUME, /* continues a list of actions */
  EVENT_FORWARD,        /* front to owner, same process */
  EVENT_OWNER_REPLY,    /* owner to front, same process */
  EVENT_TO_CALLER,      /* index: caller */
  EVENT_CALLER_TIMER,   /* index: caller */
  EVENT_REQUEST,        /* index: caller; reaches the front */
  EVENT_CALLER_DISCONNECT,
  EVENT_STORE_REQUEST,
  EVENT_STORE_RESULT, /* reaches the requester */
  EVENT_OPERATOR,     /* index: operator */
  EVENT_CALL_STAGE,   /* index: run; starts its next stage */
  EVENT_EVICTED,      /* index: worker */
  EVENT_ORDER_DONE,
  EVENT_CACHE_READ, /* index: worker */
  EVENT_ENGINE,     /* index: worker; flag: stops, else starts */
  EVENT_HOST_LIST,  /* a host reads the host list */
  EVENT_HOST_START,
  EVENT_HOST_WAKE, /* a paused process continues */
  EVENT_PLANNED_STOP,
  EVENT_CRASH,
  EVENT_CHECK_IDLE, /* checks whether the world is idle */
  EVENT_STORE_UP,
  EVENT_OUTAGE /* the long outage begins */
};

enum requester
{
  REQUESTER_OWNER,
  REQUESTER_SPREAD,
  REQUESTER_OPERATOR
};

/**
 * struct world_event - something that happens at a time
 * @host: receiving process, or NO_HOST; delayed while that is paused
 * @run: run of the process that it is for; 0: any
 */
struct world_event
{
  uint64_t at_us;
  uint64_t number;
  enum event_type type;
  int host;
  uint32_t run;
  int index;
  int end;
  enum requester requester;
  uint64_t handle;
  struct mq_message *message;
  struct mq_event_msg *answer;
  struct mq_store_request *request;
  struct mq_store_result *result;
  struct mq_actions *actions;
  size_t action_next;
  enum machine
  {
    MACHINE_OWNER,
    MACHINE_FRONT,
    MACHINE_SPREAD,
    MACHINE_GATE,
    MACHINES
  } machine;
  struct mq_id program;
  bool flag;
};

/* Fault applied to the next message or store request of a host.  */
enum delivery_fault
{
  DELIVERY_NORMAL,
  DELIVERY_DELAYED,
  DELIVERY_DUPLICATED,
  DELIVERY_BLACKHOLED,
  DELIVERY_REORDERED,
  DELIVERY_REPLY_LOST,
  DELIVERY_APPLIED_LATE
};

/**
 * struct wire - one connection between two hosts
 * @host: hosts at its ends
 * @run: runs of their processes
 * @handle: peer handle at each end
 * @open: whether each end holds it open
 * @silent: drops messages in both directions
 * @last_us: latest delivery to each end, to keep the order
 * @received_us: when each end last received something
 */
struct wire
{
  int host[2];
  uint32_t run[2];
  uint32_t handle[2];
  bool open[2];
  bool silent;
  uint64_t last_us[2];
  uint64_t received_us[2];
};

struct engine_cache_entry
{
  struct mq_id program;
  uint32_t tokens;
  uint64_t last_used_us;
};

/* A worker of a target host; continues to run when the gate's process
   restarts.  */
struct worker
{
  enum mq_service_kind kind;
  bool up;
  bool hangs; /* does not reply to the next call */
  uint32_t boot;
  struct engine_cache_entry *cache;
  size_t cache_count;
};

struct host
{
  int index;
  enum mq_host_role role;
  char name[16];
  char address[32];
  const char *data_centre;
  uint32_t run; /* incremented at each start */
  uint64_t boot;
  bool alive;
  /* Paused during an action; the rest runs on wake-up.  */
  bool actions_deferred;
  bool rebooting; /* only the gate's process restarts; the host stays listed */
  uint64_t paused_until_us;
  bool leaving;
  uint64_t leave_us;
  uint64_t alive_us;
  uint64_t dead_us;
  TALLOC_CTX *memory;
  struct mq_owner *owner;
  struct mq_front *front;
  struct mq_spread *spread;
  struct mq_gate *gate;
  struct mq_text *text;
  uint64_t version;
  uint64_t tick_us[MACHINES];
  struct world_event **backlog;
  size_t backlog_count;
  uint32_t next_peer;
  enum delivery_fault message_delivery;
  enum delivery_fault store_delivery;
  struct worker workers[WORKERS];
};

/* A call that a gate started.  */
struct run
{
  int host;
  uint32_t host_run;
  uint32_t worker;
  uint32_t worker_boot;
  struct mq_call_ref ref;
  uint32_t slot;
  char *body; /* messages (model) or arguments (others) */
  char *answer;
  char *content;
  uint32_t max_tokens;
  uint32_t tokens_in;
  uint32_t tokens;
  uint32_t cached;
  uint32_t tokens_done;
  uint32_t stage;
  bool hangs;
  bool stopped;
  bool ended;
};

/* Observed execution of one call of a program.  */
struct observed_call
{
  struct mq_id program;
  uint32_t call;
  bool idempotent;
  uint32_t starts;
  uint32_t ends;
  uint32_t effects;
  bool reported_not_run; /* not_run was reported to the program */
  char *result;          /* plain service or tool */
};

/* Observed execution of one program.  */
struct observed_program
{
  struct mq_id program;
  uint32_t starts;
  bool refused;      /* not_run was reported to the caller, which stops */
  uint64_t ended_us; /* when its end became durable; 0: not yet */
  char **finals;
  size_t final_count;
};

struct observed_spend
{
  uint64_t family; /* high half of the program IDs */
  uint64_t tokens;
};

/* First arrival of a call at a gate.  */
struct arrival
{
  int host;
  uint32_t run;
  struct mq_call_ref ref;
  uint64_t at_us;
};

/* Content of a caller's request.  */
enum request_text
{
  TEXT_NONE,
  TEXT_CHAIN,  /* model, tool, plain, sub-program, model; then the answer */
  TEXT_TALK,   /* model, plain, model; then the answer and a user turn */
  TEXT_FOLLOW, /* that turn: model, tool, model; then the answer */
  TEXT_LOOP,   /* model and tool, endlessly */
  TEXT_LETTER, /* model; then the answer */
  TEXT_ASK,    /* caller-driven: one model call */
  TEXT_SUBMIT  /* caller-driven: one plain call */
};

/**
 * struct scripted_request - one request of a caller's script
 * @service: OPEN, CREATE: agent; STEP: service
 * @route: STEP: route, else empty
 * @sequence: STEP: its number
 * @text: content
 */
struct scripted_request
{
  enum mq_request_type type;
  const char *service;
  const char *route;
  uint32_t sequence;
  enum request_text text;
};

struct caller
{
  int index;
  const struct scripted_request *requests;
  size_t request_count;
  size_t request_index;
  struct mq_id program;
  char *organisation;
  char *key;
  char *bodies[REQUESTS_PER_CALLER_MAX];
  const char *texts[2 * REQUESTS_PER_CALLER_MAX]; /* user texts that its
                                                     histories may contain */
  size_t text_count;
  enum
  {
    CALLER_IDLE,
    CALLER_WAITING,
    CALLER_BACKOFF,
    CALLER_DONE
  } state;
  int host;
  uint32_t host_run;
  uint64_t handle;
  uint64_t last_us; /* last request or event */
  uint64_t timer_us;
  uint32_t tries;
  uint32_t refusals;
  bool may_have_run; /* an earlier attempt of this request may have run */
  uint32_t ends;     /* final events received for this handle */
  char *answers[REQUESTS_PER_CALLER_MAX]; /* final bodies; NULL: refused */
  enum mq_error_type errors[REQUESTS_PER_CALLER_MAX];
  uint32_t stream_call;
  char *stream;
  bool rechecking; /* repeats its requests while the world is idle */
};

struct world_operator
{
  int index;
  enum
  {
    OPERATOR_IDLE,
    OPERATOR_READING,
    OPERATOR_WRITING,
    OPERATOR_VERIFYING,
    OPERATOR_DONE
  } state;
  uint32_t applies_left;
  uint32_t applies;
  uint8_t id[16];
  uint64_t base_row;
  uint64_t version;
  char *base;
  struct mq_bytes value;
};

struct accepted
{
  uint64_t version;
  uint8_t id[16];
};

struct world
{
  const struct world_cell *cell;
  struct world_report *report;
  bool trace;
  uint64_t now_us;
  uint64_t random;
  struct world_event **heap;
  size_t heap_count;
  size_t heap_capacity;
  uint64_t next_number;
  struct host hosts[HOSTS];
  struct wire *wires;
  size_t wire_count;
  int current[HOSTS][HOSTS]; /* wire between two hosts, or NO_HOST */
  bool connecting[HOSTS][HOSTS];
  struct mq_table *table;
  bool small_batches;      /* frequent checkpoints, small batches */
  uint64_t outage_from_us; /* start of the long outage; 0: none */
  uint64_t outage_until_us;
  int last_owner[PARTITIONS]; /* host, or NO_HOST */
  uint32_t last_run[PARTITIONS];
  uint64_t fences[PARTITIONS]; /* in the table */
  uint64_t centre_dead_us;     /* when a data centre failed; 0: never */
  uint64_t load_second;        /* second since then that LOAD counts */
  struct world_load load;
  bool replayed;            /* all owners were restarted while idle */
  uint32_t ends;            /* processes that ended, planned or not */
  struct mq_bytes *removed; /* batches of removed log rows */
  size_t removed_count;
  uint64_t checkpoints[PARTITIONS]; /* highest checkpoint written to a row */
  uint64_t unowned_us[PARTITIONS];  /* since when it has no owner; 0: owned */
  uint64_t no_entry_until_us; /* end of the last time without a running entry
                                 host */
  struct installed
  {
    uint64_t checkpoint;
    uint64_t sequence; /* log position when the row first referenced it */
  } installed[PARTITIONS];
  bool store_down;
  bool store_slow;
  struct run **runs;
  size_t run_count;
  struct observed_call *calls;
  size_t call_count;
  struct observed_program *programs;
  size_t program_count;
  struct observed_spend *spent;
  size_t spent_count;
  struct arrival *arrivals;
  size_t arrival_count;
  struct caller callers[CALLERS_MAX];
  int caller_count;
  uint64_t next_handle;
  struct world_operator operators[OPERATORS];
  struct accepted *accepted;
  size_t accepted_count;
  uint64_t next_store_id;
  enum delivery_fault operator_delivery;
  int acting; /* host whose action is running, or NO_HOST */
  bool script_done;
  enum world_script script;
  bool first_injected;
  uint32_t steps_since;
  uint64_t faults_end_us;
  uint64_t done_us; /* when callers and operators were done */
  bool finished;
};

/* Hosts and program that a step concerns.  */
struct site
{
  enum world_step step;
  int entry; /* owner, or NO_HOST */
  int target;
  int actor;  /* sender of the message or request */
  int worker; /* worker, or -1: any */
  struct mq_id program;
};

/* world.c */
void world_trace (struct world *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void world_report_violation (struct world *world,
                             enum world_invariant invariant,
                             const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
struct world_event *world_event_create (struct world *world,
                                        enum event_type type, int host);
void world_push (struct world *world, struct world_event *event,
                 uint64_t at_us);
uint64_t world_delay (struct world *world, uint64_t min_us, uint64_t max_us);
bool world_is_current_run (const struct world *world, int host, uint32_t run);
void world_crash (struct world *world, int host, uint64_t restart_us);
void world_pause (struct world *world, int host, uint64_t pause_us);
void world_stop (struct world *world, int host);
int world_owner_of (const struct world *world, struct mq_id program);
void world_owner_input (struct world *world, int host,
                        const struct mq_owner_input *input);
void world_front_input (struct world *world, int host,
                        const struct mq_front_input *input);
void world_spread_input (struct world *world, int host,
                         const struct mq_spread_input *input);
void world_gate_input (struct world *world, int host,
                       const struct mq_gate_input *input);
void world_extend_faults (struct world *world, uint64_t at_us);

/* world_wire.c */
void wire_connect_later (struct world *world, int a, int b, uint64_t in_us);
void wire_connect (struct world *world, const struct world_event *event);
void wire_up (struct world *world, const struct world_event *event);
void wire_down (struct world *world, const struct world_event *event);
void wire_heartbeat (struct world *world, const struct world_event *event);
void wire_message (struct world *world, const struct world_event *event);
void wire_send (struct world *world, int host, uint32_t handle,
                const struct mq_message *message);
void wire_host_crashed (struct world *world, int host, bool silently);
void wire_silence (struct world *world, struct wire *wire);

/* world_store.c */
void store_send (struct world *world, int host, enum requester requester,
                 const struct mq_store_request *request);
void store_serve (struct world *world, const struct world_event *event);
void store_done (struct world *world, const struct world_event *event);
void store_create (struct world *world);
void operator_apply (struct world *world, int operator_index);
void operator_wake (struct world *world, const struct world_event *event);

/* world_worker.c */
void worker_start (struct world *world, int host,
                   const struct mq_start *start);
void worker_stop (struct world *world, int host, uint32_t slot);
void worker_evict (struct world *world, int host,
                   const struct mq_evict *evict);
void worker_order (struct world *world, int host,
                   const struct mq_order_msg *order);
void worker_behaviour (struct world *world, const struct world_event *event);
void worker_evicted (struct world *world, const struct world_event *event);
void worker_ordered (struct world *world, const struct world_event *event);
void worker_read_cache (struct world *world, const struct world_event *event);
void worker_engine (struct world *world, const struct world_event *event);
void worker_schedule_engine (struct world *world, int host, uint32_t index,
                             bool down, uint64_t in_us);
void worker_on_program_end (struct world *world, struct mq_id program);
void worker_gate_crashed (struct world *world, int host);
void worker_host_crashed (struct world *world, int host);
uint32_t worker_running (const struct world *world, int host);
struct observed_call *worker_observed_call (struct world *world,
                                            struct mq_id program,
                                            uint32_t call);
struct observed_program *worker_observed_program (struct world *world,
                                                  struct mq_id program);

/* world_caller.c */
void caller_create_all (struct world *world);
void caller_timer (struct world *world, const struct world_event *event);
void caller_request (struct world *world, const struct world_event *event);
void caller_disconnected (struct world *world,
                          const struct world_event *event);
void caller_event (struct world *world, const struct world_event *event);
void caller_host_crashed (struct world *world, int host);
bool caller_all_done (const struct world *world);
void caller_repeat_all (struct world *world);
bool caller_has_text (const struct world *world, struct mq_id program,
                      const char *text);
uint32_t caller_calls_before (const struct world *world, struct mq_id program,
                              uint32_t call);
uint64_t caller_budget_of (const struct world *world, uint64_t family);

/* world_fault.c */
void fault_outage (struct world *world);
void fault_message_step (struct world *world, int host, struct wire *wire,
                         const struct mq_message *message);
void fault_store_step (struct world *world, int host, enum requester requester,
                       const struct mq_store_request *request);
void fault_step (struct world *world, const struct site *site);
enum delivery_fault fault_next_message_delivery (struct world *world,
                                                 int host);
enum delivery_fault
fault_next_store_delivery (struct world *world, int host,
                           const struct mq_store_request *request);
void fault_script (struct world *world, const struct site *site);
void fault_settle_script (struct world *world, int host,
                          const struct mq_message *message);

/* world_check.c */
bool check_is_idle (const struct world *world);
void check_end (struct world *world);
bool check_is_logged (struct world *world, struct mq_id program,
                      const char *body);
bool check_is_intended (struct world *world, const struct mq_call_ref *ref);
struct mq_row *check_config_row (struct world *world, TALLOC_CTX *ctx);

#endif
