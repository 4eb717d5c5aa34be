/* test_daemon_stop.c - entry and target hosts that stop, and the requests on
   their HTTP connections.

   Needs: Criterion, entry.h, target.h, http_peer.h.  */

#include "entry/entry.h"
#include "entry/entry_state.h"
#include "http_peer.h"
#include "net/clock.h"
#include "target/target.h"
#include "target/target_state.h"
#include <criterion/criterion.h>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define TEXT_BYTES 8192
#define TICK_US 2000
#define LIMIT_MS 30000U
#define LONG_STOP_SECONDS 60U
/* Shorter than a target host waits for late calls.  */
#define SHORT_STOP_SECONDS 1U
#define KEY_HEX                                                               \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define WORKER                                                                \
  "[worker w]\nservice = rooms\nkind = tool\nurl = http://127.0.0.1:9\n"      \
  "slots = 1\n"
#define ALIVE "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"

TestSuite (daemon_stop, .timeout = 120);

static struct tevent_context *ev;
static enum mq_host_role role;
static struct mq_entry *entry;
static struct mq_target *target;
static bool done;
static char answer[TEXT_BYTES];

static void
tick (struct tevent_context *loop, struct tevent_timer *timer,
      struct timeval now, void *data)
{
  (void)timer;
  (void)now;
  tevent_add_timer (loop, loop, tevent_timeval_current_ofs (0, TICK_US), tick,
                    data);
}

static void
on_done (void *user)
{
  (void)user;
  done = true;
}

/* Settings of a host whose platform does not answer.  */
static struct mq_settings *
make_settings (uint32_t stop_seconds)
{
  struct mq_text_errors errors = { 0 };
  const char *text = talloc_asprintf (
      ev,
      "[process]\nhost = h1\ndata_centre = d1\nhttp = 127.0.0.1:0\n"
      "peer = 127.0.0.1:0\nplatform = http://127.0.0.1:%u\n"
      "site_key = " KEY_HEX "\noperator_key_sha256 = " KEY_HEX "\n"
      "drain_seconds = %u\n%s",
      refusing_port (), stop_seconds, role == MQ_HOST_ENTRY ? "" : WORKER);
  struct mq_settings *settings
      = mq_settings_parse (ev, role, text, strlen (text), &errors);

  cr_assert_not_null (settings, "%s", errors.items[0].subject);
  return settings;
}

static void
start (enum mq_host_role as, uint32_t stop_seconds)
{
  struct mq_error error = { 0 };
  struct mq_settings *settings;

  ev = tevent_context_init (NULL);
  role = as;
  done = false;
  settings = make_settings (stop_seconds);
  if (role == MQ_HOST_ENTRY)
    entry = mq_entry_create (ev, ev, settings, on_done, NULL, &error);
  else
    target = mq_target_create (ev, ev, settings, on_done, NULL, &error);
  cr_assert_eq (error.type, MQ_ERR_NONE);
  tick (ev, NULL, (struct timeval){ 0 }, NULL);
}

static void
begin_stop (void)
{
  if (role == MQ_HOST_ENTRY)
    mq_entry_drain (entry);
  else
    mq_target_drain (target);
}

static bool
is_ending (void)
{
  return role == MQ_HOST_ENTRY ? entry->stop != NULL : target->stop != NULL;
}

static void
end (void)
{
  if (role == MQ_HOST_ENTRY)
    mq_entry_destroy (entry);
  else
    mq_target_destroy (target);
}

/* Returns -1 if the connection is refused.  */
static int
open_connection (void)
{
  const char *address = role == MQ_HOST_ENTRY
                            ? mq_entry_http_address (entry)
                            : mq_target_http_address (target);

  return raw_open ((uint16_t)atoi (strrchr (address, ':') + 1));
}

/* Reads until WANTED has arrived or the connection ends; true if it has.  */
static bool
read_until (int fd, const char *wanted)
{
  uint64_t limit = mq_clock_ms () + LIMIT_MS;

  answer[0] = '\0';
  while (strstr (answer, wanted) == NULL && mq_clock_ms () < limit)
    {
      tevent_loop_once (ev);
      if (raw_read (fd, answer, sizeof answer))
        break;
    }
  return strstr (answer, wanted) != NULL;
}

/* Runs the event loop until the host is about to end; false if FD was closed
   before.  */
static bool
run_until_ending (int fd)
{
  uint64_t limit = mq_clock_ms () + LIMIT_MS;
  bool closed = false;

  answer[0] = '\0';
  while (!closed && !is_ending () && mq_clock_ms () < limit)
    {
      tevent_loop_once (ev);
      closed = fd >= 0 && raw_read (fd, answer, sizeof answer);
    }
  return !closed;
}

/* Destroys the host as soon as its stop is complete, as the daemon does.  */
static void
run_until_done (void)
{
  uint64_t limit = mq_clock_ms () + LIMIT_MS;

  while (!done && mq_clock_ms () < limit)
    tevent_loop_once (ev);
  cr_expect (done);
  end ();
}

/**
 * struct end_case - when the request of a stopping host's caller is sent
 * @keeps: on a connection that was used before the stop
 */
struct end_case
{
  const char *name;
  bool keeps;
};

static const struct end_case end_cases[] = {
  { "kept connection", true },
  { "new connection", false },
};

/* Sends a request as the host is about to end.  False if the connection was
   closed before that, or refused.  */
static bool
send_at_the_end (const struct end_case *row, int *fd)
{
  bool open;

  *fd = -1;
  if (row->keeps)
    {
      *fd = open_connection ();
      raw_send (*fd, ALIVE, strlen (ALIVE));
      cr_assert (read_until (*fd, "alive"), "%s", row->name);
    }
  begin_stop ();
  open = run_until_ending (*fd);
  if (!row->keeps)
    *fd = open_connection ();
  return open && *fd >= 0 && raw_send (*fd, ALIVE, strlen (ALIVE)) > 0;
}

static void
expect_responses_at_the_end (enum mq_host_role as, uint32_t stop_seconds)
{
  for (size_t i = 0; i < ROWS (end_cases); i++)
    {
      bool sent;
      int fd;

      start (as, stop_seconds);
      sent = send_at_the_end (&end_cases[i], &fd);
      run_until_done ();
      cr_expect (!sent || read_until (fd, "alive"), "%s: no response",
                 end_cases[i].name);
      if (fd >= 0)
        raw_close (fd, false);
      talloc_free (ev);
    }
}

/* Failure: the stop of an entry host ends while a whole request lies unread on
   a kept connection, and the request gets no response.  */
Test (daemon_stop, entry_answers_requests_at_the_end)
{
  expect_responses_at_the_end (MQ_HOST_ENTRY, LONG_STOP_SECONDS);
}

/* Failure: the stop of a target host ends while a whole request lies unread on
   a kept connection or in the backlog, and the request gets no response.  */
Test (daemon_stop, target_answers_requests_at_the_end)
{
  expect_responses_at_the_end (MQ_HOST_TARGET, LONG_STOP_SECONDS);
}

/* Failure: the time of a target host's stop is over before it is idle, and it
   ends while a whole request lies unread.  */
Test (daemon_stop, target_answers_requests_when_its_time_is_over)
{
  expect_responses_at_the_end (MQ_HOST_TARGET, SHORT_STOP_SECONDS);
}

/* Requests that wait when the time of a stop is over */

static char *
hash_hex (const char *key)
{
  uint8_t hash[MQ_KEY_BYTES];
  char *text = talloc_strdup (ev, "");

  gnutls_hash_fast (GNUTLS_DIG_SHA256, key, strlen (key), hash);
  for (size_t i = 0; i < MQ_KEY_BYTES; i++)
    text = talloc_asprintf_append (text, "%02x", hash[i]);
  return text;
}

/* Lets callers of an organisation in; no host owns their programs.  */
static void
set_configuration (void)
{
  struct mq_text_errors errors = { 0 };
  char *source = talloc_asprintf (
      ev,
      "[site]\nname = test\n[organisation hr]\nkey_sha256 = %s\n"
      "[service models]\nkind = model\nmodel = m\ntimeout_ms = 60000\n"
      "[service guide]\nkind = agent\ndepends = models\n"
      "budget_seconds = 100\n",
      hash_hex ("key-of-hr"));
  struct mq_text *text = mq_text_parse (ev, source, strlen (source), &errors);

  cr_assert_not_null (text, "line %u: %s", errors.items[0].line,
                      errors.items[0].subject);
  mq_api_set_text (entry->api, text);
}

#define PROGRAM "{\"service\":\"guide\",\"input\":\"x\"}"
#define STREAM "{\"service\":\"guide\",\"input\":\"x\",\"stream\":true}"
/* Longer than a short stop takes.  */
#define BLOCKED_MS 2500U

static size_t
send_program (int fd, const char *body, size_t len)
{
  const char *head = talloc_asprintf (
      ev,
      "POST /v1/programs HTTP/1.1\r\nHost: a\r\n"
      "Authorization: Bearer key-of-hr\r\nContent-Length: %zu\r\n\r\n",
      strlen (body));

  raw_send (fd, head, strlen (head));
  return raw_send (fd, body, len);
}

/**
 * struct late_case - a request that waits when the time of a stop is over
 * @body: of the request
 * @blocked: the second half of the body arrives while the event loop is
 *           blocked beyond that time
 */
struct late_case
{
  const char *name;
  const char *body;
  bool blocked;
};

static const struct late_case late_cases[] = {
  { "request without an owner", PROGRAM, false },
  { "stream without an owner", STREAM, false },
  { "request that becomes complete", PROGRAM, true },
};

/* Failure: the time of a stop is over and the process ends while whole
   requests wait; their callers see a closed connection.  */
Test (daemon_stop, entry_refuses_requests_that_wait)
{
  for (size_t i = 0; i < ROWS (late_cases); i++)
    {
      const struct late_case *row = &late_cases[i];
      size_t len = strlen (row->body);
      size_t sent;
      int fd;

      start (MQ_HOST_ENTRY, SHORT_STOP_SECONDS);
      set_configuration ();
      fd = open_connection ();
      sent = send_program (fd, row->body, row->blocked ? len / 2 : len);
      while (mq_api_in_progress (entry->api) == 0)
        tevent_loop_once (ev);
      begin_stop ();
      if (row->blocked)
        {
          usleep (BLOCKED_MS * 1000);
          raw_send (fd, row->body + sent, len - sent);
        }
      run_until_done ();
      read_until (fd, "not_run");
      cr_expect_not_null (strstr (answer, " 503 "), "%s: %s", row->name,
                          answer);
      cr_expect_not_null (strstr (answer, "\"ran\":\"not_run\""), "%s: %s",
                          row->name, answer);
      raw_close (fd, false);
      talloc_free (ev);
    }
}
