/* service_effects.h - what a plain service or tool has done, call by call.

   Pure; the answer of a call depends only on the calls before it.  Memory
   that runs out aborts.
   Needs: jansson, talloc.  */

#ifndef MQ_SERVICE_EFFECTS_H
#define MQ_SERVICE_EFFECTS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct mq_effects;

/**
 * struct mq_effect - one effect
 * @worker: which worker brought it about
 * @path: path of the call
 * @key: its idempotency key, empty when it had none
 * @body: its body
 */
struct mq_effect
{
  const char *worker;
  const char *path;
  const char *key;
  const char *body;
};

/**
 * struct mq_effect_totals - sums over the effects
 * @effects: how many
 * @keys: distinct pairs of path and idempotency key among them
 * @repeated_keys: those of @keys that had more than one effect
 * @answered_again: calls that got the first answer in place of an effect
 */
struct mq_effect_totals
{
  uint64_t effects;
  uint64_t keys;
  uint64_t repeated_keys;
  uint64_t answered_again;
};

/* HONOUR_KEYS: a key that was seen on the same path gets its first answer
   again, without a new effect.  */
struct mq_effects *mq_effects_create (TALLOC_CTX *ctx, bool honour_keys);

/**
 * mq_effects_apply - bring about the effect of one call
 * @effects: what was done before
 * @call: the call, copied
 *
 * Return: {"ok":true,"path":P,"n":N,"echo":BODY}, where N counts the effects
 * on the path and BODY is JSON, or a string when it was none.
 */
json_t *mq_effects_apply (struct mq_effects *effects,
                          const struct mq_effect *call);

/* PATH: only effects on it, NULL: all.  */
struct mq_effect_totals mq_effects_totals (const struct mq_effects *effects,
                                           const char *path);
/* The totals as JSON and, when EACH is set, "effects" in order of time.  */
json_t *mq_effects_list (const struct mq_effects *effects, const char *path,
                         bool each);

#endif
