/* relay.c - links between routing hosts.

   Needs: relay_state.h, memory.h, clock.h.  */

#include "relay_state.h"
#include "core/id.h"
#include "core/memory.h"
#include "net/clock.h"
#include "net/listen.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Links accepted from other hosts.  */
#define LINKS_MAX 256U

struct host *
relay_host_of_link (struct mq_relay *relay, const struct mq_relay_link *link)
{
  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    if (host->link == link)
      return host;
  return NULL;
}

void
relay_mark_unreachable (struct host *host)
{
  relay_start_call_backoff (host);
  host->loan_after_ms = host->call_after_ms;
  relay_clear_loan_request (host);
}

bool
relay_may_reach (const struct host *host, uint64_t now_ms)
{
  return host->link != NULL || host->loan_after_ms <= now_ms;
}

void
relay_send_frame (struct mq_relay *relay, struct mq_relay_link *link,
                  const struct mq_relay_frame *frame)
{
  struct mq_bytes bytes = mq_relay_frame_pack (relay, frame);

  mq_relay_link_send (link, bytes);
  talloc_free (bytes.data);
}

void
relay_drop_link (struct mq_relay *relay, struct mq_relay_link *link)
{
  struct host *host = relay_host_of_link (relay, link);

  if (host == NULL)
    relay->accepted--;
  else
    {
      host->link = NULL;
      relay_mark_unreachable (host);
    }
  relay_calls_lose_link (relay, link);
  mq_relay_link_destroy (link);
}

static void
on_link_ended (struct mq_relay_link *link, void *user)
{
  relay_drop_link (user, link);
}

static void
on_quota_request (struct mq_relay *relay, struct mq_relay_link *link,
                  const struct mq_relay_quota_request *request)
{
  struct host *host = relay_host_of_link (relay, link);

  if (host != NULL && request->recalled)
    host->recalled = true;
  relay->owner.quota_request (request, link, relay->owner.user);
}

static void
on_quota_reply (struct mq_relay *relay, const struct mq_relay_link *link,
                const struct mq_relay_quota_reply *reply)
{
  const struct host *host = relay_host_of_link (relay, link);

  if (host != NULL)
    relay->owner.quota_reply (reply, host->address, relay->owner.user);
}

static void
on_frame (struct mq_relay_link *link, const struct mq_relay_frame *frame,
          void *user)
{
  struct mq_relay *relay = user;
  const struct mq_relay_owner *owner = &relay->owner;

  switch (frame->kind)
    {
    case MQ_RELAY_CALL_REQUEST:
      relay_serve_call (relay, link, &frame->u.call_request);
      return;
    case MQ_RELAY_CALL_REPLY:
      relay_on_call_reply (relay, link, &frame->u.call_reply);
      return;
    case MQ_RELAY_SYNC:
      owner->sync (&frame->u.sync, link, owner->user);
      return;
    case MQ_RELAY_STATE:
      owner->state (&frame->u.state, owner->user);
      return;
    case MQ_RELAY_LOAN_REQUEST:
      owner->loan_request (&frame->u.loan_request, link, owner->user);
      return;
    case MQ_RELAY_LOAN_REPLY:
      relay_on_loan_reply (relay, link, &frame->u.loan_reply);
      return;
    case MQ_RELAY_LOAN_RETURN:
      owner->loan_return (&frame->u.loan_return, owner->user);
      return;
    case MQ_RELAY_HANDOVER:
      owner->handover (&frame->u.handover, owner->user);
      return;
    case MQ_RELAY_QUOTA_REQUEST:
      on_quota_request (relay, link, &frame->u.quota_request);
      return;
    case MQ_RELAY_QUOTA_RECALL:
      owner->quota_recall (&frame->u.quota_recall, link, owner->user);
      return;
    case MQ_RELAY_EVIDENCE:
      owner->evidence (&frame->u.evidence, owner->user);
      return;
    case MQ_RELAY_RUN_ENDS:
      owner->run_ends (&frame->u.run_ends, link, owner->user);
      return;
    case MQ_RELAY_LEASE:
      owner->lease_handover (&frame->u.lease_handover, owner->user);
      return;
    case MQ_RELAY_QUOTA_REPLY:
      on_quota_reply (relay, link, &frame->u.quota_reply);
      return;
    case MQ_RELAY_UNKNOWN:
      return;
    }
}

void
mq_relay_send_state (struct mq_relay *relay, struct mq_relay_link *link,
                     const struct mq_relay_state *state)
{
  struct mq_relay_frame frame = { .kind = MQ_RELAY_STATE, .u.state = *state };

  relay_send_frame (relay, link, &frame);
}

/* Links */

static void
on_accept (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
           void *data)
{
  struct mq_relay *relay = data;
  struct mq_relay_link_owner owner
      = { .frame = on_frame, .ended = on_link_ended, .user = relay };
  int fd = accept4 (relay->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)flags;
  if (fd < 0 && mq_socket_shortage (errno))
    mq_listen_pause (ev, event);
  if (fd < 0)
    return;
  if (relay->accepted >= LINKS_MAX)
    close (fd);
  else if (mq_relay_link_accept (relay, ev, fd, &owner) != NULL)
    relay->accepted++;
}

struct mq_relay_link *
relay_open_link (struct mq_relay *relay, struct host *host)
{
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_relay_link_owner owner
      = { .frame = on_frame, .ended = on_link_ended, .user = relay };

  if (host->link == NULL)
    host->link
        = mq_relay_link_open (relay, relay->ev, host->address, &owner, &error);
  if (host->link == NULL)
    relay_mark_unreachable (host);
  return host->link;
}

bool
relay_send_to_host (struct mq_relay *relay, struct host *host,
                    const struct mq_relay_frame *frame)
{
  struct mq_relay_link *link
      = host == NULL ? NULL : relay_open_link (relay, host);

  if (link == NULL)
    return false;
  relay_send_frame (relay, link, frame);
  return true;
}

void
mq_relay_request_sync (struct mq_relay *relay,
                       const struct mq_relay_sync *sync)
{
  struct mq_relay_frame frame = { .kind = MQ_RELAY_SYNC, .u.sync = *sync };

  (void)relay_send_to_host (relay, relay_choose_host (relay), &frame);
}

/* Hosts */

struct host *
relay_find_host (const struct mq_relay *relay, const char *address)
{
  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    if (strcmp (host->address, address) == 0)
      return host;
  return NULL;
}

struct host *
relay_add_host (struct mq_relay *relay, const char *address)
{
  struct host *host = relay_find_host (relay, address);

  if (host != NULL || strcmp (address, relay->own_address) == 0
      || address[0] == '\0')
    return host;
  host = mq_check_alloc (talloc_zero (relay, struct host));
  host->address = mq_text_copy (host, address);
  host->next = relay->hosts;
  relay->hosts = host;
  return host;
}

bool
mq_relay_request_quota (struct mq_relay *relay, const char *address,
                        const struct mq_relay_quota_request *request)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_QUOTA_REQUEST, .u.quota_request = *request };

  return relay_send_to_host (relay, relay_add_host (relay, address), &frame);
}

uint32_t
mq_relay_recall_quota (struct mq_relay *relay, uint64_t run_id)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_QUOTA_RECALL,
          .u.quota_recall = { run_id, relay->own_address } };
  uint32_t unanswered = 0;

  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    {
      struct mq_relay_link *link;

      if (!host->listed || host->recalled)
        continue;
      unanswered++;
      link = relay_open_link (relay, host);
      if (link != NULL)
        relay_send_frame (relay, link, &frame);
    }
  return unanswered;
}

void
mq_relay_send_recall_reply (struct mq_relay *relay, struct mq_relay_link *link,
                            const struct mq_relay_quota_request *request)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_QUOTA_REQUEST, .u.quota_request = *request };

  relay_send_frame (relay, link, &frame);
}

void
mq_relay_send_quota_reply (struct mq_relay *relay, struct mq_relay_link *link,
                           const struct mq_relay_quota_reply *reply)
{
  struct mq_relay_frame frame
      = { .kind = MQ_RELAY_QUOTA_REPLY, .u.quota_reply = *reply };

  relay_send_frame (relay, link, &frame);
}

void
mq_relay_add_seed (struct mq_relay *relay, const char *address)
{
  struct host *host = relay_add_host (relay, address);

  if (host != NULL)
    host->seed = true;
}

void
mq_relay_list_begin (struct mq_relay *relay)
{
  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    host->listed = false;
}

void
mq_relay_list_host (struct mq_relay *relay,
                    const struct mq_relay_listing *listing)
{
  struct host *host = relay_add_host (relay, listing->address);

  if (host == NULL)
    return;
  host->listed = true;
  host->near = listing->near;
  host->data_centre
      = mq_hash_bytes (listing->data_centre, strlen (listing->data_centre), 0);
  host->caches_programs = listing->caches_programs;
}

/* A host with an open link is alive and stays until the link ends.  */
void
mq_relay_list_end (struct mq_relay *relay)
{
  struct host **at = &relay->hosts;
  uint64_t now = mq_clock_ms ();

  while (*at != NULL)
    {
      struct host *host = *at;

      if (host->listed || host->seed || host->link != NULL
          || host->asked_until_ms > now)
        {
          at = &host->next;
          continue;
        }
      *at = host->next;
      talloc_free (host);
    }
}

size_t
mq_relay_host_count (const struct mq_relay *relay)
{
  size_t count = 0;

  for (const struct host *host = relay->hosts; host != NULL; host = host->next)
    count++;
  return count;
}

static int
close_port (struct mq_relay *relay)
{
  TALLOC_FREE (relay->event);
  if (relay->fd >= 0)
    close (relay->fd);
  return 0;
}

struct mq_relay *
mq_relay_create (TALLOC_CTX *ctx, struct tevent_context *ev,
                 const char *address, struct mq_rows *rows,
                 const struct mq_relay_owner *owner, struct mq_error *error)
{
  struct mq_relay *relay = talloc_zero (ctx, struct mq_relay);

  if (relay == NULL)
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, address, NULL);
      return NULL;
    }
  relay->ev = ev;
  relay->rows = rows;
  relay->owner = *owner;
  relay->random = mq_clock_random ();
  relay->fd = mq_listen_open (address, error);
  if (relay->fd < 0)
    {
      talloc_free (relay);
      return NULL;
    }
  relay->own_address = talloc_asprintf (
      relay, "%.*s:%u", (int)(strrchr (address, ':') - address), address,
      mq_listen_port (relay->fd));
  relay->event
      = tevent_add_fd (ev, relay, relay->fd, TEVENT_FD_READ, on_accept, relay);
  talloc_set_destructor (relay, close_port);
  return relay;
}

void
mq_relay_destroy (struct mq_relay *relay)
{
  talloc_free (relay);
}

const char *
mq_relay_address (const struct mq_relay *relay)
{
  return relay->own_address;
}

uint64_t
mq_relay_calls_sent (const struct mq_relay *relay)
{
  return relay->calls_sent;
}

uint64_t
mq_relay_calls_served (const struct mq_relay *relay)
{
  return relay->calls_served;
}
