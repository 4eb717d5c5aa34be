/* owner.h - the partition owner: program order, history, budgets, placement
   and commits.

   Every entry host runs one.  It claims partitions by compare-and-swap in
   the platform's table, replays their logs, runs the calls of their programs
   and sends events and answers to callers.  It does no I/O and reads no
   clock: it takes one input with the time and returns a list of actions;
   the same inputs give the same actions.
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
 * @data_centre: data centre of this host
 * @address: "IP:PORT" at which other hosts reach this process
 * @boot: random id of this process, new at each start
 * @seed: seed of backoff jitter and placement
 * @policy: enum mq_policy
 * @commit_each_step: commit before every call; for benchmarks
 * @max_programs: limit of programs in memory, 0: MQ_OWNER_PROGRAMS_MAX
 * @checkpoint_records: records between checkpoints, 0: MQ_CHECKPOINT_RECORDS
 * @commit_inline_bytes: larger batches are stored as an object, 0:
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
  MQ_OWNER_CONFIG,      /* a new configuration takes effect */
  MQ_OWNER_HOSTS,       /* the platform's host list was read */
  MQ_OWNER_PEER_UP,     /* a connection to a host was established */
  MQ_OWNER_PEER_DOWN,   /* the connection was lost or timed out */
  MQ_OWNER_MESSAGE,     /* message from a connected host */
  MQ_OWNER_STORE,       /* result of a store request */
  MQ_OWNER_REQUEST,     /* a caller's request, local or forwarded */
  MQ_OWNER_CALLER_GONE, /* the caller disconnected */
  MQ_OWNER_LEAVE        /* graceful shutdown: hand over all partitions */
};

/**
 * struct mq_owner_input - one input event
 * @now_us: monotonic clock of this process
 * @peer: PEER_UP, PEER_DOWN, MESSAGE: connection; REQUEST and CALLER_GONE:
 *        connection that forwarded it, MQ_PEER_SELF for local callers
 * @handle: REQUEST, CALLER_GONE: id of the caller, unique at @peer
 *
 * Pointers are borrowed for the duration of the call, except the
 * configuration, which must stay valid until the next CONFIG input.
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
/* Time at which the next TICK is due, microseconds of mq_owner_input.now_us.
 */
uint64_t mq_owner_next_tick (const struct mq_owner *owner);
/* True once every partition has been handed over after LEAVE.  */
bool mq_owner_is_drained (const struct mq_owner *owner);
/* True when this process owns PARTITION as of its last read of the row.  */
bool mq_owner_owns_partition (const struct mq_owner *owner,
                              uint32_t partition);
/* Address of the last known owner of PARTITION, or of the expected one while
   it is handed over; NULL when unknown.  */
const char *mq_owner_address (const struct mq_owner *owner,
                              uint32_t partition);
/* Status for operators as JSON, allocated below CTX.  */
char *mq_owner_status (TALLOC_CTX *ctx, const struct mq_owner *owner);

/* Counters: field and help text of the metric.  */
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
