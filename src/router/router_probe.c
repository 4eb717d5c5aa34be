/* router_probe.c - asks a worker whose connection broke whether it still runs.

   Needs: router_probe.h, router_wire.h, http_conn.h, listen.h,
   timer.h.  */

#include "router_probe.h"
#include "net/http_conn.h"
#include "net/listen.h"
#include "net/timer.h"
#include "router_wire.h"
#include <string.h>

/**
 * struct mq_probe - a health check without its answer
 * @conn: has no parent, as it outlives the probe within a callback
 * @worker: id of the worker
 */
struct mq_probe
{
  struct mq_http_conn *conn;
  char *worker;
  mq_probe_done *done;
  void *user;
};

static int
close_connection (struct mq_probe *probe)
{
  mq_http_conn_destroy (probe->conn);
  return 0;
}

static void
end_probe (struct mq_probe *probe, enum mq_probe_result result)
{
  mq_probe_done *done = probe->done;
  void *user = probe->user;

  talloc_free (probe);
  done (result, user);
}

static bool
on_head (const struct mq_http_head *head, void *user)
{
  struct mq_probe *probe = user;
  struct mq_response_fields fields;
  bool other;

  mq_wire_read_response_fields (head, &fields);
  other = fields.other_worker
          || (fields.worker != NULL
              && strcmp (fields.worker, probe->worker) != 0);
  end_probe (probe, other ? MQ_PROBE_ENDED : MQ_PROBE_RUNS);
  return true;
}

static void
on_body (const char *data, size_t len, void *user)
{
  (void)data;
  (void)len;
  (void)user;
}

static void
on_end (void *user)
{
  (void)user;
}

static void
on_failed (enum mq_http_conn_failure failure, void *user)
{
  struct mq_probe *probe = user;

  end_probe (probe, failure == MQ_HTTP_CONN_UNREACHABLE ? MQ_PROBE_UNREACHABLE
                                                        : MQ_PROBE_UNKNOWN);
}

static void
on_closed (struct mq_http_conn *conn, void *user)
{
  (void)conn;
  end_probe (user, MQ_PROBE_UNKNOWN);
}

static void
on_timeout (void *data)
{
  end_probe (data, MQ_PROBE_UNKNOWN);
}

static void
on_unreachable (void *data)
{
  end_probe (data, MQ_PROBE_UNREACHABLE);
}

static void
send_check (struct mq_probe *probe, const struct mq_fleet_member *worker,
            const char *path)
{
  struct mq_http_conn_callbacks events = { .head = on_head,
                                           .body = on_body,
                                           .end = on_end,
                                           .failed = on_failed,
                                           .user = probe };
  char *head = mq_wire_format_health_check (probe, path, worker);

  if (head != NULL)
    mq_http_conn_send (probe->conn, &events, head, strlen (head), NULL, 0,
                       false);
}

struct mq_probe *
mq_probe_begin (TALLOC_CTX *ctx, struct tevent_context *ev,
                const struct mq_fleet_member *worker, const char *path,
                mq_probe_done *done, void *user)
{
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_probe *probe = talloc_zero (ctx, struct mq_probe);

  if (probe == NULL)
    return NULL;
  probe->done = done;
  probe->user = user;
  probe->worker = talloc_strdup (probe, worker->id);
  probe->conn
      = mq_http_conn_open (NULL, ev, worker->address, MQ_PROBE_TIMEOUT_MS,
                           on_closed, probe, &error);
  talloc_set_destructor (probe, close_connection);
  if (probe->conn == NULL && !mq_socket_shortage (error.number)
      && mq_timer_add (probe, ev, 0, on_unreachable, probe) != NULL)
    return probe;
  if (probe->conn == NULL || probe->worker == NULL
      || mq_timer_add (probe, ev, MQ_PROBE_TIMEOUT_MS, on_timeout, probe)
             == NULL)
    {
      talloc_free (probe);
      return NULL;
    }
  send_check (probe, worker, path);
  return probe;
}
