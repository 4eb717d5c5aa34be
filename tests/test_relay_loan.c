/* test_relay_loan.c - loan requests to a host that answers late or never.

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
/* Longer than the timeout of a loan request.  */
#define PAST_TIMEOUT_MS (MQ_RELAY_LOAN_TIMEOUT_MS + 20U)
#define REQUESTS_MAX 64U

/**
 * struct received_request - a loan request received
 * @link: link for the reply, NULL if it has ended
 * @request: strings are owned by the lender
 */
struct received_request
{
  struct mq_relay_link *link;
  struct mq_relay_loan_request request;
};

/**
 * struct lender - a simulated host that lends what is requested
 * @links: open links
 * @blocked: requests are queued, not answered
 * @received: requests received
 * @answered: requests answered
 */
struct lender
{
  struct tevent_fd *event;
  char *address;
  int links;
  bool blocked;
  size_t received;
  size_t answered;
  struct received_request requests[REQUESTS_MAX];
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
lend (struct lender *lender, const struct received_request *received_request)
{
  const struct mq_relay_loan_request *request = &received_request->request;
  struct mq_relay_frame frame = { .kind = MQ_RELAY_LOAN_REPLY };
  struct mq_chain *chain = mq_chain_extend (lender, NULL, request->turn,
                                            bytes ("one;"), bytes ("e1\n"));

  cr_assert_not_null (chain);
  frame.u.loan_reply = (struct mq_relay_loan_reply){
    .id = request->id,
    .program = request->program,
    .tokens = request->tokens,
    .turn = request->turn,
  };
  if (request->turn[0] != '\0')
    frame.u.loan_reply.history = mq_chain_pack_full (lender, chain);
  send_frame (lender, received_request->link, &frame);
}

static void
answer_queued (struct lender *lender)
{
  for (; lender->answered < lender->received; lender->answered++)
    if (lender->requests[lender->answered].link != NULL)
      lend (lender, &lender->requests[lender->answered]);
}

static void
receive_request (struct lender *lender, struct mq_relay_link *link,
                 const struct mq_relay_loan_request *request)
{
  struct received_request *received_request
      = &lender->requests[lender->received];

  cr_assert_lt (lender->received, REQUESTS_MAX);
  received_request->link = link;
  received_request->request = *request;
  received_request->request.program = talloc_strdup (lender, request->program);
  received_request->request.turn = talloc_strdup (lender, request->turn);
  lender->received++;
  if (!lender->blocked)
    answer_queued (lender);
}

/* Answers loan requests; relayed calls fail, as this host can't reach the
   table either.  */
static void
on_frame (struct mq_relay_link *link, const struct mq_relay_frame *frame,
          void *user)
{
  struct lender *lender = user;
  struct mq_relay_frame reply = { .kind = MQ_RELAY_CALL_REPLY };

  if (frame->kind == MQ_RELAY_LOAN_REQUEST)
    receive_request (lender, link, &frame->u.loan_request);
  if (frame->kind != MQ_RELAY_CALL_REQUEST)
    return;
  reply.u.call_reply.id = frame->u.call_request.id;
  reply.u.call_reply.result.status = MQ_STORE_DOWN;
  send_frame (lender, link, &reply);
}

static void
on_ended (struct mq_relay_link *link, void *user)
{
  struct lender *lender = user;

  for (size_t i = 0; i < lender->received; i++)
    if (lender->requests[i].link == link)
      lender->requests[i].link = NULL;
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

/* Replies that the requester has read.  */
static size_t replies;

static void
on_reply (const struct mq_relay_loan_reply *loan, const char *address,
          void *user)
{
  (void)loan;
  (void)address;
  (void)user;
  replies++;
}

static void
on_waited (void *data)
{
  bool *done = data;

  *done = true;
}

/* Uses the router's timers, so that earlier ones have run.  */
static void
wait_ms (uint32_t ms)
{
  bool done = false;

  mq_timer_add (site, site->ev, ms, on_waited, &done);
  while (!done)
    tevent_loop_once (site->ev);
}

static uint32_t
request_loan (struct mq_relay *relay)
{
  struct mq_relay_loan_request request
      = { .id = 1, .program = "p1", .limit = 80, .tokens = 8, .turn = "" };

  return mq_relay_request_loan (relay, &request, false);
}

/* Runs STEPS and returns how many hosts got the last request.  q: send a
   request; k: wait until it is received; h: block the lender; l: unblock it;
   r: wait until its replies are read; w: let the timeout pass; s: the same,
   without running the requester's event loop; p: let the backoff pass.  */
static uint32_t
run_steps (struct mq_relay *relay, const char *steps)
{
  size_t sent = 0;
  uint32_t hosts = 0;

  for (; *steps != '\0'; steps++)
    switch (*steps)
      {
      case 'q':
        hosts = request_loan (relay);
        sent += hosts;
        break;
      case 'k':
        EDGE_WAIT (site, lender->received == sent);
        break;
      case 'h':
        lender->blocked = true;
        break;
      case 'l':
        lender->blocked = false;
        answer_queued (lender);
        break;
      case 'r':
        EDGE_WAIT (site, replies == sent);
        break;
      case 'w':
        wait_ms (PAST_TIMEOUT_MS);
        break;
      case 's':
        usleep (PAST_TIMEOUT_MS * 1000);
        break;
      case 'p':
        wait_ms (MQ_RELAY_BACKOFF_MS);
        break;
      default:
        cr_assert_fail ("%c", *steps);
      }
  return hosts;
}

/**
 * struct request_case - events before a loan request
 * @steps: see run_steps; the last one is the request
 * @hosts: number of hosts that get the request
 */
struct request_case
{
  const char *name;
  const char *steps;
  uint32_t hosts;
};

static const struct request_case request_cases[] = {
  { "answers", "qkrwq", 1 },
  { "blocked, answers late", "hqkwlrq", 1 },
  { "blocked, gets a request meanwhile, answers late", "hqkwqlrq", 1 },
  { "answers while the requester is blocked", "hqklsq", 1 },
  { "does not answer", "hqkwq", 0 },
  { "does not answer, backoff not over", "hqkwqwq", 0 },
  { "does not answer, backoff over", "hqkwqpq", 1 },
  { "answers late, then not at all", "hqkwqlrhqkwq", 0 },
};

/* A late reply ends the lender's backoff, and a reply that is in time but
   unread does not start it; otherwise turns whose history it holds are
   refused.  A lender that does not answer stays in backoff, so that turns
   don't wait for it.  */
Test (relay_loan, answering_host_gets_requests)
{
  struct mq_relay_owner owner = { .loan_reply = on_reply };

  for (size_t i = 0; i < ROWS (request_cases); i++)
    {
      const struct request_case *row = &request_cases[i];
      struct mq_relay *relay = mq_relay_create (site, site->ev, "127.0.0.1:0",
                                                NULL, &owner, NULL);
      uint32_t hosts;

      cr_assert_not_null (relay);
      lender->blocked = false;
      lender->received = 0;
      lender->answered = 0;
      replies = 0;
      mq_relay_add_seed (relay, lender->address);
      hosts = run_steps (relay, row->steps);
      cr_expect_eq (hosts, row->hosts, "%s: %u requests", row->name, hosts);
      mq_relay_destroy (relay);
      EDGE_WAIT (site, lender->links == 0);
    }
}

/* Starts a turn that continues from PREVIOUS.  Its deadline of two seconds
   lets it proceed without the table.  */
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

/* Whether the response received so far contains TEXT.  */
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
  edge_wait_responses (site, &call, 1);
  edge_close (&call);
  return atoi (call.answer + strlen ("HTTP/1.1 "));
}

/* While the table is unavailable and the lender blocked, turns that need its
   histories are refused.  Once it has answered, the next turn must be served.
   */
Test (relay_loan, turn_served_after_lender_unblocks)
{
  edge_kill (site, 0);
  site->seeds[0] = lender->address;
  edge_start (site, 0);
  rows_server_set_fault (site->rows, ROWS_UNAVAILABLE);
  edge_run_for (site, 1200);
  lender->blocked = true;
  cr_assert_eq (refused_turn ("u1", "p1", "t1"), 503, "%s", call.answer);
  wait_ms (PAST_TIMEOUT_MS);
  cr_assert_eq (refused_turn ("u2", "p2", "t2"), 503, "%s", call.answer);
  lender->blocked = false;
  answer_queued (lender);
  wait_ms (PAST_TIMEOUT_MS);
  begin_turn ("u3", "p3", "t3");
  EDGE_WAIT (site, call_has ("data: e4") || call_has ("HTTP/1.1 503"));
  edge_close (&call);
  cr_expect_eq (edge_run_count (site, "u1"), 0);
  cr_expect_eq (edge_run_count (site, "u2"), 0);
  cr_expect_eq (edge_run_count (site, "u3"), 1, "%s", call.answer);
}

/* Lists COUNT hosts of data centre "a" and as many of "b" at RELAY; every
   third one does not cache programs.  */
static void
list_hosts (struct mq_relay *relay, int count)
{
  mq_relay_list_begin (relay);
  for (int i = 0; i < 2 * count; i++)
    {
      char *address = talloc_asprintf (site, "127.0.1.%d:9", i);
      struct mq_relay_listing listing = { .address = address,
                                          .data_centre = i < count ? "a" : "b",
                                          .near = i < count,
                                          .caches_programs = i % 3 != 0 };

      mq_relay_list_host (relay, &listing);
    }
  mq_relay_list_end (relay);
}

static void
list_relay (struct mq_relay *relay, const struct mq_relay *other)
{
  struct mq_relay_listing listing = { .address = mq_relay_address (other),
                                      .data_centre = "a",
                                      .near = true,
                                      .caches_programs = true };

  mq_relay_list_host (relay, &listing);
}

/* The cache host of PROGRAM as RELAY sees it.  */
static const char *
cache_host (const struct mq_relay *relay, const char *program)
{
  const char *address = mq_relay_cache_host (relay, program);

  return address == NULL ? mq_relay_address (relay) : address;
}

/* Failure: two hosts choose different cache hosts, and the second one finds
   nothing of what the first one handed over.  */
Test (relay_loan, hosts_agree_on_the_cache_host)
{
  struct mq_relay_owner owner = { .loan_reply = on_reply };
  struct mq_relay *relays[2];
  int own = 0;

  for (int i = 0; i < 2; i++)
    {
      relays[i] = mq_relay_create (site, site->ev, "127.0.0.1:0", NULL, &owner,
                                   NULL);
      list_hosts (relays[i], (int)MQ_RELAY_LOAN_HOSTS_MAX);
      cr_assert_not (mq_relay_uses_cache_hosts (relays[i]));
    }
  for (int i = 0; i < 2; i++)
    {
      list_hosts (relays[i], (int)MQ_RELAY_LOAN_HOSTS_MAX + 1);
      list_relay (relays[i], relays[1 - i]);
      cr_assert (mq_relay_uses_cache_hosts (relays[i]));
    }
  for (int i = 0; i < 200; i++)
    {
      char program[16];
      const char *chosen;
      int host = -1;

      snprintf (program, sizeof program, "p%d", i);
      chosen = cache_host (relays[0], program);
      cr_expect_str_eq (chosen, cache_host (relays[1], program));
      own += strcmp (chosen, mq_relay_address (relays[0])) == 0;
      if (sscanf (chosen, "127.0.1.%d:9", &host) == 1)
        {
          cr_expect_leq (host, (int)MQ_RELAY_LOAN_HOSTS_MAX);
          cr_expect_neq (host % 3, 0);
        }
    }
  cr_expect_gt (own, 0);
}
