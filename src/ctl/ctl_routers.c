/* ctl_routers.c - command of mimosactl for routing hosts: routers.

   Queries the readiness endpoint of each router, which needs neither platform
   nor key.
   Needs: ctl_run.h, jansson.  */

#include "ctl_run.h"
#include <stdlib.h>
#include <string.h>

/* Requests to each router.  */
#define PATHS 2U
#define METRIC_PREFIX "mimosa_router_"

/* Columns of the table: counter, heading.  */
#define COLUMNS(X)                                                            \
  X (requests_under_way, "UNDER WAY")                                         \
  X (served, "SERVED")                                                        \
  X (refused, "REFUSED")                                                      \
  X (failed, "FAILED")                                                        \
  X (broken, "BROKEN")                                                        \
  X (retries, "RETRIES")                                                      \
  X (store_refused, "TABLE NO")                                               \
  X (store_lost, "LOST")                                                      \
  X (relay_asked, "RELAYED")                                                  \
  X (hosts, "HOSTS")

/**
 * struct router_response - responses of one router
 * @ready: response to the load balancer's health check
 * @metrics: counters in Prometheus text format
 */
struct router_response
{
  struct mq_ctl_fetch *ready;
  struct mq_ctl_fetch *metrics;
};

static const char *
router_state (const struct router_response *response)
{
  if (response->ready->error != MQ_ERR_NONE
      || response->metrics->error != MQ_ERR_NONE
      || response->metrics->body == NULL)
    return "unreachable";
  return response->ready->status == 200 ? "ready" : "not ready";
}

static bool
is_reached (const struct router_response *response)
{
  return strcmp (router_state (response), "unreachable") != 0;
}

/* Reads the value of the metric NAME; returns false if TEXT lacks it.  */
static bool
find_number (const char *text, const char *name, uint64_t *number)
{
  char line[128];
  const char *at;

  snprintf (line, sizeof line, "\n%s%s ", METRIC_PREFIX, name);
  at = strstr (text, line);
  if (at == NULL)
    return false;
  *number = strtoull (at + strlen (line), NULL, 10);
  return true;
}

static struct router_response
response_at (struct mq_ctl_fetch *fetches, size_t i)
{
  return (struct router_response){ &fetches[PATHS * i],
                                   &fetches[PATHS * i + 1] };
}

static size_t
column_width (const char *head)
{
  return strlen (head) > 8 ? strlen (head) : 8;
}

static void
print_number (const struct mq_ctl_run *run,
              const struct router_response *response, const char *name,
              const char *head)
{
  int width = (int)column_width (head);
  uint64_t number;

  if (is_reached (response)
      && find_number (response->metrics->body, name, &number))
    fprintf (run->out, " %*llu", width, (unsigned long long)number);
  else
    fprintf (run->out, " %*s", width, "-");
}

static void
print_text (const struct mq_ctl_run *run, struct mq_ctl_fetch *fetches,
            size_t count)
{
  fprintf (run->out, "%-21s %-11s", "ADDRESS", "STATE");
#define HEAD(name, head)                                                      \
  fprintf (run->out, " %*s", (int)column_width (head), head);
  COLUMNS (HEAD)
#undef HEAD
  fputs ("\n", run->out);
  for (size_t i = 0; i < count; i++)
    {
      struct router_response response = response_at (fetches, i);

      fprintf (run->out, "%-21s %-11s", response.ready->address,
               router_state (&response));
#define NUMBER(name, head) print_number (run, &response, #name, head);
      COLUMNS (NUMBER)
#undef NUMBER
      fputs ("\n", run->out);
    }
}

static void
add_number (json_t *object, const struct router_response *response,
            const char *name)
{
  uint64_t number;

  if (is_reached (response)
      && find_number (response->metrics->body, name, &number))
    json_object_set_new (object, name, json_integer ((json_int_t)number));
}

static void
print_json (const struct mq_ctl_run *run, struct mq_ctl_fetch *fetches,
            size_t count)
{
  json_t *list = json_array ();
  char *text;

  for (size_t i = 0; i < count; i++)
    {
      struct router_response response = response_at (fetches, i);
      json_t *object
          = json_pack ("{ss ss}", "address", response.ready->address, "state",
                       router_state (&response));

#define NUMBER(name, head) add_number (object, &response, #name);
      COLUMNS (NUMBER)
#undef NUMBER
      json_array_append_new (list, object);
    }
  text = mq_ctl_json_line (run->ctx, list);
  fputs (text, run->out);
  talloc_free (text);
}

enum mq_ctl_exit
mq_ctl_routers (const struct mq_ctl_run *run, const char *addresses)
{
  static const char *const paths[PATHS] = { "/ready", "/metrics" };
  size_t count;
  enum mq_ctl_exit code;
  struct mq_ctl_fetch *fetches
      = mq_ctl_fetch_routers (run, addresses, paths, PATHS, &count, &code);
  bool all_reached = true;

  if (fetches == NULL)
    return code;
  if (run->json)
    print_json (run, fetches, count);
  else
    print_text (run, fetches, count);
  for (size_t i = 0; i < count; i++)
    {
      struct router_response response = response_at (fetches, i);

      all_reached = all_reached && is_reached (&response);
    }
  return all_reached ? MQ_CTL_OK : MQ_CTL_FAILED;
}
