/* test_relay_loan.c - questions for loans to a host that answers late, or not
   at all.

   Needs: Criterion, router_site.h, http_peer.h, chain.h, relay.h,
   relay_link.h, listen.h, timer.h.  */

#include "router_site.h"
#include "core/router/chain.h"
#include "http_peer.h"
#include "net/listen.h"
#include "router/relay.h"
#include "router/relay_link.h"
#include "net/timer.h"
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
/* Longer than a host may take for its answer.  */
#define HELD_MS (MQ_RELAY_LOAN_MS + 20U)
#define QUESTIONS_MAX 64U

/**
 * struct question - what the lender was asked
 * @link: to answer on, NULL: it has ended
 * @ask: its texts lie below the lender
 */
struct question
{
  struct mq_relay_link *link;
  struct mq_relay_loan_ask ask;
};

/**
 * struct lender - a host that lends what it is asked for, once it gets to it
 * @links: open ones
 * @held_up: it gets to no question
 * @asked: questions so far
 * @answered: how many of them it got to
 */
struct lender
{
  struct tevent_fd *event;
  char *address;
  int links;
  bool held_up;
  size_t asked;
  size_t answered;
  struct question questions[QUESTIONS_MAX];
  int fd;
};

static void
send_frame (struct lender *lender, struct mq_relay_link *link,
            const struct mq_relay_frame *frame)
{
  struct mq_bytes packed = mq_relay_frame_pack (lender, frame);

  mq_relay_link_send (link, packed);
  talloc_free (packed.data);
}

static struct mq_bytes
bytes (const char *text)
{
  return (struct mq_bytes){ (uint8_t *)(uintptr_t)text, strlen (text) };
}

static void
lend (struct lender *lender, const struct question *question)
{
  const struct mq_relay_loan_ask *ask = &question->ask;
  struct mq_relay_frame frame = { .kind = MQ_RELAY_LOAN_TOLD };
  struct mq_chain *chain = mq_chain_extend (lender, NULL, ask->turn,
                                            bytes ("one;"), bytes ("e1\n"));

  cr_assert_not_null (chain);
  frame.u.loan_told = (struct mq_relay_loan_told){
    .id = ask->id,
    .program = ask->program,
    .tokens = ask->most,
    .turn = ask->turn,
  };
  if (ask->turn[0] != '\0')
    frame.u.loan_told.history = mq_chain_pack_whole (lender, chain);
  send_frame (lender, question->link, &frame);
}

/* The lender gets to the questions that wait.  */
static void
answer_all (struct lender *lender)
{
  for (; lender->answered < lender->asked; lender->answered++)
    if (lender->questions[lender->answered].link != NULL)
      lend (lender, &lender->questions[lender->answered]);
}

static void
take_question (struct lender *lender, struct mq_relay_link *link,
               const struct mq_relay_loan_ask *ask)
{
  struct question *question = &lender->questions[lender->asked];

  cr_assert_lt (lender->asked, QUESTIONS_MAX);
  question->link = link;
  question->ask = *ask;
  question->ask.program = talloc_strdup (lender, ask->program);
  question->ask.turn = talloc_strdup (lender, ask->turn);
  lender->asked++;
  if (!lender->held_up)
    answer_all (lender);
}

/* It can't reach the table either.  */
static void
on_frame (struct mq_relay_link *link, const struct mq_relay_frame *frame,
          void *user)
{
  struct lender *lender = user;
  struct mq_relay_frame told = { .kind = MQ_RELAY_TOLD };

  if (frame->kind == MQ_RELAY_LOAN_ASK)
    take_question (lender, link, &frame->u.loan_ask);
  if (frame->kind != MQ_RELAY_ASK)
    return;
  told.u.told.id = frame->u.ask.id;
  told.u.told.result.status = MQ_STORE_DOWN;
  send_frame (lender, link, &told);
}

static void
on_ended (struct mq_relay_link *link, void *user)
{
  struct lender *lender = user;

  for (size_t i = 0; i < lender->asked; i++)
    if (lender->questions[i].link == link)
      lender->questions[i].link = NULL;
  mq_relay_link_destroy (link);
  lender->links--;
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct lender *lender = data;
  struct mq_relay_link_owner owner
      = { .frame = on_frame, .ended = on_ended, .user = lender };
  int fd = accept4 (lender->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)event;
  (void)flags;
  cr_assert_geq (fd, 0);
  cr_assert_not_null (mq_relay_link_accept (lender, ev, fd, &owner));
  lender->links++;
}

static int
close_lender (struct lender *lender)
{
  TALLOC_FREE (lender->event);
  close (lender->fd);
  return 0;
}

static struct lender *
make_lender (TALLOC_CTX *ctx, struct tevent_context *ev)
{
  struct lender *lender = talloc_zero (ctx, struct lender);

  lender->fd = mq_listen_open ("127.0.0.1:0", NULL);
  cr_assert_geq (lender->fd, 0);
  lender->address
      = talloc_asprintf (lender, "127.0.0.1:%u", mq_listen_port (lender->fd));
  lender->event = tevent_add_fd (ev, lender, lender->fd, TEVENT_FD_READ,
                                 on_accept, lender);
  talloc_set_destructor (lender, close_lender);
  return lender;
}

static struct edge_site *site;
static struct edge_call call;
static struct lender *lender;

static void
set_up (void)
{
  site = edge_create ();
  lender = make_lender (site, site->ev);
}

static void
tear_down (void)
{
  edge_destroy (site);
}

TestSuite (relay_loan, .init = set_up, .fini = tear_down, .timeout = 120);

/* Answers that the asker has read.  */
static size_t told;

static void
on_told (const struct mq_relay_loan_told *loan, const char *address,
         void *user)
{
  (void)loan;
  (void)address;
  (void)user;
  told++;
}

static void
on_waited (void *data)
{
  bool *done = data;

  *done = true;
}

/* By the product's timers: those that were due before have come.  */
static void
wait_ms (uint32_t ms)
{
  bool done = false;

  mq_timer_add (site, site->ev, ms, on_waited, &done);
  while (!done)
    tevent_loop_once (site->ev);
}

static uint32_t
ask_lender (struct mq_relay *relay)
{
  struct mq_relay_loan_ask ask
      = { .id = 1, .program = "p1", .limit = 80, .most = 8, .turn = "" };

  return mq_relay_ask_loan (relay, &ask, false);
}

/* How many hosts the last question of STEPS goes to.  q: a question; k: it has
   come to the lender; h: the lender is held up; l: it goes on; r: its answers
   have been read; w: more time than an answer may take; s: as much, in which
   the asker's loop stands still; p: the pause for a host that does not answer.
 */
static uint32_t
play (struct mq_relay *relay, const char *steps)
{
  size_t sent = 0;
  uint32_t asked = 0;

  for (; *steps != '\0'; steps++)
    switch (*steps)
      {
      case 'q':
        asked = ask_lender (relay);
        sent += asked;
        break;
      case 'k':
        EDGE_WAIT (site, lender->asked == sent);
        break;
      case 'h':
        lender->held_up = true;
        break;
      case 'l':
        lender->held_up = false;
        answer_all (lender);
        break;
      case 'r':
        EDGE_WAIT (site, told == sent);
        break;
      case 'w':
        wait_ms (HELD_MS);
        break;
      case 's':
        usleep (HELD_MS * 1000);
        break;
      case 'p':
        wait_ms (MQ_RELAY_BAD_MS);
        break;
      default:
        cr_assert_fail ("%c", *steps);
      }
  return asked;
}

/**
 * struct question_case - what happens before a question
 * @steps: see play; the last is the question
 * @asked: hosts that are asked
 */
struct question_case
{
  const char *name;
  const char *steps;
  uint32_t asked;
};

static const struct question_case question_cases[] = {
  { "answers", "qkrwq", 1 },
  { "is held up, goes on", "hqkwlrq", 1 },
  { "is held up, is asked meanwhile, goes on", "hqkwqlrq", 1 },
  { "answers while the asker is held up", "hqklsq", 1 },
  { "does not answer", "hqkwq", 0 },
  { "does not answer, and the pause is not over", "hqkwqwq", 0 },
  { "does not answer, the pause is over", "hqkwqpq", 1 },
  { "goes on, then does not answer", "hqkwqlrhqkwq", 0 },
};

/* A host that lends its tokens and histories in an outage was held up for
   0.12 s.  Its answer came, and still it was left alone for a second as one
   that is lost, so that turns whose history lies there were refused in 0 ms.
   The same befell a host that had answered in time, where the asker itself had
   been held up and had not read it.  A host that does not answer must go on
   being left alone: else each turn waits for it.  */
Test (relay_loan, host_that_answers_is_asked)
{
  struct mq_relay_owner owner = { .loan_told = on_told };

  for (size_t i = 0; i < ROWS (question_cases); i++)
    {
      const struct question_case *row = &question_cases[i];
      struct mq_relay *relay = mq_relay_create (site, site->ev, "127.0.0.1:0",
                                                NULL, &owner, NULL);
      uint32_t asked;

      cr_assert_not_null (relay);
      lender->held_up = false;
      lender->asked = 0;
      lender->answered = 0;
      told = 0;
      mq_relay_add_seed (relay, lender->address);
      asked = play (relay, row->steps);
      cr_expect_eq (asked, row->asked, "%s: %u asked", row->name, asked);
      mq_relay_destroy (relay);
      EDGE_WAIT (site, lender->links == 0);
    }
}

/* A turn that continues from PREVIOUS, with two seconds left: it does without
   the table.  */
static void
begin_turn (const char *id, const char *program, const char *previous)
{
  char text[512];

  snprintf (text, sizeof text,
            "POST /kept/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n"
            "X-Program-Id: %s\r\nX-Token-Count: 10,8\r\n"
            "X-Token-Budget: 80\r\nX-Deadline-Ms: 2000\r\n"
            "X-Previous-Turn: %s\r\nContent-Length: 4\r\n\r\ntwo;",
            id, program, previous);
  edge_call (site, &call, 0, text);
}

/* The answer so far has TEXT.  */
static bool
call_has (const char *text)
{
  raw_read (call.fd, call.answer, sizeof call.answer);
  return strstr (call.answer, text) != NULL;
}

static int
refused_turn (const char *id, const char *program, const char *previous)
{
  begin_turn (id, program, previous);
  edge_wait (site, &call, 1);
  edge_hang_up (&call);
  return atoi (call.answer + strlen ("HTTP/1.1 "));
}

/* The table is away, and a program's history lies at a host that is held up
   for a moment: turns that need it meanwhile are refused.  The host goes on
   and answers; the next program's turn was refused all the same, in 0 ms, and
   its caller had one try less.  */
Test (relay_loan, turn_after_a_lender_was_held_up)
{
  edge_kill (site, 0);
  site->seeds[0] = lender->address;
  edge_start (site, 0);
  rows_server_set_fault (site->rows, ROWS_UNAVAILABLE);
  edge_run (site, 1200);
  lender->held_up = true;
  cr_assert_eq (refused_turn ("u1", "p1", "t1"), 503, "%s", call.answer);
  wait_ms (HELD_MS);
  cr_assert_eq (refused_turn ("u2", "p2", "t2"), 503, "%s", call.answer);
  lender->held_up = false;
  answer_all (lender);
  wait_ms (HELD_MS);
  begin_turn ("u3", "p3", "t3");
  EDGE_WAIT (site, call_has ("data: e4") || call_has ("HTTP/1.1 503"));
  edge_hang_up (&call);
  cr_expect_eq (edge_runs (site, "u1"), 0);
  cr_expect_eq (edge_runs (site, "u2"), 0);
  cr_expect_eq (edge_runs (site, "u3"), 1, "%s", call.answer);
}
