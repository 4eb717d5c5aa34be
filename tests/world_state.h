/* world_state.h - the world's tables, shared by the world_*.c files only.

   world.c         queue of events, hosts, machines and their actions
   world_wire.c    connections between hosts
   world_store.c   the table with its faults, operators
   world_worker.c  workers: engines, plain services, tools
   world_caller.c  callers
   world_fault.c   steps and the injection of faults
   world_check.c   what must hold at the end
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
  CALLERS_MAX = 29, /* in an outage */
  OPERATORS = 2,
  ASKS_MAX = 6,
  PARTITIONS = 4, /* as the text of world_store.c says */
  NOBODY = -1
};

#define MS 1000ULL
#define SECOND 1000000ULL

/* Times of the world.  */
#define BEAT_US (MQ_BEAT_MS * MS)
#define SILENT_US (MQ_SILENT_MS * MS)
#define STORE_TIMEOUT_US (MQ_STORE_TIMEOUT_MS * MS)
#define HOSTS_READ_US (1 * SECOND)
#define LIST_LAG_US (1500 * MS)
#define CACHE_READ_US (500 * MS)
#define RESTART_US (3 * SECOND)
#define GATE_RESTART_US (300 * MS)
#define ENGINE_RESTART_US (200 * MS)
#define CENTRE_RESTART_US (6 * SECOND)
#define PAUSE_US (7 * SECOND)
#define OUTAGE_US (8 * SECOND)
#define SLOW_US (1500 * MS)
#define LATE_US (1200 * MS)
#define LEAVE_US (2 * MS) /* until a process hears that it is to stop */
#define CALLERS_START_US (1500 * MS)
#define LONG_OUTAGE_US (30 * SECOND)
#define LONG_OUTAGE_FROM_US (1900 * MS)
#define OUTAGE_CALLER_US (1200 * MS) /* between two further callers */
#define MEMORY_MAX (8ULL << 20)      /* of one process of this small world */
/* What survivors may ask of the store in a second: each host its scans, its
   configuration and its renewal, and the takeover of each partition.  */
#define LOAD_HOST_READS 6
#define LOAD_PARTITION_READS 12
#define LOAD_HOST_WRITES 3
#define LOAD_PARTITION_WRITES 2
#define CALLER_PATIENCE_US (9 * SECOND)
#define LOW_CHECKPOINT_RECORDS 8
#define LOW_INLINE_BYTES 400
/* Cache of an ended program: its lease, and what a restarted process waits
   for somebody to claim what it finds.  */
#define EVICT_WITHIN_US (CACHE_LEASE_US + MQ_GATE_LEASE_GRACE_MS * MS + SECOND)
#define CACHE_LEASE_US (4 * SECOND) /* as the text of world_store.c says */
/* A partition whose owner is gone has another: its lease and this.  */
#define OWNED_WITHIN_US (LEASE_US + 6 * SECOND)
#define LEASE_US (2 * SECOND)
#define REST_US (300 * SECOND)             /* the longest run */
#define EVENTS_MAX 400000ULL               /* more: the machines never rest */
#define QUIET_US (4 * SECOND)              /* looked at after all is done */
#define FORGET_EVERYTHING_US (90 * SECOND) /* caches gone by then */

enum event_type
{
  EVENT_TICK,       /* index: machine */
  EVENT_MESSAGE,    /* index: wire, end: who gets it */
  EVENT_CONNECT,    /* index, end: the two hosts */
  EVENT_WIRE_UP,    /* index: wire, end */
  EVENT_WIRE_DOWN,  /* index: wire, end */
  EVENT_BEAT,       /* index: wire */
  EVENT_RESUME,     /* the rest of a list of actions */
  EVENT_FORWARD,    /* front to the owner of the same process */
  EVENT_ANSWER,     /* owner to the front of the same process */
  EVENT_TO_CALLER,  /* index: caller */
  EVENT_CALLER,     /* index: caller: its timer */
  EVENT_REQUEST,    /* index: caller: its request reaches the front */
  EVENT_GONE,       /* a caller closed its connection */
  EVENT_STORE,      /* a request reaches the table */
  EVENT_STORE_DONE, /* its result reaches the asker */
  EVENT_OPERATOR,   /* index: operator */
  EVENT_RUN,        /* index: run: its next stage */
  EVENT_EVICTED,    /* index: worker */
  EVENT_ORDERED,
  EVENT_CACHE,  /* index: worker: its cache is read */
  EVENT_ENGINE, /* index: worker; flag: it goes down, else up */
  EVENT_HOSTS,  /* the platform's list is read */
  EVENT_START,  /* the host starts again */
  EVENT_WAKE,   /* the process goes on */
  EVENT_LEAVE,  /* planned stop */
  EVENT_DIE,    /* the process dies */
  EVENT_LOOK,   /* has everything come to rest */
  EVENT_STORE_UP,
  EVENT_OUTAGE /* the long one begins */
};

enum asker
{
  ASKER_OWNER,
  ASKER_SPREAD,
  ASKER_OPERATOR
};

/**
 * struct world_event - something that happens at a time
 * @host: whose process it is for, or NOBODY; waits while that is paused
 * @run: run of that process that it is meant for, 0: any
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
  enum asker asker;
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

/* What becomes of the next message or store request of a host.  */
enum fate
{
  FATE_NORMAL,
  FATE_LATE,
  FATE_DOUBLED,
  FATE_SILENT,
  FATE_CROSSED,
  FATE_ANSWER_LOST,
  FATE_EFFECT_LATE
};

/**
 * struct wire - one connection between two hosts
 * @host: its ends
 * @run: runs of their processes
 * @handle: the peer handles that the ends know it by
 * @open: whether the ends hold it open
 * @silent: swallows everything both ways
 * @last_us: latest delivery to each end: the connection is FIFO
 * @heard_us: when each end heard something
 */
struct wire
{
  int host[2];
  uint32_t run[2];
  uint32_t handle[2];
  bool open[2];
  bool silent;
  uint64_t last_us[2];
  uint64_t heard_us[2];
};

struct cache_row
{
  struct mq_id program;
  uint32_t tokens;
  uint64_t held_us; /* last used */
};

/* A worker of a target host; outlives the gate's process.  */
struct worker
{
  enum mq_service_kind kind;
  bool up;
  bool hangs; /* the next call gets no answer */
  uint32_t boot;
  struct cache_row *cache;
  size_t cache_count;
};

struct host
{
  int index;
  enum mq_host_role role;
  char name[16];
  char address[32];
  const char *data_centre;
  uint32_t run; /* rises with every start */
  uint64_t boot;
  bool alive;
  bool held;      /* what it was about to do waits for it to wake */
  bool rebooting; /* the gate's process alone; its host stays in the list */
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
  enum fate message_fate;
  enum fate store_fate;
  struct worker workers[WORKERS];
};

/* One call that a gate let through.  */
struct run
{
  int host;
  uint32_t host_run;
  uint32_t worker;
  uint32_t worker_boot;
  struct mq_call_ref ref;
  uint32_t slot;
  char *body; /* messages of a model, arguments of others */
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

/* What targets saw of one call of one program.  */
struct call_fact
{
  struct mq_id program;
  uint32_t call;
  bool idempotent;
  uint32_t starts;
  uint32_t ends;
  uint32_t effects;
  bool told_not_run; /* the program was told so */
  char *result;      /* of a plain service or tool */
};

/* What engines saw of one program.  */
struct program_fact
{
  struct mq_id program;
  uint32_t starts;
  bool refused;      /* its caller was told not_run, and asks no more */
  uint64_t ended_us; /* its end is durable, 0: not so */
  char **finals;
  size_t final_count;
};

struct spent_fact
{
  uint64_t family; /* hi of the ids */
  uint64_t tokens;
};

/* When a gate first got a call.  */
struct arrival
{
  int host;
  uint32_t run;
  struct mq_call_ref ref;
  uint64_t at_us;
};

/* What a caller's request says.  */
enum ask_text
{
  TEXT_NONE,
  TEXT_CHAIN,  /* model, tool, plain, sub-program, model: the answer */
  TEXT_TALK,   /* model, plain, model: the answer; then a person's turn */
  TEXT_FOLLOW, /* that turn: model, tool, model: the answer */
  TEXT_LOOP,   /* model, tool, for ever */
  TEXT_LETTER, /* model: the answer */
  TEXT_ASK,    /* caller-driven: one model call */
  TEXT_SUBMIT  /* caller-driven: one plain call */
};

/**
 * struct ask - one request of a caller's script
 * @type: what is asked
 * @service: OPEN, CREATE: agent; STEP: service
 * @route: STEP: route, else empty
 * @sequence: STEP: its number
 * @text: what it says
 */
struct ask
{
  enum mq_request_type type;
  const char *service;
  const char *route;
  uint32_t sequence;
  enum ask_text text;
};

struct caller
{
  int index;
  const struct ask *asks;
  size_t ask_count;
  size_t ask;
  struct mq_id program;
  char *organisation;
  char *key;
  char *bodies[ASKS_MAX];
  const char *texts[2 * ASKS_MAX]; /* that its histories may hold */
  size_t text_count;
  enum
  {
    CALLER_IDLE,
    CALLER_WAITS,
    CALLER_PAUSES,
    CALLER_DONE
  } state;
  int host;
  uint32_t host_run;
  uint64_t handle;
  uint64_t last_us; /* something was heard, or asked */
  uint64_t timer_us;
  uint32_t tries;
  uint32_t refusals;
  bool doubtful;           /* an earlier try of this request may have run */
  uint32_t ends;           /* final events of this handle */
  char *answers[ASKS_MAX]; /* final bodies, NULL: refused */
  enum mq_error_type errors[ASKS_MAX];
  uint32_t stream_call;
  char *stream;
  bool checks; /* asks at rest for the answer that it had */
};

struct world_operator
{
  int index;
  enum
  {
    OPERATOR_IDLE,
    OPERATOR_READS,
    OPERATOR_WRITES,
    OPERATOR_SETTLES,
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
  size_t heap_room;
  uint64_t next_number;
  struct host hosts[HOSTS];
  struct wire *wires;
  size_t wire_count;
  int current[HOSTS][HOSTS]; /* wire of two hosts, or NOBODY */
  bool connecting[HOSTS][HOSTS];
  struct mq_table *table;
  bool low;                /* few records between checkpoints, small batches */
  uint64_t outage_from_us; /* of the long outage, 0: none */
  uint64_t outage_until_us;
  int last_owner[PARTITIONS]; /* host, or NOBODY */
  uint32_t last_run[PARTITIONS];
  uint64_t fences[PARTITIONS]; /* in the table */
  uint64_t centre_dead_us;     /* when a data centre died, 0: never */
  uint64_t load_second;        /* since then, that LOAD is of */
  struct world_load load;
  bool replayed;            /* all owners were made anew at rest */
  uint32_t ends;            /* processes that ended, as planned or not */
  struct mq_bytes *removed; /* batches of log rows that were removed */
  size_t removed_count;
  uint64_t checkpoints[PARTITIONS]; /* highest one that a row was to name */
  uint64_t unowned_us[PARTITIONS];  /* since when it has no owner */
  uint64_t nobody_us;               /* until when no entry host ran */
  struct installed
  {
    uint64_t checkpoint;
    uint64_t sequence; /* of the log when the row came to name it */
  } installed[PARTITIONS];
  bool store_down;
  bool store_slow;
  struct run **runs;
  size_t run_count;
  struct call_fact *calls;
  size_t call_count;
  struct program_fact *programs;
  size_t program_count;
  struct spent_fact *spent;
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
  enum fate operator_fate;
  int acting; /* host whose action is carried out, or NOBODY */
  bool script_done;
  enum world_script script;
  bool first_injected;
  uint32_t steps_since;
  uint64_t faults_over_us;
  uint64_t done_us; /* callers and operators were done */
  bool over;
};

/* Where a step takes place.  */
struct site
{
  enum world_step step;
  int entry; /* the owner concerned, or NOBODY */
  int target;
  int actor;  /* whose message or request it is */
  int worker; /* the worker concerned, or -1: any */
  struct mq_id program;
};

/* world.c */
void world_trace (struct world *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void world_violate (struct world *world, enum world_invariant invariant,
                    const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
struct world_event *world_event_create (struct world *world,
                                        enum event_type type, int host);
void world_push (struct world *world, struct world_event *event,
                 uint64_t at_us);
uint64_t world_delay (struct world *world, uint64_t least_us,
                      uint64_t most_us);
bool world_runs (const struct world *world, int host, uint32_t run);
void world_kill (struct world *world, int host, uint64_t restart_us);
void world_pause (struct world *world, int host, uint64_t pause_us);
void world_leave (struct world *world, int host);
int world_owner_of (const struct world *world, struct mq_id program);
void world_owner_input (struct world *world, int host,
                        const struct mq_owner_input *input);
void world_front_input (struct world *world, int host,
                        const struct mq_front_input *input);
void world_spread_input (struct world *world, int host,
                         const struct mq_spread_input *input);
void world_gate_input (struct world *world, int host,
                       const struct mq_gate_input *input);
void world_until (struct world *world, uint64_t at_us);

/* world_wire.c */
void wire_connect_later (struct world *world, int a, int b, uint64_t in_us);
void wire_connect (struct world *world, const struct world_event *event);
void wire_up (struct world *world, const struct world_event *event);
void wire_down (struct world *world, const struct world_event *event);
void wire_beat (struct world *world, const struct world_event *event);
void wire_message (struct world *world, const struct world_event *event);
void wire_send (struct world *world, int host, uint32_t handle,
                const struct mq_message *message);
void wire_host_died (struct world *world, int host, bool silently);
void wire_silence (struct world *world, struct wire *wire);

/* world_store.c */
void store_send (struct world *world, int host, enum asker asker,
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
void worker_plan_engine (struct world *world, int host, uint32_t index,
                         bool down, uint64_t in_us);
void worker_note_end (struct world *world, struct mq_id program);
void worker_gate_died (struct world *world, int host);
void worker_host_died (struct world *world, int host);
uint32_t worker_running (const struct world *world, int host);
struct call_fact *worker_call_fact (struct world *world, struct mq_id program,
                                    uint32_t call);
struct program_fact *worker_program_fact (struct world *world,
                                          struct mq_id program);

/* world_caller.c */
void caller_create_all (struct world *world);
void caller_timer (struct world *world, const struct world_event *event);
void caller_request (struct world *world, const struct world_event *event);
void caller_gone (struct world *world, const struct world_event *event);
void caller_event (struct world *world, const struct world_event *event);
void caller_host_died (struct world *world, int host);
bool caller_all_done (const struct world *world);
void caller_check_all (struct world *world);
bool caller_asked (const struct world *world, struct mq_id program,
                   const char *text);
uint32_t caller_calls_before (const struct world *world, struct mq_id program,
                              uint32_t call);
uint64_t caller_budget_of (const struct world *world, uint64_t family);

/* world_fault.c */
void fault_outage (struct world *world);
void fault_message_step (struct world *world, int host, struct wire *wire,
                         const struct mq_message *message);
void fault_store_step (struct world *world, int host, enum asker asker,
                       const struct mq_store_request *request);
void fault_step (struct world *world, const struct site *site);
enum fate fault_take_message_fate (struct world *world, int host);
enum fate fault_take_store_fate (struct world *world, int host,
                                 const struct mq_store_request *request);
void fault_script (struct world *world, const struct site *site);
void fault_settle_script (struct world *world, int host,
                          const struct mq_message *message);

/* world_check.c */
bool check_rest (const struct world *world);
void check_end (struct world *world);
bool check_is_told (struct world *world, struct mq_id program,
                    const char *body);
bool check_is_intended (struct world *world, const struct mq_call_ref *ref);
struct mq_row *check_config_row (struct world *world, TALLOC_CTX *ctx);

#endif
