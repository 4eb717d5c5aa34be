/* ctl_routers.c - command of mimosactl for routing hosts: routers.

   Queries the readiness endpoint of each router, which needs neither platform
   nor key.
   Needs: ctl_run.h, jansson.  */

#include "ctl_run.h"
#include <stdlib.h>
#include <string.h>

#define ROUTERS_MAX 2048U
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

static struct mq_ctl_fetch
make_fetch (const char *address, const char *path)
{
  return (struct mq_ctl_fetch){ .method = "GET",
                                .address = address,
                                .path = path };
}

/* Creates two requests for each address of LIST, "IP:PORT,…".  Returns NULL if
   LIST is empty, invalid or too long.  */
static struct mq_ctl_fetch *
make_fetches (TALLOC_CTX *ctx, const char *list, size_t *count)
{
  struct mq_ctl_fetch *fetches
      = talloc_zero_array (ctx, struct mq_ctl_fetch, 2 * ROUTERS_MAX);
  char *rest = talloc_strdup (ctx, list);
  char *position = NULL;

  *count = 0;
  for (char *address = strtok_r (rest, ",", &position); address != NULL;
       address = strtok_r (NULL, ",", &position))
    {
      if (*count == ROUTERS_MAX || strchr (address, ':') == NULL)
        return NULL;
      fetches[2 * *count] = make_fetch (address, "/ready");
      fetches[2 * *count + 1] = make_fetch (address, "/metrics");
      ++*count;
    }
  return *count == 0 ? NULL : fetches;
}

static struct router_response
response_at (struct mq_ctl_fetch *fetches, size_t i)
{
  return (struct router_response){ &fetches[2 * i], &fetches[2 * i + 1] };
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
  struct mq_ctl_options options
      = { .host_timeout_ms = MQ_CTL_HOST_TIMEOUT_MS };
  struct mq_error error = { 0 };
  size_t count;
  struct mq_ctl_fetch *fetches = make_fetches (run->ctx, addresses, &count);
  struct mq_ctl *ctl;
  bool all_reached = true;

  if (fetches == NULL)
    {
      mq_error_set (&error, MQ_ERR_BAD_REQUEST, addresses,
                    "IP:PORT,IP:PORT,…: ready addresses of 1 to 2048 routers");
      return mq_ctl_report_error (run, &error);
    }
  ctl = mq_ctl_create (run->ctx, &options, &error);
  if (ctl == NULL)
    return mq_ctl_report_error (run, &error);
  mq_ctl_fetch (ctl, run->ctx, fetches, 2 * count);
  if (run->json)
    print_json (run, fetches, count);
  else
    print_text (run, fetches, count);
  for (size_t i = 0; i < count; i++)
    {
      struct router_response response = response_at (fetches, i);

      all_reached = all_reached && is_reached (&response);
    }
  mq_ctl_destroy (ctl);
  return all_reached ? MQ_CTL_OK : MQ_CTL_FAILED;
}
