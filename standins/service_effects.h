/* service_effects.h - record of the calls that a stand-in service executed.

   The response to a call depends only on earlier calls.  Performs no I/O;
   aborts when out of memory.
   Needs: jansson, talloc.  */

#ifndef MQ_SERVICE_EFFECTS_H
#define MQ_SERVICE_EFFECTS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct mq_effects;

/**
 * struct mq_effect - an executed call
 * @worker: worker that executed the call
 * @key: idempotency key; empty if absent
 */
struct mq_effect
{
  const char *worker;
  const char *path;
  const char *key;
  const char *body;
};

/**
 * struct mq_effect_totals - totals over the recorded calls
 * @effects: executed calls
 * @keys: distinct pairs of path and idempotency key
 * @repeated_keys: pairs that were executed more than once
 * @answered_again: duplicate calls that received the first response
 */
struct mq_effect_totals
{
  uint64_t effects;
  uint64_t keys;
  uint64_t repeated_keys;
  uint64_t answered_again;
};

/* HONOUR_KEYS: deduplicate calls by path and idempotency key; a duplicate
   receives the first response and is not executed.  */
struct mq_effects *mq_effects_create (TALLOC_CTX *ctx, bool honour_keys);

/**
 * mq_effects_apply - execute and record a call
 * @call: copied
 *
 * Return: {"ok":true,"path":P,"n":N,"echo":BODY}, where N is the number of
 * executed calls on the path. BODY is a string if it is not valid JSON.
 */
json_t *mq_effects_apply (struct mq_effects *effects,
                          const struct mq_effect *call);

/* PATH: only calls on this path; NULL for all.  */
struct mq_effect_totals mq_effects_totals (const struct mq_effects *effects,
                                           const char *path);
/* Totals as JSON; with EACH also the calls, as "effects" in order of
   execution.  */
json_t *mq_effects_list (const struct mq_effects *effects, const char *path,
                         bool each);

#endif
