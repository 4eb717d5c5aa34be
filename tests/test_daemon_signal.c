/* test_daemon_signal.c - signals to a daemon whose callers wait.

   Needs: Criterion, site_kit.h.  */

#include "site_kit.h"
#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>

enum
{
  CASE_SECONDS = 120,
  /* Longer than the rest of a test.  */
  CALL_MS = 20000
};

static struct site *site;

static void
end_site (void)
{
  site_stop (site);
  site = NULL;
}

TestSuite (daemon_signal, .fini = end_site, .timeout = CASE_SECONDS);

static const char plan[]
    = "[{\"call\":\"notice\",\"arguments\":{\"n\":1},\"tokens\":12},"
      "{\"answer\":16}]";

static bool
is_leaving (const struct site_host *host)
{
  const char *state = json_string_value (
      json_object_get (site_status (site, host), "state"));

  return state != NULL && strcmp (state, "leaving") == 0;
}

/* Opens a program at HOST that runs a call longer than the test.  */
static struct site_call *
open_program (struct site_host *host)
{
  struct site_call *call;
  char *key;

  site_fault (site, site->tools[0],
              talloc_asprintf (site,
                               "{\"fault\":\"slow\",\"match\":\"/v1/notice\","
                               "\"ms\":%u}",
                               CALL_MS));
  key = site_key_owned_by (site, host, "k");
  call = site_open (site, host, key, "letters", plan);
  SITE_WAIT (site, site_tool_running (site) >= 0);
  return call;
}

/* Failure: a second signal ends the process while a whole request waits, and
   its caller sees a closed connection.  The call runs on: whether it takes
   effect is unknown.  */
Test (daemon_signal, second_signal_refuses_requests_that_wait)
{
  struct site_options options = { 0 };
  struct site_host *host;
  struct site_call *call;

  site = site_start_default (&options);
  host = site_host (site, "entry-1");
  call = open_program (host);
  site_process_signal (host->process, SIGTERM);
  SITE_WAIT (site, is_leaving (host));
  site_process_signal (host->process, SIGTERM);
  site_wait_call (site, call);
  SITE_CHECK (site, site_process_wait (host->process));
  SITE_CHECK (site, site_process_succeeded (host->process));
  SITE_CHECK (site, site_call_contains (call, "\"error\":\"leaving\""));
  SITE_CHECK (site, site_call_contains (call, "\"ran\":\"unknown\""));
}
