/* flooder.c - a server whose answers have no end.

   Needs: flooder.h, listen.h, tcp.h, timer.h, memory.h.  */

#include "flooder.h"
#include "core/memory.h"
#include "net/listen.h"
#include "net/tcp.h"
#include "net/timer.h"
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct flooder
{
  struct tevent_context *ev;
  const struct flood *flood;
  int fd;
  char *text;
  size_t len;
  uint32_t accepted;
  uint32_t open;
};

struct link
{
  struct flooder *flooder;
  struct mq_tcp *tcp;
  bool flooding;
};

static void
on_tick (void *data)
{
  struct link *link = data;
  const struct flooder *flooder = link->flooder;

  if (mq_tcp_unsent_bytes (link->tcp) < MQ_TCP_HIGH_BYTES)
    mq_tcp_write (link->tcp, flooder->text, flooder->len);
  (void)mq_check_alloc (mq_timer_add (
      link, flooder->ev, flooder->flood->pause_ms, on_tick, link));
}

static void
begin_flood (struct link *link, const char *request)
{
  const char *field = strstr (request, "X-Request-Id: ");
  char id[64] = "none";
  char text[512];

  if (field != NULL)
    sscanf (field + strlen ("X-Request-Id: "), "%63[^\r]", id);
  snprintf (text, sizeof text, link->flooder->flood->begin, id);
  mq_tcp_write (link->tcp, text, strlen (text));
  link->flooding = true;
  on_tick (link);
}

static void
on_data (struct mq_tcp *tcp, const char *data, size_t len, void *user)
{
  struct link *link = user;
  char *text;

  (void)tcp;
  if (link->flooding)
    return;
  text = talloc_strndup (link, data, len);
  begin_flood (link, text);
  talloc_free (text);
}

static void
on_ended (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  struct link *link = user;

  (void)tcp;
  (void)end;
  link->flooder->open--;
  talloc_steal (NULL, link->tcp);
  mq_tcp_destroy (link->tcp);
  talloc_free (link);
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct flooder *flooder = data;
  struct mq_tcp_callbacks callbacks
      = { .data = on_data, .ended = on_ended, .user = NULL };
  int fd = accept4 (flooder->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct link *link;

  (void)event;
  (void)flags;
  if (fd < 0)
    return;
  if (flooder->accepted++ < flooder->flood->closed_first)
    {
      close (fd);
      return;
    }
  link = mq_check_alloc (talloc_zero (flooder, struct link));
  link->flooder = flooder;
  callbacks.user = link;
  link->tcp = mq_check_alloc (mq_tcp_accept (link, ev, fd, &callbacks));
  flooder->open++;
}

static int
close_listener (struct flooder *flooder)
{
  close (flooder->fd);
  return 0;
}

/* Repeats the text of FLOOD to at least its bytes.  */
static void
repeat_text (struct flooder *flooder, const struct flood *flood)
{
  size_t part = strlen (flood->repeat);
  size_t count = flood->bytes <= part ? 1 : (flood->bytes + part - 1) / part;

  flooder->len = count * part;
  flooder->text = mq_check_alloc (talloc_size (flooder, flooder->len));
  for (size_t i = 0; i < count; i++)
    memcpy (flooder->text + i * part, flood->repeat, part);
}

struct flooder *
flooder_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                const struct flood *flood)
{
  struct flooder *flooder = mq_check_alloc (talloc_zero (ctx, struct flooder));

  flooder->ev = ev;
  flooder->flood = flood;
  repeat_text (flooder, flood);
  flooder->fd = mq_listen_open ("127.0.0.1:0", NULL);
  talloc_set_destructor (flooder, close_listener);
  (void)mq_check_alloc (tevent_add_fd (ev, flooder, flooder->fd,
                                       TEVENT_FD_READ, on_accept, flooder));
  return flooder;
}

void
flooder_destroy (struct flooder *flooder)
{
  talloc_free (flooder);
}

uint16_t
flooder_port (const struct flooder *flooder)
{
  return mq_listen_port (flooder->fd);
}

uint32_t
flooder_accepted (const struct flooder *flooder)
{
  return flooder->accepted;
}

uint32_t
flooder_open (const struct flooder *flooder)
{
  return flooder->open;
}
