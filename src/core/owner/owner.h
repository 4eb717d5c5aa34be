/* owner.h - the partition owner: programs, their order, history, budget,
   placement and commits.

   Every entry host runs one.  It takes partitions over by compare-and-swap
   in the platform's table, replays their log, drives the chains of their
   programs and gives each caller its own whole answer.  Pure: one input
   with the time in, a list of actions out; the same inputs give the same
   actions.
   Needs: action.h, host.h, text.h, message.h, store.h.  */

#ifndef MQ_OWNER_H
#define MQ_OWNER_H

#include "../action.h"
#include "../host.h"
#include "../text/text.h"

struct mq_owner;

/**
 * struct mq_owner_options - fixed for the life of a process
 * @host: name of this host
 * @data_centre: where it stands
 * @address: "IP:PORT" at which other hosts reach this process
 * @boot: random id of this run of the process
 * @seed: seed of the jitter
 * @policy: placement policy, see place.h
 * @commit_each_step: commit before every step (for comparison)
 * @max_programs: programs kept in memory, 0: MQ_OWNER_PROGRAMS_MAX
 * @checkpoint_records: between checkpoints, 0: MQ_CHECKPOINT_RECORDS
 * @commit_inline_bytes: larger batches go to an object, 0:
 *                       MQ_COMMIT_INLINE_BYTES
 */
struct mq_owner_options
{
  const char *host;
  const char *data_centre;
  const char *address;
  uint64_t boot;
  uint64_t seed;
  uint32_t policy;
  bool commit_each_step;
  uint32_t max_programs;
  uint32_t checkpoint_records;
  uint32_t commit_inline_bytes;
};

enum mq_owner_input_type
{
  MQ_OWNER_TICK,
  MQ_OWNER_CONFIG,      /* a newer configuration is in force here */
  MQ_OWNER_HOSTS,       /* the platform's list was read again */
  MQ_OWNER_PEER_UP,     /* a connection to a host is ready */
  MQ_OWNER_PEER_DOWN,   /* it is gone or silent */
  MQ_OWNER_MESSAGE,     /* from a connected host */
  MQ_OWNER_STORE,       /* result of a store request */
  MQ_OWNER_REQUEST,     /* caller's request, own or forwarded */
  MQ_OWNER_CALLER_GONE, /* that caller went away */
  MQ_OWNER_LEAVE        /* planned stop: hand over, then drained */
};

/**
 * struct mq_owner_input - one thing that happened
 * @type: which
 * @now_us: monotonic time of this process
 * @peer: PEER_UP, PEER_DOWN, MESSAGE: connection; REQUEST and CALLER_GONE:
 *        connection that forwarded it or MQ_PEER_SELF
 * @handle: REQUEST, CALLER_GONE: handle at @peer
 *
 * Everything pointed to is borrowed for the duration of the call, but the
 * text, which stays valid until the next TEXT input.
 */
struct mq_owner_input
{
  enum mq_owner_input_type type;
  uint64_t now_us;
  uint32_t peer;
  uint64_t handle;
  union
  {
    const struct mq_text *text;
    const struct mq_host_list *hosts;
    struct
    {
      const char *host;
      enum mq_host_role role;
      uint64_t boot;
    } peer_up;
    const struct mq_message *message;
    const struct mq_store_result *store;
    const struct mq_request_msg *request;
  } u;
};

struct mq_owner *mq_owner_create (TALLOC_CTX *ctx,
                                  const struct mq_owner_options *options);
void mq_owner_destroy (struct mq_owner *owner);
void mq_owner_handle (struct mq_owner *owner,
                      const struct mq_owner_input *input,
                      struct mq_actions *actions);
/* When the next TICK is due, on the clock of the inputs.  */
uint64_t mq_owner_next_tick (const struct mq_owner *owner);
/* True once every partition was handed over after LEAVE.  */
bool mq_owner_is_drained (const struct mq_owner *owner);
/* True when this process owns PARTITION as far as it knows.  */
bool mq_owner_owns_partition (const struct mq_owner *owner,
                              uint32_t partition);
/* Address of the host that owns PARTITION as far as is known, or that
   should own it; NULL when nothing is known.  */
const char *mq_owner_address (const struct mq_owner *owner,
                              uint32_t partition);
/* Status for operators as a JSON text below CTX.  */
char *mq_owner_status (TALLOC_CTX *ctx, const struct mq_owner *owner);

/* Counters, one name each, read by the daemon.  */
#define MQ_OWNER_COUNTER_LIST(X)                                              \
  X (programs_opened, "programs opened")                                      \
  X (programs_ended, "programs ended")                                        \
  X (programs_live, "programs under way in memory")                           \
  X (calls_sent, "attempts sent to targets")                                  \
  X (calls_done, "calls whose outcome was accepted")                          \
  X (calls_retried, "attempts after the first")                               \
  X (calls_refused, "attempts refused by targets' processes")                 \
  X (calls_unknown, "calls whose effect can't be known")                      \
  X (answers_final, "final answers given to callers")                         \
  X (answers_refused, "typed refusals given to callers")                      \
  X (answers_dropped, "late, doubled or foreign answers dropped")             \
  X (commits, "transactions applied")                                         \
  X (commit_records, "records in them")                                       \
  X (commit_conflicts, "transactions that met another writer")                \
  X (commit_lost, "transactions whose answer was lost")                       \
  X (store_reads, "scans and object reads")                                   \
  X (takeovers, "partitions taken over")                                      \
  X (partitions_lost, "partitions lost to another owner")                     \
  X (prompt_tokens, "prompt tokens of model calls whose answer was accepted") \
  X (cached_tokens, "of these, found in an engine's cache")                   \
  X (recomputed_tokens, "of these, computed again: known, but not found")     \
  X (tokens_spent, "tokens charged to programs")                              \
  X (tokens_forfeited, "granted tokens counted as spent after a takeover")    \
  X (budget_stops, "programs stopped by their budget")                        \
  X (loops_suspected, "programs that repeat the same call")                   \
  X (seals_sent, "calls settled by SEAL")                                     \
  X (evictions_confirmed, "evictions confirmed by targets' processes")        \
  X (evictions_waiting, "ended programs whose eviction is not confirmed")

struct mq_owner_counters
{
#define MQ_COUNTER_FIELD(name, help) uint64_t name;
  MQ_OWNER_COUNTER_LIST (MQ_COUNTER_FIELD)
#undef MQ_COUNTER_FIELD
};

const struct mq_owner_counters *
mq_owner_read_counters (const struct mq_owner *owner);

#endif
