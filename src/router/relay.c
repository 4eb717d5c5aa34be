/* relay.c - links between routing hosts.

   Needs: relay_state.h, memory.h, timer.h, clock.h.  */

#include "relay_state.h"
#include "core/id.h"
#include "core/memory.h"
#include "net/clock.h"
#include "net/listen.h"
#include "net/timer.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Hosts tried per call.  */
#define TRIES_MAX 2U
/* Hash seed for the assignment of parts to batching hosts.  */
#define BATCH_HOST_SEED 3U
/* Links accepted from other hosts.  */
#define LINKS_MAX 256U

/**
 * struct mq_relay_call - a call that another host makes for this one
 * @frame: packed request
 * @link: link that it was sent on, or NULL
 * @sent: a host may have executed it
 * @address: the only host to use, NULL for any
 * @wait_ms: timeout per host
 */
struct mq_relay_call
{
  struct mq_relay *relay;
  struct mq_relay_call *next;
  uint64_t id;
  bool commit;
  struct mq_bytes frame;
  struct mq_relay_link *link;
  struct mq_timer *timer;
  uint32_t tries;
  bool sent;
  char *address;
  uint32_t wait_ms;
  mq_rows_done *done;
  void *user;
};

/**
 * struct served_call - a call that this host makes for another one
 * @link: link for the reply, NULL if it has ended
 */
struct served_call
{
  struct mq_relay *relay;
  struct served_call *next;
  struct mq_relay_link *link;
  uint64_t id;
};

static void try_call (struct mq_relay_call *call);

struct host *
relay_host_of_link (struct mq_relay *relay, const struct mq_relay_link *link)
{
  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    if (host->link == link)
      return host;
  return NULL;
}

/* Starts HOST's backoff for relayed calls.  */
static void
start_call_backoff (struct host *host)
{
  host->call_after_ms = mq_clock_ms () + MQ_RELAY_BACKOFF_MS;
}

void
relay_mark_unreachable (struct host *host)
{
  start_call_backoff (host);
  host->loan_after_ms = host->call_after_ms;
  relay_clear_loan_request (host);
}

void
relay_send_frame (struct mq_relay *relay, struct mq_relay_link *link,
                  const struct mq_relay_frame *frame)
{
  struct mq_bytes bytes = mq_relay_frame_pack (relay, frame);

  mq_relay_link_send (link, bytes);
  talloc_free (bytes.data);
}

/* Retries the calls that were sent on LINK at another host.  */
static void
retry_calls (struct mq_relay *relay, const struct mq_relay_link *link)
{
  for (struct mq_relay_call *call = relay->calls; call != NULL;
       call = call->next)
    {
      if (call->link != link)
        continue;
      call->link = NULL;
      try_call (call);
    }
}

/* Closes LINK, which has failed; replies due on it are dropped.  */
static void
drop_link (struct mq_relay *relay, struct mq_relay_link *link)
{
  struct host *host = relay_host_of_link (relay, link);

  if (host == NULL)
    relay->accepted--;
  else
    {
      host->link = NULL;
      relay_mark_unreachable (host);
    }
  for (struct served_call *served_call = relay->served_calls;
       served_call != NULL; served_call = served_call->next)
    if (served_call->link == link)
      served_call->link = NULL;
  retry_calls (relay, link);
  mq_relay_link_destroy (link);
}

static void
on_link_ended (struct mq_relay_link *link, void *user)
{
  drop_link (user, link);
}

/* Calls made for other hosts */

static void
remove_served (struct served_call *served_call)
{
  for (struct served_call **at = &served_call->relay->served_calls;
       *at != NULL; at = &(*at)->next)
    if (*at == served_call)
      {
        *at = served_call->next;
        return;
      }
}

static void
on_served_done (const struct mq_rows_result *result, void *user)
{
  struct served_call *served_call = user;
  struct mq_relay_frame frame = { .kind = MQ_RELAY_CALL_REPLY };

  remove_served (served_call);
  if (served_call->link != NULL)
    {
      frame.u.call_reply.id = served_call->id;
      frame.u.call_reply.result = *result;
      relay_send_frame (served_call->relay, served_call->link, &frame);
    }
  talloc_free (served_call);
}

static void
serve_call (struct mq_relay *relay, struct mq_relay_link *link,
            const struct mq_relay_call_request *request)
{
  struct served_call *served_call
      = mq_check_alloc (talloc_zero (relay, struct served_call));

  served_call->relay = relay;
  served_call->link = link;
  served_call->id = request->id;
  served_call->next = relay->served_calls;
  relay->served_calls = served_call;
  relay->calls_served++;
  if (request->commit && relay->write != NULL)
    relay->write (request->entries, request->count, on_served_done,
                  served_call, relay->write_user);
  else if (request->commit)
    mq_rows_commit (relay->rows, request->entries, request->count,
                    on_served_done, served_call);
  else
    mq_rows_get (relay->rows, request->entries[0].table,
                 request->entries[0].part, request->entries[0].key,
                 on_served_done, served_call);
}

/* Calls made through another host */

static void
remove_call (struct mq_relay_call *call)
{
  for (struct mq_relay_call **at = &call->relay->calls; *at != NULL;
       at = &(*at)->next)
    if (*at == call)
      {
        *at = call->next;
        return;
      }
}

static void
end_call (struct mq_relay_call *call, const struct mq_rows_result *result)
{
  remove_call (call);
  TALLOC_FREE (call->timer);
  call->done (result, call->user);
  talloc_free (call);
}

static struct mq_relay_call *
find_call (const struct mq_relay *relay, const struct mq_relay_link *link,
           uint64_t id)
{
  for (struct mq_relay_call *call = relay->calls; call != NULL;
       call = call->next)
    if (call->id == id && call->link == link)
      return call;
  return NULL;
}

static void
on_call_reply (struct mq_relay *relay, const struct mq_relay_link *link,
               const struct mq_relay_call_reply *reply)
{
  struct mq_relay_call *call = find_call (relay, link, reply->id);
  struct host *host = relay_host_of_link (relay, link);

  if (call == NULL)
    return;
  if (reply->result.status != MQ_STORE_DOWN)
    {
      end_call (call, &reply->result);
      return;
    }
  /* The host can't reach the table either and has not executed the call.  */
  call->sent = false;
  if (host != NULL)
    start_call_backoff (host);
  if (host != NULL)
    host->batch_after_ms = host->call_after_ms;
  call->link = NULL;
  try_call (call);
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
      serve_call (relay, link, &frame->u.call_request);
      return;
    case MQ_RELAY_CALL_REPLY:
      on_call_reply (relay, link, &frame->u.call_reply);
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

/* Chooses a host that is not in backoff: one with an open link if any, else at
   random.  */
static struct host *
choose_host (struct mq_relay *relay)
{
  uint64_t now = mq_clock_ms ();
  struct host *chosen = NULL;
  uint32_t seen = 0;

  for (struct host *host = relay->hosts; host != NULL; host = host->next)
    {
      if (host->call_after_ms > now)
        continue;
      if (host->link != NULL)
        return host;
      if (mq_random_below (&relay->random, ++seen) == 0)
        chosen = host;
    }
  return chosen;
}

static void fail_call (struct mq_relay_call *call);

/* The batching host timed out.  Its link stays open for other messages.  */
static void
fail_slow_host (struct mq_relay_call *call)
{
  struct host *host = relay_find_host (call->relay, call->address);

  if (host != NULL)
    host->batch_after_ms = mq_clock_ms () + MQ_RELAY_BACKOFF_MS;
  fail_call (call);
}

static void
on_call_timeout (void *data)
{
  struct mq_relay_call *call = data;
  struct mq_relay_link *link = call->link;

  call->timer = NULL;
  if (call->address != NULL)
    fail_slow_host (call);
  else if (link != NULL)
    drop_link (call->relay, link);
  else
    try_call (call);
}

static void
fail_call (struct mq_relay_call *call)
{
  struct mq_rows_result result = { .status = MQ_STORE_DOWN };

  if (call->commit && call->sent)
    result.status = MQ_STORE_LOST;
  end_call (call, &result);
}

static void
on_no_host (void *data)
{
  struct mq_relay_call *call = data;

  call->timer = NULL;
  fail_call (call);
}

static struct host *
next_host (struct mq_relay_call *call)
{
  if (call->address == NULL)
    return choose_host (call->relay);
  return call->tries == 0 ? relay_find_host (call->relay, call->address)
                          : NULL;
}

/* A write that a host may have executed is not sent to another one: the caller
   must first check whether it took effect.  */
static void
try_call (struct mq_relay_call *call)
{
  struct mq_relay *relay = call->relay;
  struct host *host = NULL;
  struct mq_relay_link *link = NULL;

  TALLOC_FREE (call->timer);
  while (call->tries < TRIES_MAX && !(call->commit && call->sent)
         && link == NULL && (host = next_host (call)) != NULL)
    {
      call->tries++;
      link = relay_open_link (relay, host);
    }
  if (link == NULL)
    {
      call->timer = mq_timer_add (call, relay->ev, 0, on_no_host, call);
      return;
    }
  call->link = link;
  call->sent = true;
  relay->calls_sent++;
  mq_relay_link_send (link, call->frame);
  call->timer
      = mq_timer_add (call, relay->ev, call->wait_ms, on_call_timeout, call);
}

static struct mq_relay_call *
make_call (struct mq_relay *relay, const char *address, uint32_t timeout_ms,
           const struct mq_rows_entry *entries, size_t count, bool commit,
           mq_rows_done *done, void *user)
{
  struct mq_relay_call *call
      = mq_check_alloc (talloc_zero (relay, struct mq_relay_call));
  struct mq_relay_frame frame = { .kind = MQ_RELAY_CALL_REQUEST };

  call->relay = relay;
  call->id = ++relay->next_id;
  call->commit = commit;
  call->address = address == NULL ? NULL : mq_text_copy (call, address);
  call->wait_ms = timeout_ms;
  call->done = done;
  call->user = user;
  frame.u.call_request = (struct mq_relay_call_request){
    .id = call->id, .commit = commit, .entries = entries, .count = count
  };
  call->frame = mq_relay_frame_pack (call, &frame);
  call->next = relay->calls;
  relay->calls = call;
  try_call (call);
  return call;
}

struct mq_relay_call *
mq_relay_commit (struct mq_relay *relay, const struct mq_rows_entry *entries,
                 size_t count, mq_rows_done *done, void *user)
{
  return make_call (relay, NULL, MQ_RELAY_CALL_TIMEOUT_MS, entries, count,
                    true, done, user);
}

struct mq_relay_call *
mq_relay_commit_at (struct mq_relay *relay, const char *address,
                    uint32_t timeout_ms, const struct mq_rows_entry *entries,
                    size_t count, mq_rows_done *done, void *user)
{
  return make_call (relay, address, timeout_ms, entries, count, true, done,
                    user);
}

void
mq_relay_set_write_handler (struct mq_relay *relay,
                            mq_relay_write_handler *write, void *user)
{
  relay->write = write;
  relay->write_user = user;
}

const char *
mq_relay_batch_host (const struct mq_relay *relay, const char *part, bool near)
{
  uint64_t key = mq_hash_bytes (part, strlen (part), BATCH_HOST_SEED);
  uint64_t highest = mq_rendezvous_weight (relay->own_address, key);
  uint64_t now = mq_clock_ms ();
  const struct host *found = NULL;

  for (const struct host *host = relay->hosts; host != NULL; host = host->next)
    {
      uint64_t weight;

      if ((near && !host->near) || !host->listed || host->batch_after_ms > now
          || host->call_after_ms > now)
        continue;
      weight = mq_rendezvous_weight (host->address, key);
      if (weight <= highest)
        continue;
      highest = weight;
      found = host;
    }
  return found == NULL ? NULL : found->address;
}

struct mq_relay_call *
mq_relay_get (struct mq_relay *relay, const char *table, const char *part,
              const char *key, mq_rows_done *done, void *user)
{
  struct mq_rows_entry entry = { .table = table, .part = part, .key = key };

  return make_call (relay, NULL, MQ_RELAY_CALL_TIMEOUT_MS, &entry, 1, false,
                    done, user);
}

void
mq_relay_cancel (struct mq_relay_call *call)
{
  remove_call (call);
  talloc_free (call);
}

void
mq_relay_request_sync (struct mq_relay *relay,
                       const struct mq_relay_sync *sync)
{
  struct mq_relay_frame frame = { .kind = MQ_RELAY_SYNC, .u.sync = *sync };

  (void)relay_send_to_host (relay, choose_host (relay), &frame);
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
