/* relay_link.c - one connection between two routing hosts.

   Needs: relay_link.h, tcp.h, frame.h, memory.h.  */

#include "relay_link.h"
#include "core/memory.h"
#include "net/frame.h"
#include "net/tcp.h"

/* A connection with bytes unacknowledged for this long has failed.  */
#define ACK_TIMEOUT_MS 600U

/**
 * struct mq_relay_link - a connection, opened by either side
 * @busy: frames are being delivered; freeing is deferred
 * @dead: destroyed while busy
 */
struct mq_relay_link
{
  struct mq_relay_link_owner owner;
  struct mq_tcp *tcp;
  struct mq_frame_reader *reader;
  bool busy;
  bool dead;
};

void
mq_relay_link_destroy (struct mq_relay_link *link)
{
  if (link->dead)
    return;
  link->dead = true;
  mq_tcp_destroy (link->tcp);
  if (!link->busy)
    talloc_free (link);
}

/* Delivers complete frames; false if the bytes are invalid.  */
static bool
read_frames (struct mq_relay_link *link, const char *data, size_t len)
{
  const uint8_t *bytes;
  size_t size;
  enum mq_frame_next next;

  if (!mq_frame_reader_feed (link->reader, (const uint8_t *)data, len))
    return false;
  while ((next = mq_frame_reader_next (link->reader, MQ_RELAY_FRAME_MAX,
                                       &bytes, &size))
         == MQ_NEXT_FRAME)
    {
      struct mq_relay_frame *frame = mq_relay_frame_unpack (link, bytes, size);

      if (frame == NULL)
        return false;
      link->owner.frame (link, frame, link->owner.user);
      talloc_free (frame);
      if (link->dead)
        return true;
    }
  return next == MQ_NEXT_PARTIAL
         && mq_frame_reader_save_partial (link->reader);
}

static void
on_data (struct mq_tcp *tcp, const char *data, size_t len, void *user)
{
  struct mq_relay_link *link = user;
  bool valid;

  (void)tcp;
  link->busy = true;
  valid = read_frames (link, data, len);
  link->busy = false;
  if (link->dead)
    talloc_free (link);
  else if (!valid)
    link->owner.ended (link, link->owner.user);
}

static void
on_ended (struct mq_tcp *tcp, enum mq_tcp_end end, void *user)
{
  struct mq_relay_link *link = user;

  (void)tcp;
  (void)end;
  link->owner.ended (link, link->owner.user);
}

static struct mq_relay_link *
make_link (TALLOC_CTX *ctx, const struct mq_relay_link_owner *owner)
{
  struct mq_relay_link *link
      = mq_check_alloc (talloc_zero (ctx, struct mq_relay_link));

  link->owner = *owner;
  link->reader = mq_check_alloc (mq_frame_reader_create (link));
  return link;
}

struct mq_relay_link *
mq_relay_link_open (TALLOC_CTX *ctx, struct tevent_context *ev,
                    const char *address,
                    const struct mq_relay_link_owner *owner,
                    struct mq_error *error)
{
  struct mq_relay_link *link = make_link (ctx, owner);
  struct mq_tcp_callbacks tcp_owner
      = { .data = on_data, .ended = on_ended, .user = link };

  link->tcp
      = mq_tcp_open (ctx, ev, address, ACK_TIMEOUT_MS, &tcp_owner, error);
  if (link->tcp != NULL)
    return link;
  talloc_free (link);
  return NULL;
}

struct mq_relay_link *
mq_relay_link_accept (TALLOC_CTX *ctx, struct tevent_context *ev, int fd,
                      const struct mq_relay_link_owner *owner)
{
  struct mq_relay_link *link = make_link (ctx, owner);
  struct mq_tcp_callbacks tcp_owner
      = { .data = on_data, .ended = on_ended, .user = link };

  link->tcp = mq_tcp_accept (ctx, ev, fd, &tcp_owner);
  if (link->tcp == NULL)
    {
      talloc_free (link);
      return NULL;
    }
  mq_tcp_set_peer_timeout (link->tcp, ACK_TIMEOUT_MS);
  return link;
}

bool
mq_relay_link_has_unread (const struct mq_relay_link *link)
{
  return mq_tcp_has_unread (link->tcp);
}

void
mq_relay_link_send (struct mq_relay_link *link, struct mq_bytes bytes)
{
  mq_tcp_write (link->tcp, bytes.data, bytes.len);
}
