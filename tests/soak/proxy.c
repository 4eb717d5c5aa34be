/* proxy.c - a TCP proxy on the loopback address that harms what goes through.

   Needs: proxy.h, timer.h, buffer.h.  */

#include "proxy.h"
#include "net/buffer.h"
#include "net/listen.h"
#include "net/timer.h"
#include <stdio.h>
#include <sys/socket.h>

#define DELAY_MS 50U

struct pair;

/* One direction of a connection: bytes that wait for their time.  */
struct way
{
  struct pair *pair;
  struct mq_tcp *from;
  struct mq_tcp *to;
  struct mq_buffer held;
  struct mq_timer *timer;
  bool answers;
};

struct pair
{
  struct proxy *proxy;
  struct pair *next;
  struct way ways[2];
  bool stale;
  bool dead;
};

struct proxy
{
  struct tevent_context *ev;
  struct tevent_fd *event;
  struct pair *pairs;
  enum proxy_mode mode;
  uint16_t port;
  uint16_t target;
  int fd;
};

static void
end_pair (struct pair *pair, bool reset)
{
  if (pair->dead)
    return;
  pair->dead = true;
  for (struct pair **at = &pair->proxy->pairs; *at != NULL; at = &(*at)->next)
    if (*at == pair)
      {
        *at = pair->next;
        break;
      }
  for (int i = 0; i < 2; i++)
    {
      talloc_steal (pair->proxy, pair->ways[i].from);
      if (reset)
        mq_tcp_abort (pair->ways[i].from);
      else
        mq_tcp_finish (pair->ways[i].from);
    }
  talloc_free (pair);
}

static void
pass_held (void *data)
{
  struct way *way = data;

  way->timer = NULL;
  if (way->pair->stale)
    return;
  mq_tcp_write (way->to, way->held.data + way->held.at, way->held.len);
  mq_buffer_clear (&way->held);
}

static bool
is_held (const struct way *way)
{
  enum proxy_mode mode = way->pair->proxy->mode;

  return way->pair->stale || mode == PROXY_BLACKHOLE
         || (mode == PROXY_DROP_RESPONSES && way->answers);
}

static void
on_data (struct mq_tcp *tcp, const char *data, size_t len, void *user)
{
  struct way *way = user;

  (void)tcp;
  if (is_held (way))
    {
      /* What was once held back never comes: it is lost on the way.  */
      way->pair->stale = true;
      return;
    }
  mq_buffer_append (way->pair, &way->held, data, len, SIZE_MAX);
  if (way->pair->proxy->mode != PROXY_DELAY && way->timer == NULL)
    pass_held (way);
  else if (way->timer == NULL)
    way->timer = mq_timer_add (way->pair, way->pair->proxy->ev, DELAY_MS,
                               pass_held, way);
}

static void
on_ended (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  struct way *way = user;

  (void)tcp;
  if (way->timer != NULL)
    pass_held (way);
  end_pair (way->pair, end != MQ_TCP_EOF);
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct proxy *proxy = data;
  int fd = accept4 (proxy->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct mq_tcp_owner owner = { .data = on_data, .ended = on_ended };
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct pair *pair;
  char address[32];

  (void)event;
  (void)flags;
  if (fd < 0)
    return;
  pair = talloc_zero (proxy, struct pair);
  pair->proxy = proxy;
  pair->ways[0].pair = pair;
  pair->ways[1].pair = pair;
  pair->ways[1].answers = true;
  owner.user = &pair->ways[0];
  pair->ways[0].from = mq_tcp_accept (pair, ev, fd, &owner);
  snprintf (address, sizeof address, "127.0.0.1:%u", proxy->target);
  owner.user = &pair->ways[1];
  pair->ways[1].from = mq_tcp_open (pair, ev, address, 0, &owner, &error);
  if (pair->ways[0].from == NULL || pair->ways[1].from == NULL)
    {
      mq_tcp_abort (pair->ways[0].from);
      return;
    }
  pair->ways[0].to = pair->ways[1].from;
  pair->ways[1].to = pair->ways[0].from;
  pair->next = proxy->pairs;
  proxy->pairs = pair;
  if (proxy->mode == PROXY_RESET)
    end_pair (pair, true);
}

struct proxy *
proxy_create (TALLOC_CTX *ctx, struct tevent_context *ev, uint16_t port)
{
  struct proxy *proxy = talloc_zero (ctx, struct proxy);

  proxy->ev = ev;
  proxy->target = port;
  proxy->fd = mq_listen_open ("127.0.0.1:0", NULL);
  proxy->port = mq_listen_port (proxy->fd);
  proxy->event
      = tevent_add_fd (ev, proxy, proxy->fd, TEVENT_FD_READ, on_accept, proxy);
  return proxy;
}

uint16_t
proxy_port (const struct proxy *proxy)
{
  return proxy->port;
}

void
proxy_set (struct proxy *proxy, enum proxy_mode mode)
{
  proxy->mode = mode;
  if (mode == PROXY_BLACKHOLE_OPEN)
    {
      for (struct pair *pair = proxy->pairs; pair != NULL; pair = pair->next)
        pair->stale = true;
      proxy->mode = PROXY_PASS;
    }
  while (mode == PROXY_RESET && proxy->pairs != NULL)
    end_pair (proxy->pairs, true);
}
