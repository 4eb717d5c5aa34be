/* router_retry.c - retries of calls for turns to the platform's table: a
   backoff that ends early when the table is back.

   Needs: router_turns.h, id.h.  */

#include "router_turns.h"
#include "core/id.h"

/* Exponential backoff of retries, with jitter so that hosts do not retry in
   step.  */
#define RETRY_MIN_MS 60U
#define RETRY_MAX_MS 480U
/* Retries are spread over this time once the table is back.  */
#define RECOVERED_SPREAD_MS 30U

/**
 * struct mq_retry - a retry that waits
 * @next: next one of the same turns
 * @timer: its backoff
 */
struct mq_retry
{
  struct mq_turns *turns;
  struct mq_retry *next;
  struct mq_timer *timer;
  mq_timer_handler *handler;
  void *data;
};

static int
unlink_retry (struct mq_retry *retry)
{
  struct mq_retry **at = &retry->turns->retries;

  while (*at != retry)
    at = &(*at)->next;
  *at = retry->next;
  return 0;
}

static void
on_timer (void *data)
{
  struct mq_retry *retry = data;
  mq_timer_handler *handler = retry->handler;
  void *handler_data = retry->data;

  talloc_free (retry);
  handler (handler_data);
}

static uint32_t
backoff_ms (struct mq_turns *turns, uint32_t tries)
{
  uint32_t wait = RETRY_MIN_MS;

  for (uint32_t i = 1; i < tries && wait < RETRY_MAX_MS; i++)
    wait *= 2;
  return wait / 2 + mq_random_below (&turns->router->random, wait);
}

static void
start_timer (struct mq_retry *retry, uint32_t ms)
{
  TALLOC_FREE (retry->timer);
  retry->timer
      = mq_timer_add (retry, retry->turns->router->ev, ms, on_timer, retry);
}

struct mq_retry *
mq_retry_schedule (struct mq_turns *turns, uint32_t tries,
                   mq_timer_handler *handler, void *data)
{
  struct mq_retry *retry = talloc_zero (turns, struct mq_retry);

  if (retry == NULL)
    return NULL;
  retry->turns = turns;
  retry->handler = handler;
  retry->data = data;
  retry->next = turns->retries;
  turns->retries = retry;
  talloc_set_destructor (retry, unlink_retry);
  start_timer (retry, backoff_ms (turns, tries));
  return retry;
}

void
mq_retry_all (void *user)
{
  struct mq_router *router = user;

  for (struct mq_retry *retry = router->turns->retries; retry != NULL;
       retry = retry->next)
    start_timer (retry,
                 mq_random_below (&router->random, RECOVERED_SPREAD_MS));
}
