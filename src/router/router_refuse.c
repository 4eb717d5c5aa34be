/* router_refuse.c - responses of the router itself.

   Needs: router_state.h.  */

#include "router_state.h"
#include <stdio.h>
#include <string.h>

/* Retry-After of refusals.  */
#define RETRY_SOON_MS 100U
#define RETRY_TABLE_MS 300U
#define RETRY_READY_MS 500U
#define RETRY_SETTLED_MS 300U
#define RETRY_OVERLOADED_MS 1000U

static const struct mq_refusal_response rows[] = {
  [MQ_REFUSE_NOTHING] = { 500, 0, "nothing" },
  [MQ_REFUSE_BAD_REQUEST] = { 400, 0, "bad_request" },
  [MQ_REFUSE_HEAD_TOO_LARGE] = { 431, 0, "head_too_large" },
  [MQ_REFUSE_BODY_TOO_LARGE] = { 413, 0, "body_too_large" },
  [MQ_REFUSE_SLOW_HEAD] = { 408, 0, "slow_head" },
  [MQ_REFUSE_UNKNOWN_KEY] = { 401, 0, "no_key" },
  [MQ_REFUSE_OVER_LIMIT] = { 429, RETRY_OVERLOADED_MS, "over_limit" },
  [MQ_REFUSE_NO_PERMIT] = { 503, RETRY_TABLE_MS, "no_permit" },
  [MQ_REFUSE_NO_ROUTE] = { 404, 0, "no_route" },
  [MQ_REFUSE_NO_TURN] = { 404, 0, "no_turn" },
  [MQ_REFUSE_BUDGET_EXHAUSTED] = { 402, 0, "budget_spent" },
  [MQ_REFUSE_NOT_READY] = { 503, RETRY_READY_MS, "not_ready" },
  [MQ_REFUSE_EXITING] = { 503, RETRY_SOON_MS, "exiting" },
  [MQ_REFUSE_NO_WORKER] = { 503, RETRY_READY_MS, "no_worker" },
  [MQ_REFUSE_ENDS_WORKERS] = { 400, 0, "ends_workers" },
  [MQ_REFUSE_UNSETTLED] = { 503, RETRY_SETTLED_MS, "ends_unsettled" },
  [MQ_REFUSE_VERSION_GONE] = { 503, 0, "version_gone" },
  [MQ_REFUSE_STREAM_UNKNOWN] = { 503, 0, "stream_unknown" },
  [MQ_REFUSE_OVERLOADED] = { 503, RETRY_OVERLOADED_MS, "loaded" },
  [MQ_REFUSE_LATE] = { 503, RETRY_OVERLOADED_MS, "late" },
  [MQ_REFUSE_NO_CAPACITY] = { 503, RETRY_SOON_MS, "full" },
  [MQ_REFUSE_NO_MEMORY] = { 503, RETRY_OVERLOADED_MS, "memory" },
  [MQ_REFUSE_TABLE_UNAVAILABLE] = { 503, RETRY_TABLE_MS, "store" },
  [MQ_REFUSE_TIMED_OUT] = { 503, RETRY_SOON_MS, "timed_out" },
  [MQ_REFUSE_FAILED] = { 502, 0, "failed" },
  [MQ_REFUSE_DEADLINE_EXCEEDED] = { 504, 0, "overdue" },
};

static const char *
retry_field (char *text, size_t size, uint32_t retry_ms)
{
  text[0] = '\0';
  if (retry_ms > 0)
    snprintf (text, size, "Retry-After: %u.%03u\r\n", retry_ms / 1000,
              retry_ms % 1000);
  return text;
}

const struct mq_refusal_response *
mq_refusal_response (enum mq_refusal refusal)
{
  return &rows[refusal];
}

void
mq_caller_refuse (struct mq_router *router, struct mq_caller *caller,
                  enum mq_refusal refusal, uint32_t retry_ms)
{
  const struct mq_refusal_response *row = &rows[refusal];
  char fields[64];

  if (row->status == 503 || row->status == 429 || row->status == 408)
    router->counters.refused++;
  mq_caller_respond (caller, row->status,
                     retry_field (fields, sizeof fields,
                                  row->retry_ms == 0 || retry_ms == 0
                                      ? row->retry_ms
                                      : retry_ms),
                     row->name, strlen (row->name), true);
}
