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
  LONG_CALL_MS = 20000,
  SHORT_CALL_MS = 1000
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

/* Opens a program at HOST and waits until it runs a call of CALL_MS.  */
static struct site_call *
open_program (struct site_host *host, uint32_t call_ms)
{
  struct site_call *call;
  char *key;

  site_fault (site, site->tools[0],
              talloc_asprintf (site,
                               "{\"fault\":\"slow\",\"match\":\"/v1/notice\","
                               "\"ms\":%u}",
                               call_ms));
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
  call = open_program (host, LONG_CALL_MS);
  site_process_signal (host->process, SIGTERM);
  SITE_WAIT (site, is_leaving (host));
  site_process_signal (host->process, SIGTERM);
  site_wait_call (site, call);
  SITE_CHECK (site, site_process_wait (host->process));
  SITE_CHECK (site, site_process_succeeded (host->process));
  SITE_CHECK (site, site_call_contains (call, "\"error\":\"leaving\""));
  SITE_CHECK (site, site_call_contains (call, "\"ran\":\"unknown\""));
}

/* Failure: SIGHUP, which supervisors and terminals send, kills the process
   while a whole request waits.  */
Test (daemon_signal, hangup_ends_nothing)
{
  static const char *const hosts[] = { "entry-1", "north-1", "south-1" };
  struct site_options options = { 0 };
  struct site_call *call;

  site = site_start_default (&options);
  call = open_program (site_host (site, hosts[0]), SHORT_CALL_MS);
  for (size_t i = 0; i < sizeof hosts / sizeof hosts[0]; i++)
    site_process_signal (site_host (site, hosts[i])->process, SIGHUP);
  site_check_answer (site, call, site_host (site, "entry-1"), plan);
}
