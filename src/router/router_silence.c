/* router_silence.c - notices a worker that has gone without a word.

   Needs: router_silence.h, memory.h, clock.h, timer.h.  */

#include "router_silence.h"
#include "core/memory.h"
#include "net/clock.h"
#include "net/timer.h"

/* Objectives are about three times the usual time, so that three objectives
   are nine times that.  */
#define FIRST_FACTOR 3U
#define GAP_FACTOR 3U
#define LEAST_MS 400U
/* A worker that answers other requests is busy; its silence towards this one
   counts a third.

   Failure: the worker has run the request and its answer is lost, while it
   goes on answering others; a caller who waits 1.2 s was told so at the end of
   it, since the silence would have counted after three times 0.4 s.  So no
   more than a third of the caller's time is spent on it, which leaves twice as
   much for another worker; where requests wait at the worker, a second one
   would only make queues longer.  */
#define BUSY_FACTOR 3U
#define BUSY_PART 3U

/**
 * struct mq_silence - the watch on one try
 * @heard_ms: when the worker last gave something to this request
 * @seen: it seemed silent at the last look
 */
struct mq_silence
{
  struct mq_silence_options options;
  struct tevent_context *ev;
  struct mq_timer *timer;
  uint64_t heard_ms;
  bool seen;
};

static void on_look (void *data);

/* Longest silence of the worker before the request is better off elsewhere. */
static uint32_t
longest_ms (const struct mq_silence *silence)
{
  const struct mq_path_route *route = silence->options.route;
  uint32_t wait = silence->options.begun ? route->gap_ms * GAP_FACTOR
                                         : route->objective_ms * FIRST_FACTOR;

  return wait < LEAST_MS ? LEAST_MS : wait;
}

static void
look_after (struct mq_silence *silence, uint64_t wait_ms)
{
  silence->timer
      = mq_timer_add (silence, silence->ev, wait_ms, on_look, silence);
}

/* The same where the worker answers other requests.  */
static uint32_t
longest_busy_ms (const struct mq_silence *silence)
{
  uint32_t longest = longest_ms (silence);
  uint32_t wait = longest * BUSY_FACTOR;
  uint32_t part = silence->options.patience_ms / BUSY_PART;
  bool queued = mq_fleet_has_queue (silence->options.fleet,
                                    silence->options.worker, mq_clock_ms ());

  if (part < wait && !queued)
    wait = part;
  return wait < longest ? longest : wait;
}

/* How long the silence may still last, 0: no longer.  */
static uint64_t
left_ms (const struct mq_silence *silence)
{
  uint64_t now = mq_clock_ms ();
  uint64_t other
      = mq_fleet_heard_ms (silence->options.fleet, silence->options.worker);
  uint64_t until = silence->heard_ms + longest_ms (silence);
  uint64_t busy_until = silence->heard_ms + longest_busy_ms (silence);

  /* Heard of by other requests, it counts from then on.  */
  if (other > silence->heard_ms)
    until = other + longest_ms (silence);
  if (until > busy_until)
    until = busy_until;
  return until > now ? until - now : 0;
}

/* Silence counts only when it is seen twice, with a look at the connections in
   between: after a pause of this process answers lie there unread.  */
static void
on_look (void *data)
{
  struct mq_silence *silence = data;
  uint64_t left = left_ms (silence);

  silence->timer = NULL;
  if (left > 0)
    {
      silence->seen = false;
      look_after (silence, left);
    }
  else if (!silence->seen)
    {
      silence->seen = true;
      look_after (silence, 1);
    }
  else
    silence->options.gone (silence->options.user);
}

struct mq_silence *
mq_silence_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                   const struct mq_silence_options *options)
{
  struct mq_silence *silence
      = mq_check_alloc (talloc_zero (ctx, struct mq_silence));

  silence->options = *options;
  silence->ev = ev;
  silence->heard_ms = mq_clock_ms ();
  if (options->watched)
    look_after (silence, longest_ms (silence));
  return silence;
}

void
mq_silence_destroy (struct mq_silence *silence)
{
  talloc_free (silence);
}

void
mq_silence_heard (struct mq_silence *silence)
{
  uint64_t now = mq_clock_ms ();

  silence->heard_ms = now;
  mq_fleet_heard (silence->options.fleet, silence->options.worker, now);
}

void
mq_silence_begun (struct mq_silence *silence)
{
  silence->options.begun = true;
}

uint64_t
mq_silence_ms (const struct mq_silence *silence)
{
  return mq_clock_ms () - silence->heard_ms;
}
