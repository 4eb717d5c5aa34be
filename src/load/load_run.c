/* load_run.c - runs a workload against a site.

   Needs: load_run.h, load_response.h, http_client.h.  */

#include "load_run.h"
#include "core/id.h"
#include "net/http_client.h"
#include "load_response.h"
#include "net/clock.h"
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  SAMPLE_MS = 250, /* interval between samples of the engines' cache */
  STATUS_OK = 200
};

#define US_PER_SECOND 1e6
#define US_PER_MS 1000ULL

struct run
{
  const struct mq_load_run_options *options;
  struct mq_load_result *result;
  struct tevent_context *ev;
  struct mq_http_client *client;
  struct mq_load_plan *plan;
  struct mq_load_session *next; /* not yet opened */
  uint64_t random;
  uint64_t origin_us;
  uint64_t letters_opened;
  uint64_t batch_end_us;
  size_t active_callers;
  bool timed_out;
};

/**
 * struct caller - an active session
 * @turn: index of the current turn
 * @due_us: planned time of the request, wall time
 * @program: program id; empty before the first answer
 * @answer: text of the last answer
 * @batch: the session is a batch letter
 */
struct caller
{
  struct run *run;
  struct mq_load_session *session;
  uint32_t turn;
  uint64_t due_us;
  char program[MQ_ID_TEXT];
  char *answer;
  bool batch;
};

/* One sample of the engines' cache.  */
struct cache_sample
{
  struct run *run;
  double at_s;
  uint64_t used;
  uint64_t total;
  size_t outstanding;
};

static void *
check_alloc (void *memory)
{
  if (memory == NULL)
    abort ();
  return memory;
}

static uint64_t
wall_us (const struct run *run, double model_us)
{
  return (uint64_t)(model_us * run->options->time_scale);
}

static uint64_t
model_us (const struct run *run, uint64_t wall)
{
  return (uint64_t)((double)wall / run->options->time_scale);
}

static void
call_at (struct run *run, TALLOC_CTX *ctx, uint64_t at_us,
         tevent_timer_handler_t handler, void *data)
{
  uint64_t now = mq_clock_us ();
  uint64_t wait = at_us > now ? at_us - now : 0;

  check_alloc (tevent_add_timer (
      run->ev, ctx,
      tevent_timeval_current_ofs ((uint32_t)(wait / 1000000),
                                  (uint32_t)(wait % 1000000)),
      handler, data));
}

/* Requests.  */

static void
send_request (struct caller *caller, const char *method, const char *path,
              const char *body, const char *key, mq_http_done *done)
{
  struct run *run = caller->run;
  const struct mq_load_site *site = run->options->site;
  uint32_t entry = mq_random_below (&run->random, (uint32_t)site->entry_count);
  TALLOC_CTX *ctx = check_alloc (talloc_new (NULL));
  const char *headers[3] = { NULL };
  struct mq_http_send send = { .method = method, .headers = headers };

  headers[0] = check_alloc (
      talloc_asprintf (ctx, "Authorization: Bearer %s", caller->session->key));
  if (key != NULL)
    headers[1]
        = check_alloc (talloc_asprintf (ctx, "Idempotency-Key: %s", key));
  send.url = check_alloc (
      talloc_asprintf (ctx, "http://%s%s", site->entries[entry], path));
  send.body = body;
  send.len = body == NULL ? 0 : strlen (body);
  send.done = done;
  send.user = caller;
  check_alloc (mq_http_client_send (run->client, &send));
  talloc_free (ctx);
}

static void send_turn (struct caller *caller);
static void open_letters (struct run *run);

static void
end_caller (struct caller *caller)
{
  struct run *run = caller->run;
  bool batch = caller->batch;

  run->active_callers--;
  talloc_free (caller);
  if (batch)
    {
      run->batch_end_us = mq_clock_us ();
      open_letters (run);
    }
}

static void
on_program_closed (const struct mq_http_result *http, void *user)
{
  (void)http;
  end_caller (user);
}

/* Closes a program that is kept open for further turns.  */
static void
close_program (struct caller *caller)
{
  char *path;

  if (!caller->session->keep_open || caller->program[0] == '\0')
    {
      end_caller (caller);
      return;
    }
  path = check_alloc (
      talloc_asprintf (caller, "/v1/programs/%s", caller->program));
  send_request (caller, "DELETE", path, NULL, NULL, on_program_closed);
}

static void
on_history (const struct mq_http_result *http, void *user)
{
  struct caller *caller = user;
  struct mq_load_result *result = caller->run->result;
  json_t *history;

  if (http->error == MQ_ERR_NONE && http->status == STATUS_OK)
    {
      history = json_loads (http->body, 0, NULL);
      result->violations[mq_load_check_history (history, caller->answer)]++;
      json_decref (history);
    }
  close_program (caller);
}

static bool
is_sampled (const struct caller *caller)
{
  uint32_t every = caller->run->options->check_every;

  return every != 0 && caller->session->number % every == 0
         && caller->answer != NULL;
}

static void
finish (struct caller *caller)
{
  char *path;

  if (!is_sampled (caller))
    {
      close_program (caller);
      return;
    }
  path = check_alloc (
      talloc_asprintf (caller, "/v1/programs/%s/history", caller->program));
  send_request (caller, "GET", path, NULL, NULL, on_history);
}

/* Responses.  */

static void
count_answer (struct caller *caller)
{
  struct run *run = caller->run;
  const struct mq_load_turn *turn = &caller->session->turns[caller->turn];
  uint64_t latency_us = model_us (run, mq_clock_us () - caller->due_us);

  mq_histogram_add (&run->result->latency[turn->kind], latency_us);
  if (turn->kind != MQ_LOAD_BATCH && turn->kind != MQ_LOAD_ENDLESS)
    mq_histogram_add (&run->result->all, latency_us);
  if (turn->due_us > 0 && latency_us > turn->due_us)
    run->result->late++;
  if (caller->batch)
    run->result->batch_letters++;
}

static void
count_refusal (struct run *run, const struct mq_load_response *answer)
{
  if (answer->ran == MQ_RAN_NOT_RUN)
    run->result->refused[answer->error]++;
  else
    run->result->failed[answer->error]++;
}

/* All responses to a caller must come from the same program.  */
static void
check_program (struct caller *caller, struct mq_load_response *answer)
{
  if (caller->program[0] == '\0')
    {
      struct mq_id id;

      if (mq_id_parse (answer->program, &id))
        mq_id_format (id, caller->program);
      else if (answer->violation == MQ_LOAD_CORRECT)
        answer->violation = MQ_LOAD_MALFORMED;
    }
  else if (answer->violation == MQ_LOAD_CORRECT
           && strcmp (caller->program, answer->program) != 0)
    answer->violation = MQ_LOAD_WRONG_PROGRAM;
}

static void
on_turn_due (struct tevent_context *ev, struct tevent_timer *timer,
             struct timeval now, void *data)
{
  (void)ev;
  (void)timer;
  (void)now;
  send_turn (data);
}

static uint64_t
window_end_us (const struct run *run)
{
  return run->origin_us + (uint64_t)(run->options->seconds * US_PER_SECOND);
}

/* Skips turns due after the measurement window, when the load declines.  */
static void
next_turn (struct caller *caller)
{
  const struct mq_load_session *session = caller->session;
  struct run *run = caller->run;

  caller->turn++;
  caller->due_us = mq_clock_us ();
  if (caller->turn < session->turn_count)
    caller->due_us
        += wall_us (run, (double)session->turns[caller->turn].pause_us);
  if (caller->turn == session->turn_count
      || caller->due_us >= window_end_us (run))
    finish (caller);
  else
    call_at (run, caller, caller->due_us, on_turn_due, caller);
}

static void
on_response (const struct mq_http_result *http, void *user)
{
  struct caller *caller = user;
  struct run *run = caller->run;
  const struct mq_load_turn *turn = &caller->session->turns[caller->turn];
  struct mq_load_response *answer;

  if (http->error != MQ_ERR_NONE)
    {
      run->result->failed[http->error]++;
      finish (caller);
      return;
    }
  answer = mq_load_response_parse (caller, http->status, http->body,
                                   turn->stream, turn->messages);
  run->result->resets += answer->resets;
  run->result->cut += answer->cut;
  if (answer->error != MQ_ERR_NONE)
    {
      run->result->violations[answer->violation]++;
      count_refusal (run, answer);
      close_program (caller);
      return;
    }
  check_program (caller, answer);
  run->result->violations[answer->violation]++;
  count_answer (caller);
  talloc_free (caller->answer);
  caller->answer = talloc_steal (caller, answer->text);
  talloc_free (answer);
  next_turn (caller);
}

/* Turns.  */

static char *
dump (TALLOC_CTX *ctx, json_t *json)
{
  char *text = check_alloc (json_dumps (json, JSON_COMPACT));
  char *copy = check_alloc (talloc_strdup (ctx, text));

  free (text);
  json_decref (json);
  return copy;
}

static json_t *
write_body (const struct caller *caller)
{
  const struct mq_load_session *session = caller->session;
  const struct mq_load_turn *turn = &session->turns[caller->turn];

  if (caller->turn == 0)
    return json_pack ("{s:s, s:s, s:b, s:b}", "service", session->service,
                      "input", turn->input, "keep_open",
                      (int)session->keep_open, "stream", (int)turn->stream);
  return json_pack ("{s:s, s:b}", "input", turn->input, "stream",
                    (int)turn->stream);
}

static void
send_turn (struct caller *caller)
{
  TALLOC_CTX *ctx = check_alloc (talloc_new (NULL));
  char *path = check_alloc (talloc_strdup (ctx, "/v1/programs"));
  char *body = dump (ctx, write_body (caller));
  char *key = check_alloc (talloc_asprintf (
      ctx, "%s-%s%llu-%u", caller->run->options->tag,
      caller->batch ? "letter" : "",
      (unsigned long long)caller->session->number, caller->turn));

  if (caller->turn > 0)
    path = check_alloc (
        talloc_asprintf (ctx, "/v1/programs/%s/turns", caller->program));
  send_request (caller, "POST", path, body, key, on_response);
  talloc_free (ctx);
}

static struct caller *
open_session (struct run *run, struct mq_load_session *session,
              uint64_t due_us)
{
  struct caller *caller = check_alloc (talloc_zero (run, struct caller));

  caller->run = run;
  caller->session = talloc_steal (caller, session);
  caller->due_us = due_us;
  run->active_callers++;
  return caller;
}

static void
open_letters (struct run *run)
{
  const struct mq_load_run_options *options = run->options;

  if (run->timed_out || run->letters_opened == options->letters)
    return;
  run->letters_opened++;
  {
    struct caller *caller = open_session (
        run, mq_load_plan_next_letter (run->plan, run), mq_clock_us ());

    caller->batch = true;
    send_turn (caller);
  }
}

static uint64_t
arrival_us (const struct run *run)
{
  return run->origin_us + wall_us (run, (double)run->next->start_us);
}

static bool
arrivals_ended (const struct run *run)
{
  return (double)wall_us (run, (double)run->next->start_us)
         >= run->options->seconds * US_PER_SECOND;
}

static void
on_arrival (struct tevent_context *ev, struct tevent_timer *timer,
            struct timeval now, void *data)
{
  struct run *run = data;

  (void)ev;
  (void)timer;
  (void)now;
  while (!arrivals_ended (run) && arrival_us (run) <= mq_clock_us ())
    {
      uint64_t due_us = arrival_us (run);
      struct mq_load_session *session = run->next;

      run->next = mq_load_plan_next (run->plan, run);
      send_turn (open_session (run, session, due_us));
    }
  if (!arrivals_ended (run))
    call_at (run, run, arrival_us (run), on_arrival, run);
}

/* Samples of the engines' cache.  */

static void
add_sample (const struct cache_sample *cache_sample)
{
  struct mq_load_result *result = cache_sample->run->result;
  struct mq_load_sample *sample;

  if (result->sample_count == MQ_LOAD_SAMPLES_MAX)
    return;
  sample = &result->samples[result->sample_count++];
  sample->at_s = cache_sample->at_s;
  sample->used_tokens = cache_sample->used;
  sample->total_tokens = cache_sample->total;
}

static void
on_engine_load (const struct mq_http_result *http, void *user)
{
  struct cache_sample *cache_sample = user;
  json_t *json
      = http->error == MQ_ERR_NONE ? json_loads (http->body, 0, NULL) : NULL;

  cache_sample->used
      += (uint64_t)json_integer_value (json_object_get (json, "cache_used"));
  cache_sample->total
      += (uint64_t)json_integer_value (json_object_get (json, "cache_total"));
  json_decref (json);
  if (--cache_sample->outstanding > 0)
    return;
  add_sample (cache_sample);
  talloc_free (cache_sample);
}

static void
take_sample (struct tevent_context *ev, struct tevent_timer *timer,
             struct timeval now, void *data)
{
  struct run *run = data;
  const struct mq_load_site *site = run->options->site;
  struct cache_sample *cache_sample
      = check_alloc (talloc_zero (run, struct cache_sample));

  (void)ev;
  (void)timer;
  (void)now;
  cache_sample->run = run;
  cache_sample->outstanding = site->engine_count;
  cache_sample->at_s = (double)model_us (run, mq_clock_us () - run->origin_us)
                       / US_PER_SECOND;
  for (size_t i = 0; i < site->engine_count; i++)
    {
      char *url = check_alloc (talloc_asprintf (
          cache_sample, "http://%s/v1/load", site->engines[i]));
      struct mq_http_send send = { .method = "GET",
                                   .url = url,
                                   .timeout_ms = SAMPLE_MS * 4,
                                   .done = on_engine_load,
                                   .user = cache_sample };

      check_alloc (mq_http_client_send (run->client, &send));
    }
  call_at (run, run, mq_clock_us () + (uint64_t)SAMPLE_MS * US_PER_MS,
           take_sample, run);
}

/* Runs.  */

static bool
is_complete (const struct run *run)
{
  return run->active_callers == 0 && arrivals_ended (run)
         && run->letters_opened == run->options->letters;
}

/* Counts outstanding requests as timed out.  */
static void
on_drain_timeout (struct tevent_context *ev, struct tevent_timer *timer,
                  struct timeval now, void *data)
{
  struct run *run = data;

  (void)ev;
  (void)timer;
  (void)now;
  run->timed_out = true;
  run->result->failed[MQ_ERR_TIMEOUT]
      += run->active_callers + (run->options->letters - run->letters_opened);
}

static void
start (struct run *run)
{
  const struct mq_load_run_options *options = run->options;
  double total_s = options->seconds + options->drain_seconds;

  run->origin_us = mq_clock_us ();
  run->batch_end_us = run->origin_us;
  run->next = mq_load_plan_next (run->plan, run);
  call_at (run, run, arrival_us (run), on_arrival, run);
  call_at (run, run, run->origin_us + (uint64_t)(total_s * US_PER_SECOND),
           on_drain_timeout, run);
  if (options->site->engine_count > 0)
    call_at (run, run, run->origin_us, take_sample, run);
  for (uint32_t i = 0; i < options->letters_concurrent; i++)
    open_letters (run);
}

bool
mq_load_run (TALLOC_CTX *ctx, const struct mq_load_run_options *options,
             struct mq_load_result *result, struct mq_error *error)
{
  struct run *run = check_alloc (talloc_zero (ctx, struct run));

  run->options = options;
  run->result = result;
  run->random = options->plan.seed ^ 0x5eedULL;
  run->ev = check_alloc (tevent_context_init (run));
  run->plan = mq_load_plan_create (run, &options->plan);
  run->client = mq_http_client_create (run, run->ev, error);
  if (run->client == NULL || options->site->entry_count == 0)
    {
      if (run->client != NULL)
        mq_error_set (error, MQ_ERR_NO_TARGET, "", "an entry host");
      talloc_free (run);
      return false;
    }
  start (run);
  while (!run->timed_out && !is_complete (run))
    if (tevent_loop_once (run->ev) != 0)
      break;
  if (result->batch_letters > 0)
    result->batch_s
        = (double)model_us (run, run->batch_end_us - run->origin_us)
          / US_PER_SECOND;
  mq_http_client_destroy (run->client);
  talloc_free (run);
  return true;
}
