/* router_ready.c - the balancer's question whether the router takes callers.

   Needs: router_ready.h, listen.h.  */

#include "router_ready.h"
#include "net/listen.h"
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

struct question
{
  struct mq_router *router;
  struct mq_tcp *tcp;
  struct mq_http_reader *reader;
  bool metrics;
  bool keep;
  bool whole;
};

bool
mq_router_is_ready (const struct mq_router *router)
{
  return router->routes != NULL && router->workers_listed && !router->leaving;
}

static void
on_head (const struct mq_http_head *head, void *user)
{
  struct question *question = user;

  question->metrics = strcmp (head->target, "/metrics") == 0;
  question->keep = head->keep_alive;
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
  struct question *question = user;

  question->whole = true;
}

static void
answer (struct question *question)
{
  const char *body = "";
  char *text;
  int status = 200;

  if (question->metrics)
    body = mq_router_metrics (question, question->router);
  else if (!mq_router_is_ready (question->router))
    status = 503;
  text = talloc_asprintf (question,
                          "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s\r\n%s",
                          status, mq_http_reason (status), strlen (body),
                          question->keep ? "" : "Connection: close\r\n", body);
  if (text != NULL)
    mq_tcp_write (question->tcp, text, strlen (text));
  talloc_free (text);
}

static void
finish (struct question *question)
{
  talloc_steal (question->router, question->tcp);
  mq_tcp_finish (question->tcp);
  talloc_free (question);
}

static void
on_data (struct mq_tcp *tcp, const char *data, size_t len, void *user)
{
  struct question *question = user;

  (void)tcp;
  while (len > 0)
    {
      struct mq_error error = { .type = MQ_ERR_NONE };
      size_t used = mq_http_reader_feed (question->reader, data, len, &error);

      if (error.type != MQ_ERR_NONE)
        {
          finish (question);
          return;
        }
      data += used;
      len -= used;
      if (!question->whole)
        continue;
      question->whole = false;
      answer (question);
      mq_http_reader_next (question->reader);
      if (!question->keep)
        {
          finish (question);
          return;
        }
    }
}

static void
on_ended (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  struct question *question = user;

  (void)end;
  talloc_steal (question->router, tcp);
  mq_tcp_destroy (tcp);
  talloc_free (question);
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct mq_router *router = data;
  int fd
      = accept4 (router->ready_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct question *question;
  struct mq_tcp_callbacks owner = { .data = on_data, .ended = on_ended };
  struct mq_http_events events
      = { .head = on_head, .body = on_body, .end = on_end };

  (void)event;
  (void)flags;
  if (fd < 0)
    return;
  question = talloc_zero (router, struct question);
  owner.user = question;
  events.user = question;
  question->router = router;
  question->reader
      = mq_http_reader_create (question, MQ_HTTP_REQUEST, &events);
  question->tcp = mq_tcp_accept (question, ev, fd, &owner);
  if (question->tcp == NULL || question->reader == NULL)
    talloc_free (question);
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
