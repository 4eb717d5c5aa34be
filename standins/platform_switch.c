/* platform_switch.c - control requests of the stand-in platform: faults,
   hosts and weights.

   Needs: platform_state.h, http_answer.h, platform_wire.h.  */

#include "daemon/process.h"
#include "http_answer.h"
#include "platform_state.h"
#include "platform_wire.h"
#include "net/clock.h"
#include <stdlib.h>
#include <string.h>

#define HOST_ADMIN_PATH "/standin/hosts/"

enum
{
  US_PER_MS = 1000,
  US_PER_S = 1000000
};

struct timeval
mq_standin_timeval_after_us (uint64_t us)
{
  return tevent_timeval_current_ofs ((uint32_t)(us / US_PER_S),
                                     (uint32_t)(us % US_PER_S));
}

/* Host list to be published after a delay.  */
struct delayed_hosts
{
  struct mq_platform_server *server;
  json_t *state;
  uint64_t number;
};

static void
handle_fault (struct mq_platform_server *server,
              struct mq_http_request *request)
{
  struct mq_error error;
  size_t len;
  const char *body = mq_http_body (request, &len);

  if (mq_faults_post (server->faults, body, len, &error))
    mq_answer_empty (request);
  else
    mq_answer_failure (request, error.type);
}

static void
handle_stats (struct mq_platform_server *server,
              struct mq_http_request *request)
{
  struct mq_table_counters counters = mq_table_counters (server->table);

  mq_answer_json (request, 200, mq_wire_counters (&counters, server->waiting));
}

static int
free_delayed_hosts (struct delayed_hosts *delayed)
{
  json_decref (delayed->state);
  return 0;
}

static void
on_hosts_due (struct tevent_context *ev, struct tevent_timer *timer,
              struct timeval now, void *data)
{
  struct delayed_hosts *delayed = data;

  (void)ev;
  (void)timer;
  (void)now;
  mq_host_registry_publish (delayed->server->hosts,
                            json_incref (delayed->state), delayed->number);
  talloc_free (delayed);
}

static void
publish_hosts (struct mq_platform_server *server)
{
  struct mq_fault_subject subject = { 0 };
  struct mq_fault lag = { 0 };
  struct delayed_hosts *delayed = talloc_zero (server, struct delayed_hosts);

  delayed->server = server;
  delayed->state = mq_host_registry_state (server->hosts, &delayed->number);
  talloc_set_destructor (delayed, free_delayed_hosts);
  if (!mq_faults_take (server->faults, MQ_FAULT_HOSTS_LAG, &subject, &lag))
    {
      mq_host_registry_publish (server->hosts, json_incref (delayed->state),
                                delayed->number);
      talloc_free (delayed);
      return;
    }
  if (tevent_add_timer (
          server->ev, delayed,
          mq_standin_timeval_after_us ((uint64_t)lag.ms * US_PER_MS),
          on_hosts_due, delayed)
      == NULL)
    abort ();
}

static void
handle_host_set (struct mq_platform_server *server,
                 struct mq_http_request *request)
{
  size_t len;
  const char *body = mq_http_body (request, &len);
  json_t *host = json_loadb (body, len, 0, NULL);
  bool good = mq_host_registry_set (server->hosts, host);

  json_decref (host);
  if (!good)
    {
      mq_answer_failure (request, MQ_ERR_BAD_REQUEST);
      return;
    }
  publish_hosts (server);
  mq_answer_empty (request);
}

static void
handle_host_remove (struct mq_platform_server *server,
                    struct mq_http_request *request)
{
  const char *name = mq_http_path (request) + strlen (HOST_ADMIN_PATH);

  if (!mq_host_registry_remove (server->hosts, name))
    {
      mq_answer_failure (request, MQ_ERR_NOT_FOUND);
      return;
    }
  publish_hosts (server);
  mq_answer_empty (request);
}

static bool
set_weight (struct mq_platform_server *server, json_t *json)
{
  const char *name;
  json_int_t bytes;
  json_int_t loads;

  if (json_unpack (json, "{s:s,s:I,s:I !}", "name", &name, "bytes", &bytes,
                   "loads_per_minute", &loads)
          != 0
      || name[0] == '\0' || bytes < 0 || loads < 0 || loads > UINT32_MAX)
    return false;
  mq_weight_store_set (server->weights, name, (uint64_t)bytes, (uint32_t)loads,
                       mq_clock_us ());
  return true;
}

static void
handle_weight_set (struct mq_platform_server *server,
                   struct mq_http_request *request)
{
  size_t len;
  const char *body = mq_http_body (request, &len);
  json_t *json = json_loadb (body, len, 0, NULL);
  bool good = set_weight (server, json);

  json_decref (json);
  if (good)
    mq_answer_empty (request);
  else
    mq_answer_failure (request, MQ_ERR_BAD_REQUEST);
}

void
mq_platform_handle_control (struct mq_platform_server *server,
                            struct mq_http_request *request)
{
  if (mq_is_request (request, "POST", "/standin/fault"))
    handle_fault (server, request);
  else if (mq_is_request (request, "GET", "/standin/stats"))
    handle_stats (server, request);
  else if (mq_is_request (request, "POST", "/standin/hosts"))
    handle_host_set (server, request);
  else if (mq_is_request_below (request, "DELETE", HOST_ADMIN_PATH))
    handle_host_remove (server, request);
  else if (mq_is_request (request, "POST", "/standin/weights"))
    handle_weight_set (server, request);
  else
    mq_answer_failure (request, MQ_ERR_NOT_FOUND);
}
