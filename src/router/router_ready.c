/* router_ready.c - readiness and metrics endpoint.

   Needs: router_ready.h, listen.h.  */

#include "router_ready.h"
#include "net/listen.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

struct probe
{
  struct mq_router *router;
  struct mq_tcp *tcp;
  struct mq_http_reader *reader;
  bool metrics;
  bool keep;
  bool complete;
};

bool
mq_router_is_ready (const struct mq_router *router)
{
  return router->routes != NULL && router->workers_listed && !router->stopping;
}

static void
on_head (const struct mq_http_head *head, void *user)
{
  struct probe *probe = user;

  probe->metrics = strcmp (head->target, "/metrics") == 0;
  probe->keep = head->keep_alive;
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
  struct probe *probe = user;

  probe->complete = true;
}

static void
send_response (struct probe *probe)
{
  const char *body = "";
  char *text;
  int status = 200;

  if (probe->metrics)
    body = mq_router_metrics (probe, probe->router);
  else if (!mq_router_is_ready (probe->router))
    status = 503;
  text = talloc_asprintf (probe,
                          "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s\r\n%s",
                          status, mq_http_reason (status), strlen (body),
                          probe->keep ? "" : "Connection: close\r\n", body);
  if (text != NULL)
    mq_tcp_write (probe->tcp, text, strlen (text));
  talloc_free (text);
}

static void
close_probe (struct probe *probe)
{
  talloc_steal (probe->router, probe->tcp);
  mq_tcp_finish (probe->tcp);
  talloc_free (probe);
}

static void
on_data (struct mq_tcp *tcp, const char *data, size_t len, void *user)
{
  struct probe *probe = user;

  (void)tcp;
  while (len > 0)
    {
      struct mq_error error = { .type = MQ_ERR_NONE };
      size_t used = mq_http_reader_feed (probe->reader, data, len, &error);

      if (error.type != MQ_ERR_NONE)
        {
          close_probe (probe);
          return;
        }
      data += used;
      len -= used;
      if (!probe->complete)
        continue;
      probe->complete = false;
      send_response (probe);
      mq_http_reader_next (probe->reader);
      if (!probe->keep)
        {
          close_probe (probe);
          return;
        }
    }
}

static void
on_ended (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  struct probe *probe = user;

  (void)end;
  talloc_steal (probe->router, tcp);
  mq_tcp_destroy (tcp);
  talloc_free (probe);
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct mq_router *router = data;
  int fd
      = accept4 (router->ready_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct probe *probe;
  struct mq_tcp_callbacks owner = { .data = on_data, .ended = on_ended };
  struct mq_http_events events
      = { .head = on_head, .body = on_body, .end = on_end };

  (void)flags;
  if (fd < 0 && mq_socket_shortage (errno))
    mq_listen_pause (ev, event);
  if (fd < 0)
    return;
  probe = talloc_zero (router, struct probe);
  owner.user = probe;
  events.user = probe;
  probe->router = router;
  probe->reader = mq_http_reader_create (probe, MQ_HTTP_REQUEST, &events);
  probe->tcp = mq_tcp_accept (probe, ev, fd, &owner);
  if (probe->tcp == NULL || probe->reader == NULL)
    talloc_free (probe);
}

bool
mq_ready_listen (struct mq_router *router, struct mq_error *error)
{
  router->ready_fd = mq_listen_open (router->settings->ready, error);
  if (router->ready_fd < 0)
    return false;
  router->ready_event = tevent_add_fd (router->ev, router, router->ready_fd,
                                       TEVENT_FD_READ, on_accept, router);
  return router->ready_event != NULL;
}
