/* test_front.c - a caller's request while owners die, move and contradict
   each other.

   Each case is a script: what happens, and all that the front does about it,
   written as words.  "send N" and "close N" go to peer N (0: the owner in
   this process), the rest is what the caller hears.
   Needs: criterion, front.h.  */

#include "core/owner/front.h"
#include "core/limits.h"
#include <criterion/criterion.h>
#include <string.h>

enum
{
  MS = 1000,
  STEPS_MAX = 16,
  HANDLE = 77,
  DEADLINE_MS = 60000,
  TOKENS = 16
};

#define TOKEN_NUMBER(call, index) ((call) << TOKENS | ((index) + 1))
#define STEP_NUMBER(call) ((call) << TOKENS | 0xffff)

enum what
{
  END,
  ASK,      /* the caller's request comes in */
  MAP,      /* the owners' map shows TEXT, or nothing for NULL */
  UP,       /* peer A is connected at address TEXT */
  DOWN,     /* peer A is gone */
  WAIT,     /* A milliseconds pass */
  GONE,     /* the caller leaves */
  ACCEPTED, /* events of peer A */
  TOKEN,    /* of call B, index C */
  STEP,     /* of call B */
  RESET,    /* of call B */
  FINAL,
  MOVED,    /* refused: not ready, not run; TEXT is the hint */
  NOT_HERE, /* refused: error B, not run */
  IN_DOUBT  /* refused: error B, unknown */
};

struct step
{
  enum what what;
  uint32_t a;
  uint32_t b;
  uint32_t c;
  const char *text;
  const char *expect;
};

/* The owner is at peer 1, and has the request.  */
#define ONE_HOST                                                              \
  { .what = MAP, .text = "a" }, { .what = UP, .a = 1, .text = "a" },          \
  {                                                                           \
    .what = ASK, .expect = "send 1"                                           \
  }
/* Another entry host is connected as peer 2.  */
#define TWO_HOSTS { .what = UP, .a = 2, .text = "b" }, ONE_HOST
/* The owner dies; peer 2 takes over and gets the request.  */
#define TAKEOVER                                                              \
  { .what = DOWN, .a = 1 }, { .what = MAP, .text = "b" },                     \
  {                                                                           \
    .what = WAIT, .a = 100, .expect = "send 2"                                \
  }

static const struct
{
  const char *story;
  struct step steps[STEPS_MAX];
} cases[] = {
  { "The owner is this process.",
    { { .what = MAP, .text = "" },
      { .what = ASK, .expect = "send 0" },
      { .what = ACCEPTED, .a = 0, .expect = "accepted" },
      { .what = TOKEN, .a = 0, .b = 1, .c = 0, .expect = "token 1.0" },
      { .what = TOKEN, .a = 0, .b = 1, .c = 1, .expect = "token 1.1" },
      { .what = STEP, .a = 0, .b = 1, .expect = "step 1" },
      { .what = FINAL, .a = 0, .expect = "final" },
      { .what = WAIT, .a = DEADLINE_MS } } },
  { "No owner is known when the caller asks; one is found a moment later.  "
    "The caller waits and is not refused.",
    { { .what = UP, .a = 1, .text = "a" },
      { .what = ASK },
      { .what = WAIT, .a = 300 },
      { .what = MAP, .text = "a" },
      { .what = WAIT, .a = 2000, .expect = "send 1" },
      { .what = FINAL, .a = 1, .expect = "final" } } },
  { "No owner is ever known: at the deadline the caller learns that nothing "
    "was run.",
    { { .what = ASK },
      { .what = WAIT, .a = 30000 },
      { .what = WAIT, .a = 30000, .expect = "refused not_ready not_run" } } },
  { "The owner's host is not connected yet; its connection wakes the "
    "request.",
    { { .what = MAP, .text = "a" },
      { .what = ASK },
      { .what = UP, .a = 1, .text = "a" },
      { .what = WAIT, .a = 10, .expect = "send 1" } } },
  { "The owner takes the request and is never heard of again, connection and "
    "all alive: at the deadline nobody can say whether it ran.",
    { ONE_HOST,
      { .what = WAIT,
        .a = DEADLINE_MS,
        .expect = "close 1 refused timeout unknown" } } },
  { "The owner dies before it has accepted: the request goes to the next.",
    { TWO_HOSTS,
      { .what = DOWN, .a = 1 },
      { .what = WAIT, .a = 500 },
      { .what = MAP, .text = "b" },
      { .what = WAIT, .a = 2000, .expect = "send 2" },
      { .what = ACCEPTED, .a = 2, .expect = "accepted" },
      { .what = FINAL, .a = 2, .expect = "final" } } },
  { "The owner dies after it has accepted: the caller hears that once.",
    { TWO_HOSTS,
      { .what = ACCEPTED, .a = 1, .expect = "accepted" },
      TAKEOVER,
      { .what = ACCEPTED, .a = 2 },
      { .what = FINAL, .a = 2, .expect = "final" } } },
  { "The owner dies in the middle of an answer, and the next one runs that "
    "call again from its first word: what the caller has is void.",
    { TWO_HOSTS,
      { .what = TOKEN, .a = 1, .b = 1, .c = 0, .expect = "token 1.0" },
      { .what = TOKEN, .a = 1, .b = 1, .c = 1, .expect = "token 1.1" },
      TAKEOVER,
      { .what = TOKEN, .a = 2, .b = 1, .c = 0, .expect = "reset 1 token 1.0" },
      { .what = TOKEN, .a = 2, .b = 1, .c = 1, .expect = "token 1.1" },
      { .what = STEP, .a = 2, .b = 1, .expect = "step 1" },
      { .what = FINAL, .a = 2, .expect = "final" } } },
  { "The owner dies in the middle of an answer, and the next one takes up "
    "the running stream at a later token.  The words between are lost: none "
    "of that call's text is shown until it ends.",
    { TWO_HOSTS,
      { .what = TOKEN, .a = 1, .b = 1, .c = 0, .expect = "token 1.0" },
      TAKEOVER,
      { .what = TOKEN, .a = 2, .b = 1, .c = 1, .expect = "reset 1" },
      { .what = TOKEN, .a = 2, .b = 1, .c = 2 },
      { .what = STEP, .a = 2, .b = 1, .expect = "step 1" },
      { .what = TOKEN, .a = 2, .b = 2, .c = 0, .expect = "token 2.0" },
      { .what = FINAL, .a = 2, .expect = "final" } } },
  { "The owner dies in the middle of an answer; the call's outcome was kept, "
    "and the next owner tells its end without any token.",
    { TWO_HOSTS,
      { .what = TOKEN, .a = 1, .b = 1, .c = 0, .expect = "token 1.0" },
      TAKEOVER,
      { .what = STEP, .a = 2, .b = 1, .expect = "reset 1 step 1" },
      { .what = FINAL, .a = 2, .expect = "final" } } },
  { "The caller comes in the middle of a call.",
    { { .what = MAP, .text = "" },
      { .what = ASK, .expect = "send 0" },
      { .what = TOKEN, .a = 0, .b = 1, .c = 5 },
      { .what = TOKEN, .a = 0, .b = 1, .c = 6 },
      { .what = STEP, .a = 0, .b = 1, .expect = "step 1" },
      { .what = TOKEN, .a = 0, .b = 2, .c = 0, .expect = "token 2.0" },
      { .what = TOKEN, .a = 0, .b = 2, .c = 1, .expect = "token 2.1" },
      { .what = FINAL, .a = 0, .expect = "final" } } },
  { "The next owner tells a finished step again: the caller has it.",
    { TWO_HOSTS,
      { .what = TOKEN, .a = 1, .b = 1, .c = 0, .expect = "token 1.0" },
      { .what = STEP, .a = 1, .b = 1, .expect = "step 1" },
      TAKEOVER,
      { .what = TOKEN, .a = 2, .b = 1, .c = 0 },
      { .what = STEP, .a = 2, .b = 1 },
      { .what = TOKEN, .a = 2, .b = 2, .c = 0, .expect = "token 2.0" },
      { .what = FINAL, .a = 2, .expect = "final" } } },
  { "The owner itself begins a call again.",
    { { .what = MAP, .text = "" },
      { .what = ASK, .expect = "send 0" },
      { .what = TOKEN, .a = 0, .b = 3, .c = 0, .expect = "token 3.0" },
      { .what = TOKEN, .a = 0, .b = 3, .c = 1, .expect = "token 3.1" },
      { .what = RESET, .a = 0, .b = 3, .expect = "reset 3" },
      { .what = RESET, .a = 0, .b = 3 },
      { .what = TOKEN, .a = 0, .b = 3, .c = 0, .expect = "token 3.0" },
      { .what = FINAL, .a = 0, .expect = "final" } } },
  { "The guess was wrong; the refusal names the owner.  The map is behind, "
    "and does not draw the request back.",
    { TWO_HOSTS,
      { .what = MOVED, .a = 1, .text = "b" },
      { .what = WAIT, .a = 20, .expect = "send 2" },
      { .what = WAIT, .a = 5000 },
      { .what = FINAL, .a = 2, .expect = "final" } } },
  { "The hint leads to a host that is not connected: the map is asked.",
    { ONE_HOST,
      { .what = MOVED, .a = 1, .text = "z" },
      { .what = WAIT, .a = 20, .expect = "send 1" },
      { .what = FINAL, .a = 1, .expect = "final" } } },
  { "An owner was paused while its partition went to another host.  It wakes "
    "and answers: none of its words reach the caller.",
    { TWO_HOSTS,
      { .what = TOKEN, .a = 1, .b = 1, .c = 0, .expect = "token 1.0" },
      { .what = MAP, .text = "b" },
      { .what = WAIT, .a = 1000, .expect = "close 1 send 2" },
      { .what = TOKEN, .a = 1, .b = 1, .c = 1 },
      { .what = FINAL, .a = 1 },
      { .what = NOT_HERE, .a = 1, .b = MQ_ERR_STALE_FENCE },
      { .what = TOKEN, .a = 2, .b = 1, .c = 0, .expect = "reset 1 token 1.0" },
      { .what = FINAL, .a = 2, .expect = "final" },
      { .what = FINAL, .a = 2 } } },
  { "The owner is leaving: another one takes the request.",
    { ONE_HOST,
      { .what = ACCEPTED, .a = 1, .expect = "accepted" },
      { .what = NOT_HERE, .a = 1, .b = MQ_ERR_LEAVING },
      { .what = MAP, .text = "" },
      { .what = WAIT, .a = 100, .expect = "send 0" },
      { .what = FINAL, .a = 0, .expect = "final" } } },
  { "A refusal that no other owner can mend reaches the caller as it is.",
    { { .what = MAP, .text = "" },
      { .what = ASK, .expect = "send 0" },
      { .what = NOT_HERE,
        .a = 0,
        .b = MQ_ERR_OVERLOADED,
        .expect = "refused overloaded not_run" },
      { .what = WAIT, .a = DEADLINE_MS } } },
  { "The owner can't say whether the work ran: it is not sent again.",
    { { .what = MAP, .text = "" },
      { .what = ASK, .expect = "send 0" },
      { .what = IN_DOUBT,
        .a = 0,
        .b = MQ_ERR_NOT_READY,
        .expect = "refused not_ready unknown" },
      { .what = WAIT, .a = DEADLINE_MS } } },
  { "The caller leaves: the owner is told, and late events find nobody.",
    { ONE_HOST,
      { .what = GONE, .expect = "close 1" },
      { .what = FINAL, .a = 1 },
      { .what = WAIT, .a = DEADLINE_MS } } },
  { "A new connection to the owner stands beside one that is not yet known "
    "to be dead.",
    { { .what = MAP, .text = "a" },
      { .what = UP, .a = 1, .text = "a" },
      { .what = UP, .a = 5, .text = "a" },
      { .what = ASK, .expect = "send 5" },
      { .what = DOWN, .a = 1 },
      { .what = FINAL, .a = 5, .expect = "final" } } },
  { "The connection to the owner is replaced by a new one.",
    { ONE_HOST,
      { .what = UP, .a = 5, .text = "a" },
      { .what = DOWN, .a = 1 },
      { .what = WAIT, .a = 100, .expect = "send 5" },
      { .what = FINAL, .a = 1 },
      { .what = FINAL, .a = 5, .expect = "final" } } },
};

struct bench
{
  TALLOC_CTX *ctx;
  struct mq_front *front;
  const char *map;
  uint64_t now_us;
  struct mq_request_msg request;
};

static const char *
look_up (const void *data, uint32_t partition)
{
  const struct bench *bench = data;

  (void)partition;
  return bench->map;
}

static void
add_event (char **words, const struct mq_event_msg *event)
{
  uint32_t index = (event->number & 0xffff) - 1;

  switch (event->type)
    {
    case MQ_EVENT_ACCEPTED:
      *words = talloc_asprintf_append (*words, " accepted");
      break;
    case MQ_EVENT_TOKEN:
      *words = talloc_asprintf_append (*words, " token %u.%u", event->call,
                                       index);
      break;
    case MQ_EVENT_STEP:
      *words = talloc_asprintf_append (*words, " step %u", event->call);
      break;
    case MQ_EVENT_RESET:
      *words = talloc_asprintf_append (*words, " reset %u", event->call);
      break;
    case MQ_EVENT_FINAL:
      *words = talloc_asprintf_append (*words, " final");
      break;
    case MQ_EVENT_REFUSED:
      *words = talloc_asprintf_append (*words, " refused %s %s",
                                       mq_error_name (event->error),
                                       mq_ran_name (event->ran));
      break;
    }
}

/* A request that is sent again must be the same: a turn or step that went
   out under another key would run twice.  */
static void
check_request (const struct bench *bench, const struct mq_request_msg *sent)
{
  cr_assert_eq (sent->type, bench->request.type);
  cr_assert_str_eq (sent->key, bench->request.key);
  cr_assert_eq (sent->sequence, bench->request.sequence);
  cr_assert_str_eq (sent->body, bench->request.body);
}

static char *
words_of (const struct bench *bench, const struct mq_actions *actions)
{
  char *words = talloc_strdup (bench->ctx, "");

  for (size_t i = 0; i < actions->count; i++)
    {
      const struct mq_action *action = &actions->items[i];
      bool close = action->u.message.type == MQ_MSG_FORWARD_CLOSE;

      if (action->type == MQ_ACT_EVENT)
        {
          cr_assert_eq (action->u.event.handle, HANDLE);
          add_event (&words, &action->u.event);
          continue;
        }
      cr_assert_eq (action->type, MQ_ACT_SEND);
      if (!close)
        check_request (bench, &action->u.message.u.forward.request);
      words = talloc_asprintf_append (words, " %s %u",
                                      close ? "close" : "send", action->peer);
    }
  return words[0] == ' ' ? words + 1 : words;
}

static void
fill_event (const struct step *step, struct mq_event_msg *event)
{
  event->handle = HANDLE;
  event->call = step->b;
  event->body = "";
  event->redirect = step->text == NULL ? "" : step->text;
  switch (step->what)
    {
    case ACCEPTED:
      event->type = MQ_EVENT_ACCEPTED;
      break;
    case TOKEN:
      event->type = MQ_EVENT_TOKEN;
      event->number = TOKEN_NUMBER (step->b, step->c);
      break;
    case STEP:
      event->type = MQ_EVENT_STEP;
      event->number = STEP_NUMBER (step->b);
      break;
    case RESET:
      event->type = MQ_EVENT_RESET;
      event->number = step->b << TOKENS;
      break;
    case FINAL:
      event->type = MQ_EVENT_FINAL;
      event->number = 9U << TOKENS;
      break;
    default:
      event->type = MQ_EVENT_REFUSED;
      event->error = (enum mq_error_type)step->b;
      event->ran = step->what == IN_DOUBT ? MQ_RAN_UNKNOWN : MQ_RAN_NOT_RUN;
      if (step->what == MOVED)
        event->error = MQ_ERR_NOT_READY;
      break;
    }
}

/* Time passes with a tick whenever one is due, as in the daemon.  */
static void
pass_time (struct bench *bench, uint32_t ms, struct mq_actions *actions)
{
  struct mq_front_input input = { .type = MQ_FRONT_TICK };
  uint64_t end_us = bench->now_us + (uint64_t)ms * MS;

  while (mq_front_next_tick (bench->front) <= end_us)
    {
      uint64_t due_us = mq_front_next_tick (bench->front);

      cr_assert_geq (due_us, bench->now_us, "a tick in the past");
      bench->now_us = due_us;
      input.now_us = due_us;
      mq_front_handle (bench->front, &input, actions);
    }
  bench->now_us = end_us;
}

static void
take_step (struct bench *bench, const struct step *step,
           struct mq_actions *actions)
{
  struct mq_front_input input = { .now_us = bench->now_us, .peer = step->a };
  struct mq_event_msg event = { 0 };

  input.handle = HANDLE;
  switch (step->what)
    {
    case MAP:
      bench->map = step->text;
      return;
    case WAIT:
      pass_time (bench, step->a, actions);
      return;
    case ASK:
      input.type = MQ_FRONT_REQUEST;
      input.deadline_us = bench->now_us + (uint64_t)DEADLINE_MS * MS;
      input.u.request = &bench->request;
      break;
    case UP:
      input.type = MQ_FRONT_PEER_UP;
      input.u.address = step->text;
      break;
    case DOWN:
      input.type = MQ_FRONT_PEER_DOWN;
      break;
    case GONE:
      input.type = MQ_FRONT_CALLER_GONE;
      break;
    default:
      fill_event (step, &event);
      input.type = MQ_FRONT_EVENT;
      input.u.event = &event;
      break;
    }
  mq_front_handle (bench->front, &input, actions);
}

static struct bench *
bench_create (uint64_t seed)
{
  struct bench *bench = talloc_zero (NULL, struct bench);
  struct mq_front_lookup lookup = { look_up, bench };

  bench->ctx = bench;
  bench->now_us = 1000ULL * MS;
  bench->front = mq_front_create (bench, &lookup, seed);
  bench->request.type = MQ_REQUEST_TURN;
  bench->request.key = "key-of-this-turn";
  bench->request.body = "{\"input\":\"what next?\"}";
  return bench;
}

Test (front, scripts)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    for (uint64_t seed = 1; seed <= 20; seed++)
      {
        struct bench *bench = bench_create (seed);
        struct mq_actions *actions = mq_actions_create (bench);

        for (size_t j = 0; j < STEPS_MAX; j++)
          {
            const struct step *step = &cases[i].steps[j];
            const char *expect = step->expect == NULL ? "" : step->expect;

            if (step->what == END)
              break;
            mq_actions_clear (actions);
            take_step (bench, step, actions);
            cr_assert_str_eq (words_of (bench, actions), expect,
                              "%s (seed %lu, step %zu)", cases[i].story,
                              (unsigned long)seed, j);
          }
        talloc_free (bench);
      }
}

/* Two hosts each hold that the other one owns the partition, as after a map
   that was read in the middle of a change.  The request goes to and fro; the
   pauses grow, so that a minute of it costs some dozens of messages, and it
   ends at the deadline with an honest answer.  */
Test (front, redirect_loop)
{
  struct bench *bench = bench_create (3);
  struct mq_actions *actions = mq_actions_create (bench);
  struct step up[] = { { .what = UP, .a = 1, .text = "a" },
                       { .what = UP, .a = 2, .text = "b" } };
  struct step ask = { .what = ASK };
  struct step wait = { .what = WAIT, .a = 1 };
  size_t sends = 0;
  char *words = talloc_strdup (bench, "");

  bench->map = "a";
  take_step (bench, &up[0], actions);
  take_step (bench, &up[1], actions);
  take_step (bench, &ask, actions);
  for (uint32_t ms = 0; ms <= DEADLINE_MS; ms++)
    {
      struct mq_actions *now = mq_actions_create (bench);

      take_step (bench, &wait, now);
      words = words_of (bench, now);
      for (size_t i = 0; i < actions->count; i++)
        if (actions->items[i].type == MQ_ACT_SEND)
          {
            uint32_t peer = actions->items[i].peer;
            struct step moved
                = { .what = MOVED, .a = peer, .text = peer == 1 ? "b" : "a" };

            sends++;
            take_step (bench, &moved, now);
          }
      talloc_free (actions);
      actions = now;
      if (mq_front_count (bench->front) == 0)
        break;
    }
  cr_expect_str_eq (words, "refused timeout unknown");
  cr_expect_gt (sends, 30, "it gave up early");
  cr_expect_lt (sends, 200, "the pauses do not grow");
  talloc_free (bench);
}

/* More callers than the host may keep: the one too many is refused at once,
   and the others are not harmed.  */
Test (front, bounded)
{
  struct bench *bench = bench_create (1);
  struct mq_actions *actions = mq_actions_create (bench);
  struct mq_front_input input = { .type = MQ_FRONT_REQUEST };
  const struct mq_action *last;

  input.u.request = &bench->request;
  for (uint32_t i = 0; i <= MQ_FRONT_REQUESTS_MAX; i++)
    {
      input.handle = i + 1;
      mq_front_handle (bench->front, &input, actions);
    }
  cr_assert_eq (actions->count, 1);
  last = &actions->items[0];
  cr_expect_eq (last->u.event.handle, MQ_FRONT_REQUESTS_MAX + 1);
  cr_expect_eq (last->u.event.error, MQ_ERR_OVERLOADED);
  cr_expect_eq (last->u.event.ran, MQ_RAN_NOT_RUN);
  cr_expect_eq (mq_front_count (bench->front), MQ_FRONT_REQUESTS_MAX);
  talloc_free (bench);
}
