/* owner_state.h - private data structures of the partition owner, shared by
   the owner*.c files.  Their functions are declared in owner_parts.h.

   Needs: owner.h, program.h, idmap.h, place.h, limits.h.  */

#ifndef MQ_OWNER_STATE_H
#define MQ_OWNER_STATE_H

#include "../idmap.h"
#include "../limits.h"
#include "owner.h"
#include "place.h"
#include "program.h"

enum
{
  /* Added to a service's timeout before a call's outcome is unknown.  */
  OUTCOME_GRACE_MS = 5000,
  /* Sent to refused callers as the time after which to retry.  */
  DEFAULT_RETRY_AFTER_MS = 1000
};

/* Prompt prefix common to all programs of a service.  */
struct shared_prompt
{
  uint64_t hash;
  uint32_t tokens;
};

enum partition_state
{
  PARTITION_NOT_OWNED,  /* another host's, or without an owner */
  PARTITION_CLAIMING,   /* transaction that raises the fence in progress */
  PARTITION_READING,    /* replays checkpoint, log rows and objects */
  PARTITION_RECOVERING, /* collects calls and outcomes from targets */
  PARTITION_ACTIVE,
  PARTITION_RELEASING /* accepts no records; releases the row last */
};

/* A log row read in a takeover.  Records of a large batch are in @object.  */
struct logged_batch
{
  uint64_t sequence;
  char *object;
  struct mq_bytes bytes; /* packed Mqlog__Batch */
};

enum takeover_step
{
  TAKEOVER_READ_CHECKPOINT, /* reads the checkpoint object */
  TAKEOVER_READ_LOG,        /* reads the log rows after the checkpoint */
  TAKEOVER_READ_OBJECTS,    /* reads the objects of large batches */
  TAKEOVER_READ_TARGETS     /* reads the previous owners' rows of targets */
};

struct takeover
{
  enum takeover_step step;
  struct logged_batch *rows; /* by sequence */
  size_t row_count;
  size_t row_next;    /* first row whose object is not yet read */
  size_t sender_next; /* first sender whose targets are not yet read */
  char *after;        /* key of the last log row read */
  bool targets_known; /* all previous owners' targets are read */
  bool exact;         /* every target that may have calls has answered */
  uint64_t recovery_deadline_us;
  struct recovery_wait *waits;
  size_t wait_count;
};

/* A target whose RECOVERED answer a takeover waits for.  */
struct recovery_wait
{
  char *host;
  uint64_t boot;
  bool answered;
};

struct partition
{
  uint32_t number;
  enum partition_state state;
  /* Its row as last read or written.  */
  bool row_known;
  uint64_t row_version;
  uint64_t fence;
  char *owner;
  char *address;
  uint64_t owner_boot;
  uint64_t sequence;   /* last log row */
  uint64_t batch;      /* id of the last commit */
  uint64_t checkpoint; /* log sequence that it covers */
  char *checkpoint_key;
  uint64_t first; /* first log row kept */
  /* Only while this host owns it or takes it over.  */
  struct takeover *takeover;
  uint64_t read_id;  /* pending store request, 0: none */
  uint64_t retry_us; /* when to retry the current step */
  struct mq_idmap *programs;
  TALLOC_CTX *memory; /* parent of its programs */
  struct record *pending_first;
  struct record *pending_last;
  size_t pending_count;
  bool in_commit; /* has a part in the pending commit */
  uint64_t records_since_checkpoint;
  uint64_t snapshot_sequence; /* of the checkpoint being written, 0: none */
  char *snapshot_key;
  struct mq_bytes snapshot; /* checkpoint bytes until written */
  uint64_t snapshot_id;     /* store request that writes it, 0: none pending */
  bool snapshot_written;
  struct segment *segments; /* batch objects newer than the checkpoint */
  char **senders; /* "HOST/BOOT" of owners whose calls may still run */
  size_t sender_count;
  uint64_t unowned_us; /* first seen without a live owner, 0: has one */
};

/* Object that holds the records of a large batch.  */
struct segment
{
  struct segment *next;
  uint64_t sequence;
  char *object;
};

/* A packed record that is not yet committed.  */
struct record
{
  struct record *next;
  struct mq_id program;
  uint8_t *data;
  size_t len;
};

enum hook_type
{
  HOOK_ACCEPTED,       /* the program is durable: send ACCEPTED */
  HOOK_GRANTED,        /* a grant is durable: resume the program */
  HOOK_INTENT,         /* the intent is durable: send the call */
  HOOK_FORGET_OUTCOME, /* send FORGET for an outcome */
  HOOK_OUTCOME,        /* a call's outcome is durable: send STEP and FORGET */
  HOOK_ANSWERED,       /* the answer is durable: send FINAL, evict caches */
  HOOK_REPLY           /* answer one caller's request */
};

/* Action that runs once all records appended before it are durable.  */
struct hook
{
  struct hook *next;
  enum hook_type type;
  struct mq_id program;
  uint32_t partition;
  uint32_t call;
  uint32_t attempt;
  char *host;    /* OUTCOME: target that holds the outcome, or NULL */
  uint32_t peer; /* REPLY */
  uint64_t handle;
  bool history;    /* REPLY: include the history */
  uint64_t tokens; /* ACCEPTED, GRANTED: total tokens granted */
  uint64_t since_us;
};

/* One partition's part of the pending commit.  */
struct commit_part
{
  struct partition *partition; /* NULL: lost since the commit was sent */
  uint64_t sequence;           /* of the log after this commit */
  char *log_key;               /* NULL: no records */
  char *object;                /* key of the batch object, NULL: inline */
  struct mq_bytes bytes;       /* packed batch */
  struct mq_bytes snapshot;    /* checkpoint after this batch, empty: none */
  uint64_t checkpoint;
  const char *checkpoint_key;
  uint64_t first;
  bool release;
  size_t row_op; /* index of the partition row in the transaction */
};

enum commit_state
{
  COMMIT_IDLE,
  COMMIT_WRITING_OBJECTS, /* writes the objects of large batches */
  COMMIT_IN_TRANSACTION,  /* waits for the transaction's result */
  COMMIT_VERIFYING,       /* reads the rows to find whether it applied */
  COMMIT_BACKOFF          /* waits before a retry */
};

/* The commit in progress; at most one at a time.  */
struct pending_commit
{
  enum commit_state state;
  enum commit_state resume; /* BACKOFF: state to return to */
  TALLOC_CTX *memory;
  uint64_t batch;
  uint64_t request_id;
  struct commit_part *parts;
  size_t count;
  size_t object_next; /* part whose object is being written */
  struct hook *hooks;
  struct record *records;
  uint64_t position; /* log position: value of mq_owner.appended_position that
                        it covers */
  uint64_t started_us;
  uint64_t retry_us;
  uint32_t tries;
};

enum call_state
{
  CALL_AWAITING_GRANT,  /* for the commit of a budget grant */
  CALL_AWAITING_INTENT, /* for the commit of its intent */
  CALL_AWAITING_WORKER, /* for a free worker or the retry time */
  CALL_SENT,            /* at a target */
  CALL_SEALING,      /* the target is to report the outcome or bar the call */
  CALL_IN_SUBPROGRAM /* a sub-program runs in its place */
};

/* The current call of a program; a program has one call at a time.  */
struct call
{
  enum call_state state;
  uint32_t number;
  uint32_t attempt;
  const struct mq_service *service;
  bool model;
  bool idempotent;
  char *body;  /* sent to the target */
  char *input; /* MODE_STEPS: the caller's input */
  uint64_t digest;
  bool own_messages;
  uint32_t max_tokens;
  uint64_t reserved; /* tokens reserved for the current attempt */
  uint32_t prompt_tokens;
  uint32_t uncached_tokens; /* of these, not cached at the worker */
  struct target *target;
  uint32_t worker;
  uint64_t boot;
  uint64_t sent_us;
  uint64_t started_us;
  uint64_t down_us; /* when the target's connection was lost, 0: connected */
  uint64_t retry_us;
  uint32_t tries;
  uint32_t tokens_seen;
  bool already_charged; /* its tokens were forfeited in a takeover */
};

/* A caller that receives the events of a program.  */
struct waiter
{
  struct waiter *next;
  uint32_t peer;
  uint64_t handle;
  bool stream;
  uint32_t call;  /* remove after the outcome of this call, 0: after FINAL */
  uint32_t after; /* last event number that the caller has */
};

/* A STEP request received before those that precede it.  */
struct queued_step
{
  struct queued_step *next;
  uint32_t call;
  struct mq_request_msg request;
};

/* An attempt that a target reported during a takeover.  */
struct recovered
{
  struct recovered *next;
  struct target *target;
  bool running; /* false: ended with @outcome */
  struct mq_call_ref ref;
  struct mq_outcome_msg outcome;
};

/* A target process that may hold cache of a program.  */
struct cache_location
{
  struct cache_location *next;
  struct target *target;
  uint64_t boot;
};

/* Run-time state of a program, which is not logged.  */
struct running
{
  struct mq_program *program;
  struct partition *partition;
  struct running *parent; /* NULL: opened by a caller */
  struct running *child;  /* sub-program of the current call */
  struct call *call;
  struct waiter *waiters;
  struct queued_step *steps;
  struct cache_location *caches;
  bool evicting;           /* ended; caches lists unconfirmed evictions */
  enum mq_error_type stop; /* reason of a stop in progress, or NONE */
  uint64_t reserved; /* tokens of attempts in progress, with sub-programs */
  uint64_t pending_charge; /* tokens to charge with the next record */
  uint64_t grant_pending;  /* total granted by records appended so far */
  uint64_t grant_durable;
  uint64_t clock_started_us; /* time since is not in elapsed_ms, 0: stopped */
  uint64_t uncommitted_records;
  uint64_t ended_us;
  uint64_t wake_us;      /* time of its timer, 0: none */
  uint64_t lease_us;     /* next renewal of cache leases */
  uint64_t evict_us;     /* next retry of evictions */
  struct target *sticky; /* target of the last model call */
  uint32_t sticky_worker;
  uint32_t sticky_tokens;
  uint32_t reusable_tokens; /* of the next prompt, computed before */
  uint64_t loop_digest;
  uint32_t loop_count;
  bool grant_requested; /* a HOOK_GRANTED that resumes it is queued */
  bool forfeited;       /* grants made before the takeover count as spent */
  struct recovered *recovered; /* attempts reported during a takeover */
  uint64_t charge_position;    /* log position to be durable before it calls */
  uint64_t answer_position;    /* log position of its last answer */
};

struct worker
{
  struct target *target;
  uint32_t index;
  struct pool *pool;
  size_t view; /* index in pool->views and pool->workers */
};

/* Workers of one service.  */
struct pool
{
  struct pool *next;
  char *service;
  struct mq_worker_view *views;
  struct worker **workers;
  size_t count;
  double retry_credit; /* retries allowed now; grows by a share of the calls */
};

/* A target host and its current process.  */
struct target
{
  struct target *next;
  char *host;
  char *data_centre;
  bool listed; /* in the platform's host list */
  bool leaving;
  uint64_t durable_boot; /* its boot in the stored targets row, 0: absent */
  uint64_t sent_boot;    /* its boot in the targets row being written */
  bool settled;          /* lost with no attempt left: omitted from the row */
  uint64_t unlisted_us;  /* when it left the list */
  uint32_t peer;         /* 0: no connection */
  uint64_t boot;
  uint64_t down_us;
  struct worker **workers;
  size_t worker_count;
  uint32_t calls; /* attempts in progress there */
};

/* An earlier process of a target that may have received calls.  It stays in
   this host's targets row, so that a successor asks it too.  */
struct former_run
{
  struct former_run *next;
  char *host;
  uint64_t boot;
};

/* Another entry host.  */
struct sibling
{
  struct sibling *next;
  char *host;
  char *address;
  char *data_centre;
  bool listed;
  uint32_t peer;
  uint64_t peer_down_us;
  /* From its owner row.  */
  bool row_known;
  uint64_t counter;
  uint64_t boot;
  bool leaving;
  uint64_t counter_us; /* when this value was first observed */
  bool seen;           /* found by the scan in progress */
  bool eligible;       /* may own partitions */
  uint32_t owned;      /* partitions owned as of the last scan */
};

struct timer
{
  uint64_t when_us;
  struct mq_id program;
};

/* An answer from memory.  It is sent once a later read of the partition rows
   confirms that this host still owns the partition.  */
struct reply
{
  struct reply *next;
  uint32_t partition;
  uint32_t peer;
  uint64_t queued_us;
  struct mq_event_msg event;
};

/* Programs of one organisation at this owner that have not ended.  */
struct organisation_count
{
  struct organisation_count *next;
  char *name;
  uint32_t live;
};

/* A call that may not be repeated and whose outcome is unknown.  */
struct unknown_call
{
  struct mq_id program;
  uint32_t call;
  char *service;
  char *target;
};

/* Prompt prefix of a service that some engine has computed.  */
struct computed_prefix
{
  struct computed_prefix *next;
  uint64_t hash;
};

struct mq_owner
{
  struct mq_owner_options options;
  const struct mq_text *text;
  uint64_t now_us;
  uint64_t random;
  struct mq_actions *actions; /* output of mq_owner_handle, NULL outside it */
  struct partition *partitions;
  uint32_t partition_count;
  struct mq_idmap *running; /* programs of owned partitions, by id */
  uint32_t live;            /* programs that have not ended */
  struct target *targets;
  struct mq_idmap *targets_by_peer;
  struct mq_idmap *targets_by_name; /* keyed by the hash of the host name */
  struct sibling *siblings;
  struct pool *pools;
  struct mq_place_state *place;
  /* Commits.  */
  struct pending_commit pending_commit;
  struct hook *hooks_first; /* for the next commit */
  struct hook *hooks_last;
  size_t batch_records; /* records for the next commit */
  size_t batch_bytes;
  /* Store.  */
  uint64_t next_request;
  bool store_down;
  uint64_t store_down_us;
  uint64_t owners_scan_id, partitions_scan_id, settle_scan_id;
  uint64_t owners_scanned_us; /* last successful scan */
  uint64_t next_scan_us;
  bool scanned;          /* owners and partitions were scanned at least once */
  struct reply *replies; /* newest first */
  uint64_t confirm_id; /* pending read that confirms older replies, 0: none */
  uint64_t confirm_sent_us;
  uint64_t next_confirm_us;
  char *owners_after; /* last owner row of the pages read so far */
  uint64_t renew_id;
  uint64_t next_renew_us;
  uint64_t row_counter;
  uint64_t targets_id; /* pending write of this host's targets row, 0: none */
  bool targets_dirty;
  struct former_run *former_runs; /* kept in the targets row, newest first */
  uint64_t former_runs_position;  /* to be durable before removal */
  bool former_runs_needed;        /* a takeover elsewhere would read the row */
  uint64_t appended_position;     /* log position: records appended so far */
  uint64_t settled_position; /* log position: records durable or dropped */
  char *run;                 /* "HOST/BOOT" of this process */
  uint64_t targets_retry_us;
  uint32_t claiming; /* takeovers not yet active */
  bool eligible;
  bool renewed; /* owner row was written since the host became eligible */
  uint32_t live_hosts; /* eligible hosts, this one included */
  /* Timers of programs, a binary heap by when_us.  */
  struct timer *timers;
  size_t timer_count;
  size_t timer_capacity;
  bool leaving;
  uint64_t release_us; /* when to release for balance next */
  struct organisation_count *organisations;
  struct unknown_call *unknown;
  size_t unknown_count;
  struct computed_prefix *prefixes;
  struct mq_owner_counters counters;
};

#endif
