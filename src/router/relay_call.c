/* relay_call.c - calls of the table that one routing host makes for another.

   Needs: relay_state.h, id.h, memory.h, timer.h, clock.h.  */

#include "relay_state.h"
#include "core/id.h"
#include "core/memory.h"
#include "net/clock.h"
#include "net/timer.h"
#include <string.h>

/* Hosts tried per call.  */
#define TRIES_MAX 2U
/* Hash seed for the assignment of parts to batching hosts.  */
#define BATCH_HOST_SEED 3U

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

void
relay_start_call_backoff (struct host *host)
{
  host->call_after_ms = mq_clock_ms () + MQ_RELAY_BACKOFF_MS;
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

void
relay_serve_call (struct mq_relay *relay, struct mq_relay_link *link,
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

void
relay_on_call_reply (struct mq_relay *relay, const struct mq_relay_link *link,
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
    relay_start_call_backoff (host);
  if (host != NULL)
    host->batch_after_ms = host->call_after_ms;
  call->link = NULL;
  try_call (call);
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

void
relay_calls_lose_link (struct mq_relay *relay,
                       const struct mq_relay_link *link)
{
  for (struct served_call *served_call = relay->served_calls;
       served_call != NULL; served_call = served_call->next)
    if (served_call->link == link)
      served_call->link = NULL;
  retry_calls (relay, link);
}

struct host *
relay_choose_host (struct mq_relay *relay)
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
    relay_drop_link (call->relay, link);
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
    return relay_choose_host (call->relay);
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
