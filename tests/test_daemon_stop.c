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
#include <stdlib.h>
#include <string.h>

#define ROWS(table) (sizeof (table) / sizeof (table)[0])
#define TEXT_BYTES 8192
#define TICK_US 2000
#define LIMIT_MS 30000U
#define LONG_STOP_SECONDS 60U
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
expect_responses_at_the_end (enum mq_host_role as)
{
  for (size_t i = 0; i < ROWS (end_cases); i++)
    {
      bool sent;
      int fd;

      start (as, LONG_STOP_SECONDS);
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
  expect_responses_at_the_end (MQ_HOST_ENTRY);
}

/* Failure: the stop of a target host ends while a whole request lies unread on
   a kept connection or in the backlog, and the request gets no response.  */
Test (daemon_stop, target_answers_requests_at_the_end)
{
  expect_responses_at_the_end (MQ_HOST_TARGET);
}
