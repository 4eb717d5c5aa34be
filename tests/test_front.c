/* test_front.c - forwarding of callers' requests when owners fail, change or
   disagree.

   Each case is a script of inputs with the expected actions as text.  "send N"
   and "close N" are messages to peer N (0: the owner in this process); the
   rest are events to the caller.
   Needs: criterion, front.h.  */

#include "core/owner/front.h"
#include "core/limits.h"
#include <criterion/criterion.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  STEPS_MAX = 16,
  HANDLE = 77,
  DEADLINE_MS = 60000,
  CALL_SHIFT = 16
};

#define TOKEN_NUMBER(call, index) ((call) << CALL_SHIFT | ((index) + 1))
#define STEP_NUMBER(call) ((call) << CALL_SHIFT | 0xffff)

enum step_kind
{
  END,
  REQUEST,     /* a request from the caller */
  LOOKUP,      /* owner's address becomes TEXT, NULL: unknown */
  UP,          /* peer A connects at address TEXT */
  DOWN,        /* peer A is disconnected */
  WAIT,        /* A milliseconds pass */
  CALLER_GONE, /* the caller disconnects */
  STOP,        /* the process ends */
  ACCEPTED,    /* this and the following: events of peer A */
  TOKEN,       /* of call B, index C */
  STEP,        /* of call B */
  RESET,       /* of call B */
  FINAL,
  REDIRECT,       /* refusal: not ready, not run; owner's address TEXT */
  REFUSE_NOT_RUN, /* refusal: error B, not run */
  REFUSE_UNKNOWN  /* refusal: error B, unknown whether run */
};

struct step
{
  enum step_kind kind;
  uint32_t a;
  uint32_t b;
  uint32_t c;
  const char *text;
  const char *expect;
};

/* The owner is peer 1 and has received the request.  */
#define ONE_HOST                                                              \
  { .kind = LOOKUP, .text = "a" }, { .kind = UP, .a = 1, .text = "a" },       \
  {                                                                           \
    .kind = REQUEST, .expect = "send 1"                                       \
  }
/* Another entry host is peer 2.  */
#define TWO_HOSTS { .kind = UP, .a = 2, .text = "b" }, ONE_HOST
/* The owner dies; peer 2 takes over and receives the request.  */
#define TAKEOVER                                                              \
  { .kind = DOWN, .a = 1 }, { .kind = LOOKUP, .text = "b" },                  \
  {                                                                           \
    .kind = WAIT, .a = 100, .expect = "send 2"                                \
  }

static const struct
{
  const char *name;
  struct step steps[STEPS_MAX];
} cases[] = {
  { "owner in this process",
    { { .kind = LOOKUP, .text = "" },
      { .kind = REQUEST, .expect = "send 0" },
      { .kind = ACCEPTED, .a = 0, .expect = "accepted" },
      { .kind = TOKEN, .a = 0, .b = 1, .c = 0, .expect = "token 1.0" },
      { .kind = TOKEN, .a = 0, .b = 1, .c = 1, .expect = "token 1.1" },
      { .kind = STEP, .a = 0, .b = 1, .expect = "step 1" },
      { .kind = FINAL, .a = 0, .expect = "final" },
      { .kind = WAIT, .a = DEADLINE_MS } } },
  { "owner found after the request: the caller waits",
    { { .kind = UP, .a = 1, .text = "a" },
      { .kind = REQUEST },
      { .kind = WAIT, .a = 300 },
      { .kind = LOOKUP, .text = "a" },
      { .kind = WAIT, .a = 2000, .expect = "send 1" },
      { .kind = FINAL, .a = 1, .expect = "final" } } },
  { "owner never found: refused as not run at the deadline",
    { { .kind = REQUEST },
      { .kind = WAIT, .a = 30000 },
      { .kind = WAIT, .a = 30000, .expect = "refused not_ready not_run" } } },
  { "process ends before an owner is found: refused as not run",
    { { .kind = REQUEST },
      { .kind = STOP, .expect = "refused leaving not_run" },
      { .kind = WAIT, .a = DEADLINE_MS } } },
  { "process ends while the owner serves: refused as unknown",
    { ONE_HOST,
      { .kind = ACCEPTED, .a = 1, .expect = "accepted" },
      { .kind = STOP, .expect = "close 1 refused leaving unknown" },
      { .kind = FINAL, .a = 1 } } },
  { "process ends after the owner was lost: refused as unknown",
    { ONE_HOST,
      { .kind = DOWN, .a = 1 },
      { .kind = STOP, .expect = "refused leaving unknown" } } },
  { "owner connects after the request: sent at once",
    { { .kind = LOOKUP, .text = "a" },
      { .kind = REQUEST },
      { .kind = UP, .a = 1, .text = "a" },
      { .kind = WAIT, .a = 10, .expect = "send 1" } } },
  { "owner connected but silent: refused as unknown at the deadline",
    { ONE_HOST,
      { .kind = WAIT,
        .a = DEADLINE_MS,
        .expect = "close 1 refused timeout unknown" } } },
  { "owner dies before ACCEPTED: resent to its successor",
    { TWO_HOSTS,
      { .kind = DOWN, .a = 1 },
      { .kind = WAIT, .a = 500 },
      { .kind = LOOKUP, .text = "b" },
      { .kind = WAIT, .a = 2000, .expect = "send 2" },
      { .kind = ACCEPTED, .a = 2, .expect = "accepted" },
      { .kind = FINAL, .a = 2, .expect = "final" } } },
  { "owner dies after ACCEPTED: the caller gets ACCEPTED once",
    { TWO_HOSTS,
      { .kind = ACCEPTED, .a = 1, .expect = "accepted" },
      TAKEOVER,
      { .kind = ACCEPTED, .a = 2 },
      { .kind = FINAL, .a = 2, .expect = "final" } } },
  { "owner dies during a call, successor repeats it: RESET",
    { TWO_HOSTS,
      { .kind = TOKEN, .a = 1, .b = 1, .c = 0, .expect = "token 1.0" },
      { .kind = TOKEN, .a = 1, .b = 1, .c = 1, .expect = "token 1.1" },
      TAKEOVER,
      { .kind = TOKEN, .a = 2, .b = 1, .c = 0, .expect = "reset 1 token 1.0" },
      { .kind = TOKEN, .a = 2, .b = 1, .c = 1, .expect = "token 1.1" },
      { .kind = STEP, .a = 2, .b = 1, .expect = "step 1" },
      { .kind = FINAL, .a = 2, .expect = "final" } } },
  { "owner dies during a call, successor resumes at a later token: RESET, "
    "no tokens after the gap",
    { TWO_HOSTS,
      { .kind = TOKEN, .a = 1, .b = 1, .c = 0, .expect = "token 1.0" },
      TAKEOVER,
      { .kind = TOKEN, .a = 2, .b = 1, .c = 1, .expect = "reset 1" },
      { .kind = TOKEN, .a = 2, .b = 1, .c = 2 },
      { .kind = STEP, .a = 2, .b = 1, .expect = "step 1" },
      { .kind = TOKEN, .a = 2, .b = 2, .c = 0, .expect = "token 2.0" },
      { .kind = FINAL, .a = 2, .expect = "final" } } },
  { "owner dies during a call, successor sends STEP without tokens: RESET",
    { TWO_HOSTS,
      { .kind = TOKEN, .a = 1, .b = 1, .c = 0, .expect = "token 1.0" },
      TAKEOVER,
      { .kind = STEP, .a = 2, .b = 1, .expect = "reset 1 step 1" },
      { .kind = FINAL, .a = 2, .expect = "final" } } },
  { "caller attaches during a call: no tokens until the next call",
    { { .kind = LOOKUP, .text = "" },
      { .kind = REQUEST, .expect = "send 0" },
      { .kind = TOKEN, .a = 0, .b = 1, .c = 5 },
      { .kind = TOKEN, .a = 0, .b = 1, .c = 6 },
      { .kind = STEP, .a = 0, .b = 1, .expect = "step 1" },
      { .kind = TOKEN, .a = 0, .b = 2, .c = 0, .expect = "token 2.0" },
      { .kind = TOKEN, .a = 0, .b = 2, .c = 1, .expect = "token 2.1" },
      { .kind = FINAL, .a = 0, .expect = "final" } } },
  { "successor repeats a finished step: duplicates dropped",
    { TWO_HOSTS,
      { .kind = TOKEN, .a = 1, .b = 1, .c = 0, .expect = "token 1.0" },
      { .kind = STEP, .a = 1, .b = 1, .expect = "step 1" },
      TAKEOVER,
      { .kind = TOKEN, .a = 2, .b = 1, .c = 0 },
      { .kind = STEP, .a = 2, .b = 1 },
      { .kind = TOKEN, .a = 2, .b = 2, .c = 0, .expect = "token 2.0" },
      { .kind = FINAL, .a = 2, .expect = "final" } } },
  { "owner repeats a call: RESET once",
    { { .kind = LOOKUP, .text = "" },
      { .kind = REQUEST, .expect = "send 0" },
      { .kind = TOKEN, .a = 0, .b = 3, .c = 0, .expect = "token 3.0" },
      { .kind = TOKEN, .a = 0, .b = 3, .c = 1, .expect = "token 3.1" },
      { .kind = RESET, .a = 0, .b = 3, .expect = "reset 3" },
      { .kind = RESET, .a = 0, .b = 3 },
      { .kind = TOKEN, .a = 0, .b = 3, .c = 0, .expect = "token 3.0" },
      { .kind = FINAL, .a = 0, .expect = "final" } } },
  { "redirect with a stale lookup: stays at the redirect's address",
    { TWO_HOSTS,
      { .kind = REDIRECT, .a = 1, .text = "b" },
      { .kind = WAIT, .a = 20, .expect = "send 2" },
      { .kind = WAIT, .a = 5000 },
      { .kind = FINAL, .a = 2, .expect = "final" } } },
  { "redirect to a host that is not connected: sent by the lookup",
    { ONE_HOST,
      { .kind = REDIRECT, .a = 1, .text = "z" },
      { .kind = WAIT, .a = 20, .expect = "send 1" },
      { .kind = FINAL, .a = 1, .expect = "final" } } },
  { "paused owner resumes after a takeover: its events are dropped",
    { TWO_HOSTS,
      { .kind = TOKEN, .a = 1, .b = 1, .c = 0, .expect = "token 1.0" },
      { .kind = LOOKUP, .text = "b" },
      { .kind = WAIT, .a = 1000, .expect = "close 1 send 2" },
      { .kind = TOKEN, .a = 1, .b = 1, .c = 1 },
      { .kind = FINAL, .a = 1 },
      { .kind = REFUSE_NOT_RUN, .a = 1, .b = MQ_ERR_STALE_FENCE },
      { .kind = TOKEN, .a = 2, .b = 1, .c = 0, .expect = "reset 1 token 1.0" },
      { .kind = FINAL, .a = 2, .expect = "final" },
      { .kind = FINAL, .a = 2 } } },
  { "owner shuts down: resent to another one",
    { ONE_HOST,
      { .kind = ACCEPTED, .a = 1, .expect = "accepted" },
      { .kind = REFUSE_NOT_RUN, .a = 1, .b = MQ_ERR_LEAVING },
      { .kind = LOOKUP, .text = "" },
      { .kind = WAIT, .a = 100, .expect = "send 0" },
      { .kind = FINAL, .a = 0, .expect = "final" } } },
  { "refusal that can't be retried: sent to the caller",
    { { .kind = LOOKUP, .text = "" },
      { .kind = REQUEST, .expect = "send 0" },
      { .kind = REFUSE_NOT_RUN,
        .a = 0,
        .b = MQ_ERR_OVERLOADED,
        .expect = "refused overloaded not_run" },
      { .kind = WAIT, .a = DEADLINE_MS } } },
  { "refusal with unknown outcome: not resent",
    { { .kind = LOOKUP, .text = "" },
      { .kind = REQUEST, .expect = "send 0" },
      { .kind = REFUSE_UNKNOWN,
        .a = 0,
        .b = MQ_ERR_NOT_READY,
        .expect = "refused not_ready unknown" },
      { .kind = WAIT, .a = DEADLINE_MS } } },
  { "caller disconnects: the owner gets CLOSE, late events are dropped",
    { ONE_HOST,
      { .kind = CALLER_GONE, .expect = "close 1" },
      { .kind = FINAL, .a = 1 },
      { .kind = WAIT, .a = DEADLINE_MS } } },
  { "second connection to the owner before the first is lost",
    { { .kind = LOOKUP, .text = "a" },
      { .kind = UP, .a = 1, .text = "a" },
      { .kind = UP, .a = 5, .text = "a" },
      { .kind = REQUEST, .expect = "send 5" },
      { .kind = DOWN, .a = 1 },
      { .kind = FINAL, .a = 5, .expect = "final" } } },
  { "connection to the owner replaced: resent on the new one",
    { ONE_HOST,
      { .kind = UP, .a = 5, .text = "a" },
      { .kind = DOWN, .a = 1 },
      { .kind = WAIT, .a = 100, .expect = "send 5" },
      { .kind = FINAL, .a = 1 },
      { .kind = FINAL, .a = 5, .expect = "final" } } },
};

struct fixture
{
  TALLOC_CTX *ctx;
  struct mq_front *front;
  const char *owner_address;
  uint64_t now_us;
  struct mq_request_msg request;
};

static const char *
lookup_owner (const void *data, uint32_t partition)
{
  const struct fixture *fixture = data;

  (void)partition;
  return fixture->owner_address;
}

static void
append_event (char **text, const struct mq_event_msg *event)
{
  uint32_t index = (event->number & 0xffff) - 1;

  switch (event->type)
    {
    case MQ_EVENT_ACCEPTED:
      *text = talloc_asprintf_append (*text, " accepted");
      break;
    case MQ_EVENT_TOKEN:
      *text
          = talloc_asprintf_append (*text, " token %u.%u", event->call, index);
      break;
    case MQ_EVENT_STEP:
      *text = talloc_asprintf_append (*text, " step %u", event->call);
      break;
    case MQ_EVENT_RESET:
      *text = talloc_asprintf_append (*text, " reset %u", event->call);
      break;
    case MQ_EVENT_FINAL:
      *text = talloc_asprintf_append (*text, " final");
      break;
    case MQ_EVENT_REFUSED:
      *text = talloc_asprintf_append (*text, " refused %s %s",
                                      mq_error_name (event->error),
                                      mq_ran_name (event->ran));
      break;
    }
}

/* A resent request must be unchanged: a turn or step under another key would
   run twice.  */
static void
check_request (const struct fixture *fixture,
               const struct mq_request_msg *sent)
{
  cr_assert_eq (sent->type, fixture->request.type);
  cr_assert_str_eq (sent->key, fixture->request.key);
  cr_assert_eq (sent->sequence, fixture->request.sequence);
  cr_assert_str_eq (sent->body, fixture->request.body);
}

static char *
describe_actions (const struct fixture *fixture,
                  const struct mq_actions *actions)
{
  char *text = talloc_strdup (fixture->ctx, "");

  for (size_t i = 0; i < actions->count; i++)
    {
      const struct mq_action *action = &actions->items[i];
      bool close = action->u.message.type == MQ_MSG_FORWARD_CLOSE;

      if (action->type == MQ_ACT_EVENT)
        {
          cr_assert_eq (action->u.event.handle, HANDLE);
          append_event (&text, &action->u.event);
          continue;
        }
      cr_assert_eq (action->type, MQ_ACT_SEND);
      if (!close)
        check_request (fixture, &action->u.message.u.forward.request);
      text = talloc_asprintf_append (text, " %s %u", close ? "close" : "send",
                                     action->peer);
    }
  return text[0] == ' ' ? text + 1 : text;
}

static void
fill_event (const struct step *step, struct mq_event_msg *event)
{
  event->handle = HANDLE;
  event->call = step->b;
  event->body = "";
  event->redirect = step->text == NULL ? "" : step->text;
  switch (step->kind)
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
      event->number = step->b << CALL_SHIFT;
      break;
    case FINAL:
      event->type = MQ_EVENT_FINAL;
      event->number = 9U << CALL_SHIFT;
      break;
    default:
      event->type = MQ_EVENT_REFUSED;
      event->error = (enum mq_error_type)step->b;
      event->ran
          = step->kind == REFUSE_UNKNOWN ? MQ_RAN_UNKNOWN : MQ_RAN_NOT_RUN;
      if (step->kind == REDIRECT)
        event->error = MQ_ERR_NOT_READY;
      break;
    }
}

/* Advances the clock and sends each tick when it is due.  */
static void
pass_time (struct fixture *fixture, uint32_t ms, struct mq_actions *actions)
{
  struct mq_front_input input = { .type = MQ_FRONT_TICK };
  uint64_t end_us = fixture->now_us + (uint64_t)ms * US_PER_MS;

  while (mq_front_next_tick (fixture->front) <= end_us)
    {
      uint64_t due_us = mq_front_next_tick (fixture->front);

      cr_assert_geq (due_us, fixture->now_us, "next tick is in the past");
      fixture->now_us = due_us;
      input.now_us = due_us;
      mq_front_handle (fixture->front, &input, actions);
    }
  fixture->now_us = end_us;
}

static void
run_step (struct fixture *fixture, const struct step *step,
          struct mq_actions *actions)
{
  struct mq_front_input input = { .now_us = fixture->now_us, .peer = step->a };
  struct mq_event_msg event = { 0 };

  input.handle = HANDLE;
  switch (step->kind)
    {
    case LOOKUP:
      fixture->owner_address = step->text;
      return;
    case WAIT:
      pass_time (fixture, step->a, actions);
      return;
    case REQUEST:
      input.type = MQ_FRONT_REQUEST;
      input.deadline_us = fixture->now_us + (uint64_t)DEADLINE_MS * US_PER_MS;
      input.u.request = &fixture->request;
      break;
    case UP:
      input.type = MQ_FRONT_PEER_UP;
      input.u.address = step->text;
      break;
    case DOWN:
      input.type = MQ_FRONT_PEER_DOWN;
      break;
    case CALLER_GONE:
      input.type = MQ_FRONT_CALLER_GONE;
      break;
    case STOP:
      input.type = MQ_FRONT_STOP;
      break;
    default:
      fill_event (step, &event);
      input.type = MQ_FRONT_EVENT;
      input.u.event = &event;
      break;
    }
  mq_front_handle (fixture->front, &input, actions);
}

static struct fixture *
create_fixture (uint64_t seed)
{
  struct fixture *fixture = talloc_zero (NULL, struct fixture);
  struct mq_front_lookup lookup = { lookup_owner, fixture };

  fixture->ctx = fixture;
  fixture->now_us = 1000ULL * US_PER_MS;
  fixture->front = mq_front_create (fixture, &lookup, seed);
  fixture->request.type = MQ_REQUEST_TURN;
  fixture->request.key = "key-of-this-turn";
  fixture->request.body = "{\"input\":\"what next?\"}";
  return fixture;
}

Test (front, scripts)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    for (uint64_t seed = 1; seed <= 20; seed++)
      {
        struct fixture *fixture = create_fixture (seed);
        struct mq_actions *actions = mq_actions_create (fixture);

        for (size_t j = 0; j < STEPS_MAX; j++)
          {
            const struct step *step = &cases[i].steps[j];
            const char *expect = step->expect == NULL ? "" : step->expect;

            if (step->kind == END)
              break;
            mq_actions_clear (actions);
            run_step (fixture, step, actions);
            cr_assert_str_eq (describe_actions (fixture, actions), expect,
                              "%s (seed %lu, step %zu)", cases[i].name,
                              (unsigned long)seed, j);
          }
        talloc_free (fixture);
      }
}

/* Two hosts redirect to each other.  The backoff must limit the messages, and
   the request must end at its deadline.  */
Test (front, redirect_loop)
{
  struct fixture *fixture = create_fixture (3);
  struct mq_actions *actions = mq_actions_create (fixture);
  struct step up[] = { { .kind = UP, .a = 1, .text = "a" },
                       { .kind = UP, .a = 2, .text = "b" } };
  struct step request = { .kind = REQUEST };
  struct step wait = { .kind = WAIT, .a = 1 };
  size_t sends = 0;
  char *text = talloc_strdup (fixture, "");

  fixture->owner_address = "a";
  run_step (fixture, &up[0], actions);
  run_step (fixture, &up[1], actions);
  run_step (fixture, &request, actions);
  for (uint32_t ms = 0; ms <= DEADLINE_MS; ms++)
    {
      struct mq_actions *now = mq_actions_create (fixture);

      run_step (fixture, &wait, now);
      text = describe_actions (fixture, now);
      for (size_t i = 0; i < actions->count; i++)
        if (actions->items[i].type == MQ_ACT_SEND)
          {
            uint32_t peer = actions->items[i].peer;
            struct step redirect = { .kind = REDIRECT,
                                     .a = peer,
                                     .text = peer == 1 ? "b" : "a" };

            sends++;
            run_step (fixture, &redirect, now);
          }
      talloc_free (actions);
      actions = now;
      if (mq_front_count (fixture->front) == 0)
        break;
    }
  cr_expect_str_eq (text, "refused timeout unknown");
  cr_expect_gt (sends, 30, "gave up before the deadline");
  cr_expect_lt (sends, 200, "backoff does not grow");
  talloc_free (fixture);
}

/* A request beyond the limit is refused at once; the others are kept.  */
Test (front, request_limit)
{
  struct fixture *fixture = create_fixture (1);
  struct mq_actions *actions = mq_actions_create (fixture);
  struct mq_front_input input = { .type = MQ_FRONT_REQUEST };
  const struct mq_action *last;

  input.u.request = &fixture->request;
  for (uint32_t i = 0; i <= MQ_FRONT_REQUESTS_MAX; i++)
    {
      input.handle = i + 1;
      mq_front_handle (fixture->front, &input, actions);
    }
  cr_assert_eq (actions->count, 1);
  last = &actions->items[0];
  cr_expect_eq (last->u.event.handle, MQ_FRONT_REQUESTS_MAX + 1);
  cr_expect_eq (last->u.event.error, MQ_ERR_OVERLOADED);
  cr_expect_eq (last->u.event.ran, MQ_RAN_NOT_RUN);
  cr_expect_eq (mq_front_count (fixture->front), MQ_FRONT_REQUESTS_MAX);
  talloc_free (fixture);
}
