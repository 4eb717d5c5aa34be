/* owner_state.h - the owner's tables, shared by the owner*.c files only; their
   functions are in owner_parts.h.

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
  /* Beyond a service's own timeout a call's outcome is doubtful.  */
  OUTCOME_GRACE_MS = 5000,
  /* A caller who can't be served for a while comes back after so long.  */
  UNAVAILABLE_RETRY_MS = 1000
};

/* The prompt that all programs of a service begin with.  */
struct shared_prompt
{
  uint64_t hash;
  uint32_t tokens;
};

enum partition_state
{
  PARTITION_NOT_OWNED,  /* another host's, or nobody's */
  PARTITION_CLAIMING,   /* our transaction that raises the fence is out */
  PARTITION_READING,    /* checkpoint, log rows, objects */
  PARTITION_RECOVERING, /* targets' processes are asked what they keep */
  PARTITION_ACTIVE,
  PARTITION_RELEASING /* no new records; the row is released last */
};

/* One batch row read in a takeover; its records may be in an object.  */
struct read_batch
{
  uint64_t sequence;
  char *object;
  struct mq_bytes bytes; /* packed Mqlog__Batch */
};

enum takeover_step
{
  TAKEOVER_READ_CHECKPOINT, /* its object is read */
  TAKEOVER_READ_LOG,        /* the log's rows after it are read */
  TAKEOVER_READ_OBJECTS,    /* objects of large batches are read */
  TAKEOVER_READ_TARGETS     /* the targets row of the previous owner is read */
};

/* A takeover in progress.  */
struct takeover
{
  enum takeover_step step;
  struct read_batch *rows; /* in order */
  size_t row_count;
  size_t row_next;    /* first one whose object is not yet read */
  size_t sender_next; /* first one whose targets are not yet read */
  char *after;        /* last log row read */
  bool targets_known; /* the previous owner's targets were read */
  bool exact;         /* every target that may hold work answered */
  uint64_t recover_until_us;
  struct recovery_wait *waits;
  size_t wait_count;
};

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
  /* As last read or written.  */
  bool row_known;
  uint64_t row_version;
  uint64_t fence;
  char *owner;
  char *address;
  uint64_t owner_boot;
  uint64_t sequence;
  uint64_t batch;
  uint64_t checkpoint;
  char *checkpoint_key;
  uint64_t first;
  /* Ours.  */
  struct takeover *takeover;
  uint64_t read_id;  /* store request under way for this partition */
  uint64_t retry_us; /* when to try the next step again */
  struct mq_idmap *programs;
  TALLOC_CTX *memory; /* programs hang below it */
  struct record *pending_first;
  struct record *pending_last;
  size_t pending_count;
  bool in_commit; /* part of the batch under way */
  uint64_t records_since_checkpoint;
  uint64_t snapshot_sequence; /* checkpoint object being written, 0: none */
  char *snapshot_key;
  struct mq_bytes snapshot; /* its bytes until they are written */
  uint64_t snapshot_id;     /* store request that writes it */
  bool snapshot_written;
  struct segment *segments; /* objects of large batches still needed */
  char **senders;           /* runs, "HOST/BOOT", that may have calls for it */
  size_t sender_count;
  uint64_t unowned_us; /* since when its owner seems to be gone */
};

struct segment
{
  struct segment *next;
  uint64_t sequence;
  char *object;
};

/* A packed record that waits for its batch.  */
struct record
{
  struct record *next;
  struct mq_id program;
  uint8_t *data;
  size_t len;
};

enum hook_type
{
  HOOK_ACCEPTED,        /* tell callers that the program is durable */
  HOOK_GRANTED,         /* go on with the program */
  HOOK_INTENT,          /* send the call */
  HOOK_FORGET_OUTCOME,  /* the target's process may drop an outcome */
  HOOK_OUTCOME_DURABLE, /* the call's outcome is durable: events, FORGET */
  HOOK_ANSWERED,        /* the answer is durable: events, evictions */
  HOOK_REPLY            /* one caller's question can be answered */
};

/* What to do when the records before it are durable.  */
struct hook
{
  struct hook *next;
  enum hook_type type;
  struct mq_id program;
  uint32_t partition;
  uint32_t call;
  uint32_t attempt;
  char *host;    /* STEP: target that keeps the outcome, may be NULL */
  uint32_t peer; /* REPLY */
  uint64_t handle;
  bool history;    /* REPLY: with the history */
  uint64_t tokens; /* ACCEPTED, GRANTED: what is granted then */
  uint64_t since_us;
};

/* One partition's share of the transaction under way.  */
struct commit_part
{
  struct partition *partition; /* NULL: lost meanwhile */
  uint64_t sequence;           /* after the transaction */
  char *log_key;               /* NULL: no records, no log row */
  char *object;                /* key of a large batch's object, or NULL */
  struct mq_bytes bytes;       /* packed batch */
  struct mq_bytes snapshot;    /* checkpoint as of this batch, or empty */
  uint64_t checkpoint;
  const char *checkpoint_key;
  uint64_t first;
  bool release;
  size_t row_op; /* index of its row in the transaction */
};

enum commit_state
{
  COMMIT_IDLE,
  COMMIT_WRITING_OBJECTS, /* large batches are being written */
  COMMIT_IN_TRANSACTION,  /* the transaction is out */
  COMMIT_VERIFYING,       /* the rows are read to learn what became of it */
  COMMIT_BACKOFF          /* a pause before the next try of what failed */
};

/* The transaction under way; at most one.  */
struct pending_commit
{
  enum commit_state state;
  enum commit_state resume; /* WAIT: what to try again */
  TALLOC_CTX *memory;
  uint64_t batch;
  uint64_t request_id;
  struct commit_part *parts;
  size_t count;
  size_t object_next; /* part whose object is being written */
  struct hook *hooks;
  struct record *records;
  uint64_t mark; /* records appended when it was sealed */
  uint64_t started_us;
  uint64_t retry_us;
  uint32_t tries;
};

enum call_state
{
  CALL_AWAITING_GRANT,  /* waits for the grant's commit */
  CALL_AWAITING_INTENT, /* waits for the intent's commit */
  CALL_AWAITING_WORKER, /* waits for a worker or for a retry's time */
  CALL_SENT,            /* at a target's process */
  CALL_SEALING,         /* to be settled with the target's process */
  CALL_IN_SUBPROGRAM    /* a sub-program runs */
};

/* The one call of a program that is under way.  */
struct call
{
  enum call_state state;
  uint32_t number;
  uint32_t attempt;
  const struct mq_service *service;
  bool model;
  bool idempotent;
  char *body;  /* for the target */
  char *input; /* caller-driven: what the caller sent */
  uint64_t digest;
  bool own_messages;
  uint32_t max_tokens;
  uint64_t reserved; /* tokens reserved for the attempt under way */
  uint32_t prompt_tokens;
  uint32_t uncached_tokens; /* of these, to be computed where it went */
  struct target *target;
  uint32_t worker;
  uint64_t boot;
  uint64_t sent_us;
  uint64_t started_us;
  uint64_t down_us; /* when the target's connection was lost, 0: up */
  uint64_t retry_us;
  uint32_t tries;
  uint32_t tokens_seen;
  bool already_charged; /* its tokens were forfeited in a takeover */
};

struct waiter
{
  struct waiter *next;
  uint32_t peer;
  uint64_t handle;
  bool stream;
  uint32_t call;  /* STEP: answer of this call ends the wait, 0: final */
  uint32_t after; /* events up to this number were already received */
};

/* A caller's STEP that waits for its predecessors.  */
struct queued_step
{
  struct queued_step *next;
  uint32_t call;
  struct mq_request_msg request;
};

/* An attempt that a target's process reported in a takeover.  */
struct recovered
{
  struct recovered *next;
  struct target *target;
  bool running; /* else it ended, as told by the outcome */
  struct mq_call_ref ref;
  struct mq_outcome_msg outcome;
};

/* Where a program's cache may be.  */
struct cache_location
{
  struct cache_location *next;
  struct target *target;
  uint64_t boot;
};

struct running
{
  struct mq_program *program;
  struct partition *partition;
  struct running *parent; /* NULL: top */
  struct running *child;  /* sub-program of the call under way */
  struct call *call;
  struct waiter *waiters;
  struct queued_step *steps;
  struct cache_location *caches;
  bool evicting;           /* ended; caches lists what is not confirmed */
  enum mq_error_type stop; /* why the program is being stopped */
  uint64_t reserved; /* tokens of attempts under way, sub-programs' too */
  uint64_t pending_charge; /* charged, not yet in a record */
  uint64_t grant_pending;  /* granted in a record that is not durable */
  uint64_t grant_durable;
  uint64_t clock_us;            /* running since, 0: the clock stands */
  uint64_t uncommitted_records; /* records not yet durable */
  uint64_t ended_us;
  uint64_t wake_us;  /* timer in the heap, 0: none */
  uint64_t lease_us; /* next renewal */
  uint64_t evict_us;
  struct target *sticky;
  uint32_t sticky_worker;
  uint32_t sticky_tokens;
  uint32_t reusable_tokens; /* of its next prompt, computed before somewhere */
  uint64_t loop_digest;
  uint32_t loop_count;
  bool grant_requested; /* a hook goes on when grants are durable */
  bool forfeited;       /* what was granted before the takeover is spent */
  struct recovered *recovered; /* what targets reported in a takeover */
  uint64_t forfeit_position;   /* charges that are durable before it calls */
  uint64_t
      answer_position; /* the last answer is durable when this is settled */
};

/* A worker in the pool of its service.  */
struct worker
{
  struct target *target;
  uint32_t index;
  struct pool *pool;
  size_t view; /* its place in the pool */
};

struct pool
{
  struct pool *next;
  char *service;
  struct mq_worker_view *views;
  struct worker **workers;
  size_t count;
  double retry_credit; /* retries that may be made now */
};

struct target
{
  struct target *next;
  char *host;
  char *data_centre;
  bool listed; /* in the platform's list */
  bool leaving;
  uint64_t durable_boot; /* of it in our targets row, 0: not there */
  uint64_t sent_boot;    /* in the targets row that is being written */
  bool settled;          /* gone without an attempt of ours: not in it */
  uint64_t unlisted_us;  /* since when it is not in the list */
  uint32_t peer;         /* 0: no connection */
  uint64_t boot;
  uint64_t down_us;
  struct worker **workers;
  size_t worker_count;
  uint32_t calls; /* attempts under way there */
};

/* A run of a target's process that calls may have gone to and that is no
   longer the one known there; our targets row still names it.  */
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
  /* Its owner row.  */
  bool row_known;
  uint64_t counter;
  uint64_t boot;
  bool leaving;
  uint64_t counter_us; /* when the counter was first seen at this value */
  bool seen;           /* in the scan that is being read */
  bool eligible;       /* among the hosts that may own partitions */
  uint32_t owned;      /* partitions by the last scan */
};

struct timer
{
  uint64_t when_us;
  struct mq_id program;
};

/* An answer from memory that waits until a later read of the partitions'
   rows shows that this host still owns the partition.  */
struct reply
{
  struct reply *next;
  uint32_t partition;
  uint32_t peer;
  uint64_t queued_us;
  struct mq_event_msg event;
};

/* Programs of one organisation that are under way at this owner.  */
struct organisation_count
{
  struct organisation_count *next;
  char *name;
  uint32_t live;
};

struct unknown_call
{
  struct mq_id program;
  uint32_t call;
  char *service;
  char *target;
};

/* A service's prompt that some engine has computed for this owner.  */
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
  struct mq_actions *actions; /* of the input being handled */
  struct partition *partitions;
  uint32_t partition_count;
  struct mq_idmap *running; /* all programs of active partitions */
  uint32_t live;            /* of these, not ended */
  struct target *targets;
  struct mq_idmap *targets_by_peer;
  struct mq_idmap *targets_by_name; /* keyed by the hash of the name */
  struct sibling *siblings;
  struct pool *pools;
  struct mq_place_state *place;
  /* Commits.  */
  struct pending_commit pending_commit;
  struct hook *hooks_first; /* of the batch that gathers */
  struct hook *hooks_last;
  size_t gathered;
  size_t gathered_bytes;
  /* Store.  */
  uint64_t next_request;
  bool store_down;
  uint64_t store_down_us;
  uint64_t owners_scan_id, partitions_scan_id, settle_scan_id;
  uint64_t owners_scanned_us; /* last success */
  uint64_t next_scan_us;
  bool scanned;          /* both scans succeeded once */
  struct reply *replies; /* newest first */
  uint64_t confirm_id;   /* read that confirms what waits since before */
  uint64_t confirm_sent_us;
  uint64_t next_confirm_us;
  char *owners_after; /* last row of the page of owners read so far */
  uint64_t renew_id;
  uint64_t next_renew_us;
  uint64_t row_counter;
  uint64_t targets_id; /* write of our targets row */
  bool targets_dirty;
  struct former_run *former_runs; /* stay in the row, newest first */
  uint64_t
      former_runs_position; /* records that must be durable before they go */
  bool former_runs_needed;  /* by whoever has a partition that we had */
  uint64_t appended;        /* records so far */
  uint64_t settled;         /* of these, durable or given up */
  char *run;                /* "HOST/BOOT" */
  uint64_t targets_retry_us;
  uint32_t claiming;
  bool eligible;       /* this host may own partitions */
  bool renewed;        /* its row was written since it may */
  uint32_t live_hosts; /* hosts that may, this one included */
  /* Timers of programs: a binary heap.  */
  struct timer *timers;
  size_t timer_count;
  size_t timer_capacity;
  bool leaving;
  uint64_t release_us; /* next partition given up for balance */
  struct organisation_count *organisations;
  struct unknown_call *unknown;
  size_t unknown_count;
  struct computed_prefix *prefixes;
  struct mq_owner_counters counters;
};

#endif
