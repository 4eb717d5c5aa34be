/* place.c - placement of calls on workers.

   The policy "finish" predicts when the call would end at some candidates:
   the worker that holds the program's cache, the one that holds the service's
   common prompt prefix, and some random ones.  Random candidates keep owners
   with the same stale load reports from choosing the same worker.
   Needs: place.h, id.h.  */

#include "place.h"
#include "../id.h"
#include <stdlib.h>
#include <string.h>

enum
{
  RANDOM_CHOICES = 4,          /* candidates */
  DEFAULT_PREFILL_RATE = 8000, /* tokens per second */
  DEFAULT_DECODE_US = 10000,   /* per token */
  REPORT_FRESH_US = 2000000,   /* older load reports count half */
  LOAD_BOUND_PERCENT = 125     /* of the mean load */
};

struct mq_place_state
{
  uint64_t random;
  uint32_t next;
};

static const char *const policy_names[] = {
  [MQ_POLICY_FINISH] = "finish",
  [MQ_POLICY_ROUND_ROBIN] = "round-robin",
  [MQ_POLICY_LEAST_LOADED] = "least-loaded",
  [MQ_POLICY_PREFIX_HASH] = "prefix-hash",
};

struct mq_place_state *
mq_place_create (TALLOC_CTX *ctx, uint64_t seed)
{
  struct mq_place_state *state = talloc_zero (ctx, struct mq_place_state);

  if (state == NULL)
    abort ();
  state->random = seed;
  state->next = (uint32_t)seed;
  return state;
}

void
mq_place_destroy (struct mq_place_state *state)
{
  talloc_free (state);
}

bool
mq_policy_from_name (const char *name, enum mq_policy *policy)
{
  for (int i = 0; i < MQ_POLICY_COUNT; i++)
    if (strcmp (policy_names[i], name) == 0)
      {
        *policy = (enum mq_policy)i;
        return true;
      }
  return false;
}

const char *
mq_policy_name (enum mq_policy policy)
{
  return (unsigned int)policy < MQ_POLICY_COUNT ? policy_names[policy]
                                                : "unknown";
}

/* Jump consistent hash (Lamping and Veach 2014): few keys move when the
   number of workers changes.  */
static uint32_t
jump_hash (uint64_t key, uint32_t buckets)
{
  int64_t b = -1;
  int64_t j = 0;

  while (j < buckets)
    {
      b = j;
      key = key * 2862933555777941757ULL + 1;
      j = (int64_t)((double)(b + 1)
                    * ((double)(1LL << 31) / (double)((key >> 33) + 1)));
    }
  return (uint32_t)b;
}

/* Estimated calls at the worker: the larger of those sent by this owner and
   those reported.  */
static uint32_t
estimate_busy (const struct mq_worker_view *view, uint64_t now_us)
{
  uint32_t reported = view->reported_busy;

  if (view->reported_us == 0 || now_us - view->reported_us > REPORT_FRESH_US)
    reported /= 2;
  return view->own_in_flight > reported ? view->own_in_flight : reported;
}

static uint64_t
prefill_us (const struct mq_worker_view *view, uint64_t tokens)
{
  uint64_t rate
      = view->prefill_rate == 0 ? DEFAULT_PREFILL_RATE : view->prefill_rate;

  return tokens * 1000000 / rate;
}

static uint64_t
predict_finish (const struct mq_worker_view *view,
                const struct mq_place_call *call, uint32_t cached,
                uint64_t now_us)
{
  uint64_t decode = view->decode_us == 0 ? DEFAULT_DECODE_US : view->decode_us;
  uint32_t busy = estimate_busy (view, now_us);
  uint32_t slots = view->slots == 0 ? 1 : view->slots;
  uint64_t generate = (uint64_t)call->expected_tokens * decode;
  uint64_t uncached
      = call->prompt_tokens > cached ? call->prompt_tokens - cached : 0;
  uint64_t finish = generate + prefill_us (view, uncached + view->own_tokens);

  /* Concurrent calls slow each other; calls beyond the slots are queued.  */
  finish += generate * (busy < slots ? busy : slots) / (4ULL * slots);
  if (busy >= slots)
    finish += generate * (busy + 1 - slots) / slots;
  return finish;
}

static int32_t
choose_round_robin (struct mq_place_state *state,
                    const struct mq_worker_view *views, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      size_t at = state->next++ % count;

      if (!views[at].avoid)
        return (int32_t)at;
    }
  return -1;
}

static int32_t
choose_least_loaded (struct mq_place_state *state,
                     const struct mq_worker_view *views, size_t count,
                     uint64_t now_us)
{
  uint32_t start = mq_random_below (&state->random, (uint32_t)count);
  uint32_t best_busy = UINT32_MAX;
  int32_t best = -1;

  for (size_t i = 0; i < count; i++)
    {
      size_t at = (start + i) % count;
      uint32_t busy = estimate_busy (&views[at], now_us);

      if (views[at].avoid || busy >= best_busy)
        continue;
      best = (int32_t)at;
      best_busy = busy;
    }
  return best;
}

/* The worker that the program hashes to, or the next one with a load within
   the bound.  */
static int32_t
choose_prefix_hash (const struct mq_worker_view *views, size_t count,
                    const struct mq_place_call *call, uint64_t now_us)
{
  uint64_t total = 1;
  uint32_t start = jump_hash (call->program_hash, (uint32_t)count);
  int32_t fallback = -1;

  for (size_t i = 0; i < count; i++)
    total += estimate_busy (&views[i], now_us);
  for (size_t i = 0; i < count; i++)
    {
      size_t at = (start + i) % count;
      uint64_t busy = estimate_busy (&views[at], now_us);

      if (views[at].avoid)
        continue;
      if (fallback < 0)
        fallback = (int32_t)at;
      if (busy * count * 100 <= total * LOAD_BOUND_PERCENT)
        return (int32_t)at;
    }
  return fallback;
}

struct candidate
{
  int32_t index;
  uint64_t finish;
};

static void
compare_candidate (struct candidate *best, const struct mq_worker_view *views,
                   size_t at, const struct mq_place_call *call,
                   uint32_t cached, uint64_t now_us)
{
  uint64_t finish;

  if (views[at].avoid)
    return;
  finish = predict_finish (&views[at], call, cached, now_us);
  if (!views[at].same_data_centre)
    finish += finish / 50;
  if (best->index >= 0 && finish >= best->finish)
    return;
  best->index = (int32_t)at;
  best->finish = finish;
}

static int32_t
choose_finish (struct mq_place_state *state,
               const struct mq_worker_view *views, size_t count,
               const struct mq_place_call *call, uint64_t now_us)
{
  struct candidate best = { -1, 0 };
  uint32_t home = jump_hash (call->shared_prefix, (uint32_t)count);

  compare_candidate (&best, views, home, call, call->shared_tokens, now_us);
  for (int i = 0; i < RANDOM_CHOICES; i++)
    compare_candidate (&best, views,
                       mq_random_below (&state->random, (uint32_t)count), call,
                       0, now_us);
  if (call->sticky >= 0 && (size_t)call->sticky < count
      && !views[call->sticky].avoid)
    {
      const struct mq_worker_view *sticky = &views[call->sticky];
      uint64_t finish
          = predict_finish (sticky, call, call->sticky_tokens, now_us);

      /* Moving loses the program's cache and evicts others' at the new worker,
         so it must at least halve the predicted time.  */
      if (best.index < 0 || 2 * best.finish >= finish)
        return call->sticky;
    }
  if (best.index < 0)
    return choose_least_loaded (state, views, count, now_us);
  return best.index;
}

int32_t
mq_place_choose (struct mq_place_state *state, enum mq_policy policy,
                 const struct mq_worker_view *views, size_t count,
                 const struct mq_place_call *call, uint64_t now_us)
{
  if (count == 0)
    return -1;
  switch (policy)
    {
    case MQ_POLICY_ROUND_ROBIN:
      return choose_round_robin (state, views, count);
    case MQ_POLICY_LEAST_LOADED:
      return choose_least_loaded (state, views, count, now_us);
    case MQ_POLICY_PREFIX_HASH:
      return choose_prefix_hash (views, count, call, now_us);
    case MQ_POLICY_FINISH:
    case MQ_POLICY_COUNT:
      break;
    }
  return choose_finish (state, views, count, call, now_us);
}
