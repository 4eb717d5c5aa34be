/* router_inactivity.c - detects workers that stopped responding.

   Needs: router_inactivity.h, memory.h, clock.h, timer.h.  */

#include "router_inactivity.h"
#include "core/memory.h"
#include "net/clock.h"
#include "net/timer.h"

/* Timeouts as multiples of the objectives of the route.  */
#define FIRST_BYTE_FACTOR 3U
#define GAP_FACTOR 3U
#define TIMEOUT_MIN_MS 400U
/* Timeout factor for a worker that answers other requests, and the divisor of
   the remaining time that caps it unless requests are queued at the worker,
   where a second attempt would only lengthen the queues.

   Failure: a response is lost while the worker answers others, and the
   deadline passes before another worker is tried.  */
#define BUSY_FACTOR 3U
#define BUSY_LEFT_DIVISOR 3U

/**
 * struct mq_inactivity - inactivity timer of one attempt
 * @heard_ms: last bytes for this request, local monotonic clock
 * @seen: the last check found the worker inactive
 */
struct mq_inactivity
{
  struct mq_inactivity_options options;
  struct tevent_context *ev;
  struct mq_timer *timer;
  uint64_t heard_ms;
  bool seen;
};

static void on_check (void *data);

/* Timeout, milliseconds.  */
static uint32_t
timeout_ms (const struct mq_inactivity *inactivity)
{
  const struct mq_path_route *route = inactivity->options.route;
  uint32_t wait = inactivity->options.begun
                      ? route->gap_ms * GAP_FACTOR
                      : route->objective_ms * FIRST_BYTE_FACTOR;

  return wait < TIMEOUT_MIN_MS ? TIMEOUT_MIN_MS : wait;
}

static void
schedule_check (struct mq_inactivity *inactivity, uint64_t wait_ms)
{
  inactivity->timer = mq_check_alloc (mq_timer_add (
      inactivity, inactivity->ev, wait_ms, on_check, inactivity));
}

/* Timeout while the worker answers other requests, milliseconds.  */
static uint32_t
busy_timeout_ms (const struct mq_inactivity *inactivity)
{
  uint32_t timeout = timeout_ms (inactivity);
  uint32_t wait = timeout * BUSY_FACTOR;
  uint32_t part = inactivity->options.left_ms / BUSY_LEFT_DIVISOR;
  bool queued = mq_fleet_has_queue (
      inactivity->options.fleet, inactivity->options.worker, mq_clock_ms ());

  if (part < wait && !queued)
    wait = part;
  return wait < timeout ? timeout : wait;
}

/* Time remaining until the timeout; 0 if it has passed.  */
static uint64_t
left_ms (const struct mq_inactivity *inactivity)
{
  uint64_t now = mq_clock_ms ();
  uint64_t other = mq_fleet_last_activity_ms (inactivity->options.fleet,
                                              inactivity->options.worker);
  uint64_t until = inactivity->heard_ms + timeout_ms (inactivity);
  uint64_t busy_until = inactivity->heard_ms + busy_timeout_ms (inactivity);

  /* Activity on other requests restarts the timeout.  */
  if (other > inactivity->heard_ms)
    until = other + timeout_ms (inactivity);
  if (until > busy_until)
    until = busy_until;
  return until > now ? until - now : 0;
}

/* Reports inactivity only if two checks find it with a poll of the sockets in
   between, because responses may be unread after this process was delayed.

   Failure: the only worker that can go on with a stream pauses, and the stream
   is cut although the worker would have completed it.  */
static void
on_check (void *data)
{
  struct mq_inactivity *inactivity = data;
  uint64_t left = left_ms (inactivity);

  inactivity->timer = NULL;
  if (left > 0)
    {
      inactivity->seen = false;
      schedule_check (inactivity, left);
    }
  else if (!inactivity->seen)
    {
      inactivity->seen = true;
      schedule_check (inactivity, 1);
    }
  else if (!inactivity->options.may_move (inactivity->options.user))
    {
      inactivity->seen = false;
      schedule_check (inactivity, timeout_ms (inactivity));
    }
  else
    inactivity->options.timed_out (inactivity->options.user);
}

struct mq_inactivity *
mq_inactivity_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                      const struct mq_inactivity_options *options)
{
  struct mq_inactivity *inactivity
      = mq_check_alloc (talloc_zero (ctx, struct mq_inactivity));

  inactivity->options = *options;
  inactivity->ev = ev;
  inactivity->heard_ms = mq_clock_ms ();
  if (options->detect_inactivity)
    schedule_check (inactivity, timeout_ms (inactivity));
  return inactivity;
}

void
mq_inactivity_destroy (struct mq_inactivity *inactivity)
{
  talloc_free (inactivity);
}

void
mq_inactivity_reset (struct mq_inactivity *inactivity)
{
  uint64_t now = mq_clock_ms ();

  inactivity->heard_ms = now;
  mq_fleet_record_activity (inactivity->options.fleet,
                            inactivity->options.worker, now);
}

void
mq_inactivity_response_begun (struct mq_inactivity *inactivity)
{
  inactivity->options.begun = true;
}

uint64_t
mq_inactivity_ms (const struct mq_inactivity *inactivity)
{
  return mq_clock_ms () - inactivity->heard_ms;
}
