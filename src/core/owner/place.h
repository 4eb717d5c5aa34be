/* place.h - which worker a call should go to.

   Scores workers on plain values; a wrong guess costs latency only.
   Needs: types.h.  */

#ifndef MQ_PLACE_H
#define MQ_PLACE_H

#include "../types.h"

enum mq_policy
{
  MQ_POLICY_FINISH,       /* predicted finish, sticky, two choices */
  MQ_POLICY_ROUND_ROBIN,  /* baseline */
  MQ_POLICY_LEAST_LOADED, /* baseline */
  MQ_POLICY_PREFIX_HASH,  /* baseline: consistent hash, bounded load */
  MQ_POLICY_COUNT
};

/**
 * struct mq_worker_view - what the owner believes of one worker
 * @peer: connection of its gate
 * @worker: index on that host
 * @name_hash: stable hash of host and index
 * @same_data_centre: in the caller's data centre
 * @slots: calls that run side by side
 * @own_in_flight: calls sent from here and not ended
 * @own_tokens: prompt tokens still to compute of these, estimated
 * @reported_busy: running and queued as last reported
 * @reported_us: when, on the caller's clock; 0: never
 * @cache_free: free cache tokens as last reported
 * @prefill_rate: tokens a second, 0: unknown
 * @decode_us: time of one token, 0: unknown
 * @avoid: leaving, silent or just refused
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
 * struct mq_place_call - what is known of the call to be placed
 * @prompt_tokens: whole prompt
 * @expected_tokens: tokens that it is expected to generate
 * @sticky: index in the views that holds the program's cache, or -1
 * @sticky_tokens: prompt tokens cached there
 * @shared_prefix: hash of the service's common prefix
 * @shared_tokens: its length
 * @program_hash: hash of the program's id
 * @priority: class
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

struct mq_place_state; /* round-robin position, random state */

struct mq_place_state *mq_place_create (TALLOC_CTX *ctx, uint64_t seed);
void mq_place_destroy (struct mq_place_state *state);
/* Index of the chosen view, or -1 when every view is to be avoided.  */
int32_t mq_place_choose (struct mq_place_state *state, enum mq_policy policy,
                         const struct mq_worker_view *views, size_t count,
                         const struct mq_place_call *call, uint64_t now_us);
bool mq_policy_from_name (const char *name, enum mq_policy *policy);
const char *mq_policy_name (enum mq_policy policy);

#endif
