/* router_pool.c - pool of idle connections to workers.

   Needs: router_pool.h, clock.h.  */

#include "router_pool.h"
#include "net/clock.h"
#include <string.h>

#define SLOTS_STEP ((size_t)32)

/**
 * struct idle_lane - an idle connection
 * @stamp: identifies the instance of the worker it leads to
 * @until_ms: expiry, local monotonic clock
 * @next: connection that became idle before this one
 */
struct idle_lane
{
  struct mq_http_conn *lane;
  uint64_t stamp;
  uint64_t until_ms;
  struct idle_lane *next;
};

/**
 * struct mq_pool - idle connections of each worker, newest first
 * @idle: lists indexed by the worker's handle
 */
struct mq_pool
{
  struct tevent_context *ev;
  struct mq_fleet *fleet;
  struct idle_lane **idle;
  size_t count;
  uint64_t opened;
};

struct mq_pool *
mq_pool_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                struct mq_fleet *fleet)
{
  struct mq_pool *pool = talloc_zero (ctx, struct mq_pool);

  if (pool == NULL)
    return NULL;
  pool->ev = ev;
  pool->fleet = fleet;
  return pool;
}

static void
close_idle (struct idle_lane *idle)
{
  mq_http_conn_destroy (idle->lane);
  talloc_free (idle);
}

/* Whether the connection has not expired and leads to the current instance of
   the worker.  */
static bool
is_valid (const struct mq_pool *pool, const struct idle_lane *idle,
          uint32_t worker, uint64_t now_ms)
{
  return idle->until_ms > now_ms
         && idle->stamp == mq_fleet_instance_digest (pool->fleet, worker);
}

void
mq_pool_destroy (struct mq_pool *pool)
{
  if (pool == NULL)
    return;
  for (size_t i = 0; i < pool->count; i++)
    while (pool->idle[i] != NULL)
      {
        struct idle_lane *idle = pool->idle[i];

        pool->idle[i] = idle->next;
        close_idle (idle);
      }
  talloc_free (pool);
}

static bool
reserve_slots (struct mq_pool *pool, uint32_t worker)
{
  size_t count = pool->count;
  struct idle_lane **grown;

  if (worker < count)
    return true;
  while (count <= worker)
    count += SLOTS_STEP;
  grown = talloc_realloc (pool, pool->idle, struct idle_lane *, count);
  if (grown == NULL)
    return false;
  for (size_t i = pool->count; i < count; i++)
    grown[i] = NULL;
  pool->idle = grown;
  pool->count = count;
  return true;
}

/* Removes an idle connection that was closed.  */
static void
on_lane_closed (struct mq_http_conn *lane, void *user)
{
  struct mq_pool *pool = user;

  for (size_t i = 0; i < pool->count; i++)
    for (struct idle_lane **at = &pool->idle[i]; *at != NULL;
         at = &(*at)->next)
      if ((*at)->lane == lane)
        {
          struct idle_lane *idle = *at;

          *at = idle->next;
          close_idle (idle);
          return;
        }
  mq_http_conn_destroy (lane);
}

struct mq_http_conn *
mq_pool_acquire (struct mq_pool *pool, uint32_t worker, struct mq_error *error)
{
  uint64_t now = mq_clock_ms ();
  struct idle_lane *idle;

  if (!reserve_slots (pool, worker))
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, "", NULL);
      return NULL;
    }
  while ((idle = pool->idle[worker]) != NULL)
    {
      struct mq_http_conn *lane = idle->lane;

      pool->idle[worker] = idle->next;
      if (!is_valid (pool, idle, worker, now)
          || !mq_http_conn_is_reusable (lane))
        {
          close_idle (idle);
          continue;
        }
      talloc_free (idle);
      return lane;
    }
  pool->opened++;
  return mq_http_conn_open (
      pool, pool->ev, mq_fleet_member (pool->fleet, worker)->address,
      MQ_POOL_ACK_TIMEOUT_MS, on_lane_closed, pool, error);
}

void
mq_pool_release (struct mq_pool *pool, uint32_t worker,
                 struct mq_http_conn *lane, uint32_t idle_s)
{
  uint32_t keep_ms = idle_s == 0 ? MQ_POOL_DEFAULT_IDLE_MS : idle_s * 1000U;
  struct idle_lane *idle = NULL;

  if (mq_http_conn_is_reusable (lane)
      && mq_fleet_is_available (pool->fleet, worker)
      && keep_ms > MQ_POOL_IDLE_MARGIN_MS)
    idle = talloc_zero (pool, struct idle_lane);
  if (idle == NULL)
    {
      mq_http_conn_destroy (lane);
      return;
    }
  idle->lane = lane;
  idle->stamp = mq_fleet_instance_digest (pool->fleet, worker);
  idle->until_ms = mq_clock_ms () + keep_ms - MQ_POOL_IDLE_MARGIN_MS;
  idle->next = pool->idle[worker];
  pool->idle[worker] = idle;
}

void
mq_pool_sweep (struct mq_pool *pool)
{
  uint64_t now = mq_clock_ms ();

  for (size_t i = 0; i < pool->count; i++)
    {
      bool usable = pool->idle[i] != NULL
                    && mq_fleet_is_available (pool->fleet, (uint32_t)i);
      struct idle_lane **at = &pool->idle[i];

      while (*at != NULL)
        {
          struct idle_lane *idle = *at;

          if (usable && is_valid (pool, idle, (uint32_t)i, now))
            {
              at = &idle->next;
              continue;
            }
          *at = idle->next;
          close_idle (idle);
        }
    }
}

uint64_t
mq_pool_opened (const struct mq_pool *pool)
{
  return pool->opened;
}
