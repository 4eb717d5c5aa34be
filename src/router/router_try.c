/* router_try.c - one try to have a request served by one worker.

   Needs: router_try.h, router_silence.h, memory.h, clock.h.  */

#include "router_try.h"
#include "core/memory.h"
#include "net/clock.h"
#include "router_silence.h"
#include <string.h>

/**
 * struct mq_try - a request at a worker
 * @lane: connection to the worker
 * @silence: of the worker
 */
struct mq_try
{
  struct mq_try_options options;
  struct mq_http_conn *lane;
  struct mq_silence *silence;
};

static void
tell_fleet (const struct mq_try *try, enum mq_fleet_outcome outcome)
{
  mq_fleet_ended (try->options.fleet, try->options.worker, outcome,
                  mq_clock_ms ());
}

void
mq_try_stop (struct mq_try *try, enum mq_fleet_outcome outcome)
{
  if (try == NULL)
    return;
  if (try->lane != NULL)
    {
      mq_http_conn_destroy (try->lane);
      tell_fleet (try, outcome);
    }
  talloc_free (try);
}

/* Frees TRY and tells above.  */
static void
end_try (struct mq_try *try, enum mq_attempt_end end,
         enum mq_fleet_outcome outcome)
{
  struct mq_try_options options = try->options;

  mq_try_stop (try, outcome);
  options.ended (end, options.user);
}

static void
end_broken (struct mq_try *try)
{
  end_try (try, MQ_ATTEMPT_BROKEN, MQ_OUTCOME_FAILED);
}

static void
on_silent (void *user)
{
  end_broken (user);
}

/* An answer without the request's id can't be told from another's; one with
   another id is a late answer to an earlier request of the connection.  */
static bool
on_head (const struct mq_http_head *head, void *user)
{
  struct mq_try *try = user;
  const struct mq_try_options *options = &try->options;
  struct mq_answer_facts facts;

  mq_wire_read_answer (head, &facts);
  mq_silence_heard (try->silence);
  if (facts.id == NULL)
    {
      end_broken (try);
      return true;
    }
  if (strcmp (facts.id, options->id) != 0)
    return false;
  if (facts.has_load)
    mq_fleet_told (options->fleet, options->worker, facts.running,
                   facts.waiting, mq_clock_ms ());
  mq_answer_take_head (options->answer_ctx, options->answer, head, &facts,
                       options->send.route->kind == MQ_ROUTE_STREAM);
  return true;
}

static void
on_body (const char *data, size_t len, void *user)
{
  struct mq_try *try = user;
  const struct mq_try_options *options = &try->options;

  mq_silence_heard (try->silence);
  if (!mq_answer_take_body (options->answer_ctx, options->answer, data, len))
    end_broken (try);
  else if (options->answer->stream)
    options->events (options->user);
}

/* The connection is sound, whatever becomes of the request.  */
static void
keep_lane (struct mq_try *try)
{
  const struct mq_answer *answer = try->options.answer;

  tell_fleet (try, mq_answer_outcome (answer));
  mq_pool_give (try->options.pool, try->options.worker, try->lane,
                answer->idle_s);
  try->lane = NULL;
}

static void
on_end (void *user)
{
  struct mq_try *try = user;
  const struct mq_answer *answer = try->options.answer;
  struct mq_attempt_answer facts = {
    .status = answer->status,
    .not_run = answer->not_run,
    .cut = mq_answer_is_cut (answer),
    .stream = answer->stream,
    .begun = try->options.begun,
    .repeatable = try->options.repeatable,
  };

  if (!facts.cut)
    keep_lane (try);
  end_try (try, mq_attempt_judge (&facts), MQ_OUTCOME_FAILED);
}

/* Failure: a worker that goes down and up by turns takes connections while it
   is down and closes them on a request.  Counted as one failure of two, each
   host sends it a second turn each time, and one after the other of a
   program's tries ends there.  A new connection that ends before any byte
   tells as much as one that is refused; on a kept one it may be no more than
   the connection's end.  */
static bool
closed_new (const struct mq_try *try)
{
  return try->options.answer->status == 0 && mq_http_conn_is_new (try->lane);
}

static void
on_failed (enum mq_http_conn_failure failure, void *user)
{
  switch (failure)
    {
    case MQ_HTTP_CONN_UNREACHABLE:
      end_try (user, MQ_ATTEMPT_UNREACHABLE, MQ_OUTCOME_UNREACHABLE);
      return;
    case MQ_HTTP_CONN_LOST:
      end_try (user, MQ_ATTEMPT_BROKEN,
               closed_new (user) ? MQ_OUTCOME_UNREACHABLE : MQ_OUTCOME_FAILED);
      return;
    case MQ_HTTP_CONN_BAD_RESPONSE:
      end_broken (user);
      return;
    }
}

static void
watch_worker (struct mq_try *try)
{
  struct mq_silence_options options = {
    .fleet = try->options.fleet,
    .worker = try->options.worker,
    .route = try->options.send.route,
    .begun = try->options.begun,
    .patience_ms = try->options.send.left_ms,
    .watched = try->options.watched,
    .gone = on_silent,
    .user = try,
  };

  try->silence = mq_silence_create (try, try->options.ev, &options);
}

static void
send_message (struct mq_try *try)
{
  const struct mq_try_options *options = &try->options;
  struct mq_http_conn_callbacks events = { .head = on_head,
                                           .body = on_body,
                                           .end = on_end,
                                           .failed = on_failed,
                                           .user = try };
  struct mq_buffer out = { NULL, 0, 0, 0 };

  mq_send_head (try, &options->send, &out);
  mq_http_conn_send (try->lane, &events, out.data + out.at, out.len,
                     options->body.data, options->body.len,
                     strcmp (options->send.head->method, "HEAD") == 0);
  mq_buffer_clear (&out);
}

struct mq_try *
mq_try_begin (TALLOC_CTX *ctx, const struct mq_try_options *options)
{
  struct mq_try *try = mq_must (talloc_zero (ctx, struct mq_try));
  struct mq_error error = { .type = MQ_ERR_NONE };

  try->options = *options;
  mq_fleet_started (options->fleet, options->worker);
  try->lane = mq_pool_take (options->pool, options->worker, &error);
  if (try->lane == NULL)
    {
      tell_fleet (try, MQ_OUTCOME_UNREACHABLE);
      talloc_free (try);
      return NULL;
    }
  watch_worker (try);
  send_message (try);
  return try;
}

bool
mq_try_sent (const struct mq_try *try)
{
  return mq_http_conn_has_sent (try->lane);
}

void
mq_try_begun (struct mq_try *try)
{
  try->options.begun = true;
  mq_silence_begun (try->silence);
}

void
mq_try_read (struct mq_try *try, bool on)
{
  mq_http_conn_set_reading (try->lane, on);
}

uint64_t
mq_try_silent_ms (const struct mq_try *try)
{
  return mq_silence_ms (try->silence);
}
