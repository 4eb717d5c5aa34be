/* place.h - placement of calls on workers.

   Policies work on estimates; a wrong estimate costs latency only.
   Needs: types.h.  */

#ifndef MQ_PLACE_H
#define MQ_PLACE_H

#include "../types.h"

enum mq_policy
{
  MQ_POLICY_FINISH,       /* earliest predicted finish, with cache affinity */
  MQ_POLICY_ROUND_ROBIN,  /* baseline */
  MQ_POLICY_LEAST_LOADED, /* baseline */
  MQ_POLICY_PREFIX_HASH,  /* baseline: consistent hash with bounded load */
  MQ_POLICY_COUNT
};

/**
 * struct mq_worker_view - the owner's view of one worker
 * @peer: connection to its host
 * @worker: index of the worker on that host
 * @name_hash: stable hash of host and index
 * @same_data_centre: in the data centre of the owner
 * @slots: maximum of concurrent calls
 * @own_in_flight: calls sent by this owner that have not ended
 * @own_tokens: estimated prompt tokens of these still to be computed
 * @reported_busy: running and queued calls in the last report
 * @reported_us: time of the last report, owner's clock; 0: none
 * @cache_free: free cache, tokens, in the last report
 * @prefill_rate: prompt tokens per second, 0: unknown
 * @decode_us: time per generated token, 0: unknown
 * @avoid: not to be chosen: leaving, disconnected or just refused a call
 */
struct mq_worker_view
{
  uint32_t peer;
  uint32_t worker;
  uint64_t name_hash;
  bool same_data_centre;
  uint32_t slots;
  uint32_t own_in_flight;
  uint64_t own_tokens;
  uint32_t reported_busy;
  uint64_t reported_us;
  uint32_t cache_free;
  uint32_t prefill_rate;
  uint32_t decode_us;
  bool avoid;
};

/**
 * struct mq_place_call - the call to be placed
 * @prompt_tokens: tokens of the complete prompt
 * @expected_tokens: tokens expected to be generated
 * @sticky: index of the view that holds the program's cache, -1: none
 * @sticky_tokens: prompt tokens cached there
 * @shared_prefix: hash of the service's common prompt prefix
 * @shared_tokens: tokens of that prefix
 * @program_hash: hash of the program's id
 */
struct mq_place_call
{
  uint32_t prompt_tokens;
  uint32_t expected_tokens;
  int32_t sticky;
  uint32_t sticky_tokens;
  uint64_t shared_prefix;
  uint32_t shared_tokens;
  uint64_t program_hash;
  enum mq_priority priority;
};

struct mq_place_state; /* state of round robin and random choices */

struct mq_place_state *mq_place_create (TALLOC_CTX *ctx, uint64_t seed);
void mq_place_destroy (struct mq_place_state *state);
/* Index of the chosen view, -1 when none may be chosen.  */
int32_t mq_place_choose (struct mq_place_state *state, enum mq_policy policy,
                         const struct mq_worker_view *views, size_t count,
                         const struct mq_place_call *call, uint64_t now_us);
bool mq_policy_from_name (const char *name, enum mq_policy *policy);
const char *mq_policy_name (enum mq_policy policy);

#endif
