/* router_try.c - one attempt to have a request served by one worker.

   Needs: router_try.h, router_inactivity.h, memory.h, listen.h, clock.h.  */

#include "router_try.h"
#include "core/memory.h"
#include "net/clock.h"
#include "net/listen.h"
#include "router_inactivity.h"
#include <string.h>

/**
 * struct mq_try - a pending attempt
 * @lane: connection to the worker; NULL once returned to the pool
 */
struct mq_try
{
  struct mq_try_options options;
  struct mq_http_conn *lane;
  struct mq_inactivity *inactivity;
};

static void
report_outcome (const struct mq_try *try, enum mq_fleet_outcome outcome)
{
  mq_fleet_request_ended (try->options.fleet, try->options.worker, outcome,
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
      report_outcome (try, outcome);
    }
  talloc_free (try);
}

/* Frees TRY and calls its ended callback.  */
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

static bool
may_move (void *user)
{
  const struct mq_try *try = user;

  return try->options.may_move (try->options.user);
}

static void
on_inactive (void *user)
{
  struct mq_try *try = user;

  try->options.answer->silent = true;
  end_broken (try);
}

/* A response without a request id can't be matched to its request.  One with
   another id is a late response to an earlier request on the connection and is
   skipped.  */
static bool
on_head (const struct mq_http_head *head, void *user)
{
  struct mq_try *try = user;
  const struct mq_try_options *options = &try->options;
  struct mq_response_fields fields;

  mq_wire_read_response_fields (head, &fields);
  /* Another worker at the address says nothing about the intended one.  */
  if (!fields.other_worker)
    mq_inactivity_reset (try->inactivity);
  if (fields.id == NULL)
    {
      end_broken (try);
      return true;
    }
  if (strcmp (fields.id, options->id) != 0)
    return false;
  if (fields.has_load)
    mq_fleet_record_load (options->fleet, options->worker, fields.running,
                          fields.waiting, mq_clock_ms ());
  if (fields.speed > 0)
    mq_fleet_record_speed (options->fleet, options->worker, fields.speed,
                           mq_clock_ms ());
  mq_response_add_head (options->answer_ctx, options->answer, head, &fields,
                        options->send.route->kind == MQ_ROUTE_STREAM);
  return true;
}

static void
on_body (const char *data, size_t len, void *user)
{
  struct mq_try *try = user;
  const struct mq_try_options *options = &try->options;

  mq_inactivity_reset (try->inactivity);
  if (!options->answer->stream
      && !options->may_buffer (options->answer->body.len + len, options->user))
    {
      end_try (try, MQ_ATTEMPT_BROKEN, MQ_OUTCOME_CANCELLED);
      return;
    }
  if (!mq_response_add_body (options->answer_ctx, options->answer, data, len))
    end_broken (try);
  else if (options->answer->stream)
    options->events (options->user);
}

/* The response was complete: the connection can be reused whatever its
   status.  */
static void
return_lane (struct mq_try *try)
{
  const struct mq_response *answer = try->options.answer;

  report_outcome (try, mq_response_outcome (answer));
  mq_pool_release (try->options.pool, try->options.worker, try->lane,
                   answer->idle_s);
  try->lane = NULL;
}

static void
on_end (void *user)
{
  struct mq_try *try = user;
  const struct mq_response *answer = try->options.answer;
  struct mq_attempt_response attempt_answer = {
    .status = answer->status,
    .not_run = answer->not_run,
    .truncated = mq_response_is_truncated (answer),
    .stream = answer->stream,
    .begun = try->options.begun,
    .repeatable = try->options.repeatable,
  };

  if (!attempt_answer.truncated)
    {
      try->options.complete (try->options.user);
      return_lane (try);
    }
  end_try (try, mq_attempt_classify (&attempt_answer), MQ_OUTCOME_FAILED);
}

/* A new connection closed before any byte counts as unreachable, like one that
   is refused; a reused one may have reached its idle timeout.

   Failure: a restarting worker accepts connections and closes them on a
   request.  Counted as an ordinary failure, it would be sent further requests
   before it is ejected.  */
static bool
closed_without_response (const struct mq_try *try)
{
  return try->options.answer->status == 0 && mq_http_conn_is_new (try->lane);
}

static void
on_failed (enum mq_http_conn_failure failure, void *user)
{
  struct mq_try *try = user;

  switch (failure)
    {
    case MQ_HTTP_CONN_UNREACHABLE:
      end_try (try, MQ_ATTEMPT_UNREACHABLE, MQ_OUTCOME_UNREACHABLE);
      return;
    case MQ_HTTP_CONN_LOST:
      try->options.answer->lost = true;
      end_try (try, MQ_ATTEMPT_BROKEN,
               closed_without_response (try) ? MQ_OUTCOME_UNREACHABLE
                                             : MQ_OUTCOME_FAILED);
      return;
    case MQ_HTTP_CONN_BAD_RESPONSE:
      end_broken (try);
      return;
    }
}

static void
start_inactivity_timer (struct mq_try *try)
{
  struct mq_inactivity_options options = {
    .fleet = try->options.fleet,
    .worker = try->options.worker,
    .route = try->options.send.route,
    .begun = try->options.begun,
    .left_ms = try->options.send.left_ms,
    .detect_inactivity = try->options.detect_inactivity,
    .may_move = may_move,
    .timed_out = on_inactive,
    .user = try,
  };

  try->inactivity = mq_inactivity_create (try, try->options.ev, &options);
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
mq_try_begin (TALLOC_CTX *ctx, const struct mq_try_options *options,
              struct mq_error *error)
{
  struct mq_try *try = mq_check_alloc (talloc_zero (ctx, struct mq_try));

  try->options = *options;
  mq_fleet_request_started (options->fleet, options->worker, mq_clock_ms ());
  try->lane = mq_pool_acquire (options->pool, options->worker, error);
  if (try->lane == NULL)
    {
      report_outcome (try, mq_socket_shortage (error->number)
                               ? MQ_OUTCOME_CANCELLED
                               : MQ_OUTCOME_UNREACHABLE);
      talloc_free (try);
      return NULL;
    }
  start_inactivity_timer (try);
  send_message (try);
  return try;
}

bool
mq_try_sent (const struct mq_try *try)
{
  return mq_http_conn_has_sent (try->lane);
}

void
mq_try_response_begun (struct mq_try *try)
{
  try->options.begun = true;
  mq_inactivity_response_begun (try->inactivity);
}

void
mq_try_set_reading (struct mq_try *try, bool on)
{
  mq_http_conn_set_reading (try->lane, on);
}

uint64_t
mq_try_inactive_ms (const struct mq_try *try)
{
  return mq_inactivity_ms (try->inactivity);
}
