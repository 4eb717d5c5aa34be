/* test_bounds.c - bounds of memory, descriptors and time leave no whole
   request without an answer.

   Needs: Criterion, router_site.h, stepped_clock.h, large_worker.h,
   http_peer.h, router_state.h, fleet_state.h.  */

#include "http_peer.h"
#include "large_worker.h"
#include "core/router/bounds.h"
#include "net/clock.h"
#include "router/router_state.h"
#include "router_site.h"
#include "stepped_clock.h"
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define HOST "Host: h.example\r\n"
#define ID(id) "X-Request-Id: " id "\r\n"
#define GET(target, id) "GET " target " HTTP/1.1\r\n" HOST ID (id) "\r\n"
#define MIB ((size_t)1 << 20)
/* Time in which all responses of a test arrive.  */
#define ANSWERS_MS 10000U

static struct edge_site *site;
static struct edge_call call;

static void
set_up (void)
{
  stepped_clock_begin ();
  site = edge_create ();
}

static void
tear_down (void)
{
  edge_destroy (site);
}

TestSuite (bounds, .init = set_up, .fini = tear_down, .timeout = 120);

/* Large answers */

/* Makes a worker whose answers have SIZE bytes the only one of service
   "app".  */
static struct large_worker *
use_large_worker (size_t size)
{
  struct large_worker *worker = large_worker_create (site, site->ev, size);
  char *row = talloc_asprintf (
      worker,
      "{\"service\":\"app\",\"address\":\"127.0.0.1:%u\",\"zone\":\"a\","
      "\"batchSize\":4,\"state\":\"ready\",\"seq\":1}",
      large_worker_port (worker));
  long before = edge_counter (site, 0, "worker_changes");

  rows_server_put (site->rows, "servers", "", "large", row);
  for (int i = 0; i < EDGE_WORKERS; i++)
    edge_unlist_worker (site, site->app[i]);
  EDGE_WAIT (site, edge_counter (site, 0, "worker_changes") > before);
  edge_run_for (site, 30);
  return worker;
}

#define RESPONSES_MAX 8

/**
 * struct slow_caller - a caller that reads when it is told to
 * @statuses: of the whole responses
 * @count: number of whole responses
 * @left: bytes of the current body that are not received yet
 * @sizes: sizes of the bodies
 */
struct slow_caller
{
  int fd;
  bool closed;
  char head[2048];
  size_t left;
  int count;
  int statuses[RESPONSES_MAX];
  size_t sizes[RESPONSES_MAX];
};

/* Takes in one byte of a head; the body follows the empty line.  */
static void
take_head_byte (struct slow_caller *caller, char byte)
{
  size_t len = strlen (caller->head);
  const char *length;

  cr_assert_lt (len + 1, sizeof caller->head);
  caller->head[len] = byte;
  if (len < 3 || strcmp (caller->head + len - 3, "\r\n\r\n") != 0)
    return;
  cr_assert_lt (caller->count, RESPONSES_MAX);
  length = strstr (caller->head, "Content-Length: ");
  cr_assert_not_null (length, "%s", caller->head);
  caller->statuses[caller->count] = atoi (caller->head + 9);
  caller->left = strtoul (length + 16, NULL, 10);
  caller->sizes[caller->count] = caller->left;
  memset (caller->head, 0, sizeof caller->head);
  if (caller->left == 0)
    caller->count++;
}

static void
take_bytes (struct slow_caller *caller, const char *data, size_t len)
{
  while (len > 0)
    {
      size_t part = len < caller->left ? len : caller->left;

      if (part == 0)
        {
          take_head_byte (caller, *data);
          data++;
          len--;
          continue;
        }
      caller->left -= part;
      data += part;
      len -= part;
      if (caller->left == 0)
        caller->count++;
    }
}

static void
read_responses (struct slow_caller *caller, int count)
{
  static char bytes[1 << 18];
  uint64_t until = mq_clock_ms () + ANSWERS_MS;

  while (caller->count < count && !caller->closed && mq_clock_ms () < until)
    {
      bytes[0] = '\0';
      caller->closed = raw_read (caller->fd, bytes, sizeof bytes);
      take_bytes (caller, bytes, strlen (bytes));
      edge_run_for (site, 1);
    }
}

/**
 * struct large_case - answers to a caller that reads after a while
 * @size: of each answer
 * @count: number of requests on one connection, sent at once
 * @status: of each answer
 */
static const struct large_case
{
  const char *name;
  size_t size;
  int count;
  int status;
} large_cases[] = {
  { "one of 1 MiB", MIB, 1, 200 },
  { "one above 8 MiB", 12 * MIB, 1, 200 },
  { "one of 16 MiB", 16 * MIB, 1, 200 },
  { "one above 16 MiB", 16 * MIB + 1, 1, 502 },
  { "six of 4 MiB", 4 * MIB, 6, 200 },
};

/* Failure: a whole answer is larger than the bytes that may be unsent to a
   caller, and the connection of a caller that reads slowly is closed.  */
Test (bounds, large_answers_reach_a_slow_caller)
{
  for (size_t i = 0; i < ROWS (large_cases); i++)
    {
      const struct large_case *row = &large_cases[i];
      struct large_worker *worker = use_large_worker (row->size);
      struct slow_caller caller = { .fd = -1 };

      edge_call (site, &call, 0, GET ("/call/a", "large"));
      for (int k = 1; k < row->count; k++)
        raw_send (call.fd, GET ("/call/a", "large"),
                  strlen (GET ("/call/a", "large")));
      caller.fd = call.fd;
      edge_run_for (site, 300);
      read_responses (&caller, row->count);
      cr_expect_eq (caller.count, row->count, "%s: %d answers, closed %d",
                    row->name, caller.count, caller.closed);
      for (int k = 0; k < caller.count; k++)
        {
          cr_expect_eq (caller.statuses[k], row->status, "%s: %d", row->name,
                        caller.statuses[k]);
          if (row->status == 200)
            cr_expect_eq (caller.sizes[k], row->size, "%s", row->name);
        }
      cr_expect_eq (edge_counter (site, 0, "unanswered"), 0, "%s", row->name);
      edge_close (&call);
      large_worker_destroy (worker);
    }
}

/* Large requests */

/* Activates a configuration with the site's limit of a body.  */
static void
configure (uint32_t body_bytes)
{
  long before = edge_counter (site, 0, "config_changes");

  site->body_bytes = body_bytes;
  edge_configure (site, ANSWERS_MS, NULL);
  EDGE_WAIT (site, edge_counter (site, 0, "config_changes") > before);
}

/* Sends LEFT bytes of a body at the pace at which they are read.  */
static void
send_body (int fd, size_t left)
{
  static char block[1 << 16];
  uint64_t until = mq_clock_ms () + ANSWERS_MS;

  memset (block, 'x', sizeof block);
  while (left > 0 && mq_clock_ms () < until)
    {
      size_t part = left < sizeof block ? left : sizeof block;
      size_t sent = raw_send (fd, block, part);

      left -= sent;
      if (sent == 0)
        edge_run_for (site, 1);
    }
}

static const struct
{
  const char *name;
  size_t size;
} request_cases[] = {
  { "of 1 MiB", MIB },
  { "above 8 MiB", 12 * MIB },
  { "of 24 MiB", 24 * MIB },
};

/* Failure: a request is larger than the bytes that may be unsent to a worker,
   and counts as broken off by the worker before that has read it.  */
Test (bounds, large_requests_reach_a_slow_worker)
{
  struct large_worker *worker = use_large_worker (2);

  configure (24 * MIB);
  for (size_t i = 0; i < ROWS (request_cases); i++)
    {
      char *head = talloc_asprintf (site,
                                    "POST /once/a HTTP/1.1\r\n" HOST ID (
                                        "big") "Content-Length: %zu\r\n\r\n",
                                    request_cases[i].size);

      edge_call (site, &call, 0, head);
      send_body (call.fd, request_cases[i].size);
      edge_wait_responses (site, &call, 1);
      cr_expect_eq (strncmp (call.answer, "HTTP/1.1 200", 12), 0, "%s: %s",
                    request_cases[i].name, call.answer);
      cr_expect_eq (large_worker_request_count (worker), (int)i + 1, "%s",
                    request_cases[i].name);
      edge_close (&call);
    }
}

/* Waiting for a configuration */

/* Time in which a refusal arrives, beyond the deadline.  */
#define REFUSAL_MS 100U
/* Limit of a wait without a deadline.  */
#define NO_DEADLINE_MS 3000U

/**
 * struct config_case - a request that no configuration at hand can route,
 * while the table answers nothing; each read of it is given more time than the
 * one before
 * @fields: header lines
 * @within_ms: time in which it is refused
 */
static const struct config_case
{
  const char *name;
  const char *fields;
  uint32_t within_ms;
} config_cases[] = {
  { "no deadline, first read", "", NO_DEADLINE_MS },
  { "no deadline, second read", "", NO_DEADLINE_MS },
  { "no deadline, third read", "", NO_DEADLINE_MS },
  { "deadline of 1 ms", "X-Deadline-Ms: 1\r\n", 1 + REFUSAL_MS },
  { "deadline of 150 ms", "X-Deadline-Ms: 150\r\n", 150 + REFUSAL_MS },
  { "deadline of 250 ms", "X-Deadline-Ms: 250\r\n", 250 + REFUSAL_MS },
};

/* Failure: a request without a route waits for the latest configuration beyond
   its deadline while the table does not answer.  */
Test (bounds, wait_for_the_configuration_ends_at_the_deadline)
{
  rows_server_set_fault (site->rows, ROWS_NO_RESPONSE);
  for (size_t i = 0; i < ROWS (config_cases); i++)
    {
      const struct config_case *row = &config_cases[i];
      uint64_t since = mq_clock_ms ();
      char *text = talloc_asprintf (
          site, "GET /none/a HTTP/1.1\r\n" HOST ID ("none") "%s\r\n",
          row->fields);

      edge_call (site, &call, 0, text);
      edge_wait_responses (site, &call, 1);
      cr_expect_eq (strncmp (call.answer, "HTTP/1.1 503", 12), 0, "%s: %s",
                    row->name, call.answer);
      cr_expect_leq (mq_clock_ms () - since, row->within_ms, "%s: %lu ms",
                     row->name, (unsigned long)(mq_clock_ms () - since));
      edge_close (&call);
    }
  rows_server_set_fault (site->rows, ROWS_NO_FAULT);
}

/* Memory */

/* Idle timeout that no test reaches.  */
#define LONG_IDLE_MS 20000U
#define BODY_BYTES (4 * MIB)
#define LARGE_POST                                                            \
  "POST /once/a HTTP/1.1\r\n" HOST ID ("large") "Content-Length: 4194304"     \
                                                "\r\n\r\n"

/**
 * struct body_case - a request while two bodies of 4 MiB are being read, with
 * 64 MiB of memory
 * @text: head, and body unless it is refused
 * @status: expected
 */
static const struct body_case
{
  const char *name;
  const char *text;
  const char *status;
} body_cases[] = {
  { "no body", GET ("/once/a", "none"), "200" },
  { "small body",
    "POST /once/a HTTP/1.1\r\n" HOST ID (
        "small") "Content-Length: 2\r\n\r\nxy",
    "200" },
  { "small body in chunks",
    "POST /once/a HTTP/1.1\r\n" HOST ID (
        "chunk") "Transfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
    "200" },
  { "large body", LARGE_POST, "503" },
};

/* Failure: the bodies of many requests exceed the memory of the process, which
   is killed with every request that waits.  */
Test (bounds, bodies_over_the_memory_are_refused)
{
  struct edge_call *open[2];
  struct edge_call *last;

  site->idle_ms = LONG_IDLE_MS;
  configure (BODY_BYTES);
  for (int i = 0; i < 2; i++)
    {
      open[i] = edge_open (site, 0, LARGE_POST);
      edge_run_for (site, 20);
    }
  for (size_t i = 0; i < ROWS (body_cases); i++)
    {
      const struct body_case *row = &body_cases[i];
      bool refused = strcmp (row->status, "503") == 0;

      last = edge_open (site, 0, row->text);
      EDGE_WAIT (site, edge_is_closed (last) || last->answer[0] != '\0');
      cr_expect (edge_has_status (last, row->status), "%s: %s", row->name,
                 last->answer);
      cr_expect_eq (strstr (last->answer, "Connection: close") != NULL,
                    refused, "%s: %s", row->name, last->answer);
      cr_expect_eq (strstr (last->answer, "Retry-After: ") != NULL, refused,
                    "%s: %s", row->name, last->answer);
      edge_close (last);
    }
  for (int i = 0; i < 2; i++)
    {
      send_body (open[i]->fd, BODY_BYTES);
      edge_wait_responses (site, open[i], 1);
      cr_expect (edge_has_status (open[i], "200"), "%s", open[i]->answer);
    }
  last = edge_open (site, 0, LARGE_POST);
  send_body (last->fd, BODY_BYTES);
  edge_wait_responses (site, last, 1);
  cr_expect (edge_has_status (last, "200"), "%s", last->answer);
}

/* Failure: the buffered answers of many requests exceed the memory of the
   process, which is killed with every request that waits.  */
Test (bounds, answers_over_the_memory_are_refused)
{
  struct large_worker *worker = use_large_worker (12 * MIB);
  struct slow_caller first = { .fd = -1 };
  struct edge_call *callers[2];

  site->idle_ms = LONG_IDLE_MS;
  configure (4096);
  for (int i = 0; i < 2; i++)
    {
      callers[i] = edge_open (site, 0, GET ("/once/a", "large"));
      EDGE_WAIT (site, large_worker_request_count (worker) == i + 1);
      edge_run_for (site, 200);
    }
  edge_wait_responses (site, callers[1], 1);
  cr_expect (edge_has_status (callers[1], "502"), "%s", callers[1]->answer);
  first.fd = callers[0]->fd;
  read_responses (&first, 1);
  cr_expect_eq (first.count, 1);
  cr_expect_eq (first.statuses[0], 200);
  cr_expect_eq (edge_ejected_count (site, 0), 0);
}

/**
 * struct bytes_case - what a limit of 16 MiB admits, in KiB
 * @body: a request is admitted
 * @answer: an answer is admitted
 */
static const struct bytes_case
{
  const char *name;
  uint64_t others;
  uint64_t bytes;
  bool body;
  bool answer;
} bytes_cases[] = {
  { "nothing", 0, 0, true, true },
  { "one alone", 0, 4096, true, true },
  { "one alone, above the limit", 0, 32768, true, true },
  { "large, below half", 4096, 4096, true, true },
  { "large, at half", 8191, 1, true, true },
  { "large, above half", 8192, 4096, false, true },
  { "small, above half", 8192, 63, true, true },
  { "small, at the limit", 16383, 1, true, true },
  { "small, above the limit", 16384, 1, false, false },
  { "answer, above the limit", 12288, 12288, false, false },
  { "others above the limit", 20480, 1, false, false },
};

/* Failure: many large requests leave no memory for small ones and for answers,
   or a request that is allowed can never be served.  */
Test (bounds, bytes, .init = NULL, .fini = NULL)
{
  uint64_t limit = mq_bounds_bytes (64);

  cr_expect_eq (limit, 16 * MIB);
  for (size_t i = 0; i < ROWS (bytes_cases); i++)
    {
      const struct bytes_case *row = &bytes_cases[i];

      cr_expect_eq (
          mq_bounds_admits_body (limit, row->others << 10, row->bytes << 10),
          row->body, "%s", row->name);
      cr_expect_eq (
          mq_bounds_admits_answer (limit, row->others << 10, row->bytes << 10),
          row->answer, "%s", row->name);
    }
}

/* Allocation */

/* The router answers this by itself, with 400.  */
#define NO_HOST "GET /call/a HTTP/1.1\r\n" ID ("bad") "\r\n"

/* Lets no further allocation below CTX succeed.  talloc offers nothing else
   for it.  */
static void
forbid_allocations (TALLOC_CTX *ctx)
{
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wdeprecated-declarations"
  cr_assert_eq (talloc_set_memlimit (ctx, talloc_total_size (ctx)), 0);
#pragma GCC diagnostic pop
}

/* Failure: a response can't be allocated, and its caller waits until the
   connection is closed as idle.  The process ends instead, which closes it at
   once.  */
Test (bounds, response_without_memory_ends_the_process, .signal = SIGABRT)
{
  struct edge_call *caller = edge_open (site, 0, NO_HOST);

  edge_wait_responses (site, caller, 1);
  caller->answer[0] = '\0';
  forbid_allocations (site->routers[0]->callers);
  edge_send (caller, NO_HOST);
  edge_wait_responses (site, caller, 1);
}
